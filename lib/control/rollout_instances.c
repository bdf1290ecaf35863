/* rollout_instances: named weights are rolled out to the servers of the platform's list. Every order is
 * logged before it leaves, so that a leader that takes over knows which servers may have had one lately. */
#include "rollout.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "leadership.h"
#include "mechanism.h"
#include "controller_private.h"
#include "rollout_pace.h"

void rollout_open(struct rollout *rollout, int64_t now)
{
	memset(rollout, 0, sizeof *rollout);
	sh_new_strdup(rollout->models);
	sh_new_strdup(rollout->intents);
	rollout->unknown_until_ms = now;
}

static void server_free(struct rollout_server *server)
{
	free(server->name);
	free(server->target_weights);
}

void rollout_close(struct rollout *rollout)
{
	for (ptrdiff_t i = 0; i < arrlen(rollout->servers); i++)
		server_free(&rollout->servers[i]);
	arrfree(rollout->servers);
	shfree(rollout->models);
	shfree(rollout->intents);
}

static struct rollout_server *server_find(const struct rollout *rollout, const char *name)
{
	for (ptrdiff_t i = 0; i < arrlen(rollout->servers); i++)
		if (!strcmp(rollout->servers[i].name, name))
			return &rollout->servers[i];
	return NULL;
}

static struct rollout_server *server_get(struct rollout *rollout, const char *name)
{
	struct rollout_server server, *s = server_find(rollout, name);

	if (s)
		return s;
	memset(&server, 0, sizeof server);
	server.name = strdup(name);
	server.target_weights = strdup("");
	arrput(rollout->servers, server);
	return &arrlast(rollout->servers);
}

void rollout_start_term(struct controller *controller, int64_t now)
{
	struct rollout *rollout = &controller->rollout;
	uint64_t term = controller->shards[SHARD_CONTROL].term;

	/* no other gave orders between if the terms follow each other */
	rollout->takeover_wait_ms = rollout->term && term == rollout->term + 1
					? 0
					: controller->bounds.lease_ms + ROLLOUT_LEASE_SLACK_MS;
	rollout->term_started_at_ms = now;
	rollout->term = term;
	rollout->command_seq = 0;
	rollout->is_fenced = 0;
	for (ptrdiff_t i = 0; i < arrlen(rollout->servers); i++)
		server_free(&rollout->servers[i]);
	arrsetlen(rollout->servers, 0);
	instances_start_term(&controller->instances, &controller->config_watch.instances, term, now);
	for (ptrdiff_t i = 0; i < shlen(controller->instances.rows); i++)
		if (controller->instances.rows[i].value.instance->loading)
			server_get(rollout, controller->instances.rows[i].key)->state = ROLLOUT_UNCONFIRMED;
}

/* What is learnt of each model's loads has a place from its first naming on. */
static void add_models(struct controller *controller)
{
	for (ptrdiff_t i = 0; i < shlen(controller->config.table.rows); i++) {
		const struct Nl__Row *row = controller->config.table.rows[i].value.row;
		struct rollout_pace empty = { 0, 0, 0, 0, 0, 0, 0, 0 };

		if (row->kind == NL__KIND__MODEL && shgeti(controller->rollout.models, row->name) < 0)
			shput(controller->rollout.models, row->name, empty);
	}
}

static int is_digits(const char *text)
{
	return *text && strspn(text, "0123456789") == strlen(text);
}

/* Whether a server has what is named, or newer: a new one may, before its naming has come here. */
static int has_weights_or_newer(const char *weights, const char *target_weights)
{
	if (!strcmp(weights, target_weights))
		return 1;
	if (!is_digits(weights) || !is_digits(target_weights))
		return 0;
	return strlen(weights) != strlen(target_weights) ? strlen(weights) > strlen(target_weights)
							 : strcmp(weights, target_weights) > 0;
}

static const char *instance_model(const struct controller *controller, const struct Nl__Instance *instance)
{
	const struct Nl__Row *service =
	    instance->state == INSTANCE_SERVING
		? config_table_get(&controller->config.table, NL__KIND__SERVICE, instance->service)
		: NULL;

	return service && service->model[0] ? service->model : NULL;
}

/* From when on a server may be ordered: a rollout before may have told it at the latest then. Every order is
 * meant in the log first, so whoever takes over knows which servers may have had one lately, and the others
 * need not wait. */
static int64_t commands_allowed_from(const struct rollout *rollout, const char *name)
{
	struct rollout_intent_logged *intents = rollout->intents;
	ptrdiff_t i = shgeti(intents, name);
	int64_t unknown_until_ms = i >= 0 && intents[i].value > rollout->unknown_until_ms
				       ? intents[i].value
				       : rollout->unknown_until_ms;

	return unknown_until_ms > rollout->term_started_at_ms
		   ? 0
		   : unknown_until_ms + ROLLOUT_INTENT_MS + rollout->takeover_wait_ms;
}

/* Tell routers whether to count on a server, whose weights stay what they are. */
static void publish_loading(struct controller *controller, const struct rollout_server *server, int loading,
			    int64_t now)
{
	const struct Nl__Instance *instance = instances_get(&controller->instances, server->name);
	char *weights = instance ? strdup(instance->weights) : NULL;

	if (weights)
		instances_set_weights(&controller->instances, server->name, weights, loading, now);
	free(weights);
}

static void set_target(struct rollout_server *server, const char *weights)
{
	free(server->target_weights);
	server->target_weights = strdup(weights);
}

static void log_intent(struct controller *controller, struct rollout_server *server, const char *model,
		       const char *weights, int64_t now, struct command_list *out)
{
	struct Nl__Operation operation = NL__OPERATION__INIT;
	struct Nl__RolledOut rolled = NL__ROLLED_OUT__INIT;

	rolled.service = (char *)model;
	rolled.weights = (char *)weights;
	rolled.server = server->name;
	rolled.fence = controller->rollout.term << 20 | (controller->rollout.command_seq & 0xfffff);
	operation.body_case = NL__OPERATION__BODY_ROLLED_OUT;
	operation.rolled_out = &rolled;
	if (!log_operation(controller, SHARD_CONTROL, &operation, now, out))
		return;
	server->state = ROLLOUT_INTENDED;
	server->commanded_at_ms = now;
	server->max_concurrent_loads = 1;
	set_target(server, weights);
	publish_loading(controller, server, 1, now); /* routers hear of it while the log is written */
}

/* Routers send it nothing more from now on, where there is time for that; then the order is logged and
 * leaves. A leader that is lost meanwhile leaves nothing behind: its successor tells routers what it sees
 * itself. */
static void give_notice(struct controller *controller, struct rollout_server *server,
			const struct Nl__Row *model, const struct Nl__Instance *instance, int64_t now,
			struct command_list *out)
{
	if (!rollout_notice_ms(controller, model->name,
			       rollout_due_at_ms(controller, model, instance->weights), now)) {
		log_intent(controller, server, model->name, model->target_weights, now, out);
		return;
	}
	server->state = ROLLOUT_NOTICE;
	server->commanded_at_ms = now;
	server->max_concurrent_loads = 1;
	publish_loading(controller, server, 1, now);
}

void rollout_intent_logged(struct controller *controller, const char *server, int64_t now)
{
	for (ptrdiff_t i = shlen(controller->rollout.intents) - 1; i >= 0; i--)
		if (now - controller->rollout.intents[i].value > 60000)
			(void)shdel(controller->rollout.intents, controller->rollout.intents[i].key);
	shput(controller->rollout.intents, server, now);
}

/* What was named while the log was written is loaded at once. What runs at the server goes on under the new
 * weights: to wait for its end would keep the server from all others for as long as its longest answer takes.
 */
static void send_load_command(struct controller *controller, struct rollout_server *server,
			      const struct Nl__Instance *instance, const char *model,
			      const char *target_weights, int64_t intended_at_ms, int64_t now,
			      struct command_list *out)
{
	int64_t not_after_ms =
	    controller->shards[SHARD_CONTROL].lease.expires_at_ms - ROLLOUT_LEASE_MARGIN_MS;
	struct command *command;

	if (not_after_ms > intended_at_ms + ROLLOUT_INTENT_MS)
		not_after_ms = intended_at_ms + ROLLOUT_INTENT_MS;
	if (now >= not_after_ms || controller->rollout.is_fenced) {
		server->state = ROLLOUT_IDLE;
		publish_loading(controller, server, 0, now);
		return;
	}
	set_target(server, target_weights);
	server->state = ROLLOUT_COMMANDED;
	server->command_token = ++controller->identity.last_token;
	server->commanded_at_ms = now;
	command = command_add(out, CMD_LOAD_WEIGHTS);
	command->args.load_weights.token = server->command_token;
	command->args.load_weights.addr = core_parse_addr(instance->addr);
	command->args.load_weights.fencing_token =
	    controller->rollout.term << 20 | (++controller->rollout.command_seq & 0xfffff);
	command->args.load_weights.server = apr_pstrdup(out->pool, instance->server);
	command->args.load_weights.model = apr_pstrdup(out->pool, model);
	command->args.load_weights.weights = apr_pstrdup(out->pool, server->target_weights);
	command->args.load_weights.lease_holder =
	    apr_psprintf(out->pool, "%016" APR_UINT64_T_HEX_FMT, controller->identity.id);
	command->args.load_weights.not_after_ms = not_after_ms;
	command->args.load_weights.during_requests =
	    mechanism_on(controller->bounds.disabled_mechanisms, MECHANISM_RETAIN);
	log_line(controller, "order", out->pool, "Server %s, on %s, is told to load %s of %s.",
		 instance->server, instance->weights, server->target_weights, model);
	instances_set_weights(&controller->instances, server->name, instance->weights, 1,
			      now); /* x may be another copy after this */
}

static void look(struct controller *r, struct rollout_server *server, const struct Nl__Instance *x,
		 const char *model, int64_t now, struct command_list *out)
{
	ptrdiff_t k = shgeti(r->rollout.models, model);
	int load = k < 0 ? 0 : r->rollout.models[k].value.base_load_ms;
	struct command *c;

	if (now - server->polled_at_ms < ROLLOUT_POLL_MS || now - server->commanded_at_ms < load * 4 / 5 ||
	    (server->poll_token && now - server->polled_at_ms < ROLLOUT_REPLY_TIMEOUT_MS))
		return;
	server->poll_token = ++r->identity.last_token;
	server->polled_at_ms = now;
	c = command_add(out, CMD_POLL_REPORT);
	c->args.poll_report.token = server->poll_token;
	c->args.poll_report.addr = core_parse_addr(x->addr);
	c->args.poll_report.server = apr_pstrdup(out->pool, x->server);
	c->args.poll_report.model = apr_pstrdup(out->pool, model);
	c->args.poll_report.not_after_ms = now + ROLLOUT_REPLY_TIMEOUT_MS;
}

/* One that was told, or may have been: what is known of it since. */
static void follow_up(struct controller *controller, struct rollout_server *server,
		      const struct Nl__Instance *instance, const struct Nl__Row *model, int64_t now,
		      struct command_list *out)
{
	if (server->state == ROLLOUT_NOTICE) {
		if (now - server->commanded_at_ms >=
		    rollout_notice_ms(controller, model->name,
				      rollout_due_at_ms(controller, model, instance->weights), now))
			log_intent(controller, server, model->name, model->target_weights, now, out);
		return;
	}
	if (server->state == ROLLOUT_INTENDED) {
		ptrdiff_t k = shgeti(controller->rollout.intents, server->name);

		if (k >= 0 && controller->rollout.intents[k].value >= server->commanded_at_ms) {
			send_load_command(controller, server, instance, model->name, model->target_weights,
					  controller->rollout.intents[k].value, now, out);
		} else if (now - server->commanded_at_ms > ROLLOUT_INTENT_MS) {
			server->state = ROLLOUT_IDLE; /* the log stands still */
			publish_loading(controller, server, 0, now);
		}
		return;
	}
	if (server->state == ROLLOUT_COMMANDED && now - server->commanded_at_ms >= ROLLOUT_REPLY_TIMEOUT_MS)
		server->state = ROLLOUT_UNCONFIRMED;
	if (server->state == ROLLOUT_LOADING || server->state == ROLLOUT_UNCONFIRMED) {
		if (has_weights_or_newer(instance->weights, model->target_weights)) { /* the list says so */
			server->state = ROLLOUT_IDLE;
			instances_set_weights(&controller->instances, server->name, instance->weights, 0,
					      now);
		} else if (now >= server->commanded_at_ms + ROLLOUT_POLL_MS) {
			look(controller, server, instance, model->name, now, out);
		}
	}
}

static int compare_due_times(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

struct zone {
	const char *zone;
	int n, out;
};

static struct zone *zone_of(struct zone **z, const char *name, apr_pool_t *pool)
{
	struct zone n = { name, 0, 0 };

	for (ptrdiff_t i = 0; i < arrlen(*z); i++)
		if (!strcmp((*z)[i].zone, name))
			return &(*z)[i];
	n.zone = apr_pstrdup(pool, name);
	arrput(*z, n);
	return &arrlast(*z);
}

static void log_rolled_out(struct controller *controller, struct rollout_pace *pace,
			   const struct Nl__Row *model, int64_t now, struct command_list *out)
{
	const struct raft *raft = &controller->shards[SHARD_CONTROL];
	struct Nl__Row row = *model, *set[1] = { &row };
	struct Nl__Operation operation = NL__OPERATION__INIT;
	struct Nl__Change change = NL__CHANGE__INIT;

	/* nothing stands in the log behind the row as it is here, which would be undone; nor is this on its
	 * way already */
	if (raft->log.applied_index != raft->log.base_index + (uint64_t)arrlen(raft->log.entries) ||
	    now - pace->completion_logged_at_ms < 1000)
		return;
	row.rolled_out = model->target_weights;
	change.any_revision = 1;
	change.set = set;
	change.n_set = 1;
	operation.body_case = NL__OPERATION__BODY_CHANGE;
	operation.change = &change;
	if (log_operation(controller, SHARD_CONTROL, &operation, now, out)) {
		pace->completion_logged_at_ms = now;
		log_line(controller, "order", out->pool, "Every server has %s of %s.", model->target_weights,
			 model->name);
	}
}

/* Whether a server may be told now: nothing is under way there, and nobody else may have told it lately. */
static int may_be_commanded(const struct controller *controller, const struct Nl__Instance *instance,
			    int64_t now)
{
	const struct rollout_server *server = server_find(&controller->rollout, instance->server);

	return !(server && (server->state != ROLLOUT_IDLE || now < server->retry_at_ms)) &&
	       now >= commands_allowed_from(&controller->rollout, instance->server);
}

/* The server to be told next: of those that are due soonest one in the zone that has the smallest share of
 * its servers out. */
static const struct Nl__Instance *next_to_command(struct controller *controller, const struct Nl__Row *model,
						  struct zone **zones, int64_t now, apr_pool_t *pool)
{
	const struct Nl__Instance *best = NULL;
	int64_t best_due = INT64_MAX;
	struct zone best_zone = { 0 };

	for (ptrdiff_t i = 0; i < shlen(controller->instances.rows); i++) {
		const struct Nl__Instance *instance = controller->instances.rows[i].value.instance;
		const char *name = instance_model(controller, instance);
		struct zone zone;
		int64_t due;

		if (!name || strcmp(name, model->name) ||
		    has_weights_or_newer(instance->weights, model->target_weights))
			continue;
		due = rollout_due_at_ms(controller, model, instance->weights);
		zone = *zone_of(zones, instance->zone, pool);
		if (best &&
		    (due > best_due || (due == best_due && zone.out * best_zone.n >= best_zone.out * zone.n)))
			continue;
		if (!may_be_commanded(controller, instance, now))
			continue;
		best = instance;
		best_due = due;
		best_zone = zone;
	}
	return best;
}

/* When a server was ordered, at the latest: one that a leader before ordered loads since before this
 * leadership. */
static int64_t commanded_since(const struct controller *controller, const struct rollout_server *server)
{
	return server->commanded_at_ms ? server->commanded_at_ms : controller->rollout.term_started_at_ms;
}

/* A server that does not come to an end, or has refused, holds no place of others. */
static int holds_slot(const struct controller *controller, const struct rollout_server *server, int64_t now)
{
	int is_rejected = server && server->state == ROLLOUT_UNCONFIRMED && now < server->retry_at_ms;

	return server && server->state != ROLLOUT_IDLE && !is_rejected &&
	       now - commanded_since(controller, server) <
		   controller->bounds.rollout_ms / ROLLOUT_STALL_DIVISOR;
}

static int may_be_loading(const struct rollout_server *server)
{
	return server && (server->state == ROLLOUT_LOADING || server->state == ROLLOUT_UNCONFIRMED);
}

/* A model's servers as a roll-out finds them. busy: those that hold a place among the ones that load at once;
 * loading: of those, the ones that are known to load, or may: one that is yet to answer its order may refuse
 * it. */
struct servers_found {
	int total, updated, busy, loading;
	struct zone *zones; /* stb_ds */
	int64_t *due_at_ms; /* stb_ds: of those that may be ordered now, soonest first */
};

static struct servers_found find_servers(struct controller *controller, const struct Nl__Row *model,
					 int64_t now, struct command_list *o)
{
	struct servers_found found = { 0 };

	for (ptrdiff_t i = 0; i < shlen(controller->instances.rows); i++) {
		const struct Nl__Instance *instance = controller->instances.rows[i].value.instance;
		const char *name = instance_model(controller, instance);
		struct rollout_server *server;
		int is_unavailable;

		if (!name || strcmp(name, model->name))
			continue;
		server = server_find(&controller->rollout, instance->server);
		if (server)
			follow_up(controller, server, instance, model, now, o);
		instance = controller->instances.rows[i].value.instance;
		is_unavailable = server && server->state != ROLLOUT_IDLE;
		found.total++;
		found.busy += holds_slot(controller, server, now);
		found.loading += may_be_loading(server) && holds_slot(controller, server, now);
		if (!is_unavailable && has_weights_or_newer(instance->weights, model->target_weights))
			found.updated++;
		else if (may_be_commanded(controller, instance, now))
			arrput(found.due_at_ms, rollout_due_at_ms(controller, model, instance->weights));
		zone_of(&found.zones, instance->zone, o->pool)->n++;
		zone_of(&found.zones, instance->zone, o->pool)->out += is_unavailable;
	}
	if (found.due_at_ms)
		qsort(found.due_at_ms, (size_t)arrlen(found.due_at_ms), sizeof *found.due_at_ms,
		      compare_due_times);
	return found;
}

/* Tell as many servers as there is room for. */
static void command_servers(struct controller *controller, const struct Nl__Row *model,
			    struct servers_found *found, int64_t now, struct command_list *out)
{
	struct rollout_pace *pace = &shgetp(controller->rollout.models, model->name)->value;
	int capacity =
	    rollout_concurrency(controller, pace, found->total, found->due_at_ms, found->busy, now) -
	    found->busy;

	if (controller->rollout.is_fenced ||
	    now >= controller->shards[SHARD_CONTROL].lease.expires_at_ms - ROLLOUT_LEASE_MARGIN_MS)
		return;
	while (capacity-- > 0) {
		const struct Nl__Instance *next =
		    next_to_command(controller, model, &found->zones, now, out->pool);

		if (!next)
			break;
		zone_of(&found->zones, next->zone, out->pool)->out++;
		give_notice(controller, server_get(&controller->rollout, next->server), model, next, now,
			    out);
		found->busy++;
	}
}

/* 1 when nothing is left to do. */
static int roll_out_model(struct controller *controller, const struct Nl__Row *model, int64_t now,
			  struct command_list *out)
{
	struct servers_found found = find_servers(controller, model, now, out);
	int complete = found.updated == found.total;

	if (found.total && complete && strcmp(model->rolled_out, model->target_weights))
		log_rolled_out(controller, &shgetp(controller->rollout.models, model->name)->value, model,
			       now, out);
	if (!complete)
		command_servers(controller, model, &found, now, out);
	for (ptrdiff_t i = 0; i < arrlen(controller->rollout.servers); i++) {
		struct rollout_server *server = &controller->rollout.servers[i];

		if (may_be_loading(server) && server->max_concurrent_loads < found.loading)
			server->max_concurrent_loads = found.loading;
	}
	arrfree(found.zones);
	arrfree(found.due_at_ms);
	return !found.total || (complete && !strcmp(model->rolled_out, model->target_weights));
}

void rollout_instances_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	int poll_fast = 0, all_done = 1;

	if (!controller->bounds.discover_instances)
		return;
	add_models(controller);
	if (!leads_shard(controller, SHARD_CONTROL, now))
		return;
	for (ptrdiff_t i = arrlen(controller->rollout.servers) - 1; i >= 0;
	     i--) { /* those of servers that have left */
		const struct Nl__Instance *instance =
		    instances_get(&controller->instances, controller->rollout.servers[i].name);

		if (instance && instance->state == INSTANCE_SERVING) {
			poll_fast |= controller->rollout.servers[i].state != ROLLOUT_IDLE;
			continue;
		}
		server_free(&controller->rollout.servers[i]);
		arrdelswap(controller->rollout.servers, i);
	}
	instances_tick(&controller->instances, poll_fast, controller->bounds.list_calls_millihertz,
		       ++controller->identity.last_token, now, out);
	if (!controller->instances.is_publishable ||
	    (controller->rollout.done_stamp == controller->instances.stamp &&
	     controller->rollout.done_revision == controller->config.table.revision))
		return;
	for (ptrdiff_t i = 0; i < shlen(controller->config.table.rows); i++)
		if (controller->config.table.rows[i].value.row->kind == NL__KIND__MODEL)
			all_done &=
			    roll_out_model(controller, controller->config.table.rows[i].value.row, now, out);
	if (all_done) { /* until something is seen or named */
		controller->rollout.done_stamp = controller->instances.stamp;
		controller->rollout.done_revision = controller->config.table.revision;
	}
}

void rollout_on_command_reply(struct controller *controller, uint64_t token, int status, int never_sent,
			      int64_t now, struct command_list *out)
{
	struct rollout_server *server = NULL;
	const struct Nl__Instance *instance;

	for (ptrdiff_t i = 0; i < arrlen(controller->rollout.servers) && token; i++)
		if (controller->rollout.servers[i].command_token == token)
			server = &controller->rollout.servers[i];
	instance = server ? instances_get(&controller->instances, server->name) : NULL;
	if (!instance)
		return;
	server->command_token = 0;
	switch (status) {
	case 200:
		server->state = ROLLOUT_IDLE;
		instances_set_weights(&controller->instances, server->name, server->target_weights, 0, now);
		break;
	case 202:
		server->state = ROLLOUT_LOADING;
		break;
	case 412:
		if (!controller->rollout.is_fenced)
			log_line(controller, "order", out->pool,
				 "Server %s has seen a higher fence; no orders until the next term.",
				 server->name);
		controller->rollout.is_fenced = 1;
		server->state = ROLLOUT_UNCONFIRMED;
		break;
	case 421:
		instances_mark_ended(&controller->instances, server->name, now);
		break;
	case 409:
		server->state = ROLLOUT_UNCONFIRMED;
		break; /* it loads what it was told before: told again when a look says it is done */
	default:
		if (never_sent) {
			server->state = ROLLOUT_IDLE;
			server->retry_at_ms = now + 100;
			instances_set_weights(&controller->instances, server->name, instance->weights, 0,
					      now);
		} else {
			server->state = ROLLOUT_UNCONFIRMED;
			server->retry_at_ms = now + (status ? ROLLOUT_REJECTED_BACKOFF_MS : 0);
			if (status)
				log_line(controller, "order", out->pool, "Step order: server %s answers %d.",
					 server->name, status);
		}
	}
}

void rollout_on_poll_reply(struct controller *controller, uint64_t token, int status, const char *weights,
			   int loading, int64_t now)
{
	struct rollout_server *server = NULL;
	const struct Nl__Instance *instance;
	const char *model;
	ptrdiff_t k;

	for (ptrdiff_t i = 0; i < arrlen(controller->rollout.servers) && token; i++)
		if (controller->rollout.servers[i].poll_token == token)
			server = &controller->rollout.servers[i];
	instance = server ? instances_get(&controller->instances, server->name) : NULL;
	model = instance ? instance_model(controller, instance) : NULL;
	if (!model)
		return;
	server->poll_token = 0;
	if (status == 421) {
		instances_mark_ended(&controller->instances, server->name, now);
		return;
	}
	k = shgeti(controller->rollout.models, model);
	if (status != 200 || !weights || k < 0 ||
	    (server->state != ROLLOUT_LOADING && server->state != ROLLOUT_UNCONFIRMED))
		return;
	if (loading) {
		server->state = ROLLOUT_LOADING;
		instances_set_weights(&controller->instances, server->name, weights, 1, now);
		return;
	}
	if (!has_weights_or_newer(weights, server->target_weights) &&
	    server->polled_at_ms < commanded_since(controller, server) + ROLLOUT_REPORT_LAG_MS)
		return; /* the report may be older than the order */
	if (!strcmp(weights, server->target_weights))
		rollout_pace_learn(controller, server, model, now);
	server->state = ROLLOUT_IDLE;
	instances_set_weights(&controller->instances, server->name, weights, 0, now);
}
