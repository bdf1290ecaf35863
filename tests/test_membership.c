/* Losses of controllers one after another: after a repair, a replacement or a planned stop the fleet has to survive the
 * next loss within the deployment's catch-up bound. Times are measured over many seeds: NL_SEEDS=1000 prints the
 * distributions of docs/measurements.md. */
#include <apr_general.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ds.h"
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
	{ "3 machines, 1 lost", 3, 3, 1, 0 }, { "4 machines, 1 lost", 4, 4, 1, 0 }, { "5 machines, 1 lost", 5, 3, 1, 0 },
	{ "5 machines, 2 lost", 5, 3, 2, 0 }, { "8 machines, 1 lost", 8, 4, 1, 0 }, { "8 machines, 2 lost", 8, 4, 2, 0 },
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
	"killed, back with its disk", "wiped", "replaced, unplanned", "replaced, planned", "removed, unplanned", "removed, planned",
};

static uint64_t draw(struct sim *s, uint64_t n) { return core_rand(&s->rng) % n; }

static void check(struct sim *s)
{
	if (s->bad[0])
		fail_msg("%s", s->bad);
}

static int copies_of(const struct deployment *d) { return 2 * d->machine_losses + 1; }

static void deploy(struct sim *s, const struct deployment *d, uint64_t seed)
{
	uint64_t seeds[3];
	char text[32];

	sim_open(s, seed);
	s->copies = copies_of(d);
	s->catch_up_ms = CATCH_UP_MS;
	for (int i = 0; i < 3; i++) {
		snprintf(text, sizeof text, "127.0.1.%d:7000", i + 1);
		seeds[i] = core_addr(text);
	}
	for (int i = 0; i < d->machines; i++) {
		snprintf(text, sizeof text, "z%d", i % d->zones + 1);
		sim_registrar(s, text, seeds, 3);
	}
	controller_bootstrap(s->n[0].r, s->now + s->n[0].skew);
}

static struct raft *raft_at(struct sim *s, int node, uint32_t shard) { return &s->n[node].r->part[shard]; }

static int is_live(const struct sim *s, int node) { return s->n[node].used && s->n[node].up && !s->n[node].frozen && s->n[node].r; }

static int node_by_id(const struct sim *s, uint64_t id)
{
	for (int i = 0; i < SIM_REGS; i++)
		if (is_live(s, i) && s->n[i].id == id)
			return i;
	return -1;
}

/* Whether a committed entry, and so all before it, lies on a node's disk. */
static int holds(const struct sim *s, int node, uint32_t shard, uint64_t index)
{
	const struct sim_disk_part *disk = &s->n[node].disk.p[shard];
	const struct sim_entry *e;

	if (disk->base >= index)
		return 1;
	if (!arrlen(disk->e) || index < disk->from || index - disk->from >= (uint64_t)arrlen(disk->e))
		return 0;
	e = &disk->e[index - disk->from];
	return core_hash(e->term * 4 + e->kind, e->data, e->len) == s->hash[shard][index - 1];
}

static int holds_committed(const struct sim *s, int node, uint32_t shard)
{
	return holds(s, node, shard, (uint64_t)arrlen(s->hash[shard]));
}

/* The member that would lead: the newest log of all live ones. */
static int newest_member(struct sim *s, uint32_t shard)
{
	int newest = -1;
	uint64_t newest_term = 0, newest_last = 0;

	for (int i = 0; i < SIM_REGS; i++) {
		const struct raft *raft;
		uint64_t last, term;

		if (!is_live(s, i) || !raft_at(s, i, shard)->member_count)
			continue;
		raft = raft_at(s, i, shard);
		last = raft->base + (uint64_t)arrlen(raft->log);
		term = arrlen(raft->log) ? arrlast(raft->log).term : raft->base_term;
		if (newest >= 0 && (term < newest_term || (term == newest_term && last <= newest_last)))
			continue;
		newest = i;
		newest_term = term;
		newest_last = last;
	}
	return newest;
}

static int survives_with(struct sim *s, uint32_t shard, const struct Nl__Members *m, unsigned lost)
{
	int voters = 0, live = 0, holders = 0;

	for (size_t i = 0; m && i < m->n_m; i++) {
		int node = node_by_id(s, m->m[i]->id);

		if (!m->m[i]->voter)
			continue;
		voters++;
		if (node < 0 || lost >> node & 1)
			continue;
		live++;
		holders += holds_committed(s, node, shard);
	}
	return live > voters / 2 && holders > 0;
}

/* Whether a shard goes on without the nodes in lost, under each membership that may still come to hold. */
static int shard_survives(struct sim *s, uint32_t shard, unsigned lost)
{
	int node = newest_member(s, shard), seen = 0, ok = 1;
	const struct raft *raft;

	if (node < 0)
		return 0;
	raft = raft_at(s, node, shard);
	for (ptrdiff_t i = arrlen(raft->log) - 1; i >= 0 && ok; i--) {
		struct Nl__Members *m;

		if (raft->log[i].kind != RAFT_ENTRY_MEMBERS)
			continue;
		m = nl__members__unpack(NULL, raft->log[i].len, raft->log[i].data);
		ok = survives_with(s, shard, m, lost);
		nl__members__free_unpacked(m, NULL);
		seen++;
		if (raft->base + 1 + (uint64_t)i <= (uint64_t)arrlen(s->hash[shard]))
			return ok;
	}
	if (raft->snapshot_members_len && ok) {
		struct Nl__Members *m = nl__members__unpack(NULL, raft->snapshot_members_len, raft->snapshot_members);

		ok = survives_with(s, shard, m, lost);
		nl__members__free_unpacked(m, NULL);
		seen++;
	}
	return ok && seen;
}

static int all_survive(struct sim *s, unsigned lost)
{
	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++)
		if (!shard_survives(s, shard, lost))
			return 0;
	return 1;
}

static unsigned zone_mask(const struct sim *s, const char *zone)
{
	unsigned mask = 0;

	for (int i = 0; i < SIM_REGS; i++)
		if (s->n[i].used && !strcmp(s->n[i].zone, zone))
			mask |= 1u << i;
	return mask;
}

/* Whether any loss that the deployment tolerates would be survived right now. */
static int tolerance_is_whole(struct sim *s, const struct deployment *d)
{
	for (int a = 0; a < SIM_REGS; a++) {
		if (!is_live(s, a))
			continue;
		if (d->zone_losses ? !all_survive(s, zone_mask(s, s->n[a].zone)) : !all_survive(s, 1u << a))
			return 0;
		for (int b = a + 1; b < SIM_REGS && d->machine_losses > 1; b++)
			if (is_live(s, b) && !all_survive(s, 1u << a | 1u << b))
				return 0;
	}
	return 1;
}

static int64_t next_load_at;

/* Let time pass under a load of changes; runs until done says so or the time is over. */
static void pass(struct sim *s, int64_t ms)
{
	int64_t end = s->now + ms;

	while (s->now < end) {
		int64_t step = end - s->now < SAMPLE_MS ? end - s->now : SAMPLE_MS;
		int node = (int)draw(s, SIM_REGS);

		if (s->now >= next_load_at && is_live(s, node)) {
			char body[128];

			snprintf(body, sizeof body, "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":1,\"limit\":%d}]}",
				 (int)draw(s, 4), 1 + (int)draw(s, 1000));
			sim_call(s, node, "POST", "/v1/change", body);
			next_load_at = s->now + LOAD_EVERY_MS;
		}
		if (!sim_run(s, step, NULL))
			check(s);
	}
}

static int groups_are_full(struct sim *s, const struct deployment *d)
{
	int want = copies_of(d) < d->machines ? copies_of(d) : d->machines;

	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++) {
		int leader = sim_owner(s, shard), voters = 0;

		if (leader < 0 || raft_at(s, leader, shard)->members_index > raft_at(s, leader, shard)->commit)
			return 0;
		for (int i = 0; i < raft_at(s, leader, shard)->member_count; i++)
			voters += raft_at(s, leader, shard)->members[i].voter;
		if (voters != want || raft_at(s, leader, shard)->member_count != want)
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
static int others_hold(struct sim *s, int node, uint32_t shard, uint64_t index)
{
	const struct raft *raft = raft_at(s, node, shard);

	for (int i = 0; i < raft->member_count; i++) {
		int other = node_by_id(s, raft->members[i].id);

		if (raft->members[i].voter && other >= 0 && other != node && !holds(s, other, shard, index))
			return 0;
	}
	return 1;
}

/* A planned stop, as the process does it: it ends when it says that it may, or when the grace is over. It then leads
 * nothing, and the others hold what it held. */
static int64_t stop(struct sim *s, int node)
{
	int64_t from = s->now;
	uint64_t committed[SHARD_COUNT];

	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++)
		committed[shard] = (uint64_t)arrlen(s->hash[shard]);
	sim_stop(s, node);
	pass(s, 1);
	while (s->now - from < GRACE_MS && !controller_stopped(s->n[node].r, sim_local(s, node)))
		pass(s, 5);
	for (uint32_t shard = 0; shard < SHARD_COUNT && s->now - from < GRACE_MS; shard++) {
		const struct raft *raft = raft_at(s, node, shard);

		assert_int_not_equal(raft->role, RAFT_LEADER);
		if (raft->commit >= committed[shard] && !others_hold(s, node, shard, committed[shard]))
			fail_msg("seed %llu: node %d goes, and another copy of shard %u is behind", (unsigned long long)s->seed,
				 node, shard);
	}
	return s->now - from;
}

/* Another machine takes the place: a new address, an empty disk. */
static void start_successor(struct sim *s, int node)
{
	static int serial;
	char text[32];

	snprintf(text, sizeof text, "127.0.7.%d:7000", 1 + serial++ % 250);
	s->n[node].addr = core_addr(text);
	sim_start(s, node);
}

static int any_live(struct sim *s, const struct deployment *d)
{
	int node;

	do
		node = (int)draw(s, (uint64_t)d->machines);
	while (!is_live(s, node));
	return node;
}

/* The machines that go in this run: so many as the deployment tolerates at once, often a leader among them. */
static unsigned choose_lost(struct sim *s, const struct deployment *d)
{
	int first = draw(s, 2) && sim_owner(s, SHARD_CONTROL) >= 0 ? sim_owner(s, SHARD_CONTROL) : any_live(s, d);
	unsigned lost = 1u << first;

	if (d->zone_losses)
		return zone_mask(s, s->n[first].zone);
	for (int i = 1; i < d->machine_losses; i++)
		while (__builtin_popcount(lost) <= i)
			lost |= 1u << any_live(s, d);
	return lost;
}

/* Bring a fault about; the time from which the catch-up bound runs. */
static int64_t bring_about(struct sim *s, const struct deployment *d, enum fault fault, unsigned lost)
{
	int planned = fault == REPLACED_PLANNED || fault == REMOVED_PLANNED;
	int returns = fault != REMOVED && fault != REMOVED_PLANNED;
	int64_t away = 50 + (int64_t)draw(s, draw(s, 2) ? 600 : 8000);

	(void)d;
	for (int i = 0; i < SIM_REGS; i++)
		if (lost >> i & 1) {
			if (planned)
				stop(s, i);
			sim_crash(s, i, fault != KILLED);
		}
	if (!returns)
		return s->now;
	pass(s, away);
	for (int i = 0; i < SIM_REGS; i++)
		if (lost >> i & 1) {
			if (fault == REPLACED || fault == REPLACED_PLANNED)
				start_successor(s, i);
			else
				sim_start(s, i);
		}
	return s->now;
}

/* How long after from the fleet was last exposed to a loss that it has to tolerate. */
static int64_t exposed_for(struct sim *s, const struct deployment *d, int64_t from)
{
	int64_t last_exposed = from - SAMPLE_MS;

	while (s->now - from < WINDOW_MS) {
		if (!tolerance_is_whole(s, d))
			last_exposed = s->now;
		pass(s, SAMPLE_MS);
	}
	return last_exposed + SAMPLE_MS - from;
}

static int compare_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void print_times(const struct deployment *d, enum fault fault, int64_t *times)
{
	size_t n = (size_t)arrlen(times);

	qsort(times, n, sizeof *times, compare_times);
	print_message("%-20s | %-26s | %5zu | %5lld | %5lld | %5lld | %5lld\n", d->name, fault_names[fault], n,
		      (long long)times[n / 2], (long long)times[n * 95 / 100], (long long)times[n * 99 / 100],
		      (long long)times[n - 1]);
}

static int seeds_or(int n) { return getenv("NL_SEEDS") ? atoi(getenv("NL_SEEDS")) : n; }

/* After any loss that the deployment tolerates, the next one is survived within the catch-up bound. */
static void next_loss_is_survived_in_time(void **state)
{
	const char *only = getenv("NL_DEPLOYMENT"); /* its number */
	int seeds = seeds_or(2), late = 0;

	(void)state;
	print_message("%-20s | %-26s | %5s | %5s | %5s | %5s | %5s\n", "deployment", "loss", "runs", "p50", "p95", "p99", "most");
	for (int k = 0; k < DEPLOYMENTS; k++)
		for (int fault = 0; fault < FAULTS; fault++) {
			const struct deployment *d = &deployments[k];
			int spare = d->machines - copies_of(d);
			int64_t *times = NULL;

			if (only && k != atoi(only))
				continue;
			if ((fault == REMOVED || fault == REMOVED_PLANNED) && (d->zone_losses || spare < d->machine_losses))
				continue; /* no machine is left to take the place */
			for (int seed = 1; seed <= seeds; seed++) {
				struct sim s;
				int64_t t;

				deploy(&s, d, (uint64_t)(seed + 100000 * k + 10000000 * fault));
				settle(&s, d);
				t = bring_about(&s, d, (enum fault)fault, choose_lost(&s, d));
				t = exposed_for(&s, d, t);
				arrput(times, t);
				late += t > CATCH_UP_MS;
				if (t > CATCH_UP_MS)
					print_message("late: %s, %s, seed %d: %lld ms\n", d->name, fault_names[fault], seed,
						      (long long)t);
				check(&s);
				sim_close(&s);
			}
			print_times(d, (enum fault)fault, times);
			arrfree(times);
		}
	assert_int_equal(late, 0);
}

/* A member that is to stop while another copy is behind stays until that one has caught up, and leads no more by then. */
static void a_leaving_member_waits_for_the_others(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= (uint64_t)seeds_or(6); seed++) {
		struct sim s;
		int leader, behind;
		int64_t took;

		deploy(&s, &deployments[0], seed);
		settle(&s, &deployments[0]);
		leader = sim_owner(&s, SHARD_CONTROL);
		behind = (leader + 1 + (int)(seed % 2)) % 3;
		for (int i = 0; i < 3; i++)
			s.link_cut[i][behind] = s.link_cut[behind][i] = i != behind;
		pass(&s, 1000);
		/* the link heals while the member waits */
		sim_stop(&s, leader);
		pass(&s, 1500);
		assert_false(controller_stopped(s.n[leader].r, sim_local(&s, leader)));
		memset(s.link_cut, 0, sizeof s.link_cut);
		took = stop(&s, leader);
		if (took > 3000)
			fail_msg("seed %llu: gone %lld ms after the heal", (unsigned long long)seed, (long long)took);
		sim_crash(&s, leader, 1);
		sim_start(&s, leader);
		pass(&s, CATCH_UP_MS);
		assert_true(tolerance_is_whole(&s, &deployments[0]));
		check(&s);
		sim_close(&s);
	}
}

/* With all others caught up a planned stop takes no longer than a few heartbeats and an election. */
static void a_planned_stop_is_short(void **state)
{
	int64_t most = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= (uint64_t)seeds_or(10); seed++) {
		const struct deployment *d = &deployments[seed % DEPLOYMENTS];
		struct sim s;
		int64_t took;

		deploy(&s, d, seed);
		settle(&s, d);
		took = stop(&s, any_live(&s, d));
		most = took > most ? took : most;
		check(&s);
		sim_close(&s);
	}
	print_message("a planned stop takes %lld ms at most\n", (long long)most);
	assert_true(most <= 2000);
}

/* One machine after the other is told to stop, and replaced by a new one; the next follows once that had its time. */
static void all_machines_are_replaced_in_turn(void **state)
{
	(void)state;
	for (int k = 0; k < DEPLOYMENTS; k += 3) {
		const struct deployment *d = &deployments[k];
		struct sim s;

		deploy(&s, d, 77 + (uint64_t)k);
		settle(&s, d);
		for (int i = 0; i < d->machines; i++) {
			stop(&s, i);
			sim_crash(&s, i, 1);
			pass(&s, (int64_t)draw(&s, 3000));
			start_successor(&s, i);
			pass(&s, CATCH_UP_MS);
			check(&s);
			if (!tolerance_is_whole(&s, d))
				fail_msg("%s: exposed after %d", d->name, i);
		}
		sim_close(&s);
	}
}

/* Two machines are told to stop at once, where the deployment tolerates one loss; spare ones take the places. */
static void two_leave_at_once(void **state)
{
	const struct deployment *d = &deployments[4];

	(void)state;
	for (uint64_t seed = 1; seed <= (uint64_t)seeds_or(6); seed++) {
		struct sim s;
		int a, b;
		int64_t from;

		deploy(&s, d, seed);
		settle(&s, d);
		a = sim_owner(&s, SHARD_CONTROL);
		do
			b = any_live(&s, d);
		while (b == a);
		sim_stop(&s, a);
		sim_stop(&s, b);
		from = s.now;
		while (s.now - from < GRACE_MS && (s.n[a].up || s.n[b].up)) {
			pass(&s, 5);
			if (s.n[a].up && controller_stopped(s.n[a].r, sim_local(&s, a)))
				sim_crash(&s, a, 1);
			if (s.n[b].up && controller_stopped(s.n[b].r, sim_local(&s, b)))
				sim_crash(&s, b, 1);
		}
		if (s.n[a].up || s.n[b].up)
			fail_msg("seed %llu: %d %d still there after the grace", (unsigned long long)seed, s.n[a].up, s.n[b].up);
		if (!all_survive(&s, 0))
			fail_msg("seed %llu: a majority left", (unsigned long long)seed);
		pass(&s, CATCH_UP_MS);
		assert_true(tolerance_is_whole(&s, d));
		check(&s);
		sim_close(&s);
	}
}

static int all_led(struct sim *s)
{
	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++)
		if (sim_owner(s, shard) < 0)
			return 0;
	return 1;
}

/* Right after an acknowledgement so many machines as the deployment tolerates lose their disks, and often all others their
 * power; all that were up before come back. */
static void lose_disks_after_an_acknowledgement(struct sim *s, const struct deployment *d, const char *tenant)
{
	unsigned up = 0, lost;
	int power = (int)draw(s, 2), held = 0;
	char body[128];

	snprintf(body, sizeof body, "{\"set\":[{\"kind\":\"tenant\",\"name\":\"%s\",\"share\":1,\"limit\":5}]}", tenant);
	if (!sim_change(s, body, 4000))
		fail_msg("%s, seed %llu: no acknowledgement; %s", d->name, (unsigned long long)s->seed, s->bad);
	lost = choose_lost(s, d);
	for (int i = 0; i < SIM_REGS; i++)
		if (is_live(s, i) && (power || lost >> i & 1)) {
			up |= 1u << i;
			sim_crash(s, i, (int)(lost >> i & 1));
		}
	pass(s, 100 + (int64_t)draw(s, 900));
	for (int i = 0; i < SIM_REGS; i++)
		if (up >> i & 1)
			sim_start(s, i);
	sim_run(s, 12000, all_led);
	check(s);
	if (!all_led(s))
		fail_msg("%s, seed %llu: a group stays without a leader", d->name, (unsigned long long)s->seed);
	pass(s, 500);
	for (int i = 0; i < SIM_REGS; i++)
		held |= is_live(s, i) && table_get(&s->n[i].r->ctl, NL__KIND__TENANT, tenant) != NULL;
	if (!held)
		fail_msg("%s, seed %llu: acknowledged, and lost", d->name, (unsigned long long)s->seed);
}

/* After each kind of loss and the catch-up bound the next one comes at any moment, and again after that. */
static void disks_are_lost_at_any_moment_after_a_repair(void **state)
{
	int seeds = seeds_or(1), runs = 0;

	(void)state;
	for (int k = 0; k < DEPLOYMENTS; k++)
		for (int fault = 0; fault < FAULTS; fault++) {
			const struct deployment *d = &deployments[k];

			if ((fault == REMOVED || fault == REMOVED_PLANNED) &&
			    (d->zone_losses || d->machines - copies_of(d) < d->machine_losses))
				continue;
			for (int seed = 1; seed <= seeds; seed++, runs++) {
				struct sim s;

				deploy(&s, d, (uint64_t)(50000000 + seed + 100000 * k + 10000000 * fault));
				settle(&s, d);
				bring_about(&s, d, (enum fault)fault, choose_lost(&s, d));
				pass(&s, CATCH_UP_MS + (int64_t)draw(&s, 3000));
				lose_disks_after_an_acknowledgement(&s, d, "first");
				pass(&s, CATCH_UP_MS + (int64_t)draw(&s, 3000));
				lose_disks_after_an_acknowledgement(&s, d, "second");
				check(&s);
				sim_close(&s);
			}
		}
	print_message("%d runs of three losses one after another\n", runs);
}

/* A change of many rows, so that the log of a few hundred is far larger than the state. */
static void large_change(struct sim *s, int number)
{
	char body[LARGE_CHANGE_ROWS * 100 + 100];
	size_t n = (size_t)snprintf(body, sizeof body, "{\"set\":[");

	for (int i = 0; i < LARGE_CHANGE_ROWS; i++)
		n += (size_t)snprintf(body + n, sizeof body - n,
				      "%s{\"kind\":\"tenant\",\"name\":\"tenant-with-a-long-name-%d\",\"share\":1,\"limit\":%d}",
				      i ? "," : "", i, 1 + number);
	snprintf(body + n, sizeof body - n, "]}");
	sim_call(s, number % 3, "POST", "/v1/change", body);
}

/* A machine is back with an empty disk, where syncs take 25 ms, links are slow and many hundred changes lie behind. Once the catch-up bound
 * is over, a change is acknowledged, and right then the leader loses its disk while the other two lose power. */
static void the_leaders_disk_is_lost_after_a_repair(void **state)
{
	int seeds = seeds_or(1);

	(void)state;
	for (uint64_t seed = 1; seed <= (uint64_t)seeds; seed++) {
		struct sim s;
		int wiped, leader;
		uint64_t edition;

		deploy(&s, &deployments[0], seed);
		settle(&s, &deployments[0]);
		s.disk_ms = 25;
		s.bytes_per_ms = SLOW_BYTES_PER_MS;
		for (int i = 0; i < LARGE_CHANGES; i++) {
			large_change(&s, i);
			assert_true(sim_run(&s, 50, NULL));
		}
		wiped = (int)(seed % 3);
		sim_crash(&s, wiped, 1);
		pass(&s, 16000);
		sim_start(&s, wiped);
		pass(&s, CATCH_UP_MS + 50);
		edition = sim_change(&s, "{\"set\":[{\"kind\":\"tenant\",\"name\":\"last\",\"share\":1,\"limit\":5}]}", 4000);
		check(&s);
		assert_true(edition > 0);
		leader = sim_owner(&s, SHARD_CONTROL);
		assert_int_not_equal(leader, -1);
		for (int i = 0; i < 3; i++)
			sim_crash(&s, i, i == leader);
		pass(&s, 500);
		for (int i = 0; i < 3; i++)
			sim_start(&s, i);
		sim_run(&s, 12000, all_led);
		check(&s);
		if (!all_led(&s))
			fail_msg("seed %llu: a group stays without a leader", (unsigned long long)seed);
		pass(&s, 500);
		assert_non_null(table_get(&s.n[sim_owner(&s, SHARD_CONTROL)].r->ctl, NL__KIND__TENANT, "last"));
		sim_close(&s);
	}
}

/* All three seeds come back with empty disks and know only each other: the others tell them of the fleet. */
static void seeds_with_empty_disks_find_the_fleet(void **state)
{
	const struct deployment *d = &deployments[5];

	(void)state;
	for (uint64_t seed = 1; seed <= 4; seed++) {
		struct sim s;

		deploy(&s, d, seed);
		settle(&s, d);
		sim_crash(&s, 0, 1);
		sim_crash(&s, 1, 1);
		pass(&s, CATCH_UP_MS);
		sim_crash(&s, 2, 1);
		pass(&s, (int64_t)draw(&s, 3000));
		for (int i = 0; i < 3; i++)
			sim_start(&s, i);
		pass(&s, CATCH_UP_MS);
		check(&s);
		for (int i = 0; i < 3; i++)
			assert_int_equal(s.n[i].r->fleet, s.n[3].r->fleet);
		assert_true(tolerance_is_whole(&s, d));
		sim_close(&s);
	}
}

/* ---- a leader alone, its members' answers given by hand ---- */

/* A silent voter's successor is prepared as a learner, and goes again when the voter returns. */
static void a_short_silence_moves_no_member(void **state)
{
	struct leader l;

	(void)state;
	leader_begin(&l, 3);
	leader_beat(&l, 1700, 1u << 2);
	leader_reconfigure(&l);
	assert_non_null(leader_member(&l, 4));
	assert_false(leader_member(&l, 4)->voter);
	leader_beat(&l, 300, 1u << 2 | 1u << 4);
	leader_reconfigure(&l); /* caught up, but member 3 is not given up yet */
	assert_false(leader_member(&l, 4)->voter);
	assert_non_null(leader_member(&l, 3));
	leader_beat(&l, 150, 1u << 2 | 1u << 3 | 1u << 4);
	leader_reconfigure(&l);
	assert_null(leader_member(&l, 4));
	assert_int_equal(l.raft.member_count, 3);
	leader_end(&l);
}

/* The lost voter goes before its successor votes: its silence never counts towards a larger majority. */
static void a_lost_voter_goes_before_its_successor_votes(void **state)
{
	struct leader l;

	(void)state;
	leader_begin(&l, 3);
	leader_beat(&l, 1700, 1u << 2);
	leader_reconfigure(&l);
	leader_beat(&l, 1000, 1u << 2 | 1u << 4);
	leader_reconfigure(&l);
	assert_null(leader_member(&l, 3));
	assert_false(leader_member(&l, 4)->voter);
	leader_reconfigure(&l); /* one change at a time: this one is not committed yet */
	assert_false(leader_member(&l, 4)->voter);
	leader_beat(&l, 150, 1u << 2 | 1u << 4);
	leader_reconfigure(&l);
	assert_true(leader_member(&l, 4)->voter);
	assert_int_equal(l.raft.member_count, 3);
	leader_end(&l);
}

/* A learner that lacks the newest committed entry gets no vote, and a lost voter keeps its place until it has it. */
static void a_learner_votes_only_with_all_that_is_committed(void **state)
{
	struct leader l;
	uint64_t old;

	(void)state;
	leader_begin(&l, 3);
	leader_beat(&l, 1700, 1u << 2);
	leader_reconfigure(&l);
	leader_beat(&l, 1000, 1u << 2 | 1u << 4);
	old = leader_newest(&l);
	leader_propose(&l);
	leader_hear_answer(&l, 2, leader_newest(&l));
	leader_hear_answer(&l, 4, old);
	assert_int_equal(l.raft.commit, leader_newest(&l));
	leader_reconfigure(&l);
	assert_non_null(leader_member(&l, 3));
	leader_hear_answer(&l, 4, leader_newest(&l));
	leader_reconfigure(&l);
	assert_null(leader_member(&l, 3));
	leader_beat(&l, 150, 1u << 2 | 1u << 4);
	old = leader_newest(&l);
	leader_propose(&l);
	leader_hear_answer(&l, 2, leader_newest(&l));
	leader_reconfigure(&l);
	assert_false(leader_member(&l, 4)->voter);
	leader_hear_answer(&l, 4, leader_newest(&l));
	leader_reconfigure(&l);
	assert_true(leader_member(&l, 4)->voter);
	leader_end(&l);
}

/* Five voters become four only when three of those that stay hold all that is committed. */
static void no_change_without_a_majority_that_has_caught_up(void **state)
{
	struct leader l;
	uint64_t old;

	(void)state;
	leader_begin(&l, 5);
	l.live[1].zone = l.live[2].zone = 9; /* the zone with the most voters: one of members 2 and 3 is to go */
	l.raft.replicas = 3;
	old = leader_newest(&l);
	leader_propose(&l);
	leader_hear_answer(&l, 2, leader_newest(&l));
	leader_hear_answer(&l, 3, leader_newest(&l));
	leader_hear_answer(&l, 4, old);
	leader_hear_answer(&l, 5, old);
	assert_int_equal(l.raft.commit, leader_newest(&l));
	leader_reconfigure(&l);
	assert_int_equal(l.raft.member_count, 5);
	leader_hear_answer(&l, 4, leader_newest(&l));
	leader_reconfigure(&l);
	assert_int_equal(l.raft.member_count, 4);
	leader_end(&l);
	/* a voter that is silent counts for none, though it is not given up */
	leader_begin(&l, 5);
	l.live[1].zone = l.live[2].zone = 9;
	leader_beat(&l, 900, 1u << 2 | 1u << 3);
	l.raft.replicas = 3;
	leader_reconfigure(&l);
	assert_int_equal(l.raft.member_count, 5);
	leader_beat(&l, 150, 1u << 2 | 1u << 3 | 1u << 4);
	leader_reconfigure(&l);
	assert_int_equal(l.raft.member_count, 4);
	leader_end(&l);
}

static uint64_t successor_named(struct leader *l)
{
	for (ptrdiff_t i = 0; i < arrlen(l->out.v); i++)
		if (l->out.v[i].kind == CMD_SEND && l->out.v[i].u.send.msg->body_case == NL__MSG__BODY_GIVE_UP)
			return l->out.v[i].u.send.msg->give_up->successor;
	return 0;
}

/* A leaving leader takes no proposals, waits for a voter that holds all, and names the one that holds most. */
static void a_leaving_leader_hands_over_to_the_most_caught_up(void **state)
{
	(void)state;
	for (uint64_t ahead = 2; ahead <= 3; ahead++) {
		struct leader l;
		uint64_t old;

		leader_begin(&l, 3);
		old = leader_newest(&l);
		leader_propose(&l);
		leader_hear_answer(&l, 2, ahead == 2 ? old + 1 : old);
		leader_hear_answer(&l, 3, ahead == 3 ? old + 1 : old);
		raft_leave(&l.raft, l.now);
		out_clear(&l.out);
		raft_tick(&l.raft, l.now, &l.out);
		assert_int_equal(l.raft.role, RAFT_FOLLOWER);
		assert_int_equal(successor_named(&l), ahead);
		leader_end(&l);
	}
	for (uint64_t wait = 0; wait <= 1; wait++) { /* nobody holds all: it waits, but not for ever */
		struct leader l;
		uint64_t old;

		leader_begin(&l, 3);
		old = leader_newest(&l);
		leader_propose(&l);
		raft_leave(&l.raft, l.now);
		assert_int_equal(raft_propose(&l.raft, (const uint8_t *)"y", 1, l.now), 0);
		for (int i = 0; i < 4; i++) {
			l.now += RAFT_HEARTBEAT_MS;
			raft_tick(&l.raft, l.now, &l.out);
			leader_sync_disk(&l);
			leader_hear_answer(&l, 2, old);
			leader_hear_answer(&l, 3, old);
		}
		assert_int_equal(l.raft.role, RAFT_LEADER);
		if (wait) {
			l.now += 500;
			raft_tick(&l.raft, l.now, &l.out);
			assert_int_equal(l.raft.role, RAFT_FOLLOWER);
		} else {
			leader_hear_answer(&l, 3, leader_newest(&l));
			raft_tick(&l.raft, l.now, &l.out);
			assert_int_equal(l.raft.role, RAFT_FOLLOWER);
			assert_int_equal(successor_named(&l), 3);
		}
		assert_false(raft_may_leave(&l.raft, l.now)); /* no successor has been elected yet */
		leader_end(&l);
	}
}

/* What a leaving voter has synced commits nothing where the others are a majority by themselves. */
static void a_leaving_voter_is_not_counted(void **state)
{
	struct leader l;
	struct Nl__Msg m = leader_message(NL__MSG__BODY_APPEND_REPLY);
	struct Nl__AppendReply a = NL__APPEND_REPLY__INIT;
	uint64_t old;

	(void)state;
	leader_begin(&l, 3);
	old = leader_newest(&l);
	a.term = l.raft.term;
	a.ok = a.leaving = 1;
	a.round = l.raft.round;
	a.match = old;
	m.append_reply = &a;
	leader_hear(&l, 3, &m);
	raft_tick(&l.raft, l.now, &l.out);
	leader_propose(&l);
	a.match = leader_newest(&l);
	leader_hear(&l, 3, &m);
	assert_int_equal(l.raft.commit, old);
	leader_hear_answer(&l, 2, leader_newest(&l));
	assert_int_equal(l.raft.commit, leader_newest(&l));
	/* the other voter is silent: the leaving one counts, and is kept */
	for (int i = 0; i < 5; i++) {
		l.now += RAFT_HEARTBEAT_MS;
		raft_tick(&l.raft, l.now, &l.out);
		leader_sync_disk(&l);
		a.round = l.raft.round;
		leader_hear(&l, 3, &m);
	}
	leader_propose(&l);
	a.match = leader_newest(&l);
	leader_hear(&l, 3, &m);
	assert_int_equal(l.raft.commit, leader_newest(&l));
	leader_end(&l);
}

/* The same while the others lack what it holds, so that it is not let go yet. */
static void a_leaving_voter_that_is_held_is_not_counted(void **state)
{
	struct leader l;
	struct Nl__Msg m = leader_message(NL__MSG__BODY_APPEND_REPLY);
	struct Nl__AppendReply a = NL__APPEND_REPLY__INIT;
	uint64_t old;

	(void)state;
	leader_begin(&l, 3);
	old = leader_newest(&l);
	leader_propose(&l);
	a.term = l.raft.term;
	a.ok = a.leaving = 1;
	a.round = l.raft.round;
	a.match = old;
	m.append_reply = &a;
	leader_hear(&l, 3, &m);
	raft_tick(&l.raft, l.now, &l.out);
	a.match = leader_newest(&l);
	leader_hear(&l, 3, &m);
	assert_int_equal(l.raft.commit, old);
	leader_hear_answer(&l, 2, leader_newest(&l));
	assert_int_equal(l.raft.commit, leader_newest(&l));
	leader_end(&l);
}

/* Whether the last message to a member says that it may go. */
static int let_go(struct leader *l, uint64_t id)
{
	int released = 0;

	for (ptrdiff_t i = 0; i < arrlen(l->out.v); i++)
		if (l->out.v[i].kind == CMD_SEND && l->out.v[i].u.send.addr == 100 + id &&
		    l->out.v[i].u.send.msg->body_case == NL__MSG__BODY_APPEND)
			released = l->out.v[i].u.send.msg->append->released;
	return released;
}

/* A leaving member is kept while another voter, though it answers, lacks what the leaving one held. */
static void a_leaving_voter_is_kept_while_another_is_behind(void **state)
{
	struct leader l;
	struct Nl__Msg m = leader_message(NL__MSG__BODY_APPEND_REPLY);
	struct Nl__AppendReply a = NL__APPEND_REPLY__INIT;
	uint64_t old;

	(void)state;
	leader_begin(&l, 3);
	old = leader_newest(&l);
	leader_propose(&l);
	a.term = l.raft.term;
	a.ok = a.leaving = 1;
	a.round = l.raft.round;
	a.match = leader_newest(&l);
	m.append_reply = &a;
	leader_hear(&l, 3, &m);
	for (int caught_up = 0; caught_up <= 1; caught_up++) {
		leader_hear_answer(&l, 2, caught_up ? leader_newest(&l) : old);
		out_clear(&l.out);
		l.now += RAFT_HEARTBEAT_MS;
		raft_tick(&l.raft, l.now, &l.out);
		assert_int_equal(let_go(&l, 3), caught_up);
		assert_int_equal(let_go(&l, 2), 0);
	}
	leader_end(&l);
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
