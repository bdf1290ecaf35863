/* One router by itself, without a fleet: a test gives it a table, requests and what servers answer, and reads its commands. */
#include "solo.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <apr_strings.h>
#include <cmocka.h>

#include "ds.h"

void solo_open(struct solo *s, uint64_t id)
{
	uint64_t seed = 1;

	memset(s, 0, sizeof *s);
	apr_pool_create(&s->p, NULL);
	apr_pool_create(&s->o.p, s->p);
	s->now = 1000000;
	router_open(&s->c, id, id + 1000, "z1", &seed, 1, s->now);
	s->c.b.instances = 1;
}

void solo_close(struct solo *s)
{
	router_close(&s->c);
	arrfree(s->o.v);
	apr_pool_destroy(s->p);
}

void solo_step(struct solo *s, const struct router_ev *ev) { router_step(&s->c, ev, s->now, &s->o); }

void solo_tick(struct solo *s, int64_t ms)
{
	s->now += ms;
	solo_step(s, &(struct router_ev){ .kind = ROUTER_TICK });
}

void solo_msg(struct solo *s, struct Nl__Msg *m)
{
	struct router_ev ev;

	memset(&ev, 0, sizeof ev);
	ev.kind = ROUTER_MSG;
	ev.u.msg = m;
	m->speak = CORE_SPEAK;
	solo_step(s, &ev);
}

/* A whole table, and the servers of a list. */
void solo_table(struct solo *s, struct Nl__Row **rows, size_t n, struct Nl__Instance **instances, size_t nsight, uint64_t edition)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__ConfigSyncReply r = NL__CONFIG_SYNC_REPLY__INIT;

	out_clear(&s->o);
	solo_tick(s, 300);
	for (ptrdiff_t i = 0; i < arrlen(s->o.v); i++)
		if (s->o.v[i].kind == CMD_SEND && s->o.v[i].u.send.msg->body_case == NL__MSG__BODY_FOLLOW)
			r.token = s->o.v[i].u.send.msg->follow->token;
	assert_true(r.token);
	r.has_lease = r.whole = r.instances_whole = 1;
	r.fleet = 7;
	r.edition = edition;
	r.set = rows;
	r.n_set = n;
	r.instance = instances;
	r.n_instance = nsight;
	r.instances = edition;
	r.counters = 1;
	r.clock = (uint64_t)s->now; /* the control group's clock is the router's own */
	r.clock_term = 1;
	m.body_case = NL__MSG__BODY_FOLLOW_REPLY;
	m.follow_reply = &r;
	m.addr = 1;
	m.id = 1;
	solo_msg(s, &m);
	out_clear(&s->o);
	assert_non_null(s->c.route_table);
}

struct Nl__Row *new_row(apr_pool_t *p, Nl__Kind kind, const char *name)
{
	struct Nl__Row *r = apr_palloc(p, sizeof *r);

	nl__row__init(r);
	r->kind = kind;
	r->name = apr_pstrdup(p, name);
	return r;
}

struct Nl__Row *new_service(apr_pool_t *p, const char *name)
{
	struct Nl__Row *r = new_row(p, NL__KIND__SERVICE, name);

	r->weights = "w1";
	r->prefill = 20;
	return r;
}

struct Nl__Instance *new_sight(apr_pool_t *p, int i, const char *service)
{
	struct Nl__Instance *x = apr_palloc(p, sizeof *x);

	nl__instance__init(x);
	x->server = apr_psprintf(p, "i-%d", i);
	x->service = (char *)(uintptr_t)service;
	x->addr = apr_psprintf(p, "127.1.0.%d:80", i + 1);
	x->zone = "z1";
	x->slots = 100;
	x->weights = "w1";
	x->stamp = 1;
	return x;
}

/* Ask; the exchange as it waits, or NULL with its status. */
struct client_request *solo_ask(struct solo *s, const char *host, const char *path, const char *id, int *status)
{
	struct router_asking a;
	struct router_ev ev;

	memset(&a, 0, sizeof a);
	memset(&ev, 0, sizeof ev);
	a.token = ++s->token;
	a.host = host;
	a.path = path;
	a.id = id;
	a.limit_ms = 60000;
	ev.kind = ROUTER_ASKED;
	ev.u.ask = &a;
	out_clear(&s->o);
	solo_step(s, &ev);
	*status = 0;
	for (ptrdiff_t i = 0; i < arrlen(s->o.v); i++)
		if (s->o.v[i].kind == CMD_ANSWER && s->o.v[i].u.answer.token == a.token)
			*status = s->o.v[i].u.answer.status;
	return router_request_by(&s->c, a.token);
}

void solo_gone(struct solo *s)
{
	struct router_ev ev;

	memset(&ev, 0, sizeof ev);
	ev.kind = ROUTER_GONE;
	ev.u.gone.token = s->token;
	solo_step(s, &ev);
}

/* How a send of the newest request ends; its call, or 0 when it was not sent. */
uint64_t solo_sent(struct solo *s)
{
	for (ptrdiff_t i = arrlen(s->o.v) - 1; i >= 0; i--)
		if (s->o.v[i].kind == CMD_FORWARD)
			return s->o.v[i].u.forward->call;
	return 0;
}

void solo_ended(struct solo *s, uint64_t call, enum router_end how, int status)
{
	struct router_ended e = { .token = call, .how = how, .status = status };
	struct router_ev ev = { .kind = ROUTER_ENDED };

	ev.u.ended = &e;
	out_clear(&s->o);
	solo_step(s, &ev);
	for (int i = 0; how != ROUTER_WHOLE && i < 4; i++) /* it may wait in its line before it is sent again */
		solo_tick(s, 60);
}
