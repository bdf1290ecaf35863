/* Leaving and handing over. A member that is to stop hands its leadership to the most caught-up voter that
 * stays, and may go once the leader says that the voters that stay are a majority and that every other voter
 * has synced all that its own copy could be needed for. Until then it stays up to the end of its grace.
 * Called by raft.c for ticks and by raft_replication.c for what is said to a leaving member. */
#include "raft_internal.h"

enum {
	HANDOVER_MS = 1000
}; /* a leaving leader waits so long for a successor to catch up, and then for its election */

static uint64_t synced_by(const struct raft *raft, const struct raft_member *member)
{
	return member->id == raft->id ? raft->synced_index : member->match_index;
}

static int is_draining(const struct raft *raft, const struct raft_member *member)
{
	return member->id == raft->id ? raft->draining : member->draining;
}

static int is_responsive(const struct raft *raft, const struct raft_member *member, int64_t now)
{
	return member->id == raft->id || now - member->last_reply_at_ms <= RAFT_LEASE_MS;
}

/* Whether a member was told that it may go, and has not answered a later heartbeat round since. Its
 * acknowledgements may be of before it went. */
static int may_have_stopped(const struct raft_member *member)
{
	return member->release_round && member->acked_round <= member->release_round;
}

/* Whether every other voter has synced an index. */
static int others_have_synced(const struct raft *raft, uint64_t id, uint64_t index)
{
	for (int i = 0; i < raft->member_count; i++) {
		const struct raft_member *member = &raft->members[i];

		if (member->voter && member->id != id && synced_by(raft, member) < index)
			return 0;
	}
	return 1;
}

void raft_note_draining(struct raft *raft, struct raft_member *member, int draining)
{
	if (draining && !member->draining) {
		member->drain_index = raft_last_index(raft);
		raft->has_remaining_majority = 0; /* until it is counted again */
	}
	member->draining = draining;
}

void raft_note_commit(struct raft *raft)
{
	if (raft->has_remaining_majority)
		return;
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].draining && raft->members[i].drain_index < raft->commit_index)
			raft->members[i].drain_index = raft->commit_index;
}

void raft_count_remaining(struct raft *raft, int64_t now)
{
	int remaining = 0;

	for (int i = 0; i < raft->member_count; i++) {
		const struct raft_member *member = &raft->members[i];

		remaining += member->voter && !is_draining(raft, member) && !may_have_stopped(member) &&
			     is_responsive(raft, member, now) && synced_by(raft, member) >= raft->term_start;
	}
	raft->has_remaining_majority = remaining > raft_voter_count(raft) / 2;
}

uint64_t raft_counted_index(const struct raft *raft, const struct raft_member *member)
{
	if (may_have_stopped(member))
		return 0;
	return raft->has_remaining_majority && is_draining(raft, member) ? 0 : synced_by(raft, member);
}

/* Whether a leaving voter's copy is needed by nobody: by members that are committed, the voters that stay are
 * a majority by themselves, and all others hold what it holds. Voters that are to stop do not vouch for each
 * other, even where all of them are: one of them may crash, come back to stay, and find itself without a
 * majority. */
static int is_expendable(const struct raft *raft, uint64_t id, uint64_t index)
{
	return raft->has_remaining_majority && raft->members_index <= raft->commit_index &&
	       others_have_synced(raft, id, index);
}

int raft_is_released(const struct raft *raft, const struct raft_member *member)
{
	return member->draining && is_expendable(raft, member->id, member->drain_index);
}

uint64_t raft_successor(const struct raft *raft, int64_t now)
{
	const struct raft_member *best = NULL;

	for (int i = 0; i < raft->member_count; i++) {
		const struct raft_member *member = &raft->members[i];

		if (!member->voter || member->id == raft->id || member->draining ||
		    !is_responsive(raft, member, now))
			continue;
		if (!best || member->match_index > best->match_index ||
		    (member->match_index == best->match_index &&
		     core_rendezvous_weight(raft->shard, member->id) >
			 core_rendezvous_weight(raft->shard, best->id)))
			best = member;
	}
	return best ? best->id : 0;
}

int raft_hand_over(struct raft *raft, int64_t now, struct command_list *out)
{
	const struct raft_member *successor = raft_find_member(raft, raft_successor(raft, now));
	uint64_t last = raft_last_index(raft);
	int ready = successor ? successor->match_index >= last : others_have_synced(raft, raft->id, last);

	if (!ready && now < raft->drain_deadline_ms)
		return 0;
	raft->release = is_expendable(raft, raft->id, last) ? RAFT_RELEASED_LATER : RAFT_NOT_RELEASED;
	raft->drain_deadline_ms = now + HANDOVER_MS;
	raft_step_down(raft, now, out);
	return 1;
}

void raft_drain(struct raft *raft, int64_t now)
{
	if (raft->draining)
		return;
	raft->draining = 1;
	raft->release = RAFT_NOT_RELEASED;
	raft->drain_deadline_ms = now + HANDOVER_MS;
}

int raft_may_stop(const struct raft *raft, int64_t now)
{
	const struct raft_member *self = NULL;

	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id == raft->id)
			self = &raft->members[i];
	if (raft->role == RAFT_LEADER)
		return 0;
	if (!self || !self->voter || raft->removed || raft->fenced)
		return 1;
	return raft->release == RAFT_RELEASED ||
	       (raft->release == RAFT_RELEASED_LATER && now >= raft->drain_deadline_ms);
}
