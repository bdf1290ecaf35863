/* leadership: whether this node leads a shard, and how a leader logs an operation of the shard.
 *
 * A module checks here before it proposes or answers as a leader. Of the leadership records, this module
 * writes only clock_advanced_at_ms; leadership_change writes the rest.
 *
 * Always: nothing is logged or answered as a leader without a lease, nor before all entries that were
 * committed earlier have been applied. */
#ifndef NL_LEADERSHIP_H
#define NL_LEADERSHIP_H

#include "controller_state.h"

/* Whether this node leads a shard: it holds the lease and has applied all entries that were committed in
 * earlier terms. */
static inline int leads_shard(const struct controller *controller, uint32_t shard, int64_t now)
{
	return raft_has_lease(&controller->shards[shard], now) &&
	       controller->leadership[shard].term == controller->shards[shard].term;
}

/* Return the address of a shard's leader; 0: not known. It is known to a member only until its vote barrier
 * ends: an older address may be that of a controller that no longer leads. */
static inline uint64_t leader_hint(const struct controller *controller, uint32_t shard, int64_t now)
{
	const struct raft *raft = &controller->shards[shard];

	return now < raft->election.vote_barrier_until_ms || raft_has_lease(raft, now) ? raft->leader_addr
										       : 0;
}

/* Whether the control shard's leader is this node, or has replied within CONFIG_WATCH_LEADER_TIMEOUT_MS. */
static inline int is_control_leader_reachable(const struct controller *controller, int64_t now)
{
	return leads_shard(controller, SHARD_CONTROL, now) ||
	       config_watch_age_ms(&controller->config_watch, now) <= CONFIG_WATCH_LEADER_TIMEOUT_MS;
}

/* Propose an operation to a shard's log, stamped with the shard's own clock and the control group's clock.
 * Returns its log index, or 0 if it was not logged, for example because this node does not lead the shard.
 * Example: index = log_operation(controller, SHARD_CONTROL, &operation, now, out); */
uint64_t log_operation(struct controller *controller, uint32_t shard, struct Nl__Operation *operation,
		       int64_t now, struct command_list *out);

#endif
