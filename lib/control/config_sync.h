/* config_sync: the leader's side of keeping copies of the configuration: each node requests in turn what has
 * changed, and learns of its peers on the way.
 *
 * The step passes each node's request. A reply holds the changes of the table and of the instances, the
 * control group's clock, live controllers, a router's upstreams and zone heads, and its quota shares.
 *
 * Always: only a leader with a lease replies with content; others name the leader as far as they know it. */
#ifndef NL_CONFIG_SYNC_H
#define NL_CONFIG_SYNC_H

#include "controller_state.h"

/* A node requests what has changed since its revision: note its status, and reply. */
void on_config_sync_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out);

#endif
