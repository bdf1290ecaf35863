#include "mechanism.h"

#include <string.h>

const struct mechanism_info mechanism_info[MECHANISMS] = {
	[MECHANISM_LOOKUP] = { "prefix-lookup",
			       "routers query the head of their zone for the servers that cache a request's prefix" },
	[MECHANISM_CACHE_FEED] = { "kept-feed",
				   "the head of a zone sends its routers updates of what each server caches" },
	[MECHANISM_HOMES] = { "homes", "each prefix has a home server, on which all routers agree" },
	[MECHANISM_FETCH] = { "fetch",
			      "a cached prefix is fetched from another server instead of being recomputed" },
	[MECHANISM_OFFLOAD_STORE] = { "store",
				      "prefixes are offloaded to the offload store and fetched from it" },
	[MECHANISM_SHARED_LOAD] = { "shared-load",
				    "the load of a server includes the requests that other routers have in flight there" },
	[MECHANISM_CAPACITY] = { "room",
				 "a request waits in its router if it would fill the server's memory or wait there for long" },
	[MECHANISM_LATENESS] = { "lateness",
				 "servers whose recent first tokens were late are assigned a higher cost" },
	[MECHANISM_RETAIN] = { "retain",
			       "new weights are loaded while requests are still running, not after they have ended" },
	[MECHANISM_PACE] = { "pace",
			     "the number of servers that load new weights at the same time is learned from earlier loads" },
	[MECHANISM_CURIOSITY] = { "curiosity",
				  "unknown ticks of the purge stream are requested from the upstream" },
};

int mechanism_find(const char *name)
{
	for (int i = 0; i < MECHANISMS; i++)
		if (!strcmp(mechanism_info[i].name, name))
			return i;
	return -1;
}
