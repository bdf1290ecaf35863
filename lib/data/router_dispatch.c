/* router_dispatch: which of the waiting requests goes next, and its way out of the queue: to its claim or to
 * its server. Among queues the lowest class goes first, and within a class the queue with the smallest pass
 * (router_queue.c). */
#include "router_internal.h"

#include "containers.h"

enum {
	QUEUE_SCAN_LIMIT = 16, /* requests of a queue that are tried at a time, where its head has to wait */
	PASS_STEP = 1000000    /* of one dispatch at a share of 1 */
};

/* A queue whose turn it is, and what of it goes. */
struct dispatch {
	struct request_queue *queue; /* NULL: none can go */
	struct client_request *request;
	struct plan plan;
};

static struct plan choose_server(struct router *router, const struct client_request *request, int64_t now)
{
	return request->is_forwarded ? router_placement_forwarded(router, request, now)
				     : router_placement_claimed(router, request, now);
}

/* The first of a queue that a server has capacity for. Behind a head that none has capacity for this may be
 * one of another service, or, where the head was returned and avoids the server that did, any. NULL: none. */
static struct client_request *first_ready(struct router *router, const struct request_queue *queue,
					  int64_t now, struct plan *plan)
{
	uint32_t full[QUEUE_SCAN_LIMIT];
	int full_count = 0, scanned = 0;
	bool split = router->config.route_table->routes[queue->route_index].split_count > 0;

	for (struct client_request *request = queue->head; request && scanned < QUEUE_SCAN_LIMIT;
	     request = request->queueing.next_in_queue, scanned++) {
		bool is_full = false;

		for (int i = 0; i < full_count; i++)
			is_full |= full[i] == request->route.service_index;
		if (is_full || router_lookup_waits(router, request, now))
			continue;
		*plan = choose_server(router, request, now);
		if (plan->server_index >= 0)
			return request;
		if (now < request->retry.avoided_until_ms)
			continue; /* there may be capacity at the server that it avoids */
		if (!split && !request->stream.has_begun)
			return NULL; /* all behind it are of its service */
		full[full_count++] = request->route.service_index;
	}
	return NULL;
}

/* Whether a queue has its turn before the best one so far. */
static bool is_before(const struct route_table *routes, const struct request_queue *queue,
		      const struct request_queue *best)
{
	uint32_t queue_class = router_priority_class_of(routes, queue);
	uint32_t best_class = router_priority_class_of(routes, best);

	if (queue_class != best_class)
		return queue_class < best_class;
	return queue->pass < best->pass;
}

/* The queue that goes next. waits: whether anything waits at all. */
static struct dispatch choose(struct router *router, int64_t now, bool *waits)
{
	const struct route_table *routes = router->config.route_table;
	struct dispatch best = { .queue = NULL };

	*waits = false;
	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++) {
		struct request_queue *queue = &router->queueing.queues[i];
		struct client_request *ready;
		struct plan plan;

		if (!queue->length)
			continue;
		*waits = true;
		if (!router_quota_has_slot(router, queue))
			continue;
		if (best.queue && !is_before(routes, queue, best.queue))
			continue;
		ready = first_ready(router, queue, now, &plan);
		if (ready)
			best = (struct dispatch){ .queue = queue, .request = ready, .plan = plan };
	}
	return best;
}

/* Out of its queue, with a slot of the quota. */
static void dequeue(struct router *router, const struct dispatch *next, int64_t now)
{
	struct request_queue *queue = next->queue;
	uint32_t share, limit;

	if (next->request == queue->head) {
		queue->dequeue_interval_ms +=
		    ((double)(now - queue->head_waiting_since_ms) - queue->dequeue_interval_ms) / 16;
		queue->head_waiting_since_ms = now;
	}
	router_queue_remove(router, next->request);
	router_quota_acquire(router, next->request);
	router_share_of(router->config.route_table, queue->route_index, queue->tenant_index, &share, &limit);
	queue->pass += PASS_STEP / (share ? share : 1);
	next->request->state = REQUEST_CLAIMING;
}

/* A request of the own interface holds its place at the server until its claim has been answered. */
static void claim_or_send(struct router *router, const struct dispatch *next, int64_t now,
			  struct command_list *out)
{
	struct client_request *request = next->request;

	request->attempt.server_index = next->plan.server_index;
	router->servers.states[request->attempt.server_index].own_running++;
	if (request->claim.confirmed) {
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
		bool waits;
		struct dispatch next = choose(router, now, &waits);

		if (!next.queue) { /* all that waits was tried at all servers: not again at every event */
			router->queueing.next_dispatch_at_ms = waits ? now + ROUTER_DISPATCH_INTERVAL_MS : 0;
			return;
		}
		dequeue(router, &next, now);
		if (next.request->is_forwarded) {
			next.request->route.priority =
			    router_priority_class_of(router->config.route_table, next.queue);
			router_forward(router, next.request, &next.plan, now, out);
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
		router_refuse(router, request, 503, "the limit passed before a send",
			      ROUTER_RETRY_AFTER_MIN_MS, now, out);
		return;
	}
	if (request->attempt.server_index >= 0) { /* the place that was held for it */
		router->servers.states[request->attempt.server_index].own_running--;
		request->attempt.server_index = -1;
	}
	if (!request->is_forwarded && now - request->claim.started_at_ms > ROUTER_CLAIM_MAX_AGE_MS) {
		/* a claim must outlast what is sent under it */
		router_refuse(router, request, 503, "no server could take it for long",
			      ROUTER_RETRY_AFTER_MIN_MS, now, out);
		return;
	}
	if (config_watch_age_ms(&router->config.watch, now) <= router_max_staleness_ms(router))
		plan = choose_server(router, request, now);
	if (plan.server_index < 0)
		router_queue_return(router, request,
				    now); /* its place was taken, or configuration must be confirmed first */
	else if (request->is_forwarded)
		router_forward(router, request, &plan, now, out);
	else
		router_send_to(router, request, &plan, now, out);
}
