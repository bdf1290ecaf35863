/* One run of a whole fleet of real processes on loopback addresses of its own: set up, load, scenario, check,
 * end. */
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "final_table.h"
#include "fleet_internal.h"

enum { TABLE_REQUEST_MS = 6000 };

static int all_ready(struct test_fleet *fleet)
{
	for (int i = 0; i < fleet->router_count; i++) {
		struct fleet_process *node = fleet_process_of(fleet, PROCESS_ROUTER, i);
		char *out = NULL;
		struct json_object *json, *sv;
		int standing = 0;

		if (http_call_blocking("GET", node->web_address, "/v1/state", NULL, NULL, 1000, &out) !=
		    200) {
			free(out);
			return 0;
		}
		json = json_tokener_parse(out);
		sv = json_member(json, "servers");
		for (size_t k = 0; sv && k < json_object_array_length(sv); k++)
			standing += json_object_get_boolean(
			    json_member(json_object_array_get_idx(sv, k), "standing"));
		standing =
		    standing >= fleet->server_count && json_object_get_boolean(json_member(json, "current"));
		json_object_put(json);
		free(out);
		if (!standing)
			return 0;
	}
	return 1;
}

/* The deployment's figures. */
static void set_figures(struct test_fleet *fleet)
{
	static const char *const warisan[] = { "lineage", "transcription", "spelling" };
	static const char *const rumah[] = { "arrears", "repairs", "sorting" };
	const struct run_settings *settings = fleet->settings;
	int rumah_teduh = !strcmp(settings->deployment, "rumah-teduh");

	fleet->rng = settings->seed;
	fleet->controller_count = 4;
	fleet->router_count = settings->small ? 3 : 9;
	fleet->server_count = settings->small ? 6 : 18;
	fleet->rate = (settings->small ? 20 : 60) * (rumah_teduh ? 3 : 2) / 2;
	fleet->prefill_tokens_per_ms = rumah_teduh ? 24 : 20;
	/* Warisan's links are far faster, its zones a little farther apart */
	fleet->link_bytes_per_ms = rumah_teduh ? 20000 : 200000;
	fleet->added_delay_ms = rumah_teduh ? 0 : 2;
	fleet->kv_bytes_per_token = 400;
	fleet->load_ms = 1500;
	for (int i = 0; i < 3; i++) {
		fleet->routes[i] = fleet->services[i] = (rumah_teduh ? rumah : warisan)[i];
		snprintf(fleet->weights[i], sizeof fleet->weights[i], "w1");
	}
}

static struct record *open_record(const struct test_fleet *fleet, const char *name)
{
	char path[700];

	snprintf(path, sizeof path, "%s/%s", fleet->settings->folder, name);
	return record_open(path);
}

static void start_processes(struct test_fleet *fleet)
{
	fleet_add_process(fleet, PROCESS_STORE, 0);
	for (int i = 0; i < fleet->server_count; i++)
		fleet_add_process(fleet, PROCESS_SERVER, i);
	for (int i = 0; i < fleet->controller_count; i++)
		fleet_add_process(fleet, PROCESS_CONTROLLER, i);
	for (int i = 0; i < fleet->router_count; i++)
		fleet->router_addresses[i] = fleet_add_process(fleet, PROCESS_ROUTER, i)->web_address;
	for (int i = 0; i < fleet->node_count; i++)
		fleet_start_process(fleet, &fleet->nodes[i], 0);
}

/* Bootstrap the group of controllers; 0: it does not answer within 30 s. */
static int bootstrap(struct test_fleet *fleet)
{
	const char *address = fleet_process_of(fleet, PROCESS_CONTROLLER, 0)->web_address;

	for (int round = 0; round < 300; round++) {
		if (http_call_blocking("POST", address, "/v1/found", NULL, "{}", 12000, NULL) == 200)
			return 1;
		fleet_sleep_ms(100);
	}
	fprintf(stderr, "notchlug-emulator: the fleet did not bootstrap\n");
	return 0;
}

static void set_routes(struct test_fleet *fleet)
{
	char body[4000];
	size_t length = (size_t)snprintf(body, sizeof body, "{\"set\":[");

	for (int i = 0; i < 3; i++)
		length += (size_t)snprintf(
		    body + length, sizeof body - length,
		    "%s{\"kind\":\"lane\",\"name\":\"%s\",\"service\":\"%s\",\"prio\":%d,\"limit\":200}",
		    i ? "," : "", fleet->routes[i], fleet->services[i], i == 2 ? 1 : 0);
	snprintf(body + length, sizeof body - length, "]}");
	fleet_must_change(fleet, body);
}

static void set_servers(struct test_fleet *fleet)
{
	for (int i = 0; i < fleet->server_count; i++) {
		struct fleet_process *server = fleet_process_of(fleet, PROCESS_SERVER, i);
		struct json_object *json = fleet_event("serves");

		json_object_object_add(json, "server", json_object_new_string(server->name));
		json_object_object_add(json, "service", json_object_new_string(server->service));
		record_put(fleet->record, json);
		fleet_set_server_state(fleet, server, "serving");
	}
}

/* Bring a fleet up until all routers are ready; 0: it does not come up. */
static int set_up(struct test_fleet *fleet)
{
	set_figures(fleet);
	snprintf(fleet->address_prefix, sizeof fleet->address_prefix, "127.%d.%d",
		 16 + (getpid() / 250) % 200, 1 + getpid() % 250);
	fleet->links = links_open();
	fleet->record = open_record(fleet, "platform.rec");
	fleet->probe_record = open_record(fleet, "probes.rec");
	for (int i = 0; i < 3; i++)
		snprintf(fleet->seeds[i], sizeof fleet->seeds[i], "%s.%d:7000", fleet->address_prefix, 1 + i);
	if (fleet->added_delay_ms)
		links_rule(fleet->links, "", "", 0, fleet->added_delay_ms);
	start_processes(fleet);
	if (!bootstrap(fleet))
		return 0;
	fleet_wait_leader(fleet, 0);
	for (int i = 0; i < 3; i++)
		fleet_set_target_weights(fleet, i, "w1");
	set_routes(fleet);
	for (int i = 0; i < 8; i++) {
		fleet_set_tenant(fleet, i, 0);
		fleet_set_key(fleet, i, 1);
	}
	set_servers(fleet);
	for (int round = 0; round < 900; round++) {
		if (all_ready(fleet))
			return 1;
		fleet_sleep_ms(100);
	}
	fprintf(stderr, "notchlug-emulator: the fleet does not become ready\n");
	return 0;
}

static void load_on(struct test_fleet *fleet)
{
	static char path[700];
	struct load_client_settings settings = { fleet->router_addresses,
						 fleet->router_count,
						 fleet->routes,
						 3,
						 8,
						 fleet->rate,
						 96,
						 10000,
						 400,
						 fleet->settings->seed,
						 path };

	snprintf(path, sizeof path, "%s/callers.rec", fleet->settings->folder);
	fleet->load_clients = load_clients_start(&settings);
	pthread_create(&fleet->probe_thread, NULL, fleet_probe_thread, fleet);
}

static int request_table(void *context, int controller, char **body)
{
	struct test_fleet *fleet = context;
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, controller);

	if (!node || !node->pid)
		return 0;
	return http_call_blocking("GET", node->web_address, "/v1/table", NULL, NULL, TABLE_REQUEST_MS, body);
}

static void pause_run(void *context, int64_t ms)
{
	(void)context;
	fleet_sleep_ms(ms);
}

static int64_t run_clock_ms(void *context)
{
	(void)context;
	return clock_ms();
}

/* Record the configuration that the run ends with. */
static void record_final_table(struct test_fleet *fleet)
{
	const struct final_table_calls calls = { fleet, request_table, pause_run, run_clock_ms };
	char *text = final_table_read(&calls, fleet->controller_count);
	struct json_object *table = text ? json_tokener_parse(text) : NULL;
	struct json_object *event;

	free(text);
	if (!table)
		return;
	event = fleet_event("table");
	json_object_object_add(event, "edition", json_object_new_int64(json_member_int(table, "edition")));
	json_object_object_add(event, "rows", json_object_get(json_member(table, "rows")));
	record_put(fleet->record, event);
	json_object_put(table);
}

static void load_off(struct test_fleet *fleet)
{
	load_clients_stop(fleet->load_clients);
	fleet->stop = 1;
	pthread_join(fleet->probe_thread, NULL);
	record_final_table(fleet);
}

void run_list(FILE *out)
{
	for (const struct fleet_scenario *scenario = fleet_scenarios; scenario->name; scenario++)
		fprintf(out, "  %-15s %s\n", scenario->name, scenario->what);
}

static volatile sig_atomic_t stop_up;

static void on_int(int sig)
{
	stop_up = sig;
}

static void up(struct test_fleet *fleet)
{
	signal(SIGINT, on_int);
	signal(SIGTERM, on_int);
	printf("The fleet is up. Callers call %s (keys key-0 to key-7), operators %s.\n",
	       fleet->router_addresses[0], fleet_process_of(fleet, PROCESS_CONTROLLER, 0)->web_address);
	printf("Try: notchlugctl --at %s show\nCtrl-C ends it.\n",
	       fleet_process_of(fleet, PROCESS_CONTROLLER, 0)->web_address);
	fflush(stdout);
	while (!stop_up)
		fleet_sleep_ms(100);
}

static const struct fleet_scenario *find_scenario(const char *name)
{
	for (const struct fleet_scenario *scenario = fleet_scenarios; scenario->name; scenario++)
		if (!strcmp(scenario->name, name))
			return scenario;
	return NULL;
}

/* Play a scenario under load and judge its records; 1: no rule is broken. */
static int play_and_check(struct test_fleet *fleet, const struct fleet_scenario *scenario)
{
	static const enum process_kind kinds[] = { PROCESS_ROUTER, PROCESS_CONTROLLER };
	static struct check_result result;
	const struct run_settings *settings = fleet->settings;
	int64_t cpu[2], began;
	uint64_t completed;
	int ok;

	load_on(fleet);
	fleet_sleep_ms(3000);
	for (int k = 0; k < 2; k++)
		cpu[k] = fleet_cpu_ms(fleet, kinds[k]);
	began = clock_ms();
	completed = load_clients_completed(fleet->load_clients);
	scenario->run(fleet);
	for (int k = 0; k < 2; k++)
		cpu[k] = fleet_cpu_ms(fleet, kinds[k]) - cpu[k];
	began = clock_ms() - began;
	completed = load_clients_completed(fleet->load_clients) - completed;
	fleet_sleep_ms(3000);
	load_off(fleet);
	fleet_note(fleet, "finished", NULL, NULL);
	ok = check_folder(settings->folder, settings->untimed, &result);
	printf("%s (%s, seed %llu): %s", settings->name, settings->deployment,
	       (unsigned long long)settings->seed, result.text);
	/* only without faults do the same processes live throughout */
	if (scenario == &fleet_scenarios[0] && completed)
		printf(
		    "processor time over %.1f s: routers %.2f ms a request, controllers %.2f ms a request (%llu requests)\n",
		    (double)began / 1000, (double)cpu[0] / (double)completed,
		    (double)cpu[1] / (double)completed, (unsigned long long)completed);
	return ok;
}

static int is_node(const struct fleet_process *process)
{
	return process->kind == PROCESS_CONTROLLER || process->kind == PROCESS_ROUTER;
}

/* End all processes: routers and controllers in order, within a second each; what is left, and servers, at
 * once. */
static void end_processes(struct test_fleet *fleet)
{
	for (int i = 0; i < fleet->node_count; i++)
		if (fleet->nodes[i].pid > 0 && is_node(&fleet->nodes[i]) && !fleet->nodes[i].frozen)
			kill(fleet->nodes[i].pid, SIGTERM);
	for (int i = 0; i < fleet->node_count; i++) {
		struct fleet_process *process = &fleet->nodes[i];

		for (int k = 0; k < 50 && process->pid > 0 && is_node(process); k++) {
			if (waitpid(process->pid, NULL, WNOHANG) == process->pid)
				process->pid = 0;
			else
				fleet_sleep_ms(20);
		}
		fleet_end_process(process, SIGKILL);
	}
}

int run_scenario(const struct run_settings *settings)
{
	static struct test_fleet fleet;
	const struct fleet_scenario *scenario = find_scenario(settings->name);
	int is_up = !strcmp(settings->name, "up"), ok = 0;

	if (!scenario && !is_up) {
		fprintf(stderr, "notchlug-emulator: no scenario %s; there are:\n", settings->name);
		run_list(stderr);
		return 2;
	}
	if (mkdir(settings->folder, 0700)) {
		fprintf(stderr, "notchlug-emulator: %s: %s (a run wants a folder of its own)\n",
			settings->folder, strerror(errno));
		return 2;
	}
	memset(&fleet, 0, sizeof fleet);
	fleet.settings = settings;
	if (set_up(&fleet)) {
		if (is_up)
			up(&fleet);
		ok = is_up || play_and_check(&fleet, scenario);
	}
	end_processes(&fleet);
	links_close(fleet.links);
	return ok ? 0 : 1;
}
