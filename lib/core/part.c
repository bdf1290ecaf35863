#include "part.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

/* ---- the log ---------------------------------------------------------- */

static uint64_t last(const struct part *p) { return p->base + (uint64_t)arrlen(p->log); }

static struct part_entry *at(const struct part *p, uint64_t i)
{
	return i > p->base && i <= last(p) ? &p->log[i - p->base - 1] : NULL;
}

static uint64_t term_at(const struct part *p, uint64_t i)
{
	struct part_entry *e = at(p, i);

	return e ? e->term : i == p->base ? p->base_term : i == p->snap_index ? p->snap_term : 0;
}

static uint8_t *copy(const uint8_t *d, size_t n)
{
	uint8_t *c = malloc(n + 1);

	if (!c)
		abort();
	if (n)
		memcpy(c, d, n);
	return c;
}

static void mark_dirty(struct part *p, uint64_t from)
{
	p->dirty = 1;
	if (from && (!p->dirty_from || from < p->dirty_from))
		p->dirty_from = from;
}

static void put(struct part *p, uint64_t term, uint32_t kind, const uint8_t *d, size_t n)
{
	struct part_entry e = { term, kind, n, copy(d, n) };

	arrput(p->log, e);
	mark_dirty(p, last(p));
}

static void cut_log(struct part *p, uint64_t from)
{
	for (uint64_t i = from; i <= last(p); i++)
		free(at(p, i)->data);
	arrsetlen(p->log, (size_t)(from - p->base - 1));
	if (!p->cut || from < p->cut)
		p->cut = from;
	mark_dirty(p, 0);
	if (p->dirty_from > last(p))
		p->dirty_from = 0;
	if (p->stable >= from)
		p->stable = from - 1;
	for (ptrdiff_t i = 0; i < arrlen(p->marks); i++)
		if (p->marks[i].last >= from)
			p->marks[i].last = from - 1;
}

/* ---- members ---------------------------------------------------------- */

static struct part_member *member(struct part *p, uint64_t id)
{
	for (int i = 0; i < p->mn; i++)
		if (p->m[i].id == id)
			return &p->m[i];
	return NULL;
}

static int voters(const struct part *p)
{
	int n = 0;

	for (int i = 0; i < p->mn; i++)
		n += p->m[i].voter;
	return n;
}

static void members_set(struct part *p, const uint8_t *d, size_t n, uint64_t index)
{
	struct Nl__Members *ms = nl__members__unpack(NULL, n, d);
	struct part_member old[PART_MEMBERS];
	int oldn = p->mn;

	memcpy(old, p->m, sizeof old);
	p->mn = 0;
	p->members_at = index;
	for (size_t i = 0; ms && i < ms->n_m && p->mn < PART_MEMBERS; i++) {
		struct part_member *m = &p->m[p->mn++];

		memset(m, 0, sizeof *m);
		m->next = last(p) + 1;
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
static void members_find(struct part *p)
{
	for (uint64_t i = last(p); i > p->base; i--)
		if (at(p, i)->kind == PART_MEMBERS_ENTRY) {
			members_set(p, at(p, i)->data, at(p, i)->len, i);
			return;
		}
	members_set(p, p->snap_members, p->snap_members_len, p->snap_index);
}

/* The members in force at index i, packed: what a snapshot at i must carry. */
static void members_at(struct part *p, uint64_t i, const uint8_t **d, size_t *n)
{
	for (; i > p->base; i--)
		if (at(p, i)->kind == PART_MEMBERS_ENTRY) {
			*d = at(p, i)->data;
			*n = at(p, i)->len;
			return;
		}
	*d = p->snap_members;
	*n = p->snap_members_len;
}

static uint8_t *members_pack(const struct part_member *m, int n, size_t *len)
{
	struct Nl__Members ms = NL__MEMBERS__INIT;
	struct Nl__Member v[PART_MEMBERS], *pv[PART_MEMBERS];
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
	d = copy(NULL, 0);
	d = realloc(d, *len + 1);
	if (!d)
		abort();
	nl__members__pack(&ms, d);
	return d;
}

/* ---- roles ------------------------------------------------------------ */

static void wait_anew(struct part *p, int64_t now)
{
	p->elect_at = now + PART_ELECT + (int64_t)(core_rand(&p->rng) % (PART_ELECT / 2));
}

/* No owner is about, so the next try need not wait for one; but a slow disk must have had its time. */
static void try_anew(struct part *p, int64_t wait, int64_t now)
{
	p->elect_at = now + wait + (int64_t)(core_rand(&p->rng) % PART_RETRY);
}

static void stand_by(struct part *p, uint64_t term, int64_t now)
{
	if (term > p->term) {
		p->term = term;
		p->vote = 0;
		mark_dirty(p, 0);
		p->owner_id = p->owner_addr = 0;
		p->matched = p->commit;
		p->round = 0; /* rounds are counted within a term */
	}
	if (p->role == PART_OWNER)
		p->owner_id = p->owner_addr = 0;
	p->role = PART_STANDBY;
	p->licence = 0;
	p->self_vote_seq = 0;
	wait_anew(p, now);
}

static int stalled(const struct part *p, int64_t now)
{
	return arrlen(p->marks) && now - p->marks[0].at > PART_STALL;
}

static void ask_votes(struct part *p, int pre, int64_t now, struct out *o)
{
	for (int i = 0; i < p->mn; i++) {
		struct Nl__VoteAsk *a;

		p->m[i].granted = 0;
		if (p->m[i].id == p->id || !p->m[i].voter)
			continue;
		a = OUT_NEW(o, Nl__VoteAsk, NL__VOTE_ASK__INIT);
		a->term = pre ? p->term + 1 : p->term;
		a->last = last(p);
		a->last_term = term_at(p, last(p));
		a->pre = pre;
		out_msg(o, p->m[i].addr, p->no, NL__MSG__BODY_VOTE_ASK)->vote_ask = a;
	}
	p->asked_at = now;
}

static void own(struct part *p, int64_t now, struct out *o)
{
	p->role = PART_OWNER;
	p->owner_id = p->id;
	p->owner_addr = o->addr;
	p->licence = 0;
	p->asked_at = now;
	p->round_at = 0;
	p->round = 0;
	for (int i = 0; i < p->mn; i++) {
		p->m[i].next = last(p) + 1;
		p->m[i].match = 0;
		p->m[i].round = 0;
		p->m[i].heard = now - p->dead / 2; /* who fell with the last owner has been silent since then */
		p->m[i].snap_at = 0;
	}
	for (int i = 0; i < 64; i++)
		p->rounds[i] = now - 1000 * PART_LICENCE; /* acks of earlier rounds grant nothing */
	put(p, p->term, PART_NOOP, NULL, 0);
	p->term_start = last(p);
	p->elections++;
}

static void contend(struct part *p, struct out *o, int64_t now)
{
	p->role = PART_CONTENDER;
	p->term++;
	p->vote = p->id;
	p->matched = p->commit;
	p->round = 0;
	p->owner_id = p->owner_addr = 0;
	mark_dirty(p, 0);
	p->self_vote_seq = p->seq + 1; /* the sync that this step's flush will ask for */
	ask_votes(p, 0, now, o);
	try_anew(p, PART_STALL, now);
}

static void count_votes(struct part *p, int64_t now, struct out *o)
{
	int n = 0;

	for (int i = 0; i < p->mn; i++)
		if (p->m[i].voter)
			n += p->m[i].id == p->id
			         ? p->role == PART_ASKING || p->synced >= p->self_vote_seq
			         : p->m[i].granted;
	if (n <= voters(p) / 2)
		return;
	if (p->role == PART_ASKING)
		contend(p, o, now);
	else if (p->role == PART_CONTENDER)
		own(p, now, o);
}

/* ---- the owner's bookkeeping -------------------------------------------- */

static int cmp_desc(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

static void tally(struct part *p)
{
	uint64_t match[PART_MEMBERS], round[PART_MEMBERS];
	int n = 0;

	for (int i = 0; i < p->mn; i++) {
		if (!p->m[i].voter)
			continue;
		match[n] = p->m[i].id == p->id ? p->stable : p->m[i].match;
		round[n++] = p->m[i].id == p->id ? p->round : p->m[i].round;
	}
	if (!n)
		return;
	qsort(match, (size_t)n, sizeof *match, cmp_desc);
	qsort(round, (size_t)n, sizeof *round, cmp_desc);
	if (match[n / 2] > p->commit && term_at(p, match[n / 2]) == p->term)
		p->commit = match[n / 2];
	if (round[n / 2] && p->round - round[n / 2] < 64) {
		int64_t until = p->rounds[round[n / 2] % 64] + PART_LICENCE - PART_EARLY;

		if (until > p->licence)
			p->licence = until;
	}
}

int part_licensed(const struct part *p, int64_t now)
{
	return p->role == PART_OWNER && now < p->licence && p->commit >= p->term_start;
}

static void send_append(struct part *p, struct part_member *m, int64_t now, struct out *o)
{
	struct Nl__Append *a;
	size_t n, bytes = 0;

	if (m->next <= p->base) {
		struct Nl__Snap *s;

		if (m->snap_at && now - m->snap_at < 1000)
			return;
		m->snap_at = now;
		s = OUT_NEW(o, Nl__Snap, NL__SNAP__INIT);
		s->term = p->term;
		s->index = p->snap_index;
		s->index_term = p->snap_term;
		s->members = (struct Nl__Members *)core_unpack(o->p, &nl__members__descriptor, p->snap_members_len,
		                                               p->snap_members);
		s->data.data = apr_pmemdup(o->p, p->snap, p->snap_len);
		s->data.len = p->snap_len;
		s->round = p->round;
		out_msg(o, m->addr, p->no, NL__MSG__BODY_SNAP)->snap = s;
		return;
	}
	a = OUT_NEW(o, Nl__Append, NL__APPEND__INIT);
	a->term = p->term;
	a->prev = m->next - 1;
	a->prev_term = term_at(p, a->prev);
	a->commit = p->commit;
	a->round = p->round;
	n = (size_t)(last(p) - a->prev);
	n = n > 512 ? 512 : n;
	a->e = apr_palloc(o->p, (n + 1) * sizeof *a->e);
	for (size_t i = 0; i < n && bytes < 1 << 20; i++) {
		struct part_entry *e = at(p, a->prev + 1 + i);
		struct Nl__Entry *x = OUT_NEW(o, Nl__Entry, NL__ENTRY__INIT);

		x->term = e->term;
		x->kind = e->kind;
		x->data.data = apr_pmemdup(o->p, e->data, e->len);
		x->data.len = e->len;
		bytes += e->len;
		a->e[a->n_e++] = x;
	}
	m->next += a->n_e;
	out_msg(o, m->addr, p->no, NL__MSG__BODY_APPEND)->append = a;
}

static void spread(struct part *p, int all, int64_t now, struct out *o)
{
	for (int i = 0; i < p->mn; i++)
		if (p->m[i].id != p->id && (all || p->m[i].next <= last(p)))
			send_append(p, &p->m[i], now, o);
}

/* ---- messages --------------------------------------------------------- */

static void send_vote(struct part *p, uint64_t to, uint64_t term, int granted, int pre, struct out *o)
{
	struct Nl__VoteReply *r = OUT_NEW(o, Nl__VoteReply, NL__VOTE_REPLY__INIT);

	r->term = term;
	r->granted = granted;
	r->pre = pre;
	out_msg(o, to, p->no, NL__MSG__BODY_VOTE_REPLY)->vote_reply = r;
}

static void on_vote_ask(struct part *p, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__VoteAsk *a = m->vote_ask;
	int newer = a->last_term > term_at(p, last(p)) ||
	            (a->last_term == term_at(p, last(p)) && a->last >= last(p));
	int free_to = now >= p->promise && !part_licensed(p, now);

	if (a->pre || !free_to || a->term < p->term) {
		send_vote(p, m->addr, a->pre && newer && free_to ? a->term : p->term,
		          a->pre && newer && free_to && a->term > p->term, a->pre, o);
		return;
	}
	if (a->term > p->term)
		stand_by(p, a->term, now);
	if (!newer || (p->vote && p->vote != m->id)) {
		send_vote(p, m->addr, p->term, 0, 0, o);
		return;
	}
	p->vote = m->id;
	mark_dirty(p, 0);
	p->vote_held.on = 1; /* said only once it is on the disk */
	p->vote_held.seq = p->seq + 1;
	p->vote_held.to = m->addr;
	p->vote_held.term = p->term;
	wait_anew(p, now);
}

static void on_vote_reply(struct part *p, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__VoteReply *r = m->vote_reply;
	struct part_member *who = member(p, m->id);

	if (r->term > p->term && !(r->pre && r->granted)) {
		stand_by(p, r->term, now);
		return;
	}
	if (!who || !r->granted)
		return;
	if (r->pre ? p->role == PART_ASKING && r->term == p->term + 1
	           : p->role == PART_CONTENDER && r->term == p->term) {
		who->granted = 1;
		count_votes(p, now, o);
	}
}

static void send_ack(struct part *p, uint64_t to, int ok, uint64_t match, uint64_t round, struct out *o)
{
	struct Nl__AppendReply *r = OUT_NEW(o, Nl__AppendReply, NL__APPEND_REPLY__INIT);

	r->term = p->term;
	r->ok = ok;
	r->match = match;
	r->round = round;
	out_msg(o, to, p->no, NL__MSG__BODY_APPEND_REPLY)->append_reply = r;
}

/* A message of an owner at our term or a later one: follow it and promise it the licence. */
static int follow(struct part *p, const struct Nl__Msg *m, uint64_t term, int64_t now)
{
	if (term < p->term)
		return 0;
	if (term > p->term || p->role != PART_STANDBY)
		stand_by(p, term, now);
	p->owner_id = m->id;
	p->owner_addr = m->addr;
	p->promise = now + PART_LICENCE;
	p->unsure = 0;
	wait_anew(p, now);
	return 1;
}

static void on_append(struct part *p, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__Append *a = m->append;
	uint64_t i = a->prev, end = a->prev + a->n_e, skip;

	if (!follow(p, m, a->term, now)) {
		send_ack(p, m->addr, 0, 0, 0, o);
		return;
	}
	if (i > last(p) || (i >= p->base && i > p->commit && term_at(p, i) != a->prev_term)) {
		uint64_t hint = i > last(p) ? last(p) : i - 1;

		send_ack(p, m->addr, 0, hint > p->commit ? hint : p->commit, a->round, o);
		return;
	}
	skip = p->commit > i ? p->commit - i : 0; /* committed entries never differ */
	for (size_t k = skip; k < a->n_e; k++) {
		const struct Nl__Entry *e = a->e[k];
		uint64_t x = i + k + 1;

		if (x <= last(p) && term_at(p, x) == e->term)
			continue;
		if (x <= last(p)) {
			cut_log(p, x);
			if (p->members_at >= x)
				members_find(p);
		}
		put(p, e->term, e->kind, e->data.data, e->data.len);
		if (e->kind == PART_MEMBERS_ENTRY)
			members_set(p, e->data.data, e->data.len, x);
	}
	if (end > p->matched)
		p->matched = end;
	if (a->commit > p->commit) {
		uint64_t c = a->commit < p->matched ? a->commit : p->matched;

		if (c > p->commit)
			p->commit = c;
	}
	if (p->dirty && a->round == p->round)
		return; /* nothing new to say before the sync, and then part_synced says it */
	p->round = a->round;
	send_ack(p, m->addr, 1, p->matched < p->stable ? p->matched : p->stable, a->round, o);
}

static void on_ack(struct part *p, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__AppendReply *r = m->append_reply;
	struct part_member *who = member(p, m->id);

	if (r->term > p->term) {
		stand_by(p, r->term, now);
		return;
	}
	if (p->role != PART_OWNER || r->term != p->term || !who)
		return;
	who->heard = now;
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
		send_append(p, who, now, o);
	}
	tally(p);
}

static void take_snapshot(struct part *p, uint64_t index, uint64_t term, const uint8_t *mem, size_t mem_len,
                          const uint8_t *d, size_t n)
{
	uint8_t *members = copy(mem, mem_len); /* what is given may be the last snapshot's own */

	free(p->snap);
	free(p->snap_members);
	p->snap = copy(d, n);
	p->snap_len = n;
	p->snap_members = members;
	p->snap_members_len = mem_len;
	p->snap_index = index;
	p->snap_term = term;
	p->snap_dirty = 1;
	mark_dirty(p, 0);
}

static void on_snap(struct part *p, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__Snap *s = m->snap;

	if (!follow(p, m, s->term, now)) {
		send_ack(p, m->addr, 0, 0, 0, o);
		return;
	}
	if (s->index > p->commit && s->members) {
		uint8_t *mem = malloc(nl__members__get_packed_size(s->members) + 1);
		size_t len = mem ? nl__members__pack(s->members, mem) : 0;

		if (last(p) > p->base)
			cut_log(p, p->base + 1);
		take_snapshot(p, s->index, s->index_term, mem, len, s->data.data, s->data.len);
		free(mem);
		p->base = s->index;
		p->base_term = s->index_term;
		p->commit = p->taken = p->matched = s->index;
		p->snap_new = 1;
		members_find(p);
	}
	send_ack(p, m->addr, 1, p->matched < p->stable ? p->matched : p->stable, s->round, o);
}

/* ---- back after a fall ----------------------------------------------------

One that came back waits out what it may have promised before. When all fell together, that would be a wait for an owner that
fell too. So it asks every member that it knows; once all of them have said, in this life of ours, that they own nothing, nobody
holds a licence that rests on a promise from before. An owner that we do not know can be there only if some member of ours
was there when the members changed, so that its log is of a later term, or has a later members entry, than ours: then we wait. */

static void probe(struct part *p, int64_t now, struct out *o)
{
	p->probe_at = now + PART_PROBE;
	for (int i = 0; i < p->mn; i++)
		if (p->m[i].id != p->id && !p->m[i].idle) {
			struct Nl__Probe *a = OUT_NEW(o, Nl__Probe, NL__PROBE__INIT);

			a->life = p->life;
			out_msg(o, p->m[i].addr, p->no, NL__MSG__BODY_PROBE)->probe = a;
		}
}

static void on_probe(struct part *p, const struct Nl__Msg *m, struct out *o)
{
	struct Nl__ProbeReply *r;

	if (!member(p, p->id))
		return; /* one that left may have forgotten what it knew */
	r = OUT_NEW(o, Nl__ProbeReply, NL__PROBE_REPLY__INIT);
	r->life = m->probe->life;
	r->owner = p->role == PART_OWNER;
	r->last_term = term_at(p, last(p));
	r->members_at = p->members_at;
	out_msg(o, m->addr, p->no, NL__MSG__BODY_PROBE_REPLY)->probe_reply = r;
}

/* In this part so many members go before us, so that who fell together does not ask for votes together. */
static int ahead(const struct part *p)
{
	int n = 0;

	for (int i = 0; i < p->mn; i++)
		n += p->m[i].voter && core_rdv(p->m[i].id, p->no) > core_rdv(p->id, p->no);
	return n;
}

static void on_probe_reply(struct part *p, const struct Nl__Msg *m, int64_t now)
{
	const struct Nl__ProbeReply *r = m->probe_reply;
	struct part_member *who = member(p, m->id);
	uint64_t term = term_at(p, last(p));

	if (!p->unsure || r->life != p->life || !who)
		return;
	if (r->owner || r->last_term > term || (r->last_term == term && r->members_at > p->members_at)) {
		p->unsure = 0; /* the promise is waited out */
		return;
	}
	who->idle = 1;
	for (int i = 0; i < p->mn; i++)
		if (p->m[i].id != p->id && !p->m[i].idle)
			return;
	p->unsure = 0;
	p->promise = 0;
	p->elect_at = now + PART_HASTE * (1 + ahead(p)) + (int64_t)(core_rand(&p->rng) % (PART_HASTE / 2));
}

void part_msg(struct part *p, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	switch (m->body_case) {
	case NL__MSG__BODY_VOTE_ASK: on_vote_ask(p, m, now, o); break;
	case NL__MSG__BODY_VOTE_REPLY: on_vote_reply(p, m, now, o); break;
	case NL__MSG__BODY_APPEND: on_append(p, m, now, o); break;
	case NL__MSG__BODY_APPEND_REPLY: on_ack(p, m, now, o); break;
	case NL__MSG__BODY_SNAP: on_snap(p, m, now, o); break;
	case NL__MSG__BODY_GIVE_UP:
		if (m->give_up->term == p->term && p->owner_id == m->id && p->role == PART_STANDBY) {
			p->promise = 0;
			p->elect_at = now + (int64_t)(core_rand(&p->rng) % 100);
		}
		break;
	case NL__MSG__BODY_PROBE: on_probe(p, m, o); break;
	case NL__MSG__BODY_PROBE_REPLY: on_probe_reply(p, m, now); break;
	default: break;
	}
}

/* ---- time, disk, proposals ---------------------------------------------- */

void part_tick(struct part *p, int64_t now, struct out *o)
{
	if (p->role == PART_OWNER) {
		if (stalled(p, now)) {
			part_give_up(p, now, o);
			return;
		}
		if (now > p->licence && now - p->asked_at > PART_LICENCE) {
			stand_by(p, p->term, now);
			return;
		}
		if (now < p->licence)
			p->asked_at = now;
		if (now - p->round_at >= PART_ROUND) {
			p->round_at = now;
			p->rounds[++p->round % 64] = now;
			spread(p, 1, now, o);
			tally(p);
		}
		return;
	}
	if (p->unsure && now < p->promise && now >= p->probe_at)
		probe(p, now, o);
	if (now < p->elect_at || now < p->promise || stalled(p, now))
		return;
	if (!member(p, p->id) || !member(p, p->id)->voter)
		return;
	p->role = PART_ASKING;
	p->owner_id = p->owner_addr = 0;
	ask_votes(p, 1, now, o);
	try_anew(p, PART_RETRY, now);
	count_votes(p, now, o);
}

void part_synced(struct part *p, uint64_t seq, int64_t now, struct out *o)
{
	uint64_t to = p->stable;

	if (seq <= p->synced)
		return;
	p->synced = seq;
	while (arrlen(p->marks) && p->marks[0].seq <= seq) {
		to = p->marks[0].last;
		arrdel(p->marks, 0);
	}
	p->stable = to;
	if (p->vote_held.on && p->vote_held.seq <= seq) {
		p->vote_held.on = 0;
		if (p->vote_held.term == p->term)
			send_vote(p, p->vote_held.to, p->term, 1, 0, o);
	}
	if (p->role == PART_CONTENDER)
		count_votes(p, now, o);
	if (p->role == PART_OWNER)
		tally(p);
	else if (p->owner_addr && p->matched)
		send_ack(p, p->owner_addr, 1, p->matched < p->stable ? p->matched : p->stable, p->round, o);
}

uint64_t part_propose(struct part *p, const uint8_t *d, size_t n, int64_t now)
{
	if (!part_licensed(p, now))
		return 0;
	put(p, p->term, PART_OP, d, n);
	return last(p);
}

void part_flush(struct part *p, int64_t now, struct out *o)
{
	struct persist *s;
	struct part_mark mark;

	if (p->role == PART_OWNER)
		spread(p, 0, now, o);
	if (!p->dirty)
		return;
	s = apr_pcalloc(o->p, sizeof *s);
	s->part = p->no;
	s->seq = ++p->seq;
	s->term = p->term;
	s->vote = p->vote;
	s->cut = p->cut;
	if (p->dirty_from && p->dirty_from <= last(p)) {
		s->n = (size_t)(last(p) - p->dirty_from + 1);
		s->e = apr_palloc(o->p, s->n * sizeof *s->e);
		for (size_t i = 0; i < s->n; i++) {
			struct part_entry *e = at(p, p->dirty_from + i);

			s->e[i] = (struct persist_entry){ p->dirty_from + i, e->term, e->kind, e->len,
				                          apr_pmemdup(o->p, e->data, e->len + 1) };
		}
	}
	if (p->snap_dirty) {
		s->snap = 1;
		s->tidy = p->bare;
		s->base = p->snap_index;
		s->base_term = p->snap_term;
		s->drop = p->base;
		s->members = apr_pmemdup(o->p, p->snap_members, p->snap_members_len + 1);
		s->members_len = p->snap_members_len;
		s->data = apr_pmemdup(o->p, p->snap, p->snap_len + 1);
		s->data_len = p->snap_len;
	}
	mark = (struct part_mark){ p->seq, last(p), now };
	arrput(p->marks, mark);
	p->dirty = p->snap_dirty = p->bare = 0;
	p->dirty_from = p->cut = 0;
	out_cmd(o, CMD_PERSIST)->u.persist = s;
}

const struct part_entry *part_take(struct part *p, uint64_t *index)
{
	while (p->taken < p->commit && !p->snap_new) {
		struct part_entry *e = at(p, ++p->taken);

		if (e && e->kind == PART_OP) {
			*index = p->taken;
			return e;
		}
	}
	return NULL;
}

int part_wants_snap(const struct part *p) { return p->taken >= p->snap_index + PART_SNAP; }

void part_snap(struct part *p, const uint8_t *d, size_t n)
{
	const uint8_t *mem;
	size_t mem_len;
	uint64_t drop;
	size_t bytes = 0;

	members_at(p, p->taken, &mem, &mem_len);
	take_snapshot(p, p->taken, term_at(p, p->taken), mem, mem_len, d, n);
	drop = p->taken;
	while (!p->bare && drop > p->base && p->taken - drop < PART_KEEP && bytes + at(p, drop)->len <= PART_KEEP_BYTES)
		bytes += at(p, drop--)->len;
	if (drop > p->stable)
		drop = p->stable;
	if (drop <= p->base)
		return;
	p->base_term = term_at(p, drop);
	for (uint64_t i = p->base + 1; i <= drop; i++)
		free(at(p, i)->data);
	arrdeln(p->log, 0, (size_t)(drop - p->base));
	p->base = drop;
}

void part_give_up(struct part *p, int64_t now, struct out *o)
{
	uint64_t term = p->term;

	if (p->role != PART_OWNER)
		return;
	stand_by(p, p->term, now); /* the licence ends before anyone is told */
	p->elect_at += PART_ELECT;
	for (int i = 0; i < p->mn; i++)
		if (p->m[i].id != p->id) {
			struct Nl__GiveUp *g = OUT_NEW(o, Nl__GiveUp, NL__GIVE_UP__INIT);

			g->term = term;
			out_msg(o, p->m[i].addr, p->no, NL__MSG__BODY_GIVE_UP)->give_up = g;
		}
}

/* ---- members, changed one at a time ---------------------------------------- */

static void change_members(struct part *p, const struct part_member *m, int n)
{
	size_t len;
	uint8_t *d = members_pack(m, n, &len);

	put(p, p->term, PART_MEMBERS_ENTRY, d, len);
	members_set(p, d, len, last(p));
	free(d);
}

static const struct part_member *live_one(const struct part_member *live, int n, uint64_t id)
{
	for (int i = 0; i < n; i++)
		if (live[i].id == id)
			return &live[i];
	return NULL;
}

/* Another identity stands where a member stood: its disk was lost, and it will not come back. */
static int displaced(const struct part_member *m, const struct part_member *live, int n, int64_t now)
{
	int other = 0;

	for (int i = 0; i < n; i++) {
		if (live[i].id == m->id)
			return 0;
		other |= live[i].addr == m->addr;
	}
	return other && now - m->heard > 4 * PART_ROUND;
}

static int gone(const struct part *p, const struct part_member *m, const struct part_member *live, int n, int64_t now)
{
	return m->id != p->id && (now - m->heard > p->dead || displaced(m, live, n, now));
}

/* Members of a zone that are not lost. */
static int in_zone(const struct part *p, uint64_t zone, const struct part_member *live, int n, int64_t now)
{
	int k = 0;

	for (int i = 0; i < p->mn && zone; i++)
		k += p->m[i].zone == zone && !gone(p, &p->m[i], live, n, now);
	return k;
}

/* The registrar that joins next: of the zone with the fewest members, the one that rendezvous names. */
static const struct part_member *next_one(struct part *p, const struct part_member *live, int n, int64_t now)
{
	const struct part_member *best = NULL;
	int few = 0;

	for (int i = 0; i < n; i++) {
		int k = in_zone(p, live[i].zone, live, n, now);

		if (member(p, live[i].id))
			continue;
		if (best && (k > few || (k == few && core_rdv(p->no, live[i].id) <= core_rdv(p->no, best->id))))
			continue;
		best = &live[i];
		few = k;
	}
	return best;
}

/* One too many: of the zone with the most members, the one that rendezvous ranks last; never the owner. */
static int surplus(const struct part *p, const struct part_member *live, int n, int64_t now)
{
	int worst = -1, many = 0;

	for (int i = 0; i < p->mn; i++) {
		int k = in_zone(p, p->m[i].zone, live, n, now);

		if (p->m[i].id == p->id)
			continue;
		if (worst >= 0 && (k < many || (k == many && core_rdv(p->no, p->m[i].id) >= core_rdv(p->no, p->m[worst].id))))
			continue;
		worst = i;
		many = k;
	}
	return worst;
}

/* A registrar whose zone has two members fewer than another: its joining spreads the group better. */
static int crowded(const struct part *p, const struct part_member *next, const struct part_member *live, int n, int64_t now)
{
	int most = 0;

	for (int i = 0; i < p->mn; i++) {
		int k = in_zone(p, p->m[i].zone, live, n, now);

		if (k > most)
			most = k;
	}
	return next && in_zone(p, next->zone, live, n, now) + 2 <= most;
}

void part_mend(struct part *p, const struct part_member *live, int n, int64_t now)
{
	struct part_member m[PART_MEMBERS];
	const struct part_member *best;
	int dead = -1, learner = -1, v = 0, alive = 0;

	if (!part_licensed(p, now) || p->members_at > p->commit)
		return;
	for (int i = 0; i < p->mn; i++)
		if (live_one(live, n, p->m[i].id) && live_one(live, n, p->m[i].id)->zone)
			p->m[i].zone = live_one(live, n, p->m[i].id)->zone;
	memcpy(m, p->m, sizeof m);
	for (int i = 0; i < p->mn; i++) {
		const struct part_member *l = live_one(live, n, m[i].id);
		int lost = gone(p, &m[i], live, n, now);

		if (l && l->addr != m[i].addr) { /* moved to another address */
			m[i].addr = l->addr;
			change_members(p, m, p->mn);
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
		if (m[learner].match + 16 >= last(p) && m[learner].match >= p->term_start) {
			m[learner].voter = 1;
			change_members(p, m, p->mn);
		}
		return;
	}
	best = next_one(p, live, n, now);
	if (dead < 0 && v > p->copies)
		dead = surplus(p, live, n, now);
	if (dead >= 0 && (!m[dead].voter || v > PART_COPIES)) {
		if (m[dead].voter && alive - !gone(p, &m[dead], live, n, now) <= (v - 1) / 2)
			return;
		m[dead] = m[p->mn - 1];
		change_members(p, m, p->mn - 1);
		return;
	}
	if ((dead < 0 && v >= p->copies && !crowded(p, best, live, n, now)) || p->mn >= PART_MEMBERS || !best)
		return;
	memset(&m[p->mn], 0, sizeof *m);
	m[p->mn].id = best->id;
	m[p->mn].addr = best->addr;
	change_members(p, m, p->mn + 1);
	member(p, m[p->mn - 1].id)->heard = now;
}

/* ---- begin and end -------------------------------------------------------- */

void part_open(struct part *p, uint32_t no, uint64_t id, uint64_t seed, const struct part_saved *s, int64_t now)
{
	memset(p, 0, sizeof *p);
	p->no = no;
	p->id = id;
	p->rng = seed ^ core_rdv(no, id);
	p->copies = PART_COPIES;
	p->dead = PART_DEAD;
	p->promise = now + PART_LICENCE; /* we may have promised before we fell */
	p->unsure = 1;
	p->life = core_rand(&p->rng);
	p->probe_at = now;
	wait_anew(p, now);
	p->snap = copy(NULL, 0);
	p->snap_members = copy(NULL, 0);
	if (!s)
		return;
	p->term = s->term;
	p->vote = s->vote;
	if (s->base) {
		free(p->snap);
		free(p->snap_members);
		p->snap = copy(s->data, s->data_len);
		p->snap_len = s->data_len;
		p->snap_members = copy(s->members, s->members_len);
		p->snap_members_len = s->members_len;
		p->snap_index = s->base;
		p->snap_term = s->base_term;
		p->snap_new = 1;
	}
	p->base = s->base;
	p->base_term = s->base_term;
	for (size_t i = 0; i < s->n; i++)
		if (s->log_from + i > s->base) {
			struct part_entry e = s->e[i];

			e.data = copy(s->e[i].data, s->e[i].len);
			arrput(p->log, e);
		}
	p->commit = p->taken = p->matched = p->base;
	p->stable = last(p);
	members_find(p);
}

void part_close(struct part *p)
{
	for (ptrdiff_t i = 0; i < arrlen(p->log); i++)
		free(p->log[i].data);
	arrfree(p->log);
	arrfree(p->marks);
	free(p->snap);
	free(p->snap_members);
	memset(p, 0, sizeof *p);
}

void part_found(struct part *p, const struct part_member *m, int n, int64_t now, struct out *o)
{
	size_t len;
	uint8_t *d;

	(void)o;
	if (last(p) || p->term || p->mn)
		return;
	d = members_pack(m, n, &len);
	p->term = 1; /* entry 1 of term 1 is the same on every founder */
	put(p, 1, PART_MEMBERS_ENTRY, d, len);
	members_set(p, d, len, 1);
	free(d);
	p->elect_at = now + (int64_t)(core_rand(&p->rng) % 300);
	p->promise = 0;
	p->unsure = 0;
}
