#include "membership.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"
#include "leadership.h"
#include "proposals.h"
#include "controller_private.h"

int64_t controller_live_window_ms(const struct controller *controller)
{
	int64_t window_ms = controller->bounds.member_catch_up_ms / 5;

	return window_ms < CONTROLLER_NODE_LIVE_MS ? window_ms : CONTROLLER_NODE_LIVE_MS;
}

static int64_t member_lost_after_ms(const struct controller *controller)
{
	return controller->bounds.member_catch_up_ms * 3 / 5;
}

void membership_register_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	char row_name[20];
	const struct Nl__Row *row;
	struct Nl__Operation operation = NL__OPERATION__INIT;
	struct Nl__Change change = NL__CHANGE__INIT;
	struct Nl__Row own_row = NL__ROW__INIT, *changed_rows[1] = { &own_row };

	if (now - controller->membership.registered_at_ms < 1000 ||
	    config_watch_age_ms(&controller->config_watch, now) > 600 || controller->is_stopping)
		return;
	apr_snprintf(row_name, sizeof row_name, "%016" APR_UINT64_T_HEX_FMT, controller->identity.id);
	row = config_table_get(&controller->config_watch.table, NL__KIND__CONTROLLER, row_name);
	own_row.kind = NL__KIND__CONTROLLER;
	own_row.name = row_name;
	own_row.id = controller->identity.id;
	own_row.addr = (char *)core_format_addr(out->pool, controller->identity.addr);
	own_row.zone = (char *)controller->identity.zone;
	if (row && !strcmp(row->addr, own_row.addr) && !strcmp(row->zone, own_row.zone))
		return;
	controller->membership.registered_at_ms = now;
	change.any_revision = 1;
	change.set = changed_rows;
	change.n_set = 1;
	operation.body_case = NL__OPERATION__BODY_CHANGE;
	operation.change = &change;
	propose(controller, SHARD_CONTROL, &operation, 0, now);
}

/* Reconfigure the groups that this node leads, towards the number of replicas that the bounds require. */
static void reconfigure_groups(struct controller *controller, int64_t now)
{
	struct raft_member live[CONFIG_WATCH_MAX_CONTROLLERS];
	const struct Nl__Row *row;
	char row_name[20];
	int live_count = 0;

	memset(live, 0, sizeof live);
	for (; live_count < controller->config_watch.live_controller_count; live_count++) {
		live[live_count].id = controller->config_watch.live_controller_ids[live_count];
		live[live_count].addr = controller->config_watch.live_controller_addrs[live_count];
		apr_snprintf(row_name, sizeof row_name, "%016" APR_UINT64_T_HEX_FMT, live[live_count].id);
		row = config_table_get(&controller->config_watch.table, NL__KIND__CONTROLLER, row_name);
		live[live_count].zone = row ? core_hash_string(0, row->zone) : 0;
	}
	for (int i = 0; i < SHARD_COUNT; i++) {
		controller->shards[i].group.target_voters =
		    controller->bounds.replicas < RAFT_MIN_VOTERS        ? RAFT_MIN_VOTERS
		    : controller->bounds.replicas < RAFT_MAX_MEMBERS - 1 ? controller->bounds.replicas
									 : RAFT_MAX_MEMBERS - 1;
		controller->shards[i].group.member_lost_ms = member_lost_after_ms(controller);
		raft_reconfigure(&controller->shards[i], live, live_count, now);
	}
}

static int has_recent_contact(const struct controller *controller, uint64_t node_id, int64_t now)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++)
		if (controller->membership.nodes[i].id == node_id)
			return now - controller->membership.nodes[i].last_request_at_ms <
			       CONTROLLER_NODE_LIVE_MS;
	return 0;
}

/* Send a leader hint to the address of each silent controller. A new controller with an empty disk may run
 * there; if its seeds are new as well, it cannot find the fleet without the hint. */
static void announce_fleet(struct controller *controller, int64_t now, struct command_list *out)
{
	if (now - controller->membership.announced_at_ms < CONTROLLER_ANNOUNCE_INTERVAL_MS)
		return;
	controller->membership.announced_at_ms = now;
	for (ptrdiff_t i = 0; i < shlen(controller->config.table.rows); i++) {
		const struct Nl__Row *row = controller->config.table.rows[i].value.row;
		struct Nl__LeaderHint *hint;

		if (row->kind != NL__KIND__CONTROLLER || has_recent_contact(controller, row->id, now) ||
		    !core_parse_addr(row->addr))
			continue;
		hint = MESSAGE_NEW(out, Nl__LeaderHint, NL__LEADER_HINT__INIT);
		hint->leader_addr = out->addr;
		command_send(out, core_parse_addr(row->addr), SHARD_CONTROL, NL__MSG__BODY_LEADER_HINT)
		    ->leader_hint = hint;
	}
}

/* Delete the row of one controller from which this leader has not received a request; at most one at a time.
 */
static void remove_one_absent_controller(struct controller *controller, int64_t now, struct command_list *out)
{
	for (ptrdiff_t i = 0; i < shlen(controller->config.table.rows); i++) {
		struct Nl__Row *row = controller->config.table.rows[i].value.row, *deleted_rows[1] = { row };
		struct Nl__Operation operation = NL__OPERATION__INIT;
		struct Nl__Change change = NL__CHANGE__INIT;
		int is_kept = row->kind != NL__KIND__CONTROLLER;

		for (ptrdiff_t k = 0; k < arrlen(controller->membership.nodes) && !is_kept; k++)
			is_kept = controller->membership.nodes[k].id == row->id;
		if (is_kept)
			continue;
		change.any_revision = 1;
		change.deleted = deleted_rows;
		change.n_deleted = 1;
		operation.body_case = NL__OPERATION__BODY_CHANGE;
		operation.change = &change;
		log_operation(controller, SHARD_CONTROL, &operation, now, out);
		return;
	}
}

void membership_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	if (now - controller->membership.reconfigured_at_ms < CONTROLLER_RECONFIGURE_INTERVAL_MS ||
	    config_watch_age_ms(&controller->config_watch, now) > CONFIG_WATCH_ADMIT_STALENESS_MS)
		return;
	controller->membership.reconfigured_at_ms = now;
	reconfigure_groups(controller, now);
	if (!leads_shard(controller, SHARD_CONTROL, now))
		return;
	announce_fleet(controller, now, out);
	if (now - controller->leadership[SHARD_CONTROL].started_at_ms >=
	    CONTROLLER_REMOVE_ABSENT_CONTROLLERS_MS)
		remove_one_absent_controller(controller, now, out);
}
