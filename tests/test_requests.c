/* How requests end in the router's core: each state of a request against each event that may end it. The
 * table of states and events is in docs/consistency.md, "A request in the core". */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>

#include "containers.h"
#include "sim_forward.h"
#include "router_fixture.h"

enum { ROWS = 16, SERVERS_MOST = 8, REQUEST_LIMIT = 60000 };

/* A table under construction, and the servers of its list. */
struct world {
	struct router_fixture s;
	struct Nl__Row *row[ROWS];
	struct Nl__Instance *server[SERVERS_MOST];
	size_t rows, servers;
	uint64_t revision;
};

static struct Nl__Row *world_service(struct world *world, const char *name)
{
	return world->row[world->rows++] = new_service(world->s.pool, name);
}

static struct Nl__Row *world_route(struct world *world, const char *name, const char *path,
				   const char *service)
{
	struct Nl__Row *row = world->row[world->rows++] = new_row(world->s.pool, NL__KIND__ROUTE, name);

	row->service = apr_pstrdup(world->s.pool, service);
	row->host = "h";
	row->path = apr_pstrdup(world->s.pool, path);
	row->limit = 10;
	row->max_attempts = 3;
	row->key_optional = 1;
	return row;
}

/* A route whose answers are streams that may be resumed. */
static struct Nl__Row *world_stream_route(struct world *world, const char *name, const char *path,
					  const char *service)
{
	struct Nl__Row *row = world_route(world, name, path, service);

	row->resumable = 1;
	row->max_gap_ms = 250;
	return row;
}

static void world_key(struct world *world, char letter, const char *tenant)
{
	char digest[65];

	memset(digest, letter, 64);
	digest[64] = 0;
	world->row[world->rows++] = new_row(world->s.pool, NL__KIND__KEY, digest);
	world->row[world->rows - 1]->tenant = apr_pstrdup(world->s.pool, tenant);
}

static struct Nl__Row *world_tenant(struct world *world, const char *name)
{
	struct Nl__Row *row = world->row[world->rows++] = new_row(world->s.pool, NL__KIND__TENANT, name);

	row->share = 1;
	return row;
}

static void world_server(struct world *world, const char *service)
{
	world->server[world->servers] = new_instance(world->s.pool, (int)world->servers, service);
	world->servers++;
}

/* Put the table into force; the commands of that step stay in w->s.o. */
static void world_apply(struct world *world)
{
	router_fixture_table(&world->s, world->row, world->rows, world->server, world->servers,
			     ++world->revision);
}

/* The answer that a caller got in the last step; 0: none, -1: its stream was broken off. */
static int answered_status(const struct router_fixture *fixture, uint64_t token)
{
	int status = 0, ends = 0;

	for (ptrdiff_t i = 0; i < arrlen(fixture->commands.commands); i++) {
		const struct command *command = &fixture->commands.commands[i];

		if (command->kind == CMD_ANSWER && command->args.answer.token == token) {
			status = command->args.answer.status;
			ends++;
		} else if (command->kind == CMD_END_STREAM && command->args.stream_chunk.token == token) {
			status = -1;
			ends++;
		}
	}
	assert_true(ends <= 1);
	return status;
}

/* Ask with a key; the request, or NULL. */
static struct client_request *ask(struct world *w, const char *path, char key)
{
	struct forwarded_request a;
	struct router_event input;
	char digest[65];

	memset(&a, 0, sizeof a);
	memset(&input, 0, sizeof input);
	memset(digest, key, 64);
	digest[64] = 0;
	a.token = ++w->s.token;
	a.key_digest = key ? digest : NULL;
	a.host = "h";
	a.path = path;
	a.request_id = apr_psprintf(w->s.pool, "id-%d", (int)w->s.token);
	a.timeout_ms = REQUEST_LIMIT;
	a.input_tokens = 2000;
	a.max_output_tokens = 100;
	input.kind = ROUTER_EVENT_FORWARDED_REQUEST;
	input.args.forwarded_request = &a;
	command_list_clear(&w->s.commands);
	router_fixture_step(&w->s, &input);
	return router_request_by_token(&w->s.router, a.token);
}

/* How a send ends, without letting time pass. */
static void send_ends(struct world *world, uint64_t call, enum forward_end how, int status, int began,
		      const char *since)
{
	struct forward_result ended = {
		.token = call, .end = how, .status = status, .has_stream_begun = began, .last_event_id = since
	};
	struct router_event event = { .kind = ROUTER_EVENT_FORWARD_ENDED };

	event.args.forward_ended = &ended;
	command_list_clear(&world->s.commands);
	router_fixture_step(&world->s, &event);
}

static void began(struct world *w, uint64_t call)
{
	struct router_event event = { .kind = ROUTER_EVENT_FORWARD_STREAM_BEGAN };

	event.args.forward_began.token = call;
	command_list_clear(&w->s.commands);
	router_fixture_step(&w->s, &event);
}

/* The server that the newest send went to, or NULL. */
static const char *sent_to(const struct router_fixture *fixture)
{
	for (ptrdiff_t i = arrlen(fixture->commands.commands) - 1; i >= 0; i--)
		if (fixture->commands.commands[i].kind == CMD_FORWARD)
			return fixture->commands.commands[i].args.forward->server;
	return NULL;
}

/* Put the table into force, and say what the caller of a request heard of it. */
static int received_table(struct world *world, uint64_t token)
{
	uint64_t follow = 0;
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__ConfigSyncReply reply = NL__CONFIG_SYNC_REPLY__INIT;

	command_list_clear(&world->s.commands);
	router_fixture_tick(&world->s, 300);
	for (ptrdiff_t i = 0; i < arrlen(world->s.commands.commands); i++)
		if (world->s.commands.commands[i].kind == CMD_SEND &&
		    world->s.commands.commands[i].args.send.msg->body_case == NL__MSG__BODY_CONFIG_SYNC)
			follow = world->s.commands.commands[i].args.send.msg->config_sync->token;
	assert_true(follow);
	command_list_clear(&world->s.commands);
	reply.token = follow;
	reply.has_lease = reply.full = reply.instances_full = 1;
	reply.fleet_id = 7;
	reply.revision = reply.instances_stamp = ++world->revision;
	reply.set = world->row;
	reply.n_set = world->rows;
	reply.instances = world->server;
	reply.n_instances = world->servers;
	reply.router_count = 1;
	message.body_case = NL__MSG__BODY_CONFIG_SYNC_REPLY;
	message.config_sync_reply = &reply;
	message.addr = message.id = 1;
	router_fixture_message(&world->s, &message);
	return answered_status(&world->s, token);
}

/* ---- a new route table over requests that wait ------------------------------------------------- */

/* Its service goes and its route has another one: it goes to that one. */
static void a_waiting_request_follows_its_route_to_another_service(void **state)
{
	struct world world = { 0 };
	struct Nl__Row *route;
	struct client_request *request;

	(void)state;
	router_fixture_open(&world.s, 5);
	route = world_route(&world, "route", "/", "old");
	world_service(&world, "new");
	world_service(&world, "old");
	world_apply(&world);
	assert_non_null(request = ask(&world, "/x", 0));
	assert_int_equal(request->state, REQUEST_WAITING);
	route->service = "new";
	world.rows--;
	world_server(&world, "new");
	assert_int_equal(received_table(&world, 1), 0);
	router_fixture_tick(&world.s, 20);
	assert_non_null(sent_to(&world.s));
	router_fixture_close(&world.s);
}

/* Its route goes, and a shorter one takes its path: it goes by that one. */
static void a_waiting_request_falls_to_the_shorter_route(void **state)
{
	struct world world = { 0 };
	struct client_request *request;

	(void)state;
	router_fixture_open(&world.s, 5);
	world_service(&world, "new");
	world_service(&world, "old");
	world_route(&world, "short", "/", "new");
	world_route(&world, "deep", "/x/", "old");
	world_apply(&world);
	assert_non_null(request = ask(&world, "/x/y", 0));
	world.rows--;
	world_server(&world, "new");
	assert_int_equal(received_table(&world, 1), 0);
	router_fixture_tick(&world.s, 20);
	assert_non_null(sent_to(&world.s));
	router_fixture_close(&world.s);
}

/* Its key passes to another tenant: it is that one's. */
static void a_waiting_request_goes_with_its_key_to_another_tenant(void **state)
{
	struct world world = { 0 };
	struct client_request *request;

	(void)state;
	router_fixture_open(&world.s, 5);
	world_service(&world, "pool");
	world_route(&world, "route", "/", "pool")->key_optional = 0;
	world_tenant(&world, "t1");
	world_tenant(&world, "t2");
	world_key(&world, 'a', "t1");
	world_apply(&world);
	assert_non_null(request = ask(&world, "/x", 'a'));
	world.row[world.rows - 1]->tenant = "t2";
	world_server(&world, "pool");
	assert_int_equal(received_table(&world, 1), 0);
	router_fixture_tick(&world.s, 20);
	assert_non_null(sent_to(&world.s));
	for (ptrdiff_t i = 0; i < arrlen(world.s.commands.commands); i++)
		if (world.s.commands.commands[i].kind == CMD_FORWARD)
			assert_string_equal(world.s.commands.commands[i].args.forward->tenant, "t2");
	router_fixture_close(&world.s);
}

/* Keys are no longer asked for: whoever waits with one goes on without. */
static void a_waiting_request_outlives_the_end_of_keys(void **state)
{
	struct world world = { 0 };
	struct client_request *request;

	(void)state;
	router_fixture_open(&world.s, 5);
	world_service(&world, "pool");
	world_route(&world, "route", "/", "pool");
	world_tenant(&world, "t1");
	world_key(&world, 'a', "t1");
	world_apply(&world);
	assert_non_null(request = ask(&world, "/x", 'a'));
	world.rows -= 2;
	world_server(&world, "pool");
	assert_int_equal(received_table(&world, 1), 0);
	router_fixture_tick(&world.s, 20);
	assert_non_null(sent_to(&world.s));
	router_fixture_close(&world.s);
}

/* On the product's own interface a claim binds a request to its service's leader: it is refused, and comes
 * back. */
static void a_waiting_claim_comes_back_for_its_routes_new_service(void **state)
{
	struct world world = { 0 };
	struct Nl__Row *route;
	struct router_event event = { .kind = ROUTER_EVENT_CLAIMED_REQUEST };
	char digest[65];

	(void)state;
	router_fixture_open(&world.s, 5);
	route = world_route(&world, "route", "/", "old");
	world_service(&world, "new");
	world_service(&world, "old");
	world_tenant(&world, "t1");
	world_key(&world, 'a', "t1");
	world_apply(&world);
	memset(digest, 'a', 64);
	digest[64] = 0;
	event.args.claimed_request.token = 1;
	event.args.claimed_request.key_digest = digest;
	event.args.claimed_request.body = "{\"lane\":\"route\",\"id\":\"x\",\"tail\":\"t\"}";
	router_fixture_step(&world.s, &event);
	assert_int_equal(arrlen(world.s.router.requests.all), 1);
	route->service = "new";
	assert_int_equal(received_table(&world, 1), 503);
	router_fixture_close(&world.s);
}

/* Neither a route nor a key is left for it: 404 and 401, at once. */
static void a_waiting_request_that_nothing_allows_is_answered_so(void **state)
{
	(void)state;
	for (int key = 0; key < 2; key++) {
		struct world world = { 0 };

		router_fixture_open(&world.s, 5);
		world_service(&world, "pool");
		world_tenant(&world, "t1");
		world_key(&world, 'b', "t1");
		if (key) {
			world_route(&world, "route", "/", "pool")->key_optional = 0;
			world_key(&world, 'a', "t1");
		} else {
			world_key(&world, 'a', "t1");
			world_route(&world, "route", "/", "pool")->key_optional = 0;
		}
		world_apply(&world);
		assert_non_null(ask(&world, "/x", 'a'));
		world.rows--;
		assert_int_equal(received_table(&world, 1), key ? 401 : 404);
		assert_int_equal(arrlen(world.s.router.requests.all), 0);
		router_fixture_close(&world.s);
	}
}

/* ---- a new route table over requests at servers ------------------------------------------------------ */

/* It was sent; its service goes; its server turns it away: it is refused, and the process lives. */
static void a_returned_request_whose_service_was_removed_is_refused(void **state)
{
	struct world world = { 0 };
	uint64_t call;

	(void)state;
	router_fixture_open(&world.s, 5);
	world_service(&world, "stays");
	world_route(&world, "other", "/other/", "stays");
	world_service(&world, "goes");
	world_route(&world, "route", "/", "goes");
	for (int i = 0; i < 2; i++)
		world_server(&world, "goes");
	world_apply(&world);
	for (int i = 0; i < 6; i++)
		assert_non_null(ask(&world, "/x", 0));
	call = router_fixture_last_call(&world.s);
	assert_true(call);
	world.rows -= 2;
	assert_int_equal(received_table(&world, 6), 0);
	send_ends(&world, call, FORWARD_NOT_STARTED, 503, 0, NULL);
	assert_int_equal(answered_status(&world.s, 6), 404);
	assert_null(sent_to(&world.s));
	assert_int_equal(arrlen(world.s.router.requests.all), 5);
	router_fixture_close(&world.s);
}

/* It was sent; its key goes; its server turns it away: it is not sent again with that key. */
static void a_returned_request_whose_key_was_removed_is_not_sent_again(void **state)
{
	struct world world = { 0 };

	(void)state;
	router_fixture_open(&world.s, 5);
	world_service(&world, "pool");
	world_route(&world, "route", "/", "pool")->key_optional = 0;
	world_tenant(&world, "t1");
	world_key(&world, 'b', "t1");
	world_key(&world, 'a', "t1");
	for (int i = 0; i < 2; i++)
		world_server(&world, "pool");
	world_apply(&world);
	assert_non_null(ask(&world, "/x", 'a'));
	assert_non_null(sent_to(&world.s));
	world.rows--;
	{
		uint64_t call = router_fixture_last_call(&world.s);

		assert_int_equal(received_table(&world, 1), 0);
		send_ends(&world, call, FORWARD_NOT_STARTED, 503, 0, NULL);
	}
	assert_int_equal(answered_status(&world.s, 1), 401);
	assert_null(sent_to(&world.s));
	router_fixture_close(&world.s);
}

/* A service was away for long and is back with its servers: a request for it is sent, not refused. */
static void a_service_that_is_back_takes_requests_at_once(void **state)
{
	struct world world = { 0 };

	(void)state;
	router_fixture_open(&world.s, 5);
	world_service(&world, "stays");
	world_route(&world, "other", "/other/", "stays");
	world_service(&world, "goes");
	world_route(&world, "route", "/", "goes");
	world_apply(&world);
	world.rows -= 2;
	world_apply(&world);
	for (int i = 0; i < 100; i++) {
		world.s.router.config.watch.confirmed_at_ms = world.s.now;
		router_fixture_tick(&world.s, 100);
	}
	world.rows += 2;
	world_server(&world, "goes");
	world_apply(&world);
	assert_non_null(ask(&world, "/x", 0));
	assert_non_null(sent_to(&world.s));
	router_fixture_close(&world.s);
}

/* ---- requests that are given back ---------------------------------------------------------------- */

/* A stream broke off, and no server has a place: it waits a moment, and goes on once one has. */
static void a_stream_waits_a_moment_for_a_slot(void **state)
{
	struct world world = { 0 };
	uint64_t first, call;

	(void)state;
	router_fixture_open(&world.s, 5);
	world_service(&world, "pool");
	world_stream_route(&world, "route", "/", "pool");
	for (int i = 0; i < 2; i++) {
		world_server(&world, "pool");
		world.server[i]->slots = 1;
	}
	world_apply(&world);
	assert_non_null(ask(&world, "/x", 0));
	first = router_fixture_last_call(&world.s);
	assert_non_null(ask(&world, "/x", 0));
	call = router_fixture_last_call(&world.s);
	began(&world, call);
	router_fixture_tick(&world.s, 100);
	began(&world, first);
	for (int i = 0; i < 700; i++) { /* over half of its time: the queue was empty meanwhile */
		world.s.router.config.watch.confirmed_at_ms = world.s.now;
		router_fixture_tick(&world.s, 50);
	}
	send_ends(&world, call, FORWARD_BROKEN_OFF, 200, 1, "3");
	assert_int_equal(answered_status(&world.s, 2), 0);
	assert_null(sent_to(&world.s));
	command_list_clear(&world.s.commands);
	world.s.router.config.watch.confirmed_at_ms = world.s.now;
	router_fixture_tick(&world.s, 50);
	assert_int_equal(answered_status(&world.s, 2), 0);
	send_ends(&world, first, FORWARD_COMPLETE, 200, 1, "9");
	router_fixture_tick(&world.s, 20);
	assert_non_null(sent_to(&world.s));
	router_fixture_close(&world.s);
}

/* A stream broke off, and no server has a place for long: its client is told while it still listens, so that
 * it can take the stream up by itself. Its patience is two seconds, four times the aim or eight times the
 * pause, whichever is longest. */
static void a_stream_is_not_held_in_silence(void **state)
{
	(void)state;
	for (int pause = 0; pause <= 1000; pause += 1000) {
		struct world world = { 0 };
		struct Nl__Row *route;
		uint64_t call;
		int64_t from;
		int status = 0, patience = pause ? 8 * pause : 2000;

		router_fixture_open(&world.s, 5);
		world_service(&world, "pool");
		route = world_stream_route(&world, "route", "/", "pool");
		route->max_gap_ms = pause ? (uint32_t)pause : 1;
		for (int i = 0; i < 2; i++) {
			world_server(&world, "pool");
			world.server[i]->slots = 1;
		}
		world_apply(&world);
		for (int i = 0; i < 2; i++)
			assert_non_null(ask(&world, "/x", 0));
		call = router_fixture_last_call(&world.s);
		began(&world, call);
		send_ends(&world, call, FORWARD_BROKEN_OFF, 200, 1, "3");
		assert_non_null(ask(
		    &world, "/x", 0)); /* it takes the place: the stream's server is to be avoided for now */
		from = world.s.now;
		while (!status && world.s.now - from < 20000) {
			command_list_clear(&world.s.commands);
			world.s.router.config.watch.confirmed_at_ms = world.s.now;
			world.s.router.servers.states[1].unavailable_until_ms =
			    world.s.router.servers.states[0].unavailable_until_ms = world.s.now + 100;
			router_fixture_tick(&world.s, 50);
			status = answered_status(&world.s, 2);
		}
		assert_int_equal(status, -1);
		assert_in_range(world.s.now - from, patience / 2, patience - 200);
		router_fixture_close(&world.s);
	}
}

/* The one server that stands turned it away: it is neither held until its limit, nor does it hold up others.
 */
static void one_server_turns_a_request_away(void **state)
{
	struct world world = { 0 };
	int64_t from;
	int sent = 0, status = 0;

	(void)state;
	router_fixture_open(&world.s, 5);
	world_service(&world, "pool");
	world_route(&world, "route", "/", "pool");
	world_server(&world, "pool");
	world_apply(&world);
	assert_non_null(ask(&world, "/x", 0));
	send_ends(&world, router_fixture_last_call(&world.s), FORWARD_NOT_STARTED, 503, 0, NULL);
	from = world.s.now;
	ask(&world, "/x", 0);
	for (int i = 0; i < 20 && !(sent || status); i++) {
		command_list_clear(&world.s.commands);
		world.s.router.config.watch.confirmed_at_ms = world.s.now;
		router_fixture_tick(&world.s, 50);
		sent = sent_to(&world.s) != NULL;
		status = answered_status(&world.s, 1);
	}
	assert_true(sent || status == 503);
	assert_true(world.s.now - from <= 500);
	router_fixture_close(&world.s);
}

/* The only server gave a request back. No other may have it, so after a moment it has it again. */
static void the_only_server_has_a_returned_request_again(void **state)
{
	enum { LIMIT_MS = 1000, STEP_MS = 50 };
	struct world world = { 0 };
	int sent = 0;

	(void)state;
	router_fixture_open(&world.s, 5);
	world_service(&world, "pool");
	world_route(&world, "route", "/", "pool");
	world_server(&world, "pool");
	world_apply(&world);
	assert_non_null(ask(&world, "/x", 0));
	send_ends(&world, router_fixture_last_call(&world.s), FORWARD_NOT_STARTED, 0, 0, NULL);
	for (int64_t waited = 0; waited < LIMIT_MS && !sent; waited += STEP_MS) {
		command_list_clear(&world.s.commands);
		world.s.router.config.watch.confirmed_at_ms = world.s.now;
		router_fixture_tick(&world.s, STEP_MS);
		assert_int_equal(answered_status(&world.s, 1), 0);
		sent = sent_to(&world.s) != NULL;
	}
	assert_true(sent);
	router_fixture_close(&world.s);
}

/* A send broke off before its answer, so the request may have run; it waits for another server when its own
 * goes, and is given up. 503 would promise that it never ran. */
static void what_may_have_run_is_not_promised_otherwise(void **state)
{
	enum { LIMIT_MS = 10000, STEP_MS = 50 };
	struct world world = { 0 };
	int64_t fetched_at_ms;
	uint64_t call;
	int status = 0;

	(void)state;
	router_fixture_open(&world.s, 5);
	world_service(&world, "pool");
	world_route(&world, "route", "/", "pool")->idempotent = 1;
	world_server(&world, "pool");
	world_apply(&world);
	assert_non_null(ask(&world, "/x", 0));
	call = router_fixture_last_call(&world.s);
	world.servers = 0;
	world_apply(&world);
	send_ends(&world, call, FORWARD_BROKEN_OFF, 0, 0, NULL);
	fetched_at_ms = world.s.router.config.watch.confirmed_at_ms;
	for (int64_t waited = 0; waited < LIMIT_MS && !status; waited += STEP_MS) {
		status = answered_status(&world.s, 1);
		command_list_clear(&world.s.commands);
		world.s.router.config.watch.confirmed_at_ms = fetched_at_ms; /* no answer of the leader */
		router_fixture_tick(&world.s, STEP_MS);
	}
	assert_int_equal(status, 502);
	router_fixture_close(&world.s);
}

/* A route whose requests go to a service with one server of few places, and to one without any. */
static void split_open(struct world *world, int slots)
{
	struct Nl__Row *route;

	router_fixture_open(&world->s, 5);
	world_service(world, "up");
	world_service(world, "down");
	route = world_route(world, "route", "/", "up");
	route->limit = 100;
	route->split = apr_palloc(world->s.pool, 2 * sizeof *route->split);
	for (route->n_split = 0; route->n_split < 2; route->n_split++) {
		struct Nl__RouteSplit *half = apr_palloc(world->s.pool, sizeof *half);

		nl__route_split__init(half);
		half->service = world->row[route->n_split]->name;
		half->weight = 1;
		route->split[route->n_split] = half;
	}
	world_server(world, "up");
	world->server[0]->slots = (uint32_t)slots;
	world_apply(world);
}

static int is_for(const struct world *world, const struct client_request *request, const char *service)
{
	return !strcmp(world->s.router.names.services.names[request->route.service_index], service);
}

static void time_passes(struct world *world, int64_t ms)
{
	for (int64_t end = world->s.now + ms; world->s.now < end;) {
		world->s.router.config.watch.confirmed_at_ms = world->s.now;
		router_fixture_tick(&world->s, 50);
	}
}

/* The one that runs ends; sends go out in the order in which they were asked. */
static uint64_t one_ends(struct world *world, uint64_t last)
{
	for (ptrdiff_t k = 0; k < arrlen(world->s.router.requests.all); k++)
		if (world->s.router.requests.all[k]->state == REQUEST_RUNNING) {
			send_ends(world, world->s.router.requests.all[k]->attempt.call_token,
				  FORWARD_COMPLETE, 200, 1, NULL);
			break;
		}
	time_passes(world, 50);
	for (ptrdiff_t k = 0; k < arrlen(world->s.commands.commands); k++)
		if (world->s.commands.commands[k].kind == CMD_FORWARD) {
			assert_true(world->s.commands.commands[k].args.forward->client_token > last);
			last = world->s.commands.commands[k].args.forward->client_token;
		}
	return last;
}

/* Half of a route's requests are for a service without a server: the others pass them, in order. */
static void a_split_is_not_held_up_by_one_service(void **state)
{
	struct world world = { 0 };
	int sent = 0, answered = 0, waiting;
	uint64_t last = 0;

	(void)state;
	split_open(&world, 3);
	for (int i = 0; i < 12; i++) {
		assert_non_null(ask(&world, "/x", 0));
		router_fixture_tick(&world.s, 20);
		sent += router_fixture_last_call(&world.s) != 0;
	}
	assert_int_equal(sent, 3);
	for (int i = 0; i < 20; i++)
		last = one_ends(&world, last);
	waiting = (int)arrlen(world.s.router.requests.all);
	assert_in_range(waiting, 1, 9);
	for (ptrdiff_t k = 0; k < waiting; k++)
		assert_true(is_for(&world, world.s.router.requests.all[k], "down"));
	for (int i = 0; i < 100; i++) {
		command_list_clear(&world.s.commands);
		time_passes(&world, 50);
		for (uint64_t k = 1; k <= 12; k++)
			answered += answered_status(&world.s, k) == 503;
	}
	assert_int_equal(answered, waiting);
	router_fixture_close(&world.s);
}

/* The head of a line stands still for a service without a server: one of another service, with little time,
 * is not told that the line is too long. */
static void a_split_refuses_nobody_for_a_head_of_another_service(void **state)
{
	struct world world = { 0 };
	struct client_request *request;

	(void)state;
	split_open(&world, 1);
	do { /* the head is for the service that is down, and the server's one place is taken */
		assert_non_null(request = ask(&world, "/x", 0));
		time_passes(&world, 50);
	} while (is_for(&world, request, "up"));
	time_passes(&world, 2500);
	do
		assert_non_null(request = ask(&world, "/x", 0));
	while (!is_for(&world, request, "up"));
	assert_int_equal(request->state, REQUEST_WAITING);
	request->client.deadline_at_ms = world.s.now + 2000;
	command_list_clear(&world.s.commands);
	time_passes(&world, 100);
	assert_int_equal(answered_status(&world.s, world.s.token), 0);
	assert_ptr_equal(router_request_by_token(&world.s.router, world.s.token), request);
	router_fixture_close(&world.s);
}

/* What the caller hears of each way in which a send can end, in each state: 0: nothing, and it is sent again.
 */
enum { ANSWER_RESENT = 0, ANSWER_BROKEN = -1 };
struct send_end {
	enum forward_end how;
	int begun, ran, repeatable, resumable, since; /* of the request, with what this end says */
	int spent;                                    /* why it may go to no other server; 0: it may */
};
enum { SPENT_ATTEMPTS = 1, SPENT_BUDGET, SPENT_TIME, SPENT_KINDS };

/* The first table of docs/consistency.md, "A request in the core". */
static int expected(const struct send_end *send_end)
{
	int runs_again = send_end->begun ? send_end->resumable && send_end->since
					 : send_end->how == FORWARD_NOT_STARTED || send_end->repeatable ||
					       send_end->resumable;

	if (runs_again && !send_end->spent)
		return ANSWER_RESENT;
	if (send_end->begun)
		return ANSWER_BROKEN;
	return send_end->how == FORWARD_NOT_STARTED && !send_end->ran ? 503 : 502;
}

static void check_send_end(const struct send_end *send_end)
{
	struct world world = { 0 };
	struct client_request *request;
	uint64_t call;

	router_fixture_open(&world.s, 5);
	world_service(&world, "pool");
	world_route(&world, "route", "/", "pool");
	for (int i = 0; i < 2; i++)
		world_server(&world, "pool");
	world_apply(&world);
	request = ask(&world, "/x", 0);
	assert_non_null(request);
	call = router_fixture_last_call(&world.s);
	request->stream.has_begun = send_end->begun;
	request->retry.may_have_run = send_end->ran;
	request->route.idempotent = send_end->repeatable;
	request->route.resumable = send_end->resumable;
	if (send_end->spent == SPENT_ATTEMPTS)
		request->retry.max_attempts = 1;
	if (send_end->spent == SPENT_BUDGET)
		world.s.router.quota.retry_budget_milli[request->route.service_index] = 0;
	if (send_end->spent == SPENT_TIME)
		request->client.deadline_at_ms = world.s.now + 10;
	send_ends(&world, call, send_end->how, send_end->how == FORWARD_NOT_STARTED ? 503 : 200,
		  send_end->begun, send_end->since ? "3" : NULL);
	if (answered_status(&world.s, 1) != expected(send_end))
		fail_msg(
		    "how %d begun %d ran %d repeatable %d resumable %d since %d spent %d: heard %d, not %d",
		    (int)send_end->how, send_end->begun, send_end->ran, send_end->repeatable,
		    send_end->resumable, send_end->since, send_end->spent, answered_status(&world.s, 1),
		    expected(send_end));
	assert_int_equal(sent_to(&world.s) != NULL, expected(send_end) == ANSWER_RESENT);
	assert_int_equal(arrlen(world.s.router.requests.all), expected(send_end) == ANSWER_RESENT);
	assert_true(router_outcomes_balance(&world.s.router));
	router_fixture_close(&world.s);
}

static void each_end_of_a_send_is_told_as_the_table_says(void **state)
{
	enum { FLAGS = 5 };

	(void)state;
	for (int how = FORWARD_NOT_STARTED; how <= FORWARD_BROKEN_OFF; how++)
		for (int flags = 0; flags < 1 << FLAGS; flags++)
			for (int spent = 0; spent < SPENT_KINDS; spent++) {
				struct send_end send_end = {
					(enum forward_end)how, flags & 1,      flags >> 1 & 1, flags >> 2 & 1,
					flags >> 3 & 1,        flags >> 4 & 1, spent
				};

				check_send_end(&send_end);
			}
}

/* ---- a planned stop -------------------------------------------------------------------------------- */

/* What waits is refused, and what runs is answered, before the process ends. */
static void a_draining_process_answers_what_it_holds(void **state)
{
	struct world world = { 0 };
	struct router_event event = { .kind = ROUTER_EVENT_SHUTDOWN };
	int answered[3] = { 0, 0, 0 };

	(void)state;
	router_fixture_open(&world.s, 5);
	world_service(&world, "pool");
	world_route(&world, "route", "/", "pool");
	world_server(&world, "pool");
	world.server[0]->slots = 2;
	world_apply(&world);
	assert_non_null(ask(&world, "/x", 0));
	began(&world, router_fixture_last_call(&world.s));
	for (int i = 0; i < 2; i++)
		assert_non_null(ask(&world, "/x", 0));
	assert_int_equal(router_request_by_token(&world.s.router, 2)->state, REQUEST_RUNNING);
	assert_int_equal(router_request_by_token(&world.s.router, 3)->state, REQUEST_WAITING);
	event.args.shutdown.send_deadline_at_ms = world.s.now + 2000;
	event.args.shutdown.end_deadline_at_ms = world.s.now + 2700;
	router_fixture_step(&world.s, &event);
	while (world.s.now < event.args.shutdown.end_deadline_at_ms + 200) {
		command_list_clear(&world.s.commands);
		world.s.router.config.watch.confirmed_at_ms = world.s.now;
		router_fixture_tick(&world.s, 50);
		for (uint64_t i = 0; i < 3; i++)
			if (answered_status(&world.s, i + 1))
				answered[i] = answered_status(&world.s, i + 1);
		if (world.s.now < event.args.shutdown.send_deadline_at_ms - 50)
			assert_int_equal(arrlen(world.s.router.requests.all),
					 3); /* not sooner than it must */
	}
	assert_int_equal(answered[0], -1);
	assert_int_equal(answered[1], 502);
	assert_int_equal(answered[2], 503);
	assert_true(router_idle(&world.s.router));
	router_fixture_close(&world.s);
}

/* ---- each event in each state ---------------------------------------------------------------------------
 */

enum request_phase {
	PHASE_WAITING,   /* taken, never sent */
	PHASE_SENT,      /* at a server, nothing heard of it */
	PHASE_STREAMING, /* its client has a head */
	PHASE_RETURNED,  /* waits again; it surely never ran */
	PHASE_RESUMING,  /* waits again; its client has a part of the stream */
	PHASES
};
enum request_event {
	EVENT_ROUTE_REMOVED,
	EVENT_KEY_REMOVED,
	EVENT_OTHER_TIMES, /* another timeout, weight and wall */
	EVENT_SERVERS_DRAIN,
	EVENT_SERVERS_REMOVED,
	EVENT_NO_SERVER, /* for five seconds */
	EVENT_DEADLINE,
	EVENT_PROCESS_STOPS, /* a stop, and its grace is over */
	EVENT_CLIENT_DISCONNECTED,
	EVENTS
};
enum { ANSWER_NONE = 0, ANSWER_CLIENT_DISCONNECTED = -2 };

/* What the client hears: a status, HEARS_BROKEN, or nothing, and then the request is still under way. */
static const int hears[EVENTS][PHASES] = {
	[EVENT_ROUTE_REMOVED] = { 404, 0, 0, 404, ANSWER_BROKEN },
	[EVENT_KEY_REMOVED] = { 401, 0, 0, 401, ANSWER_BROKEN },
	[EVENT_OTHER_TIMES] = { 0, 0, 0, 0, 0 },
	[EVENT_SERVERS_DRAIN] = { 0, 0, 0, 0, 0 },
	[EVENT_SERVERS_REMOVED] = { 0, 0, 0, 0, 0 },
	[EVENT_NO_SERVER] = { 503, 0, 0, 503, ANSWER_BROKEN },
	[EVENT_DEADLINE] = { 503, 504, ANSWER_BROKEN, 503, ANSWER_BROKEN },
	[EVENT_PROCESS_STOPS] = { 503, 502, ANSWER_BROKEN, 503, ANSWER_BROKEN },
	[EVENT_CLIENT_DISCONNECTED] = { ANSWER_CLIENT_DISCONNECTED, ANSWER_CLIENT_DISCONNECTED,
					ANSWER_CLIENT_DISCONNECTED, ANSWER_CLIENT_DISCONNECTED,
					ANSWER_CLIENT_DISCONNECTED },
};

/* Rows in order: what events take away comes last. */
enum { ROW_SERVICE, ROW_TENANT, ROW_OTHER_KEY, ROW_KEY, ROW_ROUTE };

static void open_in_phase(struct world *world, enum request_phase phase)
{
	uint64_t call;

	router_fixture_open(&world->s, 5);
	world_service(world, "pool");
	world_tenant(world, "t1");
	world_key(world, 'b', "t1");
	world_key(world, 'a', "t1");
	world_stream_route(world, "route", "/", "pool");
	world->row[ROW_ROUTE]->key_optional = 0;
	if (phase != PHASE_WAITING)
		world_server(world, "pool");
	world_apply(world);
	assert_non_null(ask(world, "/x", 'a'));
	call = router_fixture_last_call(&world->s);
	assert_int_equal(call != 0, phase != PHASE_WAITING);
	if (phase == PHASE_STREAMING || phase == PHASE_RESUMING)
		began(world, call);
	if (phase == PHASE_RETURNED)
		send_ends(world, call, FORWARD_NOT_STARTED, 503, 0, NULL);
	if (phase == PHASE_RESUMING)
		send_ends(world, call, FORWARD_BROKEN_OFF, 200, 1, "3");
	if (phase != PHASE_WAITING)
		world->s.router.servers.states[0].unavailable_until_ms =
		    world->s.now + 100000; /* none takes it before the event is over */
}

static int ticks_until_answered(struct world *world, int64_t ms)
{
	int answered = 0;

	for (int64_t end = world->s.now + ms; world->s.now < end && !answered;) {
		command_list_clear(&world->s.commands);
		world->s.router.config.watch.confirmed_at_ms = world->s.now;
		router_fixture_tick(&world->s, 50);
		answered = answered_status(&world->s, 1);
	}
	return answered;
}

/* Bring an event about; what the client hears of it. */
static int event_happens(struct world *world, enum request_event event)
{
	struct router_event stop = { .kind = ROUTER_EVENT_SHUTDOWN };

	switch (event) {
	case EVENT_ROUTE_REMOVED:
		world->rows--;
		return received_table(world, 1);
	case EVENT_KEY_REMOVED:
		world->row[ROW_KEY] = world->row[--world->rows];
		return received_table(world, 1);
	case EVENT_OTHER_TIMES:
		world->row[ROW_ROUTE]->timeout_ms = 100;
		world->row[ROW_TENANT]->isolated = 1;
		world->row[ROW_SERVICE]->target_weights = "w2";
		return received_table(world, 1);
	case EVENT_SERVERS_DRAIN:
		for (size_t i = 0; i < world->servers; i++)
			world->server[i]->state = INSTANCE_DRAINING;
		return received_table(world, 1);
	case EVENT_SERVERS_REMOVED:
		world->servers = 0;
		return received_table(world, 1);
	case EVENT_NO_SERVER:
		world->servers = 0;
		return received_table(world, 1) ? 1 : ticks_until_answered(world, 5000);
	case EVENT_DEADLINE:
		world->s.router.requests.all[0]->client.deadline_at_ms = world->s.now + 200;
		return ticks_until_answered(world, 300);
	case EVENT_PROCESS_STOPS:
		stop.args.shutdown.send_deadline_at_ms = world->s.now + 200;
		stop.args.shutdown.end_deadline_at_ms = world->s.now + 900;
		router_fixture_step(&world->s, &stop);
		return ticks_until_answered(world, 1100);
	default:
		command_list_clear(&world->s.commands);
		router_fixture_disconnect(&world->s);
		return answered_status(&world->s, 1) ? 1 : ANSWER_CLIENT_DISCONNECTED;
	}
}

static enum request_outcome outcome_answered(int answered)
{
	return answered == ANSWER_CLIENT_DISCONNECTED ? REQUEST_CLIENT_DISCONNECTED
	       : answered == 503                      ? REQUEST_REFUSED
	       : answered == 401 || answered == 404   ? REQUEST_REJECTED
						      : REQUEST_BROKEN_OFF;
}

static void each_event_in_each_state_ends_as_the_table_says(void **state)
{
	(void)state;
	for (int event = 0; event < EVENTS; event++)
		for (int phase = 0; phase < PHASES; phase++) {
			struct world world = { 0 };
			int answered, cancels = 0, runs = phase == PHASE_SENT || phase == PHASE_STREAMING;

			open_in_phase(&world, (enum request_phase)phase);
			answered = event_happens(&world, (enum request_event)event);
			if (answered != hears[event][phase])
				fail_msg("event %d in phase %d: heard %d, not %d", event, phase, answered,
					 hears[event][phase]);
			assert_int_equal(arrlen(world.s.router.requests.all), answered == ANSWER_NONE);
			assert_true(router_outcomes_balance(&world.s.router));
			if (answered)
				assert_int_equal(world.s.router.stats.outcomes[outcome_answered(answered)],
						 1);
			for (ptrdiff_t i = 0; i < arrlen(world.s.commands.commands); i++)
				cancels += world.s.commands.commands[i].kind == CMD_CANCEL;
			assert_int_equal(cancels, answered && runs);
			router_fixture_close(&world.s);
		}
}

/* ---- whole fleets under planned work ------------------------------------------------------------------ */

static uint64_t seeds(uint64_t n)
{
	const char *e = getenv("NL_SEEDS");

	return e ? strtoull(e, NULL, 10) : n;
}

static uint64_t first_seed(void)
{
	const char *e = getenv("NL_SEED");

	return e ? strtoull(e, NULL, 10) : 1;
}

static uint64_t random_below(uint64_t *s, uint64_t n)
{
	return core_random(s) % n;
}

static void go(struct sim_forward *forwarding, int64_t ms)
{
	if (!sim_forward_run(forwarding, ms))
		fail_msg("seed %llu: %s", (unsigned long long)forwarding->sim.seed,
			 forwarding->sim.violation);
}

/* Two places a server, so that requests wait, are turned away and given back. */
static void crowded(struct sim_forward *forwarding)
{
	forwarding->sim.instance_list.slots = 2 + (int)(forwarding->sim.seed % 3);
	forwarding->is_planned_work_only = 1;
}

static void route_changes(struct sim_forward_config *config, int route, uint64_t *d)
{
	switch (random_below(d, 4)) {
	case 0: /* the route goes, or is back; the streams' and the first one stay */
		if (route == SIM_FORWARD_DEEP || route == SIM_FORWARD_IDEM)
			config->service[route] = config->service[route] < 0 ? (int)random_below(d, 2) : -1;
		break;
	case 1:
		if (config->service[route] >= 0)
			config->service[route] = !config->service[route];
		break;
	case 2:
		config->split[route] = config->service[route] >= 0 && !config->split[route];
		break;
	default:
		config->timeout[route] = random_below(d, 2) ? 0 : 1500 + (int)random_below(d, 3000);
	}
}

static void key_changes(struct sim_forward_config *config, int key, uint64_t *d)
{
	if (key % 2 == 0)
		return; /* one of each tenant stays */
	config->key[key] = config->key[key] < 0 ? key / 2
			   : random_below(d, 2) ? -1
						: (int)random_below(d, SIM_FORWARD_TENANTS);
}

/* The second service goes with all that leads to it, or is back. */
static void service_changes(struct sim_forward_config *config)
{
	config->removed[1] = !config->removed[1];
	for (int l = 0; l < SIM_FORWARD_ROUTES; l++) {
		if (config->removed[1] && config->service[l] == 1)
			config->service[l] = 0;
		if (config->removed[1])
			config->split[l] = 0;
	}
}

/* No route leads to a service without a row. */
static void heed_removed(struct sim_forward_config *config)
{
	for (int l = 0; l < SIM_FORWARD_ROUTES && config->removed[1]; l++) {
		if (config->service[l] == 1)
			config->service[l] = 0;
		config->split[l] = 0;
	}
}

static void one_change(struct sim_forward *forwarding, uint64_t *d)
{
	struct sim_forward_config config = arrlast(forwarding->configs);

	for (uint64_t n = 1 + random_below(d, 3); n; n--)
		switch (random_below(d, 6)) {
		case 0:
		case 1:
			route_changes(&config, (int)random_below(d, SIM_FORWARD_ROUTES), d);
			break;
		case 2:
			key_changes(&config, (int)random_below(d, SIM_FORWARD_KEYS), d);
			break;
		case 3:
			service_changes(&config);
			break;
		case 4:
			config.isolated[random_below(d, SIM_FORWARD_TENANTS)] ^= 1;
			break;
		default:
			config.max_running[random_below(d, SIM_FORWARD_TENANTS)] =
			    random_below(d, 2) ? 0 : 4 + (int)random_below(d, 30);
		}
	heed_removed(&config);
	if (!sim_forward_change(forwarding, config))
		fail_msg("seed %llu: the change is not acknowledged: %s",
			 (unsigned long long)forwarding->sim.seed, forwarding->sim.violation);
}

/* A server is drained, one that drained for long ends, or a new one comes. */
static void one_server_changes(struct sim_forward *forwarding, uint64_t *d)
{
	int i = (int)random_below(d, (uint64_t)arrlen(forwarding->sim.instance_list.instances)), stand = 0;
	struct sim_instance *instance = &forwarding->sim.instance_list.instances[i];

	for (ptrdiff_t k = 0; k < arrlen(forwarding->sim.instance_list.instances); k++)
		stand += forwarding->sim.instance_list.instances[k].up &&
			 !forwarding->sim.instance_list.instances[k].draining &&
			 !strcmp(forwarding->sim.instance_list.instances[k].service, instance->service);
	if (!instance->up)
		sim_forward_server(forwarding, instance->service[0] == 'a', random_below(d, 2) ? i : -1);
	else if (instance->draining &&
		 forwarding->sim.now - instance->drained_at > (forwarding->sim.seed % 2 ? 8000 : 3500) &&
		 (forwarding->sim.seed % 4 == 0 || !forwarding->servers[i].running))
		sim_instance_end(&forwarding->sim, i, 0);
	else if (!instance->draining && stand > 1)
		sim_instance_drain(&forwarding->sim, i);
	else if (stand < 4)
		sim_forward_server(forwarding, instance->service[0] == 'a', -1);
}

static void one_router_stops(struct sim_forward *forwarding, uint64_t *d)
{
	int node = SIM_CONTROLLERS + (int)random_below(d, (uint64_t)forwarding->router_count);

	for (int n = SIM_CONTROLLERS; n < SIM_CONTROLLERS + forwarding->router_count; n++)
		if (forwarding->stops_at[n])
			return; /* one at a time */
	sim_forward_stop(forwarding, node, 2000 + (int)random_below(d, 5000));
}

/* Hundreds of changes, servers drained and replaced, routers stopped and started again, in crowded services
 * whose servers do nothing wrong: each request ends once, and nothing is broken off but at its deadline. */
static void planned_work_loses_nothing(void **state)
{
	uint64_t submitted = 0, complete = 0, refused = 0, cut = 0, resends = 0, changes = 0, stops = 0,
		 never = 0;

	(void)state;
	for (uint64_t seed = first_seed(), n = seeds(8); n; seed++, n--) {
		struct sim_forward forwarding;
		uint64_t d = seed * 7919;

		sim_forward_open(&forwarding, seed, 4, 3, 6, crowded);
		if (forwarding.sim.violation[0])
			fail_msg("seed %llu: %s", (unsigned long long)seed, forwarding.sim.violation);
		forwarding.request_interval_ms = seed % 3 == 0 ? 4 : seed % 3 == 1 ? 10 : 25;
		for (int step = 0; step < 120; step++) {
			for (ptrdiff_t i = 0; i < arrlen(forwarding.servers); i++) {
				forwarding.servers[i].refusal_delay_ms = i % 3 == 0 ? 400 : 0;
				forwarding.servers[i].extra_chunk_interval_ms = i % 3 == 1 ? 200 : 0;
			}
			one_change(&forwarding, &d);
			changes++;
			if (!random_below(&d, 4))
				one_server_changes(&forwarding, &d);
			if (!random_below(&d, 20)) {
				one_router_stops(&forwarding, &d);
				stops++;
			}
			sim_forward_end_stopped(&forwarding);
			go(&forwarding, (int64_t)random_below(&d, 200));
		}
		forwarding.request_interval_ms = 0;
		for (int k = 0; k < 80; k++) {
			sim_forward_end_stopped(&forwarding);
			go(&forwarding, 100);
		}
		if (!sim_forward_end(&forwarding))
			fail_msg("seed %llu: %s", (unsigned long long)seed, forwarding.sim.violation);
		submitted += (uint64_t)arrlen(forwarding.requests);
		complete += forwarding.n_complete;
		refused += forwarding.n_refused;
		cut += forwarding.n_cut;
		resends += forwarding.n_resend;
		never += forwarding.n_not_run;
		sim_forward_close(&forwarding);
	}
	print_message(
	    "planned work: %llu asked, %llu whole, %llu answered otherwise, %llu cut, %llu given back, %llu resends; %llu "
	    "changes, %llu stops\n",
	    (unsigned long long)submitted, (unsigned long long)complete, (unsigned long long)refused,
	    (unsigned long long)cut, (unsigned long long)never, (unsigned long long)resends,
	    (unsigned long long)changes, (unsigned long long)stops);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_waiting_request_follows_its_route_to_another_service),
		cmocka_unit_test(a_waiting_request_falls_to_the_shorter_route),
		cmocka_unit_test(a_waiting_request_goes_with_its_key_to_another_tenant),
		cmocka_unit_test(a_waiting_request_outlives_the_end_of_keys),
		cmocka_unit_test(a_waiting_claim_comes_back_for_its_routes_new_service),
		cmocka_unit_test(a_waiting_request_that_nothing_allows_is_answered_so),
		cmocka_unit_test(a_returned_request_whose_service_was_removed_is_refused),
		cmocka_unit_test(a_returned_request_whose_key_was_removed_is_not_sent_again),
		cmocka_unit_test(a_stream_waits_a_moment_for_a_slot),
		cmocka_unit_test(a_service_that_is_back_takes_requests_at_once),
		cmocka_unit_test(a_stream_is_not_held_in_silence),
		cmocka_unit_test(one_server_turns_a_request_away),
		cmocka_unit_test(the_only_server_has_a_returned_request_again),
		cmocka_unit_test(what_may_have_run_is_not_promised_otherwise),
		cmocka_unit_test(a_split_is_not_held_up_by_one_service),
		cmocka_unit_test(a_split_refuses_nobody_for_a_head_of_another_service),
		cmocka_unit_test(each_end_of_a_send_is_told_as_the_table_says),
		cmocka_unit_test(a_draining_process_answers_what_it_holds),
		cmocka_unit_test(each_event_in_each_state_ends_as_the_table_says),
		cmocka_unit_test(planned_work_loses_nothing),
	};
	int rc;

	apr_initialize();
	if (getenv("NL_TEST"))
		cmocka_set_test_filter(getenv("NL_TEST"));
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
