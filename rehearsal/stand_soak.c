/* A soak: weights are named in series while troubles of routers, core machines, model servers, the operator's connections
 * and the load come in series of their own, so that several overlap at most moments. What is done, to whom, for how long
 * follows from the seed; only the moments follow the clock. The run's bounds are short, so that several pass within it. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ds.h"
#include "stand_run.h"

enum {
	SMALL_SOAK_MS = 20000,
	SOAK_MS = 45000,
	STEP_MS = 10,
	/* the run's bounds */
	VERSION_LEAST_MS = 5000,
	VERSION_MOST_MS = 8000,
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
	CALM_LANE_EVERY = 4, /* a subject has no trouble in one of so many runs */
	LONG_EVERY = 40,     /* one of so many answers takes seconds */
	BURST_EVERY = 2,     /* of so many series of namings one is a burst */
	BURST_NAMINGS_LEAST = 9,
	BURST_NAMINGS_MORE = 12,
	NAMING_GAP_LEAST_MS = 500,
	NAMING_GAP_MOST_MS = 30000,
	SLOW_TIMES = 6,
	LOAD_SLOW_TIMES = 10,
	LOST_PERCENT = 60,
	DOWN_MOST_MS = 3000,
	FREEZE_LEAST_MS = 200,
	LOSS_PAUSE_MS = 15000, /* from one disk lost to the next */
	/* how late the run may be itself */
	SAMPLE_MS = 1000,
	LATEST_MS = 300
};

struct soak;

/* A trouble that is under way. `over` ends it and says 1, or 0 when it has to be called again later. */
struct episode {
	int64_t ends;
	int (*over)(struct soak *soak, void *subject);
	void *subject;
};

/* Troubles of one subject: in series with gaps, and pauses between the series. */
struct lane {
	void (*strike)(struct soak *soak, int kind);
	int kinds, most;        /* kinds of trouble; troubles in a series */
	int64_t gap, pause;     /* the longest, in ms */
	int64_t shortest_pause; /* the shortest pause */
	uint64_t strike_seed, strikes;
	int kind, left;           /* the kind that struck last; how many are still to come in the series */
	int64_t series_gap, next; /* ms */
};

enum { LANE_ROUTERS, LANE_CORE, LANE_SERVERS, LANE_OTHERS, LANES };

struct replacement {
	struct machine *lost, *new;
};

struct soak {
	struct run *run;
	uint64_t rng, naming_seed, naming_turn;
	int64_t end;
	struct lane lane[LANES];
	struct episode *under_way; /* stb array */
	struct replacement replacement;
	int64_t next_loss, next_naming, naming_gap, next_sample;
	int version, namings_left, troubles, overlaps, burst; /* burst: so many times the load; 0: none */
	struct {
		int pid;
		long long waited; /* ns on a processor's queue, as the kernel counts them */
	} sample[MOST_MACHINES];
};

/* ---- drawing ---- */

static int64_t between(struct soak *soak, int64_t least, int64_t most)
{
	return least + (int64_t)(stand_rand(&soak->rng) % (uint64_t)(most - least + 1));
}

/* What one strike or naming draws depends on its place in its series alone, not on what the clock did to others. */
static void draw_anew(struct soak *soak, uint64_t seed, uint64_t turn) { soak->rng = stand_hash(seed, &turn, sizeof turn); }

static int one_in(struct soak *soak, int64_t n) { return between(soak, 1, n) == 1; }

static void lasts(struct soak *soak, int64_t ms, int (*over)(struct soak *, void *), void *subject)
{
	struct episode e = { run_ms(soak->run) + ms, over, subject };

	arrput(soak->under_way, e);
	soak->troubles++;
	soak->overlaps += arrlen(soak->under_way) > 1;
}

static int is_calm(const struct machine *m) { return m->pid && !m->gone && !m->killed && !m->leaving && !m->frozen; }

/* One of the machines of a kind that have no trouble now; NULL: there is none. */
static struct machine *any_calm(struct soak *soak, int core)
{
	struct run *run = soak->run;
	int n = 0, chosen;

	for (int i = 0; i < run->nm; i++)
		n += run->m[i].core == core && is_calm(&run->m[i]);
	if (!n)
		return NULL;
	chosen = (int)between(soak, 0, n - 1);
	for (int i = 0; i < run->nm; i++)
		if (run->m[i].core == core && is_calm(&run->m[i]) && chosen-- == 0)
			return &run->m[i];
	return NULL;
}

/* The core machine that acknowledged last, every other time; else any. */
static struct machine *core_machine(struct soak *soak)
{
	const char *leader = operator_leader(soak->run->op);

	if (one_in(soak, 2))
		for (int i = 0; i < soak->run->nm; i++)
			if (is_calm(&soak->run->m[i]) && !strcmp(soak->run->m[i].control, leader))
				return &soak->run->m[i];
	return any_calm(soak, 1);
}

/* ---- machines ---- */

static int starts(struct soak *soak, void *subject)
{
	struct machine *m = subject;

	(void)soak;
	if (!machine_down(m) && m->leaving)
		return 0;
	machine_start(m);
	return 1;
}

static int thaws(struct soak *soak, void *subject)
{
	(void)soak;
	machine_freeze(subject, 0);
	return 1;
}

static void kill_one(struct soak *soak, struct machine *m)
{
	run_say(soak->run, "soak: %s is killed", m->name);
	machine_kill(m);
	lasts(soak, between(soak, 0, DOWN_MOST_MS), starts, m);
}

static void stop_one(struct soak *soak, struct machine *m)
{
	run_say(soak->run, "soak: %s is stopped", m->name);
	machine_term(m);
	lasts(soak, between(soak, 0, DOWN_MOST_MS), starts, m);
}

static void freeze_one(struct soak *soak, struct machine *m)
{
	int64_t ms = between(soak, FREEZE_LEAST_MS, soak->run->b.version + 2000);

	run_say(soak->run, "soak: %s freezes for %lld ms", m->name, (long long)ms);
	machine_freeze(m, 1);
	lasts(soak, ms, thaws, m);
}

static void every_calm(struct soak *soak, int core, void (*what)(struct soak *, struct machine *))
{
	for (int i = 0; i < soak->run->nm; i++)
		if (soak->run->m[i].core == core && is_calm(&soak->run->m[i]))
			what(soak, &soak->run->m[i]);
}

static void reload_one(struct soak *soak, struct machine *m)
{
	(void)soak;
	machine_hup(m);
}

static void reload_all(struct soak *soak)
{
	run_say(soak->run, "soak: SIGHUP of all machines");
	every_calm(soak, 0, reload_one);
	every_calm(soak, 1, reload_one);
}

enum { ROUTERS_KILL, ROUTERS_STOP, ROUTERS_FREEZE, ROUTERS_HUP, ROUTERS_KILL_ALL, ROUTERS_KINDS };

static void strike_routers(struct soak *soak, int kind)
{
	static void (*const what[])(struct soak *, struct machine *) = { kill_one, stop_one, freeze_one };
	int many = kind == ROUTERS_STOP ? 1 : (int)between(soak, 1, (soak->run->edges + 2) / 3);

	if (kind == ROUTERS_HUP) {
		reload_all(soak);
		return;
	}
	if (kind == ROUTERS_KILL_ALL) {
		every_calm(soak, 0, kill_one);
		return;
	}
	while (many--) {
		struct machine *m = any_calm(soak, 0);

		if (m)
			what[kind](soak, m);
	}
}

/* ---- core machines ---- */

static int lists_new(struct soak *soak, void *subject)
{
	struct replacement *replacement = subject;

	(void)soak;
	replacement->lost->listed = 0;
	replacement->new->listed = 1;
	return 1;
}

static int zone_of(const struct run *run, const struct machine *m)
{
	int zone = 0;

	while (zone < 3 && strcmp(m->zone, run->sheet->zone[zone]) != 0)
		zone++;
	return zone;
}

/* A core machine goes for good; an empty one comes at another address. */
static void replace_one(struct soak *soak, struct machine *m)
{
	struct run *run = soak->run;

	run_say(run, "soak: %s goes for good and an empty machine comes at another address", m->name);
	machine_remove(m);
	soak->replacement = (struct replacement){ m, machine_add(run, 1, zone_of(run, m)) };
	lasts(soak, between(soak, 0, DOWN_MOST_MS), starts, soak->replacement.new);
	lasts(soak, SEED_LAG_MS, lists_new, &soak->replacement);
}

static int starts_empty(struct soak *soak, void *subject)
{
	struct machine *m = subject;

	if (!machine_down(m))
		return 0;
	machine_wipe(m);
	return starts(soak, m);
}

static void wipe_one(struct soak *soak, struct machine *m)
{
	run_say(soak->run, "soak: %s is killed and loses its disk", m->name);
	machine_kill(m);
	lasts(soak, between(soak, 500, DOWN_MOST_MS), starts_empty, m);
}

/* The core bears the loss of one disk at a time (MachineLosses = 1). */
static int may_lose(struct soak *soak)
{
	if (run_ms(soak->run) < soak->next_loss || soak->run->nm + 1 >= MOST_MACHINES)
		return 0;
	soak->next_loss = run_ms(soak->run) + LOSS_PAUSE_MS;
	return 1;
}

static void name_weights(struct soak *soak)
{
	if (operator_weights_acked(soak->run->op) < soak->version)
		return; /* one after another */
	operator_weights(soak->run->op, ++soak->version);
}

enum { CORE_KILL, CORE_STOP, CORE_FREEZE, CORE_REPLACE, CORE_WIPE, CORE_KILL_ALL, CORE_STOP_ALL, CORE_KINDS };

static void strike_core(struct soak *soak, int kind)
{
	static void (*const what[])(struct soak *, struct machine *) = { kill_one, stop_one, freeze_one, replace_one, wipe_one };
	struct machine *m;

	if (one_in(soak, 2)) { /* while a naming is on its way */
		name_weights(soak);
		run_for(soak->run, between(soak, 0, 3));
	}
	if (kind == CORE_KILL_ALL || kind == CORE_STOP_ALL) {
		every_calm(soak, 1, kind == CORE_KILL_ALL ? kill_one : stop_one);
		return;
	}
	if ((kind == CORE_REPLACE || kind == CORE_WIPE) && !may_lose(soak))
		kind = CORE_FREEZE;
	m = core_machine(soak);
	if (m)
		what[kind](soak, m);
}

/* ---- model servers ---- */

static int recovers(struct soak *soak, void *subject)
{
	struct server *s = subject;

	(void)soak;
	server_dark(s, 0);
	s->fault = (struct server_fault){ .close = 0.01 };
	return 1;
}

static int comes_back(struct soak *soak, void *subject)
{
	(void)soak;
	server_up(subject);
	return 1;
}

static int comes_new(struct soak *soak, void *subject)
{
	struct server *s = subject;

	if (s->life == LIFE_DOWN)
		s->version = soak->run->f.newest; /* a new one has the newest */
	return comes_back(soak, s);
}

enum { SERVER_SLOW, SERVER_SILENT, SERVER_CRASH, SERVER_REPLACED, SERVER_REFUSES, SERVER_LOADS_SLOWLY, SERVER_KINDS };

static void strike_server(struct soak *soak, struct server *s, int kind)
{
	static const char *const what[] = { "is slow", "is silent", "crashes", "is replaced", "takes no load", "loads slowly" };
	int64_t ms = between(soak, 500, 2 * soak->run->b.version);

	run_say(soak->run, "soak: server %s %s for %lld ms", s->addr, what[kind], (long long)ms);
	switch (kind) {
	case SERVER_SLOW: s->fault.slow = SLOW_TIMES; break;
	case SERVER_SILENT: server_dark(s, 1); break;
	case SERVER_REFUSES: s->fault.refuses_loads = 1; break;
	case SERVER_LOADS_SLOWLY: s->fault.load_slow = LOAD_SLOW_TIMES; break;
	default: server_crash(s); break;
	}
	lasts(soak, ms, kind == SERVER_CRASH ? comes_back : kind == SERVER_REPLACED ? comes_new : recovers, s);
}

static void strike_servers(struct soak *soak, int kind)
{
	struct fleet_set *fleet = &soak->run->f;
	int servers = (int)arrlen(fleet->server) - 1, many = (int)between(soak, 1, (servers + 1) / 2);

	while (many--) { /* the last one is the store */
		struct server *s = fleet->server[between(soak, 0, servers - 1)];

		if (s->life == LIFE_UP && !s->fault.dark && s->fault.slow <= 0)
			strike_server(soak, s, kind);
	}
}

/* ---- the operator's connections, load and configurations ---- */

static int answers_come(struct soak *soak, void *subject)
{
	operator_lose(subject, 0);
	(void)soak;
	return 1;
}

static int load_falls(struct soak *soak, void *subject)
{
	struct run *run = subject;

	run->rate /= soak->burst;
	soak->burst = 0;
	return 1;
}

enum { OTHERS_LOSE, OTHERS_LOAD, OTHERS_CHANGE, OTHERS_KINDS };

static void strike_others(struct soak *soak, int kind)
{
	static const enum change changes[] = { CHANGE_SPLIT,    CHANGE_TIMEOUT, CHANGE_ROUTE_ON, CHANGE_PRIORITY,
					       CHANGE_ATTEMPTS, CHANGE_MOVE,    CHANGE_TENANT,   CHANGE_ROUTE_OFF };
	struct run *run = soak->run;
	int64_t ms = between(soak, 500, run->b.version);
	int more = (int)between(soak, 2, 3);

	if (kind == OTHERS_LOSE) {
		run_say(run, "soak: answers to namings are lost for %lld ms", (long long)ms);
		operator_lose(run->op, LOST_PERCENT / 100.0);
		lasts(soak, ms, answers_come, run->op);
	} else if (kind == OTHERS_LOAD && !soak->burst) {
		soak->burst = more;
		run_say(run, "soak: %d times the load for %lld ms", more, (long long)ms);
		run->rate *= more;
		lasts(soak, ms, load_falls, run);
	} else if (operator_idle(run->op)) {
		operator_change(run->op, changes[between(soak, 0, (int)(sizeof changes / sizeof *changes) - 1)],
				(int)between(soak, 0, 1));
	}
}

/* ---- series ---- */

static void lane_on(struct soak *soak, struct lane *lane)
{
	if (run_ms(soak->run) < lane->next)
		return;
	draw_anew(soak, lane->strike_seed, lane->strikes++);
	if (!lane->left) {
		lane->left = (int)between(soak, 1, lane->most);
		lane->series_gap = between(soak, lane->gap / 8, lane->gap);
	}
	if (one_in(soak, 2)) /* else the same again */
		lane->kind = (int)between(soak, 0, lane->kinds - 1);
	lane->strike(soak, lane->kind);
	lane->left--;
	lane->next = run_ms(soak->run) + (lane->left ? lane->series_gap : between(soak, lane->shortest_pause, lane->pause));
}

static void namings_on(struct soak *soak)
{
	int64_t now = run_ms(soak->run), longest = (soak->end - now) / 2;

	if (now < soak->next_naming)
		return;
	draw_anew(soak, soak->naming_seed, soak->naming_turn++);
	if (!soak->namings_left && one_in(soak, BURST_EVERY)) {
		soak->namings_left = BURST_NAMINGS_LEAST + (int)between(soak, 0, BURST_NAMINGS_MORE);
		soak->naming_gap = between(soak, NAMING_GAP_LEAST_MS, 2 * NAMING_GAP_LEAST_MS);
	} else if (!soak->namings_left) {
		soak->namings_left = (int)between(soak, 1, 4);
		soak->naming_gap = between(soak, NAMING_GAP_LEAST_MS, NAMING_GAP_MOST_MS);
		if (soak->naming_gap > longest)
			soak->naming_gap = longest;
	}
	name_weights(soak);
	soak->namings_left--;
	soak->next_naming = now + soak->naming_gap;
	if (!soak->namings_left)
		soak->next_naming += between(soak, 0, 2 * soak->run->b.version);
}

static void episodes_on(struct soak *soak, int all)
{
	for (int i = (int)arrlen(soak->under_way) - 1; i >= 0; i--) {
		struct episode e = soak->under_way[i];

		if ((all || run_ms(soak->run) >= e.ends) && e.over(soak, e.subject))
			arrdel(soak->under_way, i);
	}
}

/* ---- whether the machine bears it ---- */

/* How long a process has waited for a processor since it began, in nanoseconds; -1: not known. */
static long long waited_ns(int pid)
{
	long long waited = -1;
	char path[64], line[100];
	FILE *f;

	snprintf(path, sizeof path, "/proc/%d/schedstat", pid);
	f = fopen(path, "r");
	if (!f)
		return -1;
	if (fgets(line, sizeof line, f) && strchr(line, ' '))
		waited = strtoll(strchr(line, ' '), NULL, 10);
	fclose(f);
	return waited;
}

static void sample_waiting(struct soak *soak)
{
	struct run *run = soak->run;

	if (run_ms(run) < soak->next_sample)
		return;
	soak->next_sample = run_ms(run) + SAMPLE_MS;
	for (int i = 0; i < run->nm; i++) {
		int pid = run->m[i].pid;
		long long waited = pid ? waited_ns(pid) : -1, more = (waited - soak->sample[i].waited) / 1000000;

		if (waited >= 0 && pid == soak->sample[i].pid && more > run->waited_most)
			run->waited_most = more;
		soak->sample[i].pid = waited >= 0 ? pid : 0;
		soak->sample[i].waited = waited;
	}
}

/* ---- the run ---- */

static void go_on(struct soak *soak, int64_t until, int troubles)
{
	while (run_ms(soak->run) < until && !soak->run->missed) {
		episodes_on(soak, 0);
		sample_waiting(soak);
		if (troubles) {
			namings_on(soak);
			for (int i = 0; i < LANES; i++)
				lane_on(soak, &soak->lane[i]);
		}
		run_for(soak->run, STEP_MS);
	}
}

void soak_prepare(struct run *r)
{
	struct soak draw = { .run = r, .rng = stand_hash(r->seed, "soak sizes", 10) };
	int crowded = !r->small && !r->edges && r->seed % CROWDED_EVERY == 0;

	r->b.version = between(&draw, VERSION_LEAST_MS, VERSION_MOST_MS);
	r->b.contact = CONTACT_MS;
	r->b.drain = DRAIN_MS;
	r->b.lease = LEASE_MS;
	r->latest = LATEST_MS;
	if (crowded) {
		r->edges = CROWDED_ROUTERS;
		r->cores = CROWDED_CORE;
	} else if (!r->small) {
		r->edges = r->edges ? r->edges : (int)between(&draw, 4, 12);
		r->cores = (int)between(&draw, 3, 5);
	}
}

static void say_end(const struct soak *soak)
{
	struct run *run = soak->run;
	int in_use = 0;

	for (int i = 0; i < run->nm; i++)
		in_use += run->m[i].pid != 0;
	run_say(run, "the soak is over: VersionMs %lld, %d namings, %d troubles, %d of them beside others, %d processes at its end",
		(long long)run->b.version, soak->version - 1, soak->troubles, soak->overlaps, in_use);
}

void soak(struct run *r)
{
	int64_t start = run_ms(r), bound = r->b.version,
		length = r->length_s ? r->length_s * 1000
			 : r->small  ? SMALL_SOAK_MS
				     : SOAK_MS;
	struct soak soak = { .run = r, .rng = stand_hash(r->seed, "soak", 4), .version = 1 };

	soak.end = start + length;
	soak.lane[LANE_ROUTERS] = (struct lane){
		.strike = strike_routers, .kinds = ROUTERS_KINDS, .most = 4, .gap = 4000, .pause = bound, .shortest_pause = 200
	};
	soak.lane[LANE_CORE] = (struct lane){ .strike = strike_core,
					      .kinds = CORE_KINDS,
					      .most = 3,
					      .gap = 2000,
					      .pause = 4 * bound,
					      .shortest_pause = bound + 2 * r->b.contact };
	soak.lane[LANE_SERVERS] = (struct lane){
		.strike = strike_servers, .kinds = SERVER_KINDS, .most = 3, .gap = 3000, .pause = bound, .shortest_pause = 200
	};
	soak.lane[LANE_OTHERS] = (struct lane){
		.strike = strike_others, .kinds = OTHERS_KINDS, .most = 4, .gap = 2000, .pause = bound, .shortest_pause = 200
	};
	for (int i = 0; i < LANES; i++)
		soak.lane[i].next = start + (one_in(&soak, CALM_LANE_EVERY) ? length : between(&soak, 500, bound));
	for (int i = 0; i < LANES; i++)
		soak.lane[i].strike_seed = stand_rand(&soak.rng);
	soak.naming_seed = stand_rand(&soak.rng);
	soak.next_naming = start + between(&soak, 0, 2000);
	clients_probe(r->clients, 1);
	clients_long(r->clients, LONG_EVERY);
	r->f.e.load_ms = (int)(bound / LOAD_SHARE);
	go_on(&soak, soak.end, 1);
	for (int i = 0; i < arrlen(soak.under_way); i++)
		soak.under_way[i].ends = soak.end;
	go_on(&soak, soak.end + bound + CALM_CONTACTS * r->b.contact, 0); /* VERSION is judged on what the troubles left */
	say_end(&soak);
	arrfree(soak.under_way);
}

int invariant_lines(const struct run *r)
{
	char path[700], line[2000];
	int n = 0;

	for (int i = 0; i < r->nm; i++) {
		FILE *f;

		snprintf(path, sizeof path, "%s/%s.log", r->folder, r->m[i].name);
		f = fopen(path, "r");
		while (f && fgets(line, sizeof line, f))
			if (!strncmp(line, "invariant", 9) || strstr(line, ": invariant"))
				n++, printf("INVARIANT %s: %s", r->m[i].name, line);
		if (f)
			fclose(f);
	}
	return n;
}
