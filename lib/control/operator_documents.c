#include "operator_documents.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "leadership.h"
#include "controller_private.h"
#include "state_machine.h"

/* Log a change and answer when it is committed. */
static void log_and_answer(struct controller *r, uint64_t token, struct Nl__Change *c, const struct order_id *id, int64_t now,
			   struct out *o)
{
	struct controller_call w = { token, 0, *id, now + CONTROLLER_CALL };
	struct Nl__OrderId order = NL__ORDER_ID__INIT;
	struct Nl__Op op = NL__OP__INIT;

	op.op_case = NL__OP__OP_CHANGE;
	op.change = c;
	op.order = order_pack(id, &order);
	w.index = log_operation(r, SHARD_CONTROL, &op, now, o);
	if (w.index)
		arrput(r->call, w);
	else
		refuse_without_leader(token, o);
}

/* An order that was accepted is acknowledged again; one that is being logged is waited for. 1: it was such a one. */
static int answer_repeated(struct controller *r, uint64_t token, const struct order_id *id, int64_t now, struct out *o)
{
	const struct order_record *accepted = orders_find(&r->orders, id);

	if (accepted) {
		if (order_outcome(accepted, id) == TABLE_DONE)
			out_answer(o, token, 200, 0, "{}");
		else
			out_answer(o, token, 422, 0, error_json(o->p, ORDER_KEY_REUSED, 0));
		return 1;
	}
	for (ptrdiff_t i = 0; i < arrlen(r->call); i++)
		if (order_same(&r->call[i].order, id)) {
			struct controller_call w = { token, r->call[i].index, *id, now + CONTROLLER_CALL };

			arrput(r->call, w);
			return 1;
		}
	return 0;
}

/* A document that builds on another version is late, unless it may be an order that was accepted and is forgotten. */
static void answer_overtaken(struct controller *r, uint64_t token, uint64_t base, struct out *o)
{
	if (orders_may_have_forgotten(&r->orders, ORDER_DOCUMENTS, base))
		out_answer(o, token, 504, CONTROLLER_CALL, error_json(o->p, ORDER_FORGOTTEN, 0));
	else
		out_answer(o, token, 412, 0, error_json(o->p, "another version is current", 0));
}

void put_document(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o)
{
	uint64_t token = ev->u.doc.token, base = ev->u.doc.base;
	int patch = ev->u.doc.patch;
	const char *body = ev->u.doc.body;
	size_t len = ev->u.doc.len;
	struct Nl__Change c = NL__CHANGE__INIT;
	const char *why = NULL;
	struct order_id id;

	if (ev->u.doc.invalid) {
		out_answer(o, token, 400, 0, error_json(o->p, ev->u.doc.invalid, 0));
		return;
	}
	order_identify(&id, NULL, patch ? "patch" : "document", 1, base, body, len);
	if (answer_repeated(r, token, &id, now, o))
		return;
	if (base != r->ctl_doc_version) {
		answer_overtaken(r, token, base, o);
		return;
	}
	if (!r->codec)
		why = "document: none is taken here";
	else if (r->codec->read((const char *)r->ctl_doc, r->ctl_doc_len, body, len, patch, &c, &why, o->p))
		why = why ? why : "document: cannot be read";
	else if (c.doc_version <= r->ctl_doc_version)
		why = "version: not above the current one";
	else {
		c.any = c.whole = c.keys = 1;
		c.doc_base = base;
		why = table_check(&r->ctl, &c, o->p);
	}
	if (why)
		out_answer(o, token, 400, 0, error_json(o->p, why, 0));
	else
		log_and_answer(r, token, &c, &id, now, o);
}

void read_document(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o)
{
	uint64_t token = ev->u.read.token;
	struct cmd *c;

	(void)now;
	if (!r->ctl_doc_version) {
		out_answer(o, token, 404, 0, error_json(o->p, "no document was taken yet", 0));
		return;
	}
	c = out_cmd(o, CMD_ANSWER);
	c->u.answer.token = token;
	c->u.answer.status = 200;
	c->u.answer.body = apr_pmemdup(o->p, r->ctl_doc, r->ctl_doc_len + 1);
	c->u.answer.len = r->ctl_doc_len;
}

void name_weights(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o)
{
	uint64_t token = ev->u.name.token;
	const char *model = ev->u.name.model, *weights = ev->u.name.weights;
	struct Nl__Change c = NL__CHANGE__INIT;
	struct Nl__Row m = NL__ROW__INIT, *set[1] = { &m };
	const struct order_id none = { 0 }; /* a number that only rises needs no record */
	const struct Nl__Row *old;
	const char *why;

	if (ev->u.name.invalid) {
		out_answer(o, token, 400, 0, error_json(o->p, ev->u.name.invalid, 0));
		return;
	}
	m.kind = NL__KIND__MODEL;
	m.name = (char *)model;
	m.weights = (char *)weights;
	c.any = 1;
	c.set = set;
	c.n_set = 1;
	why = table_check(&r->ctl, &c, o->p);
	if (why || !weights[0]) {
		out_answer(o, token, 400, 0, error_json(o->p, why ? why : "weights: missing", 0));
		return;
	}
	old = table_get(&r->ctl, NL__KIND__MODEL, model);
	if (strtoull(weights, NULL, 10) <= (old ? strtoull(old->weights, NULL, 10) : 1))
		out_answer(o, token, 200, 0, "{}"); /* committed, and perhaps overtaken, before */
	else
		log_and_answer(r, token, &c, &none, now, o);
}

void calls_tick(struct controller *r, int64_t now, struct out *o)
{
	for (ptrdiff_t i = arrlen(r->call) - 1; i >= 0; i--)
		if (now >= r->call[i].until) {
			out_answer(o, r->call[i].token, 504, CONTROLLER_RETRY_MS,
				   error_json(o->p, "outcome unknown: send it again", 0));
			arrdel(r->call, i);
		}
}
