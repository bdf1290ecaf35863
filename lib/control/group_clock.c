#include "group_clock.h"

enum { FIRST_CLOCK_MS = 1 }; /* first value of the clock, because 0 stands for an unknown moment */

void group_clock_start_term(struct controller *controller, int64_t now)
{
	int64_t logged_ms = (int64_t)controller->config.table.clock.at_ms,
		received_ms = config_watch_group_clock_ms(&controller->config_watch, 0, now);
	int64_t clock_ms = logged_ms > received_ms ? logged_ms : received_ms;

	if (clock_ms < FIRST_CLOCK_MS)
		clock_ms = FIRST_CLOCK_MS;
	controller->clocks.group_offset_ms = clock_ms - now;
}

uint64_t group_clock_now(const struct controller *controller, int64_t now)
{
	return (uint64_t)(now + controller->clocks.group_offset_ms);
}

uint64_t group_clock_earlier(const struct controller *controller, int64_t span_ms, int64_t now)
{
	int64_t clock_ms = (int64_t)group_clock_now(controller, now);

	return clock_ms > span_ms ? (uint64_t)(clock_ms - span_ms) : 0;
}
