/* mechanism: the choices of routing policy that an experiment can switch off, one by one, to measure what
 * each is worth. All are on by default. What keeps a promise to users (purges, isolation, budgets, limits,
 * the order of target weights) is not in this table. Set in struct bounds; named in the settings and in
 * metrics by mechanism_info[].name. */
#ifndef NL_MECHANISM_H
#define NL_MECHANISM_H

#include <stdint.h>

/* Positions in bounds.disabled_mechanisms. */
enum mechanism {
	MECHANISM_LOOKUP,     /* routers ask the head of their zone which servers cache a request's prefix */
	MECHANISM_CACHE_FEED, /* the head of a zone sends its routers what servers cache */
	MECHANISM_HOMES,      /* a prefix has a home server, the same for all routers */
	MECHANISM_FETCH,      /* a cached prefix is fetched from another server, rather than computed again */
	MECHANISM_OFFLOAD_STORE, /* prefixes are offloaded to the store, and fetched from there */
	MECHANISM_SHARED_LOAD,   /* what other routers have in flight at servers is counted */
	MECHANISM_CAPACITY,  /* a request that would fill a server's memory, or wait long there, waits in its
				router */
	MECHANISM_LATENESS,  /* servers whose first tokens were late recently count as more expensive */
	MECHANISM_RETAIN,    /* new weights are loaded while requests run, not after they have ended */
	MECHANISM_PACE,      /* how many servers load new weights at once is learned */
	MECHANISM_CURIOSITY, /* unknown ticks of the purge stream are requested upstream */
	MECHANISMS
};

/* How a mechanism is named in settings and metrics, and what it does. */
struct mechanism_info {
	const char *name;
	const char *description;
};
extern const struct mechanism_info mechanism_info[MECHANISMS];

/* A mechanism by its name, or -1. Example: int mechanism = mechanism_find("fetch"); */
int mechanism_find(const char *name);

/* Whether a mechanism is in use; disabled_mechanisms: a set of those that are off.
 * Example: if (mechanism_on(bounds->disabled_mechanisms, MECHANISM_FETCH)) ... */
static inline int mechanism_on(uint32_t disabled_mechanisms, enum mechanism mechanism)
{
	return !(disabled_mechanisms >> mechanism & 1);
}

#endif
