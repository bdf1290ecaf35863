/* router_config: puts newer configuration in force, and bounds for how long an unconfirmed one is acted on.
 * Invariant: a request that waits is placed by the newest route table; one that a server runs was sent while
 * its key and route held, and ends by itself. */
#include "router_internal.h"

#include <apr_strings.h>

#include "containers.h"

static void replace_server_table(struct router *router, int64_t now)
{
	struct server_table *servers = router_server_table_new(router, now);
	uint32_t serving = 0;
	char text[100];

	router_server_table_free(router->config.server_table);
	router->config.server_table = servers;
	for (uint32_t i = 0; i < servers->server_count; i++)
		serving += servers->servers[i].is_configured && !servers->servers[i].draining &&
			   !servers->servers[i].is_store;
	if (serving != router->config.serving_servers && router->log) {
		apr_snprintf(text, sizeof text, "Serving servers: %u, before %u.", serving,
			     router->config.serving_servers);
		router->log(router->log_context, "router", text);
	}
	router->config.serving_servers = serving;
}

/* Whether a request's key still stands for its tenant. */
static bool key_is_valid(const struct route_table *routes, const struct client_request *request)
{
	struct key_entry *keys = routes->keys;
	ptrdiff_t key_index;

	if (!request->client.key_digest || request->route.tenant_index == routes->anonymous_tenant)
		return true;
	key_index = shgeti(keys, request->client.key_digest);
	return key_index >= 0 && keys[key_index].value == request->route.tenant_index &&
	       routes->tenants[request->route.tenant_index].is_configured;
}

/* A newer table and a request of the own interface: a removed key ends it wherever it is. What was not sent
 * ends with its route, and is refused where the route has another service now, since the claim is held by the
 * shard of the old one. */
static void recheck_claimed(struct router *router, struct client_request *request, int64_t now,
			    struct command_list *out)
{
	const struct route_table *routes = router->config.route_table;
	const struct route_config *route = &routes->routes[request->route.index];

	if (!key_is_valid(routes, request)) {
		router->stats.revoked++;
		router_end_early(router, request, 401, "key: removed", now, out);
	} else if (request->state == REQUEST_RUNNING) {
		return;
	} else if (!route->is_configured || !routes->services[route->service_index].is_configured) {
		router_end_early(router, request, 404, "lane: removed", now, out);
	} else if (route->service_index != request->route.service_index) {
		router_end_early(router, request, 503, "the lane has another service now", now, out);
	}
}

static void replace_route_table(struct router *router, int64_t now, struct command_list *out)
{
	struct route_table *routes = router_route_table_new(router, now), *old = router->config.route_table;

	router->config.route_table = routes;
	router_weights_log_targets(router, old, now);
	replace_server_table(router, now);
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--) {
		struct client_request *request = router->requests.all[i];

		if (!request->is_forwarded)
			recheck_claimed(router, request, now, out);
		else if (request->state != REQUEST_RUNNING)
			(void)router_readmit(router, request, now, out);
	}
	router_route_table_free(old);
}

void router_on_config_message(struct router *router, const struct Nl__Msg *message, int64_t now,
			      struct command_list *out)
{
	int changed = config_watch_receive(&router->config.watch, message, now, out);

	if (changed & 1)
		replace_route_table(router, now, out);
	else if (changed && router->config.route_table)
		replace_server_table(router, now);
}

/* ---- staleness ------------------------------------------------------------------------------- */

bool router_config_in_force(const struct router *router, int64_t now)
{
	return router->config.route_table &&
	       config_watch_age_ms(&router->config.watch, now) <= router_max_staleness_ms(router);
}

/* With servers from the configuration it is the product's own bound. Where a deployment counts nodes as in
 * touch only when the controllers have been in contact for a while, a leader that falls silent just after its
 * last good answer breaks that contact for so long: until then what it may have acknowledged meanwhile need
 * not be in force here. No removed key may outlive its bound either: docs/design.md, Freshness. */
int router_max_staleness_ms(const struct router *router)
{
	const struct bounds *bounds = &router->config.bounds;
	int key = bounds->revoke_ms - ROUTER_STALENESS_MARGIN_MS;
	int contact = bounds->contact_ms - ROUTER_CONTACT_MARGIN_MS;
	int drift = bounds->config_ms + bounds->drift_ms - ROUTER_STALENESS_MARGIN_MS;
	int least;

	if (!bounds->discover_instances)
		return CONFIG_WATCH_ADMIT_STALENESS_MS;
	if (contact < bounds->config_ms - ROUTER_CONTACT_MARGIN_MS)
		contact = bounds->config_ms - ROUTER_CONTACT_MARGIN_MS;
	least = drift < contact ? drift : contact;
	return key < least ? key : least;
}

int64_t router_config_valid_until(const struct router *router)
{
	return router->config.watch.fetched_at_ms + ROUTER_CONFIG_MAX_STALENESS_MS;
}
