#include "leadership_change.h"

#include "containers.h"
#include "group_clock.h"
#include "leadership.h"
#include "proposals.h"
#include "purge_publisher.h"
#include "quota_shares.h"
#include "controller_private.h"
#include "rollout.h"

/* Taking office comes after all that is committed has been applied, leaving it before. */
void on_leadership_gained(struct controller *controller, uint32_t shard, int64_t now,
			  struct command_list *out)
{
	struct raft *raft = &controller->shards[shard];

	if (raft_has_lease(raft, now) && controller->leadership[shard].term != raft->term) {
		controller->leadership[shard].term = raft->term;
		controller->leadership[shard].since_ms = controller->leadership[shard].clock_advanced_at_ms =
		    now;
		log_line(controller, "shard", out->pool,
			 "Shard %u is led here from term %" APR_UINT64_T_FMT ".", shard, raft->term);
		if (shard == SHARD_CONTROL) {
			group_clock_lead(controller, now);
			arrsetlen(controller->membership.nodes, 0);
			quota_shares_clear(&controller->quota);
			rollout_start_term(controller, now);
			controller->retention.logged_index = 0;
		}
		if (shard == SHARD_PURGE)
			publisher_start(controller, now, out);
	}
}

void on_leadership_lost(struct controller *controller, uint32_t shard, int64_t now, struct command_list *out)
{
	struct raft *raft = &controller->shards[shard];

	if (shard == SHARD_PURGE && controller->relay.is_publisher && !raft_has_lease(raft, now)) {
		/* between leases nothing is declared; as owner of the same term it goes on after the next */
		if (raft->role != RAFT_LEADER) {
			controller->relay.is_publisher = 0;
			arrsetlen(controller->relay.upstreams, 0);
			log_line(controller, "purge", out->pool, "The publisher's lease is lost here.");
		}
	}
	for (ptrdiff_t k = arrlen(controller->operators.logged_calls) - 1;
	     k >= 0 && shard == SHARD_CONTROL && raft->role != RAFT_LEADER; k--) {
		command_answer(out, controller->operators.logged_calls[k].token, 504, CONTROLLER_RETRY_MS,
			       error_json(out->pool, "leadership lost: outcome unknown, send it again", 0));
		arrdel(controller->operators.logged_calls, k);
	}
	if (raft->role != RAFT_LEADER)
		for (ptrdiff_t k = arrlen(controller->proposals.received) - 1; k >= 0; k--)
			if (controller->proposals.received[k].shard == shard) {
				reply_to_proposal(controller->proposals.received[k].proposer_addr,
						  controller->proposals.received[k].token,
						  PROPOSAL_OUTCOME_UNKNOWN, 0,
						  "ownership lost: outcome unknown", 0, out);
				arrdel(controller->proposals.received, k);
			}
}
