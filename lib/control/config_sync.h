/* config_sync: replies to the nodes' requests for changes of the configuration.
 *
 * Each node polls the leader (config_watch). A reply holds the changes of the table and of the server
 * instances since the node's revisions, the control group's clock, the live controllers, and for a router its
 * upstreams, zone heads and quota shares.
 *
 * Invariant: only a leader with a lease replies with content; other controllers reply with a leader hint
 * alone. */
#ifndef NL_CONFIG_SYNC_H
#define NL_CONFIG_SYNC_H

#include "controller_state.h"

/* Handle a node's request for the changes since its revision: record the node's status and reply. */
void on_config_sync_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out);

#endif
