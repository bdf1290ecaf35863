/* Scale model: the cores of a whole fleet in one process, under virtual time, with modelled links, disks,
 * servers and clients. It judges nothing (the simulator in tests/ does); it counts what each role sends,
 * receives, computes and keeps. */
#ifndef NL_SCALE_MODEL_H
#define NL_SCALE_MODEL_H

#include <stdint.h>
#include <stdio.h>

/* Size of the fleet and of its load. */
struct scale_model_settings {
	int routers;
	int controllers;
	int servers;
	int tenants;
	int routes;
	int zones;             /* 0: by the number of routers */
	int seconds;           /* length of the window, in virtual time */
	int changes;           /* of the configuration, in the window */
	int restarts;          /* routers replaced in the window */
	int pieces;            /* of an answer */
	int use_instance_list; /* 1: servers come from a list and report cached blocks by events, and text
				  stays outside the core; 0: the product's own interface */
	int64_t cached_blocks; /* at all servers together */
	int64_t requests_per_second;     /* over the fleet */
	int64_t cache_events_per_second; /* blocks that are cached or evicted, over the fleet */
	uint64_t seed;
	uint64_t memory_bytes; /* of which half may be used; 0: this machine's */
};

/* A small fleet. */
extern const struct scale_model_settings scale_model_defaults;

/* One measurement: the average over the nodes of a role, and the node with the most. A measurement of the
 * whole fleet has both alike. */
struct scale_model_row {
	char key[64];
	double average;
	double max;
};

/* All measurements of a run. */
struct scale_model_result {
	struct scale_model_row *rows; /* stb_ds; freed by scale_model_free */
};

/* Bytes of memory that such a fleet would need, as far as earlier runs tell. */
uint64_t scale_model_memory_bytes(const struct scale_model_settings *settings);

/* NULL when it may be run, else which size is out of range or what would be needed, written to buf.
 * Example: if ((why = scale_model_validate(&settings, buf, sizeof buf))) return 2; */
const char *scale_model_validate(const struct scale_model_settings *settings, char *buf, size_t n);

/* Run it. 0: the fleet did not come to serve, and *why says so (a static text).
 * Example: if (!scale_model_run(&settings, &result, &why)) fail(why); */
int scale_model_run(const struct scale_model_settings *settings, struct scale_model_result *result,
		    const char **why);

/* A measurement's average, -1 if there is none. Example: scale_model_get(&result, "fleet.whole") */
double scale_model_get(const struct scale_model_result *result, const char *key);

/* Print all measurements as a table, or as comma-separated values. */
void scale_model_print(const struct scale_model_result *result, int csv, FILE *out);

/* Free the measurements. */
void scale_model_free(struct scale_model_result *result);

/* notchlug-emulator hollow ...; the exit code: 0 run, 1 the fleet did not come to serve, 2 bad usage. */
int scale_model_main(int argc, char **argv);

#endif
