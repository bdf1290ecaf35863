/* router_cost: the load at a server, whether a request fits there, and the time that a transfer of cached
 * blocks takes. This router's own requests are counted exactly. Those of other routers come from the load
 * that routers publish (router_load.c), or else from servers' answers, whose values decay with age. */
#include "router_internal.h"

#include "containers.h"

/* Factors of a transfer's time within a zone and between zones. */
enum { SAME_ZONE_TIME_FACTOR = 1, OTHER_ZONE_TIME_FACTOR = 2 };

/* An observed value, halved for each half-life since its observation. */
static double decayed_value(double value, int64_t observed_at_ms, int64_t now, int half_life_ms)
{
	for (int64_t age_ms = now - observed_at_ms; age_ms >= half_life_ms && value > 0.01;
	     age_ms -= half_life_ms)
		value /= 2;
	return value;
}

/* Whether recent load of other routers at the server was received from the heads of zones. */
static bool is_shared_load_recent(const struct router *router, uint32_t server_index, int64_t now)
{
	return now - router->load.other_routers_at_ms <= ROUTER_LOAD_VALID_MS &&
	       server_index < (uint32_t)arrlen(router->load.other_routers) &&
	       mechanism_in_use(router, MECHANISM_SHARED_LOAD);
}

struct server_load router_server_load(const struct router *router, uint32_t server_index, int64_t now)
{
	const struct router_server_state *server = &router->servers.states[server_index];
	struct server_load load = { (uint32_t)server->own_running_count, server->own_prefill_tokens,
				    server->own_resident_tokens };

	if (is_shared_load_recent(router, server_index, now)) {
		const struct load_counts *others = &router->load.other_routers[server_index];

		load.running_count += others->running_count;
		load.prefill_tokens += others->prefill_tokens;
		load.resident_tokens += others->resident_tokens;
	} else {
		uint32_t others =
		    (uint32_t)decayed_value(server->others_running_count, server->others_observed_at_ms, now,
					    ROUTER_OTHER_ROUTERS_LOAD_HALF_LIFE_MS);

		load.running_count += others;
		load.resident_tokens += (uint64_t)others * ROUTER_ASSUMED_REQUEST_TOKENS;
	}
	return load;
}

double router_load_cost_ms(const struct router *router, uint32_t server_index,
			   const struct service_config *service, int64_t now)
{
	const struct router_server_state *server = &router->servers.states[server_index];
	struct server_load load = router_server_load(router, server_index, now);
	double ms = (double)load.prefill_tokens / service->prefill_tokens_per_ms +
		    ROUTER_DECODE_STEP_SLOWDOWN_MS * load.running_count;

	if (mechanism_in_use(router, MECHANISM_LATENESS))
		ms += decayed_value(server->first_chunk_lateness_ms, server->lateness_observed_at_ms, now,
				    ROUTER_LATENESS_HALF_LIFE_MS) /
		      2;
	ms += ROUTER_FAILURE_COST_MS * decayed_value(server->failure_rate, server->failure_observed_at_ms,
						     now, ROUTER_FAILURE_HALF_LIFE_MS);
	return ms + (server_config_of(router, server_index)->zone_hash == router->zone_hash ? 0 : 1);
}

uint32_t router_uncached_tokens(const struct client_request *request, int cached_blocks)
{
	int blocks =
	    cached_blocks < request->prompt.block_count ? cached_blocks : request->prompt.block_count;

	return request->prompt.total_tokens - (uint32_t)router_tokens_of_blocks(request, blocks);
}

bool router_fits_server(const struct router *router, const struct client_request *request,
			uint32_t server_index, int cached_blocks, const struct service_config *service,
			int64_t now)
{
	struct server_load load = router_server_load(router, server_index, now);

	if (load.running_count >= (uint32_t)router->servers.states[server_index].slots)
		return false;
	if (!mechanism_in_use(router, MECHANISM_CAPACITY))
		return true;
	if (load.prefill_tokens &&
	    load.prefill_tokens / service->prefill_tokens_per_ms > ROUTER_MAX_PREFILL_WAIT_MS)
		return false;
	if (!service->capacity_tokens || !load.resident_tokens)
		return true;
	return load.resident_tokens + router_uncached_tokens(request, cached_blocks) <=
	       service->capacity_tokens / 100 * ROUTER_MAX_RESIDENT_PERCENT +
		   service->capacity_tokens % 100 * ROUTER_MAX_RESIDENT_PERCENT / 100;
}

/* Transfers at one server run one after the other. */
double router_link_wait_ms(const struct router *router, uint32_t server_index, int64_t now)
{
	double ms = router->servers.states[server_index].link_free_at_ms - (double)now;

	return ms > 0 ? ms : 0;
}

/* This router sees only its own transfers. It assumes that each other router starts as many, and multiplies
 * the time by the number of routers. */
void router_link_reserve(struct router *router, uint32_t server_index, double transfer_ms, int64_t now)
{
	uint32_t router_count = router->config.watch.router_count ? router->config.watch.router_count : 1;
	double *free_at_ms = &router->servers.states[server_index].link_free_at_ms;

	*free_at_ms = (*free_at_ms > (double)now ? *free_at_ms : (double)now) + transfer_ms * router_count;
}

double router_transfer_ms(const struct router *router, uint32_t from_server, uint32_t to_server,
			  double tokens, const struct service_config *service)
{
	const struct server_config *source = server_config_of(router, from_server);
	double store_bytes_per_ms = service->store_bytes_per_ms ? service->store_bytes_per_ms : 1;
	double bytes_per_ms = source->is_store ? store_bytes_per_ms : service->link_bytes_per_ms;
	bool same_zone = source->zone_hash == server_config_of(router, to_server)->zone_hash;

	return tokens * service->kv_bytes_per_token / bytes_per_ms *
	       (same_zone ? SAME_ZONE_TIME_FACTOR : OTHER_ZONE_TIME_FACTOR);
}
