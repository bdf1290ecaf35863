/* Replication: append messages, their replies, the commit index and the leader lease.
 * Called by raft.c for messages and ticks. An entry is committed once a majority of voters has synced it in the leader's own
 * term; a lease is counted from the moment at which its heartbeat round was sent. */
#include "raft_internal.h"

#include <apr_strings.h>
#include <stdlib.h>

static int cmp_desc(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

void raft_advance_commit(struct raft *raft)
{
	uint64_t match[RAFT_MAX_MEMBERS], round[RAFT_MAX_MEMBERS];
	int n = 0;

	for (int i = 0; i < raft->member_count; i++) {
		if (!raft->members[i].voter)
			continue;
		match[n] = raft_counted_index(raft, &raft->members[i]);
		round[n++] = raft->members[i].id == raft->id ? raft->round : raft->members[i].round;
	}
	if (!n)
		return;
	qsort(match, (size_t)n, sizeof *match, cmp_desc);
	qsort(round, (size_t)n, sizeof *round, cmp_desc);
	if (match[n / 2] > raft->commit && raft_term_at(raft, match[n / 2]) == raft->term) {
		raft->commit = match[n / 2];
		raft_note_commit(raft);
	}
	if (round[n / 2] && raft->round - round[n / 2] < 64) {
		int64_t until = raft->heartbeat_sent_at[round[n / 2] % 64] + RAFT_LEASE_MS - RAFT_LEASE_MARGIN_MS;

		if (until > raft->lease_expires_at)
			raft->lease_expires_at = until;
	}
}

int raft_has_lease(const struct raft *raft, int64_t now)
{
	return raft->role == RAFT_LEADER && now < raft->lease_expires_at && raft->commit >= raft->term_start;
}

/* The number of bytes of entries under way to a member, counted no further than the window. */
static size_t bytes_under_way(const struct raft *raft, const struct raft_member *m)
{
	size_t bytes = 0;

	for (uint64_t i = m->unacked; i < m->next && bytes < RAFT_APPEND_WINDOW_BYTES; i++) {
		const struct raft_entry *e = raft_entry_at(raft, i);

		bytes += e ? e->len : 0;
	}
	return bytes;
}

static struct Nl__Append *new_append(struct raft *raft, struct raft_member *m, uint64_t prev, struct out *o)
{
	struct Nl__Append *a = OUT_NEW(o, Nl__Append, NL__APPEND__INIT);

	a->term = raft->term;
	a->to = m->id;
	a->prev = prev;
	a->prev_term = raft_term_at(raft, prev);
	a->commit = raft->commit;
	a->round = raft->round;
	a->released = raft_is_released(raft, m);
	if (a->released)
		m->release_round = raft->round;
	out_msg(o, m->addr, raft->no, NL__MSG__BODY_APPEND)->append = a;
	return a;
}

/* An append without entries, at an index that the member is known to hold, or at the one that is guessed. It never waits for
 * entries or pieces, nor can it arrive too early for them. */
static void send_heartbeat(struct raft *raft, struct raft_member *m, struct out *o)
{
	uint64_t prev = m->probing ? m->next - 1 : m->match;

	(void)new_append(raft, m, prev > raft->base ? prev : raft->base, o);
}

/* Entries from next on: as many as the window has room for, and one at least when none is under way. */
static void send_entries(struct raft *raft, struct raft_member *m, int64_t now, struct out *o)
{
	size_t bytes = bytes_under_way(raft, m), n = (size_t)(raft_last_index(raft) + 1 - m->next);
	int idle = m->next == m->unacked;
	struct Nl__Append *a;

	if (!n || (!idle && bytes >= RAFT_APPEND_WINDOW_BYTES))
		return;
	if (idle)
		m->progress_at = now;
	n = n > RAFT_APPEND_MAX_ENTRIES ? RAFT_APPEND_MAX_ENTRIES : n;
	a = new_append(raft, m, m->next - 1, o);
	a->e = apr_palloc(o->p, n * sizeof *a->e);
	while (a->n_e < n && (!a->n_e || bytes < RAFT_APPEND_WINDOW_BYTES)) {
		struct raft_entry *e = raft_entry_at(raft, m->next++);
		struct Nl__Entry *x = OUT_NEW(o, Nl__Entry, NL__ENTRY__INIT);

		x->term = e->term;
		x->kind = e->kind;
		x->data.data = apr_pmemdup(o->p, e->data, e->len);
		x->data.len = e->len;
		bytes += e->len;
		a->e[a->n_e++] = x;
	}
}

/* Silence: entries under way are taken for lost, and go out again less and less often. */
static void resend_after_silence(const struct raft *raft, struct raft_member *m, int64_t now)
{
	int64_t carried_ms = (int64_t)(bytes_under_way(raft, m) / RAFT_RESEND_BYTES_PER_MS);

	if (m->next == m->unacked || now - m->progress_at < m->resend_ms + carried_ms)
		return;
	m->next = m->unacked;
	m->progress_at = now;
	m->resend_ms = m->resend_ms * 2 < RAFT_RESEND_MAX_MS ? m->resend_ms * 2 : RAFT_RESEND_MAX_MS;
}

static void send_missing(struct raft *raft, struct raft_member *m, int64_t now, struct out *o)
{
	if (m->probing && m->next > raft->base)
		return;
	resend_after_silence(raft, m, now);
	if (m->next <= raft->base)
		raft_send_snapshot(raft, m, now, o);
	else
		send_entries(raft, m, now, o);
}

void raft_replicate(struct raft *raft, int all, int64_t now, struct out *o)
{
	for (int i = 0; i < raft->member_count; i++) {
		struct raft_member *m = &raft->members[i];

		if (m->id == raft->id)
			continue;
		if (all)
			send_heartbeat(raft, m, o);
		send_missing(raft, m, now, o);
	}
}

void raft_send_append_reply(struct raft *raft, uint64_t to, int ok, uint64_t match, uint64_t round, struct out *o)
{
	struct Nl__AppendReply *r = OUT_NEW(o, Nl__AppendReply, NL__APPEND_REPLY__INIT);

	r->term = raft->term;
	r->ok = ok;
	r->match = match;
	r->matched = ok ? raft->matched : 0;
	r->round = round;
	r->leaving = raft->leaving;
	out_msg(o, to, raft->no, NL__MSG__BODY_APPEND_REPLY)->append_reply = r;
}

/* A message of an owner at our term or a later one: follow it and promise it the lease. */
int raft_accept_leader(struct raft *raft, const struct Nl__Msg *m, uint64_t term, int64_t now)
{
	if (term < raft->term)
		return 0;
	if (term > raft->term || raft->role != RAFT_FOLLOWER)
		raft_become_follower(raft, term, now);
	raft->leader_id = m->id;
	raft->leader_addr = m->addr;
	raft->vote_barrier_until = now + RAFT_LEASE_MS;
	raft->vote_barrier_unknown = 0;
	raft->removed = 0;
	raft_reset_election_timer(raft, now);
	return 1;
}

/* Whether this member may go: what the newest round says, as entries may arrive later than heartbeats that were sent after
 * them. The answer carries the round, so that the leader knows that this member has heard it. */
static void note_release(struct raft *raft, const struct Nl__Append *a)
{
	if (a->round < raft->release_round)
		return;
	raft->release_round = a->round;
	raft->release = a->released ? RAFT_RELEASED : RAFT_HELD;
}

void raft_on_append(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__Append *a = m->append;
	uint64_t i = a->prev, end = a->prev + a->n_e, skip;

	if (!raft_accept_leader(raft, m, a->term, now)) {
		raft_send_append_reply(raft, m->addr, 0, 0, 0, o);
		return;
	}
	note_release(raft, a);
	if (i > raft_last_index(raft) || (i >= raft->base && i > raft->commit && raft_term_at(raft, i) != a->prev_term)) {
		uint64_t hint = i > raft_last_index(raft) ? raft_last_index(raft) : i - 1;

		raft_send_append_reply(raft, m->addr, 0, hint > raft->commit ? hint : raft->commit, a->round, o);
		return;
	}
	skip = raft->commit > i ? raft->commit - i : 0; /* committed entries never differ */
	for (size_t k = skip; k < a->n_e; k++) {
		const struct Nl__Entry *e = a->e[k];
		uint64_t x = i + k + 1;

		if (x <= raft_last_index(raft) && raft_term_at(raft, x) == e->term)
			continue;
		if (x <= raft_last_index(raft)) {
			raft_truncate_from(raft, x);
			if (raft->members_index >= x)
				raft_reload_members(raft);
		}
		raft_append_entry(raft, e->term, e->kind, e->data.data, e->data.len);
		if (e->kind == RAFT_ENTRY_MEMBERS)
			raft_set_members(raft, e->data.data, e->data.len, x);
	}
	if (end > raft->matched)
		raft->matched = end;
	if (a->commit > raft->commit) {
		uint64_t c = a->commit < raft->matched ? a->commit : raft->matched;

		if (c > raft->commit)
			raft->commit = c;
	}
	if (raft->dirty && a->round == raft->round)
		return; /* nothing new to say before the sync, and then raft_synced says it */
	if (a->round > raft->round)
		raft->round = a->round; /* entries arrive later than heartbeats that were sent after them */
	raft_send_append_reply(raft, m->addr, 1, raft->matched < raft->synced_index ? raft->matched : raft->synced_index, a->round,
			       o);
}

/* The member's log is ours up to matched, and synced up to match. The reply may be to an earlier append than the one that asked
 * where the member stands, so what goes out next begins behind what it vouches for. */
static void on_accepted(struct raft_member *who, uint64_t match, uint64_t matched, int64_t now)
{
	uint64_t known = matched > match ? matched : match;

	if (who->probing && known + 1 < who->next)
		who->next = who->unacked = known + 1;
	who->probing = 0;
	if (match > who->match) {
		who->match = match;
		who->progress_at = now;
		who->resend_ms = RAFT_RESEND_MS;
	}
	if (who->unacked <= who->match)
		who->unacked = who->match + 1;
	if (who->next < who->unacked)
		who->next = who->unacked;
}

/* The member's log does not reach or match: it is asked again at its hint, without entries until it agrees. A hint below the
 * base means a snapshot, whose replies say more than further appends would. */
static void on_rejected(struct raft *raft, struct raft_member *who, uint64_t hint, struct out *o)
{
	who->next = who->unacked = (hint > who->match ? hint : who->match) + 1;
	if (who->next <= raft->base)
		return;
	who->probing = 1;
	send_heartbeat(raft, who, o);
}

void raft_on_append_reply(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__AppendReply *r = m->append_reply;
	struct raft_member *who = raft_find_member(raft, m->id);

	if (r->term > raft->term) {
		raft_become_follower(raft, r->term, now);
		return;
	}
	if (raft->role != RAFT_LEADER || r->term != raft->term || !who)
		return;
	if (r->fenced) {
		raft_add_fenced(raft, m->id);
		return;
	}
	who->heard_at = now;
	raft_note_leaving(raft, who, r->leaving);
	if (r->round > who->round)
		who->round = r->round;
	if (r->ok)
		on_accepted(who, r->match, r->matched, now);
	else
		on_rejected(raft, who, r->match, o);
	if (who->next > raft->base && who->transfer.index)
		raft_end_transfer(raft, who);
	raft_advance_commit(raft);
}
