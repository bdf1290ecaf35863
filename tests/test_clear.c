/* Clearing of kept context: on schedule and at once, under faults and clocks that jump; judged by what servers used. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "calendar.h"
#include "router_internal.h"
#include "ds.h"
#include "retention.h"
#include "sim.h"

enum { EPOCH = 1800000000 }; /* s; a day in 2027 */

static void ok(struct sim *s)
{
	if (s->bad[0])
		fail_msg("%s", s->bad);
}

static uint64_t seeds_of(uint64_t n, uint64_t *first)
{
	*first = getenv("NL_SEED") ? strtoull(getenv("NL_SEED"), NULL, 10) : 1;
	return getenv("NL_SEEDS") ? strtoull(getenv("NL_SEEDS"), NULL, 10) : n;
}

static void must_change(struct sim *s, const char *body, int64_t ms)
{
	uint64_t e = sim_change(s, body, ms);

	ok(s);
	if (!e)
		fail_msg("seed %llu: not acknowledged within %lld ms: %s", (unsigned long long)s->seed, (long long)ms, body);
}

static const char *const lanes[] = { "arrears", "repairs", "sorting" };

/* Callers ask for a while, some of them again under the same id. */
static void load(struct sim *s, uint64_t *rng, int64_t ms, int gap, int ctrs)
{
	int64_t end = s->now + ms;

	while (s->now < end && !s->bad[0]) {
		int node = SIM_REGS + (int)(core_rand(rng) % (uint64_t)ctrs);
		uint64_t pick = core_rand(rng);
		char id[64];

		if (s->n[node].up && !s->n[node].frozen) {
			snprintf(id, sizeof id, "x%llu", (unsigned long long)++s->token);
			sim_ask(s, node, id, (int)(pick % 4), lanes[pick / 4 % 3], (int)(pick / 12 % 3));
		}
		sim_run(s, 1 + (int64_t)(core_rand(rng) % (uint64_t)(2 * gap)), NULL);
	}
	ok(s);
}

/* Each was told something, and none ran twice: the simulator judges that at every send. */
static void all_told(struct sim *s)
{
	sim_run(s, 9000, NULL);
	ok(s);
	for (ptrdiff_t i = 0; i < arrlen(s->x); i++)
		if (s->x[i].told == SIM_OPEN)
			fail_msg("seed %llu: %s was never told anything", (unsigned long long)s->seed, s->x[i].id);
}

/* The records of clearings, as the controller that knows most has them. */
static const struct retention *records(struct sim *s)
{
	const struct retention *best = NULL;

	for (int i = 0; i < SIM_REGS; i++)
		if (s->n[i].used && s->n[i].up && s->n[i].r && (!best || s->n[i].r->ret.number >= best->number))
			best = &s->n[i].r->ret;
	return best;
}

/* No due time of a scope is cleared twice, and none is passed over: each record takes up where the last one ended. */
static void each_due_once(struct sim *s, const char *scope, int64_t every, int least)
{
	const struct retention *t = records(s);
	int64_t next = 0;
	int n = 0;

	for (ptrdiff_t i = 0; i < arrlen(t->v); i++) {
		const struct Nl__Clearing *c = t->v[i];

		if (strcmp(c->scope, scope) || strcmp(c->by, "schedule"))
			continue;
		if (next && c->due != next)
			fail_msg("seed %llu: %s was due at %lld and cleared for %lld", (unsigned long long)s->seed, scope,
				 (long long)next, (long long)c->due);
		next = c->due + every * (1 + (int64_t)c->missed);
		n += 1 + (int)c->missed;
	}
	if (n < least)
		fail_msg("seed %llu: %s was cleared for %d due times, %d passed", (unsigned long long)s->seed, scope, n, least);
}

static uint64_t clear_now(struct sim *s, const char *scope, int64_t ms)
{
	int64_t end = s->now + ms;
	char body[200];

	snprintf(body, sizeof body, "{\"scope\":\"%s\",\"by\":\"clerk\"}", scope);
	while (s->now < end && !s->bad[0])
		for (int i = 0; i < SIM_REGS; i++)
			if (s->n[i].used && s->n[i].up && !s->n[i].frozen && sim_do(s, i, "POST", "/v1/clear", body, 6000) == 200)
				return records(s)->number;
	return 0;
}

static const struct Nl__Clearing *newest(struct sim *s, const char *scope)
{
	const struct retention *t = records(s);

	for (ptrdiff_t i = arrlen(t->v) - 1; i >= 0; i--)
		if (!strcmp(t->v[i]->scope, scope))
			return t->v[i];
	return NULL;
}

static int kept_at(const struct sim *s, const char *maker, int64_t tick)
{
	int n = 0;

	for (int i = 0; i < SIM_SERVERS; i++)
		for (ptrdiff_t k = 0; k < arrlen(s->sv[i].kept); k++)
			n += (!maker || !strcmp(s->sv[i].kept[k].m, maker)) && (int64_t)s->sv[i].kept[k].t < tick;
	return n;
}

static void now_clears_all(void **st)
{
	struct sim s;
	uint64_t rng = 5, tick;
	const struct Nl__Clearing *c;

	(void)st;
	sim_deploy(&s, 5, 4, 3, 6);
	s.epoch = EPOCH * 1000ll;
	load(&s, &rng, 4000, 20, 3);
	tick = s.n[SIM_REGS].c->relay.k.horizon;
	assert_true(kept_at(&s, NULL, INT64_MAX) > 0);
	assert_int_equal(sim_do(&s, 0, "POST", "/v1/clear", "{\"scope\":\"nolane/t1\"}", 6000), 400);
	assert_int_equal(sim_do(&s, 0, "POST", "/v1/clear", "{\"scope\":\"\"}", 6000), 400);
	assert_true(clear_now(&s, "*", 8000) > 0);
	load(&s, &rng, 15000, 20, 3);
	c = newest(&s, "*/*") ? newest(&s, "*/*") : newest(&s, "*");
	assert_non_null(c);
	assert_true(c->slices == PURGE_SLICES);
	if (!c->done)
		fail_msg("%s", sim_answer(&s, s.token) ? sim_answer(&s, s.token)->body : "not done");
	assert_int_equal(kept_at(&s, NULL, (int64_t)tick), 0);
	all_told(&s);
	assert_true(s.n_whole > 500);
	sim_close(&s);
}

/* Whom the judge holds a clearing against: what was kept before its time must not be used once its slices are in force
 * everywhere: the purge's two seconds, and what a send may be on its way. */
enum { GRACE = 5000 };

/* The newest tick that a part made until now may bear. */
static uint64_t horizon_now(const struct sim *s)
{
	uint64_t h = 0;

	for (int i = SIM_REGS; i < SIM_NODES; i++)
		if (s->n[i].used && s->n[i].up && s->n[i].c && s->n[i].c->relay.k.horizon > h)
			h = s->n[i].c->relay.k.horizon;
	return h;
}

/* Nothing that servers used for a run after a clearing was made before it: the simulator's own judge looks at every
 * reuse and fetch against the clearings in s->clear. */
static void judge(struct sim *s, const char *tenant, const char *service, uint64_t made)
{
	struct sim_clear c = { "", "", made, 0 };

	snprintf(c.tenant, sizeof c.tenant, "%s", tenant);
	snprintf(c.service, sizeof c.service, "%s", service);
	c.after = s->now + GRACE;
	arrput(s->clear, c);
}

/* The first owner's clock, and others', jump about at the due moment; the machines fall, freeze, and lose their disks. */
static void each_due_is_cleared_once(void **st)
{
	uint64_t first, seeds = seeds_of(12, &first);

	(void)st;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct sim s;
		uint64_t rng = seed * 77;
		int hurt = -1, frozen = -1;

		sim_deploy(&s, seed, 4, 3, 6);
		ok(&s);
		s.epoch = EPOCH * 1000ll;
		s.calendar = &calendar_icu;
		for (int i = 0; i < 4; i++)
			s.n[i].r->calendar = &calendar_icu;
		must_change(&s, "{\"set\":[{\"kind\":\"retention\",\"name\":\"*\",\"every\":\"20s\",\"window\":4000}]}", 12000);
		must_change(&s, "{\"set\":[{\"kind\":\"retention\",\"name\":\"*/t1\",\"every\":\"15s\",\"keep\":\"30s\"}]}", 12000);
		for (int k = 0; k < 16; k++) {
			int owner = sim_owner(&s, SHARD_CONTROL);

			load(&s, &rng, 5000, 40, 3);
			if (frozen >= 0)
				sim_freeze(&s, frozen, 0);
			frozen = -1;
			if (hurt >= 0 && !s.n[hurt].up)
				sim_start(&s, hurt);
			switch (core_rand(&rng) % 7) {
			case 0: /* one clock, by hours, both ways; two more keep the time */
				for (int i = 0; i < 4; i++)
					s.n[i].wall_off = 0;
				s.n[core_rand(&rng) % 4].wall_off =
				    (core_rand(&rng) % 2 ? 1 : -1) * (int64_t)(core_rand(&rng) % 10000000);
				break;
			case 1:
				if (owner >= 0) {
					for (int i = 0; i < 4; i++)
						s.n[i].wall_off = 0;
					s.n[owner].wall_off = (core_rand(&rng) % 2 ? 1 : -1) * 7200000;
				}
				break;
			case 2:
				if (owner >= 0)
					sim_crash(&s, hurt = owner, 0);
				break;
			case 3: sim_crash(&s, hurt = (int)(core_rand(&rng) % 4), k % 2); break;
			case 4: sim_freeze(&s, frozen = (int)(core_rand(&rng) % 4), 1); break;
			case 5: sim_freeze(&s, frozen = SIM_REGS + (int)(core_rand(&rng) % 3), 1); break;
			default: clear_now(&s, core_rand(&rng) % 2 ? "*" : "*/t1", 3000); break;
			}
			ok(&s);
		}
		if (frozen >= 0)
			sim_freeze(&s, frozen, 0);
		if (hurt >= 0 && !s.n[hurt].up)
			sim_start(&s, hurt);
		for (int i = 0; i < 4; i++)
			s.n[i].wall_off = 0;
		load(&s, &rng, 5000, 40, 3);
		each_due_once(&s, "*", 20000, 3);
		each_due_once(&s, "*/t1", 15000, 4);
		all_told(&s);
		sim_close(&s);
	}
}

/* A tenant is cleared while others go on, with the faults that a fleet has; what it had is used for nobody. */
static void nothing_old_is_used(void **st)
{
	uint64_t first, seeds = seeds_of(20, &first);

	(void)st;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct sim s;
		uint64_t rng = seed * 131, made;
		char body[300];

		sim_deploy(&s, seed, 4, 3, 6);
		ok(&s);
		s.epoch = EPOCH * 1000ll;
		s.loss = (int)(core_rand(&rng) % 30);
		must_change(&s, "{\"set\":[{\"kind\":\"retention\",\"name\":\"*/t2\",\"every\":\"1d\"}]}", 12000);
		load(&s, &rng, 12000, 15, 3);
		for (int i = 0; i < 6; i++) /* counters must not rely on servers' dropping */
			s.sv[i].hoard = 1;
		switch (seed % 6) { /* what goes wrong as the clearing runs */
		case 0: sim_freeze(&s, SIM_REGS, 1); break;
		case 1: sim_cut(&s, SIM_REGS + 1, 1); break;
		case 2: sim_crash(&s, sim_owner(&s, SHARD_PURGE), 0); break;
		case 3: sim_crash(&s, sim_owner(&s, SHARD_CONTROL), seed % 2 ? 1 : 0); break;
		case 4: s.sv[1].up = 0; break; /* and comes back with what it had */
		default:                       /* a wall and a roll-out at the same time */
			snprintf(
			    body, sizeof body,
			    "{\"set\":[{\"kind\":\"service\",\"name\":\"repairs\",\"weights\":\"w2\",\"prefill\":20,\"kv_bytes\":400,\"link\":100000},"
			    "{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":1,\"limit\":100,\"walled\":true}]}");
			must_change(&s, body, 12000);
		}
		made = horizon_now(&s);
		if (!clear_now(&s, seed % 2 ? "*/t2" : "arrears/*", 9000))
			fail_msg("seed %llu: no clearing is taken", (unsigned long long)seed);
		judge(&s, seed % 2 ? "t2" : "", seed % 2 ? "" : "arrears", made);
		load(&s, &rng, 6000, 15, 3);
		made = horizon_now(&s);
		if (!clear_now(&s, "*", 9000))
			fail_msg("seed %llu: no second clearing is taken", (unsigned long long)seed);
		judge(&s, "", "", made);
		load(&s, &rng, 4000, 15, 3);
		for (int i = 0; i < SIM_REGS + 3; i++)
			if (s.n[i].used && !s.n[i].up)
				sim_start(&s, i);
		sim_freeze(&s, SIM_REGS, 0);
		sim_cut(&s, SIM_REGS + 1, 0);
		s.sv[1].up = 1;
		load(&s, &rng, 4000, 15, 3);
		for (int i = 0; i < 6; i++)
			s.sv[i].hoard = 0;
		load(&s, &rng, 10000, 15, 3);
		all_told(&s);
		assert_true(s.n_judged > 100);
		if (!newest(&s, "*")->done)
			fail_msg("seed %llu: it is never said to be done", (unsigned long long)seed);
		sim_close(&s);
	}
}

/* What a row may not say is refused whole, and the cell is named. */
static void bad_rows_name_their_cell(void **st)
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
		{ "*", "", "1h", "daily 02:30 UTC", "every: not beside at", 0 },
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
	struct table t;
	struct Nl__Row tenant = NL__ROW__INIT, lane = NL__ROW__INIT, r, *set[2] = { &tenant, &lane }, *one[1] = { &r };
	struct Nl__Change c = NL__CHANGE__INIT;
	struct Nl__Purge **feed = NULL;
	apr_pool_t *p;

	(void)st;
	apr_pool_create(&p, NULL);
	table_open(&t);
	tenant.kind = NL__KIND__TENANT;
	tenant.name = (char *)(uintptr_t) "t1";
	tenant.share = 1;
	lane.kind = NL__KIND__LANE;
	lane.name = lane.service = (char *)(uintptr_t) "arrears";
	lane.limit = 1;
	c.any = 1;
	c.set = set;
	c.n_set = 2;
	assert_int_equal(table_apply(&t, &c, &feed), TABLE_DONE);
	c.set = one;
	c.n_set = 1;
	for (size_t i = 0; i <= sizeof bad / sizeof *bad; i++) {
		int good = i == sizeof bad / sizeof *bad;
		const char *why;

		nl__row__init(&r);
		r.kind = NL__KIND__RETENTION;
		r.name = (char *)(uintptr_t)(good ? "arrears/t1" : bad[i].name);
		r.keep = (char *)(uintptr_t)(good ? "26h" : bad[i].keep);
		r.every = (char *)(uintptr_t)(good ? "" : bad[i].every);
		r.at = (char *)(uintptr_t)(good ? "daily 02:30 Europe/London" : bad[i].at);
		r.window = good ? 3600000 : bad[i].window;
		why = table_check(&t, &c, p);
		if (!why)
			why = retention_check(&calendar_icu, &c, EPOCH * 1000ll, p);
		if (good ? why != NULL : !why || !strstr(why, bad[i].why) || !strstr(why, "retention"))
			fail_msg("row %d: %s, not %s", (int)i, why ? why : "taken", good ? "taken" : bad[i].why);
	}
	table_close(&t);
	apr_pool_destroy(p);
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

static void calendars_come_when_they_say(void **st)
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
		{ "daily 02:30 Europe/Berlin", utc(2027, 10, 30, 12, 0), utc(2027, 10, 31, 0, 30) }, /* twice: the first counts */
		{ "daily 02:30 Europe/Berlin", utc(2027, 10, 31, 0, 30), utc(2027, 11, 1, 1, 30) },
		{ "yearly 02-30 12:00 UTC", utc(2027, 1, 1, 0, 0), 0 },
	};

	(void)st;
	for (size_t i = 0; i < sizeof c / sizeof *c; i++)
		if (calendar_icu.next(c[i].text, c[i].from) != c[i].due)
			fail_msg("%s after %lld: %lld, not %lld", c[i].text, (long long)c[i].from,
				 (long long)calendar_icu.next(c[i].text, c[i].from), (long long)c[i].due);
}

static const char *cache_namespace(struct router *c, struct client_request *x, uint32_t weights, apr_pool_t *p, const char *tenant)
{
	x->tenant = (uint32_t)names_find(&c->tenants, tenant);
	return router_cache_namespace(c, x, weights, p);
}

static int missing_says(struct sim *s, const char *text)
{
	int at = sim_owner(s, SHARD_CONTROL), found;
	apr_pool_t *p;

	assert_true(at >= 0);
	apr_pool_create(&p, NULL);
	found = strstr(retention_json(s->n[at].r, s->now + s->n[at].skew, p), text) != NULL;
	apr_pool_destroy(p);
	return found;
}

/* Done is said of no clearing that a counter has not heard, or after which a server has not said what it keeps. */
static void done_waits_for_all(void **st)
{
	struct sim s;
	uint64_t rng = 41;

	(void)st;
	sim_deploy(&s, 41, 4, 3, 6);
	s.epoch = EPOCH * 1000ll;
	load(&s, &rng, 9000, 20, 3); /* and the owner has been in office for long */
	s.sv[2].mute = 1;
	assert_true(clear_now(&s, "*", 9000) > 0);
	load(&s, &rng, 9000, 20, 3);
	assert_true(newest(&s, "*")->slices == PURGE_SLICES && !newest(&s, "*")->done);
	assert_true(missing_says(&s, "server s2 has not said since what it keeps"));
	s.sv[2].mute = 0;
	load(&s, &rng, 6000, 20, 3);
	assert_true(newest(&s, "*")->done);
	sim_freeze(&s, SIM_REGS + 1, 1);
	assert_true(clear_now(&s, "*", 9000) > 0);
	for (int i = 0; i < 6; i++)
		s.sv[i].late = 2500; /* what drops came of is seen late */
	sim_run(&s, 2000, NULL);
	assert_false(newest(&s, "*")->done);
	assert_true(missing_says(&s, "has not heard of it yet"));
	assert_true(missing_says(&s, "server s"));
	for (int i = 0; i < 6; i++)
		s.sv[i].late = 0;
	sim_run(&s, 2500, NULL);
	assert_false(newest(&s, "*")->done);
	assert_true(missing_says(&s, "has not heard of it yet"));
	assert_false(missing_says(&s, "server s"));
	sim_freeze(&s, SIM_REGS + 1, 0);
	load(&s, &rng, 6000, 20, 3);
	assert_true(newest(&s, "*")->done);
	all_told(&s);
	sim_close(&s);
}

/* Where a forwarded send is filed: by its scope, its slice and the clearings that cover them. */
static void shelves_follow_clearings(void **st)
{
	struct sim s;
	struct router *c;
	struct client_request x;
	apr_pool_t *p;
	const char *t1, *t2, *again;
	uint64_t rng = 9;
	uint32_t w, old = 0;

	(void)st;
	apr_pool_create(&p, NULL);
	sim_deploy(&s, 9, 4, 1, 3);
	s.epoch = EPOCH * 1000ll;
	c = s.n[SIM_REGS].c;
	memset(&x, 0, sizeof x);
	x.lane = (uint32_t)names_find(&c->lanes, "arrears");
	x.service = (uint32_t)names_find(&c->services, "arrears");
	x.nparts = 2;
	x.hash[0] = 12345;
	w = (uint32_t)names_find(&c->weights, "w1");
	t1 = cache_namespace(c, &x, w, p, "t1");
	assert_string_equal(t1, cache_namespace(c, &x, w, p, "t2")); /* no row: all on one cache_namespace, and named as ever */
	assert_null(strchr(t1, '~'));
	must_change(&s, "{\"set\":[{\"kind\":\"retention\",\"name\":\"*/t1\",\"every\":\"12s\"}]}", 12000);
	sim_run(&s, 1000, NULL);
	assert_string_not_equal(cache_namespace(c, &x, w, p, "t1"), t1);
	assert_string_equal(cache_namespace(c, &x, w, p, "t2"), t1);
	/* the first clearing of a row takes the common cache namespaces along: what t1 left there before is found by nobody */
	while (!records(&s)->number)
		load(&s, &rng, 500, 50, 1);
	load(&s, &rng, 2000, 50, 1);
	t2 = cache_namespace(c, &x, w, p, "t2");
	assert_string_not_equal(t2, t1);
	/* the next leaves them alone */
	t1 = cache_namespace(c, &x, w, p, "t1");
	while (records(&s)->number < 2)
		load(&s, &rng, 500, 50, 1);
	load(&s, &rng, 2000, 50, 1);
	assert_string_not_equal(cache_namespace(c, &x, w, p, "t1"), t1);
	assert_string_equal(cache_namespace(c, &x, w, p, "t2"), t2);
	/* of a lane: what the tenant of a row has there goes too, what it has elsewhere stays */
	t1 = cache_namespace(c, &x, w, p, "t1");
	assert_true(clear_now(&s, "arrears/t1", 9000) > 0);
	sim_run(&s, 2000, NULL);
	assert_string_not_equal(cache_namespace(c, &x, w, p, "t1"), t1);
	assert_string_not_equal(cache_namespace(c, &x, w, p, "t2"), t2); /* that scope has no row: all common cache namespaces */
	/* its row goes and comes back: nothing of before is found again */
	t1 = cache_namespace(c, &x, w, p, "t1");
	must_change(&s, "{\"del\":[{\"kind\":\"retention\",\"name\":\"*/t1\"}]}", 12000);
	sim_run(&s, 2000, NULL);
	assert_string_equal(cache_namespace(c, &x, w, p, "t1"), cache_namespace(c, &x, w, p, "t2"));
	must_change(&s, "{\"set\":[{\"kind\":\"retention\",\"name\":\"*/t1\",\"every\":\"1d\"}]}", 12000);
	sim_run(&s, 2000, NULL);
	again = cache_namespace(c, &x, w, p, "t1");
	assert_string_not_equal(again, t1);
	/* slices end alike, so that what prompts share is shared again */
	x.hash[0] = 12346;
	assert_string_equal(again, cache_namespace(c, &x, w, p, "t1"));
	ok(&s);
	/* the head of a zone sees in its index what servers still name of before, and nothing else, in a few thousand rows a tick */
	c->b.instances = 1;
	c->f.nup = 0;
	for (uint64_t i = 0; i < 5000; i++)
		kept_put(&c->kept, 1000 + i,
			 &(struct kept_copy){ (uint32_t)(i % 2), 0, 0, 0, 0, router_filed_text(i % 1000 == 7 ? t1 : again) });
	for (int i = 0; i < 200; i++)
		router_retention_tick(c, s.now + s.n[SIM_REGS].skew + 25 * i);
	assert_true(c->f.index);
	for (ptrdiff_t i = 0; i < arrlen(c->f.left); i++) {
		assert_true(c->f.left[i].parts == 0 ||
			    (c->f.left[i].parts == 5 && c->f.left[i].scope == router_filed_text(t1) >> 32 &&
			     c->f.left[i].number == (router_filed_text(t1) & UINT32_MAX)));
		old += c->f.left[i].parts;
	}
	assert_int_equal(old, 5);
	sim_close(&s);
	apr_pool_destroy(p);
}

static int told_of_content;

static void no_content(void *ctx, const char *prefix, const char *line)
{
	(void)ctx;
	(void)prefix;
	told_of_content += strstr(line, "matter") || strstr(line, "secret-") || strstr(line, "quite long as such");
}

/* On how many disks a text stands, in entries or snapshots. */
static int disks_with(const struct sim *s, const char *text)
{
	size_t m = strlen(text);
	int n = 0;

	for (int i = 0; i < SIM_REGS; i++) {
		int here = 0;

		for (int k = 0; k < SHARD_COUNT; k++) {
			const struct sim_disk_part *d = &s->n[i].disk.p[k];

			for (size_t q = 0; q + m <= d->data_len; q++)
				here |= !memcmp(d->data + q, text, m);
			for (ptrdiff_t e = 0; e < arrlen(d->e); e++)
				for (size_t q = 0; q + m <= d->e[e].len; q++)
					here |= !memcmp(d->e[e].data + q, text, m);
		}
		n += here;
	}
	return n;
}

/* Ids that were claimed before a clearing are on no disk once their claims have run out, though nobody asks any more; no
 * line of a log tells of content; usage that names who was cleared is gone. */
static void disks_and_logs_keep_nothing(void **st)
{
	struct sim s;
	char id[40];

	(void)st;
	sim_deploy(&s, 11, 4, 2, 3);
	s.epoch = EPOCH * 1000ll;
	for (int i = 0; i < SIM_REGS + 2; i++) {
		if (s.n[i].r)
			s.n[i].r->log = no_content;
		if (s.n[i].c)
			s.n[i].c->log = no_content;
	}
	for (int i = 0; i < 60; i++) {
		snprintf(id, sizeof id, "secret-%d", i);
		sim_ask(&s, SIM_REGS + i % 2, id, i % 4, lanes[i % 3], 0);
		sim_run(&s, 50, NULL);
	}
	sim_run(&s, 3000, NULL);
	assert_true(disks_with(&s, "secret-") >= 2);
	assert_true(clear_now(&s, "*", 9000) > 0);
	sim_run(&s, 3000, NULL);
	for (int i = SIM_REGS; i < SIM_REGS + 2; i++)
		assert_int_equal(hmlen(s.n[i].c->use), 0);
	sim_run(&s, 30000, NULL);
	ok(&s);
	assert_true(disks_with(&s, "secret-") >= 2); /* once still means once */
	sim_run(&s, CONTROLLER_CLAIM_KEEP + 30000, NULL);
	ok(&s);
	assert_int_equal(disks_with(&s, "secret-"), 0);
	assert_int_equal(told_of_content, 0);
	all_told(&s);
	sim_close(&s);
}

/* A window spreads a clearing: its slices come at half its pace while lines are short, and all are in force at its end even
 * where they are long, which is said. */
static void windows_spread_and_end(void **st)
{
	(void)st;
	for (int strained = 0; strained < 2; strained++) {
		struct sim s;
		uint64_t rng = 21;
		const struct Nl__Clearing *c;
		int64_t began;

		sim_deploy(&s, 21, 4, 3, 3);
		s.epoch = EPOCH * 1000ll;
		must_change(&s, "{\"set\":[{\"kind\":\"retention\",\"name\":\"*\",\"every\":\"40s\",\"window\":16000}]}", 12000);
		while (!newest(&s, "*"))
			load(&s, &rng, 100, 40, 3);
		for (int i = 0; strained && i < 3; i++)
			s.sv[i].slow = 400;
		began = s.now;
		load(&s, &rng, 3500, strained ? 4 : 40, 3);
		c = newest(&s, "*");
		assert_true(c->slices >= 2 && c->slices < 6);
		load(&s, &rng, 6500, strained ? 4 : 40, 3);
		assert_true(strained ? c->slices < PURGE_SLICES && c->late : c->slices == PURGE_SLICES && !c->late);
		load(&s, &rng, began + 16000 - s.now, strained ? 4 : 40, 3);
		assert_int_equal(newest(&s, "*")->slices, PURGE_SLICES);
		sim_close(&s);
	}
}

static int by_time(const void *a, const void *b)
{
	return *(const int64_t *)a < *(const int64_t *)b ? -1 : *(const int64_t *)a > *(const int64_t *)b;
}

/* Of all that were answered: the time that so many of a hundred waited for their first piece at the most. */
static int64_t first_piece(const struct sim *s, int of_100)
{
	int64_t *v = NULL, ms;

	for (ptrdiff_t i = 0; i < arrlen(s->x); i++)
		if (s->x[i].first_at)
			arrput(v, s->x[i].first_at - s->x[i].asked_at);
	assert_true(arrlen(v) > 500);
	qsort(v, (size_t)arrlen(v), sizeof *v, by_time);
	ms = v[(arrlen(v) - 1) * of_100 / 100];
	arrfree(v);
	return ms;
}

/* The same day with and without clearings: each is answered once, and 90 in 100 wait for their first piece no longer, those
 * that read a slice anew no longer than such a reading takes. */
static void first_pieces_come_in_time(void **st)
{
	int64_t most[2][2];

	(void)st;
	for (int on = 0; on < 2; on++) {
		struct sim s;
		uint64_t rng = 33;

		sim_deploy(&s, 33, 4, 3, 6);
		s.epoch = EPOCH * 1000ll;
		s.read_ms = 5;
		if (on)
			must_change(&s, "{\"set\":[{\"kind\":\"retention\",\"name\":\"*\",\"every\":\"20s\",\"window\":8000}]}",
				    12000);
		else
			must_change(&s, "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t3\",\"share\":1,\"limit\":99}]}", 12000);
		load(&s, &rng, 60000, 20, 3);
		all_told(&s);
		most[on][0] = first_piece(&s, 90);
		most[on][1] = first_piece(&s, 99);
		assert_int_equal(s.n_unknown, 0);
		assert_int_equal(s.n_refused, 0);
		assert_true(!on || records(&s)->number >= 2);
		sim_close(&s);
	}
	print_message("first piece of 90 and 99 in 100: %lld and %lld ms without clearing, %lld and %lld ms with one each 20 s\n",
		      (long long)most[0][0], (long long)most[0][1], (long long)most[1][0], (long long)most[1][1]);
	assert_true(most[1][0] <= most[0][0] + 30);
	assert_true(most[1][1] <= most[0][1] + 60 * 5 + 30);
}

/* One clock of the voters, the decider's own too, runs nothing early; a due time that was taken is refused. */
static void one_clock_decides_nothing(void **st)
{
	struct sim s;
	struct Nl__Clear c = NL__CLEAR__INIT;
	struct Nl__Planned *plan;
	int at;

	(void)st;
	sim_deploy(&s, 51, 4, 1, 3);
	s.epoch = EPOCH * 1000ll;
	must_change(&s, "{\"set\":[{\"kind\":\"retention\",\"name\":\"*\",\"every\":\"1h\"}]}", 12000);
	sim_run(&s, 2000, NULL);
	at = sim_owner(&s, SHARD_CONTROL);
	for (int k = 0; k < 4; k++) {
		s.n[k].wall_off = 7200000;
		sim_run(&s, 2000, NULL);
		assert_int_equal(records(&s)->number, 0);
		s.n[k].wall_off = -7200000;
		sim_run(&s, 2000, NULL);
		s.n[k].wall_off = 0;
	}
	assert_true(at >= 0 && arrlen(s.n[at].r->ret.plan) == 1);
	plan = s.n[at].r->ret.plan[0];
	c.step = NL__CLEAR_STEP__CLEAR_DUE;
	c.scope = plan->scope;
	c.due = plan->due - 3600000;
	c.next = plan->due + 3600000;
	assert_int_equal(retention_apply(s.n[at].r, 1, &c), TABLE_REFUSED);
	ok(&s);
	sim_close(&s);
}

int main(void)
{
	const struct CMUnitTest t[] = {
		cmocka_unit_test(bad_rows_name_their_cell),
		cmocka_unit_test(calendars_come_when_they_say),
		cmocka_unit_test(now_clears_all),
		cmocka_unit_test(one_clock_decides_nothing),
		cmocka_unit_test(done_waits_for_all),
		cmocka_unit_test(shelves_follow_clearings),
		cmocka_unit_test(windows_spread_and_end),
		cmocka_unit_test(first_pieces_come_in_time),
		cmocka_unit_test(disks_and_logs_keep_nothing),
		cmocka_unit_test(each_due_is_cleared_once),
		cmocka_unit_test(nothing_old_is_used),
	};

	apr_initialize();
	return cmocka_run_group_tests(t, NULL, NULL);
}
