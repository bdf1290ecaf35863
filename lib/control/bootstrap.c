#include "bootstrap.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "controller_private.h"

enum { BOOTSTRAP_RETRY_MS = 1000 };

static int is_empty(const struct controller *controller)
{
	for (int i = 0; i < SHARD_COUNT; i++)
		if (controller->shards[i].term || controller->shards[i].group.member_count ||
		    controller->shards[i].log.base_index)
			return 0;
	return !controller->identity.fleet;
}

static void bootstrap_here(struct controller *controller, uint64_t fleet, const struct Nl__Members *members,
			   int64_t now, struct command_list *out)
{
	struct raft_member member[RAFT_MAX_MEMBERS];
	int member_count = 0, is_member = 0;

	for (size_t i = 0; i < members->n_members && member_count < RAFT_MAX_MEMBERS; i++) {
		memset(&member[member_count], 0, sizeof member[member_count]);
		member[member_count].id = members->members[i]->id;
		member[member_count].addr = members->members[i]->addr;
		member[member_count].voter = 1;
		is_member |= member[member_count++].id == controller->identity.id;
	}
	if (!is_member || !is_empty(controller))
		return;
	controller->identity.fleet = controller->config_watch.fleet = fleet;
	controller->identity.fleet_dirty = 1;
	out->fleet = fleet;
	for (int i = 0; i < SHARD_COUNT; i++)
		raft_bootstrap(&controller->shards[i], member, member_count, now);
	log_line(controller, "found", out->pool,
		 "The fleet %016" APR_UINT64_T_HEX_FMT " is founded with %d registrars.", fleet,
		 member_count);
}

void on_bootstrap_message(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out)
{
	const struct Nl__Bootstrap *q = message->bootstrap;
	struct Nl__Bootstrap *found;

	if (q->is_query || q->members) {
		if (q->members && q->fleet_id)
			bootstrap_here(controller, q->fleet_id, q->members, now, out);
		found = MESSAGE_NEW(out, Nl__Bootstrap, NL__BOOTSTRAP__INIT);
		found->is_empty = is_empty(controller);
		found->fleet_id = controller->identity.fleet;
		found->token = q->token;
		command_send(out, message->addr, 0, NL__MSG__BODY_BOOTSTRAP)->bootstrap = found;
		return;
	}
	for (int i = 0; i < controller->identity.seed_count &&
			(controller->bootstrap.call_token || controller->bootstrap.by_settings);
	     i++)
		if (controller->identity.seeds[i] == message->addr) {
			controller->bootstrap.seeds[i].id = message->id;
			controller->bootstrap.seeds[i].is_empty = q->is_empty;
			controller->bootstrap.seeds[i].fleet = q->fleet_id;
		}
}

static void bootstrap_begin(struct controller *controller, int64_t now)
{
	if (controller->bootstrap.members)
		nl__members__free_unpacked(controller->bootstrap.members, NULL);
	memset(&controller->bootstrap, 0, sizeof controller->bootstrap);
	controller->bootstrap.deadline_at_ms = now + 10000;
}

void bootstrap_fleet(struct controller *controller, const struct controller_event *event, int64_t now,
		     struct command_list *out)
{
	const char *why = controller->identity.fleet        ? "found: this registrar belongs to a fleet"
			  : controller->identity.seed_count ? NULL
							    : "found: no seeds are set";

	if (why) { /* so it is for good, whatever others do */
		command_answer(out, event->payload.api_call.token, 409, 0, error_json(out->pool, why, 0));
		return;
	}
	if (controller->bootstrap.call_token || controller->bootstrap.by_settings) {
		command_answer(out, event->payload.api_call.token, 503, BOOTSTRAP_RETRY_MS,
			       error_json(out->pool, "found: already under way", 0));
		return;
	}
	bootstrap_begin(controller, now);
	controller->bootstrap.call_token = event->payload.api_call.token;
}

void controller_bootstrap(struct controller *controller, int64_t now)
{
	if (controller->bootstrap.call_token || controller->bootstrap.by_settings ||
	    !controller->identity.seed_count || !is_empty(controller))
		return;
	bootstrap_begin(controller, now);
	controller->bootstrap.by_settings = 1;
	controller->bootstrap.deadline_at_ms =
	    now + 30000; /* by then its seeds have answered, or were replaced */
}

static void bootstrap_end(struct controller *controller, int status, const char *body,
			  struct command_list *out)
{
	if (controller->bootstrap.call_token)
		command_answer(out, controller->bootstrap.call_token, status,
			       status < 500 ? 0 : BOOTSTRAP_RETRY_MS, body);
	controller->bootstrap.call_token = 0;
	controller->bootstrap.by_settings = 0;
}

/* Definite is only a seed's word that it belongs to a fleet. Once the members were named, some may have taken
 * them. */
static void bootstrap_fail(struct controller *controller, int all_answered, struct command_list *out)
{
	if (controller->bootstrap.members)
		bootstrap_end(controller, 504,
			      error_json(out->pool,
					 "found: not every seed answers, and some may have begun: ask again",
					 0),
			      out);
	else if (!all_answered)
		bootstrap_end(controller, 503,
			      error_json(out->pool, "found: not every seed answers; nothing was founded", 0),
			      out);
	else
		bootstrap_end(
		    controller, 409,
		    error_json(out->pool,
			       "found: a seed already belongs to a fleet; start the others and they join", 0),
		    out);
}

void bootstrap_stop(struct controller *controller, struct command_list *out)
{
	int may_have_started = controller->bootstrap.members != NULL;

	if (!controller->bootstrap.call_token)
		return;
	bootstrap_fail(controller, 0, out);
	controller->bootstrap.by_settings =
	    may_have_started; /* seeds that have begun are still told of the others */
}

void bootstrap_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	int answered_count = 0, empty_count = 0, started_count = 0;

	if (!controller->bootstrap.call_token && !controller->bootstrap.by_settings)
		return;
	if (now < controller->bootstrap.retry_at_ms &&
	    !(controller->bootstrap.by_settings && controller->identity.fleet &&
	      !controller->bootstrap.members))
		return;
	controller->bootstrap.retry_at_ms = now + 200;
	for (int i = 0; i < controller->identity.seed_count; i++) {
		answered_count += controller->bootstrap.seeds[i].id != 0;
		empty_count += controller->bootstrap.seeds[i].id && controller->bootstrap.seeds[i].is_empty &&
			       !controller->bootstrap.seeds[i].fleet;
		started_count += controller->bootstrap.seeds[i].fleet &&
				 controller->bootstrap.seeds[i].fleet == controller->bootstrap.proposed_fleet;
	}
	if (controller->identity.seed_count && started_count == controller->identity.seed_count) {
		bootstrap_end(controller, 200,
			      apr_psprintf(out->pool, "{\"fleet\":\"%016" APR_UINT64_T_HEX_FMT "\"}",
					   controller->identity.fleet),
			      out);
		return;
	}
	if (controller->bootstrap.by_settings
		? (!controller->bootstrap.members &&
		   (empty_count < answered_count || controller->identity.fleet)) ||
		      (controller->identity.fleet && now > controller->bootstrap.deadline_at_ms)
		: now > controller->bootstrap.deadline_at_ms ||
		      (!controller->bootstrap.members && answered_count == controller->identity.seed_count &&
		       empty_count < answered_count)) {
		bootstrap_fail(controller, answered_count == controller->identity.seed_count, out);
		return;
	}
	if (!controller->bootstrap.members && answered_count == controller->identity.seed_count) {
		controller->bootstrap.members = malloc(sizeof *controller->bootstrap.members);
		if (!controller->bootstrap.members)
			abort();
		nl__members__init(controller->bootstrap.members);
		controller->bootstrap.proposed_fleet = core_random(&controller->identity.rng) | 1;
		controller->bootstrap.members->members = calloc(
		    (size_t)controller->identity.seed_count, sizeof *controller->bootstrap.members->members);
		for (int i = 0; i < controller->identity.seed_count; i++) {
			struct Nl__Member *member = malloc(sizeof *member);

			if (!member || !controller->bootstrap.members->members)
				abort();
			nl__member__init(member);
			member->id = controller->bootstrap.seeds[i].id;
			member->addr = controller->identity.seeds[i];
			member->voter = 1;
			controller->bootstrap.members->members[controller->bootstrap.members->n_members++] =
			    member;
		}
	}
	for (int i = 0; i < controller->identity.seed_count; i++) {
		struct Nl__Bootstrap *found = MESSAGE_NEW(out, Nl__Bootstrap, NL__BOOTSTRAP__INIT);

		found->is_query = 1;
		if (controller->bootstrap.members) {
			found->fleet_id = controller->bootstrap.proposed_fleet;
			found->members = (struct Nl__Members *)core_copy_message(
			    out->pool, &controller->bootstrap.members->base);
		}
		command_send(out, controller->identity.seeds[i], 0, NL__MSG__BODY_BOOTSTRAP)->bootstrap =
		    found;
	}
}
