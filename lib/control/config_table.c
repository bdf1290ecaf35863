#include "config_table.h"

#include <stdbool.h>
#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "purge.h"

const char *config_row_key(char buffer[CONFIG_ROW_KEY_BYTES], Nl__Kind kind, const char *name)
{
	apr_snprintf(buffer, CONFIG_ROW_KEY_BYTES, "%d/%s", (int)kind, name);
	return buffer;
}

struct config_row_index *config_row_index(struct Nl__Row *const *rows, size_t count)
{
	struct config_row_index *index = NULL;
	char key[CONFIG_ROW_KEY_BYTES];

	sh_new_arena(index);
	for (size_t i = 0; i < count; i++)
		shput(index, config_row_key(key, rows[i]->kind, rows[i]->name), rows[i]);
	return index;
}

static struct Nl__Row *copy_row(const struct Nl__Row *original)
{
	size_t packed_bytes = nl__row__get_packed_size(original);
	uint8_t *packed = malloc(packed_bytes + 1);
	struct Nl__Row *row;

	if (!packed)
		abort();
	nl__row__pack(original, packed);
	row = nl__row__unpack(NULL, packed_bytes, packed);
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

static ptrdiff_t find_row(const struct config_table *table, Nl__Kind kind, const char *name)
{
	struct config_table_row *rows = table->rows;
	char key[CONFIG_ROW_KEY_BYTES];

	return shgeti(rows, config_row_key(key, kind, name));
}

const struct Nl__Row *config_table_get(const struct config_table *table, Nl__Kind kind, const char *name)
{
	ptrdiff_t i = find_row(table, kind, name);

	return i < 0 ? NULL : table->rows[i].value.row;
}

static bool is_operator_kind(Nl__Kind kind)
{
	return kind == NL__KIND__ROUTE || kind == NL__KIND__TENANT || kind == NL__KIND__SHARE ||
	       kind == NL__KIND__SERVICE || kind == NL__KIND__LISTENER || kind == NL__KIND__RETENTION;
}

/* Returns whether a change with replace_all replaces the rows of a kind. Servers, controllers, models and
 * retention are changed by requests of their own. */
static bool replaces_kind(const struct Nl__Change *change, Nl__Kind kind)
{
	return (is_operator_kind(kind) && kind != NL__KIND__RETENTION) ||
	       (change->replace_keys && kind == NL__KIND__KEY);
}

static void append_purge(struct Nl__Purge ***purges, uint32_t reason, const char *service,
			 const char *weights, const char *tenant, const char *server)
{
	struct Nl__Purge fields = NL__PURGE__INIT, *purge;
	size_t packed_bytes;
	uint8_t *packed;

	fields.reason = reason;
	fields.service = (char *)service;
	fields.weights = (char *)weights;
	fields.tenant = (char *)tenant;
	fields.server = (char *)server;
	packed_bytes = nl__purge__get_packed_size(&fields);
	packed = malloc(packed_bytes + 1);
	if (!packed)
		abort();
	nl__purge__pack(&fields, packed);
	purge = nl__purge__unpack(NULL, packed_bytes, packed);
	free(packed);
	arrput(*purges, purge);
}

/* Append purges of the blocks of older versions, once a model's newer weights are rolled out to every server:
 * of the version that was rolled out before and of the versions in between. */
static void append_model_purges(const struct config_table *table, const struct Nl__Row *old_row,
				const struct Nl__Row *new_row, struct Nl__Purge ***purges)
{
	uint64_t version = strtoull(old_row->rolled_out, NULL, 10),
		 end_version = new_row ? strtoull(new_row->rolled_out, NULL, 10) : version + 1;

	if (!version || version >= end_version)
		return;
	if (end_version - version > CONFIG_TABLE_MAX_PURGED_VERSIONS)
		end_version = version + CONFIG_TABLE_MAX_PURGED_VERSIONS;
	for (; version < end_version; version++)
		for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
			const struct Nl__Row *service = table->rows[i].value.row;
			char version_text[24];

			if (service->kind != NL__KIND__SERVICE || strcmp(service->model, old_row->name))
				continue;
			apr_snprintf(version_text, sizeof version_text, "%" APR_UINT64_T_FMT,
				     (apr_uint64_t)version);
			append_purge(purges, PURGE_WEIGHTS, service->name, version_text, "", "");
		}
}

/* Append the purges that the change of a row requires: of cached blocks that were computed under weights,
 * isolation or servers that the change replaces or removes. new_row is NULL if the row is deleted; purges is
 * NULL if the caller does not need them. */
static void append_row_purges(const struct config_table *table, const struct Nl__Row *old_row,
			      const struct Nl__Row *new_row, struct Nl__Purge ***purges)
{
	if (!purges || !old_row)
		return;
	if (old_row->kind == NL__KIND__SERVICE && old_row->target_weights[0] &&
	    (!new_row || strcmp(old_row->target_weights, new_row->target_weights)))
		append_purge(purges, PURGE_WEIGHTS, old_row->name, old_row->target_weights, "", "");
	if (old_row->kind == NL__KIND__TENANT && (!new_row || old_row->isolated != new_row->isolated))
		append_purge(purges, PURGE_TENANT, "", "", old_row->name, "");
	if (old_row->kind == NL__KIND__SERVER && old_row->state == 0 &&
	    (!new_row || new_row->state || strcmp(old_row->addr, new_row->addr)))
		append_purge(purges, PURGE_SERVER, "", "", "", old_row->name);
	if (old_row->kind == NL__KIND__MODEL && new_row)
		append_model_purges(table, old_row, new_row, purges);
}

static const char *higher_number(const char *first, const char *second)
{
	return strtoull(first, NULL, 10) >= strtoull(second, NULL, 10) ? first : second;
}

/* Make the new row of a model. The versions in the row never decrease; a version that the change leaves empty
 * stays as it was. Until a version is set, all servers have version 1. */
static struct Nl__Row *make_model_row(const struct config_table *table, const struct Nl__Row *old_row,
				      const struct Nl__Row *changed_row, uint64_t bound_passed_at_ms)
{
	struct Nl__Row row = *changed_row;
	struct version_history versions;

	row.target_weights =
	    (char *)higher_number(changed_row->target_weights, old_row ? old_row->target_weights : "1");
	row.rolled_out = (char *)higher_number(changed_row->rolled_out, old_row ? old_row->rolled_out : "1");
	version_history_update(&versions, old_row, &row, table->clock, bound_passed_at_ms);
	return copy_row(&row);
}

static int rows_equal(const struct Nl__Row *a, const struct Nl__Row *b)
{
	size_t packed_bytes = nl__row__get_packed_size(a);
	uint8_t *first_packed, *second_packed;
	int are_equal = 0;

	if (packed_bytes != nl__row__get_packed_size(b))
		return 0;
	first_packed = malloc(2 * packed_bytes + 1);
	if (!first_packed)
		abort();
	second_packed = first_packed + packed_bytes;
	nl__row__pack(a, first_packed);
	nl__row__pack(b, second_packed);
	are_equal = !memcmp(first_packed, second_packed, packed_bytes);
	free(first_packed);
	return are_equal;
}

/* Insert a row, or replace the row with the same key. The table takes ownership of the row. */
static void upsert_row(struct config_table *table, struct Nl__Row *row, uint64_t revision,
		       struct Nl__Purge ***purges)
{
	ptrdiff_t i = find_row(table, row->kind, row->name);
	struct Nl__Row *old = i >= 0 ? table->rows[i].value.row : NULL;
	char key[CONFIG_ROW_KEY_BYTES];

	if (old) {
		append_row_purges(table, old, row, purges);
		table->rows[i].value.row = row;
		table->rows[i].value.revision = revision;
		nl__row__free_unpacked(old, NULL);
		return;
	}
	shput(table->rows, config_row_key(key, row->kind, row->name),
	      ((typeof(table->rows->value)){ row, revision }));
}

/* Apply one row that a change sets. If the change replaces all rows, an equal row keeps its revision, so that
 * copies receive only the rows that differ. */
static void apply_row(struct config_table *table, const struct Nl__Row *row, const struct Nl__Change *change,
		      struct Nl__Purge ***purges)
{
	const struct Nl__Row *old = config_table_get(table, row->kind, row->name);

	if (old && change->replace_all && rows_equal(old, row))
		return;
	upsert_row(table,
		   row->kind == NL__KIND__MODEL ? make_model_row(table, old, row, change->bound_passed_at_ms)
						: copy_row(row),
		   table->revision, purges);
}

static void delete_row(struct config_table *table, const char *key, uint64_t revision,
		       struct Nl__Purge ***purges)
{
	ptrdiff_t i = shgeti(table->rows, key);
	struct config_tombstone tombstone;
	struct Nl__Row *row;

	if (i < 0)
		return;
	row = table->rows[i].value.row;
	append_row_purges(table, row, NULL, purges);
	tombstone.key = strdup(key);
	tombstone.revision = revision;
	arrput(table->tombstones, tombstone);
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

/* Delete the rows that a change with replace_all replaces but does not set. */
static void delete_replaced_rows(struct config_table *table, const struct Nl__Change *change,
				 struct Nl__Purge ***purges)
{
	struct config_row_index *set_by_key = config_row_index(change->set, change->n_set);
	char **removed_keys = NULL;

	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		if (replaces_kind(change, table->rows[i].value.row->kind) &&
		    shgeti(set_by_key, table->rows[i].key) < 0)
			arrput(removed_keys, strdup(table->rows[i].key));
	/* the order of the map differs after a snapshot was loaded, but every replica must delete rows and
	 * append purges in the same order */
	if (removed_keys)
		qsort(removed_keys, (size_t)arrlen(removed_keys), sizeof *removed_keys, compare_keys);
	for (ptrdiff_t i = 0; i < arrlen(removed_keys); i++) {
		delete_row(table, removed_keys[i], table->revision, purges);
		free(removed_keys[i]);
	}
	arrfree(removed_keys);
	shfree(set_by_key);
}

static int changes_operator_rows(const struct Nl__Change *change)
{
	int has_operator_row = change->replace_all;

	for (size_t i = 0; i < change->n_set; i++)
		has_operator_row |= is_operator_kind(change->set[i]->kind);
	for (size_t i = 0; i < change->n_deleted; i++)
		has_operator_row |= is_operator_kind(change->deleted[i]->kind);
	return has_operator_row;
}

enum proposal_status config_table_apply(struct config_table *table, const struct Nl__Change *change,
					struct Nl__Purge ***purges)
{
	char key[CONFIG_ROW_KEY_BYTES];

	if (!change->any_revision && (change->expected_revision < table->operator_revision ||
				      change->expected_revision > table->revision))
		return PROPOSAL_SUPERSEDED;
	table->revision++;
	if (changes_operator_rows(change))
		table->operator_revision = table->revision;
	if (change->replace_all)
		delete_replaced_rows(table, change, purges);
	for (size_t i = 0; i < change->n_deleted; i++)
		delete_row(table, config_row_key(key, change->deleted[i]->kind, change->deleted[i]->name),
			   table->revision, purges);
	for (size_t i = 0; i < change->n_set; i++)
		apply_row(table, change->set[i], change, purges);
	return PROPOSAL_APPLIED;
}

void config_table_pack_since(const struct config_table *table, uint64_t base_revision,
			     struct Nl__ConfigSyncReply *reply, apr_pool_t *pool)
{
	size_t changed_count = 0, row_count = (size_t)shlen(table->rows);

	reply->full =
	    base_revision < table->floor_revision || base_revision > table->revision || !base_revision;
	reply->since_revision = reply->full ? 0 : base_revision;
	reply->revision = table->revision;
	if (!reply->full && base_revision == table->revision)
		return;
	reply->set = apr_palloc(pool, (row_count + 1) * sizeof *reply->set);
	for (size_t i = 0; i < row_count; i++)
		if (reply->full || table->rows[i].value.revision > base_revision)
			reply->set[changed_count++] =
			    (struct Nl__Row *)core_copy_message(pool, &table->rows[i].value.row->base);
	reply->n_set = changed_count;
	if (reply->full)
		return;
	reply->deleted = apr_palloc(pool, ((size_t)arrlen(table->tombstones) + 1) * sizeof *reply->deleted);
	for (ptrdiff_t i = 0; i < arrlen(table->tombstones); i++) {
		struct config_table_row *rows = table->rows;
		struct Nl__Row *row;

		if (table->tombstones[i].revision <= base_revision ||
		    shgeti(rows, table->tombstones[i].key) >= 0)
			continue;
		row = apr_palloc(pool, sizeof *row);
		nl__row__init(row);
		row->kind = (Nl__Kind)strtol(table->tombstones[i].key, NULL, 10);
		row->name = apr_pstrdup(pool, strchr(table->tombstones[i].key, '/') + 1);
		reply->deleted[reply->n_deleted++] = row;
	}
}

bool config_table_apply_reply(struct config_table *table, const struct Nl__ConfigSyncReply *reply)
{
	char key[CONFIG_ROW_KEY_BYTES];

	if (reply->revision < table->revision || (!reply->full && reply->since_revision > table->revision))
		return false;
	if (reply->revision == table->revision && !reply->full)
		return true;
	if (reply->full) {
		config_table_close(table);
		config_table_open(table);
	}
	for (size_t i = 0; i < reply->n_deleted; i++)
		delete_row(table, config_row_key(key, reply->deleted[i]->kind, reply->deleted[i]->name),
			   reply->revision, NULL);
	/* the leader's rows are stored unchanged; it has already applied make_model_row to them */
	for (size_t i = 0; i < reply->n_set; i++)
		upsert_row(table, copy_row(reply->set[i]), reply->revision, NULL);
	table->revision = reply->revision;
	return true;
}
