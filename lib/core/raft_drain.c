/* Leader: planned stops of members. The leader releases a draining member once no other member needs its copy
 * of the log; until then the draining member continues to vote and to store entries. Invariant: a committed
 * entry is stored by a majority that does not include members which may have stopped. */
#include "raft_internal.h"

uint64_t raft_member_synced_index(const struct raft *raft, const struct raft_member *member)
{
	return member->id == raft->id ? raft->disk.synced_index : member->progress.match_index;
}

static bool is_draining(const struct raft *raft, const struct raft_member *member)
{
	return member->id == raft->id ? raft->drain.requested : member->drain.requested;
}

static bool is_responsive(const struct raft *raft, const struct raft_member *member, int64_t now)
{
	return member->id == raft->id || now - member->progress.last_reply_at_ms <= RAFT_LEASE_MS;
}

/* Whether a member has been released and has not answered a later heartbeat round since. Such a member may
 * have stopped after it sent the acknowledgements that have been received. */
static bool may_have_stopped(const struct raft_member *member)
{
	return member->drain.release_round &&
	       member->progress.acked_heartbeat_round <= member->drain.release_round;
}

bool raft_others_have_synced(const struct raft *raft, uint64_t id, uint64_t index)
{
	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *member = &raft->group.members[i];

		if (member->voter && member->id != id && raft_member_synced_index(raft, member) < index)
			return false;
	}
	return true;
}

void raft_set_member_draining(struct raft *raft, struct raft_member *member, int draining)
{
	if (draining && !member->drain.requested) {
		member->drain.required_index = raft_last_index(raft);
		raft->drain.has_remaining_majority = false; /* until it is recomputed */
	}
	member->drain.requested = draining;
}

void raft_update_drain_requirements(struct raft *raft)
{
	if (raft->drain.has_remaining_majority)
		return;
	for (int i = 0; i < raft->group.member_count; i++) {
		struct raft_member *member = &raft->group.members[i];

		if (member->drain.requested && member->drain.required_index < raft->log.commit_index)
			member->drain.required_index = raft->log.commit_index;
	}
}

void raft_update_remaining_majority(struct raft *raft, int64_t now)
{
	int remaining = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *member = &raft->group.members[i];

		remaining += member->voter && !is_draining(raft, member) && !may_have_stopped(member) &&
			     is_responsive(raft, member, now) &&
			     raft_member_synced_index(raft, member) >= raft->log.term_start_index;
	}
	raft->drain.has_remaining_majority = remaining > raft_voter_count(raft) / 2;
}

uint64_t raft_index_counted_for_commit(const struct raft *raft, const struct raft_member *member)
{
	if (may_have_stopped(member))
		return 0;
	return raft->drain.has_remaining_majority && is_draining(raft, member)
		   ? 0
		   : raft_member_synced_index(raft, member);
}

bool raft_is_copy_redundant(const struct raft *raft, uint64_t id, uint64_t index)
{
	return raft->drain.has_remaining_majority && raft->group.members_index <= raft->log.commit_index &&
	       raft_others_have_synced(raft, id, index);
}

bool raft_is_released(const struct raft *raft, const struct raft_member *member)
{
	return member->drain.requested &&
	       raft_is_copy_redundant(raft, member->id, member->drain.required_index);
}

uint64_t raft_find_successor(const struct raft *raft, int64_t now)
{
	const struct raft_member *successor = NULL;

	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *member = &raft->group.members[i];

		if (!member->voter || member->id == raft->id || member->drain.requested ||
		    !is_responsive(raft, member, now))
			continue;
		if (!successor || member->progress.match_index > successor->progress.match_index ||
		    (member->progress.match_index == successor->progress.match_index &&
		     core_rendezvous_weight(raft->shard, member->id) >
			 core_rendezvous_weight(raft->shard, successor->id)))
			successor = member;
	}
	return successor ? successor->id : 0;
}
