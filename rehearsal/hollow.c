#include "hollow.h"

#include <apr_allocator.h>
#include <apr_strings.h>
#include <argtable2.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "router.h"
#include "ds.h"
#include "controller.h"

enum {
	TICK = 25,
	START = 1000000,
	SLOTS_SERVER = 16,
	SLOTS_LISTED = 128,
	EVENTS_LATE = 80,
	KEEP_MOST = 20000,
	OUTSIDE = 64,
	SLOT_RUN = 92,
	SLOT_ORDER,
	SLOT_OUT,
	SLOT_MOST
};

const struct hollow_set hollow_default = { 9, 4, 18, 4, 12, 0, 10, 0, 0, 8, 1, 180, 0, 0, 1, 0 };

/* What was counted in the window under one kind: of message by its place in the body, from OUTSIDE on of event. */
struct tally {
	uint64_t sent, sent_bytes, heard, heard_bytes, ns, codec_ns;
};

struct node {
	int no, counter;
	uint64_t addr, life, edition;
	char zone[16];
	struct router *c;
	struct controller *r;
	struct out o;
	uint64_t syncs, disk;
	struct tally t[SLOT_MOST];
	struct {
		uint32_t part;
		uint64_t seq;
	} * writes; /* stb_ds, oldest first */
};

struct block {
	uint64_t h, t;
	uint32_t maker, cache_namespace;
};
struct kept_event {
	uint64_t id;
	uint32_t cache_namespace;
	int gone;
};
struct watch {
	int node, due;
	uint64_t life, token, since;
};
struct server {
	uint64_t addr, serial;
	int running, at;
	char weights[64];
	struct block *kept; /* stb_ds */
	char *text;         /* its whole report, until something changes */
	size_t len;
	char name[16], zone[16], service[16];
	struct kept_event *log; /* stb_ds: all events of kept parts so far */
	struct watch *watch;    /* stb_ds: held */
};

enum ev_kind {
	HO_TICK,
	HO_MSG,
	HO_SYNC,
	HO_CALLED,
	HO_ARRIVE,
	HO_STREAM,
	HO_DONE,
	HO_LOAD,
	HO_CHURN,
	HO_CHANGE,
	HO_RESTART,
	HO_WATCHED,
	HO_LISTED,
	HO_LOOKED,
	HO_ORDERED
};
struct ev {
	int64_t at;
	uint64_t seq, life, token;
	enum ev_kind kind;
	int node, server, status;
	size_t n;
	uint8_t *d;
};

struct run {
	int node, server, next, over;
	uint64_t life, token;
	char xid[80];
};
struct ask {
	int64_t at;
	int node;
	uint64_t part[3];
};
struct change {
	uint64_t token, edition;
	int64_t acked;
};

struct fleet {
	struct hollow_set s;
	int64_t now, window;
	uint64_t rng, seq, token;
	int nn;
	struct node *n;
	struct server *sv;
	struct ev *q;    /* stb_ds heap */
	struct run *run; /* stb_ds */
	int *idle;       /* stb_ds: runs that are over */
	struct {
		uint64_t key;
		int value;
	} * by; /* stb_ds: node and token of a send -> its run */
	struct {
		uint64_t key;
		struct ask value;
	} * asks;              /* stb_ds: caller's token */
	struct change *change; /* stb_ds */
	struct {
		int n;
		int64_t last;
	} * reached; /* stb_ds, by edition: counters that have it, and when the last came to */
	uint64_t edition, web;
	int web_status, changed, restarted;
	int64_t load_acc, churn_acc;
	uint64_t asked, whole, refused, unknown, sends, pieces, send_ms, first_ms, first_n;
	int64_t send_most;
	struct {
		char *key;
		uint32_t value;
	} * shelves;            /* stb_ds: under which name parts are kept */
	char **cache_namespace; /* stb_ds */
	apr_pool_t *pool;
};

static int services_of(const struct hollow_set *s) { return s->lanes < s->servers ? s->lanes : s->servers; }

static int64_t cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static size_t heap(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static uint64_t rnd(struct fleet *f, uint64_t n) { return n ? core_rand(&f->rng) % n : 0; }

/* ---- the queue of events ----------------------------------------------------- */

static int before(const struct ev *a, const struct ev *b) { return a->at != b->at ? a->at < b->at : a->seq < b->seq; }

static void push(struct fleet *f, struct ev e)
{
	ptrdiff_t i;

	e.seq = ++f->seq;
	arrput(f->q, e);
	for (i = arrlen(f->q) - 1; i && before(&e, &f->q[(i - 1) / 2]); i = (i - 1) / 2)
		f->q[i] = f->q[(i - 1) / 2];
	f->q[i] = e;
}

static struct ev pop(struct fleet *f)
{
	struct ev top = f->q[0], e = arrpop(f->q);
	ptrdiff_t n = arrlen(f->q), i = 0, c;

	for (; (c = 2 * i + 1) < n; i = c) {
		if (c + 1 < n && before(&f->q[c + 1], &f->q[c]))
			c++;
		if (!before(&f->q[c], &e))
			break;
		f->q[i] = f->q[c];
	}
	if (n)
		f->q[i] = e;
	return top;
}

/* ---- addresses: 127.KIND.HI.LO ------------------------------------------------- */

enum { AT_REGISTRAR = 1, AT_COUNTER, AT_SERVER };

static uint64_t address(int kind, int no) { return 127ull << 40 | (uint64_t)kind << 32 | (uint64_t)no << 16 | 7000; }

static struct node *node_at(struct fleet *f, uint64_t a)
{
	int kind = (int)(a >> 32 & 255), no = (int)(a >> 16 & 65535);

	if (kind == AT_REGISTRAR && no < f->s.registrars)
		return &f->n[no];
	return kind == AT_COUNTER && no < f->s.nodes ? &f->n[f->s.registrars + no] : NULL;
}

static struct server *server_at(struct fleet *f, uint64_t a)
{
	int no = (int)(a >> 16 & 65535);

	return (int)(a >> 32 & 255) == AT_SERVER && no < f->s.servers ? &f->sv[no] : NULL;
}

static int zone_of(const struct node *n) { return atoi(n->zone + 1); }

/* Three zones are a region: 1 to 3 ms inside a zone, 1 more between zones, 20 more between regions. */
static int64_t way(struct fleet *f, const struct node *a, const struct node *b)
{
	int x = zone_of(a), y = zone_of(b);

	return a == b ? 0 : 1 + (int64_t)rnd(f, 3) + (x != y) + (x / 3 != y / 3 ? 20 : 0);
}

/* ---- servers ---------------------------------------------------------------------- */

static void changed(struct server *v)
{
	v->serial++;
	free(v->text);
	v->text = NULL;
}

static void event(struct fleet *f, enum ev_kind kind, int node, uint64_t token, int64_t at)
{
	struct ev e = { .at = at, .kind = kind, .node = node, .life = f->n[node].life, .token = token };

	push(f, e);
}

static uint32_t cache_namespace_of(struct fleet *f, const char *name)
{
	ptrdiff_t i = shgeti(f->shelves, name);

	if (i >= 0)
		return f->shelves[i].value;
	arrput(f->cache_namespace, strdup(name));
	shput(f->shelves, name, (uint32_t)arrlen(f->cache_namespace) - 1);
	return (uint32_t)arrlen(f->cache_namespace) - 1;
}

/* Whoever watches hears of it a little later, with what else comes until then. */
static void tell(struct fleet *f, struct server *v, const struct block *b, int gone)
{
	struct kept_event e = { b->h, b->cache_namespace, gone };

	if (!f->s.listed)
		return;
	arrput(v->log, e);
	for (ptrdiff_t i = 0; i < arrlen(v->watch); i++)
		if (!v->watch[i].due) {
			v->watch[i].due = 1;
			push(f, (struct ev){ .at = f->now + EVENTS_LATE,
					     .kind = HO_WATCHED,
					     .node = v->watch[i].node,
					     .life = v->watch[i].life,
					     .token = v->watch[i].token,
					     .server = (int)(v - f->sv) });
		}
}

static void keep(struct fleet *f, struct server *v, uint64_t h, uint32_t maker, uint64_t t, uint32_t cache_namespace)
{
	struct block b = { h, t, maker, cache_namespace };
	ptrdiff_t most = (ptrdiff_t)(f->s.parts / f->s.servers);

	for (ptrdiff_t i = 0; i < arrlen(v->kept) && i < 64; i++) /* the last few are looked at; a copy twice does no harm */
		if (v->kept[i].h == h && v->kept[i].maker == maker && v->kept[i].cache_namespace == cache_namespace)
			return;
	if (most < 4)
		most = 4;
	if (arrlen(v->kept) < most) {
		arrput(v->kept, b);
	} else {
		tell(f, v, &v->kept[v->at % most], 1);
		v->kept[v->at++ % most] = b;
	}
	tell(f, v, &b, 0);
	changed(v);
}

static char *report(struct fleet *f, struct server *v, const char *path, size_t *len)
{
	const char *since = strstr(path, "since=");
	char head[200];
	size_t n, k;
	int fresh = since && strtoull(since + 6, NULL, 10) == v->serial;
	char *d;

	(void)f;
	n = (size_t)snprintf(head, sizeof head,
			     "{\"weights\":\"%s\",\"loading\":\"\",\"slots\":%d,\"running\":%d,\"serial\":%llu,\"boot\":1",
			     v->weights, SLOTS_SERVER, v->running, (unsigned long long)v->serial);
	if (!fresh && !v->text) {
		v->text = malloc(64 + (size_t)arrlen(v->kept) * 100);
		k = (size_t)sprintf(v->text, ",\"parts\":[");
		for (ptrdiff_t i = 0; i < arrlen(v->kept); i++)
			k += (size_t)sprintf(v->text + k, "%s{\"h\":\"%016llx\",\"w\":\"%s\",\"m\":\"t%u\",\"t\":%llu,\"n\":64}",
					     i ? "," : "", (unsigned long long)v->kept[i].h, v->weights, v->kept[i].maker,
					     (unsigned long long)v->kept[i].t);
		v->text[k++] = ']';
		v->len = k;
	}
	k = fresh ? 0 : v->len;
	d = malloc(n + k + 2);
	memcpy(d, head, n);
	if (k)
		memcpy(d + n, v->text, k);
	d[n + k] = '}';
	d[n + k + 1] = 0;
	*len = n + k + 1;
	return d;
}

static void begins(struct fleet *f, const struct run *r, int64_t first)
{
	int i;

	if (arrlen(f->idle)) {
		i = arrpop(f->idle);
		f->run[i] = *r;
	} else {
		arrput(f->run, *r);
		i = (int)arrlen(f->run) - 1;
	}
	hmput(f->by, core_rdv((uint64_t)r->node, r->token), i);
	event(f, HO_STREAM, r->node, (uint64_t)i, first);
}

/* A send reaches a server: what it names as reused is not looked up, all parts are kept there afterwards. */
static void arrives(struct fleet *f, const struct ev *e)
{
	struct server *v = &f->sv[e->server];
	struct json_object *j = json_tokener_parse((char *)e->d), *parts, *p;
	struct run r = { .node = e->node, .server = e->server, .life = e->life, .token = e->token };
	uint32_t maker = (uint32_t)atoi(json_str(j, "tenant") + 1);
	uint64_t stamp = json_num(j, "stamp");

	snprintf(r.xid, sizeof r.xid, "%s", json_str(j, "x"));
	if (v->running >= SLOTS_SERVER || strcmp(json_str(j, "weights"), v->weights)) {
		event(f, HO_DONE, e->node, e->token, f->now + 1);
		json_object_put(j);
		return;
	}
	v->running++;
	if (json_object_object_get_ex(j, "parts", &parts))
		for (size_t k = 0; k < json_object_array_length(parts); k++)
			if (json_object_object_get_ex(json_object_array_get_idx(parts, k), "h", &p))
				keep(f, v, strtoull(json_object_get_string(p), NULL, 16), maker, stamp, 0);
	json_object_put(j);
	begins(f, &r, f->now + 20);
}

static void run_end(struct fleet *f, int i)
{
	struct run *r = &f->run[i];

	if (r->over)
		return;
	r->over = 1;
	f->sv[r->server].running--;
	(void)hmdel(f->by, core_rdv((uint64_t)r->node, r->token));
}

/* ---- steps, timed -------------------------------------------------------------------- */

static void perform(struct fleet *f, struct node *n);

static void reached(struct fleet *f, struct node *n)
{
	uint64_t now_at = n->c->f.t.edition;

	while ((uint64_t)arrlen(f->reached) <= now_at)
		arrput(f->reached, ((typeof(*f->reached)){ 0, 0 }));
	while (n->edition < now_at) {
		n->edition++;
		f->reached[n->edition].n++;
		f->reached[n->edition].last = f->now;
	}
}

static void router_do(struct fleet *f, struct node *n, int slot, const struct router_ev *ev)
{
	int64_t t = cpu_ns();

	router_step(n->c, ev, f->now, &n->o);
	n->t[slot].ns += (uint64_t)(cpu_ns() - t);
	if (n->c->f.t.edition != n->edition)
		reached(f, n);
	perform(f, n);
}

static void controller_do(struct fleet *f, struct node *n, int slot, const struct controller_ev *ev)
{
	int64_t t = cpu_ns();

	controller_step(n->r, ev, f->now, &n->o);
	n->t[slot].ns += (uint64_t)(cpu_ns() - t);
	n->r->fleet_dirty = 0;
	perform(f, n);
}

static void hear(struct node *n, int slot, size_t bytes)
{
	n->t[slot].heard++;
	n->t[slot].heard_bytes += bytes;
}

static void say(struct node *n, int slot, size_t bytes)
{
	n->t[slot].sent++;
	n->t[slot].sent_bytes += bytes;
}

static int slot_of(const struct Nl__Msg *m) { return (int)m->body_case < OUTSIDE ? (int)m->body_case : 0; }

static void send_msg(struct fleet *f, struct node *n, const struct cmd *c)
{
	struct node *to = node_at(f, c->u.send.addr);
	struct ev e = { .kind = HO_MSG };
	int slot = slot_of(c->u.send.msg);
	int64_t t = cpu_ns();

	e.n = nl__msg__get_packed_size(c->u.send.msg);
	e.d = malloc(e.n + 1);
	nl__msg__pack(c->u.send.msg, e.d);
	if (to != n) { /* what is said to itself takes no wire */
		n->t[slot].codec_ns += (uint64_t)(cpu_ns() - t);
		say(n, slot, e.n + 4);
	}
	if (!to || !to->life) {
		free(e.d);
		return;
	}
	e.node = to->no;
	e.life = to->life;
	e.at = f->now + way(f, n, to);
	push(f, e);
}

static void persist(struct fleet *f, struct node *n, const struct persist *w)
{
	typeof(*n->writes) x = { w->part, w->seq };

	arrput(n->writes, x);
	n->syncs++;
	n->disk += 32;
	for (size_t i = 0; i < w->n; i++)
		n->disk += w->e[i].len + 32;
	if (w->snap)
		n->disk += w->data_len + w->members_len;
	event(f, HO_SYNC, n->no, 0, f->now + 2 + (int64_t)rnd(f, 3));
}

/* When a request leaves for a server, after how long. */
static void sent(struct fleet *f, uint64_t caller)
{
	ptrdiff_t i = hmgeti(f->asks, caller);
	int64_t ms = i < 0 ? 0 : f->now - f->asks[i].value.at;

	f->sends++;
	f->send_ms += (uint64_t)ms;
	f->send_most = ms > f->send_most ? ms : f->send_most;
}

static void call(struct fleet *f, struct node *n, const struct cmd *c)
{
	struct server *v = server_at(f, core_addr(c->u.call.addr));
	struct ev e = { .node = n->no, .life = n->life, .token = c->u.call.token };

	if (c->u.call.stream) {
		struct client_request *x = n->c && hmgeti(n->c->by, e.token) >= 0 ? hmget(n->c->by, e.token) : NULL;

		say(n, SLOT_RUN, strlen(c->u.call.body));
		sent(f, x ? x->token : 0);
		if (!v) {
			event(f, HO_DONE, n->no, e.token, f->now + 1);
			return;
		}
		e.kind = HO_ARRIVE;
		e.server = (int)(v - f->sv);
		e.d = (uint8_t *)strdup(c->u.call.body);
		e.at = f->now + 1 + (int64_t)rnd(f, 3);
		push(f, e);
		return;
	}
	if (!strcmp(c->u.call.path, "/v1/order")) {
		say(n, SLOT_ORDER, strlen(c->u.call.body));
		return;
	}
	say(n, OUTSIDE + (n->c ? (int)ROUTER_CALLED : (int)CONTROLLER_CALLED), strlen(c->u.call.path));
	if (!v)
		return;
	e.kind = HO_CALLED;
	e.at = f->now + 2;
	e.status = 200;
	e.d = (uint8_t *)report(f, v, c->u.call.path, &e.n);
	push(f, e);
}

/* A request whose text stays at the door: of its send the core hears the first piece and the end. */
static void forward(struct fleet *f, struct node *n, const struct forward *w)
{
	struct server *v = server_at(f, w->addr);
	struct run r = { .node = n->no, .life = n->life, .token = w->call };
	ptrdiff_t i = hmgeti(f->asks, w->caller);
	uint32_t cache_namespace;

	sent(f, w->caller);
	say(n, SLOT_RUN, 0);
	if (!v || v->running >= SLOTS_LISTED) {
		event(f, HO_DONE, n->no, w->call, f->now + 2);
		return;
	}
	r.server = (int)(v - f->sv);
	v->running++;
	cache_namespace = w->cache_namespace ? cache_namespace_of(f, w->cache_namespace) : 0;
	for (int k = 0; k < 3 && i >= 0; k++)
		keep(f, v, f->asks[i].value.part[k], 0, 0, cache_namespace);
	snprintf(r.xid, sizeof r.xid, "%llu", (unsigned long long)w->caller);
	begins(f, &r, f->now + 20 + (int64_t)rnd(f, 3));
}

static void watch(struct fleet *f, struct node *n, const struct cmd *c)
{
	struct server *v = server_at(f, c->u.watch.addr);
	struct watch w = { n->no, 0, n->life, c->u.watch.token, c->u.watch.since };
	struct ev e = { .at = f->now + c->u.watch.wait_ms, .kind = HO_WATCHED, .node = n->no, .life = n->life, .token = w.token };

	say(n, OUTSIDE + ROUTER_WATCHED, 60);
	if (!v)
		return;
	e.server = (int)(v - f->sv);
	if (w.since < (uint64_t)arrlen(v->log)) {
		w.due = 1;
		e.at = f->now + 2;
	}
	arrput(v->watch, w);
	push(f, e);
}

/* A held watch is answered with all that came since. */
static void watched(struct fleet *f, struct node *n, const struct ev *e)
{
	struct server *v = &f->sv[e->server];
	struct router_ev ev = { .kind = ROUTER_WATCHED };
	struct Nl__Kept k = NL__KEPT__INIT;
	struct Nl__KeptEvent *ke, **pe;
	struct watch w;
	ptrdiff_t i = 0;

	while (i < arrlen(v->watch) && (v->watch[i].token != e->token || v->watch[i].node != e->node))
		i++;
	if (i == arrlen(v->watch))
		return; /* it was answered before */
	w = v->watch[i];
	arrdelswap(v->watch, i);
	if (!n->c || w.life != n->life)
		return;
	k.server = v->name;
	k.epoch = 1;
	k.next = (uint64_t)arrlen(v->log);
	k.n_e = (size_t)(k.next - w.since);
	k.e = pe = calloc(k.n_e + 1, sizeof *pe);
	ke = calloc(k.n_e + 1, sizeof *ke);
	for (size_t q = 0; q < k.n_e; q++) {
		const struct kept_event *x = &v->log[w.since + q];

		nl__kept_event__init(&ke[q]);
		ke[q].gone = x->gone;
		ke[q].cache_namespace = f->cache_namespace[x->cache_namespace];
		ke[q].id = x->id;
		ke[q].tokens = 64;
		pe[q] = &ke[q];
	}
	ev.u.kept.token = w.token;
	ev.u.kept.k = &k;
	ev.u.kept.status = 200;
	hear(n, OUTSIDE + ROUTER_WATCHED, 120 + 45 * k.n_e); /* as text */
	router_do(f, n, OUTSIDE + ROUTER_WATCHED, &ev);
	free(ke);
	free(pe);
}

static void listed(struct fleet *f, struct node *n, const struct ev *e)
{
	struct controller_ev ev = { .kind = CONTROLLER_LISTED };
	struct Nl__Instance *x = calloc((size_t)f->s.servers, sizeof *x), **px = calloc((size_t)f->s.servers, sizeof *px);
	size_t bytes = 0;

	for (int i = 0; i < f->s.servers; i++) {
		struct server *v = &f->sv[i];

		nl__instance__init(&x[i]);
		x[i].server = v->name;
		x[i].service = v->service;
		x[i].zone = v->zone;
		x[i].addr = (char *)core_addr_str(n->o.p, v->addr);
		x[i].slots = SLOTS_LISTED;
		x[i].weights = v->weights;
		px[i] = &x[i];
		bytes += 150; /* as text */
	}
	ev.u.listed.token = e->token;
	ev.u.listed.ok = 1;
	ev.u.listed.n = (size_t)f->s.servers;
	ev.u.listed.v = px;
	hear(n, OUTSIDE + CONTROLLER_LISTED, bytes);
	controller_do(f, n, OUTSIDE + CONTROLLER_LISTED, &ev);
	free(px);
	free(x);
}

static void answered(struct fleet *f, const struct cmd *c)
{
	const char *b = c->u.answer.body ? c->u.answer.body : "";
	ptrdiff_t i = hmgeti(f->asks, c->u.answer.token);

	if (i >= 0) {
		f->refused += strstr(b, "\"refused\"") != NULL;
		f->unknown += strstr(b, "\"refused\"") == NULL;
		(void)hmdel(f->asks, c->u.answer.token);
		return;
	}
	if (c->u.answer.token == f->web)
		f->web_status = c->u.answer.status;
	for (i = 0; i < arrlen(f->change); i++)
		if (f->change[i].token == c->u.answer.token && c->u.answer.status == 200 && !strncmp(b, "{\"edition\":", 11)) {
			f->change[i].edition = strtoull(b + 11, NULL, 10);
			f->change[i].acked = f->now;
		}
}

static void perform(struct fleet *f, struct node *n)
{
	for (ptrdiff_t k = 0; k < arrlen(n->o.v); k++) {
		struct cmd *c = &n->o.v[k];
		ptrdiff_t i;

		switch (c->kind) {
		case CMD_SEND: send_msg(f, n, c); break;
		case CMD_PERSIST: persist(f, n, c->u.persist); break;
		case CMD_CALL: call(f, n, c); break;
		case CMD_FORWARD: forward(f, n, c->u.forward); break;
		case CMD_WATCH: watch(f, n, c); break;
		case CMD_LIST:
			say(n, OUTSIDE + CONTROLLER_LISTED, 100);
			event(f, HO_LISTED, n->no, c->u.list.token, f->now + 20);
			break;
		case CMD_LOOK:
			say(n, OUTSIDE + CONTROLLER_LOOKED, 100);
			push(f, (struct ev){ .at = f->now + 4,
					     .kind = HO_LOOKED,
					     .node = n->no,
					     .life = n->life,
					     .token = c->u.look.token,
					     .d = (uint8_t *)strdup(c->u.look.server) });
			break;
		case CMD_ORDER: { /* weights are there at once */
			struct server *v = server_at(f, c->u.order.addr);

			say(n, OUTSIDE + CONTROLLER_ORDERED, 200);
			if (v)
				apr_cpystrn(v->weights, c->u.order.weights, sizeof v->weights);
			event(f, HO_ORDERED, n->no, c->u.order.token, f->now + 4);
			break;
		}
		case CMD_ANSWER: answered(f, c); break;
		case CMD_PIECE:
		case CMD_END:
			say(n, SLOT_OUT, c->u.piece.len);
			i = hmgeti(f->asks, c->u.piece.token);
			if (i < 0)
				break;
			if (c->kind == CMD_END) {
				f->whole += c->u.piece.ok != 0;
				f->unknown += c->u.piece.ok == 0;
				(void)hmdel(f->asks, c->u.piece.token);
			} else {
				f->pieces++;
			}
			break;
		case CMD_CANCEL:
			i = hmgeti(f->by, core_rdv((uint64_t)n->no, c->u.cancel.token));
			if (i >= 0)
				run_end(f, f->by[i].value);
			break;
		}
	}
	out_clear(&n->o);
}

/* ---- callers and operators ------------------------------------------------------------- */

static const char *digest(char buf[65], int tenant)
{
	snprintf(buf, 65, "%064x", tenant + 1);
	return buf;
}

static void ask(struct fleet *f)
{
	struct node *n = &f->n[f->s.registrars + (int)rnd(f, (uint64_t)f->s.nodes)];
	int tenant = (int)rnd(f, (uint64_t)f->s.tenants), lane = (int)rnd(f, (uint64_t)f->s.lanes), matter = (int)rnd(f, 200);
	struct ask a = { f->now,
			 n->no,
			 { core_rdv(1, (uint64_t)lane), core_rdv((uint64_t)lane, (uint64_t)tenant),
			   core_rdv((uint64_t)tenant << 32 | (uint64_t)lane, (uint64_t)matter) } };
	struct router_ev ev = { .kind = ROUTER_EXCHANGE };
	struct router_asking q;
	char key[65], body[700], path[30], id[30];
	int slot = OUTSIDE + ROUTER_EXCHANGE;

	if (!n->c)
		return;
	f->token++;
	hmput(f->asks, f->token, a);
	f->asked++;
	(void)digest(key, tenant);
	snprintf(id, sizeof id, "x%llu", (unsigned long long)f->token);
	if (f->s.listed) {
		memset(&q, 0, sizeof q);
		snprintf(path, sizeof path, "/l%d/ask", lane);
		q.token = f->token;
		q.digest = key;
		q.host = "a.example";
		q.path = path;
		q.id = id;
		q.limit_ms = 20000;
		q.tokens_in = 4000;
		q.tokens_out = 420;
		q.nparts = 3;
		for (int i = 0; i < 3; i++)
			q.part[i] = (struct router_part){ a.part[i], 1000 };
		ev.kind = ROUTER_ASKED;
		ev.u.ask = &q;
		slot = OUTSIDE + ROUTER_ASKED;
		hear(n, slot, 500);
	} else {
		snprintf(
		    body, sizeof body,
		    "{\"lane\":\"l%d\",\"id\":\"%s\",\"limit_ms\":20000,\"parts\":[\"the part of all of lane %d, quite long as such parts are\",\"the part of tenant %d\",\"matter %d of that tenant, with what was written about it and the rules that apply to it\"],\"tail\":\"what is asked\"}",
		    lane, id, lane, tenant, matter);
		ev.u.exchange.token = f->token;
		ev.u.exchange.digest = key;
		ev.u.exchange.body = body;
		hear(n, slot, strlen(body));
	}
	router_do(f, n, slot, &ev);
}

static uint64_t operate(struct fleet *f, const char *path, const char *body)
{
	struct node *n = &f->n[(int)rnd(f, (uint64_t)f->s.registrars)];
	struct controller_ev ev = { .kind = CONTROLLER_WEB };

	ev.u.web.token = ++f->token;
	ev.u.web.verb = "POST";
	ev.u.web.path = path;
	ev.u.web.body = body;
	controller_do(f, n, OUTSIDE + CONTROLLER_WEB, &ev);
	return ev.u.web.token;
}

/* Most changes are of a tenant's share; each eighth walls one off or in again, which is a purge as well. */
static void change(struct fleet *f)
{
	struct change c = { 0, 0, 0 };
	char body[200];
	int no = f->changed++;

	snprintf(body, sizeof body, "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":%d,\"limit\":%d,\"walled\":%s}]}",
		 no / 2 % f->s.tenants, 1 + no % 7, f->s.listed ? 0 : 100000, no % 8 == 7 ? "true" : "false");
	c.token = f->token + 1; /* the answer may come within the step */
	arrput(f->change, c);
	operate(f, "/v1/change", body);
}

static void churn(struct fleet *f)
{
	int64_t one = f->s.listed ? 2000 : 1000; /* one comes and another goes: two events */

	for (f->churn_acc += f->s.events * 10; f->churn_acc >= one; f->churn_acc -= one) {
		struct server *v = &f->sv[rnd(f, (uint64_t)f->s.servers)];

		keep(f, v, core_rand(&f->rng), (uint32_t)rnd(f, (uint64_t)f->s.tenants), 0, 0);
	}
}

/* ---- nodes ----------------------------------------------------------------------------------- */

static void begin(struct fleet *f, struct node *n)
{
	uint64_t seeds[3], id = core_rand(&f->rng);
	struct bounds b = bounds_default;

	for (int k = 0; k < 3; k++)
		seeds[k] = address(AT_REGISTRAR, k);
	n->life = ++f->seq;
	b.instances = f->s.listed;
	b.list_mille = f->s.listed ? 2000 : 0;
	if (n->counter) {
		n->c = malloc(sizeof *n->c);
		router_open(n->c, id, n->addr, n->zone, seeds, 3, f->now);
		n->c->b = b;
	} else {
		n->r = malloc(sizeof *n->r);
		controller_open(n->r, id, n->addr, n->zone, seeds, 3, 0, core_rand(&f->rng), NULL, f->now);
		n->r->b = b;
	}
	event(f, HO_TICK, n->no, 0, f->now + (int64_t)rnd(f, TICK));
}

static void end(struct node *n)
{
	if (n->c) {
		router_close(n->c);
		free(n->c);
	}
	if (n->r) {
		controller_close(n->r);
		free(n->r);
	}
	n->c = NULL;
	n->r = NULL;
	n->life = 0;
}

/* A machine goes and another comes in its place; what it held is lost to its callers. */
static void restart(struct fleet *f)
{
	struct node *n = &f->n[f->s.registrars + f->restarted++ % f->s.nodes];

	end(n);
	for (ptrdiff_t i = hmlen(f->asks) - 1; i >= 0; i--)
		if (f->asks[i].value.node == n->no) {
			f->unknown++;
			(void)hmdel(f->asks, f->asks[i].key);
		}
	begin(f, n);
}

/* A message off the wire, or from itself. */
static struct Nl__Msg *take(struct node *n, const struct ev *e, int *slot)
{
	int64_t t = cpu_ns();
	struct Nl__Msg *m = nl__msg__unpack(NULL, e->n, e->d);

	if (!m)
		abort(); /* it was packed a moment ago */
	*slot = slot_of(m);
	if (m->addr != n->addr) {
		n->t[*slot].codec_ns += (uint64_t)(cpu_ns() - t);
		hear(n, *slot, e->n + 4);
	}
	return m;
}

static void router_dispatch(struct fleet *f, struct node *n, struct ev *e)
{
	struct router_ev ev = { .kind = ROUTER_TICK };
	struct router_ended ended = { 0 };
	int slot = OUTSIDE + ROUTER_TICK;
	struct Nl__Msg *m = NULL;

	switch (e->kind) {
	case HO_MSG:
		m = take(n, e, &slot);
		ev.kind = ROUTER_MSG;
		ev.u.msg = m;
		break;
	case HO_CALLED:
		ev.kind = ROUTER_CALLED;
		ev.u.called.token = e->token;
		ev.u.called.status = e->status;
		ev.u.called.body = (char *)e->d;
		slot = OUTSIDE + ROUTER_CALLED;
		hear(n, slot, e->n);
		break;
	case HO_DONE:
		if (f->s.listed) {
			ended.token = e->token;
			ended.how = ROUTER_NEVER;
			ended.status = 503;
			ev.kind = ROUTER_ENDED;
			ev.u.ended = &ended;
			slot = OUTSIDE + ROUTER_ENDED;
			hear(n, slot, 0);
			break;
		}
		ev.kind = ROUTER_DONE;
		ev.u.done.token = e->token;
		ev.u.done.status = 503;
		ev.u.done.never = 1;
		ev.u.done.body = "";
		slot = OUTSIDE + ROUTER_DONE;
		hear(n, slot, 0);
		break;
	default: break;
	}
	router_do(f, n, slot, &ev);
	if (m)
		nl__msg__free_unpacked(m, NULL);
}

static void controller_dispatch(struct fleet *f, struct node *n, struct ev *e)
{
	struct controller_ev ev = { .kind = CONTROLLER_TICK };
	int slot = OUTSIDE + CONTROLLER_TICK;
	struct Nl__Msg *m = NULL;

	switch (e->kind) {
	case HO_MSG:
		m = take(n, e, &slot);
		ev.kind = CONTROLLER_MSG;
		ev.u.msg = m;
		break;
	case HO_SYNC:
		ev.kind = CONTROLLER_SYNCED;
		ev.u.synced.part = n->writes[0].part;
		ev.u.synced.seq = n->writes[0].seq;
		arrdel(n->writes, 0);
		slot = OUTSIDE + CONTROLLER_SYNCED;
		hear(n, slot, 0);
		break;
	case HO_CALLED:
		ev.kind = CONTROLLER_CALLED;
		ev.u.called.token = e->token;
		ev.u.called.status = e->status;
		ev.u.called.body = (char *)e->d;
		slot = OUTSIDE + CONTROLLER_CALLED;
		hear(n, slot, e->n);
		break;
	case HO_LOOKED:
		for (int i = 0; i < f->s.servers; i++)
			if (!strcmp(f->sv[i].name, (char *)e->d))
				ev.u.looked.weights = f->sv[i].weights;
		ev.kind = CONTROLLER_LOOKED;
		ev.u.looked.token = e->token;
		ev.u.looked.status = 200;
		slot = OUTSIDE + CONTROLLER_LOOKED;
		hear(n, slot, 300);
		break;
	case HO_ORDERED:
		ev.kind = CONTROLLER_ORDERED;
		ev.u.ordered.token = e->token;
		ev.u.ordered.status = 200;
		slot = OUTSIDE + CONTROLLER_ORDERED;
		hear(n, slot, 100);
		break;
	default: break;
	}
	controller_do(f, n, slot, &ev);
	if (m)
		nl__msg__free_unpacked(m, NULL);
}

/* The first piece has come, or the whole rest: pieces between them do not reach the core. */
static void forwarded(struct fleet *f, int i)
{
	struct run *r = &f->run[i];
	struct node *n = &f->n[r->node];
	struct server *v = &f->sv[r->server];
	struct router_ended done = {
		.token = r->token, .how = ROUTER_WHOLE, .status = 200, .began = 1, .slots = SLOTS_LISTED, .weights = v->weights
	};
	struct router_ev ev = { .kind = ROUTER_BEGAN };
	int slot = OUTSIDE + ROUTER_BEGAN;

	if (!r->next) {
		r->next = f->s.pieces;
		event(f, HO_STREAM, r->node, (uint64_t)i, f->now + 15 * (int64_t)f->s.pieces);
		ev.u.began.token = r->token;
		ev.u.began.weights = v->weights;
	} else {
		uint64_t caller = strtoull(r->xid, NULL, 10);

		run_end(f, i);
		arrput(f->idle, i);
		done.pieces = (uint32_t)f->s.pieces;
		done.running = v->running;
		ev.kind = ROUTER_ENDED;
		ev.u.ended = &done;
		slot = OUTSIDE + ROUTER_ENDED;
		f->pieces += (uint64_t)f->s.pieces;
		f->whole += hmgeti(f->asks, caller) >= 0;
		(void)hmdel(f->asks, caller);
	}
	hear(n, slot, 0);
	router_do(f, n, slot, &ev);
}

static void streams(struct fleet *f, const struct ev *e)
{
	int i = (int)e->token;
	struct run *r = &f->run[i];
	struct node *n = &f->n[r->node];
	struct router_ev ev = { .kind = ROUTER_PIECE };
	char line[200];
	int last = r->next == f->s.pieces;

	if (r->over || n->life != r->life) {
		run_end(f, i);
		arrput(f->idle, i);
		return;
	}
	if (f->s.listed) {
		forwarded(f, i);
		return;
	}
	if (last)
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"end\":true}", r->xid, r->next);
	else
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"t\":\"a word \"}", r->xid, r->next);
	ev.u.piece.token = r->token;
	ev.u.piece.line = line;
	r->next++;
	if (last) {
		run_end(f, i);
		arrput(f->idle, i);
	} else {
		event(f, HO_STREAM, r->node, e->token, f->now + 10 + (int64_t)rnd(f, 10));
	}
	hear(n, OUTSIDE + ROUTER_PIECE, strlen(line));
	router_do(f, n, OUTSIDE + ROUTER_PIECE, &ev);
}

static void again(struct fleet *f, const struct ev *e, int64_t in)
{
	struct ev n = { .at = f->now + in, .kind = e->kind, .node = e->node, .life = e->life };

	push(f, n);
}

static void dispatch(struct fleet *f, struct ev *e)
{
	struct node *n = &f->n[e->node];

	switch (e->kind) {
	case HO_ARRIVE: arrives(f, e); return;
	case HO_STREAM: streams(f, e); return;
	case HO_LOAD:
		for (f->load_acc += f->s.rate; f->load_acc >= 1000; f->load_acc -= 1000)
			ask(f);
		again(f, e, 1);
		return;
	case HO_CHURN:
		churn(f);
		again(f, e, 10);
		return;
	case HO_CHANGE:
		change(f);
		if (f->changed < f->s.changes)
			again(f, e, 1000 * f->s.seconds / f->s.changes);
		return;
	case HO_RESTART:
		restart(f);
		if (f->restarted < f->s.restarts)
			again(f, e, 1000 * f->s.seconds / f->s.restarts);
		return;
	default: break;
	}
	if (e->kind == HO_WATCHED) {
		watched(f, n, e);
		return;
	}
	if (e->life != n->life)
		return;
	if (e->kind == HO_TICK)
		again(f, e, TICK);
	if (e->kind == HO_LISTED) {
		listed(f, n, e);
		return;
	}
	if (n->c)
		router_dispatch(f, n, e);
	else
		controller_dispatch(f, n, e);
}

static int run_until(struct fleet *f, int64_t ms, int (*done)(struct fleet *))
{
	int64_t until = f->now + ms;

	while (arrlen(f->q) && f->q[0].at <= until) {
		struct ev e = pop(f);
		int64_t was = f->now;

		f->now = e.at;
		if (done && was != f->now && done(f)) {
			push(f, e);
			return 1;
		}
		dispatch(f, &e);
		free(e.d);
	}
	f->now = until;
	return !done || done(f);
}

/* ---- the fleet -------------------------------------------------------------------------------- */

static int web_done(struct fleet *f) { return f->web_status != 0; }

static int operate_done(struct fleet *f, const char *path, const char *body)
{
	for (int tries = 0; tries < 10; tries++) {
		f->web_status = 0;
		f->web = f->token + 1;
		operate(f, path, body);
		if (run_until(f, 12000, web_done) && f->web_status == 200)
			return 1;
		run_until(f, 500, NULL);
	}
	return 0;
}

static int all_owned(struct fleet *f)
{
	for (int p = 0; p < SHARD_COUNT; p++) {
		int owned = 0;

		for (int i = 0; i < f->s.registrars; i++)
			owned |= raft_has_lease(&f->n[i].r->part[p], f->now);
		if (!owned)
			return 0;
	}
	return 1;
}

static int all_ready(struct fleet *f)
{
	for (int i = f->s.registrars; i < f->nn; i++)
		if (!f->n[i].c || config_watch_age(&f->n[i].c->f, f->now) > CONFIG_WATCH_CONFIG || f->n[i].edition < f->edition ||
		    !relay_current(&f->n[i].c->relay, f->now))
			return 0;
	return 1;
}

static int set_rows(struct fleet *f, char **rows, int from, int n)
{
	size_t k = 0, cap = 20;
	char *body;
	int ok;

	for (int i = from; i < from + n; i++)
		cap += strlen(rows[i]) + 1;
	body = malloc(cap);
	k = (size_t)sprintf(body, "{\"set\":[");
	for (int i = from; i < from + n; i++)
		k += (size_t)sprintf(body + k, "%s%s", i > from ? "," : "", rows[i]);
	sprintf(body + k, "]}");
	ok = operate_done(f, "/v1/change", body);
	free(body);
	return ok;
}

static int table(struct fleet *f)
{
	const struct hollow_set *s = &f->s;
	char **rows = NULL, hex[65];
	int nsvc = services_of(s), ok = 1;
	apr_pool_t *p;

	apr_pool_create(&p, f->pool);
	for (int i = 0; i < nsvc && s->listed; i++) {
		arrput(rows, apr_psprintf(p, "{\"kind\":\"model\",\"name\":\"d%d\",\"weights\":\"1\"}", i));
		arrput(
		    rows,
		    apr_psprintf(
			p,
			"{\"kind\":\"service\",\"name\":\"m%d\",\"model\":\"d%d\",\"prefill\":112,\"kv_bytes\":18432,\"link\":46250000,\"slots\":%d,\"conns\":630,\"watches\":64,\"room\":239003}",
			i, i, SLOTS_LISTED));
	}
	for (int i = 0; i < nsvc && !s->listed; i++)
		arrput(
		    rows,
		    apr_psprintf(
			p,
			"{\"kind\":\"service\",\"name\":\"m%d\",\"weights\":\"w1\",\"prefill\":20,\"kv_bytes\":400,\"link\":100000}",
			i));
	for (int i = 0; i < s->lanes; i++)
		arrput(
		    rows,
		    apr_psprintf(
			p, "{\"kind\":\"lane\",\"name\":\"l%d\",\"service\":\"m%d\",\"prio\":%d,\"limit\":1000%s}", i, i % nsvc,
			i % 3,
			!s->listed
			    ? ""
			    : apr_psprintf(
				  p,
				  ",\"host\":\"a.example\",\"path\":\"/l%d/\",\"vouched\":true,\"aim\":360,\"pause\":72,\"attempts\":2",
				  i)));
	for (int i = 0; i < s->tenants; i++) {
		arrput(rows, apr_psprintf(p, "{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":1,\"limit\":%d}", i,
					  s->listed ? 0 : 100000));
		arrput(rows, apr_psprintf(p, "{\"kind\":\"key\",\"name\":\"%s\",\"tenant\":\"t%d\"}", digest(hex, i), i));
	}
	for (int i = 0; i < s->servers && !s->listed; i++)
		arrput(rows, apr_psprintf(p, "{\"kind\":\"server\",\"name\":\"s%d\",\"service\":\"m%d\",\"addr\":\"%s\"}", i,
					  i % nsvc, core_addr_str(p, f->sv[i].addr)));
	for (int i = 0; i < arrlen(rows) && ok; i += 300)
		ok = set_rows(f, rows, i, (int)arrlen(rows) - i < 300 ? (int)arrlen(rows) - i : 300);
	arrfree(rows);
	apr_pool_destroy(p);
	return ok;
}

static int zones_of(const struct hollow_set *s)
{
	int z = s->nodes / 16;

	return s->zones ? s->zones : z < 3 ? 3 : z > 21 ? 21 : z;
}

static void fleet_make(struct fleet *f, const struct hollow_set *s)
{
	int zones = zones_of(s);

	f->s = *s;
	f->rng = s->seed * 7919 + 17;
	f->now = START;
	apr_pool_create(&f->pool, NULL);
	sh_new_strdup(f->shelves);
	(void)cache_namespace_of(f, "1-of-before");
	f->nn = s->registrars + s->nodes;
	f->n = calloc((size_t)f->nn, sizeof *f->n);
	f->sv = calloc((size_t)s->servers, sizeof *f->sv);
	for (int i = 0; i < f->nn; i++) {
		struct node *n = &f->n[i];

		n->no = i;
		n->counter = i >= s->registrars;
		n->addr = n->counter ? address(AT_COUNTER, i - s->registrars) : address(AT_REGISTRAR, i);
		snprintf(n->zone, sizeof n->zone, "z%d", (n->counter ? i - s->registrars : i) % zones);
		apr_pool_create(&n->o.p, f->pool);
	}
	for (int i = 0; i < s->servers; i++) {
		struct server *v = &f->sv[i];

		v->addr = address(AT_SERVER, i);
		v->serial = 1;
		snprintf(v->weights, sizeof v->weights, s->listed ? "1" : "w1");
		snprintf(v->name, sizeof v->name, "s%d", i);
		snprintf(v->zone, sizeof v->zone, "z%d", i % zones);
		snprintf(v->service, sizeof v->service, "m%d", i % services_of(s));
		for (int64_t k = s->parts * i / s->servers; k < s->parts * (i + 1) / s->servers; k++) {
			struct block b = { core_rand(&f->rng), 0, (uint32_t)rnd(f, (uint64_t)s->tenants), 0 };

			arrput(v->kept, b);
			tell(f, v, &b, 0);
		}
	}
}

/* Half a minute without load until all stands, then the load, then the window. */
static int fleet_up(struct fleet *f, const char **why)
{
	for (int i = 0; i < f->s.registrars; i++)
		begin(f, &f->n[i]);
	run_until(f, 200, NULL);
	*why = "the fleet was not founded";
	if (!operate_done(f, "/v1/found", "{}"))
		return 0;
	*why = "not every part came to have an owner";
	if (!run_until(f, 20000, all_owned))
		return 0;
	run_until(f, 3000, NULL); /* the others join */
	*why = "the table was not acknowledged";
	if (!table(f))
		return 0;
	for (int i = 0; i < f->s.registrars; i++)
		if (f->n[i].r->f.t.edition > f->edition)
			f->edition = f->n[i].r->f.t.edition;
	for (int i = f->s.registrars; i < f->nn; i++) {
		begin(f, &f->n[i]);
		if (i % 16 == 15)
			run_until(f, 25, NULL);
	}
	*why = "the counters do not become ready";
	return run_until(f, 60000, all_ready);
}

static void fleet_load(struct fleet *f)
{
	event(f, HO_CHURN, 0, 0, f->now);
	event(f, HO_LOAD, 0, 0, f->now);
	run_until(f, 4000, NULL);
	for (int i = 0; i < f->nn; i++) {
		memset(f->n[i].t, 0, sizeof f->n[i].t);
		f->n[i].syncs = f->n[i].disk = 0;
	}
	f->asked = f->whole = f->refused = f->unknown = f->sends = f->pieces = f->send_ms = 0;
	f->send_most = 0;
	f->window = f->now;
	if (f->s.changes)
		event(f, HO_CHANGE, 0, 0, f->now + 100);
	if (f->s.restarts)
		event(f, HO_RESTART, 0, 0, f->now + 200);
	run_until(f, 1000 * (int64_t)f->s.seconds, NULL);
}

/* ---- figures -------------------------------------------------------------------------------------- */

static void row(struct hollow_result *r, double mean, double most, const char *fmt, ...) __attribute__((format(printf, 4, 5)));
static void row(struct hollow_result *r, double mean, double most, const char *fmt, ...)
{
	struct hollow_row w = { "", mean, most };
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(w.key, sizeof w.key, fmt, ap);
	va_end(ap);
	if (most > 0)
		arrput(r->v, w);
}

static const char *slot_name(int slot, int counter)
{
	static const char *const ctr[] = { "tick", "msg",  "exchange", "gone",  "piece", "done",   "look",
					   "web",  "stop", "asked",    "began", "ended", "watched" };
	static const char *const reg[] = { "tick", "msg",  "synced", "web",    "look",   "stop",
					   "doc",  "read", "name",   "listed", "looked", "ordered" };
	const ProtobufCFieldDescriptor *d;
	unsigned k = (unsigned)slot - OUTSIDE;

	if (slot < OUTSIDE) {
		d = protobuf_c_message_descriptor_get_field(&nl__msg__descriptor, (unsigned)slot);
		return d ? d->name : "other";
	}
	return slot == SLOT_RUN                           ? "run"
	       : slot == SLOT_ORDER                       ? "order"
	       : slot == SLOT_OUT                         ? "passed"
	       : counter && k < sizeof ctr / sizeof *ctr  ? ctr[k]
	       : !counter && k < sizeof reg / sizeof *reg ? reg[k]
							  : "event";
}

/* What callers' own bytes cost is not control. */
static int is_data(int slot, int counter)
{
	int k = slot - OUTSIDE;

	return slot == SLOT_RUN || slot == SLOT_OUT ||
	       (counter && (k == ROUTER_EXCHANGE || k == ROUTER_GONE || k == ROUTER_PIECE || k == ROUTER_DONE ||
			    k == ROUTER_ASKED || k == ROUTER_BEGAN || k == ROUTER_ENDED));
}

enum role { ROLE_COUNTER, ROLE_RELAY, ROLE_REGISTRAR, ROLES };
static const char *const role_name[] = { "counter", "relay", "registrar" };

static int has_role(const struct node *n, enum role role)
{
	return role == ROLE_REGISTRAR ? n->r != NULL : n->c && (role == ROLE_COUNTER || arrlen(n->c->relay.down));
}

enum measure { SENT, SENT_BYTES, HEARD, HEARD_BYTES, CPU, CODEC, MEASURES };
static const char *const measure_name[] = { "sent", "sent_bytes", "heard", "heard_bytes", "cpu_us", "codec_us" };

static double of(const struct tally *t, enum measure m)
{
	return m == SENT          ? (double)t->sent
	       : m == SENT_BYTES  ? (double)t->sent_bytes
	       : m == HEARD       ? (double)t->heard
	       : m == HEARD_BYTES ? (double)t->heard_bytes
	       : m == CPU         ? (double)t->ns / 1000
				  : (double)t->codec_ns / 1000;
}

static void role_rows(struct fleet *f, struct hollow_result *r, enum role role)
{
	double n = 0;

	for (int i = 0; i < f->nn; i++)
		n += has_role(&f->n[i], role);
	if (n < 1)
		return;
	row(r, n, n, "%s.nodes", role_name[role]);
	for (int m = 0; m < MEASURES; m++) {
		double ctl = 0, data = 0, ctl_most = 0, data_most = 0, s = f->s.seconds;

		for (int slot = 0; slot < SLOT_MOST; slot++) {
			double sum = 0, most = 0;

			for (int i = 0; i < f->nn; i++)
				if (has_role(&f->n[i], role)) {
					double v = of(&f->n[i].t[slot], (enum measure)m);

					sum += v;
					most = v > most ? v : most;
				}
			row(r, sum / n / s, most / s, "%s.%s.%s", role_name[role], measure_name[m],
			    slot_name(slot, role != ROLE_REGISTRAR));
		}
		for (int i = 0; i < f->nn; i++) {
			double c = 0, d = 0;

			for (int slot = 0; slot < SLOT_MOST && has_role(&f->n[i], role); slot++)
				*(is_data(slot, role != ROLE_REGISTRAR) ? &d : &c) += of(&f->n[i].t[slot], (enum measure)m);
			ctl += c;
			data += d;
			ctl_most = c > ctl_most ? c : ctl_most;
			data_most = d > data_most ? d : data_most;
		}
		row(r, ctl / n / s, ctl_most / s, "%s.%s.=control", role_name[role], measure_name[m]);
		row(r, data / n / s, data_most / s, "%s.%s.=data", role_name[role], measure_name[m]);
	}
}

static void disk_rows(struct fleet *f, struct hollow_result *r)
{
	double syncs = 0, bytes = 0, syncs_most = 0, bytes_most = 0, n = f->s.registrars, s = f->s.seconds;

	for (int i = 0; i < f->s.registrars; i++) {
		const struct node *x = &f->n[i];

		syncs += (double)x->syncs;
		bytes += (double)x->disk;
		syncs_most = (double)x->syncs > syncs_most ? (double)x->syncs : syncs_most;
		bytes_most = (double)x->disk > bytes_most ? (double)x->disk : bytes_most;
	}
	row(r, syncs / n / s, syncs_most / s, "registrar.disk.syncs");
	row(r, bytes / n / s, bytes_most / s, "registrar.disk.bytes");
}

static void fleet_rows(struct fleet *f, struct hollow_result *r)
{
	double sum = 0, most = 0;
	int n = 0;

	row(r, (double)f->asked, (double)f->asked, "fleet.asked");
	row(r, (double)f->whole, (double)f->whole, "fleet.whole");
	row(r, (double)f->refused, (double)f->refused, "fleet.refused");
	row(r, (double)f->unknown, (double)f->unknown, "fleet.unknown");
	row(r, (double)f->pieces, (double)f->pieces, "fleet.pieces");
	if (f->sends)
		row(r, (double)f->send_ms / (double)f->sends, (double)f->send_most, "fleet.send_ms");
	for (ptrdiff_t i = 0; i < arrlen(f->change); i++) {
		const struct change *c = &f->change[i];

		if (!c->acked || c->edition >= (uint64_t)arrlen(f->reached) || f->reached[c->edition].n < f->s.nodes)
			continue;
		n++;
		sum += (double)(f->reached[c->edition].last - c->acked);
		if ((double)(f->reached[c->edition].last - c->acked) > most)
			most = (double)(f->reached[c->edition].last - c->acked);
	}
	row(r, n, n, "fleet.changes_in_force");
	if (n)
		row(r, sum / n, most, "fleet.in_force_ms");
}

static double rss(void)
{
	FILE *f = fopen("/proc/self/statm", "r");
	long size = 0, res = 0;

	if (!f)
		return 0;
	if (fscanf(f, "%ld %ld", &size, &res) != 2)
		res = 0;
	fclose(f);
	return (double)res * (double)sysconf(_SC_PAGESIZE);
}

/* What each structure takes by itself, built through its own functions. */
static void structure_rows(struct fleet *f, struct hollow_result *r)
{
	const struct hollow_set *s = &f->s;
	int64_t n = s->parts < 200000 ? s->parts : 200000;
	struct kept k = { 0 };
	struct view w = { 0 };
	struct table tab;
	struct Nl__ConfigSyncReply all = NL__CONFIG_SYNC_REPLY__INIT;
	enum { EVENTS = 100 }; /* of one message */
	uint64_t keys[EVENTS];
	struct Nl__Kept kept = NL__KEPT__INIT;
	struct Nl__KeptAll heard = NL__KEPT_ALL__INIT;
	struct Nl__Kept *one = &kept;
	struct Nl__Msg m = NL__MSG__INIT;
	apr_pool_t *p;
	size_t was = heap(), bytes;
	int64_t t = cpu_ns();
	uint8_t *d;

	for (int64_t i = 0; i < n; i++) {
		struct kept_copy c = { 0 };

		c.server = (uint32_t)(i % s->servers);
		c.maker = (uint32_t)(i % s->tenants);
		kept_put(&k, core_rand(&f->rng), &c);
	}
	t = cpu_ns() - t;
	if (n) {
		row(r, (double)(heap() - was) / (double)n, (double)(heap() - was) / (double)n, "state.kept_part_bytes");
		row(r, (double)t / (double)n, (double)t / (double)n, "state.kept_put_ns");
	}
	kept_clear(&k);
	for (int i = 0; i < EVENTS; i++)
		keys[i] = core_rand(&f->rng);
	m.body_case = NL__MSG__BODY_KEPT_ALL;
	m.kept_all = &heard;
	heard.n_k = 1;
	heard.k = &one;
	kept.server = "s1000";
	kept.n_added = EVENTS;
	kept.added = keys;
	bytes = nl__msg__get_packed_size(&m);
	d = malloc(bytes);
	nl__msg__pack(&m, d);
	t = cpu_ns();
	for (int i = 0; i < EVENTS; i++)
		nl__msg__free_unpacked(nl__msg__unpack(NULL, bytes, d), NULL);
	row(r, (double)bytes / EVENTS, (double)bytes / EVENTS, "state.kept_event_bytes");
	row(r, (double)(cpu_ns() - t) / EVENTS / EVENTS, (double)(cpu_ns() - t) / EVENTS / EVENTS, "state.kept_event_unpack_ns");
	free(d);
	was = heap();
	for (int i = 0; i < s->tenants; i++) {
		struct Nl__Value v = NL__VALUE__INIT;
		struct Nl__Purge q = NL__PURGE__INIT;
		char name[20];

		snprintf(name, sizeof name, "t%d", i);
		q.why = PURGE_TENANT;
		q.tenant = name;
		v.tick = 1;
		v.purge = &q;
		view_apply(&w, &v);
	}
	row(r, (double)(heap() - was) / s->tenants, (double)(heap() - was) / s->tenants, "state.purge_subject_bytes");
	view_clear(&w);
	apr_pool_create(&p, f->pool);
	table_since(&f->n[f->nn - 1].c->f.t, 0, &all, p);
	was = heap();
	table_open(&tab);
	all.whole = 1;
	if (table_follow(&tab, &all) && all.n_set)
		row(r, (double)(heap() - was) / (double)all.n_set, (double)(heap() - was) / (double)all.n_set, "state.row_bytes");
	table_close(&tab);
	row(r, (double)protobuf_c_message_get_packed_size(&all.base), (double)protobuf_c_message_get_packed_size(&all.base),
	    "state.table_packed_bytes");
	apr_pool_destroy(p);
}

/* Closing the roles one after the other says what each held. */
static void memory_rows(struct fleet *f, struct hollow_result *r)
{
	double all = rss();
	size_t was;

	apr_allocator_max_free_set(apr_pool_allocator_get(apr_pool_parent_get(f->pool)), 1);
	was = heap();
	for (int i = f->s.registrars; i < f->nn; i++)
		end(&f->n[i]);
	row(r, (double)(was - heap()) / f->s.nodes, (double)(was - heap()) / f->s.nodes, "counter.memory.bytes");
	was = heap();
	for (int i = 0; i < f->s.registrars; i++)
		end(&f->n[i]);
	row(r, (double)(was - heap()) / f->s.registrars, (double)(was - heap()) / f->s.registrars, "registrar.memory.bytes");
	row(r, all, all, "fleet.rss_bytes");
}

static void fleet_free(struct fleet *f)
{
	for (int i = 0; i < f->nn; i++) {
		end(&f->n[i]);
		arrfree(f->n[i].o.v);
		arrfree(f->n[i].writes);
	}
	for (int i = 0; i < f->s.servers; i++) {
		arrfree(f->sv[i].kept);
		arrfree(f->sv[i].log);
		arrfree(f->sv[i].watch);
		free(f->sv[i].text);
	}
	for (ptrdiff_t i = 0; i < arrlen(f->q); i++)
		free(f->q[i].d);
	arrfree(f->q);
	arrfree(f->run);
	arrfree(f->idle);
	arrfree(f->change);
	arrfree(f->reached);
	for (ptrdiff_t i = 0; i < arrlen(f->cache_namespace); i++)
		free(f->cache_namespace[i]);
	arrfree(f->cache_namespace);
	shfree(f->shelves);
	hmfree(f->by);
	hmfree(f->asks);
	free(f->n);
	free(f->sv);
	apr_pool_destroy(f->pool);
}

int hollow_run(const struct hollow_set *s, struct hollow_result *r, const char **why)
{
	struct fleet f;
	int ok;

	memset(&f, 0, sizeof f);
	memset(r, 0, sizeof *r);
	fleet_make(&f, s);
	ok = fleet_up(&f, why);
	if (ok) {
		fleet_load(&f);
		for (int i = 0; i < ROLES; i++)
			role_rows(&f, r, (enum role)i);
		disk_rows(&f, r);
		fleet_rows(&f, r);
		structure_rows(&f, r);
		memory_rows(&f, r);
	}
	fleet_free(&f);
	return ok;
}

double hollow_get(const struct hollow_result *r, const char *key)
{
	for (ptrdiff_t i = 0; i < arrlen(r->v); i++)
		if (!strcmp(r->v[i].key, key))
			return r->v[i].mean;
	return -1;
}

void hollow_print(const struct hollow_result *r, int csv, FILE *f)
{
	fprintf(f, csv ? "key,mean,most\n" : "%-44s %16s %16s\n", "a second and node, unless it says otherwise", "mean", "most");
	for (ptrdiff_t i = 0; i < arrlen(r->v); i++)
		fprintf(f, csv ? "%s,%.3f,%.3f\n" : "%-44s %16.2f %16.2f\n", r->v[i].key, r->v[i].mean, r->v[i].most);
}

void hollow_free(struct hollow_result *r) { arrfree(r->v); }

/* ---- sizes -------------------------------------------------------------------------------------------- */

/* Coefficients as runs showed them, rounded up (docs/CAPACITY.md). */
uint64_t hollow_needs(const struct hollow_set *s)
{
	uint64_t nodes = (uint64_t)s->nodes + (uint64_t)s->registrars, svc = (uint64_t)s->servers,
		 rows = svc + 2 * (uint64_t)s->tenants + 2 * (uint64_t)s->lanes;

	return (32u << 20) + nodes * (200000 + 900 * rows) + (uint64_t)s->nodes * 300 * (uint64_t)s->parts + svc * 1000 +
	       150 * (uint64_t)s->parts + (uint64_t)s->rate * (uint64_t)(s->seconds + 4) * 1500 + (uint64_t)s->events * 100;
}

const char *hollow_refuse(const struct hollow_set *s, char *buf, size_t n)
{
	const struct {
		const char *name;
		int64_t v, least, most;
	} in[] = {
		{ "nodes", s->nodes, 1, 4000 },      { "registrars", s->registrars, 3, 24 }, { "servers", s->servers, 1, 20000 },
		{ "tenants", s->tenants, 1, 20000 }, { "lanes", s->lanes, 1, 4000 },         { "zones", s->zones, 0, 200 },
		{ "seconds", s->seconds, 1, 3600 },  { "changes", s->changes, 0, 100000 },   { "restarts", s->restarts, 0, 10000 },
		{ "pieces", s->pieces, 1, 10000 },   { "listed", s->listed, 0, 1 },          { "parts", s->parts, 0, 1000000000 },
		{ "rate", s->rate, 0, 1000000 },     { "events", s->events, 0, 10000000 },
	};
	uint64_t have = s->machine ? s->machine : (uint64_t)sysconf(_SC_PHYS_PAGES) * (uint64_t)sysconf(_SC_PAGESIZE), need;

	for (size_t i = 0; i < sizeof in / sizeof *in; i++)
		if (in[i].v < in[i].least || in[i].v > in[i].most) {
			snprintf(buf, n, "--%s: %lld to %lld", in[i].name, (long long)in[i].least, (long long)in[i].most);
			return buf;
		}
	need = hollow_needs(s);
	if (need > have / 2) {
		snprintf(buf, n, "such a fleet needs about %llu MB, and half of this machine's memory is %llu MB",
			 (unsigned long long)(need >> 20), (unsigned long long)(have / 2 >> 20));
		return buf;
	}
	if (s->parts / s->servers > KEEP_MOST) {
		snprintf(buf, n, "--parts: at most %d at a server, %lld in all", KEEP_MOST, (long long)KEEP_MOST * s->servers);
		return buf;
	}
	return NULL;
}

static int number(const struct arg_str *a, int64_t most, int64_t *v)
{
	char *stop;
	long long n;

	if (!a->count)
		return 1;
	n = strtoll(a->sval[0], &stop, 10);
	if (*stop || stop == a->sval[0] || n < 0 || n > most) {
		fprintf(stderr, "rehearsal: hollow: --%s: a whole number\n", a->hdr.longopts);
		return 0;
	}
	*v = n;
	return 1;
}

int hollow_main(int argc, char **argv)
{
	struct hollow_set s = hollow_default;
	const struct {
		const char *name, *what;
		int *i;
		int64_t *l;
	} in[] = {
		{ "nodes", "counters", &s.nodes, NULL },
		{ "registrars", "registrars", &s.registrars, NULL },
		{ "servers", "language servers", &s.servers, NULL },
		{ "tenants", "tenants, each with a key", &s.tenants, NULL },
		{ "lanes", "lanes, each with a service while there are servers", &s.lanes, NULL },
		{ "zones", "zones; three are a region; 0: one for 16 counters, 3 to 21", &s.zones, NULL },
		{ "parts", "kept parts at all servers together", NULL, &s.parts },
		{ "rate", "exchanges a second", NULL, &s.rate },
		{ "listed", "1: servers from a list, text at the door; 0: the product's own interface", &s.listed, NULL },
		{ "pieces", "pieces of an answer", &s.pieces, NULL },
		{ "events", "kept parts that come and go a second", NULL, &s.events },
		{ "changes", "changes of the table in the window", &s.changes, NULL },
		{ "restarts", "counters replaced in the window", &s.restarts, NULL },
		{ "seconds", "of virtual time", &s.seconds, NULL },
		{ "seed", "a whole number", NULL, (int64_t *)&s.seed },
	};
	enum { N = sizeof in / sizeof *in };
	struct arg_str *a[N];
	struct arg_lit *csv = arg_lit0(NULL, "csv", "as comma-separated values");
	struct arg_end *stop = arg_end(5);
	void *argtable[N + 2];
	struct hollow_result r = { NULL };
	const char *why;
	char buf[200];
	int rc = 2;

	for (int i = 0; i < N; i++)
		argtable[i] = a[i] = arg_str0(NULL, in[i].name, "N", in[i].what);
	argtable[N] = csv;
	argtable[N + 1] = stop;
	if (arg_parse(argc, argv, argtable)) {
		arg_print_errors(stderr, stop, "rehearsal: hollow");
		fprintf(stderr, "Usage: rehearsal hollow");
		arg_print_syntax(stderr, argtable, "\n");
		arg_print_glossary(stderr, argtable, "  %-16s %s\n");
		goto end;
	}
	for (int i = 0; i < N; i++) {
		int64_t v = in[i].i ? *in[i].i : *in[i].l;

		if (!number(a[i], in[i].i ? INT32_MAX : INT64_MAX, &v))
			goto end;
		if (in[i].i)
			*in[i].i = (int)v;
		else
			*in[i].l = v;
	}
	if ((why = hollow_refuse(&s, buf, sizeof buf))) {
		fprintf(stderr, "rehearsal: hollow: %s\n", why);
		goto end;
	}
	rc = 1;
	if (!hollow_run(&s, &r, &why)) {
		fprintf(stderr, "rehearsal: hollow: %s\n", why);
		goto end;
	}
	hollow_print(&r, csv->count, stdout);
	hollow_free(&r);
	rc = 0;
end:
	arg_freetable(argtable, N + 2);
	return rc;
}
