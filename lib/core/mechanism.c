#include "mechanism.h"

#include <string.h>

const struct mechanism_info mechanism_info[MECHANISMS] = {
	[MECHANISM_LOOKUP] = { "prefix-lookup",
			       "routers ask the head of their zone which servers cache a request's prefix" },
	[MECHANISM_CACHE_FEED] = { "kept-feed", "the head of a zone sends its routers what servers cache" },
	[MECHANISM_HOMES] = { "homes", "a prefix has a home server, the same for all routers" },
	[MECHANISM_FETCH] = { "fetch",
			      "a cached prefix is fetched from another server, rather than computed again" },
	[MECHANISM_OFFLOAD_STORE] = { "store",
				      "prefixes are offloaded to the store, and fetched from there" },
	[MECHANISM_SHARED_LOAD] = { "shared-load",
				    "what other routers have in flight at servers is counted" },
	[MECHANISM_CAPACITY] = { "room",
				 "a request that would fill a server's memory, or wait long there, waits in its router" },
	[MECHANISM_LATENESS] = { "lateness",
				 "servers whose first tokens were late recently count as more expensive" },
	[MECHANISM_RETAIN] = { "retain",
			       "new weights are loaded while requests run, not after they have ended" },
	[MECHANISM_PACE] = { "pace", "how many servers load new weights at once is learned" },
	[MECHANISM_CURIOSITY] = { "curiosity", "unknown ticks of the purge stream are requested upstream" },
};

int mechanism_find(const char *name)
{
	for (int i = 0; i < MECHANISMS; i++)
		if (!strcmp(mechanism_info[i].name, name))
			return i;
	return -1;
}
