#include "operator_paths.h"

#include <string.h>

#include "bootstrap.h"
#include "containers.h"
#include "leadership.h"
#include "operator_api.h"
#include "operator_documents.h"
#include "operator_state.h"
#include "recovery.h"
#include "controller_private.h"

/* One kind of call: how it is recognised, what it requires and which function handles it. */
struct operator_path {
	enum controller_event_kind kind; /* CONTROLLER_API_CALL, or the event that a platform's adapter
					    creates for a path of its own */
	const char *method;              /* HTTP method if kind is CONTROLLER_API_CALL, else NULL */
	const char *path;                /* HTTP path if kind is CONTROLLER_API_CALL, else NULL */
	enum path_needs needs;
	void (*handle)(struct controller *controller, const struct controller_event *event, int64_t now,
		       struct command_list *out);
};

static const struct operator_path paths[] = {
	{ CONTROLLER_API_CALL, "GET", "/v1/state", PATH_NEEDS_LOCAL_STATE, read_state },
	{ CONTROLLER_API_CALL, "GET", "/v1/table", PATH_NEEDS_REACHABLE_LEADER, read_config_table },
	{ CONTROLLER_API_CALL, "GET", "/v1/retention", PATH_NEEDS_REACHABLE_LEADER, read_retention },
	{ CONTROLLER_API_CALL, "GET", "/v1/retention.csv", PATH_NEEDS_REACHABLE_LEADER,
	  read_retention_report },
	{ CONTROLLER_API_CALL, "POST", "/v1/change", PATH_NEEDS_REACHABLE_LEADER, change_config_table },
	{ CONTROLLER_API_CALL, "POST", "/v1/clear", PATH_NEEDS_REACHABLE_LEADER, purge_context },
	{ CONTROLLER_API_CALL, "POST", "/v1/found", PATH_NEEDS_SEEDS, bootstrap_on_call },
	{ CONTROLLER_API_CALL, "POST", "/v1/recover", PATH_NEEDS_LOCAL_STATE, recovery_on_call },
	{ CONTROLLER_PUT_DOCUMENT, NULL, NULL, PATH_NEEDS_LEADERSHIP, put_document },
	{ CONTROLLER_READ_DOCUMENT, NULL, NULL, PATH_NEEDS_LEADERSHIP, read_document },
	{ CONTROLLER_SET_TARGET_WEIGHTS, NULL, NULL, PATH_NEEDS_LEADERSHIP, set_target_weights },
};

static uint64_t call_token(const struct controller_event *event)
{
	switch (event->kind) {
	case CONTROLLER_PUT_DOCUMENT:
		return event->payload.document.token;
	case CONTROLLER_READ_DOCUMENT:
		return event->payload.read.token;
	case CONTROLLER_SET_TARGET_WEIGHTS:
		return event->payload.target.token;
	default:
		return event->payload.api_call.token;
	}
}

static const struct operator_path *find_path(const struct controller_event *event)
{
	for (size_t i = 0; i < sizeof paths / sizeof *paths; i++) {
		if (paths[i].kind != event->kind)
			continue;
		if (event->kind != CONTROLLER_API_CALL ||
		    (!strcmp(paths[i].path, event->payload.api_call.path) &&
		     !strcmp(paths[i].method, event->payload.api_call.method)))
			return &paths[i];
	}
	return NULL;
}

/* Redirect a call to the leader; if none is known, reject the call with a time to retry. */
static void redirect_to_leader(struct controller *controller, uint64_t token, int64_t now,
			       struct command_list *out)
{
	uint64_t leader_addr = leader_hint(controller, SHARD_CONTROL, now);
	struct command *command;

	if (!leader_addr && is_control_leader_reachable(controller, now))
		leader_addr = controller->config_watch.leader_addr[SHARD_CONTROL];
	if (!leader_addr || leader_addr == controller->identity.addr) {
		reject_without_leader(token, out);
		return;
	}
	command = command_add(out, CMD_ANSWER);
	command->args.answer.token = token;
	command->args.answer.status = 307;
	command->args.answer.body = "";
	command->args.answer.redirect_addr = leader_addr;
}

/* Limit the validity of the answers among the commands from first_command on to the leader's lease. The
 * writer of an answer checks the clock again. */
static void limit_answers_to_lease(const struct controller *controller, ptrdiff_t first_command,
				   struct command_list *out)
{
	for (ptrdiff_t i = first_command; i < arrlen(out->commands); i++)
		if (out->commands[i].kind == CMD_ANSWER && out->commands[i].args.answer.status < 500)
			out->commands[i].args.answer.not_after_ms =
			    controller->shards[SHARD_CONTROL].lease.expires_at_ms;
}

void on_operator_call(struct controller *controller, const struct controller_event *event, int64_t now,
		      struct command_list *out)
{
	const struct operator_path *path = find_path(event);
	ptrdiff_t first_command = arrlen(out->commands);

	controller->operators.call_counts.read_count++;
	if (!path) { /* no leader is needed: the path does not exist whatever the log holds */
		command_answer(out, call_token(event), 404, 0,
			       error_json(out->pool, "path: no such call", 0));
		return;
	}
	if (controller->is_stopping && path->needs != PATH_NEEDS_LOCAL_STATE) {
		reject_while_stopping(call_token(event), out);
		return;
	}
	switch (path->needs) {
	case PATH_NEEDS_LOCAL_STATE:
	case PATH_NEEDS_SEEDS:
		path->handle(controller, event, now, out);
		break;
	case PATH_NEEDS_LEADERSHIP:
		if (leads_shard(controller, SHARD_CONTROL, now)) {
			path->handle(controller, event, now, out);
			limit_answers_to_lease(controller, first_command, out);
		} else {
			redirect_to_leader(controller, call_token(event), now, out);
		}
		break;
	case PATH_NEEDS_REACHABLE_LEADER:
		if (is_control_leader_reachable(controller, now))
			path->handle(controller, event, now, out);
		else
			reject_without_leader(call_token(event), out);
		break;
	}
}
