/* A long day of planned work and nothing else: configurations change without a pause, machines are stopped in
 * turn and come back or are replaced, all are sent SIGHUP, servers are released and weights get new targets.
 * What is done, in which order, follows from the seed; only the moments follow the clock. */
#include <stdio.h>
#include <string.h>

#include "containers.h"
#include "platform_run.h"

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
	int core;
	int next_index;
	int64_t next_at_ms;      /* of the next step */
	struct machine *machine; /* the one that is stopped */
	int64_t listed_at;       /* the list of core machines shows what is below from then on */
	struct machine *unlisted;
	struct machine *newly_listed;
};

struct day {
	struct run *run;
	uint64_t rng;
	int changes;
	int released;
	int weights;
	int new_servers;
	int64_t next_change;
	int64_t next_reload;
	int64_t next_release;
	int64_t next_weights;
	struct roll routers;
	struct roll core;
};

static int64_t up_to(struct day *day, int64_t most)
{
	return (int64_t)(emulator_random(&day->rng) % (uint64_t)(most + 1));
}

/* ---- configurations ---- */

static void change(struct day *day)
{
	static const enum change changes[] = {
		CHANGE_SPLIT,     CHANGE_TIMEOUT, CHANGE_KEY_MORE,        CHANGE_ROUTE_ON,  CHANGE_PRIORITY,
		CHANGE_LIMITS,    CHANGE_MOVE,    CHANGE_ATTEMPTS,        CHANGE_BIG,       CHANGE_TENANT,
		CHANGE_TIMEOUT,   CHANGE_SPLIT,   CHANGE_MAX_CONNECTIONS, CHANGE_ISOLATION, CHANGE_KEY_MORE,
		CHANGE_ROUTE_OFF, CHANGE_BIG_OFF, CHANGE_LIMITS,          CHANGE_TENANT,    CHANGE_MOVE,
	};
	struct run *run = day->run;
	int64_t now = run_ms(run);
	enum change what;

	if (now < day->next_change || !operator_idle(run->config_operator))
		return;
	what = changes[day->changes++ % (int)(sizeof changes / sizeof *changes)];
	operator_change(run->config_operator, what, what != CHANGE_LIMITS && emulator_random(&day->rng) % 2);
	day->next_change = now + up_to(day, CHANGE_SPREAD_MS);
}

/* ---- machines ---- */

static int zone_number(const struct run *run, const struct machine *machine)
{
	int zone = 0;

	while (zone < 3 && strcmp(machine->zone, run->deployment->zone[zone]) != 0)
		zone++;
	return zone;
}

/* The next machine in turn that is not removed and serves; NULL: not now. */
static struct machine *next_machine(struct run *run, const struct roll *roll)
{
	int present = 0, wanted;

	for (int i = 0; i < run->machine_count; i++) {
		const struct machine *machine = &run->machines[i];

		if (machine->is_core != roll->core || machine->removed)
			continue;
		if (!machine->pid ||
		    (!machine->is_core && (!machine->in_rotation || machine->probe_failures)))
			return NULL; /* never two at once */
		present++;
	}
	if (present < 2)
		return NULL;
	wanted = roll->next_index % present;
	for (int i = 0; i < run->machine_count; i++)
		if (run->machines[i].is_core == roll->core && !run->machines[i].removed && wanted-- == 0)
			return &run->machines[i];
	return NULL;
}

static void stop_next(struct run *run, struct roll *roll)
{
	int for_good = roll->next_index % REPLACED_EVERY == 1;

	roll->machine = next_machine(run, roll);
	if (!roll->machine)
		return;
	run_log(run, "planned: %s is stopped%s", roll->machine->name, for_good ? " for good" : "");
	if (for_good)
		machine_retire(roll->machine);
	else
		machine_term(roll->machine);
	roll->next_index++;
	roll->state = ROLL_STOPS;
}

/* A new machine in the place of a removed one. Callers of the core learn of it when SeedLagS is over. */
static struct machine *successor(struct run *run, struct roll *roll)
{
	struct machine *machine = machine_add(run, roll->core, zone_number(run, roll->machine));

	run_log(run, "planned: %s takes the place of %s", machine->name, roll->machine->name);
	if (roll->core) {
		roll->listed_at = run_ms(run) + SEED_LAG_MS;
		roll->unlisted = roll->machine;
		roll->newly_listed = machine;
	}
	return machine;
}

static void start_next(struct run *run, struct roll *roll)
{
	struct machine *machine = roll->machine->removed ? successor(run, roll) : roll->machine;

	machine_start(machine);
	roll->state = ROLL_RESTS;
	roll->next_at_ms =
	    run_ms(run) + (roll->core ? run->bounds.catch_up_ms + CORE_PAUSE_MS : ROUTER_PAUSE_MS);
}

static void list_successor(struct run *run, struct roll *roll)
{
	if (!roll->newly_listed || run_ms(run) < roll->listed_at)
		return;
	roll->unlisted->is_listed = 0;
	roll->newly_listed->is_listed = 1;
	roll->newly_listed = NULL;
}

static void roll_on(struct run *run, struct roll *roll)
{
	int64_t now = run_ms(run);

	list_successor(run, roll);
	if (now < roll->next_at_ms)
		return;
	switch (roll->state) {
	case ROLL_RESTS:
		stop_next(run, roll);
		break;
	case ROLL_STOPS:
		if (!machine_down(roll->machine))
			break;
		roll->state = ROLL_IS_DOWN;
		roll->next_at_ms = now + DOWN_MS;
		break;
	case ROLL_IS_DOWN:
		start_next(run, roll);
		break;
	}
}

static void reload_all(struct day *day)
{
	struct run *run = day->run;

	if (run_ms(run) < day->next_reload)
		return;
	run_log(run, "planned: SIGHUP of all machines");
	for (int i = 0; i < run->machine_count; i++)
		if (!run->machines[i].removed && !run->machines[i].draining)
			machine_reload(&run->machines[i]);
	day->next_reload = run_ms(run) + RELOAD_EVERY_MS;
}

/* ---- servers ---- */

static struct server *next_server(struct day *day)
{
	struct server_fleet *fleet = &day->run->fleet;
	int up = 0, chosen;

	for (int i = 0; i < arrlen(fleet->servers); i++) {
		const struct server *server = fleet->servers[i];

		if (server->state == STATE_DRAINING)
			return NULL; /* never two at once */
		up += !server->is_store && server->state == STATE_UP;
	}
	if (!up)
		return NULL;
	chosen = day->released % up;
	for (int i = 0; i < arrlen(fleet->servers); i++)
		if (!fleet->servers[i]->is_store && fleet->servers[i]->state == STATE_UP && chosen-- == 0)
			return fleet->servers[i];
	return NULL;
}

/* A server drains and ends; another one has come up at a new address before that. */
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
	snprintf(at, sizeof at, "%s.%d:8080", run->address_prefix, FIRST_NEW_SERVER + day->new_servers++);
	run_log(run, "planned: server %s comes, %s drains", at, old->address);
	new = server_add(&run->fleet, at, old->zone, old->service, 0);
	server_up(new);
	server_drain(old);
	day->released++;
	day->next_release = run_ms(run) + RELEASE_PAUSE_MS;
}

static void set_target_weights(struct day *day)
{
	struct run *run = day->run;

	if (run_ms(run) < day->next_weights || operator_weights_acked(run->config_operator) < day->weights)
		return;
	operator_weights(run->config_operator, ++day->weights);
	run_log(run, "planned: weights %d are named", day->weights);
	day->next_weights = run_ms(run) + WEIGHTS_EVERY_MS;
}

void planned_day(struct run *run)
{
	int64_t start = run_ms(run), length = run->length_s ? run->length_s * 1000
					      : run->small  ? SMALL_DAY_MS
							    : DAY_MS;
	struct day day = { .run = run, .rng = emulator_hash(run->seed, "planned", 7), .weights = 1 };

	day.routers = (struct roll){ .core = 0, .next_at_ms = start + 200 };
	day.core = (struct roll){ .core = 1, .next_at_ms = start + 800 };
	day.next_reload = start + 1500;
	day.next_release = start + 1000;
	day.next_weights = start + 2000;
	clients_probe(run->clients, 1);
	clients_long(run->clients, LONG_EVERY);
	while (run_ms(run) < start + length && !run->undecided_reason) {
		change(&day);
		roll_on(run, &day.routers);
		roll_on(run, &day.core);
		reload_all(&day);
		release_one(&day);
		set_target_weights(&day);
		run_for(run, STEP_MS);
	}
	run_log(
	    run,
	    "the planned day is over: %d changes, %d routers and %d core machines stopped, %d servers replaced",
	    day.changes, day.routers.next_index, day.core.next_index, day.released);
}

static void core_all(struct run *run, void (*what)(struct machine *m))
{
	for (int i = 0; i < run->machine_count; i++)
		if (run->machines[i].is_core && !run->machines[i].removed)
			what(&run->machines[i]);
}

void planned_core_stop(struct run *run)
{
	int64_t start = run_ms(run), stop = start + run->bounds.contact_ms, back = stop + CORE_AWAY_MS,
		end = back + run->bounds.grace_ms + run->bounds.catch_up_ms;
	struct day day = { .run = run, .rng = emulator_hash(run->seed, "core stop", 9), .weights = 1 };
	int stopped = 0;

	clients_long(run->clients, LONG_EVERY_OF_CORE_STOP);
	while (run_ms(run) < end && !run->undecided_reason) {
		change(&day);
		if (!stopped && run_ms(run) >= stop) {
			run_log(run, "planned: all core machines are stopped");
			core_all(run, machine_term);
			stopped = 1;
		}
		if (run_ms(run) >= back) /* one that has not ended yet is started by a later call */
			core_all(run, machine_start);
		run_for(run, STEP_MS);
	}
}
