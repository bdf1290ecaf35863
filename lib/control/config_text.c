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
	struct json_object *v;

	return json_object_object_get_ex(json, name, &v) ? json_object_get_string(v) : "";
}

static bool is_operator_kind_name(const char *kind)
{
	return strcmp(kind, "key") && strcmp(kind, "registrar");
}

static struct json_object *rows_of(struct json_object *json)
{
	struct json_object *rows = NULL;

	return json_object_object_get_ex(json, "rows", &rows) ? rows : NULL;
}

const char *config_text_print(struct json_object *table, const char *kind, apr_pool_t *pool)
{
	struct json_object *rows = rows_of(table);
	size_t row_count = rows ? json_object_array_length(rows) : 0, capacity = 1024, used = 0;
	char *out;

	for (size_t i = 0; i < row_count; i++)
		for (int c = 0; c < COLUMN_COUNT; c++)
			capacity += strlen(member_text(json_object_array_get_idx(rows, i), columns[c])) + 1;
	out = apr_palloc(pool, capacity);

	used += (size_t)apr_snprintf(out, capacity, "# edition %s\n", member_text(table, "edition"));
	for (int c = 0; c < COLUMN_COUNT; c++)
		used += (size_t)apr_snprintf(out + used, capacity - used, "%s%s", c ? "\t" : "", columns[c]);
	used += (size_t)apr_snprintf(out + used, capacity - used, "\n");
	for (size_t i = 0; i < row_count; i++) {
		struct json_object *json = json_object_array_get_idx(rows, i);

		if (kind ? strcmp(member_text(json, "kind"), kind)
			 : !is_operator_kind_name(member_text(json, "kind")))
			continue;
		for (int c = 0; c < COLUMN_COUNT; c++)
			used += (size_t)apr_snprintf(out + used, capacity - used, "%s%s", c ? "\t" : "",
						     member_text(json, columns[c]));
		used += (size_t)apr_snprintf(out + used, capacity - used, "\n");
	}
	return out;
}

struct json_object *config_text_cell(const char *column, const char *text)
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

/* The columns that a text has, in its order. */
struct text_header {
	const char *names[COLUMN_COUNT];
	int count;
};

/* Split off the first cell of a line; what follows it, or NULL, is left in *line. */
static char *next_cell(char **line)
{
	char *cell = *line, *tab = strchr(cell, '\t');

	if (tab)
		*tab++ = 0;
	*line = tab;
	return cell;
}

/* Read the line that names the columns; 0 with *why when one is not known. */
static int parse_header(struct text_header *header, char *line, int line_number, apr_pool_t *pool,
			const char **why)
{
	while (line && header->count < COLUMN_COUNT) {
		const char *cell = next_cell(&line);

		for (int i = 0; i < COLUMN_COUNT; i++)
			if (!strcmp(columns[i], cell))
				header->names[header->count] = columns[i];
		if (!header->names[header->count]) {
			*why = apr_psprintf(pool, "line %d: column %s: unknown", line_number, cell);
			return 0;
		}
		header->count++;
	}
	return 1;
}

/* Read a line's cells into a row; empty cells are left out. 0 when it has more cells than there are columns.
 */
static int parse_cells(struct json_object *row, const struct text_header *header, char *line)
{
	for (int i = 0; line && i < header->count; i++) {
		const char *cell = next_cell(&line);

		if (cell[0])
			json_object_object_add(row, header->names[i],
					       config_text_cell(header->names[i], cell));
	}
	return !line;
}

struct json_object *config_text_parse(const char *text, apr_pool_t *pool, const char **why)
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
			if (!parse_header(&header, line, line_number, pool, why))
				goto bad;
			continue;
		}
		row = json_object_new_object();
		json_object_array_add(rows, row);
		if (!parse_cells(row, &header, line)) {
			*why = apr_psprintf(pool, "line %d: more cells than columns", line_number);
			goto bad;
		}
	}
	if (header.count)
		return json;
	*why = "no line names the columns";
bad:
	json_object_put(json);
	return NULL;
}

static struct json_object *find_row(struct json_object *rows, struct json_object *like)
{
	for (size_t i = 0; rows && i < json_object_array_length(rows); i++) {
		struct json_object *json = json_object_array_get_idx(rows, i);

		if (!strcmp(member_text(json, "kind"), member_text(like, "kind")) &&
		    !strcmp(member_text(json, "name"), member_text(like, "name")))
			return json;
	}
	return NULL;
}

static bool has_kind(struct json_object *rows, const char *kind)
{
	for (size_t i = 0; rows && i < json_object_array_length(rows); i++)
		if (!strcmp(member_text(json_object_array_get_idx(rows, i), "kind"), kind))
			return true;
	return false;
}

/* Alike: every column either has is the same; an empty cell is a column left out. */
static int rows_alike(struct json_object *a, struct json_object *b)
{
	for (int c = 0; c < COLUMN_COUNT; c++)
		if (strcmp(member_text(a, columns[c]), member_text(b, columns[c])))
			return 0;
	return 1;
}

struct json_object *config_text_diff(struct json_object *table, struct json_object *text_rows)
{
	struct json_object *old = rows_of(table), *rows = rows_of(text_rows), *j = json_object_new_object(),
			   *e;
	struct json_object *set = json_object_new_array(), *del = json_object_new_array();

	if (json_object_object_get_ex(text_rows, "edition", &e) ||
	    json_object_object_get_ex(table, "edition", &e))
		json_object_object_add(j, "expect", json_object_get(e));
	for (size_t i = 0; rows && i < json_object_array_length(rows); i++) {
		struct json_object *r = json_object_array_get_idx(rows, i), *was = find_row(old, r);

		if (!was || !rows_alike(was, r))
			json_object_array_add(set, json_object_get(r));
	}
	for (size_t i = 0; old && i < json_object_array_length(old); i++) {
		struct json_object *r = json_object_array_get_idx(old, i), *json;

		if (!is_operator_kind_name(member_text(r, "kind")) ||
		    !has_kind(rows, member_text(r, "kind")) || find_row(rows, r))
			continue;
		json = json_object_new_object();
		json_object_object_add(json, "kind", json_object_new_string(member_text(r, "kind")));
		json_object_object_add(json, "name", json_object_new_string(member_text(r, "name")));
		json_object_array_add(del, json);
	}
	json_object_object_add(j, "set", set);
	json_object_object_add(j, "del", del);
	return j;
}
