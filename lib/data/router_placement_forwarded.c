/* router_placement: which server a forwarded request goes to, and what is fetched from where.
 * It goes where its prefix is kept, or to the prefix's home; elsewhere only where the wait there is so long
 * that it pays to move the prefix, and then with a fetch. Reading again what is kept somewhere is the dearest
 * of all. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

/* The name under which kept parts are filed at servers. It says all that decides who may use them again: the
 * weights, the walls, and the purges that the view knows of. So a server finds no part that was made under
 * other weights or behind a wall, whatever it keeps; and a purge that is known here makes what was filed
 * before it unreachable from here. A scope with a retention row of its own has cache namespaces of its own,
 * and every clearing that covers a cache_namespace's slice gives it a new name. */
const char *router_cache_namespace(struct router *router, const struct client_request *request,
				   uint32_t weights, apr_pool_t *pool)
{
	const struct route_table *routes = router->config.route_table;
	uint32_t service = request->route.service_index, tenant = request->route.tenant_index;
	const char *weights_name = router->names.weights.names[weights], *name;
	uint64_t namespace_key = router_namespace_key(router, request);
	uint64_t cut = purge_view_tick(&router->relay.view, PURGE_WEIGHTS,
				       router->names.services.names[service], weights_name);
	uint64_t age = core_rendezvous_weight(routes->isolation_hash ^ router->cache.isolation_tick, cut);

	name = apr_psprintf(pool, "%s-%" APR_UINT64_T_HEX_FMT "%s%s", weights_name, age & 0xffffffff,
			    routes->tenants[tenant].isolated ? "-" : "",
			    routes->tenants[tenant].isolated ? router->names.tenants.names[tenant] : "");
	return namespace_key ? apr_psprintf(pool, "%s~%016" APR_UINT64_T_HEX_FMT, name, namespace_key) : name;
}

uint64_t router_block_key(uint64_t cache_namespace, uint64_t id)
{
	return core_rendezvous_weight(cache_namespace, id);
}

/* The part that a request shares with others: the last one is its own. */
uint64_t router_home_block(const struct client_request *request)
{
	return request->prompt.block_count > 1 ? request->prompt.block_hash[request->prompt.block_count - 2]
	       : request->prompt.block_count   ? request->prompt.block_hash[0]
					       : request->sequence;
}

static int shared_block_count(const struct client_request *request)
{
	return request->prompt.block_count > 1 ? request->prompt.block_count - 1
					       : request->prompt.block_count;
}

/* The store that a prefix is left at, if any: of several always the same. -1: there is none. */
int router_store_of(const struct router *router, const struct client_request *request)
{
	const struct route_table *routes = router->config.route_table;

	if (!mechanism_on(router->config.bounds.disabled_mechanisms, MECHANISM_OFFLOAD_STORE))
		return -1;
	return routes->store_count ? routes->stores[core_rendezvous_weight(61, router_home_block(request)) %
						    routes->store_count]
				   : routes->services[request->route.service_index].store_server;
}

enum { ALTERNATIVES = 3 };

/* What one decision goes by. */
struct placement {
	const struct client_request *request;
	const struct service_config *service;
	int64_t now;
	int home_server, store_server;  /* servers; -1: none */
	int alternatives[ALTERNATIVES]; /* other servers that are weighed */
	int shared_blocks;              /* leading parts that others have too */
	int purge_view_current;         /* the purge view is: parts may be reused */
	double all_tokens;
	struct generation generations[MAX_GENERATIONS];
	int generation_count;
};

/* A server that it may go to. Times in ms. */
struct candidate {
	struct plan plan;
	double read_ms;
};

static int is_open(const struct router *router, const struct client_request *request, uint32_t server_index,
		   int64_t now)
{
	const struct server_config *server = &router->config.server_table->servers[server_index];

	return server->is_configured && !server->is_store &&
	       server->service_index == request->route.service_index &&
	       !router_avoids_server(request, server_index, now) &&
	       router_server_is_serving(router, server_index, now);
}

/* ---- candidates ------------------------------------------------------------------------------------ */

/* The server that rendezvous hashing names for a prefix, so that all routers name the same. While it does not
 * stand, the next in an order that does not change while others load, fall or rise; those with the newest
 * weights go first, since what is read there is of use when the others have them too. -1: none stands. */
static int home_server(struct router *router, const struct client_request *request, int64_t now)
{
	uint32_t newest = router->config.route_table->services[request->route.service_index].target_weights;
	uint64_t block = mechanism_on(router->config.bounds.disabled_mechanisms, MECHANISM_HOMES)
			     ? router_home_block(request)
			     : core_hash_string(67, request->client.request_id);
	uint64_t first_weight = 0, best_weight = 0;
	int home = -1, is_target = -1, best = -1;

	for (uint32_t s = 0; s < router->config.server_table->server_count; s++) {
		const struct server_config *config = &router->config.server_table->servers[s];
		uint64_t weight;
		int on_target;

		if (!config->is_configured || config->is_store || config->draining ||
		    config->service_index != request->route.service_index ||
		    router_avoids_server(request, s, now))
			continue;
		weight = core_rendezvous_weight(block, router->servers.hashes[s]);
		if (best < 0 || weight > first_weight) {
			best = (int)s;
			first_weight = weight;
		}
		if (!router_server_is_serving(router, s, now))
			continue;
		on_target = router->servers.states[s].weights == newest;
		if (home < 0 || on_target > is_target || (on_target == is_target && weight > best_weight)) {
			home = (int)s;
			is_target = on_target;
			best_weight = weight;
		}
	}
	return best >= 0 && router_server_is_serving(router, (uint32_t)best, now) ? best : home;
}

/* Where else it may go: a few that the request's own id names. All routers see the same load, some 50 ms old
 * or more; if each took the idlest of all, they would take the same one together. */
static void find_choices(const struct router *router, struct placement *placement)
{
	uint64_t top[ALTERNATIVES] = { 0 }, id = core_hash_string(53, placement->request->client.request_id);

	for (int k = 0; k < ALTERNATIVES; k++)
		placement->alternatives[k] = -1;
	for (uint32_t s = 0; s < router->config.server_table->server_count; s++) {
		uint64_t w;

		if (!is_open(router, placement->request, s, placement->now))
			continue;
		w = core_rendezvous_weight(id, router->servers.hashes[s]);
		for (int k = 0; k < ALTERNATIVES; k++)
			if (placement->alternatives[k] < 0 || w > top[k]) {
				for (int j = ALTERNATIVES - 1; j > k; j--) {
					placement->alternatives[j] = placement->alternatives[j - 1];
					top[j] = top[j - 1];
				}
				placement->alternatives[k] = (int)s;
				top[k] = w;
				break;
			}
	}
}

int router_candidates(struct router *router, const struct client_request *request, uint32_t *server_indices,
		      int64_t now)
{
	struct placement placement = { .request = request,
				       .now = now,
				       .home_server = home_server(router, request, now) };
	int n = 0;

	if (placement.home_server >= 0)
		server_indices[n++] = (uint32_t)placement.home_server;
	find_choices(router, &placement);
	for (int k = 0; k < ALTERNATIVES && n < MAX_CANDIDATES; k++)
		if (placement.alternatives[k] >= 0 && placement.alternatives[k] != placement.home_server)
			server_indices[n++] = (uint32_t)placement.alternatives[k];
	return n;
}

static int is_candidate(const struct router *router, const struct placement *placement, uint32_t server_index)
{
	if (router->servers.cached_depth[server_index] >= placement->shared_blocks ||
	    (int)server_index == placement->home_server)
		return 1;
	for (int k = 0; k < ALTERNATIVES; k++)
		if (placement->alternatives[k] == (int)server_index)
			return 1;
	return 0;
}

/* ---- what is kept where ---------------------------------------------------------------------------- */

/* The deepest holder of the prefix among servers with these weights. -1: nobody is known to keep any. */
static int deepest_cache_server(const struct router *router, const struct placement *placement,
				uint32_t weights)
{
	int deep = -1;

	for (uint32_t server_index = 0; server_index < router->config.server_table->server_count;
	     server_index++) {
		const struct server_config *config = &router->config.server_table->servers[server_index];

		if (!router->servers.cached_depth[server_index] ||
		    config->service_index != placement->request->route.service_index || config->is_store ||
		    router->servers.states[server_index].weights != weights)
			continue;
		if (deep >= 0 &&
		    (router->servers.cached_depth[server_index] < router->servers.cached_depth[deep] ||
		     (router->servers.cached_depth[server_index] == router->servers.cached_depth[deep] &&
		      router->servers.states[deep].own_running <=
			  router->servers.states[server_index].own_running)))
			continue;
		if (router_server_is_serving(router, server_index, placement->now))
			deep = (int)server_index;
	}
	return deep;
}

/* Of each generation the server to fetch from: servers' links are many, the store's is one, so it is asked
 * for what none keeps. */
static void find_sources(const struct router *router, struct placement *placement)
{
	int store_up = placement->store_server >= 0 &&
		       (uint32_t)placement->store_server < router->config.server_table->server_count &&
		       router->config.server_table->servers[placement->store_server].is_configured &&
		       router_server_is_serving(router, (uint32_t)placement->store_server, placement->now);

	for (int k = 0; k < placement->generation_count; k++) {
		struct generation *generation = &placement->generations[k];
		int cached_at = deepest_cache_server(router, placement, generation->weights);

		if (cached_at >= 0 &&
		    (!store_up || router->servers.cached_depth[cached_at] >= generation->store_depth ||
		     router->servers.cached_depth[cached_at] >= placement->shared_blocks)) {
			generation->fetch_source = cached_at;
			generation->source_depth = router->servers.cached_depth[cached_at];
		} else if (store_up && generation->store_depth) {
			generation->fetch_source = placement->store_server;
			generation->source_depth = generation->store_depth;
		}
	}
}

static const struct generation *generation_of(const struct placement *placement, uint32_t weights)
{
	for (int k = 0; k < placement->generation_count; k++)
		if (placement->generations[k].weights == weights)
			return &placement->generations[k];
	return NULL;
}

/* ---- cost ------------------------------------------------------------------------------------------ */

/* What goes to a server with older weights has to begin there before newer ones are due: in twice the time
 * that it is reckoned to wait, as the load that is known is older than the load it will meet. */
static int begins_in_time(const struct router *router, const struct placement *placement, uint32_t weights,
			  double wait_ms)
{
	return placement->now + (int64_t)(2 * wait_ms) <
	       router_weights_last_send(router, placement->request->route.service_index, weights,
					placement->now);
}

/* Fetch what the server lacks of the prefix, where that is quicker than to read it. */
static void plan_fetch(struct router *router, const struct placement *placement, struct candidate *candidate,
		       int source, int end)
{
	const struct client_request *request = placement->request;
	uint32_t server_index = (uint32_t)candidate->plan.server_index;
	double more = (double)(router_tokens_of_blocks(request, end) -
			       router_tokens_of_blocks(request, candidate->plan.cached_blocks));
	double move = router_transfer_ms(router, (uint32_t)source, server_index, more, placement->service);
	double ms =
	    move + ROUTER_FETCH_OVERHEAD_MS + router_link_wait_ms(router, (uint32_t)source, placement->now);

	if (ms >= ROUTER_FETCH_MAX_MS)
		return;
	candidate->plan.fetch_source = source;
	candidate->plan.fetch_end = end;
	candidate->plan.fetch_ms = ms;
	candidate->plan.transfer_ms = move;
	candidate->read_ms += ms - more / placement->service->prefill_tokens_per_ms;
}

/* What it costs to go to a server. 0: it cannot begin there in time. */
static int weigh(struct router *router, const struct placement *placement, struct candidate *candidate)
{
	const struct client_request *request = placement->request;
	uint32_t server_index = (uint32_t)candidate->plan.server_index,
		 weights = router->servers.states[server_index].weights;
	const struct generation *generation = generation_of(placement, weights);
	int source = generation ? generation->fetch_source : -1,
	    end = source >= 0 ? generation->source_depth : 0, cached_blocks = candidate->plan.cached_blocks;
	int is_home = (int)server_index == placement->home_server;

	if (source < 0 && placement->purge_view_current && !is_home &&
	    router->servers.states[placement->home_server].weights == weights) {
		source = placement->home_server;
		end = placement->shared_blocks; /* it has it, unless nobody asked there yet */
	}
	candidate->read_ms =
	    (placement->all_tokens - (double)router_tokens_of_blocks(request, cached_blocks)) /
	    placement->service->prefill_tokens_per_ms;
	if (!cached_blocks && is_home && source < 0)
		candidate->read_ms -=
		    0.7 * (double)router_tokens_of_blocks(request, placement->shared_blocks) /
		    placement->service->prefill_tokens_per_ms; /* others will have sent it here */
	if (source >= 0 && source != (int)server_index && end > cached_blocks &&
	    placement->service->link_bytes_per_ms &&
	    mechanism_on(router->config.bounds.disabled_mechanisms, MECHANISM_FETCH))
		plan_fetch(router, placement, candidate, source, end);
	candidate->plan.cost_ms =
	    candidate->read_ms + router_load_ms(router, server_index, placement->service, placement->now);
	if (!begins_in_time(router, placement, weights, candidate->plan.cost_ms))
		return 0;
	if (cached_blocks < placement->shared_blocks &&
	    (!is_home || (source >= 0 && source != placement->store_server && source != (int)server_index)))
		candidate->plan.cost_ms +=
		    ROUTER_UNCACHED_SERVER_COST_MS +
		    ROUTER_UNCACHED_COST_MS_PER_1000_TOKENS *
			(double)(router_tokens_of_blocks(request, placement->shared_blocks) -
				 router_tokens_of_blocks(request, cached_blocks)) /
			1000;
	return 1;
}

/* ---- the decision ---------------------------------------------------------------------------------- */

static int placement_begin(struct router *router, struct placement *placement,
			   const struct client_request *request, int64_t now)
{
	*placement = (struct placement){
		.request = request,
		.service = &router->config.route_table->services[request->route.service_index],
		.now = now,
		.home_server = home_server(router, request, now),
		.store_server = router_store_of(router, request),
		.shared_blocks = shared_block_count(request),
		.purge_view_current = relay_is_current(&router->relay, now),
		.all_tokens = (double)(router_tokens_of_blocks(request, request->prompt.block_count) +
				       request->prompt.tail_tokens),
	};
	if (placement->home_server < 0 || !placement->service->is_configured)
		return 0;
	if (placement->purge_view_current)
		placement->generation_count = router_generations(router, request, placement->generations);
	router_prefix_depths(router, request, placement->generations, placement->generation_count,
			     placement->store_server);
	find_sources(router, placement);
	find_choices(router, placement);
	return 1;
}

static enum decision_reason reason_of(const struct placement *placement, const struct plan *plan)
{
	if (placement->shared_blocks && plan->cached_blocks >= placement->shared_blocks)
		return DECISION_CACHED;
	if (plan->fetch_source >= 0)
		return DECISION_FETCH;
	if (plan->candidates == 1)
		return DECISION_ONLY;
	return plan->server_index == placement->home_server ? DECISION_HOME : DECISION_LOAD;
}

struct plan router_placement_forwarded(struct router *router, const struct client_request *request,
				       int64_t now)
{
	struct plan best = { .server_index = -1, .fetch_source = -1 };
	struct placement placement;
	uint32_t open = 0;

	if (!placement_begin(router, &placement, request, now))
		return best;
	for (uint32_t server_index = 0; server_index < router->config.server_table->server_count;
	     server_index++) {
		struct candidate candidate = { .plan = { .server_index = (int)server_index,
							 .cached_blocks =
							     router->servers.cached_depth[server_index],
							 .fetch_source = -1 } };

		if (!is_open(router, request, server_index, now) ||
		    !is_candidate(router, &placement, server_index) ||
		    !router_fits_server(router, request, server_index, candidate.plan.cached_blocks,
					placement.service, now))
			continue;
		if (!weigh(router, &placement, &candidate))
			continue;
		open++;
		if (best.server_index < 0 || candidate.plan.cost_ms < best.cost_ms)
			best = candidate.plan;
	}
	best.candidates = open;
	if (best.server_index >= 0)
		best.reason = reason_of(&placement, &best);
	return best;
}

/* The store, where the prefix is to be left once it is read there: it is up and not known to have it. 0: not.
 */
uint64_t router_offload_target(struct router *router, const struct client_request *request,
			       uint64_t cache_namespace, int64_t now)
{
	int store = router_store_of(router, request), shared = shared_block_count(request);

	if (store < 0 || (uint32_t)store >= router->config.server_table->server_count ||
	    !router->config.server_table->servers[store].is_configured ||
	    !router_server_is_serving(router, (uint32_t)store, now))
		return 0;
	if (router_link_wait_ms(router, (uint32_t)store, now) > ROUTER_OFFLOAD_MAX_LINK_WAIT_MS)
		return 0;
	/* its own part would go there too and push shared ones out: one that brings little of it will come */
	if ((request->prompt.total_tokens - router_tokens_of_blocks(request, shared)) * 3ull >
	    router_tokens_of_blocks(request, shared))
		return 0;
	for (int i = 0; i < shared; i++) {
		struct block_replica *replica = prefix_index_find(
		    &router->cache.index, router_block_key(cache_namespace, request->prompt.block_hash[i]));
		int there = 0;

		for (ptrdiff_t k = 0; k < arrlen(replica) && !there; k++)
			there = replica[k].server_index == (uint32_t)store;
		if (!there)
			return router->config.server_table->servers[store].packed_addr;
	}
	return 0;
}
