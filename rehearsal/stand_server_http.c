/* What a model server is asked: runs, health, reports, orders, events of kept parts, and connections that go. */
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "stand_server_private.h"

static void report(struct server *s, struct conn *c);

static int read_parts(struct work *w, const char *v)
{
	int sum = 0;

	while (v && *v) {
		struct asked_part p;
		int n = 0;

		memset(&p, 0, sizeof p);
		if (sscanf(v, "%23[0-9a-fA-F]:%d%n", p.id, &p.tokens, &n) != 2 || p.tokens <= 0)
			break;
		arrput(w->ask, p);
		sum += p.tokens;
		v += n;
		while (*v == ',' || *v == ' ')
			v++;
	}
	return sum;
}

static void run_request(struct server *s, struct conn *c, struct msg *m)
{
	const char *id = msg_get(m, "X-Notchlug-Attempt-Id"), *v, *host = msg_get(m, "Host");
	struct arrive_rec a;
	struct work *w;
	int run = -1, away = 0, prompt = 0, out = 1, sum;
	struct fleet_set *f = s->f;

	memset(&a, 0, sizeof a);
	a.id = id;
	a.method = m->method;
	a.path = m->target;
	a.host = host;
	a.tenant = msg_get(m, "X-Notchlug-Tenant-Id");
	a.service = s->service;
	a.instance = s->instance;
	a.body = stand_hash(0, m->body ? m->body : "", m->len);
	a.server = s->i;
	a.last_event = (v = msg_get(m, "Last-Event-Id")) ? atoi(v) : 0;
	if (f->j)
		run = judge_arrive(f->j, fleet_ms(f), &a);
	v = msg_get(m, "X-Notchlug-Target-Instance");
	if (v && strcmp(v, s->instance))
		away = 421;
	v = msg_get(m, "X-Notchlug-Expected-Version");
	if (!away && v && atoi(v) != s->version)
		away = 421;
	if (!away && !id)
		away = 400;
	v = msg_get(m, "X-Notchlug-Token-Count");
	if (v)
		sscanf(v, "%d,%d", &prompt, &out);
	if (!away && (prompt + out > f->e.kv || out_of_order(s) || arrlen(s->wait) >= f->e.queue))
		away = 503;
	if (away) {
		turn_away(s, c, run, id, away);
		return;
	}
	w = calloc(1, sizeof *w);
	w->s = s;
	w->c = c;
	w->run = run;
	w->at = loop_us();
	w->plain = !v;
	w->prompt = prompt > 0 ? prompt : 1;
	w->seed = a.body;
	snprintf(w->id, sizeof w->id, "%s", id);
	snprintf(w->tenant, sizeof w->tenant, "%s", a.tenant ? a.tenant : "");
	if ((v = msg_get(m, "X-Notchlug-Cache-Salt")))
		snprintf(w->salt, sizeof w->salt, "%s", v);
	if ((v = msg_get(m, "X-Notchlug-Kv-Source")))
		snprintf(w->source, sizeof w->source, "%s", v);
	if ((v = msg_get(m, "X-Notchlug-Kv-Sink")))
		snprintf(w->sink, sizeof w->sink, "%s", v);
	v = msg_get(m, "X-Notchlug-Priority-Level");
	w->level = v ? atoi(v) : 5;
	v = msg_get(m, "X-Notchlug-Deadline-Remaining");
	w->until = loop_us() + ms_us(v ? atof(v) : 60000);
	sum = read_parts(w, msg_get(m, "X-Notchlug-Prompt-Prefix"));
	if (sum > w->prompt)
		w->prompt = sum;
	if (w->plain) {
		w->out = 1;
	} else { /* how long an answer gets depends on what was asked, so that another server takes it up in the same place */
		w->out = out - (int)(w->seed % (uint64_t)(out / 2 + 1));
		w->last_id = 1 + w->out / f->e.stride;
		w->first_id = w->sent_id = a.last_event < w->last_id ? a.last_event : w->last_id;
		w->made = a.last_event ? a.last_event * f->e.stride : 0;
		if (w->made >= w->out)
			w->made = w->out - 1;
	}
	w->close = !keeps(s);
	w->lost = stand_unit(&f->rng) < s->fault.lost;
	w->garbage = stand_unit(&f->rng) < s->fault.garbage;
	w->surplus = stand_unit(&f->rng) < s->fault.surplus;
	w->grey = stand_unit(&f->rng) < s->fault.grey;
	if (stand_unit(&f->rng) < s->fault.broken && !w->plain && w->last_id > w->sent_id + 1)
		w->break_at = w->sent_id + 1;
	conn_set_tag(c, w);
	arrput(s->wait, w);
	set_going(s);
}

static void json_answer(struct conn *c, int status, struct json_object *j, int keep)
{
	const char *t = json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN);

	conn_answer(c, status, "Content-Type: application/json\r\n", t, strlen(t), keep);
	json_object_put(j);
}

void note_report(void *ctx)
{
	struct server *s = ctx;

	s->report[0] = s->report[1];
	s->report[1].queued = (int)arrlen(s->wait);
	s->report[1].active = (int)arrlen(s->run);
	s->report[1].saturated = out_of_order(s);
	s->report[1].seq = s->call_seq;
	s->report[1].version = s->version;
	s->report[1].used = used_now(s);
	s->report_timer = loop_after(s->f->l, ms_us(s->f->e.report_lag), note_report, s);
}

static struct json_object *models(struct server *s, int version)
{
	struct json_object *a = json_object_new_array(), *m = json_object_new_object();

	json_object_object_add(m, "Name", json_object_new_string(s->f->model));
	json_object_object_add(m, "ConfigVersion", json_object_new_int(version));
	json_object_object_add(m, "Adapters", json_object_new_array());
	json_object_array_add(a, m);
	return a;
}

static void report(struct server *s, struct conn *c)
{
	struct json_object *j = json_object_new_object();

	s->f->probes++;
	json_object_object_add(j, "Stage", json_object_new_string("combined"));
	json_object_object_add(j, "Models", models(s, s->report[0].version));
	json_object_object_add(j, "Saturated", json_object_new_boolean(s->report[0].saturated));
	json_object_object_add(j, "CallSeq", json_object_new_int(s->report[0].seq));
	json_object_object_add(j, "Queued", json_object_new_int(s->report[0].queued));
	json_object_object_add(j, "Active", json_object_new_int(s->report[0].active));
	json_object_object_add(j, "KvUsed", json_object_new_int64(s->report[0].used));
	json_object_object_add(j, "KvTotal", json_object_new_int(s->f->e.kv));
	json_object_object_add(j, "HandleCount", json_object_new_int(0));
	json_answer(c, 200, j, 1);
}

static void order(struct server *s, struct conn *c, struct msg *m)
{
	struct json_object *j = m->body ? json_tokener_parse(m->body) : NULL, *v = NULL;
	const char *holder = NULL, *op = "", *model = "", *method = "", *target = msg_get(m, "X-Notchlug-Target-Instance");
	int64_t fence = -1, version = 0;
	struct order_rec r;
	int status;

	if (json_object_is_type(j, json_type_object)) {
		if (json_object_object_get_ex(j, "Operation", &v) && json_object_is_type(v, json_type_string))
			op = json_object_get_string(v);
		if (json_object_object_get_ex(j, "Holder", &v) && json_object_is_type(v, json_type_string))
			holder = json_object_get_string(v);
		if (json_object_object_get_ex(j, "ModelName", &v) && json_object_is_type(v, json_type_string))
			model = json_object_get_string(v);
		if (json_object_object_get_ex(j, "Method", &v) && json_object_is_type(v, json_type_string))
			method = json_object_get_string(v);
		if (json_object_object_get_ex(j, "FenceNumber", &v))
			fence = json_object_get_int64(v);
		if (json_object_object_get_ex(j, "ConfigVersion", &v))
			version = json_object_get_int64(v);
	}
	if (target && strcmp(target, s->instance))
		status = 421;
	else if (strcmp(op, "ConfigVersion") || !holder || fence < 0 || strcmp(model, s->f->model) || version < 1 ||
		 version > s->f->newest || (strcmp(method, "hold") && strcmp(method, "preempt") && strcmp(method, "retain")))
		status = 400;
	else if (s->f->e.fence_checked && fence < s->fence)
		status = 412;
	else if (json_object_object_get_ex(j, "ExpectedCount", &v) && json_object_get_int64(v) != s->call_seq)
		status = 409;
	else if (version == s->version && !out_of_order(s))
		status = 200;
	else if (out_of_order(s))
		status = version == s->loading_to ? 202 : 409;
	else if (s->fault.refuses_loads)
		status = 0; /* no answer, and not taken */
	else
		status = 202;
	if (s->f->j && status != 421 && status != 400) {
		memset(&r, 0, sizeof r);
		r.instance = s->instance;
		r.holder = holder;
		r.fence = fence;
		r.status = status;
		/* its sender was thawed, or the order lay unread while this server was silent: it may have been sent long ago */
		r.thawed = (s->f->thawed && fleet_ms(s->f) - s->f->thawed < s->f->thaw_ms) ||
			   (s->read_again_at && fleet_ms(s->f) - s->read_again_at < s->f->thaw_ms);
		judge_order(s->f->j, fleet_ms(s->f), &r);
	}
	s->f->orders++;
	if ((status == 202 || status == 200) && fence > s->fence)
		s->fence = fence;
	if (status == 202 && !out_of_order(s)) {
		s->call_seq++;
		s->loading_to = (int)version;
		s->method = !strcmp(method, "hold") ? 0 : !strcmp(method, "preempt") ? 1 : 2;
		if (s->method == 1)
			for (int i = arrlen(s->run) - 1; i >= 0; i--) {
				struct work *w = s->run[i];
				struct conn *x = w->c;

				if (!w->begun)
					continue;
				work_end(w, 0, 200);
				if (x)
					conn_close(x, 1);
			}
		set_going(s);
	}
	json_object_put(j);
	if (!status)
		conn_close(c, 1);
	else
		conn_answer(c, status, "", "", 0, 1);
}

static void kv_answer(struct server *s, struct conn *c, int64_t since)
{
	struct json_object *j = json_object_new_object(), *a = json_object_new_array();
	int64_t first = arrlen(s->event) ? s->event[0].number : s->last_event + 1,
		next = since > s->last_event ? s->last_event : since;

	for (int i = 0; i < arrlen(s->event); i++) {
		struct kv_event *e = &s->event[i];
		struct json_object *x;
		char sign[2] = { e->sign, 0 };

		if (e->number <= since || e->seen_at > loop_us())
			continue;
		x = json_object_new_array();
		json_object_array_add(x, json_object_new_int64(e->number));
		json_object_array_add(x, json_object_new_string(sign));
		json_object_array_add(x, json_object_new_string(e->salt));
		json_object_array_add(x, json_object_new_string(e->id));
		json_object_array_add(x, json_object_new_int(e->tokens));
		json_object_array_add(x, json_object_new_string(s->f->model));
		json_object_array_add(a, x);
		next = e->number;
	}
	json_object_object_add(j, "NodeEpoch", json_object_new_int64((int64_t)(s->epoch >> 20)));
	json_object_object_add(j, "NextToken", json_object_new_int64(next));
	json_object_object_add(j, "LostCount", json_object_new_boolean(since + 1 < first));
	json_object_object_add(j, "EventList", a);
	json_answer(c, 200, j, 1);
}

static int visible(const struct server *s, int64_t since)
{
	if (since > s->last_event)
		return 1; /* from another life */
	for (int i = arrlen(s->event) - 1; i >= 0 && s->event[i].number > since; i--)
		if (s->event[i].seen_at <= loop_us())
			return 1;
	return 0;
}

void watchers_look(void *ctx)
{
	struct server *s = ctx;

	s->watch_timer = 0;
	if (s->fault.dark)
		return;
	for (int i = arrlen(s->watcher) - 1; i >= 0; i--) {
		struct watcher w = s->watcher[i];

		if (loop_us() < w.until && !visible(s, w.since))
			continue;
		arrdel(s->watcher, i);
		kv_answer(s, w.c, w.since);
	}
	if (arrlen(s->watcher) && !s->watch_timer)
		s->watch_timer = loop_after(s->f->l, ms_us(10), watchers_look, s);
}

static void kv_events(struct server *s, struct conn *c, struct msg *m)
{
	const char *q = strstr(m->target, "SinceTime="), *wait = msg_get(m, "Wait-Ms");
	struct watcher w = { c, q ? atoll(q + 10) : 0, loop_us() };
	int ms = wait ? atoi(wait) : 0;

	if (ms > 1000)
		ms = 1000;
	if (ms < 200)
		s->f->probes++;
	if (arrlen(s->watcher) >= s->f->e.in_flight) {
		s->f->probes++;
		conn_answer(c, 429, "", "", 0, 1);
		return;
	}
	w.until += ms_us(ms);
	arrput(s->watcher, w);
	if (!s->watch_timer)
		watchers_look(s);
}

static void kv_list(struct server *s, struct conn *c)
{
	struct json_object *j = json_object_new_object(), *a = json_object_new_array();
	int64_t next = 0;

	for (int i = 0; i < arrlen(s->event); i++)
		next = s->event[i].seen_at <= loop_us() ? s->event[i].number : next;
	for (int i = 0; i < arrlen(s->part); i++) {
		struct json_object *x = json_object_new_array();

		json_object_array_add(x, json_object_new_string(s->part[i].salt));
		json_object_array_add(x, json_object_new_string(s->part[i].id));
		json_object_array_add(x, json_object_new_int(s->part[i].tokens));
		json_object_array_add(x, json_object_new_string(s->f->model));
		json_object_array_add(a, x);
	}
	s->held_ms += 5;
	s->f->probes++;
	json_object_object_add(j, "NodeEpoch", json_object_new_int64((int64_t)(s->epoch >> 20)));
	json_object_object_add(j, "NextToken", json_object_new_int64(next));
	json_object_object_add(j, "HeldCount", a);
	json_answer(c, 200, j, 1);
}

static void health(struct server *s, struct conn *c)
{
	char b[800];
	int well = s->life == LIFE_UP;

	s->f->probes++;
	if (s->fault.false_health)
		well = !well;
	if (arrlen(s->run) >= s->f->e.slots) { /* no slot is free */
		turn_away(s, c, -1, NULL, 503);
		return;
	}
	fields_of(s, NULL, b, sizeof b);
	snprintf(b + strlen(b), sizeof b - strlen(b), "X-Notchlug-Instance-Id: %s\r\n", s->instance);
	conn_answer(c, well ? 200 : 503, b, "", 0, keeps(s));
}

void request(void *ctx, struct conn *c, struct msg *m)
{
	struct server *s = ctx;
	size_t path = strcspn(m->target, "?");
	int get = !strcmp(m->method, "GET");

	if (conn_tag(c) == s)
		surplus_say(s);
	if (get && path == 10 && !strncmp(m->target, "/kv-events", path))
		kv_events(s, c, m);
	else if (get && !strcmp(m->target, "/kv-list"))
		kv_list(s, c);
	else if (s->is_store)
		conn_answer(c, 404, "", "", 0, 1);
	else if (get && !strcmp(m->target, "/health"))
		health(s, c);
	else if (get && !strcmp(m->target, "/report"))
		report(s, c);
	else if (!strcmp(m->method, "POST") && !strcmp(m->target, "/order"))
		order(s, c, m);
	else
		run_request(s, c, m);
}

/* Most drop a request when its connection closes; some go on. */
static void left(struct work *w)
{
	if (stand_unit(&w->s->f->rng) >= w->s->fault.stubborn) {
		work_end(w, -1, 0);
		return;
	}
	conn_set_tag(w->c, NULL);
	w->c = NULL;
	w->lost = 1;
	w->garbage = w->grey = w->surplus = w->break_at = 0;
}

void gone(void *ctx, struct conn *c, enum conn_end how)
{
	struct server *s = ctx;
	struct work *w = conn_tag(c);

	(void)how;
	for (int i = arrlen(s->watcher) - 1; i >= 0; i--)
		if (s->watcher[i].c == c)
			arrdel(s->watcher, i);
	for (int i = 0; w && i < arrlen(s->run); i++)
		if (s->run[i] == w) {
			left(w);
			return;
		}
	for (int i = 0; w && i < arrlen(s->wait); i++)
		if (s->wait[i] == w) {
			left(w);
			return;
		}
	conn_set_tag(c, NULL);
}
