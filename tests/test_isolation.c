/* Controllers that are cut off, frozen or slowed for twenty seconds, while operators call every one of them and routers
 * follow the configuration. A judge checks each answer against what was acknowledged and what was in force. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "router_internal.h"
#include "doc.h"
#include "ds.h"
#include "sim.h"

enum {
	CONTROLLERS = 4,
	ROUTERS = 3,
	ISOLATION_MS = 20000,
	NOTICED_MS = 1300,      /* after which a controller that reaches nobody has no call left open */
	ANSWER_MS = 100,        /* in which it then says 503 */
	OPEN_OUTCOME_MS = 5200, /* for which a call may wait while its outcome is open */
	HEALED_MS = 4000,       /* after which everything is as before */
	ROUTER_BOUND_MS = 2000,
	LOOK_MS = 5
};

#define SPEEDS ",\"prefill\":20,\"kv_bytes\":400,\"link\":100000"

/* ---- calls of operators ------------------------------------------------------- */

enum call_kind {
	CALL_PUT_DOCUMENT,
	CALL_READ_DOCUMENT,
	CALL_NAME_WEIGHTS,
	CALL_NAME_NOTHING,
	CALL_CHANGE,
	CALL_BAD_CHANGE,
	CALL_NO_CHANGE,
	CALL_READ_TABLE,
	CALL_CLEAR,
	CALL_BAD_CLEAR,
	CALL_READ_RETENTION,
	CALL_READ_REPORT,
	CALL_BOOTSTRAP,
	CALL_KINDS
};

static const char *const call_names[] = { "put document",   "read document", "name weights", "name nothing", "change",
					  "bad change",     "no change",     "read table",   "clear",        "bad clear",
					  "read retention", "read report",   "bootstrap" };

struct call {
	enum call_kind kind;
	int node;
	uint64_t token, life, base, version;
	int64_t sent_at;
	/* what was acknowledged before it was sent */
	uint64_t document_floor, edition_floor, clearing_floor;
	int isolated, was_frozen;
};

struct document_seen {
	uint64_t version;
	int64_t from;
};
struct acknowledged {
	uint64_t edition;
	int64_t at;
};

struct world {
	struct sim s;
	uint64_t rng;
	int documents;              /* documents are written; else rows of the table */
	struct call *open;          /* stb_ds */
	struct document_seen *seen; /* stb_ds: each version in force, since when */
	struct acknowledged *acks;  /* stb_ds */
	uint64_t *bases;            /* stb_ds: bases of acknowledged documents */
	uint64_t document_floor, edition_floor, clearing_floor, next_version, next_name, newest_name;
	int64_t isolated_since[SIM_NODES]; /* when a node was cut off from every other controller; 0: it is not */
	int64_t healed_at;
	uint64_t answers, definite, refused_isolated, acknowledged_isolated, router_refused;
};

static uint64_t dice(struct world *w, uint64_t n) { return core_rand(&w->rng) % n; }

static uint64_t seeds_of(uint64_t n, uint64_t *first)
{
	*first = getenv("NL_SEED") ? strtoull(getenv("NL_SEED"), NULL, 10) : 1;
	return getenv("NL_SEEDS") ? strtoull(getenv("NL_SEEDS"), NULL, 10) : n;
}

static void intact(struct world *w)
{
	if (w->s.bad[0])
		fail_msg("%s", w->s.bad);
}

/* The document's version that is in force, as the controller that has applied most knows it. */
static uint64_t document_in_force(const struct sim *s)
{
	uint64_t version = 0;

	for (int i = 0; i < CONTROLLERS; i++)
		if (s->n[i].up && s->n[i].r->ctl_doc_version > version)
			version = s->n[i].r->ctl_doc_version;
	return version;
}

static void send_document_call(struct world *w, struct call *c)
{
	char body[300];

	if (c->kind == CALL_READ_DOCUMENT) {
		c->token = sim_doc(&w->s, c->node, 0, 0, NULL, NULL);
	} else if (c->kind == CALL_NAME_WEIGHTS || c->kind == CALL_NAME_NOTHING) {
		snprintf(body, sizeof body, "%llu", (unsigned long long)++w->next_name);
		c->token = sim_doc(&w->s, c->node, 0, 0, "model", c->kind == CALL_NAME_WEIGHTS ? body : "not a number");
	} else {
		c->base = document_in_force(&w->s);
		c->version = w->next_version > c->base ? w->next_version : c->base;
		c->version += 1 + dice(w, 3);
		w->next_version = c->version;
		snprintf(
		    body, sizeof body,
		    "{\"ConfigVersion\":%llu,\"RouteList\":[],\"ServiceList\":[],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"TenantList\":[]}",
		    (unsigned long long)c->version);
		c->token = sim_doc(&w->s, c->node, c->base, 0, body, NULL);
	}
}

static void send_own_call(struct world *w, struct call *c)
{
	char body[300] = "";
	const char *method = "GET", *path = "/v1/table";

	switch (c->kind) {
	case CALL_CHANGE: /* a lane of the service that was acknowledged last: who has not heard of it must not judge this */
		method = "POST";
		path = "/v1/change";
		w->next_name++;
		if (w->newest_name)
			snprintf(body, sizeof body,
				 "{\"set\":[{\"kind\":\"service\",\"name\":\"s%llu\",\"weights\":\"w1\"" SPEEDS
				 "},{\"kind\":\"lane\",\"name\":\"l%llu\",\"service\":\"s%llu\",\"prio\":0,\"limit\":50}]}",
				 (unsigned long long)w->next_name, (unsigned long long)w->next_name,
				 (unsigned long long)w->newest_name);
		else
			snprintf(body, sizeof body,
				 "{\"set\":[{\"kind\":\"service\",\"name\":\"s%llu\",\"weights\":\"w1\"" SPEEDS "}]}",
				 (unsigned long long)w->next_name);
		c->version = w->next_name;
		break;
	case CALL_BAD_CHANGE:
		method = "POST";
		path = "/v1/change";
		snprintf(body, sizeof body, "{\"set\":[{\"kind\":\"lane\",\"name\":\"bad\",\"service\":\"nowhere\"}]}");
		break;
	case CALL_NO_CHANGE:
		method = "POST";
		path = "/v1/change";
		snprintf(body, sizeof body, "{\"set\":[");
		break;
	case CALL_CLEAR:
		method = "POST";
		path = "/v1/clear";
		snprintf(body, sizeof body, "{\"scope\":\"*\",\"by\":\"test\"}");
		break;
	case CALL_BAD_CLEAR:
		method = "POST";
		path = "/v1/clear";
		snprintf(body, sizeof body, "{\"scope\":\"*\",\"by\":\"a,b\"}");
		break;
	case CALL_READ_RETENTION: path = "/v1/retention"; break;
	case CALL_READ_REPORT: path = "/v1/retention.csv"; break;
	case CALL_BOOTSTRAP:
		method = "POST";
		path = "/v1/found";
		break;
	default: break;
	}
	c->token = sim_call(&w->s, c->node, method, path, body);
}

static void send_call(struct world *w, enum call_kind kind, int node)
{
	struct call c = { .kind = kind, .node = node, .life = w->s.n[node].life, .sent_at = w->s.now };

	c.document_floor = w->document_floor;
	c.edition_floor = w->edition_floor;
	c.clearing_floor = w->clearing_floor;
	c.isolated = w->isolated_since[node] && w->s.now - w->isolated_since[node] >= NOTICED_MS;
	c.was_frozen = w->s.n[node].frozen;
	if (kind <= CALL_NAME_NOTHING)
		send_document_call(w, &c);
	else
		send_own_call(w, &c);
	arrput(w->open, c);
}

/* ---- the judge ------------------------------------------------------------------- */

static void breach(struct world *w, const struct call *c, const struct sim_web *a, const char *what)
{
	sim_breach(&w->s, "%s at controller %d, sent at %lld ms, is answered %d (%.120s): %s", call_names[c->kind], c->node,
		   (long long)c->sent_at, a->status, a->whole ? a->whole : a->body, what);
}

/* Whether a version other than this one was in force at some time from then on. */
static int another_in_force(const struct world *w, uint64_t version, int64_t since)
{
	for (ptrdiff_t i = arrlen(w->seen) - 1; i >= 0; i--) {
		if (w->seen[i].version != version)
			return 1;
		if (w->seen[i].from <= since)
			return 0;
	}
	return version != 0;
}

static uint64_t number_after(const char *text, const char *key)
{
	const char *at = text ? strstr(text, key) : NULL;

	return at ? strtoull(at + strlen(key), NULL, 10) : 0;
}

/* The highest clearing that an answer names. */
static uint64_t newest_clearing(const char *body, enum call_kind kind)
{
	uint64_t newest = 0, n;

	for (const char *at = body; at && *at;) {
		if (kind == CALL_READ_RETENTION) {
			at = strstr(at, "\"number\":");
			n = at ? strtoull(at += 9, NULL, 10) : 0;
		} else {
			at = strchr(at, '\n');
			n = at ? strtoull(++at, NULL, 10) : 0;
		}
		newest = n > newest ? n : newest;
	}
	return newest;
}

static void acknowledge(struct world *w, uint64_t edition)
{
	struct acknowledged a = { edition, w->s.now };

	arrput(w->acks, a);
	if (edition > w->edition_floor)
		w->edition_floor = edition;
}

static void judge_document(struct world *w, const struct call *c, const struct sim_web *a)
{
	switch (a->status) {
	case 200:
		for (ptrdiff_t i = 0; i < arrlen(w->bases); i++)
			if (w->bases[i] == c->base)
				breach(w, c, a, "another document on this base was acknowledged before");
		arrput(w->bases, c->base);
		if (document_in_force(&w->s) < c->version)
			breach(w, c, a, "no controller has it");
		if (c->version > w->document_floor)
			w->document_floor = c->version;
		acknowledge(w, w->s.n[c->node].r->ctl.edition);
		break;
	case 400:
	case 412:
		if (!another_in_force(w, c->base, c->sent_at))
			breach(w, c, a, "its base was in force all the while");
		break;
	default: breach(w, c, a, "no such answer"); break;
	}
}

static void judge_own(struct world *w, const struct call *c, const struct sim_web *a)
{
	uint64_t n;

	switch (c->kind) {
	case CALL_CHANGE:
		if (a->status != 200)
			breach(w, c, a, "the change is valid");
		acknowledge(w, number_after(a->body, "{\"edition\":"));
		if (c->version > w->newest_name)
			w->newest_name = c->version;
		break;
	case CALL_READ_TABLE:
		if (number_after(a->body, "{\"edition\":") < c->edition_floor)
			breach(w, c, a, "older than what was acknowledged before");
		break;
	case CALL_CLEAR:
		if (a->status != 200)
			breach(w, c, a, "the call is valid");
		n = 0;
		for (int i = 0; i < CONTROLLERS; i++)
			if (w->s.n[i].up && w->s.n[i].r->ret.number > n)
				n = w->s.n[i].r->ret.number;
		w->clearing_floor = n > w->clearing_floor ? n : w->clearing_floor;
		break;
	case CALL_READ_RETENTION:
	case CALL_READ_REPORT:
		if (!a->whole || newest_clearing(a->whole, c->kind) < c->clearing_floor)
			breach(w, c, a, "older than what was acknowledged before");
		break;
	case CALL_BOOTSTRAP:
		if (a->status != 409)
			breach(w, c, a, "it belongs to a fleet");
		break;
	default:
		if (a->status != 400)
			breach(w, c, a, "the call is wrong");
		break;
	}
}

static void judge_definite(struct world *w, const struct call *c, const struct sim_web *a)
{
	w->definite++;
	if (c->isolated && c->kind != CALL_BOOTSTRAP)
		breach(w, c, a, "it is cut off from every other controller");
	/* what is committed stays so; all else holds only for as long as the lease does */
	if (c->kind <= CALL_NAME_NOTHING && !(a->status == 200 && c->kind != CALL_READ_DOCUMENT) && !a->by_leader)
		breach(w, c, a, "it does not lead");
	switch (c->kind) {
	case CALL_PUT_DOCUMENT: judge_document(w, c, a); break;
	case CALL_READ_DOCUMENT:
		if (a->status == 404 ? c->document_floor > 0 : number_after(a->whole, "\"ConfigVersion\":") < c->document_floor)
			breach(w, c, a, "older than what was acknowledged before");
		break;
	case CALL_NAME_WEIGHTS:
		if (a->status != 200)
			breach(w, c, a, "the naming is valid");
		break;
	case CALL_NAME_NOTHING:
		if (a->status != 400)
			breach(w, c, a, "the naming is invalid");
		break;
	default: judge_own(w, c, a); break;
	}
}

static void judge_answer(struct world *w, const struct call *c, const struct sim_web *a)
{
	w->answers++;
	if (c->isolated && !c->was_frozen && a->at - c->sent_at > ANSWER_MS)
		breach(w, c, a, "late: it is cut off from every other controller");
	if (a->status == 307) {
		if (!a->to || a->to == w->s.n[c->node].addr)
			breach(w, c, a, "redirected to itself");
	} else if (a->status >= 500) {
		if (a->retry_ms <= 0)
			breach(w, c, a, "without saying when to come back");
		w->refused_isolated += c->isolated;
	} else {
		judge_definite(w, c, a);
	}
}

static int only_reads(enum call_kind kind)
{
	return kind == CALL_READ_DOCUMENT || kind == CALL_READ_TABLE || kind == CALL_READ_RETENTION || kind == CALL_READ_REPORT;
}

/* For how long a call may wait: where nobody is reached any more a read has nothing to wait for, an order its outcome. */
static int64_t longest_wait(const struct world *w, const struct call *c)
{
	int64_t since = w->isolated_since[c->node];

	if (c->isolated)
		return ANSWER_MS + w->s.answer_ms;
	if (since && only_reads(c->kind))
		return NOTICED_MS + ANSWER_MS + w->s.answer_ms + (since > c->sent_at ? since - c->sent_at : 0);
	return OPEN_OUTCOME_MS + w->s.answer_ms;
}

/* Each call gets its answer in time, unless its controller fell or froze meanwhile. */
static void judge_calls(struct world *w)
{
	for (ptrdiff_t i = arrlen(w->open) - 1; i >= 0; i--) {
		struct call *c = &w->open[i];
		const struct sim_node *n = &w->s.n[c->node];
		const struct sim_web *a = sim_answer(&w->s, c->token);

		c->was_frozen |= n->frozen;
		if (a) {
			judge_answer(w, c, a);
		} else if (n->up && n->life == c->life) {
			int64_t most = longest_wait(w, c);

			if (!c->was_frozen && w->s.now - c->sent_at > most + LOOK_MS)
				sim_breach(&w->s, "%s at controller %d, sent at %lld ms, has no answer after %lld ms",
					   call_names[c->kind], c->node, (long long)c->sent_at, (long long)(w->s.now - c->sent_at));
			continue;
		}
		arrdelswap(w->open, i);
	}
}

/* A router that takes requests has every change that was acknowledged a bound ago. */
static void judge_routers(struct world *w)
{
	for (int i = SIM_REGS; i < SIM_REGS + ROUTERS; i++) {
		const struct sim_node *n = &w->s.n[i];
		int64_t now = sim_local(&w->s, i);

		if (!n->up || n->frozen)
			continue;
		if (!router_ready(n->c, now)) {
			w->router_refused++;
			continue;
		}
		for (ptrdiff_t k = arrlen(w->acks) - 1; k >= 0 && k > arrlen(w->acks) - 30; k--)
			if (w->s.now - w->acks[k].at > ROUTER_BOUND_MS && n->c->f.t.edition < w->acks[k].edition)
				sim_breach(&w->s, "router %d takes requests with edition %llu, %lld ms after %llu was acknowledged",
					   i, (unsigned long long)n->c->f.t.edition, (long long)(w->s.now - w->acks[k].at),
					   (unsigned long long)w->acks[k].edition);
	}
}

static void note_document(struct world *w)
{
	struct document_seen d = { document_in_force(&w->s), w->s.now };

	if (!arrlen(w->seen) || arrlast(w->seen).version != d.version)
		arrput(w->seen, d);
}

static void look(struct world *w)
{
	if (!sim_run(&w->s, LOOK_MS, NULL))
		intact(w);
	note_document(w);
	judge_calls(w);
	judge_routers(w);
	intact(w);
}

/* ---- the world --------------------------------------------------------------------- */

static void open_world(struct world *w, uint64_t seed)
{
	uint64_t addresses[3];
	char text[32];

	memset(w, 0, sizeof *w);
	w->rng = seed * 6364136223846793005ull + 99;
	w->documents = (int)(seed % 2);
	sim_open(&w->s, seed);
	w->s.codec = &platform_tongue;
	w->s.epoch = 1800000000000ll;
	w->s.loss = seed % 3 ? 0 : 5;
	for (int i = 0; i < 3; i++) {
		snprintf(text, sizeof text, "127.0.1.%d:7000", i + 1);
		addresses[i] = core_addr(text);
	}
	for (int i = 0; i < CONTROLLERS; i++) {
		snprintf(text, sizeof text, "z%d", i % 3 + 1);
		sim_registrar(&w->s, text, addresses, 3);
	}
	for (int i = 0; i < ROUTERS; i++) {
		snprintf(text, sizeof text, "z%d", i % 3 + 1);
		sim_counter(&w->s, text);
	}
	controller_bootstrap(w->s.n[0].r, sim_local(&w->s, 0));
	for (int64_t end = w->s.now + 20000; w->s.now < end && sim_owner(&w->s, SHARD_CONTROL) < 0;)
		look(w);
	assert_true(sim_owner(&w->s, SHARD_CONTROL) >= 0);
	w->s.answer_ms = (int)dice(w, 3) * 20;
}

static void close_world(struct world *w)
{
	arrfree(w->open);
	arrfree(w->seen);
	arrfree(w->acks);
	arrfree(w->bases);
	sim_close(&w->s);
}

static enum call_kind any_kind(struct world *w)
{
	static const enum call_kind documents[] = { CALL_PUT_DOCUMENT, CALL_PUT_DOCUMENT, CALL_READ_DOCUMENT, CALL_READ_DOCUMENT,
						    CALL_NAME_WEIGHTS, CALL_NAME_NOTHING, CALL_READ_TABLE,    CALL_READ_RETENTION };
	static const enum call_kind rows[] = { CALL_CHANGE,         CALL_CHANGE,      CALL_BAD_CHANGE, CALL_NO_CHANGE,
					       CALL_READ_TABLE,     CALL_READ_TABLE,  CALL_CLEAR,      CALL_BAD_CLEAR,
					       CALL_READ_RETENTION, CALL_READ_REPORT, CALL_BOOTSTRAP };

	if (w->documents)
		return documents[dice(w, sizeof documents / sizeof *documents)];
	return rows[dice(w, sizeof rows / sizeof *rows)];
}

/* Operators call every controller, the one in trouble most of all. */
static void operate(struct world *w, int64_t ms, int trouble, int pause_ms)
{
	int64_t next = 0;

	for (int64_t end = w->s.now + ms; w->s.now < end;) {
		if (w->s.now >= next) {
			int node = trouble >= 0 && trouble < CONTROLLERS && dice(w, 2) ? trouble : (int)dice(w, CONTROLLERS);

			if (w->s.n[node].up)
				send_call(w, any_kind(w), node);
			next = w->s.now + 1 + (int64_t)dice(w, 2 * (uint64_t)pause_ms);
		}
		look(w);
	}
}

/* Cuts links between a node and others: to them, from them, or both. */
enum { CUT_TO = 1, CUT_FROM = 2, CUT_BOTH = 3 };

static void cut_links(struct world *w, int node, int from, int to, int ways)
{
	for (int i = from; i < to; i++) {
		if (i == node)
			continue;
		w->s.link_cut[node][i] = (unsigned char)((ways & CUT_TO) != 0);
		w->s.link_cut[i][node] = (unsigned char)((ways & CUT_FROM) != 0);
	}
}

static void heal(struct world *w)
{
	memset(w->s.link_cut, 0, sizeof w->s.link_cut);
	memset(w->isolated_since, 0, sizeof w->isolated_since);
	w->healed_at = w->s.now;
}

/* All is as before: a leader, routers that take requests, and the newest of what was acknowledged is read everywhere. */
static void recovered(struct world *w)
{
	char *whole;
	uint64_t token;

	operate(w, HEALED_MS, -1, 40);
	w->s.answer_ms = 0;
	w->s.loss = 0;
	for (int64_t end = w->s.now + OPEN_OUTCOME_MS + 200; w->s.now < end && arrlen(w->open);)
		look(w);
	assert_true(sim_owner(&w->s, SHARD_CONTROL) >= 0);
	for (int i = SIM_REGS; i < SIM_REGS + ROUTERS; i++)
		if (!router_ready(w->s.n[i].c, sim_local(&w->s, i)))
			fail_msg("seed %llu: router %d does not take requests again", (unsigned long long)w->s.seed, i);
	for (int i = 0; i < CONTROLLERS; i++)
		if (sim_do(&w->s, i, "GET", "/v1/table", "", 2000) != 200 ||
		    number_after(sim_answer(&w->s, w->s.token)->body, "{\"edition\":") < w->edition_floor)
			fail_msg("seed %llu: controller %d does not read the newest table", (unsigned long long)w->s.seed, i);
	if (!w->document_floor)
		return;
	token = sim_doc(&w->s, sim_owner(&w->s, SHARD_CONTROL), 0, 0, NULL, NULL);
	sim_run(&w->s, 50, NULL);
	assert_non_null(sim_answer(&w->s, token));
	whole = sim_answer(&w->s, token)->whole;
	if (number_after(whole, "\"ConfigVersion\":") < w->document_floor)
		fail_msg("seed %llu: version %llu was acknowledged, and is not read", (unsigned long long)w->s.seed,
			 (unsigned long long)w->document_floor);
	intact(w);
}

/* ---- tests -------------------------------------------------------------------------- */

enum trouble {
	TROUBLE_CUT_BOTH,
	TROUBLE_CUT_SENDING,
	TROUBLE_CUT_HEARING,
	TROUBLE_CUT_FROM_ROUTERS,
	TROUBLE_CUT_FROM_CONTROLLERS,
	TROUBLE_FROZEN,
	TROUBLE_FROZEN_AND_CUT,
	TROUBLE_SLOWED,
	TROUBLES
};

static void step_clocks(struct world *w)
{
	for (int i = 0; i < CONTROLLERS; i++)
		if (!dice(w, 3))
			w->s.n[i].wall_off = (int64_t)dice(w, 7200000) - 3600000;
}

static void isolate(struct world *w, int node, enum trouble trouble)
{
	int all = SIM_REGS + ROUTERS;

	switch (trouble) {
	case TROUBLE_CUT_BOTH: cut_links(w, node, 0, all, CUT_BOTH); break;
	case TROUBLE_CUT_SENDING: cut_links(w, node, 0, all, CUT_TO); break;
	case TROUBLE_CUT_HEARING: cut_links(w, node, 0, all, CUT_FROM); break;
	case TROUBLE_CUT_FROM_ROUTERS: cut_links(w, node, SIM_REGS, all, CUT_BOTH); return;
	case TROUBLE_CUT_FROM_CONTROLLERS: cut_links(w, node, 0, SIM_REGS, CUT_BOTH); break;
	case TROUBLE_FROZEN: sim_freeze(&w->s, node, 1); return;
	case TROUBLE_FROZEN_AND_CUT:
		sim_freeze(&w->s, node, 1);
		cut_links(w, node, 0, all, CUT_BOTH);
		break;
	default: return;
	}
	if (node < CONTROLLERS)
		w->isolated_since[node] = w->s.now;
}

/* It runs for 30 of every 130 ms, which is less than a lease needs, or for most of the time. */
static void slow_down(struct world *w, int node, int64_t ms)
{
	int stands = dice(w, 2) ? 100 : 400;

	for (int64_t end = w->s.now + ms; w->s.now < end;) {
		sim_freeze(&w->s, node, 1);
		operate(w, stands, node, 40);
		sim_freeze(&w->s, node, 0);
		operate(w, 30, node, 40);
	}
}

static void run_trouble(struct world *w, enum trouble trouble, int node)
{
	step_clocks(w);
	isolate(w, node, trouble);
	if (trouble == TROUBLE_SLOWED)
		slow_down(w, node, ISOLATION_MS / 2);
	else
		operate(w, ISOLATION_MS, node, 40);
	step_clocks(w);
	/* thawed before its links are whole again, or at the same time */
	if (w->s.n[node].frozen) {
		sim_freeze(&w->s, node, 0);
		if (trouble == TROUBLE_FROZEN_AND_CUT)
			operate(w, (int64_t)dice(w, 600), node, 10);
	}
	heal(w);
	operate(w, 1500, node, 10);
}

static void controllers_in_trouble(void **state)
{
	uint64_t first, seeds = seeds_of(48, &first), answers = 0, definite = 0, refused = 0, router_refused = 0;

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct world w;
		enum trouble trouble = (enum trouble)(seed / 2 % TROUBLES);
		int node;

		open_world(&w, seed);
		operate(&w, 3000, -1, 40);
		node = seed / (2 * TROUBLES) % 3 == 1 ? (int)dice(&w, CONTROLLERS) : sim_owner(&w.s, SHARD_CONTROL);
		run_trouble(&w, trouble, node < 0 ? 0 : node);
		recovered(&w);
		answers += w.answers;
		definite += w.definite;
		refused += w.refused_isolated;
		router_refused += w.router_refused;
		close_world(&w);
	}
	print_message("%llu answers, %llu of them definite, %llu refusals of isolated controllers\n", (unsigned long long)answers,
		      (unsigned long long)definite, (unsigned long long)refused);
	if (seeds >= 16)
		assert_true(definite > answers / 4 && refused > answers / 50);
}

/* Half of the core, or each member from each other, so that nobody leads for a while. */
static void core_in_pieces(void **state)
{
	uint64_t first, seeds = seeds_of(12, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct world w;

		open_world(&w, seed);
		operate(&w, 3000, -1, 40);
		for (int i = 0; i < CONTROLLERS; i++) {
			cut_links(&w, i, 0, SIM_REGS, CUT_BOTH);
			w.isolated_since[i] = w.s.now;
		}
		operate(&w, ISOLATION_MS, -1, 40);
		heal(&w);
		operate(&w, 1500, -1, 10);
		recovered(&w);
		close_world(&w);
	}
}

/* All machines stop at once, and go on at once: the lease of the leader is over, whatever anybody remembers. */
static void all_frozen_and_thawed(void **state)
{
	uint64_t first, seeds = seeds_of(12, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct world w;

		open_world(&w, seed);
		operate(&w, 3000, -1, 20);
		for (int i = 0; i < CONTROLLERS; i++)
			sim_freeze(&w.s, i, 1);
		operate(&w, ISOLATION_MS, -1, 40);
		for (int i = 0; i < CONTROLLERS; i++) {
			sim_freeze(&w.s, i, 0);
			operate(&w, (int64_t)dice(&w, 200), i, 10);
		}
		recovered(&w);
		close_world(&w);
	}
}

/* A router that hears nothing of the leader refuses past its bound, and takes requests again once it does. */
static void routers_in_trouble(void **state)
{
	uint64_t first, seeds = seeds_of(24, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct world w;
		int router = SIM_REGS + (int)(seed % ROUTERS), frozen = seed / 3 % 4 == 3;

		open_world(&w, seed);
		operate(&w, 3000, -1, 40);
		if (frozen)
			sim_freeze(&w.s, router, 1);
		else
			cut_links(&w, router, 0, SIM_REGS, seed / 3 % 4 + 1 > 3 ? CUT_BOTH : (int)(seed / 3 % 4) + 1);
		operate(&w, ROUTER_BOUND_MS, -1, 40);
		for (int64_t end = w.s.now + ISOLATION_MS - ROUTER_BOUND_MS; w.s.now < end;) {
			operate(&w, 100, -1, 40);
			if (!frozen && router_ready(w.s.n[router].c, sim_local(&w.s, router)))
				fail_msg("seed %llu: router %d takes requests, and has heard nobody for a while",
					 (unsigned long long)seed, router);
		}
		if (frozen)
			sim_freeze(&w.s, router, 0);
		heal(&w);
		recovered(&w);
		close_world(&w);
	}
}

/* Run until another answer of this kind is on its way to a node. */
static void until_sent(struct sim *s, int body)
{
	uint64_t before = s->by_body[body];

	while (s->by_body[body] == before)
		if (!sim_run(s, 1, NULL))
			fail_msg("%s", s->bad);
}

/* The leader's word to one that stood still since: read twenty seconds later, it says nothing definite any more. */
static void an_answer_read_late_is_none(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 48; seed++) {
		struct world w;
		int node, read = seed % 2;
		uint64_t token;

		open_world(&w, seed);
		operate(&w, 3000, -1, 40);
		w.s.answer_ms = 0;
		node = (sim_owner(&w.s, SHARD_CONTROL) + 1) % CONTROLLERS;
		if (read)
			token = sim_call(&w.s, node, "GET", "/v1/retention", "");
		else
			token = sim_call(&w.s, node, "POST", "/v1/change",
					 "{\"set\":[{\"kind\":\"lane\",\"name\":\"bad\",\"service\":\"nowhere\"}]}");
		until_sent(&w.s, read ? NL__MSG__BODY_READ_REPLY : NL__MSG__BODY_ANSWER);
		sim_freeze(&w.s, node, 1); /* with that answer and little else at its door */
		cut_links(&w, node, 0, SIM_REGS + ROUTERS, CUT_BOTH);
		sim_run(&w.s, ISOLATION_MS, NULL);
		assert_null(sim_answer(&w.s, token));
		sim_freeze(&w.s, node, 0);
		sim_run(&w.s, 100, NULL);
		assert_non_null(sim_answer(&w.s, token));
		assert_int_equal(sim_answer(&w.s, token)->status, read ? 503 : 504);
		assert_true(sim_answer(&w.s, token)->retry_ms > 0);
		close_world(&w);
	}
}

/* The leader stands still between making an answer and writing it: by then its lease is over. */
static void an_answer_held_back_is_not_written(void **state)
{
	int seen = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 12; seed++) {
		struct world w;
		struct call c = { .kind = seed % 2 ? CALL_READ_DOCUMENT : CALL_NAME_NOTHING };
		int leader;

		open_world(&w, seed);
		w.s.answer_ms = 0;
		operate(&w, 3000, -1, 40);
		w.s.answer_ms = 40;
		leader = sim_owner(&w.s, SHARD_CONTROL);
		assert_true(leader >= 0);
		c.node = leader;
		send_document_call(&w, &c);
		sim_run(&w.s, 1, NULL);
		if (!sim_answer(&w.s, c.token)) {
			seen++;
			sim_freeze(&w.s, leader, 1);
			sim_run(&w.s, ISOLATION_MS, NULL);
			assert_null(sim_answer(&w.s, c.token));
			sim_freeze(&w.s, leader, 0);
			sim_run(&w.s, 100, NULL);
			assert_non_null(sim_answer(&w.s, c.token));
			assert_int_equal(sim_answer(&w.s, c.token)->status, 503);
			assert_true(sim_answer(&w.s, c.token)->retry_ms > 0);
		}
		intact(&w);
		close_world(&w);
	}
	assert_true(seen >= 6);
}

/* The list of servers as it was when the leader asked: after a freeze it is not told to anybody as the list of now. */
static void a_list_read_late_is_none(void **state)
{
	struct instances seen, followed;
	struct Nl__Instance server = NL__INSTANCE__INIT, *list[1] = { &server };
	struct out o = { 0 };
	int64_t now = 100000;

	(void)state;
	apr_pool_create(&o.p, NULL);
	instances_open(&seen);
	instances_open(&followed);
	instances_begin(&seen, &followed, 1, now);
	server.server = server.service = server.addr = server.zone = server.weights = "x";
	instances_tick(&seen, 0, 10000, 7, now, &o);
	assert_int_equal(arrlen(o.v), 1);
	instances_listed(&seen, 7, 1, list, 1, now + ISOLATION_MS);
	assert_null(instances_get(&seen, "x"));
	assert_false(seen.listed);
	now += ISOLATION_MS + INSTANCES_CALM;
	instances_tick(&seen, 0, 10000, 8, now, &o);
	instances_listed(&seen, 8, 1, list, 1, now + 100);
	assert_non_null(instances_get(&seen, "x"));
	instances_close(&seen);
	instances_close(&followed);
	arrfree(o.v);
	apr_pool_destroy(o.p);
}

/* A read that reaches one that does not lead is answered with who does, never with what it has. */
static void only_the_leader_answers_reads(void **state)
{
	struct world w;
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__Read read = NL__READ__INIT;
	struct sim_ev e = { .kind = SIM_MSG };
	uint64_t replies, hints;

	(void)state;
	open_world(&w, 2);
	operate(&w, 3000, -1, 40);
	sim_run(&w.s, 1000, NULL);
	replies = w.s.by_body[NL__MSG__BODY_READ_REPLY];
	hints = w.s.by_body[NL__MSG__BODY_OWNER];
	read.kind = NL__READ_KIND__READ_RETENTION;
	message.speak = CORE_SPEAK;
	message.id = 77;
	message.addr = core_addr("127.0.9.9:1");
	message.body_case = NL__MSG__BODY_READ;
	message.read = &read;
	for (int i = 0; i < CONTROLLERS; i++) {
		e.at = w.s.now;
		e.node = i;
		e.n = nl__msg__get_packed_size(&message);
		e.d = malloc(e.n + 1);
		nl__msg__pack(&message, e.d);
		sim_push(&w.s, e);
	}
	sim_run(&w.s, 1, NULL);
	assert_int_equal(w.s.by_body[NL__MSG__BODY_READ_REPLY], replies + 1);
	assert_true(w.s.by_body[NL__MSG__BODY_OWNER] >= hints + CONTROLLERS - 1);
	intact(&w);
	close_world(&w);
}

/* A controller takes a change on a leader's last word, hears of another follower that it does not lead, and then nothing:
 * what surely was not logged is refused as soon as that last word is too old. */
static void what_nobody_took_is_refused_soon(void **state)
{
	enum { LAST_WORD_MS = CONFIG_WATCH_SILENT - 30 };
	int refused = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 24; seed++) {
		struct world w;
		struct controller *r;
		int leader, node, follower;
		uint64_t token, answers;
		int64_t sent;

		open_world(&w, seed);
		operate(&w, 3000, -1, 40);
		w.s.answer_ms = 0;
		w.s.loss = 0;
		leader = sim_owner(&w.s, SHARD_CONTROL);
		assert_true(leader >= 0);
		node = (leader + 1) % CONTROLLERS;
		follower = (leader + 2) % CONTROLLERS;
		cut_links(&w, node, 0, SIM_REGS, CUT_BOTH);
		w.s.link_cut[node][follower] = w.s.link_cut[follower][node] = 0;
		r = w.s.n[node].r;
		while (config_watch_age(&r->f, sim_local(&w.s, node)) < LAST_WORD_MS)
			sim_run(&w.s, 1, NULL);
		r->f.leader_addr[SHARD_CONTROL] = w.s.n[follower].addr; /* as a hint that came late would have it */
		answers = w.s.by_body[NL__MSG__BODY_ANSWER];
		token = sim_call(&w.s, node, "POST", "/v1/change",
				 "{\"set\":[{\"kind\":\"service\",\"name\":\"sx\",\"weights\":\"w1\"" SPEEDS "}]}");
		sent = w.s.now;
		sim_run(&w.s, 20, NULL);
		if (w.s.by_body[NL__MSG__BODY_ANSWER] > answers && arrlen(r->ask) == 1 && r->ask[0].sends == 1 &&
		    r->ask[0].denied == 1) {
			while (!sim_answer(&w.s, token) && w.s.now < sent + 2 * OPEN_OUTCOME_MS)
				sim_run(&w.s, LOOK_MS, NULL);
			assert_non_null(sim_answer(&w.s, token));
			assert_int_equal(sim_answer(&w.s, token)->status, 503);
			if (w.s.now - sent > ANSWER_MS)
				fail_msg("seed %llu: refused after %lld ms", (unsigned long long)seed, (long long)(w.s.now - sent));
			refused++;
		}
		intact(&w);
		close_world(&w);
	}
	assert_true(refused >= 6);
}

/* The others' disks stand still, though their processes go on: nothing is committed, and whoever waits is told so. */
static void an_open_outcome_is_said_to_be_open(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 8; seed++) {
		struct world w;
		int leader;
		struct call c = { .kind = CALL_PUT_DOCUMENT };
		int64_t sent;

		open_world(&w, seed);
		operate(&w, 3000, -1, 40);
		w.s.answer_ms = 0;
		leader = sim_owner(&w.s, SHARD_CONTROL);
		assert_true(leader >= 0);
		for (int i = 0; i < CONTROLLERS; i++)
			if (i != leader)
				w.s.n[i].stall_until = w.s.now + 2 * OPEN_OUTCOME_MS;
		c.node = leader;
		send_document_call(&w, &c);
		sent = w.s.now;
		while (!sim_answer(&w.s, c.token) && w.s.now < sent + 2 * OPEN_OUTCOME_MS)
			sim_run(&w.s, LOOK_MS, NULL);
		assert_non_null(sim_answer(&w.s, c.token));
		assert_int_equal(sim_answer(&w.s, c.token)->status, 504);
		assert_true(w.s.now - sent <= OPEN_OUTCOME_MS);
		assert_true(sim_answer(&w.s, c.token)->retry_ms > 0);
		intact(&w);
		close_world(&w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(controllers_in_trouble),        cmocka_unit_test(core_in_pieces),
		cmocka_unit_test(all_frozen_and_thawed),         cmocka_unit_test(routers_in_trouble),
		cmocka_unit_test(an_answer_read_late_is_none),   cmocka_unit_test(an_answer_held_back_is_not_written),
		cmocka_unit_test(a_list_read_late_is_none),      cmocka_unit_test(an_open_outcome_is_said_to_be_open),
		cmocka_unit_test(only_the_leader_answers_reads), cmocka_unit_test(what_nobody_took_is_refused_soon),
	};

	apr_initialize();
	if (getenv("NL_TEST"))
		cmocka_set_test_filter(getenv("NL_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
