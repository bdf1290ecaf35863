/* Scenarios of the test fleet: faults under load, by name. */
#include <apr_strings.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet_internal.h"

static void scenario_steady(struct test_fleet *fleet)
{
	(void)fleet;
	fleet_sleep_ms(10000);
}

static void scenario_kill_leader(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0));

	fleet_note_fault(fleet, "the controller that owns the configuration is killed");
	fleet_end_process(node, SIGKILL);
	fleet_set_tenant(fleet, 5, 0);
	fleet_sleep_ms(8000);
	fleet_restart_process(fleet, node);
	fleet_sleep_ms(4000);
}

static void scenario_kill_publisher(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 1));

	fleet_set_tenant(fleet, 4, 1);
	fleet_note_fault(fleet, "the publisher is killed");
	fleet_end_process(node, SIGKILL);
	fleet_set_tenant(fleet, 6, 1);
	fleet_sleep_ms(8000);
	fleet_restart_process(fleet, node);
	fleet_sleep_ms(4000);
}

static void scenario_kill_many(struct test_fleet *fleet)
{
	fleet_note_fault(fleet, "all controllers and a third of the routers are killed at once");
	for (int i = 0; i < fleet->controller_count; i++)
		fleet_end_process(fleet_process_of(fleet, PROCESS_CONTROLLER, i), SIGKILL);
	for (int i = 0; i < fleet->router_count / 3; i++)
		fleet_end_process(fleet_process_of(fleet, PROCESS_ROUTER, i), SIGKILL);
	fleet_sleep_ms(1000);
	for (int i = 0; i < fleet->controller_count; i++)
		fleet_restart_process(fleet, fleet_process_of(fleet, PROCESS_CONTROLLER, i));
	for (int i = 0; i < fleet->router_count / 3; i++)
		fleet_restart_process(fleet, fleet_process_of(fleet, PROCESS_ROUTER, i));
	fleet_sleep_ms(12000);
	fleet_set_tenant(fleet, 5, 0);
	fleet_sleep_ms(2000);
}

static void scenario_freeze(struct test_fleet *fleet)
{
	struct fleet_process *r = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)),
			     *node = fleet_process_of(fleet, PROCESS_ROUTER, 0),
			     *c2 = fleet_process_of(fleet, PROCESS_ROUTER, 1);

	fleet_note_fault(fleet, "the configuration's leader and two routers freeze");
	fleet_freeze_process(r, 1);
	fleet_freeze_process(node, 1);
	fleet_freeze_process(c2, 1);
	fleet_set_tenant(fleet, 5, 1);
	fleet_set_key(fleet, 7, 0);
	fleet_sleep_ms(6000);
	fleet_freeze_process(r, 0);
	fleet_freeze_process(node, 0);
	fleet_freeze_process(c2, 0);
	fleet_sleep_ms(8000);
	fleet_set_key(fleet, 7, 1);
	fleet_sleep_ms(1000);
}

static void scenario_wipe(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)),
			     *m;
	char cmd[800];

	fleet_set_tenant(fleet, 5, 0);
	fleet_note_fault(fleet, "a controller loses power and disk; an empty machine comes at a new address");
	fleet_end_process(node, SIGKILL);
	snprintf(cmd, sizeof cmd, "%s/registrar.tdb", node->data_folder);
	unlink(cmd);
	snprintf(cmd, sizeof cmd, "%s/lock", node->data_folder);
	unlink(cmd);
	fleet_sleep_ms(1000);
	m = fleet_add_process(fleet, PROCESS_CONTROLLER, fleet->controller_count);
	fleet_start_process(fleet, m, 0);
	fleet->controller_count++;
	fleet_sleep_ms(14000);
	fleet_set_tenant(fleet, 6, 1);
	/* and then another: the group has replaced the lost one meanwhile */
	node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0));
	fleet_note_fault(fleet, "the next leader is killed too");
	fleet_end_process(node, SIGKILL);
	fleet_set_tenant(fleet, 6, 0);
	fleet_sleep_ms(12000);
}

static void scenario_cut(struct test_fleet *fleet)
{
	struct fleet_process *n = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)),
			     *node = fleet_process_of(fleet, PROCESS_ROUTER, fleet->router_count - 1);

	fleet_note_fault(fleet, "the configuration's leader and a router are cut off");
	fleet_isolate(fleet, n);
	fleet_isolate(fleet, node);
	fleet_set_tenant(fleet, 5, 1);
	fleet_set_key(fleet, 7, 0);
	fleet_sleep_ms(8000);
	fleet_join_links(fleet);
	fleet_sleep_ms(4000);
	fleet_note_fault(fleet, "what a controller says is lost, what it hears is not");
	n = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0));
	links_rule(fleet->links, n->advertised, "", 1, 0);
	fleet_set_tenant(fleet, 5, 0);
	fleet_sleep_ms(8000);
	fleet_join_links(fleet);
	fleet_sleep_ms(2000);
	fleet_note_fault(fleet, "the links slow down by 60 ms");
	links_rule(fleet->links, "", "", 0, 60);
	fleet_set_tenant(fleet, 6, 0);
	fleet_sleep_ms(6000);
	fleet_join_links(fleet);
	fleet_set_key(fleet, 7, 1);
}

static void scenario_disk_stall(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0));

	fleet_note_fault(fleet, "the leader's disk stalls for 8 s");
	fleet_slow_disk(node, 8000);
	fleet_set_tenant(fleet, 5, 1);
	fleet_sleep_ms(8000);
	if (fleet_leader_of(fleet, 0) == node->index)
		fleet_note(fleet, "missed", "what", "the leader with the stalled disk stays leader");
	unlink(node->fault_file);
	fleet_sleep_ms(3000);
	fleet_note_fault(fleet, "all disks are 150 ms slower");
	for (int i = 0; i < fleet->controller_count; i++)
		fleet_slow_disk(fleet_process_of(fleet, PROCESS_CONTROLLER, i), 150);
	fleet_set_tenant(fleet, 6, 1);
	fleet_sleep_ms(6000);
	for (int i = 0; i < fleet->controller_count; i++)
		unlink(fleet_process_of(fleet, PROCESS_CONTROLLER, i)->fault_file);
	fleet_sleep_ms(2000);
}

static void scenario_disk_full(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0));

	fleet_note_fault(fleet, "a controller's disk is full");
	fleet_end_process(node, SIGKILL);
	fleet_start_process(fleet, node, 1);
	for (int i = 0; i < 6; i++) {
		fleet_set_tenant(fleet, 5, i & 1);
		fleet_sleep_ms(1500);
	}
	fleet_require_log(fleet, node, "Step write: the disk refuses");
	fleet_note_fault(fleet, "it has room again");
	fleet_end_process(node, SIGKILL);
	fleet_restart_process(fleet, node);
	fleet_sleep_ms(6000);
}

static void scenario_isolation(struct test_fleet *fleet)
{
	fleet_sleep_ms(2000);
	for (int k = 0; k < 3; k++) {
		fleet_set_tenant(fleet, 0, 1);
		fleet_sleep_ms(4000);
		fleet_set_tenant(fleet, 0, 0);
		fleet_sleep_ms(3000);
	}
}

static void scenario_revoke(struct test_fleet *fleet)
{
	fleet_sleep_ms(2000);
	fleet_set_key(fleet, 0, 0);
	fleet_sleep_ms(7000);
	fleet_set_key(fleet, 0, 1);
	fleet_sleep_ms(2000);
}

/* All seed machines are replaced, one by one, by empty ones at other addresses; then a router starts that
 * only knows the new ones, and the leader is killed. */
static void scenario_seeds(struct test_fleet *fleet)
{
	char path[800];
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_ROUTER, 0);

	for (int i = 0; i < 3; i++) {
		struct fleet_process *n = fleet_process_of(fleet, PROCESS_CONTROLLER, i), *m;

		fleet_note_fault(fleet, "a seed machine is exchanged for an empty one at another address");
		fleet_end_process(n, SIGKILL);
		snprintf(path, sizeof path, "%s/registrar.tdb", n->data_folder);
		unlink(path);
		m = fleet_add_process(fleet, PROCESS_CONTROLLER, fleet->controller_count);
		snprintf(fleet->seeds[i], sizeof fleet->seeds[i], "%s", m->advertised);
		fleet_start_process(fleet, m, 0);
		fleet->controller_count++;
		fleet_set_tenant(fleet, 5, i & 1);
		fleet_sleep_ms(14000); /* the groups replace it: six seconds until the lost one is given up,
					  then copies */
	}
	fleet_note_fault(fleet, "a router starts that only knows the new seeds");
	fleet_end_process(node, SIGKILL);
	fleet_restart_process(fleet, node);
	fleet_set_tenant(fleet, 6, 1);
	fleet_sleep_ms(4000);
	fleet_note_fault(fleet, "and the leader is killed");
	fleet_end_process(fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)), SIGKILL);
	fleet_set_tenant(fleet, 6, 0);
	fleet_sleep_ms(8000);
}

/* A controller's file is torn while it is down: it refuses the file and says so; the file is moved away, and
 * the machine joins as a new one. */
static void scenario_torn(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0));
	char path[800], away[900];
	struct stat file_stat;
	int fd, was = 0;

	fleet_set_tenant(fleet, 5, 1);
	fleet_note_fault(fleet, "a controller loses power, and its file is torn");
	fleet_end_process(node, SIGKILL);
	snprintf(path, sizeof path, "%s/registrar.tdb", node->data_folder);
	snprintf(away, sizeof away, "%s.torn", path);
	fd = open(path, O_RDWR);
	if (fd < 0 || fstat(fd, &file_stat) || ftruncate(fd, file_stat.st_size / 3))
		fleet_note(fleet, "missed", "what", "the file could not be torn");
	if (fd >= 0)
		close(fd);
	fleet_restart_process(fleet, node);
	for (int i = 0; i < 100 && was != node->pid; i++) {
		fleet_sleep_ms(100);
		was = waitpid(node->pid, NULL, WNOHANG);
	}
	if (was != node->pid)
		fleet_note(fleet, "missed", "what", "a controller starts with a torn file");
	else
		node->pid = 0;
	fleet_require_log(fleet, node, "tep check");
	rename(path, away);
	fleet_restart_process(fleet, node);
	fleet_set_tenant(fleet, 6, 1);
	fleet_sleep_ms(14000);
	fleet_note_fault(fleet, "the leader is killed");
	fleet_end_process(fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)), SIGKILL);
	fleet_set_tenant(fleet, 6, 0);
	fleet_sleep_ms(8000);
}

/* All machines of one zone are gone at once, and stay away. */
static void scenario_zone(struct test_fleet *fleet)
{
	fleet_note_fault(fleet, "all machines of a zone are gone");
	for (int i = 0; i < fleet->node_count; i++)
		if ((fleet->nodes[i].kind == PROCESS_CONTROLLER || fleet->nodes[i].kind == PROCESS_ROUTER ||
		     fleet->nodes[i].kind == PROCESS_SERVER) &&
		    !strcmp(fleet->nodes[i].zone, "z2"))
			fleet_end_process(&fleet->nodes[i], SIGKILL);
	fleet_set_tenant(fleet, 5, 1);
	fleet_set_key(fleet, 7, 0);
	fleet_sleep_ms(14000);
	fleet_note_fault(fleet, "and then a controller elsewhere");
	fleet_end_process(fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)), SIGKILL);
	fleet_set_tenant(fleet, 5, 0);
	fleet_set_key(fleet, 7, 1);
	fleet_sleep_ms(9000);
	for (int i = 0; i < fleet->node_count; i++)
		if (!fleet->nodes[i].pid && fleet->nodes[i].kind != PROCESS_STORE)
			fleet_restart_process(fleet, &fleet->nodes[i]);
	fleet_sleep_ms(6000);
}

static void *storm_thread(void *arg)
{
	struct test_fleet *fleet = arg;
	char b[200];

	for (int i = 0; i < 100; i++) {
		snprintf(
		    b, sizeof b,
		    "{\"set\":[{\"kind\":\"share\",\"name\":\"%s/tenant-%d\",\"share\":%d,\"limit\":100}]}",
		    fleet->routes[i % 3], i % 8, 1 + i % 9);
		fleet_change(fleet, b, NULL);
	}
	return NULL;
}

static void scenario_storm(struct test_fleet *fleet)
{
	pthread_t t[4];
	int won = 0, lost = 0;

	fleet_note_fault(fleet, "a storm of configurations");
	for (int i = 0; i < 4; i++)
		pthread_create(&t[i], NULL, storm_thread, fleet);
	for (int i = 0; i < 4; i++)
		pthread_join(t[i], NULL);
	for (int i = 0; i < 5; i++) { /* two operators race from the same revision */
		int64_t e = 0;
		char b[200];
		int st;

		fleet_change(
		    fleet,
		    "{\"set\":[{\"kind\":\"tenant\",\"name\":\"tenant-7\",\"share\":2,\"limit\":400}]}", &e);
		snprintf(
		    b, sizeof b,
		    "{\"expect\":%lld,\"set\":[{\"kind\":\"tenant\",\"name\":\"tenant-7\",\"share\":3,\"limit\":400}]}",
		    (long long)e);
		st = fleet_change(fleet, b, NULL);
		won += st == 200;
		st = fleet_change(fleet, b, NULL);
		lost += st == 409;
	}
	if (won != 5 || lost != 5)
		fleet_note(fleet, "tool-failed", "what",
			   "of two operators who raced not just one was refused");
	fleet_sleep_ms(3000);
}

static void scenario_large(struct test_fleet *fleet)
{
	char *b = malloc(4 << 20);
	size_t k = (size_t)snprintf(b, 100, "{\"set\":[");

	for (int i = 0; i < 20000; i++) /* a very large configuration: 20000 tenants' rows at once */
		k += (size_t)snprintf(
		    b + k, 200, "%s{\"kind\":\"tenant\",\"name\":\"estate-%d\",\"share\":1,\"limit\":10}",
		    i ? "," : "", i);
	snprintf(b + k, 10, "]}");
	fleet_note_fault(fleet, "a very large configuration");
	fleet_must_change(fleet, b);
	free(b);
	fleet_sleep_ms(3000);
	fleet_note_fault(fleet, "and its leader is killed after it");
	fleet_end_process(fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)), SIGKILL);
	fleet_sleep_ms(12000);
	for (int i = 0; i < fleet->controller_count; i++)
		if (!fleet_process_of(fleet, PROCESS_CONTROLLER, i)->pid)
			fleet_restart_process(fleet, fleet_process_of(fleet, PROCESS_CONTROLLER, i));
	fleet_sleep_ms(3000);
}

/* The operators' tools against a fleet, by their exit codes. */
static void scenario_tools(struct test_fleet *fleet)
{
	char *at = fleet_process_of(fleet, PROCESS_CONTROLLER, 1)->web_address,
	     *router_address = fleet_process_of(fleet, PROCESS_ROUTER, 0)->web_address, sheet[700], bad[700],
	     out[700], old[700], cell[32], *text;
	struct json_object *json;

	snprintf(sheet, sizeof sheet, "%s/sheet.tsv", fleet->settings->folder);
	snprintf(old, sizeof old, "%s/old.json", fleet->settings->folder);
	snprintf(bad, sizeof bad, "%s/bad.json", fleet->settings->folder);
	snprintf(out, sizeof out, "%s/out.txt", fleet->settings->folder);
	fleet_run_tool(fleet, 0, "notchlugctl", sheet, "--at", at, "show", (char *)NULL);
	fleet_run_tool(fleet, 0, "notchlugctl", out, "--at", at, "compare", sheet, (char *)NULL);
	text = file_read(out);
	if (!text || strcmp(text, "nothing to change\n"))
		fleet_note(fleet, "tool-failed", "what",
			   "a sheet that was just shown differs from the table");
	free(text);
	fleet_run_tool(fleet, 0, "notchlug-validate", out, "--at", at, "--counter", router_address, sheet,
		       (char *)NULL);
	snprintf(cell, sizeof cell, "share=%d", 3);
	json = fleet_event("tried");
	json_object_object_add(
	    json, "change",
	    json_tokener_parse("{\"set\":[{\"kind\":\"tenant\",\"name\":\"tenant-7\",\"share\":3}]}"));
	record_put(fleet->record, json);
	fleet_run_tool(fleet, 0, "notchlugctl", out, "--at", at, "set", "tenant", "tenant-7", cell,
		       (char *)NULL);
	/* the sheet is of an earlier revision now, and differs on tenant-7 */
	fleet_run_tool(fleet, 1, "notchlug-validate", out, "--at", at, sheet, (char *)NULL);
	fleet_run_tool(fleet, 4, "notchlugctl", out, "--at", at, "apply", sheet, (char *)NULL);
	fleet_write_file(
	    old,
	    "{\"expect\":1,\"set\":[{\"kind\":\"tenant\",\"name\":\"tenant-6\",\"share\":2,\"limit\":9}]}");
	fleet_run_tool(fleet, 1, "notchlug-validate", out, "--at", at, old, (char *)NULL);
	fleet_write_file(
	    bad, "{\"set\":[{\"kind\":\"lane\",\"name\":\"new\",\"service\":\"nowhere\",\"limit\":5}]}");
	fleet_run_tool(fleet, 1, "notchlug-validate", out, "--at", at, "--json", bad, (char *)NULL);
	text = file_read(out);
	if (!text || !strstr(text, "nowhere"))
		fleet_note(fleet, "tool-failed", "what",
			   "notchlug-validate does not name the unknown service");
	free(text);
	fleet_write_file(bad, "{\"del\":[{\"kind\":\"tenant\",\"name\":\"tenant-5\"}]}");
	fleet_run_tool(fleet, 1, "notchlug-validate", out, "--at", at, bad, (char *)NULL);
	fleet_run_tool(fleet, 3, "notchlug-validate", out, "--at", "127.0.0.1:1", sheet, (char *)NULL);
	fleet_run_tool(fleet, 3, "notchlugctl", out, "--at", "127.0.0.1:1", "show", (char *)NULL);
	fleet_run_tool(fleet, 1, "notchlugctl", out, "--at", at, "set", "tenant", "tenant-7", "share=0",
		       (char *)NULL);
	fleet_run_tool(fleet, 2, "notchlugctl", out, "--at", at, "no-such-command", (char *)NULL);
	fleet_run_tool(fleet, 2, "notchlug-validate", out, "--at", at, "/nonexistent", (char *)NULL);
	fleet_run_tool(fleet, 0, "notchlugctl", out, "--at", at, "key", "add", "tenant-1", "another",
		       (char *)NULL);
	fleet_run_tool(fleet, 0, "notchlugctl", out, "--at", at, "key", "remove", "another", (char *)NULL);
	fleet_run_tool(fleet, 0, "notchlugctl", out, "--at", at, "state", (char *)NULL);
}

static struct fleet_process *any_process(struct test_fleet *fleet, enum process_kind kind, int count)
{
	return fleet_process_of(fleet, kind, (int)(core_random(&fleet->rng) % (uint64_t)count));
}

static void kill_for(struct test_fleet *fleet, struct fleet_process *process, const char *what, int64_t ms)
{
	fleet_note_fault(fleet, what);
	fleet_end_process(process, SIGKILL);
	fleet_sleep_ms(ms);
	fleet_restart_process(fleet, process);
}

static void freeze_for(struct test_fleet *fleet, struct fleet_process *process, const char *what, int64_t ms)
{
	fleet_note_fault(fleet, what);
	fleet_freeze_process(process, 1);
	fleet_sleep_ms(ms);
	fleet_freeze_process(process, 0);
}

/* One of eight faults, of processes that are drawn. */
static void any_fault(struct test_fleet *fleet)
{
	struct fleet_process *controller = any_process(fleet, PROCESS_CONTROLLER, fleet->controller_count);
	struct fleet_process *router = any_process(fleet, PROCESS_ROUTER, fleet->router_count);
	struct fleet_process *server = any_process(fleet, PROCESS_SERVER, fleet->server_count);
	int tenant = (int)(core_random(&fleet->rng) % 8);

	switch (core_random(&fleet->rng) % 8) {
	case 0:
		kill_for(fleet, controller, "a controller is killed", 3000);
		break;
	case 1:
		kill_for(fleet, router, "a router is killed", 1000);
		break;
	case 2:
		freeze_for(fleet, controller, "a controller freezes", 3000);
		break;
	case 3:
		freeze_for(fleet, router, "a router freezes", 4000);
		break;
	case 4:
		fleet_note_fault(fleet, "a controller is cut off");
		fleet_isolate(fleet, controller);
		fleet_sleep_ms(3000);
		fleet_join_links(fleet);
		break;
	case 5:
		kill_for(fleet, server, "a server is killed", 2000);
		break;
	case 6:
		fleet_note_fault(fleet, "a disk stalls");
		fleet_slow_disk(controller, 3000);
		fleet_sleep_ms(3000);
		unlink(controller->fault_file);
		break;
	default:
		fleet_set_key(fleet, tenant, 0);
		fleet_sleep_ms(1000);
		fleet_set_key(fleet, tenant, 1);
	}
}

/* Some days end with one more fault: a seeded mix, then the last. */
static void scenario_mixed(struct test_fleet *fleet)
{
	for (int k = 0; k < 8; k++) {
		int tenant, is_isolated;

		any_fault(fleet);
		is_isolated = (int)(core_random(&fleet->rng) % 2);
		tenant = (int)(core_random(&fleet->rng) % 8);
		fleet_set_tenant(fleet, tenant, is_isolated);
		fleet_sleep_ms((int64_t)(core_random(&fleet->rng) % 2000));
	}
	scenario_kill_leader(fleet);
}

const struct fleet_scenario fleet_scenarios[] = {
	{ "steady", "load without faults", scenario_steady },
	{ "kill-owner", "the configuration's leader is killed under load", scenario_kill_leader },
	{ "kill-publisher", "the purge stream's publisher is killed between two purges",
	  scenario_kill_publisher },
	{ "kill-many", "all controllers and a third of the routers are killed at once", scenario_kill_many },
	{ "freeze", "a leader and routers freeze and wake", scenario_freeze },
	{ "wipe", "a disk is lost, an empty machine comes at a new address, then one more dies",
	  scenario_wipe },
	{ "cut", "nodes cut off, one-way loss, slow links", scenario_cut },
	{ "disk-stall", "disks stall and are slow", scenario_disk_stall },
	{ "disk-full", "a disk is full", scenario_disk_full },
	{ "servers", "servers crash, are drained, and a service is replaced one by one",
	  fleet_scenario_servers },
	{ "roll-out", "new weights, deaths during the roll-out, a second one overtaking",
	  fleet_scenario_rollout },
	{ "wall", "a tenant is isolated and let back while its streams run", scenario_isolation },
	{ "revoke", "a key is removed while its clients go on", scenario_revoke },
	{ "store", "the store goes down and comes back empty; reports lost and late", fleet_scenario_store },
	{ "liars", "servers that answer with another's pieces, skip, repeat, break off or fall silent",
	  fleet_scenario_liars },
	{ "links", "links between servers slow down and hang in the middle of fetches",
	  fleet_scenario_links },
	{ "seeds", "the seed machines are exchanged one by one, then the leader dies", scenario_seeds },
	{ "torn", "a controller's file is torn; it joins anew, then the leader dies", scenario_torn },
	{ "zone", "all machines of one zone are gone at once, then one more", scenario_zone },
	{ "overload", "ten times the clients, and servers that refuse meanwhile", fleet_scenario_overload },
	{ "storm", "a storm of configurations, and racing operators", scenario_storm },
	{ "large", "a very large configuration, then its leader dies", scenario_large },
	{ "tools", "the operators' tools against a fleet", scenario_tools },
	{ "mixed", "a seeded mix, then one more fault", scenario_mixed },
	{ NULL, NULL, NULL },
};
