/* config_table: the configuration as one table of rows: routes, tenants, shares, services, models, keys,
 * servers, controllers, the listener and retention.
 *
 * The control shard's state machine applies changes to it; every other node keeps a copy that follows the
 * leader's (config_watch). A row is known by its kind and name, and carries the revision of its last change.
 * Deleted rows leave tombstones, so that a copy that is a little behind gets only what has changed.
 *
 * Always: the revision rises with each change and never goes back; equal sequences of changes give equal
 * tables. */
#ifndef NL_CONFIG_TABLE_H
#define NL_CONFIG_TABLE_H

#include <stdbool.h>

#include "core.h"
#include "proposal_status.h"
#include "version_history.h"

enum {
	CONFIG_TABLE_MAX_TOMBSTONES = 512,
	CONFIG_TABLE_MAX_PURGED_VERSIONS = 64, /* versions that one rollout of a model purges at the most */
	CONFIG_ROW_KEY_BYTES = 300             /* of a row's key with its terminating zero */
};

/* A row under its key: its kind as a number, a slash, its name. */
struct config_table_row {
	char *key;
	struct {
		struct Nl__Row *row; /* owned by the table */
		uint64_t revision;   /* of its last change */
	} value;
};

/* A row that was deleted. */
struct config_tombstone {
	char *key;
	uint64_t revision; /* in which it was deleted */
};

/* The table. */
struct config_table {
	uint64_t revision;
	uint64_t operator_revision;    /* of the last change of operators' rows: expected revisions are held
					  against it; kept on members of the control shard alone */
	uint64_t floor_revision;       /* tombstones up to it are forgotten */
	struct group_moment clock;     /* of the newest operation; not kept in followers' copies */
	struct config_table_row *rows; /* stb_ds string map */
	struct config_tombstone *tombstones; /* stb_ds, oldest first */
};

/* Rows of a change by their keys. */
struct config_row_index {
	char *key;
	const struct Nl__Row *value;
};

/* Begin with an empty table. */
void config_table_open(struct config_table *table);

/* Release a table with all its rows. */
void config_table_close(struct config_table *table);

/* Apply a checked change. Purges that it decides on are appended to *feed (stb_ds, owned by the caller),
 * without an index; NULL: they are not wanted. Returns PROPOSAL_DONE, or PROPOSAL_SUPERSEDED with nothing
 * changed. Example: status = config_table_apply(&table, change, &feed); */
enum proposal_status config_table_apply(struct config_table *table, const struct Nl__Change *change,
					struct Nl__Purge ***purges);

/* Fill a reply with what has changed since a revision, or with all rows where that is not known any more; 0:
 * all. Results live in the pool. Example: config_table_since(&table, 7, reply, pool); */
void config_table_since(const struct config_table *table, uint64_t base_revision,
			struct Nl__ConfigSyncReply *reply, apr_pool_t *pool);

/* Bring a copy up to date with such a reply. Returns 0 when the reply does not fit on the copy: older, or
 * since a revision that the copy has not reached. One since an older revision fits, too: it names every row
 * that has changed since then as it is now, so the rows that are here already come out the same. Example: if
 * (!config_table_follow(&table, reply)) request_all(); */
bool config_table_follow(struct config_table *table, const struct Nl__ConfigSyncReply *reply);

/* The revision of the last change of operators' rows, as far as a copy can tell: of those still there.
 * Example: if (expected < config_table_operator_revision(&table)) reject(); */
uint64_t config_table_operator_revision(const struct config_table *table);

/* Find a row; NULL if there is none. It is the table's, until the next change.
 * Example: config_table_get(&table, NL__KIND__ROUTE, "arrears") */
const struct Nl__Row *config_table_get(const struct config_table *table, Nl__Kind kind, const char *name);

/* Write a row's key into a buffer and return it. Example: shgeti(rows, config_row_key(key, row->kind,
 * row->name)) */
const char *config_row_key(char buffer[CONFIG_ROW_KEY_BYTES], Nl__Kind kind, const char *name);

/* An index of rows (stb_ds string map; shfree it); of two rows with one key it has the last. The rows stay
 * the caller's. Example: set = config_row_index(change->set, change->n_set); */
struct config_row_index *config_row_index(struct Nl__Row *const *rows, size_t count);

#endif
