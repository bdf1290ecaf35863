#include "raft.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

/* ---- the log ---------------------------------------------------------- */

static uint64_t raft_last_index(const struct raft *raft) { return raft->base + (uint64_t)arrlen(raft->log); }

static struct raft_entry *raft_entry_at(const struct raft *raft, uint64_t i)
{
	return i > raft->base && i <= raft_last_index(raft) ? &raft->log[i - raft->base - 1] : NULL;
}

static uint64_t raft_term_at(const struct raft *raft, uint64_t i)
{
	struct raft_entry *e = raft_entry_at(raft, i);

	return e ? e->term : i == raft->base ? raft->base_term : i == raft->snapshot_index ? raft->snapshot_term : 0;
}

static uint8_t *raft_copy_bytes(const uint8_t *d, size_t n)
{
	uint8_t *c = malloc(n + 1);

	if (!c)
		abort();
	if (n)
		memcpy(c, d, n);
	return c;
}

static void raft_mark_dirty(struct raft *raft, uint64_t from)
{
	raft->dirty = 1;
	if (from && (!raft->dirty_from || from < raft->dirty_from))
		raft->dirty_from = from;
}

static void raft_append_entry(struct raft *raft, uint64_t term, uint32_t kind, const uint8_t *d, size_t n)
{
	struct raft_entry e = { term, kind, n, raft_copy_bytes(d, n) };

	arrput(raft->log, e);
	raft_mark_dirty(raft, raft_last_index(raft));
}

static void raft_truncate_from(struct raft *raft, uint64_t from)
{
	for (uint64_t i = from; i <= raft_last_index(raft); i++)
		free(raft_entry_at(raft, i)->data);
	arrsetlen(raft->log, (size_t)(from - raft->base - 1));
	if (!raft->cut || from < raft->cut)
		raft->cut = from;
	raft_mark_dirty(raft, 0);
	if (raft->dirty_from > raft_last_index(raft))
		raft->dirty_from = 0;
	if (raft->synced_index >= from)
		raft->synced_index = from - 1;
	for (ptrdiff_t i = 0; i < arrlen(raft->marks); i++)
		if (raft->marks[i].last >= from)
			raft->marks[i].last = from - 1;
}

/* ---- members ---------------------------------------------------------- */

static struct raft_member *raft_find_member(struct raft *raft, uint64_t id)
{
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id == id)
			return &raft->members[i];
	return NULL;
}

static int raft_voter_count(const struct raft *raft)
{
	int n = 0;

	for (int i = 0; i < raft->member_count; i++)
		n += raft->members[i].voter;
	return n;
}

static void raft_set_members(struct raft *raft, const uint8_t *d, size_t n, uint64_t index)
{
	struct Nl__Members *ms = nl__members__unpack(NULL, n, d);
	struct raft_member old[RAFT_MAX_MEMBERS];
	int oldn = raft->member_count;

	memcpy(old, raft->members, sizeof old);
	raft->member_count = 0;
	raft->members_index = index;
	for (size_t i = 0; ms && i < ms->n_m && raft->member_count < RAFT_MAX_MEMBERS; i++) {
		struct raft_member *m = &raft->members[raft->member_count++];

		memset(m, 0, sizeof *m);
		m->next = raft_last_index(raft) + 1;
		for (int k = 0; k < oldn; k++)
			if (old[k].id == ms->m[i]->id)
				*m = old[k];
		m->id = ms->m[i]->id;
		m->addr = ms->m[i]->addr;
		m->voter = ms->m[i]->voter;
	}
	if (ms)
		nl__members__free_unpacked(ms, NULL);
}

/* After a cut or a load: the newest members entry in the log, else the snapshot's. */
static void raft_reload_members(struct raft *raft)
{
	for (uint64_t i = raft_last_index(raft); i > raft->base; i--)
		if (raft_entry_at(raft, i)->kind == RAFT_ENTRY_MEMBERS) {
			raft_set_members(raft, raft_entry_at(raft, i)->data, raft_entry_at(raft, i)->len, i);
			return;
		}
	raft_set_members(raft, raft->snapshot_members, raft->snapshot_members_len, raft->snapshot_index);
}

/* The members in force at index i, packed: what a snapshot at i must carry. */
static void raft_members_in_force(struct raft *raft, uint64_t i, const uint8_t **d, size_t *n)
{
	for (; i > raft->base; i--)
		if (raft_entry_at(raft, i)->kind == RAFT_ENTRY_MEMBERS) {
			*d = raft_entry_at(raft, i)->data;
			*n = raft_entry_at(raft, i)->len;
			return;
		}
	*d = raft->snapshot_members;
	*n = raft->snapshot_members_len;
}

static uint8_t *raft_pack_members(const struct raft_member *m, int n, size_t *len)
{
	struct Nl__Members ms = NL__MEMBERS__INIT;
	struct Nl__Member v[RAFT_MAX_MEMBERS], *pv[RAFT_MAX_MEMBERS];
	uint8_t *d;

	for (int i = 0; i < n; i++) {
		nl__member__init(&v[i]);
		v[i].id = m[i].id;
		v[i].addr = m[i].addr;
		v[i].voter = m[i].voter;
		pv[i] = &v[i];
	}
	ms.n_m = (size_t)n;
	ms.m = pv;
	*len = nl__members__get_packed_size(&ms);
	d = raft_copy_bytes(NULL, 0);
	d = realloc(d, *len + 1);
	if (!d)
		abort();
	nl__members__pack(&ms, d);
	return d;
}

/* ---- roles ------------------------------------------------------------ */

static void raft_reset_election_timer(struct raft *raft, int64_t now)
{
	raft->election_at = now + RAFT_ELECTION_MS + (int64_t)(core_rand(&raft->rng) % (RAFT_ELECTION_MS / 2));
}

/* No owner is about, so the next try need not wait for one; but a slow disk must have had its time. */
static void raft_retry_election_after(struct raft *raft, int64_t wait, int64_t now)
{
	raft->election_at = now + wait + (int64_t)(core_rand(&raft->rng) % RAFT_ELECTION_RETRY_MS);
}

static void raft_become_follower(struct raft *raft, uint64_t term, int64_t now)
{
	if (term > raft->term) {
		raft->term = term;
		raft->vote = 0;
		raft_mark_dirty(raft, 0);
		raft->leader_id = raft->leader_addr = 0;
		raft->matched = raft->commit;
		raft->round = 0; /* rounds are counted within a term */
	}
	if (raft->role == RAFT_LEADER)
		raft->leader_id = raft->leader_addr = 0;
	raft->role = RAFT_FOLLOWER;
	raft->lease_expires_at = 0;
	raft->self_vote_seq = 0;
	raft_reset_election_timer(raft, now);
}

static int raft_sync_stalled(const struct raft *raft, int64_t now)
{
	return arrlen(raft->marks) && now - raft->marks[0].at > RAFT_SYNC_STALL_MS;
}

static void raft_request_votes(struct raft *raft, int pre, int64_t now, struct out *o)
{
	for (int i = 0; i < raft->member_count; i++) {
		struct Nl__VoteAsk *a;

		raft->members[i].granted = 0;
		if (raft->members[i].id == raft->id || !raft->members[i].voter)
			continue;
		a = OUT_NEW(o, Nl__VoteAsk, NL__VOTE_ASK__INIT);
		a->term = pre ? raft->term + 1 : raft->term;
		a->last = raft_last_index(raft);
		a->last_term = raft_term_at(raft, raft_last_index(raft));
		a->pre = pre;
		out_msg(o, raft->members[i].addr, raft->no, NL__MSG__BODY_VOTE_ASK)->vote_ask = a;
	}
	raft->quorum_asked_at = now;
}

static void become_leader(struct raft *raft, int64_t now, struct out *o)
{
	raft->role = RAFT_LEADER;
	raft->leader_id = raft->id;
	raft->leader_addr = o->addr;
	raft->lease_expires_at = 0;
	raft->quorum_asked_at = now;
	raft->heartbeat_at = 0;
	raft->round = 0;
	for (int i = 0; i < raft->member_count; i++) {
		raft->members[i].next = raft_last_index(raft) + 1;
		raft->members[i].match = 0;
		raft->members[i].round = 0;
		raft->members[i].heard_at = now - raft->member_lost_ms / 2; /* who fell with the last owner has been silent since then */
		raft->members[i].snapshot_sent_at = 0;
	}
	for (int i = 0; i < 64; i++)
		raft->heartbeat_sent_at[i] = now - 1000 * RAFT_LEASE_MS; /* acks of earlier rounds grant nothing */
	raft_append_entry(raft, raft->term, RAFT_ENTRY_NOOP, NULL, 0);
	raft->term_start = raft_last_index(raft);
	raft->elections++;
}

static void become_candidate(struct raft *raft, struct out *o, int64_t now)
{
	raft->role = RAFT_CANDIDATE;
	raft->term++;
	raft->vote = raft->id;
	raft->matched = raft->commit;
	raft->round = 0;
	raft->leader_id = raft->leader_addr = 0;
	raft_mark_dirty(raft, 0);
	raft->self_vote_seq = raft->seq + 1; /* the sync that this step's flush will ask for */
	raft_request_votes(raft, 0, now, o);
	raft_retry_election_after(raft, RAFT_SYNC_STALL_MS, now);
}

static void raft_count_votes(struct raft *raft, int64_t now, struct out *o)
{
	int n = 0;

	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].voter)
			n += raft->members[i].id == raft->id
			         ? raft->role == RAFT_PRE_CANDIDATE || raft->synced >= raft->self_vote_seq
			         : raft->members[i].granted;
	if (n <= raft_voter_count(raft) / 2)
		return;
	if (raft->role == RAFT_PRE_CANDIDATE)
		become_candidate(raft, o, now);
	else if (raft->role == RAFT_CANDIDATE)
		become_leader(raft, now, o);
}

/* ---- the owner's bookkeeping -------------------------------------------- */

static int cmp_desc(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

static void raft_advance_commit(struct raft *raft)
{
	uint64_t match[RAFT_MAX_MEMBERS], round[RAFT_MAX_MEMBERS];
	int n = 0;

	for (int i = 0; i < raft->member_count; i++) {
		if (!raft->members[i].voter)
			continue;
		match[n] = raft->members[i].id == raft->id ? raft->synced_index : raft->members[i].match;
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
		struct Nl__Snap *s;

		if (m->snapshot_sent_at && now - m->snapshot_sent_at < 1000)
			return;
		m->snapshot_sent_at = now;
		s = OUT_NEW(o, Nl__Snap, NL__SNAP__INIT);
		s->term = raft->term;
		s->index = raft->snapshot_index;
		s->index_term = raft->snapshot_term;
		s->members = (struct Nl__Members *)core_unpack(o->p, &nl__members__descriptor, raft->snapshot_members_len,
		                                               raft->snapshot_members);
		s->data.data = apr_pmemdup(o->p, raft->snap, raft->snapshot_len);
		s->data.len = raft->snapshot_len;
		s->round = raft->round;
		out_msg(o, m->addr, raft->no, NL__MSG__BODY_SNAP)->snap = s;
		return;
	}
	a = OUT_NEW(o, Nl__Append, NL__APPEND__INIT);
	a->term = raft->term;
	a->prev = m->next - 1;
	a->prev_term = raft_term_at(raft, a->prev);
	a->commit = raft->commit;
	a->round = raft->round;
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

static void raft_replicate(struct raft *raft, int all, int64_t now, struct out *o)
{
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id != raft->id && (all || raft->members[i].next <= raft_last_index(raft)))
			send_append(raft, &raft->members[i], now, o);
}

/* ---- messages --------------------------------------------------------- */

static void raft_send_vote(struct raft *raft, uint64_t to, uint64_t term, int granted, int pre, struct out *o)
{
	struct Nl__VoteReply *r = OUT_NEW(o, Nl__VoteReply, NL__VOTE_REPLY__INIT);

	r->term = term;
	r->granted = granted;
	r->pre = pre;
	out_msg(o, to, raft->no, NL__MSG__BODY_VOTE_REPLY)->vote_reply = r;
}

static void raft_on_vote_request(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__VoteAsk *a = m->vote_ask;
	int newer = a->last_term > raft_term_at(raft, raft_last_index(raft)) ||
	            (a->last_term == raft_term_at(raft, raft_last_index(raft)) && a->last >= raft_last_index(raft));
	int free_to = now >= raft->vote_barrier_until && !raft_has_lease(raft, now);

	if (a->pre || !free_to || a->term < raft->term) {
		raft_send_vote(raft, m->addr, a->pre && newer && free_to ? a->term : raft->term,
		          a->pre && newer && free_to && a->term > raft->term, a->pre, o);
		return;
	}
	if (a->term > raft->term)
		raft_become_follower(raft, a->term, now);
	if (!newer || (raft->vote && raft->vote != m->id)) {
		raft_send_vote(raft, m->addr, raft->term, 0, 0, o);
		return;
	}
	raft->vote = m->id;
	raft_mark_dirty(raft, 0);
	raft->vote_held.on = 1; /* said only once it is on the disk */
	raft->vote_held.seq = raft->seq + 1;
	raft->vote_held.to = m->addr;
	raft->vote_held.term = raft->term;
	raft_reset_election_timer(raft, now);
}

static void raft_on_vote_reply(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__VoteReply *r = m->vote_reply;
	struct raft_member *who = raft_find_member(raft, m->id);

	if (r->term > raft->term && !(r->pre && r->granted)) {
		raft_become_follower(raft, r->term, now);
		return;
	}
	if (!who || !r->granted)
		return;
	if (r->pre ? raft->role == RAFT_PRE_CANDIDATE && r->term == raft->term + 1
	           : raft->role == RAFT_CANDIDATE && r->term == raft->term) {
		who->granted = 1;
		raft_count_votes(raft, now, o);
	}
}

static void raft_send_append_reply(struct raft *raft, uint64_t to, int ok, uint64_t match, uint64_t round, struct out *o)
{
	struct Nl__AppendReply *r = OUT_NEW(o, Nl__AppendReply, NL__APPEND_REPLY__INIT);

	r->term = raft->term;
	r->ok = ok;
	r->match = match;
	r->round = round;
	out_msg(o, to, raft->no, NL__MSG__BODY_APPEND_REPLY)->append_reply = r;
}

/* A message of an owner at our term or a later one: follow it and promise it the licence. */
static int raft_accept_leader(struct raft *raft, const struct Nl__Msg *m, uint64_t term, int64_t now)
{
	if (term < raft->term)
		return 0;
	if (term > raft->term || raft->role != RAFT_FOLLOWER)
		raft_become_follower(raft, term, now);
	raft->leader_id = m->id;
	raft->leader_addr = m->addr;
	raft->vote_barrier_until = now + RAFT_LEASE_MS;
	raft->vote_barrier_unknown = 0;
	raft_reset_election_timer(raft, now);
	return 1;
}

static void raft_on_append(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
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
	raft_send_append_reply(raft, m->addr, 1, raft->matched < raft->synced_index ? raft->matched : raft->synced_index, a->round, o);
}

static void raft_on_append_reply(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
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

static void raft_store_snapshot(struct raft *raft, uint64_t index, uint64_t term, const uint8_t *mem, size_t mem_len,
                          const uint8_t *d, size_t n)
{
	uint8_t *members = raft_copy_bytes(mem, mem_len); /* what is given may be the last snapshot's own */

	free(raft->snap);
	free(raft->snapshot_members);
	raft->snap = raft_copy_bytes(d, n);
	raft->snapshot_len = n;
	raft->snapshot_members = members;
	raft->snapshot_members_len = mem_len;
	raft->snapshot_index = index;
	raft->snapshot_term = term;
	raft->snapshot_dirty = 1;
	raft_mark_dirty(raft, 0);
}

static void raft_on_snapshot(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__Snap *s = m->snap;

	if (!raft_accept_leader(raft, m, s->term, now)) {
		raft_send_append_reply(raft, m->addr, 0, 0, 0, o);
		return;
	}
	if (s->index > raft->commit && s->members) {
		uint8_t *mem = malloc(nl__members__get_packed_size(s->members) + 1);
		size_t len = mem ? nl__members__pack(s->members, mem) : 0;

		if (raft_last_index(raft) > raft->base)
			raft_truncate_from(raft, raft->base + 1);
		raft_store_snapshot(raft, s->index, s->index_term, mem, len, s->data.data, s->data.len);
		free(mem);
		raft->base = s->index;
		raft->base_term = s->index_term;
		raft->commit = raft->applied = raft->matched = s->index;
		raft->snapshot_to_load = 1;
		raft_reload_members(raft);
	}
	raft_send_append_reply(raft, m->addr, 1, raft->matched < raft->synced_index ? raft->matched : raft->synced_index, s->round, o);
}

/* ---- back after a fall ----------------------------------------------------

One that came back waits out what it may have promised before. When all fell together, that would be a wait for an owner that
fell too. So it asks every member that it knows; once all of them have said, in this life of ours, that they own nothing, nobody
holds a licence that rests on a promise from before. An owner that we do not know can be there only if some member of ours
was there when the members changed, so that its log is of a later term, or has a later members entry, than ours: then we wait. */

static void raft_send_probes(struct raft *raft, int64_t now, struct out *o)
{
	raft->probe_at = now + RAFT_PROBE_MS;
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id != raft->id && !raft->members[i].not_leader) {
			struct Nl__Probe *a = OUT_NEW(o, Nl__Probe, NL__PROBE__INIT);

			a->life = raft->life;
			out_msg(o, raft->members[i].addr, raft->no, NL__MSG__BODY_PROBE)->probe = a;
		}
}

static void raft_on_probe(struct raft *raft, const struct Nl__Msg *m, struct out *o)
{
	struct Nl__ProbeReply *r;

	if (!raft_find_member(raft, raft->id))
		return; /* one that left may have forgotten what it knew */
	r = OUT_NEW(o, Nl__ProbeReply, NL__PROBE_REPLY__INIT);
	r->life = m->probe->life;
	r->owner = raft->role == RAFT_LEADER;
	r->last_term = raft_term_at(raft, raft_last_index(raft));
	r->members_at = raft->members_index;
	out_msg(o, m->addr, raft->no, NL__MSG__BODY_PROBE_REPLY)->probe_reply = r;
}

/* In this part so many members go before us, so that who fell together does not ask for votes together. */
static int voters_ahead(const struct raft *raft)
{
	int n = 0;

	for (int i = 0; i < raft->member_count; i++)
		n += raft->members[i].voter && core_rdv(raft->members[i].id, raft->no) > core_rdv(raft->id, raft->no);
	return n;
}

static void raft_on_probe_reply(struct raft *raft, const struct Nl__Msg *m, int64_t now)
{
	const struct Nl__ProbeReply *r = m->probe_reply;
	struct raft_member *who = raft_find_member(raft, m->id);
	uint64_t term = raft_term_at(raft, raft_last_index(raft));

	if (!raft->vote_barrier_unknown || r->life != raft->life || !who)
		return;
	if (r->owner || r->last_term > term || (r->last_term == term && r->members_at > raft->members_index)) {
		raft->vote_barrier_unknown = 0; /* the promise is waited out */
		return;
	}
	who->not_leader = 1;
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id != raft->id && !raft->members[i].not_leader)
			return;
	raft->vote_barrier_unknown = 0;
	raft->vote_barrier_until = 0;
	raft->election_at = now + RAFT_ELECTION_STAGGER_MS * (1 + voters_ahead(raft)) + (int64_t)(core_rand(&raft->rng) % (RAFT_ELECTION_STAGGER_MS / 2));
}

void raft_receive(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	switch (m->body_case) {
	case NL__MSG__BODY_VOTE_ASK: raft_on_vote_request(raft, m, now, o); break;
	case NL__MSG__BODY_VOTE_REPLY: raft_on_vote_reply(raft, m, now, o); break;
	case NL__MSG__BODY_APPEND: raft_on_append(raft, m, now, o); break;
	case NL__MSG__BODY_APPEND_REPLY: raft_on_append_reply(raft, m, now, o); break;
	case NL__MSG__BODY_SNAP: raft_on_snapshot(raft, m, now, o); break;
	case NL__MSG__BODY_GIVE_UP:
		if (m->give_up->term == raft->term && raft->leader_id == m->id && raft->role == RAFT_FOLLOWER) {
			raft->vote_barrier_until = 0;
			raft->election_at = now + (int64_t)(core_rand(&raft->rng) % 100);
		}
		break;
	case NL__MSG__BODY_PROBE: raft_on_probe(raft, m, o); break;
	case NL__MSG__BODY_PROBE_REPLY: raft_on_probe_reply(raft, m, now); break;
	default: break;
	}
}

/* ---- time, disk, proposals ---------------------------------------------- */

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
		if (now - raft->heartbeat_at >= RAFT_HEARTBEAT_MS) {
			raft->heartbeat_at = now;
			raft->heartbeat_sent_at[++raft->round % 64] = now;
			raft_replicate(raft, 1, now, o);
			raft_advance_commit(raft);
		}
		return;
	}
	if (raft->vote_barrier_unknown && now < raft->vote_barrier_until && now >= raft->probe_at)
		raft_send_probes(raft, now, o);
	if (now < raft->election_at || now < raft->vote_barrier_until || raft_sync_stalled(raft, now))
		return;
	if (!raft_find_member(raft, raft->id) || !raft_find_member(raft, raft->id)->voter)
		return;
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
		raft_send_append_reply(raft, raft->leader_addr, 1, raft->matched < raft->synced_index ? raft->matched : raft->synced_index, raft->round, o);
}

uint64_t raft_propose(struct raft *raft, const uint8_t *d, size_t n, int64_t now)
{
	if (!raft_has_lease(raft, now))
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

const struct raft_entry *raft_next_committed(struct raft *raft, uint64_t *index)
{
	while (raft->applied < raft->commit && !raft->snapshot_to_load) {
		struct raft_entry *e = raft_entry_at(raft, ++raft->applied);

		if (e && e->kind == RAFT_ENTRY_OPERATION) {
			*index = raft->applied;
			return e;
		}
	}
	return NULL;
}

int raft_wants_snapshot(const struct raft *raft) { return raft->applied >= raft->snapshot_index + RAFT_SNAPSHOT_ENTRIES; }

void raft_snapshot(struct raft *raft, const uint8_t *d, size_t n)
{
	const uint8_t *mem;
	size_t mem_len;
	uint64_t drop;
	size_t bytes = 0;

	raft_members_in_force(raft, raft->applied, &mem, &mem_len);
	raft_store_snapshot(raft, raft->applied, raft_term_at(raft, raft->applied), mem, mem_len, d, n);
	drop = raft->applied;
	while (!raft->drop_tail && drop > raft->base && raft->applied - drop < RAFT_LOG_TAIL && bytes + raft_entry_at(raft, drop)->len <= RAFT_LOG_TAIL_BYTES)
		bytes += raft_entry_at(raft, drop--)->len;
	if (drop > raft->synced_index)
		drop = raft->synced_index;
	if (drop <= raft->base)
		return;
	raft->base_term = raft_term_at(raft, drop);
	for (uint64_t i = raft->base + 1; i <= drop; i++)
		free(raft_entry_at(raft, i)->data);
	arrdeln(raft->log, 0, (size_t)(drop - raft->base));
	raft->base = drop;
}

void raft_step_down(struct raft *raft, int64_t now, struct out *o)
{
	uint64_t term = raft->term;

	if (raft->role != RAFT_LEADER)
		return;
	raft_become_follower(raft, raft->term, now); /* the licence ends before anyone is told */
	raft->election_at += RAFT_ELECTION_MS;
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id != raft->id) {
			struct Nl__GiveUp *g = OUT_NEW(o, Nl__GiveUp, NL__GIVE_UP__INIT);

			g->term = term;
			out_msg(o, raft->members[i].addr, raft->no, NL__MSG__BODY_GIVE_UP)->give_up = g;
		}
}

/* ---- members, changed one at a time ---------------------------------------- */

static void change_members(struct raft *raft, const struct raft_member *m, int n)
{
	size_t len;
	uint8_t *d = raft_pack_members(m, n, &len);

	raft_append_entry(raft, raft->term, RAFT_ENTRY_MEMBERS, d, len);
	raft_set_members(raft, d, len, raft_last_index(raft));
	free(d);
}

static const struct raft_member *find_live(const struct raft_member *live, int n, uint64_t id)
{
	for (int i = 0; i < n; i++)
		if (live[i].id == id)
			return &live[i];
	return NULL;
}

/* Another identity stands where a member stood: its disk was lost, and it will not come back. */
static int member_replaced(const struct raft_member *m, const struct raft_member *live, int n, int64_t now)
{
	int other = 0;

	for (int i = 0; i < n; i++) {
		if (live[i].id == m->id)
			return 0;
		other |= live[i].addr == m->addr;
	}
	return other && now - m->heard_at > 4 * RAFT_HEARTBEAT_MS;
}

static int member_lost(const struct raft *raft, const struct raft_member *m, const struct raft_member *live, int n, int64_t now)
{
	return m->id != raft->id && (now - m->heard_at > raft->member_lost_ms || member_replaced(m, live, n, now));
}

/* Members of a zone that are not lost. */
static int members_in_zone(const struct raft *raft, uint64_t zone, const struct raft_member *live, int n, int64_t now)
{
	int k = 0;

	for (int i = 0; i < raft->member_count && zone; i++)
		k += raft->members[i].zone == zone && !member_lost(raft, &raft->members[i], live, n, now);
	return k;
}

/* The registrar that joins next: of the zone with the fewest members, the one that rendezvous names. */
static const struct raft_member *next_replica(struct raft *raft, const struct raft_member *live, int n, int64_t now)
{
	const struct raft_member *best = NULL;
	int few = 0;

	for (int i = 0; i < n; i++) {
		int k = members_in_zone(raft, live[i].zone, live, n, now);

		if (raft_find_member(raft, live[i].id))
			continue;
		if (best && (k > few || (k == few && core_rdv(raft->no, live[i].id) <= core_rdv(raft->no, best->id))))
			continue;
		best = &live[i];
		few = k;
	}
	return best;
}

/* One too many: of the zone with the most members, the one that rendezvous ranks last; never the owner. */
static int surplus_voter(const struct raft *raft, const struct raft_member *live, int n, int64_t now)
{
	int worst = -1, many = 0;

	for (int i = 0; i < raft->member_count; i++) {
		int k = members_in_zone(raft, raft->members[i].zone, live, n, now);

		if (raft->members[i].id == raft->id)
			continue;
		if (worst >= 0 && (k < many || (k == many && core_rdv(raft->no, raft->members[i].id) >= core_rdv(raft->no, raft->members[worst].id))))
			continue;
		worst = i;
		many = k;
	}
	return worst;
}

/* A registrar whose zone has two members fewer than another: its joining spreads the group better. */
static int zone_imbalanced(const struct raft *raft, const struct raft_member *next, const struct raft_member *live, int n, int64_t now)
{
	int most = 0;

	for (int i = 0; i < raft->member_count; i++) {
		int k = members_in_zone(raft, raft->members[i].zone, live, n, now);

		if (k > most)
			most = k;
	}
	return next && members_in_zone(raft, next->zone, live, n, now) + 2 <= most;
}

void raft_reconfigure(struct raft *raft, const struct raft_member *live, int n, int64_t now)
{
	struct raft_member m[RAFT_MAX_MEMBERS];
	const struct raft_member *best;
	int dead = -1, learner = -1, v = 0, alive = 0;

	if (!raft_has_lease(raft, now) || raft->members_index > raft->commit)
		return;
	for (int i = 0; i < raft->member_count; i++)
		if (find_live(live, n, raft->members[i].id) && find_live(live, n, raft->members[i].id)->zone)
			raft->members[i].zone = find_live(live, n, raft->members[i].id)->zone;
	memcpy(m, raft->members, sizeof m);
	for (int i = 0; i < raft->member_count; i++) {
		const struct raft_member *l = find_live(live, n, m[i].id);
		int lost = member_lost(raft, &m[i], live, n, now);

		if (l && l->addr != m[i].addr) { /* moved to another address */
			m[i].addr = l->addr;
			change_members(raft, m, raft->member_count);
			return;
		}
		v += m[i].voter;
		alive += m[i].voter && !lost;
		if (lost && (dead < 0 || !m[i].voter))
			dead = i;
		if (!m[i].voter)
			learner = i;
	}
	if (learner >= 0 && dead != learner) { /* raise it once it has caught up */
		if (m[learner].match + 16 >= raft_last_index(raft) && m[learner].match >= raft->term_start) {
			m[learner].voter = 1;
			change_members(raft, m, raft->member_count);
		}
		return;
	}
	best = next_replica(raft, live, n, now);
	if (dead < 0 && v > raft->replicas)
		dead = surplus_voter(raft, live, n, now);
	if (dead >= 0 && (!m[dead].voter || v > RAFT_MIN_VOTERS)) {
		if (m[dead].voter && alive - !member_lost(raft, &m[dead], live, n, now) <= (v - 1) / 2)
			return;
		m[dead] = m[raft->member_count - 1];
		change_members(raft, m, raft->member_count - 1);
		return;
	}
	if ((dead < 0 && v >= raft->replicas && !zone_imbalanced(raft, best, live, n, now)) || raft->member_count >= RAFT_MAX_MEMBERS || !best)
		return;
	memset(&m[raft->member_count], 0, sizeof *m);
	m[raft->member_count].id = best->id;
	m[raft->member_count].addr = best->addr;
	change_members(raft, m, raft->member_count + 1);
	raft_find_member(raft, m[raft->member_count - 1].id)->heard_at = now;
}

/* ---- begin and end -------------------------------------------------------- */

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
	memset(raft, 0, sizeof *raft);
}

void raft_bootstrap(struct raft *raft, const struct raft_member *m, int n, int64_t now, struct out *o)
{
	size_t len;
	uint8_t *d;

	(void)o;
	if (raft_last_index(raft) || raft->term || raft->member_count)
		return;
	d = raft_pack_members(m, n, &len);
	raft->term = 1; /* entry 1 of term 1 is the same on every founder */
	raft_append_entry(raft, 1, RAFT_ENTRY_MEMBERS, d, len);
	raft_set_members(raft, d, len, 1);
	free(d);
	raft->election_at = now + (int64_t)(core_rand(&raft->rng) % 300);
	raft->vote_barrier_until = 0;
	raft->vote_barrier_unknown = 0;
}
