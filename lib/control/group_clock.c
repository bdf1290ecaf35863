#include "group_clock.h"

enum { FIRST_MOMENT = 1 }; /* 0 means that a moment is not known */

void group_clock_lead(struct controller *r, int64_t now)
{
	int64_t logged = (int64_t)r->ctl.now.at, heard = config_watch_clock(&r->f, 0, now);
	int64_t clock = logged > heard ? logged : heard;

	if (clock < FIRST_MOMENT)
		clock = FIRST_MOMENT;
	r->group_clock_offset = clock - now;
}

uint64_t group_clock_now(const struct controller *r, int64_t now) { return (uint64_t)(now + r->group_clock_offset); }

uint64_t group_clock_before(const struct controller *r, int64_t ms, int64_t now)
{
	int64_t clock = (int64_t)group_clock_now(r, now);

	return clock > ms ? (uint64_t)(clock - ms) : 0;
}
