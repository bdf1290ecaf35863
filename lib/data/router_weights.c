/* router_weights: until when servers with older weights may be sent requests, and what is done about a send that has not begun by
 * then. Newer weights that were named are on every server within a bound (bounds.roll_ms); no request may begin on older ones after
 * it. The date of each naming comes with the configuration, on the control group's clock (lib/control/naming.h).
 * Always: no send leaves, and none is known to begin, on weights past their bound. What breaks this is counted and logged. */
#include "router_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "naming.h"

static uint64_t weights_number(const struct router *c, uint32_t weights) { return strtoull(c->weights.name[weights], NULL, 10); }

int64_t router_weights_end(const struct router *c, uint32_t service, uint32_t weights, int64_t now)
{
	const struct Nl__Row *model = c->route_table->service[service].model;
	const struct Nl__Naming *newer;
	int64_t clock;

	if (!model || weights == c->route_table->service[service].weights || !naming_supersedes(model, weights_number(c, weights)))
		return INT64_MAX;
	newer = naming_after(model, weights_number(c, weights));
	clock = newer ? config_watch_clock(&c->f, newer->term, now) : 0;
	return clock ? (int64_t)newer->at + c->b.roll_ms - clock + now : INT64_MIN; /* not known: the oldest date possible counts */
}

int64_t router_weights_last_send(const struct router *c, uint32_t service, uint32_t weights, int64_t now)
{
	int64_t end = router_weights_end(c, service, weights, now);

	return end == INT64_MAX || end == INT64_MIN ? end : end - ROUTER_ROLL_EARLY;
}

static int64_t recall_at(const struct router *c, const struct client_request *x, int64_t now)
{
	int64_t end = router_weights_end(c, x->service, x->weights, now);

	return end == INT64_MAX || end == INT64_MIN ? INT64_MAX : end - ROUTER_ROLL_RECALL;
}

static int is_number(const char *name) { return *name && strspn(name, "0123456789") == strlen(name); }

/* Within one life a server's weights only rise, and what tells of them may be late. */
void router_weights_learn(struct router *c, uint32_t server, uint32_t weights)
{
	struct router_server *v = &c->sv[server];
	const char *known = c->weights.name[v->weights], *heard = c->weights.name[weights];

	if (v->have && is_number(known) && is_number(heard) && weights_number(c, weights) < weights_number(c, v->weights))
		return;
	v->weights = weights;
}

void router_weights_log_namings(struct router *c, const struct route_table *old, int64_t now)
{
	for (uint32_t i = 0; c->log && i < c->route_table->nservice; i++) {
		const struct Nl__Row *model = c->route_table->service[i].model;
		const struct Nl__Row *before = old && i < old->nservice ? old->service[i].model : NULL;
		const struct Nl__Naming *newest;
		char line[200];

		if (!model || !model->n_naming || (before && !strcmp(before->weights, model->weights)))
			continue;
		newest = model->naming[model->n_naming - 1];
		snprintf(line, sizeof line, "Weights %.30s of %.60s were named %" PRId64 " ms ago; %zu namings have dates.",
			 model->weights, c->services.name[i], config_watch_clock(&c->f, newest->term, now) - (int64_t)newest->at,
			 model->n_naming);
		c->log(c->log_ctx, "weights", line);
	}
}

/* ---- the invariant ---------------------------------------------------------------------------- */

/* All are counted, and one a second is logged. */
static void log_violation(struct router *c, const char *what, const struct client_request *x, int64_t late_ms)
{
	char line[400];

	if (!c->log || (c->violation_logged_at && c->now - c->violation_logged_at < ROUTER_VIOLATION_LOG))
		return;
	c->violation_logged_at = c->now;
	snprintf(line, sizeof line, "A request %s on weights %.60s of %.60s at %.60s, %" PRId64 " ms past their bound.", what,
		 c->weights.name[x->weights], c->services.name[x->service], c->servers.name[x->server], late_ms);
	c->log(c->log_ctx, "invariant", line);
}

void router_weights_check_send(struct router *c, const struct client_request *x, int64_t now)
{
	int64_t end = router_weights_end(c, x->service, x->weights, now);

	if (now <= end)
		return;
	c->n.sent_past_bound++;
	log_violation(c, "is sent", x, end == INT64_MIN ? 0 : now - end);
}

/* Whether this process has stood still since a moment: then what it hears may have happened long before. */
static int paused_since(const struct router *c, int64_t at) { return c->paused_at >= at; }

void router_weights_check_begin(struct router *c, const struct client_request *x, int64_t now)
{
	int64_t end = router_weights_end(c, x->service, x->weights, now);

	if (now - ROUTER_HEARD_LATE <= end || end == INT64_MIN || paused_since(c, end))
		return;
	c->n.begun_past_bound++;
	log_violation(c, "begins", x, now - end);
}

/* ---- taking back ------------------------------------------------------------------------------ */

/* A send that waits at its server for longer than was reckoned must not begin after its weights' bound. It is cancelled in time, and
 * goes to another server if it may. */
void router_weights_recall(struct router *c, int64_t now, struct out *o)
{
	for (ptrdiff_t i = arrlen(c->all) - 1; i >= 0; i--) {
		struct client_request *x = c->all[i];

		if (!x->forwarded || x->state != REQUEST_RUNNING || x->first)
			continue;
		if (now < recall_at(c, x, now))
			continue;
		c->n.recalled++;
		router_take_back(c, x, now, o);
	}
}
