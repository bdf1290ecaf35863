#include "operator_state.h"

#include <apr_strings.h>

#include "containers.h"
#include "controller_private.h"
#include "operator_calls.h"
#include "json_add.h"
#include "leadership.h"

static const char *hex_id(uint64_t id, apr_pool_t *pool)
{
	return apr_psprintf(pool, "%016" APR_UINT64_T_HEX_FMT, id);
}

static struct json_object *members_json(const struct raft *raft, apr_pool_t *pool)
{
	struct json_object *members = json_object_new_array();

	for (int i = 0; i < raft->group.member_count; i++) {
		const char *text = apr_psprintf(pool, "%s@%s%s", hex_id(raft->group.members[i].id, pool),
						core_format_addr(pool, raft->group.members[i].addr),
						raft->group.members[i].voter ? "" : " (not voting)");

		json_object_array_add(members, json_object_new_string(text));
	}
	return members;
}

static struct json_object *shards_json(struct controller *controller, int64_t now, apr_pool_t *pool)
{
	static const char *const roles[] = { "standby", "asking", "contender", "owner" };
	struct json_object *shards = json_object_new_array();

	for (int i = 0; i < SHARD_COUNT; i++) {
		struct raft *raft = &controller->shards[i];
		struct json_object *shard = json_object_new_object();

		json_add_number(shard, "part", i);
		json_add_text(shard, "role", roles[raft->role]);
		json_add_flag(shard, "licensed", raft_has_lease(raft, now));
		json_add_text(shard, "owner",
			      raft->leader_addr ? core_format_addr(pool, raft->leader_addr) : "");
		json_add_number(shard, "term", (int64_t)raft->term);
		json_add_number(shard, "commit", (int64_t)raft->log.commit_index);
		json_object_object_add(shard, "members", members_json(raft, pool));
		json_object_array_add(shards, shard);
	}
	return shards;
}

/* List the nodes that report to the control shard's leader; the list is empty on other controllers. */
static struct json_object *nodes_json(const struct controller *controller, int64_t now, apr_pool_t *pool)
{
	struct json_object *nodes = json_object_new_array();

	if (!leads_shard(controller, SHARD_CONTROL, now))
		return nodes;
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++) {
		const struct controller_node_status *status = &controller->membership.nodes[i];
		struct json_object *node = json_object_new_object();

		json_add_text(node, "addr", core_format_addr(pool, status->addr));
		json_add_flag(node, "counter", status->is_router);
		json_add_number(node, "edition", (int64_t)status->config_revision);
		json_add_number(node, "horizon", (int64_t)status->purge_horizon);
		json_add_number(node, "heard_ms", now - status->last_request_at_ms);
		json_object_array_add(nodes, node);
	}
	return nodes;
}

/* List the servers of the services whose shards this node leads. */
static struct json_object *servers_json(const struct controller *controller, int64_t now)
{
	struct json_object *servers = json_object_new_array();

	for (ptrdiff_t i = 0; i < arrlen(controller->server_rollout.servers); i++) {
		const struct controller_server *server = &controller->server_rollout.servers[i];
		struct json_object *json;

		if (!leads_shard(controller, core_service_shard(server->service, SHARD_SERVICES), now))
			continue;
		json = json_object_new_object();
		json_add_text(json, "server", server->name);
		json_add_text(json, "weights", server->weights);
		json_add_text(json, "loading", server->loading);
		json_add_number(json, "carried", (int64_t)server->purged_tick);
		json_add_number(json, "reported_ms", now - server->reported_at_ms);
		json_object_array_add(servers, json);
	}
	return servers;
}

/* Get the server instances: those that this node discovers as the leader, else its copy of the leader's. */
static const struct instances *current_instances(const struct controller *controller, int64_t now)
{
	if (leads_shard(controller, SHARD_CONTROL, now) && controller->instances.is_publishable)
		return &controller->instances;
	return &controller->config_watch.instances;
}

static const char *state_json(struct controller *controller, int64_t now, apr_pool_t *pool)
{
	struct json_object *json = json_object_new_object();
	const char *text;

	json_add_text(json, "scope", "this node alone");
	json_add_text(json, "id", hex_id(controller->identity.id, pool));
	json_add_text(json, "addr", core_format_addr(pool, controller->identity.addr));
	json_add_text(json, "fleet", hex_id(controller->identity.fleet_id, pool));
	json_add_number(json, "edition", (int64_t)controller->config_watch.table.revision);
	json_add_number(json, "age_ms", config_watch_age_ms(&controller->config_watch, now));
	json_add_number(json, "horizon", (int64_t)controller->relay.knowledge.horizon);
	json_add_flag(json, "publisher", controller->relay.is_publisher);
	json_object_object_add(json, "parts", shards_json(controller, now, pool));
	json_object_object_add(json, "nodes", nodes_json(controller, now, pool));
	json_object_object_add(json, "servers", servers_json(controller, now));
	json_object_object_add(json, "operator_calls", operator_calls_json(controller));
	if (controller->bounds.use_endpoint_list)
		json_object_object_add(json, "sights", instances_json(current_instances(controller, now)));
	text = apr_pstrdup(pool, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return text;
}

void read_state(struct controller *controller, const struct controller_event *event, int64_t now,
		struct command_list *out)
{
	command_answer(out, event->payload.api_call.token, 200, 0, state_json(controller, now, out->pool));
}
