/* counter: an edge of the fleet. */
#include <apr_general.h>
#include <string.h>

#include "router.h"
#include "edge.h"
#include "platform.h"
#include "shell.h"

enum { LAST_ANSWERS_MS = 300 }; /* before the end of a planned stop: for the last answers to leave */

static void step(void *ctx, const struct shell_ev *e, int64_t now, struct out *o)
{
	struct router *c = ctx;
	struct router_ev ev;

	memset(&ev, 0, sizeof ev);
	if (!e) {
		ev.kind = ROUTER_TICK;
	} else
		switch (e->kind) {
		case EV_MSG:
			ev.kind = ROUTER_MSG;
			ev.u.msg = e->msg;
			break;
		case EV_WEB:
			if (!strcmp(e->path, "/v1/exchange") && !strcmp(e->verb, "POST")) {
				ev.kind = ROUTER_EXCHANGE;
				ev.u.exchange.token = e->token;
				ev.u.exchange.digest = e->digest;
				ev.u.exchange.body = e->body;
			} else {
				ev.kind = ROUTER_WEB;
				ev.u.web.token = e->token;
				ev.u.web.path = e->path;
			}
			break;
		case EV_GONE:
			ev.kind = ROUTER_GONE;
			ev.u.gone.token = e->token;
			break;
		case EV_PIECE:
			ev.kind = ROUTER_PIECE;
			ev.u.piece.token = e->token;
			ev.u.piece.line = e->body;
			break;
		case EV_DONE:
			if (e->stream) {
				ev.kind = ROUTER_DONE;
				ev.u.done.token = e->token;
				ev.u.done.status = e->status;
				ev.u.done.never = e->never;
				ev.u.done.body = e->body;
			} else {
				ev.kind = ROUTER_CALLED;
				ev.u.called.token = e->token;
				ev.u.called.status = e->status;
				ev.u.called.body = e->body;
			}
			break;
		case EV_STOP:
			ev.kind = ROUTER_STOP;
			ev.u.stop.send_until = now + (e->end_at - now) / 2;
			ev.u.stop.run_until = e->end_at - LAST_ANSWERS_MS;
			break;
		default: return;
		}
	router_step(c, &ev, now, o);
}

static void changed(void *ctx, const struct settings *s)
{
	struct router *c = ctx;
	uint64_t seeds[8];

	for (int i = 0; i < s->nseeds; i++)
		seeds[i] = core_addr(s->seed[i]);
	config_watch_seeds(&c->f, seeds, s->nseeds);
	c->b = s->bounds;
}

static int done(void *ctx) { return router_idle(ctx); }
static int64_t good(void *ctx) { return router_good_until(ctx); }

static void say(void *ctx, const char *prefix, const char *line)
{
	(void)ctx;
	log_say(LOG_INFO, prefix, "%s", line);
}

int main(int argc, char **argv)
{
	struct proc p;
	struct router c;
	struct edge edge;
	struct proc_duty d = { &c, step, done, good, changed };
	uint64_t seeds[8];
	int rc;

	proc_begin();
	memset(&p, 0, sizeof p);
	apr_initialize();
	apr_pool_create(&p.p, NULL);
	log_open("counter");
	p.set.other = platform_settings;
	rc = set_read(&p.set, "counter", 0, argc, argv, p.p);
	if (rc >= 0)
		goto end;
	rc = 1;
	for (int i = 0; i < p.set.nseeds; i++)
		seeds[i] = core_addr(p.set.seed[i]);
	memset(&edge, 0, sizeof edge);
	edge.c = &c;
	if (p.set.more) { /* another language than the product's own */
		p.door = &platform_edge;
		p.door_ctx = &edge;
	}
	router_open(&c, proc_random(), core_addr(p.set.advertise ? p.set.advertise : p.set.listen), p.set.zone, seeds, p.set.nseeds,
		    clock_ms());
	if (p.set.more)
		c.b = p.set.bounds;
	c.b.without = p.set.without;
	c.b.experiments = p.set.experiments;
	if (!proc_open(&p))
		goto end;
	c.log = say;
	log_say(LOG_INFO, "counter", "Serves callers at %s in zone %s.",
		p.set.more ? ((struct platform *)p.set.more)->front : p.set.web, p.set.zone);
	rc = proc_run(&p, &d);
	router_close(&c);
end:
	apr_pool_destroy(p.p);
	apr_terminate();
	return rc;
}
