/* calendar: evaluates schedules in calendar terms with a time zone, by means of ICU. The accepted forms are:
 *   daily HH:MM ZONE        mon,thu HH:MM ZONE        monthly DAY HH:MM ZONE        yearly MM-DD HH:MM ZONE
 *
 * The functions keep no state; times are ms since 1970. A scheduled time that a clock change skips is moved
 * to the first valid time after the change; one that occurs twice counts only the first time. */
#ifndef NL_CALENDAR_H
#define NL_CALENDAR_H

#include "retention_schedule.h"

/* The implementation with ICU. Example: controller->adapters.calendar = &calendar_icu;
 * due_at_ms = calendar_icu.next("daily 02:30 Asia/Kuala_Lumpur", unix_ms); */
extern const struct controller_calendar calendar_icu;

#endif
