/* retention_schedule: parses and checks the operators' rows of kind `retention`, and calculates when a purge
 * is due.
 *
 * A row names a scope (ROUTE/TENANT, with * for all) and sets how long context may be kept in that scope, at
 * which interval it is purged, or at which calendar times. Rows are checked by themselves when the
 * configuration is checked, and against the calendar and the time before a change is logged.
 *
 * The functions keep no state, and wall clock times are passed in as ms since 1970. */
#ifndef NL_RETENTION_SCHEDULE_H
#define NL_RETENTION_SCHEDULE_H

#include "core.h"

struct config_table;

enum {
	/* shortest time between two purges, since a purge takes some seconds */
	RETENTION_MIN_PERIOD_MS = 10000,
	/* size of the longest scope, route or tenant, with its terminating zero */
	RETENTION_SCOPE_BYTES = 200
};

/* Evaluates schedules that are given in calendar terms. calendar.c implements it with ICU; routers are built
 * without an implementation. */
struct controller_calendar {
	/* Check that a text is a schedule. Returns NULL, or an error text that may be allocated in the pool.
	 * Example: if ((error = calendar->check("daily 02:30 Asia/Kuala_Lumpur", pool))) reject(error); */
	const char *(*check)(const char *text, apr_pool_t *pool);
	/* The first scheduled time after from_ms; 0 when there is none.
	 * Example: due_at_ms = calendar->next("mon 03:00 UTC", unix_ms); */
	int64_t (*next)(const char *text, int64_t from_ms);
};

/* Parse a duration such as "90m" or "7d" (units s, m, h, d, w). Returns it in ms, or -1 when the text is
 * invalid. Example: retention_parse_duration_ms("6h") == 21600000 */
int64_t retention_parse_duration_ms(const char *text);

/* Split a scope into route and tenant, each "" for all. Returns 0 when the text is not a valid scope.
 * Example: if (!retention_parse_scope("*", route, tenant)) reject("name"); */
int retention_parse_scope(const char *scope, char route[RETENTION_SCOPE_BYTES],
			  char tenant[RETENTION_SCOPE_BYTES]);

/* The hash that identifies the cache namespace of a scope that has a retention row of its own.
 * Example: hash = retention_namespace_hash("arrears", ""); */
uint64_t retention_namespace_hash(const char *route, const char *tenant);

/* Check a row by itself. Returns NULL, or an error text. */
const char *retention_check_row(const struct Nl__Row *row);

/* Check the scopes of the retention rows in a change: they may name only routes and tenants that are in the
 * table after the change. Returns NULL, or an error text in the pool. */
const char *retention_check_scopes(const struct config_table *table, const struct Nl__Change *change,
				   apr_pool_t *pool);

/* Check the retention rows in a change against the calendar from unix_ms on: each schedule must contain a
 * future time, and durations must fit the time between two purges. All retention rows are rejected when
 * unix_ms is INT64_MIN (time unknown); rows with calendar terms are rejected when calendar is NULL. Returns
 * NULL, or an error text in the pool. Example: error = retention_check_calendar(&calendar_icu, change,
 * unix_ms, pool); */
const char *retention_check_calendar(const struct controller_calendar *calendar,
				     const struct Nl__Change *change, int64_t unix_ms, apr_pool_t *pool);

/* The first due time of a row's purge after from_ms; 0 when there is none. The periods of a row without
 * calendar terms are counted from base_ms. Example: due_at_ms = retention_next_due(calendar, row, unix_ms,
 * unix_ms); */
int64_t retention_next_due(const struct controller_calendar *calendar, const struct Nl__Row *row,
			   int64_t base_ms, int64_t from_ms);

#endif
