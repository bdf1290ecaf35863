/* Figures of the fleet in virtual time: messages, syncs, lags. Not a test; docs/measurements.md says how it
 * is run. measure counts          messages and syncs per change, purge and request measure failover N times
 * until a change is acknowledged after the leader is lost, over N seeds measure bounds N        drains,
 * removed keys and roll-outs as distributions over N seeds measure load N          N requests, for callgrind
 * with --toggle-collect=router_step */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "sim.h"

static void fail(struct sim *sim, const char *what)
{
	fprintf(stderr, "seed %llu at %lld: %s %s\n", (unsigned long long)sim->seed, (long long)sim->now,
		what, sim->violation);
	exit(1);
}

static void must(struct sim *sim)
{
	if (sim->violation[0])
		fail(sim, "breach");
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static void spread(const char *what, int64_t *v, int n)
{
	qsort(v, (size_t)n, sizeof *v, by_value);
	printf("%-58s least %6lld  median %6lld  p95 %6lld  most %6lld ms  (%d seeds)\n", what,
	       (long long)v[0], (long long)v[n / 2], (long long)v[n * 95 / 100], (long long)v[n - 1], n);
}

struct count {
	uint64_t msg, sync, bytes;
};

static struct count now_count(const struct sim *sim)
{
	return (struct count){ sim->n_msg, sim->n_sync, sim->n_bytes };
}

static void per(const char *what, struct count a, struct count b, struct count idle, double n)
{
	printf("%-58s %8.1f messages %6.2f syncs %9.0f bytes\n", what,
	       ((double)(b.msg - a.msg) - (double)idle.msg) / n,
	       ((double)(b.sync - a.sync) - (double)idle.sync) / n,
	       ((double)(b.bytes - a.bytes) - (double)idle.bytes) / n);
}

static void counts(void)
{
	struct sim s;
	struct count a, b, idle;
	char body[300], id[32];
	int n = 50;

	sim_deploy(&s, 11, 4, 9, 18);
	sim_run(&s, 15000, NULL);
	a = now_count(&s);
	sim_run(&s, 50000, NULL);
	b = now_count(&s);
	idle = (struct count){ b.msg - a.msg, b.sync - a.sync, b.bytes - a.bytes };
	per("nothing to do, a second (4 registrars, 9 counters)", a, b, (struct count){ 0, 0, 0 }, 50);
	printf("  of these: rounds %.1f, follow %.1f, feeds %.1f, purge stream %.1f a second\n",
	       (double)(s.messages_by_body[NL__MSG__BODY_APPEND] +
			s.messages_by_body[NL__MSG__BODY_APPEND_REPLY]) /
		   68,
	       (double)(s.messages_by_body[NL__MSG__BODY_CONFIG_SYNC] +
			s.messages_by_body[NL__MSG__BODY_CONFIG_SYNC_REPLY]) /
		   68,
	       (double)(s.messages_by_body[NL__MSG__BODY_FEED_REQUEST] +
			s.messages_by_body[NL__MSG__BODY_FEED_REPLY]) /
		   68,
	       (double)(s.messages_by_body[NL__MSG__BODY_KNOWLEDGE] +
			s.messages_by_body[NL__MSG__BODY_CURIOSITY]) /
		   68);
	a = now_count(&s);
	for (int i = 0; i < n; i++) {
		snprintf(body, sizeof body,
			 "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":%d,\"limit\":100}]}",
			 1 + i);
		sim_call(&s, 0, "POST", "/v1/change", body);
		sim_run(&s, 1000, NULL);
	}
	per("a configuration change, beyond that", a, now_count(&s), idle, n);
	a = now_count(&s);
	for (int i = 0; i < n; i++) {
		snprintf(
		    body, sizeof body,
		    "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":1,\"limit\":100,\"walled\":%s}]}",
		    i & 1 ? "false" : "true");
		sim_call(&s, 0, "POST", "/v1/change", body);
		sim_run(&s, 1000, NULL);
	}
	per("a change that walls a tenant (with its purge)", a, now_count(&s), idle, n);
	a = now_count(&s);
	for (int i = 0; i < 1000; i++) {
		snprintf(id, sizeof id, "m%d", i);
		sim_submit(&s, SIM_CONTROLLERS + i % 9, id, i % 4,
			   i % 3 == 0   ? "arrears"
			   : i % 3 == 1 ? "repairs"
					: "sorting",
			   i % 3);
		sim_run(&s, 50, NULL);
	}
	per("an exchange, at 20 a second", a, now_count(&s), idle, 1000);
	must(&s);
	sim_close(&s);
}

static void failover(int n)
{
	int64_t *change = calloc((size_t)n, sizeof *change), *horizon = calloc((size_t)n, sizeof *horizon),
		*serve = calloc((size_t)n, sizeof *serve);

	for (int k = 0; k < n; k++) {
		struct sim sim;
		int64_t from;
		uint64_t complete, ceiling;
		int pub, i;

		sim_deploy(&sim, 100 + (uint64_t)k, 4, 3, 6);
		sim_run(&sim, (int64_t)(core_random(&sim.rng) % 1000), NULL);
		sim_crash(&sim, sim_leader(&sim, SHARD_CONTROL), 0);
		from = sim.now;
		if (!sim_change(&sim,
				"{\"set\":[{\"kind\":\"tenant\",\"name\":\"t1\",\"share\":9,\"limit\":100}]}",
				12000))
			fail(&sim, "not acknowledged");
		change[k] = sim.now - from;
		complete = sim.n_complete;
		for (i = 0; sim.n_complete == complete; i++) {
			char id[32];

			snprintf(id, sizeof id, "f%d", i);
			sim_submit(&sim, SIM_CONTROLLERS, id, 0, "arrears", 0);
			sim_run(&sim, 20, NULL);
		}
		serve[k] = sim.now - from;
		sim_run(&sim, 20000, NULL);
		pub = sim_leader(&sim, SHARD_PURGE);
		ceiling =
		    sim.nodes[pub].controller->purge_state.tick_ceiling; /* a successor starts above it */
		sim_crash(&sim, pub, 0);
		from = sim.now;
		for (int c = SIM_CONTROLLERS; c < SIM_CONTROLLERS + 3; c++) {
			while (sim.nodes[c].router->relay.knowledge.horizon < ceiling)
				if (!sim_run(&sim, 10, NULL) || sim.now - from > 20000)
					fail(&sim, "the horizon stands still");
		}
		horizon[k] = sim.now - from;
		must(&sim);
		sim_close(&sim);
	}
	spread("owner of the configuration lost: change acknowledged", change, n);
	spread("owner of the configuration lost: an exchange whole again", serve, n);
	spread("publisher lost: every counter's horizon under the next", horizon, n);
	free(change);
	free(horizon);
	free(serve);
}

static int last_begin(struct sim *sim, int tenant, int64_t since, int64_t *last)
{
	for (ptrdiff_t i = 0; i < arrlen(sim->requests); i++)
		if ((tenant < 0 || sim->requests[i].tenant == tenant) && sim->requests[i].execution_count &&
		    sim->requests[i].submitted_at > since && sim->requests[i].submitted_at - since > *last)
			*last = sim->requests[i].submitted_at - since;
	return 0;
}

static void bounds(int n)
{
	int64_t *drain = calloc((size_t)n, sizeof *drain), *key = calloc((size_t)n, sizeof *key),
		*roll = calloc((size_t)n, sizeof *roll);

	for (int k = 0; k < n; k++) {
		struct sim sim;
		char body[300], id[32], hex[65];
		int64_t from, end;
		uint64_t before;

		sim_deploy(&sim, 500 + (uint64_t)k, 4, 9, 18);
		sim.jitter_ms = 40;
		sim_freeze(&sim, SIM_CONTROLLERS + 1, 1);
		snprintf(
		    body, sizeof body,
		    "{\"set\":[{\"kind\":\"server\",\"name\":\"s0\",\"service\":\"arrears\",\"addr\":\"%s\",\"state\":\"draining\"}],\"del\":[{\"kind\":\"key\",\"name\":\"%s\"}]}",
		    sim.servers[0].addr, sim_key(2, hex));
		if (!sim_change(&sim, body, 12000))
			fail(&sim, "not acknowledged");
		from = sim.now;
		sim.servers[0].drain_acked_at = sim.now;
		before = 0;
		for (int i = 0; sim.now < from + 6000; i++) {
			int was = sim.servers[0].running;

			snprintf(id, sizeof id, "b%d", i);
			sim_submit(&sim, SIM_CONTROLLERS + i % 9, id, i % 2 ? 2 : 1, "arrears", i % 3);
			sim_run(&sim, 5, NULL);
			if (sim.servers[0].running > was)
				before = (uint64_t)(sim.now - from);
			if (sim.now > from + 2500)
				sim_freeze(&sim, SIM_CONTROLLERS + 1,
					   0); /* wakes with everything it was asked meanwhile */
		}
		drain[k] = (int64_t)before;
		last_begin(&sim, 2, from, &key[k]);
		if (!sim_change(
			&sim,
			"{\"set\":[{\"kind\":\"service\",\"name\":\"repairs\",\"weights\":\"w2\",\"prefill\":20,\"kv_bytes\":400,\"link\":100000}]}",
			12000))
			fail(&sim, "not acknowledged");
		from = sim.now;
		for (end = 0; !end;) {
			int on = 0;

			sim_run(&sim, 20, NULL);
			for (int i = 1; i < 18; i += 3)
				on += !strcmp(sim.servers[i].weights, "w2");
			if (on == 6)
				end = sim.now;
			if (sim.now - from > 30000)
				fail(&sim, "the roll-out stands still");
		}
		roll[k] = end - from;
		must(&sim);
		sim_close(&sim);
	}
	spread("last send to a draining server after the acknowledgement", drain, n);
	spread("last exchange begun with a removed key after it", key, n);
	spread("named weights on all six servers of a service", roll, n);
	free(drain);
	free(key);
	free(roll);
}

static void load(int n)
{
	struct sim sim;
	char id[32];

	sim_deploy(&sim, 11, 4, 3, 6);
	for (int i = 0; i < n; i++) {
		snprintf(id, sizeof id, "l%d", i);
		sim_submit(&sim, SIM_CONTROLLERS + i % 3, id, i % 4,
			   i % 3 == 0   ? "arrears"
			   : i % 3 == 1 ? "repairs"
					: "sorting",
			   i % 3);
		sim_run(&sim, 10, NULL);
	}
	sim_run(&sim, 2000, NULL);
	must(&sim);
	printf("%llu whole\n", (unsigned long long)sim.n_complete);
	sim_close(&sim);
}

int main(int argc, char **argv)
{
	int n = argc > 2 ? atoi(argv[2]) : 0;

	apr_initialize();
	if (argc == 2 && !strcmp(argv[1], "counts"))
		counts();
	else if (n > 0 && !strcmp(argv[1], "failover"))
		failover(n);
	else if (n > 0 && !strcmp(argv[1], "bounds"))
		bounds(n);
	else if (n > 0 && !strcmp(argv[1], "load"))
		load(n);
	else {
		fprintf(stderr, "Usage: measure counts | failover N | bounds N | load N\n");
		return 2;
	}
	return 0;
}
