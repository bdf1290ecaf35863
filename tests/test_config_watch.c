/* Configuration sync over a slow link: requests and answers that take longer than the pause between two
 * requests, and that overtake each other, while the configuration changes all the time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "config_watch.h"
#include "containers.h"
#include "sim.h"

enum {
	NAMES = 20,
	REVISIONS = 400,
	TICK_MS = 25,
	CHANGE_EVERY_MS = 150,
	LEADER = 1,
	FOLLOWER = 2,
	SEEDS = 4,
	DAY_MS = 30000,
	LINK_LEAST_MS = 250,
	LINK_SPREAD_MS = 500,
};

/* A message under way: a request to a controller, or its answer. */
struct envelope {
	int64_t due_at;
	uint64_t to, token, have_revision;
	struct Nl__ConfigSyncReply *answer; /* NULL: a request */
};

struct world {
	struct config_watch watch;
	struct config_table leader;
	struct envelope *mail;            /* stb_ds */
	uint32_t share[REVISIONS][NAMES]; /* by revision; 0: no such row */
	int64_t changed_at[REVISIONS];    /* when the leader took that revision */
	uint64_t rng, requests_to_others;
	apr_pool_t *pool;
	struct command_list out;
	int64_t now;
};

static uint64_t seeds_of(uint64_t n, uint64_t *first)
{
	*first = getenv("NL_SEED") ? strtoull(getenv("NL_SEED"), NULL, 10) : 1;
	return getenv("NL_SEEDS") ? strtoull(getenv("NL_SEEDS"), NULL, 10) : n;
}

static uint64_t random_below(struct world *w, uint64_t n)
{
	return core_random(&w->rng) % n;
}

static void world_open(struct world *world, uint64_t seed)
{
	static const uint64_t seeds[SEEDS] = { LEADER, LEADER + 10, LEADER + 20, LEADER + 30 };

	memset(world, 0, sizeof *world);
	apr_pool_create(&world->pool, NULL);
	apr_pool_create(&world->out.pool, world->pool);
	world->rng = seed;
	world->now = 1000;
	config_table_open(&world->leader);
	config_watch_open(&world->watch, FOLLOWER, seeds, SEEDS, world->now);
}

static void world_close(struct world *world)
{
	config_watch_close(&world->watch);
	config_table_close(&world->leader);
	arrfree(world->mail);
	arrfree(world->out.commands);
	apr_pool_destroy(world->pool);
}

/* The leader sets or removes one row at random. */
static void leader_changes(struct world *world)
{
	struct Nl__Change change = NL__CHANGE__INIT;
	struct Nl__Row row = NL__ROW__INIT, *rows[1] = { &row };
	char name[16];
	uint64_t which = random_below(world, NAMES), before = world->leader.revision;

	snprintf(name, sizeof name, "t%d", (int)which);
	row.kind = NL__KIND__TENANT;
	row.name = name;
	row.share = (uint32_t)before + 1;
	row.limit = 1;
	change.any_revision = 1;
	if (random_below(world, 3)) {
		change.set = rows;
		change.n_set = 1;
	} else {
		change.deleted = rows;
		change.n_deleted = 1;
	}
	assert_int_equal(config_table_apply(&world->leader, &change, NULL), PROPOSAL_APPLIED);
	assert_true(world->leader.revision < REVISIONS);
	if (world->leader.revision == before)
		return;
	memcpy(world->share[world->leader.revision], world->share[before], sizeof world->share[0]);
	world->share[world->leader.revision][which] = change.n_set ? row.share : 0;
	world->changed_at[world->leader.revision] = world->now;
}

static int64_t way(struct world *world)
{
	return LINK_LEAST_MS + (int64_t)random_below(world, LINK_SPREAD_MS);
}

static void post_requests(struct world *world)
{
	for (ptrdiff_t i = 0; i < arrlen(world->out.commands); i++) {
		const struct command *command = &world->out.commands[i];
		struct envelope letter = { world->now + way(world), command->args.send.addr, 0, 0, NULL };

		assert_int_equal(command->kind, CMD_SEND);
		letter.token = command->args.send.msg->config_sync->token;
		letter.have_revision = command->args.send.msg->config_sync->have_revision;
		world->requests_to_others += letter.to != LEADER;
		arrput(world->mail, letter);
	}
	command_list_clear(&world->out);
}

static void post_answer(struct world *world, const struct envelope *request)
{
	struct Nl__ConfigSyncReply *reply = apr_palloc(world->pool, sizeof *reply);
	struct envelope letter = { world->now + way(world), FOLLOWER, request->token, 0, reply };

	nl__config_sync_reply__init(reply);
	reply->token = request->token;
	reply->has_lease = request->to == LEADER;
	reply->leader_hint = LEADER;
	reply->fleet_id = 7;
	if (reply->has_lease)
		config_table_pack_since(&world->leader, request->have_revision, reply, world->pool);
	arrput(world->mail, letter);
}

static void hand_over(struct world *world, struct envelope *letter)
{
	struct Nl__Msg message = NL__MSG__INIT;

	message.addr = LEADER;
	message.body_case = NL__MSG__BODY_CONFIG_SYNC_REPLY;
	message.config_sync_reply = letter->answer;
	(void)config_watch_receive(&world->watch, &message, world->now, &world->out);
	post_requests(world);
}

static void deliver(struct world *world)
{
	for (ptrdiff_t i = 0; i < arrlen(world->mail); i++) {
		struct envelope letter = world->mail[i];

		if (letter.due_at > world->now)
			continue;
		arrdel(world->mail, i);
		i = -1; /* what is handed over may post more */
		if (letter.answer)
			hand_over(world, &letter);
		else
			post_answer(world, &letter);
	}
}

/* What is here is the leader's table as it was at that revision, and nothing that was in force before the
 * asking is missing. */
static void check_sound(const struct world *world)
{
	const struct config_table *table = &world->watch.table;
	uint64_t owed = 0;

	while (owed + 1 <= world->leader.revision &&
	       world->changed_at[owed + 1] < world->watch.confirmed_at_ms)
		owed++;
	assert_true(table->revision >= owed);
	for (int i = 0; i < NAMES; i++) {
		char name[16];
		const struct Nl__Row *row;

		snprintf(name, sizeof name, "t%d", i);
		row = config_table_get(table, NL__KIND__TENANT, name);
		assert_int_equal(row ? row->share : 0, world->share[table->revision][i]);
	}
}

/* One ms of the world; the age of the configuration afterwards. */
static int64_t step(struct world *world)
{
	world->now++;
	if (world->now % CHANGE_EVERY_MS == 0)
		leader_changes(world);
	deliver(world);
	if (world->now % TICK_MS == 0) {
		config_watch_tick(&world->watch, 0, world->now, &world->out);
		post_requests(world);
		check_sound(world);
	}
	return config_watch_age_ms(&world->watch, world->now);
}

/* Each answer makes what is here as new as its own request, also where several are under way and the table
 * changes between them. Before, an answer was dropped whenever another had changed the table since its
 * request: one in seven counted. */
static void overlapping_answers_all_count(void **state)
{
	uint64_t first, n = seeds_of(12, &first);
	int64_t most = 0, bound = 2 * (LINK_LEAST_MS + LINK_SPREAD_MS) + CONFIG_WATCH_POLL_MS + 3 * TICK_MS;

	(void)state;
	for (uint64_t seed = first; seed < first + n; seed++) {
		struct world world;

		world_open(&world, seed);
		for (int i = 0; i < DAY_MS; i++) {
			int64_t age = step(&world);

			if (i < 4000)
				continue;
			most = age > most ? age : most;
			if (age > bound)
				fail_msg("seed %llu: %lld ms old at %lld", (unsigned long long)seed,
					 (long long)age, (long long)world.now);
		}
		world_close(&world);
	}
	print_message("age of the configuration at most %lld ms, bound %lld ms\n", (long long)most,
		      (long long)bound);
}

/* A leader whose answers are slow is not silent: nobody else is asked in its place, which would only add to
 * what the link and the controllers have to carry. */
static void a_slow_leader_is_not_a_silent_one(void **state)
{
	struct world world;
	uint64_t before;

	(void)state;
	world_open(&world, 3);
	for (int i = 0; i < 4000; i++)
		(void)step(&world);
	before = world.requests_to_others;
	for (int i = 0; i < DAY_MS; i++)
		(void)step(&world);
	assert_int_equal(world.requests_to_others, before);
	world_close(&world);
}

/* A leader that has less than was here when it was asked, as after a recovery from a lost majority, vouches
 * for nothing. */
static void a_leader_that_knows_less_proves_nothing(void **state)
{
	struct world world;
	struct Nl__ConfigSyncReply reply = NL__CONFIG_SYNC_REPLY__INIT;
	struct Nl__Msg message = NL__MSG__INIT;
	int64_t fresh;
	uint64_t revision;

	(void)state;
	world_open(&world, 5);
	for (int i = 0; i < 6000; i++)
		(void)step(&world);
	revision = world.watch.table.revision;
	assert_true(revision > 3);
	fresh = world.watch.confirmed_at_ms;
	config_watch_poll(&world.watch, 0, world.now, &world.out);
	reply.token = world.watch.last_token;
	reply.has_lease = 1;
	reply.fleet_id = 7;
	reply.since_revision = revision - 2;
	reply.revision = revision - 1;
	message.addr = LEADER;
	message.body_case = NL__MSG__BODY_CONFIG_SYNC_REPLY;
	message.config_sync_reply = &reply;
	assert_int_equal(config_watch_receive(&world.watch, &message, world.now + 5, &world.out), 0);
	assert_int_equal(world.watch.confirmed_at_ms, fresh);
	assert_int_equal(world.watch.table.revision, revision);
	command_list_clear(&world.out);
	world_close(&world);
}

/* ---- upstream ---------------------------------------------------------------------------------- */

enum { CONTROLLERS = 3, ROUTERS = 8, WARM_MS = 16000, SETTLE_MS = 2500 };

/* The router of a zone that no other of it is upstream of; -1: none, or not exactly one. */
static int head_of_zone(const struct sim *sim, const char *zone)
{
	int head = -1, heads = 0;

	for (int i = SIM_CONTROLLERS; i < SIM_CONTROLLERS + ROUTERS; i++)
		if (sim->nodes[i].up && !strcmp(sim->nodes[i].zone, zone) &&
		    !sim->nodes[i].router->config.watch.upstream_count) {
			head = i;
			heads++;
		}
	return heads == 1 ? head : -1;
}

/* The router that rendezvous ranks first in a zone; a restart draws a new identity. */
static int first_by_rank(const struct sim *sim, const char *zone)
{
	int first = -1;

	for (int i = SIM_CONTROLLERS; i < SIM_CONTROLLERS + ROUTERS; i++) {
		uint64_t rank = core_rendezvous_weight(core_hash_string(0, zone), sim->nodes[i].id);

		if (sim->nodes[i].up && !strcmp(sim->nodes[i].zone, zone) &&
		    (first < 0 ||
		     rank > core_rendezvous_weight(core_hash_string(0, zone), sim->nodes[first].id)))
			first = i;
	}
	return first;
}

/* A head that is restarted is not the head again before it has been in service for a while: it would know
 * nothing that it could pass on, and ask all servers at once. Then rank alone decides. */
static void a_restarted_router_is_no_head_at_first(void **state)
{
	uint64_t first, n = seeds_of(4, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + n; seed++) {
		struct sim sim;
		int head, other;

		sim_deploy(&sim, seed, CONTROLLERS, ROUTERS, 4);
		assert_true(sim_run(&sim, WARM_MS, NULL));
		head = head_of_zone(&sim, "z1");
		assert_true(head >= 0);
		sim_crash(&sim, head, 0);
		assert_true(sim_run(&sim, 100, NULL));
		sim_start(&sim, head);
		assert_true(sim_run(&sim, SETTLE_MS, NULL));
		other = head_of_zone(&sim, "z1");
		if (other < 0 || other == head)
			fail_msg("seed %llu: %d is the head, %d was", (unsigned long long)seed, other, head);
		assert_true(sim_run(&sim, WARM_MS, NULL));
		assert_int_equal(head_of_zone(&sim, "z1"), first_by_rank(&sim, "z1"));
		sim_close(&sim);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(overlapping_answers_all_count),
		cmocka_unit_test(a_slow_leader_is_not_a_silent_one),
		cmocka_unit_test(a_leader_that_knows_less_proves_nothing),
		cmocka_unit_test(a_restarted_router_is_no_head_at_first),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
