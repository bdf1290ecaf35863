/* Controllers that are cut off, frozen or slowed for twenty seconds, while operators call every one of them
 * and routers follow the configuration. A checker compares each answer against what was acknowledged and what
 * was in force. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <cmocka.h>

#include "router_internal.h"
#include "config_document.h"
#include "containers.h"
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
	POLL_MS = 5
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

static const char *const call_names[] = { "put document", "read document", "name weights",   "name nothing",
					  "change",       "bad change",    "no change",      "read table",
					  "clear",        "bad clear",     "read retention", "read report",
					  "bootstrap" };

struct call {
	enum call_kind kind;
	int node;
	uint64_t token, incarnation, base, version;
	int64_t sent_at;
	/* what was acknowledged before it was sent */
	uint64_t document_floor, revision_floor, clearing_floor;
	int isolated, was_frozen;
};

struct document_in_force_since {
	uint64_t version;
	int64_t from;
};
struct acknowledged {
	uint64_t revision;
	int64_t at;
};

struct world {
	struct sim s;
	uint64_t rng;
	int documents;                        /* documents are written; else rows of the table */
	struct call *open;                    /* stb_ds */
	struct document_in_force_since *seen; /* stb_ds: each version in force, since when */
	struct acknowledged *acks;            /* stb_ds */
	uint64_t *bases;                      /* stb_ds: bases of acknowledged documents */
	uint64_t document_floor, revision_floor, clearing_floor, next_version, next_name, newest_name;
	int64_t
	    isolated_since[SIM_NODES]; /* when a node was cut off from every other controller; 0: it is not */
	int64_t healed_at;
	uint64_t answers, definite, refused_isolated, acknowledged_isolated, router_refused;
};

static uint64_t random_below(struct world *w, uint64_t n)
{
	return core_random(&w->rng) % n;
}

static uint64_t seeds_of(uint64_t n, uint64_t *first)
{
	*first = getenv("NL_SEED") ? strtoull(getenv("NL_SEED"), NULL, 10) : 1;
	return getenv("NL_SEEDS") ? strtoull(getenv("NL_SEEDS"), NULL, 10) : n;
}

static void intact(struct world *world)
{
	if (world->s.violation[0])
		fail_msg("%s", world->s.violation);
}

/* The document's version that is in force, as the controller that has applied most knows it. */
static uint64_t document_in_force(const struct sim *sim)
{
	uint64_t version = 0;

	for (int i = 0; i < CONTROLLERS; i++)
		if (sim->nodes[i].up && sim->nodes[i].controller->config.document_version > version)
			version = sim->nodes[i].controller->config.document_version;
	return version;
}

static void send_document_call(struct world *world, struct call *call)
{
	char body[300];

	if (call->kind == CALL_READ_DOCUMENT) {
		call->token = sim_send_document(&world->s, call->node, 0, 0, NULL, NULL);
	} else if (call->kind == CALL_NAME_WEIGHTS || call->kind == CALL_NAME_NOTHING) {
		snprintf(body, sizeof body, "%llu", (unsigned long long)++world->next_name);
		call->token = sim_send_document(&world->s, call->node, 0, 0, "model",
						call->kind == CALL_NAME_WEIGHTS ? body : "not a number");
	} else {
		call->base = document_in_force(&world->s);
		call->version = world->next_version > call->base ? world->next_version : call->base;
		call->version += 1 + random_below(world, 3);
		world->next_version = call->version;
		snprintf(
		    body, sizeof body,
		    "{\"ConfigVersion\":%llu,\"RouteList\":[],\"ServiceList\":[],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},\"TenantList\":[]}",
		    (unsigned long long)call->version);
		call->token = sim_send_document(&world->s, call->node, call->base, 0, body, NULL);
	}
}

static void send_own_call(struct world *world, struct call *call)
{
	char body[300] = "";
	const char *method = "GET", *path = "/v1/table";

	switch (call->kind) {
	case CALL_CHANGE: /* a route of the service that was acknowledged last: who has not heard of it must
			     not checker this */
		method = "POST";
		path = "/v1/change";
		world->next_name++;
		if (world->newest_name)
			snprintf(
			    body, sizeof body,
			    "{\"set\":[{\"kind\":\"service\",\"name\":\"s%llu\",\"weights\":\"w1\"" SPEEDS
			    "},{\"kind\":\"lane\",\"name\":\"l%llu\",\"service\":\"s%llu\",\"prio\":0,\"limit\":50}]}",
			    (unsigned long long)world->next_name, (unsigned long long)world->next_name,
			    (unsigned long long)world->newest_name);
		else
			snprintf(
			    body, sizeof body,
			    "{\"set\":[{\"kind\":\"service\",\"name\":\"s%llu\",\"weights\":\"w1\"" SPEEDS
			    "}]}",
			    (unsigned long long)world->next_name);
		call->version = world->next_name;
		break;
	case CALL_BAD_CHANGE:
		method = "POST";
		path = "/v1/change";
		snprintf(body, sizeof body,
			 "{\"set\":[{\"kind\":\"lane\",\"name\":\"bad\",\"service\":\"nowhere\"}]}");
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
	case CALL_READ_RETENTION:
		path = "/v1/retention";
		break;
	case CALL_READ_REPORT:
		path = "/v1/retention.csv";
		break;
	case CALL_BOOTSTRAP:
		method = "POST";
		path = "/v1/found";
		break;
	default:
		break;
	}
	call->token = sim_call(&world->s, call->node, method, path, body);
}

static void send_call(struct world *world, enum call_kind kind, int node)
{
	struct call call = { .kind = kind,
			     .node = node,
			     .incarnation = world->s.nodes[node].incarnation,
			     .sent_at = world->s.now };

	call.document_floor = world->document_floor;
	call.revision_floor = world->revision_floor;
	call.clearing_floor = world->clearing_floor;
	call.isolated =
	    world->isolated_since[node] && world->s.now - world->isolated_since[node] >= NOTICED_MS;
	call.was_frozen = world->s.nodes[node].frozen;
	if (kind <= CALL_NAME_NOTHING)
		send_document_call(world, &call);
	else
		send_own_call(world, &call);
	arrput(world->open, call);
}

/* ---- the checker ------------------------------------------------------------------- */

static void breach(struct world *world, const struct call *call, const struct sim_operator_answer *web,
		   const char *what)
{
	sim_violation(&world->s, "%s at controller %d, sent at %lld ms, is answered %d (%.120s): %s",
		      call_names[call->kind], call->node, (long long)call->sent_at, web->status,
		      web->full_body ? web->full_body : web->body, what);
}

/* Whether a version other than this one was in force at some time from then on. */
static int another_in_force(const struct world *world, uint64_t version, int64_t since)
{
	for (ptrdiff_t i = arrlen(world->seen) - 1; i >= 0; i--) {
		if (world->seen[i].version != version)
			return 1;
		if (world->seen[i].from <= since)
			return 0;
	}
	return version != 0;
}

static uint64_t number_after(const char *text, const char *key)
{
	const char *at = text ? strstr(text, key) : NULL;

	return at ? strtoull(at + strlen(key), NULL, 10) : 0;
}

/* The highest purge that an answer names. */
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

static void acknowledge(struct world *world, uint64_t revision)
{
	struct acknowledged acknowledged = { revision, world->s.now };

	arrput(world->acks, acknowledged);
	if (revision > world->revision_floor)
		world->revision_floor = revision;
}

static void check_document(struct world *world, const struct call *call,
			   const struct sim_operator_answer *web)
{
	switch (web->status) {
	case 200:
		for (ptrdiff_t i = 0; i < arrlen(world->bases); i++)
			if (world->bases[i] == call->base)
				breach(world, call, web,
				       "another document on this base was acknowledged before");
		arrput(world->bases, call->base);
		if (document_in_force(&world->s) < call->version)
			breach(world, call, web, "no controller has it");
		if (call->version > world->document_floor)
			world->document_floor = call->version;
		acknowledge(world, world->s.nodes[call->node].controller->config.table.revision);
		break;
	case 400:
	case 412:
		if (!another_in_force(world, call->base, call->sent_at))
			breach(world, call, web, "its base was in force all the while");
		break;
	default:
		breach(world, call, web, "no such answer");
		break;
	}
}

static void check_own(struct world *world, const struct call *call, const struct sim_operator_answer *web)
{
	uint64_t n;

	switch (call->kind) {
	case CALL_CHANGE:
		if (web->status != 200)
			breach(world, call, web, "the change is valid");
		acknowledge(world, number_after(web->body, "{\"edition\":"));
		if (call->version > world->newest_name)
			world->newest_name = call->version;
		break;
	case CALL_READ_TABLE:
		if (number_after(web->body, "{\"edition\":") < call->revision_floor)
			breach(world, call, web, "older than what was acknowledged before");
		break;
	case CALL_CLEAR:
		if (web->status != 200)
			breach(world, call, web, "the call is valid");
		n = 0;
		for (int i = 0; i < CONTROLLERS; i++)
			if (world->s.nodes[i].up &&
			    world->s.nodes[i].controller->retention.last_purge_number > n)
				n = world->s.nodes[i].controller->retention.last_purge_number;
		world->clearing_floor = n > world->clearing_floor ? n : world->clearing_floor;
		break;
	case CALL_READ_RETENTION:
	case CALL_READ_REPORT:
		if (!web->full_body || newest_clearing(web->full_body, call->kind) < call->clearing_floor)
			breach(world, call, web, "older than what was acknowledged before");
		break;
	case CALL_BOOTSTRAP:
		if (web->status != 409)
			breach(world, call, web, "it belongs to a fleet");
		break;
	default:
		if (web->status != 400)
			breach(world, call, web, "the call is wrong");
		break;
	}
}

static void check_definite(struct world *world, const struct call *call,
			   const struct sim_operator_answer *web)
{
	world->definite++;
	if (call->isolated && call->kind != CALL_BOOTSTRAP)
		breach(world, call, web, "it is cut off from every other controller");
	/* what is committed stays so; all else holds only for as long as the lease does */
	if (call->kind <= CALL_NAME_NOTHING && !(web->status == 200 && call->kind != CALL_READ_DOCUMENT) &&
	    !web->by_leader)
		breach(world, call, web, "it does not lead");
	switch (call->kind) {
	case CALL_PUT_DOCUMENT:
		check_document(world, call, web);
		break;
	case CALL_READ_DOCUMENT:
		if (web->status == 404
			? call->document_floor > 0
			: number_after(web->full_body, "\"ConfigVersion\":") < call->document_floor)
			breach(world, call, web, "older than what was acknowledged before");
		break;
	case CALL_NAME_WEIGHTS:
		if (web->status != 200)
			breach(world, call, web, "the naming is valid");
		break;
	case CALL_NAME_NOTHING:
		if (web->status != 400)
			breach(world, call, web, "the naming is invalid");
		break;
	default:
		check_own(world, call, web);
		break;
	}
}

static void check_answer(struct world *world, const struct call *call, const struct sim_operator_answer *web)
{
	world->answers++;
	if (call->isolated && !call->was_frozen && web->answered_at - call->sent_at > ANSWER_MS)
		breach(world, call, web, "late: it is cut off from every other controller");
	if (web->status == 307) {
		if (!web->redirect_addr || web->redirect_addr == world->s.nodes[call->node].addr)
			breach(world, call, web, "redirected to itself");
	} else if (web->status >= 500) {
		if (web->retry_ms <= 0)
			breach(world, call, web, "without saying when to come back");
		world->refused_isolated += call->isolated;
	} else {
		check_definite(world, call, web);
	}
}

static int only_reads(enum call_kind kind)
{
	return kind == CALL_READ_DOCUMENT || kind == CALL_READ_TABLE || kind == CALL_READ_RETENTION ||
	       kind == CALL_READ_REPORT;
}

/* For how long a call may wait: where nobody is reached any more a read has nothing to wait for, an order its
 * outcome. */
static int64_t longest_wait(const struct world *world, const struct call *call)
{
	int64_t since = world->isolated_since[call->node];

	if (call->isolated)
		return ANSWER_MS + world->s.answer_delay_ms;
	if (since && only_reads(call->kind))
		return NOTICED_MS + ANSWER_MS + world->s.answer_delay_ms +
		       (since > call->sent_at ? since - call->sent_at : 0);
	return OPEN_OUTCOME_MS + world->s.answer_delay_ms;
}

/* Each call gets its answer in time, unless its controller fell or froze meanwhile. */
static void check_calls(struct world *world)
{
	for (ptrdiff_t i = arrlen(world->open) - 1; i >= 0; i--) {
		struct call *call = &world->open[i];
		const struct sim_node *node = &world->s.nodes[call->node];
		const struct sim_operator_answer *web = sim_answer(&world->s, call->token);

		call->was_frozen |= node->frozen;
		if (web) {
			check_answer(world, call, web);
		} else if (node->up && node->incarnation == call->incarnation) {
			int64_t most = longest_wait(world, call);

			if (!call->was_frozen && world->s.now - call->sent_at > most + POLL_MS)
				sim_violation(
				    &world->s,
				    "%s at controller %d, sent at %lld ms, has no answer after %lld ms",
				    call_names[call->kind], call->node, (long long)call->sent_at,
				    (long long)(world->s.now - call->sent_at));
			continue;
		}
		arrdelswap(world->open, i);
	}
}

/* A router that takes requests has every change that was acknowledged a bound ago. */
static void check_routers(struct world *world)
{
	for (int i = SIM_CONTROLLERS; i < SIM_CONTROLLERS + ROUTERS; i++) {
		const struct sim_node *node = &world->s.nodes[i];
		int64_t now = sim_local_clock(&world->s, i);

		if (!node->up || node->frozen)
			continue;
		if (!router_ready(node->router, now)) {
			world->router_refused++;
			continue;
		}
		for (ptrdiff_t k = arrlen(world->acks) - 1; k >= 0 && k > arrlen(world->acks) - 30; k--)
			if (world->s.now - world->acks[k].at > ROUTER_BOUND_MS &&
			    node->router->config.watch.table.revision < world->acks[k].revision)
				sim_violation(
				    &world->s,
				    "router %d takes requests with edition %llu, %lld ms after %llu was acknowledged",
				    i, (unsigned long long)node->router->config.watch.table.revision,
				    (long long)(world->s.now - world->acks[k].at),
				    (unsigned long long)world->acks[k].revision);
	}
}

static void note_document(struct world *world)
{
	struct document_in_force_since document_seen = { document_in_force(&world->s), world->s.now };

	if (!arrlen(world->seen) || arrlast(world->seen).version != document_seen.version)
		arrput(world->seen, document_seen);
}

static void observe(struct world *world)
{
	if (!sim_run(&world->s, POLL_MS, NULL))
		intact(world);
	note_document(world);
	check_calls(world);
	check_routers(world);
	intact(world);
}

/* ---- the world --------------------------------------------------------------------- */

static void open_world(struct world *world, uint64_t seed)
{
	uint64_t addresses[3];
	char text[32];

	memset(world, 0, sizeof *world);
	world->rng = seed * 6364136223846793005ull + 99;
	world->documents = (int)(seed % 2);
	sim_open(&world->s, seed);
	world->s.codec = &platform_codec;
	world->s.wall_clock_epoch_ms = 1800000000000ll;
	world->s.loss_per_mille = seed % 3 ? 0 : 5;
	for (int i = 0; i < 3; i++) {
		snprintf(text, sizeof text, "127.0.1.%d:7000", i + 1);
		addresses[i] = core_parse_addr(text);
	}
	for (int i = 0; i < CONTROLLERS; i++) {
		snprintf(text, sizeof text, "z%d", i % 3 + 1);
		sim_add_controller(&world->s, text, addresses, 3);
	}
	for (int i = 0; i < ROUTERS; i++) {
		snprintf(text, sizeof text, "z%d", i % 3 + 1);
		sim_add_router(&world->s, text);
	}
	controller_bootstrap(world->s.nodes[0].controller, sim_local_clock(&world->s, 0));
	for (int64_t end = world->s.now + 20000;
	     world->s.now < end && sim_leader(&world->s, SHARD_CONTROL) < 0;)
		observe(world);
	assert_true(sim_leader(&world->s, SHARD_CONTROL) >= 0);
	world->s.answer_delay_ms = (int)random_below(world, 3) * 20;
}

static void close_world(struct world *world)
{
	arrfree(world->open);
	arrfree(world->seen);
	arrfree(world->acks);
	arrfree(world->bases);
	sim_close(&world->s);
}

static enum call_kind any_kind(struct world *world)
{
	static const enum call_kind documents[] = { CALL_PUT_DOCUMENT,  CALL_PUT_DOCUMENT,
						    CALL_READ_DOCUMENT, CALL_READ_DOCUMENT,
						    CALL_NAME_WEIGHTS,  CALL_NAME_NOTHING,
						    CALL_READ_TABLE,    CALL_READ_RETENTION };
	static const enum call_kind rows[] = { CALL_CHANGE,      CALL_CHANGE,     CALL_BAD_CHANGE,
					       CALL_NO_CHANGE,   CALL_READ_TABLE, CALL_READ_TABLE,
					       CALL_CLEAR,       CALL_BAD_CLEAR,  CALL_READ_RETENTION,
					       CALL_READ_REPORT, CALL_BOOTSTRAP };

	if (world->documents)
		return documents[random_below(world, sizeof documents / sizeof *documents)];
	return rows[random_below(world, sizeof rows / sizeof *rows)];
}

/* Operators call every controller, the one in fault most of all. */
static void operate(struct world *world, int64_t ms, int fault, int pause_ms)
{
	int64_t next = 0;

	for (int64_t end = world->s.now + ms; world->s.now < end;) {
		if (world->s.now >= next) {
			int node = fault >= 0 && fault < CONTROLLERS && random_below(world, 2)
				       ? fault
				       : (int)random_below(world, CONTROLLERS);

			if (world->s.nodes[node].up)
				send_call(world, any_kind(world), node);
			next = world->s.now + 1 + (int64_t)random_below(world, 2 * (uint64_t)pause_ms);
		}
		observe(world);
	}
}

/* Cuts links between a node and others: to them, from them, or both. */
enum { CUT_TO = 1, CUT_FROM = 2, CUT_BOTH = 3 };

static void cut_links(struct world *world, int node, int from, int to, int ways)
{
	for (int i = from; i < to; i++) {
		if (i == node)
			continue;
		world->s.link_cut[node][i] = (unsigned char)((ways & CUT_TO) != 0);
		world->s.link_cut[i][node] = (unsigned char)((ways & CUT_FROM) != 0);
	}
}

static void heal(struct world *world)
{
	memset(world->s.link_cut, 0, sizeof world->s.link_cut);
	memset(world->isolated_since, 0, sizeof world->isolated_since);
	world->healed_at = world->s.now;
}

/* All is as before: a leader, routers that take requests, and the newest of what was acknowledged is read
 * everywhere. */
static void recovered(struct world *world)
{
	char *complete;
	uint64_t token;

	operate(world, HEALED_MS, -1, 40);
	world->s.answer_delay_ms = 0;
	world->s.loss_per_mille = 0;
	for (int64_t end = world->s.now + OPEN_OUTCOME_MS + 200; world->s.now < end && arrlen(world->open);)
		observe(world);
	assert_true(sim_leader(&world->s, SHARD_CONTROL) >= 0);
	for (int i = SIM_CONTROLLERS; i < SIM_CONTROLLERS + ROUTERS; i++)
		if (!router_ready(world->s.nodes[i].router, sim_local_clock(&world->s, i)))
			fail_msg("seed %llu: router %d does not take requests again",
				 (unsigned long long)world->s.seed, i);
	for (int i = 0; i < CONTROLLERS; i++)
		if (sim_call_and_wait(&world->s, i, "GET", "/v1/table", "", 2000) != 200 ||
		    number_after(sim_answer(&world->s, world->s.token)->body, "{\"edition\":") <
			world->revision_floor)
			fail_msg("seed %llu: controller %d does not read the newest table",
				 (unsigned long long)world->s.seed, i);
	if (!world->document_floor)
		return;
	token = sim_send_document(&world->s, sim_leader(&world->s, SHARD_CONTROL), 0, 0, NULL, NULL);
	sim_run(&world->s, 50, NULL);
	assert_non_null(sim_answer(&world->s, token));
	complete = sim_answer(&world->s, token)->full_body;
	if (number_after(complete, "\"ConfigVersion\":") < world->document_floor)
		fail_msg("seed %llu: version %llu was acknowledged, and is not read",
			 (unsigned long long)world->s.seed, (unsigned long long)world->document_floor);
	intact(world);
}

/* ---- tests -------------------------------------------------------------------------- */

enum fault_kind {
	FAULT_CUT_BOTH,
	FAULT_CUT_SENDING,
	FAULT_CUT_RECEIVING,
	FAULT_CUT_FROM_ROUTERS,
	FAULT_CUT_FROM_CONTROLLERS,
	FAULT_FROZEN,
	FAULT_FROZEN_AND_CUT,
	FAULT_SLOWED,
	FAULT_KINDS
};

static void step_clocks(struct world *world)
{
	for (int i = 0; i < CONTROLLERS; i++)
		if (!random_below(world, 3))
			world->s.nodes[i].wall_clock_offset_ms =
			    (int64_t)random_below(world, 7200000) - 3600000;
}

static void isolate(struct world *world, int node, enum fault_kind fault)
{
	int all = SIM_CONTROLLERS + ROUTERS;

	switch (fault) {
	case FAULT_CUT_BOTH:
		cut_links(world, node, 0, all, CUT_BOTH);
		break;
	case FAULT_CUT_SENDING:
		cut_links(world, node, 0, all, CUT_TO);
		break;
	case FAULT_CUT_RECEIVING:
		cut_links(world, node, 0, all, CUT_FROM);
		break;
	case FAULT_CUT_FROM_ROUTERS:
		cut_links(world, node, SIM_CONTROLLERS, all, CUT_BOTH);
		return;
	case FAULT_CUT_FROM_CONTROLLERS:
		cut_links(world, node, 0, SIM_CONTROLLERS, CUT_BOTH);
		break;
	case FAULT_FROZEN:
		sim_freeze(&world->s, node, 1);
		return;
	case FAULT_FROZEN_AND_CUT:
		sim_freeze(&world->s, node, 1);
		cut_links(world, node, 0, all, CUT_BOTH);
		break;
	default:
		return;
	}
	if (node < CONTROLLERS)
		world->isolated_since[node] = world->s.now;
}

/* It runs for 30 of every 130 ms, which is less than a lease needs, or for most of the time. */
static void slow_down(struct world *world, int node, int64_t ms)
{
	int stands = random_below(world, 2) ? 100 : 400;

	for (int64_t end = world->s.now + ms; world->s.now < end;) {
		sim_freeze(&world->s, node, 1);
		operate(world, stands, node, 40);
		sim_freeze(&world->s, node, 0);
		operate(world, 30, node, 40);
	}
}

static void run_fault(struct world *world, enum fault_kind fault, int node)
{
	step_clocks(world);
	isolate(world, node, fault);
	if (fault == FAULT_SLOWED)
		slow_down(world, node, ISOLATION_MS / 2);
	else
		operate(world, ISOLATION_MS, node, 40);
	step_clocks(world);
	/* thawed before its links are whole again, or at the same time */
	if (world->s.nodes[node].frozen) {
		sim_freeze(&world->s, node, 0);
		if (fault == FAULT_FROZEN_AND_CUT)
			operate(world, (int64_t)random_below(world, 600), node, 10);
	}
	heal(world);
	operate(world, 1500, node, 10);
}

static void controllers_in_trouble(void **state)
{
	uint64_t first, seeds = seeds_of(48, &first), answers = 0, definite = 0, refused = 0,
			router_refused = 0;

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct world world;
		enum fault_kind fault = (enum fault_kind)(seed / 2 % FAULT_KINDS);
		int node;

		open_world(&world, seed);
		operate(&world, 3000, -1, 40);
		node = seed / (2 * FAULT_KINDS) % 3 == 1 ? (int)random_below(&world, CONTROLLERS)
							 : sim_leader(&world.s, SHARD_CONTROL);
		run_fault(&world, fault, node < 0 ? 0 : node);
		recovered(&world);
		answers += world.answers;
		definite += world.definite;
		refused += world.refused_isolated;
		router_refused += world.router_refused;
		close_world(&world);
	}
	print_message("%llu answers, %llu of them definite, %llu refusals of isolated controllers\n",
		      (unsigned long long)answers, (unsigned long long)definite, (unsigned long long)refused);
	if (seeds >= 16)
		assert_true(definite > answers / 4 && refused > answers / 50);
}

/* Half of the core, or each member from each other, so that nobody leads for a while. */
static void core_in_pieces(void **state)
{
	uint64_t first, seeds = seeds_of(12, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct world world;

		open_world(&world, seed);
		operate(&world, 3000, -1, 40);
		for (int i = 0; i < CONTROLLERS; i++) {
			cut_links(&world, i, 0, SIM_CONTROLLERS, CUT_BOTH);
			world.isolated_since[i] = world.s.now;
		}
		operate(&world, ISOLATION_MS, -1, 40);
		heal(&world);
		operate(&world, 1500, -1, 10);
		recovered(&world);
		close_world(&world);
	}
}

/* All machines stop at once, and go on at once: the lease of the leader is over, whatever anybody remembers.
 */
static void all_frozen_and_thawed(void **state)
{
	uint64_t first, seeds = seeds_of(12, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct world world;

		open_world(&world, seed);
		operate(&world, 3000, -1, 20);
		for (int i = 0; i < CONTROLLERS; i++)
			sim_freeze(&world.s, i, 1);
		operate(&world, ISOLATION_MS, -1, 40);
		for (int i = 0; i < CONTROLLERS; i++) {
			sim_freeze(&world.s, i, 0);
			operate(&world, (int64_t)random_below(&world, 200), i, 10);
		}
		recovered(&world);
		close_world(&world);
	}
}

/* A router that hears nothing of the leader refuses past its bound, and takes requests again once it does. */
static void routers_in_trouble(void **state)
{
	uint64_t first, seeds = seeds_of(24, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		struct world world;
		int router = SIM_CONTROLLERS + (int)(seed % ROUTERS), frozen = seed / 3 % 4 == 3;

		open_world(&world, seed);
		operate(&world, 3000, -1, 40);
		if (frozen)
			sim_freeze(&world.s, router, 1);
		else
			cut_links(&world, router, 0, SIM_CONTROLLERS,
				  seed / 3 % 4 + 1 > 3 ? CUT_BOTH : (int)(seed / 3 % 4) + 1);
		operate(&world, ROUTER_BOUND_MS, -1, 40);
		for (int64_t end = world.s.now + ISOLATION_MS - ROUTER_BOUND_MS; world.s.now < end;) {
			operate(&world, 100, -1, 40);
			if (!frozen &&
			    router_ready(world.s.nodes[router].router, sim_local_clock(&world.s, router)))
				fail_msg(
				    "seed %llu: router %d takes requests, and has heard nobody for a while",
				    (unsigned long long)seed, router);
		}
		if (frozen)
			sim_freeze(&world.s, router, 0);
		heal(&world);
		recovered(&world);
		close_world(&world);
	}
}

/* Run until another answer of this kind is on its way to a node. */
static void until_sent(struct sim *sim, int body)
{
	uint64_t before = sim->messages_by_body[body];

	while (sim->messages_by_body[body] == before)
		if (!sim_run(sim, 1, NULL))
			fail_msg("%s", sim->violation);
}

/* The leader's word to one that stood still since: read twenty seconds later, it says nothing definite any
 * more. */
static void an_answer_read_late_is_none(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 48; seed++) {
		struct world world;
		int node, read = seed % 2;
		uint64_t token;

		open_world(&world, seed);
		operate(&world, 3000, -1, 40);
		world.s.answer_delay_ms = 0;
		node = (sim_leader(&world.s, SHARD_CONTROL) + 1) % CONTROLLERS;
		if (read)
			token = sim_call(&world.s, node, "GET", "/v1/retention", "");
		else
			token = sim_call(
			    &world.s, node, "POST", "/v1/change",
			    "{\"set\":[{\"kind\":\"lane\",\"name\":\"bad\",\"service\":\"nowhere\"}]}");
		until_sent(&world.s, read ? NL__MSG__BODY_READ_REPLY : NL__MSG__BODY_PROPOSE_REPLY);
		sim_freeze(&world.s, node, 1); /* with that answer and little else at its door */
		cut_links(&world, node, 0, SIM_CONTROLLERS + ROUTERS, CUT_BOTH);
		sim_run(&world.s, ISOLATION_MS, NULL);
		assert_null(sim_answer(&world.s, token));
		sim_freeze(&world.s, node, 0);
		sim_run(&world.s, 100, NULL);
		assert_non_null(sim_answer(&world.s, token));
		assert_int_equal(sim_answer(&world.s, token)->status, read ? 503 : 504);
		assert_true(sim_answer(&world.s, token)->retry_ms > 0);
		close_world(&world);
	}
}

/* The leader stands still between making an answer and writing it: by then its lease is over. */
static void an_answer_held_back_is_not_written(void **state)
{
	int seen = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 12; seed++) {
		struct world world;
		struct call call = { .kind = seed % 2 ? CALL_READ_DOCUMENT : CALL_NAME_NOTHING };
		int leader;

		open_world(&world, seed);
		world.s.answer_delay_ms = 0;
		operate(&world, 3000, -1, 40);
		world.s.answer_delay_ms = 40;
		leader = sim_leader(&world.s, SHARD_CONTROL);
		assert_true(leader >= 0);
		call.node = leader;
		send_document_call(&world, &call);
		sim_run(&world.s, 1, NULL);
		if (!sim_answer(&world.s, call.token)) {
			seen++;
			sim_freeze(&world.s, leader, 1);
			sim_run(&world.s, ISOLATION_MS, NULL);
			assert_null(sim_answer(&world.s, call.token));
			sim_freeze(&world.s, leader, 0);
			sim_run(&world.s, 100, NULL);
			assert_non_null(sim_answer(&world.s, call.token));
			assert_int_equal(sim_answer(&world.s, call.token)->status, 503);
			assert_true(sim_answer(&world.s, call.token)->retry_ms > 0);
		}
		intact(&world);
		close_world(&world);
	}
	assert_true(seen >= 6);
}

/* The list of servers as it was when the leader asked: after a freeze it is not told to anybody as the list
 * of now. */
static void a_list_read_late_is_none(void **state)
{
	struct instances seen, followed;
	struct Nl__Instance server = NL__INSTANCE__INIT, *list[1] = { &server };
	struct command_list out = { 0 };
	int64_t now = 100000;

	(void)state;
	apr_pool_create(&out.pool, NULL);
	instances_open(&seen);
	instances_open(&followed);
	instances_start_term(&seen, &followed, 1, now);
	server.server = server.service = server.addr = server.zone = server.weights = "x";
	instances_tick(&seen, 0, 10000, 7, now, &out);
	assert_int_equal(arrlen(out.commands), 1);
	instances_on_list(&seen, 7, 1, list, 1, now + ISOLATION_MS);
	assert_null(instances_get(&seen, "x"));
	assert_false(seen.is_publishable);
	now += ISOLATION_MS + INSTANCES_POLL_INTERVAL_MS;
	instances_tick(&seen, 0, 10000, 8, now, &out);
	instances_on_list(&seen, 8, 1, list, 1, now + 100);
	assert_non_null(instances_get(&seen, "x"));
	instances_close(&seen);
	instances_close(&followed);
	arrfree(out.commands);
	apr_pool_destroy(out.pool);
}

/* A read that reaches one that does not lead is answered with who does, never with what it has. */
static void only_the_leader_answers_reads(void **state)
{
	struct world world;
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__Read read = NL__READ__INIT;
	struct sim_event event = { .kind = SIM_MSG };
	uint64_t replies, hints;

	(void)state;
	open_world(&world, 2);
	operate(&world, 3000, -1, 40);
	sim_run(&world.s, 1000, NULL);
	replies = world.s.messages_by_body[NL__MSG__BODY_READ_REPLY];
	hints = world.s.messages_by_body[NL__MSG__BODY_LEADER_HINT];
	read.kind = NL__READ_KIND__READ_RETENTION;
	message.protocol_version = CORE_PROTOCOL_VERSION;
	message.id = 77;
	message.addr = core_parse_addr("127.0.9.9:1");
	message.body_case = NL__MSG__BODY_READ;
	message.read = &read;
	for (int i = 0; i < CONTROLLERS; i++) {
		event.at = world.s.now;
		event.node = i;
		event.data_len = nl__msg__get_packed_size(&message);
		event.data = malloc(event.data_len + 1);
		nl__msg__pack(&message, event.data);
		sim_push(&world.s, event);
	}
	sim_run(&world.s, 1, NULL);
	assert_int_equal(world.s.messages_by_body[NL__MSG__BODY_READ_REPLY], replies + 1);
	assert_true(world.s.messages_by_body[NL__MSG__BODY_LEADER_HINT] >= hints + CONTROLLERS - 1);
	intact(&world);
	close_world(&world);
}

/* A controller takes a change on a leader's last word, hears of another follower that it does not lead, and
 * then nothing: what surely was not logged is refused as soon as that last word is too old. */
static void what_nobody_took_is_refused_soon(void **state)
{
	enum { LAST_UPDATE_MS = CONFIG_WATCH_LEADER_TIMEOUT_MS - 30 };
	int refused = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= 24; seed++) {
		struct world world;
		struct controller *controller;
		int leader, node, follower;
		uint64_t token, answers;
		int64_t sent;

		open_world(&world, seed);
		operate(&world, 3000, -1, 40);
		world.s.answer_delay_ms = 0;
		world.s.loss_per_mille = 0;
		leader = sim_leader(&world.s, SHARD_CONTROL);
		assert_true(leader >= 0);
		node = (leader + 1) % CONTROLLERS;
		follower = (leader + 2) % CONTROLLERS;
		cut_links(&world, node, 0, SIM_CONTROLLERS, CUT_BOTH);
		world.s.link_cut[node][follower] = world.s.link_cut[follower][node] = 0;
		controller = world.s.nodes[node].controller;
		while (config_watch_age_ms(&controller->config_watch, sim_local_clock(&world.s, node)) <
		       LAST_UPDATE_MS)
			sim_run(&world.s, 1, NULL);
		controller->config_watch.leader_addr[SHARD_CONTROL] =
		    world.s.nodes[follower].addr; /* as a hint that came late would have it */
		answers = world.s.messages_by_body[NL__MSG__BODY_PROPOSE_REPLY];
		token = sim_call(&world.s, node, "POST", "/v1/change",
				 "{\"set\":[{\"kind\":\"service\",\"name\":\"sx\",\"weights\":\"w1\"" SPEEDS
				 "}]}");
		sent = world.s.now;
		sim_run(&world.s, 20, NULL);
		if (world.s.messages_by_body[NL__MSG__BODY_PROPOSE_REPLY] > answers &&
		    arrlen(controller->proposals.own_proposals) == 1 &&
		    controller->proposals.own_proposals[0].send_count == 1 &&
		    controller->proposals.own_proposals[0].unlogged_count == 1) {
			while (!sim_answer(&world.s, token) && world.s.now < sent + 2 * OPEN_OUTCOME_MS)
				sim_run(&world.s, POLL_MS, NULL);
			assert_non_null(sim_answer(&world.s, token));
			assert_int_equal(sim_answer(&world.s, token)->status, 503);
			if (world.s.now - sent > ANSWER_MS)
				fail_msg("seed %llu: refused after %lld ms", (unsigned long long)seed,
					 (long long)(world.s.now - sent));
			refused++;
		}
		intact(&world);
		close_world(&world);
	}
	assert_true(refused >= 6);
}

/* The others' disks stand still, though their processes go on: nothing is committed, and whoever waits is
 * told so. */
static void an_open_outcome_is_said_to_be_open(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= 8; seed++) {
		struct world world;
		int leader;
		struct call call = { .kind = CALL_PUT_DOCUMENT };
		int64_t sent;

		open_world(&world, seed);
		operate(&world, 3000, -1, 40);
		world.s.answer_delay_ms = 0;
		leader = sim_leader(&world.s, SHARD_CONTROL);
		assert_true(leader >= 0);
		for (int i = 0; i < CONTROLLERS; i++)
			if (i != leader)
				world.s.nodes[i].disk_stalled_until = world.s.now + 2 * OPEN_OUTCOME_MS;
		call.node = leader;
		send_document_call(&world, &call);
		sent = world.s.now;
		while (!sim_answer(&world.s, call.token) && world.s.now < sent + 2 * OPEN_OUTCOME_MS)
			sim_run(&world.s, POLL_MS, NULL);
		assert_non_null(sim_answer(&world.s, call.token));
		assert_int_equal(sim_answer(&world.s, call.token)->status, 504);
		assert_true(world.s.now - sent <= OPEN_OUTCOME_MS);
		assert_true(sim_answer(&world.s, call.token)->retry_ms > 0);
		intact(&world);
		close_world(&world);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(controllers_in_trouble),
		cmocka_unit_test(core_in_pieces),
		cmocka_unit_test(all_frozen_and_thawed),
		cmocka_unit_test(routers_in_trouble),
		cmocka_unit_test(an_answer_read_late_is_none),
		cmocka_unit_test(an_answer_held_back_is_not_written),
		cmocka_unit_test(a_list_read_late_is_none),
		cmocka_unit_test(an_open_outcome_is_said_to_be_open),
		cmocka_unit_test(only_the_leader_answers_reads),
		cmocka_unit_test(what_nobody_took_is_refused_soon),
	};

	apr_initialize();
	if (getenv("NL_TEST"))
		cmocka_set_test_filter(getenv("NL_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
