/* config_handover: handles configuration requests that arrive while the leadership of the control shard
 * changes.
 *
 * A router whose request arrives between two leaders would receive the reply "not the leader" and retry one
 * polling interval later, while its configuration becomes stale. Therefore a controller that is elected, but
 * may not act as leader yet, defers requests until it may. A controller that is stopping defers requests
 * until its successor is known; it then forwards them and sends a leader hint with the successor's address to
 * every node that sent a request lately. The successor sends its reply directly to the requester.
 * controller_step passes every configuration request to this module first, and calls the tick once a step.
 *
 * Invariant: at most one request of each requester is deferred, for CONFIG_HANDOVER_DEFER_MS at most; after
 * that it is answered like any other request. */
#ifndef NL_CONFIG_HANDOVER_H
#define NL_CONFIG_HANDOVER_H

#include "controller_state.h"

enum { CONFIG_HANDOVER_DEFER_MS = 250 }; /* the requester's own retry interval, CONFIG_WATCH_POLL_MS */

/* Defer or forward a configuration request if leadership is changing. Returns true if the request was
 * deferred or forwarded, false if the caller has to answer it now.
 * Example: if (!config_handover_intercept(controller, message, now, out))
 *                  on_config_sync_request(controller, message, now, out); */
bool config_handover_intercept(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			       struct command_list *out);

/* Answer or forward the deferred requests that no longer have to wait. */
void config_handover_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Release all deferred requests. */
void config_handover_clear(struct controller *controller);

#endif
