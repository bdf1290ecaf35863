/* How well routers decide, before servers that read, keep, load and forget: each test is seen to fail where
 * the mechanism that it is for is switched off. */
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

/* Sixteen servers, some 55 % of whose time goes to reading if each prefix is read once; links too thin for
 * all news. */
static struct engine_settings usual(uint64_t seed)
{
	return (struct engine_settings){
		.seed = seed,
		.prefill_tokens_per_ms = 50,
		.capacity_tokens = 240000,
		.link_kbps = 100,
		.event_lag_ms = 80,
		.event_loss_per_mille = 30,
		.load_ms = 1500,
		.loads_under_requests = 1,
		.max_loads = 3,
		.kind = {
			[LARGE] = { .interval_ms = 22, .prefixes = 120, .shared_tokens = 13000, .own_tokens = 3700, .output_chunks = 100, .latency_target_ms = 1000 },
			[SMALL] = { .interval_ms = 20, .prefixes = 60, .shared_tokens = 350, .own_tokens = 1100, .output_chunks = 120, .latency_target_ms = 600 },
		},
	};
}

static double share_again(const struct engine_sim *engines)
{
	return (double)engine_prefilled_again(engines) / (double)(engine_prefilled(engines) + 1);
}

static double within_target(const struct engine_sim *engines, int kind)
{
	const struct engine_counts *n = engine_counts(engines, kind);

	return (double)n->within_target / (double)(n->requests + 1);
}

static void print_counts(const char *what, uint64_t seed, const struct engine_sim *engines)
{
	print_message(
	    "%s, seed %llu: read again %.3f of all; in aim %.3f of large and %.3f of small; 90 of 100 within %d and %d ms\n",
	    what, (unsigned long long)seed, share_again(engines), within_target(engines, LARGE),
	    within_target(engines, SMALL), engine_percentile(engines, LARGE, 90),
	    engine_percentile(engines, SMALL, 90));
}

static uint32_t off(enum mechanism m)
{
	return UINT32_C(1) << m;
}

/* A warm fleet, then so many ms that are counted. */
static struct engine_sim *played(const struct engine_settings *set, int64_t ms)
{
	struct engine_sim *engines = engine_open(set);

	engine_run(engines, 8000);
	engine_reset_counts(engines);
	engine_run(engines, ms);
	return engines;
}

static struct engine_sim *rolled(const struct engine_settings *set)
{
	struct engine_sim *engines = engine_open(set);

	engine_run(engines, 8000);
	engine_reset_counts(engines);
	engine_set_target(engines);
	engine_run(engines, 16000);
	assert_true(engine_is_rollout_complete(engines));
	return engines;
}

enum { SEEDS = 3 };

/* What a mechanism is worth: the same days with it and without it. */
struct comparison {
	double large[2], small[2],
	    again[2]; /* within target, within target, read again: with, without; sums over the seeds */
	int small_p90[2], large_p90[2]; /* the largest of the seeds, in ms */
};

static struct comparison compare(const char *what, struct engine_settings (*settings)(uint64_t seed),
				 uint32_t without, int named)
{
	struct comparison comparison = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		for (int k = 0; k < 2; k++) {
			struct engine_settings set = settings(seed);
			struct engine_sim *engines;
			int p90;

			set.disabled_mechanisms = k ? without : 0;
			engines = named ? rolled(&set) : played(&set, 10000);
			print_counts(what, seed, engines);
			comparison.large[k] += within_target(engines, LARGE) / SEEDS;
			comparison.small[k] += within_target(engines, SMALL) / SEEDS;
			comparison.again[k] += share_again(engines) / SEEDS;
			p90 = engine_percentile(engines, SMALL, 90);
			comparison.small_p90[k] =
			    p90 > comparison.small_p90[k] ? p90 : comparison.small_p90[k];
			p90 = engine_percentile(engines, LARGE, 90);
			comparison.large_p90[k] =
			    p90 > comparison.large_p90[k] ? p90 : comparison.large_p90[k];
			engine_close(engines);
		}
	print_message(
	    "%s: large %.3f for %.3f, small %.3f for %.3f, again %.3f for %.3f, p90 %d for %d and %d for %d ms\n",
	    what, comparison.large[0], comparison.large[1], comparison.small[0], comparison.small[1],
	    comparison.again[0], comparison.again[1], comparison.large_p90[0], comparison.large_p90[1],
	    comparison.small_p90[0], comparison.small_p90[1]);
	return comparison;
}

static struct engine_settings with_half_the_memory(uint64_t seed)
{
	struct engine_settings set = usual(seed);

	set.capacity_tokens /= 2;
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

	set.kind[LARGE].interval_ms = 28;
	set.kind[LARGE].prefixes = 400;
	set.kind[SMALL].interval_ms = 10;
	return set;
}

/* Links carry a part of the news alone: without lookups prompts are read again that lie ready, and a roll-out
 * lasts twice. */
static void a_target_version_under_load(void **state)
{
	struct comparison comparison = compare("a naming", usual, off(MECHANISM_LOOKUP), 1);

	(void)state;
	assert_true(comparison.large[0] > 0.85 && comparison.small[0] > 0.85 && comparison.again[0] < 0.18);
	assert_true(comparison.large[1] < 0.83 && comparison.small[1] < 0.83 && comparison.again[1] > 0.2);
}

static void memory_half_as_large(void **state)
{
	struct comparison comparison =
	    compare("half the memory", with_half_the_memory, off(MECHANISM_LOOKUP), 0);

	(void)state;
	assert_true(comparison.large[0] > 0.95 && comparison.small[0] > 0.95 && comparison.again[0] < 0.23);
	assert_true(comparison.again[1] > 0.24);
}

static void a_hot_prefix(void **state)
{
	struct comparison comparison = compare("a hot prefix", with_a_hot_prefix, off(MECHANISM_LOOKUP), 0);

	(void)state;
	assert_true(comparison.large[0] > 0.95 && comparison.large_p90[0] < 450);
	assert_true(comparison.large_p90[1] > 500);
}

static void small_behind_large(void **state)
{
	struct comparison comparison =
	    compare("small behind large", with_small_behind_large, off(MECHANISM_LOOKUP), 0);

	(void)state;
	assert_true(comparison.small_p90[0] < 950 && comparison.large_p90[0] < 1150);
	assert_true(comparison.small_p90[1] > 1100);
}

/* The head of a zone falls silent: nobody waits for it for long, and once it answers it is asked again. */
static void a_silent_head(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct engine_settings set = usual(seed);
		struct engine_sim *engines = engine_open(&set);
		struct router *router = engine_router(engines, 4);
		uint64_t used, missed;

		engine_run(engines, 8000);
		used = router->stats.own_lookups_answered;
		assert_true(used > 10);
		engine_set_head_silent(engines, 0, 1);
		engine_reset_counts(engines);
		engine_run(engines, 6000);
		missed = router->stats.own_lookups_missed;
		print_counts("a silent head", seed, engines);
		assert_true(missed <= 3); /* then none is waited for */
		assert_true(within_target(engines, LARGE) > 0.85 && within_target(engines, SMALL) > 0.85);
		used = router->stats.own_lookups_answered;
		engine_set_head_silent(engines, 0, 0);
		engine_run(engines, 4000);
		assert_true(router->stats.own_lookups_answered - used > 15);
		engine_close(engines);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_target_version_under_load),
		cmocka_unit_test(memory_half_as_large),
		cmocka_unit_test(a_hot_prefix),
		cmocka_unit_test(small_behind_large),
		cmocka_unit_test(a_silent_head),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
