/* explore_search: how the model checker looks for paths that break an invariant, and makes one that it found
 * minimal. */
#ifndef NL_EXPLORE_SEARCH_H
#define NL_EXPLORE_SEARCH_H

#include "explore.h"

struct explore_path {
	enum explore_scene scene;
	enum explore_invariant violation; /* INVARIANT_NONE: none was found */
	size_t choice_count;
	struct choice choices[EXPLORE_PATH];
};

struct explore_stats {
	uint64_t states, steps; /* states that differ; choices done */
	int depth;              /* all orders were explored up to here */
	int complete;           /* nothing is left to explore at all */
};

/* All orders of choices from a scene, one more choice deep each round, until a round goes past max_states or
 * max_depth. table_bits: the visited states are kept in a table of so many bits; must hold twice max_states.
 * Example: explore_all(SCENE_LEASE, 100000, 40, 18, &path, &stats); */
void explore_all(enum explore_scene scene, uint64_t max_states, int max_depth, int table_bits,
		 struct explore_path *path, struct explore_stats *stats);

/* One random path of so many choices: episodes of cuts, freezes and reordering between calm ones.
 * Example: explore_random(SCENE_LEASE, seed, 300, &path, &stats); */
void explore_random(enum explore_scene scene, uint64_t seed, int choices, struct explore_path *path,
		    struct explore_stats *stats);

/* Remove from a path what its violation does not need. Example: explore_minimize(&path); */
void explore_minimize(struct explore_path *path);

/* Print a path as a C test. Example: explore_print(&path, stdout); */
void explore_print(const struct explore_path *path, FILE *file);

#endif
