/* router_retention: scheduled purges of context in a router: which scopes have their own cache namespaces,
 * which purges cover them, and which blocks servers still cache from before a purge. Controllers decide the
 * purges (lib/control/retention.h) and count a purge as completed when no router reports remaining blocks. */
#include "router_internal.h"

#include <string.h>

#include "containers.h"
#include "retention.h"

enum {
	RETENTION_SCAN_INTERVAL_MS = 1000, /* interval between scans for remaining blocks */
	RETENTION_SILENT_SERVER_MS = 5000, /* silence after which a server's cached blocks are unknown */
	RETENTION_ROWS_PER_TICK = 2000,    /* index rows that a scan reads per tick */
	MAX_SCOPE_NAME_BYTES = 200         /* bytes */
};

/* ---- scopes and generations ------------------------------------------------------------------ */

void router_add_cache_scope(struct router *router, struct route_table *routes, const struct Nl__Row *row)
{
	char route_name[MAX_SCOPE_NAME_BYTES], tenant_name[MAX_SCOPE_NAME_BYTES];
	struct cache_scope scope = { -1, -1, "", "", 0 };

	if (!retention_parse_scope(row->name, route_name, tenant_name) || (!route_name[0] && !tenant_name[0]))
		return; /* a row for all routes and tenants uses the common namespaces */
	if (route_name[0]) {
		scope.route_index = names_find(&router->names.routes, route_name);
		if (scope.route_index < 0)
			return;
		scope.route_name = router->names.routes.names[scope.route_index];
	}
	if (tenant_name[0]) {
		scope.tenant_index = names_find(&router->names.tenants, tenant_name);
		if (scope.tenant_index < 0)
			return;
		scope.tenant_name = router->names.tenants.names[scope.tenant_index];
	}
	scope.hash = retention_namespace_hash(route_name, tenant_name);
	arrput(routes->scopes, scope);
}

/* A scope with a tenant is narrower than one with a route only. */
int router_find_cache_scope(const struct route_table *routes, uint32_t route_index, uint32_t tenant_index)
{
	int best = -1, best_specificity = 0;

	for (ptrdiff_t i = 0; i < arrlen(routes->scopes); i++) {
		const struct cache_scope *scope = &routes->scopes[i];
		int specificity = (scope->tenant_index >= 0) * 2 + (scope->route_index >= 0);

		if (scope->route_index >= 0 && scope->route_index != (int)route_index)
			continue;
		if (scope->tenant_index >= 0 && scope->tenant_index != (int)tenant_index)
			continue;
		if (specificity > best_specificity) {
			best = (int)i;
			best_specificity = specificity;
		}
	}
	return best;
}

/* Whether a purge covers a scope. scope NULL: the common namespaces, which only a purge of all routes and
 * tenants covers. */
static bool purge_covers_scope(const struct Nl__Purge *purge, const struct cache_scope *scope)
{
	if (!scope)
		return !purge->route[0] && !purge->tenant[0];
	if (purge->route[0] && scope->route_name[0] && strcmp(purge->route, scope->route_name))
		return false;
	return !purge->tenant[0] || !scope->tenant_name[0] || !strcmp(purge->tenant, scope->tenant_name);
}

/* Computes the generations of all scopes and slices; those of the common namespaces come first. */
static void compute_purge_generations(struct router *router)
{
	const struct route_table *routes = router->config.route_table;
	ptrdiff_t scope_count = arrlen(routes->scopes) + 1;

	arrsetlen(router->retention.newest_purges, scope_count * PURGE_SLICES);
	memset(router->retention.newest_purges, 0,
	       (size_t)scope_count * PURGE_SLICES * sizeof *router->retention.newest_purges);
	for (ptrdiff_t i = 0; i < arrlen(router->relay.view.context_purges); i++) {
		const struct Nl__Purge *purge = router->relay.view.context_purges[i]->purge;

		for (ptrdiff_t k = 0; k < scope_count && purge->slice < PURGE_SLICES; k++) {
			uint64_t *newest = &router->retention.newest_purges[k * PURGE_SLICES + purge->slice];

			if (purge->purge_number > *newest &&
			    purge_covers_scope(purge, k ? &routes->scopes[k - 1] : NULL))
				*newest = purge->purge_number;
		}
	}
}

uint64_t router_purge_generation(struct router *router, int scope, uint32_t slice)
{
	if (!arrlen(router->relay.view.context_purges))
		return 0;
	if (!arrlen(router->retention.newest_purges))
		compute_purge_generations(router);
	return router->retention.newest_purges[(scope + 1) * PURGE_SLICES + slice];
}

bool router_allows_context(const struct router *router, uint32_t service_index, uint32_t tenant_index,
			   uint64_t block_hash, uint64_t stamp_tick)
{
	return purge_view_allows_context(&router->relay.view, router->names.services.names[service_index],
					 router->names.tenants.names[tenant_index], block_hash, stamp_tick);
}

/* ---- purges ---------------------------------------------------------------------------------- */

/* Removes the usage records of the routes and tenants that a purge covers. */
static void drop_usage_records(struct router *router, const struct Nl__Purge *purge)
{
	for (ptrdiff_t i = hmlen(router->records.usage) - 1; i >= 0; i--) {
		uint64_t key = router->records.usage[i].key;

		if ((!purge->route[0] || !strcmp(purge->route, router->names.routes.names[key >> 32])) &&
		    (!purge->tenant[0] ||
		     !strcmp(purge->tenant, router->names.tenants.names[key & UINT32_MAX])))
			(void)hmdel(router->records.usage, key);
	}
}

void router_on_context_purge(struct router *router, const struct Nl__Value *value, int64_t now)
{
	const struct Nl__Purge *purge = value->purge;

	arrsetlen(router->retention.newest_purges, 0);
	if (purge->slice != PURGE_SLICES - 1)
		return;
	/* the purge is complete: request new reports of cached blocks from all servers, and start a scan at
	 * once */
	router->retention.purged_at_ms = now;
	router->retention.scan_position = 0;
	router->retention.scan_at_ms = now - RETENTION_SCAN_INTERVAL_MS;
	for (ptrdiff_t s = 0; s < arrlen(router->servers.states); s++)
		router->servers.states[s].block_list_serial = router->servers.states[s].boot_id = 0;
	drop_usage_records(router, purge);
}

/* ---- blocks from before a purge -------------------------------------------------------------- */

static void add_remainder(struct router *router, uint32_t server_index, uint64_t scope, uint64_t purge_number,
			  uint32_t blocks)
{
	struct Nl__CacheRemainder remainder = NL__CACHE_REMAINDER__INIT,
				  *remainders = router->retention.remainders;
	char *server = router->names.servers.names[server_index];

	for (ptrdiff_t i = 0; i < arrlen(remainders); i++)
		if (remainders[i].scope == scope && remainders[i].purge_number == purge_number &&
		    remainders[i].server == server) {
			remainders[i].block_count += blocks;
			return;
		}
	remainder.server = server;
	remainder.scope = scope;
	remainder.purge_number = purge_number;
	remainder.block_count = blocks;
	if (arrlen(remainders) < RETENTION_MAX_REMAINDERS)
		arrput(router->retention.remainders, remainder);
}

/* Whether a namespace is from before a purge. A namespace's generation belongs to one slice, which its key
 * does not name; a generation below the oldest of all slices of its scope is certainly from before a purge.
 */
static bool is_purged_generation(struct router *router, uint64_t namespace_key)
{
	const struct route_table *routes = router->config.route_table;
	uint64_t oldest_generation = UINT64_MAX;
	int scope = -1;

	for (ptrdiff_t i = 0; namespace_key >> 32 && i < arrlen(routes->scopes); i++)
		if ((routes->scopes[i].hash & UINT32_MAX) == namespace_key >> 32)
			scope = (int)i;
	if (namespace_key >> 32 && scope < 0)
		return true; /* the scope's retention row was removed */
	for (uint32_t slice = 0; slice < PURGE_SLICES; slice++)
		oldest_generation = router_purge_generation(router, scope, slice) < oldest_generation
					? router_purge_generation(router, scope, slice)
					: oldest_generation;
	return (namespace_key & UINT32_MAX) < oldest_generation;
}

/* Adds the servers that have not reported their cached blocks since the purge. Servers of the product's own
 * interface report at once the blocks that a purge covers. */
static void add_unreported_servers(struct router *router, int64_t now)
{
	bool uses_endpoint_list = router->config.bounds.use_endpoint_list;

	for (uint32_t s = 0; s < router->config.server_table->server_count; s++) {
		const struct router_server_state *server = &router->servers.states[s];
		bool is_silent = now - server->last_cache_update_at_ms > RETENTION_SILENT_SERVER_MS;
		bool is_unreported = server->block_list_at_ms <= router->retention.purged_at_ms;
		bool has_remainder =
		    uses_endpoint_list ? is_silent : server->purged_block_count || is_unreported;

		if (!server_config_of(router, s)->is_configured || !has_remainder)
			continue;
		/* 0 blocks: the server's cached blocks are unknown */
		add_remainder(router, s, RETENTION_ANY_SCOPE, 0,
			      uses_endpoint_list || is_unreported ? 0 : server->purged_block_count);
	}
}

/* Scans the next range of the index for purged blocks, from its end: rows that a deletion moves meanwhile are
 * scanned twice rather than never. */
static void scan_index_for_remainders(struct router *router)
{
	struct prefix_index_row *rows = router->cache.index.blocks;
	ptrdiff_t *position = &router->retention.scan_position;
	uint64_t last_namespace_key = UINT64_MAX;
	bool is_purged = false;

	if (*position > hmlen(rows))
		*position = hmlen(rows);
	for (int n = 0; n<RETENTION_ROWS_PER_TICK && * position> 0; n++) {
		const struct prefix_index_row *row = &rows[--*position];

		for (ptrdiff_t i = 0; i < arrlen(row->value); i++) {
			uint64_t namespace_key = row->value[i].report_number;
			uint32_t server_index = row->value[i].server_index;

			if (namespace_key != last_namespace_key)
				is_purged = is_purged_generation(router, namespace_key);
			last_namespace_key = namespace_key;
			if (is_purged && server_index < router->config.server_table->server_count)
				add_remainder(router, server_index, namespace_key >> 32,
					      namespace_key & UINT32_MAX, 1);
		}
	}
}

/* Share of all requests that are queued, per mille. */
static uint32_t waiting_requests_permille(const struct router *router)
{
	uint64_t request_count = arrlen(router->requests.all) ? (uint64_t)arrlen(router->requests.all) : 1;
	uint32_t waiting = 0;

	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++)
		waiting += router->queueing.queues[i].waiting_count;
	return waiting ? (uint32_t)(1000ull * waiting / request_count) : 0;
}

/* Reports the result of a completed scan to the controllers. For forwarded requests it counts only if the
 * scan began after the last purge. */
static void report_remainders(struct router *router, int64_t now)
{
	struct config_watch *watch = &router->config.watch;

	add_unreported_servers(router, now);
	arrsetlen(watch->cache_remainders, 0);
	for (ptrdiff_t i = 0; i < arrlen(router->retention.remainders); i++)
		arrput(watch->cache_remainders, router->retention.remainders[i]);
	watch->has_index = !router->config.bounds.use_endpoint_list ||
			   router->retention.scan_at_ms >= router->retention.purged_at_ms;
	arrsetlen(router->retention.remainders, 0);
}

void router_retention_tick(struct router *router, int64_t now)
{
	struct config_watch *watch = &router->config.watch;
	bool uses_endpoint_list = router->config.bounds.use_endpoint_list;
	bool must_scan =
	    arrlen(router->relay.view.context_purges) && !(uses_endpoint_list && watch->upstream_count);

	if (!router->config.route_table)
		return;
	if (!must_scan) {
		watch->has_index = 0;
		router->retention.scan_position = 0;
		arrsetlen(watch->cache_remainders, 0);
	} else if (router->retention.scan_position > 0) {
		scan_index_for_remainders(router);
	}
	if (router->retention.scan_position > 0 ||
	    now - router->retention.scan_at_ms < RETENTION_SCAN_INTERVAL_MS)
		return;
	watch->load_pressure = waiting_requests_permille(router);
	if (must_scan) {
		report_remainders(router, now);
		router->retention.scan_position = uses_endpoint_list ? hmlen(router->cache.index.blocks) : 0;
	}
	router->retention.scan_at_ms = now;
}
