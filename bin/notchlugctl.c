/* notchlugctl: the operators' and the platform's hand on the table. */
#include <apr_general.h>
#include <apr_strings.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "idempotency.h"
#include "config_text.h"
#include "shell.h"
#include "config_table.h"
#include "cli_support.h"
#include "config_row.h"

enum { OK = 0, REJECTED = 1, USAGE = 2, UNREACHABLE = 3, CONFLICT = 4 };
enum {
	REQUEST_TIMEOUT_MS = 8000,    /* for one sending of an order */
	REQUEST_RETRY_FOR_MS = 20000, /* for which an order without a clear answer is sent again */
	REQUEST_BACKOFF_MS = 200,     /* before it is; twice as long each time, up to */
	REQUEST_BACKOFF_MAX_MS = 1600,
	READ_RETRY_FOR_MS = 8000, /* for which a read without a clear answer is made again */
	READ_BACKOFF_MS = 200
};

static apr_pool_t *pool;
static const char *controller_addr = "127.0.0.1:8000"; /* the controller that is called */
static const char *controllers[8];                     /* the addresses that --at lists */
static int controller_count, current_controller;
static const char *idempotency_key; /* of this run's order; NULL: one is made up */

static int usage(FILE *file)
{
	fprintf(
	    file,
	    "Usage: notchlugctl [--at IP:PORT[,IP:PORT...]] [--key KEY] COMMAND      registrars' web addresses\n\n"
	    "  found                          found a fleet from the three seeds, once\n"
	    "  recover [ID ...]               at one registrar: go on with its copy of the groups whose majority is lost\n"
	    "                                 for good with these registrars; without ID: say who the members are\n"
	    "  show [KIND]                    the table as a sheet (tab-separated)\n"
	    "  set KIND NAME COLUMN=VALUE...  change cells of one row, or add the row\n"
	    "  del KIND NAME                  take a row out\n"
	    "  compare FILE                   what a sheet would change; - is standard input\n"
	    "  apply FILE                     make the table like the sheet, if nobody changed it since\n"
	    "  key add TENANT KEY             let a key in; only its digest is kept\n"
	    "  key remove KEY                 put a key out\n"
	    "  drain SERVER | serve SERVER    take a server out of the lanes, and back\n"
	    "  weights SERVICE NAME           name new weights: a roll-out\n"
	    "  clear all | LANE/TENANT        clear kept context now; * stands for all lanes or tenants\n"
	    "  retention [--report]           clearings that are due, run, are done, and what is missing; the report as CSV\n"
	    "  state                          who owns what, editions, horizons, servers\n"
	    "  metrics                        what a router counts, in the Prometheus text format; --at: its metrics address\n"
	    "  --help, --version\n\n"
	    "Each order carries a key of its own, and is sent again with it, to the addresses in turn, until it has a clear\n"
	    "answer, for 20 s. --key KEY: an order that an earlier run gave up is done once, however often it is sent.\n\n"
	    "Ends with 0 done, 1 refused, 2 wrong call, 3 no clear answer, 4 overtaken: the table has changed.\n");
	return file == stdout ? OK : USAGE;
}

/* Whether an answer leaves open what became of a call, or says that it may come again. */
static int is_unclear(int status)
{
	return !status || status == 408 || status == 429 || status >= 500;
}

static void use_next_controller(void)
{
	current_controller = (current_controller + 1) % controller_count;
	controller_addr = controllers[current_controller];
}

/* Read from a controller. It changes nothing, so it is made again until there is a clear answer, at the
 * addresses in turn. */
static int read_path(const char *path, int limit_ms, char **body)
{
	int64_t end = clock_ms() + READ_RETRY_FOR_MS;
	int status;

	while (is_unclear(status =
			      http_call_blocking("GET", controller_addr, path, NULL, NULL, limit_ms, body)) &&
	       clock_ms() < end) {
		free(*body);
		*body = NULL;
		apr_sleep(apr_time_from_msec(READ_BACKOFF_MS));
		use_next_controller();
	}
	return status;
}

static struct json_object *config_table(void)
{
	char *body = NULL;
	int st = read_path("/v1/table", 7000, &body);
	struct json_object *json = st == 200 ? json_tokener_parse(body) : NULL;

	if (!json)
		fprintf(stderr, "notchlugctl: step table, at %s: %s\n", controller_addr,
			st ? body : "nobody answers");
	free(body);
	return json;
}

/* A key that no other order has. */
static const char *new_key(void)
{
	unsigned char random[16];
	char *key = apr_palloc(pool, 2 * sizeof random + 1);

	if (apr_generate_random_bytes(random, sizeof random) != APR_SUCCESS)
		abort();
	for (size_t i = 0; i < sizeof random; i++)
		apr_snprintf(key + 2 * i, 3, "%02x", random[i]);
	return key;
}

/* Read --at; 0 if it is no list of addresses. */
static int parse_controllers(const char *list)
{
	char *copy = apr_pstrdup(pool, list), *rest = NULL;

	for (char *address = apr_strtok(copy, ",", &rest); address; address = apr_strtok(NULL, ",", &rest)) {
		if (!core_parse_addr(address) ||
		    controller_count == (int)(sizeof controllers / sizeof *controllers))
			return 0;
		controllers[controller_count++] = address;
	}
	controller_addr = controllers[0];
	return controller_count > 0;
}

/* Send an order until it has a clear answer, always under one key: it is done once, however often it arrives.
 */
static int order(const char *path, struct json_object *request, char **body)
{
	const char *text = json_object_to_json_string_ext(request, JSON_C_TO_STRING_PLAIN);
	const char *key = idempotency_key ? idempotency_key : new_key();
	int64_t end = clock_ms() + REQUEST_RETRY_FOR_MS;
	int pause_ms = REQUEST_BACKOFF_MS, status;

	while (is_unclear(status = http_command_blocking(controller_addr, path, key, text, REQUEST_TIMEOUT_MS,
							 body)) &&
	       clock_ms() < end) {
		free(*body);
		apr_sleep(apr_time_from_msec(pause_ms));
		use_next_controller();
		pause_ms = pause_ms < REQUEST_BACKOFF_MAX_MS ? 2 * pause_ms : REQUEST_BACKOFF_MAX_MS;
	}
	if (is_unclear(status))
		fprintf(
		    stderr,
		    "notchlugctl: the outcome is not known; the same command with --key %s sends this order again\n",
		    key);
	return status;
}

static int change(struct json_object *c)
{
	char *body = NULL;
	int st = order("/v1/change", c, &body);
	struct json_object *json = st ? json_tokener_parse(body) : NULL;
	int rc = st == 200 ? OK : st == 409 ? CONFLICT : is_unclear(st) ? UNREACHABLE : REJECTED;

	if (rc == OK)
		printf("edition %lld\n", (long long)json_member_int(json, "edition"));
	else if (rc == CONFLICT)
		fprintf(
		    stderr,
		    "notchlugctl: overtaken: the table is at edition %lld now; look at it and try again\n",
		    (long long)json_member_int(json, "edition"));
	else
		fprintf(stderr, "notchlugctl: step change, at %s: %s\n", controller_addr,
			st ? json_member_string(json, "error") : "nobody answers");
	if (json)
		json_object_put(json);
	free(body);
	json_object_put(c);
	return rc;
}

static struct json_object *row_new(const char *kind, const char *name)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "kind", json_object_new_string(kind));
	json_object_object_add(json, "name", json_object_new_string(name));
	return json;
}

static struct json_object *change_of(const char *what, struct json_object *row, struct json_object *edition)
{
	struct json_object *json = json_object_new_object(), *a = json_object_new_array();

	json_object_array_add(a, row);
	json_object_object_add(json, what, a);
	if (edition)
		json_object_object_add(json, "expect", json_object_get(edition));
	return json;
}

/* Cells edited in place: the row as it is, with these columns changed, if the table has not moved on
 * meanwhile. */
static int set(const char *kind, const char *name, int n, char **cells)
{
	struct json_object *t = config_table(), *rows = json_member(t, "rows"), *r = NULL, *json;

	if (!t)
		return UNREACHABLE;
	for (size_t i = 0; rows && i < json_object_array_length(rows) && !r; i++) {
		struct json_object *x = json_object_array_get_idx(rows, i);

		if (!strcmp(json_member_string(x, "kind"), kind) &&
		    !strcmp(json_member_string(x, "name"), name))
			r = json_object_get(x);
	}
	if (!r)
		r = row_new(kind, name);
	for (int i = 0; i < n; i++) {
		char *eq = strchr(cells[i], '=');

		if (!eq) {
			fprintf(stderr, "notchlugctl: %s: not COLUMN=VALUE\n", cells[i]);
			json_object_put(r);
			json_object_put(t);
			return USAGE;
		}
		json_object_object_add(
		    r, apr_pstrmemdup(pool, cells[i], (size_t)(eq - cells[i])),
		    config_text_cell(apr_pstrmemdup(pool, cells[i], (size_t)(eq - cells[i])), eq + 1));
	}
	json = change_of("set", r, json_member(t, "edition"));
	json_object_put(t);
	return change(json);
}

static int sheet(const char *path, int apply)
{
	char *text = file_read(path);
	const char *why = "cannot be read";
	struct json_object *s = text ? config_text_parse(text, pool, &why) : NULL, *t = NULL, *json = NULL;
	int rc = OK;

	free(text);
	if (!s) {
		fprintf(stderr, "notchlugctl: %s: %s\n", path, why);
		return USAGE;
	}
	if (!(t = config_table())) {
		rc = UNREACHABLE;
		goto end;
	}
	json = config_text_diff(t, s);
	if (!json_object_array_length(json_member(json, "set")) &&
	    !json_object_array_length(json_member(json, "del"))) {
		printf("nothing to change\n");
		goto end;
	}
	for (size_t i = 0; i < json_object_array_length(json_member(json, "set")); i++)
		printf("set %s\n",
		       json_object_to_json_string_ext(json_object_array_get_idx(json_member(json, "set"), i),
						      JSON_C_TO_STRING_PLAIN));
	for (size_t i = 0; i < json_object_array_length(json_member(json, "del")); i++)
		printf("del %s\n",
		       json_object_to_json_string_ext(json_object_array_get_idx(json_member(json, "del"), i),
						      JSON_C_TO_STRING_PLAIN));
	if (apply)
		rc = change(json_object_get(json));
end:
	json_object_put(s);
	if (t)
		json_object_put(t);
	if (json)
		json_object_put(json);
	return rc;
}

static int show(const char *kind)
{
	struct json_object *json;

	if (kind && config_kind_parse(kind) == NL__KIND__NONE) {
		fprintf(
		    stderr,
		    "notchlugctl: %s: no such kind; there are lane, tenant, share, key, server, service, registrar\n",
		    kind);
		return USAGE;
	}
	if (!(json = config_table()))
		return UNREACHABLE;
	fputs(config_text_print(json, kind, pool), stdout);
	json_object_put(json);
	return OK;
}

/* The fleet's state: each controller of the table is asked for its own. */
static int state(void)
{
	struct json_object *t = config_table(), *rows = json_member(t, "rows");

	if (!t)
		return UNREACHABLE;
	printf("edition %lld\n", (long long)json_member_int(t, "edition"));
	char *body = NULL;
	struct json_object *json =
	    http_call_blocking("GET", controller_addr, "/v1/state", NULL, NULL, 3000, &body) == 200
		? json_tokener_parse(body)
		: NULL;
	struct json_object *a = json_member(json, "parts");

	printf("fleet %s, as %s knows it (edition %lld, %lld ms old, horizon %lld%s)\n",
	       json_member_string(json, "fleet"), json_member_string(json, "addr"),
	       (long long)json_member_int(json, "edition"), (long long)json_member_int(json, "age_ms"),
	       (long long)json_member_int(json, "horizon"),
	       json_object_get_boolean(json_member(json, "publisher")) ? ", publisher" : "");
	for (size_t i = 0; a && i < json_object_array_length(a); i++) {
		struct json_object *x = json_object_array_get_idx(a, i);

		printf("part %lld  owner %-21s term %-4lld entries %-6lld here %s%s\n",
		       (long long)json_member_int(x, "part"),
		       json_member_string(x, "owner")[0] ? json_member_string(x, "owner") : "not known here",
		       (long long)json_member_int(x, "term"), (long long)json_member_int(x, "commit"),
		       json_member_string(x, "role"),
		       json_object_get_boolean(json_member(x, "licensed")) ? ", licensed" : "");
	}
	a = json_member(json, "nodes");
	for (size_t i = 0; a && i < json_object_array_length(a); i++) {
		struct json_object *x = json_object_array_get_idx(a, i);

		printf("%s %-21s edition %-6lld horizon %-6lld heard %lld ms ago\n",
		       json_object_get_boolean(json_member(x, "counter")) ? "counter  " : "registrar",
		       json_member_string(x, "addr"), (long long)json_member_int(x, "edition"),
		       (long long)json_member_int(x, "horizon"), (long long)json_member_int(x, "heard_ms"));
	}
	a = json_member(json, "servers");
	for (size_t i = 0; a && i < json_object_array_length(a); i++) {
		struct json_object *x = json_object_array_get_idx(a, i);

		printf(
		    "server %-12s weights %-8s %s%s purges carried out to tick %lld, reported %lld ms ago\n",
		    json_member_string(x, "server"), json_member_string(x, "weights"),
		    json_member_string(x, "loading")[0] ? "loading " : "", json_member_string(x, "loading"),
		    (long long)json_member_int(x, "carried"), (long long)json_member_int(x, "reported_ms"));
	}
	for (size_t i = 0; rows && i < json_object_array_length(rows); i++)
		if (!strcmp(json_member_string(json_object_array_get_idx(rows, i), "kind"), "registrar"))
			printf("in the table: registrar %s in %s\n",
			       json_member_string(json_object_array_get_idx(rows, i), "addr"),
			       json_member_string(json_object_array_get_idx(rows, i), "zone"));
	free(body);
	if (json)
		json_object_put(json);
	json_object_put(t);
	return OK;
}

/* What a router counts, as it tells it; --at names the router's own address. */
static int metrics(void)
{
	char *body = NULL;
	int status = http_call_blocking("GET", controller_addr, "/metrics", NULL, NULL, 3000, &body);

	if (status == 200)
		fputs(body, stdout);
	else
		fprintf(stderr, "notchlugctl: step metrics, at %s: %s\n", controller_addr,
			status ? "it tells none" : "nobody answers");
	free(body);
	return status == 200 ? OK : status ? REJECTED : UNREACHABLE;
}

static int clear(const char *scope)
{
	struct json_object *json = json_object_new_object();
	const char *user = getenv("USER");
	char *body = NULL;
	int st;

	json_object_object_add(json, "scope", json_object_new_string(!strcmp(scope, "all") ? "*" : scope));
	json_object_object_add(json, "by", json_object_new_string(user && user[0] ? user : "clerk"));
	st = order("/v1/clear", json, &body);
	if (st == 200)
		printf("clearing is decided; notchlugctl retention shows how far it is\n");
	else
		fprintf(stderr, "notchlugctl: step clear, at %s: %s\n", controller_addr,
			st ? body : "nobody answers");
	free(body);
	json_object_put(json);
	return st == 200 ? OK : is_unclear(st) ? UNREACHABLE : REJECTED;
}

static const char *when(int64_t ms)
{
	apr_time_exp_t x;

	if (!ms || apr_time_exp_gmt(&x, ms * 1000) != APR_SUCCESS)
		return "-";
	return apr_psprintf(pool, "%04d-%02d-%02d %02d:%02d:%02d UTC", x.tm_year + 1900, x.tm_mon + 1,
			    x.tm_mday, x.tm_hour, x.tm_min, x.tm_sec);
}

/* What is due, runs and is done; what is missing is known by the owner of the configuration alone. */
static int retention(int report)
{
	char *body = NULL;
	int st = read_path(report ? "/v1/retention.csv" : "/v1/retention", 6000, &body);
	struct json_object *json = st == 200 && !report ? json_tokener_parse(body) : NULL,
			   *a = json_member(json, "rows");

	if (st != 200)
		fprintf(stderr, "notchlugctl: step retention, at %s: %s\n", controller_addr,
			st ? body : "nobody answers");
	else if (report)
		fputs(body, stdout);
	for (size_t i = 0; a && i < json_object_array_length(a); i++) {
		struct json_object *x = json_object_array_get_idx(a, i);

		printf("%-24s due %s (keep|every|at|window: %s)\n", json_member_string(x, "scope"),
		       when(json_member_int(x, "due")), json_member_string(x, "setting"));
	}
	a = json_member(json, "clearings");
	for (size_t i = 0; a && i < json_object_array_length(a); i++) {
		struct json_object *x = json_object_array_get_idx(a, i), *m = json_member(x, "missing");

		printf("clearing %" APR_INT64_T_FMT " of %s by %s, due %s: ", json_member_int(x, "number"),
		       json_member_string(x, "scope"), json_member_string(x, "by"),
		       when(json_member_int(x, "due")));
		if (json_member_int(x, "done"))
			printf("done %s\n", when(json_member_int(x, "done")));
		else if (json_member_int(x, "sliced"))
			printf("unreachable since %s\n", when(json_member_int(x, "sliced")));
		else
			printf("runs, %" APR_INT64_T_FMT " slices decided\n", json_member_int(x, "slices"));
		for (size_t k = 0; m && k < json_object_array_length(m); k++)
			printf("  missing: %s\n", json_object_get_string(json_object_array_get_idx(m, k)));
	}
	if (json && !json_object_get_boolean(json_member(json, "owner")))
		printf("what is missing is known at the owner of the configuration alone: %s\n",
		       json_member_string(json, "owner_addr")[0] ? json_member_string(json, "owner_addr")
								 : "not known here");
	free(body);
	if (json)
		json_object_put(json);
	return st == 200 ? OK : st ? REJECTED : UNREACHABLE;
}

static int found(void)
{
	char *body = NULL;
	int st = http_call_blocking("POST", controller_addr, "/v1/found", NULL, "{}", 15000, &body);

	printf("%s\n", st ? body : "nobody answers");
	free(body);
	return st == 200 ? OK : st ? REJECTED : UNREACHABLE;
}

/* Asks one controller alone: which copy goes on is the operator's choice. */
static int recover(int count, char **ids)
{
	struct json_object *call = json_object_new_object(), *lost = json_object_new_array();
	char *body = NULL;
	int status;

	for (int i = 0; i < count; i++)
		json_object_array_add(lost, json_object_new_string(ids[i]));
	json_object_object_add(call, "lost", lost);
	status =
	    http_call_blocking("POST", controller_addr, "/v1/recover", NULL,
			       json_object_to_json_string_ext(call, JSON_C_TO_STRING_PLAIN), 7000, &body);
	json_object_put(call);
	printf("%s\n", status ? body : "nobody answers");
	free(body);
	return status == 200 ? OK : status ? REJECTED : UNREACHABLE;
}

/* NOLINTNEXTLINE(readability-function-size): the command line, option by option */
int main(int argc, char **argv)
{
	struct json_object *r;
	char hex[65];
	int rc, n;
	char **a;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	while (argc > 2 && (!strcmp(argv[1], "--at") || !strcmp(argv[1], "--key"))) {
		if (!strcmp(argv[1], "--at"))
			controller_addr = argv[2];
		else
			idempotency_key = argv[2];
		argc -= 2;
		argv += 2;
	}
	n = argc - 1;
	a = argv + 1;
#define IS(word, count) (n == (count) && !strcmp(a[0], word))
	if (IS("--help", 1) || IS("-h", 1))
		rc = usage(stdout);
	else if (IS("--version", 1))
		rc = printf("notchlugctl (notchlug) %s\n", NL_VERSION) < 0;
	else if (!parse_controllers(controller_addr)) {
		fprintf(stderr, "notchlugctl: --at: up to eight addresses ip:port, with commas between\n");
		rc = USAGE;
	} else if (idempotency_key && !idempotency_key_is_valid(idempotency_key)) {
		fprintf(stderr, "notchlugctl: --key: 1 to 128 visible ASCII characters\n");
		rc = USAGE;
	} else if (IS("found", 1))
		rc = found();
	else if (n >= 1 && !strcmp(a[0], "recover"))
		rc = recover(n - 1, a + 1);
	else if (IS("clear", 2))
		rc = clear(a[1]);
	else if (IS("retention", 1) || (IS("retention", 2) && !strcmp(a[1], "--report")))
		rc = retention(n == 2);
	else if (IS("state", 1))
		rc = state();
	else if (IS("metrics", 1))
		rc = metrics();
	else if (IS("show", 1) || IS("show", 2))
		rc = show(n == 2 ? a[1] : NULL);
	else if (n >= 4 && !strcmp(a[0], "set"))
		rc = set(a[1], a[2], n - 3, a + 3);
	else if (IS("del", 3))
		rc = change(change_of("del", row_new(a[1], a[2]), NULL));
	else if (IS("compare", 2) || IS("apply", 2))
		rc = sheet(a[1], a[0][0] == 'a');
	else if (IS("key", 4) && !strcmp(a[1], "add")) {
		r = row_new("key", digest_hex(a[3], hex));
		json_object_object_add(r, "tenant", json_object_new_string(a[2]));
		rc = change(change_of("set", r, NULL));
	} else if (IS("key", 3) && !strcmp(a[1], "remove"))
		rc = change(change_of("del", row_new("key", digest_hex(a[2], hex)), NULL));
	else if (IS("drain", 2) || IS("serve", 2)) {
		char cell[] = "state=draining", back[] = "state=serving",
		     *cells[1] = { a[0][0] == 'd' ? cell : back };

		rc = set("server", a[1], 1, cells);
	} else if (IS("weights", 3)) {
		char *cells[1] = { apr_pstrcat(pool, "weights=", a[2], NULL) };

		rc = set("service", a[1], 1, cells);
	} else
		rc = usage(stderr);
	apr_pool_destroy(pool);
	apr_terminate();
	return rc;
}
