/* rollout_instances: rolls out the target versions of models' weights to the servers of the platform's
 * endpoint list. On each tick the control shard's leader polls the list, advances the commands in progress,
 * and chooses the servers to command next. */
#include "rollout.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "leadership.h"
#include "mechanism.h"
#include "controller_private.h"
#include "rollout_command.h"
#include "rollout_pace.h"

enum { COMPLETION_RETRY_MS = 1000 }; /* wait before the completion of a rollout is logged again */

void rollout_open(struct rollout *rollout, int64_t now)
{
	memset(rollout, 0, sizeof *rollout);
	sh_new_strdup(rollout->models);
	sh_new_strdup(rollout->intents);
	rollout->intents_unknown_until_ms = now;
}

void rollout_close(struct rollout *rollout)
{
	for (ptrdiff_t i = 0; i < arrlen(rollout->servers); i++)
		rollout_server_free(&rollout->servers[i]);
	arrfree(rollout->servers);
	shfree(rollout->models);
	shfree(rollout->intents);
}

void rollout_start_term(struct controller *controller, int64_t now)
{
	struct rollout *rollout = &controller->rollout;
	uint64_t term = controller->shards[SHARD_CONTROL].term;

	/* if this node led the term just before, no other leader can have sent commands in between */
	if (rollout->term && term == rollout->term + 1)
		rollout->takeover_wait_ms = 0;
	else
		rollout->takeover_wait_ms =
		    controller->bounds.load_lease_wait_ms + ROLLOUT_TAKEOVER_MARGIN_MS;
	rollout->term_started_at_ms = now;
	rollout->term = term;
	rollout->command_sequence = 0;
	rollout->is_fenced = 0;
	for (ptrdiff_t i = 0; i < arrlen(rollout->servers); i++)
		rollout_server_free(&rollout->servers[i]);
	arrsetlen(rollout->servers, 0);
	instances_start_term(&controller->instances, &controller->config_watch.instances, term, now);
	for (ptrdiff_t i = 0; i < shlen(controller->instances.rows); i++)
		if (controller->instances.rows[i].value.instance->loading)
			rollout_server_get(rollout, controller->instances.rows[i].key)->state =
			    ROLLOUT_UNCONFIRMED;
}

/* Add the pace record of each model in the table that has none. */
static void add_model_paces(struct controller *controller)
{
	for (ptrdiff_t i = 0; i < shlen(controller->config.table.rows); i++) {
		const struct Nl__Row *row = controller->config.table.rows[i].value.row;
		struct rollout_pace empty = { 0 };

		if (row->kind == NL__KIND__MODEL && shgeti(controller->rollout.models, row->name) < 0)
			shput(controller->rollout.models, row->name, empty);
	}
}

static int compare_deadlines(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* The servers of one model in one zone. */
struct zone_servers {
	const char *zone;
	int server_count;
	int unavailable_count; /* servers with a load command in progress */
};

static struct zone_servers *find_or_add_zone(struct zone_servers **zones, const char *zone, apr_pool_t *pool)
{
	struct zone_servers added = { 0 };

	for (ptrdiff_t i = 0; i < arrlen(*zones); i++)
		if (!strcmp((*zones)[i].zone, zone))
			return &(*zones)[i];
	added.zone = apr_pstrdup(pool, zone);
	arrput(*zones, added);
	return &arrlast(*zones);
}

static void log_rolled_out(struct controller *controller, struct rollout_pace *pace,
			   const struct Nl__Row *model, int64_t now, struct command_list *out)
{
	const struct raft *raft = &controller->shards[SHARD_CONTROL];
	struct Nl__Row row = *model, *set[1] = { &row };
	struct Nl__Operation operation = NL__OPERATION__INIT;
	struct Nl__Change change = NL__CHANGE__INIT;

	/* The entry sets the complete row: it would revert a change of the row that is logged but not yet
	 * applied here. An earlier proposal may also still be in progress. */
	if (raft->log.applied_index != raft->log.base_index + (uint64_t)arrlen(raft->log.entries) ||
	    now - pace->completion_logged_at_ms < COMPLETION_RETRY_MS)
		return;
	row.rolled_out = model->target_weights;
	change.any_revision = 1;
	change.set = set;
	change.n_set = 1;
	operation.body_case = NL__OPERATION__BODY_CHANGE;
	operation.change = &change;
	if (log_operation(controller, SHARD_CONTROL, &operation, now, out)) {
		pace->completion_logged_at_ms = now;
		log_line(controller, "rollout", out->pool,
			 "rollout complete on all listed servers, weights %s, model %s",
			 model->target_weights, model->name);
	}
}

/* Whether a server may be commanded now: it has no command in progress and no backoff, and any command of an
 * earlier leader has expired. */
static bool may_be_commanded(const struct controller *controller, const struct Nl__Instance *instance,
			     int64_t now)
{
	const struct rollout_server *server = rollout_server_find(&controller->rollout, instance->server);

	return !(server && (server->state != ROLLOUT_IDLE || now < server->retry_at_ms)) &&
	       now >= rollout_command_not_before_ms(&controller->rollout, instance->server);
}

/* Whether a candidate is preferred to the best one so far: its deadline is earlier, or the deadlines are
 * equal and a smaller share of its zone's servers is unavailable. */
static bool is_preferred_candidate(int64_t deadline_ms, const struct zone_servers *zone,
				   int64_t best_deadline_ms, const struct zone_servers *best_zone)
{
	if (deadline_ms != best_deadline_ms)
		return deadline_ms < best_deadline_ms;
	return zone->unavailable_count * best_zone->server_count <
	       best_zone->unavailable_count * zone->server_count;
}

/* Choose the server to be commanded next; NULL: none. */
static const struct Nl__Instance *choose_next_server(struct controller *controller,
						     const struct Nl__Row *model, struct zone_servers **zones,
						     int64_t now, apr_pool_t *pool)
{
	const struct Nl__Instance *best = NULL;
	int64_t best_deadline_ms = INT64_MAX;
	struct zone_servers best_zone = { 0 };

	for (ptrdiff_t i = 0; i < shlen(controller->instances.rows); i++) {
		const struct Nl__Instance *instance = controller->instances.rows[i].value.instance;
		const char *name = rollout_instance_model(controller, instance);
		struct zone_servers zone;
		int64_t deadline_ms;

		if (!name || strcmp(name, model->name) ||
		    rollout_has_weights(instance->weights, model->target_weights))
			continue;
		deadline_ms = rollout_deadline_ms(controller, model, instance->weights);
		zone = *find_or_add_zone(zones, instance->zone, pool);
		if (best && !is_preferred_candidate(deadline_ms, &zone, best_deadline_ms, &best_zone))
			continue;
		if (!may_be_commanded(controller, instance, now))
			continue;
		best = instance;
		best_deadline_ms = deadline_ms;
		best_zone = zone;
	}
	return best;
}

/* Whether a server occupies one of the slots for concurrent loads. A server whose load has stalled, or that
 * has rejected its command, does not. */
static int occupies_load_slot(const struct controller *controller, const struct rollout_server *server,
			      int64_t now)
{
	int is_rejected = server && server->state == ROLLOUT_UNCONFIRMED && now < server->retry_at_ms;

	return server && server->state != ROLLOUT_IDLE && !is_rejected &&
	       now - rollout_last_commanded_at_ms(controller, server) <
		   controller->bounds.rollout_ms / ROLLOUT_STALL_DIVISOR;
}

static bool may_be_loading(const struct rollout_server *server)
{
	return server && (server->state == ROLLOUT_LOADING || server->state == ROLLOUT_UNCONFIRMED);
}

/* State of a model's servers at one tick of its rollout. */
struct rollout_survey {
	int server_count;
	int updated_count;
	int occupied_slot_count;    /* servers that occupy a slot for concurrent loads */
	int loading_count;          /* of these, servers that are or may be loading; not those whose
				       reply is outstanding, since they may reject */
	struct zone_servers *zones; /* stb_ds */
	int64_t *deadlines_ms;      /* stb_ds: of the servers that may be commanded now, soonest first */
};

static struct rollout_survey survey_servers(struct controller *controller, const struct Nl__Row *model,
					    int64_t now, struct command_list *out)
{
	struct rollout_survey survey = { 0 };

	for (ptrdiff_t i = 0; i < shlen(controller->instances.rows); i++) {
		const struct Nl__Instance *instance = controller->instances.rows[i].value.instance;
		const char *name = rollout_instance_model(controller, instance);
		struct rollout_server *server;
		struct zone_servers *zone;
		int is_unavailable;

		if (!name || strcmp(name, model->name))
			continue;
		server = rollout_server_find(&controller->rollout, instance->server);
		if (server)
			rollout_advance_server(controller, server, instance, model, now, out);
		instance = controller->instances.rows[i].value.instance;
		is_unavailable = server && server->state != ROLLOUT_IDLE;
		survey.server_count++;
		survey.occupied_slot_count += occupies_load_slot(controller, server, now);
		survey.loading_count += may_be_loading(server) && occupies_load_slot(controller, server, now);
		if (!is_unavailable && rollout_has_weights(instance->weights, model->target_weights))
			survey.updated_count++;
		else if (may_be_commanded(controller, instance, now))
			arrput(survey.deadlines_ms,
			       rollout_deadline_ms(controller, model, instance->weights));
		zone = find_or_add_zone(&survey.zones, instance->zone, out->pool);
		zone->server_count++;
		zone->unavailable_count += is_unavailable;
	}
	if (survey.deadlines_ms)
		qsort(survey.deadlines_ms, (size_t)arrlen(survey.deadlines_ms), sizeof *survey.deadlines_ms,
		      compare_deadlines);
	return survey;
}

/* Begin load commands to as many servers as there are free slots. */
static void command_servers(struct controller *controller, const struct Nl__Row *model,
			    struct rollout_survey *survey, int64_t now, struct command_list *out)
{
	struct rollout_pace *pace = &shgetp(controller->rollout.models, model->name)->value;
	int slots = rollout_concurrency(controller, pace, survey->server_count, survey->deadlines_ms,
					survey->occupied_slot_count, now) -
		    survey->occupied_slot_count;

	if (controller->rollout.is_fenced ||
	    now >= controller->shards[SHARD_CONTROL].lease.expires_at_ms - ROLLOUT_LEASE_MARGIN_MS)
		return;
	while (slots-- > 0) {
		const struct Nl__Instance *next =
		    choose_next_server(controller, model, &survey->zones, now, out->pool);

		if (!next)
			break;
		find_or_add_zone(&survey->zones, next->zone, out->pool)->unavailable_count++;
		rollout_begin_command(controller, rollout_server_get(&controller->rollout, next->server),
				      model, next, now, out);
		survey->occupied_slot_count++;
	}
}

/* Advance a model's rollout. Returns 1 when it is complete and its completion is recorded. */
static int roll_out_model(struct controller *controller, const struct Nl__Row *model, int64_t now,
			  struct command_list *out)
{
	struct rollout_survey survey = survey_servers(controller, model, now, out);
	int complete = survey.updated_count == survey.server_count;

	if (survey.server_count && complete && strcmp(model->rolled_out, model->target_weights))
		log_rolled_out(controller, &shgetp(controller->rollout.models, model->name)->value, model,
			       now, out);
	if (!complete)
		command_servers(controller, model, &survey, now, out);
	for (ptrdiff_t i = 0; i < arrlen(controller->rollout.servers); i++) {
		struct rollout_server *server = &controller->rollout.servers[i];

		if (may_be_loading(server) && server->max_concurrent_loads < survey.loading_count)
			server->max_concurrent_loads = survey.loading_count;
	}
	arrfree(survey.zones);
	arrfree(survey.deadlines_ms);
	return !survey.server_count || (complete && !strcmp(model->rolled_out, model->target_weights));
}

/* Drop the records of servers that no longer serve. Returns whether any command is in progress. */
static int drop_ended_servers(struct controller *controller)
{
	struct rollout *rollout = &controller->rollout;
	int any_command_active = 0;

	for (ptrdiff_t i = arrlen(rollout->servers) - 1; i >= 0; i--) {
		const struct Nl__Instance *instance =
		    instances_get(&controller->instances, rollout->servers[i].name);

		if (instance && instance->state == INSTANCE_SERVING) {
			any_command_active |= rollout->servers[i].state != ROLLOUT_IDLE;
			continue;
		}
		rollout_server_free(&rollout->servers[i]);
		arrdelswap(rollout->servers, i);
	}
	return any_command_active;
}

void rollout_instances_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	struct rollout *rollout = &controller->rollout;
	const struct config_table *table = &controller->config.table;
	int any_command_active, all_complete = 1;

	if (!controller->bounds.use_endpoint_list)
		return;
	add_model_paces(controller);
	if (!leads_shard(controller, SHARD_CONTROL, now))
		return;
	any_command_active = drop_ended_servers(controller);
	instances_tick(&controller->instances, any_command_active,
		       controller->bounds.endpoint_list_calls_millihertz, ++controller->identity.last_token,
		       now, out);
	if (!controller->instances.is_publishable ||
	    (rollout->completed_stamp == controller->instances.stamp &&
	     rollout->completed_revision == table->revision))
		return;
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		if (table->rows[i].value.row->kind == NL__KIND__MODEL)
			all_complete &= roll_out_model(controller, table->rows[i].value.row, now, out);
	if (all_complete) { /* skip the models until an instance or the table changes */
		rollout->completed_stamp = controller->instances.stamp;
		rollout->completed_revision = table->revision;
	}
}
