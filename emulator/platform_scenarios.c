/* Scenarios on the stand-in of the users' platform: rehearsal platform list | run NAME. */
#include <argtable2.h>
#include <dirent.h>
#include <errno.h>
#include <libgen.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "containers.h"
#include "platform_run.h"

/* Rules that no delay excuses. */
#define TIMELESS "TWICE", "MIXED", "ORDER", "UNASKED", "ROUTE", "STALE", "WALL", "ONE", "FAULT"

/* From the system's page: two deployments. The same weights of requests, at their rates. */
const struct sheet deployments[2] = {
	{ .name = "warisan", .host = "ficu95.example", .service = "lm-registry", .store = "clerk-desk", .model = "daka510000",
	  .zone = { "shah-alam-a", "petaling-b", "cyberjaya-c", "putrajaya-d" }, .region = "my-central", .tenants = 8,
	  .classes = {
		{ "lineage-recon", "/lohu930/", 13300, 3720, 24, 600, 400, 8000, 1, 1, 2, 1, 161, 42.9, 2, 0.6 },
		{ "cert-transcribe", "/pufi791/", 6300, 2890, 10, 500, 400, 5000, 1, 0, 1, 0, 126, 33.5, 3, 0.9 },
		{ "name-check", "/wuno96/", 350, 1110, 34, 400, 400, 10000, 1, 1, 2, 2, 264, 46.7, 1, 0.3 },
	  } },
	{ .name = "teduh", .host = "kaje80.example", .service = "lm-pool", .store = "tenant-desk", .model = "huvo110000",
	  .zone = { "petaling", "gombak", "klang", "ampang" }, .region = "klang-valley", .tenants = 8,
	  .classes = {
		{ "arrears-query", "/daka51/", 13300, 3720, 24, 400, 250, 8000, 1, 1, 2, 1, 161, 54.7, 2, 1 },
		{ "repair-check", "/ieis12/", 6300, 2890, 10, 300, 250, 4000, 1, 0, 1, 0, 126, 40.9, 3, 1.5 },
		{ "msg-sort", "/a9rg35/", 350, 1110, 34, 300, 250, 10000, 1, 1, 2, 2, 264, 58.9, 1, 0.5 },
	  } },
};

void run_log(struct run *run, const char *fmt, ...)
{
	va_list ap;

	fprintf(stderr, "notchlug-emulator: %7.3f ", (double)run_ms(run) / 1000);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
}

void run_for(struct run *run, int64_t ms)
{
	int64_t until = run_ms(run) + ms;

	while (run_ms(run) < until && !run->undecided_reason) {
		int64_t remaining_ms = until - run_ms(run);

		loop_until(run->loop, ms_us((double)(remaining_ms < 20 ? remaining_ms : 20)), NULL, NULL);
		machines_poll(run);
		if (run->traffic_started_at_ms >= 0)
			histogram_add(&run->figures.own_lag_ms, loop_max_lateness(run->loop) / 1000);
	}
}

static int run_wait_for(struct run *run, int64_t ms, int (*condition)(struct run *r))
{
	int64_t until = run_ms(run) + ms;

	while (!condition(run) && run_ms(run) < until)
		run_for(run, 20);
	return condition(run);
}

static int run_operator_idle(struct run *run)
{
	return operator_idle(run->operator);
}
static int has_read_back(struct run *run)
{
	return operator_read_done(run->operator);
}
static int clients_are_idle(struct run *run)
{
	return !clients_busy(run->clients);
}

static int is_ready_for_traffic(struct run *run)
{
	int ok = operator_acked(run->operator) > 0;

	for (int i = 0; i < run->machine_count; i++)
		ok &= run->machines[i].is_core ||
		      (run->machines[i].in_rotation && !run->machines[i].probe_failures);
	return ok;
}

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

/* ---- scenarios ---- */

static void sc_quiet(struct run *run)
{
	run_for(run, run->small ? 6000 : 20000);
}

static void sc_kill_edge(struct run *run)
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

static void sc_kill_core(struct run *run)
{
	run_for(run, 1500);
	for (int i = 0; i < (run->small ? 2 : machine_count_of(run, 1)); i++) {
		struct machine *machine = nth_machine(run, 1, i);

		run_log(run, "fault: %s is killed", machine->name);
		machine_kill(machine);
		operator_change(run->operator, CHANGE_SPLIT, 1);
		run_for(run, 1500);
		machine_start(machine);
		run_for(run, 4000);
	}
}

static void kill_everything(struct run *run, int closing)
{
	int64_t fault = run_ms(run);

	run_log(run, "fault: every process is killed");
	for (int i = 0; i < run->machine_count; i++)
		machine_kill(&run->machines[i]);
	run_for(run, 700);
	for (int i = 0; i < run->machine_count; i++)
		machine_start(&run->machines[i]);
	if (closing)
		checker_set_final_fault(run->checker, fault, run_ms(run));
}

static void sc_kill_all(struct run *run)
{
	run_for(run, 2500);
	operator_change(run->operator, CHANGE_TIMEOUT, 0);
	run_wait_for(run, 4000, run_operator_idle);
	kill_everything(run, 1);
	run_for(run, run->bounds.recovery_ms + 3000);
}

static void sc_freeze(struct run *run)
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

static void sc_term_roll(struct run *run)
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

static void sc_config(struct run *run)
{
	clients_probe(run->clients, 1);
	for (int i = 0; i < 2 * CHANGE_BIG; i++) {
		enum change what = (enum change)(i % CHANGE_BIG);

		run_for(run, 700);
		if (what != CHANGE_KEY_OFF && what != CHANGE_IDLE)
			operator_change(run->operator, what, i >= CHANGE_BIG);
	}
	run_for(run, 3000);
}

static void sc_storm(struct run *run)
{
	run_for(run, 1500);
	clients_probe(run->clients, 1);
	for (int i = 0; i < 30; i++)
		operator_change(run->operator, i % 3   ? CHANGE_TIMEOUT
					       : i % 2 ? CHANGE_ROUTE_ON
						       : CHANGE_ROUTE_OFF,
				i % 2);
	run_for(run, 6000);
}

static void sc_race(struct run *run)
{
	clients_probe(run->clients, 1);
	for (int i = 0; i < 5; i++) {
		run_for(run, 1200);
		run_wait_for(run, 4000, run_operator_idle);
		operator_race(run->operator);
	}
	run_for(run, 3000);
}

static void sc_bad(struct run *run)
{
	run_for(run, 1000);
	for (int i = 0; i < INVALID_COUNT; i++) {
		operator_invalid(run->operator,(enum invalid) i);
		run_for(run, 500);
		operator_change(run->operator, CHANGE_SPLIT, 0);
		run_wait_for(run, 4000, run_operator_idle);
	}
	run_for(run, 2500);
}

static void sc_big(struct run *run)
{
	run_for(run, 1500);
	operator_change(run->operator, CHANGE_BIG, 0);
	run_wait_for(run, 6000, run_operator_idle);
	run_for(run, run->bounds.config_apply_ms + 300);
	clients_extra(run->clients, 200);
	run_for(run, 5000);
}

static void sc_revoke(struct run *run)
{
	char key[64];

	run_for(run, 1500);
	operator_change(run->operator, CHANGE_KEY_ON, 1);
	run_wait_for(run, 5000, run_operator_idle);
	run_for(run, run->bounds.config_apply_ms + 200);
	operator_change(run->operator, CHANGE_KEY_OFF, 1);
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

static void sc_roll_out(struct run *run)
{
	run_for(run, 2000);
	operator_weights(run->operator, 2);
	if (!run_wait_for(run, run->bounds.version_ms * run->slack, is_rolled_out))
		run_log(run, "not every server has the new weights after VersionMs");
	else
		run_log(run, "all servers have the new weights");
	run_for(run, 3000);
}

static void sc_release(struct run *run)
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

static void sc_crash(struct run *run)
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

static void sc_garble(struct run *run)
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

static void sc_lost_answer(struct run *run)
{
	struct server_fault fault = { .close = 0.01, .lost = 0.08 }, none = { .close = 0.01 };

	run_for(run, 1000);
	run_log(run, "fault: servers run requests and lose the answers");
	set_fault_on_servers(run, &fault);
	run_for(run, 6000);
	set_fault_on_servers(run, &none);
	run_for(run, 2000);
}

static void sc_grey(struct run *run)
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

static void sc_silent_server(struct run *run)
{
	struct server *server = run->fleet.servers[0];

	run_for(run, 1500);
	run_log(run, "fault: server %s is silent", server->address);
	server_set_silent(server, 1);
	run_for(run, 4000);
	server_set_silent(server, 0);
	run_for(run, 3000);
}

/* Now this one, now that one stands still for a moment, and several at once. */
static void sc_stall(struct run *run)
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

/* Edges are cut off from the core for longer than they ride, while servers are slow to begin and go on
 * without a caller: what was sent may run, so nobody may promise that it has not. */
static void sc_blind(struct run *run)
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
static void sc_hiccup(struct run *run)
{
	run_for(run, 1000);
	for (int i = 0; i < 8; i++) {
		usleep((useconds_t)(300 + emulator_random(&run->rng) % 1500) * 1000);
		run_for(run, 300 + (int64_t)(emulator_random(&run->rng) % 1200));
	}
	run_for(run, 2000);
}

static void sc_stutter(struct run *run)
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

static void sc_flap(struct run *run)
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

static void sc_events_gap(struct run *run)
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

static void sc_store_down(struct run *run)
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

static void sc_wipe(struct run *run)
{
	struct machine *m = nth_machine(run, 1, 1);

	run_for(run, 1500);
	operator_change(run->operator, CHANGE_TIMEOUT, 1);
	run_wait_for(run, 4000, run_operator_idle);
	run_log(run, "fault: %s loses its disk right after an acknowledgement", m->name);
	machine_kill(m);
	while (!machine_down(m))
		run_for(run, 10);
	machine_wipe(m);
	run_for(run, 800);
	machine_start(m);
	run_for(run, run->bounds.catch_up_ms + 1000);
	operator_change(run->operator, CHANGE_SPLIT, 0);
	run_wait_for(run, 5000, run_operator_idle);
	run_for(run, 2000);
}

static void sc_replace(struct run *run)
{
	struct machine *machine = nth_machine(run, 1, 0), *n;
	int zone = 0;

	run_for(run, 1500);
	while (zone < 3 && strcmp(machine->zone, run->sheet->zone[zone]))
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
	operator_change(run->operator, CHANGE_SPLIT, 1);
	run_wait_for(run, 5000, run_operator_idle);
	run_for(run, 2000);
}

struct control_call {
	struct run *run;
	int status, answered;
	char *body;
};

static void on_control_answer(void *ctx, int status, const struct http_message *message)
{
	struct control_call *c = ctx;

	c->status = status;
	c->answered = 1;
	c->body = message && message->body ? strndup(message->body, message->body_length) : NULL;
}

/* A call of the product's own at one core machine after another, until one takes it. */
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

/* Kept context is cleared on schedule and at once, over and again, as the decider dies and an edge stands
 * still. */
static void sc_purge(struct run *run)
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

static const struct {
	const char *name, *what;
	void (*play)(struct run *r);
	void (*prepare)(struct run *r); /* before the machines are made; NULL: nothing to do */
} scenarios[] = {
	{ "quiet", "no fault", sc_quiet, NULL },
	{ "kill-edge", "edges are killed and come back", sc_kill_edge, NULL },
	{ "kill-core", "core machines are killed one after another, under changes", sc_kill_core, NULL },
	{ "kill-all", "every process is killed at once, right after an acknowledgement", sc_kill_all, NULL },
	{ "freeze", "an edge and a core machine freeze and wake", sc_freeze, NULL },
	{ "term-roll", "machines are stopped and started in turn", sc_term_roll, NULL },
	{ "config", "configurations change, in whole and in part", sc_config, NULL },
	{ "storm", "thirty changes one right after another", sc_storm, NULL },
	{ "race", "two operators on top of the same version", sc_race, NULL },
	{ "bad", "invalid configurations between proper ones", sc_bad, NULL },
	{ "big", "two hundred more routes, all used", sc_big, NULL },
	{ "revoke", "a key is taken away from clients that go on using it", sc_revoke, NULL },
	{ "roll-out", "new weights", sc_roll_out, NULL },
	{ "release", "servers drain, end and come back as new ones", sc_release, NULL },
	{ "crash", "servers crash, come back, and one is lost", sc_crash, NULL },
	{ "garble", "broken answers, garbage, bytes behind whole answers", sc_garble, NULL },
	{ "lost-answer", "requests run, their answers never come", sc_lost_answer, NULL },
	{ "grey", "a server fails a third of its requests; health lies", sc_grey, NULL },
	{ "dark", "a server falls silent", sc_silent_server, NULL },
	{ "stall", "servers stand still for moments, several at once", sc_stall, NULL },
	{ "blind", "edges are cut off from the core while servers are slow to begin", sc_blind, NULL },
	{ "hiccup", "the whole platform stands still for moments", sc_hiccup, NULL },
	{ "stutter", "machines freeze for moments, several at once", sc_stutter, NULL },
	{ "flap", "a server goes and comes", sc_flap, NULL },
	{ "events-gap", "events of kept parts are late and lost", sc_events_gap, NULL },
	{ "store-down", "the store goes and comes back empty", sc_store_down, NULL },
	{ "wipe", "a core machine loses its disk after an acknowledgement", sc_wipe, NULL },
	{ "replace", "a core machine is replaced at another address", sc_replace, NULL },
	{ "clear", "kept context is cleared, on schedule and at once", sc_purge, NULL },
	{ "planned", "a long day of planned work: changes, stops, reloads, releases", planned_day, NULL },
	{ "planned-core", "the whole core is stopped and started under changes", planned_core_stop, NULL },
	{ "soak", "troubles of all kinds that overlap, while weights are named in series", soak_test,
	  soak_test_prepare },
	{ "cut", "skipped: the links of processes on one machine cannot be cut without tools for isolation",
	  NULL, NULL },
};

/* ---- one run ---- */

static int set_up(struct run *run, const char *deployment)
{
	int cores = run->cores ? run->cores : run->small ? 3 : 4, servers = run->small ? 4 : 18;
	struct timing_bounds judged = run->bounds;
	char at[48];

	if (run->slack > 1) { /* the daemons are told the sheet's; the judge is as patient as asked, but
			       GraceS is the stand's own */
		int64_t *v[] = { &judged.ack_ms,          &judged.drain_ms,     &judged.config_apply_ms,
				 &judged.revert_slack_ms, &judged.revoke_ms,    &judged.version_ms,
				 &judged.recovery_ms,     &judged.loss_slack_ms };

		for (size_t i = 0; i < sizeof v / sizeof *v; i++)
			*v[i] *= run->slack;
	}
	if (run->impossible) { /* nobody can keep these: whoever judges must say so */
		judged.config_apply_ms = judged.revert_slack_ms = -3000;
		judged.ack_ms = judged.drain_ms = judged.revoke_ms = judged.version_ms = 0;
		judged.retry_slack = -1000000;
		judged.lease_ms = 1000000;
	}
	run->loop = loop_open();
	run->fleet.loop = run->loop;
	run->fleet.started_at_us = loop_us();
	run->checker = checker_open(&judged);
	run->fleet.checker = run->checker;
	run->fleet.engine = default_engine;
	run->fleet.engine.drain_ms = (int)run->bounds.drain_ms;
	run->fleet.rng = run->seed * 7 + 1;
	run->fleet.newest_version = 1;
	run->fleet.thaw_ms = (int)run->bounds.thaw_slack_ms;
	run->sheet = &deployments[!strcmp(deployment, "teduh")];
	if (run->sheet == &deployments[1]) {
		run->fleet.engine.kv_capacity_tokens = 319789;
		run->fleet.engine.step_ms = 3.55;
		run->fleet.engine.prefill_tokens_per_ms = 157;
		run->fleet.engine.load_ms = 1100;
	}
	run->fleet.model = run->sheet->model;
	run->rng = run->seed;
	run->traffic_started_at_ms = -1;
	snprintf(run->address_prefix, sizeof run->address_prefix, "127.%d.%d", 16 + (getpid() / 250) % 200,
		 1 + getpid() % 250);
	for (int i = 0; i < servers; i++) {
		snprintf(at, sizeof at, "%s.%d:8080", run->address_prefix, 100 + i);
		server_add(&run->fleet, at, run->sheet->zone[i % 4], run->sheet->service, 0);
	}
	snprintf(at, sizeof at, "%s.250:8680", run->address_prefix);
	server_add(&run->fleet, at, run->sheet->zone[1], run->sheet->store, 1);
	for (int i = 0; i < arrlen(run->fleet.servers); i++)
		server_up(run->fleet.servers[i]);
	snprintf(run->list_address, sizeof run->list_address, "%s.251:8688", run->address_prefix);
	if (!list_open(&run->fleet,
		       &(struct list_settings){ run->list_address, 800, 5, 47, run->verbose > 1 }))
		return 0;
	for (int i = 0; i < cores; i++)
		machine_add(run, 1, i % 4)->is_listed = 1;
	for (int i = 0; i < run->edges; i++)
		machine_add(run, 0, i % 4);
	for (int i = 0; i < run->machine_count; i++)
		machine_start(&run->machines[i]);
	run->operator= operator_open(run);
	run->clients = clients_open(run);
	operator_submit_first(run->operator);
	run_wait_for(run, 20000, is_ready_for_traffic);
	for (int i = 0; i < run->machine_count && !run->undecided_reason; i++)
		if (run->machines[i].unexpected_exits >= 3)
			run->undecided_reason =
			    "processes end by themselves at their start: do they know --platform?";
	if (!run->undecided_reason && !operator_acked(run->operator))
		run->undecided_reason = "no node took the first configuration within 20 s";
	if (!run->undecided_reason && !is_ready_for_traffic(run))
		run_log(run, "not every edge is ready 20 s after the start");
	while (run_ms(run) < run->bounds.contact_ms + 1000 && !run->undecided_reason)
		run_for(run, 20);
	run_log(run, "traffic starts");
	run->traffic_started_at_ms = run_ms(run);
	return !run->undecided_reason;
}

/* Whether this process, or one under test, was kept from a processor for longer than the run bears. */
static int is_late(const struct run *run)
{
	return histogram_quantile(&run->figures.own_lag_ms, 1) > run->max_lateness_ms * run->slack ||
	       run->max_wait_ms > run->max_lateness_ms * run->slack;
}

/* Whether a breach is among these that no delay explains. */
static int has_timeless_violation(const struct violation *violation, int n)
{
	static const char *const rules[] = { TIMELESS };

	for (int i = 0; i < n; i++)
		for (size_t k = 0; k < sizeof rules / sizeof *rules; k++)
			if (!strcmp(violation[i].rule, rules[k]))
				return 1;
	return 0;
}

int disk_explains_all(const struct disk_stall *stalls, int n, const struct violation *violation, int breaches,
		      int64_t reach)
{
	for (int i = 0; i < breaches; i++)
		if (!disk_explains(stalls, n, violation[i].at_ms, reach))
			return 0;
	return breaches > 0 && !has_timeless_violation(violation, breaches);
}

/* The gate: at most 60% of the requests are refused or fail. */
static int gate_broken(const struct run *run)
{
	int completed = 0, requests = 0;

	for (int i = 0; i < CLASS_COUNT; i++)
		completed += run->figures.completed[i], requests += run->figures.requests[i];
	if (completed && completed * 10 >= requests * 4)
		return 0;
	printf("BREACH GATE     : %d of %d requests were served\n", completed, requests);
	return 1;
}

/* A run under short bounds proves nothing if it was held up, if it never put VERSION to the test, or if too
 * little was served and nothing else is wrong: what the troubles leave to be served is not known. */
static void timed_verdict(struct run *run, int broken, int gate, const struct violation *violation, int n)
{
	int at_stake = checker_version_rule_exercised(run->checker);
	int64_t longest = run->max_lateness_ms * run->slack;

	printf(
	    "VERSION was judged on %d requests; tries over kept connections to processes told to end: %d\n",
	    at_stake, run->figures.draining_reuses);
	printf("a process under test waited for a processor at most %lld ms of a second\n",
	       (long long)run->max_wait_ms);
	if (!broken && gate)
		run->undecided_reason = "too little was served";
	else if (!broken && !at_stake)
		run->undecided_reason = "no request began when the rule VERSION could have been broken";
	printf("a small sync took at most %lld ms; %d took more than %lld ms\n", (long long)run->max_sync_ms,
	       run->stall_count, (long long)longest);
	for (int i = 0; i < run->stall_count; i++)
		printf("the disk stood still from %lld to %lld ms\n", (long long)run->stalls[i].from,
		       (long long)run->stalls[i].to);
	if (broken && !run->fleet.old_blocks_used &&
	    disk_explains_all(run->stalls, run->stall_count, violation, n,
			      run->bounds.version_ms + run->bounds.contact_ms))
		run->undecided_reason =
		    "the disk stood still before each breach: what depends on time is nobody's fault here";
	if (broken && is_late(run) && !has_timeless_violation(violation, n))
		run->undecided_reason =
		    "this process or one under test was held up: what depends on time is nobody's fault here";
}

static void start_quota_and_disk_watch(struct run *run)
{
	if (run->core_share > 0 || run->router_share > 0)
		quota_start(run);
	if (run->max_lateness_ms)
		run->disk_watch = disk_watch_open(run->folder, run->fleet.started_at_us,
						  run->max_lateness_ms * run->slack, fdatasync);
}

static void disk_watch_end(struct run *run)
{
	if (!run->disk_watch)
		return;
	run->stall_count = disk_watch_close(run->disk_watch, run->stalls, MAX_DISK_STALLS, &run->max_sync_ms);
	run->disk_watch = NULL;
}

static int platform_run_scenario(struct run *run, const char *deployment, int scenario, const char *report)
{
	const struct violation *violation = NULL;
	int n = 0, rc = 1, gate;

	if (!set_up(run, deployment))
		goto end;
	start_quota_and_disk_watch(run);
	clients_traffic(run->clients, 1);
	scenarios[scenario].play(run);
	clients_traffic(run->clients, 0);
	run_wait_for(run, 11000, clients_are_idle);
	run_wait_for(run, 6000, run_operator_idle);
	if (run->undecided_reason)
		goto end;
	operator_read_back(run->operator);
	run_wait_for(run, 6 * run->bounds.contact_ms, has_read_back);
	disk_watch_end(run);
	n = checker_run(run->checker, run_ms(run), &violation);
	report_print(run, violation, n);
	if (report && !report_write(run, report, violation, n))
		goto end;
	rc = n != 0;
	if (run->fleet.old_blocks_used) {
		printf("BREACH CLEARED  : %llu parts of before a clearing were used after it\n",
		       (unsigned long long)run->fleet.old_blocks_used);
		rc = 1;
	}
	gate = gate_broken(run);
	if (run->max_lateness_ms)
		timed_verdict(run, rc, gate, violation, n);
	rc |= gate;
end:
	if (run->undecided_reason) {
		printf("UNDECIDED: %s\n", run->undecided_reason);
		rc = 3;
	}
	if (run->clients)
		clients_close(run->clients);
	if (run->operator)
		operator_close(run->operator);
	quota_release(run);
	disk_watch_end(run);
	machines_stop(run);
	if (invariant_lines(run))
		rc = 1;
	if (run->fleet.list)
		list_close(run->fleet.list);
	servers_free(&run->fleet);
	loop_close(run->loop);
	checker_close(run->checker);
	free(run->figures.seconds);
	printf("%s %s seed %llu%s: %s; logs in %s\n", run->sheet->name, scenarios[scenario].name,
	       (unsigned long long)run->seed, run->small ? " small" : "",
	       rc == 0   ? "no rule broken"
	       : rc == 3 ? "undecided"
			 : "RULES BROKEN",
	       run->folder);
	return rc;
}

static void list_scenarios(FILE *out)
{
	for (size_t i = 0; i < sizeof scenarios / sizeof *scenarios; i++)
		fprintf(out, "  %-12s %s\n", scenarios[i].name, scenarios[i].what);
}

static int run_command(int argc, char **argv)
{
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "the scenario"),
		       *seed = arg_str0(NULL, "seed", "N", "a whole number"),
		       *dep = arg_str0(NULL, "deployment", "NAME", "warisan or teduh"),
		       *bin = arg_str0(NULL, "bin", "DIR", "where the programs are"),
		       *report = arg_str0(NULL, "report", "DIR", "tables and a picture"),
		       *folder = arg_str0(NULL, "folder", "DIR", "logs and disks; must not exist"),
		       *rate = arg_str0(NULL, "rate", "X", "traffic, as a share of the sheet's"),
		       *core_share = arg_str0(NULL, "core-share", "X",
					      "the share of a processor that each core machine has"),
		       *router_share = arg_str0(NULL, "router-share", "X", "and each edge");
	struct arg_int *length = arg_int0(NULL, "length", "S", "how long a planned day is, in seconds"),
		       *edges = arg_int0(NULL, "edges", "N", "so many edges"),
		       *slack = arg_int0(NULL, "slack", "N",
					 "bounds in ms are so many times as long: for slow machines");
	struct arg_lit *impossible = arg_lit0(
	    NULL, "impossible", "judge by bounds that nobody can keep: shows that breaches are seen");
	struct arg_lit *small = arg_lit0(NULL, "small", "3 edges, 3 core machines, 4 servers"),
		       *verbose = arg_litn("v", "verbose", 0, 3, "say more");
	struct arg_end *end = arg_end(5);
	void *t[] = { name,         seed,   dep,   bin,   report, folder,     rate,    core_share,
		      router_share, length, edges, slack, small,  impossible, verbose, end };
	struct run *r = NULL;
	char self[600], *stop = "";
	ssize_t n;
	int rc = 2, k;

	if (arg_parse(argc, argv, t)) {
		arg_print_errors(stderr, end, "notchlug-emulator platform run");
		fprintf(stderr, "The scenarios are:\n");
		list_scenarios(stderr);
		goto end;
	}
	for (k = 0; k < (int)(sizeof scenarios / sizeof *scenarios); k++)
		if (!strcmp(scenarios[k].name, name->sval[0]))
			break;
	r = calloc(1, sizeof *r);
	r->seed = seed->count ? strtoull(seed->sval[0], &stop, 10) : 1;
	if (k == (int)(sizeof scenarios / sizeof *scenarios) || *stop || !r->seed ||
	    (dep->count && strcmp(dep->sval[0], "warisan") && strcmp(dep->sval[0], "teduh"))) {
		fprintf(
		    stderr,
		    "notchlug-emulator: NAME is one of these, --seed 1 or more, --deployment warisan or teduh\n");
		list_scenarios(stderr);
		goto end;
	}
	if (!scenarios[k].play) {
		printf("%s: %s\n", scenarios[k].name, scenarios[k].what);
		rc = 0;
		goto end;
	}
	r->small = small->count;
	r->length_s = length->count ? length->ival[0] : 0;
	r->core_share = core_share->count ? atof(core_share->sval[0]) : 0;
	r->router_share = router_share->count ? atof(router_share->sval[0]) : 0;
	r->edges = edges->count ? edges->ival[0] : 0;
	r->impossible = impossible->count;
	r->verbose = verbose->count;
	r->bounds = default_timing_bounds;
	r->rate = rate->count ? atof(rate->sval[0]) : r->small ? 0.22 : 1; /* as much for each server */
	r->slack = slack->count ? slack->ival[0] : 1;
	if (scenarios[k].prepare)
		scenarios[k].prepare(r);
	if (!r->edges)
		r->edges = r->small ? 3 : 9;
	n = readlink("/proc/self/exe", self, sizeof self - 1);
	self[n > 0 ? n : 0] = 0;
	snprintf(r->program_folder, sizeof r->program_folder, "%s",
		 bin->count ? bin->sval[0] : dirname(self));
	if (folder->count)
		snprintf(r->folder, sizeof r->folder, "%s", folder->sval[0]);
	else
		snprintf(r->folder, sizeof r->folder, "/tmp/platform-%s-%llu-%d", scenarios[k].name,
			 (unsigned long long)r->seed, (int)getpid());
	if (mkdir(r->folder, 0700)) {
		fprintf(stderr, "notchlug-emulator: %s: %s\n", r->folder, strerror(errno));
		goto end;
	}
	signal(SIGPIPE, SIG_IGN);
	rc = platform_run_scenario(r, dep->count ? dep->sval[0] : "warisan", k,
				   report->count ? report->sval[0] : NULL);
end:
	free(r);
	arg_freetable(t, sizeof t / sizeof *t);
	return rc;
}

int platform_emulator_main(int argc, char **argv)
{
	if (argc >= 2 && !strcmp(argv[1], "list")) {
		list_scenarios(stdout);
		return 0;
	}
	if (argc >= 2 && !strcmp(argv[1], "run"))
		return run_command(argc - 1, argv + 1);
	fprintf(
	    stderr,
	    "Usage: notchlug-emulator platform list\n"
	    "       notchlug-emulator platform run NAME [--seed N] [--deployment warisan|teduh] [--small] [--rate X] [--slack N] [--bin DIR]\n"
	    "                              [--folder DIR] [--report DIR] [--length S] [--edges N]\n"
	    "                              [--core-share X] [--router-share X] [--impossible] [-v]\n");
	return 2;
}
