/* router_status: the HTTP interface to a router's own state: state as JSON, usage as CSV, and metrics. The
 * names in these documents are an interface for operators and must not change. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

static void add_number(struct json_object *json, const char *name, uint64_t value)
{
	json_object_object_add(json, name, json_object_new_int64((int64_t)value));
}

static void add_outcome_counts(struct json_object *json, const struct router_stats *stats)
{
	add_number(json, "taken", stats->requests_received);
	add_number(json, "answered", stats->outcomes[REQUEST_ANSWERED]);
	add_number(json, "refused", stats->outcomes[REQUEST_REFUSED]);
	add_number(json, "rejected", stats->outcomes[REQUEST_REJECTED]);
	add_number(json, "broken_off", stats->outcomes[REQUEST_BROKEN_OFF]);
	add_number(json, "client_gone", stats->outcomes[REQUEST_CLIENT_DISCONNECTED]);
}

static void add_work_counts(struct json_object *json, const struct router_stats *stats)
{
	add_number(json, "sends", stats->sends);
	add_number(json, "resends", stats->retries);
	add_number(json, "pieces", stats->chunks_sent);
	add_number(json, "tokens", stats->prompt_tokens);
	add_number(json, "reused", stats->cached_tokens);
	add_number(json, "fetched", stats->fetched_tokens);
	add_number(json, "cold", stats->sends_without_cache);
	add_number(json, "claims", stats->claim_proposals);
	add_number(json, "looks", stats->report_polls);
	add_number(json, "watches", stats->cache_watches);
	add_number(json, "events", stats->cache_events);
	add_number(json, "taken_up", stats->streams_resumed);
	add_number(json, "wrong_life", stats->wrong_incarnation);
}

static void add_refusal_counts(struct json_object *json, const struct router_stats *stats)
{
	add_number(json, "refused_stale", stats->refused_stale_config);
	add_number(json, "refused_line", stats->refused_queue_full);
	add_number(json, "refused_limit", stats->refused_deadline);
	add_number(json, "refused_early", stats->refused_unservable);
	add_number(json, "revoked", stats->ended_key_removed);
	add_number(json, "blind", stats->ended_without_config);
}

static void add_placement_counts(struct json_object *json, const struct router_stats *stats)
{
	add_number(json, "lookups_used", stats->own_lookups_answered);
	add_number(json, "lookups_missed", stats->own_lookups_missed);
	add_number(json, "lookups_answered", stats->lookups_served);
	add_number(json, "recalled", stats->attempts_recalled);
	add_number(json, "sent_past_bound", stats->sent_past_bound);
	add_number(json, "begun_past_bound", stats->begun_past_bound);
}

static struct json_object *server_json(const struct router *router, uint32_t server_index, int64_t now)
{
	const struct router_server_state *server = &router->servers.states[server_index];
	const char *weights = server->is_described ? router->names.weights.names[server->weights_index] : "";
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "server",
			       json_object_new_string(router->names.servers.names[server_index]));
	json_object_object_add(json, "standing",
			       json_object_new_boolean(router_server_is_serving(router, server_index, now)));
	json_object_object_add(json, "running", json_object_new_int(server->reported_running_count));
	json_object_object_add(json, "slots", json_object_new_int(server->slots));
	json_object_object_add(json, "weights", json_object_new_string(weights));
	return json;
}

static struct json_object *servers_json(const struct router *router, int64_t now)
{
	const struct server_table *servers = router->config.server_table;
	struct json_object *array = json_object_new_array();

	for (uint32_t i = 0; servers && i < servers->server_count; i++)
		if (servers->servers[i].is_configured)
			json_object_array_add(array, server_json(router, i, now));
	return array;
}

static uint32_t count_waiting_requests(const struct router *router)
{
	uint32_t waiting_count = 0;

	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++)
		waiting_count += router->queueing.queues[i].waiting_count;
	return waiting_count;
}

static const char *state_json(const struct router *router, int64_t now, apr_pool_t *pool)
{
	struct json_object *json = json_object_new_object();
	uint32_t waiting_count = count_waiting_requests(router);
	const char *text;

	add_number(json, "edition", router->config.watch.table.revision);
	add_number(json, "horizon", router->relay.knowledge.horizon);
	add_number(json, "kept", router->cache.index.replica_count);
	add_outcome_counts(json, &router->stats);
	add_work_counts(json, &router->stats);
	add_refusal_counts(json, &router->stats);
	add_placement_counts(json, &router->stats);
	add_number(json, "downstreams", (uint64_t)arrlen(router->relay.downstreams));
	add_number(json, "increments", router->relay.increments_sent);
	add_number(json, "counters", router->config.watch.router_count);
	json_object_object_add(
	    json, "id", json_object_new_string(apr_psprintf(pool, "%016" APR_UINT64_T_HEX_FMT, router->id)));
	json_object_object_add(json, "zone", json_object_new_string(router->zone_name));
	json_object_object_add(json, "age_ms",
			       json_object_new_int64(config_watch_age_ms(&router->config.watch, now)));
	json_object_object_add(json, "current",
			       json_object_new_boolean(relay_is_current(&router->relay, now)));
	json_object_object_add(json, "running",
			       json_object_new_int64(arrlen(router->requests.all) - (int64_t)waiting_count));
	json_object_object_add(json, "waiting", json_object_new_int64(waiting_count));
	json_object_object_add(json, "servers", servers_json(router, now));
	text = apr_pstrdup(pool, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return text;
}

struct usage_entry *router_usage_of(struct router *router, const struct client_request *request)
{
	uint64_t key = (uint64_t)request->route.index << 32 | request->route.tenant_index;
	typeof(router->records.usage->value) zero = { 0, 0, 0, 0, 0 };

	if (hmgeti(router->records.usage, key) < 0)
		hmput(router->records.usage, key, zero);
	return hmgetp(router->records.usage, key);
}

const char *router_usage_csv(const struct router *router, apr_pool_t *pool)
{
	const char *csv = "lane,tenant,exchanges,tokens,reused,pieces,errors\n";

	for (ptrdiff_t i = 0; i < hmlen(router->records.usage); i++) {
		const struct usage_entry *entry = &router->records.usage[i];

		csv = apr_psprintf(pool,
				   "%s%s,%s,%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT
				   ",%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT "\n",
				   csv, router->names.routes.names[entry->key >> 32],
				   router->names.tenants.names[entry->key & UINT32_MAX],
				   entry->value.requests, entry->value.prompt_tokens,
				   entry->value.cached_tokens, entry->value.chunks, entry->value.errors);
	}
	return csv;
}

void router_on_http_get(struct router *router, uint64_t token, const char *path, int64_t now,
			struct command_list *out)
{
	if (!strcmp(path, "/v1/usage"))
		command_answer(out, token, 200, 0, router_usage_csv(router, out->pool));
	else if (!strcmp(path, "/v1/state"))
		command_answer(out, token, 200, 0, state_json(router, now, out->pool));
	else if (!strcmp(path, "/metrics"))
		command_answer(out, token, 200, 0, router_metrics(router, now, out->pool));
	else
		command_answer(out, token, 404, 0,
			       router_error_body(out->pool, "path: no such call", "refused"));
}
