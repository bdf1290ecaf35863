/* router_outcome: the table of requests, and how requests end. Every request that is received ends in exactly
 * one outcome, through router_request_end, or through router_decline when it was never queued. Nothing else
 * gives a client its final answer or takes a request out of the router's tables. Invariant: received == the
 * sum of outcomes + requests under way (router_balanced). */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

enum {
	STATUS_TIMED_OUT = 408,
	STATUS_CONFLICT = 409,
	STATUS_MISDIRECTED = 421,
	STATUS_TOO_MANY = 429,
	STATUS_BAD_GATEWAY = 502,
	STATUS_UNAVAILABLE = 503
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

/* What a request holds besides its place in the table: a place in its queue, or a slot and a share of a
 * server. */
static void release_resources(struct router *router, struct client_request *request)
{
	if (request->state == REQUEST_WAITING) {
		router_queue_remove(router, request);
	} else {
		router_quota_release(router, request);
		if (request->attempt.server_index >= 0) {
			struct router_server_state *server =
			    &router->servers.states[request->attempt.server_index];

			server->own_running--;
			server->prefill_tokens -= request->attempt.prefill_tokens;
			if (request->is_forwarded && request->state == REQUEST_RUNNING)
				server->resident_tokens -= request->attempt.uncached_tokens;
		}
	}
	if (request->retry.budget_reserved)
		router->quota.retry_budget[request->route.service_index] +=
		    ROUTER_RETRY_COST_MILLI; /* never sent again */
}

/* Takes a request out of everything and frees it; its client has been answered before. */
static void request_drop(struct router *router, struct client_request *request)
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
		request_drop(router, router->requests.all[0]);
}

bool router_balanced(const struct router *router)
{
	uint64_t sum = (uint64_t)arrlen(router->requests.all);

	for (int i = 0; i < REQUEST_OUTCOMES; i++)
		sum += router->stats.outcomes[i];
	return sum == router->stats.received;
}

/* ---- answers to clients ---------------------------------------------------------------------- */

/* A server may have begun on it, or its client has a part of an answer: it can no longer be said that it
 * never ran. */
static bool may_have_run(const struct client_request *request)
{
	return request->state == REQUEST_RUNNING || request->stream.has_begun || request->retry.may_have_run;
}

/* Statuses that promise that the request never ran and never will. */
static bool promises_not_run(int status)
{
	return status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY || status == STATUS_TIMED_OUT ||
	       status == STATUS_MISDIRECTED;
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

/* Refused or rejected: nothing of it has run, except where another request holds the id: that one may be
 * running. */
static void send_refusal(uint64_t token, const struct request_ending *ending, struct command_list *out)
{
	const char *outcome = ending->status == STATUS_CONFLICT ? "claimed" : "refused";
	int retry_after_ms = ending->outcome == REQUEST_REFUSED ? ending->retry_after_ms : 0;

	command_answer(out, token, ending->status, retry_after_ms,
		       router_error_body(out->pool, ending->reason, outcome));
}

static void send_broken_off(const struct client_request *request, const struct request_ending *ending,
			    struct command_list *out)
{
	const char *body = router_error_body(out->pool, ending->reason, "unknown");

	if (request->stream.has_begun)
		end_stream(request->client.token, body, false, out);
	else
		command_answer(out, request->client.token,
			       promises_not_run(ending->status) ? STATUS_BAD_GATEWAY : ending->status, 0,
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
	/* the id may be used again, unless another request holds it or this one may have run */
	if (request->claim.token && ending->status != STATUS_CONFLICT && outcome != REQUEST_ANSWERED &&
	    !may_have_run(request))
		router_claim_release(router, request, now, out);
	switch (outcome) {
	case REQUEST_ANSWERED: /* the text of a forwarded one has gone through the front end */
		if (!request->is_forwarded)
			end_stream(request->client.token, ending->reason, true, out);
		router_usage_of(router, request)->value.requests++;
		router_usage_of(router, request)->value.chunks += request->stream.next_chunk;
		break;
	case REQUEST_REFUSED:
	case REQUEST_REJECTED:
		send_refusal(request->client.token, ending, out);
		break;
	case REQUEST_BROKEN_OFF:
		cancel_call(request, out);
		send_broken_off(request, ending, out);
		router_usage_of(router, request)->value.errors++;
		break;
	default:
		cancel_call(request, out); /* its client has disconnected: nobody is answered */
	}
	router->stats.outcomes[outcome]++;
	request_drop(router, request);
}

void router_decline(struct router *router, uint64_t token, const struct request_ending *ending,
		    struct command_list *out)
{
	router->stats.outcomes[ending->outcome]++;
	send_refusal(token, ending, out);
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

	if (retry_after_ms == ROUTER_RETRY_FAST_MS)
		ending.retry_after_ms = router_retry_fast_ms(router, ROUTER_RETRY_FAST_MS);
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
	else if (promises_not_run(status))
		router_refuse(router, request, status, reason, ROUTER_RETRY_AFTER_MIN_MS, now, out);
	else
		router_reject(router, request, status, reason, now, out);
}
