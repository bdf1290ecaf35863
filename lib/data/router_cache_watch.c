/* router_watch: servers' reports, the index of kept parts, and what purges withdraw from it. */
#include "router_internal.h"

#include <apr_strings.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "config_row.h"

/* ---- reports ---------------------------------------------------------------------------------- */

/* Names of weights come from reports too: a server may still have those from before. They are bounded. */
static int weights_of(struct router *router, const char *name)
{
	int i = names_find(&router->names.weights, name);

	return i >= 0 || strlen(name) > 128 || arrlen(router->names.weights.names) >= ROUTER_MAX_WEIGHTS_NAMES
		   ? i
		   : (int)names_id(&router->names.weights, name);
}

/* A report that cannot be read changes nothing, and is spoken of once. */
static void log_unreadable_report(struct router *router, uint32_t server_index, const char *reason)
{
	char line[300];

	if (!router->servers.states[server_index].unreadable_reports++ && router->log) {
		apr_snprintf(line, sizeof line,
			     "Step report: server %s: %s; it is passed over until it is mended.",
			     router->names.servers.names[server_index], reason);
		router->log(router->log_context, "ctr", line);
	}
}

void router_on_report(struct router *router, uint32_t server_index, const char *body, int64_t now)
{
	struct router_server_state *server = &router->servers.states[server_index];
	struct json_object *report = router_read_json(router, body), *blocks;
	const char *service;
	int weights = json_object_is_type(report, json_type_object)
			  ? weights_of(router, json_string_member(report, "weights"))
			  : -1;

	if (weights < 0 || json_uint_member(report, "slots") > 100000) {
		log_unreadable_report(router, server_index,
				      "its report cannot be read, or names what nobody knows");
		goto end;
	}
	server->unreadable_reports = 0;
	server->reported_at_ms = now;
	server->is_known = 1;
	server->weights = (uint32_t)weights;
	server->is_loading = json_string_member(report, "loading")[0] != 0;
	server->slots = (int)json_uint_member(report, "slots");
	server->running = (int)json_uint_member(report, "running");
	server->others_running = server->running > server->own_running ? server->running - server->own_running
								       : 0; /* what other routers run there */
	if (!json_object_object_get_ex(report, "parts", &blocks) ||
	    !json_object_is_type(blocks, json_type_array)) {
		if (json_uint_member(report, "serial") != server->report_serial ||
		    json_uint_member(report, "boot") != server->boot_id)
			server->relayed_at_ms = server->polled_at_ms =
			    0; /* what changed was lost on its way here: look ourselves */
		goto end;
	}
	server->report_serial = json_uint_member(report, "serial");
	server->boot_id = json_uint_member(report, "boot");
	service =
	    router->names.services.names[router->config.server_table->servers[server_index].service_index];
	server->purged_blocks = 0;
	server->inventory_at_ms = now;
	for (size_t i = 0; i < json_object_array_length(blocks) && i < ROUTER_MAX_REPORTED_BLOCKS; i++) {
		struct json_object *json = json_object_array_get_idx(blocks, i);
		int maker = names_find(&router->names.tenants, json_string_member(json, "m")),
		    made_under = weights_of(router, json_string_member(json, "w"));
		struct block_replica replica = {
			server_index,
			(uint32_t)maker,
			router->config.server_table->servers[server_index].service_index,
			(uint32_t)made_under,
			json_uint_member(json, "t"),
			server->poll_sequence
		};

		if (maker < 0 || made_under < 0)
			continue; /* of nobody that the table ever named here */

		/* a late report never revives what is withdrawn */
		if (!router_retains(router, replica.service_index, replica.tenant_index,
				    strtoull(json_string_member(json, "h"), NULL, 16), replica.stamp_tick))
			server->purged_blocks++;
		else if (purge_view_allows(&router->relay.view, service, json_string_member(json, "w"),
					   json_string_member(json, "m"),
					   router->names.servers.names[server_index], replica.stamp_tick))
			prefix_index_put(&router->cache.index,
					 strtoull(json_string_member(json, "h"), NULL, 16), &replica);
	}
	prefix_index_remove_unreported(&router->cache.index, server_index, server->poll_sequence);
end:
	if (report)
		json_object_put(report);
}

/* A relay looks for its zone: what it saw goes to its downstreams as it came. */
void router_relay_report(struct router *router, uint32_t server_index, const char *body,
			 struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(router->relay.downstreams); i++) {
		struct Nl__Report *report = MESSAGE_NEW(out, Nl__Report, NL__REPORT__INIT);

		report->server = apr_pstrdup(out->pool, router->names.servers.names[server_index]);
		report->body.len = strlen(body);
		report->body.data = (uint8_t *)apr_pstrdup(out->pool, body);
		command_send(out, router->relay.downstreams[i].addr, 0, NL__MSG__BODY_REPORT)->report =
		    report;
	}
}

void router_on_relayed_report(struct router *router, const struct Nl__Report *report, int64_t now,
			      struct command_list *out)
{
	int server_index = names_find(&router->names.servers, report->server);

	if (server_index < 0 || !router->config.server_table ||
	    (uint32_t)server_index >= router->config.server_table->server_count ||
	    !router->config.server_table->servers[server_index].is_configured)
		return;
	router->servers.states[server_index].relayed_at_ms = now;
	router->servers.states[server_index].poll_sequence++;
	router_on_report(router, (uint32_t)server_index,
			 apr_pstrmemdup(out->pool, (char *)report->body.data, report->body.len), now);
}

void router_poll_reports(struct router *router, int64_t now, struct command_list *out)
{
	const struct server_table *servers = router->config.server_table;

	for (uint32_t s = 0; servers && s < servers->server_count; s++) {
		struct router_server_state *server = &router->servers.states[s];
		struct command *command;

		if (!router->config.server_table->servers[s].is_configured ||
		    now - server->polled_at_ms < ROUTER_REPORT_POLL_INTERVAL_MS ||
		    now - server->relayed_at_ms < ROUTER_RELAYED_REPORT_VALID_MS)
			continue;
		/* spread over the period, so that routers do not all look at once */
		server->polled_at_ms = server->polled_at_ms
					   ? now
					   : now - (int64_t)(core_rendezvous_weight(router->id, s) %
							     ROUTER_REPORT_POLL_INTERVAL_MS);
		server->poll_token = router_token_new(router);
		server->poll_sequence++;
		router->stats.report_polls++;
		command = command_add(out, CMD_CALL);
		command->args.call.token = server->poll_token;
		command->args.call.addr =
		    apr_pstrdup(out->pool, router->config.server_table->servers[s].addr);
		command->args.call.path =
		    apr_psprintf(out->pool, "/v1/report?since=%" APR_UINT64_T_FMT "&boot=%" APR_UINT64_T_FMT,
				 server->report_serial, server->boot_id);
		command->args.call.limit_ms = 800;
		command->args.call.not_after_ms = now + 800;
	}
}

/* ---- purges ------------------------------------------------------------------------------------- */

struct purge_match {
	struct router *router;
	const struct Nl__Value *value;
};

static int is_purged(const void *ctx, uint64_t id, const struct block_replica *replica)
{
	const struct purge_match *withdrawn = ctx;
	const struct Nl__Purge *purge = withdrawn->value->purge;
	const struct router *router = withdrawn->router;

	if (replica->stamp_tick >= withdrawn->value->tick)
		return 0;
	switch (purge->reason) {
	case PURGE_WEIGHTS:
		return !strcmp(router->names.services.names[replica->service_index], purge->service) &&
		       !strcmp(router->names.weights.names[replica->weights_hash], purge->weights);
	case PURGE_CONTEXT: /* what is forwarded is filed under another name from now on; its old names go as
			       servers say */
		return !router->config.bounds.discover_instances &&
		       !router_retains(router, replica->service_index, replica->tenant_index, id,
				       replica->stamp_tick);
	case PURGE_TENANT:
		return !strcmp(router->names.tenants.names[replica->tenant_index], purge->tenant);
	default:
		return !strcmp(router->names.servers.names[replica->server_index], purge->server);
	}
}

void router_on_value(void *ctx, const struct Nl__Value *value)
{
	struct purge_match withdrawn = { ctx, value };

	if (value->purge && value->purge->reason == PURGE_TENANT &&
	    value->tick > withdrawn.router->cache.isolation_tick)
		withdrawn.router->cache.isolation_tick = value->tick;
	if (value->purge && value->purge->reason == PURGE_CONTEXT)
		router_on_context_purge(withdrawn.router, value, withdrawn.router->clock.now);
	prefix_index_remove_if(&withdrawn.router->cache.index, is_purged, &withdrawn);
}

/* ---- watches of kept parts ---------------------------------------------------------------------- */

/* How many servers may be asked at once for all that they still name, as a router does that knows nothing of
 * them yet: their answers come all together, and the configuration must not wait behind them on a slow link.
 */
static int max_full_watches(const struct router *router)
{
	int64_t room = (int64_t)router->config.bounds.link_kbps / 8 * ROUTER_FULL_WATCH_LINK_MS;

	if (!router->config.bounds.link_kbps)
		return INT_MAX;
	return 1 + (int)(room / (int64_t)(router->cache.average_full_watch_bytes + 1));
}

static void watch_server(struct router *router, uint32_t server_index, int64_t now, struct command_list *out)
{
	struct router_server_state *server = &router->servers.states[server_index];
	struct command *command = command_add(out, CMD_WATCH_CACHE);

	server->watch_token = router_token_new(router);
	server->watched_at_ms = now;
	router->stats.watches++;
	command->args.watch_cache.token = server->watch_token;
	command->args.watch_cache.addr = router->config.server_table->servers[server_index].packed_addr;
	command->args.watch_cache.server = router->names.servers.names[server_index];
	command->args.watch_cache.since = server->next_cache_event;
	command->args.watch_cache.wait_ms = ROUTER_CACHE_WATCH_WAIT_MS;
	command->args.watch_cache.full = server->watch_is_full =
	    !server->cache_listed && !server->next_cache_event;
}

/* The head of a zone's relays watches each server for its zone; what it hears goes down the way purges go. */
void router_watch_caches(struct router *router, int64_t now, struct command_list *out)
{
	const struct server_table *servers = router->config.server_table;
	int first = 0, most = max_full_watches(router);

	if (!servers || router->shutdown.in_progress || router->config.watch.upstream_count ||
	    config_watch_age_ms(&router->config.watch, now) > router_max_staleness_ms(router))
		return;
	for (uint32_t s = 0; s < servers->server_count; s++)
		first += router->servers.states[s].watch_token && !router->servers.states[s].next_cache_event;
	for (uint32_t s = 0; s < servers->server_count; s++) {
		const struct router_server_state *server = &router->servers.states[s];

		if (!servers->servers[s].is_configured || servers->servers[s].draining ||
		    server->watch_token || now - server->watched_at_ms < ROUTER_CACHE_WATCH_INTERVAL_MS ||
		    now < server->unavailable_until_ms || (!server->next_cache_event && first >= most))
			continue;
		first += !server->next_cache_event;
		watch_server(router, s, now, out);
	}
}

/* What a first answer brings, as they went lately. */
static void learn_full_watch_size(struct router *router, const struct Nl__CacheUpdate *update)
{
	double bytes = ROUTER_CACHE_EVENT_BYTES * (double)update->n_events;

	router->cache.average_full_watch_bytes += (bytes - router->cache.average_full_watch_bytes) / 4;
}

static void block_added(struct router *router, uint32_t server, uint64_t key, uint64_t namespace_key)
{
	struct block_replica copy = { server,
				      0,
				      router->config.server_table->servers[server].service_index,
				      router->servers.states[server].weights,
				      0,
				      namespace_key };

	router->stats.events++;
	if (router->cache.index.replica_count < ROUTER_MAX_INDEXED_REPLICAS)
		prefix_index_put(&router->cache.index, key, &copy);
}

static void block_removed(struct router *router, uint32_t server, uint64_t key)
{
	router->stats.events++;
	prefix_index_remove(&router->cache.index, key, server);
}

/* Of one server: what it keeps now, and no longer. Events that were missed make all that is known of it
 * doubtful. */
void router_on_cache_update(struct router *router, const struct Nl__CacheUpdate *update, int64_t now)
{
	int server_index = names_find(&router->names.servers, update->server);
	struct router_server_state *server;

	if (server_index < 0 || !router->config.server_table ||
	    (uint32_t)server_index >= router->config.server_table->server_count ||
	    !router->config.server_table->servers[server_index].is_configured)
		return;
	server = &router->servers.states[server_index];
	server->cache_update_at_ms = now;
	if (update->events_lost || (server->cache_epoch && server->cache_epoch != update->epoch))
		prefix_index_remove_unreported(&router->cache.index, (uint32_t)server_index, UINT64_MAX);
	server->cache_epoch = update->epoch;
	if (!update->n_present || update->next_offset > server->next_cache_event)
		server->next_cache_event = update->next_offset;
	for (size_t i = 0;
	     i < update->n_present && router->cache.index.replica_count < ROUTER_MAX_INDEXED_REPLICAS; i++) {
		struct block_replica replica = {
			(uint32_t)server_index,
			0,
			router->config.server_table->servers[server_index].service_index,
			server->weights,
			0,
			0
		};

		prefix_index_put(&router->cache.index, update->present[i], &replica);
	}
	for (size_t i = 0; i < update->n_events; i++) {
		uint64_t key = router_block_key(core_hash_string(0, update->events[i]->cache_namespace),
						update->events[i]->block_hash);

		if (update->events[i]->evicted)
			block_removed(router, (uint32_t)server_index, key);
		else
			block_added(router, (uint32_t)server_index, key,
				    router_namespace_key_from_text(update->events[i]->cache_namespace));
	}
	for (size_t i = 0; i < update->n_added; i++)
		block_added(router, (uint32_t)server_index, update->added[i],
			    i < update->n_added_namespace_keys ? update->added_namespace_keys[i] : 0);
	for (size_t i = 0; i < update->n_removed; i++)
		block_removed(router, (uint32_t)server_index, update->removed[i]);
}

void router_on_cache_watched(struct router *router, uint64_t token, const struct Nl__CacheUpdate *update,
			     int status, int64_t now)
{
	for (uint32_t server_index = 0;
	     router->config.server_table && server_index < router->config.server_table->server_count;
	     server_index++) {
		struct router_server_state *server = &router->servers.states[server_index];

		if (server->watch_token != token)
			continue;
		server->watch_token = 0;
		server->watched_at_ms = now;
		if (status != 200 || !update) {
			server->watched_at_ms =
			    now + ROUTER_REPORT_POLL_INTERVAL_MS; /* too many watch it, or it is gone */
			return;
		}
		if (server->watch_is_full)
			learn_full_watch_size(router, update);
		server->cache_listed =
		    server->watch_is_full || (server->cache_listed && !update->events_lost);
		router_feed_add(router, server_index, update);
		router_on_cache_update(router, update, now);
		if (update->events_lost && !server->watch_is_full)
			server->next_cache_event = 0; /* events were missed: all that it keeps is asked for */
		return;
	}
}

/* Words between routers are rarer the more of them there are. Example: router_interval(c, 50) is 50 for up to
 * 16 routers */
int router_scaled_interval_ms(const struct router *router, int ms)
{
	return router->config.watch.router_count <= 16   ? ms
	       : router->config.watch.router_count >= 64 ? 4 * ms
							 : ms * (int)router->config.watch.router_count / 16;
}
