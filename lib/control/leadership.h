/* Whether this node leads a part, and the leader's way into the part's log.
 * It keeps nothing of its own; every module that proposes or answers as a leader asks here first.
 * Always: nothing is logged or said as a leader without a lease, nor before all that was committed earlier is applied. */
#ifndef NL_LEADERSHIP_H
#define NL_LEADERSHIP_H

#include "controller.h"

/* Leased, and all that was committed before has been applied here. */
static inline int leads_shard(const struct controller *r, uint32_t part, int64_t now)
{
	return raft_has_lease(&r->part[part], now) && r->leader_term[part] == r->part[part].term;
}

/* Who owns a part, as far as this member has heard within its promise; an older word would send others to the dead. */
static inline uint64_t leader_hint(const struct controller *r, uint32_t part, int64_t now)
{
	const struct raft *p = &r->part[part];

	return now < p->vote_barrier_until || raft_has_lease(p, now) ? p->leader_addr : 0;
}

/* Whether the configuration's leader was heard so lately that asking it makes sense. */
static inline int leader_in_reach(const struct controller *r, int64_t now)
{
	return leads_shard(r, SHARD_CONTROL, now) || config_watch_age(&r->f, now) <= CONFIG_WATCH_SILENT;
}

/* Log an operation of this part, stamped with the part's own clock; its index, or 0 when this is not its leader.
 * Example: w.index = log_operation(r, SHARD_CONTROL, &op, now, o); */
uint64_t log_operation(struct controller *r, uint32_t part, struct Nl__Op *op, int64_t now, struct out *o);

#endif
