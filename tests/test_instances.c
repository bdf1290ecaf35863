/* Servers that come from a list, and their weights' roll-out, under seeded virtual time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "containers.h"
#include "router_internal.h"
#include "sim.h"

enum { CONTROLLERS = 4, ROUTERS = 6, SERVERS = 18, STEP = 20 };

static uint64_t seeds(uint64_t n)
{
	const char *e = getenv("NL_SEEDS");

	return e ? strtoull(e, NULL, 10) : n;
}

static uint64_t random_below(uint64_t *s, uint64_t n)
{
	return core_random(s) % n;
}

/* ---- the checker ------------------------------------------------------------------ */

/* What a router knew of each server, and since when it has been in touch. */
struct instance_checker {
	int state[SIM_NODES][256];
	uint64_t incarnations[SIM_NODES];
	int64_t in_touch_since[SIM_NODES]; /* in touch since */
	int64_t last_core_fault_at;        /* last fault of the core, or of the list */
	int64_t drained_worst;
};

static void check_one(struct sim *sim, struct instance_checker *checker, int node, int i)
{
	struct sim_instance *listed = &sim->instance_list.instances[i];
	const struct Nl__Instance *x =
	    instances_get(&sim->nodes[node].router->config.watch.instances, listed->name);
	int was = checker->state[node][i], is = !x ? -1 : (int)x->state;

	/* state as judged: 0 never seen, 1 serving, 2 draining, 3 gone or forgotten after it */
	is = is < 0 ? (was >= 2 || (was && listed->ended_at &&
				    sim->now > listed->ended_at + sim->instance_list.listing_delay_ms)
			   ? 3
			   : 0)
		    : is + 1;
	if (was == 1 && is == 0)
		sim_violation(sim, "counter %d loses server %s", node, listed->name);
	if (was >= 2 && is == 1)
		sim_violation(sim, "counter %d: server %s serves again", node, listed->name);
	if (is == 3 && was != 3 && !listed->ended_at)
		sim_violation(sim, "counter %d: server %s is gone, but stands on the list", node,
			      listed->name);
	if (is == 1 && sim->now - checker->in_touch_since[node] > 3000 &&
	    sim->now - checker->last_core_fault_at > 3000) {
		int64_t shown = listed->draining   ? listed->drained_at + sim->instance_list.listing_delay_ms
				: listed->ended_at ? listed->ended_at + sim->instance_list.listing_delay_ms
						   : 0;

		if (shown && sim->now - shown > checker->drained_worst && shown > checker->last_core_fault_at)
			checker->drained_worst = sim->now - shown;
		if (shown && sim->now - shown > sim->bounds.server_drain_ms)
			sim_violation(
			    sim, "counter %d: server %s serves %lld ms after the list showed that it leaves",
			    node, listed->name, (long long)(sim->now - shown));
		if (sim->now - checker->in_touch_since[node] > 6000 &&
		    sim->now - checker->last_core_fault_at > 6000 && x &&
		    strcmp(x->weights, listed->weights) && sim->now - listed->changed_at > 3000)
			sim_violation(sim, "counter %d: server %s has %s, not %s", node, listed->name,
				      listed->weights, x->weights);
	}
	if (!is && listed->up && !listed->draining && sim->now - listed->started_at > 6000 &&
	    sim->now - checker->in_touch_since[node] > 6000 && sim->now - checker->last_core_fault_at > 8000)
		sim_violation(sim, "counter %d doesn't know server %s", node, listed->name);
	checker->state[node][i] = is;
}

static void check_all(struct sim *sim, struct instance_checker *j)
{
	for (int n = SIM_CONTROLLERS; n < SIM_NODES; n++) {
		if (!sim->nodes[n].used)
			continue;
		if (!sim->nodes[n].up || sim->nodes[n].incarnation != j->incarnations[n]) {
			memset(j->state[n], 0, sizeof j->state[n]);
			j->incarnations[n] = sim->nodes[n].incarnation;
			j->in_touch_since[n] = sim->now;
		}
		if (!sim->nodes[n].up || sim->nodes[n].frozen || sim->nodes[n].partition)
			j->in_touch_since[n] = sim->now;
		for (int i = 0; i < arrlen(sim->instance_list.instances) && i < 256 && sim->nodes[n].up &&
				sim->nodes[n].router && !sim->nodes[n].frozen;
		     i++)
			check_one(sim, j, n, i);
	}
	for (int n = 0; n < SIM_CONTROLLERS; n++)
		if (sim->nodes[n].used &&
		    (!sim->nodes[n].up || sim->nodes[n].frozen || sim->nodes[n].partition))
			j->last_core_fault_at = sim->now;
	for (int n = 0; n < CONTROLLERS * CONTROLLERS; n++)
		if (sim->link_cut[n / CONTROLLERS][n % CONTROLLERS])
			j->last_core_fault_at = sim->now;
	if (sim->now < sim->instance_list.unavailable_until)
		j->last_core_fault_at = sim->now;
}

/* Weights that are called rolled out are at every server that has been listed for long. */
static void check_rolled_out(struct sim *sim)
{
	int at = sim_leader(sim, SHARD_CONTROL);
	const struct Nl__Row *row =
	    at < 0 ? NULL : config_table_get(&sim->nodes[at].controller->config.table, NL__KIND__MODEL, "lm");

	for (ptrdiff_t i = 0; row && row->rolled_out[0] && i < arrlen(sim->instance_list.instances); i++)
		if (sim->instance_list.instances[i].up && !sim->instance_list.instances[i].draining &&
		    sim->now - sim->instance_list.instances[i].started_at > 3000 &&
		    strcmp(sim->instance_list.instances[i].weights, row->rolled_out) < 0)
			sim_violation(sim, "%s is called rolled out, but server %s has %s", row->rolled_out,
				      sim->instance_list.instances[i].name,
				      sim->instance_list.instances[i].weights);
}

static void go(struct sim *sim, struct instance_checker *checker, int64_t ms)
{
	for (int64_t end = sim->now + ms; sim->now < end;) {
		if (!sim_run(sim, STEP, NULL))
			fail_msg("%s", sim->violation);
		check_all(sim, checker);
		check_rolled_out(sim);
		if (sim->violation[0])
			fail_msg("%s", sim->violation);
	}
}

/* ---- fleets ----------------------------------------------------------------------- */

static void name_weights(struct sim *sim, const char *weights)
{
	struct Nl__Change change = NL__CHANGE__INIT;
	struct Nl__Row row = NL__ROW__INIT, v = NL__ROW__INIT, *set[2] = { &row, &v };

	row.kind = NL__KIND__MODEL;
	row.name = "lm";
	row.target_weights = (char *)weights;
	row.rolled_out = strcmp(weights, "1") ? (char *)"1" : (char *)"";
	row.addr = "127.0.0.1:1";
	row.id = 1;
	v.kind = NL__KIND__SERVICE;
	v.name = "pool";
	v.model = "lm";
	v.target_weights = "0";
	v.prefill_tokens_per_ms = v.kv_bytes_per_token = v.link_bytes_per_ms = 100;
	change.any_revision = 1;
	change.set = set;
	change.n_set = 2;
	if (!sim_propose(sim, &change, 12000))
		fail_msg("seed %llu: %s: not named", (unsigned long long)sim->seed, sim->violation);
}

static const char *zones[] = { "z1", "z2", "z3", "z4" };

static void fleet(struct sim *sim, struct instance_checker *checker, uint64_t seed, int roll_ms, int load_ms)
{
	uint64_t at[3];

	memset(checker, 0, sizeof *checker);
	sim_open(sim, seed);
	sim->bounds.use_endpoint_list = 1;
	sim->bounds.endpoint_list_calls_millihertz = 47000;
	sim->bounds.rollout_ms = roll_ms;
	sim->instance_list.load_ms = load_ms;
	for (int k = 0; k < 3; k++) {
		char buf[32];

		snprintf(buf, sizeof buf, "127.0.1.%d:7000", k + 1);
		at[k] = core_parse_addr(buf);
	}
	for (int i = 0; i < CONTROLLERS; i++)
		sim_add_controller(sim, zones[i], at, 3);
	sim_run(sim, 200, NULL);
	assert_int_equal(sim_call_and_wait(sim, 0, "POST", "/v1/found", "{}", 10000), 200);
	for (int i = 0; i < SERVERS; i++)
		sim_instance(sim, "pool", zones[i % 4], "1");
	for (int i = 0; i < ROUTERS; i++)
		sim_add_router(sim, zones[i % 4]);
	name_weights(sim, "1");
	sim_run(sim, 9000, NULL);
	go(sim, checker, 1000);
	for (int n = SIM_CONTROLLERS; n < SIM_CONTROLLERS + ROUTERS; n++)
		for (int i = 0; i < SERVERS; i++)
			assert_int_equal(checker->state[n][i], 1);
}

/* How long after the target version the last server had the weights; -1: one hasn't. */
static int64_t all_have(struct sim *sim, const char *weights, int64_t targeted_at)
{
	int64_t last = 0;

	for (ptrdiff_t i = 0; i < arrlen(sim->instance_list.instances); i++) {
		struct sim_instance *listed = &sim->instance_list.instances[i];

		if (!listed->up || listed->draining)
			continue;
		if (strcmp(listed->weights, weights))
			return -1;
		if (listed->changed_at > targeted_at && listed->changed_at - targeted_at > last)
			last = listed->changed_at - targeted_at;
	}
	return last;
}

static const char *rolled(struct sim *sim)
{
	int at = sim_leader(sim, SHARD_CONTROL);
	const struct Nl__Row *row =
	    at < 0 ? NULL : config_table_get(&sim->nodes[at].controller->config.table, NL__KIND__MODEL, "lm");

	return row ? row->rolled_out : "";
}

/* ---- tests ------------------------------------------------------------------------- */

static void a_calm_roll_out(void **state)
{
	static const struct {
		int roll, load;
	} site[] = { { 12000, 1100 }, { 15000, 1800 } };

	(void)state;
	for (uint64_t seed = 1; seed <= seeds(8); seed++) {
		struct sim sim;
		struct instance_checker checker;
		int64_t targeted_at, last;

		fleet(&sim, &checker, seed, site[seed % 2].roll, site[seed % 2].load);
		assert_int_equal(sim.instance_list.n_commands, 0);
		sim.instance_list.report_age_ms = seed % 4 < 2 ? 100 : 500;
		name_weights(&sim, "2");
		targeted_at = sim.now;
		go(&sim, &checker, sim.bounds.rollout_ms);
		last = all_have(&sim, "2", targeted_at);
		if (seed < 3)
			print_message(
			    "seed %d: load %d ms: all have it after %lld ms, %d at once, %d orders, %d looks, %d lists\n",
			    (int)seed, sim.instance_list.load_ms, (long long)last,
			    sim.instance_list.peak_loads, (int)sim.instance_list.n_commands,
			    (int)sim.instance_list.n_polls, (int)sim.instance_list.n_list);
		assert_true(last >= 0);
		assert_int_equal(sim.instance_list.n_load, SERVERS);
		assert_int_equal(sim.instance_list.n_commands, SERVERS);
		assert_int_equal(sim.instance_list.n_loads_under_requests,
				 SERVERS); /* no server waits for the end of what runs there */
		go(&sim, &checker, 2000);
		assert_string_equal(rolled(&sim), "2");
		assert_int_equal(sim.instance_list.n_commands, SERVERS);
		for (int i = 0; i < SERVERS; i++) {
			const struct Nl__Instance *listed =
			    instances_get(&sim.nodes[SIM_CONTROLLERS].router->config.watch.instances,
					  sim.instance_list.instances[i].name);

			assert_non_null(listed);
			assert_string_equal(listed->weights, "2");
			assert_int_equal(listed->loading, 0);
		}
		sim_close(&sim);
	}
}

/* Where more at once don't slow each other down, more are told from early on, rather than all that are left
 * at the end. */
static void more_at_once_where_it_helps(void **state)
{
	struct sim sim;
	struct instance_checker checker;
	int64_t targeted_at, last;

	(void)state;
	fleet(&sim, &checker, 3, 10000, 1800);
	sim.instance_list.full_speed_loads = SERVERS;
	name_weights(&sim, "2");
	targeted_at = sim.now;
	go(&sim, &checker, sim.bounds.rollout_ms);
	last = all_have(&sim, "2", targeted_at);
	print_message("no slower with more: all have it after %lld ms, %d at once, %d orders\n",
		      (long long)last, sim.instance_list.peak_loads, (int)sim.instance_list.n_commands);
	assert_true(last >= 0 && last < sim.bounds.rollout_ms * ROLLOUT_PLANNED_PERCENT / 100);
	assert_true(sim.instance_list.peak_loads <= 6);
	sim_close(&sim);
}

/* A server that does another's order takes none: it is told again when a look says that it is done. */
static void a_busy_server_is_commanded_later(void **state)
{
	struct sim sim;
	struct instance_checker checker;
	int64_t targeted_at;

	(void)state;
	fleet(&sim, &checker, 9, 15000, 1100);
	snprintf(sim.instance_list.instances[0].loading, sizeof sim.instance_list.instances[0].loading, "0");
	name_weights(&sim, "2");
	targeted_at = sim.now;
	go(&sim, &checker, 10000);
	assert_string_equal(rolled(&sim), "1");
	assert_true(sim.instance_list.n_busy > 0 && sim.instance_list.n_busy < 3);
	sim.instance_list.instances[0].loading[0] = 0;
	go(&sim, &checker, 5000);
	assert_true(all_have(&sim, "2", targeted_at) >= 0);
	go(&sim, &checker, 1000);
	assert_string_equal(rolled(&sim), "2");
	assert_int_equal(sim.instance_list.n_load, SERVERS);
	sim_close(&sim);
}

/* The rollout is killed, frozen or cut off at any moment of a roll-out; orders and answers get lost. */
static void the_commanding_controller_is_lost(void **state)
{
	int64_t worst = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= seeds(24); seed++) {
		struct sim sim;
		struct instance_checker checker;
		uint64_t d = seed * 31;
		int64_t targeted_at, last;
		int at, how = (int)(seed % 5); /* 4: from the other controllers alone */

		fleet(&sim, &checker, seed, seed / 4 % 2 ? 12000 : 15000, seed / 4 % 2 ? 1100 : 1800);
		sim.instance_list.lost_answer_per_mille = seed % 3 ? 0 : 200;
		name_weights(&sim, "2");
		targeted_at = sim.now;
		go(&sim, &checker, (int64_t)random_below(&d, 8000));
		at = sim_leader(&sim, SHARD_CONTROL);
		if (at >= 0 && how == 0)
			sim_crash(&sim, at, 0);
		else if (at >= 0 && how == 1)
			sim_freeze(&sim, at, 1);
		else if (at >= 0 && how == 2)
			sim_set_partition(&sim, at, 1);
		else if (at >= 0 && how == 3)
			sim_crash(&sim, at, 1);
		for (int k = 0; at >= 0 && how == 4 && k < CONTROLLERS; k++)
			sim.link_cut[at][k] = sim.link_cut[k][at] = k != at;
		go(&sim, &checker, 2000 + (int64_t)random_below(&d, 4000));
		if (at >= 0 && (how == 0 || how == 3))
			sim_start(&sim, at);
		else if (at >= 0 && how == 1)
			sim_freeze(&sim, at, 0);
		else if (at >= 0)
			sim_set_partition(&sim, at, 0);
		memset(sim.link_cut, 0, sizeof sim.link_cut);
		go(&sim, &checker, 20000);
		last = all_have(&sim, "2", targeted_at);
		if (last < 0)
			fail_msg("seed %llu: not every server has the weights", (unsigned long long)seed);
		if (last > worst)
			worst = last;
		if (last > sim.bounds.rollout_ms)
			fail_msg("seed %llu: all have it after %lld ms", (unsigned long long)seed,
				 (long long)last);
		assert_string_equal(rolled(&sim), "2");
		assert_int_equal(sim.instance_list.n_load, SERVERS);
		sim_close(&sim);
	}
	print_message("the giver lost in a roll-out: all have it after at most %lld ms\n", (long long)worst);
}

/* New weights are named while the last ones still go out: the newest count, and nothing is loaded twice. */
static void a_new_target_in_a_roll_out(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(8); seed++) {
		struct sim sim;
		struct instance_checker checker;
		uint64_t d = seed * 77;
		int64_t targeted_at;

		fleet(&sim, &checker, seed, 15000, 1800);
		sim.instance_list.full_speed_loads =
		    6; /* with 3 the servers would be loading for most of the bound, were they told at once */
		sim.instance_list.lost_answer_per_mille = seed % 2 ? 0 : 150;
		name_weights(&sim, "2");
		go(&sim, &checker, (int64_t)random_below(&d, 9000));
		name_weights(&sim, "3");
		targeted_at = sim.now;
		go(&sim, &checker, sim.bounds.rollout_ms);
		if (all_have(&sim, "3", targeted_at) < 0)
			fail_msg("seed %llu: not every server has the newest weights in time",
				 (unsigned long long)seed);
		assert_true(sim.instance_list.n_load <= 2 * SERVERS);
		go(&sim, &checker, 2000);
		assert_string_equal(rolled(&sim), "3");
		sim_close(&sim);
	}
}

/* Servers come, drain, crash and are replaced while the list lags, refuses, is slow or away, and controllers
 * fall. */
static void servers_come_and_go(void **state)
{
	int64_t worst = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= seeds(16); seed++) {
		struct sim sim;
		struct instance_checker checker;
		uint64_t d = seed * 131;
		int down = -1, held = -1, cut = -1;

		fleet(&sim, &checker, seed, 15000, 1800);
		sim.instance_list.refusal_per_mille = seed % 3 ? 0 : 150;
		sim.instance_list.call_ms = seed % 4 == 1 ? 300 : 0;
		sim.loss_per_mille = seed % 5 ? 0 : 50;
		for (int step = 0; step < 40; step++) {
			int i = (int)random_below(&d, (uint64_t)arrlen(sim.instance_list.instances));
			struct sim_instance *listed = &sim.instance_list.instances[i];

			switch (random_below(&d, 8)) {
			case 0:
			case 1:
				if (listed->up && !listed->draining)
					sim_instance_drain(&sim, i);
				break;
			case 2:
				if (listed->up && (!listed->draining || sim.now - listed->drained_at > 2000))
					sim_instance_end(&sim, i, listed->draining ? 0 : 2000);
				break;
			case 3:
			case 4:
				sim_instance(&sim, "pool", zones[step % 4], "1");
				break;
			case 5:
				if (seed % 2 && step % 4 == 0)
					sim.instance_list.unavailable_until = sim.now + 2000;
				break;
			case 6: {
				int at = sim_leader(&sim, SHARD_CONTROL);

				if (at >= 0 && down < 0 && held < 0 && cut < 0 && step % 2) {
					if (seed % 3 == 0)
						sim_crash(&sim, down = at, 0);
					else if (seed % 3 == 1)
						sim_freeze(&sim, held = at, 1);
					else
						sim_set_partition(&sim, cut = at, 1);
				}
				break;
			}
			default:
				if (step % 3 == 0) {
					int n = SIM_CONTROLLERS + (int)random_below(&d, ROUTERS);

					sim_crash(&sim, n, 0);
					sim_start(&sim, n);
				}
			}
			go(&sim, &checker, 200 + (int64_t)random_below(&d, 1800));
			if (step % 6 == 5) {
				if (down >= 0)
					sim_start(&sim, down);
				if (held >= 0)
					sim_freeze(&sim, held, 0);
				if (cut >= 0)
					sim_set_partition(&sim, cut, 0);
				down = held = cut = -1;
			}
		}
		go(&sim, &checker, 12000);
		if (checker.drained_worst > worst)
			worst = checker.drained_worst;
		assert_int_equal(sim.instance_list.n_commands, 0);
		sim_close(&sim);
	}
	print_message("drains reach every counter after at most %lld ms\n", (long long)worst);
}

/* A server that has seen a higher fence: its rollout is not the newest, and gives no more orders in its term.
 */
static void a_higher_fence_bars(void **state)
{
	struct sim sim;
	struct instance_checker checker;
	uint64_t orders;

	(void)state;
	fleet(&sim, &checker, 5, 15000, 1800);
	for (int i = 0; i < SERVERS; i++)
		sim.instance_list.instances[i].fence = 1ull << 50;
	name_weights(&sim, "2");
	go(&sim, &checker, 2000);
	orders = sim.instance_list.n_commands;
	assert_true(orders > 0 && orders < SERVERS / 2);
	go(&sim, &checker, 10000);
	assert_int_equal(sim.instance_list.n_commands, orders);
	assert_int_equal(sim.instance_list.n_load, 0);
	for (int i = 0; i < SERVERS; i++) {
		sim.instance_list.instances[i].fence = 0;
		assert_int_equal(instances_get(&sim.nodes[SIM_CONTROLLERS].router->config.watch.instances,
					       sim.instance_list.instances[i].name)
				     ->loading,
				 0);
	}
	sim_crash(&sim, sim_leader(&sim, SHARD_CONTROL), 0);
	go(&sim, &checker, 25000);
	assert_true(all_have(&sim, "2", 0) >= 0);
	sim_close(&sim);
}

/* ---- cached blocks ------------------------------------------------------------------------ */

static int knows(struct sim *sim, int node, uint64_t key)
{
	return arrlen(prefix_index_find(&sim->nodes[node].router->cache.index, key)) == 1;
}

/* A router that comes back hears from its zone's head what is kept where, also what has not changed since.
 */
static void a_router_that_is_back_learns_the_prefix_index(void **state)
{
	int learned = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 24; seed++) {
		struct sim sim;
		struct instance_checker checker;
		struct Nl__CacheEvent cache_event = NL__CACHE_EVENT__INIT, *pe = &cache_event;
		struct Nl__CacheUpdate update = NL__CACHE_UPDATE__INIT, *pk = &update;
		struct Nl__CacheUpdateBatch all = NL__CACHE_UPDATE_BATCH__INIT;
		struct Nl__Msg message = NL__MSG__INIT;
		uint64_t key = router_block_key(core_hash_string(0, "shelf"), 5);

		fleet(&sim, &checker, seed, 15000, 100);
		cache_event.cache_namespace = "shelf";
		cache_event.block_hash = 5;
		cache_event.tokens = 100;
		update.server = sim.instance_list.instances[1].name;
		update.epoch = 7;
		update.next_offset = 3;
		update.n_events = 1;
		update.events = &pe;
		all.n_updates = 1;
		all.updates = &pk;
		message.protocol_version = CORE_PROTOCOL_VERSION;
		message.body_case = NL__MSG__BODY_CACHE_UPDATE_BATCH;
		message.cache_update_batch = &all;
		for (int n = SIM_CONTROLLERS; n < SIM_CONTROLLERS + ROUTERS; n++) { /* what all have heard */
			struct router_event event = { .kind = ROUTER_EVENT_MESSAGE };

			event.args.message = &message;
			router_step(sim.nodes[n].router, &event, sim.now + sim.nodes[n].clock_skew_ms,
				    &sim.nodes[n].commands);
			command_list_clear(&sim.nodes[n].commands);
			assert_true(knows(&sim, n, key));
		}
		for (int n = SIM_CONTROLLERS; n < SIM_CONTROLLERS + ROUTERS; n++) {
			sim_crash(&sim, n, 0);
			sim_run(&sim, 50, NULL);
			sim_start(&sim, n);
			assert_true(sim_run(&sim, 5000, NULL));
			if (!sim.nodes[n].router->config.watch.upstream_count)
				break; /* it is a head now, and asks the servers themselves */
			assert_true(knows(&sim, n, key));
			assert_int_equal(
			    sim.nodes[n]
				.router->servers
				.states[names_find(&sim.nodes[n].router->names.servers, update.server)]
				.next_cache_event,
			    3);
			learned++;
		}
		sim_close(&sim);
	}
	assert_true(learned > 12); /* of 24 fleets; in some the first that is back is a head */
}

/* ---- instances by themselves ------------------------------------------------------------- */

static struct Nl__Instance *instance(apr_pool_t *pool, const char *name, int state, const char *weights)
{
	struct Nl__Instance *listed = apr_palloc(pool, sizeof *listed);

	nl__instance__init(listed);
	listed->server = (char *)name;
	listed->service = "pool";
	listed->addr = "127.0.0.1:1";
	listed->zone = "z";
	listed->state = (uint32_t)state;
	listed->weights = (char *)weights;
	return listed;
}

static void show(struct instances *instances, struct Nl__Instance **listed, size_t n, int64_t now,
		 struct command_list *out)
{
	instances_tick(instances, 1, 47000, (uint64_t)now, now, out);
	assert_int_equal(instances->poll_token, now);
	instances_on_list(instances, (uint64_t)now, 1, listed, n, now);
	command_list_clear(out);
}

static void instances_alone(void **state)
{
	struct instances instances, w, u;
	struct command_list out;
	struct Nl__ConfigSyncReply a = NL__CONFIG_SYNC_REPLY__INIT, b = NL__CONFIG_SYNC_REPLY__INIT;
	struct Nl__Instance *listed[3];
	apr_pool_t *pool;

	(void)state;
	memset(&out, 0, sizeof out);
	apr_pool_create(&pool, NULL);
	apr_pool_create(&out.pool, pool);
	instances_open(&instances);
	instances_open(&w);
	instances_open(&u);
	listed[0] = instance(pool, "a", 0, "1");
	listed[1] = instance(pool, "b", 0, "1");
	listed[2] = instance(pool, "c", 1, "1");
	instances_start_term(&w, &instances, 3, 1000);
	instances_pack_since(&w, 0, &a, pool);
	assert_int_equal(a.instances_stamp, 0); /* no list yet: nothing to tell */
	assert_false(instances_apply_reply(&instances, &a, 1000));
	show(&w, listed, 3, 1000, &out);
	instances_pack_since(&w, instances.stamp, &a, pool);
	assert_true(a.instances_full);
	assert_true(instances_apply_reply(&instances, &a, 1000));
	assert_int_equal(shlen(instances.rows), 3);
	assert_false(instances_apply_reply(&instances, &a, 1000));
	instances_pack_since(&w, instances.stamp, &b, pool);
	assert_int_equal(b.n_instances, 0);
	assert_false(b.instances_full);

	/* one that drains never serves again; one that is missing once is no news, twice is gone */
	listed[2] = instance(pool, "c", 0, "1");
	show(&w, listed + 1, 2, 1500, &out);
	assert_int_equal(instances_get(&w, "c")->state, INSTANCE_DRAINING);
	assert_int_equal(instances_get(&w, "a")->state, INSTANCE_SERVING);
	show(&w, listed + 1, 2, 2000, &out);
	assert_int_equal(instances_get(&w, "a")->state, INSTANCE_REMOVED);
	instances_pack_since(&w, instances.stamp, &b, pool);
	assert_false(b.instances_full);
	assert_int_equal(b.n_instances, 1);
	assert_true(instances_apply_reply(&instances, &b, 2000));
	assert_int_equal(instances_get(&instances, "a")->state, INSTANCE_REMOVED);
	assert_false(instances_apply_reply(&instances, &a, 2000)); /* an older answer that comes late */
	assert_int_equal(instances_get(&instances, "a")->state, INSTANCE_REMOVED);
	show(&w, listed, 3, 2500, &out); /* an older list */
	assert_int_equal(instances_get(&w, "a")->state, INSTANCE_REMOVED);
	show(&w, listed, 3, 6000, &out); /* it was missed by mistake */
	assert_int_equal(instances_get(&w, "a")->state, INSTANCE_SERVING);

	/* what a server says itself goes before a list that lags */
	instances_set_weights(&w, "b", "2", 0, 6500);
	show(&w, listed, 3, 7000, &out);
	assert_string_equal(instances_get(&w, "b")->weights, "2");
	show(&w, listed, 3, 9000, &out);
	assert_string_equal(instances_get(&w, "b")->weights, "1");
	instances_mark_ended(&w, "b", 9100);
	show(&w, listed, 3, 14000, &out);
	assert_int_equal(instances_get(&w, "b")->state, INSTANCE_REMOVED);

	/* another leader, which knows less: whole, but what drains goes on draining */
	instances_start_term(&u, &instances, 4, 14000);
	instances_close(&u);
	instances_open(&u);
	u.term = 4;
	u.stamp = 4ull << 24;
	show(&u, listed, 3, 15000, &out);
	memset(&b, 0, sizeof b);
	nl__config_sync_reply__init(&b);
	instances_pack_since(&u, instances.stamp, &b, pool);
	assert_true(b.instances_full);
	assert_true(instances_apply_reply(&instances, &b, 15000));
	assert_int_equal(instances_get(&instances, "c")->state, INSTANCE_DRAINING);
	/* and the leader before, which does not know yet that it is none, is heard no more */
	nl__config_sync_reply__init(&b);
	instances_pack_since(&w, 0, &b, pool);
	assert_false(instances_apply_reply(&instances, &b, 15100));

	/* one call at a time; a lost one is made again; a late answer is none */
	instances_tick(&u, 0, 47000, 77, 30000, &out);
	instances_tick(&u, 1, 47000, 78, 31000, &out);
	assert_int_equal(arrlen(out.commands), 1);
	instances_tick(&u, 1, 47000, 79, 32000, &out);
	assert_int_equal(arrlen(out.commands), 2);
	instances_on_list(&u, 77, 1, listed, 0, 32100);
	instances_on_list(&u, 77, 1, listed, 0, 32200);
	assert_int_equal(instances_get(&u, "a")->state, INSTANCE_SERVING);
	instances_on_list(&u, 79, 0, listed, 0, 32300); /* refused */
	assert_int_equal(instances_get(&u, "a")->state, INSTANCE_SERVING);

	/* tombstones go after a while, here and there; who missed one gets all */
	instances_tick(&w, 1, 47000, 90, 80000, &out);
	assert_null(instances_get(&w, "b"));
	nl__config_sync_reply__init(&b);
	instances_pack_since(&w, (3ull << 24) + 1, &b, pool);
	assert_true(b.instances_full);
	instances_close(&instances);
	instances_close(&w);
	instances_close(&u);
	arrfree(out.commands);
	apr_pool_destroy(pool);
}

int main(void)
{
	const struct CMUnitTest t[] = {
		cmocka_unit_test(a_calm_roll_out),
		cmocka_unit_test(more_at_once_where_it_helps),
		cmocka_unit_test(a_busy_server_is_commanded_later),
		cmocka_unit_test(the_commanding_controller_is_lost),
		cmocka_unit_test(a_new_target_in_a_roll_out),
		cmocka_unit_test(servers_come_and_go),
		cmocka_unit_test(a_higher_fence_bars),
		cmocka_unit_test(a_router_that_is_back_learns_the_prefix_index),
		cmocka_unit_test(instances_alone),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(t, NULL, NULL);
	apr_terminate();
	return rc;
}
