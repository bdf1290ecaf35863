#include "stored_world.h"

#include <apr_strings.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "doc.h"
#include "ds.h"
#include "snapshot.h"
#include "state_machine.h"
#include "stored_walk.h"

enum {
	STEP_MS = 50,
	SYNC_LIMIT_MS = 300000,
	CALL_LIMIT_MS = 10000,
	BEGIN_MS = 1000000,
	ADDRESS = 100, /* of member 1, less one */
	ROUTER = 50,   /* who makes claims */
	RANDOM_SEED = 5,
	DAY_MS = 86400000 /* of the wall clock: the first day of 1970 is over */
};

static void must(int holds, const char *what)
{
	if (holds)
		return;
	(void)fprintf(stderr, "stored world: %s\n", what);
	abort();
}

/* ---- steps ---- */

static void wait_for_sync(struct world *w)
{
	struct shell_ev *e = ring_pop(w->ring, SYNC_LIMIT_MS);
	struct controller_ev ev;

	must(e && e->kind == EV_SYNCED, "no sync");
	memset(&ev, 0, sizeof ev);
	ev.kind = CONTROLLER_SYNCED;
	ev.u.synced.part = e->part;
	ev.u.synced.seq = e->seq;
	arrput(w->synced, ev);
	shell_ev_free(e);
}

static void take_answer(struct world *w, const struct cmd *c)
{
	size_t n = c->u.answer.len ? c->u.answer.len : strlen(c->u.answer.body);

	if (c->u.answer.token != w->token)
		return;
	must(!w->answer.status, "two answers");
	w->answer.status = c->u.answer.status;
	w->answer.body = apr_pstrmemdup(w->pool, c->u.answer.body, n);
	w->answer.len = n;
}

/* A claim's answer goes to its router. */
static void take_message(struct world *w, const struct cmd *c)
{
	struct Nl__Msg *m = c->u.send.msg;

	if (c->u.send.addr == w->controller.addr)
		arrput(w->arriving, (struct Nl__Msg *)core_dup(w->pool, &m->base));
	else if (c->u.send.addr == ROUTER && m->body_case == NL__MSG__BODY_ANSWER && m->answer->token == w->token) {
		w->answer.status = 1;
		w->answer.outcome = m->answer->status;
	}
}

static void perform(struct world *w)
{
	if (w->controller.fleet_dirty)
		must(store_identity(w->store, w->controller.id, w->controller.fleet), "no identity written");
	w->controller.fleet_dirty = 0;
	for (ptrdiff_t i = 0; i < arrlen(w->out.v); i++)
		switch (w->out.v[i].kind) {
		case CMD_PERSIST:
			store_write(w->store, w->out.v[i].u.persist);
			wait_for_sync(w);
			break;
		case CMD_SEND: take_message(w, &w->out.v[i]); break;
		case CMD_ANSWER: take_answer(w, &w->out.v[i]); break;
		default: break;
		}
	out_clear(&w->out);
}

static void step_once(struct world *w, const struct controller_ev *ev)
{
	w->controller.wall = DAY_MS + w->now;
	controller_step(&w->controller, ev, w->now, &w->out);
	perform(w);
}

void world_step(struct world *w, const struct controller_ev *ev)
{
	step_once(w, ev);
	while (arrlen(w->synced) || arrlen(w->arriving)) {
		struct controller_ev next;

		memset(&next, 0, sizeof next);
		if (arrlen(w->synced)) {
			next = w->synced[0];
			arrdel(w->synced, 0);
		} else {
			next.kind = CONTROLLER_MSG;
			next.u.msg = w->arriving[0];
			arrdel(w->arriving, 0);
		}
		step_once(w, &next);
	}
}

void world_run(struct world *w, int64_t ms)
{
	for (int64_t end = w->now + ms; w->now < end;) {
		w->now += STEP_MS;
		world_step(w, &(struct controller_ev){ .kind = CONTROLLER_TICK });
	}
}

static void begin_controller(struct world *w)
{
	uint64_t seeds[1] = { ADDRESS + WORLD_SELF };

	controller_open(&w->controller, w->found.id, ADDRESS + WORLD_SELF, "z1", seeds, 1, w->found.fleet, RANDOM_SEED,
			w->found.ptr, w->now);
	w->controller.codec = &platform_tongue;
}

const char *world_open(struct world *w, const char *folder)
{
	const char *why = NULL;

	memset(w, 0, sizeof *w);
	apr_pool_create(&w->pool, NULL);
	apr_pool_create(&w->out.p, NULL);
	w->now = BEGIN_MS;
	ring_open(&w->ring, 64, w->pool);
	w->store = store_open(folder, NULL, w->ring, &w->found, &why, w->pool);
	if (!w->store)
		return why;
	if (!w->found.id) {
		w->found.id = WORLD_SELF;
		must(store_identity(w->store, w->found.id, 0), "no identity written");
	}
	begin_controller(w);
	return NULL;
}

void world_close(struct world *w)
{
	if (w->store) {
		controller_close(&w->controller);
		store_close(w->store);
	}
	arrfree(w->out.v);
	arrfree(w->arriving);
	arrfree(w->synced);
	apr_pool_destroy(w->out.p);
	apr_pool_destroy(w->pool);
}

/* ---- what others say ---- */

void world_hear(struct world *w, uint64_t from, struct Nl__Msg *message)
{
	struct controller_ev ev;

	memset(&ev, 0, sizeof ev);
	message->speak = CORE_SPEAK;
	message->id = from;
	message->addr = from == ROUTER ? ROUTER : ADDRESS + from;
	message->fleet = w->controller.fleet;
	ev.kind = CONTROLLER_MSG;
	ev.u.msg = message;
	world_step(w, &ev);
}

void world_bootstrap(struct world *w, int members)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__Found f = NL__FOUND__INIT;
	struct Nl__Members all = NL__MEMBERS__INIT;
	struct Nl__Member v[WORLD_MEMBERS_MOST], *p[WORLD_MEMBERS_MOST];

	for (int i = 0; i < members; i++) {
		nl__member__init(&v[i]);
		v[i].id = (uint64_t)i + 1;
		v[i].addr = ADDRESS + v[i].id;
		v[i].voter = 1;
		p[i] = &v[i];
	}
	all.n_m = (size_t)members;
	all.m = p;
	f.fleet = WORLD_FLEET;
	f.members = &all;
	m.body_case = NL__MSG__BODY_FOUND;
	m.found = &f;
	world_hear(w, WORLD_SELF, &m);
	must(w->controller.fleet == WORLD_FLEET, "no fleet begun");
}

/* ---- operators and routers ---- */

static int wait_for_answer(struct world *w, const struct controller_ev *ev)
{
	w->answer.status = 0;
	world_step(w, ev);
	for (int64_t end = w->now + CALL_LIMIT_MS; !w->answer.status && w->now < end;)
		world_run(w, STEP_MS);
	return w->answer.status;
}

int world_call(struct world *w, const char *method, const char *path, const char *body, const char *key)
{
	struct controller_ev ev;

	memset(&ev, 0, sizeof ev);
	ev.kind = CONTROLLER_WEB;
	ev.u.web.token = ++w->token;
	ev.u.web.verb = method;
	ev.u.web.path = path;
	ev.u.web.body = body;
	ev.u.web.key = key;
	return wait_for_answer(w, &ev);
}

int world_document(struct world *w, const char *body, int patch, uint64_t base)
{
	struct controller_ev ev;

	memset(&ev, 0, sizeof ev);
	ev.kind = CONTROLLER_DOC;
	ev.u.doc.token = ++w->token;
	ev.u.doc.base = base;
	ev.u.doc.patch = patch;
	ev.u.doc.body = body;
	ev.u.doc.len = strlen(body);
	return wait_for_answer(w, &ev);
}

int world_read_document(struct world *w)
{
	struct controller_ev ev;

	memset(&ev, 0, sizeof ev);
	ev.kind = CONTROLLER_READ;
	ev.u.read.token = ++w->token;
	return wait_for_answer(w, &ev);
}

int world_name_weights(struct world *w, const char *model, const char *weights)
{
	struct controller_ev ev;

	memset(&ev, 0, sizeof ev);
	ev.kind = CONTROLLER_NAME;
	ev.u.name.token = ++w->token;
	ev.u.name.model = model;
	ev.u.name.weights = weights;
	return wait_for_answer(w, &ev);
}

void world_log(struct world *w, uint32_t part, const struct Nl__Op *op)
{
	struct raft *raft = &w->controller.part[part];
	size_t n;
	const uint8_t *d = core_pack(w->pool, &op->base, &n);
	uint64_t index = raft_propose(raft, d, n, w->now);

	must(index != 0, "it does not lead");
	for (int i = 0; raft->applied < index; i++) {
		world_run(w, STEP_MS);
		must(i < CALL_LIMIT_MS / STEP_MS, "nothing is applied");
	}
}

uint32_t world_claim(struct world *w, const char *service, const struct Nl__Claim *claim)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__Propose q = NL__PROPOSE__INIT;
	struct Nl__Op op = NL__OP__INIT;

	op.op_case = NL__OP__OP_CLAIM;
	op.claim = (struct Nl__Claim *)(uintptr_t)claim;
	q.token = op.token = ++w->token;
	op.from = ROUTER;
	q.op = &op;
	m.body_case = NL__MSG__BODY_PROPOSE;
	m.propose = &q;
	m.part = core_part_of(service, SHARD_SERVICES);
	w->answer.status = 0;
	world_hear(w, ROUTER, &m);
	for (int64_t end = w->now + CALL_LIMIT_MS; !w->answer.status && w->now < end;)
		world_run(w, STEP_MS);
	must(w->answer.status == 1, "a claim is not answered");
	return w->answer.outcome;
}

/* ---- what a folder holds ---- */

static const char *unpacked(enum walk_root root, const uint8_t *d, size_t n, const char *place, apr_pool_t *pool)
{
	ProtobufCMessage *m = core_unpack(pool, walk_roots[root], n, d);

	return m ? walk_dump(m, place, pool) : apr_psprintf(pool, "%s: unreadable\n", place);
}

static enum walk_root state_root(uint32_t part)
{
	return part == SHARD_CONTROL ? WALK_CONTROL_STATE : part == SHARD_PURGE ? WALK_PURGE_STATE : WALK_SERVICE_STATE;
}

static const char *entry_text(const struct raft_entry *e, uint64_t index, uint32_t part, apr_pool_t *pool)
{
	const char *place = apr_psprintf(pool, "shard %u entry %" PRIu64, part, index);
	const char *head = apr_psprintf(pool, "%s: term %" PRIu64 " kind %u\n", place, e->term, e->kind), *data = "";

	if (e->kind == RAFT_ENTRY_OPERATION)
		data = unpacked(WALK_OPERATION, e->data, e->len, place, pool);
	else if (e->kind == RAFT_ENTRY_MEMBERS)
		data = unpacked(WALK_MEMBERS, e->data, e->len, place, pool);
	else if (e->len)
		data = apr_psprintf(pool, "%s: %u bytes\n", place, (unsigned)e->len);
	return apr_pstrcat(pool, head, data, NULL);
}

const char *world_records(const struct store_found *found, apr_pool_t *pool)
{
	const char *text = apr_psprintf(pool, "identity %" PRIu64 " fleet %" PRIu64 "\n", found->id, found->fleet);

	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		const struct raft_saved *s = &found->part[i];
		const char *place = apr_psprintf(pool, "shard %u snapshot", i);

		text = apr_psprintf(pool, "%sshard %u: term %" PRIu64 " vote %" PRIu64 "\n", text, i, s->term, s->vote);
		if (s->base)
			text = apr_psprintf(
			    pool, "%s%s: up to %" PRIu64 " of term %" PRIu64 "\n%s%s", text, place, s->base, s->base_term,
			    unpacked(WALK_MEMBERS, s->members, s->members_len, apr_pstrcat(pool, place, " members", NULL), pool),
			    unpacked(state_root(i), s->data, s->data_len, apr_pstrcat(pool, place, " state", NULL), pool));
		for (size_t k = 0; k < s->n; k++)
			text = apr_pstrcat(pool, text, entry_text(&s->e[k], s->log_from + k, i, pool), NULL);
	}
	return text;
}

const char *world_state(struct world *w, apr_pool_t *pool)
{
	const char *text = "";

	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		const struct raft_saved *s = &w->found.part[i];
		const uint8_t *d;
		size_t n;

		if (s->base)
			snapshot_load(&w->controller, i, pool);
		for (size_t k = 0; k < s->n; k++)
			if (s->e[k].kind == RAFT_ENTRY_OPERATION && s->log_from + k > s->base)
				(void)state_machine_apply(&w->controller, i, s->log_from + k, &s->e[k], w->now, &w->out);
		d = controller_state(&w->controller, i, pool, &n);
		text = apr_pstrcat(pool, text, unpacked(state_root(i), d, n, apr_psprintf(pool, "shard %u", i), pool), NULL);
	}
	out_clear(&w->out);
	return text;
}

static void copy_shard(struct store *store, uint32_t part, const struct raft_saved *s, apr_pool_t *pool)
{
	struct persist w;

	memset(&w, 0, sizeof w);
	w.part = part;
	w.seq = 1;
	w.term = s->term;
	w.vote = s->vote;
	w.n = s->n;
	w.e = apr_pcalloc(pool, (s->n + 1) * sizeof *w.e);
	for (size_t k = 0; k < s->n; k++)
		w.e[k] = (struct persist_entry){ s->log_from + k, s->e[k].term, s->e[k].kind, s->e[k].len, s->e[k].data };
	if (s->base) {
		w.snap = 1;
		w.base = s->base;
		w.base_term = s->base_term;
		w.members = s->members;
		w.members_len = s->members_len;
		w.data = s->data;
		w.data_len = s->data_len;
	}
	store_write(store, &w);
}

void world_copy(const struct store_found *found, const char *folder)
{
	struct store_found none;
	const char *why = NULL;
	struct store *store;
	struct ring *ring;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	store = store_open(folder, NULL, ring, &none, &why, pool);
	must(store && !none.id, "the new folder is none");
	must(store_identity(store, found->id, found->fleet), "no identity written");
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		struct shell_ev *e;

		if (!found->part[i].term)
			continue;
		copy_shard(store, i, &found->part[i], pool);
		e = ring_pop(ring, SYNC_LIMIT_MS);
		must(e && e->kind == EV_SYNCED, "no sync");
		shell_ev_free(e);
	}
	store_close(store);
	apr_pool_destroy(pool);
}
