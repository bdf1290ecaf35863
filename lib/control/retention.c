#include "retention.h"

#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "containers.h"
#include "controller_private.h"
#include "leadership.h"
#include "retention_progress.h"

enum {
	MAX_MISSED_COUNT = 1000, /* missed due times are counted up to this number */
	/* the slices of a purge that is decided later than this after its due time are spread over the time
	 * from the decision on */
	MAX_DECISION_DELAY_MS = 60000,
};

/* ---- wall clock of the majority ---- */

/* The wall clock of a voter, extrapolated from its last report; INT64_MIN when there is no recent report.
 */
static int64_t voter_wall_clock_ms(const struct controller *controller, uint64_t member_id, int64_t now)
{
	int64_t unix_ms = INT64_MIN;

	if (member_id == controller->identity.id)
		return controller->clocks.wall_ms ? controller->clocks.wall_ms : INT64_MIN;
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++) {
		const struct controller_node_status *node = &controller->membership.nodes[i];

		if (node->id == member_id && node->wall_clock_ms &&
		    now - node->last_request_at_ms <= CONTROLLER_NODE_LIVE_MS)
			unix_ms = node->wall_clock_ms + (now - node->last_request_at_ms);
	}
	return unix_ms;
}

int64_t retention_majority_wall_clock_ms(const struct controller *controller, int64_t now)
{
	const struct raft *raft = &controller->shards[SHARD_CONTROL];
	int64_t clocks[RAFT_MAX_MEMBERS]; /* sorted, latest first */
	int voter_count = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		int64_t unix_ms;
		int at = voter_count;

		if (!raft->group.members[i].voter)
			continue;
		unix_ms = voter_wall_clock_ms(controller, raft->group.members[i].id, now);
		for (; at && clocks[at - 1] < unix_ms; at--)
			clocks[at] = clocks[at - 1];
		clocks[at] = unix_ms;
		voter_count++;
	}
	return voter_count ? clocks[voter_count / 2] : INT64_MIN;
}

/* ---- the leader's decisions ---- */

/* Log a step. Returns the index of the log entry; 0 when it could not be logged. */
static uint64_t log_step(struct controller *controller, struct Nl__RetentionStep *step, int64_t now,
			 struct command_list *out)
{
	struct Nl__Operation operation = NL__OPERATION__INIT;

	operation.body_case = NL__OPERATION__BODY_RETENTION_STEP;
	operation.retention_step = step;
	controller->retention.last_step_index =
	    log_operation(controller, SHARD_CONTROL, &operation, now, out);
	return controller->retention.last_step_index;
}

/* The time from which the periods of a row without a due time are counted: the last purge of its scope, so
 * that repeated edits of the row do not postpone its purge indefinitely; unix_ms when there was no purge. */
static int64_t period_base_ms(const struct retention *retention, const char *scope, int64_t unix_ms)
{
	int64_t base_ms = unix_ms;

	for (ptrdiff_t i = 0; i < arrlen(retention->purges); i++)
		if (!strcmp(retention->purges[i]->scope, scope) &&
		    retention->purges[i]->decided_at_ms < unix_ms)
			base_ms = retention->purges[i]->decided_at_ms;
	return base_ms;
}

/* Fill in the step that begins the purge of a plan's due time. One step covers all due times missed since
 * then. */
static void fill_due_step(const struct controller *controller, const struct Nl__RetentionPlan *plan,
			  const struct Nl__Row *row, int64_t unix_ms, struct Nl__RetentionStep *step)
{
	int64_t next = plan->due_at_ms;

	step->step = NL__RETENTION_STEP_KIND__RETENTION_STEP_DUE;
	step->due_at_ms = plan->due_at_ms;
	step->next_due_at_ms =
	    retention_next_due(controller->adapters.calendar, row, plan->due_at_ms, unix_ms);
	while (step->missed < MAX_MISSED_COUNT) {
		next = retention_next_due(controller->adapters.calendar, row, next, next);
		if (!next || next > unix_ms)
			break;
		step->missed++;
	}
}

/* Log the next step of one plan: setting its first due time, or beginning the purge that is due. Returns 1
 * when a step was logged. */
static int log_next_due(struct controller *controller, int64_t unix_ms, int64_t now, struct command_list *out)
{
	const struct retention *retention = &controller->retention;

	for (ptrdiff_t i = 0; i < arrlen(retention->plans); i++) {
		const struct Nl__RetentionPlan *plan = retention->plans[i];
		const struct Nl__Row *row =
		    config_table_get(&controller->config.table, NL__KIND__RETENTION, plan->scope);
		struct Nl__RetentionStep step = NL__RETENTION_STEP__INIT;

		if (!row || (plan->due_at_ms && plan->due_at_ms > unix_ms))
			continue;
		step.scope = plan->scope;
		step.wall_clock_ms = unix_ms;
		if (plan->due_at_ms) {
			fill_due_step(controller, plan, row, unix_ms, &step);
		} else {
			step.step = NL__RETENTION_STEP_KIND__RETENTION_STEP_PLAN;
			step.next_due_at_ms =
			    retention_next_due(controller->adapters.calendar, row,
					       period_base_ms(retention, plan->scope, unix_ms), unix_ms);
		}
		if (!step.next_due_at_ms || !log_step(controller, &step, now, out))
			continue;
		if (step.step == NL__RETENTION_STEP_KIND__RETENTION_STEP_DUE)
			log_line(controller, "retention", out->pool,
				 "purge is due, scope %s, due times missed before %u", plan->scope,
				 (unsigned)step.missed);
		return 1;
	}
	return 0;
}

/* Whether any router reports a load pressure above the limit for spread purges. */
static int any_router_under_pressure(const struct controller *controller, int64_t now)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++) {
		const struct controller_node_status *node = &controller->membership.nodes[i];

		if (node->is_router && now - node->last_request_at_ms < CONTROLLER_NODE_LIVE_MS &&
		    node->load_pressure > RETENTION_MAX_LOAD_PRESSURE_PERMILLE)
			return 1;
	}
	return 0;
}

/* Log the next slice that is due. A purge's slices are spread evenly over half of its spread time while no
 * router is under pressure, and over all of its spread time otherwise. Returns 1 when a slice was logged. */
static int log_next_slice(struct controller *controller, int64_t unix_ms, int64_t now,
			  struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->retention.purges); i++) {
		const struct Nl__RetentionPurge *purge = controller->retention.purges[i];
		struct Nl__RetentionStep step = NL__RETENTION_STEP__INIT;
		int64_t start_ms = purge->due_at_ms > purge->decided_at_ms - MAX_DECISION_DELAY_MS
				       ? purge->due_at_ms
				       : purge->decided_at_ms;
		int intervals;

		if (purge->slices >= PURGE_SLICES)
			continue;
		step.late = purge->spread_ms && any_router_under_pressure(controller, now);
		intervals = step.late ? PURGE_SLICES : 2 * PURGE_SLICES;
		if (unix_ms < start_ms + (int64_t)purge->spread_ms * purge->slices / intervals)
			continue;
		step.step = NL__RETENTION_STEP_KIND__RETENTION_STEP_SLICE;
		step.purge_number = purge->purge_number;
		step.scope = purge->scope;
		step.slice = purge->slices;
		step.wall_clock_ms = unix_ms;
		if (!log_step(controller, &step, now, out))
			return 0;
		if (step.late)
			log_line(
			    controller, "retention", out->pool,
			    "purge %" APR_UINT64_T_FMT
			    ": slice %u is published despite high router load, since the purge has to end in its window",
			    purge->purge_number, step.slice);
		return 1;
	}
	return 0;
}

/* Log the completion of the next purge that is done. Returns 1 when one was logged. */
static int log_next_done(struct controller *controller, int64_t unix_ms, int64_t now,
			 struct command_list *out)
{
	struct retention *retention = &controller->retention;

	if (now - retention->done_checked_at_ms < RETENTION_DONE_CHECK_INTERVAL_MS ||
	    now - controller->leadership[SHARD_CONTROL].started_at_ms < RETENTION_NODE_TIMEOUT_MS)
		return 0; /* a new leader first needs a report from each node */
	retention->done_checked_at_ms = now;
	for (ptrdiff_t i = 0; i < arrlen(retention->purges); i++) {
		const struct Nl__RetentionPurge *purge = retention->purges[i];
		struct Nl__RetentionStep step = NL__RETENTION_STEP__INIT;

		if (purge->done_at_ms || purge->slices < PURGE_SLICES ||
		    retention_list_missing(controller, purge, now, NULL, out->pool))
			continue;
		step.step = NL__RETENTION_STEP_KIND__RETENTION_STEP_DONE;
		step.purge_number = purge->purge_number;
		step.scope = purge->scope;
		step.wall_clock_ms = unix_ms;
		if (log_step(controller, &step, now, out)) {
			log_line(controller, "retention", out->pool,
				 "purge %" APR_UINT64_T_FMT
				 " of scope %s is done: no server reports cached blocks from before it",
				 purge->purge_number, purge->scope);
			return 1;
		}
	}
	return 0;
}

void retention_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	struct retention *retention = &controller->retention;
	int64_t unix_ms;

	if ((!arrlen(retention->plans) && !arrlen(retention->purges)) ||
	    !leads_shard(controller, SHARD_CONTROL, now))
		return;
	if (now - retention->polled_at_ms < RETENTION_POLL_INTERVAL_MS ||
	    retention->last_step_index > controller->shards[SHARD_CONTROL].log.applied_index)
		return;
	retention->polled_at_ms = now;
	unix_ms = retention_majority_wall_clock_ms(controller, now);
	if (unix_ms == INT64_MIN)
		return;
	if (log_next_due(controller, unix_ms, now, out) || log_next_slice(controller, unix_ms, now, out) ||
	    log_next_done(controller, unix_ms, now, out))
		retention->polled_at_ms =
		    now -
		    RETENTION_POLL_INTERVAL_MS; /* propose the next step as soon as this one is applied */
}

/* ---- trimming of the logs on disk ---- */

/* The newest tick of the context purges that are in force on this node; 0: none. */
static uint64_t newest_purge_tick(const struct controller *controller)
{
	uint64_t tick = 0;

	for (ptrdiff_t i = 0; i < arrlen(controller->relay.view.context_purges); i++)
		if (controller->relay.view.context_purges[i]->tick > tick)
			tick = controller->relay.view.context_purges[i]->tick;
	return tick;
}

/* The tick up to which purges have led to a trim of a shard's log. */
static uint64_t trimmed_tick(struct controller *controller, uint32_t shard)
{
	const struct controller_service_state *service = service_shard_state(controller, shard);

	if (service)
		return service->purged_tick;
	return shard == SHARD_CONTROL ? controller->retention.purged_tick
				      : controller->purge_state.purged_tick;
}

/* Whether all claims from before a service shard's last trim have expired and are still on its disk, so that
 * they can be removed. */
static bool may_compact_claims(struct controller *controller, uint32_t shard, int64_t now)
{
	const struct controller_service_state *service = service_shard_state(controller, shard);

	if (!service || service->is_compacted || !service->purged_tick)
		return false;
	return service->clock_ms + (uint64_t)(now - controller->leadership[shard].clock_advanced_at_ms) >
	       service->purged_at_ms + CONTROLLER_CLAIM_TTL_MS;
}

void retention_trim_logs(struct controller *controller, int64_t now, struct command_list *out)
{
	uint64_t tick = newest_purge_tick(controller);

	if (!tick)
		return;
	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++) {
		struct Nl__Operation operation = NL__OPERATION__INIT;
		struct Nl__Trim trim = NL__TRIM__INIT;
		int compact = may_compact_claims(controller, shard, now);

		if (!leads_shard(controller, shard, now) ||
		    now - controller->compaction[shard].trim_logged_at_ms < RETENTION_TRIM_INTERVAL_MS ||
		    (tick <= trimmed_tick(controller, shard) && !compact))
			continue;
		controller->compaction[shard].trim_logged_at_ms = now;
		trim.purged_tick = tick;
		trim.compacted = compact;
		operation.body_case = NL__OPERATION__BODY_TRIM;
		operation.trim = &trim;
		(void)log_operation(controller, shard, &operation, now, out);
	}
}
