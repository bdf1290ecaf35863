/* quota_shares: divides the fleet-wide limits among the routers: how many requests under each limit a router
 * may run at once.
 *
 * The control shard's leader records which slots each router holds and requests, in memory only. config_sync
 * calls this module with each router's request for the configuration. Shares are leases: a router that has
 * sent no request for CONTROLLER_QUOTA_LEASE_MS has lost its shares.
 *
 * Always: the slots that routers hold, or may still hold, never exceed the limit. The slots that a reply
 * grants count as held from when the reply is sent until the router's next request reports otherwise. A new
 * leader has not yet received requests from all routers, so at first it grants no additional slots. */
#ifndef NL_QUOTA_SHARES_H
#define NL_QUOTA_SHARES_H

#include "controller_state.h"

/* Initialise an empty record without shares. */
void quota_shares_open(struct controller_quota_shares *quota);

/* Release all shares. */
void quota_shares_close(struct controller_quota_shares *quota);

/* Remove all shares at the start of a leadership; the routers' requests report what they hold. */
void quota_shares_clear(struct controller_quota_shares *quota);

/* Drop all references into the configuration table, before the table is replaced. */
void quota_shares_invalidate_table(struct controller_quota_shares *quota);

/* Process the slots that a router holds, uses and requests under its limits (sync), and add its grants to the
 * reply. is_new_leader: slots that the last leader granted may not all have been reported yet. router_count:
 * number of live routers.
 * Example: quota_shares_update(&quota, &table, is_new_leader, router_id, sync, count, reply, now, out); */
void quota_shares_update(struct controller_quota_shares *quota, const struct config_table *table,
			 bool is_new_leader, uint64_t router_id, const struct Nl__ConfigSync *sync,
			 uint32_t router_count, struct Nl__ConfigSyncReply *reply, int64_t now,
			 struct command_list *out);

#endif
