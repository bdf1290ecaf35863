/* ablation: what each mechanism of the routers is worth before servers that read, keep, load and forget
 * (tests/engine_sim): the same days with all of them and without one. Not a test: it prints a table. Usage:
 * ablation [SEEDS]; example: build/ablation 8 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>

#include "engine_sim.h"

enum { WARM_MS = 8000, PLAY_MS = 12000, KINDS_USED = 2, DAYS = 3, SEEDS_DEFAULT = 6, SEEDS_MOST = 100 };

struct day {
	const char *name;
	int named; /* weights are named once it is warm */
	int half;  /* servers keep half as much */
};
static const struct day days[DAYS] = { { "calm", 0, 0 }, { "naming", 1, 0 }, { "half memory", 0, 1 } };

static struct engine_settings settings(const struct day *day, uint64_t seed, uint32_t without)
{
	return (struct engine_settings){
		.seed = seed,
		.prefill_tokens_per_ms = 50,
		.capacity_tokens = day->half ? 120000 : 240000,
		.link_kbps = 100,
		.event_lag_ms = 80,
		.event_loss_per_mille = 30,
		.load_ms = 1500,
		.loads_under_requests = mechanism_is_enabled(without, MECHANISM_RETAIN),
		.max_loads = 3,
		.disabled_mechanisms = without,
		.kind = {
			{ .interval_ms = 22, .prefixes = day->half ? 60 : 120, .shared_tokens = 13000, .own_tokens = 3700, .output_chunks = 100, .latency_target_ms = 1000 },
			{ .interval_ms = 20, .prefixes = 60, .shared_tokens = 350, .own_tokens = 1100, .output_chunks = 120, .latency_target_ms = 600 },
		},
	};
}

struct result {
	double in_aim, again;
};

static struct result play(const struct day *day, uint64_t seed, uint32_t without)
{
	struct engine_settings set = settings(day, seed, without);
	struct engine_sim *engines = engine_open(&set);
	struct result result = { 0 };
	uint64_t submitted = 0, in_aim = 0;

	engine_run(engines, WARM_MS);
	engine_reset_counts(engines);
	if (day->named)
		engine_set_target(engines);
	engine_run(engines, PLAY_MS);
	for (int k = 0; k < KINDS_USED; k++) {
		submitted += engine_counts(engines, k)->requests;
		in_aim += engine_counts(engines, k)->within_target;
	}
	result.in_aim = (double)in_aim / (double)(submitted + 1);
	result.again = (double)engine_prefilled_again(engines) / (double)(engine_prefilled(engines) + 1);
	engine_close(engines);
	return result;
}

/* Mean difference and its standard error. */
static void print_difference(const double *with, const double *without, int n)
{
	double mean = 0, square = 0;

	for (int i = 0; i < n; i++)
		mean += (without[i] - with[i]) / n;
	for (int i = 0; i < n; i++) {
		double d = without[i] - with[i] - mean;

		square += d * d;
	}
	printf("  %+.3f +- %.3f", mean, n > 1 ? sqrt(square / (n - 1) / n) : 0.0);
}

static void row(enum mechanism m, int seeds)
{
	printf("%-14s", mechanism_info[m].name);
	for (int d = 0; d < DAYS; d++) {
		double in_aim[2][SEEDS_MOST], again[2][SEEDS_MOST];

		for (int i = 0; i < seeds; i++)
			for (int k = 0; k < 2; k++) {
				struct result r = play(&days[d], (uint64_t)i + 1, k ? UINT32_C(1) << m : 0);

				in_aim[k][i] = r.in_aim;
				again[k][i] = r.again;
			}
		print_difference(in_aim[0], in_aim[1], seeds);
		print_difference(again[0], again[1], seeds);
	}
	printf("\n");
}

int main(int argc, char **argv)
{
	int seeds = argc > 1 ? atoi(argv[1]) : SEEDS_DEFAULT;

	if (seeds < 1 || seeds > SEEDS_MOST) {
		fprintf(stderr, "Usage: ablation [SEEDS], 1 to %d\n", SEEDS_MOST);
		return 2;
	}
	apr_initialize();
	printf("Without a mechanism, against all: share in aim, share of tokens read again; %d seeds.\n%-14s",
	       seeds, "");
	for (int d = 0; d < DAYS; d++)
		printf("  %-34s", days[d].name);
	printf("\n");
	for (int m = 0; m < MECHANISMS; m++)
		row((enum mechanism)m, seeds);
	apr_terminate();
	return 0;
}
