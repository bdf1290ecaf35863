/* router_queue: the queues of waiting requests, one for each tenant on each route, in order of admission.
 * Dispatch among queues follows stride scheduling (Waldspurger and Weihl 1995): each dispatch advances a
 * queue's pass by the inverse of its share. Invariant: a queue holds exactly the requests of its tenant and
 * route whose state is REQUEST_WAITING. */
#include "router_internal.h"

#include <apr_strings.h>

#include "containers.h"

struct request_queue *router_queue_of(struct router *router, uint32_t route_index, uint32_t tenant_index)
{
	uint64_t owner = (uint64_t)route_index << 32 | tenant_index;
	struct request_queue queue = { .route_index = route_index, .tenant_index = tenant_index };
	ptrdiff_t i = hmgeti(router->queueing.index_by_route_and_tenant, owner);

	if (i >= 0)
		return &router->queueing.queues[router->queueing.index_by_route_and_tenant[i].value];
	queue.name = apr_pstrcat(router->pool, router->names.routes.names[route_index], "/",
				 router->names.tenants.names[tenant_index], NULL);
	hmput(router->queueing.index_by_route_and_tenant, owner, (uint32_t)arrlen(router->queueing.queues));
	arrput(router->queueing.queues, queue);
	return &arrlast(router->queueing.queues);
}

uint32_t router_priority_class_of(const struct route_table *routes, const struct request_queue *queue)
{
	uint32_t priority_class = routes->tenants[queue->tenant_index].priority_class;

	return priority_class ? priority_class - 1 : routes->routes[queue->route_index].priority;
}

/* Estimates the wait from the smoothed time between dispatches of heads. The present head is assumed to wait
 * at least as long again as it has already waited. */
double router_expected_wait_ms(const struct request_queue *queue, uint32_t requests_ahead, int64_t now)
{
	double waited_ms = (double)(now - queue->head_waiting_since_ms);
	double remaining_ms = queue->dequeue_interval_ms - waited_ms;

	return requests_ahead * queue->dequeue_interval_ms +
	       (waited_ms > remaining_ms ? waited_ms : remaining_ms);
}

/* Prepares an empty queue for its first request. Its pass starts at the lowest pass of the other queues of
 * its priority class, so that the time for which it was empty counts neither as a wait nor as unused
 * dispatches. */
static void activate_empty_queue(struct router *router, struct request_queue *queue, int64_t now)
{
	const struct route_table *routes = router->config.route_table;
	uint32_t priority_class = router_priority_class_of(routes, queue);
	uint64_t lowest_pass = UINT64_MAX;

	queue->head_waiting_since_ms = now;
	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++) {
		const struct request_queue *other = &router->queueing.queues[i];

		if (other->waiting_count && router_priority_class_of(routes, other) == priority_class &&
		    other->pass < lowest_pass)
			lowest_pass = other->pass;
	}
	if (lowest_pass != UINT64_MAX && queue->pass < lowest_pass)
		queue->pass = lowest_pass;
}

void router_queue_insert(struct router *router, struct client_request *request, int64_t now)
{
	struct request_queue *queue =
	    router_queue_of(router, request->route.index, request->route.tenant_index);
	struct client_request **link = &queue->head;

	if (!queue->waiting_count)
		activate_empty_queue(router, queue, now);
	if (queue->tail && queue->tail->sequence < request->sequence)
		link = &queue->tail->queueing.next_in_queue;
	while (*link && (*link)->sequence < request->sequence)
		link = &(*link)->queueing.next_in_queue;
	request->state = REQUEST_WAITING;
	request->queueing.next_in_queue = *link;
	*link = request;
	if (!request->queueing.next_in_queue)
		queue->tail = request;
	queue->waiting_count++;
}

void router_queue_remove(struct router *router, struct client_request *request)
{
	struct request_queue *queue =
	    router_queue_of(router, request->route.index, request->route.tenant_index);
	struct client_request **link = &queue->head, *previous = NULL;

	while (*link && *link != request) {
		previous = *link;
		link = &(*link)->queueing.next_in_queue;
	}
	if (!*link)
		return;
	*link = request->queueing.next_in_queue;
	request->queueing.next_in_queue = NULL;
	if (queue->tail == request)
		queue->tail = previous;
	queue->waiting_count--;
}

void router_queue_return(struct router *router, struct client_request *request, int64_t now)
{
	struct request_queue *queue =
	    router_queue_of(router, request->route.index, request->route.tenant_index);

	router_quota_release(router, request);
	if (!queue->waiting_count)
		activate_empty_queue(router, queue, now);
	request->state = REQUEST_WAITING;
	request->queueing.next_in_queue = queue->head;
	queue->head = request;
	if (!queue->tail)
		queue->tail = request;
	queue->waiting_count++;
}

void router_queue_move(struct router *router, struct client_request *request, uint32_t route_index,
		       uint32_t tenant_index, int64_t now)
{
	bool is_waiting = request->state == REQUEST_WAITING;

	if (is_waiting)
		router_queue_remove(router, request);
	else
		router_quota_release(router, request);
	(void)router_queue_of(router, route_index, tenant_index);
	request->route.index = route_index;
	request->route.tenant_index = tenant_index;
	if (is_waiting)
		router_queue_insert(router, request, now);
	else
		router_quota_acquire(router, request);
}
