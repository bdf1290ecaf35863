/* router_queue: taking exchanges into lines, their order, their ends; who goes next. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

/* ---- exchanges: ends --------------------------------------------------------------- */

/* Tokens of claims and calls; the shell numbers callers from 1 up, so ours keep the highest bit. */
uint64_t router_token_new(struct router *c) { return ++c->token | 1ull << 63; }

struct client_request *router_request_by(struct router *c, uint64_t token)
{
	ptrdiff_t i = c->by ? hmgeti(c->by, token) : -1;

	return i < 0 ? NULL : c->by[i].value;
}

struct line *router_line_of(struct router *c, uint32_t lane, uint32_t tenant)
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

const char *router_error_json(apr_pool_t *p, const char *why, const char *outcome)
{
	struct json_object *j = json_object_new_object();
	const char *s;

	json_object_object_add(j, "error", json_object_new_string(why));
	json_object_object_add(j, "outcome", json_object_new_string(outcome));
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

uint32_t router_part_of(const struct router *c, uint32_t service)
{
	return core_part_of(c->services.name[service], SHARD_SERVICES);
}

/* Ask the part's owner, as far as it is known; whom. */
static uint64_t claim_msg(struct router *c, uint32_t service, uint32_t tenant, const char *id, uint64_t seq, int release,
			  uint64_t token, struct out *o)
{
	uint32_t part = router_part_of(c, service);
	uint64_t to = config_watch_leader_addr(&c->f, part);
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
void router_claim_miss(struct router *c, uint32_t service, uint64_t asked)
{
	if (config_watch_leader_addr(&c->f, router_part_of(c, service)) == asked)
		config_watch_miss(&c->f, router_part_of(c, service));
}

void router_claim_send(struct router *c, struct client_request *x, int64_t now, struct out *o)
{
	x->claim_at = now;
	x->asked = claim_msg(c, x->service, x->tenant, x->id, x->seq, 0, x->claim, o);
}

/* The id may be used again: said until the part has heard it. */
void router_claim_release(struct router *c, const struct client_request *x, int64_t now, struct out *o)
{
	struct router_release r = {
		router_token_new(c), x->seq, 0, x->service, x->tenant, strdup(x->id), now, now + ROUTER_RELEASE
	};

	r.asked = claim_msg(c, r.service, r.tenant, r.id, r.seq, 1, r.token, o);
	arrput(c->release, r);
}

void router_release_end(struct router *c, ptrdiff_t i)
{
	free(c->release[i].id);
	arrdelswap(c->release, i);
}

void router_releases_tick(struct router *c, int64_t now, struct out *o)
{
	for (ptrdiff_t i = arrlen(c->release) - 1; i >= 0; i--) {
		struct router_release *r = &c->release[i];

		if (now >= r->until) {
			router_release_end(c, i);
		} else if (now - r->at >= ROUTER_CLAIM_WAIT) {
			r->at = now;
			router_claim_miss(c, r->service, r->asked);
			r->asked = claim_msg(c, r->service, r->tenant, r->id, r->seq, 1, r->token, o);
		}
	}
}

struct router_use *router_use_of(struct router *c, const struct client_request *x)
{
	uint64_t key = (uint64_t)x->lane << 32 | x->tenant;
	typeof(c->use->value) zero = { 0, 0, 0, 0, 0 };

	if (hmgeti(c->use, key) < 0)
		hmput(c->use, key, zero);
	return hmgetp(c->use, key);
}

/* Take an exchange out of everything; what the caller hears has been said before. */
void router_request_drop(struct router *c, struct client_request *x)
{
	struct line *l = router_line_of(c, x->lane, x->tenant);

	if (x->state == REQUEST_WAITING) {
		struct client_request **at = &l->head, *prev = NULL;

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
			if (x->forwarded && x->state == REQUEST_RUNNING)
				c->sv[x->server].tokens -= x->brings;
		}
	}
	if (x->resend_paid)
		c->budget[x->service] += ROUTER_RESEND_COST; /* never sent again */
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

void router_call_cancel(struct client_request *x, struct out *o)
{
	if (x->state == REQUEST_RUNNING && x->call)
		out_cmd(o, CMD_CANCEL)->u.cancel.token = x->call;
}

/* When to come back for a reason that passes soon. */
int router_retry_soon(struct router *c, int ms) { return ms + (int)(core_rdv(c->id, ++c->retries) % (uint64_t)(ms / 2 + 1)); }

/* When to come back: not sooner than makes sense, and not all at once. */
static int retry_in(struct router *c, double ms)
{
	int64_t least = ms < ROUTER_RETRY ? ROUTER_RETRY : ms > ROUTER_RETRY_MOST ? ROUTER_RETRY_MOST : (int64_t)ms;

	return (int)(least + (int64_t)(core_rdv(c->id, ++c->retries) % (uint64_t)least));
}

/* Given up after a send: what the server did is not known. */
void router_give_up(struct router *c, struct client_request *x, int status, const char *why, struct out *o)
{
	const char *body = router_error_json(o->p, why, "unknown");

	router_call_cancel(x, o);
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
	router_use_of(c, x)->value.errors++;
	router_request_drop(c, x);
}

/* Refused: nothing of it was ever sent to a server that may have begun, and nothing will be. */
void router_refuse(struct router *c, struct client_request *x, int status, const char *why, double back, int64_t now, struct out *o)
{
	if (x->begun || x->ran) {
		router_give_up(c, x, 502, why, o);
		return;
	}
	if (x->claim)
		router_claim_release(c, x, now, o); /* the id may be used again */
	out_answer(o, x->token, status,
		   status == 503 || status == 429 ? back == ROUTER_SOON ? router_retry_soon(c, ROUTER_SOON) : retry_in(c, back) : 0,
		   router_error_json(o->p, why, "refused"));
	c->n.refused++;
	router_request_drop(c, x);
}

void router_end_early(struct router *c, struct client_request *x, int status, const char *why, int64_t now, struct out *o)
{
	if (x->state == REQUEST_RUNNING || x->begun || x->ran)
		router_give_up(c, x, status, why, o);
	else
		router_refuse(c, x, status, why, ROUTER_RETRY, now, o);
}

struct json_object *router_read_json(struct router *c, const char *text)
{
	json_tokener_reset(c->tok);
	return json_tokener_parse_ex(c->tok, text, -1);
}

/* ---- exchanges: taken at the door ---------------------------------------------------- */

static const char *parse(struct router *c, struct client_request *x, const char *body, const char **lane, int *limit, apr_pool_t *p)
{
	struct json_object *j = router_read_json(c, body), *v;
	const char *why = NULL;

	*limit = ROUTER_LIMIT;
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

			if (!json_object_is_type(val, json_type_int) || n < ROUTER_LIMIT_MIN || n > ROUTER_LIMIT_MAX)
				why = apr_psprintf(p, "limit_ms: %d to %d", ROUTER_LIMIT_MIN, ROUTER_LIMIT_MAX);
			else
				*limit = (int)n;
		} else if (!strcmp(name, "parts")) {
			if (!json_object_is_type(val, json_type_array) || json_object_array_length(val) > ROUTER_PARTS) {
				why = apr_psprintf(p, "parts: a list of at most %d strings", ROUTER_PARTS);
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

const char router_no_server[] = "no server of this service stands";

/* How long the exchange with i others before it in its line has yet to wait: what its line's heads usually take, and
 * for the next of them no less than the time for which it has already stood still. */
double router_expected(const struct line *l, uint32_t i, int64_t now)
{
	double still = (double)(now - l->still);

	return i * l->gap + (still > l->gap - still ? still : l->gap - still);
}

/* Whether the configuration here is certain to be in force, or may be ridden on. */
static int in_force(const struct router *c, int64_t now)
{
	return c->route_table && config_watch_age(&c->f, now) <= router_ride(c);
}

/* How long the configuration's owner may go unheard while new work is still taken. With servers from the table it is the
 * brief's two seconds. Where a deployment counts nodes as in touch only when the core has been calm for a while, an owner
 * that falls silent just after its last good answer makes the core uncalm for that long: until then what it may have
 * acknowledged meanwhile need not be in force here. No removed key may outlive its bound either: docs/design.md, Freshness. */
int router_ride(const struct router *c)
{
	int key = c->b.revoke_ms - ROUTER_RIDE_MARGIN, calm = c->b.contact_ms - ROUTER_CALM_MARGIN;
	int drift = c->b.config_ms + c->b.drift_ms - ROUTER_RIDE_MARGIN;

	if (!c->b.instances)
		return CONFIG_WATCH_CONFIG;
	if (calm < c->b.config_ms - ROUTER_CALM_MARGIN)
		calm = c->b.config_ms - ROUTER_CALM_MARGIN;
	return key < calm && key < drift ? key : drift < calm ? drift : calm;
}

/* Which class a line goes in: its tenant's, where that has one, else its lane's. */
static uint32_t class_of(const struct route_table *b, const struct line *l)
{
	uint32_t rank = b->tenant[l->tenant].rank;

	return rank ? rank - 1 : b->lane[l->lane].prio;
}

/* To the end of its line. */
static void line_up(struct router *c, struct client_request *x, struct line *l, int64_t now)
{
	const struct route_table *b = c->route_table;

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
static int refused_stale(struct router *c, uint64_t token, int64_t now, struct out *o)
{
	int back;

	if (!c->stopping && in_force(c, now))
		return 0;
	back = retry_in(c, ROUTER_RETRY);
	c->n.refused++;
	c->n.refused_stale++;
	/* one that has just begun knows how long its fleet usually takes to find its owners */
	if (c->b.instances)
		back = router_retry_soon(c, now - c->opened < ROUTER_BEGIN ? (int)(ROUTER_BEGIN - (now - c->opened) + 200)
									   : ROUTER_RETRY);
	out_answer(o, token, 503, back,
		   router_error_json(o->p,
				     c->stopping ? "this counter is stopping"
						 : "this counter's configuration is not certain to be in force",
				     "refused"));
	return 1;
}

static int refused_line(struct router *c, uint64_t token, const struct line *l, uint32_t lane, uint32_t service, int64_t now,
			struct out *o)
{
	int full = l->n >= c->route_table->lane[lane].limit;

	if (!full && now - c->stood[service] <= ROUTER_RIDE)
		return 0;
	c->n.refused++;
	c->n.refused_line += full;
	c->n.refused_early += !full;
	out_answer(o, token, full ? 429 : 503, retry_in(c, full ? router_expected(l, l->n / 2, now) : ROUTER_RETRY),
		   router_error_json(o->p, full ? "the line is full" : router_no_server, "refused"));
	return 1;
}

void router_take(struct router *c, uint64_t token, const char *digest, const char *body, int64_t now, struct out *o)
{
	struct route_table *b = c->route_table;
	struct bk_key *keys = b ? b->key : NULL;
	apr_pool_t *p;
	struct client_request *x;
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
		out_answer(o, token, 401, 0, router_error_json(o->p, "key: unknown", "refused"));
		return;
	}
	apr_pool_create(&p, c->p);
	x = apr_pcalloc(p, sizeof *x);
	x->p = p;
	why = parse(c, x, body, &lane, &limit, p);
	li = why ? -1 : names_find(&c->lanes, lane);
	if (why || li < 0 || !b->lane[li].on || !b->service[b->lane[li].service].on) {
		c->n.refused++;
		out_answer(o, token, why ? 400 : 404, 0, router_error_json(o->p, why ? why : "lane: unknown", "refused"));
		apr_pool_destroy(p);
		return;
	}
	x->lane = (uint32_t)li;
	x->tenant = keys[ki].value;
	x->service = b->lane[li].service;
	l = router_line_of(c, x->lane, x->tenant);
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

uint32_t router_held(const struct router *c, const char *name)
{
	struct config_watch_hold *h = c->f.hold;
	ptrdiff_t i = shgeti(h, name);

	return i < 0 ? 0 : h[i].value.held;
}

/* What is used and wanted of each limit; where a line lacks places, its owner is asked at once, though not each time. */
void router_want_places(struct router *c, int64_t now, struct out *o)
{
	struct config_watch *f = &c->f;
	int lacks = 0;

	if (!c->route_table->limits)
		return;
	for (ptrdiff_t i = 0; i < shlen(f->hold); i++)
		f->hold[i].value.used = f->hold[i].value.want = 0;
	for (ptrdiff_t i = 0; i < arrlen(c->line); i++) {
		const struct line *l = &c->line[i];
		uint32_t share, limit;

		if (!l->n && !l->running)
			continue;
		router_share_of(c->route_table, l->lane, l->tenant, &share, &limit);
		for (int k = 0; k < 1 + (limit != UINT32_MAX); k++) {
			typeof(f->hold->value) *h;

			if (!k && !c->route_table->tenant[l->tenant].limit)
				continue;
			h = config_watch_hold(f, k ? l->name : c->tenants.name[l->tenant]);

			h->used += l->running;
			h->want += l->running + l->n;
			lacks |= l->n && h->used >= h->held;
		}
	}
	if (lacks && now - f->last_ask >= ROUTER_ASK)
		config_watch_ask(f, c->relay.k.horizon, now, o);
}

/* Heads of lines go on while there are places: by class, then by share. */
/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
void router_dispatch(struct router *c, int64_t now, struct out *o)
{
	const struct route_table *b = c->route_table;

	if (!in_force(c, now) || !c->server_table || !arrlen(c->all) || now < c->pump_at)
		return;
	for (;;) {
		struct line *best = NULL;
		int waits = 0;
		struct plan best_plan = { -1, 0, -1, 0, 0, 0, 0 };
		struct client_request *x;
		uint32_t share, limit;

		for (ptrdiff_t i = 0; i < arrlen(c->line); i++) {
			struct line *l = &c->line[i];
			struct plan pl;

			if (!l->n)
				continue;
			waits = 1;
			router_share_of(b, l->lane, l->tenant, &share, &limit);
			if ((b->tenant[l->tenant].limit && c->running[l->tenant] >= router_held(c, c->tenants.name[l->tenant])) ||
			    (limit != UINT32_MAX && l->running >= router_held(c, l->name)))
				continue;
			if (best &&
			    (class_of(b, l) > class_of(b, best) || (class_of(b, l) == class_of(b, best) && l->pass >= best->pass)))
				continue;
			pl = l->head->forwarded ? router_assign_forward(c, l->head, now) : router_assign(c, l->head, now);
			if (pl.server < 0)
				continue;
			best = l;
			best_plan = pl;
		}
		if (!best) {
			c->pump_at =
			    waits ? now + ROUTER_PUMP : 0; /* all that waits was weighed against all servers: not at every event */
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
		router_share_of(b, best->lane, best->tenant, &share, &limit);
		best->pass += 1000000 / (share ? share : 1);
		c->running[x->tenant]++;
		x->state = REQUEST_CLAIMING;
		x->server = best_plan.server;
		c->sv[x->server].own++; /* its place is held until its claim has been answered */
		if (x->forwarded) {
			x->prio = class_of(b, best);
			x->server = -1;
			c->sv[best_plan.server].own--;
			router_forward(c, x, &best_plan, now, o);
			continue;
		}
		if (x->claimed) {
			router_send_claimed(c, x, now, o);
			continue;
		}
		x->claim = router_token_new(c);
		x->claim_from = now;
		hmput(c->by, x->claim, x);
		router_claim_send(c, x, now, o);
	}
}

/* Which lane an exchange is on: the longest path prefix of its host. -1: none. */
static int lane_at(const struct route_table *b, const char *host, const char *path)
{
	struct bk_place *h = b->place;
	size_t n = strcspn(path, "?#");

	for (; h && n; n--) {
		ptrdiff_t i;
		const struct bk_lane *l;

		if (path[n - 1] != '/')
			continue;
		i = hmgeti(h, router_place(host, path, n));
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

static void refused_wrong(struct router *c, uint64_t token, int status, const char *why, struct out *o)
{
	c->n.refused++;
	out_answer(o, token, status, 0, router_error_json(o->p, why, "refused"));
}

/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
void router_asked(struct router *c, const struct router_asking *a, int64_t now, struct out *o)
{
	const struct route_table *b = c->route_table;
	const struct bk_lane *bl;
	struct line *l;
	struct client_request *x;
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
	l = router_line_of(c, (uint32_t)li, tenant);
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
	x->nparts = a->nparts < ROUTER_PARTS ? a->nparts : ROUTER_PARTS;
	for (int i = 0; i < x->nparts; i++) {
		x->hash[i] = a->part[i].id;
		x->tokens[i] = a->part[i].tokens;
	}
	shared = (int)router_tokens_upto(x, x->nparts);
	x->tail_tokens = a->tokens_in > (uint32_t)shared ? a->tokens_in - (uint32_t)shared : 0;
	x->tokens_out = a->tokens_out;
	x->size = (uint32_t)shared + x->tail_tokens + x->tokens_out;
	line_up(c, x, l, now);
}
