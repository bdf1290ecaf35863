/* A soak: weights are named in series while troubles of routers, core machines, model servers, the operator's
 * connections and the load come in series of their own, so that several overlap at most moments. What is
 * done, to whom, for how long follows from the seed; only the moments follow the clock. The run's bounds are
 * short, so that several pass within it. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "containers.h"
#include "platform_run.h"

enum {
	SMALL_SOAK_MS = 20000,
	SOAK_MS = 45000,
	STEP_MS = 10,
	/* the run's bounds */
	VERSION_MIN_MS = 5000,
	VERSION_MAX_MS = 8000,
	CONTACT_MS = 1500,
	DRAIN_MS = 1500,
	LEASE_MS = 1500,
	CALM_CONTACTS = 3, /* beyond VersionMs, at the end */
	LOAD_SHARE = 8,    /* a load takes so small a part of VersionMs */
	/* how many machines */
	CROWDED_EVERY = 5, /* of so many seeds one is crowded */
	CROWDED_ROUTERS = 60,
	CROWDED_CORE = 9,
	/* troubles */
	QUIET_SERIES_EVERY = 4, /* a subject has no trouble in one of so many runs */
	LONG_EVERY = 40,        /* one of so many answers takes seconds */
	BURST_EVERY = 2,        /* of so many series of namings one is a burst */
	BURST_TARGETS_MIN = 9,
	BURST_TARGETS_EXTRA = 12,
	TARGET_GAP_MIN_MS = 500,
	TARGET_GAP_MAX_MS = 30000,
	SLOW_TIMES = 6,
	LOAD_SLOW_TIMES = 10,
	LOST_PERCENT = 60,
	DOWN_MAX_MS = 3000,
	FREEZE_MIN_MS = 200,
	LOSS_PAUSE_MS = 15000, /* from one disk lost to the next */
	/* how late the run may be itself */
	SAMPLE_MS = 1000,
	MAX_LATENESS_MS = 300
};

struct soak_test;

/* A trouble that is under way. `over` ends it and says 1, or 0 when it has to be called again later. */
struct episode {
	int64_t ends_at_ms;
	int (*end)(struct soak_test *soak_test, void *subject);
	void *subject;
};

/* Troubles of one subject: in series with gaps, and pauses between the series. */
struct fault_series {
	void (*inject)(struct soak_test *soak_test, int kind);
	int kind_count, max_faults;       /* kinds of trouble; troubles in a series */
	int64_t max_gap_ms, max_pause_ms; /* the longest, in ms */
	int64_t min_pause_ms;             /* the shortest pause */
	uint64_t seed, injected_count;
	int kind, remaining;        /* the kind that struck last; how many are still to come in the series */
	int64_t gap_ms, next_at_ms; /* ms */
};

enum { SERIES_ROUTERS, SERIES_CORE, SERIES_SERVERS, SERIES_OTHERS, SERIES_COUNT };

struct replacement {
	struct machine *lost, *new;
};

struct soak_test {
	struct run *run;
	uint64_t rng, target_seed, target_index;
	int64_t ends_at_ms;
	struct fault_series series[SERIES_COUNT];
	struct episode *active_faults; /* stb array */
	struct replacement replacement;
	int64_t next_disk_loss_at_ms, next_target_at_ms, target_gap_ms, next_sample_at_ms;
	int target_version, targets_remaining, fault_count, overlap_count,
	    load_factor; /* burst: so many times the load; 0: none */
	struct {
		int pid;
		long long waited_ns; /* ns on a processor's queue, as the kernel counts them */
	} sample[MAX_MACHINES];
};

/* ---- drawing ---- */

static int64_t soak_between(struct soak_test *soak, int64_t least, int64_t most)
{
	return least + (int64_t)(emulator_random(&soak->rng) % (uint64_t)(most - least + 1));
}

/* What one strike or naming draws depends on its place in its series alone, not on what the clock did to
 * others. */
static void draw_anew(struct soak_test *soak, uint64_t seed, uint64_t index)
{
	soak->rng = emulator_hash(seed, &index, sizeof index);
}

static int soak_one_in(struct soak_test *soak, int64_t n)
{
	return soak_between(soak, 1, n) == 1;
}

static void start_fault(struct soak_test *soak, int64_t ms, int (*over)(struct soak_test *, void *),
			void *subject)
{
	struct episode episode = { run_ms(soak->run) + ms, over, subject };

	arrput(soak->active_faults, episode);
	soak->fault_count++;
	soak->overlap_count += arrlen(soak->active_faults) > 1;
}

static int is_healthy(const struct machine *machine)
{
	return machine->pid && !machine->removed && !machine->is_killed && !machine->draining &&
	       !machine->is_frozen;
}

/* One of the machines of a kind that have no trouble now; NULL: there is none. */
static struct machine *any_healthy(struct soak_test *soak, int core)
{
	struct run *run = soak->run;
	int n = 0, chosen;

	for (int i = 0; i < run->machine_count; i++)
		n += run->machines[i].is_core == core && is_healthy(&run->machines[i]);
	if (!n)
		return NULL;
	chosen = (int)soak_between(soak, 0, n - 1);
	for (int i = 0; i < run->machine_count; i++)
		if (run->machines[i].is_core == core && is_healthy(&run->machines[i]) && chosen-- == 0)
			return &run->machines[i];
	return NULL;
}

/* The core machine that acknowledged last, every other time; else any. */
static struct machine *core_machine(struct soak_test *soak)
{
	const char *leader = operator_leader(soak->run->operator);

	if (soak_one_in(soak, 2))
		for (int i = 0; i < soak->run->machine_count; i++)
			if (is_healthy(&soak->run->machines[i]) &&
			    !strcmp(soak->run->machines[i].control_address, leader))
				return &soak->run->machines[i];
	return any_healthy(soak, 1);
}

/* ---- machines ---- */

static int end_downtime(struct soak_test *soak, void *subject)
{
	struct machine *machine = subject;

	(void)soak;
	if (!machine_down(machine) && machine->draining)
		return 0;
	machine_start(machine);
	return 1;
}

static int thaw_machine(struct soak_test *soak, void *subject)
{
	(void)soak;
	machine_freeze(subject, 0);
	return 1;
}

static void kill_one(struct soak_test *soak, struct machine *machine)
{
	run_log(soak->run, "soak: %s is killed", machine->name);
	machine_kill(machine);
	start_fault(soak, soak_between(soak, 0, DOWN_MAX_MS), end_downtime, machine);
}

static void stop_one(struct soak_test *soak, struct machine *machine)
{
	run_log(soak->run, "soak: %s is stopped", machine->name);
	machine_term(machine);
	start_fault(soak, soak_between(soak, 0, DOWN_MAX_MS), end_downtime, machine);
}

static void freeze_one(struct soak_test *soak, struct machine *machine)
{
	int64_t ms = soak_between(soak, FREEZE_MIN_MS, soak->run->bounds.version_ms + 2000);

	run_log(soak->run, "soak: %s freezes for %lld ms", machine->name, (long long)ms);
	machine_freeze(machine, 1);
	start_fault(soak, ms, thaw_machine, machine);
}

static void for_each_healthy(struct soak_test *soak, int core,
			     void (*what)(struct soak_test *, struct machine *))
{
	for (int i = 0; i < soak->run->machine_count; i++)
		if (soak->run->machines[i].is_core == core && is_healthy(&soak->run->machines[i]))
			what(soak, &soak->run->machines[i]);
}

static void reload_one(struct soak_test *soak, struct machine *machine)
{
	(void)soak;
	machine_reload(machine);
}

static void reload_all(struct soak_test *soak)
{
	run_log(soak->run, "soak: SIGHUP of all machines");
	for_each_healthy(soak, 0, reload_one);
	for_each_healthy(soak, 1, reload_one);
}

enum { ROUTERS_KILL, ROUTERS_STOP, ROUTERS_FREEZE, ROUTERS_HUP, ROUTERS_KILL_ALL, ROUTERS_KINDS };

static void soak_inject_router_fault(struct soak_test *soak, int kind)
{
	static void (*const what[])(struct soak_test *, struct machine *) = { kill_one, stop_one,
									      freeze_one };
	int many = kind == ROUTERS_STOP ? 1 : (int)soak_between(soak, 1, (soak->run->edges + 2) / 3);

	if (kind == ROUTERS_HUP) {
		reload_all(soak);
		return;
	}
	if (kind == ROUTERS_KILL_ALL) {
		for_each_healthy(soak, 0, kill_one);
		return;
	}
	while (many--) {
		struct machine *machine = any_healthy(soak, 0);

		if (machine)
			what[kind](soak, machine);
	}
}

/* ---- core machines ---- */

static int list_replacement(struct soak_test *soak, void *subject)
{
	struct replacement *replacement = subject;

	(void)soak;
	replacement->lost->is_listed = 0;
	replacement->new->is_listed = 1;
	return 1;
}

static int zone_of(const struct run *run, const struct machine *machine)
{
	int zone = 0;

	while (zone < 3 && strcmp(machine->zone, run->sheet->zone[zone]) != 0)
		zone++;
	return zone;
}

/* A core machine goes for good; an empty one comes at another address. */
static void replace_one(struct soak_test *soak, struct machine *machine)
{
	struct run *run = soak->run;

	run_log(run, "soak: %s goes for good and an empty machine comes at another address", machine->name);
	machine_remove(machine);
	soak->replacement = (struct replacement){ machine, machine_add(run, 1, zone_of(run, machine)) };
	start_fault(soak, soak_between(soak, 0, DOWN_MAX_MS), end_downtime, soak->replacement.new);
	start_fault(soak, SEED_LAG_MS, list_replacement, &soak->replacement);
}

static int restart_empty(struct soak_test *soak, void *subject)
{
	struct machine *machine = subject;

	if (!machine_down(machine))
		return 0;
	machine_wipe(machine);
	return end_downtime(soak, machine);
}

static void wipe_one(struct soak_test *soak, struct machine *machine)
{
	run_log(soak->run, "soak: %s is killed and loses its disk", machine->name);
	machine_kill(machine);
	start_fault(soak, soak_between(soak, 500, DOWN_MAX_MS), restart_empty, machine);
}

/* The core bears the loss of one disk at a time (MachineLosses = 1). */
static int may_lose_disk(struct soak_test *soak)
{
	if (run_ms(soak->run) < soak->next_disk_loss_at_ms || soak->run->machine_count + 1 >= MAX_MACHINES)
		return 0;
	soak->next_disk_loss_at_ms = run_ms(soak->run) + LOSS_PAUSE_MS;
	return 1;
}

static void soak_set_target(struct soak_test *soak)
{
	if (operator_weights_acked(soak->run->operator) < soak->target_version)
		return; /* one after another */
	operator_weights(soak->run->operator, ++ soak->target_version);
}

enum { CORE_KILL, CORE_STOP, CORE_FREEZE, CORE_REPLACE, CORE_WIPE, CORE_KILL_ALL, CORE_STOP_ALL, CORE_KINDS };

static void soak_inject_core_fault(struct soak_test *soak, int kind)
{
	static void (*const what[])(struct soak_test *, struct machine *) = { kill_one, stop_one, freeze_one,
									      replace_one, wipe_one };
	struct machine *machine;

	if (soak_one_in(soak, 2)) { /* while a naming is on its way */
		soak_set_target(soak);
		run_for(soak->run, soak_between(soak, 0, 3));
	}
	if (kind == CORE_KILL_ALL || kind == CORE_STOP_ALL) {
		for_each_healthy(soak, 1, kind == CORE_KILL_ALL ? kill_one : stop_one);
		return;
	}
	if ((kind == CORE_REPLACE || kind == CORE_WIPE) && !may_lose_disk(soak))
		kind = CORE_FREEZE;
	machine = core_machine(soak);
	if (machine)
		what[kind](soak, machine);
}

/* ---- model servers ---- */

static int recover_server(struct soak_test *soak, void *subject)
{
	struct server *server = subject;

	(void)soak;
	server_set_silent(server, 0);
	server->fault = (struct server_fault){ .close = 0.01 };
	return 1;
}

static int restart_server(struct soak_test *soak, void *subject)
{
	(void)soak;
	server_up(subject);
	return 1;
}

static int replace_server(struct soak_test *soak, void *subject)
{
	struct server *server = subject;

	if (server->state == STATE_DOWN)
		server->version = soak->run->fleet.newest_version; /* a new one has the newest */
	return restart_server(soak, server);
}

enum {
	SERVER_SLOW,
	SERVER_SILENT,
	SERVER_CRASH,
	SERVER_REPLACED,
	SERVER_REFUSES,
	SERVER_LOADS_SLOWLY,
	SERVER_KINDS
};

static void inject_server_fault(struct soak_test *soak, struct server *server, int kind)
{
	static const char *const what[] = { "is slow",     "is silent",     "crashes",
					    "is replaced", "takes no load", "loads slowly" };
	int64_t ms = soak_between(soak, 500, 2 * soak->run->bounds.version_ms);

	run_log(soak->run, "soak: server %s %s for %lld ms", server->address, what[kind], (long long)ms);
	switch (kind) {
	case SERVER_SLOW:
		server->fault.slow = SLOW_TIMES;
		break;
	case SERVER_SILENT:
		server_set_silent(server, 1);
		break;
	case SERVER_REFUSES:
		server->fault.refuses_loads = 1;
		break;
	case SERVER_LOADS_SLOWLY:
		server->fault.load_slow = LOAD_SLOW_TIMES;
		break;
	default:
		server_crash(server);
		break;
	}
	start_fault(soak, ms,
		    kind == SERVER_CRASH      ? restart_server
		    : kind == SERVER_REPLACED ? replace_server
					      : recover_server,
		    server);
}

static void soak_inject_server_faults(struct soak_test *soak, int kind)
{
	struct server_fleet *fleet = &soak->run->fleet;
	int servers = (int)arrlen(fleet->servers) - 1, many = (int)soak_between(soak, 1, (servers + 1) / 2);

	while (many--) { /* the last one is the store */
		struct server *server = fleet->servers[soak_between(soak, 0, servers - 1)];

		if (server->state == STATE_UP && !server->fault.is_silent && server->fault.slow <= 0)
			inject_server_fault(soak, server, kind);
	}
}

/* ---- the operator's connections, load and configurations ---- */

static int restore_answers(struct soak_test *soak, void *subject)
{
	operator_set_loss(subject, 0);
	(void)soak;
	return 1;
}

static int restore_load(struct soak_test *soak, void *subject)
{
	struct run *run = subject;

	run->rate /= soak->load_factor;
	soak->load_factor = 0;
	return 1;
}

enum { OTHERS_LOSE, OTHERS_LOAD, OTHERS_CHANGE, OTHERS_KINDS };

static void soak_inject_other_fault(struct soak_test *soak, int kind)
{
	static const enum change changes[] = { CHANGE_SPLIT,    CHANGE_TIMEOUT,  CHANGE_ROUTE_ON,
					       CHANGE_PRIORITY, CHANGE_ATTEMPTS, CHANGE_MOVE,
					       CHANGE_TENANT,   CHANGE_ROUTE_OFF };
	struct run *run = soak->run;
	int64_t ms = soak_between(soak, 500, run->bounds.version_ms);
	int more = (int)soak_between(soak, 2, 3);

	if (kind == OTHERS_LOSE) {
		run_log(run, "soak: answers to namings are lost for %lld ms", (long long)ms);
		operator_set_loss(run->operator, LOST_PERCENT / 100.0);
		start_fault(soak, ms, restore_answers, run->operator);
	} else if (kind == OTHERS_LOAD && !soak->load_factor) {
		soak->load_factor = more;
		run_log(run, "soak: %d times the load for %lld ms", more, (long long)ms);
		run->rate *= more;
		start_fault(soak, ms, restore_load, run);
	} else if (operator_idle(run->operator)) {
		operator_change(run->operator,
				changes[soak_between(soak, 0, (int)(sizeof changes / sizeof *changes) - 1)],
				(int)soak_between(soak, 0, 1));
	}
}

/* ---- series ---- */

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

/* ---- whether the machine bears it ---- */

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

/* ---- the run ---- */

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
		     0); /* VERSION is judged on what the troubles left */
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
