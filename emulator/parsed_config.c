/* Parser of configurations, and the reasons for which one is invalid. */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "platform_emulator.h"

static struct json_object *get(struct json_object *json, const char *key)
{
	struct json_object *v = NULL;

	return json_object_is_type(json, json_type_object) && json_object_object_get_ex(json, key, &v) ? v
												       : NULL;
}

static void get_text(struct json_object *json, const char *key, char *to, size_t n)
{
	struct json_object *v = get(json, key);

	snprintf(to, n, "%s", v && json_object_is_type(v, json_type_string) ? json_object_get_string(v) : "");
}

static int get_int(struct json_object *json, const char *key)
{
	struct json_object *v = get(json, key);

	return v ? json_object_get_int(v) : 0;
}

static size_t length(struct json_object *json)
{
	return json_object_is_type(json, json_type_array) ? json_object_array_length(json) : 0;
}

struct parsed_config *parsed_config_read(const char *text)
{
	enum json_tokener_error err;
	struct json_object *json = json_tokener_parse_verbose(text, &err), *a;
	struct parsed_config *config;

	if (!json || !json_object_is_type(json, json_type_object) || !get(json, "ConfigVersion")) {
		json_object_put(json);
		return NULL;
	}
	config = calloc(1, sizeof *config);
	config->text = strdup(text);
	config->version = json_object_get_int64(get(json, "ConfigVersion"));
	a = get(json, "RouteList");
	for (size_t i = 0; i < length(a); i++) {
		struct json_object *r = json_object_array_get_idx(a, i), *split = get(r, "TrafficSplit");
		struct parsed_route x;

		memset(&x, 0, sizeof x);
		get_text(r, "Name", x.name, sizeof x.name);
		get_text(r, "HostName", x.host, sizeof x.host);
		get_text(r, "PathPrefix", x.prefix, sizeof x.prefix);
		x.prefix_length = strlen(x.prefix);
		get_text(r, "RouteType", x.route_type, sizeof x.route_type);
		x.timeout_ms = get_int(r, "TimeoutMs");
		x.target_ms = get_int(r, "TargetMs");
		x.priority = get_int(r, "Priority");
		x.max_attempts = get_int(r, "MaxAttempts");
		x.gap_target_ms = get_int(r, "GapTargetMs");
		x.is_public = get(r, "PublicAccess") && json_object_get_boolean(get(r, "PublicAccess"));
		x.resumable = get(r, "Resumable") && json_object_get_boolean(get(r, "Resumable"));
		if (get(r, "ServiceName")) {
			get_text(r, "ServiceName", x.service[0], sizeof x.service[0]);
			x.weight[0] = x.service_count = 1;
		}
		for (size_t k = 0; k < length(split) && x.service_count < 4; k++) {
			get_text(json_object_array_get_idx(split, k), "ServiceName",
				 x.service[x.service_count], sizeof x.service[0]);
			x.weight[x.service_count++] =
			    get_int(json_object_array_get_idx(split, k), "ShareWeight");
		}
		arrput(config->routes, x);
	}
	a = get(json, "TenantList");
	for (size_t i = 0; i < length(a); i++) {
		struct json_object *t = json_object_array_get_idx(a, i), *keys = get(t, "AccessKeys");
		struct parsed_tenant x;

		memset(&x, 0, sizeof x);
		get_text(t, "Name", x.name, sizeof x.name);
		x.isolated = get(t, "Isolated") && json_object_get_boolean(get(t, "Isolated"));
		x.priority = get_int(t, "Priority");
		for (size_t k = 0; k < length(keys) && x.key_count < 4; k++)
			snprintf(x.key[x.key_count++], sizeof x.key[0], "%s",
				 json_object_get_string(json_object_array_get_idx(keys, k)));
		arrput(config->tenants, x);
	}
	json_object_put(json);
	return config;
}

void parsed_config_free(struct parsed_config *config)
{
	if (!config)
		return;
	arrfree(config->routes);
	arrfree(config->tenants);
	free(config->text);
	free(config);
}

const struct parsed_route *parsed_config_match(const struct parsed_config *config, const char *host,
					       const char *path)
{
	const struct parsed_route *best = NULL;

	for (int i = 0; config && i < arrlen(config->routes); i++) {
		const struct parsed_route *route = &config->routes[i];

		/* paths differ early, hosts hardly ever: a long day asks this many million times */
		if (!strncmp(path, route->prefix, route->prefix_length) && !strcmp(route->host, host) &&
		    (!best || route->prefix_length > best->prefix_length))
			best = route;
	}
	return best;
}

const struct parsed_tenant *parsed_config_tenant_of_key(const struct parsed_config *config, const char *key)
{
	for (int i = 0; config && i < arrlen(config->tenants); i++)
		for (int k = 0; k < config->tenants[i].key_count; k++)
			if (!strcmp(config->tenants[i].key[k], key))
				return &config->tenants[i];
	return NULL;
}

const char *parsed_config_invalid(const struct parsed_config *config, int64_t base)
{
	struct json_object *json, *a;
	const char *why = NULL;

	if (!config)
		return "it can't be read whole";
	if (config->version <= base)
		return "its version is not above the current one";
	json = json_tokener_parse(config->text);
	a = get(json, "ServiceList");
	for (int i = 0; i < arrlen(config->routes) && !why; i++) {
		const struct parsed_route *route = &config->routes[i];
		int sum = 0;

		for (int k = 0; k < route->service_count; k++) {
			int known = 0;
			char name[48];

			sum += route->weight[k];
			for (size_t n = 0; n < length(a); n++) {
				get_text(json_object_array_get_idx(a, n), "Name", name, sizeof name);
				known |= !strcmp(name, route->service[k]);
			}
			if (!known)
				why = "a route names an unknown service";
		}
		if (!why && !sum)
			why = "a route's weights add up to 0";
		if (!why && !route->timeout_ms)
			why = "a TimeoutMs is 0";
		for (int k = 0; k < i && !why; k++)
			if (!strcmp(config->routes[k].host, route->host) &&
			    !strcmp(config->routes[k].prefix, route->prefix))
				why = "two routes share host and prefix";
	}
	for (int i = 0; i < arrlen(config->tenants) && !why; i++)
		for (int k = 0; k < config->tenants[i].key_count && !why; k++)
			if (parsed_config_tenant_of_key(config, config->tenants[i].key[k]) !=
			    &config->tenants[i])
				why = "two tenants share a key";
	json_object_put(json);
	return why;
}
