/* Documents that the operator sends: the first configuration, changes of the current one, and invalid ones.
 */
#include <stdlib.h>
#include <string.h>

#include "operator_internal.h"

static struct json_object *clone(struct json_object *json)
{
	return json_tokener_parse(json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
}

struct json_object *document_member(struct json_object *json, const char *key)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(json, key, &v);
	return v;
}

static const char *name_of(struct json_object *json)
{
	struct json_object *v = document_member(json, "Name");

	return v ? json_object_get_string(v) : "";
}

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

struct json_object *operator_first_config(struct operator* operator)
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

static int64_t draw_next_version(struct operator* operator)
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

struct json_object *operator_make_change(struct operator* operator, enum change what, struct submission **out,
					 int modify)
{
	struct run *run = operator->run;
	struct json_object *json = clone(operator->current), *routes = document_member(json, "RouteList"),
			   *tenants = document_member(json, "TenantList"), *x, *body, *up, *removal, *a;
	char name[64], prefix[96], added[96] = "", removed[96] = "";
	int i = (int)(emulator_random(&operator->rng) % CLASS_COUNT);
	struct submission *s;

	body = json_object_new_object();
	up = json_object_new_object();
	removal = json_object_new_object();
	a = json_object_new_array();
	json_object_object_add(json, "ConfigVersion", json_object_new_int64(draw_next_version(operator)));
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
				 json_object_get_string(document_member(x, "PathPrefix")));
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
		keys = document_member(x, "AccessKeys");
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
		    json_object_new_boolean(!json_object_get_boolean(document_member(x, "Isolated"))));
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

void operator_invalid(struct operator* operator, enum invalid what)
{
	struct json_object *json, *routes, *tenants, *x;
	struct submission *s;
	int64_t base = operator->version;
	char *text;

	if (!operator->current)
		return;
	json = clone(operator->current);
	routes = document_member(json, "RouteList");
	tenants = document_member(json, "TenantList");
	json_object_object_add(json, "ConfigVersion",
			       json_object_new_int64(what == INVALID_OLD ? base : draw_next_version(operator)));
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
		    document_member(json_object_array_get_idx(tenants, 0), "AccessKeys"),
		    json_object_get(json_object_array_get_idx(
			document_member(json_object_array_get_idx(tenants, 1), "AccessKeys"), 0)));
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
