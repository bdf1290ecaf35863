/* Forwarded requests: whole fleets with front ends, callers and servers that keep parts, under seeded virtual
 * time and fault. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>

#include "router_internal.h"
#include "containers.h"
#include "sim_forward.h"
#include "router_fixture.h"

enum { CONTROLLERS = 4, ROUTERS = 4, SERVERS = 9 };

static uint64_t seeds(uint64_t n)
{
	const char *e = getenv("NL_SEEDS");

	return e ? strtoull(e, NULL, 10) : n;
}

static uint64_t random_below(uint64_t *s, uint64_t n)
{
	return core_random(s) % n;
}

static void go(struct sim_forward *forwarding, int64_t ms)
{
	if (!sim_forward_run(forwarding, ms))
		fail_msg("%s", forwarding->sim.violation);
}

static void done(struct sim_forward *forwarding)
{
	if (!sim_forward_end(forwarding))
		fail_msg("%s", forwarding->sim.violation);
	sim_forward_close(forwarding);
}

static void open_fleet(struct sim_forward *forwarding, uint64_t seed, int routers, int servers,
		       void (*before)(struct sim_forward *))
{
	sim_forward_open(forwarding, seed, CONTROLLERS, routers, servers, before);
	if (forwarding->sim.violation[0])
		fail_msg("%s", forwarding->sim.violation);
}

static void change(struct sim_forward *f, struct sim_forward_config c)
{
	if (!sim_forward_change(f, c))
		fail_msg("seed %llu: the change is not acknowledged: %s", (unsigned long long)f->sim.seed,
			 f->sim.violation);
}

/* ---- whole fleets ------------------------------------------------------------------------- */

/* Calm times: everything is served, cached blocks are used again, nothing runs twice. */
static void calm(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(3); seed++) {
		struct sim_forward forwarding;

		open_fleet(&forwarding, seed, ROUTERS, SERVERS, NULL);
		forwarding.request_interval_ms = 12;
		go(&forwarding, 8000);
		forwarding.request_interval_ms = 0;
		go(&forwarding, 7000);
		if (seed == 1)
			print_message(
			    "calm: %d asked, %d whole, %d refused, %d parts read, %d reused, %d fetched, %d left at the store, %d watches, %d events\n",
			    (int)arrlen(forwarding.submitted), (int)forwarding.n_complete,
			    (int)forwarding.n_refused, (int)forwarding.n_read, (int)forwarding.n_reused,
			    (int)forwarding.n_fetched, (int)forwarding.n_offloaded, (int)forwarding.n_watches,
			    (int)forwarding.n_events);
		assert_true(forwarding.n_complete * 100 >=
			    (uint64_t)arrlen(forwarding.submitted) * 93); /* some callers leave */
		assert_true(forwarding.n_reused > forwarding.n_read);
		assert_int_equal(forwarding.n_cut, 0);
		assert_int_equal(forwarding.n_resend, 0);
		done(&forwarding);
	}
}

static void misbehave(struct sim_forward *forwarding, int i, uint64_t *d)
{
	struct sim_forward_server *server = &forwarding->servers[i];

	switch (random_below(d, 10)) {
	case 0:
		server->refusal_per_mille = 300;
		break;
	case 1:
		server->no_answer_per_mille = 100;
		break;
	case 2:
		server->extra_chunk_interval_ms = 200;
		break;
	case 3:
		server->error_per_mille = 200;
		break;
	case 4:
		server->break_per_mille = 300;
		break;
	case 5:
		server->break_before_head_per_mille = 300;
		break;
	case 6:
		server->repeated_chunk_per_mille = 500;
		break;
	case 7:
		server->unmarked_refusal_per_mille = 200;
		break;
	default:
		server->refusal_per_mille = server->no_answer_per_mille = server->extra_chunk_interval_ms =
		    server->error_per_mille = server->break_per_mille = server->break_before_head_per_mille =
			server->repeated_chunk_per_mille = server->unmarked_refusal_per_mille = 0;
	}
}

static void servers_change(struct sim_forward *forwarding, uint64_t *d)
{
	int i = (int)random_below(d, (uint64_t)arrlen(forwarding->sim.instance_list.instances)), up = 0, kind;
	struct sim_instance *instance = &forwarding->sim.instance_list.instances[i];

	kind = instance->service[0] == 'a';
	for (ptrdiff_t k = 0; k < arrlen(forwarding->sim.instance_list.instances); k++)
		up += forwarding->sim.instance_list.instances[k].up &&
		      !forwarding->sim.instance_list.instances[k].draining &&
		      (forwarding->sim.instance_list.instances[k].service[0] == 'a') == kind;
	switch (random_below(d, 4)) {
	case 0:
		if (instance->up && !instance->draining && up > 1)
			sim_instance_drain(&forwarding->sim, i);
		break;
	case 1:
		if (instance->up && up > 1 &&
		    (!instance->draining || forwarding->sim.now - instance->drained_at > 2000))
			sim_instance_end(&forwarding->sim, i, instance->draining ? 0 : 2000);
		break;
	case 2:
		if (!instance->up) /* its address is somebody else's now, of the other service */
			sim_forward_server(forwarding, !kind, i);
		break;
	default:
		sim_forward_server(forwarding, kind, -1);
	}
}

static void config_changes(struct sim_forward *forwarding, uint64_t *d)
{
	struct sim_forward_config config = arrlast(forwarding->configs);
	int k = (int)random_below(d, SIM_FORWARD_KEYS), t = (int)random_below(d, SIM_FORWARD_TENANTS);

	switch (random_below(d, 5)) {
	case 0:
		config.service[SIM_FORWARD_ONCE] = !config.service[SIM_FORWARD_ONCE];
		break;
	case 1:
		config.service[SIM_FORWARD_DEEP] = config.service[SIM_FORWARD_DEEP] < 0;
		break;
	case 2:
		config.isolated[t] = !config.isolated[t];
		break;
	case 3:
		config.isolated[0] = !config.isolated[0];
		break;
	default:
		if (k % 2) /* one key of each tenant stays */
			config.key[k] = -1;
	}
	(void)sim_forward_change(forwarding,
				 config); /* in times of fault it may fail, and be in force all the same */
	if (forwarding->sim.violation[0])
		fail_msg("%s", forwarding->sim.violation);
}

struct down {
	int node, how;
	int64_t until;
};

static void trouble(struct sim_forward *forwarding, struct down *v, uint64_t *d, int core)
{
	struct down down = { -1, (int)random_below(d, 3),
			     forwarding->sim.now + 300 + (int64_t)random_below(d, 7000) };

	down.node = core ? sim_leader(&forwarding->sim, random_below(d, 4) ? SHARD_CONTROL : SHARD_PURGE)
			 : SIM_CONTROLLERS + (int)random_below(d, (uint64_t)forwarding->router_count);
	if (down.node < 0 || v->node >= 0 || !forwarding->sim.nodes[down.node].up)
		return;
	*v = down;
	if (down.how == 0)
		sim_crash(&forwarding->sim, down.node, 0);
	else if (down.how == 1)
		sim_freeze(&forwarding->sim, down.node, 1);
	else
		sim_set_partition(&forwarding->sim, down.node,
				  core ? 1 : 2); /* both at once are not cut off together */
}

static void mend(struct sim_forward *forwarding, struct down *down, int now)
{
	if (down->node < 0 || (!now && forwarding->sim.now < down->until))
		return;
	if (down->how == 0)
		sim_start(&forwarding->sim, down->node);
	else if (down->how == 1)
		sim_freeze(&forwarding->sim, down->node, 0);
	else
		sim_set_partition(&forwarding->sim, down->node, 0);
	down->node = -1;
}

static void messy(struct sim_forward *forwarding)
{
	uint64_t seed = forwarding->sim.seed;

	forwarding->event_loss_per_mille = seed % 3 ? 0 : 150;
	forwarding->event_lag_ms = seed % 4 == 1 ? 400 : 60;
	forwarding->capacity_blocks = seed % 5 == 2 ? 12 : 60;
	forwarding->has_tenant_prefixes = seed % 2;
	forwarding->sim.instance_list.slots = seed % 4 == 2 ? 4 : 0;
	forwarding->sim.instance_list.listing_delay_ms = seed % 4 == 3 ? 1500 : 800;
	forwarding->sim.instance_list.refusal_per_mille = seed % 6 == 5 ? 100 : 0;
	forwarding->sim.loss_per_mille = seed % 7 == 6 ? 30 : 0;
}

/* Everything at once: each seed has its own mixture. */
static void storms(void **state)
{
	uint64_t complete = 0, submitted = 0, resend = 0, up = 0, wrong = 0, cut = 0, refused = 0, reused = 0,
		 judged = 0, never = 0, runs = 0, lost = 0;
	const char *from = getenv("NL_FROM");

	(void)state;
	for (uint64_t seed = from ? strtoull(from, NULL, 10) : 1; seed <= seeds(10); seed++) {
		struct sim_forward forwarding;
		struct down router_node = { -1, 0, 0 }, controller_node = { -1, 0, 0 };
		uint64_t d = seed * 977;
		int weights[2] = { 1, 1 };

		open_fleet(&forwarding, seed, ROUTERS, SERVERS, messy);
		forwarding.request_interval_ms = seed % 4 == 2 ? 5 : 12;
		for (int step = 0; step < 40; step++) {
			switch (random_below(&d, 9)) {
			case 0:
			case 1:
				misbehave(&forwarding,
					  (int)random_below(&d, (uint64_t)arrlen(forwarding.servers)), &d);
				break;
			case 2:
			case 3:
				servers_change(&forwarding, &d);
				break;
			case 4:
				if (seed % 5 != 1)
					config_changes(&forwarding, &d);
				break;
			case 5:
				if (seed % 3 != 1)
					trouble(&forwarding, &router_node, &d, 0);
				break;
			case 6:
				if (seed % 3 == 2)
					trouble(&forwarding, &controller_node, &d, 1);
				break;
			case 7:
				if (step % 8 == 4) {
					int k = (int)random_below(&d, 2);

					if (sim_forward_set_target(&forwarding, k, weights[k] + 1))
						weights[k]++;
				}
				break;
			default:
				if (seed % 6 == 3)
					forwarding.sim.instance_list.unavailable_until =
					    forwarding.sim.now + 1500;
			}
			mend(&forwarding, &router_node, 0);
			mend(&forwarding, &controller_node, 0);
			go(&forwarding, 100 + (int64_t)random_below(&d, 900));
		}
		mend(&forwarding, &router_node, 1);
		mend(&forwarding, &controller_node, 1);
		forwarding.request_interval_ms = 0;
		go(&forwarding, 8000);
		complete += forwarding.n_complete;
		submitted += (uint64_t)arrlen(forwarding.submitted);
		resend += forwarding.n_resend;
		up += forwarding.n_resumed;
		wrong += forwarding.n_wrong_incarnation;
		cut += forwarding.n_cut;
		refused += forwarding.n_refused;
		reused += forwarding.n_reused + forwarding.n_fetched;
		judged += forwarding.n_checked;
		never += forwarding.n_not_run;
		runs += forwarding.n_run;
		lost += forwarding.n_lost;
		done(&forwarding);
	}
	print_message(
	    "storms: %llu asked, %llu runs, %llu whole, %llu answered otherwise, %llu cut, %llu resends, %llu taken up, %llu never ran, "
	    "%llu 421, %llu parts reused or fetched, %llu gaps in events\n",
	    (unsigned long long)submitted, (unsigned long long)runs, (unsigned long long)complete,
	    (unsigned long long)refused, (unsigned long long)cut, (unsigned long long)resend,
	    (unsigned long long)up, (unsigned long long)never, (unsigned long long)wrong,
	    (unsigned long long)reused, (unsigned long long)lost);
	assert_true(judged == reused);
}

/* ---- one guard at a time --------------------------------------------------------------------- */

static int asks(struct sim_forward *forwarding, int n, int route)
{
	int first = (int)arrlen(forwarding->requests);

	for (int i = 0; i < n; i++)
		sim_forward_submit(forwarding, SIM_CONTROLLERS + i % forwarding->router_count, route,
				   i % SIM_FORWARD_KEYS, i, 9); /* without trying again */
	return first;
}

/* All servers refuse at once, again and again: what went back to its queue is not sent again on a credit that
 * is spent. */
static void many_are_requeued(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(3); seed++) {
		struct sim_forward forwarding;

		open_fleet(&forwarding, seed, 2, 4, NULL);
		for (ptrdiff_t i = 0; i < arrlen(forwarding.servers); i++)
			forwarding.servers[i].refusal_per_mille = 1000;
		asks(&forwarding, 80, SIM_FORWARD_CHAT);
		go(&forwarding, 7000);
		assert_true(forwarding.n_resend > 0);
		assert_int_equal(forwarding.n_run, 0);
		done(&forwarding);
	}
}

/* Streams that break off are taken up after their last piece, without a gap and without a second head. */
static void streams_are_resumed(void **state)
{
	uint64_t all = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= seeds(4); seed++) {
		struct sim_forward forwarding;

		open_fleet(&forwarding, seed, 2, 6, NULL);
		forwarding.request_interval_ms = 15;
		for (ptrdiff_t i = 0; i < arrlen(forwarding.servers); i++) {
			forwarding.servers[i].break_per_mille = 120;
			forwarding.servers[i].repeated_chunk_per_mille = 500;
		}
		go(&forwarding, 9000);
		forwarding.request_interval_ms = 0;
		go(&forwarding, 7000);
		assert_true(forwarding.n_resumed > 0);
		all += forwarding.n_resumed;
		done(&forwarding);
	}
	assert_true(all > 10 * seeds(4));
}

/* A router is cut off while slow servers work for it: what may have run is never told that it has not; and
 * with its keys it takes nothing more in time, nor does a front end that was frozen send what was decided
 * before.
 */
static void a_router_is_partitioned(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(6); seed++) {
		struct sim_forward forwarding;
		struct sim_forward_config config;
		int hold = seed % 3 == 2;

		open_fleet(&forwarding, seed, 3, 6, NULL);
		forwarding.request_timeout_ms = 9000;
		forwarding.request_interval_ms = 6;
		for (ptrdiff_t i = 0; i < arrlen(forwarding.servers); i++)
			forwarding.servers[i].no_answer_per_mille = 200;
		go(&forwarding, 500);
		if (hold)
			sim_freeze(&forwarding.sim, SIM_CONTROLLERS, 1);
		else
			sim_set_partition(&forwarding.sim, SIM_CONTROLLERS, 2);
		go(&forwarding, 100);
		config = arrlast(forwarding.configs);
		for (int k = 1; k < SIM_FORWARD_KEYS; k += 2)
			config.key[k] = -1;
		change(&forwarding, config);
		go(&forwarding, seed % 2 ? 5500 : 8000);
		if (hold)
			sim_freeze(&forwarding.sim, SIM_CONTROLLERS, 0);
		else
			sim_set_partition(&forwarding.sim, SIM_CONTROLLERS, 0);
		go(&forwarding, 2000);
		forwarding.request_interval_ms = 0;
		go(&forwarding, 9500);
		done(&forwarding);
	}
}

/* What a front end has been told to send when its process is frozen does not leave after the thaw. */
static void a_front_end_thaws(void **state)
{
	struct sim_forward forwarding;
	uint64_t runs;

	(void)state;
	open_fleet(&forwarding, 3, 1, 4, NULL);
	forwarding.request_timeout_ms = 60000;
	for (int i = 0; i < 40; i++) {
		sim_forward_submit(&forwarding, SIM_CONTROLLERS, SIM_FORWARD_ONCE, 0, i, 9);
		go(&forwarding, 1);
	}
	sim_freeze(&forwarding.sim, SIM_CONTROLLERS, 1);
	go(&forwarding, 20);
	runs = forwarding.n_run;
	go(&forwarding, 4000);
	assert_int_equal(forwarding.n_run, runs);
	sim_freeze(&forwarding.sim, SIM_CONTROLLERS, 0);
	go(&forwarding, 3000);
	done(&forwarding);
}

/* No server stands: what waits ends, what comes is refused, both long before their limits. */
static void no_server_stands(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(2); seed++) {
		struct sim_forward forwarding;
		int first;

		open_fleet(&forwarding, seed, 2, 4, NULL);
		forwarding.request_timeout_ms = 60000;
		for (ptrdiff_t i = 0; i < arrlen(forwarding.sim.instance_list.instances); i++)
			if (forwarding.sim.instance_list.instances[i].service[0] == 'p')
				sim_instance_end(&forwarding.sim, (int)i, 0);
		go(&forwarding, 2000);
		first = asks(&forwarding, 20, SIM_FORWARD_ONCE);
		go(&forwarding, 5500);
		for (int i = 0; i < 20; i++) {
			assert_int_equal(forwarding.requests[first + i].outcome, SIM_FORWARD_ANSWERED);
			assert_int_equal(forwarding.requests[first + i].status, 503);
		}
		first = asks(&forwarding, 20, SIM_FORWARD_ONCE);
		go(&forwarding, 50);
		for (int i = 0; i < 20; i++)
			assert_int_equal(forwarding.requests[first + i].status, 503);
		first = asks(&forwarding, 20, SIM_FORWARD_DEEP); /* of the other service */
		go(&forwarding, 1500);
		for (int i = 0; i < 20; i++)
			assert_int_equal(forwarding.requests[first + i].outcome, SIM_FORWARD_COMPLETE);
		done(&forwarding);
	}
}

/* No purge knowledge comes: nothing is reused until it comes again, though all is served. */
static void the_purge_horizon_stands_still(void **state)
{
	struct sim_forward forwarding;
	uint64_t reused, cold;

	(void)state;
	open_fleet(&forwarding, 1, 3, 6, NULL);
	forwarding.request_interval_ms = 15;
	go(&forwarding, 3000);
	assert_true(forwarding.n_reused > 0);
	assert_int_equal(forwarding.n_cold_namespaces, 0);
	forwarding.sim.undelivered_bodies =
	    1ull << NL__MSG__BODY_KNOWLEDGE | 1ull << NL__MSG__BODY_PURGE_SNAPSHOT;
	go(&forwarding, PURGE_MAX_STALENESS_MS + 500);
	reused = forwarding.n_reused + forwarding.n_fetched;
	cold = forwarding.n_cold_namespaces;
	assert_true(cold > 0);
	go(&forwarding, 3000);
	assert_int_equal(forwarding.n_reused + forwarding.n_fetched, reused);
	assert_true(forwarding.n_cold_namespaces > cold + 50);
	forwarding.sim.undelivered_bodies = 0;
	go(&forwarding, 2500);
	cold = forwarding.n_cold_namespaces;
	go(&forwarding, 3000);
	assert_int_equal(forwarding.n_cold_namespaces, cold);
	assert_true(forwarding.n_reused + forwarding.n_fetched > reused);
	forwarding.request_interval_ms = 0;
	go(&forwarding, 7000);
	assert_int_equal(forwarding.n_cut, 0);
	done(&forwarding);
}

static void few_slots(struct sim_forward *forwarding)
{
	forwarding->sim.instance_list.slots = 2;
}

/* Servers have few places: among what waits at a router, urgent routes go first, and within a line the first.
 */
static void urgent_routes_go_first(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(3); seed++) {
		struct sim_forward forwarding;
		int idem, once;
		int64_t last_once = 0, first_idem = INT64_MAX;

		open_fleet(&forwarding, seed, 1, 3, few_slots);
		forwarding.request_timeout_ms = 30000;
		for (ptrdiff_t i = 0; i < arrlen(forwarding.servers); i++)
			forwarding.servers[i].extra_chunk_interval_ms = 50;
		asks(&forwarding, 12, SIM_FORWARD_ONCE); /* these lines are known first, so that no order by
							    age helps the urgent */
		go(&forwarding, 100);
		idem = asks(&forwarding, 20, SIM_FORWARD_IDEM);
		go(&forwarding, 10);
		once = asks(&forwarding, 20, SIM_FORWARD_ONCE);
		go(&forwarding, 25000);
		for (int i = 0; i < 20; i++) {
			const struct sim_forward_request *a = &forwarding.requests[once + i],
							 *b = &forwarding.requests[idem + i];

			assert_int_equal(a->outcome, SIM_FORWARD_COMPLETE);
			assert_int_equal(a->priority, 0);
			assert_int_equal(b->priority, 2);
			last_once = a->sent_at > last_once ? a->sent_at : last_once;
			first_idem = b->sent_at < first_idem ? b->sent_at : first_idem;
			for (int k = i + 2; k < 20; k++) /* keys i and i + 1 may be one tenant's: one line */
				if (forwarding.requests[once + k].tenant == a->tenant)
					assert_true(forwarding.requests[once + k].sent_at >= a->sent_at);
		}
		if (last_once > first_idem)
			fail_msg("seed %d: a request of class 2 went %lld ms before one of class 0",
				 (int)seed, (long long)(last_once - first_idem));
		done(&forwarding);
	}
}

/* A key is removed while requests with it wait in their lines: they end soon, and never run. */
static void a_key_is_removed_over_a_queue(void **state)
{
	struct sim_forward forwarding;
	struct sim_forward_config config;
	int first;

	(void)state;
	open_fleet(&forwarding, 2, 1, 3, few_slots);
	forwarding.request_timeout_ms = 60000;
	for (ptrdiff_t i = 0; i < arrlen(forwarding.servers); i++)
		forwarding.servers[i].extra_chunk_interval_ms = 2500;
	for (int i = 0; i < 4; i++)
		sim_forward_submit(&forwarding, SIM_CONTROLLERS, SIM_FORWARD_ONCE, 0, i, 9);
	go(&forwarding, 300);
	first = (int)arrlen(forwarding.requests);
	for (int i = 0; i < 10; i++)
		sim_forward_submit(&forwarding, SIM_CONTROLLERS, SIM_FORWARD_ONCE, 3, i, 9);
	go(&forwarding, 100);
	config = arrlast(forwarding.configs);
	config.key[3] = -1;
	change(&forwarding, config);
	go(&forwarding, 1000);
	for (int i = 0; i < 10; i++)
		assert_int_equal(forwarding.requests[first + i].status, 401);
	go(&forwarding, 30000);
	for (int i = 0; i < 10; i++)
		assert_int_equal(forwarding.requests[first + i].arrivals, 0);
	done(&forwarding);
}

/* Tenants are isolated and let in again while their parts are kept everywhere. */
static void isolation_changes(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(4); seed++) {
		struct sim_forward forwarding;
		uint64_t judged;

		open_fleet(&forwarding, seed, 3, 6, NULL);
		forwarding.request_interval_ms = 10;
		for (int i = 0; i < 5; i++) {
			struct sim_forward_config config = arrlast(forwarding.configs);

			config.isolated[i % 2 ? 0 : (int)seed % SIM_FORWARD_TENANTS] ^= 1;
			change(&forwarding, config);
			go(&forwarding, 3000);
		}
		judged = forwarding.n_checked;
		go(&forwarding, 1000);
		assert_true(forwarding.n_checked > judged + 50);
		forwarding.request_interval_ms = 0;
		go(&forwarding, 6500);
		done(&forwarding);
	}
}

static void stuck(struct sim_forward *forwarding)
{
	forwarding->sim.instance_list.slots = forwarding->sim.seed % 2 ? 0 : 3;
	forwarding->sim.bounds.rollout_ms = 12000;
	forwarding->sim.instance_list.load_ms = 900;
}

/* The first server loses each order to load before it has loaded. */
static void hold_back(struct sim_forward *forwarding, int64_t ms)
{
	for (int64_t end = forwarding->sim.now + ms; forwarding->sim.now < end; go(forwarding, 100)) {
		forwarding->sim.instance_list.instances[0].loading[0] = 0;
		forwarding->sim.instance_list.instances[0].load_done_at = 0;
		forwarding->sim.instance_list.instances[0].loads = 0;
	}
}

/* Weights are named; one server never loads them, and gets nothing more after the bound. Names that come back
 * from the list make none of what was read under others good again. */
static void a_server_keeps_old_weights(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(4); seed++) {
		struct sim_forward forwarding;

		open_fleet(&forwarding, seed, 3, 6, stuck);
		forwarding.request_interval_ms = 10;
		for (ptrdiff_t i = 0; i < arrlen(forwarding.servers);
		     i++) /* so that the others are full now and then */
			forwarding.servers[i].extra_chunk_interval_ms = 100;
		go(&forwarding, 2000);
		assert_true(sim_forward_set_target(&forwarding, 0, 2));
		hold_back(&forwarding, 18000);
		assert_true(sim_forward_set_target(&forwarding, 0, 3));
		hold_back(&forwarding, 16000);
		forwarding.request_interval_ms = 0;
		hold_back(&forwarding, 6500);
		assert_int_equal(atoi(forwarding.sim.instance_list.instances[0].weights), 1);
		done(&forwarding);
	}
}

/* Servers drain while the list lags: nothing is sent to them past the bound. */
static void servers_drain(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(3); seed++) {
		struct sim_forward forwarding;

		open_fleet(&forwarding, seed, 3, 9, NULL);
		forwarding.request_interval_ms = 6;
		for (int i = 0; i < 6; i += 2) {
			sim_instance_drain(&forwarding.sim, i);
			go(&forwarding, 1500);
		}
		go(&forwarding, 6000);
		forwarding.request_interval_ms = 0;
		go(&forwarding, 6500);
		done(&forwarding);
	}
}

/* ---- a router by itself --------------------------------------------------------------------- */

/* The plain matcher: look at every route. */
static const char *plain_route(struct Nl__Row **rows, size_t n, const char *host, const char *path)
{
	const char *best = NULL;
	size_t most = 0, len = strcspn(path, "?#");

	for (size_t i = 0; i < n; i++) {
		size_t m = strlen(rows[i]->path);

		if (rows[i]->kind == NL__KIND__ROUTE && !strcmp(rows[i]->host, host) && m <= len &&
		    m > most && !strncmp(rows[i]->path, path, m)) {
			most = m;
			best = rows[i]->name;
		}
	}
	return best;
}

/* 20,000 routes: the longest prefix of whole segments wins, at its own host only. */
static void routes_are_found_by_the_longest_prefix(void **state)
{
	enum { N = 20000 };
	struct router_fixture fixture;
	struct Nl__Row **rows;
	struct {
		char *key;
		int value;
	} *seen = NULL;
	uint64_t d = 4;
	size_t n = 0;
	int found = 0, status;

	(void)state;
	router_fixture_open(&fixture, 5);
	rows = apr_palloc(fixture.pool, (N + 1) * sizeof *rows);
	rows[n++] = new_service(fixture.pool, "pool");
	sh_new_strdup(seen);
	while (n <= N) {
		struct Nl__Row *row =
		    new_row(fixture.pool, NL__KIND__ROUTE, apr_psprintf(fixture.pool, "l%d", (int)n));
		int deep = (int)random_below(&d, 6);
		char *key;

		row->path = "/";
		for (int i = 0; i < deep; i++)
			row->path =
			    apr_psprintf(fixture.pool, "%s%c%d/", row->path, 'a' + (int)random_below(&d, 3),
					 (int)random_below(&d, i ? 3 : 12));
		row->host = apr_psprintf(fixture.pool, "h%d.example", (int)random_below(&d, 12));
		key = apr_pstrcat(fixture.pool, row->host, row->path, NULL);
		if (shgeti(seen, key) >= 0)
			continue;
		shput(seen, key, 1);
		row->service = "pool";
		row->limit = 10;
		row->key_optional = 1;
		rows[n++] = row;
	}
	shfree(seen);
	router_fixture_table(&fixture, rows, n, NULL, 0, 1);
	for (int k = 0; k < 3000; k++) {
		char host[32], path[200];
		size_t at = (size_t)snprintf(path, sizeof path, "/");
		int deep = (int)random_below(&d, 8);
		const char *expected;
		struct client_request *request;

		snprintf(host, sizeof host, "h%d.example", (int)random_below(&d, 13));
		for (int i = 0; i < deep; i++)
			at += (size_t)snprintf(path + at, sizeof path - at, "%c%d%s",
					       'a' + (int)random_below(&d, 3),
					       (int)random_below(&d, i ? 3 : 12),
					       i + 1 < deep || random_below(&d, 2) ? "/" : "");
		if (!random_below(&d, 4))
			snprintf(path + at, sizeof path - at, "?q=/a1/b2/");
		expected = plain_route(rows, n, host, path);
		request = router_fixture_submit(&fixture, host, path, "id", &status);
		if (!expected) {
			assert_null(request);
			assert_int_equal(status, 404);
			continue;
		}
		assert_non_null(request);
		assert_string_equal(fixture.router.names.routes.names[request->route.index], expected);
		found++;
		router_fixture_disconnect(&fixture);
		if (k % 200 == 0) /* it must stay in touch with its table */
			fixture.router.config.watch.confirmed_at_ms = fixture.now;
	}
	assert_true(found > 1000);
	router_fixture_close(&fixture);
}

/* A split goes by its weights; the same id always goes the same way; weight 0 gets nothing. */
static void a_split_goes_by_weights(void **state)
{
	struct router_fixture fixture;
	struct Nl__Row *rows[6], *route;
	struct Nl__RouteSplit part[4], *list[4];
	static const char *const names[] = { "s0", "s1", "s2", "s3" };
	static const int weight[] = { 70, 0, 25, 5 };
	int got[4] = { 0, 0, 0, 0 }, status;

	(void)state;
	router_fixture_open(&fixture, 5);
	for (int i = 0; i < 4; i++) {
		rows[i] = new_service(fixture.pool, names[i]);
		nl__route_split__init(&part[i]);
		part[i].service = (char *)(uintptr_t)names[i];
		part[i].weight = (uint32_t)weight[i];
		list[i] = &part[i];
	}
	rows[4] = route = new_row(fixture.pool, NL__KIND__ROUTE, "l");
	route->service = "s0";
	route->host = "h";
	route->path = "/";
	route->limit = 10;
	route->key_optional = 1;
	route->split = list;
	route->n_split = 4;
	router_fixture_table(&fixture, rows, 5, NULL, 0, 1);
	for (int k = 0; k < 10000; k++) {
		char id[20];
		uint32_t first;

		snprintf(id, sizeof id, "id-%d", k);
		first = router_fixture_submit(&fixture, "h", "/x", id, &status)->route.service_index;
		router_fixture_disconnect(&fixture);
		if (k % 10 == 0) {
			assert_int_equal(
			    router_fixture_submit(&fixture, "h", "/x", id, &status)->route.service_index,
			    first);
			router_fixture_disconnect(&fixture);
		}
		got[fixture.router.names.services.names[first][1] - '0']++;
	}
	for (int i = 0; i < 4; i++)
		assert_in_range(got[i], weight[i] * 100 - weight[i] * 10, weight[i] * 100 + weight[i] * 10);
	router_fixture_close(&fixture);
}

/* Words of load between 9 routers in 3 zones, some lost: once words arrive again, each knows what all others
 * have. */
static void loads_add_up(void **state)
{
	enum { N = 9, ZONES = 3, SRV = 7 };

	(void)state;
	for (uint64_t seed = 1; seed <= seeds(20); seed++) {
		struct router_fixture fixture[N];
		struct Nl__Row *rows[1];
		struct Nl__Instance *instances[SRV];
		uint64_t d = seed * 13;
		int loss = seed % 3 == 0 ? 300 : seed % 3 == 1 ? 50 : 0, off = (int)random_below(&d, N);

		for (int i = 0; i < N; i++) {
			router_fixture_open(&fixture[i], (uint64_t)i + 1);
			rows[0] = new_service(fixture[i].pool, "pool");
			for (int k = 0; k < SRV; k++)
				instances[k] = new_instance(fixture[i].pool, (k + i) % SRV,
							    "pool"); /* each knows them by other numbers */
			router_fixture_table(&fixture[i], rows, 1, instances, SRV, 1);
		}
		for (int round = 0; round < 400; round++) {
			int quiet = round >= 300, lose = quiet ? 0 : loss;

			for (int i = 0; i < N; i++) {
				int zone = i % ZONES, head = i < ZONES;
				struct router *router = &fixture[i].router;

				router->config.watch.confirmed_at_ms = fixture[i].now;
				router->zone_hash = (uint64_t)zone + 1;
				router->config.watch.upstream_count = head ? 0 : 1;
				router->config.watch.upstream_addrs[0] = (uint64_t)zone + 1001;
				router->config.watch.zone_head_count = 0;
				for (int z = 0; z < ZONES && head; z++)
					if (z != zone)
						router->config.watch
						    .zone_head_addrs[router->config.watch.zone_head_count++] =
						    (uint64_t)z + 1001;
				if (!quiet && random_below(&d, 3) == 0) {
					int k = (int)random_below(&d, SRV);

					router->servers.states[k].own_running_count =
					    (int)random_below(&d, 30);
					router->servers.states[k].own_prefill_tokens =
					    (uint32_t)random_below(&d, 20000);
				}
				if (i == off && round > 150 &&
				    round < 260) /* it falls silent for over the time for which words count */
					continue;
				router_fixture_tick(&fixture[i], 25);
				if (i == off && round == 260)
					fixture[i].now = fixture[(i + 1) % N].now;
			}
			for (int i = 0; i < N; i++) {
				for (ptrdiff_t k = 0; k < arrlen(fixture[i].commands.commands); k++) {
					struct command *command = &fixture[i].commands.commands[k];
					int to = (int)command->args.send.addr - 1001;

					if (command->kind != CMD_SEND ||
					    command->args.send.msg->body_case != NL__MSG__BODY_LOAD ||
					    to < 0 || to >= N || random_below(&d, 1000) < (uint64_t)lose)
						continue;
					command->args.send.msg->id = (uint64_t)i + 1;
					command->args.send.msg->addr = (uint64_t)i + 1001;
					router_fixture_message(&fixture[to], command->args.send.msg);
				}
				command_list_clear(&fixture[i].commands);
			}
		}
		for (int i = 0; i < N; i++)
			for (int k = 0; k < SRV; k++) {
				const char *name = fixture[i].router.names.servers.names[k];
				uint32_t ahead = 0, running = 0;

				for (int x = 0; x < N; x++) {
					int at = names_find(&fixture[x].router.names.servers, name);

					ahead +=
					    x == i ? 0
						   : fixture[x].router.servers.states[at].own_prefill_tokens;
					running += x == i ? 0
							  : (uint32_t)fixture[x]
								.router.servers.states[at]
								.own_running_count;
				}
				if (fixture[i].router.load.other_routers[k].prefill_tokens != ahead ||
				    fixture[i].router.load.other_routers[k].running_count != running)
					fail_msg(
					    "seed %d: counter %d thinks that others have %u tokens, %u requests at %s; they have %u, %u",
					    (int)seed, i,
					    fixture[i].router.load.other_routers[k].prefill_tokens,
					    fixture[i].router.load.other_routers[k].running_count, name,
					    ahead, running);
			}
		for (int i = 0; i < N; i++) {
			for (int k = 0; k < SRV; k++)
				fixture[i].router.servers.states[k].own_running_count = 0;
			router_fixture_close(&fixture[i]);
		}
	}
}

/* The index follows events: added, gone, a gap, a new epoch, an incarnation that ends; against a plain list.
 */
static void the_prefix_index_follows_events(void **state)
{
	enum { SRV = 3, IDS = 40, SHELVES = 2 };

	(void)state;
	for (uint64_t seed = 1; seed <= seeds(10); seed++) {
		struct router_fixture fixture;
		struct Nl__Row *rows[1];
		struct Nl__Instance *instances[SRV];
		uint64_t d = seed * 7, epoch[SRV] = { 1, 1, 1 }, next[SRV] = { 1, 1, 1 };
		int have[SRV][SHELVES][IDS];

		memset(have, 0, sizeof have);
		router_fixture_open(&fixture, 5);
		rows[0] = new_service(fixture.pool, "pool");
		for (int k = 0; k < SRV; k++)
			instances[k] = new_instance(fixture.pool, k, "pool");
		router_fixture_table(&fixture, rows, 1, instances, SRV, 1);
		for (int round = 0; round < 600; round++) {
			struct Nl__Msg message = NL__MSG__INIT;
			struct Nl__CacheUpdateBatch words = NL__CACHE_UPDATE_BATCH__INIT;
			struct Nl__CacheUpdate k = NL__CACHE_UPDATE__INIT, *word = &k;
			struct Nl__CacheEvent cache_event[5], *list[5];
			int v = (int)random_below(&d, SRV), n = (int)random_below(&d, 6);
			size_t all = 0;

			k.server = fixture.router.names.servers.names[v];
			if (!random_below(&d, 40))
				epoch[v]++;
			k.events_lost = !random_below(&d, 40);
			if (k.events_lost || (fixture.router.servers.states[v].cache_epoch &&
					      epoch[v] != fixture.router.servers.states[v].cache_epoch))
				memset(have[v], 0, sizeof have[v]);
			k.epoch = epoch[v];
			k.next_offset = next[v] += (uint64_t)n;
			for (int i = 0; i < n; i++) {
				int cache_namespace = (int)random_below(&d, SHELVES),
				    id = (int)random_below(&d, IDS);

				nl__cache_event__init(&cache_event[i]);
				cache_event[i].cache_namespace = cache_namespace ? "w1-a" : "w1-b";
				cache_event[i].block_hash = (uint64_t)id + 1;
				cache_event[i].evicted = random_below(&d, 3) == 0;
				cache_event[i].tokens = 10;
				have[v][cache_namespace][id] = !cache_event[i].evicted;
				list[i] = &cache_event[i];
			}
			k.events = list;
			k.n_events = (size_t)n;
			words.updates = &word;
			words.n_updates = 1;
			message.body_case = NL__MSG__BODY_CACHE_UPDATE_BATCH;
			message.cache_update_batch = &words;
			router_fixture_message(&fixture, &message);
			command_list_clear(&fixture.commands);
			assert_int_equal(fixture.router.servers.states[v].next_cache_event, next[v]);
			for (int x = 0; x < SRV; x++)
				for (int h = 0; h < SHELVES; h++)
					for (int i = 0; i < IDS; i++) {
						struct block_replica *replica = prefix_index_find(
						    &fixture.router.cache.index,
						    router_block_key(core_hash_string(0, h ? "w1-a" : "w1-b"),
								     (uint64_t)i + 1));
						int there = 0;

						for (ptrdiff_t q = 0; q < arrlen(replica); q++)
							there += replica[q].server_index == (uint32_t)x;
						assert_int_equal(there, have[x][h][i]);
						all += (size_t)there;
					}
			assert_int_equal(fixture.router.cache.index.replica_count, all);
		}
		instances[0]->state = INSTANCE_REMOVED; /* what an incarnation kept goes with it */
		instances[0]->stamp = 2;
		router_fixture_table(&fixture, rows, 1, instances, SRV, 2);
		for (ptrdiff_t i = 0; i < hmlen(fixture.router.cache.index.blocks); i++)
			for (ptrdiff_t q = 0; q < arrlen(fixture.router.cache.index.blocks[i].value); q++)
				assert_int_not_equal(
				    fixture.router.cache.index.blocks[i].value[q].server_index,
				    names_find(&fixture.router.names.servers, "i-0"));
		router_fixture_close(&fixture);
	}
}

static const char *cache_namespace_of(struct router_fixture *fixture, uint32_t service, uint32_t weights,
				      uint32_t tenant)
{
	struct client_request request;

	memset(&request, 0, sizeof request);
	request.route.service_index = service;
	request.route.tenant_index = tenant;
	return router_cache_namespace(&fixture->router, &request, weights, fixture->pool);
}

/* One open route to one service with one server, and no bound but its slots. */
static void fixture_one_server(struct router_fixture *fixture, uint32_t slots)
{
	struct Nl__Row *rows[2];
	struct Nl__Instance *instance;

	rows[0] = new_service(fixture->pool, "pool");
	rows[0]->slots = slots;
	rows[1] = new_row(fixture->pool, NL__KIND__ROUTE, "l");
	rows[1]->service = "pool";
	rows[1]->host = "h";
	rows[1]->path = "/";
	rows[1]->limit = 10;
	rows[1]->key_optional = 1;
	instance = new_instance(fixture->pool, 1, "pool");
	instance->slots = slots;
	router_fixture_table(fixture, rows, 2, &instance, 1, 1);
}

/* What a step has told callers: ends of streams, answers, calls given up. */
struct told {
	int ends, answers, cancels, status, retry_ms;
};

static struct told fixture_told(const struct router_fixture *fixture)
{
	struct told answered = { 0, 0, 0, 0, 0 };

	for (ptrdiff_t i = 0; i < arrlen(fixture->commands.commands); i++) {
		const struct command *command = &fixture->commands.commands[i];

		answered.ends += command->kind == CMD_END_STREAM;
		answered.answers += command->kind == CMD_ANSWER;
		answered.cancels += command->kind == CMD_CANCEL;
		if (command->kind == CMD_ANSWER) {
			answered.status = command->args.answer.status;
			answered.retry_ms = command->args.answer.retry_after_ms;
		}
	}
	return answered;
}

/* A router that has been cut off for too long hears what becomes of a stream. One that begins goes on to its
 * end; one that the server broke off has a head at its caller, and is owed an end of the stream: an answer
 * would go nowhere, and the caller wait. */
static void a_router_out_of_touch_learns_of_a_stream(void **state)
{
	for (int how = 0; how < 2; how++) {
		struct router_fixture fixture;
		struct router_event event;
		struct forward_result ended;
		struct told answered;
		uint64_t call;
		int status;

		(void)state;
		router_fixture_open(&fixture, 5);
		fixture_one_server(&fixture, 8);
		assert_non_null(router_fixture_submit(&fixture, "h", "/x", "id", &status));
		call = router_fixture_last_call(&fixture);
		assert_true(call);
		command_list_clear(&fixture.commands);
		fixture.now += ROUTER_CONFIG_MAX_STALENESS_MS + 1000;
		memset(&event, 0, sizeof event);
		memset(&ended, 0, sizeof ended);
		if (how) {
			ended.token = call;
			ended.end = FORWARD_BROKEN_OFF;
			ended.status = 200;
			ended.has_stream_begun = 1;
			event.kind = ROUTER_EVENT_FORWARD_ENDED;
			event.args.forward_ended = &ended;
		} else {
			event.kind = ROUTER_EVENT_FORWARD_STREAM_BEGAN;
			event.args.forward_began.token = call;
		}
		router_fixture_step(&fixture, &event);
		answered = fixture_told(&fixture);
		assert_int_equal(answered.ends, how);
		assert_int_equal(answered.answers, 0);
		assert_int_equal(answered.cancels, 0);
		if (!how) {
			router_fixture_end_call(&fixture, call, FORWARD_COMPLETE, 200);
			answered = fixture_told(&fixture);
			assert_int_equal(answered.ends + answered.answers, 0);
		}
		assert_true(router_idle(&fixture.router));
		router_fixture_close(&fixture);
	}
}

/* The configuration's leader is not heard for longer than new work may go by what it said last. What has been
 * sent goes on, for as long as it may; what waits is refused with a time to come back; and what comes is
 * refused at once. */
static void what_is_sent_outlives_the_configuration(void **state)
{
	struct router_fixture fixture;
	struct told answered;
	struct client_request *waits;
	uint64_t call, submitted = 0;
	int status, ticks = 0;

	(void)state;
	router_fixture_open(&fixture, 5);
	fixture_one_server(&fixture, 1);
	assert_non_null(router_fixture_submit(&fixture, "h", "/x", "sent", &status));
	call = router_fixture_last_call(&fixture);
	assert_true(call);
	waits = router_fixture_submit(&fixture, "h", "/x", "waits", &status);
	assert_non_null(waits);
	assert_false(router_fixture_last_call(&fixture));
	memset(&answered, 0, sizeof answered);
	for (; ticks < 20000 / 25 && !answered.answers; ticks++) {
		command_list_clear(&fixture.commands);
		router_fixture_tick(&fixture, 25);
		answered = fixture_told(&fixture);
		assert_int_equal(answered.ends + answered.cancels, 0);
	}
	assert_true(ticks * 25 <= ROUTER_CONFIG_MAX_STALENESS_MS + 50);
	assert_int_equal(answered.answers, 1);
	assert_int_equal(answered.status, 503);
	assert_true(answered.retry_ms > 0);
	assert_null(router_fixture_submit(&fixture, "h", "/x", "late", &status));
	assert_int_equal(status, 503);
	for (; submitted < 40000; submitted += 25) { /* its own limit is 60 s */
		command_list_clear(&fixture.commands);
		router_fixture_tick(&fixture, 25);
		answered = fixture_told(&fixture);
		assert_int_equal(answered.ends + answered.cancels + answered.answers, 0);
	}
	router_fixture_end_call(&fixture, call, FORWARD_COMPLETE, 200);
	answered = fixture_told(&fixture);
	assert_int_equal(answered.ends + answered.answers, 0);
	assert_true(router_idle(&fixture.router));
	router_fixture_close(&fixture);
}

/* A full queue refuses the newest with a time to come back; what waits and what is sent goes on. */
static void a_full_queue_refuses_the_newest(void **state)
{
	enum { SLOTS = 10 }; /* of the route's queue */
	struct router_fixture fixture;
	struct told answered;
	uint64_t call;
	int status;

	(void)state;
	router_fixture_open(&fixture, 5);
	fixture_one_server(&fixture, 1);
	assert_non_null(router_fixture_submit(&fixture, "h", "/x", "sent", &status));
	call = router_fixture_last_call(&fixture);
	assert_true(call);
	for (int i = 0; i < SLOTS; i++) {
		assert_non_null(router_fixture_submit(&fixture, "h", "/x", "waits", &status));
		assert_int_equal(status, 0);
	}
	assert_null(router_fixture_submit(&fixture, "h", "/x", "late", &status));
	answered = fixture_told(&fixture);
	assert_int_equal(status, 429);
	assert_int_equal(answered.answers, 1);
	assert_true(answered.retry_ms > 0);
	assert_int_equal(arrlen(fixture.router.requests.all), 1 + SLOTS);
	fixture.router.config.watch.confirmed_at_ms = fixture.now;
	router_fixture_end_call(&fixture, call, FORWARD_COMPLETE, 200);
	answered = fixture_told(&fixture);
	assert_int_equal(answered.answers + answered.ends, 0);
	command_list_clear(&fixture.commands);
	router_fixture_tick(&fixture, 25);
	assert_true(router_fixture_last_call(&fixture)); /* the next one's turn */
	assert_int_equal(arrlen(fixture.router.requests.all), SLOTS);
	router_fixture_close(&fixture);
}

/* Settings that are read anew bring a shorter bound for removed keys: it holds from the next step on. What is
 * sent goes on; what waits is not sent by a configuration that is older than the bound allows now; and what
 * comes is refused. */
static void new_bounds_hold_from_the_next_step(void **state)
{
	struct router_fixture fixture;
	struct told answered;
	uint64_t call;
	int status;

	(void)state;
	router_fixture_open(&fixture, 5);
	fixture_one_server(&fixture, 1);
	assert_non_null(router_fixture_submit(&fixture, "h", "/x", "sent", &status));
	call = router_fixture_last_call(&fixture);
	assert_true(call);
	assert_non_null(router_fixture_submit(&fixture, "h", "/x", "waits", &status));
	fixture.now += 1500; /* well within the bounds of before */
	fixture.router.config.bounds.key_revocation_ms = 1000;
	command_list_clear(&fixture.commands);
	router_fixture_tick(&fixture, 25);
	answered = fixture_told(&fixture);
	assert_int_equal(answered.ends + answered.cancels + answered.answers, 0);
	assert_null(router_fixture_submit(&fixture, "h", "/x", "late", &status));
	assert_int_equal(status, 503);
	router_fixture_end_call(&fixture, call, FORWARD_COMPLETE, 200);
	answered = fixture_told(&fixture);
	assert_int_equal(answered.ends + answered.answers, 0);
	assert_false(
	    router_fixture_last_call(&fixture)); /* there is a place, but the configuration is too old */
	fixture.router.config.watch.confirmed_at_ms = fixture.now; /* heard again */
	command_list_clear(&fixture.commands);
	router_fixture_tick(&fixture, 25);
	assert_true(router_fixture_last_call(&fixture));
	router_fixture_close(&fixture);
}

/* Newer weights are due soon, and a server still has older ones: what begins there at once may go, what would
 * wait there may not, since it could begin when the bound has passed. */
static void older_weights_get_nothing_that_would_wait(void **state)
{
	for (int busy = 0; busy < 2; busy++) {
		struct router_fixture fixture;
		struct Nl__Row *rows[3];
		struct Nl__TargetVersion named = NL__TARGET_VERSION__INIT, *target[1] = { &named };
		struct Nl__Instance *instance;
		int status;

		(void)state;
		router_fixture_open(&fixture, 5);
		rows[0] = new_service(fixture.pool, "pool");
		rows[0]->model = "m";
		rows[1] = new_row(fixture.pool, NL__KIND__ROUTE, "l");
		rows[1]->service = "pool";
		rows[1]->host = "h";
		rows[1]->path = "/";
		rows[1]->limit = 10;
		rows[1]->key_optional = 1;
		rows[2] = new_row(fixture.pool, NL__KIND__MODEL, "m");
		rows[2]->target_weights = "1";
		instance = new_instance(fixture.pool, 1, "pool");
		instance->weights = "1";
		router_fixture_table(&fixture, rows, 3, &instance, 1, 1);
		rows[2]->target_weights = "2";
		named.weights = 2;
		named.targeted_at_ms = (uint64_t)fixture.now;
		rows[2]->target_versions = target;
		rows[2]->n_target_versions = 1;
		router_fixture_table(&fixture, rows, 3, &instance, 1, 2);
		fixture.now = (int64_t)named.targeted_at_ms + fixture.router.config.bounds.rollout_ms -
			      ROUTER_ROLLOUT_SEND_MARGIN_MS - 600;
		fixture.router.config.watch.confirmed_at_ms = fixture.now;
		router_fixture_tick(&fixture, 1);
		if (busy)
			fixture.router.servers.states[0].own_prefill_tokens =
			    500 * rows[0]->prefill_tokens_per_ms; /* 500 ms of reading */
		assert_non_null(router_fixture_submit(&fixture, "h", "/x", "id", &status));
		assert_int_equal(router_fixture_last_call(&fixture) != 0, !busy);
		router_fixture_close(&fixture);
	}
}

/* What one service's requests have earned for resends is not another's to spend. */
static void each_service_has_its_own_budget(void **state)
{
	struct router_fixture fixture;
	struct Nl__Row *rows[4];
	struct Nl__Instance *instances[4];
	int status;

	(void)state;
	router_fixture_open(&fixture, 5);
	for (int i = 0; i < 2; i++) {
		rows[i] = new_service(fixture.pool, i ? "idle" : "busy");
		rows[2 + i] = new_row(fixture.pool, NL__KIND__ROUTE, i ? "l-idle" : "l-busy");
		rows[2 + i]->service = rows[i]->name;
		rows[2 + i]->host = i ? "idle" : "busy";
		rows[2 + i]->path = "/";
		rows[2 + i]->limit = 10;
		rows[2 + i]->key_optional = 1;
		rows[2 + i]->max_attempts = 4;
		instances[2 * i] = new_instance(fixture.pool, 1 + 2 * i, rows[i]->name);
		instances[2 * i + 1] = new_instance(fixture.pool, 2 + 2 * i, rows[i]->name);
	}
	fixture.router.config.bounds.retry_budget_slack = 15; /* too little for a retry by overdraft */
	router_fixture_table(&fixture, rows, 4, instances, 4, 1);
	for (int i = 0; i < 30; i++) {
		assert_non_null(router_fixture_submit(&fixture, "busy", "/x", "id", &status));
		router_fixture_end_call(&fixture, router_fixture_last_call(&fixture), FORWARD_COMPLETE, 200);
	}
	for (int i = 0; i < 2; i++) {
		assert_non_null(router_fixture_submit(&fixture, i ? "idle" : "busy", "/x", "id", &status));
		router_fixture_end_call(&fixture, router_fixture_last_call(&fixture), FORWARD_NOT_STARTED,
					503);
		assert_true(router_fixture_last_call(&fixture)); /* a first resend is free to each */
		router_fixture_end_call(&fixture, router_fixture_last_call(&fixture), FORWARD_NOT_STARTED,
					503);
		if (i) {
			assert_false(router_fixture_last_call(&fixture));
			continue;
		}
		assert_true(router_fixture_last_call(&fixture));
		router_fixture_end_call(&fixture, router_fixture_last_call(&fixture), FORWARD_COMPLETE, 200);
	}
	router_fixture_close(&fixture);
}

/* Lines of a server's stream that are none of this send's end its request, whatever stands in them. */
static void odd_lines_end_a_request(void **state)
{
	static const char *const lines[] = { "{\"x\":null,\"n\":0}",
					     "{\"x\":{},\"n\":0}",
					     "{\"x\":\"other\",\"n\":0}",
					     "{\"n\":0}",
					     "null",
					     "[]",
					     "{",
					     "" };

	(void)state;
	for (size_t i = 0; i < sizeof lines / sizeof *lines; i++) {
		struct router_fixture fixture;
		struct Nl__Row *rows[2];
		struct Nl__Instance *instance;
		struct router_event event = { .kind = ROUTER_EVENT_STREAM_CHUNK };
		struct client_request *request;
		int status;

		router_fixture_open(&fixture, 5);
		rows[0] = new_service(fixture.pool, "pool");
		rows[1] = new_row(fixture.pool, NL__KIND__ROUTE, "lane");
		rows[1]->service = "pool";
		rows[1]->host = "h";
		rows[1]->path = "/";
		rows[1]->limit = 10;
		rows[1]->key_optional = 1;
		instance = new_instance(fixture.pool, 1, "pool");
		router_fixture_table(&fixture, rows, 2, &instance, 1, 1);
		assert_non_null(request = router_fixture_submit(&fixture, "h", "/x", "id", &status));
		request->attempt.id = "send";
		event.args.stream_chunk.token = router_fixture_last_call(&fixture);
		event.args.stream_chunk.text = lines[i];
		command_list_clear(&fixture.commands);
		router_fixture_step(&fixture, &event);
		assert_null(router_request_by_token(&fixture.router, fixture.token));
		assert_int_equal(
		    arrlen(fixture.commands.commands)
			? fixture.commands.commands[arrlen(fixture.commands.commands) - 1].args.answer.status
			: 0,
		    502);
		router_fixture_close(&fixture);
	}
}

/* The cache_namespace that the newest send names. */
static const char *fixture_cache_namespace(const struct router_fixture *fixture)
{
	for (ptrdiff_t i = arrlen(fixture->commands.commands) - 1; i >= 0; i--)
		if (fixture->commands.commands[i].kind == CMD_FORWARD)
			return fixture->commands.commands[i].args.forward->cache_namespace;
	return NULL;
}

/* While withdrawals are not known to be heard of, each send has a cache_namespace of its own, also the second
 * one of a request: what the first left there may have been withdrawn meanwhile. */
static void a_cold_namespace_is_of_one_send(void **state)
{
	struct router_fixture fixture;
	struct Nl__Row *rows[2];
	struct Nl__Instance *instances[2];
	char *first;
	int status;

	(void)state;
	router_fixture_open(&fixture, 5);
	rows[0] = new_service(fixture.pool, "pool");
	rows[1] = new_row(fixture.pool, NL__KIND__ROUTE, "lane");
	rows[1]->service = "pool";
	rows[1]->host = "h";
	rows[1]->path = "/";
	rows[1]->limit = 10;
	rows[1]->key_optional = rows[1]->idempotent = 1;
	rows[1]->max_attempts = 3;
	for (int i = 0; i < 2; i++)
		instances[i] = new_instance(fixture.pool, 1 + i, "pool");
	router_fixture_table(&fixture, rows, 2, instances, 2, 1);
	assert_false(
	    relay_is_current(&fixture.router.relay, fixture.now)); /* nothing has been heard of withdrawals */
	assert_non_null(router_fixture_submit(&fixture, "h", "/x", "id", &status));
	assert_non_null(fixture_cache_namespace(&fixture));
	first = apr_pstrdup(fixture.pool, fixture_cache_namespace(&fixture));
	router_fixture_end_call(&fixture, router_fixture_last_call(&fixture), FORWARD_BROKEN_OFF, 0);
	assert_true(router_fixture_last_call(&fixture));
	assert_int_equal(strncmp(first, "cold-", 5), 0);
	assert_int_equal(strncmp(fixture_cache_namespace(&fixture), "cold-", 5), 0);
	assert_string_not_equal(first, fixture_cache_namespace(&fixture));
	router_fixture_close(&fixture);
}

/* What the last step sent, and on which of two routes. */
static void fixture_note_sends(struct router_fixture *fixture, uint64_t **running, int served[2])
{
	for (ptrdiff_t i = 0; i < arrlen(fixture->commands.commands); i++) {
		uint64_t call;

		if (fixture->commands.commands[i].kind != CMD_FORWARD)
			continue;
		call = fixture->commands.commands[i].args.forward->call_token;
		arrput(*running, call);
		served[router_request_by_token(&fixture->router, call)->route.index ==
		       (uint32_t)names_find(&fixture->router.names.routes, "later")]++;
	}
}

/* A route that a later revision brings gets its turns like those that were there before, and takes none from
 * them. */
static void routes_added_later_take_turns(void **state)
{
	enum { ROUNDS = 200 };
	struct router_fixture fixture;
	struct Nl__Row *rows[3];
	struct Nl__Instance *instance;
	uint64_t *running = NULL;
	int status, served[2] = { 0, 0 };

	(void)state;
	router_fixture_open(&fixture, 5);
	rows[0] = new_service(fixture.pool, "pool");
	for (int i = 0; i < 2; i++) {
		rows[1 + i] = new_row(fixture.pool, NL__KIND__ROUTE, i ? "later" : "first");
		rows[1 + i]->service = "pool";
		rows[1 + i]->host = i ? "later" : "first";
		rows[1 + i]->path = "/";
		rows[1 + i]->limit = ROUNDS;
		rows[1 + i]->key_optional = 1;
	}
	instance = new_instance(fixture.pool, 1, "pool");
	instance->slots = 2;
	router_fixture_table(&fixture, rows, 2, &instance, 1, 1);
	for (int i = 0; i < 100; i++) { /* the first route has had its turns for a while */
		assert_non_null(router_fixture_submit(&fixture, "first", "/x", "id", &status));
		router_fixture_end_call(&fixture, router_fixture_last_call(&fixture), FORWARD_COMPLETE, 200);
	}
	for (int i = 0; i < 10; i++) { /* and some of its requests wait */
		assert_non_null(router_fixture_submit(&fixture, "first", "/x", "id", &status));
		fixture_note_sends(&fixture, &running, served);
	}
	router_fixture_table(&fixture, rows, 3, &instance, 1, 2);
	for (int round = 0; round < ROUNDS; round++) { /* two come, one goes */
		fixture.now += 11;
		for (int i = 0; i < 2; i++) {
			assert_non_null(
			    router_fixture_submit(&fixture, i ? "later" : "first", "/x", "id", &status));
			fixture_note_sends(&fixture, &running, served);
		}
		router_fixture_end_call(&fixture, running[0], FORWARD_COMPLETE, 200);
		arrdel(running, 0);
		fixture_note_sends(&fixture, &running, served);
	}
	assert_in_range(served[0] + served[1], ROUNDS, ROUNDS + 20);
	assert_in_range(served[1], served[0] * 3 / 4, served[0] * 4 / 3 + 1);
	arrfree(running);
	router_fixture_close(&fixture);
}

/* The name under which parts are filed changes with all that decides who may use them. */
static void a_namespace_names_who_may_use_it(void **state)
{
	struct router_fixture fixture;
	struct Nl__Row *rows[4];
	char *was[8];
	int n = 0;
	uint32_t w1, w2, t0, t1, pool;

	(void)state;
	router_fixture_open(&fixture, 5);
	rows[0] = new_service(fixture.pool, "pool");
	rows[1] = new_row(fixture.pool, NL__KIND__TENANT, "t0");
	rows[2] = new_row(fixture.pool, NL__KIND__TENANT, "t1");
	rows[1]->share = rows[2]->share = 1;
	router_fixture_table(&fixture, rows, 3, NULL, 0, 1);
	w1 = names_find_or_add(&fixture.router.names.weights, "w1");
	w2 = names_find_or_add(&fixture.router.names.weights, "w2");
	t0 = names_find_or_add(&fixture.router.names.tenants, "t0");
	t1 = names_find_or_add(&fixture.router.names.tenants, "t1");
	pool = names_find_or_add(&fixture.router.names.services, "pool");
	was[n++] = (char *)(uintptr_t)cache_namespace_of(&fixture, pool, w1, t0);
	assert_string_equal(was[0], cache_namespace_of(&fixture, pool, w1, t1));
	was[n++] = (char *)(uintptr_t)cache_namespace_of(&fixture, pool, w2, t0);
	rows[2]->isolated = 1;
	router_fixture_table(&fixture, rows, 3, NULL, 0, 2);
	was[n++] = (char *)(uintptr_t)cache_namespace_of(&fixture, pool, w1, t0);
	was[n++] = (char *)(uintptr_t)cache_namespace_of(&fixture, pool, w1, t1);
	for (int k = 0; k < 2; k++) {
		struct Nl__Value value = NL__VALUE__INIT;
		struct Nl__Purge purge = NL__PURGE__INIT;

		value.tick = 5 + (uint64_t)k;
		value.purge = &purge;
		purge.reason = k ? PURGE_TENANT : PURGE_WEIGHTS;
		purge.service = "pool";
		purge.weights = "w1";
		purge.tenant = "t1";
		purge_view_apply(&fixture.router.relay.view, &value);
		router_on_purge_value(&fixture.router, &value);
		was[n++] = (char *)(uintptr_t)cache_namespace_of(&fixture, pool, w1, t0);
		was[n++] = (char *)(uintptr_t)cache_namespace_of(&fixture, pool, w1, t1);
	}
	for (int i = 0; i < n; i++)
		for (int k = 0; k < i; k++)
			assert_string_not_equal(was[i], was[k]);
	router_fixture_close(&fixture);
}

/* Servers go dark and the list does not say so yet: a request that did not reach one goes to the next, also
 * where one attempt may go to one server only, and it draws on no budget. */
static void a_server_that_is_not_reached_costs_no_attempt(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= seeds(4); seed++) {
		struct sim_forward forwarding;
		int first, dark = 0, complete = 0;

		open_fleet(&forwarding, seed, ROUTERS, SERVERS, NULL);
		go(&forwarding, 1000);
		for (ptrdiff_t i = 0; i < arrlen(forwarding.sim.instance_list.instances) && dark < 2; i++)
			if (forwarding.sim.instance_list.instances[i].service[0] == 'p' &&
			    forwarding.sim.instance_list.instances[i].up && !forwarding.servers[i].running) {
				sim_instance_end(&forwarding.sim, (int)i, 3000);
				dark++;
			}
		first = (int)arrlen(forwarding.requests);
		for (int k = 0; k < 48; k++) {
			sim_forward_submit(&forwarding, SIM_CONTROLLERS + k % ROUTERS, SIM_FORWARD_ONCE, 2,
					   k % 12, 0);
			go(&forwarding, 5);
		}
		go(&forwarding, 9000);
		for (ptrdiff_t i = first; i < arrlen(forwarding.requests); i++)
			complete += forwarding.requests[i].outcome == SIM_FORWARD_COMPLETE;
		assert_true(forwarding.n_not_run > 0);
		assert_int_equal(complete, arrlen(forwarding.requests) - first);
		done(&forwarding);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_server_that_is_not_reached_costs_no_attempt),
		cmocka_unit_test(calm),
		cmocka_unit_test(storms),
		cmocka_unit_test(many_are_requeued),
		cmocka_unit_test(streams_are_resumed),
		cmocka_unit_test(a_router_is_partitioned),
		cmocka_unit_test(a_front_end_thaws),
		cmocka_unit_test(no_server_stands),
		cmocka_unit_test(the_purge_horizon_stands_still),
		cmocka_unit_test(urgent_routes_go_first),
		cmocka_unit_test(a_key_is_removed_over_a_queue),
		cmocka_unit_test(isolation_changes),
		cmocka_unit_test(a_server_keeps_old_weights),
		cmocka_unit_test(servers_drain),
		cmocka_unit_test(routes_are_found_by_the_longest_prefix),
		cmocka_unit_test(a_split_goes_by_weights),
		cmocka_unit_test(loads_add_up),
		cmocka_unit_test(the_prefix_index_follows_events),
		cmocka_unit_test(a_router_out_of_touch_learns_of_a_stream),
		cmocka_unit_test(what_is_sent_outlives_the_configuration),
		cmocka_unit_test(older_weights_get_nothing_that_would_wait),
		cmocka_unit_test(a_full_queue_refuses_the_newest),
		cmocka_unit_test(new_bounds_hold_from_the_next_step),
		cmocka_unit_test(each_service_has_its_own_budget),
		cmocka_unit_test(routes_added_later_take_turns),
		cmocka_unit_test(a_cold_namespace_is_of_one_send),
		cmocka_unit_test(odd_lines_end_a_request),
		cmocka_unit_test(a_namespace_names_who_may_use_it),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
