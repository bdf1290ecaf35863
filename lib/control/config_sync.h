/* Configuration sync, the leader's side: nodes ask in turn what has changed, and learn of their peers on the
 * way. The step passes each node's request. Always: only a leader with a lease answers with content; others
 * name it. */
#ifndef NL_CONFIG_SYNC_H
#define NL_CONFIG_SYNC_H

#include "controller_state.h"

/* A node asks what has changed since the edition it has. */
void on_config_sync_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out);

#endif
