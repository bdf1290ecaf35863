/* router_admission: determines the route, tenant and service of a request by the route table in force, and
 * declines requests that cannot be queued: unknown keys and routes, stale configuration, full queues,
 * services without a server. When a newer route table comes into force, waiting requests are routed again by
 * the same rules. Invariant: a request is queued only while the configuration is in force. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

enum {
	MAX_REQUEST_ID_BYTES = 128,
	DEFAULT_MAX_ATTEMPTS = 2,
	BYTES_PER_TOKEN = 4,          /* estimate for text */
	STARTUP_RETRY_MARGIN_MS = 200 /* added to the remaining time of a fleet's start */
};

const char router_reason_no_server[] = "no server of this service is available";

/* ---- declining requests ---------------------------------------------------------------------- */

/* Declines a request that arrives while no configuration is known to be in force, which could allow it. */
static bool decline_if_stale(struct router *router, uint64_t token, int64_t now, struct command_list *out)
{
	struct request_ending ending = { REQUEST_REFUSED, 503,
					 "this router's configuration is not certain to be in force", 0 };
	int64_t uptime_ms = now - router->clock.started_at_ms;

	if (!router->shutdown.in_progress && router_config_in_force(router, now) &&
	    !router->config.watch.is_unconfigured)
		return false;
	if (router->shutdown.in_progress)
		ending.reason = "this router is shutting down";
	else if (router->config.watch.is_unconfigured)
		ending.reason = "this fleet has no configuration yet";
	router->stats.refused_stale_config++;
	if (!router->config.bounds.use_endpoint_list)
		ending.retry_after_ms = router_retry_after_ms(router, ROUTER_RETRY_AFTER_MIN_MS);
	/* after its own start, a router estimates how long its fleet still needs to elect leaders */
	else if (uptime_ms < ROUTER_FLEET_STARTUP_MS)
		ending.retry_after_ms = router_retry_after_short_ms(
		    router, (int)(ROUTER_FLEET_STARTUP_MS - uptime_ms + STARTUP_RETRY_MARGIN_MS));
	else
		ending.retry_after_ms = router_retry_after_short_ms(router, ROUTER_RETRY_AFTER_MIN_MS);
	router_decline(router, token, &ending, out);
	return true;
}

static bool decline_if_full_or_unserved(struct router *router, uint64_t token,
					const struct request_queue *queue, uint32_t service_index,
					int64_t now, struct command_list *out)
{
	struct request_ending ending = { REQUEST_REFUSED, 503, router_reason_no_server, 0 };
	bool is_full = queue->waiting_count >=
		       router->config.route_table->routes[queue->route_index].max_waiting_per_tenant;

	if (!is_full &&
	    now - router->servers.last_serving_at_ms[service_index] <= ROUTER_CONFIG_MAX_STALENESS_MS)
		return false;
	router->stats.refused_queue_full += is_full;
	router->stats.refused_unservable += !is_full;
	if (is_full) {
		ending.status = 429;
		ending.reason = "the queue of this tenant on this lane is full";
	}
	ending.retry_after_ms = router_retry_after_ms(
	    router, is_full ? router_expected_wait_ms(queue, queue->waiting_count / 2, now)
			    : ROUTER_RETRY_AFTER_MIN_MS);
	router_decline(router, token, &ending, out);
	return true;
}

static void reject_before_queueing(struct router *router, uint64_t token, int status, const char *reason,
				   struct command_list *out)
{
	router_decline(router, token, &(struct request_ending){ REQUEST_REJECTED, status, reason, 0 }, out);
}

/* Adds a request to its queue and to the router's table of requests. */
static void enqueue(struct router *router, struct client_request *request, int64_t now)
{
	request->route.table_revision = router->config.route_table->revision;
	router_queue_insert(router, request, now);
	router_request_add(router, request);
}

/* Allocates a request with its token and key digest. The request owns its pool. */
static struct client_request *create_request(struct router *router, uint64_t token, const char *key_digest)
{
	apr_pool_t *pool;
	struct client_request *request;

	apr_pool_create(&pool, router->pool);
	request = apr_pcalloc(pool, sizeof *request);
	request->pool = pool;
	request->client.token = token;
	request->client.key_digest = key_digest ? apr_pstrdup(pool, key_digest) : NULL;
	request->attempt.server_index = -1;
	request->retry.avoided_server = UINT32_MAX;
	return request;
}

/* ---- the product's own interface ------------------------------------------------------------- */

/* Fields of a request body that are not stored in the request. Strings live in the request's pool. */
struct request_body {
	const char *route_name;
	int timeout_ms;
};

/* The parse functions return an error message, or NULL. */
static const char *parse_text(struct client_request *request, struct request_body *body, const char *name,
			      struct json_object *value)
{
	const char *text;

	if (!json_object_is_type(value, json_type_string))
		return apr_psprintf(request->pool, "%s: not a string", name);
	text = apr_pstrdup(request->pool, json_object_get_string(value));
	if (!strcmp(name, "lane"))
		body->route_name = text;
	else if (!strcmp(name, "id"))
		request->client.request_id = (char *)text;
	else
		request->prompt.tail_text = (char *)text;
	return NULL;
}

static const char *parse_timeout(struct client_request *request, struct request_body *body,
				 struct json_object *value)
{
	int64_t timeout_ms = json_object_get_int64(value);

	if (!json_object_is_type(value, json_type_int) || timeout_ms < ROUTER_TIMEOUT_MIN_MS ||
	    timeout_ms > ROUTER_TIMEOUT_MAX_MS)
		return apr_psprintf(request->pool, "limit_ms: must be an integer from %d to %d",
				    ROUTER_TIMEOUT_MIN_MS, ROUTER_TIMEOUT_MAX_MS);
	body->timeout_ms = (int)timeout_ms;
	return NULL;
}

static const char *parse_blocks(struct client_request *request, struct json_object *value)
{
	struct request_prompt *prompt = &request->prompt;
	const char *error = NULL;

	if (!json_object_is_type(value, json_type_array) ||
	    json_object_array_length(value) > ROUTER_MAX_BLOCKS)
		return apr_psprintf(request->pool, "parts: must be a list of at most %d strings",
				    ROUTER_MAX_BLOCKS);
	for (size_t i = 0; i < json_object_array_length(value); i++) {
		struct json_object *text = json_object_array_get_idx(value, i);

		if (!json_object_is_type(text, json_type_string))
			error = "parts: must be a list of strings";
		else
			prompt->block_text[prompt->block_count++] =
			    apr_pstrdup(request->pool, json_object_get_string(text));
	}
	return error;
}

static const char *parse_member(struct client_request *request, struct request_body *body,
				const char *field_name, struct json_object *value)
{
	if (!strcmp(field_name, "lane") || !strcmp(field_name, "id") || !strcmp(field_name, "tail"))
		return parse_text(request, body, field_name, value);
	if (!strcmp(field_name, "limit_ms"))
		return parse_timeout(request, body, value);
	if (!strcmp(field_name, "parts"))
		return parse_blocks(request, value);
	return apr_psprintf(request->pool, "%s: no such field", field_name);
}

/* Checks a body for missing fields and a valid id; returns an error message, or NULL. */
static const char *check_body(const struct client_request *request, const struct request_body *body)
{
	const char *id = request->client.request_id;

	if (!body->route_name)
		return "lane: missing";
	if (!id || !id[0] || strlen(id) > MAX_REQUEST_ID_BYTES || strpbrk(id, "\x1f\n"))
		return "id: must have 1 to 128 bytes and no unit separators or line feeds";
	return request->prompt.tail_text ? NULL : "tail: missing";
}

/* Parses a body into a request; returns an error message, or NULL. Of several errors the last one is
 * returned. */
static const char *parse_body(struct router *router, struct client_request *request, const char *text,
			      struct request_body *body)
{
	struct json_object *json = router_read_json(router, text);
	const char *error = NULL;

	*body = (struct request_body){ .timeout_ms = ROUTER_TIMEOUT_DEFAULT_MS };
	if (json_object_is_type(json, json_type_object)) {
		json_object_object_foreach(json, name, value)
		{
			const char *member_error = parse_member(request, body, name, value);

			if (member_error)
				error = member_error;
		}
		if (!error)
			error = check_body(request, body);
	} else {
		error = "body: not a JSON object";
	}
	if (json)
		json_object_put(json);
	return error;
}

static uint32_t estimate_tokens(const char *text)
{
	return (uint32_t)(strlen(text) + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
}

/* Hashes the blocks of a prompt. Each hash covers the service, all earlier blocks and the block itself. */
static void hash_prompt_blocks(struct request_prompt *prompt, const char *service)
{
	uint64_t hash = core_hash_string(0, service);

	for (int i = 0; i < prompt->block_count; i++) {
		hash = core_hash_string(hash, prompt->block_text[i]);
		prompt->block_hash[i] = hash;
		prompt->block_tokens[i] = estimate_tokens(prompt->block_text[i]);
	}
	prompt->tail_tokens = estimate_tokens(prompt->tail_text);
}

/* Returns the index of the tenant that a key belongs to; -1: none. */
static int find_tenant_by_key(const struct route_table *routes, const char *key_digest)
{
	struct key_entry *keys = routes ? routes->keys : NULL;
	ptrdiff_t key_index = keys ? shgeti(keys, key_digest) : -1;

	if (key_index < 0 || !routes->tenants[keys[key_index].value].is_configured)
		return -1;
	return (int)keys[key_index].value;
}

/* Returns the index of the route with this name if it and its service are configured; -1: otherwise. */
static int find_route_by_name(const struct router *router, const char *name)
{
	const struct route_table *routes = router->config.route_table;
	int route_index = names_find(&router->names.routes, name);

	if (route_index < 0 || !routes->routes[route_index].is_configured)
		return -1;
	return routes->services[routes->routes[route_index].service_index].is_configured ? route_index : -1;
}

/* Parses and routes a new request. Returns false if it was declined. */
static bool parse_and_route(struct router *router, struct client_request *request, const char *text,
			    int64_t now, struct command_list *out)
{
	struct request_body body;
	const char *reason = parse_body(router, request, text, &body);
	int route_index = reason ? -1 : find_route_by_name(router, body.route_name);

	if (route_index < 0) {
		reject_before_queueing(router, request->client.token, reason ? 400 : 404,
				       reason ? reason : "lane: unknown", out);
		return false;
	}
	request->route.index = (uint32_t)route_index;
	request->route.service_index = router->config.route_table->routes[route_index].service_index;
	if (decline_if_full_or_unserved(
		router, request->client.token,
		router_queue_of(router, request->route.index, request->route.tenant_index),
		request->route.service_index, now, out))
		return false;
	request->sequence = ++router->requests.last_sequence;
	request->client.deadline_at_ms = now + body.timeout_ms;
	request->client.received_at_ms = now;
	hash_prompt_blocks(&request->prompt, router->names.services.names[request->route.service_index]);
	return true;
}

void router_admit_claimed(struct router *router, uint64_t token, const char *key_digest, const char *body,
			  int64_t now, struct command_list *out)
{
	struct client_request *request;
	int tenant_index;

	router->stats.requests_received++;
	if (decline_if_stale(router, token, now, out))
		return;
	tenant_index = find_tenant_by_key(router->config.route_table, key_digest);
	if (tenant_index < 0) {
		reject_before_queueing(router, token, 401, "key: unknown", out);
		return;
	}
	request = create_request(router, token, key_digest);
	request->route.tenant_index = (uint32_t)tenant_index;
	if (parse_and_route(router, request, body, now, out))
		enqueue(router, request, now);
	else
		apr_pool_destroy(request->pool);
}

/* ---- forwarded requests ---------------------------------------------------------------------- */

/* Returns the index of the route for a host, in the form of host_name_normalize, and path: the one with the
 * longest path prefix; -1: none. */
static int find_route_by_path(const struct route_table *routes, const char *host, const char *path)
{
	struct route_match *matches = routes->matches;
	size_t prefix_length = strcspn(path, "?#");

	for (; matches && prefix_length; prefix_length--) {
		ptrdiff_t i;
		const struct route_config *route;

		if (path[prefix_length - 1] != '/')
			continue;
		i = hmgeti(matches, router_match_key(host, path, prefix_length));
		if (i < 0)
			continue;
		route = &routes->routes[matches[i].value];
		if (route->is_configured && !strcmp(route->host, host) &&
		    strlen(route->path) == prefix_length && !strncmp(route->path, path, prefix_length))
			return (int)matches[i].value;
	}
	return -1;
}

/* Chooses a service by the weights of the split. The same request id always gets the same service. */
static uint32_t choose_split_service(const struct route_config *route, const char *id)
{
	uint32_t weight_position, i = 0;

	if (!route->split_count)
		return route->service_index;
	weight_position =
	    (uint32_t)(core_hash_string(31, id) % route->splits[route->split_count - 1].cumulative_weight);
	while (route->splits[i].cumulative_weight <= weight_position)
		i++;
	return route->splits[i].service_index;
}

/* Whether a route sends requests to a service, with any weight. */
static bool route_has_service(const struct route_config *route, uint32_t service_index)
{
	if (!route->split_count)
		return route->service_index == service_index;
	for (uint32_t i = 0; i < route->split_count; i++)
		if (route->splits[i].service_index == service_index)
			return true;
	return false;
}

/* The route, tenant and service of a request by a route table, or the status with which it is declined. */
struct admission {
	int status; /* HTTP status; 0: admitted */
	const char *reason;
	uint32_t route_index;
	uint32_t tenant_index;
	uint32_t service_index;
};

/* Determines the tenant of a request. Returns false if the route requires a key and the request has no valid
 * one. The route alone says whether a key is required: a table without any key opens no route. */
static bool determine_tenant(const struct route_table *routes, const struct route_config *route,
			     const char *digest, uint32_t *tenant_index)
{
	struct key_entry *keys = routes->keys;
	ptrdiff_t key_index = digest ? shgeti(keys, digest) : -1;

	*tenant_index = routes->anonymous_tenant_index;
	if (key_index >= 0 && routes->tenants[keys[key_index].value].is_configured)
		*tenant_index = keys[key_index].value;
	else if (!route->key_optional)
		return false;
	return true;
}

static struct admission determine_admission(const struct route_table *routes, const char *host,
					    const char *path, const char *digest, const char *id)
{
	struct admission admission = { 0, NULL, 0, 0, 0 };
	int route_index = find_route_by_path(routes, host, path);

	if (route_index < 0)
		return (struct admission){ 404, "lane: none matches this host and path", 0, 0, 0 };
	admission.route_index = (uint32_t)route_index;
	if (!determine_tenant(routes, &routes->routes[route_index], digest, &admission.tenant_index))
		return (struct admission){ 401, "key: unknown", 0, 0, 0 };
	admission.service_index = choose_split_service(&routes->routes[route_index], id);
	if (!routes->services[admission.service_index].is_configured)
		return (struct admission){ 404, "lane: its service is not configured", 0, 0, 0 };
	return admission;
}

/* Assigns a request to another service. A retry reserved in the budget of the old service is reserved in that
 * of the new one instead. Returns false if that ended the request. */
static bool change_service(struct router *router, struct client_request *request, uint32_t service_index,
			   int64_t now, struct command_list *out)
{
	bool had_retry_reserved = request->retry.budget_reserved;

	if (had_retry_reserved)
		router->quota.retry_budget_milli[request->route.service_index] += ROUTER_RETRY_COST_MILLI;
	request->retry.budget_reserved = false;
	request->route.service_index = service_index;
	if (request->stream.has_begun) { /* the new service cannot resume a stream of the old one */
		router_break_off(router, request, 502,
				 "the service of this stream was removed from the configuration", now, out);
		return false;
	}
	if (had_retry_reserved && !router_retry_budget_allows(router, service_index)) {
		router_refuse(
		    router, request, 503,
		    "the service of the lane changed, and the retry budget of the new service is exhausted",
		    ROUTER_RETRY_AFTER_SINGLE_SERVER_MS, now, out);
		return false;
	}
	if (had_retry_reserved)
		router->quota.retry_budget_milli[service_index] -= ROUTER_RETRY_COST_MILLI;
	request->retry.budget_reserved = had_retry_reserved;
	return true;
}

bool router_readmit(struct router *router, struct client_request *request, int64_t now,
		    struct command_list *out)
{
	const struct route_table *routes = router->config.route_table;
	const struct route_config *route;
	struct admission admission;

	if (request->route.table_revision == routes->revision)
		return true;
	request->route.table_revision = routes->revision;
	admission = determine_admission(routes, request->client.host, request->client.path,
					request->client.key_digest, request->client.request_id);
	if (admission.status) {
		router->stats.ended_key_removed += admission.status == 401;
		router_end_early(router, request, admission.status, admission.reason, now, out);
		return false;
	}
	if (admission.route_index != request->route.index ||
	    admission.tenant_index != request->route.tenant_index)
		router_queue_move(router, request, admission.route_index, admission.tenant_index, now);
	route = &routes->routes[admission.route_index];
	request->route.idempotent = request->route.idempotent && route->idempotent;
	request->route.resumable = request->route.resumable && route->resumable;
	if (request->retry.may_have_run && !request->route.idempotent && !request->route.resumable) {
		router_break_off(router, request, 502,
				 "the server's answer broke off, and the lane no longer allows a retry", now,
				 out);
		return false;
	}
	if (routes->services[request->route.service_index].is_configured &&
	    (request->stream.has_begun || route_has_service(route, request->route.service_index)))
		return true;
	return change_service(router, request, admission.service_index, now, out);
}

/* Creates a request with copies of the front end's strings and of the prompt's blocks. */
static struct client_request *
create_forwarded_request(struct router *router, const struct forwarded_request *incoming, const char *host)
{
	struct client_request *request = create_request(router, incoming->token, incoming->key_digest);
	struct request_prompt *prompt = &request->prompt;
	uint32_t block_tokens;

	request->is_forwarded = true;
	request->claim.is_confirmed = true; /* the client guarantees that the id is used only once */
	request->sequence = ++router->requests.last_sequence;
	request->client.host = apr_pstrdup(request->pool, host);
	request->client.path = apr_pstrdup(request->pool, incoming->path);
	request->client.request_id = apr_pstrdup(request->pool, incoming->request_id);
	prompt->block_count =
	    incoming->block_count < ROUTER_MAX_BLOCKS ? incoming->block_count : ROUTER_MAX_BLOCKS;
	for (int i = 0; i < prompt->block_count; i++) {
		prompt->block_hash[i] = incoming->blocks[i].prefix_hash;
		prompt->block_tokens[i] = incoming->blocks[i].tokens;
	}
	block_tokens = (uint32_t)router_tokens_of_blocks(request, prompt->block_count);
	prompt->tail_tokens =
	    incoming->input_tokens > block_tokens ? incoming->input_tokens - block_tokens : 0;
	prompt->max_output_tokens = incoming->max_output_tokens;
	prompt->total_tokens = block_tokens + prompt->tail_tokens + prompt->max_output_tokens;
	return request;
}

void router_admit_forwarded(struct router *router, const struct forwarded_request *incoming, int64_t now,
			    struct command_list *out)
{
	const struct route_table *routes = router->config.route_table;
	const struct route_config *route;
	struct client_request *request;
	struct admission admission;
	int timeout_ms = incoming->timeout_ms;
	char host[HOST_NAME_BYTES];

	router->stats.requests_received++;
	if (decline_if_stale(router, incoming->token, now, out))
		return;
	host_name_normalize(incoming->host, host);
	admission =
	    determine_admission(routes, host, incoming->path, incoming->key_digest, incoming->request_id);
	if (admission.status) {
		reject_before_queueing(router, incoming->token, admission.status, admission.reason, out);
		return;
	}
	if (decline_if_full_or_unserved(
		router, incoming->token,
		router_queue_of(router, admission.route_index, admission.tenant_index),
		admission.service_index, now, out))
		return;
	route = &routes->routes[admission.route_index];
	if (route->timeout_ms && (int)route->timeout_ms < timeout_ms)
		timeout_ms = (int)route->timeout_ms;
	request = create_forwarded_request(router, incoming, host);
	request->client.deadline_at_ms = now + timeout_ms;
	request->client.received_at_ms = now;
	request->route.index = admission.route_index;
	request->route.tenant_index = admission.tenant_index;
	request->route.service_index = admission.service_index;
	request->route.idempotent = route->idempotent;
	request->route.resumable = route->resumable;
	request->retry.max_attempts = route->max_attempts ? (int)route->max_attempts : DEFAULT_MAX_ATTEMPTS;
	enqueue(router, request, now);
	router_lookup_send(router, request, now, out);
}
