#include "rollout.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "leadership.h"
#include "controller_private.h"

static struct controller_server *server_of(struct controller *controller, const char *name)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->server_rollout.servers); i++)
		if (!strcmp(controller->server_rollout.servers[i].name, name))
			return &controller->server_rollout.servers[i];
	return NULL;
}

static void call(uint64_t token, const char *addr, const char *path, const char *body, int64_t not_after,
		 struct command_list *out)
{
	struct command *command = command_add(out, CMD_CALL);

	command->args.call.token = token;
	command->args.call.addr = addr;
	command->args.call.path = path;
	command->args.call.body = body;
	command->args.call.limit_ms = 400;
	command->args.call.not_after_ms = not_after;
}

/* An order: body fields, fenced by the part's term. The rollout's lease is checked again before it leaves. */
static void order(struct controller *r, struct controller_server *server, uint32_t part, const char *addr,
		  struct json_object *what, int64_t now, struct command_list *out)
{
	uint64_t fence = r->shards[part].term << 20 | (++r->server_rollout.command_sequence & 0xfffff);

	json_object_object_add(what, "fence", json_object_new_int64((int64_t)fence));
	json_object_object_add(
	    what, "giver",
	    json_object_new_string(apr_psprintf(out->pool, "%016" APR_UINT64_T_HEX_FMT, r->identity.id)));
	call(0, addr, "/v1/order",
	     apr_pstrdup(out->pool, json_object_to_json_string_ext(what, JSON_C_TO_STRING_PLAIN)),
	     r->shards[part].lease.expires_at_ms, out);
	json_object_put(what);
	server->commanded_at_ms = now;
}

void rollout_on_report(struct controller *controller, struct controller_server *server, const char *body,
		       int64_t now, struct command_list *out)
{
	struct json_object *json = json_tokener_parse(body), *parts, *drop;
	const struct Nl__Row *row =
	    config_table_get(&controller->config_watch.table, NL__KIND__SERVER, server->name);
	uint32_t part = core_shard_of(server->service, SHARD_SERVICES);

	if (!json_object_is_type(json, json_type_object) || !row)
		goto end;
	server->reported_at_ms = now;
	apr_cpystrn(server->weights, json_string_member(json, "weights"), sizeof server->weights);
	apr_cpystrn(server->loading, json_string_member(json, "loading"), sizeof server->loading);
	if (!json_object_object_get_ex(json, "parts", &parts) || !json_object_is_type(parts, json_type_array))
		goto end;
	drop = json_object_new_array();
	for (size_t i = 0; i < json_object_array_length(parts); i++) {
		struct json_object *x = json_object_array_get_idx(parts, i);

		if (!purge_view_allows(&controller->relay.view, server->service, json_string_member(x, "w"),
				       json_string_member(x, "m"), server->name, json_uint_member(x, "t")) ||
		    !purge_view_keeps_context(
			&controller->relay.view, server->service, json_string_member(x, "m"),
			strtoull(json_string_member(x, "h"), NULL, 16), json_uint_member(x, "t")))
			json_object_array_add(drop, json_object_get(x));
	}
	if (!json_object_array_length(drop)) {
		server->purged_tick = server->requested_purge_tick; /* the report shows it: carried out up to
								       the horizon at the look */
		json_object_put(drop);
	} else if (leads_shard(controller, part, now) &&
		   now - controller->leadership[part].since_ms >= CONTROLLER_ROLLOUT_HOLD_OFF_MS &&
		   relay_is_current(&controller->relay, now)) {
		struct json_object *command = json_object_new_object();

		json_object_object_add(command, "drop", drop);
		order(controller, server, part, row->addr, command, now, out);
	} else {
		json_object_put(drop);
	}
end:
	if (json)
		json_object_put(json);
}

static void look_at(struct controller *controller, const struct Nl__Row *row, int64_t now,
		    struct command_list *out)
{
	struct controller_server *s = server_of(controller, row->name);

	if (!s) {
		struct controller_server server;

		memset(&server, 0, sizeof server);
		server.name = strdup(row->name);
		server.service = strdup(row->service);
		server.reported_at_ms = now;
		arrput(controller->server_rollout.servers, server);
		s = &arrlast(controller->server_rollout.servers);
	}
	if (now - s->polled_at_ms < CONTROLLER_REPORT_POLL_MS)
		return;
	s->polled_at_ms = now;
	s->call_token = ++controller->identity.last_token;
	s->requested_purge_tick = controller->relay.knowledge.horizon;
	call(s->call_token, apr_pstrdup(out->pool, row->addr), "/v1/report", NULL, now + 400, out);
}

/* Whether every server of a service has had these weights, or it is not known here which ones they all had.
 */
static int is_rolled_out(struct controller *controller, const char *service_name, const char *weights)
{
	struct controller_service_state *shard =
	    service_shard_state(controller, core_shard_of(service_name, SHARD_SERVICES));
	ptrdiff_t i = shgeti(shard->rolled_out, service_name);

	return i < 0 || !strcmp(shard->rolled_out[i].value, weights);
}

/* Followed tables say what is named; not later than the last good asking that did not say so. A naming that
 * overtakes another one leaves that one's servers no more time. */
void rollout_on_target_change(struct controller *controller, int64_t last_unchanged_ms)
{
	for (ptrdiff_t i = 0; i < shlen(controller->config_watch.table.rows); i++) {
		const struct Nl__Row *row = controller->config_watch.table.rows[i].value.row;
		int64_t unrolled_since_ms;
		ptrdiff_t k;

		if (row->kind != NL__KIND__SERVICE)
			continue;
		k = shgeti(controller->server_rollout.targets, row->name);
		if (k >= 0 &&
		    !strcmp(controller->server_rollout.targets[k].value.weights, row->target_weights))
			continue;
		unrolled_since_ms =
		    k >= 0 && !is_rolled_out(controller, row->name,
					     controller->server_rollout.targets[k].value.weights)
			? controller->server_rollout.targets[k].value.incomplete_since_ms
			: last_unchanged_ms;
		if (k >= 0)
			free(controller->server_rollout.targets[k].value.weights);
		shput(controller->server_rollout.targets, row->name,
		      ((typeof(controller->server_rollout.targets->value)){
			  strdup(row->target_weights), last_unchanged_ms, unrolled_since_ms, 0 }));
	}
}

/* How many of n servers may have been told by now: a third at once, the next ones as the loading ends, or
 * when the bound asks for it. A rollout that took over has less time left and need not leave any for another.
 */
static int max_commanded(const struct controller *controller, uint32_t part,
			 typeof(((struct controller_target_weights *)0)->value) *target, int server_count,
			 int64_t now)
{
	int64_t deadline_ms = target->incomplete_since_ms + CONTROLLER_LAST_LOAD_COMMAND_MS;
	int third = (server_count + 2) / 3;

	if (!target->rollout_started_at_ms ||
	    target->rollout_started_at_ms < controller->leadership[part].since_ms)
		target->rollout_started_at_ms = now;
	if (controller->leadership[part].since_ms <= target->incomplete_since_ms)
		deadline_ms -= CONTROLLER_FAILOVER_MS;
	if (now >= deadline_ms || target->rollout_started_at_ms >= deadline_ms)
		return server_count;
	return third * (1 + (int)(2 * (now - target->rollout_started_at_ms) /
				  (deadline_ms - target->rollout_started_at_ms)));
}

/* One service's roll-out: a third of its servers at a time, the rest keep serving. */
/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
static void roll(struct controller *controller, const struct Nl__Row *service, uint32_t part, int64_t now,
		 struct command_list *out)
{
	struct controller_service_state *c = service_shard_state(controller, part);
	typeof(controller->server_rollout.targets->value) *m =
	    &shgetp(controller->server_rollout.targets, service->name)->value;
	int n = 0, loading = 0, on = 0, room, more;
	ptrdiff_t was;

	for (ptrdiff_t i = 0; i < shlen(controller->config_watch.table.rows); i++) {
		const struct Nl__Row *row = controller->config_watch.table.rows[i].value.row;
		struct controller_server *server;

		if (row->kind != NL__KIND__SERVER || strcmp(row->service, service->name) || row->state)
			continue;
		server = server_of(controller, row->name);
		if (!server || now - server->reported_at_ms > 10000)
			continue; /* dead: it loads what is named when it is back */
		n++;
		if (!strcmp(server->weights, service->target_weights) && !server->loading[0])
			on++;
		else
			loading += server->loading[0] || server->load_commanded_at_ms >= m->targeted_at_ms;
	}
	if (on < n) {
		room = (n + 2) / 3 - loading;
		more = max_commanded(controller, part, m, n, now) - on - loading;
		if (room < more)
			room = more;
	} else {
		room = 0;
	}
	for (ptrdiff_t i = 0; i < shlen(controller->config_watch.table.rows) && on < n; i++) {
		const struct Nl__Row *row = controller->config_watch.table.rows[i].value.row;
		struct controller_server *server;
		struct json_object *what;

		if (row->kind != NL__KIND__SERVER || strcmp(row->service, service->name) || row->state)
			continue;
		server = server_of(controller, row->name);
		if (!server || now - server->reported_at_ms > 2 * CONTROLLER_REPORT_POLL_MS ||
		    !strcmp(server->weights, service->target_weights) ||
		    !strcmp(server->loading, service->target_weights) ||
		    now - server->commanded_at_ms < CONTROLLER_REPORT_POLL_MS)
			continue;
		if (server->load_commanded_at_ms >= m->targeted_at_ms &&
		    now - server->load_commanded_at_ms < 2 * CONTROLLER_REPORT_POLL_MS)
			continue; /* told just now */
		/* one whose order was lost, or that loads what has been overtaken, is told in the place it
		 * has */
		if (server->load_commanded_at_ms < m->targeted_at_ms && !server->loading[0] && room-- <= 0)
			continue;
		what = json_object_new_object();
		json_object_object_add(what, "load", json_object_new_string(service->target_weights));
		order(controller, server, part, apr_pstrdup(out->pool, row->addr), what, now, out);
		server->load_commanded_at_ms = now;
		log_line(controller, "order", out->pool, "Server %s is told to load %s.", server->name,
			 service->target_weights);
	}
	was = shgeti(c->rolled_out, service->name);
	if (n && on == n && (was < 0 || strcmp(c->rolled_out[was].value, service->target_weights))) {
		struct Nl__Operation operation = NL__OPERATION__INIT;
		struct Nl__RolledOut rolled = NL__ROLLED_OUT__INIT;

		rolled.service = service->name;
		rolled.weights = service->target_weights;
		operation.body_case = NL__OPERATION__BODY_ROLLED_OUT;
		operation.rolled_out = &rolled;
		if (arrlen(controller->shards[part].disk.pending_syncs) ==
		    0) /* nothing of ours is still on its way */
			log_operation(controller, part, &operation, now, out);
	}
}

void rollout_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	for (uint32_t part = SHARD_SERVICE; part < SHARD_COUNT; part++) {
		if (!leads_shard(controller, part, now) ||
		    config_watch_age_ms(&controller->config_watch, now) > CONFIG_WATCH_ADMIT_STALENESS_MS)
			continue;
		for (ptrdiff_t i = 0; i < shlen(controller->config_watch.table.rows); i++) {
			const struct Nl__Row *row = controller->config_watch.table.rows[i].value.row;

			if (row->kind == NL__KIND__SERVER &&
			    core_shard_of(row->service, SHARD_SERVICES) == part)
				look_at(controller, row, now, out);
		}
		if (now - controller->leadership[part].since_ms < CONTROLLER_ROLLOUT_HOLD_OFF_MS)
			continue; /* the last rollout's orders must have had time to end */
		for (ptrdiff_t i = 0; i < shlen(controller->config_watch.table.rows); i++) {
			const struct Nl__Row *row = controller->config_watch.table.rows[i].value.row;

			if (row->kind == NL__KIND__SERVICE &&
			    core_shard_of(row->name, SHARD_SERVICES) == part)
				roll(controller, row, part, now, out);
		}
	}
}
