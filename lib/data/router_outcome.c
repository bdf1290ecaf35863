/* router_outcome: how requests end. Every request that is taken ends in exactly one outcome, through router_request_end, or
 * through router_decline when it was never queued. Nothing else answers a client for good or takes a request out of the
 * router's tables. At every step: taken == the sum of outcomes + those under way (router_balanced). */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "ds.h"

enum {
	STATUS_TIMED_OUT = 408,
	STATUS_CLAIMED = 409,
	STATUS_MISDIRECTED = 421,
	STATUS_TOO_MANY = 429,
	STATUS_BROKE = 502,
	STATUS_AWAY = 503
};

struct client_request *router_request_by(struct router *c, uint64_t token)
{
	ptrdiff_t i = c->by ? hmgeti(c->by, token) : -1;

	return i < 0 ? NULL : c->by[i].value;
}

void router_request_add(struct router *c, struct client_request *x)
{
	x->slot = (int)arrlen(c->all);
	arrput(c->all, x);
	hmput(c->by, x->token, x);
}

/* Take a request out of everything; what its client hears has been said before. */
static void request_drop(struct router *c, struct client_request *x)
{
	if (x->state == REQUEST_WAITING) {
		router_queue_remove(c, x);
	} else {
		router_quota_release(c, x);
		if (x->server >= 0) {
			c->sv[x->server].own--;
			c->sv[x->server].ahead -= x->ahead;
			if (x->forwarded && x->state == REQUEST_RUNNING)
				c->sv[x->server].tokens -= x->brings;
		}
	}
	if (x->resend_paid)
		c->budget[x->service] += ROUTER_RESEND_COST; /* never sent again */
	(void)hmdel(c->by, x->token);
	if (x->claim)
		(void)hmdel(c->by, x->claim);
	if (x->call)
		(void)hmdel(c->by, x->call);
	arrdelswap(c->all, x->slot);
	if (x->slot < arrlen(c->all))
		c->all[x->slot]->slot = x->slot;
	apr_pool_destroy(x->p);
}

void router_requests_discard(struct router *c)
{
	while (arrlen(c->all))
		request_drop(c, c->all[0]);
}

int router_balanced(const struct router *c)
{
	uint64_t sum = (uint64_t)arrlen(c->all);

	for (int i = 0; i < REQUEST_OUTCOMES; i++)
		sum += c->n.outcome[i];
	return sum == c->n.taken;
}

/* A server may have begun on it, or its client has a part of an answer: no promise holds any more. */
static int may_have_run(const struct client_request *x) { return x->state == REQUEST_RUNNING || x->begun || x->ran; }

/* Statuses that promise that the request never ran and never will. */
static int is_promise(int status)
{
	return status == STATUS_AWAY || status == STATUS_TOO_MANY || status == STATUS_TIMED_OUT || status == STATUS_MISDIRECTED;
}

static void end_stream(uint64_t token, const char *body, int ok, struct out *o)
{
	struct cmd *k = out_cmd(o, CMD_END);

	k->u.piece.token = token;
	k->u.piece.body = body;
	k->u.piece.len = strlen(body);
	k->u.piece.ok = ok;
}

/* Refused or rejected: nothing of it has run. */
static void tell_refusal(uint64_t token, const struct request_ending *e, struct out *o)
{
	const char *word = e->status == STATUS_CLAIMED ? "claimed" : "refused"; /* the asking that holds the id may be running */

	out_answer(o, token, e->status, e->outcome == REQUEST_REFUSED ? e->retry_ms : 0, router_error_json(o->p, e->why, word));
}

static void tell_broken_off(const struct client_request *x, const struct request_ending *e, struct out *o)
{
	const char *body = router_error_json(o->p, e->why, "unknown");

	if (x->begun)
		end_stream(x->token, body, 0, o);
	else
		out_answer(o, x->token, is_promise(e->status) ? STATUS_BROKE : e->status, 0, body);
}

static void cancel_call(const struct client_request *x, struct out *o)
{
	if (x->state == REQUEST_RUNNING && x->call)
		out_cmd(o, CMD_CANCEL)->u.cancel.token = x->call;
}

void router_request_end(struct router *c, struct client_request *x, const struct request_ending *e, int64_t now, struct out *o)
{
	enum request_outcome outcome = e->outcome;

	if ((outcome == REQUEST_REFUSED || outcome == REQUEST_REJECTED) && may_have_run(x))
		outcome = REQUEST_BROKEN_OFF;
	/* the id may be used again, unless it is another asking's or may have run */
	if (x->claim && e->status != STATUS_CLAIMED && outcome != REQUEST_ANSWERED && !may_have_run(x))
		router_claim_release(c, x, now, o);
	switch (outcome) {
	case REQUEST_ANSWERED: /* the text of a forwarded one has gone by the door */
		if (!x->forwarded)
			end_stream(x->token, e->why, 1, o);
		router_use_of(c, x)->value.exchanges++;
		router_use_of(c, x)->value.pieces += x->next;
		break;
	case REQUEST_REFUSED:
	case REQUEST_REJECTED: tell_refusal(x->token, e, o); break;
	case REQUEST_BROKEN_OFF:
		cancel_call(x, o);
		tell_broken_off(x, e, o);
		router_use_of(c, x)->value.errors++;
		break;
	default: cancel_call(x, o); /* its client has gone: nobody is told */
	}
	c->n.outcome[outcome]++;
	request_drop(c, x);
}

void router_decline(struct router *c, uint64_t token, const struct request_ending *e, struct out *o)
{
	c->n.outcome[e->outcome]++;
	tell_refusal(token, e, o);
}

/* ---- endings by name ----------------------------------------------------------------------------------- */

void router_give_up(struct router *c, struct client_request *x, int status, const char *why, int64_t now, struct out *o)
{
	router_request_end(c, x, &(struct request_ending){ REQUEST_BROKEN_OFF, status, why, 0 }, now, o);
}

void router_refuse(struct router *c, struct client_request *x, int status, const char *why, double back, int64_t now, struct out *o)
{
	router_request_end(
	    c, x,
	    &(struct request_ending){ REQUEST_REFUSED, status, why,
				      back == ROUTER_SOON ? router_retry_soon(c, ROUTER_SOON) : router_retry_in(c, back) },
	    now, o);
}

void router_reject(struct router *c, struct client_request *x, int status, const char *why, int64_t now, struct out *o)
{
	router_request_end(c, x, &(struct request_ending){ REQUEST_REJECTED, status, why, 0 }, now, o);
}

void router_end_early(struct router *c, struct client_request *x, int status, const char *why, int64_t now, struct out *o)
{
	if (may_have_run(x))
		router_give_up(c, x, status, why, now, o);
	else if (is_promise(status))
		router_refuse(c, x, status, why, ROUTER_RETRY, now, o);
	else
		router_reject(c, x, status, why, now, o);
}
