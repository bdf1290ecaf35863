#include "notchlugctl_table.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli_support.h"
#include "config_text.h"
#include "notchlugctl_client.h"

enum { TABLE_TIMEOUT_MS = 7000 }; /* for one attempt of a read */

struct json_object *read_table(void)
{
	char *body = NULL;
	int status = read_path("/v1/table", TABLE_TIMEOUT_MS, &body);
	struct json_object *json = status == 200 ? json_tokener_parse(body) : NULL;

	if (!json)
		fprintf(stderr, "notchlugctl: step table, at %s: %s\n", controller_addr,
			status ? body : "nobody answers");
	free(body);
	return json;
}

int send_change(struct json_object *request)
{
	char *body = NULL;
	int status = send_request("/v1/change", request, &body);
	struct json_object *json = status ? json_tokener_parse(body) : NULL;
	int rc = exit_code(status);

	if (rc == OK)
		printf("edition %lld\n", (long long)json_member_int(json, "edition"));
	else if (rc == CONFLICT)
		fprintf(
		    stderr,
		    "notchlugctl: overtaken: the table is at edition %lld now; look at it and try again\n",
		    (long long)json_member_int(json, "edition"));
	else
		fprintf(stderr, "notchlugctl: step change, at %s: %s\n", controller_addr,
			status ? json_member_string(json, "error") : "nobody answers");
	if (json)
		json_object_put(json);
	free(body);
	json_object_put(request);
	return rc;
}

struct json_object *row_new(const char *kind, const char *name)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "kind", json_object_new_string(kind));
	json_object_object_add(json, "name", json_object_new_string(name));
	return json;
}

struct json_object *change_of(const char *what, struct json_object *row, struct json_object *revision)
{
	struct json_object *json = json_object_new_object(), *rows = json_object_new_array();

	json_object_array_add(rows, row);
	json_object_object_add(json, what, rows);
	if (revision)
		json_object_object_add(json, "expect", json_object_get(revision));
	return json;
}

/* The row of a kind and name, for the caller to release; a new one when the table has none. */
static struct json_object *row_of(struct json_object *table, const char *kind, const char *name)
{
	struct json_object *rows = json_member(table, "rows");

	for (size_t i = 0; rows && i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		if (!strcmp(json_member_string(row, "kind"), kind) &&
		    !strcmp(json_member_string(row, "name"), name))
			return json_object_get(row);
	}
	return row_new(kind, name);
}

int set_cells(const char *kind, const char *name, int count, char **cells)
{
	struct json_object *table = read_table(), *row, *request;

	if (!table)
		return UNREACHABLE;
	row = row_of(table, kind, name);
	for (int i = 0; i < count; i++) {
		const char *equals = strchr(cells[i], '='), *column;

		if (!equals) {
			fprintf(stderr, "notchlugctl: %s: not COLUMN=VALUE\n", cells[i]);
			json_object_put(row);
			json_object_put(table);
			return USAGE;
		}
		column = apr_pstrmemdup(pool, cells[i], (size_t)(equals - cells[i]));
		json_object_object_add(row, column, config_text_cell(column, equals + 1));
	}
	request = change_of("set", row, json_member(table, "edition"));
	json_object_put(table);
	return send_change(request);
}

/* Print one row of a change a line. */
static void print_changes(const char *what, struct json_object *rows)
{
	for (size_t i = 0; i < json_object_array_length(rows); i++)
		printf("%s %s\n", what,
		       json_object_to_json_string_ext(json_object_array_get_idx(rows, i),
						      JSON_C_TO_STRING_PLAIN));
}

int compare_sheet(const char *path, int apply)
{
	char *text = file_read(path);
	const char *why = "cannot be read";
	struct json_object *sheet = text ? config_text_parse(text, pool, &why) : NULL;
	struct json_object *table, *difference, *set, *deleted;
	int rc = OK;

	free(text);
	if (!sheet) {
		fprintf(stderr, "notchlugctl: %s: %s\n", path, why);
		return USAGE;
	}
	table = read_table();
	if (!table) {
		json_object_put(sheet);
		return UNREACHABLE;
	}
	difference = config_text_diff(table, sheet);
	set = json_member(difference, "set");
	deleted = json_member(difference, "del");
	if (!json_object_array_length(set) && !json_object_array_length(deleted)) {
		printf("nothing to change\n");
	} else {
		print_changes("set", set);
		print_changes("del", deleted);
		if (apply)
			rc = send_change(json_object_get(difference));
	}
	json_object_put(sheet);
	json_object_put(table);
	json_object_put(difference);
	return rc;
}

int print_table(const char *kind)
{
	struct json_object *table = read_table();

	if (!table)
		return UNREACHABLE;
	fputs(config_text_print(table, kind, pool), stdout);
	json_object_put(table);
	return OK;
}
