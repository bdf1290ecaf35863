#include "config_text.h"

#include <stdbool.h>
#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

static const char *const columns[] = {
	"kind",       "name",    "service",  "tenant",     "prio",       "share",   "limit",    "walled",
	"weights",    "prefill", "kv_bytes", "link",       "store",      "addr",    "zone",     "state",
	"host",       "path",    "split",    "aim",        "pause",      "timeout", "attempts", "resumable",
	"repeatable", "vouched", "open",     "model",      "slots",      "conns",   "watches",  "room",
	"health",     "rank",    "rolled",   "head_bytes", "body_bytes", "head_ms", "idle_ms",  "keep",
	"every",      "at",      "window"
};
enum { COLUMN_COUNT = sizeof columns / sizeof *columns };

static const char *member_text(struct json_object *json, const char *name)
{
	struct json_object *member;

	return json_object_object_get_ex(json, name, &member) ? json_object_get_string(member) : "";
}

static bool is_operator_kind_name(const char *kind)
{
	return strcmp(kind, "key") && strcmp(kind, "registrar");
}

static struct json_object *rows_member(struct json_object *json)
{
	struct json_object *rows = NULL;

	return json_object_object_get_ex(json, "rows", &rows) ? rows : NULL;
}

const char *config_text_format(struct json_object *table, const char *kind, apr_pool_t *pool)
{
	struct json_object *rows = rows_member(table);
	size_t row_count = rows ? json_object_array_length(rows) : 0, capacity = 1024, used = 0;
	char *text;

	for (size_t i = 0; i < row_count; i++)
		for (int c = 0; c < COLUMN_COUNT; c++)
			capacity += strlen(member_text(json_object_array_get_idx(rows, i), columns[c])) + 1;
	text = apr_palloc(pool, capacity);

	used += (size_t)apr_snprintf(text, capacity, "# edition %s\n", member_text(table, "edition"));
	for (int c = 0; c < COLUMN_COUNT; c++)
		used += (size_t)apr_snprintf(text + used, capacity - used, "%s%s", c ? "\t" : "", columns[c]);
	used += (size_t)apr_snprintf(text + used, capacity - used, "\n");
	for (size_t i = 0; i < row_count; i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		if (kind ? strcmp(member_text(row, "kind"), kind)
			 : !is_operator_kind_name(member_text(row, "kind")))
			continue;
		for (int c = 0; c < COLUMN_COUNT; c++)
			used += (size_t)apr_snprintf(text + used, capacity - used, "%s%s", c ? "\t" : "",
						     member_text(row, columns[c]));
		used += (size_t)apr_snprintf(text + used, capacity - used, "\n");
	}
	return text;
}

struct json_object *config_text_parse_cell(const char *column, const char *text)
{
	static const char *const integer_columns[] = {
		"prio", "share", "limit",      "prefill",    "kv_bytes", "link",    "store",
		"aim",  "pause", "timeout",    "attempts",   "slots",    "conns",   "watches",
		"room", "rank",  "head_bytes", "body_bytes", "head_ms",  "idle_ms", "window"
	};
	static const char *const boolean_columns[] = { "walled", "resumable", "repeatable", "vouched",
						       "open" };
	char *end;
	long long number = strtoll(text, &end, 10);

	for (size_t i = 0; i < sizeof integer_columns / sizeof *integer_columns; i++)
		if (!strcmp(column, integer_columns[i]) && !*end && end != text)
			return json_object_new_int64(number);
	for (size_t i = 0; i < sizeof boolean_columns / sizeof *boolean_columns; i++)
		if (!strcmp(column, boolean_columns[i]) && (!strcmp(text, "true") || !strcmp(text, "false")))
			return json_object_new_boolean(text[0] == 't');
	return json_object_new_string(text);
}

/* The columns of a text, in the order of its header line. */
struct text_header {
	const char *names[COLUMN_COUNT];
	int count;
};

/* Split off the first cell of a line. *line is set to the rest after the tab, or to NULL if there is none. */
static char *next_cell(char **line)
{
	char *cell = *line, *tab = strchr(cell, '\t');

	if (tab)
		*tab++ = 0;
	*line = tab;
	return cell;
}

/* Parse the header line, which names the columns. Returns 0 and sets *error if a column is unknown. */
static int parse_header(struct text_header *header, char *line, int line_number, apr_pool_t *pool,
			const char **error)
{
	while (line && header->count < COLUMN_COUNT) {
		const char *cell = next_cell(&line);

		for (int i = 0; i < COLUMN_COUNT; i++)
			if (!strcmp(columns[i], cell))
				header->names[header->count] = columns[i];
		if (!header->names[header->count]) {
			*error = apr_psprintf(pool, "line %d: unknown column %s", line_number, cell);
			return 0;
		}
		header->count++;
	}
	return 1;
}

/* Parse the cells of a line into a row; empty cells are left out. Returns 0 if the line has more cells than
 * the header has columns. */
static int parse_cells(struct json_object *row, const struct text_header *header, char *line)
{
	for (int i = 0; line && i < header->count; i++) {
		const char *cell = next_cell(&line);

		if (cell[0])
			json_object_object_add(row, header->names[i],
					       config_text_parse_cell(header->names[i], cell));
	}
	return !line;
}

struct json_object *config_text_parse(const char *text, apr_pool_t *pool, const char **error)
{
	struct json_object *json = json_object_new_object(), *rows = json_object_new_array();
	char *copy = apr_pstrdup(pool, text), *save = NULL;
	struct text_header header = { { 0 }, 0 };
	int line_number = 0;

	json_object_object_add(json, "rows", rows);
	for (char *line = apr_strtok(copy, "\n", &save); line; line = apr_strtok(NULL, "\n", &save)) {
		struct json_object *row;
		size_t length = strlen(line);

		line_number++;
		if (length && line[length - 1] == '\r')
			line[length - 1] = 0;
		if (!strncmp(line, "# edition ", 10)) {
			json_object_object_add(json, "edition",
					       json_object_new_int64(strtoll(line + 10, NULL, 10)));
			continue;
		}
		if (!line[0] || line[0] == '#')
			continue;
		if (!header.count) {
			if (!parse_header(&header, line, line_number, pool, error))
				goto bad;
			continue;
		}
		row = json_object_new_object();
		json_object_array_add(rows, row);
		if (!parse_cells(row, &header, line)) {
			*error = apr_psprintf(pool, "line %d: more cells than columns", line_number);
			goto bad;
		}
	}
	if (header.count)
		return json;
	*error = "no header line with column names";
bad:
	json_object_put(json);
	return NULL;
}

static struct json_object *find_row(struct json_object *rows, struct json_object *row)
{
	for (size_t i = 0; rows && i < json_object_array_length(rows); i++) {
		struct json_object *candidate_row = json_object_array_get_idx(rows, i);

		if (!strcmp(member_text(candidate_row, "kind"), member_text(row, "kind")) &&
		    !strcmp(member_text(candidate_row, "name"), member_text(row, "name")))
			return candidate_row;
	}
	return NULL;
}

static bool has_row_of_kind(struct json_object *rows, const char *kind)
{
	for (size_t i = 0; rows && i < json_object_array_length(rows); i++)
		if (!strcmp(member_text(json_object_array_get_idx(rows, i), "kind"), kind))
			return true;
	return false;
}

/* Returns whether two rows have the same value in every column; an empty cell equals a missing column. */
static int rows_are_equal(struct json_object *a, struct json_object *b)
{
	for (int c = 0; c < COLUMN_COUNT; c++)
		if (strcmp(member_text(a, columns[c]), member_text(b, columns[c])))
			return 0;
	return 1;
}

struct json_object *config_text_diff(struct json_object *table, struct json_object *text_rows)
{
	struct json_object *old_rows = rows_member(table), *new_rows = rows_member(text_rows),
			   *change = json_object_new_object(), *edition;
	struct json_object *set = json_object_new_array(), *deleted = json_object_new_array();

	if (json_object_object_get_ex(text_rows, "edition", &edition) ||
	    json_object_object_get_ex(table, "edition", &edition))
		json_object_object_add(change, "expect", json_object_get(edition));
	for (size_t i = 0; new_rows && i < json_object_array_length(new_rows); i++) {
		struct json_object *row = json_object_array_get_idx(new_rows, i),
				   *old_row = find_row(old_rows, row);

		if (!old_row || !rows_are_equal(old_row, row))
			json_object_array_add(set, json_object_get(row));
	}
	for (size_t i = 0; old_rows && i < json_object_array_length(old_rows); i++) {
		struct json_object *row = json_object_array_get_idx(old_rows, i), *deleted_row;

		if (!is_operator_kind_name(member_text(row, "kind")) ||
		    !has_row_of_kind(new_rows, member_text(row, "kind")) || find_row(new_rows, row))
			continue;
		deleted_row = json_object_new_object();
		json_object_object_add(deleted_row, "kind", json_object_new_string(member_text(row, "kind")));
		json_object_object_add(deleted_row, "name", json_object_new_string(member_text(row, "name")));
		json_object_array_add(deleted, deleted_row);
	}
	json_object_object_add(change, "set", set);
	json_object_object_add(change, "del", deleted);
	return change;
}
