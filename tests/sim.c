#include "sim.h"

#include <apr_strings.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

static uint64_t rnd(struct sim *s, uint64_t n) { return n ? core_rand(&s->rng) % n : 0; }

void sim_breach(struct sim *s, const char *fmt, ...)
{
	va_list ap;
	int k;

	if (s->bad[0])
		return;
	k = snprintf(s->bad, sizeof s->bad, "seed %llu at %lld ms: ", (unsigned long long)s->seed, (long long)s->now);
	va_start(ap, fmt);
	vsnprintf(s->bad + k, sizeof s->bad - (size_t)k, fmt, ap);
	va_end(ap);
}

/* ---- the queue of events ----------------------------------------------------- */

static int before(const struct sim_ev *a, const struct sim_ev *b) { return a->at != b->at ? a->at < b->at : a->seq < b->seq; }

static void push(struct sim *s, struct sim_ev e)
{
	ptrdiff_t i;

	e.seq = ++s->seq;
	arrput(s->q, e);
	for (i = arrlen(s->q) - 1; i && before(&s->q[i], &s->q[(i - 1) / 2]); i = (i - 1) / 2) {
		struct sim_ev t = s->q[i];

		s->q[i] = s->q[(i - 1) / 2];
		s->q[(i - 1) / 2] = t;
	}
}

static struct sim_ev pop(struct sim *s)
{
	struct sim_ev top = s->q[0], lastv = arrpop(s->q);
	ptrdiff_t n = arrlen(s->q), i = 0;

	if (!n)
		return top;
	s->q[0] = lastv;
	for (;;) {
		ptrdiff_t c = 2 * i + 1;
		struct sim_ev t;

		if (c >= n)
			break;
		if (c + 1 < n && before(&s->q[c + 1], &s->q[c]))
			c++;
		if (!before(&s->q[c], &s->q[i]))
			break;
		t = s->q[i];
		s->q[i] = s->q[c];
		s->q[c] = t;
		i = c;
	}
	return top;
}

static void ev_free(struct sim_ev *e) { free(e->d); }

/* ---- disks ---------------------------------------------------------------------- */

static void entries_cut(struct sim_disk_part *p, uint64_t from)
{
	while (arrlen(p->e) && p->from + (uint64_t)arrlen(p->e) - 1 >= from) {
		struct sim_entry e = arrpop(p->e);

		free(e.data);
	}
}

static uint8_t *bytes_dup(const uint8_t *d, size_t n)
{
	uint8_t *c = malloc(n + 1);

	memcpy(c, d, n);
	return c;
}

static void disk_write(struct sim_disk *d, const struct persist *w)
{
	struct sim_disk_part *p = &d->p[w->part];

	p->term = w->term;
	p->vote = w->vote;
	if (w->cut)
		entries_cut(p, w->cut);
	if (w->snap) {
		free(p->data);
		free(p->members);
		p->data = bytes_dup(w->data, w->data_len);
		p->data_len = w->data_len;
		p->members = bytes_dup(w->members, w->members_len);
		p->members_len = w->members_len;
		p->base = w->base;
		p->base_term = w->base_term;
		while (arrlen(p->e) && p->from <= w->drop) {
			free(p->e[0].data);
			arrdel(p->e, 0);
			p->from++;
		}
		if (!arrlen(p->e))
			p->from = w->drop + 1;
	}
	for (size_t i = 0; i < w->n; i++) {
		struct sim_entry e = { w->e[i].term, w->e[i].kind, w->e[i].len, bytes_dup(w->e[i].data, w->e[i].len) };

		entries_cut(p, w->e[i].index);
		if (!arrlen(p->e))
			p->from = w->e[i].index;
		arrput(p->e, e);
	}
}

static void disk_wipe(struct sim_disk *d)
{
	for (int i = 0; i < SHARD_COUNT; i++) {
		entries_cut(&d->p[i], 0);
		arrfree(d->p[i].e);
		free(d->p[i].data);
		free(d->p[i].members);
	}
	memset(d, 0, sizeof *d);
}

static struct persist *persist_copy(const struct persist *w, apr_pool_t *p)
{
	struct persist *c = apr_pmemdup(p, w, sizeof *w);

	c->e = apr_palloc(p, (w->n + 1) * sizeof *c->e);
	for (size_t i = 0; i < w->n; i++) {
		c->e[i] = w->e[i];
		c->e[i].data = apr_pmemdup(p, w->e[i].data, w->e[i].len + 1);
	}
	if (w->snap) {
		c->data = apr_pmemdup(p, w->data, w->data_len + 1);
		c->members = apr_pmemdup(p, w->members, w->members_len + 1);
	}
	return c;
}

static void disk_queue(struct sim *s, struct sim_node *n, const struct persist *w)
{
	struct sim_write x;

	apr_pool_create(&x.p, s->pool);
	x.w = persist_copy(w, x.p);
	arrput(n->writes, x);
}

/* ---- servers ------------------------------------------------------------------------ */

static struct sim_server *server_at(struct sim *s, const char *addr)
{
	for (int i = 0; i < SIM_SERVERS; i++)
		if (s->sv[i].used && !strcmp(s->sv[i].addr, addr))
			return &s->sv[i];
	return NULL;
}

static void server_report(struct sim_server *v, char **body)
{
	size_t n = 256 + 200 * (size_t)arrlen(v->kept), k;

	if (v->odd) {
		*body = malloc(200000);
		k = (size_t)sprintf(*body,
				    v->odd == 1   ? "{\"weights\":\"w1"
				    : v->odd == 2 ? "[1,2]"
						  : "{\"weights\":\"w1\",\"loading\":\"\",\"slots\":%s,\"parts\":[",
				    v->odd == 3 ? "99999999" : "8");
		v->serial++;
		for (int i = 0; i < 1000 && v->odd > 2; i++)
			k += (size_t)sprintf(*body + k,
					     "%s{\"h\":\"%x\",\"w\":\"odd-%d-%d\",\"m\":\"nobody-%d-%d\",\"t\":1,\"n\":1}",
					     i ? "," : "", i, i, v->serial, i, v->serial);
		if (v->odd > 2)
			sprintf(*body + k, "]}");
		return;
	}
	*body = malloc(n);
	k = (size_t)snprintf(*body, n, "{\"weights\":\"%s\",\"loading\":\"%s\",\"slots\":8,\"running\":%d,\"parts\":[", v->weights,
			     v->loading, v->running);
	for (ptrdiff_t i = 0; i < arrlen(v->kept); i++)
		k += (size_t)snprintf(*body + k, n - k, "%s{\"h\":\"%016llx\",\"w\":\"%s\",\"m\":\"%s\",\"t\":%llu,\"n\":%d}",
				      i ? "," : "", (unsigned long long)v->kept[i].h, v->kept[i].w, v->kept[i].m,
				      (unsigned long long)v->kept[i].t, v->kept[i].n);
	snprintf(*body + k, n - k, "]}");
}

static void server_order(struct sim *s, struct sim_server *v, const char *body)
{
	struct json_object *j = json_tokener_parse(body), *x, *d;
	uint64_t fence = 0, rollout = 0;

	if (json_object_object_get_ex(j, "fence", &x))
		fence = json_object_get_uint64(x);
	if (json_object_object_get_ex(j, "giver", &x))
		rollout = strtoull(json_object_get_string(x), NULL, 16);
	s->n_orders++;
	if (v->last_giver && rollout != v->last_giver && s->now - v->last_order < 3000)
		sim_breach(s, "server %s had orders of two givers %lld ms apart", v->name, (long long)(s->now - v->last_order));
	v->last_giver = rollout;
	v->last_order = s->now;
	if (fence < v->fence) {
		json_object_put(j);
		return;
	}
	v->fence = fence;
	if (json_object_object_get_ex(j, "load", &x) && strcmp(v->weights, json_object_get_string(x)) &&
	    strcmp(v->loading, json_object_get_string(x))) {
		struct sim_ev e = { .at = s->now + (s->load_ms ? s->load_ms : 1500 + (int64_t)rnd(s, 1000)),
				    .kind = SIM_LOADED,
				    .server = (int)(v - s->sv) };

		snprintf(v->loading, sizeof v->loading, "%s", json_object_get_string(x));
		v->load_done = e.at;
		push(s, e);
	}
	if (!v->hoard && json_object_object_get_ex(j, "drop", &d))
		for (size_t i = 0; i < json_object_array_length(d); i++) {
			struct json_object *k = json_object_array_get_idx(d, i), *h, *m;

			if (json_object_object_get_ex(k, "h", &h) && json_object_object_get_ex(k, "m", &m))
				for (ptrdiff_t q = arrlen(v->kept) - 1; q >= 0; q--)
					if (v->kept[q].h == strtoull(json_object_get_string(h), NULL, 16) &&
					    !strcmp(v->kept[q].m, json_object_get_string(m)))
						arrdel(v->kept, q);
		}
	json_object_put(j);
}

/* ---- invariants ------------------------------------------------------------------------ */

static void check_value(struct sim *s, const uint8_t *d, size_t n)
{
	struct Nl__Op *op = nl__op__unpack(NULL, n, d);

	if (op && op->op_case == NL__OP__OP_VALUE && op->value->feed < SHARD_COUNT && op->value->index > s->mark[op->value->feed]) {
		struct sim_value v = { op->value->tick, view_subject(op->value->purge) };

		s->mark[op->value->feed] = op->value->index;
		if (arrlen(s->value) && arrlast(s->value).tick >= v.tick)
			sim_breach(s, "tick %llu was published after %llu", (unsigned long long)v.tick,
				   (unsigned long long)arrlast(s->value).tick);
		arrput(s->value, v);
	}
	if (op)
		nl__op__free_unpacked(op, NULL);
}

static int disk_holds(const struct sim_disk_part *d, uint64_t x, uint64_t hash)
{
	const struct sim_entry *e = d->e;

	if (d->base >= x)
		return 1;
	if (!arrlen(e) || x < d->from || x - d->from >= (uint64_t)arrlen(e))
		return 0;
	e += x - d->from;
	return core_hash(e->term * 4 + e->kind, e->data, e->len) == hash;
}

/* Whether a disk was lost so short a time ago that acknowledgements of what it held may still be under way. */
static int lost_just_now(const struct sim *s, const struct sim_node *n)
{
	return n->lost_at && s->now - n->lost_at <= s->delay + s->jitter + s->far;
}

/* On how many disks an entry is, whatever their machines think of it. */
static int copies(const struct sim *s, int part, uint64_t x, uint64_t hash)
{
	int n = 0;

	for (int i = 0; i < SIM_REGS; i++)
		n += disk_holds(&s->n[i].disk.p[part], x, hash) ||
		     (lost_just_now(s, &s->n[i]) && disk_holds(&s->n[i].lost_disk.p[part], x, hash));
	return n;
}

/* Committed entries agree everywhere, for ever, and are on two disks at the least when the first node knows of it. */
static void check_logs(struct sim *s, struct sim_node *n)
{
	for (int i = 0; i < SHARD_COUNT; i++) {
		struct raft *p = &n->r->part[i];

		if (n->checked[i] < p->base)
			n->checked[i] = p->base;
		while (n->checked[i] < p->commit) {
			uint64_t x = ++n->checked[i];
			struct raft_entry *e = &p->log[x - p->base - 1];
			uint64_t h = core_hash(e->term * 4 + e->kind, e->data, e->len);

			if ((uint64_t)arrlen(s->hash[i]) >= x) {
				if (s->hash[i][x - 1] != h)
					sim_breach(s, "part %d entry %llu differs", i, (unsigned long long)x);
			} else if ((uint64_t)arrlen(s->hash[i]) == x - 1) {
				arrput(s->hash[i], h);
				if (!s->recovered && copies(s, i, x, h) < 2)
					sim_breach(s, "part %d entry %llu is committed, and synced on %d disks", i,
						   (unsigned long long)x, copies(s, i, x, h));
				if (i == SHARD_PURGE && e->kind == RAFT_ENTRY_OPERATION)
					check_value(s, e->data, e->len);
			} else {
				sim_breach(s, "part %d entry %llu was committed unseen", i, (unsigned long long)x);
			}
		}
	}
}

static int64_t local(const struct sim *s, const struct sim_node *n) { return s->now + n->skew; }

static void check_owners(struct sim *s)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		int who = -1;

		for (int k = 0; k < SIM_REGS; k++)
			if (s->n[k].used && s->n[k].up && s->n[k].r && raft_has_lease(&s->n[k].r->part[i], local(s, &s->n[k]))) {
				if (who >= 0)
					sim_breach(s, "part %u has two licensed owners, %d and %d", i, who, k);
				who = k;
			}
	}
}

/* The slow plain model of the view: every value at or below the horizon is known, by its subject. */
static void check_relay(struct sim *s, int node, struct relay *y)
{
	for (ptrdiff_t i = arrlen(s->value) - 1; i >= 0 && i > arrlen(s->value) - 40; i--) {
		struct view_row *h = y->w.h;
		ptrdiff_t k;

		if (s->value[i].tick > y->k.horizon)
			continue;
		k = h ? hmgeti(h, s->value[i].key) : -1;
		if (k < 0 || h[k].value->tick < s->value[i].tick)
			sim_breach(s, "node %d has horizon %llu but not the value at %llu", node, (unsigned long long)y->k.horizon,
				   (unsigned long long)s->value[i].tick);
	}
}

/* Whoever sends has every edition that was acknowledged two seconds before, whatever it thinks of its own age. */
static void check_in_force(struct sim *s, int i)
{
	struct sim_node *n = &s->n[i];

	for (ptrdiff_t k = arrlen(s->ack) - 1; n->c && k >= 0 && k > arrlen(s->ack) - 20; k--)
		if (s->now - s->ack[k].at > 2000 && n->c->f.t.edition < s->ack[k].edition)
			sim_breach(s, "counter %d serves with edition %llu, %lld ms after %llu was acknowledged", i,
				   (unsigned long long)n->c->f.t.edition, (long long)(s->now - s->ack[k].at),
				   (unsigned long long)s->ack[k].edition);
}

/* A machine never goes back, across its restarts too; one that knows none yet takes nothing. */
static void check_edition(struct sim *s, int i, uint64_t edition)
{
	if (edition && edition < s->n[i].edition)
		sim_breach(s, "node %d went back from edition %llu to %llu", i, (unsigned long long)s->n[i].edition,
			   (unsigned long long)edition);
	if (edition > s->n[i].edition)
		s->n[i].edition = edition;
}

/* Each request that was taken has ended once or is under way; places at servers and in lines are held by these alone, and
 * what waits was placed by the table in force. */
static void check_requests(struct sim *s, int i)
{
	const struct router *c = s->n[i].c;
	long own = 0, waiting = 0, running = 0, placed = 0, in_lines = 0, in_places = 0, tokens = 0;

	if (!router_balanced(c))
		sim_breach(s, "counter %d has lost a request, or ended one twice", i);
	for (ptrdiff_t k = 0; k < arrlen(c->all); k++) {
		const struct client_request *x = c->all[k];

		waiting += x->state == REQUEST_WAITING;
		running += x->state != REQUEST_WAITING;
		placed += x->server >= 0;
		tokens += 1 + (x->call != 0) + (x->claim != 0);
		if (x->forwarded && x->state == REQUEST_WAITING && x->edition != c->route_table->edition)
			sim_breach(s, "counter %d holds %s by an old table", i, x->id);
	}
	for (ptrdiff_t k = 0; k < arrlen(c->line); k++) {
		in_lines += c->line[k].n;
		in_places += c->line[k].running;
	}
	for (ptrdiff_t k = 0; k < arrlen(c->sv); k++)
		own += c->sv[k].own;
	if (tokens != hmlen(c->by))
		sim_breach(s, "counter %d finds requests by %ld tokens, not %ld", i, (long)hmlen(c->by), tokens);
	if (in_lines != waiting || in_places != running || own != placed)
		sim_breach(s, "counter %d counts %ld in lines of %ld, %ld in places of %ld, %ld at servers of %ld", i, in_lines,
			   waiting, in_places, running, own, placed);
}

static void check_counter(struct sim *s, int i)
{
	struct sim_node *n = &s->n[i];

	check_requests(s, i);

	check_relay(s, i, &n->c->relay);
	check_edition(s, i, n->c->f.t.edition);
}

static void check_node(struct sim *s, int i)
{
	struct sim_node *n = &s->n[i];

	if (n->c)
		check_counter(s, i);
	if (!n->r)
		return;
	check_logs(s, n);
	check_owners(s);
	check_relay(s, i, &n->r->relay);
	check_edition(s, i, n->r->f.t.edition);
	if (!operator_calls_balance(n->r))
		sim_breach(
		    s,
		    "controller %d: operators' calls: %llu read, %llu answered, %llu refused, %llu unknown, %llu gone, %llu open",
		    i, (unsigned long long)n->r->calls.read, (unsigned long long)n->r->calls.answered,
		    (unsigned long long)n->r->calls.refused, (unsigned long long)n->r->calls.unknown,
		    (unsigned long long)n->r->calls.gone, (unsigned long long)operator_calls_open(n->r));
}

/* ---- callers and runs ------------------------------------------------------------------- */

static struct sim_exch *exch_of(struct sim *s, const char *id)
{
	for (ptrdiff_t i = arrlen(s->x) - 1; i >= 0; i--)
		if (!strcmp(s->x[i].id, id))
			return &s->x[i];
	return NULL;
}

static struct sim_exch *exch_by(struct sim *s, uint64_t token)
{
	for (ptrdiff_t i = arrlen(s->x) - 1; i >= 0; i--)
		if (s->x[i].token == token)
			return &s->x[i];
	return NULL;
}

char *sim_key(int tenant, char buf[65])
{
	memset(buf, 'a' + tenant, 64);
	buf[64] = 0;
	return buf;
}

static void told(struct sim *s, struct sim_exch *x, int how)
{
	x->told = how;
	x->told_at = s->now;
	for (ptrdiff_t i = arrlen(s->asking) - 1; i >= 0 && how == SIM_REFUSED; i--)
		if (s->asking[i].token == x->token) {
			s->asking[i].refused = s->now;
			for (ptrdiff_t k = 0; k < arrlen(s->run); k++)
				if (s->run[k].node == s->asking[i].node && s->run[k].life == s->asking[i].life &&
				    s->run[k].asking == x->token)
					sim_breach(s, "%s ran, and its caller was told it was refused", x->id);
			break;
		}
	x->token = 0;
	s->n_whole += how == SIM_WHOLE;
	s->n_refused += how == SIM_REFUSED;
	s->n_unknown += how >= SIM_UNKNOWN;
}

/* The asking that a send of this id by this life of a counter is of: one that was not refused, if there is any.
 * Of two that were not, the send does not tell. */
static struct sim_asking *asking_of(struct sim *s, const char *id, int node, uint64_t life, int *n)
{
	struct sim_asking *best = NULL;

	*n = 0;
	for (ptrdiff_t i = 0; i < arrlen(s->asking); i++) {
		struct sim_asking *a = &s->asking[i];

		if (a->node != node || a->life != life || strcmp(a->id, id))
			continue;
		*n += !a->refused;
		if (!best || !a->refused)
			best = a;
	}
	return best;
}

/* A caller hears one end of each asking. */
static void hear_end(struct sim *s, uint64_t token)
{
	for (ptrdiff_t i = arrlen(s->asking) - 1; i >= 0; i--)
		if (s->asking[i].token == token) {
			if (s->asking[i].ended)
				sim_breach(s, "%s was told its end twice", s->asking[i].id);
			s->asking[i].ended = 1;
			return;
		}
}

static void hear_answer(struct sim *s, uint64_t token, int status, int retry_ms, const char *body)
{
	struct sim_exch *x = exch_by(s, token);

	hear_end(s, token);
	if (!x)
		return;
	x->retry_ms = retry_ms;
	if (x->next)
		sim_breach(s, "%s was answered %d in the middle of its stream", x->id, status);
	told(s, x, strstr(body, "\"refused\"") ? SIM_REFUSED : strstr(body, "\"claimed\"") ? SIM_LOST : SIM_UNKNOWN);
}

static void hear_piece(struct sim *s, uint64_t token, const char *body, size_t len, int end, int ok)
{
	struct sim_exch *x = exch_by(s, token);
	struct json_object *j, *v;
	char *text, want[100];

	if (end)
		hear_end(s, token);
	if (!x)
		return;
	if (!end && s->removed && shgeti(s->removed, x->key) >= 0 && s->now - shget(s->removed, x->key) > 5000)
		sim_breach(s, "%s heard a piece with a key that was removed %lld ms before", x->id,
			   (long long)(s->now - shget(s->removed, x->key)));
	text = malloc(len + 1);
	memcpy(text, body, len);
	text[len] = 0;
	j = json_tokener_parse(text);
	if (end && !ok) {
		told(s, x, SIM_UNKNOWN);
	} else if (end) {
		int n = json_object_object_get_ex(j, "pieces", &v) ? json_object_get_int(v) : -1;

		if (n != x->next || n != 3 + (int)(core_hashs(1, x->id) % 4))
			sim_breach(s, "%s was told whole after %d pieces", x->id, x->next);
		told(s, x, SIM_WHOLE);
	} else {
		snprintf(want, sizeof want, "%s#%d", x->id, x->next);
		if (!json_object_object_get_ex(j, "text", &v) || strcmp(json_object_get_string(v), want))
			sim_breach(s, "%s heard another piece than %s", x->id, want);
		if (!x->next++)
			x->first_at = s->now;
	}
	json_object_put(j);
	free(text);
}

void sim_ask(struct sim *s, int node, const char *id, int tenant, const char *lane, int pick)
{
	struct sim_exch *x = exch_of(s, id), n;
	struct sim_ev e = { .at = s->now, .kind = SIM_ASK, .node = node, .life = s->n[node].life, .token = ++s->token };
	struct sim_asking a;
	char body[600];

	if (!x) {
		memset(&n, 0, sizeof n);
		snprintf(n.id, sizeof n.id, "%s", id);
		arrput(s->x, n);
		x = &arrlast(s->x);
	}
	x->tenant = tenant;
	x->lane = lane;
	x->pick = pick;
	x->node = node;
	x->next = 0;
	x->told = SIM_OPEN;
	x->token = e.token;
	x->asked++;
	x->tries = 0; /* a caller's own asking anew is no resend */
	x->asked_at = s->now;
	memset(&a, 0, sizeof a);
	snprintf(a.id, sizeof a.id, "%s", id);
	a.node = node;
	a.life = e.life;
	a.token = e.token;
	arrput(s->asking, a);
	sim_key(tenant, x->key);
	snprintf(
	    body, sizeof body,
	    "{\"lane\":\"%s\",\"id\":\"%s\",\"limit_ms\":%d,\"parts\":[\"the part of all of %s, quite long as such parts are\",\"the part of tenant %d\",\"matter %d of that tenant, with what was written about it and the rules that apply to it\"],\"tail\":\"%s\"}",
	    lane, id, s->limit_ms, lane, tenant, pick, id);
	e.d = (uint8_t *)strdup(body);
	push(s, e);
}

void sim_leave(struct sim *s, const char *id)
{
	struct sim_exch *x = exch_of(s, id);
	struct sim_ev e = { .at = s->now, .kind = SIM_LEAVE, .node = x->node, .life = s->n[x->node].life, .token = x->token };

	told(s, x, SIM_LOST);
	x->left = 1;
	push(s, e);
}

int sim_open_ask(struct sim *s, const char *id) { return exch_of(s, id) && exch_of(s, id)->token; }
void sim_forget(struct sim *s, const char *id) { told(s, exch_of(s, id), SIM_LOST); }

int sim_lives(const struct sim *s, const char *id)
{
	for (ptrdiff_t i = 0; i < arrlen(s->asking); i++)
		if (!strcmp(s->asking[i].id, id))
			return s->n[s->asking[i].node].up && s->n[s->asking[i].node].life == s->asking[i].life;
	return 0;
}

void sim_stop(struct sim *s, int node)
{
	struct sim_ev e = { .at = s->now, .kind = SIM_STOP, .node = node, .life = s->n[node].life };

	push(s, e);
}

/* The counter that served it is gone: so is the connection. */
static void callers_lose(struct sim *s, int node)
{
	for (ptrdiff_t i = 0; i < arrlen(s->x); i++)
		if (s->x[i].token && s->x[i].node == node)
			told(s, &s->x[i], SIM_LOST);
}

/* A send must not name a part that was withdrawn at a tick its counter knew of. */
static void check_withdrawn(struct sim *s, struct sim_server *v, const struct sim_kept *c, uint64_t stamp)
{
	struct Nl__Purge p[3] = { NL__PURGE__INIT, NL__PURGE__INIT, NL__PURGE__INIT };

	p[0].why = PURGE_WEIGHTS;
	p[0].service = v->service;
	p[0].weights = (char *)(uintptr_t)c->w;
	p[1].why = PURGE_TENANT;
	p[1].tenant = (char *)(uintptr_t)c->m;
	p[2].why = PURGE_SERVER;
	p[2].server = v->name;
	for (ptrdiff_t i = 0; i < arrlen(s->value); i++)
		for (int k = 0; k < 3; k++)
			if (s->value[i].key == view_subject(&p[k]) && s->value[i].tick > c->t && s->value[i].tick <= stamp)
				sim_breach(s, "a part of %s made at tick %llu at %s was reused at horizon %llu, withdrawn at %llu",
					   c->m, (unsigned long long)c->t, v->name, (unsigned long long)stamp,
					   (unsigned long long)s->value[i].tick);
}

/* The very copy that a send names, as a server has it; NULL when it has none. */
static struct sim_kept *copy_of(struct sim_server *v, struct json_object *e, const char *weights)
{
	struct json_object *h, *m, *t;

	json_object_object_get_ex(e, "h", &h);
	json_object_object_get_ex(e, "m", &m);
	json_object_object_get_ex(e, "t", &t);
	for (ptrdiff_t q = 0; q < arrlen(v->kept); q++)
		if (v->kept[q].h == strtoull(json_object_get_string(h), NULL, 16) &&
		    !strcmp(v->kept[q].m, json_object_get_string(m)) && v->kept[q].t == json_object_get_uint64(t) &&
		    !strcmp(v->kept[q].w, weights))
			return &v->kept[q];
	return NULL;
}

/* A kept part is used for a tenant, at the server that kept it or fetched from there. */
static void check_used(struct sim *s, struct sim_server *v, const struct sim_kept *k, const char *tenant, uint64_t stamp)
{
	check_withdrawn(s, v, k, stamp);
	for (ptrdiff_t i = 0; i < arrlen(s->clear); i++) {
		const struct sim_clear *c = &s->clear[i];

		if (s->now < c->after || (c->tenant[0] && strcmp(c->tenant, k->m)) ||
		    (c->service[0] && strcmp(c->service, v->service)))
			continue;
		s->n_judged++;
		if (k->t < c->made)
			sim_breach(
			    s, "a part of %s made at tick %llu was used at %s, %lld ms after all before tick %llu was cleared",
			    k->m, (unsigned long long)k->t, v->name, (long long)(s->now - c->after), (unsigned long long)c->made);
	}
	if (strcmp(k->m, tenant))
		for (int w = 0; w < 16; w++)
			if (s->wall[w].walled && s->now - s->wall[w].since > 2000 && (atoi(tenant + 1) == w || atoi(k->m + 1) == w))
				sim_breach(s, "%s used a part made by %s, one of them walled off %lld ms ago", tenant, k->m,
					   (long long)(s->now - s->wall[w].since));
}

static int run_reuse(struct sim *s, struct sim_server *v, struct json_object *j, const char *tenant, uint64_t stamp)
{
	struct json_object *list;
	int have = 0;

	if (!json_object_object_get_ex(j, "reuse", &list))
		return 0;
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		struct sim_kept *k = copy_of(v, json_object_array_get_idx(list, i), v->weights);

		if (!k)
			break;
		have++;
		check_used(s, v, k, tenant, stamp);
	}
	return have;
}

static void keep(struct sim_server *v, const struct sim_kept *k)
{
	for (ptrdiff_t q = 0; q < arrlen(v->kept); q++)
		if (v->kept[q].h == k->h && !strcmp(v->kept[q].m, k->m)) {
			v->kept[q] = *k;
			return;
		}
	arrput(v->kept, *k);
}

/* What a send says to fetch, as far as its source answers within the time that the send allows. */
static int run_fetch(struct sim *s, struct sim_server *v, struct json_object *j, const char *tenant, uint64_t stamp, int have,
		     int *ms)
{
	struct json_object *f, *x, *list;
	struct sim_server *from;
	struct sim_kept got[64];
	int n = 0, wait;
	double takes = 0;

	*ms = -1;
	if (!json_object_object_get_ex(j, "fetch", &f))
		return have;
	json_object_object_get_ex(f, "wait_ms", &x);
	wait = json_object_get_int(x);
	json_object_object_get_ex(f, "from", &x);
	from = server_at(s, json_object_get_string(x));
	json_object_object_get_ex(f, "parts", &list);
	for (size_t i = 0; from && from->up && i < json_object_array_length(list) && n < 64; i++) {
		struct sim_kept *k = copy_of(from, json_object_array_get_idx(list, i), v->weights);

		if (!k)
			break;
		takes += k->n * 400 / 100000.0 * (from->slow_link ? from->slow_link : 1);
		got[n++] = *k;
	}
	if (!from || from->hang || takes > wait) {
		*ms = wait;
		s->n_vain++;
		return have;
	}
	*ms = (int)takes;
	for (int i = 0; i < n; i++) {
		check_used(s, from, &got[i], tenant, stamp);
		keep(v, &got[i]);
	}
	s->n_fetched += (uint64_t)n;
	return have + n;
}

static void stream_at(struct sim *s, ptrdiff_t run, int64_t at)
{
	struct sim_ev e = { .at = at, .kind = SIM_STREAM, .node = s->run[run].node, .token = (uint64_t)run };

	push(s, e);
}

static void broke(struct sim *s, int node, uint64_t life, uint64_t token, int status, int never)
{
	struct sim_ev e = {
		.at = s->now + 1, .kind = SIM_BROKE, .node = node, .life = life, .token = token, .status = status, .step = never
	};

	push(s, e);
}

/* Runs of a tenant at servers, of counters that live: one that is frozen or dead may be beyond its places. */
static void check_limit(struct sim *s, int tenant)
{
	int n = 0;

	for (ptrdiff_t i = 0; i < arrlen(s->run); i++) {
		const struct sim_run *r = &s->run[i];

		n += !r->over && r->tenant == tenant && s->n[r->node].life == r->life && s->n[r->node].up && !s->n[r->node].frozen;
	}
	if (n > s->most[tenant])
		s->most[tenant] = n;
	if (s->limit[tenant] && n > s->limit[tenant])
		sim_breach(s, "tenant t%d has %d runs at once under a limit of %d", tenant, n, s->limit[tenant]);
}

/* A send reaches a server. */
static void run_arrives(struct sim *s, const struct sim_ev *e)
{
	struct sim_server *v = &s->sv[e->server];
	struct json_object *j, *x, *parts;
	struct sim_exch *c;
	struct sim_asking *a;
	struct sim_run r;
	const char *id, *tenant;
	uint64_t stamp;
	int n, have, own, askings, fresh = 0;

	if (!v->up) {
		broke(s, e->node, e->life, e->token, 0, 1);
		return;
	}
	if (s->n[e->node].life == e->life)
		check_in_force(s, e->node);
	j = json_tokener_parse((char *)e->d);
	json_object_object_get_ex(j, "id", &x);
	id = json_object_get_string(x);
	json_object_object_get_ex(j, "tenant", &x);
	tenant = json_object_get_string(x);
	c = exch_of(s, id);
	s->n_sends++;
	arrput(s->send, ((typeof(*s->send)){ s->now, c->tries > 0 }));
	s->n_firsts += c->tries++ == 0;
	if (v->departed && s->now - v->departed > 3000)
		sim_breach(s, "%s was sent %s, %lld ms after its drain was acknowledged", v->name, id,
			   (long long)(s->now - v->departed));
	json_object_object_get_ex(j, "weights", &x);
	if (v->running >= 8 || v->refuse || v->loading[0] || strcmp(json_object_get_string(x), v->weights)) {
		broke(s, e->node, e->life, e->token, 503, 1);
		json_object_put(j);
		return;
	}
	if (c->began++)
		sim_breach(s, "%s ran twice", id);
	a = asking_of(s, id, e->node, e->life, &askings);
	if (!a)
		sim_breach(s, "%s ran for a counter where nobody asked it", id);
	else if (a->refused)
		sim_breach(s, "%s ran %lld ms after its caller was told it was refused", id, (long long)(s->now - a->refused));
	if (s->removed && shgeti(s->removed, c->key) >= 0 && c->asked_at - shget(s->removed, c->key) > 5000)
		sim_breach(s, "%s ran with a key that was removed %lld ms before", id,
			   (long long)(c->asked_at - shget(s->removed, c->key)));
	memset(&r, 0, sizeof r);
	r.node = e->node;
	r.life = e->life;
	r.token = e->token;
	r.server = e->server;
	r.asking = a && askings == 1 ? a->token : 0;
	r.born = (uint64_t)v->load_done;
	r.pieces = 3 + (int)(core_hashs(1, id) % 4);
	snprintf(r.id, sizeof r.id, "%s", id);
	json_object_object_get_ex(j, "x", &x);
	snprintf(r.xid, sizeof r.xid, "%s", json_object_get_string(x));
	json_object_object_get_ex(j, "stamp", &x);
	stamp = json_object_get_uint64(x);
	have = run_reuse(s, v, j, tenant, stamp);
	own = have;
	if (json_object_object_get_ex(j, "reuse", &x) && (size_t)have == json_object_array_length(x))
		have = run_fetch(s, v, j, tenant, stamp, have, &r.fetch_ms);
	else
		r.fetch_ms = -1;
	r.fetched = have - own;
	json_object_object_get_ex(j, "parts", &parts);
	n = (int)json_object_array_length(parts);
	for (int i = 0; i < n; i++) {
		struct json_object *p = json_object_array_get_idx(parts, (size_t)i), *h, *t;
		struct sim_kept k;
		int tokens;

		json_object_object_get_ex(p, "h", &h);
		json_object_object_get_ex(p, "text", &t);
		tokens = (int)strlen(json_object_get_string(t)) / 4 + 1;
		s->n_tokens += (uint64_t)tokens;
		if (i < have)
			continue;
		s->n_fresh += (uint64_t)tokens;
		fresh += tokens;
		memset(&k, 0, sizeof k);
		k.h = strtoull(json_object_get_string(h), NULL, 16);
		snprintf(k.w, sizeof k.w, "%s", v->weights);
		snprintf(k.m, sizeof k.m, "%s", tenant);
		k.t = stamp;
		k.n = tokens;
		keep(v, &k);
		for (int q = 0; q < SIM_SERVERS; q++) /* the store gets what was read anew */
			if (s->sv[q].used && s->sv[q].is_store && s->sv[q].up)
				keep(&s->sv[q], &k);
	}
	r.tenant = atoi(tenant + 1);
	json_object_put(j);
	v->running++;
	arrput(s->run, r);
	check_limit(s, r.tenant);
	stream_at(s, arrlen(s->run) - 1, s->now + 20 + fresh * s->read_ms + (r.fetch_ms > 0 ? r.fetch_ms : 0));
}

static void run_over(struct sim *s, struct sim_run *r)
{
	r->over = 1;
	s->sv[r->server].running--;
}

static void router_do(struct sim *s, int i, const struct router_ev *ev);

/* The next piece of a run leaves its server. */
static void run_streams(struct sim *s, const struct sim_ev *e)
{
	struct sim_run *r = &s->run[e->token];
	struct sim_node *n = &s->n[r->node];
	struct router_ev ev;
	char line[300];

	if (r->over)
		return;
	if (!s->sv[r->server].up) {
		run_over(s, r);
		broke(s, r->node, r->life, r->token, 0, 0);
		return;
	}
	if (!n->up || n->life != r->life) {
		run_over(s, r);
		return;
	}
	if (n->frozen) {
		stream_at(s, (ptrdiff_t)e->token, s->now + 20);
		return;
	}
	memset(&ev, 0, sizeof ev);
	ev.kind = ROUTER_PIECE;
	ev.u.piece.token = r->token;
	ev.u.piece.line = line;
	if (r->next < r->pieces)
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"t\":\"%s#%d\"}", r->xid, r->next, r->id, r->next);
	else if (r->fetch_ms >= 0)
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"end\":true,\"fetch_ms\":%d,\"fetched\":%d}", r->xid, r->next,
			 r->fetch_ms, r->fetched);
	else
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"end\":true}", r->xid, r->next);
	if (s->sv[r->server].bad == 1 && r->next == 1)
		line[6] = line[6] == '0' ? '1' : '0';
	if (s->sv[r->server].bad == 3 && r->next == 2) {
		run_over(s, r);
		broke(s, r->node, r->life, r->token, 200, 0);
		return;
	}
	if (r->next == 1 && (s->sv[r->server].bad == 2 || (s->sv[r->server].bad == 4 && !r->again++)))
		r->next += s->sv[r->server].bad == 2 ? 1 : -1;
	if (r->next++ == r->pieces)
		run_over(s, r);
	else
		stream_at(s, (ptrdiff_t)e->token, s->now + 10 + (int64_t)rnd(s, 10) + s->sv[r->server].slow);
	router_do(s, r->node, &ev);
}

/* ---- the list of servers, and servers that take orders as the platform's do ------------ */

static struct sim_inst *inst_at(struct sim *s, uint64_t addr)
{
	for (ptrdiff_t i = arrlen(s->list.v) - 1; i >= 0; i--)
		if (s->list.v[i].up && core_addr(s->list.v[i].addr) == addr)
			return &s->list.v[i];
	return NULL;
}

int sim_inst(struct sim *s, const char *service, const char *zone, const char *weights)
{
	struct sim_inst v;
	int n = (int)arrlen(s->list.v);

	memset(&v, 0, sizeof v);
	v.up = 1;
	snprintf(v.name, sizeof v.name, "i-%04x", n);
	snprintf(v.service, sizeof v.service, "%s", service);
	snprintf(v.zone, sizeof v.zone, "%s", zone);
	snprintf(v.weights, sizeof v.weights, "%s", weights);
	snprintf(v.before, sizeof v.before, "%s", weights);
	snprintf(v.addr, sizeof v.addr, "127.1.%d.%d:8000", n / 200, n % 200 + 1);
	v.born = s->now;
	arrput(s->list.v, v);
	return n;
}

void sim_inst_drain(struct sim *s, int i)
{
	s->list.v[i].draining = 1;
	s->list.v[i].drained = s->now;
}

void sim_inst_end(struct sim *s, int i, int64_t shown_ms)
{
	s->list.v[i].up = 0;
	s->list.v[i].ended = s->now + shown_ms;
}

/* What the list shows at a moment that is past. */
static void list_pack(struct sim *s, int64_t at, struct sim_ev *e)
{
	struct Nl__ConfigSyncReply a = NL__CONFIG_SYNC_REPLY__INIT;
	struct Nl__Instance *x = calloc((size_t)arrlen(s->list.v) + 1, sizeof *x);

	a.instance = calloc((size_t)arrlen(s->list.v) + 1, sizeof *a.instance);
	for (ptrdiff_t i = 0; i < arrlen(s->list.v); i++) {
		struct sim_inst *v = &s->list.v[i];

		if (v->born > at || (v->ended && v->ended <= at))
			continue;
		nl__instance__init(&x[i]);
		x[i].server = v->name;
		x[i].service = v->service;
		x[i].addr = v->addr;
		x[i].zone = v->zone;
		x[i].slots = s->list.slots ? (uint32_t)s->list.slots : 128;
		x[i].state = v->draining && v->drained <= at;
		x[i].weights = v->changed > at ? v->before : v->weights;
		a.instance[a.n_instance++] = &x[i];
	}
	e->n = nl__config_sync_reply__get_packed_size(&a);
	e->d = malloc(e->n + 1);
	nl__config_sync_reply__pack(&a, e->d);
	free(a.instance);
	free(x);
}

static void list_call(struct sim *s, int i, uint64_t token)
{
	struct sim_node *n = &s->n[i];
	struct sim_ev e = {
		.at = s->now + 2 + s->list.slow, .kind = SIM_LISTED, .node = i, .life = n->life, .token = token, .status = 1
	};
	int64_t *ring = s->list.calls;
	int many = 3 * s->b.list_mille / 3000 + 3;

	if (s->list.n_list >= (uint64_t)many && many < 64 && s->now - ring[(s->list.n_list - (uint64_t)many) % 64] < 2900)
		sim_breach(s, "%d calls to the list in %lld ms", many,
			   (long long)(s->now - ring[(s->list.n_list - (uint64_t)many) % 64]));
	ring[s->list.n_list++ % 64] = s->now;
	if (n->cell || s->now < s->list.away_until || rnd(s, 1000) < (uint64_t)s->list.refuse) {
		e.status = 0;
		e.at += n->cell ? 1000 : 0;
	}
	list_pack(s, s->now - s->list.lag, &e);
	push(s, e);
}

/* A report dates from some hundred ms ago. */
static void inst_look(struct sim *s, int i, const struct cmd *c)
{
	struct sim_node *n = &s->n[i];
	struct sim_inst *v = inst_at(s, c->u.look.addr);
	struct sim_ev e = {
		.at = s->now + 4, .kind = SIM_LOOKED, .node = i, .life = n->life, .token = c->u.look.token, .status = 200
	};
	int64_t at = s->now - s->list.dated;

	s->list.n_look++;
	if (n->cell || !v) {
		e.status = 0;
		e.at += 400;
	} else if (strcmp(v->name, c->u.look.server)) {
		e.status = 421;
	} else {
		e.d = (uint8_t *)strdup(v->changed > at ? v->before : v->weights);
		e.step = v->changed > at || (v->loading[0] && v->told_at <= at);
	}
	push(s, e);
}

struct order {
	uint64_t addr, fence;
	char server[24], weights[32], holder[20];
};

static void inst_order(struct sim *s, int i, const struct cmd *c)
{
	struct sim_node *n = &s->n[i];
	struct sim_ev e = {
		.at = s->now + 1 + (int64_t)rnd(s, 3), .kind = SIM_ORDER, .node = i, .life = n->life, .token = c->u.order.token
	};
	struct order *q;

	s->list.n_under += c->u.order.under_runs != 0;
	if (local(s, n) > c->u.order.not_after || n->cell || !inst_at(s, c->u.order.addr)) {
		e.kind = SIM_ORDERED;
		e.step = 1;
		e.at += n->cell ? 200 : 0;
		push(s, e);
		return;
	}
	q = calloc(1, sizeof *q);
	q->addr = c->u.order.addr;
	q->fence = c->u.order.fence;
	snprintf(q->server, sizeof q->server, "%s", c->u.order.server);
	snprintf(q->weights, sizeof q->weights, "%s", c->u.order.weights);
	snprintf(q->holder, sizeof q->holder, "%s", c->u.order.holder);
	e.d = (uint8_t *)q;
	push(s, e);
}

static int loading_now(const struct sim *s)
{
	int n = 0;

	for (ptrdiff_t i = 0; i < arrlen(s->list.v); i++)
		n += s->list.v[i].up && s->list.v[i].loading[0];
	return n;
}

static int order_arrives(struct sim *s, const struct order *q)
{
	struct sim_inst *v = inst_at(s, q->addr);
	struct sim_ev e = { .kind = SIM_LOAD_END };
	int n;

	if (!v)
		return 0;
	s->list.n_order++;
	if (strcmp(v->name, q->server))
		return 421;
	if (v->ordered && strcmp(v->holder, q->holder) && s->now - v->ordered < s->b.lease_ms)
		sim_breach(s, "server %s had orders of two holders %lld ms apart", v->name, (long long)(s->now - v->ordered));
	v->ordered = s->now;
	if (strcmp(v->holder, q->holder) && v->fence == q->fence)
		sim_breach(s, "server %s had one fence of two holders", v->name);
	if (q->fence < v->fence) {
		s->list.n_fenced++;
		return 412;
	}
	v->fence = q->fence;
	snprintf(v->holder, sizeof v->holder, "%s", q->holder);
	if (!strcmp(v->weights, q->weights))
		return 200;
	if (v->refuses)
		return 503;
	if (v->loading[0]) {
		s->list.n_busy++;
		return 409;
	}
	v->told_at = s->now;
	for (int k = 0; k < v->loads && k < 8; k++)
		if (!strcmp(v->loaded[k], q->weights))
			sim_breach(s, "server %s loads %s twice", v->name, q->weights);
	snprintf(v->loaded[v->loads++ % 8], sizeof v->loaded[0], "%s", q->weights);
	snprintf(v->loading, sizeof v->loading, "%s", q->weights);
	s->list.n_load++;
	n = loading_now(s);
	if (n > s->list.most)
		s->list.most = n;
	e.at = v->load_done = s->now + s->list.load_ms * (n > s->list.at_once ? n : s->list.at_once) / s->list.at_once;
	e.server = (int)(v - s->list.v);
	push(s, e);
	return 202;
}

static void load_ends(struct sim *s, const struct sim_ev *e)
{
	struct sim_inst *v = &s->list.v[e->server];

	if (!v->up || v->load_done != e->at)
		return;
	memcpy(v->before, v->weights, sizeof v->before);
	memcpy(v->weights, v->loading, sizeof v->weights);
	v->loading[0] = 0;
	v->changed = s->now;
}

/* ---- performing commands --------------------------------------------------------------- */

static int node_at(struct sim *s, uint64_t addr)
{
	for (int i = 0; i < SIM_NODES; i++)
		if (s->n[i].used && s->n[i].addr == addr)
			return i;
	return -1;
}

static int64_t way(struct sim *s, const struct sim_node *a, const struct sim_node *b)
{
	return s->delay + (int64_t)rnd(s, (uint64_t)s->jitter + 1) + (strcmp(a->zone, b->zone) ? s->far : 0);
}

/* An operator hears a controller's answer. */
static void operator_hears(struct sim *s, struct sim_web w)
{
	const struct sim_node *n = &s->n[w.node];

	w.at = s->now;
	w.by_leader = raft_has_lease(&n->r->part[SHARD_CONTROL], local(s, n));
	if (w.status == 200 && !strncmp(w.body, "{\"edition\":", 11) && !strstr(w.body, "rows")) {
		struct sim_ack a = { strtoull(w.body + 11, NULL, 10), s->now };

		arrput(s->ack, a);
	}
	arrput(s->web, w);
}

/* An answer that is written later than its process made it, and by when it must be written. */
struct late_answer {
	struct sim_web w;
	int64_t not_after;
};

static void answer_leaves(struct sim *s, int node, const struct cmd *c)
{
	struct late_answer late = { .w = { .token = c->u.answer.token,
					   .status = c->u.answer.status,
					   .to = c->u.answer.to,
					   .len = c->u.answer.len,
					   .node = node,
					   .retry_ms = c->u.answer.retry_ms },
				    .not_after = c->u.answer.not_after };
	struct sim_ev e = {
		.at = s->now + (int64_t)rnd(s, (uint64_t)s->answer_ms), .kind = SIM_ANSWERED, .node = node, .life = s->n[node].life
	};

	snprintf(late.w.body, sizeof late.w.body, "%s", c->u.answer.body);
	late.w.len = c->u.answer.len ? c->u.answer.len : strlen(c->u.answer.body);
	late.w.whole = apr_pstrmemdup(s->pool, c->u.answer.body, late.w.len);
	if (!s->answer_ms) {
		operator_hears(s, late.w);
		return;
	}
	e.d = malloc(sizeof late);
	memcpy(e.d, &late, sizeof late);
	push(s, e);
}

/* As the program does at the moment of writing: what held for a time that is over is not said any more. */
static void answer_is_written(struct sim *s, const struct sim_ev *e)
{
	struct late_answer late;

	memcpy(&late, e->d, sizeof late);
	if (late.not_after && local(s, &s->n[e->node]) > late.not_after) {
		late.w.status = 503;
		late.w.retry_ms = CONTROLLER_RETRY_MS;
		snprintf(late.w.body, sizeof late.w.body, "{}");
	}
	operator_hears(s, late.w);
}

static void perform(struct sim *s, int i)
{
	struct sim_node *n = &s->n[i];

	for (ptrdiff_t k = 0; k < arrlen(n->o.v); k++) {
		struct cmd *c = &n->o.v[k];
		struct sim_ev e;
		int to;

		memset(&e, 0, sizeof e);
		if (n->c && s->door.perform && s->door.perform(s->door.ctx, i, c))
			continue;
		switch (c->kind) {
		case CMD_SEND:
			s->n_msg++;
			s->by_body[c->u.send.msg->body_case % 64]++;
			to = node_at(s, c->u.send.addr);
			if (to >= SIM_REGS && s->deaf >> c->u.send.msg->body_case % 64 & 1)
				break;
			if (to < 0 || s->n[to].cell != n->cell || (i < 16 && to < 16 && s->link_cut[i][to]) ||
			    (to != i && rnd(s, 1000) < (uint64_t)s->loss))
				break;
			e.kind = SIM_MSG;
			e.node = to;
			e.n = nl__msg__get_packed_size(c->u.send.msg);
			e.d = malloc(e.n + 1);
			nl__msg__pack(c->u.send.msg, e.d);
			s->n_bytes += e.n;
			e.at = s->now + (to == i ? 0 : way(s, n, &s->n[to]) + s->n[to].slow_ms);
			if (s->bytes_per_ms && to != i) {
				if (n->link_free_at < s->now)
					n->link_free_at = s->now;
				n->link_free_at += (int64_t)(e.n / (size_t)s->bytes_per_ms);
				e.at += n->link_free_at - s->now;
			}
			e.from_addr = n->addr;
			push(s, e);
			break;
		case CMD_PERSIST:
			s->n_sync++;
			e.kind = SIM_SYNC;
			e.node = i;
			e.life = n->life;
			disk_queue(s, n, c->u.persist);
			e.at = s->now + s->disk_ms + (int64_t)rnd(s, 3);
			push(s, e); /* each such event ends the oldest write: a disk keeps its order */
			break;
		case CMD_CALL: {
			struct sim_server *v = server_at(s, c->u.call.addr);

			if (c->u.call.stream) { /* a send */
				if (!v || local(s, n) > c->u.call.not_after) {
					broke(s, i, n->life, c->u.call.token, 0, 1);
					break;
				}
				e.kind = SIM_ARRIVE;
				e.node = i;
				e.life = n->life;
				e.server = (int)(v - s->sv);
				e.token = c->u.call.token;
				e.d = (uint8_t *)strdup(c->u.call.body);
				e.at = s->now + 1 + (int64_t)rnd(s, 3);
				push(s, e);
				break;
			}
			if (!v || !v->up || local(s, n) > c->u.call.not_after || n->cell)
				break;
			if (v->mute && strcmp(c->u.call.path, "/v1/order"))
				break;
			if (!strcmp(c->u.call.path, "/v1/order")) {
				server_order(s, v, c->u.call.body);
				break;
			}
			e.kind = SIM_CALLED;
			e.node = i;
			e.life = n->life;
			e.token = c->u.call.token;
			e.status = 200;
			server_report(v, (char **)&e.d);
			e.at = s->now + 2 + v->late;
			push(s, e);
			break;
		}
		case CMD_PIECE:
		case CMD_END:
			hear_piece(s, c->u.piece.token, c->u.piece.body, c->u.piece.len, c->kind == CMD_END, c->u.piece.ok);
			break;
		case CMD_LIST: list_call(s, i, c->u.list.token); break;
		case CMD_LOOK: inst_look(s, i, c); break;
		case CMD_ORDER: inst_order(s, i, c); break;
		case CMD_FORWARD:
		case CMD_WATCH: break; /* no door stands here */
		case CMD_CANCEL:
			for (ptrdiff_t q = 0; q < arrlen(s->run); q++)
				if (!s->run[q].over && s->run[q].node == i && s->run[q].token == c->u.cancel.token)
					run_over(s, &s->run[q]);
			break;
		case CMD_ANSWER: {
			if (n->c)
				hear_answer(s, c->u.answer.token, c->u.answer.status, c->u.answer.retry_ms, c->u.answer.body);
			else
				answer_leaves(s, i, c);
			break;
		}
		}
	}
	out_clear(&n->o);
}

static void controller_do(struct sim *s, int i, const struct controller_ev *ev)
{
	struct sim_node *n = &s->n[i];

	n->r->wall = s->epoch ? s->epoch + s->now + n->wall_off : 0;
	controller_step(n->r, ev, local(s, n), &n->o);
	if (n->r->fleet_dirty) {
		n->disk.fleet = n->r->fleet;
		n->r->fleet_dirty = 0;
	}
	perform(s, i);
	check_node(s, i);
}

static void router_do(struct sim *s, int i, const struct router_ev *ev)
{
	struct sim_node *n = &s->n[i];

	router_step(n->c, ev, local(s, n), &n->o);
	perform(s, i);
	check_node(s, i);
}

/* A counter's share of the events. */
static void router_dispatch(struct sim *s, struct sim_ev *e)
{
	struct router_ev ev;
	struct Nl__Msg *m = NULL;
	struct sim_exch *x;

	memset(&ev, 0, sizeof ev);
	switch (e->kind) {
	case SIM_TICK: ev.kind = ROUTER_TICK; break;
	case SIM_MSG:
		m = nl__msg__unpack(NULL, e->n, e->d);
		if (!m)
			return;
		ev.kind = ROUTER_MSG;
		ev.u.msg = m;
		break;
	case SIM_CALLED:
		ev.kind = ROUTER_CALLED;
		ev.u.called.token = e->token;
		ev.u.called.status = e->status;
		ev.u.called.body = (const char *)e->d;
		break;
	case SIM_BROKE:
		ev.kind = ROUTER_DONE;
		ev.u.done.token = e->token;
		ev.u.done.status = e->status;
		ev.u.done.never = e->step;
		ev.u.done.body = "";
		break;
	case SIM_LEAVE:
		ev.kind = ROUTER_GONE;
		ev.u.gone.token = e->token;
		break;
	case SIM_STOP: ev.kind = ROUTER_STOP; break;
	case SIM_ASK:
		x = exch_by(s, e->token);
		if (!x)
			return;
		ev.kind = ROUTER_EXCHANGE;
		ev.u.exchange.token = e->token;
		ev.u.exchange.digest = x->key;
		ev.u.exchange.body = (const char *)e->d;
		break;
	default: return;
	}
	router_do(s, e->node, &ev);
	if (m)
		nl__msg__free_unpacked(m, NULL);
}

void sim_push(struct sim *s, struct sim_ev e) { push(s, e); }
void sim_ctr(struct sim *s, int node, const struct router_ev *ev) { router_do(s, node, ev); }
int64_t sim_local(const struct sim *s, int node) { return local(s, &s->n[node]); }

static void tick_at(struct sim *s, int node, int64_t at)
{
	struct sim_ev e = { .at = at, .kind = SIM_TICK, .node = node, .life = s->n[node].life };

	push(s, e);
}

static void dispatch(struct sim *s, struct sim_ev *e)
{
	struct sim_node *n = &s->n[e->node];
	struct controller_ev ev;

	if (e->kind == SIM_DOOR) {
		s->door.event(s->door.ctx, e);
		return;
	}
	if (e->kind == SIM_LOAD_END) {
		load_ends(s, e);
		return;
	}
	if (e->kind == SIM_ORDER) { /* at its server, whatever has become of who sent it */
		struct sim_ev a = { .at = s->now + 2, .kind = SIM_ORDERED, .node = e->node, .life = e->life, .token = e->token };

		a.status = order_arrives(s, (struct order *)e->d);
		if (rnd(s, 1000) < (uint64_t)s->list.lossy || n->cell)
			a.status = 0;
		if (a.status || rnd(s, 2)) /* some never hear */
			push(s, a);
		return;
	}
	if (e->kind == SIM_LOADED) {
		struct sim_server *v = &s->sv[e->server];

		if (v->up && v->load_done == e->at) {
			memcpy(v->weights, v->loading, sizeof v->weights);
			v->loading[0] = 0;
			arrsetlen(v->kept, 0);
		}
		return;
	}
	if (e->kind == SIM_ARRIVE || e->kind == SIM_STREAM) {
		if (e->kind == SIM_ARRIVE)
			run_arrives(s, e);
		else
			run_streams(s, e);
		return;
	}
	if (!n->up || (e->life && e->life != n->life)) {
		if (e->kind == SIM_ASK && exch_by(s, e->token))
			told(s, exch_by(s, e->token), SIM_LOST);
		return;
	}
	if (n->frozen) { /* everything waits at its door */
		struct sim_ev later = *e;

		later.at = s->now + 20;
		e->d = NULL;
		push(s, later);
		return;
	}
	if (e->kind == SIM_TICK)
		tick_at(s, e->node, s->now + 25);
	if (n->c) {
		router_dispatch(s, e);
		return;
	}
	memset(&ev, 0, sizeof ev);
	switch (e->kind) {
	case SIM_TICK:
		ev.kind = CONTROLLER_TICK;
		controller_do(s, e->node, &ev);
		break;
	case SIM_STOP:
		ev.kind = CONTROLLER_STOP;
		controller_do(s, e->node, &ev);
		break;
	case SIM_MSG: {
		struct Nl__Msg *m = nl__msg__unpack(NULL, e->n, e->d);

		if (!m)
			break;
		ev.kind = CONTROLLER_MSG;
		ev.u.msg = m;
		controller_do(s, e->node, &ev);
		nl__msg__free_unpacked(m, NULL);
		break;
	}
	case SIM_SYNC:
		if (s->now < n->stall_until) {
			struct sim_ev later = *e;

			later.at = n->stall_until;
			push(s, later);
			break;
		}
		disk_write(&n->disk, n->writes[0].w);
		ev.kind = CONTROLLER_SYNCED;
		ev.u.synced.part = n->writes[0].w->part;
		ev.u.synced.seq = n->writes[0].w->seq;
		apr_pool_destroy(n->writes[0].p);
		arrdel(n->writes, 0);
		controller_do(s, e->node, &ev);
		break;
	case SIM_CALLED:
		ev.kind = CONTROLLER_CALLED;
		ev.u.called.token = e->token;
		ev.u.called.status = e->status;
		ev.u.called.body = (const char *)e->d;
		controller_do(s, e->node, &ev);
		break;
	case SIM_LISTED: {
		struct Nl__ConfigSyncReply *a = nl__config_sync_reply__unpack(NULL, e->n, e->d);

		ev.kind = CONTROLLER_LISTED;
		ev.u.listed.token = e->token;
		ev.u.listed.ok = e->status;
		ev.u.listed.v = a->instance;
		ev.u.listed.n = e->status ? a->n_instance : 0;
		controller_do(s, e->node, &ev);
		nl__config_sync_reply__free_unpacked(a, NULL);
		break;
	}
	case SIM_LOOKED:
		ev.kind = CONTROLLER_LOOKED;
		ev.u.looked.token = e->token;
		ev.u.looked.status = e->status;
		ev.u.looked.weights = (const char *)e->d;
		ev.u.looked.loading = e->step;
		controller_do(s, e->node, &ev);
		break;
	case SIM_ANSWERED: answer_is_written(s, e); break;
	case SIM_GONE:
		ev.kind = CONTROLLER_GONE;
		ev.u.gone.token = e->token;
		controller_do(s, e->node, &ev);
		break;
	case SIM_ORDERED:
		ev.kind = CONTROLLER_ORDERED;
		ev.u.ordered.token = e->token;
		ev.u.ordered.status = e->status;
		ev.u.ordered.never = e->step;
		controller_do(s, e->node, &ev);
		break;
	case SIM_WEB: {
		char *verb = (char *)e->d, *path = verb + strlen(verb) + 1, *body = path + strlen(path) + 1,
		     *key = body + strlen(body) + 1;

		ev.kind = CONTROLLER_WEB;
		ev.u.web.token = e->token;
		ev.u.web.verb = verb;
		ev.u.web.path = path;
		ev.u.web.body = body;
		ev.u.web.key = key[0] ? key : NULL;
		controller_do(s, e->node, &ev);
		break;
	}
	case SIM_DOC: {
		char *body = (char *)e->d, *weights = body + e->n + 1;

		ev.kind = e->status == 2 ? CONTROLLER_READ : e->status == 3 ? CONTROLLER_NAME : CONTROLLER_DOC;
		if (ev.kind == CONTROLLER_READ) {
			ev.u.read.token = e->token;
		} else if (ev.kind == CONTROLLER_NAME) {
			ev.u.name.token = e->token;
			ev.u.name.model = body;
			ev.u.name.weights = weights;
		} else {
			ev.u.doc.token = e->token;
			ev.u.doc.base = e->from_addr;
			ev.u.doc.patch = e->status;
			ev.u.doc.body = body;
			ev.u.doc.len = e->n;
		}
		controller_do(s, e->node, &ev);
		break;
	}
	default: break;
	}
}

int sim_run(struct sim *s, int64_t ms, int (*done)(struct sim *))
{
	int64_t end = s->now + ms;

	while (!s->bad[0] && arrlen(s->q) && s->q[0].at <= end) {
		struct sim_ev e = pop(s);

		s->now = e.at;
		dispatch(s, &e);
		ev_free(&e);
		if (done && done(s))
			return !s->bad[0];
	}
	if (!s->bad[0])
		s->now = end;
	return !s->bad[0];
}

/* ---- nodes --------------------------------------------------------------------------------- */

static void count_line(void *ctx, const char *prefix, const char *line)
{
	(void)prefix;
	((struct sim *)ctx)->n_odd += strstr(line, "Step report") != NULL;
}

static void node_begin(struct sim *s, int i, const uint64_t *seeds, int nseeds)
{
	struct sim_node *n = &s->n[i];
	struct raft_saved sv[SHARD_COUNT];
	const struct raft_saved *psv[SHARD_COUNT];
	apr_pool_t *p;

	apr_pool_create(&p, s->pool);
	n->life = ++s->seq;
	n->up = 1;
	n->frozen = 0;
	n->skew = (int64_t)rnd(s, 100000);
	memset(n->checked, 0, sizeof n->checked);
	if (n->counter) { /* no disk: a new identity at each start */
		n->id = core_rand(&s->rng);
		n->c = malloc(sizeof *n->c);
		router_open(n->c, n->id, n->addr, n->zone, seeds, nseeds, local(s, n));
		n->c->b = s->b;
		n->c->log = count_line;
		n->c->log_ctx = s;
		apr_pool_destroy(p);
		tick_at(s, i, s->now + (int64_t)rnd(s, 25));
		return;
	}
	if (!n->disk.made) {
		n->disk.made = 1;
		n->disk.id = core_rand(&s->rng);
	}
	n->id = n->disk.id;
	for (int k = 0; k < SHARD_COUNT; k++) {
		struct sim_disk_part *d = &n->disk.p[k];
		size_t m = (size_t)arrlen(d->e);

		sv[k] = (struct raft_saved){ d->term,        d->vote,     d->base, d->base_term, d->members, d->data,
					     d->members_len, d->data_len, d->from, NULL,         m };
		sv[k].e = apr_palloc(p, (m + 1) * sizeof *sv[k].e);
		for (size_t q = 0; q < m; q++)
			sv[k].e[q] = (struct raft_entry){ d->e[q].term, d->e[q].kind, d->e[q].len, d->e[q].data };
		psv[k] = &sv[k];
	}
	n->r = malloc(sizeof *n->r);
	controller_open(n->r, n->id, n->addr, n->zone, seeds, nseeds, n->disk.fleet, core_rand(&s->rng), psv, local(s, n));
	n->r->b = s->b;
	n->r->codec = s->codec;
	n->r->calendar = s->calendar;
	if (s->copies)
		n->r->b.copies = s->copies;
	if (s->catch_up_ms)
		n->r->b.catch_up_ms = s->catch_up_ms;
	apr_pool_destroy(p);
	tick_at(s, i, s->now + (int64_t)rnd(s, 25));
}

int sim_registrar(struct sim *s, const char *zone, const uint64_t *seeds, int nseeds)
{
	for (int i = 0; i < SIM_REGS; i++)
		if (!s->n[i].used) {
			struct sim_node *n = &s->n[i];
			char buf[32];

			n->used = 1;
			snprintf(n->zone, sizeof n->zone, "%s", zone);
			snprintf(buf, sizeof buf, "127.0.1.%d:7000", i + 1);
			n->addr = core_addr(buf);
			apr_pool_create(&n->o.p, s->pool);
			node_begin(s, i, seeds, nseeds);
			return i;
		}
	return -1;
}

int sim_counter(struct sim *s, const char *zone)
{
	for (int i = SIM_REGS; i < SIM_NODES; i++)
		if (!s->n[i].used) {
			struct sim_node *n = &s->n[i];
			char buf[32];

			n->used = n->counter = 1;
			snprintf(n->zone, sizeof n->zone, "%s", zone);
			snprintf(buf, sizeof buf, "127.0.2.%d:7000", i + 1);
			n->addr = core_addr(buf);
			apr_pool_create(&n->o.p, s->pool);
			sim_start(s, i);
			return i;
		}
	return -1;
}

void sim_crash(struct sim *s, int i, int wipe)
{
	struct sim_node *n = &s->n[i];

	if (n->r) {
		controller_close(n->r);
		free(n->r);
	}
	n->r = NULL;
	if (n->c) {
		router_close(n->c);
		free(n->c);
		n->c = NULL;
		callers_lose(s, i);
		if (s->door.lost)
			s->door.lost(s->door.ctx, i);
	}
	n->up = 0;
	for (ptrdiff_t k = 0; k < arrlen(n->writes); k++) /* what was not synced is gone */
		apr_pool_destroy(n->writes[k].p);
	arrsetlen(n->writes, 0);
	out_clear(&n->o);
	if (!wipe)
		return;
	disk_wipe(&n->lost_disk);
	n->lost_disk = n->disk;
	n->lost_at = s->now;
	memset(&n->disk, 0, sizeof n->disk);
}

void sim_start(struct sim *s, int i)
{
	uint64_t seeds[3];

	for (int k = 0; k < 3; k++)
		seeds[k] = s->n[k].addr;
	node_begin(s, i, seeds, 3);
}

void sim_freeze(struct sim *s, int i, int on) { s->n[i].frozen = on; }
void sim_cut(struct sim *s, int i, int cell) { s->n[i].cell = cell; }

int sim_server(struct sim *s, const char *name, const char *service, const char *weights)
{
	for (int i = 0; i < SIM_SERVERS; i++)
		if (!s->sv[i].used) {
			struct sim_server *v = &s->sv[i];

			v->used = v->up = 1;
			snprintf(v->name, sizeof v->name, "%s", name);
			snprintf(v->service, sizeof v->service, "%s", service);
			snprintf(v->weights, sizeof v->weights, "%s", weights);
			snprintf(v->addr, sizeof v->addr, "127.0.3.%d:8000", i + 1);
			return i;
		}
	return -1;
}

int sim_store(struct sim *s)
{
	int v = sim_server(s, "store", "", "");

	s->sv[v].is_store = 1;
	return v;
}

uint64_t sim_call(struct sim *s, int node, const char *verb, const char *path, const char *body)
{
	return sim_call_keyed(s, node, verb, path, body, "");
}

uint64_t sim_call_keyed(struct sim *s, int node, const char *verb, const char *path, const char *body, const char *key)
{
	size_t a = strlen(verb) + 1, b = strlen(path) + 1, c = strlen(body) + 1, d = strlen(key) + 1;
	struct sim_ev e = { .at = s->now, .kind = SIM_WEB, .node = node, .life = s->n[node].life, .token = ++s->token };

	e.d = malloc(a + b + c + d);
	memcpy(e.d, verb, a);
	memcpy(e.d + a, path, b);
	memcpy(e.d + a + b, body, c);
	memcpy(e.d + a + b + c, key, d);
	push(s, e);
	return e.token;
}

void sim_hang_up(struct sim *s, int node, uint64_t token)
{
	struct sim_ev e = { .at = s->now, .kind = SIM_GONE, .node = node, .life = s->n[node].life, .token = token };

	push(s, e);
}

uint64_t sim_doc(struct sim *s, int node, uint64_t base, int patch, const char *body, const char *weights)
{
	size_t n = body ? strlen(body) : 0, m = weights ? strlen(weights) : 0;
	struct sim_ev e = { .at = s->now, .kind = SIM_DOC, .node = node, .life = s->n[node].life, .token = ++s->token };

	e.status = !body ? 2 : weights ? 3 : !!patch;
	e.from_addr = base;
	e.n = n;
	e.d = calloc(1, n + m + 2);
	memcpy(e.d, body ? body : "", n);
	memcpy(e.d + n + 1, weights ? weights : "", m);
	push(s, e);
	return e.token;
}

const struct sim_web *sim_answer(struct sim *s, uint64_t token)
{
	for (ptrdiff_t i = arrlen(s->web) - 1; i >= 0; i--)
		if (s->web[i].token == token)
			return &s->web[i];
	return NULL;
}

int sim_do(struct sim *s, int node, const char *verb, const char *path, const char *body, int64_t ms)
{
	uint64_t t = sim_call(s, node, verb, path, body);
	int64_t end = s->now + ms;

	while (s->now < end && !sim_answer(s, t))
		if (!sim_run(s, 10, NULL))
			return 0;
	return sim_answer(s, t) ? sim_answer(s, t)->status : 0;
}

int sim_owner(struct sim *s, uint32_t part)
{
	for (int i = 0; i < SIM_REGS; i++)
		if (s->n[i].up && s->n[i].r && raft_has_lease(&s->n[i].r->part[part], local(s, &s->n[i])))
			return i;
	return -1;
}

void sim_open(struct sim *s, uint64_t seed)
{
	memset(s, 0, sizeof *s);
	s->seed = seed;
	s->rng = seed * 7919 + 17;
	s->now = 1000000;
	s->delay = 1;
	s->jitter = 2;
	s->far = 1;
	s->disk_ms = 2;
	s->limit_ms = 8000;
	s->b = bounds_default;
	s->list.lag = 800;
	s->list.load_ms = 1100;
	s->list.at_once = 3;
	s->list.dated = 100;
	apr_pool_create(&s->pool, NULL);
}

void sim_close(struct sim *s)
{
	for (int i = 0; i < SIM_NODES; i++)
		if (s->n[i].used) {
			if (s->n[i].up)
				sim_crash(s, i, 1);
			else
				disk_wipe(&s->n[i].disk);
			disk_wipe(&s->n[i].lost_disk);
			arrfree(s->n[i].o.v);
			arrfree(s->n[i].writes);
		}
	for (ptrdiff_t i = 0; i < arrlen(s->q); i++)
		ev_free(&s->q[i]);
	for (int i = 0; i < SHARD_COUNT; i++)
		arrfree(s->hash[i]);
	for (int i = 0; i < SIM_SERVERS; i++)
		arrfree(s->sv[i].kept);
	arrfree(s->q);
	arrfree(s->value);
	arrfree(s->web);
	arrfree(s->ack);
	arrfree(s->x);
	arrfree(s->run);
	arrfree(s->asking);
	arrfree(s->send);
	arrfree(s->clear);
	arrfree(s->list.v);
	shfree(s->removed);
	apr_pool_destroy(s->pool);
}

/* Every part is led, and every controller has heard the configuration's leader: none refuses for want of one. */
static int all_owned(struct sim *s)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		if (sim_owner(s, i) < 0)
			return 0;
	for (int i = 0; i < SIM_REGS; i++)
		if (s->n[i].used && s->n[i].up && config_watch_age(&s->n[i].r->f, local(s, &s->n[i])) > CONFIG_WATCH_SILENT)
			return 0;
	return 1;
}

void sim_fleet(struct sim *s, uint64_t seed, int regs)
{
	uint64_t seeds[3];
	char zone[16];

	sim_open(s, seed);
	for (int k = 0; k < 3; k++) {
		char buf[32];

		snprintf(buf, sizeof buf, "127.0.1.%d:7000", k + 1);
		seeds[k] = core_addr(buf);
	}
	for (int i = 0; i < regs; i++) {
		snprintf(zone, sizeof zone, "z%d", i + 1);
		sim_registrar(s, zone, seeds, 3);
	}
	sim_run(s, 200, NULL);
	if (sim_do(s, 0, "POST", "/v1/found", "{}", 10000) != 200)
		sim_breach(s, "the fleet was not founded");
	sim_run(s, 20000, all_owned);
}

uint64_t sim_change(struct sim *s, const char *body, int64_t ms)
{
	int64_t end = s->now + ms;

	while (s->now < end && !s->bad[0]) {
		int at = (int)rnd(s, SIM_REGS);
		uint64_t t;

		if (!s->n[at].used || !s->n[at].up || s->n[at].frozen)
			continue;
		t = sim_call(s, at, "POST", "/v1/change", body);
		while (!sim_answer(s, t) && s->now < end && s->n[at].up)
			if (!sim_run(s, 5, NULL))
				return 0;
		if (sim_answer(s, t) && sim_answer(s, t)->status == 200)
			return strtoull(sim_answer(s, t)->body + 11, NULL, 10);
		if (!sim_run(s, 50, NULL))
			return 0;
	}
	return 0;
}

int sim_propose(struct sim *s, const struct Nl__Change *c, int64_t ms)
{
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__Propose q = NL__PROPOSE__INIT;
	struct Nl__Op op = NL__OP__INIT;
	int64_t end = s->now + ms;

	q.token = op.token = ++s->token;
	op.from = 77;
	op.op_case = NL__OP__OP_CHANGE;
	op.change = (struct Nl__Change *)c;
	q.op = &op;
	m.speak = CORE_SPEAK;
	m.id = 77;
	m.addr = core_addr("127.0.9.9:1");
	m.part = SHARD_CONTROL;
	m.body_case = NL__MSG__BODY_PROPOSE;
	m.propose = &q;
	while (s->now < end && !s->bad[0]) {
		int at = sim_owner(s, SHARD_CONTROL);

		if (at >= 0) {
			struct sim_ev e = { .at = s->now, .kind = SIM_MSG, .node = at };

			m.fleet = s->n[at].r->fleet;
			e.n = nl__msg__get_packed_size(&m);
			e.d = malloc(e.n + 1);
			nl__msg__pack(&m, e.d);
			push(s, e);
		}
		for (int k = 0; k < 40; k++) { /* whoever has applied it knows that it is committed */
			if (!sim_run(s, 5, NULL))
				return 0;
			for (int i = 0; i < SIM_REGS; i++)
				for (ptrdiff_t d = 0; s->n[i].up && s->n[i].r && d < arrlen(s->n[i].r->ctl_done); d++)
					if (s->n[i].r->ctl_done[d].from == 77 && s->n[i].r->ctl_done[d].token == op.token)
						return 1;
		}
	}
	return 0;
}

static int standing_all(struct sim *s)
{
	for (int i = SIM_REGS; i < SIM_NODES; i++)
		if (s->n[i].used && s->n[i].c) {
			uint32_t servers = 0;

			while (servers < SIM_SERVERS && s->sv[servers].used)
				servers++;
			if (!relay_current(&s->n[i].c->relay, local(s, &s->n[i])) || !s->n[i].c->route_table ||
			    s->n[i].c->server_table->nserver < servers)
				return 0;
			for (uint32_t k = 0; k < s->n[i].c->server_table->nserver; k++)
				if (!s->n[i].c->sv[k].have)
					return 0;
		}
	return 1;
}

void sim_deploy(struct sim *s, uint64_t seed, int regs, int ctrs, int servers)
{
	static const char *const svc[] = { "arrears", "repairs", "sorting" };
	char body[6000], hex[65];
	size_t k;

	sim_fleet(s, seed, regs);
	for (int i = 0; i < ctrs; i++) {
		char zone[8];

		snprintf(zone, sizeof zone, "z%d", (i % 4 + 1) & 7);
		sim_counter(s, zone);
	}
	k = (size_t)snprintf(body, sizeof body, "{\"set\":[");
	for (int i = 0; i < 3; i++)
		k += (size_t)snprintf(
		    body + k, sizeof body - k,
		    "{\"kind\":\"service\",\"name\":\"%s\",\"weights\":\"w1\",\"prefill\":20,\"kv_bytes\":400,\"link\":100000},"
		    "{\"kind\":\"lane\",\"name\":\"%s\",\"service\":\"%s\",\"prio\":%d,\"limit\":50},",
		    svc[i], svc[i], svc[i], i == 2);
	for (int i = 0; i < 4; i++)
		k += (size_t)snprintf(
		    body + k, sizeof body - k,
		    "{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":%d,\"limit\":100},{\"kind\":\"key\",\"name\":\"%s\",\"tenant\":\"t%d\"},",
		    i, i ? 1 : 5, sim_key(i, hex), i);
	for (int i = 0; i < servers; i++) {
		char name[16];
		int v;

		snprintf(name, sizeof name, "s%d", i & 31);
		v = sim_server(s, name, svc[i % 3], "w1");
		k += (size_t)snprintf(body + k, sizeof body - k,
				      "%s{\"kind\":\"server\",\"name\":\"%s\",\"service\":\"%s\",\"addr\":\"%s\"}", i ? "," : "",
				      name, svc[i % 3], s->sv[v].addr);
	}
	snprintf(body + k, sizeof body - k, "]}");
	if (!sim_change(s, body, 12000))
		sim_breach(s, "the deployment's table was not acknowledged");
	sim_run(s, 8000, standing_all);
	if (!s->bad[0] && !standing_all(s))
		sim_breach(s, "the deployment does not become ready");
}
