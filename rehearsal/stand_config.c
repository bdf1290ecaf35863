/* Configurations as the pages write them, and when they are invalid. */
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "stand.h"

static struct json_object *get(struct json_object *j, const char *k)
{
	struct json_object *v = NULL;

	return json_object_is_type(j, json_type_object) && json_object_object_get_ex(j, k, &v) ? v : NULL;
}

static void get_text(struct json_object *j, const char *k, char *to, size_t n)
{
	struct json_object *v = get(j, k);

	snprintf(to, n, "%s", v && json_object_is_type(v, json_type_string) ? json_object_get_string(v) : "");
}

static int get_int(struct json_object *j, const char *k)
{
	struct json_object *v = get(j, k);

	return v ? json_object_get_int(v) : 0;
}

static size_t length(struct json_object *a) { return json_object_is_type(a, json_type_array) ? json_object_array_length(a) : 0; }

struct cfg *cfg_read(const char *text)
{
	enum json_tokener_error err;
	struct json_object *j = json_tokener_parse_verbose(text, &err), *a;
	struct cfg *c;

	if (!j || !json_object_is_type(j, json_type_object) || !get(j, "ConfigVersion")) {
		json_object_put(j);
		return NULL;
	}
	c = calloc(1, sizeof *c);
	c->text = strdup(text);
	c->version = json_object_get_int64(get(j, "ConfigVersion"));
	a = get(j, "RouteList");
	for (size_t i = 0; i < length(a); i++) {
		struct json_object *r = json_object_array_get_idx(a, i), *split = get(r, "TrafficSplit");
		struct cfg_route x;

		memset(&x, 0, sizeof x);
		get_text(r, "Name", x.name, sizeof x.name);
		get_text(r, "HostName", x.host, sizeof x.host);
		get_text(r, "PathPrefix", x.prefix, sizeof x.prefix);
		x.prefix_length = strlen(x.prefix);
		get_text(r, "RouteType", x.type, sizeof x.type);
		x.timeout = get_int(r, "TimeoutMs");
		x.target = get_int(r, "TargetMs");
		x.priority = get_int(r, "Priority");
		x.attempts = get_int(r, "MaxAttempts");
		x.gap = get_int(r, "GapTargetMs");
		x.open = get(r, "PublicAccess") && json_object_get_boolean(get(r, "PublicAccess"));
		x.resumable = get(r, "Resumable") && json_object_get_boolean(get(r, "Resumable"));
		if (get(r, "ServiceName")) {
			get_text(r, "ServiceName", x.service[0], sizeof x.service[0]);
			x.weight[0] = x.nservice = 1;
		}
		for (size_t k = 0; k < length(split) && x.nservice < 4; k++) {
			get_text(json_object_array_get_idx(split, k), "ServiceName", x.service[x.nservice], sizeof x.service[0]);
			x.weight[x.nservice++] = get_int(json_object_array_get_idx(split, k), "ShareWeight");
		}
		arrput(c->route, x);
	}
	a = get(j, "TenantList");
	for (size_t i = 0; i < length(a); i++) {
		struct json_object *t = json_object_array_get_idx(a, i), *keys = get(t, "AccessKeys");
		struct cfg_tenant x;

		memset(&x, 0, sizeof x);
		get_text(t, "Name", x.name, sizeof x.name);
		x.isolated = get(t, "Isolated") && json_object_get_boolean(get(t, "Isolated"));
		x.priority = get_int(t, "Priority");
		for (size_t k = 0; k < length(keys) && x.nkey < 4; k++)
			snprintf(x.key[x.nkey++], sizeof x.key[0], "%s",
				 json_object_get_string(json_object_array_get_idx(keys, k)));
		arrput(c->tenant, x);
	}
	json_object_put(j);
	return c;
}

void cfg_free(struct cfg *c)
{
	if (!c)
		return;
	arrfree(c->route);
	arrfree(c->tenant);
	free(c->text);
	free(c);
}

const struct cfg_route *cfg_match(const struct cfg *c, const char *host, const char *path)
{
	const struct cfg_route *best = NULL;

	for (int i = 0; c && i < arrlen(c->route); i++) {
		const struct cfg_route *route = &c->route[i];

		/* paths differ early, hosts hardly ever: a long day asks this many million times */
		if (!strncmp(path, route->prefix, route->prefix_length) && !strcmp(route->host, host) &&
		    (!best || route->prefix_length > best->prefix_length))
			best = route;
	}
	return best;
}

const struct cfg_tenant *cfg_holder(const struct cfg *c, const char *key)
{
	for (int i = 0; c && i < arrlen(c->tenant); i++)
		for (int k = 0; k < c->tenant[i].nkey; k++)
			if (!strcmp(c->tenant[i].key[k], key))
				return &c->tenant[i];
	return NULL;
}

const char *cfg_invalid(const struct cfg *c, int64_t base)
{
	struct json_object *j, *a;
	const char *why = NULL;

	if (!c)
		return "it can't be read whole";
	if (c->version <= base)
		return "its version is not above the current one";
	j = json_tokener_parse(c->text);
	a = get(j, "ServiceList");
	for (int i = 0; i < arrlen(c->route) && !why; i++) {
		const struct cfg_route *r = &c->route[i];
		int sum = 0;

		for (int k = 0; k < r->nservice; k++) {
			int known = 0;
			char name[48];

			sum += r->weight[k];
			for (size_t n = 0; n < length(a); n++) {
				get_text(json_object_array_get_idx(a, n), "Name", name, sizeof name);
				known |= !strcmp(name, r->service[k]);
			}
			if (!known)
				why = "a route names an unknown service";
		}
		if (!why && !sum)
			why = "a route's weights add up to 0";
		if (!why && !r->timeout)
			why = "a TimeoutMs is 0";
		for (int k = 0; k < i && !why; k++)
			if (!strcmp(c->route[k].host, r->host) && !strcmp(c->route[k].prefix, r->prefix))
				why = "two routes share host and prefix";
	}
	for (int i = 0; i < arrlen(c->tenant) && !why; i++)
		for (int k = 0; k < c->tenant[i].nkey && !why; k++)
			if (cfg_holder(c, c->tenant[i].key[k]) != &c->tenant[i])
				why = "two tenants share a key";
	json_object_put(j);
	return why;
}
