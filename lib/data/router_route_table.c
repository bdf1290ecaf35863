/* router_route_table: builds the route table from the rows of the configuration, in two passes: the first
 * assigns an index to every name, which determines the sizes of the arrays; the second fills the arrays. A
 * table is immutable once built. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

enum { MATCH_HASH_SEED = 17, ISOLATION_HASH_SEED = 29 };

void router_route_table_free(struct route_table *routes)
{
	if (!routes)
		return;
	hmfree(routes->shares);
	arrfree(routes->scopes);
	hmfree(routes->matches);
	shfree(routes->keys);
	apr_pool_destroy(routes->pool);
}

uint64_t router_match_key(const char *host, const char *path, size_t path_length)
{
	return core_hash(core_hash_string(MATCH_HASH_SEED, host), path, path_length);
}

void router_tenant_share(const struct route_table *routes, uint32_t route_index, uint32_t tenant_index,
			 uint32_t *share, uint32_t *limit)
{
	struct share_config *shares = routes->shares;
	ptrdiff_t i = shares ? hmgeti(shares, (uint64_t)route_index << 32 | tenant_index) : -1;

	*share = i >= 0 ? shares[i].value.share : routes->tenants[tenant_index].share;
	*limit = i >= 0 ? shares[i].value.concurrency_limit : UINT32_MAX;
}

/* ---- first pass: indices of names ------------------------------------------------------------ */

static void add_names(struct router *router, const struct Nl__Row *row)
{
	switch (row->kind) {
	case NL__KIND__ROUTE:
		names_find_or_add(&router->names.routes, row->name);
		names_find_or_add(&router->names.services, row->service);
		for (size_t i = 0; i < row->n_split; i++)
			names_find_or_add(&router->names.services, row->split[i]->service);
		break;
	case NL__KIND__TENANT:
		names_find_or_add(&router->names.tenants, row->name);
		break;
	case NL__KIND__KEY:
		names_find_or_add(&router->names.tenants, row->tenant);
		break;
	case NL__KIND__SERVICE:
		names_find_or_add(&router->names.services, row->name);
		names_find_or_add(&router->names.weights, row->target_weights);
		break;
	case NL__KIND__MODEL:
		names_find_or_add(&router->names.weights, row->target_weights);
		break;
	default:
		break;
	}
}

static struct route_table *allocate_route_table(struct router *router)
{
	apr_pool_t *pool;
	struct route_table *routes;

	apr_pool_create(&pool, router->pool);
	routes = apr_pcalloc(pool, sizeof *routes);
	routes->pool = pool;
	routes->anonymous_tenant_index = names_find_or_add(&router->names.tenants, "");
	routes->route_count = (uint32_t)arrlen(router->names.routes.names);
	routes->tenant_count = (uint32_t)arrlen(router->names.tenants.names);
	routes->service_count = (uint32_t)arrlen(router->names.services.names);
	routes->routes = apr_pcalloc(pool, (routes->route_count + 1) * sizeof *routes->routes);
	routes->tenants = apr_pcalloc(pool, (routes->tenant_count + 1) * sizeof *routes->tenants);
	routes->services = apr_pcalloc(pool, (routes->service_count + 1) * sizeof *routes->services);
	routes->store_server_indices =
	    apr_pcalloc(pool, (routes->service_count + 1) * sizeof *routes->store_server_indices);
	sh_new_arena(routes->keys);
	return routes;
}

/* ---- second pass: contents of the table ------------------------------------------------------ */

/* Whether a row takes precedence over another route of the same host and path. Tables of older builds may
 * hold such routes, with hosts in two spellings. The one whose host needs no normalization was the one
 * served; the order of the names decides between others, because the order of the rows may differ between
 * routers. */
static bool takes_precedence(const struct Nl__Row *row, const struct Nl__Row *other)
{
	char name[HOST_NAME_BYTES];
	bool is_normalized = host_name_normalize(row->host, name) && !strcmp(row->host, name);
	bool is_other_normalized = host_name_normalize(other->host, name) && !strcmp(other->host, name);

	if (is_normalized != is_other_normalized)
		return is_normalized;
	return strcmp(row->name, other->name) < 0;
}

/* Adds a route to the map from host and path. */
static void add_match(struct router *router, struct route_table *routes, const struct Nl__Row *row,
		      uint32_t route_index)
{
	const char *host = routes->routes[route_index].host;
	uint64_t key = router_match_key(host, row->path, strlen(row->path));
	ptrdiff_t existing = hmgeti(routes->matches, key);
	const struct Nl__Row *other = NULL;

	if (!host[0] || !row->path[0])
		return;
	if (existing >= 0)
		other = config_table_get(&router->config.watch.table, NL__KIND__ROUTE,
					 router->names.routes.names[routes->matches[existing].value]);
	if (!other || takes_precedence(row, other))
		hmput(routes->matches, key, route_index);
}

static void add_route(struct router *router, struct route_table *routes, const struct Nl__Row *row)
{
	uint32_t route_index = names_find_or_add(&router->names.routes, row->name);
	uint32_t cumulative_weight = 0;
	struct route_config *route = &routes->routes[route_index];
	struct route_split *splits = apr_palloc(routes->pool, (row->n_split + 1) * sizeof *splits);
	bool has_streams = row->max_gap_ms != 0; /* any other answer cannot be resumed after an event */
	char host[HOST_NAME_BYTES];

	host_name_normalize(row->host, host);
	*route = (struct route_config){
		.is_configured = true,
		.resumable = has_streams && row->resumable,
		.idempotent = row->idempotent,
		.key_optional = row->key_optional,
		.service_index = names_find_or_add(&router->names.services, row->service),
		.priority = row->priority,
		.max_waiting_per_tenant = row->limit,
		.latency_target_ms = row->latency_target_ms,
		.max_chunk_gap_ms = row->max_gap_ms,
		.timeout_ms = row->timeout_ms,
		.max_attempts = row->max_attempts,
		.host = apr_pstrdup(routes->pool, host),
		.path = apr_pstrdup(routes->pool, row->path),
		.splits = splits,
	};
	for (size_t i = 0; i < row->n_split; i++) {
		if (!row->split[i]->weight)
			continue;
		cumulative_weight += row->split[i]->weight;
		splits[route->split_count++] = (struct route_split){
			.service_index = names_find_or_add(&router->names.services, row->split[i]->service),
			.cumulative_weight = cumulative_weight,
		};
	}
	add_match(router, routes, row, route_index);
}

static void add_tenant(struct router *router, struct route_table *routes, const struct Nl__Row *row)
{
	routes->tenants[names_find_or_add(&router->names.tenants, row->name)] = (struct tenant_config){
		.is_configured = true,
		.is_isolated = row->isolated,
		.share = row->share,
		.concurrency_limit = row->limit,
		.priority_class = row->priority_class,
	};
	routes->has_concurrency_limits |= row->limit != 0;
	if (row->isolated)
		/* a sum, so that the order of rows does not matter */
		routes->isolation_hash += core_hash_string(ISOLATION_HASH_SEED, row->name);
}

/* The server index of the offload store of a service's row. */
static int store_server_index(struct router *router, const struct route_table *routes,
			      const struct Nl__Row *row)
{
	return (int)names_find_or_add(&router->names.servers,
				      apr_pstrcat(routes->pool, "store:", row->name, NULL));
}

static void add_service(struct router *router, struct route_table *routes, const struct Nl__Row *row)
{
	const struct Nl__Row *model =
	    row->model[0] ? config_table_get(&router->config.watch.table, NL__KIND__MODEL, row->model) : NULL;
	struct service_config *service =
	    &routes->services[names_find_or_add(&router->names.services, row->name)];

	*service = (struct service_config){
		.is_configured = true,
		.target_weights_index = names_find_or_add(
		    &router->names.weights, model ? model->target_weights : row->target_weights),
		.prefill_tokens_per_ms = row->prefill_tokens_per_ms,
		.kv_bytes_per_token = row->kv_bytes_per_token,
		.link_bytes_per_ms = row->link_bytes_per_ms,
		.store_bytes_per_ms = row->store_bytes_per_ms,
		.max_connections = row->max_connections,
		.capacity_tokens = row->capacity_tokens,
		.store_server_index = -1,
	};
	if (model)
		service->model_row = (const struct Nl__Row *)core_copy_message(routes->pool, &model->base);
	if (!row->addr[0])
		return;
	if (row->store_bytes_per_ms)
		service->store_server_index = store_server_index(router, routes, row);
	else if (router->config.bounds.use_endpoint_list)
		/* the row describes a store, not a service that has one */
		routes->store_server_indices[routes->store_count++] = store_server_index(router, routes, row);
}

static void add_share(const struct router *router, struct route_table *routes, const struct Nl__Row *row)
{
	typeof(routes->shares->value) share = { row->share, row->limit };
	const char *slash = strchr(row->name, '/');
	int route_index, tenant_index;

	routes->has_concurrency_limits = true;
	if (!slash)
		return;
	route_index = names_find(&router->names.routes,
				 apr_pstrmemdup(routes->pool, row->name, (size_t)(slash - row->name)));
	tenant_index = names_find(&router->names.tenants, slash + 1);
	if (route_index >= 0 && tenant_index >= 0)
		hmput(routes->shares, (uint64_t)route_index << 32 | (uint64_t)tenant_index, share);
}

static void set_listener_limits(struct route_table *routes, const struct Nl__Row *row)
{
	routes->listener.max_head_bytes = row->max_head_bytes;
	routes->listener.max_body_bytes = row->max_body_bytes;
	routes->listener.head_timeout_ms = row->head_timeout_ms;
	routes->listener.idle_timeout_ms = row->idle_timeout_ms;
}

static void add_row(struct router *router, struct route_table *routes, const struct Nl__Row *row)
{
	switch (row->kind) {
	case NL__KIND__ROUTE:
		add_route(router, routes, row);
		break;
	case NL__KIND__TENANT:
		add_tenant(router, routes, row);
		break;
	case NL__KIND__KEY:
		shput(routes->keys, row->name, names_find_or_add(&router->names.tenants, row->tenant));
		break;
	case NL__KIND__SERVICE:
		add_service(router, routes, row);
		break;
	case NL__KIND__RETENTION:
		router_add_cache_scope(router, routes, row);
		break;
	case NL__KIND__LISTENER:
		set_listener_limits(routes, row);
		break;
	case NL__KIND__SHARE:
		add_share(router, routes, row);
		break;
	default:
		break;
	}
}

/* Restarts the time within which a new service, or one that is configured again, has to show a serving
 * server, regardless of when it last had one. */
static void restart_service_grace(struct router *router, const struct route_table *routes, int64_t now)
{
	const struct route_table *old = router->config.route_table;

	for (uint32_t i = 0; i < routes->service_count; i++)
		if (routes->services[i].is_configured &&
		    !(old && i < old->service_count && old->services[i].is_configured))
			router->servers.last_serving_at_ms[i] = now;
}

/* Extends the router's arrays by tenant and by service for new names. */
static void extend_arrays(struct router *router, const struct route_table *routes, int64_t now)
{
	while (arrlen(router->quota.tenant_slots_held) < (ptrdiff_t)routes->tenant_count)
		arrput(router->quota.tenant_slots_held, 0);
	while (arrlen(router->servers.last_serving_at_ms) < (ptrdiff_t)routes->service_count)
		arrput(router->servers.last_serving_at_ms, now);
	while (arrlen(router->quota.retry_budget_milli) < (ptrdiff_t)routes->service_count)
		arrput(router->quota.retry_budget_milli, ROUTER_RETRY_COST_MILLI);
}

struct route_table *router_route_table_new(struct router *router, int64_t now)
{
	const struct config_table *table = &router->config.watch.table;
	struct route_table *routes;

	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		add_names(router, table->rows[i].value.row);
	routes = allocate_route_table(router);
	routes->revision = table->revision;
	routes->tenants[routes->anonymous_tenant_index] =
	    (struct tenant_config){ .is_configured = true, .share = 1 };
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		add_row(router, routes, table->rows[i].value.row);
	arrsetlen(router->retention.newest_purges, 0);
	extend_arrays(router, routes, now);
	restart_service_grace(router, routes, now);
	return routes;
}
