/* hollow: the cores of a whole fleet in one process, under virtual time, with imitated links, disks, servers
 * and callers. It judges nothing (the simulator in tests/ does); it counts what each role sends, hears,
 * spends and holds. */
#ifndef NL_SCALE_MODEL_H
#define NL_SCALE_MODEL_H

#include <stdint.h>
#include <stdio.h>

struct scale_model_settings {
	int routers, controllers, servers, tenants, routes, zones, seconds, changes, restarts, pieces;
	int use_instance_list; /* 1: servers come from a list, tell of kept parts by events, and text stays at
				  the door; 0: the product's own interface */
	int64_t cached_blocks; /* kept at all servers together */
	int64_t requests_per_second;     /* exchanges a second, over the fleet */
	int64_t cache_events_per_second; /* kept parts that come and go a second, over the fleet */
	uint64_t seed;
	uint64_t memory_bytes; /* bytes of memory of which half may be used; 0: this machine's */
};

extern const struct scale_model_settings scale_model_defaults;

/* One figure: of every node of a role the mean, and the node with the most. A fleet's own figure has both
 * alike. */
struct scale_model_row {
	char key[64];
	double average, max;
};
struct scale_model_result {
	struct scale_model_row *rows;
}; /* stb_ds */

/* What such a fleet would need, in bytes, as far as earlier runs tell. Example: hollow_needs(&s) */
uint64_t scale_model_memory_bytes(const struct scale_model_settings *settings);

/* NULL when it may be run, else which size is out of range or what would be needed; why lives in buf.
 * Example: if ((why = hollow_refuse(&s, buf, sizeof buf))) return 2; */
const char *scale_model_validate(const struct scale_model_settings *settings, char *buf, size_t n);

/* Run it. 0: it did not come to serve, and *why says so. Example: if (!hollow_run(&s, &r, &why)) fail(why);
 */
int scale_model_run(const struct scale_model_settings *settings, struct scale_model_result *result,
		    const char **why);

/* A figure's mean over a role, -1 if there is none. Example: hollow_get(&r, "fleet.whole") */
double scale_model_get(const struct scale_model_result *result, const char *key);
void scale_model_print(const struct scale_model_result *result, int csv, FILE *out);
void scale_model_free(struct scale_model_result *result);

/* rehearsal hollow ...; the exit code. Example: rc = hollow_main(argc - 1, argv + 1); */
int scale_model_main(int argc, char **argv);

#endif
