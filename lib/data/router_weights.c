/* router_weights: the time until which servers with older weights may be sent requests, and the handling of
 * attempts that have not begun by then. New target weights are on every server within the rollout bound
 * (bounds.rollout_ms); no request may begin on older weights after it. The date of each target version comes
 * with the configuration, on the control group's clock (lib/control/version_history.h). Invariant: no request
 * is sent, and none is observed to begin, on weights past their bound. Violations are counted and logged. */
#include "router_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "version_history.h"

enum { MAX_WEIGHTS_NAME_BYTES = 128 }; /* longest name of weights in a report, in bytes */

static uint64_t weights_version(const struct router *router, uint32_t weights)
{
	return strtoull(router->names.weights.names[weights], NULL, 10);
}

int64_t router_weights_begin_deadline_ms(const struct router *router, uint32_t service_index,
					 uint32_t weights, int64_t now)
{
	const struct service_config *service = &router->config.route_table->services[service_index];
	const struct Nl__Row *model = service->model_row;
	const struct Nl__TargetVersion *newer;
	int64_t clock_ms;

	if (!model || weights == service->target_weights_index ||
	    !version_history_supersedes(model, weights_version(router, weights)))
		return INT64_MAX;
	newer = version_history_first_newer(model, weights_version(router, weights));
	clock_ms = newer ? config_watch_group_clock_ms(&router->config.watch, newer->term, now) : 0;
	if (!clock_ms)
		return INT64_MIN; /* the date is unknown: the oldest possible one applies */
	return (int64_t)newer->targeted_at_ms + router->config.bounds.rollout_ms - clock_ms + now;
}

int64_t router_weights_send_deadline_ms(const struct router *router, uint32_t service_index, uint32_t weights,
					int64_t now)
{
	int64_t bound_ms = router_weights_begin_deadline_ms(router, service_index, weights, now);

	return bound_ms == INT64_MAX || bound_ms == INT64_MIN ? bound_ms
							      : bound_ms - ROUTER_ROLLOUT_SEND_MARGIN_MS;
}

static int64_t recall_at_ms(const struct router *router, const struct client_request *request, int64_t now)
{
	int64_t bound_ms = router_weights_begin_deadline_ms(router, request->route.service_index,
							    request->attempt.weights_index, now);

	return bound_ms == INT64_MAX || bound_ms == INT64_MIN ? INT64_MAX
							      : bound_ms - ROUTER_ROLLOUT_RECALL_MARGIN_MS;
}

/* ---- weights of servers ---------------------------------------------------------------------- */

static bool is_decimal_number(const char *name)
{
	return *name && strspn(name, "0123456789") == strlen(name);
}

/* Within one incarnation a server's weight versions only rise, and reports of them may arrive late: a lower
 * version is ignored. */
void router_weights_record(struct router *router, uint32_t server_index, uint32_t weights)
{
	struct router_server_state *server = &router->servers.states[server_index];
	const char *recorded_name = router->names.weights.names[server->weights_index],
		   *reported_name = router->names.weights.names[weights];

	if (server->is_described && is_decimal_number(recorded_name) && is_decimal_number(reported_name) &&
	    weights_version(router, weights) < weights_version(router, server->weights_index))
		return;
	server->weights_index = weights;
}

/* Adds names that are not in the configuration, since a server may still have weights from before this router
 * started. Names from reports are bounded in number and length. */
int router_weights_find_or_add(struct router *router, const char *name)
{
	int index = names_find(&router->names.weights, name);

	if (index >= 0 || strlen(name) > MAX_WEIGHTS_NAME_BYTES ||
	    arrlen(router->names.weights.names) >= ROUTER_MAX_WEIGHTS_NAMES)
		return index;
	return (int)names_find_or_add(&router->names.weights, name);
}

void router_weights_log_targets(struct router *router, const struct route_table *old_routes, int64_t now)
{
	for (uint32_t i = 0; router->log && i < router->config.route_table->service_count; i++) {
		const struct Nl__Row *model = router->config.route_table->services[i].model_row;
		const struct Nl__Row *old_model =
		    old_routes && i < old_routes->service_count ? old_routes->services[i].model_row : NULL;
		const struct Nl__TargetVersion *newest;
		int64_t age_ms;
		char text[200];

		if (!model || !model->n_target_versions ||
		    (old_model && !strcmp(old_model->target_weights, model->target_weights)))
			continue;
		newest = model->target_versions[model->n_target_versions - 1];
		age_ms = config_watch_group_clock_ms(&router->config.watch, newest->term, now) -
			 (int64_t)newest->targeted_at_ms;
		snprintf(text, sizeof text,
			 "Target weights %.30s of service %.60s: target set %" PRId64
			 " ms ago, %zu dated versions.",
			 model->target_weights, router->names.services.names[i], age_ms,
			 model->n_target_versions);
		router->log(router->log_context, "weights", text);
	}
}

/* ---- invariant ------------------------------------------------------------------------------- */

/* Logs a violation, at most once every ROUTER_VIOLATION_LOG_INTERVAL_MS. The caller counts each one. */
static void log_violation(struct router *router, const char *event, const struct client_request *request,
			  int64_t late_ms)
{
	int64_t *logged_at_ms = &router->records.violation_logged_at_ms;
	char text[400];

	if (!router->log ||
	    (*logged_at_ms && router->clock.now_ms - *logged_at_ms < ROUTER_VIOLATION_LOG_INTERVAL_MS))
		return;
	*logged_at_ms = router->clock.now_ms;
	snprintf(
	    text, sizeof text,
	    "A request %s past the bound of its weights: weights %.60s, service %.60s, server %.60s, %" PRId64
	    " ms late.",
	    event, router->names.weights.names[request->attempt.weights_index],
	    router->names.services.names[request->route.service_index],
	    router->names.servers.names[request->attempt.server_index], late_ms);
	router->log(router->log_context, "invariant", text);
}

void router_weights_check_send(struct router *router, const struct client_request *request, int64_t now)
{
	int64_t bound_ms = router_weights_begin_deadline_ms(router, request->route.service_index,
							    request->attempt.weights_index, now);

	if (now <= bound_ms)
		return;
	router->stats.sent_past_bound++;
	log_violation(router, "is sent", request, bound_ms == INT64_MIN ? 0 : now - bound_ms);
}

/* Whether this process was paused (not scheduled) at some time since time_ms: then an event that it sees now
 * may have happened long before. */
static bool was_paused_since(const struct router *router, int64_t time_ms)
{
	return router->clock.resumed_at_ms >= time_ms;
}

void router_weights_check_begin(struct router *router, const struct client_request *request, int64_t now)
{
	int64_t bound_ms = router_weights_begin_deadline_ms(router, request->route.service_index,
							    request->attempt.weights_index, now);

	if (now - ROUTER_BEGIN_NOTICE_MAX_DELAY_MS <= bound_ms || bound_ms == INT64_MIN ||
	    was_paused_since(router, bound_ms))
		return;
	router->stats.begun_past_bound++;
	log_violation(router, "begins", request, now - bound_ms);
}

/* An attempt that waits at its server for longer than expected must not begin after the bound of its weights.
 * It is cancelled before that, and the request is sent to another server if that is allowed. */
void router_weights_recall(struct router *router, int64_t now, struct command_list *out)
{
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--) {
		struct client_request *request = router->requests.all[i];

		if (!request->is_forwarded || request->state != REQUEST_RUNNING ||
		    request->attempt.first_chunk_at_ms)
			continue;
		if (now < recall_at_ms(router, request, now))
			continue;
		router->stats.attempts_recalled++;
		router_recall_attempt(router, request, now, out);
	}
}
