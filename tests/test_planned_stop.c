/* Planned stops of controllers (SIGTERM) under virtual time: what happens to the calls that were read and not yet answered,
 * how long routers are without a fresh configuration, and what a leaving leader tells those who still propose to it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "config_handover.h"
#include "ds.h"
#include "router_internal.h"
#include "sim.h"

enum {
	ROUTERS = 6,
	SERVERS = 3,
	TICK_MS = 25,
	STALL_MS = 400,
	SOON_MS = 1500,
	STEP_MS = 1,
	AFTER_STOP_MS = 4000,
	LEASE_GAP_MS = 200,  /* without a leader of the configuration */
	ANSWER_GAP_MS = 300, /* until a router has its next good answer */
	OLDEST_MS = 450      /* that a router's configuration becomes; 250 and the way without a stop */
};

#define SPEEDS ",\"weights\":\"w1\",\"prefill\":20,\"kv_bytes\":400,\"link\":100000"

static uint64_t number_from(const char *variable, uint64_t otherwise)
{
	const char *text = getenv(variable);

	return text ? strtoull(text, NULL, 10) : otherwise;
}

static uint64_t seeds_or(uint64_t n) { return number_from("NL_SEEDS", n); }
static uint64_t first_seed(void) { return number_from("NL_SEED", 1); }

static void intact(struct sim *s)
{
	if (s->bad[0])
		fail_msg("%s", s->bad);
}

static void pass(struct sim *s, int64_t ms)
{
	sim_run(s, ms, NULL);
	intact(s);
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
	print_message("%s: n %td, median %lld, p90 %lld, p99 %lld, most %lld ms\n", what, arrlen(v), (long long)percentile(v, 50),
		      (long long)percentile(v, 90), (long long)percentile(v, 99), (long long)percentile(v, 100));
}

struct gaps {
	int64_t *lease;  /* from the old leader's last leased moment to the new one's first */
	int64_t *answer; /* from the old leader's last leased moment to a router's first good answer behind it */
	int64_t *age;    /* the oldest that a router's configuration becomes */
};

/* The process ends once nothing needs it; what it said last has left by then. */
static void end_when_stopped(struct sim *s, int node)
{
	if (s->n[node].up && controller_stopped(s->n[node].r, sim_local(s, node)))
		sim_crash(s, node, 0);
}

/* The leader is told to stop while changes come in; each router is watched from then on. */
static void stop_the_leader(struct sim *s, struct gaps *gaps)
{
	int leader = sim_owner(s, SHARD_CONTROL);
	int64_t told_at = s->now, lost_at = told_at, led_at = 0, heard_at[ROUTERS] = { 0 }, age[ROUTERS] = { 0 };

	sim_stop(s, leader);
	while (s->now < told_at + AFTER_STOP_MS) {
		int now_leads;

		pass(s, STEP_MS);
		end_when_stopped(s, leader);
		now_leads = sim_owner(s, SHARD_CONTROL);
		if (now_leads == leader)
			lost_at = s->now;
		else if (now_leads >= 0 && !led_at)
			led_at = s->now;
		for (int i = 0; i < ROUTERS; i++) {
			const struct config_watch *watch = &s->n[SIM_REGS + i].c->f;
			int64_t fresh = watch->fresh - s->n[SIM_REGS + i].skew;

			if (s->now - fresh > age[i])
				age[i] = s->now - fresh;
			if (!heard_at[i] && now_leads != leader && fresh > lost_at)
				heard_at[i] = s->now;
		}
	}
	assert_true(led_at);
	arrput(gaps->lease, led_at - lost_at);
	for (int i = 0; i < ROUTERS; i++) {
		assert_true(heard_at[i]);
		arrput(gaps->answer, heard_at[i] - lost_at);
		arrput(gaps->age, age[i]);
	}
}

static void a_planned_stop_leaves_a_short_gap(void **state)
{
	struct gaps gaps = { 0 };

	(void)state;
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds_or(24); seed++) {
		struct sim s;

		sim_deploy(&s, seed, 3 + (int)(seed % 3), ROUTERS, SERVERS);
		s.delay = 1 + (int)(seed % 4);
		s.jitter = 2;
		s.disk_ms = seed % 5 == 1 ? 30 : 4;
		pass(&s, 3000 + (int64_t)(core_rand(&s.rng) % 500));
		stop_the_leader(&s, &gaps);
		sim_close(&s);
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

/* No successor can be elected: what the stopped leader holds is answered in time, though without a lease. */
static void a_held_request_is_answered_in_time(void **state)
{
	uint64_t held = 0;

	(void)state;
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds_or(6); seed++) {
		struct sim s;
		struct controller *stopped;
		uint64_t answers;
		int64_t end;
		int leader;

		sim_deploy(&s, seed, 3, ROUTERS, SERVERS);
		pass(&s, 2000);
		leader = sim_owner(&s, SHARD_CONTROL);
		stopped = s.n[leader].r;
		sim_stop(&s, leader);
		while (sim_owner(&s, SHARD_CONTROL) == leader)
			pass(&s, STEP_MS);
		for (int i = 0; i < 3; i++)
			if (i != leader)
				sim_crash(&s, i, 0);
		answers = s.by_body[NL__MSG__BODY_FOLLOW_REPLY];
		for (end = s.now + 2 * CONFIG_WATCH_EVERY; s.now < end;) {
			pass(&s, STEP_MS);
			for (ptrdiff_t i = 0; i < arrlen(stopped->held); i++)
				if (sim_local(&s, leader) > stopped->held[i].until + TICK_MS)
					fail_msg("seed %llu: a request is held for too long", (unsigned long long)seed);
			held += arrlenu(stopped->held);
		}
		assert_true(s.by_body[NL__MSG__BODY_FOLLOW_REPLY] > answers);
		sim_close(&s);
	}
	assert_true(held);
}

/* ---- what a leaving leader says to those who propose ------------------------------ */

static void stall_disks(struct sim *s, int leader, int64_t ms)
{
	for (int i = 0; i < 3; i++)
		if (i != leader)
			s->n[i].stall_until = s->now + ms;
}

/* A leader is to stop and may not yet, since an entry is not on the others' disks; a change that is passed on to it
 * meanwhile was surely not logged there, and it says so. If it said nothing, a refusal by its successor would have to be
 * held back: the copy that got no answer might still be accepted. */
static void a_leaving_leader_answers_proposals(void **state)
{
	static const char service
	    [] = "{\"set\":[{\"kind\":\"service\",\"name\":\"extra\"" SPEEDS "}]}",
     gone[] = "{\"del\":[{\"kind\":\"service\",\"name\":\"extra\"}]}",
     lane[] =
	    "{\"set\":[{\"kind\":\"lane\",\"name\":\"extra\",\"service\":\"extra\",\"split\":\"extra:1\",\"prio\":0,\"limit\":5}]}";

	(void)state;
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds_or(8); seed++) {
		struct sim s;
		uint64_t token;
		int64_t sent_at;
		int leader;

		sim_deploy(&s, seed, 3, 2, SERVERS);
		assert_true(sim_change(&s, service, 8000));
		pass(&s, 1000);
		leader = sim_owner(&s, SHARD_CONTROL);
		stall_disks(&s, leader, STALL_MS);
		sim_call(&s, leader, "POST", "/v1/change", gone);
		pass(&s, 20);
		sim_stop(&s, leader);
		pass(&s, 20);
		assert_int_equal(sim_owner(&s, SHARD_CONTROL), leader);
		token = sim_call(&s, (leader + 1) % 3, "POST", "/v1/change", lane); /* its service is still in the table */
		sent_at = s.now;
		while (!sim_answer(&s, token) && s.now < sent_at + 2 * CONTROLLER_CALL)
			pass(&s, STEP_MS);
		assert_non_null(sim_answer(&s, token));
		if (sim_answer(&s, token)->status != 400)
			fail_msg("seed %llu: %d after %lld ms", (unsigned long long)seed, sim_answer(&s, token)->status,
				 (long long)(s.now - sent_at));
		assert_true(s.now - sent_at < SOON_MS);
		sim_close(&s);
	}
}

/* A change that was passed on, and perhaps logged, by a controller that is told to stop when its leader is gone: it looks for
 * no other leader, so it says at once that the outcome is unknown. */
static void an_open_outcome_is_said_at_once(void **state)
{
	static const char change[] = "{\"set\":[{\"kind\":\"service\",\"name\":\"extra\"" SPEEDS "}]}";

	(void)state;
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds_or(8); seed++) {
		struct sim s;
		uint64_t token;
		int64_t told_at;
		int leader, node;

		sim_deploy(&s, seed, 3, 2, SERVERS);
		pass(&s, 1000);
		leader = sim_owner(&s, SHARD_CONTROL);
		node = (leader + 1) % 3;
		stall_disks(&s, leader, STALL_MS);
		token = sim_call(&s, node, "POST", "/v1/change", change);
		pass(&s, 20);
		sim_crash(&s, leader, 0);
		sim_crash(&s, (leader + 2) % 3, 0);
		sim_stop(&s, node);
		told_at = s.now;
		while (!sim_answer(&s, token) && s.now < told_at + 2 * CONTROLLER_CALL)
			pass(&s, STEP_MS);
		assert_non_null(sim_answer(&s, token));
		assert_int_equal(sim_answer(&s, token)->status, 504);
		if (s.now - told_at > CONFIG_WATCH_SILENT + TICK_MS)
			fail_msg("seed %llu: said %lld ms after the stop", (unsigned long long)seed, (long long)(s.now - told_at));
		assert_int_equal(operator_calls_open(s.n[node].r), 0);
		sim_close(&s);
	}
}

static int64_t answered_after(struct sim *s, uint64_t token, int64_t limit)
{
	int64_t from = s->now;

	while (!sim_answer(s, token) && s->now < from + limit)
		pass(s, STEP_MS);
	assert_non_null(sim_answer(s, token));
	return s->now - from;
}

/* Founding waits for seeds that do not answer; a stop ends it at once, in words. */
static void a_founding_ends_with_the_stop(void **state)
{
	uint64_t seeds[3] = { core_addr("127.0.1.1:7000"), core_addr("127.0.1.2:7000"), core_addr("127.0.1.3:7000") };
	struct sim s;
	uint64_t token;

	(void)state;
	sim_open(&s, first_seed());
	sim_registrar(&s, "z1", seeds, 3);
	token = sim_call(&s, 0, "POST", "/v1/found", "{}");
	pass(&s, 500);
	assert_null(sim_answer(&s, token));
	sim_stop(&s, 0);
	assert_true(answered_after(&s, token, 12000) <= TICK_MS);
	assert_int_equal(sim_answer(&s, token)->status, 503);
	assert_true(controller_stopped(s.n[0].r, sim_local(&s, 0)));
	sim_close(&s);
}

/* Once seeds may have begun, the outcome of a founding is open, and they are still told of each other. */
static void a_founding_that_has_begun_is_unknown(void **state)
{
	uint64_t seeds[3] = { core_addr("127.0.1.1:7000"), core_addr("127.0.1.2:7000"), core_addr("127.0.1.3:7000") };

	(void)state;
	for (int hang_up = 0; hang_up < 2; hang_up++) {
		struct sim s;
		uint64_t token;

		sim_open(&s, first_seed());
		for (int i = 0; i < 3; i++)
			sim_registrar(&s, "z1", seeds, 3);
		token = sim_call(&s, 0, "POST", "/v1/found", "{}");
		while (!s.n[0].r->found.members) { /* the first message that names them is lost */
			s.loss = s.n[0].r->found.id[1] && s.n[0].r->found.id[2] ? 1000 : 0;
			pass(&s, STEP_MS);
		}
		s.loss = 0;
		if (hang_up)
			sim_hang_up(&s, 0, token);
		sim_stop(&s, 0);
		pass(&s, STEP_MS);
		assert_non_null(sim_answer(&s, token)); /* to whoever is there */
		assert_int_equal(sim_answer(&s, token)->status, 504);
		assert_int_equal(operator_calls_open(s.n[0].r), 0);
		pass(&s, 3000);
		for (int i = 0; i < 3; i++)
			assert_true(s.n[i].r->fleet && s.n[i].r->fleet == s.n[0].r->fleet);
		sim_close(&s);
	}
}

/* A controller that is to stop begins no call, and is not done before those that it has read are answered. */
static void a_stop_waits_for_calls_and_begins_none(void **state)
{
	static const char change[] = "{\"set\":[{\"kind\":\"service\",\"name\":\"extra\"" SPEEDS "}]}";
	int waited = 0;

	(void)state;
	for (uint64_t seed = first_seed(); seed < first_seed() + seeds_or(8); seed++) {
		struct sim s;
		uint64_t before, after;
		int node;

		sim_deploy(&s, seed, 4, 2, SERVERS);
		s.delay = 40;
		pass(&s, 1500);
		node = (sim_owner(&s, SHARD_CONTROL) + 1 + (int)(seed % 3)) % 4;
		before = sim_call(&s, node, "POST", "/v1/change", change);
		pass(&s, 20);
		sim_stop(&s, node);
		pass(&s, 1);
		after = sim_call(&s, node, "GET", "/v1/table", "");
		assert_true(answered_after(&s, after, 100) <= 1);
		assert_int_equal(sim_answer(&s, after)->status, 503);
		assert_true(sim_answer(&s, after)->retry_ms > 0);
		while (!controller_stopped(s.n[node].r, sim_local(&s, node))) {
			waited += !sim_answer(&s, before);
			pass(&s, STEP_MS);
		}
		assert_non_null(sim_answer(&s, before));
		assert_int_equal(sim_answer(&s, before)->status, 200);
		sim_close(&s);
	}
	assert_true(waited);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_held_request_is_answered_in_time),   cmocka_unit_test(a_leaving_leader_answers_proposals),
		cmocka_unit_test(an_open_outcome_is_said_at_once),      cmocka_unit_test(a_founding_ends_with_the_stop),
		cmocka_unit_test(a_founding_that_has_begun_is_unknown), cmocka_unit_test(a_stop_waits_for_calls_and_begins_none),
		cmocka_unit_test(a_planned_stop_leaves_a_short_gap),
	};
	int rc;

	apr_initialize();
	cmocka_set_test_filter(getenv("NL_TEST"));
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
