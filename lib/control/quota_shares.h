/* quota_shares: the fleet-wide limits, shared out: how many requests under each limit a router may run at
 * once.
 *
 * The configuration's leader keeps what each router holds and requests, in memory alone; config_sync calls it
 * with each router's request. Shares are leases: a router that is silent for CONTROLLER_QUOTA_LEASE_MS has
 * lost its own.
 *
 * Always: what routers hold, or may still believe to hold, is never more than the limit. A reply is counted
 * as held from when it is sent until the router's next request shows otherwise; and a new leader, which has
 * not heard from all routers yet, grants nothing more at first. */
#ifndef NL_QUOTA_SHARES_H
#define NL_QUOTA_SHARES_H

#include "controller_state.h"

/* Begin with no shares. */
void quota_shares_open(struct controller_quota_shares *quota);

/* Release all shares. */
void quota_shares_close(struct controller_quota_shares *quota);

/* Forget who holds what: a new leader learns it from the routers. */
void quota_shares_clear(struct controller_quota_shares *quota);

/* The table is to be replaced as a whole: nothing of it is referred to any more. */
void quota_shares_invalidate_table(struct controller_quota_shares *quota);

/* Take in what a router holds, uses and requests under its limits (sync), and add what it gets to the reply.
 * is_new_leader: not all that the last leader granted is known yet. router_count: how many routers are live.
 * Example: quota_shares_update(&quota, &table, is_new_leader, router_id, sync, count, reply, now, out); */
void quota_shares_update(struct controller_quota_shares *quota, const struct config_table *table,
			 bool is_new_leader, uint64_t router_id, const struct Nl__ConfigSync *sync,
			 uint32_t router_count, struct Nl__ConfigSyncReply *reply, int64_t now,
			 struct command_list *out);

#endif
