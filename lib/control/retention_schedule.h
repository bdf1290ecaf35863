/* retention_schedule: the operators' rows of kind `retention`: what they mean and when a purge is due.
 *
 * A row names a scope (ROUTE/TENANT, with * for all) and says for how long context may be kept there, or how
 * often, or by which calendar it is purged. config_table checks each row with it, the leader checks a change
 * against the calendar before it logs it, and retention.c asks it for due times. notchlug-validate asks the
 * same questions of a change that is not proposed yet.
 *
 * Pure: nothing here keeps state, and wall clock times are passed in as ms since 1970. */
#ifndef NL_RETENTION_SCHEDULE_H
#define NL_RETENTION_SCHEDULE_H

#include "core.h"

struct config_table;

enum {
	RETENTION_MIN_PERIOD_MS = 10000, /* the shortest schedule: a purge takes some seconds itself */
	RETENTION_SCOPE_BYTES = 200      /* the longest scope, route or tenant with its terminating zero */
};

/* Evaluates schedules in calendar terms; calendar.c implements it with ICU. Routers and tests have none. */
struct controller_calendar {
	/* Whether a text is a schedule. Returns NULL, or what is wrong, allocated in the pool.
	 * Example: if ((error = calendar->check("daily 02:30 Asia/Kuala_Lumpur", pool))) reject(error); */
	const char *(*check)(const char *text, apr_pool_t *pool);
	/* The first time that the schedule names after from_ms; 0 when none comes.
	 * Example: due_at_ms = calendar->next("mon 03:00 UTC", unix_ms); */
	int64_t (*next)(const char *text, int64_t from_ms);
};

/* Parse a span such as "90m" or "7d" (units s, m, h, d, w). Returns ms, or -1 when it is none.
 * Example: retention_parse_span("6h") == 21600000 */
int64_t retention_parse_span(const char *text);

/* Split a scope into route and tenant, "" for all. Returns 0 when it is no scope.
 * Example: if (!retention_parse_scope("*", route, tenant)) reject("name"); */
int retention_parse_scope(const char *scope, char route[RETENTION_SCOPE_BYTES],
			  char tenant[RETENTION_SCOPE_BYTES]);

/* The hash by which the cache_namespace of a scope with a row of its own is known.
 * Example: hash = retention_namespace_hash("arrears", ""); */
uint64_t retention_namespace_hash(const char *route, const char *tenant);

/* What is wrong with a row by itself; NULL when nothing is. */
const char *retention_check_row(const struct Nl__Row *row);

/* What is wrong with the scopes of a change's rows: they may name only routes and tenants that the table has
 * after the change. Returns NULL, or a text in the pool. */
const char *retention_check_scopes(const struct config_table *table, const struct Nl__Change *change,
				   apr_pool_t *pool);

/* What is wrong with a change's rows at a time: dates that never come, and spans that do not fit the time
 * between two purges. unix_ms INT64_MIN: the time is not known, and no row can be planned. calendar may be
 * NULL: then rows with calendar terms are rejected. Returns NULL, or a text in the pool.
 * Example: error = retention_check_calendar(&calendar_icu, change, unix_ms, pool); */
const char *retention_check_calendar(const struct controller_calendar *calendar,
				     const struct Nl__Change *change, int64_t unix_ms, apr_pool_t *pool);

/* When a row's purge is due after from_ms; 0 when none comes. A row without calendar terms counts its periods
 * from base_ms. Example: due_at_ms = retention_next_due(calendar, row, unix_ms, unix_ms); */
int64_t retention_next_due(const struct controller_calendar *calendar, const struct Nl__Row *row,
			   int64_t base_ms, int64_t from_ms);

#endif
