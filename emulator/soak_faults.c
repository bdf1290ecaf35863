/* Faults of the soak test: of routers, core machines, model servers, the operator's connections and the load.
 * Each one that lasts is ended by the soak test when its time is over. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "containers.h"
#include "soak_test_internal.h"

int64_t soak_between(struct soak_test *soak, int64_t least, int64_t most)
{
	return least + (int64_t)(emulator_random(&soak->rng) % (uint64_t)(most - least + 1));
}

int soak_one_in(struct soak_test *soak, int64_t n)
{
	return soak_between(soak, 1, n) == 1;
}

static void start_fault(struct soak_test *soak, int64_t ms, int (*over)(struct soak_test *, void *),
			void *subject)
{
	struct episode episode = { run_ms(soak->run) + ms, over, subject };

	arrput(soak->active_faults, episode);
	soak->fault_count++;
	soak->overlap_count += arrlen(soak->active_faults) > 1;
}

static int is_healthy(const struct machine *machine)
{
	return machine->pid && !machine->removed && !machine->is_killed && !machine->draining &&
	       !machine->is_frozen;
}

/* One of the machines of a kind that have no fault now; NULL: there is none. */
static struct machine *any_healthy(struct soak_test *soak, int core)
{
	struct run *run = soak->run;
	int n = 0, chosen;

	for (int i = 0; i < run->machine_count; i++)
		n += run->machines[i].is_core == core && is_healthy(&run->machines[i]);
	if (!n)
		return NULL;
	chosen = (int)soak_between(soak, 0, n - 1);
	for (int i = 0; i < run->machine_count; i++)
		if (run->machines[i].is_core == core && is_healthy(&run->machines[i]) && chosen-- == 0)
			return &run->machines[i];
	return NULL;
}

/* The core machine that acknowledged last, every other time; else any. */
static struct machine *core_machine(struct soak_test *soak)
{
	const char *leader = operator_leader(soak->run->config_operator);

	if (soak_one_in(soak, 2))
		for (int i = 0; i < soak->run->machine_count; i++)
			if (is_healthy(&soak->run->machines[i]) &&
			    !strcmp(soak->run->machines[i].control_address, leader))
				return &soak->run->machines[i];
	return any_healthy(soak, 1);
}

static int end_downtime(struct soak_test *soak, void *subject)
{
	struct machine *machine = subject;

	(void)soak;
	if (!machine_down(machine) && machine->draining)
		return 0;
	machine_start(machine);
	return 1;
}

static int thaw_machine(struct soak_test *soak, void *subject)
{
	(void)soak;
	machine_freeze(subject, 0);
	return 1;
}

static void kill_one(struct soak_test *soak, struct machine *machine)
{
	run_log(soak->run, "soak: %s is killed", machine->name);
	machine_kill(machine);
	start_fault(soak, soak_between(soak, 0, DOWN_MAX_MS), end_downtime, machine);
}

static void stop_one(struct soak_test *soak, struct machine *machine)
{
	run_log(soak->run, "soak: %s is stopped", machine->name);
	machine_term(machine);
	start_fault(soak, soak_between(soak, 0, DOWN_MAX_MS), end_downtime, machine);
}

static void freeze_one(struct soak_test *soak, struct machine *machine)
{
	int64_t ms = soak_between(soak, FREEZE_MIN_MS, soak->run->bounds.version_ms + 2000);

	run_log(soak->run, "soak: %s freezes for %lld ms", machine->name, (long long)ms);
	machine_freeze(machine, 1);
	start_fault(soak, ms, thaw_machine, machine);
}

static void for_each_healthy(struct soak_test *soak, int core,
			     void (*what)(struct soak_test *, struct machine *))
{
	for (int i = 0; i < soak->run->machine_count; i++)
		if (soak->run->machines[i].is_core == core && is_healthy(&soak->run->machines[i]))
			what(soak, &soak->run->machines[i]);
}

static void reload_one(struct soak_test *soak, struct machine *machine)
{
	(void)soak;
	machine_reload(machine);
}

static void reload_all(struct soak_test *soak)
{
	run_log(soak->run, "soak: SIGHUP of all machines");
	for_each_healthy(soak, 0, reload_one);
	for_each_healthy(soak, 1, reload_one);
}

void soak_inject_router_fault(struct soak_test *soak, int kind)
{
	static void (*const what[])(struct soak_test *, struct machine *) = { kill_one, stop_one,
									      freeze_one };
	int many = kind == ROUTERS_STOP ? 1 : (int)soak_between(soak, 1, (soak->run->edges + 2) / 3);

	if (kind == ROUTERS_HUP) {
		reload_all(soak);
		return;
	}
	if (kind == ROUTERS_KILL_ALL) {
		for_each_healthy(soak, 0, kill_one);
		return;
	}
	while (many--) {
		struct machine *machine = any_healthy(soak, 0);

		if (machine)
			what[kind](soak, machine);
	}
}

static int list_replacement(struct soak_test *soak, void *subject)
{
	struct replacement *replacement = subject;

	(void)soak;
	replacement->lost->is_listed = 0;
	replacement->new->is_listed = 1;
	return 1;
}

static int zone_of(const struct run *run, const struct machine *machine)
{
	int zone = 0;

	while (zone < 3 && strcmp(machine->zone, run->deployment->zone[zone]) != 0)
		zone++;
	return zone;
}

/* A core machine goes for good; an empty one comes at another address. */
static void replace_one(struct soak_test *soak, struct machine *machine)
{
	struct run *run = soak->run;

	run_log(run, "soak: %s goes for good and an empty machine comes at another address", machine->name);
	machine_remove(machine);
	soak->replacement = (struct replacement){ machine, machine_add(run, 1, zone_of(run, machine)) };
	start_fault(soak, soak_between(soak, 0, DOWN_MAX_MS), end_downtime, soak->replacement.new);
	start_fault(soak, SEED_LAG_MS, list_replacement, &soak->replacement);
}

static int restart_empty(struct soak_test *soak, void *subject)
{
	struct machine *machine = subject;

	if (!machine_down(machine))
		return 0;
	machine_wipe(machine);
	return end_downtime(soak, machine);
}

static void wipe_one(struct soak_test *soak, struct machine *machine)
{
	run_log(soak->run, "soak: %s is killed and loses its disk", machine->name);
	machine_kill(machine);
	start_fault(soak, soak_between(soak, 500, DOWN_MAX_MS), restart_empty, machine);
}

/* The core bears the loss of one disk at a time (MachineLosses = 1). */
static int may_lose_disk(struct soak_test *soak)
{
	if (run_ms(soak->run) < soak->next_disk_loss_at_ms || soak->run->machine_count + 1 >= MAX_MACHINES)
		return 0;
	soak->next_disk_loss_at_ms = run_ms(soak->run) + LOSS_PAUSE_MS;
	return 1;
}

void soak_set_target(struct soak_test *soak)
{
	if (operator_weights_acked(soak->run->config_operator) < soak->target_version)
		return; /* one after another */
	operator_weights(soak->run->config_operator, ++soak->target_version);
}

void soak_inject_core_fault(struct soak_test *soak, int kind)
{
	static void (*const what[])(struct soak_test *, struct machine *) = { kill_one, stop_one, freeze_one,
									      replace_one, wipe_one };
	struct machine *machine;

	if (soak_one_in(soak, 2)) { /* while a target is on its way */
		soak_set_target(soak);
		run_for(soak->run, soak_between(soak, 0, 3));
	}
	if (kind == CORE_KILL_ALL || kind == CORE_STOP_ALL) {
		for_each_healthy(soak, 1, kind == CORE_KILL_ALL ? kill_one : stop_one);
		return;
	}
	if ((kind == CORE_REPLACE || kind == CORE_WIPE) && !may_lose_disk(soak))
		kind = CORE_FREEZE;
	machine = core_machine(soak);
	if (machine)
		what[kind](soak, machine);
}

static int recover_server(struct soak_test *soak, void *subject)
{
	struct server *server = subject;

	(void)soak;
	server_set_silent(server, 0);
	server->fault = (struct server_fault){ .close = 0.01 };
	return 1;
}

static int restart_server(struct soak_test *soak, void *subject)
{
	(void)soak;
	server_up(subject);
	return 1;
}

static int replace_server(struct soak_test *soak, void *subject)
{
	struct server *server = subject;

	if (server->state == STATE_DOWN)
		server->version = soak->run->fleet.newest_version; /* a new one has the newest */
	return restart_server(soak, server);
}

static void inject_server_fault(struct soak_test *soak, struct server *server, int kind)
{
	static const char *const what[] = { "is slow",     "is silent",     "crashes",
					    "is replaced", "takes no load", "loads slowly" };
	int64_t ms = soak_between(soak, 500, 2 * soak->run->bounds.version_ms);

	run_log(soak->run, "soak: server %s %s for %lld ms", server->address, what[kind], (long long)ms);
	switch (kind) {
	case SERVER_SLOW:
		server->fault.slow = SLOW_TIMES;
		break;
	case SERVER_SILENT:
		server_set_silent(server, 1);
		break;
	case SERVER_REFUSES:
		server->fault.refuses_loads = 1;
		break;
	case SERVER_LOADS_SLOWLY:
		server->fault.load_slow = LOAD_SLOW_TIMES;
		break;
	default:
		server_crash(server);
		break;
	}
	start_fault(soak, ms,
		    kind == SERVER_CRASH      ? restart_server
		    : kind == SERVER_REPLACED ? replace_server
					      : recover_server,
		    server);
}

void soak_inject_server_faults(struct soak_test *soak, int kind)
{
	struct server_fleet *fleet = &soak->run->fleet;
	int servers = (int)arrlen(fleet->servers) - 1, many = (int)soak_between(soak, 1, (servers + 1) / 2);

	while (many--) { /* the last one is the store */
		struct server *server = fleet->servers[soak_between(soak, 0, servers - 1)];

		if (server->state == STATE_UP && !server->fault.is_silent && server->fault.slow <= 0)
			inject_server_fault(soak, server, kind);
	}
}

static int restore_answers(struct soak_test *soak, void *subject)
{
	operator_set_loss(subject, 0);
	(void)soak;
	return 1;
}

static int restore_load(struct soak_test *soak, void *subject)
{
	struct run *run = subject;

	run->rate /= soak->load_factor;
	soak->load_factor = 0;
	return 1;
}

void soak_inject_other_fault(struct soak_test *soak, int kind)
{
	static const enum change changes[] = { CHANGE_SPLIT,    CHANGE_TIMEOUT,  CHANGE_ROUTE_ON,
					       CHANGE_PRIORITY, CHANGE_ATTEMPTS, CHANGE_MOVE,
					       CHANGE_TENANT,   CHANGE_ROUTE_OFF };
	struct run *run = soak->run;
	int64_t ms = soak_between(soak, 500, run->bounds.version_ms);
	int more = (int)soak_between(soak, 2, 3);

	if (kind == OTHERS_LOSE) {
		run_log(run, "soak: answers to namings are lost for %lld ms", (long long)ms);
		operator_set_loss(run->config_operator, LOST_PERCENT / 100.0);
		start_fault(soak, ms, restore_answers, run->config_operator);
	} else if (kind == OTHERS_LOAD && !soak->load_factor) {
		soak->load_factor = more;
		run_log(run, "soak: %d times the load for %lld ms", more, (long long)ms);
		run->rate *= more;
		start_fault(soak, ms, restore_load, run);
	} else if (operator_idle(run->config_operator)) {
		operator_change(run->config_operator,
				changes[soak_between(soak, 0, (int)(sizeof changes / sizeof *changes) - 1)],
				(int)soak_between(soak, 0, 1));
	}
}
