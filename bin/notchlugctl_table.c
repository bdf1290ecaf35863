#include "notchlugctl_table.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli_support.h"
#include "config_text.h"
#include "notchlugctl_client.h"

enum { TABLE_ATTEMPT_TIMEOUT_MS = 7000 }; /* limit of one attempt of a read that is retried */

struct json_object *read_table(void)
{
	char *body = NULL;
	int status = read_with_retry("/v1/table", TABLE_ATTEMPT_TIMEOUT_MS, &body);
	struct json_object *json = status == 200 ? json_tokener_parse(body) : NULL;

	if (!json)
		fprintf(stderr, "notchlugctl: reading the table from %s failed: %s\n", controller_addr,
			status ? body : "no answer");
	free(body);
	return json;
}

int send_change(struct json_object *request)
{
	char *body = NULL;
	int status = send_request_with_retry("/v1/change", request, &body);
	struct json_object *json = status ? json_tokener_parse(body) : NULL;
	int rc = change_exit_code(status);

	if (rc == OK)
		printf("edition %lld\n", (long long)json_member_int(json, "edition"));
	else if (rc == CONFLICT)
		fprintf(
		    stderr,
		    "notchlugctl: change rejected: the table has been changed and is now at edition %lld; read it again and repeat the change\n",
		    (long long)json_member_int(json, "edition"));
	else
		fprintf(stderr, "notchlugctl: change sent to %s failed: %s\n", controller_addr,
			status ? json_member_string(json, "error") : "no answer");
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

struct json_object *change_new(const char *list_name, struct json_object *row, struct json_object *revision)
{
	struct json_object *json = json_object_new_object(), *rows = json_object_new_array();

	json_object_array_add(rows, row);
	json_object_object_add(json, list_name, rows);
	if (revision)
		json_object_object_add(json, "expect", json_object_get(revision));
	return json;
}

/* Returns the row with this kind and name, or a new row when the table has none. The caller releases it. */
static struct json_object *find_or_new_row(struct json_object *table, const char *kind, const char *name)
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

int set_cells(const char *kind, const char *name, int count, char **assignments)
{
	struct json_object *table = read_table(), *row, *request;

	if (!table)
		return UNREACHABLE;
	row = find_or_new_row(table, kind, name);
	for (int i = 0; i < count; i++) {
		const char *equals = strchr(assignments[i], '='), *column;

		if (!equals) {
			fprintf(stderr, "notchlugctl: argument %s: expected COLUMN=VALUE\n", assignments[i]);
			json_object_put(row);
			json_object_put(table);
			return USAGE;
		}
		column = apr_pstrmemdup(pool, assignments[i], (size_t)(equals - assignments[i]));
		json_object_object_add(row, column, config_text_parse_cell(column, equals + 1));
	}
	request = change_new("set", row, json_member(table, "edition"));
	json_object_put(table);
	return send_change(request);
}

/* Prints one line for each row of a change: the action and the row as JSON. */
static void print_changed_rows(const char *action, struct json_object *rows)
{
	for (size_t i = 0; i < json_object_array_length(rows); i++)
		printf("%s %s\n", action,
		       json_object_to_json_string_ext(json_object_array_get_idx(rows, i),
						      JSON_C_TO_STRING_PLAIN));
}

int compare_table_file(const char *path, int apply_changes)
{
	char *text = file_read(path);
	const char *error = "file cannot be read";
	struct json_object *proposed_table = text ? config_text_parse(text, pool, &error) : NULL;
	struct json_object *table, *difference, *set_rows, *deleted_rows;
	int rc = OK;

	free(text);
	if (!proposed_table) {
		fprintf(stderr, "notchlugctl: %s: %s\n", path, error);
		return USAGE;
	}
	table = read_table();
	if (!table) {
		json_object_put(proposed_table);
		return UNREACHABLE;
	}
	difference = config_text_diff(table, proposed_table);
	set_rows = json_member(difference, "set");
	deleted_rows = json_member(difference, "del");
	if (!json_object_array_length(set_rows) && !json_object_array_length(deleted_rows)) {
		printf("nothing to change\n");
	} else {
		print_changed_rows("set", set_rows);
		print_changed_rows("del", deleted_rows);
		if (apply_changes)
			rc = send_change(json_object_get(difference));
	}
	json_object_put(proposed_table);
	json_object_put(table);
	json_object_put(difference);
	return rc;
}

int print_table(const char *kind)
{
	struct json_object *table = read_table();

	if (!table)
		return UNREACHABLE;
	fputs(config_text_format(table, kind, pool), stdout);
	json_object_put(table);
	return OK;
}
