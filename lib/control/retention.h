/* retention: how long kept context stays, and its clearing on the users' schedule: decided by the owner of
 * part 0, logged, fed to the purge stream by slices, and said to be done when nothing names it any more.
 * docs/retention.md says why. */
#ifndef NL_RETENTION_H
#define NL_RETENTION_H

#include "core.h"

struct controller;
struct config_table;

enum {
	RETENTION_POLL_MS = 200,         /* ms between the owner's looks at the schedule */
	RETENTION_CHECK_MS = 500,        /* ms between its looks at what still names cleared parts */
	RETENTION_MIN_PERIOD_MS = 10000, /* the shortest schedule: a clearing takes some seconds itself */
	RETENTION_PROPAGATION_MS =
	    10000,                  /* ms after which a row is in force everywhere, whatever the clocks say */
	RETENTION_MAX_PURGES = 512, /* clearings that are remembered for the report */
	RETENTION_NODE_TIMEOUT_MS =
	    6000, /* a node unheard for so long routes nothing any more: it has lost its configuration */
	RETENTION_MAX_PRESSURE = 250,   /* per mille of load_pressure above which the next slice waits */
	RETENTION_TRIM_MS = 20000,      /* ms between cuttings of a part's log */
	RETENTION_MAX_REMAINDERS = 128, /* rows of what is left that a holder of the index says */
};
#define RETENTION_ANY UINT64_MAX /* scope of what is left where it is not known by scopes */

/* Schedules in calendar terms. Pure: times are ms since 1970. */
struct controller_calendar {
	/* NULL, or what is wrong. Example: if ((why = cal->check("daily 02:30 Asia/Kuala_Lumpur", pool)))
	 * refuse(why); */
	const char *(*check)(const char *text, apr_pool_t *p);
	/* The first time after from; 0: none comes. Example: due = cal->next("mon 03:00 UTC", wall); */
	int64_t (*next)(const char *text, int64_t from);
};

/* What one holder of the index said last. */
struct retention_index_report {
	uint64_t node_id, horizon;
	int64_t received_at_ms;
	struct {
		char *server;
		uint64_t scope, purge_number;
		uint32_t block_count;
	} * remainders; /* stb_ds */
};

struct retention {                          /* a part of part 0's state */
	uint64_t last_purge_number;         /* of the newest clearing */
	struct Nl__RetentionPurge **purges; /* stb_ds, oldest first */
	struct Nl__RetentionPlan **plans;   /* stb_ds, by scope */
	uint64_t purged_tick;
	/* the owner's soft state */
	uint64_t logged_index; /* its last step: the next waits until it is applied */
	int64_t polled_at_ms, checked_at_ms;
	struct retention_index_report *index_reports; /* stb_ds */
};

/* "90m" and "7d" in ms; -1 when it is neither. Example: retention_span("6h") == 21600000 */
int64_t retention_parse_span(const char *text);

/* A row's scope, split: lane and tenant, "" for all. 0 when it is no scope. Example: retention_scope("*",
 * lane, tenant) */
int retention_parse_scope(const char *scope, char lane[200], char tenant[200]);

/* The hash by which a scope's own cache_namespace is known. Example: retention_hash("arrears", "") */
uint64_t retention_namespace_hash(const char *lane, const char *tenant);

/* What is wrong with a row by itself; with the lanes and tenants of the table. NULL: nothing. */
const char *retention_check_row(const struct Nl__Row *row);
const char *retention_check_scopes(const struct config_table *table, const struct Nl__Change *change,
				   apr_pool_t *p);

/* The same against the calendar, at a time. Example: why = retention_check(cal, change, wall, pool); */
const char *retention_check_calendar(const struct controller_calendar *calendar,
				     const struct Nl__Change *change, int64_t wall_ms, apr_pool_t *p);

/* When a row's clearing comes after a time. Example: due = retention_next(cal, row, from, from); */
int64_t retention_next_due(const struct controller_calendar *calendar, const struct Nl__Row *row,
			   int64_t base_ms, int64_t from_ms);

/* Apply one step from the log; what it decides is appended to feed, numbered from index. */
uint32_t retention_apply(struct controller *controller, uint64_t index,
			 const struct Nl__RetentionStep *clear);

/* After a change of the table: plans follow rows. */
void retention_on_config_change(struct controller *controller, uint64_t index);

/* The owner's time passes; a word of a node. */
void retention_tick(struct controller *controller, int64_t now, struct command_list *out);
void retention_on_report(struct controller *controller, const struct Nl__Msg *message, int64_t now);

/* Cut the logs on the disks once something was cleared, in every part that is owned here. */
void retention_trim_logs(struct controller *controller, int64_t now, struct command_list *out);

/* What the controllers' clocks agree that it is at the least; INT64_MIN: no majority is heard. */
int64_t retention_wall_clock(const struct controller *controller, int64_t now);

/* For operators: rows, clearings, what is missing; and the auditors' report. */
const char *retention_json(struct controller *controller, int64_t now, apr_pool_t *p);
const char *retention_csv(const struct controller *controller, apr_pool_t *p);

void retention_pack(const struct controller *controller, struct Nl__ControlState *state);
void retention_load(struct controller *controller, const struct Nl__ControlState *state);
void retention_reset(struct controller *controller);

#endif
