/* router_reports: reports of servers on the product's own interface: load, weights, and the cached blocks of
 * a server. A relay polls each server for its zone and forwards the report unchanged; a router polls a server
 * itself if no relay has forwarded its report for a while. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "config_row.h"
#include "containers.h"

enum {
	REPORT_TIMEOUT_MS = 800,
	MAX_REPORTED_SLOTS = 100000 /* largest number of slots in a valid report */
};

/* ---- polling --------------------------------------------------------------------------------- */

static void poll_report(struct router *router, uint32_t server_index, int64_t now, struct command_list *out)
{
	struct router_server_state *server = &router->servers.states[server_index];
	struct command *command;
	int64_t first_poll_at_ms = now - (int64_t)(core_rendezvous_weight(router->id, server_index) %
						   ROUTER_REPORT_POLL_INTERVAL_MS);

	/* spread over the interval, so that routers do not all poll at the same moment */
	server->last_report_poll_at_ms = server->last_report_poll_at_ms ? now : first_poll_at_ms;
	server->report_poll_token = router_token_new(router);
	server->report_poll_sequence++;
	router->stats.report_polls++;
	command = command_add(out, CMD_CALL);
	command->args.call.token = server->report_poll_token;
	command->args.call.addr = apr_pstrdup(out->pool, server_config_of(router, server_index)->addr);
	command->args.call.path =
	    apr_psprintf(out->pool, "/v1/report?since=%" APR_UINT64_T_FMT "&boot=%" APR_UINT64_T_FMT,
			 server->block_list_serial, server->boot_id);
	command->args.call.timeout_ms = REPORT_TIMEOUT_MS;
	command->args.call.not_after_ms = now + REPORT_TIMEOUT_MS;
}

void router_poll_reports(struct router *router, int64_t now, struct command_list *out)
{
	const struct server_table *servers = router->config.server_table;

	for (uint32_t s = 0; servers && s < servers->server_count; s++) {
		const struct router_server_state *server = &router->servers.states[s];

		if (servers->servers[s].is_configured &&
		    now - server->last_report_poll_at_ms >= ROUTER_REPORT_POLL_INTERVAL_MS &&
		    now - server->last_relayed_report_at_ms >= ROUTER_RELAYED_REPORT_VALID_MS)
			poll_report(router, s, now, out);
	}
}

/* ---- applying reports ------------------------------------------------------------------------ */

/* Logs a report that cannot be parsed. Such a report has no effect, and only the first of consecutive ones is
 * logged. */
static void log_unreadable_report(struct router *router, uint32_t server_index, const char *reason)
{
	char text[300];

	if (router->servers.states[server_index].consecutive_unreadable_reports++ || !router->log)
		return;
	apr_snprintf(text, sizeof text,
		     "Unreadable report: server %s: %s; its reports have no effect until one is valid.",
		     router->names.servers.names[server_index], reason);
	router->log(router->log_context, "router", text);
}

static void record_reported_load(struct router_server_state *server, struct json_object *report)
{
	server->is_loading = json_string_member(report, "loading")[0] != 0;
	server->slots = (int)json_uint_member(report, "slots");
	server->reported_running_count = (int)json_uint_member(report, "running");
	server->others_running_count = server->reported_running_count > server->own_running_count
					   ? server->reported_running_count - server->own_running_count
					   : 0;
}

/* Adds one cached block of a report to the prefix index. A purged block is not added, so that a late report
 * never restores it. */
static void index_reported_block(struct router *router, uint32_t server_index, struct json_object *block)
{
	struct router_server_state *server = &router->servers.states[server_index];
	uint32_t service_index = server_config_of(router, server_index)->service_index;
	const char *tenant = json_string_member(block, "m"), *weights = json_string_member(block, "w");
	int tenant_index = names_find(&router->names.tenants, tenant),
	    weights_index = router_weights_find_or_add(router, weights);
	uint64_t hash, stamp_tick = json_uint_member(block, "t");
	struct block_replica replica = {
		server_index, (uint32_t)tenant_index,       service_index, (uint32_t)weights_index,
		stamp_tick,   server->report_poll_sequence,
	};

	if (tenant_index < 0 || weights_index < 0)
		return; /* this router's configuration never contained the tenant */
	hash = strtoull(json_string_member(block, "h"), NULL, 16);
	if (!router_allows_context(router, service_index, (uint32_t)tenant_index, hash, stamp_tick))
		server->purged_block_count++;
	else if (purge_view_allows(&router->relay.view, router->names.services.names[service_index], weights,
				   tenant, router->names.servers.names[server_index], stamp_tick))
		prefix_index_put(&router->cache.index, hash, &replica);
}

static void apply_block_list(struct router *router, uint32_t server_index, struct json_object *report,
			     struct json_object *blocks, int64_t now)
{
	struct router_server_state *server = &router->servers.states[server_index];

	server->block_list_serial = json_uint_member(report, "serial");
	server->boot_id = json_uint_member(report, "boot");
	server->purged_block_count = 0;
	server->block_list_at_ms = now;
	for (size_t i = 0; i < json_object_array_length(blocks) && i < ROUTER_MAX_REPORTED_BLOCKS; i++)
		index_reported_block(router, server_index, json_object_array_get_idx(blocks, i));
	prefix_index_remove_unreported(&router->cache.index, server_index, server->report_poll_sequence);
}

static void apply_report(struct router *router, uint32_t server_index, const char *body, int64_t now)
{
	struct router_server_state *server = &router->servers.states[server_index];
	struct json_object *report = router_read_json(router, body), *blocks;
	int weights = -1;

	if (json_object_is_type(report, json_type_object))
		weights = router_weights_find_or_add(router, json_string_member(report, "weights"));
	if (weights < 0 || json_uint_member(report, "slots") > MAX_REPORTED_SLOTS) {
		log_unreadable_report(
		    router, server_index,
		    "not a JSON object, or name of weights not accepted, or too many slots");
		goto end;
	}
	server->consecutive_unreadable_reports = 0;
	server->last_report_at_ms = now;
	server->is_described = true;
	server->weights_index = (uint32_t)weights;
	record_reported_load(server, report);
	if (json_object_object_get_ex(report, "parts", &blocks) &&
	    json_object_is_type(blocks, json_type_array))
		apply_block_list(router, server_index, report, blocks, now);
	/* A changed serial without a block list: the report with the list was lost, so poll the server
	 * directly. */
	else if (json_uint_member(report, "serial") != server->block_list_serial ||
		 json_uint_member(report, "boot") != server->boot_id)
		server->last_relayed_report_at_ms = server->last_report_poll_at_ms = 0;
end:
	if (report)
		json_object_put(report);
}

static void relay_report(struct router *router, uint32_t server_index, const char *body,
			 struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(router->relay.downstreams); i++) {
		struct Nl__Report *report = MESSAGE_NEW(out, Nl__Report, NL__REPORT__INIT);

		report->server = apr_pstrdup(out->pool, router->names.servers.names[server_index]);
		report->body.len = strlen(body);
		report->body.data = (uint8_t *)apr_pstrdup(out->pool, body);
		command_send(out, router->relay.downstreams[i].addr, 0, NL__MSG__BODY_REPORT)->report =
		    report;
	}
}

void router_on_report_reply(struct router *router, uint64_t token, int status, const char *body, int64_t now,
			    struct command_list *out)
{
	const struct server_table *servers = router->config.server_table;

	for (uint32_t s = 0; servers && s < servers->server_count; s++)
		if (router->servers.states[s].report_poll_token == token && status == 200) {
			apply_report(router, s, body, now);
			relay_report(router, s, body, out);
		}
}

void router_on_relayed_report(struct router *router, const struct Nl__Report *report, int64_t now,
			      struct command_list *out)
{
	const struct server_table *servers = router->config.server_table;
	int server_index = names_find(&router->names.servers, report->server);

	if (server_index < 0 || !servers || (uint32_t)server_index >= servers->server_count ||
	    !servers->servers[server_index].is_configured)
		return;
	router->servers.states[server_index].last_relayed_report_at_ms = now;
	router->servers.states[server_index].report_poll_sequence++;
	apply_report(router, (uint32_t)server_index,
		     apr_pstrmemdup(out->pool, (char *)report->body.data, report->body.len), now);
}
