#include "operator_documents.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "config_check.h"
#include "containers.h"
#include "leadership.h"
#include "controller_private.h"
#include "state_machine.h"

/* Log a change; the call is answered once the change is committed. */
static void log_change_for_call(struct controller *controller, uint64_t token, struct Nl__Change *change,
				const struct request_key *key, int64_t now, struct command_list *out)
{
	struct controller_logged_call logged_call = { token, 0, *key, now + CONTROLLER_CALL_TIMEOUT_MS };
	struct Nl__RequestKey packed_key = NL__REQUEST_KEY__INIT;
	struct Nl__Operation operation = NL__OPERATION__INIT;

	operation.body_case = NL__OPERATION__BODY_CHANGE;
	operation.change = change;
	operation.request_key = request_key_pack(key, &packed_key);
	logged_call.log_index = log_operation(controller, SHARD_CONTROL, &operation, now, out);
	if (logged_call.log_index)
		arrput(controller->operators.logged_calls, logged_call);
	else
		reject_without_leader(token, out);
}

/* Handle a repeated request: if it was accepted, it is acknowledged again; if it is logged but not committed
 * yet, the call waits for the same log entry. Returns 1 for a repeated request, 0 for a new one. */
static int answer_repeated_request(struct controller *controller, uint64_t token,
				   const struct request_key *key, int64_t now, struct command_list *out)
{
	const struct idempotency_record *accepted =
	    idempotency_log_find(&controller->config.accepted_requests, key);

	if (accepted) {
		if (repeated_request_status(accepted, key) == PROPOSAL_APPLIED)
			command_answer(out, token, 200, 0, "{}");
		else
			command_answer(out, token, 422, 0, error_json(out->pool, IDEMPOTENCY_KEY_REUSED, 0));
		return 1;
	}
	for (ptrdiff_t i = 0; i < arrlen(controller->operators.logged_calls); i++)
		if (request_key_equal(&controller->operators.logged_calls[i].request_key, key)) {
			struct controller_logged_call logged_call = {
				token, controller->operators.logged_calls[i].log_index, *key,
				now + CONTROLLER_CALL_TIMEOUT_MS
			};

			arrput(controller->operators.logged_calls, logged_call);
			return 1;
		}
	return 0;
}

/* Answer a document whose base version is not the current version: with 412, or with 504 if it may repeat a
 * document that was accepted and has been evicted from the idempotency log. */
static void answer_version_conflict(struct controller *controller, uint64_t token, uint64_t base_version,
				    struct command_list *out)
{
	if (idempotency_log_may_have_evicted(&controller->config.accepted_requests, SERIES_DOCUMENTS,
					     base_version))
		command_answer(out, token, 504, CONTROLLER_CALL_TIMEOUT_MS,
			       error_json(out->pool, IDEMPOTENCY_OUTCOME_UNKNOWN, 0));
	else
		command_answer(out, token, 412, 0, error_json(out->pool, "another version is current", 0));
}

/* Parse a document into a change. Returns NULL, or an error text in the pool. */
static const char *parse_document(const struct controller *controller, const struct controller_event *event,
				  struct Nl__Change *change, apr_pool_t *pool)
{
	const char *error = NULL;

	if (!controller->adapters.codec)
		return "document: this controller accepts no documents";
	if (controller->adapters.codec->read((const char *)controller->config.document,
					     controller->config.document_bytes, event->payload.document.body,
					     event->payload.document.body_bytes,
					     event->payload.document.is_patch, change, &error, pool))
		return error ? error : "document: cannot be parsed";
	if (change->document_version <= controller->config.document_version)
		return "version: must be higher than the current one";
	change->any_revision = 1;
	change->replace_all = 1;
	change->replace_keys = 1;
	change->document_base_version = event->payload.document.base_version;
	return config_check_change(&controller->config.table, change, pool);
}

void put_document(struct controller *controller, const struct controller_event *event, int64_t now,
		  struct command_list *out)
{
	uint64_t token = event->payload.document.token;
	uint64_t base_version = event->payload.document.base_version;
	struct Nl__Change change = NL__CHANGE__INIT;
	const char *error;
	struct request_key key;

	if (event->payload.document.rejection) {
		command_answer(out, token, 400, 0,
			       error_json(out->pool, event->payload.document.rejection, 0));
		return;
	}
	request_key_init(&key, NULL, event->payload.document.is_patch ? "patch" : "document", 1, base_version,
			 event->payload.document.body, event->payload.document.body_bytes);
	if (answer_repeated_request(controller, token, &key, now, out))
		return;
	if (base_version != controller->config.document_version) {
		answer_version_conflict(controller, token, base_version, out);
		return;
	}
	error = parse_document(controller, event, &change, out->pool);
	if (error)
		command_answer(out, token, 400, 0, error_json(out->pool, error, 0));
	else
		log_change_for_call(controller, token, &change, &key, now, out);
}

void read_document(struct controller *controller, const struct controller_event *event, int64_t now,
		   struct command_list *out)
{
	uint64_t token = event->payload.read.token;
	struct command *command;

	(void)now;
	if (!controller->config.document_version) {
		command_answer(out, token, 404, 0,
			       error_json(out->pool, "no document has been committed yet", 0));
		return;
	}
	command = command_add(out, CMD_ANSWER);
	command->args.answer.token = token;
	command->args.answer.status = 200;
	command->args.answer.body =
	    apr_pmemdup(out->pool, controller->config.document, controller->config.document_bytes + 1);
	command->args.answer.len = controller->config.document_bytes;
}

void set_target_weights(struct controller *controller, const struct controller_event *event, int64_t now,
			struct command_list *out)
{
	uint64_t token = event->payload.target.token;
	const char *model = event->payload.target.model;
	const char *weights = event->payload.target.weights;
	struct Nl__Change change = NL__CHANGE__INIT;
	struct Nl__Row row = NL__ROW__INIT, *set[1] = { &row };
	/* versions never decrease, so a repeated request has no further effect and needs no record */
	const struct request_key no_request_key = { 0 };
	const struct Nl__Row *current_row;
	const char *error;

	if (event->payload.target.rejection) {
		command_answer(out, token, 400, 0, error_json(out->pool, event->payload.target.rejection, 0));
		return;
	}
	row.kind = NL__KIND__MODEL;
	row.name = (char *)model;
	row.target_weights = (char *)weights;
	change.any_revision = 1;
	change.set = set;
	change.n_set = 1;
	error = config_check_change(&controller->config.table, &change, out->pool);
	if (error || !weights[0]) {
		command_answer(out, token, 400, 0,
			       error_json(out->pool, error ? error : "weights: missing", 0));
		return;
	}
	current_row = config_table_get(&controller->config.table, NL__KIND__MODEL, model);
	if (strtoull(weights, NULL, 10) <=
	    (current_row ? strtoull(current_row->target_weights, NULL, 10) : 1))
		command_answer(out, token, 200, 0, "{}"); /* this or a later version was committed before */
	else
		log_change_for_call(controller, token, &change, &no_request_key, now, out);
}

void answer_logged_calls(struct controller *controller, uint64_t index, enum proposal_status status,
			 struct command_list *out)
{
	for (ptrdiff_t i = arrlen(controller->operators.logged_calls) - 1; i >= 0; i--) {
		uint64_t token = controller->operators.logged_calls[i].token;

		if (controller->operators.logged_calls[i].log_index != index)
			continue;
		if (status == PROPOSAL_APPLIED)
			command_answer(out, token, 200, 0, "{}");
		else if (status == PROPOSAL_KEY_REUSED)
			command_answer(out, token, 422, 0, error_json(out->pool, IDEMPOTENCY_KEY_REUSED, 0));
		else if (status == PROPOSAL_SUPERSEDED)
			command_answer(out, token, 412, 0,
				       error_json(out->pool, "another version is current", 0));
		else
			command_answer(
			    out, token, 400, 0,
			    error_json(out->pool, "version: must be higher than the current one", 0));
		arrdel(controller->operators.logged_calls, i);
	}
}

void abandon_logged_calls(struct controller *controller, struct command_list *out)
{
	for (ptrdiff_t i = arrlen(controller->operators.logged_calls) - 1; i >= 0; i--) {
		command_answer(
		    out, controller->operators.logged_calls[i].token, 504, CONTROLLER_CALL_RETRY_MS,
		    error_json(out->pool, "leadership lost: outcome unknown, send the request again", 0));
		arrdel(controller->operators.logged_calls, i);
	}
}

void expire_logged_calls(struct controller *controller, int64_t now, struct command_list *out)
{
	for (ptrdiff_t i = arrlen(controller->operators.logged_calls) - 1; i >= 0; i--)
		if (now >= controller->operators.logged_calls[i].deadline_at_ms) {
			command_answer(
			    out, controller->operators.logged_calls[i].token, 504, CONTROLLER_CALL_RETRY_MS,
			    error_json(out->pool,
				       "not committed in time: outcome unknown, send the request again", 0));
			arrdel(controller->operators.logged_calls, i);
		}
}
