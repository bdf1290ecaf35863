/* router_route_table: names at the door, and the table as the data plane reads it: immutable, swapped whole. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

uint32_t names_id(struct names *n, const char *s)
{
	ptrdiff_t i;

	if (!n->h)
		sh_new_strdup(n->h);
	i = shgeti(n->h, s);
	if (i >= 0)
		return n->h[i].value;
	arrput(n->name, strdup(s));
	shput(n->h, s, (uint32_t)arrlen(n->name) - 1);
	return (uint32_t)arrlen(n->name) - 1;
}

int names_find(const struct names *n, const char *s)
{
	struct names_row *h = n->h;
	ptrdiff_t i = h ? shgeti(h, s) : -1;

	return i < 0 ? -1 : (int)h[i].value;
}

void router_names_clear(struct names *n)
{
	for (ptrdiff_t i = 0; i < arrlen(n->name); i++)
		free(n->name[i]);
	arrfree(n->name);
	shfree(n->h);
}

void router_route_table_free(struct route_table *b)
{
	if (!b)
		return;
	hmfree(b->share);
	arrfree(b->scope);
	hmfree(b->place);
	shfree(b->key);
	apr_pool_destroy(b->p);
}

/* The names that rows bring, so that the arrays have their size. */
static void route_table_names(struct router *c, const struct Nl__Row *r)
{
	switch (r->kind) {
	case NL__KIND__LANE:
		names_id(&c->lanes, r->name);
		names_id(&c->services, r->service);
		for (size_t k = 0; k < r->n_split; k++)
			names_id(&c->services, r->split[k]->service);
		break;
	case NL__KIND__TENANT: names_id(&c->tenants, r->name); break;
	case NL__KIND__KEY: names_id(&c->tenants, r->tenant); break;
	case NL__KIND__SERVICE:
		names_id(&c->services, r->name);
		names_id(&c->weights, r->weights);
		break;
	case NL__KIND__MODEL: names_id(&c->weights, r->weights); break;
	default: break;
	}
}

/* Where a lane is found by host and path. Example: hmget(b->place, router_place("a.example", "/x/", 3)) */
uint64_t router_place(const char *host, const char *path, size_t n) { return core_hash(core_hashs(17, host), path, n); }

static void lane_row(struct router *c, struct route_table *b, const struct Nl__Row *r)
{
	uint32_t id = names_id(&c->lanes, r->name), upto = 0;
	struct bk_lane *l = &b->lane[id];
	struct bk_split *sp = apr_palloc(b->p, (r->n_split + 1) * sizeof *sp);

	*l = (struct bk_lane){ 1,
			       r->resumable,
			       r->repeatable,
			       r->vouched,
			       r->open,
			       names_id(&c->services, r->service),
			       r->prio,
			       r->limit,
			       r->aim,
			       r->pause,
			       r->timeout,
			       r->attempts,
			       apr_pstrdup(b->p, r->host),
			       apr_pstrdup(b->p, r->path),
			       sp,
			       0 };
	for (size_t k = 0; k < r->n_split; k++)
		if (r->split[k]->weight)
			sp[l->nsplit++] =
			    (struct bk_split){ names_id(&c->services, r->split[k]->service), upto += r->split[k]->weight };
	if (r->path[0])
		hmput(b->place, router_place(r->host, r->path, strlen(r->path)), id);
}

static void service_row(struct router *c, struct route_table *b, const struct Nl__Row *r)
{
	const struct Nl__Row *m = r->model[0] ? table_get(&c->f.t, NL__KIND__MODEL, r->model) : NULL;
	uint32_t id = names_id(&c->services, r->name), named = names_id(&c->weights, m ? m->weights : r->weights);
	struct bk_service *s = &b->service[id];

	*s = (struct bk_service){ 1,        named,      r->prefill, r->kv_bytes, r->link, r->store,
				  r->slots, r->watches, r->conns,   r->room,     -1,      NULL };
	if (m)
		s->model = (const struct Nl__Row *)core_dup(b->p, &m->base);
	if (r->addr[0] && !r->store && c->b.instances) /* a store itself, not a service that has one */
		b->store[b->nstore++] = (int)names_id(&c->servers, apr_pstrcat(b->p, "store:", r->name, NULL));
	if (r->addr[0] && r->store)
		s->store_server = (int)names_id(&c->servers, apr_pstrcat(b->p, "store:", r->name, NULL));
}

/* A service that is new, or back, has its time to be seen with servers, whenever one of it last stood. */
static void services_return(struct router *c, const struct route_table *b, int64_t now)
{
	const struct route_table *old = c->route_table;

	for (uint32_t i = 0; i < b->nservice; i++)
		if (b->service[i].on && !(old && i < old->nservice && old->service[i].on))
			c->stood[i] = now;
}

/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
struct route_table *router_route_table_make(struct router *c, int64_t now)
{
	const struct table *t = &c->f.t;
	apr_pool_t *p;
	struct route_table *b;

	apr_pool_create(&p, c->p);
	b = apr_pcalloc(p, sizeof *b);
	b->p = p;
	b->edition = t->edition;
	for (ptrdiff_t i = 0; i < shlen(t->h); i++)
		route_table_names(c, t->h[i].value.row);
	b->keyless = names_id(&c->tenants, "");
	b->nlane = (uint32_t)arrlen(c->lanes.name);
	b->ntenant = (uint32_t)arrlen(c->tenants.name);
	b->nservice = (uint32_t)arrlen(c->services.name);
	b->lane = apr_pcalloc(p, (b->nlane + 1) * sizeof *b->lane);
	b->tenant = apr_pcalloc(p, (b->ntenant + 1) * sizeof *b->tenant);
	b->service = apr_pcalloc(p, (b->nservice + 1) * sizeof *b->service);
	b->store = apr_pcalloc(p, (b->nservice + 1) * sizeof *b->store);
	sh_new_arena(b->key);
	b->tenant[b->keyless] = (struct bk_tenant){ 1, 0, 1, 0, 0 };
	for (ptrdiff_t i = 0; i < shlen(t->h); i++) {
		const struct Nl__Row *r = t->h[i].value.row;
		const char *slash;

		switch (r->kind) {
		case NL__KIND__LANE: lane_row(c, b, r); break;
		case NL__KIND__TENANT:
			b->tenant[names_id(&c->tenants, r->name)] = (struct bk_tenant){ 1, r->walled, r->share, r->limit, r->rank };
			b->limits |= r->limit != 0;
			if (r->walled)
				b->walls += core_hashs(29, r->name); /* a sum: the order of rows does not matter */
			break;
		case NL__KIND__KEY:
			shput(b->key, r->name, names_id(&c->tenants, r->tenant));
			b->keys = 1;
			break;
		case NL__KIND__SERVICE: service_row(c, b, r); break;
		case NL__KIND__RETENTION: router_scope_row(c, b, r); break;
		case NL__KIND__DOOR:
			b->door.head = r->head_bytes;
			b->door.body = r->body_bytes;
			b->door.head_ms = r->head_ms;
			b->door.idle_ms = r->idle_ms;
			break;
		case NL__KIND__SHARE:
			b->limits = 1;
			slash = strchr(r->name, '/');
			if (slash) {
				int lane = names_find(&c->lanes, apr_pstrmemdup(p, r->name, (size_t)(slash - r->name)));
				int tenant = names_find(&c->tenants, slash + 1);
				typeof(b->share->value) v = { r->share, r->limit };

				if (lane >= 0 && tenant >= 0)
					hmput(b->share, (uint64_t)lane << 32 | (uint64_t)tenant, v);
			}
			break;
		default: break;
		}
	}
	arrsetlen(c->generation, 0);
	while (arrlen(c->running) < (ptrdiff_t)b->ntenant)
		arrput(c->running, 0);
	while (arrlen(c->stood) < (ptrdiff_t)b->nservice)
		arrput(c->stood, now);
	while (arrlen(c->budget) < (ptrdiff_t)b->nservice)
		arrput(c->budget, ROUTER_RESEND_COST);
	services_return(c, b, now);
	return b;
}

/* A service that is not in the table has no place in the route_table's arrays: its servers do not count. */
static void server_table_put(struct router *c, struct server_table *r, uint32_t id, const char *service, const char *addr,
			     const char *zone, int draining, int is_store)
{
	int s = names_find(&c->services, service);

	if (s < 0 || (uint32_t)s >= c->route_table->nservice)
		return;
	r->server[id] =
	    (struct bk_server){ 1, draining, is_store, (uint32_t)s, apr_pstrdup(r->p, addr), core_addr(addr), core_hashs(0, zone) };
}

/* What the list says of a server; what the server itself said since goes first. */
static void server_table_instance(struct router *c, uint32_t server, const struct Nl__Instance *s, int64_t now)
{
	struct router_server *v = &c->sv[server];
	int w = s->weights[0] && strlen(s->weights) < 128 ? (int)names_id(&c->weights, s->weights) : -1;

	if (w < 0 && !v->have)
		v->weights = names_id(&c->weights, ""); /* not known: they count as the oldest */
	if (w >= 0 && (!v->have || v->seen_weights != (uint32_t)w)) {
		router_weights_learn(c, server, (uint32_t)w);
		v->seen_weights = (uint32_t)w;
	}
	if (!v->have)
		v->bad_until = now + (s->cold_ms > 2000 ? 2000 : s->cold_ms);
	v->have = 1;
	v->loading = s->loading;
	v->slots = s->slots ? (int)s->slots : 1;
}

/* Whether a service's row stands for a store: where stores have rows of their own those do, else each service's address. */
static int store_row(const struct router *c, const struct Nl__Row *r)
{
	return r->addr[0] && (c->route_table->nstore ? !r->store : r->store != 0);
}

struct server_table *router_server_table_make(struct router *c, int64_t now)
{
	const struct table *t = &c->f.t;
	const struct instances *g = &c->f.instances;
	apr_pool_t *p;
	struct server_table *r;

	apr_pool_create(&p, c->p);
	r = apr_pcalloc(p, sizeof *r);
	r->p = p;
	for (ptrdiff_t i = 0; i < shlen(t->h); i++) {
		const struct Nl__Row *row = t->h[i].value.row;

		if (row->kind == NL__KIND__SERVER && !c->b.instances)
			names_id(&c->servers, row->name);
		else if (row->kind == NL__KIND__SERVICE && store_row(c, row))
			names_id(&c->servers, apr_pstrcat(p, "store:", row->name, NULL));
	}
	for (ptrdiff_t i = 0; c->b.instances && i < shlen(g->h); i++)
		if (g->h[i].value.s->state != INSTANCE_GONE)
			names_id(&c->servers, g->h[i].key);
	r->nserver = (uint32_t)arrlen(c->servers.name);
	r->server = apr_pcalloc(p, (r->nserver + 1) * sizeof *r->server);
	while (arrlen(c->sv) < (ptrdiff_t)r->nserver) {
		struct router_server s;

		memset(&s, 0, sizeof s);
		arrput(c->server_hash, core_hashs(43, c->servers.name[arrlen(c->sv)]));
		hmput(c->server_at, arrlast(c->server_hash), (uint32_t)arrlen(c->sv));
		arrput(c->sv, s);
	}
	for (ptrdiff_t i = 0; i < shlen(t->h); i++) {
		const struct Nl__Row *row = t->h[i].value.row;

		if (row->kind == NL__KIND__SERVER && !c->b.instances)
			server_table_put(c, r, names_id(&c->servers, row->name), row->service, row->addr, row->zone,
					 row->state != 0, 0);
		else if (row->kind == NL__KIND__SERVICE && store_row(c, row))
			server_table_put(c, r, names_id(&c->servers, apr_pstrcat(p, "store:", row->name, NULL)), row->name,
					 row->addr, row->zone, 0, 1);
	}
	for (ptrdiff_t i = 0; c->b.instances && i < shlen(g->h); i++) {
		const struct Nl__Instance *s = g->h[i].value.s;
		int id = names_find(&c->servers, g->h[i].key);

		if (id < 0 || s->state == INSTANCE_GONE)
			continue;
		server_table_put(c, r, (uint32_t)id, s->service, s->addr, s->zone, s->state != INSTANCE_SERVING, 0);
		server_table_instance(c, (uint32_t)id, s, now);
	}
	for (uint32_t i = 0; c->server_table && i < c->server_table->nserver; i++)
		if (c->server_table->server[i].on && !r->server[i].on)
			kept_sweep(&c->kept, i, UINT64_MAX); /* that life is over, and what it kept */
	return r;
}

void router_server_table_free(struct server_table *r)
{
	if (r)
		apr_pool_destroy(r->p);
}

void router_share_of(const struct route_table *b, uint32_t lane, uint32_t tenant, uint32_t *share, uint32_t *limit)
{
	struct bk_share *h = b->share;
	ptrdiff_t i = h ? hmgeti(h, (uint64_t)lane << 32 | tenant) : -1;

	*share = i >= 0 ? h[i].value.share : b->tenant[tenant].share;
	*limit = i >= 0 ? h[i].value.limit : UINT32_MAX;
}
