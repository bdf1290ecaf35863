/* Scenarios with two builds of the programs, under load and changes of the configuration: a fleet of which
 * half the machines run an older build, and a fleet that goes over from the older build machine by machine,
 * on the disks that the older programs wrote. Both need --old-build. A run that does not bring about what it
 * is for proves nothing. */
#include <string.h>

#include "containers.h"
#include "platform_internal.h"

enum {
	STEP_MS = 20,
	CHANGE_EVERY_MS = 300,
	LONG_EVERY = 20, /* one of so many answers takes seconds */
	SMALL_MIXED_MS = 30000,
	MIXED_MS = 60000,
	DISTURB_EVERY_MS = 6000, /* from one machine that stops to the next */
	DOWN_MS = 1200,          /* how long it stays down */
	EDGE_READY_MS = 6000,    /* a started edge is ready by then */
	CALM_MS = 4000
};

/* What both scenarios keep: the stream of changes, and which build acknowledged them. */
struct version_run {
	struct run *run;
	int64_t next_change_at_ms;
	int changes;
	int acks_counted;
	int acks_by_old;
	int acks_by_new;
};

static void need_old_build(struct run *run)
{
	if (!run->old_program_folder[0])
		run->undecided_reason = "this scenario needs --old-build DIR";
}

/* The machine whose controller acknowledged last, or NULL. */
static struct machine *last_leader(struct run *run)
{
	const char *address = operator_leader(run->config_operator);

	for (int i = 0; i < run->machine_count; i++)
		if (run->machines[i].is_core && !strcmp(run->machines[i].control_address, address))
			return &run->machines[i];
	return NULL;
}

static void count_acks(struct version_run *versions)
{
	int acked = operator_acked(versions->run->config_operator);
	const struct machine *leader = last_leader(versions->run);

	if (leader && leader->runs_old)
		versions->acks_by_old += acked - versions->acks_counted;
	else if (leader)
		versions->acks_by_new += acked - versions->acks_counted;
	versions->acks_counted = acked;
}

/* Submit the next change once the last one is acknowledged; configurations go out in full and as
 * modifications by turns. */
static void change_on(struct version_run *versions)
{
	static const enum change changes[] = { CHANGE_SPLIT,    CHANGE_TIMEOUT,  CHANGE_ROUTE_ON,
					       CHANGE_KEY_MORE, CHANGE_PRIORITY, CHANGE_ISOLATION,
					       CHANGE_ATTEMPTS, CHANGE_MOVE,     CHANGE_TENANT,
					       CHANGE_LIMITS,   CHANGE_ROUTE_OFF };
	struct run *run = versions->run;
	enum change what;

	count_acks(versions);
	if (run_ms(run) < versions->next_change_at_ms || !operator_idle(run->config_operator))
		return;
	what = changes[versions->changes % (int)(sizeof changes / sizeof *changes)];
	operator_change(run->config_operator, what, what != CHANGE_LIMITS && versions->changes % 2);
	versions->changes++;
	versions->next_change_at_ms = run_ms(run) + CHANGE_EVERY_MS;
}

static void go_on_for(struct version_run *versions, int64_t ms)
{
	int64_t until = run_ms(versions->run) + ms;

	while (run_ms(versions->run) < until && !versions->run->undecided_reason) {
		change_on(versions);
		run_for(versions->run, STEP_MS);
	}
}

static void start_traffic_of(struct run *run)
{
	clients_probe(run->clients, 1);
	clients_long(run->clients, LONG_EVERY);
}

static void set_weights(struct run *run, int version)
{
	run_log(run, "weights %d become the target", version);
	operator_weights(run->config_operator, version);
}

/* ---- half of the machines run the older build ---- */

/* The machine to stop next: the leader, while its build has acknowledged more than the other; else an edge,
 * by turns of either build. */
static struct machine *next_to_stop(const struct version_run *versions, int round)
{
	struct run *run = versions->run;
	struct machine *leader = last_leader(run);
	int of_old_build = round / 2 % 2;

	if (round % 2 == 0 && leader && leader->pid &&
	    (leader->runs_old ? versions->acks_by_old >= versions->acks_by_new
			      : versions->acks_by_new >= versions->acks_by_old))
		return leader;
	for (int i = 0; i < run->machine_count; i++)
		if (!run->machines[i].is_core && run->machines[i].pid &&
		    run->machines[i].runs_old == of_old_build)
			return &run->machines[i];
	return NULL;
}

static void stop_and_start(struct version_run *versions, int round)
{
	struct run *run = versions->run;
	struct machine *machine = next_to_stop(versions, round);

	if (!machine)
		return;
	run_log(run, "%s (%s build) is %s", machine->name, machine->runs_old ? "old" : "new",
		round % 4 < 2 ? "killed" : "stopped");
	if (round % 4 < 2)
		machine_kill(machine);
	else
		machine_term(machine);
	while (!machine_down(machine) && !run->undecided_reason)
		go_on_for(versions, STEP_MS);
	go_on_for(versions, DOWN_MS);
	machine_start(machine);
}

void mixed_versions_prepare(struct run *run)
{
	need_old_build(run);
}

void mixed_versions(struct run *run)
{
	int64_t length = run->length_s ? run->length_s * 1000 : run->small ? SMALL_MIXED_MS : MIXED_MS;
	int64_t end = run_ms(run) + length;
	struct version_run versions = { .run = run };
	int old = 0;

	for (int i = 0; i < run->machine_count; i++)
		old += run->machines[i].runs_old;
	run_log(run, "%d of %d machines run the old build", old, run->machine_count);
	start_traffic_of(run);
	for (int round = 0; run_ms(run) < end && !run->undecided_reason; round++) {
		go_on_for(&versions, DISTURB_EVERY_MS);
		if (round == 1)
			set_weights(run, 2);
		stop_and_start(&versions, round);
	}
	go_on_for(&versions, CALM_MS);
	run_log(run, "configurations acknowledged: %d by the old build, %d by the new one",
		versions.acks_by_old, versions.acks_by_new);
	if (!versions.acks_by_old || !versions.acks_by_new)
		run->undecided_reason = "one of the builds acknowledged no configuration";
}

/* ---- all machines go over, one by one ---- */

void upgrade_prepare(struct run *run)
{
	need_old_build(run);
	run->all_start_old = 1;
}

/* Stop a machine in order and start the new build on its disk; wait until it takes part again. */
static void upgrade_machine(struct version_run *versions, struct machine *machine)
{
	struct run *run = versions->run;
	int64_t ready_by;

	run_log(run, "%s goes over", machine->name);
	machine_term(machine);
	while (!machine_down(machine) && !run->undecided_reason)
		go_on_for(versions, STEP_MS);
	machine->runs_old = 0;
	machine_start(machine);
	if (machine->is_core) {
		go_on_for(versions, run->bounds.catch_up_ms + run->bounds.contact_ms);
		return;
	}
	ready_by = run_ms(run) + EDGE_READY_MS;
	go_on_for(versions, 1500);
	while ((!machine->in_rotation || machine->probe_failures) && run_ms(run) < ready_by &&
	       !run->undecided_reason)
		go_on_for(versions, STEP_MS);
}

static int machines_on_old_build(const struct run *run)
{
	int n = 0;

	for (int i = 0; i < run->machine_count; i++)
		n += run->machines[i].runs_old;
	return n;
}

/* Cores and edges by turns, so that each build meets the other in both roles. */
static void upgrade_all(struct version_run *versions)
{
	struct run *run = versions->run;

	while (machines_on_old_build(run) && !run->undecided_reason)
		for (int core = 1; core >= 0; core--)
			for (int i = 0; i < run->machine_count; i++)
				if (run->machines[i].is_core == core && run->machines[i].runs_old) {
					upgrade_machine(versions, &run->machines[i]);
					break;
				}
}

void upgrade(struct run *run)
{
	struct version_run versions = { .run = run };

	start_traffic_of(run);
	go_on_for(&versions, CALM_MS);
	set_weights(run, 2);
	upgrade_all(&versions);
	set_weights(run, 3);
	go_on_for(&versions, CALM_MS);
	run_wait_for(run, run->bounds.ack_ms * run->slack, run_operator_idle);
	count_acks(&versions);
	run_log(run, "configurations acknowledged: %d by the old build, %d by the new one",
		versions.acks_by_old, versions.acks_by_new);
	if (!versions.acks_by_old || !versions.acks_by_new)
		run->undecided_reason = "one of the builds acknowledged no configuration";
	/* and from the disks alone: the old build began them, the new one went on with them */
	run_kill_everything(run, 1);
	run_for(run, run->bounds.recovery_ms + 3000);
}
