/* table: the one table of weights, shares and limits, and of keys, servers and controllers.
 * Rows are keyed by kind and name; every change has an edition; deletions leave tombstones so that a
 * follower that is a little behind gets only what changed. */
#ifndef NL_TABLE_H
#define NL_TABLE_H

#include <json-c/json.h>

#include "core.h"
#include "naming.h"

struct table_row {
	char *key;
	struct {
		struct Nl__Row *row;
		uint64_t edition;
	} value;
};
struct table_tomb {
	char *key;
	uint64_t edition;
};

struct table {
	uint64_t edition;
	uint64_t plan;           /* edition of the last change of operators' rows: what expect is held against */
	uint64_t floor;          /* deletions at or below floor are forgotten */
	struct group_moment now; /* of the newest operation; not kept in followers' copies */
	struct table_row *h;     /* stb_ds string map */
	struct table_tomb *tomb; /* stb_ds */
};

enum { TABLE_TOMBS = 512, TABLE_MAX = 24 << 20, TABLE_SPLITS = 64, TABLE_SKIPPED = 64 };
enum {
	TABLE_DONE = 0,
	TABLE_NOT_OWNER = 1,
	TABLE_REFUSED = 2,
	TABLE_OVERTAKEN = 3,
	TABLE_BUSY = 4,
	TABLE_KEY_REUSED = 5,
	TABLE_FORGOTTEN = 6
};

void table_open(struct table *t);
void table_close(struct table *t);

/* Check a change on its own and against the table; NULL when it may be logged, else what is wrong.
 * Example: if ((why = table_check(&t, c, pool))) refuse(why); */
const char *table_check(const struct table *t, const struct Nl__Change *c, apr_pool_t *p);

/* Apply a checked change; purges that it decides on are appended to *feed (stb_ds), index-less.
 * Example: st = table_apply(&t, c, &feed); */
int table_apply(struct table *t, const struct Nl__Change *c, struct Nl__Purge ***feed);

/* Fill a reply with what changed since an edition, or all of it. Example: table_since(&t, 7, reply, pool); */
void table_since(const struct table *t, uint64_t have, struct Nl__ConfigSyncReply *r, apr_pool_t *p);

/* Take such a reply in; 0 when it does not fit on what is here. Editions never go back. A change since an older edition fits
 * too: it names every row that has changed since then as it is now, so the rows that are here already come out the same.
 * Example: if (!table_follow(&t, reply)) ask_for_all(); */
int table_follow(struct table *t, const struct Nl__ConfigSyncReply *r);

/* The edition of the last change of operators' rows, as far as a follower can tell: of those still there.
 * Example: if (expect < table_plan(&t)) overtaken(); */
uint64_t table_plan(const struct table *t);

/* Find a row. Example: table_get(&t, NL__KIND__LANE, "arrears") */
const struct Nl__Row *table_get(const struct table *t, Nl__Kind k, const char *name);

/* Rows and JSON. On a fault *why names the field. Example: table_row_json(r) */
struct Nl__Row *table_row_parse(struct json_object *j, apr_pool_t *p, const char **why);
struct json_object *table_row_json(const struct Nl__Row *r);
const char *table_kind_name(Nl__Kind k);
Nl__Kind table_kind(const char *s);

/* A change from a call's body: {"expect":7,"set":[...],"del":[{"kind","name"}],"whole":false}.
 * Example: c = table_change_parse(body, pool, &why); */
struct Nl__Change *table_change_parse(const char *body, apr_pool_t *p, const char **why);

/* A string or number member of an object read as JSON; "" or 0 when it is not there.
 * Example: json_num(report, "slots") */
const char *json_str(struct json_object *j, const char *k);
uint64_t json_num(struct json_object *j, const char *k);

#endif
