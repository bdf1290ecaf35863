#include "sheet.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

static const char *const columns[] = { "kind",       "name",       "service",   "tenant",     "prio",    "share", "limit",
				       "walled",     "weights",    "prefill",   "kv_bytes",   "link",    "store", "addr",
				       "zone",       "state",      "host",      "path",       "split",   "aim",   "pause",
				       "timeout",    "attempts",   "resumable", "repeatable", "vouched", "open",  "model",
				       "slots",      "conns",      "watches",   "room",       "health",  "rank",  "rolled",
				       "head_bytes", "body_bytes", "head_ms",   "idle_ms",    "keep",    "every", "at",
				       "window" };
enum { COLUMNS = sizeof columns / sizeof *columns };

static const char *str(struct json_object *j, const char *k)
{
	struct json_object *v;

	return json_object_object_get_ex(j, k, &v) ? json_object_get_string(v) : "";
}

static int operators(const char *kind) { return strcmp(kind, "key") && strcmp(kind, "registrar"); }

static struct json_object *rows_of(struct json_object *t)
{
	struct json_object *rows = NULL;

	return json_object_object_get_ex(t, "rows", &rows) ? rows : NULL;
}

const char *sheet_print(struct json_object *table, const char *kind, apr_pool_t *p)
{
	struct json_object *rows = rows_of(table);
	size_t n = rows ? json_object_array_length(rows) : 0, cap = 1024, k = 0;
	char *out;

	for (size_t i = 0; i < n; i++)
		for (int c = 0; c < COLUMNS; c++)
			cap += strlen(str(json_object_array_get_idx(rows, i), columns[c])) + 1;
	out = apr_palloc(p, cap);

	k += (size_t)apr_snprintf(out, cap, "# edition %s\n", str(table, "edition"));
	for (int c = 0; c < COLUMNS; c++)
		k += (size_t)apr_snprintf(out + k, cap - k, "%s%s", c ? "\t" : "", columns[c]);
	k += (size_t)apr_snprintf(out + k, cap - k, "\n");
	for (size_t i = 0; i < n; i++) {
		struct json_object *r = json_object_array_get_idx(rows, i);

		if (kind ? strcmp(str(r, "kind"), kind) : !operators(str(r, "kind")))
			continue;
		for (int c = 0; c < COLUMNS; c++)
			k += (size_t)apr_snprintf(out + k, cap - k, "%s%s", c ? "\t" : "", str(r, columns[c]));
		k += (size_t)apr_snprintf(out + k, cap - k, "\n");
	}
	return out;
}

struct json_object *sheet_cell(const char *column, const char *text)
{
	static const char *const ints[] = { "prio", "share", "limit",      "prefill",    "kv_bytes", "link",    "store",
					    "aim",  "pause", "timeout",    "attempts",   "slots",    "conns",   "watches",
					    "room", "rank",  "head_bytes", "body_bytes", "head_ms",  "idle_ms", "window" };
	static const char *const bools[] = { "walled", "resumable", "repeatable", "vouched", "open" };
	char *end;
	long long n = strtoll(text, &end, 10);

	for (size_t i = 0; i < sizeof ints / sizeof *ints; i++)
		if (!strcmp(column, ints[i]) && !*end && end != text)
			return json_object_new_int64(n);
	for (size_t i = 0; i < sizeof bools / sizeof *bools; i++)
		if (!strcmp(column, bools[i]) && (!strcmp(text, "true") || !strcmp(text, "false")))
			return json_object_new_boolean(text[0] == 't');
	return json_object_new_string(text);
}

struct json_object *sheet_parse(const char *text, apr_pool_t *p, const char **why)
{
	struct json_object *j = json_object_new_object(), *rows = json_object_new_array();
	char *copy = apr_pstrdup(p, text), *line, *save = NULL;
	const char *head[COLUMNS] = { 0 };
	int nhead = 0, no = 0;

	json_object_object_add(j, "rows", rows);
	for (line = apr_strtok(copy, "\n", &save); line; line = apr_strtok(NULL, "\n", &save)) {
		struct json_object *r;
		size_t len = strlen(line);

		no++;
		if (len && line[len - 1] == '\r')
			line[len - 1] = 0;
		if (!strncmp(line, "# edition ", 10)) {
			json_object_object_add(j, "edition", json_object_new_int64(strtoll(line + 10, NULL, 10)));
			continue;
		}
		if (!line[0] || line[0] == '#')
			continue;
		if (!nhead) {
			for (char *c = line; c && nhead < COLUMNS; nhead++) {
				char *tab = strchr(c, '\t');

				if (tab)
					*tab++ = 0;
				for (int k = 0; k < COLUMNS; k++)
					if (!strcmp(columns[k], c))
						head[nhead] = columns[k];
				if (!head[nhead]) {
					*why = apr_psprintf(p, "line %d: column %s: unknown", no, c);
					goto bad;
				}
				c = tab;
			}
			continue;
		}
		r = json_object_new_object();
		json_object_array_add(rows, r);
		for (int k = 0; line && k < nhead; k++) {
			char *tab = strchr(line, '\t');

			if (tab)
				*tab++ = 0;
			if (line[0])
				json_object_object_add(r, head[k], sheet_cell(head[k], line));
			line = tab;
		}
		if (line) {
			*why = apr_psprintf(p, "line %d: more cells than columns", no);
			goto bad;
		}
	}
	if (nhead)
		return j;
	*why = "no line names the columns";
bad:
	json_object_put(j);
	return NULL;
}

static struct json_object *find(struct json_object *rows, struct json_object *like)
{
	for (size_t i = 0; rows && i < json_object_array_length(rows); i++) {
		struct json_object *r = json_object_array_get_idx(rows, i);

		if (!strcmp(str(r, "kind"), str(like, "kind")) && !strcmp(str(r, "name"), str(like, "name")))
			return r;
	}
	return NULL;
}

static int has_kind(struct json_object *rows, const char *kind)
{
	for (size_t i = 0; rows && i < json_object_array_length(rows); i++)
		if (!strcmp(str(json_object_array_get_idx(rows, i), "kind"), kind))
			return 1;
	return 0;
}

/* Alike: every column either has is the same; an empty cell is a column left out. */
static int alike(struct json_object *a, struct json_object *b)
{
	for (int c = 0; c < COLUMNS; c++)
		if (strcmp(str(a, columns[c]), str(b, columns[c])))
			return 0;
	return 1;
}

struct json_object *sheet_diff(struct json_object *table, struct json_object *sheet)
{
	struct json_object *old = rows_of(table), *rows = rows_of(sheet), *j = json_object_new_object(), *e;
	struct json_object *set = json_object_new_array(), *del = json_object_new_array();

	if (json_object_object_get_ex(sheet, "edition", &e) || json_object_object_get_ex(table, "edition", &e))
		json_object_object_add(j, "expect", json_object_get(e));
	for (size_t i = 0; rows && i < json_object_array_length(rows); i++) {
		struct json_object *r = json_object_array_get_idx(rows, i), *was = find(old, r);

		if (!was || !alike(was, r))
			json_object_array_add(set, json_object_get(r));
	}
	for (size_t i = 0; old && i < json_object_array_length(old); i++) {
		struct json_object *r = json_object_array_get_idx(old, i), *d;

		if (!operators(str(r, "kind")) || !has_kind(rows, str(r, "kind")) || find(rows, r))
			continue;
		d = json_object_new_object();
		json_object_object_add(d, "kind", json_object_new_string(str(r, "kind")));
		json_object_object_add(d, "name", json_object_new_string(str(r, "name")));
		json_object_array_add(del, d);
	}
	json_object_object_add(j, "set", set);
	json_object_object_add(j, "del", del);
	return j;
}
