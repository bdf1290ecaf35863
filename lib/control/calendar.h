/* calendar: schedules in calendar terms with a time zone, by ICU. Pure: times come and go as ms since 1970.
 *   daily HH:MM ZONE        mon,thu HH:MM ZONE        monthly DAY HH:MM ZONE        yearly MM-DD HH:MM ZONE
 * A time that a clock change leaves out comes when the clock goes on after it; one that comes twice counts
 * once. */
#ifndef NL_CALENDAR_H
#define NL_CALENDAR_H

#include "retention_schedule.h"

/* Example: reg.calendar = &calendar_icu; due = calendar_icu.next("daily 02:30 Asia/Kuala_Lumpur", wall); */
extern const struct controller_calendar calendar_icu;

#endif
