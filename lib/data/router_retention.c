/* router_retention: what a clearing of context means at a router: under which names parts are filed, what still names others. */
#include "router_internal.h"

#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "retention.h"

enum {
	RETENTION_COUNT = 1000,
	RETENTION_UNHEARD = 5000,
	RETENTION_STRETCH = 2000
}; /* ms between countings of what servers still name; after which one is not heard; rows of the index looked at in a tick */

void router_scope_row(struct router *c, struct route_table *b, const struct Nl__Row *r)
{
	char lane[200], tenant[200];
	struct bk_scope s = { -1, -1, "", "", 0 };

	if (!retention_scope(r->name, lane, tenant) || (!lane[0] && !tenant[0]))
		return; /* of everything: the common cache namespaces are its own */
	s.lane = lane[0] ? (int)names_find(&c->lanes, lane) : -1;
	s.tenant = tenant[0] ? (int)names_find(&c->tenants, tenant) : -1;
	if ((lane[0] && s.lane < 0) || (tenant[0] && s.tenant < 0))
		return;
	s.lane_name = lane[0] ? c->lanes.name[s.lane] : "";
	s.tenant_name = tenant[0] ? c->tenants.name[s.tenant] : "";
	s.hash = retention_hash(lane, tenant);
	arrput(b->scope, s);
}

/* The narrowest scope of a lane and a tenant that is cleared by itself; a tenant's goes before a lane's. -1: none. */
int router_scope(const struct route_table *b, uint32_t lane, uint32_t tenant)
{
	int best = -1, weight = 0;

	for (ptrdiff_t i = 0; i < arrlen(b->scope); i++) {
		const struct bk_scope *s = &b->scope[i];
		int w = (s->tenant >= 0) * 2 + (s->lane >= 0);

		if ((s->lane < 0 || s->lane == (int)lane) && (s->tenant < 0 || s->tenant == (int)tenant) && w > weight) {
			best = (int)i;
			weight = w;
		}
	}
	return best;
}

/* The newest clearing that covers a scope's cache namespaces of a slice, or the common ones (-1); 0: none ever did. */
uint64_t router_generation(struct router *c, int scope, uint32_t slice)
{
	ptrdiff_t n = arrlen(c->route_table->scope) + 1;

	if (!arrlen(c->relay.w.clear))
		return 0;
	if (!arrlen(c->generation)) {
		arrsetlen(c->generation, n * PURGE_SLICES);
		memset(c->generation, 0, (size_t)n * PURGE_SLICES * sizeof *c->generation);
		for (ptrdiff_t i = 0; i < arrlen(c->relay.w.clear); i++) {
			const struct Nl__Purge *p = c->relay.w.clear[i]->purge;

			for (ptrdiff_t k = 0; k < n && p->slice < PURGE_SLICES; k++) {
				const struct bk_scope *s = k ? &c->route_table->scope[k - 1] : NULL;
				uint64_t *g = &c->generation[k * PURGE_SLICES + p->slice];

				if (p->number > *g &&
				    (s ? (!p->lane[0] || !s->lane_name[0] || !strcmp(p->lane, s->lane_name)) &&
					     (!p->tenant[0] || !s->tenant_name[0] || !strcmp(p->tenant, s->tenant_name))
				       : !p->lane[0] && !p->tenant[0]))
					*g = p->number;
			}
		}
	}
	return c->generation[(scope + 1) * PURGE_SLICES + slice];
}

/* What a cache_namespace's name says of clearings: 32 bits of its scope, 32 of its generation. 0: neither. */
uint64_t router_filed(struct router *c, const struct client_request *x)
{
	int scope = router_scope(c->route_table, x->lane, x->tenant);
	uint64_t hash = scope < 0 ? 0 : c->route_table->scope[scope].hash;

	return hash << 32 | (router_generation(c, scope, PURGE_SLICE(router_home_part(x))) & UINT32_MAX);
}

uint64_t router_filed_text(const char *cache_namespace)
{
	const char *t = strrchr(cache_namespace, '~');

	return t && strlen(t) == 17 ? strtoull(t + 1, NULL, 16) : 0;
}

int router_keeps(const struct router *c, uint32_t service, uint32_t maker, uint64_t id, uint64_t stamp)
{
	return view_keeps(&c->relay.w, c->services.name[service], c->tenants.name[maker], id, stamp);
}

/* With the last slice, usage that names who is cleared goes too. */
void router_cleared(struct router *c, const struct Nl__Value *v, int64_t now)
{
	const struct Nl__Purge *p = v->purge;

	arrsetlen(c->generation, 0);
	if (p->slice == PURGE_SLICES - 1) { /* now all servers are to say anew what they keep */
		c->cleared_at = now;
		c->left_pos = 0; /* a new look at once */
		c->left_at = now - RETENTION_COUNT;
		for (ptrdiff_t s = 0; s < arrlen(c->sv); s++)
			c->sv[s].serial = c->sv[s].boot = 0;
	}
	for (ptrdiff_t i = hmlen(c->use) - 1; i >= 0 && p->slice == PURGE_SLICES - 1; i--) {
		uint64_t key = c->use[i].key;

		if ((!p->lane[0] || !strcmp(p->lane, c->lanes.name[key >> 32])) &&
		    (!p->tenant[0] || !strcmp(p->tenant, c->tenants.name[key & UINT32_MAX])))
			(void)hmdel(c->use, key);
	}
}

static void left_add(struct router *c, struct Nl__Left **left, uint32_t server, uint64_t scope, uint64_t number, uint32_t parts)
{
	struct Nl__Left n = NL__LEFT__INIT, *v = *left;

	for (ptrdiff_t i = 0; i < arrlen(v); i++)
		if (v[i].scope == scope && v[i].number == number && v[i].server == c->servers.name[server]) {
			v[i].parts += parts;
			return;
		}
	n.server = c->servers.name[server];
	n.scope = scope;
	n.number = number;
	n.parts = parts;
	if (arrlen(v) < RETENTION_ROWS)
		arrput(*left, n);
}

/* A cache_namespace's generation is of one slice; what is older than the oldest slice of its scope now is surely from before. */
static int is_old(struct router *c, uint64_t filed)
{
	uint64_t oldest = UINT64_MAX;
	int scope = -1;

	for (ptrdiff_t i = 0; filed >> 32 && i < arrlen(c->route_table->scope); i++)
		if ((c->route_table->scope[i].hash & UINT32_MAX) == filed >> 32)
			scope = (int)i;
	if (filed >> 32 && scope < 0)
		return 1; /* of a row that is no more */
	for (uint32_t k = 0; k < PURGE_SLICES; k++)
		oldest = router_generation(c, scope, k) < oldest ? router_generation(c, scope, k) : oldest;
	return (filed & UINT32_MAX) < oldest;
}

/* Servers that have not said since what they keep. Our own interface's say at once what a clearing withdrew there. */
static void left_servers(struct router *c, struct Nl__Left **left, int64_t now)
{
	for (uint32_t s = 0; s < c->server_table->nserver; s++) { /* 0 parts: it is not known what it keeps */
		const struct router_server *v = &c->sv[s];

		if (c->server_table->server[s].on &&
		    (c->b.instances ? now - v->heard > RETENTION_UNHEARD : v->stale || v->counted <= c->cleared_at))
			left_add(c, left, s, RETENTION_ANY, 0, c->b.instances || v->counted <= c->cleared_at ? 0 : v->stale);
	}
}

/* A stretch of the index, from its end on: what a deletion moves meanwhile is looked at twice rather than never. */
static void left_index(struct router *c)
{
	struct kept_row *h = c->kept.h;
	uint64_t last = UINT64_MAX;
	int old = 0;

	if (c->left_pos > hmlen(h))
		c->left_pos = hmlen(h);
	for (int n = 0; n < RETENTION_STRETCH && c->left_pos > 0; n++) {
		struct kept_row *r = &h[--c->left_pos];

		for (ptrdiff_t k = 0; k < arrlen(r->value); k++) {
			uint64_t filed = r->value[k].seen;

			if (filed != last)
				old = is_old(c, filed);
			last = filed;
			if (old && r->value[k].server < c->server_table->nserver)
				left_add(c, &c->left, r->value[k].server, filed >> 32, filed & UINT32_MAX, 1);
		}
	}
}

/* What servers still name from before a clearing, for the owner of part 0; how far lines are from free capacity. */
void router_retention_tick(struct router *c, int64_t now)
{
	uint32_t waiting = 0;

	if (!c->route_table)
		return;
	if (!arrlen(c->relay.w.clear) || (c->b.instances && c->f.nup)) {
		c->f.index = 0;
		c->left_pos = 0;
		arrsetlen(c->f.left, 0);
	} else if (c->left_pos > 0) {
		left_index(c);
	}
	if (c->left_pos > 0 || now - c->left_at < RETENTION_COUNT)
		return;
	for (ptrdiff_t i = 0; i < arrlen(c->line); i++)
		waiting += c->line[i].n;
	c->f.load_pressure = waiting ? (uint32_t)(1000ull * waiting / (arrlen(c->all) ? (uint64_t)arrlen(c->all) : 1)) : 0;
	if (!arrlen(c->relay.w.clear) || (c->b.instances && c->f.nup)) {
		c->left_at = now;
		return;
	}
	left_servers(c, &c->left, now); /* a look is over: it is said, if it began after the last clearing */
	arrsetlen(c->f.left, 0);
	for (ptrdiff_t i = 0; i < arrlen(c->left); i++)
		arrput(c->f.left, c->left[i]);
	c->f.index = !c->b.instances || c->left_at >= c->cleared_at;
	arrsetlen(c->left, 0);
	c->left_at = now;
	c->left_pos = c->b.instances ? hmlen(c->kept.h) : 0;
}
