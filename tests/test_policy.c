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
		.link_kbps = 100,
		.event_lag_ms = 80,
		.event_loss = 30,
		.load_ms = 1500,
		.retain = 1,
		.at_once = 3,
		.kind = {
			[LARGE] = { .every_ms = 22, .prefixes = 120, .shared = 13000, .own = 3700, .out = 100, .aim_ms = 1000 },
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

enum { SEEDS = 3 };

/* What a mechanism is worth: the same days with it and without it. */
struct comparison {
	double large[2], small[2], again[2]; /* in aim, in aim, read again: with, without; sums over the seeds */
	int small_p90[2], large_p90[2];      /* the largest of the seeds, in ms */
};

static struct comparison compare(const char *what, struct engine_settings (*settings)(uint64_t seed), uint32_t without, int named)
{
	struct comparison c = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		for (int k = 0; k < 2; k++) {
			struct engine_settings set = settings(seed);
			struct engine_sim *w;
			int p90;

			set.without = k ? without : 0;
			w = named ? rolled(&set) : played(&set, 10000);
			print_counts(what, seed, w);
			c.large[k] += in_aim(w, LARGE) / SEEDS;
			c.small[k] += in_aim(w, SMALL) / SEEDS;
			c.again[k] += share_again(w) / SEEDS;
			p90 = engine_percentile(w, SMALL, 90);
			c.small_p90[k] = p90 > c.small_p90[k] ? p90 : c.small_p90[k];
			p90 = engine_percentile(w, LARGE, 90);
			c.large_p90[k] = p90 > c.large_p90[k] ? p90 : c.large_p90[k];
			engine_close(w);
		}
	print_message("%s: large %.3f for %.3f, small %.3f for %.3f, again %.3f for %.3f, p90 %d for %d and %d for %d ms\n", what,
		      c.large[0], c.large[1], c.small[0], c.small[1], c.again[0], c.again[1], c.large_p90[0], c.large_p90[1],
		      c.small_p90[0], c.small_p90[1]);
	return c;
}

static struct engine_settings with_half_the_memory(uint64_t seed)
{
	struct engine_settings set = usual(seed);

	set.room /= 2;
	set.kind[LARGE].prefixes /= 2;
	return set;
}

static struct engine_settings with_a_hot_prefix(uint64_t seed)
{
	struct engine_settings set = usual(seed);

	set.kind[LARGE].hot_percent = 30;
	return set;
}

/* Bulletins take a server for a third of a second each; questions come between them. */
static struct engine_settings with_small_behind_large(uint64_t seed)
{
	struct engine_settings set = usual(seed);

	set.kind[LARGE].every_ms = 28;
	set.kind[LARGE].prefixes = 400;
	set.kind[SMALL].every_ms = 10;
	return set;
}

/* Links carry a part of the news alone: without lookups prompts are read again that lie ready, and a roll-out lasts twice. */
static void a_naming_under_load(void **state)
{
	struct comparison c = compare("a naming", usual, off(MECHANISM_LOOKUP), 1);

	(void)state;
	assert_true(c.large[0] > 0.85 && c.small[0] > 0.85 && c.again[0] < 0.18);
	assert_true(c.large[1] < 0.83 && c.small[1] < 0.83 && c.again[1] > 0.2);
}

static void memory_half_as_large(void **state)
{
	struct comparison c = compare("half the memory", with_half_the_memory, off(MECHANISM_LOOKUP), 0);

	(void)state;
	assert_true(c.large[0] > 0.95 && c.small[0] > 0.95 && c.again[0] < 0.23);
	assert_true(c.again[1] > 0.24);
}

static void a_hot_prefix(void **state)
{
	struct comparison c = compare("a hot prefix", with_a_hot_prefix, off(MECHANISM_LOOKUP), 0);

	(void)state;
	assert_true(c.large[0] > 0.95 && c.large_p90[0] < 450);
	assert_true(c.large_p90[1] > 500);
}

static void small_behind_large(void **state)
{
	struct comparison c = compare("small behind large", with_small_behind_large, off(MECHANISM_LOOKUP), 0);

	(void)state;
	assert_true(c.small_p90[0] < 950 && c.large_p90[0] < 1150);
	assert_true(c.small_p90[1] > 1100);
}

/* The head of a zone falls silent: nobody waits for it for long, and once it answers it is asked again. */
static void a_silent_head(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct engine_settings set = usual(seed);
		struct engine_sim *w = engine_open(&set);
		struct router *c = engine_router(w, 4);
		uint64_t used, missed;

		engine_run(w, 8000);
		used = c->n.lookups_used;
		assert_true(used > 10);
		engine_silence(w, 0, 1);
		engine_count_anew(w);
		engine_run(w, 6000);
		missed = c->n.lookups_missed;
		print_counts("a silent head", seed, w);
		assert_true(missed <= 3); /* then none is waited for */
		assert_true(in_aim(w, LARGE) > 0.85 && in_aim(w, SMALL) > 0.85);
		used = c->n.lookups_used;
		engine_silence(w, 0, 0);
		engine_run(w, 4000);
		assert_true(c->n.lookups_used - used > 15);
		engine_close(w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_naming_under_load), cmocka_unit_test(memory_half_as_large), cmocka_unit_test(a_hot_prefix),
		cmocka_unit_test(small_behind_large),  cmocka_unit_test(a_silent_head),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
