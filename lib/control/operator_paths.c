#include "operator_paths.h"

#include <string.h>

#include "bootstrap.h"
#include "ds.h"
#include "leadership.h"
#include "operator_api.h"
#include "operator_documents.h"
#include "recovery.h"
#include "controller_private.h"

struct operator_path {
	enum controller_ev_kind kind; /* CONTROLLER_WEB, or a call that an adapter passes on, whatever its path is called there */
	const char *method, *path;    /* of CONTROLLER_WEB */
	enum path_needs needs;
	void (*handle)(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o);
};

static const struct operator_path paths[] = {
	{ CONTROLLER_WEB, "GET", "/v1/state", PATH_NEEDS_LOCAL_STATE, read_state },
	{ CONTROLLER_WEB, "GET", "/v1/table", PATH_NEEDS_LEADER_IN_REACH, read_table },
	{ CONTROLLER_WEB, "GET", "/v1/retention", PATH_NEEDS_LEADER_IN_REACH, read_retention },
	{ CONTROLLER_WEB, "GET", "/v1/retention.csv", PATH_NEEDS_LEADER_IN_REACH, read_retention_report },
	{ CONTROLLER_WEB, "POST", "/v1/change", PATH_NEEDS_LEADER_IN_REACH, change_table },
	{ CONTROLLER_WEB, "POST", "/v1/clear", PATH_NEEDS_LEADER_IN_REACH, clear_context },
	{ CONTROLLER_WEB, "POST", "/v1/found", PATH_NEEDS_SEEDS, found_fleet },
	{ CONTROLLER_WEB, "POST", "/v1/recover", PATH_NEEDS_LOCAL_STATE, recover_groups },
	{ CONTROLLER_DOC, NULL, NULL, PATH_NEEDS_LEADERSHIP, put_document },
	{ CONTROLLER_READ, NULL, NULL, PATH_NEEDS_LEADERSHIP, read_document },
	{ CONTROLLER_NAME, NULL, NULL, PATH_NEEDS_LEADERSHIP, name_weights },
};

static uint64_t token_of(const struct controller_ev *ev)
{
	switch (ev->kind) {
	case CONTROLLER_DOC: return ev->u.doc.token;
	case CONTROLLER_READ: return ev->u.read.token;
	case CONTROLLER_NAME: return ev->u.name.token;
	default: return ev->u.web.token;
	}
}

static const struct operator_path *path_of(const struct controller_ev *ev)
{
	for (size_t i = 0; i < sizeof paths / sizeof *paths; i++) {
		if (paths[i].kind != ev->kind)
			continue;
		if (ev->kind != CONTROLLER_WEB ||
		    (!strcmp(paths[i].path, ev->u.web.path) && !strcmp(paths[i].method, ev->u.web.verb)))
			return &paths[i];
	}
	return NULL;
}

/* Name the leader, as far as it is known here; else say when to come back. */
static void redirect_to_leader(struct controller *r, uint64_t token, int64_t now, struct out *o)
{
	uint64_t leader = leader_hint(r, SHARD_CONTROL, now);
	struct cmd *c;

	if (!leader && leader_in_reach(r, now))
		leader = r->f.leader_addr[SHARD_CONTROL];
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
static void limit_to_lease(const struct controller *r, ptrdiff_t from, struct out *o)
{
	for (ptrdiff_t i = from; i < arrlen(o->v); i++)
		if (o->v[i].kind == CMD_ANSWER && o->v[i].u.answer.status < 500)
			o->v[i].u.answer.not_after = r->part[SHARD_CONTROL].lease_expires_at;
}

void on_operator_call(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o)
{
	const struct operator_path *path = path_of(ev);
	ptrdiff_t answers = arrlen(o->v);

	r->calls.read++;
	if (!path) { /* whatever the log holds, there is no such path */
		out_answer(o, token_of(ev), 404, 0, error_json(o->p, "path: no such call", 0));
		return;
	}
	if (r->stopping && path->needs != PATH_NEEDS_LOCAL_STATE) {
		refuse_while_stopping(token_of(ev), o);
		return;
	}
	switch (path->needs) {
	case PATH_NEEDS_LOCAL_STATE:
	case PATH_NEEDS_SEEDS: path->handle(r, ev, now, o); break;
	case PATH_NEEDS_LEADERSHIP:
		if (leads_shard(r, SHARD_CONTROL, now)) {
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
