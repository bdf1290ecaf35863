/* router_fixture: see router_fixture.h for the contract. */
#include "router_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <apr_strings.h>
#include <cmocka.h>

#include "containers.h"

void router_fixture_open(struct router_fixture *fixture, uint64_t id)
{
	uint64_t seed = 1;

	memset(fixture, 0, sizeof *fixture);
	apr_pool_create(&fixture->pool, NULL);
	apr_pool_create(&fixture->commands.pool, fixture->pool);
	fixture->now = 1000000;
	router_open(&fixture->router, id, id + 1000, "z1", &seed, 1, fixture->now);
	fixture->router.config.bounds.use_endpoint_list = 1;
}

void router_fixture_close(struct router_fixture *fixture)
{
	router_close(&fixture->router);
	arrfree(fixture->commands.commands);
	apr_pool_destroy(fixture->pool);
}

void router_fixture_step(struct router_fixture *fixture, const struct router_event *event)
{
	router_step(&fixture->router, event, fixture->now, &fixture->commands);
}

void router_fixture_tick(struct router_fixture *fixture, int64_t ms)
{
	fixture->now += ms;
	router_fixture_step(fixture, &(struct router_event){ .kind = ROUTER_EVENT_TICK });
}

void router_fixture_message(struct router_fixture *fixture, struct Nl__Msg *message)
{
	struct router_event event;

	memset(&event, 0, sizeof event);
	event.kind = ROUTER_EVENT_MESSAGE;
	event.args.message = message;
	message->protocol_version = CORE_PROTOCOL_VERSION;
	router_fixture_step(fixture, &event);
}

void router_fixture_table(struct router_fixture *fixture, struct Nl__Row **rows, size_t n,
			  struct Nl__Instance **instances, size_t instance_count, uint64_t revision)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__ConfigSyncReply reply = NL__CONFIG_SYNC_REPLY__INIT;

	command_list_clear(&fixture->commands);
	router_fixture_tick(fixture, 300);
	for (ptrdiff_t i = 0; i < arrlen(fixture->commands.commands); i++)
		if (fixture->commands.commands[i].kind == CMD_SEND &&
		    fixture->commands.commands[i].args.send.msg->body_case == NL__MSG__BODY_CONFIG_SYNC)
			reply.token = fixture->commands.commands[i].args.send.msg->config_sync->token;
	assert_true(reply.token);
	reply.has_lease = reply.full = reply.instances_full = 1;
	reply.is_unconfigured = fixture->is_unconfigured;
	reply.fleet_id = 7;
	reply.revision = revision;
	reply.set = rows;
	reply.n_set = n;
	reply.instances = instances;
	reply.n_instances = instance_count;
	reply.instances_stamp = revision;
	reply.router_count = 1;
	reply.group_clock_ms = (uint64_t)fixture->now; /* the control group's clock is the router's own */
	reply.clock_term = 1;
	message.body_case = NL__MSG__BODY_CONFIG_SYNC_REPLY;
	message.config_sync_reply = &reply;
	message.addr = 1;
	message.id = 1;
	router_fixture_message(fixture, &message);
	command_list_clear(&fixture->commands);
	assert_non_null(fixture->router.config.route_table);
}

struct Nl__Row *new_row(apr_pool_t *pool, Nl__Kind kind, const char *name)
{
	struct Nl__Row *row = apr_palloc(pool, sizeof *row);

	nl__row__init(row);
	row->kind = kind;
	row->name = apr_pstrdup(pool, name);
	return row;
}

struct Nl__Row *new_service(apr_pool_t *pool, const char *name)
{
	struct Nl__Row *row = new_row(pool, NL__KIND__SERVICE, name);

	row->target_weights = "w1";
	row->prefill_tokens_per_ms = 20;
	return row;
}

struct Nl__Instance *new_instance(apr_pool_t *pool, int i, const char *service)
{
	struct Nl__Instance *instance = apr_palloc(pool, sizeof *instance);

	nl__instance__init(instance);
	instance->server = apr_psprintf(pool, "i-%d", i);
	instance->service = (char *)(uintptr_t)service;
	instance->addr = apr_psprintf(pool, "127.1.0.%d:80", i + 1);
	instance->zone = "z1";
	instance->slots = 100;
	instance->weights = "w1";
	instance->stamp = 1;
	return instance;
}

struct client_request *router_fixture_submit(struct router_fixture *fixture, const char *host,
					     const char *path, const char *id, int *status)
{
	return router_fixture_submit_with_key(fixture, host, path, id, NULL, status);
}

struct client_request *router_fixture_submit_with_key(struct router_fixture *fixture, const char *host,
						      const char *path, const char *id,
						      const char *key_digest, int *status)
{
	struct forwarded_request request;
	struct router_event event;

	memset(&request, 0, sizeof request);
	memset(&event, 0, sizeof event);
	request.token = ++fixture->token;
	request.host = host;
	request.path = path;
	request.request_id = id;
	request.key_digest = key_digest;
	request.timeout_ms = 60000;
	event.kind = ROUTER_EVENT_FORWARDED_REQUEST;
	event.args.forwarded_request = &request;
	command_list_clear(&fixture->commands);
	router_fixture_step(fixture, &event);
	*status = 0;
	for (ptrdiff_t i = 0; i < arrlen(fixture->commands.commands); i++)
		if (fixture->commands.commands[i].kind == CMD_ANSWER &&
		    fixture->commands.commands[i].args.answer.token == request.token)
			*status = fixture->commands.commands[i].args.answer.status;
	return router_request_by_token(&fixture->router, request.token);
}

void router_fixture_disconnect(struct router_fixture *fixture)
{
	struct router_event event;

	memset(&event, 0, sizeof event);
	event.kind = ROUTER_EVENT_CLIENT_DISCONNECTED;
	event.args.client_disconnected.token = fixture->token;
	router_fixture_step(fixture, &event);
}

uint64_t router_fixture_last_call(struct router_fixture *fixture)
{
	for (ptrdiff_t i = arrlen(fixture->commands.commands) - 1; i >= 0; i--)
		if (fixture->commands.commands[i].kind == CMD_FORWARD)
			return fixture->commands.commands[i].args.forward->call_token;
	return 0;
}

void router_fixture_end_call(struct router_fixture *fixture, uint64_t call_token, enum forward_end result,
			     int status)
{
	struct forward_result ended = { .token = call_token, .end = result, .status = status };
	struct router_event event = { .kind = ROUTER_EVENT_FORWARD_ENDED };

	event.args.forward_ended = &ended;
	command_list_clear(&fixture->commands);
	router_fixture_step(fixture, &event);
	/* The request may wait in the router's queue before it is resent. */
	for (int i = 0; result != FORWARD_COMPLETE && i < 4; i++)
		router_fixture_tick(fixture, 60);
}
