/* ctr_line: taking exchanges into lines, their order, their ends; who goes next. */
#include "ctr_in.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

/* ---- exchanges: ends --------------------------------------------------------------- */

/* Tokens of claims and calls; the shell numbers callers from 1 up, so ours keep the highest bit. */
uint64_t ctr_token_new(struct ctr *c) { return ++c->token | 1ull << 63; }

struct xch *ctr_xch_by(struct ctr *c, uint64_t token)
{
	ptrdiff_t i = c->by ? hmgeti(c->by, token) : -1;

	return i < 0 ? NULL : c->by[i].value;
}

struct line *ctr_line_of(struct ctr *c, uint32_t lane, uint32_t tenant)
{
	struct line n = { lane, tenant, NULL, NULL, NULL, 0, 0, 0, 0, 0 };

	ptrdiff_t i = hmgeti(c->line_at, (uint64_t)lane << 32 | tenant);

	if (i >= 0)
		return &c->line[c->line_at[i].value];
	n.name = apr_pstrcat(c->p, c->lanes.name[lane], "/", c->tenants.name[tenant], NULL);
	hmput(c->line_at, (uint64_t)lane << 32 | tenant, (uint32_t)arrlen(c->line));
	arrput(c->line, n);
	return &arrlast(c->line);
}

const char *ctr_error_json(apr_pool_t *p, const char *why, const char *outcome)
{
	struct json_object *j = json_object_new_object();
	const char *s;

	json_object_object_add(j, "error", json_object_new_string(why));
	json_object_object_add(j, "outcome", json_object_new_string(outcome));
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

uint32_t ctr_part_of(const struct ctr *c, uint32_t service) { return core_part_of(c->services.name[service], SHARD_SERVICES); }

/* Ask the part's owner, as far as it is known; whom. */
static uint64_t claim_msg(struct ctr *c, uint32_t service, uint32_t tenant, const char *id, uint64_t seq, int release,
			  uint64_t token, struct out *o)
{
	uint32_t part = ctr_part_of(c, service);
	uint64_t to = follow_seat(&c->f, part);
	struct Nl__Propose *q = OUT_NEW(o, Nl__Propose, NL__PROPOSE__INIT);

	q->op = OUT_NEW(o, Nl__Op, NL__OP__INIT);
	q->op->op_case = NL__OP__OP_CLAIM;
	q->op->claim = OUT_NEW(o, Nl__Claim, NL__CLAIM__INIT);
	q->op->claim->tenant = apr_pstrdup(o->p, c->tenants.name[tenant]);
	q->op->claim->id = apr_pstrdup(o->p, id);
	q->op->claim->by = c->id;
	q->op->claim->seq = seq;
	q->op->claim->release = release;
	q->token = token;
	c->n.claims++;
	out_msg(o, to, part, NL__MSG__BODY_PROPOSE)->propose = q;
	return to;
}

/* Who was asked does not answer: ask another, unless that has been decided meanwhile. */
void ctr_claim_miss(struct ctr *c, uint32_t service, uint64_t asked)
{
	if (follow_seat(&c->f, ctr_part_of(c, service)) == asked)
		follow_miss(&c->f, ctr_part_of(c, service));
}

void ctr_claim_send(struct ctr *c, struct xch *x, int64_t now, struct out *o)
{
	x->claim_at = now;
	x->asked = claim_msg(c, x->service, x->tenant, x->id, x->seq, 0, x->claim, o);
}

/* The id may be used again: said until the part has heard it. */
void ctr_claim_release(struct ctr *c, const struct xch *x, int64_t now, struct out *o)
{
	struct ctr_release r = { ctr_token_new(c), x->seq, 0, x->service, x->tenant, strdup(x->id), now, now + CTR_RELEASE };

	r.asked = claim_msg(c, r.service, r.tenant, r.id, r.seq, 1, r.token, o);
	arrput(c->release, r);
}

void ctr_release_end(struct ctr *c, ptrdiff_t i)
{
	free(c->release[i].id);
	arrdelswap(c->release, i);
}

void ctr_releases_tick(struct ctr *c, int64_t now, struct out *o)
{
	for (ptrdiff_t i = arrlen(c->release) - 1; i >= 0; i--) {
		struct ctr_release *r = &c->release[i];

		if (now >= r->until) {
			ctr_release_end(c, i);
		} else if (now - r->at >= CTR_CLAIM_WAIT) {
			r->at = now;
			ctr_claim_miss(c, r->service, r->asked);
			r->asked = claim_msg(c, r->service, r->tenant, r->id, r->seq, 1, r->token, o);
		}
	}
}

struct ctr_use *ctr_use_of(struct ctr *c, const struct xch *x)
{
	uint64_t key = (uint64_t)x->lane << 32 | x->tenant;
	typeof(c->use->value) zero = { 0, 0, 0, 0, 0 };

	if (hmgeti(c->use, key) < 0)
		hmput(c->use, key, zero);
	return hmgetp(c->use, key);
}

/* Take an exchange out of everything; what the caller hears has been said before. */
void ctr_xch_drop(struct ctr *c, struct xch *x)
{
	struct line *l = ctr_line_of(c, x->lane, x->tenant);

	if (x->state == XCH_WAITING) {
		struct xch **at = &l->head, *prev = NULL;

		while (*at && *at != x) {
			prev = *at;
			at = &(*at)->after;
		}
		if (*at) {
			*at = x->after;
			if (l->tail == x)
				l->tail = prev;
			l->n--;
		}
	} else {
		l->running--;
		c->running[x->tenant]--;
		if (x->server >= 0) {
			c->sv[x->server].own--;
			c->sv[x->server].ahead -= x->ahead;
			if (x->forwarded && x->state == XCH_RUNNING)
				c->sv[x->server].tokens -= x->brings;
		}
	}
	if (x->resend_paid)
		c->budget[x->service] += CTR_RESEND_COST; /* never sent again */
	(void)hmdel(c->by, x->token);
	if (x->claim)
		(void)hmdel(c->by, x->claim);
	if (x->call)
		(void)hmdel(c->by, x->call);
	arrdelswap(c->all, x->slot);
	if (x->slot < arrlen(c->all))
		c->all[x->slot]->slot = x->slot;
	apr_pool_destroy(x->p);
}

void ctr_call_cancel(struct xch *x, struct out *o)
{
	if (x->state == XCH_RUNNING && x->call)
		out_cmd(o, CMD_CANCEL)->u.cancel.token = x->call;
}

/* When to come back for a reason that passes soon. */
int ctr_retry_soon(struct ctr *c, int ms) { return ms + (int)(core_rdv(c->id, ++c->retries) % (uint64_t)(ms / 2 + 1)); }

/* When to come back: not sooner than makes sense, and not all at once. */
static int retry_in(struct ctr *c, double ms)
{
	int64_t least = ms < CTR_RETRY ? CTR_RETRY : ms > CTR_RETRY_MOST ? CTR_RETRY_MOST : (int64_t)ms;

	return (int)(least + (int64_t)(core_rdv(c->id, ++c->retries) % (uint64_t)least));
}

/* Given up after a send: what the server did is not known. */
void ctr_give_up(struct ctr *c, struct xch *x, int status, const char *why, struct out *o)
{
	const char *body = ctr_error_json(o->p, why, "unknown");

	ctr_call_cancel(x, o);
	if (x->begun) {
		struct cmd *k = out_cmd(o, CMD_END);

		k->u.piece.token = x->token;
		k->u.piece.body = body;
		k->u.piece.len = strlen(body);
		k->u.piece.ok = 0;
	} else { /* 503 would promise that it never runs */
		out_answer(o, x->token, status == 503 ? 502 : status, 0, body);
	}
	c->n.unknown++;
	ctr_use_of(c, x)->value.errors++;
	ctr_xch_drop(c, x);
}

/* Refused: nothing of it was ever sent to a server that may have begun, and nothing will be. */
void ctr_refuse(struct ctr *c, struct xch *x, int status, const char *why, double back, int64_t now, struct out *o)
{
	if (x->begun || x->ran) {
		ctr_give_up(c, x, 502, why, o);
		return;
	}
	if (x->claim)
		ctr_claim_release(c, x, now, o); /* the id may be used again */
	out_answer(o, x->token, status,
		   status == 503 || status == 429 ? back == CTR_SOON ? ctr_retry_soon(c, CTR_SOON) : retry_in(c, back) : 0,
		   ctr_error_json(o->p, why, "refused"));
	c->n.refused++;
	ctr_xch_drop(c, x);
}

void ctr_end_early(struct ctr *c, struct xch *x, int status, const char *why, int64_t now, struct out *o)
{
	if (x->state == XCH_RUNNING || x->begun || x->ran)
		ctr_give_up(c, x, status, why, o);
	else
		ctr_refuse(c, x, status, why, CTR_RETRY, now, o);
}

struct json_object *ctr_read_json(struct ctr *c, const char *text)
{
	json_tokener_reset(c->tok);
	return json_tokener_parse_ex(c->tok, text, -1);
}

/* ---- exchanges: taken at the door ---------------------------------------------------- */

static const char *parse(struct ctr *c, struct xch *x, const char *body, const char **lane, int *limit, apr_pool_t *p)
{
	struct json_object *j = ctr_read_json(c, body), *v;
	const char *why = NULL;

	*limit = CTR_LIMIT;
	*lane = NULL;
	if (!json_object_is_type(j, json_type_object)) {
		why = "body: not a JSON object";
		goto end;
	}
	json_object_object_foreach(j, name, val)
	{
		if (!strcmp(name, "lane") || !strcmp(name, "id") || !strcmp(name, "tail")) {
			if (!json_object_is_type(val, json_type_string))
				why = apr_psprintf(p, "%s: not a string", name);
			else if (!strcmp(name, "lane"))
				*lane = apr_pstrdup(p, json_object_get_string(val));
			else if (!strcmp(name, "id"))
				x->id = apr_pstrdup(p, json_object_get_string(val));
			else
				x->tail = apr_pstrdup(p, json_object_get_string(val));
		} else if (!strcmp(name, "limit_ms")) {
			int64_t n = json_object_get_int64(val);

			if (!json_object_is_type(val, json_type_int) || n < CTR_LIMIT_MIN || n > CTR_LIMIT_MAX)
				why = apr_psprintf(p, "limit_ms: %d to %d", CTR_LIMIT_MIN, CTR_LIMIT_MAX);
			else
				*limit = (int)n;
		} else if (!strcmp(name, "parts")) {
			if (!json_object_is_type(val, json_type_array) || json_object_array_length(val) > CTR_PARTS) {
				why = apr_psprintf(p, "parts: a list of at most %d strings", CTR_PARTS);
				continue;
			}
			for (size_t i = 0; i < json_object_array_length(val); i++) {
				v = json_object_array_get_idx(val, i);
				if (!json_object_is_type(v, json_type_string))
					why = "parts: a list of strings";
				else
					x->text[x->nparts++] = apr_pstrdup(p, json_object_get_string(v));
			}
		} else {
			why = apr_psprintf(p, "%s: no such field", name);
		}
	}
	if (why)
		goto end;
	if (!*lane)
		why = "lane: missing";
	else if (!x->id || !x->id[0] || strlen(x->id) > 128 || strpbrk(x->id, "\x1f\n"))
		why = "id: 1 to 128 characters";
	else if (!x->tail)
		why = "tail: missing";
end:
	if (j)
		json_object_put(j);
	return why;
}

const char ctr_no_server[] = "no server of this service stands";

/* How long the exchange with i others before it in its line has yet to wait: what its line's heads usually take, and
 * for the next of them no less than the time for which it has already stood still. */
double ctr_expected(const struct line *l, uint32_t i, int64_t now)
{
	double still = (double)(now - l->still);

	return i * l->gap + (still > l->gap - still ? still : l->gap - still);
}

/* Whether the configuration here is certain to be in force, or may be ridden on. */
static int in_force(const struct ctr *c, int64_t now) { return c->book && follow_age(&c->f, now) <= ctr_ride(c); }

/* How long the configuration's owner may go unheard while new work is still taken. With servers from the table it is the
 * brief's two seconds. Where a deployment counts nodes as in touch only when the core has been calm for a while, an owner
 * that falls silent just after its last good answer makes the core uncalm for that long: until then what it may have
 * acknowledged meanwhile need not be in force here. No removed key may outlive its bound either: docs/design.md, Freshness. */
int ctr_ride(const struct ctr *c)
{
	int key = c->b.revoke_ms - CTR_RIDE_MARGIN, calm = c->b.contact_ms - CTR_CALM_MARGIN;
	int drift = c->b.config_ms + c->b.drift_ms - CTR_RIDE_MARGIN;

	if (!c->b.sights)
		return FOLLOW_CONFIG;
	if (calm < c->b.config_ms - CTR_CALM_MARGIN)
		calm = c->b.config_ms - CTR_CALM_MARGIN;
	return key < calm && key < drift ? key : drift < calm ? drift : calm;
}

/* Which class a line goes in: its tenant's, where that has one, else its lane's. */
static uint32_t class_of(const struct book *b, const struct line *l)
{
	uint32_t rank = b->tenant[l->tenant].rank;

	return rank ? rank - 1 : b->lane[l->lane].prio;
}

/* To the end of its line. */
static void line_up(struct ctr *c, struct xch *x, struct line *l, int64_t now)
{
	const struct book *b = c->book;

	if (!l->n) { /* a line that was empty starts where the others are */
		uint64_t least = UINT64_MAX;

		l->still = now;
		for (ptrdiff_t i = 0; i < arrlen(c->line); i++)
			if (c->line[i].n && class_of(b, &c->line[i]) == class_of(b, l) && c->line[i].pass < least)
				least = c->line[i].pass;
		if (least != UINT64_MAX && l->pass < least)
			l->pass = least;
	}
	if (l->tail)
		l->tail->after = x;
	else
		l->head = x;
	l->tail = x;
	l->n++;
	x->slot = (int)arrlen(c->all);
	arrput(c->all, x);
	hmput(c->by, x->token, x);
}
static int refused_stale(struct ctr *c, uint64_t token, int64_t now, struct out *o)
{
	int back;

	if (!c->stopping && in_force(c, now))
		return 0;
	back = retry_in(c, CTR_RETRY);
	c->n.refused++;
	c->n.refused_stale++;
	/* one that has just begun knows how long its fleet usually takes to find its owners */
	if (c->b.sights)
		back = ctr_retry_soon(c, now - c->opened < CTR_BEGIN ? (int)(CTR_BEGIN - (now - c->opened) + 200) : CTR_RETRY);
	out_answer(
	    o, token, 503, back,
	    ctr_error_json(o->p,
			   c->stopping ? "this counter is stopping" : "this counter's configuration is not certain to be in force",
			   "refused"));
	return 1;
}

static int refused_line(struct ctr *c, uint64_t token, const struct line *l, uint32_t lane, uint32_t service, int64_t now,
			struct out *o)
{
	int full = l->n >= c->book->lane[lane].limit;

	if (!full && now - c->stood[service] <= CTR_RIDE)
		return 0;
	c->n.refused++;
	c->n.refused_line += full;
	c->n.refused_early += !full;
	out_answer(o, token, full ? 429 : 503, retry_in(c, full ? ctr_expected(l, l->n / 2, now) : CTR_RETRY),
		   ctr_error_json(o->p, full ? "the line is full" : ctr_no_server, "refused"));
	return 1;
}

void ctr_take(struct ctr *c, uint64_t token, const char *digest, const char *body, int64_t now, struct out *o)
{
	struct book *b = c->book;
	struct bk_key *keys = b ? b->key : NULL;
	apr_pool_t *p;
	struct xch *x;
	const char *lane, *why;
	int limit, li;
	ptrdiff_t ki;
	uint64_t h;
	struct line *l;

	c->n.taken++;
	if (refused_stale(c, token, now, o))
		return;
	ki = keys ? shgeti(keys, digest) : -1;
	if (ki < 0 || !b->tenant[keys[ki].value].on) {
		c->n.refused++;
		out_answer(o, token, 401, 0, ctr_error_json(o->p, "key: unknown", "refused"));
		return;
	}
	apr_pool_create(&p, c->p);
	x = apr_pcalloc(p, sizeof *x);
	x->p = p;
	why = parse(c, x, body, &lane, &limit, p);
	li = why ? -1 : names_find(&c->lanes, lane);
	if (why || li < 0 || !b->lane[li].on || !b->service[b->lane[li].service].on) {
		c->n.refused++;
		out_answer(o, token, why ? 400 : 404, 0, ctr_error_json(o->p, why ? why : "lane: unknown", "refused"));
		apr_pool_destroy(p);
		return;
	}
	x->lane = (uint32_t)li;
	x->tenant = keys[ki].value;
	x->service = b->lane[li].service;
	l = ctr_line_of(c, x->lane, x->tenant);
	if (refused_line(c, token, l, x->lane, x->service, now, o)) {
		apr_pool_destroy(p);
		return;
	}
	x->token = token;
	x->digest = apr_pstrdup(p, digest);
	x->seq = ++c->seq;
	x->limit = now + limit;
	x->since_at = now;
	x->server = -1;
	x->tried = UINT32_MAX;
	h = core_hashs(0, c->services.name[x->service]);
	for (int i = 0; i < x->nparts; i++) {
		h = core_hashs(h, x->text[i]);
		x->hash[i] = h;
		x->tokens[i] = (uint32_t)(strlen(x->text[i]) + 3) / 4;
	}
	x->tail_tokens = (uint32_t)(strlen(x->tail) + 3) / 4;
	line_up(c, x, l, now);
}

uint32_t ctr_held(const struct ctr *c, const char *name)
{
	struct follow_hold *h = c->f.hold;
	ptrdiff_t i = shgeti(h, name);

	return i < 0 ? 0 : h[i].value.held;
}

/* What is used and wanted of each limit; where a line lacks places, its owner is asked at once, though not each time. */
void ctr_want_places(struct ctr *c, int64_t now, struct out *o)
{
	struct follow *f = &c->f;
	int lacks = 0;

	if (!c->book->limits)
		return;
	for (ptrdiff_t i = 0; i < shlen(f->hold); i++)
		f->hold[i].value.used = f->hold[i].value.want = 0;
	for (ptrdiff_t i = 0; i < arrlen(c->line); i++) {
		const struct line *l = &c->line[i];
		uint32_t share, limit;

		if (!l->n && !l->running)
			continue;
		ctr_share_of(c->book, l->lane, l->tenant, &share, &limit);
		for (int k = 0; k < 1 + (limit != UINT32_MAX); k++) {
			typeof(f->hold->value) *h;

			if (!k && !c->book->tenant[l->tenant].limit)
				continue;
			h = follow_hold(f, k ? l->name : c->tenants.name[l->tenant]);

			h->used += l->running;
			h->want += l->running + l->n;
			lacks |= l->n && h->used >= h->held;
		}
	}
	if (lacks && now - f->last_ask >= CTR_ASK)
		follow_ask(f, c->relay.k.horizon, now, o);
}

/* Heads of lines go on while there are places: by class, then by share. */
/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
void ctr_pump(struct ctr *c, int64_t now, struct out *o)
{
	const struct book *b = c->book;

	if (!in_force(c, now) || !c->roster || !arrlen(c->all) || now < c->pump_at)
		return;
	for (;;) {
		struct line *best = NULL;
		int waits = 0;
		struct plan best_plan = { -1, 0, -1, 0, 0, 0, 0 };
		struct xch *x;
		uint32_t share, limit;

		for (ptrdiff_t i = 0; i < arrlen(c->line); i++) {
			struct line *l = &c->line[i];
			struct plan pl;

			if (!l->n)
				continue;
			waits = 1;
			ctr_share_of(b, l->lane, l->tenant, &share, &limit);
			if ((b->tenant[l->tenant].limit && c->running[l->tenant] >= ctr_held(c, c->tenants.name[l->tenant])) ||
			    (limit != UINT32_MAX && l->running >= ctr_held(c, l->name)))
				continue;
			if (best &&
			    (class_of(b, l) > class_of(b, best) || (class_of(b, l) == class_of(b, best) && l->pass >= best->pass)))
				continue;
			pl = l->head->forwarded ? ctr_assign_forward(c, l->head, now) : ctr_assign(c, l->head, now);
			if (pl.server < 0)
				continue;
			best = l;
			best_plan = pl;
		}
		if (!best) {
			c->pump_at =
			    waits ? now + CTR_PUMP : 0; /* all that waits was weighed against all servers: not at every event */
			return;
		}
		x = best->head;
		best->head = x->after;
		if (!best->head)
			best->tail = NULL;
		x->after = NULL;
		best->n--;
		best->running++;
		best->gap += ((double)(now - best->still) - best->gap) / 16;
		best->still = now;
		ctr_share_of(b, best->lane, best->tenant, &share, &limit);
		best->pass += 1000000 / (share ? share : 1);
		c->running[x->tenant]++;
		x->state = XCH_CLAIMING;
		x->server = best_plan.server;
		c->sv[x->server].own++; /* its place is held until its claim has been answered */
		if (x->forwarded) {
			x->prio = class_of(b, best);
			x->server = -1;
			c->sv[best_plan.server].own--;
			ctr_forward(c, x, &best_plan, now, o);
			continue;
		}
		if (x->claimed) {
			ctr_send_claimed(c, x, now, o);
			continue;
		}
		x->claim = ctr_token_new(c);
		x->claim_from = now;
		hmput(c->by, x->claim, x);
		ctr_claim_send(c, x, now, o);
	}
}

/* Which lane an exchange is on: the longest path prefix of its host. -1: none. */
static int lane_at(const struct book *b, const char *host, const char *path)
{
	struct bk_place *h = b->place;
	size_t n = strcspn(path, "?#");

	for (; h && n; n--) {
		ptrdiff_t i;
		const struct bk_lane *l;

		if (path[n - 1] != '/')
			continue;
		i = hmgeti(h, ctr_place(host, path, n));
		if (i < 0)
			continue;
		l = &b->lane[h[i].value];
		if (l->on && !strcmp(l->host, host) && strlen(l->path) == n && !strncmp(l->path, path, n))
			return (int)h[i].value;
	}
	return -1;
}

/* By the split's weights; the same id always goes the same way. */
static uint32_t service_at(const struct bk_lane *l, const char *id)
{
	uint32_t at, k = 0;

	if (!l->nsplit)
		return l->service;
	at = (uint32_t)(core_hashs(31, id) % l->split[l->nsplit - 1].upto);
	while (l->split[k].upto <= at)
		k++;
	return l->split[k].service;
}

static void refused_wrong(struct ctr *c, uint64_t token, int status, const char *why, struct out *o)
{
	c->n.refused++;
	out_answer(o, token, status, 0, ctr_error_json(o->p, why, "refused"));
}

/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
void ctr_asked(struct ctr *c, const struct ctr_asking *a, int64_t now, struct out *o)
{
	const struct book *b = c->book;
	const struct bk_lane *bl;
	struct line *l;
	struct xch *x;
	apr_pool_t *p;
	int li, shared;
	uint32_t tenant, service;

	c->n.taken++;
	if (refused_stale(c, a->token, now, o))
		return;
	li = lane_at(b, a->host, a->path);
	if (li < 0) {
		refused_wrong(c, a->token, 404, "lane: none at this host and path", o);
		return;
	}
	bl = &b->lane[li];
	tenant = b->keyless;
	if (b->keys && (a->digest || !bl->open)) {
		struct bk_key *keys = b->key;
		ptrdiff_t ki = a->digest ? shgeti(keys, a->digest) : -1;

		if (ki >= 0 && b->tenant[keys[ki].value].on) {
			tenant = keys[ki].value;
		} else if (!bl->open) {
			refused_wrong(c, a->token, 401, "key: unknown", o);
			return;
		}
	}
	service = service_at(bl, a->id);
	if (!b->service[service].on) {
		refused_wrong(c, a->token, 404, "lane: its service is unknown", o);
		return;
	}
	l = ctr_line_of(c, (uint32_t)li, tenant);
	if (refused_line(c, a->token, l, (uint32_t)li, service, now, o))
		return;
	apr_pool_create(&p, c->p);
	x = apr_pcalloc(p, sizeof *x);
	x->p = p;
	x->lane = (uint32_t)li;
	x->tenant = tenant;
	x->service = service;
	x->token = a->token;
	x->digest = a->digest ? apr_pstrdup(p, a->digest) : NULL;
	x->id = apr_pstrdup(p, a->id);
	x->seq = ++c->seq;
	x->limit = now + (bl->timeout && (int)bl->timeout < a->limit_ms ? (int)bl->timeout : a->limit_ms);
	x->since_at = now;
	x->server = -1;
	x->tried = UINT32_MAX;
	x->forwarded = x->claimed = 1; /* whoever calls vouches that the id is used once */
	x->repeatable = bl->repeatable;
	x->resumable = bl->resumable;
	x->attempts = bl->attempts ? (int)bl->attempts : 2;
	x->nparts = a->nparts < CTR_PARTS ? a->nparts : CTR_PARTS;
	for (int i = 0; i < x->nparts; i++) {
		x->hash[i] = a->part[i].id;
		x->tokens[i] = a->part[i].tokens;
	}
	shared = (int)ctr_tokens_upto(x, x->nparts);
	x->tail_tokens = a->tokens_in > (uint32_t)shared ? a->tokens_in - (uint32_t)shared : 0;
	x->tokens_out = a->tokens_out;
	x->size = (uint32_t)shared + x->tail_tokens + x->tokens_out;
	line_up(c, x, l, now);
}
