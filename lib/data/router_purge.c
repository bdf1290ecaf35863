/* router_purge: removes block replicas from the prefix index as purges arrive with the purge stream. Blocks
 * that were cached before the purge's tick are dropped. Blocks that were cached later, under the purged
 * state, are kept. */
#include "router_internal.h"

#include <string.h>

struct purge_match {
	struct router *router;
	const struct Nl__Value *value;
};

static bool is_purged(const void *context, uint64_t block_hash, const struct block_replica *replica)
{
	const struct purge_match *match = context;
	const struct Nl__Purge *purge = match->value->purge;
	const struct router *router = match->router;

	if (replica->stamp_tick >= match->value->tick)
		return false;
	switch (purge->reason) {
	case PURGE_WEIGHTS:
		return !strcmp(router->names.services.names[replica->service_index], purge->service) &&
		       !strcmp(router->names.weights.names[replica->weights_index], purge->weights);
	case PURGE_CONTEXT: /* for forwarded requests the purge renames the namespace; the old blocks are
			       removed when servers report their eviction */
		return !router->config.bounds.use_endpoint_list &&
		       !router_allows_context(router, replica->service_index, replica->tenant_index,
					      block_hash, replica->stamp_tick);
	case PURGE_TENANT:
		return !strcmp(router->names.tenants.names[replica->tenant_index], purge->tenant);
	default:
		return !strcmp(router->names.servers.names[replica->server_index], purge->server);
	}
}

void router_on_purge_value(void *context, const struct Nl__Value *value)
{
	struct router *router = context;
	struct purge_match match = { router, value };

	if (value->purge && value->purge->reason == PURGE_TENANT &&
	    value->tick > router->cache.isolation_tick)
		router->cache.isolation_tick = value->tick;
	if (value->purge && value->purge->reason == PURGE_CONTEXT)
		router_on_context_purge(router, value, router->clock.now_ms);
	prefix_index_remove_if(&router->cache.index, is_purged, &match);
}
