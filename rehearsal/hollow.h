/* hollow: the cores of a whole fleet in one process, under virtual time, with imitated links, disks, servers and
 * callers. It judges nothing (the simulator in tests/ does); it counts what each role sends, hears, spends and holds. */
#ifndef NL_HOLLOW_H
#define NL_HOLLOW_H

#include <stdint.h>
#include <stdio.h>

struct hollow_set {
	int nodes, registrars, servers, tenants, lanes, zones, seconds, changes, restarts, pieces;
	int listed; /* 1: servers come from a list, tell of kept parts by events, and text stays at the door; 0: the product's own interface */
	int64_t parts;  /* kept at all servers together */
	int64_t rate;   /* exchanges a second, over the fleet */
	int64_t events; /* kept parts that come and go a second, over the fleet */
	uint64_t seed;
	uint64_t machine; /* bytes of memory of which half may be used; 0: this machine's */
};

extern const struct hollow_set hollow_default;

/* One figure: of every node of a role the mean, and the node with the most. A fleet's own figure has both alike. */
struct hollow_row {
	char key[64];
	double mean, most;
};
struct hollow_result {
	struct hollow_row *v;
}; /* stb_ds */

/* What such a fleet would need, in bytes, as far as earlier runs tell. Example: hollow_needs(&s) */
uint64_t hollow_needs(const struct hollow_set *s);

/* NULL when it may be run, else which size is out of range or what would be needed; why lives in buf.
 * Example: if ((why = hollow_refuse(&s, buf, sizeof buf))) return 2; */
const char *hollow_refuse(const struct hollow_set *s, char *buf, size_t n);

/* Run it. 0: it did not come to serve, and *why says so. Example: if (!hollow_run(&s, &r, &why)) fail(why); */
int hollow_run(const struct hollow_set *s, struct hollow_result *r, const char **why);

/* A figure's mean over a role, -1 if there is none. Example: hollow_get(&r, "fleet.whole") */
double hollow_get(const struct hollow_result *r, const char *key);
void hollow_print(const struct hollow_result *r, int csv, FILE *f);
void hollow_free(struct hollow_result *r);

/* rehearsal hollow ...; the exit code. Example: rc = hollow_main(argc - 1, argv + 1); */
int hollow_main(int argc, char **argv);

#endif
