/* How requests end in the router's core: each state of a request against each event that may end it. The table of states
 * and events is in docs/consistency.md, "A request in the core". */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>

#include "ds.h"
#include "sim_forward.h"
#include "solo.h"

enum { ROWS = 16, SERVERS_MOST = 8, REQUEST_LIMIT = 60000 };

/* A table under construction, and the servers of its list. */
struct world {
	struct solo s;
	struct Nl__Row *row[ROWS];
	struct Nl__Instance *server[SERVERS_MOST];
	size_t rows, servers;
	uint64_t edition;
};

static struct Nl__Row *world_service(struct world *w, const char *name) { return w->row[w->rows++] = new_service(w->s.p, name); }

static struct Nl__Row *world_route(struct world *w, const char *name, const char *path, const char *service)
{
	struct Nl__Row *r = w->row[w->rows++] = new_row(w->s.p, NL__KIND__LANE, name);

	r->service = apr_pstrdup(w->s.p, service);
	r->host = "h";
	r->path = apr_pstrdup(w->s.p, path);
	r->limit = 10;
	r->attempts = 3;
	r->open = 1;
	return r;
}

static void world_key(struct world *w, char letter, const char *tenant)
{
	char digest[65];

	memset(digest, letter, 64);
	digest[64] = 0;
	w->row[w->rows++] = new_row(w->s.p, NL__KIND__KEY, digest);
	w->row[w->rows - 1]->tenant = apr_pstrdup(w->s.p, tenant);
}

static struct Nl__Row *world_tenant(struct world *w, const char *name)
{
	struct Nl__Row *r = w->row[w->rows++] = new_row(w->s.p, NL__KIND__TENANT, name);

	r->share = 1;
	return r;
}

static void world_server(struct world *w, const char *service)
{
	w->server[w->servers] = new_sight(w->s.p, (int)w->servers, service);
	w->servers++;
}

/* Put the table into force; the commands of that step stay in w->s.o. */
static void world_apply(struct world *w) { solo_table(&w->s, w->row, w->rows, w->server, w->servers, ++w->edition); }

/* The answer that a caller got in the last step; 0: none, -1: its stream was broken off. */
static int heard(const struct solo *s, uint64_t token)
{
	int status = 0, ends = 0;

	for (ptrdiff_t i = 0; i < arrlen(s->o.v); i++) {
		const struct cmd *k = &s->o.v[i];

		if (k->kind == CMD_ANSWER && k->u.answer.token == token) {
			status = k->u.answer.status;
			ends++;
		} else if (k->kind == CMD_END && k->u.piece.token == token) {
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
	struct router_asking a;
	struct router_ev ev;
	char digest[65];

	memset(&a, 0, sizeof a);
	memset(&ev, 0, sizeof ev);
	memset(digest, key, 64);
	digest[64] = 0;
	a.token = ++w->s.token;
	a.digest = key ? digest : NULL;
	a.host = "h";
	a.path = path;
	a.id = apr_psprintf(w->s.p, "id-%d", (int)w->s.token);
	a.limit_ms = REQUEST_LIMIT;
	a.tokens_in = 2000;
	a.tokens_out = 100;
	ev.kind = ROUTER_ASKED;
	ev.u.ask = &a;
	out_clear(&w->s.o);
	solo_step(&w->s, &ev);
	return router_request_by(&w->s.c, a.token);
}

/* How a send ends, without letting time pass. */
static void send_ends(struct world *w, uint64_t call, enum router_end how, int status, int began, const char *since)
{
	struct router_ended e = { .token = call, .how = how, .status = status, .began = began, .since = since };
	struct router_ev ev = { .kind = ROUTER_ENDED };

	ev.u.ended = &e;
	out_clear(&w->s.o);
	solo_step(&w->s, &ev);
}

static void began(struct world *w, uint64_t call)
{
	struct router_ev ev = { .kind = ROUTER_BEGAN };

	ev.u.began.token = call;
	out_clear(&w->s.o);
	solo_step(&w->s, &ev);
}

/* The server that the newest send went to, or NULL. */
static const char *sent_to(const struct solo *s)
{
	for (ptrdiff_t i = arrlen(s->o.v) - 1; i >= 0; i--)
		if (s->o.v[i].kind == CMD_FORWARD)
			return s->o.v[i].u.forward->server;
	return NULL;
}

/* Put the table into force, and say what the caller of a request heard of it. */
static int heard_of_table(struct world *w, uint64_t token)
{
	uint64_t follow = 0;
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__ConfigSyncReply r = NL__CONFIG_SYNC_REPLY__INIT;

	out_clear(&w->s.o);
	solo_tick(&w->s, 300);
	for (ptrdiff_t i = 0; i < arrlen(w->s.o.v); i++)
		if (w->s.o.v[i].kind == CMD_SEND && w->s.o.v[i].u.send.msg->body_case == NL__MSG__BODY_FOLLOW)
			follow = w->s.o.v[i].u.send.msg->follow->token;
	assert_true(follow);
	out_clear(&w->s.o);
	r.token = follow;
	r.has_lease = r.whole = r.instances_whole = 1;
	r.fleet = 7;
	r.edition = r.instances = ++w->edition;
	r.set = w->row;
	r.n_set = w->rows;
	r.instance = w->server;
	r.n_instance = w->servers;
	r.counters = 1;
	m.body_case = NL__MSG__BODY_FOLLOW_REPLY;
	m.follow_reply = &r;
	m.addr = m.id = 1;
	solo_msg(&w->s, &m);
	return heard(&w->s, token);
}

/* ---- a new route table over requests that wait ------------------------------------------------- */

/* Its service goes and its route has another one: it goes to that one. */
static void a_waiting_request_follows_its_route_to_another_service(void **st)
{
	struct world w = { 0 };
	struct Nl__Row *route;
	struct client_request *x;

	(void)st;
	solo_open(&w.s, 5);
	route = world_route(&w, "route", "/", "old");
	world_service(&w, "new");
	world_service(&w, "old");
	world_apply(&w);
	assert_non_null(x = ask(&w, "/x", 0));
	assert_int_equal(x->state, REQUEST_WAITING);
	route->service = "new";
	w.rows--;
	world_server(&w, "new");
	assert_int_equal(heard_of_table(&w, 1), 0);
	solo_tick(&w.s, 20);
	assert_non_null(sent_to(&w.s));
	solo_close(&w.s);
}

/* Its route goes, and a shorter one takes its path: it goes by that one. */
static void a_waiting_request_falls_to_the_shorter_route(void **st)
{
	struct world w = { 0 };
	struct client_request *x;

	(void)st;
	solo_open(&w.s, 5);
	world_service(&w, "new");
	world_service(&w, "old");
	world_route(&w, "short", "/", "new");
	world_route(&w, "deep", "/x/", "old");
	world_apply(&w);
	assert_non_null(x = ask(&w, "/x/y", 0));
	w.rows--;
	world_server(&w, "new");
	assert_int_equal(heard_of_table(&w, 1), 0);
	solo_tick(&w.s, 20);
	assert_non_null(sent_to(&w.s));
	solo_close(&w.s);
}

/* Its key passes to another tenant: it is that one's. */
static void a_waiting_request_goes_with_its_key_to_another_tenant(void **st)
{
	struct world w = { 0 };
	struct client_request *x;

	(void)st;
	solo_open(&w.s, 5);
	world_service(&w, "pool");
	world_route(&w, "route", "/", "pool")->open = 0;
	world_tenant(&w, "t1");
	world_tenant(&w, "t2");
	world_key(&w, 'a', "t1");
	world_apply(&w);
	assert_non_null(x = ask(&w, "/x", 'a'));
	w.row[w.rows - 1]->tenant = "t2";
	world_server(&w, "pool");
	assert_int_equal(heard_of_table(&w, 1), 0);
	solo_tick(&w.s, 20);
	assert_non_null(sent_to(&w.s));
	for (ptrdiff_t i = 0; i < arrlen(w.s.o.v); i++)
		if (w.s.o.v[i].kind == CMD_FORWARD)
			assert_string_equal(w.s.o.v[i].u.forward->tenant, "t2");
	solo_close(&w.s);
}

/* Keys are no longer asked for: whoever waits with one goes on without. */
static void a_waiting_request_outlives_the_end_of_keys(void **st)
{
	struct world w = { 0 };
	struct client_request *x;

	(void)st;
	solo_open(&w.s, 5);
	world_service(&w, "pool");
	world_route(&w, "route", "/", "pool");
	world_tenant(&w, "t1");
	world_key(&w, 'a', "t1");
	world_apply(&w);
	assert_non_null(x = ask(&w, "/x", 'a'));
	w.rows -= 2;
	world_server(&w, "pool");
	assert_int_equal(heard_of_table(&w, 1), 0);
	solo_tick(&w.s, 20);
	assert_non_null(sent_to(&w.s));
	solo_close(&w.s);
}

/* On the product's own interface a claim binds a request to its service's owner: it is refused, and comes back. */
static void a_waiting_claim_comes_back_for_its_lanes_new_service(void **st)
{
	struct world w = { 0 };
	struct Nl__Row *route;
	struct router_ev ev = { .kind = ROUTER_EXCHANGE };
	char digest[65];

	(void)st;
	solo_open(&w.s, 5);
	route = world_route(&w, "route", "/", "old");
	world_service(&w, "new");
	world_service(&w, "old");
	world_tenant(&w, "t1");
	world_key(&w, 'a', "t1");
	world_apply(&w);
	memset(digest, 'a', 64);
	digest[64] = 0;
	ev.u.exchange.token = 1;
	ev.u.exchange.digest = digest;
	ev.u.exchange.body = "{\"lane\":\"route\",\"id\":\"x\",\"tail\":\"t\"}";
	solo_step(&w.s, &ev);
	assert_int_equal(arrlen(w.s.c.all), 1);
	route->service = "new";
	assert_int_equal(heard_of_table(&w, 1), 503);
	solo_close(&w.s);
}

/* Neither a route nor a key is left for it: 404 and 401, at once. */
static void a_waiting_request_that_nothing_allows_is_told_so(void **st)
{
	(void)st;
	for (int key = 0; key < 2; key++) {
		struct world w = { 0 };

		solo_open(&w.s, 5);
		world_service(&w, "pool");
		world_tenant(&w, "t1");
		world_key(&w, 'b', "t1");
		if (key) {
			world_route(&w, "route", "/", "pool")->open = 0;
			world_key(&w, 'a', "t1");
		} else {
			world_key(&w, 'a', "t1");
			world_route(&w, "route", "/", "pool")->open = 0;
		}
		world_apply(&w);
		assert_non_null(ask(&w, "/x", 'a'));
		w.rows--;
		assert_int_equal(heard_of_table(&w, 1), key ? 401 : 404);
		assert_int_equal(arrlen(w.s.c.all), 0);
		solo_close(&w.s);
	}
}

/* ---- a new route table over requests at servers ------------------------------------------------------ */

/* It was sent; its service goes; its server turns it away: it is refused, and the process lives. */
static void a_request_given_back_after_its_service_went_is_refused(void **st)
{
	struct world w = { 0 };
	uint64_t call;

	(void)st;
	solo_open(&w.s, 5);
	world_service(&w, "stays");
	world_route(&w, "other", "/other/", "stays");
	world_service(&w, "goes");
	world_route(&w, "route", "/", "goes");
	for (int i = 0; i < 2; i++)
		world_server(&w, "goes");
	world_apply(&w);
	for (int i = 0; i < 6; i++)
		assert_non_null(ask(&w, "/x", 0));
	call = solo_sent(&w.s);
	assert_true(call);
	w.rows -= 2;
	assert_int_equal(heard_of_table(&w, 6), 0);
	send_ends(&w, call, ROUTER_NEVER, 503, 0, NULL);
	assert_int_equal(heard(&w.s, 6), 404);
	assert_null(sent_to(&w.s));
	assert_int_equal(arrlen(w.s.c.all), 5);
	solo_close(&w.s);
}

/* It was sent; its key goes; its server turns it away: it is not sent again with that key. */
static void a_request_given_back_after_its_key_went_is_not_sent_again(void **st)
{
	struct world w = { 0 };

	(void)st;
	solo_open(&w.s, 5);
	world_service(&w, "pool");
	world_route(&w, "route", "/", "pool")->open = 0;
	world_tenant(&w, "t1");
	world_key(&w, 'b', "t1");
	world_key(&w, 'a', "t1");
	for (int i = 0; i < 2; i++)
		world_server(&w, "pool");
	world_apply(&w);
	assert_non_null(ask(&w, "/x", 'a'));
	assert_non_null(sent_to(&w.s));
	w.rows--;
	{
		uint64_t call = solo_sent(&w.s);

		assert_int_equal(heard_of_table(&w, 1), 0);
		send_ends(&w, call, ROUTER_NEVER, 503, 0, NULL);
	}
	assert_int_equal(heard(&w.s, 1), 401);
	assert_null(sent_to(&w.s));
	solo_close(&w.s);
}

/* A service was away for long and is back with its servers: a request for it is sent, not refused. */
static void a_service_that_is_back_takes_requests_at_once(void **st)
{
	struct world w = { 0 };

	(void)st;
	solo_open(&w.s, 5);
	world_service(&w, "stays");
	world_route(&w, "other", "/other/", "stays");
	world_service(&w, "goes");
	world_route(&w, "route", "/", "goes");
	world_apply(&w);
	w.rows -= 2;
	world_apply(&w);
	for (int i = 0; i < 100; i++) {
		w.s.c.f.fresh = w.s.now;
		solo_tick(&w.s, 100);
	}
	w.rows += 2;
	world_server(&w, "goes");
	world_apply(&w);
	assert_non_null(ask(&w, "/x", 0));
	assert_non_null(sent_to(&w.s));
	solo_close(&w.s);
}

/* ---- requests that are given back ---------------------------------------------------------------- */

/* A stream broke off, and no server has a place: it waits a moment, and goes on once one has. */
static void a_stream_waits_a_moment_for_a_place(void **st)
{
	struct world w = { 0 };
	uint64_t first, call;

	(void)st;
	solo_open(&w.s, 5);
	world_service(&w, "pool");
	world_route(&w, "route", "/", "pool")->resumable = 1;
	for (int i = 0; i < 2; i++) {
		world_server(&w, "pool");
		w.server[i]->slots = 1;
	}
	world_apply(&w);
	assert_non_null(ask(&w, "/x", 0));
	first = solo_sent(&w.s);
	assert_non_null(ask(&w, "/x", 0));
	call = solo_sent(&w.s);
	began(&w, call);
	solo_tick(&w.s, 100);
	began(&w, first);
	for (int i = 0; i < 700; i++) { /* over half of its time: the queue was empty meanwhile */
		w.s.c.f.fresh = w.s.now;
		solo_tick(&w.s, 50);
	}
	send_ends(&w, call, ROUTER_BROKE, 200, 1, "3");
	assert_int_equal(heard(&w.s, 2), 0);
	assert_null(sent_to(&w.s));
	out_clear(&w.s.o);
	w.s.c.f.fresh = w.s.now;
	solo_tick(&w.s, 50);
	assert_int_equal(heard(&w.s, 2), 0);
	send_ends(&w, first, ROUTER_WHOLE, 200, 1, "9");
	solo_tick(&w.s, 20);
	assert_non_null(sent_to(&w.s));
	solo_close(&w.s);
}

/* A stream broke off, and no server has a place for long: its client is told while it still listens, so that it can take the
 * stream up by itself. Its patience is two seconds, four times the aim or eight times the pause, whichever is longest. */
static void a_stream_is_not_held_in_silence(void **st)
{
	(void)st;
	for (int pause = 0; pause <= 1000; pause += 1000) {
		struct world w = { 0 };
		struct Nl__Row *route;
		uint64_t call;
		int64_t from;
		int status = 0, patience = pause ? 8 * pause : 2000;

		solo_open(&w.s, 5);
		world_service(&w, "pool");
		route = world_route(&w, "route", "/", "pool");
		route->resumable = 1;
		route->pause = (uint32_t)pause;
		for (int i = 0; i < 2; i++) {
			world_server(&w, "pool");
			w.server[i]->slots = 1;
		}
		world_apply(&w);
		for (int i = 0; i < 2; i++)
			assert_non_null(ask(&w, "/x", 0));
		call = solo_sent(&w.s);
		began(&w, call);
		send_ends(&w, call, ROUTER_BROKE, 200, 1, "3");
		assert_non_null(ask(&w, "/x", 0)); /* it takes the place: the stream's server is to be avoided for now */
		from = w.s.now;
		while (!status && w.s.now - from < 20000) {
			out_clear(&w.s.o);
			w.s.c.f.fresh = w.s.now;
			w.s.c.sv[1].bad_until = w.s.c.sv[0].bad_until = w.s.now + 100;
			solo_tick(&w.s, 50);
			status = heard(&w.s, 2);
		}
		assert_int_equal(status, -1);
		assert_in_range(w.s.now - from, patience / 2, patience - 200);
		solo_close(&w.s);
	}
}

/* The one server that stands turned it away: it is neither held until its limit, nor does it hold up others. */
static void one_server_turns_a_request_away(void **st)
{
	struct world w = { 0 };
	int64_t from;
	int sent = 0, status = 0;

	(void)st;
	solo_open(&w.s, 5);
	world_service(&w, "pool");
	world_route(&w, "route", "/", "pool");
	world_server(&w, "pool");
	world_apply(&w);
	assert_non_null(ask(&w, "/x", 0));
	send_ends(&w, solo_sent(&w.s), ROUTER_NEVER, 503, 0, NULL);
	from = w.s.now;
	ask(&w, "/x", 0);
	for (int i = 0; i < 20 && !(sent || status); i++) {
		out_clear(&w.s.o);
		w.s.c.f.fresh = w.s.now;
		solo_tick(&w.s, 50);
		sent = sent_to(&w.s) != NULL;
		status = heard(&w.s, 1);
	}
	assert_true(sent || status == 503);
	assert_true(w.s.now - from <= 500);
	solo_close(&w.s);
}

/* A lane whose requests go to a service with one server of few places, and to one without any. */
static void split_open(struct world *w, int slots)
{
	struct Nl__Row *route;

	solo_open(&w->s, 5);
	world_service(w, "up");
	world_service(w, "down");
	route = world_route(w, "route", "/", "up");
	route->limit = 100;
	route->split = apr_palloc(w->s.p, 2 * sizeof *route->split);
	for (route->n_split = 0; route->n_split < 2; route->n_split++) {
		struct Nl__Split *half = apr_palloc(w->s.p, sizeof *half);

		nl__split__init(half);
		half->service = w->row[route->n_split]->name;
		half->weight = 1;
		route->split[route->n_split] = half;
	}
	world_server(w, "up");
	w->server[0]->slots = (uint32_t)slots;
	world_apply(w);
}

static int is_for(const struct world *w, const struct client_request *x, const char *service)
{
	return !strcmp(w->s.c.services.name[x->service], service);
}

static void time_passes(struct world *w, int64_t ms)
{
	for (int64_t end = w->s.now + ms; w->s.now < end;) {
		w->s.c.f.fresh = w->s.now;
		solo_tick(&w->s, 50);
	}
}

/* The one that runs ends; sends go out in the order in which they were asked. */
static uint64_t one_ends(struct world *w, uint64_t last)
{
	for (ptrdiff_t k = 0; k < arrlen(w->s.c.all); k++)
		if (w->s.c.all[k]->state == REQUEST_RUNNING) {
			send_ends(w, w->s.c.all[k]->call, ROUTER_WHOLE, 200, 1, NULL);
			break;
		}
	time_passes(w, 50);
	for (ptrdiff_t k = 0; k < arrlen(w->s.o.v); k++)
		if (w->s.o.v[k].kind == CMD_FORWARD) {
			assert_true(w->s.o.v[k].u.forward->caller > last);
			last = w->s.o.v[k].u.forward->caller;
		}
	return last;
}

/* Half of a lane's requests are for a service without a server: the others pass them, in order. */
static void a_split_is_not_held_up_by_one_service(void **st)
{
	struct world w = { 0 };
	int sent = 0, told = 0, waiting;
	uint64_t last = 0;

	(void)st;
	split_open(&w, 3);
	for (int i = 0; i < 12; i++) {
		assert_non_null(ask(&w, "/x", 0));
		solo_tick(&w.s, 20);
		sent += solo_sent(&w.s) != 0;
	}
	assert_int_equal(sent, 3);
	for (int i = 0; i < 20; i++)
		last = one_ends(&w, last);
	waiting = (int)arrlen(w.s.c.all);
	assert_in_range(waiting, 1, 9);
	for (ptrdiff_t k = 0; k < waiting; k++)
		assert_true(is_for(&w, w.s.c.all[k], "down"));
	for (int i = 0; i < 100; i++) {
		out_clear(&w.s.o);
		time_passes(&w, 50);
		for (uint64_t k = 1; k <= 12; k++)
			told += heard(&w.s, k) == 503;
	}
	assert_int_equal(told, waiting);
	solo_close(&w.s);
}

/* The head of a line stands still for a service without a server: one of another service, with little time, is not told that
 * the line is too long. */
static void a_split_refuses_nobody_for_a_head_of_another_service(void **st)
{
	struct world w = { 0 };
	struct client_request *x;

	(void)st;
	split_open(&w, 1);
	do { /* the head is for the service that is down, and the server's one place is taken */
		assert_non_null(x = ask(&w, "/x", 0));
		time_passes(&w, 50);
	} while (is_for(&w, x, "up"));
	time_passes(&w, 2500);
	do
		assert_non_null(x = ask(&w, "/x", 0));
	while (!is_for(&w, x, "up"));
	assert_int_equal(x->state, REQUEST_WAITING);
	x->limit = w.s.now + 2000;
	out_clear(&w.s.o);
	time_passes(&w, 100);
	assert_int_equal(heard(&w.s, w.s.token), 0);
	assert_ptr_equal(router_request_by(&w.s.c, w.s.token), x);
	solo_close(&w.s);
}

/* What the caller hears of each way in which a send can end, in each state: 0: nothing, and it is sent again. */
enum { HEARS_SENT_AGAIN = 0, HEARS_BROKEN = -1 };
struct send_end {
	enum router_end how;
	int begun, ran, repeatable, resumable, since; /* of the request, with what this end says */
	int spent;                                    /* why it may go to no other server; 0: it may */
};
enum { SPENT_ATTEMPTS = 1, SPENT_BUDGET, SPENT_TIME, SPENT_KINDS };

/* The first table of docs/consistency.md, "A request in the core". */
static int expected(const struct send_end *e)
{
	int runs_again = e->begun ? e->resumable && e->since : e->how == ROUTER_NEVER || e->repeatable || e->resumable;

	if (runs_again && !e->spent)
		return HEARS_SENT_AGAIN;
	if (e->begun)
		return HEARS_BROKEN;
	return e->how == ROUTER_NEVER && !e->ran ? 503 : 502;
}

static void check_send_end(const struct send_end *e)
{
	struct world w = { 0 };
	struct client_request *x;
	uint64_t call;

	solo_open(&w.s, 5);
	world_service(&w, "pool");
	world_route(&w, "route", "/", "pool");
	for (int i = 0; i < 2; i++)
		world_server(&w, "pool");
	world_apply(&w);
	x = ask(&w, "/x", 0);
	assert_non_null(x);
	call = solo_sent(&w.s);
	x->begun = e->begun;
	x->ran = e->ran;
	x->repeatable = e->repeatable;
	x->resumable = e->resumable;
	if (e->spent == SPENT_ATTEMPTS)
		x->attempts = 1;
	if (e->spent == SPENT_BUDGET)
		w.s.c.budget[x->service] = 0;
	if (e->spent == SPENT_TIME)
		x->limit = w.s.now + 10;
	send_ends(&w, call, e->how, e->how == ROUTER_NEVER ? 503 : 200, e->begun, e->since ? "3" : NULL);
	if (heard(&w.s, 1) != expected(e))
		fail_msg("how %d begun %d ran %d repeatable %d resumable %d since %d spent %d: heard %d, not %d", (int)e->how,
			 e->begun, e->ran, e->repeatable, e->resumable, e->since, e->spent, heard(&w.s, 1), expected(e));
	assert_int_equal(sent_to(&w.s) != NULL, expected(e) == HEARS_SENT_AGAIN);
	assert_int_equal(arrlen(w.s.c.all), expected(e) == HEARS_SENT_AGAIN);
	assert_true(router_balanced(&w.s.c));
	solo_close(&w.s);
}

static void each_end_of_a_send_is_told_as_the_table_says(void **st)
{
	enum { FLAGS = 5 };

	(void)st;
	for (int how = ROUTER_NEVER; how <= ROUTER_BROKE; how++)
		for (int flags = 0; flags < 1 << FLAGS; flags++)
			for (int spent = 0; spent < SPENT_KINDS; spent++) {
				struct send_end e = { (enum router_end)how, flags & 1,      flags >> 1 & 1, flags >> 2 & 1,
						      flags >> 3 & 1,       flags >> 4 & 1, spent };

				check_send_end(&e);
			}
}

/* ---- a planned stop -------------------------------------------------------------------------------- */

/* What waits is refused, and what runs is answered, before the process ends. */
static void a_process_that_leaves_answers_what_it_holds(void **st)
{
	struct world w = { 0 };
	struct router_ev ev = { .kind = ROUTER_STOP };
	int told[3] = { 0, 0, 0 };

	(void)st;
	solo_open(&w.s, 5);
	world_service(&w, "pool");
	world_route(&w, "route", "/", "pool");
	world_server(&w, "pool");
	w.server[0]->slots = 2;
	world_apply(&w);
	assert_non_null(ask(&w, "/x", 0));
	began(&w, solo_sent(&w.s));
	for (int i = 0; i < 2; i++)
		assert_non_null(ask(&w, "/x", 0));
	assert_int_equal(router_request_by(&w.s.c, 2)->state, REQUEST_RUNNING);
	assert_int_equal(router_request_by(&w.s.c, 3)->state, REQUEST_WAITING);
	ev.u.stop.send_until = w.s.now + 2000;
	ev.u.stop.run_until = w.s.now + 2700;
	solo_step(&w.s, &ev);
	while (w.s.now < ev.u.stop.run_until + 200) {
		out_clear(&w.s.o);
		w.s.c.f.fresh = w.s.now;
		solo_tick(&w.s, 50);
		for (uint64_t i = 0; i < 3; i++)
			if (heard(&w.s, i + 1))
				told[i] = heard(&w.s, i + 1);
		if (w.s.now < ev.u.stop.send_until - 50)
			assert_int_equal(arrlen(w.s.c.all), 3); /* not sooner than it must */
	}
	assert_int_equal(told[0], -1);
	assert_int_equal(told[1], 502);
	assert_int_equal(told[2], 503);
	assert_true(router_idle(&w.s.c));
	solo_close(&w.s);
}

/* ---- each event in each state --------------------------------------------------------------------------- */

enum request_phase {
	PHASE_WAITING,    /* taken, never sent */
	PHASE_SENT,       /* at a server, nothing heard of it */
	PHASE_STREAMING,  /* its client has a head */
	PHASE_GIVEN_BACK, /* waits again; it surely never ran */
	PHASE_TAKE_UP,    /* waits again; its client has a part of the stream */
	PHASES
};
enum request_event {
	EVENT_ROUTE_GONE,
	EVENT_KEY_GONE,
	EVENT_OTHER_TIMES, /* another timeout, weight and wall */
	EVENT_SERVERS_DRAIN,
	EVENT_SERVERS_GONE,
	EVENT_NO_SERVER, /* for five seconds */
	EVENT_DEADLINE,
	EVENT_LEAVE, /* a stop, and its grace is over */
	EVENT_CLIENT_GONE,
	EVENTS
};
enum { HEARS_NOTHING = 0, HEARS_CLIENT_GONE = -2 };

/* What the client hears: a status, HEARS_BROKEN, or nothing, and then the request is still under way. */
static const int hears[EVENTS][PHASES] = {
	[EVENT_ROUTE_GONE] = { 404, 0, 0, 404, HEARS_BROKEN },
	[EVENT_KEY_GONE] = { 401, 0, 0, 401, HEARS_BROKEN },
	[EVENT_OTHER_TIMES] = { 0, 0, 0, 0, 0 },
	[EVENT_SERVERS_DRAIN] = { 0, 0, 0, 0, 0 },
	[EVENT_SERVERS_GONE] = { 0, 0, 0, 0, 0 },
	[EVENT_NO_SERVER] = { 503, 0, 0, 503, HEARS_BROKEN },
	[EVENT_DEADLINE] = { 503, 504, HEARS_BROKEN, 503, HEARS_BROKEN },
	[EVENT_LEAVE] = { 503, 502, HEARS_BROKEN, 503, HEARS_BROKEN },
	[EVENT_CLIENT_GONE] = { HEARS_CLIENT_GONE, HEARS_CLIENT_GONE, HEARS_CLIENT_GONE, HEARS_CLIENT_GONE, HEARS_CLIENT_GONE },
};

/* Rows in order: what events take away comes last. */
enum { ROW_SERVICE, ROW_TENANT, ROW_OTHER_KEY, ROW_KEY, ROW_ROUTE };

static void open_in_phase(struct world *w, enum request_phase phase)
{
	uint64_t call;

	solo_open(&w->s, 5);
	world_service(w, "pool");
	world_tenant(w, "t1");
	world_key(w, 'b', "t1");
	world_key(w, 'a', "t1");
	world_route(w, "route", "/", "pool")->resumable = 1;
	w->row[ROW_ROUTE]->open = 0;
	if (phase != PHASE_WAITING)
		world_server(w, "pool");
	world_apply(w);
	assert_non_null(ask(w, "/x", 'a'));
	call = solo_sent(&w->s);
	assert_int_equal(call != 0, phase != PHASE_WAITING);
	if (phase == PHASE_STREAMING || phase == PHASE_TAKE_UP)
		began(w, call);
	if (phase == PHASE_GIVEN_BACK)
		send_ends(w, call, ROUTER_NEVER, 503, 0, NULL);
	if (phase == PHASE_TAKE_UP)
		send_ends(w, call, ROUTER_BROKE, 200, 1, "3");
	if (phase != PHASE_WAITING)
		w->s.c.sv[0].bad_until = w->s.now + 100000; /* none takes it before the event is over */
}

static int ticks_until_heard(struct world *w, int64_t ms)
{
	int told = 0;

	for (int64_t end = w->s.now + ms; w->s.now < end && !told;) {
		out_clear(&w->s.o);
		w->s.c.f.fresh = w->s.now;
		solo_tick(&w->s, 50);
		told = heard(&w->s, 1);
	}
	return told;
}

/* Bring an event about; what the client hears of it. */
static int event_happens(struct world *w, enum request_event event)
{
	struct router_ev stop = { .kind = ROUTER_STOP };

	switch (event) {
	case EVENT_ROUTE_GONE: w->rows--; return heard_of_table(w, 1);
	case EVENT_KEY_GONE: w->row[ROW_KEY] = w->row[--w->rows]; return heard_of_table(w, 1);
	case EVENT_OTHER_TIMES:
		w->row[ROW_ROUTE]->timeout = 100;
		w->row[ROW_TENANT]->walled = 1;
		w->row[ROW_SERVICE]->weights = "w2";
		return heard_of_table(w, 1);
	case EVENT_SERVERS_DRAIN:
		for (size_t i = 0; i < w->servers; i++)
			w->server[i]->state = INSTANCE_DRAINING;
		return heard_of_table(w, 1);
	case EVENT_SERVERS_GONE: w->servers = 0; return heard_of_table(w, 1);
	case EVENT_NO_SERVER: w->servers = 0; return heard_of_table(w, 1) ? 1 : ticks_until_heard(w, 5000);
	case EVENT_DEADLINE: w->s.c.all[0]->limit = w->s.now + 200; return ticks_until_heard(w, 300);
	case EVENT_LEAVE:
		stop.u.stop.send_until = w->s.now + 200;
		stop.u.stop.run_until = w->s.now + 900;
		solo_step(&w->s, &stop);
		return ticks_until_heard(w, 1100);
	default:
		out_clear(&w->s.o);
		solo_gone(&w->s);
		return heard(&w->s, 1) ? 1 : HEARS_CLIENT_GONE;
	}
}

static enum request_outcome outcome_heard(int told)
{
	return told == HEARS_CLIENT_GONE    ? REQUEST_CLIENT_GONE
	       : told == 503                ? REQUEST_REFUSED
	       : told == 401 || told == 404 ? REQUEST_REJECTED
					    : REQUEST_BROKEN_OFF;
}

static void each_event_in_each_state_ends_as_the_table_says(void **st)
{
	(void)st;
	for (int event = 0; event < EVENTS; event++)
		for (int phase = 0; phase < PHASES; phase++) {
			struct world w = { 0 };
			int told, cancels = 0, runs = phase == PHASE_SENT || phase == PHASE_STREAMING;

			open_in_phase(&w, (enum request_phase)phase);
			told = event_happens(&w, (enum request_event)event);
			if (told != hears[event][phase])
				fail_msg("event %d in phase %d: heard %d, not %d", event, phase, told, hears[event][phase]);
			assert_int_equal(arrlen(w.s.c.all), told == HEARS_NOTHING);
			assert_true(router_balanced(&w.s.c));
			if (told)
				assert_int_equal(w.s.c.n.outcome[outcome_heard(told)], 1);
			for (ptrdiff_t i = 0; i < arrlen(w.s.o.v); i++)
				cancels += w.s.o.v[i].kind == CMD_CANCEL;
			assert_int_equal(cancels, told && runs);
			solo_close(&w.s);
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

static uint64_t dice(uint64_t *s, uint64_t n) { return core_rand(s) % n; }

static void go(struct fw *f, int64_t ms)
{
	if (!fw_run(f, ms))
		fail_msg("seed %llu: %s", (unsigned long long)f->s.seed, f->s.bad);
}

/* Two places a server, so that requests wait, are turned away and given back. */
static void crowded(struct fw *f)
{
	f->s.list.slots = 2 + (int)(f->s.seed % 3);
	f->planned = 1;
}

static void lane_changes(struct fw_conf *c, int lane, uint64_t *d)
{
	switch (dice(d, 4)) {
	case 0: /* the lane goes, or is back; the streams' and the first one stay */
		if (lane == FW_DEEP || lane == FW_IDEM)
			c->service[lane] = c->service[lane] < 0 ? (int)dice(d, 2) : -1;
		break;
	case 1:
		if (c->service[lane] >= 0)
			c->service[lane] = !c->service[lane];
		break;
	case 2: c->split[lane] = c->service[lane] >= 0 && !c->split[lane]; break;
	default: c->timeout[lane] = dice(d, 2) ? 0 : 1500 + (int)dice(d, 3000);
	}
}

static void key_changes(struct fw_conf *c, int key, uint64_t *d)
{
	if (key % 2 == 0)
		return; /* one of each tenant stays */
	c->key[key] = c->key[key] < 0 ? key / 2 : dice(d, 2) ? -1 : (int)dice(d, FW_TENANTS);
}

/* The second service goes with all that leads to it, or is back. */
static void service_changes(struct fw_conf *c)
{
	c->gone[1] = !c->gone[1];
	for (int l = 0; l < FW_LANES; l++) {
		if (c->gone[1] && c->service[l] == 1)
			c->service[l] = 0;
		if (c->gone[1])
			c->split[l] = 0;
	}
}

/* No lane leads to a service without a row. */
static void heed_gone(struct fw_conf *c)
{
	for (int l = 0; l < FW_LANES && c->gone[1]; l++) {
		if (c->service[l] == 1)
			c->service[l] = 0;
		c->split[l] = 0;
	}
}

static void one_change(struct fw *f, uint64_t *d)
{
	struct fw_conf c = arrlast(f->conf);

	for (uint64_t n = 1 + dice(d, 3); n; n--)
		switch (dice(d, 6)) {
		case 0:
		case 1: lane_changes(&c, (int)dice(d, FW_LANES), d); break;
		case 2: key_changes(&c, (int)dice(d, FW_KEYS), d); break;
		case 3: service_changes(&c); break;
		case 4: c.walled[dice(d, FW_TENANTS)] ^= 1; break;
		default: c.places[dice(d, FW_TENANTS)] = dice(d, 2) ? 0 : 4 + (int)dice(d, 30);
		}
	heed_gone(&c);
	if (!fw_change(f, c))
		fail_msg("seed %llu: the change is not acknowledged: %s", (unsigned long long)f->s.seed, f->s.bad);
}

/* A server is drained, one that drained for long ends, or a new one comes. */
static void one_server_changes(struct fw *f, uint64_t *d)
{
	int i = (int)dice(d, (uint64_t)arrlen(f->s.list.v)), stand = 0;
	struct sim_inst *v = &f->s.list.v[i];

	for (ptrdiff_t k = 0; k < arrlen(f->s.list.v); k++)
		stand += f->s.list.v[k].up && !f->s.list.v[k].draining && !strcmp(f->s.list.v[k].service, v->service);
	if (!v->up)
		fw_server(f, v->service[0] == 'a', dice(d, 2) ? i : -1);
	else if (v->draining && f->s.now - v->drained > (f->s.seed % 2 ? 8000 : 3500) && (f->s.seed % 4 == 0 || !f->v[i].running))
		sim_inst_end(&f->s, i, 0);
	else if (!v->draining && stand > 1)
		sim_inst_drain(&f->s, i);
	else if (stand < 4)
		fw_server(f, v->service[0] == 'a', -1);
}

static void one_router_stops(struct fw *f, uint64_t *d)
{
	int node = SIM_REGS + (int)dice(d, (uint64_t)f->ctrs);

	for (int n = SIM_REGS; n < SIM_REGS + f->ctrs; n++)
		if (f->leaving[n])
			return; /* one at a time */
	fw_stop(f, node, 2000 + (int)dice(d, 5000));
}

/* Hundreds of changes, servers drained and replaced, routers stopped and started again, in crowded services whose servers do
 * nothing wrong: each request ends once, and nothing is broken off but at its deadline. */
static void planned_work_loses_nothing(void **st)
{
	uint64_t asked = 0, whole = 0, refused = 0, cut = 0, resends = 0, changes = 0, stops = 0, never = 0;

	(void)st;
	for (uint64_t seed = first_seed(), n = seeds(8); n; seed++, n--) {
		struct fw f;
		uint64_t d = seed * 7919;

		fw_open(&f, seed, 4, 3, 6, crowded);
		if (f.s.bad[0])
			fail_msg("seed %llu: %s", (unsigned long long)seed, f.s.bad);
		f.every = seed % 3 == 0 ? 4 : seed % 3 == 1 ? 10 : 25;
		for (int step = 0; step < 120; step++) {
			for (ptrdiff_t i = 0; i < arrlen(f.v); i++) {
				f.v[i].hold = i % 3 == 0 ? 400 : 0;
				f.v[i].slow = i % 3 == 1 ? 200 : 0;
			}
			one_change(&f, &d);
			changes++;
			if (!dice(&d, 4))
				one_server_changes(&f, &d);
			if (!dice(&d, 20)) {
				one_router_stops(&f, &d);
				stops++;
			}
			fw_leavers(&f);
			go(&f, (int64_t)dice(&d, 200));
		}
		f.every = 0;
		for (int k = 0; k < 80; k++) {
			fw_leavers(&f);
			go(&f, 100);
		}
		if (!fw_end(&f))
			fail_msg("seed %llu: %s", (unsigned long long)seed, f.s.bad);
		asked += (uint64_t)arrlen(f.req);
		whole += f.n_whole;
		refused += f.n_refused;
		cut += f.n_cut;
		resends += f.n_resend;
		never += f.n_never;
		fw_close(&f);
	}
	print_message(
	    "planned work: %llu asked, %llu whole, %llu answered otherwise, %llu cut, %llu given back, %llu resends; %llu "
	    "changes, %llu stops\n",
	    (unsigned long long)asked, (unsigned long long)whole, (unsigned long long)refused, (unsigned long long)cut,
	    (unsigned long long)never, (unsigned long long)resends, (unsigned long long)changes, (unsigned long long)stops);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_waiting_request_follows_its_route_to_another_service),
		cmocka_unit_test(a_waiting_request_falls_to_the_shorter_route),
		cmocka_unit_test(a_waiting_request_goes_with_its_key_to_another_tenant),
		cmocka_unit_test(a_waiting_request_outlives_the_end_of_keys),
		cmocka_unit_test(a_waiting_claim_comes_back_for_its_lanes_new_service),
		cmocka_unit_test(a_waiting_request_that_nothing_allows_is_told_so),
		cmocka_unit_test(a_request_given_back_after_its_service_went_is_refused),
		cmocka_unit_test(a_request_given_back_after_its_key_went_is_not_sent_again),
		cmocka_unit_test(a_stream_waits_a_moment_for_a_place),
		cmocka_unit_test(a_service_that_is_back_takes_requests_at_once),
		cmocka_unit_test(a_stream_is_not_held_in_silence),
		cmocka_unit_test(one_server_turns_a_request_away),
		cmocka_unit_test(a_split_is_not_held_up_by_one_service),
		cmocka_unit_test(a_split_refuses_nobody_for_a_head_of_another_service),
		cmocka_unit_test(each_end_of_a_send_is_told_as_the_table_says),
		cmocka_unit_test(a_process_that_leaves_answers_what_it_holds),
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
