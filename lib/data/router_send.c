/* router_send: sends, what comes back from servers, and when another may have it. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

static struct json_object *copy_json(const struct router *router, uint64_t hash,
				     const struct block_replica *replica, apr_pool_t *pool)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "h",
			       json_object_new_string(apr_psprintf(pool, "%016" APR_UINT64_T_HEX_FMT, hash)));
	json_object_object_add(object, "m",
			       json_object_new_string(router->names.tenants.names[replica->tenant_index]));
	json_object_object_add(object, "t", json_object_new_int64((int64_t)replica->stamp_tick));
	return object;
}

/* Resends that may be saved up: a router's part of what the fleet may resend at once beside its share of the
 * traffic. */
static int64_t budget_cap(const struct router *router)
{
	uint32_t n = router->config.watch.router_count ? router->config.watch.router_count : 1;

	return router->config.bounds.discover_instances
		   ? 1000 + (int64_t)router->config.bounds.retry_budget_slack * 600 / n
		   : ROUTER_RETRY_BUDGET_MAX_MILLI;
}

/* What every send costs and earns, whatever its door. */
static void count_send(struct router *router, struct client_request *request, const struct plan *plan,
		       int64_t now)
{
	router->stats.sends++;
	router->quota.retry_budget[request->route.service_index] +=
	    router->config.bounds.discover_instances ? router->config.bounds.retry_budget_permille * 3 / 4
						     : ROUTER_RETRY_EARNED_PER_SEND_MILLI;
	if (router->quota.retry_budget[request->route.service_index] > budget_cap(router))
		router->quota.retry_budget[request->route.service_index] = budget_cap(router);
	router->stats.tokens +=
	    router_tokens_of_blocks(request, request->prompt.block_count) + request->prompt.tail_tokens;
	router->stats.reused += router_tokens_of_blocks(request, plan->cached_blocks);
	router->stats.fetched += plan->fetch_source >= 0
				     ? router_tokens_of_blocks(request, plan->fetch_end) -
					   router_tokens_of_blocks(request, plan->cached_blocks)
				     : 0;
	router->stats.sends_without_cache += !relay_is_current(&router->relay, now);
	router_usage_of(router, request)->value.tokens +=
	    router_tokens_of_blocks(request, request->prompt.block_count) + request->prompt.tail_tokens;
	router_usage_of(router, request)->value.reused +=
	    router_tokens_of_blocks(request, plan->cached_blocks);
}

/* The one place where an exchange leaves for a server. */
/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
static void send_to(struct router *c, struct client_request *request, const struct plan *plan, int64_t now,
		    struct command_list *o)
{
	const struct route_table *routes = c->config.route_table;
	struct router_server_state *server = &c->servers.states[plan->server_index];
	struct json_object *object = json_object_new_object(), *array;
	struct command *command;
	double read;

	request->state = REQUEST_RUNNING;
	request->attempt.server_index = plan->server_index;
	request->attempt.weights = server->weights;
	request->attempt.stamp_tick = c->relay.knowledge.horizon;
	request->attempt.sent_at_ms = now;
	request->retry.attempt_count++;
	request->stream.next_chunk = 0;
	request->attempt.fetch_source = plan->fetch_source;
	request->attempt.expected_fetch_ms = (uint32_t)(plan->fetch_ms + 0.5);
	request->attempt.call_token = router_token_new(c);
	hmput(c->requests.by_token, request->attempt.call_token, request);
	request->attempt.id =
	    apr_psprintf(request->pool, "%016" APR_UINT64_T_HEX_FMT "-%" APR_UINT64_T_FMT "-%d", c->id,
			 request->sequence, request->retry.attempt_count);
	server->own_running++;
	json_object_object_add(object, "x", json_object_new_string(request->attempt.id));
	json_object_object_add(object, "id", json_object_new_string(request->client.request_id));
	json_object_object_add(object, "tenant",
			       json_object_new_string(c->names.tenants.names[request->route.tenant_index]));
	json_object_object_add(object, "weights",
			       json_object_new_string(c->names.weights.names[request->attempt.weights]));
	json_object_object_add(object, "stamp", json_object_new_int64((int64_t)request->attempt.stamp_tick));
	json_object_object_add(object, "limit_ms",
			       json_object_new_int64(request->client.deadline_at_ms - now));
	array = json_object_new_array();
	for (int i = 0; i < request->prompt.block_count; i++) {
		struct json_object *json = json_object_new_object();

		json_object_object_add(
		    json, "h",
		    json_object_new_string(
			apr_psprintf(o->pool, "%016" APR_UINT64_T_HEX_FMT, request->prompt.block_hash[i])));
		json_object_object_add(json, "text", json_object_new_string(request->prompt.block_text[i]));
		json_object_array_add(array, json);
	}
	json_object_object_add(object, "parts", array);
	json_object_object_add(object, "tail", json_object_new_string(request->prompt.tail_text));
	array = json_object_new_array();
	for (int i = 0; i < plan->cached_blocks; i++)
		json_object_array_add(
		    array,
		    copy_json(c, request->prompt.block_hash[i],
			      router_usable_replica(c, request, request->prompt.block_hash[i],
						    (uint32_t)plan->server_index, request->attempt.weights),
			      o->pool));
	json_object_object_add(object, "reuse", array);
	if (plan->fetch_source >= 0) {
		struct json_object *fetch = json_object_new_object();

		array = json_object_new_array();
		for (int i = plan->cached_blocks; i < plan->fetch_end; i++)
			json_object_array_add(
			    array, copy_json(c, request->prompt.block_hash[i],
					     router_usable_replica(c, request, request->prompt.block_hash[i],
								   (uint32_t)plan->fetch_source,
								   request->attempt.weights),
					     o->pool));
		json_object_object_add(
		    fetch, "from",
		    json_object_new_string(c->config.server_table->servers[plan->fetch_source].addr));
		json_object_object_add(fetch, "parts", array);
		/* no longer than reading them anew would take */
		read = (double)(router_tokens_of_blocks(request, plan->fetch_end) -
				router_tokens_of_blocks(request, plan->cached_blocks)) /
		       routes->services[request->route.service_index].prefill_tokens_per_ms;
		json_object_object_add(fetch, "wait_ms",
				       json_object_new_int(read < 1 ? 1
							   : read > ROUTER_FETCH_MAX_WAIT_MS
							       ? ROUTER_FETCH_MAX_WAIT_MS
							       : (int)read));
		json_object_object_add(object, "fetch", fetch);
	}
	command = command_add(o, CMD_CALL);
	command->args.call.token = request->attempt.call_token;
	command->args.call.addr =
	    apr_pstrdup(o->pool, c->config.server_table->servers[plan->server_index].addr);
	command->args.call.path = "/v1/run";
	command->args.call.body =
	    apr_pstrdup(o->pool, json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN |
									    JSON_C_TO_STRING_NOSLASHESCAPE));
	command->args.call.limit_ms = (int)(request->client.deadline_at_ms - now);
	command->args.call.stream = 1;
	command->args.call.not_after_ms = c->config.watch.fetched_at_ms + router_max_staleness_ms(c) +
					  200; /* a frozen process must not send what was decided before */
	json_object_put(object);
	count_send(c, request, plan, now);
}

/* How long a server may work at a request. Shortly before the end of its weights not longer than until then:
 * a server that goes on with a request after its connection has closed would begin it past their bound, and
 * turns away what its deadline has passed for. */
static int server_limit(const struct router *router, const struct client_request *request, int64_t now)
{
	int64_t limit = request->client.deadline_at_ms - now,
		weights =
		    router_weights_end(router, request->route.service_index, request->attempt.weights, now);

	if (weights != INT64_MAX && weights - now < ROUTER_ROLLOUT_DEADLINE_MARGIN_MS &&
	    weights - now < limit)
		limit = weights - now;
	return (int)limit;
}

static struct decision_counts *decisions_of(struct router *router, const struct client_request *request)
{
	while (arrlen(router->records.decision_counts) <= (ptrdiff_t)request->route.index)
		arrput(router->records.decision_counts, NULL);
	if (!router->records.decision_counts[request->route.index])
		router->records.decision_counts[request->route.index] =
		    apr_pcalloc(router->pool, sizeof **router->records.decision_counts);
	return router->records.decision_counts[request->route.index];
}

/* What was decided and is expected of it. */
static void record_decision(struct router *router, struct client_request *request, const struct plan *plan,
			    int64_t now)
{
	int shared = request->prompt.block_count > 1 ? request->prompt.block_count - 1
						     : request->prompt.block_count,
	    have = plan->fetch_source >= 0 ? plan->fetch_end : plan->cached_blocks;
	uint64_t uncached =
	    have < shared ? router_tokens_of_blocks(request, shared) - router_tokens_of_blocks(request, have)
			  : 0;
	struct decision_counts *counts = decisions_of(router, request);

	request->attempt.decision = (struct decision){
		.reason = plan->reason,
		.candidates = plan->candidates,
		.cached_tokens = (uint32_t)router_tokens_of_blocks(request, plan->cached_blocks),
		.fetched_tokens = (uint32_t)(router_tokens_of_blocks(request, have) -
					     router_tokens_of_blocks(request, plan->cached_blocks)),
		.prefill_tokens = request->attempt.prefill_tokens,
		.shared_prefill_tokens = (uint32_t)uncached,
		.uses_older_weights =
		    request->attempt.weights !=
		    router->config.route_table->services[request->route.service_index].target_weights,
		.expected_ms = (int)request->attempt.expected_first_chunk_ms,
		.awaiting_first_piece = 1,
	};
	counts->lookups_answered += request->lookup.state == LOOKUP_ANSWERED;
	counts->lookups_missed += request->lookup.state == LOOKUP_MISSED;
	decision_count(counts, &request->attempt.decision,
		       now - (request->queueing.returned_at_ms ? request->queueing.returned_at_ms
							       : request->client.received_at_ms));
}

/* The text goes from the door; here is whom to, and what for. */
/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
void router_forward(struct router *router, struct client_request *request, const struct plan *plan,
		    int64_t now, struct command_list *out)
{
	const struct route_table *routes = router->config.route_table;
	const struct server_config *config = &router->config.server_table->servers[plan->server_index];
	struct router_server_state *server = &router->servers.states[plan->server_index];
	struct forward_command *forward = apr_pcalloc(out->pool, sizeof *forward);
	int current = relay_is_current(&router->relay, now);
	int64_t last_send;

	request->state = REQUEST_RUNNING;
	request->attempt.server_index = plan->server_index;
	request->attempt.weights = server->weights;
	request->attempt.stamp_tick = router->relay.knowledge.horizon;
	request->attempt.sent_at_ms = now;
	request->retry.attempt_count++;
	request->attempt.fetch_source = plan->fetch_source;
	request->attempt.first_chunk_at_ms = 0;
	request->attempt.call_token = router_token_new(router);
	hmput(router->requests.by_token, request->attempt.call_token, request);
	request->attempt.prefill_tokens =
	    (uint32_t)(router_tokens_of_blocks(request, request->prompt.block_count) +
		       request->prompt.tail_tokens -
		       router_tokens_of_blocks(request, plan->fetch_source >= 0 ? plan->fetch_end
										: plan->cached_blocks));
	request->attempt.expected_first_chunk_ms = plan->cost_ms + ROUTER_FIRST_CHUNK_OVERHEAD_MS;
	server->own_running++;
	server->prefill_tokens += request->attempt.prefill_tokens;
	request->attempt.uncached_tokens = router_uncached_tokens(request, plan->cached_blocks);
	server->resident_tokens += request->attempt.uncached_tokens;
	forward->call_token = request->attempt.call_token;
	forward->client_token = request->client.token;
	forward->addr = config->packed_addr;
	forward->server = router->names.servers.names[plan->server_index];
	forward->tenant = request->route.tenant_index == routes->anonymous_tenant
			      ? NULL
			      : router->names.tenants.names[request->route.tenant_index];
	forward->cache_namespace =
	    current ? router_cache_namespace(router, request, server->weights, out->pool)
		    : apr_psprintf(out->pool, "cold-%" APR_UINT64_T_HEX_FMT "-%" APR_UINT64_T_FMT, router->id,
				   request->attempt.call_token);
	request->attempt.cache_namespace = current ? core_hash_string(0, forward->cache_namespace) : 0;
	request->attempt.namespace_key = router_namespace_key(router, request);
	forward->offload_target =
	    current ? router_offload_target(router, request, request->attempt.cache_namespace, now) : 0;
	if (plan->fetch_source >= 0 && plan->fetch_end > plan->cached_blocks)
		router_link_reserve(router, (uint32_t)plan->fetch_source, plan->transfer_ms, now);
	if (forward->offload_target)
		router_link_reserve(
		    router, (uint32_t)router_store_of(router, request),
		    (double)request->attempt.prefill_tokens *
			routes->services[request->route.service_index].kv_bytes_per_token /
			(routes->services[request->route.service_index].store_bytes_per_ms
			     ? routes->services[request->route.service_index].store_bytes_per_ms
			     : 1),
		    now);
	request->attempt.offload_target = forward->offload_target ? router_store_of(router, request) : -1;
	forward->weights = router->names.weights.names[server->weights];
	forward->fetch_source = plan->fetch_source >= 0
				    ? router->config.server_table->servers[plan->fetch_source].packed_addr
				    : 0;
	forward->priority = (int)request->route.priority;
	forward->client_timeout_ms = (int)(request->client.deadline_at_ms - now);
	forward->server_timeout_ms = server_limit(router, request, now);
	forward->not_after_ms = router->config.watch.fetched_at_ms + router_max_staleness_ms(router) +
				200; /* a frozen process must not send what was decided before */
	last_send =
	    router_weights_last_send(router, request->route.service_index, request->attempt.weights, now);
	if (forward->not_after_ms > last_send)
		forward->not_after_ms = last_send;
	router_weights_check_send(router, request, now);
	forward->resume_after = request->stream.last_event_id;
	forward->headers_sent = request->stream.has_begun;
	forward->is_stream = 1;
	if (routes->services[request->route.service_index].max_connections) {
		int n = (int)(routes->services[request->route.service_index].max_connections * 9 / 10 /
			      (router->config.watch.router_count ? router->config.watch.router_count : 1));

		forward->max_connections = n < 2 ? 2 : n;
	}
	forward->idempotent = request->route.idempotent || request->route.resumable;
	record_decision(router, request, plan, now);
	router->load.changed = 1;
	command_add(out, CMD_FORWARD)->args.forward = forward;
	if (request->retry.attempt_count > 1)
		request->retry.budget_reserved =
		    0; /* a resend earns nothing; what was set aside for it is spent */
	else if (!request->retry.unreachable_count)
		count_send(router, request, plan, now);
}

void router_send_claimed(struct router *router, struct client_request *request, int64_t now,
			 struct command_list *out)
{
	struct plan plan = { .server_index = -1, .fetch_source = -1 };

	if (now >= request->client.deadline_at_ms) {
		router->stats.refused_deadline++;
		router_refuse(router, request, 503, "the limit passed before a send",
			      ROUTER_RETRY_AFTER_MIN_MS, now, out);
		return;
	}
	if (request->attempt.server_index >= 0) { /* the place that was held for it */
		router->servers.states[request->attempt.server_index].own_running--;
		request->attempt.server_index = -1;
	}
	if (!request->is_forwarded &&
	    now - request->claim.started_at_ms >
		ROUTER_CLAIM_MAX_AGE_MS) { /* it must outlast what is sent under it */
		router_refuse(router, request, 503, "no server could take it for long",
			      ROUTER_RETRY_AFTER_MIN_MS, now, out);
		return;
	}
	if (config_watch_age_ms(&router->config.watch, now) <= router_max_staleness_ms(router))
		plan = request->is_forwarded ? router_placement_forwarded(router, request, now)
					     : router_placement_claimed(router, request, now);
	if (plan.server_index < 0)
		router_queue_return(
		    router, request,
		    now); /* its place went to another router's, or this router must hear the owner first */
	else if (request->is_forwarded)
		router_forward(router, request, &plan, now, out);
	else
		send_to(router, request, &plan, now, out);
}

/* ---- answers ------------------------------------------------------------------------------ */

/* Who was asked is not the owner, and may know who is. A late word about another guess moves nothing. */
static void claim_hint(struct router *router, uint32_t service, uint64_t requested_addr, uint64_t from,
		       uint64_t hint)
{
	if (requested_addr == from &&
	    config_watch_leader_addr(&router->config.watch, router_shard_of(router, service)) ==
		requested_addr)
		config_watch_hint(&router->config.watch, router_shard_of(router, service),
				  hint == from ? 0 : hint);
}

void router_on_answer(struct router *router, const struct Nl__ProposeReply *answer, uint64_t from,
		      int64_t now, struct command_list *out)
{
	struct client_request *request = router_request_by_token(router, answer->token);

	for (ptrdiff_t i = 0; i < arrlen(router->requests.claim_releases); i++)
		if (router->requests.claim_releases[i].token == answer->token) {
			if (answer->status == PROPOSAL_NOT_LEADER) {
				claim_hint(router, router->requests.claim_releases[i].service_index,
					   router->requests.claim_releases[i].leader_addr, from,
					   answer->leader_hint);
				router->requests.claim_releases[i].sent_at_ms =
				    now - ROUTER_CLAIM_RETRY_INTERVAL_MS + 50;
				router->requests.claim_releases[i].leader_addr = 0;
			} else if (answer->status != PROPOSAL_OUTCOME_UNKNOWN) {
				router_release_end(router, i);
			}
			return;
		}
	if (!request || request->state != REQUEST_CLAIMING || request->claim.token != answer->token ||
	    request->claim.confirmed)
		return;
	switch (answer->status) {
	case PROPOSAL_DONE:
		request->claim.confirmed = 1;
		config_watch_hint(&router->config.watch,
				  router_shard_of(router, request->route.service_index),
				  from); /* who answers owns */
		router_send_claimed(router, request, now, out);
		break;
	case PROPOSAL_NOT_LEADER:
		claim_hint(router, request->route.service_index, request->claim.leader_addr, from,
			   answer->leader_hint);
		request->claim.leader_addr = 0; /* it did answer */
		request->claim.sent_at_ms =
		    now - ROUTER_CLAIM_RETRY_INTERVAL_MS + 20; /* ask the one named, soon */
		break;
	case PROPOSAL_OUTCOME_UNKNOWN:
		request->claim.sent_at_ms = now - ROUTER_CLAIM_RETRY_INTERVAL_MS + 50;
		break;
	default:
		router_reject(router, request, 409, "id: claimed by an earlier asking", now, out);
	}
}

static void whole(struct router *router, struct client_request *request, int64_t now,
		  struct command_list *out)
{
	struct router_server_state *v = &router->servers.states[request->attempt.server_index];
	const char *body =
	    apr_psprintf(out->pool, "{\"end\":true,\"pieces\":%" APR_UINT64_T_FMT ",\"exchange\":\"%s\"}\n",
			 request->stream.next_chunk, request->attempt.id);

	v->average_run_ms += ((double)(now - request->attempt.sent_at_ms) - v->average_run_ms) / 8;
	for (int i = 0; i < request->prompt.block_count;
	     i++) { /* kept there now, until a report says otherwise */
		struct block_replica n = { (uint32_t)request->attempt.server_index,
					   request->route.tenant_index,
					   request->route.service_index,
					   request->attempt.weights,
					   request->attempt.stamp_tick,
					   v->poll_sequence + 1 };
		const struct block_replica *old =
		    router_usable_replica(router, request, request->prompt.block_hash[i],
					  (uint32_t)request->attempt.server_index, request->attempt.weights);

		if (!old &&
		    purge_view_allows(&router->relay.view,
				      router->names.services.names[request->route.service_index],
				      router->names.weights.names[request->attempt.weights],
				      router->names.tenants.names[request->route.tenant_index],
				      router->names.servers.names[request->attempt.server_index],
				      request->attempt.stamp_tick) &&
		    router_retains(router, request->route.service_index, request->route.tenant_index,
				   request->prompt.block_hash[i], request->attempt.stamp_tick))
			prefix_index_put(&router->cache.index, request->prompt.block_hash[i], &n);
	}
	router_request_end(router, request, &(struct request_ending){ REQUEST_ANSWERED, 200, body, 0 }, now,
			   out);
}

/* One line of a server's stream: bound to this send, in order, else it is no answer. */
void router_on_stream_chunk(struct router *router, struct client_request *request, const char *text,
			    int64_t now, struct command_list *out)
{
	struct json_object *json = router_read_json(router, text), *v, *n, *t;
	struct command *command;

	if (!json_object_is_type(json, json_type_object) || !json_object_object_get_ex(json, "x", &v) ||
	    !json_object_is_type(v, json_type_string) ||
	    strcmp(json_object_get_string(v), request->attempt.id) ||
	    !json_object_object_get_ex(json, "n", &n) ||
	    json_object_get_uint64(n) != request->stream.next_chunk) {
		router_break_off(router, request, 502, "the server's answer does not belong to this exchange",
				 now, out);
		goto end;
	}
	if (json_object_object_get_ex(json, "end", &v)) {
		if (request->attempt.fetch_source >= 0 && json_object_object_get_ex(json, "fetch_ms", &t))
			router_record_fetch(
			    router, request, json_object_get_int64(t),
			    json_object_object_get_ex(json, "fetched", &v) ? json_object_get_int(v) : 0, now);
		whole(router, request, now, out);
		goto end;
	}
	if (!json_object_object_get_ex(json, "t", &t)) {
		router_break_off(router, request, 502, "the server's answer is not whole", now, out);
		goto end;
	}
	command = command_add(out, CMD_STREAM_CHUNK);
	command->args.stream_chunk.token = request->client.token;
	command->args.stream_chunk.body =
	    apr_psprintf(out->pool, "{\"n\":%" APR_UINT64_T_FMT ",\"text\":%s}\n", request->stream.next_chunk,
			 json_object_to_json_string_ext(t, JSON_C_TO_STRING_PLAIN));
	command->args.stream_chunk.len = strlen(command->args.stream_chunk.body);
	request->stream.has_begun = 1;
	request->stream.next_chunk++;
	router->stats.chunks++;
end:
	if (json)
		json_object_put(json);
}

/* Its server has nothing more to do with it; it keeps its place, until it is sent again or goes back to its
 * line. */
static void release_server(struct router *router, struct client_request *request, int64_t now)
{
	struct router_server_state *server = &router->servers.states[request->attempt.server_index];

	server->own_running--;
	if (request->is_forwarded) {
		server->prefill_tokens -= request->attempt.prefill_tokens;
		server->resident_tokens -= request->attempt.uncached_tokens;
		request->attempt.prefill_tokens = 0;
	}
	request->retry.avoided_server = (uint32_t)request->attempt.server_index;
	request->retry.avoided_until_ms = now + ROUTER_AVOID_SERVER_MS;
	request->queueing.returned_at_ms = now;
	request->attempt.server_index = -1;
	request->state = REQUEST_CLAIMING;
}

void router_on_done(struct router *router, struct client_request *request,
		    const typeof(((struct router_event *)0)->u.call_ended) *result, int64_t now,
		    struct command_list *out)
{
	(void)hmdel(router->requests.by_token, request->attempt.call_token);
	request->attempt.call_token = 0;
	if (!result->not_started || request->stream.next_chunk) {
		router_break_off(router, request, 502, "the server's answer broke off", now, out);
		return;
	}
	/* it surely never began: another server may have it, within the budget */
	if (result->status == 0)
		router->servers.states[request->attempt.server_index].unavailable_until_ms =
		    now + ROUTER_UNREACHABLE_BACKOFF_MS;
	release_server(router, request, now);
	if (router->quota.retry_budget[request->route.service_index] < ROUTER_RETRY_COST_MILLI) {
		router_refuse(router, request, 503, "the server refused, and the budget for resends is spent",
			      ROUTER_RETRY_AFTER_MIN_MS, now, out);
		return;
	}
	router->quota.retry_budget[request->route.service_index] -=
	    ROUTER_RETRY_COST_MILLI + ROUTER_RETRY_EARNED_PER_SEND_MILLI; /* a resend earns nothing */
	router->stats.resends++;
	router_send_claimed(router, request, now, out);
}

/* ---- forwarded sends -------------------------------------------------------------------------- */

void router_on_began(struct router *router, struct client_request *request, const char *weights, int64_t now)
{
	struct router_server_state *server = &router->servers.states[request->attempt.server_index];
	double late;

	request->stream.has_begun = 1;
	if (request->attempt.first_chunk_at_ms)
		return;
	request->attempt.first_chunk_at_ms = now;
	decision_began(decisions_of(router, request), &request->attempt.decision,
		       now - request->attempt.sent_at_ms);
	router->load.changed = 1;
	router_weights_check_begin(router, request, now);
	server->prefill_tokens -= request->attempt.prefill_tokens;
	request->attempt.prefill_tokens = 0;
	late = (double)(now - request->attempt.sent_at_ms) - request->attempt.expected_first_chunk_ms;
	late = late < 0 ? 0 : late > ROUTER_LATENESS_MAX_MS ? ROUTER_LATENESS_MAX_MS : late;
	server->lateness_ms = server->lateness_ms * 3 / 4 + late / 4;
	server->lateness_observed_at_ms = now;
	if (weights && strcmp(weights, router->names.weights.names[request->attempt.weights]))
		return; /* not under the weights that its cache_namespace says */
	for (int i = 0; request->attempt.cache_namespace && i < request->prompt.block_count;
	     i++) { /* kept there now, until it is said to be gone */
		struct block_replica replica = { (uint32_t)request->attempt.server_index,
						 0,
						 request->route.service_index,
						 request->attempt.weights,
						 request->attempt.stamp_tick,
						 request->attempt.namespace_key };

		prefix_index_put(
		    &router->cache.index,
		    router_block_key(request->attempt.cache_namespace, request->prompt.block_hash[i]),
		    &replica);
		replica.server_index = (uint32_t)request->attempt.offload_target;
		if (request->attempt.offload_target >= 0)
			prefix_index_put(
			    &router->cache.index,
			    router_block_key(request->attempt.cache_namespace, request->prompt.block_hash[i]),
			    &replica);
	}
}

static void learn_load(struct router *router, uint32_t server_index, const struct forward_result *ended,
		       int64_t now)
{
	struct router_server_state *server = &router->servers.states[server_index];

	if (ended->slots > 0 && ended->running >= 0 && ended->waiting >= 0 &&
	    ended->running + ended->waiting < 100000) {
		server->others_running = ended->running + ended->waiting > server->own_running
					     ? ended->running + ended->waiting - server->own_running
					     : 0;
		server->others_observed_at_ms = now;
	}
	if (ended->end != FORWARD_BROKEN_OFF) {
		server->failure_rate = server->failure_rate * 7 / 8;
	} else {
		server->failure_rate = server->failure_rate * 7 / 8 + 1.0 / 8;
		server->failure_observed_at_ms = now;
	}
	if (ended->end == FORWARD_NOT_STARTED && !ended->status) { /* its connection did not come up */
		server->connect_failures++;
		server->unavailable_until_ms =
		    now + (server->connect_failures > 3 ? 2 * ROUTER_UNREACHABLE_BACKOFF_MS
							: ROUTER_UNREACHABLE_BACKOFF_MS);
	} else if (ended->status) {
		server->connect_failures = 0;
	}
	if (ended->end == FORWARD_NOT_STARTED && ended->status == 503)
		server->unavailable_until_ms = now + ROUTER_FULL_SERVER_BACKOFF_MS; /* full, or loading */
	if (ended->wrong_incarnation) {
		router->stats.wrong_incarnation++;
		server->unavailable_until_ms =
		    now + ROUTER_UNREACHABLE_BACKOFF_MS; /* the list will say who stands there */
	}
	if (ended->weights && strlen(ended->weights) < 128) {
		int weights = names_find(&router->names.weights, ended->weights);

		if (weights >= 0 || arrlen(router->names.weights.names) < ROUTER_MAX_WEIGHTS_NAMES)
			router_weights_learn(router, server_index,
					     weights >= 0 ? (uint32_t)weights
							  : names_id(&router->names.weights, ended->weights));
	}
}

/* After a send that may have run: may the request be sent again at all? A stream that the caller has seen a
 * part of goes on only behind an event whose id is known. */
static int may_retry(const struct client_request *request)
{
	if (request->stream.has_begun)
		return request->route.resumable && request->stream.last_event_id;
	return request->route.idempotent || request->route.resumable;
}

/* May another server have it? Within its own bound and the fleet's budget for the service. */
static int again(const struct router *c, const struct client_request *request, int64_t now)
{
	return request->retry.attempt_count < request->retry.max_attempts &&
	       request->retry.unreachable_count < ROUTER_MAX_UNREACHABLE_SENDS &&
	       (!request->retry.attempt_count ||
		c->quota.retry_budget[request->route.service_index] >= ROUTER_RETRY_COST_MILLI) &&
	       now + ROUTER_RETRY_MIN_REMAINING_MS < request->client.deadline_at_ms;
}

/* Set aside at once: it may wait in its line, and others be decided on meanwhile. */
static void reserve_retry(struct router *router, struct client_request *request)
{
	request->retry.budget_reserved = request->retry.attempt_count > 0;
	if (request->retry.budget_reserved)
		router->quota.retry_budget[request->route.service_index] -= ROUTER_RETRY_COST_MILLI;
	router->stats.resends++;
	router->stats.resumed += request->stream.has_begun != 0;
}

/* Its server has nothing more to do with a request: another one may have it, or it ends. never: it surely has
 * not run there. */
static void retry_or_end(struct router *router, struct client_request *request, int never, int64_t now,
			 struct command_list *out)
{
	release_server(router, request, now);
	if (!never && !may_retry(request)) {
		router_break_off(router, request, 502, "the server's answer broke off", now, out);
	} else if (!again(router, request, now)) {
		router_refuse(router, request, 503, "the server did not take it, and it may go to no other",
			      ROUTER_RETRY_FAST_MS, now, out);
	} else {
		reserve_retry(router, request);
		if (router_readmit(router, request, now, out))
			router_send_claimed(router, request, now, out);
	}
}

void router_on_ended(struct router *router, struct client_request *request,
		     const struct forward_result *ended, int64_t now, struct command_list *out)
{
	uint32_t server_index = (uint32_t)request->attempt.server_index;
	int unreached = ended->end == FORWARD_NOT_STARTED && !ended->status && !ended->wrong_incarnation;

	(void)hmdel(router->requests.by_token, request->attempt.call_token);
	request->attempt.call_token = 0;
	learn_load(router, server_index, ended, now);
	if (ended->end != FORWARD_COMPLETE)
		decision_ended(decisions_of(router, request), &request->attempt.decision);
	if (ended->last_event_id)
		request->stream.last_event_id = apr_pstrdup(request->pool, ended->last_event_id);
	request->stream.next_chunk += ended->chunks;
	request->stream.has_begun |= ended->has_begun;
	request->retry.may_have_run |= ended->end != FORWARD_NOT_STARTED;
	if (unreached) { /* nobody heard of this send: it is no try, and what was set aside for it comes back
			  */
		request->retry.unreachable_count++;
		if (--request->retry.attempt_count > 0)
			router->quota.retry_budget[request->route.service_index] += ROUTER_RETRY_COST_MILLI;
	}
	if (ended->end == FORWARD_COMPLETE) {
		if (!request->attempt.first_chunk_at_ms)
			router_on_began(router, request, ended->weights, now);
		router->servers.states[server_index].average_run_ms +=
		    ((double)(now - request->attempt.sent_at_ms) -
		     router->servers.states[server_index].average_run_ms) /
		    8;
		router_request_end(router, request,
				   &(struct request_ending){ REQUEST_ANSWERED, ended->status, NULL, 0 }, now,
				   out);
		return;
	}
	retry_or_end(router, request, ended->end == FORWARD_NOT_STARTED && !request->stream.has_begun, now,
		     out);
}

void router_recall(struct router *router, struct client_request *request, int64_t now,
		   struct command_list *out)
{
	command_add(out, CMD_CANCEL)->args.cancel.token = request->attempt.call_token;
	(void)hmdel(router->requests.by_token, request->attempt.call_token);
	request->attempt.call_token = 0;
	request->retry.may_have_run = 1; /* it may have begun just now */
	retry_or_end(router, request, 0, now, out);
}
