/* The fleet-wide limits, shared out: how many requests under each limit a router may run at once.
 * The configuration's leader keeps what each router holds and wants, in memory alone; configuration sync calls it.
 * Always: what routers hold or may still believe to hold is never more than the limit. */
#ifndef NL_QUOTA_SHARES_H
#define NL_QUOTA_SHARES_H

#include "reg.h"

/* Take in what a router holds, uses and wants under its limits, and add what it gets to the answer. */
void places(struct reg *r, uint64_t id, const struct Nl__Follow *q, uint32_t counters, struct Nl__FollowReply *a, int64_t now,
	    struct out *o);

/* Forget who holds what: a new leader learns it from the routers. */
void limits_clear(struct reg *r);

#endif
