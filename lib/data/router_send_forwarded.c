/* router_send_forwarded: sends of forwarded requests. The front end holds the text and passes the answer on;
 * here it is decided whom to, until when, and under which cache namespace, and what the send's course says of
 * the server is learned. Invariant: no send leaves on configuration or weights whose bound has passed,
 * however late this process is scheduled. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

enum {
	MIN_CONNECTIONS = 2,          /* to one server, of one router */
	MAX_REPORTED_LOAD = 100000,   /* requests at one server; more is not believed */
	MAX_WEIGHTS_NAME = 128,       /* bytes, its end included */
	REPEATED_CONNECT_FAILURES = 3 /* after more of them a server is left alone for twice as long */
};

/* ---- the send -------------------------------------------------------------------------------- */

static uint32_t routers_of(const struct router *router)
{
	return router->config.watch.router_count ? router->config.watch.router_count : 1;
}

/* How long a server may work at a request. Shortly before the end of its weights not longer than until then:
 * a server that goes on with a request after its connection has closed would begin it past their bound, and
 * rejects what its deadline has passed for. */
static int server_limit(const struct router *router, const struct client_request *request, int64_t now)
{
	int64_t limit = request->client.deadline_at_ms - now;
	int64_t weights =
	    router_weights_end(router, request->route.service_index, request->attempt.weights, now);

	if (weights != INT64_MAX && weights - now < ROUTER_ROLLOUT_DEADLINE_MARGIN_MS &&
	    weights - now < limit)
		limit = weights - now;
	return (int)limit;
}

/* When a request began to wait for its newest send. */
static int64_t waiting_since(const struct client_request *request)
{
	return request->queueing.returned_at_ms ? request->queueing.returned_at_ms
						: request->client.received_at_ms;
}

/* What was decided and is expected of it. */
static void record_decision(struct router *router, struct client_request *request, const struct plan *plan,
			    int64_t now)
{
	const struct service_config *service =
	    &router->config.route_table->services[request->route.service_index];
	int shared = router_shared_blocks(request),
	    have = plan->fetch_source >= 0 ? plan->fetch_end : plan->cached_blocks;
	uint64_t cached = router_tokens_of_blocks(request, plan->cached_blocks),
		 available = router_tokens_of_blocks(request, have);
	uint64_t uncached = have < shared ? router_tokens_of_blocks(request, shared) - available : 0;
	struct decision_counts *counts = router_decision_counts_of(router, request);

	request->attempt.decision = (struct decision){
		.reason = plan->reason,
		.candidates = plan->candidates,
		.cached_tokens = (uint32_t)cached,
		.fetched_tokens = (uint32_t)(available - cached),
		.prefill_tokens = request->attempt.prefill_tokens,
		.shared_prefill_tokens = (uint32_t)uncached,
		.uses_older_weights = request->attempt.weights != service->target_weights,
		.expected_ms = (int)request->attempt.expected_first_chunk_ms,
		.awaiting_first_chunk = true,
	};
	counts->lookups_answered += request->lookup.state == LOOKUP_ANSWERED;
	counts->lookups_missed += request->lookup.state == LOOKUP_MISSED;
	decision_count(counts, &request->attempt.decision, now - waiting_since(request));
}

static void begin_attempt(struct router *router, struct client_request *request, const struct plan *plan,
			  int64_t now)
{
	struct router_server_state *server = &router->servers.states[plan->server_index];
	struct request_attempt *attempt = &request->attempt;
	int available = plan->fetch_source >= 0 ? plan->fetch_end : plan->cached_blocks;

	request->state = REQUEST_RUNNING;
	request->retry.attempt_count++;
	attempt->server_index = plan->server_index;
	attempt->weights = server->weights;
	attempt->stamp_tick = router->relay.knowledge.horizon;
	attempt->sent_at_ms = now;
	attempt->fetch_source = plan->fetch_source;
	attempt->first_chunk_at_ms = 0;
	attempt->call_token = router_token_new(router);
	attempt->prefill_tokens =
	    (uint32_t)(router_prompt_tokens(request) - router_tokens_of_blocks(request, available));
	attempt->expected_first_chunk_ms = plan->cost_ms + ROUTER_FIRST_CHUNK_OVERHEAD_MS;
	attempt->uncached_tokens = router_uncached_tokens(request, plan->cached_blocks);
	hmput(router->requests.by_token, attempt->call_token, request);
	server->own_running++;
	server->prefill_tokens += attempt->prefill_tokens;
	server->resident_tokens += attempt->uncached_tokens;
}

/* The cache namespace of a send, and where its blocks are offloaded to. While the purge view is not current
 * the send has a namespace of its own, so that nothing is reused that may have been purged. */
static void choose_namespace(struct router *router, struct client_request *request,
			     struct forward_command *forward, int64_t now, apr_pool_t *pool)
{
	struct request_attempt *attempt = &request->attempt;
	int current = relay_is_current(&router->relay, now);

	if (current)
		forward->cache_namespace = router_cache_namespace(router, request, attempt->weights, pool);
	else
		forward->cache_namespace =
		    apr_psprintf(pool, "cold-%" APR_UINT64_T_HEX_FMT "-%" APR_UINT64_T_FMT, router->id,
				 attempt->call_token);
	attempt->cache_namespace = current ? core_hash_string(0, forward->cache_namespace) : 0;
	attempt->namespace_key = router_namespace_key(router, request);
	forward->offload_target =
	    current ? router_offload_target(router, request, attempt->cache_namespace, now) : 0;
	attempt->offload_target = forward->offload_target ? router_store_of(router, request) : -1;
}

/* The transfers of a send occupy the links of its fetch source and of its store. */
static void reserve_links(struct router *router, const struct client_request *request,
			  const struct plan *plan, int64_t now)
{
	const struct service_config *service =
	    &router->config.route_table->services[request->route.service_index];
	double store_speed = service->store_bytes_per_ms ? service->store_bytes_per_ms : 1;

	if (plan->fetch_source >= 0 && plan->fetch_end > plan->cached_blocks)
		router_link_reserve(router, (uint32_t)plan->fetch_source, plan->transfer_ms, now);
	if (request->attempt.offload_target >= 0)
		router_link_reserve(
		    router, (uint32_t)request->attempt.offload_target,
		    (double)request->attempt.prefill_tokens * service->kv_bytes_per_token / store_speed, now);
}

/* Until when a send may leave this process: a frozen one must not send what was decided before. */
static int64_t send_not_after(const struct router *router, const struct client_request *request, int64_t now)
{
	int64_t not_after =
	    router->config.watch.fetched_at_ms + router_max_staleness_ms(router) + ROUTER_SEND_LATENESS_MS;
	int64_t last_send =
	    router_weights_last_send(router, request->route.service_index, request->attempt.weights, now);

	return not_after > last_send ? last_send : not_after;
}

/* Connections that this router may have to a server; 0: as the program has it. */
static int max_connections(const struct router *router, const struct service_config *service)
{
	int connections;

	if (!service->max_connections)
		return 0;
	connections = (int)(service->max_connections * 9 / 10 / routers_of(router));
	return connections < MIN_CONNECTIONS ? MIN_CONNECTIONS : connections;
}

void router_forward(struct router *router, struct client_request *request, const struct plan *plan,
		    int64_t now, struct command_list *out)
{
	const struct route_table *routes = router->config.route_table;
	struct forward_command *forward = apr_pcalloc(out->pool, sizeof *forward);

	begin_attempt(router, request, plan, now);
	choose_namespace(router, request, forward, now, out->pool);
	reserve_links(router, request, plan, now);
	router_weights_check_send(router, request, now);
	forward->call_token = request->attempt.call_token;
	forward->client_token = request->client.token;
	forward->addr = server_config_of(router, (uint32_t)plan->server_index)->packed_addr;
	forward->server = router->names.servers.names[plan->server_index];
	if (request->route.tenant_index != routes->anonymous_tenant)
		forward->tenant = router->names.tenants.names[request->route.tenant_index];
	forward->weights = router->names.weights.names[request->attempt.weights];
	if (plan->fetch_source >= 0)
		forward->fetch_source = server_config_of(router, (uint32_t)plan->fetch_source)->packed_addr;
	forward->priority = (int)request->route.priority;
	forward->client_timeout_ms = (int)(request->client.deadline_at_ms - now);
	forward->server_timeout_ms = server_limit(router, request, now);
	forward->not_after_ms = send_not_after(router, request, now);
	forward->resume_after = request->stream.last_event_id;
	forward->headers_sent = request->stream.has_begun;
	forward->is_stream = 1;
	forward->max_connections = max_connections(router, &routes->services[request->route.service_index]);
	forward->idempotent = request->route.idempotent || request->route.resumable;
	record_decision(router, request, plan, now);
	router->load.changed = true;
	command_add(out, CMD_FORWARD)->args.forward = forward;
	if (request->retry.attempt_count > 1)
		request->retry.budget_reserved =
		    false; /* a retry earns nothing, and what was reserved for it is spent */
	else if (!request->retry.unreachable_count)
		router_count_send(router, request, plan, now);
}

/* ---- its course ------------------------------------------------------------------------------ */

/* The server caches the prompt's blocks now, and the store will, until an event says otherwise. */
static void index_blocks(struct router *router, const struct client_request *request)
{
	const struct request_attempt *attempt = &request->attempt;
	struct block_replica replica = {
		(uint32_t)attempt->server_index,
		0,
		request->route.service_index,
		attempt->weights,
		attempt->stamp_tick,
		attempt->namespace_key,
	};

	for (int i = 0; i < request->prompt.block_count; i++) {
		uint64_t key = router_block_key(attempt->cache_namespace, request->prompt.block_hash[i]);

		replica.server_index = (uint32_t)attempt->server_index;
		prefix_index_put(&router->cache.index, key, &replica);
		if (attempt->offload_target < 0)
			continue;
		replica.server_index = (uint32_t)attempt->offload_target;
		prefix_index_put(&router->cache.index, key, &replica);
	}
}

/* How much later than expected a first chunk came. */
static void learn_lateness(struct router_server_state *server, double late_ms, int64_t now)
{
	if (late_ms < 0)
		late_ms = 0;
	else if (late_ms > ROUTER_LATENESS_MAX_MS)
		late_ms = ROUTER_LATENESS_MAX_MS;
	server->lateness_ms = server->lateness_ms * 3 / 4 + late_ms / 4;
	server->lateness_observed_at_ms = now;
}

void router_on_began(struct router *router, struct client_request *request, const char *weights, int64_t now)
{
	struct request_attempt *attempt = &request->attempt;
	struct router_server_state *server = &router->servers.states[attempt->server_index];
	int64_t first_chunk_ms = now - attempt->sent_at_ms;

	request->stream.has_begun = true;
	if (attempt->first_chunk_at_ms)
		return;
	attempt->first_chunk_at_ms = now;
	decision_began(router_decision_counts_of(router, request), &attempt->decision, first_chunk_ms);
	router->load.changed = true;
	router_weights_check_begin(router, request, now);
	server->prefill_tokens -= attempt->prefill_tokens;
	attempt->prefill_tokens = 0;
	learn_lateness(server, (double)first_chunk_ms - attempt->expected_first_chunk_ms, now);
	if (weights && strcmp(weights, router->names.weights.names[attempt->weights]))
		return; /* not the weights that its namespace says */
	if (attempt->cache_namespace)
		index_blocks(router, request);
}

/* What an answer says of the load at a server, and of its health. */
static void learn_health(struct router_server_state *server, const struct forward_result *result, int64_t now)
{
	int reported = result->running + result->waiting;

	if (result->slots > 0 && result->running >= 0 && result->waiting >= 0 &&
	    reported < MAX_REPORTED_LOAD) {
		server->others_running = reported > server->own_running ? reported - server->own_running : 0;
		server->others_observed_at_ms = now;
	}
	server->failure_rate = server->failure_rate * 7 / 8;
	if (result->end == FORWARD_BROKEN_OFF) {
		server->failure_rate += 1.0 / 8;
		server->failure_observed_at_ms = now;
	}
}

/* For how long a server is left alone after a send. */
static void learn_availability(struct router *router, struct router_server_state *server,
			       const struct forward_result *result, int64_t now)
{
	if (result->end == FORWARD_NOT_STARTED && !result->status) { /* its connection did not come up */
		server->connect_failures++;
		server->unavailable_until_ms =
		    now + (server->connect_failures > REPEATED_CONNECT_FAILURES ? 2 : 1) *
			      ROUTER_UNREACHABLE_BACKOFF_MS;
	} else if (result->status) {
		server->connect_failures = 0;
	}
	if (result->end == FORWARD_NOT_STARTED && result->status == 503)
		server->unavailable_until_ms = now + ROUTER_FULL_SERVER_BACKOFF_MS; /* full, or loading */
	if (result->wrong_incarnation) {
		router->stats.wrong_incarnation++;
		server->unavailable_until_ms =
		    now + ROUTER_UNREACHABLE_BACKOFF_MS; /* the endpoint list will say who is there */
	}
}

static void learn_server(struct router *router, uint32_t server_index, const struct forward_result *result,
			 int64_t now)
{
	struct router_server_state *server = &router->servers.states[server_index];
	int weights = -1;

	if (result->weights && strlen(result->weights) < MAX_WEIGHTS_NAME)
		weights = router_weights_index(router, result->weights);
	learn_health(server, result, now);
	learn_availability(router, server, result, now);
	if (weights >= 0)
		router_weights_learn(router, server_index, (uint32_t)weights);
}

static void on_answered(struct router *router, struct client_request *request,
			const struct forward_result *result, int64_t now, struct command_list *out)
{
	struct router_server_state *server = &router->servers.states[request->attempt.server_index];

	if (!request->attempt.first_chunk_at_ms)
		router_on_began(router, request, result->weights, now);
	server->average_run_ms += ((double)(now - request->attempt.sent_at_ms) - server->average_run_ms) / 8;
	router_request_end(router, request,
			   &(struct request_ending){ REQUEST_ANSWERED, result->status, NULL, 0 }, now, out);
}

void router_on_ended(struct router *router, struct client_request *request,
		     const struct forward_result *result, int64_t now, struct command_list *out)
{
	bool not_started = result->end == FORWARD_NOT_STARTED;

	(void)hmdel(router->requests.by_token, request->attempt.call_token);
	request->attempt.call_token = 0;
	learn_server(router, (uint32_t)request->attempt.server_index, result, now);
	if (result->end != FORWARD_COMPLETE)
		decision_ended(router_decision_counts_of(router, request), &request->attempt.decision);
	if (result->last_event_id)
		request->stream.last_event_id = apr_pstrdup(request->pool, result->last_event_id);
	request->stream.next_chunk += result->chunks;
	request->stream.has_begun |= result->has_begun;
	request->retry.may_have_run |= !not_started;
	if (not_started && !result->status && !result->wrong_incarnation) {
		/* no server heard of this send: it is no attempt, and what was reserved for it is put back */
		request->retry.unreachable_count++;
		if (--request->retry.attempt_count > 0)
			router->quota.retry_budget[request->route.service_index] += ROUTER_RETRY_COST_MILLI;
	}
	if (result->end == FORWARD_COMPLETE)
		on_answered(router, request, result, now, out);
	else
		router_retry_or_end(router, request, not_started && !request->stream.has_begun, now, out);
}
