/* router_retry: decides whether a request whose attempt did not complete is sent to another server, and
 * computes the retry-after times of answers. Each service has a retry budget: first attempts add to it and a
 * retry takes from it, so that retries stay a bounded share of the traffic while servers fail. Invariant: a
 * retry is taken from the budget when it is decided on, and returned to the budget if it is never sent. */
#include "router_internal.h"

#include "containers.h"

int router_retry_after_short_ms(struct router *router, int ms)
{
	uint64_t jitter_draw = core_rendezvous_weight(router->id, ++router->queueing.retry_jitter_draws);

	return ms + (int)(jitter_draw % (uint64_t)(ms / 2 + 1));
}

int router_retry_after_ms(struct router *router, double ms)
{
	uint64_t jitter_draw = core_rendezvous_weight(router->id, ++router->queueing.retry_jitter_draws);
	int64_t base_ms = (int64_t)ms;

	if (ms < ROUTER_RETRY_AFTER_MIN_MS)
		base_ms = ROUTER_RETRY_AFTER_MIN_MS;
	else if (ms > ROUTER_RETRY_AFTER_MAX_MS)
		base_ms = ROUTER_RETRY_AFTER_MAX_MS;
	return (int)(base_ms + (int64_t)(jitter_draw % (uint64_t)base_ms));
}

/* ---- the budget ------------------------------------------------------------------------------ */

/* The maximum of a service's retry budget, in thousandths: this router's share of the retries that the fleet
 * may make at once in excess of its share of the traffic. */
static int64_t retry_budget_max_milli(const struct router *router)
{
	uint32_t routers = router->config.watch.router_count ? router->config.watch.router_count : 1;

	if (!router->config.bounds.use_endpoint_list)
		return ROUTER_RETRY_BUDGET_MAX_MILLI;
	return 1000 + (int64_t)router->config.bounds.retry_budget_slack * 600 / routers;
}

/* By how much a service's budget may be overdrawn, in thousandths: a twentieth of this router's share of the
 * slack, and one retry at most. The few requests of a small fleet earn little: without it the next ones would
 * be refused after the first retry, with nearly all of the slack unused. */
static int64_t retry_overdraft_milli(const struct router *router)
{
	uint32_t routers = router->config.watch.router_count ? router->config.watch.router_count : 1;
	int64_t overdraft_milli = (int64_t)router->config.bounds.retry_budget_slack * 50 / routers;

	if (!router->config.bounds.use_endpoint_list)
		return 0;
	return overdraft_milli < ROUTER_RETRY_COST_MILLI ? overdraft_milli : ROUTER_RETRY_COST_MILLI;
}

bool router_retry_budget_allows(const struct router *router, uint32_t service_index)
{
	return router->quota.retry_budget_milli[service_index] + retry_overdraft_milli(router) >=
	       ROUTER_RETRY_COST_MILLI;
}

void router_retry_budget_add(struct router *router, uint32_t service_index)
{
	int64_t *budget_milli = &router->quota.retry_budget_milli[service_index];
	int64_t max_milli = retry_budget_max_milli(router);

	*budget_milli += router->config.bounds.use_endpoint_list
			     ? router->config.bounds.retry_budget_permille * 3 / 4
			     : ROUTER_RETRY_EARNED_PER_SEND_MILLI;
	if (*budget_milli > max_milli)
		*budget_milli = max_milli;
}

/* Takes a retry from the budget as soon as it is decided on, because the request may wait in its queue while
 * other retries are decided on. */
static void reserve_retry(struct router *router, struct client_request *request)
{
	request->retry.budget_reserved = request->retry.attempt_count > 0;
	if (request->retry.budget_reserved)
		router->quota.retry_budget_milli[request->route.service_index] -= ROUTER_RETRY_COST_MILLI;
	router->stats.retries++;
	router->stats.streams_resumed += request->stream.has_begun != 0;
}

/* ---- another attempt ------------------------------------------------------------------------- */

void router_detach_from_server(struct router *router, struct client_request *request, int64_t now)
{
	struct router_server_state *server = &router->servers.states[request->attempt.server_index];

	server->own_running_count--;
	if (request->is_forwarded) {
		server->own_prefill_tokens -= request->attempt.prefill_tokens;
		server->own_resident_tokens -= request->attempt.uncached_tokens;
		request->attempt.prefill_tokens = 0;
	}
	request->retry.avoided_server = (uint32_t)request->attempt.server_index;
	request->retry.avoided_until_ms = now + ROUTER_RETURNED_SERVER_AVOIDANCE_MS;
	request->queueing.returned_at_ms = now;
	request->attempt.server_index = -1;
	request->state = REQUEST_CLAIMING;
}

/* Whether a request that may have run can be sent again. A stream that has begun can be resumed only after an
 * event whose id is known. */
static bool may_resend_after_start(const struct client_request *request)
{
	if (request->stream.has_begun)
		return request->route.resumable && request->stream.last_event_id;
	return request->route.idempotent || request->route.resumable;
}

/* Whether another attempt is allowed by the limits of the request and the retry budget of its service. */
static bool has_retry_left(const struct router *router, const struct client_request *request, int64_t now)
{
	return request->retry.attempt_count < request->retry.max_attempts &&
	       request->retry.unreachable_count < ROUTER_MAX_UNREACHABLE_SENDS &&
	       (!request->retry.attempt_count ||
		router_retry_budget_allows(router, request->route.service_index)) &&
	       now + ROUTER_RETRY_MIN_REMAINING_MS < request->client.deadline_at_ms;
}

void router_retry_or_end(struct router *router, struct client_request *request, bool not_started, int64_t now,
			 struct command_list *out)
{
	router_detach_from_server(router, request, now);
	if (!not_started && !may_resend_after_start(request)) {
		router_break_off(router, request, 502, "the server's answer broke off", now, out);
	} else if (!has_retry_left(router, request, now)) {
		router_refuse(router, request, 503,
			      "the server did not serve the request, and no further attempt is allowed",
			      ROUTER_RETRY_AFTER_SINGLE_SERVER_MS, now, out);
	} else {
		reserve_retry(router, request);
		if (router_readmit(router, request, now, out))
			router_send(router, request, now, out);
	}
}

void router_recall_attempt(struct router *router, struct client_request *request, int64_t now,
			   struct command_list *out)
{
	command_add(out, CMD_CANCEL)->args.cancel.token = request->attempt.call_token;
	(void)hmdel(router->requests.by_token, request->attempt.call_token);
	request->attempt.call_token = 0;
	/* the server may have started the request just before the cancellation */
	request->retry.may_have_run = true;
	router_retry_or_end(router, request, false, now, out);
}
