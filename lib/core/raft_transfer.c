/* A planned stop of this member. If it leads, it hands its leadership to the most caught-up voter that stays.
 * It may stop once a leader says that the voters that stay are a majority and that every other voter has
 * synced all that its own copy could be needed for (raft_drain.c); until then it stays up to the end of its
 * grace. Called by raft.c for ticks and by the control plane; calls raft_election.c, raft_drain.c and
 * raft_members.c. */
#include "raft_internal.h"

enum {
	HANDOVER_TIMEOUT_MS = 1000
}; /* a draining leader waits so long for a successor to catch up, and then for its election */

int raft_hand_over_leadership(struct raft *raft, int64_t now, struct command_list *out)
{
	const struct raft_member *successor = raft_find_member(raft, raft_find_successor(raft, now));
	uint64_t last_index = raft_last_index(raft);
	int may_step_down;

	if (successor)
		may_step_down = successor->progress.match_index >= last_index;
	else
		may_step_down = raft_others_have_synced(raft, raft->id, last_index);
	if (!may_step_down && now < raft->drain.deadline_at_ms)
		return 0;
	raft->drain.release = raft_is_copy_redundant(raft, raft->id, last_index)
				  ? RAFT_RELEASED_AFTER_ELECTION
				  : RAFT_NOT_RELEASED;
	raft->drain.deadline_at_ms = now + HANDOVER_TIMEOUT_MS;
	raft_step_down(raft, now, out);
	return 1;
}

void raft_drain(struct raft *raft, int64_t now)
{
	if (raft->drain.requested)
		return;
	raft->drain.requested = true;
	raft->drain.release = RAFT_NOT_RELEASED;
	raft->drain.deadline_at_ms = now + HANDOVER_TIMEOUT_MS;
}

bool raft_may_stop(const struct raft *raft, int64_t now)
{
	const struct raft_member *self = raft_find_const_member(raft, raft->id);

	if (raft->role == RAFT_LEADER)
		return false;
	if (!self || !self->voter || raft->removed || raft->fenced)
		return true;
	return raft->drain.release == RAFT_RELEASED ||
	       (raft->drain.release == RAFT_RELEASED_AFTER_ELECTION && now >= raft->drain.deadline_at_ms);
}
