/* How well routers decide, before servers that read, keep, load and forget: each test is seen to fail where the mechanism that it is
 * for is switched off. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "engine_sim.h"

enum { LARGE, SMALL };

/* Sixteen servers, some 55 % of whose time goes to reading if each prefix is read once; links too thin for all news. */
static struct engine_settings usual(uint64_t seed)
{
	return (struct engine_settings){
		.seed = seed,
		.read_per_ms = 50,
		.room = 240000,
		.link_kbps = 300,
		.event_lag_ms = 80,
		.event_loss = 30,
		.load_ms = 1500,
		.retain = 1,
		.at_once = 3,
		.kind = {
			[LARGE] = { .every_ms = 14, .prefixes = 120, .shared = 13000, .own = 3700, .out = 100, .aim_ms = 1000 },
			[SMALL] = { .every_ms = 20, .prefixes = 60, .shared = 350, .own = 1100, .out = 120, .aim_ms = 600 },
		},
	};
}

static double share_again(const struct engine_sim *w) { return (double)engine_read_again(w) / (double)(engine_read(w) + 1); }

static double in_aim(const struct engine_sim *w, int kind)
{
	const struct engine_counts *n = engine_counts(w, kind);

	return (double)n->in_aim / (double)(n->asked + 1);
}

static void print_counts(const char *what, uint64_t seed, const struct engine_sim *w)
{
	print_message(
	    "%s, seed %llu: read again %.3f of all; in aim %.3f of large and %.3f of small; 90 of 100 within %d and %d ms\n", what,
	    (unsigned long long)seed, share_again(w), in_aim(w, LARGE), in_aim(w, SMALL), engine_percentile(w, LARGE, 90),
	    engine_percentile(w, SMALL, 90));
}

static uint32_t off(enum mechanism m) { return UINT32_C(1) << m; }

/* A warm fleet, then so many ms that are counted. */
static struct engine_sim *played(const struct engine_settings *set, int64_t ms)
{
	struct engine_sim *w = engine_open(set);

	engine_run(w, 8000);
	engine_count_anew(w);
	engine_run(w, ms);
	return w;
}

static struct engine_sim *rolled(const struct engine_settings *set)
{
	struct engine_sim *w = engine_open(set);

	engine_run(w, 8000);
	engine_count_anew(w);
	engine_name(w);
	engine_run(w, 16000);
	assert_true(engine_rolled(w));
	return w;
}

static void a_naming_under_load(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 2; seed++) {
		struct engine_settings set = usual(seed);
		struct engine_sim *w = rolled(&set);

		print_counts("a naming", seed, w);
		engine_close(w);
		set.without = off(MECHANISM_LOOKUP);
		w = rolled(&set);
		print_counts("a naming without lookups", seed, w);
		engine_close(w);
		set.retain = 0;
		set.without = 0;
		w = rolled(&set);
		print_counts("a naming that waits for runs", seed, w);
		engine_close(w);
	}
}

static void calm(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 2; seed++)
		for (int k = 0; k < 4; k++) {
			struct engine_settings set = usual(seed);
			struct engine_sim *w;

			set.without = k == 1   ? off(MECHANISM_LOOKUP)
				      : k == 2 ? off(MECHANISM_LOOKUP) | off(MECHANISM_FEED)
				      : k == 3 ? off(MECHANISM_HOMES)
					       : 0;
			w = played(&set, 8000);
			print_counts(k == 0 ? "calm" : k == 1 ? "no lookup" : k == 2 ? "no lookup, no feed" : "no homes", seed, w);
			engine_close(w);
		}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(calm),
		cmocka_unit_test(a_naming_under_load),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
