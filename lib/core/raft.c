/* The interface of one replicated state machine: start and end, ticks, messages, completed syncs and
 * proposals. It is pure: it takes events and returns commands. The daemons, the simulator and the model
 * checker run the same functions.
 *
 * Layers of the modules; each calls only modules below its own:
 *   raft.c                              events and their order within a step
 *   raft_replication, raft_reconfigure  appends, commit index, lease; changes of membership
 *   raft_take_snapshot, _transfer, _recovery snapshots and their transfer; planned stops; recovery
 *   raft_election                       roles, votes, vote barrier, election timer
 *   raft_drain                          which draining members may stop
 *   raft_members, _disk, _messages, _validate
 *   raft_log                            entries and terms */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "raft_internal.h"

/* Whether an append or a snapshot chunk is addressed to another identity, which had our address before its
 * disk was lost. The leader tracks both identities separately, so messages to the old one would undo the
 * effects of messages to us. */
static bool is_for_another_identity(const struct raft *raft, const struct Nl__Msg *message)
{
	uint64_t recipient_id = 0;

	if (message->body_case == NL__MSG__BODY_APPEND)
		recipient_id = message->append->recipient_id;
	else if (message->body_case == NL__MSG__BODY_SNAPSHOT_CHUNK)
		recipient_id = message->snapshot_chunk->recipient_id;
	return recipient_id && recipient_id != raft->id;
}

enum raft_fault raft_receive(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			     struct command_list *out)
{
	struct raft_member *sender = raft_find_member(raft, message->id);
	enum raft_fault fault = raft_message_fault(raft, message);

	if (fault)
		return fault;
	if (is_for_another_identity(raft, message))
		return RAFT_FAULT_NONE;
	if (sender)
		sender->last_message_at_ms = now;
	if (sender && message->body_case == NL__MSG__BODY_VOTE_REQUEST) {
		sender->vote.last_log_index = message->vote_request->last_index;
		sender->vote.last_log_term = message->vote_request->last_term;
	}
	if (!raft_accept_epoch(raft, message, now, out))
		return RAFT_FAULT_NONE;
	switch (message->body_case) {
	case NL__MSG__BODY_VOTE_REQUEST:
		raft_on_vote_request(raft, message, now, out);
		break;
	case NL__MSG__BODY_VOTE_REPLY:
		raft_on_vote_reply(raft, message, now, out);
		break;
	case NL__MSG__BODY_APPEND:
		raft_on_append(raft, message, now, out);
		break;
	case NL__MSG__BODY_APPEND_REPLY:
		raft_on_append_reply(raft, message, now, out);
		break;
	case NL__MSG__BODY_SNAPSHOT_CHUNK:
		raft_on_snapshot_chunk(raft, message, now, out);
		break;
	case NL__MSG__BODY_SNAPSHOT_REPLY:
		raft_on_snapshot_reply(raft, message, now, out);
		break;
	case NL__MSG__BODY_STEP_DOWN:
		raft_on_step_down(raft, message, now, out);
		break;
	case NL__MSG__BODY_PROBE:
		raft_on_probe(raft, message, out);
		break;
	case NL__MSG__BODY_PROBE_REPLY:
		raft_on_probe_reply(raft, message, now);
		break;
	default:
		break;
	}
	return RAFT_FAULT_NONE;
}

static void tick_leader(struct raft *raft, int64_t now, struct command_list *out)
{
	if (raft_is_sync_stalled(raft, now)) {
		raft_step_down(raft, now, out);
		return;
	}
	if (now > raft->lease.expires_at_ms && now - raft->lease.quorum_wait_started_at_ms > RAFT_LEASE_MS) {
		raft_become_follower(raft, raft->term, now);
		return;
	}
	if (now < raft->lease.expires_at_ms)
		raft->lease.quorum_wait_started_at_ms = now;
	raft_update_remaining_majority(raft, now);
	if (raft->drain.requested && raft_hand_over_leadership(raft, now, out))
		return;
	if (now - raft->lease.last_heartbeat_at_ms >= RAFT_HEARTBEAT_INTERVAL_MS) {
		raft->lease.last_heartbeat_at_ms = now;
		raft->lease
		    .heartbeat_sent_at_ms[++raft->lease.heartbeat_round % RAFT_HEARTBEAT_ROUND_HISTORY] = now;
		raft_replicate(raft, 1, now, out);
		raft_advance_commit(raft);
	}
}

static void tick_non_leader(struct raft *raft, int64_t now, struct command_list *out)
{
	const struct raft_member *self = raft_find_member(raft, raft->id);

	if (raft->fenced)
		return;
	if (raft->election.is_probing_for_leader && now < raft->election.vote_barrier_until_ms &&
	    now >= raft->election.next_probe_at_ms)
		raft_send_probes(raft, now, out);
	if (now < raft->election.timeout_at_ms || now < raft->election.vote_barrier_until_ms ||
	    raft_is_sync_stalled(raft, now))
		return;
	if (!self || !self->voter)
		return;
	if (raft->drain.requested) { /* the replies only show whether this member was removed */
		raft_request_votes(raft, 1, now, out);
		raft_retry_election_after(raft, RAFT_ELECTION_RETRY_MS, now);
		return;
	}
	raft_start_election(raft, now, out);
}

void raft_tick(struct raft *raft, int64_t now, struct command_list *out)
{
	if (raft->role == RAFT_LEADER)
		tick_leader(raft, now, out);
	else
		tick_non_leader(raft, now, out);
}

void raft_synced(struct raft *raft, uint64_t seq, int64_t now, struct command_list *out)
{
	if (!raft_complete_syncs(raft, seq))
		return;
	if (raft->disk.pending_vote.active && raft->disk.pending_vote.sync_seq <= seq) {
		raft->disk.pending_vote.active = false;
		if (raft->disk.pending_vote.term == raft->term)
			raft_send_vote_reply(raft, raft->disk.pending_vote.candidate_addr, raft->term, 1, 0,
					     out);
	}
	if (raft->role == RAFT_CANDIDATE)
		raft_count_votes(raft, now, out);
	if (raft->role == RAFT_LEADER)
		raft_advance_commit(raft);
	else if (raft->leader_addr && raft->log.matched_index)
		raft_send_append_reply(raft, raft->leader_addr, 1, raft_synced_match_index(raft),
				       raft->lease.heartbeat_round, out);
}

uint64_t raft_propose(struct raft *raft, const uint8_t *data, size_t size, int64_t now)
{
	if (!raft_has_lease(raft, now) || raft->drain.requested)
		return 0;
	raft_append_entry(raft, raft->term, RAFT_ENTRY_OPERATION, data, size);
	return raft_last_index(raft);
}

void raft_flush(struct raft *raft, int64_t now, struct command_list *out)
{
	if (raft->role == RAFT_LEADER)
		raft_replicate(raft, 0, now, out);
	raft_release_previous_snapshot(raft);
	raft_request_sync(raft, now, out);
}

/* ---- start and end ---- */

static void load_saved_log(struct raft *raft, const struct raft_saved *saved)
{
	raft->log.base_index = saved->snapshot_index;
	raft->log.base_term = saved->snapshot_term;
	for (size_t i = 0; i < saved->entry_count; i++) {
		struct raft_entry entry = saved->entries[i];

		if (saved->first_index + i <= saved->snapshot_index)
			continue;
		entry.data = raft_copy_bytes(entry.data, entry.len);
		arrput(raft->log.entries, entry);
	}
	raft->log.commit_index = raft->log.applied_index = raft->log.matched_index = raft->log.base_index;
	raft->disk.synced_index = raft_last_index(raft);
}

void raft_open(struct raft *raft, uint32_t shard, uint64_t id, uint64_t seed, const struct raft_saved *saved,
	       int64_t now)
{
	memset(raft, 0, sizeof *raft);
	raft->shard = shard;
	raft->id = id;
	raft->random_state = seed ^ core_rendezvous_weight(shard, id);
	raft->group.target_voters = RAFT_MIN_VOTERS;
	raft->group.member_lost_ms = RAFT_MEMBER_LOST_MS;
	raft_init_elections(raft, now);
	raft_load_snapshot(raft, saved);
	if (!saved)
		return;
	raft->term = saved->term;
	raft->voted_for = saved->voted_for;
	load_saved_log(raft, saved);
	raft_reload_members(raft);
}

void raft_close(struct raft *raft)
{
	for (ptrdiff_t i = 0; i < arrlen(raft->log.entries); i++)
		free(raft->log.entries[i].data);
	arrfree(raft->log.entries);
	arrfree(raft->disk.pending_syncs);
	raft_free_snapshots(raft);
	raft_drop_incoming_snapshot(raft);
	memset(raft, 0, sizeof *raft);
}

void raft_bootstrap(struct raft *raft, const struct raft_member *members, int count, int64_t now)
{
	size_t len;
	uint8_t *packed;

	if (raft_last_index(raft) || raft->term || raft->group.member_count)
		return;
	packed = raft_pack_members(raft, members, count, &len);
	raft->term = 1; /* entry 1, of term 1, is identical on all founding members */
	raft_append_entry(raft, 1, RAFT_ENTRY_MEMBERS, packed, len);
	raft_set_members(raft, packed, len, 1);
	free(packed);
	raft_schedule_first_election(raft, now);
}
