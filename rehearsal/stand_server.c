/* Model servers and the store: their lives, from the start over drains, freezes and crashes to the end. The other files
 * of the name hold what a server keeps, its batch, and what it is asked. */
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "stand_server_private.h"

const struct engine engine_sheet = {
	.slots = 128,
	.queue = 384,
	.max_conns = 630,
	.drain_ms = 3000,
	.fence_checked = 1,
	.idle_ms = 8000,
	.kv = 239003,
	.kv_bytes = 18432,
	.stride = 5,
	.chunk = 2048,
	.block = 16,
	.in_flight = 12,
	.load_ms = 1800,
	.load_at_once = 3,
	.report_lag = 100,
	.events = 4000,
	.events_lag = 80,
	.linger = 1500,
	.step = 3.41,
	.per_slot = 0.097,
	.read_per_ms = 112,
	.link_mbps = 370000,
	.events_loss = 0,
	.setup_ms = 5,
};

int64_t fleet_ms(const struct fleet_set *f) { return (loop_us() - f->start) / 1000; }

struct server *server_add(struct fleet_set *f, const char *addr, const char *zone, const char *service, int is_store)
{
	struct server *s = calloc(1, sizeof *s);
	static const double speeds[] = { 1.0, 1.0, 1.3 };

	s->f = f;
	s->i = (int)arrlen(f->server);
	s->is_store = is_store;
	s->speed = speeds[s->i % 3];
	s->life = LIFE_DOWN;
	s->version = f->newest;
	s->fault.close = 0.01;
	snprintf(s->addr, sizeof s->addr, "%s", addr);
	snprintf(s->zone, sizeof s->zone, "%s", zone);
	snprintf(s->service, sizeof s->service, "%s", service);
	arrput(f->server, s);
	return s;
}

void server_up(struct server *s)
{
	static const struct conn_on on = { .request = request, .gone = gone };

	if (s->life != LIFE_DOWN)
		return;
	s->port = port_open(s->f->l, s->addr, &on, s, s->is_store ? 0 : s->f->e.max_conns);
	if (!s->port)
		return;
	port_idle(s->port, s->f->e.idle_ms);
	s->life = LIFE_UP;
	s->lives++;
	s->epoch = stand_rand(&s->f->rng);
	snprintf(s->instance, sizeof s->instance, "i-%08llx", (unsigned long long)(s->epoch & 0xffffffff));
	s->last_event = 0;
	s->call_seq = 0;
	s->fence = 0;
	s->moves_free = 0;
	note_report(s);
	loop_drop(s->f->l, s->report_timer);
	note_report(s);
	if (s->f->list)
		list_note(s->f->list, s);
}

static void life_ends(struct server *s, int reset)
{
	if (s->life == LIFE_DOWN)
		return;
	while (arrlen(s->run))
		work_end(s->run[0], 0, 0);
	while (arrlen(s->wait))
		work_end(s->wait[0], 0, 0);
	arrfree(s->watcher);
	if (s->load_timer)
		s->f->loading--;
	loop_drop(s->f->l, s->step_timer);
	loop_drop(s->f->l, s->load_timer);
	loop_drop(s->f->l, s->watch_timer);
	loop_drop(s->f->l, s->report_timer);
	loop_drop(s->f->l, s->life_timer);
	loop_drop(s->f->l, s->surplus_timer);
	s->surplus_timer = 0;
	s->step_timer = s->load_timer = s->watch_timer = s->report_timer = s->life_timer = 0;
	s->loading_to = 0;
	s->fault.dark = 0;
	port_close(s->port, reset);
	s->port = NULL;
	s->life = LIFE_DOWN;
	forget_all(s, 0);
	arrfree(s->event);
	if (s->f->list)
		list_note(s->f->list, s);
}

void server_crash(struct server *s) { life_ends(s, 1); }

void server_dark(struct server *s, int dark)
{
	if (s->life == LIFE_DOWN)
		return;
	s->fault.dark = dark;
	port_dark(s->port, dark);
	if (dark) {
		loop_drop(s->f->l, s->step_timer);
		s->step_timer = 0;
	} else {
		s->read_again_at = fleet_ms(s->f);
		set_going(s);
		watchers_look(s);
	}
}

static void drained(void *ctx)
{
	struct server *s = ctx;

	s->life_timer = 0;
	life_ends(s, 0);
}

void server_drain(struct server *s)
{
	if (s->life != LIFE_UP)
		return;
	s->life = LIFE_DRAINING;
	if (s->f->list)
		list_note(s->f->list, s);
	s->life_timer = loop_after(s->f->l, ms_us(s->f->e.drain_ms + s->f->e.linger), drained, s);
}

void servers_free(struct fleet_set *f)
{
	struct list *l = f->list;

	f->list = NULL;
	for (int i = 0; i < arrlen(f->server); i++) {
		life_ends(f->server[i], 0);
		arrfree(f->server[i]->run);
		arrfree(f->server[i]->wait);
		free(f->server[i]);
	}
	arrfree(f->server);
	f->list = l;
}
