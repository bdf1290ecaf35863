/* The operators of the test fleet: changes of the configuration, recorded for the checker with their answers;
 * probes of every router's state; calls of the operators' tools. */
#include <fcntl.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet_internal.h"

struct json_object *fleet_event(const char *name)
{
	struct json_object *json = json_object_new_object();

	json_object_object_add(json, "ev", json_object_new_string(name));
	return json;
}

void fleet_note(struct test_fleet *fleet, const char *name, const char *key, const char *value)
{
	struct json_object *json = fleet_event(name);

	if (key)
		json_object_object_add(json, key, json_object_new_string(value));
	record_put(fleet->record, json);
}

void fleet_note_fault(struct test_fleet *fleet, const char *what)
{
	fprintf(stderr, "notchlug-emulator: fault: %s\n", what);
	fleet_note(fleet, "fault", "what", what);
}

int fleet_change(struct test_fleet *fleet, const char *body, int64_t *revision)
{
	int st = 0;

	for (int round = 0; round < 60; round++) { /* 12 s: without a leader the refusal comes at once */
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

void fleet_must_change(struct test_fleet *fleet, const char *body)
{
	int st = fleet_change(fleet, body, NULL);

	if (st != 200) {
		fprintf(stderr, "notchlug-emulator: a change was not acknowledged (%d): %.200s\n", st, body);
		fleet_note(fleet, "unacknowledged", "body", body);
	}
}

void fleet_set_server_state(struct test_fleet *fleet, struct fleet_process *n, const char *state)
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

void fleet_set_target_weights(struct test_fleet *fleet, int svc, const char *weights)
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

void fleet_set_tenant(struct test_fleet *fleet, int i, int isolated)
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
	json = fleet_event(
	    "wall"); /* isolated from the acknowledgement on, and no longer from the request to end it on */
	json_object_object_add(json, "tenant", json_object_new_string(name));
	json_object_object_add(json, "walled", json_object_new_int(isolated));
	record_put(fleet->record, json);
	if (!isolated)
		fleet_must_change(fleet, b);
}

void fleet_set_key(struct test_fleet *fleet, int i, int on)
{
	char b[300], k[32], hex[65];

	snprintf(k, sizeof k, "key-%d", i);
	if (on)
		snprintf(b, sizeof b,
			 "{\"set\":[{\"kind\":\"key\",\"name\":\"%s\",\"tenant\":\"tenant-%d\"}]}",
			 key_digest_hex(k, hex), i);
	else
		snprintf(b, sizeof b, "{\"del\":[{\"kind\":\"key\",\"name\":\"%s\"}]}",
			 key_digest_hex(k, hex));
	if (on)
		fleet_note(fleet, "key-added", "key", k);
	if (fleet_change(fleet, b, NULL) == 200 && !on)
		fleet_note(fleet, "key-removed", "key", k);
}

void *fleet_probe_thread(void *arg)
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

int fleet_leader_of(struct test_fleet *fleet, int part)
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

int fleet_wait_leader(struct test_fleet *fleet, int part)
{
	for (int k = 0; k < 300; k++) {
		int o = fleet_leader_of(fleet, part);

		if (o >= 0)
			return o;
		fleet_sleep_ms(50);
	}
	fprintf(stderr, "notchlug-emulator: shard %d has no leader\n", part);
	return 0;
}

void fleet_run_tool(struct test_fleet *fleet, int expected_code, const char *name, const char *out, ...)
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

void fleet_write_file(const char *path, const char *text)
{
	FILE *out = fopen(path, "w");

	if (out) {
		fputs(text, out);
		fclose(out);
	}
}
