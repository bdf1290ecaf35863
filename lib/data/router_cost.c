/* router_cost: what a send would meet at a server: what is under way there, what fits, what a move of kept
 * parts takes. */
#include "router_internal.h"

#include <string.h>

#include "containers.h"

/* Of what was seen lately, less the older it is. */
static double decayed(double value, int64_t observed_at_ms, int64_t now, int half_life_ms)
{
	for (int64_t age_ms = now - observed_at_ms; age_ms >= half_life_ms && value > 0.01;
	     age_ms -= half_life_ms)
		value /= 2;
	return value;
}

/* Whether others' load is known from the heads of zones. */
static int load_is_fresh(const struct router *router, uint32_t server_index, int64_t now)
{
	return now - router->load.others_at_ms <= ROUTER_LOAD_VALID_MS &&
	       server_index < (uint32_t)arrlen(router->load.others) &&
	       mechanism_on(router->config.bounds.disabled_mechanisms, MECHANISM_SHARED_LOAD);
}

struct server_load router_server_load(const struct router *router, uint32_t server_index, int64_t now)
{
	const struct router_server_state *server = &router->servers.states[server_index];
	struct server_load load = { (uint32_t)server->own_running, server->prefill_tokens,
				    server->resident_tokens };

	if (load_is_fresh(router, server_index, now)) {
		load.running += router->load.others[server_index].running;
		load.prefill_tokens += router->load.others[server_index].prefill_tokens;
		load.resident_tokens += router->load.others[server_index].resident_tokens;
	} else {
		uint32_t others = (uint32_t)decayed(server->others_running, server->others_observed_at_ms,
						    now, ROUTER_OTHERS_LOAD_HALF_LIFE_MS);

		load.running += others;
		load.resident_tokens += (uint64_t)others * ROUTER_ASSUMED_REQUEST_TOKENS;
	}
	return load;
}

double router_load_ms(const struct router *router, uint32_t server_index,
		      const struct service_config *service, int64_t now)
{
	const struct router_server_state *server = &router->servers.states[server_index];
	struct server_load load = router_server_load(router, server_index, now);
	double ms =
	    (double)load.prefill_tokens / service->prefill_tokens_per_ms + ROUTER_STEP_MS * load.running;

	if (mechanism_on(router->config.bounds.disabled_mechanisms, MECHANISM_LATENESS))
		ms += decayed(server->lateness_ms, server->lateness_observed_at_ms, now,
			      ROUTER_LATENESS_HALF_LIFE_MS) /
		      2;
	ms += ROUTER_FAILURE_COST_MS *
	      decayed(server->failure_rate, server->failure_observed_at_ms, now, ROUTER_FAILURE_HALF_LIFE_MS);
	return ms +
	       (router->config.server_table->servers[server_index].zone_hash == router->zone_hash ? 0 : 1);
}

uint32_t router_uncached_tokens(const struct client_request *request, int cached_blocks)
{
	return request->prompt.total_tokens -
	       (uint32_t)router_tokens_of_blocks(request, cached_blocks < request->prompt.block_count
							      ? cached_blocks
							      : request->prompt.block_count);
}

int router_fits_server(const struct router *router, const struct client_request *request,
		       uint32_t server_index, int cached_blocks, const struct service_config *service,
		       int64_t now)
{
	struct server_load load = router_server_load(router, server_index, now);

	if (load.running >= (uint32_t)router->servers.states[server_index].slots)
		return 0;
	if (!mechanism_on(router->config.bounds.disabled_mechanisms, MECHANISM_CAPACITY))
		return 1;
	if (load.prefill_tokens &&
	    load.prefill_tokens / service->prefill_tokens_per_ms > ROUTER_MAX_PREFILL_WAIT_MS)
		return 0;
	return !service->capacity_tokens || !load.resident_tokens ||
	       load.resident_tokens + router_uncached_tokens(request, cached_blocks) <=
		   service->capacity_tokens * ROUTER_MAX_RESIDENT_PERCENT / 100;
}

/* Moves at one machine run one after the other. */
double router_link_wait_ms(const struct router *router, uint32_t server_index, int64_t now)
{
	double ms = router->servers.states[server_index].link_free_at_ms - (double)now;

	return ms > 0 ? ms : 0;
}

/* This router sees its own moves only; it takes each as standing for one of every router. */
void router_link_reserve(struct router *router, uint32_t server_index, double ms, int64_t now)
{
	struct router_server_state *server = &router->servers.states[server_index];

	server->link_free_at_ms =
	    (server->link_free_at_ms > (double)now ? server->link_free_at_ms : (double)now) +
	    ms * (router->config.watch.router_count ? router->config.watch.router_count : 1);
}

double router_transfer_ms(const struct router *router, uint32_t from_server, uint32_t to_server,
			  double tokens, const struct service_config *service)
{
	const struct server_config *source = &router->config.server_table->servers[from_server];
	double speed = source->is_store ? service->store_bytes_per_ms ? service->store_bytes_per_ms : 1
					: service->link_bytes_per_ms;

	return tokens * service->kv_bytes_per_token / speed *
	       (source->zone_hash == router->config.server_table->servers[to_server].zone_hash ? 1 : 2);
}
