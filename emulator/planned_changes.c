/* Changes of a configuration that a planned day is full of, beyond those that operator_documents makes
 * itself. Each one turns a full configuration into the next one and lists what it touched, for a call to
 * modify. */
#include <json-c/json.h>
#include <string.h>

#include "platform_run.h"

enum { FIRST_PLAIN_TENANT = 2, KEYS_MOST = 2 };

static struct json_object *list_of(struct json_object *config, const char *name)
{
	struct json_object *list = NULL;

	json_object_object_get_ex(config, name, &list);
	return list;
}

static const char *name_of(struct json_object *item)
{
	struct json_object *name = NULL;

	json_object_object_get_ex(item, "Name", &name);
	return name ? json_object_get_string(name) : "";
}

static void upserted(struct json_object *upsert, const char *list, struct json_object *item)
{
	struct json_object *items = json_object_new_array();

	json_object_array_add(items, json_object_get(item));
	json_object_object_add(upsert, list, items);
}

/* Remove all items whose name begins so from a list; their names go into the list of what is removed. */
static void remove_entry(struct json_object *config, struct json_object *removed, const char *list_name,
			 const char *prefix)
{
	struct json_object *list = list_of(config, list_name), *names = json_object_new_array();

	for (size_t i = json_object_array_length(list); i-- > 0;) {
		const char *name = name_of(json_object_array_get_idx(list, i));

		if (strncmp(name, prefix, strlen(prefix)) != 0)
			continue;
		json_object_array_add(names, json_object_new_string(name));
		json_object_array_del_idx(list, i, 1);
	}
	json_object_object_add(removed, list_name, names);
}

static int has_item(struct json_object *list, const char *prefix)
{
	for (size_t i = 0; i < json_object_array_length(list); i++)
		if (!strncmp(name_of(json_object_array_get_idx(list, i)), prefix, strlen(prefix)))
			return 1;
	return 0;
}

static void change_limits(struct json_object *config, uint64_t index)
{
	static const int idle_ms[] = { 3000, 15000, 5000, 10000 };
	struct json_object *limits = list_of(config, "Limits");

	json_object_object_add(limits, "IdleTimeoutMs",
			       json_object_new_int(idle_ms[index % (sizeof idle_ms / sizeof *idle_ms)]));
}

static struct json_object *plain_tenant(struct json_object *config, uint64_t index)
{
	struct json_object *tenants = list_of(config, "TenantList");
	size_t plain = json_object_array_length(tenants) - FIRST_PLAIN_TENANT;

	return json_object_array_get_idx(tenants, FIRST_PLAIN_TENANT + index % plain);
}

static void change_keys(struct json_object *config, struct json_object *upsert, uint64_t index)
{
	struct json_object *tenant = plain_tenant(config, index), *keys = list_of(tenant, "AccessKeys");
	char key[64];

	if (json_object_array_length(keys) < KEYS_MOST) {
		snprintf(key, sizeof key, "key-%s-%llu-abcdefgh", name_of(tenant), (unsigned long long)index);
		json_object_array_add(keys, json_object_new_string(key));
	} else {
		json_object_array_del_idx(keys, KEYS_MOST - 1, 1);
	}
	upserted(upsert, "TenantList", tenant);
}

static void change_priority(struct json_object *config, struct json_object *upsert, uint64_t index)
{
	struct json_object *tenant = plain_tenant(config, index);

	json_object_object_add(tenant, "Priority", json_object_new_int((int)(index % 3)));
	upserted(upsert, "TenantList", tenant);
}

static void change_tenant(struct json_object *config, struct json_object *upsert, struct json_object *removed,
			  uint64_t index)
{
	static const char guest[] = "guest-";
	struct json_object *tenants = list_of(config, "TenantList"), *tenant, *keys;
	char text[64];

	if (has_item(tenants, guest)) {
		remove_entry(config, removed, "TenantList", guest);
		return;
	}
	tenant = json_object_new_object();
	keys = json_object_new_array();
	snprintf(text, sizeof text, "%s%llu", guest, (unsigned long long)index);
	json_object_object_add(tenant, "Name", json_object_new_string(text));
	snprintf(text, sizeof text, "key-%s%llu-abcdefgh", guest, (unsigned long long)index);
	json_object_array_add(keys, json_object_new_string(text));
	json_object_object_add(tenant, "AccessKeys", keys);
	json_object_object_add(tenant, "Priority", json_object_new_int(1));
	json_object_object_add(tenant, "Isolated", json_object_new_boolean(0));
	json_object_array_add(tenants, tenant);
	upserted(upsert, "TenantList", tenant);
}

static void change_attempts(struct json_object *config, struct json_object *upsert, uint64_t index)
{
	struct json_object *route =
	    json_object_array_get_idx(list_of(config, "RouteList"), index % CLASS_COUNT);

	json_object_object_add(route, "MaxAttempts", json_object_new_int(1 + (int)(index % 3)));
	upserted(upsert, "RouteList", route);
}

static void change_max_connections(struct json_object *config, struct json_object *upsert, uint64_t index)
{
	struct json_object *service = json_object_array_get_idx(list_of(config, "ServiceList"), 0),
			   *most = NULL;
	int step = index % 2 ? 1 : -1;

	json_object_object_get_ex(service, "MaxConnections", &most);
	json_object_object_add(service, "MaxConnections",
			       json_object_new_int(json_object_get_int(most) + step));
	upserted(upsert, "ServiceList", service);
}

void planned_change(struct json_object *config, struct json_object *upsert, struct json_object *removed,
		    enum change what, uint64_t index)
{
	switch (what) {
	case CHANGE_BIG_OFF:
		remove_entry(config, removed, "RouteList", "r-big-");
		break;
	case CHANGE_LIMITS:
		change_limits(config, index);
		break;
	case CHANGE_KEY_MORE:
		change_keys(config, upsert, index);
		break;
	case CHANGE_TENANT:
		change_tenant(config, upsert, removed, index);
		break;
	case CHANGE_PRIORITY:
		change_priority(config, upsert, index);
		break;
	case CHANGE_ATTEMPTS:
		change_attempts(config, upsert, index);
		break;
	case CHANGE_MAX_CONNECTIONS:
		change_max_connections(config, upsert, index);
		break;
	default:
		break;
	}
}
