/* controller_private: what the modules that work on a controller share: log lines, a service shard's state by
 * its number, bodies of rejections. It keeps nothing. */
#ifndef NL_CONTROLLER_PRIVATE_H
#define NL_CONTROLLER_PRIVATE_H

#include <apr_strings.h>

#include "controller_state.h"

/* Write one log line under a prefix; the text is formatted in the pool.
 * Example: log_line(controller, "purge", out->pool, "The publisher begins at %d.", tick); */
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

/* A service shard's state; NULL: this shard is no service shard. */
__attribute__((nonnull)) static inline struct controller_service_state *
service_shard_state(struct controller *controller, uint32_t shard)
{
	return shard >= SHARD_SERVICE && shard < SHARD_COUNT
		   ? &controller->service_states[shard - SHARD_SERVICE]
		   : NULL;
}

/* The JSON body that says why a call was rejected, in the pool; a revision of 0 is left out.
 * Example: error_json(out->pool, "path: no such call", 0) */
const char *error_json(apr_pool_t *pool, const char *why, uint64_t revision);

/* Answer a call: no leader is known, nothing was logged. */
void reject_without_leader(uint64_t token, struct command_list *out);

/* Answer a call: this controller is to stop, nothing was logged. */
void reject_while_stopping(uint64_t token, struct command_list *out);

#endif
