/* router_quota: slots of the concurrency limits of tenants and routes. Controllers reserve slots of each
 * limit for this router (config_watch.h). A request holds one slot of its tenant and one of its queue from
 * when it leaves the queue until it ends or is returned to the queue. Invariant: no request leaves its queue
 * without a reserved slot of each limit that applies. */
#include "router_internal.h"

#include "containers.h"

void router_quota_acquire(struct router *router, struct client_request *request)
{
	router_queue_of(router, request->route.index, request->route.tenant_index)->slots_held++;
	router->quota.tenant_slots_held[request->route.tenant_index]++;
}

void router_quota_release(struct router *router, struct client_request *request)
{
	router_queue_of(router, request->route.index, request->route.tenant_index)->slots_held--;
	router->quota.tenant_slots_held[request->route.tenant_index]--;
}

/* The number of slots of a limit that are reserved for this router. */
static uint32_t reserved_slot_count(const struct router *router, const char *name)
{
	struct config_watch_quota *quotas = router->config.watch.quotas;
	ptrdiff_t i = shgeti(quotas, name);

	return i < 0 ? 0 : quotas[i].value.reserved;
}

bool router_quota_has_slot(const struct router *router, const struct request_queue *queue)
{
	const struct route_table *routes = router->config.route_table;
	uint32_t tenant_index = queue->tenant_index;
	uint32_t share, concurrency_limit;

	router_tenant_share(routes, queue->route_index, tenant_index, &share, &concurrency_limit);
	if (routes->tenants[tenant_index].concurrency_limit &&
	    router->quota.tenant_slots_held[tenant_index] >=
		reserved_slot_count(router, router->names.tenants.names[tenant_index]))
		return false;
	return concurrency_limit == UINT32_MAX ||
	       queue->slots_held < reserved_slot_count(router, queue->name);
}

/* Adds a queue's used and needed slots to the limit with this name. Returns whether the queue needs more
 * slots than are reserved. */
static bool add_slot_usage(struct config_watch *watch, const char *name, const struct request_queue *queue)
{
	typeof(watch->quotas->value) *quota = config_watch_quota(watch, name);

	quota->used += queue->slots_held;
	quota->requested += queue->slots_held + queue->waiting_count;
	return queue->waiting_count && quota->used >= quota->reserved;
}

void router_request_quota_slots(struct router *router, int64_t now, struct command_list *out)
{
	const struct route_table *routes = router->config.route_table;
	struct config_watch *watch = &router->config.watch;
	bool lacks_slots = false;

	if (!routes->has_concurrency_limits)
		return;
	for (ptrdiff_t i = 0; i < shlen(watch->quotas); i++)
		watch->quotas[i].value.used = watch->quotas[i].value.requested = 0;
	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++) {
		const struct request_queue *queue = &router->queueing.queues[i];
		uint32_t share, concurrency_limit;

		if (!queue->waiting_count && !queue->slots_held)
			continue;
		router_tenant_share(routes, queue->route_index, queue->tenant_index, &share,
				    &concurrency_limit);
		if (routes->tenants[queue->tenant_index].concurrency_limit)
			lacks_slots |=
			    add_slot_usage(watch, router->names.tenants.names[queue->tenant_index], queue);
		if (concurrency_limit != UINT32_MAX)
			lacks_slots |= add_slot_usage(watch, queue->name, queue);
	}
	if (lacks_slots && now - watch->last_request_at_ms >= ROUTER_QUOTA_REQUEST_INTERVAL_MS)
		config_watch_poll(watch, router->relay.knowledge.horizon, now, out);
}
