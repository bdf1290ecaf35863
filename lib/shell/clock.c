/* clock: see clock.h. */
#include "clock.h"

#include <time.h>

#include <apr_time.h>

enum { US_PER_MS = 1000, MS_PER_S = 1000, NS_PER_MS = 1000000 };

int64_t clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

int64_t clock_wall_ms(void)
{
	return apr_time_now() / US_PER_MS; /* schedules alone */
}
