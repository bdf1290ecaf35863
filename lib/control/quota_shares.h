/* The fleet-wide limits, shared out: how many requests under each limit a router may run at once.
 * The configuration's leader keeps what each router holds and wants, in memory alone; configuration sync
 * calls it. Always: what routers hold or may still believe to hold is never more than the limit. */
#ifndef NL_QUOTA_SHARES_H
#define NL_QUOTA_SHARES_H

#include "controller_state.h"

/* Take in what a router holds, uses and wants under its limits, and add what it gets to the answer. */
void quota_shares_update(struct controller *controller, uint64_t router_id, const struct Nl__ConfigSync *sync,
			 uint32_t router_count, struct Nl__ConfigSyncReply *reply, int64_t now,
			 struct command_list *out);

/* Forget who holds what: a new leader learns it from the routers. */
void quota_shares_clear(struct controller *controller);

#endif
