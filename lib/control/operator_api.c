#include "operator_api.h"

#include <apr_strings.h>
#include <string.h>

#include "bootstrap.h"
#include "ds.h"
#include "leadership.h"
#include "proposals.h"
#include "reg_private.h"

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

static const char *state_json(struct reg *r, int64_t now, apr_pool_t *p)
{
	static const char *const roles[] = { "standby", "asking", "contender", "owner" };
	struct json_object *j = json_object_new_object(), *a = json_object_new_array();
	const char *s;

	json_object_object_add(j, "id", json_object_new_string(apr_psprintf(p, "%016" APR_UINT64_T_HEX_FMT, r->id)));
	json_object_object_add(j, "addr", json_object_new_string(core_addr_str(p, r->addr)));
	json_object_object_add(j, "fleet", json_object_new_string(apr_psprintf(p, "%016" APR_UINT64_T_HEX_FMT, r->fleet)));
	json_object_object_add(j, "edition", json_object_new_int64((int64_t)r->f.t.edition));
	json_object_object_add(j, "age_ms", json_object_new_int64(follow_age(&r->f, now)));
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
	for (ptrdiff_t i = 0; i < arrlen(r->seen) && in_office(r, SHARD_CONTROL, now); i++) {
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

		if (!in_office(r, core_part_of(r->server[i].service, SHARD_SERVICES), now)) {
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
	if (r->b.sights)
		json_object_object_add(
		    j, "sights", sights_json(in_office(r, SHARD_CONTROL, now) && r->sights.listed ? &r->sights : &r->f.sights));
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

void on_web(struct reg *r, uint64_t web, const char *verb, const char *path, const char *body, const char *key, int64_t now,
	    struct out *o)
{
	struct Nl__OrderId order = NL__ORDER_ID__INIT;
	struct order_id id;
	const char *why = NULL;

	if (key && !order_key_valid(key)) {
		out_answer(o, web, 400, 0, error_json(o->p, ORDER_KEY_INVALID, 0));
		return;
	}

	if (!strcmp(path, "/v1/state") && !strcmp(verb, "GET")) {
		out_answer(o, web, 200, 0, state_json(r, now, o->p));
	} else if (!strcmp(path, "/v1/table") && !strcmp(verb, "GET")) {
		typeof(*r->reads) x = { web, now };

		arrput(r->reads, x);
		follow_ask(&r->f, r->relay.k.horizon, now, o);
	} else if (!strcmp(path, "/v1/change") && !strcmp(verb, "POST")) {
		struct Nl__Op op = NL__OP__INIT;

		op.op_case = NL__OP__OP_CHANGE;
		op.change = table_change_parse(body, o->p, &why);
		if (why) {
			out_answer(o, web, 400, 0, error_json(o->p, why, 0));
			return;
		}
		order_identify(&id, key, path, !op.change->any, op.change->expect, body, strlen(body));
		op.order = order_pack(&id, &order);
		ask(r, SHARD_CONTROL, &op, web, now);
	} else if (!strcmp(path, "/v1/retention") && !strcmp(verb, "GET")) {
		out_answer(o, web, 200, 0, retention_json(r, now, o->p));
	} else if (!strcmp(path, "/v1/retention.csv") && !strcmp(verb, "GET")) {
		out_answer(o, web, 200, 0, retention_csv(r, o->p));
	} else if (!strcmp(path, "/v1/clear") && !strcmp(verb, "POST")) {
		struct json_object *j = json_tokener_parse(body);
		struct Nl__Op op = NL__OP__INIT;
		struct Nl__Clear c = NL__CLEAR__INIT;

		op.op_case = NL__OP__OP_CLEAR;
		op.clear = &c;
		c.step = NL__CLEAR_STEP__CLEAR_NOW;
		c.scope = (char *)json_str(j, "scope");
		c.by = (char *)(json_str(j, "by")[0] ? json_str(j, "by") : "an operator");
		order_identify(&id, key, path, 0, 0, body, strlen(body));
		op.order = order_pack(&id, &order);
		if (strpbrk(c.by, ",\"\r\n") || strlen(c.by) > 100)
			out_answer(o, web, 400, 0, error_json(o->p, "by: up to 100 characters without commas and quotes", 0));
		else
			ask(r, SHARD_CONTROL, &op, web, now);
		json_object_put(j);
	} else if (!strcmp(path, "/v1/found") && !strcmp(verb, "POST")) {
		if (r->found.web || r->found.own || !r->nseeds) {
			out_answer(o, web, 409, 1000, error_json(o->p, "found: already under way, or no seeds are set", 0));
			return;
		}
		found_begin(r, now);
		r->found.web = web;
	} else {
		out_answer(o, web, 404, 0, error_json(o->p, "path: no such call", 0));
	}
}

void reads_tick(struct reg *r, int64_t now, struct out *o)
{
	for (ptrdiff_t i = arrlen(r->reads) - 1; i >= 0; i--) {
		if (r->f.fresh >= r->reads[i].asked)
			out_answer(o, r->reads[i].web, 200, 0, table_json(&r->f.t, o->p));
		else if (now - r->reads[i].asked > REG_CALL)
			out_answer(o, r->reads[i].web, 503, 1000, error_json(o->p, "no owner of the configuration answers", 0));
		else
			continue;
		arrdel(r->reads, i);
	}
}
