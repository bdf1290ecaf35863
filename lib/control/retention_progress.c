#include "retention_progress.h"

#include <apr_strings.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "controller_private.h"

/* ---- reports of the nodes that hold the prefix index ---- */

static struct retention_index_report *find_or_add_report(struct retention *retention, uint64_t node_id)
{
	struct retention_index_report empty = { .node_id = node_id };

	for (ptrdiff_t i = 0; i < arrlen(retention->index_reports); i++)
		if (retention->index_reports[i].node_id == node_id)
			return &retention->index_reports[i];
	arrput(retention->index_reports, empty);
	return &arrlast(retention->index_reports);
}

void retention_on_report(struct controller *controller, const struct Nl__Msg *message, int64_t now)
{
	const struct Nl__ConfigSync *sync = message->config_sync;
	struct retention *retention = &controller->retention;
	struct retention_index_report *report;

	for (ptrdiff_t i = arrlen(retention->index_reports) - 1; i >= 0; i--)
		if (now - retention->index_reports[i].received_at_ms > RETENTION_REPORT_TTL_MS) {
			retention_free_report(&retention->index_reports[i]);
			arrdelswap(retention->index_reports, i);
		}
	if (!sync->holds_index)
		return;
	report = find_or_add_report(retention, message->id);
	retention_clear_remainders(report);
	for (size_t i = 0; i < sync->n_cache_remainders && i < RETENTION_MAX_REMAINDERS; i++) {
		const struct Nl__CacheRemainder *listed = sync->cache_remainders[i];
		struct retention_remainder remainder = { strdup(listed->server), listed->scope,
							 listed->purge_number, listed->block_count };

		arrput(report->remainders, remainder);
	}
	report->received_at_ms = now;
	report->horizon = sync->horizon;
}

/* ---- scope and ticks of a purge ---- */

/* The tick at which a slice of a purge, or of a later purge of the same scope, came into force on this node;
 * 0: not published yet. */
static uint64_t slice_tick(const struct controller *controller, const struct Nl__RetentionPurge *purge,
			   uint32_t slice)
{
	char route[RETENTION_SCOPE_BYTES] = "", tenant[RETENTION_SCOPE_BYTES] = "";

	if (!purge->wide)
		(void)retention_parse_scope(purge->scope, route, tenant);
	for (ptrdiff_t i = 0; i < arrlen(controller->relay.view.context_purges); i++) {
		const struct Nl__Value *value = controller->relay.view.context_purges[i];

		if (value->purge->slice == slice && value->purge->purge_number >= purge->purge_number &&
		    !strcmp(value->purge->route, route) && !strcmp(value->purge->tenant, tenant))
			return value->tick;
	}
	return 0;
}

/* Whether two routes or two tenants of scopes, "" for all, overlap. */
static int scope_names_overlap(const char *a, const char *b)
{
	return !a[0] || !b[0] || !strcmp(a, b);
}

/* Whether the cache namespace of this scope hash may hold blocks that a purge covers. */
static int purge_covers_scope(const struct controller *controller, const struct Nl__RetentionPurge *purge,
			      uint64_t scope)
{
	char route[RETENTION_SCOPE_BYTES] = "", tenant[RETENTION_SCOPE_BYTES] = "";
	char planned_route[RETENTION_SCOPE_BYTES], planned_tenant[RETENTION_SCOPE_BYTES];

	(void)retention_parse_scope(purge->scope, route, tenant);
	if (purge->wide || scope == RETENTION_ANY_SCOPE || (!route[0] && !tenant[0]))
		return 1;
	for (ptrdiff_t i = 0; scope && i < arrlen(controller->retention.plans); i++)
		if (retention_parse_scope(controller->retention.plans[i]->scope, planned_route,
					  planned_tenant) &&
		    (uint32_t)retention_namespace_hash(planned_route, planned_tenant) == scope)
			return scope_names_overlap(planned_route, route) &&
			       scope_names_overlap(planned_tenant, tenant);
	return scope == (uint32_t)retention_namespace_hash(route, tenant);
}

/* ---- conditions that a purge waits for ---- */

/* The conditions that a purge still waits for. */
struct missing_conditions {
	int count;
	struct json_object *texts; /* JSON array of one text per condition, or NULL: only counted */
	apr_pool_t *pool;
};

__attribute__((format(printf, 2, 3))) static void add_missing_condition(struct missing_conditions *missing,
									const char *format, ...)
{
	va_list arguments;

	missing->count++;
	if (!missing->texts)
		return;
	va_start(arguments, format);
	json_object_array_add(missing->texts,
			      json_object_new_string(apr_pvsprintf(missing->pool, format, arguments)));
	va_end(arguments);
}

/* Add the slices that are not decided or not published. Returns the newest tick of the published ones. */
static uint64_t add_missing_slices(const struct controller *controller,
				   const struct Nl__RetentionPurge *purge, struct missing_conditions *missing)
{
	uint64_t newest = 0;

	if (purge->slices < PURGE_SLICES)
		add_missing_condition(missing, "%u of %u slices are not decided yet",
				      PURGE_SLICES - (unsigned)purge->slices, (unsigned)PURGE_SLICES);
	for (uint32_t slice = 0; slice < purge->slices; slice++) {
		uint64_t tick = slice_tick(controller, purge, slice);

		if (!tick)
			add_missing_condition(missing, "slice %u is not published yet", (unsigned)slice);
		if (tick > newest)
			newest = tick;
	}
	return newest;
}

/* Add the routers that still route requests and have not passed the tick. */
static void add_missing_routers(const struct controller *controller, uint64_t tick, int64_t now,
				struct missing_conditions *missing)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->membership.nodes); i++) {
		const struct controller_node_status *node = &controller->membership.nodes[i];

		if (node->is_router && now - node->last_request_at_ms < RETENTION_NODE_TIMEOUT_MS &&
		    node->purge_horizon < tick)
			add_missing_condition(
			    missing,
			    "router %s has not received the purge yet and routes without cached prefixes",
			    core_format_addr(missing->pool, node->addr));
	}
}

/* Add the servers that still hold blocks of an older purge according to the report of one index holder. */
static void add_missing_servers(const struct controller *controller, const struct Nl__RetentionPurge *purge,
				const struct retention_index_report *report,
				struct missing_conditions *missing)
{
	for (ptrdiff_t i = 0; i < arrlen(report->remainders); i++) {
		const struct retention_remainder *remainder = &report->remainders[i];

		if (remainder->purge_number >= purge->purge_number ||
		    !purge_covers_scope(controller, purge, remainder->scope))
			continue;
		if (remainder->block_count)
			add_missing_condition(
			    missing,
			    "server %s still reports %u purged blocks, which no request can use any more",
			    remainder->server, (unsigned)remainder->block_count);
		else
			add_missing_condition(missing,
					      "server %s has not reported its cached blocks since the purge",
					      remainder->server);
	}
}

int retention_list_missing(const struct controller *controller, const struct Nl__RetentionPurge *purge,
			   int64_t now, struct json_object *missing_texts, apr_pool_t *pool)
{
	struct missing_conditions missing = { 0, missing_texts, pool };
	uint64_t tick = add_missing_slices(controller, purge, &missing);
	int any_current_report = 0; /* whether an index holder that has passed the tick has reported */

	add_missing_routers(controller, tick, now, &missing);
	for (ptrdiff_t i = 0; i < arrlen(controller->retention.index_reports); i++) {
		const struct retention_index_report *report = &controller->retention.index_reports[i];

		if (now - report->received_at_ms > RETENTION_NODE_TIMEOUT_MS)
			continue;
		any_current_report |= report->horizon >= tick;
		add_missing_servers(controller, purge, report, &missing);
	}
	if (!any_current_report)
		add_missing_condition(&missing, "no holder of the index has looked since");
	return missing.count;
}
