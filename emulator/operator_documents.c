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

static struct json_object *make_route(struct config_operator *config_operator, const char *name,
				      const char *prefix, const struct traffic_class *class)
{
	struct json_object *r = json_object_new_object();

	json_object_object_add(r, "Name", json_object_new_string(name));
	json_object_object_add(r, "HostName", json_object_new_string(config_operator->run->deployment->host));
	json_object_object_add(r, "PathPrefix", json_object_new_string(prefix));
	json_object_object_add(r, "RouteType", json_object_new_string("streaming"));
	json_object_object_add(r, "TimeoutMs", json_object_new_int(class->deadline_ms));
	json_object_object_add(r, "TargetMs", json_object_new_int(class->latency_target_ms));
	json_object_object_add(r, "Priority", json_object_new_int(class->priority));
	json_object_object_add(r, "ServiceName",
			       json_object_new_string(config_operator->run->deployment->service));
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

struct json_object *operator_first_config(struct config_operator *config_operator)
{
	struct run *run = config_operator->run;
	struct json_object *j = json_object_new_object(), *a = json_object_new_array(), *s, *json, *ms, *m;
	char name[48], at[48];

	json_object_object_add(j, "ConfigVersion", json_object_new_int64(3));
	for (int i = 0; i < CLASS_COUNT; i++) {
		snprintf(name, sizeof name, "r-%d", i);
		json_object_array_add(a, make_route(config_operator, name, run->deployment->classes[i].prefix,
						    &run->deployment->classes[i]));
	}
	json_object_object_add(j, "RouteList", a);
	a = json_object_new_array();
	s = json_object_new_object();
	json_object_object_add(s, "Name", json_object_new_string(run->deployment->service));
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
	json_object_object_add(m, "Name", json_object_new_string(run->deployment->model));
	json_object_array_add(ms, m);
	json_object_object_add(json, "Models", ms);
	json_object_object_add(s, "EngineType", json);
	json_object_array_add(a, s);
	s = json_object_new_object();
	snprintf(at, sizeof at, "%s.250:8680", run->address_prefix);
	json_object_object_add(s, "Name", json_object_new_string(run->deployment->store));
	json_object_object_add(s, "KvStoreAddress", json_object_new_string(at));
	json_object_object_add(s, "Zone", json_object_new_string(run->deployment->zone[1]));
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
	for (int i = 0; i < run->deployment->tenants; i++)
		json_object_array_add(a, make_tenant(i));
	json_object_object_add(j, "TenantList", a);
	return j;
}

static int64_t draw_next_version(struct config_operator *config_operator)
{
	int64_t v = (config_operator->next_version > config_operator->version ? config_operator->next_version
									      : config_operator->version) +
		    1 + (int64_t)(emulator_random(&config_operator->rng) % 3);

	config_operator->next_version = v;
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

/* A change that is being made: a copy of the current configuration, and what differs in it for a call to
 * modify. */
struct document_change {
	struct json_object *config;
	struct json_object *upsert;  /* lists of changed items, by the list's name */
	struct json_object *removal; /* lists of removed names, by the list's name */
	char added[96];              /* path prefix of a route that came, or empty */
	char removed[96];            /* path prefix of a route that went, or empty */
};

static void upsert_item(struct document_change *change, const char *list_name, struct json_object *item)
{
	struct json_object *items = json_object_new_array();

	json_object_array_add(items, json_object_get(item));
	json_object_object_add(change->upsert, list_name, items);
}

static struct json_object *item_at(const struct document_change *change, const char *list_name, size_t index)
{
	return json_object_array_get_idx(document_member(change->config, list_name), index);
}

/* A route with this name and prefix comes, or is replaced. */
static void put_route(struct config_operator *config_operator, struct document_change *change,
		      const char *name, const char *prefix, const struct traffic_class *class)
{
	struct json_object *route = make_route(config_operator, name, prefix, class);

	upsert_item(change, "RouteList", route);
	put_item(document_member(change->config, "RouteList"), route);
}

static void change_split(struct config_operator *config_operator, struct document_change *change,
			 enum change what, struct json_object *route)
{
	const char *service = config_operator->run->deployment->service;

	if (what == CHANGE_SPLIT) {
		put_split(route, service, service, 10 + config_operator->splits++ % 80, 10);
	} else {
		json_object_object_del(route, "TrafficSplit");
		json_object_object_add(route, "ServiceName", json_object_new_string(service));
	}
	upsert_item(change, "RouteList", route);
}

static void change_timeout(struct config_operator *config_operator, struct document_change *change,
			   struct json_object *route, const struct traffic_class *class)
{
	json_object_object_add(
	    route, "TimeoutMs",
	    json_object_new_int(class->deadline_ms +
				10 * (int)(1 + emulator_random(&config_operator->rng) % 50)));
	upsert_item(change, "RouteList", route);
}

static void add_route(struct config_operator *config_operator, struct document_change *change)
{
	char name[64];

	snprintf(name, sizeof name, "r-more-%d", config_operator->routes);
	snprintf(change->added, sizeof change->added, "/more%d/", config_operator->routes++);
	put_route(config_operator, change, name, change->added,
		  &config_operator->run->deployment->classes[2]);
}

/* The first route that add_route added goes. */
static void remove_route(struct document_change *change)
{
	struct json_object *routes = document_member(change->config, "RouteList");
	struct json_object *names = json_object_new_array();

	for (size_t k = 0; k < json_object_array_length(routes); k++) {
		struct json_object *route = json_object_array_get_idx(routes, k);

		if (strncmp(name_of(route), "r-more-", 7))
			continue;
		snprintf(change->removed, sizeof change->removed, "%s",
			 json_object_get_string(document_member(route, "PathPrefix")));
		json_object_array_add(names, json_object_new_string(name_of(route)));
		json_object_array_del_idx(routes, k, 1);
		break;
	}
	json_object_object_add(change->removal, "RouteList", names);
}

static void change_key(struct config_operator *config_operator, struct document_change *change,
		       enum change what)
{
	int i = 2 + config_operator->keys % (config_operator->run->deployment->tenants - 2);
	struct json_object *tenant = item_at(change, "TenantList", (size_t)i);
	struct json_object *keys = document_member(tenant, "AccessKeys");
	char key[64];

	if (what == CHANGE_KEY_ON) {
		snprintf(key, sizeof key, "key%02d-%d-abcdefgh", i, ++config_operator->keys);
		json_object_array_add(keys, json_object_new_string(key));
	} else if (json_object_array_length(keys) > 1) {
		json_object_array_del_idx(keys, 0, 1);
	}
	upsert_item(change, "TenantList", tenant);
}

static void change_isolation(struct config_operator *config_operator, struct document_change *change)
{
	uint64_t plain = (uint64_t)(config_operator->run->deployment->tenants - 2);
	struct json_object *tenant =
	    item_at(change, "TenantList", 2 + (size_t)(emulator_random(&config_operator->rng) % plain));
	int is_isolated = json_object_get_boolean(document_member(tenant, "Isolated"));

	json_object_object_add(tenant, "Isolated", json_object_new_boolean(!is_isolated));
	upsert_item(change, "TenantList", tenant);
}

/* Two hundred routes come at once. */
static void add_many_routes(struct config_operator *config_operator, struct document_change *change)
{
	struct json_object *items = json_object_new_array();
	char name[64], prefix[96];

	for (int k = 0; k < 200; k++) {
		struct json_object *route;

		snprintf(name, sizeof name, "r-big-%d", k);
		snprintf(prefix, sizeof prefix, "/big%d/", k);
		route =
		    make_route(config_operator, name, prefix, &config_operator->run->deployment->classes[2]);
		json_object_array_add(items, json_object_get(route));
		put_item(document_member(change->config, "RouteList"), route);
	}
	json_object_object_add(change->upsert, "RouteList", items);
}

static void add_unused_route(struct config_operator *config_operator, struct document_change *change)
{
	char name[64], prefix[96];

	snprintf(name, sizeof name, "r-idle-%d", config_operator->routes);
	snprintf(prefix, sizeof prefix, "/idle%d/", config_operator->routes++);
	put_route(config_operator, change, name, prefix, &config_operator->run->deployment->classes[0]);
}

static void make_change(struct config_operator *config_operator, struct document_change *change,
			enum change what)
{
	size_t i = emulator_random(&config_operator->rng) % CLASS_COUNT;

	json_object_object_add(change->config, "ConfigVersion",
			       json_object_new_int64(draw_next_version(config_operator)));
	switch (what) {
	case CHANGE_SPLIT:
	case CHANGE_MOVE:
		change_split(config_operator, change, what, item_at(change, "RouteList", i));
		break;
	case CHANGE_TIMEOUT:
		change_timeout(config_operator, change, item_at(change, "RouteList", i),
			       &config_operator->run->deployment->classes[i]);
		break;
	case CHANGE_ROUTE_ON:
		add_route(config_operator, change);
		break;
	case CHANGE_ROUTE_OFF:
		remove_route(change);
		break;
	case CHANGE_KEY_ON:
	case CHANGE_KEY_OFF:
		change_key(config_operator, change, what);
		break;
	case CHANGE_ISOLATION:
		change_isolation(config_operator, change);
		break;
	case CHANGE_BIG:
		add_many_routes(config_operator, change);
		break;
	case CHANGE_BIG_OFF:
	case CHANGE_LIMITS:
	case CHANGE_KEY_MORE:
	case CHANGE_TENANT:
	case CHANGE_PRIORITY:
	case CHANGE_ATTEMPTS:
	case CHANGE_MAX_CONNECTIONS:
		planned_change(change->config, change->upsert, change->removal, what,
			       config_operator->change_index++);
		break;
	default:
		add_unused_route(config_operator, change);
		break;
	}
}

struct json_object *operator_make_change(struct config_operator *config_operator, enum change what,
					 struct submission **out, int modify)
{
	struct json_object *body = json_object_new_object();
	struct document_change change;

	memset(&change, 0, sizeof change);
	change.config = clone(config_operator->current);
	change.upsert = json_object_new_object();
	change.removal = json_object_new_object();
	make_change(config_operator, &change, what);
	json_object_object_add(body, "ConfigVersion", json_object_new_int64(config_operator->next_version));
	json_object_object_add(body, "Upsert", change.upsert);
	json_object_object_add(body, "Remove", change.removal);
	*out = operator_config_submission(
	    config_operator, change.config,
	    json_object_to_json_string_ext(modify ? body : change.config, JSON_C_TO_STRING_PLAIN),
	    modify ? "/configuration/modify" : "/configuration/replace", config_operator->version, 0);
	snprintf((*out)->added, sizeof(*out)->added, "%s", change.added);
	snprintf((*out)->removed, sizeof(*out)->removed, "%s", change.removed);
	json_object_put(body);
	return change.config;
}

void operator_invalid(struct config_operator *config_operator, enum invalid what)
{
	struct json_object *json, *routes, *tenants, *x;
	struct submission *s;
	int64_t base = config_operator->version;
	char *text;

	if (!config_operator->current)
		return;
	json = clone(config_operator->current);
	routes = document_member(json, "RouteList");
	tenants = document_member(json, "TenantList");
	json_object_object_add(
	    json, "ConfigVersion",
	    json_object_new_int64(what == INVALID_OLD ? base : draw_next_version(config_operator)));
	x = json_object_array_get_idx(routes, 0);
	switch (what) {
	case INVALID_SERVICE:
		json_object_object_del(x, "TrafficSplit");
		json_object_object_add(x, "ServiceName", json_object_new_string("nowhere"));
		break;
	case INVALID_DUPLICATE_PREFIX:
		json_object_array_add(routes, make_route(config_operator, "r-twin",
							 config_operator->run->deployment->classes[0].prefix,
							 &config_operator->run->deployment->classes[0]));
		break;
	case INVALID_WEIGHT:
		put_split(x, config_operator->run->deployment->service,
			  config_operator->run->deployment->service, 0, 0);
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
	s = operator_config_submission(config_operator, what == INVALID_CUT ? NULL : json, text,
				       "/configuration/replace", base, 1);
	s->is_unqueued = 1;
	free(text);
	json_object_put(json);
	operator_send(s);
}
