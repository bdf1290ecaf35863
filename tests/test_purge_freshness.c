/* Routers that stand still, or are cut off, while context is purged: what they hear late of purges must not
 * look like news. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "containers.h"
#include "sim.h"

enum {
	CONTROLLERS = 4,
	ROUTERS = 3,
	ISOLATION_MS = 20000,
	SERVERS = 6,
	PURGED_GRACE_MS = 5000,
	LINGER_MS = 2500
};

static uint64_t seeds_of(uint64_t n, uint64_t *first)
{
	*first = getenv("NL_SEED") ? strtoull(getenv("NL_SEED"), NULL, 10) : 1;
	return getenv("NL_SEEDS") ? strtoull(getenv("NL_SEEDS"), NULL, 10) : n;
}

static const char *const lanes[] = { "arrears", "repairs", "sorting" };

/* Callers ask one router for prompts that were kept before. */
static void ask_router(struct sim *sim, uint64_t *rng, int router, int64_t ms)
{
	char id[32];

	for (int64_t end = sim->now + ms; sim->now < end;) {
		uint64_t pick = core_random(rng);

		snprintf(id, sizeof id, "x%llu", (unsigned long long)++sim->token);
		sim_submit(sim, router, id, (int)(pick % 4), lanes[pick / 4 % 3], (int)(pick / 12 % 3));
		if (!sim_run(sim, 1 + (int64_t)(core_random(rng) % 20), NULL))
			fail_msg("%s", sim->violation);
	}
}

static void cut_all_links(struct sim *sim, int node)
{
	for (int i = 0; i < 16; i++)
		sim->link_cut[node][i] = sim->link_cut[i][node] = i != node;
}

/* A router stands still while its neighbours' messages lie at its door, and goes on once all context was
 * purged. Its publisher is still cut off: what it reads first is the old knowledge, which must not look like
 * news. */
static void old_knowledge_is_not_fresh(void **state)
{
	uint64_t first, seeds = seeds_of(16, &first), judged = 0, seen = 0;

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct sim sim;
		uint64_t rng = seed * 31, token;
		struct sim_purge cleared = { "", "", 0, 0 };
		int router = SIM_CONTROLLERS + (int)(seed % ROUTERS), publisher;

		sim_deploy(&sim, seed, CONTROLLERS, ROUTERS, SERVERS);
		sim.wall_clock_epoch_ms = 1800000000000ll;
		for (int i = 0; i < SERVERS; i++)
			sim.servers[i].ignores_drops = 1; /* old parts stay at their servers */
		for (int i = 0; i < ROUTERS; i++)
			ask_router(&sim, &rng, SIM_CONTROLLERS + i, 1500);
		sim_freeze(&sim, router, 1);
		sim_run(&sim, 300 + (int64_t)(core_random(&rng) % 500), NULL);
		cut_all_links(&sim, router);
		for (int i = 0; i < ROUTERS; i++)
			if (sim.nodes[SIM_CONTROLLERS + i].router->relay.knowledge.horizon > cleared.made)
				cleared.made = sim.nodes[SIM_CONTROLLERS + i].router->relay.knowledge.horizon;
		do {
			token = sim_call(&sim, (int)(core_random(&rng) % CONTROLLERS), "POST", "/v1/clear",
					 "{\"scope\":\"*\",\"by\":\"test\"}");
			sim_run(&sim, 1000, NULL);
		} while (!sim_answer(&sim, token) || sim_answer(&sim, token)->status != 200);
		sim_run(&sim, ISOLATION_MS, NULL);
		cleared.after = sim.now;
		arrput(sim.purges, cleared);
		publisher = sim_leader(&sim, SHARD_PURGE);
		memset(sim.link_cut, 0, sizeof sim.link_cut);
		if (publisher != sim_leader(&sim, SHARD_CONTROL) && publisher >= 0) {
			sim.link_cut[router][publisher] = sim.link_cut[publisher][router] = 1;
			for (int i = 0; i < ROUTERS; i++)
				if (SIM_CONTROLLERS + i != router)
					sim.link_cut[router][SIM_CONTROLLERS + i] =
					    sim.link_cut[SIM_CONTROLLERS + i][router] = 1;
			seen++;
		}
		sim_freeze(&sim, router, 0);
		ask_router(&sim, &rng, router, LINGER_MS);
		memset(sim.link_cut, 0, sizeof sim.link_cut);
		ask_router(&sim, &rng, router, 2000);
		if (sim.violation[0])
			fail_msg("%s", sim.violation);
		if (!relay_is_current(&sim.nodes[router].router->relay, sim_local_clock(&sim, router)))
			fail_msg("seed %llu: router %d does not hear of purges again",
				 (unsigned long long)seed, router);
		judged += sim.n_checked;
		sim_close(&sim);
	}
	print_message("%llu uses judged, %llu of %llu with the publisher cut off\n",
		      (unsigned long long)judged, (unsigned long long)seen, (unsigned long long)seeds);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(old_knowledge_is_not_fresh),
	};

	apr_initialize();
	if (getenv("NL_TEST"))
		cmocka_set_test_filter(getenv("NL_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
