/* engine_sim: see engine_sim.h. Time goes in steps of a ms; what is under way waits in one list, soonest first. */
#include "engine_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "ds.h"

enum {
	TICK_MS = 25,
	WAY_MS = 1,      /* between processes */
	WATCH_MS = 200,  /* for which a server holds a watch */
	STEP_MS = 10,    /* between two tokens of an answer */
	CHUNK = 2048,    /* tokens that a server reads of one prompt before it looks at the next */
	MOVE_TIMES = 60, /* a move is so many times as quick as reading */
	MOVE_MS = 4,
	AGAIN_MS = 10000, /* a part that was used so long ago is not read again, but anew */
	LOSS_SCALE = 1000,
	NOTICE_MS = 300, /* before a load, in which routers send the server nothing more */
	MAX_WAITING = 400,
	ROUTER_ADDR = 1001
};

/* A prompt part at a server, under the name that it was filed by. */
struct part {
	uint64_t key, id;
	char name[64];
	uint32_t tokens;
	int64_t used;
};

struct event {
	uint64_t no, id;
	int gone;
	char name[64];
	int64_t at;
};

struct run {
	int router, kind;
	uint64_t call;
	uint64_t id[ENGINE_CHAIN];
	uint32_t tokens[ENGINE_CHAIN];
	int parts;
	char name[64];
	uint64_t from;
	uint32_t left, out; /* tokens to be read, pieces to be said */
	int prio, begun, planned;
	int64_t at, next_at;
};

enum load_stage { LOAD_NONE, LOAD_NOTICE, LOAD_WAITS, LOAD_LOADS };

struct engine {
	int weights;
	enum load_stage stage;
	int64_t stage_at;
	struct part *part;   /* stb_ds */
	struct event *event; /* stb_ds */
	uint64_t last_event;
	struct run *run; /* stb_ds: those that wait, are read and say pieces */
	int64_t busy_until;
	int reading; /* place in run; -1: none */
};

enum happening_kind { HAPPENS_MESSAGE, HAPPENS_ARRIVES, HAPPENS_BEGAN, HAPPENS_ENDED };
struct happening {
	int64_t at;
	enum happening_kind kind;
	int router, server, status;
	enum router_end how;
	uint64_t call;
	struct Nl__Msg *message;
	struct run run;
};

struct watch {
	int router, server;
	uint64_t token, since;
	int64_t until;
};

/* Who has read a prefix under a name, and when it was last used anywhere. */
struct seen {
	uint64_t key;
	int64_t value;
};

struct node {
	struct router router;
	struct out out;
	int silent;
};

struct asked {
	uint64_t key; /* router << 48 | token of the caller */
	struct {
		int kind;
		int64_t at;
		uint64_t id[ENGINE_CHAIN];
		uint32_t tokens[ENGINE_CHAIN];
		int parts;
		uint32_t out;
	} value;
};

struct engine_sim {
	struct engine_settings set;
	apr_pool_t *pool;
	int64_t now;
	uint64_t dice, edition, token, own_id;
	int named;
	struct node node[ENGINE_ROUTERS];
	struct engine engine[ENGINE_SERVERS];
	struct happening *happening; /* stb_ds */
	struct watch *watch;         /* stb_ds */
	struct asked *asked;         /* stb_ds */
	struct asked *by_call;       /* stb_ds: router << 48 | call: of what is under way */
	struct seen *seen;           /* stb_ds */
	struct engine_counts counts[ENGINE_KINDS];
	double due[ENGINE_KINDS];
	uint64_t read, again;
	int table_changed;
};

static uint64_t dice(struct engine_sim *w, uint64_t n) { return core_rand(&w->dice) % n; }

static int zone_of(int i) { return i % ENGINE_ZONES; }

/* The first router of each zone is its head, the second its successor. */
static int head_of(int zone) { return zone; }

static const char *zone_name(int zone) { return zone ? "z2" : "z1"; }

/* ---- servers: what they keep ---------------------------------------------------------------------- */

static uint64_t part_key(const char *name, uint64_t id) { return core_rdv(core_hashs(0, name), id); }

static struct part *part_find(struct engine *e, uint64_t key)
{
	for (ptrdiff_t i = 0; i < arrlen(e->part); i++)
		if (e->part[i].key == key)
			return &e->part[i];
	return NULL;
}

static void say_event(struct engine_sim *w, struct engine *e, const struct part *p, int gone)
{
	struct event event = { ++e->last_event, p->id, gone, "", w->now + w->set.event_lag_ms };

	apr_cpystrn(event.name, p->name, sizeof event.name);
	if (dice(w, LOSS_SCALE) >= (uint64_t)w->set.event_loss)
		arrput(e->event, event);
}

static uint32_t kept_tokens(const struct engine *e)
{
	uint32_t n = 0;

	for (ptrdiff_t i = 0; i < arrlen(e->part); i++)
		n += e->part[i].tokens;
	return n;
}

static void forget(struct engine_sim *w, struct engine *e, ptrdiff_t i)
{
	say_event(w, e, &e->part[i], 1);
	arrdelswap(e->part, i);
}

static void keep_part(struct engine_sim *w, struct engine *e, const char *name, uint64_t id, uint32_t tokens)
{
	uint64_t key = part_key(name, id);
	struct part *p = part_find(e, key), new_part = { key, id, "", tokens, w->now };

	if (p) {
		p->used = w->now;
		return;
	}
	apr_cpystrn(new_part.name, name, sizeof new_part.name);
	arrput(e->part, new_part);
	say_event(w, e, &new_part, 0);
	while (kept_tokens(e) > w->set.room) {
		ptrdiff_t oldest = 0;

		for (ptrdiff_t i = 1; i < arrlen(e->part); i++)
			if (e->part[i].used < e->part[oldest].used)
				oldest = i;
		forget(w, e, oldest);
	}
}

/* Leading parts of a run that a server keeps. */
static int kept_parts(struct engine *e, const struct run *r)
{
	int n = 0;

	while (n < r->parts && part_find(e, part_key(r->name, r->id[n])))
		n++;
	return n;
}

/* ---- servers: reading ----------------------------------------------------------------------------- */

static void later(struct engine_sim *w, struct happening h, int64_t ms)
{
	h.at = w->now + ms;
	arrput(w->happening, h);
}

/* A shared part that is read: again, if it was in use under this name a short while ago. */
static void count_read(struct engine_sim *w, const struct run *r, int part)
{
	uint64_t key = part_key(r->name, r->id[part]);
	ptrdiff_t i = hmgeti(w->seen, key);

	w->read += r->tokens[part];
	if (part + 1 == r->parts)
		return;
	if (i >= 0 && w->now - w->seen[i].value < AGAIN_MS)
		w->again += r->tokens[part];
}

static void use_parts(struct engine_sim *w, const struct run *r)
{
	for (int i = 0; i + 1 < r->parts; i++)
		hmput(w->seen, part_key(r->name, r->id[i]), w->now);
}

/* What is to be read of a run's prompt, once what a source keeps has been moved; returns the ms that the move takes. */
static int64_t plan_reading(struct engine_sim *w, struct engine *e, struct run *r)
{
	int have = kept_parts(e, r), from = have;
	int64_t move = 0;

	for (int s = 0; r->from && s < ENGINE_SERVERS; s++)
		if (core_addr(apr_psprintf(w->pool, "127.1.0.%d:80", s + 1)) == r->from) {
			int there = kept_parts(&w->engine[s], r);

			from = there > have && &w->engine[s] != e ? there : have;
		}
	for (int i = have; i < from; i++) {
		move += r->tokens[i] / (uint32_t)(w->set.read_per_ms * MOVE_TIMES);
		keep_part(w, e, r->name, r->id[i], r->tokens[i]);
	}
	r->left = 0;
	for (int i = from; i < r->parts; i++) {
		r->left += r->tokens[i];
		count_read(w, r, i);
	}
	use_parts(w, r);
	r->planned = 1;
	return from > have ? move + MOVE_MS : 0;
}

/* The next run to be read: the more urgent first, then who came first. */
static int next_to_read(const struct engine *e)
{
	int best = -1;

	for (int i = 0; i < arrlen(e->run); i++)
		if (!e->run[i].begun && (best < 0 || e->run[i].prio < e->run[best].prio ||
					 (e->run[i].prio == e->run[best].prio && e->run[i].at < e->run[best].at)))
			best = i;
	return best;
}

static void say_ended(struct engine_sim *w, const struct run *r, enum router_end how, int status)
{
	later(w, (struct happening){ .kind = HAPPENS_ENDED, .router = r->router, .call = r->call, .how = how, .status = status },
	      WAY_MS);
}

static void chunk_is_read(struct engine_sim *w, struct engine *e)
{
	struct run *r = &e->run[e->reading];

	e->reading = -1;
	if (r->left > CHUNK) {
		r->left -= CHUNK;
		return;
	}
	r->left = 0;
	r->begun = 1;
	r->next_at = w->now + (int64_t)r->out * STEP_MS;
	for (int i = 0; i < r->parts; i++)
		keep_part(w, e, r->name, r->id[i], r->tokens[i]);
	later(w, (struct happening){ .kind = HAPPENS_BEGAN, .router = r->router, .call = r->call }, WAY_MS);
}

static void read_next(struct engine_sim *w, struct engine *e)
{
	int i = next_to_read(e);
	int64_t move = 0;
	uint32_t n;

	if (i < 0)
		return;
	if (!e->run[i].planned)
		move = plan_reading(w, e, &e->run[i]);
	n = e->run[i].left < CHUNK ? e->run[i].left : CHUNK;
	e->reading = i;
	e->busy_until = w->now + move + 1 + n / (uint32_t)w->set.read_per_ms;
}

static void runs_end(struct engine_sim *w, struct engine *e)
{
	for (int i = (int)arrlen(e->run) - 1; i >= 0; i--) {
		if (!e->run[i].begun || e->run[i].next_at > w->now)
			continue;
		say_ended(w, &e->run[i], ROUTER_WHOLE, 200);
		if (e->reading > i)
			e->reading--;
		arrdel(e->run, i);
	}
}

/* ---- servers: loading ----------------------------------------------------------------------------- */

/* What has not begun is given back. */
static void give_back(struct engine_sim *w, struct engine *e)
{
	for (int i = (int)arrlen(e->run) - 1; i >= 0; i--) {
		if (e->run[i].begun)
			continue;
		say_ended(w, &e->run[i], ROUTER_NEVER, 503);
		arrdel(e->run, i);
	}
	e->reading = -1;
}

static void stage(struct engine_sim *w, struct engine *e, enum load_stage s)
{
	e->stage = s;
	e->stage_at = w->now;
	w->table_changed = 1;
}

static void load_goes_on(struct engine_sim *w, struct engine *e)
{
	if (e->stage == LOAD_NOTICE && w->now - e->stage_at >= NOTICE_MS) {
		give_back(w, e);
		stage(w, e, w->set.retain ? LOAD_LOADS : LOAD_WAITS);
	}
	if (e->stage == LOAD_WAITS && !arrlen(e->run))
		stage(w, e, LOAD_LOADS);
	if (e->stage == LOAD_LOADS && w->now - e->stage_at >= w->set.load_ms) {
		while (arrlen(e->part))
			forget(w, e, 0);
		e->weights = w->named;
		stage(w, e, LOAD_NONE);
	}
}

static void roll_out(struct engine_sim *w)
{
	int loading = 0;

	for (int s = 0; s < ENGINE_SERVERS; s++)
		loading += w->engine[s].stage != LOAD_NONE;
	for (int s = 0; s < ENGINE_SERVERS && loading < w->set.at_once; s++) {
		if (w->engine[s].stage != LOAD_NONE || w->engine[s].weights == w->named)
			continue;
		stage(w, &w->engine[s], LOAD_NOTICE);
		loading++;
	}
}

int engine_rolled(const struct engine_sim *w)
{
	for (int s = 0; s < ENGINE_SERVERS; s++)
		if (w->engine[s].weights != w->named)
			return 0;
	return 1;
}

static void engine_goes_on(struct engine_sim *w, struct engine *e)
{
	runs_end(w, e);
	if (e->stage != LOAD_NONE)
		load_goes_on(w, e);
	if (e->stage == LOAD_LOADS)
		return;
	if (e->reading >= 0 && w->now >= e->busy_until)
		chunk_is_read(w, e);
	if (e->reading < 0)
		read_next(w, e);
}

/* ---- routers ---------------------------------------------------------------------------------------- */

static void perform(struct engine_sim *w, int i);

static void node_step(struct engine_sim *w, int i, const struct router_ev *ev)
{
	router_step(&w->node[i].router, ev, w->now, &w->node[i].out);
	perform(w, i);
}

static struct Nl__Instance *instance_of(struct engine_sim *w, int s, apr_pool_t *p)
{
	struct Nl__Instance *x = apr_palloc(p, sizeof *x);
	const struct engine *e = &w->engine[s];

	nl__instance__init(x);
	x->server = apr_psprintf(p, "i-%d", s);
	x->service = "pool";
	x->addr = apr_psprintf(p, "127.1.0.%d:80", s + 1);
	x->zone = (char *)(uintptr_t)zone_name(zone_of(s));
	x->slots = 100;
	x->weights = apr_psprintf(p, "%d", e->weights);
	x->loading = e->stage != LOAD_NONE;
	x->stamp = w->edition;
	return x;
}

/* The table and the list, as the configuration's leader says them. */
static void node_table(struct engine_sim *w, int i)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__ConfigSyncReply r = NL__CONFIG_SYNC_REPLY__INIT;
	struct Nl__Row service = NL__ROW__INIT, lane[ENGINE_KINDS], *rows[1 + ENGINE_KINDS] = { &service };
	struct Nl__Instance *instances[ENGINE_SERVERS];
	struct router_ev ev = { .kind = ROUTER_MSG };
	apr_pool_t *p;

	apr_pool_create(&p, w->pool);
	for (int s = 0; s < ENGINE_SERVERS; s++)
		instances[s] = instance_of(w, s, p);
	service.kind = NL__KIND__SERVICE;
	service.name = "pool";
	service.weights = apr_psprintf(p, "%d", w->named);
	service.prefill = (uint32_t)w->set.read_per_ms;
	service.kv_bytes = 1;
	service.link = (uint32_t)(w->set.read_per_ms * MOVE_TIMES);
	service.room = w->set.room;
	for (int k = 0; k < ENGINE_KINDS; k++) {
		nl__row__init(&lane[k]);
		lane[k].kind = NL__KIND__LANE;
		lane[k].name = apr_psprintf(p, "lane%d", k);
		lane[k].service = "pool";
		lane[k].host = "h";
		lane[k].path = apr_psprintf(p, "/%d/", k);
		lane[k].limit = MAX_WAITING;
		lane[k].repeatable = 1;
		lane[k].attempts = 3;
		lane[k].aim = (uint32_t)w->set.kind[k].aim_ms;
		rows[1 + k] = &lane[k];
	}
	config_watch_ask(&w->node[i].router.f, 0, w->now, &w->node[i].out);
	out_clear(&w->node[i].out);
	r.token = w->node[i].router.f.token;
	r.has_lease = r.whole = r.instances_whole = 1;
	r.fleet = 7;
	r.edition = r.instances = w->edition;
	r.set = rows;
	r.n_set = 1 + ENGINE_KINDS;
	r.instance = instances;
	r.n_instance = ENGINE_SERVERS;
	r.counters = 64; /* words between routers are as rare as in a large fleet */
	r.clock = (uint64_t)w->now;
	r.clock_term = 1;
	m.body_case = NL__MSG__BODY_FOLLOW_REPLY;
	m.speak = CORE_SPEAK;
	m.follow_reply = &r;
	m.addr = m.id = 1;
	ev.u.msg = &m;
	node_step(w, i, &ev);
	apr_pool_destroy(p);
}

/* Who is whose upstream, and that purges and the configuration are known. */
static void node_in_touch(struct engine_sim *w, int i)
{
	struct router *c = &w->node[i].router;
	int zone = zone_of(i);

	c->f.fresh = w->now;
	c->relay.fresh = 1;
	c->relay.known_at = w->now;
	c->f.nup = i != head_of(zone);
	c->f.up[0] = (uint64_t)head_of(zone) + ROUTER_ADDR;
	c->f.nhead = i == head_of(zone);
	c->f.head[0] = (uint64_t)head_of(!zone) + ROUTER_ADDR;
	if (i != head_of(zone))
		return;
	for (ptrdiff_t k = 0; k < arrlen(c->relay.down); k++)
		c->relay.down[k].heard = w->now;
	for (int j = zone + ENGINE_ZONES; j < ENGINE_ROUTERS && arrlen(c->relay.down) < ENGINE_ROUTERS / ENGINE_ZONES - 1;
	     j += ENGINE_ZONES) {
		struct relay_down down = {
			.id = (uint64_t)j + 1, .addr = (uint64_t)j + ROUTER_ADDR, .heard = w->now, .briefed = 1
		};

		arrput(c->relay.down, down);
	}
}

static uint64_t at_router(int router, uint64_t token) { return core_rdv((uint64_t)router + 1, token); }

/* ---- requests ------------------------------------------------------------------------------------- */

static void ask(struct engine_sim *w, int kind)
{
	const struct engine_kind *k = &w->set.kind[kind];
	int router = (int)dice(w, ENGINE_ROUTERS), prefix = 0;
	struct router_asking a = { .token = ++w->token, .limit_ms = 20000, .tokens_out = k->out };
	struct router_ev ev = { .kind = ROUTER_ASKED };
	typeof(w->asked->value) asked = { .kind = kind, .at = w->now, .out = k->out };

	if (k->prefixes && dice(w, 100) >= (uint64_t)k->hot_percent)
		prefix = (int)dice(w, (uint64_t)k->prefixes);
	if (k->prefixes)
		a.part[a.nparts++] = (struct router_part){ (uint64_t)kind << 32 | (uint64_t)(prefix + 1), k->shared };
	a.part[a.nparts++] = (struct router_part){ UINT64_C(1) << 40 | ++w->own_id, k->own };
	for (int i = 0; i < a.nparts; i++) {
		asked.id[i] = a.part[i].id;
		asked.tokens[i] = a.part[i].tokens;
		a.tokens_in += a.part[i].tokens;
	}
	asked.parts = a.nparts;
	a.host = "h";
	a.path = apr_psprintf(w->pool, "/%d/", kind);
	a.id = apr_psprintf(w->pool, "r%llu", (unsigned long long)a.token);
	ev.u.ask = &a;
	hmput(w->asked, at_router(router, a.token), asked);
	w->counts[kind].asked++;
	node_step(w, router, &ev);
}

static void ask_due(struct engine_sim *w)
{
	for (int k = 0; k < ENGINE_KINDS; k++) {
		if (!w->set.kind[k].every_ms)
			continue;
		while (w->due[k] <= (double)w->now) {
			w->due[k] += w->set.kind[k].every_ms * (0.5 + (double)dice(w, 1000) / 1000);
			ask(w, k);
		}
	}
}

/* ---- what routers do ------------------------------------------------------------------------------ */

static void forwarded(struct engine_sim *w, int i, const struct forward *f)
{
	ptrdiff_t at = hmgeti(w->asked, at_router(i, f->caller));
	struct happening h = { .kind = HAPPENS_ARRIVES, .router = i, .server = atoi(f->server + 2), .call = f->call };
	typeof(w->asked->value) *a = at < 0 ? NULL : &w->asked[at].value;

	if (!a)
		return;
	h.run = (struct run){
		.router = i, .kind = a->kind, .call = f->call, .parts = a->parts, .from = f->from, .out = a->out, .prio = f->prio
	};
	memcpy(h.run.id, a->id, sizeof h.run.id);
	memcpy(h.run.tokens, a->tokens, sizeof h.run.tokens);
	apr_cpystrn(h.run.name, f->cache_namespace ? f->cache_namespace : "", sizeof h.run.name);
	h.status = atoi(f->weights);
	hmput(w->by_call, at_router(i, f->call), *a);
	later(w, h, WAY_MS);
}

/* A message is packed and unpacked, as between processes. */
static void message(struct engine_sim *w, int i, const struct cmd *k)
{
	int64_t to = (int64_t)k->u.send.addr - ROUTER_ADDR;
	size_t n;
	uint8_t *d;

	if (to < 0 || to >= ENGINE_ROUTERS || w->node[i].silent || w->node[to].silent)
		return;
	n = nl__msg__get_packed_size(k->u.send.msg);
	d = malloc(n + 1);
	if (!d)
		abort();
	nl__msg__pack(k->u.send.msg, d);
	later(w, (struct happening){ .kind = HAPPENS_MESSAGE, .router = (int)to, .message = nl__msg__unpack(NULL, n, d) }, WAY_MS);
	free(d);
}

static void perform(struct engine_sim *w, int i)
{
	struct out *o = &w->node[i].out;

	for (ptrdiff_t n = 0; n < arrlen(o->v); n++) {
		const struct cmd *k = &o->v[n];

		switch (k->kind) {
		case CMD_SEND: message(w, i, k); break;
		case CMD_FORWARD: forwarded(w, i, k->u.forward); break;
		case CMD_WATCH:
			arrput(w->watch, ((struct watch){ i, atoi(k->u.watch.server + 2), k->u.watch.token, k->u.watch.since,
							  w->now + WATCH_MS }));
			break;
		case CMD_ANSWER: {
			ptrdiff_t at = hmgeti(w->asked, at_router(i, k->u.answer.token));

			if (at >= 0)
				w->counts[w->asked[at].value.kind].refused++;
			break;
		}
		default: break;
		}
	}
	out_clear(o);
}

static int event_is_due(const struct engine_sim *w, const struct engine *e, uint64_t since)
{
	for (ptrdiff_t i = arrlen(e->event) - 1; i >= 0; i--)
		if (e->event[i].no > since && e->event[i].at <= w->now)
			return 1;
	return 0;
}

static void answer_watch(struct engine_sim *w, const struct watch *watch)
{
	struct engine *e = &w->engine[watch->server];
	struct Nl__Kept kept = NL__KEPT__INIT;
	struct router_ev ev = { .kind = ROUTER_WATCHED };
	apr_pool_t *p;

	apr_pool_create(&p, w->pool);
	kept.server = apr_psprintf(p, "i-%d", watch->server);
	kept.epoch = 1;
	kept.next = watch->since;
	kept.e = apr_palloc(p, ((size_t)arrlen(e->event) + 1) * sizeof *kept.e);
	for (ptrdiff_t i = 0; i < arrlen(e->event); i++) {
		struct Nl__KeptEvent *x;

		if (e->event[i].no <= watch->since || e->event[i].at > w->now)
			continue;
		x = apr_palloc(p, sizeof *x);
		nl__kept_event__init(x);
		x->cache_namespace = apr_pstrdup(p, e->event[i].name);
		x->id = e->event[i].id;
		x->gone = e->event[i].gone;
		x->tokens = 1;
		kept.e[kept.n_e++] = x;
		kept.next = e->event[i].no;
	}
	ev.u.kept.token = watch->token;
	ev.u.kept.k = &kept;
	ev.u.kept.status = 200;
	if (!w->node[watch->router].silent)
		node_step(w, watch->router, &ev);
	apr_pool_destroy(p);
}

static void watches_go_on(struct engine_sim *w)
{
	for (ptrdiff_t i = arrlen(w->watch) - 1; i >= 0; i--) {
		struct watch watch = w->watch[i];

		if (w->now < watch.until && !event_is_due(w, &w->engine[watch.server], watch.since))
			continue;
		arrdelswap(w->watch, i);
		answer_watch(w, &watch);
	}
}

/* ---- time ------------------------------------------------------------------------------------------- */

static void arrives(struct engine_sim *w, const struct happening *h)
{
	struct engine *e = &w->engine[h->server];
	struct run r = h->run;

	r.at = w->now;
	if (e->stage == LOAD_LOADS || e->stage == LOAD_WAITS)
		say_ended(w, &r, ROUTER_NEVER, 503);
	else if (e->weights != h->status)
		say_ended(w, &r, ROUTER_NEVER, 421);
	else
		arrput(e->run, r);
}

static void began(struct engine_sim *w, const struct happening *h)
{
	ptrdiff_t at = hmgeti(w->by_call, at_router(h->router, h->call));
	struct router_ev ev = { .kind = ROUTER_BEGAN };
	struct engine_counts *n;
	int ms;

	if (at >= 0) {
		n = &w->counts[w->by_call[at].value.kind];
		ms = (int)(w->now - w->by_call[at].value.at);
		n->begun++;
		n->in_aim += ms <= w->set.kind[w->by_call[at].value.kind].aim_ms;
		n->first_ms += ms;
		arrput(n->first, ms);
	}
	ev.u.began.token = h->call;
	node_step(w, h->router, &ev);
}

static void ended(struct engine_sim *w, const struct happening *h)
{
	struct router_ended e = { .token = h->call,
				  .how = h->how,
				  .status = h->status,
				  .began = h->how == ROUTER_WHOLE,
				  .wrong_life = h->status == 421 };
	struct router_ev ev = { .kind = ROUTER_ENDED };
	ptrdiff_t at = hmgeti(w->by_call, at_router(h->router, h->call));

	if (at >= 0 && h->how == ROUTER_WHOLE)
		w->counts[w->by_call[at].value.kind].ended++;
	(void)hmdel(w->by_call, at_router(h->router, h->call));
	ev.u.ended = &e;
	node_step(w, h->router, &ev);
}

static void happens(struct engine_sim *w, struct happening *h)
{
	struct router_ev ev = { .kind = ROUTER_MSG };

	switch (h->kind) {
	case HAPPENS_ARRIVES: arrives(w, h); break;
	case HAPPENS_BEGAN: began(w, h); break;
	case HAPPENS_ENDED: ended(w, h); break;
	case HAPPENS_MESSAGE:
		ev.u.msg = h->message;
		node_step(w, h->router, &ev);
		nl__msg__free_unpacked(h->message, NULL);
		break;
	}
}

/* All that is due now, in the order in which it was said. */
static void happenings_go_on(struct engine_sim *w)
{
	for (ptrdiff_t i = 0; i < arrlen(w->happening);) {
		struct happening h = w->happening[i];

		if (h.at > w->now) {
			i++;
			continue;
		}
		arrdel(w->happening, i);
		happens(w, &h);
	}
}

void engine_run(struct engine_sim *w, int64_t ms)
{
	for (int64_t end = w->now + ms; w->now < end; w->now++) {
		if (w->table_changed) {
			w->table_changed = 0;
			w->edition++;
			for (int i = 0; i < ENGINE_ROUTERS; i++)
				node_table(w, i);
		}
		happenings_go_on(w);
		for (int s = 0; s < ENGINE_SERVERS; s++)
			engine_goes_on(w, &w->engine[s]);
		watches_go_on(w);
		ask_due(w);
		if (w->named > 1)
			roll_out(w);
		for (int i = 0; i < ENGINE_ROUTERS; i++) {
			node_in_touch(w, i);
			if ((w->now + i) % TICK_MS == 0)
				node_step(w, i, &(struct router_ev){ .kind = ROUTER_TICK });
		}
	}
}

struct engine_sim *engine_open(const struct engine_settings *settings)
{
	struct engine_sim *w = calloc(1, sizeof *w);
	uint64_t controller = 1;

	if (!w)
		abort();
	apr_pool_create(&w->pool, NULL);
	w->set = *settings;
	w->dice = settings->seed;
	w->now = 1000000;
	w->named = 1;
	w->table_changed = 1;
	for (int k = 0; k < ENGINE_KINDS; k++)
		w->due[k] = (double)w->now + 500;
	for (int s = 0; s < ENGINE_SERVERS; s++) {
		w->engine[s].weights = 1;
		w->engine[s].reading = -1;
	}
	for (int i = 0; i < ENGINE_ROUTERS; i++) {
		struct router *c = &w->node[i].router;

		apr_pool_create(&w->node[i].out.p, w->pool);
		router_open(c, (uint64_t)i + 1, (uint64_t)i + ROUTER_ADDR, zone_name(zone_of(i)), &controller, 1, w->now);
		c->b.instances = 1;
		c->b.link_kbps = settings->link_kbps;
		c->b.without = settings->without;
		c->b.budget_slack = 1000;
		c->b.budget_mille = 200;
	}
	return w;
}

void engine_close(struct engine_sim *w)
{
	for (int i = 0; i < ENGINE_ROUTERS; i++) {
		router_close(&w->node[i].router);
		arrfree(w->node[i].out.v);
	}
	for (int s = 0; s < ENGINE_SERVERS; s++) {
		arrfree(w->engine[s].part);
		arrfree(w->engine[s].event);
		arrfree(w->engine[s].run);
	}
	for (ptrdiff_t i = 0; i < arrlen(w->happening); i++)
		if (w->happening[i].message)
			nl__msg__free_unpacked(w->happening[i].message, NULL);
	for (int k = 0; k < ENGINE_KINDS; k++)
		arrfree(w->counts[k].first);
	arrfree(w->happening);
	arrfree(w->watch);
	hmfree(w->asked);
	hmfree(w->by_call);
	hmfree(w->seen);
	apr_pool_destroy(w->pool);
	free(w);
}

void engine_name(struct engine_sim *w)
{
	w->named++;
	w->table_changed = 1;
}

void engine_silence(struct engine_sim *w, int zone, int silent) { w->node[head_of(zone)].silent = silent; }

void engine_count_anew(struct engine_sim *w)
{
	for (int k = 0; k < ENGINE_KINDS; k++) {
		arrfree(w->counts[k].first);
		memset(&w->counts[k], 0, sizeof w->counts[k]);
	}
	w->read = w->again = 0;
}

const struct engine_counts *engine_counts(const struct engine_sim *w, int kind) { return &w->counts[kind]; }
uint64_t engine_read_again(const struct engine_sim *w) { return w->again; }
uint64_t engine_read(const struct engine_sim *w) { return w->read; }
struct router *engine_router(struct engine_sim *w, int i) { return &w->node[i].router; }

static int compare_ints(const void *a, const void *b)
{
	int x = *(const int *)a, y = *(const int *)b;

	return (x > y) - (x < y);
}

int engine_percentile(const struct engine_sim *w, int kind, int percent)
{
	const struct engine_counts *n = &w->counts[kind];
	size_t count = (size_t)arrlen(n->first);

	if (!count)
		return 0;
	qsort(n->first, count, sizeof *n->first, compare_ints);
	return n->first[(count - 1) * (size_t)percent / 100];
}
