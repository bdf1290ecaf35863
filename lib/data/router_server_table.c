/* router_server_table: builds the server table: the servers of the configuration or of the endpoint list,
 * whichever the deployment uses, and the offload stores of services. A server that is no longer in the table
 * has lost its cached blocks. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

enum {
	SERVER_HASH_SEED = 43,
	MAX_WEIGHTS_NAME_BYTES = 128, /* bytes, including the terminating zero */
	MAX_WARM_UP_MS = 2000         /* longest time for which a new server receives no requests */
};

void router_server_table_free(struct server_table *servers)
{
	if (servers)
		apr_pool_destroy(servers->pool);
}

/* Whether a configuration row defines a store. Where stores have rows of their own (an address without a
 * speed), only those rows do; otherwise each service row with the address and speed of a store does. */
static bool is_store_row(const struct router *router, const struct Nl__Row *row)
{
	if (row->kind != NL__KIND__SERVICE || !row->addr[0])
		return false;
	return router->config.route_table->store_count ? !row->store_bytes_per_ms
						       : row->store_bytes_per_ms != 0;
}

static bool is_server_row(const struct router *router, const struct Nl__Row *row)
{
	return row->kind == NL__KIND__SERVER && !router->config.bounds.use_endpoint_list;
}

static uint32_t store_index(struct router *router, const struct Nl__Row *row, apr_pool_t *pool)
{
	return names_find_or_add(&router->names.servers, apr_pstrcat(pool, "store:", row->name, NULL));
}

/* Assigns indices to all servers, so that the table can be sized. */
static void assign_server_indices(struct router *router, apr_pool_t *pool)
{
	const struct config_table *table = &router->config.watch.table;
	const struct instances *instances = &router->config.watch.instances;

	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;

		if (is_server_row(router, row))
			names_find_or_add(&router->names.servers, row->name);
		else if (is_store_row(router, row))
			store_index(router, row, pool);
	}
	for (ptrdiff_t i = 0; router->config.bounds.use_endpoint_list && i < shlen(instances->rows); i++)
		if (instances->rows[i].value.instance->state != INSTANCE_REMOVED)
			names_find_or_add(&router->names.servers, instances->rows[i].key);
}

/* Extends the router's arrays of servers to the new server count. */
static void extend_server_arrays(struct router *router, uint32_t server_count)
{
	while (arrlen(router->servers.states) < (ptrdiff_t)server_count) {
		uint32_t server_index = (uint32_t)arrlen(router->servers.states);
		uint64_t hash = core_hash_string(SERVER_HASH_SEED, router->names.servers.names[server_index]);
		struct router_server_state state;

		memset(&state, 0, sizeof state);
		arrput(router->servers.name_hashes, hash);
		hmput(router->servers.by_name_hash, hash, server_index);
		arrput(router->servers.states, state);
	}
}

/* Adds a server to the table. A server whose service is not in the route table is left out, since the service
 * has no index in the router's arrays. */
static void add_server(struct router *router, struct server_table *servers, uint32_t server_index,
		       const char *service, struct server_config config)
{
	int service_index = names_find(&router->names.services, service);

	if (service_index < 0 || (uint32_t)service_index >= router->config.route_table->service_count)
		return;
	config.is_configured = true;
	config.service_index = (uint32_t)service_index;
	config.packed_addr = core_parse_addr(config.addr);
	config.addr = apr_pstrdup(servers->pool, config.addr);
	servers->servers[server_index] = config;
}

static void add_config_row(struct router *router, struct server_table *servers, const struct Nl__Row *row)
{
	struct server_config config = { .addr = row->addr, .zone_hash = core_hash_string(0, row->zone) };

	if (is_server_row(router, row)) {
		config.is_draining = row->state != 0;
		add_server(router, servers, names_find_or_add(&router->names.servers, row->name),
			   row->service, config);
	} else if (is_store_row(router, row)) {
		config.is_store = true;
		add_server(router, servers, store_index(router, row, servers->pool), row->name, config);
	}
}

/* Records a server's state from the endpoint list. Weights that the server itself has reported since take
 * precedence. */
static void record_instance(struct router *router, uint32_t server_index, const struct Nl__Instance *instance,
			    int64_t now)
{
	struct router_server_state *server = &router->servers.states[server_index];
	int weights_index = -1;

	if (instance->weights[0] && strlen(instance->weights) < MAX_WEIGHTS_NAME_BYTES)
		weights_index = (int)names_find_or_add(&router->names.weights, instance->weights);
	if (weights_index < 0 && !server->is_described)
		server->weights_index =
		    names_find_or_add(&router->names.weights, ""); /* unknown weights count as the oldest */
	if (weights_index >= 0 &&
	    (!server->is_described || server->endpoint_list_weights != (uint32_t)weights_index)) {
		router_weights_record(router, server_index, (uint32_t)weights_index);
		server->endpoint_list_weights = (uint32_t)weights_index;
	}
	if (!server->is_described)
		server->unavailable_until_ms =
		    now + (instance->warm_up_ms > MAX_WARM_UP_MS ? MAX_WARM_UP_MS : instance->warm_up_ms);
	server->is_described = true;
	server->is_loading = instance->loading;
	server->slots = instance->slots ? (int)instance->slots : 1;
}

static void add_instance(struct router *router, struct server_table *servers, const char *name,
			 const struct Nl__Instance *instance, int64_t now)
{
	struct server_config config = { .addr = instance->addr,
					.zone_hash = core_hash_string(0, instance->zone) };
	int server_index = names_find(&router->names.servers, name);

	if (server_index < 0 || instance->state == INSTANCE_REMOVED)
		return;
	config.is_draining = instance->state != INSTANCE_SERVING;
	add_server(router, servers, (uint32_t)server_index, instance->service, config);
	record_instance(router, (uint32_t)server_index, instance, now);
}

/* Removes the index entries of servers that are no longer in the table: their incarnation has ended, and its
 * cache with it. */
static void drop_blocks_of_removed_servers(struct router *router, const struct server_table *servers)
{
	const struct server_table *old_table = router->config.server_table;

	for (uint32_t i = 0; old_table && i < old_table->server_count; i++)
		if (old_table->servers[i].is_configured && !servers->servers[i].is_configured)
			prefix_index_remove_unreported(&router->cache.index, i, UINT64_MAX);
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
	assign_server_indices(router, pool);
	servers->server_count = (uint32_t)arrlen(router->names.servers.names);
	servers->servers = apr_pcalloc(pool, (servers->server_count + 1) * sizeof *servers->servers);
	extend_server_arrays(router, servers->server_count);
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		add_config_row(router, servers, table->rows[i].value.row);
	for (ptrdiff_t i = 0; router->config.bounds.use_endpoint_list && i < shlen(instances->rows); i++)
		add_instance(router, servers, instances->rows[i].key, instances->rows[i].value.instance, now);
	drop_blocks_of_removed_servers(router, servers);
	return servers;
}
