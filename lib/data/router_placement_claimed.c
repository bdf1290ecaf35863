/* router_place_claimed: selects the server for a request of the product's own interface, the cached
 * blocks that it reuses there, and what it fetches from which other server or store. Saved prefill time is
 * weighed against the server's load, and fetch time against prefill time. router_placement_forwarded.c does
 * the same for forwarded requests. */
#include "router_internal.h"

#include "containers.h"

/* A fetch this short does not distinguish a slow link from a process that was not scheduled. */
enum { SHORT_FETCH_MS = 20 };

/* Whether one tenant may use blocks that were cached for another. */
static bool may_share_blocks(const struct route_table *routes, uint32_t owner_tenant, uint32_t user_tenant)
{
	if (owner_tenant == user_tenant)
		return true;
	return !routes->tenants[owner_tenant].is_isolated && !routes->tenants[user_tenant].is_isolated &&
	       routes->tenants[owner_tenant].is_configured;
}

const struct block_replica *router_usable_replica(struct router *router, const struct client_request *request,
						  uint64_t block_hash, uint32_t server_index,
						  uint32_t weights)
{
	const struct route_table *routes = router->config.route_table;
	uint32_t service_index = request->route.service_index;
	struct block_replica *replicas = prefix_index_find(&router->cache.index, block_hash);

	for (ptrdiff_t i = 0; i < arrlen(replicas); i++) {
		const struct block_replica *replica = &replicas[i];

		if (replica->server_index != server_index || replica->weights_index != weights ||
		    replica->tenant_index >= routes->tenant_count)
			continue;
		if (!may_share_blocks(routes, replica->tenant_index, request->route.tenant_index))
			continue;
		if (purge_view_allows(&router->relay.view, router->names.services.names[service_index],
				      router->names.weights.names[weights],
				      router->names.tenants.names[replica->tenant_index],
				      router->names.servers.names[server_index], replica->stamp_tick) &&
		    router_allows_context(router, service_index, replica->tenant_index, block_hash,
					  replica->stamp_tick))
			return replica;
	}
	return NULL;
}

/* Number of leading prompt blocks that a server caches and the request may use. */
static int cached_prefix_blocks(struct router *router, const struct client_request *request,
				uint32_t server_index, uint32_t weights)
{
	int n = 0;

	while (n < request->prompt.block_count &&
	       router_usable_replica(router, request, request->prompt.block_hash[n], server_index, weights))
		n++;
	return n;
}

/* ---- link speed ------------------------------------------------------------------------------ */

/* How much slower than configured the link between two servers was observed to be, as a factor of at least 1.
 * It is halved for each half-life since the observation. */
static double link_slowdown(struct router *router, uint32_t source, uint32_t target, int64_t now)
{
	ptrdiff_t i = hmgeti(router->servers.links, (uint64_t)source << 32 | target);
	int64_t age_ms = i < 0 ? 0 : now - router->servers.links[i].value.observed_at_ms;
	double slowdown = i < 0 ? 1 : router->servers.links[i].value.slowdown;

	for (; age_ms >= ROUTER_LINK_SLOWDOWN_HALF_LIFE_MS && slowdown > 1;
	     age_ms -= ROUTER_LINK_SLOWDOWN_HALF_LIFE_MS)
		slowdown /= 2;
	return slowdown < 1 ? 1 : slowdown;
}

void router_record_fetch(struct router *router, const struct client_request *request, int64_t took_ms,
			 int fetched_blocks, int64_t now)
{
	const struct request_attempt *attempt = &request->attempt;
	uint64_t link = (uint64_t)attempt->fetch_source_index << 32 | (uint32_t)attempt->server_index;
	double slowdown = ROUTER_LINK_SLOWDOWN_MAX;

	if (fetched_blocks && took_ms > 0)
		slowdown = (double)took_ms / (attempt->expected_fetch_ms ? attempt->expected_fetch_ms : 1);
	if (took_ms <= SHORT_FETCH_MS && fetched_blocks)
		slowdown = 1;
	if (slowdown > ROUTER_LINK_SLOWDOWN_MAX)
		slowdown = ROUTER_LINK_SLOWDOWN_MAX;
	hmput(router->servers.links, link, ((typeof(router->servers.links->value)){ slowdown, now }));
}

/* ---- server selection ------------------------------------------------------------------------ */

static int running_count(const struct router_server_state *server)
{
	return server->others_running_count + server->own_running_count;
}

static double expected_queue_ms(const struct router_server_state *server)
{
	return server->average_request_ms * running_count(server) / server->slots;
}

static bool is_eligible(const struct router *router, const struct client_request *request,
			uint32_t server_index, int64_t now)
{
	const struct server_config *config = server_config_of(router, server_index);
	const struct router_server_state *server = &router->servers.states[server_index];

	return !config->is_store && config->service_index == request->route.service_index &&
	       !router_avoids_server(request, server_index, now) &&
	       router_server_is_serving(router, server_index, now) && running_count(server) < server->slots;
}

/* Whether a server can fetch blocks from another server or from the store (source). */
static bool can_fetch_from(const struct router *router, const struct client_request *request, uint32_t source,
			   uint32_t server_index, int64_t now)
{
	const struct server_config *config = server_config_of(router, source);

	if (source == server_index || config->service_index != request->route.service_index)
		return false;
	if (!config->is_store && router->servers.states[source].weights_index !=
				     router->servers.states[server_index].weights_index)
		return false;
	return router_server_is_serving(router, source, now);
}

/* Adds the cheapest fetch to a plan, if one is quicker than prefill. */
static void plan_fetch(struct router *router, const struct client_request *request, struct plan *plan,
		       double prefill_ms, int64_t now)
{
	const struct service_config *service =
	    &router->config.route_table->services[request->route.service_index];
	uint32_t server_index = (uint32_t)plan->server_index;
	const struct router_server_state *server = &router->servers.states[server_index];

	for (uint32_t source = 0; source < router->config.server_table->server_count; source++) {
		bool is_store = server_config_of(router, source)->is_store;
		double bytes_per_ms = is_store ? service->store_bytes_per_ms : service->link_bytes_per_ms,
		       saved, fetch_ms, cost_ms;
		int blocks;

		if (!bytes_per_ms || !can_fetch_from(router, request, source, server_index, now))
			continue;
		blocks = cached_prefix_blocks(router, request, source, server->weights_index);
		if (blocks <= plan->cached_blocks)
			continue;
		saved = (double)(router_tokens_of_blocks(request, blocks) -
				 router_tokens_of_blocks(request, plan->cached_blocks));
		fetch_ms = saved * service->kv_bytes_per_token / bytes_per_ms;
		cost_ms = fetch_ms * link_slowdown(router, source, server_index, now);
		saved /= service->prefill_tokens_per_ms;
		if (cost_ms < saved &&
		    prefill_ms - saved + cost_ms < plan->cost_ms - expected_queue_ms(server)) {
			plan->cost_ms = prefill_ms - saved + cost_ms + expected_queue_ms(server);
			plan->fetch_source = (int)source;
			plan->blocks_after_fetch = blocks;
			plan->fetch_ms = fetch_ms;
		}
	}
}

/* Computes the plan and its cost for sending a request to a server. */
static struct plan evaluate_server(struct router *router, const struct client_request *request,
				   uint32_t server_index, int64_t now)
{
	const struct service_config *service =
	    &router->config.route_table->services[request->route.service_index];
	const struct router_server_state *server = &router->servers.states[server_index];
	struct plan plan = { .server_index = (int)server_index, .fetch_source = -1 };
	bool may_reuse_blocks = relay_is_current(&router->relay, now);
	double prefill_ms = 0;

	if (may_reuse_blocks)
		plan.cached_blocks =
		    cached_prefix_blocks(router, request, server_index, server->weights_index);
	if (!router->naive_placement)
		prefill_ms = (double)(router_prompt_tokens(request) -
				      router_tokens_of_blocks(request, plan.cached_blocks)) /
			     service->prefill_tokens_per_ms;
	plan.cost_ms = prefill_ms + expected_queue_ms(server);
	if (may_reuse_blocks && !router->naive_placement && plan.cached_blocks < request->prompt.block_count)
		plan_fetch(router, request, &plan, prefill_ms, now);
	return plan;
}

/* Compares plans by cost. Ties are broken by rendezvous hashing, so that routers choose different servers. */
static bool is_better_plan(const struct router *router, const struct client_request *request,
			   const struct plan *plan, const struct plan *best)
{
	uint64_t key = request->sequence ^ router->id;

	if (best->server_index < 0 || plan->cost_ms < best->cost_ms)
		return true;
	return plan->cost_ms == best->cost_ms &&
	       core_rendezvous_weight(key, (uint64_t)plan->server_index) >
		   core_rendezvous_weight(key, (uint64_t)best->server_index);
}

struct plan router_place_claimed(struct router *router, const struct client_request *request, int64_t now)
{
	struct plan best = { .server_index = -1, .fetch_source = -1 };

	for (uint32_t i = 0; i < router->config.server_table->server_count; i++) {
		struct plan plan;

		if (!is_eligible(router, request, i, now))
			continue;
		plan = evaluate_server(router, request, i, now);
		if (is_better_plan(router, request, &plan, &best))
			best = plan;
	}
	return best;
}
