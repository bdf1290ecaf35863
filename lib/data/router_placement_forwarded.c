/* router_place_forwarded: selects the server for a forwarded request, and what it fetches from which
 * other server or store. A request is sent to a server that caches its prefix, or to the prefix's home
 * server, which rendezvous hashing (Thaler and Ravishankar 1998) selects. It is sent elsewhere, with a fetch
 * of the prefix, only if the wait at those servers costs more than moving the prefix. The most expensive
 * choice is to prefill a prefix again that is cached at some server. */
#include "router_internal.h"

#include "containers.h"

enum {
	/* servers that are weighed in addition to the home and to those that cache the prefix */
	ALTERNATIVE_COUNT = 3,
	HOME_HASH_SEED = 67,
	STORE_HASH_SEED = 61,
	ALTERNATIVES_HASH_SEED = 53,
	/* minimum ratio of shared tokens to the request's own tokens for an offload */
	OFFLOAD_MIN_SHARED_RATIO = 3
};

/* Expected share of a prefix that other requests will have sent to its home by the time this request is
 * prefilled there. */
#define HOME_EXPECTED_CACHED_SHARE 0.7

/* Inputs of one placement decision. */
struct placement {
	const struct client_request *request;
	const struct service_config *service;
	int64_t now;
	int home_server; /* -1: no server can be the home */
	int store_server;
	int alternatives[ALTERNATIVE_COUNT];
	int shared_blocks;          /* leading blocks that other requests may share */
	bool is_purge_view_current; /* the purge view is current, so cached blocks may be reused */
	double prompt_tokens;
	struct generation generations[MAX_WEIGHTS_GENERATIONS];
	int generation_count;
};

/* A server that the request may be sent to. */
struct candidate {
	struct plan plan;
	double prefill_ms; /* prefill time, including the fetch */
};

int router_store_of(const struct router *router, const struct client_request *request)
{
	const struct route_table *routes = router->config.route_table;

	if (!mechanism_in_use(router, MECHANISM_OFFLOAD_STORE))
		return -1;
	if (!routes->store_count)
		return routes->services[request->route.service_index].store_server_index;
	return routes
	    ->store_server_indices[core_rendezvous_weight(STORE_HASH_SEED, router_home_block_hash(request)) %
				   routes->store_count];
}

static bool is_eligible(const struct router *router, const struct client_request *request,
			uint32_t server_index, int64_t now)
{
	const struct server_config *config = server_config_of(router, server_index);

	return config->is_configured && !config->is_store &&
	       config->service_index == request->route.service_index &&
	       !router_avoids_server(request, server_index, now) &&
	       router_server_is_serving(router, server_index, now);
}

/* ---- candidates ------------------------------------------------------------------------------ */

/* The hash that selects a request's home server. */
static uint64_t home_hash_of(const struct router *router, const struct client_request *request)
{
	if (mechanism_in_use(router, MECHANISM_HOMES))
		return router_home_block_hash(request);
	return core_hash_string(HOME_HASH_SEED, request->client.request_id);
}

/* Whether a server could be a request's home if it were serving. */
static bool may_be_home(const struct router *router, const struct client_request *request,
			uint32_t server_index, int64_t now)
{
	const struct server_config *config = server_config_of(router, server_index);

	return config->is_configured && !config->is_store && !config->is_draining &&
	       config->service_index == request->route.service_index &&
	       !router_avoids_server(request, server_index, now);
}

/* The home server of a prefix, selected by rendezvous hashing, so that all routers select the same one. While
 * that server does not serve, the next one in hash order is used; this order does not change while other
 * servers load, fail or return. Among these, servers with the target weights are preferred, since blocks that
 * are prefilled there remain useful when the others have these weights too. -1: no server can be the home. */
static int select_home_server(struct router *router, const struct client_request *request, int64_t now)
{
	uint32_t target_weights =
	    router->config.route_table->services[request->route.service_index].target_weights_index;
	uint64_t home_hash = home_hash_of(router, request), first_hash_weight = 0, home_hash_weight = 0;
	int home = -1, home_has_target_weights = -1, first_choice = -1;

	for (uint32_t s = 0; s < router->config.server_table->server_count; s++) {
		uint64_t hash_weight;
		int has_target_weights;

		if (!may_be_home(router, request, s, now))
			continue;
		hash_weight = core_rendezvous_weight(home_hash, router->servers.name_hashes[s]);
		if (first_choice < 0 || hash_weight > first_hash_weight) {
			first_choice = (int)s;
			first_hash_weight = hash_weight;
		}
		if (!router_server_is_serving(router, s, now))
			continue;
		has_target_weights = router->servers.states[s].weights_index == target_weights;
		if (home < 0 || has_target_weights > home_has_target_weights ||
		    (has_target_weights == home_has_target_weights && hash_weight > home_hash_weight)) {
			home = (int)s;
			home_has_target_weights = has_target_weights;
			home_hash_weight = hash_weight;
		}
	}
	return first_choice >= 0 && router_server_is_serving(router, (uint32_t)first_choice, now)
		   ? first_choice
		   : home;
}

/* Inserts a server into the alternatives, which are in descending order of their rendezvous weight. */
static void insert_alternative(struct placement *placement, uint64_t *hash_weights, uint32_t server_index,
			       uint64_t hash_weight)
{
	for (int k = 0; k < ALTERNATIVE_COUNT; k++) {
		if (placement->alternatives[k] >= 0 && hash_weight <= hash_weights[k])
			continue;
		for (int j = ALTERNATIVE_COUNT - 1; j > k; j--) {
			placement->alternatives[j] = placement->alternatives[j - 1];
			hash_weights[j] = hash_weights[j - 1];
		}
		placement->alternatives[k] = (int)server_index;
		hash_weights[k] = hash_weight;
		return;
	}
}

/* Selects a few alternative servers by rendezvous hashing of the request id. All routers see the same load,
 * which is about 50 ms old or older; if each chose the least loaded of all servers, they would all choose the
 * same one at once. */
static void select_alternatives(const struct router *router, struct placement *placement)
{
	uint64_t hash_weights[ALTERNATIVE_COUNT] = { 0 },
		 request_id_hash =
		     core_hash_string(ALTERNATIVES_HASH_SEED, placement->request->client.request_id);

	for (int k = 0; k < ALTERNATIVE_COUNT; k++)
		placement->alternatives[k] = -1;
	for (uint32_t s = 0; s < router->config.server_table->server_count; s++)
		if (is_eligible(router, placement->request, s, placement->now))
			insert_alternative(
			    placement, hash_weights, s,
			    core_rendezvous_weight(request_id_hash, router->servers.name_hashes[s]));
}

int router_candidates(struct router *router, const struct client_request *request, uint32_t *server_indices,
		      int64_t now)
{
	struct placement placement = { .request = request,
				       .now = now,
				       .home_server = select_home_server(router, request, now) };
	int n = 0;

	if (placement.home_server >= 0)
		server_indices[n++] = (uint32_t)placement.home_server;
	select_alternatives(router, &placement);
	for (int k = 0; k < ALTERNATIVE_COUNT && n < MAX_CANDIDATES; k++)
		if (placement.alternatives[k] >= 0 && placement.alternatives[k] != placement.home_server)
			server_indices[n++] = (uint32_t)placement.alternatives[k];
	return n;
}

static bool is_candidate(const struct router *router, const struct placement *placement,
			 uint32_t server_index)
{
	if (router->servers.cached_block_counts[server_index] >= placement->shared_blocks ||
	    (int)server_index == placement->home_server)
		return true;
	for (int k = 0; k < ALTERNATIVE_COUNT; k++)
		if (placement->alternatives[k] == (int)server_index)
			return true;
	return false;
}

/* ---- fetch sources --------------------------------------------------------------------------- */

/* Whether a server is a better fetch source than another one: it caches more blocks, or the same number and
 * runs fewer requests of this router. */
static bool is_better_source(const struct router *router, uint32_t server_index, int other_server)
{
	int depth = router->servers.cached_block_counts[server_index];

	if (other_server < 0 || depth > router->servers.cached_block_counts[other_server])
		return true;
	return depth == router->servers.cached_block_counts[other_server] &&
	       router->servers.states[server_index].own_running_count <
		   router->servers.states[other_server].own_running_count;
}

/* The serving server with these weights that caches the longest part of the prefix. -1: none caches any of
 * it. */
static int deepest_cache_server(const struct router *router, const struct placement *placement,
				uint32_t weights)
{
	int deepest = -1;

	for (uint32_t s = 0; s < router->config.server_table->server_count; s++) {
		const struct server_config *config = server_config_of(router, s);

		if (!router->servers.cached_block_counts[s] ||
		    config->service_index != placement->request->route.service_index || config->is_store ||
		    router->servers.states[s].weights_index != weights)
			continue;
		if (is_better_source(router, s, deepest) &&
		    router_server_is_serving(router, s, placement->now))
			deepest = (int)s;
	}
	return deepest;
}

static bool is_store_serving(const struct router *router, const struct placement *placement)
{
	int store = placement->store_server;

	return store >= 0 && (uint32_t)store < router->config.server_table->server_count &&
	       server_config_of(router, (uint32_t)store)->is_configured &&
	       router_server_is_serving(router, (uint32_t)store, placement->now);
}

/* Selects the fetch source for each generation of weights. Servers have many links and the store has one, so
 * the store is used only for blocks that no server caches. */
static void select_fetch_sources(const struct router *router, struct placement *placement)
{
	bool is_store_up = is_store_serving(router, placement);

	for (int k = 0; k < placement->generation_count; k++) {
		struct generation *generation = &placement->generations[k];
		int server = deepest_cache_server(router, placement, generation->weights);
		int depth = server >= 0 ? router->servers.cached_block_counts[server] : 0;

		if (server >= 0 &&
		    (!is_store_up || depth >= generation->store_depth || depth >= placement->shared_blocks)) {
			generation->fetch_source = server;
			generation->source_depth = depth;
		} else if (is_store_up && generation->store_depth) {
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

/* ---- cost ------------------------------------------------------------------------------------ */

/* Whether a request would begin in time at a server with these weights: a server with older weights must
 * begin it before the newer weights are due. The expected wait is doubled, since the published load is older
 * than the load that the request will meet. */
static bool can_begin_in_time(const struct router *router, const struct placement *placement,
			      uint32_t weights, double wait_ms)
{
	int64_t last_send = router_weights_send_deadline_ms(router, placement->request->route.service_index,
							    weights, placement->now);

	return placement->now + (int64_t)(2 * wait_ms) < last_send;
}

/* Adds a fetch of the blocks that the server lacks to a candidate's plan, unless the fetch takes too long. */
static void plan_fetch(struct router *router, const struct placement *placement, struct candidate *candidate,
		       int source, int source_end)
{
	const struct client_request *request = placement->request;
	uint32_t server_index = (uint32_t)candidate->plan.server_index;
	double tokens = (double)(router_tokens_of_blocks(request, source_end) -
				 router_tokens_of_blocks(request, candidate->plan.cached_blocks));
	double transfer_ms =
	    router_transfer_ms(router, (uint32_t)source, server_index, tokens, placement->service);
	double fetch_ms = transfer_ms + ROUTER_FETCH_OVERHEAD_MS +
			  router_link_wait_ms(router, (uint32_t)source, placement->now);

	if (fetch_ms >= ROUTER_FETCH_MAX_MS)
		return;
	candidate->plan.fetch_source = source;
	candidate->plan.blocks_after_fetch = source_end;
	candidate->plan.fetch_ms = fetch_ms;
	candidate->plan.transfer_ms = transfer_ms;
	candidate->prefill_ms += fetch_ms - tokens / placement->service->prefill_tokens_per_ms;
}

/* Selects the server or store that a server fetches from: the source of its generation; otherwise the home
 * server, which caches the prefix unless no request has used it yet. -1: none. *source_end: leading blocks
 * that are cached there. */
static int fetch_source_for(const struct router *router, const struct placement *placement,
			    uint32_t server_index, int *source_end)
{
	uint32_t weights = router->servers.states[server_index].weights_index;
	const struct generation *generation = generation_of(placement, weights);
	bool is_home = (int)server_index == placement->home_server;

	*source_end = 0;
	if (generation && generation->fetch_source >= 0) {
		*source_end = generation->source_depth;
		return generation->fetch_source;
	}
	if (!placement->is_purge_view_current || is_home ||
	    router->servers.states[placement->home_server].weights_index != weights)
		return -1;
	*source_end = placement->shared_blocks;
	return placement->home_server;
}

/* The cost of evicting other cached blocks at a server that adds the prefix to its cache. It applies to
 * prefill away from the home and away from servers that cache the prefix. */
static double eviction_ms(const struct placement *placement, const struct candidate *candidate, int source)
{
	const struct client_request *request = placement->request;
	int server = candidate->plan.server_index, cached_blocks = candidate->plan.cached_blocks;
	bool is_home = server == placement->home_server,
	     fetches_from_peer = source >= 0 && source != placement->store_server && source != server;
	uint64_t missing_tokens;

	if (cached_blocks >= placement->shared_blocks || (is_home && !fetches_from_peer))
		return 0;
	missing_tokens = router_tokens_of_blocks(request, placement->shared_blocks) -
			 router_tokens_of_blocks(request, cached_blocks);
	return ROUTER_PREFIX_NOT_CACHED_COST_MS +
	       ROUTER_UNCACHED_COST_MS_PER_1000_TOKENS * (double)missing_tokens / 1000;
}

/* Computes the cost of a candidate. false: the request could not begin there in time. */
static bool evaluate_server(struct router *router, const struct placement *placement,
			    struct candidate *candidate)
{
	const struct client_request *request = placement->request;
	const struct service_config *service = placement->service;
	uint32_t server_index = (uint32_t)candidate->plan.server_index;
	int cached_blocks = candidate->plan.cached_blocks, source_end;
	int source = fetch_source_for(router, placement, server_index, &source_end);

	candidate->prefill_ms =
	    (placement->prompt_tokens - (double)router_tokens_of_blocks(request, cached_blocks)) /
	    service->prefill_tokens_per_ms;
	if (!cached_blocks && (int)server_index == placement->home_server && source < 0)
		candidate->prefill_ms -= HOME_EXPECTED_CACHED_SHARE *
					 (double)router_tokens_of_blocks(request, placement->shared_blocks) /
					 service->prefill_tokens_per_ms;
	if (source >= 0 && source != (int)server_index && source_end > cached_blocks &&
	    service->link_bytes_per_ms && mechanism_in_use(router, MECHANISM_FETCH))
		plan_fetch(router, placement, candidate, source, source_end);
	candidate->plan.cost_ms =
	    candidate->prefill_ms + router_load_cost_ms(router, server_index, service, placement->now);
	if (!can_begin_in_time(router, placement, router->servers.states[server_index].weights_index,
			       candidate->plan.cost_ms))
		return false;
	candidate->plan.cost_ms += eviction_ms(placement, candidate, source);
	return true;
}

/* ---- decision -------------------------------------------------------------------------------- */

static bool placement_init(struct router *router, struct placement *placement,
			   const struct client_request *request, int64_t now)
{
	*placement = (struct placement){
		.request = request,
		.service = &router->config.route_table->services[request->route.service_index],
		.now = now,
		.home_server = select_home_server(router, request, now),
		.store_server = router_store_of(router, request),
		.shared_blocks = router_shared_block_count(request),
		.is_purge_view_current = relay_is_current(&router->relay, now),
		.prompt_tokens = (double)router_prompt_tokens(request),
	};
	if (placement->home_server < 0 || !placement->service->is_configured)
		return false;
	if (placement->is_purge_view_current)
		placement->generation_count =
		    router_weight_generations(router, request, placement->generations);
	router_prefix_depths(router, request, placement->generations, placement->generation_count,
			     placement->store_server);
	select_fetch_sources(router, placement);
	select_alternatives(router, placement);
	return true;
}

static enum decision_reason decision_reason_of(const struct placement *placement, const struct plan *plan)
{
	if (placement->shared_blocks && plan->cached_blocks >= placement->shared_blocks)
		return DECISION_CACHED;
	if (plan->fetch_source >= 0)
		return DECISION_FETCH;
	if (plan->candidate_count == 1)
		return DECISION_ONLY_SERVER;
	return plan->server_index == placement->home_server ? DECISION_HOME : DECISION_LESS_LOADED;
}

struct plan router_place_forwarded(struct router *router, const struct client_request *request, int64_t now)
{
	struct plan best = { .server_index = -1, .fetch_source = -1 };
	struct placement placement;
	uint32_t candidate_count = 0;

	if (!placement_init(router, &placement, request, now))
		return best;
	for (uint32_t s = 0; s < router->config.server_table->server_count; s++) {
		struct candidate candidate = {
			.plan = { .server_index = (int)s,
				  .cached_blocks = router->servers.cached_block_counts[s],
				  .fetch_source = -1 },
		};

		if (!is_eligible(router, request, s, now) || !is_candidate(router, &placement, s) ||
		    !router_fits_server(router, request, s, candidate.plan.cached_blocks, placement.service,
					now))
			continue;
		if (!evaluate_server(router, &placement, &candidate))
			continue;
		candidate_count++;
		if (best.server_index < 0 || candidate.plan.cost_ms < best.cost_ms)
			best = candidate.plan;
	}
	best.candidate_count = candidate_count;
	if (best.server_index >= 0)
		best.reason = decision_reason_of(&placement, &best);
	return best;
}

/* ---- offload store --------------------------------------------------------------------------- */

static bool is_cached_in_store(struct router *router, uint64_t block_key, uint32_t store)
{
	struct block_replica *replicas = prefix_index_find(&router->cache.index, block_key);

	for (ptrdiff_t i = 0; i < arrlen(replicas); i++)
		if (replicas[i].server_index == store)
			return true;
	return false;
}

/* Whether offloading a request's prefix to the store is worthwhile. The request's own blocks are offloaded
 * too and evict shared ones, so the request must add few of its own; a later request with the same prefix
 * will do if this one does not. */
static bool is_offload_worthwhile(const struct client_request *request, int shared_blocks)
{
	uint64_t shared_tokens = router_tokens_of_blocks(request, shared_blocks);

	return (request->prompt.total_tokens - shared_tokens) * OFFLOAD_MIN_SHARED_RATIO <= shared_tokens;
}

uint64_t router_offload_target(struct router *router, const struct client_request *request,
			       uint64_t cache_namespace, int64_t now)
{
	struct placement placement = { .request = request,
				       .now = now,
				       .store_server = router_store_of(router, request) };
	int shared_blocks = router_shared_block_count(request);
	uint32_t store = (uint32_t)placement.store_server;

	if (!is_store_serving(router, &placement) ||
	    router_link_wait_ms(router, store, now) > ROUTER_OFFLOAD_MAX_LINK_WAIT_MS)
		return 0;
	if (!is_offload_worthwhile(request, shared_blocks))
		return 0;
	for (int i = 0; i < shared_blocks; i++)
		if (!is_cached_in_store(
			router, router_block_key(cache_namespace, request->prompt.block_hash[i]), store))
			return server_config_of(router, store)->packed_addr;
	return 0;
}
