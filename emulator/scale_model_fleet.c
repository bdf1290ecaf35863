/* One fleet of the scale model from its start to its end: bootstrap, configuration table, load, and release.
 */
#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "scale_model_internal.h"

static int web_done(struct model_fleet *fleet)
{
	return fleet->operator_status != 0;
}

static int operate_done(struct model_fleet *fleet, const char *path, const char *body)
{
	for (int tries = 0; tries < 10; tries++) {
		fleet->operator_status = 0;
		fleet->operator_token = fleet->token + 1;
		model_operator_call(fleet, path, body);
		if (model_run_until(fleet, 12000, web_done) && fleet->operator_status == 200)
			return 1;
		model_run_until(fleet, 500, NULL);
	}
	return 0;
}

static int all_owned(struct model_fleet *fleet)
{
	for (int p = 0; p < SHARD_COUNT; p++) {
		int owned = 0;

		for (int i = 0; i < fleet->settings.controllers; i++)
			owned |= raft_has_lease(&fleet->nodes[i].controller->shards[p], fleet->now_ms);
		if (!owned)
			return 0;
	}
	return 1;
}

static int all_ready(struct model_fleet *fleet)
{
	for (int i = fleet->settings.controllers; i < fleet->node_count; i++)
		if (!fleet->nodes[i].router ||
		    config_watch_age_ms(&fleet->nodes[i].router->config.watch, fleet->now_ms) >
			CONFIG_WATCH_ADMIT_STALENESS_MS ||
		    fleet->nodes[i].revision < fleet->revision ||
		    !relay_is_current(&fleet->nodes[i].router->relay, fleet->now_ms))
			return 0;
	return 1;
}

static int set_rows(struct model_fleet *fleet, char **rows, int from, int n)
{
	size_t k = 0, cap = 20;
	char *body;
	int ok;

	for (int i = from; i < from + n; i++)
		cap += strlen(rows[i]) + 1;
	body = malloc(cap);
	k = (size_t)sprintf(body, "{\"set\":[");
	for (int i = from; i < from + n; i++)
		k += (size_t)sprintf(body + k, "%s%s", i > from ? "," : "", rows[i]);
	sprintf(body + k, "]}");
	ok = operate_done(fleet, "/v1/change", body);
	free(body);
	return ok;
}

static int config_table(struct model_fleet *fleet)
{
	const struct scale_model_settings *settings = &fleet->settings;
	char **rows = NULL, hex[65];
	int nsvc = model_service_count(settings), ok = 1;
	apr_pool_t *pool;

	apr_pool_create(&pool, fleet->pool);
	for (int i = 0; i < nsvc && settings->use_instance_list; i++) {
		arrput(rows,
		       apr_psprintf(pool, "{\"kind\":\"model\",\"name\":\"d%d\",\"weights\":\"1\"}", i));
		arrput(
		    rows,
		    apr_psprintf(
			pool,
			"{\"kind\":\"service\",\"name\":\"m%d\",\"model\":\"d%d\",\"prefill\":112,\"kv_bytes\":18432,\"link\":46250000,\"slots\":%d,\"conns\":630,\"watches\":64,\"room\":239003}",
			i, i, SLOTS_LISTED));
	}
	for (int i = 0; i < nsvc && !settings->use_instance_list; i++)
		arrput(
		    rows,
		    apr_psprintf(
			pool,
			"{\"kind\":\"service\",\"name\":\"m%d\",\"weights\":\"w1\",\"prefill\":20,\"kv_bytes\":400,\"link\":100000}",
			i));
	for (int i = 0; i < settings->routes; i++)
		arrput(
		    rows,
		    apr_psprintf(
			pool,
			"{\"kind\":\"lane\",\"name\":\"l%d\",\"service\":\"m%d\",\"prio\":%d,\"limit\":1000%s}",
			i, i % nsvc, i % 3,
			!settings->use_instance_list
			    ? ""
			    : apr_psprintf(
				  pool,
				  ",\"host\":\"a.example\",\"path\":\"/l%d/\",\"vouched\":true,\"aim\":360,\"pause\":72,\"attempts\":2",
				  i)));
	for (int i = 0; i < settings->tenants; i++) {
		arrput(rows,
		       apr_psprintf(pool, "{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":1,\"limit\":%d}",
				    i, settings->use_instance_list ? 0 : 100000));
		arrput(rows, apr_psprintf(pool, "{\"kind\":\"key\",\"name\":\"%s\",\"tenant\":\"t%d\"}",
					  model_key_digest(hex, i), i));
	}
	for (int i = 0; i < settings->servers && !settings->use_instance_list; i++)
		arrput(rows,
		       apr_psprintf(
			   pool, "{\"kind\":\"server\",\"name\":\"s%d\",\"service\":\"m%d\",\"addr\":\"%s\"}",
			   i, i % nsvc, core_format_addr(pool, fleet->servers[i].address)));
	for (int i = 0; i < arrlen(rows) && ok; i += 300)
		ok = set_rows(fleet, rows, i, (int)arrlen(rows) - i < 300 ? (int)arrlen(rows) - i : 300);
	arrfree(rows);
	apr_pool_destroy(pool);
	return ok;
}

static int zones_of(const struct scale_model_settings *settings)
{
	int z = settings->routers / 16;

	return settings->zones ? settings->zones : z < 3 ? 3 : z > 21 ? 21 : z;
}

void model_fleet_make(struct model_fleet *fleet, const struct scale_model_settings *settings)
{
	int zones = zones_of(settings);

	fleet->settings = *settings;
	fleet->rng = settings->seed * 7919 + 17;
	fleet->now_ms = START_MS;
	apr_pool_create(&fleet->pool, NULL);
	sh_new_strdup(fleet->namespace_ids);
	(void)model_namespace_id(fleet, "1-of-before");
	fleet->node_count = settings->controllers + settings->routers;
	fleet->nodes = calloc((size_t)fleet->node_count, sizeof *fleet->nodes);
	fleet->servers = calloc((size_t)settings->servers, sizeof *fleet->servers);
	for (int i = 0; i < fleet->node_count; i++) {
		struct model_node *node = &fleet->nodes[i];

		node->index = i;
		node->is_router = i >= settings->controllers;
		node->addr = node->is_router ? model_address(ADDRESS_ROUTER, i - settings->controllers)
					     : model_address(ADDRESS_CONTROLLER, i);
		snprintf(node->zone, sizeof node->zone, "z%d",
			 (node->is_router ? i - settings->controllers : i) % zones);
		apr_pool_create(&node->commands.pool, fleet->pool);
	}
	for (int i = 0; i < settings->servers; i++) {
		struct model_server *server = &fleet->servers[i];

		server->address = model_address(ADDRESS_SERVER, i);
		server->serial = 1;
		snprintf(server->weights, sizeof server->weights, settings->use_instance_list ? "1" : "w1");
		snprintf(server->name, sizeof server->name, "s%d", i);
		snprintf(server->zone, sizeof server->zone, "z%d", i % zones);
		snprintf(server->service, sizeof server->service, "m%d", i % model_service_count(settings));
		for (int64_t k = settings->cached_blocks * i / settings->servers;
		     k < settings->cached_blocks * (i + 1) / settings->servers; k++) {
			struct model_block block = {
				core_random(&fleet->rng), 0,
				(uint32_t)model_random(fleet, (uint64_t)settings->tenants), 0
			};

			arrput(server->blocks, block);
			model_notify_watchers(fleet, server, &block, 0);
		}
	}
}

int model_fleet_start(struct model_fleet *fleet, const char **why)
{
	for (int i = 0; i < fleet->settings.controllers; i++)
		model_node_start(fleet, &fleet->nodes[i]);
	model_run_until(fleet, 200, NULL);
	*why = "the fleet was not founded";
	if (!operate_done(fleet, "/v1/found", "{}"))
		return 0;
	*why = "not every part came to have an owner";
	if (!model_run_until(fleet, 20000, all_owned))
		return 0;
	model_run_until(fleet, 3000, NULL); /* the others join */
	*why = "the table was not acknowledged";
	if (!config_table(fleet))
		return 0;
	for (int i = 0; i < fleet->settings.controllers; i++)
		if (fleet->nodes[i].controller->config_watch.table.revision > fleet->revision)
			fleet->revision = fleet->nodes[i].controller->config_watch.table.revision;
	for (int i = fleet->settings.controllers; i < fleet->node_count; i++) {
		model_node_start(fleet, &fleet->nodes[i]);
		if (i % 16 == 15)
			model_run_until(fleet, 25, NULL);
	}
	*why = "the counters do not become ready";
	return model_run_until(fleet, 60000, all_ready);
}

void model_fleet_load(struct model_fleet *fleet)
{
	model_schedule(fleet, MODEL_CACHE_CHURN, 0, 0, fleet->now_ms);
	model_schedule(fleet, MODEL_LOAD, 0, 0, fleet->now_ms);
	model_run_until(fleet, 4000, NULL);
	for (int i = 0; i < fleet->node_count; i++) {
		memset(fleet->nodes[i].tallies, 0, sizeof fleet->nodes[i].tallies);
		fleet->nodes[i].sync_count = fleet->nodes[i].disk_bytes = 0;
	}
	fleet->requests = fleet->completed = fleet->refused = fleet->unknown = fleet->sends = fleet->pieces =
	    fleet->send_ms = 0;
	fleet->max_send_ms = 0;
	if (fleet->settings.changes)
		model_schedule(fleet, MODEL_CONFIG_CHANGE, 0, 0, fleet->now_ms + 100);
	if (fleet->settings.restarts)
		model_schedule(fleet, MODEL_RESTART, 0, 0, fleet->now_ms + 200);
	model_run_until(fleet, 1000 * (int64_t)fleet->settings.seconds, NULL);
}

void model_fleet_free(struct model_fleet *fleet)
{
	for (int i = 0; i < fleet->node_count; i++) {
		model_node_stop(&fleet->nodes[i]);
		arrfree(fleet->nodes[i].commands.commands);
		arrfree(fleet->nodes[i].writes);
	}
	for (int i = 0; i < fleet->settings.servers; i++) {
		arrfree(fleet->servers[i].blocks);
		arrfree(fleet->servers[i].cache_events);
		arrfree(fleet->servers[i].watchers);
		free(fleet->servers[i].report_text);
	}
	for (ptrdiff_t i = 0; i < arrlen(fleet->events); i++)
		free(fleet->events[i].data);
	arrfree(fleet->events);
	arrfree(fleet->runs);
	arrfree(fleet->idle);
	arrfree(fleet->changes);
	arrfree(fleet->revision_reached);
	for (ptrdiff_t i = 0; i < arrlen(fleet->namespace_names); i++)
		free(fleet->namespace_names[i]);
	arrfree(fleet->namespace_names);
	shfree(fleet->namespace_ids);
	hmfree(fleet->run_by_token);
	hmfree(fleet->pending_requests);
	free(fleet->nodes);
	free(fleet->servers);
	apr_pool_destroy(fleet->pool);
}
