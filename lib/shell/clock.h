/* clock: the two clocks of a process. All code that measures durations or checks deadlines uses clock_ms. */
#ifndef NL_CLOCK_H
#define NL_CLOCK_H

#include <stdint.h>

/* Milliseconds since the machine's boot, on a clock that includes suspended time and never jumps
 * (CLOCK_BOOTTIME). Readings of two machines can't be compared. Tests replace this function at link time. */
int64_t clock_ms(void);

/* Milliseconds since 1970 on this machine's wall clock, which may jump. Only retention schedules use it, and
 * only if a majority of the controllers reports the same time (lib/control/group_clock.h). */
int64_t clock_wall_ms(void);

#endif
