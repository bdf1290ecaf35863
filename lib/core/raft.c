/* One replicated state machine: begin and end, time, messages, disk syncs, proposals. Pure: events in,
 * commands out. Daemons, simulator and model checker run these functions alike. */
#include "raft_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

/* Whether an append or a piece is meant for another identity: one that was at our address before its disk was
 * lost. What the leader sends to that one would undo what it sends to us. */
static int is_for_another(const struct raft *raft, const struct Nl__Msg *message)
{
	uint64_t to = message->body_case == NL__MSG__BODY_APPEND ? message->append->recipient_id
		      : message->body_case == NL__MSG__BODY_SNAPSHOT_CHUNK
			  ? message->snapshot_chunk->recipient_id
			  : 0;

	return to && to != raft->id;
}

const char *raft_receive(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			 struct command_list *out)
{
	struct raft_member *sender = raft_find_member(raft, message->id);
	const char *fault = raft_message_fault(raft, message);

	if (fault)
		return fault;
	if (is_for_another(raft, message))
		return NULL;
	if (sender)
		sender->last_message_at_ms = now;
	if (sender && message->body_case == NL__MSG__BODY_VOTE_REQUEST) {
		sender->last_index = message->vote_request->last_index;
		sender->last_term = message->vote_request->last_term;
	}
	if (!raft_is_of_this_epoch(raft, message, now, out))
		return NULL;
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
	return NULL;
}

void raft_tick(struct raft *raft, int64_t now, struct command_list *out)
{
	if (raft->role == RAFT_LEADER) {
		if (raft_sync_stalled(raft, now)) {
			raft_step_down(raft, now, out);
			return;
		}
		if (now > raft->lease_expires_at_ms && now - raft->quorum_requested_at_ms > RAFT_LEASE_MS) {
			raft_become_follower(raft, raft->term, now);
			return;
		}
		if (now < raft->lease_expires_at_ms)
			raft->quorum_requested_at_ms = now;
		raft_count_remaining(raft, now);
		if (raft->draining && raft_hand_over(raft, now, out))
			return;
		if (now - raft->heartbeat_at_ms >= RAFT_HEARTBEAT_MS) {
			raft->heartbeat_at_ms = now;
			raft->heartbeat_sent_at_ms[++raft->heartbeat_round % 64] = now;
			raft_replicate(raft, 1, now, out);
			raft_advance_commit(raft);
		}
		return;
	}
	if (raft->fenced)
		return;
	if (raft->vote_barrier_unknown && now < raft->vote_barrier_until_ms && now >= raft->probe_at_ms)
		raft_send_probes(raft, now, out);
	if (now < raft->election_at_ms || now < raft->vote_barrier_until_ms || raft_sync_stalled(raft, now))
		return;
	if (!raft_find_member(raft, raft->id) || !raft_find_member(raft, raft->id)->voter)
		return;
	if (raft->draining) { /* it only learns whether it was taken out */
		raft_request_votes(raft, 1, now, out);
		raft_retry_election_after(raft, RAFT_ELECTION_RETRY_MS, now);
		return;
	}
	raft->role = RAFT_PRE_CANDIDATE;
	raft->leader_id = raft->leader_addr = 0;
	raft_request_votes(raft, 1, now, out);
	raft_retry_election_after(raft, RAFT_ELECTION_RETRY_MS, now);
	raft_count_votes(raft, now, out);
}

void raft_synced(struct raft *raft, uint64_t seq, int64_t now, struct command_list *out)
{
	uint64_t to = raft->synced_index;

	if (seq <= raft->synced_seq)
		return;
	raft->synced_seq = seq;
	while (arrlen(raft->pending_syncs) && raft->pending_syncs[0].seq <= seq) {
		to = raft->pending_syncs[0].last_index;
		arrdel(raft->pending_syncs, 0);
	}
	raft->synced_index = to;
	if (raft->pending_vote.active && raft->pending_vote.sync_seq <= seq) {
		raft->pending_vote.active = 0;
		if (raft->pending_vote.term == raft->term)
			raft_send_vote(raft, raft->pending_vote.candidate_addr, raft->term, 1, 0, out);
	}
	if (raft->role == RAFT_CANDIDATE)
		raft_count_votes(raft, now, out);
	if (raft->role == RAFT_LEADER)
		raft_advance_commit(raft);
	else if (raft->leader_addr && raft->matched_index)
		raft_send_append_reply(raft, raft->leader_addr, 1,
				       raft->matched_index < raft->synced_index ? raft->matched_index
										: raft->synced_index,
				       raft->heartbeat_round, out);
}

uint64_t raft_propose(struct raft *raft, const uint8_t *data, size_t size, int64_t now)
{
	if (!raft_has_lease(raft, now) || raft->draining)
		return 0;
	raft_append_entry(raft, raft->term, RAFT_ENTRY_OPERATION, data, size);
	return raft_last_index(raft);
}

void raft_flush(struct raft *raft, int64_t now, struct command_list *out)
{
	struct persist *s;
	struct raft_pending_sync mark;

	if (raft->role == RAFT_LEADER)
		raft_replicate(raft, 0, now, out);
	raft_release_previous(raft);
	if (!raft->dirty)
		return;
	s = apr_pcalloc(out->pool, sizeof *s);
	s->shard = raft->shard;
	s->seq = ++raft->sync_seq;
	s->term = raft->term;
	s->vote = raft->vote;
	s->truncate_from = raft->truncate_from;
	if (raft->dirty_from && raft->dirty_from <= raft_last_index(raft)) {
		s->entry_count = (size_t)(raft_last_index(raft) - raft->dirty_from + 1);
		s->entries = apr_palloc(out->pool, s->entry_count * sizeof *s->entries);
		for (size_t i = 0; i < s->entry_count; i++) {
			struct raft_entry *entry = raft_entry_at(raft, raft->dirty_from + i);

			s->entries[i] =
			    (struct persist_entry){ raft->dirty_from + i, entry->term, entry->kind,
						    entry->len,
						    apr_pmemdup(out->pool, entry->data, entry->len + 1) };
		}
	}
	if (raft->snapshot_dirty) {
		s->has_snapshot = 1;
		s->scrub = raft->drop_tail;
		s->snapshot_index = raft->snapshot_index;
		s->snapshot_term = raft->snapshot_term;
		s->drop_upto = raft->base_index;
		s->members = apr_pmemdup(out->pool, raft->snapshot_members, raft->snapshot_members_len + 1);
		s->members_len = raft->snapshot_members_len;
		s->data = apr_pmemdup(out->pool, raft->snapshot_data, raft->snapshot_len + 1);
		s->data_len = raft->snapshot_len;
	}
	mark = (struct raft_pending_sync){ raft->sync_seq, raft_last_index(raft), now };
	arrput(raft->pending_syncs, mark);
	raft->dirty = raft->snapshot_dirty = raft->drop_tail = 0;
	raft->dirty_from = raft->truncate_from = 0;
	command_add(out, CMD_PERSIST)->args.persist = s;
}

void raft_open(struct raft *raft, uint32_t shard, uint64_t id, uint64_t seed, const struct raft_saved *s,
	       int64_t now)
{
	memset(raft, 0, sizeof *raft);
	raft->shard = shard;
	raft->id = id;
	raft->random_state = seed ^ core_rendezvous_weight(shard, id);
	raft->replicas = RAFT_MIN_VOTERS;
	raft->member_lost_ms = RAFT_MEMBER_LOST_MS;
	raft->vote_barrier_until_ms = now + RAFT_LEASE_MS; /* we may have promised before we fell */
	raft->vote_barrier_unknown = 1;
	raft->incarnation = core_random(&raft->random_state);
	raft->probe_at_ms = now;
	raft_reset_election_timer(raft, now);
	raft->snapshot_data = raft_copy_bytes(NULL, 0);
	raft->snapshot_members = raft_copy_bytes(NULL, 0);
	if (!s)
		return;
	raft->term = s->term;
	raft->vote = s->vote;
	if (s->snapshot_index) {
		free(raft->snapshot_data);
		free(raft->snapshot_members);
		raft->snapshot_data = raft_copy_bytes(s->data, s->data_len);
		raft->snapshot_len = s->data_len;
		raft->snapshot_members = raft_copy_bytes(s->members, s->members_len);
		raft->snapshot_members_len = s->members_len;
		raft->snapshot_index = s->snapshot_index;
		raft->snapshot_term = s->snapshot_term;
		raft->snapshot_to_load = 1;
	}
	raft->base_index = s->snapshot_index;
	raft->base_term = s->snapshot_term;
	for (size_t i = 0; i < s->entry_count; i++)
		if (s->first_index + i > s->snapshot_index) {
			struct raft_entry entry = s->entries[i];

			entry.data = raft_copy_bytes(s->entries[i].data, s->entries[i].len);
			arrput(raft->log, entry);
		}
	raft->commit_index = raft->applied_index = raft->matched_index = raft->base_index;
	raft->synced_index = raft_last_index(raft);
	raft_reload_members(raft);
}

void raft_close(struct raft *raft)
{
	for (ptrdiff_t i = 0; i < arrlen(raft->log); i++)
		free(raft->log[i].data);
	arrfree(raft->log);
	arrfree(raft->pending_syncs);
	free(raft->snapshot_data);
	free(raft->snapshot_members);
	free(raft->previous.data);
	free(raft->previous.members);
	raft_drop_incoming(raft);
	memset(raft, 0, sizeof *raft);
}

void raft_bootstrap(struct raft *raft, const struct raft_member *member, int count, int64_t now,
		    struct command_list *out)
{
	size_t len;
	uint8_t *packed;

	(void)out;
	if (raft_last_index(raft) || raft->term || raft->member_count)
		return;
	packed = raft_pack_members(raft, member, count, &len);
	raft->term = 1; /* entry 1 of term 1 is the same on every founder */
	raft_append_entry(raft, 1, RAFT_ENTRY_MEMBERS, packed, len);
	raft_set_members(raft, packed, len, 1);
	free(packed);
	raft->election_at_ms = now + (int64_t)(core_random(&raft->random_state) % 300);
	raft->vote_barrier_until_ms = 0;
	raft->vote_barrier_unknown = 0;
}
