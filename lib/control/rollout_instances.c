/* rollout_instances: named weights are rolled out to the servers of the platform's list. Every order is logged before it leaves, so
 * that a leader that takes over knows which servers may have had one lately. */
#include "rollout.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "leadership.h"
#include "mechanism.h"
#include "controller_private.h"
#include "rollout_pace.h"

void rollout_open(struct rollout *g, int64_t now)
{
	memset(g, 0, sizeof *g);
	sh_new_strdup(g->models);
	sh_new_strdup(g->intents);
	g->blind = now;
}

static void server_free(struct rollout_server *s)
{
	free(s->name);
	free(s->weights);
}

void rollout_close(struct rollout *g)
{
	for (ptrdiff_t i = 0; i < arrlen(g->servers); i++)
		server_free(&g->servers[i]);
	arrfree(g->servers);
	shfree(g->models);
	shfree(g->intents);
}

static struct rollout_server *server_find(const struct rollout *g, const char *name)
{
	for (ptrdiff_t i = 0; i < arrlen(g->servers); i++)
		if (!strcmp(g->servers[i].name, name))
			return &g->servers[i];
	return NULL;
}

static struct rollout_server *server_get(struct rollout *g, const char *name)
{
	struct rollout_server n, *s = server_find(g, name);

	if (s)
		return s;
	memset(&n, 0, sizeof n);
	n.name = strdup(name);
	n.weights = strdup("");
	arrput(g->servers, n);
	return &arrlast(g->servers);
}

void rollout_start(struct controller *r, int64_t now)
{
	struct rollout *g = &r->rollout;
	uint64_t term = r->part[SHARD_CONTROL].term;

	/* no other gave orders between if the terms follow each other */
	g->wait = g->term && term == g->term + 1 ? 0 : r->b.lease_ms + ROLLOUT_AFTER;
	g->begun = now;
	g->term = term;
	g->seq = 0;
	g->barred = 0;
	for (ptrdiff_t i = 0; i < arrlen(g->servers); i++)
		server_free(&g->servers[i]);
	arrsetlen(g->servers, 0);
	instances_begin(&r->instances, &r->f.instances, term, now);
	for (ptrdiff_t i = 0; i < shlen(r->instances.h); i++)
		if (r->instances.h[i].value.s->loading)
			server_get(g, r->instances.h[i].key)->state = ROLLOUT_UNSURE;
}

/* What is learnt of each model's loads has a place from its first naming on. */
static void add_models(struct controller *r)
{
	for (ptrdiff_t i = 0; i < shlen(r->ctl.h); i++) {
		const struct Nl__Row *row = r->ctl.h[i].value.row;
		struct rollout_pace none = { 0, 0, 0, 0, 0, 0, 0, 0 };

		if (row->kind == NL__KIND__MODEL && shgeti(r->rollout.models, row->name) < 0)
			shput(r->rollout.models, row->name, none);
	}
}

static int digits(const char *s) { return *s && strspn(s, "0123456789") == strlen(s); }

/* Whether a server has what is named, or newer: a new one may, before its naming has come here. */
static int has_weights(const char *weights, const char *named)
{
	if (!strcmp(weights, named))
		return 1;
	if (!digits(weights) || !digits(named))
		return 0;
	return strlen(weights) != strlen(named) ? strlen(weights) > strlen(named) : strcmp(weights, named) > 0;
}

static const char *model_of(const struct controller *r, const struct Nl__Instance *x)
{
	const struct Nl__Row *service = x->state == INSTANCE_SERVING ? table_get(&r->ctl, NL__KIND__SERVICE, x->service) : NULL;

	return service && service->model[0] ? service->model : NULL;
}

/* From when on a server may be ordered: a rollout before may have told it at the latest then. Every order is meant in the
 * log first, so whoever takes over knows which servers may have had one lately, and the others need not wait. */
static int64_t orders_free_from(const struct rollout *g, const char *name)
{
	struct rollout_order_logged *h = g->intents;
	ptrdiff_t i = shgeti(h, name);
	int64_t at = i >= 0 && h[i].value > g->blind ? h[i].value : g->blind;

	return at > g->begun ? 0 : at + ROLLOUT_INTENT_MS + g->wait;
}

/* Tell routers whether to count on a server, whose weights stay what they are. */
static void publish_loading(struct controller *r, const struct rollout_server *s, int loading, int64_t now)
{
	const struct Nl__Instance *x = instances_get(&r->instances, s->name);
	char *weights = x ? strdup(x->weights) : NULL;

	if (weights)
		instances_set_weights(&r->instances, s->name, weights, loading, now);
	free(weights);
}

static void set_target(struct rollout_server *s, const char *weights)
{
	free(s->weights);
	s->weights = strdup(weights);
}

static void log_intent(struct controller *r, struct rollout_server *s, const char *model, const char *weights, int64_t now,
		       struct out *o)
{
	struct Nl__Op op = NL__OP__INIT;
	struct Nl__Rolled d = NL__ROLLED__INIT;

	d.service = (char *)model;
	d.weights = (char *)weights;
	d.server = s->name;
	d.fence = r->rollout.term << 20 | (r->rollout.seq & 0xfffff);
	op.op_case = NL__OP__OP_ROLLED;
	op.rolled = &d;
	if (!log_operation(r, SHARD_CONTROL, &op, now, o))
		return;
	s->state = ROLLOUT_INTENDED;
	s->ordered_at = now;
	s->beside = 1;
	set_target(s, weights);
	publish_loading(r, s, 1, now); /* routers hear of it while the log is written */
}

/* Routers send it nothing more from now on, where there is time for that; then the order is logged and leaves. A leader that is lost
 * meanwhile leaves nothing behind: its successor tells routers what it sees itself. */
static void give_notice(struct controller *r, struct rollout_server *s, const struct Nl__Row *model, const struct Nl__Instance *x,
			int64_t now, struct out *o)
{
	if (!rollout_notice_ms(r, model->name, rollout_due_at(r, model, x->weights), now)) {
		log_intent(r, s, model->name, model->weights, now, o);
		return;
	}
	s->state = ROLLOUT_NOTICE;
	s->ordered_at = now;
	s->beside = 1;
	publish_loading(r, s, 1, now);
}

void rollout_order_logged(struct controller *r, const char *server, int64_t now)
{
	for (ptrdiff_t i = shlen(r->rollout.intents) - 1; i >= 0; i--)
		if (now - r->rollout.intents[i].value > 60000)
			(void)shdel(r->rollout.intents, r->rollout.intents[i].key);
	shput(r->rollout.intents, server, now);
}

/* What was named while the log was written is loaded at once. What runs at the server goes on under the new weights: to wait for its
 * end would keep the server from all others for as long as its longest answer takes. */
static void send_order(struct controller *r, struct rollout_server *s, const struct Nl__Instance *x, const char *model,
		       const char *named, int64_t meant, int64_t now, struct out *o)
{
	int64_t until = r->part[SHARD_CONTROL].lease_expires_at - ROLLOUT_MARGIN;
	struct cmd *c;

	if (until > meant + ROLLOUT_INTENT_MS)
		until = meant + ROLLOUT_INTENT_MS;
	if (now >= until || r->rollout.barred) {
		s->state = ROLLOUT_IDLE;
		publish_loading(r, s, 0, now);
		return;
	}
	set_target(s, named);
	s->state = ROLLOUT_ORDERED;
	s->token = ++r->token;
	s->ordered_at = now;
	c = out_cmd(o, CMD_ORDER);
	c->u.order.token = s->token;
	c->u.order.addr = core_addr(x->addr);
	c->u.order.fence = r->rollout.term << 20 | (++r->rollout.seq & 0xfffff);
	c->u.order.server = apr_pstrdup(o->p, x->server);
	c->u.order.model = apr_pstrdup(o->p, model);
	c->u.order.weights = apr_pstrdup(o->p, s->weights);
	c->u.order.holder = apr_psprintf(o->p, "%016" APR_UINT64_T_HEX_FMT, r->id);
	c->u.order.not_after = until;
	c->u.order.under_runs = mechanism_on(r->b.without, MECHANISM_RETAIN);
	log_line(r, "order", o->p, "Server %s, on %s, is told to load %s of %s.", x->server, x->weights, s->weights, model);
	instances_set_weights(&r->instances, s->name, x->weights, 1, now); /* x may be another copy after this */
}

static void look(struct controller *r, struct rollout_server *s, const struct Nl__Instance *x, const char *model, int64_t now,
		 struct out *o)
{
	ptrdiff_t k = shgeti(r->rollout.models, model);
	int load = k < 0 ? 0 : r->rollout.models[k].value.base_ms;
	struct cmd *c;

	if (now - s->looked_at < ROLLOUT_LOOK || now - s->ordered_at < load * 4 / 5 ||
	    (s->look && now - s->looked_at < ROLLOUT_SILENT))
		return;
	s->look = ++r->token;
	s->looked_at = now;
	c = out_cmd(o, CMD_LOOK);
	c->u.look.token = s->look;
	c->u.look.addr = core_addr(x->addr);
	c->u.look.server = apr_pstrdup(o->p, x->server);
	c->u.look.model = apr_pstrdup(o->p, model);
	c->u.look.not_after = now + ROLLOUT_SILENT;
}

/* One that was told, or may have been: what is known of it since. */
static void follow_up(struct controller *r, struct rollout_server *s, const struct Nl__Instance *x, const struct Nl__Row *model,
		      int64_t now, struct out *o)
{
	if (s->state == ROLLOUT_NOTICE) {
		if (now - s->ordered_at >= rollout_notice_ms(r, model->name, rollout_due_at(r, model, x->weights), now))
			log_intent(r, s, model->name, model->weights, now, o);
		return;
	}
	if (s->state == ROLLOUT_INTENDED) {
		ptrdiff_t k = shgeti(r->rollout.intents, s->name);

		if (k >= 0 && r->rollout.intents[k].value >= s->ordered_at) {
			send_order(r, s, x, model->name, model->weights, r->rollout.intents[k].value, now, o);
		} else if (now - s->ordered_at > ROLLOUT_INTENT_MS) {
			s->state = ROLLOUT_IDLE; /* the log stands still */
			publish_loading(r, s, 0, now);
		}
		return;
	}
	if (s->state == ROLLOUT_ORDERED && now - s->ordered_at >= ROLLOUT_SILENT)
		s->state = ROLLOUT_UNSURE;
	if (s->state == ROLLOUT_LOADING || s->state == ROLLOUT_UNSURE) {
		if (has_weights(x->weights, model->weights)) { /* the list says so */
			s->state = ROLLOUT_IDLE;
			instances_set_weights(&r->instances, s->name, x->weights, 0, now);
		} else if (now >= s->ordered_at + ROLLOUT_LOOK) {
			look(r, s, x, model->name, now, o);
		}
	}
}

static int compare_moments(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

struct zone {
	const char *zone;
	int n, out;
};

static struct zone *zone_of(struct zone **z, const char *name, apr_pool_t *p)
{
	struct zone n = { name, 0, 0 };

	for (ptrdiff_t i = 0; i < arrlen(*z); i++)
		if (!strcmp((*z)[i].zone, name))
			return &(*z)[i];
	n.zone = apr_pstrdup(p, name);
	arrput(*z, n);
	return &arrlast(*z);
}

static void log_rolled(struct controller *r, struct rollout_pace *m, const struct Nl__Row *model, int64_t now, struct out *o)
{
	const struct raft *p = &r->part[SHARD_CONTROL];
	struct Nl__Row row = *model, *set[1] = { &row };
	struct Nl__Op op = NL__OP__INIT;
	struct Nl__Change c = NL__CHANGE__INIT;

	/* nothing stands in the log behind the row as it is here, which would be undone; nor is this on its way already */
	if (p->applied != p->base + (uint64_t)arrlen(p->log) || now - m->rolled < 1000)
		return;
	row.rolled = model->weights;
	c.any = 1;
	c.set = set;
	c.n_set = 1;
	op.op_case = NL__OP__OP_CHANGE;
	op.change = &c;
	if (log_operation(r, SHARD_CONTROL, &op, now, o)) {
		m->rolled = now;
		log_line(r, "order", o->p, "Every server has %s of %s.", model->weights, model->name);
	}
}

/* Whether a server may be told now: nothing is under way there, and nobody else may have told it lately. */
static int may_be_ordered(const struct controller *r, const struct Nl__Instance *x, int64_t now)
{
	const struct rollout_server *s = server_find(&r->rollout, x->server);

	return !(s && (s->state != ROLLOUT_IDLE || now < s->retry_at)) && now >= orders_free_from(&r->rollout, x->server);
}

/* The server to be told next: of those that are due soonest one in the zone that has the smallest share of its servers out. */
static const struct Nl__Instance *next_to_order(struct controller *r, const struct Nl__Row *model, struct zone **zones, int64_t now,
						apr_pool_t *p)
{
	const struct Nl__Instance *best = NULL;
	int64_t best_due = INT64_MAX;
	struct zone best_zone = { 0 };

	for (ptrdiff_t i = 0; i < shlen(r->instances.h); i++) {
		const struct Nl__Instance *x = r->instances.h[i].value.s;
		const char *name = model_of(r, x);
		struct zone zone;
		int64_t due;

		if (!name || strcmp(name, model->name) || has_weights(x->weights, model->weights))
			continue;
		due = rollout_due_at(r, model, x->weights);
		zone = *zone_of(zones, x->zone, p);
		if (best && (due > best_due || (due == best_due && zone.out * best_zone.n >= best_zone.out * zone.n)))
			continue;
		if (!may_be_ordered(r, x, now))
			continue;
		best = x;
		best_due = due;
		best_zone = zone;
	}
	return best;
}

/* When a server was ordered, at the latest: one that a leader before ordered loads since before this leadership. */
static int64_t ordered_since(const struct controller *r, const struct rollout_server *s)
{
	return s->ordered_at ? s->ordered_at : r->rollout.begun;
}

/* A server that does not come to an end, or has refused, holds no place of others. */
static int holds_place(const struct controller *r, const struct rollout_server *s, int64_t now)
{
	int refused = s && s->state == ROLLOUT_UNSURE && now < s->retry_at;

	return s && s->state != ROLLOUT_IDLE && !refused && now - ordered_since(r, s) < r->b.roll_ms / ROLLOUT_STALLED;
}

static int may_load(const struct rollout_server *s) { return s && (s->state == ROLLOUT_LOADING || s->state == ROLLOUT_UNSURE); }

/* A model's servers as a roll-out finds them. busy: those that hold a place among the ones that load at once; loading: of those, the
 * ones that are known to load, or may: one that is yet to answer its order may refuse it. */
struct servers_found {
	int all, done, busy, loading;
	struct zone *zones; /* stb_ds */
	int64_t *due;       /* stb_ds: of those that may be ordered now, soonest first */
};

static struct servers_found find_servers(struct controller *r, const struct Nl__Row *model, int64_t now, struct out *o)
{
	struct servers_found found = { 0 };

	for (ptrdiff_t i = 0; i < shlen(r->instances.h); i++) {
		const struct Nl__Instance *x = r->instances.h[i].value.s;
		const char *name = model_of(r, x);
		struct rollout_server *s;
		int out;

		if (!name || strcmp(name, model->name))
			continue;
		s = server_find(&r->rollout, x->server);
		if (s)
			follow_up(r, s, x, model, now, o);
		x = r->instances.h[i].value.s;
		out = s && s->state != ROLLOUT_IDLE;
		found.all++;
		found.busy += holds_place(r, s, now);
		found.loading += may_load(s) && holds_place(r, s, now);
		if (!out && has_weights(x->weights, model->weights))
			found.done++;
		else if (may_be_ordered(r, x, now))
			arrput(found.due, rollout_due_at(r, model, x->weights));
		zone_of(&found.zones, x->zone, o->p)->n++;
		zone_of(&found.zones, x->zone, o->p)->out += out;
	}
	if (found.due)
		qsort(found.due, (size_t)arrlen(found.due), sizeof *found.due, compare_moments);
	return found;
}

/* Tell as many servers as there is room for. */
static void order_servers(struct controller *r, const struct Nl__Row *model, struct servers_found *found, int64_t now,
			  struct out *o)
{
	struct rollout_pace *m = &shgetp(r->rollout.models, model->name)->value;
	int room = rollout_at_once(r, m, found->all, found->due, found->busy, now) - found->busy;

	if (r->rollout.barred || now >= r->part[SHARD_CONTROL].lease_expires_at - ROLLOUT_MARGIN)
		return;
	while (room-- > 0) {
		const struct Nl__Instance *next = next_to_order(r, model, &found->zones, now, o->p);

		if (!next)
			break;
		zone_of(&found->zones, next->zone, o->p)->out++;
		give_notice(r, server_get(&r->rollout, next->server), model, next, now, o);
		found->busy++;
	}
}

/* 1 when nothing is left to do. */
static int roll_model(struct controller *r, const struct Nl__Row *model, int64_t now, struct out *o)
{
	struct servers_found found = find_servers(r, model, now, o);
	int complete = found.done == found.all;

	if (found.all && complete && strcmp(model->rolled, model->weights))
		log_rolled(r, &shgetp(r->rollout.models, model->name)->value, model, now, o);
	if (!complete)
		order_servers(r, model, &found, now, o);
	for (ptrdiff_t i = 0; i < arrlen(r->rollout.servers); i++) {
		struct rollout_server *s = &r->rollout.servers[i];

		if (may_load(s) && s->beside < found.loading)
			s->beside = found.loading;
	}
	arrfree(found.zones);
	arrfree(found.due);
	return !found.all || (complete && !strcmp(model->rolled, model->weights));
}

void rollout_instances(struct controller *r, int64_t now, struct out *o)
{
	int soon = 0, done = 1;

	if (!r->b.instances)
		return;
	add_models(r);
	if (!leads_shard(r, SHARD_CONTROL, now))
		return;
	for (ptrdiff_t i = arrlen(r->rollout.servers) - 1; i >= 0; i--) { /* those of servers that have left */
		const struct Nl__Instance *x = instances_get(&r->instances, r->rollout.servers[i].name);

		if (x && x->state == INSTANCE_SERVING) {
			soon |= r->rollout.servers[i].state != ROLLOUT_IDLE;
			continue;
		}
		server_free(&r->rollout.servers[i]);
		arrdelswap(r->rollout.servers, i);
	}
	instances_tick(&r->instances, soon, r->b.list_mille, ++r->token, now, o);
	if (!r->instances.listed || (r->rollout.done_stamp == r->instances.stamp && r->rollout.done_edition == r->ctl.edition))
		return;
	for (ptrdiff_t i = 0; i < shlen(r->ctl.h); i++)
		if (r->ctl.h[i].value.row->kind == NL__KIND__MODEL)
			done &= roll_model(r, r->ctl.h[i].value.row, now, o);
	if (done) { /* until something is seen or named */
		r->rollout.done_stamp = r->instances.stamp;
		r->rollout.done_edition = r->ctl.edition;
	}
}

void rollout_on_ordered(struct controller *r, uint64_t token, int status, int never, int64_t now, struct out *o)
{
	struct rollout_server *s = NULL;
	const struct Nl__Instance *x;

	for (ptrdiff_t i = 0; i < arrlen(r->rollout.servers) && token; i++)
		if (r->rollout.servers[i].token == token)
			s = &r->rollout.servers[i];
	x = s ? instances_get(&r->instances, s->name) : NULL;
	if (!x)
		return;
	s->token = 0;
	switch (status) {
	case 200:
		s->state = ROLLOUT_IDLE;
		instances_set_weights(&r->instances, s->name, s->weights, 0, now);
		break;
	case 202: s->state = ROLLOUT_LOADING; break;
	case 412:
		if (!r->rollout.barred)
			log_line(r, "order", o->p, "Server %s has seen a higher fence; no orders until the next term.", s->name);
		r->rollout.barred = 1;
		s->state = ROLLOUT_UNSURE;
		break;
	case 421: instances_end(&r->instances, s->name, now); break;
	case 409: s->state = ROLLOUT_UNSURE; break; /* it loads what it was told before: told again when a look says it is done */
	default:
		if (never) {
			s->state = ROLLOUT_IDLE;
			s->retry_at = now + 100;
			instances_set_weights(&r->instances, s->name, x->weights, 0, now);
		} else {
			s->state = ROLLOUT_UNSURE;
			s->retry_at = now + (status ? ROLLOUT_REFUSED : 0);
			if (status)
				log_line(r, "order", o->p, "Step order: server %s answers %d.", s->name, status);
		}
	}
}

void rollout_on_look(struct controller *r, uint64_t token, int status, const char *weights, int loading, int64_t now)
{
	struct rollout_server *s = NULL;
	const struct Nl__Instance *x;
	const char *model;
	ptrdiff_t k;

	for (ptrdiff_t i = 0; i < arrlen(r->rollout.servers) && token; i++)
		if (r->rollout.servers[i].look == token)
			s = &r->rollout.servers[i];
	x = s ? instances_get(&r->instances, s->name) : NULL;
	model = x ? model_of(r, x) : NULL;
	if (!model)
		return;
	s->look = 0;
	if (status == 421) {
		instances_end(&r->instances, s->name, now);
		return;
	}
	k = shgeti(r->rollout.models, model);
	if (status != 200 || !weights || k < 0 || (s->state != ROLLOUT_LOADING && s->state != ROLLOUT_UNSURE))
		return;
	if (loading) {
		s->state = ROLLOUT_LOADING;
		instances_set_weights(&r->instances, s->name, weights, 1, now);
		return;
	}
	if (!has_weights(weights, s->weights) && s->looked_at < ordered_since(r, s) + ROLLOUT_DATED)
		return; /* the report may be older than the order */
	if (!strcmp(weights, s->weights))
		rollout_pace_learn(r, s, model, now);
	s->state = ROLLOUT_IDLE;
	instances_set_weights(&r->instances, s->name, weights, 0, now);
}
