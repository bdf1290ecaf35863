/* Scenarios: a whole fleet of real processes on loopback addresses of its own, under load, with faults.
 * The rehearsal is the one program that starts processes; it ends only those, by their ids. */
#include <apr_strings.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "containers.h"
#include "test_fleet.h"

enum process_kind { PROCESS_CONTROLLER, PROCESS_ROUTER, PROCESS_SERVER, PROCESS_STORE };
enum { MAX_PROCESSES = 64 };

struct fleet_process {
	enum process_kind kind;
	int index, pid, frozen;
	char name[40], advertised[40], listen_address[40], web_address[40], zone[8], data_folder[700],
	    fault_file[700], service[32];
};

struct test_fleet {
	const struct run_settings *settings;
	struct fleet_process nodes[MAX_PROCESSES];
	int node_count, controller_count, router_count, server_count, stop;
	char address_prefix[20], seeds[3][40];
	struct links *links;
	struct record *record, *probe_record;
	pthread_t probe_thread;
	pthread_mutex_t mutex;
	uint64_t rng;
	const char *routes[3], *services[3];
	int rate, prefill_tokens_per_ms, link_bytes_per_ms, kv_bytes_per_token, added_delay_ms, load_ms;
	char weights[3][20];
	struct load_clients *load_clients;
	const char *router_addresses[16];
};

static void fleet_sleep_ms(int64_t ms)
{
	usleep((useconds_t)ms * 1000);
}

static struct json_object *fleet_event(const char *name)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "ev", json_object_new_string(name));
	return json;
}

static void fleet_note(struct test_fleet *fleet, const char *name, const char *key, const char *value)
{
	struct json_object *json = fleet_event(name);

	if (key)
		json_object_object_add(json, key, json_object_new_string(value));
	record_put(fleet->record, json);
}

static void fleet_note_fault(struct test_fleet *fleet, const char *what)
{
	fprintf(stderr, "notchlug-emulator: fault: %s\n", what);
	fleet_note(fleet, "fault", "what", what);
}

/* ---- processes ---- */

static void spawn(struct test_fleet *fleet, struct fleet_process *node, char **argv, int full)
{
	char log[700];
	int pid = fork(), fd;

	if (pid < 0) {
		perror("notchlug-emulator: fork");
		exit(1);
	}
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		snprintf(log, sizeof log, "%s/%s.log", fleet->settings->folder, node->name);
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, 1);
		dup2(fd, 2);
		if (full) { /* a disk that is full: nothing can be written where a transaction keeps its undo
			     */
			struct rlimit lim = { 16 << 10, 16 << 10 };

			setrlimit(RLIMIT_FSIZE, &lim);
		}
		for (int i = 3; i < 256; i++)
			close(i);
		execv(argv[0], argv);
		_exit(127);
	}
	node->pid = pid;
}

static struct fleet_process *fleet_process_of(struct test_fleet *fleet, enum process_kind kind, int i)
{
	for (int k = 0; k < fleet->node_count; k++)
		if (fleet->nodes[k].kind == kind && fleet->nodes[k].index == i)
			return &fleet->nodes[k];
	return NULL;
}

static void fleet_start_process(struct test_fleet *fleet, struct fleet_process *node, int full)
{
	char bin[800], rec[800], num[4][20];
	char *a[64];
	int k = 0;

	if (node->kind == PROCESS_SERVER || node->kind == PROCESS_STORE) {
		snprintf(bin, sizeof bin, "%s/notchlug-emulator", fleet->settings->program_folder);
		snprintf(rec, sizeof rec, "%s/server-%s.rec", fleet->settings->folder, node->name);
		snprintf(num[0], 20, "%d", fleet->prefill_tokens_per_ms);
		snprintf(num[1], 20, "%d", fleet->link_bytes_per_ms);
		snprintf(num[2], 20, "%d", fleet->kv_bytes_per_token);
		snprintf(num[3], 20, "%d", fleet->load_ms);
		a[k++] = bin;
		a[k++] = "server";
		a[k++] = "--addr";
		a[k++] = node->web_address;
		a[k++] = "--name";
		a[k++] = node->name;
		a[k++] = "--weights";
		a[k++] = "w1";
		a[k++] = "--record";
		a[k++] = rec;
		a[k++] = "--prefill";
		a[k++] = num[0];
		a[k++] = "--link";
		a[k++] = num[1];
		a[k++] = "--kv";
		a[k++] = num[2];
		a[k++] = "--load-ms";
		a[k++] = num[3];
		if (node->kind == PROCESS_STORE) {
			a[k++] = "--cap";
			a[k++] = "1000000";
		} else {
			a[k++] = "--store";
			a[k++] = fleet_process_of(fleet, PROCESS_STORE, 0)->web_address;
		}
	} else {
		snprintf(bin, sizeof bin, "%s/%s", fleet->settings->program_folder,
			 node->kind == PROCESS_CONTROLLER ? "notchlug-controller" : "notchlug-router");
		a[k++] = bin;
		a[k++] = "--listen";
		a[k++] = node->listen_address;
		a[k++] = "--advertise";
		a[k++] = node->advertised;
		a[k++] = "--web";
		a[k++] = node->web_address;
		a[k++] = "--zone";
		a[k++] = node->zone;
		for (int i = 0; i < 3; i++) {
			a[k++] = "--seed";
			a[k++] = fleet->seeds[i];
		}
		if (node->kind == PROCESS_CONTROLLER) {
			a[k++] = "--data";
			a[k++] = node->data_folder;
			a[k++] = "--fault";
			a[k++] = node->fault_file;
		}
	}
	a[k] = NULL;
	spawn(fleet, node, a, full);
	node->frozen = 0;
}

static void fleet_end_process(struct fleet_process *node, int sig)
{
	if (node->pid <= 0)
		return;
	if (node->frozen && sig != SIGKILL)
		kill(node->pid, SIGCONT);
	kill(node->pid, sig);
	waitpid(node->pid, NULL, 0);
	node->pid = 0;
	node->frozen = 0;
}

static struct fleet_process *fleet_add_process(struct test_fleet *fleet, enum process_kind kind, int i)
{
	static const char *const names[] = { "registrar", "counter", "server", "store" };
	static const int from[] = { 1, 20, 60, 59 };
	struct fleet_process *n = &fleet->nodes[fleet->node_count++];

	n->kind = kind;
	n->index = i;
	snprintf(n->name, sizeof n->name, "%s-%d", names[kind], i + 1);
	snprintf(n->advertised, sizeof n->advertised, "%s.%d:7000", fleet->address_prefix, from[kind] + i);
	snprintf(n->listen_address, sizeof n->listen_address, "%s.%d:7001", fleet->address_prefix,
		 from[kind] + i);
	snprintf(n->web_address, sizeof n->web_address, "%s.%d:8000", fleet->address_prefix, from[kind] + i);
	snprintf(n->zone, sizeof n->zone, "z%d", i % 4 + 1);
	apr_snprintf(n->data_folder, sizeof n->data_folder, "%s/%s.data", fleet->settings->folder, n->name);
	apr_snprintf(n->fault_file, sizeof n->fault_file, "%s/%s.fault", fleet->settings->folder, n->name);
	if (kind == PROCESS_SERVER)
		snprintf(n->service, sizeof n->service, "%s", fleet->services[i % 3]);
	if ((kind == PROCESS_CONTROLLER || kind == PROCESS_ROUTER) &&
	    !links_add(fleet->links, n->advertised, n->listen_address))
		exit(1);
	return n;
}

/* ---- the platform and the operators ---- */

/* Through any controller that is up; the status of the answer, and its edition noted when acknowledged. */
static int fleet_change(struct test_fleet *fleet, const char *body, int64_t *revision)
{
	int st = 0;

	for (int round = 0; round < 60; round++) { /* 12 s: a refusal for want of a leader comes at once */
		struct fleet_process *node =
		    fleet_process_of(fleet, PROCESS_CONTROLLER,
				     (int)(core_random(&fleet->rng) % (uint64_t)fleet->controller_count));
		char *out = NULL;
		struct json_object *json;

		if (!node || !node->pid || node->frozen)
			continue;
		st = http_call_blocking("POST", node->web_address, "/v1/change", NULL, body, 6000, &out);
		json = json_tokener_parse(out ? out : "");
		if (st != 400 && st != 409 && st != 503) { /* acknowledged, or its outcome is not known */
			struct json_object *r = fleet_event(st == 200 ? "ack" : "tried");

			json_object_object_add(r, "edition",
					       json_object_new_int64(json_member_int(json, "edition")));
			json_object_object_add(r, "change", json_tokener_parse(body));
			record_put(fleet->record, r);
		}
		if (st >= 400 && st != 503 && st != 504)
			fprintf(stderr, "notchlug-emulator: %d %s to %.200s\n", st, out, body);
		if (revision)
			*revision = json_member_int(json, "edition");
		json_object_put(json);
		free(out);
		if (st == 200 || st == 409 || st == 400)
			return st;
		fleet_sleep_ms(200);
	}
	return st;
}

static void fleet_must_change(struct test_fleet *fleet, const char *body)
{
	int st = fleet_change(fleet, body, NULL);

	if (st != 200) {
		fprintf(stderr, "notchlug-emulator: a change was not acknowledged (%d): %.200s\n", st, body);
		fleet_note(fleet, "unacknowledged", "body", body);
	}
}

static void fleet_set_server_state(struct test_fleet *fleet, struct fleet_process *n, const char *state)
{
	char b[400];

	if (!strcmp(state, "draining"))
		fleet_note(fleet, "drain-asked", "server", n->name);
	else
		fleet_note(fleet, "undrained", "server", n->name);
	snprintf(
	    b, sizeof b,
	    "{\"set\":[{\"kind\":\"server\",\"name\":\"%s\",\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"state\":\"%s\"}]}",
	    n->name, n->service, n->web_address, n->zone, state);
	fleet_must_change(fleet, b);
	if (!strcmp(state, "draining"))
		fleet_note(fleet, "drained", "server", n->name);
}

static void fleet_set_target_weights(struct test_fleet *fleet, int svc, const char *weights)
{
	struct json_object *json;
	char b[400];

	snprintf(fleet->weights[svc], sizeof fleet->weights[svc], "%s", weights);
	snprintf(
	    b, sizeof b,
	    "{\"set\":[{\"kind\":\"service\",\"name\":\"%s\",\"weights\":\"%s\",\"prefill\":%d,\"kv_bytes\":%d,\"link\":%d,\"store\":%d,\"addr\":\"%s\"}]}",
	    fleet->services[svc], weights, fleet->prefill_tokens_per_ms, fleet->kv_bytes_per_token,
	    fleet->link_bytes_per_ms, fleet->link_bytes_per_ms / 4,
	    fleet_process_of(fleet, PROCESS_STORE, 0)->web_address);
	fleet_must_change(fleet, b);
	json = fleet_event("named");
	json_object_object_add(json, "service", json_object_new_string(fleet->services[svc]));
	json_object_object_add(json, "weights", json_object_new_string(weights));
	record_put(fleet->record, json);
}

static void fleet_set_tenant(struct test_fleet *fleet, int i, int isolated)
{
	char b[200], name[32];
	struct json_object *json;

	snprintf(name, sizeof name, "tenant-%d", i);
	snprintf(
	    b, sizeof b,
	    "{\"set\":[{\"kind\":\"tenant\",\"name\":\"tenant-%d\",\"share\":%d,\"limit\":400,\"walled\":%s}]}",
	    i, i < 2 ? 10 : 2, isolated ? "true" : "false");
	if (isolated)
		fleet_must_change(fleet, b);
	json = fleet_event("wall"); /* walled from the acknowledgement on, open from the asking on */
	json_object_object_add(json, "tenant", json_object_new_string(name));
	json_object_object_add(json, "walled", json_object_new_int(isolated));
	record_put(fleet->record, json);
	if (!isolated)
		fleet_must_change(fleet, b);
}

static void fleet_set_key(struct test_fleet *fleet, int i, int on)
{
	char b[300], k[32], hex[65];

	snprintf(k, sizeof k, "key-%d", i);
	if (on)
		snprintf(b, sizeof b,
			 "{\"set\":[{\"kind\":\"key\",\"name\":\"%s\",\"tenant\":\"tenant-%d\"}]}",
			 digest_hex(k, hex), i);
	else
		snprintf(b, sizeof b, "{\"del\":[{\"kind\":\"key\",\"name\":\"%s\"}]}", digest_hex(k, hex));
	if (on)
		fleet_note(fleet, "key-added", "key", k);
	if (fleet_change(fleet, b, NULL) == 200 && !on)
		fleet_note(fleet, "key-removed", "key", k);
}

/* ---- probes ---- */

static void *fleet_probe_thread(void *arg)
{
	struct test_fleet *fleet = arg;

	while (!fleet->stop) {
		for (int i = 0; i < fleet->router_count && !fleet->stop; i++) {
			struct fleet_process *node = fleet_process_of(fleet, PROCESS_ROUTER, i);
			int64_t requested_at_ms = clock_ms();
			char *out = NULL;
			struct json_object *json, *r;

			if (!node->pid || node->frozen ||
			    http_call_blocking("GET", node->web_address, "/v1/state", NULL, NULL, 300,
					       &out) != 200) {
				free(out);
				continue;
			}
			json = json_tokener_parse(out);
			r = fleet_event("state");
			json_object_object_add(r, "id",
					       json_object_new_string(json_member_string(json, "id")));
			json_object_object_add(r, "web", json_object_new_string(node->web_address));
			json_object_object_add(r, "asked", json_object_new_int64(requested_at_ms));
			json_object_object_add(r, "edition",
					       json_object_new_int64(json_member_int(json, "edition")));
			json_object_object_add(r, "age_ms",
					       json_object_new_int64(json_member_int(json, "age_ms")));
			json_object_object_add(r, "horizon",
					       json_object_new_int64(json_member_int(json, "horizon")));
			record_put(fleet->probe_record, r);
			json_object_put(json);
			free(out);
		}
		fleet_sleep_ms(100);
	}
	return NULL;
}

static int fleet_leader_of(struct test_fleet *fleet, int part)
{
	for (int i = 0; i < fleet->controller_count; i++) {
		struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, i);
		struct json_object *json, *parts, *p;
		char *out = NULL;
		int yes = 0;

		if (!node || !node->pid || node->frozen ||
		    http_call_blocking("GET", node->web_address, "/v1/state", NULL, NULL, 500, &out) != 200) {
			free(out);
			continue;
		}
		json = json_tokener_parse(out);
		parts = json_member(json, "parts");
		p = parts ? json_object_array_get_idx(parts, (size_t)part) : NULL;
		yes = p && json_object_get_boolean(json_member(p, "licensed"));
		json_object_put(json);
		free(out);
		if (yes)
			return i;
	}
	return -1;
}

static int fleet_wait_leader(struct test_fleet *fleet, int part)
{
	for (int k = 0; k < 300; k++) {
		int o = fleet_leader_of(fleet, part);

		if (o >= 0)
			return o;
		fleet_sleep_ms(50);
	}
	fprintf(stderr, "notchlug-emulator: part %d finds no owner\n", part);
	return 0;
}

/* Processor time so far of all counters and controllers that live, in ms. */
static int64_t fleet_cpu_ms(struct test_fleet *fleet, enum process_kind kind)
{
	int64_t sum = 0;

	for (int i = 0; i < fleet->node_count; i++) {
		char path[64], line[1024], *p;
		unsigned long long u = 0, s = 0;
		FILE *file;

		if (fleet->nodes[i].kind != kind || fleet->nodes[i].pid <= 0)
			continue;
		snprintf(path, sizeof path, "/proc/%d/stat", fleet->nodes[i].pid);
		file = fopen(path, "r");
		if (file && fgets(line, sizeof line, file) && (p = strrchr(line, ')')) &&
		    sscanf(p + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %llu %llu", &u, &s) == 2)
			sum += (int64_t)(u + s) * 1000 / sysconf(_SC_CLK_TCK);
		if (file)
			fclose(file);
	}
	return sum;
}

/* ---- setting up ---- */

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

static int set_up(struct test_fleet *fleet)
{
	static const char *const warisan[] = { "lineage", "transcription", "spelling" };
	static const char *const rumah[] = { "arrears", "repairs", "sorting" };
	const struct run_settings *settings = fleet->settings;
	int rumah_teduh = !strcmp(settings->deployment, "rumah-teduh"), st = 0;
	char path[700], b[4000];
	size_t k;

	fleet->rng = settings->seed;
	fleet->controller_count = 4;
	fleet->router_count = settings->small ? 3 : 9;
	fleet->server_count = settings->small ? 6 : 18;
	fleet->rate = (settings->small ? 20 : 60) * (rumah_teduh ? 3 : 2) / 2;
	fleet->prefill_tokens_per_ms = rumah_teduh ? 24 : 20;
	fleet->link_bytes_per_ms =
	    rumah_teduh ? 20000
			: 200000; /* Warisan's links are far faster, its zones a little farther apart */
	fleet->added_delay_ms = rumah_teduh ? 0 : 2;
	fleet->kv_bytes_per_token = 400;
	fleet->load_ms = 1500;
	for (int i = 0; i < 3; i++) {
		fleet->routes[i] = fleet->services[i] = (rumah_teduh ? rumah : warisan)[i];
		snprintf(fleet->weights[i], sizeof fleet->weights[i], "w1");
	}
	snprintf(fleet->address_prefix, sizeof fleet->address_prefix, "127.%d.%d",
		 16 + (getpid() / 250) % 200, 1 + getpid() % 250);
	fleet->links = links_open();
	snprintf(path, sizeof path, "%s/platform.rec", settings->folder);
	fleet->record = record_open(path);
	snprintf(path, sizeof path, "%s/probes.rec", settings->folder);
	fleet->probe_record = record_open(path);
	for (int i = 0; i < 3; i++)
		snprintf(fleet->seeds[i], sizeof fleet->seeds[i], "%s.%d:7000", fleet->address_prefix, 1 + i);
	if (fleet->added_delay_ms)
		links_rule(fleet->links, "", "", 0, fleet->added_delay_ms);
	fleet_add_process(fleet, PROCESS_STORE, 0);
	for (int i = 0; i < fleet->server_count; i++)
		fleet_add_process(fleet, PROCESS_SERVER, i);
	for (int i = 0; i < fleet->controller_count; i++)
		fleet_add_process(fleet, PROCESS_CONTROLLER, i);
	for (int i = 0; i < fleet->router_count; i++)
		fleet->router_addresses[i] = fleet_add_process(fleet, PROCESS_ROUTER, i)->web_address;
	for (int i = 0; i < fleet->node_count; i++)
		fleet_start_process(fleet, &fleet->nodes[i], 0);
	for (int round = 0; round < 300 && st != 200; round++) {
		st = http_call_blocking("POST", fleet_process_of(fleet, PROCESS_CONTROLLER, 0)->web_address,
					"/v1/found", NULL, "{}", 12000, NULL);
		if (st != 200)
			fleet_sleep_ms(100);
	}
	if (st != 200) {
		fprintf(stderr, "notchlug-emulator: the fleet was not founded\n");
		return 0;
	}
	fleet_wait_leader(fleet, 0);
	for (int i = 0; i < 3; i++)
		fleet_set_target_weights(fleet, i, "w1");
	k = (size_t)snprintf(b, sizeof b, "{\"set\":[");
	for (int i = 0; i < 3; i++)
		k += (size_t)snprintf(
		    b + k, sizeof b - k,
		    "%s{\"kind\":\"lane\",\"name\":\"%s\",\"service\":\"%s\",\"prio\":%d,\"limit\":200}",
		    i ? "," : "", fleet->routes[i], fleet->services[i], i == 2 ? 1 : 0);
	snprintf(b + k, sizeof b - k, "]}");
	fleet_must_change(fleet, b);
	for (int i = 0; i < 8; i++) {
		fleet_set_tenant(fleet, i, 0);
		fleet_set_key(fleet, i, 1);
	}
	for (int i = 0; i < fleet->server_count; i++) {
		struct json_object *json = fleet_event("serves");

		json_object_object_add(
		    json, "server", json_object_new_string(fleet_process_of(fleet, PROCESS_SERVER, i)->name));
		json_object_object_add(
		    json, "service",
		    json_object_new_string(fleet_process_of(fleet, PROCESS_SERVER, i)->service));
		record_put(fleet->record, json);
		fleet_set_server_state(fleet, fleet_process_of(fleet, PROCESS_SERVER, i), "serving");
	}
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
	struct load_client_settings callers_set = { fleet->router_addresses,
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
	fleet->load_clients = load_clients_start(&callers_set);
	pthread_create(&fleet->probe_thread, NULL, fleet_probe_thread, fleet);
}

static void load_off(struct test_fleet *fleet)
{
	struct json_object *r;
	char *out = NULL;
	int st = 0;

	load_clients_stop(fleet->load_clients);
	fleet->stop = 1;
	pthread_join(fleet->probe_thread, NULL);
	for (int i = 0; i < fleet->controller_count * 5 && st != 200; i++) {
		struct fleet_process *node =
		    fleet_process_of(fleet, PROCESS_CONTROLLER, i % fleet->controller_count);

		free(out);
		out = NULL;
		st = node && node->pid
			 ? http_call_blocking("GET", node->web_address, "/v1/table", NULL, NULL, 6000, &out)
			 : 0;
	}
	if (st == 200) {
		struct json_object *json = json_tokener_parse(out);

		r = fleet_event("table");
		json_object_object_add(r, "edition", json_object_new_int64(json_member_int(json, "edition")));
		json_object_object_add(r, "rows", json_object_get(json_member(json, "rows")));
		record_put(fleet->record, r);
		json_object_put(json);
	}
	free(out);
}

/* ---- faults ---- */

static void fleet_restart_process(struct test_fleet *fleet, struct fleet_process *n)
{
	fleet_start_process(fleet, n, 0);
}

static void fleet_freeze_process(struct fleet_process *node, int on)
{
	node->frozen = on;
	kill(node->pid, on ? SIGSTOP : SIGCONT);
}

static void fleet_slow_disk(struct fleet_process *node, int ms)
{
	FILE *out = fopen(node->fault_file, "w");

	if (out) {
		fprintf(out, "%d\n", ms);
		fclose(out);
	}
}

/* A fault that did not bite proves nothing: the run is then undecided. */
static void fleet_require_log(struct test_fleet *fleet, struct fleet_process *node, const char *message)
{
	char path[800], *text;

	snprintf(path, sizeof path, "%s/%s.log", fleet->settings->folder, node->name);
	text = file_read(path);
	if (!text || !strstr(text, message))
		fleet_note(fleet, "missed", "what", message);
	free(text);
}

static void fleet_isolate(struct test_fleet *fleet, struct fleet_process *n)
{
	links_rule(fleet->links, n->advertised, "", 1, 0);
	links_rule(fleet->links, "", n->advertised, 1, 0);
}

static void fleet_join_links(struct test_fleet *fleet)
{
	links_clear(fleet->links);
	if (fleet->added_delay_ms)
		links_rule(fleet->links, "", "", 0, fleet->added_delay_ms);
}

static void sc_steady(struct test_fleet *fleet)
{
	(void)fleet;
	fleet_sleep_ms(10000);
}

static void sc_kill_leader(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0));

	fleet_note_fault(fleet, "the registrar that owns the configuration is killed");
	fleet_end_process(node, SIGKILL);
	fleet_set_tenant(fleet, 5, 0);
	fleet_sleep_ms(8000);
	fleet_restart_process(fleet, node);
	fleet_sleep_ms(4000);
}

static void sc_kill_publisher(struct test_fleet *fleet)
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

static void sc_kill_many(struct test_fleet *fleet)
{
	fleet_note_fault(fleet, "all registrars and a third of the counters are killed at once");
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

static void sc_freeze(struct test_fleet *fleet)
{
	struct fleet_process *r = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)),
			     *node = fleet_process_of(fleet, PROCESS_ROUTER, 0),
			     *c2 = fleet_process_of(fleet, PROCESS_ROUTER, 1);

	fleet_note_fault(fleet, "the configuration's owner and two counters freeze");
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

static void sc_wipe(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)),
			     *m;
	char cmd[800];

	fleet_set_tenant(fleet, 5, 0);
	fleet_note_fault(fleet, "a registrar loses power and disk; an empty machine comes at a new address");
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
	/* and then another: the group has mended itself meanwhile */
	node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0));
	fleet_note_fault(fleet, "the next owner is killed too");
	fleet_end_process(node, SIGKILL);
	fleet_set_tenant(fleet, 6, 0);
	fleet_sleep_ms(12000);
}

static void sc_cut(struct test_fleet *fleet)
{
	struct fleet_process *n = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)),
			     *node = fleet_process_of(fleet, PROCESS_ROUTER, fleet->router_count - 1);

	fleet_note_fault(fleet, "the configuration's owner and a counter are cut off");
	fleet_isolate(fleet, n);
	fleet_isolate(fleet, node);
	fleet_set_tenant(fleet, 5, 1);
	fleet_set_key(fleet, 7, 0);
	fleet_sleep_ms(8000);
	fleet_join_links(fleet);
	fleet_sleep_ms(4000);
	fleet_note_fault(fleet, "what a registrar says is lost, what it hears is not");
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

static void sc_disk_stall(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0));

	fleet_note_fault(fleet, "the owner's disk stalls for 8 s");
	fleet_slow_disk(node, 8000);
	fleet_set_tenant(fleet, 5, 1);
	fleet_sleep_ms(8000);
	if (fleet_leader_of(fleet, 0) == node->index)
		fleet_note(fleet, "missed", "what", "the owner with the stalled disk stays owner");
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

static void sc_disk_full(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0));

	fleet_note_fault(fleet, "a registrar's disk is full");
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

static void sc_servers(struct test_fleet *fleet)
{
	struct fleet_process *n = fleet_process_of(fleet, PROCESS_SERVER, 0),
			     *node = fleet_process_of(fleet, PROCESS_SERVER, 1);

	fleet_note_fault(fleet, "a server is killed, one is drained");
	fleet_end_process(n, SIGKILL);
	fleet_set_server_state(fleet, node, "draining");
	fleet_sleep_ms(6000);
	fleet_restart_process(fleet, n);
	fleet_sleep_ms(3000);
	fleet_set_server_state(fleet, node, "serving");
	fleet_sleep_ms(3000);
	fleet_note_fault(fleet, "a whole service is replaced one by one");
	for (int i = 0; i < fleet->server_count; i += 3) {
		n = fleet_process_of(fleet, PROCESS_SERVER, i);
		fleet_set_server_state(fleet, n, "draining");
		fleet_sleep_ms(3500);
		fleet_end_process(n, SIGTERM);
		fleet_restart_process(fleet, n);
		fleet_set_server_state(fleet, n, "serving");
		fleet_sleep_ms(1000);
	}
	fleet_sleep_ms(3000);
}

static void sc_rollout(struct test_fleet *fleet)
{
	fleet_set_target_weights(fleet, 0, "w2");
	fleet_sleep_ms(3000);
	fleet_note_fault(fleet, "a server dies during the roll-out, and the giver of its service too");
	fleet_end_process(fleet_process_of(fleet, PROCESS_SERVER, 3), SIGKILL);
	fleet_end_process(fleet_process_of(fleet, PROCESS_CONTROLLER,
					   fleet_wait_leader(fleet, (int)core_shard_of(fleet->services[0],
										       SHARD_SERVICES))),
			  SIGKILL);
	fleet_sleep_ms(4000);
	fleet_restart_process(
	    fleet, fleet_process_of(fleet, PROCESS_SERVER, 3)); /* comes back with the old weights */
	fleet_sleep_ms(23000);
	fleet_set_target_weights(fleet, 0, "w3"); /* a second one overtakes */
	fleet_sleep_ms(1000);
	fleet_set_target_weights(fleet, 0, "w4");
	fleet_sleep_ms(26000);
	for (int i = 0; i < fleet->controller_count; i++)
		if (!fleet_process_of(fleet, PROCESS_CONTROLLER, i)->pid)
			fleet_restart_process(fleet, fleet_process_of(fleet, PROCESS_CONTROLLER, i));
	fleet_sleep_ms(1000);
}

static void sc_isolation(struct test_fleet *fleet)
{
	fleet_sleep_ms(2000);
	for (int k = 0; k < 3; k++) {
		fleet_set_tenant(fleet, 0, 1);
		fleet_sleep_ms(4000);
		fleet_set_tenant(fleet, 0, 0);
		fleet_sleep_ms(3000);
	}
}

static void sc_revoke(struct test_fleet *fleet)
{
	fleet_sleep_ms(2000);
	fleet_set_key(fleet, 0, 0);
	fleet_sleep_ms(7000);
	fleet_set_key(fleet, 0, 1);
	fleet_sleep_ms(2000);
}

static void fleet_server_fault(struct test_fleet *fleet, int i, const char *what)
{
	http_call_blocking("POST", fleet_process_of(fleet, PROCESS_SERVER, i)->web_address, "/fault", NULL,
			   what, 1000, NULL);
}

static void sc_store(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_STORE, 0);

	fleet_note_fault(fleet, "the store goes down, and comes back empty");
	fleet_end_process(node, SIGKILL);
	fleet_sleep_ms(5000);
	fleet_restart_process(fleet, node);
	fleet_sleep_ms(5000);
	fleet_note_fault(fleet, "reports are lost and late");
	fleet_server_fault(fleet, 0, "{\"drop_reports\":1}");
	fleet_server_fault(fleet, 1, "{\"late_reports\":700}");
	fleet_set_tenant(fleet, 0, 1);
	fleet_sleep_ms(5000);
	fleet_server_fault(fleet, 0, "{}");
	fleet_server_fault(fleet, 1, "{}");
	fleet_sleep_ms(3000);
}

/* Servers whose answers are not their own, or not whole: two of them, one kind of lie after the other. */
static void sc_liars(struct test_fleet *fleet)
{
	char b[40];

	for (int lie = 1; lie <= 5; lie++) {
		fleet_note_fault(fleet, lie == 1   ? "servers answer with another's mark"
					: lie == 2 ? "servers leave pieces out"
					: lie == 3 ? "servers break off"
					: lie == 4 ? "servers repeat pieces"
						   : "servers fall silent in the middle");
		snprintf(b, sizeof b, "{\"liar\":%d}", lie);
		fleet_server_fault(fleet, 0, b);
		fleet_server_fault(fleet, 4, b);
		fleet_sleep_ms(2500);
		fleet_server_fault(fleet, 0, "{}");
		fleet_server_fault(fleet, 4, "{}");
		fleet_sleep_ms(500);
	}
	fleet_sleep_ms(2000);
}

/* Links between servers: two hundred times slower, then hanging in the middle of fetches; walls go up
 * meanwhile. */
static void sc_links(struct test_fleet *fleet)
{
	static const char *const what[] = { "{\"slow_link\":200}", "{\"hang_fetch\":5000}" };

	for (int k = 0; k < 2; k++) {
		fleet_note_fault(fleet, k ? "fetches hang" : "links between servers are slow");
		for (int i = 0; i < fleet->server_count; i++)
			fleet_server_fault(fleet, i, what[k]);
		fleet_sleep_ms(3000);
		fleet_set_tenant(fleet, 1, !k);
		fleet_sleep_ms(4000);
		for (int i = 0; i < fleet->server_count; i++)
			fleet_server_fault(fleet, i, "{}");
		fleet_sleep_ms(3000);
	}
}

/* All seed machines are exchanged, one by one, for empty ones at other addresses; then a counter starts that
 * only knows new ones, and the owner dies. */
static void sc_seeds(struct test_fleet *fleet)
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
		fleet_sleep_ms(14000); /* the groups mend themselves: six seconds until the dead one is given
				    up, then copies */
	}
	fleet_note_fault(fleet, "a counter starts that only knows the new seeds");
	fleet_end_process(node, SIGKILL);
	fleet_restart_process(fleet, node);
	fleet_set_tenant(fleet, 6, 1);
	fleet_sleep_ms(4000);
	fleet_note_fault(fleet, "and the owner is killed");
	fleet_end_process(fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)), SIGKILL);
	fleet_set_tenant(fleet, 6, 0);
	fleet_sleep_ms(8000);
}

/* A controller's file is torn while it is down: it is refused with a word, moved away, and the machine joins
 * as a new one. */
static void sc_torn(struct test_fleet *fleet)
{
	struct fleet_process *node = fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0));
	char path[800], away[900];
	struct stat file_stat;
	int fd, was = 0;

	fleet_set_tenant(fleet, 5, 1);
	fleet_note_fault(fleet, "a registrar loses power, and its file is torn");
	fleet_end_process(node, SIGKILL);
	snprintf(path, sizeof path, "%s/registrar.tdb", node->data_folder);
	snprintf(away, sizeof away, "%s.torn", path);
	fd = open(path, O_RDWR);
	if (fd < 0 || fstat(fd, &file_stat) || ftruncate(fd, file_stat.st_size / 3))
		fleet_note(fleet, "missed", "what", "the file could not be torn");
	close(fd);
	fleet_restart_process(fleet, node);
	for (int i = 0; i < 100 && was != node->pid; i++) {
		fleet_sleep_ms(100);
		was = waitpid(node->pid, NULL, WNOHANG);
	}
	if (was != node->pid)
		fleet_note(fleet, "missed", "what", "a registrar starts with a torn file");
	else
		node->pid = 0;
	fleet_require_log(fleet, node, "tep check");
	rename(path, away);
	fleet_restart_process(fleet, node);
	fleet_set_tenant(fleet, 6, 1);
	fleet_sleep_ms(14000);
	fleet_note_fault(fleet, "the owner is killed");
	fleet_end_process(fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)), SIGKILL);
	fleet_set_tenant(fleet, 6, 0);
	fleet_sleep_ms(8000);
}

/* All that stands in one zone is gone at once, and stays away. */
static void sc_zone(struct test_fleet *fleet)
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
	fleet_note_fault(fleet, "and then a registrar elsewhere");
	fleet_end_process(fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)), SIGKILL);
	fleet_set_tenant(fleet, 5, 0);
	fleet_set_key(fleet, 7, 1);
	fleet_sleep_ms(9000);
	for (int i = 0; i < fleet->node_count; i++)
		if (!fleet->nodes[i].pid && fleet->nodes[i].kind != PROCESS_STORE)
			fleet_restart_process(fleet, &fleet->nodes[i]);
	fleet_sleep_ms(6000);
}

/* Ten times the callers for a while, and servers that refuse in the middle of it. */
static void sc_overload(struct test_fleet *fleet)
{
	char path[700];
	struct load_client_settings callers_set = { fleet->router_addresses,
						    fleet->router_count,
						    fleet->routes,
						    3,
						    8,
						    fleet->rate * 10,
						    256,
						    3000,
						    400,
						    fleet->settings->seed + 1000,
						    path };
	struct load_clients *more;

	snprintf(path, sizeof path, "%s/more.rec", fleet->settings->folder);
	more = load_clients_start(&callers_set);
	fleet_sleep_ms(5000);
	fleet_note_fault(fleet, "a third of the servers refuse under overload");
	for (int i = 0; i < fleet->server_count; i += 3)
		fleet_server_fault(fleet, i, "{\"refuse\":1}");
	fleet_sleep_ms(4000);
	for (int i = 0; i < fleet->server_count; i += 3)
		fleet_server_fault(fleet, i, "{}");
	load_clients_stop(more);
	fleet_sleep_ms(2000);
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

static void sc_storm(struct test_fleet *fleet)
{
	pthread_t t[4];
	int won = 0, lost = 0;

	fleet_note_fault(fleet, "a storm of configurations");
	for (int i = 0; i < 4; i++)
		pthread_create(&t[i], NULL, storm_thread, fleet);
	for (int i = 0; i < 4; i++)
		pthread_join(t[i], NULL);
	for (int i = 0; i < 5; i++) { /* two operators race from the same edition */
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

static void sc_large(struct test_fleet *fleet)
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
	fleet_note_fault(fleet, "and its owner is killed after it");
	fleet_end_process(fleet_process_of(fleet, PROCESS_CONTROLLER, fleet_wait_leader(fleet, 0)), SIGKILL);
	fleet_sleep_ms(12000);
	for (int i = 0; i < fleet->controller_count; i++)
		if (!fleet_process_of(fleet, PROCESS_CONTROLLER, i)->pid)
			fleet_restart_process(fleet, fleet_process_of(fleet, PROCESS_CONTROLLER, i));
	fleet_sleep_ms(3000);
}

/* One call of an operators' tool; its end must be as expected. */
static void fleet_run_tool(struct test_fleet *fleet, int expected_code, const char *name, const char *out,
			   ...)
{
	char *a[16] = { 0 }, bin[800], what[200];
	int k = 1, st = 0, pid;
	va_list ap;

	snprintf(bin, sizeof bin, "%s/%s", fleet->settings->program_folder, name);
	a[0] = bin;
	va_start(ap, out);
	while (k < 15 && (a[k] = va_arg(ap, char *)))
		k++;
	va_end(ap);
	pid = fork();
	if (pid == 0) {
		int fd = open(out, O_WRONLY | O_CREAT | O_TRUNC, 0600);

		dup2(fd, 1);
		dup2(fd, 2);
		for (int i = 3; i < 256; i++)
			close(i);
		execv(bin, a);
		_exit(127);
	}
	waitpid(pid, &st, 0);
	if (!WIFEXITED(st) || WEXITSTATUS(st) != expected_code) {
		snprintf(what, sizeof what, "%s %s %s ended with %d, not %d", name, a[3] ? a[3] : "",
			 a[4] ? a[4] : "", WIFEXITED(st) ? WEXITSTATUS(st) : -1, expected_code);
		fleet_note(fleet, "tool-failed", "what", what);
	}
}

static void fleet_write_file(const char *path, const char *text)
{
	FILE *out = fopen(path, "w");

	if (out) {
		fputs(text, out);
		fclose(out);
	}
}

/* The operators' tools against a fleet: what they say by their ends. */
static void sc_tools(struct test_fleet *fleet)
{
	char *at = fleet_process_of(fleet, PROCESS_CONTROLLER, 1)->web_address,
	     *router_address = fleet_process_of(fleet, PROCESS_ROUTER, 0)->web_address, sheet[700], bad[700],
	     out[700], old[700], cell[32], *text;
	struct json_object *json;

	snprintf(sheet, sizeof sheet, "%s/sheet.tsv", fleet->settings->folder);
	snprintf(old, sizeof old, "%s/old.json", fleet->settings->folder);
	snprintf(bad, sizeof bad, "%s/bad.json", fleet->settings->folder);
	snprintf(out, sizeof out, "%s/out.txt", fleet->settings->folder);
	fleet_run_tool(fleet, 0, "notchlugctl", sheet, "--at", at, "show", NULL);
	fleet_run_tool(fleet, 0, "notchlugctl", out, "--at", at, "compare", sheet, NULL);
	text = file_read(out);
	if (!text || strcmp(text, "nothing to change\n"))
		fleet_note(fleet, "tool-failed", "what",
			   "a sheet that was just shown differs from the table");
	free(text);
	fleet_run_tool(fleet, 0, "notchlug-validate", out, "--at", at, "--counter", router_address, sheet,
		       NULL);
	snprintf(cell, sizeof cell, "share=%d", 3);
	json = fleet_event("tried");
	json_object_object_add(
	    json, "change",
	    json_tokener_parse("{\"set\":[{\"kind\":\"tenant\",\"name\":\"tenant-7\",\"share\":3}]}"));
	record_put(fleet->record, json);
	fleet_run_tool(fleet, 0, "notchlugctl", out, "--at", at, "set", "tenant", "tenant-7", cell, NULL);
	/* the sheet is of an earlier edition now, and says otherwise of tenant-7 */
	fleet_run_tool(fleet, 1, "notchlug-validate", out, "--at", at, sheet, NULL);
	fleet_run_tool(fleet, 4, "notchlugctl", out, "--at", at, "apply", sheet, NULL);
	fleet_write_file(
	    old,
	    "{\"expect\":1,\"set\":[{\"kind\":\"tenant\",\"name\":\"tenant-6\",\"share\":2,\"limit\":9}]}");
	fleet_run_tool(fleet, 1, "notchlug-validate", out, "--at", at, old, NULL);
	fleet_write_file(
	    bad, "{\"set\":[{\"kind\":\"lane\",\"name\":\"new\",\"service\":\"nowhere\",\"limit\":5}]}");
	fleet_run_tool(fleet, 1, "notchlug-validate", out, "--at", at, "--json", bad, NULL);
	text = file_read(out);
	if (!text || !strstr(text, "nowhere"))
		fleet_note(fleet, "tool-failed", "what", "examiner does not name the unknown service");
	free(text);
	fleet_write_file(bad, "{\"del\":[{\"kind\":\"tenant\",\"name\":\"tenant-5\"}]}");
	fleet_run_tool(fleet, 1, "notchlug-validate", out, "--at", at, bad, NULL);
	fleet_run_tool(fleet, 3, "notchlug-validate", out, "--at", "127.0.0.1:1", sheet, NULL);
	fleet_run_tool(fleet, 3, "notchlugctl", out, "--at", "127.0.0.1:1", "show", NULL);
	fleet_run_tool(fleet, 1, "notchlugctl", out, "--at", at, "set", "tenant", "tenant-7", "share=0",
		       NULL);
	fleet_run_tool(fleet, 2, "notchlugctl", out, "--at", at, "no-such-command", NULL);
	fleet_run_tool(fleet, 2, "notchlug-validate", out, "--at", at, "/nonexistent", NULL);
	fleet_run_tool(fleet, 0, "notchlugctl", out, "--at", at, "key", "add", "tenant-1", "another", NULL);
	fleet_run_tool(fleet, 0, "notchlugctl", out, "--at", at, "key", "remove", "another", NULL);
	fleet_run_tool(fleet, 0, "notchlugctl", out, "--at", at, "state", NULL);
}

/* Some days end with one more fault: a seeded mix, then the last. */
static void sc_mixed(struct test_fleet *fleet)
{
	for (int k = 0; k < 8; k++) {
		struct fleet_process *r =
		    fleet_process_of(fleet, PROCESS_CONTROLLER,
				     (int)(core_random(&fleet->rng) % (uint64_t)fleet->controller_count));
		struct fleet_process *node = fleet_process_of(
		    fleet, PROCESS_ROUTER, (int)(core_random(&fleet->rng) % (uint64_t)fleet->router_count));
		struct fleet_process *s = fleet_process_of(
		    fleet, PROCESS_SERVER, (int)(core_random(&fleet->rng) % (uint64_t)fleet->server_count));
		int tn = (int)(core_random(&fleet->rng) % 8);

		switch (core_random(&fleet->rng) % 8) {
		case 0:
			fleet_note_fault(fleet, "a registrar is killed");
			fleet_end_process(r, SIGKILL);
			fleet_sleep_ms(3000);
			fleet_restart_process(fleet, r);
			break;
		case 1:
			fleet_note_fault(fleet, "a counter is killed");
			fleet_end_process(node, SIGKILL);
			fleet_sleep_ms(1000);
			fleet_restart_process(fleet, node);
			break;
		case 2:
			fleet_note_fault(fleet, "a registrar freezes");
			fleet_freeze_process(r, 1);
			fleet_sleep_ms(3000);
			fleet_freeze_process(r, 0);
			break;
		case 3:
			fleet_note_fault(fleet, "a counter freezes");
			fleet_freeze_process(node, 1);
			fleet_sleep_ms(4000);
			fleet_freeze_process(node, 0);
			break;
		case 4:
			fleet_note_fault(fleet, "a registrar is cut off");
			fleet_isolate(fleet, r);
			fleet_sleep_ms(3000);
			fleet_join_links(fleet);
			break;
		case 5:
			fleet_note_fault(fleet, "a server is killed");
			fleet_end_process(s, SIGKILL);
			fleet_sleep_ms(2000);
			fleet_restart_process(fleet, s);
			break;
		case 6:
			fleet_note_fault(fleet, "a disk stalls");
			fleet_slow_disk(r, 3000);
			fleet_sleep_ms(3000);
			unlink(r->fault_file);
			break;
		default:
			fleet_set_key(fleet, tn, 0);
			fleet_sleep_ms(1000);
			fleet_set_key(fleet, tn, 1);
		}
		fleet_set_tenant(fleet, (int)(core_random(&fleet->rng) % 8),
				 (int)(core_random(&fleet->rng) % 2));
		fleet_sleep_ms((int64_t)(core_random(&fleet->rng) % 2000));
	}
	sc_kill_leader(fleet);
}

static const struct {
	const char *name, *what;
	void (*run)(struct test_fleet *);
} scenarios[] = {
	{ "steady", "load without faults", sc_steady },
	{ "kill-owner", "the configuration's owner is killed under load", sc_kill_leader },
	{ "kill-publisher", "the purge stream's publisher is killed between two purges", sc_kill_publisher },
	{ "kill-many", "all registrars and a third of the counters are killed at once", sc_kill_many },
	{ "freeze", "an owner and counters freeze and wake", sc_freeze },
	{ "wipe", "a disk is lost, an empty machine comes at a new address, then one more dies", sc_wipe },
	{ "cut", "nodes cut off, one-way loss, slow links", sc_cut },
	{ "disk-stall", "disks stall and are slow", sc_disk_stall },
	{ "disk-full", "a disk is full", sc_disk_full },
	{ "servers", "servers crash, are drained, and a service is replaced one by one", sc_servers },
	{ "roll-out", "new weights, deaths during the roll-out, a second one overtaking", sc_rollout },
	{ "wall", "a tenant is walled off and let back while its streams run", sc_isolation },
	{ "revoke", "a key is removed while its callers go on", sc_revoke },
	{ "store", "the store goes down and comes back empty; reports lost and late", sc_store },
	{ "liars", "servers that answer with another's pieces, skip, repeat, break off or fall silent",
	  sc_liars },
	{ "links", "links between servers slow down and hang in the middle of fetches", sc_links },
	{ "seeds", "the seed machines are exchanged one by one, then the owner dies", sc_seeds },
	{ "torn", "a registrar's file is torn; it joins anew, then the owner dies", sc_torn },
	{ "zone", "all machines of one zone are gone at once, then one more", sc_zone },
	{ "overload", "ten times the callers, and servers that refuse meanwhile", sc_overload },
	{ "storm", "a storm of configurations, and racing operators", sc_storm },
	{ "large", "a very large configuration, then its owner dies", sc_large },
	{ "tools", "the operators' tools against a fleet", sc_tools },
	{ "mixed", "a seeded mix, then one more fault", sc_mixed },
};
enum { SCENARIO_COUNT = sizeof scenarios / sizeof *scenarios };

void run_list(FILE *out)
{
	for (int i = 0; i < SCENARIO_COUNT; i++)
		fprintf(out, "  %-15s %s\n", scenarios[i].name, scenarios[i].what);
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
	printf("Try: clerk --at %s show\nCtrl-C ends it.\n",
	       fleet_process_of(fleet, PROCESS_CONTROLLER, 0)->web_address);
	fflush(stdout);
	while (!stop_up)
		fleet_sleep_ms(100);
}

int run_scenario(const struct run_settings *settings)
{
	static struct test_fleet fleet;
	static struct check_result res;
	int64_t cpu[2], began;
	uint64_t done;
	int which = -1, ok = 0, is_up = !strcmp(settings->name, "up");

	for (int i = 0; i < SCENARIO_COUNT; i++)
		if (!strcmp(scenarios[i].name, settings->name))
			which = i;
	if (which < 0 && !is_up) {
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
	if (!set_up(&fleet))
		goto end;
	if (is_up) {
		up(&fleet);
		ok = 1;
		goto end;
	}
	load_on(&fleet);
	fleet_sleep_ms(3000);
	for (int k = 0; k < 2; k++)
		cpu[k] = fleet_cpu_ms(&fleet, k ? PROCESS_CONTROLLER : PROCESS_ROUTER);
	began = clock_ms();
	done = load_clients_completed(fleet.load_clients);
	scenarios[which].run(&fleet);
	for (int k = 0; k < 2; k++)
		cpu[k] = fleet_cpu_ms(&fleet, k ? PROCESS_CONTROLLER : PROCESS_ROUTER) - cpu[k];
	began = clock_ms() - began;
	done = load_clients_completed(fleet.load_clients) - done;
	fleet_sleep_ms(3000);
	load_off(&fleet);
	fleet_note(&fleet, "finished", NULL, NULL);
	ok = check_folder(settings->folder, settings->untimed, &res);
	printf("%s (%s, seed %llu): %s", settings->name, settings->deployment,
	       (unsigned long long)settings->seed, res.text);
	if (which == 0 && done) /* only without faults do the same processes live throughout */
		printf(
		    "processor time over %.1f s: counters %.2f ms an exchange, registrars %.2f ms an exchange (%llu exchanges)\n",
		    (double)began / 1000, (double)cpu[0] / (double)done, (double)cpu[1] / (double)done,
		    (unsigned long long)done);
end:
	for (int i = 0; i < fleet.node_count; i++)
		if (fleet.nodes[i].pid > 0 && fleet.nodes[i].kind <= PROCESS_ROUTER && !fleet.nodes[i].frozen)
			kill(fleet.nodes[i].pid, SIGTERM);
	for (int i = 0; i < fleet.node_count; i++) {
		for (int k = 0; k < 50 && fleet.nodes[i].pid > 0 && fleet.nodes[i].kind <= PROCESS_ROUTER;
		     k++) {
			if (waitpid(fleet.nodes[i].pid, NULL, WNOHANG) == fleet.nodes[i].pid)
				fleet.nodes[i].pid = 0;
			else
				fleet_sleep_ms(20);
		}
		fleet_end_process(&fleet.nodes[i], SIGKILL);
	}
	links_close(fleet.links);
	return ok ? 0 : 1;
}
