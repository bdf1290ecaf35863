#include "controller.h"

#include <stdlib.h>
#include <string.h>

#include "bootstrap.h"
#include "config_handover.h"
#include "config_sync.h"
#include "containers.h"
#include "rollout.h"
#include "leadership.h"
#include "leadership_change.h"
#include "membership.h"
#include "operator_api.h"
#include "operator_documents.h"
#include "operator_paths.h"
#include "proposals.h"
#include "purge_publisher.h"
#include "quota_shares.h"
#include "controller_private.h"
#include "retention.h"
#include "snapshot.h"
#include "state_machine.h"

/* Count a dropped message and log it. At most one line is logged in CONTROLLER_DROP_LOG_INTERVAL_MS; it
 * includes the number of messages dropped since the line before. */
static void log_dropped_message(struct controller *controller, const struct Nl__Msg *message,
				const char *reason, int64_t now, struct command_list *out)
{
	controller->drop_log.dropped_count++;
	if (controller->drop_log.logged_count &&
	    now - controller->drop_log.logged_at_ms < CONTROLLER_DROP_LOG_INTERVAL_MS)
		return;
	log_line(controller, "raft", out->pool,
		 "message dropped, kind %d, from %s: %s; %" APR_UINT64_T_FMT
		 " messages dropped since the last such line",
		 (int)message->body_case, core_format_addr(out->pool, message->addr), reason,
		 controller->drop_log.dropped_count - controller->drop_log.logged_count);
	controller->drop_log.logged_count = controller->drop_log.dropped_count;
	controller->drop_log.logged_at_ms = now;
}

static void on_raft_message(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out)
{
	enum raft_fault fault;
	const char *drop_reason = NULL;

	if (!controller->identity.fleet_id)
		return; /* no fault: a new member receives messages of its groups before it has received the
			   identity of its fleet */
	if (message->fleet_id != controller->identity.fleet_id)
		drop_reason = "fleet id missing or different";
	else if (message->shard >= SHARD_COUNT)
		drop_reason = "unknown shard number";
	else if ((fault = raft_receive(&controller->shards[message->shard], message, now, out)))
		drop_reason = raft_fault_strerror(fault);
	if (drop_reason)
		log_dropped_message(controller, message, drop_reason, now, out);
}

/* Update this node's copy of the configuration from a leader's reply or a leader hint. A node without a fleet
 * adopts the fleet of the reply. */
static void on_config_reply(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out)
{
	int64_t previous_fetched_at_ms = controller->config_watch.confirmed_at_ms;

	if (config_watch_receive(&controller->config_watch, message, now, out))
		rollout_on_target_change(controller, previous_fetched_at_ms);
	if (!controller->identity.fleet_id && controller->config_watch.fleet_id) {
		controller->identity.fleet_id = controller->config_watch.fleet_id;
		controller->identity.is_fleet_unsaved = true;
	}
}

/* A relay requests purge values. The publisher answers; another controller replies with the address of the
 * purge shard's leader. */
static void on_curiosity(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			 struct command_list *out)
{
	struct Nl__LeaderHint *hint;

	if (controller->relay.is_publisher && leads_shard(controller, SHARD_PURGE, now)) {
		relay_receive(&controller->relay, message, now, out);
		return;
	}
	hint = MESSAGE_NEW(out, Nl__LeaderHint, NL__LEADER_HINT__INIT);
	hint->leader_addr = leader_hint(controller, SHARD_PURGE, now);
	command_send(out, message->addr, SHARD_PURGE, NL__MSG__BODY_LEADER_HINT)->leader_hint = hint;
}

/* Pass a message to the service that handles its kind. Kinds that controllers do not handle are ignored. */
static void on_service_message(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			       struct command_list *out)
{
	switch (message->body_case) {
	case NL__MSG__BODY_CONFIG_SYNC:
		if (!config_handover_intercept(controller, message, now, out))
			on_config_sync_request(controller, message, now, out);
		break;
	case NL__MSG__BODY_CONFIG_SYNC_REPLY:
	case NL__MSG__BODY_LEADER_HINT:
		on_config_reply(controller, message, now, out);
		break;
	case NL__MSG__BODY_PROPOSE:
		on_proposal(controller, message, now, out);
		break;
	case NL__MSG__BODY_PROPOSE_REPLY:
		on_proposal_reply(controller, message->propose_reply, now, out);
		break;
	case NL__MSG__BODY_READ:
		on_read_request(controller, message, now, out);
		break;
	case NL__MSG__BODY_READ_REPLY:
		on_read_reply(controller, message->read_reply, now, out);
		break;
	case NL__MSG__BODY_FEED_REQUEST:
		publisher_on_feed_request(controller, message, now, out);
		break;
	case NL__MSG__BODY_FEED_REPLY:
		publisher_on_feed_reply(controller, message, now, out);
		break;
	case NL__MSG__BODY_CURIOSITY:
		on_curiosity(controller, message, now, out);
		break;
	case NL__MSG__BODY_KNOWLEDGE:
	case NL__MSG__BODY_PURGE_SNAPSHOT:
		relay_receive(&controller->relay, message, now, out);
		break;
	case NL__MSG__BODY_BOOTSTRAP:
		on_bootstrap_message(controller, message, now, out);
		break;
	default:
		break;
	}
}

static void on_message(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		       struct command_list *out)
{
	if (message->protocol_version != CORE_PROTOCOL_VERSION ||
	    (message->fleet_id && controller->identity.fleet_id &&
	     message->fleet_id != controller->identity.fleet_id)) {
		log_dropped_message(controller, message, "fleet id or protocol version differs", now, out);
		return;
	}
	switch (message->body_case) {
	case NL__MSG__BODY_VOTE_REQUEST:
	case NL__MSG__BODY_VOTE_REPLY:
	case NL__MSG__BODY_APPEND:
	case NL__MSG__BODY_APPEND_REPLY:
	case NL__MSG__BODY_SNAPSHOT_CHUNK:
	case NL__MSG__BODY_SNAPSHOT_REPLY:
	case NL__MSG__BODY_STEP_DOWN:
	case NL__MSG__BODY_PROBE:
	case NL__MSG__BODY_PROBE_REPLY:
		on_raft_message(controller, message, now, out);
		break;
	default:
		on_service_message(controller, message, now, out);
		break;
	}
}

static void controller_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	for (int i = 0; i < SHARD_COUNT; i++)
		if (controller->identity.fleet_id)
			raft_tick(&controller->shards[i], now, out);
	bootstrap_tick(controller, now, out);
	for (uint32_t i = 0; i < SHARD_COUNT; i++) /* a group member's own view of the leader is the newest */
		if (leader_hint(controller, i, now))
			controller->config_watch.leader_addr[i] = leader_hint(controller, i, now);
	if (controller->is_stopping)
		return;
	config_watch_tick(&controller->config_watch, controller->relay.knowledge.horizon, now, out);
	membership_register_tick(controller, now, out);
	membership_tick(controller, now, out);
	if (controller->relay.is_publisher && leads_shard(controller, SHARD_PURGE, now))
		publisher_tick(controller, now, out);
	if (!controller->relay.is_publisher)
		relay_set_upstreams(&controller->relay, NULL, 0,
				    config_watch_publisher_addr(&controller->config_watch,
								controller->relay.horizon_moved_at_ms, now),
				    now);
	relay_tick(&controller->relay, now, out);
	rollout_tick(controller, now, out);
	rollout_instances_tick(controller, now, out);
	retention_tick(controller, now, out);
	retention_trim_logs(controller, now, out);
}

/* After a retention purge, replace the log and the snapshots of the shard on the disk by a new snapshot, so
 * that the purged data is no longer stored. */
static void compact_purged_logs(struct controller *controller, struct command_list *out)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		if (controller->compaction[i].is_snapshot_needed &&
		    !controller->shards[i].snapshots.must_load_newest) {
			controller->shards[i].snapshots.drop_log_tail = 1;
			controller->compaction[i].is_snapshot_needed = false;
			snapshot_create(controller, i, out);
		}
}

static void on_server_report(struct controller *controller, uint64_t token, int status, const char *body,
			     int64_t now, struct command_list *out)
{
	if (!token || status != 200)
		return;
	for (ptrdiff_t i = 0; i < arrlen(controller->server_rollout.servers); i++)
		if (controller->server_rollout.servers[i].call_token == token)
			rollout_on_server_report(controller, &controller->server_rollout.servers[i], body,
						 now, out);
}

static void on_stop(struct controller *controller, int64_t now, struct command_list *out)
{
	controller->is_stopping = true;
	for (int i = 0; i < SHARD_COUNT; i++)
		raft_drain(&controller->shards[i], now);
	bootstrap_stop(controller, out);
}

static void on_event(struct controller *controller, const struct controller_event *event, int64_t now,
		     struct command_list *out)
{
	switch (event->kind) {
	case CONTROLLER_TICK:
		controller_tick(controller, now, out);
		break;
	case CONTROLLER_MESSAGE:
		on_message(controller, event->payload.message, now, out);
		break;
	case CONTROLLER_SYNCED:
		raft_synced(&controller->shards[event->payload.synced.shard], event->payload.synced.sequence,
			    now, out);
		break;
	case CONTROLLER_API_CALL:
	case CONTROLLER_PUT_DOCUMENT:
	case CONTROLLER_READ_DOCUMENT:
	case CONTROLLER_SET_TARGET_WEIGHTS:
		on_operator_call(controller, event, now, out);
		break;
	case CONTROLLER_CALLER_DISCONNECTED:
		operator_calls_disconnected(controller, event->payload.disconnected.token);
		break;
	case CONTROLLER_CALL_RESULT:
		on_server_report(controller, event->payload.call_result.token,
				 event->payload.call_result.status, event->payload.call_result.body, now,
				 out);
		break;
	case CONTROLLER_SERVERS_LISTED:
		instances_on_list(&controller->instances, event->payload.servers_listed.token,
				  event->payload.servers_listed.is_complete,
				  event->payload.servers_listed.instances,
				  event->payload.servers_listed.instance_count, now);
		break;
	case CONTROLLER_REPORT_POLLED:
		rollout_on_poll_reply(
		    controller, event->payload.report_polled.token, event->payload.report_polled.status,
		    event->payload.report_polled.weights, event->payload.report_polled.is_loading, now);
		break;
	case CONTROLLER_LOAD_ANSWERED:
		rollout_on_command_reply(controller, event->payload.load_answered.token,
					 event->payload.load_answered.status,
					 event->payload.load_answered.never_sent, now, out);
		break;
	case CONTROLLER_STOP:
		on_stop(controller, now, out);
		break;
	default:
		break;
	}
}

/* Apply the committed log entries of a shard and notify the services that each entry concerns. */
static void apply_committed_entries(struct controller *controller, uint32_t shard, int64_t now,
				    struct command_list *out)
{
	const struct raft_entry *entry;
	uint64_t index;

	while ((entry = raft_next_committed(&controller->shards[shard], &index))) {
		struct apply_result applied = state_machine_apply(controller, shard, index, entry, out->pool);

		if (applied.logged_value)
			publisher_on_value_logged(controller, applied.logged_value, applied.is_value_new, now,
						  out);
		if (applied.commanded_server)
			rollout_on_intent_logged(controller, applied.commanded_server, now);
		if (shard == SHARD_CONTROL)
			answer_logged_calls(controller, index, applied.status, out);
		answer_proposer(controller, shard, index, applied, out);
	}
}

static void advance_shard(struct controller *controller, uint32_t shard, int64_t now,
			  struct command_list *out)
{
	struct raft *raft = &controller->shards[shard];

	if (raft->snapshots.must_load_newest) {
		snapshot_load(controller, shard, out->pool);
		if (shard == SHARD_CONTROL) {
			quota_shares_invalidate_table(&controller->quota_shares);
			/* snapshots do not contain load commands: those logged before are unknown here */
			controller->rollout.intents_unknown_until_ms = now;
		}
		raft->snapshots.must_load_newest = 0;
	}
	on_leadership_lost(controller, shard, now, out);
	apply_committed_entries(controller, shard, now, out);
	on_leadership_gained(controller, shard, now, out);
	if (raft_needs_snapshot(raft))
		snapshot_create(controller, shard, out);
}

void controller_step(struct controller *controller, const struct controller_event *event, int64_t now,
		     struct command_list *out)
{
	ptrdiff_t first_command = arrlen(out->commands);

	out->id = controller->identity.id;
	out->addr = controller->identity.addr;
	out->fleet = controller->identity.fleet_id;
	controller->config_watch.wall_clock_ms = controller->clocks.wall_ms;
	compact_purged_logs(controller, out);
	on_event(controller, event, now, out);
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		advance_shard(controller, i, now, out);
	config_handover_tick(controller, now, out);
	proposals_tick(controller, now, out);
	expire_logged_calls(controller, now, out);
	pending_reads_tick(controller, now, out);
	operator_calls_count(&controller->operators.call_counts, out, first_command);
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		raft_flush(&controller->shards[i], now, out);
}

void controller_open(struct controller *controller, uint64_t id, uint64_t addr, const char *zone,
		     const uint64_t *seeds, int seed_count, uint64_t fleet, uint64_t seed,
		     const struct raft_saved *const *saved, int64_t now)
{
	memset(controller, 0, sizeof *controller);
	controller->identity.id = id;
	controller->identity.addr = addr;
	controller->identity.zone = zone;
	controller->identity.fleet_id = fleet;
	controller->identity.random_state = seed;
	controller->identity.last_token = core_random(&controller->identity.random_state) >>
					  2; /* differs from all tokens of an earlier incarnation */
	controller->identity.incarnation = controller->identity.last_token + 1;
	controller->identity.seed_count =
	    seed_count > CONTROLLER_MAX_SEEDS ? CONTROLLER_MAX_SEEDS : seed_count;
	memcpy(controller->identity.seeds, seeds, (size_t)controller->identity.seed_count * sizeof *seeds);
	controller->bounds = bounds_default;
	config_table_open(&controller->config.table);
	instances_open(&controller->instances);
	rollout_open(&controller->rollout, now);
	for (int i = 0; i < SHARD_SERVICES; i++)
		reset_service_state(&controller->service_states[i]);
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		raft_open(&controller->shards[i], i, id, seed, saved ? saved[i] : NULL, now);
	sh_new_strdup(controller->server_rollout.targets);
	quota_shares_open(&controller->quota_shares);
	config_watch_open(&controller->config_watch, id, seeds, controller->identity.seed_count, now);
	controller->config_watch.fleet_id = fleet;
	controller->config_watch.zone = zone;
	relay_open(&controller->relay, now);
}

void controller_close(struct controller *controller)
{
	for (int i = 0; i < SHARD_COUNT; i++)
		raft_close(&controller->shards[i]);
	config_table_close(&controller->config.table);
	instances_close(&controller->instances);
	rollout_close(&controller->rollout);
	retention_reset(&controller->retention);
	free_purge_values(&controller->config.purge_feed);
	completed_proposals_reset(&controller->config.completed_proposals);
	idempotency_log_reset(&controller->config.accepted_requests);
	arrfree(controller->operators.logged_calls);
	config_handover_clear(controller);
	free(controller->config.document);
	free_purge_values(&controller->purge_state.unreleased_values);
	purge_view_clear(&controller->purge_state.newest_purges);
	for (int i = 0; i < SHARD_SERVICES; i++) {
		reset_service_state(&controller->service_states[i]);
		shfree(controller->service_states[i].claims);
		shfree(controller->service_states[i].rolled_out);
	}
	config_watch_close(&controller->config_watch);
	relay_close(&controller->relay);
	for (ptrdiff_t i = 0; i < arrlen(controller->proposals.own_proposals); i++)
		nl__operation__free_unpacked(controller->proposals.own_proposals[i].operation, NULL);
	for (ptrdiff_t i = 0; i < arrlen(controller->server_rollout.servers); i++) {
		free(controller->server_rollout.servers[i].name);
		free(controller->server_rollout.servers[i].service);
	}
	if (controller->bootstrap.members)
		nl__members__free_unpacked(controller->bootstrap.members, NULL);
	for (ptrdiff_t i = 0; i < shlen(controller->server_rollout.targets); i++)
		free(controller->server_rollout.targets[i].value.weights);
	shfree(controller->server_rollout.targets);
	quota_shares_close(&controller->quota_shares);
	arrfree(controller->proposals.pending_entries);
	arrfree(controller->proposals.own_proposals);
	arrfree(controller->membership.nodes);
	arrfree(controller->operators.pending_reads);
	arrfree(controller->server_rollout.servers);
}

bool controller_may_stop(const struct controller *controller, int64_t now)
{
	if (operator_calls_open_count(controller))
		return false;
	for (int i = 0; i < SHARD_COUNT && controller->identity.fleet_id; i++)
		if (!raft_may_stop(&controller->shards[i], now))
			return false;
	return true;
}
