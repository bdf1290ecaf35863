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
	RETENTION_TIMEOUT_MS = 6000, /* for one attempt of a read */
	STATE_TIMEOUT_MS = 3000,     /* at one node alone */
	METRICS_TIMEOUT_MS = 3000,
	BOOTSTRAP_TIMEOUT_MS = 15000, /* once, at one controller alone */
	RECOVER_TIMEOUT_MS = 7000
};

/* The program's former name: what a purge records of who asked for it stays as it was. */
#define UNKNOWN_REQUESTER "clerk"

/* ---- state ---- */

static void print_shards(struct json_object *shards)
{
	for (size_t i = 0; shards && i < json_object_array_length(shards); i++) {
		struct json_object *shard = json_object_array_get_idx(shards, i);
		const char *leader = json_member_string(shard, "owner");

		printf("part %lld  owner %-21s term %-4lld entries %-6lld here %s%s\n",
		       (long long)json_member_int(shard, "part"), leader[0] ? leader : "not known here",
		       (long long)json_member_int(shard, "term"), (long long)json_member_int(shard, "commit"),
		       json_member_string(shard, "role"),
		       json_object_get_boolean(json_member(shard, "licensed")) ? ", licensed" : "");
	}
}

static void print_nodes(struct json_object *nodes)
{
	for (size_t i = 0; nodes && i < json_object_array_length(nodes); i++) {
		struct json_object *node = json_object_array_get_idx(nodes, i);

		printf("%s %-21s edition %-6lld horizon %-6lld heard %lld ms ago\n",
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
		    "server %-12s weights %-8s %s%s purges carried out to tick %lld, reported %lld ms ago\n",
		    json_member_string(server, "server"), json_member_string(server, "weights"),
		    loading[0] ? "loading " : "", loading, (long long)json_member_int(server, "carried"),
		    (long long)json_member_int(server, "reported_ms"));
	}
}

static void print_controllers(struct json_object *rows)
{
	for (size_t i = 0; rows && i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		if (!strcmp(json_member_string(row, "kind"), "registrar"))
			printf("in the table: registrar %s in %s\n", json_member_string(row, "addr"),
			       json_member_string(row, "zone"));
	}
}

int print_state(void)
{
	struct json_object *table = read_table(), *json = NULL;
	char *body = NULL;

	if (!table)
		return UNREACHABLE;
	printf("edition %lld\n", (long long)json_member_int(table, "edition"));
	if (http_call_blocking("GET", controller_addr, "/v1/state", NULL, NULL, STATE_TIMEOUT_MS, &body) ==
	    200)
		json = json_tokener_parse(body);
	printf("fleet %s, as %s knows it (edition %lld, %lld ms old, horizon %lld%s)\n",
	       json_member_string(json, "fleet"), json_member_string(json, "addr"),
	       (long long)json_member_int(json, "edition"), (long long)json_member_int(json, "age_ms"),
	       (long long)json_member_int(json, "horizon"),
	       json_object_get_boolean(json_member(json, "publisher")) ? ", publisher" : "");
	print_shards(json_member(json, "parts"));
	print_nodes(json_member(json, "nodes"));
	print_servers(json_member(json, "servers"));
	print_controllers(json_member(table, "rows"));
	free(body);
	if (json)
		json_object_put(json);
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
		fprintf(stderr, "notchlugctl: step metrics, at %s: %s\n", controller_addr,
			status ? "it tells none" : "nobody answers");
	free(body);
	return single_call_exit_code(status);
}

/* ---- purges ---- */

int purge(const char *scope)
{
	struct json_object *json = json_object_new_object();
	const char *user = getenv("USER");
	char *body = NULL;
	int status;

	json_object_object_add(json, "scope", json_object_new_string(!strcmp(scope, "all") ? "*" : scope));
	json_object_object_add(json, "by",
			       json_object_new_string(user && user[0] ? user : UNKNOWN_REQUESTER));
	status = send_request("/v1/clear", json, &body);
	if (status == 200)
		printf("clearing is decided; notchlugctl retention shows how far it is\n");
	else
		fprintf(stderr, "notchlugctl: step clear, at %s: %s\n", controller_addr,
			status ? body : "nobody answers");
	free(body);
	json_object_put(json);
	if (status == 200)
		return OK;
	return is_unclear(status) ? UNREACHABLE : REJECTED;
}

/* A time for people, in UTC, in the pool; "-" for 0. */
static const char *format_time(int64_t ms)
{
	apr_time_exp_t time;

	if (!ms || apr_time_exp_gmt(&time, ms * 1000) != APR_SUCCESS)
		return "-";
	return apr_psprintf(pool, "%04d-%02d-%02d %02d:%02d:%02d UTC", time.tm_year + 1900, time.tm_mon + 1,
			    time.tm_mday, time.tm_hour, time.tm_min, time.tm_sec);
}

static void print_plans(struct json_object *rows)
{
	for (size_t i = 0; rows && i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		printf("%-24s due %s (keep|every|at|window: %s)\n", json_member_string(row, "scope"),
		       format_time(json_member_int(row, "due")), json_member_string(row, "setting"));
	}
}

static void print_purge(struct json_object *purge)
{
	struct json_object *missing = json_member(purge, "missing");

	printf("clearing %" APR_INT64_T_FMT " of %s by %s, due %s: ", json_member_int(purge, "number"),
	       json_member_string(purge, "scope"), json_member_string(purge, "by"),
	       format_time(json_member_int(purge, "due")));
	if (json_member_int(purge, "done"))
		printf("done %s\n", format_time(json_member_int(purge, "done")));
	else if (json_member_int(purge, "sliced"))
		printf("unreachable since %s\n", format_time(json_member_int(purge, "sliced")));
	else
		printf("runs, %" APR_INT64_T_FMT " slices decided\n", json_member_int(purge, "slices"));
	for (size_t i = 0; missing && i < json_object_array_length(missing); i++)
		printf("  missing: %s\n", json_object_get_string(json_object_array_get_idx(missing, i)));
}

/* What is due, runs and is done; what is missing is known at the control shard's leader alone. */
static void print_retention(struct json_object *json)
{
	struct json_object *purges = json_member(json, "clearings");
	const char *leader = json_member_string(json, "owner_addr");

	print_plans(json_member(json, "rows"));
	for (size_t i = 0; purges && i < json_object_array_length(purges); i++)
		print_purge(json_object_array_get_idx(purges, i));
	if (!json_object_get_boolean(json_member(json, "owner")))
		printf("what is missing is known at the owner of the configuration alone: %s\n",
		       leader[0] ? leader : "not known here");
}

int show_retention(int report)
{
	char *body = NULL;
	int status = read_path(report ? "/v1/retention.csv" : "/v1/retention", RETENTION_TIMEOUT_MS, &body);
	struct json_object *json = status == 200 && !report ? json_tokener_parse(body) : NULL;

	if (status != 200)
		fprintf(stderr, "notchlugctl: step retention, at %s: %s\n", controller_addr,
			status ? body : "nobody answers");
	else if (report)
		fputs(body, stdout);
	if (json) {
		print_retention(json);
		json_object_put(json);
	}
	free(body);
	return single_call_exit_code(status);
}

/* ---- the fleet's beginning, and its repair ---- */

int bootstrap(void)
{
	char *body = NULL;
	int status =
	    http_call_blocking("POST", controller_addr, "/v1/found", NULL, "{}", BOOTSTRAP_TIMEOUT_MS, &body);

	printf("%s\n", status ? body : "nobody answers");
	free(body);
	return single_call_exit_code(status);
}

int recover(int count, char **ids)
{
	struct json_object *call = json_object_new_object(), *lost = json_object_new_array();
	char *body = NULL;
	int status;

	for (int i = 0; i < count; i++)
		json_object_array_add(lost, json_object_new_string(ids[i]));
	json_object_object_add(call, "lost", lost);
	status = http_call_blocking("POST", controller_addr, "/v1/recover", NULL,
				    json_object_to_json_string_ext(call, JSON_C_TO_STRING_PLAIN),
				    RECOVER_TIMEOUT_MS, &body);
	json_object_put(call);
	printf("%s\n", status ? body : "nobody answers");
	free(body);
	return single_call_exit_code(status);
}
