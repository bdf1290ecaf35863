/* router_send: sends, what comes back from servers, and when another may have it. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

static struct json_object *copy_json(const struct router *c, uint64_t hash, const struct kept_copy *k, apr_pool_t *p)
{
	struct json_object *j = json_object_new_object();

	json_object_object_add(j, "h", json_object_new_string(apr_psprintf(p, "%016" APR_UINT64_T_HEX_FMT, hash)));
	json_object_object_add(j, "m", json_object_new_string(c->tenants.name[k->maker]));
	json_object_object_add(j, "t", json_object_new_int64((int64_t)k->stamp));
	return j;
}

/* Resends that may be saved up: a router's part of what the fleet may resend at once beside its share of the traffic. */
static int64_t budget_cap(const struct router *c)
{
	uint32_t n = c->f.counters ? c->f.counters : 1;

	return c->b.instances ? 1000 + (int64_t)c->b.budget_slack * 600 / n : ROUTER_BUDGET_CAP;
}

/* What every send costs and earns, whatever its door. */
static void count_send(struct router *c, struct client_request *x, const struct plan *pl, int64_t now)
{
	c->n.sends++;
	c->budget[x->service] += c->b.instances ? c->b.budget_mille * 3 / 4 : ROUTER_BUDGET;
	if (c->budget[x->service] > budget_cap(c))
		c->budget[x->service] = budget_cap(c);
	c->n.tokens += router_tokens_upto(x, x->nparts) + x->tail_tokens;
	c->n.reused += router_tokens_upto(x, pl->keep);
	c->n.fetched += pl->from >= 0 ? router_tokens_upto(x, pl->upto) - router_tokens_upto(x, pl->keep) : 0;
	c->n.cold += !relay_current(&c->relay, now);
	router_use_of(c, x)->value.tokens += router_tokens_upto(x, x->nparts) + x->tail_tokens;
	router_use_of(c, x)->value.reused += router_tokens_upto(x, pl->keep);
}

/* The one place where an exchange leaves for a server. */
/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
static void send_to(struct router *c, struct client_request *x, const struct plan *pl, int64_t now, struct out *o)
{
	const struct route_table *b = c->route_table;
	struct router_server *v = &c->sv[pl->server];
	struct json_object *j = json_object_new_object(), *a;
	struct cmd *k;
	double read;

	x->state = REQUEST_RUNNING;
	x->server = pl->server;
	x->weights = v->weights;
	x->stamp = c->relay.k.horizon;
	x->sent_at = now;
	x->sends++;
	x->next = 0;
	x->from = pl->from;
	x->fetch_ms = (uint32_t)(pl->fetch + 0.5);
	x->call = router_token_new(c);
	hmput(c->by, x->call, x);
	x->xid = apr_psprintf(x->p, "%016" APR_UINT64_T_HEX_FMT "-%" APR_UINT64_T_FMT "-%d", c->id, x->seq, x->sends);
	v->own++;
	json_object_object_add(j, "x", json_object_new_string(x->xid));
	json_object_object_add(j, "id", json_object_new_string(x->id));
	json_object_object_add(j, "tenant", json_object_new_string(c->tenants.name[x->tenant]));
	json_object_object_add(j, "weights", json_object_new_string(c->weights.name[x->weights]));
	json_object_object_add(j, "stamp", json_object_new_int64((int64_t)x->stamp));
	json_object_object_add(j, "limit_ms", json_object_new_int64(x->limit - now));
	a = json_object_new_array();
	for (int i = 0; i < x->nparts; i++) {
		struct json_object *e = json_object_new_object();

		json_object_object_add(e, "h", json_object_new_string(apr_psprintf(o->p, "%016" APR_UINT64_T_HEX_FMT, x->hash[i])));
		json_object_object_add(e, "text", json_object_new_string(x->text[i]));
		json_object_array_add(a, e);
	}
	json_object_object_add(j, "parts", a);
	json_object_object_add(j, "tail", json_object_new_string(x->tail));
	a = json_object_new_array();
	for (int i = 0; i < pl->keep; i++)
		json_object_array_add(
		    a, copy_json(c, x->hash[i], router_usable(c, x, x->hash[i], (uint32_t)pl->server, x->weights), o->p));
	json_object_object_add(j, "reuse", a);
	if (pl->from >= 0) {
		struct json_object *f = json_object_new_object();

		a = json_object_new_array();
		for (int i = pl->keep; i < pl->upto; i++)
			json_object_array_add(
			    a, copy_json(c, x->hash[i], router_usable(c, x, x->hash[i], (uint32_t)pl->from, x->weights), o->p));
		json_object_object_add(f, "from", json_object_new_string(c->server_table->server[pl->from].addr));
		json_object_object_add(f, "parts", a);
		/* no longer than reading them anew would take */
		read = (double)(router_tokens_upto(x, pl->upto) - router_tokens_upto(x, pl->keep)) / b->service[x->service].prefill;
		json_object_object_add(f, "wait_ms",
				       json_object_new_int(read < 1                   ? 1
							   : read > ROUTER_FETCH_MOST ? ROUTER_FETCH_MOST
										      : (int)read));
		json_object_object_add(j, "fetch", f);
	}
	k = out_cmd(o, CMD_CALL);
	k->u.call.token = x->call;
	k->u.call.addr = apr_pstrdup(o->p, c->server_table->server[pl->server].addr);
	k->u.call.path = "/v1/run";
	k->u.call.body =
	    apr_pstrdup(o->p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	k->u.call.limit_ms = (int)(x->limit - now);
	k->u.call.stream = 1;
	k->u.call.not_after = c->f.fresh + router_ride(c) + 200; /* a frozen process must not send what was decided before */
	json_object_put(j);
	count_send(c, x, pl, now);
}

/* How long a server may work at a request. Shortly before the end of its weights not longer than until then: a server that goes on
 * with a request after its connection has closed would begin it past their bound, and turns away what its deadline has passed for. */
static int server_limit(const struct router *c, const struct client_request *x, int64_t now)
{
	int64_t limit = x->limit - now, weights = router_weights_end(c, x->service, x->weights, now);

	if (weights != INT64_MAX && weights - now < ROUTER_ROLL_CAP && weights - now < limit)
		limit = weights - now;
	return (int)limit;
}

static struct decision_counts *decisions_of(struct router *c, const struct client_request *x)
{
	while (arrlen(c->decisions) <= (ptrdiff_t)x->lane)
		arrput(c->decisions, NULL);
	if (!c->decisions[x->lane])
		c->decisions[x->lane] = apr_pcalloc(c->p, sizeof **c->decisions);
	return c->decisions[x->lane];
}

/* What was decided and is expected of it. */
static void record_decision(struct router *c, struct client_request *x, const struct plan *pl, int64_t now)
{
	int shared = x->nparts > 1 ? x->nparts - 1 : x->nparts, have = pl->from >= 0 ? pl->upto : pl->keep;
	uint64_t lacks = have < shared ? router_tokens_upto(x, shared) - router_tokens_upto(x, have) : 0;
	struct decision_counts *n = decisions_of(c, x);

	x->decision = (struct decision){
		.reason = pl->reason,
		.candidates = pl->candidates,
		.kept = (uint32_t)router_tokens_upto(x, pl->keep),
		.moved = (uint32_t)(router_tokens_upto(x, have) - router_tokens_upto(x, pl->keep)),
		.read = x->ahead,
		.shared = (uint32_t)lacks,
		.older = x->weights != c->route_table->service[x->service].weights,
		.wait_ms = (int)x->guess,
		.open = 1,
	};
	n->looked_up += x->lookup == LOOKUP_ANSWERED;
	n->looked_up_late += x->lookup == LOOKUP_MISSED;
	decision_count(n, &x->decision, now - (x->given_back_at ? x->given_back_at : x->since_at));
}

/* The text goes from the door; here is whom to, and what for. */
/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
void router_forward(struct router *c, struct client_request *x, const struct plan *pl, int64_t now, struct out *o)
{
	const struct route_table *b = c->route_table;
	const struct bk_server *sv = &c->server_table->server[pl->server];
	struct router_server *v = &c->sv[pl->server];
	struct forward *f = apr_pcalloc(o->p, sizeof *f);
	int current = relay_current(&c->relay, now);
	int64_t last_send;

	x->state = REQUEST_RUNNING;
	x->server = pl->server;
	x->weights = v->weights;
	x->stamp = c->relay.k.horizon;
	x->sent_at = now;
	x->sends++;
	x->from = pl->from;
	x->first = 0;
	x->call = router_token_new(c);
	hmput(c->by, x->call, x);
	x->ahead = (uint32_t)(router_tokens_upto(x, x->nparts) + x->tail_tokens -
			      router_tokens_upto(x, pl->from >= 0 ? pl->upto : pl->keep));
	x->guess = pl->cost + ROUTER_FIRST_MS;
	v->own++;
	v->ahead += x->ahead;
	x->brings = router_brings(x, pl->keep);
	v->tokens += x->brings;
	f->call = x->call;
	f->caller = x->token;
	f->addr = sv->to;
	f->server = c->servers.name[pl->server];
	f->tenant = x->tenant == b->keyless ? NULL : c->tenants.name[x->tenant];
	f->cache_namespace = current ? router_cache_namespace(c, x, v->weights, o->p)
				     : apr_psprintf(o->p, "cold-%" APR_UINT64_T_HEX_FMT "-%" APR_UINT64_T_FMT, c->id, x->call);
	x->cache_namespace = current ? core_hashs(0, f->cache_namespace) : 0;
	x->filed = router_filed(c, x);
	f->sink = current ? router_sink(c, x, x->cache_namespace, now) : 0;
	if (pl->from >= 0 && pl->upto > pl->keep)
		router_link_use(c, (uint32_t)pl->from, pl->move, now);
	if (f->sink)
		router_link_use(c, (uint32_t)router_store_of(c, x),
				(double)x->ahead * b->service[x->service].kv_bytes /
				    (b->service[x->service].store ? b->service[x->service].store : 1),
				now);
	x->sink = f->sink ? router_store_of(c, x) : -1;
	f->weights = c->weights.name[v->weights];
	f->from = pl->from >= 0 ? c->server_table->server[pl->from].to : 0;
	f->prio = (int)x->prio;
	f->limit_ms = (int)(x->limit - now);
	f->server_limit_ms = server_limit(c, x, now);
	f->not_after = c->f.fresh + router_ride(c) + 200; /* a frozen process must not send what was decided before */
	last_send = router_weights_last_send(c, x->service, x->weights, now);
	if (f->not_after > last_send)
		f->not_after = last_send;
	router_weights_check_send(c, x, now);
	f->since = x->since;
	f->joined = x->begun;
	f->stream = 1;
	if (b->service[x->service].conns) {
		int n = (int)(b->service[x->service].conns * 9 / 10 / (c->f.counters ? c->f.counters : 1));

		f->most = n < 2 ? 2 : n;
	}
	f->repeatable = x->repeatable || x->resumable;
	record_decision(c, x, pl, now);
	c->load_changed = 1;
	out_cmd(o, CMD_FORWARD)->u.forward = f;
	if (x->sends > 1)
		x->resend_paid = 0; /* a resend earns nothing; what was set aside for it is spent */
	else if (!x->unreached)
		count_send(c, x, pl, now);
}

void router_send_claimed(struct router *c, struct client_request *x, int64_t now, struct out *o)
{
	struct plan pl = { .server = -1, .from = -1 };

	if (now >= x->limit) {
		c->n.refused_limit++;
		router_refuse(c, x, 503, "the limit passed before a send", ROUTER_RETRY, now, o);
		return;
	}
	if (x->server >= 0) { /* the place that was held for it */
		c->sv[x->server].own--;
		x->server = -1;
	}
	if (!x->forwarded && now - x->claim_from > ROUTER_CLAIM_HOLD) { /* it must outlast what is sent under it */
		router_refuse(c, x, 503, "no server could take it for long", ROUTER_RETRY, now, o);
		return;
	}
	if (config_watch_age(&c->f, now) <= router_ride(c))
		pl = x->forwarded ? router_assign_forward(c, x, now) : router_assign(c, x, now);
	if (pl.server < 0)
		router_queue_return(c, x, now); /* its place went to another router's, or this router must hear the owner first */
	else if (x->forwarded)
		router_forward(c, x, &pl, now, o);
	else
		send_to(c, x, &pl, now, o);
}

/* ---- answers ------------------------------------------------------------------------------ */

/* Who was asked is not the owner, and may know who is. A late word about another guess moves nothing. */
static void claim_hint(struct router *c, uint32_t service, uint64_t asked, uint64_t from, uint64_t hint)
{
	if (asked == from && config_watch_leader_addr(&c->f, router_part_of(c, service)) == asked)
		config_watch_hint(&c->f, router_part_of(c, service), hint == from ? 0 : hint);
}

void router_on_answer(struct router *c, const struct Nl__Answer *a, uint64_t from, int64_t now, struct out *o)
{
	struct client_request *x = router_request_by(c, a->token);

	for (ptrdiff_t i = 0; i < arrlen(c->release); i++)
		if (c->release[i].token == a->token) {
			if (a->status == TABLE_NOT_OWNER) {
				claim_hint(c, c->release[i].service, c->release[i].asked, from, a->hint);
				c->release[i].at = now - ROUTER_CLAIM_WAIT + 50;
				c->release[i].asked = 0;
			} else if (a->status != TABLE_BUSY) {
				router_release_end(c, i);
			}
			return;
		}
	if (!x || x->state != REQUEST_CLAIMING || x->claim != a->token || x->claimed)
		return;
	switch (a->status) {
	case TABLE_DONE:
		x->claimed = 1;
		config_watch_hint(&c->f, router_part_of(c, x->service), from); /* who answers owns */
		router_send_claimed(c, x, now, o);
		break;
	case TABLE_NOT_OWNER:
		claim_hint(c, x->service, x->asked, from, a->hint);
		x->asked = 0;                               /* it did answer */
		x->claim_at = now - ROUTER_CLAIM_WAIT + 20; /* ask the one named, soon */
		break;
	case TABLE_BUSY: x->claim_at = now - ROUTER_CLAIM_WAIT + 50; break;
	default: router_reject(c, x, 409, "id: claimed by an earlier asking", now, o);
	}
}

static void whole(struct router *c, struct client_request *x, int64_t now, struct out *o)
{
	struct router_server *v = &c->sv[x->server];
	const char *body =
	    apr_psprintf(o->p, "{\"end\":true,\"pieces\":%" APR_UINT64_T_FMT ",\"exchange\":\"%s\"}\n", x->next, x->xid);

	v->mean_ms += ((double)(now - x->sent_at) - v->mean_ms) / 8;
	for (int i = 0; i < x->nparts; i++) { /* kept there now, until a report says otherwise */
		struct kept_copy n = { (uint32_t)x->server, x->tenant, x->service, x->weights, x->stamp, v->asked + 1 };
		const struct kept_copy *old = router_usable(c, x, x->hash[i], (uint32_t)x->server, x->weights);

		if (!old &&
		    view_allows(&c->relay.w, c->services.name[x->service], c->weights.name[x->weights], c->tenants.name[x->tenant],
				c->servers.name[x->server], x->stamp) &&
		    router_keeps(c, x->service, x->tenant, x->hash[i], x->stamp))
			kept_put(&c->kept, x->hash[i], &n);
	}
	router_request_end(c, x, &(struct request_ending){ REQUEST_ANSWERED, 200, body, 0 }, now, o);
}

/* One line of a server's stream: bound to this send, in order, else it is no answer. */
void router_on_piece(struct router *c, struct client_request *x, const char *text, int64_t now, struct out *o)
{
	struct json_object *j = router_read_json(c, text), *v, *n, *t;
	struct cmd *k;

	if (!json_object_is_type(j, json_type_object) || !json_object_object_get_ex(j, "x", &v) ||
	    !json_object_is_type(v, json_type_string) || strcmp(json_object_get_string(v), x->xid) ||
	    !json_object_object_get_ex(j, "n", &n) || json_object_get_uint64(n) != x->next) {
		router_give_up(c, x, 502, "the server's answer does not belong to this exchange", now, o);
		goto end;
	}
	if (json_object_object_get_ex(j, "end", &v)) {
		if (x->from >= 0 && json_object_object_get_ex(j, "fetch_ms", &t))
			router_learn_fetch(c, x, json_object_get_int64(t),
					   json_object_object_get_ex(j, "fetched", &v) ? json_object_get_int(v) : 0, now);
		whole(c, x, now, o);
		goto end;
	}
	if (!json_object_object_get_ex(j, "t", &t)) {
		router_give_up(c, x, 502, "the server's answer is not whole", now, o);
		goto end;
	}
	k = out_cmd(o, CMD_PIECE);
	k->u.piece.token = x->token;
	k->u.piece.body = apr_psprintf(o->p, "{\"n\":%" APR_UINT64_T_FMT ",\"text\":%s}\n", x->next,
				       json_object_to_json_string_ext(t, JSON_C_TO_STRING_PLAIN));
	k->u.piece.len = strlen(k->u.piece.body);
	x->begun = 1;
	x->next++;
	c->n.pieces++;
end:
	if (j)
		json_object_put(j);
}

/* Its server has nothing more to do with it; it keeps its place, until it is sent again or goes back to its line. */
static void given_back(struct router *c, struct client_request *x, int64_t now)
{
	struct router_server *v = &c->sv[x->server];

	v->own--;
	if (x->forwarded) {
		v->ahead -= x->ahead;
		v->tokens -= x->brings;
		x->ahead = 0;
	}
	x->tried = (uint32_t)x->server;
	x->tried_until = now + ROUTER_AVOID;
	x->given_back_at = now;
	x->server = -1;
	x->state = REQUEST_CLAIMING;
}

void router_on_done(struct router *c, struct client_request *x, const typeof(((struct router_ev *)0)->u.done) *d, int64_t now,
		    struct out *o)
{
	(void)hmdel(c->by, x->call);
	x->call = 0;
	if (!d->never || x->next) {
		router_give_up(c, x, 502, "the server's answer broke off", now, o);
		return;
	}
	/* it surely never began: another server may have it, within the budget */
	if (d->status == 0)
		c->sv[x->server].bad_until = now + ROUTER_BAD;
	given_back(c, x, now);
	if (c->budget[x->service] < ROUTER_RESEND_COST) {
		router_refuse(c, x, 503, "the server refused, and the budget for resends is spent", ROUTER_RETRY, now, o);
		return;
	}
	c->budget[x->service] -= ROUTER_RESEND_COST + ROUTER_BUDGET; /* a resend earns nothing */
	c->n.resends++;
	router_send_claimed(c, x, now, o);
}

/* ---- forwarded sends -------------------------------------------------------------------------- */

void router_on_began(struct router *c, struct client_request *x, const char *weights, int64_t now)
{
	struct router_server *v = &c->sv[x->server];
	double late;

	x->begun = 1;
	if (x->first)
		return;
	x->first = now;
	decision_began(decisions_of(c, x), &x->decision, now - x->sent_at);
	c->load_changed = 1;
	router_weights_check_begin(c, x, now);
	v->ahead -= x->ahead;
	x->ahead = 0;
	late = (double)(now - x->sent_at) - x->guess;
	late = late < 0 ? 0 : late > ROUTER_LATE_MOST ? ROUTER_LATE_MOST : late;
	v->late_ms = v->late_ms * 3 / 4 + late / 4;
	v->late_at = now;
	if (weights && strcmp(weights, c->weights.name[x->weights]))
		return;                                             /* not under the weights that its cache_namespace says */
	for (int i = 0; x->cache_namespace && i < x->nparts; i++) { /* kept there now, until it is said to be gone */
		struct kept_copy n = { (uint32_t)x->server, 0, x->service, x->weights, x->stamp, x->filed };

		kept_put(&c->kept, router_kept_key(x->cache_namespace, x->hash[i]), &n);
		n.server = (uint32_t)x->sink;
		if (x->sink >= 0)
			kept_put(&c->kept, router_kept_key(x->cache_namespace, x->hash[i]), &n);
	}
}

static void learn_load(struct router *c, uint32_t s, const struct router_ended *e, int64_t now)
{
	struct router_server *v = &c->sv[s];

	if (e->slots > 0 && e->running >= 0 && e->waiting >= 0 && e->running + e->waiting < 100000) {
		v->others = e->running + e->waiting > v->own ? e->running + e->waiting - v->own : 0;
		v->others_at = now;
	}
	if (e->how != ROUTER_BROKE) {
		v->failed = v->failed * 7 / 8;
	} else {
		v->failed = v->failed * 7 / 8 + 1.0 / 8;
		v->failed_at = now;
	}
	if (e->how == ROUTER_NEVER && !e->status) { /* its connection did not come up */
		v->fails++;
		v->bad_until = now + (v->fails > 3 ? 2 * ROUTER_BAD : ROUTER_BAD);
	} else if (e->status) {
		v->fails = 0;
	}
	if (e->how == ROUTER_NEVER && e->status == 503)
		v->bad_until = now + ROUTER_FULL; /* full, or loading */
	if (e->wrong_life) {
		c->n.wrong_life++;
		v->bad_until = now + ROUTER_BAD; /* the list will say who stands there */
	}
	if (e->weights && strlen(e->weights) < 128) {
		int w = names_find(&c->weights, e->weights);

		if (w >= 0 || arrlen(c->weights.name) < ROUTER_WEIGHTS)
			router_weights_learn(c, s, w >= 0 ? (uint32_t)w : names_id(&c->weights, e->weights));
	}
}

/* After a send that may have run: may the request be sent again at all? A stream that the caller has seen a part of goes on
 * only behind an event whose id is known. */
static int may_repeat(const struct client_request *x)
{
	if (x->begun)
		return x->resumable && x->since;
	return x->repeatable || x->resumable;
}

/* May another server have it? Within its own bound and the fleet's budget for the service. */
static int again(const struct router *c, const struct client_request *x, int64_t now)
{
	return x->sends < x->attempts && x->unreached < ROUTER_UNREACHED &&
	       (!x->sends || c->budget[x->service] >= ROUTER_RESEND_COST) && now + ROUTER_AGAIN_LEAST < x->limit;
}

/* Set aside at once: it may wait in its line, and others be decided on meanwhile. */
static void set_resend_aside(struct router *c, struct client_request *x)
{
	x->resend_paid = x->sends > 0;
	if (x->resend_paid)
		c->budget[x->service] -= ROUTER_RESEND_COST;
	c->n.resends++;
	c->n.taken_up += x->begun != 0;
}

/* Its server has nothing more to do with a request: another one may have it, or it ends. never: it surely has not run there. */
static void send_again(struct router *c, struct client_request *x, int never, int64_t now, struct out *o)
{
	given_back(c, x, now);
	if (!never && !may_repeat(x)) {
		router_give_up(c, x, 502, "the server's answer broke off", now, o);
	} else if (!again(c, x, now)) {
		router_refuse(c, x, 503, "the server did not take it, and it may go to no other", ROUTER_SOON, now, o);
	} else {
		set_resend_aside(c, x);
		if (router_readmit(c, x, now, o))
			router_send_claimed(c, x, now, o);
	}
}

void router_on_ended(struct router *c, struct client_request *x, const struct router_ended *e, int64_t now, struct out *o)
{
	uint32_t s = (uint32_t)x->server;
	int unreached = e->how == ROUTER_NEVER && !e->status && !e->wrong_life;

	(void)hmdel(c->by, x->call);
	x->call = 0;
	learn_load(c, s, e, now);
	if (e->how != ROUTER_WHOLE)
		decision_ended(decisions_of(c, x), &x->decision);
	if (e->since)
		x->since = apr_pstrdup(x->p, e->since);
	x->next += e->pieces;
	x->begun |= e->began;
	x->ran |= e->how != ROUTER_NEVER;
	if (unreached) { /* nobody heard of this send: it is no try, and what was set aside for it comes back */
		x->unreached++;
		if (--x->sends > 0)
			c->budget[x->service] += ROUTER_RESEND_COST;
	}
	if (e->how == ROUTER_WHOLE) {
		if (!x->first)
			router_on_began(c, x, e->weights, now);
		c->sv[s].mean_ms += ((double)(now - x->sent_at) - c->sv[s].mean_ms) / 8;
		router_request_end(c, x, &(struct request_ending){ REQUEST_ANSWERED, e->status, NULL, 0 }, now, o);
		return;
	}
	send_again(c, x, e->how == ROUTER_NEVER && !x->begun, now, o);
}

void router_take_back(struct router *c, struct client_request *x, int64_t now, struct out *o)
{
	out_cmd(o, CMD_CANCEL)->u.cancel.token = x->call;
	(void)hmdel(c->by, x->call);
	x->call = 0;
	x->ran = 1; /* it may have begun just now */
	send_again(c, x, 0, now, o);
}
