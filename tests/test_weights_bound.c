/* VERSION: no request begins on weights that were superseded longer ago than the bound. Whole fleets on the simulator, in which
 * one server refuses to load while newer weights are named; judged from outside, by what begins where and when. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "ds.h"
#include "sim_forward.h"

enum {
	CONTROLLERS = 4,
	ROUTERS = 3,
	SERVERS = 6,
	STUCK = 0,             /* the server that refuses to load */
	POOL = 0,              /* the service whose weights are named */
	ROLL_MS = 12000,       /* the bound */
	LOAD_MS = 900,         /* of one load; ROLL_MS / 10 where capacity is measured */
	ASK_MS = 10,           /* between callers */
	BUSY_ASK_MS = 6,       /* the same where they keep most of the servers' places busy */
	SETTLE_MS = 2000,      /* of load before the first naming */
	DRAIN_MS = 6500,       /* after which every request has its end */
	BEYOND_MS = 4000,      /* past a bound: for how long late beginnings are looked for */
	SAMPLE_MS = 100,       /* between looks at the servers' weights */
	MANY_SERVERS = 36,     /* of a fleet whose roll-out takes much of the bound */
	FLEET_SERVERS = 18,    /* of a fleet whose capacity is measured */
	FREEZE_FROM_MS = 2300, /* before the bound: from when on routers are frozen over a send, */
	FREEZE_UPTO_MS = 1500, /* and when they are at the latest, if none is decided on any more */
	NAMINGS_MS = 30000     /* for which namings follow each other */
};

static uint64_t seeds(uint64_t n)
{
	const char *e = getenv("NL_SEEDS");

	return e ? strtoull(e, NULL, 10) : n;
}

static void go(struct fw *f, int64_t ms)
{
	if (!fw_run(f, ms))
		fail_msg("seed %llu: %s", (unsigned long long)f->s.seed, f->s.bad);
}

static void go_until(struct fw *f, int64_t at)
{
	if (at > f->s.now)
		go(f, at - f->s.now);
}

/* Name weights for the pool; the moment of the acknowledgement. */
static int64_t name(struct fw *f, int weights)
{
	if (!fw_name(f, POOL, weights))
		fail_msg("seed %llu: weights %d are not acknowledged: %s", (unsigned long long)f->s.seed, weights, f->s.bad);
	return arrlast(f->named).ack;
}

static int weights_of(const struct sim_inst *server) { return (int)strtol(server->weights, NULL, 10); }

static void bounds(struct fw *f)
{
	f->s.b.roll_ms = ROLL_MS;
	f->s.list.load_ms = LOAD_MS;
}

/* The fleet of the test that runs; a test that fails leaves it to the teardown. */
static struct fw fleet;
static int fleet_is_open;

static struct fw *open_fleet(uint64_t seed, int servers, void (*before)(struct fw *))
{
	fw_open(&fleet, seed, CONTROLLERS, ROUTERS, servers, before);
	fleet_is_open = 1;
	return &fleet;
}

static void close_fleet(struct fw *f)
{
	fleet_is_open = 0;
	fw_close(f);
}

static int teardown(void **st)
{
	(void)st;
	if (fleet_is_open)
		close_fleet(&fleet);
	return 0;
}

/* A loaded fleet in which one server keeps the weights that it began with. */
static struct fw *open_stuck(uint64_t seed)
{
	struct fw *f = open_fleet(seed, SERVERS, bounds);

	f->s.list.v[STUCK].refuses = 1;
	f->every = ASK_MS;
	go(f, SETTLE_MS);
	return f;
}

/* How many requests began at a server in a span of time. */
static int begun_at(const struct fw *f, int server, int64_t from, int64_t upto)
{
	int n = 0;

	for (ptrdiff_t i = 0; i < arrlen(f->call); i++)
		n += f->call[i].server == server && f->call[i].began_at > from && f->call[i].began_at <= upto;
	return n;
}

/* Every request ends, and the stuck server still has its first weights. It was in use while it might be. */
static void close_stuck(struct fw *f)
{
	int64_t first = f->named[0].ack;

	assert_true(begun_at(f, STUCK, first, first + ROLL_MS / 2) > 0);
	f->every = 0;
	go(f, DRAIN_MS);
	assert_int_equal(weights_of(&f->s.list.v[STUCK]), 1);
	if (!fw_end(f))
		fail_msg("seed %llu: %s", (unsigned long long)f->s.seed, f->s.bad);
	close_fleet(f);
}

static void restart(struct fw *f, int node)
{
	sim_crash(&f->s, node, 0);
	sim_start(&f->s, node);
}

/* ---- what routers know of namings ------------------------------------------------------------ */

/* Two namings a second, 30 of them: the oldest is not forgotten over the newer ones. */
static void many_namings_within_the_bound(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= seeds(3); seed++) {
		struct fw *f = open_stuck(seed);
		int64_t first;

		first = name(f, 2);
		for (int weights = 3; weights < 32; weights++) {
			go(f, 500);
			name(f, weights);
		}
		go_until(f, first + ROLL_MS + BEYOND_MS);
		close_stuck(f);
	}
}

/* A router is killed and begins when most of the bound is over: it has what is left of it, however it comes to know. */
static void a_router_begins_late_in_a_roll_out(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= seeds(8); seed++) {
		struct fw *f = open_stuck(seed);
		int64_t first;

		first = name(f, 2);
		go_until(f, first + ROLL_MS * 6 / 10 + (int64_t)(seed % 4) * 500);
		restart(f, SIM_REGS);
		go_until(f, first + ROLL_MS + BEYOND_MS);
		close_stuck(f);
	}
}

/* A router begins right after a second naming: what it finds named is the second, what is due is the first. */
static void a_router_begins_between_two_namings(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= seeds(8); seed++) {
		struct fw *f = open_stuck(seed);
		int64_t first;

		first = name(f, 2);
		go_until(f, first + ROLL_MS * 6 / 10 + (int64_t)(seed % 4) * 900);
		name(f, 3);
		restart(f, SIM_REGS);
		go_until(f, first + ROLL_MS + BEYOND_MS);
		close_stuck(f);
	}
}

/* A router is cut off, or frozen, over two namings and hears of both at once: the first one's date counts. */
static void a_router_passes_over_a_naming(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= seeds(8); seed++) {
		struct fw *f = open_stuck(seed);
		int64_t first;
		int frozen = (int)(seed % 2);

		if (frozen)
			sim_freeze(&f->s, SIM_REGS, 1);
		else
			sim_cut(&f->s, SIM_REGS, 2);
		first = name(f, 2);
		go_until(f, first + ROLL_MS / 2);
		name(f, 3);
		go(f, 200);
		if (frozen)
			sim_freeze(&f->s, SIM_REGS, 0);
		else
			sim_cut(&f->s, SIM_REGS, 0);
		go_until(f, first + ROLL_MS + BEYOND_MS);
		close_stuck(f);
	}
}

/* Answers with the configuration are long on their way to one router, longer than older weights end early. */
static void a_naming_is_heard_late(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= seeds(4); seed++) {
		struct fw *f = open_stuck(seed);
		int64_t first;

		f->s.n[SIM_REGS].slow_ms = 2100;
		go(f, 4000);
		first = name(f, 2);
		go_until(f, first + ROLL_MS + BEYOND_MS);
		f->s.n[SIM_REGS].slow_ms = 0;
		close_stuck(f);
	}
}

/* ---- what waits, and what stands still ------------------------------------------------------- */

/* Shortly before the bound servers become much slower than routers reckon: what waits at the one with old weights begins in
 * time or not there. */
static void what_waits_at_a_slow_server_does_not_begin_late(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= seeds(4); seed++) {
		struct fw *f = open_stuck(seed);
		int64_t first;

		for (ptrdiff_t i = 0; i < arrlen(f->v); i++)
			f->v[i].queue_ms = 400;
		first = name(f, 2);
		go_until(f, first + ROLL_MS - 3500);
		for (ptrdiff_t i = 0; i < arrlen(f->v); i++)
			f->v[i].queue_ms = 6 * 400;
		go_until(f, first + ROLL_MS + BEYOND_MS);
		close_stuck(f);
	}
}

/* Whether a send to the stuck server has been decided on and has not left its router. */
static int send_is_pending(const struct fw *f)
{
	for (ptrdiff_t i = 0; i < arrlen(f->call); i++) {
		const struct fw_call *call = &f->call[i];

		if (!call->watch && !call->over && call->server < 0 && !strcmp(call->name, f->s.list.v[STUCK].name))
			return 1;
	}
	return 0;
}

/* Routers decide, stand still before a request leaves, and go on past the bound. They are not in touch then, so the judge says
 * nothing; all the same nothing that was decided on earlier leaves for the old weights. */
static void a_frozen_router_sends_nothing_after_the_bound(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= seeds(6); seed++) {
		struct fw *f = open_stuck(seed);
		int64_t first;

		f->every = 2;
		first = name(f, 2);
		go_until(f, first + ROLL_MS - FREEZE_FROM_MS);
		while (!send_is_pending(f) && f->s.now < first + ROLL_MS - FREEZE_UPTO_MS)
			go(f, 1);
		for (int node = SIM_REGS; node < SIM_REGS + ROUTERS; node++)
			sim_freeze(&f->s, node, 1);
		go_until(f, first + ROLL_MS + 50);
		for (int node = SIM_REGS; node < SIM_REGS + ROUTERS; node++)
			sim_freeze(&f->s, node, 0);
		go_until(f, first + ROLL_MS + BEYOND_MS);
		if (begun_at(f, STUCK, first + ROLL_MS, f->s.now))
			fail_msg("seed %llu: %d requests begin on weights 1 past the bound of weights 2", (unsigned long long)seed,
				 begun_at(f, STUCK, first + ROLL_MS, f->s.now));
		close_stuck(f);
	}
}

/* ---- the roll-out ------------------------------------------------------------------------------ */

static void many_servers(struct fw *f)
{
	bounds(f);
	f->s.list.load_ms = ROLL_MS / 10;
	f->s.list.at_once = 12;
}

static void few_at_once(struct fw *f)
{
	bounds(f);
	f->s.list.load_ms = ROLL_MS / 10;
	f->s.list.slots = 3;
}

static int in_pool(const struct sim_inst *v) { return v->up && v->service[0] == 'p'; }

/* Servers of the pool with weights older than some; all of them. */
static int older_servers(const struct fw *f, int weights, int *all)
{
	int older = 0;

	*all = 0;
	for (ptrdiff_t i = 0; i < arrlen(f->s.list.v); i++) {
		const struct sim_inst *v = &f->s.list.v[i];

		*all += in_pool(v);
		older += in_pool(v) && weights_of(v) < weights;
	}
	return older;
}

static void expect_rolled(struct fw *f, int weights)
{
	int all, older = older_servers(f, weights, &all);

	if (older)
		fail_msg("seed %llu: %d of %d servers are older than weights %d at their bound", (unsigned long long)f->s.seed,
			 older, all, weights);
}

/* Controllers fall during a roll-out, before a second naming or without one; all come back at once, or a leader later. The first
 * naming's bound holds, for servers and routers. */
static void controllers_fall(uint64_t seed, int64_t fall_ms, int everyone, int named_again)
{
	struct fw *f = open_fleet(seed, MANY_SERVERS, many_servers);
	int64_t first;
	int leader;

	f->every = ASK_MS;
	go(f, SETTLE_MS);
	first = name(f, 2);
	go_until(f, first + fall_ms);
	leader = sim_owner(&f->s, SHARD_CONTROL);
	for (int node = 0; node < CONTROLLERS; node++)
		if (everyone)
			restart(f, node);
		else if (node == leader)
			sim_crash(&f->s, node, 0);
	if (named_again)
		name(f, 3);
	go_until(f, first + ROLL_MS);
	expect_rolled(f, 2);
	if (!everyone)
		sim_start(&f->s, leader);
	go(f, BEYOND_MS);
	f->every = 0;
	go(f, DRAIN_MS);
	if (!fw_end(f))
		fail_msg("seed %llu: %s", (unsigned long long)seed, f->s.bad);
	close_fleet(f);
}

/* The leader dies between two namings; another one finishes the roll-out by the bound of the first. */
static void a_leader_dies_during_a_roll_out(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= seeds(3); seed++)
		controllers_fall(seed, 2500, 0, 1);
}

/* The leader dies in a roll-out of one naming: whoever takes over goes on by its date. */
static void a_leader_dies_after_one_naming(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= seeds(3); seed++)
		controllers_fall(seed, 4000, 0, 0);
}

/* All controllers are restarted at once between two namings. */
static void all_controllers_restart_during_a_roll_out(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= seeds(3); seed++)
		controllers_fall(seed, 2500, 1, 1);
}

/* All controllers stand still until shortly before the bound: whoever leads then tells all servers that are left at once, as they serve nobody
 * any more, rather than so many at a time. */
static void all_that_are_left_are_told_at_the_last(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= seeds(3); seed++) {
		struct fw *f = open_fleet(seed, MANY_SERVERS, many_servers);
		int64_t told_from = 0, told_upto = 0;
		int all, older = 0;

		go(f, SETTLE_MS);
		name(f, 2);
		for (int node = 0; node < CONTROLLERS; node++)
			sim_freeze(&f->s, node, 1);
		go(f, ROLL_MS - 2000);
		for (int node = 0; node < CONTROLLERS; node++)
			sim_freeze(&f->s, node, 0);
		do {
			int before = older;

			go(f, SAMPLE_MS);
			older = older_servers(f, 2, &all);
			if (older < before && !told_from)
				told_from = f->s.now;
			if (older < before)
				told_upto = f->s.now;
		} while (older && f->s.now < f->named[0].ack + 3 * ROLL_MS);
		assert_int_equal(older, 0);
		if (told_upto - told_from >= 2 * f->s.list.load_ms) /* so many at once load half as fast */
			fail_msg("seed %llu: %lld ms between the first and the last server that has the weights",
				 (unsigned long long)seed, (long long)(told_upto - told_from));
		close_fleet(f);
	}
}

/* The weights that servers must have at this moment: the newest that were acknowledged a bound ago. */
static int due_weights(const struct fw *f)
{
	int weights = 1;

	for (ptrdiff_t i = 0; i < arrlen(f->named); i++)
		if (f->named[i].ack < f->s.now - f->s.b.roll_ms && f->named[i].weights > weights)
			weights = f->named[i].weights;
	return weights;
}

struct span {
	double share;         /* of requests served whole */
	int worst, all;       /* servers behind at the worst moment, of how many */
	int64_t behind_since; /* when first more than a third of them were behind, after the first naming; -1: never */
};

/* A calm fleet for a while, with a naming every so many ms; 0: none. */
static struct span play_namings(uint64_t seed, int64_t every_ms)
{
	struct fw *f = open_fleet(seed, FLEET_SERVERS, few_at_once);
	struct span span = { 0, 0, 0, -1 };
	int64_t begin, next;
	int weights = 2, whole = 0;

	f->every = BUSY_ASK_MS;
	go(f, SETTLE_MS);
	for (begin = next = f->s.now; f->s.now < begin + NAMINGS_MS; go(f, SAMPLE_MS)) {
		int behind;

		if (every_ms && f->s.now >= next) {
			name(f, weights++);
			next += every_ms;
		}
		behind = older_servers(f, due_weights(f), &span.all);
		span.worst = behind > span.worst ? behind : span.worst;
		if (behind * 3 > span.all && span.behind_since < 0)
			span.behind_since = f->s.now - begin;
	}
	f->every = 0;
	go(f, DRAIN_MS);
	for (ptrdiff_t i = 0; i < arrlen(f->req); i++)
		whole += f->req[i].told == FW_WHOLE;
	span.share = (double)whole / (double)arrlen(f->req);
	if (!fw_end(f))
		fail_msg("seed %llu: %s", (unsigned long long)seed, f->s.bad);
	close_fleet(f);
	return span;
}

/* A naming every 1 to 3 s, and no trouble: nothing begins late, no more than a third of the servers may not be sent to, and
 * nearly as much is served as without namings. */
static void namings_every_few_seconds_leave_no_server_behind(void **st)
{
	int failed = 0;

	(void)st;
	for (uint64_t seed = 1; seed <= seeds(3); seed++) {
		int64_t every_ms = (int64_t)(seed % 3 + 1) * 1000;
		struct span calm = play_namings(seed, 0), named = play_namings(seed, every_ms);

		print_message(
		    "seed %llu, a naming every %lld ms: at worst %d of %d servers behind (more than a third from %lld ms), "
		    "served %.3f, without namings %.3f\n",
		    (unsigned long long)seed, (long long)every_ms, named.worst, named.all, (long long)named.behind_since,
		    named.share, calm.share);
		failed += named.worst * 3 > named.all || named.share < 0.8 * calm.share;
	}
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(many_namings_within_the_bound, teardown),
		cmocka_unit_test_teardown(a_router_begins_late_in_a_roll_out, teardown),
		cmocka_unit_test_teardown(a_router_begins_between_two_namings, teardown),
		cmocka_unit_test_teardown(a_router_passes_over_a_naming, teardown),
		cmocka_unit_test_teardown(a_naming_is_heard_late, teardown),
		cmocka_unit_test_teardown(what_waits_at_a_slow_server_does_not_begin_late, teardown),
		cmocka_unit_test_teardown(a_frozen_router_sends_nothing_after_the_bound, teardown),
		cmocka_unit_test_teardown(a_leader_dies_during_a_roll_out, teardown),
		cmocka_unit_test_teardown(a_leader_dies_after_one_naming, teardown),
		cmocka_unit_test_teardown(all_controllers_restart_during_a_roll_out, teardown),
		cmocka_unit_test_teardown(all_that_are_left_are_told_at_the_last, teardown),
		cmocka_unit_test_teardown(namings_every_few_seconds_leave_no_server_behind, teardown),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
