/* router_admission: which route, tenant and service a request has by the table in force; taking requests, and
 * what is refused before it waits. A newer table judges what waits once more by the same rule. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

static const char *parse(struct router *c, struct client_request *request, const char *body,
			 const char **lane, int *limit, apr_pool_t *pool)
{
	struct json_object *json = router_read_json(c, body), *v;
	const char *why = NULL;

	*limit = ROUTER_TIMEOUT_DEFAULT_MS;
	*lane = NULL;
	if (!json_object_is_type(json, json_type_object)) {
		why = "body: not a JSON object";
		goto end;
	}
	json_object_object_foreach(json, name, val)
	{
		if (!strcmp(name, "lane") || !strcmp(name, "id") || !strcmp(name, "tail")) {
			if (!json_object_is_type(val, json_type_string))
				why = apr_psprintf(pool, "%s: not a string", name);
			else if (!strcmp(name, "lane"))
				*lane = apr_pstrdup(pool, json_object_get_string(val));
			else if (!strcmp(name, "id"))
				request->client.request_id = apr_pstrdup(pool, json_object_get_string(val));
			else
				request->prompt.tail_text = apr_pstrdup(pool, json_object_get_string(val));
		} else if (!strcmp(name, "limit_ms")) {
			int64_t n = json_object_get_int64(val);

			if (!json_object_is_type(val, json_type_int) || n < ROUTER_TIMEOUT_MIN_MS ||
			    n > ROUTER_TIMEOUT_MAX_MS)
				why = apr_psprintf(pool, "limit_ms: %d to %d", ROUTER_TIMEOUT_MIN_MS,
						   ROUTER_TIMEOUT_MAX_MS);
			else
				*limit = (int)n;
		} else if (!strcmp(name, "parts")) {
			if (!json_object_is_type(val, json_type_array) ||
			    json_object_array_length(val) > ROUTER_MAX_BLOCKS) {
				why = apr_psprintf(pool, "parts: a list of at most %d strings",
						   ROUTER_MAX_BLOCKS);
				continue;
			}
			for (size_t i = 0; i < json_object_array_length(val); i++) {
				v = json_object_array_get_idx(val, i);
				if (!json_object_is_type(v, json_type_string))
					why = "parts: a list of strings";
				else
					request->prompt.block_text[request->prompt.block_count++] =
					    apr_pstrdup(pool, json_object_get_string(v));
			}
		} else {
			why = apr_psprintf(pool, "%s: no such field", name);
		}
	}
	if (why)
		goto end;
	if (!*lane)
		why = "lane: missing";
	else if (!request->client.request_id || !request->client.request_id[0] ||
		 strlen(request->client.request_id) > 128 || strpbrk(request->client.request_id, "\x1f\n"))
		why = "id: 1 to 128 characters";
	else if (!request->prompt.tail_text)
		why = "tail: missing";
end:
	if (json)
		json_object_put(json);
	return why;
}

const char router_no_server[] = "no server of this service stands";

static int refuse_if_config_stale(struct router *router, uint64_t token, int64_t now,
				  struct command_list *out)
{
	struct request_ending ending = { REQUEST_REFUSED, 503,
					 "this counter's configuration is not certain to be in force", 0 };

	if (!router->shutdown.in_progress && router_config_in_force(router, now))
		return 0;
	if (router->shutdown.in_progress)
		ending.reason = "this counter is stopping";
	router->stats.refused_stale++;
	if (!router->config.bounds.discover_instances)
		ending.retry_after_ms = router_retry_after_ms(router, ROUTER_RETRY_AFTER_MIN_MS);
	else if (now - router->clock.started_at_ms <
		 ROUTER_STARTUP_MS) /* one that has just begun knows how long
				 its fleet takes to find its owners */
		ending.retry_after_ms = router_retry_fast_ms(
		    router, (int)(ROUTER_STARTUP_MS - (now - router->clock.started_at_ms) + 200));
	else
		ending.retry_after_ms = router_retry_fast_ms(router, ROUTER_RETRY_AFTER_MIN_MS);
	router_decline(router, token, &ending, out);
	return 1;
}

static int refuse_if_queue_full(struct router *router, uint64_t token, const struct request_queue *queue,
				uint32_t route_index, uint32_t service, int64_t now, struct command_list *out)
{
	struct request_ending ending = { REQUEST_REFUSED, 503, router_no_server, 0 };
	int full = queue->length >= router->config.route_table->routes[route_index].queue_limit;

	if (!full && now - router->servers.last_serving_at_ms[service] <= ROUTER_CONFIG_MAX_STALENESS_MS)
		return 0;
	router->stats.refused_queue_full += full;
	router->stats.refused_early += !full;
	if (full) {
		ending.status = 429;
		ending.reason = "the line is full";
	}
	ending.retry_after_ms =
	    router_retry_after_ms(router, full ? router_expected_wait_ms(queue, queue->length / 2, now)
					       : ROUTER_RETRY_AFTER_MIN_MS);
	router_decline(router, token, &ending, out);
	return 1;
}

static void reject_new(struct router *router, uint64_t token, int status, const char *reason,
		       struct command_list *out)
{
	router_decline(router, token, &(struct request_ending){ REQUEST_REJECTED, status, reason, 0 }, out);
}

/* Into its line, and among all that are under way. */
static void enqueue(struct router *router, struct client_request *request, int64_t now)
{
	request->route.revision = router->config.route_table->revision;
	router_queue_insert(router, request, now);
	router_request_add(router, request);
}

void router_admit_claimed(struct router *router, uint64_t token, const char *digest, const char *body,
			  int64_t now, struct command_list *out)
{
	struct route_table *routes = router->config.route_table;
	struct key_entry *keys = routes ? routes->keys : NULL;
	apr_pool_t *pool;
	struct client_request *request;
	const char *route_name, *reason;
	int limit, route_index;
	ptrdiff_t key_index;
	uint64_t hash;
	struct request_queue *queue;

	router->stats.received++;
	if (refuse_if_config_stale(router, token, now, out))
		return;
	key_index = keys ? shgeti(keys, digest) : -1;
	if (key_index < 0 || !routes->tenants[keys[key_index].value].is_configured) {
		reject_new(router, token, 401, "key: unknown", out);
		return;
	}
	apr_pool_create(&pool, router->pool);
	request = apr_pcalloc(pool, sizeof *request);
	request->pool = pool;
	reason = parse(router, request, body, &route_name, &limit, pool);
	route_index = reason ? -1 : names_find(&router->names.routes, route_name);
	if (reason || route_index < 0 || !routes->routes[route_index].is_configured ||
	    !routes->services[routes->routes[route_index].service_index].is_configured) {
		reject_new(router, token, reason ? 400 : 404, reason ? reason : "lane: unknown", out);
		apr_pool_destroy(pool);
		return;
	}
	request->route.index = (uint32_t)route_index;
	request->route.tenant_index = keys[key_index].value;
	request->route.service_index = routes->routes[route_index].service_index;
	queue = router_queue_of(router, request->route.index, request->route.tenant_index);
	if (refuse_if_queue_full(router, token, queue, request->route.index, request->route.service_index,
				 now, out)) {
		apr_pool_destroy(pool);
		return;
	}
	request->client.token = token;
	request->client.key_digest = apr_pstrdup(pool, digest);
	request->sequence = ++router->requests.last_sequence;
	request->client.deadline_at_ms = now + limit;
	request->client.received_at_ms = now;
	request->attempt.server_index = -1;
	request->retry.avoided_server = UINT32_MAX;
	hash = core_hash_string(0, router->names.services.names[request->route.service_index]);
	for (int i = 0; i < request->prompt.block_count; i++) {
		hash = core_hash_string(hash, request->prompt.block_text[i]);
		request->prompt.block_hash[i] = hash;
		request->prompt.block_tokens[i] = (uint32_t)(strlen(request->prompt.block_text[i]) + 3) / 4;
	}
	request->prompt.tail_tokens = (uint32_t)(strlen(request->prompt.tail_text) + 3) / 4;
	enqueue(router, request, now);
}

/* Which lane an exchange is on: the longest path prefix of its host. -1: none. */
static int route_at(const struct route_table *routes, const char *host, const char *path)
{
	struct route_match *bk_place = routes->matches;
	size_t n = strcspn(path, "?#");

	for (; bk_place && n; n--) {
		ptrdiff_t i;
		const struct route_config *route;

		if (path[n - 1] != '/')
			continue;
		i = hmgeti(bk_place, router_match_key(host, path, n));
		if (i < 0)
			continue;
		route = &routes->routes[bk_place[i].value];
		if (route->is_configured && !strcmp(route->host, host) && strlen(route->path) == n &&
		    !strncmp(route->path, path, n))
			return (int)bk_place[i].value;
	}
	return -1;
}

/* By the split's weights; the same id always goes the same way. */
static uint32_t service_at(const struct route_config *route, const char *id)
{
	uint32_t position, k = 0;

	if (!route->split_count)
		return route->service_index;
	position =
	    (uint32_t)(core_hash_string(31, id) % route->splits[route->split_count - 1].cumulative_weight);
	while (route->splits[k].cumulative_weight <= position)
		k++;
	return route->splits[k].service_index;
}

/* Whether a lane still leads to a service, whatever part of its requests. */
static int leads_to(const struct route_config *route, uint32_t service)
{
	if (!route->split_count)
		return route->service_index == service;
	for (uint32_t k = 0; k < route->split_count; k++)
		if (route->splits[k].service_index == service)
			return 1;
	return 0;
}

/* Where a request goes by a table, or the status that says why nowhere. */
struct admission {
	int status;
	const char *reason;
	uint32_t route_index, tenant_index, service_index;
};

/* Whose a request is; 0: it may not be anybody's. */
static int tenant_at(const struct route_table *routes, const struct route_config *route, const char *digest,
		     uint32_t *tenant)
{
	struct key_entry *keys = routes->keys;
	ptrdiff_t key_index = digest && routes->has_keys ? shgeti(keys, digest) : -1;

	*tenant = routes->anonymous_tenant;
	if (key_index >= 0 && routes->tenants[keys[key_index].value].is_configured)
		*tenant = keys[key_index].value;
	else if (routes->has_keys && !route->key_optional)
		return 0;
	return 1;
}

static struct admission admission_of(const struct route_table *routes, const char *host, const char *path,
				     const char *digest, const char *id)
{
	struct admission admission = { 0, NULL, 0, 0, 0 };
	int route_index = route_at(routes, host, path);

	if (route_index < 0)
		return (struct admission){ 404, "lane: none at this host and path", 0, 0, 0 };
	admission.route_index = (uint32_t)route_index;
	if (!tenant_at(routes, &routes->routes[route_index], digest, &admission.tenant_index))
		return (struct admission){ 401, "key: unknown", 0, 0, 0 };
	admission.service_index = service_at(&routes->routes[route_index], id);
	if (!routes->services[admission.service_index].is_configured)
		return (struct admission){ 404, "lane: its service is unknown", 0, 0, 0 };
	return admission;
}

/* Another service serves it from now on; what was set aside for another send there is set aside here. 0: that
 * ended it. */
static int change_service(struct router *router, struct client_request *request, uint32_t service,
			  int64_t now, struct command_list *out)
{
	int paid = request->retry.budget_reserved;

	if (paid)
		router->quota.retry_budget[request->route.service_index] += ROUTER_RETRY_COST_MILLI;
	request->retry.budget_reserved = 0;
	request->route.service_index = service;
	if (request->stream.has_begun) { /* the other service knows nothing of this stream */
		router_break_off(router, request, 502, "the service of this stream is gone", now, out);
		return 0;
	}
	if (paid && router->quota.retry_budget[service] < ROUTER_RETRY_COST_MILLI) {
		router_refuse(router, request, 503,
			      "its service changed, and the budget for resends is spent",
			      ROUTER_RETRY_FAST_MS, now, out);
		return 0;
	}
	if (paid)
		router->quota.retry_budget[service] -= ROUTER_RETRY_COST_MILLI;
	request->retry.budget_reserved = paid;
	return 1;
}

int router_readmit(struct router *router, struct client_request *request, int64_t now,
		   struct command_list *out)
{
	const struct route_table *routes = router->config.route_table;
	const struct route_config *route;
	struct admission admission;

	if (request->route.revision == routes->revision)
		return 1;
	request->route.revision = routes->revision;
	admission = admission_of(routes, request->client.host, request->client.path,
				 request->client.key_digest, request->client.request_id);
	if (admission.status) {
		router->stats.revoked += admission.status == 401;
		router_end_early(router, request, admission.status, admission.reason, now, out);
		return 0;
	}
	if (admission.route_index != request->route.index ||
	    admission.tenant_index != request->route.tenant_index)
		router_queue_move(router, request, admission.route_index, admission.tenant_index, now);
	route = &routes->routes[admission.route_index];
	request->route.idempotent = request->route.idempotent && route->idempotent;
	request->route.resumable = request->route.resumable && route->resumable;
	if (request->retry.may_have_run && !request->route.idempotent && !request->route.resumable) {
		router_break_off(router, request, 502,
				 "the server's answer broke off, and it may not be sent again", now, out);
		return 0;
	}
	if (routes->services[request->route.service_index].is_configured &&
	    (request->stream.has_begun || leads_to(route, request->route.service_index)))
		return 1;
	return change_service(router, request, admission.service_index, now, out);
}

/* Text of the caller's own memory, for as long as the request lives. */
static struct client_request *request_new(struct router *router, const struct forwarded_request *query)
{
	apr_pool_t *pool;
	struct client_request *x;
	uint32_t shared;

	apr_pool_create(&pool, router->pool);
	x = apr_pcalloc(pool, sizeof *x);
	x->pool = pool;
	x->client.token = query->token;
	x->client.key_digest = query->key_digest ? apr_pstrdup(pool, query->key_digest) : NULL;
	x->client.host = apr_pstrdup(pool, query->host);
	x->client.path = apr_pstrdup(pool, query->path);
	x->client.request_id = apr_pstrdup(pool, query->id);
	x->sequence = ++router->requests.last_sequence;
	x->attempt.server_index = -1;
	x->retry.avoided_server = UINT32_MAX;
	x->is_forwarded = x->claim.confirmed = 1; /* whoever calls vouches that the id is used once */
	x->prompt.block_count =
	    query->block_count < ROUTER_MAX_BLOCKS ? query->block_count : ROUTER_MAX_BLOCKS;
	for (int i = 0; i < x->prompt.block_count; i++) {
		x->prompt.block_hash[i] = query->blocks[i].hash;
		x->prompt.block_tokens[i] = query->blocks[i].tokens;
	}
	shared = (uint32_t)router_tokens_of_blocks(x, x->prompt.block_count);
	x->prompt.tail_tokens = query->input_tokens > shared ? query->input_tokens - shared : 0;
	x->prompt.output_tokens = query->output_tokens;
	x->prompt.total_tokens = shared + x->prompt.tail_tokens + x->prompt.output_tokens;
	return x;
}

void router_admit_forwarded(struct router *router, const struct forwarded_request *query, int64_t now,
			    struct command_list *out)
{
	const struct route_table *routes = router->config.route_table;
	const struct route_config *route;
	struct client_request *request;
	struct admission admission;

	router->stats.received++;
	if (refuse_if_config_stale(router, query->token, now, out))
		return;
	admission = admission_of(routes, query->host, query->path, query->key_digest, query->id);
	if (admission.status) {
		reject_new(router, query->token, admission.status, admission.reason, out);
		return;
	}
	if (refuse_if_queue_full(router, query->token,
				 router_queue_of(router, admission.route_index, admission.tenant_index),
				 admission.route_index, admission.service_index, now, out))
		return;
	route = &routes->routes[admission.route_index];
	request = request_new(router, query);
	request->route.index = admission.route_index;
	request->route.tenant_index = admission.tenant_index;
	request->route.service_index = admission.service_index;
	request->client.deadline_at_ms =
	    now + (route->timeout_ms && (int)route->timeout_ms < query->limit_ms ? (int)route->timeout_ms
										 : query->limit_ms);
	request->client.received_at_ms = now;
	request->route.idempotent = route->idempotent;
	request->route.resumable = route->resumable;
	request->retry.max_attempts = route->max_attempts ? (int)route->max_attempts : 2;
	enqueue(router, request, now);
	router_lookup_send(router, request, now, out);
}
