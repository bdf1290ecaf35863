#include "retention_report.h"

#include <apr_strings.h>
#include <apr_time.h>
#include <json-c/json.h>

#include "containers.h"
#include "controller_private.h"
#include "json_add.h"
#include "leadership.h"
#include "retention_progress.h"

static struct json_object *plans_json(const struct retention *retention)
{
	struct json_object *rows = json_object_new_array();

	for (ptrdiff_t i = 0; i < arrlen(retention->plans); i++) {
		const struct Nl__RetentionPlan *plan = retention->plans[i];
		struct json_object *row = json_object_new_object();

		json_add_text(row, "scope", plan->scope);
		json_add_text(row, "setting", plan->text);
		json_add_number(row, "due", plan->due_at_ms);
		json_object_array_add(rows, row);
	}
	return rows;
}

/* A purge as JSON, which takes ownership of the array missing. */
static struct json_object *purge_json(const struct Nl__RetentionPurge *purge, struct json_object *missing)
{
	struct json_object *json = json_object_new_object();

	json_add_number(json, "number", (int64_t)purge->purge_number);
	json_add_text(json, "scope", purge->scope);
	json_add_text(json, "by", purge->requested_by);
	json_add_number(json, "due", purge->due_at_ms);
	json_add_number(json, "decided", purge->decided_at_ms);
	json_add_number(json, "sliced", purge->sliced_at_ms);
	json_add_number(json, "done", purge->done_at_ms);
	json_add_number(json, "slices", purge->slices);
	json_add_number(json, "missed", purge->missed);
	json_add_flag(json, "late", purge->late);
	json_add_flag(json, "wide", purge->wide);
	json_object_object_add(json, "missing", missing);
	return json;
}

/* The wall clock of the majority on the leader; this machine's wall clock on other nodes, or when no majority
 * has reported its clock. */
static int64_t shown_wall_clock(const struct controller *controller, int is_leader, int64_t now)
{
	int64_t agreed = is_leader ? retention_majority_wall_clock_ms(controller, now) : INT64_MIN;

	return agreed != INT64_MIN ? agreed : controller->clocks.wall_ms;
}

const char *retention_report_json(struct controller *controller, int64_t now, apr_pool_t *pool)
{
	struct json_object *json = json_object_new_object();
	struct json_object *purges = json_object_new_array();
	int is_leader = leads_shard(controller, SHARD_CONTROL, now);
	uint64_t leader = leader_hint(controller, SHARD_CONTROL, now);
	const char *text;

	json_add_flag(json, "owner", is_leader);
	json_add_text(json, "owner_addr", leader ? core_format_addr(pool, leader) : "");
	json_add_number(json, "wall", shown_wall_clock(controller, is_leader, now));
	json_object_object_add(json, "rows", plans_json(&controller->retention));
	for (ptrdiff_t i = 0; i < arrlen(controller->retention.purges); i++) {
		const struct Nl__RetentionPurge *purge = controller->retention.purges[i];
		struct json_object *missing = json_object_new_array();

		if (is_leader && !purge->done_at_ms)
			(void)retention_list_missing(controller, purge, now, missing, pool);
		json_object_array_add(purges, purge_json(purge, missing));
	}
	json_object_object_add(json, "clearings", purges);
	text = apr_pstrdup(pool, json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN));
	json_object_put(json);
	return text;
}

/* A time as ISO 8601 in UTC, in the pool; "" for 0. */
static const char *format_time(int64_t ms, apr_pool_t *pool)
{
	apr_time_exp_t time;

	if (!ms || apr_time_exp_gmt(&time, ms * 1000) != APR_SUCCESS)
		return "";
	return apr_psprintf(pool, "%04d-%02d-%02dT%02d:%02d:%02dZ", time.tm_year + 1900, time.tm_mon + 1,
			    time.tm_mday, time.tm_hour, time.tm_min, time.tm_sec);
}

const char *retention_report_csv(const struct controller *controller, apr_pool_t *pool)
{
	const char *text =
	    "number,scope,whole fleet,by,due,decided,unreachable,done,missed due times,window lapsed under load\n";

	for (ptrdiff_t i = 0; i < arrlen(controller->retention.purges); i++) {
		const struct Nl__RetentionPurge *purge = controller->retention.purges[i];

		text = apr_psprintf(
		    pool, "%s%" APR_UINT64_T_FMT ",%s,%s,%s,%s,%s,%s,%s,%u,%s\n", text, purge->purge_number,
		    purge->scope, purge->wide ? "yes" : "no", purge->requested_by,
		    format_time(purge->due_at_ms, pool), format_time(purge->decided_at_ms, pool),
		    format_time(purge->sliced_at_ms, pool), format_time(purge->done_at_ms, pool),
		    (unsigned)purge->missed, purge->late ? "yes" : "no");
	}
	return text;
}
