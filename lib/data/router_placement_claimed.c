/* router_assign: which server a request of the product's own interface goes to, what it reuses there, and
 * what it fetches from where. router_placement has the same for forwarded requests. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

int router_server_is_serving(const struct router *router, uint32_t server_index, int64_t now)
{
	const struct server_config *config = &router->config.server_table->servers[server_index];
	const struct router_server_state *server = &router->servers.states[server_index];

	if (!config->is_configured || config->draining ||
	    (!server->is_known && !(config->is_store && router->config.bounds.discover_instances)) ||
	    server->is_loading || now < server->unavailable_until_ms)
		return 0;
	if (!router->config.bounds.discover_instances)
		return now - server->reported_at_ms < ROUTER_REPORT_VALID_MS;
	if (config->is_store)
		return now - server->cache_update_at_ms < ROUTER_STORE_SILENCE_MAX_MS;
	return now < router_weights_last_send(router, config->service_index, server->weights, now);
}

const struct block_replica *router_usable_replica(struct router *router, const struct client_request *request,
						  uint64_t hash, uint32_t server, uint32_t weights)
{
	const struct route_table *routes = router->config.route_table;
	struct block_replica *replica = prefix_index_find(&router->cache.index, hash);

	for (ptrdiff_t i = 0; i < arrlen(replica); i++) {
		if (replica[i].server_index != server || replica[i].weights_hash != weights ||
		    replica[i].tenant_index >= routes->tenant_count)
			continue;
		if (replica[i].tenant_index != request->route.tenant_index &&
		    (routes->tenants[replica[i].tenant_index].isolated ||
		     routes->tenants[request->route.tenant_index].isolated ||
		     !routes->tenants[replica[i].tenant_index].is_configured))
			continue;
		if (purge_view_allows(&router->relay.view,
				      router->names.services.names[request->route.service_index],
				      router->names.weights.names[weights],
				      router->names.tenants.names[replica[i].tenant_index],
				      router->names.servers.names[server], replica[i].stamp_tick) &&
		    router_retains(router, request->route.service_index, replica[i].tenant_index, hash,
				   replica[i].stamp_tick))
			return &replica[i];
	}
	return NULL;
}

/* How many leading parts a server keeps in a form this exchange may use. */
static int prefix(struct router *router, const struct client_request *request, uint32_t server,
		  uint32_t weights)
{
	int n = 0;

	while (n < request->prompt.block_count &&
	       router_usable_replica(router, request, request->prompt.block_hash[n], server, weights))
		n++;
	return n;
}

uint64_t router_tokens_of_blocks(const struct client_request *request, int block_count)
{
	uint64_t tokens = 0;

	for (int i = 0; i < block_count; i++)
		tokens += request->prompt.block_tokens[i];
	return tokens;
}

/* The server that has just given a request back is passed over for a moment: another one may have it. */
int router_avoids_server(const struct client_request *request, uint32_t server_index, int64_t now)
{
	return server_index == request->retry.avoided_server && now < request->retry.avoided_until_ms;
}

static int running_count(const struct router_server_state *server)
{
	return server->others_running + server->own_running;
}

/* How much slower than the table says the link between two servers was seen to be; forgotten by and by. */
double router_link_slowness(struct router *router, uint32_t source, uint32_t target, int64_t now)
{
	ptrdiff_t i = hmgeti(router->servers.links, (uint64_t)source << 32 | target);
	double slow = i < 0 ? 1 : router->servers.links[i].value.slowdown;

	for (int64_t age_ms = i < 0 ? 0 : now - router->servers.links[i].value.observed_at_ms;
	     age_ms >= ROUTER_LINK_SLOWDOWN_HALF_LIFE_MS && slow > 1;
	     age_ms -= ROUTER_LINK_SLOWDOWN_HALF_LIFE_MS)
		slow /= 2;
	return slow < 1 ? 1 : slow;
}

/* An answer says what its fetch took and brought. One that brought nothing was waited for in vain. */
void router_record_fetch(struct router *router, const struct client_request *request, int64_t took_ms,
			 int fetched_blocks, int64_t now)
{
	double slowdown =
	    fetched_blocks && took_ms > 0
		? (double)took_ms /
		      (request->attempt.expected_fetch_ms ? request->attempt.expected_fetch_ms : 1)
		: ROUTER_LINK_SLOWDOWN_MAX;

	if (took_ms <= 20 &&
	    fetched_blocks) /* too short to tell a link from a process that was not scheduled */
		slowdown = 1;
	if (slowdown > ROUTER_LINK_SLOWDOWN_MAX)
		slowdown = ROUTER_LINK_SLOWDOWN_MAX;
	hmput(router->servers.links,
	      (uint64_t)request->attempt.fetch_source << 32 | (uint32_t)request->attempt.server_index,
	      ((typeof(router->servers.links->value)){ slowdown, now }));
}

/* Prefill saved against load and lines; a fetch where the link beats the prefill. */
struct plan router_placement_claimed(struct router *router, const struct client_request *request, int64_t now)
{
	const struct route_table *routes = router->config.route_table;
	const struct service_config *service = &routes->services[request->route.service_index];
	struct plan best = { .server_index = -1, .fetch_source = -1 };
	int current = relay_is_current(&router->relay, now);
	uint64_t all =
	    router_tokens_of_blocks(request, request->prompt.block_count) + request->prompt.tail_tokens;

	for (uint32_t server_index = 0; server_index < router->config.server_table->server_count;
	     server_index++) {
		struct router_server_state *server = &router->servers.states[server_index];
		struct plan plan = { .server_index = (int)server_index, .fetch_source = -1 };
		double prefill;

		if (router->config.server_table->servers[server_index].is_store ||
		    router->config.server_table->servers[server_index].service_index !=
			request->route.service_index ||
		    router_avoids_server(request, server_index, now) ||
		    !router_server_is_serving(router, server_index, now) ||
		    running_count(server) >= server->slots)
			continue;
		if (current)
			plan.cached_blocks = prefix(router, request, server_index, server->weights);
		prefill = router->naive_placement
			      ? 0
			      : (double)(all - router_tokens_of_blocks(request, plan.cached_blocks)) /
				    service->prefill_tokens_per_ms;
		plan.cost_ms = prefill + server->average_run_ms * running_count(server) / server->slots;
		for (uint32_t source = 0; current && !router->naive_placement &&
					  plan.cached_blocks < request->prompt.block_count &&
					  source < router->config.server_table->server_count;
		     source++) { /* a peer server or the store */
			double speed = router->config.server_table->servers[source].is_store
					   ? service->store_bytes_per_ms
					   : service->link_bytes_per_ms,
			       save, cost, fetch;
			int n;

			if (source == server_index ||
			    router->config.server_table->servers[source].service_index !=
				request->route.service_index ||
			    !speed ||
			    (!router->config.server_table->servers[source].is_store &&
			     router->servers.states[source].weights != server->weights) ||
			    !router_server_is_serving(router, source, now))
				continue;
			n = prefix(router, request, source, server->weights);
			if (n <= plan.cached_blocks)
				continue;
			save = (double)(router_tokens_of_blocks(request, n) -
					router_tokens_of_blocks(request, plan.cached_blocks));
			fetch = save * service->kv_bytes_per_token / speed;
			cost = fetch * router_link_slowness(router, source, server_index, now);
			save /= service->prefill_tokens_per_ms;
			if (cost < save && prefill - save + cost < plan.cost_ms - server->average_run_ms *
										      running_count(server) /
										      server->slots) {
				plan.cost_ms = prefill - save + cost +
					       server->average_run_ms * running_count(server) / server->slots;
				plan.fetch_source = (int)source;
				plan.fetch_end = n;
				plan.fetch_ms = fetch;
			}
		}
		if (best.server_index < 0 || plan.cost_ms < best.cost_ms ||
		    (plan.cost_ms == best.cost_ms &&
		     core_rendezvous_weight(request->sequence ^ router->id, server_index) >
			 core_rendezvous_weight(request->sequence ^ router->id, (uint64_t)best.server_index)))
			best = plan;
	}
	return best;
}
