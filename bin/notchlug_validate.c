/* notchlug-validate: checks a proposed change of the configuration table, or a table in its text form,
 * against the present state of the fleet. It reads the table from a controller and, with --counter, the state
 * of a router; it changes nothing.
 *
 * Findings have three grades. A fault is a change that controllers would reject or that would leave a tenant
 * or a route without service. A warning is a valid change that may not be intended. A note describes an
 * effect of the change. */
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

/* The state of one validation. */
struct validation {
	apr_pool_t *pool;
	struct json_object *findings;      /* array of {"grade","row","why"}; owned */
	struct json_object *current_rows;  /* of the table that was read; borrowed */
	struct json_object *proposed_rows; /* the rows after the change; owned */
	struct json_object *servers;       /* from a router's state, borrowed; NULL: no router was given */
	int fault_count;
	int warning_count;
};

static void add_finding(struct validation *validation, const char *grade, const char *label,
			const char *message)
{
	struct json_object *finding = json_object_new_object();

	json_object_object_add(finding, "grade", json_object_new_string(grade));
	json_object_object_add(finding, "row", json_object_new_string(label));
	json_object_object_add(finding, "why", json_object_new_string(message));
	json_object_array_add(validation->findings, finding);
}

static void add_fault(struct validation *validation, const char *label, const char *message)
{
	add_finding(validation, "fault", label, message);
	validation->fault_count++;
}

static void add_warning(struct validation *validation, const char *label, const char *message)
{
	add_finding(validation, "warning", label, message);
	validation->warning_count++;
}

/* Adds a finding that describes an effect of the change without objecting to it. */
static void add_note(struct validation *validation, const char *label, const char *message)
{
	add_finding(validation, "note", label, message);
}

/* Returns the row with this kind and name, borrowed from rows; NULL: there is none. */
static struct json_object *find_row(struct json_object *rows, const char *kind, const char *name)
{
	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		if (!strcmp(json_member_string(row, "kind"), kind) &&
		    !strcmp(json_member_string(row, "name"), name))
			return row;
	}
	return NULL;
}

/* Counts the rows of a kind that have this value in a column. Draining rows are not counted. */
static int count_rows(struct json_object *rows, const char *kind, const char *column, const char *value)
{
	int count = 0;

	for (size_t i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		count += !strcmp(json_member_string(row, "kind"), kind) &&
			 !strcmp(json_member_string(row, column), value) &&
			 strcmp(json_member_string(row, "state"), "draining");
	}
	return count;
}

/* Returns the number of slots that the servers of a service report. *weights_reported: whether at least one
 * of these servers reports this version of the weights. */
static int count_reported_slots(struct validation *validation, const char *service, const char *weights,
				int *weights_reported)
{
	int slot_count = 0;

	*weights_reported = 0;
	for (size_t i = 0; validation->servers && i < json_object_array_length(validation->servers); i++) {
		struct json_object *server = json_object_array_get_idx(validation->servers, i),
				   *server_row = find_row(validation->proposed_rows, "server",
							  json_member_string(server, "server"));

		if (!server_row || strcmp(json_member_string(server_row, "service"), service))
			continue;
		slot_count += (int)json_member_int(server, "slots");
		*weights_reported |= !strcmp(json_member_string(server, "weights"), weights);
	}
	return slot_count;
}

/* Checks a retention row, and adds a note that names the scope and the time of its first purge. */
static void check_retention_row(struct validation *validation, struct json_object *row,
				struct json_object *previous, const char *label)
{
	int64_t wall = clock_wall_ms();
	struct Nl__Change change = NL__CHANGE__INIT;
	struct Nl__Row *rows[1];
	const char *error = NULL;
	char route[RETENTION_SCOPE_BYTES], tenant[RETENTION_SCOPE_BYTES];
	apr_time_exp_t due_utc;
	int64_t due_at_ms;

	rows[0] = config_row_parse(row, validation->pool, &error);
	change.set = rows;
	change.n_set = 1;
	if (!rows[0] || retention_check_row(rows[0]))
		return; /* check_change_alone has added this fault */
	(void)retention_parse_scope(rows[0]->name, route, tenant);
	if (route[0] && !find_row(validation->proposed_rows, "lane", route))
		add_fault(validation, label,
			  apr_psprintf(validation->pool, "lane %s is not in the table", route));
	if (tenant[0] && !find_row(validation->proposed_rows, "tenant", tenant))
		add_fault(validation, label,
			  apr_psprintf(validation->pool, "tenant %s is not in the table", tenant));
	if ((error = retention_check_calendar(&calendar_icu, &change, wall, validation->pool))) {
		add_fault(validation, label, error);
		return;
	}
	due_at_ms = retention_next_due(&calendar_icu, rows[0], wall, wall);
	if ((previous && json_object_equal(row, previous)) || !due_at_ms ||
	    apr_time_exp_gmt(&due_utc, due_at_ms * 1000) != APR_SUCCESS)
		return;
	add_note(
	    validation, label,
	    apr_psprintf(
		validation->pool,
		"would first purge the cached context of %s at %04d-%02d-%02d %02d:%02d UTC, spread over %u s%s",
		rows[0]->name, due_utc.tm_year + 1900, due_utc.tm_mon + 1, due_utc.tm_mday, due_utc.tm_hour,
		due_utc.tm_min, (unsigned)(rows[0]->spread_ms / 1000),
		!previous && (route[0] || tenant[0])
		    ? "; the first purge also removes all shared context, because the context of this scope is still stored with that of the others"
		    : ""));
}

/* Checks that the service or tenant named in a row exists after the change. */
static void check_referenced_row(struct validation *validation, struct json_object *row, const char *kind,
				 const char *label)
{
	const char *name = json_member_string(row, kind);

	if (!find_row(validation->proposed_rows, kind, name))
		add_fault(validation, label,
			  apr_psprintf(validation->pool, "%s %s is not in the table", kind, name));
}

static void check_route_row(struct validation *validation, struct json_object *row,
			    struct json_object *previous, const char *label)
{
	check_referenced_row(validation, row, "service", label);
	if (previous && strcmp(json_member_string(previous, "service"), json_member_string(row, "service")))
		add_fault(validation, label, "the service of a route cannot be changed; add a new route");
}

static void check_service_row(struct validation *validation, struct json_object *row,
			      struct json_object *previous, const char *label)
{
	const char *name = json_member_string(row, "name");
	const char *weights = json_member_string(row, "weights");
	int weights_reported;
	int slots = count_reported_slots(validation, name, weights, &weights_reported);

	if (!count_rows(validation->proposed_rows, "server", "service", name))
		add_fault(validation, label,
			  "no server would be left for this service: its routes would be out of service");
	else if (validation->servers && !slots)
		add_warning(validation, label, "no server of this service reports its state");
	if (previous && strcmp(json_member_string(previous, "weights"), weights) && validation->servers &&
	    !weights_reported)
		add_warning(validation, label,
			    apr_psprintf(validation->pool,
					 "no server has loaded weights %s yet: the change starts a rollout",
					 weights));
}

static void check_share_row(struct validation *validation, struct json_object *row, const char *label)
{
	const char *name = json_member_string(row, "name");
	const char *slash = strchr(name, '/');
	const char *route = slash ? apr_pstrmemdup(validation->pool, name, (size_t)(slash - name)) : "";
	const char *tenant = slash ? slash + 1 : "";
	struct json_object *route_row = find_row(validation->proposed_rows, "lane", route);
	struct json_object *tenant_row = find_row(validation->proposed_rows, "tenant", tenant);
	int64_t limit = json_member_int(row, "limit");
	int weights_reported, slots = 0;

	if (!route_row)
		add_fault(validation, label,
			  apr_psprintf(validation->pool, "lane %s is not in the table", route));
	if (!tenant_row)
		add_fault(validation, label,
			  apr_psprintf(validation->pool, "tenant %s is not in the table", tenant));
	if (route_row)
		slots = count_reported_slots(validation, json_member_string(route_row, "service"), "",
					     &weights_reported);
	if (slots && limit > slots)
		add_warning(validation, label,
			    apr_psprintf(validation->pool,
					 "limit %" APR_INT64_T_FMT
					 " is above the %d slots that the servers of the route report",
					 limit, slots));
	if (tenant_row && limit > json_member_int(tenant_row, "limit"))
		add_warning(validation, label, "limit has no effect: it is above the tenant's overall limit");
}

static void check_row(struct validation *validation, struct json_object *row)
{
	const char *kind = json_member_string(row, "kind"), *name = json_member_string(row, "name");
	const char *label = apr_pstrcat(validation->pool, kind, " ", name, NULL);
	struct json_object *previous = find_row(validation->current_rows, kind, name);

	if (!strcmp(kind, "lane"))
		check_route_row(validation, row, previous, label);
	else if (!strcmp(kind, "server"))
		check_referenced_row(validation, row, "service", label);
	else if (!strcmp(kind, "retention"))
		check_retention_row(validation, row, previous, label);
	else if (!strcmp(kind, "key"))
		check_referenced_row(validation, row, "tenant", label);
	else if (!strcmp(kind, "service"))
		check_service_row(validation, row, previous, label);
	else if (!strcmp(kind, "share"))
		check_share_row(validation, row, label);
}

/* Warns about routes where only some tenants have a share of their own: shares of a route and general shares
 * of tenants are on different scales and cannot be compared. Warns also about a tenant whose share is very
 * small. */
static void check_route_shares(struct validation *validation)
{
	for (size_t i = 0; i < json_object_array_length(validation->proposed_rows); i++) {
		struct json_object *route_row = json_object_array_get_idx(validation->proposed_rows, i);
		int with_share_count = 0, without_share_count = 0;
		int64_t share_sum = 0, smallest_share = INT64_MAX;

		if (strcmp(json_member_string(route_row, "kind"), "lane"))
			continue;
		for (size_t k = 0; k < json_object_array_length(validation->proposed_rows); k++) {
			struct json_object *tenant_row =
					       json_object_array_get_idx(validation->proposed_rows, k),
					   *share_row;

			if (strcmp(json_member_string(tenant_row, "kind"), "tenant"))
				continue;
			share_row =
			    find_row(validation->proposed_rows, "share",
				     apr_pstrcat(validation->pool, json_member_string(route_row, "name"), "/",
						 json_member_string(tenant_row, "name"), NULL));
			with_share_count += share_row != NULL;
			without_share_count += share_row == NULL;
			share_sum += json_member_int(share_row ? share_row : tenant_row, "share");
			smallest_share =
			    json_member_int(share_row ? share_row : tenant_row, "share") < smallest_share
				? json_member_int(share_row ? share_row : tenant_row, "share")
				: smallest_share;
		}
		if (with_share_count && without_share_count)
			add_warning(
			    validation,
			    apr_pstrcat(validation->pool, "lane ", json_member_string(route_row, "name"),
					NULL),
			    apr_psprintf(
				validation->pool,
				"shares are not comparable: %d tenants have a share in this route, %d use their general share",
				with_share_count, without_share_count));
		if (share_sum && smallest_share * 200 < share_sum)
			add_warning(
			    validation,
			    apr_pstrcat(validation->pool, "lane ", json_member_string(route_row, "name"),
					NULL),
			    "the share of a tenant is less than half a percent of the sum of all shares");
	}
}

/* Checks which tenants and waiting requests the deletion of rows would affect. */
static void check_removals(struct validation *validation)
{
	for (size_t i = 0; i < json_object_array_length(validation->current_rows); i++) {
		struct json_object *row = json_object_array_get_idx(validation->current_rows, i);
		const char *kind = json_member_string(row, "kind"), *name = json_member_string(row, "name"),
			   *label = apr_pstrcat(validation->pool, kind, " ", name, NULL);

		if (!strcmp(kind, "tenant") && !find_row(validation->proposed_rows, "tenant", name) &&
		    count_rows(validation->current_rows, "key", "tenant", name))
			add_fault(validation, label,
				  "tenant would lose access: its row is deleted while it still has keys");
		if (!strcmp(kind, "tenant") && find_row(validation->proposed_rows, "tenant", name) &&
		    count_rows(validation->current_rows, "key", "tenant", name) &&
		    !count_rows(validation->proposed_rows, "key", "tenant", name))
			add_fault(validation, label, "tenant would lose access: its last key is deleted");
		if (!strcmp(kind, "lane") && !find_row(validation->proposed_rows, "lane", name))
			add_warning(validation, label,
				    "route is deleted: requests in its queue are rejected");
	}
}

/* Builds the rows of the table as they would be after the change. */
static void build_proposed_rows(struct validation *validation, struct json_object *change)
{
	struct json_object *set_rows = json_member(change, "set"), *deleted_rows = json_member(change, "del");

	validation->proposed_rows = json_object_new_array();
	for (size_t i = 0; i < json_object_array_length(validation->current_rows); i++) {
		struct json_object *row = json_object_array_get_idx(validation->current_rows, i);

		if ((set_rows &&
		     find_row(set_rows, json_member_string(row, "kind"), json_member_string(row, "name"))) ||
		    (deleted_rows && find_row(deleted_rows, json_member_string(row, "kind"),
					      json_member_string(row, "name"))))
			continue;
		json_object_array_add(validation->proposed_rows, json_object_get(row));
	}
	for (size_t i = 0; set_rows && i < json_object_array_length(set_rows); i++)
		json_object_array_add(validation->proposed_rows,
				      json_object_get(json_object_array_get_idx(set_rows, i)));
}

/* Reads a JSON document from a node. The caller releases it. NULL: the read failed. */
static struct json_object *read_json(const char *addr, const char *path)
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

/* The parsed command line. */
struct options {
	const char *controller_addr;
	const char *router_addr; /* NULL: no router state is read */
	const char *file_path;
	int as_json;
};

/* The documents read from the fleet and from the file; all owned. */
struct input {
	struct json_object *table;
	struct json_object *state; /* of a router; NULL: no router was given */
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

/* Reads the table and the router's state. Returns 0, or the exit code after an error is printed. */
static int read_fleet(const struct options *options, struct input *input)
{
	input->table = read_json(options->controller_addr, "/v1/table");
	if (!input->table) {
		fprintf(stderr, "notchlug-validate: reading the table from controller %s failed\n",
			options->controller_addr);
		return UNREACHABLE;
	}
	if (!options->router_addr)
		return 0;
	input->state = read_json(options->router_addr, "/v1/state");
	if (!input->state) {
		fprintf(stderr, "notchlug-validate: reading the state from router %s failed\n",
			options->router_addr);
		return UNREACHABLE;
	}
	return 0;
}

/* Parses a proposed change: either a change as JSON, or the text form of a table, which is compared with the
 * present table. Returns NULL, or the error. */
static const char *parse_change(const char *text, struct input *input, apr_pool_t *pool)
{
	const char *error = NULL;
	struct json_object *proposed;

	if (text[strspn(text, " \t\r\n")] == '{') {
		input->change = json_tokener_parse(text);
		return input->change ? NULL : "change is not valid JSON";
	}
	proposed = config_text_parse(text, pool, &error);
	if (!proposed)
		return error;
	input->change = config_text_diff(input->table, proposed);
	json_object_put(proposed);
	return error;
}

/* Reads the file and the fleet. Returns 0, or the exit code after an error is printed. */
static int read_input(const struct options *options, struct input *input, apr_pool_t *pool)
{
	char *text = file_read(options->file_path);
	const char *error;
	int rc;

	if (!text) {
		fprintf(stderr, "notchlug-validate: file %s cannot be read\n", options->file_path);
		return USAGE;
	}
	rc = read_fleet(options, input);
	if (rc) {
		free(text);
		return rc;
	}
	error = parse_change(text, input, pool);
	free(text);
	if (!error)
		return 0;
	fprintf(stderr, "notchlug-validate: %s: %s\n", options->file_path, error);
	return USAGE;
}

static int has_listed_rows(struct json_object *change, const char *list_name)
{
	struct json_object *rows = json_member(change, list_name);

	return rows && json_object_array_length(rows);
}

/* Applies the controllers' own checks to the change, without regard to the rows that the table has now. */
static void check_change_alone(struct validation *validation, struct json_object *change)
{
	struct config_table empty_table;
	struct Nl__Change *parsed_change;
	const char *error = NULL;

	if (!has_listed_rows(change, "set") && !has_listed_rows(change, "del"))
		return;
	parsed_change = config_change_parse(json_object_to_json_string(change), validation->pool, &error);
	config_table_open(&empty_table);
	if (parsed_change) {
		parsed_change->n_deleted =
		    0; /* whether the deleted rows exist cannot be checked against an empty table */
		error = config_check_change(&empty_table, parsed_change, validation->pool);
	}
	if (error)
		add_fault(validation, "change", error);
	config_table_close(&empty_table);
}

/* Controllers reject a change if an operator has changed the table after the revision that the change
 * expects. */
static void check_expected_revision(struct validation *validation, struct json_object *change,
				    struct json_object *table)
{
	int64_t expected_revision = json_member_int(change, "expect"),
		operator_revision = json_member_int(table, "plan");

	if (json_member(change, "expect") && expected_revision < operator_revision)
		add_fault(
		    validation, "change",
		    apr_psprintf(validation->pool,
				 "expected edition %" APR_INT64_T_FMT
				 " is out of date: operators changed the table in edition %" APR_INT64_T_FMT,
				 expected_revision, operator_revision));
}

static void print_findings(const struct validation *validation)
{
	for (size_t i = 0; i < json_object_array_length(validation->findings); i++) {
		struct json_object *finding = json_object_array_get_idx(validation->findings, i);

		printf("%s: %s: %s\n", json_member_string(finding, "grade"),
		       json_member_string(finding, "row"), json_member_string(finding, "why"));
	}
	printf("%d faults, %d warnings\n", validation->fault_count, validation->warning_count);
}

static void print_findings_json(const struct validation *validation)
{
	struct json_object *report = json_object_new_object();

	json_object_object_add(report, "good", json_object_new_boolean(!validation->fault_count));
	json_object_object_add(report, "findings", json_object_get(validation->findings));
	printf("%s\n", json_object_to_json_string_ext(report, JSON_C_TO_STRING_PLAIN));
	json_object_put(report);
}

/* Returns the exit code. */
static int validate(const struct options *options, apr_pool_t *pool)
{
	struct validation validation = { .pool = pool };
	struct input input = { NULL, NULL, NULL };
	int rc = read_input(options, &input, pool);

	if (rc) {
		free_input(&input);
		return rc;
	}
	validation.findings = json_object_new_array();
	validation.current_rows = json_member(input.table, "rows");
	validation.servers = json_member(input.state, "servers");
	check_change_alone(&validation, input.change);
	check_expected_revision(&validation, input.change, input.table);
	build_proposed_rows(&validation, input.change);
	for (size_t i = 0; i < json_object_array_length(validation.proposed_rows); i++)
		check_row(&validation, json_object_array_get_idx(validation.proposed_rows, i));
	check_route_shares(&validation);
	check_removals(&validation);
	if (options->as_json)
		print_findings_json(&validation);
	else
		print_findings(&validation);
	json_object_put(validation.findings);
	json_object_put(validation.proposed_rows);
	free_input(&input);
	return validation.fault_count ? FAULTS : GOOD;
}

int main(int argc, char **argv)
{
	struct arg_str *controller_option = arg_str0(NULL, "at", "IP:PORT", "HTTP address of a controller");
	struct arg_str *router_option = arg_str0(
	    NULL, "counter", "IP:PORT", "HTTP address of a router, to check against its servers' reports");
	struct arg_lit *json_option = arg_lit0(NULL, "json", "print the findings as JSON");
	struct arg_lit *help_option = arg_lit0("h", "help", "print this help");
	struct arg_lit *version_option = arg_lit0(NULL, "version", "print the version");
	struct arg_file *file_argument = arg_file0(
	    NULL, NULL, "FILE", "the text form of a table, or a change as JSON; - reads standard input");
	struct arg_end *parse_errors = arg_end(5);
	void *argument_table[] = { controller_option, router_option, json_option, help_option,
				   version_option,    file_argument, parse_errors };
	apr_pool_t *pool;
	int rc = GOOD, error_count;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	error_count = arg_parse(argc, argv, argument_table);
	if (help_option->count) {
		printf("Usage: notchlug-validate");
		arg_print_syntax(stdout, argument_table, "\n");
		arg_print_glossary(stdout, argument_table, "  %-24s %s\n");
		printf(
		    "Exit codes: 0 no faults, 1 faults found, 2 wrong usage, 3 reading from a controller or router failed.\n");
	} else if (version_option->count) {
		printf("notchlug-validate (notchlug) %s\n", NL_VERSION);
	} else if (error_count || !file_argument->count) {
		arg_print_errors(stderr, parse_errors, "notchlug-validate");
		fprintf(stderr,
			"notchlug-validate: argument FILE is missing or the options are wrong; see --help\n");
		rc = USAGE;
	} else {
		const struct options options = { .controller_addr = controller_option->count
									? controller_option->sval[0]
									: "127.0.0.1:8000",
						 .router_addr =
						     router_option->count ? router_option->sval[0] : NULL,
						 .file_path = file_argument->filename[0],
						 .as_json = json_option->count };

		rc = validate(&options, pool);
	}
	arg_freetable(argument_table, sizeof argument_table / sizeof *argument_table);
	apr_pool_destroy(pool);
	apr_terminate();
	return rc;
}
