/* router_retention: what a clearing of context means at a router: under which names parts are filed, what
 * still names others. */
#include "router_internal.h"

#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "retention.h"

enum {
	RETENTION_SCAN_INTERVAL_MS = 1000,
	RETENTION_SILENT_SERVER_MS = 5000,
	RETENTION_ROWS_PER_TICK = 2000
}; /* ms between countings of what servers still name; after which one is not heard; rows of the index looked
      at in a tick */

void router_scope_row(struct router *router, struct route_table *routes, const struct Nl__Row *row)
{
	char route_name[200], tenant[200];
	struct cache_scope bk_scope = { -1, -1, "", "", 0 };

	if (!retention_parse_scope(row->name, route_name, tenant) || (!route_name[0] && !tenant[0]))
		return; /* of everything: the common cache namespaces are its own */
	bk_scope.route_index = route_name[0] ? (int)names_find(&router->names.routes, route_name) : -1;
	bk_scope.tenant_index = tenant[0] ? (int)names_find(&router->names.tenants, tenant) : -1;
	if ((route_name[0] && bk_scope.route_index < 0) || (tenant[0] && bk_scope.tenant_index < 0))
		return;
	bk_scope.route_name = route_name[0] ? router->names.routes.names[bk_scope.route_index] : "";
	bk_scope.tenant_name = tenant[0] ? router->names.tenants.names[bk_scope.tenant_index] : "";
	bk_scope.hash = retention_namespace_hash(route_name, tenant);
	arrput(routes->scopes, bk_scope);
}

/* The narrowest scope of a lane and a tenant that is cleared by itself; a tenant's goes before a lane's. -1:
 * none. */
int router_scope(const struct route_table *routes, uint32_t route_index, uint32_t tenant)
{
	int best = -1, best_weight = 0;

	for (ptrdiff_t i = 0; i < arrlen(routes->scopes); i++) {
		const struct cache_scope *bk_scope = &routes->scopes[i];
		int weight = (bk_scope->tenant_index >= 0) * 2 + (bk_scope->route_index >= 0);

		if ((bk_scope->route_index < 0 || bk_scope->route_index == (int)route_index) &&
		    (bk_scope->tenant_index < 0 || bk_scope->tenant_index == (int)tenant) &&
		    weight > best_weight) {
			best = (int)i;
			best_weight = weight;
		}
	}
	return best;
}

/* The newest clearing that covers a scope's cache namespaces of a slice, or the common ones (-1); 0: none
 * ever did. */
uint64_t router_generation(struct router *router, int scope, uint32_t slice)
{
	ptrdiff_t scope_count = arrlen(router->config.route_table->scopes) + 1;

	if (!arrlen(router->relay.view.context_purges))
		return 0;
	if (!arrlen(router->retention.generations)) {
		arrsetlen(router->retention.generations, scope_count * PURGE_SLICES);
		memset(router->retention.generations, 0,
		       (size_t)scope_count * PURGE_SLICES * sizeof *router->retention.generations);
		for (ptrdiff_t i = 0; i < arrlen(router->relay.view.context_purges); i++) {
			const struct Nl__Purge *purge = router->relay.view.context_purges[i]->purge;

			for (ptrdiff_t k = 0; k < scope_count && purge->slice < PURGE_SLICES; k++) {
				const struct cache_scope *bk_scope =
				    k ? &router->config.route_table->scopes[k - 1] : NULL;
				uint64_t *newest =
				    &router->retention.generations[k * PURGE_SLICES + purge->slice];

				if (purge->purge_number > *newest &&
				    (bk_scope ? (!purge->route[0] || !bk_scope->route_name[0] ||
						 !strcmp(purge->route, bk_scope->route_name)) &&
						    (!purge->tenant[0] || !bk_scope->tenant_name[0] ||
						     !strcmp(purge->tenant, bk_scope->tenant_name))
					      : !purge->route[0] && !purge->tenant[0]))
					*newest = purge->purge_number;
			}
		}
	}
	return router->retention.generations[(scope + 1) * PURGE_SLICES + slice];
}

/* What a cache_namespace's name says of clearings: 32 bits of its scope, 32 of its generation. 0: neither. */
uint64_t router_namespace_key(struct router *router, const struct client_request *request)
{
	int scope =
	    router_scope(router->config.route_table, request->route.index, request->route.tenant_index);
	uint64_t hash = scope < 0 ? 0 : router->config.route_table->scopes[scope].hash;

	return hash << 32 |
	       (router_generation(router, scope, PURGE_SLICE(router_home_block(request))) & UINT32_MAX);
}

uint64_t router_namespace_key_from_text(const char *cache_namespace)
{
	const char *mark = strrchr(cache_namespace, '~');

	return mark && strlen(mark) == 17 ? strtoull(mark + 1, NULL, 16) : 0;
}

int router_retains(const struct router *router, uint32_t service, uint32_t maker, uint64_t id, uint64_t stamp)
{
	return purge_view_keeps_context(&router->relay.view, router->names.services.names[service],
					router->names.tenants.names[maker], id, stamp);
}

/* With the last slice, usage that names who is cleared goes too. */
void router_on_context_purge(struct router *router, const struct Nl__Value *value, int64_t now)
{
	const struct Nl__Purge *purge = value->purge;

	arrsetlen(router->retention.generations, 0);
	if (purge->slice == PURGE_SLICES - 1) { /* now all servers are to say anew what they keep */
		router->retention.purged_at_ms = now;
		router->retention.scan_position = 0; /* a new look at once */
		router->retention.scan_at_ms = now - RETENTION_SCAN_INTERVAL_MS;
		for (ptrdiff_t server_index = 0; server_index < arrlen(router->servers.states);
		     server_index++)
			router->servers.states[server_index].report_serial =
			    router->servers.states[server_index].boot_id = 0;
	}
	for (ptrdiff_t i = hmlen(router->records.usage) - 1; i >= 0 && purge->slice == PURGE_SLICES - 1;
	     i--) {
		uint64_t key = router->records.usage[i].key;

		if ((!purge->route[0] || !strcmp(purge->route, router->names.routes.names[key >> 32])) &&
		    (!purge->tenant[0] ||
		     !strcmp(purge->tenant, router->names.tenants.names[key & UINT32_MAX])))
			(void)hmdel(router->records.usage, key);
	}
}

static void remainder_add(struct router *router, struct Nl__CacheRemainder **remainders, uint32_t server,
			  uint64_t scope, uint64_t number, uint32_t blocks)
{
	struct Nl__CacheRemainder remainder = NL__CACHE_REMAINDER__INIT, *found = *remainders;

	for (ptrdiff_t i = 0; i < arrlen(found); i++)
		if (found[i].scope == scope && found[i].purge_number == number &&
		    found[i].server == router->names.servers.names[server]) {
			found[i].block_count += blocks;
			return;
		}
	remainder.server = router->names.servers.names[server];
	remainder.scope = scope;
	remainder.purge_number = number;
	remainder.block_count = blocks;
	if (arrlen(found) < RETENTION_MAX_REMAINDERS)
		arrput(*remainders, remainder);
}

/* A cache_namespace's generation is of one slice; what is older than the oldest slice of its scope now is
 * surely from before. */
static int is_purged_generation(struct router *router, uint64_t namespace_key)
{
	uint64_t oldest = UINT64_MAX;
	int scope = -1;

	for (ptrdiff_t i = 0; namespace_key >> 32 && i < arrlen(router->config.route_table->scopes); i++)
		if ((router->config.route_table->scopes[i].hash & UINT32_MAX) == namespace_key >> 32)
			scope = (int)i;
	if (namespace_key >> 32 && scope < 0)
		return 1; /* of a row that is no more */
	for (uint32_t k = 0; k < PURGE_SLICES; k++)
		oldest = router_generation(router, scope, k) < oldest ? router_generation(router, scope, k)
								      : oldest;
	return (namespace_key & UINT32_MAX) < oldest;
}

/* Servers that have not said since what they keep. Our own interface's say at once what a clearing withdrew
 * there. */
static void remainders_of_servers(struct router *router, struct Nl__CacheRemainder **remainders, int64_t now)
{
	for (uint32_t s = 0; s < router->config.server_table->server_count;
	     s++) { /* 0 parts: it is not known what it keeps */
		const struct router_server_state *server = &router->servers.states[s];

		if (router->config.server_table->servers[s].is_configured &&
		    (router->config.bounds.discover_instances
			 ? now - server->cache_update_at_ms > RETENTION_SILENT_SERVER_MS
			 : server->purged_blocks ||
			       server->inventory_at_ms <= router->retention.purged_at_ms))
			remainder_add(router, remainders, s, RETENTION_ANY, 0,
				      router->config.bounds.discover_instances ||
					      server->inventory_at_ms <= router->retention.purged_at_ms
					  ? 0
					  : server->purged_blocks);
	}
}

/* A stretch of the index, from its end on: what a deletion moves meanwhile is looked at twice rather than
 * never. */
static void remainders_of_index(struct router *router)
{
	struct prefix_index_row *row = router->cache.index.blocks;
	uint64_t last = UINT64_MAX;
	int old = 0;

	if (router->retention.scan_position > hmlen(row))
		router->retention.scan_position = hmlen(row);
	for (int n = 0; n < RETENTION_ROWS_PER_TICK && router->retention.scan_position > 0; n++) {
		struct prefix_index_row *index_row = &row[--router->retention.scan_position];

		for (ptrdiff_t k = 0; k < arrlen(index_row->value); k++) {
			uint64_t namespace_key = index_row->value[k].report_number;

			if (namespace_key != last)
				old = is_purged_generation(router, namespace_key);
			last = namespace_key;
			if (old &&
			    index_row->value[k].server_index < router->config.server_table->server_count)
				remainder_add(router, &router->retention.remainders,
					      index_row->value[k].server_index, namespace_key >> 32,
					      namespace_key & UINT32_MAX, 1);
		}
	}
}

/* What servers still name from before a clearing, for the owner of part 0; how far lines are from free
 * capacity. */
void router_retention_tick(struct router *router, int64_t now)
{
	uint32_t waiting = 0;

	if (!router->config.route_table)
		return;
	if (!arrlen(router->relay.view.context_purges) ||
	    (router->config.bounds.discover_instances && router->config.watch.upstream_count)) {
		router->config.watch.has_index = 0;
		router->retention.scan_position = 0;
		arrsetlen(router->config.watch.cache_remainders, 0);
	} else if (router->retention.scan_position > 0) {
		remainders_of_index(router);
	}
	if (router->retention.scan_position > 0 ||
	    now - router->retention.scan_at_ms < RETENTION_SCAN_INTERVAL_MS)
		return;
	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++)
		waiting += router->queueing.queues[i].length;
	router->config.watch.load_pressure =
	    waiting ? (uint32_t)(1000ull * waiting /
				 (arrlen(router->requests.all) ? (uint64_t)arrlen(router->requests.all) : 1))
		    : 0;
	if (!arrlen(router->relay.view.context_purges) ||
	    (router->config.bounds.discover_instances && router->config.watch.upstream_count)) {
		router->retention.scan_at_ms = now;
		return;
	}
	remainders_of_servers(router, &router->retention.remainders,
			      now); /* a look is over: it is said, if it began after the last clearing */
	arrsetlen(router->config.watch.cache_remainders, 0);
	for (ptrdiff_t i = 0; i < arrlen(router->retention.remainders); i++)
		arrput(router->config.watch.cache_remainders, router->retention.remainders[i]);
	router->config.watch.has_index = !router->config.bounds.discover_instances ||
					 router->retention.scan_at_ms >= router->retention.purged_at_ms;
	arrsetlen(router->retention.remainders, 0);
	router->retention.scan_at_ms = now;
	router->retention.scan_position =
	    router->config.bounds.discover_instances ? hmlen(router->cache.index.blocks) : 0;
}
