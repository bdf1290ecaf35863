/* retention: how long kept context stays, and its clearing on the users' schedule: decided by the owner of part 0, logged,
 * fed to the purge stream by slices, and said to be done when nothing names it any more. docs/retention.md says why. */
#ifndef NL_RETENTION_H
#define NL_RETENTION_H

#include "core.h"

struct controller;
struct table;

enum {
	RETENTION_LOOK = 200,     /* ms between the owner's looks at the schedule */
	RETENTION_CHECK = 500,    /* ms between its looks at what still names cleared parts */
	RETENTION_LEAST = 10000,  /* the shortest schedule: a clearing takes some seconds itself */
	RETENTION_SETTLE = 10000, /* ms after which a row is in force everywhere, whatever the clocks say */
	RETENTION_RECORDS = 512,  /* clearings that are remembered for the report */
	RETENTION_HEARD = 6000,   /* a node unheard for so long routes nothing any more: it has lost its configuration */
	RETENTION_STRAIN = 250,   /* per mille of load_pressure above which the next slice waits */
	RETENTION_DISK = 20000,   /* ms between cuttings of a part's log */
	RETENTION_ROWS = 128,     /* rows of what is left that a holder of the index says */
};
#define RETENTION_ANY UINT64_MAX /* scope of what is left where it is not known by scopes */

/* Schedules in calendar terms. Pure: times are ms since 1970. */
struct controller_calendar {
	/* NULL, or what is wrong. Example: if ((why = cal->check("daily 02:30 Asia/Kuala_Lumpur", pool))) refuse(why); */
	const char *(*check)(const char *text, apr_pool_t *p);
	/* The first time after from; 0: none comes. Example: due = cal->next("mon 03:00 UTC", wall); */
	int64_t (*next)(const char *text, int64_t from);
};

/* What one holder of the index said last. */
struct retention_said {
	uint64_t id, horizon;
	int64_t at;
	struct {
		char *server;
		uint64_t scope, number;
		uint32_t parts;
	} * v; /* stb_ds */
};

struct retention {                 /* a part of part 0's state */
	uint64_t number;           /* of the newest clearing */
	struct Nl__Clearing **v;   /* stb_ds, oldest first */
	struct Nl__Planned **plan; /* stb_ds, by scope */
	uint64_t cleared;
	/* the owner's soft state */
	uint64_t logged; /* its last step: the next waits until it is applied */
	int64_t looked, checked;
	struct retention_said *said; /* stb_ds */
};

/* "90m" and "7d" in ms; -1 when it is neither. Example: retention_span("6h") == 21600000 */
int64_t retention_span(const char *text);

/* A row's scope, split: lane and tenant, "" for all. 0 when it is no scope. Example: retention_scope("*", lane, tenant) */
int retention_scope(const char *name, char lane[200], char tenant[200]);

/* The hash by which a scope's own cache_namespace is known. Example: retention_hash("arrears", "") */
uint64_t retention_hash(const char *lane, const char *tenant);

/* What is wrong with a row by itself; with the lanes and tenants of the table. NULL: nothing. */
const char *retention_row(const struct Nl__Row *r);
const char *retention_scopes(const struct table *t, const struct Nl__Change *c, apr_pool_t *p);

/* The same against the calendar, at a time. Example: why = retention_check(cal, change, wall, pool); */
const char *retention_check(const struct controller_calendar *cal, const struct Nl__Change *c, int64_t wall, apr_pool_t *p);

/* When a row's clearing comes after a time. Example: due = retention_next(cal, row, from, from); */
int64_t retention_next(const struct controller_calendar *cal, const struct Nl__Row *row, int64_t base, int64_t from);

/* Apply one step from the log; what it decides is appended to feed, numbered from index. */
uint32_t retention_apply(struct controller *r, uint64_t index, const struct Nl__Clear *c);

/* After a change of the table: plans follow rows. */
void retention_rows(struct controller *r, uint64_t index);

/* The owner's time passes; a word of a node. */
void retention_tick(struct controller *r, int64_t now, struct out *o);
void retention_heard(struct controller *r, const struct Nl__Msg *m, int64_t now);

/* Cut the logs on the disks once something was cleared, in every part that is owned here. */
void retention_disks(struct controller *r, int64_t now, struct out *o);

/* What the controllers' clocks agree that it is at the least; INT64_MIN: no majority is heard. */
int64_t retention_wall(const struct controller *r, int64_t now);

/* For operators: rows, clearings, what is missing; and the auditors' report. */
const char *retention_json(struct controller *r, int64_t now, apr_pool_t *p);
const char *retention_csv(const struct controller *r, apr_pool_t *p);

void retention_pack(const struct controller *r, struct Nl__CtlState *s);
void retention_load(struct controller *r, const struct Nl__CtlState *s);
void retention_clear(struct controller *r);

#endif
