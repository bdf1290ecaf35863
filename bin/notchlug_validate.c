/* notchlug-validate: checks a proposed table against the fleet as it is, before anybody applies it. */
#include <apr_general.h>
#include <apr_strings.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "calendar.h"
#include "config_text.h"
#include "config_table.h"
#include "cli_support.h"
#include "shell.h"
#include "config_check.h"
#include "config_row.h"

enum { GOOD = 0, FAULTS = 1, USAGE = 2, UNREACHABLE = 3 };

struct validation {
	apr_pool_t *pool;
	struct json_object *findings;                     /* list of {"grade","row","why"} */
	struct json_object *current_rows, *proposed_rows; /* rows before and after */
	struct json_object *servers;                      /* as a counter reports them */
	int faults, warnings;
};

static void say(struct validation *x, int fault, const char *row, const char *why)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "grade", json_object_new_string(fault ? "fault" : "warning"));
	json_object_object_add(json, "row", json_object_new_string(row));
	json_object_object_add(json, "why", json_object_new_string(why));
	json_object_array_add(x->findings, json);
	x->faults += fault;
	x->warnings += !fault;
}

/* What a change would do, neither fault nor warning. */
static void note(struct validation *check, const char *row, const char *why)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "grade", json_object_new_string("note"));
	json_object_object_add(json, "row", json_object_new_string(row));
	json_object_object_add(json, "why", json_object_new_string(why));
	json_object_array_add(check->findings, json);
}

static struct json_object *row(struct json_object *rows, const char *kind, const char *name)
{
	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *r = json_object_array_get_idx(rows, i);

		if (!strcmp(json_member_string(r, "kind"), kind) &&
		    !strcmp(json_member_string(r, "name"), name))
			return r;
	}
	return NULL;
}

static int count(struct json_object *rows, const char *kind, const char *column, const char *value)
{
	int n = 0;

	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *r = json_object_array_get_idx(rows, i);

		n += !strcmp(json_member_string(r, "kind"), kind) &&
		     !strcmp(json_member_string(r, column), value) &&
		     strcmp(json_member_string(r, "state"), "draining");
	}
	return n;
}

/* Places that the service's servers report, and whether any has these weights. */
static int reported_slots(struct validation *check, const char *service, const char *weights,
			  int *weights_reported)
{
	int n = 0;

	*weights_reported = 0;
	for (size_t i = 0; check->servers && i < json_object_array_length(check->servers); i++) {
		struct json_object *s = json_object_array_get_idx(check->servers, i),
				   *json =
				       row(check->proposed_rows, "server", json_member_string(s, "server"));

		if (!json || strcmp(json_member_string(json, "service"), service))
			continue;
		n += (int)json_member_int(s, "slots");
		*weights_reported |= !strcmp(json_member_string(s, "weights"), weights);
	}
	return n;
}

/* What a retention row clears, and when for the first time. */
static void check_retention(struct validation *check, struct json_object *json, struct json_object *was,
			    const char *label)
{
	int64_t wall = clock_wall_ms();
	struct Nl__Change change = NL__CHANGE__INIT;
	struct Nl__Row *rows[1];
	const char *why = NULL;
	char lane[200], tenant[200];
	apr_time_exp_t e;
	int64_t due;

	rows[0] = config_row_parse(json, check->pool, &why);
	change.set = rows;
	change.n_set = 1;
	if (!rows[0] || retention_check_row(rows[0]))
		return; /* said already */
	(void)retention_parse_scope(rows[0]->name, lane, tenant);
	if (lane[0] && !row(check->proposed_rows, "lane", lane))
		say(check, 1, label, apr_psprintf(check->pool, "lane %s is not in the table", lane));
	if (tenant[0] && !row(check->proposed_rows, "tenant", tenant))
		say(check, 1, label, apr_psprintf(check->pool, "tenant %s is not in the table", tenant));
	if ((why = retention_check_calendar(&calendar_icu, &change, wall, check->pool))) {
		say(check, 1, label, why);
		return;
	}
	due = retention_next_due(&calendar_icu, rows[0], wall, wall);
	if ((was && json_object_equal(json, was)) || !due || apr_time_exp_gmt(&e, due * 1000) != APR_SUCCESS)
		return;
	note(check, label,
	     apr_psprintf(
		 check->pool,
		 "would clear the context of %s first at %04d-%02d-%02d %02d:%02d UTC, spread over %u s%s",
		 rows[0]->name, e.tm_year + 1900, e.tm_mon + 1, e.tm_mday, e.tm_hour, e.tm_min,
		 (unsigned)(rows[0]->spread_ms / 1000),
		 !was && (lane[0] || tenant[0])
		     ? "; that first time with all common context, where its own lies among the others'"
		     : ""));
}

static void check_row(struct validation *check, struct json_object *r)
{
	const char *kind = json_member_string(r, "kind"), *name = json_member_string(r, "name"),
		   *label = apr_pstrcat(check->pool, kind, " ", name, NULL), *slash;
	struct json_object *was = row(check->current_rows, kind, name);
	int known, n;

	if (!strcmp(kind, "lane") || !strcmp(kind, "server")) {
		if (!row(check->proposed_rows, "service", json_member_string(r, "service")))
			say(check, 1, label,
			    apr_psprintf(check->pool, "service %s is not in the table",
					 json_member_string(r, "service")));
		if (was && !strcmp(kind, "lane") &&
		    strcmp(json_member_string(was, "service"), json_member_string(r, "service")))
			say(check, 1, label, "a lane cannot change its service; make a new lane");
	} else if (!strcmp(kind, "retention")) {
		check_retention(check, r, was, label);
	} else if (!strcmp(kind, "key")) {
		if (!row(check->proposed_rows, "tenant", json_member_string(r, "tenant")))
			say(check, 1, label,
			    apr_psprintf(check->pool, "tenant %s is not in the table",
					 json_member_string(r, "tenant")));
	} else if (!strcmp(kind, "service")) {
		n = reported_slots(check, name, json_member_string(r, "weights"), &known);
		if (!count(check->proposed_rows, "server", "service", name))
			say(check, 1, label, "no server serves it: its lanes would be cut off");
		else if (check->servers && !n)
			say(check, 0, label, "none of its servers reports");
		if (was && strcmp(json_member_string(was, "weights"), json_member_string(r, "weights")) &&
		    check->servers && !known)
			say(check, 0, label,
			    apr_psprintf(check->pool,
					 "weights %s are not loaded anywhere yet: a roll-out begins",
					 json_member_string(r, "weights")));
	} else if (!strcmp(kind, "share")) {
		const char *lane, *tenant;
		struct json_object *json, *t;

		slash = strchr(name, '/');
		lane = slash ? apr_pstrmemdup(check->pool, name, (size_t)(slash - name)) : "";
		tenant = slash ? slash + 1 : "";
		json = row(check->proposed_rows, "lane", lane);
		t = row(check->proposed_rows, "tenant", tenant);
		if (!json)
			say(check, 1, label, apr_psprintf(check->pool, "lane %s is not in the table", lane));
		if (!t)
			say(check, 1, label,
			    apr_psprintf(check->pool, "tenant %s is not in the table", tenant));
		if (json && (n = reported_slots(check, json_member_string(json, "service"), "", &known)) &&
		    json_member_int(r, "limit") > n)
			say(check, 0, label,
			    apr_psprintf(check->pool,
					 "limit %" APR_INT64_T_FMT
					 " is above the %d places that the lane's servers report",
					 json_member_int(r, "limit"), n));
		if (t && json_member_int(r, "limit") > json_member_int(t, "limit"))
			say(check, 0, label, "limit is above the tenant's own: it never bites");
	}
}

/* Shares add up when every tenant of a lane has one, or none has: a mixture weighs two scales against each
 * other. */
static void check_shares(struct validation *check)
{
	for (size_t i = 0; i < json_object_array_length(check->proposed_rows); i++) {
		struct json_object *json = json_object_array_get_idx(check->proposed_rows, i);
		int with = 0, without = 0;
		int64_t sum = 0, least = INT64_MAX;

		if (strcmp(json_member_string(json, "kind"), "lane"))
			continue;
		for (size_t k = 0; k < json_object_array_length(check->proposed_rows); k++) {
			struct json_object *t = json_object_array_get_idx(check->proposed_rows, k), *s;

			if (strcmp(json_member_string(t, "kind"), "tenant"))
				continue;
			s = row(check->proposed_rows, "share",
				apr_pstrcat(check->pool, json_member_string(json, "name"), "/",
					    json_member_string(t, "name"), NULL));
			with += s != NULL;
			without += s == NULL;
			sum += json_member_int(s ? s : t, "share");
			least = json_member_int(s ? s : t, "share") < least
				    ? json_member_int(s ? s : t, "share")
				    : least;
		}
		if (with && without)
			say(check, 0,
			    apr_pstrcat(check->pool, "lane ", json_member_string(json, "name"), NULL),
			    apr_psprintf(
				check->pool,
				"shares do not add up: %d tenants have one in this lane, %d fall back to their general one",
				with, without));
		if (sum && least * 200 < sum)
			say(check, 0,
			    apr_pstrcat(check->pool, "lane ", json_member_string(json, "name"), NULL),
			    "a tenant's share is under half a percent of the sum");
	}
}

static void check_removals(struct validation *check)
{
	for (size_t i = 0; i < json_object_array_length(check->current_rows); i++) {
		struct json_object *json = json_object_array_get_idx(check->current_rows, i);
		const char *kind = json_member_string(json, "kind"), *name = json_member_string(json, "name"),
			   *label = apr_pstrcat(check->pool, kind, " ", name, NULL);

		if (!strcmp(kind, "tenant") && !row(check->proposed_rows, "tenant", name) &&
		    count(check->current_rows, "key", "tenant", name))
			say(check, 1, label, "would be cut off: it has keys and its row goes");
		if (!strcmp(kind, "tenant") && row(check->proposed_rows, "tenant", name) &&
		    count(check->current_rows, "key", "tenant", name) &&
		    !count(check->proposed_rows, "key", "tenant", name))
			say(check, 1, label, "would be cut off: its last key goes");
		if (!strcmp(kind, "lane") && !row(check->proposed_rows, "lane", name))
			say(check, 0, label, "goes: what waits in it is refused");
	}
}

/* The table as it would be: what is there, with the change's rows put over it. */
static void overlay_change(struct validation *check, struct json_object *change)
{
	struct json_object *set = json_member(change, "set"), *del = json_member(change, "del");

	check->proposed_rows = json_object_new_array();
	for (size_t i = 0; i < json_object_array_length(check->current_rows); i++) {
		struct json_object *json = json_object_array_get_idx(check->current_rows, i);

		if ((set && row(set, json_member_string(json, "kind"), json_member_string(json, "name"))) ||
		    (del && row(del, json_member_string(json, "kind"), json_member_string(json, "name"))))
			continue;
		json_object_array_add(check->proposed_rows, json_object_get(json));
	}
	for (size_t i = 0; set && i < json_object_array_length(set); i++)
		json_object_array_add(check->proposed_rows,
				      json_object_get(json_object_array_get_idx(set, i)));
}

static struct json_object *get(const char *addr, const char *path)
{
	char *body = NULL;
	struct json_object *json = http_call_blocking("GET", addr, path, NULL, NULL, 7000, &body) == 200
				       ? json_tokener_parse(body)
				       : NULL;

	free(body);
	return json;
}

/* NOLINTNEXTLINE(readability-function-size): the command line, option by option */
int main(int argc, char **argv)
{
	struct arg_str *arg_str = arg_str0(NULL, "at", "IP:PORT", "a registrar's web address"),
		       *ctr = arg_str0(NULL, "counter", "IP:PORT",
				       "a counter's web address: what servers report");
	struct arg_lit *json = arg_lit0(NULL, "json", "findings as JSON"),
		       *help = arg_lit0("h", "help", "say how it is called");
	struct arg_lit *version = arg_lit0(NULL, "version", "say the version");
	struct arg_file *file =
	    arg_file0(NULL, NULL, "FILE", "a sheet, or a change as JSON; - is standard input");
	struct arg_end *end = arg_end(5);
	void *t[] = { arg_str, ctr, json, help, version, file, end };
	struct validation check;
	struct json_object *table = NULL, *state = NULL, *change = NULL, *sheet;
	const char *why = NULL, *reg = "127.0.0.1:8000";
	struct Nl__Change *c;
	struct config_table empty;
	char *text = NULL;
	int rc = USAGE, bad;

	memset(&check, 0, sizeof check);
	apr_initialize();
	apr_pool_create(&check.pool, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	bad = arg_parse(argc, argv, t);
	if (help->count) {
		printf("Usage: notchlug-validate");
		arg_print_syntax(stdout, t, "\n");
		arg_print_glossary(stdout, t, "  %-24s %s\n");
		printf("Ends with 0 good, 1 faults found, 2 wrong call, 3 the fleet cannot be reached.\n");
		rc = GOOD;
		goto end;
	}
	if (version->count) {
		printf("notchlug-validate (notchlug) %s\n", NL_VERSION);
		rc = GOOD;
		goto end;
	}
	if (bad || !file->count) {
		arg_print_errors(stderr, end, "notchlug-validate");
		fprintf(stderr, "notchlug-validate: give a FILE; see --help\n");
		goto end;
	}
	if (arg_str->count)
		reg = arg_str->sval[0];
	text = file_read(file->filename[0]);
	if (!text) {
		fprintf(stderr, "notchlug-validate: %s: cannot be read\n", file->filename[0]);
		goto end;
	}
	table = get(reg, "/v1/table");
	if (!table) {
		fprintf(stderr, "notchlug-validate: step table, at %s: nobody answers\n", reg);
		rc = UNREACHABLE;
		goto end;
	}
	if (ctr->count && !(state = get(ctr->sval[0], "/v1/state"))) {
		fprintf(stderr, "notchlug-validate: step state, at %s: nobody answers\n", ctr->sval[0]);
		rc = UNREACHABLE;
		goto end;
	}
	if (text[strspn(text, " \t\r\n")] == '{') {
		change = json_tokener_parse(text);
		if (!change)
			why = "not JSON";
	} else if ((sheet = config_text_parse(text, check.pool, &why))) {
		change = config_text_diff(table, sheet);
		json_object_put(sheet);
	}
	if (why) {
		fprintf(stderr, "notchlug-validate: %s: %s\n", file->filename[0], why);
		goto end;
	}
	check.findings = json_object_new_array();
	check.current_rows = json_member(table, "rows");
	check.servers = json_member(state, "servers");
	if ((json_member(change, "set") && json_object_array_length(json_member(change, "set"))) ||
	    (json_member(change, "del") && json_object_array_length(json_member(change, "del")))) {
		c = config_change_parse(json_object_to_json_string(change), check.pool, &why);
		config_table_open(&empty);
		if (c) {
			c->n_deleted =
			    0; /* whether rows to take out exist is judged against the real table */
			why = config_check_change(&empty, c, check.pool);
		}
		if (why)
			say(&check, 1, "change", why);
		config_table_close(&empty);
	}
	/* as the controllers judge it: an operator's change since then overtakes */
	if (json_member(change, "expect") &&
	    json_member_int(change, "expect") < json_member_int(table, "plan"))
		say(&check, 1, "change",
		    apr_psprintf(check.pool,
				 "edition %" APR_INT64_T_FMT
				 " is overtaken: operators changed the table in edition %" APR_INT64_T_FMT,
				 json_member_int(change, "expect"), json_member_int(table, "plan")));
	overlay_change(&check, change);
	for (size_t i = 0; i < json_object_array_length(check.proposed_rows); i++)
		check_row(&check, json_object_array_get_idx(check.proposed_rows, i));
	check_shares(&check);
	check_removals(&check);
	rc = check.faults ? FAULTS : GOOD;
	if (json->count) {
		struct json_object *o = json_object_new_object();

		json_object_object_add(o, "good", json_object_new_boolean(!check.faults));
		json_object_object_add(o, "findings", json_object_get(check.findings));
		printf("%s\n", json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
		json_object_put(o);
	} else {
		for (size_t i = 0; i < json_object_array_length(check.findings); i++) {
			struct json_object *f = json_object_array_get_idx(check.findings, i);

			printf("%s: %s: %s\n", json_member_string(f, "grade"), json_member_string(f, "row"),
			       json_member_string(f, "why"));
		}
		printf("%d faults, %d warnings\n", check.faults, check.warnings);
	}
end:
	free(text);
	if (check.findings)
		json_object_put(check.findings);
	if (check.proposed_rows)
		json_object_put(check.proposed_rows);
	if (change)
		json_object_put(change);
	if (state)
		json_object_put(state);
	if (table)
		json_object_put(table);
	arg_freetable(t, sizeof t / sizeof *t);
	apr_pool_destroy(check.pool);
	apr_terminate();
	return rc;
}
