/* Purging of cached context: on schedule and at once, under faults and clocks that jump; judged by what
 * servers used. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "calendar.h"
#include "router_internal.h"
#include "containers.h"
#include "retention_report.h"
#include "sim.h"
#include "config_check.h"

enum { EPOCH = 1800000000 }; /* s; a day in 2027 */

static void ok(struct sim *sim)
{
	if (sim->violation[0])
		fail_msg("%s", sim->violation);
}

static uint64_t seeds_of(uint64_t n, uint64_t *first)
{
	*first = getenv("NL_SEED") ? strtoull(getenv("NL_SEED"), NULL, 10) : 1;
	return getenv("NL_SEEDS") ? strtoull(getenv("NL_SEEDS"), NULL, 10) : n;
}

static void must_change(struct sim *sim, const char *body, int64_t ms)
{
	uint64_t e = sim_change(sim, body, ms);

	ok(sim);
	if (!e)
		fail_msg("seed %llu: not acknowledged within %lld ms: %s", (unsigned long long)sim->seed,
			 (long long)ms, body);
}

static const char *const lanes[] = { "arrears", "repairs", "sorting" };

/* Callers ask for a while, some of them again under the same id. */
static void load(struct sim *sim, uint64_t *rng, int64_t ms, int gap, int routers)
{
	int64_t end = sim->now + ms;

	while (sim->now < end && !sim->violation[0]) {
		int node = SIM_CONTROLLERS + (int)(core_random(rng) % (uint64_t)routers);
		uint64_t pick = core_random(rng);
		char id[64];

		if (sim->nodes[node].up && !sim->nodes[node].frozen) {
			snprintf(id, sizeof id, "x%llu", (unsigned long long)++sim->token);
			sim_submit(sim, node, id, (int)(pick % 4), lanes[pick / 4 % 3], (int)(pick / 12 % 3));
		}
		sim_run(sim, 1 + (int64_t)(core_random(rng) % (uint64_t)(2 * gap)), NULL);
	}
	ok(sim);
}

/* Each was told something, and none ran twice: the simulator checks that at every send. */
static void all_notified(struct sim *sim)
{
	sim_run(sim, 9000, NULL);
	ok(sim);
	for (ptrdiff_t i = 0; i < arrlen(sim->requests); i++)
		if (sim->requests[i].outcome == SIM_OPEN)
			fail_msg("seed %llu: %s was never told anything", (unsigned long long)sim->seed,
				 sim->requests[i].id);
}

/* The records of purges of context, as the controller that knows most has them. */
static const struct retention *records(struct sim *sim)
{
	const struct retention *best = NULL;

	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (sim->nodes[i].used && sim->nodes[i].up && sim->nodes[i].controller &&
		    (!best ||
		     sim->nodes[i].controller->retention.last_purge_number >= best->last_purge_number))
			best = &sim->nodes[i].controller->retention;
	return best;
}

/* No due time of a scope is purged twice, and none is passed over: each record takes up where the last one
 * ended. */
static void each_due_once(struct sim *sim, const char *scope, int64_t every, int least)
{
	const struct retention *retention = records(sim);
	int64_t next = 0;
	int n = 0;

	for (ptrdiff_t i = 0; i < arrlen(retention->purges); i++) {
		const struct Nl__RetentionPurge *purge_run = retention->purges[i];

		if (strcmp(purge_run->scope, scope) || strcmp(purge_run->requested_by, "schedule"))
			continue;
		if (next && purge_run->due_at_ms != next)
			fail_msg("seed %llu: %s was due at %lld and cleared for %lld",
				 (unsigned long long)sim->seed, scope, (long long)next,
				 (long long)purge_run->due_at_ms);
		next = purge_run->due_at_ms + every * (1 + (int64_t)purge_run->missed);
		n += 1 + (int)purge_run->missed;
	}
	if (n < least)
		fail_msg("seed %llu: %s was cleared for %d due times, %d passed",
			 (unsigned long long)sim->seed, scope, n, least);
}

static uint64_t clear_now(struct sim *sim, const char *scope, int64_t ms)
{
	int64_t end = sim->now + ms;
	char body[200];

	snprintf(body, sizeof body, "{\"scope\":\"%s\",\"by\":\"clerk\"}", scope);
	while (sim->now < end && !sim->violation[0])
		for (int i = 0; i < SIM_CONTROLLERS; i++)
			if (sim->nodes[i].used && sim->nodes[i].up && !sim->nodes[i].frozen &&
			    sim_call_and_wait(sim, i, "POST", "/v1/clear", body, 6000) == 200)
				return records(sim)->last_purge_number;
	return 0;
}

static const struct Nl__RetentionPurge *newest(struct sim *sim, const char *scope)
{
	const struct retention *retention = records(sim);

	for (ptrdiff_t i = arrlen(retention->purges) - 1; i >= 0; i--)
		if (!strcmp(retention->purges[i]->scope, scope))
			return retention->purges[i];
	return NULL;
}

static int kept_at(const struct sim *sim, const char *maker, int64_t tick)
{
	int n = 0;

	for (int i = 0; i < SIM_SERVERS; i++)
		for (ptrdiff_t k = 0; k < arrlen(sim->servers[i].blocks); k++)
			n += (!maker || !strcmp(sim->servers[i].blocks[k].cache_namespace, maker)) &&
			     (int64_t)sim->servers[i].blocks[k].horizon < tick;
	return n;
}

static void now_clears_all(void **state)
{
	struct sim sim;
	uint64_t rng = 5, tick;
	const struct Nl__RetentionPurge *purge_run;

	(void)state;
	sim_deploy(&sim, 5, 4, 3, 6);
	sim.wall_clock_epoch_ms = EPOCH * 1000ll;
	load(&sim, &rng, 4000, 20, 3);
	tick = sim.nodes[SIM_CONTROLLERS].router->relay.knowledge.horizon;
	assert_true(kept_at(&sim, NULL, INT64_MAX) > 0);
	assert_int_equal(sim_call_and_wait(&sim, 0, "POST", "/v1/clear", "{\"scope\":\"nolane/t1\"}", 6000),
			 400);
	assert_int_equal(sim_call_and_wait(&sim, 0, "POST", "/v1/clear", "{\"scope\":\"\"}", 6000), 400);
	assert_true(clear_now(&sim, "*", 8000) > 0);
	load(&sim, &rng, 15000, 20, 3);
	purge_run = newest(&sim, "*/*") ? newest(&sim, "*/*") : newest(&sim, "*");
	assert_non_null(purge_run);
	assert_true(purge_run->slices == PURGE_SLICES);
	if (!purge_run->done_at_ms)
		fail_msg("%s", sim_answer(&sim, sim.token) ? sim_answer(&sim, sim.token)->body : "not done");
	assert_int_equal(kept_at(&sim, NULL, (int64_t)tick), 0);
	all_notified(&sim);
	assert_true(sim.n_complete > 500);
	sim_close(&sim);
}

/* Whom the checker holds a purge of context against: what was kept before its time must not be used once its
 * slices are in force everywhere: the purge's two seconds, and what a send may be on its way. */
enum { GRACE = 5000 };

/* The newest tick that a part made until now may bear. */
static uint64_t horizon_now(const struct sim *sim)
{
	uint64_t h = 0;

	for (int i = SIM_CONTROLLERS; i < SIM_NODES; i++)
		if (sim->nodes[i].used && sim->nodes[i].up && sim->nodes[i].router &&
		    sim->nodes[i].router->relay.knowledge.horizon > h)
			h = sim->nodes[i].router->relay.knowledge.horizon;
	return h;
}

/* Nothing that servers used for a run after a purge of context was made before it: the simulator's own
 * checker looks at every reuse and fetch against the purges of context in s->clear. */
static void expect_nothing_older(struct sim *sim, const char *tenant, const char *service, uint64_t made)
{
	struct sim_purge sim_clear = { "", "", made, 0 };

	snprintf(sim_clear.tenant, sizeof sim_clear.tenant, "%s", tenant);
	snprintf(sim_clear.service, sizeof sim_clear.service, "%s", service);
	sim_clear.after = sim->now + GRACE;
	arrput(sim->purges, sim_clear);
}

/* The first leader's clock, and others', jump about at the due moment; the machines fall, freeze, and lose
 * their disks. */
static void each_due_purge_runs_once(void **state)
{
	uint64_t first, seeds = seeds_of(12, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct sim sim;
		uint64_t rng = seed * 77;
		int hurt = -1, frozen = -1;

		sim_deploy(&sim, seed, 4, 3, 6);
		ok(&sim);
		sim.wall_clock_epoch_ms = EPOCH * 1000ll;
		sim.calendar = &calendar_icu;
		for (int i = 0; i < 4; i++)
			sim.nodes[i].controller->adapters.calendar = &calendar_icu;
		must_change(
		    &sim,
		    "{\"set\":[{\"kind\":\"retention\",\"name\":\"*\",\"every\":\"20s\",\"window\":4000}]}",
		    12000);
		must_change(
		    &sim,
		    "{\"set\":[{\"kind\":\"retention\",\"name\":\"*/t1\",\"every\":\"15s\",\"keep\":\"30s\"}]}",
		    12000);
		for (int k = 0; k < 16; k++) {
			int leader = sim_leader(&sim, SHARD_CONTROL);

			load(&sim, &rng, 5000, 40, 3);
			if (frozen >= 0)
				sim_freeze(&sim, frozen, 0);
			frozen = -1;
			if (hurt >= 0 && !sim.nodes[hurt].up)
				sim_start(&sim, hurt);
			switch (core_random(&rng) % 7) {
			case 0: /* one clock, by hours, both ways; two more keep the time */
				for (int i = 0; i < 4; i++)
					sim.nodes[i].wall_clock_offset_ms = 0;
				sim.nodes[core_random(&rng) % 4].wall_clock_offset_ms =
				    (core_random(&rng) % 2 ? 1 : -1) *
				    (int64_t)(core_random(&rng) % 10000000);
				break;
			case 1:
				if (leader >= 0) {
					for (int i = 0; i < 4; i++)
						sim.nodes[i].wall_clock_offset_ms = 0;
					sim.nodes[leader].wall_clock_offset_ms =
					    (core_random(&rng) % 2 ? 1 : -1) * 7200000;
				}
				break;
			case 2:
				if (leader >= 0)
					sim_crash(&sim, hurt = leader, 0);
				break;
			case 3:
				sim_crash(&sim, hurt = (int)(core_random(&rng) % 4), k % 2);
				break;
			case 4:
				sim_freeze(&sim, frozen = (int)(core_random(&rng) % 4), 1);
				break;
			case 5:
				sim_freeze(&sim, frozen = SIM_CONTROLLERS + (int)(core_random(&rng) % 3), 1);
				break;
			default:
				clear_now(&sim, core_random(&rng) % 2 ? "*" : "*/t1", 3000);
				break;
			}
			ok(&sim);
		}
		if (frozen >= 0)
			sim_freeze(&sim, frozen, 0);
		if (hurt >= 0 && !sim.nodes[hurt].up)
			sim_start(&sim, hurt);
		for (int i = 0; i < 4; i++)
			sim.nodes[i].wall_clock_offset_ms = 0;
		load(&sim, &rng, 5000, 40, 3);
		each_due_once(&sim, "*", 20000, 3);
		each_due_once(&sim, "*/t1", 15000, 4);
		all_notified(&sim);
		sim_close(&sim);
	}
}

/* A tenant is purged while others go on, with the faults that a fleet has; what it had is used for nobody.
 */
static void nothing_old_is_used(void **state)
{
	uint64_t first, seeds = seeds_of(20, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct sim sim;
		uint64_t rng = seed * 131, made;
		char body[300];

		sim_deploy(&sim, seed, 4, 3, 6);
		ok(&sim);
		sim.wall_clock_epoch_ms = EPOCH * 1000ll;
		sim.loss_per_mille = (int)(core_random(&rng) % 30);
		must_change(&sim, "{\"set\":[{\"kind\":\"retention\",\"name\":\"*/t2\",\"every\":\"1d\"}]}",
			    12000);
		load(&sim, &rng, 12000, 15, 3);
		for (int i = 0; i < 6; i++) /* routers must not rely on servers' dropping */
			sim.servers[i].ignores_drops = 1;
		switch (seed % 6) { /* what goes wrong as the purge runs */
		case 0:
			sim_freeze(&sim, SIM_CONTROLLERS, 1);
			break;
		case 1:
			sim_set_partition(&sim, SIM_CONTROLLERS + 1, 1);
			break;
		case 2:
			sim_crash(&sim, sim_leader(&sim, SHARD_PURGE), 0);
			break;
		case 3:
			sim_crash(&sim, sim_leader(&sim, SHARD_CONTROL), seed % 2 ? 1 : 0);
			break;
		case 4:
			sim.servers[1].up = 0;
			break; /* and comes back with what it had */
		default:       /* isolation and a roll-out at the same time */
			snprintf(
			    body, sizeof body,
			    "{\"set\":[{\"kind\":\"service\",\"name\":\"repairs\",\"weights\":\"w2\",\"prefill\":20,\"kv_bytes\":400,\"link\":100000},"
			    "{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":1,\"limit\":100,\"walled\":true}]}");
			must_change(&sim, body, 12000);
		}
		made = horizon_now(&sim);
		if (!clear_now(&sim, seed % 2 ? "*/t2" : "arrears/*", 9000))
			fail_msg("seed %llu: no clearing is taken", (unsigned long long)seed);
		expect_nothing_older(&sim, seed % 2 ? "t2" : "", seed % 2 ? "" : "arrears", made);
		load(&sim, &rng, 6000, 15, 3);
		made = horizon_now(&sim);
		if (!clear_now(&sim, "*", 9000))
			fail_msg("seed %llu: no second clearing is taken", (unsigned long long)seed);
		expect_nothing_older(&sim, "", "", made);
		load(&sim, &rng, 4000, 15, 3);
		for (int i = 0; i < SIM_CONTROLLERS + 3; i++)
			if (sim.nodes[i].used && !sim.nodes[i].up)
				sim_start(&sim, i);
		sim_freeze(&sim, SIM_CONTROLLERS, 0);
		sim_set_partition(&sim, SIM_CONTROLLERS + 1, 0);
		sim.servers[1].up = 1;
		load(&sim, &rng, 4000, 15, 3);
		for (int i = 0; i < 6; i++)
			sim.servers[i].ignores_drops = 0;
		load(&sim, &rng, 10000, 15, 3);
		all_notified(&sim);
		assert_true(sim.n_checked > 100);
		if (!newest(&sim, "*")->done_at_ms)
			fail_msg("seed %llu: it is never said to be done", (unsigned long long)seed);
		sim_close(&sim);
	}
}

/* What a row may not say is refused whole, and the cell is named. */
static void bad_rows_name_their_cell(void **state)
{
	static const struct {
		const char *name, *keep, *every, *at, *why;
		uint32_t window;
	} bad[] = {
		{ "t9", "1d", "", "", "name", 0 },
		{ "*/t9", "1d", "", "", "no tenant t9", 0 },
		{ "nolane/*", "1d", "", "", "no lane nolane", 0 },
		{ "*", "", "", "", "keep: missing", 0 },
		{ "*", "soon", "", "", "keep", 0 },
		{ "*", "0d", "", "", "keep", 0 },
		{ "*", "", "1s", "", "every: shorter", 0 },
		{ "*", "", "1h", "daily 02:30 UTC", "every: cannot be combined with at", 0 },
		{ "*", "", "1m", "", "window", 60001 },
		{ "*", "1m", "", "", "keep: shorter", 70000 },
		{ "*", "1h", "1h", "", "keep: shorter", 1 },
		{ "*", "", "", "daily 02:30", "zone", 0 },
		{ "*", "", "", "daily 02:30 Mars/Olympus", "no time zone Mars/Olympus", 0 },
		{ "*", "", "", "yearly 02-30 02:30 UTC", "never", 0 },
		{ "*", "", "", "monthly 32 02:30 UTC", "never", 0 },
		{ "*", "", "", "mon,mon 02:30 UTC", "overlaps", 0 },
		{ "*", "", "", "daily 24:00 UTC", "time of day", 0 },
		{ "*", "", "", "daily 02:30 UTC now", "words after", 0 },
		{ "*", "", "", "mon, 02:30 UTC", "days", 0 },
		{ "*", "", "", "noon", "days", 0 },
		{ "*", "", "", "daily 02:30 UTC", "window", 86400001 },
		{ "*", "1d", "", "mon 02:30 UTC", "keep", 0 },
		{ "*", "1d", "", "daily 02:30 UTC", "keep", 1 },
	};
	struct config_table table;
	struct Nl__Row tenant = NL__ROW__INIT, route = NL__ROW__INIT, row, *set[2] = { &tenant, &route },
		       *one[1] = { &row };
	struct Nl__Change change = NL__CHANGE__INIT;
	struct Nl__Purge **feed = NULL;
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	config_table_open(&table);
	tenant.kind = NL__KIND__TENANT;
	tenant.name = (char *)(uintptr_t) "t1";
	tenant.share = 1;
	route.kind = NL__KIND__ROUTE;
	route.name = route.service = (char *)(uintptr_t) "arrears";
	route.limit = 1;
	change.any_revision = 1;
	change.set = set;
	change.n_set = 2;
	assert_int_equal(config_table_apply(&table, &change, &feed), PROPOSAL_APPLIED);
	change.set = one;
	change.n_set = 1;
	for (size_t i = 0; i <= sizeof bad / sizeof *bad; i++) {
		int good = i == sizeof bad / sizeof *bad;
		const char *why;

		nl__row__init(&row);
		row.kind = NL__KIND__RETENTION;
		row.name = (char *)(uintptr_t)(good ? "arrears/t1" : bad[i].name);
		row.max_age = (char *)(uintptr_t)(good ? "26h" : bad[i].keep);
		row.interval = (char *)(uintptr_t)(good ? "" : bad[i].every);
		row.calendar = (char *)(uintptr_t)(good ? "daily 02:30 Europe/London" : bad[i].at);
		row.spread_ms = good ? 3600000 : bad[i].window;
		why = config_check_change(&table, &change, pool);
		if (!why)
			why = retention_check_calendar(&calendar_icu, &change, EPOCH * 1000ll, pool);
		if (good ? why != NULL : !why || !strstr(why, bad[i].why) || !strstr(why, "retention"))
			fail_msg("row %d: %s, not %s", (int)i, why ? why : "taken",
				 good ? "taken" : bad[i].why);
	}
	config_table_close(&table);
	apr_pool_destroy(pool);
}

static int64_t utc(int y, int m, int d, int h, int min)
{
	apr_time_exp_t e;
	apr_time_t t;

	memset(&e, 0, sizeof e);
	e.tm_year = y - 1900;
	e.tm_mon = m - 1;
	e.tm_mday = d;
	e.tm_hour = h;
	e.tm_min = min;
	assert_int_equal(apr_time_exp_get(&t, &e), APR_SUCCESS);
	return t / 1000;
}

static void calendars_come_when_they_say(void **state)
{
	const struct {
		const char *text;
		int64_t from, due;
	} c[] = {
		{ "daily 02:30 Asia/Kuala_Lumpur", utc(2026, 12, 2, 0, 0), utc(2026, 12, 2, 18, 30) },
		{ "daily 02:30 Asia/Kuala_Lumpur", utc(2026, 12, 2, 18, 30), utc(2026, 12, 3, 18, 30) },
		{ "mon 03:00 UTC", utc(2026, 12, 2, 0, 0), utc(2026, 12, 7, 3, 0) },
		{ "mon,thu 03:00 UTC", utc(2026, 12, 2, 0, 0), utc(2026, 12, 3, 3, 0) },
		{ "monthly 31 12:00 UTC", utc(2027, 2, 1, 0, 0), utc(2027, 3, 31, 12, 0) },
		{ "yearly 02-29 12:00 UTC", utc(2027, 1, 1, 0, 0), utc(2028, 2, 29, 12, 0) },
		{ "daily 02:30 Europe/Berlin", utc(2027, 3, 27, 12, 0),
		  utc(2027, 3, 28, 1, 0) }, /* left out: the clock goes on at 03:00 */
		{ "daily 02:30 Europe/Berlin", utc(2027, 3, 28, 1, 0), utc(2027, 3, 29, 0, 30) },
		{ "daily 02:30 Europe/Berlin", utc(2027, 10, 30, 12, 0),
		  utc(2027, 10, 31, 0, 30) }, /* twice: the first counts */
		{ "daily 02:30 Europe/Berlin", utc(2027, 10, 31, 0, 30), utc(2027, 11, 1, 1, 30) },
		{ "yearly 02-30 12:00 UTC", utc(2027, 1, 1, 0, 0), 0 },
	};

	(void)state;
	for (size_t i = 0; i < sizeof c / sizeof *c; i++)
		if (calendar_icu.next(c[i].text, c[i].from) != c[i].due)
			fail_msg("%s after %lld: %lld, not %lld", c[i].text, (long long)c[i].from,
				 (long long)calendar_icu.next(c[i].text, c[i].from), (long long)c[i].due);
}

static const char *cache_namespace(struct router *router, struct client_request *request, uint32_t weights,
				   apr_pool_t *pool, const char *tenant)
{
	request->route.tenant_index = (uint32_t)names_find(&router->names.tenants, tenant);
	return router_cache_namespace(router, request, weights, pool);
}

static int missing_says(struct sim *sim, const char *text)
{
	int at = sim_leader(sim, SHARD_CONTROL), found;
	apr_pool_t *pool;

	assert_true(at >= 0);
	apr_pool_create(&pool, NULL);
	found = strstr(retention_report_json(sim->nodes[at].controller,
					     sim->now + sim->nodes[at].clock_skew_ms, pool),
		       text) != NULL;
	apr_pool_destroy(pool);
	return found;
}

/* Done is said of no purge that a router has not heard, or after which a server has not said what it
 * keeps. */
static void done_waits_for_all(void **state)
{
	struct sim sim;
	uint64_t rng = 41;

	(void)state;
	sim_deploy(&sim, 41, 4, 3, 6);
	sim.wall_clock_epoch_ms = EPOCH * 1000ll;
	load(&sim, &rng, 9000, 20, 3); /* and the leader has been in office for long */
	sim.servers[2].sends_no_reports = 1;
	assert_true(clear_now(&sim, "*", 9000) > 0);
	load(&sim, &rng, 9000, 20, 3);
	assert_true(newest(&sim, "*")->slices == PURGE_SLICES && !newest(&sim, "*")->done_at_ms);
	assert_true(missing_says(&sim, "server s2 has not reported its cached blocks since the purge"));
	sim.servers[2].sends_no_reports = 0;
	load(&sim, &rng, 6000, 20, 3);
	assert_true(newest(&sim, "*")->done_at_ms);
	sim_freeze(&sim, SIM_CONTROLLERS + 1, 1);
	assert_true(clear_now(&sim, "*", 9000) > 0);
	for (int i = 0; i < 6; i++)
		sim.servers[i].report_delay_ms = 2500; /* what drops came of is seen late */
	sim_run(&sim, 2000, NULL);
	assert_false(newest(&sim, "*")->done_at_ms);
	assert_true(missing_says(&sim, "has not received the purge yet"));
	assert_true(missing_says(&sim, "server s"));
	for (int i = 0; i < 6; i++)
		sim.servers[i].report_delay_ms = 0;
	sim_run(&sim, 2500, NULL);
	assert_false(newest(&sim, "*")->done_at_ms);
	assert_true(missing_says(&sim, "has not received the purge yet"));
	assert_false(missing_says(&sim, "server s"));
	sim_freeze(&sim, SIM_CONTROLLERS + 1, 0);
	load(&sim, &rng, 6000, 20, 3);
	assert_true(newest(&sim, "*")->done_at_ms);
	all_notified(&sim);
	sim_close(&sim);
}

/* Where a forwarded send is filed: by its scope, its slice and the purges of context that cover them. */
static void namespaces_follow_purges(void **state)
{
	struct sim sim;
	struct router *router;
	struct client_request request;
	apr_pool_t *pool;
	const char *t1, *t2, *again;
	uint64_t rng = 9;
	uint32_t w, old = 0;

	(void)state;
	apr_pool_create(&pool, NULL);
	sim_deploy(&sim, 9, 4, 1, 3);
	sim.wall_clock_epoch_ms = EPOCH * 1000ll;
	router = sim.nodes[SIM_CONTROLLERS].router;
	memset(&request, 0, sizeof request);
	request.route.index = (uint32_t)names_find(&router->names.routes, "arrears");
	request.route.service_index = (uint32_t)names_find(&router->names.services, "arrears");
	request.prompt.block_count = 2;
	request.prompt.block_hash[0] = 12345;
	w = (uint32_t)names_find(&router->names.weights, "w1");
	t1 = cache_namespace(router, &request, w, pool, "t1");
	assert_string_equal(
	    t1, cache_namespace(router, &request, w, pool,
				"t2")); /* no row: all on one cache_namespace, and named as ever */
	assert_null(strchr(t1, '~'));
	must_change(&sim, "{\"set\":[{\"kind\":\"retention\",\"name\":\"*/t1\",\"every\":\"12s\"}]}", 12000);
	sim_run(&sim, 1000, NULL);
	assert_string_not_equal(cache_namespace(router, &request, w, pool, "t1"), t1);
	assert_string_equal(cache_namespace(router, &request, w, pool, "t2"), t1);
	/* the first purge of a row takes the common cache namespaces along: what t1 left there before is
	 * found by nobody */
	while (!records(&sim)->last_purge_number)
		load(&sim, &rng, 500, 50, 1);
	load(&sim, &rng, 2000, 50, 1);
	t2 = cache_namespace(router, &request, w, pool, "t2");
	assert_string_not_equal(t2, t1);
	/* the next leaves them alone */
	t1 = cache_namespace(router, &request, w, pool, "t1");
	while (records(&sim)->last_purge_number < 2)
		load(&sim, &rng, 500, 50, 1);
	load(&sim, &rng, 2000, 50, 1);
	assert_string_not_equal(cache_namespace(router, &request, w, pool, "t1"), t1);
	assert_string_equal(cache_namespace(router, &request, w, pool, "t2"), t2);
	/* of a route: what the tenant of a row has there goes too, what it has elsewhere stays */
	t1 = cache_namespace(router, &request, w, pool, "t1");
	assert_true(clear_now(&sim, "arrears/t1", 9000) > 0);
	sim_run(&sim, 2000, NULL);
	assert_string_not_equal(cache_namespace(router, &request, w, pool, "t1"), t1);
	assert_string_not_equal(cache_namespace(router, &request, w, pool, "t2"),
				t2); /* that scope has no row: all common cache namespaces */
	/* its row goes and comes back: nothing of before is found again */
	t1 = cache_namespace(router, &request, w, pool, "t1");
	must_change(&sim, "{\"del\":[{\"kind\":\"retention\",\"name\":\"*/t1\"}]}", 12000);
	sim_run(&sim, 2000, NULL);
	assert_string_equal(cache_namespace(router, &request, w, pool, "t1"),
			    cache_namespace(router, &request, w, pool, "t2"));
	must_change(&sim, "{\"set\":[{\"kind\":\"retention\",\"name\":\"*/t1\",\"every\":\"1d\"}]}", 12000);
	sim_run(&sim, 2000, NULL);
	again = cache_namespace(router, &request, w, pool, "t1");
	assert_string_not_equal(again, t1);
	/* slices end alike, so that what prompts share is shared again */
	request.prompt.block_hash[0] = 12346;
	assert_string_equal(again, cache_namespace(router, &request, w, pool, "t1"));
	ok(&sim);
	/* the head of a zone sees in its index what servers still name of before, and nothing else, in a few
	 * thousand rows a tick */
	router->config.bounds.use_endpoint_list = 1;
	router->config.watch.upstream_count = 0;
	for (uint64_t i = 0; i < 5000; i++)
		prefix_index_put(
		    &router->cache.index, 1000 + i,
		    &(struct block_replica){ (uint32_t)(i % 2), 0, 0, 0, 0,
					     router_namespace_key_from_text(i % 1000 == 7 ? t1 : again) });
	for (int i = 0; i < 200; i++)
		router_retention_tick(router, sim.now + sim.nodes[SIM_CONTROLLERS].clock_skew_ms + 25 * i);
	assert_true(router->config.watch.has_index);
	for (ptrdiff_t i = 0; i < arrlen(router->config.watch.cache_remainders); i++) {
		assert_true(router->config.watch.cache_remainders[i].block_count == 0 ||
			    (router->config.watch.cache_remainders[i].block_count == 5 &&
			     router->config.watch.cache_remainders[i].scope ==
				 router_namespace_key_from_text(t1) >> 32 &&
			     router->config.watch.cache_remainders[i].purge_number ==
				 (router_namespace_key_from_text(t1) & UINT32_MAX)));
		old += router->config.watch.cache_remainders[i].block_count;
	}
	assert_int_equal(old, 5);
	sim_close(&sim);
	apr_pool_destroy(pool);
}

static int told_of_content;

static void no_content(void *ctx, const char *prefix, const char *line)
{
	(void)ctx;
	(void)prefix;
	told_of_content +=
	    strstr(line, "matter") || strstr(line, "secret-") || strstr(line, "quite long as such");
}

/* On how many disks a text stands, in entries or snapshots. */
static int disks_with(const struct sim *sim, const char *text)
{
	size_t m = strlen(text);
	int n = 0;

	for (int i = 0; i < SIM_CONTROLLERS; i++) {
		int here = 0;

		for (int k = 0; k < SHARD_COUNT; k++) {
			const struct sim_disk_shard *disk = &sim->nodes[i].disk.shards[k];

			for (size_t q = 0; q + m <= disk->data_len; q++)
				here |= !memcmp(disk->data + q, text, m);
			for (ptrdiff_t e = 0; e < arrlen(disk->entries); e++)
				for (size_t q = 0; q + m <= disk->entries[e].len; q++)
					here |= !memcmp(disk->entries[e].data + q, text, m);
		}
		n += here;
	}
	return n;
}

/* Ids that were claimed before a purge of context are on no disk once their claims have run out, though
 * nobody asks any more; no line of a log tells of content; usage that names who was purged is gone. */
static void disks_and_logs_keep_nothing(void **state)
{
	struct sim sim;
	char id[40];

	(void)state;
	sim_deploy(&sim, 11, 4, 2, 3);
	sim.wall_clock_epoch_ms = EPOCH * 1000ll;
	for (int i = 0; i < SIM_CONTROLLERS + 2; i++) {
		if (sim.nodes[i].controller)
			sim.nodes[i].controller->adapters.log = no_content;
		if (sim.nodes[i].router)
			sim.nodes[i].router->log = no_content;
	}
	for (int i = 0; i < 60; i++) {
		snprintf(id, sizeof id, "secret-%d", i);
		sim_submit(&sim, SIM_CONTROLLERS + i % 2, id, i % 4, lanes[i % 3], 0);
		sim_run(&sim, 50, NULL);
	}
	sim_run(&sim, 3000, NULL);
	assert_true(disks_with(&sim, "secret-") >= 2);
	assert_true(clear_now(&sim, "*", 9000) > 0);
	sim_run(&sim, 3000, NULL);
	for (int i = SIM_CONTROLLERS; i < SIM_CONTROLLERS + 2; i++)
		assert_int_equal(hmlen(sim.nodes[i].router->records.usage), 0);
	sim_run(&sim, 30000, NULL);
	ok(&sim);
	assert_true(disks_with(&sim, "secret-") >= 2); /* once still means once */
	sim_run(&sim, CONTROLLER_CLAIM_TTL_MS + 30000, NULL);
	ok(&sim);
	assert_int_equal(disks_with(&sim, "secret-"), 0);
	assert_int_equal(told_of_content, 0);
	all_notified(&sim);
	sim_close(&sim);
}

/* A window spreads a purge of context: its slices come at half its pace while lines are short, and all are in
 * force at its end even where they are long, which is said. */
static void windows_spread_and_end(void **state)
{
	(void)state;
	for (int strained = 0; strained < 2; strained++) {
		struct sim sim;
		uint64_t rng = 21;
		const struct Nl__RetentionPurge *purge_run;
		int64_t began;

		sim_deploy(&sim, 21, 4, 3, 3);
		sim.wall_clock_epoch_ms = EPOCH * 1000ll;
		must_change(
		    &sim,
		    "{\"set\":[{\"kind\":\"retention\",\"name\":\"*\",\"every\":\"40s\",\"window\":16000}]}",
		    12000);
		while (!newest(&sim, "*"))
			load(&sim, &rng, 100, 40, 3);
		for (int i = 0; strained && i < 3; i++)
			sim.servers[i].chunk_interval_ms = 400;
		began = sim.now;
		load(&sim, &rng, 3500, strained ? 4 : 40, 3);
		purge_run = newest(&sim, "*");
		assert_true(purge_run->slices >= 2 && purge_run->slices < 6);
		load(&sim, &rng, 6500, strained ? 4 : 40, 3);
		assert_true(strained ? purge_run->slices < PURGE_SLICES && purge_run->late
				     : purge_run->slices == PURGE_SLICES && !purge_run->late);
		load(&sim, &rng, began + 16000 - sim.now, strained ? 4 : 40, 3);
		assert_int_equal(newest(&sim, "*")->slices, PURGE_SLICES);
		sim_close(&sim);
	}
}

static int by_time(const void *a, const void *b)
{
	return *(const int64_t *)a < *(const int64_t *)b ? -1 : *(const int64_t *)a > *(const int64_t *)b;
}

/* Of all that were answered: the time that so many of a hundred waited for their first piece at the most. */
static int64_t first_piece(const struct sim *sim, int of_100)
{
	int64_t *v = NULL, ms;

	for (ptrdiff_t i = 0; i < arrlen(sim->requests); i++)
		if (sim->requests[i].first_chunk_at)
			arrput(v, sim->requests[i].first_chunk_at - sim->requests[i].submitted_at);
	assert_true(arrlen(v) > 500);
	qsort(v, (size_t)arrlen(v), sizeof *v, by_time);
	ms = v[(arrlen(v) - 1) * of_100 / 100];
	arrfree(v);
	return ms;
}

/* The same day with and without purges of context: each is answered once, and 90 in 100 wait for their first
 * piece no longer, those that read a slice anew no longer than such a reading takes. */
static void first_pieces_come_in_time(void **state)
{
	int64_t most[2][2];

	(void)state;
	for (int on = 0; on < 2; on++) {
		struct sim sim;
		uint64_t rng = 33;

		sim_deploy(&sim, 33, 4, 3, 6);
		sim.wall_clock_epoch_ms = EPOCH * 1000ll;
		sim.prefill_ms_per_token = 5;
		if (on)
			must_change(
			    &sim,
			    "{\"set\":[{\"kind\":\"retention\",\"name\":\"*\",\"every\":\"20s\",\"window\":8000}]}",
			    12000);
		else
			must_change(
			    &sim,
			    "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t3\",\"share\":1,\"limit\":99}]}",
			    12000);
		load(&sim, &rng, 60000, 20, 3);
		all_notified(&sim);
		most[on][0] = first_piece(&sim, 90);
		most[on][1] = first_piece(&sim, 99);
		assert_int_equal(sim.n_unknown, 0);
		assert_int_equal(sim.n_refused, 0);
		assert_true(!on || records(&sim)->last_purge_number >= 2);
		sim_close(&sim);
	}
	print_message(
	    "first piece of 90 and 99 in 100: %lld and %lld ms without clearing, %lld and %lld ms with one each 20 s\n",
	    (long long)most[0][0], (long long)most[0][1], (long long)most[1][0], (long long)most[1][1]);
	assert_true(most[1][0] <= most[0][0] + 30);
	assert_true(most[1][1] <= most[0][1] + 60 * 5 + 30);
}

/* One clock of the voters, the decider's own too, runs nothing early; a due time that was taken is refused.
 */
static void one_clock_decides_nothing(void **state)
{
	struct sim sim;
	struct Nl__RetentionStep clear = NL__RETENTION_STEP__INIT;
	struct Nl__RetentionPlan *plan;
	int at;

	(void)state;
	sim_deploy(&sim, 51, 4, 1, 3);
	sim.wall_clock_epoch_ms = EPOCH * 1000ll;
	must_change(&sim, "{\"set\":[{\"kind\":\"retention\",\"name\":\"*\",\"every\":\"1h\"}]}", 12000);
	sim_run(&sim, 2000, NULL);
	at = sim_leader(&sim, SHARD_CONTROL);
	for (int k = 0; k < 4; k++) {
		sim.nodes[k].wall_clock_offset_ms = 7200000;
		sim_run(&sim, 2000, NULL);
		assert_int_equal(records(&sim)->last_purge_number, 0);
		sim.nodes[k].wall_clock_offset_ms = -7200000;
		sim_run(&sim, 2000, NULL);
		sim.nodes[k].wall_clock_offset_ms = 0;
	}
	assert_true(at >= 0 && arrlen(sim.nodes[at].controller->retention.plans) == 1);
	plan = sim.nodes[at].controller->retention.plans[0];
	clear.step = NL__RETENTION_STEP_KIND__RETENTION_STEP_DUE;
	clear.scope = plan->scope;
	clear.due_at_ms = plan->due_at_ms - 3600000;
	clear.next_due_at_ms = plan->due_at_ms + 3600000;
	assert_int_equal(retention_apply(&sim.nodes[at].controller->retention,
					 &sim.nodes[at].controller->config.table,
					 &sim.nodes[at].controller->config.purge_feed, 1, &clear),
			 PROPOSAL_REJECTED);
	ok(&sim);
	sim_close(&sim);
}

int main(void)
{
	const struct CMUnitTest t[] = {
		cmocka_unit_test(bad_rows_name_their_cell),
		cmocka_unit_test(calendars_come_when_they_say),
		cmocka_unit_test(now_clears_all),
		cmocka_unit_test(one_clock_decides_nothing),
		cmocka_unit_test(done_waits_for_all),
		cmocka_unit_test(namespaces_follow_purges),
		cmocka_unit_test(windows_spread_and_end),
		cmocka_unit_test(first_pieces_come_in_time),
		cmocka_unit_test(disks_and_logs_keep_nothing),
		cmocka_unit_test(each_due_purge_runs_once),
		cmocka_unit_test(nothing_old_is_used),
	};

	apr_initialize();
	return cmocka_run_group_tests(t, NULL, NULL);
}
