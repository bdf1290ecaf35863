/* router_namespace: cache namespaces, the names under which servers cache the blocks of forwarded requests. A
 * name contains everything that decides who may reuse a block: the weights, the isolation of tenants, and the
 * purges in the purge view. So a server never finds a block that was made with other weights or for an
 * isolated tenant, whatever it caches; and once this router has received a purge, its requests cannot reach
 * blocks that were cached before the purge. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

enum { NAMESPACE_KEY_TEXT_LENGTH = 17 }; /* length of '~' and 16 hexadecimal digits at the end of a name */

/* A scope with its own retention row has its own namespaces, and each purge that covers a namespace's slice
 * renames the namespace. */
const char *router_cache_namespace(struct router *router, const struct client_request *request,
				   uint32_t weights, apr_pool_t *pool)
{
	const struct route_table *routes = router->config.route_table;
	uint32_t service_index = request->route.service_index, tenant_index = request->route.tenant_index;
	const char *weights_name = router->names.weights.names[weights], *name;
	uint64_t namespace_key = router_namespace_key(router, request);
	uint64_t purged_tick = purge_view_tick(&router->relay.view, PURGE_WEIGHTS,
					       router->names.services.names[service_index], weights_name);
	uint64_t purge_state_hash =
	    core_rendezvous_weight(routes->isolation_hash ^ router->cache.isolation_tick, purged_tick);

	name = apr_psprintf(
	    pool, "%s-%" APR_UINT64_T_HEX_FMT "%s%s", weights_name, purge_state_hash & 0xffffffff,
	    routes->tenants[tenant_index].is_isolated ? "-" : "",
	    routes->tenants[tenant_index].is_isolated ? router->names.tenants.names[tenant_index] : "");
	return namespace_key ? apr_psprintf(pool, "%s~%016" APR_UINT64_T_HEX_FMT, name, namespace_key) : name;
}

uint64_t router_block_key(uint64_t cache_namespace, uint64_t block_hash)
{
	return core_rendezvous_weight(cache_namespace, block_hash);
}

uint64_t router_namespace_key(struct router *router, const struct client_request *request)
{
	int scope = router_find_cache_scope(router->config.route_table, request->route.index,
					    request->route.tenant_index);
	uint64_t hash = scope < 0 ? 0 : router->config.route_table->scopes[scope].hash;

	return hash << 32 |
	       (router_purge_generation(router, scope, PURGE_SLICE(router_home_block_hash(request))) &
		UINT32_MAX);
}

uint64_t router_namespace_key_from_text(const char *cache_namespace)
{
	const char *separator = strrchr(cache_namespace, '~');

	return separator && strlen(separator) == NAMESPACE_KEY_TEXT_LENGTH ? strtoull(separator + 1, NULL, 16)
									   : 0;
}
