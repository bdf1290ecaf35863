/* Planned stops of controllers (SIGTERM) under virtual time: what happens to the calls that were read and not
 * yet answered, how long routers are without a fresh configuration, and what a leaving leader tells those who
 * still propose to it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "config_handover.h"
#include "containers.h"
#include "router_internal.h"
#include "sim.h"

enum {
	ROUTERS = 6,
	SERVERS = 3,
	TICK_MS = 25,
	STALL_MS = 400,
	RETRY_FAST_MS = 1500,
	STEP_MS = 1,
	AFTER_STOP_MS = 4000,
	LEASE_GAP_MS = 200,      /* without a leader of the configuration */
	ANSWER_GAP_MS = 300,     /* until a router has its next good answer */
	OLDEST_PURGES_MS = 1200, /* that a router's knowledge of purges becomes */
	OLDEST_MS = 450          /* that a router's configuration becomes; 250 and the way without a stop */
};

#define SPEEDS ",\"weights\":\"w1\",\"prefill\":20,\"kv_bytes\":400,\"link\":100000"

static uint64_t number_from(const char *variable, uint64_t otherwise)
{
	const char *text = getenv(variable);

	return text ? strtoull(text, NULL, 10) : otherwise;
}

static uint64_t seeds_or(uint64_t n)
{
	return number_from("NL_SEEDS", n);
}
static uint64_t first_seed(void)
{
	return number_from("NL_SEED", 1);
}

static void intact(struct sim *sim)
{
	if (sim->violation[0])
		fail_msg("%s", sim->violation);
}

static void pass(struct sim *sim, int64_t ms)
{
	sim_run(sim, ms, NULL);
	intact(sim);
}

/* ---- how long a planned stop leaves routers without a leader --------------------- */

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t percentile(int64_t *v, int percent)
{
	ptrdiff_t n = arrlen(v);

	return n ? v[(n - 1) * percent / 100] : 0;
}

static void print_times(const char *what, int64_t *v)
{
	if (v)
		qsort(v, arrlenu(v), sizeof *v, compare);
	print_message("%s: n %td, median %lld, p90 %lld, p99 %lld, most %lld ms\n", what, arrlen(v),
		      (long long)percentile(v, 50), (long long)percentile(v, 90),
		      (long long)percentile(v, 99), (long long)percentile(v, 100));
}

struct gaps {
	int64_t *lease; /* from the old leader's last leased moment to the new one's first */
	int64_t
	    *answer;  /* from the old leader's last leased moment to a router's first good answer behind it */
	int64_t *age; /* the oldest that a router's configuration becomes */
};

/* The process ends once nothing needs it; what it said last has left by then. */
static void end_when_stopped(struct sim *sim, int node)
{
	if (sim->nodes[node].up &&
	    controller_may_stop(sim->nodes[node].controller, sim_local_clock(sim, node)))
		sim_crash(sim, node, 0);
}

/* The leader is told to stop while changes come in; each router is watched from then on. */
static void stop_the_leader(struct sim *sim, struct gaps *gaps)
{
	int leader = sim_leader(sim, SHARD_CONTROL);
	int64_t answered_at = sim->now, lost_at = answered_at, led_at = 0, received_at[ROUTERS] = { 0 },
		age[ROUTERS] = { 0 };

	sim_stop(sim, leader);
	while (sim->now < answered_at + AFTER_STOP_MS) {
		int now_leads;

		pass(sim, STEP_MS);
		end_when_stopped(sim, leader);
		now_leads = sim_leader(sim, SHARD_CONTROL);
		if (now_leads == leader)
			lost_at = sim->now;
		else if (now_leads >= 0 && !led_at)
			led_at = sim->now;
		for (int i = 0; i < ROUTERS; i++) {
			const struct config_watch *watch =
			    &sim->nodes[SIM_CONTROLLERS + i].router->config.watch;
			int64_t fresh =
			    watch->confirmed_at_ms - sim->nodes[SIM_CONTROLLERS + i].clock_skew_ms;

			if (sim->now - fresh > age[i])
				age[i] = sim->now - fresh;
			if (!received_at[i] && now_leads != leader && fresh > lost_at)
				received_at[i] = sim->now;
		}
	}
	assert_true(led_at);
	arrput(gaps->lease, led_at - lost_at);
	for (int i = 0; i < ROUTERS; i++) {
		assert_true(received_at[i]);
		arrput(gaps->answer, received_at[i] - lost_at);
		arrput(gaps->age, age[i]);
	}
}

static void a_planned_stop_leaves_a_short_gap(void **state)
{
	struct gaps gaps = { 0 };

	(void)state;
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds_or(24); seed++) {
		struct sim sim;

		sim_deploy(&sim, seed, 3 + (int)(seed % 3), ROUTERS, SERVERS);
		sim.delay_ms = 1 + (int)(seed % 4);
		sim.jitter_ms = 2;
		sim.disk_ms = seed % 5 == 1 ? 30 : 4;
		pass(&sim, 3000 + (int64_t)(core_random(&sim.rng) % 500));
		stop_the_leader(&sim, &gaps);
		sim_close(&sim);
	}
	print_times("without a lease", gaps.lease);
	print_times("until a router's next good answer", gaps.answer);
	print_times("oldest configuration of a router", gaps.age);
	assert_true(percentile(gaps.lease, 100) <= LEASE_GAP_MS);
	assert_true(percentile(gaps.answer, 100) <= ANSWER_GAP_MS);
	assert_true(percentile(gaps.age, 100) <= OLDEST_MS);
	arrfree(gaps.lease);
	arrfree(gaps.answer);
	arrfree(gaps.age);
}

/* ---- how old routers' knowledge of purges becomes ---------------------------------- */

/* The publisher is told to stop; the oldest that each router's knowledge becomes is added to ages. */
static void stop_the_publisher(struct sim *sim, int64_t **ages)
{
	int publisher = sim_leader(sim, SHARD_PURGE);
	int64_t end = sim->now + AFTER_STOP_MS, age[ROUTERS] = { 0 };

	sim_stop(sim, publisher);
	while (sim->now < end) {
		pass(sim, STEP_MS);
		end_when_stopped(sim, publisher);
		for (int i = 0; i < ROUTERS; i++) {
			int node = SIM_CONTROLLERS + i;
			int64_t known = sim->nodes[node].router->relay.known_at_ms;

			if (sim_local_clock(sim, node) - known > age[i])
				age[i] = sim_local_clock(sim, node) - known;
		}
	}
	for (int i = 0; i < ROUTERS; i++)
		arrput(*ages, age[i]);
}

/* Past PURGE_MAX_STALENESS_MS a router reuses no cached context: a planned stop must not come near. */
static void a_planned_stop_of_the_publisher_keeps_purges_fresh(void **state)
{
	int64_t *ages = NULL;

	(void)state;
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds_or(24); seed++) {
		struct sim sim;

		sim_deploy(&sim, seed, 3 + (int)(seed % 3), ROUTERS, SERVERS);
		sim.delay_ms = 1 + (int)(seed % 4);
		sim.jitter_ms = 2;
		sim.disk_ms = seed % 5 == 1 ? 30 : 4;
		pass(&sim, 3000 + (int64_t)(core_random(&sim.rng) % 500));
		stop_the_publisher(&sim, &ages);
		sim_close(&sim);
	}
	print_times("oldest knowledge of purges of a router", ages);
	assert_true(percentile(ages, 100) <= OLDEST_PURGES_MS);
	arrfree(ages);
}

/* No successor can be elected: what the stopped leader holds is answered in time, though without a lease. */
static void a_pending_request_is_answered_in_time(void **state)
{
	uint64_t held = 0;

	(void)state;
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds_or(6); seed++) {
		struct sim sim;
		struct controller *stopped;
		uint64_t answers;
		int64_t end;
		int leader;

		sim_deploy(&sim, seed, 3, ROUTERS, SERVERS);
		pass(&sim, 2000);
		leader = sim_leader(&sim, SHARD_CONTROL);
		stopped = sim.nodes[leader].controller;
		sim_stop(&sim, leader);
		while (sim_leader(&sim, SHARD_CONTROL) == leader)
			pass(&sim, STEP_MS);
		for (int i = 0; i < 3; i++)
			if (i != leader)
				sim_crash(&sim, i, 0);
		answers = sim.messages_by_body[NL__MSG__BODY_CONFIG_SYNC_REPLY];
		for (end = sim.now + 2 * CONFIG_WATCH_POLL_MS; sim.now < end;) {
			pass(&sim, STEP_MS);
			for (ptrdiff_t i = 0; i < arrlen(stopped->handover.deferred); i++)
				if (sim_local_clock(&sim, leader) >
				    stopped->handover.deferred[i].deadline_at_ms + TICK_MS)
					fail_msg("seed %llu: a request is held for too long",
						 (unsigned long long)seed);
			held += arrlenu(stopped->handover.deferred);
		}
		assert_true(sim.messages_by_body[NL__MSG__BODY_CONFIG_SYNC_REPLY] > answers);
		sim_close(&sim);
	}
	assert_true(held);
}

/* ---- what a leaving leader says to those who propose ------------------------------ */

static void stall_disks(struct sim *sim, int leader, int64_t ms)
{
	for (int i = 0; i < 3; i++)
		if (i != leader)
			sim->nodes[i].disk_stalled_until = sim->now + ms;
}

/* A leader is to stop and may not yet, since an entry is not on the others' disks; a change that is passed on
 * to it meanwhile was surely not logged there, and it says so. If it said nothing, a refusal by its successor
 * would have to be held back: the copy that got no answer might still be accepted. */
static void a_leaving_leader_answers_proposals(void **state)
{
	static const char service
	    [] = "{\"set\":[{\"kind\":\"service\",\"name\":\"extra\"" SPEEDS "}]}",
     gone[] = "{\"del\":[{\"kind\":\"service\",\"name\":\"extra\"}]}",
     route[] =
	    "{\"set\":[{\"kind\":\"lane\",\"name\":\"extra\",\"service\":\"extra\",\"split\":\"extra:1\",\"prio\":0,\"limit\":5}]}";

	(void)state;
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds_or(8); seed++) {
		struct sim sim;
		uint64_t token;
		int64_t sent_at;
		int leader;

		sim_deploy(&sim, seed, 3, 2, SERVERS);
		assert_true(sim_change(&sim, service, 8000));
		pass(&sim, 1000);
		leader = sim_leader(&sim, SHARD_CONTROL);
		stall_disks(&sim, leader, STALL_MS);
		sim_call(&sim, leader, "POST", "/v1/change", gone);
		pass(&sim, 20);
		sim_stop(&sim, leader);
		pass(&sim, 20);
		assert_int_equal(sim_leader(&sim, SHARD_CONTROL), leader);
		token = sim_call(&sim, (leader + 1) % 3, "POST", "/v1/change",
				 route); /* its service is still in the table */
		sent_at = sim.now;
		while (!sim_answer(&sim, token) && sim.now < sent_at + 2 * CONTROLLER_CALL_TIMEOUT_MS)
			pass(&sim, STEP_MS);
		assert_non_null(sim_answer(&sim, token));
		if (sim_answer(&sim, token)->status != 400)
			fail_msg("seed %llu: %d after %lld ms", (unsigned long long)seed,
				 sim_answer(&sim, token)->status, (long long)(sim.now - sent_at));
		assert_true(sim.now - sent_at < RETRY_FAST_MS);
		sim_close(&sim);
	}
}

/* A change that was passed on, and perhaps logged, by a controller that is told to stop when its leader is
 * gone: it looks for no other leader, so it says at once that the outcome is unknown. */
static void an_open_outcome_is_said_at_once(void **state)
{
	static const char change[] = "{\"set\":[{\"kind\":\"service\",\"name\":\"extra\"" SPEEDS "}]}";

	(void)state;
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds_or(8); seed++) {
		struct sim sim;
		uint64_t token;
		int64_t answered_at;
		int leader, node;

		sim_deploy(&sim, seed, 3, 2, SERVERS);
		pass(&sim, 1000);
		leader = sim_leader(&sim, SHARD_CONTROL);
		node = (leader + 1) % 3;
		stall_disks(&sim, leader, STALL_MS);
		token = sim_call(&sim, node, "POST", "/v1/change", change);
		pass(&sim, 20);
		sim_crash(&sim, leader, 0);
		sim_crash(&sim, (leader + 2) % 3, 0);
		sim_stop(&sim, node);
		answered_at = sim.now;
		while (!sim_answer(&sim, token) && sim.now < answered_at + 2 * CONTROLLER_CALL_TIMEOUT_MS)
			pass(&sim, STEP_MS);
		assert_non_null(sim_answer(&sim, token));
		assert_int_equal(sim_answer(&sim, token)->status, 504);
		if (sim.now - answered_at > CONFIG_WATCH_LEADER_TIMEOUT_MS + TICK_MS)
			fail_msg("seed %llu: said %lld ms after the stop", (unsigned long long)seed,
				 (long long)(sim.now - answered_at));
		assert_int_equal(operator_calls_open_count(sim.nodes[node].controller), 0);
		sim_close(&sim);
	}
}

static int64_t answered_after(struct sim *sim, uint64_t token, int64_t limit)
{
	int64_t from = sim->now;

	while (!sim_answer(sim, token) && sim->now < from + limit)
		pass(sim, STEP_MS);
	assert_non_null(sim_answer(sim, token));
	return sim->now - from;
}

/* Bootstrap waits for seeds that do not answer; a stop ends it at once, in words. */
static void a_bootstrap_ends_with_the_stop(void **state)
{
	uint64_t seeds[3] = { core_parse_addr("127.0.1.1:7000"), core_parse_addr("127.0.1.2:7000"),
			      core_parse_addr("127.0.1.3:7000") };
	struct sim sim;
	uint64_t token;

	(void)state;
	sim_open(&sim, first_seed());
	sim_add_controller(&sim, "z1", seeds, 3);
	token = sim_call(&sim, 0, "POST", "/v1/found", "{}");
	pass(&sim, 500);
	assert_null(sim_answer(&sim, token));
	sim_stop(&sim, 0);
	assert_true(answered_after(&sim, token, 12000) <= TICK_MS);
	assert_int_equal(sim_answer(&sim, token)->status, 503);
	assert_true(controller_may_stop(sim.nodes[0].controller, sim_local_clock(&sim, 0)));
	sim_close(&sim);
}

/* Once seeds may have begun, the outcome of a bootstrap is open, and they are still told of each other. */
static void a_bootstrap_that_has_begun_is_unknown(void **state)
{
	uint64_t seeds[3] = { core_parse_addr("127.0.1.1:7000"), core_parse_addr("127.0.1.2:7000"),
			      core_parse_addr("127.0.1.3:7000") };

	(void)state;
	for (int hang_up = 0; hang_up < 2; hang_up++) {
		struct sim sim;
		uint64_t token;

		sim_open(&sim, first_seed());
		for (int i = 0; i < 3; i++)
			sim_add_controller(&sim, "z1", seeds, 3);
		token = sim_call(&sim, 0, "POST", "/v1/found", "{}");
		while (!sim.nodes[0]
			    .controller->bootstrap.members) { /* the first message that names them is lost */
			sim.loss_per_mille = sim.nodes[0].controller->bootstrap.seeds[1].id &&
						     sim.nodes[0].controller->bootstrap.seeds[2].id
						 ? 1000
						 : 0;
			pass(&sim, STEP_MS);
		}
		sim.loss_per_mille = 0;
		if (hang_up)
			sim_operator_disconnect(&sim, 0, token);
		sim_stop(&sim, 0);
		pass(&sim, STEP_MS);
		assert_non_null(sim_answer(&sim, token)); /* to whoever is there */
		assert_int_equal(sim_answer(&sim, token)->status, 504);
		assert_int_equal(operator_calls_open_count(sim.nodes[0].controller), 0);
		pass(&sim, 3000);
		for (int i = 0; i < 3; i++)
			assert_true(sim.nodes[i].controller->identity.fleet_id &&
				    sim.nodes[i].controller->identity.fleet_id ==
					sim.nodes[0].controller->identity.fleet_id);
		sim_close(&sim);
	}
}

/* A controller that is to stop begins no call, and is not done before those that it has read are answered. */
static void a_stop_waits_for_calls_and_begins_none(void **state)
{
	static const char change[] = "{\"set\":[{\"kind\":\"service\",\"name\":\"extra\"" SPEEDS "}]}";
	int waited = 0;

	(void)state;
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds_or(8); seed++) {
		struct sim sim;
		uint64_t before, after;
		int node;

		sim_deploy(&sim, seed, 4, 2, SERVERS);
		sim.delay_ms = 40;
		pass(&sim, 1500);
		node = (sim_leader(&sim, SHARD_CONTROL) + 1 + (int)(seed % 3)) % 4;
		before = sim_call(&sim, node, "POST", "/v1/change", change);
		pass(&sim, 20);
		sim_stop(&sim, node);
		pass(&sim, 1);
		after = sim_call(&sim, node, "GET", "/v1/table", "");
		assert_true(answered_after(&sim, after, 100) <= 1);
		assert_int_equal(sim_answer(&sim, after)->status, 503);
		assert_true(sim_answer(&sim, after)->retry_ms > 0);
		while (!controller_may_stop(sim.nodes[node].controller, sim_local_clock(&sim, node))) {
			waited += !sim_answer(&sim, before);
			pass(&sim, STEP_MS);
		}
		assert_non_null(sim_answer(&sim, before));
		assert_int_equal(sim_answer(&sim, before)->status, 200);
		sim_close(&sim);
	}
	assert_true(waited);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_pending_request_is_answered_in_time),
		cmocka_unit_test(a_leaving_leader_answers_proposals),
		cmocka_unit_test(an_open_outcome_is_said_at_once),
		cmocka_unit_test(a_bootstrap_ends_with_the_stop),
		cmocka_unit_test(a_bootstrap_that_has_begun_is_unknown),
		cmocka_unit_test(a_stop_waits_for_calls_and_begins_none),
		cmocka_unit_test(a_planned_stop_leaves_a_short_gap),
		cmocka_unit_test(a_planned_stop_of_the_publisher_keeps_purges_fresh),
	};
	int rc;

	apr_initialize();
	cmocka_set_test_filter(getenv("NL_TEST"));
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
