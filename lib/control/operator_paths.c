#include "operator_paths.h"

#include <string.h>

#include "bootstrap.h"
#include "ds.h"
#include "leadership.h"
#include "operator_api.h"
#include "operator_documents.h"
#include "recovery.h"
#include "reg_private.h"

struct operator_path {
	enum reg_ev_kind kind;     /* REG_WEB, or a call that an adapter passes on, whatever its path is called there */
	const char *method, *path; /* of REG_WEB */
	enum path_needs needs;
	void (*handle)(struct reg *r, const struct reg_ev *ev, int64_t now, struct out *o);
};

static const struct operator_path paths[] = {
	{ REG_WEB, "GET", "/v1/state", PATH_NEEDS_LOCAL_STATE, read_state },
	{ REG_WEB, "GET", "/v1/table", PATH_NEEDS_LEADER_IN_REACH, read_table },
	{ REG_WEB, "GET", "/v1/retention", PATH_NEEDS_LEADER_IN_REACH, read_retention },
	{ REG_WEB, "GET", "/v1/retention.csv", PATH_NEEDS_LEADER_IN_REACH, read_retention_report },
	{ REG_WEB, "POST", "/v1/change", PATH_NEEDS_LEADER_IN_REACH, change_table },
	{ REG_WEB, "POST", "/v1/clear", PATH_NEEDS_LEADER_IN_REACH, clear_context },
	{ REG_WEB, "POST", "/v1/found", PATH_NEEDS_SEEDS, found_fleet },
	{ REG_WEB, "POST", "/v1/recover", PATH_NEEDS_LOCAL_STATE, recover_groups },
	{ REG_DOC, NULL, NULL, PATH_NEEDS_LEADERSHIP, put_document },
	{ REG_READ, NULL, NULL, PATH_NEEDS_LEADERSHIP, read_document },
	{ REG_NAME, NULL, NULL, PATH_NEEDS_LEADERSHIP, name_weights },
};

static uint64_t token_of(const struct reg_ev *ev)
{
	switch (ev->kind) {
	case REG_DOC: return ev->u.doc.token;
	case REG_READ: return ev->u.read.token;
	case REG_NAME: return ev->u.name.token;
	default: return ev->u.web.token;
	}
}

static const struct operator_path *path_of(const struct reg_ev *ev)
{
	for (size_t i = 0; i < sizeof paths / sizeof *paths; i++) {
		if (paths[i].kind != ev->kind)
			continue;
		if (ev->kind != REG_WEB || (!strcmp(paths[i].path, ev->u.web.path) && !strcmp(paths[i].method, ev->u.web.verb)))
			return &paths[i];
	}
	return NULL;
}

/* Name the leader, as far as it is known here; else say when to come back. */
static void redirect_to_leader(struct reg *r, uint64_t token, int64_t now, struct out *o)
{
	uint64_t leader = owner_hint(r, SHARD_CONTROL, now);
	struct cmd *c;

	if (!leader && leader_in_reach(r, now))
		leader = r->f.seat[SHARD_CONTROL];
	if (!leader || leader == r->addr) {
		refuse_without_leader(token, o);
		return;
	}
	c = out_cmd(o, CMD_ANSWER);
	c->u.answer.token = token;
	c->u.answer.status = 307;
	c->u.answer.body = "";
	c->u.answer.to = leader;
}

/* What was answered since this command holds as long as the lease does: whoever writes it looks at the clock once more. */
static void limit_to_lease(const struct reg *r, ptrdiff_t from, struct out *o)
{
	for (ptrdiff_t i = from; i < arrlen(o->v); i++)
		if (o->v[i].kind == CMD_ANSWER && o->v[i].u.answer.status < 500)
			o->v[i].u.answer.not_after = r->part[SHARD_CONTROL].lease_expires_at;
}

void on_operator_call(struct reg *r, const struct reg_ev *ev, int64_t now, struct out *o)
{
	const struct operator_path *path = path_of(ev);
	ptrdiff_t answers = arrlen(o->v);

	if (!path) { /* whatever the log holds, there is no such path */
		out_answer(o, token_of(ev), 404, 0, error_json(o->p, "path: no such call", 0));
		return;
	}
	switch (path->needs) {
	case PATH_NEEDS_LOCAL_STATE:
	case PATH_NEEDS_SEEDS: path->handle(r, ev, now, o); break;
	case PATH_NEEDS_LEADERSHIP:
		if (in_office(r, SHARD_CONTROL, now)) {
			path->handle(r, ev, now, o);
			limit_to_lease(r, answers, o);
		} else {
			redirect_to_leader(r, token_of(ev), now, o);
		}
		break;
	case PATH_NEEDS_LEADER_IN_REACH:
		if (leader_in_reach(r, now))
			path->handle(r, ev, now, o);
		else
			refuse_without_leader(token_of(ev), o);
		break;
	}
}
