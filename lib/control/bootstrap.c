#include "bootstrap.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "controller_private.h"

enum {
	BOOTSTRAP_RETRY_MS = 1000, /* sent to a rejected caller: delay before it may repeat the call */
	BOOTSTRAP_QUERY_INTERVAL_MS = 200,    /* interval between queries to the seeds */
	BOOTSTRAP_CALL_TIMEOUT_MS = 10000,    /* an operator's call is answered within this time */
	BOOTSTRAP_SETTINGS_TIMEOUT_MS = 30000 /* this node stops sending the members after this time: by then
						 all seeds have started or were replaced */
};

static bool is_controller_empty(const struct controller *controller)
{
	for (int i = 0; i < SHARD_COUNT; i++)
		if (controller->shards[i].term || controller->shards[i].group.member_count ||
		    controller->shards[i].log.base_index)
			return false;
	return !controller->identity.fleet_id;
}

static void start_as_first_member(struct controller *controller, uint64_t fleet_id,
				  const struct Nl__Members *members, int64_t now, struct command_list *out)
{
	struct raft_member first_members[RAFT_MAX_MEMBERS];
	int member_count = 0, is_member = 0;

	for (size_t i = 0; i < members->n_members && member_count < RAFT_MAX_MEMBERS; i++) {
		memset(&first_members[member_count], 0, sizeof first_members[member_count]);
		first_members[member_count].id = members->members[i]->id;
		first_members[member_count].addr = members->members[i]->addr;
		first_members[member_count].voter = 1;
		is_member |= first_members[member_count++].id == controller->identity.id;
	}
	if (!is_member || !is_controller_empty(controller))
		return;
	controller->identity.fleet_id = controller->config_watch.fleet_id = fleet_id;
	controller->identity.is_fleet_unsaved = true;
	out->fleet = fleet_id;
	for (int i = 0; i < SHARD_COUNT; i++)
		raft_bootstrap(&controller->shards[i], first_members, member_count, now);
	log_line(controller, "bootstrap", out->pool,
		 "fleet bootstrapped, id %016" APR_UINT64_T_HEX_FMT ", controllers %d", fleet_id,
		 member_count);
}

void on_bootstrap_message(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out)
{
	const struct Nl__Bootstrap *received = message->bootstrap;
	struct Nl__Bootstrap *answer;

	if (received->is_query || received->members) {
		if (received->members && received->fleet_id)
			start_as_first_member(controller, received->fleet_id, received->members, now, out);
		answer = MESSAGE_NEW(out, Nl__Bootstrap, NL__BOOTSTRAP__INIT);
		answer->is_empty = is_controller_empty(controller);
		answer->fleet_id = controller->identity.fleet_id;
		answer->token = received->token;
		command_send(out, message->addr, 0, NL__MSG__BODY_BOOTSTRAP)->bootstrap = answer;
		return;
	}
	if (!controller->bootstrap.call_token && !controller->bootstrap.is_by_settings)
		return;
	for (int i = 0; i < controller->identity.seed_count; i++)
		if (controller->identity.seeds[i] == message->addr) {
			controller->bootstrap.seeds[i].id = message->id;
			controller->bootstrap.seeds[i].is_empty = received->is_empty;
			controller->bootstrap.seeds[i].fleet_id = received->fleet_id;
		}
}

static void bootstrap_reset(struct controller *controller, int64_t now)
{
	if (controller->bootstrap.members)
		nl__members__free_unpacked(controller->bootstrap.members, NULL);
	memset(&controller->bootstrap, 0, sizeof controller->bootstrap);
	controller->bootstrap.deadline_at_ms = now + BOOTSTRAP_CALL_TIMEOUT_MS;
}

void bootstrap_on_call(struct controller *controller, const struct controller_event *event, int64_t now,
		       struct command_list *out)
{
	const char *rejection = NULL;

	if (controller->identity.fleet_id)
		rejection = "found: this registrar belongs to a fleet";
	else if (!controller->identity.seed_count)
		rejection = "found: the settings of this registrar name no seeds";
	if (rejection) { /* a definite rejection: it does not depend on the other seeds */
		command_answer(out, event->payload.api_call.token, 409, 0,
			       error_json(out->pool, rejection, 0));
		return;
	}
	if (controller->bootstrap.call_token || controller->bootstrap.is_by_settings) {
		command_answer(
		    out, event->payload.api_call.token, 503, BOOTSTRAP_RETRY_MS,
		    error_json(out->pool, "found: a bootstrap is already in progress, retry later", 0));
		return;
	}
	bootstrap_reset(controller, now);
	controller->bootstrap.call_token = event->payload.api_call.token;
}

void controller_bootstrap(struct controller *controller, int64_t now)
{
	if (controller->bootstrap.call_token || controller->bootstrap.is_by_settings ||
	    !controller->identity.seed_count || !is_controller_empty(controller))
		return;
	bootstrap_reset(controller, now);
	controller->bootstrap.is_by_settings = true;
	controller->bootstrap.deadline_at_ms = now + BOOTSTRAP_SETTINGS_TIMEOUT_MS;
}

static void end_bootstrap(struct controller *controller, int status, const char *body,
			  struct command_list *out)
{
	if (controller->bootstrap.call_token)
		command_answer(out, controller->bootstrap.call_token, status,
			       status < 500 ? 0 : BOOTSTRAP_RETRY_MS, body);
	controller->bootstrap.call_token = 0;
	controller->bootstrap.is_by_settings = false;
}

/* End a bootstrap that has failed. The failure is definite (409) only if a seed has answered that it belongs
 * to a fleet. Once the members have been sent, some seeds may have started with them (504). */
static void fail_bootstrap(struct controller *controller, int all_answered, struct command_list *out)
{
	if (controller->bootstrap.members)
		end_bootstrap(
		    controller, 504,
		    error_json(
			out->pool,
			"found: not all seeds have answered, and some may have started: outcome unknown, retry",
			0),
		    out);
	else if (!all_answered)
		end_bootstrap(
		    controller, 503,
		    error_json(out->pool, "found: not all seeds have answered; nothing was started", 0), out);
	else
		end_bootstrap(
		    controller, 409,
		    error_json(
			out->pool,
			"found: a seed already belongs to a fleet; start the other seeds, and they will join it",
			0),
		    out);
}

void bootstrap_stop(struct controller *controller, struct command_list *out)
{
	int may_have_started = controller->bootstrap.members != NULL;

	if (!controller->bootstrap.call_token)
		return;
	fail_bootstrap(controller, 0, out);
	/* some seeds may have started: the members are still sent to the others */
	controller->bootstrap.is_by_settings = may_have_started;
}

/* Whether the bootstrap has failed. answered_count: number of seeds that have answered. empty_count: number
 * of these that are empty. A bootstrap by the settings has no time limit until all seeds have answered. */
static bool has_bootstrap_failed(const struct controller *controller, int answered_count, int empty_count,
				 int64_t now)
{
	const struct controller_bootstrap *bootstrap = &controller->bootstrap;
	bool is_past_deadline = now > bootstrap->deadline_at_ms;

	if (bootstrap->is_by_settings)
		return (!bootstrap->members &&
			(empty_count < answered_count || controller->identity.fleet_id)) ||
		       (controller->identity.fleet_id && is_past_deadline);
	return is_past_deadline ||
	       (!bootstrap->members && answered_count == controller->identity.seed_count &&
		empty_count < answered_count);
}

/* Choose the identity of the new fleet and its first members, after all seeds have answered that they are
 * empty: all seeds become members. */
static void choose_first_members(struct controller *controller)
{
	const struct controller_identity *identity = &controller->identity;
	struct controller_bootstrap *bootstrap = &controller->bootstrap;
	struct Nl__Members *members = malloc(sizeof *members);

	if (!members)
		abort();
	nl__members__init(members);
	bootstrap->proposed_fleet_id = core_random(&controller->identity.random_state) | 1;
	members->members = calloc((size_t)identity->seed_count, sizeof *members->members);
	for (int i = 0; i < identity->seed_count; i++) {
		struct Nl__Member *member = malloc(sizeof *member);

		if (!member || !members->members)
			abort();
		nl__member__init(member);
		member->id = bootstrap->seeds[i].id;
		member->addr = identity->seeds[i];
		member->voter = 1;
		members->members[members->n_members++] = member;
	}
	bootstrap->members = members;
}

/* Query all seeds whether they are empty; once the members are chosen, the query contains them. */
static void query_seeds(const struct controller *controller, struct command_list *out)
{
	const struct controller_bootstrap *bootstrap = &controller->bootstrap;

	for (int i = 0; i < controller->identity.seed_count; i++) {
		struct Nl__Bootstrap *query = MESSAGE_NEW(out, Nl__Bootstrap, NL__BOOTSTRAP__INIT);

		query->is_query = 1;
		if (bootstrap->members) {
			query->fleet_id = bootstrap->proposed_fleet_id;
			query->members =
			    (struct Nl__Members *)core_copy_message(out->pool, &bootstrap->members->base);
		}
		command_send(out, controller->identity.seeds[i], 0, NL__MSG__BODY_BOOTSTRAP)->bootstrap =
		    query;
	}
}

void bootstrap_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	struct controller_bootstrap *bootstrap = &controller->bootstrap;
	int seed_count = controller->identity.seed_count;
	int answered_count = 0, empty_count = 0, started_count = 0;

	if (!bootstrap->call_token && !bootstrap->is_by_settings)
		return;
	if (now < bootstrap->retry_at_ms &&
	    !(bootstrap->is_by_settings && controller->identity.fleet_id && !bootstrap->members))
		return;
	bootstrap->retry_at_ms = now + BOOTSTRAP_QUERY_INTERVAL_MS;
	for (int i = 0; i < seed_count; i++) {
		answered_count += bootstrap->seeds[i].id != 0;
		empty_count +=
		    bootstrap->seeds[i].id && bootstrap->seeds[i].is_empty && !bootstrap->seeds[i].fleet_id;
		started_count += bootstrap->seeds[i].fleet_id &&
				 bootstrap->seeds[i].fleet_id == bootstrap->proposed_fleet_id;
	}
	if (seed_count && started_count == seed_count) {
		end_bootstrap(controller, 200,
			      apr_psprintf(out->pool, "{\"fleet\":\"%016" APR_UINT64_T_HEX_FMT "\"}",
					   controller->identity.fleet_id),
			      out);
		return;
	}
	if (has_bootstrap_failed(controller, answered_count, empty_count, now)) {
		fail_bootstrap(controller, answered_count == seed_count, out);
		return;
	}
	if (!bootstrap->members && answered_count == seed_count)
		choose_first_members(controller);
	query_seeds(controller, out);
}
