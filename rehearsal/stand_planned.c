/* A long day of planned work and nothing else: configurations change without a pause, machines are stopped in turn and
 * come back or are replaced, all are told to read their settings again, servers are released and new weights are named.
 * What is done, in which order, follows from the seed; only the moments follow the clock. */
#include <stdio.h>
#include <string.h>

#include "ds.h"
#include "stand_run.h"

enum {
	SMALL_DAY_MS = 8000,
	DAY_MS = 60000,
	STEP_MS = 20,
	LONG_EVERY = 12, /* one of so many answers takes seconds */
	LONG_EVERY_OF_CORE_STOP = 5,
	CHANGE_SPREAD_MS = 40,  /* the pause between two changes, at most */
	RELOAD_EVERY_MS = 4500, /* SIGHUP of all */
	RELEASE_PAUSE_MS = 1500,
	WEIGHTS_EVERY_MS = 25000,
	CORE_AWAY_MS = 6000, /* how long no core machine runs, from their SIGTERM */
	DOWN_MS = 300,       /* from the end of a process to its next start */
	ROUTER_PAUSE_MS = 1200,
	CORE_PAUSE_MS = 1500,   /* beyond CatchUpS */
	REPLACED_EVERY = 3,     /* of so many stops one is for good */
	FIRST_NEW_SERVER = 150, /* last number of the address of the first server that comes anew */
	LAST_NEW_SERVER = 249
};

enum roll_state { ROLL_RESTS, ROLL_STOPS, ROLL_IS_DOWN };

/* Machines of one kind, stopped one after another. */
struct roll {
	enum roll_state state;
	int core, turn;
	int64_t next;            /* what comes next, comes then */
	struct machine *machine; /* the one that is stopped */
	int64_t listed_at;       /* the list of core machines shows what is below from then on */
	struct machine *unlisted, *newly_listed;
};

struct day {
	struct run *run;
	uint64_t rng;
	int changes, released, weights, new_servers;
	int64_t next_change, next_reload, next_release, next_weights;
	struct roll routers, core;
};

static int64_t up_to(struct day *day, int64_t most) { return (int64_t)(stand_rand(&day->rng) % (uint64_t)(most + 1)); }

/* ---- configurations ---- */

static void change(struct day *day)
{
	static const enum change changes[] = {
		CHANGE_SPLIT,    CHANGE_TIMEOUT,   CHANGE_KEY_MORE, CHANGE_ROUTE_ON, CHANGE_PRIORITY, CHANGE_LIMITS, CHANGE_MOVE,
		CHANGE_ATTEMPTS, CHANGE_BIG,       CHANGE_TENANT,   CHANGE_TIMEOUT,  CHANGE_SPLIT,    CHANGE_PLACES, CHANGE_WALL,
		CHANGE_KEY_MORE, CHANGE_ROUTE_OFF, CHANGE_BIG_OFF,  CHANGE_LIMITS,   CHANGE_TENANT,   CHANGE_MOVE,
	};
	struct run *run = day->run;
	int64_t now = run_ms(run);
	enum change what;

	if (now < day->next_change || !operator_idle(run->op))
		return;
	what = changes[day->changes++ % (int)(sizeof changes / sizeof *changes)];
	operator_change(run->op, what, what != CHANGE_LIMITS && stand_rand(&day->rng) % 2);
	day->next_change = now + up_to(day, CHANGE_SPREAD_MS);
}

/* ---- machines ---- */

static int zone_number(const struct run *run, const struct machine *m)
{
	int zone = 0;

	while (zone < 3 && strcmp(m->zone, run->sheet->zone[zone]) != 0)
		zone++;
	return zone;
}

/* The next machine in turn that is not gone and serves; NULL: not now. */
static struct machine *next_machine(struct run *run, const struct roll *roll)
{
	int present = 0, wanted;

	for (int i = 0; i < run->nm; i++) {
		const struct machine *m = &run->m[i];

		if (m->core != roll->core || m->gone)
			continue;
		if (!m->pid || (!m->core && (!m->in || m->misses)))
			return NULL; /* never two at once */
		present++;
	}
	if (present < 2)
		return NULL;
	wanted = roll->turn % present;
	for (int i = 0; i < run->nm; i++)
		if (run->m[i].core == roll->core && !run->m[i].gone && wanted-- == 0)
			return &run->m[i];
	return NULL;
}

static void stop_next(struct run *run, struct roll *roll)
{
	int for_good = roll->turn % REPLACED_EVERY == 1;

	roll->machine = next_machine(run, roll);
	if (!roll->machine)
		return;
	run_say(run, "planned: %s is stopped%s", roll->machine->name, for_good ? " for good" : "");
	if (for_good)
		machine_retire(roll->machine);
	else
		machine_term(roll->machine);
	roll->turn++;
	roll->state = ROLL_STOPS;
}

/* A new machine in the place of one that is gone. Callers of the core learn of it when SeedLagS is over. */
static struct machine *successor(struct run *run, struct roll *roll)
{
	struct machine *m = machine_add(run, roll->core, zone_number(run, roll->machine));

	run_say(run, "planned: %s takes the place of %s", m->name, roll->machine->name);
	if (roll->core) {
		roll->listed_at = run_ms(run) + SEED_LAG_MS;
		roll->unlisted = roll->machine;
		roll->newly_listed = m;
	}
	return m;
}

static void start_next(struct run *run, struct roll *roll)
{
	struct machine *m = roll->machine->gone ? successor(run, roll) : roll->machine;

	machine_start(m);
	roll->state = ROLL_RESTS;
	roll->next = run_ms(run) + (roll->core ? run->b.catch_up + CORE_PAUSE_MS : ROUTER_PAUSE_MS);
}

static void list_successor(struct run *run, struct roll *roll)
{
	if (!roll->newly_listed || run_ms(run) < roll->listed_at)
		return;
	roll->unlisted->listed = 0;
	roll->newly_listed->listed = 1;
	roll->newly_listed = NULL;
}

static void roll_on(struct run *run, struct roll *roll)
{
	int64_t now = run_ms(run);

	list_successor(run, roll);
	if (now < roll->next)
		return;
	switch (roll->state) {
	case ROLL_RESTS: stop_next(run, roll); break;
	case ROLL_STOPS:
		if (!machine_down(roll->machine))
			break;
		roll->state = ROLL_IS_DOWN;
		roll->next = now + DOWN_MS;
		break;
	case ROLL_IS_DOWN: start_next(run, roll); break;
	}
}

static void reload_all(struct day *day)
{
	struct run *run = day->run;

	if (run_ms(run) < day->next_reload)
		return;
	run_say(run, "planned: SIGHUP of all machines");
	for (int i = 0; i < run->nm; i++)
		if (!run->m[i].gone && !run->m[i].leaving)
			machine_hup(&run->m[i]);
	day->next_reload = run_ms(run) + RELOAD_EVERY_MS;
}

/* ---- servers ---- */

static struct server *next_server(struct day *day)
{
	struct fleet_set *fleet = &day->run->f;
	int up = 0, chosen;

	for (int i = 0; i < arrlen(fleet->server); i++) {
		const struct server *s = fleet->server[i];

		if (s->life == LIFE_DRAINING)
			return NULL; /* never two at once */
		up += !s->is_store && s->life == LIFE_UP;
	}
	if (!up)
		return NULL;
	chosen = day->released % up;
	for (int i = 0; i < arrlen(fleet->server); i++)
		if (!fleet->server[i]->is_store && fleet->server[i]->life == LIFE_UP && chosen-- == 0)
			return fleet->server[i];
	return NULL;
}

/* A server drains and ends; another has come up at a new address before it. */
static void release_one(struct day *day)
{
	struct run *run = day->run;
	struct server *old, *new;
	char at[48];

	if (run_ms(run) < day->next_release || FIRST_NEW_SERVER + day->new_servers > LAST_NEW_SERVER)
		return;
	old = next_server(day);
	if (!old)
		return;
	snprintf(at, sizeof at, "%s.%d:8080", run->base, FIRST_NEW_SERVER + day->new_servers++);
	run_say(run, "planned: server %s comes, %s drains", at, old->addr);
	new = server_add(&run->f, at, old->zone, old->service, 0);
	server_up(new);
	server_drain(old);
	day->released++;
	day->next_release = run_ms(run) + RELEASE_PAUSE_MS;
}

static void name_weights(struct day *day)
{
	struct run *run = day->run;

	if (run_ms(run) < day->next_weights || operator_weights_acked(run->op) < day->weights)
		return;
	operator_weights(run->op, ++day->weights);
	run_say(run, "planned: weights %d are named", day->weights);
	day->next_weights = run_ms(run) + WEIGHTS_EVERY_MS;
}

void planned_day(struct run *r)
{
	int64_t start = run_ms(r), length = r->length_s ? r->length_s * 1000 : r->small ? SMALL_DAY_MS : DAY_MS;
	struct day day = { .run = r, .rng = stand_hash(r->seed, "planned", 7), .weights = 1 };

	day.routers = (struct roll){ .core = 0, .next = start + 200 };
	day.core = (struct roll){ .core = 1, .next = start + 800 };
	day.next_reload = start + 1500;
	day.next_release = start + 1000;
	day.next_weights = start + 2000;
	clients_probe(r->clients, 1);
	clients_long(r->clients, LONG_EVERY);
	while (run_ms(r) < start + length && !r->missed) {
		change(&day);
		roll_on(r, &day.routers);
		roll_on(r, &day.core);
		reload_all(&day);
		release_one(&day);
		name_weights(&day);
		run_for(r, STEP_MS);
	}
	run_say(r, "the planned day is over: %d changes, %d routers and %d core machines stopped, %d servers replaced", day.changes,
		day.routers.turn, day.core.turn, day.released);
}

static void core_all(struct run *run, void (*what)(struct machine *m))
{
	for (int i = 0; i < run->nm; i++)
		if (run->m[i].core && !run->m[i].gone)
			what(&run->m[i]);
}

void planned_core_stop(struct run *r)
{
	int64_t start = run_ms(r), stop = start + r->b.contact, back = stop + CORE_AWAY_MS, end = back + r->b.grace + r->b.catch_up;
	struct day day = { .run = r, .rng = stand_hash(r->seed, "core stop", 9), .weights = 1 };
	int stopped = 0;

	clients_long(r->clients, LONG_EVERY_OF_CORE_STOP);
	while (run_ms(r) < end && !r->missed) {
		change(&day);
		if (!stopped && run_ms(r) >= stop) {
			run_say(r, "planned: all core machines are stopped");
			core_all(r, machine_term);
			stopped = 1;
		}
		if (run_ms(r) >= back) /* one that has not ended yet is started by a later call */
			core_all(r, machine_start);
		run_for(r, STEP_MS);
	}
}
