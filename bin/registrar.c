/* controller: a machine of the core, with a disk. */
#include <apr_general.h>
#include <string.h>

#include "calendar.h"
#include "control.h"
#include "doc.h"
#include "platform.h"
#include "controller.h"
#include "shell.h"

struct registrar {
	struct controller r;
	struct proc p;
	struct control door;
};

static void stepped(void *ctx, const struct controller_ev *ev, int64_t now, struct out *o)
{
	struct registrar *g = ctx;

	g->r.wall = clock_wall();
	controller_step(&g->r, ev, now, o);
	if (g->r.fleet_dirty) { /* on the disk before anything said under it */
		g->r.fleet_dirty = 0;
		if (!store_identity(g->p.store, g->r.id, g->r.fleet))
			log_say(LOG_BAD, "store", "Step identity: the disk refuses; this registrar may be taken for a new one.");
	}
}

static void step(void *ctx, const struct shell_ev *e, int64_t now, struct out *o)
{
	struct controller_ev ev;

	memset(&ev, 0, sizeof ev);
	if (!e) {
		ev.kind = CONTROLLER_TICK;
	} else
		switch (e->kind) {
		case EV_MSG:
			ev.kind = CONTROLLER_MSG;
			ev.u.msg = e->msg;
			break;
		case EV_SYNCED:
			ev.kind = CONTROLLER_SYNCED;
			ev.u.synced.part = e->part;
			ev.u.synced.seq = e->seq;
			break;
		case EV_WEB:
			ev.kind = CONTROLLER_WEB;
			ev.u.web.token = e->token;
			ev.u.web.verb = e->verb;
			ev.u.web.path = e->path;
			ev.u.web.body = e->body;
			ev.u.web.key = e->key;
			break;
		case EV_DONE:
			ev.kind = CONTROLLER_CALLED;
			ev.u.called.token = e->token;
			ev.u.called.status = e->status;
			ev.u.called.body = e->body;
			break;
		case EV_GONE:
			ev.kind = CONTROLLER_GONE;
			ev.u.gone.token = e->token;
			break;
		case EV_STOP: ev.kind = CONTROLLER_STOP; break;
		default: return;
		}
	stepped(ctx, &ev, now, o);
}

static void changed(void *ctx, const struct settings *s)
{
	struct registrar *g = ctx;
	uint64_t seeds[8];

	for (int i = 0; i < s->nseeds; i++)
		seeds[i] = core_addr(s->seed[i]);
	config_watch_seeds(&g->r.f, seeds, s->nseeds);
	g->r.b = s->bounds;
	g->door.list = ((const struct platform *)s->more)->list;
}

static int done(void *ctx)
{
	const struct registrar *g = ctx;

	return controller_stopped(&g->r, clock_ms());
}

static void say(void *ctx, const char *prefix, const char *line)
{
	(void)ctx;
	log_say(LOG_INFO, prefix, "%s", line);
}

/* What the settings say, and what only the platform's do. */
static void take_settings(struct registrar *g)
{
	const struct settings *set = &g->p.set;

	g->r.log = say;
	g->r.calendar = &calendar_icu;
	g->r.b.without = set->without;
	if (!set->more)
		return;
	g->r.codec = &platform_tongue;
	g->r.b = set->bounds;
	if (set->found && set->nseeds && !strcmp(set->seed[0], set->listen))
		controller_bootstrap(&g->r, clock_ms());
}

int main(int argc, char **argv)
{
	static struct registrar g;
	struct proc *p = &g.p;
	struct proc_duty d = { &g, step, done, NULL, changed };
	struct store_found f;
	uint64_t seeds[8];
	const char *why = "";
	int rc;

	proc_begin();
	apr_initialize();
	apr_pool_create(&p->p, NULL);
	log_open("registrar");
	p->set.other = platform_settings;
	rc = set_read(&p->set, "registrar", 1, argc, argv, p->p);
	if (rc >= 0)
		goto end;
	rc = 1;
	for (int i = 0; i < p->set.nseeds; i++)
		seeds[i] = core_addr(p->set.seed[i]);
	ring_open(&p->ring, 65536, p->p);
	p->store = store_open(p->set.data, p->set.fault, p->ring, &f, &why, p->p);
	if (!p->store) {
		log_say(LOG_BAD, "store", "%s.", why);
		goto end;
	}
	if (!f.id) { /* an empty disk is a new identity */
		f.id = proc_random();
		if (!store_identity(p->store, f.id, 0)) {
			log_say(LOG_BAD, "store", "Step identity: the disk refuses.");
			goto end;
		}
	}
	if (p->set.more) { /* another language than the product's own */
		g.door.step = stepped;
		g.door.ctx = &g;
		g.door.list = ((struct platform *)p->set.more)->list;
		p->door = &platform_control;
		p->door_ctx = &g.door;
	}
	controller_open(&g.r, f.id, core_addr(p->set.advertise ? p->set.advertise : p->set.listen), p->set.zone, seeds,
			p->set.nseeds, f.fleet, proc_random(), f.ptr, clock_ms());
	take_settings(&g);
	if (!proc_open(p))
		goto end;
	log_say(LOG_INFO, "registrar", "Serves operators at %s in zone %s.",
		p->set.more ? ((struct platform *)p->set.more)->control : p->set.web, p->set.zone);
	rc = proc_run(p, &d);
	controller_close(&g.r);
end:
	apr_pool_destroy(p->p);
	apr_terminate();
	return rc;
}
