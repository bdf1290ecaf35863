/* The operator: sends configurations and names weights as the pages tell, races, errs, and reads back at the end. */
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "stand_run.h"

enum {
	LOST_AFTER_MS = 30, /* a connection whose answer is lost is closed by then */
	MOST_LOST = 3       /* answers to one naming: what is acknowledged can still be so within AckMs */
};

struct want {
	enum change what;
	int modify;
};
enum what { SENDS_CONFIG, SENDS_WEIGHTS, READS };
struct sending {
	struct operator* o;
	enum what what;
	int cfg, hops, tries, others, unclear, alone, weights, lost, losses;
	int64_t base, version, began, read_from;
	char *body, *path, fields[120], at[64];
	struct json_object *full; /* what stands once it is taken; NULL: nothing valid */
	char added[96], removed[96];
	double pause;
};

struct operator
{
	struct run *r;
	struct json_object *now; /* acknowledged */
	int64_t version, next;
	struct sending **going; /* stb arrays */
	struct want *queue;
	int acked, keys, routes, weights_acked, read_done, closed;
	char added[96], removed[96];
	int splits;
	uint64_t rng, turn; /* what it changes; which of the planned changes comes next */
	double lose;        /* the share of answers to namings that are lost on their way */
	char leader[64];    /* who acknowledged last */
};

static void attempt(void *ctx);
static void next(struct operator* o);

static struct json_object *clone(struct json_object *j)
{
	return json_tokener_parse(json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
}

static struct json_object *member(struct json_object *j, const char *k)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(j, k, &v);
	return v;
}

static const char *name_of(struct json_object *j)
{
	struct json_object *v = member(j, "Name");

	return v ? json_object_get_string(v) : "";
}

static void free_sending(struct sending *s)
{
	json_object_put(s->full);
	free(s->body);
	free(s->path);
	free(s);
}

static const char *pick_node(struct operator* o, int other)
{
	struct run *r = o->r;
	int n = 0, k;

	for (int i = 0; i < r->nm; i++)
		n += r->m[i].core && r->m[i].listed;
	if (!n)
		return "127.0.0.1:1";
	k = (int)(stand_rand(&r->rng) % (uint64_t)n);
	(void)other;
	for (int i = 0; i < r->nm; i++)
		if (r->m[i].core && r->m[i].listed && k-- == 0)
			return r->m[i].control;
	return "127.0.0.1:1";
}

static void over(struct sending *s)
{
	struct operator* o = s->o;

	for (int i = 0; i < arrlen(o->going); i++)
		if (o->going[i] == s) {
			arrdel(o->going, i);
			break;
		}
	free_sending(s);
	if (!o->closed)
		next(o);
}

static void again_later(struct sending *s)
{
	s->hops = 0;
	snprintf(s->at, sizeof s->at, "%s", pick_node(s->o, 1));
	loop_after(s->o->r->l, ms_us(s->pause), attempt, s);
	s->pause = s->pause < 1000 ? s->pause * 1.5 : 1000;
}

static void answer(void *ctx, int status, const struct msg *m)
{
	struct sending *s = ctx;
	struct operator* o = s->o;
	struct run *r = o->r;
	const char *to = msg_get(m, "Location");
	int64_t now = run_ms(r);

	if (r->verbose)
		run_say(r, "operator: %s %lld at %s: %d", s->path, (long long)s->version, s->at, status);
	if (o->closed) {
		over(s);
		return;
	}
	if (s->lost) {
		again_later(s);
		return;
	}
	if (status == 307 && to && s->hops < 2) {
		const char *p = strstr(to, "://");
		size_t n;

		p = p ? p + 3 : to;
		n = strcspn(p, "/");
		if (n && n < sizeof s->at) {
			s->hops++;
			memcpy(s->at, p, n);
			s->at[n] = 0;
			attempt(s);
			return;
		}
	}
	if (s->what == READS) {
		if (status == 200) {
			char *t = strndup(m->body ? m->body : "", m->len);

			judge_read(r->j, now, t);
			free(t);
		}
		if ((status == 200 && now > s->began + r->b.contact) || now > s->began + 5 * r->b.contact) {
			if (status != 200)
				judge_read(r->j, now, NULL);
			o->read_done = 1;
			over(s);
			return;
		}
		s->pause = 200;
		again_later(s);
		return;
	}
	if (status >= 200 && status < 300) {
		snprintf(o->leader, sizeof o->leader, "%s", s->at);
		if (s->what == SENDS_WEIGHTS) {
			judge_named(r->j, now, s->weights, 1);
			o->weights_acked = s->weights;
			run_say(r, "weights %d are acknowledged after %lld ms", s->weights, (long long)(now - s->began));
		} else {
			judge_cfg_fate(r->j, now, s->cfg, CFG_ACKED);
			o->acked++;
			if (r->verbose || now - s->began > 1000)
				run_say(r, "configuration %lld is acknowledged after %lld ms", (long long)s->version,
					(long long)(now - s->began));
			if (s->full && s->version > o->version) {
				json_object_put(o->now);
				o->now = json_object_get(s->full);
				o->version = s->version;
				if (s->added[0])
					snprintf(o->added, sizeof o->added, "%s", s->added);
				if (s->removed[0])
					snprintf(o->removed, sizeof o->removed, "%s", s->removed);
			}
		}
		over(s);
		return;
	}
	if (status == 400 || status == 409 || status == 412 || status == 413 || status == 422 ||
	    (status >= 400 && status < 500 && status != 408 && status != 429 && ++s->others >= 3)) {
		if (s->what == SENDS_WEIGHTS) { /* it goes on until it is taken */
			again_later(s);
			return;
		}
		if (!s->unclear) /* else it may have been taken, and overtaken since */
			judge_cfg_fate(r->j, now, s->cfg, CFG_REFUSED);
		if (s->full && !s->alone)
			run_say(r, "configuration %lld on %lld was refused with %d: %.120s", (long long)s->version,
				(long long)s->base, status, m && m->body ? m->body : "");
		over(s);
		return;
	}
	if (!status || status >= 500)
		s->unclear = 1;
	again_later(s);
}

static void attempt(void *ctx)
{
	struct sending *s = ctx;
	int wait = 1000 + (s->body ? (int)(strlen(s->body) / 200) : 0);

	if (s->o->closed) {
		over(s);
		return;
	}
	s->tries++;
	s->lost = s->what == SENDS_WEIGHTS && s->losses < MOST_LOST && s->o->lose > 0 && stand_unit(&s->o->rng) < s->o->lose;
	s->losses += s->lost;
	if (s->lost)
		wait = 1 + (int)(stand_rand(&s->o->rng) % LOST_AFTER_MS);
	call_once(s->o->r->l, s->at, s->what == READS ? "GET" : "POST", s->path, s->fields, s->body, wait, answer, s);
}

static void send_off(struct sending *s)
{
	struct operator* o = s->o;

	s->began = run_ms(o->r);
	s->pause = 100;
	snprintf(s->at, sizeof s->at, "%s", pick_node(o, 0));
	arrput(o->going, s);
	attempt(s);
}

static struct sending *sending(struct operator* o, enum what what, const char *path, const char *body)
{
	struct sending *s = calloc(1, sizeof *s);

	s->o = o;
	s->what = what;
	s->path = strdup(path);
	s->body = body ? strdup(body) : NULL;
	return s;
}

/* The whole configuration goes out, or what differs; invalid: known to be so. */
static struct sending *config_sending(struct operator* o, struct json_object *full, const char *text, const char *path,
				      int64_t base, int invalid)
{
	struct sending *s = sending(o, SENDS_CONFIG, path, text);
	struct cfg *c = full ? cfg_read(json_object_to_json_string_ext(full, JSON_C_TO_STRING_PLAIN)) : NULL;

	s->base = base;
	s->version = c ? c->version : 0;
	s->full = full && !invalid ? json_object_get(full) : NULL;
	snprintf(s->fields, sizeof s->fields, "X-Notchlug-Base-Version: %lld\r\n", (long long)base);
	s->cfg = judge_cfg(o->r->j, run_ms(o->r), c, base, invalid);
	return s;
}

/* ---- what it wants ---- */

static struct json_object *route(struct operator* o, const char *name, const char *prefix, const struct class_set *c)
{
	struct json_object *r = json_object_new_object();

	json_object_object_add(r, "Name", json_object_new_string(name));
	json_object_object_add(r, "HostName", json_object_new_string(o->r->sheet->host));
	json_object_object_add(r, "PathPrefix", json_object_new_string(prefix));
	json_object_object_add(r, "RouteType", json_object_new_string("streaming"));
	json_object_object_add(r, "TimeoutMs", json_object_new_int(c->deadline));
	json_object_object_add(r, "TargetMs", json_object_new_int(c->aim));
	json_object_object_add(r, "Priority", json_object_new_int(c->priority));
	json_object_object_add(r, "ServiceName", json_object_new_string(o->r->sheet->service));
	json_object_object_add(r, "MaxAttempts", json_object_new_int(c->attempts));
	json_object_object_add(r, "PublicAccess", json_object_new_boolean(0));
	json_object_object_add(r, "SessionAffinity", json_object_new_boolean(1));
	json_object_object_add(r, "Resumable", json_object_new_boolean(c->resumable));
	json_object_object_add(r, "GapTargetMs", json_object_new_int(c->gap));
	return r;
}

static struct json_object *tenant(int i)
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

static struct json_object *first(struct operator* o)
{
	struct run *r = o->r;
	struct json_object *j = json_object_new_object(), *a = json_object_new_array(), *s, *e, *ms, *m;
	char name[48], at[48];

	json_object_object_add(j, "ConfigVersion", json_object_new_int64(3));
	for (int i = 0; i < CLASSES; i++) {
		snprintf(name, sizeof name, "r-%d", i);
		json_object_array_add(a, route(o, name, r->sheet->c[i].prefix, &r->sheet->c[i]));
	}
	json_object_object_add(j, "RouteList", a);
	a = json_object_new_array();
	s = json_object_new_object();
	json_object_object_add(s, "Name", json_object_new_string(r->sheet->service));
	json_object_object_add(s, "HealthPath", json_object_new_string("/health"));
	json_object_object_add(s, "MaxConnections", json_object_new_int(r->f.e.max_conns));
	json_object_object_add(s, "Protocol", json_object_new_string("h1"));
	json_object_object_add(s, "TlsMode", json_object_new_boolean(0));
	e = json_object_new_object();
	json_object_object_add(e, "SlotCount", json_object_new_int(r->f.e.slots));
	json_object_object_add(e, "KvCapacity", json_object_new_int(r->f.e.kv));
	json_object_object_add(e, "KvTokenBytes", json_object_new_int(r->f.e.kv_bytes));
	json_object_object_add(e, "LinkMbps", json_object_new_double(r->f.e.link_mbps));
	json_object_object_add(e, "TokenStride", json_object_new_int(r->f.e.stride));
	json_object_object_add(e, "MaxInFlight", json_object_new_int(r->f.e.in_flight));
	ms = json_object_new_array();
	m = json_object_new_object();
	json_object_object_add(m, "Name", json_object_new_string(r->sheet->model));
	json_object_array_add(ms, m);
	json_object_object_add(e, "Models", ms);
	json_object_object_add(s, "EngineType", e);
	json_object_array_add(a, s);
	s = json_object_new_object();
	snprintf(at, sizeof at, "%s.250:8680", r->base);
	json_object_object_add(s, "Name", json_object_new_string(r->sheet->store));
	json_object_object_add(s, "KvStoreAddress", json_object_new_string(at));
	json_object_object_add(s, "Zone", json_object_new_string(r->sheet->zone[1]));
	json_object_object_add(s, "KvCapacity", json_object_new_int(3999450));
	json_object_object_add(s, "LinkMbps", json_object_new_double(98000));
	json_object_object_add(s, "MaxInFlight", json_object_new_int(r->f.e.in_flight));
	json_object_array_add(a, s);
	json_object_object_add(j, "ServiceList", a);
	s = json_object_new_object();
	json_object_object_add(s, "MaxHeaderBytes", json_object_new_int(16384));
	json_object_object_add(s, "MaxBodyBytes", json_object_new_int(4194304));
	json_object_object_add(s, "HeaderTimeoutMs", json_object_new_int(3000));
	json_object_object_add(s, "IdleTimeoutMs", json_object_new_int(15000));
	json_object_object_add(j, "Limits", s);
	a = json_object_new_array();
	for (int i = 0; i < r->sheet->tenants; i++)
		json_object_array_add(a, tenant(i));
	json_object_object_add(j, "TenantList", a);
	return j;
}

void operator_first(struct operator* o)
{
	struct json_object *j = first(o);
	struct sending *s =
	    config_sending(o, j, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN), "/configuration/replace", 0, 0);

	json_object_put(j);
	o->next = 5;
	send_off(s);
}

static int64_t climb(struct operator* o)
{
	int64_t v = (o->next > o->version ? o->next : o->version) + 1 + (int64_t)(stand_rand(&o->rng) % 3);

	o->next = v;
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

static void put_split(struct json_object *r, const char *a, const char *b, int wa, int wb)
{
	struct json_object *list = json_object_new_array();
	const char *name[] = { a, b };
	int w[] = { wa, wb };

	json_object_object_del(r, "ServiceName");
	json_object_object_del(r, "TrafficSplit");
	for (int i = 0; i < 2; i++) {
		struct json_object *x = json_object_new_object();

		json_object_object_add(x, "ServiceName", json_object_new_string(name[i]));
		json_object_object_add(x, "ShareWeight", json_object_new_int(w[i]));
		json_object_array_add(list, x);
	}
	json_object_object_add(r, "TrafficSplit", list);
}

/* Changes a copy of what stands; the items touched go to up, the names removed to gone. */
static struct json_object *changed(struct operator* o, enum change what, struct sending **out, int modify)
{
	struct run *r = o->r;
	struct json_object *j = clone(o->now), *routes = member(j, "RouteList"), *tenants = member(j, "TenantList"), *x, *body, *up,
			   *gone, *a;
	char name[64], prefix[96], added[96] = "", removed[96] = "";
	int i = (int)(stand_rand(&o->rng) % CLASSES);
	struct sending *s;

	body = json_object_new_object();
	up = json_object_new_object();
	gone = json_object_new_object();
	a = json_object_new_array();
	json_object_object_add(j, "ConfigVersion", json_object_new_int64(climb(o)));
	json_object_object_add(body, "ConfigVersion", json_object_new_int64(o->next));
	switch (what) {
	case CHANGE_SPLIT:
	case CHANGE_MOVE:
		x = json_object_array_get_idx(routes, (size_t)i);
		if (what == CHANGE_SPLIT) {
			put_split(x, r->sheet->service, r->sheet->service, 10 + o->splits++ % 80, 10);
		} else {
			json_object_object_del(x, "TrafficSplit");
			json_object_object_add(x, "ServiceName", json_object_new_string(r->sheet->service));
		}
		json_object_array_add(a, json_object_get(x));
		json_object_object_add(up, "RouteList", a);
		break;
	case CHANGE_TIMEOUT:
		x = json_object_array_get_idx(routes, (size_t)i);
		json_object_object_add(x, "TimeoutMs",
				       json_object_new_int(r->sheet->c[i].deadline + 10 * (int)(1 + stand_rand(&o->rng) % 50)));
		json_object_array_add(a, json_object_get(x));
		json_object_object_add(up, "RouteList", a);
		break;
	case CHANGE_ROUTE_ON:
		snprintf(name, sizeof name, "r-more-%d", o->routes);
		snprintf(prefix, sizeof prefix, "/more%d/", o->routes++);
		snprintf(added, sizeof added, "%s", prefix);
		x = route(o, name, prefix, &r->sheet->c[2]);
		json_object_array_add(a, json_object_get(x));
		put_item(routes, x);
		json_object_object_add(up, "RouteList", a);
		break;
	case CHANGE_ROUTE_OFF:
		for (size_t k = 0; k < json_object_array_length(routes); k++) {
			x = json_object_array_get_idx(routes, k);
			if (strncmp(name_of(x), "r-more-", 7))
				continue;
			snprintf(removed, sizeof removed, "%s", json_object_get_string(member(x, "PathPrefix")));
			json_object_array_add(a, json_object_new_string(name_of(x)));
			json_object_array_del_idx(routes, k, 1);
			break;
		}
		json_object_object_add(gone, "RouteList", a);
		break;
	case CHANGE_KEY_ON:
	case CHANGE_KEY_OFF: {
		struct json_object *keys;

		i = 2 + o->keys % (r->sheet->tenants - 2);
		x = json_object_array_get_idx(tenants, (size_t)i);
		keys = member(x, "AccessKeys");
		if (what == CHANGE_KEY_ON) {
			snprintf(name, sizeof name, "key%02d-%d-abcdefgh", i, ++o->keys);
			json_object_array_add(keys, json_object_new_string(name));
		} else if (json_object_array_length(keys) > 1) {
			json_object_array_del_idx(keys, 0, 1);
		}
		json_object_array_add(a, json_object_get(x));
		json_object_object_add(up, "TenantList", a);
		break;
	}
	case CHANGE_WALL:
		i = 2 + (int)(stand_rand(&o->rng) % (uint64_t)(r->sheet->tenants - 2));
		x = json_object_array_get_idx(tenants, (size_t)i);
		json_object_object_add(x, "Isolated", json_object_new_boolean(!json_object_get_boolean(member(x, "Isolated"))));
		json_object_array_add(a, json_object_get(x));
		json_object_object_add(up, "TenantList", a);
		break;
	case CHANGE_BIG:
		for (int k = 0; k < 200; k++) {
			snprintf(name, sizeof name, "r-big-%d", k);
			snprintf(prefix, sizeof prefix, "/big%d/", k);
			x = route(o, name, prefix, &r->sheet->c[2]);
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
	case CHANGE_PLACES:
		planned_change(j, up, gone, what, o->turn++);
		json_object_put(a);
		break;
	default: /* routes that nothing goes to */
		snprintf(name, sizeof name, "r-idle-%d", o->routes);
		snprintf(prefix, sizeof prefix, "/idle%d/", o->routes++);
		x = route(o, name, prefix, &r->sheet->c[0]);
		json_object_array_add(a, json_object_get(x));
		put_item(routes, x);
		json_object_object_add(up, "RouteList", a);
		break;
	}
	json_object_object_add(body, "Upsert", up);
	json_object_object_add(body, "Remove", gone);
	s = config_sending(o, j, json_object_to_json_string_ext(modify ? body : j, JSON_C_TO_STRING_PLAIN),
			   modify ? "/configuration/modify" : "/configuration/replace", o->version, 0);
	snprintf(s->added, sizeof s->added, "%s", added);
	snprintf(s->removed, sizeof s->removed, "%s", removed);
	json_object_put(body);
	*out = s;
	return j;
}

static void next(struct operator* o)
{
	struct sending *s;
	struct want w;

	if (!arrlen(o->queue) || arrlen(o->going) || !o->now)
		return;
	w = o->queue[0];
	arrdel(o->queue, 0);
	json_object_put(changed(o, w.what, &s, w.modify));
	send_off(s);
}

void operator_change(struct operator* o, enum change what, int modify)
{
	struct want w = { what, modify }; /* made when its turn comes, on top of what stands then */

	arrput(o->queue, w);
	next(o);
}

void operator_race(struct operator* o)
{
	struct sending *s[2];

	if (!o->now)
		return;
	for (int i = 0; i < 2; i++) {
		json_object_put(changed(o, i ? CHANGE_TIMEOUT : CHANGE_ROUTE_ON, &s[i], i));
		s[i]->alone = 1;
	}
	for (int i = 0; i < 2; i++)
		send_off(s[i]);
}

void operator_invalid(struct operator* o, enum invalid what)
{
	struct json_object *j, *routes, *tenants, *x;
	struct sending *s;
	int64_t base = o->version;
	char *text;

	if (!o->now)
		return;
	j = clone(o->now);
	routes = member(j, "RouteList");
	tenants = member(j, "TenantList");
	json_object_object_add(j, "ConfigVersion", json_object_new_int64(what == INVALID_OLD ? base : climb(o)));
	x = json_object_array_get_idx(routes, 0);
	switch (what) {
	case INVALID_SERVICE:
		json_object_object_del(x, "TrafficSplit");
		json_object_object_add(x, "ServiceName", json_object_new_string("nowhere"));
		break;
	case INVALID_PLACE: json_object_array_add(routes, route(o, "r-twin", o->r->sheet->c[0].prefix, &o->r->sheet->c[0])); break;
	case INVALID_WEIGHT: put_split(x, o->r->sheet->service, o->r->sheet->service, 0, 0); break;
	case INVALID_TIMEOUT: json_object_object_add(x, "TimeoutMs", json_object_new_int(0)); break;
	case INVALID_KEY:
		json_object_array_add(
		    member(json_object_array_get_idx(tenants, 0), "AccessKeys"),
		    json_object_get(json_object_array_get_idx(member(json_object_array_get_idx(tenants, 1), "AccessKeys"), 0)));
		break;
	default: break;
	}
	text = strdup(json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	if (what == INVALID_CUT)
		text[strlen(text) / 2] = 0;
	s = config_sending(o, what == INVALID_CUT ? NULL : j, text, "/configuration/replace", base, 1);
	s->alone = 1;
	free(text);
	json_object_put(j);
	send_off(s);
}

void operator_weights(struct operator* o, int version)
{
	char b[200];
	struct sending *s;

	snprintf(b, sizeof b, "{\"ModelName\":\"%s\",\"ConfigVersion\":%d}", o->r->sheet->model, version);
	s = sending(o, SENDS_WEIGHTS, "/version-put", b);
	s->weights = version;
	s->version = version;
	if (version > o->r->f.newest)
		o->r->f.newest = version;
	judge_named(o->r->j, run_ms(o->r), version, 0);
	send_off(s);
}

void operator_read_back(struct operator* o) { send_off(sending(o, READS, "/configuration/retrieve", NULL)); }

int operator_idle(const struct operator* o) { return !arrlen(o->going) && !arrlen(o->queue); }
int operator_acked(const struct operator* o) { return o->acked; }
void operator_lose(struct operator* o, double share) { o->lose = share; }
const char *operator_leader(const struct operator* o) { return o->leader; }
int operator_weights_acked(const struct operator* o) { return o->weights_acked; }
int operator_read_done(const struct operator* o) { return o->read_done; }
int operator_idle_timeout(const struct operator* o)
{
	struct json_object *idle = o->now ? member(member(o->now, "Limits"), "IdleTimeoutMs") : NULL;

	return idle ? json_object_get_int(idle) : 0;
}

const char *operator_added(const struct operator* o) { return o->added[0] ? o->added : NULL; }
const char *operator_removed(const struct operator* o) { return o->removed[0] ? o->removed : NULL; }

const char *operator_second_key(const struct operator* o)
{
	struct json_object *tenants = o->now ? member(o->now, "TenantList") : NULL;

	for (size_t i = 0; tenants && i < json_object_array_length(tenants); i++) {
		struct json_object *keys = member(json_object_array_get_idx(tenants, i), "AccessKeys");

		if (json_object_array_length(keys) > 1)
			return json_object_get_string(json_object_array_get_idx(keys, 1));
	}
	return NULL;
}

struct operator* operator_open(struct run *r)
{
	struct operator* o = calloc(1, sizeof *o);

	o->r = r;
	o->rng = stand_hash(r->seed, "operator", 8);
	o->weights_acked = 1;
	return o;
}

/* What is under way ends by itself within its second. */
void operator_close(struct operator* o)
{
	int64_t until = run_ms(o->r) + 5000;

	o->closed = 1;
	while (arrlen(o->going) && run_ms(o->r) < until)
		loop_until(o->r->l, ms_us(20), NULL, NULL);
	arrfree(o->going);
	arrfree(o->queue);
	json_object_put(o->now);
	free(o);
}
