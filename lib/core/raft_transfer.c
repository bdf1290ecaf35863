/* A planned stop of this member. If it leads, it hands its leadership to the most caught-up voter that stays.
 * It may stop once a leader says that the voters that stay are a majority and that every other voter has
 * synced all that its own copy could be needed for (raft_drain.c); until then it stays up to the end of its
 * grace. Called by raft.c for ticks and by the control plane; calls raft_election.c, raft_drain.c and
 * raft_members.c. */
#include "raft_internal.h"

enum {
	HANDOVER_MS = 1000
}; /* a draining leader waits so long for a successor to catch up, and then for its election */

int raft_hand_over(struct raft *raft, int64_t now, struct command_list *out)
{
	const struct raft_member *successor = raft_find_member(raft, raft_successor(raft, now));
	uint64_t last = raft_last_index(raft);
	int ready;

	if (successor)
		ready = successor->progress.match_index >= last;
	else
		ready = raft_others_have_synced(raft, raft->id, last);
	if (!ready && now < raft->drain.deadline_ms)
		return 0;
	raft->drain.release =
	    raft_is_expendable(raft, raft->id, last) ? RAFT_RELEASED_LATER : RAFT_NOT_RELEASED;
	raft->drain.deadline_ms = now + HANDOVER_MS;
	raft_step_down(raft, now, out);
	return 1;
}

void raft_drain(struct raft *raft, int64_t now)
{
	if (raft->drain.requested)
		return;
	raft->drain.requested = true;
	raft->drain.release = RAFT_NOT_RELEASED;
	raft->drain.deadline_ms = now + HANDOVER_MS;
}

bool raft_may_stop(const struct raft *raft, int64_t now)
{
	const struct raft_member *self = raft_find_const_member(raft, raft->id);

	if (raft->role == RAFT_LEADER)
		return false;
	if (!self || !self->voter || raft->removed || raft->fenced)
		return true;
	return raft->drain.release == RAFT_RELEASED ||
	       (raft->drain.release == RAFT_RELEASED_LATER && now >= raft->drain.deadline_ms);
}
