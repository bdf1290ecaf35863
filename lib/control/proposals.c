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
	struct controller_pending_entry *received = controller->proposals.received;

	for (ptrdiff_t i = 0; i < arrlen(received); i++)
		if (received[i].shard == shard && received[i].log_index == index) {
			reply_to_proposal(received[i].proposer_addr, received[i].token, applied.status,
					  applied.version, proposal_status_strerror(applied.status), 0, out);
			arrdel(controller->proposals.received, i);
			return;
		}
}

/* Whether a retention purge that an operator wants now can be logged, and the time to log it with: no
 * schedule depends on it, so the leader's own clock does where no majority was heard. NULL, or what is wrong.
 */
static const char *check_purge_request(const struct controller *controller, struct Nl__RetentionStep *step,
				       int64_t now, apr_pool_t *pool)
{
	int64_t wall_clock_ms = retention_wall_clock(controller, now);
	char route[200], tenant[200];

	if (!retention_parse_scope(step->scope, route, tenant))
		return "scope: lane/tenant, with * for all; * alone for everything";
	if (route[0] && !config_table_get(&controller->config.table, NL__KIND__ROUTE, route))
		return apr_psprintf(pool, "scope: no lane %s", route);
	if (tenant[0] && !config_table_get(&controller->config.table, NL__KIND__TENANT, tenant))
		return apr_psprintf(pool, "scope: no tenant %s", tenant);
	if (wall_clock_ms == INT64_MIN)
		wall_clock_ms = controller->clocks.wall_ms;
	step->wall_clock_ms = step->due_at_ms = wall_clock_ms;
	return NULL;
}

/* Whether nodes may propose this operation to this shard. */
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

/* Whether an operation of the control shard can be applied as the state is. NULL, or what is wrong. */
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
					retention_wall_clock(controller, now), pool);
}

/* A change that builds on an older revision is late, unless it may be a request that was accepted and is
 * forgotten. */
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

/* Answer a proposal whose outcome is known already: accepted before, applied before, or built on an old
 * revision. */
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
		rejection = "op: not one that this part takes";
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
		arrput(controller->proposals.received, pending);
	else /* it leads and is to stop: surely not logged here, and its successor is not known yet */
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
	proposal.operation->requester_run = controller->identity.run;
	proposal.operation->token = proposal.token;
	arrput(controller->proposals.own, proposal);
}

static void remove_proposal(struct controller *controller, ptrdiff_t i)
{
	nl__operation__free_unpacked(controller->proposals.own[i].operation, NULL);
	arrdel(controller->proposals.own, i);
}

/* Whether a proposal is over without an outcome. What surely was not logged is answered as soon as no leader
 * is in reach; what may have been waits for its outcome, up to its time. A controller that is to stop looks
 * for no leader any more: there nothing waits without one. */
static int expire_proposal(const struct controller *controller, const struct controller_proposal *proposal,
			   int64_t now, struct command_list *out)
{
	int may_be_logged = proposal->send_count > proposal->denied_count;

	if (now < proposal->deadline_at_ms && (!proposal->call_token || leader_reachable(controller, now) ||
					       (may_be_logged && !controller->stopping)))
		return 0;
	if (proposal->call_token && may_be_logged)
		command_answer(
		    out, proposal->call_token, 504, CONTROLLER_RETRY_MS,
		    error_json(out->pool, "outcome unknown: read the table before trying again", 0));
	else if (proposal->call_token)
		reject_without_leader(proposal->call_token, out);
	return 1;
}

void proposals_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	for (ptrdiff_t i = arrlen(controller->proposals.own) - 1; i >= 0; i--) {
		struct controller_proposal *proposal = &controller->proposals.own[i];
		struct Nl__Propose *request;

		if (expire_proposal(controller, proposal, now, out)) {
			remove_proposal(controller, i);
			continue;
		}
		if (now < proposal->retry_at_ms || !leader_reachable(controller, now))
			continue;
		proposal->retry_at_ms = now + CONTROLLER_PROPOSAL_RETRY_MS;
		proposal->send_count++;
		request = MESSAGE_NEW(out, Nl__Propose, NL__PROPOSE__INIT);
		request->token = proposal->token;
		proposal->operation->oldest_open_token = controller->proposals.own[0].token;
		request->operation =
		    (struct Nl__Operation *)core_copy_message(out->pool, &proposal->operation->base);
		command_send(out, config_watch_leader_addr(&controller->config_watch, proposal->shard),
			     proposal->shard, NL__MSG__BODY_PROPOSE)
		    ->propose = request;
	}
}

/* The status of an order that was not accepted. */
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

/* A copy was refused as the table stood. While another may still be on its way, it may be accepted as the
 * table stands then: nothing is said before that one is answered too, and no more are sent. */
static int wait_for_other_copies(struct controller_proposal *proposal)
{
	proposal->refused_count++;
	if (proposal->refused_count >= proposal->send_count - proposal->denied_count)
		return 0;
	proposal->retry_at_ms = proposal->deadline_at_ms;
	return 1;
}

void on_proposal_reply(struct controller *controller, const struct Nl__ProposeReply *reply, int64_t now,
		       struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->proposals.own); i++) {
		struct controller_proposal *proposal = &controller->proposals.own[i];
		const char *body;

		if (proposal->token != reply->token)
			continue;
		if (reply->status == PROPOSAL_NOT_LEADER) { /* surely not logged there */
			proposal->denied_count++;
			proposal->retry_at_ms =
			    now + CONTROLLER_PROPOSAL_REDIRECT_RETRY_MS; /* the one named */
			config_watch_hint(&controller->config_watch, proposal->shard, reply->leader_hint);
			return;
		}
		if (reply->status == PROPOSAL_REJECTED && wait_for_other_copies(proposal))
			return;
		if (reply->status == PROPOSAL_OUTCOME_UNKNOWN) { /* stays open: its end is unknown, and the
								     next leader will tell */
			proposal->retry_at_ms = now + CONTROLLER_PROPOSAL_REDIRECT_RETRY_MS;
			return;
		}
		if (reply->status != PROPOSAL_DONE && now >= proposal->deadline_at_ms)
			return; /* said long ago, and read only now: no more than that it may have been logged
				   is certain */
		if (proposal->call_token && reply->status == PROPOSAL_DONE) {
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
				command_answer(out, proposal->call_token, http_status, CONTROLLER_RETRY_MS,
					       body);
		}
		remove_proposal(controller, i);
		config_watch_poll(&controller->config_watch, controller->relay.knowledge.horizon, now, out);
		return;
	}
}
