/* router_config: puts newer configuration in force, and limits how long an unconfirmed configuration is acted
 * on. Invariant: a waiting request is routed by the newest route table; a request that a server runs was sent
 * while its key and route were valid, and continues to its end. */
#include "router_internal.h"

#include <apr_strings.h>

#include "containers.h"

static void install_server_table(struct router *router, int64_t now)
{
	struct server_table *servers = router_server_table_new(router, now);
	uint32_t serving_count = 0;
	char line[100];

	router_server_table_free(router->config.server_table);
	router->config.server_table = servers;
	for (uint32_t i = 0; i < servers->server_count; i++)
		serving_count += servers->servers[i].is_configured && !servers->servers[i].is_draining &&
				 !servers->servers[i].is_store;
	if (serving_count != router->config.serving_server_count && router->log) {
		apr_snprintf(line, sizeof line, "Serving servers: now %u, previously %u.", serving_count,
			     router->config.serving_server_count);
		router->log(router->log_context, "router", line);
	}
	router->config.serving_server_count = serving_count;
}

/* Whether a request's key still belongs to its tenant. */
static bool key_is_valid(const struct route_table *routes, const struct client_request *request)
{
	struct key_entry *keys = routes->keys;
	ptrdiff_t key_index;

	if (!request->client.key_digest || request->route.tenant_index == routes->anonymous_tenant_index)
		return true;
	key_index = shgeti(keys, request->client.key_digest);
	return key_index >= 0 && keys[key_index].value == request->route.tenant_index &&
	       routes->tenants[request->route.tenant_index].is_configured;
}

/* Checks a request of the own interface against a newer route table. Removal of its key ends it in any state.
 * A request that has not been sent ends when its route is removed, and is refused when the route now has
 * another service, since the claim is held by the shard of the old one. */
static void recheck_claimed_request(struct router *router, struct client_request *request, int64_t now,
				    struct command_list *out)
{
	const struct route_table *routes = router->config.route_table;
	const struct route_config *route = &routes->routes[request->route.index];

	if (!key_is_valid(routes, request)) {
		router->stats.ended_key_removed++;
		router_end_early(router, request, 401, "key: removed", now, out);
	} else if (request->state == REQUEST_RUNNING) {
		return;
	} else if (!route->is_configured || !routes->services[route->service_index].is_configured) {
		router_end_early(router, request, 404, "lane: removed", now, out);
	} else if (route->service_index != request->route.service_index) {
		router_end_early(router, request, 503, "lane: its service changed while the request waited",
				 now, out);
	}
}

/* The number of routes whose requests nobody can make: they require a key, and the table has none. */
static uint32_t count_routes_without_possible_key(const struct route_table *routes)
{
	uint32_t count = 0;

	for (uint32_t i = 0; routes && !shlen(routes->keys) && i < routes->route_count; i++)
		count += routes->routes[i].is_configured && routes->routes[i].path[0] &&
			 !routes->routes[i].key_optional;
	return count;
}

/* Log when routes begin to reject all requests, or stop doing so, because the table has no keys. */
static void log_routes_without_possible_key(const struct router *router, const struct route_table *old)
{
	uint32_t count = count_routes_without_possible_key(router->config.route_table);
	char line[150];

	if (!router->log || count == count_routes_without_possible_key(old))
		return;
	apr_snprintf(
	    line, sizeof line,
	    "Routes that require a key while no key is configured: %u. Their requests are rejected with 401.",
	    count);
	router->log(router->log_context, "router", line);
}

static void install_route_table(struct router *router, int64_t now, struct command_list *out)
{
	struct route_table *routes = router_route_table_new(router, now), *old = router->config.route_table;

	router->config.route_table = routes;
	router_weights_log_targets(router, old, now);
	log_routes_without_possible_key(router, old);
	install_server_table(router, now);
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--) {
		struct client_request *request = router->requests.all[i];

		if (!request->is_forwarded)
			recheck_claimed_request(router, request, now, out);
		else if (request->state != REQUEST_RUNNING)
			(void)router_readmit(router, request, now, out);
	}
	router_route_table_free(old);
}

void router_on_config_message(struct router *router, const struct Nl__Msg *message, int64_t now,
			      struct command_list *out)
{
	int changed_tables = config_watch_receive(&router->config.watch, message, now, out);

	if (changed_tables & 1)
		install_route_table(router, now, out);
	else if (changed_tables && router->config.route_table)
		install_server_table(router, now);
}

/* ---- staleness ------------------------------------------------------------------------------- */

bool router_config_in_force(const struct router *router, int64_t now)
{
	return router->config.route_table &&
	       config_watch_age_ms(&router->config.watch, now) <= router_max_staleness_ms(router);
}

/* With servers from the configuration, the bound is the product's own. Otherwise the strictest of three
 * bounds applies. Contact: a deployment may count a router as in contact only after the controllers have been
 * in contact with it for some time. A leader that fails just after its last answer interrupts that contact
 * for this time, and changes that it may have acknowledged meanwhile need not be in force here until the
 * contact counts again. Drift: the deployment bounds how far a router's configuration may lag behind. Keys:
 * no removed key may be accepted past its revocation bound. See docs/design.md, Freshness. */
int router_max_staleness_ms(const struct router *router)
{
	const struct bounds *bounds = &router->config.bounds;
	int revocation_bound_ms = bounds->key_revocation_ms - ROUTER_STALENESS_MARGIN_MS;
	int contact_bound_ms = bounds->contact_window_ms - ROUTER_CONTACT_MARGIN_MS;
	int drift_bound_ms =
	    bounds->config_propagation_ms + bounds->config_leaderless_extra_ms - ROUTER_STALENESS_MARGIN_MS;
	int min_bound_ms;

	if (!bounds->use_endpoint_list)
		return CONFIG_WATCH_ADMIT_STALENESS_MS;
	if (contact_bound_ms < bounds->config_propagation_ms - ROUTER_CONTACT_MARGIN_MS)
		contact_bound_ms = bounds->config_propagation_ms - ROUTER_CONTACT_MARGIN_MS;
	min_bound_ms = drift_bound_ms < contact_bound_ms ? drift_bound_ms : contact_bound_ms;
	return revocation_bound_ms < min_bound_ms ? revocation_bound_ms : min_bound_ms;
}

int64_t router_config_valid_until(const struct router *router)
{
	return router->config.watch.confirmed_at_ms + ROUTER_CONFIG_MAX_STALENESS_MS;
}
