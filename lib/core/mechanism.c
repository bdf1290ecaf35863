#include "mechanism.h"

#include <string.h>

const struct mechanism_info mechanism_info[MECHANISMS] = {
	[MECHANISM_LOOKUP] = { "prefix-lookup",
			       "routers ask the head of their zone who keeps a request's prefix" },
	[MECHANISM_CACHE_FEED] = { "kept-feed", "the head of a zone tells its routers what servers keep" },
	[MECHANISM_HOMES] = { "homes", "a prefix has a home server that all routers name alike" },
	[MECHANISM_FETCH] = { "fetch",
			      "a prefix is moved from a server that keeps it, rather than read again" },
	[MECHANISM_OFFLOAD_STORE] = { "store", "prefixes are left at the store, and fetched from there" },
	[MECHANISM_SHARED_LOAD] = { "shared-load",
				    "what other routers have under way at servers is counted" },
	[MECHANISM_CAPACITY] = { "room",
				 "a send that would fill a server, or wait long there, waits in its router" },
	[MECHANISM_LATENESS] = { "lateness", "servers whose first pieces came late lately count as dearer" },
	[MECHANISM_RETAIN] = { "retain",
			       "new weights are loaded under running requests, not after their end" },
	[MECHANISM_PACE] = { "pace", "how many servers load new weights at once is learned" },
	[MECHANISM_CURIOSITY] = { "curiosity", "gaps in the purge stream are asked for upstream" },
};

int mechanism_find(const char *name)
{
	for (int m = 0; m < MECHANISMS; m++)
		if (!strcmp(mechanism_info[m].name, name))
			return m;
	return -1;
}
