#include "retention_state.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "config_table.h"
#include "containers.h"
#include "purge.h"

void retention_clear_remainders(struct retention_index_report *report)
{
	for (ptrdiff_t i = 0; i < arrlen(report->remainders); i++)
		free(report->remainders[i].server);
	arrsetlen(report->remainders, 0);
}

void retention_free_report(struct retention_index_report *report)
{
	retention_clear_remainders(report);
	arrfree(report->remainders);
}

void retention_free_reports(struct retention *retention)
{
	for (ptrdiff_t i = 0; i < arrlen(retention->index_reports); i++)
		retention_free_report(&retention->index_reports[i]);
	arrfree(retention->index_reports);
}

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

/* A copy of a message on the heap; released by the free_unpacked function of its type. */
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

void retention_pack(const struct retention *retention, struct Nl__ControlState *state)
{
	state->last_purge_number = retention->last_purge_number;
	state->retention_purges = retention->purges;
	state->n_retention_purges = (size_t)arrlen(retention->purges);
	state->retention_plans = retention->plans;
	state->n_retention_plans = (size_t)arrlen(retention->plans);
	state->purged_tick = retention->purged_tick;
}

void retention_reset(struct retention *retention)
{
	for (ptrdiff_t i = 0; i < arrlen(retention->purges); i++)
		nl__retention_purge__free_unpacked(retention->purges[i], NULL);
	for (ptrdiff_t i = 0; i < arrlen(retention->plans); i++)
		nl__retention_plan__free_unpacked(retention->plans[i], NULL);
	arrfree(retention->purges);
	arrfree(retention->plans);
	retention_free_reports(retention);
	memset(retention, 0, sizeof *retention);
}

void retention_load(struct retention *retention, const struct Nl__ControlState *state)
{
	retention_reset(retention);
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

/* ---- applying steps from the log ---- */

/* A log entry that is being applied. */
struct entry_context {
	struct retention *retention;
	const struct config_table *table;
	struct Nl__Value ***feed; /* purge feed that slices are appended to */
	uint64_t log_index;       /* of the log entry; slices are numbered from it */
};

/* The number of values that the log entry has appended to the purge feed so far. */
static uint32_t count_entry_values(const struct entry_context *context)
{
	uint32_t count = 0;

	for (ptrdiff_t i = arrlen(*context->feed) - 1;
	     i >= 0 && (*context->feed)[i]->index >> 16 == context->log_index; i--)
		count++;
	return count;
}

/* Append the next slice of a purge to the purge feed. */
static void append_slice(const struct entry_context *context, struct Nl__RetentionPurge *purge)
{
	struct Nl__Purge content = NL__PURGE__INIT;
	struct Nl__Value value = NL__VALUE__INIT;
	const struct Nl__Row *row;
	char route[RETENTION_SCOPE_BYTES] = "", tenant[RETENTION_SCOPE_BYTES] = "";

	if (!purge->wide)
		(void)retention_parse_scope(purge->scope, route, tenant);
	row = route[0] ? config_table_get(context->table, NL__KIND__ROUTE, route) : NULL;
	content.reason = PURGE_CONTEXT;
	content.route = route;
	content.tenant = tenant;
	content.service = row ? row->service : (char *)"";
	content.purge_number = purge->purge_number;
	content.slice = purge->slices++;
	value.feed = SHARD_CONTROL;
	value.index = context->log_index << 16 | count_entry_values(context);
	value.purge = &content;
	arrput(*context->feed, value_copy(&value));
}

/* End the earlier purges of a scope before a new one begins, by appending their remaining slices at once. */
static void end_open_purges(const struct entry_context *context, const char *scope, int64_t unix_ms)
{
	struct retention *retention = context->retention;

	for (ptrdiff_t i = 0; i < arrlen(retention->purges); i++) {
		struct Nl__RetentionPurge *purge = retention->purges[i];

		if (strcmp(purge->scope, scope) || purge->slices >= PURGE_SLICES)
			continue;
		while (purge->slices < PURGE_SLICES)
			append_slice(context, purge);
		purge->sliced_at_ms = unix_ms;
	}
}

/* While more than RETENTION_MAX_PURGES are recorded, drop the oldest one that is done, or else the newest
 * one. */
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

/* Begin a purge of the step's scope. wide: the scope's own cache namespace is not in force on all nodes yet,
 * so the purge covers all cache namespaces. */
static void begin_purge(const struct entry_context *context, const struct Nl__RetentionStep *step,
			const char *requested_by, uint32_t spread_ms, int wide)
{
	struct retention *retention = context->retention;
	struct Nl__RetentionPurge purge = NL__RETENTION_PURGE__INIT;
	char route[RETENTION_SCOPE_BYTES] = "", tenant[RETENTION_SCOPE_BYTES] = "";

	(void)retention_parse_scope(step->scope, route, tenant);
	end_open_purges(context, step->scope, step->wall_clock_ms);
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

static enum proposal_status apply_plan(const struct entry_context *context,
				       const struct Nl__RetentionStep *step)
{
	struct Nl__RetentionPlan *plan = find_plan(context->retention, step->scope);

	if (!plan || plan->due_at_ms || !step->next_due_at_ms)
		return PROPOSAL_REJECTED;
	plan->due_at_ms = step->next_due_at_ms;
	plan->planned_at_ms = step->wall_clock_ms;
	return PROPOSAL_APPLIED;
}

/* Begin the purge of a due time. The same entry sets the next due time, so a due time leads to one purge
 * only, even if several leaders propose it or one leader proposes it repeatedly. */
static enum proposal_status apply_due(const struct entry_context *context,
				      const struct Nl__RetentionStep *step)
{
	struct Nl__RetentionPlan *plan = find_plan(context->retention, step->scope);
	const struct Nl__Row *row = config_table_get(context->table, NL__KIND__RETENTION, step->scope);

	if (!plan || !row || plan->due_at_ms != step->due_at_ms || step->next_due_at_ms <= step->due_at_ms)
		return PROPOSAL_REJECTED;
	plan->due_at_ms = step->next_due_at_ms;
	begin_purge(context, step, "schedule", row->spread_ms, !plan->settled);
	plan->settled |= step->wall_clock_ms - plan->planned_at_ms >= RETENTION_PROPAGATION_MS;
	return PROPOSAL_APPLIED;
}

static enum proposal_status apply_now(const struct entry_context *context,
				      const struct Nl__RetentionStep *step)
{
	const struct Nl__RetentionPlan *plan = find_plan(context->retention, step->scope);

	begin_purge(context, step, step->requested_by, 0, !plan || !plan->settled);
	return PROPOSAL_APPLIED;
}

static enum proposal_status apply_slice(const struct entry_context *context,
					const struct Nl__RetentionStep *step)
{
	struct Nl__RetentionPurge *purge = find_purge(context->retention, step->purge_number);

	if (!purge || purge->slices != step->slice || purge->slices >= PURGE_SLICES)
		return PROPOSAL_REJECTED;
	append_slice(context, purge);
	purge->late |= step->late;
	if (purge->slices == PURGE_SLICES)
		purge->sliced_at_ms = step->wall_clock_ms;
	return PROPOSAL_APPLIED;
}

static enum proposal_status apply_done(const struct entry_context *context,
				       const struct Nl__RetentionStep *step)
{
	struct Nl__RetentionPurge *purge = find_purge(context->retention, step->purge_number);

	if (!purge || purge->slices < PURGE_SLICES || purge->done_at_ms)
		return PROPOSAL_REJECTED;
	purge->done_at_ms = step->wall_clock_ms;
	return PROPOSAL_APPLIED;
}

enum proposal_status retention_apply(struct retention *retention, const struct config_table *table,
				     struct Nl__Value ***feed, uint64_t index,
				     const struct Nl__RetentionStep *step)
{
	struct entry_context entry = { retention, table, feed, index }, *context = &entry;

	switch (step->step) {
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_PLAN:
		return apply_plan(context, step);
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_DUE:
		return apply_due(context, step);
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_NOW:
		return apply_now(context, step);
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_SLICE:
		return apply_slice(context, step);
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_DONE:
		return apply_done(context, step);
	default:
		return PROPOSAL_REJECTED;
	}
}

/* ---- updating the plans from the table's rows ---- */

/* The settings of a row as one text. A plan stores it, so that an edit of its row can be detected. */
static const char *setting_text(const struct Nl__Row *row, apr_pool_t *pool)
{
	return apr_psprintf(pool, "%s|%s|%s|%u", row->max_age, row->interval, row->calendar,
			    (unsigned)row->spread_ms);
}

static int has_retention_row(const struct config_table *table)
{
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++)
		if (table->rows[i].value.row->kind == NL__KIND__RETENTION)
			return 1;
	return 0;
}

/* Reset the plans whose rows were edited. Begin a last purge for the plans whose rows were removed, and
 * remove these plans. */
static void update_plans(const struct entry_context *context, apr_pool_t *pool)
{
	struct retention *retention = context->retention;

	for (ptrdiff_t i = arrlen(retention->plans) - 1; i >= 0; i--) {
		struct Nl__RetentionPlan *plan = retention->plans[i];
		const struct Nl__Row *row =
		    config_table_get(context->table, NL__KIND__RETENTION, plan->scope);
		struct Nl__RetentionStep step = NL__RETENTION_STEP__INIT;

		if (row && !strcmp(setting_text(row, pool), plan->text))
			continue;
		if (row) {
			free(plan->text);
			plan->text = strdup(setting_text(row, pool));
			plan->due_at_ms = 0;
			continue;
		}
		/* blocks in the scope's own cache namespace must not be found again if the row is re-added
		 */
		step.scope = plan->scope;
		step.wall_clock_ms = plan->planned_at_ms;
		step.due_at_ms = plan->planned_at_ms;
		begin_purge(context, &step, "its row was taken out", 0, 0);
		nl__retention_plan__free_unpacked(plan, NULL);
		arrdel(retention->plans, i);
	}
}

/* Insert a plan in the order of scopes, so that equal states are packed into equal bytes. */
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

void retention_on_config_change(struct retention *retention, const struct config_table *table,
				struct Nl__Value ***feed, uint64_t index)
{
	struct entry_context entry = { retention, table, feed, index }, *context = &entry;
	apr_pool_t *pool;

	if (!arrlen(retention->plans) && !has_retention_row(table))
		return;
	apr_pool_create(&pool, NULL);
	update_plans(context, pool);
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;

		if (row->kind == NL__KIND__RETENTION && !find_plan(retention, row->name))
			insert_plan(retention, row, pool);
	}
	apr_pool_destroy(pool);
}
