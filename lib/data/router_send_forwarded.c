/* router_send_forwarded: attempts of forwarded requests. The front end holds the text and sends the answer on
 * to the client; this file sets the server, the deadlines and the cache namespace of an attempt, and updates
 * the state of the server from the result. Invariant: no request is sent under a configuration or to weights
 * whose bound has passed, however late this process is scheduled. */
#include "router_internal.h"

#include <apr_strings.h>
#include <limits.h>
#include <string.h>

#include "containers.h"

enum {
	MIN_CONNECTIONS = 2,            /* of one router to one server */
	MAX_REPORTED_REQUESTS = 100000, /* requests at one server; larger reports are ignored */
	MAX_WEIGHTS_NAME_BYTES = 128,   /* including the terminating NUL */
	REPEATED_CONNECT_FAILURES = 3   /* after more consecutive failures the backoff of a server doubles */
};

/* ---- sending --------------------------------------------------------------------------------- */

static uint32_t fleet_router_count(const struct router *router)
{
	return router->config.watch.router_count ? router->config.watch.router_count : 1;
}

/* The time that a server has for a request. Shortly before the rollout bound of the server's weights, the
 * time ends at that bound: a server that continues with a request after its connection has closed could
 * otherwise begin the request past the bound. A server rejects requests whose deadline has passed. */
static int server_timeout_ms(const struct router *router, const struct client_request *request, int64_t now)
{
	int64_t timeout_ms = request->client.deadline_at_ms - now;
	int64_t weights_end_ms = router_weights_begin_deadline_ms(router, request->route.service_index,
								  request->attempt.weights_index, now);

	if (weights_end_ms != INT64_MAX && weights_end_ms - now < ROUTER_ROLLOUT_DEADLINE_MARGIN_MS &&
	    weights_end_ms - now < timeout_ms)
		timeout_ms = weights_end_ms - now;
	return (int)timeout_ms;
}

/* When a request began to wait for its newest attempt. */
static int64_t waiting_since_ms(const struct client_request *request)
{
	return request->queueing.returned_at_ms ? request->queueing.returned_at_ms
						: request->client.received_at_ms;
}

/* Records the placement decision of an attempt and its expected cost. */
static void record_decision(struct router *router, struct client_request *request, const struct plan *plan,
			    int64_t now)
{
	const struct service_config *service =
	    &router->config.route_table->services[request->route.service_index];
	int shared_blocks = router_shared_block_count(request),
	    available_blocks = plan->fetch_source >= 0 ? plan->blocks_after_fetch : plan->cached_blocks;
	uint64_t cached_tokens = router_tokens_of_blocks(request, plan->cached_blocks),
		 available_tokens = router_tokens_of_blocks(request, available_blocks);
	uint64_t shared_prefill_tokens =
	    available_blocks < shared_blocks
		? router_tokens_of_blocks(request, shared_blocks) - available_tokens
		: 0;
	struct decision_counts *counts = router_decision_counts_of(router, request);

	request->attempt.decision = (struct decision){
		.reason = plan->reason,
		.candidate_count = plan->candidate_count,
		.cached_tokens = (uint32_t)cached_tokens,
		.fetched_tokens = (uint32_t)(available_tokens - cached_tokens),
		.prefill_tokens = request->attempt.prefill_tokens,
		.shared_prefill_tokens = (uint32_t)shared_prefill_tokens,
		.uses_older_weights = request->attempt.weights_index != service->target_weights_index,
		.expected_first_chunk_ms = (int)request->attempt.expected_first_chunk_ms,
		.awaiting_first_chunk = true,
	};
	counts->lookups_answered += request->lookup.state == LOOKUP_ANSWERED;
	counts->lookups_missed += request->lookup.state == LOOKUP_MISSED;
	decision_on_send(counts, &request->attempt.decision, now - waiting_since_ms(request));
}

static void begin_attempt(struct router *router, struct client_request *request, const struct plan *plan,
			  int64_t now)
{
	struct router_server_state *server = &router->servers.states[plan->server_index];
	struct request_attempt *attempt = &request->attempt;
	int available_blocks = plan->fetch_source >= 0 ? plan->blocks_after_fetch : plan->cached_blocks;

	request->state = REQUEST_RUNNING;
	request->retry.attempt_count++;
	attempt->server_index = plan->server_index;
	attempt->weights_index = server->weights_index;
	attempt->stamp_tick = router->relay.knowledge.horizon;
	attempt->sent_at_ms = now;
	attempt->fetch_source_index = plan->fetch_source;
	attempt->first_chunk_at_ms = 0;
	attempt->call_token = router_token_new(router);
	attempt->prefill_tokens =
	    (uint32_t)(router_prompt_tokens(request) - router_tokens_of_blocks(request, available_blocks));
	attempt->expected_first_chunk_ms = plan->cost_ms + ROUTER_FIRST_CHUNK_OVERHEAD_MS;
	attempt->uncached_tokens = router_uncached_tokens(request, plan->cached_blocks);
	hmput(router->requests.by_token, attempt->call_token, request);
	server->own_running_count++;
	server->own_prefill_tokens += attempt->prefill_tokens;
	server->own_resident_tokens += attempt->uncached_tokens;
}

/* Sets the cache namespace of an attempt and the store that its blocks are offloaded to. While the purge view
 * is not current, the attempt has a namespace of its own, so that no block is reused that may have been
 * purged. */
static void set_cache_namespace(struct router *router, struct client_request *request,
				struct forward_command *forward, int64_t now, apr_pool_t *pool)
{
	struct request_attempt *attempt = &request->attempt;
	int is_current = relay_is_current(&router->relay, now);

	if (is_current)
		forward->cache_namespace =
		    router_cache_namespace(router, request, attempt->weights_index, pool);
	else
		forward->cache_namespace =
		    apr_psprintf(pool, "cold-%" APR_UINT64_T_HEX_FMT "-%" APR_UINT64_T_FMT, router->id,
				 attempt->call_token);
	attempt->cache_namespace = is_current ? core_hash_string(0, forward->cache_namespace) : 0;
	attempt->namespace_key = router_namespace_key(router, request);
	forward->offload_target =
	    is_current ? router_offload_target(router, request, attempt->cache_namespace, now) : 0;
	attempt->offload_store_index = forward->offload_target ? router_store_of(router, request) : -1;
}

/* Reserves time on the links of the fetch source and of the offload store for the transfers of an attempt. */
static void reserve_links(struct router *router, const struct client_request *request,
			  const struct plan *plan, int64_t now)
{
	const struct service_config *service =
	    &router->config.route_table->services[request->route.service_index];
	double store_bytes_per_ms = service->store_bytes_per_ms ? service->store_bytes_per_ms : 1;

	if (plan->fetch_source >= 0 && plan->blocks_after_fetch > plan->cached_blocks)
		router_link_reserve(router, (uint32_t)plan->fetch_source, plan->transfer_ms, now);
	if (request->attempt.offload_store_index >= 0)
		router_link_reserve(router, (uint32_t)request->attempt.offload_store_index,
				    (double)request->attempt.prefill_tokens * service->kv_bytes_per_token /
					store_bytes_per_ms,
				    now);
}

/* The latest time at which the attempt may leave this process: a process that was suspended must not send
 * requests on decisions that are out of date. */
static int64_t send_not_after_ms(const struct router *router, const struct client_request *request,
				 int64_t now)
{
	int64_t not_after_ms =
	    router->config.watch.confirmed_at_ms + router_max_staleness_ms(router) + ROUTER_SEND_LATENESS_MS;
	int64_t last_send_ms = router_weights_send_deadline_ms(router, request->route.service_index,
							       request->attempt.weights_index, now);

	return not_after_ms > last_send_ms ? last_send_ms : not_after_ms;
}

/* The maximum number of connections from this router to a server; 0: the program's default. */
static int max_connections(const struct router *router, const struct service_config *service)
{
	uint64_t connections;

	if (!service->max_connections)
		return 0;
	connections = (uint64_t)service->max_connections * 9 / 10 / fleet_router_count(router);
	if (connections > INT_MAX)
		return INT_MAX;
	return connections < MIN_CONNECTIONS ? MIN_CONNECTIONS : (int)connections;
}

void router_forward_to_server(struct router *router, struct client_request *request, const struct plan *plan,
			      int64_t now, struct command_list *out)
{
	const struct route_table *routes = router->config.route_table;
	struct forward_command *forward = apr_pcalloc(out->pool, sizeof *forward);

	begin_attempt(router, request, plan, now);
	set_cache_namespace(router, request, forward, now, out->pool);
	reserve_links(router, request, plan, now);
	router_weights_check_send(router, request, now);
	forward->call_token = request->attempt.call_token;
	forward->client_token = request->client.token;
	forward->addr = server_config_of(router, (uint32_t)plan->server_index)->packed_addr;
	forward->server = router->names.servers.names[plan->server_index];
	if (request->route.tenant_index != routes->anonymous_tenant_index)
		forward->tenant = router->names.tenants.names[request->route.tenant_index];
	forward->weights = router->names.weights.names[request->attempt.weights_index];
	if (plan->fetch_source >= 0)
		forward->fetch_source = server_config_of(router, (uint32_t)plan->fetch_source)->packed_addr;
	forward->priority = (int)request->route.priority;
	forward->client_timeout_ms = (int)(request->client.deadline_at_ms - now);
	forward->server_timeout_ms = server_timeout_ms(router, request, now);
	forward->not_after_ms = send_not_after_ms(router, request, now);
	forward->resume_after = request->stream.last_event_id;
	forward->headers_sent = request->stream.has_begun;
	forward->is_stream = 1;
	forward->max_connections = max_connections(router, &routes->services[request->route.service_index]);
	forward->is_idempotent = request->route.idempotent || request->route.resumable;
	record_decision(router, request, plan, now);
	router->load.has_unsent_change = true;
	command_add(out, CMD_FORWARD)->args.forward = forward;
	if (request->retry.attempt_count > 1)
		/* A retry adds nothing to the budget, and its reservation has now been spent. */
		request->retry.budget_reserved = false;
	else if (!request->retry.unreachable_count)
		router_count_send(router, request, plan, now);
}

/* ---- progress and result of an attempt ------------------------------------------------------- */

/* Adds the prompt's blocks to the prefix index as cached at the server and at the offload store, until a
 * cache event says otherwise. */
static void index_blocks(struct router *router, const struct client_request *request)
{
	const struct request_attempt *attempt = &request->attempt;
	struct block_replica replica = {
		(uint32_t)attempt->server_index,
		0,
		request->route.service_index,
		attempt->weights_index,
		attempt->stamp_tick,
		attempt->namespace_key,
	};

	for (int i = 0; i < request->prompt.block_count; i++) {
		uint64_t key = router_block_key(attempt->cache_namespace, request->prompt.block_hash[i]);

		replica.server_index = (uint32_t)attempt->server_index;
		prefix_index_put(&router->cache.index, key, &replica);
		if (attempt->offload_store_index < 0)
			continue;
		replica.server_index = (uint32_t)attempt->offload_store_index;
		prefix_index_put(&router->cache.index, key, &replica);
	}
}

/* Updates the smoothed lateness of a server's first chunks. */
static void record_lateness(struct router_server_state *server, double late_ms, int64_t now)
{
	if (late_ms < 0)
		late_ms = 0;
	else if (late_ms > ROUTER_LATENESS_MAX_MS)
		late_ms = ROUTER_LATENESS_MAX_MS;
	server->first_chunk_lateness_ms = server->first_chunk_lateness_ms * 3 / 4 + late_ms / 4;
	server->lateness_observed_at_ms = now;
}

void router_on_forward_began(struct router *router, struct client_request *request, const char *weights,
			     int64_t now)
{
	struct request_attempt *attempt = &request->attempt;
	struct router_server_state *server = &router->servers.states[attempt->server_index];
	int64_t first_chunk_ms = now - attempt->sent_at_ms;

	request->stream.has_begun = true;
	if (attempt->first_chunk_at_ms)
		return;
	attempt->first_chunk_at_ms = now;
	decision_on_first_chunk(router_decision_counts_of(router, request), &attempt->decision,
				first_chunk_ms);
	router->load.has_unsent_change = true;
	router_weights_check_begin(router, request, now);
	server->own_prefill_tokens -= attempt->prefill_tokens;
	attempt->prefill_tokens = 0;
	record_lateness(server, (double)first_chunk_ms - attempt->expected_first_chunk_ms, now);
	if (weights && strcmp(weights, router->names.weights.names[attempt->weights_index]))
		return; /* the answer comes from weights other than those in the cache namespace */
	if (attempt->cache_namespace)
		index_blocks(router, request);
}

/* Updates the load of a server from the values that an answer reported, and its failure rate from the result.
 */
static void record_load_and_failures(struct router_server_state *server, const struct forward_result *result,
				     int64_t now)
{
	int reported_requests = result->running_requests + result->waiting_requests;

	if (result->slots > 0 && result->running_requests >= 0 && result->waiting_requests >= 0 &&
	    reported_requests < MAX_REPORTED_REQUESTS) {
		server->others_running_count = reported_requests > server->own_running_count
						   ? reported_requests - server->own_running_count
						   : 0;
		server->others_observed_at_ms = now;
	}
	server->failure_rate = server->failure_rate * 7 / 8;
	if (result->end == FORWARD_BROKEN_OFF) {
		server->failure_rate += 1.0 / 8;
		server->failure_observed_at_ms = now;
	}
}

/* Sets for how long no request is sent to a server after a failed attempt. */
static void set_server_backoff(struct router *router, struct router_server_state *server,
			       const struct forward_result *result, int64_t now)
{
	if (result->end == FORWARD_NOT_STARTED && !result->status) {
		/* the connection could not be established */
		server->consecutive_connect_failures++;
		server->unavailable_until_ms =
		    now + (server->consecutive_connect_failures > REPEATED_CONNECT_FAILURES ? 2 : 1) *
			      ROUTER_UNREACHABLE_BACKOFF_MS;
	} else if (result->status) {
		server->consecutive_connect_failures = 0;
	}
	if (result->end == FORWARD_NOT_STARTED && result->status == 503)
		server->unavailable_until_ms =
		    now + ROUTER_FULL_SERVER_BACKOFF_MS; /* the server is full or loading weights */
	if (result->is_wrong_incarnation) {
		router->stats.wrong_incarnation++;
		server->unavailable_until_ms =
		    now + ROUTER_UNREACHABLE_BACKOFF_MS; /* until the endpoint list names the new server */
	}
}

static void update_server_state(struct router *router, uint32_t server_index,
				const struct forward_result *result, int64_t now)
{
	struct router_server_state *server = &router->servers.states[server_index];
	int weights_index = -1;

	if (result->weights && strlen(result->weights) < MAX_WEIGHTS_NAME_BYTES)
		weights_index = router_weights_find_or_add(router, result->weights);
	record_load_and_failures(server, result, now);
	set_server_backoff(router, server, result, now);
	if (weights_index >= 0)
		router_weights_record(router, server_index, (uint32_t)weights_index);
}

static void on_answer_complete(struct router *router, struct client_request *request,
			       const struct forward_result *result, int64_t now, struct command_list *out)
{
	struct router_server_state *server = &router->servers.states[request->attempt.server_index];

	if (!request->attempt.first_chunk_at_ms)
		router_on_forward_began(router, request, result->weights, now);
	server->average_request_ms +=
	    ((double)(now - request->attempt.sent_at_ms) - server->average_request_ms) / 8;
	router_request_end(router, request,
			   &(struct request_ending){ REQUEST_ANSWERED, result->status, NULL, 0 }, now, out);
}

void router_on_forward_ended(struct router *router, struct client_request *request,
			     const struct forward_result *result, int64_t now, struct command_list *out)
{
	bool not_started = result->end == FORWARD_NOT_STARTED;

	(void)hmdel(router->requests.by_token, request->attempt.call_token);
	request->attempt.call_token = 0;
	update_server_state(router, (uint32_t)request->attempt.server_index, result, now);
	if (result->end != FORWARD_COMPLETE)
		decision_on_attempt_end(router_decision_counts_of(router, request),
					&request->attempt.decision);
	if (result->last_event_id)
		request->stream.last_event_id = apr_pstrdup(request->pool, result->last_event_id);
	request->stream.next_chunk += result->chunks;
	request->stream.has_begun |= result->has_stream_begun;
	request->retry.may_have_run |= !not_started;
	if (not_started && !result->status && !result->is_wrong_incarnation) {
		/* The attempt reached no server: it does not count, and its reservation returns to the retry
		 * budget. */
		request->retry.unreachable_count++;
		if (--request->retry.attempt_count > 0)
			router->quota.retry_budget_milli[request->route.service_index] +=
			    ROUTER_RETRY_COST_MILLI;
	}
	if (result->end == FORWARD_COMPLETE)
		on_answer_complete(router, request, result, now, out);
	else
		router_retry_or_end(router, request, not_started && !request->stream.has_begun, now, out);
}
