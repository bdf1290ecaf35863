/* ctr: the router's step, its clock tick, its route_table's renewal, what it tells of itself. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

/* ---- a new edition --------------------------------------------------------------------------------- */

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
		apr_snprintf(text, sizeof text, "Servers that stand: %u, before %u.", serving,
			     router->config.serving_servers);
		router->log(router->log_context, "ctr", text);
	}
	router->config.serving_servers = serving;
}

/* A newer table and a request of the own interface: its key ends it wherever it is; what was not sent ends
 * with its lane, and comes back where that has another service now, since its claim is held by the old one's
 * owner. */
static void recheck_claimed(struct router *router, struct client_request *request, int64_t now,
			    struct command_list *out)
{
	const struct route_table *routes = router->config.route_table;
	struct key_entry *keys = routes->keys;
	ptrdiff_t key_index = request->client.key_digest ? shgeti(keys, request->client.key_digest) : -1;

	if (request->client.key_digest && request->route.tenant_index != routes->anonymous_tenant &&
	    (key_index < 0 || keys[key_index].value != request->route.tenant_index ||
	     !routes->tenants[request->route.tenant_index].is_configured)) {
		router->stats.revoked++;
		router_end_early(router, request, 401, "key: removed", now, out);
	} else if (request->state == REQUEST_RUNNING) {
		return;
	} else if (!routes->routes[request->route.index].is_configured ||
		   !routes->services[routes->routes[request->route.index].service_index].is_configured) {
		router_end_early(router, request, 404, "lane: removed", now, out);
	} else if (routes->routes[request->route.index].service_index != request->route.service_index) {
		router_end_early(router, request, 503, "the lane has another service now", now, out);
	}
}

/* What waits is placed by the new table. What runs was sent while its key and route held: it ends by itself,
 * within its time, and is placed by the new table if its server gives it back. */
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

/* ---- the step ---------------------------------------------------------------------------------------- */

/* NOLINTNEXTLINE(readability-function-size): a flat list of members */
static const char *state_json(struct router *router, int64_t now, apr_pool_t *pool)
{
	struct json_object *json = json_object_new_object(), *a = json_object_new_array();
	uint32_t waiting = 0;
	const char *s;
	const struct {
		const char *name;
		uint64_t value;
	} n[] = {
		{ "edition", router->config.watch.table.revision },
		{ "horizon", router->relay.knowledge.horizon },
		{ "kept", router->cache.index.replica_count },
		{ "taken", router->stats.received },
		{ "answered", router->stats.outcomes[REQUEST_ANSWERED] },
		{ "refused", router->stats.outcomes[REQUEST_REFUSED] },
		{ "rejected", router->stats.outcomes[REQUEST_REJECTED] },
		{ "broken_off", router->stats.outcomes[REQUEST_BROKEN_OFF] },
		{ "client_gone", router->stats.outcomes[REQUEST_CLIENT_DISCONNECTED] },
		{ "sends", router->stats.sends },
		{ "resends", router->stats.resends },
		{ "pieces", router->stats.chunks },
		{ "tokens", router->stats.tokens },
		{ "reused", router->stats.reused },
		{ "fetched", router->stats.fetched },
		{ "cold", router->stats.sends_without_cache },
		{ "claims", router->stats.claims },
		{ "looks", router->stats.report_polls },
		{ "watches", router->stats.watches },
		{ "events", router->stats.events },
		{ "taken_up", router->stats.resumed },
		{ "wrong_life", router->stats.wrong_incarnation },
		{ "refused_stale", router->stats.refused_stale },
		{ "refused_line", router->stats.refused_queue_full },
		{ "refused_limit", router->stats.refused_deadline },
		{ "refused_early", router->stats.refused_early },
		{ "revoked", router->stats.revoked },
		{ "blind", router->stats.ended_without_config },
		{ "lookups_used", router->stats.lookups_used },
		{ "lookups_missed", router->stats.lookups_missed },
		{ "lookups_answered", router->stats.lookups_answered },
		{ "recalled", router->stats.recalled },
		{ "sent_past_bound", router->stats.sent_past_bound },
		{ "begun_past_bound", router->stats.begun_past_bound },
		{ "downstreams", (uint64_t)arrlen(router->relay.downstreams) },
		{ "increments", router->relay.increments_sent },
		{ "counters", router->config.watch.router_count },
	};

	for (size_t i = 0; i < sizeof n / sizeof *n; i++)
		json_object_object_add(json, n[i].name, json_object_new_int64((int64_t)n[i].value));
	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++)
		waiting += router->queueing.queues[i].length;
	json_object_object_add(
	    json, "id", json_object_new_string(apr_psprintf(pool, "%016" APR_UINT64_T_HEX_FMT, router->id)));
	json_object_object_add(json, "zone", json_object_new_string(router->zone_name));
	json_object_object_add(json, "age_ms",
			       json_object_new_int64(config_watch_age_ms(&router->config.watch, now)));
	json_object_object_add(json, "current",
			       json_object_new_boolean(relay_is_current(&router->relay, now)));
	json_object_object_add(json, "running",
			       json_object_new_int64(arrlen(router->requests.all) - (int64_t)waiting));
	json_object_object_add(json, "waiting", json_object_new_int64(waiting));
	for (uint32_t i = 0; router->config.server_table && i < router->config.server_table->server_count;
	     i++) {
		struct json_object *x;

		if (!router->config.server_table->servers[i].is_configured)
			continue;
		x = json_object_new_object();
		json_object_object_add(x, "server", json_object_new_string(router->names.servers.names[i]));
		json_object_object_add(x, "standing",
				       json_object_new_boolean(router_server_is_serving(router, i, now)));
		json_object_object_add(x, "running", json_object_new_int(router->servers.states[i].running));
		json_object_object_add(x, "slots", json_object_new_int(router->servers.states[i].slots));
		json_object_object_add(
		    x, "weights",
		    json_object_new_string(
			router->servers.states[i].is_known
			    ? router->names.weights.names[router->servers.states[i].weights]
			    : ""));
		json_object_array_add(a, x);
	}
	json_object_object_add(json, "servers", a);
	s = apr_pstrdup(pool, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return s;
}

const char *router_usage(const struct router *router, apr_pool_t *pool)
{
	const char *csv = "lane,tenant,exchanges,tokens,reused,pieces,errors\n";

	for (ptrdiff_t i = 0; i < hmlen(router->records.usage); i++) {
		const struct usage_entry *router_use = &router->records.usage[i];

		csv = apr_psprintf(pool,
				   "%s%s,%s,%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT
				   ",%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT "\n",
				   csv, router->names.routes.names[router_use->key >> 32],
				   router->names.tenants.names[router_use->key & UINT32_MAX],
				   router_use->value.requests, router_use->value.tokens,
				   router_use->value.reused, router_use->value.chunks,
				   router_use->value.errors);
	}
	return csv;
}

/* How long a stream may be silent before it is taken up: its client gives up after two seconds, four times
 * its aim or eight times its pause, whichever is longest, and should be told before, to take it up by itself.
 */
static int64_t max_stream_silence_ms(const struct route_config *route)
{
	int64_t patience = ROUTER_STREAM_MIN_PATIENCE_MS;

	if (4 * (int64_t)route->latency_target_ms > patience)
		patience = 4 * (int64_t)route->latency_target_ms;
	if (8 * (int64_t)route->max_gap_ms > patience)
		patience = 8 * (int64_t)route->max_gap_ms;
	return patience * 3 / 4;
}

/* How long a request with so many before it has yet to wait. One of another service than the head's may pass
 * it, as soon as it is sent, and is only taken to wait for as long as it has. */
static double expected_wait_ms(const struct request_queue *queue, const struct client_request *request,
			       uint32_t before, int64_t now)
{
	if (request->route.service_index == queue->head->route.service_index)
		return router_expected_wait_ms(queue, before, now);
	return (double)(now - (request->queueing.returned_at_ms ? request->queueing.returned_at_ms
								: request->client.received_at_ms));
}

/* What will not be sent in time is told so now, not at its limit. */
static void end_hopeless(struct router *router, int64_t now, struct command_list *out)
{
	const struct server_table *servers = router->config.server_table;

	for (uint32_t server_index = 0; servers && server_index < servers->server_count; server_index++)
		if (!router->config.server_table->servers[server_index].is_store &&
		    router_server_is_serving(router, server_index, now))
			router->servers.last_serving_at_ms[router->config.server_table->servers[server_index]
							       .service_index] = now;
	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++) {
		struct request_queue *queue = &router->queueing.queues[i];
		struct client_request *next;
		uint32_t before = 0;

		for (struct client_request *request = queue->head; request; request = next) {
			int none = now - router->servers.last_serving_at_ms[request->route.service_index] >
				   ROUTER_CONFIG_MAX_STALENESS_MS;
			double wait = expected_wait_ms(queue, request, before, now);

			next = request->queueing.next_in_queue;
			if (request->stream.has_begun &&
			    now - request->queueing.returned_at_ms >
				max_stream_silence_ms(
				    &router->config.route_table->routes[request->route.index])) {
				router_break_off(router, request, 502, "no server took the stream up in time",
						 now, out);
				continue;
			}
			if (!none && wait <= (double)(request->client.deadline_at_ms - now)) {
				before++;
				continue;
			}
			router->stats.refused_early++;
			router_refuse(router, request, 503,
				      none ? router_no_server
					   : "the line is too long to be sent within the limit",
				      none ? ROUTER_RETRY_AFTER_MIN_MS : wait / 2, now, out);
		}
	}
}

/* The process ends soon: what is still here is told so, rather than find its connection closed. */
static void end_draining(struct router *router, int64_t now, struct command_list *out)
{
	if (!router->shutdown.deadlines.run_deadline_at_ms ||
	    now < router->shutdown.deadlines.send_deadline_at_ms)
		return;
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--) {
		struct client_request *request = router->requests.all[i];

		if (request->state != REQUEST_RUNNING || now >= router->shutdown.deadlines.run_deadline_at_ms)
			router_end_early(router, request, 503, "this counter is stopping", now, out);
	}
}

static void tick(struct router *router, int64_t now, struct command_list *out)
{
	router_retention_tick(router, now);
	router->config.watch.is_warm =
	    !router->shutdown.in_progress && now - router->clock.started_at_ms >= ROUTER_WARM_UP_MS;
	config_watch_tick(&router->config.watch, router->relay.knowledge.horizon, now, out);
	relay_set_upstreams(
	    &router->relay, router->config.watch.upstream, (size_t)router->config.watch.upstream_count,
	    config_watch_publisher_addr(&router->config.watch, router->relay.horizon_moved_at_ms, now), now);
	router->relay.curiosity_disabled =
	    !mechanism_on(router->config.bounds.disabled_mechanisms, MECHANISM_CURIOSITY);
	relay_tick(&router->relay, now, out);
	if (router->config.bounds.discover_instances) {
		router_load_tick(router, now, out);
		router_feed_tick(router, now, out);
	}
	if (router->config.bounds.discover_instances)
		router_watch_caches(router, now, out);
	else
		router_poll_reports(router, now, out);
	router_log_decisions(router, now);
	router_weights_recall(router, now, out);
	end_hopeless(router, now, out);
	end_draining(router, now, out);
	router_releases_tick(router, now, out);
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--) {
		struct client_request *request = router->requests.all[i];

		if (now >= request->client.deadline_at_ms) {
			router->stats.refused_deadline += request->state != REQUEST_RUNNING;
			router_end_early(router, request, request->state == REQUEST_RUNNING ? 504 : 503,
					 request->state == REQUEST_RUNNING ? "the limit passed"
									   : "the limit passed in the line",
					 now, out);
		} else if (request->state == REQUEST_CLAIMING && !request->claim.confirmed &&
			   now - request->claim.started_at_ms > ROUTER_CONFIG_MAX_STALENESS_MS) {
			router->stats.refused_early++;
			router_refuse(router, request, 503,
				      "the part of this service has no owner that answers",
				      ROUTER_RETRY_AFTER_MIN_MS, now, out);
		} else if (request->state == REQUEST_CLAIMING && !request->claim.confirmed &&
			   now - request->claim.sent_at_ms >= ROUTER_CLAIM_RETRY_INTERVAL_MS) {
			/* the same claim again: a part takes it once however often it is asked */
			router_claim_miss(router, request->route.service_index, request->claim.leader_addr);
			router_claim_send(router, request, now, out);
		}
	}
}

static void on_message(struct router *router, const struct Nl__Msg *message, int64_t now,
		       struct command_list *out)
{
	int changed;

	if (message->protocol_version != CORE_PROTOCOL_VERSION ||
	    (message->fleet_id && router->config.watch.fleet &&
	     message->fleet_id != router->config.watch.fleet))
		return;
	switch (message->body_case) {
	case NL__MSG__BODY_CONFIG_SYNC_REPLY:
	case NL__MSG__BODY_LEADER_HINT:
		changed = config_watch_receive(&router->config.watch, message, now, out);
		if (changed & 1)
			replace_route_table(router, now, out);
		else if (changed && router->config.route_table)
			replace_server_table(router, now);
		break;
	case NL__MSG__BODY_KNOWLEDGE:
	case NL__MSG__BODY_PURGE_SNAPSHOT:
	case NL__MSG__BODY_CURIOSITY:
		relay_receive(&router->relay, message, now, out);
		break;
	case NL__MSG__BODY_PROPOSE_REPLY:
		router_on_answer(router, message->propose_reply, message->addr, now, out);
		break;
	case NL__MSG__BODY_LOAD:
		router_on_load(router, message->id, message->addr, message->load, now);
		break;
	case NL__MSG__BODY_CACHE_UPDATE_BATCH:
		for (size_t i = 0; i < message->cache_update_batch->n_updates; i++)
			router_on_cache_update(router, message->cache_update_batch->updates[i], now);
		break;
	case NL__MSG__BODY_PREFIX_LOOKUP:
		router_on_prefix_lookup(router, message, out);
		break;
	case NL__MSG__BODY_PREFIX_LOOKUP_REPLY:
		router_on_prefix_reply(router, message->prefix_lookup_reply, now);
		break;
	case NL__MSG__BODY_REPORT:
		router_on_relayed_report(router, message->report, now, out);
		break;
	case NL__MSG__BODY_CONFIG_SYNC: { /* a seed need not be a controller: say whom to ask */
		struct Nl__ConfigSyncReply *reply =
		    MESSAGE_NEW(out, Nl__ConfigSyncReply, NL__CONFIG_SYNC_REPLY__INIT);

		reply->token = message->config_sync->token;
		reply->leader_hint = router->config.watch.leader_addr[SHARD_CONTROL];
		command_send(out, message->addr, SHARD_CONTROL, NL__MSG__BODY_CONFIG_SYNC_REPLY)
		    ->config_sync_reply = reply;
		break;
	}
	default:
		break;
	}
}

/* A forwarded request that a server has been sent goes on, as it does where its key is known to be removed:
 * it was sent while the configuration was certain to be in force, and the server ends it within its deadline.
 */
static int outlives_config(const struct client_request *request)
{
	return request->is_forwarded && request->state == REQUEST_RUNNING;
}

/* Cut off, or woken after a freeze: before anything else happens, what has not been sent is refused, and in
 * the product's own interface all that is held here ends. */
static void end_without_config(struct router *router, int64_t now, struct command_list *out)
{
	if (now <= router_config_valid_until(router))
		return;
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--) {
		if (outlives_config(router->requests.all[i]))
			continue;
		router->stats.ended_without_config++;
		router_end_early(router, router->requests.all[i], 503,
				 "this counter has been cut off: its configuration may be out of force", now,
				 out);
	}
}

/* The door passes a head on before it says so. Whatever ends the exchange in this very step owes its caller
 * an end of the stream: an answer would go nowhere, and the caller wait. */
static void note_listener_began(struct router *router, const struct router_event *event)
{
	uint64_t call = event->kind == ROUTER_EVENT_FORWARD_BEGAN ? event->u.forward_began.token
			: event->kind == ROUTER_EVENT_FORWARD_ENDED && event->u.forward_ended->has_begun
			    ? event->u.forward_ended->token
			    : 0;
	struct client_request *request = call ? router_request_by_token(router, call) : NULL;

	if (request && request->attempt.call_token == call)
		request->stream.has_begun = 1;
}

int64_t router_config_valid_until(const struct router *router)
{
	return router->config.watch.fetched_at_ms + ROUTER_CONFIG_MAX_STALENESS_MS;
}

/* NOLINTNEXTLINE(readability-function-size): one case for each event */
void router_step(struct router *router, const struct router_event *event, int64_t now,
		 struct command_list *out)
{
	struct client_request *request;

	out->id = router->id;
	out->addr = router->addr;
	out->fleet = router->config.watch.fleet;
	if (router->clock.now && now - router->clock.now > ROUTER_PAUSE_DETECTION_MS)
		router->clock.paused_at_ms = now;
	router->clock.now = now;
	note_listener_began(router, event);
	end_without_config(router, now, out);
	switch (event->kind) {
	case ROUTER_EVENT_TICK:
		tick(router, now, out);
		break;
	case ROUTER_EVENT_MESSAGE:
		on_message(router, event->u.message, now, out);
		break;
	case ROUTER_EVENT_CLAIMED_REQUEST:
		router_admit_claimed(router, event->u.claimed_request.token,
				     event->u.claimed_request.key_digest, event->u.claimed_request.body, now,
				     out);
		break;
	case ROUTER_EVENT_CLIENT_DISCONNECTED: /* the caller left */
		request = router_request_by_token(router, event->u.client_disconnected.token);
		if (!request || request->client.token != event->u.client_disconnected.token)
			break;
		router_request_end(router, request,
				   &(struct request_ending){ REQUEST_CLIENT_DISCONNECTED, 0, NULL, 0 }, now,
				   out);
		break;
	case ROUTER_EVENT_STREAM_CHUNK:
		request = router_request_by_token(router, event->u.stream_chunk.token);
		if (request && request->attempt.call_token == event->u.stream_chunk.token)
			router_on_stream_chunk(router, request, event->u.stream_chunk.text, now, out);
		break;
	case ROUTER_EVENT_CALL_ENDED:
		request = router_request_by_token(router, event->u.call_ended.token);
		if (request && request->attempt.call_token == event->u.call_ended.token)
			router_on_done(router, request, &event->u.call_ended, now, out);
		break;
	case ROUTER_EVENT_REPORT_POLLED:
		for (uint32_t s = 0;
		     router->config.server_table && s < router->config.server_table->server_count; s++)
			if (router->servers.states[s].poll_token == event->u.report_polled.token &&
			    event->u.report_polled.status == 200) {
				router_on_report(router, s, event->u.report_polled.body, now);
				router_relay_report(router, s, event->u.report_polled.body, out);
			}
		break;
	case ROUTER_EVENT_HTTP_GET:
		if (!strcmp(event->u.http_get.path, "/v1/usage"))
			command_answer(out, event->u.http_get.token, 200, 0, router_usage(router, out->pool));
		else if (!strcmp(event->u.http_get.path, "/v1/state"))
			command_answer(out, event->u.http_get.token, 200, 0,
				       state_json(router, now, out->pool));
		else if (!strcmp(event->u.http_get.path, "/metrics"))
			command_answer(out, event->u.http_get.token, 200, 0,
				       router_metrics(router, now, out->pool));
		else
			command_answer(out, event->u.http_get.token, 404, 0,
				       router_error_body(out->pool, "path: no such call", "refused"));
		break;
	case ROUTER_EVENT_STOP:
		router->shutdown.in_progress = 1;
		router->shutdown.deadlines = event->u.shutdown;
		break;
	case ROUTER_EVENT_FORWARDED_REQUEST:
		router_admit_forwarded(router, event->u.forwarded_request, now, out);
		break;
	case ROUTER_EVENT_FORWARD_BEGAN:
		request = router_request_by_token(router, event->u.forward_began.token);
		if (request && request->attempt.call_token == event->u.forward_began.token)
			router_on_began(router, request, event->u.forward_began.weights, now);
		break;
	case ROUTER_EVENT_FORWARD_ENDED:
		request = router_request_by_token(router, event->u.forward_ended->token);
		if (request && request->attempt.call_token == event->u.forward_ended->token)
			router_on_ended(router, request, event->u.forward_ended, now, out);
		break;
	case ROUTER_EVENT_CACHE_WATCHED:
		router_on_cache_watched(router, event->u.cache_watched.token, event->u.cache_watched.update,
					event->u.cache_watched.status, now);
		break;
	}
	router_dispatch(router, now, out);
	if (router->config.route_table &&
	    (event->kind == ROUTER_EVENT_TICK || event->kind == ROUTER_EVENT_CLAIMED_REQUEST ||
	     event->kind == ROUTER_EVENT_FORWARDED_REQUEST))
		router_request_slots(router, now, out);
}

int router_ready(const struct router *router, int64_t now)
{
	return !router->shutdown.in_progress && router->config.route_table &&
	       router->config.watch.table.revision &&
	       config_watch_age_ms(&router->config.watch, now) <= router_max_staleness_ms(router);
}

int router_idle(const struct router *router)
{
	return arrlen(router->requests.all) == 0 && arrlen(router->requests.claim_releases) == 0;
}

void router_open(struct router *router, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds,
		 int seed_count, int64_t now)
{
	memset(router, 0, sizeof *router);
	router->id = id;
	router->addr = addr;
	router->zone_name = zone;
	router->json_tokener = json_tokener_new();
	if (!router->json_tokener)
		abort();
	apr_pool_create(&router->pool, NULL);
	apr_pool_create(&router->scratch_pool, router->pool);
	router->config.bounds = bounds_default;
	router->clock.started_at_ms = now;
	router->cache.average_full_watch_bytes = ROUTER_FULL_WATCH_INITIAL_BYTES;
	router->zone_hash = core_hash_string(0, zone);
	router_lookup_open(router);
	config_watch_open(&router->config.watch, id, seeds, seed_count, now);
	router->config.watch.zone = zone;
	router->config.watch.is_router = 1;
	relay_open(&router->relay, now);
	router->relay.on_value = router_on_value;
	router->relay.context = router;
}

void router_close(struct router *router)
{
	router_requests_discard(router);
	while (arrlen(router->requests.claim_releases))
		router_release_end(router, 0);
	arrfree(router->requests.claim_releases);
	json_tokener_free(router->json_tokener);
	router_route_table_free(router->config.route_table);
	router_server_table_free(router->config.server_table);
	router_load_clear(router);
	router_feed_clear(router);
	hmfree(router->queueing.by_owner);
	arrfree(router->retention.generations);
	arrfree(router->retention.remainders);
	arrfree(router->servers.cached_depth);
	arrfree(router->servers.hashes);
	arrfree(router->records.decision_counts);
	hmfree(router->servers.by_hash);
	router_names_clear(&router->names.routes);
	router_names_clear(&router->names.tenants);
	router_names_clear(&router->names.services);
	router_names_clear(&router->names.servers);
	router_names_clear(&router->names.weights);
	prefix_index_clear(&router->cache.index);
	config_watch_close(&router->config.watch);
	relay_close(&router->relay);
	arrfree(router->servers.states);
	arrfree(router->queueing.queues);
	arrfree(router->requests.all);
	arrfree(router->quota.tenant_running);
	arrfree(router->servers.last_serving_at_ms);
	arrfree(router->quota.retry_budget);
	hmfree(router->requests.by_token);
	hmfree(router->servers.links);
	hmfree(router->records.usage);
	apr_pool_destroy(router->pool);
}
