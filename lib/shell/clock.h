/* clock: the two clocks of a process. Everything that measures a span or keeps a deadline uses clock_ms. */
#ifndef NL_CLOCK_H
#define NL_CLOCK_H

#include <stdint.h>

/* Milliseconds on a clock that counts suspend and never jumps (CLOCK_BOOTTIME). Its zero is the machine's
 * boot: readings of two machines can't be compared. Tests replace it at link time. */
int64_t clock_ms(void);

/* Milliseconds since 1970 as this machine has it; it may jump. Only schedules use it, and only where a
 * majority of controllers reports the same (lib/control/group_clock.h). */
int64_t clock_wall_ms(void);

#endif
