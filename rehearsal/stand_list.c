/* The list of servers: lags, comes in pages, answers so many calls a second. */
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "stand.h"

struct shown_server {
	int on, version;
	enum life life;
	char instance[32];
	int64_t gone_at;
};
struct change {
	struct list *l;
	struct server *s;
	struct shown_server as;
	uint64_t timer;
};

struct list {
	struct fleet_set *f;
	struct port *port;
	struct list_set set;
	struct shown_server *shown; /* by the server's number */
	struct change **change;
	double tokens;
	int64_t tokens_at;
	uint64_t calls;
};

enum { CRASHED_STAYS_MS = 3000 };

static void show(void *ctx)
{
	struct change *c = ctx;
	struct list *l = c->l;
	struct shown_server *x = &l->shown[c->s->i], old = *x;

	for (int i = 0; i < arrlen(l->change); i++)
		if (l->change[i] == c) {
			arrdel(l->change, i);
			break;
		}
	*x = c->as;
	if (l->f->j && old.on && strcmp(old.instance, x->instance))
		judge_shown(l->f->j, fleet_ms(l->f), old.instance, SHOWN_GONE);
	if (l->f->j && x->life == LIFE_DRAINING && x->on)
		judge_shown(l->f->j, fleet_ms(l->f), x->instance, SHOWN_DRAINING);
	if (l->f->j && !x->on && old.on)
		judge_shown(l->f->j, fleet_ms(l->f), x->instance, SHOWN_GONE);
	free(c);
}

void list_note(struct list *l, struct server *s)
{
	struct change *c;
	double lag;
	int was;

	if (s->is_store)
		return;
	while (arrlen(l->shown) <= s->i) {
		struct shown_server none;

		memset(&none, 0, sizeof none);
		arrput(l->shown, none);
	}
	was = l->shown[s->i].life;
	c = calloc(1, sizeof *c);
	c->l = l;
	c->s = s;
	c->as.on = s->life != LIFE_DOWN;
	c->as.life = s->life;
	c->as.version = s->version;
	snprintf(c->as.instance, sizeof c->as.instance, "%s", s->instance);
	lag = l->set.lag_ms * (0.3 + 0.7 * stand_unit(&l->f->rng));
	if (s->life == LIFE_DOWN && was == LIFE_UP)
		lag += CRASHED_STAYS_MS;                 /* nobody has told the list */
	for (int i = arrlen(l->change) - 1; i >= 0; i--) /* what comes later is shown later */
		if (l->change[i]->s == s && s->life != LIFE_DOWN) {
			loop_drop(l->f->l, l->change[i]->timer);
			free(l->change[i]);
			arrdel(l->change, i);
		}
	arrput(l->change, c);
	c->timer = loop_after(l->f->l, ms_us(lag), show, c);
}

static void request(void *ctx, struct conn *c, struct msg *m)
{
	struct list *l = ctx;
	const char *zone = strstr(m->target, "Zone="), *page = strstr(m->target, "PageToken=p-");
	int64_t now = loop_us();
	int from = page ? atoi(page + 12) : 0, n = 0, next = 0;
	struct json_object *j, *a;
	const char *t;
	char b[32];

	l->calls++;
	if (l->set.verbose)
		fprintf(stderr, "rehearsal: list: %s\n", m->target);
	l->tokens += l->set.rate * (double)(now - l->tokens_at) / 1e6;
	l->tokens_at = now;
	if (l->tokens > l->set.rate)
		l->tokens = l->set.rate;
	if (strcmp(m->method, "GET") || strncmp(m->target, "/instances", 10)) {
		conn_answer(c, 404, "", "", 0, 1);
		return;
	}
	if (l->tokens < 1) {
		conn_answer(c, 429, "Retry-After: 0.2\r\n", "", 0, 1);
		return;
	}
	l->tokens--;
	j = json_object_new_object();
	a = json_object_new_array();
	for (int i = from; i < arrlen(l->shown) && !next; i++) {
		struct server *s = l->f->server[i];
		struct json_object *e, *ms, *md;

		if (!l->shown[i].on || (zone && (strncmp(zone + 5, s->zone, strlen(s->zone)) ||
						 (zone[5 + strlen(s->zone)] && zone[5 + strlen(s->zone)] != '&'))))
			continue;
		if (n == l->set.page) {
			next = i;
			break;
		}
		n++;
		e = json_object_new_object();
		ms = json_object_new_array();
		md = json_object_new_object();
		json_object_object_add(md, "Name", json_object_new_string(l->f->model));
		json_object_object_add(md, "ConfigVersion", json_object_new_int(l->shown[i].version));
		json_object_object_add(md, "Adapters", json_object_new_array());
		json_object_array_add(ms, md);
		json_object_object_add(e, "ServiceName", json_object_new_string(s->service));
		json_object_object_add(e, "Address", json_object_new_string(s->addr));
		json_object_object_add(e, "Zone", json_object_new_string(s->zone));
		json_object_object_add(e, "ConfigVersion", json_object_new_string("v1"));
		json_object_object_add(e, "SlotCount", json_object_new_int(l->f->e.slots));
		json_object_object_add(e, "State",
				       json_object_new_string(l->shown[i].life == LIFE_DRAINING ? "draining" : "ready"));
		json_object_object_add(e, "ColdLeftMs", json_object_new_int(0));
		json_object_object_add(e, "Stage", json_object_new_string("combined"));
		json_object_object_add(e, "Models", ms);
		json_object_object_add(e, "InstanceId", json_object_new_string(l->shown[i].instance));
		json_object_array_add(a, e);
	}
	json_object_object_add(j, "Instances", a);
	snprintf(b, sizeof b, "p-%d", next);
	json_object_object_add(j, "NextToken", next ? json_object_new_string(b) : NULL);
	t = json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN);
	conn_answer(c, 200, "Content-Type: application/json\r\n", t, strlen(t), 1);
	json_object_put(j);
}

struct list *list_open(struct fleet_set *f, const struct list_set *s)
{
	static const struct conn_on on = { .request = request };
	struct list *l = calloc(1, sizeof *l);

	l->f = f;
	l->set = *s;
	l->tokens = s->rate;
	l->tokens_at = loop_us();
	l->port = port_open(f->l, s->addr, &on, l, 0);
	if (!l->port) {
		free(l);
		return NULL;
	}
	f->list = l;
	for (int i = 0; i < arrlen(f->server); i++)
		list_note(l, f->server[i]);
	return l;
}

uint64_t list_calls(const struct list *l) { return l->calls; }

void list_close(struct list *l)
{
	for (int i = 0; i < arrlen(l->change); i++) {
		loop_drop(l->f->l, l->change[i]->timer);
		free(l->change[i]);
	}
	arrfree(l->change);
	arrfree(l->shown);
	port_close(l->port, 0);
	l->f->list = NULL;
	free(l);
}
