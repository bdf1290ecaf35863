/* mechanism: the choices of policy that an experiment can switch off, one by one, to measure what each is
 * worth. All are on by default. What keeps a rule (dates of namings, purges, walls, budgets, limits) is no
 * mechanism of this table. */
#ifndef NL_MECHANISM_H
#define NL_MECHANISM_H

#include <stdint.h>

enum mechanism {
	MECHANISM_LOOKUP,        /* routers ask the head of their zone who keeps a request's prefix */
	MECHANISM_CACHE_FEED,    /* the head of a zone tells its routers what servers keep */
	MECHANISM_HOMES,         /* a prefix has a home server that all routers name alike */
	MECHANISM_FETCH,         /* a prefix is moved from a server that keeps it, rather than read again */
	MECHANISM_OFFLOAD_STORE, /* prefixes are left at the store, and fetched from there */
	MECHANISM_SHARED_LOAD,   /* what other routers have under way at servers is known and counted */
	MECHANISM_CAPACITY, /* a send that would fill a server's memory or wait long there waits in its router
			     */
	MECHANISM_LATENESS, /* servers whose first pieces came late lately count as dearer */
	MECHANISM_RETAIN,   /* new weights are loaded under running requests, instead of after they have ended
			     */
	MECHANISM_PACE,     /* how many servers load new weights at once is learned */
	MECHANISM_CURIOSITY, /* gaps in the purge stream are asked for upstream */
	MECHANISMS
};

struct mechanism_info {
	const char *name, *description;
};
extern const struct mechanism_info mechanism_info[MECHANISMS];

/* A mechanism by its name, or -1. Example: int m = mechanism_find("fetch"); */
int mechanism_find(const char *name);

/* Whether a mechanism is in use; without: a set of those that are off. Example: if (mechanism_on(b.without,
 * MECHANISM_FETCH)) ... */
static inline int mechanism_on(uint32_t disabled_mechanisms, enum mechanism mechanism)
{
	return !(disabled_mechanisms >> mechanism & 1);
}

#endif
