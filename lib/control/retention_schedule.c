#include "retention_schedule.h"

#include <stdbool.h>
#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "config_table.h"
#include "containers.h"

enum {
	MAX_GAP_COUNT = 400, /* purges examined for the time between two */
	MAX_GAP_DAYS = 800,  /* days from now on in which purges are examined */
	DAY_MS = 86400000,
	HOUR_MS = 3600000
};

int64_t retention_parse_duration_ms(const char *text)
{
	static const struct {
		char unit;
		int64_t ms;
	} units[] = {
		{ 's', 1000 }, { 'm', 60000 }, { 'h', 3600000 }, { 'd', 86400000 }, { 'w', 604800000 }
	};
	size_t n = strspn(text, "0123456789");
	int64_t value = n && n < 7 ? strtoll(text, NULL, 10) : 0;

	for (size_t i = 0; value && i < sizeof units / sizeof *units; i++)
		if (text[n] == units[i].unit && !text[n + 1])
			return value * units[i].ms;
	return -1;
}

int retention_parse_scope(const char *scope, char route[RETENTION_SCOPE_BYTES],
			  char tenant[RETENTION_SCOPE_BYTES])
{
	const char *slash = strchr(scope, '/');

	if (strlen(scope) >= RETENTION_SCOPE_BYTES)
		return 0;
	if (!strcmp(scope, "*")) {
		scope = "*/*";
		slash = scope + 1;
	}
	if (!slash || slash == scope || !slash[1])
		return 0;
	memcpy(route, scope, (size_t)(slash - scope));
	route[slash - scope] = 0;
	memcpy(tenant, slash + 1, strlen(slash));
	if (!strcmp(route, "*"))
		route[0] = 0;
	if (!strcmp(tenant, "*"))
		tenant[0] = 0;
	return 1;
}

uint64_t retention_namespace_hash(const char *route, const char *tenant)
{
	return core_hash_string(core_hash_string(31, route), tenant);
}

/* The time between two purges of a row without calendar terms. */
static int64_t row_period_ms(const struct Nl__Row *row)
{
	return row->interval[0] ? retention_parse_duration_ms(row->interval)
				: retention_parse_duration_ms(row->max_age) - row->spread_ms;
}

const char *retention_check_row(const struct Nl__Row *row)
{
	char route[RETENTION_SCOPE_BYTES], tenant[RETENTION_SCOPE_BYTES];
	int64_t max_age_ms = row->max_age[0] ? retention_parse_duration_ms(row->max_age) : 0;

	if (!retention_parse_scope(row->name, route, tenant))
		return "name: expected lane/tenant, with * for all lanes or tenants, or * alone for everything";
	if (max_age_ms < 0)
		return "keep: expected a number followed by s, m, h, d or w, such as 90m or 7d";
	if (row->interval[0] && row->calendar[0])
		return "every: cannot be combined with at";
	if (!max_age_ms && !row->interval[0] && !row->calendar[0])
		return "keep: missing; at least one of keep, every and at is required";
	if (row->interval[0] && retention_parse_duration_ms(row->interval) < 0)
		return "every: expected a number followed by s, m, h, d or w, such as 6h";
	if (max_age_ms && max_age_ms < (int64_t)row->spread_ms)
		return "keep: shorter than window";
	if (row->calendar[0])
		return NULL; /* checked against the calendar when the change is proposed */
	if (row_period_ms(row) < RETENTION_MIN_PERIOD_MS)
		return row->interval[0] ? "every: shorter than the duration of a clearing (10s)"
					: "keep: shorter than window plus the duration of a clearing (10s)";
	if ((int64_t)row->spread_ms > row_period_ms(row))
		return "window: longer than the time between two clearings";
	if (max_age_ms && row->interval[0] && max_age_ms < row_period_ms(row) + (int64_t)row->spread_ms)
		return "keep: shorter than every plus window";
	return NULL;
}

/* Whether the table has a row after the change has been applied. */
static bool has_row_after(const struct config_table *table, const struct Nl__Change *change, Nl__Kind kind,
			  const char *name)
{
	for (size_t i = 0; i < change->n_set; i++)
		if (change->set[i]->kind == kind && !strcmp(change->set[i]->name, name))
			return true;
	for (size_t i = 0; i < change->n_deleted; i++)
		if (change->deleted[i]->kind == kind && !strcmp(change->deleted[i]->name, name))
			return false;
	return !change->replace_all && config_table_get(table, kind, name);
}

const char *retention_check_scopes(const struct config_table *table, const struct Nl__Change *change,
				   apr_pool_t *pool)
{
	char route[RETENTION_SCOPE_BYTES], tenant[RETENTION_SCOPE_BYTES];

	for (size_t i = 0; i < change->n_set && shlen(table->rows); i++) {
		const struct Nl__Row *row = change->set[i];

		if (row->kind != NL__KIND__RETENTION || !retention_parse_scope(row->name, route, tenant))
			continue;
		if (route[0] && !has_row_after(table, change, NL__KIND__ROUTE, route))
			return apr_psprintf(pool, "retention %s: name: no lane %s", row->name, route);
		if (tenant[0] && !has_row_after(table, change, NL__KIND__TENANT, tenant))
			return apr_psprintf(pool, "retention %s: name: no tenant %s", row->name, tenant);
	}
	return NULL;
}

/* Find the shortest and the longest time between two consecutive purges of the next MAX_GAP_DAYS days,
 * looking at MAX_GAP_COUNT purges at most. Returns 0 when fewer than two purges are scheduled. */
static int find_purge_gaps(const struct controller_calendar *calendar, const char *text, int64_t unix_ms,
			   int64_t *shortest_ms, int64_t *longest_ms)
{
	int64_t due_at_ms = calendar->next(text, unix_ms);
	int count = 0;

	*shortest_ms = INT64_MAX;
	*longest_ms = 0;
	while (due_at_ms && due_at_ms < unix_ms + (int64_t)MAX_GAP_DAYS * DAY_MS) {
		int64_t next_ms = calendar->next(text, due_at_ms);
		int64_t gap_ms = next_ms - due_at_ms;

		if (!next_ms || count++ >= MAX_GAP_COUNT)
			break;
		if (gap_ms < *shortest_ms)
			*shortest_ms = gap_ms;
		if (gap_ms > *longest_ms)
			*longest_ms = gap_ms;
		due_at_ms = next_ms;
	}
	return count;
}

/* Check one row against the calendar from unix_ms on. Returns NULL, or an error text. */
static const char *check_row_at(const struct controller_calendar *calendar, const struct Nl__Row *row,
				int64_t unix_ms, apr_pool_t *pool)
{
	int64_t shortest_ms;
	int64_t longest_ms;
	const char *error;

	if (unix_ms == INT64_MIN)
		return "the time is unknown, since no majority of the controllers has reported its clock recently";
	if (!row->calendar[0])
		return NULL;
	if (!calendar)
		return "at: no calendar is available in this process";
	error = calendar->check(row->calendar, pool);
	if (error)
		return apr_psprintf(pool, "at: %s", error);
	if (!calendar->next(row->calendar, unix_ms))
		return "at: the schedule never occurs";
	if (find_purge_gaps(calendar, row->calendar, unix_ms, &shortest_ms, &longest_ms) &&
	    (int64_t)row->spread_ms > shortest_ms)
		return "window: longer than the time between two clearings";
	if (row->max_age[0]) {
		int64_t max_age_ms = retention_parse_duration_ms(row->max_age);

		if (max_age_ms >= 0 && max_age_ms < longest_ms + (int64_t)row->spread_ms)
			return apr_psprintf(
			    pool,
			    "keep: shorter than the longest time between two clearings (%" APR_INT64_T_FMT
			    " h) plus window",
			    longest_ms / HOUR_MS);
	}
	return NULL;
}

const char *retention_check_calendar(const struct controller_calendar *calendar,
				     const struct Nl__Change *change, int64_t unix_ms, apr_pool_t *pool)
{
	for (size_t i = 0; i < change->n_set; i++) {
		const struct Nl__Row *row = change->set[i];
		const char *error;

		if (row->kind != NL__KIND__RETENTION)
			continue;
		error = check_row_at(calendar, row, unix_ms, pool);
		if (error)
			return apr_psprintf(pool, "retention %s: %s", row->name, error);
	}
	return NULL;
}

int64_t retention_next_due(const struct controller_calendar *calendar, const struct Nl__Row *row,
			   int64_t base_ms, int64_t from_ms)
{
	int64_t period_ms;

	if (row->calendar[0])
		return calendar ? calendar->next(row->calendar, from_ms) : 0;
	period_ms = row_period_ms(row);
	if (period_ms < RETENTION_MIN_PERIOD_MS)
		return 0;
	return base_ms > from_ms ? base_ms : base_ms + ((from_ms - base_ms) / period_ms + 1) * period_ms;
}
