#include "rollout_command.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "rollout.h"
#include "controller_private.h"
#include "leadership.h"
#include "mechanism.h"
#include "rollout_pace.h"

enum {
	INTENT_TTL_MS = 60000,       /* how long a logged intent is kept */
	NEVER_SENT_BACKOFF_MS = 100, /* wait after a command that did not reach the server */
};

/* ---- records of servers ---- */

void rollout_server_free(struct rollout_server *server)
{
	free(server->name);
	free(server->target_weights);
}

struct rollout_server *rollout_server_find(const struct rollout *rollout, const char *name)
{
	for (ptrdiff_t i = 0; i < arrlen(rollout->servers); i++)
		if (!strcmp(rollout->servers[i].name, name))
			return &rollout->servers[i];
	return NULL;
}

struct rollout_server *rollout_server_get(struct rollout *rollout, const char *name)
{
	struct rollout_server server, *s = rollout_server_find(rollout, name);

	if (s)
		return s;
	memset(&server, 0, sizeof server);
	server.name = strdup(name);
	server.target_weights = strdup("");
	arrput(rollout->servers, server);
	return &arrlast(rollout->servers);
}

/* ---- weights ---- */

static bool is_digits(const char *text)
{
	return *text && strspn(text, "0123456789") == strlen(text);
}

bool rollout_has_weights(const char *weights, const char *target_weights)
{
	if (!strcmp(weights, target_weights))
		return true;
	if (!is_digits(weights) || !is_digits(target_weights))
		return false;
	return strlen(weights) != strlen(target_weights) ? strlen(weights) > strlen(target_weights)
							 : strcmp(weights, target_weights) > 0;
}

const char *rollout_instance_model(const struct controller *controller, const struct Nl__Instance *instance)
{
	const struct Nl__Row *service =
	    instance->state == INSTANCE_SERVING
		? config_table_get(&controller->config.table, NL__KIND__SERVICE, instance->service)
		: NULL;

	return service && service->model[0] ? service->model : NULL;
}

/* ---- from the notice to the load command ---- */

void rollout_on_intent_logged(struct controller *controller, const char *server, int64_t now)
{
	for (ptrdiff_t i = shlen(controller->rollout.intents) - 1; i >= 0; i--)
		if (now - controller->rollout.intents[i].value > INTENT_TTL_MS)
			(void)shdel(controller->rollout.intents, controller->rollout.intents[i].key);
	shput(controller->rollout.intents, server, now);
}

int64_t rollout_command_not_before_ms(const struct rollout *rollout, const char *name)
{
	struct rollout_intent *intents = rollout->intents;
	ptrdiff_t i = shgeti(intents, name);
	int64_t intent_logged_at_ms = rollout->intents_unknown_until_ms; /* the latest possible time */

	if (i >= 0 && intents[i].value > intent_logged_at_ms)
		intent_logged_at_ms = intents[i].value;
	if (intent_logged_at_ms > rollout->term_started_at_ms)
		return 0;
	return intent_logged_at_ms + ROLLOUT_INTENT_VALID_MS + rollout->takeover_wait_ms;
}

int64_t rollout_last_commanded_at_ms(const struct controller *controller, const struct rollout_server *server)
{
	return server->commanded_at_ms ? server->commanded_at_ms : controller->rollout.term_started_at_ms;
}

/* Publish to routers whether a server is loading, with its weights unchanged. */
static void publish_loading(struct controller *controller, const struct rollout_server *server, int loading,
			    int64_t now)
{
	const struct Nl__Instance *instance = instances_get(&controller->instances, server->name);
	char *weights = instance ? strdup(instance->weights) : NULL;

	if (weights)
		instances_set_weights(&controller->instances, server->name, weights, loading, now);
	free(weights);
}

static void set_target_weights(struct rollout_server *server, const char *weights)
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
	rolled.fence = controller->rollout.term << ROLLOUT_FENCE_SEQUENCE_BITS |
		       (controller->rollout.command_sequence & ROLLOUT_FENCE_SEQUENCE_MASK);
	operation.body_case = NL__OPERATION__BODY_ROLLED_OUT;
	operation.rolled_out = &rolled;
	if (!log_operation(controller, SHARD_CONTROL, &operation, now, out))
		return;
	server->state = ROLLOUT_INTENDED;
	server->commanded_at_ms = now;
	server->max_concurrent_loads = 1;
	set_target_weights(server, weights);
	publish_loading(controller, server, 1, now); /* routers receive it while the entry is being written */
}

void rollout_begin_command(struct controller *controller, struct rollout_server *server,
			   const struct Nl__Row *model, const struct Nl__Instance *instance, int64_t now,
			   struct command_list *out)
{
	if (!rollout_notice_ms(controller, model->name,
			       rollout_deadline_ms(controller, model, instance->weights), now)) {
		log_intent(controller, server, model->name, model->target_weights, now, out);
		return;
	}
	server->state = ROLLOUT_NOTICE;
	server->commanded_at_ms = now;
	server->max_concurrent_loads = 1;
	publish_loading(controller, server, 1, now);
}

/* Send the load command for the current target version, which may be newer than the one in the logged intent.
 * Requests that are running on the server continue under the new weights: waiting for them to end would keep
 * the server from taking other requests for the duration of its longest answer. */
static void send_load_command(struct controller *controller, struct rollout_server *server,
			      const struct Nl__Instance *instance, const char *model,
			      const char *target_weights, int64_t intent_logged_at_ms, int64_t now,
			      struct command_list *out)
{
	int64_t not_after_ms =
	    controller->shards[SHARD_CONTROL].lease.expires_at_ms - ROLLOUT_LEASE_MARGIN_MS;
	struct command *command;

	if (not_after_ms > intent_logged_at_ms + ROLLOUT_INTENT_VALID_MS)
		not_after_ms = intent_logged_at_ms + ROLLOUT_INTENT_VALID_MS;
	if (now >= not_after_ms || controller->rollout.is_fenced) {
		server->state = ROLLOUT_IDLE;
		publish_loading(controller, server, 0, now);
		return;
	}
	set_target_weights(server, target_weights);
	server->state = ROLLOUT_COMMANDED;
	server->command_token = ++controller->identity.last_token;
	server->commanded_at_ms = now;
	command = command_add(out, CMD_LOAD_WEIGHTS);
	command->args.load_weights.token = server->command_token;
	command->args.load_weights.addr = core_parse_addr(instance->addr);
	command->args.load_weights.fencing_token =
	    controller->rollout.term << ROLLOUT_FENCE_SEQUENCE_BITS |
	    (++controller->rollout.command_sequence & ROLLOUT_FENCE_SEQUENCE_MASK);
	command->args.load_weights.server = apr_pstrdup(out->pool, instance->server);
	command->args.load_weights.model = apr_pstrdup(out->pool, model);
	command->args.load_weights.weights = apr_pstrdup(out->pool, server->target_weights);
	command->args.load_weights.lease_holder =
	    apr_psprintf(out->pool, "%016" APR_UINT64_T_HEX_FMT, controller->identity.id);
	command->args.load_weights.not_after_ms = not_after_ms;
	command->args.load_weights.during_requests =
	    mechanism_is_enabled(controller->bounds.disabled_mechanisms, MECHANISM_RETAIN);
	log_line(controller, "rollout", out->pool,
		 "load command sent to listed server %s, current weights %s, target weights %s, model %s",
		 instance->server, instance->weights, server->target_weights, model);
	/* this may replace the copy that instance points to */
	instances_set_weights(&controller->instances, server->name, instance->weights, 1, now);
}

/* ---- from the load command to the end of the load ---- */

static void send_report_poll(struct controller *controller, struct rollout_server *server,
			     const struct Nl__Instance *instance, const char *model, int64_t now,
			     struct command_list *out)
{
	ptrdiff_t k = shgeti(controller->rollout.models, model);
	int load_ms = k < 0 ? 0 : controller->rollout.models[k].value.base_load_ms;
	int64_t since_poll_ms = now - server->polled_at_ms;
	struct command *command;

	if (since_poll_ms < ROLLOUT_POLL_INTERVAL_MS || now - server->commanded_at_ms < load_ms * 4 / 5 ||
	    (server->poll_token && since_poll_ms < ROLLOUT_REPLY_TIMEOUT_MS))
		return;
	server->poll_token = ++controller->identity.last_token;
	server->polled_at_ms = now;
	command = command_add(out, CMD_POLL_REPORT);
	command->args.poll_report.token = server->poll_token;
	command->args.poll_report.addr = core_parse_addr(instance->addr);
	command->args.poll_report.server = apr_pstrdup(out->pool, instance->server);
	command->args.poll_report.model = apr_pstrdup(out->pool, model);
	command->args.poll_report.not_after_ms = now + ROLLOUT_REPLY_TIMEOUT_MS;
}

void rollout_advance_server(struct controller *controller, struct rollout_server *server,
			    const struct Nl__Instance *instance, const struct Nl__Row *model, int64_t now,
			    struct command_list *out)
{
	if (server->state == ROLLOUT_NOTICE) {
		if (now - server->commanded_at_ms >=
		    rollout_notice_ms(controller, model->name,
				      rollout_deadline_ms(controller, model, instance->weights), now))
			log_intent(controller, server, model->name, model->target_weights, now, out);
		return;
	}
	if (server->state == ROLLOUT_INTENDED) {
		ptrdiff_t k = shgeti(controller->rollout.intents, server->name);

		if (k >= 0 && controller->rollout.intents[k].value >= server->commanded_at_ms) {
			send_load_command(controller, server, instance, model->name, model->target_weights,
					  controller->rollout.intents[k].value, now, out);
		} else if (now - server->commanded_at_ms > ROLLOUT_INTENT_VALID_MS) {
			server->state = ROLLOUT_IDLE; /* the entry was not committed in time */
			publish_loading(controller, server, 0, now);
		}
		return;
	}
	if (server->state == ROLLOUT_COMMANDED && now - server->commanded_at_ms >= ROLLOUT_REPLY_TIMEOUT_MS)
		server->state = ROLLOUT_UNCONFIRMED;
	if (server->state == ROLLOUT_LOADING || server->state == ROLLOUT_UNCONFIRMED) {
		/* the endpoint list shows that the load has ended */
		if (rollout_has_weights(instance->weights, model->target_weights)) {
			server->state = ROLLOUT_IDLE;
			instances_set_weights(&controller->instances, server->name, instance->weights, 0,
					      now);
		} else if (now >= server->commanded_at_ms + ROLLOUT_POLL_INTERVAL_MS) {
			send_report_poll(controller, server, instance, model->name, now, out);
		}
	}
}

/* Handle a load command that got no reply, or a status that does not show whether the server accepted it. */
static void on_inconclusive_reply(struct controller *controller, struct rollout_server *server,
				  const struct Nl__Instance *instance, int status, int never_sent,
				  int64_t now, struct command_list *out)
{
	if (never_sent) {
		server->state = ROLLOUT_IDLE;
		server->retry_at_ms = now + NEVER_SENT_BACKOFF_MS;
		instances_set_weights(&controller->instances, server->name, instance->weights, 0, now);
		return;
	}
	server->state = ROLLOUT_UNCONFIRMED;
	server->retry_at_ms = now + (status ? ROLLOUT_REJECTED_BACKOFF_MS : 0);
	if (status)
		log_line(controller, "rollout", out->pool,
			 "load command answered with an unexpected status, server %s, HTTP status %d",
			 server->name, status);
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
			log_line(
			    controller, "rollout", out->pool,
			    "server %s rejected a load command with an outdated fencing token; no load commands are sent for the rest of this term",
			    server->name);
		controller->rollout.is_fenced = 1;
		server->state = ROLLOUT_UNCONFIRMED;
		break;
	case 421:
		instances_mark_ended(&controller->instances, server->name, now);
		break;
	case 409: /* loading other weights: commanded again after a poll shows that this has ended */
		server->state = ROLLOUT_UNCONFIRMED;
		break;
	default:
		on_inconclusive_reply(controller, server, instance, status, never_sent, now, out);
		break;
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
	model = instance ? rollout_instance_model(controller, instance) : NULL;
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
	if (!rollout_has_weights(weights, server->target_weights) &&
	    server->polled_at_ms <
		rollout_last_commanded_at_ms(controller, server) + ROLLOUT_MAX_REPORT_LAG_MS)
		return; /* the report may predate the command */
	if (!strcmp(weights, server->target_weights))
		rollout_pace_observe_load(controller, server, model, now);
	server->state = ROLLOUT_IDLE;
	instances_set_weights(&controller->instances, server->name, weights, 0, now);
}
