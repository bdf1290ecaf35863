/* router_queue: the lines that requests wait in, their order, the claims they need, who goes next. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

/* Tokens of claims and calls; the shell numbers callers from 1 up, so ours keep the highest bit. */
uint64_t router_token_new(struct router *router)
{
	return ++router->requests.last_token | 1ull << 63;
}

struct request_queue *router_queue_of(struct router *router, uint32_t route_index, uint32_t tenant)
{
	struct request_queue queue = { route_index, tenant, NULL, NULL, NULL, 0, 0, 0, 0, 0 };

	ptrdiff_t i = hmgeti(router->queueing.by_owner, (uint64_t)route_index << 32 | tenant);

	if (i >= 0)
		return &router->queueing.queues[router->queueing.by_owner[i].value];
	queue.name = apr_pstrcat(router->pool, router->names.routes.names[route_index], "/",
				 router->names.tenants.names[tenant], NULL);
	hmput(router->queueing.by_owner, (uint64_t)route_index << 32 | tenant,
	      (uint32_t)arrlen(router->queueing.queues));
	arrput(router->queueing.queues, queue);
	return &arrlast(router->queueing.queues);
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

uint32_t router_shard_of(const struct router *router, uint32_t service)
{
	return core_shard_of(router->names.services.names[service], SHARD_SERVICES);
}

/* Ask the part's owner, as far as it is known; whom. */
static uint64_t claim_msg(struct router *router, uint32_t service, uint32_t tenant, const char *id,
			  uint64_t seq, int release, uint64_t token, struct command_list *out)
{
	uint32_t shard = router_shard_of(router, service);
	uint64_t leader_addr = config_watch_leader_addr(&router->config.watch, shard);
	struct Nl__Propose *propose = MESSAGE_NEW(out, Nl__Propose, NL__PROPOSE__INIT);

	propose->operation = MESSAGE_NEW(out, Nl__Operation, NL__OPERATION__INIT);
	propose->operation->body_case = NL__OPERATION__BODY_CLAIM;
	propose->operation->claim = MESSAGE_NEW(out, Nl__Claim, NL__CLAIM__INIT);
	propose->operation->claim->tenant = apr_pstrdup(out->pool, router->names.tenants.names[tenant]);
	propose->operation->claim->id = apr_pstrdup(out->pool, id);
	propose->operation->claim->router_id = router->id;
	propose->operation->claim->seq = seq;
	propose->operation->claim->release = release;
	propose->token = token;
	router->stats.claims++;
	command_send(out, leader_addr, shard, NL__MSG__BODY_PROPOSE)->propose = propose;
	return leader_addr;
}

/* Who was asked does not answer: ask another, unless that has been decided meanwhile. */
void router_claim_miss(struct router *router, uint32_t service, uint64_t leader_addr)
{
	if (config_watch_leader_addr(&router->config.watch, router_shard_of(router, service)) == leader_addr)
		config_watch_miss(&router->config.watch, router_shard_of(router, service));
}

void router_claim_send(struct router *router, struct client_request *request, int64_t now,
		       struct command_list *out)
{
	request->claim.sent_at_ms = now;
	request->claim.leader_addr =
	    claim_msg(router, request->route.service_index, request->route.tenant_index,
		      request->client.request_id, request->sequence, 0, request->claim.token, out);
}

/* The id may be used again: said until the part has heard it. */
void router_claim_release(struct router *router, const struct client_request *request, int64_t now,
			  struct command_list *out)
{
	struct claim_release router_release = { router_token_new(router),
						request->sequence,
						0,
						request->route.service_index,
						request->route.tenant_index,
						strdup(request->client.request_id),
						now,
						now + ROUTER_CLAIM_RELEASE_MAX_MS };

	router_release.leader_addr =
	    claim_msg(router, router_release.service_index, router_release.tenant_index, router_release.id,
		      router_release.sequence, 1, router_release.token, out);
	arrput(router->requests.claim_releases, router_release);
}

void router_release_end(struct router *router, ptrdiff_t i)
{
	free(router->requests.claim_releases[i].id);
	arrdelswap(router->requests.claim_releases, i);
}

void router_releases_tick(struct router *router, int64_t now, struct command_list *out)
{
	for (ptrdiff_t i = arrlen(router->requests.claim_releases) - 1; i >= 0; i--) {
		struct claim_release *router_release = &router->requests.claim_releases[i];

		if (now >= router_release->expires_at_ms) {
			router_release_end(router, i);
		} else if (now - router_release->sent_at_ms >= ROUTER_CLAIM_RETRY_INTERVAL_MS) {
			router_release->sent_at_ms = now;
			router_claim_miss(router, router_release->service_index, router_release->leader_addr);
			router_release->leader_addr = claim_msg(
			    router, router_release->service_index, router_release->tenant_index,
			    router_release->id, router_release->sequence, 1, router_release->token, out);
		}
	}
}

struct usage_entry *router_usage_of(struct router *router, const struct client_request *request)
{
	uint64_t key = (uint64_t)request->route.index << 32 | request->route.tenant_index;
	typeof(router->records.usage->value) zero = { 0, 0, 0, 0, 0 };

	if (hmgeti(router->records.usage, key) < 0)
		hmput(router->records.usage, key, zero);
	return hmgetp(router->records.usage, key);
}

/* When to come back for a reason that passes soon. */
int router_retry_fast_ms(struct router *router, int ms)
{
	return ms + (int)(core_rendezvous_weight(router->id, ++router->queueing.retry_jitter_draws) %
			  (uint64_t)(ms / 2 + 1));
}

/* When to come back: not sooner than makes sense, and not all at once. */
int router_retry_after_ms(struct router *router, double ms)
{
	int64_t least_ms = ms < ROUTER_RETRY_AFTER_MIN_MS   ? ROUTER_RETRY_AFTER_MIN_MS
			   : ms > ROUTER_RETRY_AFTER_MAX_MS ? ROUTER_RETRY_AFTER_MAX_MS
							    : (int64_t)ms;

	return (int)(least_ms +
		     (int64_t)(core_rendezvous_weight(router->id, ++router->queueing.retry_jitter_draws) %
			       (uint64_t)least_ms));
}

struct json_object *router_read_json(struct router *router, const char *text)
{
	json_tokener_reset(router->json_tokener);
	return json_tokener_parse_ex(router->json_tokener, text, -1);
}

enum {
	QUEUE_SCAN_LIMIT = 16
}; /* requests of a line that are weighed at a time, where its head has to wait */

/* How long the exchange with i others before it in its line has yet to wait: what its line's heads usually
 * take, and for the next of them no less than the time for which it has already stood still. */
double router_expected_wait_ms(const struct request_queue *queue, uint32_t i, int64_t now)
{
	double still = (double)(now - queue->head_waiting_since_ms);

	return i * queue->dequeue_interval_ms +
	       (still > queue->dequeue_interval_ms - still ? still : queue->dequeue_interval_ms - still);
}

/* Whether the configuration here is certain to be in force, or may be ridden on. */
int router_config_in_force(const struct router *router, int64_t now)
{
	return router->config.route_table &&
	       config_watch_age_ms(&router->config.watch, now) <= router_max_staleness_ms(router);
}

/* How long the configuration's owner may go unheard while new work is still taken. With servers from the
 * table it is the brief's two seconds. Where a deployment counts nodes as in touch only when the core has
 * been calm for a while, an owner that falls silent just after its last good answer makes the core uncalm for
 * that long: until then what it may have acknowledged meanwhile need not be in force here. No removed key may
 * outlive its bound either: docs/design.md, Freshness. */
int router_max_staleness_ms(const struct router *router)
{
	int key = router->config.bounds.revoke_ms - ROUTER_STALENESS_MARGIN_MS,
	    calm = router->config.bounds.contact_ms - ROUTER_CONTACT_MARGIN_MS;
	int drift =
	    router->config.bounds.config_ms + router->config.bounds.drift_ms - ROUTER_STALENESS_MARGIN_MS;

	if (!router->config.bounds.discover_instances)
		return CONFIG_WATCH_ADMIT_STALENESS_MS;
	if (calm < router->config.bounds.config_ms - ROUTER_CONTACT_MARGIN_MS)
		calm = router->config.bounds.config_ms - ROUTER_CONTACT_MARGIN_MS;
	return key < calm && key < drift ? key : drift < calm ? drift : calm;
}

/* Which class a line goes in: its tenant's, where that has one, else its lane's. */
static uint32_t priority_class_of(const struct route_table *routes, const struct request_queue *queue)
{
	uint32_t priority_class = routes->tenants[queue->tenant_index].priority_class;

	return priority_class ? priority_class - 1 : routes->routes[queue->route_index].priority;
}

/* A line that was empty starts where the others of its class are: the time for which it was empty counts
 * neither as a wait nor as turns that it has left to others. */
static void queue_begins(struct router *router, struct request_queue *queue, int64_t now)
{
	const struct route_table *routes = router->config.route_table;
	uint64_t lowest_pass = UINT64_MAX;

	queue->head_waiting_since_ms = now;
	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++)
		if (router->queueing.queues[i].length &&
		    priority_class_of(routes, &router->queueing.queues[i]) ==
			priority_class_of(routes, queue) &&
		    router->queueing.queues[i].pass < lowest_pass)
			lowest_pass = router->queueing.queues[i].pass;
	if (lowest_pass != UINT64_MAX && queue->pass < lowest_pass)
		queue->pass = lowest_pass;
}

/* Behind all that were taken before it. */
void router_queue_insert(struct router *router, struct client_request *x, int64_t now)
{
	struct request_queue *queue = router_queue_of(router, x->route.index, x->route.tenant_index);
	struct client_request **request = &queue->head;

	if (!queue->length)
		queue_begins(router, queue, now);
	if (queue->tail && queue->tail->sequence < x->sequence)
		request = &queue->tail->queueing.next_in_queue;
	while (*request && (*request)->sequence < x->sequence)
		request = &(*request)->queueing.next_in_queue;
	x->state = REQUEST_WAITING;
	x->queueing.next_in_queue = *request;
	*request = x;
	if (!x->queueing.next_in_queue)
		queue->tail = x;
	queue->length++;
}

void router_queue_remove(struct router *router, struct client_request *x)
{
	struct request_queue *queue = router_queue_of(router, x->route.index, x->route.tenant_index);
	struct client_request **request = &queue->head, *before = NULL;

	while (*request && *request != x) {
		before = *request;
		request = &(*request)->queueing.next_in_queue;
	}
	if (!*request)
		return;
	*request = x->queueing.next_in_queue;
	x->queueing.next_in_queue = NULL;
	if (queue->tail == x)
		queue->tail = before;
	queue->length--;
}

/* A place is one of those that limits of a tenant and a lane count: held from the moment a request leaves its
 * line. */
static void quota_acquire(struct router *router, struct client_request *request)
{
	router_queue_of(router, request->route.index, request->route.tenant_index)->running++;
	router->quota.tenant_running[request->route.tenant_index]++;
}

void router_quota_release(struct router *router, struct client_request *request)
{
	router_queue_of(router, request->route.index, request->route.tenant_index)->running--;
	router->quota.tenant_running[request->route.tenant_index]--;
}

/* To the head of its line: there is no place at a server just now. */
void router_queue_return(struct router *router, struct client_request *request, int64_t now)
{
	struct request_queue *queue =
	    router_queue_of(router, request->route.index, request->route.tenant_index);

	router_quota_release(router, request);
	if (!queue->length)
		queue_begins(router, queue, now);
	request->state = REQUEST_WAITING;
	request->queueing.next_in_queue = queue->head;
	queue->head = request;
	if (!queue->tail)
		queue->tail = request;
	queue->length++;
}

/* Its lane or its tenant is another one from now on, whether it waits or holds a place. */
void router_queue_move(struct router *router, struct client_request *request, uint32_t route_index,
		       uint32_t tenant_index, int64_t now)
{
	int waits = request->state == REQUEST_WAITING;

	if (waits)
		router_queue_remove(router, request);
	else
		router_quota_release(router, request);
	(void)router_queue_of(router, route_index, tenant_index);
	request->route.index = route_index;
	request->route.tenant_index = tenant_index;
	if (waits)
		router_queue_insert(router, request, now);
	else
		quota_acquire(router, request);
}

uint32_t router_reserved_slots(const struct router *router, const char *name)
{
	struct config_watch_quota *h = router->config.watch.quotas;
	ptrdiff_t i = shgeti(h, name);

	return i < 0 ? 0 : h[i].value.reserved;
}

/* What is used and wanted of each limit; where a line lacks places, its owner is asked at once, though not
 * each time. */
void router_request_slots(struct router *router, int64_t now, struct command_list *out)
{
	struct config_watch *watch = &router->config.watch;
	int lacks_slots = 0;

	if (!router->config.route_table->has_limits)
		return;
	for (ptrdiff_t i = 0; i < shlen(watch->quotas); i++)
		watch->quotas[i].value.used = watch->quotas[i].value.requested = 0;
	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++) {
		const struct request_queue *queue = &router->queueing.queues[i];
		uint32_t share, limit;

		if (!queue->length && !queue->running)
			continue;
		router_share_of(router->config.route_table, queue->route_index, queue->tenant_index, &share,
				&limit);
		for (int k = 0; k < 1 + (limit != UINT32_MAX); k++) {
			typeof(watch->quotas->value) *entry;

			if (!k && !router->config.route_table->tenants[queue->tenant_index].concurrency_limit)
				continue;
			entry = config_watch_quota(
			    watch, k ? queue->name : router->names.tenants.names[queue->tenant_index]);

			entry->used += queue->running;
			entry->requested += queue->running + queue->length;
			lacks_slots |= queue->length && entry->used >= entry->reserved;
		}
	}
	if (lacks_slots && now - watch->requested_at_ms >= ROUTER_QUOTA_REQUEST_INTERVAL_MS)
		config_watch_poll(watch, router->relay.knowledge.horizon, now, out);
}

/* The first of a line that a server has room for. Behind a head that none has room for this may be one of
 * another service, or, where the head was given back and avoids the server that did, any. NULL: none. */
static struct client_request *first_ready(struct router *router, const struct request_queue *queue,
					  int64_t now, struct plan *plan)
{
	uint32_t full[QUEUE_SCAN_LIMIT];
	int n = 0, scanned = 0,
	    split = router->config.route_table->routes[queue->route_index].split_count > 0;

	for (struct client_request *request = queue->head; request && scanned < QUEUE_SCAN_LIMIT;
	     request = request->queueing.next_in_queue, scanned++) {
		int known = 0;

		for (int k = 0; k < n; k++)
			known |= full[k] == request->route.service_index;
		if (known || router_lookup_waits(router, request, now))
			continue;
		*plan = request->is_forwarded ? router_placement_forwarded(router, request, now)
					      : router_placement_claimed(router, request, now);
		if (plan->server_index >= 0)
			return request;
		if (now < request->retry.avoided_until_ms)
			continue; /* there may be room at the server that it avoids */
		if (!split && !request->stream.has_begun)
			return NULL; /* all behind it are of its service */
		full[n++] = request->route.service_index;
	}
	return NULL;
}

/* Heads of lines go on while there are places: by class, then by share. */
/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
void router_dispatch(struct router *router, int64_t now, struct command_list *out)
{
	const struct route_table *routes = router->config.route_table;

	if (!router_config_in_force(router, now) || !router->config.server_table ||
	    !arrlen(router->requests.all) || now < router->queueing.next_dispatch_at_ms)
		return;
	for (;;) {
		struct request_queue *best = NULL;
		int waits = 0;
		struct plan best_plan = { .server_index = -1, .fetch_source = -1 };
		struct client_request *request = NULL, *ready;
		uint32_t share, limit;

		for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++) {
			struct request_queue *queue = &router->queueing.queues[i];
			struct plan plan;

			if (!queue->length)
				continue;
			waits = 1;
			router_share_of(routes, queue->route_index, queue->tenant_index, &share, &limit);
			if ((routes->tenants[queue->tenant_index].concurrency_limit &&
			     router->quota.tenant_running[queue->tenant_index] >=
				 router_reserved_slots(router,
						       router->names.tenants.names[queue->tenant_index])) ||
			    (limit != UINT32_MAX &&
			     queue->running >= router_reserved_slots(router, queue->name)))
				continue;
			if (best && (priority_class_of(routes, queue) > priority_class_of(routes, best) ||
				     (priority_class_of(routes, queue) == priority_class_of(routes, best) &&
				      queue->pass >= best->pass)))
				continue;
			ready = first_ready(router, queue, now, &plan);
			if (!ready)
				continue;
			best = queue;
			request = ready;
			best_plan = plan;
		}
		if (!best) {
			router->queueing.next_dispatch_at_ms =
			    waits
				? now + ROUTER_DISPATCH_INTERVAL_MS
				: 0; /* all that waits was weighed against all servers: not at every event */
			return;
		}
		if (request == best->head) {
			best->dequeue_interval_ms +=
			    ((double)(now - best->head_waiting_since_ms) - best->dequeue_interval_ms) / 16;
			best->head_waiting_since_ms = now;
		}
		router_queue_remove(router, request);
		quota_acquire(router, request);
		router_share_of(routes, best->route_index, best->tenant_index, &share, &limit);
		best->pass += 1000000 / (share ? share : 1);
		request->state = REQUEST_CLAIMING;
		request->attempt.server_index = best_plan.server_index;
		router->servers.states[request->attempt.server_index]
		    .own_running++; /* its place is held until its claim has been answered */
		if (request->is_forwarded) {
			request->route.priority = priority_class_of(routes, best);
			request->attempt.server_index = -1;
			router->servers.states[best_plan.server_index].own_running--;
			router_forward(router, request, &best_plan, now, out);
			continue;
		}
		if (request->claim.confirmed) {
			router_send_claimed(router, request, now, out);
			continue;
		}
		request->claim.token = router_token_new(router);
		request->claim.started_at_ms = now;
		hmput(router->requests.by_token, request->claim.token, request);
		router_claim_send(router, request, now, out);
	}
}
