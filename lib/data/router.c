/* ctr: the router's step, its clock tick, its route_table's renewal, what it tells of itself. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

/* ---- a new edition --------------------------------------------------------------------------------- */

static void swap_server_table(struct router *c, int64_t now)
{
	struct server_table *r = router_server_table_make(c, now);
	uint32_t n = 0;
	char line[100];

	router_server_table_free(c->server_table);
	c->server_table = r;
	for (uint32_t i = 0; i < r->nserver; i++)
		n += r->server[i].on && !r->server[i].draining && !r->server[i].is_store;
	if (n != c->nstand && c->log) {
		apr_snprintf(line, sizeof line, "Servers that stand: %u, before %u.", n, c->nstand);
		c->log(c->log_ctx, "ctr", line);
	}
	c->nstand = n;
}

/* A newer table and a request of the own interface: its key ends it wherever it is; what was not sent ends with its lane, and
 * comes back where that has another service now, since its claim is held by the old one's owner. */
static void judge_claimed(struct router *c, struct client_request *x, int64_t now, struct out *o)
{
	const struct route_table *b = c->route_table;
	struct bk_key *keys = b->key;
	ptrdiff_t k = x->digest ? shgeti(keys, x->digest) : -1;

	if (x->digest && x->tenant != b->keyless && (k < 0 || keys[k].value != x->tenant || !b->tenant[x->tenant].on)) {
		c->n.revoked++;
		router_end_early(c, x, 401, "key: removed", now, o);
	} else if (x->state == REQUEST_RUNNING) {
		return;
	} else if (!b->lane[x->lane].on || !b->service[b->lane[x->lane].service].on) {
		router_end_early(c, x, 404, "lane: removed", now, o);
	} else if (b->lane[x->lane].service != x->service) {
		router_end_early(c, x, 503, "the lane has another service now", now, o);
	}
}

/* What waits is placed by the new table. What runs was sent while its key and route held: it ends by itself, within its time,
 * and is placed by the new table if its server gives it back. */
static void swap_route_table(struct router *c, int64_t now, struct out *o)
{
	struct route_table *b = router_route_table_make(c, now), *old = c->route_table;

	c->route_table = b;
	router_weights_log_namings(c, old, now);
	swap_server_table(c, now);
	for (ptrdiff_t i = arrlen(c->all) - 1; i >= 0; i--) {
		struct client_request *x = c->all[i];

		if (!x->forwarded)
			judge_claimed(c, x, now, o);
		else if (x->state != REQUEST_RUNNING)
			(void)router_readmit(c, x, now, o);
	}
	router_route_table_free(old);
}

/* ---- the step ---------------------------------------------------------------------------------------- */

/* NOLINTNEXTLINE(readability-function-size): a flat list of members */
static const char *state_json(struct router *c, int64_t now, apr_pool_t *p)
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
		{ "answered", c->n.outcome[REQUEST_ANSWERED] },
		{ "refused", c->n.outcome[REQUEST_REFUSED] },
		{ "rejected", c->n.outcome[REQUEST_REJECTED] },
		{ "broken_off", c->n.outcome[REQUEST_BROKEN_OFF] },
		{ "client_gone", c->n.outcome[REQUEST_CLIENT_GONE] },
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
		{ "lookups_used", c->n.lookups_used },
		{ "lookups_missed", c->n.lookups_missed },
		{ "lookups_answered", c->n.lookups_answered },
		{ "recalled", c->n.recalled },
		{ "sent_past_bound", c->n.sent_past_bound },
		{ "begun_past_bound", c->n.begun_past_bound },
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
	json_object_object_add(j, "age_ms", json_object_new_int64(config_watch_age(&c->f, now)));
	json_object_object_add(j, "current", json_object_new_boolean(relay_current(&c->relay, now)));
	json_object_object_add(j, "running", json_object_new_int64(arrlen(c->all) - (int64_t)waiting));
	json_object_object_add(j, "waiting", json_object_new_int64(waiting));
	for (uint32_t i = 0; c->server_table && i < c->server_table->nserver; i++) {
		struct json_object *x;

		if (!c->server_table->server[i].on)
			continue;
		x = json_object_new_object();
		json_object_object_add(x, "server", json_object_new_string(c->servers.name[i]));
		json_object_object_add(x, "standing", json_object_new_boolean(router_standing(c, i, now)));
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

const char *router_usage(const struct router *c, apr_pool_t *p)
{
	const char *s = "lane,tenant,exchanges,tokens,reused,pieces,errors\n";

	for (ptrdiff_t i = 0; i < hmlen(c->use); i++) {
		const struct router_use *u = &c->use[i];

		s = apr_psprintf(p,
				 "%s%s,%s,%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT ",%" APR_UINT64_T_FMT
				 ",%" APR_UINT64_T_FMT "\n",
				 s, c->lanes.name[u->key >> 32], c->tenants.name[u->key & UINT32_MAX], u->value.exchanges,
				 u->value.tokens, u->value.reused, u->value.pieces, u->value.errors);
	}
	return s;
}

/* How long a stream may be silent before it is taken up: its client gives up after two seconds, four times its aim or eight
 * times its pause, whichever is longest, and should be told before, to take it up by itself. */
static int64_t silence_of(const struct bk_lane *l)
{
	int64_t patience = ROUTER_SILENCE;

	if (4 * (int64_t)l->aim > patience)
		patience = 4 * (int64_t)l->aim;
	if (8 * (int64_t)l->pause > patience)
		patience = 8 * (int64_t)l->pause;
	return patience * 3 / 4;
}

/* How long a request with so many before it has yet to wait. One of another service than the head's may pass it, as soon as it
 * is sent, and is only taken to wait for as long as it has. */
static double wait_of(const struct line *l, const struct client_request *x, uint32_t before, int64_t now)
{
	if (x->service == l->head->service)
		return router_expected(l, before, now);
	return (double)(now - (x->given_back_at ? x->given_back_at : x->since_at));
}

/* What will not be sent in time is told so now, not at its limit. */
static void end_hopeless(struct router *c, int64_t now, struct out *o)
{
	const struct server_table *b = c->server_table;

	for (uint32_t s = 0; b && s < b->nserver; s++)
		if (!c->server_table->server[s].is_store && router_standing(c, s, now))
			c->stood[c->server_table->server[s].service] = now;
	for (ptrdiff_t i = 0; i < arrlen(c->line); i++) {
		struct line *l = &c->line[i];
		struct client_request *next;
		uint32_t before = 0;

		for (struct client_request *x = l->head; x; x = next) {
			int none = now - c->stood[x->service] > ROUTER_RIDE;
			double wait = wait_of(l, x, before, now);

			next = x->after;
			if (x->begun && now - x->given_back_at > silence_of(&c->route_table->lane[x->lane])) {
				router_give_up(c, x, 502, "no server took the stream up in time", now, o);
				continue;
			}
			if (!none && wait <= (double)(x->limit - now)) {
				before++;
				continue;
			}
			c->n.refused_early++;
			router_refuse(c, x, 503, none ? router_no_server : "the line is too long to be sent within the limit",
				      none ? ROUTER_RETRY : wait / 2, now, o);
		}
	}
}

/* The process ends soon: what is still here is told so, rather than find its connection closed. */
static void end_leaving(struct router *c, int64_t now, struct out *o)
{
	if (!c->stop.run_until || now < c->stop.send_until)
		return;
	for (ptrdiff_t i = arrlen(c->all) - 1; i >= 0; i--) {
		struct client_request *x = c->all[i];

		if (x->state != REQUEST_RUNNING || now >= c->stop.run_until)
			router_end_early(c, x, 503, "this counter is stopping", now, o);
	}
}

static void tick(struct router *c, int64_t now, struct out *o)
{
	router_retention_tick(c, now);
	c->f.warm = !c->stopping && now - c->opened >= ROUTER_WARM;
	config_watch_tick(&c->f, c->relay.k.horizon, now, o);
	relay_up(&c->relay, c->f.up, (size_t)c->f.nup, config_watch_log(&c->f, c->relay.moved, now), now);
	c->relay.incurious = !mechanism_on(c->b.without, MECHANISM_CURIOSITY);
	relay_tick(&c->relay, now, o);
	if (c->b.instances) {
		router_load_tick(c, now, o);
		router_feed_tick(c, now, o);
	}
	if (c->b.instances)
		router_watch(c, now, o);
	else
		router_look(c, now, o);
	router_log_decisions(c, now);
	router_weights_recall(c, now, o);
	end_hopeless(c, now, o);
	end_leaving(c, now, o);
	router_releases_tick(c, now, o);
	for (ptrdiff_t i = arrlen(c->all) - 1; i >= 0; i--) {
		struct client_request *x = c->all[i];

		if (now >= x->limit) {
			c->n.refused_limit += x->state != REQUEST_RUNNING;
			router_end_early(c, x, x->state == REQUEST_RUNNING ? 504 : 503,
					 x->state == REQUEST_RUNNING ? "the limit passed" : "the limit passed in the line", now, o);
		} else if (x->state == REQUEST_CLAIMING && !x->claimed && now - x->claim_from > ROUTER_RIDE) {
			c->n.refused_early++;
			router_refuse(c, x, 503, "the part of this service has no owner that answers", ROUTER_RETRY, now, o);
		} else if (x->state == REQUEST_CLAIMING && !x->claimed && now - x->claim_at >= ROUTER_CLAIM_WAIT) {
			/* the same claim again: a part takes it once however often it is asked */
			router_claim_miss(c, x->service, x->asked);
			router_claim_send(c, x, now, o);
		}
	}
}

static void on_msg(struct router *c, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	int changed;

	if (m->speak != CORE_SPEAK || (m->fleet && c->f.fleet && m->fleet != c->f.fleet))
		return;
	switch (m->body_case) {
	case NL__MSG__BODY_FOLLOW_REPLY:
	case NL__MSG__BODY_OWNER:
		changed = config_watch_msg(&c->f, m, now, o);
		if (changed & 1)
			swap_route_table(c, now, o);
		else if (changed && c->route_table)
			swap_server_table(c, now);
		break;
	case NL__MSG__BODY_KNOWLEDGE:
	case NL__MSG__BODY_PURGE_SNAP:
	case NL__MSG__BODY_CURIOSITY: relay_msg(&c->relay, m, now, o); break;
	case NL__MSG__BODY_ANSWER: router_on_answer(c, m->answer, m->addr, now, o); break;
	case NL__MSG__BODY_LOAD: router_on_load(c, m->id, m->addr, m->load, now); break;
	case NL__MSG__BODY_KEPT_ALL:
		for (size_t i = 0; i < m->kept_all->n_k; i++)
			router_on_kept(c, m->kept_all->k[i], now);
		break;
	case NL__MSG__BODY_PREFIX_ASK: router_on_prefix_ask(c, m, o); break;
	case NL__MSG__BODY_PREFIX_REPLY: router_on_prefix_reply(c, m->prefix_reply, now); break;
	case NL__MSG__BODY_REPORT: router_on_passed_report(c, m->report, now, o); break;
	case NL__MSG__BODY_FOLLOW: { /* a seed need not be a controller: say whom to ask */
		struct Nl__ConfigSyncReply *a = OUT_NEW(o, Nl__ConfigSyncReply, NL__CONFIG_SYNC_REPLY__INIT);

		a->token = m->follow->token;
		a->hint = c->f.leader_addr[SHARD_CONTROL];
		out_msg(o, m->addr, SHARD_CONTROL, NL__MSG__BODY_FOLLOW_REPLY)->follow_reply = a;
		break;
	}
	default: break;
	}
}

/* A forwarded request that a server has been sent goes on, as it does where its key is known to be removed: it was sent while
 * the configuration was certain to be in force, and the server ends it within its deadline. */
static int outlives_configuration(const struct client_request *x) { return x->forwarded && x->state == REQUEST_RUNNING; }

/* Cut off, or woken after a freeze: before anything else happens, what has not been sent is refused, and in the product's own
 * interface all that is held here ends. */
static void end_blind(struct router *c, int64_t now, struct out *o)
{
	if (now <= router_good_until(c))
		return;
	for (ptrdiff_t i = arrlen(c->all) - 1; i >= 0; i--) {
		if (outlives_configuration(c->all[i]))
			continue;
		c->n.blind++;
		router_end_early(c, c->all[i], 503, "this counter has been cut off: its configuration may be out of force", now, o);
	}
}

/* The door passes a head on before it says so. Whatever ends the exchange in this very step owes its caller an end of the
 * stream: an answer would go nowhere, and the caller wait. */
static void door_has_begun(struct router *c, const struct router_ev *ev)
{
	uint64_t call = ev->kind == ROUTER_BEGAN                         ? ev->u.began.token
			: ev->kind == ROUTER_ENDED && ev->u.ended->began ? ev->u.ended->token
									 : 0;
	struct client_request *x = call ? router_request_by(c, call) : NULL;

	if (x && x->call == call)
		x->begun = 1;
}

int64_t router_good_until(const struct router *c) { return c->f.fresh + ROUTER_RIDE; }

/* NOLINTNEXTLINE(readability-function-size): one case for each event */
void router_step(struct router *c, const struct router_ev *ev, int64_t now, struct out *o)
{
	struct client_request *x;

	o->id = c->id;
	o->addr = c->addr;
	o->fleet = c->f.fleet;
	if (c->now && now - c->now > ROUTER_PAUSE)
		c->paused_at = now;
	c->now = now;
	door_has_begun(c, ev);
	end_blind(c, now, o);
	switch (ev->kind) {
	case ROUTER_TICK: tick(c, now, o); break;
	case ROUTER_MSG: on_msg(c, ev->u.msg, now, o); break;
	case ROUTER_EXCHANGE: router_take(c, ev->u.exchange.token, ev->u.exchange.digest, ev->u.exchange.body, now, o); break;
	case ROUTER_GONE: /* the caller left */
		x = router_request_by(c, ev->u.gone.token);
		if (!x || x->token != ev->u.gone.token)
			break;
		router_request_end(c, x, &(struct request_ending){ REQUEST_CLIENT_GONE, 0, NULL, 0 }, now, o);
		break;
	case ROUTER_PIECE:
		x = router_request_by(c, ev->u.piece.token);
		if (x && x->call == ev->u.piece.token)
			router_on_piece(c, x, ev->u.piece.line, now, o);
		break;
	case ROUTER_DONE:
		x = router_request_by(c, ev->u.done.token);
		if (x && x->call == ev->u.done.token)
			router_on_done(c, x, &ev->u.done, now, o);
		break;
	case ROUTER_CALLED:
		for (uint32_t s = 0; c->server_table && s < c->server_table->nserver; s++)
			if (c->sv[s].call == ev->u.called.token && ev->u.called.status == 200) {
				router_on_report(c, s, ev->u.called.body, now);
				router_pass_report(c, s, ev->u.called.body, o);
			}
		break;
	case ROUTER_WEB:
		if (!strcmp(ev->u.web.path, "/v1/usage"))
			out_answer(o, ev->u.web.token, 200, 0, router_usage(c, o->p));
		else if (!strcmp(ev->u.web.path, "/v1/state"))
			out_answer(o, ev->u.web.token, 200, 0, state_json(c, now, o->p));
		else if (!strcmp(ev->u.web.path, "/metrics"))
			out_answer(o, ev->u.web.token, 200, 0, router_metrics(c, now, o->p));
		else
			out_answer(o, ev->u.web.token, 404, 0, router_error_json(o->p, "path: no such call", "refused"));
		break;
	case ROUTER_STOP:
		c->stopping = 1;
		c->stop = ev->u.stop;
		break;
	case ROUTER_ASKED: router_asked(c, ev->u.ask, now, o); break;
	case ROUTER_BEGAN:
		x = router_request_by(c, ev->u.began.token);
		if (x && x->call == ev->u.began.token)
			router_on_began(c, x, ev->u.began.weights, now);
		break;
	case ROUTER_ENDED:
		x = router_request_by(c, ev->u.ended->token);
		if (x && x->call == ev->u.ended->token)
			router_on_ended(c, x, ev->u.ended, now, o);
		break;
	case ROUTER_WATCHED: router_on_watched(c, ev->u.kept.token, ev->u.kept.k, ev->u.kept.status, now); break;
	}
	router_dispatch(c, now, o);
	if (c->route_table && (ev->kind == ROUTER_TICK || ev->kind == ROUTER_EXCHANGE || ev->kind == ROUTER_ASKED))
		router_want_places(c, now, o);
}

int router_ready(const struct router *c, int64_t now)
{
	return !c->stopping && c->route_table && c->f.t.edition && config_watch_age(&c->f, now) <= router_ride(c);
}

int router_idle(const struct router *c) { return arrlen(c->all) == 0 && arrlen(c->release) == 0; }

void router_open(struct router *c, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds, int n, int64_t now)
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
	c->b = bounds_default;
	c->opened = now;
	c->first_watch_bytes = ROUTER_FIRST_WATCH_BYTES;
	c->zone_hash = core_hashs(0, zone);
	router_lookup_open(c);
	config_watch_open(&c->f, id, seeds, n, now);
	c->f.zone = zone;
	c->f.counter = 1;
	relay_open(&c->relay, now);
	c->relay.on_value = router_on_value;
	c->relay.ctx = c;
}

void router_close(struct router *c)
{
	router_requests_discard(c);
	while (arrlen(c->release))
		router_release_end(c, 0);
	arrfree(c->release);
	json_tokener_free(c->tok);
	router_route_table_free(c->route_table);
	router_server_table_free(c->server_table);
	router_load_clear(c);
	router_feed_clear(c);
	hmfree(c->line_at);
	arrfree(c->generation);
	arrfree(c->left);
	arrfree(c->depth);
	arrfree(c->server_hash);
	arrfree(c->decisions);
	hmfree(c->server_at);
	router_names_clear(&c->lanes);
	router_names_clear(&c->tenants);
	router_names_clear(&c->services);
	router_names_clear(&c->servers);
	router_names_clear(&c->weights);
	kept_clear(&c->kept);
	config_watch_close(&c->f);
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
