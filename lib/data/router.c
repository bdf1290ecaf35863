/* router: the step function. It records the time, ends requests that must not continue, passes the event to
 * its handler and dispatches waiting requests. Invariant: a request that was received has either ended
 * exactly once or is in progress (router_outcomes_balance). */
#include "router_internal.h"

#include <stdlib.h>
#include <string.h>

#include "containers.h"

/* Message intervals are stretched in proportion to the number of routers between these two fleet sizes. */
enum { UNSTRETCHED_MAX_ROUTERS = 16, FULLY_STRETCHED_ROUTERS = 64 };

struct json_object *router_read_json(struct router *router, const char *text)
{
	json_tokener_reset(router->json_tokener);
	return json_tokener_parse_ex(router->json_tokener, text, -1);
}

uint64_t router_token_new(struct router *router)
{
	return ++router->requests.last_token | 1ull << 63;
}

int router_scaled_interval_ms(const struct router *router, int ms)
{
	uint32_t router_count = router->config.watch.router_count;

	if (router_count <= UNSTRETCHED_MAX_ROUTERS)
		return ms;
	if (router_count >= FULLY_STRETCHED_ROUTERS)
		return FULLY_STRETCHED_ROUTERS / UNSTRETCHED_MAX_ROUTERS * ms;
	return ms * (int)router_count / UNSTRETCHED_MAX_ROUTERS;
}

/* ---- events ---------------------------------------------------------------------------------- */

static void relay_purges(struct router *router, int64_t now, struct command_list *out)
{
	struct config_watch *watch = &router->config.watch;
	uint64_t publisher = config_watch_publisher_addr(watch, router->relay.horizon_moved_at_ms, now);

	relay_set_upstreams(&router->relay, watch->upstream_addrs, (size_t)watch->upstream_count, publisher,
			    now);
	router->relay.curiosity_disabled = !mechanism_in_use(router, MECHANISM_CURIOSITY);
	relay_tick(&router->relay, now, out);
}

static void on_tick(struct router *router, int64_t now, struct command_list *out)
{
	bool is_warm = now - router->clock.started_at_ms >= ROUTER_WARM_UP_MS;

	router_retention_tick(router, now);
	router->config.watch.is_warm = !router->shutdown.in_progress && is_warm;
	config_watch_tick(&router->config.watch, router->relay.knowledge.horizon, now, out);
	relay_purges(router, now, out);
	if (router->config.bounds.use_endpoint_list) {
		router_load_tick(router, now, out);
		router_feed_tick(router, now, out);
		router_start_cache_watches(router, now, out);
	} else {
		router_poll_reports(router, now, out);
	}
	router_log_decisions(router, now);
	router_weights_recall(router, now, out);
	router_end_unservable(router, now, out);
	router_end_for_shutdown(router, now, out);
	router_claim_releases_tick(router, now, out);
	router_end_expired(router, now, out);
}

/* Answers a process that uses this router as a configuration seed: names the leader of the control shard. */
static void reply_to_config_sync(struct router *router, const struct Nl__Msg *message,
				 struct command_list *out)
{
	struct Nl__ConfigSyncReply *reply =
	    MESSAGE_NEW(out, Nl__ConfigSyncReply, NL__CONFIG_SYNC_REPLY__INIT);

	reply->token = message->config_sync->token;
	reply->leader_hint = router->config.watch.leader_addr[SHARD_CONTROL];
	command_send(out, message->addr, SHARD_CONTROL, NL__MSG__BODY_CONFIG_SYNC_REPLY)->config_sync_reply =
	    reply;
}

/* Whether a message has the protocol version of this router and, where both fleet ids are known, comes from
 * the same fleet. */
static bool is_from_fleet(const struct router *router, const struct Nl__Msg *message)
{
	uint64_t fleet_id = router->config.watch.fleet_id;

	if (message->protocol_version != CORE_PROTOCOL_VERSION)
		return false;
	return !message->fleet_id || !fleet_id || message->fleet_id == fleet_id;
}

static void on_message(struct router *router, const struct Nl__Msg *message, int64_t now,
		       struct command_list *out)
{
	if (!is_from_fleet(router, message))
		return;
	switch (message->body_case) {
	case NL__MSG__BODY_CONFIG_SYNC_REPLY:
	case NL__MSG__BODY_LEADER_HINT:
		router_on_config_message(router, message, now, out);
		break;
	case NL__MSG__BODY_KNOWLEDGE:
	case NL__MSG__BODY_PURGE_SNAPSHOT:
	case NL__MSG__BODY_CURIOSITY:
		relay_receive(&router->relay, message, now, out);
		break;
	case NL__MSG__BODY_PROPOSE_REPLY:
		router_on_propose_reply(router, message->propose_reply, message->addr, now, out);
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
	case NL__MSG__BODY_CONFIG_SYNC:
		reply_to_config_sync(router, message, out);
		break;
	default:
		break;
	}
}

/* The request whose newest attempt has this token; NULL: the request has ended or has been sent again. */
static struct client_request *find_request_by_call(struct router *router, uint64_t call_token)
{
	struct client_request *request = call_token ? router_request_by_token(router, call_token) : NULL;

	return request && request->attempt.call_token == call_token ? request : NULL;
}

/* Records that the client has received response headers, before anything else in this step. The front end
 * sends the headers before it reports them. If the request ended in this same step without the record, it
 * would be given a new response instead of the end of its stream; that response could not be delivered, and
 * the client would wait. */
static void record_stream_began(struct router *router, const struct router_event *event)
{
	struct client_request *request = NULL;

	if (event->kind == ROUTER_EVENT_FORWARD_STREAM_BEGAN)
		request = find_request_by_call(router, event->args.forward_began.token);
	else if (event->kind == ROUTER_EVENT_FORWARD_ENDED && event->args.forward_ended->has_stream_begun)
		request = find_request_by_call(router, event->args.forward_ended->token);
	if (request)
		request->stream.has_begun = true;
}

static void on_client_disconnected(struct router *router, uint64_t token, int64_t now,
				   struct command_list *out)
{
	struct client_request *request = router_request_by_token(router, token);

	if (request && request->client.token == token)
		router_request_end(router, request,
				   &(struct request_ending){ REQUEST_CLIENT_DISCONNECTED, 0, NULL, 0 }, now,
				   out);
}

/* Handles events that come from servers. */
static void on_server_event(struct router *router, const struct router_event *event, int64_t now,
			    struct command_list *out)
{
	struct client_request *request;

	switch (event->kind) {
	case ROUTER_EVENT_STREAM_CHUNK:
		request = find_request_by_call(router, event->args.stream_chunk.token);
		if (request)
			router_on_stream_chunk(router, request, event->args.stream_chunk.text, now, out);
		break;
	case ROUTER_EVENT_CALL_ENDED:
		request = find_request_by_call(router, event->args.call_ended.token);
		if (request)
			router_on_call_ended(router, request, event->args.call_ended.status,
					     event->args.call_ended.not_started, now, out);
		break;
	case ROUTER_EVENT_FORWARD_STREAM_BEGAN:
		request = find_request_by_call(router, event->args.forward_began.token);
		if (request)
			router_on_forward_began(router, request, event->args.forward_began.weights, now);
		break;
	case ROUTER_EVENT_FORWARD_ENDED:
		request = find_request_by_call(router, event->args.forward_ended->token);
		if (request)
			router_on_forward_ended(router, request, event->args.forward_ended, now, out);
		break;
	case ROUTER_EVENT_REPORT_POLLED:
		router_on_report_reply(router, event->args.report_polled.token,
				       event->args.report_polled.status, event->args.report_polled.body, now,
				       out);
		break;
	default:
		router_on_cache_watch_reply(router, event->args.cache_watched.token,
					    event->args.cache_watched.update,
					    event->args.cache_watched.status, now);
		break;
	}
}

static void on_event(struct router *router, const struct router_event *event, int64_t now,
		     struct command_list *out)
{
	switch (event->kind) {
	case ROUTER_EVENT_TICK:
		on_tick(router, now, out);
		break;
	case ROUTER_EVENT_MESSAGE:
		on_message(router, event->args.message, now, out);
		break;
	case ROUTER_EVENT_CLAIMED_REQUEST:
		router_admit_claimed(router, event->args.claimed_request.token,
				     event->args.claimed_request.key_digest, event->args.claimed_request.body,
				     now, out);
		break;
	case ROUTER_EVENT_FORWARDED_REQUEST:
		router_admit_forwarded(router, event->args.forwarded_request, now, out);
		break;
	case ROUTER_EVENT_CLIENT_DISCONNECTED:
		on_client_disconnected(router, event->args.client_disconnected.token, now, out);
		break;
	case ROUTER_EVENT_HTTP_GET:
		router_on_http_get(router, event->args.http_get.token, event->args.http_get.path, now, out);
		break;
	case ROUTER_EVENT_SHUTDOWN:
		router->shutdown.in_progress = true;
		router->shutdown.deadlines = event->args.shutdown;
		break;
	case ROUTER_EVENT_STREAM_CHUNK:
	case ROUTER_EVENT_CALL_ENDED:
	case ROUTER_EVENT_REPORT_POLLED:
	case ROUTER_EVENT_FORWARD_STREAM_BEGAN:
	case ROUTER_EVENT_FORWARD_ENDED:
	case ROUTER_EVENT_CACHE_WATCHED:
		on_server_event(router, event, now, out);
		break;
	}
}

/* Whether an event may have changed how many quota slots this router needs. */
static bool may_change_needed_slots(enum router_event_kind kind)
{
	return kind == ROUTER_EVENT_TICK || kind == ROUTER_EVENT_CLAIMED_REQUEST ||
	       kind == ROUTER_EVENT_FORWARDED_REQUEST;
}

void router_step(struct router *router, const struct router_event *event, int64_t now,
		 struct command_list *out)
{
	out->id = router->id;
	out->addr = router->addr;
	out->fleet = router->config.watch.fleet_id;
	if (router->clock.now_ms && now - router->clock.now_ms > ROUTER_PAUSE_DETECTION_MS)
		router->clock.resumed_at_ms = now;
	router->clock.now_ms = now;
	record_stream_began(router, event);
	router_end_without_config(router, now, out);
	on_event(router, event, now, out);
	router_dispatch(router, now, out);
	if (router->config.route_table && may_change_needed_slots(event->kind))
		router_request_quota_slots(router, now, out);
}

/* ---- opening and closing --------------------------------------------------------------------- */

bool router_ready(const struct router *router, int64_t now)
{
	if (router->shutdown.in_progress || !router->config.route_table ||
	    router->config.watch.is_unconfigured)
		return false;
	return router->config.watch.table.revision &&
	       config_watch_age_ms(&router->config.watch, now) <= router_max_staleness_ms(router);
}

bool router_idle(const struct router *router)
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
	router->zone_hash = core_hash_string(0, zone);
	router->json_tokener = json_tokener_new();
	if (!router->json_tokener)
		abort();
	apr_pool_create(&router->pool, NULL);
	apr_pool_create(&router->scratch_pool, router->pool);
	router->clock.started_at_ms = now;
	router->config.bounds = bounds_default;
	router->cache.average_full_watch_bytes = ROUTER_FULL_WATCH_INITIAL_BYTES;
	router_lookup_init(router);
	config_watch_open(&router->config.watch, id, seeds, seed_count, now);
	router->config.watch.zone = zone;
	router->config.watch.is_router = 1;
	relay_open(&router->relay, now);
	router->relay.on_value = router_on_purge_value;
	router->relay.context = router;
}

static void close_requests(struct router *router)
{
	router_requests_discard(router);
	while (arrlen(router->requests.claim_releases))
		router_claim_release_drop(router, 0);
	arrfree(router->requests.claim_releases);
	arrfree(router->requests.all);
	hmfree(router->requests.by_token);
	hmfree(router->queueing.index_by_route_and_tenant);
	arrfree(router->queueing.queues);
	arrfree(router->quota.tenant_slots_held);
	arrfree(router->quota.retry_budget_milli);
}

static void close_servers(struct router *router)
{
	router_feed_clear(router);
	router_load_clear(router);
	arrfree(router->servers.states);
	arrfree(router->servers.name_hashes);
	hmfree(router->servers.by_name_hash);
	arrfree(router->servers.cached_block_counts);
	arrfree(router->servers.last_serving_at_ms);
	hmfree(router->servers.links);
	prefix_index_clear(&router->cache.index);
}

static void close_config(struct router *router)
{
	router_route_table_free(router->config.route_table);
	router_server_table_free(router->config.server_table);
	config_watch_close(&router->config.watch);
	names_clear(&router->names.routes);
	names_clear(&router->names.tenants);
	names_clear(&router->names.services);
	names_clear(&router->names.servers);
	names_clear(&router->names.weights);
}

void router_close(struct router *router)
{
	close_requests(router);
	close_servers(router);
	close_config(router);
	relay_close(&router->relay);
	arrfree(router->retention.newest_purges);
	arrfree(router->retention.remainders);
	arrfree(router->records.decision_counts);
	hmfree(router->records.usage);
	json_tokener_free(router->json_tokener);
	apr_pool_destroy(router->pool);
}
