/* router_dispatch: chooses the next waiting request and takes it out of its queue, to have its id claimed or
 * to be sent to a server. Queues of the lowest priority class go first; within a class, the queue with the
 * smallest pass (router_queue.c). */
#include "router_internal.h"

#include "containers.h"

enum {
	/* requests of a queue that are tried in one pass when its head has to wait */
	QUEUE_SCAN_MAX_REQUESTS = 16,
	PASS_PER_DISPATCH = 1000000 /* added to a queue's pass by one dispatch at a share of 1 */
};

/* The next dispatch: a request, its queue and its placement. */
struct dispatch {
	struct request_queue *queue; /* NULL: no request can be dispatched */
	struct client_request *request;
	struct plan plan;
};

static struct plan choose_server(struct router *router, const struct client_request *request, int64_t now)
{
	return request->is_forwarded ? router_place_forwarded(router, request, now)
				     : router_place_claimed(router, request, now);
}

/* The first request of a queue that a server has capacity for; NULL: none. plan: set to its placement. When
 * no server has capacity for the head, a request after it may still be sent if it is of another service, or
 * if the head avoids a server that returned it; then any request may follow. */
static struct client_request *first_sendable_request(struct router *router, const struct request_queue *queue,
						     int64_t now, struct plan *plan)
{
	uint32_t full_services[QUEUE_SCAN_MAX_REQUESTS];
	int full_service_count = 0, scanned_count = 0;
	bool is_split = router->config.route_table->routes[queue->route_index].split_count > 0;

	for (struct client_request *request = queue->head; request && scanned_count < QUEUE_SCAN_MAX_REQUESTS;
	     request = request->queueing.next_in_queue, scanned_count++) {
		bool is_full = false;

		for (int i = 0; i < full_service_count; i++)
			is_full |= full_services[i] == request->route.service_index;
		if (is_full || router_is_awaiting_lookup(router, request, now))
			continue;
		*plan = choose_server(router, request, now);
		if (plan->server_index >= 0)
			return request;
		if (now < request->retry.avoided_until_ms)
			continue; /* the server that it avoids may have capacity for a later request */
		if (!is_split && !request->stream.has_begun)
			return NULL; /* all later requests are of the same service */
		full_services[full_service_count++] = request->route.service_index;
	}
	return NULL;
}

/* Whether a queue is dispatched before the best one found so far. */
static bool is_dispatched_before(const struct route_table *routes, const struct request_queue *queue,
				 const struct request_queue *best)
{
	uint32_t queue_class = router_priority_class_of(routes, queue);
	uint32_t best_class = router_priority_class_of(routes, best);

	if (queue_class != best_class)
		return queue_class < best_class;
	return queue->pass < best->pass;
}

/* Chooses the next request to dispatch. any_waiting: set to whether any queue holds a request. */
static struct dispatch choose_next_dispatch(struct router *router, int64_t now, bool *any_waiting)
{
	const struct route_table *routes = router->config.route_table;
	struct dispatch best = { .queue = NULL };

	*any_waiting = false;
	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++) {
		struct request_queue *queue = &router->queueing.queues[i];
		struct client_request *sendable;
		struct plan plan;

		if (!queue->waiting_count)
			continue;
		*any_waiting = true;
		if (!router_quota_has_slot(router, queue))
			continue;
		if (best.queue && !is_dispatched_before(routes, queue, best.queue))
			continue;
		sendable = first_sendable_request(router, queue, now, &plan);
		if (sendable)
			best = (struct dispatch){ .queue = queue, .request = sendable, .plan = plan };
	}
	return best;
}

/* Takes a request out of its queue and assigns quota slots to it. */
static void dequeue(struct router *router, const struct dispatch *next, int64_t now)
{
	struct request_queue *queue = next->queue;
	uint32_t share, concurrency_limit;

	if (next->request == queue->head) {
		queue->dequeue_interval_ms +=
		    ((double)(now - queue->head_waiting_since_ms) - queue->dequeue_interval_ms) / 16;
		queue->head_waiting_since_ms = now;
	}
	router_queue_remove(router, next->request);
	router_quota_acquire(router, next->request);
	router_tenant_share(router->config.route_table, queue->route_index, queue->tenant_index, &share,
			    &concurrency_limit);
	queue->pass += PASS_PER_DISPATCH / (share ? share : 1);
	next->request->state = REQUEST_CLAIMING;
}

/* Sends a request of the own interface if its claim is confirmed; otherwise claims its id and reserves its
 * slot at the server until the claim is answered. */
static void claim_or_send(struct router *router, const struct dispatch *next, int64_t now,
			  struct command_list *out)
{
	struct client_request *request = next->request;

	request->attempt.server_index = next->plan.server_index;
	router->servers.states[request->attempt.server_index].own_running_count++;
	if (request->claim.is_confirmed) {
		router_send(router, request, now, out);
		return;
	}
	request->claim.token = router_token_new(router);
	request->claim.started_at_ms = now;
	hmput(router->requests.by_token, request->claim.token, request);
	router_claim_send(router, request, now, out);
}

void router_dispatch(struct router *router, int64_t now, struct command_list *out)
{
	if (!router_config_in_force(router, now) || !router->config.server_table ||
	    !arrlen(router->requests.all) || now < router->queueing.next_dispatch_at_ms)
		return;
	for (;;) {
		bool any_waiting;
		struct dispatch next = choose_next_dispatch(router, now, &any_waiting);

		/* no server has capacity for any waiting request: limits how often dispatch is tried again */
		if (!next.queue) {
			router->queueing.next_dispatch_at_ms =
			    any_waiting ? now + ROUTER_DISPATCH_INTERVAL_MS : 0;
			return;
		}
		dequeue(router, &next, now);
		if (next.request->is_forwarded) {
			next.request->route.priority =
			    router_priority_class_of(router->config.route_table, next.queue);
			router_forward_to_server(router, next.request, &next.plan, now, out);
		} else {
			claim_or_send(router, &next, now, out);
		}
	}
}

void router_send(struct router *router, struct client_request *request, int64_t now, struct command_list *out)
{
	struct plan plan = { .server_index = -1, .fetch_source = -1 };

	if (now >= request->client.deadline_at_ms) {
		router->stats.refused_deadline++;
		router_refuse(router, request, 503,
			      "the deadline passed before the request was sent to a server",
			      ROUTER_RETRY_AFTER_MIN_MS, now, out);
		return;
	}
	if (request->attempt.server_index >= 0) { /* the slot that was reserved during the claim */
		router->servers.states[request->attempt.server_index].own_running_count--;
		request->attempt.server_index = -1;
	}
	if (!request->is_forwarded && now - request->claim.started_at_ms > ROUTER_CLAIM_MAX_AGE_MS) {
		/* a claim must not expire while a request sent under it runs */
		router_refuse(router, request, 503,
			      "no server had capacity while the claim of this id was valid",
			      ROUTER_RETRY_AFTER_MIN_MS, now, out);
		return;
	}
	if (config_watch_age_ms(&router->config.watch, now) <= router_max_staleness_ms(router))
		plan = choose_server(router, request, now);
	/* returned to its queue if no server has capacity any more, or if the configuration has to be
	 * confirmed first */
	if (plan.server_index < 0)
		router_queue_return(router, request, now);
	else if (request->is_forwarded)
		router_forward_to_server(router, request, &plan, now, out);
	else
		router_call_server(router, request, &plan, now, out);
}
