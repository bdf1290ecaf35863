/* router_send_claimed: attempts over the product's own interface: the call to a server, with the cached
 * blocks that it may reuse or fetch, and its answer as lines of JSON. Invariant: a line is sent to the client
 * only if it carries the id of the newest attempt and the next sequence number. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

void router_count_send(struct router *router, struct client_request *request, const struct plan *plan,
		       int64_t now)
{
	uint64_t prompt_tokens = router_prompt_tokens(request),
		 cached_tokens = router_tokens_of_blocks(request, plan->cached_blocks);
	struct usage_entry *usage = router_usage_of(router, request);

	router->stats.sends++;
	router_retry_budget_add(router, request->route.service_index);
	router->stats.prompt_tokens += prompt_tokens;
	router->stats.cached_tokens += cached_tokens;
	if (plan->fetch_source >= 0)
		router->stats.fetched_tokens +=
		    router_tokens_of_blocks(request, plan->blocks_after_fetch) - cached_tokens;
	router->stats.sends_without_cache += !relay_is_current(&router->relay, now);
	usage->value.prompt_tokens += prompt_tokens;
	usage->value.cached_tokens += cached_tokens;
}

/* ---- the call -------------------------------------------------------------------------------- */

static const char *format_hash(uint64_t hash, apr_pool_t *pool)
{
	return apr_psprintf(pool, "%016" APR_UINT64_T_HEX_FMT, hash);
}

/* The block replicas [begin, end) that a server caches, for reuse there or for a fetch from it. */
static struct json_object *replicas_json(struct router *router, const struct client_request *request,
					 int server_index, int begin_block, int end_block, apr_pool_t *pool)
{
	struct json_object *array = json_object_new_array();

	for (int i = begin_block; i < end_block; i++) {
		uint64_t hash = request->prompt.block_hash[i];
		const struct block_replica *replica = router_usable_replica(
		    router, request, hash, (uint32_t)server_index, request->attempt.weights_index);
		struct json_object *json = json_object_new_object();

		json_object_object_add(json, "h", json_object_new_string(format_hash(hash, pool)));
		json_object_object_add(
		    json, "m", json_object_new_string(router->names.tenants.names[replica->tenant_index]));
		json_object_object_add(json, "t", json_object_new_int64((int64_t)replica->stamp_tick));
		json_object_array_add(array, json);
	}
	return array;
}

static struct json_object *prompt_json(const struct client_request *request, apr_pool_t *pool)
{
	struct json_object *array = json_object_new_array();

	for (int i = 0; i < request->prompt.block_count; i++) {
		struct json_object *json = json_object_new_object();

		json_object_object_add(
		    json, "h", json_object_new_string(format_hash(request->prompt.block_hash[i], pool)));
		json_object_object_add(json, "text", json_object_new_string(request->prompt.block_text[i]));
		json_object_array_add(array, json);
	}
	return array;
}

/* Describes a fetch. The server waits for it no longer than prefill of the same blocks would take. */
static struct json_object *fetch_json(struct router *router, const struct client_request *request,
				      const struct plan *plan, apr_pool_t *pool)
{
	const struct service_config *service =
	    &router->config.route_table->services[request->route.service_index];
	uint64_t cached_tokens = router_tokens_of_blocks(request, plan->cached_blocks);
	double prefill_ms =
	    (double)(router_tokens_of_blocks(request, plan->blocks_after_fetch) - cached_tokens) /
	    service->prefill_tokens_per_ms;
	struct json_object *fetch = json_object_new_object();
	int wait_ms;

	if (prefill_ms < 1)
		wait_ms = 1;
	else if (prefill_ms > ROUTER_FETCH_MAX_WAIT_MS)
		wait_ms = ROUTER_FETCH_MAX_WAIT_MS;
	else
		wait_ms = (int)prefill_ms;
	json_object_object_add(
	    fetch, "from",
	    json_object_new_string(server_config_of(router, (uint32_t)plan->fetch_source)->addr));
	json_object_object_add(fetch, "parts",
			       replicas_json(router, request, plan->fetch_source, plan->cached_blocks,
					     plan->blocks_after_fetch, pool));
	json_object_object_add(fetch, "wait_ms", json_object_new_int(wait_ms));
	return fetch;
}

static const char *call_body(struct router *router, const struct client_request *request,
			     const struct plan *plan, int64_t now, apr_pool_t *pool)
{
	struct json_object *json = json_object_new_object();
	const char *text;

	json_object_object_add(json, "x", json_object_new_string(request->attempt.id));
	json_object_object_add(json, "id", json_object_new_string(request->client.request_id));
	json_object_object_add(
	    json, "tenant", json_object_new_string(router->names.tenants.names[request->route.tenant_index]));
	json_object_object_add(
	    json, "weights",
	    json_object_new_string(router->names.weights.names[request->attempt.weights_index]));
	json_object_object_add(json, "stamp", json_object_new_int64((int64_t)request->attempt.stamp_tick));
	json_object_object_add(json, "limit_ms", json_object_new_int64(request->client.deadline_at_ms - now));
	json_object_object_add(json, "parts", prompt_json(request, pool));
	json_object_object_add(json, "tail", json_object_new_string(request->prompt.tail_text));
	json_object_object_add(
	    json, "reuse", replicas_json(router, request, plan->server_index, 0, plan->cached_blocks, pool));
	if (plan->fetch_source >= 0)
		json_object_object_add(json, "fetch", fetch_json(router, request, plan, pool));
	text = apr_pstrdup(pool, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN |
									  JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(json);
	return text;
}

static void begin_attempt(struct router *router, struct client_request *request, const struct plan *plan,
			  int64_t now)
{
	struct router_server_state *server = &router->servers.states[plan->server_index];
	struct request_attempt *attempt = &request->attempt;

	request->state = REQUEST_RUNNING;
	request->retry.attempt_count++;
	request->stream.next_chunk = 0;
	attempt->server_index = plan->server_index;
	attempt->weights_index = server->weights_index;
	attempt->stamp_tick = router->relay.knowledge.horizon;
	attempt->sent_at_ms = now;
	attempt->fetch_source_index = plan->fetch_source;
	attempt->expected_fetch_ms = (uint32_t)(plan->fetch_ms + 0.5);
	attempt->call_token = router_token_new(router);
	attempt->id = apr_psprintf(request->pool, "%016" APR_UINT64_T_HEX_FMT "-%" APR_UINT64_T_FMT "-%d",
				   router->id, request->sequence, request->retry.attempt_count);
	hmput(router->requests.by_token, attempt->call_token, request);
	server->own_running_count++;
}

void router_call_server(struct router *router, struct client_request *request, const struct plan *plan,
			int64_t now, struct command_list *out)
{
	struct command *command;

	begin_attempt(router, request, plan, now);
	command = command_add(out, CMD_CALL);
	command->args.call.token = request->attempt.call_token;
	command->args.call.addr =
	    apr_pstrdup(out->pool, server_config_of(router, (uint32_t)plan->server_index)->addr);
	command->args.call.path = "/v1/run";
	command->args.call.body = call_body(router, request, plan, now, out->pool);
	command->args.call.timeout_ms = (int)(request->client.deadline_at_ms - now);
	command->args.call.is_stream = 1;
	/* a process that was suspended must not send requests on decisions that are out of date */
	command->args.call.not_after_ms =
	    router->config.watch.confirmed_at_ms + router_max_staleness_ms(router) + ROUTER_SEND_LATENESS_MS;
	router_count_send(router, request, plan, now);
}

/* ---- the answer ------------------------------------------------------------------------------ */

/* Adds the prompt's blocks to the prefix index as cached at the server, until a report says otherwise. */
static void index_blocks(struct router *router, const struct client_request *request)
{
	const struct request_attempt *attempt = &request->attempt;
	uint32_t server_index = (uint32_t)attempt->server_index;
	struct block_replica replica = {
		server_index,
		request->route.tenant_index,
		request->route.service_index,
		attempt->weights_index,
		attempt->stamp_tick,
		router->servers.states[server_index].report_poll_sequence + 1,
	};

	for (int i = 0; i < request->prompt.block_count; i++) {
		uint64_t hash = request->prompt.block_hash[i];

		if (!router_usable_replica(router, request, hash, server_index, attempt->weights_index) &&
		    purge_view_allows(&router->relay.view,
				      router->names.services.names[request->route.service_index],
				      router->names.weights.names[attempt->weights_index],
				      router->names.tenants.names[request->route.tenant_index],
				      router->names.servers.names[server_index], attempt->stamp_tick) &&
		    router_allows_context(router, request->route.service_index, request->route.tenant_index,
					  hash, attempt->stamp_tick))
			prefix_index_put(&router->cache.index, hash, &replica);
	}
}

static void on_answer_complete(struct router *router, struct client_request *request, int64_t now,
			       struct command_list *out)
{
	struct router_server_state *server = &router->servers.states[request->attempt.server_index];
	const char *body =
	    apr_psprintf(out->pool, "{\"end\":true,\"pieces\":%" APR_UINT64_T_FMT ",\"exchange\":\"%s\"}\n",
			 request->stream.next_chunk, request->attempt.id);

	server->average_request_ms +=
	    ((double)(now - request->attempt.sent_at_ms) - server->average_request_ms) / 8;
	index_blocks(router, request);
	router_request_end(router, request, &(struct request_ending){ REQUEST_ANSWERED, 200, body, 0 }, now,
			   out);
}

static void send_chunk_to_client(struct router *router, struct client_request *request,
				 struct json_object *text, struct command_list *out)
{
	struct command *command = command_add(out, CMD_STREAM_CHUNK);

	command->args.stream_chunk.token = request->client.token;
	command->args.stream_chunk.body =
	    apr_psprintf(out->pool, "{\"n\":%" APR_UINT64_T_FMT ",\"text\":%s}\n", request->stream.next_chunk,
			 json_object_to_json_string_ext(text, JSON_C_TO_STRING_PLAIN));
	command->args.stream_chunk.len = strlen(command->args.stream_chunk.body);
	request->stream.has_begun = true;
	request->stream.next_chunk++;
	router->stats.chunks_sent++;
}

/* Whether a line carries the id of the newest attempt and the next sequence number. */
static bool is_next_line_of_attempt(const struct client_request *request, struct json_object *json)
{
	struct json_object *attempt_id, *chunk_number;

	if (!json_object_is_type(json, json_type_object) ||
	    !json_object_object_get_ex(json, "x", &attempt_id) ||
	    !json_object_is_type(attempt_id, json_type_string) ||
	    strcmp(json_object_get_string(attempt_id), request->attempt.id))
		return false;
	return json_object_object_get_ex(json, "n", &chunk_number) &&
	       json_object_get_uint64(chunk_number) == request->stream.next_chunk;
}

void router_on_stream_chunk(struct router *router, struct client_request *request, const char *text,
			    int64_t now, struct command_list *out)
{
	struct json_object *json = router_read_json(router, text), *member, *fetch_ms_json;

	if (!is_next_line_of_attempt(request, json)) {
		router_break_off(router, request, 502, "the server's answer does not belong to this exchange",
				 now, out);
	} else if (json_object_object_get_ex(json, "end", &member)) {
		if (request->attempt.fetch_source_index >= 0 &&
		    json_object_object_get_ex(json, "fetch_ms", &fetch_ms_json))
			router_record_fetch(router, request, json_object_get_int64(fetch_ms_json),
					    json_object_object_get_ex(json, "fetched", &member)
						? json_object_get_int(member)
						: 0,
					    now);
		on_answer_complete(router, request, now, out);
	} else if (json_object_object_get_ex(json, "t", &member)) {
		send_chunk_to_client(router, request, member, out);
	} else {
		router_break_off(router, request, 502,
				 "the server sent a line that is neither a chunk nor the end of its answer",
				 now, out);
	}
	if (json)
		json_object_put(json);
}

void router_on_call_ended(struct router *router, struct client_request *request, int status, bool not_started,
			  int64_t now, struct command_list *out)
{
	(void)hmdel(router->requests.by_token, request->attempt.call_token);
	request->attempt.call_token = 0;
	if (!not_started || request->stream.next_chunk) {
		router_break_off(router, request, 502, "the server's answer broke off", now, out);
		return;
	}
	/* the server certainly did not start the request: another server may run it, within the budget */
	if (status == 0)
		router->servers.states[request->attempt.server_index].unavailable_until_ms =
		    now + ROUTER_UNREACHABLE_BACKOFF_MS;
	router_detach_from_server(router, request, now);
	if (router->quota.retry_budget_milli[request->route.service_index] < ROUTER_RETRY_COST_MILLI) {
		router_refuse(
		    router, request, 503,
		    "the server refused the request, and the retry budget of its service is exhausted",
		    ROUTER_RETRY_AFTER_MIN_MS, now, out);
		return;
	}
	/* a retry adds nothing to the budget: the amount that router_count_send will add is subtracted here
	 */
	router->quota.retry_budget_milli[request->route.service_index] -=
	    ROUTER_RETRY_COST_MILLI + ROUTER_RETRY_EARNED_PER_SEND_MILLI;
	router->stats.retries++;
	router_send(router, request, now, out);
}
