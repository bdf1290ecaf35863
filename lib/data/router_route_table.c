/* router_route_table: names at the door, and the table as the data plane reads it: immutable, swapped whole.
 */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

uint32_t names_id(struct name_table *names, const char *name)
{
	ptrdiff_t i;

	if (!names->index)
		sh_new_strdup(names->index);
	i = shgeti(names->index, name);
	if (i >= 0)
		return names->index[i].value;
	arrput(names->names, strdup(name));
	shput(names->index, name, (uint32_t)arrlen(names->names) - 1);
	return (uint32_t)arrlen(names->names) - 1;
}

int names_find(const struct name_table *names, const char *name)
{
	struct name_entry *row = names->index;
	ptrdiff_t i = row ? shgeti(row, name) : -1;

	return i < 0 ? -1 : (int)row[i].value;
}

void router_names_clear(struct name_table *names)
{
	for (ptrdiff_t i = 0; i < arrlen(names->names); i++)
		free(names->names[i]);
	arrfree(names->names);
	shfree(names->index);
}

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

/* The names that rows bring, so that the arrays have their size. */
static void route_table_names(struct router *router, const struct Nl__Row *row)
{
	switch (row->kind) {
	case NL__KIND__ROUTE:
		names_id(&router->names.routes, row->name);
		names_id(&router->names.services, row->service);
		for (size_t k = 0; k < row->n_split; k++)
			names_id(&router->names.services, row->split[k]->service);
		break;
	case NL__KIND__TENANT:
		names_id(&router->names.tenants, row->name);
		break;
	case NL__KIND__KEY:
		names_id(&router->names.tenants, row->tenant);
		break;
	case NL__KIND__SERVICE:
		names_id(&router->names.services, row->name);
		names_id(&router->names.weights, row->target_weights);
		break;
	case NL__KIND__MODEL:
		names_id(&router->names.weights, row->target_weights);
		break;
	default:
		break;
	}
}

/* Where a lane is found by host and path. Example: hmget(b->place, router_place("a.example", "/x/", 3)) */
uint64_t router_match_key(const char *host, const char *path, size_t path_length)
{
	return core_hash(core_hash_string(17, host), path, path_length);
}

static void route_row(struct router *router, struct route_table *routes, const struct Nl__Row *row)
{
	uint32_t route_index = names_id(&router->names.routes, row->name);
	uint32_t cumulative_weight = 0;
	struct route_config *route = &routes->routes[route_index];
	struct route_split *splits = apr_palloc(routes->pool, (row->n_split + 1) * sizeof *splits);

	*route = (struct route_config){
		.is_configured = true,
		.resumable = row->resumable,
		.idempotent = row->idempotent,
		.key_optional = row->key_optional,
		.service_index = names_id(&router->names.services, row->service),
		.priority = row->priority,
		.queue_limit = row->limit,
		.latency_target_ms = row->latency_target_ms,
		.max_gap_ms = row->max_gap_ms,
		.timeout_ms = row->timeout_ms,
		.max_attempts = row->max_attempts,
		.host = apr_pstrdup(routes->pool, row->host),
		.path = apr_pstrdup(routes->pool, row->path),
		.splits = splits,
	};
	for (size_t i = 0; i < row->n_split; i++) {
		if (!row->split[i]->weight)
			continue;
		cumulative_weight += row->split[i]->weight;
		splits[route->split_count++] = (struct route_split){
			.service_index = names_id(&router->names.services, row->split[i]->service),
			.cumulative_weight = cumulative_weight,
		};
	}
	if (row->path[0])
		hmput(routes->matches, router_match_key(row->host, row->path, strlen(row->path)),
		      route_index);
}

static int store_index(struct router *router, const struct route_table *routes, const struct Nl__Row *row)
{
	return (int)names_id(&router->names.servers, apr_pstrcat(routes->pool, "store:", row->name, NULL));
}

static void service_row(struct router *router, struct route_table *routes, const struct Nl__Row *row)
{
	const struct Nl__Row *model =
	    row->model[0] ? config_table_get(&router->config.watch.table, NL__KIND__MODEL, row->model) : NULL;
	uint32_t service_index = names_id(&router->names.services, row->name);
	struct service_config *service = &routes->services[service_index];

	*service = (struct service_config){
		.is_configured = true,
		.target_weights =
		    names_id(&router->names.weights, model ? model->target_weights : row->target_weights),
		.prefill_tokens_per_ms = row->prefill_tokens_per_ms,
		.kv_bytes_per_token = row->kv_bytes_per_token,
		.link_bytes_per_ms = row->link_bytes_per_ms,
		.store_bytes_per_ms = row->store_bytes_per_ms,
		.max_connections = row->max_connections,
		.capacity_tokens = row->capacity_tokens,
		.store_server = -1,
	};
	if (model)
		service->model_row = (const struct Nl__Row *)core_copy_message(routes->pool, &model->base);
	if (!row->addr[0])
		return;
	if (row->store_bytes_per_ms)
		service->store_server = store_index(router, routes, row);
	else if (router->config.bounds.discover_instances) /* a store itself, not a service that has one */
		routes->stores[routes->store_count++] = store_index(router, routes, row);
}

/* A service that is new, or back, has its time to be seen with servers, whenever one of it last stood. */
static void services_return(struct router *router, const struct route_table *routes, int64_t now)
{
	const struct route_table *old = router->config.route_table;

	for (uint32_t i = 0; i < routes->service_count; i++)
		if (routes->services[i].is_configured &&
		    !(old && i < old->service_count && old->services[i].is_configured))
			router->servers.last_serving_at_ms[i] = now;
}

/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
struct route_table *router_route_table_new(struct router *router, int64_t now)
{
	const struct config_table *table = &router->config.watch.table;
	apr_pool_t *pool;
	struct route_table *routes;

	apr_pool_create(&pool, router->pool);
	routes = apr_pcalloc(pool, sizeof *routes);
	routes->pool = pool;
	routes->revision = table->revision;
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		route_table_names(router, table->rows[i].value.row);
	routes->anonymous_tenant = names_id(&router->names.tenants, "");
	routes->route_count = (uint32_t)arrlen(router->names.routes.names);
	routes->tenant_count = (uint32_t)arrlen(router->names.tenants.names);
	routes->service_count = (uint32_t)arrlen(router->names.services.names);
	routes->routes = apr_pcalloc(pool, (routes->route_count + 1) * sizeof *routes->routes);
	routes->tenants = apr_pcalloc(pool, (routes->tenant_count + 1) * sizeof *routes->tenants);
	routes->services = apr_pcalloc(pool, (routes->service_count + 1) * sizeof *routes->services);
	routes->stores = apr_pcalloc(pool, (routes->service_count + 1) * sizeof *routes->stores);
	sh_new_arena(routes->keys);
	routes->tenants[routes->anonymous_tenant] = (struct tenant_config){ 1, 0, 1, 0, 0 };
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;
		const char *slash;

		switch (row->kind) {
		case NL__KIND__ROUTE:
			route_row(router, routes, row);
			break;
		case NL__KIND__TENANT:
			routes->tenants[names_id(&router->names.tenants, row->name)] =
			    (struct tenant_config){ 1, row->isolated, row->share, row->limit,
						    row->priority_class };
			routes->has_limits |= row->limit != 0;
			if (row->isolated)
				routes->isolation_hash += core_hash_string(
				    29, row->name); /* a sum: the order of rows does not matter */
			break;
		case NL__KIND__KEY:
			shput(routes->keys, row->name, names_id(&router->names.tenants, row->tenant));
			routes->has_keys = 1;
			break;
		case NL__KIND__SERVICE:
			service_row(router, routes, row);
			break;
		case NL__KIND__RETENTION:
			router_scope_row(router, routes, row);
			break;
		case NL__KIND__LISTENER:
			routes->listener.max_head_bytes = row->max_head_bytes;
			routes->listener.max_body_bytes = row->max_body_bytes;
			routes->listener.head_timeout_ms = row->head_timeout_ms;
			routes->listener.idle_timeout_ms = row->idle_timeout_ms;
			break;
		case NL__KIND__SHARE:
			routes->has_limits = 1;
			slash = strchr(row->name, '/');
			if (slash) {
				int route_index =
				    names_find(&router->names.routes,
					       apr_pstrmemdup(pool, row->name, (size_t)(slash - row->name)));
				int tenant = names_find(&router->names.tenants, slash + 1);
				typeof(routes->shares->value) v = { row->share, row->limit };

				if (route_index >= 0 && tenant >= 0)
					hmput(routes->shares, (uint64_t)route_index << 32 | (uint64_t)tenant,
					      v);
			}
			break;
		default:
			break;
		}
	}
	arrsetlen(router->retention.generations, 0);
	while (arrlen(router->quota.tenant_running) < (ptrdiff_t)routes->tenant_count)
		arrput(router->quota.tenant_running, 0);
	while (arrlen(router->servers.last_serving_at_ms) < (ptrdiff_t)routes->service_count)
		arrput(router->servers.last_serving_at_ms, now);
	while (arrlen(router->quota.retry_budget) < (ptrdiff_t)routes->service_count)
		arrput(router->quota.retry_budget, ROUTER_RETRY_COST_MILLI);
	services_return(router, routes, now);
	return routes;
}

/* A service that is not in the table has no place in the route_table's arrays: its servers do not count. */
static void server_table_put(struct router *router, struct server_table *servers, uint32_t id,
			     const char *service, const char *addr, const char *zone, int draining,
			     int is_store)
{
	int service_index = names_find(&router->names.services, service);

	if (service_index < 0 || (uint32_t)service_index >= router->config.route_table->service_count)
		return;
	servers->servers[id] = (struct server_config){ 1,
						       draining,
						       is_store,
						       (uint32_t)service_index,
						       apr_pstrdup(servers->pool, addr),
						       core_parse_addr(addr),
						       core_hash_string(0, zone) };
}

/* What the list says of a server; what the server itself said since goes first. */
static void server_table_instance(struct router *router, uint32_t server, const struct Nl__Instance *instance,
				  int64_t now)
{
	struct router_server_state *state = &router->servers.states[server];
	int weights = instance->weights[0] && strlen(instance->weights) < 128
			  ? (int)names_id(&router->names.weights, instance->weights)
			  : -1;

	if (weights < 0 && !state->is_known)
		state->weights =
		    names_id(&router->names.weights, ""); /* not known: they count as the oldest */
	if (weights >= 0 && (!state->is_known || state->listed_weights != (uint32_t)weights)) {
		router_weights_learn(router, server, (uint32_t)weights);
		state->listed_weights = (uint32_t)weights;
	}
	if (!state->is_known)
		state->unavailable_until_ms =
		    now + (instance->warm_up_ms > 2000 ? 2000 : instance->warm_up_ms);
	state->is_known = 1;
	state->is_loading = instance->loading;
	state->slots = instance->slots ? (int)instance->slots : 1;
}

/* Whether a service's row stands for a store: where stores have rows of their own those do, else each
 * service's address. */
static int store_row(const struct router *router, const struct Nl__Row *row)
{
	return row->addr[0] && (router->config.route_table->store_count ? !row->store_bytes_per_ms
									: row->store_bytes_per_ms != 0);
}

struct server_table *router_server_table_new(struct router *router, int64_t now)
{
	const struct config_table *table = &router->config.watch.table;
	const struct instances *instances = &router->config.watch.instances;
	apr_pool_t *pool;
	struct server_table *servers;

	apr_pool_create(&pool, router->pool);
	servers = apr_pcalloc(pool, sizeof *servers);
	servers->pool = pool;
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;

		if (row->kind == NL__KIND__SERVER && !router->config.bounds.discover_instances)
			names_id(&router->names.servers, row->name);
		else if (row->kind == NL__KIND__SERVICE && store_row(router, row))
			names_id(&router->names.servers, apr_pstrcat(pool, "store:", row->name, NULL));
	}
	for (ptrdiff_t i = 0; router->config.bounds.discover_instances && i < shlen(instances->rows); i++)
		if (instances->rows[i].value.instance->state != INSTANCE_REMOVED)
			names_id(&router->names.servers, instances->rows[i].key);
	servers->server_count = (uint32_t)arrlen(router->names.servers.names);
	servers->servers = apr_pcalloc(pool, (servers->server_count + 1) * sizeof *servers->servers);
	while (arrlen(router->servers.states) < (ptrdiff_t)servers->server_count) {
		struct router_server_state s;

		memset(&s, 0, sizeof s);
		arrput(router->servers.hashes,
		       core_hash_string(43, router->names.servers.names[arrlen(router->servers.states)]));
		hmput(router->servers.by_hash, arrlast(router->servers.hashes),
		      (uint32_t)arrlen(router->servers.states));
		arrput(router->servers.states, s);
	}
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;

		if (row->kind == NL__KIND__SERVER && !router->config.bounds.discover_instances)
			server_table_put(router, servers, names_id(&router->names.servers, row->name),
					 row->service, row->addr, row->zone, row->state != 0, 0);
		else if (row->kind == NL__KIND__SERVICE && store_row(router, row))
			server_table_put(
			    router, servers,
			    names_id(&router->names.servers, apr_pstrcat(pool, "store:", row->name, NULL)),
			    row->name, row->addr, row->zone, 0, 1);
	}
	for (ptrdiff_t i = 0; router->config.bounds.discover_instances && i < shlen(instances->rows); i++) {
		const struct Nl__Instance *s = instances->rows[i].value.instance;
		int id = names_find(&router->names.servers, instances->rows[i].key);

		if (id < 0 || s->state == INSTANCE_REMOVED)
			continue;
		server_table_put(router, servers, (uint32_t)id, s->service, s->addr, s->zone,
				 s->state != INSTANCE_SERVING, 0);
		server_table_instance(router, (uint32_t)id, s, now);
	}
	for (uint32_t i = 0; router->config.server_table && i < router->config.server_table->server_count;
	     i++)
		if (router->config.server_table->servers[i].is_configured &&
		    !servers->servers[i].is_configured)
			prefix_index_remove_unreported(&router->cache.index, i,
						       UINT64_MAX); /* that life is over, and what it kept */
	return servers;
}

void router_server_table_free(struct server_table *servers)
{
	if (servers)
		apr_pool_destroy(servers->pool);
}

void router_share_of(const struct route_table *routes, uint32_t route_index, uint32_t tenant, uint32_t *share,
		     uint32_t *limit)
{
	struct share_config *bk_share = routes->shares;
	ptrdiff_t i = bk_share ? hmgeti(bk_share, (uint64_t)route_index << 32 | tenant) : -1;

	*share = i >= 0 ? bk_share[i].value.share : routes->tenants[tenant].share;
	*limit = i >= 0 ? bk_share[i].value.concurrency_limit : UINT32_MAX;
}
