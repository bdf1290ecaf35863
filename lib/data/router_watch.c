/* router_watch: servers' reports, the index of kept parts, and what purges withdraw from it. */
#include "router_internal.h"

#include <apr_strings.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

/* ---- reports ---------------------------------------------------------------------------------- */

/* Names of weights come from reports too: a server may still have those from before. They are bounded. */
static int weights_of(struct router *c, const char *name)
{
	int i = names_find(&c->weights, name);

	return i >= 0 || strlen(name) > 128 || arrlen(c->weights.name) >= ROUTER_WEIGHTS ? i : (int)names_id(&c->weights, name);
}

/* A report that cannot be read changes nothing, and is spoken of once. */
static void odd_report(struct router *c, uint32_t s, const char *why)
{
	char line[300];

	if (!c->sv[s].odd++ && c->log) {
		apr_snprintf(line, sizeof line, "Step report: server %s: %s; it is passed over until it is mended.",
			     c->servers.name[s], why);
		c->log(c->log_ctx, "ctr", line);
	}
}

void router_on_report(struct router *c, uint32_t s, const char *body, int64_t now)
{
	struct router_server *v = &c->sv[s];
	struct json_object *j = router_read_json(c, body), *parts;
	const char *service;
	int weights = json_object_is_type(j, json_type_object) ? weights_of(c, json_str(j, "weights")) : -1;

	if (weights < 0 || json_num(j, "slots") > 100000) {
		odd_report(c, s, "its report cannot be read, or names what nobody knows");
		goto end;
	}
	v->odd = 0;
	v->reported = now;
	v->have = 1;
	v->weights = (uint32_t)weights;
	v->loading = json_str(j, "loading")[0] != 0;
	v->slots = (int)json_num(j, "slots");
	v->running = (int)json_num(j, "running");
	v->others = v->running > v->own ? v->running - v->own : 0; /* what other routers run there */
	if (!json_object_object_get_ex(j, "parts", &parts) || !json_object_is_type(parts, json_type_array)) {
		if (json_num(j, "serial") != v->serial || json_num(j, "boot") != v->boot)
			v->told = v->called = 0; /* what changed was lost on its way here: look ourselves */
		goto end;
	}
	v->serial = json_num(j, "serial");
	v->boot = json_num(j, "boot");
	service = c->services.name[c->server_table->server[s].service];
	v->stale = 0;
	v->counted = now;
	for (size_t i = 0; i < json_object_array_length(parts) && i < ROUTER_KEPT; i++) {
		struct json_object *e = json_object_array_get_idx(parts, i);
		int maker = names_find(&c->tenants, json_str(e, "m")), made_under = weights_of(c, json_str(e, "w"));
		struct kept_copy n = {
			s, (uint32_t)maker, c->server_table->server[s].service, (uint32_t)made_under, json_num(e, "t"), v->asked
		};

		if (maker < 0 || made_under < 0)
			continue; /* of nobody that the table ever named here */

		/* a late report never revives what is withdrawn */
		if (!router_keeps(c, n.service, n.maker, strtoull(json_str(e, "h"), NULL, 16), n.stamp))
			v->stale++;
		else if (view_allows(&c->relay.w, service, json_str(e, "w"), json_str(e, "m"), c->servers.name[s], n.stamp))
			kept_put(&c->kept, strtoull(json_str(e, "h"), NULL, 16), &n);
	}
	kept_sweep(&c->kept, s, v->asked);
end:
	if (j)
		json_object_put(j);
}

/* A relay looks for its zone: what it saw goes to its downstreams as it came. */
void router_pass_report(struct router *c, uint32_t s, const char *body, struct out *o)
{
	for (ptrdiff_t i = 0; i < arrlen(c->relay.down); i++) {
		struct Nl__Report *r = OUT_NEW(o, Nl__Report, NL__REPORT__INIT);

		r->server = apr_pstrdup(o->p, c->servers.name[s]);
		r->body.len = strlen(body);
		r->body.data = (uint8_t *)apr_pstrdup(o->p, body);
		out_msg(o, c->relay.down[i].addr, 0, NL__MSG__BODY_REPORT)->report = r;
	}
}

void router_on_passed_report(struct router *c, const struct Nl__Report *r, int64_t now, struct out *o)
{
	int s = names_find(&c->servers, r->server);

	if (s < 0 || !c->server_table || (uint32_t)s >= c->server_table->nserver || !c->server_table->server[s].on)
		return;
	c->sv[s].told = now;
	c->sv[s].asked++;
	router_on_report(c, (uint32_t)s, apr_pstrmemdup(o->p, (char *)r->body.data, r->body.len), now);
}

void router_look(struct router *c, int64_t now, struct out *o)
{
	const struct server_table *b = c->server_table;

	for (uint32_t s = 0; b && s < b->nserver; s++) {
		struct router_server *v = &c->sv[s];
		struct cmd *k;

		if (!c->server_table->server[s].on || now - v->called < ROUTER_LOOK || now - v->told < ROUTER_TOLD)
			continue;
		/* spread over the period, so that routers do not all look at once */
		v->called = v->called ? now : now - (int64_t)(core_rdv(c->id, s) % ROUTER_LOOK);
		v->call = router_token_new(c);
		v->asked++;
		c->n.looks++;
		k = out_cmd(o, CMD_CALL);
		k->u.call.token = v->call;
		k->u.call.addr = apr_pstrdup(o->p, c->server_table->server[s].addr);
		k->u.call.path =
		    apr_psprintf(o->p, "/v1/report?since=%" APR_UINT64_T_FMT "&boot=%" APR_UINT64_T_FMT, v->serial, v->boot);
		k->u.call.limit_ms = 800;
		k->u.call.not_after = now + 800;
	}
}

/* ---- purges ------------------------------------------------------------------------------------- */

struct withdrawn {
	struct router *c;
	const struct Nl__Value *v;
};

static int is_withdrawn(const void *ctx, uint64_t id, const struct kept_copy *k)
{
	const struct withdrawn *w = ctx;
	const struct Nl__Purge *p = w->v->purge;
	const struct router *c = w->c;

	if (k->stamp >= w->v->tick)
		return 0;
	switch (p->why) {
	case PURGE_WEIGHTS:
		return !strcmp(c->services.name[k->service], p->service) && !strcmp(c->weights.name[k->weights], p->weights);
	case PURGE_CONTEXT: /* what is forwarded is filed under another name from now on; its old names go as servers say */
		return !c->b.instances && !router_keeps(c, k->service, k->maker, id, k->stamp);
	case PURGE_TENANT: return !strcmp(c->tenants.name[k->maker], p->tenant);
	default: return !strcmp(c->servers.name[k->server], p->server);
	}
}

void router_on_value(void *ctx, const struct Nl__Value *v)
{
	struct withdrawn w = { ctx, v };

	if (v->purge && v->purge->why == PURGE_TENANT && v->tick > w.c->walled_tick)
		w.c->walled_tick = v->tick;
	if (v->purge && v->purge->why == PURGE_CONTEXT)
		router_cleared(w.c, v, w.c->now);
	kept_drop(&w.c->kept, is_withdrawn, &w);
}

/* ---- watches of kept parts ---------------------------------------------------------------------- */

/* How many servers may be asked at once for all that they still name, as a router does that knows nothing of them yet: their
 * answers come all together, and the configuration must not wait behind them on a slow link. */
static int first_watches(const struct router *c)
{
	int64_t room = (int64_t)c->b.link_kbps / 8 * ROUTER_FIRST_WATCH_MS;

	if (!c->b.link_kbps)
		return INT_MAX;
	return 1 + (int)(room / (int64_t)(c->first_watch_bytes + 1));
}

static void watch_server(struct router *c, uint32_t s, int64_t now, struct out *o)
{
	struct router_server *v = &c->sv[s];
	struct cmd *k = out_cmd(o, CMD_WATCH);

	v->watch = router_token_new(c);
	v->watched = now;
	c->n.watches++;
	k->u.watch.token = v->watch;
	k->u.watch.addr = c->server_table->server[s].to;
	k->u.watch.server = c->servers.name[s];
	k->u.watch.since = v->next;
	k->u.watch.wait_ms = ROUTER_WATCH_WAIT;
	k->u.watch.all = v->watch_all = !v->listed && !v->next;
}

/* The head of a zone's relays watches each server for its zone; what it hears goes down the way purges go. */
void router_watch(struct router *c, int64_t now, struct out *o)
{
	const struct server_table *r = c->server_table;
	int first = 0, most = first_watches(c);

	if (!r || c->stopping || c->f.nup || config_watch_age(&c->f, now) > router_ride(c))
		return;
	for (uint32_t s = 0; s < r->nserver; s++)
		first += c->sv[s].watch && !c->sv[s].next;
	for (uint32_t s = 0; s < r->nserver; s++) {
		const struct router_server *v = &c->sv[s];

		if (!r->server[s].on || r->server[s].draining || v->watch || now - v->watched < ROUTER_WATCH_GAP ||
		    now < v->bad_until || (!v->next && first >= most))
			continue;
		first += !v->next;
		watch_server(c, s, now, o);
	}
}

/* What a first answer brings, as they went lately. */
static void learn_first_watch(struct router *c, const struct Nl__Kept *k)
{
	double bytes = ROUTER_EVENT_BYTES * (double)k->n_e;

	c->first_watch_bytes += (bytes - c->first_watch_bytes) / 4;
}

static void part_added(struct router *c, uint32_t server, uint64_t key, uint64_t filed)
{
	struct kept_copy copy = { server, 0, c->server_table->server[server].service, c->sv[server].weights, 0, filed };

	c->n.events++;
	if (c->kept.n < ROUTER_INDEX)
		kept_put(&c->kept, key, &copy);
}

static void part_removed(struct router *c, uint32_t server, uint64_t key)
{
	c->n.events++;
	kept_lose(&c->kept, key, server);
}

/* Of one server: what it keeps now, and no longer. Events that were missed make all that is known of it doubtful. */
void router_on_kept(struct router *c, const struct Nl__Kept *k, int64_t now)
{
	int s = names_find(&c->servers, k->server);
	struct router_server *v;

	if (s < 0 || !c->server_table || (uint32_t)s >= c->server_table->nserver || !c->server_table->server[s].on)
		return;
	v = &c->sv[s];
	v->heard = now;
	if (k->lost || (v->epoch && v->epoch != k->epoch))
		kept_sweep(&c->kept, (uint32_t)s, UINT64_MAX);
	v->epoch = k->epoch;
	if (!k->n_held || k->next > v->next)
		v->next = k->next;
	for (size_t i = 0; i < k->n_held && c->kept.n < ROUTER_INDEX; i++) {
		struct kept_copy n = { (uint32_t)s, 0, c->server_table->server[s].service, v->weights, 0, 0 };

		kept_put(&c->kept, k->held[i], &n);
	}
	for (size_t i = 0; i < k->n_e; i++) {
		uint64_t key = router_kept_key(core_hashs(0, k->e[i]->cache_namespace), k->e[i]->id);

		if (k->e[i]->gone)
			part_removed(c, (uint32_t)s, key);
		else
			part_added(c, (uint32_t)s, key, router_filed_text(k->e[i]->cache_namespace));
	}
	for (size_t i = 0; i < k->n_added; i++)
		part_added(c, (uint32_t)s, k->added[i], i < k->n_added_filed ? k->added_filed[i] : 0);
	for (size_t i = 0; i < k->n_removed; i++)
		part_removed(c, (uint32_t)s, k->removed[i]);
}

void router_on_watched(struct router *c, uint64_t token, const struct Nl__Kept *k, int status, int64_t now)
{
	for (uint32_t s = 0; c->server_table && s < c->server_table->nserver; s++) {
		struct router_server *v = &c->sv[s];

		if (v->watch != token)
			continue;
		v->watch = 0;
		v->watched = now;
		if (status != 200 || !k) {
			v->watched = now + ROUTER_LOOK; /* too many watch it, or it is gone */
			return;
		}
		if (v->watch_all)
			learn_first_watch(c, k);
		v->listed = v->watch_all || (v->listed && !k->lost);
		router_feed_add(c, s, k);
		router_on_kept(c, k, now);
		if (k->lost && !v->watch_all)
			v->next = 0; /* events were missed: all that it keeps is asked for */
		return;
	}
}

/* Words between routers are rarer the more of them there are. Example: router_interval(c, 50) is 50 for up to 16 routers */
int router_interval(const struct router *c, int ms)
{
	return c->f.counters <= 16 ? ms : c->f.counters >= 64 ? 4 * ms : ms * (int)c->f.counters / 16;
}
