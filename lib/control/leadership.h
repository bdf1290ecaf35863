/* leadership: whether this node leads a shard, and the leader's way into the shard's log.
 *
 * Every module that proposes or answers as a leader asks here first. It writes the record of leadership's
 * clock alone; terms begin in leadership_change.
 *
 * Always: nothing is logged or answered as a leader without a lease, nor before all that was committed
 * earlier is applied. */
#ifndef NL_LEADERSHIP_H
#define NL_LEADERSHIP_H

#include "controller_state.h"

/* Whether this node leads a shard: it holds the lease, and all that was committed before is applied here. */
static inline int leads_shard(const struct controller *controller, uint32_t shard, int64_t now)
{
	return raft_has_lease(&controller->shards[shard], now) &&
	       controller->leadership[shard].term == controller->shards[shard].term;
}

/* The address of a shard's leader as far as this member knows it within its vote barrier; 0: not known. An
 * older hint could send others to a leader that is gone. */
static inline uint64_t leader_hint(const struct controller *controller, uint32_t shard, int64_t now)
{
	const struct raft *raft = &controller->shards[shard];

	return now < raft->election.vote_barrier_until_ms || raft_has_lease(raft, now) ? raft->leader_addr
										       : 0;
}

/* Whether the control shard's leader replied so lately that a request to it makes sense. */
static inline int leader_reachable(const struct controller *controller, int64_t now)
{
	return leads_shard(controller, SHARD_CONTROL, now) ||
	       config_watch_age_ms(&controller->config_watch, now) <= CONFIG_WATCH_LEADER_TIMEOUT_MS;
}

/* Log an operation of a shard, dated by the shard's own clock and the control group's. Returns its log index,
 * or 0 when this node does not lead the shard. Example: index = log_operation(controller, SHARD_CONTROL,
 * &operation, now, out); */
uint64_t log_operation(struct controller *controller, uint32_t shard, struct Nl__Operation *operation,
		       int64_t now, struct command_list *out);

#endif
