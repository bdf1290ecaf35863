#include "operator_api.h"

#include <apr_strings.h>
#include <string.h>

#include "ds.h"
#include "leadership.h"
#include "proposals.h"
#include "controller_private.h"

static const char *table_json(const struct table *t, apr_pool_t *p)
{
	struct json_object *j = json_object_new_object(), *rows = json_object_new_array();
	const char *s;

	json_object_object_add(j, "edition", json_object_new_int64((int64_t)t->edition));
	json_object_object_add(j, "plan", json_object_new_int64((int64_t)table_plan(t)));
	for (ptrdiff_t i = 0; i < shlen(t->h); i++)
		json_object_array_add(rows, table_row_json(t->h[i].value.row));
	json_object_object_add(j, "rows", rows);
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

/* NOLINTNEXTLINE(readability-function-size): a flat list of members */
static const char *state_json(struct controller *r, int64_t now, apr_pool_t *p)
{
	static const char *const roles[] = { "standby", "asking", "contender", "owner" };
	struct json_object *j = json_object_new_object(), *a = json_object_new_array();
	const char *s;

	json_object_object_add(j, "scope", json_object_new_string("this node alone"));
	json_object_object_add(j, "id", json_object_new_string(apr_psprintf(p, "%016" APR_UINT64_T_HEX_FMT, r->id)));
	json_object_object_add(j, "addr", json_object_new_string(core_addr_str(p, r->addr)));
	json_object_object_add(j, "fleet", json_object_new_string(apr_psprintf(p, "%016" APR_UINT64_T_HEX_FMT, r->fleet)));
	json_object_object_add(j, "edition", json_object_new_int64((int64_t)r->f.t.edition));
	json_object_object_add(j, "age_ms", json_object_new_int64(config_watch_age(&r->f, now)));
	json_object_object_add(j, "horizon", json_object_new_int64((int64_t)r->relay.k.horizon));
	json_object_object_add(j, "publisher", json_object_new_boolean(r->relay.publisher));
	for (int i = 0; i < SHARD_COUNT; i++) {
		struct raft *q = &r->part[i];
		struct json_object *x = json_object_new_object(), *ms = json_object_new_array();

		json_object_object_add(x, "part", json_object_new_int(i));
		json_object_object_add(x, "role", json_object_new_string(roles[q->role]));
		json_object_object_add(x, "licensed", json_object_new_boolean(raft_has_lease(q, now)));
		json_object_object_add(x, "owner", json_object_new_string(q->leader_addr ? core_addr_str(p, q->leader_addr) : ""));
		json_object_object_add(x, "term", json_object_new_int64((int64_t)q->term));
		json_object_object_add(x, "commit", json_object_new_int64((int64_t)q->commit));
		for (int k = 0; k < q->member_count; k++)
			json_object_array_add(
			    ms, json_object_new_string(apr_psprintf(p, "%016" APR_UINT64_T_HEX_FMT "@%s%s", q->members[k].id,
								    core_addr_str(p, q->members[k].addr),
								    q->members[k].voter ? "" : " (not voting)")));
		json_object_object_add(x, "members", ms);
		json_object_array_add(a, x);
	}
	json_object_object_add(j, "parts", a);
	a = json_object_new_array();
	for (ptrdiff_t i = 0; i < arrlen(r->seen) && leads_shard(r, SHARD_CONTROL, now); i++) {
		struct json_object *x = json_object_new_object();

		json_object_object_add(x, "addr", json_object_new_string(core_addr_str(p, r->seen[i].addr)));
		json_object_object_add(x, "counter", json_object_new_boolean(r->seen[i].counter));
		json_object_object_add(x, "edition", json_object_new_int64((int64_t)r->seen[i].edition));
		json_object_object_add(x, "horizon", json_object_new_int64((int64_t)r->seen[i].horizon));
		json_object_object_add(x, "heard_ms", json_object_new_int64(now - r->seen[i].at));
		json_object_array_add(a, x);
	}
	json_object_object_add(j, "nodes", a);
	a = json_object_new_array();
	for (ptrdiff_t i = 0; i < arrlen(r->server); i++) {
		struct json_object *x = json_object_new_object();

		if (!leads_shard(r, core_part_of(r->server[i].service, SHARD_SERVICES), now)) {
			json_object_put(x);
			continue;
		}
		json_object_object_add(x, "server", json_object_new_string(r->server[i].name));
		json_object_object_add(x, "weights", json_object_new_string(r->server[i].weights));
		json_object_object_add(x, "loading", json_object_new_string(r->server[i].loading));
		json_object_object_add(x, "carried", json_object_new_int64((int64_t)r->server[i].carried));
		json_object_object_add(x, "reported_ms", json_object_new_int64(now - r->server[i].reported));
		json_object_array_add(a, x);
	}
	json_object_object_add(j, "servers", a);
	json_object_object_add(j, "operator_calls", operator_calls_json(r));
	if (r->b.instances)
		json_object_object_add(
		    j, "sights",
		    instances_json(leads_shard(r, SHARD_CONTROL, now) && r->instances.listed ? &r->instances : &r->f.instances));
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

void read_state(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o)
{
	out_answer(o, ev->u.web.token, 200, 0, state_json(r, now, o->p));
}

/* ---- reads on the leader's word -------------------------------------------------------------- */

static void read_begins(struct controller *r, uint64_t web, Nl__ReadKind kind, int64_t now)
{
	struct controller_read read = { web, ++r->token, kind, now, now };

	arrput(r->reads, read);
}

void read_table(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o)
{
	read_begins(r, ev->u.web.token, NL__READ_KIND__READ_TABLE, now);
	config_watch_ask(&r->f, r->relay.k.horizon, now, o);
}

void read_retention(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o)
{
	(void)o;
	read_begins(r, ev->u.web.token, NL__READ_KIND__READ_RETENTION, now);
}

void read_retention_report(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o)
{
	(void)o;
	read_begins(r, ev->u.web.token, NL__READ_KIND__READ_RETENTION_REPORT, now);
}

void on_read_asked(struct controller *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	struct Nl__ReadReply *reply;
	struct Nl__Owner *hint;
	const char *body;

	if (!leads_shard(r, SHARD_CONTROL, now)) {
		hint = OUT_NEW(o, Nl__Owner, NL__OWNER__INIT);
		hint->owner = leader_hint(r, SHARD_CONTROL, now);
		out_msg(o, m->addr, SHARD_CONTROL, NL__MSG__BODY_OWNER)->owner = hint;
		return;
	}
	if (m->read->kind == NL__READ_KIND__READ_RETENTION)
		body = retention_json(r, now, o->p);
	else if (m->read->kind == NL__READ_KIND__READ_RETENTION_REPORT)
		body = retention_csv(r, o->p);
	else
		return;
	reply = OUT_NEW(o, Nl__ReadReply, NL__READ_REPLY__INIT);
	reply->token = m->read->token;
	reply->body.data = (uint8_t *)(uintptr_t)body;
	reply->body.len = strlen(body);
	out_msg(o, m->addr, SHARD_CONTROL, NL__MSG__BODY_READ_REPLY)->read_reply = reply;
}

void on_read_reply(struct controller *r, const struct Nl__ReadReply *reply, int64_t now, struct out *o)
{
	for (ptrdiff_t i = 0; i < arrlen(r->reads); i++) {
		const struct controller_read *read = &r->reads[i];

		if (read->token != reply->token || now >= read->asked + CONTROLLER_CALL)
			continue;
		out_answer_until(o, read->web, 200, apr_pstrmemdup(o->p, (const char *)reply->body.data, reply->body.len),
				 read->asked + CONTROLLER_CALL);
		arrdel(r->reads, i);
		return;
	}
}

/* Ask whoever leads, as far as is known. */
static void read_ask(struct controller *r, struct controller_read *read, int64_t now, struct out *o)
{
	struct Nl__Read *ask;

	if (read->kind == NL__READ_KIND__READ_TABLE || now < read->again) /* the table comes with the following */
		return;
	read->again = now + CONTROLLER_AGAIN / 4;
	ask = OUT_NEW(o, Nl__Read, NL__READ__INIT);
	ask->token = read->token;
	ask->kind = read->kind;
	out_msg(o, config_watch_leader_addr(&r->f, SHARD_CONTROL), SHARD_CONTROL, NL__MSG__BODY_READ)->read = ask;
}

void table_reads_tick(struct controller *r, int64_t now, struct out *o)
{
	for (ptrdiff_t i = arrlen(r->reads) - 1; i >= 0; i--) {
		struct controller_read *read = &r->reads[i];
		int fresh = read->kind == NL__READ_KIND__READ_TABLE && r->f.fresh >= read->asked;

		if (fresh) {
			out_answer_until(o, read->web, 200, table_json(&r->f.t, o->p), read->asked + CONTROLLER_CALL);
		} else if (leader_in_reach(r, now) && now < read->asked + CONTROLLER_CALL) {
			read_ask(r, read, now, o);
			continue;
		} else {
			refuse_without_leader(read->web, o);
		}
		arrdel(r->reads, i);
	}
}

/* ---- orders that are passed on to the leader --------------------------------------------------- */

/* Who sent an order and what it is, so that it is known when it is sent again. 0: its key is none, and it is answered so. */
static int order_of(const struct controller_ev *ev, int versioned, uint64_t version, struct order_id *id, struct out *o)
{
	if (ev->u.web.key && !order_key_valid(ev->u.web.key)) {
		out_answer(o, ev->u.web.token, 400, 0, error_json(o->p, ORDER_KEY_INVALID, 0));
		return 0;
	}
	order_identify(id, ev->u.web.key, ev->u.web.path, versioned, version, ev->u.web.body, strlen(ev->u.web.body));
	return 1;
}

void change_table(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o)
{
	struct Nl__OrderId order = NL__ORDER_ID__INIT;
	struct Nl__Op op = NL__OP__INIT;
	struct order_id id;
	const char *why = NULL;

	op.op_case = NL__OP__OP_CHANGE;
	op.change = table_change_parse(ev->u.web.body, o->p, &why);
	if (why) { /* no change at all, whatever the table holds: that is for the leader to judge */
		out_answer(o, ev->u.web.token, 400, 0, error_json(o->p, why, 0));
		return;
	}
	if (!order_of(ev, !op.change->any, op.change->expect, &id, o))
		return;
	op.order = order_pack(&id, &order);
	propose(r, SHARD_CONTROL, &op, ev->u.web.token, now);
}

void clear_context(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o)
{
	struct json_object *j = json_tokener_parse(ev->u.web.body);
	struct Nl__OrderId order = NL__ORDER_ID__INIT;
	struct Nl__Op op = NL__OP__INIT;
	struct Nl__Clear c = NL__CLEAR__INIT;
	struct order_id id;

	op.op_case = NL__OP__OP_CLEAR;
	op.clear = &c;
	c.step = NL__CLEAR_STEP__CLEAR_NOW;
	c.scope = (char *)json_str(j, "scope");
	c.by = (char *)(json_str(j, "by")[0] ? json_str(j, "by") : "an operator");
	if (strpbrk(c.by, ",\"\r\n") || strlen(c.by) > 100) {
		out_answer(o, ev->u.web.token, 400, 0, error_json(o->p, "by: up to 100 characters without commas and quotes", 0));
	} else if (order_of(ev, 0, 0, &id, o)) {
		op.order = order_pack(&id, &order);
		propose(r, SHARD_CONTROL, &op, ev->u.web.token, now);
	}
	json_object_put(j);
}
