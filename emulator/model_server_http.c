/* What a model server is asked: runs, health, reports, orders, events of kept parts, and connections that go.
 */
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

static void run_request(struct server *server, struct conn *conn, struct http_message *message)
{
	const char *id = http_message_field(message, "X-Notchlug-Attempt-Id"), *v,
		   *host = http_message_field(message, "Host");
	struct arrival_record arrival;
	struct work *work;
	int run = -1, away = 0, prompt = 0, out = 1, sum;
	struct server_fleet *settings = server->fleet;

	memset(&arrival, 0, sizeof arrival);
	arrival.id = id;
	arrival.method = message->method;
	arrival.path = message->target;
	arrival.host = host;
	arrival.tenant = http_message_field(message, "X-Notchlug-Tenant-Id");
	arrival.service = server->service;
	arrival.instance = server->instance;
	arrival.body = emulator_hash(0, message->body ? message->body : "", message->body_length);
	arrival.server = server->index;
	arrival.last_event = (v = http_message_field(message, "Last-Event-Id")) ? atoi(v) : 0;
	if (settings->checker)
		run = checker_record_arrival(settings->checker, fleet_ms(settings), &arrival);
	v = http_message_field(message, "X-Notchlug-Target-Instance");
	if (v && strcmp(v, server->instance))
		away = 421;
	v = http_message_field(message, "X-Notchlug-Expected-Version");
	if (!away && v && atoi(v) != server->version)
		away = 421;
	if (!away && !id)
		away = 400;
	v = http_message_field(message, "X-Notchlug-Token-Count");
	if (v)
		sscanf(v, "%d,%d", &prompt, &out);
	if (!away && (prompt + out > settings->engine.kv_capacity_tokens || is_loading_weights(server) ||
		      arrlen(server->queue) >= settings->engine.queue_limit))
		away = 503;
	if (away) {
		reject_request(server, conn, run, id, away);
		return;
	}
	work = calloc(1, sizeof *work);
	work->server = server;
	work->conn = conn;
	work->run_id = run;
	work->queued_at_us = loop_us();
	work->is_plain = !v;
	work->prompt_tokens = prompt > 0 ? prompt : 1;
	work->seed = arrival.body;
	snprintf(work->id, sizeof work->id, "%s", id);
	snprintf(work->tenant, sizeof work->tenant, "%s", arrival.tenant ? arrival.tenant : "");
	if ((v = http_message_field(message, "X-Notchlug-Cache-Salt")))
		snprintf(work->salt, sizeof work->salt, "%s", v);
	if ((v = http_message_field(message, "X-Notchlug-Kv-Source")))
		snprintf(work->source, sizeof work->source, "%s", v);
	if ((v = http_message_field(message, "X-Notchlug-Kv-Sink")))
		snprintf(work->offload_target, sizeof work->offload_target, "%s", v);
	v = http_message_field(message, "X-Notchlug-Priority-Level");
	work->priority = v ? atoi(v) : 5;
	v = http_message_field(message, "X-Notchlug-Deadline-Remaining");
	work->deadline_us = loop_us() + ms_us(v ? atof(v) : 60000);
	sum = read_parts(work, http_message_field(message, "X-Notchlug-Prompt-Prefix"));
	if (sum > work->prompt_tokens)
		work->prompt_tokens = sum;
	if (work->is_plain) {
		work->output_tokens = 1;
	} else { /* how long an answer gets depends on what was asked, so that another server takes it up in
		    the same place */
		work->output_tokens = out - (int)(work->seed % (uint64_t)(out / 2 + 1));
		work->last_id = 1 + work->output_tokens / settings->engine.token_stride;
		work->first_id = work->sent_id =
		    arrival.last_event < work->last_id ? arrival.last_event : work->last_id;
		work->generated_tokens =
		    arrival.last_event ? arrival.last_event * settings->engine.token_stride : 0;
		if (work->generated_tokens >= work->output_tokens)
			work->generated_tokens = work->output_tokens - 1;
	}
	work->close = !keeps_connection(server);
	work->lose_answer = emulator_random_unit(&settings->rng) < server->fault.lost;
	work->garbage = emulator_random_unit(&settings->rng) < server->fault.garbage;
	work->surplus = emulator_random_unit(&settings->rng) < server->fault.surplus;
	work->grey = emulator_random_unit(&settings->rng) < server->fault.grey;
	if (emulator_random_unit(&settings->rng) < server->fault.broken && !work->is_plain &&
	    work->last_id > work->sent_id + 1)
		work->break_at = work->sent_id + 1;
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

static void answer_load_command(struct server *server, struct conn *conn, struct http_message *message)
{
	struct json_object *json = message->body ? json_tokener_parse(message->body) : NULL, *v = NULL;
	const char *lease_owner = NULL, *op = "", *model = "", *method = "",
		   *target = http_message_field(message, "X-Notchlug-Target-Instance");
	int64_t fence = -1, version = 0;
	struct load_command_record r;
	int status;

	if (json_object_is_type(json, json_type_object)) {
		if (json_object_object_get_ex(json, "Operation", &v) &&
		    json_object_is_type(v, json_type_string))
			op = json_object_get_string(v);
		if (json_object_object_get_ex(json, "Holder", &v) && json_object_is_type(v, json_type_string))
			lease_owner = json_object_get_string(v);
		if (json_object_object_get_ex(json, "ModelName", &v) &&
		    json_object_is_type(v, json_type_string))
			model = json_object_get_string(v);
		if (json_object_object_get_ex(json, "Method", &v) && json_object_is_type(v, json_type_string))
			method = json_object_get_string(v);
		if (json_object_object_get_ex(json, "FenceNumber", &v))
			fence = json_object_get_int64(v);
		if (json_object_object_get_ex(json, "ConfigVersion", &v))
			version = json_object_get_int64(v);
	}
	if (target && strcmp(target, server->instance))
		status = 421;
	else if (strcmp(op, "ConfigVersion") || !lease_owner || fence < 0 ||
		 strcmp(model, server->fleet->model) || version < 1 ||
		 version > server->fleet->newest_version ||
		 (strcmp(method, "hold") && strcmp(method, "preempt") && strcmp(method, "retain")))
		status = 400;
	else if (server->fleet->engine.fence_checked && fence < server->fence)
		status = 412;
	else if (json_object_object_get_ex(json, "ExpectedCount", &v) &&
		 json_object_get_int64(v) != server->call_seq)
		status = 409;
	else if (version == server->version && !is_loading_weights(server))
		status = 200;
	else if (is_loading_weights(server))
		status = version == server->loading_to ? 202 : 409;
	else if (server->fault.refuses_loads)
		status = 0; /* no answer, and not taken */
	else
		status = 202;
	if (server->fleet->checker && status != 421 && status != 400) {
		memset(&r, 0, sizeof r);
		r.instance = server->instance;
		r.lease_owner = lease_owner;
		r.fence = fence;
		r.status = status;
		/* its sender was thawed, or the order lay unread while this server was silent: it may have
		 * been sent long ago */
		r.thawed = (server->fleet->thawed_at_ms &&
			    fleet_ms(server->fleet) - server->fleet->thawed_at_ms < server->fleet->thaw_ms) ||
			   (server->reading_resumed_at_ms &&
			    fleet_ms(server->fleet) - server->reading_resumed_at_ms < server->fleet->thaw_ms);
		checker_record_load_command(server->fleet->checker, fleet_ms(server->fleet), &r);
	}
	server->fleet->load_commands++;
	if ((status == 202 || status == 200) && fence > server->fence)
		server->fence = fence;
	if (status == 202 && !is_loading_weights(server)) {
		server->call_seq++;
		server->loading_to = (int)version;
		server->load_method = !strcmp(method, "hold") ? 0 : !strcmp(method, "preempt") ? 1 : 2;
		if (server->load_method == 1)
			for (int i = arrlen(server->batch) - 1; i >= 0; i--) {
				struct work *work = server->batch[i];
				struct conn *work_conn = work->conn;

				if (!work->has_started)
					continue;
				work_end(work, 0, 200);
				if (work_conn)
					conn_close(work_conn, 1);
			}
		resume_steps(server);
	}
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
		return 1; /* from another life */
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

/* Most drop a request when its connection closes; some go on. */
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
