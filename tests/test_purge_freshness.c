/* Routers that stand still, or are cut off, while context is cleared: what they hear late of purges must not look like news. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "ds.h"
#include "sim.h"

enum { CONTROLLERS = 4, ROUTERS = 3, ISOLATION_MS = 20000, SERVERS = 6, PURGED_GRACE_MS = 5000, LINGER_MS = 2500 };

static uint64_t seeds_of(uint64_t n, uint64_t *first)
{
	*first = getenv("NL_SEED") ? strtoull(getenv("NL_SEED"), NULL, 10) : 1;
	return getenv("NL_SEEDS") ? strtoull(getenv("NL_SEEDS"), NULL, 10) : n;
}

static const char *const lanes[] = { "arrears", "repairs", "sorting" };

/* Callers ask one router for prompts that were kept before. */
static void ask_router(struct sim *s, uint64_t *rng, int router, int64_t ms)
{
	char id[32];

	for (int64_t end = s->now + ms; s->now < end;) {
		uint64_t pick = core_rand(rng);

		snprintf(id, sizeof id, "x%llu", (unsigned long long)++s->token);
		sim_ask(s, router, id, (int)(pick % 4), lanes[pick / 4 % 3], (int)(pick / 12 % 3));
		if (!sim_run(s, 1 + (int64_t)(core_rand(rng) % 20), NULL))
			fail_msg("%s", s->bad);
	}
}

static void cut_all_links(struct sim *s, int node)
{
	for (int i = 0; i < 16; i++)
		s->link_cut[node][i] = s->link_cut[i][node] = i != node;
}

/* A router stands still while its neighbours' messages lie at its door, and goes on once all context was cleared. Its
 * publisher is still cut off: what it reads first is the old knowledge, which must not look like news. */
static void old_knowledge_is_not_news(void **state)
{
	uint64_t first, seeds = seeds_of(16, &first), judged = 0, seen = 0;

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct sim s;
		uint64_t rng = seed * 31, token;
		struct sim_clear cleared = { "", "", 0, 0 };
		int router = SIM_REGS + (int)(seed % ROUTERS), publisher;

		sim_deploy(&s, seed, CONTROLLERS, ROUTERS, SERVERS);
		s.epoch = 1800000000000ll;
		for (int i = 0; i < SERVERS; i++)
			s.sv[i].hoard = 1; /* old parts stay at their servers */
		for (int i = 0; i < ROUTERS; i++)
			ask_router(&s, &rng, SIM_REGS + i, 1500);
		sim_freeze(&s, router, 1);
		sim_run(&s, 300 + (int64_t)(core_rand(&rng) % 500), NULL);
		cut_all_links(&s, router);
		for (int i = 0; i < ROUTERS; i++)
			if (s.n[SIM_REGS + i].c->relay.k.horizon > cleared.made)
				cleared.made = s.n[SIM_REGS + i].c->relay.k.horizon;
		do {
			token = sim_call(&s, (int)(core_rand(&rng) % CONTROLLERS), "POST", "/v1/clear",
					 "{\"scope\":\"*\",\"by\":\"test\"}");
			sim_run(&s, 1000, NULL);
		} while (!sim_answer(&s, token) || sim_answer(&s, token)->status != 200);
		sim_run(&s, ISOLATION_MS, NULL);
		cleared.after = s.now;
		arrput(s.clear, cleared);
		publisher = sim_owner(&s, SHARD_PURGE);
		memset(s.link_cut, 0, sizeof s.link_cut);
		if (publisher != sim_owner(&s, SHARD_CONTROL) && publisher >= 0) {
			s.link_cut[router][publisher] = s.link_cut[publisher][router] = 1;
			for (int i = 0; i < ROUTERS; i++)
				if (SIM_REGS + i != router)
					s.link_cut[router][SIM_REGS + i] = s.link_cut[SIM_REGS + i][router] = 1;
			seen++;
		}
		sim_freeze(&s, router, 0);
		ask_router(&s, &rng, router, LINGER_MS);
		memset(s.link_cut, 0, sizeof s.link_cut);
		ask_router(&s, &rng, router, 2000);
		if (s.bad[0])
			fail_msg("%s", s.bad);
		if (!relay_current(&s.n[router].c->relay, sim_local(&s, router)))
			fail_msg("seed %llu: router %d does not hear of purges again", (unsigned long long)seed, router);
		judged += s.n_judged;
		sim_close(&s);
	}
	print_message("%llu uses judged, %llu of %llu with the publisher cut off\n", (unsigned long long)judged,
		      (unsigned long long)seen, (unsigned long long)seeds);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(old_knowledge_is_not_news),
	};

	apr_initialize();
	if (getenv("NL_TEST"))
		cmocka_set_test_filter(getenv("NL_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
