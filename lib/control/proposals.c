#include "proposals.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "leadership.h"
#include "controller_private.h"
#include "retention.h"
#include "state_machine.h"
#include "config_check.h"

void reply_to_proposal(uint64_t addr, uint64_t token, enum proposal_status status, uint64_t version,
		       const char *reason, uint64_t leader_hint_addr, struct command_list *out)
{
	struct Nl__ProposeReply *reply = MESSAGE_NEW(out, Nl__ProposeReply, NL__PROPOSE_REPLY__INIT);

	reply->token = token;
	reply->status = status;
	reply->reason = (char *)reason;
	reply->revision = version;
	reply->leader_hint = leader_hint_addr;
	command_send(out, addr, 0, NL__MSG__BODY_PROPOSE_REPLY)->propose_reply = reply;
}

void answer_proposer(struct controller *controller, uint32_t shard, uint64_t index,
		     struct apply_result applied, struct command_list *out)
{
	struct controller_pending_entry *received = controller->proposals.pending_entries;

	for (ptrdiff_t i = 0; i < arrlen(received); i++)
		if (received[i].shard == shard && received[i].log_index == index) {
			reply_to_proposal(received[i].proposer_addr, received[i].token, applied.status,
					  applied.version, proposal_status_strerror(applied.status), 0, out);
			arrdel(controller->proposals.pending_entries, i);
			return;
		}
}

/* Check a retention purge that an operator has requested to run now, and set the wall-clock time that it is
 * logged with. Without clock reports from a majority of controllers the leader's own clock is used, because
 * no schedule depends on this time. Returns NULL, or why the request is rejected. */
static const char *check_purge_request(const struct controller *controller, struct Nl__RetentionStep *step,
				       int64_t now, apr_pool_t *pool)
{
	int64_t wall_clock_ms = retention_majority_wall_clock_ms(controller, now);
	char route[200], tenant[200];

	if (!retention_parse_scope(step->scope, route, tenant))
		return "scope: must be lane/tenant, with * for all lanes or all tenants, or * alone for everything";
	if (route[0] && !config_table_get(&controller->config.table, NL__KIND__ROUTE, route))
		return apr_psprintf(pool, "scope: no lane %s", route);
	if (tenant[0] && !config_table_get(&controller->config.table, NL__KIND__TENANT, tenant))
		return apr_psprintf(pool, "scope: no tenant %s", tenant);
	if (wall_clock_ms == INT64_MIN)
		wall_clock_ms = controller->clocks.wall_ms;
	step->wall_clock_ms = step->due_at_ms = wall_clock_ms;
	return NULL;
}

/* Whether other nodes may propose this kind of operation to the message's shard. */
static bool is_proposable_by_nodes(const struct Nl__Msg *message)
{
	const struct Nl__Operation *operation = message->propose->operation;

	if (message->shard == SHARD_PURGE)
		return false;
	if (message->shard != SHARD_CONTROL)
		return operation->body_case == NL__OPERATION__BODY_CLAIM;
	if (operation->body_case == NL__OPERATION__BODY_CHANGE)
		return true;
	return operation->body_case == NL__OPERATION__BODY_RETENTION_STEP &&
	       operation->retention_step->step == NL__RETENTION_STEP_KIND__RETENTION_STEP_NOW;
}

/* Check an operation of the control shard against the current state. Returns NULL, or why it is rejected. */
static const char *check_control_operation(const struct controller *controller,
					   struct Nl__Operation *operation, int64_t now, apr_pool_t *pool)
{
	const char *fault;

	if (operation->body_case == NL__OPERATION__BODY_RETENTION_STEP)
		return check_purge_request(controller, operation->retention_step, now, pool);
	fault = config_check_change(&controller->config.table, operation->change, pool);
	if (fault)
		return fault;
	return retention_check_calendar(controller->adapters.calendar, operation->change,
					retention_majority_wall_clock_ms(controller, now), pool);
}

/* Return the status of a change that is based on an old revision: superseded, or PROPOSAL_KEY_EXPIRED if it
 * may be a repeated request whose record has been evicted. */
static enum proposal_status superseded_status(const struct controller *controller,
					      const struct Nl__Change *change)
{
	return idempotency_log_may_have_evicted(&controller->config.accepted_requests, SERIES_CHANGES,
						change->expected_revision)
		   ? PROPOSAL_KEY_EXPIRED
		   : PROPOSAL_SUPERSEDED;
}

static bool is_superseded(const struct config_table *table, const struct Nl__Operation *operation)
{
	return operation->body_case == NL__OPERATION__BODY_CHANGE && table->revision &&
	       !operation->change->any_revision &&
	       operation->change->expected_revision < table->operator_revision;
}

/* Reply to a proposal whose outcome is already determined: its request was accepted before, it was applied
 * before, or it is based on an old revision. Returns whether a reply was sent. */
static bool answer_if_decided(const struct controller *controller, const struct Nl__Msg *message,
			      struct command_list *out)
{
	const struct Nl__Propose *request = message->propose;
	const struct config_table *table = &controller->config.table;
	struct request_key request_key = request_key_unpack(request->operation->request_key);
	const struct idempotency_record *accepted;
	enum proposal_status status;

	if ((accepted = idempotency_log_find(&controller->config.accepted_requests, &request_key))) {
		reply_to_proposal(message->addr, request->token,
				  repeated_request_status(accepted, &request_key), accepted->version,
				  IDEMPOTENCY_KEY_REUSED, 0, out);
		return true;
	}
	if (message->shard != SHARD_CONTROL)
		return false;
	if (completed_proposals_find(&controller->config.completed_proposals, request->operation, &status)) {
		reply_to_proposal(message->addr, request->token, status, table->revision, "edition overtaken",
				  0, out);
		return true;
	}
	if (is_superseded(table, request->operation)) {
		reply_to_proposal(message->addr, request->token,
				  superseded_status(controller, request->operation->change), table->revision,
				  "edition overtaken", 0, out);
		return true;
	}
	return false;
}

void on_proposal(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		 struct command_list *out)
{
	const struct Nl__Propose *request = message->propose;
	struct controller_pending_entry pending = { message->shard, 0, message->addr, request->token };
	const char *rejection = NULL;

	if (message->shard >= SHARD_COUNT || !request->operation)
		return;
	if (!leads_shard(controller, message->shard, now)) {
		reply_to_proposal(message->addr, request->token, PROPOSAL_NOT_LEADER, 0, "",
				  leader_hint(controller, message->shard, now), out);
		return;
	}
	if (!is_proposable_by_nodes(message))
		rejection = "op: this shard does not accept this kind of operation from nodes";
	else if (answer_if_decided(controller, message, out))
		return;
	else if (message->shard == SHARD_CONTROL)
		rejection = check_control_operation(controller, request->operation, now, out->pool);
	if (rejection) {
		reply_to_proposal(message->addr, request->token, PROPOSAL_REJECTED,
				  controller->config.table.revision, rejection, 0, out);
		return;
	}
	pending.log_index = log_operation(controller, message->shard, request->operation, now, out);
	if (pending.log_index)
		arrput(controller->proposals.pending_entries, pending);
	else /* this leader is shutting down: the proposal was certainly not logged, and the next leader is
		not known yet */
		reply_to_proposal(message->addr, request->token, PROPOSAL_NOT_LEADER, 0, "",
				  leader_hint(controller, message->shard, now), out);
}

void propose(struct controller *controller, uint32_t shard, const struct Nl__Operation *operation,
	     uint64_t call_token, int64_t now)
{
	struct controller_proposal proposal = { ++controller->identity.last_token,
						call_token,
						shard,
						NULL,
						now + CONTROLLER_CALL_TIMEOUT_MS,
						0,
						0,
						0,
						0 };
	size_t packed_bytes = nl__operation__get_packed_size(operation);
	uint8_t *packed = malloc(packed_bytes + 1);

	if (!packed)
		abort();
	nl__operation__pack(operation, packed);
	proposal.operation = nl__operation__unpack(NULL, packed_bytes, packed);
	free(packed);
	if (!proposal.operation)
		abort();
	proposal.operation->requester_id = controller->identity.id;
	proposal.operation->requester_run = controller->identity.incarnation;
	proposal.operation->token = proposal.token;
	arrput(controller->proposals.own_proposals, proposal);
}

static void remove_proposal(struct controller *controller, ptrdiff_t i)
{
	nl__operation__free_unpacked(controller->proposals.own_proposals[i].operation, NULL);
	arrdel(controller->proposals.own_proposals, i);
}

/* Whether a proposal has expired without an outcome; its caller is then answered. A proposal that certainly
 * was not logged expires as soon as the leader is unreachable. One that may have been logged waits for its
 * outcome until its deadline. A controller that is shutting down does not search for a new leader, so there
 * both expire when the leader is unreachable. */
static int expire_proposal(const struct controller *controller, const struct controller_proposal *proposal,
			   int64_t now, struct command_list *out)
{
	int may_be_logged = proposal->send_count > proposal->unlogged_count;

	if (now < proposal->deadline_at_ms &&
	    (!proposal->call_token || is_control_leader_reachable(controller, now) ||
	     (may_be_logged && !controller->is_stopping)))
		return 0;
	if (proposal->call_token && may_be_logged)
		command_answer(
		    out, proposal->call_token, 504, CONTROLLER_CALL_RETRY_MS,
		    error_json(
			out->pool,
			"outcome unknown: the change may have been logged; read the table before you retry",
			0));
	else if (proposal->call_token)
		reject_without_leader(proposal->call_token, out);
	return 1;
}

void proposals_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	for (ptrdiff_t i = arrlen(controller->proposals.own_proposals) - 1; i >= 0; i--) {
		struct controller_proposal *proposal = &controller->proposals.own_proposals[i];
		struct Nl__Propose *request;

		if (expire_proposal(controller, proposal, now, out)) {
			remove_proposal(controller, i);
			continue;
		}
		if (now < proposal->retry_at_ms || !is_control_leader_reachable(controller, now))
			continue;
		proposal->retry_at_ms = now + CONTROLLER_PROPOSAL_RETRY_MS;
		proposal->send_count++;
		request = MESSAGE_NEW(out, Nl__Propose, NL__PROPOSE__INIT);
		request->token = proposal->token;
		proposal->operation->oldest_open_token = controller->proposals.own_proposals[0].token;
		request->operation =
		    (struct Nl__Operation *)core_copy_message(out->pool, &proposal->operation->base);
		command_send(out, config_watch_leader_addr(&controller->config_watch, proposal->shard),
			     proposal->shard, NL__MSG__BODY_PROPOSE)
		    ->propose = request;
	}
}

/* Return the HTTP status of an operator's call whose proposal was not applied. */
static int rejection_http_status(uint32_t status)
{
	switch (status) {
	case PROPOSAL_SUPERSEDED:
		return 409;
	case PROPOSAL_KEY_REUSED:
		return 422;
	case PROPOSAL_KEY_EXPIRED:
		return 504;
	default:
		return 400;
	}
}

/* Count a copy of the proposal that was rejected against the table of that moment. Another copy that is still
 * in flight may be accepted against a later table. While there is one, returns true: the caller is not
 * answered yet, and no further copies are sent. */
static int wait_for_other_copies(struct controller_proposal *proposal)
{
	proposal->rejected_count++;
	if (proposal->rejected_count >= proposal->send_count - proposal->unlogged_count)
		return 0;
	proposal->retry_at_ms = proposal->deadline_at_ms;
	return 1;
}

void on_proposal_reply(struct controller *controller, const struct Nl__ProposeReply *reply, int64_t now,
		       struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->proposals.own_proposals); i++) {
		struct controller_proposal *proposal = &controller->proposals.own_proposals[i];
		const char *body;

		if (proposal->token != reply->token)
			continue;
		if (reply->status == PROPOSAL_NOT_LEADER) { /* this copy was certainly not logged */
			proposal->unlogged_count++;
			proposal->retry_at_ms =
			    now + CONTROLLER_PROPOSAL_REDIRECT_RETRY_MS; /* now to the leader that the reply
									    names */
			config_watch_set_leader_hint(&controller->config_watch, proposal->shard,
						     reply->leader_hint);
			return;
		}
		if (reply->status == PROPOSAL_REJECTED && wait_for_other_copies(proposal))
			return;
		if (reply->status == PROPOSAL_OUTCOME_UNKNOWN) { /* stays open: it is sent again, and the next
								    leader replies with the outcome */
			proposal->retry_at_ms = now + CONTROLLER_PROPOSAL_REDIRECT_RETRY_MS;
			return;
		}
		if (reply->status != PROPOSAL_APPLIED && now >= proposal->deadline_at_ms)
			return; /* A late reply may describe an old state: all that is certain is that the
				   proposal may have been logged. */
		if (proposal->call_token && reply->status == PROPOSAL_APPLIED) {
			body =
			    apr_psprintf(out->pool, "{\"edition\":%" APR_UINT64_T_FMT "}", reply->revision);
			command_answer(out, proposal->call_token, 200, 0, body);
		} else if (proposal->call_token) {
			int http_status = rejection_http_status(reply->status);

			body = error_json(out->pool,
					  reply->status == PROPOSAL_KEY_EXPIRED ? IDEMPOTENCY_OUTCOME_UNKNOWN
										: reply->reason,
					  reply->revision);
			if (http_status < 500)
				command_answer_until(out, proposal->call_token, http_status, body,
						     proposal->deadline_at_ms);
			else
				command_answer(out, proposal->call_token, http_status,
					       CONTROLLER_CALL_RETRY_MS, body);
		}
		remove_proposal(controller, i);
		config_watch_poll(&controller->config_watch, controller->relay.knowledge.horizon, now, out);
		return;
	}
}
