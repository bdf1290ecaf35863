/* notchlug-validate: checks a proposed change of the table, or a table in its text form, against the fleet as
 * it is, before anybody applies it. It reads a controller's table and, if it is given one, a router's state;
 * it changes nothing. Faults would be rejected, or cut somebody off; warnings work, and may not be what was
 * meant. */
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

enum { GOOD = 0, FAULTS = 1, USAGE = 2, UNREACHABLE = 3 }; /* exit codes */
enum { READ_TIMEOUT_MS = 7000 };

/* One validation. */
struct validation {
	apr_pool_t *pool;
	struct json_object *findings;      /* list of {"grade","row","why"}; owned */
	struct json_object *current_rows;  /* borrowed from the table that was read */
	struct json_object *proposed_rows; /* as they would be; owned */
	struct json_object *servers;       /* as a router reports them; NULL: none was asked */
	int faults;
	int warnings;
};

static void add_finding(struct validation *check, const char *grade, const char *label, const char *why)
{
	struct json_object *finding = json_object_new_object();

	json_object_object_add(finding, "grade", json_object_new_string(grade));
	json_object_object_add(finding, "row", json_object_new_string(label));
	json_object_object_add(finding, "why", json_object_new_string(why));
	json_object_array_add(check->findings, finding);
}

static void add_fault(struct validation *check, const char *label, const char *why)
{
	add_finding(check, "fault", label, why);
	check->faults++;
}

static void add_warning(struct validation *check, const char *label, const char *why)
{
	add_finding(check, "warning", label, why);
	check->warnings++;
}

/* What a change would do, neither fault nor warning. */
static void add_note(struct validation *check, const char *label, const char *why)
{
	add_finding(check, "note", label, why);
}

/* The row of a kind and name, borrowed; NULL: there is none. */
static struct json_object *find_row(struct json_object *rows, const char *kind, const char *name)
{
	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *r = json_object_array_get_idx(rows, i);

		if (!strcmp(json_member_string(r, "kind"), kind) &&
		    !strcmp(json_member_string(r, "name"), name))
			return r;
	}
	return NULL;
}

/* How many rows of a kind have this value in a column, without those that drain. */
static int count_rows(struct json_object *rows, const char *kind, const char *column, const char *value)
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

/* Slots that the service's servers report, and whether any has these weights. */
static int reported_slots(struct validation *check, const char *service, const char *weights,
			  int *weights_reported)
{
	int n = 0;

	*weights_reported = 0;
	for (size_t i = 0; check->servers && i < json_object_array_length(check->servers); i++) {
		struct json_object *s = json_object_array_get_idx(check->servers, i),
				   *json = find_row(check->proposed_rows, "server",
						    json_member_string(s, "server"));

		if (!json || strcmp(json_member_string(json, "service"), service))
			continue;
		n += (int)json_member_int(s, "slots");
		*weights_reported |= !strcmp(json_member_string(s, "weights"), weights);
	}
	return n;
}

/* What a retention row purges, and when for the first time. */
static void check_retention(struct validation *check, struct json_object *json, struct json_object *was,
			    const char *label)
{
	int64_t wall = clock_wall_ms();
	struct Nl__Change change = NL__CHANGE__INIT;
	struct Nl__Row *rows[1];
	const char *why = NULL;
	char route[RETENTION_SCOPE_BYTES], tenant[RETENTION_SCOPE_BYTES];
	apr_time_exp_t e;
	int64_t due;

	rows[0] = config_row_parse(json, check->pool, &why);
	change.set = rows;
	change.n_set = 1;
	if (!rows[0] || retention_check_row(rows[0]))
		return; /* found before, by check_change */
	(void)retention_parse_scope(rows[0]->name, route, tenant);
	if (route[0] && !find_row(check->proposed_rows, "lane", route))
		add_fault(check, label, apr_psprintf(check->pool, "lane %s is not in the table", route));
	if (tenant[0] && !find_row(check->proposed_rows, "tenant", tenant))
		add_fault(check, label, apr_psprintf(check->pool, "tenant %s is not in the table", tenant));
	if ((why = retention_check_calendar(&calendar_icu, &change, wall, check->pool))) {
		add_fault(check, label, why);
		return;
	}
	due = retention_next_due(&calendar_icu, rows[0], wall, wall);
	if ((was && json_object_equal(json, was)) || !due || apr_time_exp_gmt(&e, due * 1000) != APR_SUCCESS)
		return;
	add_note(
	    check, label,
	    apr_psprintf(
		check->pool,
		"would clear the context of %s first at %04d-%02d-%02d %02d:%02d UTC, spread over %u s%s",
		rows[0]->name, e.tm_year + 1900, e.tm_mon + 1, e.tm_mday, e.tm_hour, e.tm_min,
		(unsigned)(rows[0]->spread_ms / 1000),
		!was && (route[0] || tenant[0])
		    ? "; that first time with all common context, where its own lies among the others'"
		    : ""));
}

/* A row that names a service or a tenant names one that there will be. */
static void check_reference(struct validation *check, struct json_object *row, const char *kind,
			    const char *label)
{
	const char *name = json_member_string(row, kind);

	if (!find_row(check->proposed_rows, kind, name))
		add_fault(check, label, apr_psprintf(check->pool, "%s %s is not in the table", kind, name));
}

static void check_route(struct validation *check, struct json_object *row, struct json_object *previous,
			const char *label)
{
	check_reference(check, row, "service", label);
	if (previous && strcmp(json_member_string(previous, "service"), json_member_string(row, "service")))
		add_fault(check, label, "a lane cannot change its service; make a new lane");
}

static void check_service(struct validation *check, struct json_object *row, struct json_object *previous,
			  const char *label)
{
	const char *name = json_member_string(row, "name");
	const char *weights = json_member_string(row, "weights");
	int weights_reported;
	int slots = reported_slots(check, name, weights, &weights_reported);

	if (!count_rows(check->proposed_rows, "server", "service", name))
		add_fault(check, label, "no server serves it: its lanes would be cut off");
	else if (check->servers && !slots)
		add_warning(check, label, "none of its servers reports");
	if (previous && strcmp(json_member_string(previous, "weights"), weights) && check->servers &&
	    !weights_reported)
		add_warning(check, label,
			    apr_psprintf(check->pool,
					 "weights %s are not loaded anywhere yet: a roll-out begins",
					 weights));
}

static void check_share(struct validation *check, struct json_object *row, const char *label)
{
	const char *name = json_member_string(row, "name");
	const char *slash = strchr(name, '/');
	const char *route = slash ? apr_pstrmemdup(check->pool, name, (size_t)(slash - name)) : "";
	const char *tenant = slash ? slash + 1 : "";
	struct json_object *route_row = find_row(check->proposed_rows, "lane", route);
	struct json_object *tenant_row = find_row(check->proposed_rows, "tenant", tenant);
	int64_t limit = json_member_int(row, "limit");
	int weights_reported, slots = 0;

	if (!route_row)
		add_fault(check, label, apr_psprintf(check->pool, "lane %s is not in the table", route));
	if (!tenant_row)
		add_fault(check, label, apr_psprintf(check->pool, "tenant %s is not in the table", tenant));
	if (route_row)
		slots =
		    reported_slots(check, json_member_string(route_row, "service"), "", &weights_reported);
	if (slots && limit > slots)
		add_warning(check, label,
			    apr_psprintf(check->pool,
					 "limit %" APR_INT64_T_FMT
					 " is above the %d places that the lane's servers report",
					 limit, slots));
	if (tenant_row && limit > json_member_int(tenant_row, "limit"))
		add_warning(check, label, "limit is above the tenant's own: it never bites");
}

static void check_row(struct validation *check, struct json_object *row)
{
	const char *kind = json_member_string(row, "kind"), *name = json_member_string(row, "name");
	const char *label = apr_pstrcat(check->pool, kind, " ", name, NULL);
	struct json_object *previous = find_row(check->current_rows, kind, name);

	if (!strcmp(kind, "lane"))
		check_route(check, row, previous, label);
	else if (!strcmp(kind, "server"))
		check_reference(check, row, "service", label);
	else if (!strcmp(kind, "retention"))
		check_retention(check, row, previous, label);
	else if (!strcmp(kind, "key"))
		check_reference(check, row, "tenant", label);
	else if (!strcmp(kind, "service"))
		check_service(check, row, previous, label);
	else if (!strcmp(kind, "share"))
		check_share(check, row, label);
}

/* Shares add up when every tenant of a route has one, or none has: a mixture weighs two scales against each
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
			s = find_row(check->proposed_rows, "share",
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
			add_warning(
			    check, apr_pstrcat(check->pool, "lane ", json_member_string(json, "name"), NULL),
			    apr_psprintf(
				check->pool,
				"shares do not add up: %d tenants have one in this lane, %d fall back to their general one",
				with, without));
		if (sum && least * 200 < sum)
			add_warning(check,
				    apr_pstrcat(check->pool, "lane ", json_member_string(json, "name"), NULL),
				    "a tenant's share is under half a percent of the sum");
	}
}

/* Rows that go, and whom that cuts off. */
static void check_removals(struct validation *check)
{
	for (size_t i = 0; i < json_object_array_length(check->current_rows); i++) {
		struct json_object *json = json_object_array_get_idx(check->current_rows, i);
		const char *kind = json_member_string(json, "kind"), *name = json_member_string(json, "name"),
			   *label = apr_pstrcat(check->pool, kind, " ", name, NULL);

		if (!strcmp(kind, "tenant") && !find_row(check->proposed_rows, "tenant", name) &&
		    count_rows(check->current_rows, "key", "tenant", name))
			add_fault(check, label, "would be cut off: it has keys and its row goes");
		if (!strcmp(kind, "tenant") && find_row(check->proposed_rows, "tenant", name) &&
		    count_rows(check->current_rows, "key", "tenant", name) &&
		    !count_rows(check->proposed_rows, "key", "tenant", name))
			add_fault(check, label, "would be cut off: its last key goes");
		if (!strcmp(kind, "lane") && !find_row(check->proposed_rows, "lane", name))
			add_warning(check, label, "goes: what waits in it is refused");
	}
}

/* The table as it would be: what is there, with the change's rows put over it. */
static void overlay_change(struct validation *check, struct json_object *change)
{
	struct json_object *set = json_member(change, "set"), *del = json_member(change, "del");

	check->proposed_rows = json_object_new_array();
	for (size_t i = 0; i < json_object_array_length(check->current_rows); i++) {
		struct json_object *json = json_object_array_get_idx(check->current_rows, i);

		if ((set &&
		     find_row(set, json_member_string(json, "kind"), json_member_string(json, "name"))) ||
		    (del &&
		     find_row(del, json_member_string(json, "kind"), json_member_string(json, "name"))))
			continue;
		json_object_array_add(check->proposed_rows, json_object_get(json));
	}
	for (size_t i = 0; set && i < json_object_array_length(set); i++)
		json_object_array_add(check->proposed_rows,
				      json_object_get(json_object_array_get_idx(set, i)));
}

/* A reading of a node, released by the caller; NULL: nobody answers. */
static struct json_object *get(const char *addr, const char *path)
{
	char *body = NULL;
	struct json_object *json =
	    http_call_blocking("GET", addr, path, NULL, NULL, READ_TIMEOUT_MS, &body) == 200
		? json_tokener_parse(body)
		: NULL;

	free(body);
	return json;
}

/* ---- the command line ---- */

/* Which controller and router are asked, about which file. */
struct options {
	const char *controller_addr;
	const char *router_addr; /* NULL: no router is asked */
	const char *path;
	int as_json;
};

/* What is read from the fleet and the file; all owned. */
struct input {
	struct json_object *table;
	struct json_object *state; /* of a router; NULL: none was asked */
	struct json_object *change;
};

static void free_input(struct input *input)
{
	if (input->change)
		json_object_put(input->change);
	if (input->state)
		json_object_put(input->state);
	if (input->table)
		json_object_put(input->table);
}

/* Returns 0, or an exit code after the message. */
static int read_fleet(const struct options *options, struct input *input)
{
	input->table = get(options->controller_addr, "/v1/table");
	if (!input->table) {
		fprintf(stderr, "notchlug-validate: step table, at %s: nobody answers\n",
			options->controller_addr);
		return UNREACHABLE;
	}
	if (!options->router_addr)
		return 0;
	input->state = get(options->router_addr, "/v1/state");
	if (!input->state) {
		fprintf(stderr, "notchlug-validate: step state, at %s: nobody answers\n",
			options->router_addr);
		return UNREACHABLE;
	}
	return 0;
}

/* The change in a text: as JSON, or what a text form of the table would change. Returns NULL, or what is
 * wrong. */
static const char *parse_change(const char *text, struct input *input, apr_pool_t *pool)
{
	const char *why = NULL;
	struct json_object *proposed;

	if (text[strspn(text, " \t\r\n")] == '{') {
		input->change = json_tokener_parse(text);
		return input->change ? NULL : "not JSON";
	}
	proposed = config_text_parse(text, pool, &why);
	if (!proposed)
		return why;
	input->change = config_text_diff(input->table, proposed);
	json_object_put(proposed);
	return why;
}

/* Returns 0, or an exit code after the message. */
static int read_input(const struct options *options, struct input *input, apr_pool_t *pool)
{
	char *text = file_read(options->path);
	const char *why;
	int rc;

	if (!text) {
		fprintf(stderr, "notchlug-validate: %s: cannot be read\n", options->path);
		return USAGE;
	}
	rc = read_fleet(options, input);
	if (rc) {
		free(text);
		return rc;
	}
	why = parse_change(text, input, pool);
	free(text);
	if (!why)
		return 0;
	fprintf(stderr, "notchlug-validate: %s: %s\n", options->path, why);
	return USAGE;
}

static int has_rows(struct json_object *change, const char *what)
{
	struct json_object *rows = json_member(change, what);

	return rows && json_object_array_length(rows);
}

/* The change by itself, as the controllers check it. */
static void check_change(struct validation *check, struct json_object *change)
{
	struct config_table empty;
	struct Nl__Change *parsed;
	const char *why = NULL;

	if (!has_rows(change, "set") && !has_rows(change, "del"))
		return;
	parsed = config_change_parse(json_object_to_json_string(change), check->pool, &why);
	config_table_open(&empty);
	if (parsed) {
		parsed->n_deleted =
		    0; /* whether rows to be removed exist is checked against the real table */
		why = config_check_change(&empty, parsed, check->pool);
	}
	if (why)
		add_fault(check, "change", why);
	config_table_close(&empty);
}

/* As the controllers decide it: an operator's change since then supersedes this one. */
static void check_revision(struct validation *check, struct json_object *change, struct json_object *table)
{
	int64_t expected = json_member_int(change, "expect"), changed = json_member_int(table, "plan");

	if (json_member(change, "expect") && expected < changed)
		add_fault(
		    check, "change",
		    apr_psprintf(check->pool,
				 "edition %" APR_INT64_T_FMT
				 " is overtaken: operators changed the table in edition %" APR_INT64_T_FMT,
				 expected, changed));
}

static void print_findings(const struct validation *check)
{
	for (size_t i = 0; i < json_object_array_length(check->findings); i++) {
		struct json_object *finding = json_object_array_get_idx(check->findings, i);

		printf("%s: %s: %s\n", json_member_string(finding, "grade"),
		       json_member_string(finding, "row"), json_member_string(finding, "why"));
	}
	printf("%d faults, %d warnings\n", check->faults, check->warnings);
}

static void print_findings_json(const struct validation *check)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "good", json_object_new_boolean(!check->faults));
	json_object_object_add(json, "findings", json_object_get(check->findings));
	printf("%s\n", json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
}

/* Returns the exit code. */
static int validate(const struct options *options, apr_pool_t *pool)
{
	struct validation check = { .pool = pool };
	struct input input = { NULL, NULL, NULL };
	int rc = read_input(options, &input, pool);

	if (rc) {
		free_input(&input);
		return rc;
	}
	check.findings = json_object_new_array();
	check.current_rows = json_member(input.table, "rows");
	check.servers = json_member(input.state, "servers");
	check_change(&check, input.change);
	check_revision(&check, input.change, input.table);
	overlay_change(&check, input.change);
	for (size_t i = 0; i < json_object_array_length(check.proposed_rows); i++)
		check_row(&check, json_object_array_get_idx(check.proposed_rows, i));
	check_shares(&check);
	check_removals(&check);
	if (options->as_json)
		print_findings_json(&check);
	else
		print_findings(&check);
	json_object_put(check.findings);
	json_object_put(check.proposed_rows);
	free_input(&input);
	return check.faults ? FAULTS : GOOD;
}

int main(int argc, char **argv)
{
	struct arg_str *at = arg_str0(NULL, "at", "IP:PORT", "a controller's web address");
	struct arg_str *router =
	    arg_str0(NULL, "counter", "IP:PORT", "a router's web address: what servers report");
	struct arg_lit *json = arg_lit0(NULL, "json", "findings as JSON");
	struct arg_lit *help = arg_lit0("h", "help", "say how it is called");
	struct arg_lit *version = arg_lit0(NULL, "version", "say the version");
	struct arg_file *file =
	    arg_file0(NULL, NULL, "FILE", "a sheet, or a change as JSON; - is standard input");
	struct arg_end *end = arg_end(5);
	void *table[] = { at, router, json, help, version, file, end };
	apr_pool_t *pool;
	int rc = GOOD, errors;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	errors = arg_parse(argc, argv, table);
	if (help->count) {
		printf("Usage: notchlug-validate");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		printf("Ends with 0 good, 1 faults found, 2 wrong call, 3 the fleet cannot be reached.\n");
	} else if (version->count) {
		printf("notchlug-validate (notchlug) %s\n", NL_VERSION);
	} else if (errors || !file->count) {
		arg_print_errors(stderr, end, "notchlug-validate");
		fprintf(stderr, "notchlug-validate: give a FILE; see --help\n");
		rc = USAGE;
	} else {
		const struct options options = { .controller_addr =
						     at->count ? at->sval[0] : "127.0.0.1:8000",
						 .router_addr = router->count ? router->sval[0] : NULL,
						 .path = file->filename[0],
						 .as_json = json->count };

		rc = validate(&options, pool);
	}
	arg_freetable(table, sizeof table / sizeof *table);
	apr_pool_destroy(pool);
	apr_terminate();
	return rc;
}
