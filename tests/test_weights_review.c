/* Review of the dates of namings (incident 17): what was found to fail. Whole fleets on the simulator, single routers, and the
 * parts by themselves. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>

#include "config_watch.h"
#include "ds.h"
#include "naming.h"
#include "sim_forward.h"
#include "solo.h"

enum {
	CONTROLLERS = 4,
	ROUTERS = 3,
	FLEET_SERVERS = 18,
	STUCK = 0,
	POOL = 0,
	ROLL_MS = 12000,
	LOAD_MS = 900,
	LONG_LOAD_MS = 2900, /* under a quarter of the bound; longer than a leader is missing */
	SLOW_LOAD_MS = 4200, /* over a quarter of the bound */
	SETTLE_MS = 2000,
	SAMPLE_MS = 20,
	DRAIN_MS = 6500
};

static struct fw fleet;
static int fleet_is_open;

static struct fw *open_fleet(uint64_t seed, void (*before)(struct fw *))
{
	fw_open(&fleet, seed, CONTROLLERS, ROUTERS, FLEET_SERVERS, before);
	fleet_is_open = 1;
	return &fleet;
}

static int teardown(void **st)
{
	(void)st;
	if (fleet_is_open)
		fw_close(&fleet);
	fleet_is_open = 0;
	return 0;
}

static void go(struct fw *f, int64_t ms)
{
	if (!fw_run(f, ms))
		fail_msg("seed %llu: %s", (unsigned long long)f->s.seed, f->s.bad);
}

static int64_t name(struct fw *f, int weights)
{
	if (!fw_name(f, POOL, weights))
		fail_msg("seed %llu: weights %d are not acknowledged: %s", (unsigned long long)f->s.seed, weights, f->s.bad);
	return arrlast(f->named).ack;
}

static void bounds(struct fw *f)
{
	f->s.b.roll_ms = ROLL_MS;
	f->s.list.load_ms = LOAD_MS;
	f->s.list.at_once = 64;
}

static void slow_loads(struct fw *f)
{
	bounds(f);
	f->s.list.load_ms = SLOW_LOAD_MS;
}

static int in_pool(const struct sim_inst *v) { return v->up && v->service[0] == 'p'; }

static int pool_servers(const struct fw *f)
{
	int n = 0;

	for (ptrdiff_t i = 0; i < arrlen(f->s.list.v); i++)
		n += in_pool(&f->s.list.v[i]);
	return n;
}

/* The most servers of the pool that load at one moment of a roll-out. */
static int most_loading(struct fw *f, int64_t upto)
{
	int most = 0;

	while (f->s.now < upto) {
		int n = 0;

		go(f, SAMPLE_MS);
		for (ptrdiff_t i = 0; i < arrlen(f->s.list.v); i++)
			n += in_pool(&f->s.list.v[i]) && f->s.list.v[i].loading[0];
		most = n > most ? n : most;
	}
	return most;
}

static int most_in_second_naming(uint64_t seed, int refuses)
{
	struct fw *f = open_fleet(seed, bounds);
	int64_t named;
	int most;

	f->every = 10;
	f->s.list.v[STUCK].refuses = refuses;
	go(f, SETTLE_MS);
	named = name(f, 2);
	go(f, named + 2 * ROLL_MS - f->s.now);
	named = name(f, 3);
	most = most_loading(f, named + ROLL_MS);
	teardown(NULL);
	return most;
}

/* One server refuses to load and is past its bound: a calm roll-out of the next weights tells no more of the others at once
 * than it does without that server. */
static void a_refusing_server_does_not_hurry_the_others(void **st)
{
	int failed = 0;

	(void)st;
	for (uint64_t seed = 1; seed <= 3; seed++) {
		int calm = most_in_second_naming(seed, 0), refusing = most_in_second_naming(seed, 1);

		print_message("seed %llu: at most %d servers load at once; with one that refuses %d\n", (unsigned long long)seed,
			      calm, refusing);
		failed += refusing > calm + 1;
	}
	assert_int_equal(failed, 0);
}

/* Loads take over a quarter of the bound, and nothing else is wrong. */
static void slow_loads_hold_their_places(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= 3; seed++) {
		struct fw *f = open_fleet(seed, slow_loads);
		int all, most;

		go(f, SETTLE_MS);
		all = pool_servers(f);
		most = most_loading(f, name(f, 2) + 2 * ROLL_MS);
		print_message("seed %llu: at most %d of %d servers load at once\n", (unsigned long long)seed, most, all);
		assert_true(most * 3 <= all * 2);
		teardown(NULL);
	}
}

static void long_loads(struct fw *f)
{
	bounds(f);
	f->s.list.load_ms = LONG_LOAD_MS;
}

/* The most servers that load at once while the first ones of a roll-out do, in which the leader may die while servers load. */
static int most_over_a_leaders_death(uint64_t seed, int dies)
{
	struct fw *f = open_fleet(seed, long_loads);
	int64_t named;
	int before, after;

	go(f, SETTLE_MS);
	named = name(f, 2);
	before = most_loading(f, named + 500 + (int64_t)seed * 150);
	if (dies)
		sim_crash(&f->s, sim_owner(&f->s, SHARD_CONTROL), 0);
	after = most_loading(f, named + LONG_LOAD_MS);
	teardown(NULL);
	return before > after ? before : after;
}

/* Whoever takes over counts the loads of the leader before among those that go on at once. */
static void loads_that_are_taken_over_hold_their_places(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= 6; seed++) {
		int calm = most_over_a_leaders_death(seed, 0), died = most_over_a_leaders_death(seed, 1);

		print_message("seed %llu: at most %d servers load at once, %d if the leader dies\n", (unsigned long long)seed, calm,
			      died);
		assert_true(died <= calm);
	}
}

static void busy_fleet(struct fw *f)
{
	bounds(f);
	f->s.list.load_ms = ROLL_MS / 10;
	f->s.list.at_once = 3;
	f->s.list.slots = 3;
}

/* The share of requests that is served whole in the roll-out of a second naming; one server may refuse, or be off with its
 * address still on the list. */
static double served_in_second_naming(uint64_t seed, int refuses)
{
	struct fw *f = open_fleet(seed, busy_fleet);
	ptrdiff_t from;
	int64_t named;
	int whole = 0, all;

	f->s.list.v[STUCK].refuses = refuses;
	go(f, SETTLE_MS);
	named = name(f, 2);
	go(f, named + 2 * ROLL_MS - f->s.now);
	f->every = 6;
	go(f, SETTLE_MS);
	from = arrlen(f->req);
	named = name(f, 3);
	go(f, ROLL_MS / 2);
	f->every = 0;
	all = (int)(arrlen(f->req) - from);
	go(f, DRAIN_MS);
	for (ptrdiff_t i = from; i < from + all; i++)
		whole += f->req[i].told == FW_WHOLE;
	teardown(NULL);
	return (double)whole / all;
}

static void a_refusing_server_costs_no_capacity_of_others(void **st)
{
	int failed = 0;

	(void)st;
	for (uint64_t seed = 1; seed <= 3; seed++) {
		double calm = served_in_second_naming(seed, 0), refusing = served_in_second_naming(seed, 1);

		print_message(
		    "seed %llu: served %.3f in a calm roll-out, %.3f with one server that refuses and is past its bound\n",
		    (unsigned long long)seed, calm, refusing);
		failed += refusing < 0.95 * calm;
	}
	assert_int_equal(failed, 0);
}

/* As what_waits_at_a_slow_server_does_not_begin_late, at a server that does not drop a request when its connection closes ("most
 * do", as the protocol of the deployments has it). */
static void what_was_taken_back_does_not_begin_late(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct fw *f = open_fleet(seed, bounds);
		int64_t named;

		f->s.list.v[STUCK].refuses = 1;
		f->every = 10;
		go(f, SETTLE_MS);
		f->v[STUCK].keeps = 1;
		for (ptrdiff_t i = 0; i < arrlen(f->v); i++)
			f->v[i].queue_ms = 400;
		named = name(f, 2);
		go(f, named + ROLL_MS - 3500 - f->s.now);
		for (ptrdiff_t i = 0; i < arrlen(f->v); i++)
			f->v[i].queue_ms = 6 * 400;
		go(f, named + ROLL_MS + 4000 - f->s.now);
		teardown(NULL);
	}
}

/* Some servers refuse; the others get two namings, 3 s apart, within the bound of each, and both models are rolled out. */
static void healthy_servers_are_not_starved(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct fw *f = open_fleet(seed, busy_fleet);
		int64_t first;
		int behind[2] = { 0, 0 };

		f->every = 10;
		for (ptrdiff_t i = 0; i < arrlen(f->s.list.v); i++)
			f->s.list.v[i].refuses = i % 3 == (ptrdiff_t)(seed % 3);
		go(f, SETTLE_MS);
		first = name(f, 2);
		assert_true(fw_name(f, 1, 2));
		go(f, 3000);
		name(f, 3);
		assert_true(fw_name(f, 1, 3));
		for (int weights = 2; weights <= 3; weights++) {
			go(f, first + ROLL_MS + (weights - 2) * 3000 - f->s.now);
			for (ptrdiff_t i = 0; i < arrlen(f->s.list.v); i++) {
				const struct sim_inst *v = &f->s.list.v[i];

				behind[weights - 2] += v->up && !v->refuses && v->service[0] != 's' && atoi(v->weights) < weights;
			}
		}
		print_message("seed %llu: %d and %d healthy servers are behind at the bounds of weights 2 and 3\n",
			      (unsigned long long)seed, behind[0], behind[1]);
		assert_int_equal(behind[0] + behind[1], 0);
		f->every = 0;
		go(f, DRAIN_MS);
		if (!fw_end(f))
			fail_msg("seed %llu: %s", (unsigned long long)seed, f->s.bad);
		teardown(NULL);
	}
}

/* ---- restarts ---------------------------------------------------------------------------------- */

enum { IDLE_MS = 60000, CONTACT_MS = 4000 };

static void stuck_fleet(struct fw *f)
{
	bounds(f);
	f->s.list.at_once = 12;
}

static void restart(struct fw *f, int node)
{
	sim_crash(&f->s, node, 0);
	sim_start(&f->s, node);
}

static int begun_at(const struct fw *f, int server, int64_t from, int64_t upto)
{
	int n = 0;

	for (ptrdiff_t i = 0; i < arrlen(f->call); i++)
		n += f->call[i].server == server && f->call[i].began_at > from && f->call[i].began_at <= upto;
	return n;
}

/* After a minute in which nothing was logged all controllers restart, and weights are named. Routers that lived on, and one that
 * begins after the naming, use the server with the older weights for most of the bound, and not beyond it. */
static void all_controllers_restart_after_idle_time(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= 6; seed++) {
		struct fw *f = open_fleet(seed, stuck_fleet);
		int64_t named;
		int used;

		f->s.list.v[STUCK].refuses = 1;
		go(f, SETTLE_MS);
		if (seed % 2)
			name(f, 2);
		go(f, IDLE_MS);
		for (int node = 0; node < CONTROLLERS; node++)
			restart(f, node);
		go(f, CONTACT_MS);
		f->every = 4;
		go(f, SETTLE_MS);
		named = name(f, 3);
		if (seed > 3)
			restart(f, SIM_REGS);
		go(f, named + ROLL_MS + CONTACT_MS - f->s.now);
		used = begun_at(f, STUCK, named, named + ROLL_MS);
		print_message(
		    "seed %llu: %d requests begin at the server with the older weights in the bound, %d after three quarters of it, %d before it\n",
		    (unsigned long long)seed, used, begun_at(f, STUCK, named + ROLL_MS * 3 / 4, named + ROLL_MS),
		    begun_at(f, STUCK, 0, named));
		f->every = 0;
		go(f, DRAIN_MS);
		if (!fw_end(f))
			fail_msg("seed %llu: %s", (unsigned long long)seed, f->s.bad);
		if (!(seed % 2))
			assert_true(begun_at(f, STUCK, named + ROLL_MS / 2, named + ROLL_MS) > 0);
		teardown(NULL);
	}
}

/* ---- dates ------------------------------------------------------------------------------------ */

static struct Nl__Row model_row(const char *weights)
{
	struct Nl__Row row = NL__ROW__INIT;

	row.kind = NL__KIND__MODEL;
	row.name = "m";
	row.weights = (char *)(uintptr_t)weights;
	return row;
}

/* A row from a snapshot that was made before namings were dated: 5 is named, since when is not known. A naming of 6 gives weights
 * 4, which 5 superseded long ago, no new date. */
static void a_naming_after_undated_ones_revives_no_older_weights(void **st)
{
	struct Nl__Row before = model_row("5"), row = model_row("6");
	struct naming_list list;
	const struct Nl__Naming *newer;

	(void)st;
	naming_update(&list, &before, &row, (struct group_moment){ 1000000, 3 }, 900000);
	newer = naming_after(&row, 4);
	if (newer && newer->at == 1000000)
		fail_msg("weights 4, superseded by 5 before dates were kept, are dated by the naming of %d, at %d",
			 (int)newer->weights, (int)newer->at);
}

enum { SEQUENCES = 2000, NAMINGS_OF_A_SEQUENCE = 200, GAP_MOST_MS = 400, PRUNE_MS = 20000 };

/* Namings at random moments, more than are kept: weights are never dated later than the naming that superseded them, unless both
 * dates are past the bound; and the list rises. */
static void no_date_is_later_than_its_naming(void **st)
{
	uint64_t rng = 7;

	(void)st;
	for (int k = 0; k < SEQUENCES; k++) {
		static struct naming_list lists[2];
		uint64_t at[NAMINGS_OF_A_SEQUENCE + 2] = { 0 }, now = 1000, last = 1, most = 1 + core_rand(&rng) % GAP_MOST_MS;
		char text[2][24];
		struct Nl__Row row[2] = { model_row("1"), model_row("1") };

		for (int i = 1; i < NAMINGS_OF_A_SEQUENCE; i++) {
			struct Nl__Row *is = &row[i % 2], *was = &row[(i + 1) % 2];
			uint64_t next = last + core_rand(&rng) % 2, passed;

			now += core_rand(&rng) % most;
			passed = now > PRUNE_MS ? now - PRUNE_MS : 0;
			snprintf(text[i % 2], sizeof text[0], "%d", (int)next);
			is->weights = text[i % 2];
			if (next > last)
				at[next] = now;
			naming_update(&lists[i % 2], was, is, (struct group_moment){ now, 1 }, passed);
			last = next;
			assert_true(is->n_naming <= NAMING_MOST);
			for (uint64_t w = 1; w < last; w++) {
				const struct Nl__Naming *newer = naming_after(is, w);

				assert_non_null(newer);
				assert_true(newer->at <= at[w + 1] || newer->at <= passed);
			}
			for (size_t n = 1; n < is->n_naming; n++)
				assert_true(is->naming[n]->at >= is->naming[n - 1]->at &&
					    is->naming[n]->weights > is->naming[n - 1]->weights);
		}
	}
}

/* A leader's answer to a request of the watch, which comes at once. */
static void answer_watch(struct config_watch *watch, apr_pool_t *p, int64_t now, uint64_t leader_clock)
{
	struct out o = { 0 };
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__ConfigSyncReply a = NL__CONFIG_SYNC_REPLY__INIT;

	o.p = p;
	config_watch_ask(watch, 0, now, &o);
	a.token = watch->token;
	a.has_lease = 1;
	a.fleet = 7;
	a.clock = leader_clock;
	a.clock_term = 1;
	m.addr = 1;
	m.body_case = NL__MSG__BODY_FOLLOW_REPLY;
	m.follow_reply = &a;
	(void)config_watch_msg(watch, &m, now, &o);
	arrfree(o.v);
}

enum { TERMS = 30, ANSWERS = 40, WAYS = 3000, LOST_MOST_MS = 60000 };

/* Leaders follow each other, some after a restart of all that loses time; answers are slow, late and overtake each other, also
 * those of leaders before. The clock of each leader that is remembered is never behind, and that of one that was not heard is not
 * behind the one that it followed unless time was lost since. */
static void no_leaders_clock_is_behind(void **st)
{
	static const uint64_t seeds[1] = { 1 };

	(void)st;
	for (uint64_t seed = 1; seed <= 200; seed++) {
		struct config_watch watch;
		uint64_t rng = seed, heard = 0;
		int64_t now = 100000, offset[TERMS + 1] = { 0 }, best[TERMS + 1];
		apr_pool_t *p;

		apr_pool_create(&p, NULL);
		config_watch_open(&watch, 5, seeds, 1, now);
		offset[0] = 500000;
		for (int term = 1; term <= TERMS; term++) {
			offset[term] = offset[term - 1] + (core_rand(&rng) % 3 ? (int64_t)(core_rand(&rng) % 500)
									       : -(int64_t)(core_rand(&rng) % LOST_MOST_MS));
			best[term] = INT64_MAX;
			for (int k = 0; k < ANSWERS; k++) {
				struct out o = { 0 };
				struct Nl__Msg m = NL__MSG__INIT;
				struct Nl__ConfigSyncReply a = NL__CONFIG_SYNC_REPLY__INIT;
				int of = core_rand(&rng) % 10 || term == 1 ? term : term - 1;
				int64_t asked = now, way = (int64_t)(core_rand(&rng) % WAYS);

				o.p = p;
				config_watch_ask(&watch, 0, now, &o);
				a.token = watch.token;
				a.has_lease = 1;
				a.fleet = 7;
				a.clock = (uint64_t)(asked + (int64_t)(core_rand(&rng) % (uint64_t)(way + 1)) + offset[of]);
				a.clock_term = (uint64_t)of;
				m.addr = 1;
				m.body_case = NL__MSG__BODY_FOLLOW_REPLY;
				m.follow_reply = &a;
				now += way;
				(void)config_watch_msg(&watch, &m, now, &o);
				arrfree(o.v);
				heard = (uint64_t)of > heard ? (uint64_t)of : heard;
				for (int t = 1; t <= term; t++)
					for (int i = 0; i < CONFIG_WATCH_TERMS; i++)
						if (watch.group_clock[i].term == (uint64_t)t) {
							int64_t ahead =
							    config_watch_clock(&watch, (uint64_t)t, now) - now - offset[t];

							assert_true(ahead >= 0 && ahead <= WAYS && ahead <= best[t]);
							best[t] = ahead;
						}
				assert_true(config_watch_clock(&watch, 0, now) - now >= offset[heard]);
			}
		}
		config_watch_close(&watch);
		apr_pool_destroy(p);
	}
}

enum { HOUR_MS = 3600000, DRIFT_PER_MILLION = 50, PAUSE_MS = 5000, ANSWER_EVERY_MS = 1000 };

/* How far a node's reckoning of the leader's clock is behind after a day of the same leader, whose clock runs faster by so much;
 * and pauses of the node's own clock, as of a virtual machine that is suspended by its host. */
static int64_t behind_after(int hours, int drift_per_million, int64_t pause_ms)
{
	static const uint64_t seeds[1] = { 1 };
	struct config_watch watch;
	int64_t now = 1000, leader = 0;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	config_watch_open(&watch, 5, seeds, 1, now);
	for (int64_t t = 0; t < (int64_t)hours * HOUR_MS; t += ANSWER_EVERY_MS) {
		apr_pool_t *p;

		now = 1000 + t;
		leader = 1000000 + t + t / 1000000 * drift_per_million + (t > HOUR_MS / 2 ? pause_ms : 0);
		apr_pool_create(&p, pool);
		answer_watch(&watch, p, now, (uint64_t)leader);
		apr_pool_destroy(p);
	}
	leader -= config_watch_clock(&watch, 1, now);
	config_watch_close(&watch);
	apr_pool_destroy(pool);
	return leader;
}

/* "Never behind": while answers come each second, no naming looks younger than it is by as much as sends end early. */
static void the_clock_that_is_reckoned_does_not_fall_behind(void **st)
{
	int64_t drift = behind_after(24, DRIFT_PER_MILLION, 0), pause = behind_after(1, 0, PAUSE_MS);

	(void)st;
	print_message(
	    "behind the leader by %d ms after 24 h at %d parts per million, by %d ms half an hour after a pause of %d ms\n",
	    (int)drift, DRIFT_PER_MILLION, (int)pause, PAUSE_MS);
	assert_true(drift < ROUTER_ROLL_EARLY - ROUTER_ROLL_RECALL && pause < ROUTER_ROLL_EARLY - ROUTER_ROLL_RECALL);
}

/* ---- one router ------------------------------------------------------------------------------- */

enum { STORM = 300, SOLO_ROLL_MS = 20000 };

/* A router with servers on weights 1, but for the last few, which have the newest; one naming a ms, the first at a moment. */
static void open_solo(struct solo *s, int servers, int new_servers, int namings, int64_t at, int repeatable, int attempts)
{
	struct Nl__Row *row[3];
	struct Nl__Instance **v;

	solo_open(s, 5);
	v = apr_palloc(s->p, sizeof *v * (size_t)servers);
	s->c.b.roll_ms = SOLO_ROLL_MS;
	row[0] = new_row(s->p, NL__KIND__MODEL, "m");
	row[0]->weights = apr_psprintf(s->p, "%d", namings + 1);
	row[0]->rolled = "1";
	row[0]->naming = apr_palloc(s->p, sizeof *row[0]->naming * (size_t)(namings + 1));
	for (int i = 0; i < namings; i++) {
		struct Nl__Naming *n = apr_palloc(s->p, sizeof *n);

		nl__naming__init(n);
		n->weights = (uint64_t)(i + 2);
		n->at = (uint64_t)(at + i);
		n->term = 1;
		row[0]->naming[row[0]->n_naming++] = n;
	}
	row[1] = new_service(s->p, "pool");
	row[1]->model = "m";
	row[2] = new_row(s->p, NL__KIND__LANE, "route");
	row[2]->service = "pool";
	row[2]->host = "h";
	row[2]->path = "/";
	row[2]->limit = 10000;
	row[2]->attempts = (uint32_t)attempts;
	row[2]->open = 1;
	row[2]->repeatable = repeatable;
	for (int i = 0; i < servers; i++) {
		v[i] = new_sight(s->p, i, "pool");
		v[i]->weights = i < servers - new_servers ? "1" : row[0]->weights;
	}
	solo_table(s, row, 3, v, (size_t)servers, 1);
}

/* Let time pass in small steps, with answers of the leader, so that the configuration stays fresh. */
static void solo_wait(struct solo *s, int64_t upto)
{
	while (s->now < upto) {
		struct Nl__Msg m = NL__MSG__INIT;
		struct Nl__ConfigSyncReply r = NL__CONFIG_SYNC_REPLY__INIT;

		out_clear(&s->o);
		solo_tick(s, 10);
		for (ptrdiff_t i = 0; i < arrlen(s->o.v); i++)
			if (s->o.v[i].kind == CMD_SEND && s->o.v[i].u.send.msg->body_case == NL__MSG__BODY_FOLLOW)
				r.token = s->o.v[i].u.send.msg->follow->token;
		if (!r.token)
			continue;
		r.has_lease = 1;
		r.fleet = 7;
		r.edition = r.since = r.instances = 1;
		r.counters = 1;
		r.clock = (uint64_t)s->now;
		r.clock_term = 1;
		m.body_case = NL__MSG__BODY_FOLLOW_REPLY;
		m.follow_reply = &r;
		m.addr = m.id = 1;
		m.speak = CORE_SPEAK;
		solo_msg(s, &m);
	}
}

/* Hundreds wait at servers with older weights when those are due. Each ends or goes on once; the accounts are right. */
static void a_storm_of_recalls(void **st)
{
	(void)st;
	for (int repeatable = 0; repeatable < 2; repeatable++)
		for (int new_servers = 0; new_servers < 4; new_servers += 3) {
			struct solo s = { 0 };
			int refused = 0, broke = 0, sent = 0, cancelled = 0;
			int64_t named, end;

			open_solo(&s, 12, new_servers, 1, 1000000, repeatable, 3);
			named = 1000000;
			end = named + SOLO_ROLL_MS;
			solo_wait(&s, end - ROUTER_ROLL_EARLY - 300);
			for (int i = 0; i < STORM; i++) {
				int status;

				(void)solo_ask(&s, "h", "/x", apr_psprintf(s.p, "id-%d", i), &status);
			}
			while (s.now < end + 100) {
				out_clear(&s.o);
				solo_tick(&s, 10);
				for (ptrdiff_t i = 0; i < arrlen(s.o.v); i++) {
					const struct cmd *k = &s.o.v[i];

					refused += k->kind == CMD_ANSWER && k->u.answer.status == 503;
					broke += k->kind == CMD_ANSWER && k->u.answer.status == 502;
					cancelled += k->kind == CMD_CANCEL;
					sent += k->kind == CMD_FORWARD;
				}
				assert_true(router_balanced(&s.c));
			}
			print_message(
			    "repeatable %d, new servers %d: recalled %d, cancelled %d; then 502 %d, 503 %d, sent %d; %d remain, "
			    "sent past %d\n",
			    repeatable, new_servers, (int)s.c.n.recalled, cancelled, broke, refused, sent, (int)arrlen(s.c.all),
			    (int)s.c.n.sent_past_bound);
			assert_int_equal(s.c.n.recalled, cancelled);
			assert_int_equal(s.c.n.sent_past_bound, 0);
			if (!repeatable)
				assert_int_equal(sent, 0);
			solo_close(&s);
		}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_naming_after_undated_ones_revives_no_older_weights),
		cmocka_unit_test(no_date_is_later_than_its_naming),
		cmocka_unit_test(no_leaders_clock_is_behind),
		cmocka_unit_test(the_clock_that_is_reckoned_does_not_fall_behind),
		cmocka_unit_test(a_storm_of_recalls),
		cmocka_unit_test_teardown(a_refusing_server_does_not_hurry_the_others, teardown),
		cmocka_unit_test_teardown(a_refusing_server_costs_no_capacity_of_others, teardown),
		cmocka_unit_test_teardown(what_was_taken_back_does_not_begin_late, teardown),
		cmocka_unit_test_teardown(healthy_servers_are_not_starved, teardown),
		cmocka_unit_test_teardown(all_controllers_restart_after_idle_time, teardown),
		cmocka_unit_test_teardown(slow_loads_hold_their_places, teardown),
		cmocka_unit_test_teardown(loads_that_are_taken_over_hold_their_places, teardown),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
