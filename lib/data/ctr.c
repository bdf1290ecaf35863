/* ctr: the counter's step, its clock tick, its book's renewal, what it tells of itself. */
#include "ctr_in.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

/* ---- a new edition --------------------------------------------------------------------------------- */

static void swap_roster(struct ctr *c, int64_t now)
{
	struct roster *r = ctr_roster_make(c, now);
	uint32_t n = 0;
	char line[100];

	ctr_roster_free(c->roster);
	c->roster = r;
	for (uint32_t i = 0; i < r->nserver; i++)
		n += r->server[i].on && !r->server[i].draining && !r->server[i].is_store;
	if (n != c->nstand && c->log) {
		apr_snprintf(line, sizeof line, "Servers that stand: %u, before %u.", n, c->nstand);
		c->log(c->log_ctx, "ctr", line);
	}
	c->nstand = n;
}

static void swap_book(struct ctr *c, int64_t now, struct out *o)
{
	struct book *b = ctr_book_make(c, now), *old = c->book;

	c->book = b;
	swap_roster(c, now);
	for (ptrdiff_t i = arrlen(c->all) - 1; i >= 0; i--) {
		struct xch *x = c->all[i];
		struct bk_key *keys = b->key;
		ptrdiff_t k = x->digest ? shgeti(keys, x->digest) : -1;

		if (x->forwarded && x->state == XCH_RUNNING)
			continue; /* sent while its key held; a server ends it within its deadline */
		if (x->digest && x->tenant != b->keyless && (k < 0 || keys[k].value != x->tenant || !b->tenant[x->tenant].on)) {
			c->n.revoked++;
			ctr_end_early(c, x, 401, "key: removed", now, o);
		} else if (x->state != XCH_RUNNING &&
			   (!b->lane[x->lane].on || (!x->forwarded && b->lane[x->lane].service != x->service) ||
			    !b->service[x->service].on)) {
			ctr_end_early(c, x, 404, "lane: removed", now, o);
		}
	}
	ctr_book_free(old);
}

/* ---- the step ---------------------------------------------------------------------------------------- */

/* NOLINTNEXTLINE(readability-function-size): a flat list of members */
static const char *state_json(struct ctr *c, int64_t now, apr_pool_t *p)
{
	struct json_object *j = json_object_new_object(), *a = json_object_new_array();
	uint32_t waiting = 0;
	const char *s;
	const struct {
		const char *k;
		uint64_t v;
	} n[] = {
		{ "edition", c->f.t.edition },
		{ "horizon", c->relay.k.horizon },
		{ "kept", c->kept.n },
		{ "taken", c->n.taken },
		{ "answered", c->n.answered },
		{ "refused", c->n.refused },
		{ "unknown", c->n.unknown },
		{ "sends", c->n.sends },
		{ "resends", c->n.resends },
		{ "pieces", c->n.pieces },
		{ "tokens", c->n.tokens },
		{ "reused", c->n.reused },
		{ "fetched", c->n.fetched },
		{ "cold", c->n.cold },
		{ "claims", c->n.claims },
		{ "looks", c->n.looks },
		{ "watches", c->n.watches },
		{ "events", c->n.events },
		{ "taken_up", c->n.taken_up },
		{ "wrong_life", c->n.wrong_life },
		{ "refused_stale", c->n.refused_stale },
		{ "refused_line", c->n.refused_line },
		{ "refused_limit", c->n.refused_limit },
		{ "refused_early", c->n.refused_early },
		{ "revoked", c->n.revoked },
		{ "blind", c->n.blind },
		{ "downstreams", (uint64_t)arrlen(c->relay.down) },
		{ "increments", c->relay.n_inc },
		{ "counters", c->f.counters },
	};

	for (size_t i = 0; i < sizeof n / sizeof *n; i++)
		json_object_object_add(j, n[i].k, json_object_new_int64((int64_t)n[i].v));
	for (ptrdiff_t i = 0; i < arrlen(c->line); i++)
		waiting += c->line[i].n;
	json_object_object_add(j, "id", json_object_new_string(apr_psprintf(p, "%016" APR_UINT64_T_HEX_FMT, c->id)));
	json_object_object_add(j, "zone", json_object_new_string(c->zone));
	json_object_object_add(j, "age_ms", json_object_new_int64(follow_age(&c->f, now)));
	json_object_object_add(j, "current", json_object_new_boolean(relay_current(&c->relay, now)));
	json_object_object_add(j, "running", json_object_new_int64(arrlen(c->all) - (int64_t)waiting));
	json_object_object_add(j, "waiting", json_object_new_int64(waiting));
	for (uint32_t i = 0; c->roster && i < c->roster->nserver; i++) {
		struct json_object *x;

		if (!c->roster->server[i].on)
			continue;
		x = json_object_new_object();
		json_object_object_add(x, "server", json_object_new_string(c->servers.name[i]));
		json_object_object_add(x, "standing", json_object_new_boolean(ctr_standing(c, i, now)));
		json_object_object_add(x, "running", json_object_new_int(c->sv[i].running));
		json_object_object_add(x, "slots", json_object_new_int(c->sv[i].slots));
		json_object_object_add(x, "weights",
				       json_object_new_string(c->sv[i].have ? c->weights.name[c->sv[i].weights] : ""));
		json_object_array_add(a, x);
	}
	json_object_object_add(j, "servers", a);
	s = apr_pstrdup(p, json_object_to_json_string_ext(j, JSON_C_TO_STRING_PLAIN));
	json_object_put(j);
	return s;
}

const char *ctr_usage(const struct ctr *c, apr_pool_t *p)
{
	const char *s = "lane,tenant,exchanges,tokens,reused,pieces,errors\n";

	for (ptrdiff_t i = 0; i < hmlen(c->use); i++) {
		const struct ctr_use *u = &c->use[i];

		s = apr_psprintf(p,
				 "%s%s,%s,%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT
				 ",%" APR_UINT64_T_FMT "\n",
				 s, c->lanes.name[u->key >> 32], c->tenants.name[u->key & UINT32_MAX], u->value.exchanges,
				 u->value.tokens, u->value.reused, u->value.pieces, u->value.errors);
	}
	return s;
}

/* What will not be sent in time is told so now, not at its limit. */
static void end_hopeless(struct ctr *c, int64_t now, struct out *o)
{
	const struct roster *b = c->roster;

	for (uint32_t s = 0; b && s < b->nserver; s++)
		if (!c->roster->server[s].is_store && ctr_standing(c, s, now))
			c->stood[c->roster->server[s].service] = now;
	for (ptrdiff_t i = 0; i < arrlen(c->line); i++) {
		struct line *l = &c->line[i];
		struct xch *next;
		uint32_t before = 0;

		for (struct xch *x = l->head; x; x = next) {
			int none = now - c->stood[x->service] > CTR_RIDE;
			double wait = ctr_expected(l, before, now);

			next = x->after;
			if (!none && wait <= (double)(x->limit - now)) {
				before++;
				continue;
			}
			c->n.refused_early++;
			ctr_refuse(c, x, 503, none ? ctr_no_server : "the line is too long to be sent within the limit",
				   none ? CTR_RETRY : wait / 2, now, o);
		}
	}
}

static void tick(struct ctr *c, int64_t now, struct out *o)
{
	ctr_retention_tick(c, now);
	follow_tick(&c->f, c->relay.k.horizon, now, o);
	relay_up(&c->relay, c->f.up, (size_t)c->f.nup, follow_log(&c->f, c->relay.moved, now), now);
	relay_tick(&c->relay, now, o);
	if (c->b.sights) {
		ctr_load_tick(c, now, o);
		ctr_kept_tell(c, now, o);
	}
	if (c->b.sights)
		ctr_watch(c, now, o);
	else
		ctr_look(c, now, o);
	end_hopeless(c, now, o);
	ctr_releases_tick(c, now, o);
	for (ptrdiff_t i = arrlen(c->all) - 1; i >= 0; i--) {
		struct xch *x = c->all[i];

		if (now >= x->limit) {
			c->n.refused_limit += x->state != XCH_RUNNING;
			ctr_end_early(c, x, x->state == XCH_RUNNING ? 504 : 503,
				      x->state == XCH_RUNNING ? "the limit passed" : "the limit passed in the line", now, o);
		} else if (x->state == XCH_CLAIMING && !x->claimed && now - x->claim_from > CTR_RIDE) {
			c->n.refused_early++;
			ctr_refuse(c, x, 503, "the part of this service has no owner that answers", CTR_RETRY, now, o);
		} else if (x->state == XCH_CLAIMING && !x->claimed && now - x->claim_at >= CTR_CLAIM_WAIT) {
			/* the same claim again: a part takes it once however often it is asked */
			ctr_claim_miss(c, x->service, x->asked);
			ctr_claim_send(c, x, now, o);
		}
	}
}

static void on_msg(struct ctr *c, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	int changed;

	if (m->speak != CORE_SPEAK || (m->fleet && c->f.fleet && m->fleet != c->f.fleet))
		return;
	switch (m->body_case) {
	case NL__MSG__BODY_FOLLOW_REPLY:
	case NL__MSG__BODY_OWNER:
		changed = follow_msg(&c->f, m, now, o);
		if (changed & 1)
			swap_book(c, now, o);
		else if (changed && c->book)
			swap_roster(c, now);
		break;
	case NL__MSG__BODY_KNOWLEDGE:
	case NL__MSG__BODY_PURGE_SNAP:
	case NL__MSG__BODY_CURIOSITY: relay_msg(&c->relay, m, now, o); break;
	case NL__MSG__BODY_ANSWER: ctr_on_answer(c, m->answer, m->addr, now, o); break;
	case NL__MSG__BODY_LOAD: ctr_on_load(c, m->id, m->addr, m->load, now); break;
	case NL__MSG__BODY_KEPT_ALL:
		for (size_t i = 0; i < m->kept_all->n_k; i++)
			ctr_on_kept(c, m->kept_all->k[i], now);
		break;
	case NL__MSG__BODY_REPORT: ctr_on_passed_report(c, m->report, now, o); break;
	case NL__MSG__BODY_FOLLOW: { /* a seed need not be a registrar: say whom to ask */
		struct Nl__FollowReply *a = OUT_NEW(o, Nl__FollowReply, NL__FOLLOW_REPLY__INIT);

		a->token = m->follow->token;
		a->hint = c->f.seat[SHARD_CONTROL];
		out_msg(o, m->addr, SHARD_CONTROL, NL__MSG__BODY_FOLLOW_REPLY)->follow_reply = a;
		break;
	}
	default: break;
	}
}

/* Cut off, or woken after a freeze: before anything else happens, all that is held here ends. */
static void end_blind(struct ctr *c, int64_t now, struct out *o)
{
	while (arrlen(c->all) && now > ctr_good_until(c)) {
		c->n.blind++;
		ctr_end_early(c, arrlast(c->all), 503, "this counter has been cut off: its configuration may be out of force", now,
			      o);
	}
}

/* The door passes a head on before it says so. Whatever ends the exchange in this very step owes its caller an end of the
 * stream: an answer would go nowhere, and the caller wait. */
static void door_has_begun(struct ctr *c, const struct ctr_ev *ev)
{
	uint64_t call = ev->kind == CTR_BEGAN                         ? ev->u.began.token
			: ev->kind == CTR_ENDED && ev->u.ended->began ? ev->u.ended->token
								      : 0;
	struct xch *x = call ? ctr_xch_by(c, call) : NULL;

	if (x && x->call == call)
		x->begun = 1;
}

int64_t ctr_good_until(const struct ctr *c) { return c->f.fresh + CTR_RIDE; }

/* NOLINTNEXTLINE(readability-function-size): one case for each event */
void ctr_step(struct ctr *c, const struct ctr_ev *ev, int64_t now, struct out *o)
{
	struct xch *x;

	o->id = c->id;
	o->addr = c->addr;
	o->fleet = c->f.fleet;
	c->now = now;
	door_has_begun(c, ev);
	end_blind(c, now, o);
	switch (ev->kind) {
	case CTR_TICK: tick(c, now, o); break;
	case CTR_MSG: on_msg(c, ev->u.msg, now, o); break;
	case CTR_EXCHANGE: ctr_take(c, ev->u.exchange.token, ev->u.exchange.digest, ev->u.exchange.body, now, o); break;
	case CTR_GONE: /* the caller left */
		x = ctr_xch_by(c, ev->u.gone.token);
		if (!x || x->token != ev->u.gone.token)
			break;
		c->n.gone++;
		ctr_call_cancel(x, o);
		if (x->state != XCH_RUNNING && x->claim)
			ctr_claim_release(c, x, now, o);
		ctr_xch_drop(c, x);
		break;
	case CTR_PIECE:
		x = ctr_xch_by(c, ev->u.piece.token);
		if (x && x->call == ev->u.piece.token)
			ctr_on_piece(c, x, ev->u.piece.line, now, o);
		break;
	case CTR_DONE:
		x = ctr_xch_by(c, ev->u.done.token);
		if (x && x->call == ev->u.done.token)
			ctr_on_done(c, x, &ev->u.done, now, o);
		break;
	case CTR_CALLED:
		for (uint32_t s = 0; c->roster && s < c->roster->nserver; s++)
			if (c->sv[s].call == ev->u.called.token && ev->u.called.status == 200) {
				ctr_on_report(c, s, ev->u.called.body, now);
				ctr_pass_report(c, s, ev->u.called.body, o);
			}
		break;
	case CTR_WEB:
		if (!strcmp(ev->u.web.path, "/v1/usage"))
			out_answer(o, ev->u.web.token, 200, 0, ctr_usage(c, o->p));
		else if (!strcmp(ev->u.web.path, "/v1/state"))
			out_answer(o, ev->u.web.token, 200, 0, state_json(c, now, o->p));
		else
			out_answer(o, ev->u.web.token, 404, 0, ctr_error_json(o->p, "path: no such call", "refused"));
		break;
	case CTR_STOP: c->stopping = 1; break;
	case CTR_ASKED: ctr_asked(c, ev->u.ask, now, o); break;
	case CTR_BEGAN:
		x = ctr_xch_by(c, ev->u.began.token);
		if (x && x->call == ev->u.began.token)
			ctr_on_began(c, x, ev->u.began.weights, now);
		break;
	case CTR_ENDED:
		x = ctr_xch_by(c, ev->u.ended->token);
		if (x && x->call == ev->u.ended->token)
			ctr_on_ended(c, x, ev->u.ended, now, o);
		break;
	case CTR_WATCHED: ctr_on_watched(c, ev->u.kept.token, ev->u.kept.k, ev->u.kept.status, now); break;
	}
	ctr_pump(c, now, o);
	if (c->book && (ev->kind == CTR_TICK || ev->kind == CTR_EXCHANGE || ev->kind == CTR_ASKED))
		ctr_want_places(c, now, o);
}

int ctr_ready(const struct ctr *c, int64_t now)
{
	return !c->stopping && c->book && c->f.t.edition && follow_age(&c->f, now) <= ctr_ride(c);
}

int ctr_idle(const struct ctr *c) { return arrlen(c->all) == 0 && arrlen(c->release) == 0; }

void ctr_open(struct ctr *c, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds, int n, int64_t now)
{
	memset(c, 0, sizeof *c);
	c->id = id;
	c->addr = addr;
	c->zone = zone;
	c->tok = json_tokener_new();
	if (!c->tok)
		abort();
	apr_pool_create(&c->p, NULL);
	apr_pool_create(&c->scratch, c->p);
	apr_pool_create(&c->heard_pool, c->p);
	c->b = bounds_default;
	c->opened = now;
	c->zone_hash = core_hashs(0, zone);
	follow_open(&c->f, id, seeds, n, now);
	c->f.zone = zone;
	c->f.counter = 1;
	relay_open(&c->relay, now);
	c->relay.on_value = ctr_on_value;
	c->relay.ctx = c;
}

void ctr_close(struct ctr *c)
{
	while (arrlen(c->all))
		ctr_xch_drop(c, c->all[0]);
	while (arrlen(c->release))
		ctr_release_end(c, 0);
	arrfree(c->release);
	json_tokener_free(c->tok);
	ctr_book_free(c->book);
	ctr_roster_free(c->roster);
	ctr_load_clear(c);
	arrfree(c->heard);
	hmfree(c->line_at);
	hmfree(c->named);
	arrfree(c->generation);
	arrfree(c->left);
	arrfree(c->depth);
	arrfree(c->server_hash);
	ctr_names_clear(&c->lanes);
	ctr_names_clear(&c->tenants);
	ctr_names_clear(&c->services);
	ctr_names_clear(&c->servers);
	ctr_names_clear(&c->weights);
	kept_clear(&c->kept);
	follow_close(&c->f);
	relay_close(&c->relay);
	arrfree(c->sv);
	arrfree(c->line);
	arrfree(c->all);
	arrfree(c->running);
	arrfree(c->stood);
	arrfree(c->budget);
	hmfree(c->by);
	hmfree(c->pair);
	hmfree(c->use);
	apr_pool_destroy(c->p);
}
