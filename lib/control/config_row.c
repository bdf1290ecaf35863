#include "config_row.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

static const char *const kind_names[] = { "none",    "lane",      "tenant", "share", "key",      "server",
					  "service", "registrar", "model",  "door",  "retention" };
enum { KIND_COUNT = sizeof kind_names / sizeof *kind_names };

bool config_kind_is_valid(Nl__Kind kind)
{
	return kind > NL__KIND__NONE && (unsigned)kind < KIND_COUNT;
}

const char *config_kind_name(Nl__Kind kind)
{
	return (unsigned)kind < KIND_COUNT ? kind_names[kind] : "none";
}

Nl__Kind config_kind_parse(const char *name)
{
	for (unsigned i = 1; name && i < KIND_COUNT; i++)
		if (!strcmp(kind_names[i], name))
			return (Nl__Kind)i;
	return NL__KIND__NONE;
}

/* The type of a column's field in struct Nl__Row and of its JSON value. */
enum column_type {
	COLUMN_STRING,
	COLUMN_UINT32,
	COLUMN_UINT64,
	COLUMN_BOOL,
	COLUMN_STATE, /* "serving" or "draining" */
	COLUMN_HEX,   /* a 64-bit id as 16 hex digits */
	COLUMN_SPLIT  /* "service:weight,service:weight" */
};

struct row_column {
	const char *name; /* in JSON and in the tab-separated text form */
	enum column_type type;
	size_t offset;      /* offset of the field in struct Nl__Row */
	unsigned row_kinds; /* bit mask of the row kinds that have the column, by KIND_BIT */
};
#define KIND_BIT(k) (1u << NL__KIND__##k)
#define FIELD_OFFSET(f) offsetof(struct Nl__Row, f)

/* The names of columns belong to the operators' interface, so they differ from the names of fields. */
static const struct row_column row_columns[] = {
	{ "name", COLUMN_STRING, FIELD_OFFSET(name), ~0u },
	{ "service", COLUMN_STRING, FIELD_OFFSET(service), KIND_BIT(ROUTE) | KIND_BIT(SERVER) },
	{ "tenant", COLUMN_STRING, FIELD_OFFSET(tenant), KIND_BIT(KEY) },
	{ "addr", COLUMN_STRING, FIELD_OFFSET(addr),
	  KIND_BIT(SERVER) | KIND_BIT(CONTROLLER) | KIND_BIT(SERVICE) },
	{ "zone", COLUMN_STRING, FIELD_OFFSET(zone),
	  KIND_BIT(SERVER) | KIND_BIT(CONTROLLER) | KIND_BIT(SERVICE) },
	{ "weights", COLUMN_STRING, FIELD_OFFSET(target_weights), KIND_BIT(SERVICE) | KIND_BIT(MODEL) },
	{ "prio", COLUMN_UINT32, FIELD_OFFSET(priority), KIND_BIT(ROUTE) },
	{ "share", COLUMN_UINT32, FIELD_OFFSET(share), KIND_BIT(TENANT) | KIND_BIT(SHARE) },
	{ "limit", COLUMN_UINT32, FIELD_OFFSET(limit), KIND_BIT(ROUTE) | KIND_BIT(TENANT) | KIND_BIT(SHARE) },
	{ "walled", COLUMN_BOOL, FIELD_OFFSET(isolated), KIND_BIT(TENANT) },
	{ "state", COLUMN_STATE, FIELD_OFFSET(state), KIND_BIT(SERVER) },
	{ "id", COLUMN_HEX, FIELD_OFFSET(id), KIND_BIT(CONTROLLER) },
	{ "prefill", COLUMN_UINT32, FIELD_OFFSET(prefill_tokens_per_ms), KIND_BIT(SERVICE) },
	{ "kv_bytes", COLUMN_UINT32, FIELD_OFFSET(kv_bytes_per_token), KIND_BIT(SERVICE) },
	{ "link", COLUMN_UINT32, FIELD_OFFSET(link_bytes_per_ms), KIND_BIT(SERVICE) },
	{ "store", COLUMN_UINT32, FIELD_OFFSET(store_bytes_per_ms), KIND_BIT(SERVICE) },
	{ "host", COLUMN_STRING, FIELD_OFFSET(host), KIND_BIT(ROUTE) },
	{ "path", COLUMN_STRING, FIELD_OFFSET(path), KIND_BIT(ROUTE) },
	{ "split", COLUMN_SPLIT, FIELD_OFFSET(split), KIND_BIT(ROUTE) },
	{ "aim", COLUMN_UINT32, FIELD_OFFSET(latency_target_ms), KIND_BIT(ROUTE) },
	{ "pause", COLUMN_UINT32, FIELD_OFFSET(max_gap_ms), KIND_BIT(ROUTE) },
	{ "timeout", COLUMN_UINT32, FIELD_OFFSET(timeout_ms), KIND_BIT(ROUTE) },
	{ "attempts", COLUMN_UINT32, FIELD_OFFSET(max_attempts), KIND_BIT(ROUTE) },
	{ "resumable", COLUMN_BOOL, FIELD_OFFSET(resumable), KIND_BIT(ROUTE) },
	{ "repeatable", COLUMN_BOOL, FIELD_OFFSET(idempotent), KIND_BIT(ROUTE) },
	{ "vouched", COLUMN_BOOL, FIELD_OFFSET(client_deduplicates), KIND_BIT(ROUTE) },
	{ "open", COLUMN_BOOL, FIELD_OFFSET(key_optional), KIND_BIT(ROUTE) },
	{ "model", COLUMN_STRING, FIELD_OFFSET(model), KIND_BIT(SERVICE) },
	{ "slots", COLUMN_UINT32, FIELD_OFFSET(slots), KIND_BIT(SERVICE) },
	{ "conns", COLUMN_UINT32, FIELD_OFFSET(max_connections), KIND_BIT(SERVICE) },
	{ "watches", COLUMN_UINT32, FIELD_OFFSET(max_watches), KIND_BIT(SERVICE) },
	{ "room", COLUMN_UINT64, FIELD_OFFSET(capacity_tokens), KIND_BIT(SERVICE) },
	{ "rank", COLUMN_UINT32, FIELD_OFFSET(priority_class), KIND_BIT(TENANT) },
	{ "rolled", COLUMN_STRING, FIELD_OFFSET(rolled_out), KIND_BIT(MODEL) },
	{ "health", COLUMN_STRING, FIELD_OFFSET(health_path), KIND_BIT(SERVICE) },
	{ "head_bytes", COLUMN_UINT32, FIELD_OFFSET(max_head_bytes), KIND_BIT(LISTENER) },
	{ "body_bytes", COLUMN_UINT32, FIELD_OFFSET(max_body_bytes), KIND_BIT(LISTENER) },
	{ "head_ms", COLUMN_UINT32, FIELD_OFFSET(head_timeout_ms), KIND_BIT(LISTENER) },
	{ "idle_ms", COLUMN_UINT32, FIELD_OFFSET(idle_timeout_ms), KIND_BIT(LISTENER) },
	{ "keep", COLUMN_STRING, FIELD_OFFSET(max_age), KIND_BIT(RETENTION) },
	{ "every", COLUMN_STRING, FIELD_OFFSET(interval), KIND_BIT(RETENTION) },
	{ "at", COLUMN_STRING, FIELD_OFFSET(calendar), KIND_BIT(RETENTION) },
	{ "window", COLUMN_UINT32, FIELD_OFFSET(spread_ms), KIND_BIT(RETENTION) },
};
enum { ROW_COLUMN_COUNT = sizeof row_columns / sizeof *row_columns };

/* Format a route's services and their weights as one text, such as "a:90,b:10". The caller frees it. */
static char *format_split(const struct Nl__Row *row)
{
	size_t capacity = 1, used = 0;
	char *text;

	for (size_t i = 0; i < row->n_split; i++)
		capacity += strlen(row->split[i]->service) + 16;
	text = malloc(capacity);
	if (!text)
		abort();
	text[0] = 0;
	for (size_t i = 0; i < row->n_split; i++)
		used += (size_t)apr_snprintf(text + used, capacity - used, "%s%s:%u", i ? "," : "",
					     row->split[i]->service, (unsigned)row->split[i]->weight);
	return text;
}

static int parse_split_text(struct Nl__Row *row, const char *text, apr_pool_t *pool)
{
	char *copy = apr_pstrdup(pool, text), *save = NULL;
	size_t max_entry_count = 1;

	for (const char *character = text; *character; character++)
		max_entry_count += *character == ',';
	row->split = apr_palloc(pool, (max_entry_count + 1) * sizeof *row->split);
	row->n_split = 0;
	for (char *entry = apr_strtok(copy, ",", &save); entry; entry = apr_strtok(NULL, ",", &save)) {
		struct Nl__RouteSplit *split = apr_palloc(pool, sizeof *split);
		char *colon = strrchr(entry, ':'), *end = colon;
		unsigned long long weight;

		if (!colon || colon == entry || colon[1] < '0' || colon[1] > '9')
			return 0;
		weight = strtoull(colon + 1, &end, 10);
		if (*end || weight > 1000000)
			return 0;
		*colon = 0;
		nl__route_split__init(split);
		split->service = entry;
		split->weight = (uint32_t)weight;
		row->split[row->n_split++] = split;
	}
	return 1;
}

static struct json_object *field_to_json(const struct Nl__Row *row, const struct row_column *column)
{
	const void *field = (const char *)row + column->offset;
	struct json_object *json;
	char hex[20], *text;

	switch (column->type) {
	case COLUMN_STRING:
		return json_object_new_string(*(char *const *)field);
	case COLUMN_UINT32:
		return json_object_new_int64(*(const uint32_t *)field);
	case COLUMN_UINT64:
		return json_object_new_uint64(*(const uint64_t *)field);
	case COLUMN_SPLIT:
		text = format_split(row);
		json = json_object_new_string(text);
		free(text);
		return json;
	case COLUMN_BOOL:
		return json_object_new_boolean(*(const protobuf_c_boolean *)field);
	case COLUMN_STATE:
		return json_object_new_string(*(const uint32_t *)field ? "draining" : "serving");
	case COLUMN_HEX:
		apr_snprintf(hex, sizeof hex, "%016" APR_UINT64_T_HEX_FMT, *(const uint64_t *)field);
		return json_object_new_string(hex);
	}
	return NULL;
}

struct json_object *config_row_json(const struct Nl__Row *row)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "kind", json_object_new_string(config_kind_name(row->kind)));
	for (int i = 0; i < ROW_COLUMN_COUNT; i++)
		if (row_columns[i].row_kinds & 1u << row->kind)
			json_object_object_add(json, row_columns[i].name,
					       field_to_json(row, &row_columns[i]));
	return json;
}

static const struct row_column *find_column(Nl__Kind row_kind, const char *name)
{
	for (int i = 0; i < ROW_COLUMN_COUNT; i++)
		if (!strcmp(row_columns[i].name, name) && (row_columns[i].row_kinds & 1u << row_kind))
			return &row_columns[i];
	return NULL;
}

static bool is_value_of_type(struct json_object *value, enum column_type type)
{
	switch (type) {
	case COLUMN_UINT64:
		return json_object_is_type(value, json_type_int) && json_object_get_int64(value) >= 0;
	case COLUMN_UINT32:
		return json_object_is_type(value, json_type_int) && json_object_get_int64(value) >= 0 &&
		       json_object_get_int64(value) <= UINT32_MAX;
	case COLUMN_BOOL:
		return json_object_is_type(value, json_type_boolean);
	default:
		return json_object_is_type(value, json_type_string);
	}
}

static uint32_t parse_state(const char *text)
{
	if (!strcmp(text, "serving"))
		return 0;
	return !strcmp(text, "draining") ? 1 : 2;
}

/* Set a row's field from a JSON value of the column's type. Returns 0 if a split cannot be parsed. */
static int set_field(struct Nl__Row *row, const struct row_column *column, struct json_object *value,
		     apr_pool_t *pool)
{
	void *field = (char *)row + column->offset;

	switch (column->type) {
	case COLUMN_STRING:
		*(char **)field = apr_pstrdup(pool, json_object_get_string(value));
		break;
	case COLUMN_UINT32:
		*(uint32_t *)field = (uint32_t)json_object_get_int64(value);
		break;
	case COLUMN_UINT64:
		*(uint64_t *)field = json_object_get_uint64(value);
		break;
	case COLUMN_SPLIT:
		return parse_split_text(row, json_object_get_string(value), pool);
	case COLUMN_BOOL:
		*(protobuf_c_boolean *)field = json_object_get_boolean(value);
		break;
	case COLUMN_STATE:
		*(uint32_t *)field = parse_state(json_object_get_string(value));
		break;
	case COLUMN_HEX:
		*(uint64_t *)field = strtoull(json_object_get_string(value), NULL, 16);
		break;
	}
	return 1;
}

struct Nl__Row *config_row_parse(struct json_object *json, apr_pool_t *pool, const char **error)
{
	struct Nl__Row *row = apr_palloc(pool, sizeof *row);
	struct json_object *kind;

	nl__row__init(row);
	if (!json_object_is_type(json, json_type_object) || !json_object_object_get_ex(json, "kind", &kind) ||
	    (row->kind = config_kind_parse(json_object_get_string(kind))) == NL__KIND__NONE) {
		*error = CONFIG_KIND_UNKNOWN;
		return NULL;
	}
	json_object_object_foreach(json, name, value)
	{
		const struct row_column *column;

		if (!strcmp(name, "kind"))
			continue;
		column = find_column(row->kind, name);
		if (!column) {
			*error =
			    apr_psprintf(pool, "%s: %s: no such field", config_kind_name(row->kind), name);
			return NULL;
		}
		if (!is_value_of_type(value, column->type)) {
			*error = apr_psprintf(pool, "%s: %s: wrong type or range",
					      config_kind_name(row->kind), name);
			return NULL;
		}
		if (!set_field(row, column, value, pool)) {
			*error = apr_psprintf(pool, "%s: split: not as service:weight,service:weight",
					      config_kind_name(row->kind));
			return NULL;
		}
	}
	return row;
}

static int parse_rows(struct json_object *json, const char *name, size_t *count, struct Nl__Row ***rows,
		      apr_pool_t *pool, const char **error)
{
	struct json_object *list;

	if (!json_object_object_get_ex(json, name, &list))
		return 1;
	if (!json_object_is_type(list, json_type_array)) {
		*error = apr_psprintf(pool, "%s: not a list", name);
		return 0;
	}
	*count = json_object_array_length(list);
	*rows = apr_palloc(pool, (*count + 1) * sizeof **rows);
	for (size_t i = 0; i < *count; i++) {
		(*rows)[i] = config_row_parse(json_object_array_get_idx(list, i), pool, error);
		if (!(*rows)[i]) {
			*error = apr_psprintf(pool, "%s[%d]: %s", name, (int)i, *error);
			return 0;
		}
	}
	return 1;
}

struct Nl__Change *config_change_parse(const char *body, apr_pool_t *pool, const char **error)
{
	struct json_object *json = json_tokener_parse(body), *member;
	struct Nl__Change *change = apr_palloc(pool, sizeof *change);

	nl__change__init(change);
	*error = NULL;
	if (!json_object_is_type(json, json_type_object)) {
		*error = "body: not a JSON object";
		goto end;
	}
	json_object_object_foreach(json, name, x)
	{
		(void)x;
		if (strcmp(name, "expect") && strcmp(name, "whole") && strcmp(name, "set") &&
		    strcmp(name, "del")) {
			*error = apr_psprintf(pool, "%s: no such field", name);
			goto end;
		}
	}
	if (json_object_object_get_ex(json, "expect", &member)) {
		if (!json_object_is_type(member, json_type_int) || json_object_get_int64(member) < 0) {
			*error = "expect: must be an edition, a number from 0";
			goto end;
		}
		change->expected_revision = json_object_get_uint64(member);
	} else {
		change->any_revision = 1;
	}
	if (json_object_object_get_ex(json, "whole", &member))
		change->replace_all = json_object_get_boolean(member);
	if (!parse_rows(json, "set", &change->n_set, &change->set, pool, error) ||
	    !parse_rows(json, "del", &change->n_deleted, &change->deleted, pool, error))
		goto end;
	if (!change->n_set && !change->n_deleted && !change->replace_all)
		*error = "set: nothing to change";
end:
	if (json)
		json_object_put(json);
	return *error ? NULL : change;
}

const char *json_string_member(struct json_object *json, const char *name)
{
	struct json_object *member;

	return json_object_object_get_ex(json, name, &member) && json_object_is_type(member, json_type_string)
		   ? json_object_get_string(member)
		   : "";
}

uint64_t json_uint_member(struct json_object *json, const char *name)
{
	struct json_object *member;

	return json_object_object_get_ex(json, name, &member) ? json_object_get_uint64(member) : 0;
}
