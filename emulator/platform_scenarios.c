/* Scenarios on the platform's emulator, by name: each brings about faults or planned work for some seconds.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "containers.h"
#include "platform_internal.h"

static struct machine *nth_machine(struct run *run, int core, int n)
{
	for (int i = 0; i < run->machine_count; i++)
		if (run->machines[i].is_core == core && !run->machines[i].removed && n-- == 0)
			return &run->machines[i];
	return NULL;
}

static int machine_count_of(struct run *run, int core)
{
	int n = 0;

	for (int i = 0; i < run->machine_count; i++)
		n += run->machines[i].is_core == core && !run->machines[i].removed;
	return n;
}

static void scenario_quiet(struct run *run)
{
	run_for(run, run->small ? 6000 : 20000);
}

static void scenario_kill_edge(struct run *run)
{
	struct machine *machine = nth_machine(run, 0, 0);

	run_for(run, 2000);
	run_log(run, "fault: %s is killed", machine->name);
	machine_kill(machine);
	run_for(run, 800);
	machine_start(machine);
	run_for(run, 4000);
	if (!run->small)
		for (int i = 1; i < 4; i++) {
			machine_kill(nth_machine(run, 0, i));
			run_for(run, 1500);
			machine_start(nth_machine(run, 0, i));
			run_for(run, 1500);
		}
}

static void scenario_kill_core(struct run *run)
{
	run_for(run, 1500);
	for (int i = 0; i < (run->small ? 2 : machine_count_of(run, 1)); i++) {
		struct machine *machine = nth_machine(run, 1, i);

		run_log(run, "fault: %s is killed", machine->name);
		machine_kill(machine);
		operator_change(run->config_operator, CHANGE_SPLIT, 1);
		run_for(run, 1500);
		machine_start(machine);
		run_for(run, 4000);
	}
}

void run_kill_everything(struct run *run, int is_final)
{
	int64_t fault = run_ms(run);

	run_log(run, "fault: every process is killed");
	for (int i = 0; i < run->machine_count; i++)
		machine_kill(&run->machines[i]);
	run_for(run, 700);
	for (int i = 0; i < run->machine_count; i++)
		machine_start(&run->machines[i]);
	if (is_final)
		checker_set_final_fault(run->checker, fault, run_ms(run));
}

static void scenario_kill_all(struct run *run)
{
	run_for(run, 2500);
	operator_change(run->config_operator, CHANGE_TIMEOUT, 0);
	run_wait_for(run, 4000, run_operator_idle);
	run_kill_everything(run, 1);
	run_for(run, run->bounds.recovery_ms + 3000);
}

static void scenario_freeze(struct run *run)
{
	struct machine *machine[2] = { nth_machine(run, 0, 1), nth_machine(run, 1, 0) };

	run_for(run, 1500);
	for (int i = 0; i < 2; i++) {
		run_log(run, "fault: %s freezes", machine[i]->name);
		machine_freeze(machine[i], 1);
		run_for(run, 2500);
		machine_freeze(machine[i], 0);
		run_log(run, "%s wakes", machine[i]->name);
		run_for(run, 3000);
	}
}

static int all_down(struct run *run)
{
	for (int i = 0; i < run->machine_count; i++)
		if (run->machines[i].draining)
			return 0;
	return 1;
}

static void scenario_term_roll(struct run *run)
{
	run_for(run, 3200); /* calm before it */
	for (int i = 0; i < (run->small ? 4 : run->machine_count); i++) {
		struct machine *machine = run->small ? nth_machine(run, i % 2, i / 2) : &run->machines[i];

		run_log(run, "planned: %s is stopped", machine->name);
		machine_term(machine);
		run_wait_for(run, run->bounds.grace_ms + 1000, all_down);
		run_for(run, 300);
		machine_start(machine);
		run_for(run, 4000);
	}
}

static void scenario_config(struct run *run)
{
	clients_probe(run->clients, 1);
	for (int i = 0; i < 2 * CHANGE_BIG; i++) {
		enum change what = (enum change)(i % CHANGE_BIG);

		run_for(run, 700);
		if (what != CHANGE_KEY_OFF && what != CHANGE_IDLE)
			operator_change(run->config_operator, what, i >= CHANGE_BIG);
	}
	run_for(run, 3000);
}

static void scenario_storm(struct run *run)
{
	run_for(run, 1500);
	clients_probe(run->clients, 1);
	for (int i = 0; i < 30; i++)
		operator_change(run->config_operator,
				i % 3   ? CHANGE_TIMEOUT
				: i % 2 ? CHANGE_ROUTE_ON
					: CHANGE_ROUTE_OFF,
				i % 2);
	run_for(run, 6000);
}

static void scenario_race(struct run *run)
{
	clients_probe(run->clients, 1);
	for (int i = 0; i < 5; i++) {
		run_for(run, 1200);
		run_wait_for(run, 4000, run_operator_idle);
		operator_race(run->config_operator);
	}
	run_for(run, 3000);
}

static void scenario_bad(struct run *run)
{
	run_for(run, 1000);
	for (int i = 0; i < INVALID_COUNT; i++) {
		operator_invalid(run->config_operator, (enum invalid)i);
		run_for(run, 500);
		operator_change(run->config_operator, CHANGE_SPLIT, 0);
		run_wait_for(run, 4000, run_operator_idle);
	}
	run_for(run, 2500);
}

static void scenario_big(struct run *run)
{
	run_for(run, 1500);
	operator_change(run->config_operator, CHANGE_BIG, 0);
	run_wait_for(run, 6000, run_operator_idle);
	run_for(run, run->bounds.config_apply_ms + 300);
	clients_extra(run->clients, 200);
	run_for(run, 5000);
}

static void scenario_revoke(struct run *run)
{
	char key[64];

	run_for(run, 1500);
	operator_change(run->config_operator, CHANGE_KEY_ON, 1);
	run_wait_for(run, 5000, run_operator_idle);
	run_for(run, run->bounds.config_apply_ms + 200);
	operator_change(run->config_operator, CHANGE_KEY_OFF, 1);
	run_wait_for(run, 5000, run_operator_idle);
	run_for(run, 1000);
	snprintf(key, sizeof key, "key%02d-1-abcdefgh",
		 3); /* its clients go on with the old key a while, as some do */
	run_for(run, run->bounds.revoke_ms + 1500);
	clients_keys(run->clients, 3, key);
	run_for(run, 2000);
}

static int is_rolled_out(struct run *run)
{
	for (int i = 0; i < arrlen(run->fleet.servers); i++)
		if (!run->fleet.servers[i]->is_store && run->fleet.servers[i]->state == STATE_UP &&
		    run->fleet.servers[i]->version < run->fleet.newest_version)
			return 0;
	return 1;
}

static void scenario_roll_out(struct run *run)
{
	run_for(run, 2000);
	operator_weights(run->config_operator, 2);
	if (!run_wait_for(run, run->bounds.version_ms * run->slack, is_rolled_out))
		run_log(run, "not every server has the new weights after VersionMs");
	else
		run_log(run, "all servers have the new weights");
	run_for(run, 3000);
}

static void scenario_release(struct run *run)
{
	int n = 0;

	run_for(run, 1500);
	for (int i = 0; i < arrlen(run->fleet.servers); i++) {
		struct server *server = run->fleet.servers[i];

		if (server->is_store || n++ >= (run->small ? 2 : 6))
			continue;
		run_log(run, "planned: server %s drains", server->address);
		server_drain(server);
		run_for(run, run->bounds.drain_ms + run->fleet.engine.linger_ms + 2200);
		server_up(server);
		run_for(run, 1200);
	}
}

static void scenario_crash(struct run *run)
{
	run_for(run, 1500);
	for (int i = 0; i < (run->small ? 2 : 6); i++) {
		struct server *server = run->fleet.servers[i];

		run_log(run, "fault: server %s crashes", server->address);
		server_crash(server);
		run_for(run, 1500);
		server_up(server);
		run_for(run, 1500);
	}
	run_log(run, "fault: server %s is lost for good", run->fleet.servers[2]->address);
	server_crash(run->fleet.servers[2]);
	run_for(run, 4000);
}

static void set_fault_on_servers(struct run *run, const struct server_fault *fault)
{
	for (int i = 0; i < arrlen(run->fleet.servers); i++)
		if (!run->fleet.servers[i]->is_store)
			run->fleet.servers[i]->fault = *fault;
}

static void scenario_garble(struct run *run)
{
	struct server_fault fault = { .close = 0.05, .broken = 0.05, .garbage = 0.03, .surplus = 0.1 },
			    none = { .close = 0.01 };

	run_for(run, 1000);
	run_log(run, "fault: servers break answers off, send garbage and surplus bytes");
	set_fault_on_servers(run, &fault);
	run_for(run, 6000);
	set_fault_on_servers(run, &none);
	run_for(run, 2000);
}

static void scenario_lost_answer(struct run *run)
{
	struct server_fault fault = { .close = 0.01, .lost = 0.08 }, none = { .close = 0.01 };

	run_for(run, 1000);
	run_log(run, "fault: servers run requests and lose the answers");
	set_fault_on_servers(run, &fault);
	run_for(run, 6000);
	set_fault_on_servers(run, &none);
	run_for(run, 2000);
}

static void scenario_grey(struct run *run)
{
	run_for(run, 1000);
	run_log(run, "fault: server %s fails a third of its requests, and says it is well",
		run->fleet.servers[0]->address);
	run->fleet.servers[0]->fault.grey = 0.35;
	run_for(run, 5000);
	run->fleet.servers[0]->fault.grey = 0;
	run_log(run, "fault: server %s says falsely that it is not well", run->fleet.servers[1]->address);
	run->fleet.servers[1]->fault.false_health = 1;
	run_for(run, 4000);
}

static void scenario_silent_server(struct run *run)
{
	struct server *server = run->fleet.servers[0];

	run_for(run, 1500);
	run_log(run, "fault: server %s is silent", server->address);
	server_set_silent(server, 1);
	run_for(run, 4000);
	server_set_silent(server, 0);
	run_for(run, 3000);
}

/* Servers are silent for a moment by turns, and several at once. */
static void scenario_stall(struct run *run)
{
	int n = (int)arrlen(run->fleet.servers) - 1;

	run_for(run, 1000);
	for (int i = 0; i < 12; i++) {
		int from = (int)(emulator_random(&run->rng) % (uint64_t)n),
		    many = 1 + (int)(emulator_random(&run->rng) % (uint64_t)n);

		for (int k = 0; k < many; k++)
			server_set_silent(run->fleet.servers[(from + k) % n], 1);
		run_for(run, 200 + (int64_t)(emulator_random(&run->rng) % 1800));
		for (int k = 0; k < many; k++)
			server_set_silent(run->fleet.servers[(from + k) % n], 0);
		run_for(run, (int64_t)(emulator_random(&run->rng) % 800));
	}
	run_for(run, 2000);
}

/* Edges are cut off from the core beyond their staleness bound, while servers are slow to begin and go on
 * without a caller: what was sent may run, so no answer may promise that it has not. */
static void scenario_blind(struct run *run)
{
	struct server_fault fault = { .close = 0.01, .stubborn = 1 }, none = { .close = 0.01 };
	double read = run->fleet.engine.prefill_tokens_per_ms;

	run_for(run, 2000);
	set_fault_on_servers(run, &fault);
	run->fleet.engine.prefill_tokens_per_ms = 30;
	run_log(run, "fault: the core freezes; servers are slow, and run what nobody waits for any more");
	for (int i = 0; i < run->machine_count; i++)
		if (run->machines[i].is_core)
			machine_freeze(&run->machines[i], 1);
	run_for(run, 6000);
	for (int i = 0; i < run->machine_count; i++)
		machine_freeze(&run->machines[i], 0);
	run->fleet.engine.prefill_tokens_per_ms = read;
	run_for(run, 12000);
	set_fault_on_servers(run, &none);
}

/* The whole platform stands still, and with it every server, client and list. */
static void scenario_hiccup(struct run *run)
{
	run_for(run, 1000);
	for (int i = 0; i < 8; i++) {
		usleep((useconds_t)(300 + emulator_random(&run->rng) % 1500) * 1000);
		run_for(run, 300 + (int64_t)(emulator_random(&run->rng) % 1200));
	}
	run_for(run, 2000);
}

static void scenario_stutter(struct run *run)
{
	run_for(run, 1000);
	for (int i = 0; i < 20; i++) {
		int from = (int)(emulator_random(&run->rng) % (uint64_t)run->machine_count),
		    many = 1 + (int)(emulator_random(&run->rng) % 3);

		for (int k = 0; k < many; k++)
			machine_freeze(&run->machines[(from + k) % run->machine_count], 1);
		run_for(run, 100 + (int64_t)(emulator_random(&run->rng) % 1400));
		for (int k = 0; k < many; k++)
			machine_freeze(&run->machines[(from + k) % run->machine_count], 0);
		run_for(run, (int64_t)(emulator_random(&run->rng) % 700));
	}
	run_for(run, 2000);
}

static void scenario_flap(struct run *run)
{
	run_for(run, 1000);
	for (int i = 0; i < 6; i++) {
		server_crash(run->fleet.servers[0]);
		run_for(run, 500);
		server_up(run->fleet.servers[0]);
		run_for(run, 700);
	}
	run_for(run, 2000);
}

static void scenario_events_gap(struct run *run)
{
	run_for(run, 1500);
	run_log(run, "fault: events come late, a few never come, and only a few stay");
	run->fleet.engine.event_loss_ratio = 0.05;
	run->fleet.engine.event_lag_ms = 1500;
	run->fleet.engine.event_limit = 20;
	run_for(run, 3000);
	for (int i = 0; i < arrlen(run->fleet.servers); i++)
		run->fleet.servers[i]->fault.events_lost = i % 2;
	run_for(run, 2500);
	for (int i = 0; i < arrlen(run->fleet.servers); i++)
		run->fleet.servers[i]->fault.events_lost = 0;
	run->fleet.engine.event_loss_ratio = 0;
	run->fleet.engine.event_lag_ms = 80;
	run_for(run, 2000);
}

static void scenario_store_down(struct run *run)
{
	struct server *server = arrlast(run->fleet.servers);

	run_for(run, 2000);
	run_log(run, "fault: the store is down");
	server_crash(server);
	run_for(run, 2500);
	server_up(server);
	run_log(run, "the store is back, empty");
	run_for(run, 3000);
}

static void scenario_wipe(struct run *run)
{
	struct machine *m = nth_machine(run, 1, 1);

	run_for(run, 1500);
	operator_change(run->config_operator, CHANGE_TIMEOUT, 1);
	run_wait_for(run, 4000, run_operator_idle);
	run_log(run, "fault: %s loses its disk right after an acknowledgement", m->name);
	machine_kill(m);
	while (!machine_down(m))
		run_for(run, 10);
	machine_wipe(m);
	run_for(run, 800);
	machine_start(m);
	run_for(run, run->bounds.catch_up_ms + 1000);
	operator_change(run->config_operator, CHANGE_SPLIT, 0);
	run_wait_for(run, 5000, run_operator_idle);
	run_for(run, 2000);
}

static void scenario_replace(struct run *run)
{
	struct machine *machine = nth_machine(run, 1, 0), *n;
	int zone = 0;

	run_for(run, 1500);
	while (zone < 3 && strcmp(machine->zone, run->deployment->zone[zone]))
		zone++;
	run_log(run, "fault: %s goes for good and an empty machine comes at another address", machine->name);
	machine_remove(machine);
	run_for(run, 500);
	n = machine_add(run, 1, zone);
	machine_start(n);
	run_for(run, 3000); /* SeedLagS */
	machine->is_listed = 0;
	n->is_listed = 1;
	run_for(run, run->bounds.catch_up_ms);
	operator_change(run->config_operator, CHANGE_SPLIT, 1);
	run_wait_for(run, 5000, run_operator_idle);
	run_for(run, 2000);
}

struct control_call {
	struct run *run;
	int status;
	int answered;
	char *body;
};

static void on_control_answer(void *ctx, int status, const struct http_message *message)
{
	struct control_call *c = ctx;

	c->status = status;
	c->answered = 1;
	c->body = message && message->body ? strndup(message->body, message->body_length) : NULL;
}

/* Call the product's own interface at one core machine after another, until one answers with 200. The caller
 * frees the body. */
static char *control_call(struct run *run, const char *method, const char *path, const char *body)
{
	for (int i = 0; i < 12 && !run->undecided_reason; i++) {
		struct control_call c = { run, 0, 0, NULL };

		http_call(run->loop, nth_machine(run, 1, i % machine_count_of(run, 1))->control_address,
			  method, path, body ? "Content-Type: application/json\r\n" : "", body, 6000,
			  on_control_answer, &c);
		while (!c.answered)
			run_for(run, 20);
		if (c.status == 200)
			return c.body ? c.body : strdup("");
		run_log(run, "%s %s: %d %.200s", method, path, c.status, c.body ? c.body : "");
		free(c.body);
		run_for(run, 500);
	}
	run->undecided_reason = "no core machine takes the call";
	return strdup("");
}

/* Cached context is purged on schedule and on demand, several times, while the leader is killed and an edge
 * freezes. */
static void scenario_purge(struct run *run)
{
	struct machine *machine = nth_machine(run, 1, 0);
	int64_t sent;
	char *s;

	run_for(run, 4000);
	free(control_call(
	    run, "POST", "/v1/change",
	    "{\"set\":[{\"kind\":\"retention\",\"name\":\"*\",\"every\":\"12s\",\"window\":4000}]}"));
	run_for(run, 6000);
	sent = loop_us();
	free(control_call(run, "POST", "/v1/clear", "{\"scope\":\"*\",\"by\":\"notchlug-emulator\"}"));
	run->fleet.purge_requested_at_us = sent;
	run->fleet.purge_due_at_us = loop_us() + ms_us(4000);
	run_for(run, 5000);
	if (!run->small) {
		machine_freeze(nth_machine(run, 0, 1), 1);
		machine_kill(machine);
		run_for(run, 1500);
		machine_freeze(nth_machine(run, 0, 1), 0);
		machine_start(machine);
	}
	run_for(run, 10000);
	s = control_call(run, "GET", "/v1/retention.csv", NULL);
	printf("%s", s);
	free(s);
	printf("after the clearing servers used %llu parts of before and %llu others\n",
	       (unsigned long long)run->fleet.old_blocks_used,
	       (unsigned long long)run->fleet.new_blocks_used);
}

const struct platform_scenario platform_scenarios[] = {
	{ "quiet", "no fault", scenario_quiet, NULL },
	{ "kill-edge", "edges are killed and come back", scenario_kill_edge, NULL },
	{ "kill-core", "core machines are killed one after another, under changes", scenario_kill_core,
	  NULL },
	{ "kill-all", "every process is killed at once, right after an acknowledgement", scenario_kill_all,
	  NULL },
	{ "freeze", "an edge and a core machine freeze and wake", scenario_freeze, NULL },
	{ "term-roll", "machines are stopped and started in turn", scenario_term_roll, NULL },
	{ "config", "configurations change, in whole and in part", scenario_config, NULL },
	{ "storm", "thirty changes one right after another", scenario_storm, NULL },
	{ "race", "two operators on top of the same version", scenario_race, NULL },
	{ "bad", "invalid configurations between proper ones", scenario_bad, NULL },
	{ "big", "two hundred more routes, all used", scenario_big, NULL },
	{ "revoke", "a key is taken away from clients that go on using it", scenario_revoke, NULL },
	{ "roll-out", "new weights", scenario_roll_out, NULL },
	{ "release", "servers drain, end and come back as new ones", scenario_release, NULL },
	{ "crash", "servers crash, come back, and one is lost", scenario_crash, NULL },
	{ "garble", "broken answers, garbage, bytes behind whole answers", scenario_garble, NULL },
	{ "lost-answer", "requests run, their answers never come", scenario_lost_answer, NULL },
	{ "grey", "a server fails a third of its requests; health lies", scenario_grey, NULL },
	{ "dark", "a server falls silent", scenario_silent_server, NULL },
	{ "stall", "servers stand still for moments, several at once", scenario_stall, NULL },
	{ "blind", "edges are cut off from the core while servers are slow to begin", scenario_blind, NULL },
	{ "hiccup", "the whole platform stands still for moments", scenario_hiccup, NULL },
	{ "stutter", "machines freeze for moments, several at once", scenario_stutter, NULL },
	{ "flap", "a server goes and comes", scenario_flap, NULL },
	{ "events-gap", "events of kept parts are late and lost", scenario_events_gap, NULL },
	{ "store-down", "the store goes and comes back empty", scenario_store_down, NULL },
	{ "wipe", "a core machine loses its disk after an acknowledgement", scenario_wipe, NULL },
	{ "replace", "a core machine is replaced at another address", scenario_replace, NULL },
	{ "clear", "kept context is cleared, on schedule and at once", scenario_purge, NULL },
	{ "planned", "a long day of planned work: changes, stops, reloads, releases", planned_day, NULL },
	{ "planned-core", "the whole core is stopped and started under changes", planned_core_stop, NULL },
	{ "soak", "troubles of all kinds that overlap, while weights are named in series", soak_test,
	  soak_test_prepare },
	{ "mixed-versions", "half of the machines run an older build (--old-build), under changes",
	  mixed_versions, mixed_versions_prepare },
	{ "upgrade", "all go over from an older build (--old-build), one by one, on their disks", upgrade,
	  upgrade_prepare },
	{ "cut", "skipped: the links of processes on one machine cannot be cut without tools for isolation",
	  NULL, NULL },
	{ NULL, NULL, NULL, NULL },
};
