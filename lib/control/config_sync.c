#include "config_sync.h"

#include <string.h>

#include "containers.h"
#include "group_clock.h"
#include "leadership.h"
#include "membership.h"
#include "quota_shares.h"
#include "retention_progress.h"
#include "controller_private.h"

/* Returns whether a router is upstream of another router of its zone. A router that has been in service for a
 * while ranks before one that has just started, which has nothing to relay yet. Otherwise routers are ranked
 * by rendezvous hashing. */
static bool is_upstream(const struct controller_node_status *node, const struct controller_node_status *other)
{
	if (node->is_warm != other->is_warm)
		return node->is_warm;
	return core_rendezvous_weight(node->zone, node->id) > core_rendezvous_weight(node->zone, other->id);
}

/* Add the head of each other zone to the reply: the live router that is upstream of all others in that zone.
 */
static void add_zone_heads(const struct controller *controller, uint64_t zone,
			   struct Nl__ConfigSyncReply *reply, int64_t now, struct command_list *out)
{
	const struct controller_node_status **heads = NULL;

	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++) {
		const struct controller_node_status *node = &controller->membership.nodes[i];
		ptrdiff_t k = 0;

		if (!node->is_router || node->zone == zone ||
		    now - node->last_request_at_ms > CONTROLLER_NODE_LIVE_MS / 2)
			continue;
		while (k < arrlen(heads) && heads[k]->zone != node->zone)
			k++;
		if (k == arrlen(heads))
			arrput(heads, node);
		else if (is_upstream(node, heads[k]))
			heads[k] = node;
	}
	reply->zone_heads = apr_palloc(out->pool, ((size_t)arrlen(heads) + 1) * sizeof *reply->zone_heads);
	for (ptrdiff_t k = 0; k < arrlen(heads); k++)
		reply->zone_heads[reply->n_zone_heads++] = heads[k]->addr;
	arrfree(heads);
}

/* Add to the reply the two highest ranked live routers that are upstream of the requester in its zone. */
static void add_upstreams(const struct controller *controller, const struct controller_node_status *requester,
			  struct Nl__ConfigSyncReply *reply, int64_t now, struct command_list *out)
{
	enum { MAX_UPSTREAM = 2 };

	reply->upstreams = apr_palloc(out->pool, MAX_UPSTREAM * sizeof *reply->upstreams);
	for (int k = 0; k < MAX_UPSTREAM; k++) {
		const struct controller_node_status *best = NULL;

		for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++) {
			const struct controller_node_status *node = &controller->membership.nodes[i];

			if (!node->is_router || node->zone != requester->zone ||
			    now - node->last_request_at_ms > CONTROLLER_NODE_LIVE_MS / 2 ||
			    !is_upstream(node, requester))
				continue;
			if (reply->n_upstreams && node->addr == reply->upstreams[0])
				continue;
			if (!best || is_upstream(node, best))
				best = node;
		}
		if (best)
			reply->upstreams[reply->n_upstreams++] = best->addr;
	}
}

static void add_controllers(const struct controller *controller, struct Nl__ConfigSyncReply *reply,
			    int64_t now, struct command_list *out)
{
	reply->controllers = apr_palloc(out->pool, ((size_t)arrlen(controller->membership.nodes) + 1) *
						       sizeof *reply->controllers);
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++)
		if (!controller->membership.nodes[i].is_router &&
		    now - controller->membership.nodes[i].last_request_at_ms <
			controller_live_window_ms(controller)) {
			struct Nl__Member *member = MESSAGE_NEW(out, Nl__Member, NL__MEMBER__INIT);

			member->id = controller->membership.nodes[i].id;
			member->addr = controller->membership.nodes[i].addr;
			reply->controllers[reply->n_controllers++] = member;
		}
}

/* Record a node's status, and remove nodes that have sent no request for CONTROLLER_NODE_EXPIRY_MS. Returns 1
 * if a newer request of the node has been received before this one: the quota slots that this request reports
 * are then outdated. */
static int update_node_status(struct controller *controller, const struct controller_node_status *node,
			      int64_t now)
{
	for (ptrdiff_t i = arrlen(controller->membership.nodes) - 1; i >= 0; i--)
		if (controller->membership.nodes[i].id != node->id &&
		    now - controller->membership.nodes[i].last_request_at_ms > CONTROLLER_NODE_EXPIRY_MS)
			arrdelswap(controller->membership.nodes, i);
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++) {
		struct controller_node_status *recorded = &controller->membership.nodes[i];
		int is_outdated = node->request_token < recorded->request_token;

		if (recorded->id != node->id)
			continue;
		if (is_outdated)
			recorded->last_request_at_ms = now;
		else
			*recorded = *node;
		return is_outdated;
	}
	arrput(controller->membership.nodes, *node);
	return 0;
}

/* Returns whether routers may hold quota slots that a previous leader granted and that have not been reported
 * to this one. The first log entry of a fleet holds its members, the second one begins the term of its first
 * leader; before that no leader could have granted slots. */
static bool is_new_leader(const struct controller *controller, int64_t now)
{
	return now - controller->leadership[SHARD_CONTROL].started_at_ms < CONTROLLER_QUOTA_LEASE_MS &&
	       controller->shards[SHARD_CONTROL].log.term_start_index > 2;
}

static bool has_route(const struct config_table *table)
{
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		if (table->rows[i].value.row->kind == NL__KIND__ROUTE)
			return true;
	return false;
}

/* Returns whether the fleet has no configuration yet: no document was committed, and no route was set by
 * hand. A document without routes is a configuration. */
static bool is_unconfigured(const struct controller *controller)
{
	return !controller->config.document_version && !has_route(&controller->config.table);
}

void on_config_sync_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out)
{
	const struct Nl__ConfigSync *sync = message->config_sync;
	struct Nl__ConfigSyncReply *reply =
	    MESSAGE_NEW(out, Nl__ConfigSyncReply, NL__CONFIG_SYNC_REPLY__INIT);
	struct controller_node_status node = { message->id,
					       message->addr,
					       core_hash_string(0, sync->zone),
					       now,
					       sync->is_router,
					       sync->warmed_up,
					       sync->have_revision,
					       sync->horizon,
					       sync->token,
					       sync->wall_clock_ms,
					       sync->load_permille };
	int is_outdated;

	command_send(out, message->addr, SHARD_CONTROL, NL__MSG__BODY_CONFIG_SYNC_REPLY)->config_sync_reply =
	    reply;
	reply->token = sync->token;
	reply->fleet_id = controller->identity.fleet_id;
	reply->has_lease = leads_shard(controller, SHARD_CONTROL, now);
	reply->leader_hint = leader_hint(controller, SHARD_CONTROL, now);
	if (!reply->leader_hint && controller->config_watch.leader_addr[SHARD_CONTROL] != out->addr)
		reply->leader_hint = controller->config_watch.leader_addr[SHARD_CONTROL];
	if (!reply->has_lease)
		return;
	is_outdated = update_node_status(controller, &node, now);
	retention_on_report(controller, message, now);
	reply->group_clock_ms = group_clock_now(controller, now);
	reply->clock_term = controller->shards[SHARD_CONTROL].term;
	reply->is_unconfigured = is_unconfigured(controller);
	config_table_pack_since(&controller->config.table, sync->have_revision, reply, out->pool);
	instances_pack_since(&controller->instances, sync->instances_stamp, reply, out->pool);
	if (sync->is_router)
		add_upstreams(controller, &node, reply, now, out);
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++)
		reply->router_count +=
		    controller->membership.nodes[i].is_router &&
		    now - controller->membership.nodes[i].last_request_at_ms < CONTROLLER_NODE_LIVE_MS;
	if (sync->is_router && !reply->n_upstreams) {
		add_zone_heads(controller, node.zone, reply, now, out);
		reply->publisher = leader_hint(controller, SHARD_PURGE, now);
	}
	if (!is_outdated)
		quota_shares_update(&controller->quota_shares, &controller->config.table,
				    is_new_leader(controller, now), message->id, sync, reply->router_count,
				    reply, now, out);
	add_controllers(controller, reply, now, out);
}
