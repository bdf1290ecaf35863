/* Config watch requests that arrive while the configuration's leadership changes hands.
 *
 * A router whose request falls between two leaders would be told "not the leader" and ask again an interval
 * later; its configuration ages meanwhile. So a leader that is elected and not yet in office holds requests
 * until it is, and a controller that is told to stop holds them until it has heard of its successor, passes
 * them on, and names the successor to everybody who asked it lately. The answer goes from the successor
 * straight to the asker. The step passes every request here first, and gives it time once a step. Always: one
 * request for each asker is held, for CONFIG_HANDOVER_HOLD_MS at most; then it is answered as any other. */
#ifndef NL_CONFIG_HANDOVER_H
#define NL_CONFIG_HANDOVER_H

#include "controller_state.h"

enum { CONFIG_HANDOVER_DEFER_MS = 250 }; /* as long as the asker would wait before it asks again */

/* A config watch request arrives. 1: it is held or was passed on; 0: it is to be answered now.
 * Example: if (!config_handover_take(r, m, now, o)) on_config_sync_request(r, m, now, o); */
int config_handover_intercept(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			      struct command_list *out);

/* Answer or pass on what was held, as far as that is possible by now. Example: config_handover_tick(r, now,
 * o); */
void config_handover_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Forget all that is held. Example: config_handover_clear(r); */
void config_handover_clear(struct controller *controller);

#endif
