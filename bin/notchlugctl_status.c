#include "notchlugctl_status.h"

#include <apr_strings.h>
#include <apr_time.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli_support.h"
#include "notchlugctl_client.h"
#include "notchlugctl_table.h"

enum {
	RETENTION_ATTEMPT_TIMEOUT_MS = 6000, /* limit of one attempt of a read that is retried */
	STATE_TIMEOUT_MS = 3000,             /* one attempt, at one node */
	METRICS_TIMEOUT_MS = 3000,           /* one attempt, at one router */
	BOOTSTRAP_TIMEOUT_MS = 15000,        /* one attempt, at one controller */
	RECOVER_TIMEOUT_MS = 7000            /* one attempt, at one controller */
};

/* Recorded as the requester of a purge when USER is not set. It is the former name of this program and
 * does not change with the program's name, so that purge records keep the same value. */
#define UNKNOWN_REQUESTER "clerk"

/* ---- state ---- */

static void print_shards(struct json_object *shards)
{
	for (size_t i = 0; shards && i < json_object_array_length(shards); i++) {
		struct json_object *shard = json_object_array_get_idx(shards, i);
		const char *leader = json_member_string(shard, "owner");

		printf("shard %lld  leader %-21s term %-4lld commit index %-6lld local role %s%s\n",
		       (long long)json_member_int(shard, "part"), leader[0] ? leader : "unknown here",
		       (long long)json_member_int(shard, "term"), (long long)json_member_int(shard, "commit"),
		       json_member_string(shard, "role"),
		       json_object_get_boolean(json_member(shard, "licensed")) ? ", holds lease" : "");
	}
}

static void print_nodes(struct json_object *nodes)
{
	for (size_t i = 0; nodes && i < json_object_array_length(nodes); i++) {
		struct json_object *node = json_object_array_get_idx(nodes, i);

		/* the first column is the name that the interface has for routers and controllers */
		printf("%s %-21s edition %-6lld purge horizon %-6lld last report %lld ms ago\n",
		       json_object_get_boolean(json_member(node, "counter")) ? "counter  " : "registrar",
		       json_member_string(node, "addr"), (long long)json_member_int(node, "edition"),
		       (long long)json_member_int(node, "horizon"),
		       (long long)json_member_int(node, "heard_ms"));
	}
}

static void print_servers(struct json_object *servers)
{
	for (size_t i = 0; servers && i < json_object_array_length(servers); i++) {
		struct json_object *server = json_object_array_get_idx(servers, i);
		const char *loading = json_member_string(server, "loading");

		printf(
		    "server %-12s version %-8s %s%s purges applied up to tick %lld, last report %lld ms ago\n",
		    json_member_string(server, "server"), json_member_string(server, "weights"),
		    loading[0] ? "loading " : "", loading, (long long)json_member_int(server, "carried"),
		    (long long)json_member_int(server, "reported_ms"));
	}
}

static void print_controllers(struct json_object *table_rows)
{
	for (size_t i = 0; table_rows && i < json_object_array_length(table_rows); i++) {
		struct json_object *row = json_object_array_get_idx(table_rows, i);

		if (!strcmp(json_member_string(row, "kind"), "registrar"))
			printf("configured controller %s in zone %s\n", json_member_string(row, "addr"),
			       json_member_string(row, "zone"));
	}
}

int print_state(void)
{
	struct json_object *table = read_table(), *state = NULL;
	char *body = NULL;

	if (!table)
		return UNREACHABLE;
	printf("edition %lld\n", (long long)json_member_int(table, "edition"));
	if (http_call_blocking("GET", controller_addr, "/v1/state", NULL, NULL, STATE_TIMEOUT_MS, &body) ==
	    200)
		state = json_tokener_parse(body);
	printf(
	    "fleet %s, state at controller %s: edition %lld, configuration age %lld ms, purge horizon %lld%s\n",
	    json_member_string(state, "fleet"), json_member_string(state, "addr"),
	    (long long)json_member_int(state, "edition"), (long long)json_member_int(state, "age_ms"),
	    (long long)json_member_int(state, "horizon"),
	    json_object_get_boolean(json_member(state, "publisher")) ? ", publisher" : "");
	print_shards(json_member(state, "parts"));
	print_nodes(json_member(state, "nodes"));
	print_servers(json_member(state, "servers"));
	print_controllers(json_member(table, "rows"));
	free(body);
	if (state)
		json_object_put(state);
	json_object_put(table);
	return OK;
}

int print_metrics(void)
{
	char *body = NULL;
	int status =
	    http_call_blocking("GET", controller_addr, "/metrics", NULL, NULL, METRICS_TIMEOUT_MS, &body);

	if (status == 200)
		fputs(body, stdout);
	else
		fprintf(stderr, "notchlugctl: reading metrics from %s failed: %s\n", controller_addr,
			status ? "the node answered without metrics" : "no answer");
	free(body);
	return single_call_exit_code(status);
}

/* ---- purges ---- */

int purge_scope(const char *scope)
{
	struct json_object *request = json_object_new_object();
	const char *user = getenv("USER");
	char *body = NULL;
	int status;

	json_object_object_add(request, "scope", json_object_new_string(!strcmp(scope, "all") ? "*" : scope));
	json_object_object_add(request, "by",
			       json_object_new_string(user && user[0] ? user : UNKNOWN_REQUESTER));
	status = send_request_with_retry("/v1/clear", request, &body);
	if (status == 200)
		printf("purge committed; run notchlugctl retention to see its progress\n");
	else
		fprintf(stderr, "notchlugctl: purge request to %s failed: %s\n", controller_addr,
			status ? body : "no answer");
	free(body);
	json_object_put(request);
	if (status == 200)
		return OK;
	return is_status_unclear(status) ? UNREACHABLE : REJECTED;
}

/* Formats a Unix time in UTC, allocated in pool; 0 gives "-". */
static const char *format_time(int64_t unix_ms)
{
	apr_time_exp_t utc;

	if (!unix_ms || apr_time_exp_gmt(&utc, unix_ms * 1000) != APR_SUCCESS)
		return "-";
	return apr_psprintf(pool, "%04d-%02d-%02d %02d:%02d:%02d UTC", utc.tm_year + 1900, utc.tm_mon + 1,
			    utc.tm_mday, utc.tm_hour, utc.tm_min, utc.tm_sec);
}

static void print_retention_plans(struct json_object *plans)
{
	for (size_t i = 0; plans && i < json_object_array_length(plans); i++) {
		struct json_object *plan = json_object_array_get_idx(plans, i);

		printf("retention %-24s next purge %s (keep|every|at|window: %s)\n",
		       json_member_string(plan, "scope"), format_time(json_member_int(plan, "due")),
		       json_member_string(plan, "setting"));
	}
}

static void print_purge(struct json_object *purge)
{
	struct json_object *missing = json_member(purge, "missing");

	printf("purge %" APR_INT64_T_FMT " of %s requested by %s, due %s: ", json_member_int(purge, "number"),
	       json_member_string(purge, "scope"), json_member_string(purge, "by"),
	       format_time(json_member_int(purge, "due")));
	if (json_member_int(purge, "done"))
		printf("completed %s\n", format_time(json_member_int(purge, "done")));
	else if (json_member_int(purge, "sliced"))
		printf("all slices published, context unreachable since %s\n",
		       format_time(json_member_int(purge, "sliced")));
	else
		printf("running, %" APR_INT64_T_FMT " slices published\n", json_member_int(purge, "slices"));
	for (size_t i = 0; missing && i < json_object_array_length(missing); i++)
		printf("  not confirmed: %s\n",
		       json_object_get_string(json_object_array_get_idx(missing, i)));
}

/* Prints the scheduled, running and completed purges. Only the leader of the control shard knows which nodes
 * have not confirmed a purge. */
static void print_retention(struct json_object *retention)
{
	struct json_object *purges = json_member(retention, "clearings");
	const char *leader = json_member_string(retention, "owner_addr");

	print_retention_plans(json_member(retention, "rows"));
	for (size_t i = 0; purges && i < json_object_array_length(purges); i++)
		print_purge(json_object_array_get_idx(purges, i));
	if (!json_object_get_boolean(json_member(retention, "owner")))
		printf("missing confirmations are listed only by the leader of the control shard: %s\n",
		       leader[0] ? leader : "leader unknown here");
}

int show_retention(int as_csv_report)
{
	char *body = NULL;
	int status = read_with_retry(as_csv_report ? "/v1/retention.csv" : "/v1/retention",
				     RETENTION_ATTEMPT_TIMEOUT_MS, &body);
	struct json_object *retention = status == 200 && !as_csv_report ? json_tokener_parse(body) : NULL;

	if (status != 200)
		fprintf(stderr, "notchlugctl: reading the retention state from %s failed: %s\n",
			controller_addr, status ? body : "no answer");
	else if (as_csv_report)
		fputs(body, stdout);
	if (retention) {
		print_retention(retention);
		json_object_put(retention);
	}
	free(body);
	return single_call_exit_code(status);
}

/* ---- bootstrap and recovery ---- */

int bootstrap_on_call(void)
{
	char *body = NULL;
	int status =
	    http_call_blocking("POST", controller_addr, "/v1/found", NULL, "{}", BOOTSTRAP_TIMEOUT_MS, &body);

	printf("%s\n", status ? body : "no answer");
	free(body);
	return single_call_exit_code(status);
}

int recovery_on_call(int count, char **member_ids)
{
	struct json_object *request = json_object_new_object(), *lost_ids = json_object_new_array();
	char *body = NULL;
	int status;

	for (int i = 0; i < count; i++)
		json_object_array_add(lost_ids, json_object_new_string(member_ids[i]));
	json_object_object_add(request, "lost", lost_ids);
	status = http_call_blocking("POST", controller_addr, "/v1/recover", NULL,
				    json_object_to_json_string_ext(request, JSON_C_TO_STRING_PLAIN),
				    RECOVER_TIMEOUT_MS, &body);
	json_object_put(request);
	printf("%s\n", status ? body : "no answer");
	free(body);
	return single_call_exit_code(status);
}
