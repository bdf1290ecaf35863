/* calendar: schedules in calendar terms with a time zone, evaluated by ICU. Controllers plan purges with it,
 * notchlug-validate checks rows of kind retention with it; routers are built without.
 *   daily HH:MM ZONE        mon,thu HH:MM ZONE        monthly DAY HH:MM ZONE        yearly MM-DD HH:MM ZONE
 *
 * Pure: times are ms since 1970. A time that a clock change skips comes when the clock goes on after it; one
 * that comes twice counts once. */
#ifndef NL_CALENDAR_H
#define NL_CALENDAR_H

#include "retention_schedule.h"

/* The calendar of this library. Example: controller->calendar = &calendar_icu;
 * due_at_ms = calendar_icu.next("daily 02:30 Asia/Kuala_Lumpur", unix_ms); */
extern const struct controller_calendar calendar_icu;

#endif
