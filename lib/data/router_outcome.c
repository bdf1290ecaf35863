/* router_outcome: the table of requests, and the end of requests. Every request that is received ends with
 * exactly one outcome, through router_request_end, or through router_decline if it was never queued. No other
 * code sends a client its final answer or removes a request from the router's tables. Invariant: received ==
 * the sum of outcomes + requests in progress (router_outcomes_balance). */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

enum {
	STATUS_REQUEST_TIMEOUT = 408,
	STATUS_CONFLICT = 409,
	STATUS_MISDIRECTED_REQUEST = 421,
	STATUS_TOO_MANY_REQUESTS = 429,
	STATUS_BAD_GATEWAY = 502,
	STATUS_SERVICE_UNAVAILABLE = 503
};

/* ---- the table ------------------------------------------------------------------------------- */

struct client_request *router_request_by_token(struct router *router, uint64_t token)
{
	ptrdiff_t i = router->requests.by_token ? hmgeti(router->requests.by_token, token) : -1;

	return i < 0 ? NULL : router->requests.by_token[i].value;
}

struct client_request *router_request_by_sequence(const struct router *router, uint64_t sequence)
{
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--)
		if (router->requests.all[i]->sequence == sequence)
			return router->requests.all[i];
	return NULL;
}

void router_request_add(struct router *router, struct client_request *request)
{
	request->list_index = (int)arrlen(router->requests.all);
	arrput(router->requests.all, request);
	hmput(router->requests.by_token, request->client.token, request);
}

/* Releases the resources of a request: its place in a queue, or its quota slots and its share of a server's
 * load, and a retry reserved in the budget. */
static void release_resources(struct router *router, struct client_request *request)
{
	if (request->state == REQUEST_WAITING) {
		router_queue_remove(router, request);
	} else {
		router_quota_release(router, request);
		if (request->attempt.server_index >= 0) {
			struct router_server_state *server =
			    &router->servers.states[request->attempt.server_index];

			server->own_running_count--;
			server->own_prefill_tokens -= request->attempt.prefill_tokens;
			if (request->is_forwarded && request->state == REQUEST_RUNNING)
				server->own_resident_tokens -= request->attempt.uncached_tokens;
		}
	}
	if (request->retry.budget_reserved)
		router->quota.retry_budget_milli[request->route.service_index] +=
		    ROUTER_RETRY_COST_MILLI; /* the reserved retry will not be sent */
}

/* Removes a request from all tables and frees it. Its client must have been answered before. */
static void remove_and_free_request(struct router *router, struct client_request *request)
{
	release_resources(router, request);
	(void)hmdel(router->requests.by_token, request->client.token);
	if (request->claim.token)
		(void)hmdel(router->requests.by_token, request->claim.token);
	if (request->attempt.call_token)
		(void)hmdel(router->requests.by_token, request->attempt.call_token);
	arrdelswap(router->requests.all, request->list_index);
	if (request->list_index < arrlen(router->requests.all))
		router->requests.all[request->list_index]->list_index = request->list_index;
	apr_pool_destroy(request->pool);
}

void router_requests_discard(struct router *router)
{
	while (arrlen(router->requests.all))
		remove_and_free_request(router, router->requests.all[0]);
}

bool router_outcomes_balance(const struct router *router)
{
	uint64_t accounted_requests = (uint64_t)arrlen(router->requests.all);

	for (int i = 0; i < REQUEST_OUTCOMES; i++)
		accounted_requests += router->stats.outcomes[i];
	return accounted_requests == router->stats.requests_received;
}

/* ---- answers to clients ---------------------------------------------------------------------- */

/* Whether a server may have started the request or its client has received part of an answer: then it can no
 * longer be reported as never run. */
static bool may_have_run(const struct client_request *request)
{
	return request->state == REQUEST_RUNNING || request->stream.has_begun || request->retry.may_have_run;
}

/* Whether a status guarantees to the client that the request never ran and never will. */
static bool guarantees_not_run(int status)
{
	return status == STATUS_SERVICE_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS ||
	       status == STATUS_REQUEST_TIMEOUT || status == STATUS_MISDIRECTED_REQUEST;
}

const char *router_error_body(apr_pool_t *pool, const char *reason, const char *outcome)
{
	struct json_object *json = json_object_new_object();
	const char *text;

	json_object_object_add(json, "error", json_object_new_string(reason));
	json_object_object_add(json, "outcome", json_object_new_string(outcome));
	text = apr_pstrdup(pool, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return text;
}

static void end_stream(uint64_t token, const char *body, bool complete, struct command_list *out)
{
	struct command *command = command_add(out, CMD_END_STREAM);

	command->args.stream_chunk.token = token;
	command->args.stream_chunk.body = body;
	command->args.stream_chunk.len = strlen(body);
	command->args.stream_chunk.success = complete;
}

/* Answers a request that was refused or rejected. It has not run, unless another request holds its id: that
 * one may be running. */
static void send_refusal_answer(uint64_t token, const struct request_ending *ending, struct command_list *out)
{
	const char *outcome = ending->status == STATUS_CONFLICT ? "claimed" : "refused";
	int retry_after_ms = ending->outcome == REQUEST_REFUSED ? ending->retry_after_ms : 0;

	command_answer(out, token, ending->status, retry_after_ms,
		       router_error_body(out->pool, ending->reason, outcome));
}

static void send_broken_off_answer(const struct client_request *request, const struct request_ending *ending,
				   struct command_list *out)
{
	const char *body = router_error_body(out->pool, ending->reason, "unknown");

	if (request->stream.has_begun)
		end_stream(request->client.token, body, false, out);
	else
		command_answer(out, request->client.token,
			       guarantees_not_run(ending->status) ? STATUS_BAD_GATEWAY : ending->status, 0,
			       body);
}

static void cancel_call(const struct client_request *request, struct command_list *out)
{
	if (request->state == REQUEST_RUNNING && request->attempt.call_token)
		command_add(out, CMD_CANCEL)->args.cancel.token = request->attempt.call_token;
}

/* ---- endings --------------------------------------------------------------------------------- */

void router_request_end(struct router *router, struct client_request *request,
			const struct request_ending *ending, int64_t now, struct command_list *out)
{
	enum request_outcome outcome = ending->outcome;

	if ((outcome == REQUEST_REFUSED || outcome == REQUEST_REJECTED) && may_have_run(request))
		outcome = REQUEST_BROKEN_OFF;
	/* Makes the id available again, unless another request holds it or this request may have run. */
	if (request->claim.token && ending->status != STATUS_CONFLICT && outcome != REQUEST_ANSWERED &&
	    !may_have_run(request))
		router_claim_release(router, request, now, out);
	switch (outcome) {
	case REQUEST_ANSWERED: /* the front end has already sent the answer to a forwarded request */
		if (!request->is_forwarded)
			end_stream(request->client.token, ending->reason, true, out);
		router_usage_of(router, request)->value.requests++;
		router_usage_of(router, request)->value.chunks += request->stream.next_chunk;
		break;
	case REQUEST_REFUSED:
	case REQUEST_REJECTED:
		send_refusal_answer(request->client.token, ending, out);
		break;
	case REQUEST_BROKEN_OFF:
		cancel_call(request, out);
		send_broken_off_answer(request, ending, out);
		router_usage_of(router, request)->value.errors++;
		break;
	default:
		cancel_call(request, out); /* the client has disconnected: there is no one to answer */
	}
	router->stats.outcomes[outcome]++;
	remove_and_free_request(router, request);
}

void router_decline(struct router *router, uint64_t token, const struct request_ending *ending,
		    struct command_list *out)
{
	router->stats.outcomes[ending->outcome]++;
	send_refusal_answer(token, ending, out);
}

void router_break_off(struct router *router, struct client_request *request, int status, const char *reason,
		      int64_t now, struct command_list *out)
{
	router_request_end(router, request, &(struct request_ending){ REQUEST_BROKEN_OFF, status, reason, 0 },
			   now, out);
}

void router_refuse(struct router *router, struct client_request *request, int status, const char *reason,
		   double retry_after_ms, int64_t now, struct command_list *out)
{
	struct request_ending ending = { REQUEST_REFUSED, status, reason, 0 };

	if (retry_after_ms == ROUTER_RETRY_AFTER_SINGLE_SERVER_MS)
		ending.retry_after_ms =
		    router_retry_after_short_ms(router, ROUTER_RETRY_AFTER_SINGLE_SERVER_MS);
	else
		ending.retry_after_ms = router_retry_after_ms(router, retry_after_ms);
	router_request_end(router, request, &ending, now, out);
}

void router_reject(struct router *router, struct client_request *request, int status, const char *reason,
		   int64_t now, struct command_list *out)
{
	router_request_end(router, request, &(struct request_ending){ REQUEST_REJECTED, status, reason, 0 },
			   now, out);
}

void router_end_early(struct router *router, struct client_request *request, int status, const char *reason,
		      int64_t now, struct command_list *out)
{
	if (may_have_run(request))
		router_break_off(router, request, status, reason, now, out);
	else if (guarantees_not_run(status))
		router_refuse(router, request, status, reason, ROUTER_RETRY_AFTER_MIN_MS, now, out);
	else
		router_reject(router, request, status, reason, now, out);
}
