#include "config_check.h"

#include <apr_strings.h>
#include <string.h>

#include "config_row.h"
#include "containers.h"
#include "retention_schedule.h"

static bool is_valid_name(const char *text)
{
	size_t length = strlen(text);

	return length > 0 && length < 200 &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._/-*") == length;
}

/* Returns whether a text is printable and without blanks, so that it fits a cell of the tab-separated text
 * form (config_text). */
static bool is_cell_text(const char *text, size_t max_length)
{
	size_t length = 0;

	for (; text[length]; length++)
		if ((unsigned char)text[length] <= ' ' || (unsigned char)text[length] == 127)
			return false;
	return length > 0 && length <= max_length;
}

static bool is_path_prefix(const char *text)
{
	return is_cell_text(text, 1000) && text[0] == '/' && text[strlen(text) - 1] == '/';
}

/* Versions of a model's weights are numbered upwards from 1. */
static bool is_weights_version(const char *text)
{
	return strlen(text) > 0 && strlen(text) < 19 && text[0] != '0' &&
	       strspn(text, "0123456789") == strlen(text);
}

static const char *check_split(const struct Nl__Row *row)
{
	uint64_t total_weight = 0;

	if (!row->n_split)
		return NULL;
	if (row->n_split > CONFIG_CHECK_MAX_SPLITS)
		return "split: more than 64 services";
	for (size_t i = 0; i < row->n_split; i++) {
		if (!is_valid_name(row->split[i]->service))
			return "split: a service name is missing or invalid";
		total_weight += row->split[i]->weight;
	}
	return total_weight ? NULL : "split: the weights add up to 0";
}

static const char *check_route(const struct Nl__Row *row)
{
	const char *error = check_split(row);
	char host[HOST_NAME_BYTES];

	if (error)
		return error;
	if (!is_valid_name(row->service))
		return "service: missing or not a valid name";
	if (row->priority > 9)
		return "prio: must be 0 to 9";
	if (row->limit < 1 || row->limit > 100000)
		return "limit: must be 1 to 100000 queued requests";
	if ((row->host[0] || row->path[0]) && !is_cell_text(row->host, 255))
		return "host: must be 1 to 255 characters without blanks when a path is set";
	if (row->host[0] && !host_name_normalize(row->host, host))
		return "host: names no host";
	if (row->host[0] && !is_path_prefix(row->path))
		return "path: must begin and end with a slash, up to 1000 characters without blanks";
	if (row->timeout_ms > 3600000)
		return "timeout: must be at most 3600000 ms";
	if (row->max_attempts > 100)
		return "attempts: must be at most 100";
	return NULL;
}

/* Check the columns of a tenant row, or of a share row: a tenant's share of a route. */
static const char *check_tenant(const struct Nl__Row *row)
{
	if (row->share < 1 || row->share > 1000)
		return "share: must be 1 to 1000";
	if (row->limit > 100000)
		return "limit: must be at most 100000 requests running at once; 0 sets no limit";
	if (row->priority_class > 10)
		return "rank: must be 1 to 10; 0 sets no priority class";
	if (row->kind == NL__KIND__SHARE && !strchr(row->name, '/'))
		return "name: must be lane/tenant";
	return NULL;
}

static const char *check_key(const struct Nl__Row *row)
{
	if (!is_valid_name(row->tenant))
		return "tenant: missing or not a valid name";
	if (strlen(row->name) != 64)
		return "name: must be a digest of 64 hex digits";
	return NULL;
}

static const char *check_server(const struct Nl__Row *row)
{
	if (!core_parse_addr(row->addr))
		return "addr: not ip:port";
	if (!is_valid_name(row->service))
		return "service: missing or not a valid name";
	if (row->state > 1)
		return "state: must be serving or draining";
	return NULL;
}

static const char *check_service(const struct Nl__Row *row)
{
	if (row->model[0] && !is_valid_name(row->model))
		return "model: must be 1 to 199 letters, digits, . _ / - or *";
	if ((row->target_weights[0] || !row->model[0]) && !is_valid_name(row->target_weights))
		return "weights: must be a valid name, or empty when model is set";
	if (row->prefill_tokens_per_ms < 1 || row->prefill_tokens_per_ms > 100000)
		return "prefill: must be 1 to 100000 tokens per ms";
	if (row->kv_bytes_per_token < 1)
		return "kv_bytes: must be at least 1 byte per token";
	if (row->link_bytes_per_ms < 1)
		return "link: must be at least 1 byte per ms";
	if (row->health_path[0] && (!is_cell_text(row->health_path, 1000) || row->health_path[0] != '/'))
		return "health: must be a path that begins with a slash, up to 1000 characters without blanks";
	if (row->addr[0] && !core_parse_addr(row->addr))
		return "addr: not ip:port";
	return NULL;
}

static const char *check_model(const struct Nl__Row *row)
{
	if (row->target_weights[0] && !is_weights_version(row->target_weights))
		return "weights: must be a version number from 1, with up to 18 digits";
	if (row->rolled_out[0] && !is_weights_version(row->rolled_out))
		return "rolled: must be a version number from 1, with up to 18 digits";
	if (!row->target_weights[0] && !row->rolled_out[0])
		return "weights: missing, and rolled is not set";
	return NULL;
}

static const char *check_controller(const struct Nl__Row *row)
{
	return !core_parse_addr(row->addr) || !row->id ? "addr: not ip:port, or id is 0" : NULL;
}

static const char *check_columns(const struct Nl__Row *row)
{
	switch (row->kind) {
	case NL__KIND__ROUTE:
		return check_route(row);
	case NL__KIND__TENANT:
	case NL__KIND__SHARE:
		return check_tenant(row);
	case NL__KIND__KEY:
		return check_key(row);
	case NL__KIND__SERVER:
		return check_server(row);
	case NL__KIND__SERVICE:
		return check_service(row);
	case NL__KIND__MODEL:
		return check_model(row);
	case NL__KIND__LISTENER:
		return NULL;
	case NL__KIND__RETENTION:
		return retention_check_row(row);
	default:
		return check_controller(row);
	}
}

static const char *check_row(const struct Nl__Row *row, apr_pool_t *pool)
{
	const char *error;

	if (!config_kind_is_valid(row->kind))
		return CONFIG_KIND_UNKNOWN;
	if (!is_valid_name(row->name))
		return apr_psprintf(pool, "%s: name: must be 1 to 199 letters, digits, . _ / - or *",
				    config_kind_name(row->kind));
	error = check_columns(row);
	return error ? apr_psprintf(pool, "%s %s: %s", config_kind_name(row->kind), row->name, error) : NULL;
}

/* A change and the rows before and after it, for the constraints that hold between rows. */
struct consistency_check {
	const struct Nl__Change *change;
	struct config_table_row *rows_before_change;      /* rows of the table, borrowed */
	struct config_row_index *set_by_key;              /* rows that the change sets */
	struct config_row_index *deleted_by_key;          /* rows that the change deletes */
	struct config_row_index *routes_by_host_and_path; /* routes of the table after the change */
};

/* Returns whether the change keeps a row of the table, with its contents. */
static int is_row_unchanged(const struct consistency_check *check, const char *key)
{
	struct config_row_index *set_by_key = check->set_by_key, *deleted_by_key = check->deleted_by_key;

	return !check->change->replace_all && shgeti(set_by_key, key) < 0 && shgeti(deleted_by_key, key) < 0;
}

/* Check that each service in a route's split exists after the change. */
static const char *check_split_services(const struct consistency_check *check, const struct Nl__Row *route,
					apr_pool_t *pool)
{
	struct config_row_index *set_by_key = check->set_by_key;
	struct config_table_row *rows_before_change = check->rows_before_change;
	char buffer[CONFIG_ROW_KEY_BYTES];

	for (size_t i = 0; i < route->n_split; i++) {
		const char *service = route->split[i]->service;
		const char *key = config_row_key(buffer, NL__KIND__SERVICE, service);

		if (shgeti(set_by_key, key) < 0 &&
		    (!is_row_unchanged(check, key) || shgeti(rows_before_change, key) < 0))
			return apr_psprintf(pool, "lane %s: split: service %s does not exist", route->name,
					    service);
	}
	return NULL;
}

/* The key of a route in routes_by_host_and_path: two spellings of one host have the same. */
static const char *host_and_path_key(const struct Nl__Row *route, apr_pool_t *pool)
{
	char host[HOST_NAME_BYTES];

	host_name_normalize(route->host, host);
	return apr_pstrcat(pool, host, "\t", route->path, NULL);
}

/* Check that no other route has the same host and path. */
static const char *check_host_and_path(struct consistency_check *check, const struct Nl__Row *route,
				       apr_pool_t *pool)
{
	const char *host_and_path;
	ptrdiff_t duplicate;

	if (!route->path[0])
		return NULL;
	host_and_path = host_and_path_key(route, pool);
	duplicate = shgeti(check->routes_by_host_and_path, host_and_path);
	if (duplicate >= 0)
		return apr_psprintf(pool, "lane %s: host and path: already used by lane %s", route->name,
				    check->routes_by_host_and_path[duplicate].value->name);
	shput(check->routes_by_host_and_path, host_and_path, route);
	return NULL;
}

/* Check the routes that the change sets against each other and against those that it keeps. Routes that it
 * keeps are not checked against each other: a table of an older build may hold two spellings of one host, and
 * still takes other changes. If a change sets a row twice, the last one is applied. */
static const char *check_routes(struct consistency_check *check, apr_pool_t *pool)
{
	const struct Nl__Change *change = check->change;
	char key[CONFIG_ROW_KEY_BYTES];
	const char *error = NULL;

	for (ptrdiff_t i = 0; i < shlen(check->rows_before_change); i++) {
		const struct Nl__Row *row = check->rows_before_change[i].value.row;

		if (row->kind == NL__KIND__ROUTE && row->path[0] &&
		    is_row_unchanged(check, check->rows_before_change[i].key))
			shput(check->routes_by_host_and_path, host_and_path_key(row, pool), row);
	}
	for (size_t i = 0; i < change->n_set && !error; i++) {
		const struct Nl__Row *row = change->set[i];

		if (row->kind != NL__KIND__ROUTE ||
		    shget(check->set_by_key, config_row_key(key, row->kind, row->name)) != row)
			continue;
		error = check_split_services(check, row, pool);
		if (!error)
			error = check_host_and_path(check, row, pool);
	}
	return error;
}

/* Check the constraints between rows: each host and path belongs to one route, and each service in a split
 * exists. */
static const char *check_consistency(const struct config_table *table, const struct Nl__Change *change,
				     apr_pool_t *pool)
{
	struct consistency_check check = { .change = change, .rows_before_change = table->rows };
	const char *error = NULL;
	int is_needed = change->replace_all;

	for (size_t i = 0; i < change->n_set; i++)
		is_needed |= change->set[i]->kind == NL__KIND__ROUTE &&
			     (change->set[i]->path[0] || change->set[i]->n_split);
	if (!is_needed)
		return NULL;
	check.set_by_key = config_row_index(change->set, change->n_set);
	check.deleted_by_key = config_row_index(change->deleted, change->n_deleted);
	sh_new_arena(check.routes_by_host_and_path);
	error = check_routes(&check, pool);
	shfree(check.routes_by_host_and_path);
	shfree(check.set_by_key);
	shfree(check.deleted_by_key);
	return error;
}

/* Check that no service uses a deleted model. The model's row holds the dates of its target versions, by
 * which servers with older weights stop receiving requests; deleting the row would lose them. */
static const char *check_model_unused(const struct config_table *table, const struct Nl__Row *model,
				      apr_pool_t *pool)
{
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *service = table->rows[i].value.row;

		if (service->kind == NL__KIND__SERVICE && !strcmp(service->model, model->name))
			return apr_psprintf(pool, "del model %s: service %s still uses it", model->name,
					    service->name);
	}
	return NULL;
}

/* Check that a route whose requests are claimed keeps its service: claims of request ids are logged in the
 * shard of the route's service. */
static const char *check_route_keeps_service(const struct config_table *table, const struct Nl__Row *new_row,
					     apr_pool_t *pool)
{
	const struct Nl__Row *old_route =
	    new_row->kind == NL__KIND__ROUTE ? config_table_get(table, NL__KIND__ROUTE, new_row->name) : NULL;

	if (old_route && strcmp(old_route->service, new_row->service) &&
	    !(old_route->client_deduplicates && new_row->client_deduplicates))
		return apr_psprintf(pool, "lane %s: service: cannot change; make a new lane",
				    old_route->name);
	return NULL;
}

static const char *check_deleted_rows(const struct config_table *table, const struct Nl__Change *change,
				      apr_pool_t *pool)
{
	const char *error;

	for (size_t i = 0; i < change->n_deleted; i++) {
		const struct Nl__Row *row = change->deleted[i];

		if (!change->replace_all && !config_table_get(table, row->kind, row->name))
			return apr_psprintf(pool, "del %s %s: no such row", config_kind_name(row->kind),
					    row->name);
	}
	for (size_t i = 0; i < change->n_deleted; i++)
		if (change->deleted[i]->kind == NL__KIND__MODEL &&
		    (error = check_model_unused(table, change->deleted[i], pool)))
			return error;
	return NULL;
}

const char *config_check_change(const struct config_table *table, const struct Nl__Change *change,
				apr_pool_t *pool)
{
	const char *error = NULL;

	if (protobuf_c_message_get_packed_size(&change->base) > CONFIG_CHECK_MAX_CHANGE_BYTES)
		return apr_psprintf(pool, "change: larger than %d bytes", CONFIG_CHECK_MAX_CHANGE_BYTES);
	for (size_t i = 0; i < change->n_set && !error; i++)
		error = check_row(change->set[i], pool);
	for (size_t i = 0; i < change->n_set && !error; i++)
		error = check_route_keeps_service(table, change->set[i], pool);
	if (!error)
		error = check_deleted_rows(table, change, pool);
	if (!error)
		error = retention_check_scopes(table, change, pool);
	if (!error)
		error = check_consistency(table, change, pool);
	return error;
}
