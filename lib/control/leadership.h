/* Whether this node leads a part, and the leader's way into the part's log.
 * It keeps nothing of its own; every module that proposes or answers as a leader asks here first.
 * Always: nothing is logged or said as a leader without a lease, nor before all that was committed earlier is
 * applied. */
#ifndef NL_LEADERSHIP_H
#define NL_LEADERSHIP_H

#include "controller_state.h"

/* Leased, and all that was committed before has been applied here. */
static inline int leads_shard(const struct controller *controller, uint32_t shard, int64_t now)
{
	return raft_has_lease(&controller->shards[shard], now) &&
	       controller->leadership[shard].term == controller->shards[shard].term;
}

/* Who owns a part, as far as this member has heard within its promise; an older word would send others to the
 * dead. */
static inline uint64_t leader_hint(const struct controller *controller, uint32_t shard, int64_t now)
{
	const struct raft *raft = &controller->shards[shard];

	return now < raft->election.vote_barrier_until_ms || raft_has_lease(raft, now) ? raft->leader_addr
										       : 0;
}

/* Whether the configuration's leader was heard so lately that asking it makes sense. */
static inline int leader_reachable(const struct controller *controller, int64_t now)
{
	return leads_shard(controller, SHARD_CONTROL, now) ||
	       config_watch_age_ms(&controller->config_watch, now) <= CONFIG_WATCH_LEADER_TIMEOUT_MS;
}

/* Log an operation of this part, stamped with the part's own clock; its index, or 0 when this is not its
 * leader. Example: w.index = log_operation(r, SHARD_CONTROL, &op, now, o); */
uint64_t log_operation(struct controller *controller, uint32_t shard, struct Nl__Operation *operation,
		       int64_t now, struct command_list *out);

#endif
