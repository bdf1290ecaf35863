/* config_handover: configuration requests that arrive while the control shard's leadership changes hands.
 *
 * A router whose request arrives between two leaders would be told "not the leader" and come again an
 * interval later; its configuration ages meanwhile. So a leader that is elected but does not lead yet defers
 * requests until it does, and a controller that is told to stop defers them until it knows its successor,
 * forwards them, and names the successor to everybody who sent one lately. The reply goes from the successor
 * straight to the requester. The step passes every request here first, and calls the tick once a step.
 *
 * Always: one request of each requester is deferred, for CONFIG_HANDOVER_DEFER_MS at most; then it is
 * answered as any other. */
#ifndef NL_CONFIG_HANDOVER_H
#define NL_CONFIG_HANDOVER_H

#include "controller_state.h"

enum { CONFIG_HANDOVER_DEFER_MS = 250 }; /* as long as the requester would wait before it retries */

/* A configuration request has come. Returns 1 when it is deferred or was forwarded, 0 when it is to be
 * answered now. Example: if (!config_handover_intercept(controller, message, now, out))
 *                  on_config_sync_request(controller, message, now, out); */
bool config_handover_intercept(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			       struct command_list *out);

/* Answer or forward deferred requests as far as that is possible by now. */
void config_handover_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Release all deferred requests. */
void config_handover_clear(struct controller *controller);

#endif
