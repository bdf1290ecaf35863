/* HTTP calls of a model server: requests, health, reports, load commands, cache events, and connections that
 * close. */
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "model_server_internal.h"

static void answer_report(struct server *server, struct conn *conn);

static int read_parts(struct work *work, const char *header)
{
	int sum = 0;

	while (header && *header) {
		struct requested_block block;
		int n = 0;

		memset(&block, 0, sizeof block);
		if (sscanf(header, "%23[0-9a-fA-F]:%d%n", block.id, &block.tokens, &n) != 2 ||
		    block.tokens <= 0)
			break;
		arrput(work->blocks, block);
		sum += block.tokens;
		header += n;
		while (*header == ',' || *header == ' ')
			header++;
	}
	return sum;
}

/* A request's header fields as far as they decide whether it is admitted. */
struct token_counts {
	bool is_present; /* else it is a plain request */
	int prompt;
	int output;
};

static struct token_counts token_counts(const struct http_message *message)
{
	struct token_counts counts = { 0, 0, 1 };
	const char *field = http_message_field(message, "X-Notchlug-Token-Count");

	counts.is_present = field != NULL;
	if (field)
		sscanf(field, "%d,%d", &counts.prompt, &counts.output);
	return counts;
}

/* 0: the request is admitted; else the status with which it is rejected. */
static int rejection_status(const struct server *server, const struct http_message *message,
			    const struct token_counts *counts)
{
	const struct engine *engine = &server->fleet->engine;
	const char *instance = http_message_field(message, "X-Notchlug-Target-Instance");
	const char *version = http_message_field(message, "X-Notchlug-Expected-Version");

	if (instance && strcmp(instance, server->instance))
		return 421;
	if (version && atoi(version) != server->version)
		return 421;
	if (!http_message_field(message, "X-Notchlug-Attempt-Id"))
		return 400;
	if (counts->prompt + counts->output > engine->kv_capacity_tokens || is_loading_weights(server) ||
	    arrlen(server->queue) >= engine->queue_limit)
		return 503;
	return 0;
}

/* Record a request's arrival; its number, or -1 without a checker. */
static int record_arrival(const struct server *server, const struct http_message *message,
			  struct arrival_record *arrival)
{
	const struct server_fleet *fleet = server->fleet;
	const char *last_event = http_message_field(message, "Last-Event-Id");

	memset(arrival, 0, sizeof *arrival);
	arrival->id = http_message_field(message, "X-Notchlug-Attempt-Id");
	arrival->method = message->method;
	arrival->path = message->target;
	arrival->host = http_message_field(message, "Host");
	arrival->tenant = http_message_field(message, "X-Notchlug-Tenant-Id");
	arrival->service = server->service;
	arrival->instance = server->instance;
	arrival->body = emulator_hash(0, message->body ? message->body : "", message->body_length);
	arrival->server = server->index;
	arrival->last_event = last_event ? atoi(last_event) : 0;
	return fleet->checker ? checker_record_arrival(fleet->checker, fleet_ms(fleet), arrival) : -1;
}

static void copy_field(const struct http_message *message, const char *name, char *to, size_t size)
{
	const char *field = http_message_field(message, name);

	if (field)
		snprintf(to, size, "%s", field);
}

static void read_fields(struct work *work, const struct http_message *message)
{
	const char *priority = http_message_field(message, "X-Notchlug-Priority-Level");
	const char *remaining = http_message_field(message, "X-Notchlug-Deadline-Remaining");
	int sum;

	copy_field(message, "X-Notchlug-Cache-Salt", work->salt, sizeof work->salt);
	copy_field(message, "X-Notchlug-Kv-Source", work->source, sizeof work->source);
	copy_field(message, "X-Notchlug-Kv-Sink", work->offload_target, sizeof work->offload_target);
	work->priority = priority ? atoi(priority) : 5;
	work->deadline_us = loop_us() + ms_us(remaining ? atof(remaining) : 60000);
	sum = read_parts(work, http_message_field(message, "X-Notchlug-Prompt-Prefix"));
	if (sum > work->prompt_tokens)
		work->prompt_tokens = sum;
}

/* How long the answer gets depends on what was asked, so that another server takes it up in the same place.
 */
static void plan_answer(struct work *work, int output, int last_event)
{
	int stride = work->server->fleet->engine.token_stride;

	if (work->is_plain) {
		work->output_tokens = 1;
		return;
	}
	work->output_tokens = output - (int)(work->seed % (uint64_t)(output / 2 + 1));
	work->last_id = 1 + work->output_tokens / stride;
	work->sent_id = last_event < work->last_id ? last_event : work->last_id;
	work->generated_tokens = last_event ? last_event * stride : 0;
	if (work->generated_tokens >= work->output_tokens)
		work->generated_tokens = work->output_tokens - 1;
}

/* Draw which faults of the server this answer has; always as many draws. */
static void draw_faults(struct work *work)
{
	const struct server_fault *fault = &work->server->fault;
	uint64_t *rng = &work->server->fleet->rng;

	work->close = !keeps_connection(work->server);
	work->lose_answer = emulator_random_unit(rng) < fault->lost;
	work->garbage = emulator_random_unit(rng) < fault->garbage;
	work->surplus = emulator_random_unit(rng) < fault->surplus;
	work->grey = emulator_random_unit(rng) < fault->grey;
	if (emulator_random_unit(rng) < fault->broken && !work->is_plain && work->last_id > work->sent_id + 1)
		work->break_at = work->sent_id + 1;
}

static void run_request(struct server *server, struct conn *conn, struct http_message *message)
{
	struct token_counts counts = token_counts(message);
	struct arrival_record arrival;
	int run = record_arrival(server, message, &arrival);
	int status = rejection_status(server, message, &counts);
	struct work *work;

	if (status) {
		reject_request(server, conn, run, arrival.id, status);
		return;
	}
	work = calloc(1, sizeof *work);
	work->server = server;
	work->conn = conn;
	work->run_id = run;
	work->queued_at_us = loop_us();
	work->is_plain = !counts.is_present;
	work->prompt_tokens = counts.prompt > 0 ? counts.prompt : 1;
	work->seed = arrival.body;
	snprintf(work->id, sizeof work->id, "%s", arrival.id);
	snprintf(work->tenant, sizeof work->tenant, "%s", arrival.tenant ? arrival.tenant : "");
	read_fields(work, message);
	plan_answer(work, counts.output, arrival.last_event);
	draw_faults(work);
	conn_set_tag(conn, work);
	arrput(server->queue, work);
	resume_steps(server);
}

static void json_answer(struct conn *conn, int status, struct json_object *json, int keep_alive)
{
	const char *t = json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN);

	conn_answer(conn, status, "Content-Type: application/json\r\n", t, strlen(t), keep_alive);
	json_object_put(json);
}

void sample_report(void *ctx)
{
	struct server *server = ctx;

	server->report[0] = server->report[1];
	server->report[1].queued = (int)arrlen(server->queue);
	server->report[1].active = (int)arrlen(server->batch);
	server->report[1].saturated = is_loading_weights(server);
	server->report[1].seq = server->call_seq;
	server->report[1].version = server->version;
	server->report[1].used_tokens = used_tokens(server);
	server->report_timer = loop_after(server->fleet->loop, ms_us(server->fleet->engine.report_lag_ms),
					  sample_report, server);
}

static struct json_object *models(struct server *server, int version)
{
	struct json_object *a = json_object_new_array(), *json = json_object_new_object();

	json_object_object_add(json, "Name", json_object_new_string(server->fleet->model));
	json_object_object_add(json, "ConfigVersion", json_object_new_int(version));
	json_object_object_add(json, "Adapters", json_object_new_array());
	json_object_array_add(a, json);
	return a;
}

static void answer_report(struct server *server, struct conn *conn)
{
	struct json_object *json = json_object_new_object();

	server->fleet->probes++;
	json_object_object_add(json, "Stage", json_object_new_string("combined"));
	json_object_object_add(json, "Models", models(server, server->report[0].version));
	json_object_object_add(json, "Saturated", json_object_new_boolean(server->report[0].saturated));
	json_object_object_add(json, "CallSeq", json_object_new_int(server->report[0].seq));
	json_object_object_add(json, "Queued", json_object_new_int(server->report[0].queued));
	json_object_object_add(json, "Active", json_object_new_int(server->report[0].active));
	json_object_object_add(json, "KvUsed", json_object_new_int64(server->report[0].used_tokens));
	json_object_object_add(json, "KvTotal",
			       json_object_new_int(server->fleet->engine.kv_capacity_tokens));
	json_object_object_add(json, "HandleCount", json_object_new_int(0));
	json_answer(conn, 200, json, 1);
}

/* A load command as it was read; texts are the JSON's. */
struct load_command {
	const char *operation;
	const char *lease_owner; /* NULL: not given */
	const char *model;
	const char *method;
	int64_t fence;
	int64_t version;
	int64_t expected_count;
	bool has_expected_count;
};

static const char *string_member(struct json_object *json, const char *name, const char *otherwise)
{
	struct json_object *value = NULL;

	if (json_object_object_get_ex(json, name, &value) && json_object_is_type(value, json_type_string))
		return json_object_get_string(value);
	return otherwise;
}

static struct load_command read_load_command(struct json_object *json)
{
	struct load_command command = { "", NULL, "", "", -1, 0, 0, 0 };
	struct json_object *value = NULL;

	if (!json_object_is_type(json, json_type_object))
		return command;
	command.operation = string_member(json, "Operation", "");
	command.lease_owner = string_member(json, "Holder", NULL);
	command.model = string_member(json, "ModelName", "");
	command.method = string_member(json, "Method", "");
	if (json_object_object_get_ex(json, "FenceNumber", &value))
		command.fence = json_object_get_int64(value);
	if (json_object_object_get_ex(json, "ConfigVersion", &value))
		command.version = json_object_get_int64(value);
	command.has_expected_count = json_object_object_get_ex(json, "ExpectedCount", &value);
	if (command.has_expected_count)
		command.expected_count = json_object_get_int64(value);
	return command;
}

static int is_valid_load_command(const struct server *server, const struct load_command *command)
{
	if (strcmp(command->operation, "ConfigVersion") || !command->lease_owner || command->fence < 0)
		return 0;
	if (strcmp(command->model, server->fleet->model))
		return 0;
	if (command->version < 1 || command->version > server->fleet->newest_version)
		return 0;
	return !strcmp(command->method, "hold") || !strcmp(command->method, "preempt") ||
	       !strcmp(command->method, "retain");
}

/* The status of the answer; 0: no answer, and the command has no effect. */
static int load_command_status(const struct server *server, const struct load_command *command,
			       const char *instance)
{
	if (instance && strcmp(instance, server->instance))
		return 421;
	if (!is_valid_load_command(server, command))
		return 400;
	if (server->fleet->engine.fence_checked && command->fence < server->fence)
		return 412;
	if (command->has_expected_count && command->expected_count != server->call_seq)
		return 409;
	if (command->version == server->version && !is_loading_weights(server))
		return 200;
	if (is_loading_weights(server))
		return command->version == server->loading_to ? 202 : 409;
	return server->fault.refuses_loads ? 0 : 202;
}

/* Whether a command that arrives now may have been sent long ago: its sender was thawed lately, or the
 * command lay unread while this server was silent. */
static int may_be_old(const struct server *server)
{
	const struct server_fleet *fleet = server->fleet;
	int64_t now = fleet_ms(fleet);

	return (fleet->thawed_at_ms && now - fleet->thawed_at_ms < fleet->thaw_ms) ||
	       (server->reading_resumed_at_ms && now - server->reading_resumed_at_ms < fleet->thaw_ms);
}

static void record_load_command(const struct server *server, const struct load_command *command, int status)
{
	struct load_command_record record;

	if (!server->fleet->checker || status == 421 || status == 400)
		return;
	memset(&record, 0, sizeof record);
	record.instance = server->instance;
	record.lease_owner = command->lease_owner;
	record.fence = command->fence;
	record.status = status;
	record.thawed = may_be_old(server);
	checker_record_load_command(server->fleet->checker, fleet_ms(server->fleet), &record);
}

static void cut_off_batch(struct server *server)
{
	for (int i = (int)arrlen(server->batch) - 1; i >= 0; i--) {
		struct work *work = server->batch[i];
		struct conn *conn = work->conn;

		if (!work->has_started)
			continue;
		work_end(work, 0, 200);
		if (conn)
			conn_close(conn, 1);
	}
}

static void accept_load_command(struct server *server, const struct load_command *command)
{
	server->call_seq++;
	server->loading_to = (int)command->version;
	if (!strcmp(command->method, "hold"))
		server->load_method = LOAD_HOLD;
	else if (!strcmp(command->method, "preempt"))
		server->load_method = LOAD_PREEMPT;
	else
		server->load_method = LOAD_RETAIN;
	if (server->load_method == LOAD_PREEMPT)
		cut_off_batch(server);
	resume_steps(server);
}

static void answer_load_command(struct server *server, struct conn *conn, struct http_message *message)
{
	struct json_object *json = message->body ? json_tokener_parse(message->body) : NULL;
	struct load_command command = read_load_command(json);
	int status =
	    load_command_status(server, &command, http_message_field(message, "X-Notchlug-Target-Instance"));

	record_load_command(server, &command, status);
	server->fleet->load_commands++;
	if ((status == 202 || status == 200) && command.fence > server->fence)
		server->fence = command.fence;
	if (status == 202 && !is_loading_weights(server))
		accept_load_command(server, &command);
	json_object_put(json);
	if (!status)
		conn_close(conn, 1);
	else
		conn_answer(conn, status, "", "", 0, 1);
}

static void kv_answer(struct server *server, struct conn *conn, int64_t since)
{
	struct json_object *json = json_object_new_object(), *a = json_object_new_array();
	int64_t first = arrlen(server->events) ? server->events[0].number : server->last_event + 1,
		next = since > server->last_event ? server->last_event : since;

	for (int i = 0; i < arrlen(server->events); i++) {
		struct kv_event *kv_event = &server->events[i];
		struct json_object *x;
		char sign[2] = { kv_event->sign, 0 };

		if (kv_event->number <= since || kv_event->visible_at_us > loop_us())
			continue;
		x = json_object_new_array();
		json_object_array_add(x, json_object_new_int64(kv_event->number));
		json_object_array_add(x, json_object_new_string(sign));
		json_object_array_add(x, json_object_new_string(kv_event->salt));
		json_object_array_add(x, json_object_new_string(kv_event->id));
		json_object_array_add(x, json_object_new_int(kv_event->tokens));
		json_object_array_add(x, json_object_new_string(server->fleet->model));
		json_object_array_add(a, x);
		next = kv_event->number;
	}
	json_object_object_add(json, "NodeEpoch", json_object_new_int64((int64_t)(server->epoch >> 20)));
	json_object_object_add(json, "NextToken", json_object_new_int64(next));
	json_object_object_add(json, "LostCount", json_object_new_boolean(since + 1 < first));
	json_object_object_add(json, "EventList", a);
	json_answer(conn, 200, json, 1);
}

static int visible(const struct server *server, int64_t since)
{
	if (since > server->last_event)
		return 1; /* of an earlier incarnation */
	for (int i = arrlen(server->events) - 1; i >= 0 && server->events[i].number > since; i--)
		if (server->events[i].visible_at_us <= loop_us())
			return 1;
	return 0;
}

void answer_watchers(void *ctx)
{
	struct server *server = ctx;

	server->watch_timer = 0;
	if (server->fault.is_silent)
		return;
	for (int i = arrlen(server->watchers) - 1; i >= 0; i--) {
		struct watcher watcher = server->watchers[i];

		if (loop_us() < watcher.until && !visible(server, watcher.since))
			continue;
		arrdel(server->watchers, i);
		kv_answer(server, watcher.conn, watcher.since);
	}
	if (arrlen(server->watchers) && !server->watch_timer)
		server->watch_timer = loop_after(server->fleet->loop, ms_us(10), answer_watchers, server);
}

static void kv_events(struct server *server, struct conn *conn, struct http_message *message)
{
	const char *q = strstr(message->target, "SinceTime="), *wait = http_message_field(message, "Wait-Ms");
	struct watcher watcher = { conn, q ? atoll(q + 10) : 0, loop_us() };
	int ms = wait ? atoi(wait) : 0;

	if (ms > 1000)
		ms = 1000;
	if (ms < 200)
		server->fleet->probes++;
	if (arrlen(server->watchers) >= server->fleet->engine.in_flight) {
		server->fleet->probes++;
		conn_answer(conn, 429, "", "", 0, 1);
		return;
	}
	watcher.until += ms_us(ms);
	arrput(server->watchers, watcher);
	if (!server->watch_timer)
		answer_watchers(server);
}

static void kv_list(struct server *server, struct conn *conn)
{
	struct json_object *json = json_object_new_object(), *a = json_object_new_array();
	int64_t next = 0;

	for (int i = 0; i < arrlen(server->events); i++)
		next = server->events[i].visible_at_us <= loop_us() ? server->events[i].number : next;
	for (int i = 0; i < arrlen(server->blocks); i++) {
		struct json_object *x = json_object_new_array();

		json_object_array_add(x, json_object_new_string(server->blocks[i].salt));
		json_object_array_add(x, json_object_new_string(server->blocks[i].id));
		json_object_array_add(x, json_object_new_int(server->blocks[i].tokens));
		json_object_array_add(x, json_object_new_string(server->fleet->model));
		json_object_array_add(a, x);
	}
	server->stall_ms += 5;
	server->fleet->probes++;
	json_object_object_add(json, "NodeEpoch", json_object_new_int64((int64_t)(server->epoch >> 20)));
	json_object_object_add(json, "NextToken", json_object_new_int64(next));
	json_object_object_add(json, "HeldCount", a);
	json_answer(conn, 200, json, 1);
}

static void health(struct server *server, struct conn *conn)
{
	char b[800];
	int well = server->state == STATE_UP;

	server->fleet->probes++;
	if (server->fault.false_health)
		well = !well;
	if (arrlen(server->batch) >= server->fleet->engine.slots) { /* no slot is free */
		reject_request(server, conn, -1, NULL, 503);
		return;
	}
	response_fields(server, NULL, b, sizeof b);
	snprintf(b + strlen(b), sizeof b - strlen(b), "X-Notchlug-Instance-Id: %s\r\n", server->instance);
	conn_answer(conn, well ? 200 : 503, b, "", 0, keeps_connection(server));
}

void model_server_on_request(void *ctx, struct conn *conn, struct http_message *message)
{
	struct server *server = ctx;
	size_t path = strcspn(message->target, "?");
	int get = !strcmp(message->method, "GET");

	if (conn_tag(conn) == server)
		send_surplus(server);
	if (get && path == 10 && !strncmp(message->target, "/kv-events", path))
		kv_events(server, conn, message);
	else if (get && !strcmp(message->target, "/kv-list"))
		kv_list(server, conn);
	else if (server->is_store)
		conn_answer(conn, 404, "", "", 0, 1);
	else if (get && !strcmp(message->target, "/health"))
		health(server, conn);
	else if (get && !strcmp(message->target, "/report"))
		answer_report(server, conn);
	else if (!strcmp(message->method, "POST") && !strcmp(message->target, "/order"))
		answer_load_command(server, conn, message);
	else
		run_request(server, conn, message);
}

/* The caller of a work has disconnected. Most works end then; some go on without an answer. */
static void caller_disconnected(struct work *work)
{
	if (emulator_random_unit(&work->server->fleet->rng) >= work->server->fault.stubborn) {
		work_end(work, -1, 0);
		return;
	}
	conn_set_tag(work->conn, NULL);
	work->conn = NULL;
	work->lose_answer = 1;
	work->garbage = work->grey = work->surplus = work->break_at = 0;
}

void model_server_on_closed(void *ctx, struct conn *conn, enum conn_end how)
{
	struct server *s = ctx;
	struct work *w = conn_tag(conn);

	(void)how;
	for (int i = arrlen(s->watchers) - 1; i >= 0; i--)
		if (s->watchers[i].conn == conn)
			arrdel(s->watchers, i);
	for (int i = 0; w && i < arrlen(s->batch); i++)
		if (s->batch[i] == w) {
			caller_disconnected(w);
			return;
		}
	for (int i = 0; w && i < arrlen(s->queue); i++)
		if (s->queue[i] == w) {
			caller_disconnected(w);
			return;
		}
	conn_set_tag(conn, NULL);
}
