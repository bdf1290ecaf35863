/* router_queue: the lines that requests wait in, their order, the claims they need, who goes next. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

/* Tokens of claims and calls; the shell numbers callers from 1 up, so ours keep the highest bit. */
uint64_t router_token_new(struct router *c) { return ++c->token | 1ull << 63; }

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

/* When to come back for a reason that passes soon. */
int router_retry_soon(struct router *c, int ms) { return ms + (int)(core_rdv(c->id, ++c->retries) % (uint64_t)(ms / 2 + 1)); }

/* When to come back: not sooner than makes sense, and not all at once. */
int router_retry_in(struct router *c, double ms)
{
	int64_t least = ms < ROUTER_RETRY ? ROUTER_RETRY : ms > ROUTER_RETRY_MOST ? ROUTER_RETRY_MOST : (int64_t)ms;

	return (int)(least + (int64_t)(core_rdv(c->id, ++c->retries) % (uint64_t)least));
}

struct json_object *router_read_json(struct router *c, const char *text)
{
	json_tokener_reset(c->tok);
	return json_tokener_parse_ex(c->tok, text, -1);
}

enum { QUEUE_LOOK = 16 }; /* requests of a line that are weighed at a time, where its head has to wait */

/* How long the exchange with i others before it in its line has yet to wait: what its line's heads usually take, and
 * for the next of them no less than the time for which it has already stood still. */
double router_expected(const struct line *l, uint32_t i, int64_t now)
{
	double still = (double)(now - l->still);

	return i * l->gap + (still > l->gap - still ? still : l->gap - still);
}

/* Whether the configuration here is certain to be in force, or may be ridden on. */
int router_in_force(const struct router *c, int64_t now)
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

/* A line that was empty starts where the others of its class are: the time for which it was empty counts neither as a wait
 * nor as turns that it has left to others. */
static void line_begins(struct router *c, struct line *l, int64_t now)
{
	const struct route_table *b = c->route_table;
	uint64_t least = UINT64_MAX;

	l->still = now;
	for (ptrdiff_t i = 0; i < arrlen(c->line); i++)
		if (c->line[i].n && class_of(b, &c->line[i]) == class_of(b, l) && c->line[i].pass < least)
			least = c->line[i].pass;
	if (least != UINT64_MAX && l->pass < least)
		l->pass = least;
}

/* Behind all that were taken before it. */
void router_queue_insert(struct router *c, struct client_request *x, int64_t now)
{
	struct line *l = router_line_of(c, x->lane, x->tenant);
	struct client_request **at = &l->head;

	if (!l->n)
		line_begins(c, l, now);
	if (l->tail && l->tail->seq < x->seq)
		at = &l->tail->after;
	while (*at && (*at)->seq < x->seq)
		at = &(*at)->after;
	x->state = REQUEST_WAITING;
	x->after = *at;
	*at = x;
	if (!x->after)
		l->tail = x;
	l->n++;
}

void router_queue_remove(struct router *c, struct client_request *x)
{
	struct line *l = router_line_of(c, x->lane, x->tenant);
	struct client_request **at = &l->head, *before = NULL;

	while (*at && *at != x) {
		before = *at;
		at = &(*at)->after;
	}
	if (!*at)
		return;
	*at = x->after;
	x->after = NULL;
	if (l->tail == x)
		l->tail = before;
	l->n--;
}

/* A place is one of those that limits of a tenant and a lane count: held from the moment a request leaves its line. */
static void quota_take(struct router *c, struct client_request *x)
{
	router_line_of(c, x->lane, x->tenant)->running++;
	c->running[x->tenant]++;
}

void router_quota_release(struct router *c, struct client_request *x)
{
	router_line_of(c, x->lane, x->tenant)->running--;
	c->running[x->tenant]--;
}

/* To the head of its line: there is no place at a server just now. */
void router_queue_return(struct router *c, struct client_request *x, int64_t now)
{
	struct line *l = router_line_of(c, x->lane, x->tenant);

	router_quota_release(c, x);
	if (!l->n)
		line_begins(c, l, now);
	x->state = REQUEST_WAITING;
	x->after = l->head;
	l->head = x;
	if (!l->tail)
		l->tail = x;
	l->n++;
}

/* Its lane or its tenant is another one from now on, whether it waits or holds a place. */
void router_queue_move(struct router *c, struct client_request *x, uint32_t lane, uint32_t tenant, int64_t now)
{
	int waits = x->state == REQUEST_WAITING;

	if (waits)
		router_queue_remove(c, x);
	else
		router_quota_release(c, x);
	(void)router_line_of(c, lane, tenant);
	x->lane = lane;
	x->tenant = tenant;
	if (waits)
		router_queue_insert(c, x, now);
	else
		quota_take(c, x);
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

/* The first of a line that a server has room for. Behind a head that none has room for this may be one of another service,
 * or, where the head was given back and avoids the server that did, any. NULL: none. */
static struct client_request *first_ready(struct router *c, const struct line *l, int64_t now, struct plan *plan)
{
	uint32_t full[QUEUE_LOOK];
	int n = 0, looked = 0, split = c->route_table->lane[l->lane].nsplit > 0;

	for (struct client_request *x = l->head; x && looked < QUEUE_LOOK; x = x->after, looked++) {
		int known = 0;

		for (int k = 0; k < n; k++)
			known |= full[k] == x->service;
		if (known || router_lookup_waits(c, x, now))
			continue;
		*plan = x->forwarded ? router_assign_forward(c, x, now) : router_assign(c, x, now);
		if (plan->server >= 0)
			return x;
		if (now < x->tried_until)
			continue; /* there may be room at the server that it avoids */
		if (!split && !x->begun)
			return NULL; /* all behind it are of its service */
		full[n++] = x->service;
	}
	return NULL;
}

/* Heads of lines go on while there are places: by class, then by share. */
/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
void router_dispatch(struct router *c, int64_t now, struct out *o)
{
	const struct route_table *b = c->route_table;

	if (!router_in_force(c, now) || !c->server_table || !arrlen(c->all) || now < c->pump_at)
		return;
	for (;;) {
		struct line *best = NULL;
		int waits = 0;
		struct plan best_plan = { .server = -1, .from = -1 };
		struct client_request *x = NULL, *ready;
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
			ready = first_ready(c, l, now, &pl);
			if (!ready)
				continue;
			best = l;
			x = ready;
			best_plan = pl;
		}
		if (!best) {
			c->pump_at =
			    waits ? now + ROUTER_PUMP : 0; /* all that waits was weighed against all servers: not at every event */
			return;
		}
		if (x == best->head) {
			best->gap += ((double)(now - best->still) - best->gap) / 16;
			best->still = now;
		}
		router_queue_remove(c, x);
		quota_take(c, x);
		router_share_of(b, best->lane, best->tenant, &share, &limit);
		best->pass += 1000000 / (share ? share : 1);
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
