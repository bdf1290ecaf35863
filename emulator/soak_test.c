/* The soak test: targets of the weights are set in series while faults of routers, core machines, model
 * servers, the operator's connections and the load come in series of their own, so that several overlap at
 * most moments. What is done, to whom and for how long follows from the seed; only the moments follow the
 * clock. The run's bounds are short, so that several pass within it. */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "soak_test_internal.h"

/* What one fault or target draws depends on its place in its series alone, not on what the clock did to
 * others. */
static void draw_anew(struct soak_test *soak, uint64_t seed, uint64_t index)
{
	soak->rng = emulator_hash(seed, &index, sizeof index);
}

static void advance_series(struct soak_test *soak, struct fault_series *series)
{
	if (run_ms(soak->run) < series->next_at_ms)
		return;
	draw_anew(soak, series->seed, series->injected_count++);
	if (!series->remaining) {
		series->remaining = (int)soak_between(soak, 1, series->max_faults);
		series->gap_ms = soak_between(soak, series->max_gap_ms / 8, series->max_gap_ms);
	}
	if (soak_one_in(soak, 2)) /* else the same again */
		series->kind = (int)soak_between(soak, 0, series->kind_count - 1);
	series->inject(soak, series->kind);
	series->remaining--;
	series->next_at_ms = run_ms(soak->run) + (series->remaining ? series->gap_ms
								    : soak_between(soak, series->min_pause_ms,
										   series->max_pause_ms));
}

static void set_targets(struct soak_test *soak)
{
	int64_t now = run_ms(soak->run), longest = (soak->ends_at_ms - now) / 2;

	if (now < soak->next_target_at_ms)
		return;
	draw_anew(soak, soak->target_seed, soak->target_index++);
	if (!soak->targets_remaining && soak_one_in(soak, BURST_EVERY)) {
		soak->targets_remaining = BURST_TARGETS_MIN + (int)soak_between(soak, 0, BURST_TARGETS_EXTRA);
		soak->target_gap_ms = soak_between(soak, TARGET_GAP_MIN_MS, 2 * TARGET_GAP_MIN_MS);
	} else if (!soak->targets_remaining) {
		soak->targets_remaining = (int)soak_between(soak, 1, 4);
		soak->target_gap_ms = soak_between(soak, TARGET_GAP_MIN_MS, TARGET_GAP_MAX_MS);
		if (soak->target_gap_ms > longest)
			soak->target_gap_ms = longest;
	}
	soak_set_target(soak);
	soak->targets_remaining--;
	soak->next_target_at_ms = now + soak->target_gap_ms;
	if (!soak->targets_remaining)
		soak->next_target_at_ms += soak_between(soak, 0, 2 * soak->run->bounds.version_ms);
}

static void end_faults(struct soak_test *soak, int all)
{
	for (int i = (int)arrlen(soak->active_faults) - 1; i >= 0; i--) {
		struct episode episode = soak->active_faults[i];

		if ((all || run_ms(soak->run) >= episode.ends_at_ms) && episode.end(soak, episode.subject))
			arrdel(soak->active_faults, i);
	}
}

/* How long a process has waited for a processor since it began, in nanoseconds; -1: not known. */
static long long waited_ns(int pid)
{
	long long waited = -1;
	char path[64], line[100];
	FILE *out;

	snprintf(path, sizeof path, "/proc/%d/schedstat", pid);
	out = fopen(path, "r");
	if (!out)
		return -1;
	if (fgets(line, sizeof line, out) && strchr(line, ' '))
		waited = strtoll(strchr(line, ' '), NULL, 10);
	fclose(out);
	return waited;
}

static void sample_waiting(struct soak_test *soak)
{
	struct run *run = soak->run;

	if (run_ms(run) < soak->next_sample_at_ms)
		return;
	soak->next_sample_at_ms = run_ms(run) + SAMPLE_MS;
	for (int i = 0; i < run->machine_count; i++) {
		int pid = run->machines[i].pid;
		long long waited = pid ? waited_ns(pid) : -1,
			  more = (waited - soak->sample[i].waited_ns) / 1000000;

		if (waited >= 0 && pid == soak->sample[i].pid && more > run->max_wait_ms)
			run->max_wait_ms = more;
		soak->sample[i].pid = waited >= 0 ? pid : 0;
		soak->sample[i].waited_ns = waited;
	}
}

static void run_until_ms(struct soak_test *soak, int64_t until, int inject)
{
	while (run_ms(soak->run) < until && !soak->run->undecided_reason) {
		end_faults(soak, 0);
		sample_waiting(soak);
		if (inject) {
			set_targets(soak);
			for (int i = 0; i < SERIES_COUNT; i++)
				advance_series(soak, &soak->series[i]);
		}
		run_for(soak->run, STEP_MS);
	}
}

void soak_test_prepare(struct run *run)
{
	struct soak_test draw = { .run = run, .rng = emulator_hash(run->seed, "soak sizes", 10) };
	int crowded = !run->small && !run->edges && run->seed % CROWDED_EVERY == 0;

	run->bounds.version_ms = soak_between(&draw, VERSION_MIN_MS, VERSION_MAX_MS);
	run->bounds.contact_ms = CONTACT_MS;
	run->bounds.drain_ms = DRAIN_MS;
	run->bounds.lease_ms = LEASE_MS;
	run->max_lateness_ms = MAX_LATENESS_MS;
	if (crowded) {
		run->edges = CROWDED_ROUTERS;
		run->cores = CROWDED_CORE;
	} else if (!run->small) {
		run->edges = run->edges ? run->edges : (int)soak_between(&draw, 4, 12);
		run->cores = (int)soak_between(&draw, 3, 5);
	}
}

static void log_summary(const struct soak_test *soak)
{
	struct run *run = soak->run;
	int in_use = 0;

	for (int i = 0; i < run->machine_count; i++)
		in_use += run->machines[i].pid != 0;
	run_log(
	    run,
	    "the soak is over: VersionMs %lld, %d namings, %d troubles, %d of them beside others, %d processes at its end",
	    (long long)run->bounds.version_ms, soak->target_version - 1, soak->fault_count,
	    soak->overlap_count, in_use);
}

void soak_test(struct run *run)
{
	int64_t start = run_ms(run), bound = run->bounds.version_ms,
		length = run->length_s ? run->length_s * 1000
			 : run->small  ? SMALL_SOAK_MS
				       : SOAK_MS;
	struct soak_test soak = { .run = run,
				  .rng = emulator_hash(run->seed, "soak", 4),
				  .target_version = 1 };

	soak.ends_at_ms = start + length;
	soak.series[SERIES_ROUTERS] = (struct fault_series){ .inject = soak_inject_router_fault,
							     .kind_count = ROUTERS_KINDS,
							     .max_faults = 4,
							     .max_gap_ms = 4000,
							     .max_pause_ms = bound,
							     .min_pause_ms = 200 };
	soak.series[SERIES_CORE] =
	    (struct fault_series){ .inject = soak_inject_core_fault,
				   .kind_count = CORE_KINDS,
				   .max_faults = 3,
				   .max_gap_ms = 2000,
				   .max_pause_ms = 4 * bound,
				   .min_pause_ms = bound + 2 * run->bounds.contact_ms };
	soak.series[SERIES_SERVERS] = (struct fault_series){ .inject = soak_inject_server_faults,
							     .kind_count = SERVER_KINDS,
							     .max_faults = 3,
							     .max_gap_ms = 3000,
							     .max_pause_ms = bound,
							     .min_pause_ms = 200 };
	soak.series[SERIES_OTHERS] = (struct fault_series){ .inject = soak_inject_other_fault,
							    .kind_count = OTHERS_KINDS,
							    .max_faults = 4,
							    .max_gap_ms = 2000,
							    .max_pause_ms = bound,
							    .min_pause_ms = 200 };
	for (int i = 0; i < SERIES_COUNT; i++)
		soak.series[i].next_at_ms =
		    start +
		    (soak_one_in(&soak, QUIET_SERIES_EVERY) ? length : soak_between(&soak, 500, bound));
	for (int i = 0; i < SERIES_COUNT; i++)
		soak.series[i].seed = emulator_random(&soak.rng);
	soak.target_seed = emulator_random(&soak.rng);
	soak.next_target_at_ms = start + soak_between(&soak, 0, 2000);
	clients_probe(run->clients, 1);
	clients_long(run->clients, LONG_EVERY);
	run->fleet.engine.load_ms = (int)(bound / LOAD_SHARE);
	run_until_ms(&soak, soak.ends_at_ms, 1);
	for (int i = 0; i < arrlen(soak.active_faults); i++)
		soak.active_faults[i].ends_at_ms = soak.ends_at_ms;
	run_until_ms(&soak, soak.ends_at_ms + bound + CALM_CONTACTS * run->bounds.contact_ms,
		     0); /* VERSION is judged on what the faults left */
	log_summary(&soak);
	arrfree(soak.active_faults);
}

int invariant_lines(const struct run *run)
{
	char path[700], line[2000];
	int n = 0;

	for (int i = 0; i < run->machine_count; i++) {
		FILE *out;

		snprintf(path, sizeof path, "%s/%s.log", run->folder, run->machines[i].name);
		out = fopen(path, "r");
		while (out && fgets(line, sizeof line, out))
			if (!strncmp(line, "invariant", 9) || strstr(line, ": invariant"))
				n++, printf("INVARIANT %s: %s", run->machines[i].name, line);
		if (out)
			fclose(out);
	}
	return n;
}
