/* table: the one table of weights, shares and limits, and of keys, servers and controllers.
 * Rows are keyed by kind and name; every change has an edition; deletions leave tombstones so that a
 * follower that is a little behind gets only what changed. */
#ifndef NL_CONFIG_TABLE_H
#define NL_CONFIG_TABLE_H

#include <json-c/json.h>

#include "core.h"
#include "version_history.h"

struct config_table_row {
	char *key;
	struct {
		struct Nl__Row *row;
		uint64_t revision;
	} value;
};
struct config_tombstone {
	char *key;
	uint64_t revision;
};

struct config_table {
	uint64_t revision;
	uint64_t operator_revision;    /* edition of the last change of operators' rows: what expect is held
					  against */
	uint64_t floor_revision;       /* deletions at or below floor are forgotten */
	struct group_moment clock;     /* of the newest operation; not kept in followers' copies */
	struct config_table_row *rows; /* stb_ds string map */
	struct config_tombstone *tombstones; /* stb_ds */
};

enum {
	CONFIG_TABLE_MAX_TOMBSTONES = 512,
	CONFIG_TABLE_MAX_CHANGE_BYTES = 24 << 20,
	CONFIG_TABLE_MAX_SPLITS = 64,
	CONFIG_TABLE_MAX_SKIPPED_WEIGHTS = 64
};
enum {
	PROPOSAL_DONE = 0,
	PROPOSAL_NOT_LEADER = 1,
	PROPOSAL_REJECTED = 2,
	PROPOSAL_SUPERSEDED = 3,
	PROPOSAL_OUTCOME_UNKNOWN = 4,
	PROPOSAL_KEY_REUSED = 5,
	PROPOSAL_KEY_EXPIRED = 6
};

void config_table_open(struct config_table *table);
void config_table_close(struct config_table *table);

/* Check a change on its own and against the table; NULL when it may be logged, else what is wrong.
 * Example: if ((why = table_check(&t, c, pool))) refuse(why); */
const char *config_table_check(const struct config_table *table, const struct Nl__Change *change,
			       apr_pool_t *pool);

/* Apply a checked change; purges that it decides on are appended to *feed (stb_ds), index-less.
 * Example: st = table_apply(&t, c, &feed); */
int config_table_apply(struct config_table *table, const struct Nl__Change *change, struct Nl__Purge ***feed);

/* Fill a reply with what changed since an edition, or all of it. Example: table_since(&t, 7, reply, pool); */
void config_table_since(const struct config_table *table, uint64_t base_revision,
			struct Nl__ConfigSyncReply *reply, apr_pool_t *pool);

/* Take such a reply in; 0 when it does not fit on what is here. Editions never go back. A change since an
 * older edition fits too: it names every row that has changed since then as it is now, so the rows that are
 * here already come out the same. Example: if (!table_follow(&t, reply)) ask_for_all(); */
int config_table_follow(struct config_table *table, const struct Nl__ConfigSyncReply *reply);

/* The edition of the last change of operators' rows, as far as a follower can tell: of those still there.
 * Example: if (expect < table_plan(&t)) overtaken(); */
uint64_t config_table_operator_revision(const struct config_table *table);

/* Find a row. Example: table_get(&t, NL__KIND__ROUTE, "arrears") */
const struct Nl__Row *config_table_get(const struct config_table *table, Nl__Kind kind, const char *name);

/* Rows and JSON. On a fault *why names the field. Example: table_row_json(r) */
struct Nl__Row *config_row_parse(struct json_object *json, apr_pool_t *pool, const char **why);
struct json_object *config_row_json(const struct Nl__Row *row);
const char *config_kind_name(Nl__Kind kind);
Nl__Kind config_kind_parse(const char *name);

/* A change from a call's body: {"expect":7,"set":[...],"del":[{"kind","name"}],"whole":false}.
 * Example: c = table_change_parse(body, pool, &why); */
struct Nl__Change *config_change_parse(const char *body, apr_pool_t *pool, const char **why);

/* A string or number member of an object read as JSON; "" or 0 when it is not there.
 * Example: json_num(report, "slots") */
const char *json_string_member(struct json_object *json, const char *name);
uint64_t json_uint_member(struct json_object *json, const char *name);

#endif
