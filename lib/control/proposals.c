#include "proposals.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "leadership.h"
#include "controller_private.h"
#include "state_machine.h"

void reply_to_proposal(uint64_t addr, uint64_t token, uint32_t st, uint64_t version, const char *why, uint64_t hint, struct out *o)
{
	struct Nl__Answer *a = OUT_NEW(o, Nl__Answer, NL__ANSWER__INIT);

	a->token = token;
	a->status = st;
	a->why = (char *)why;
	a->edition = version;
	a->hint = hint;
	out_msg(o, addr, 0, NL__MSG__BODY_ANSWER)->answer = a;
}

/* Operators' calls that wait for this entry. */
static void answer_operator_calls(struct controller *r, uint64_t index, uint32_t st, struct out *o)
{
	for (ptrdiff_t i = arrlen(r->call) - 1; i >= 0; i--) {
		if (r->call[i].index != index)
			continue;
		if (st == TABLE_DONE)
			out_answer(o, r->call[i].token, 200, 0, "{}");
		else if (st == TABLE_KEY_REUSED)
			out_answer(o, r->call[i].token, 422, 0, error_json(o->p, ORDER_KEY_REUSED, 0));
		else if (st == TABLE_OVERTAKEN)
			out_answer(o, r->call[i].token, 412, 0, error_json(o->p, "another version is current", 0));
		else
			out_answer(o, r->call[i].token, 400, 0, error_json(o->p, "version: not above the current one", 0));
		arrdel(r->call, i);
	}
}

/* Why an entry that a proposal waited for came to nothing. */
static const char *outcome_text(uint32_t st)
{
	switch (st) {
	case TABLE_OVERTAKEN: return "edition overtaken";
	case TABLE_REFUSED: return "already claimed";
	case TABLE_KEY_REUSED: return ORDER_KEY_REUSED;
	default: return "";
	}
}

void answer_proposers(struct controller *r, uint32_t part, uint64_t index, struct applied applied, struct out *o)
{
	if (part == SHARD_CONTROL)
		answer_operator_calls(r, index, applied.status, o);
	for (ptrdiff_t i = 0; i < arrlen(r->wait); i++)
		if (r->wait[i].part == part && r->wait[i].index == index) {
			reply_to_proposal(r->wait[i].addr, r->wait[i].token, applied.status, applied.version,
					  outcome_text(applied.status), 0, o);
			arrdel(r->wait, i);
			return;
		}
}

/* An operator wants a scope cleared now; the time is the owner's, since nothing is planned by it. */
static const char *check_purge_request(const struct controller *r, struct Nl__Clear *c, int64_t now, apr_pool_t *p)
{
	int64_t wall = retention_wall(r, now);
	char lane[200], tenant[200];

	if (!retention_scope(c->scope, lane, tenant))
		return "scope: lane/tenant, with * for all; * alone for everything";
	if (lane[0] && !table_get(&r->ctl, NL__KIND__LANE, lane))
		return apr_psprintf(p, "scope: no lane %s", lane);
	if (tenant[0] && !table_get(&r->ctl, NL__KIND__TENANT, tenant))
		return apr_psprintf(p, "scope: no tenant %s", tenant);
	c->wall = c->due = wall == INT64_MIN ? r->wall : wall;
	return NULL;
}

/* A change that builds on an older edition is late, unless it may be an order that was accepted and is forgotten. */
static uint32_t change_overtaken(const struct controller *r, const struct Nl__Change *c)
{
	return orders_may_have_forgotten(&r->orders, ORDER_CHANGES, c->expect) ? TABLE_FORGOTTEN : TABLE_OVERTAKEN;
}

void on_proposal(struct controller *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__Propose *q = m->propose;
	struct controller_wait w = { m->part, 0, m->addr, q->token };
	const char *why = NULL;
	const struct controller_done *done;
	const struct order_record *accepted;
	struct order_id id = order_unpack(q->op ? q->op->order : NULL);
	int fits;

	if (m->part >= SHARD_COUNT || !q->op)
		return;
	fits = m->part == SHARD_CONTROL    ? q->op->op_case == NL__OP__OP_CHANGE || (q->op->op_case == NL__OP__OP_CLEAR &&
                                                                                  q->op->clear->step == NL__CLEAR_STEP__CLEAR_NOW)
	       : service_shard(r, m->part) ? q->op->op_case == NL__OP__OP_CLAIM
					   : 0;
	if (!leads_shard(r, m->part, now)) {
		reply_to_proposal(m->addr, q->token, TABLE_NOT_OWNER, 0, "", leader_hint(r, m->part, now), o);
		return;
	}
	if (!fits)
		why = "op: not one that this part takes";
	else if ((accepted = orders_find(&r->orders, &id))) {
		reply_to_proposal(m->addr, q->token, order_outcome(accepted, &id), accepted->version, ORDER_KEY_REUSED, 0, o);
		return;
	} else if (m->part == SHARD_CONTROL && (done = find_done_operation(r, q->op->from, q->op->token))) {
		reply_to_proposal(m->addr, q->token, done->status, r->ctl.edition, "edition overtaken", 0, o);
		return;
	} else if (m->part == SHARD_CONTROL && q->op->op_case == NL__OP__OP_CLEAR) {
		why = check_purge_request(r, q->op->clear, now, o->p);
	} else if (m->part == SHARD_CONTROL && r->ctl.edition && !q->op->change->any && q->op->change->expect < r->ctl.plan) {
		reply_to_proposal(m->addr, q->token, change_overtaken(r, q->op->change), r->ctl.edition, "edition overtaken", 0, o);
		return;
	} else if (m->part == SHARD_CONTROL) {
		why = table_check(&r->ctl, q->op->change, o->p);
		if (!why)
			why = retention_check(r->calendar, q->op->change, retention_wall(r, now), o->p);
	}
	if (why) {
		reply_to_proposal(m->addr, q->token, TABLE_REFUSED, r->ctl.edition, why, 0, o);
		return;
	}
	w.index = log_operation(r, m->part, q->op, now, o);
	if (w.index)
		arrput(r->wait, w);
	else /* it leads and is to stop: surely not logged here, and its successor is not known yet */
		reply_to_proposal(m->addr, q->token, TABLE_NOT_OWNER, 0, "", leader_hint(r, m->part, now), o);
}

/* A proposal of this node's own, or of an operator calling here. */
void propose(struct controller *r, uint32_t part, const struct Nl__Op *op, uint64_t web, int64_t now)
{
	struct controller_ask a = { ++r->token, web, part, NULL, now + CONTROLLER_CALL, 0, 0, 0, 0 };
	size_t n = nl__op__get_packed_size(op);
	uint8_t *d = malloc(n + 1);

	if (!d)
		abort();
	nl__op__pack(op, d);
	a.op = nl__op__unpack(NULL, n, d);
	free(d);
	if (!a.op)
		abort();
	a.op->from = r->id;
	a.op->token = a.token;
	arrput(r->ask, a);
}

static void end_proposal(struct controller *r, ptrdiff_t i)
{
	nl__op__free_unpacked(r->ask[i].op, NULL);
	arrdel(r->ask, i);
}

/* Whether a proposal is over without an outcome. What surely was not logged is answered as soon as no leader is in reach;
 * what may have been waits for its outcome, up to its time. A controller that is to stop looks for no leader any more: there
 * nothing waits without one. */
static int ask_given_up(const struct controller *r, const struct controller_ask *a, int64_t now, struct out *o)
{
	int open = a->sends > a->denied;

	if (now < a->until && (!a->web || leader_in_reach(r, now) || (open && !r->stopping)))
		return 0;
	if (a->web && open)
		out_answer(o, a->web, 504, CONTROLLER_RETRY_MS,
			   error_json(o->p, "outcome unknown: read the table before trying again", 0));
	else if (a->web)
		refuse_without_leader(a->web, o);
	return 1;
}

void proposals_tick(struct controller *r, int64_t now, struct out *o)
{
	for (ptrdiff_t i = arrlen(r->ask) - 1; i >= 0; i--) {
		struct controller_ask *a = &r->ask[i];
		struct Nl__Propose *q;

		if (ask_given_up(r, a, now, o)) {
			end_proposal(r, i);
			continue;
		}
		if (now < a->again || !leader_in_reach(r, now))
			continue;
		a->again = now + CONTROLLER_AGAIN;
		a->sends++;
		q = OUT_NEW(o, Nl__Propose, NL__PROPOSE__INIT);
		q->token = a->token;
		q->op = (struct Nl__Op *)core_dup(o->p, &a->op->base);
		out_msg(o, config_watch_leader_addr(&r->f, a->part), a->part, NL__MSG__BODY_PROPOSE)->propose = q;
	}
}

/* The status of an order that was not accepted. */
static int refusal_status(uint32_t st)
{
	switch (st) {
	case TABLE_OVERTAKEN: return 409;
	case TABLE_KEY_REUSED: return 422;
	case TABLE_FORGOTTEN: return 504;
	default: return 400;
	}
}

/* A copy was refused as the table stood. While another may still be on its way, it may be accepted as the table stands
 * then: nothing is said before that one is answered too, and no more are sent. */
static int another_copy_is_open(struct controller_ask *a)
{
	a->refused++;
	if (a->refused >= a->sends - a->denied)
		return 0;
	a->again = a->until;
	return 1;
}

void on_proposal_reply(struct controller *r, const struct Nl__Answer *a, int64_t now, struct out *o)
{
	for (ptrdiff_t i = 0; i < arrlen(r->ask); i++) {
		struct controller_ask *q = &r->ask[i];
		const char *body;

		if (q->token != a->token)
			continue;
		if (a->status == TABLE_NOT_OWNER) { /* surely not logged there */
			q->denied++;
			q->again = now + CONTROLLER_SOON; /* the one named */
			config_watch_hint(&r->f, q->part, a->hint);
			return;
		}
		if (a->status == TABLE_REFUSED && another_copy_is_open(q))
			return;
		if (a->status == TABLE_BUSY) { /* stays open: its end is unknown, and the next leader will tell */
			q->again = now + CONTROLLER_SOON;
			return;
		}
		if (a->status != TABLE_DONE && now >= q->until)
			return; /* said long ago, and read only now: no more than that it may have been logged is certain */
		if (q->web && a->status == TABLE_DONE) {
			body = apr_psprintf(o->p, "{\"edition\":%" APR_UINT64_T_FMT "}", a->edition);
			out_answer(o, q->web, 200, 0, body);
		} else if (q->web) {
			int status = refusal_status(a->status);

			body = error_json(o->p, a->status == TABLE_FORGOTTEN ? ORDER_FORGOTTEN : a->why, a->edition);
			if (status < 500)
				out_answer_until(o, q->web, status, body, q->until);
			else
				out_answer(o, q->web, status, CONTROLLER_RETRY_MS, body);
		}
		end_proposal(r, i);
		config_watch_ask(&r->f, r->relay.k.horizon, now, o);
		return;
	}
}
