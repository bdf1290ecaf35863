#include "config_table.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "retention_schedule.h"

static const char *const kind_names[] = { "none",    "lane",      "tenant", "share", "key",      "server",
					  "service", "registrar", "model",  "door",  "retention" };
enum { KIND_COUNT = sizeof kind_names / sizeof *kind_names };

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

static const char *row_key(char *buf, size_t n, Nl__Kind kind, const char *name)
{
	apr_snprintf(buf, n, "%d/%s", (int)kind, name);
	return buf;
}

static struct Nl__Row *row_copy(const struct Nl__Row *r)
{
	size_t size = nl__row__get_packed_size(r);
	uint8_t *packed = malloc(size + 1);
	struct Nl__Row *row;

	if (!packed)
		abort();
	nl__row__pack(r, packed);
	row = nl__row__unpack(NULL, size, packed);
	free(packed);
	if (!row)
		abort();
	return row;
}

void config_table_open(struct config_table *table)
{
	memset(table, 0, sizeof *table);
	sh_new_strdup(table->rows);
}

void config_table_close(struct config_table *table)
{
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		nl__row__free_unpacked(table->rows[i].value.row, NULL);
	shfree(table->rows);
	for (ptrdiff_t i = 0; i < arrlen(table->tombstones); i++)
		free(table->tombstones[i].key);
	arrfree(table->tombstones);
}

static ptrdiff_t find_row(const struct config_table *table, Nl__Kind k, const char *name)
{
	struct config_table_row *h = table->rows;
	char buf[300];

	return shgeti(h, row_key(buf, sizeof buf, k, name));
}

const struct Nl__Row *config_table_get(const struct config_table *table, Nl__Kind kind, const char *name)
{
	ptrdiff_t i = find_row(table, kind, name);

	return i < 0 ? NULL : table->rows[i].value.row;
}

/* ---- check ---------------------------------------------------------------- */

static int is_name(const char *text)
{
	size_t length = strlen(text);

	return length > 0 && length < 200 &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._/-*") == length;
}

/* Printable and without blanks, so that it fits a cell of the sheet. */
static int is_cell_text(const char *text, size_t max_length)
{
	size_t length = 0;

	for (; text[length]; length++)
		if ((unsigned char)text[length] <= ' ' || (unsigned char)text[length] == 127)
			return 0;
	return length > 0 && length <= max_length;
}

static int is_path_prefix(const char *text)
{
	return is_cell_text(text, 1000) && text[0] == '/' && text[strlen(text) - 1] == '/';
}

/* Named weights of a model are counted upwards. */
static int is_weights_number(const char *text)
{
	return strlen(text) > 0 && strlen(text) < 19 && text[0] != '0' &&
	       strspn(text, "0123456789") == strlen(text);
}

static const char *check_split(const struct Nl__Row *row)
{
	uint64_t total_weight = 0;

	if (!row->n_split)
		return NULL;
	if (row->n_split > CONFIG_TABLE_MAX_SPLITS)
		return "split: more than 64 services";
	for (size_t i = 0; i < row->n_split; i++) {
		if (!is_name(row->split[i]->service))
			return "split: a service is missing";
		total_weight += row->split[i]->weight;
	}
	return total_weight ? NULL : "split: the weights add up to 0";
}

static const char *check_route(const struct Nl__Row *row)
{
	const char *fault = check_split(row);

	return fault                                   ? fault
	       : !is_name(row->service)                ? "service: missing"
	       : row->priority > 9                     ? "prio: 0 to 9"
	       : row->limit < 1 || row->limit > 100000 ? "limit: 1 to 100000 places in the line"
	       : (row->host[0] || row->path[0]) && !is_cell_text(row->host, 255)
		   ? "host: 1 to 255 characters without blanks, where there is a path"
	       : row->host[0] && !is_path_prefix(row->path) ? "path: begins and ends with a slash"
	       : row->timeout_ms > 3600000                  ? "timeout: up to 3600000 ms"
	       : row->max_attempts > 100                    ? "attempts: up to 100"
							    : NULL;
}

static const char *check_row(const struct Nl__Row *r, apr_pool_t *pool)
{
	const char *fault = NULL;

	if (r->kind <= NL__KIND__NONE || (unsigned)r->kind >= KIND_COUNT)
		return "kind: none of lane, tenant, share, key, server, service, registrar, model, door, retention";
	if (!is_name(r->name))
		return apr_psprintf(pool, "%s: name: 1 to 199 letters, digits, . _ / - or *",
				    config_kind_name(r->kind));
	switch (r->kind) {
	case NL__KIND__ROUTE:
		fault = check_route(r);
		break;
	case NL__KIND__TENANT:
	case NL__KIND__SHARE:
		fault = r->share < 1 || r->share > 1000 ? "share: 1 to 1000"
			: r->limit > 100000      ? "limit: up to 100000 running at once; 0 for no limit"
			: r->priority_class > 10 ? "rank: 1 to 10; 0 for none"
			: r->kind == NL__KIND__SHARE && !strchr(r->name, '/') ? "name: lane/tenant"
									      : NULL;
		break;
	case NL__KIND__KEY:
		fault = !is_name(r->tenant)     ? "tenant: missing"
			: strlen(r->name) != 64 ? "name: a digest of 64 hex digits"
						: NULL;
		break;
	case NL__KIND__SERVER:
		fault = !core_parse_addr(r->addr) ? "addr: not ip:port"
			: !is_name(r->service)    ? "service: missing"
			: r->state > 1            ? "state: serving or draining"
						  : NULL;
		break;
	case NL__KIND__SERVICE:
		fault =
		    r->model[0] && !is_name(r->model) ? "model: letters, digits, . _ / - or *"
		    : (r->target_weights[0] || !r->model[0]) && !is_name(r->target_weights)
			? "weights: missing, and no model"
		    : r->prefill_tokens_per_ms < 1 || r->prefill_tokens_per_ms > 100000
			? "prefill: 1 to 100000 tokens per ms"
		    : r->kv_bytes_per_token < 1 ? "kv_bytes: 1 or more"
		    : r->link_bytes_per_ms < 1  ? "link: 1 or more bytes per ms"
		    : r->health_path[0] && (!is_cell_text(r->health_path, 1000) || r->health_path[0] != '/')
			? "health: a path"
		    : r->addr[0] && !core_parse_addr(r->addr) ? "addr: not ip:port"
							      : NULL;
		break;
	case NL__KIND__MODEL:
		fault = r->target_weights[0] && !is_weights_number(r->target_weights)
			    ? "weights: a number from 1"
			: r->rolled_out[0] && !is_weights_number(r->rolled_out) ? "rolled: a number from 1"
			: !r->target_weights[0] && !r->rolled_out[0]            ? "weights: missing"
										: NULL;
		break;
	case NL__KIND__LISTENER:
		break;
	case NL__KIND__RETENTION:
		fault = retention_check_row(r);
		break;
	default:
		fault = !core_parse_addr(r->addr) || !r->id ? "addr: not ip:port" : NULL;
		break;
	}
	return fault ? apr_psprintf(pool, "%s %s: %s", config_kind_name(r->kind), r->name, fault) : NULL;
}

struct row_index {
	char *key;
	const struct Nl__Row *value;
};

static int is_operator_kind(Nl__Kind kind)
{
	return kind == NL__KIND__ROUTE || kind == NL__KIND__TENANT || kind == NL__KIND__SHARE ||
	       kind == NL__KIND__SERVICE || kind == NL__KIND__LISTENER || kind == NL__KIND__RETENTION;
}

static int is_replaced(const struct Nl__Change *change, Nl__Kind kind)
{
	return (is_operator_kind(kind) && kind != NL__KIND__RETENTION) ||
	       (change->replace_keys && kind == NL__KIND__KEY);
}

/* The names of all rows that a change sets, in one hash. */
static struct row_index *index_set_rows(const struct Nl__Change *change)
{
	struct row_index *names = NULL;
	char buf[300];

	sh_new_arena(names);
	for (size_t i = 0; i < change->n_set; i++)
		shput(names, row_key(buf, sizeof buf, change->set[i]->kind, change->set[i]->name),
		      change->set[i]);
	return names;
}

static struct row_index *index_deleted_rows(const struct Nl__Change *change)
{
	struct row_index *names = NULL;
	char buf[300];

	sh_new_arena(names);
	for (size_t i = 0; i < change->n_deleted; i++)
		shput(names, row_key(buf, sizeof buf, change->deleted[i]->kind, change->deleted[i]->name),
		      change->deleted[i]);
	return names;
}

/* Host and path lead to one lane, and splits to services that there are, after the change. */
static const char *check_consistency(const struct config_table *table, const struct Nl__Change *change,
				     apr_pool_t *pool)
{
	struct row_index *set = index_set_rows(change), *deleted = index_deleted_rows(change),
			 *by_host_and_path = NULL;
	struct config_table_row *row = table->rows;
	const char *why = NULL;
	char buf[300];
	int needed = change->replace_all;

	sh_new_arena(by_host_and_path);
	for (size_t i = 0; i < change->n_set; i++)
		needed |= change->set[i]->kind == NL__KIND__ROUTE &&
			  (change->set[i]->path[0] || change->set[i]->n_split);
	for (ptrdiff_t i = 0; i < shlen(row) + (ptrdiff_t)change->n_set && needed && !why; i++) {
		int is_new = i >= shlen(row);
		const struct Nl__Row *r = is_new ? change->set[i - shlen(row)] : row[i].value.row;
		ptrdiff_t duplicate;
		char *host_and_path;

		if (r->kind != NL__KIND__ROUTE ||
		    (!is_new && (change->replace_all || shgeti(set, row[i].key) >= 0 ||
				 shgeti(deleted, row[i].key) >= 0)))
			continue;
		if (is_new && shget(set, row_key(buf, sizeof buf, r->kind, r->name)) != r)
			continue; /* set twice: the last one counts */
		for (size_t share = 0; share < r->n_split && !why && is_new; share++) {
			const char *key =
			    row_key(buf, sizeof buf, NL__KIND__SERVICE, r->split[share]->service);

			if (shgeti(set, key) < 0 &&
			    (change->replace_all || shgeti(deleted, key) >= 0 || shgeti(row, key) < 0))
				why = apr_psprintf(pool, "lane %s: split: no service %s", r->name,
						   r->split[share]->service);
		}
		if (!r->path[0] || why)
			continue;
		host_and_path = apr_pstrcat(pool, r->host, "\t", r->path, NULL);
		duplicate = shgeti(by_host_and_path, host_and_path);
		if (duplicate >= 0)
			why = apr_psprintf(pool, "lane %s: host and path: those of lane %s", r->name,
					   by_host_and_path[duplicate].value->name);
		else
			shput(by_host_and_path, host_and_path, r);
	}
	shfree(by_host_and_path);
	shfree(set);
	shfree(deleted);
	return why;
}

/* With its row the dates would go by which servers with older weights get nothing more. */
static const char *check_model_removed(const struct config_table *table, const struct Nl__Row *removed,
				       apr_pool_t *pool)
{
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;

		if (row->kind == NL__KIND__SERVICE && !strcmp(row->model, removed->name))
			return apr_psprintf(pool, "del model %s: service %s has it", removed->name,
					    row->name);
	}
	return NULL;
}

const char *config_table_check(const struct config_table *table, const struct Nl__Change *change,
			       apr_pool_t *pool)
{
	const char *why;

	if (protobuf_c_message_get_packed_size(&change->base) > CONFIG_TABLE_MAX_CHANGE_BYTES)
		return apr_psprintf(pool, "change: larger than %d bytes", CONFIG_TABLE_MAX_CHANGE_BYTES);
	for (size_t i = 0; i < change->n_set; i++)
		if ((why = check_row(change->set[i], pool)))
			return why;
	for (size_t i = 0; i < change->n_set;
	     i++) { /* an id is claimed in its service's part: such a lane stays with its service */
		const struct Nl__Row *old =
		    change->set[i]->kind == NL__KIND__ROUTE
			? config_table_get(table, NL__KIND__ROUTE, change->set[i]->name)
			: NULL;

		if (old && strcmp(old->service, change->set[i]->service) &&
		    !(old->client_deduplicates && change->set[i]->client_deduplicates))
			return apr_psprintf(pool, "lane %s: service: cannot change; make a new lane",
					    old->name);
	}
	for (size_t i = 0; i < change->n_deleted; i++)
		if (!change->replace_all &&
		    find_row(table, change->deleted[i]->kind, change->deleted[i]->name) < 0)
			return apr_psprintf(pool, "del %s %s: no such row",
					    config_kind_name(change->deleted[i]->kind),
					    change->deleted[i]->name);
	for (size_t i = 0; i < change->n_deleted; i++)
		if (change->deleted[i]->kind == NL__KIND__MODEL &&
		    (why = check_model_removed(table, change->deleted[i], pool)))
			return why;
	why = retention_check_scopes(table, change, pool);
	return why ? why : check_consistency(table, change, pool);
}

/* ---- change --------------------------------------------------------------- */

static void append_purge(struct Nl__Purge ***feed, uint32_t reason, const char *service, const char *weights,
			 const char *tenant, const char *server)
{
	struct Nl__Purge p = NL__PURGE__INIT, *purge;
	size_t size;
	uint8_t *packed;

	p.reason = reason;
	p.service = (char *)service;
	p.weights = (char *)weights;
	p.tenant = (char *)tenant;
	p.server = (char *)server;
	size = nl__purge__get_packed_size(&p);
	packed = malloc(size + 1);
	if (!packed)
		abort();
	nl__purge__pack(&p, packed);
	purge = nl__purge__unpack(NULL, size, packed);
	free(packed);
	arrput(*feed, purge);
}

/* A model's weights have reached every server: what stood before them, and what was named in between, is
 * withdrawn. */
static void purge_model(const struct config_table *table, const struct Nl__Row *was,
			const struct Nl__Row *row, struct Nl__Purge ***feed)
{
	uint64_t replaced_weights = strtoull(was->rolled_out, NULL, 10),
		 current_weights = row ? strtoull(row->rolled_out, NULL, 10) : replaced_weights + 1;

	if (!replaced_weights || replaced_weights >= current_weights)
		return;
	if (current_weights - replaced_weights > CONFIG_TABLE_MAX_SKIPPED_WEIGHTS)
		current_weights = replaced_weights + CONFIG_TABLE_MAX_SKIPPED_WEIGHTS;
	for (; replaced_weights < current_weights; replaced_weights++)
		for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
			const struct Nl__Row *r = table->rows[i].value.row;
			char buf[24];

			if (r->kind != NL__KIND__SERVICE || strcmp(r->model, was->name))
				continue;
			apr_snprintf(buf, sizeof buf, "%" APR_UINT64_T_FMT, (apr_uint64_t)replaced_weights);
			append_purge(feed, 1, r->name, buf, "", "");
		}
}

/* What a row's change withdraws. */
static void decide_purges(const struct config_table *table, const struct Nl__Row *was,
			  const struct Nl__Row *row, struct Nl__Purge ***feed)
{
	if (!feed || !was)
		return;
	if (was->kind == NL__KIND__SERVICE && was->target_weights[0] &&
	    (!row || strcmp(was->target_weights, row->target_weights)))
		append_purge(feed, 1, was->name, was->target_weights, "", "");
	if (was->kind == NL__KIND__TENANT && (!row || was->isolated != row->isolated))
		append_purge(feed, 2, "", "", was->name, "");
	if (was->kind == NL__KIND__SERVER && was->state == 0 &&
	    (!row || row->state || strcmp(was->addr, row->addr)))
		append_purge(feed, 3, "", "", "", was->name);
	if (was->kind == NL__KIND__MODEL && row)
		purge_model(table, was, row, feed);
}

static const char *higher_number(const char *first, const char *second)
{
	return strtoull(first, NULL, 10) >= strtoull(second, NULL, 10) ? first : second;
}

/* Weights of a model only rise; what a change leaves empty stays. Before any are named, the first stand
 * everywhere. */
static struct Nl__Row *make_model_row(const struct config_table *table, const struct Nl__Row *was,
				      const struct Nl__Row *r, uint64_t bound_passed)
{
	struct Nl__Row m = *r;
	struct version_history versions;

	m.target_weights = (char *)higher_number(r->target_weights, was ? was->target_weights : "1");
	m.rolled_out = (char *)higher_number(r->rolled_out, was ? was->rolled_out : "1");
	version_history_update(&versions, was, &m, table->clock, bound_passed);
	return row_copy(&m);
}

static int rows_equal(const struct Nl__Row *a, const struct Nl__Row *b)
{
	size_t size = nl__row__get_packed_size(a);
	uint8_t *first_packed, *second_packed;
	int same = 0;

	if (size != nl__row__get_packed_size(b))
		return 0;
	first_packed = malloc(2 * size + 1);
	if (!first_packed)
		abort();
	second_packed = first_packed + size;
	nl__row__pack(a, first_packed);
	nl__row__pack(b, second_packed);
	same = !memcmp(first_packed, second_packed, size);
	free(first_packed);
	return same;
}

/* Put a row, which the table owns from now on, in the place of its namesake. */
static void row_put(struct config_table *table, struct Nl__Row *row, uint64_t revision,
		    struct Nl__Purge ***feed)
{
	ptrdiff_t i = find_row(table, row->kind, row->name);
	struct Nl__Row *old = i >= 0 ? table->rows[i].value.row : NULL;
	char buf[300];

	if (old) {
		decide_purges(table, old, row, feed);
		table->rows[i].value.row = row;
		table->rows[i].value.revision = revision;
		nl__row__free_unpacked(old, NULL);
		return;
	}
	shput(table->rows, row_key(buf, sizeof buf, row->kind, row->name),
	      ((typeof(table->rows->value)){ row, revision }));
}

/* One row of a change. In a whole document an equal row keeps its edition, so that followers get only what
 * changed. */
static void row_set(struct config_table *table, const struct Nl__Row *row, const struct Nl__Change *change,
		    struct Nl__Purge ***feed)
{
	const struct Nl__Row *old = config_table_get(table, row->kind, row->name);

	if (old && change->replace_all && rows_equal(old, row))
		return;
	row_put(table,
		row->kind == NL__KIND__MODEL ? make_model_row(table, old, row, change->bound_passed_at_ms)
					     : row_copy(row),
		table->revision, feed);
}

static void row_delete(struct config_table *table, const char *key, uint64_t revision,
		       struct Nl__Purge ***feed)
{
	ptrdiff_t i = shgeti(table->rows, key);
	struct config_tombstone tomb;
	struct Nl__Row *row;

	if (i < 0)
		return;
	row = table->rows[i].value.row;
	decide_purges(table, row, NULL, feed);
	tomb.key = strdup(key);
	tomb.revision = revision;
	arrput(table->tombstones, tomb);
	(void)shdel(table->rows, key);
	nl__row__free_unpacked(row, NULL);
	while (arrlen(table->tombstones) > CONFIG_TABLE_MAX_TOMBSTONES) {
		table->floor_revision = table->tombstones[0].revision;
		free(table->tombstones[0].key);
		arrdel(table->tombstones, 0);
	}
}

uint64_t config_table_operator_revision(const struct config_table *table)
{
	uint64_t operator_revision = table->operator_revision;

	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		if (is_operator_kind(table->rows[i].value.row->kind) &&
		    table->rows[i].value.revision > operator_revision)
			operator_revision = table->rows[i].value.revision;
	return operator_revision;
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

int config_table_apply(struct config_table *table, const struct Nl__Change *change, struct Nl__Purge ***feed)
{
	int changes_operator_rows = change->replace_all;
	char buf[300];

	if (!change->any_revision && (change->expected_revision < table->operator_revision ||
				      change->expected_revision > table->revision))
		return PROPOSAL_SUPERSEDED;
	table->revision++;
	for (size_t i = 0; i < change->n_set; i++)
		changes_operator_rows |= is_operator_kind(change->set[i]->kind);
	for (size_t i = 0; i < change->n_deleted; i++)
		changes_operator_rows |= is_operator_kind(change->deleted[i]->kind);
	if (changes_operator_rows)
		table->operator_revision = table->revision;
	if (change->replace_all) { /* operators' kinds are replaced; servers, controllers and models have
				      calls of their own */
		struct row_index *set = index_set_rows(change);
		char **removed = NULL;

		for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
			if (is_replaced(change, table->rows[i].value.row->kind) &&
			    shgeti(set, table->rows[i].key) < 0)
				arrput(removed, strdup(table->rows[i].key));
		if (removed) /* the map's own order is another after a snapshot, and what follows must be the
				same on every replica */
			qsort(removed, (size_t)arrlen(removed), sizeof *removed, compare_keys);
		for (ptrdiff_t i = 0; i < arrlen(removed); i++) {
			row_delete(table, removed[i], table->revision, feed);
			free(removed[i]);
		}
		arrfree(removed);
		shfree(set);
	}
	for (size_t i = 0; i < change->n_deleted; i++)
		row_delete(table,
			   row_key(buf, sizeof buf, change->deleted[i]->kind, change->deleted[i]->name),
			   table->revision, feed);
	for (size_t i = 0; i < change->n_set; i++)
		row_set(table, change->set[i], change, feed);
	return PROPOSAL_DONE;
}

/* ---- follow --------------------------------------------------------------- */

void config_table_since(const struct config_table *table, uint64_t base_revision,
			struct Nl__ConfigSyncReply *reply, apr_pool_t *pool)
{
	size_t changed = 0, row_count = (size_t)shlen(table->rows);

	reply->full =
	    base_revision < table->floor_revision || base_revision > table->revision || !base_revision;
	reply->since_revision = reply->full ? 0 : base_revision;
	reply->revision = table->revision;
	if (!reply->full && base_revision == table->revision)
		return;
	reply->set = apr_palloc(pool, (row_count + 1) * sizeof *reply->set);
	for (size_t i = 0; i < row_count; i++)
		if (reply->full || table->rows[i].value.revision > base_revision)
			reply->set[changed++] =
			    (struct Nl__Row *)core_copy_message(pool, &table->rows[i].value.row->base);
	reply->n_set = changed;
	if (reply->full)
		return;
	reply->deleted = apr_palloc(pool, ((size_t)arrlen(table->tombstones) + 1) * sizeof *reply->deleted);
	for (ptrdiff_t i = 0; i < arrlen(table->tombstones); i++) {
		struct config_table_row *h = table->rows;
		struct Nl__Row *row;

		if (table->tombstones[i].revision <= base_revision ||
		    shgeti(h, table->tombstones[i].key) >= 0)
			continue;
		row = apr_palloc(pool, sizeof *row);
		nl__row__init(row);
		row->kind = (Nl__Kind)strtol(table->tombstones[i].key, NULL, 10);
		row->name = apr_pstrdup(pool, strchr(table->tombstones[i].key, '/') + 1);
		reply->deleted[reply->n_deleted++] = row;
	}
}

int config_table_follow(struct config_table *table, const struct Nl__ConfigSyncReply *reply)
{
	char buf[300];

	if (reply->revision < table->revision || (!reply->full && reply->since_revision > table->revision))
		return 0;
	if (reply->revision == table->revision && !reply->full)
		return 1;
	if (reply->full) {
		config_table_close(table);
		config_table_open(table);
	}
	for (size_t i = 0; i < reply->n_deleted; i++)
		row_delete(table, row_key(buf, sizeof buf, reply->deleted[i]->kind, reply->deleted[i]->name),
			   reply->revision, NULL);
	for (size_t i = 0; i < reply->n_set; i++)
		row_put(table, row_copy(reply->set[i]), reply->revision, NULL); /* as the leader has it */
	table->revision = reply->revision;
	return 1;
}

/* ---- JSON ----------------------------------------------------------------- */

enum column_kind {
	COLUMN_STRING,
	COLUMN_UINT32,
	COLUMN_UINT64,
	COLUMN_BOOL,
	COLUMN_STATE,
	COLUMN_HEX,
	COLUMN_SPLIT
};
struct row_column {
	const char *name;
	enum column_kind kind;
	size_t offset;
	unsigned kinds;
};
#define ON(k) (1u << NL__KIND__##k)
#define AT(f) offsetof(struct Nl__Row, f)

/* One line per column of the table: which kinds of row have it. */
static const struct row_column row_columns[] = {
	{ "name", COLUMN_STRING, AT(name), ~0u },
	{ "service", COLUMN_STRING, AT(service), ON(ROUTE) | ON(SERVER) },
	{ "tenant", COLUMN_STRING, AT(tenant), ON(KEY) },
	{ "addr", COLUMN_STRING, AT(addr), ON(SERVER) | ON(CONTROLLER) | ON(SERVICE) },
	{ "zone", COLUMN_STRING, AT(zone), ON(SERVER) | ON(CONTROLLER) | ON(SERVICE) },
	{ "weights", COLUMN_STRING, AT(target_weights), ON(SERVICE) | ON(MODEL) },
	{ "prio", COLUMN_UINT32, AT(priority), ON(ROUTE) },
	{ "share", COLUMN_UINT32, AT(share), ON(TENANT) | ON(SHARE) },
	{ "limit", COLUMN_UINT32, AT(limit), ON(ROUTE) | ON(TENANT) | ON(SHARE) },
	{ "walled", COLUMN_BOOL, AT(isolated), ON(TENANT) },
	{ "state", COLUMN_STATE, AT(state), ON(SERVER) },
	{ "id", COLUMN_HEX, AT(id), ON(CONTROLLER) },
	{ "prefill", COLUMN_UINT32, AT(prefill_tokens_per_ms), ON(SERVICE) },
	{ "kv_bytes", COLUMN_UINT32, AT(kv_bytes_per_token), ON(SERVICE) },
	{ "link", COLUMN_UINT32, AT(link_bytes_per_ms), ON(SERVICE) },
	{ "store", COLUMN_UINT32, AT(store_bytes_per_ms), ON(SERVICE) },
	{ "host", COLUMN_STRING, AT(host), ON(ROUTE) },
	{ "path", COLUMN_STRING, AT(path), ON(ROUTE) },
	{ "split", COLUMN_SPLIT, AT(split), ON(ROUTE) },
	{ "aim", COLUMN_UINT32, AT(latency_target_ms), ON(ROUTE) },
	{ "pause", COLUMN_UINT32, AT(max_gap_ms), ON(ROUTE) },
	{ "timeout", COLUMN_UINT32, AT(timeout_ms), ON(ROUTE) },
	{ "attempts", COLUMN_UINT32, AT(max_attempts), ON(ROUTE) },
	{ "resumable", COLUMN_BOOL, AT(resumable), ON(ROUTE) },
	{ "repeatable", COLUMN_BOOL, AT(idempotent), ON(ROUTE) },
	{ "vouched", COLUMN_BOOL, AT(client_deduplicates), ON(ROUTE) },
	{ "open", COLUMN_BOOL, AT(key_optional), ON(ROUTE) },
	{ "model", COLUMN_STRING, AT(model), ON(SERVICE) },
	{ "slots", COLUMN_UINT32, AT(slots), ON(SERVICE) },
	{ "conns", COLUMN_UINT32, AT(max_connections), ON(SERVICE) },
	{ "watches", COLUMN_UINT32, AT(max_watches), ON(SERVICE) },
	{ "room", COLUMN_UINT64, AT(capacity_tokens), ON(SERVICE) },
	{ "rank", COLUMN_UINT32, AT(priority_class), ON(TENANT) },
	{ "rolled", COLUMN_STRING, AT(rolled_out), ON(MODEL) },
	{ "health", COLUMN_STRING, AT(health_path), ON(SERVICE) },
	{ "head_bytes", COLUMN_UINT32, AT(max_head_bytes), ON(LISTENER) },
	{ "body_bytes", COLUMN_UINT32, AT(max_body_bytes), ON(LISTENER) },
	{ "head_ms", COLUMN_UINT32, AT(head_timeout_ms), ON(LISTENER) },
	{ "idle_ms", COLUMN_UINT32, AT(idle_timeout_ms), ON(LISTENER) },
	{ "keep", COLUMN_STRING, AT(max_age), ON(RETENTION) },
	{ "every", COLUMN_STRING, AT(interval), ON(RETENTION) },
	{ "at", COLUMN_STRING, AT(calendar), ON(RETENTION) },
	{ "window", COLUMN_UINT32, AT(spread_ms), ON(RETENTION) },
};
enum { ROW_COLUMN_COUNT = sizeof row_columns / sizeof *row_columns };

/* Services and weights as one text: "a:90,b:10". */
static char *split_text(const struct Nl__Row *row)
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

static int split_parse(struct Nl__Row *row, const char *text, apr_pool_t *pool)
{
	char *copy = apr_pstrdup(pool, text), *save = NULL;
	size_t share_count = 1;

	for (const char *c = text; *c; c++)
		share_count += *c == ',';
	row->split = apr_palloc(pool, (share_count + 1) * sizeof *row->split);
	row->n_split = 0;
	for (char *item = apr_strtok(copy, ",", &save); item; item = apr_strtok(NULL, ",", &save)) {
		struct Nl__RouteSplit *split = apr_palloc(pool, sizeof *split);
		char *colon = strrchr(item, ':'), *end = colon;
		unsigned long long weight;

		if (!colon || colon == item || colon[1] < '0' || colon[1] > '9')
			return 0;
		weight = strtoull(colon + 1, &end, 10);
		if (*end || weight > 1000000)
			return 0;
		*colon = 0;
		nl__route_split__init(split);
		split->service = item;
		split->weight = (uint32_t)weight;
		row->split[row->n_split++] = split;
	}
	return 1;
}

struct json_object *config_row_json(const struct Nl__Row *row)
{
	struct json_object *json = json_object_new_object();
	char hex[20], *text;

	json_object_object_add(json, "kind", json_object_new_string(config_kind_name(row->kind)));
	for (int i = 0; i < ROW_COLUMN_COUNT; i++) {
		const char *field = (const char *)row + row_columns[i].offset;
		struct json_object *v = NULL;

		if (!(row_columns[i].kinds & 1u << row->kind))
			continue;
		switch (row_columns[i].kind) {
		case COLUMN_STRING:
			v = json_object_new_string(*(char *const *)(const void *)field);
			break;
		case COLUMN_UINT32:
			v = json_object_new_int64(*(const uint32_t *)(const void *)field);
			break;
		case COLUMN_UINT64:
			v = json_object_new_uint64(*(const uint64_t *)(const void *)field);
			break;
		case COLUMN_SPLIT:
			text = split_text(row);
			v = json_object_new_string(text);
			free(text);
			break;
		case COLUMN_BOOL:
			v = json_object_new_boolean(*(const protobuf_c_boolean *)(const void *)field);
			break;
		case COLUMN_STATE:
			v = json_object_new_string(*(const uint32_t *)(const void *)field ? "draining"
											  : "serving");
			break;
		case COLUMN_HEX:
			apr_snprintf(hex, sizeof hex, "%016" APR_UINT64_T_HEX_FMT,
				     *(const uint64_t *)(const void *)field);
			v = json_object_new_string(hex);
			break;
		}
		json_object_object_add(json, row_columns[i].name, v);
	}
	return json;
}

struct Nl__Row *config_row_parse(struct json_object *json, apr_pool_t *pool, const char **why)
{
	struct Nl__Row *row = apr_palloc(pool, sizeof *row);
	struct json_object *k;

	nl__row__init(row);
	if (!json_object_is_type(json, json_type_object) || !json_object_object_get_ex(json, "kind", &k) ||
	    (row->kind = config_kind_parse(json_object_get_string(k))) == NL__KIND__NONE) {
		*why =
		    "kind: none of lane, tenant, share, key, server, service, registrar, model, door, retention";
		return NULL;
	}
	json_object_object_foreach(json, column_name, v)
	{
		const struct row_column *cell = NULL;
		char *field;

		if (!strcmp(column_name, "kind"))
			continue;
		for (int i = 0; i < ROW_COLUMN_COUNT; i++)
			if (!strcmp(row_columns[i].name, column_name) &&
			    (row_columns[i].kinds & 1u << row->kind))
				cell = &row_columns[i];
		if (!cell) {
			*why = apr_psprintf(pool, "%s: %s: no such field", config_kind_name(row->kind),
					    column_name);
			return NULL;
		}
		field = (char *)row + cell->offset;
		if (cell->kind == COLUMN_UINT64
			? !json_object_is_type(v, json_type_int) || json_object_get_int64(v) < 0
		    : cell->kind == COLUMN_UINT32
			? !json_object_is_type(v, json_type_int) || json_object_get_int64(v) < 0 ||
			      json_object_get_int64(v) > UINT32_MAX
		    : cell->kind == COLUMN_BOOL ? !json_object_is_type(v, json_type_boolean)
						: !json_object_is_type(v, json_type_string)) {
			*why = apr_psprintf(pool, "%s: %s: wrong type or range", config_kind_name(row->kind),
					    column_name);
			return NULL;
		}
		switch (cell->kind) {
		case COLUMN_STRING:
			*(char **)(void *)field = apr_pstrdup(pool, json_object_get_string(v));
			break;
		case COLUMN_UINT32:
			*(uint32_t *)(void *)field = (uint32_t)json_object_get_int64(v);
			break;
		case COLUMN_UINT64:
			*(uint64_t *)(void *)field = json_object_get_uint64(v);
			break;
		case COLUMN_SPLIT:
			if (!split_parse(row, json_object_get_string(v), pool)) {
				*why = apr_psprintf(pool, "%s: split: not as service:weight,service:weight",
						    config_kind_name(row->kind));
				return NULL;
			}
			break;
		case COLUMN_BOOL:
			*(protobuf_c_boolean *)(void *)field = json_object_get_boolean(v);
			break;
		case COLUMN_STATE: {
			const char *state = json_object_get_string(v);

			*(uint32_t *)(void *)field = !strcmp(state, "serving")    ? 0
						     : !strcmp(state, "draining") ? 1
										  : 2;
			break;
		}
		case COLUMN_HEX:
			*(uint64_t *)(void *)field = strtoull(json_object_get_string(v), NULL, 16);
			break;
		}
	}
	return row;
}

static int rows_parse(struct json_object *json, const char *name, size_t *n, struct Nl__Row ***row,
		      apr_pool_t *pool, const char **why)
{
	struct json_object *a;

	if (!json_object_object_get_ex(json, name, &a))
		return 1;
	if (!json_object_is_type(a, json_type_array)) {
		*why = apr_psprintf(pool, "%s: not a list", name);
		return 0;
	}
	*n = json_object_array_length(a);
	*row = apr_palloc(pool, (*n + 1) * sizeof **row);
	for (size_t i = 0; i < *n; i++) {
		(*row)[i] = config_row_parse(json_object_array_get_idx(a, i), pool, why);
		if (!(*row)[i]) {
			*why = apr_psprintf(pool, "%s[%d]: %s", name, (int)i, *why);
			return 0;
		}
	}
	return 1;
}

struct Nl__Change *config_change_parse(const char *body, apr_pool_t *pool, const char **why)
{
	struct json_object *json = json_tokener_parse(body), *v;
	struct Nl__Change *change = apr_palloc(pool, sizeof *change);

	nl__change__init(change);
	*why = NULL;
	if (!json_object_is_type(json, json_type_object)) {
		*why = "body: not a JSON object";
		goto end;
	}
	json_object_object_foreach(json, name, x)
	{
		(void)x;
		if (strcmp(name, "expect") && strcmp(name, "whole") && strcmp(name, "set") &&
		    strcmp(name, "del")) {
			*why = apr_psprintf(pool, "%s: no such field", name);
			goto end;
		}
	}
	if (json_object_object_get_ex(json, "expect", &v)) {
		if (!json_object_is_type(v, json_type_int) || json_object_get_int64(v) < 0) {
			*why = "expect: not an edition";
			goto end;
		}
		change->expected_revision = json_object_get_uint64(v);
	} else {
		change->any_revision = 1;
	}
	if (json_object_object_get_ex(json, "whole", &v))
		change->replace_all = json_object_get_boolean(v);
	if (!rows_parse(json, "set", &change->n_set, &change->set, pool, why) ||
	    !rows_parse(json, "del", &change->n_deleted, &change->deleted, pool, why))
		goto end;
	if (!change->n_set && !change->n_deleted && !change->replace_all)
		*why = "set: nothing to change";
end:
	if (json)
		json_object_put(json);
	return *why ? NULL : change;
}

const char *json_string_member(struct json_object *json, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(json, name, &v) && json_object_is_type(v, json_type_string)
		   ? json_object_get_string(v)
		   : "";
}

uint64_t json_uint_member(struct json_object *json, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(json, name, &v) ? json_object_get_uint64(v) : 0;
}
