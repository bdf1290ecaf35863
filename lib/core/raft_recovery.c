/* Recovery of a group that has permanently lost its majority, at an operator's request: one remaining
 * voter becomes the only member, with its own copy of the log, in a new epoch. The epoch is stored in the
 * upper bits of the term (RAFT_EPOCH_SHIFT). Members of an older epoch are fenced: their messages are
 * rejected, they neither vote nor lead once they have received a message of the newer epoch, and the group
 * does not readmit them under their old identity. */
#include <stdlib.h>
#include <string.h>

#include "raft_internal.h"

uint64_t raft_epoch(uint64_t term)
{
	return term >> RAFT_EPOCH_SHIFT;
}

/* Returns the term that a message carries. A probe carries none, so our own term is returned for it. */
static uint64_t message_term(const struct raft *raft, const struct Nl__Msg *message)
{
	switch (message->body_case) {
	case NL__MSG__BODY_VOTE_REQUEST:
		return message->vote_request->term;
	case NL__MSG__BODY_VOTE_REPLY:
		return message->vote_reply->term;
	case NL__MSG__BODY_APPEND:
		return message->append->term;
	case NL__MSG__BODY_APPEND_REPLY:
		return message->append_reply->term;
	case NL__MSG__BODY_SNAPSHOT_CHUNK:
		return message->snapshot_chunk->term;
	case NL__MSG__BODY_SNAPSHOT_REPLY:
		return message->snapshot_reply->term;
	case NL__MSG__BODY_STEP_DOWN:
		return message->step_down->term;
	case NL__MSG__BODY_PROBE_REPLY:
		return message->probe_reply->last_term;
	default:
		return raft->term;
	}
}

/* Mark this member's copy as one of an older epoch: from now on it neither leads, votes nor requests
 * votes. */
static void become_fenced(struct raft *raft, int64_t now)
{
	raft_become_follower(raft, raft->term, now);
	raft->leader_id = raft->leader_addr = 0;
	raft->fenced = true;
}

/* Reply to a leader of a newer epoch that this member's identity is of an older epoch. To join the group,
 * this controller needs a new identity. */
static void reject_membership(struct raft *raft, const struct Nl__Msg *message, struct command_list *out)
{
	struct Nl__AppendReply *reply = MESSAGE_NEW(out, Nl__AppendReply, NL__APPEND_REPLY__INIT);

	reply->term = message_term(raft, message);
	reply->fenced = true;
	command_send(out, message->addr, raft->shard, NL__MSG__BODY_APPEND_REPLY)->append_reply = reply;
}

static bool is_append_or_snapshot(const struct Nl__Msg *message)
{
	return message->body_case == NL__MSG__BODY_APPEND ||
	       message->body_case == NL__MSG__BODY_SNAPSHOT_CHUNK;
}

bool raft_accept_epoch(struct raft *raft, const struct Nl__Msg *message, int64_t now,
		       struct command_list *out)
{
	uint64_t message_epoch = raft_epoch(message_term(raft, message)), own_epoch = raft_epoch(raft->term);

	if (message_epoch == own_epoch)
		return !raft->fenced;
	if (message_epoch < own_epoch) {
		if (message->body_case == NL__MSG__BODY_VOTE_REQUEST || is_append_or_snapshot(message))
			raft_send_removed_reply(raft, message->addr, out); /* the sender is fenced */
		return false;
	}
	if (!raft->group.member_count) /* an empty replica joins a group of any epoch */
		return is_append_or_snapshot(message);
	become_fenced(raft, now);
	if (is_append_or_snapshot(message))
		reject_membership(raft, message, out);
	return false;
}

static bool is_listed_as_lost(const uint64_t *lost, int count, uint64_t id)
{
	for (int i = 0; i < count; i++)
		if (lost[i] == id)
			return true;
	return false;
}

enum raft_recovery raft_can_recover(const struct raft *raft, const uint64_t *lost, int count, int64_t now)
{
	int voter_count = 0, remaining_voters = 0, can_vote = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *member = &raft->group.members[i];
		int listed_as_lost = is_listed_as_lost(lost, count, member->id);

		if (!member->voter)
			continue;
		voter_count++;
		remaining_voters += !listed_as_lost;
		can_vote |= member->id == raft->id && !listed_as_lost;
		if (listed_as_lost && member->id != raft->id && member->last_message_at_ms &&
		    now - member->last_message_at_ms < RAFT_RECOVERY_SILENCE_MS)
			return RAFT_RECOVERY_LOST_MEMBER_ACTIVE;
		if (!listed_as_lost && (member->vote.last_log_term > raft_last_term(raft) ||
					(member->vote.last_log_term == raft_last_term(raft) &&
					 member->vote.last_log_index > raft_last_index(raft))))
			return RAFT_RECOVERY_NEWER_LOG_EXISTS;
	}
	if (!can_vote || raft->fenced)
		return RAFT_RECOVERY_NO_VOTER;
	if (raft->role == RAFT_LEADER || now < raft->election.vote_barrier_until_ms)
		return RAFT_RECOVERY_HAS_LEADER;
	if (remaining_voters > voter_count / 2)
		return RAFT_RECOVERY_MAJORITY_REMAINS;
	return RAFT_RECOVERY_POSSIBLE;
}

enum raft_recovery raft_recover(struct raft *raft, const uint64_t *lost, int count, int64_t now)
{
	enum raft_recovery verdict = raft_can_recover(raft, lost, count, now);
	struct raft_member self;
	size_t len;
	uint8_t *packed;

	if (verdict != RAFT_RECOVERY_POSSIBLE)
		return verdict;
	for (int i = 0; i < raft->group.member_count; i++)
		if (raft->group.members[i].id != raft->id)
			raft_add_fenced_id(raft, raft->group.members[i].id);
	self = *raft_find_member(raft, raft->id);
	raft_become_follower(raft, (raft_epoch(raft->term) + 1) << RAFT_EPOCH_SHIFT, now);
	raft->voted_for = raft->id;
	packed = raft_pack_members(raft, &self, 1, &len);
	raft_append_entry(raft, raft->term, RAFT_ENTRY_MEMBERS, packed, len);
	raft_set_members(raft, packed, len, raft_last_index(raft));
	free(packed);
	raft->election.vote_barrier_until_ms = 0;
	raft->election.is_probing_for_leader = false;
	raft->removed = false;
	raft->election.timeout_at_ms = now;
	return verdict;
}

const char *raft_recovery_strerror(enum raft_recovery verdict)
{
	switch (verdict) {
	case RAFT_RECOVERY_POSSIBLE:
		return "the group continues with this copy";
	case RAFT_RECOVERY_NO_VOTER:
		return "this registrar holds no vote in the group, or its copy is of an older epoch";
	case RAFT_RECOVERY_HAS_LEADER:
		return "the group has a leader";
	case RAFT_RECOVERY_MAJORITY_REMAINS:
		return "the members that are not named as lost are a majority";
	case RAFT_RECOVERY_LOST_MEMBER_ACTIVE:
		return "a member that is named as lost has sent a message recently";
	case RAFT_RECOVERY_NEWER_LOG_EXISTS:
		return "another remaining member holds a newer copy: recover the group there";
	}
	return "";
}
