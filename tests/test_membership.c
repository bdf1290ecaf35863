/* Losses of controllers one after another: after a repair, a replacement or a planned stop the fleet has to
 * survive the next loss within the deployment's catch-up bound. Times are measured over many seeds:
 * NL_SEEDS=1000 prints the distributions of docs/measurements.md. */
#include <apr_general.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "containers.h"
#include "raft_leader.h"
#include "sim.h"

enum {
	CATCH_UP_MS = 4000,
	GRACE_MS = 7300,  /* of a planned stop */
	WINDOW_MS = 7000, /* in which an exposed moment counts */
	SAMPLE_MS = 20,
	LOAD_EVERY_MS = 100, /* between changes of configuration */
	SETTLE_MS = 12000,
	SLOW_BYTES_PER_MS = 1000, /* of a link, and of the processor behind it */
	LARGE_CHANGES = 500,
	LARGE_CHANGE_ROWS = 150
};

struct deployment {
	const char *name;
	int machines, zones;
	int machine_losses; /* at once */
	int zone_losses;
};

static const struct deployment deployments[] = {
	{ "3 machines, 1 lost", 3, 3, 1, 0 }, { "4 machines, 1 lost", 4, 4, 1, 0 },
	{ "5 machines, 1 lost", 5, 3, 1, 0 }, { "5 machines, 2 lost", 5, 3, 2, 0 },
	{ "8 machines, 1 lost", 8, 4, 1, 0 }, { "8 machines, 2 lost", 8, 4, 2, 0 },
	{ "3 machines, a zone", 3, 3, 1, 1 }, { "8 machines, a zone", 8, 4, 1, 1 },
};
enum { DEPLOYMENTS = sizeof deployments / sizeof *deployments };

enum fault {
	KILLED,           /* back with its disk */
	WIPED,            /* back at its address with an empty disk */
	REPLACED,         /* killed for good, a new machine at a new address */
	REPLACED_PLANNED, /* the same after SIGTERM */
	REMOVED,          /* killed for good, no successor: the others hold spare machines */
	REMOVED_PLANNED,  /* the same after SIGTERM */
	FAULTS
};

static const char *const fault_names[FAULTS] = {
	"killed, back with its disk", "wiped",
	"replaced, unplanned",        "replaced, planned",
	"removed, unplanned",         "removed, planned",
};

static uint64_t draw(struct sim *sim, uint64_t n)
{
	return core_random(&sim->rng) % n;
}

static void check(struct sim *s)
{
	if (s->violation[0])
		fail_msg("%s", s->violation);
}

static int copies_of(const struct deployment *deployment)
{
	return 2 * deployment->machine_losses + 1;
}

static void deploy(struct sim *sim, const struct deployment *deployment, uint64_t seed)
{
	uint64_t seeds[3];
	char text[32];

	sim_open(sim, seed);
	sim->replica_count = copies_of(deployment);
	sim->catch_up_ms = CATCH_UP_MS;
	for (int i = 0; i < 3; i++) {
		snprintf(text, sizeof text, "127.0.1.%d:7000", i + 1);
		seeds[i] = core_parse_addr(text);
	}
	for (int i = 0; i < deployment->machines; i++) {
		snprintf(text, sizeof text, "z%d", i % deployment->zones + 1);
		sim_add_controller(sim, text, seeds, 3);
	}
	controller_bootstrap(sim->nodes[0].controller, sim->now + sim->nodes[0].clock_skew_ms);
}

static struct raft *raft_at(struct sim *sim, int node, uint32_t shard)
{
	return &sim->nodes[node].controller->shards[shard];
}

static int is_live(const struct sim *sim, int node)
{
	return sim->nodes[node].used && sim->nodes[node].up && !sim->nodes[node].frozen &&
	       sim->nodes[node].controller;
}

static int node_by_id(const struct sim *sim, uint64_t id)
{
	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (is_live(sim, i) && sim->nodes[i].id == id)
			return i;
	return -1;
}

/* Whether a committed entry, and so all before it, lies on a node's disk. */
static int holds(const struct sim *sim, int node, uint32_t shard, uint64_t index)
{
	const struct sim_disk_shard *disk = &sim->nodes[node].disk.shards[shard];
	const struct sim_entry *entry;

	if (disk->base >= index)
		return 1;
	if (!arrlen(disk->entries) || index < disk->first ||
	    index - disk->first >= (uint64_t)arrlen(disk->entries))
		return 0;
	entry = &disk->entries[index - disk->first];
	return core_hash(entry->term * 4 + entry->kind, entry->data, entry->len) ==
	       sim->entry_hashes[shard][index - 1];
}

static int holds_committed(const struct sim *sim, int node, uint32_t shard)
{
	return holds(sim, node, shard, (uint64_t)arrlen(sim->entry_hashes[shard]));
}

/* The member that would lead: the newest log of all live ones. */
static int newest_member(struct sim *sim, uint32_t shard)
{
	int newest = -1;
	uint64_t newest_term = 0, newest_last = 0;

	for (int i = 0; i < SIM_CONTROLLERS; i++) {
		const struct raft *raft;
		uint64_t last, term;

		if (!is_live(sim, i) || !raft_at(sim, i, shard)->group.member_count)
			continue;
		raft = raft_at(sim, i, shard);
		last = raft->log.base_index + (uint64_t)arrlen(raft->log.entries);
		term = arrlen(raft->log.entries) ? arrlast(raft->log.entries).term : raft->log.base_term;
		if (newest >= 0 && (term < newest_term || (term == newest_term && last <= newest_last)))
			continue;
		newest = i;
		newest_term = term;
		newest_last = last;
	}
	return newest;
}

static int survives_with(struct sim *sim, uint32_t shard, const struct Nl__Members *members, unsigned lost)
{
	int voters = 0, live = 0, holders = 0;

	for (size_t i = 0; members && i < members->n_members; i++) {
		int node = node_by_id(sim, members->members[i]->id);

		if (!members->members[i]->voter)
			continue;
		voters++;
		if (node < 0 || lost >> node & 1)
			continue;
		live++;
		holders += holds_committed(sim, node, shard);
	}
	return live > voters / 2 && holders > 0;
}

/* Whether a shard goes on without the nodes in lost, under each membership that may still come to hold. */
static int shard_survives(struct sim *sim, uint32_t shard, unsigned lost)
{
	int node = newest_member(sim, shard), seen = 0, ok = 1;
	const struct raft *raft;

	if (node < 0)
		return 0;
	raft = raft_at(sim, node, shard);
	for (ptrdiff_t i = arrlen(raft->log.entries) - 1; i >= 0 && ok; i--) {
		struct Nl__Members *members;

		if (raft->log.entries[i].kind != RAFT_ENTRY_MEMBERS)
			continue;
		members = nl__members__unpack(NULL, raft->log.entries[i].len, raft->log.entries[i].data);
		ok = survives_with(sim, shard, members, lost);
		nl__members__free_unpacked(members, NULL);
		seen++;
		if (raft->log.base_index + 1 + (uint64_t)i <= (uint64_t)arrlen(sim->entry_hashes[shard]))
			return ok;
	}
	if (raft->snapshots.newest.members_len && ok) {
		struct Nl__Members *members = nl__members__unpack(NULL, raft->snapshots.newest.members_len,
								  raft->snapshots.newest.members);

		ok = survives_with(sim, shard, members, lost);
		nl__members__free_unpacked(members, NULL);
		seen++;
	}
	return ok && seen;
}

static int all_survive(struct sim *sim, unsigned lost)
{
	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++)
		if (!shard_survives(sim, shard, lost))
			return 0;
	return 1;
}

static unsigned zone_mask(const struct sim *sim, const char *zone)
{
	unsigned mask = 0;

	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (sim->nodes[i].used && !strcmp(sim->nodes[i].zone, zone))
			mask |= 1u << i;
	return mask;
}

/* Whether any loss that the deployment tolerates would be survived right now. */
static int tolerance_is_whole(struct sim *sim, const struct deployment *deployment)
{
	for (int a = 0; a < SIM_CONTROLLERS; a++) {
		if (!is_live(sim, a))
			continue;
		if (deployment->zone_losses ? !all_survive(sim, zone_mask(sim, sim->nodes[a].zone))
					    : !all_survive(sim, 1u << a))
			return 0;
		for (int b = a + 1; b < SIM_CONTROLLERS && deployment->machine_losses > 1; b++)
			if (is_live(sim, b) && !all_survive(sim, 1u << a | 1u << b))
				return 0;
	}
	return 1;
}

static int64_t next_load_at;

/* Let time pass under a load of changes; runs until done says so or the time is over. */
static void pass(struct sim *sim, int64_t ms)
{
	int64_t end = sim->now + ms;

	while (sim->now < end) {
		int64_t step = end - sim->now < SAMPLE_MS ? end - sim->now : SAMPLE_MS;
		int node = (int)draw(sim, SIM_CONTROLLERS);

		if (sim->now >= next_load_at && is_live(sim, node)) {
			char body[128];

			snprintf(
			    body, sizeof body,
			    "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":1,\"limit\":%d}]}",
			    (int)draw(sim, 4), 1 + (int)draw(sim, 1000));
			sim_call(sim, node, "POST", "/v1/change", body);
			next_load_at = sim->now + LOAD_EVERY_MS;
		}
		if (!sim_run(sim, step, NULL))
			check(sim);
	}
}

static int groups_are_full(struct sim *sim, const struct deployment *deployment)
{
	int expected =
	    copies_of(deployment) < deployment->machines ? copies_of(deployment) : deployment->machines;

	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++) {
		int leader = sim_leader(sim, shard), voters = 0;

		if (leader < 0 || raft_at(sim, leader, shard)->group.members_index >
				      raft_at(sim, leader, shard)->log.commit_index)
			return 0;
		for (int i = 0; i < raft_at(sim, leader, shard)->group.member_count; i++)
			voters += raft_at(sim, leader, shard)->group.members[i].voter;
		if (voters != expected || raft_at(sim, leader, shard)->group.member_count != expected)
			return 0;
	}
	return 1;
}

static void settle(struct sim *s, const struct deployment *d)
{
	int64_t end = s->now + SETTLE_MS;

	next_load_at = s->now + 3000;
	while ((!groups_are_full(s, d) || !tolerance_is_whole(s, d)) && s->now < end)
		pass(s, SAMPLE_MS);
	if (s->now >= end)
		fail_msg("%s, seed %llu: never whole", d->name, (unsigned long long)s->seed);
	pass(s, 1000 + (int64_t)draw(s, 1000));
}

/* Whether all voters but one have on their disks what was committed up to an index, as far as they answer. */
static int others_have_synced(struct sim *sim, int node, uint32_t shard, uint64_t index)
{
	const struct raft *raft = raft_at(sim, node, shard);

	for (int i = 0; i < raft->group.member_count; i++) {
		int other = node_by_id(sim, raft->group.members[i].id);

		if (raft->group.members[i].voter && other >= 0 && other != node &&
		    !holds(sim, other, shard, index))
			return 0;
	}
	return 1;
}

/* A planned stop, as the process does it: it ends when it says that it may, or when the grace is over. It
 * then leads nothing, and the others hold what it held. */
static int64_t stop(struct sim *sim, int node)
{
	int64_t from = sim->now;
	uint64_t committed[SHARD_COUNT];

	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++)
		committed[shard] = (uint64_t)arrlen(sim->entry_hashes[shard]);
	sim_stop(sim, node);
	pass(sim, 1);
	while (sim->now - from < GRACE_MS &&
	       !controller_may_stop(sim->nodes[node].controller, sim_local_clock(sim, node)))
		pass(sim, 5);
	for (uint32_t shard = 0; shard < SHARD_COUNT && sim->now - from < GRACE_MS; shard++) {
		const struct raft *raft = raft_at(sim, node, shard);

		assert_int_not_equal(raft->role, RAFT_LEADER);
		if (raft->log.commit_index >= committed[shard] &&
		    !others_have_synced(sim, node, shard, committed[shard]))
			fail_msg("seed %llu: node %d goes, and another copy of shard %u is behind",
				 (unsigned long long)sim->seed, node, shard);
	}
	return sim->now - from;
}

/* Another machine takes the place: a new address, an empty disk. */
static void start_successor(struct sim *sim, int node)
{
	static int serial;
	char text[32];

	snprintf(text, sizeof text, "127.0.7.%d:7000", 1 + serial++ % 250);
	sim->nodes[node].addr = core_parse_addr(text);
	sim_start(sim, node);
}

static int any_live(struct sim *sim, const struct deployment *deployment)
{
	int node;

	do
		node = (int)draw(sim, (uint64_t)deployment->machines);
	while (!is_live(sim, node));
	return node;
}

/* The machines that go in this run: so many as the deployment tolerates at once, often a leader among them.
 */
static unsigned choose_lost(struct sim *sim, const struct deployment *deployment)
{
	int first = draw(sim, 2) && sim_leader(sim, SHARD_CONTROL) >= 0 ? sim_leader(sim, SHARD_CONTROL)
									: any_live(sim, deployment);
	unsigned lost = 1u << first;

	if (deployment->zone_losses)
		return zone_mask(sim, sim->nodes[first].zone);
	for (int i = 1; i < deployment->machine_losses; i++)
		while (__builtin_popcount(lost) <= i)
			lost |= 1u << any_live(sim, deployment);
	return lost;
}

/* Bring a fault about; the time from which the catch-up bound runs. */
static int64_t bring_about(struct sim *sim, const struct deployment *deployment, enum fault fault,
			   unsigned lost)
{
	int planned = fault == REPLACED_PLANNED || fault == REMOVED_PLANNED;
	int returns = fault != REMOVED && fault != REMOVED_PLANNED;
	int64_t away = 50 + (int64_t)draw(sim, draw(sim, 2) ? 600 : 8000);

	(void)deployment;
	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (lost >> i & 1) {
			if (planned)
				stop(sim, i);
			sim_crash(sim, i, fault != KILLED);
		}
	if (!returns)
		return sim->now;
	pass(sim, away);
	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (lost >> i & 1) {
			if (fault == REPLACED || fault == REPLACED_PLANNED)
				start_successor(sim, i);
			else
				sim_start(sim, i);
		}
	return sim->now;
}

/* How long after from the fleet was last exposed to a loss that it has to tolerate. */
static int64_t exposed_for(struct sim *sim, const struct deployment *deployment, int64_t from)
{
	int64_t last_exposed = from - SAMPLE_MS;

	while (sim->now - from < WINDOW_MS) {
		if (!tolerance_is_whole(sim, deployment))
			last_exposed = sim->now;
		pass(sim, SAMPLE_MS);
	}
	return last_exposed + SAMPLE_MS - from;
}

static int compare_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void print_times(const struct deployment *deployment, enum fault fault, int64_t *times)
{
	size_t n = (size_t)arrlen(times);

	qsort(times, n, sizeof *times, compare_times);
	print_message("%-20s | %-26s | %5zu | %5lld | %5lld | %5lld | %5lld\n", deployment->name,
		      fault_names[fault], n, (long long)times[n / 2], (long long)times[n * 95 / 100],
		      (long long)times[n * 99 / 100], (long long)times[n - 1]);
}

static int seeds_or(int n)
{
	return getenv("NL_SEEDS") ? atoi(getenv("NL_SEEDS")) : n;
}

/* After any loss that the deployment tolerates, the next one is survived within the catch-up bound. */
static void next_loss_is_survived_in_time(void **state)
{
	const char *only = getenv("NL_DEPLOYMENT"); /* its number */
	int seeds = seeds_or(2), late = 0;

	(void)state;
	print_message("%-20s | %-26s | %5s | %5s | %5s | %5s | %5s\n", "deployment", "loss", "runs", "p50",
		      "p95", "p99", "most");
	for (int k = 0; k < DEPLOYMENTS; k++)
		for (int fault = 0; fault < FAULTS; fault++) {
			const struct deployment *deployment = &deployments[k];
			int spare = deployment->machines - copies_of(deployment);
			int64_t *times = NULL;

			if (only && k != atoi(only))
				continue;
			if ((fault == REMOVED || fault == REMOVED_PLANNED) &&
			    (deployment->zone_losses || spare < deployment->machine_losses))
				continue; /* no machine is left to take the place */
			for (int seed = 1; seed <= seeds; seed++) {
				struct sim sim;
				int64_t t;

				deploy(&sim, deployment, (uint64_t)(seed + 100000 * k + 10000000 * fault));
				settle(&sim, deployment);
				t = bring_about(&sim, deployment, (enum fault)fault,
						choose_lost(&sim, deployment));
				t = exposed_for(&sim, deployment, t);
				arrput(times, t);
				late += t > CATCH_UP_MS;
				if (t > CATCH_UP_MS)
					print_message("late: %s, %s, seed %d: %lld ms\n", deployment->name,
						      fault_names[fault], seed, (long long)t);
				check(&sim);
				sim_close(&sim);
			}
			print_times(deployment, (enum fault)fault, times);
			arrfree(times);
		}
	assert_int_equal(late, 0);
}

/* A member that is to stop while another copy is behind stays until that one has caught up, and leads no more
 * by then. */
static void a_leaving_member_waits_for_the_others(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= (uint64_t)seeds_or(6); seed++) {
		struct sim sim;
		int leader, behind;
		int64_t took;

		deploy(&sim, &deployments[0], seed);
		settle(&sim, &deployments[0]);
		leader = sim_leader(&sim, SHARD_CONTROL);
		behind = (leader + 1 + (int)(seed % 2)) % 3;
		for (int i = 0; i < 3; i++)
			sim.link_cut[i][behind] = sim.link_cut[behind][i] = i != behind;
		pass(&sim, 1000);
		/* the link heals while the member waits */
		sim_stop(&sim, leader);
		pass(&sim, 1500);
		assert_false(
		    controller_may_stop(sim.nodes[leader].controller, sim_local_clock(&sim, leader)));
		memset(sim.link_cut, 0, sizeof sim.link_cut);
		took = stop(&sim, leader);
		if (took > 3000)
			fail_msg("seed %llu: gone %lld ms after the heal", (unsigned long long)seed,
				 (long long)took);
		sim_crash(&sim, leader, 1);
		sim_start(&sim, leader);
		pass(&sim, CATCH_UP_MS);
		assert_true(tolerance_is_whole(&sim, &deployments[0]));
		check(&sim);
		sim_close(&sim);
	}
}

/* With all others caught up a planned stop takes no longer than a few heartbeats and an election. */
static void a_planned_stop_is_short(void **state)
{
	int64_t most = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= (uint64_t)seeds_or(10); seed++) {
		const struct deployment *deployment = &deployments[seed % DEPLOYMENTS];
		struct sim sim;
		int64_t took;

		deploy(&sim, deployment, seed);
		settle(&sim, deployment);
		took = stop(&sim, any_live(&sim, deployment));
		most = took > most ? took : most;
		check(&sim);
		sim_close(&sim);
	}
	print_message("a planned stop takes %lld ms at most\n", (long long)most);
	assert_true(most <= 2000);
}

/* One machine after the other is told to stop, and replaced by a new one; the next follows once that had its
 * time. */
static void all_machines_are_replaced_in_turn(void **state)
{
	(void)state;
	for (int k = 0; k < DEPLOYMENTS; k += 3) {
		const struct deployment *deployment = &deployments[k];
		struct sim sim;

		deploy(&sim, deployment, 77 + (uint64_t)k);
		settle(&sim, deployment);
		for (int i = 0; i < deployment->machines; i++) {
			stop(&sim, i);
			sim_crash(&sim, i, 1);
			pass(&sim, (int64_t)draw(&sim, 3000));
			start_successor(&sim, i);
			pass(&sim, CATCH_UP_MS);
			check(&sim);
			if (!tolerance_is_whole(&sim, deployment))
				fail_msg("%s: exposed after %d", deployment->name, i);
		}
		sim_close(&sim);
	}
}

/* Two machines are told to stop at once, where the deployment tolerates one loss; spare ones take the places.
 */
static void two_leave_at_once(void **state)
{
	const struct deployment *deployment = &deployments[4];

	(void)state;
	for (uint64_t seed = 1; seed <= (uint64_t)seeds_or(6); seed++) {
		struct sim sim;
		int a, b;
		int64_t from;

		deploy(&sim, deployment, seed);
		settle(&sim, deployment);
		a = sim_leader(&sim, SHARD_CONTROL);
		do
			b = any_live(&sim, deployment);
		while (b == a);
		sim_stop(&sim, a);
		sim_stop(&sim, b);
		from = sim.now;
		while (sim.now - from < GRACE_MS && (sim.nodes[a].up || sim.nodes[b].up)) {
			pass(&sim, 5);
			if (sim.nodes[a].up &&
			    controller_may_stop(sim.nodes[a].controller, sim_local_clock(&sim, a)))
				sim_crash(&sim, a, 1);
			if (sim.nodes[b].up &&
			    controller_may_stop(sim.nodes[b].controller, sim_local_clock(&sim, b)))
				sim_crash(&sim, b, 1);
		}
		if (sim.nodes[a].up || sim.nodes[b].up)
			fail_msg("seed %llu: %d %d still there after the grace", (unsigned long long)seed,
				 sim.nodes[a].up, sim.nodes[b].up);
		if (!all_survive(&sim, 0))
			fail_msg("seed %llu: a majority left", (unsigned long long)seed);
		pass(&sim, CATCH_UP_MS);
		assert_true(tolerance_is_whole(&sim, deployment));
		check(&sim);
		sim_close(&sim);
	}
}

static int all_led(struct sim *sim)
{
	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++)
		if (sim_leader(sim, shard) < 0)
			return 0;
	return 1;
}

/* Right after an acknowledgement so many machines as the deployment tolerates lose their disks, and often all
 * others their power; all that were up before come back. */
static void lose_disks_after_an_acknowledgement(struct sim *sim, const struct deployment *deployment,
						const char *tenant)
{
	unsigned up = 0, lost;
	int power = (int)draw(sim, 2), held = 0;
	char body[128];

	snprintf(body, sizeof body,
		 "{\"set\":[{\"kind\":\"tenant\",\"name\":\"%s\",\"share\":1,\"limit\":5}]}", tenant);
	if (!sim_change(sim, body, 4000))
		fail_msg("%s, seed %llu: no acknowledgement; %s", deployment->name,
			 (unsigned long long)sim->seed, sim->violation);
	lost = choose_lost(sim, deployment);
	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (is_live(sim, i) && (power || lost >> i & 1)) {
			up |= 1u << i;
			sim_crash(sim, i, (int)(lost >> i & 1));
		}
	pass(sim, 100 + (int64_t)draw(sim, 900));
	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (up >> i & 1)
			sim_start(sim, i);
	sim_run(sim, 12000, all_led);
	check(sim);
	if (!all_led(sim))
		fail_msg("%s, seed %llu: a group stays without a leader", deployment->name,
			 (unsigned long long)sim->seed);
	pass(sim, 500);
	for (int i = 0; i < SIM_CONTROLLERS; i++)
		held |= is_live(sim, i) && config_table_get(&sim->nodes[i].controller->config.table,
							    NL__KIND__TENANT, tenant) != NULL;
	if (!held)
		fail_msg("%s, seed %llu: acknowledged, and lost", deployment->name,
			 (unsigned long long)sim->seed);
}

/* After each kind of loss and the catch-up bound the next one comes at any moment, and again after that. */
static void disks_are_lost_at_any_moment_after_a_repair(void **state)
{
	int seeds = seeds_or(1), runs = 0;

	(void)state;
	for (int k = 0; k < DEPLOYMENTS; k++)
		for (int fault = 0; fault < FAULTS; fault++) {
			const struct deployment *deployment = &deployments[k];

			if ((fault == REMOVED || fault == REMOVED_PLANNED) &&
			    (deployment->zone_losses ||
			     deployment->machines - copies_of(deployment) < deployment->machine_losses))
				continue;
			for (int seed = 1; seed <= seeds; seed++, runs++) {
				struct sim sim;

				deploy(&sim, deployment,
				       (uint64_t)(50000000 + seed + 100000 * k + 10000000 * fault));
				settle(&sim, deployment);
				bring_about(&sim, deployment, (enum fault)fault,
					    choose_lost(&sim, deployment));
				pass(&sim, CATCH_UP_MS + (int64_t)draw(&sim, 3000));
				lose_disks_after_an_acknowledgement(&sim, deployment, "first");
				pass(&sim, CATCH_UP_MS + (int64_t)draw(&sim, 3000));
				lose_disks_after_an_acknowledgement(&sim, deployment, "second");
				check(&sim);
				sim_close(&sim);
			}
		}
	print_message("%d runs of three losses one after another\n", runs);
}

/* A change of many rows, so that the log of a few hundred is far larger than the state. */
static void large_change(struct sim *sim, int number)
{
	char body[LARGE_CHANGE_ROWS * 100 + 100];
	size_t n = (size_t)snprintf(body, sizeof body, "{\"set\":[");

	for (int i = 0; i < LARGE_CHANGE_ROWS; i++)
		n += (size_t)snprintf(
		    body + n, sizeof body - n,
		    "%s{\"kind\":\"tenant\",\"name\":\"tenant-with-a-long-name-%d\",\"share\":1,\"limit\":%d}",
		    i ? "," : "", i, 1 + number);
	snprintf(body + n, sizeof body - n, "]}");
	sim_call(sim, number % 3, "POST", "/v1/change", body);
}

/* A machine is back with an empty disk, where syncs take 25 ms, links are slow and many hundred changes lie
 * behind. Once the catch-up bound is over, a change is acknowledged, and right then the leader loses its disk
 * while the other two lose power. */
static void the_leaders_disk_is_lost_after_a_repair(void **state)
{
	int seeds = seeds_or(1);

	(void)state;
	for (uint64_t seed = 1; seed <= (uint64_t)seeds; seed++) {
		struct sim sim;
		int wiped, leader;
		uint64_t revision;

		deploy(&sim, &deployments[0], seed);
		settle(&sim, &deployments[0]);
		sim.disk_ms = 25;
		sim.bytes_per_ms = SLOW_BYTES_PER_MS;
		for (int i = 0; i < LARGE_CHANGES; i++) {
			large_change(&sim, i);
			assert_true(sim_run(&sim, 50, NULL));
		}
		wiped = (int)(seed % 3);
		sim_crash(&sim, wiped, 1);
		pass(&sim, 16000);
		sim_start(&sim, wiped);
		pass(&sim, CATCH_UP_MS + 50);
		revision = sim_change(
		    &sim, "{\"set\":[{\"kind\":\"tenant\",\"name\":\"last\",\"share\":1,\"limit\":5}]}",
		    4000);
		check(&sim);
		assert_true(revision > 0);
		leader = sim_leader(&sim, SHARD_CONTROL);
		assert_int_not_equal(leader, -1);
		for (int i = 0; i < 3; i++)
			sim_crash(&sim, i, i == leader);
		pass(&sim, 500);
		for (int i = 0; i < 3; i++)
			sim_start(&sim, i);
		sim_run(&sim, 12000, all_led);
		check(&sim);
		if (!all_led(&sim))
			fail_msg("seed %llu: a group stays without a leader", (unsigned long long)seed);
		pass(&sim, 500);
		assert_non_null(
		    config_table_get(&sim.nodes[sim_leader(&sim, SHARD_CONTROL)].controller->config.table,
				     NL__KIND__TENANT, "last"));
		sim_close(&sim);
	}
}

/* All three seeds come back with empty disks and know only each other: the others tell them of the fleet. */
static void seeds_with_empty_disks_find_the_fleet(void **state)
{
	const struct deployment *deployment = &deployments[5];

	(void)state;
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct sim sim;

		deploy(&sim, deployment, seed);
		settle(&sim, deployment);
		sim_crash(&sim, 0, 1);
		sim_crash(&sim, 1, 1);
		pass(&sim, CATCH_UP_MS);
		sim_crash(&sim, 2, 1);
		pass(&sim, (int64_t)draw(&sim, 3000));
		for (int i = 0; i < 3; i++)
			sim_start(&sim, i);
		pass(&sim, CATCH_UP_MS);
		check(&sim);
		for (int i = 0; i < 3; i++)
			assert_int_equal(sim.nodes[i].controller->identity.fleet_id,
					 sim.nodes[3].controller->identity.fleet_id);
		assert_true(tolerance_is_whole(&sim, deployment));
		sim_close(&sim);
	}
}

/* ---- a leader alone, its members' answers given by hand ---- */

/* A silent voter's successor is prepared as a learner, and goes again when the voter returns. */
static void a_short_silence_moves_no_member(void **state)
{
	struct leader leader;

	(void)state;
	leader_begin(&leader, 3);
	leader_run_heartbeats(&leader, 1700, 1u << 2);
	leader_reconfigure(&leader);
	assert_non_null(leader_member(&leader, 4));
	assert_false(leader_member(&leader, 4)->voter);
	leader_run_heartbeats(&leader, 300, 1u << 2 | 1u << 4);
	leader_reconfigure(&leader); /* caught up, but member 3 is not given up yet */
	assert_false(leader_member(&leader, 4)->voter);
	assert_non_null(leader_member(&leader, 3));
	leader_run_heartbeats(&leader, 150, 1u << 2 | 1u << 3 | 1u << 4);
	leader_reconfigure(&leader);
	assert_null(leader_member(&leader, 4));
	assert_int_equal(leader.raft.group.member_count, 3);
	leader_end(&leader);
}

/* The lost voter goes before its successor votes: its silence never counts towards a larger majority. */
static void a_lost_voter_goes_before_its_successor_votes(void **state)
{
	struct leader leader;

	(void)state;
	leader_begin(&leader, 3);
	leader_run_heartbeats(&leader, 1700, 1u << 2);
	leader_reconfigure(&leader);
	leader_run_heartbeats(&leader, 1000, 1u << 2 | 1u << 4);
	leader_reconfigure(&leader);
	assert_null(leader_member(&leader, 3));
	assert_false(leader_member(&leader, 4)->voter);
	leader_reconfigure(&leader); /* one change at a time: this one is not committed yet */
	assert_false(leader_member(&leader, 4)->voter);
	leader_run_heartbeats(&leader, 150, 1u << 2 | 1u << 4);
	leader_reconfigure(&leader);
	assert_true(leader_member(&leader, 4)->voter);
	assert_int_equal(leader.raft.group.member_count, 3);
	leader_end(&leader);
}

/* A learner that lacks the newest committed entry gets no vote, and a lost voter keeps its place until it has
 * it. */
static void a_learner_votes_only_with_all_that_is_committed(void **state)
{
	struct leader leader;
	uint64_t old;

	(void)state;
	leader_begin(&leader, 3);
	leader_run_heartbeats(&leader, 1700, 1u << 2);
	leader_reconfigure(&leader);
	leader_run_heartbeats(&leader, 1000, 1u << 2 | 1u << 4);
	old = leader_last_index(&leader);
	leader_propose(&leader);
	leader_receive_append_reply(&leader, 2, leader_last_index(&leader));
	leader_receive_append_reply(&leader, 4, old);
	assert_int_equal(leader.raft.log.commit_index, leader_last_index(&leader));
	leader_reconfigure(&leader);
	assert_non_null(leader_member(&leader, 3));
	leader_receive_append_reply(&leader, 4, leader_last_index(&leader));
	leader_reconfigure(&leader);
	assert_null(leader_member(&leader, 3));
	leader_run_heartbeats(&leader, 150, 1u << 2 | 1u << 4);
	old = leader_last_index(&leader);
	leader_propose(&leader);
	leader_receive_append_reply(&leader, 2, leader_last_index(&leader));
	leader_reconfigure(&leader);
	assert_false(leader_member(&leader, 4)->voter);
	leader_receive_append_reply(&leader, 4, leader_last_index(&leader));
	leader_reconfigure(&leader);
	assert_true(leader_member(&leader, 4)->voter);
	leader_end(&leader);
}

/* Five voters become four only when three of those that stay hold all that is committed. */
static void no_change_without_a_majority_that_has_caught_up(void **state)
{
	struct leader leader;
	uint64_t old;

	(void)state;
	leader_begin(&leader, 5);
	leader.controllers[1].zone = leader.controllers[2].zone =
	    9; /* the zone with the most voters: one of members 2 and 3 is to go */
	leader.raft.group.target_voters = 3;
	old = leader_last_index(&leader);
	leader_propose(&leader);
	leader_receive_append_reply(&leader, 2, leader_last_index(&leader));
	leader_receive_append_reply(&leader, 3, leader_last_index(&leader));
	leader_receive_append_reply(&leader, 4, old);
	leader_receive_append_reply(&leader, 5, old);
	assert_int_equal(leader.raft.log.commit_index, leader_last_index(&leader));
	leader_reconfigure(&leader);
	assert_int_equal(leader.raft.group.member_count, 5);
	leader_receive_append_reply(&leader, 4, leader_last_index(&leader));
	leader_reconfigure(&leader);
	assert_int_equal(leader.raft.group.member_count, 4);
	leader_end(&leader);
	/* a voter that is silent counts for none, though it is not given up */
	leader_begin(&leader, 5);
	leader.controllers[1].zone = leader.controllers[2].zone = 9;
	leader_run_heartbeats(&leader, 900, 1u << 2 | 1u << 3);
	leader.raft.group.target_voters = 3;
	leader_reconfigure(&leader);
	assert_int_equal(leader.raft.group.member_count, 5);
	leader_run_heartbeats(&leader, 150, 1u << 2 | 1u << 3 | 1u << 4);
	leader_reconfigure(&leader);
	assert_int_equal(leader.raft.group.member_count, 4);
	leader_end(&leader);
}

static uint64_t successor_named(struct leader *leader)
{
	for (ptrdiff_t i = 0; i < arrlen(leader->out.commands); i++)
		if (leader->out.commands[i].kind == CMD_SEND &&
		    leader->out.commands[i].args.send.msg->body_case == NL__MSG__BODY_STEP_DOWN)
			return leader->out.commands[i].args.send.msg->step_down->successor_id;
	return 0;
}

/* A leaving leader takes no proposals, waits for a voter that holds all, and names the one that holds most.
 */
static void a_leaving_leader_hands_over_to_the_most_caught_up(void **state)
{
	(void)state;
	for (uint64_t ahead = 2; ahead <= 3; ahead++) {
		struct leader leader;
		uint64_t old;

		leader_begin(&leader, 3);
		old = leader_last_index(&leader);
		leader_propose(&leader);
		leader_receive_append_reply(&leader, 2, ahead == 2 ? old + 1 : old);
		leader_receive_append_reply(&leader, 3, ahead == 3 ? old + 1 : old);
		raft_drain(&leader.raft, leader.now);
		command_list_clear(&leader.out);
		raft_tick(&leader.raft, leader.now, &leader.out);
		assert_int_equal(leader.raft.role, RAFT_FOLLOWER);
		assert_int_equal(successor_named(&leader), ahead);
		leader_end(&leader);
	}
	for (uint64_t wait = 0; wait <= 1; wait++) { /* nobody holds all: it waits, but not for ever */
		struct leader leader;
		uint64_t old;

		leader_begin(&leader, 3);
		old = leader_last_index(&leader);
		leader_propose(&leader);
		raft_drain(&leader.raft, leader.now);
		assert_int_equal(raft_propose(&leader.raft, (const uint8_t *)"y", 1, leader.now), 0);
		for (int i = 0; i < 4; i++) {
			leader.now += RAFT_HEARTBEAT_INTERVAL_MS;
			raft_tick(&leader.raft, leader.now, &leader.out);
			leader_sync_disk(&leader);
			leader_receive_append_reply(&leader, 2, old);
			leader_receive_append_reply(&leader, 3, old);
		}
		assert_int_equal(leader.raft.role, RAFT_LEADER);
		if (wait) {
			leader.now += 500;
			raft_tick(&leader.raft, leader.now, &leader.out);
			assert_int_equal(leader.raft.role, RAFT_FOLLOWER);
		} else {
			leader_receive_append_reply(&leader, 3, leader_last_index(&leader));
			raft_tick(&leader.raft, leader.now, &leader.out);
			assert_int_equal(leader.raft.role, RAFT_FOLLOWER);
			assert_int_equal(successor_named(&leader), 3);
		}
		assert_false(raft_may_stop(&leader.raft, leader.now)); /* no successor has been elected yet */
		leader_end(&leader);
	}
}

/* What a leaving voter has synced commits nothing where the others are a majority by themselves. */
static void a_leaving_voter_is_not_counted(void **state)
{
	struct leader leader;
	struct Nl__Msg message = leader_message(NL__MSG__BODY_APPEND_REPLY);
	struct Nl__AppendReply reply = NL__APPEND_REPLY__INIT;
	uint64_t old;

	(void)state;
	leader_begin(&leader, 3);
	old = leader_last_index(&leader);
	reply.term = leader.raft.term;
	reply.success = reply.draining = 1;
	reply.round = leader.raft.lease.heartbeat_round;
	reply.match_index = old;
	message.append_reply = &reply;
	leader_receive(&leader, 3, &message);
	raft_tick(&leader.raft, leader.now, &leader.out);
	leader_propose(&leader);
	reply.match_index = leader_last_index(&leader);
	leader_receive(&leader, 3, &message);
	assert_int_equal(leader.raft.log.commit_index, old);
	leader_receive_append_reply(&leader, 2, leader_last_index(&leader));
	assert_int_equal(leader.raft.log.commit_index, leader_last_index(&leader));
	/* the other voter is silent: the leaving one counts, and is kept */
	for (int i = 0; i < 5; i++) {
		leader.now += RAFT_HEARTBEAT_INTERVAL_MS;
		raft_tick(&leader.raft, leader.now, &leader.out);
		leader_sync_disk(&leader);
		reply.round = leader.raft.lease.heartbeat_round;
		leader_receive(&leader, 3, &message);
	}
	leader_propose(&leader);
	reply.match_index = leader_last_index(&leader);
	leader_receive(&leader, 3, &message);
	assert_int_equal(leader.raft.log.commit_index, leader_last_index(&leader));
	leader_end(&leader);
}

/* The same while the others lack what it holds, so that it is not let go yet. */
static void a_leaving_voter_that_is_held_is_not_counted(void **state)
{
	struct leader leader;
	struct Nl__Msg message = leader_message(NL__MSG__BODY_APPEND_REPLY);
	struct Nl__AppendReply reply = NL__APPEND_REPLY__INIT;
	uint64_t old;

	(void)state;
	leader_begin(&leader, 3);
	old = leader_last_index(&leader);
	leader_propose(&leader);
	reply.term = leader.raft.term;
	reply.success = reply.draining = 1;
	reply.round = leader.raft.lease.heartbeat_round;
	reply.match_index = old;
	message.append_reply = &reply;
	leader_receive(&leader, 3, &message);
	raft_tick(&leader.raft, leader.now, &leader.out);
	reply.match_index = leader_last_index(&leader);
	leader_receive(&leader, 3, &message);
	assert_int_equal(leader.raft.log.commit_index, old);
	leader_receive_append_reply(&leader, 2, leader_last_index(&leader));
	assert_int_equal(leader.raft.log.commit_index, leader_last_index(&leader));
	leader_end(&leader);
}

/* Whether the last message to a member says that it may go. */
static int let_go(struct leader *leader, uint64_t id)
{
	int released = 0;

	for (ptrdiff_t i = 0; i < arrlen(leader->out.commands); i++)
		if (leader->out.commands[i].kind == CMD_SEND &&
		    leader->out.commands[i].args.send.addr == 100 + id &&
		    leader->out.commands[i].args.send.msg->body_case == NL__MSG__BODY_APPEND)
			released = leader->out.commands[i].args.send.msg->append->released;
	return released;
}

/* A leaving member is kept while another voter, though it answers, lacks what the leaving one held. */
static void a_leaving_voter_is_kept_while_another_is_behind(void **state)
{
	struct leader leader;
	struct Nl__Msg message = leader_message(NL__MSG__BODY_APPEND_REPLY);
	struct Nl__AppendReply reply = NL__APPEND_REPLY__INIT;
	uint64_t old;

	(void)state;
	leader_begin(&leader, 3);
	old = leader_last_index(&leader);
	leader_propose(&leader);
	reply.term = leader.raft.term;
	reply.success = reply.draining = 1;
	reply.round = leader.raft.lease.heartbeat_round;
	reply.match_index = leader_last_index(&leader);
	message.append_reply = &reply;
	leader_receive(&leader, 3, &message);
	for (int caught_up = 0; caught_up <= 1; caught_up++) {
		leader_receive_append_reply(&leader, 2, caught_up ? leader_last_index(&leader) : old);
		command_list_clear(&leader.out);
		leader.now += RAFT_HEARTBEAT_INTERVAL_MS;
		raft_tick(&leader.raft, leader.now, &leader.out);
		assert_int_equal(let_go(&leader, 3), caught_up);
		assert_int_equal(let_go(&leader, 2), 0);
	}
	leader_end(&leader);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_short_silence_moves_no_member),
		cmocka_unit_test(a_lost_voter_goes_before_its_successor_votes),
		cmocka_unit_test(a_learner_votes_only_with_all_that_is_committed),
		cmocka_unit_test(no_change_without_a_majority_that_has_caught_up),
		cmocka_unit_test(a_leaving_leader_hands_over_to_the_most_caught_up),
		cmocka_unit_test(a_leaving_voter_is_not_counted),
		cmocka_unit_test(a_leaving_voter_that_is_held_is_not_counted),
		cmocka_unit_test(a_leaving_voter_is_kept_while_another_is_behind),
		cmocka_unit_test(next_loss_is_survived_in_time),
		cmocka_unit_test(a_leaving_member_waits_for_the_others),
		cmocka_unit_test(a_planned_stop_is_short),
		cmocka_unit_test(all_machines_are_replaced_in_turn),
		cmocka_unit_test(two_leave_at_once),
		cmocka_unit_test(disks_are_lost_at_any_moment_after_a_repair),
		cmocka_unit_test(the_leaders_disk_is_lost_after_a_repair),
		cmocka_unit_test(seeds_with_empty_disks_find_the_fleet),
	};

	apr_initialize();
	cmocka_set_test_filter(getenv("NL_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
