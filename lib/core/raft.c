/* One replicated state machine: begin and end, time, messages, disk syncs, proposals. Pure: events in, commands out.
 * Daemons, simulator and model checker run these functions alike. */
#include "raft_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

/* Whether an append or a piece is meant for another identity: one that was at our address before its disk was lost. What the
 * leader sends to that one would undo what it sends to us. */
static int is_for_another(const struct raft *raft, const struct Nl__Msg *m)
{
	uint64_t to = m->body_case == NL__MSG__BODY_APPEND           ? m->append->to
		      : m->body_case == NL__MSG__BODY_SNAPSHOT_PIECE ? m->snapshot_piece->to
								     : 0;

	return to && to != raft->id;
}

const char *raft_receive(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	struct raft_member *sender = raft_find_member(raft, m->id);
	const char *fault = raft_message_fault(raft, m);

	if (fault)
		return fault;
	if (is_for_another(raft, m))
		return NULL;
	if (sender)
		sender->message_at = now;
	if (sender && m->body_case == NL__MSG__BODY_VOTE_ASK) {
		sender->last_index = m->vote_ask->last;
		sender->last_term = m->vote_ask->last_term;
	}
	if (!raft_is_of_this_epoch(raft, m, now, o))
		return NULL;
	switch (m->body_case) {
	case NL__MSG__BODY_VOTE_ASK: raft_on_vote_request(raft, m, now, o); break;
	case NL__MSG__BODY_VOTE_REPLY: raft_on_vote_reply(raft, m, now, o); break;
	case NL__MSG__BODY_APPEND: raft_on_append(raft, m, now, o); break;
	case NL__MSG__BODY_APPEND_REPLY: raft_on_append_reply(raft, m, now, o); break;
	case NL__MSG__BODY_SNAPSHOT_PIECE: raft_on_snapshot_piece(raft, m, now, o); break;
	case NL__MSG__BODY_SNAPSHOT_REPLY: raft_on_snapshot_reply(raft, m, now, o); break;
	case NL__MSG__BODY_GIVE_UP: raft_on_give_up(raft, m, now, o); break;
	case NL__MSG__BODY_PROBE: raft_on_probe(raft, m, o); break;
	case NL__MSG__BODY_PROBE_REPLY: raft_on_probe_reply(raft, m, now); break;
	default: break;
	}
	return NULL;
}

void raft_tick(struct raft *raft, int64_t now, struct out *o)
{
	if (raft->role == RAFT_LEADER) {
		if (raft_sync_stalled(raft, now)) {
			raft_step_down(raft, now, o);
			return;
		}
		if (now > raft->lease_expires_at && now - raft->quorum_asked_at > RAFT_LEASE_MS) {
			raft_become_follower(raft, raft->term, now);
			return;
		}
		if (now < raft->lease_expires_at)
			raft->quorum_asked_at = now;
		raft_count_staying(raft, now);
		if (raft->leaving && raft_hand_over(raft, now, o))
			return;
		if (now - raft->heartbeat_at >= RAFT_HEARTBEAT_MS) {
			raft->heartbeat_at = now;
			raft->heartbeat_sent_at[++raft->round % 64] = now;
			raft_replicate(raft, 1, now, o);
			raft_advance_commit(raft);
		}
		return;
	}
	if (raft->fenced)
		return;
	if (raft->vote_barrier_unknown && now < raft->vote_barrier_until && now >= raft->probe_at)
		raft_send_probes(raft, now, o);
	if (now < raft->election_at || now < raft->vote_barrier_until || raft_sync_stalled(raft, now))
		return;
	if (!raft_find_member(raft, raft->id) || !raft_find_member(raft, raft->id)->voter)
		return;
	if (raft->leaving) { /* it only learns whether it was taken out */
		raft_request_votes(raft, 1, now, o);
		raft_retry_election_after(raft, RAFT_ELECTION_RETRY_MS, now);
		return;
	}
	raft->role = RAFT_PRE_CANDIDATE;
	raft->leader_id = raft->leader_addr = 0;
	raft_request_votes(raft, 1, now, o);
	raft_retry_election_after(raft, RAFT_ELECTION_RETRY_MS, now);
	raft_count_votes(raft, now, o);
}

void raft_synced(struct raft *raft, uint64_t seq, int64_t now, struct out *o)
{
	uint64_t to = raft->synced_index;

	if (seq <= raft->synced)
		return;
	raft->synced = seq;
	while (arrlen(raft->marks) && raft->marks[0].seq <= seq) {
		to = raft->marks[0].last;
		arrdel(raft->marks, 0);
	}
	raft->synced_index = to;
	if (raft->vote_held.on && raft->vote_held.seq <= seq) {
		raft->vote_held.on = 0;
		if (raft->vote_held.term == raft->term)
			raft_send_vote(raft, raft->vote_held.to, raft->term, 1, 0, o);
	}
	if (raft->role == RAFT_CANDIDATE)
		raft_count_votes(raft, now, o);
	if (raft->role == RAFT_LEADER)
		raft_advance_commit(raft);
	else if (raft->leader_addr && raft->matched)
		raft_send_append_reply(raft, raft->leader_addr, 1,
				       raft->matched < raft->synced_index ? raft->matched : raft->synced_index, raft->round, o);
}

uint64_t raft_propose(struct raft *raft, const uint8_t *d, size_t n, int64_t now)
{
	if (!raft_has_lease(raft, now) || raft->leaving)
		return 0;
	raft_append_entry(raft, raft->term, RAFT_ENTRY_OPERATION, d, n);
	return raft_last_index(raft);
}

void raft_flush(struct raft *raft, int64_t now, struct out *o)
{
	struct persist *s;
	struct raft_sync_mark mark;

	if (raft->role == RAFT_LEADER)
		raft_replicate(raft, 0, now, o);
	raft_release_previous(raft);
	if (!raft->dirty)
		return;
	s = apr_pcalloc(o->p, sizeof *s);
	s->part = raft->no;
	s->seq = ++raft->seq;
	s->term = raft->term;
	s->vote = raft->vote;
	s->cut = raft->cut;
	if (raft->dirty_from && raft->dirty_from <= raft_last_index(raft)) {
		s->n = (size_t)(raft_last_index(raft) - raft->dirty_from + 1);
		s->e = apr_palloc(o->p, s->n * sizeof *s->e);
		for (size_t i = 0; i < s->n; i++) {
			struct raft_entry *e = raft_entry_at(raft, raft->dirty_from + i);

			s->e[i] = (struct persist_entry){ raft->dirty_from + i, e->term, e->kind, e->len,
							  apr_pmemdup(o->p, e->data, e->len + 1) };
		}
	}
	if (raft->snapshot_dirty) {
		s->snap = 1;
		s->tidy = raft->drop_tail;
		s->base = raft->snapshot_index;
		s->base_term = raft->snapshot_term;
		s->drop = raft->base;
		s->members = apr_pmemdup(o->p, raft->snapshot_members, raft->snapshot_members_len + 1);
		s->members_len = raft->snapshot_members_len;
		s->data = apr_pmemdup(o->p, raft->snap, raft->snapshot_len + 1);
		s->data_len = raft->snapshot_len;
	}
	mark = (struct raft_sync_mark){ raft->seq, raft_last_index(raft), now };
	arrput(raft->marks, mark);
	raft->dirty = raft->snapshot_dirty = raft->drop_tail = 0;
	raft->dirty_from = raft->cut = 0;
	out_cmd(o, CMD_PERSIST)->u.persist = s;
}

void raft_open(struct raft *raft, uint32_t no, uint64_t id, uint64_t seed, const struct raft_saved *s, int64_t now)
{
	memset(raft, 0, sizeof *raft);
	raft->no = no;
	raft->id = id;
	raft->rng = seed ^ core_rdv(no, id);
	raft->replicas = RAFT_MIN_VOTERS;
	raft->member_lost_ms = RAFT_MEMBER_LOST_MS;
	raft->vote_barrier_until = now + RAFT_LEASE_MS; /* we may have promised before we fell */
	raft->vote_barrier_unknown = 1;
	raft->life = core_rand(&raft->rng);
	raft->probe_at = now;
	raft_reset_election_timer(raft, now);
	raft->snap = raft_copy_bytes(NULL, 0);
	raft->snapshot_members = raft_copy_bytes(NULL, 0);
	if (!s)
		return;
	raft->term = s->term;
	raft->vote = s->vote;
	if (s->base) {
		free(raft->snap);
		free(raft->snapshot_members);
		raft->snap = raft_copy_bytes(s->data, s->data_len);
		raft->snapshot_len = s->data_len;
		raft->snapshot_members = raft_copy_bytes(s->members, s->members_len);
		raft->snapshot_members_len = s->members_len;
		raft->snapshot_index = s->base;
		raft->snapshot_term = s->base_term;
		raft->snapshot_to_load = 1;
	}
	raft->base = s->base;
	raft->base_term = s->base_term;
	for (size_t i = 0; i < s->n; i++)
		if (s->log_from + i > s->base) {
			struct raft_entry e = s->e[i];

			e.data = raft_copy_bytes(s->e[i].data, s->e[i].len);
			arrput(raft->log, e);
		}
	raft->commit = raft->applied = raft->matched = raft->base;
	raft->synced_index = raft_last_index(raft);
	raft_reload_members(raft);
}

void raft_close(struct raft *raft)
{
	for (ptrdiff_t i = 0; i < arrlen(raft->log); i++)
		free(raft->log[i].data);
	arrfree(raft->log);
	arrfree(raft->marks);
	free(raft->snap);
	free(raft->snapshot_members);
	free(raft->previous.data);
	free(raft->previous.members);
	raft_drop_incoming(raft);
	memset(raft, 0, sizeof *raft);
}

void raft_bootstrap(struct raft *raft, const struct raft_member *m, int n, int64_t now, struct out *o)
{
	size_t len;
	uint8_t *d;

	(void)o;
	if (raft_last_index(raft) || raft->term || raft->member_count)
		return;
	d = raft_pack_members(raft, m, n, &len);
	raft->term = 1; /* entry 1 of term 1 is the same on every founder */
	raft_append_entry(raft, 1, RAFT_ENTRY_MEMBERS, d, len);
	raft_set_members(raft, d, len, 1);
	free(d);
	raft->election_at = now + (int64_t)(core_rand(&raft->rng) % 300);
	raft->vote_barrier_until = 0;
	raft->vote_barrier_unknown = 0;
}
