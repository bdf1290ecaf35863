#include "leadership_change.h"

#include "containers.h"
#include "group_clock.h"
#include "leadership.h"
#include "operator_documents.h"
#include "proposals.h"
#include "purge_publisher.h"
#include "quota_shares.h"
#include "controller_private.h"
#include "rollout.h"

void on_leadership_gained(struct controller *controller, uint32_t shard, int64_t now,
			  struct command_list *out)
{
	struct raft *raft = &controller->shards[shard];

	if (raft_has_lease(raft, now) && controller->leadership[shard].term != raft->term) {
		controller->leadership[shard].term = raft->term;
		controller->leadership[shard].started_at_ms =
		    controller->leadership[shard].clock_advanced_at_ms = now;
		log_line(controller, "shard", out->pool,
			 "leadership gained, shard %u, term %" APR_UINT64_T_FMT ".", shard, raft->term);
		if (shard == SHARD_CONTROL) {
			group_clock_start_term(controller, now);
			arrsetlen(controller->membership.nodes, 0);
			quota_shares_clear(&controller->quota_shares);
			rollout_start_term(controller, now);
			controller->retention.last_step_index = 0;
		}
		if (shard == SHARD_PURGE)
			publisher_start(controller, now, out);
	}
}

/* Stop the publisher after this node has lost the leadership: without a lease, no ticks are declared. A
 * leader whose lease is renewed within its term continues to publish, without a stop. */
static void deactivate_publisher(struct controller *controller, struct command_list *out)
{
	controller->relay.is_publisher = 0;
	arrsetlen(controller->relay.upstreams, 0);
	log_line(controller, "purge", out->pool, "publisher stopped: lease of the purge shard lost");
}

/* Reply "outcome unknown" to other nodes' proposals that this node has logged: whether they are committed is
 * decided under the next leader. */
static void abandon_received_proposals(struct controller *controller, uint32_t shard,
				       struct command_list *out)
{
	for (ptrdiff_t i = arrlen(controller->proposals.pending_entries) - 1; i >= 0; i--) {
		const struct controller_pending_entry *entry = &controller->proposals.pending_entries[i];

		if (entry->shard != shard)
			continue;
		reply_to_proposal(entry->proposer_addr, entry->token, PROPOSAL_OUTCOME_UNKNOWN, 0,
				  "leadership lost: outcome unknown", 0, out);
		arrdel(controller->proposals.pending_entries, i);
	}
}

void on_leadership_lost(struct controller *controller, uint32_t shard, int64_t now, struct command_list *out)
{
	struct raft *raft = &controller->shards[shard];

	if (raft->role == RAFT_LEADER)
		return;
	if (shard == SHARD_PURGE && controller->relay.is_publisher && !raft_has_lease(raft, now))
		deactivate_publisher(controller, out);
	if (shard == SHARD_CONTROL)
		abandon_logged_calls(controller, out);
	abandon_received_proposals(controller, shard, out);
}
