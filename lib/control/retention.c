#include "retention.h"

#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "containers.h"
#include "controller_private.h"
#include "leadership.h"
#include "retention_progress.h"

enum {
	MAX_MISSED = 1000,         /* missed due times that are counted */
	DUE_TIME_VALID_MS = 60000, /* how late a purge may be decided and still be spread from its due time */
};

/* ---- the recorded state ---- */

static struct Nl__RetentionPlan *find_plan(const struct retention *retention, const char *scope)
{
	for (ptrdiff_t i = 0; i < arrlen(retention->plans); i++)
		if (!strcmp(retention->plans[i]->scope, scope))
			return retention->plans[i];
	return NULL;
}

static struct Nl__RetentionPurge *find_purge(const struct retention *retention, uint64_t number)
{
	for (ptrdiff_t i = arrlen(retention->purges) - 1; i >= 0; i--)
		if (retention->purges[i]->purge_number == number)
			return retention->purges[i];
	return NULL;
}

/* A copy of a message on the heap; its ..._free_unpacked releases it. */
static ProtobufCMessage *copy_message(const ProtobufCMessage *message)
{
	size_t size = protobuf_c_message_get_packed_size(message);
	uint8_t *bytes = malloc(size + 1);
	ProtobufCMessage *copy;

	if (!bytes)
		abort();
	protobuf_c_message_pack(message, bytes);
	copy = protobuf_c_message_unpack(message->descriptor, NULL, size, bytes);
	free(bytes);
	if (!copy)
		abort();
	return copy;
}

void retention_pack(const struct controller *controller, struct Nl__ControlState *state)
{
	const struct retention *retention = &controller->retention;

	state->last_purge_number = retention->last_purge_number;
	state->retention_purges = retention->purges;
	state->n_retention_purges = (size_t)arrlen(retention->purges);
	state->retention_plans = retention->plans;
	state->n_retention_plans = (size_t)arrlen(retention->plans);
	state->purged_tick = retention->purged_tick;
}

void retention_reset(struct controller *controller)
{
	struct retention *retention = &controller->retention;

	for (ptrdiff_t i = 0; i < arrlen(retention->purges); i++)
		nl__retention_purge__free_unpacked(retention->purges[i], NULL);
	for (ptrdiff_t i = 0; i < arrlen(retention->plans); i++)
		nl__retention_plan__free_unpacked(retention->plans[i], NULL);
	arrfree(retention->purges);
	arrfree(retention->plans);
	retention_free_reports(retention);
	memset(retention, 0, sizeof *retention);
}

void retention_load(struct controller *controller, const struct Nl__ControlState *state)
{
	struct retention *retention = &controller->retention;

	retention_reset(controller);
	if (!state)
		return;
	retention->last_purge_number = state->last_purge_number;
	retention->purged_tick = state->purged_tick;
	for (size_t i = 0; i < state->n_retention_purges; i++)
		arrput(retention->purges,
		       (struct Nl__RetentionPurge *)copy_message(&state->retention_purges[i]->base));
	for (size_t i = 0; i < state->n_retention_plans; i++)
		arrput(retention->plans,
		       (struct Nl__RetentionPlan *)copy_message(&state->retention_plans[i]->base));
}

/* ---- steps from the log ---- */

/* How many values of the purge feed the log entry at index has made so far. */
static uint32_t values_of_entry(const struct controller *controller, uint64_t index)
{
	uint32_t count = 0;

	for (ptrdiff_t i = arrlen(controller->config.purge_feed) - 1;
	     i >= 0 && controller->config.purge_feed[i]->index >> 16 == index; i--)
		count++;
	return count;
}

/* Append the next slice of a purge to the purge feed. */
static void feed_slice(struct controller *controller, uint64_t index, struct Nl__RetentionPurge *purge)
{
	struct Nl__Purge content = NL__PURGE__INIT;
	struct Nl__Value value = NL__VALUE__INIT;
	const struct Nl__Row *row;
	char route[RETENTION_SCOPE_BYTES] = "", tenant[RETENTION_SCOPE_BYTES] = "";

	if (!purge->wide)
		(void)retention_parse_scope(purge->scope, route, tenant);
	row = route[0] ? config_table_get(&controller->config.table, NL__KIND__ROUTE, route) : NULL;
	content.reason = PURGE_CONTEXT;
	content.route = route;
	content.tenant = tenant;
	content.service = row ? row->service : (char *)"";
	content.purge_number = purge->purge_number;
	content.slice = purge->slices++;
	value.feed = SHARD_CONTROL;
	value.index = index << 16 | values_of_entry(controller, index);
	value.purge = &content;
	arrput(controller->config.purge_feed, value_copy(&value));
}

/* A new purge of a scope ends the one before it: the slices that are open go out at once. */
static void end_open_purges(struct controller *controller, uint64_t index, const char *scope, int64_t unix_ms)
{
	struct retention *retention = &controller->retention;

	for (ptrdiff_t i = 0; i < arrlen(retention->purges); i++) {
		struct Nl__RetentionPurge *purge = retention->purges[i];

		if (strcmp(purge->scope, scope) || purge->slices >= PURGE_SLICES)
			continue;
		while (purge->slices < PURGE_SLICES)
			feed_slice(controller, index, purge);
		purge->sliced_at_ms = unix_ms;
	}
}

/* Forget the oldest purges that are done, or the oldest of all, while there are too many. */
static void drop_oldest_purges(struct retention *retention)
{
	while (arrlen(retention->purges) > RETENTION_MAX_PURGES) {
		ptrdiff_t i = 0;

		while (i < arrlen(retention->purges) - 1 && !retention->purges[i]->done_at_ms)
			i++;
		nl__retention_purge__free_unpacked(retention->purges[i], NULL);
		arrdel(retention->purges, i);
	}
}

/* wide: the scope's own cache namespaces are not in use everywhere, so all of them are purged with it. */
static void begin_purge(struct controller *controller, uint64_t index, const struct Nl__RetentionStep *step,
			const char *requested_by, uint32_t spread_ms, int wide)
{
	struct retention *retention = &controller->retention;
	struct Nl__RetentionPurge purge = NL__RETENTION_PURGE__INIT;
	char route[RETENTION_SCOPE_BYTES] = "", tenant[RETENTION_SCOPE_BYTES] = "";

	(void)retention_parse_scope(step->scope, route, tenant);
	end_open_purges(controller, index, step->scope, step->wall_clock_ms);
	purge.purge_number = ++retention->last_purge_number;
	purge.scope = step->scope;
	purge.due_at_ms = step->due_at_ms;
	purge.decided_at_ms = step->wall_clock_ms;
	purge.requested_by = (char *)requested_by;
	purge.missed = step->missed;
	purge.spread_ms = spread_ms;
	purge.wide = wide && (route[0] || tenant[0]);
	arrput(retention->purges, (struct Nl__RetentionPurge *)copy_message(&purge.base));
	drop_oldest_purges(retention);
}

static uint32_t apply_plan(struct controller *controller, const struct Nl__RetentionStep *step)
{
	struct Nl__RetentionPlan *plan = find_plan(&controller->retention, step->scope);

	if (!plan || plan->due_at_ms || !step->next_due_at_ms)
		return PROPOSAL_REJECTED;
	plan->due_at_ms = step->next_due_at_ms;
	plan->planned_at_ms = step->wall_clock_ms;
	return PROPOSAL_DONE;
}

/* A due time is taken once, whoever decides it and however often: the entry that takes it sets the next one.
 */
static uint32_t apply_due(struct controller *controller, uint64_t index, const struct Nl__RetentionStep *step)
{
	struct Nl__RetentionPlan *plan = find_plan(&controller->retention, step->scope);
	const struct Nl__Row *row =
	    config_table_get(&controller->config.table, NL__KIND__RETENTION, step->scope);

	if (!plan || !row || plan->due_at_ms != step->due_at_ms || step->next_due_at_ms <= step->due_at_ms)
		return PROPOSAL_REJECTED;
	plan->due_at_ms = step->next_due_at_ms;
	begin_purge(controller, index, step, "schedule", row->spread_ms, !plan->settled);
	plan->settled |= step->wall_clock_ms - plan->planned_at_ms >= RETENTION_PROPAGATION_MS;
	return PROPOSAL_DONE;
}

static uint32_t apply_now(struct controller *controller, uint64_t index, const struct Nl__RetentionStep *step)
{
	const struct Nl__RetentionPlan *plan = find_plan(&controller->retention, step->scope);

	begin_purge(controller, index, step, step->requested_by, 0, !plan || !plan->settled);
	return PROPOSAL_DONE;
}

static uint32_t apply_slice(struct controller *controller, uint64_t index,
			    const struct Nl__RetentionStep *step)
{
	struct Nl__RetentionPurge *purge = find_purge(&controller->retention, step->purge_number);

	if (!purge || purge->slices != step->slice || purge->slices >= PURGE_SLICES)
		return PROPOSAL_REJECTED;
	feed_slice(controller, index, purge);
	purge->late |= step->late;
	if (purge->slices == PURGE_SLICES)
		purge->sliced_at_ms = step->wall_clock_ms;
	return PROPOSAL_DONE;
}

static uint32_t apply_done(struct controller *controller, const struct Nl__RetentionStep *step)
{
	struct Nl__RetentionPurge *purge = find_purge(&controller->retention, step->purge_number);

	if (!purge || purge->slices < PURGE_SLICES || purge->done_at_ms)
		return PROPOSAL_REJECTED;
	purge->done_at_ms = step->wall_clock_ms;
	return PROPOSAL_DONE;
}

uint32_t retention_apply(struct controller *controller, uint64_t index, const struct Nl__RetentionStep *step)
{
	switch (step->step) {
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_PLAN:
		return apply_plan(controller, step);
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_DUE:
		return apply_due(controller, index, step);
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_NOW:
		return apply_now(controller, index, step);
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_SLICE:
		return apply_slice(controller, index, step);
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_DONE:
		return apply_done(controller, step);
	default:
		return PROPOSAL_REJECTED;
	}
}

/* ---- plans follow the rows of the table ---- */

/* The row's setting as a plan keeps it, to tell an edited row from an unchanged one. */
static const char *setting_text(const struct Nl__Row *row, apr_pool_t *pool)
{
	return apr_psprintf(pool, "%s|%s|%s|%u", row->max_age, row->interval, row->calendar,
			    (unsigned)row->spread_ms);
}

static int any_retention_row(const struct config_table *table)
{
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		if (table->rows[i].value.row->kind == NL__KIND__RETENTION)
			return 1;
	return 0;
}

/* A plan whose row was edited is planned anew; one whose row was removed ends with a last purge. */
static void update_plans(struct controller *controller, uint64_t index, apr_pool_t *pool)
{
	struct retention *retention = &controller->retention;

	for (ptrdiff_t i = arrlen(retention->plans) - 1; i >= 0; i--) {
		struct Nl__RetentionPlan *plan = retention->plans[i];
		const struct Nl__Row *row =
		    config_table_get(&controller->config.table, NL__KIND__RETENTION, plan->scope);
		struct Nl__RetentionStep step = NL__RETENTION_STEP__INIT;

		if (row && !strcmp(setting_text(row, pool), plan->text))
			continue;
		if (row) {
			free(plan->text);
			plan->text = strdup(setting_text(row, pool));
			plan->due_at_ms = 0;
			continue;
		}
		/* what lies in its own cache namespaces must not be found again if the row comes back */
		step.scope = plan->scope;
		step.wall_clock_ms = plan->planned_at_ms;
		step.due_at_ms = plan->planned_at_ms;
		begin_purge(controller, index, &step, "its row was taken out", 0, 0);
		nl__retention_plan__free_unpacked(plan, NULL);
		arrdel(retention->plans, i);
	}
}

/* In the order of scopes, so that equal states pack alike. */
static void insert_plan(struct retention *retention, const struct Nl__Row *row, apr_pool_t *pool)
{
	struct Nl__RetentionPlan plan = NL__RETENTION_PLAN__INIT;
	ptrdiff_t at = arrlen(retention->plans);

	plan.scope = row->name;
	plan.text = (char *)setting_text(row, pool);
	while (at && strcmp(retention->plans[at - 1]->scope, row->name) > 0)
		at--;
	arrins(retention->plans, at, (struct Nl__RetentionPlan *)copy_message(&plan.base));
}

void retention_on_config_change(struct controller *controller, uint64_t index)
{
	struct retention *retention = &controller->retention;
	const struct config_table *table = &controller->config.table;
	apr_pool_t *pool;

	if (!arrlen(retention->plans) && !any_retention_row(table))
		return;
	apr_pool_create(&pool, NULL);
	update_plans(controller, index, pool);
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;

		if (row->kind == NL__KIND__RETENTION && !find_plan(retention, row->name))
			insert_plan(retention, row, pool);
	}
	apr_pool_destroy(pool);
}

/* ---- the agreed time ---- */

/* The clock of a voter as far as it was heard lately; INT64_MIN when it was not. */
static int64_t member_wall_clock(const struct controller *controller, uint64_t member_id, int64_t now)
{
	int64_t unix_ms = INT64_MIN;

	if (member_id == controller->identity.id)
		return controller->clocks.wall_ms ? controller->clocks.wall_ms : INT64_MIN;
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++) {
		const struct controller_node_status *node = &controller->membership.nodes[i];

		if (node->id == member_id && node->wall_clock_ms &&
		    now - node->observed_at_ms <= CONTROLLER_NODE_LIVE_MS)
			unix_ms = node->wall_clock_ms + (now - node->observed_at_ms);
	}
	return unix_ms;
}

int64_t retention_wall_clock(const struct controller *controller, int64_t now)
{
	const struct raft *raft = &controller->shards[SHARD_CONTROL];
	int64_t clocks[RAFT_MAX_MEMBERS]; /* latest first */
	int n = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		int64_t unix_ms;
		int at = n;

		if (!raft->group.members[i].voter)
			continue;
		unix_ms = member_wall_clock(controller, raft->group.members[i].id, now);
		for (; at && clocks[at - 1] < unix_ms; at--)
			clocks[at] = clocks[at - 1];
		clocks[at] = unix_ms;
		n++;
	}
	return n ? clocks[n / 2] : INT64_MIN;
}

/* ---- the leader's decisions ---- */

/* Returns the index of the log entry; 0 when it could not be logged. */
static uint64_t log_step(struct controller *controller, struct Nl__RetentionStep *step, int64_t now,
			 struct command_list *out)
{
	struct Nl__Operation operation = NL__OPERATION__INIT;

	operation.body_case = NL__OPERATION__BODY_RETENTION_STEP;
	operation.retention_step = step;
	controller->retention.logged_index = log_operation(controller, SHARD_CONTROL, &operation, now, out);
	return controller->retention.logged_index;
}

/* From when on a row without a due time counts its periods: from the last purge of its scope, so that a row
 * that is edited again and again is not put off for ever. */
static int64_t plan_base(const struct retention *retention, const char *scope, int64_t unix_ms)
{
	int64_t base_ms = unix_ms;

	for (ptrdiff_t i = 0; i < arrlen(retention->purges); i++)
		if (!strcmp(retention->purges[i]->scope, scope) &&
		    retention->purges[i]->decided_at_ms < unix_ms)
			base_ms = retention->purges[i]->decided_at_ms;
	return base_ms;
}

/* Fill in the step that takes a due time, however many were missed since. */
static void fill_due_step(const struct controller *controller, const struct Nl__RetentionPlan *plan,
			  const struct Nl__Row *row, int64_t unix_ms, struct Nl__RetentionStep *step)
{
	int64_t next = plan->due_at_ms;

	step->step = NL__RETENTION_STEP_KIND__RETENTION_STEP_DUE;
	step->due_at_ms = plan->due_at_ms;
	step->next_due_at_ms =
	    retention_next_due(controller->adapters.calendar, row, plan->due_at_ms, unix_ms);
	while (step->missed < MAX_MISSED) {
		next = retention_next_due(controller->adapters.calendar, row, next, next);
		if (!next || next > unix_ms)
			break;
		step->missed++;
	}
}

/* Log the next step of a plan: its first due time, or the purge that is due. Returns 1 when one was logged.
 */
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
					       plan_base(retention, plan->scope, unix_ms), unix_ms);
		}
		if (!step.next_due_at_ms || !log_step(controller, &step, now, out))
			continue;
		if (step.step == NL__RETENTION_STEP_KIND__RETENTION_STEP_DUE)
			log_line(controller, "retention", out->pool,
				 "Purge of %s is due; due times missed before: %u.", plan->scope,
				 (unsigned)step.missed);
		return 1;
	}
	return 0;
}

/* Whether any router reports that its queues are strained. */
static int routers_strained(const struct controller *controller, int64_t now)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++) {
		const struct controller_node_status *node = &controller->membership.nodes[i];

		if (node->is_router && now - node->observed_at_ms < CONTROLLER_NODE_LIVE_MS &&
		    node->load_pressure > RETENTION_MAX_PRESSURE)
			return 1;
	}
	return 0;
}

/* Log the next slice of a purge that is spread over time: in half of that time while routers are not
 * strained, and by its end in any case. Returns 1 when one was logged. */
static int log_next_slice(struct controller *controller, int64_t unix_ms, int64_t now,
			  struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->retention.purges); i++) {
		const struct Nl__RetentionPurge *purge = controller->retention.purges[i];
		struct Nl__RetentionStep step = NL__RETENTION_STEP__INIT;
		int64_t start_ms = purge->due_at_ms > purge->decided_at_ms - DUE_TIME_VALID_MS
				       ? purge->due_at_ms
				       : purge->decided_at_ms;
		int intervals;

		if (purge->slices >= PURGE_SLICES)
			continue;
		step.late = purge->spread_ms && routers_strained(controller, now);
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
			log_line(controller, "retention", out->pool,
				 "Purge %" APR_UINT64_T_FMT
				 ": slice %u goes on although routers are strained: its time ends.",
				 purge->purge_number, step.slice);
		return 1;
	}
	return 0;
}

/* Log that a purge is done. Returns 1 when it was logged. */
static int log_next_done(struct controller *controller, int64_t unix_ms, int64_t now,
			 struct command_list *out)
{
	struct retention *retention = &controller->retention;

	if (now - retention->checked_at_ms < RETENTION_CHECK_MS ||
	    now - controller->leadership[SHARD_CONTROL].since_ms < RETENTION_NODE_TIMEOUT_MS)
		return 0; /* a new leader hears from all nodes first */
	retention->checked_at_ms = now;
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
				 "Purge %" APR_UINT64_T_FMT
				 " of %s is done: no server names blocks of before.",
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
	if (now - retention->polled_at_ms < RETENTION_POLL_MS ||
	    retention->logged_index > controller->shards[SHARD_CONTROL].log.applied_index)
		return;
	retention->polled_at_ms = now;
	unix_ms = retention_wall_clock(controller, now);
	if (unix_ms == INT64_MIN)
		return;
	if (log_next_due(controller, unix_ms, now, out) || log_next_slice(controller, unix_ms, now, out) ||
	    log_next_done(controller, unix_ms, now, out))
		retention->polled_at_ms =
		    now - RETENTION_POLL_MS; /* the next one as soon as this is applied */
}

/* ---- the logs on disk ---- */

/* The newest tick of a purge of context that is in force here; 0: none. */
static uint64_t newest_purge_tick(const struct controller *controller)
{
	uint64_t tick = 0;

	for (ptrdiff_t i = 0; i < arrlen(controller->relay.view.context_purges); i++)
		if (controller->relay.view.context_purges[i]->tick > tick)
			tick = controller->relay.view.context_purges[i]->tick;
	return tick;
}

/* Up to which tick a shard's log was trimmed. */
static uint64_t trimmed_tick(struct controller *controller, uint32_t shard)
{
	const struct controller_service_state *service = service_shard_state(controller, shard);

	if (service)
		return service->purged_tick;
	return shard == SHARD_CONTROL ? controller->retention.purged_tick
				      : controller->purge_state.purged_tick;
}

/* Whether a service shard's claims of before its last trim have run out, so that they can go from its disk.
 */
static int can_compact(struct controller *controller, uint32_t shard, int64_t now)
{
	const struct controller_service_state *service = service_shard_state(controller, shard);

	if (!service || service->is_compacted || !service->purged_tick)
		return 0;
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
		int compact = can_compact(controller, shard, now);

		if (!leads_shard(controller, shard, now) ||
		    now - controller->compaction[shard].checked_at_ms < RETENTION_TRIM_MS ||
		    (tick <= trimmed_tick(controller, shard) && !compact))
			continue;
		controller->compaction[shard].checked_at_ms = now;
		trim.purged_tick = tick;
		trim.compacted = compact;
		operation.body_case = NL__OPERATION__BODY_TRIM;
		operation.trim = &trim;
		(void)log_operation(controller, shard, &operation, now, out);
	}
}
