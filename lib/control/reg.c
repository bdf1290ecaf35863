#include "reg.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "duty.h"
#include "giver.h"

/* ---- state machines: apply -------------------------------------------------- */

static void feed_put(struct Nl__Value ***feed, uint32_t part, uint64_t index, struct Nl__Purge *p)
{
	struct Nl__Value v = NL__VALUE__INIT;

	v.feed = part;
	v.index = index;
	v.purge = p;
	arrput(*feed, value_copy(&v));
}

static void feed_trim(struct Nl__Value ***feed, uint64_t upto)
{
	size_t n = 0;

	while (n < (size_t)arrlen(*feed) && (*feed)[n]->index <= upto)
		value_free((*feed)[n++]);
	if (n)
		arrdeln(*feed, 0, n);
}

static const struct reg_done *done_of(const struct reg *r, uint64_t from, uint64_t token)
{
	for (ptrdiff_t i = arrlen(r->ctl_done) - 1; i >= 0; i--)
		if (r->ctl_done[i].from == from && r->ctl_done[i].token == token)
			return &r->ctl_done[i];
	return NULL;
}

static const struct Nl__DoneDoc *doc_taken(const struct reg *r, uint64_t digest)
{
	for (ptrdiff_t i = arrlen(r->docs) - 1; i >= 0; i--)
		if (r->docs[i].digest == digest)
			return &r->docs[i];
	return NULL;
}

static void doc_keep(struct reg *r, const uint8_t *d, size_t n, uint64_t version)
{
	free(r->ctl_doc);
	r->ctl_doc = malloc(n + 1);
	if (!r->ctl_doc)
		abort();
	if (n)
		memcpy(r->ctl_doc, d, n);
	r->ctl_doc[n] = 0;
	r->ctl_doc_len = n;
	r->ctl_doc_version = version;
}

static void doc_note(struct reg *r, uint64_t version, uint64_t digest)
{
	struct Nl__DoneDoc d = NL__DONE_DOC__INIT;

	d.version = version;
	d.digest = digest;
	arrput(r->docs, d);
	if (arrlen(r->docs) > REG_DONE)
		arrdel(r->docs, 0);
}

/* A document is taken in the log's order: the same call again changes nothing, one built on another version is late. */
static int apply_doc(struct reg *r, const struct Nl__Change *c, struct Nl__Purge ***feed)
{
	const struct Nl__DoneDoc *old = doc_taken(r, c->doc_digest);
	int st;

	r->doc_logged += c->doc.len;
	if (old && old->version == c->doc_version)
		return TABLE_DONE;
	if (c->doc_base != r->ctl_doc_version)
		return TABLE_OVERTAKEN;
	if (c->doc_version <= r->ctl_doc_version)
		return TABLE_REFUSED;
	st = table_apply(&r->ctl, c, feed);
	if (st != TABLE_DONE)
		return st;
	doc_keep(r, c->doc.data, c->doc.len, c->doc_version);
	doc_note(r, c->doc_version, c->doc_digest);
	return TABLE_DONE;
}

/* A change may be proposed again while its answer is lost; it is applied once. */
static uint32_t apply_change(struct reg *r, uint64_t index, const struct Nl__Op *op)
{
	const struct reg_done *old = op->from ? done_of(r, op->from, op->token) : NULL;
	struct reg_done d = { op->from, op->token, 0 };
	struct Nl__Purge **p = NULL;
	int st;

	if (old)
		return old->status;
	st = op->change->doc_version ? apply_doc(r, op->change, &p) : table_apply(&r->ctl, op->change, &p);
	d.status = (uint32_t)st;
	if (d.from)
		arrput(r->ctl_done, d);
	if (arrlen(r->ctl_done) > REG_DONE)
		arrdel(r->ctl_done, 0);

	for (ptrdiff_t i = 0; i < arrlen(p); i++) {
		feed_put(&r->ctl_feed, SHARD_CONTROL, index << 16 | (uint64_t)i, p[i]);
		nl__purge__free_unpacked(p[i], NULL);
	}
	arrfree(p);
	if (st == TABLE_DONE)
		retention_rows(r, index);
	return (uint32_t)st;
}

/* An operator's call to clear may be proposed again while its answer is lost, too. */
static uint32_t apply_clear(struct reg *r, uint64_t index, const struct Nl__Op *op)
{
	const struct reg_done *old = op->from ? done_of(r, op->from, op->token) : NULL;
	struct reg_done d = { op->from, op->token, 0 };

	if (old)
		return old->status;
	d.status = retention_apply(r, index, op->clear);
	if (d.from)
		arrput(r->ctl_done, d);
	if (arrlen(r->ctl_done) > REG_DONE)
		arrdel(r->ctl_done, 0);
	return d.status;
}

/* Once context is cleared, what a part logged before goes from its disks, and again when no claim is left from then. */
static void apply_cleared(struct reg *r, uint32_t part, const struct Nl__Trim *t)
{
	struct reg_svc *s = svc_of(r, part);
	uint64_t *cleared = s ? &s->cleared : part == SHARD_CONTROL ? &r->ret.cleared : &r->pub.cleared;

	if (t->cleared <= *cleared && !t->settled)
		return;
	if (s && t->cleared > *cleared) {
		s->cleared_at = s->clock;
		s->settled = 0;
	} else if (s) {
		s->settled = 1;
	}
	*cleared = t->cleared > *cleared ? t->cleared : *cleared;
	r->fresh[part] = 1;
}

static uint32_t apply_claim(struct reg_svc *s, const struct Nl__Claim *c, apr_pool_t *p)
{
	char *key = apr_pstrcat(p, c->tenant, "\x1f", c->id, NULL);
	ptrdiff_t i = shgeti(s->h, key);
	int mine;

	if (i >= 0 && s->h[i].value.at + REG_CLAIM_KEEP < s->clock) {
		(void)shdel(s->h, key);
		i = -1;
	}
	mine = i >= 0 && s->h[i].value.by == c->by && s->h[i].value.seq == c->seq;
	if (c->release) { /* remembered, since the claim itself may still be on its way, here or once more */
		if (i < 0 || mine)
			shput(s->h, key, ((typeof(s->h->value)){ c->by, c->seq, s->clock, 1 }));
		return TABLE_DONE;
	}
	if (mine ? s->h[i].value.given_back : i >= 0 && !s->h[i].value.given_back)
		return TABLE_REFUSED;
	if (!mine)
		shput(s->h, key, ((typeof(s->h->value)){ c->by, c->seq, s->clock, 0 }));
	return TABLE_DONE;
}

/* Claims past their time count as absent when looked up; now and then they go. */
static void forget_claims(struct reg_svc *s)
{
	for (ptrdiff_t i = shlen(s->h) - 1; i >= 0; i--)
		if (s->h[i].value.at + REG_CLAIM_KEEP < s->clock)
			(void)shdel(s->h, s->h[i].key);
}

static void apply_rolled(struct reg *r, uint32_t part, uint64_t index, const struct Nl__Rolled *c)
{
	struct reg_svc *s = svc_of(r, part);
	ptrdiff_t i = shgeti(s->rolled, c->service);
	char *now_on = strdup(c->weights);

	if (i >= 0 && strcmp(s->rolled[i].value, c->weights)) {
		struct Nl__Purge p = NL__PURGE__INIT;

		p.why = PURGE_WEIGHTS;
		p.service = c->service;
		p.weights = s->rolled[i].value;
		feed_put(&s->feed, part, index << 16, &p);
	}
	if (i >= 0)
		free(s->rolled[i].value);
	shput(s->rolled, c->service, now_on);
}

static void apply_value(struct reg *r, const struct Nl__Value *v, int64_t now, struct out *o)
{
	struct reg_pub *b = &r->pub;
	int fresh = v->feed < SHARD_COUNT && v->index > b->mark[v->feed] && v->purge;

	if (fresh) {
		b->mark[v->feed] = v->index;
		arrput(b->v, value_copy(v));
		view_apply(&b->last, v);
	}
	if (r->relay.publisher && v->tick > r->tick) { /* logged, so it may go out: value and silence before it */
		relay_publish(&r->relay, r->tick + 1, v->tick, fresh ? v : NULL, now, o);
		r->tick = v->tick;
		if (r->pending_tick <= r->tick && r->tick < b->ceiling) { /* and one tick of silence after it */
			r->tick++;
			relay_publish(&r->relay, r->tick, r->tick, NULL, now, o);
		}
	}
}

static void apply_reserve(struct reg *r, const struct Nl__Reserve *c)
{
	size_t n = 0;

	if (c->ceiling > r->pub.ceiling)
		r->pub.ceiling = c->ceiling;
	while (n < (size_t)arrlen(r->pub.v) && r->pub.v[n]->tick <= c->released)
		value_free(r->pub.v[n++]);
	if (n)
		arrdeln(r->pub.v, 0, n);
	if (c->released > r->pub.released)
		r->pub.released = c->released;
}

static void answer_wait(struct reg *r, uint32_t part, uint64_t index, uint32_t st, struct out *o);

static void apply(struct reg *r, uint32_t part, uint64_t index, const struct raft_entry *e, int64_t now, struct out *o)
{
	struct Nl__Op *op = (struct Nl__Op *)core_unpack(o->p, &nl__op__descriptor, e->len, e->data);
	uint32_t st = TABLE_REFUSED;

	if (op && svc_of(r, part))
		svc_of(r, part)->clock += op->clock;
	if (op)
		switch (op->op_case) {
		case NL__OP__OP_CHANGE:
			if (part == SHARD_CONTROL)
				st = apply_change(r, index, op);
			break;
		case NL__OP__OP_RESERVE:
			if (part == SHARD_PURGE) {
				apply_reserve(r, op->reserve);
				st = TABLE_DONE;
			}
			break;
		case NL__OP__OP_VALUE:
			if (part == SHARD_PURGE) {
				apply_value(r, op->value, now, o);
				st = TABLE_DONE;
			}
			break;
		case NL__OP__OP_CLAIM:
			if (svc_of(r, part))
				st = apply_claim(svc_of(r, part), op->claim, o->p);
			break;
		case NL__OP__OP_ROLLED:
			if (svc_of(r, part)) {
				apply_rolled(r, part, index, op->rolled);
				st = TABLE_DONE;
			} else if (part == SHARD_CONTROL) {
				giver_meant(r, op->rolled->server, now);
				st = TABLE_DONE;
			}
			break;
		case NL__OP__OP_TRIM:
			if (part != SHARD_PURGE)
				feed_trim(part == SHARD_CONTROL ? &r->ctl_feed : &svc_of(r, part)->feed, op->trim->feed);
			if (op->trim->cleared)
				apply_cleared(r, part, op->trim);
			st = TABLE_DONE;
			break;
		case NL__OP__OP_CLEAR:
			if (part == SHARD_CONTROL)
				st = apply_clear(r, index, op);
			break;
		default: break;
		}
	answer_wait(r, part, index, st, o);
}

/* ---- state machines: snapshots ------------------------------------------------ */

static struct Nl__Value **values_dup(struct Nl__Value *const *v, size_t n, apr_pool_t *p)
{
	struct Nl__Value **c = apr_palloc(p, (n + 1) * sizeof *c);

	for (size_t i = 0; i < n; i++)
		c[i] = (struct Nl__Value *)core_dup(p, &v[i]->base);
	return c;
}

static int by_key(const void *a, const void *b) { return strcmp(*(char *const *)a, *(char *const *)b); }

static uint8_t *pack_ctl(const struct reg *r, apr_pool_t *p, size_t *n)
{
	struct Nl__CtlState s = NL__CTL_STATE__INIT;
	struct Nl__FollowReply all = NL__FOLLOW_REPLY__INIT;
	struct table_row *h = r->ctl.h;
	char **key = apr_palloc(p, ((size_t)shlen(h) + 1) * sizeof *key);

	table_since(&r->ctl, 0, &all, p);
	s.fleet = r->fleet;
	s.edition = r->ctl.edition;
	s.plan = r->ctl.plan;
	s.row = all.set;
	s.n_row = all.n_set;
	for (size_t i = 0; i < s.n_row; i++) /* in order, so that equal states pack alike */
		key[i] = h[i].key;
	qsort(key, s.n_row, sizeof *key, by_key);
	for (size_t i = 0; i < s.n_row; i++)
		s.row[i] = shget(h, key[i]).row;
	s.feed = r->ctl_feed;
	s.n_feed = (size_t)arrlen(r->ctl_feed);
	s.n_done = (size_t)arrlen(r->ctl_done);
	s.done = apr_palloc(p, (s.n_done + 1) * sizeof *s.done);
	for (size_t i = 0; i < s.n_done; i++) {
		s.done[i] = apr_palloc(p, sizeof *s.done[i]);
		nl__done_op__init(s.done[i]);
		s.done[i]->from = r->ctl_done[i].from;
		s.done[i]->token = r->ctl_done[i].token;
		s.done[i]->status = r->ctl_done[i].status;
	}
	s.doc.data = r->ctl_doc;
	s.doc.len = r->ctl_doc_len;
	s.doc_version = r->ctl_doc_version;
	s.n_docs = (size_t)arrlen(r->docs);
	s.docs = apr_palloc(p, (s.n_docs + 1) * sizeof *s.docs);
	for (size_t i = 0; i < s.n_docs; i++)
		s.docs[i] = &r->docs[i];
	retention_pack(r, &s);
	return core_pack(p, &s.base, n);
}

static uint8_t *pack_pub(const struct reg *r, apr_pool_t *p, size_t *n)
{
	struct Nl__PurgeState s = NL__PURGE_STATE__INIT;
	struct Nl__FeedMark m[SHARD_COUNT], *pm[SHARD_COUNT];
	struct view_row *h = r->pub.last.h;

	s.ceiling = r->pub.ceiling;
	s.released = r->pub.released;
	s.cleared = r->pub.cleared;
	s.v = r->pub.v;
	s.n_v = (size_t)arrlen(r->pub.v);
	s.last = apr_palloc(p, ((size_t)hmlen(h) + 1) * sizeof *s.last);
	for (ptrdiff_t i = 0; i < hmlen(h); i++) {
		size_t k = s.n_last++;

		for (; k && s.last[k - 1]->tick > h[i].value->tick; k--)
			s.last[k] = s.last[k - 1];
		s.last[k] = h[i].value;
	}
	for (int i = 0; i < SHARD_COUNT; i++) {
		nl__feed_mark__init(&m[i]);
		m[i].feed = (uint32_t)i;
		m[i].index = r->pub.mark[i];
		pm[i] = &m[i];
	}
	s.mark = pm;
	s.n_mark = SHARD_COUNT;
	return core_pack(p, &s.base, n);
}

static uint8_t *pack_svc(const struct reg_svc *c, apr_pool_t *p, size_t *n)
{
	struct Nl__ServiceState s = NL__SERVICE_STATE__INIT;
	struct reg_claim *h = c->h;
	char **key = apr_palloc(p, ((size_t)shlen(h) + 1) * sizeof *key);
	size_t live = 0;

	s.clock = c->clock;
	s.cleared = c->cleared;
	s.cleared_at = c->cleared_at;
	s.settled = c->settled;
	s.c = apr_palloc(p, ((size_t)shlen(h) + 1) * sizeof *s.c);
	for (ptrdiff_t i = 0; i < shlen(h); i++)
		if (h[i].value.at + REG_CLAIM_KEEP >= c->clock)
			key[live++] = h[i].key;
	qsort(key, live, sizeof *key, by_key);
	for (size_t i = 0; i < live; i++) {
		struct Nl__ClaimRow *x = apr_palloc(p, sizeof *x);
		char *sep = strchr(key[i], '\x1f');

		nl__claim_row__init(x);
		x->tenant = apr_pstrmemdup(p, key[i], (size_t)(sep - key[i]));
		x->id = sep + 1;
		x->by = shget(h, key[i]).by;
		x->seq = shget(h, key[i]).seq;
		x->at = shget(h, key[i]).at;
		x->given_back = shget(h, key[i]).given_back;
		s.c[s.n_c++] = x;
	}
	s.feed = c->feed;
	s.n_feed = (size_t)arrlen(c->feed);
	s.rolled = apr_palloc(p, ((size_t)shlen(c->rolled) + 1) * sizeof *s.rolled);
	for (ptrdiff_t i = 0; i < shlen(c->rolled); i++) {
		struct Nl__Rolled *x = apr_palloc(p, sizeof *x);
		size_t k = s.n_rolled++;

		nl__rolled__init(x);
		x->service = c->rolled[i].key;
		x->weights = c->rolled[i].value;
		for (; k && strcmp(s.rolled[k - 1]->service, x->service) > 0; k--)
			s.rolled[k] = s.rolled[k - 1];
		s.rolled[k] = x;
	}
	return core_pack(p, &s.base, n);
}

uint8_t *reg_state(const struct reg *r, uint32_t part, apr_pool_t *p, size_t *n)
{
	return part == SHARD_CONTROL ? pack_ctl(r, p, n)
	       : part == SHARD_PURGE ? pack_pub(r, p, n)
				     : pack_svc(&r->svc[part - SHARD_SERVICE], p, n);
}

static void clear_values(struct Nl__Value ***v)
{
	for (ptrdiff_t i = 0; i < arrlen(*v); i++)
		value_free((*v)[i]);
	arrfree(*v);
}

static void clear_svc(struct reg_svc *s)
{
	shfree(s->h);
	clear_values(&s->feed);
	for (ptrdiff_t i = 0; i < shlen(s->rolled); i++)
		free(s->rolled[i].value);
	shfree(s->rolled);
	memset(s, 0, sizeof *s);
	sh_new_strdup(s->h);
	sh_new_strdup(s->rolled);
}

static void load_state(struct reg *r, uint32_t part, apr_pool_t *p)
{
	const struct raft *q = &r->part[part];

	if (part == SHARD_CONTROL) {
		struct Nl__CtlState *s =
		    (struct Nl__CtlState *)core_unpack(p, &nl__ctl_state__descriptor, q->snapshot_len, q->snap);
		struct Nl__FollowReply all = NL__FOLLOW_REPLY__INIT;

		table_close(&r->ctl);
		table_open(&r->ctl);
		arrsetlen(r->spare, 0); /* its names were that table's */
		r->spare_edition = 0;
		clear_values(&r->ctl_feed);
		arrsetlen(r->ctl_done, 0);
		arrsetlen(r->docs, 0);
		r->doc_logged = 0;
		retention_load(r, s);
		doc_keep(r, s ? s->doc.data : NULL, s ? s->doc.len : 0, s ? s->doc_version : 0);
		if (!s)
			return;
		for (size_t i = 0; i < s->n_docs; i++)
			doc_note(r, s->docs[i]->version, s->docs[i]->digest);
		for (size_t i = 0; i < s->n_done; i++) {
			struct reg_done d = { s->done[i]->from, s->done[i]->token, s->done[i]->status };

			arrput(r->ctl_done, d);
		}
		all.whole = 1;
		all.edition = s->edition;
		all.set = s->row;
		all.n_set = s->n_row;
		(void)table_follow(&r->ctl, &all);
		r->ctl.plan = s->plan;
		r->ctl.floor = s->edition;
		for (size_t i = 0; i < s->n_feed; i++)
			arrput(r->ctl_feed, value_copy(s->feed[i]));
	} else if (part == SHARD_PURGE) {
		struct Nl__PurgeState *s =
		    (struct Nl__PurgeState *)core_unpack(p, &nl__purge_state__descriptor, q->snapshot_len, q->snap);

		clear_values(&r->pub.v);
		view_clear(&r->pub.last);
		memset(&r->pub, 0, sizeof r->pub);
		if (!s)
			return;
		r->pub.ceiling = s->ceiling;
		r->pub.released = s->released;
		r->pub.cleared = s->cleared;
		for (size_t i = 0; i < s->n_v; i++)
			arrput(r->pub.v, value_copy(s->v[i]));
		for (size_t i = 0; i < s->n_last; i++)
			view_apply(&r->pub.last, s->last[i]);
		for (size_t i = 0; i < s->n_mark; i++)
			if (s->mark[i]->feed < SHARD_COUNT)
				r->pub.mark[s->mark[i]->feed] = s->mark[i]->index;
	} else {
		struct reg_svc *c = svc_of(r, part);
		struct Nl__ServiceState *s =
		    (struct Nl__ServiceState *)core_unpack(p, &nl__service_state__descriptor, q->snapshot_len, q->snap);

		clear_svc(c);
		if (!s)
			return;
		c->clock = s->clock;
		c->cleared = s->cleared;
		c->cleared_at = s->cleared_at;
		c->settled = s->settled;
		for (size_t i = 0; i < s->n_c; i++)
			shput(c->h, apr_pstrcat(p, s->c[i]->tenant, "\x1f", s->c[i]->id, NULL),
			      ((typeof(c->h->value)){ s->c[i]->by, s->c[i]->seq, s->c[i]->at, s->c[i]->given_back }));
		for (size_t i = 0; i < s->n_feed; i++)
			arrput(c->feed, value_copy(s->feed[i]));
		for (size_t i = 0; i < s->n_rolled; i++)
			shput(c->rolled, s->rolled[i]->service, strdup(s->rolled[i]->weights));
	}
}

/* ---- proposals and their answers ----------------------------------------------- */

static const char *error_json(apr_pool_t *p, const char *why, uint64_t edition)
{
	struct json_object *j = json_object_new_object();
	const char *s;

	json_object_object_add(j, "error", json_object_new_string(why));
	if (edition)
		json_object_object_add(j, "edition", json_object_new_int64((int64_t)edition));
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

static void on_answer(struct reg *r, const struct Nl__Answer *a, int64_t now, struct out *o);

static void send_answer(struct reg *r, uint64_t addr, uint64_t token, uint32_t st, const char *why, uint64_t hint, struct out *o)
{
	struct Nl__Answer *a = OUT_NEW(o, Nl__Answer, NL__ANSWER__INIT);

	a->token = token;
	a->status = st;
	a->why = (char *)why;
	a->edition = r->ctl.edition;
	a->hint = hint;
	out_msg(o, addr, 0, NL__MSG__BODY_ANSWER)->answer = a;
}

/* Operators' calls that wait for this entry. */
static void answer_calls(struct reg *r, uint64_t index, uint32_t st, struct out *o)
{
	for (ptrdiff_t i = arrlen(r->call) - 1; i >= 0; i--) {
		if (r->call[i].index != index)
			continue;
		if (st == TABLE_DONE)
			out_answer(o, r->call[i].token, 200, 0, "{}");
		else if (st == TABLE_OVERTAKEN)
			out_answer(o, r->call[i].token, 412, 0, error_json(o->p, "another version is current", 0));
		else
			out_answer(o, r->call[i].token, 400, 0, error_json(o->p, "version: not above the current one", 0));
		arrdel(r->call, i);
	}
}

static void answer_wait(struct reg *r, uint32_t part, uint64_t index, uint32_t st, struct out *o)
{
	if (part == SHARD_CONTROL)
		answer_calls(r, index, st, o);
	for (ptrdiff_t i = 0; i < arrlen(r->wait); i++)
		if (r->wait[i].part == part && r->wait[i].index == index) {
			send_answer(r, r->wait[i].addr, r->wait[i].token, st,
				    st == TABLE_OVERTAKEN ? "edition overtaken"
				    : st == TABLE_REFUSED ? "already claimed"
							  : "",
				    0, o);
			arrdel(r->wait, i);
			return;
		}
}

uint64_t log_op(struct reg *r, uint32_t part, struct Nl__Op *op, int64_t now, struct out *o)
{
	size_t n;
	uint8_t *d;

	if (!in_office(r, part, now))
		return 0;
	op->clock = (uint64_t)(now - r->clock_at[part]);
	r->clock_at[part] = now;
	d = core_pack(o->p, &op->base, &n);
	return raft_propose(&r->part[part], d, n, now);
}

/* An operator wants a scope cleared now; the time is the owner's, since nothing is planned by it. */
static const char *clear_check(const struct reg *r, struct Nl__Clear *c, int64_t now, apr_pool_t *p)
{
	int64_t wall = retention_wall(r, now);
	char lane[200], tenant[200];

	if (!retention_scope(c->scope, lane, tenant))
		return "scope: lane/tenant, with * for all; * alone for everything";
	if (lane[0] && !table_get(&r->ctl, NL__KIND__LANE, lane))
		return apr_psprintf(p, "scope: no lane %s", lane);
	if (tenant[0] && !table_get(&r->ctl, NL__KIND__TENANT, tenant))
		return apr_psprintf(p, "scope: no tenant %s", tenant);
	c->wall = c->due = wall == INT64_MIN ? r->wall : wall;
	return NULL;
}

static void on_propose(struct reg *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__Propose *q = m->propose;
	struct reg_wait w = { m->part, 0, m->addr, q->token };
	const char *why = NULL;
	const struct reg_done *done;
	int fits;

	if (m->part >= SHARD_COUNT || !q->op)
		return;
	fits = m->part == SHARD_CONTROL ? q->op->op_case == NL__OP__OP_CHANGE || (q->op->op_case == NL__OP__OP_CLEAR &&
										  q->op->clear->step == NL__CLEAR_STEP__CLEAR_NOW)
	       : svc_of(r, m->part)     ? q->op->op_case == NL__OP__OP_CLAIM
					: 0;
	if (!in_office(r, m->part, now)) {
		send_answer(r, m->addr, q->token, TABLE_NOT_OWNER, "", owner_hint(r, m->part, now), o);
		return;
	}
	if (!fits)
		why = "op: not one that this part takes";
	else if (m->part == SHARD_CONTROL && (done = done_of(r, q->op->from, q->op->token))) {
		send_answer(r, m->addr, q->token, done->status, "edition overtaken", 0, o);
		return;
	} else if (m->part == SHARD_CONTROL && q->op->op_case == NL__OP__OP_CLEAR) {
		why = clear_check(r, q->op->clear, now, o->p);
	} else if (m->part == SHARD_CONTROL && r->ctl.edition && !q->op->change->any && q->op->change->expect < r->ctl.plan) {
		send_answer(r, m->addr, q->token, TABLE_OVERTAKEN, "edition overtaken", 0, o);
		return;
	} else if (m->part == SHARD_CONTROL) {
		why = table_check(&r->ctl, q->op->change, o->p);
		if (!why)
			why = retention_check(r->calendar, q->op->change, retention_wall(r, now), o->p);
	}
	if (why) {
		send_answer(r, m->addr, q->token, TABLE_REFUSED, why, 0, o);
		return;
	}
	w.index = log_op(r, m->part, q->op, now, o);
	if (w.index)
		arrput(r->wait, w);
}

/* A proposal of this node's own, or of an operator calling here. */
static void ask(struct reg *r, uint32_t part, const struct Nl__Op *op, uint64_t web, int64_t now)
{
	struct reg_ask a = { ++r->token, web, part, NULL, now + REG_CALL, 0, 0, 0 };
	size_t n = nl__op__get_packed_size(op);
	uint8_t *d = malloc(n + 1);

	if (!d)
		abort();
	nl__op__pack(op, d);
	a.op = nl__op__unpack(NULL, n, d);
	free(d);
	if (!a.op)
		abort();
	a.op->from = r->id;
	a.op->token = a.token;
	arrput(r->ask, a);
}

static void ask_end(struct reg *r, ptrdiff_t i)
{
	nl__op__free_unpacked(r->ask[i].op, NULL);
	arrdel(r->ask, i);
}

static void asks_tick(struct reg *r, int64_t now, struct out *o)
{
	for (ptrdiff_t i = arrlen(r->ask) - 1; i >= 0; i--) {
		struct reg_ask *a = &r->ask[i];
		struct Nl__Propose *q;

		if (now >= a->until) {
			if (a->web)
				out_answer(o, a->web, a->sends > a->denied ? 504 : 503, 1000,
					   error_json(o->p,
						      a->sends > a->denied ? "outcome unknown: read the table before trying again"
									   : "no owner of the configuration: nothing was logged",
						      0));
			ask_end(r, i);
			continue;
		}
		if (now < a->again || follow_age(&r->f, now) > 2 * FOLLOW_EVERY + 100)
			continue;
		a->again = now + REG_AGAIN;
		a->sends++;
		q = OUT_NEW(o, Nl__Propose, NL__PROPOSE__INIT);
		q->token = a->token;
		q->op = (struct Nl__Op *)core_dup(o->p, &a->op->base);
		out_msg(o, follow_seat(&r->f, a->part), a->part, NL__MSG__BODY_PROPOSE)->propose = q;
	}
}

static void on_answer(struct reg *r, const struct Nl__Answer *a, int64_t now, struct out *o)
{
	for (ptrdiff_t i = 0; i < arrlen(r->ask); i++) {
		struct reg_ask *q = &r->ask[i];
		const char *body;

		if (q->token != a->token)
			continue;
		if (a->status == TABLE_NOT_OWNER) { /* surely not logged there */
			q->denied++;
			q->again = now + 50; /* the one named, soon */
			follow_hint(&r->f, q->part, a->hint);
			return;
		}
		if (a->status == TABLE_BUSY)
			return; /* stays open: its end is unknown */
		if (q->web && a->status == TABLE_DONE) {
			body = apr_psprintf(o->p, "{\"edition\":%" APR_UINT64_T_FMT "}", a->edition);
			out_answer(o, q->web, 200, 0, body);
		} else if (q->web) {
			out_answer(o, q->web, a->status == TABLE_OVERTAKEN ? 409 : 400, 0, error_json(o->p, a->why, a->edition));
		}
		ask_end(r, i);
		follow_ask(&r->f, r->relay.k.horizon, now, o);
		return;
	}
}

/* ---- the configuration's owner answers followers --------------------------------- */

/* ms after which a silent registrar is replaced: the rest of the bound is for the joining of another. */
static int64_t lost_after(const struct reg *r) { return r->b.catch_up_ms * 2 / 5; }

static int rank_before(uint64_t zone, const struct reg_seen *s, uint64_t id) { return core_rdv(zone, s->id) > core_rdv(zone, id); }

/* The fleet's limit of "tenant" or "lane/tenant" as the table has it. */
static uint32_t limit_of(const struct reg *r, const char *name)
{
	const struct Nl__Row *row = table_get(&r->ctl, strchr(name, '/') ? NL__KIND__SHARE : NL__KIND__TENANT, name);

	return row ? row->limit : 0;
}

/* Whether there is such a row at all; one without a limit has 0. */
static int named(const struct reg *r, const char *name)
{
	return table_get(&r->ctl, strchr(name, '/') ? NL__KIND__SHARE : NL__KIND__TENANT, name) != NULL;
}

/* What the asker may use. Never more than the limit less all that others hold or may believe to hold. What is wanted
 * beyond the limit is shared out evenly; the odd places go to those that have gone without for longest. */
static uint32_t share_out(const struct reg_place *v, const struct reg_place *me, const char *name, uint32_t limit, uint32_t spare,
			  int64_t now)
{
	uint64_t others = 0, all = 0, turn = core_hashs((uint64_t)(now / 1000), name);
	uint32_t n = 0, rank = 0, want = me->want + spare, even;

	for (ptrdiff_t i = 0; i < arrlen(v); i++) {
		if (v[i].id != me->id)
			others += v[i].rec;
		all += v[i].want + spare;
		n += v[i].want > 0;
		rank += v[i].want &&
			(v[i].fed / 1000 != me->fed / 1000 ? v[i].fed < me->fed : core_rdv(turn, v[i].id) > core_rdv(turn, me->id));
	}
	if (all > limit) {
		even = n ? limit / n + (rank < limit % n) : 0;
		want = me->want < even ? me->want : even;
	}
	if (want <= me->rec) /* less than it has: always; more: as far as others leave it */
		return want;
	return others + want <= limit     ? want
	       : others + me->rec < limit ? (uint32_t)(limit - others)
	       : me->rec < limit          ? me->rec
					  : limit;
}

static struct reg_place *place_of(struct reg *r, const char *name, uint64_t id, uint32_t most, int64_t now)
{
	struct reg_place *v, n = { id, 0, most, 0, now, 0 };
	ptrdiff_t me = -1;

	if (shgeti(r->limit, name) < 0)
		shput(r->limit, name, NULL);
	v = shget(r->limit, name);
	for (ptrdiff_t i = arrlen(v) - 1; i >= 0; i--)
		if (now - v[i].at > REG_PLACES)
			arrdelswap(v, i);
	for (ptrdiff_t i = 0; i < arrlen(v); i++)
		if (v[i].id == id)
			me = i;
	if (me < 0) {
		arrput(v, n);
		me = arrlen(v) - 1;
	}
	shput(r->limit, name, v);
	return &v[me];
}

/* Say what the asker may use, and count it as held until it is heard to be back. */
static void place_say(struct reg_place *me, const char *name, uint32_t held, uint64_t token, struct Nl__FollowReply *a,
		      struct out *o)
{
	struct Nl__Hold *p = OUT_NEW(o, Nl__Hold, NL__HOLD__INIT);

	if (held > me->rec)
		me->rec = held;
	me->token = token;
	p->name = apr_pstrdup(o->p, name);
	p->held = held;
	a->place[a->n_place++] = p;
}

/* Where a table has few limits, counters hold some of each ahead: a failover then finds them with places. */
static void spare_names(struct reg *r)
{
	if (r->spare_edition == r->ctl.edition)
		return;
	r->spare_edition = r->ctl.edition;
	arrsetlen(r->spare, 0);
	for (ptrdiff_t i = 0; i < shlen(r->ctl.h); i++) {
		const struct Nl__Row *row = r->ctl.h[i].value.row;

		if ((row->kind != NL__KIND__TENANT && row->kind != NL__KIND__SHARE) || !row->limit)
			continue;
		if (arrlen(r->spare) == REG_SPARE) {
			arrsetlen(r->spare, 0);
			return;
		}
		arrput(r->spare, row->name);
	}
}

/* Places that the asker holds, uses and wants, and what it gets. In the first seconds of an office nobody gets more: not
 * all that the last owner gave has been heard of yet. */
static void places(struct reg *r, uint64_t id, const struct Nl__Follow *q, uint32_t counters, struct Nl__FollowReply *a,
		   int64_t now, struct out *o)
{
	/* the members are a fleet's first entry, its first owner's the second: before it nobody gave any */
	int young = now - r->owner_since[SHARD_CONTROL] < REG_PLACES && r->part[SHARD_CONTROL].term_start > 2;
	uint32_t n = counters ? counters : 1;

	spare_names(r);
	a->place = apr_palloc(o->p, (q->n_hold + (size_t)arrlen(r->spare) + 1) * sizeof *a->place);
	for (size_t k = 0; k < q->n_hold; k++) {
		const struct Nl__Hold *h = q->hold[k];
		uint32_t limit = limit_of(r, h->name), got, most = h->held > h->used ? h->held : h->used;
		struct reg_place *me;

		if (!limit && named(r, h->name)) /* no limit: nobody asks for places */
			continue;
		me = place_of(r, h->name, id, most, now);
		if (q->applied >= me->token || most > me->rec) /* it has heard the last that was said */
			me->rec = most;
		me->want = h->want;
		me->at = now;
		got = share_out(shget(r->limit, h->name), me, h->name, limit, limit / (4 * n), now);
		if (young && got > h->held)
			got = h->held < limit ? h->held : limit;
		if (got || h->used)
			me->fed = now;
		place_say(me, h->name, got, q->token, a, o);
	}
	for (ptrdiff_t i = 0; i < arrlen(r->spare) && q->counter && !young; i++) {
		uint32_t limit = limit_of(r, r->spare[i]), got;
		struct reg_place *me;
		int named = 0;

		for (size_t k = 0; k < q->n_hold && !named; k++)
			named = !strcmp(q->hold[k]->name, r->spare[i]);
		if (named || limit < 4 * n)
			continue;
		me = place_of(r, r->spare[i], id, 0, now);
		me->at = now;
		me->want = 0;
		if (q->applied >= me->token)
			me->rec = 0;
		got = share_out(shget(r->limit, r->spare[i]), me, r->spare[i], limit, limit / (4 * n), now);
		place_say(me, r->spare[i], got, q->token, a, o);
	}
}

/* The head of each zone but one's own: whom rendezvous ranks first of the counters heard lately. */
static void name_heads(const struct reg *r, uint64_t zone, struct Nl__FollowReply *a, int64_t now, struct out *o)
{
	const struct reg_seen **head = NULL;

	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++) {
		const struct reg_seen *c = &r->seen[i];
		ptrdiff_t k = 0;

		if (!c->counter || c->zone == zone || now - c->at > REG_SEEN / 2)
			continue;
		while (k < arrlen(head) && head[k]->zone != c->zone)
			k++;
		if (k == arrlen(head))
			arrput(head, c);
		else if (rank_before(c->zone, c, head[k]->id))
			head[k] = c;
	}
	a->head = apr_palloc(o->p, ((size_t)arrlen(head) + 1) * sizeof *a->head);
	for (ptrdiff_t k = 0; k < arrlen(head); k++)
		a->head[a->n_head++] = head[k]->addr;
	arrfree(head);
}

static void on_follow(struct reg *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__Follow *q = m->follow;
	struct Nl__FollowReply *a = OUT_NEW(o, Nl__FollowReply, NL__FOLLOW_REPLY__INIT);
	struct reg_seen *s = NULL, me = { m->id,   m->addr,  core_hashs(0, q->zone), now, q->counter, q->have, q->horizon, q->token,
					  q->wall, q->strain };

	int late;

	out_msg(o, m->addr, SHARD_CONTROL, NL__MSG__BODY_FOLLOW_REPLY)->follow_reply = a;
	a->token = q->token;
	a->fleet = r->fleet;
	a->licensed = in_office(r, SHARD_CONTROL, now);
	a->hint = owner_hint(r, SHARD_CONTROL, now);
	if (!a->hint && r->f.seat[SHARD_CONTROL] != o->addr)
		a->hint = r->f.seat[SHARD_CONTROL];
	if (!a->licensed)
		return;
	for (ptrdiff_t i = arrlen(r->seen) - 1; i >= 0; i--)
		if (r->seen[i].id == m->id)
			s = &r->seen[i];
		else if (now - r->seen[i].at > 60 * 1000)
			arrdelswap(r->seen, i);
	/* the deletion may have moved it */
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		if (r->seen[i].id == m->id)
			s = &r->seen[i];
	late = s && q->token < s->token; /* overtaken on its way: what it says of places no longer holds */
	if (s)
		*s = me;
	else
		arrput(r->seen, me);
	retention_heard(r, m, now);
	table_since(&r->ctl, q->have, a, o->p);
	sights_since(&r->sights, q->sights, a, o->p);
	a->up = apr_palloc(o->p, 2 * sizeof *a->up);
	for (int k = 0; q->counter && k < 2; k++) { /* the best two that rendezvous ranks above the asker in its zone */
		const struct reg_seen *best = NULL;

		for (ptrdiff_t i = 0; i < arrlen(r->seen); i++) {
			const struct reg_seen *c = &r->seen[i];

			if (!c->counter || c->zone != me.zone || now - c->at > REG_SEEN / 2 || !rank_before(me.zone, c, m->id))
				continue;
			if (a->n_up && c->addr == a->up[0])
				continue;
			if (!best || rank_before(me.zone, c, best->id))
				best = c;
		}
		if (best)
			a->up[a->n_up++] = best->addr;
	}
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		a->counters += r->seen[i].counter && now - r->seen[i].at < REG_SEEN;
	if (q->counter && !a->n_up)
		name_heads(r, me.zone, a, now, o);
	if (!late)
		places(r, m->id, q, a->counters, a, now, o);
	a->registrars = apr_palloc(o->p, ((size_t)arrlen(r->seen) + 1) * sizeof *a->registrars);
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		if (!r->seen[i].counter && now - r->seen[i].at < (lost_after(r) < REG_SEEN ? lost_after(r) : REG_SEEN)) {
			struct Nl__Member *x = OUT_NEW(o, Nl__Member, NL__MEMBER__INIT);

			x->id = r->seen[i].id;
			x->addr = r->seen[i].addr;
			a->registrars[a->n_registrars++] = x;
		}
}

/* ---- the publisher ------------------------------------------------------------------ */

static struct Nl__Value **feed_of(struct reg *r, uint32_t part)
{
	return part == SHARD_CONTROL ? r->ctl_feed : svc_of(r, part) ? svc_of(r, part)->feed : NULL;
}

static void on_feed_ask(struct reg *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	struct Nl__FeedReply *a;
	struct Nl__Value **v;
	size_t n = 0, old = 0;

	if (m->part >= SHARD_COUNT || m->part == SHARD_PURGE)
		return;
	if (!in_office(r, m->part, now)) {
		struct Nl__Owner *w = OUT_NEW(o, Nl__Owner, NL__OWNER__INIT);

		w->owner = owner_hint(r, m->part, now);
		out_msg(o, m->addr, m->part, NL__MSG__BODY_OWNER)->owner = w;
		return;
	}
	a = OUT_NEW(o, Nl__FeedReply, NL__FEED_REPLY__INIT);
	a->round = m->feed_ask->round;
	v = feed_of(r, m->part);
	while (n < (size_t)arrlen(v) && v[n]->index <= m->feed_ask->have)
		n++;
	old = n;
	a->n_v = (size_t)arrlen(v) - n;
	a->v = values_dup(v ? v + n : NULL, a->n_v, o->p);
	out_msg(o, m->addr, m->part, NL__MSG__BODY_FEED_REPLY)->feed_reply = a;
	if (old > 64) {
		struct Nl__Op op = NL__OP__INIT;
		struct Nl__Trim t = NL__TRIM__INIT;

		t.feed = m->feed_ask->have;
		op.op_case = NL__OP__OP_TRIM;
		op.trim = &t;
		log_op(r, m->part, &op, now, o);
	}
}

static void on_feed_reply(struct reg *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__FeedReply *a = m->feed_reply;
	int asked = 0;

	if (!r->relay.publisher || m->part >= SHARD_COUNT || !in_office(r, SHARD_PURGE, now))
		return;
	follow_hint(&r->f, m->part, m->addr);
	/* one batch at a time; what does not fit, the feed will say again */
	for (size_t i = 0; i < a->n_v && (asked || r->pending_tick <= r->tick); i++) {
		struct Nl__Op op = NL__OP__INIT;
		uint64_t next = (asked ? r->pending_tick : r->tick) + 1;

		if (!a->v[i]->purge || a->v[i]->index <= r->pub.mark[m->part])
			continue;
		if (next > r->pub.ceiling || asked == REG_BATCH)
			break;
		a->v[i]->feed = m->part;
		a->v[i]->tick = next;
		op.op_case = NL__OP__OP_VALUE;
		op.value = a->v[i];
		if (!log_op(r, SHARD_PURGE, &op, now, o))
			break;
		r->pending_tick = next;
		asked++;
	}
	if (r->pending_tick > r->tick)
		return; /* this feed has not said all yet */
	if (a->round > r->feed_ok[m->part])
		r->feed_ok[m->part] = a->round;
}

static void reserve(struct reg *r, int64_t now, struct out *o)
{
	struct Nl__Op op = NL__OP__INIT;
	struct Nl__Reserve c = NL__RESERVE__INIT;

	c.ceiling = r->pub.ceiling + PURGE_CHUNK;
	c.released = r->relay.k.released;
	op.op_case = NL__OP__OP_RESERVE;
	op.reserve = &c;
	if (log_op(r, SHARD_PURGE, &op, now, o))
		r->reserved_for = r->pub.ceiling;
}

/* Taking office: every tick up to the old ceiling is known, as a logged value or as silence. */
static void publisher_begins(struct reg *r, int64_t now, struct out *o)
{
	struct relay *y = &r->relay;

	know_clear(&y->k);
	y->k.released = y->k.horizon = r->pub.released;
	y->publisher = 1;
	y->born = now;
	arrsetlen(y->down, 0);
	for (ptrdiff_t i = 0; i < hmlen(r->pub.last.h); i++)
		view_apply(&y->w, r->pub.last.h[i].value);
	for (ptrdiff_t i = 0; i < arrlen(r->pub.v); i++)
		relay_publish(y, y->k.horizon + 1, r->pub.v[i]->tick, r->pub.v[i], now, o);
	relay_publish(y, y->k.horizon + 1, r->pub.ceiling, NULL, now, o);
	r->tick = r->pub.ceiling;
	r->pending_tick = 0;
	r->reserved_for = UINT64_MAX;
	r->tick_at = now;
	for (int i = 0; i < SHARD_COUNT; i++)
		r->feed_ok[i] = 0;
	r->feed_round = 1;
	reserve(r, now, o);
}

static void publisher_tick(struct reg *r, int64_t now, struct out *o)
{
	int all = 1;

	if (now - r->feed_at >= REG_FEED) {
		r->feed_at = now;
		r->feed_round++;
		for (uint32_t i = 0; i < SHARD_COUNT; i++) {
			struct Nl__FeedAsk *q;

			if (i == SHARD_PURGE)
				continue;
			if (i != SHARD_CONTROL && r->feed_round > r->feed_ok[i] + 5 && r->feed_round % 5 == 0)
				follow_miss(&r->f, i); /* no word for a while: try another registrar, then heed its hint */
			q = OUT_NEW(o, Nl__FeedAsk, NL__FEED_ASK__INIT);
			q->have = r->pub.mark[i];
			q->round = r->feed_round;
			out_msg(o, in_office(r, i, now) ? o->addr : follow_seat(&r->f, i), i, NL__MSG__BODY_FEED_ASK)->feed_ask = q;
		}
	}
	if (r->pub.ceiling < r->tick + PURGE_CHUNK / 2 && r->reserved_for != r->pub.ceiling)
		reserve(r, now, o);
	if (now - r->tick_at < PURGE_TICK || r->pending_tick > r->tick || r->tick >= r->pub.ceiling)
		return;
	for (uint32_t i = 0; i < SHARD_COUNT; i++) /* silence waits for every feed */
		all &= i == SHARD_PURGE || r->feed_ok[i] + 2 >= r->feed_round;
	if (!all)
		return;
	r->tick_at = now;
	r->tick++;
	relay_publish(&r->relay, r->tick, r->tick, NULL, now, o);
}

/* ---- founding and joining -------------------------------------------------------------- */

static int is_empty(const struct reg *r)
{
	for (int i = 0; i < SHARD_COUNT; i++)
		if (r->part[i].term || r->part[i].member_count || r->part[i].base)
			return 0;
	return !r->fleet;
}

static void found_here(struct reg *r, uint64_t fleet, const struct Nl__Members *ms, int64_t now, struct out *o)
{
	struct raft_member m[RAFT_MAX_MEMBERS];
	int n = 0, mine = 0;

	for (size_t i = 0; i < ms->n_m && n < RAFT_MAX_MEMBERS; i++) {
		memset(&m[n], 0, sizeof m[n]);
		m[n].id = ms->m[i]->id;
		m[n].addr = ms->m[i]->addr;
		m[n].voter = 1;
		mine |= m[n++].id == r->id;
	}
	if (!mine || !is_empty(r))
		return;
	r->fleet = r->f.fleet = fleet;
	r->fleet_dirty = 1;
	o->fleet = fleet;
	for (int i = 0; i < SHARD_COUNT; i++)
		raft_bootstrap(&r->part[i], m, n, now, o);
	say(r, "found", o->p, "The fleet %016" APR_UINT64_T_HEX_FMT " is founded with %d registrars.", fleet, n);
}

static void on_found(struct reg *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__Found *q = m->found;
	struct Nl__Found *a;

	if (q->ask || q->members) {
		if (q->members && q->fleet)
			found_here(r, q->fleet, q->members, now, o);
		a = OUT_NEW(o, Nl__Found, NL__FOUND__INIT);
		a->empty = is_empty(r);
		a->fleet = r->fleet;
		a->token = q->token;
		out_msg(o, m->addr, 0, NL__MSG__BODY_FOUND)->found = a;
		return;
	}
	for (int i = 0; i < r->nseeds && (r->found.web || r->found.own); i++)
		if (r->seeds[i] == m->addr) {
			r->found.id[i] = m->id;
			r->found.empty[i] = q->empty;
			r->found.fleet[i] = q->fleet;
		}
}

static void found_begin(struct reg *r, int64_t now)
{
	if (r->found.members)
		nl__members__free_unpacked(r->found.members, NULL);
	memset(&r->found, 0, sizeof r->found);
	r->found.until = now + 10000;
}

void reg_found(struct reg *r, int64_t now)
{
	if (r->found.web || r->found.own || !r->nseeds || !is_empty(r))
		return;
	found_begin(r, now);
	r->found.own = 1;
	r->found.until = now + 30000; /* by then its seeds have answered, or were replaced */
}

static void found_end(struct reg *r, int status, const char *body, struct out *o)
{
	if (r->found.web)
		out_answer(o, r->found.web, status, 0, body);
	r->found.web = 0;
	r->found.own = 0;
}

static void found_tick(struct reg *r, int64_t now, struct out *o)
{
	int heard = 0, empty = 0, done = 0;

	if ((!r->found.web && !r->found.own) || now < r->found.at)
		return;
	r->found.at = now + 200;
	for (int i = 0; i < r->nseeds; i++) {
		heard += r->found.id[i] != 0;
		empty += r->found.id[i] && r->found.empty[i] && !r->found.fleet[i];
		done += r->found.fleet[i] && r->found.fleet[i] == r->found.name;
	}
	if (r->nseeds && done == r->nseeds) {
		found_end(r, 200, apr_psprintf(o->p, "{\"fleet\":\"%016" APR_UINT64_T_HEX_FMT "\"}", r->fleet), o);
		return;
	}
	if (r->found.own ? (!r->found.members && (empty < heard || r->fleet)) || (r->fleet && now > r->found.until)
			 : now > r->found.until || (!r->found.members && heard == r->nseeds && empty < heard)) {
		found_end(r, 409,
			  error_json(o->p,
				     heard < r->nseeds ? "found: not every seed answers"
						       : "found: a seed already belongs to a fleet; start the others and they join",
				     0),
			  o);
		return;
	}
	if (!r->found.members && heard == r->nseeds) {
		r->found.members = malloc(sizeof *r->found.members);
		if (!r->found.members)
			abort();
		nl__members__init(r->found.members);
		r->found.name = core_rand(&r->rng) | 1;
		r->found.members->m = calloc((size_t)r->nseeds, sizeof *r->found.members->m);
		for (int i = 0; i < r->nseeds; i++) {
			struct Nl__Member *x = malloc(sizeof *x);

			if (!x || !r->found.members->m)
				abort();
			nl__member__init(x);
			x->id = r->found.id[i];
			x->addr = r->seeds[i];
			x->voter = 1;
			r->found.members->m[r->found.members->n_m++] = x;
		}
	}
	for (int i = 0; i < r->nseeds; i++) {
		struct Nl__Found *q = OUT_NEW(o, Nl__Found, NL__FOUND__INIT);

		q->ask = 1;
		if (r->found.members) {
			q->fleet = r->found.name;
			q->members = (struct Nl__Members *)core_dup(o->p, &r->found.members->base);
		}
		out_msg(o, r->seeds[i], 0, NL__MSG__BODY_FOUND)->found = q;
	}
}

/* A registrar keeps its own row true: first at its joining, again when its address has changed. */
static void join_tick(struct reg *r, int64_t now, struct out *o)
{
	char name[20];
	const struct Nl__Row *row;
	struct Nl__Op op = NL__OP__INIT;
	struct Nl__Change c = NL__CHANGE__INIT;
	struct Nl__Row me = NL__ROW__INIT, *set[1] = { &me };

	if (now - r->joined < 1000 || follow_age(&r->f, now) > 600 || r->stopping)
		return;
	apr_snprintf(name, sizeof name, "%016" APR_UINT64_T_HEX_FMT, r->id);
	row = table_get(&r->f.t, NL__KIND__REGISTRAR, name);
	me.kind = NL__KIND__REGISTRAR;
	me.name = name;
	me.id = r->id;
	me.addr = (char *)core_addr_str(o->p, r->addr);
	me.zone = (char *)r->zone;
	if (row && !strcmp(row->addr, me.addr) && !strcmp(row->zone, me.zone))
		return;
	r->joined = now;
	c.any = 1;
	c.set = set;
	c.n_set = 1;
	op.op_case = NL__OP__OP_CHANGE;
	op.change = &c;
	ask(r, SHARD_CONTROL, &op, 0, now);
}

/* Owners mend their groups; the configuration's owner forgets registrars that are long gone. */
static void mend_tick(struct reg *r, int64_t now, struct out *o)
{
	struct raft_member live[FOLLOW_SEATS];
	const struct Nl__Row *row;
	char name[20];
	int n = 0;

	if (now - r->mended < REG_MEND || follow_age(&r->f, now) > FOLLOW_CONFIG)
		return;
	r->mended = now;
	memset(live, 0, sizeof live);
	for (; n < r->f.nlive; n++) {
		live[n].id = r->f.live_id[n];
		live[n].addr = r->f.live[n];
		apr_snprintf(name, sizeof name, "%016" APR_UINT64_T_HEX_FMT, live[n].id);
		row = table_get(&r->f.t, NL__KIND__REGISTRAR, name);
		live[n].zone = row ? core_hashs(0, row->zone) : 0;
	}
	for (int i = 0; i < SHARD_COUNT; i++) {
		r->part[i].replicas = r->b.copies < RAFT_MIN_VOTERS        ? RAFT_MIN_VOTERS
				      : r->b.copies < RAFT_MAX_MEMBERS - 1 ? r->b.copies
									   : RAFT_MAX_MEMBERS - 1;
		r->part[i].member_lost_ms = lost_after(r);
		raft_reconfigure(&r->part[i], live, n, now);
	}
	if (!in_office(r, SHARD_CONTROL, now) || now - r->owner_since[SHARD_CONTROL] < 60000)
		return;
	for (ptrdiff_t i = 0; i < shlen(r->ctl.h); i++) {
		struct Nl__Row *old = r->ctl.h[i].value.row, *del[1] = { old };
		struct Nl__Op op = NL__OP__INIT;
		struct Nl__Change c = NL__CHANGE__INIT;
		int seen = old->kind != NL__KIND__REGISTRAR;

		for (ptrdiff_t k = 0; k < arrlen(r->seen) && !seen; k++)
			seen = r->seen[k].id == old->id;
		if (seen)
			continue;
		c.any = 1;
		c.del = del;
		c.n_del = 1;
		op.op_case = NL__OP__OP_CHANGE;
		op.change = &c;
		log_op(r, SHARD_CONTROL, &op, now, o);
		return;
	}
}

/* ---- operators' calls ------------------------------------------------------------------- */

static const char *table_json(const struct table *t, apr_pool_t *p)
{
	struct json_object *j = json_object_new_object(), *rows = json_object_new_array();
	const char *s;

	json_object_object_add(j, "edition", json_object_new_int64((int64_t)t->edition));
	json_object_object_add(j, "plan", json_object_new_int64((int64_t)table_plan(t)));
	for (ptrdiff_t i = 0; i < shlen(t->h); i++)
		json_object_array_add(rows, table_row_json(t->h[i].value.row));
	json_object_object_add(j, "rows", rows);
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

static const char *state_json(struct reg *r, int64_t now, apr_pool_t *p)
{
	static const char *const roles[] = { "standby", "asking", "contender", "owner" };
	struct json_object *j = json_object_new_object(), *a = json_object_new_array();
	const char *s;

	json_object_object_add(j, "id", json_object_new_string(apr_psprintf(p, "%016" APR_UINT64_T_HEX_FMT, r->id)));
	json_object_object_add(j, "addr", json_object_new_string(core_addr_str(p, r->addr)));
	json_object_object_add(j, "fleet", json_object_new_string(apr_psprintf(p, "%016" APR_UINT64_T_HEX_FMT, r->fleet)));
	json_object_object_add(j, "edition", json_object_new_int64((int64_t)r->f.t.edition));
	json_object_object_add(j, "age_ms", json_object_new_int64(follow_age(&r->f, now)));
	json_object_object_add(j, "horizon", json_object_new_int64((int64_t)r->relay.k.horizon));
	json_object_object_add(j, "publisher", json_object_new_boolean(r->relay.publisher));
	for (int i = 0; i < SHARD_COUNT; i++) {
		struct raft *q = &r->part[i];
		struct json_object *x = json_object_new_object(), *ms = json_object_new_array();

		json_object_object_add(x, "part", json_object_new_int(i));
		json_object_object_add(x, "role", json_object_new_string(roles[q->role]));
		json_object_object_add(x, "licensed", json_object_new_boolean(raft_has_lease(q, now)));
		json_object_object_add(x, "owner", json_object_new_string(q->leader_addr ? core_addr_str(p, q->leader_addr) : ""));
		json_object_object_add(x, "term", json_object_new_int64((int64_t)q->term));
		json_object_object_add(x, "commit", json_object_new_int64((int64_t)q->commit));
		for (int k = 0; k < q->member_count; k++)
			json_object_array_add(
			    ms, json_object_new_string(apr_psprintf(p, "%016" APR_UINT64_T_HEX_FMT "@%s%s", q->members[k].id,
								    core_addr_str(p, q->members[k].addr),
								    q->members[k].voter ? "" : " (not voting)")));
		json_object_object_add(x, "members", ms);
		json_object_array_add(a, x);
	}
	json_object_object_add(j, "parts", a);
	a = json_object_new_array();
	for (ptrdiff_t i = 0; i < arrlen(r->seen) && in_office(r, SHARD_CONTROL, now); i++) {
		struct json_object *x = json_object_new_object();

		json_object_object_add(x, "addr", json_object_new_string(core_addr_str(p, r->seen[i].addr)));
		json_object_object_add(x, "counter", json_object_new_boolean(r->seen[i].counter));
		json_object_object_add(x, "edition", json_object_new_int64((int64_t)r->seen[i].edition));
		json_object_object_add(x, "horizon", json_object_new_int64((int64_t)r->seen[i].horizon));
		json_object_object_add(x, "heard_ms", json_object_new_int64(now - r->seen[i].at));
		json_object_array_add(a, x);
	}
	json_object_object_add(j, "nodes", a);
	a = json_object_new_array();
	for (ptrdiff_t i = 0; i < arrlen(r->server); i++) {
		struct json_object *x = json_object_new_object();

		if (!in_office(r, core_part_of(r->server[i].service, SHARD_SERVICES), now)) {
			json_object_put(x);
			continue;
		}
		json_object_object_add(x, "server", json_object_new_string(r->server[i].name));
		json_object_object_add(x, "weights", json_object_new_string(r->server[i].weights));
		json_object_object_add(x, "loading", json_object_new_string(r->server[i].loading));
		json_object_object_add(x, "carried", json_object_new_int64((int64_t)r->server[i].carried));
		json_object_object_add(x, "reported_ms", json_object_new_int64(now - r->server[i].reported));
		json_object_array_add(a, x);
	}
	json_object_object_add(j, "servers", a);
	if (r->b.sights)
		json_object_object_add(
		    j, "sights", sights_json(in_office(r, SHARD_CONTROL, now) && r->sights.listed ? &r->sights : &r->f.sights));
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

static void on_web(struct reg *r, uint64_t web, const char *verb, const char *path, const char *body, int64_t now, struct out *o)
{
	const char *why = NULL;

	if (!strcmp(path, "/v1/state") && !strcmp(verb, "GET")) {
		out_answer(o, web, 200, 0, state_json(r, now, o->p));
	} else if (!strcmp(path, "/v1/table") && !strcmp(verb, "GET")) {
		typeof(*r->reads) x = { web, now };

		arrput(r->reads, x);
		follow_ask(&r->f, r->relay.k.horizon, now, o);
	} else if (!strcmp(path, "/v1/change") && !strcmp(verb, "POST")) {
		struct Nl__Op op = NL__OP__INIT;

		op.op_case = NL__OP__OP_CHANGE;
		op.change = table_change_parse(body, o->p, &why);
		if (op.change)
			why = table_check(&r->f.t, op.change, o->p);
		if (why)
			out_answer(o, web, 400, 0, error_json(o->p, why, 0));
		else
			ask(r, SHARD_CONTROL, &op, web, now);
	} else if (!strcmp(path, "/v1/retention") && !strcmp(verb, "GET")) {
		out_answer(o, web, 200, 0, retention_json(r, now, o->p));
	} else if (!strcmp(path, "/v1/retention.csv") && !strcmp(verb, "GET")) {
		out_answer(o, web, 200, 0, retention_csv(r, o->p));
	} else if (!strcmp(path, "/v1/clear") && !strcmp(verb, "POST")) {
		struct json_object *j = json_tokener_parse(body);
		struct Nl__Op op = NL__OP__INIT;
		struct Nl__Clear c = NL__CLEAR__INIT;

		op.op_case = NL__OP__OP_CLEAR;
		op.clear = &c;
		c.step = NL__CLEAR_STEP__CLEAR_NOW;
		c.scope = (char *)json_str(j, "scope");
		c.by = (char *)(json_str(j, "by")[0] ? json_str(j, "by") : "an operator");
		if (strpbrk(c.by, ",\"\r\n") || strlen(c.by) > 100)
			out_answer(o, web, 400, 0, error_json(o->p, "by: up to 100 characters without commas and quotes", 0));
		else
			ask(r, SHARD_CONTROL, &op, web, now);
		json_object_put(j);
	} else if (!strcmp(path, "/v1/found") && !strcmp(verb, "POST")) {
		if (r->found.web || r->found.own || !r->nseeds) {
			out_answer(o, web, 409, 1000, error_json(o->p, "found: already under way, or no seeds are set", 0));
			return;
		}
		found_begin(r, now);
		r->found.web = web;
	} else {
		out_answer(o, web, 404, 0, error_json(o->p, "path: no such call", 0));
	}
}

static void reads_tick(struct reg *r, int64_t now, struct out *o)
{
	for (ptrdiff_t i = arrlen(r->reads) - 1; i >= 0; i--) {
		if (r->f.fresh >= r->reads[i].asked)
			out_answer(o, r->reads[i].web, 200, 0, table_json(&r->f.t, o->p));
		else if (now - r->reads[i].asked > REG_CALL)
			out_answer(o, r->reads[i].web, 503, 1000, error_json(o->p, "no owner of the configuration answers", 0));
		else
			continue;
		arrdel(r->reads, i);
	}
}

/* ---- operators' documents ------------------------------------------------------------------ */

/* Only the configuration's owner in office takes them; others say who that is, as far as they know. */
static int elsewhere(struct reg *r, uint64_t token, int64_t now, struct out *o)
{
	uint64_t to = owner_hint(r, SHARD_CONTROL, now);
	struct cmd *c;

	if (in_office(r, SHARD_CONTROL, now))
		return 0;
	if (!to && follow_age(&r->f, now) < FOLLOW_EVERY + FOLLOW_WAIT)
		to = r->f.seat[SHARD_CONTROL];
	if (!to || to == r->addr) {
		out_answer(o, token, 503, 200,
			   error_json(o->p, "no owner of the configuration is known here: nothing was logged", 0));
		return 1;
	}
	c = out_cmd(o, CMD_ANSWER);
	c->u.answer.token = token;
	c->u.answer.status = 307;
	c->u.answer.body = "";
	c->u.answer.to = to;
	return 1;
}

/* Log a change and answer when it is committed. */
static void call_log(struct reg *r, uint64_t token, struct Nl__Change *c, int64_t now, struct out *o)
{
	struct reg_call w = { token, 0, c->doc_digest };
	struct Nl__Op op = NL__OP__INIT;

	op.op_case = NL__OP__OP_CHANGE;
	op.change = c;
	w.index = log_op(r, SHARD_CONTROL, &op, now, o);
	if (w.index)
		arrput(r->call, w);
	else
		out_answer(o, token, 503, 200, error_json(o->p, "the configuration's owner has changed: nothing was logged", 0));
}

static void on_doc(struct reg *r, uint64_t token, uint64_t base, int patch, const char *body, size_t len, int64_t now,
		   struct out *o)
{
	uint64_t digest = core_hash(base << 1 | !!patch, body, len) | 1;
	struct Nl__Change c = NL__CHANGE__INIT;
	const char *why = NULL;

	if (elsewhere(r, token, now, o))
		return;
	if (doc_taken(r, digest)) {
		out_answer(o, token, 200, 0, "{}");
		return;
	}
	for (ptrdiff_t i = 0; i < arrlen(r->call); i++)
		if (r->call[i].digest == digest) { /* its first sending is being logged */
			struct reg_call w = { token, r->call[i].index, digest };

			arrput(r->call, w);
			return;
		}
	if (base != r->ctl_doc_version) {
		out_answer(o, token, 412, 0, error_json(o->p, "another version is current", 0));
		return;
	}
	if (!r->tongue)
		why = "document: none is taken here";
	else if (r->tongue->read((const char *)r->ctl_doc, r->ctl_doc_len, body, len, patch, &c, &why, o->p))
		why = why ? why : "document: cannot be read";
	else if (c.doc_version <= r->ctl_doc_version)
		why = "version: not above the current one";
	else {
		c.any = c.whole = c.keys = 1;
		c.doc_base = base;
		c.doc_digest = digest;
		why = table_check(&r->ctl, &c, o->p);
	}
	if (why)
		out_answer(o, token, 400, 0, error_json(o->p, why, 0));
	else
		call_log(r, token, &c, now, o);
}

static void on_read(struct reg *r, uint64_t token, int64_t now, struct out *o)
{
	struct cmd *c;

	if (elsewhere(r, token, now, o))
		return;
	if (!r->ctl_doc_version) {
		out_answer(o, token, 404, 0, error_json(o->p, "no document was taken yet", 0));
		return;
	}
	c = out_cmd(o, CMD_ANSWER);
	c->u.answer.token = token;
	c->u.answer.status = 200;
	c->u.answer.body = apr_pmemdup(o->p, r->ctl_doc, r->ctl_doc_len + 1);
	c->u.answer.len = r->ctl_doc_len;
}

static void on_name(struct reg *r, uint64_t token, const char *model, const char *weights, int64_t now, struct out *o)
{
	struct Nl__Change c = NL__CHANGE__INIT;
	struct Nl__Row m = NL__ROW__INIT, *set[1] = { &m };
	const struct Nl__Row *old;
	const char *why;

	if (elsewhere(r, token, now, o))
		return;
	m.kind = NL__KIND__MODEL;
	m.name = (char *)model;
	m.weights = (char *)weights;
	c.any = 1;
	c.set = set;
	c.n_set = 1;
	why = table_check(&r->ctl, &c, o->p);
	if (why || !weights[0]) {
		out_answer(o, token, 400, 0, error_json(o->p, why ? why : "weights: missing", 0));
		return;
	}
	old = table_get(&r->ctl, NL__KIND__MODEL, model);
	if (strtoull(weights, NULL, 10) <= (old ? strtoull(old->weights, NULL, 10) : 1))
		out_answer(o, token, 200, 0, "{}"); /* committed, and perhaps overtaken, before */
	else
		call_log(r, token, &c, now, o);
}

/* ---- the step ------------------------------------------------------------------------------ */

static void limits_clear(struct reg *r)
{
	for (ptrdiff_t i = 0; i < shlen(r->limit); i++)
		arrfree(r->limit[i].value);
	shfree(r->limit);
	sh_new_strdup(r->limit);
}

/* Taking office comes after all that is committed has been applied, leaving it before. */
static void office_begins(struct reg *r, uint32_t i, int64_t now, struct out *o)
{
	struct raft *p = &r->part[i];

	if (raft_has_lease(p, now) && r->was_owner[i] != p->term) {
		r->was_owner[i] = p->term;
		r->owner_since[i] = r->clock_at[i] = now;
		say(r, "part", o->p, "Part %u is owned here from term %" APR_UINT64_T_FMT ".", i, p->term);
		if (i == SHARD_CONTROL) {
			arrsetlen(r->seen, 0);
			limits_clear(r);
			giver_begins(r, now);
			r->ret.logged = 0;
		}
		if (i == SHARD_PURGE)
			publisher_begins(r, now, o);
	}
}

static void office_ends(struct reg *r, uint32_t i, int64_t now, struct out *o)
{
	struct raft *p = &r->part[i];

	if (i == SHARD_PURGE && r->relay.publisher && !raft_has_lease(p, now)) {
		/* between licences nothing is declared; as owner of the same term it goes on after the next */
		if (p->role != RAFT_LEADER) {
			r->relay.publisher = 0;
			arrsetlen(r->relay.up, 0);
			say(r, "purge", o->p, "The publisher's licence is lost here.");
		}
	}
	for (ptrdiff_t k = arrlen(r->call) - 1; k >= 0 && i == SHARD_CONTROL && p->role != RAFT_LEADER; k--) {
		out_answer(o, r->call[k].token, 503, 200, error_json(o->p, "ownership lost: outcome unknown, send it again", 0));
		arrdel(r->call, k);
	}
	if (p->role != RAFT_LEADER)
		for (ptrdiff_t k = arrlen(r->wait) - 1; k >= 0; k--)
			if (r->wait[k].part == i) {
				send_answer(r, r->wait[k].addr, r->wait[k].token, TABLE_BUSY, "ownership lost: outcome unknown", 0,
					    o);
				arrdel(r->wait, k);
			}
}

static void on_msg(struct reg *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	int64_t before;

	if (m->speak != CORE_SPEAK || (m->fleet && r->fleet && m->fleet != r->fleet))
		return;
	switch (m->body_case) {
	case NL__MSG__BODY_VOTE_ASK:
	case NL__MSG__BODY_VOTE_REPLY:
	case NL__MSG__BODY_APPEND:
	case NL__MSG__BODY_APPEND_REPLY:
	case NL__MSG__BODY_SNAP:
	case NL__MSG__BODY_GIVE_UP:
	case NL__MSG__BODY_PROBE:
	case NL__MSG__BODY_PROBE_REPLY:
		if (m->part < SHARD_COUNT && r->fleet && m->fleet == r->fleet)
			raft_receive(&r->part[m->part], m, now, o);
		break;
	case NL__MSG__BODY_FOLLOW: on_follow(r, m, now, o); break;
	case NL__MSG__BODY_FOLLOW_REPLY:
	case NL__MSG__BODY_OWNER:
		before = r->f.fresh;
		if (follow_msg(&r->f, m, now, o))
			giver_named(r, before);
		if (!r->fleet && r->f.fleet) {
			r->fleet = r->f.fleet;
			r->fleet_dirty = 1;
		}
		break;
	case NL__MSG__BODY_PROPOSE: on_propose(r, m, now, o); break;
	case NL__MSG__BODY_ANSWER: on_answer(r, m->answer, now, o); break;
	case NL__MSG__BODY_FEED_ASK: on_feed_ask(r, m, now, o); break;
	case NL__MSG__BODY_FEED_REPLY: on_feed_reply(r, m, now, o); break;
	case NL__MSG__BODY_CURIOSITY:
		if (!r->relay.publisher || !in_office(r, SHARD_PURGE, now)) {
			struct Nl__Owner *w = OUT_NEW(o, Nl__Owner, NL__OWNER__INIT);

			w->owner = owner_hint(r, SHARD_PURGE, now);
			out_msg(o, m->addr, SHARD_PURGE, NL__MSG__BODY_OWNER)->owner = w;
			break;
		}
		/* fall through */
	case NL__MSG__BODY_KNOWLEDGE:
	case NL__MSG__BODY_PURGE_SNAP: relay_msg(&r->relay, m, now, o); break;
	case NL__MSG__BODY_FOUND: on_found(r, m, now, o); break;
	default: break;
	}
}

static void tick(struct reg *r, int64_t now, struct out *o)
{
	for (int i = 0; i < SHARD_COUNT; i++)
		if (r->fleet && !r->stopping)
			raft_tick(&r->part[i], now, o);
	found_tick(r, now, o);
	if (r->stopping)
		return;
	for (uint32_t i = 0; i < SHARD_COUNT; i++) /* a member knows its owner best */
		if (owner_hint(r, i, now))
			r->f.seat[i] = owner_hint(r, i, now);
	follow_tick(&r->f, r->relay.k.horizon, now, o);
	join_tick(r, now, o);
	mend_tick(r, now, o);
	if (r->relay.publisher && in_office(r, SHARD_PURGE, now))
		publisher_tick(r, now, o);
	if (!r->relay.publisher)
		relay_up(&r->relay, NULL, 0, follow_log(&r->f, r->relay.moved, now), now);
	relay_tick(&r->relay, now, o);
	giver_tick(r, now, o);
	giver_sighted(r, now, o);
	retention_tick(r, now, o);
	retention_disks(r, now, o);
}

static void snapshot(struct reg *r, uint32_t i, struct out *o)
{
	size_t n;
	uint8_t *d;

	if (svc_of(r, i))
		forget_claims(svc_of(r, i));
	if (i == SHARD_CONTROL)
		r->doc_logged = 0;
	d = reg_state(r, i, o->p, &n);
	raft_snapshot(&r->part[i], d, n);
}

void reg_step(struct reg *r, const struct reg_ev *ev, int64_t now, struct out *o)
{
	o->id = r->id;
	o->addr = r->addr;
	o->fleet = r->fleet;
	r->f.wall = r->wall;
	for (uint32_t i = 0; i < SHARD_COUNT; i++) /* what the step before took in */
		if (r->fresh[i] && !r->part[i].snapshot_to_load) {
			r->part[i].drop_tail = 1;
			r->fresh[i] = 0;
			snapshot(r, i, o);
		}
	switch (ev->kind) {
	case REG_TICK: tick(r, now, o); break;
	case REG_MSG: on_msg(r, ev->u.msg, now, o); break;
	case REG_SYNCED: raft_synced(&r->part[ev->u.synced.part], ev->u.synced.seq, now, o); break;
	case REG_WEB: on_web(r, ev->u.web.token, ev->u.web.verb, ev->u.web.path, ev->u.web.body, now, o); break;
	case REG_CALLED:
		for (ptrdiff_t i = 0; i < arrlen(r->server); i++)
			if (ev->u.called.token && r->server[i].call == ev->u.called.token && ev->u.called.status == 200)
				giver_report(r, &r->server[i], ev->u.called.body, now, o);
		break;
	case REG_LISTED: sights_listed(&r->sights, ev->u.listed.token, ev->u.listed.ok, ev->u.listed.v, ev->u.listed.n, now); break;
	case REG_LOOKED:
		giver_looked(r, ev->u.looked.token, ev->u.looked.status, ev->u.looked.weights, ev->u.looked.loading, now);
		break;
	case REG_ORDERED: giver_ordered(r, ev->u.ordered.token, ev->u.ordered.status, ev->u.ordered.never, now, o); break;
	case REG_STOP:
		r->stopping = 1;
		for (int i = 0; i < SHARD_COUNT; i++)
			raft_step_down(&r->part[i], now, o);
		break;
	case REG_DOC: on_doc(r, ev->u.doc.token, ev->u.doc.base, ev->u.doc.patch, ev->u.doc.body, ev->u.doc.len, now, o); break;
	case REG_READ: on_read(r, ev->u.read.token, now, o); break;
	case REG_NAME: on_name(r, ev->u.name.token, ev->u.name.model, ev->u.name.weights, now, o); break;
	default: break;
	}
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		struct raft *p = &r->part[i];
		const struct raft_entry *e;
		uint64_t index;

		if (p->snapshot_to_load) {
			load_state(r, i, o->p);
			if (i == SHARD_CONTROL)
				r->giver.blind = now; /* orders that were logged before are in no snapshot */
			p->snapshot_to_load = 0;
		}
		office_ends(r, i, now, o);
		while ((e = raft_next_committed(p, &index)))
			apply(r, i, index, e, now, o);
		office_begins(r, i, now, o);
		if (raft_wants_snapshot(p) || (i == SHARD_CONTROL && r->doc_logged > REG_SNAP_BYTES)) {
			snapshot(r, i, o);
		}
	}
	asks_tick(r, now, o);
	reads_tick(r, now, o);
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		raft_flush(&r->part[i], now, o);
}

void reg_open(struct reg *r, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds, int nseeds, uint64_t fleet,
	      uint64_t seed, const struct raft_saved *const *saved, int64_t now)
{
	memset(r, 0, sizeof *r);
	r->id = id;
	r->addr = addr;
	r->zone = zone;
	r->fleet = fleet;
	r->rng = seed;
	r->token = core_rand(&r->rng) >> 2; /* never one of this registrar's life before */
	r->nseeds = nseeds > 8 ? 8 : nseeds;
	memcpy(r->seeds, seeds, (size_t)r->nseeds * sizeof *seeds);
	r->b = bounds_default;
	table_open(&r->ctl);
	sights_open(&r->sights);
	giver_open(&r->giver, now);
	for (int i = 0; i < SHARD_SERVICES; i++)
		clear_svc(&r->svc[i]);
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		raft_open(&r->part[i], i, id, seed, saved ? saved[i] : NULL, now);
	sh_new_strdup(r->named);
	sh_new_strdup(r->limit);
	follow_open(&r->f, id, seeds, r->nseeds, now);
	r->f.fleet = fleet;
	r->f.zone = zone;
	relay_open(&r->relay, now);
}

void reg_close(struct reg *r)
{
	for (int i = 0; i < SHARD_COUNT; i++)
		raft_close(&r->part[i]);
	table_close(&r->ctl);
	sights_close(&r->sights);
	giver_close(&r->giver);
	retention_clear(r);
	clear_values(&r->ctl_feed);
	arrfree(r->ctl_done);
	arrfree(r->docs);
	arrfree(r->call);
	free(r->ctl_doc);
	clear_values(&r->pub.v);
	view_clear(&r->pub.last);
	for (int i = 0; i < SHARD_SERVICES; i++) {
		clear_svc(&r->svc[i]);
		shfree(r->svc[i].h);
		shfree(r->svc[i].rolled);
	}
	follow_close(&r->f);
	relay_close(&r->relay);
	for (ptrdiff_t i = 0; i < arrlen(r->ask); i++)
		nl__op__free_unpacked(r->ask[i].op, NULL);
	for (ptrdiff_t i = 0; i < arrlen(r->server); i++) {
		free(r->server[i].name);
		free(r->server[i].service);
	}
	if (r->found.members)
		nl__members__free_unpacked(r->found.members, NULL);
	for (ptrdiff_t i = 0; i < shlen(r->named); i++)
		free(r->named[i].value.weights);
	shfree(r->named);
	limits_clear(r);
	shfree(r->limit);
	arrfree(r->spare);
	arrfree(r->wait);
	arrfree(r->ask);
	arrfree(r->seen);
	arrfree(r->reads);
	arrfree(r->server);
}
