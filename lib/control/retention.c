#include "retention.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "leadership.h"
#include "controller_private.h"

/* ---- rows ------------------------------------------------------------------ */

int64_t retention_parse_span(const char *text)
{
	static const struct {
		char unit;
		int64_t ms;
	} units[] = {
		{ 's', 1000 }, { 'm', 60000 }, { 'h', 3600000 }, { 'd', 86400000 }, { 'w', 604800000 }
	};
	size_t n = strspn(text, "0123456789");
	int64_t value = n && n < 7 ? strtoll(text, NULL, 10) : 0;

	for (size_t i = 0; value && i < sizeof units / sizeof *units; i++)
		if (text[n] == units[i].unit && !text[n + 1])
			return value * units[i].ms;
	return -1;
}

int retention_parse_scope(const char *scope, char lane[200], char tenant[200])
{
	const char *slash = strchr(scope, '/');

	if (strlen(scope) >= 200)
		return 0;
	if (!strcmp(scope, "*"))
		scope = "*/*", slash = scope + 1;
	if (!slash || slash == scope || !slash[1])
		return 0;
	memcpy(lane, scope, (size_t)(slash - scope));
	lane[slash - scope] = 0;
	memcpy(tenant, slash + 1, strlen(slash));
	if (!strcmp(lane, "*"))
		lane[0] = 0;
	if (!strcmp(tenant, "*"))
		tenant[0] = 0;
	return 1;
}

uint64_t retention_namespace_hash(const char *lane, const char *tenant)
{
	return core_hash_string(core_hash_string(31, lane), tenant);
}

/* ms between two clearings of a row without calendar terms. */
static int64_t period(const struct Nl__Row *row)
{
	return row->interval[0] ? retention_parse_span(row->interval)
				: retention_parse_span(row->max_age) - row->spread_ms;
}

const char *retention_check_row(const struct Nl__Row *row)
{
	char lane[200], tenant[200];
	int64_t keep_ms = row->max_age[0] ? retention_parse_span(row->max_age) : 0;

	if (!retention_parse_scope(row->name, lane, tenant))
		return "name: lane/tenant, with * for all; * alone for everything";
	if (keep_ms < 0)
		return "keep: a number and s, m, h, d or w, such as 90m or 7d";
	if (row->interval[0] && row->calendar[0])
		return "every: not beside at";
	if (!keep_ms && !row->interval[0] && !row->calendar[0])
		return "keep: missing, and neither every nor at";
	if (row->interval[0] && retention_parse_span(row->interval) < 0)
		return "every: a number and s, m, h, d or w, such as 6h";
	if (keep_ms && keep_ms < (int64_t)row->spread_ms)
		return "keep: shorter than window";
	if (row->calendar[0])
		return NULL; /* the calendar judges it */
	if (period(row) < RETENTION_MIN_PERIOD_MS)
		return row->interval[0] ? "every: shorter than a clearing takes (10s)"
					: "keep: shorter than window and a clearing (10s)";
	if ((int64_t)row->spread_ms > period(row))
		return "window: longer than the time between two clearings";
	if (keep_ms && row->interval[0] && keep_ms < period(row) + (int64_t)row->spread_ms)
		return "keep: shorter than every and window together";
	return NULL;
}

static int has_quota_row(const struct config_table *table, const struct Nl__Change *change, Nl__Kind k,
			 const char *name)
{
	for (size_t i = 0; i < change->n_set; i++)
		if (change->set[i]->kind == k && !strcmp(change->set[i]->name, name))
			return 1;
	for (size_t i = 0; i < change->n_deleted; i++)
		if (change->deleted[i]->kind == k && !strcmp(change->deleted[i]->name, name))
			return 0;
	return !change->replace_all && config_table_get(table, k, name);
}

const char *retention_check_scopes(const struct config_table *table, const struct Nl__Change *change,
				   apr_pool_t *p)
{
	char lane[200], tenant[200];

	for (size_t i = 0; i < change->n_set && shlen(table->rows); i++) {
		const struct Nl__Row *row = change->set[i];

		if (row->kind != NL__KIND__RETENTION || !retention_parse_scope(row->name, lane, tenant))
			continue;
		if (lane[0] && !has_quota_row(table, change, NL__KIND__ROUTE, lane))
			return apr_psprintf(p, "retention %s: name: no lane %s", row->name, lane);
		if (tenant[0] && !has_quota_row(table, change, NL__KIND__TENANT, tenant))
			return apr_psprintf(p, "retention %s: name: no tenant %s", row->name, tenant);
	}
	return NULL;
}

/* The shortest and the longest time between two clearings in the next 800 days; 0 when fewer than two come.
 */
static int gaps(const struct controller_calendar *cal, const char *text, int64_t wall, int64_t *least,
		int64_t *most)
{
	int64_t a = cal->next(text, wall), b;
	int n = 0;

	*least = INT64_MAX;
	*most = 0;
	while (a && a < wall + 800 * 86400000LL && (b = cal->next(text, a)) && n++ < 400) {
		*least = b - a < *least ? b - a : *least;
		*most = b - a > *most ? b - a : *most;
		a = b;
	}
	return n;
}

const char *retention_check_calendar(const struct controller_calendar *calendar,
				     const struct Nl__Change *change, int64_t wall_ms, apr_pool_t *p)
{
	for (size_t i = 0; i < change->n_set; i++) {
		const struct Nl__Row *row = change->set[i];
		int64_t shortest_ms, longest_ms, keep_ms;
		const char *error = NULL;

		if (row->kind != NL__KIND__RETENTION)
			continue;
		if (wall_ms == INT64_MIN)
			error = "the registrars' clocks are not heard: nothing can be planned";
		else if (!row->calendar[0])
			continue;
		else if (!calendar)
			error = "at: no calendar is known here";
		else if ((error = calendar->check(row->calendar, p)))
			error = apr_psprintf(p, "at: %s", error);
		else if (!calendar->next(row->calendar, wall_ms))
			error = "at: it never comes";
		else if (gaps(calendar, row->calendar, wall_ms, &shortest_ms, &longest_ms) &&
			 (int64_t)row->spread_ms > shortest_ms)
			error = "window: longer than the time between two clearings";
		else if (row->max_age[0] && (keep_ms = retention_parse_span(row->max_age)) >= 0 &&
			 keep_ms < longest_ms + (int64_t)row->spread_ms)
			error = apr_psprintf(p,
					     "keep: two clearings may be %" APR_INT64_T_FMT
					     " h apart, and window: keep is shorter",
					     longest_ms / 3600000);
		if (error)
			return apr_psprintf(p, "retention %s: %s", row->name, error);
	}
	return NULL;
}

int64_t retention_next_due(const struct controller_calendar *calendar, const struct Nl__Row *row,
			   int64_t base_ms, int64_t from_ms)
{
	int64_t period_ms;

	if (row->calendar[0])
		return calendar ? calendar->next(row->calendar, from_ms) : 0;
	period_ms = period(row);
	if (period_ms < RETENTION_MIN_PERIOD_MS)
		return 0;
	return base_ms > from_ms ? base_ms : base_ms + ((from_ms - base_ms) / period_ms + 1) * period_ms;
}

/* ---- the state that part 0 keeps -------------------------------------------- */

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

static ProtobufCMessage *keep(const ProtobufCMessage *m)
{
	size_t n = protobuf_c_message_get_packed_size(m);
	uint8_t *d = malloc(n + 1);
	ProtobufCMessage *c;

	if (!d)
		abort();
	protobuf_c_message_pack(m, d);
	c = protobuf_c_message_unpack(m->descriptor, NULL, n, d);
	free(d);
	if (!c)
		abort();
	return c;
}

/* One slice of a clearing goes to the publisher. */
static void emit(struct controller *controller, uint64_t index, struct Nl__RetentionPurge *purge_run)
{
	struct Nl__Purge p = NL__PURGE__INIT;
	struct Nl__Value value = NL__VALUE__INIT;
	const struct Nl__Row *row;
	char lane[200] = "", tenant[200] = "";
	uint32_t n = 0;

	if (!purge_run->wide)
		(void)retention_parse_scope(purge_run->scope, lane, tenant);
	row = lane[0] ? config_table_get(&controller->config.table, NL__KIND__ROUTE, lane) : NULL;
	p.reason = PURGE_CONTEXT;
	p.route = lane;
	p.tenant = tenant;
	p.service = row ? row->service : (char *)"";
	p.purge_number = purge_run->purge_number;
	p.slice = purge_run->slices++;
	for (ptrdiff_t i = arrlen(controller->config.purge_feed) - 1;
	     i >= 0 && controller->config.purge_feed[i]->index >> 16 == index; i--)
		n++;
	value.feed = SHARD_CONTROL;
	value.index = index << 16 | n;
	value.purge = &p;
	arrput(controller->config.purge_feed, value_copy(&value));
}

static void begin(struct controller *controller, uint64_t index, const struct Nl__RetentionStep *c,
		  const char *by, uint32_t window, int wide)
{
	struct retention *retention = &controller->retention;
	struct Nl__RetentionPurge n = NL__RETENTION_PURGE__INIT;
	char lane[200] = "", tenant[200] = "";

	(void)retention_parse_scope(c->scope, lane, tenant);
	for (ptrdiff_t i = 0; i < arrlen(retention->purges);
	     i++) /* one of a scope at a time: the one before ends here */
		if (!strcmp(retention->purges[i]->scope, c->scope) &&
		    retention->purges[i]->slices < PURGE_SLICES) {
			while (retention->purges[i]->slices < PURGE_SLICES)
				emit(controller, index, retention->purges[i]);
			retention->purges[i]->sliced_at_ms = c->wall_clock_ms;
		}
	n.purge_number = ++retention->last_purge_number;
	n.scope = c->scope;
	n.due_at_ms = c->due_at_ms;
	n.decided_at_ms = c->wall_clock_ms;
	n.requested_by = (char *)by;
	n.missed = c->missed;
	n.spread_ms = window;
	n.wide = wide && (lane[0] || tenant[0]);
	arrput(retention->purges, (struct Nl__RetentionPurge *)keep(&n.base));
	while (arrlen(retention->purges) > RETENTION_MAX_PURGES) {
		ptrdiff_t i = 0;

		while (i < arrlen(retention->purges) - 1 && !retention->purges[i]->done_at_ms)
			i++;
		nl__retention_purge__free_unpacked(retention->purges[i], NULL);
		arrdel(retention->purges, i);
	}
}

uint32_t retention_apply(struct controller *controller, uint64_t index, const struct Nl__RetentionStep *clear)
{
	struct retention *retention = &controller->retention;
	struct Nl__RetentionPlan *plan = find_plan(retention, clear->scope);
	struct Nl__RetentionPurge *purge = find_purge(retention, clear->purge_number);
	const struct Nl__Row *row =
	    config_table_get(&controller->config.table, NL__KIND__RETENTION, clear->scope);

	switch (clear->step) {
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_PLAN:
		if (!plan || plan->due_at_ms || !clear->next_due_at_ms)
			return PROPOSAL_REJECTED;
		plan->due_at_ms = clear->next_due_at_ms;
		plan->planned_at_ms = clear->wall_clock_ms;
		return PROPOSAL_DONE;
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_DUE: /* a due time is taken once, whoever decides it and
							     however often */
		if (!plan || !row || plan->due_at_ms != clear->due_at_ms ||
		    clear->next_due_at_ms <= clear->due_at_ms)
			return PROPOSAL_REJECTED;
		plan->due_at_ms = clear->next_due_at_ms;
		begin(controller, index, clear, "schedule", row->spread_ms, !plan->settled);
		plan->settled |= clear->wall_clock_ms - plan->planned_at_ms >= RETENTION_PROPAGATION_MS;
		return PROPOSAL_DONE;
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_NOW:
		begin(controller, index, clear, clear->requested_by, 0, !plan || !plan->settled);
		return PROPOSAL_DONE;
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_SLICE:
		if (!purge || purge->slices != clear->slice || purge->slices >= PURGE_SLICES)
			return PROPOSAL_REJECTED;
		emit(controller, index, purge);
		purge->late |= clear->late;
		if (purge->slices == PURGE_SLICES)
			purge->sliced_at_ms = clear->wall_clock_ms;
		return PROPOSAL_DONE;
	case NL__RETENTION_STEP_KIND__RETENTION_STEP_DONE:
		if (!purge || purge->slices < PURGE_SLICES || purge->done_at_ms)
			return PROPOSAL_REJECTED;
		purge->done_at_ms = clear->wall_clock_ms;
		return PROPOSAL_DONE;
	default:
		return PROPOSAL_REJECTED;
	}
}

static const char *setting_text(const struct Nl__Row *row, apr_pool_t *p)
{
	return apr_psprintf(p, "%s|%s|%s|%u", row->max_age, row->interval, row->calendar,
			    (unsigned)row->spread_ms);
}

void retention_on_config_change(struct controller *controller, uint64_t index)
{
	struct retention *retention = &controller->retention;
	apr_pool_t *p;

	if (!arrlen(retention->plans)) {
		ptrdiff_t i = 0;

		while (i < shlen(controller->config.table.rows) &&
		       controller->config.table.rows[i].value.row->kind != NL__KIND__RETENTION)
			i++;
		if (i == shlen(controller->config.table.rows))
			return;
	}
	apr_pool_create(&p, NULL);
	for (ptrdiff_t i = arrlen(retention->plans) - 1; i >= 0; i--) {
		const struct Nl__Row *row = config_table_get(&controller->config.table, NL__KIND__RETENTION,
							     retention->plans[i]->scope);

		if (row && !strcmp(setting_text(row, p), retention->plans[i]->text))
			continue;
		if (row) { /* planned anew */
			free(retention->plans[i]->text);
			retention->plans[i]->text = strdup(setting_text(row, p));
			retention->plans[i]->due_at_ms = 0;
			continue;
		}
		/* what lies on its own cache namespaces must not be found again if the row comes back */
		struct Nl__RetentionStep clear = NL__RETENTION_STEP__INIT;

		clear.scope = retention->plans[i]->scope;
		clear.wall_clock_ms = clear.due_at_ms = retention->plans[i]->planned_at_ms;
		begin(controller, index, &clear, "its row was taken out", 0, 0);
		nl__retention_plan__free_unpacked(retention->plans[i], NULL);
		arrdel(retention->plans, i);
	}
	for (ptrdiff_t i = 0; i < shlen(controller->config.table.rows); i++) {
		const struct Nl__Row *row = controller->config.table.rows[i].value.row;
		struct Nl__RetentionPlan n = NL__RETENTION_PLAN__INIT;
		ptrdiff_t k = arrlen(retention->plans);

		if (row->kind != NL__KIND__RETENTION || find_plan(retention, row->name))
			continue;
		n.scope = row->name;
		n.text = (char *)setting_text(row, p);
		arrput(retention->plans, (struct Nl__RetentionPlan *)keep(&n.base));
		for (; k && strcmp(retention->plans[k - 1]->scope, retention->plans[k]->scope) > 0;
		     k--) { /* in order, so that equal states pack alike */
			struct Nl__RetentionPlan *planned = retention->plans[k];

			retention->plans[k] = retention->plans[k - 1];
			retention->plans[k - 1] = planned;
		}
	}
	apr_pool_destroy(p);
}

void retention_pack(const struct controller *controller, struct Nl__ControlState *state)
{
	state->last_purge_number = controller->retention.last_purge_number;
	state->retention_purges = controller->retention.purges;
	state->n_retention_purges = (size_t)arrlen(controller->retention.purges);
	state->retention_plans = controller->retention.plans;
	state->n_retention_plans = (size_t)arrlen(controller->retention.plans);
	state->purged_tick = controller->retention.purged_tick;
}

void retention_reset(struct controller *controller)
{
	struct retention *retention = &controller->retention;

	for (ptrdiff_t i = 0; i < arrlen(retention->purges); i++)
		nl__retention_purge__free_unpacked(retention->purges[i], NULL);
	for (ptrdiff_t i = 0; i < arrlen(retention->plans); i++)
		nl__retention_plan__free_unpacked(retention->plans[i], NULL);
	for (ptrdiff_t i = 0; i < arrlen(retention->index_reports); i++) {
		for (ptrdiff_t k = 0; k < arrlen(retention->index_reports[i].remainders); k++)
			free(retention->index_reports[i].remainders[k].server);
		arrfree(retention->index_reports[i].remainders);
	}
	arrfree(retention->purges);
	arrfree(retention->plans);
	arrfree(retention->index_reports);
	memset(retention, 0, sizeof *retention);
}

void retention_load(struct controller *controller, const struct Nl__ControlState *state)
{
	retention_reset(controller);
	if (!state)
		return;
	controller->retention.last_purge_number = state->last_purge_number;
	controller->retention.purged_tick = state->purged_tick;
	for (size_t i = 0; i < state->n_retention_purges; i++)
		arrput(controller->retention.purges,
		       (struct Nl__RetentionPurge *)keep(&state->retention_purges[i]->base));
	for (size_t i = 0; i < state->n_retention_plans; i++)
		arrput(controller->retention.plans,
		       (struct Nl__RetentionPlan *)keep(&state->retention_plans[i]->base));
}

/* ---- the clocks --------------------------------------------------------------- */

/* More than half of part 0's voters say that it is this late, or later: one clock that jumps decides nothing.
 */
int64_t retention_wall_clock(const struct controller *controller, int64_t now)
{
	const struct raft *p = &controller->shards[SHARD_CONTROL];
	int64_t clocks[RAFT_MAX_MEMBERS];
	int n = 0;

	for (int i = 0; i < p->group.member_count; i++) {
		int64_t wall_ms = INT64_MIN;
		int k = n;

		if (!p->group.members[i].voter)
			continue;
		if (p->group.members[i].id == controller->identity.id)
			wall_ms = controller->clocks.wall_ms ? controller->clocks.wall_ms : INT64_MIN;
		else
			for (ptrdiff_t s = 0; s < arrlen(controller->membership.nodes); s++)
				if (controller->membership.nodes[s].id == p->group.members[i].id &&
				    controller->membership.nodes[s].wall_clock_ms &&
				    now - controller->membership.nodes[s].observed_at_ms <=
					CONTROLLER_NODE_LIVE_MS)
					wall_ms = controller->membership.nodes[s].wall_clock_ms +
						  (now - controller->membership.nodes[s].observed_at_ms);
		for (; k && clocks[k - 1] < wall_ms; k--)
			clocks[k] = clocks[k - 1];
		clocks[k] = wall_ms;
		n++;
	}
	return n ? clocks[n / 2] : INT64_MIN;
}

/* ---- the owner decides ----------------------------------------------------------- */

static uint64_t step(struct controller *controller, struct Nl__RetentionStep *c, int64_t now,
		     struct command_list *out)
{
	struct Nl__Operation operation = NL__OPERATION__INIT;

	operation.body_case = NL__OPERATION__BODY_RETENTION_STEP;
	operation.retention_step = c;
	return controller->retention.logged_index =
		   log_operation(controller, SHARD_CONTROL, &operation, now, out);
}

/* A row without a due time gets one; one whose time has come is cleared, however many times were missed
 * since. */
static int plan(struct controller *controller, int64_t wall, int64_t now, struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->retention.plans); i++) {
		struct Nl__RetentionPlan *p = controller->retention.plans[i];
		const struct Nl__Row *row =
		    config_table_get(&controller->config.table, NL__KIND__RETENTION, p->scope);
		struct Nl__RetentionStep clear = NL__RETENTION_STEP__INIT;

		if (!row || (p->due_at_ms && p->due_at_ms > wall))
			continue;
		clear.scope = p->scope;
		clear.wall_clock_ms = wall;
		if (!p->due_at_ms) {
			int64_t base = wall;

			for (ptrdiff_t k = 0; k < arrlen(controller->retention.purges);
			     k++) /* a row that is edited again and again is not put off for ever */
				if (!strcmp(controller->retention.purges[k]->scope, p->scope) &&
				    controller->retention.purges[k]->decided_at_ms < wall)
					base = controller->retention.purges[k]->decided_at_ms;
			clear.step = NL__RETENTION_STEP_KIND__RETENTION_STEP_PLAN;
			clear.next_due_at_ms =
			    retention_next_due(controller->adapters.calendar, row, base, wall);
		} else {
			int64_t next = p->due_at_ms;

			clear.step = NL__RETENTION_STEP_KIND__RETENTION_STEP_DUE;
			clear.due_at_ms = p->due_at_ms;
			clear.next_due_at_ms =
			    retention_next_due(controller->adapters.calendar, row, p->due_at_ms, wall);
			while (clear.missed < 1000 &&
			       (next = retention_next_due(controller->adapters.calendar, row, next, next)) &&
			       next <= wall)
				clear.missed++;
		}
		if (clear.next_due_at_ms && step(controller, &clear, now, out)) {
			if (clear.step == NL__RETENTION_STEP_KIND__RETENTION_STEP_DUE)
				log_line(
				    controller, "retention", out->pool,
				    "Context of %s is due for clearing; %u due times were missed before.",
				    p->scope, (unsigned)clear.missed);
			return 1;
		}
	}
	return 0;
}

static int calm(const struct controller *controller, int64_t now)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++)
		if (controller->membership.nodes[i].is_router &&
		    now - controller->membership.nodes[i].observed_at_ms < CONTROLLER_NODE_LIVE_MS &&
		    controller->membership.nodes[i].load_pressure > RETENTION_MAX_PRESSURE)
			return 0;
	return 1;
}

/* The next slice of a clearing: at half its pace while callers are served in time, at its full pace whatever
 * they feel. */
static int log_next_slice(struct controller *controller, int64_t wall_ms, int64_t now,
			  struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->retention.purges); i++) {
		struct Nl__RetentionPurge *purge = controller->retention.purges[i];
		struct Nl__RetentionStep clear = NL__RETENTION_STEP__INIT;
		int64_t start_ms =
		    purge->due_at_ms > purge->decided_at_ms - 60000 ? purge->due_at_ms : purge->decided_at_ms;

		if (purge->slices >= PURGE_SLICES)
			continue;
		clear.late = purge->spread_ms && !calm(controller, now);
		if (wall_ms < start_ms + (int64_t)purge->spread_ms * purge->slices /
					     (clear.late ? PURGE_SLICES : 2 * PURGE_SLICES))
			continue;
		clear.step = NL__RETENTION_STEP_KIND__RETENTION_STEP_SLICE;
		clear.purge_number = purge->purge_number;
		clear.scope = purge->scope;
		clear.slice = purge->slices;
		clear.wall_clock_ms = wall_ms;
		if (!step(controller, &clear, now, out))
			return 0;
		if (clear.late)
			log_line(controller, "retention", out->pool,
				 "Clearing %" APR_UINT64_T_FMT
				 ": lines are long, but its window ends: slice %u goes on.",
				 purge->purge_number, clear.slice);
		return 1;
	}
	return 0;
}

/* The tick at which a slice of a clearing is in force, as far as it is known here; 0: not published yet. */
static uint64_t slice_tick(const struct controller *controller, const struct Nl__RetentionPurge *purge_run,
			   uint32_t slice)
{
	char lane[200] = "", tenant[200] = "";

	if (!purge_run->wide)
		(void)retention_parse_scope(purge_run->scope, lane, tenant);
	for (ptrdiff_t i = 0; i < arrlen(controller->relay.view.context_purges); i++) {
		const struct Nl__Value *value = controller->relay.view.context_purges[i];

		if (value->purge->slice == slice && value->purge->purge_number >= purge_run->purge_number &&
		    !strcmp(value->purge->route, lane) && !strcmp(value->purge->tenant, tenant))
			return value->tick;
	}
	return 0;
}

/* Whether a cache_namespace of this scope holds what such a clearing covers. */
static int purge_covers(const struct controller *controller, const struct Nl__RetentionPurge *purge_run,
			uint64_t scope)
{
	char lane[200] = "", tenant[200] = "", planned_lane[200], planned_tenant[200];

	(void)retention_parse_scope(purge_run->scope, lane, tenant);
	if (purge_run->wide || scope == RETENTION_ANY || (!lane[0] && !tenant[0]))
		return 1;
	for (ptrdiff_t i = 0; scope && i < arrlen(controller->retention.plans); i++)
		if (retention_parse_scope(controller->retention.plans[i]->scope, planned_lane,
					  planned_tenant) &&
		    (uint32_t)retention_namespace_hash(planned_lane, planned_tenant) == scope)
			return (!planned_lane[0] || !lane[0] || !strcmp(planned_lane, lane)) &&
			       (!planned_tenant[0] || !tenant[0] || !strcmp(planned_tenant, tenant));
	return scope == (uint32_t)retention_namespace_hash(lane, tenant);
}

/* What a clearing still waits for: texts are appended to a, if it is given. */
static int list_missing(const struct controller *controller, const struct Nl__RetentionPurge *purge_run,
			int64_t now, struct json_object *a, apr_pool_t *p)
{
	uint64_t tick = 0;
	int n = 0, index_has_reported = 0;

#define MISS(...)                                                                                       \
	do {                                                                                            \
		n++;                                                                                    \
		if (a)                                                                                  \
			json_object_array_add(a, json_object_new_string(apr_psprintf(p, __VA_ARGS__))); \
	} while (0)
	if (purge_run->slices < PURGE_SLICES)
		MISS("%u of %u slices are not decided yet", PURGE_SLICES - (unsigned)purge_run->slices,
		     (unsigned)PURGE_SLICES);
	for (uint32_t k = 0; k < purge_run->slices; k++) {
		uint64_t published_tick = slice_tick(controller, purge_run, k);

		if (!published_tick)
			MISS("slice %u is not published yet", (unsigned)k);
		tick = published_tick > tick ? published_tick : tick;
	}
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++)
		if (controller->membership.nodes[i].is_router &&
		    now - controller->membership.nodes[i].observed_at_ms < RETENTION_NODE_TIMEOUT_MS &&
		    controller->membership.nodes[i].horizon < tick)
			MISS("counter %s has not heard of it yet; it routes cold",
			     core_format_addr(p, controller->membership.nodes[i].addr));
	for (ptrdiff_t i = 0; i < arrlen(controller->retention.index_reports); i++) {
		const struct retention_index_report *retention_said = &controller->retention.index_reports[i];

		if (now - retention_said->received_at_ms > RETENTION_NODE_TIMEOUT_MS)
			continue;
		index_has_reported |= retention_said->horizon >= tick;
		for (ptrdiff_t k = 0; k < arrlen(retention_said->remainders); k++)
			if (retention_said->remainders[k].purge_number < purge_run->purge_number &&
			    purge_covers(controller, purge_run, retention_said->remainders[k].scope))
				MISS(retention_said->remainders[k].block_count
					 ? "server %s still names %u parts, which nothing finds any more"
					 : "server %s has not said since what it keeps",
				     retention_said->remainders[k].server,
				     (unsigned)retention_said->remainders[k].block_count);
	}
	if (!index_has_reported)
		MISS("no holder of the index has looked since");
#undef MISS
	return n;
}

static int done(struct controller *r, int64_t wall, int64_t now, struct command_list *out)
{
	if (now - r->retention.checked_at_ms < RETENTION_CHECK_MS ||
	    now - r->leadership[SHARD_CONTROL].since_ms < RETENTION_NODE_TIMEOUT_MS)
		return 0; /* a new owner hears all nodes first */
	r->retention.checked_at_ms = now;
	for (ptrdiff_t i = 0; i < arrlen(r->retention.purges); i++) {
		struct Nl__RetentionPurge *purge_run = r->retention.purges[i];
		struct Nl__RetentionStep clear = NL__RETENTION_STEP__INIT;

		if (purge_run->done_at_ms || purge_run->slices < PURGE_SLICES ||
		    list_missing(r, purge_run, now, NULL, out->pool))
			continue;
		clear.step = NL__RETENTION_STEP_KIND__RETENTION_STEP_DONE;
		clear.purge_number = purge_run->purge_number;
		clear.scope = purge_run->scope;
		clear.wall_clock_ms = wall;
		if (step(r, &clear, now, out)) {
			log_line(r, "retention", out->pool,
				 "Clearing %" APR_UINT64_T_FMT
				 " of %s is done: nothing names what was kept before.",
				 purge_run->purge_number, purge_run->scope);
			return 1;
		}
	}
	return 0;
}

void retention_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	int64_t wall_ms;

	if ((!arrlen(controller->retention.plans) && !arrlen(controller->retention.purges)) ||
	    !leads_shard(controller, SHARD_CONTROL, now))
		return;
	if (now - controller->retention.polled_at_ms < RETENTION_POLL_MS ||
	    controller->retention.logged_index > controller->shards[SHARD_CONTROL].log.applied_index)
		return;
	controller->retention.polled_at_ms = now;
	wall_ms = retention_wall_clock(controller, now);
	if (wall_ms != INT64_MIN &&
	    (plan(controller, wall_ms, now, out) || log_next_slice(controller, wall_ms, now, out) ||
	     done(controller, wall_ms, now, out)))
		controller->retention.polled_at_ms =
		    now - RETENTION_POLL_MS; /* the next step as soon as this one is applied */
}

void retention_on_report(struct controller *controller, const struct Nl__Msg *message, int64_t now)
{
	const struct Nl__ConfigSync *sync = message->config_sync;
	struct retention_index_report *report = NULL, new_report = { message->id, 0, 0, NULL };

	for (ptrdiff_t i = arrlen(controller->retention.index_reports) - 1; i >= 0; i--)
		if (now - controller->retention.index_reports[i].received_at_ms > 60000) {
			for (ptrdiff_t k = 0; k < arrlen(controller->retention.index_reports[i].remainders);
			     k++)
				free(controller->retention.index_reports[i].remainders[k].server);
			arrfree(controller->retention.index_reports[i].remainders);
			arrdelswap(controller->retention.index_reports, i);
		}
	if (!sync->holds_index)
		return;
	for (ptrdiff_t i = 0; i < arrlen(controller->retention.index_reports) && !report; i++)
		if (controller->retention.index_reports[i].node_id == message->id)
			report = &controller->retention.index_reports[i];
	if (!report) {
		arrput(controller->retention.index_reports, new_report);
		report = &arrlast(controller->retention.index_reports);
	}
	for (ptrdiff_t k = 0; k < arrlen(report->remainders); k++)
		free(report->remainders[k].server);
	arrsetlen(report->remainders, 0);
	for (size_t k = 0; k < sync->n_cache_remainders && k < RETENTION_MAX_REMAINDERS; k++) {
		typeof(*report->remainders) remainder = { strdup(sync->cache_remainders[k]->server),
							  sync->cache_remainders[k]->scope,
							  sync->cache_remainders[k]->purge_number,
							  sync->cache_remainders[k]->block_count };

		arrput(report->remainders, remainder);
	}
	report->received_at_ms = now;
	report->horizon = sync->horizon;
}

/* ---- the disks --------------------------------------------------------------------- */

void retention_trim_logs(struct controller *controller, int64_t now, struct command_list *out)
{
	uint64_t tick = 0;

	for (ptrdiff_t i = 0; i < arrlen(controller->relay.view.context_purges); i++)
		tick = controller->relay.view.context_purges[i]->tick > tick
			   ? controller->relay.view.context_purges[i]->tick
			   : tick;
	for (uint32_t i = 0; tick && i < SHARD_COUNT; i++) {
		struct controller_service_state *service = service_shard_state(controller, i);
		uint64_t cleared = service              ? service->purged_tick
				   : i == SHARD_CONTROL ? controller->retention.purged_tick
							: controller->purge_state.purged_tick;
		int compact =
		    service && !service->is_compacted && service->purged_tick &&
		    service->clock_ms + (uint64_t)(now - controller->leadership[i].clock_advanced_at_ms) >
			service->purged_at_ms + CONTROLLER_CLAIM_TTL_MS;
		struct Nl__Operation operation = NL__OPERATION__INIT;
		struct Nl__Trim trim = NL__TRIM__INIT;

		if (!leads_shard(controller, i, now) ||
		    now - controller->compaction[i].checked_at_ms < RETENTION_TRIM_MS ||
		    (tick <= cleared && !compact))
			continue;
		controller->compaction[i].checked_at_ms = now;
		trim.purged_tick = tick;
		trim.compacted = compact;
		operation.body_case = NL__OPERATION__BODY_TRIM;
		operation.trim = &trim;
		(void)log_operation(controller, i, &operation, now, out);
	}
}

/* ---- for operators ------------------------------------------------------------------- */

static void add_number(struct json_object *json, const char *name, int64_t value)
{
	json_object_object_add(json, name, json_object_new_int64(value));
}

const char *retention_json(struct controller *controller, int64_t now, apr_pool_t *p)
{
	struct json_object *json = json_object_new_object(), *a = json_object_new_array();
	int is_leader = leads_shard(controller, SHARD_CONTROL, now);
	const char *s;

	json_object_object_add(json, "owner", json_object_new_boolean(is_leader));
	json_object_object_add(
	    json, "owner_addr",
	    json_object_new_string(leader_hint(controller, SHARD_CONTROL, now)
				       ? core_format_addr(p, leader_hint(controller, SHARD_CONTROL, now))
				       : ""));
	add_number(json, "wall",
		   is_leader && retention_wall_clock(controller, now) != INT64_MIN
		       ? retention_wall_clock(controller, now)
		       : controller->clocks.wall_ms);
	for (ptrdiff_t i = 0; i < arrlen(controller->retention.plans); i++) {
		struct json_object *x = json_object_new_object();

		json_object_object_add(x, "scope",
				       json_object_new_string(controller->retention.plans[i]->scope));
		json_object_object_add(x, "setting",
				       json_object_new_string(controller->retention.plans[i]->text));
		add_number(x, "due", controller->retention.plans[i]->due_at_ms);
		json_object_array_add(a, x);
	}
	json_object_object_add(json, "rows", a);
	a = json_object_new_array();
	for (ptrdiff_t i = 0; i < arrlen(controller->retention.purges); i++) {
		const struct Nl__RetentionPurge *purge_run = controller->retention.purges[i];
		struct json_object *x = json_object_new_object(), *m = json_object_new_array();

		add_number(x, "number", (int64_t)purge_run->purge_number);
		json_object_object_add(x, "scope", json_object_new_string(purge_run->scope));
		json_object_object_add(x, "by", json_object_new_string(purge_run->requested_by));
		add_number(x, "due", purge_run->due_at_ms);
		add_number(x, "decided", purge_run->decided_at_ms);
		add_number(x, "sliced", purge_run->sliced_at_ms);
		add_number(x, "done", purge_run->done_at_ms);
		add_number(x, "slices", purge_run->slices);
		add_number(x, "missed", purge_run->missed);
		json_object_object_add(x, "late", json_object_new_boolean(purge_run->late));
		json_object_object_add(x, "wide", json_object_new_boolean(purge_run->wide));
		if (is_leader && !purge_run->done_at_ms)
			(void)list_missing(controller, purge_run, now, m, p);
		json_object_object_add(x, "missing", m);
		json_object_array_add(a, x);
	}
	json_object_object_add(json, "clearings", a);
	s = apr_pstrdup(p, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return s;
}

static const char *when(int64_t ms, apr_pool_t *p)
{
	apr_time_exp_t x;

	if (!ms || apr_time_exp_gmt(&x, ms * 1000) != APR_SUCCESS)
		return "";
	return apr_psprintf(p, "%04d-%02d-%02dT%02d:%02d:%02dZ", x.tm_year + 1900, x.tm_mon + 1, x.tm_mday,
			    x.tm_hour, x.tm_min, x.tm_sec);
}

const char *retention_csv(const struct controller *controller, apr_pool_t *p)
{
	const char *s =
	    "number,scope,whole fleet,by,due,decided,unreachable,done,missed due times,window lapsed under load\n";

	for (ptrdiff_t i = 0; i < arrlen(controller->retention.purges); i++) {
		const struct Nl__RetentionPurge *purge_run = controller->retention.purges[i];

		s = apr_psprintf(p, "%s%" APR_UINT64_T_FMT ",%s,%s,%s,%s,%s,%s,%s,%u,%s\n", s,
				 purge_run->purge_number, purge_run->scope, purge_run->wide ? "yes" : "no",
				 purge_run->requested_by, when(purge_run->due_at_ms, p),
				 when(purge_run->decided_at_ms, p), when(purge_run->sliced_at_ms, p),
				 when(purge_run->done_at_ms, p), (unsigned)purge_run->missed,
				 purge_run->late ? "yes" : "no");
	}
	return s;
}
