#include "purge.h"

#include <stdlib.h>
#include <string.h>

#include "ds.h"

/* ---- values --------------------------------------------------------------- */

struct Nl__Value *value_copy(const struct Nl__Value *v)
{
	size_t n = nl__value__get_packed_size(v);
	uint8_t *d = malloc(n + 1);
	struct Nl__Value *c;

	if (!d)
		abort();
	nl__value__pack(v, d);
	c = nl__value__unpack(NULL, n, d);
	free(d);
	if (!c || !c->purge)
		abort(); /* a value is only made with its purge */
	return c;
}

void value_free(struct Nl__Value *v) { nl__value__free_unpacked(v, NULL); }

/* ---- know ----------------------------------------------------------------- */

static ptrdiff_t value_at(const struct know *k, uint64_t tick)
{
	ptrdiff_t lo = 0, hi = arrlen(k->v);

	while (lo < hi) {
		ptrdiff_t mid = (lo + hi) / 2;

		if (k->v[mid]->tick < tick)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

int know_add(struct know *k, uint64_t a, uint64_t b, const struct Nl__Value *v)
{
	ptrdiff_t i, j;
	uint64_t a0, b0;

	if (a > b)
		return 0;
	if (v && v->tick > k->released) {
		i = value_at(k, v->tick);
		if (i == arrlen(k->v) || k->v[i]->tick != v->tick)
			arrins(k->v, i, value_copy(v));
	}
	if (a <= k->horizon)
		a = k->horizon + 1;
	if (a > b)
		return 0;
	for (i = 0; i < arrlen(k->ahead) && k->ahead[i].b + 1 < a; i++)
		;
	a0 = a;
	b0 = b;
	if (i < arrlen(k->ahead) && k->ahead[i].a <= a && k->ahead[i].b >= b)
		return 0;
	for (j = i; j < arrlen(k->ahead) && k->ahead[j].a <= b + 1; j++) {
		if (k->ahead[j].a < a0)
			a0 = k->ahead[j].a;
		if (k->ahead[j].b > b0)
			b0 = k->ahead[j].b;
	}
	if (j > i)
		arrdeln(k->ahead, (size_t)i, (size_t)(j - i));
	arrins(k->ahead, i, ((struct tick_range){ a0, b0 }));
	if (k->ahead[0].a == k->horizon + 1) {
		k->horizon = k->ahead[0].b;
		arrdel(k->ahead, 0);
	}
	return 1;
}

uint64_t know_reach(const struct know *k) { return arrlen(k->ahead) ? arrlast(k->ahead).b : k->horizon; }

int know_gaps(const struct know *k, struct tick_range *r, int n)
{
	uint64_t a = k->horizon + 1;
	int m = 0;

	for (ptrdiff_t i = 0; i < arrlen(k->ahead) && m < n; i++) {
		r[m++] = (struct tick_range){ a, k->ahead[i].a - 1 };
		a = k->ahead[i].b + 1;
	}
	return m;
}

/* A known run [a, b]: each value takes the silence before it along, the rest is silence after. */
static void tell_run(const struct know *k, uint64_t a, uint64_t b, struct Nl__Knowledge *m, struct out *o)
{
	for (ptrdiff_t i = value_at(k, a); a <= b; i++) {
		struct Nl__Increment *inc = OUT_NEW(o, Nl__Increment, NL__INCREMENT__INIT);
		struct Nl__Increment **v = apr_palloc(o->p, (m->n_inc + 1) * sizeof *v);
		uint64_t end = b;

		if (i < arrlen(k->v) && k->v[i]->tick <= b) {
			inc->value = (struct Nl__Value *)core_dup(o->p, &k->v[i]->base);
			if (i + 1 < arrlen(k->v) && k->v[i + 1]->tick <= b)
				end = k->v[i]->tick;
		}
		inc->a = a;
		inc->b = end;
		if (m->n_inc)
			memcpy(v, m->inc, m->n_inc * sizeof *v);
		v[m->n_inc++] = inc;
		m->inc = v;
		a = end + 1;
	}
}

int know_tell(const struct know *k, uint64_t a, uint64_t b, struct Nl__Knowledge *m, struct out *o)
{
	if (a <= k->released)
		return 0;
	if (a <= k->horizon)
		tell_run(k, a, b < k->horizon ? b : k->horizon, m, o);
	for (ptrdiff_t i = 0; i < arrlen(k->ahead); i++) {
		uint64_t x = k->ahead[i].a > a ? k->ahead[i].a : a;
		uint64_t y = k->ahead[i].b < b ? k->ahead[i].b : b;

		if (x <= y)
			tell_run(k, x, y, m, o);
	}
	return 1;
}

void know_release(struct know *k, uint64_t upto)
{
	ptrdiff_t n;

	if (upto > k->horizon)
		upto = k->horizon;
	if (upto <= k->released)
		return;
	n = value_at(k, upto + 1);
	for (ptrdiff_t i = 0; i < n; i++)
		value_free(k->v[i]);
	if (n)
		arrdeln(k->v, 0, (size_t)n);
	k->released = upto;
}

void know_clear(struct know *k)
{
	for (ptrdiff_t i = 0; i < arrlen(k->v); i++)
		value_free(k->v[i]);
	arrfree(k->v);
	arrfree(k->ahead);
	memset(k, 0, sizeof *k);
}

/* ---- view ----------------------------------------------------------------- */

static uint64_t subject(uint32_t why, const char *a, const char *b) { return core_hashs(core_hashs(why, a), b); }

uint64_t view_subject(const struct Nl__Purge *p)
{
	switch (p->why) {
	case PURGE_WEIGHTS: return subject(PURGE_WEIGHTS, p->service, p->weights);
	case PURGE_TENANT: return subject(PURGE_TENANT, p->tenant, "");
	case PURGE_CONTEXT: return core_rdv(subject(PURGE_CONTEXT, p->lane, p->tenant), p->slice);
	default: return subject(PURGE_SERVER, p->server, "");
	}
}

void view_apply(struct view *w, const struct Nl__Value *v)
{
	uint64_t key = view_subject(v->purge);
	struct view_row *r = hmgetp_null(w->h, key);

	if (r && r->value->tick >= v->tick)
		return;
	if (r && v->purge->why == PURGE_CONTEXT)
		for (ptrdiff_t i = arrlen(w->clear) - 1; i >= 0; i--)
			if (w->clear[i] == r->value)
				arrdelswap(w->clear, i);
	if (r)
		value_free(r->value);
	hmput(w->h, key, value_copy(v));
	if (v->purge->why == PURGE_CONTEXT)
		arrput(w->clear, hmget(w->h, key));
}

static int gone(const struct view *w, uint64_t key, uint64_t stamp)
{
	struct view_row *h = w->h;
	ptrdiff_t i = hmgeti(h, key);

	return i >= 0 && stamp < h[i].value->tick;
}

int view_allows(const struct view *w, const char *service, const char *weights, const char *maker, const char *server,
		uint64_t stamp)
{
	if (!w->h)
		return 1;
	return !gone(w, subject(PURGE_WEIGHTS, service, weights), stamp) && !gone(w, subject(PURGE_TENANT, maker, ""), stamp) &&
	       !gone(w, subject(PURGE_SERVER, server, ""), stamp);
}

int view_keeps(const struct view *w, const char *service, const char *maker, uint64_t id, uint64_t stamp)
{
	for (ptrdiff_t i = 0; i < arrlen(w->clear); i++) {
		const struct Nl__Purge *p = w->clear[i]->purge;

		if (stamp < w->clear[i]->tick && p->slice == PURGE_SLICE(id) && (!p->tenant[0] || !strcmp(p->tenant, maker)) &&
		    (!p->service[0] || !strcmp(p->service, service)))
			return 0;
	}
	return 1;
}

uint64_t view_tick(const struct view *w, uint32_t why, const char *a, const char *b)
{
	struct view_row *h = w->h;
	ptrdiff_t i = h ? hmgeti(h, subject(why, a, b)) : -1;

	return i < 0 ? 0 : h[i].value->tick;
}

void view_clear(struct view *w)
{
	for (ptrdiff_t i = 0; i < hmlen(w->h); i++)
		value_free(w->h[i].value);
	hmfree(w->h);
	arrfree(w->clear);
}

/* ---- relay ---------------------------------------------------------------- */

void relay_open(struct relay *r, int64_t now)
{
	memset(r, 0, sizeof *r);
	r->born = r->up_tried = now;
	r->moved = r->known_at = now - PURGE_STALE - 1; /* nothing is current before the first knowledge */
}

void relay_close(struct relay *r)
{
	know_clear(&r->k);
	view_clear(&r->w);
	arrfree(r->down);
	arrfree(r->up);
}

void relay_up(struct relay *r, const uint64_t *up, size_t n, uint64_t log, int64_t now)
{
	size_t want = n + (log != 0);
	int same = (size_t)arrlen(r->up) == want;

	for (size_t i = 0; same && i < want; i++)
		same = r->up[i] == (i < n ? up[i] : log);
	if (same)
		return;
	arrsetlen(r->up, 0);
	for (size_t i = 0; i < n; i++)
		arrput(r->up, up[i]);
	if (log)
		arrput(r->up, log);
	r->up_at = 0;
	r->up_tried = now;
	r->asked = 0; /* speak to the new upstream at once */
}

uint64_t relay_taken(const struct relay *r)
{
	uint64_t t = r->k.horizon;

	for (ptrdiff_t i = 0; i < arrlen(r->down); i++)
		if (r->down[i].taken < t)
			t = r->down[i].taken;
	return t;
}

int relay_current(const struct relay *r, int64_t now) { return r->fresh && now - r->known_at < PURGE_STALE; }

static uint32_t age(const struct relay *r, int64_t now)
{
	int64_t ms = now - r->known_at;

	return ms < 0 ? 0 : ms > INT32_MAX ? INT32_MAX : (uint32_t)ms;
}

/* Tell each downstream what is new above what it has. */
static void pass_on(struct relay *r, uint64_t a, uint64_t b, int64_t now, struct out *o)
{
	for (ptrdiff_t i = 0; i < arrlen(r->down); i++) {
		struct Nl__Knowledge *m = OUT_NEW(o, Nl__Knowledge, NL__KNOWLEDGE__INIT);

		if (!know_tell(&r->k, a, b, m, o) || !m->n_inc)
			continue;
		m->age = age(r, now);
		m->asked = r->down[i].asked;
		out_msg(o, r->down[i].addr, SHARD_PURGE, NL__MSG__BODY_KNOWLEDGE)->knowledge = m;
		r->n_inc += m->n_inc;
	}
}

/* When what a message says held, on our clock and at the latest. It was told after we asked, and was so old then. What lay
 * in a buffer while a link was cut or this process stood still names an asking from before, and is no news. */
static int64_t known_since(int64_t asked, uint32_t age, int64_t now) { return asked > 0 && asked <= now ? asked - age : 0; }

/* moved: when its teller's horizon moved, as far as messages take no time; known_at: the same, timed from our asking. */
static int learn(struct relay *r, uint64_t a, uint64_t b, const struct Nl__Value *v, int64_t moved, int64_t known_at)
{
	uint64_t h = r->k.horizon;
	int is_new;

	if (v) {
		view_apply(&r->w, v);
		if (r->on_value)
			r->on_value(r->ctx, v);
	}
	is_new = know_add(&r->k, a, b, v);
	if (r->k.horizon > h) {
		r->moved = moved > r->moved ? moved : r->moved;
		r->known_at = known_at > r->known_at ? known_at : r->known_at;
		r->fresh = 1;
	}
	return is_new;
}

void relay_publish(struct relay *r, uint64_t a, uint64_t b, const struct Nl__Value *v, int64_t now, struct out *o)
{
	if (learn(r, a, b, v, now, now))
		pass_on(r, a, b, now, o);
}

static void on_knowledge(struct relay *r, const struct Nl__Knowledge *m, int64_t now, struct out *o)
{
	for (size_t i = 0; i < m->n_inc; i++) {
		const struct Nl__Increment *c = m->inc[i];

		if (c->a > c->b || (c->value && (!c->value->purge || c->value->tick < c->a || c->value->tick > c->b)))
			continue;
		if (learn(r, c->a, c->b, c->value, now - m->age, known_since(m->asked, m->age, now)))
			pass_on(r, c->a, c->b, now, o);
	}
}

static void on_snap(struct relay *r, const struct Nl__PurgeSnap *s, int64_t now, struct out *o)
{
	for (size_t i = 0; i < s->n_last; i++)
		if (s->last[i]->purge) {
			view_apply(&r->w, s->last[i]);
			if (r->on_value)
				r->on_value(r->ctx, s->last[i]);
		}
	if (s->upto <= r->k.horizon)
		return;
	learn(r, r->k.horizon + 1, s->upto, NULL, now - s->age, known_since(s->asked, s->age, now));
	/* the values themselves are not held here: those below must take a snapshot as well */
	know_release(&r->k, s->upto);
	pass_on(r, s->upto + 1, know_reach(&r->k), now, o);
}

static void send_snap(struct relay *r, uint64_t to, int64_t asked, int64_t now, struct out *o)
{
	struct Nl__PurgeSnap *s = OUT_NEW(o, Nl__PurgeSnap, NL__PURGE_SNAP__INIT);

	s->upto = r->k.horizon;
	s->age = age(r, now);
	s->asked = asked;
	s->last = apr_palloc(o->p, ((size_t)hmlen(r->w.h) + 1) * sizeof *s->last);
	for (ptrdiff_t i = 0; i < hmlen(r->w.h); i++)
		s->last[s->n_last++] = (struct Nl__Value *)core_dup(o->p, &r->w.h[i].value->base);
	out_msg(o, to, SHARD_PURGE, NL__MSG__BODY_PURGE_SNAP)->purge_snap = s;
}

/* Curiosity up: what is taken, and what is wanted if anything is. */
static void ask_up(struct relay *r, int want, int64_t now, struct out *o)
{
	struct tick_range gap[8];
	size_t holders = (size_t)arrlen(r->up);
	struct Nl__Curiosity *c;
	int n;

	if (r->publisher || !holders)
		return;
	want = want && !r->incurious;
	n = want ? know_gaps(&r->k, gap, 8) : 0;
	c = OUT_NEW(o, Nl__Curiosity, NL__CURIOSITY__INIT);
	c->taken = relay_taken(r);
	c->reach = know_reach(&r->k);
	c->snap = !r->fresh;
	c->asked = now;
	c->want = apr_palloc(o->p, 9 * sizeof *c->want);
	if (want && n < 8) /* and all above what is known at all */
		gap[n++] = (struct tick_range){ c->reach + 1, UINT64_MAX };
	for (int i = 0; i < n; i++) {
		c->want[i] = OUT_NEW(o, Nl__Range, NL__RANGE__INIT);
		c->want[i]->a = gap[i].a;
		c->want[i]->b = gap[i].b;
		c->n_want++;
	}
	r->asked = now;
	out_msg(o, r->up[r->up_at % holders], SHARD_PURGE, NL__MSG__BODY_CURIOSITY)->curiosity = c;
}

static void on_curiosity(struct relay *r, const struct Nl__Msg *msg, int64_t now, struct out *o)
{
	const struct Nl__Curiosity *c = msg->curiosity;
	struct Nl__Knowledge *m = OUT_NEW(o, Nl__Knowledge, NL__KNOWLEDGE__INIT);
	struct relay_down *d = NULL;
	int unknown = 0, told = 1;

	if (!r->fresh)
		return; /* knows nothing itself yet */
	for (ptrdiff_t i = 0; i < arrlen(r->down); i++)
		if (r->down[i].id == msg->id)
			d = &r->down[i];
	if (!d) {
		struct relay_down nd = { msg->id, msg->addr, 0, now, 0, 0, 0 };

		arrput(r->down, nd);
		d = &arrlast(r->down);
		d->taken = c->taken;
	}
	d->heard = now;
	d->asked = c->asked;
	d->addr = msg->addr;
	if (c->taken > d->taken)
		d->taken = c->taken;
	if (c->snap || c->taken < r->k.released) {
		send_snap(r, msg->addr, c->asked, now, o);
		return;
	}
	for (size_t i = 0; i < c->n_want; i++) {
		uint64_t b = c->want[i]->b < know_reach(&r->k) ? c->want[i]->b : know_reach(&r->k);

		if (c->want[i]->a <= b)
			told &= know_tell(&r->k, c->want[i]->a, b, m, o);
		unknown |= c->want[i]->b > r->k.horizon;
	}
	if (!told)
		send_snap(r, msg->addr, c->asked, now, o);
	else if (m->n_inc) {
		m->age = age(r, now);
		m->asked = c->asked;
		out_msg(o, msg->addr, SHARD_PURGE, NL__MSG__BODY_KNOWLEDGE)->knowledge = m;
	}
	/* pass the question further up, unless it was asked lately */
	if (unknown && !m->n_inc && now - r->asked >= PURGE_ACK)
		ask_up(r, 1, now, o);
}

void relay_msg(struct relay *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	switch (m->body_case) {
	case NL__MSG__BODY_KNOWLEDGE:
		r->heard = now;
		if (!r->publisher && r->fresh)
			on_knowledge(r, m->knowledge, now, o);
		break;
	case NL__MSG__BODY_PURGE_SNAP:
		r->heard = now;
		if (!r->publisher)
			on_snap(r, m->purge_snap, now, o);
		break;
	case NL__MSG__BODY_CURIOSITY: on_curiosity(r, m, now, o); break;
	default: break;
	}
}

void relay_tick(struct relay *r, int64_t now, struct out *o)
{
	struct tick_range gap[1];
	int want;

	for (ptrdiff_t i = arrlen(r->down) - 1; i >= 0; i--)
		if (now - r->down[i].heard > PURGE_DOWN)
			arrdel(r->down, (size_t)i); /* its lease lapsed: it must take a snapshot */
	/* a new holder does not know yet who is below it: nothing goes before all had time to speak */
	if (now - r->born > PURGE_DOWN)
		know_release(&r->k, relay_taken(r));
	if (r->publisher)
		return;
	want = !r->fresh || now - r->moved >= PURGE_STALL || know_gaps(&r->k, gap, 1);
	if (now - r->asked >= PURGE_ACK)
		ask_up(r, want, now, o);
	/* no step for a stall period: the next holder, last the log */
	if (now - r->moved >= 2 * PURGE_STALL && now - r->up_tried >= PURGE_STALL && arrlen(r->up)) {
		r->up_at = (r->up_at + 1) % (size_t)arrlen(r->up);
		r->up_tried = now;
		r->asked = 0;
	}
}
