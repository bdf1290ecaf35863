#include "calendar.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unicode/ucal.h>
#include <unicode/ustring.h>

enum { DAYS = 366 * 9 }; /* 29 February comes within these */

struct schedule {
	int weekdays, day_of_month, month, hour, minute;
	char zone[64];
}; /* days: bits from Sunday; day and month: 0 for any */

/* Two digits, or one. -1: not a number up to most. */
static int number(const char *s, size_t n, int most)
{
	int v = 0;

	if (!n || n > 2 || strspn(s, "0123456789") < n)
		return -1;
	for (size_t i = 0; i < n; i++)
		v = v * 10 + (s[i] - '0');
	return v <= most ? v : -1;
}

static const char *parse_weekdays(const char *list, struct schedule *schedule)
{
	static const char *const name[] = { "sun", "mon", "tue", "wed", "thu", "fri", "sat" };

	for (const char *cursor = list; *cursor; cursor += cursor[3] == ',' ? 4 : 3) {
		int weekday = 0;

		while (weekday < 7 && strncmp(cursor, name[weekday], 3))
			weekday++;
		if (weekday == 7 || (cursor[3] && cursor[3] != ',') || (cursor[3] == ',' && !cursor[4]))
			return "neither daily, monthly, yearly nor days such as mon,thu";
		if (schedule->weekdays & 1 << weekday)
			return "a day is named twice: it overlaps itself";
		schedule->weekdays |= 1 << weekday;
	}
	return NULL;
}

static int is_known_zone(const char *zone)
{
	UChar id[64], canonical[64];
	UErrorCode status = U_ZERO_ERROR;

	u_strFromUTF8(id, 64, NULL, zone, -1, &status);
	ucal_getCanonicalTimeZoneID(id, -1, canonical, 64, NULL, &status);
	return U_SUCCESS(status);
}

static const char *parse(const char *text, struct schedule *s, apr_pool_t *pool)
{
	char copy[160], *word, *date = NULL, *clock, *colon, *save = NULL;
	const char *bad;

	memset(s, 0, sizeof *s);
	if (strlen(text) >= sizeof copy)
		return "too long";
	memcpy(copy, text, strlen(text) + 1);
	word = apr_strtok(copy, " ", &save);
	if (!word)
		return "empty";
	if (!strcmp(word, "monthly") || !strcmp(word, "yearly")) {
		date = apr_strtok(NULL, " ", &save);
		s->weekdays = 127;
		colon = date && word[0] == 'y' ? strchr(date, '-') : NULL;
		if (!date || (word[0] == 'y' && !colon))
			return "a day is missing: monthly 15, yearly 12-31";
		s->month = colon ? number(date, (size_t)(colon - date), 12) : 0;
		s->day_of_month = number(colon ? colon + 1 : date, strlen(colon ? colon + 1 : date), 31);
		if (s->day_of_month < 1 || s->month < 0 || (colon && s->month < 1))
			return "no such day: it never comes";
	} else if (!strcmp(word, "daily")) {
		s->weekdays = 127;
	} else if ((bad = parse_weekdays(word, s))) {
		return bad;
	}
	clock = apr_strtok(NULL, " ", &save);
	colon = clock ? strchr(clock, ':') : NULL;
	s->hour = colon ? number(clock, (size_t)(colon - clock), 23) : -1;
	s->minute = colon && strlen(colon + 1) == 2 ? number(colon + 1, 2, 59) : -1;
	if (s->hour < 0 || s->minute < 0)
		return "the time of day is not as 02:30";
	word = apr_strtok(NULL, " ", &save);
	if (!word || strlen(word) >= sizeof s->zone)
		return "the time zone is missing";
	if (apr_strtok(NULL, " ", &save))
		return "words after the time zone";
	memcpy(s->zone, word, strlen(word) + 1);
	return is_known_zone(s->zone) ? NULL
	       : pool                 ? apr_psprintf(pool, "no time zone %s", s->zone)
				      : "no such time zone";
}

static int64_t next(const char *text, int64_t from)
{
	struct schedule s;
	UErrorCode st = U_ZERO_ERROR;
	UChar zone[64];
	UCalendar *c;
	int64_t due = 0;
	int y, m, d;

	if (parse(text, &s, NULL))
		return 0;
	u_strFromUTF8(zone, 64, NULL, s.zone, -1, &st);
	c = ucal_open(zone, -1, "en_US", UCAL_GREGORIAN, &st);
	if (U_FAILURE(st))
		return 0;
	ucal_setAttribute(c, UCAL_SKIPPED_WALL_TIME, UCAL_WALLTIME_NEXT_VALID);
	ucal_setAttribute(c, UCAL_REPEATED_WALL_TIME, UCAL_WALLTIME_FIRST);
	ucal_setMillis(c, (UDate)from, &st);
	y = ucal_get(c, UCAL_YEAR, &st);
	m = ucal_get(c, UCAL_MONTH, &st);
	d = ucal_get(c, UCAL_DATE, &st);
	for (int i = 0; i < DAYS && !due && U_SUCCESS(st); i++) {
		ucal_clear(c); /* noon is in every day, whatever its clock change */
		ucal_setDateTime(c, y, m, d + i, 12, 0, 0, &st);
		if (!(s.weekdays & 1 << (ucal_get(c, UCAL_DAY_OF_WEEK, &st) - 1)) ||
		    (s.day_of_month && ucal_get(c, UCAL_DATE, &st) != s.day_of_month) ||
		    (s.month && ucal_get(c, UCAL_MONTH, &st) + 1 != s.month))
			continue;
		ucal_clear(c);
		ucal_setDateTime(c, y, m, d + i, s.hour, s.minute, 0, &st);
		due = (int64_t)ucal_getMillis(c, &st);
		due = due > from ? due : 0;
	}
	ucal_close(c);
	return U_SUCCESS(st) ? due : 0;
}

static const char *check(const char *text, apr_pool_t *pool)
{
	struct schedule s;

	return parse(text, &s, pool);
}

const struct controller_calendar calendar_icu = { check, next };
