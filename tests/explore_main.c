/* explore: the long bound of the model checker, run by hand.
 *
 * Usage: explore all STATES [SCENE]             all orders from each scene, up to so many states each
 *        explore random PATHS CHOICES [SEED]    random paths from all scenes in turn */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "explore_search.h"

static struct explore_path path;

static double seconds(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static int report(void)
{
	if (!path.violation)
		return 0;
	printf("%s from %s after %zu choices; made minimal:\n", explore_invariant_name(path.violation),
	       explore_scene_name(path.scene), path.choice_count);
	explore_minimize(&path);
	explore_print(&path, stdout);
	return 1;
}

static int run_all(uint64_t states, const char *scene)
{
	int bits = 10, bad = 0;

	while (((uint64_t)1 << bits) < 2 * states)
		bits++;
	for (int i = 0; i < SCENES; i++) {
		struct explore_stats stats;
		double from = seconds(), took;

		if (scene && strcmp(scene, explore_scene_name((enum explore_scene)i)))
			continue;
		explore_all((enum explore_scene)i, states, 64, bits, &path, &stats);
		took = seconds() - from;
		printf("%-10s %10llu states %11llu steps, all orders to depth %2d%s, %7.1f s, %.0f steps/s\n",
		       explore_scene_name((enum explore_scene)i), (unsigned long long)stats.states,
		       (unsigned long long)stats.steps, stats.depth, stats.complete ? " (whole)" : "", took,
		       (double)stats.steps / took);
		bad |= report();
		fflush(stdout);
	}
	return bad;
}

static int run_random(uint64_t paths, int choices, uint64_t seed)
{
	struct explore_stats stats = { 0 };
	double from = seconds(), took;
	uint64_t leaders = 0, committed = 0;

	for (uint64_t i = 0; i < paths; i++) {
		explore_random((enum explore_scene)(i % SCENES), seed + i, choices, &path, &stats);
		committed += explore_world.history.commit;
		for (int t = 0; t < EXPLORE_TERMS; t++)
			leaders += explore_world.history.leader[t] != 0;
		if (report()) {
			printf("seed %llu\n", (unsigned long long)(seed + i));
			return 1;
		}
	}
	took = seconds() - from;
	printf(
	    "%llu random paths from seed %llu, %llu steps, %.1f terms with a leader and %.1f entries committed a path, %.1f s, %.0f steps/s\n",
	    (unsigned long long)paths, (unsigned long long)seed, (unsigned long long)stats.steps,
	    (double)leaders / (double)paths, (double)committed / (double)paths, took,
	    (double)stats.steps / took);
	return 0;
}

int main(int argc, char **argv)
{
	if (argc >= 3 && !strcmp(argv[1], "all"))
		return run_all(strtoull(argv[2], NULL, 10), argc > 3 ? argv[3] : NULL);
	if (argc >= 4 && !strcmp(argv[1], "random"))
		return run_random(strtoull(argv[2], NULL, 10), atoi(argv[3]),
				  argc > 4 ? strtoull(argv[4], NULL, 10) : 1);
	fprintf(stderr, "usage: explore all STATES [SCENE] | random PATHS CHOICES [SEED]\n");
	return 2;
}
