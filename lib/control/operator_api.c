#include "operator_api.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"
#include "leadership.h"
#include "proposals.h"
#include "retention_report.h"
#include "controller_private.h"
#include "config_row.h"
#include "json_add.h"

/* ---- reads that a leader with a lease confirms ---- */

static const char *config_table_json(const struct config_table *table, apr_pool_t *pool)
{
	struct json_object *json = json_object_new_object();
	struct json_object *rows = json_object_new_array();
	const char *text;

	json_add_number(json, "edition", (int64_t)table->revision);
	json_add_number(json, "plan", (int64_t)config_table_operator_revision(table));
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		json_object_array_add(rows, config_row_json(table->rows[i].value.row));
	json_object_object_add(json, "rows", rows);
	text = apr_pstrdup(pool, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return text;
}

static void add_pending_read(struct controller *controller, uint64_t call_token, Nl__ReadKind kind,
			     int64_t now)
{
	struct controller_pending_read pending = { call_token, ++controller->identity.last_token, kind, now,
						   now };

	arrput(controller->operators.pending_reads, pending);
}

void read_config_table(struct controller *controller, const struct controller_event *event, int64_t now,
		       struct command_list *out)
{
	add_pending_read(controller, event->payload.api_call.token, NL__READ_KIND__READ_TABLE, now);
	config_watch_poll(&controller->config_watch, controller->relay.knowledge.horizon, now, out);
}

void read_retention(struct controller *controller, const struct controller_event *event, int64_t now,
		    struct command_list *out)
{
	(void)out;
	add_pending_read(controller, event->payload.api_call.token, NL__READ_KIND__READ_RETENTION, now);
}

void read_retention_report(struct controller *controller, const struct controller_event *event, int64_t now,
			   struct command_list *out)
{
	(void)out;
	add_pending_read(controller, event->payload.api_call.token, NL__READ_KIND__READ_RETENTION_REPORT,
			 now);
}

void on_read_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		     struct command_list *out)
{
	struct Nl__ReadReply *reply;
	struct Nl__LeaderHint *hint;
	const char *response_body;

	if (!leads_shard(controller, SHARD_CONTROL, now)) {
		hint = MESSAGE_NEW(out, Nl__LeaderHint, NL__LEADER_HINT__INIT);
		hint->leader_addr = leader_hint(controller, SHARD_CONTROL, now);
		command_send(out, message->addr, SHARD_CONTROL, NL__MSG__BODY_LEADER_HINT)->leader_hint =
		    hint;
		return;
	}
	if (message->read->kind == NL__READ_KIND__READ_RETENTION)
		response_body = retention_report_json(controller, now, out->pool);
	else if (message->read->kind == NL__READ_KIND__READ_RETENTION_REPORT)
		response_body = retention_report_csv(controller, out->pool);
	else
		return;
	reply = MESSAGE_NEW(out, Nl__ReadReply, NL__READ_REPLY__INIT);
	reply->token = message->read->token;
	reply->body.data = (uint8_t *)(uintptr_t)response_body;
	reply->body.len = strlen(response_body);
	command_send(out, message->addr, SHARD_CONTROL, NL__MSG__BODY_READ_REPLY)->read_reply = reply;
}

void on_read_reply(struct controller *controller, const struct Nl__ReadReply *reply, int64_t now,
		   struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->operators.pending_reads); i++) {
		const struct controller_pending_read *pending = &controller->operators.pending_reads[i];

		if (pending->token != reply->token ||
		    now >= pending->requested_at_ms + CONTROLLER_CALL_TIMEOUT_MS)
			continue;
		command_answer_until(
		    out, pending->call_token, 200,
		    apr_pstrmemdup(out->pool, (const char *)reply->body.data, reply->body.len),
		    pending->requested_at_ms + CONTROLLER_CALL_TIMEOUT_MS);
		arrdel(controller->operators.pending_reads, i);
		return;
	}
}

/* Send a read to the leader, or to the controller that is tried next, and again after the retry interval. */
static void send_read_to_leader(struct controller *controller, struct controller_pending_read *pending,
				int64_t now, struct command_list *out)
{
	struct Nl__Read *request;

	if (pending->kind == NL__READ_KIND__READ_TABLE) /* config_watch fetches the table */
		return;
	if (now < pending->retry_at_ms)
		return;
	pending->retry_at_ms = now + CONTROLLER_PROPOSAL_RETRY_MS / 4;
	request = MESSAGE_NEW(out, Nl__Read, NL__READ__INIT);
	request->token = pending->token;
	request->kind = pending->kind;
	command_send(out, config_watch_leader_addr(&controller->config_watch, SHARD_CONTROL), SHARD_CONTROL,
		     NL__MSG__BODY_READ)
	    ->read = request;
}

void pending_reads_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	for (ptrdiff_t i = arrlen(controller->operators.pending_reads) - 1; i >= 0; i--) {
		struct controller_pending_read *pending = &controller->operators.pending_reads[i];
		int is_current = pending->kind == NL__READ_KIND__READ_TABLE &&
				 controller->config_watch.confirmed_at_ms >= pending->requested_at_ms;

		if (is_current) {
			command_answer_until(out, pending->call_token, 200,
					     config_table_json(&controller->config_watch.table, out->pool),
					     pending->requested_at_ms + CONTROLLER_CALL_TIMEOUT_MS);
		} else if (is_control_leader_reachable(controller, now) &&
			   now < pending->requested_at_ms + CONTROLLER_CALL_TIMEOUT_MS) {
			send_read_to_leader(controller, pending, now, out);
			continue;
		} else {
			reject_without_leader(pending->call_token, out);
		}
		arrdel(controller->operators.pending_reads, i);
	}
}

/* ---- requests that are proposed to the leader ---- */

/* Make the key by which a repeated request is recognised. Returns 0 if the idempotency key is invalid; the
 * request has then been answered with 400. */
static int make_request_key(const struct controller_event *event, int has_base_version, uint64_t base_version,
			    struct request_key *key, struct command_list *out)
{
	const char *idempotency_key = event->payload.api_call.idempotency_key;
	const char *body = event->payload.api_call.body;

	if (idempotency_key && !idempotency_key_is_valid(idempotency_key)) {
		command_answer(out, event->payload.api_call.token, 400, 0,
			       error_json(out->pool, IDEMPOTENCY_KEY_INVALID, 0));
		return 0;
	}
	request_key_init(key, idempotency_key, event->payload.api_call.path, has_base_version, base_version,
			 body, strlen(body));
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
	if (error) { /* invalid whatever the table holds; the leader checks the rest */
		command_answer(out, event->payload.api_call.token, 400, 0, error_json(out->pool, error, 0));
		return;
	}
	if (!make_request_key(event, !operation.change->any_revision, operation.change->expected_revision,
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
	struct Nl__RetentionStep step = NL__RETENTION_STEP__INIT;
	struct request_key key;

	operation.body_case = NL__OPERATION__BODY_RETENTION_STEP;
	operation.retention_step = &step;
	step.step = NL__RETENTION_STEP_KIND__RETENTION_STEP_NOW;
	step.scope = (char *)json_string_member(json, "scope");
	step.requested_by = (char *)json_string_member(json, "by");
	if (!step.requested_by[0])
		step.requested_by = (char *)"an operator";
	if (strpbrk(step.requested_by, ",\"\r\n") || strlen(step.requested_by) > 100) {
		command_answer(
		    out, event->payload.api_call.token, 400, 0,
		    error_json(
			out->pool,
			"by: must be at most 100 characters without commas, double quotes and line breaks",
			0));
	} else if (make_request_key(event, 0, 0, &key, out)) {
		operation.request_key = request_key_pack(&key, &packed_key);
		propose(controller, SHARD_CONTROL, &operation, event->payload.api_call.token, now);
	}
	json_object_put(json);
}
