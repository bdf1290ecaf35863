#include "rollout.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "leadership.h"
#include "naming.h"
#include "controller_private.h"

static struct controller_server *server_of(struct controller *r, const char *name)
{
	for (ptrdiff_t i = 0; i < arrlen(r->server); i++)
		if (!strcmp(r->server[i].name, name))
			return &r->server[i];
	return NULL;
}

static void call(uint64_t token, const char *addr, const char *path, const char *body, int64_t not_after, struct out *o)
{
	struct cmd *c = out_cmd(o, CMD_CALL);

	c->u.call.token = token;
	c->u.call.addr = addr;
	c->u.call.path = path;
	c->u.call.body = body;
	c->u.call.limit_ms = 400;
	c->u.call.not_after = not_after;
}

/* An order: body fields, fenced by the part's term. The rollout's lease is checked again before it leaves. */
static void order(struct controller *r, struct controller_server *s, uint32_t part, const char *addr, struct json_object *what,
		  int64_t now, struct out *o)
{
	uint64_t fence = r->part[part].term << 20 | (++r->order_seq & 0xfffff);

	json_object_object_add(what, "fence", json_object_new_int64((int64_t)fence));
	json_object_object_add(what, "giver", json_object_new_string(apr_psprintf(o->p, "%016" APR_UINT64_T_HEX_FMT, r->id)));
	call(0, addr, "/v1/order", apr_pstrdup(o->p, json_object_to_json_string_ext(what, JSON_C_TO_STRING_PLAIN)),
	     r->part[part].lease_expires_at, o);
	json_object_put(what);
	s->ordered = now;
}

void rollout_report(struct controller *r, struct controller_server *s, const char *body, int64_t now, struct out *o)
{
	struct json_object *j = json_tokener_parse(body), *parts, *drop;
	const struct Nl__Row *row = table_get(&r->f.t, NL__KIND__SERVER, s->name);
	uint32_t part = core_part_of(s->service, SHARD_SERVICES);

	if (!json_object_is_type(j, json_type_object) || !row)
		goto end;
	s->reported = now;
	apr_cpystrn(s->weights, json_str(j, "weights"), sizeof s->weights);
	apr_cpystrn(s->loading, json_str(j, "loading"), sizeof s->loading);
	if (!json_object_object_get_ex(j, "parts", &parts) || !json_object_is_type(parts, json_type_array))
		goto end;
	drop = json_object_new_array();
	for (size_t i = 0; i < json_object_array_length(parts); i++) {
		struct json_object *x = json_object_array_get_idx(parts, i);

		if (!view_allows(&r->relay.w, s->service, json_str(x, "w"), json_str(x, "m"), s->name, json_num(x, "t")) ||
		    !view_keeps(&r->relay.w, s->service, json_str(x, "m"), strtoull(json_str(x, "h"), NULL, 16), json_num(x, "t")))
			json_object_array_add(drop, json_object_get(x));
	}
	if (!json_object_array_length(drop)) {
		s->carried = s->carried_want; /* the report shows it: carried out up to the horizon at the look */
		json_object_put(drop);
	} else if (leads_shard(r, part, now) && now - r->leader_since[part] >= CONTROLLER_HOLD && relay_current(&r->relay, now)) {
		struct json_object *what = json_object_new_object();

		json_object_object_add(what, "drop", drop);
		order(r, s, part, row->addr, what, now, o);
	} else {
		json_object_put(drop);
	}
end:
	if (j)
		json_object_put(j);
}

static void look_at(struct controller *r, const struct Nl__Row *row, int64_t now, struct out *o)
{
	struct controller_server *s = server_of(r, row->name);

	if (!s) {
		struct controller_server n;

		memset(&n, 0, sizeof n);
		n.name = strdup(row->name);
		n.service = strdup(row->service);
		n.reported = now;
		arrput(r->server, n);
		s = &arrlast(r->server);
	}
	if (now - s->called < CONTROLLER_LOOK)
		return;
	s->called = now;
	s->call = ++r->token;
	s->carried_want = r->relay.k.horizon;
	call(s->call, apr_pstrdup(o->p, row->addr), "/v1/report", NULL, now + 400, o);
}

/* Whether every server of a service has had these weights, or it is not known here which ones they all had. */
static int is_rolled_out(struct controller *r, const char *service, const char *weights)
{
	struct controller_svc *shard = service_shard(r, core_part_of(service, SHARD_SERVICES));
	ptrdiff_t i = shgeti(shard->rolled, service);

	return i < 0 || !strcmp(shard->rolled[i].value, weights);
}

/* Followed tables say what is named; not later than the last good asking that did not say so. A naming that overtakes another one
 * leaves that one's servers no more time. */
void rollout_on_versions(struct controller *r, int64_t before)
{
	for (ptrdiff_t i = 0; i < shlen(r->f.t.h); i++) {
		const struct Nl__Row *row = r->f.t.h[i].value.row;
		int64_t unrolled;
		ptrdiff_t k;

		if (row->kind != NL__KIND__SERVICE)
			continue;
		k = shgeti(r->named, row->name);
		if (k >= 0 && !strcmp(r->named[k].value.weights, row->weights))
			continue;
		unrolled =
		    k >= 0 && !is_rolled_out(r, row->name, r->named[k].value.weights) ? r->named[k].value.unrolled_since : before;
		if (k >= 0)
			free(r->named[k].value.weights);
		shput(r->named, row->name, ((typeof(r->named->value)){ strdup(row->weights), before, unrolled, 0 }));
	}
}

/* How many of n servers may have been told by now: a third at once, the next ones as the loading ends, or when the
 * bound asks for it. A rollout that took over has less time left and need not leave any for another. */
static int due(const struct controller *r, uint32_t part, typeof(((struct controller_named *)0)->value) *m, int n, int64_t now)
{
	int64_t last = m->unrolled_since + CONTROLLER_TELL;
	int third = (n + 2) / 3;

	if (!m->first || m->first < r->leader_since[part])
		m->first = now;
	if (r->leader_since[part] <= m->unrolled_since)
		last -= CONTROLLER_TAKE_OVER;
	if (now >= last || m->first >= last)
		return n;
	return third * (1 + (int)(2 * (now - m->first) / (last - m->first)));
}

/* One service's roll-out: a third of its servers at a time, the rest keep serving. */
/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
static void roll(struct controller *r, const struct Nl__Row *service, uint32_t part, int64_t now, struct out *o)
{
	struct controller_svc *c = service_shard(r, part);
	typeof(r->named->value) *m = &shgetp(r->named, service->name)->value;
	int n = 0, loading = 0, on = 0, room, more;
	ptrdiff_t was;

	for (ptrdiff_t i = 0; i < shlen(r->f.t.h); i++) {
		const struct Nl__Row *row = r->f.t.h[i].value.row;
		struct controller_server *s;

		if (row->kind != NL__KIND__SERVER || strcmp(row->service, service->name) || row->state)
			continue;
		s = server_of(r, row->name);
		if (!s || now - s->reported > 10000)
			continue; /* dead: it loads what is named when it is back */
		n++;
		if (!strcmp(s->weights, service->weights) && !s->loading[0])
			on++;
		else
			loading += s->loading[0] || s->load_at >= m->since;
	}
	if (on < n) {
		room = (n + 2) / 3 - loading;
		more = due(r, part, m, n, now) - on - loading;
		if (room < more)
			room = more;
	} else {
		room = 0;
	}
	for (ptrdiff_t i = 0; i < shlen(r->f.t.h) && on < n; i++) {
		const struct Nl__Row *row = r->f.t.h[i].value.row;
		struct controller_server *s;
		struct json_object *what;

		if (row->kind != NL__KIND__SERVER || strcmp(row->service, service->name) || row->state)
			continue;
		s = server_of(r, row->name);
		if (!s || now - s->reported > 2 * CONTROLLER_LOOK || !strcmp(s->weights, service->weights) ||
		    !strcmp(s->loading, service->weights) || now - s->ordered < CONTROLLER_LOOK)
			continue;
		if (s->load_at >= m->since && now - s->load_at < 2 * CONTROLLER_LOOK)
			continue; /* told just now */
		/* one whose order was lost, or that loads what has been overtaken, is told in the place it has */
		if (s->load_at < m->since && !s->loading[0] && room-- <= 0)
			continue;
		what = json_object_new_object();
		json_object_object_add(what, "load", json_object_new_string(service->weights));
		order(r, s, part, apr_pstrdup(o->p, row->addr), what, now, o);
		s->load_at = now;
		log_line(r, "order", o->p, "Server %s is told to load %s.", s->name, service->weights);
	}
	was = shgeti(c->rolled, service->name);
	if (n && on == n && (was < 0 || strcmp(c->rolled[was].value, service->weights))) {
		struct Nl__Op op = NL__OP__INIT;
		struct Nl__Rolled d = NL__ROLLED__INIT;

		d.service = service->name;
		d.weights = service->weights;
		op.op_case = NL__OP__OP_ROLLED;
		op.rolled = &d;
		if (arrlen(r->part[part].marks) == 0) /* nothing of ours is still on its way */
			log_operation(r, part, &op, now, o);
	}
}

void rollout_tick(struct controller *r, int64_t now, struct out *o)
{
	for (uint32_t part = SHARD_SERVICE; part < SHARD_COUNT; part++) {
		if (!leads_shard(r, part, now) || config_watch_age(&r->f, now) > CONFIG_WATCH_CONFIG)
			continue;
		for (ptrdiff_t i = 0; i < shlen(r->f.t.h); i++) {
			const struct Nl__Row *row = r->f.t.h[i].value.row;

			if (row->kind == NL__KIND__SERVER && core_part_of(row->service, SHARD_SERVICES) == part)
				look_at(r, row, now, o);
		}
		if (now - r->leader_since[part] < CONTROLLER_HOLD)
			continue; /* the last rollout's orders must have had time to end */
		for (ptrdiff_t i = 0; i < shlen(r->f.t.h); i++) {
			const struct Nl__Row *row = r->f.t.h[i].value.row;

			if (row->kind == NL__KIND__SERVICE && core_part_of(row->name, SHARD_SERVICES) == part)
				roll(r, row, part, now, o);
		}
	}
}

/* ---- orders to seen servers ------------------------------------------------------- */

void rollout_open(struct rollout *g, int64_t now)
{
	memset(g, 0, sizeof *g);
	sh_new_strdup(g->m);
	sh_new_strdup(g->meant);
	g->blind = now;
}

static void told_free(struct rollout_server *s)
{
	free(s->name);
	free(s->weights);
}

void rollout_close(struct rollout *g)
{
	for (ptrdiff_t i = 0; i < arrlen(g->v); i++)
		told_free(&g->v[i]);
	arrfree(g->v);
	shfree(g->m);
	shfree(g->meant);
}

static struct rollout_server *told_get(const struct rollout *g, const char *name)
{
	for (ptrdiff_t i = 0; i < arrlen(g->v); i++)
		if (!strcmp(g->v[i].name, name))
			return &g->v[i];
	return NULL;
}

static struct rollout_server *told_of(struct rollout *g, const char *name)
{
	struct rollout_server n, *s = told_get(g, name);

	if (s)
		return s;
	memset(&n, 0, sizeof n);
	n.name = strdup(name);
	n.weights = strdup("");
	arrput(g->v, n);
	return &arrlast(g->v);
}

void rollout_start(struct controller *r, int64_t now)
{
	struct rollout *g = &r->rollout;
	uint64_t term = r->part[SHARD_CONTROL].term;

	/* no other gave orders between if the terms follow each other */
	g->wait = g->term && term == g->term + 1 ? 0 : r->b.lease_ms + ROLLOUT_AFTER;
	g->begun = now;
	g->term = term;
	g->seq = 0;
	g->barred = 0;
	for (ptrdiff_t i = 0; i < arrlen(g->v); i++)
		told_free(&g->v[i]);
	arrsetlen(g->v, 0);
	instances_begin(&r->instances, &r->f.instances, term, now);
	for (ptrdiff_t i = 0; i < shlen(r->instances.h); i++)
		if (r->instances.h[i].value.s->loading)
			told_of(g, r->instances.h[i].key)->is = ROLLOUT_UNSURE;
}

/* What is learnt of each model's loads has a place from its first naming on. */
static void note_models(struct controller *r)
{
	for (ptrdiff_t i = 0; i < shlen(r->ctl.h); i++) {
		const struct Nl__Row *row = r->ctl.h[i].value.row;
		typeof(r->rollout.m->value) none = { 0, 0, 0, 0, 0, 0, 0, 0 };

		if (row->kind == NL__KIND__MODEL && shgeti(r->rollout.m, row->name) < 0)
			shput(r->rollout.m, row->name, none);
	}
}

static int digits(const char *s) { return *s && strspn(s, "0123456789") == strlen(s); }

/* Whether a server has what is named, or newer: a new one may, before its naming has come here. */
static int has(const char *weights, const char *named)
{
	if (!strcmp(weights, named))
		return 1;
	if (!digits(weights) || !digits(named))
		return 0;
	return strlen(weights) != strlen(named) ? strlen(weights) > strlen(named) : strcmp(weights, named) > 0;
}

static const char *model_of(const struct controller *r, const struct Nl__Instance *x)
{
	const struct Nl__Row *service = x->state == INSTANCE_SERVING ? table_get(&r->ctl, NL__KIND__SERVICE, x->service) : NULL;

	return service && service->model[0] ? service->model : NULL;
}

/* From when on a server may be ordered: a rollout before may have told it at the latest then. Every order is meant in the
 * log first, so whoever takes over knows which servers may have had one lately, and the others need not wait. */
static int64_t free_from(const struct rollout *g, const char *name)
{
	struct rollout_order_logged *h = g->meant;
	ptrdiff_t i = shgeti(h, name);
	int64_t at = i >= 0 && h[i].value > g->blind ? h[i].value : g->blind;

	return at > g->begun ? 0 : at + ROLLOUT_MEANT_FOR + g->wait;
}

/* Tell routers whether to count on a server, whose weights stay what they are. */
static void unload(struct controller *r, const struct rollout_server *s, int loading, int64_t now)
{
	const struct Nl__Instance *x = instances_get(&r->instances, s->name);
	char *weights = x ? strdup(x->weights) : NULL;

	if (weights)
		instances_set_weights(&r->instances, s->name, weights, loading, now);
	free(weights);
}

static void set_target(struct rollout_server *s, const char *weights)
{
	free(s->weights);
	s->weights = strdup(weights);
}

static void mean(struct controller *r, struct rollout_server *s, const char *model, const char *weights, int64_t now, struct out *o)
{
	struct Nl__Op op = NL__OP__INIT;
	struct Nl__Rolled d = NL__ROLLED__INIT;

	d.service = (char *)model;
	d.weights = (char *)weights;
	d.server = s->name;
	d.fence = r->rollout.term << 20 | (r->rollout.seq & 0xfffff);
	op.op_case = NL__OP__OP_ROLLED;
	op.rolled = &d;
	if (!log_operation(r, SHARD_CONTROL, &op, now, o))
		return;
	s->is = ROLLOUT_MEANT;
	s->told = now;
	s->beside = 1;
	set_target(s, weights);
	unload(r, s, 1, now); /* routers hear of it while the log is written */
}

void rollout_order_logged(struct controller *r, const char *server, int64_t now)
{
	for (ptrdiff_t i = shlen(r->rollout.meant) - 1; i >= 0; i--)
		if (now - r->rollout.meant[i].value > 60000)
			(void)shdel(r->rollout.meant, r->rollout.meant[i].key);
	shput(r->rollout.meant, server, now);
}

/* What was named while the log was written is loaded at once. */
static void give(struct controller *r, struct rollout_server *s, const struct Nl__Instance *x, const char *model, const char *named,
		 int64_t meant, int64_t now, struct out *o)
{
	int64_t until = r->part[SHARD_CONTROL].lease_expires_at - ROLLOUT_MARGIN;
	struct cmd *c;

	if (until > meant + ROLLOUT_MEANT_FOR)
		until = meant + ROLLOUT_MEANT_FOR;
	if (now >= until || r->rollout.barred) {
		s->is = ROLLOUT_IDLE;
		unload(r, s, 0, now);
		return;
	}
	set_target(s, named);
	s->is = ROLLOUT_ASKED;
	s->token = ++r->token;
	s->told = now;
	c = out_cmd(o, CMD_ORDER);
	c->u.order.token = s->token;
	c->u.order.addr = core_addr(x->addr);
	c->u.order.fence = r->rollout.term << 20 | (++r->rollout.seq & 0xfffff);
	c->u.order.server = apr_pstrdup(o->p, x->server);
	c->u.order.model = apr_pstrdup(o->p, model);
	c->u.order.weights = apr_pstrdup(o->p, s->weights);
	c->u.order.holder = apr_psprintf(o->p, "%016" APR_UINT64_T_HEX_FMT, r->id);
	c->u.order.not_after = until;
	log_line(r, "order", o->p, "Server %s, on %s, is told to load %s of %s.", x->server, x->weights, s->weights, model);
	instances_set_weights(&r->instances, s->name, x->weights, 1, now); /* x may be another copy after this */
}

static void look(struct controller *r, struct rollout_server *s, const struct Nl__Instance *x, const char *model, int64_t now,
		 struct out *o)
{
	ptrdiff_t k = shgeti(r->rollout.m, model);
	int load = k < 0 ? 0 : r->rollout.m[k].value.base_ms;
	struct cmd *c;

	if (now - s->looked < ROLLOUT_LOOK || now - s->told < load * 4 / 5 || (s->look && now - s->looked < ROLLOUT_SILENT))
		return;
	s->look = ++r->token;
	s->looked = now;
	c = out_cmd(o, CMD_LOOK);
	c->u.look.token = s->look;
	c->u.look.addr = core_addr(x->addr);
	c->u.look.server = apr_pstrdup(o->p, x->server);
	c->u.look.model = apr_pstrdup(o->p, model);
	c->u.look.not_after = now + ROLLOUT_SILENT;
}

/* One that was told, or may have been: what is known of it since. */
static void attend(struct controller *r, struct rollout_server *s, const struct Nl__Instance *x, const char *model,
		   const char *named, int64_t now, struct out *o)
{
	if (s->is == ROLLOUT_MEANT) {
		ptrdiff_t k = shgeti(r->rollout.meant, s->name);

		if (k >= 0 && r->rollout.meant[k].value >= s->told) {
			give(r, s, x, model, named, r->rollout.meant[k].value, now, o);
		} else if (now - s->told > ROLLOUT_MEANT_FOR) {
			s->is = ROLLOUT_IDLE; /* the log stands still */
			unload(r, s, 0, now);
		}
		return;
	}
	if (s->is == ROLLOUT_ASKED && now - s->told >= ROLLOUT_SILENT)
		s->is = ROLLOUT_UNSURE;
	if (s->is == ROLLOUT_LOADING || s->is == ROLLOUT_UNSURE) {
		if (has(x->weights, named)) { /* the list says so */
			s->is = ROLLOUT_IDLE;
			instances_set_weights(&r->instances, s->name, x->weights, 0, now);
		} else if (now >= s->told + ROLLOUT_LOOK) {
			look(r, s, x, model, now, o);
		}
	}
}

/* Learn from a load's end how long one takes, and whether more at once than at first make it longer. */
static void learn(struct controller *r, const struct rollout_server *s, const char *model, int64_t now)
{
	typeof(r->rollout.m->value) *m;
	int ms = (int)(now - s->told);

	if (shgeti(r->rollout.m, model) < 0 || s->is != ROLLOUT_LOADING || !s->told)
		return;
	m = &shgetp(r->rollout.m, model)->value;
	if (s->beside <= m->base) {
		m->base_ms = m->base_ms ? (3 * m->base_ms + ms) / 4 : ms;
		return;
	}
	m->more_ms = m->more_ms ? (m->more_ms + ms) / 2 : ms;
	m->more++;
	if (m->base_ms && m->more_ms > m->base_ms + m->base_ms / 4) {
		m->many = 1;
		m->room = m->base;
	} else if (!m->many && m->more % (2 * m->room) == 0 && s->beside >= m->room) {
		m->room++;
	}
}

/* By when a server must have loaded newer weights than these, on this controller's clock; long past where that is not known. */
static int64_t due_at(const struct controller *r, const struct Nl__Row *model, const char *weights)
{
	const struct Nl__Naming *newer = naming_after(model, strtoull(weights, NULL, 10));

	return newer ? (int64_t)newer->at + r->b.roll_ms - r->group_clock_offset : INT64_MIN;
}

/* How many servers have to load at once so that each has loaded in the time that is planned for. due: when those are due that are
 * yet to be told, soonest first. *urgent: for how many of them that time is over. */
static int needed_at_once(const struct controller *r, const int64_t *due, int busy, int64_t load, int64_t now, int *urgent)
{
	int64_t reserve = (int64_t)r->b.roll_ms * (100 - ROLLOUT_PLAN) / 100;
	int needed = 0;

	*urgent = 0;
	for (int i = 0; i < arrlen(due); i++) {
		int64_t before = i + 1 + busy / 2; /* those under way have begun some time ago */
		int64_t time = due[i] == INT64_MIN ? 0 : due[i] - reserve - now;

		if (time <= 0 || time < load)
			(*urgent)++;
		else if ((before * load + time - 1) / time > needed)
			needed = (int)((before * load + time - 1) / time);
	}
	return needed;
}

/* How many may load at once: as many as don't slow each other down, as far as is known; more when the bound asks for it and it
 * helps; and all those for which the time that is planned for is over. */
static int at_once(const struct controller *r, typeof(((struct rollout_model *)0)->value) *m, int n, const int64_t *due, int busy,
		   int64_t now)
{
	int64_t load = m->base_ms ? m->base_ms : r->b.roll_ms / 10, reserve = (int64_t)r->b.roll_ms * (100 - ROLLOUT_LAST) / 100;
	int urgent, needed;

	if (!m->base)
		m->base = m->room = (n + 3) / 6 > 1 ? (n + 3) / 6 : 1;
	needed = needed_at_once(r, due, busy, load, now, &urgent);
	if (urgent) {
		int helps = !m->many && (!m->base_ms || m->more >= 2 * m->base);
		int all = urgent + busy > m->room ? urgent + busy : m->room;

		/* while more don't help, or have not shown that they do, a few more keep as busy as all */
		return helps || due[0] == INT64_MIN || now >= due[0] - reserve || all <= 2 * m->base ? all : 2 * m->base;
	}
	if (!busy)
		m->begun = now;
	if (m->many || (!m->base_ms && now - m->begun < 2 * load)) /* the first ones show how long it takes */
		return m->room;
	if (needed > 2 * m->base && m->more < 2 * m->base) /* not further before it has shown that it helps */
		needed = 2 * m->base;
	return needed > m->room ? needed : m->room;
}

static int compare_moments(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

struct zone {
	const char *zone;
	int n, out;
};

static struct zone *zone_of(struct zone **z, const char *name, apr_pool_t *p)
{
	struct zone n = { name, 0, 0 };

	for (ptrdiff_t i = 0; i < arrlen(*z); i++)
		if (!strcmp((*z)[i].zone, name))
			return &(*z)[i];
	n.zone = apr_pstrdup(p, name);
	arrput(*z, n);
	return &arrlast(*z);
}

static void log_rolled(struct controller *r, typeof(((struct rollout_model *)0)->value) *m, const struct Nl__Row *model,
		       int64_t now, struct out *o)
{
	const struct raft *p = &r->part[SHARD_CONTROL];
	struct Nl__Row row = *model, *set[1] = { &row };
	struct Nl__Op op = NL__OP__INIT;
	struct Nl__Change c = NL__CHANGE__INIT;

	/* nothing stands in the log behind the row as it is here, which would be undone; nor is this on its way already */
	if (p->applied != p->base + (uint64_t)arrlen(p->log) || now - m->rolled < 1000)
		return;
	row.rolled = model->weights;
	c.any = 1;
	c.set = set;
	c.n_set = 1;
	op.op_case = NL__OP__OP_CHANGE;
	op.change = &c;
	if (log_operation(r, SHARD_CONTROL, &op, now, o)) {
		m->rolled = now;
		log_line(r, "order", o->p, "Every server has %s of %s.", model->weights, model->name);
	}
}

/* Whether a server may be told now: nothing is under way there, and nobody else may have told it lately. */
static int may_be_told(const struct controller *r, const struct Nl__Instance *x, int64_t now)
{
	const struct rollout_server *s = told_get(&r->rollout, x->server);

	return !(s && (s->is != ROLLOUT_IDLE || now < s->again)) && now >= free_from(&r->rollout, x->server);
}

/* The server to be told next: of those that are due soonest one in the zone that has the smallest share of its servers out. */
static const struct Nl__Instance *next_to_tell(struct controller *r, const struct Nl__Row *model, struct zone **zones, int64_t now,
					       apr_pool_t *p)
{
	const struct Nl__Instance *best = NULL;
	int64_t best_due = INT64_MAX;
	struct zone best_zone = { 0 };

	for (ptrdiff_t i = 0; i < shlen(r->instances.h); i++) {
		const struct Nl__Instance *x = r->instances.h[i].value.s;
		const char *name = model_of(r, x);
		struct zone zone;
		int64_t due;

		if (!name || strcmp(name, model->name) || has(x->weights, model->weights))
			continue;
		due = due_at(r, model, x->weights);
		zone = *zone_of(zones, x->zone, p);
		if (best && (due > best_due || (due == best_due && zone.out * best_zone.n >= best_zone.out * zone.n)))
			continue;
		if (!may_be_told(r, x, now))
			continue;
		best = x;
		best_due = due;
		best_zone = zone;
	}
	return best;
}

/* A server that does not come to an end holds no place of others any more. */
static int holds_place(const struct controller *r, const struct rollout_server *s, int64_t now)
{
	return s && s->is != ROLLOUT_IDLE && now - s->told < r->b.roll_ms / ROLLOUT_STALLED;
}

/* A model's servers as a roll-out finds them. busy: those that hold a place among the ones that load at once. */
struct servers_found {
	int all, done, busy;
	struct zone *zones; /* stb_ds */
	int64_t *due;       /* stb_ds: of those that are yet to be told, soonest first */
};

static struct servers_found find_servers(struct controller *r, const struct Nl__Row *model, int64_t now, struct out *o)
{
	struct servers_found found = { 0 };

	for (ptrdiff_t i = 0; i < shlen(r->instances.h); i++) {
		const struct Nl__Instance *x = r->instances.h[i].value.s;
		const char *name = model_of(r, x);
		struct rollout_server *s;
		int out;

		if (!name || strcmp(name, model->name))
			continue;
		s = told_get(&r->rollout, x->server);
		if (s)
			attend(r, s, x, model->name, model->weights, now, o);
		x = r->instances.h[i].value.s;
		out = s && s->is != ROLLOUT_IDLE;
		found.all++;
		found.busy += holds_place(r, s, now);
		if (!out && has(x->weights, model->weights))
			found.done++;
		else if (!out)
			arrput(found.due, due_at(r, model, x->weights));
		zone_of(&found.zones, x->zone, o->p)->n++;
		zone_of(&found.zones, x->zone, o->p)->out += out;
	}
	if (found.due)
		qsort(found.due, (size_t)arrlen(found.due), sizeof *found.due, compare_moments);
	return found;
}

/* Tell as many servers as there is room for. */
static void tell_servers(struct controller *r, const struct Nl__Row *model, struct servers_found *found, int64_t now, struct out *o)
{
	typeof(r->rollout.m->value) *m = &shgetp(r->rollout.m, model->name)->value;
	int room = at_once(r, m, found->all, found->due, found->busy, now) - found->busy;

	if (r->rollout.barred || now >= r->part[SHARD_CONTROL].lease_expires_at - ROLLOUT_MARGIN)
		return;
	while (room-- > 0) {
		const struct Nl__Instance *next = next_to_tell(r, model, &found->zones, now, o->p);

		if (!next)
			break;
		zone_of(&found->zones, next->zone, o->p)->out++;
		mean(r, told_of(&r->rollout, next->server), model->name, model->weights, now, o);
		found->busy++;
	}
}

/* 1 when nothing is left to do. */
static int roll_model(struct controller *r, const struct Nl__Row *model, int64_t now, struct out *o)
{
	struct servers_found found = find_servers(r, model, now, o);
	int complete = found.done == found.all;

	if (found.all && complete && strcmp(model->rolled, model->weights))
		log_rolled(r, &shgetp(r->rollout.m, model->name)->value, model, now, o);
	if (!complete)
		tell_servers(r, model, &found, now, o);
	for (ptrdiff_t i = 0; i < arrlen(r->rollout.v); i++)
		if (r->rollout.v[i].is != ROLLOUT_IDLE && r->rollout.v[i].beside < found.busy)
			r->rollout.v[i].beside = found.busy;
	arrfree(found.zones);
	arrfree(found.due);
	return !found.all || (complete && !strcmp(model->rolled, model->weights));
}

void rollout_instances(struct controller *r, int64_t now, struct out *o)
{
	int soon = 0, done = 1;

	if (!r->b.instances)
		return;
	note_models(r);
	if (!leads_shard(r, SHARD_CONTROL, now))
		return;
	for (ptrdiff_t i = arrlen(r->rollout.v) - 1; i >= 0; i--) { /* those of servers that have left */
		const struct Nl__Instance *x = instances_get(&r->instances, r->rollout.v[i].name);

		if (x && x->state == INSTANCE_SERVING) {
			soon |= r->rollout.v[i].is != ROLLOUT_IDLE;
			continue;
		}
		told_free(&r->rollout.v[i]);
		arrdelswap(r->rollout.v, i);
	}
	instances_tick(&r->instances, soon, r->b.list_mille, ++r->token, now, o);
	if (!r->instances.listed || (r->rollout.done_stamp == r->instances.stamp && r->rollout.done_edition == r->ctl.edition))
		return;
	for (ptrdiff_t i = 0; i < shlen(r->ctl.h); i++)
		if (r->ctl.h[i].value.row->kind == NL__KIND__MODEL)
			done &= roll_model(r, r->ctl.h[i].value.row, now, o);
	if (done) { /* until something is seen or named */
		r->rollout.done_stamp = r->instances.stamp;
		r->rollout.done_edition = r->ctl.edition;
	}
}

void rollout_on_ordered(struct controller *r, uint64_t token, int status, int never, int64_t now, struct out *o)
{
	struct rollout_server *s = NULL;
	const struct Nl__Instance *x;

	for (ptrdiff_t i = 0; i < arrlen(r->rollout.v) && token; i++)
		if (r->rollout.v[i].token == token)
			s = &r->rollout.v[i];
	x = s ? instances_get(&r->instances, s->name) : NULL;
	if (!x)
		return;
	s->token = 0;
	switch (status) {
	case 200:
		s->is = ROLLOUT_IDLE;
		instances_set_weights(&r->instances, s->name, s->weights, 0, now);
		break;
	case 202: s->is = ROLLOUT_LOADING; break;
	case 412:
		if (!r->rollout.barred)
			log_line(r, "order", o->p, "Server %s has seen a higher fence; no orders until the next term.", s->name);
		r->rollout.barred = 1;
		s->is = ROLLOUT_UNSURE;
		break;
	case 421: instances_end(&r->instances, s->name, now); break;
	case 409: s->is = ROLLOUT_UNSURE; break; /* it loads what it was told before: told again when a look says it is done */
	default:
		if (never) {
			s->is = ROLLOUT_IDLE;
			s->again = now + 100;
			instances_set_weights(&r->instances, s->name, x->weights, 0, now);
		} else {
			s->is = ROLLOUT_UNSURE;
			s->again = now + (status ? ROLLOUT_REFUSED : 0);
			if (status)
				log_line(r, "order", o->p, "Step order: server %s answers %d.", s->name, status);
		}
	}
}

void rollout_on_look(struct controller *r, uint64_t token, int status, const char *weights, int loading, int64_t now)
{
	struct rollout_server *s = NULL;
	const struct Nl__Instance *x;
	const char *model;
	ptrdiff_t k;

	for (ptrdiff_t i = 0; i < arrlen(r->rollout.v) && token; i++)
		if (r->rollout.v[i].look == token)
			s = &r->rollout.v[i];
	x = s ? instances_get(&r->instances, s->name) : NULL;
	model = x ? model_of(r, x) : NULL;
	if (!model)
		return;
	s->look = 0;
	if (status == 421) {
		instances_end(&r->instances, s->name, now);
		return;
	}
	k = shgeti(r->rollout.m, model);
	if (status != 200 || !weights || k < 0 || (s->is != ROLLOUT_LOADING && s->is != ROLLOUT_UNSURE))
		return;
	if (loading) {
		s->is = ROLLOUT_LOADING;
		instances_set_weights(&r->instances, s->name, weights, 1, now);
		return;
	}
	if (!has(weights, s->weights) && s->looked < s->told + ROLLOUT_DATED)
		return; /* the report may be older than the order */
	if (!strcmp(weights, s->weights))
		learn(r, s, model, now);
	s->is = ROLLOUT_IDLE;
	instances_set_weights(&r->instances, s->name, weights, 0, now);
}
