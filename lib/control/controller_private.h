/* controller_private: helper functions of the modules of lib/control: log lines, lookup of a service shard's
 * state, and answers that reject a call. The module has no state. */
#ifndef NL_CONTROLLER_PRIVATE_H
#define NL_CONTROLLER_PRIVATE_H

#include <apr_strings.h>

#include "controller_state.h"

/* Write one log line with a prefix. The text is formatted in the pool.
 * Example: log_line(controller, "purge", out->pool, "publisher started, tick %d", tick); */
static inline void log_line(struct controller *controller, const char *prefix, apr_pool_t *pool,
			    const char *format, ...)
{
	va_list arguments;

	if (!controller->adapters.log)
		return;
	va_start(arguments, format);
	controller->adapters.log(controller->adapters.log_context, prefix,
				 apr_pvsprintf(pool, format, arguments));
	va_end(arguments);
}

/* Return the state of a service shard, or NULL if the shard is not a service shard. */
__attribute__((nonnull)) static inline struct controller_service_state *
service_shard_state(struct controller *controller, uint32_t shard)
{
	return shard >= SHARD_SERVICE && shard < SHARD_COUNT
		   ? &controller->service_states[shard - SHARD_SERVICE]
		   : NULL;
}

/* Return the JSON body of a rejection with its reason and the table's revision, allocated in the pool. A
 * revision of 0 is omitted.
 * Example: error_json(out->pool, "path: no such call", 0) */
const char *error_json(apr_pool_t *pool, const char *reason, uint64_t revision);

/* Answer a call with 503: the control shard's leader is unreachable and nothing was logged. */
void reject_without_leader(uint64_t token, struct command_list *out);

/* Answer a call with 503: this controller is shutting down and nothing was logged. */
void reject_while_stopping(uint64_t token, struct command_list *out);

#endif
