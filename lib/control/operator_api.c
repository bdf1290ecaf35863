#include "operator_api.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"
#include "leadership.h"
#include "proposals.h"
#include "retention_report.h"
#include "controller_private.h"

static const char *config_table_json(const struct config_table *table, apr_pool_t *pool)
{
	struct json_object *json = json_object_new_object(), *rows = json_object_new_array();
	const char *s;

	json_object_object_add(json, "edition", json_object_new_int64((int64_t)table->revision));
	json_object_object_add(json, "plan",
			       json_object_new_int64((int64_t)config_table_operator_revision(table)));
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		json_object_array_add(rows, config_row_json(table->rows[i].value.row));
	json_object_object_add(json, "rows", rows);
	s = apr_pstrdup(pool, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return s;
}

/* NOLINTNEXTLINE(readability-function-size): a flat list of members */
static const char *state_json(struct controller *controller, int64_t now, apr_pool_t *pool)
{
	static const char *const roles[] = { "standby", "asking", "contender", "owner" };
	struct json_object *json = json_object_new_object(), *a = json_object_new_array();
	const char *s;

	json_object_object_add(json, "scope", json_object_new_string("this node alone"));
	json_object_object_add(
	    json, "id",
	    json_object_new_string(apr_psprintf(pool, "%016" APR_UINT64_T_HEX_FMT, controller->id)));
	json_object_object_add(json, "addr",
			       json_object_new_string(core_format_addr(pool, controller->addr)));
	json_object_object_add(
	    json, "fleet",
	    json_object_new_string(apr_psprintf(pool, "%016" APR_UINT64_T_HEX_FMT, controller->fleet)));
	json_object_object_add(json, "edition",
			       json_object_new_int64((int64_t)controller->config_watch.table.revision));
	json_object_object_add(json, "age_ms",
			       json_object_new_int64(config_watch_age_ms(&controller->config_watch, now)));
	json_object_object_add(json, "horizon",
			       json_object_new_int64((int64_t)controller->relay.knowledge.horizon));
	json_object_object_add(json, "publisher", json_object_new_boolean(controller->relay.is_publisher));
	for (int i = 0; i < SHARD_COUNT; i++) {
		struct raft *raft = &controller->shards[i];
		struct json_object *x = json_object_new_object(), *ms = json_object_new_array();

		json_object_object_add(x, "part", json_object_new_int(i));
		json_object_object_add(x, "role", json_object_new_string(roles[raft->role]));
		json_object_object_add(x, "licensed", json_object_new_boolean(raft_has_lease(raft, now)));
		json_object_object_add(x, "owner",
				       json_object_new_string(raft->leader_addr
								  ? core_format_addr(pool, raft->leader_addr)
								  : ""));
		json_object_object_add(x, "term", json_object_new_int64((int64_t)raft->term));
		json_object_object_add(x, "commit", json_object_new_int64((int64_t)raft->commit_index));
		for (int k = 0; k < raft->member_count; k++)
			json_object_array_add(
			    ms, json_object_new_string(apr_psprintf(
				    pool, "%016" APR_UINT64_T_HEX_FMT "@%s%s", raft->members[k].id,
				    core_format_addr(pool, raft->members[k].addr),
				    raft->members[k].voter ? "" : " (not voting)")));
		json_object_object_add(x, "members", ms);
		json_object_array_add(a, x);
	}
	json_object_object_add(json, "parts", a);
	a = json_object_new_array();
	for (ptrdiff_t i = 0;
	     i < arrlen(controller->node_statuses) && leads_shard(controller, SHARD_CONTROL, now); i++) {
		struct json_object *x = json_object_new_object();

		json_object_object_add(
		    x, "addr",
		    json_object_new_string(core_format_addr(pool, controller->node_statuses[i].addr)));
		json_object_object_add(x, "counter",
				       json_object_new_boolean(controller->node_statuses[i].is_router));
		json_object_object_add(x, "edition",
				       json_object_new_int64((int64_t)controller->node_statuses[i].revision));
		json_object_object_add(x, "horizon",
				       json_object_new_int64((int64_t)controller->node_statuses[i].horizon));
		json_object_object_add(
		    x, "heard_ms", json_object_new_int64(now - controller->node_statuses[i].observed_at_ms));
		json_object_array_add(a, x);
	}
	json_object_object_add(json, "nodes", a);
	a = json_object_new_array();
	for (ptrdiff_t i = 0; i < arrlen(controller->rollout_servers); i++) {
		struct json_object *x = json_object_new_object();

		if (!leads_shard(controller,
				 core_shard_of(controller->rollout_servers[i].service, SHARD_SERVICES),
				 now)) {
			json_object_put(x);
			continue;
		}
		json_object_object_add(x, "server",
				       json_object_new_string(controller->rollout_servers[i].name));
		json_object_object_add(x, "weights",
				       json_object_new_string(controller->rollout_servers[i].weights));
		json_object_object_add(x, "loading",
				       json_object_new_string(controller->rollout_servers[i].loading));
		json_object_object_add(
		    x, "carried", json_object_new_int64((int64_t)controller->rollout_servers[i].purged_tick));
		json_object_object_add(
		    x, "reported_ms",
		    json_object_new_int64(now - controller->rollout_servers[i].reported_at_ms));
		json_object_array_add(a, x);
	}
	json_object_object_add(json, "servers", a);
	json_object_object_add(json, "operator_calls", operator_calls_json(controller));
	if (controller->bounds.discover_instances)
		json_object_object_add(json, "sights",
				       instances_json(leads_shard(controller, SHARD_CONTROL, now) &&
							      controller->instances.is_publishable
							  ? &controller->instances
							  : &controller->config_watch.instances));
	s = apr_pstrdup(pool, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return s;
}

void read_state(struct controller *controller, const struct controller_event *event, int64_t now,
		struct command_list *out)
{
	command_answer(out, event->payload.api_call.token, 200, 0, state_json(controller, now, out->pool));
}

/* ---- reads on the leader's word -------------------------------------------------------------- */

static void begin_read(struct controller *controller, uint64_t call_token, Nl__ReadKind kind, int64_t now)
{
	struct controller_pending_read pending = { call_token, ++controller->last_token, kind, now, now };

	arrput(controller->pending_reads, pending);
}

void read_config_table(struct controller *controller, const struct controller_event *event, int64_t now,
		       struct command_list *out)
{
	begin_read(controller, event->payload.api_call.token, NL__READ_KIND__READ_TABLE, now);
	config_watch_poll(&controller->config_watch, controller->relay.knowledge.horizon, now, out);
}

void read_retention(struct controller *controller, const struct controller_event *event, int64_t now,
		    struct command_list *out)
{
	(void)out;
	begin_read(controller, event->payload.api_call.token, NL__READ_KIND__READ_RETENTION, now);
}

void read_retention_report(struct controller *controller, const struct controller_event *event, int64_t now,
			   struct command_list *out)
{
	(void)out;
	begin_read(controller, event->payload.api_call.token, NL__READ_KIND__READ_RETENTION_REPORT, now);
}

void on_read_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		     struct command_list *out)
{
	struct Nl__ReadReply *reply;
	struct Nl__LeaderHint *hint;
	const char *body;

	if (!leads_shard(controller, SHARD_CONTROL, now)) {
		hint = MESSAGE_NEW(out, Nl__LeaderHint, NL__LEADER_HINT__INIT);
		hint->leader_id = leader_hint(controller, SHARD_CONTROL, now);
		command_send(out, message->addr, SHARD_CONTROL, NL__MSG__BODY_LEADER_HINT)->leader_hint =
		    hint;
		return;
	}
	if (message->read->kind == NL__READ_KIND__READ_RETENTION)
		body = retention_json(controller, now, out->pool);
	else if (message->read->kind == NL__READ_KIND__READ_RETENTION_REPORT)
		body = retention_csv(controller, out->pool);
	else
		return;
	reply = MESSAGE_NEW(out, Nl__ReadReply, NL__READ_REPLY__INIT);
	reply->token = message->read->token;
	reply->body.data = (uint8_t *)(uintptr_t)body;
	reply->body.len = strlen(body);
	command_send(out, message->addr, SHARD_CONTROL, NL__MSG__BODY_READ_REPLY)->read_reply = reply;
}

void on_read_reply(struct controller *controller, const struct Nl__ReadReply *reply, int64_t now,
		   struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->pending_reads); i++) {
		const struct controller_pending_read *pending = &controller->pending_reads[i];

		if (pending->token != reply->token ||
		    now >= pending->requested_at_ms + CONTROLLER_CALL_TIMEOUT_MS)
			continue;
		command_answer_until(
		    out, pending->call_token, 200,
		    apr_pstrmemdup(out->pool, (const char *)reply->body.data, reply->body.len),
		    pending->requested_at_ms + CONTROLLER_CALL_TIMEOUT_MS);
		arrdel(controller->pending_reads, i);
		return;
	}
}

/* Ask whoever leads, as far as is known. */
static void query_leader(struct controller *controller, struct controller_pending_read *pending, int64_t now,
			 struct command_list *out)
{
	struct Nl__Read *query;

	if (pending->kind == NL__READ_KIND__READ_TABLE ||
	    now < pending->retry_at_ms) /* the table comes with the following */
		return;
	pending->retry_at_ms = now + CONTROLLER_PROPOSAL_RETRY_MS / 4;
	query = MESSAGE_NEW(out, Nl__Read, NL__READ__INIT);
	query->token = pending->token;
	query->kind = pending->kind;
	command_send(out, config_watch_leader_addr(&controller->config_watch, SHARD_CONTROL), SHARD_CONTROL,
		     NL__MSG__BODY_READ)
	    ->read = query;
}

void reads_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	for (ptrdiff_t i = arrlen(controller->pending_reads) - 1; i >= 0; i--) {
		struct controller_pending_read *pending = &controller->pending_reads[i];
		int is_current = pending->kind == NL__READ_KIND__READ_TABLE &&
				 controller->config_watch.fetched_at_ms >= pending->requested_at_ms;

		if (is_current) {
			command_answer_until(out, pending->call_token, 200,
					     config_table_json(&controller->config_watch.table, out->pool),
					     pending->requested_at_ms + CONTROLLER_CALL_TIMEOUT_MS);
		} else if (leader_reachable(controller, now) &&
			   now < pending->requested_at_ms + CONTROLLER_CALL_TIMEOUT_MS) {
			query_leader(controller, pending, now, out);
			continue;
		} else {
			reject_without_leader(pending->call_token, out);
		}
		arrdel(controller->pending_reads, i);
	}
}

/* ---- orders that are passed on to the leader --------------------------------------------------- */

/* Who sent an order and what it is, so that it is known when it is sent again. 0: its key is none, and it is
 * answered so. */
static int identify_request(const struct controller_event *event, int versioned, uint64_t base_version,
			    struct request_key *key, struct command_list *out)
{
	if (event->payload.api_call.idempotency_key &&
	    !idempotency_key_is_valid(event->payload.api_call.idempotency_key)) {
		command_answer(out, event->payload.api_call.token, 400, 0,
			       error_json(out->pool, ORDER_KEY_INVALID, 0));
		return 0;
	}
	request_key_init(key, event->payload.api_call.idempotency_key, event->payload.api_call.path,
			 versioned, base_version, event->payload.api_call.body,
			 strlen(event->payload.api_call.body));
	return 1;
}

void change_config_table(struct controller *controller, const struct controller_event *event, int64_t now,
			 struct command_list *out)
{
	struct Nl__RequestKey packed_key = NL__REQUEST_KEY__INIT;
	struct Nl__Operation operation = NL__OPERATION__INIT;
	struct request_key key;
	const char *error = NULL;

	operation.body_case = NL__OPERATION__BODY_CHANGE;
	operation.change = config_change_parse(event->payload.api_call.body, out->pool, &error);
	if (error) { /* no change at all, whatever the table holds: that is for the leader to judge */
		command_answer(out, event->payload.api_call.token, 400, 0, error_json(out->pool, error, 0));
		return;
	}
	if (!identify_request(event, !operation.change->any_revision, operation.change->expected_revision,
			      &key, out))
		return;
	operation.request_key = request_key_pack(&key, &packed_key);
	propose(controller, SHARD_CONTROL, &operation, event->payload.api_call.token, now);
}

void purge_context(struct controller *controller, const struct controller_event *event, int64_t now,
		   struct command_list *out)
{
	struct json_object *json = json_tokener_parse(event->payload.api_call.body);
	struct Nl__RequestKey packed_key = NL__REQUEST_KEY__INIT;
	struct Nl__Operation operation = NL__OPERATION__INIT;
	struct Nl__RetentionStep clear = NL__RETENTION_STEP__INIT;
	struct request_key key;

	operation.body_case = NL__OPERATION__BODY_RETENTION_STEP;
	operation.retention_step = &clear;
	clear.step = NL__RETENTION_STEP_KIND__RETENTION_STEP_NOW;
	clear.scope = (char *)json_string_member(json, "scope");
	clear.requested_by =
	    (char *)(json_string_member(json, "by")[0] ? json_string_member(json, "by") : "an operator");
	if (strpbrk(clear.requested_by, ",\"\r\n") || strlen(clear.requested_by) > 100) {
		command_answer(
		    out, event->payload.api_call.token, 400, 0,
		    error_json(out->pool, "by: up to 100 characters without commas and quotes", 0));
	} else if (identify_request(event, 0, 0, &key, out)) {
		operation.request_key = request_key_pack(&key, &packed_key);
		propose(controller, SHARD_CONTROL, &operation, event->payload.api_call.token, now);
	}
	json_object_put(json);
}
