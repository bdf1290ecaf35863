#include "address.h"

#include <apr_strings.h>
#include <stdio.h>

uint64_t core_parse_addr(const char *text)
{
	unsigned a, b, c, d, port;
	char end;

	/* NOLINTNEXTLINE(cert-err34-c): each number has so few digits that it fits, and is checked */
	if (!text || sscanf(text, "%3u.%3u.%3u.%3u:%5u%c", &a, &b, &c, &d, &port, &end) != 5)
		return 0;
	if (a > 255 || b > 255 || c > 255 || d > 255 || port > 65535)
		return 0;
	return (uint64_t)a << 40 | (uint64_t)b << 32 | (uint64_t)c << 24 | (uint64_t)d << 16 | port;
}

const char *core_format_addr(apr_pool_t *pool, uint64_t addr)
{
	return apr_psprintf(pool, "%u.%u.%u.%u:%u", (unsigned)(addr >> 40) & 255,
			    (unsigned)(addr >> 32) & 255, (unsigned)(addr >> 24) & 255,
			    (unsigned)(addr >> 16) & 255, (unsigned)addr & 65535);
}
