/* Servers that come from a list, and their weights' roll-out, under seeded virtual time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "ds.h"
#include "router_internal.h"
#include "sim.h"

enum { REGS = 4, CTRS = 6, SERVERS = 18, STEP = 20 };

static uint64_t seeds(uint64_t n)
{
	const char *e = getenv("NL_SEEDS");

	return e ? strtoull(e, NULL, 10) : n;
}

static uint64_t dice(uint64_t *s, uint64_t n) { return core_rand(s) % n; }

/* ---- the judge ------------------------------------------------------------------ */

/* What a counter knew of each server, and since when it has been in touch. */
struct judge {
	int state[SIM_NODES][256];
	uint64_t life[SIM_NODES];
	int64_t calm[SIM_NODES]; /* in touch since */
	int64_t unsettled;       /* last trouble of the core, or of the list */
	int64_t drained_worst;
};

static void judge_one(struct sim *s, struct judge *j, int node, int i)
{
	struct sim_inst *v = &s->list.v[i];
	const struct Nl__Instance *x = instances_get(&s->n[node].c->f.instances, v->name);
	int was = j->state[node][i], is = !x ? -1 : (int)x->state;

	/* state as judged: 0 never seen, 1 serving, 2 draining, 3 gone or forgotten after it */
	is = is < 0 ? (was >= 2 || (was && v->ended && s->now > v->ended + s->list.lag) ? 3 : 0) : is + 1;
	if (was == 1 && is == 0)
		sim_breach(s, "counter %d loses server %s", node, v->name);
	if (was >= 2 && is == 1)
		sim_breach(s, "counter %d: server %s serves again", node, v->name);
	if (is == 3 && was != 3 && !v->ended)
		sim_breach(s, "counter %d: server %s is gone, but stands on the list", node, v->name);
	if (is == 1 && s->now - j->calm[node] > 3000 && s->now - j->unsettled > 3000) {
		int64_t shown = v->draining ? v->drained + s->list.lag : v->ended ? v->ended + s->list.lag : 0;

		if (shown && s->now - shown > j->drained_worst && shown > j->unsettled)
			j->drained_worst = s->now - shown;
		if (shown && s->now - shown > s->b.drain_ms)
			sim_breach(s, "counter %d: server %s serves %lld ms after the list showed that it leaves", node, v->name,
				   (long long)(s->now - shown));
		if (s->now - j->calm[node] > 6000 && s->now - j->unsettled > 6000 && x && strcmp(x->weights, v->weights) &&
		    s->now - v->changed > 3000)
			sim_breach(s, "counter %d: server %s has %s, not %s", node, v->name, v->weights, x->weights);
	}
	if (!is && v->up && !v->draining && s->now - v->born > 6000 && s->now - j->calm[node] > 6000 &&
	    s->now - j->unsettled > 8000)
		sim_breach(s, "counter %d doesn't know server %s", node, v->name);
	j->state[node][i] = is;
}

static void judge(struct sim *s, struct judge *j)
{
	for (int n = SIM_REGS; n < SIM_NODES; n++) {
		if (!s->n[n].used)
			continue;
		if (!s->n[n].up || s->n[n].life != j->life[n]) {
			memset(j->state[n], 0, sizeof j->state[n]);
			j->life[n] = s->n[n].life;
			j->calm[n] = s->now;
		}
		if (!s->n[n].up || s->n[n].frozen || s->n[n].cell)
			j->calm[n] = s->now;
		for (int i = 0; i < arrlen(s->list.v) && i < 256 && s->n[n].up && s->n[n].c && !s->n[n].frozen; i++)
			judge_one(s, j, n, i);
	}
	for (int n = 0; n < SIM_REGS; n++)
		if (s->n[n].used && (!s->n[n].up || s->n[n].frozen || s->n[n].cell))
			j->unsettled = s->now;
	for (int n = 0; n < REGS * REGS; n++)
		if (s->link_cut[n / REGS][n % REGS])
			j->unsettled = s->now;
	if (s->now < s->list.away_until)
		j->unsettled = s->now;
}

/* Weights that are called rolled out are at every server that has been listed for long. */
static void judge_rolled(struct sim *s)
{
	int at = sim_owner(s, SHARD_CONTROL);
	const struct Nl__Row *m = at < 0 ? NULL : table_get(&s->n[at].r->ctl, NL__KIND__MODEL, "lm");

	for (ptrdiff_t i = 0; m && m->rolled[0] && i < arrlen(s->list.v); i++)
		if (s->list.v[i].up && !s->list.v[i].draining && s->now - s->list.v[i].born > 3000 &&
		    strcmp(s->list.v[i].weights, m->rolled) < 0)
			sim_breach(s, "%s is called rolled out, but server %s has %s", m->rolled, s->list.v[i].name,
				   s->list.v[i].weights);
}

static void go(struct sim *s, struct judge *j, int64_t ms)
{
	for (int64_t end = s->now + ms; s->now < end;) {
		if (!sim_run(s, STEP, NULL))
			fail_msg("%s", s->bad);
		judge(s, j);
		judge_rolled(s);
		if (s->bad[0])
			fail_msg("%s", s->bad);
	}
}

/* ---- fleets ----------------------------------------------------------------------- */

static void name_weights(struct sim *s, const char *weights)
{
	struct Nl__Change c = NL__CHANGE__INIT;
	struct Nl__Row m = NL__ROW__INIT, v = NL__ROW__INIT, *set[2] = { &m, &v };

	m.kind = NL__KIND__MODEL;
	m.name = "lm";
	m.weights = (char *)weights;
	m.rolled = strcmp(weights, "1") ? (char *)"1" : (char *)"";
	m.addr = "127.0.0.1:1";
	m.id = 1;
	v.kind = NL__KIND__SERVICE;
	v.name = "pool";
	v.model = "lm";
	v.weights = "0";
	v.prefill = v.kv_bytes = v.link = 100;
	c.any = 1;
	c.set = set;
	c.n_set = 2;
	if (!sim_propose(s, &c, 12000))
		fail_msg("seed %llu: %s: not named", (unsigned long long)s->seed, s->bad);
}

static const char *zones[] = { "z1", "z2", "z3", "z4" };

static void fleet(struct sim *s, struct judge *j, uint64_t seed, int roll_ms, int load_ms)
{
	uint64_t at[3];

	memset(j, 0, sizeof *j);
	sim_open(s, seed);
	s->b.instances = 1;
	s->b.list_mille = 47000;
	s->b.roll_ms = roll_ms;
	s->list.load_ms = load_ms;
	for (int k = 0; k < 3; k++) {
		char buf[32];

		snprintf(buf, sizeof buf, "127.0.1.%d:7000", k + 1);
		at[k] = core_addr(buf);
	}
	for (int i = 0; i < REGS; i++)
		sim_registrar(s, zones[i], at, 3);
	sim_run(s, 200, NULL);
	assert_int_equal(sim_do(s, 0, "POST", "/v1/found", "{}", 10000), 200);
	for (int i = 0; i < SERVERS; i++)
		sim_inst(s, "pool", zones[i % 4], "1");
	for (int i = 0; i < CTRS; i++)
		sim_counter(s, zones[i % 4]);
	name_weights(s, "1");
	sim_run(s, 9000, NULL);
	go(s, j, 1000);
	for (int n = SIM_REGS; n < SIM_REGS + CTRS; n++)
		for (int i = 0; i < SERVERS; i++)
			assert_int_equal(j->state[n][i], 1);
}

/* How long after the naming the last server had the weights; -1: one hasn't. */
static int64_t all_have(struct sim *s, const char *weights, int64_t named)
{
	int64_t last = 0;

	for (ptrdiff_t i = 0; i < arrlen(s->list.v); i++) {
		struct sim_inst *v = &s->list.v[i];

		if (!v->up || v->draining)
			continue;
		if (strcmp(v->weights, weights))
			return -1;
		if (v->changed > named && v->changed - named > last)
			last = v->changed - named;
	}
	return last;
}

static const char *rolled(struct sim *s)
{
	int at = sim_owner(s, SHARD_CONTROL);
	const struct Nl__Row *m = at < 0 ? NULL : table_get(&s->n[at].r->ctl, NL__KIND__MODEL, "lm");

	return m ? m->rolled : "";
}

/* ---- tests ------------------------------------------------------------------------- */

static void a_calm_roll_out(void **st)
{
	static const struct {
		int roll, load;
	} site[] = { { 12000, 1100 }, { 15000, 1800 } };

	(void)st;
	for (uint64_t seed = 1; seed <= seeds(8); seed++) {
		struct sim s;
		struct judge j;
		int64_t named, last;

		fleet(&s, &j, seed, site[seed % 2].roll, site[seed % 2].load);
		assert_int_equal(s.list.n_order, 0);
		s.list.dated = seed % 4 < 2 ? 100 : 500;
		name_weights(&s, "2");
		named = s.now;
		go(&s, &j, s.b.roll_ms);
		last = all_have(&s, "2", named);
		if (seed < 3)
			print_message("seed %d: load %d ms: all have it after %lld ms, %d at once, %d orders, %d looks, %d lists\n",
				      (int)seed, s.list.load_ms, (long long)last, s.list.most, (int)s.list.n_order,
				      (int)s.list.n_look, (int)s.list.n_list);
		assert_true(last >= 0);
		assert_int_equal(s.list.n_load, SERVERS);
		assert_int_equal(s.list.n_order, SERVERS);
		assert_int_equal(s.list.n_under, SERVERS); /* no server waits for the end of what runs there */
		go(&s, &j, 2000);
		assert_string_equal(rolled(&s), "2");
		assert_int_equal(s.list.n_order, SERVERS);
		for (int i = 0; i < SERVERS; i++) {
			const struct Nl__Instance *x = instances_get(&s.n[SIM_REGS].c->f.instances, s.list.v[i].name);

			assert_non_null(x);
			assert_string_equal(x->weights, "2");
			assert_int_equal(x->loading, 0);
		}
		sim_close(&s);
	}
}

/* Where more at once don't slow each other down, more are told from early on, rather than all that are left at the end. */
static void more_at_once_where_it_helps(void **st)
{
	struct sim s;
	struct judge j;
	int64_t named, last;

	(void)st;
	fleet(&s, &j, 3, 10000, 1800);
	s.list.at_once = SERVERS;
	name_weights(&s, "2");
	named = s.now;
	go(&s, &j, s.b.roll_ms);
	last = all_have(&s, "2", named);
	print_message("no slower with more: all have it after %lld ms, %d at once, %d orders\n", (long long)last, s.list.most,
		      (int)s.list.n_order);
	assert_true(last >= 0 && last < s.b.roll_ms * ROLLOUT_PLAN / 100);
	assert_true(s.list.most <= 6);
	sim_close(&s);
}

/* A server that does another's order takes none: it is told again when a look says that it is done. */
static void a_busy_server_is_told_later(void **st)
{
	struct sim s;
	struct judge j;
	int64_t named;

	(void)st;
	fleet(&s, &j, 9, 15000, 1100);
	snprintf(s.list.v[0].loading, sizeof s.list.v[0].loading, "0");
	name_weights(&s, "2");
	named = s.now;
	go(&s, &j, 10000);
	assert_string_equal(rolled(&s), "1");
	assert_true(s.list.n_busy > 0 && s.list.n_busy < 3);
	s.list.v[0].loading[0] = 0;
	go(&s, &j, 5000);
	assert_true(all_have(&s, "2", named) >= 0);
	go(&s, &j, 1000);
	assert_string_equal(rolled(&s), "2");
	assert_int_equal(s.list.n_load, SERVERS);
	sim_close(&s);
}

/* The rollout is killed, frozen or cut off at any moment of a roll-out; orders and answers get lost. */
static void the_giver_is_lost(void **st)
{
	int64_t worst = 0;

	(void)st;
	for (uint64_t seed = 1; seed <= seeds(24); seed++) {
		struct sim s;
		struct judge j;
		uint64_t d = seed * 31;
		int64_t named, last;
		int at, how = (int)(seed % 5); /* 4: from the other controllers alone */

		fleet(&s, &j, seed, seed / 4 % 2 ? 12000 : 15000, seed / 4 % 2 ? 1100 : 1800);
		s.list.lossy = seed % 3 ? 0 : 200;
		name_weights(&s, "2");
		named = s.now;
		go(&s, &j, (int64_t)dice(&d, 8000));
		at = sim_owner(&s, SHARD_CONTROL);
		if (at >= 0 && how == 0)
			sim_crash(&s, at, 0);
		else if (at >= 0 && how == 1)
			sim_freeze(&s, at, 1);
		else if (at >= 0 && how == 2)
			sim_cut(&s, at, 1);
		else if (at >= 0 && how == 3)
			sim_crash(&s, at, 1);
		for (int k = 0; at >= 0 && how == 4 && k < REGS; k++)
			s.link_cut[at][k] = s.link_cut[k][at] = k != at;
		go(&s, &j, 2000 + (int64_t)dice(&d, 4000));
		if (at >= 0 && (how == 0 || how == 3))
			sim_start(&s, at);
		else if (at >= 0 && how == 1)
			sim_freeze(&s, at, 0);
		else if (at >= 0)
			sim_cut(&s, at, 0);
		memset(s.link_cut, 0, sizeof s.link_cut);
		go(&s, &j, 20000);
		last = all_have(&s, "2", named);
		if (last < 0)
			fail_msg("seed %llu: not every server has the weights", (unsigned long long)seed);
		if (last > worst)
			worst = last;
		if (last > s.b.roll_ms)
			fail_msg("seed %llu: all have it after %lld ms", (unsigned long long)seed, (long long)last);
		assert_string_equal(rolled(&s), "2");
		assert_int_equal(s.list.n_load, SERVERS);
		sim_close(&s);
	}
	print_message("the giver lost in a roll-out: all have it after at most %lld ms\n", (long long)worst);
}

/* New weights are named while the last ones still go out: the newest count, and nothing is loaded twice. */
static void named_again_in_a_roll_out(void **st)
{
	(void)st;
	for (uint64_t seed = 1; seed <= seeds(8); seed++) {
		struct sim s;
		struct judge j;
		uint64_t d = seed * 77;
		int64_t named;

		fleet(&s, &j, seed, 15000, 1800);
		s.list.at_once = 6; /* with 3 the servers would be loading for most of the bound, were they told at once */
		s.list.lossy = seed % 2 ? 0 : 150;
		name_weights(&s, "2");
		go(&s, &j, (int64_t)dice(&d, 9000));
		name_weights(&s, "3");
		named = s.now;
		go(&s, &j, s.b.roll_ms);
		if (all_have(&s, "3", named) < 0)
			fail_msg("seed %llu: not every server has the newest weights in time", (unsigned long long)seed);
		assert_true(s.list.n_load <= 2 * SERVERS);
		go(&s, &j, 2000);
		assert_string_equal(rolled(&s), "3");
		sim_close(&s);
	}
}

/* Servers come, drain, crash and are replaced while the list lags, refuses, is slow or away, and controllers fall. */
static void servers_come_and_go(void **st)
{
	int64_t worst = 0;

	(void)st;
	for (uint64_t seed = 1; seed <= seeds(16); seed++) {
		struct sim s;
		struct judge j;
		uint64_t d = seed * 131;
		int down = -1, held = -1, cut = -1;

		fleet(&s, &j, seed, 15000, 1800);
		s.list.refuse = seed % 3 ? 0 : 150;
		s.list.slow = seed % 4 == 1 ? 300 : 0;
		s.loss = seed % 5 ? 0 : 50;
		for (int step = 0; step < 40; step++) {
			int i = (int)dice(&d, (uint64_t)arrlen(s.list.v));
			struct sim_inst *v = &s.list.v[i];

			switch (dice(&d, 8)) {
			case 0:
			case 1:
				if (v->up && !v->draining)
					sim_inst_drain(&s, i);
				break;
			case 2:
				if (v->up && (!v->draining || s.now - v->drained > 2000))
					sim_inst_end(&s, i, v->draining ? 0 : 2000);
				break;
			case 3:
			case 4: sim_inst(&s, "pool", zones[step % 4], "1"); break;
			case 5:
				if (seed % 2 && step % 4 == 0)
					s.list.away_until = s.now + 2000;
				break;
			case 6: {
				int at = sim_owner(&s, SHARD_CONTROL);

				if (at >= 0 && down < 0 && held < 0 && cut < 0 && step % 2) {
					if (seed % 3 == 0)
						sim_crash(&s, down = at, 0);
					else if (seed % 3 == 1)
						sim_freeze(&s, held = at, 1);
					else
						sim_cut(&s, cut = at, 1);
				}
				break;
			}
			default:
				if (step % 3 == 0) {
					int n = SIM_REGS + (int)dice(&d, CTRS);

					sim_crash(&s, n, 0);
					sim_start(&s, n);
				}
			}
			go(&s, &j, 200 + (int64_t)dice(&d, 1800));
			if (step % 6 == 5) {
				if (down >= 0)
					sim_start(&s, down);
				if (held >= 0)
					sim_freeze(&s, held, 0);
				if (cut >= 0)
					sim_cut(&s, cut, 0);
				down = held = cut = -1;
			}
		}
		go(&s, &j, 12000);
		if (j.drained_worst > worst)
			worst = j.drained_worst;
		assert_int_equal(s.list.n_order, 0);
		sim_close(&s);
	}
	print_message("drains reach every counter after at most %lld ms\n", (long long)worst);
}

/* A server that has seen a higher fence: its rollout is not the newest, and gives no more orders in its term. */
static void a_higher_fence_bars(void **st)
{
	struct sim s;
	struct judge j;
	uint64_t orders;

	(void)st;
	fleet(&s, &j, 5, 15000, 1800);
	for (int i = 0; i < SERVERS; i++)
		s.list.v[i].fence = 1ull << 50;
	name_weights(&s, "2");
	go(&s, &j, 2000);
	orders = s.list.n_order;
	assert_true(orders > 0 && orders < SERVERS / 2);
	go(&s, &j, 10000);
	assert_int_equal(s.list.n_order, orders);
	assert_int_equal(s.list.n_load, 0);
	for (int i = 0; i < SERVERS; i++) {
		s.list.v[i].fence = 0;
		assert_int_equal(instances_get(&s.n[SIM_REGS].c->f.instances, s.list.v[i].name)->loading, 0);
	}
	sim_crash(&s, sim_owner(&s, SHARD_CONTROL), 0);
	go(&s, &j, 25000);
	assert_true(all_have(&s, "2", 0) >= 0);
	sim_close(&s);
}

/* ---- kept parts ------------------------------------------------------------------------ */

static int knows(struct sim *s, int node, uint64_t key) { return arrlen(kept_get(&s->n[node].c->kept, key)) == 1; }

/* A counter that comes back hears from its zone's head what is kept where, also what has not changed since. */
static void a_counter_that_is_back_learns_what_is_kept(void **st)
{
	int learned = 0;

	(void)st;
	for (uint64_t seed = 1; seed <= 24; seed++) {
		struct sim s;
		struct judge j;
		struct Nl__KeptEvent e = NL__KEPT_EVENT__INIT, *pe = &e;
		struct Nl__Kept k = NL__KEPT__INIT, *pk = &k;
		struct Nl__KeptAll all = NL__KEPT_ALL__INIT;
		struct Nl__Msg m = NL__MSG__INIT;
		uint64_t key = router_kept_key(core_hashs(0, "shelf"), 5);

		fleet(&s, &j, seed, 15000, 100);
		e.cache_namespace = "shelf";
		e.id = 5;
		e.tokens = 100;
		k.server = s.list.v[1].name;
		k.epoch = 7;
		k.next = 3;
		k.n_e = 1;
		k.e = &pe;
		all.n_k = 1;
		all.k = &pk;
		m.speak = CORE_SPEAK;
		m.body_case = NL__MSG__BODY_KEPT_ALL;
		m.kept_all = &all;
		for (int n = SIM_REGS; n < SIM_REGS + CTRS; n++) { /* what all have heard */
			struct router_ev ev = { .kind = ROUTER_MSG };

			ev.u.msg = &m;
			router_step(s.n[n].c, &ev, s.now + s.n[n].skew, &s.n[n].o);
			out_clear(&s.n[n].o);
			assert_true(knows(&s, n, key));
		}
		for (int n = SIM_REGS; n < SIM_REGS + CTRS; n++) {
			sim_crash(&s, n, 0);
			sim_run(&s, 50, NULL);
			sim_start(&s, n);
			assert_true(sim_run(&s, 5000, NULL));
			if (!s.n[n].c->f.nup)
				break; /* it is a head now, and asks the servers themselves */
			assert_true(knows(&s, n, key));
			assert_int_equal(s.n[n].c->sv[names_find(&s.n[n].c->servers, k.server)].next, 3);
			learned++;
		}
		sim_close(&s);
	}
	assert_true(learned > 12); /* of 24 fleets; in some the first that is back is a head */
}

/* ---- instances by themselves ------------------------------------------------------------- */

static struct Nl__Instance *instance(apr_pool_t *p, const char *name, int state, const char *weights)
{
	struct Nl__Instance *x = apr_palloc(p, sizeof *x);

	nl__instance__init(x);
	x->server = (char *)name;
	x->service = "pool";
	x->addr = "127.0.0.1:1";
	x->zone = "z";
	x->state = (uint32_t)state;
	x->weights = (char *)weights;
	return x;
}

static void show(struct instances *s, struct Nl__Instance **v, size_t n, int64_t now, struct out *o)
{
	instances_tick(s, 1, 47000, (uint64_t)now, now, o);
	assert_int_equal(s->call, now);
	instances_listed(s, (uint64_t)now, 1, v, n, now);
	out_clear(o);
}

static void instances_alone(void **st)
{
	struct instances f, w, u;
	struct out o;
	struct Nl__ConfigSyncReply a = NL__CONFIG_SYNC_REPLY__INIT, b = NL__CONFIG_SYNC_REPLY__INIT;
	struct Nl__Instance *v[3];
	apr_pool_t *p;

	(void)st;
	memset(&o, 0, sizeof o);
	apr_pool_create(&p, NULL);
	apr_pool_create(&o.p, p);
	instances_open(&f);
	instances_open(&w);
	instances_open(&u);
	v[0] = instance(p, "a", 0, "1");
	v[1] = instance(p, "b", 0, "1");
	v[2] = instance(p, "c", 1, "1");
	instances_begin(&w, &f, 3, 1000);
	instances_since(&w, 0, &a, p);
	assert_int_equal(a.instances, 0); /* no list yet: nothing to tell */
	assert_false(instances_follow(&f, &a, 1000));
	show(&w, v, 3, 1000, &o);
	instances_since(&w, f.stamp, &a, p);
	assert_true(a.instances_whole);
	assert_true(instances_follow(&f, &a, 1000));
	assert_int_equal(shlen(f.h), 3);
	assert_false(instances_follow(&f, &a, 1000));
	instances_since(&w, f.stamp, &b, p);
	assert_int_equal(b.n_instance, 0);
	assert_false(b.instances_whole);

	/* one that drains never serves again; one that is missing once is no news, twice is gone */
	v[2] = instance(p, "c", 0, "1");
	show(&w, v + 1, 2, 1500, &o);
	assert_int_equal(instances_get(&w, "c")->state, INSTANCE_DRAINING);
	assert_int_equal(instances_get(&w, "a")->state, INSTANCE_SERVING);
	show(&w, v + 1, 2, 2000, &o);
	assert_int_equal(instances_get(&w, "a")->state, INSTANCE_GONE);
	instances_since(&w, f.stamp, &b, p);
	assert_false(b.instances_whole);
	assert_int_equal(b.n_instance, 1);
	assert_true(instances_follow(&f, &b, 2000));
	assert_int_equal(instances_get(&f, "a")->state, INSTANCE_GONE);
	assert_false(instances_follow(&f, &a, 2000)); /* an older answer that comes late */
	assert_int_equal(instances_get(&f, "a")->state, INSTANCE_GONE);
	show(&w, v, 3, 2500, &o); /* an older list */
	assert_int_equal(instances_get(&w, "a")->state, INSTANCE_GONE);
	show(&w, v, 3, 6000, &o); /* it was missed by mistake */
	assert_int_equal(instances_get(&w, "a")->state, INSTANCE_SERVING);

	/* what a server says itself goes before a list that lags */
	instances_set_weights(&w, "b", "2", 0, 6500);
	show(&w, v, 3, 7000, &o);
	assert_string_equal(instances_get(&w, "b")->weights, "2");
	show(&w, v, 3, 9000, &o);
	assert_string_equal(instances_get(&w, "b")->weights, "1");
	instances_end(&w, "b", 9100);
	show(&w, v, 3, 14000, &o);
	assert_int_equal(instances_get(&w, "b")->state, INSTANCE_GONE);

	/* another owner, which knows less: whole, but what drains goes on draining */
	instances_begin(&u, &f, 4, 14000);
	instances_close(&u);
	instances_open(&u);
	u.term = 4;
	u.stamp = 4ull << 24;
	show(&u, v, 3, 15000, &o);
	memset(&b, 0, sizeof b);
	nl__config_sync_reply__init(&b);
	instances_since(&u, f.stamp, &b, p);
	assert_true(b.instances_whole);
	assert_true(instances_follow(&f, &b, 15000));
	assert_int_equal(instances_get(&f, "c")->state, INSTANCE_DRAINING);
	/* and the owner before, which does not know yet that it is none, is heard no more */
	nl__config_sync_reply__init(&b);
	instances_since(&w, 0, &b, p);
	assert_false(instances_follow(&f, &b, 15100));

	/* one call at a time; a lost one is made again; a late answer is none */
	instances_tick(&u, 0, 47000, 77, 30000, &o);
	instances_tick(&u, 1, 47000, 78, 31000, &o);
	assert_int_equal(arrlen(o.v), 1);
	instances_tick(&u, 1, 47000, 79, 32000, &o);
	assert_int_equal(arrlen(o.v), 2);
	instances_listed(&u, 77, 1, v, 0, 32100);
	instances_listed(&u, 77, 1, v, 0, 32200);
	assert_int_equal(instances_get(&u, "a")->state, INSTANCE_SERVING);
	instances_listed(&u, 79, 0, v, 0, 32300); /* refused */
	assert_int_equal(instances_get(&u, "a")->state, INSTANCE_SERVING);

	/* tombstones go after a while, here and there; who missed one gets all */
	instances_tick(&w, 1, 47000, 90, 80000, &o);
	assert_null(instances_get(&w, "b"));
	nl__config_sync_reply__init(&b);
	instances_since(&w, (3ull << 24) + 1, &b, p);
	assert_true(b.instances_whole);
	instances_close(&f);
	instances_close(&w);
	instances_close(&u);
	arrfree(o.v);
	apr_pool_destroy(p);
}

int main(void)
{
	const struct CMUnitTest t[] = {
		cmocka_unit_test(a_calm_roll_out),
		cmocka_unit_test(more_at_once_where_it_helps),
		cmocka_unit_test(a_busy_server_is_told_later),
		cmocka_unit_test(the_giver_is_lost),
		cmocka_unit_test(named_again_in_a_roll_out),
		cmocka_unit_test(servers_come_and_go),
		cmocka_unit_test(a_higher_fence_bars),
		cmocka_unit_test(a_counter_that_is_back_learns_what_is_kept),
		cmocka_unit_test(instances_alone),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(t, NULL, NULL);
	apr_terminate();
	return rc;
}
