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
	if (match[n / 2] > raft->commit && raft_term_at(raft, match[n / 2]) == raft->term)
		raft->commit = match[n / 2];
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

static void send_append(struct raft *raft, struct raft_member *m, int64_t now, struct out *o)
{
	struct Nl__Append *a;
	size_t n, bytes = 0;

	if (m->next <= raft->base) {
		raft_send_snapshot(raft, m, now, o);
		return;
	}
	a = OUT_NEW(o, Nl__Append, NL__APPEND__INIT);
	a->term = raft->term;
	a->prev = m->next - 1;
	a->prev_term = raft_term_at(raft, a->prev);
	a->commit = raft->commit;
	a->round = raft->round;
	a->released = raft_is_released(raft, m);
	n = (size_t)(raft_last_index(raft) - a->prev);
	n = n > 512 ? 512 : n;
	a->e = apr_palloc(o->p, (n + 1) * sizeof *a->e);
	for (size_t i = 0; i < n && bytes < 1 << 20; i++) {
		struct raft_entry *e = raft_entry_at(raft, a->prev + 1 + i);
		struct Nl__Entry *x = OUT_NEW(o, Nl__Entry, NL__ENTRY__INIT);

		x->term = e->term;
		x->kind = e->kind;
		x->data.data = apr_pmemdup(o->p, e->data, e->len);
		x->data.len = e->len;
		bytes += e->len;
		a->e[a->n_e++] = x;
	}
	m->next += a->n_e;
	out_msg(o, m->addr, raft->no, NL__MSG__BODY_APPEND)->append = a;
}

void raft_replicate(struct raft *raft, int all, int64_t now, struct out *o)
{
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id != raft->id && (all || raft->members[i].next <= raft_last_index(raft)))
			send_append(raft, &raft->members[i], now, o);
}

void raft_send_append_reply(struct raft *raft, uint64_t to, int ok, uint64_t match, uint64_t round, struct out *o)
{
	struct Nl__AppendReply *r = OUT_NEW(o, Nl__AppendReply, NL__APPEND_REPLY__INIT);

	r->term = raft->term;
	r->ok = ok;
	r->match = match;
	r->round = round;
	r->leaving = raft->leaving;
	out_msg(o, to, raft->no, NL__MSG__BODY_APPEND_REPLY)->append_reply = r;
}

/* A message of an owner at our term or a later one: follow it and promise it the licence. */
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

void raft_on_append(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__Append *a = m->append;
	uint64_t i = a->prev, end = a->prev + a->n_e, skip;

	if (!raft_accept_leader(raft, m, a->term, now)) {
		raft_send_append_reply(raft, m->addr, 0, 0, 0, o);
		return;
	}
	if (i > raft_last_index(raft) || (i >= raft->base && i > raft->commit && raft_term_at(raft, i) != a->prev_term)) {
		uint64_t hint = i > raft_last_index(raft) ? raft_last_index(raft) : i - 1;

		raft_send_append_reply(raft, m->addr, 0, hint > raft->commit ? hint : raft->commit, a->round, o);
		return;
	}
	raft->release = a->released ? RAFT_RELEASED : RAFT_HELD;
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
	raft->round = a->round;
	raft_send_append_reply(raft, m->addr, 1, raft->matched < raft->synced_index ? raft->matched : raft->synced_index, a->round,
			       o);
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
	who->heard_at = now;
	raft_note_leaving(raft, who, r->leaving);
	if (r->round > who->round)
		who->round = r->round;
	if (r->ok) {
		if (r->match > who->match)
			who->match = r->match;
		if (who->next <= who->match)
			who->next = who->match + 1;
	} else {
		who->next = r->match + 1;
		if (who->next <= who->match)
			who->next = who->match + 1;
		send_append(raft, who, now, o);
	}
	raft_advance_commit(raft);
}
