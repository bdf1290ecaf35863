#include "rollout.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "leadership.h"
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
