/* config_table: the configuration as one table of rows. The kinds of row are route, tenant, share, service,
 * model, key, server, controller, listener and retention.
 *
 * The control shard's state machine applies changes to its table. Every other node keeps a copy, which it
 * brings up to date with the leader's replies (config_watch). A row is identified by its kind and name, and
 * stores the revision of its last change. Deleted rows leave tombstones, so that a copy at a recent revision
 * receives only the changes since then.
 *
 * Invariants: the revision increases with each change and never decreases; equal sequences of changes produce
 * equal tables. */
#ifndef NL_CONFIG_TABLE_H
#define NL_CONFIG_TABLE_H

#include <stdbool.h>

#include "core.h"
#include "proposal_status.h"
#include "version_history.h"

enum {
	CONFIG_TABLE_MAX_TOMBSTONES = 512,
	CONFIG_TABLE_MAX_PURGED_VERSIONS =
	    64,                    /* maximum number of versions that one rollout of a model purges */
	CONFIG_ROW_KEY_BYTES = 300 /* size of a row's key with its terminating zero */
};

/* A row and its key. The key is the number of the row's kind, a slash and the row's name. */
struct config_table_row {
	char *key;
	struct {
		struct Nl__Row *row; /* owned by the table */
		uint64_t revision;   /* revision of the row's last change */
	} value;
};

/* The key of a deleted row. */
struct config_tombstone {
	char *key;
	uint64_t revision; /* revision that deleted the row */
};

struct config_table {
	uint64_t revision;
	uint64_t operator_revision;    /* revision of the last change of operators' rows, with which expected
					  revisions are compared; only members of the control shard keep it */
	uint64_t floor_revision;       /* tombstones up to this revision have been removed */
	struct group_moment clock;     /* group clock of the newest operation; not set in copies */
	struct config_table_row *rows; /* stb_ds string map */
	struct config_tombstone *tombstones; /* stb_ds, oldest first */
};

/* The rows of a change, by key (stb_ds string map). */
struct config_row_index {
	char *key;
	const struct Nl__Row *value;
};

/* Initialize an empty table. */
void config_table_open(struct config_table *table);

/* Release a table with all its rows. */
void config_table_close(struct config_table *table);

/* Apply a change that config_check has accepted. The purges that the change requires are appended, without an
 * index, to *purges (stb_ds, owned by the caller); purges may be NULL. Returns PROPOSAL_APPLIED, or
 * PROPOSAL_SUPERSEDED if the change expects another revision; the table is then unchanged.
 * Example: status = config_table_apply(&table, change, &purges); */
enum proposal_status config_table_apply(struct config_table *table, const struct Nl__Change *change,
					struct Nl__Purge ***purges);

/* Fill a reply with the rows that have changed since base_revision. It holds all rows if base_revision is 0
 * or the tombstones since then have been removed. The rows are allocated in the pool.
 * Example: config_table_pack_since(&table, 7, reply, pool); */
void config_table_pack_since(const struct config_table *table, uint64_t base_revision,
			     struct Nl__ConfigSyncReply *reply, apr_pool_t *pool);

/* Apply a leader's reply to a copy of the table. Returns false if the reply cannot be applied: its revision
 * is older than the copy, or it holds the changes since a revision that the copy has not reached. A reply
 * with the changes since a revision older than the copy can be applied, too: it holds the current contents of
 * every row that has changed since then, so rows that are already up to date stay the same.
 * Example: if (!config_table_apply_reply(&table, reply)) request_all_rows(); */
bool config_table_apply_reply(struct config_table *table, const struct Nl__ConfigSyncReply *reply);

/* Get the revision of the last change of operators' rows. A copy of the table does not have
 * operator_revision, so its result covers only the rows that still exist.
 * Example: if (expected < config_table_operator_revision(&table)) reject(); */
uint64_t config_table_operator_revision(const struct config_table *table);

/* Find a row; NULL if there is none. The table owns the row, which is valid until the next change.
 * Example: config_table_get(&table, NL__KIND__ROUTE, "arrears") */
const struct Nl__Row *config_table_get(const struct config_table *table, Nl__Kind kind, const char *name);

/* Write a row's key into a buffer and return the buffer.
 * Example: shgeti(rows, config_row_key(key, row->kind, row->name)) */
const char *config_row_key(char buffer[CONFIG_ROW_KEY_BYTES], Nl__Kind kind, const char *name);

/* Make an index of rows by key (stb_ds string map, which the caller frees with shfree). Of several rows with
 * the same key it holds the last. The caller keeps owning the rows.
 * Example: set = config_row_index(change->set, change->n_set); */
struct config_row_index *config_row_index(struct Nl__Row *const *rows, size_t count);

#endif
