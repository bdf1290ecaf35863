/* examiner: checks a proposed table against the fleet as it is, before anybody applies it. */
#include <apr_general.h>
#include <apr_strings.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "calendar.h"
#include "sheet.h"
#include "table.h"
#include "tool.h"
#include "shell.h"

enum { GOOD = 0, FAULTS = 1, USAGE = 2, UNREACHED = 3 };

struct exam {
	apr_pool_t *p;
	struct json_object *found;      /* list of {"grade","row","why"} */
	struct json_object *now, *next; /* rows before and after */
	struct json_object *servers;    /* as a counter reports them */
	int faults, warnings;
};

static void say(struct exam *x, int fault, const char *row, const char *why)
{
	struct json_object *j = json_object_new_object();

	json_object_object_add(j, "grade", json_object_new_string(fault ? "fault" : "warning"));
	json_object_object_add(j, "row", json_object_new_string(row));
	json_object_object_add(j, "why", json_object_new_string(why));
	json_object_array_add(x->found, j);
	x->faults += fault;
	x->warnings += !fault;
}

/* What a change would do, neither fault nor warning. */
static void note(struct exam *x, const char *row, const char *why)
{
	struct json_object *j = json_object_new_object();

	json_object_object_add(j, "grade", json_object_new_string("note"));
	json_object_object_add(j, "row", json_object_new_string(row));
	json_object_object_add(j, "why", json_object_new_string(why));
	json_object_array_add(x->found, j);
}

static struct json_object *row(struct json_object *rows, const char *kind, const char *name)
{
	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *r = json_object_array_get_idx(rows, i);

		if (!strcmp(jgets(r, "kind"), kind) && !strcmp(jgets(r, "name"), name))
			return r;
	}
	return NULL;
}

static int count(struct json_object *rows, const char *kind, const char *column, const char *value)
{
	int n = 0;

	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *r = json_object_array_get_idx(rows, i);

		n += !strcmp(jgets(r, "kind"), kind) && !strcmp(jgets(r, column), value) && strcmp(jgets(r, "state"), "draining");
	}
	return n;
}

/* Places that the service's servers report, and whether any has these weights. */
static int places(struct exam *x, const char *service, const char *weights, int *known)
{
	int n = 0;

	*known = 0;
	for (size_t i = 0; x->servers && i < json_object_array_length(x->servers); i++) {
		struct json_object *s = json_object_array_get_idx(x->servers, i), *r = row(x->next, "server", jgets(s, "server"));

		if (!r || strcmp(jgets(r, "service"), service))
			continue;
		n += (int)jgeti(s, "slots");
		*known |= !strcmp(jgets(s, "weights"), weights);
	}
	return n;
}

/* What a retention row clears, and when for the first time. */
static void check_retention(struct exam *x, struct json_object *r, struct json_object *was, const char *label)
{
	int64_t wall = clock_wall();
	struct Nl__Change c = NL__CHANGE__INIT;
	struct Nl__Row *rows[1];
	const char *why = NULL;
	char lane[200], tenant[200];
	apr_time_exp_t e;
	int64_t due;

	rows[0] = table_row_parse(r, x->p, &why);
	c.set = rows;
	c.n_set = 1;
	if (!rows[0] || retention_row(rows[0]))
		return; /* said already */
	(void)retention_scope(rows[0]->name, lane, tenant);
	if (lane[0] && !row(x->next, "lane", lane))
		say(x, 1, label, apr_psprintf(x->p, "lane %s is not in the table", lane));
	if (tenant[0] && !row(x->next, "tenant", tenant))
		say(x, 1, label, apr_psprintf(x->p, "tenant %s is not in the table", tenant));
	if ((why = retention_check(&calendar_icu, &c, wall, x->p))) {
		say(x, 1, label, why);
		return;
	}
	due = retention_next(&calendar_icu, rows[0], wall, wall);
	if ((was && json_object_equal(r, was)) || !due || apr_time_exp_gmt(&e, due * 1000) != APR_SUCCESS)
		return;
	note(x, label,
	     apr_psprintf(
		 x->p, "would clear the context of %s first at %04d-%02d-%02d %02d:%02d UTC, spread over %u s%s", rows[0]->name,
		 e.tm_year + 1900, e.tm_mon + 1, e.tm_mday, e.tm_hour, e.tm_min, (unsigned)(rows[0]->window / 1000),
		 !was && (lane[0] || tenant[0]) ? "; that first time with all common context, where its own lies among the others'"
						: ""));
}

static void check_row(struct exam *x, struct json_object *r)
{
	const char *kind = jgets(r, "kind"), *name = jgets(r, "name"), *label = apr_pstrcat(x->p, kind, " ", name, NULL), *slash;
	struct json_object *was = row(x->now, kind, name);
	int known, n;

	if (!strcmp(kind, "lane") || !strcmp(kind, "server")) {
		if (!row(x->next, "service", jgets(r, "service")))
			say(x, 1, label, apr_psprintf(x->p, "service %s is not in the table", jgets(r, "service")));
		if (was && !strcmp(kind, "lane") && strcmp(jgets(was, "service"), jgets(r, "service")))
			say(x, 1, label, "a lane cannot change its service; make a new lane");
	} else if (!strcmp(kind, "retention")) {
		check_retention(x, r, was, label);
	} else if (!strcmp(kind, "key")) {
		if (!row(x->next, "tenant", jgets(r, "tenant")))
			say(x, 1, label, apr_psprintf(x->p, "tenant %s is not in the table", jgets(r, "tenant")));
	} else if (!strcmp(kind, "service")) {
		n = places(x, name, jgets(r, "weights"), &known);
		if (!count(x->next, "server", "service", name))
			say(x, 1, label, "no server serves it: its lanes would be cut off");
		else if (x->servers && !n)
			say(x, 0, label, "none of its servers reports");
		if (was && strcmp(jgets(was, "weights"), jgets(r, "weights")) && x->servers && !known)
			say(x, 0, label,
			    apr_psprintf(x->p, "weights %s are not loaded anywhere yet: a roll-out begins", jgets(r, "weights")));
	} else if (!strcmp(kind, "share")) {
		const char *lane, *tenant;
		struct json_object *l, *t;

		slash = strchr(name, '/');
		lane = slash ? apr_pstrmemdup(x->p, name, (size_t)(slash - name)) : "";
		tenant = slash ? slash + 1 : "";
		l = row(x->next, "lane", lane);
		t = row(x->next, "tenant", tenant);
		if (!l)
			say(x, 1, label, apr_psprintf(x->p, "lane %s is not in the table", lane));
		if (!t)
			say(x, 1, label, apr_psprintf(x->p, "tenant %s is not in the table", tenant));
		if (l && (n = places(x, jgets(l, "service"), "", &known)) && jgeti(r, "limit") > n)
			say(x, 0, label,
			    apr_psprintf(x->p, "limit %" APR_INT64_T_FMT " is above the %d places that the lane's servers report",
					 jgeti(r, "limit"), n));
		if (t && jgeti(r, "limit") > jgeti(t, "limit"))
			say(x, 0, label, "limit is above the tenant's own: it never bites");
	}
}

/* Shares add up when every tenant of a lane has one, or none has: a mixture weighs two scales against each other. */
static void check_shares(struct exam *x)
{
	for (size_t i = 0; i < json_object_array_length(x->next); i++) {
		struct json_object *l = json_object_array_get_idx(x->next, i);
		int with = 0, without = 0;
		int64_t sum = 0, least = INT64_MAX;

		if (strcmp(jgets(l, "kind"), "lane"))
			continue;
		for (size_t k = 0; k < json_object_array_length(x->next); k++) {
			struct json_object *t = json_object_array_get_idx(x->next, k), *s;

			if (strcmp(jgets(t, "kind"), "tenant"))
				continue;
			s = row(x->next, "share", apr_pstrcat(x->p, jgets(l, "name"), "/", jgets(t, "name"), NULL));
			with += s != NULL;
			without += s == NULL;
			sum += jgeti(s ? s : t, "share");
			least = jgeti(s ? s : t, "share") < least ? jgeti(s ? s : t, "share") : least;
		}
		if (with && without)
			say(x, 0, apr_pstrcat(x->p, "lane ", jgets(l, "name"), NULL),
			    apr_psprintf(
				x->p, "shares do not add up: %d tenants have one in this lane, %d fall back to their general one",
				with, without));
		if (sum && least * 200 < sum)
			say(x, 0, apr_pstrcat(x->p, "lane ", jgets(l, "name"), NULL),
			    "a tenant's share is under half a percent of the sum");
	}
}

static void check_cuts(struct exam *x)
{
	for (size_t i = 0; i < json_object_array_length(x->now); i++) {
		struct json_object *r = json_object_array_get_idx(x->now, i);
		const char *kind = jgets(r, "kind"), *name = jgets(r, "name"), *label = apr_pstrcat(x->p, kind, " ", name, NULL);

		if (!strcmp(kind, "tenant") && !row(x->next, "tenant", name) && count(x->now, "key", "tenant", name))
			say(x, 1, label, "would be cut off: it has keys and its row goes");
		if (!strcmp(kind, "tenant") && row(x->next, "tenant", name) && count(x->now, "key", "tenant", name) &&
		    !count(x->next, "key", "tenant", name))
			say(x, 1, label, "would be cut off: its last key goes");
		if (!strcmp(kind, "lane") && !row(x->next, "lane", name))
			say(x, 0, label, "goes: what waits in it is refused");
	}
}

/* The table as it would be: what is there, with the change's rows put over it. */
static void lay_over(struct exam *x, struct json_object *change)
{
	struct json_object *set = jget(change, "set"), *del = jget(change, "del");

	x->next = json_object_new_array();
	for (size_t i = 0; i < json_object_array_length(x->now); i++) {
		struct json_object *r = json_object_array_get_idx(x->now, i);

		if ((set && row(set, jgets(r, "kind"), jgets(r, "name"))) || (del && row(del, jgets(r, "kind"), jgets(r, "name"))))
			continue;
		json_object_array_add(x->next, json_object_get(r));
	}
	for (size_t i = 0; set && i < json_object_array_length(set); i++)
		json_object_array_add(x->next, json_object_get(json_object_array_get_idx(set, i)));
}

static struct json_object *get(const char *addr, const char *path)
{
	char *body = NULL;
	struct json_object *j = http_do("GET", addr, path, NULL, NULL, 7000, &body) == 200 ? json_tokener_parse(body) : NULL;

	free(body);
	return j;
}

/* NOLINTNEXTLINE(readability-function-size): the command line, option by option */
int main(int argc, char **argv)
{
	struct arg_str *at = arg_str0(NULL, "at", "IP:PORT", "a registrar's web address"),
		       *ctr = arg_str0(NULL, "counter", "IP:PORT", "a counter's web address: what servers report");
	struct arg_lit *json = arg_lit0(NULL, "json", "findings as JSON"), *help = arg_lit0("h", "help", "say how it is called");
	struct arg_lit *version = arg_lit0(NULL, "version", "say the version");
	struct arg_file *file = arg_file0(NULL, NULL, "FILE", "a sheet, or a change as JSON; - is standard input");
	struct arg_end *end = arg_end(5);
	void *t[] = { at, ctr, json, help, version, file, end };
	struct exam x;
	struct json_object *table = NULL, *state = NULL, *change = NULL, *sheet;
	const char *why = NULL, *reg = "127.0.0.1:8000";
	struct Nl__Change *c;
	struct table empty;
	char *text = NULL;
	int rc = USAGE, bad;

	memset(&x, 0, sizeof x);
	apr_initialize();
	apr_pool_create(&x.p, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	bad = arg_parse(argc, argv, t);
	if (help->count) {
		printf("Usage: examiner");
		arg_print_syntax(stdout, t, "\n");
		arg_print_glossary(stdout, t, "  %-24s %s\n");
		printf("Ends with 0 good, 1 faults found, 2 wrong call, 3 the fleet cannot be reached.\n");
		rc = GOOD;
		goto end;
	}
	if (version->count) {
		printf("examiner (notchlug) %s\n", NL_VERSION);
		rc = GOOD;
		goto end;
	}
	if (bad || !file->count) {
		arg_print_errors(stderr, end, "examiner");
		fprintf(stderr, "examiner: give a FILE; see --help\n");
		goto end;
	}
	if (at->count)
		reg = at->sval[0];
	text = file_read(file->filename[0]);
	if (!text) {
		fprintf(stderr, "examiner: %s: cannot be read\n", file->filename[0]);
		goto end;
	}
	table = get(reg, "/v1/table");
	if (!table) {
		fprintf(stderr, "examiner: step table, at %s: nobody answers\n", reg);
		rc = UNREACHED;
		goto end;
	}
	if (ctr->count && !(state = get(ctr->sval[0], "/v1/state"))) {
		fprintf(stderr, "examiner: step state, at %s: nobody answers\n", ctr->sval[0]);
		rc = UNREACHED;
		goto end;
	}
	if (text[strspn(text, " \t\r\n")] == '{') {
		change = json_tokener_parse(text);
		if (!change)
			why = "not JSON";
	} else if ((sheet = sheet_parse(text, x.p, &why))) {
		change = sheet_diff(table, sheet);
		json_object_put(sheet);
	}
	if (why) {
		fprintf(stderr, "examiner: %s: %s\n", file->filename[0], why);
		goto end;
	}
	x.found = json_object_new_array();
	x.now = jget(table, "rows");
	x.servers = jget(state, "servers");
	if ((jget(change, "set") && json_object_array_length(jget(change, "set"))) ||
	    (jget(change, "del") && json_object_array_length(jget(change, "del")))) {
		c = table_change_parse(json_object_to_json_string(change), x.p, &why);
		table_open(&empty);
		if (c) {
			c->n_del = 0; /* whether rows to take out exist is judged against the real table */
			why = table_check(&empty, c, x.p);
		}
		if (why)
			say(&x, 1, "change", why);
		table_close(&empty);
	}
	/* as the controllers judge it: an operator's change since then overtakes */
	if (jget(change, "expect") && jgeti(change, "expect") < jgeti(table, "plan"))
		say(&x, 1, "change",
		    apr_psprintf(
			x.p, "edition %" APR_INT64_T_FMT " is overtaken: operators changed the table in edition %" APR_INT64_T_FMT,
			jgeti(change, "expect"), jgeti(table, "plan")));
	lay_over(&x, change);
	for (size_t i = 0; i < json_object_array_length(x.next); i++)
		check_row(&x, json_object_array_get_idx(x.next, i));
	check_shares(&x);
	check_cuts(&x);
	rc = x.faults ? FAULTS : GOOD;
	if (json->count) {
		struct json_object *o = json_object_new_object();

		json_object_object_add(o, "good", json_object_new_boolean(!x.faults));
		json_object_object_add(o, "findings", json_object_get(x.found));
		printf("%s\n", json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
		json_object_put(o);
	} else {
		for (size_t i = 0; i < json_object_array_length(x.found); i++) {
			struct json_object *f = json_object_array_get_idx(x.found, i);

			printf("%s: %s: %s\n", jgets(f, "grade"), jgets(f, "row"), jgets(f, "why"));
		}
		printf("%d faults, %d warnings\n", x.faults, x.warnings);
	}
end:
	free(text);
	if (x.found)
		json_object_put(x.found);
	if (x.next)
		json_object_put(x.next);
	if (change)
		json_object_put(change);
	if (state)
		json_object_put(state);
	if (table)
		json_object_put(table);
	arg_freetable(t, sizeof t / sizeof *t);
	apr_pool_destroy(x.p);
	apr_terminate();
	return rc;
}
