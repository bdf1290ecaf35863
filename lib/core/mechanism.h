/* mechanism: the routing mechanisms that an experiment can switch off one by one, to measure the benefit
 * of each. All are on by default. Mechanisms that enforce a guarantee to users (purges, isolation,
 * budgets, limits, the order of target weights) cannot be switched off. Disabled mechanisms are recorded
 * in struct bounds; settings and metrics use mechanism_info[].name. */
#ifndef NL_MECHANISM_H
#define NL_MECHANISM_H

#include <stdint.h>

/* Values are bit positions in bounds.disabled_mechanisms. */
enum mechanism {
	MECHANISM_LOOKUP,     /* routers query the head of their zone for the servers that cache a request's
				 prefix */
	MECHANISM_CACHE_FEED, /* the head of a zone sends its routers updates of what each server caches */
	MECHANISM_HOMES,      /* each prefix has a home server, on which all routers agree */
	MECHANISM_FETCH,      /* a cached prefix is fetched from another server instead of being recomputed */
	MECHANISM_OFFLOAD_STORE, /* prefixes are offloaded to the offload store and fetched from it */
	MECHANISM_SHARED_LOAD, /* the load of a server includes the requests that other routers have in flight
				  there */
	MECHANISM_CAPACITY,    /* a request waits in its router if it would fill the server's memory or wait
				  there for long */
	MECHANISM_LATENESS,    /* servers whose recent first tokens were late are assigned a higher cost */
	MECHANISM_RETAIN,      /* new weights are loaded while requests are still running, not after they have
				  ended */
	MECHANISM_PACE,        /* the number of servers that load new weights at the same time is learned from
				  earlier loads */
	MECHANISM_CURIOSITY,   /* unknown ticks of the purge stream are requested from the upstream */
	MECHANISMS
};

/* Name of a mechanism in settings and metrics, and a description for logs. */
struct mechanism_info {
	const char *name;
	const char *description;
};
extern const struct mechanism_info mechanism_info[MECHANISMS];

/* Returns the mechanism with this name, or -1 if there is none.
 * Example: int mechanism = mechanism_find("fetch"); */
int mechanism_find(const char *name);

/* Whether a mechanism is switched on; disabled_mechanisms is the bit set from struct bounds.
 * Example: if (mechanism_is_enabled(bounds->disabled_mechanisms, MECHANISM_FETCH)) ... */
static inline int mechanism_is_enabled(uint32_t disabled_mechanisms, enum mechanism mechanism)
{
	return !(disabled_mechanisms >> mechanism & 1);
}

#endif
