/* The operator: sends configurations and names weights as the pages tell, races, errs, and reads back at the
 * end. */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "platform_run.h"

enum {
	LOST_AFTER_MS = 30, /* a connection whose answer is lost is closed by then */
	MAX_LOST = 3        /* answers to one naming: what is acknowledged can still be so within AckMs */
};

struct queued_change {
	enum change what;
	int modify;
};
enum submission_kind { SUBMIT_CONFIG, SUBMIT_WEIGHTS, SUBMIT_READ };
struct submission {
	struct operator* operator;
	enum submission_kind what;
	int config_index, redirects, attempts, other_errors, is_unclear, is_unqueued, weights, is_lost,
	    loss_count;
	int64_t base_version, version, started_at_ms, read_from;
	char *body, *path, fields[120], address[64];
	struct json_object *document; /* what stands once it is taken; NULL: nothing valid */
	char added[96], removed[96];
	double pause_ms;
};

struct operator
{
	struct run *run;
	struct json_object *current; /* acknowledged */
	int64_t version, next_version;
	struct submission **in_flight; /* stb arrays */
	struct queued_change *queue;
	int acked_count, keys, routes, weights_acked, read_done, closed;
	char added[96], removed[96];
	int splits;
	uint64_t rng, change_index; /* what it changes; which of the planned changes comes next */
	double loss_ratio;          /* the share of answers to namings that are lost on their way */
	char leader[64];            /* who acknowledged last */
};

static void send_attempt(void *ctx);
static void send_next(struct operator* operator);

static struct json_object *clone(struct json_object *json)
{
	return json_tokener_parse(json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
}

static struct json_object *json_member(struct json_object *json, const char *key)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(json, key, &v);
	return v;
}

static const char *name_of(struct json_object *json)
{
	struct json_object *v = json_member(json, "Name");

	return v ? json_object_get_string(v) : "";
}

static void submission_free(struct submission *submission)
{
	json_object_put(submission->document);
	free(submission->body);
	free(submission->path);
	free(submission);
}

static const char *pick_node(struct operator* operator, int other)
{
	struct run *run = operator->run;
	int n = 0, k;

	for (int i = 0; i < run->machine_count; i++)
		n += run->machines[i].is_core && run->machines[i].is_listed;
	if (!n)
		return "127.0.0.1:1";
	k = (int)(emulator_random(&run->rng) % (uint64_t)n);
	(void)other;
	for (int i = 0; i < run->machine_count; i++)
		if (run->machines[i].is_core && run->machines[i].is_listed && k-- == 0)
			return run->machines[i].control_address;
	return "127.0.0.1:1";
}

static void submission_over(struct submission *submission)
{
	struct operator* operator= submission->operator;

	for (int i = 0; i < arrlen(operator->in_flight); i++)
		if (operator->in_flight[i] == submission) {
			arrdel(operator->in_flight, i);
			break;
		}
	submission_free(submission);
	if (!operator->closed)
		send_next(operator);
}

static void retry_later(struct submission *submission)
{
	submission->redirects = 0;
	snprintf(submission->address, sizeof submission->address, "%s", pick_node(submission->operator, 1));
	loop_after(submission->operator->run->loop, ms_us(submission->pause_ms), send_attempt, submission);
	submission->pause_ms = submission->pause_ms < 1000 ? submission->pause_ms * 1.5 : 1000;
}

static void on_answer(void *ctx, int status, const struct http_message *message)
{
	struct submission *s = ctx;
	struct operator* operator= s->operator;
	struct run *run = operator->run;
	const char *to = http_message_field(message, "Location");
	int64_t now = run_ms(run);

	if (run->verbose)
		run_log(run, "operator: %s %lld at %s: %d", s->path, (long long)s->version, s->address,
			status);
	if (operator->closed) {
		submission_over(s);
		return;
	}
	if (s->is_lost) {
		retry_later(s);
		return;
	}
	if (status == 307 && to && s->redirects < 2) {
		const char *p = strstr(to, "://");
		size_t n;

		p = p ? p + 3 : to;
		n = strcspn(p, "/");
		if (n && n < sizeof s->address) {
			s->redirects++;
			memcpy(s->address, p, n);
			s->address[n] = 0;
			send_attempt(s);
			return;
		}
	}
	if (s->what == SUBMIT_READ) {
		if (status == 200) {
			char *t = strndup(message->body ? message->body : "", message->body_length);

			checker_record_read_back(run->checker, now, t);
			free(t);
		}
		if ((status == 200 && now > s->started_at_ms + run->bounds.contact_ms) ||
		    now > s->started_at_ms + 5 * run->bounds.contact_ms) {
			if (status != 200)
				checker_record_read_back(run->checker, now, NULL);
			operator->read_done = 1;
			submission_over(s);
			return;
		}
		s->pause_ms = 200;
		retry_later(s);
		return;
	}
	if (status >= 200 && status < 300) {
		snprintf(operator->leader, sizeof operator->leader, "%s", s->address);
		if (s->what == SUBMIT_WEIGHTS) {
			checker_record_target_version(run->checker, now, s->weights, 1);
			operator->weights_acked = s->weights;
			run_log(run, "weights %d are acknowledged after %lld ms", s->weights,
				(long long)(now - s->started_at_ms));
		} else {
			checker_record_config_outcome(run->checker, now, s->config_index,
						      CONFIG_OUTCOME_ACKED);
			operator->acked_count++;
			if (run->verbose || now - s->started_at_ms > 1000)
				run_log(run, "configuration %lld is acknowledged after %lld ms",
					(long long)s->version, (long long)(now - s->started_at_ms));
			if (s->document && s->version > operator->version) {
				json_object_put(operator->current);
				operator->current = json_object_get(s->document);
				operator->version = s->version;
				if (s->added[0])
					snprintf(operator->added, sizeof operator->added, "%s", s->added);
				if (s->removed[0])
					snprintf(operator->removed, sizeof operator->removed, "%s",
						 s->removed);
			}
		}
		submission_over(s);
		return;
	}
	if (status == 400 || status == 409 || status == 412 || status == 413 || status == 422 ||
	    (status >= 400 && status < 500 && status != 408 && status != 429 && ++s->other_errors >= 3)) {
		if (s->what == SUBMIT_WEIGHTS) { /* it goes on until it is taken */
			retry_later(s);
			return;
		}
		if (!s->is_unclear) /* else it may have been taken, and overtaken since */
			checker_record_config_outcome(run->checker, now, s->config_index,
						      CONFIG_OUTCOME_REFUSED);
		if (s->document && !s->is_unqueued)
			run_log(run, "configuration %lld on %lld was refused with %d: %.120s",
				(long long)s->version, (long long)s->base_version, status,
				message && message->body ? message->body : "");
		submission_over(s);
		return;
	}
	if (!status || status >= 500)
		s->is_unclear = 1;
	retry_later(s);
}

static void send_attempt(void *ctx)
{
	struct submission *s = ctx;
	int wait = 1000 + (s->body ? (int)(strlen(s->body) / 200) : 0);

	if (s->operator->closed) {
		submission_over(s);
		return;
	}
	s->attempts++;
	s->is_lost =
	    s->what == SUBMIT_WEIGHTS && s->loss_count < MAX_LOST &&
	    s->operator->loss_ratio> 0 && emulator_random_unit(&s->operator->rng) < s->operator->loss_ratio;
	s->loss_count += s->is_lost;
	if (s->is_lost)
		wait = 1 + (int)(emulator_random(&s->operator->rng) % LOST_AFTER_MS);
	http_call(s->operator->run->loop, s->address, s->what == SUBMIT_READ ? "GET" : "POST", s->path,
		  s->fields, s->body, wait, on_answer, s);
}

static void operator_send(struct submission *submission)
{
	struct operator* operator= submission->operator;

	submission->started_at_ms = run_ms(operator->run);
	submission->pause_ms = 100;
	snprintf(submission->address, sizeof submission->address, "%s", pick_node(operator, 0));
	arrput(operator->in_flight, submission);
	send_attempt(submission);
}

static struct submission *new_submission(struct operator* operator, enum submission_kind what,
					 const char *path, const char *body)
{
	struct submission *s = calloc(1, sizeof *s);

	s->operator= operator;
	s->what = what;
	s->path = strdup(path);
	s->body = body ? strdup(body) : NULL;
	return s;
}

/* The whole configuration goes out, or what differs; invalid: known to be so. */
static struct submission *operator_config_submission(struct operator* operator, struct json_object * full,
						     const char *text, const char *path, int64_t base,
						     int invalid)
{
	struct submission *s = new_submission(operator, SUBMIT_CONFIG, path, text);
	struct parsed_config *config =
	    full ? parsed_config_read(json_object_to_json_string_ext(full, JSON_C_TO_STRING_PLAIN)) : NULL;

	s->base_version = base;
	s->version = config ? config->version : 0;
	s->document = full && !invalid ? json_object_get(full) : NULL;
	snprintf(s->fields, sizeof s->fields, "X-Notchlug-Base-Version: %lld\r\n", (long long)base);
	s->config_index =
	    checker_record_config(operator->run->checker, run_ms(operator->run), config, base, invalid);
	return s;
}

/* ---- what it wants ---- */

static struct json_object *make_route(struct operator* operator, const char * name, const char *prefix,
				      const struct traffic_class *class)
{
	struct json_object *r = json_object_new_object();

	json_object_object_add(r, "Name", json_object_new_string(name));
	json_object_object_add(r, "HostName", json_object_new_string(operator->run->sheet->host));
	json_object_object_add(r, "PathPrefix", json_object_new_string(prefix));
	json_object_object_add(r, "RouteType", json_object_new_string("streaming"));
	json_object_object_add(r, "TimeoutMs", json_object_new_int(class->deadline_ms));
	json_object_object_add(r, "TargetMs", json_object_new_int(class->latency_target_ms));
	json_object_object_add(r, "Priority", json_object_new_int(class->priority));
	json_object_object_add(r, "ServiceName", json_object_new_string(operator->run->sheet->service));
	json_object_object_add(r, "MaxAttempts", json_object_new_int(class->attempts));
	json_object_object_add(r, "PublicAccess", json_object_new_boolean(0));
	json_object_object_add(r, "SessionAffinity", json_object_new_boolean(1));
	json_object_object_add(r, "Resumable", json_object_new_boolean(class->resumable));
	json_object_object_add(r, "GapTargetMs", json_object_new_int(class->gap_target_ms));
	return r;
}

static struct json_object *make_tenant(int i)
{
	struct json_object *t = json_object_new_object(), *k = json_object_new_array();
	char b[48];

	snprintf(b, sizeof b, "tenant-%d", i);
	json_object_object_add(t, "Name", json_object_new_string(b));
	snprintf(b, sizeof b, "key%02d-0-abcdefgh", i);
	json_object_array_add(k, json_object_new_string(b));
	json_object_object_add(t, "AccessKeys", k);
	json_object_object_add(t, "Priority", json_object_new_int(i % 3));
	json_object_object_add(t, "Isolated", json_object_new_boolean(i == 1));
	return t;
}

static struct json_object *operator_first_config(struct operator* operator)
{
	struct run *run = operator->run;
	struct json_object *j = json_object_new_object(), *a = json_object_new_array(), *s, *json, *ms, *m;
	char name[48], at[48];

	json_object_object_add(j, "ConfigVersion", json_object_new_int64(3));
	for (int i = 0; i < CLASS_COUNT; i++) {
		snprintf(name, sizeof name, "r-%d", i);
		json_object_array_add(
		    a, make_route(operator, name, run->sheet->classes[i].prefix, &run->sheet->classes[i]));
	}
	json_object_object_add(j, "RouteList", a);
	a = json_object_new_array();
	s = json_object_new_object();
	json_object_object_add(s, "Name", json_object_new_string(run->sheet->service));
	json_object_object_add(s, "HealthPath", json_object_new_string("/health"));
	json_object_object_add(s, "MaxConnections", json_object_new_int(run->fleet.engine.max_conns));
	json_object_object_add(s, "Protocol", json_object_new_string("h1"));
	json_object_object_add(s, "TlsMode", json_object_new_boolean(0));
	json = json_object_new_object();
	json_object_object_add(json, "SlotCount", json_object_new_int(run->fleet.engine.slots));
	json_object_object_add(json, "KvCapacity", json_object_new_int(run->fleet.engine.kv_capacity_tokens));
	json_object_object_add(json, "KvTokenBytes",
			       json_object_new_int(run->fleet.engine.kv_bytes_per_token));
	json_object_object_add(json, "LinkMbps", json_object_new_double(run->fleet.engine.link_mbps));
	json_object_object_add(json, "TokenStride", json_object_new_int(run->fleet.engine.token_stride));
	json_object_object_add(json, "MaxInFlight", json_object_new_int(run->fleet.engine.in_flight));
	ms = json_object_new_array();
	m = json_object_new_object();
	json_object_object_add(m, "Name", json_object_new_string(run->sheet->model));
	json_object_array_add(ms, m);
	json_object_object_add(json, "Models", ms);
	json_object_object_add(s, "EngineType", json);
	json_object_array_add(a, s);
	s = json_object_new_object();
	snprintf(at, sizeof at, "%s.250:8680", run->address_prefix);
	json_object_object_add(s, "Name", json_object_new_string(run->sheet->store));
	json_object_object_add(s, "KvStoreAddress", json_object_new_string(at));
	json_object_object_add(s, "Zone", json_object_new_string(run->sheet->zone[1]));
	json_object_object_add(s, "KvCapacity", json_object_new_int(3999450));
	json_object_object_add(s, "LinkMbps", json_object_new_double(98000));
	json_object_object_add(s, "MaxInFlight", json_object_new_int(run->fleet.engine.in_flight));
	json_object_array_add(a, s);
	json_object_object_add(j, "ServiceList", a);
	s = json_object_new_object();
	json_object_object_add(s, "MaxHeaderBytes", json_object_new_int(16384));
	json_object_object_add(s, "MaxBodyBytes", json_object_new_int(4194304));
	json_object_object_add(s, "HeaderTimeoutMs", json_object_new_int(3000));
	json_object_object_add(s, "IdleTimeoutMs", json_object_new_int(15000));
	json_object_object_add(j, "Limits", s);
	a = json_object_new_array();
	for (int i = 0; i < run->sheet->tenants; i++)
		json_object_array_add(a, make_tenant(i));
	json_object_object_add(j, "TenantList", a);
	return j;
}

void operator_submit_first(struct operator* operator)
{
	struct json_object *json = operator_first_config(operator);
	struct submission *s =
	    operator_config_submission(operator, json,
				       json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN),
				       "/configuration/replace", 0, 0);

	json_object_put(json);
	operator->next_version = 5;
	operator_send(s);
}

static int64_t next_version(struct operator* operator)
{
	int64_t v = (operator->next_version > operator->version ? operator->next_version : operator->version) + 1 + (int64_t)(emulator_random(&operator->rng) % 3);

	operator->next_version = v;
	return v;
}

static void put_item(struct json_object *list, struct json_object *item)
{
	for (size_t i = 0; i < json_object_array_length(list); i++)
		if (!strcmp(name_of(json_object_array_get_idx(list, i)), name_of(item))) {
			json_object_array_put_idx(list, i, item);
			return;
		}
	json_object_array_add(list, item);
}

static void put_split(struct json_object *json, const char *service_a, const char *service_b, int weight_a,
		      int weight_b)
{
	struct json_object *list = json_object_new_array();
	const char *name[] = { service_a, service_b };
	int w[] = { weight_a, weight_b };

	json_object_object_del(json, "ServiceName");
	json_object_object_del(json, "TrafficSplit");
	for (int i = 0; i < 2; i++) {
		struct json_object *x = json_object_new_object();

		json_object_object_add(x, "ServiceName", json_object_new_string(name[i]));
		json_object_object_add(x, "ShareWeight", json_object_new_int(w[i]));
		json_object_array_add(list, x);
	}
	json_object_object_add(json, "TrafficSplit", list);
}

/* Changes a copy of what stands; the items touched go to up, the names removed to gone. */
static struct json_object *operator_make_change(struct operator* operator, enum change what,
						struct submission **out, int modify)
{
	struct run *run = operator->run;
	struct json_object *json = clone(operator->current), *routes = json_member(json, "RouteList"),
			   *tenants = json_member(json, "TenantList"), *x, *body, *up, *removal, *a;
	char name[64], prefix[96], added[96] = "", removed[96] = "";
	int i = (int)(emulator_random(&operator->rng) % CLASS_COUNT);
	struct submission *s;

	body = json_object_new_object();
	up = json_object_new_object();
	removal = json_object_new_object();
	a = json_object_new_array();
	json_object_object_add(json, "ConfigVersion", json_object_new_int64(next_version(operator)));
	json_object_object_add(body, "ConfigVersion", json_object_new_int64(operator->next_version));
	switch (what) {
	case CHANGE_SPLIT:
	case CHANGE_MOVE:
		x = json_object_array_get_idx(routes, (size_t)i);
		if (what == CHANGE_SPLIT) {
			put_split(x, run->sheet->service, run->sheet->service, 10 + operator->splits++ % 80,
				  10);
		} else {
			json_object_object_del(x, "TrafficSplit");
			json_object_object_add(x, "ServiceName", json_object_new_string(run->sheet->service));
		}
		json_object_array_add(a, json_object_get(x));
		json_object_object_add(up, "RouteList", a);
		break;
	case CHANGE_TIMEOUT:
		x = json_object_array_get_idx(routes, (size_t)i);
		json_object_object_add(
		    x, "TimeoutMs",
		    json_object_new_int(run->sheet->classes[i].deadline_ms +
					10 * (int)(1 + emulator_random(&operator->rng) % 50)));
		json_object_array_add(a, json_object_get(x));
		json_object_object_add(up, "RouteList", a);
		break;
	case CHANGE_ROUTE_ON:
		snprintf(name, sizeof name, "r-more-%d", operator->routes);
		snprintf(prefix, sizeof prefix, "/more%d/", operator->routes++);
		snprintf(added, sizeof added, "%s", prefix);
		x = make_route(operator, name, prefix, &run->sheet->classes[2]);
		json_object_array_add(a, json_object_get(x));
		put_item(routes, x);
		json_object_object_add(up, "RouteList", a);
		break;
	case CHANGE_ROUTE_OFF:
		for (size_t k = 0; k < json_object_array_length(routes); k++) {
			x = json_object_array_get_idx(routes, k);
			if (strncmp(name_of(x), "r-more-", 7))
				continue;
			snprintf(removed, sizeof removed, "%s",
				 json_object_get_string(json_member(x, "PathPrefix")));
			json_object_array_add(a, json_object_new_string(name_of(x)));
			json_object_array_del_idx(routes, k, 1);
			break;
		}
		json_object_object_add(removal, "RouteList", a);
		break;
	case CHANGE_KEY_ON:
	case CHANGE_KEY_OFF: {
		struct json_object *keys;

		i = 2 + operator->keys %(run->sheet->tenants - 2);
		x = json_object_array_get_idx(tenants, (size_t)i);
		keys = json_member(x, "AccessKeys");
		if (what == CHANGE_KEY_ON) {
			snprintf(name, sizeof name, "key%02d-%d-abcdefgh", i, ++operator->keys);
			json_object_array_add(keys, json_object_new_string(name));
		} else if (json_object_array_length(keys) > 1) {
			json_object_array_del_idx(keys, 0, 1);
		}
		json_object_array_add(a, json_object_get(x));
		json_object_object_add(up, "TenantList", a);
		break;
	}
	case CHANGE_ISOLATION:
		i = 2 + (int)(emulator_random(&operator->rng) % (uint64_t)(run->sheet->tenants - 2));
		x = json_object_array_get_idx(tenants, (size_t)i);
		json_object_object_add(
		    x, "Isolated",
		    json_object_new_boolean(!json_object_get_boolean(json_member(x, "Isolated"))));
		json_object_array_add(a, json_object_get(x));
		json_object_object_add(up, "TenantList", a);
		break;
	case CHANGE_BIG:
		for (int k = 0; k < 200; k++) {
			snprintf(name, sizeof name, "r-big-%d", k);
			snprintf(prefix, sizeof prefix, "/big%d/", k);
			x = make_route(operator, name, prefix, &run->sheet->classes[2]);
			json_object_array_add(a, json_object_get(x));
			put_item(routes, x);
		}
		json_object_object_add(up, "RouteList", a);
		break;
	case CHANGE_BIG_OFF:
	case CHANGE_LIMITS:
	case CHANGE_KEY_MORE:
	case CHANGE_TENANT:
	case CHANGE_PRIORITY:
	case CHANGE_ATTEMPTS:
	case CHANGE_MAX_CONNECTIONS:
		planned_change(json, up, removal, what, operator->change_index++);
		json_object_put(a);
		break;
	default: /* routes that nothing goes to */
		snprintf(name, sizeof name, "r-idle-%d", operator->routes);
		snprintf(prefix, sizeof prefix, "/idle%d/", operator->routes++);
		x = make_route(operator, name, prefix, &run->sheet->classes[0]);
		json_object_array_add(a, json_object_get(x));
		put_item(routes, x);
		json_object_object_add(up, "RouteList", a);
		break;
	}
	json_object_object_add(body, "Upsert", up);
	json_object_object_add(body, "Remove", removal);
	s = operator_config_submission(
	    operator, json, json_object_to_json_string_ext(modify ? body : json, JSON_C_TO_STRING_PLAIN),
	    modify ? "/configuration/modify" : "/configuration/replace", operator->version, 0);
	snprintf(s->added, sizeof s->added, "%s", added);
	snprintf(s->removed, sizeof s->removed, "%s", removed);
	json_object_put(body);
	*out = s;
	return json;
}

static void send_next(struct operator* operator)
{
	struct submission *s;
	struct queued_change queued;

	if (!arrlen(operator->queue) || arrlen(operator->in_flight) || !operator->current)
		return;
	queued = operator->queue[0];
	arrdel(operator->queue, 0);
	json_object_put(operator_make_change(operator, queued.what, &s, queued.modify));
	operator_send(s);
}

void operator_change(struct operator* operator, enum change what, int modify)
{
	struct queued_change queued = { what,
					modify }; /* made when its turn comes, on top of what stands then */

	arrput(operator->queue, queued);
	send_next(operator);
}

void operator_race(struct operator* operator)
{
	struct submission *s[2];

	if (!operator->current)
		return;
	for (int i = 0; i < 2; i++) {
		json_object_put(
		    operator_make_change(operator, i ? CHANGE_TIMEOUT : CHANGE_ROUTE_ON, &s[i], i));
		s[i]->is_unqueued = 1;
	}
	for (int i = 0; i < 2; i++)
		operator_send(s[i]);
}

void operator_invalid(struct operator* operator, enum invalid what)
{
	struct json_object *json, *routes, *tenants, *x;
	struct submission *s;
	int64_t base = operator->version;
	char *text;

	if (!operator->current)
		return;
	json = clone(operator->current);
	routes = json_member(json, "RouteList");
	tenants = json_member(json, "TenantList");
	json_object_object_add(json, "ConfigVersion",
			       json_object_new_int64(what == INVALID_OLD ? base : next_version(operator)));
	x = json_object_array_get_idx(routes, 0);
	switch (what) {
	case INVALID_SERVICE:
		json_object_object_del(x, "TrafficSplit");
		json_object_object_add(x, "ServiceName", json_object_new_string("nowhere"));
		break;
	case INVALID_DUPLICATE_PREFIX:
		json_object_array_add(routes,
				      make_route(operator, "r-twin", operator->run->sheet->classes[0].prefix,
						 &operator->run->sheet->classes[0]));
		break;
	case INVALID_WEIGHT:
		put_split(x, operator->run->sheet->service, operator->run->sheet->service, 0, 0);
		break;
	case INVALID_TIMEOUT:
		json_object_object_add(x, "TimeoutMs", json_object_new_int(0));
		break;
	case INVALID_KEY:
		json_object_array_add(
		    json_member(json_object_array_get_idx(tenants, 0), "AccessKeys"),
		    json_object_get(json_object_array_get_idx(
			json_member(json_object_array_get_idx(tenants, 1), "AccessKeys"), 0)));
		break;
	default:
		break;
	}
	text = strdup(json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	if (what == INVALID_CUT)
		text[strlen(text) / 2] = 0;
	s = operator_config_submission(operator, what == INVALID_CUT ? NULL : json, text,
				       "/configuration/replace", base, 1);
	s->is_unqueued = 1;
	free(text);
	json_object_put(json);
	operator_send(s);
}

void operator_weights(struct operator* operator, int version)
{
	char b[200];
	struct submission *s;

	snprintf(b, sizeof b, "{\"ModelName\":\"%s\",\"ConfigVersion\":%d}", operator->run->sheet->model,
		 version);
	s = new_submission(operator, SUBMIT_WEIGHTS, "/version-put", b);
	s->weights = version;
	s->version = version;
	if (version > operator->run->fleet.newest_version)
		operator->run->fleet.newest_version = version;
	checker_record_target_version(operator->run->checker, run_ms(operator->run), version, 0);
	operator_send(s);
}

void operator_read_back(struct operator* operator)
{
	operator_send(new_submission(operator, SUBMIT_READ, "/configuration/retrieve", NULL));
}

int operator_idle(const struct operator* operator)
{
	return !arrlen(operator->in_flight) && !arrlen(operator->queue);
}
int operator_acked(const struct operator* operator)
{
	return operator->acked_count;
}
void operator_set_loss(struct operator* operator, double share)
{
	operator->loss_ratio = share;
}
const char *operator_leader(const struct operator* operator)
{
	return operator->leader;
}
int operator_weights_acked(const struct operator* operator)
{
	return operator->weights_acked;
}
int operator_read_done(const struct operator* operator)
{
	return operator->read_done;
}
int operator_idle_timeout(const struct operator* operator)
{
	struct json_object *idle = operator->current ? json_member(json_member(operator->current, "Limits"),
								   "IdleTimeoutMs")
						     : NULL;

	return idle ? json_object_get_int(idle) : 0;
}

const char *operator_added(const struct operator* operator)
{
	return operator->added[0] ? operator->added : NULL;
}
const char *operator_removed(const struct operator* operator)
{
	return operator->removed[0] ? operator->removed : NULL;
}

const char *operator_second_key(const struct operator* operator)
{
	struct json_object *tenants = operator->current ? json_member(operator->current, "TenantList") : NULL;

	for (size_t i = 0; tenants && i < json_object_array_length(tenants); i++) {
		struct json_object *keys = json_member(json_object_array_get_idx(tenants, i), "AccessKeys");

		if (json_object_array_length(keys) > 1)
			return json_object_get_string(json_object_array_get_idx(keys, 1));
	}
	return NULL;
}

struct operator* operator_open(struct run *run)
{
	struct operator* operator= calloc(1, sizeof *operator);

	operator->run = run;
	operator->rng = emulator_hash(run->seed, "operator", 8);
	operator->weights_acked = 1;
	return operator;
}

/* What is under way ends by itself within its second. */
void operator_close(struct operator* operator)
{
	int64_t until = run_ms(operator->run) + 5000;

	operator->closed = 1;
	while (arrlen(operator->in_flight) && run_ms(operator->run) < until)
		loop_until(operator->run->loop, ms_us(20), NULL, NULL);
	arrfree(operator->in_flight);
	arrfree(operator->queue);
	json_object_put(operator->current);
	free(operator);
}
