/* VERSION: no request begins on weights that were superseded longer ago than the bound. Whole fleets on the
 * simulator, in which one server refuses to load while newer weights are named; judged from outside, by what
 * begins where and when. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "containers.h"
#include "sim_forward.h"

enum {
	CONTROLLERS = 4,
	ROUTERS = 3,
	SERVERS = 6,
	STUCK = 0,             /* the server that refuses to load */
	POOL = 0,              /* the service whose weights are named */
	ROLL_MS = 12000,       /* the bound */
	LOAD_MS = 900,         /* of one load; ROLL_MS / 10 where capacity is measured */
	REQUEST_MS = 10,       /* between callers */
	BUSY_REQUEST_MS = 6,   /* the same where they keep most of the servers' places busy */
	SETTLE_MS = 2000,      /* of load before the first target version */
	DRAIN_MS = 6500,       /* after which every request has its end */
	BEYOND_MS = 4000,      /* past a bound: for how long late beginnings are looked for */
	SAMPLE_MS = 100,       /* between looks at the servers' weights */
	MANY_SERVERS = 36,     /* of a fleet whose roll-out takes much of the bound */
	FLEET_SERVERS = 18,    /* of a fleet whose capacity is measured */
	FREEZE_FROM_MS = 2300, /* before the bound: from when on routers are frozen over a send, */
	FREEZE_UPTO_MS = 1500, /* and when they are at the latest, if none is decided on any more */
	TARGETS_MS = 30000     /* for which target versions follow each other */
};

static uint64_t seeds(uint64_t n)
{
	const char *e = getenv("NL_SEEDS");

	return e ? strtoull(e, NULL, 10) : n;
}

static void go(struct sim_forward *forwarding, int64_t ms)
{
	if (!sim_forward_run(forwarding, ms))
		fail_msg("seed %llu: %s", (unsigned long long)forwarding->sim.seed,
			 forwarding->sim.violation);
}

static void go_until(struct sim_forward *forwarding, int64_t at)
{
	if (at > forwarding->sim.now)
		go(forwarding, at - forwarding->sim.now);
}

/* Name weights for the pool; the moment of the acknowledgement. */
static int64_t name(struct sim_forward *forwarding, int weights)
{
	if (!sim_forward_set_target(forwarding, POOL, weights))
		fail_msg("seed %llu: weights %d are not acknowledged: %s",
			 (unsigned long long)forwarding->sim.seed, weights, forwarding->sim.violation);
	return arrlast(forwarding->target_weights).acked_at;
}

static int weights_of(const struct sim_instance *server)
{
	return (int)strtol(server->weights, NULL, 10);
}

static void bounds(struct sim_forward *forwarding)
{
	forwarding->sim.bounds.rollout_ms = ROLL_MS;
	forwarding->sim.instance_list.load_ms = LOAD_MS;
}

/* The fleet of the test that runs; a test that fails leaves it to the teardown. */
static struct sim_forward fleet;
static int fleet_is_open;

static struct sim_forward *open_fleet(uint64_t seed, int servers, void (*before)(struct sim_forward *))
{
	sim_forward_open(&fleet, seed, CONTROLLERS, ROUTERS, servers, before);
	fleet_is_open = 1;
	return &fleet;
}

static void close_fleet(struct sim_forward *forwarding)
{
	fleet_is_open = 0;
	sim_forward_close(forwarding);
}

static int teardown(void **st)
{
	(void)st;
	if (fleet_is_open)
		close_fleet(&fleet);
	return 0;
}

/* A loaded fleet in which one server keeps the weights that it began with. */
static struct sim_forward *open_stuck(uint64_t seed)
{
	struct sim_forward *forwarding = open_fleet(seed, SERVERS, bounds);

	forwarding->sim.instance_list.instances[STUCK].refuses_loads = 1;
	forwarding->request_interval_ms = REQUEST_MS;
	go(forwarding, SETTLE_MS);
	return forwarding;
}

/* How many requests began at a server in a span of time. */
static int begun_at(const struct sim_forward *forwarding, int server, int64_t from, int64_t upto)
{
	int n = 0;

	for (ptrdiff_t i = 0; i < arrlen(forwarding->calls); i++)
		n += forwarding->calls[i].server == server && forwarding->calls[i].began_at > from &&
		     forwarding->calls[i].began_at <= upto;
	return n;
}

/* Every request ends, and the stuck server still has its first weights. It was in use while it might be. */
static void close_stuck(struct sim_forward *forwarding)
{
	int64_t first = forwarding->target_weights[0].acked_at;

	assert_true(begun_at(forwarding, STUCK, first, first + ROLL_MS / 2) > 0);
	forwarding->request_interval_ms = 0;
	go(forwarding, DRAIN_MS);
	assert_int_equal(weights_of(&forwarding->sim.instance_list.instances[STUCK]), 1);
	if (!sim_forward_end(forwarding))
		fail_msg("seed %llu: %s", (unsigned long long)forwarding->sim.seed,
			 forwarding->sim.violation);
	close_fleet(forwarding);
}

static void restart(struct sim_forward *f, int node)
{
	sim_crash(&f->sim, node, 0);
	sim_start(&f->sim, node);
}

/* ---- what routers know of target versions ------------------------------------------------------------ */

/* Two target versions a second, 30 of them: the oldest is not forgotten over the newer ones. */
static void many_target_versions_within_the_bound(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(3); seed++) {
		struct sim_forward *forwarding = open_stuck(seed);
		int64_t first;

		first = name(forwarding, 2);
		for (int weights = 3; weights < 32; weights++) {
			go(forwarding, 500);
			name(forwarding, weights);
		}
		go_until(forwarding, first + ROLL_MS + BEYOND_MS);
		close_stuck(forwarding);
	}
}

/* A router is killed and begins when most of the bound is over: it has what is left of it, however it comes
 * to know. */
static void a_router_begins_late_in_a_roll_out(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(8); seed++) {
		struct sim_forward *forwarding = open_stuck(seed);
		int64_t first;

		first = name(forwarding, 2);
		go_until(forwarding, first + ROLL_MS * 6 / 10 + (int64_t)(seed % 4) * 500);
		restart(forwarding, SIM_CONTROLLERS);
		go_until(forwarding, first + ROLL_MS + BEYOND_MS);
		close_stuck(forwarding);
	}
}

/* A router begins right after a second target version: what it finds named is the second, what is due is the
 * first.
 */
static void a_router_begins_between_two_target_versions(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(8); seed++) {
		struct sim_forward *forwarding = open_stuck(seed);
		int64_t first;

		first = name(forwarding, 2);
		go_until(forwarding, first + ROLL_MS * 6 / 10 + (int64_t)(seed % 4) * 900);
		name(forwarding, 3);
		restart(forwarding, SIM_CONTROLLERS);
		go_until(forwarding, first + ROLL_MS + BEYOND_MS);
		close_stuck(forwarding);
	}
}

/* A router is cut off, or frozen, over two target versions and hears of both at once: the first one's date
 * counts. */
static void a_router_skips_a_target_version(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(8); seed++) {
		struct sim_forward *forwarding = open_stuck(seed);
		int64_t first;
		int frozen = (int)(seed % 2);

		if (frozen)
			sim_freeze(&forwarding->sim, SIM_CONTROLLERS, 1);
		else
			sim_set_partition(&forwarding->sim, SIM_CONTROLLERS, 2);
		first = name(forwarding, 2);
		go_until(forwarding, first + ROLL_MS / 2);
		name(forwarding, 3);
		go(forwarding, 200);
		if (frozen)
			sim_freeze(&forwarding->sim, SIM_CONTROLLERS, 0);
		else
			sim_set_partition(&forwarding->sim, SIM_CONTROLLERS, 0);
		go_until(forwarding, first + ROLL_MS + BEYOND_MS);
		close_stuck(forwarding);
	}
}

/* Answers with the configuration are long on their way to one router, longer than older weights end early. */
static void a_target_version_is_received_late(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(4); seed++) {
		struct sim_forward *forwarding = open_stuck(seed);
		int64_t first;

		forwarding->sim.nodes[SIM_CONTROLLERS].extra_delay_ms = 2100;
		go(forwarding, 4000);
		first = name(forwarding, 2);
		go_until(forwarding, first + ROLL_MS + BEYOND_MS);
		forwarding->sim.nodes[SIM_CONTROLLERS].extra_delay_ms = 0;
		close_stuck(forwarding);
	}
}

/* ---- what waits, and what stands still ------------------------------------------------------- */

/* Shortly before the bound servers become much slower than routers reckon: what waits at the one with old
 * weights begins in time or not there. */
static void what_waits_at_a_slow_server_does_not_begin_late(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(4); seed++) {
		struct sim_forward *forwarding = open_stuck(seed);
		int64_t first;

		for (ptrdiff_t i = 0; i < arrlen(forwarding->servers); i++)
			forwarding->servers[i].queue_ms = 400;
		first = name(forwarding, 2);
		go_until(forwarding, first + ROLL_MS - 3500);
		for (ptrdiff_t i = 0; i < arrlen(forwarding->servers); i++)
			forwarding->servers[i].queue_ms = 6 * 400;
		go_until(forwarding, first + ROLL_MS + BEYOND_MS);
		close_stuck(forwarding);
	}
}

/* Whether a send to the stuck server has been decided on and has not left its router. */
static int send_is_pending(const struct sim_forward *forwarding)
{
	for (ptrdiff_t i = 0; i < arrlen(forwarding->calls); i++) {
		const struct sim_forward_call *call = &forwarding->calls[i];

		if (!call->is_watch && !call->ended && call->server < 0 &&
		    !strcmp(call->name, forwarding->sim.instance_list.instances[STUCK].name))
			return 1;
	}
	return 0;
}

/* Routers decide, stand still before a request leaves, and go on past the bound. They are not in touch then,
 * so the checker says nothing; all the same nothing that was decided on earlier leaves for the old weights.
 */
static void a_frozen_router_sends_nothing_after_the_bound(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(6); seed++) {
		struct sim_forward *forwarding = open_stuck(seed);
		int64_t first;

		forwarding->request_interval_ms = 2;
		first = name(forwarding, 2);
		go_until(forwarding, first + ROLL_MS - FREEZE_FROM_MS);
		while (!send_is_pending(forwarding) && forwarding->sim.now < first + ROLL_MS - FREEZE_UPTO_MS)
			go(forwarding, 1);
		for (int node = SIM_CONTROLLERS; node < SIM_CONTROLLERS + ROUTERS; node++)
			sim_freeze(&forwarding->sim, node, 1);
		go_until(forwarding, first + ROLL_MS + 50);
		for (int node = SIM_CONTROLLERS; node < SIM_CONTROLLERS + ROUTERS; node++)
			sim_freeze(&forwarding->sim, node, 0);
		go_until(forwarding, first + ROLL_MS + BEYOND_MS);
		if (begun_at(forwarding, STUCK, first + ROLL_MS, forwarding->sim.now))
			fail_msg("seed %llu: %d requests begin on weights 1 past the bound of weights 2",
				 (unsigned long long)seed,
				 begun_at(forwarding, STUCK, first + ROLL_MS, forwarding->sim.now));
		close_stuck(forwarding);
	}
}

/* ---- the roll-out ------------------------------------------------------------------------------ */

static void many_servers(struct sim_forward *forwarding)
{
	bounds(forwarding);
	forwarding->sim.instance_list.load_ms = ROLL_MS / 10;
	forwarding->sim.instance_list.full_speed_loads = 12;
}

static void few_at_once(struct sim_forward *forwarding)
{
	bounds(forwarding);
	forwarding->sim.instance_list.load_ms = ROLL_MS / 10;
	forwarding->sim.instance_list.slots = 3;
}

static int in_pool(const struct sim_instance *instance)
{
	return instance->up && instance->service[0] == 'p';
}

/* Servers of the pool with weights older than some; all of them. */
static int older_servers(const struct sim_forward *forwarding, int weights, int *all)
{
	int older = 0;

	*all = 0;
	for (ptrdiff_t i = 0; i < arrlen(forwarding->sim.instance_list.instances); i++) {
		const struct sim_instance *instance = &forwarding->sim.instance_list.instances[i];

		*all += in_pool(instance);
		older += in_pool(instance) && weights_of(instance) < weights;
	}
	return older;
}

static void expect_rolled(struct sim_forward *forwarding, int weights)
{
	int all, older = older_servers(forwarding, weights, &all);

	if (older)
		fail_msg("seed %llu: %d of %d servers are older than weights %d at their bound",
			 (unsigned long long)forwarding->sim.seed, older, all, weights);
}

/* Controllers fall during a roll-out, before a second target version or without one; all come back at once,
 * or a leader later. The first target version's bound holds, for servers and routers. */
static void controllers_fall(uint64_t seed, int64_t fall_ms, int everyone, int named_again)
{
	struct sim_forward *forwarding = open_fleet(seed, MANY_SERVERS, many_servers);
	int64_t first;
	int leader;

	forwarding->request_interval_ms = REQUEST_MS;
	go(forwarding, SETTLE_MS);
	first = name(forwarding, 2);
	go_until(forwarding, first + fall_ms);
	leader = sim_leader(&forwarding->sim, SHARD_CONTROL);
	for (int node = 0; node < CONTROLLERS; node++)
		if (everyone)
			restart(forwarding, node);
		else if (node == leader)
			sim_crash(&forwarding->sim, node, 0);
	if (named_again)
		name(forwarding, 3);
	go_until(forwarding, first + ROLL_MS);
	expect_rolled(forwarding, 2);
	if (!everyone)
		sim_start(&forwarding->sim, leader);
	go(forwarding, BEYOND_MS);
	forwarding->request_interval_ms = 0;
	go(forwarding, DRAIN_MS);
	if (!sim_forward_end(forwarding))
		fail_msg("seed %llu: %s", (unsigned long long)seed, forwarding->sim.violation);
	close_fleet(forwarding);
}

/* The leader dies between two target versions; another one finishes the roll-out by the bound of the first.
 */
static void a_leader_dies_during_a_roll_out(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(3); seed++)
		controllers_fall(seed, 2500, 0, 1);
}

/* The leader dies in a roll-out of one target version: whoever takes over goes on by its date. */
static void a_leader_dies_after_one_target_version(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(3); seed++)
		controllers_fall(seed, 4000, 0, 0);
}

/* All controllers are restarted at once between two target versions. */
static void all_controllers_restart_during_a_roll_out(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(3); seed++)
		controllers_fall(seed, 2500, 1, 1);
}

/* All controllers stand still until shortly before the bound: whoever leads then tells all servers that are
 * left at once, as they serve nobody any more, rather than so many at a time. */
static void all_remaining_servers_are_commanded_at_the_last(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(3); seed++) {
		struct sim_forward *forwarding = open_fleet(seed, MANY_SERVERS, many_servers);
		int64_t notified_from = 0, notified_upto = 0;
		int all, older = 0;

		go(forwarding, SETTLE_MS);
		name(forwarding, 2);
		for (int node = 0; node < CONTROLLERS; node++)
			sim_freeze(&forwarding->sim, node, 1);
		go(forwarding, ROLL_MS - 2000);
		for (int node = 0; node < CONTROLLERS; node++)
			sim_freeze(&forwarding->sim, node, 0);
		do {
			int before = older;

			go(forwarding, SAMPLE_MS);
			older = older_servers(forwarding, 2, &all);
			if (older < before && !notified_from)
				notified_from = forwarding->sim.now;
			if (older < before)
				notified_upto = forwarding->sim.now;
		} while (older && forwarding->sim.now < forwarding->target_weights[0].acked_at + 3 * ROLL_MS);
		assert_int_equal(older, 0);
		if (notified_upto - notified_from >=
		    2 * forwarding->sim.instance_list.load_ms) /* so many at once load half as fast */
			fail_msg(
			    "seed %llu: %lld ms between the first and the last server that has the weights",
			    (unsigned long long)seed, (long long)(notified_upto - notified_from));
		close_fleet(forwarding);
	}
}

/* The weights that servers must have at this moment: the newest that were acknowledged a bound ago. */
static int due_weights(const struct sim_forward *forwarding)
{
	int weights = 1;

	for (ptrdiff_t i = 0; i < arrlen(forwarding->target_weights); i++)
		if (forwarding->target_weights[i].acked_at <
			forwarding->sim.now - forwarding->sim.bounds.rollout_ms &&
		    forwarding->target_weights[i].weights > weights)
			weights = forwarding->target_weights[i].weights;
	return weights;
}

struct span {
	double share;         /* of requests served whole */
	int worst, all;       /* servers behind at the worst moment, of how many */
	int64_t behind_since; /* when first more than a third of them were behind, after the first target
				 version; -1: never */
};

/* A calm fleet for a while, with a new target version every so many ms; 0: none. */
static struct span play_targets(uint64_t seed, int64_t every_ms)
{
	struct sim_forward *forwarding = open_fleet(seed, FLEET_SERVERS, few_at_once);
	struct span span = { 0, 0, 0, -1 };
	int64_t begin, next;
	int weights = 2, complete = 0;

	forwarding->request_interval_ms = BUSY_REQUEST_MS;
	go(forwarding, SETTLE_MS);
	for (begin = next = forwarding->sim.now; forwarding->sim.now < begin + TARGETS_MS;
	     go(forwarding, SAMPLE_MS)) {
		int behind;

		if (every_ms && forwarding->sim.now >= next) {
			name(forwarding, weights++);
			next += every_ms;
		}
		behind = older_servers(forwarding, due_weights(forwarding), &span.all);
		span.worst = behind > span.worst ? behind : span.worst;
		if (behind * 3 > span.all && span.behind_since < 0)
			span.behind_since = forwarding->sim.now - begin;
	}
	forwarding->request_interval_ms = 0;
	go(forwarding, DRAIN_MS);
	for (ptrdiff_t i = 0; i < arrlen(forwarding->requests); i++)
		complete += forwarding->requests[i].outcome == SIM_FORWARD_COMPLETE;
	span.share = (double)complete / (double)arrlen(forwarding->requests);
	if (!sim_forward_end(forwarding))
		fail_msg("seed %llu: %s", (unsigned long long)seed, forwarding->sim.violation);
	close_fleet(forwarding);
	return span;
}

/* A new target version every 1 to 3 s, and no fault: nothing begins late, no more than a third of the servers
 * may not be sent to, and nearly as much is served as without target versions. */
static void target_versions_every_few_seconds_leave_no_server_behind(void **state)
{
	int failed = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= seeds(3); seed++) {
		int64_t every_ms = (int64_t)(seed % 3 + 1) * 1000;
		struct span calm = play_targets(seed, 0), named = play_targets(seed, every_ms);

		print_message(
		    "seed %llu, a naming every %lld ms: at worst %d of %d servers behind (more than a third from %lld ms), "
		    "served %.3f, without namings %.3f\n",
		    (unsigned long long)seed, (long long)every_ms, named.worst, named.all,
		    (long long)named.behind_since, named.share, calm.share);
		failed += named.worst * 3 > named.all || named.share < 0.8 * calm.share;
	}
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_teardown(many_target_versions_within_the_bound, teardown),
		cmocka_unit_test_teardown(a_router_begins_late_in_a_roll_out, teardown),
		cmocka_unit_test_teardown(a_router_begins_between_two_target_versions, teardown),
		cmocka_unit_test_teardown(a_router_skips_a_target_version, teardown),
		cmocka_unit_test_teardown(a_target_version_is_received_late, teardown),
		cmocka_unit_test_teardown(what_waits_at_a_slow_server_does_not_begin_late, teardown),
		cmocka_unit_test_teardown(a_frozen_router_sends_nothing_after_the_bound, teardown),
		cmocka_unit_test_teardown(a_leader_dies_during_a_roll_out, teardown),
		cmocka_unit_test_teardown(a_leader_dies_after_one_target_version, teardown),
		cmocka_unit_test_teardown(all_controllers_restart_during_a_roll_out, teardown),
		cmocka_unit_test_teardown(all_remaining_servers_are_commanded_at_the_last, teardown),
		cmocka_unit_test_teardown(target_versions_every_few_seconds_leave_no_server_behind, teardown),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
