/* The planned stop of this member. A leader first hands its leadership over to the most caught-up voter that
 * does not drain. The member may stop once a leader has released it: the remaining voters are then a
 * majority, and every other voter has synced all entries for which this member's copy could be needed
 * (raft_drain.c). Without a release, the process stops at the end of its grace period. */
#include "raft_internal.h"

/* A draining leader waits this time for a successor to catch up, and the same time for its election. */
enum { HANDOVER_TIMEOUT_MS = 1000 };

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
