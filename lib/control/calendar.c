#include "calendar.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unicode/ucal.h>
#include <unicode/ustring.h>

enum {
	/* includes a 29 February, also across a century year that is no leap year */
	MAX_SEARCH_DAYS = 366 * 9,
	EVERY_WEEKDAY = 127,
	MAX_SCHEDULE_BYTES = 160,
	MAX_ZONE_BYTES = 64
};

/* A parsed schedule. */
struct schedule {
	int weekdays;     /* bit set; bit 0 is Sunday */
	int day_of_month; /* 0: any */
	int month;        /* 0: any */
	int hour;
	int minute;
	char zone[MAX_ZONE_BYTES];
};

/* ---- parsing ---- */

/* Parse a number of one or two digits. Returns -1 when the text is no such number, or the number is above
 * max. */
static int parse_number(const char *text, size_t size, int max)
{
	int value = 0;

	if (!size || size > 2 || strspn(text, "0123456789") < size)
		return -1;
	for (size_t i = 0; i < size; i++)
		value = value * 10 + (text[i] - '0');
	return value <= max ? value : -1;
}

/* Parse weekdays such as "mon,thu". Returns NULL, or an error text. */
static const char *parse_weekdays(const char *list, struct schedule *schedule)
{
	static const char *const names[] = { "sun", "mon", "tue", "wed", "thu", "fri", "sat" };

	for (const char *cursor = list; *cursor; cursor += cursor[3] == ',' ? 4 : 3) {
		int weekday = 0;

		while (weekday < 7 && strncmp(cursor, names[weekday], 3))
			weekday++;
		if (weekday == 7 || (cursor[3] && cursor[3] != ',') || (cursor[3] == ',' && !cursor[4]))
			return "the first word is neither daily, monthly, yearly nor a list of days such as mon,thu";
		if (schedule->weekdays & 1 << weekday)
			return "a weekday is given twice, so the schedule overlaps itself";
		schedule->weekdays |= 1 << weekday;
	}
	return NULL;
}

/* Parse the date of a monthly schedule, such as "15", or of a yearly one, such as "12-31". Returns NULL, or
 * an error text. */
static const char *parse_date(const char *date, int is_yearly, struct schedule *schedule)
{
	const char *dash = date && is_yearly ? strchr(date, '-') : NULL;
	const char *day;

	if (!date || (is_yearly && !dash))
		return "the day is missing; expected for example monthly 15 or yearly 12-31";
	day = dash ? dash + 1 : date;
	schedule->weekdays = EVERY_WEEKDAY;
	schedule->month = dash ? parse_number(date, (size_t)(dash - date), 12) : 0;
	schedule->day_of_month = parse_number(day, strlen(day), 31);
	if (schedule->day_of_month < 1 || schedule->month < 0 || (dash && schedule->month < 1))
		return "the day does not exist, so the schedule never occurs";
	return NULL;
}

/* Parse a time of day such as "02:30". Returns NULL, or an error text. */
static const char *parse_time_of_day(const char *time_of_day, struct schedule *schedule)
{
	const char *colon = time_of_day ? strchr(time_of_day, ':') : NULL;

	schedule->hour = colon ? parse_number(time_of_day, (size_t)(colon - time_of_day), 23) : -1;
	schedule->minute = colon && strlen(colon + 1) == 2 ? parse_number(colon + 1, 2, 59) : -1;
	if (schedule->hour < 0 || schedule->minute < 0)
		return "the time of day is missing or not of the form 02:30";
	return NULL;
}

static bool is_valid_zone(const char *zone)
{
	UChar id[MAX_ZONE_BYTES], canonical[MAX_ZONE_BYTES];
	UErrorCode status = U_ZERO_ERROR;

	u_strFromUTF8(id, MAX_ZONE_BYTES, NULL, zone, -1, &status);
	ucal_getCanonicalTimeZoneID(id, -1, canonical, MAX_ZONE_BYTES, NULL, &status);
	return U_SUCCESS(status);
}

/* Parse a schedule. Returns NULL, or an error text; with a pool, the text contains the name of an unknown
 * time zone. */
static const char *parse_schedule(const char *text, struct schedule *schedule, apr_pool_t *pool)
{
	char copy[MAX_SCHEDULE_BYTES], *token, *save = NULL;
	const char *error = NULL;

	memset(schedule, 0, sizeof *schedule);
	if (strlen(text) >= sizeof copy)
		return "the schedule is too long";
	memcpy(copy, text, strlen(text) + 1);
	token = apr_strtok(copy, " ", &save);
	if (!token)
		return "empty";
	if (!strcmp(token, "monthly") || !strcmp(token, "yearly"))
		error = parse_date(apr_strtok(NULL, " ", &save), token[0] == 'y', schedule);
	else if (!strcmp(token, "daily"))
		schedule->weekdays = EVERY_WEEKDAY;
	else
		error = parse_weekdays(token, schedule);
	if (!error)
		error = parse_time_of_day(apr_strtok(NULL, " ", &save), schedule);
	if (error)
		return error;
	token = apr_strtok(NULL, " ", &save);
	if (!token || strlen(token) >= sizeof schedule->zone)
		return "the time zone is missing";
	if (apr_strtok(NULL, " ", &save))
		return "unexpected words after the time zone";
	memcpy(schedule->zone, token, strlen(token) + 1);
	if (is_valid_zone(schedule->zone))
		return NULL;
	return pool ? apr_psprintf(pool, "there is no time zone %s", schedule->zone)
		    : "the time zone does not exist";
}

/* ---- due times ---- */

/* Whether the calendar is set to a day of the schedule. */
static bool is_scheduled_day(UCalendar *calendar, const struct schedule *schedule, UErrorCode *status)
{
	int weekday = ucal_get(calendar, UCAL_DAY_OF_WEEK, status) - 1;

	if (!(schedule->weekdays & 1 << weekday))
		return false;
	if (schedule->day_of_month && ucal_get(calendar, UCAL_DATE, status) != schedule->day_of_month)
		return false;
	return !schedule->month || ucal_get(calendar, UCAL_MONTH, status) + 1 == schedule->month;
}

/* The first time of the schedule after from_ms, in the schedule's time zone; 0: there is none.
 */
static int64_t find_next_due(UCalendar *calendar, const struct schedule *schedule, int64_t from_ms,
			     UErrorCode *status)
{
	int year, month, date;

	ucal_setMillis(calendar, (UDate)from_ms, status);
	year = ucal_get(calendar, UCAL_YEAR, status);
	month = ucal_get(calendar, UCAL_MONTH, status);
	date = ucal_get(calendar, UCAL_DATE, status);
	for (int i = 0; i < MAX_SEARCH_DAYS && U_SUCCESS(*status); i++) {
		int64_t due_at_ms;

		ucal_clear(calendar); /* noon exists on every day, also on one with a clock change */
		ucal_setDateTime(calendar, year, month, date + i, 12, 0, 0, status);
		if (!is_scheduled_day(calendar, schedule, status))
			continue;
		ucal_clear(calendar);
		ucal_setDateTime(calendar, year, month, date + i, schedule->hour, schedule->minute, 0,
				 status);
		due_at_ms = (int64_t)ucal_getMillis(calendar, status);
		if (due_at_ms > from_ms)
			return due_at_ms;
	}
	return 0;
}

static int64_t next_due_at_ms(const char *text, int64_t from_ms)
{
	struct schedule schedule;
	UErrorCode status = U_ZERO_ERROR;
	UChar zone[MAX_ZONE_BYTES];
	UCalendar *calendar;
	int64_t due_at_ms;

	if (parse_schedule(text, &schedule, NULL))
		return 0;
	u_strFromUTF8(zone, MAX_ZONE_BYTES, NULL, schedule.zone, -1, &status);
	calendar = ucal_open(zone, -1, "en_US", UCAL_GREGORIAN, &status);
	if (U_FAILURE(status))
		return 0;
	ucal_setAttribute(calendar, UCAL_SKIPPED_WALL_TIME, UCAL_WALLTIME_NEXT_VALID);
	ucal_setAttribute(calendar, UCAL_REPEATED_WALL_TIME, UCAL_WALLTIME_FIRST);
	due_at_ms = find_next_due(calendar, &schedule, from_ms, &status);
	ucal_close(calendar);
	return U_SUCCESS(status) ? due_at_ms : 0;
}

static const char *check_schedule(const char *text, apr_pool_t *pool)
{
	struct schedule schedule;

	return parse_schedule(text, &schedule, pool);
}

const struct controller_calendar calendar_icu = { check_schedule, next_due_at_ms };
