/* What every module of a controller uses: its log line, a service part's state by its number, the body of a
 * refusal. All modules of lib/control that work on struct controller include this; it calls none of them. */
#ifndef NL_CONTROLLER_PRIVATE_H
#define NL_CONTROLLER_PRIVATE_H

#include <apr_strings.h>

#include "controller_state.h"

/* Write one log line under a prefix. Example: log_line(r, "purge", o->p, "The publisher begins at %d.",
 * tick); */
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

/* A service part's state; NULL: this part is none. */
__attribute__((nonnull)) static inline struct controller_service_state *
service_shard_state(struct controller *controller, uint32_t part)
{
	return part >= SHARD_SERVICE && part < SHARD_COUNT ? &controller->service_states[part - SHARD_SERVICE]
							   : NULL;
}

/* The JSON body that says why a call was refused; an edition of 0 is left out. Example: error_json(o->p,
 * "path: no such call", 0) */
const char *error_json(apr_pool_t *pool, const char *why, uint64_t revision);

/* No leader is known: whatever this call asked for was not logged. */
void reject_without_leader(uint64_t token, struct command_list *out);

/* This controller is to stop and begins nothing any more: nothing was logged. */
void reject_while_stopping(uint64_t token, struct command_list *out);

#endif
