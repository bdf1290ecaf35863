/* The entry and the clients: connections go to the edges of a zone by hash; requests come as the sheet has them, try
 * again as told, and every answer is checked. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "stand_run.h"

enum {
	TIMES_AS_LONG = 20, /* the answers of some requests on a planned day */
	LONG_PROBE = 200,   /* tokens: such a probe is under way for a second or more, while its route or key goes */
	REST_MS = 10000     /* how long a connection may rest before any configuration is known */
};

struct kept_conn {
	struct conn *c;
	int machine, busy;
	int64_t idle_until, rests_from;
};
struct client {
	int zone, tenant;
	uint64_t hash;
	struct kept_conn *kept; /* stb array */
};

struct subject { /* what a client wants, over all its tries */
	struct clients *all;
	struct client *who;
	int cls, tries, prompt, out, last_event, done, extra, probe, refused_at, avoid[4], navoid;
	int64_t born, first_at, last_at, worst_gap, refused;
	double worth, size;
	char path[160], parts[200], body[600], key[64], host[80];
	int transit_late;
};

struct attempt {
	struct subject *s;
	struct clients *all;
	struct conn *c;
	int machine, fresh, status, seal, own, events, sent, bytes, done, resumed_from, read;
	int64_t began, until, heard;
	char id[24], seal_id[40], *text; /* stb array: what of a stream is not read yet */
	double retry_after;
	int keep, keep_s;
	struct event_rec *event;
};

struct clients {
	struct run *r;
	struct client *client; /* stb arrays */
	struct attempt **going;
	struct subject **waiting;
	uint64_t look, probes_timer, ready_timer, ids;
	double due[CLASSES];
	int64_t last;
	int on, extra, probing, long_every, closing, asked;
	char keys[16][64];
};

static const struct conn_on on_answer;

static void try_now(struct subject *s, int fresh);
static void subject_over(struct subject *s);

/* ---- the entry ---- */

struct probe {
	struct run *r;
	int machine;
};

static void ready_told(void *ctx, int status, const struct msg *m)
{
	struct probe *p = ctx;
	struct machine *x = &p->r->m[p->machine];

	(void)m;
	if (status == 200) {
		if (!x->in && p->r->verbose)
			run_say(p->r, "%s is ready", x->name);
		x->misses = 0;
		x->in = !x->gone;
	} else if (++x->misses >= 2) {
		if (x->in && p->r->verbose)
			run_say(p->r, "%s is out: not ready (%d)", x->name, status);
		x->in = 0;
	}
	free(p);
}

static void ask_ready(void *ctx)
{
	struct clients *c = ctx;
	struct run *r = c->r;

	c->ready_timer = loop_after(r->l, ms_us(1000), ask_ready, c);
	for (int i = 0; i < r->nm; i++) {
		struct probe *p;

		if (r->m[i].core || r->m[i].gone)
			continue;
		p = calloc(1, sizeof *p);
		p->r = r;
		p->machine = i;
		call_once(r->l, r->m[i].ready, "GET", "/readiness", "", NULL, 900, ready_told, p);
	}
}

static int pick_edge(struct clients *c, const struct client *who, const struct subject *s)
{
	struct run *r = c->r;

	for (int z = 0; z < 4; z++) { /* its own zone first, then the next ones */
		const char *zone = r->sheet->zone[(who->zone + z) % 4];
		int in[MOST_MACHINES], all[MOST_MACHINES], nin = 0, nall = 0, n, *from;

		for (int i = 0; i < r->nm; i++) {
			if (r->m[i].core || r->m[i].gone || strcmp(r->m[i].zone, zone))
				continue;
			all[nall++] = i;
			if (r->m[i].in)
				in[nin++] = i;
		}
		if (!nin)
			continue;
		from = nin * 2 < nall ? all : in;
		n = nin * 2 < nall ? nall : nin;
		for (int k = 0; k < n; k++) { /* further tries meet other nodes */
			int m = from[(who->hash + (uint64_t)s->tries + (uint64_t)k) % (uint64_t)n], met = 0;

			for (int x = 0; x < s->navoid; x++)
				met |= s->avoid[x] == m;
			if (!met)
				return m;
		}
		if (z == 3 || n > 1 || !s->navoid)
			return from[(who->hash + (uint64_t)s->tries) % (uint64_t)n];
	}
	for (int i = 0; i < r->nm; i++) /* nobody is in: whoever there is */
		if (!r->m[i].core && !r->m[i].gone)
			return i;
	return NOBODY;
}

/* ---- tries ---- */

static void forget_kept(struct clients *c, const struct conn *x)
{
	for (int i = 0; i < arrlen(c->client); i++)
		for (int k = arrlen(c->client[i].kept) - 1; k >= 0; k--)
			if (c->client[i].kept[k].c == x)
				arrdelswap(c->client[i].kept, k);
}

static struct kept_conn *kept_of(struct client *who, const struct conn *x)
{
	for (int k = 0; k < arrlen(who->kept); k++)
		if (who->kept[k].c == x)
			return &who->kept[k];
	return NULL;
}

static struct second *second_of(struct run *r, int64_t t)
{
	int64_t s = (t - r->traffic_at) / 1000;

	return &r->fig.sec[s < 0 ? 0 : s >= MOST_SECONDS ? MOST_SECONDS - 1 : s];
}

static void attempt_free(struct attempt *a)
{
	for (int i = 0; i < arrlen(a->all->going); i++)
		if (a->all->going[i] == a) {
			arrdelswap(a->all->going, i);
			break;
		}
	arrfree(a->text);
	arrfree(a->event);
	free(a);
}

static int repeatable(const struct run *r, const struct subject *s) { return r->sheet->c[s->cls].resumable; }

static void later(void *ctx)
{
	struct subject *s = ctx;

	for (int i = 0; i < arrlen(s->all->waiting); i++)
		if (s->all->waiting[i] == s) {
			arrdelswap(s->all->waiting, i);
			break;
		}
	try_now(s, 1);
}

/* A try is over; what now? */
static void attempt_over(struct attempt *a, enum told how)
{
	struct subject *s = a->s;
	struct clients *c = a->all;
	struct run *r = c->r;
	const struct class_set *k = &r->sheet->c[s->cls];
	int64_t now = run_ms(r), left = s->born + k->deadline - now;
	struct told_rec t;
	int promise = a->status == 429 || a->status == 503 || a->status == 408 || a->status == 421;
	int final = a->status == 400 || a->status == 401 || a->status == 404 || a->status == 413 || a->status == 431;
	int whole = how == TOLD_WHOLE && a->status >= 200 && a->status < 300, again;
	struct kept_conn *kc = a->c ? kept_of(s->who, a->c) : NULL;

	if (a->done)
		return;
	a->done = 1;
	memset(&t, 0, sizeof t);
	t.id = a->id;
	t.seal_id = a->seal_id[0] ? a->seal_id : NULL;
	t.status = a->status;
	t.seal = a->seal;
	t.own = a->own;
	t.read = a->read;
	t.how = how;
	t.events = a->events;
	t.event = a->event;
	t.nevent = (int)arrlen(a->event);
	judge_told(r->j, now, &t);
	if (a->c) {
		if (how == TOLD_WHOLE && a->keep && kc) {
			kc->busy = 0;
			kc->rests_from = now;
			kc->idle_until = a->keep_s > 0 ? now + a->keep_s * 1000 - 300 : INT64_MAX;
			conn_set(a->c, &on_answer, c); /* nothing is due: what comes now is surplus */
			conn_set_tag(a->c, NULL);
		} else {
			forget_kept(c, a->c);
			conn_close(a->c, how == TOLD_GAVE_UP);
		}
	}
	if (r->verbose > 1 && !whole)
		run_say(r, "client: try %s of %s at %s: %d, how %d, %lld ms, events %d", a->id, k->name, r->m[a->machine].name,
			a->status, (int)how, (long long)(now - a->began), (int)arrlen(a->event));
	if (how == TOLD_CUT || how == TOLD_BAD)
		r->fig.cut++;
	if (how == TOLD_NOTHING)
		r->fig.silent++;
	if (s->probe) {
		attempt_free(a);
		free(s);
		return;
	}
	if (arrlen(a->event))
		s->last_event = arrlast(a->event).id;
	again = !whole && !final && s->tries <= k->retries && left > 50 && how != TOLD_GAVE_UP && !c->closing;
	if (how == TOLD_GAVE_UP && repeatable(r, s) && s->tries <= k->retries && left > 50 && !c->closing)
		again = 1;
	if (promise && how == TOLD_WHOLE && !s->refused_at) {
		s->refused_at = 1;
		s->refused = now - s->born;
	}
	if (again && !(promise && how == TOLD_WHOLE) && !repeatable(r, s) && how != TOLD_NOTHING)
		again = 0;
	if (again && how == TOLD_NOTHING && !repeatable(r, s) && a->sent && !a->fresh)
		again = 0; /* it may have been read */
	if (whole) {
		int64_t gap_most = k->gap, first = s->first_at - s->born;
		int timely = s->first_at && first <= k->aim && s->worst_gap <= gap_most && !s->transit_late;

		r->fig.whole[s->cls]++;
		second_of(r, s->born)->whole++;
		r->fig.late[s->cls] += !timely;
		r->fig.earned += !timely ? s->worth * k->late / k->worth
				 : s->refused_at && s->refused <= k->aim / 4 && s->tries > 1
				     ? s->worth * (1 + k->late / k->worth) / 2
				     : s->worth;
		hist_add(&r->fig.pause[s->cls], s->worst_gap);
	} else if (!again) {
		if (promise)
			second_of(r, s->born)->refused++, r->fig.refused++;
		else
			second_of(r, s->born)->failed++;
	}
	if (s->navoid < 4)
		s->avoid[s->navoid++] = a->machine;
	if (again) {
		double wait = promise && a->retry_after > 0 ? a->retry_after * 1000 : 20;

		if (wait > (double)left / 3)
			wait = (double)left / 3;
		arrput(c->waiting, s);
		loop_after(r->l, ms_us(wait), later, s);
	} else {
		subject_over(s);
	}
	attempt_free(a);
}

static void subject_over(struct subject *s) { free(s); }

static void on_event(struct attempt *a, char *text)
{
	struct subject *s = a->s;
	struct run *r = a->all->r;
	int64_t now = run_ms(r);
	struct event_rec e = { -1, -1 };
	long long made = 0;

	for (char *line = strtok(text, "\n"); line; line = strtok(NULL, "\n")) {
		int k;

		if (!strncmp(line, "id:", 3))
			e.id = atoi(line + 3);
		else if (!strncmp(line, "data:", 5))
			sscanf(line + 5, "%d %d %lld", &e.run, &k, &made);
	}
	arrput(a->event, e);
	if (!s->first_at) {
		s->first_at = now;
		if (!s->probe) {
			hist_add(&r->fig.first[s->cls], now - s->born);
			hist_add(&second_of(r, s->born)->first, now - s->born);
		}
	} else if (now - s->last_at > s->worst_gap) {
		s->worst_gap = now - s->last_at;
	}
	s->last_at = now;
	if (made) {
		int64_t late = (loop_us() - made) / 1000;

		hist_add(&r->fig.transit, late);
		s->transit_late |= late > r->b.transit;
	}
}

static void on_head(void *ctx, struct conn *c, struct msg *m)
{
	struct attempt *a = conn_tag(c);
	const char *v;

	(void)ctx;
	if (!a)
		return;
	a->heard = run_ms(a->all->r);
	a->status = m->status;
	a->keep = m->keep;
	v = msg_get(m, "X-Notchlug-Server-Seal");
	a->seal = v ? atoi(v) : -1;
	a->own = !v && !msg_get(m, "X-Notchlug-Not-Executed");
	v = msg_get(m, "X-Notchlug-Attempt-Id");
	snprintf(a->seal_id, sizeof a->seal_id, "%s", v ? v : "");
	v = msg_get(m, "Content-Type");
	a->events = v && !strncmp(v, "text/event-stream", 17);
	v = msg_get(m, "Retry-After");
	a->retry_after = v ? atof(v) : 0;
	v = msg_get(m, "Keep-Alive");
	v = v ? strstr(v, "timeout=") : NULL;
	a->keep_s = v ? atoi(v + 8) : 0;
}

static void on_data(void *ctx, struct conn *c, const char *d, size_t n)
{
	struct attempt *a = conn_tag(c);

	(void)ctx;
	if (!a)
		return;
	a->heard = run_ms(a->all->r);
	if (!a->events)
		return;
	memcpy(arraddnptr(a->text, n), d, n);
	for (;;) {
		size_t k, len = arrlenu(a->text);
		char *one;

		for (k = 0; k + 1 < len && !(a->text[k] == '\n' && a->text[k + 1] == '\n'); k++)
			;
		if (k + 1 >= len)
			return;
		one = strndup(a->text, k);
		arrdeln(a->text, 0, k + 2);
		on_event(a, one);
		free(one);
	}
}

static void on_whole(void *ctx, struct conn *c, struct msg *m)
{
	struct attempt *a = conn_tag(c);

	(void)ctx;
	if (!a)
		return;
	a->keep = m->keep;
	if (a->all->r->verbose > 1 && a->status >= 300)
		run_say(a->all->r, "client: %s got %d: %.200s", a->id, a->status, m->body ? m->body : "");
	attempt_over(a, TOLD_WHOLE);
}

static void on_gone(void *ctx, struct conn *c, enum conn_end how)
{
	struct clients *all = ctx;
	struct attempt *a = conn_tag(c);

	if (!a) { /* an idle one */
		forget_kept(all, c);
		if (how == CONN_SURPLUS) {
			struct told_rec t = { .how = TOLD_STRAY };

			all->r->fig.stray++;
			judge_told(all->r->j, run_ms(all->r), &t);
		}
		return;
	}
	forget_kept(all, c);
	a->c = NULL;
	attempt_over(a, how == CONN_BAD ? TOLD_BAD : a->status || how == CONN_CLOSED ? TOLD_CUT : TOLD_NOTHING);
}

static const struct conn_on on_answer = { .head = on_head, .data = on_data, .whole = on_whole, .gone = on_gone };

/* How long a connection may have rested that is taken up again: four fifths of IdleTimeoutMs, where that is known. */
static int64_t rest_most(const struct run *r)
{
	int idle = r->op ? operator_idle_timeout(r->op) : 0;

	return idle ? idle * 4 / 5 : REST_MS;
}

static void try_now(struct subject *s, int fresh)
{
	struct clients *c = s->all;
	struct run *r = c->r;
	const struct class_set *k = &r->sheet->c[s->cls];
	struct attempt *a;
	struct try_rec t;
	int64_t now = run_ms(r), left = s->born + k->deadline - now;
	struct kept_conn *kept = NULL;
	struct conn *x;
	char head[1400], taken[60] = "";
	int machine = s->probe ? s->avoid[0] : pick_edge(c, s->who, s), chunked = (s->out & 7) == 0;
	size_t n = strlen(s->body);

	if (left <= 0 || machine == NOBODY || c->closing) {
		if (!s->probe)
			second_of(r, s->born)->failed++;
		subject_over(s);
		return;
	}
	a = calloc(1, sizeof *a);
	a->s = s;
	a->all = c;
	a->seal = -1;
	a->own = 1;
	a->began = a->heard = now;
	a->until = s->born + k->deadline;
	a->machine = machine;
	snprintf(a->id, sizeof a->id, "%016llx", (unsigned long long)stand_hash(r->seed, &(uint64_t){ ++c->ids }, 8));
	for (int i = arrlen(s->who->kept) - 1; i >= 0 && !fresh; i--) { /* connections stay with their nodes */
		struct kept_conn *old = &s->who->kept[i];

		if (old->busy)
			continue;
		if (now > old->idle_until || now > old->rests_from + rest_most(r)) {
			conn_set_tag(old->c, NULL);
			conn_close(old->c, 0);
			arrdelswap(s->who->kept, i);
		}
	}
	for (int i = 0; i < arrlen(s->who->kept) && !fresh && !kept; i++)
		if (!s->who->kept[i].busy)
			kept = &s->who->kept[i];
	if (kept) {
		kept->busy = 1;
		a->c = kept->c;
		a->machine = kept->machine;
		r->fig.leaving += r->m[a->machine].leaving;
		conn_set(a->c, &on_answer, c);
	} else {
		a->fresh = 1;
		a->c = conn_call(r->l, r->m[machine].front, &on_answer, c);
		if (a->c) {
			struct kept_conn made = { a->c, machine, 1, 0, 0 };

			arrput(s->who->kept, made);
		}
	}
	s->tries++;
	r->fig.tries++;
	a->resumed_from = s->last_event;
	memset(&t, 0, sizeof t);
	t.id = a->id;
	t.subject = s->path;
	t.method = "POST";
	t.host = s->host;
	t.path = s->path;
	t.key = s->key;
	t.body = stand_hash(0, s->body, n);
	t.edge = a->machine;
	t.kind = k->resumable ? TRY_RESUMABLE : TRY_ONCE;
	t.last_event = s->last_event;
	t.probe = s->probe;
	t.stream = 1;
	t.deadline = left;
	t.cls = s->cls;
	judge_try(r->j, now, &t);
	arrput(c->going, a);
	if (!a->c) {
		attempt_over(a, TOLD_NOTHING);
		return;
	}
	x = a->c;
	conn_set_tag(x, a);
	if (s->last_event)
		snprintf(taken, sizeof taken, "Last-Event-Id: %d\r\n", s->last_event);
	snprintf(
	    head, sizeof head,
	    "POST %s HTTP/1.1\r\nHost: %s\r\nX-Notchlug-Attempt-Id: %s\r\n%sX-Notchlug-Model-Name: %s\r\nX-Notchlug-Token-Count: %d,%d\r\n"
	    "X-Notchlug-Prompt-Prefix: %s\r\nX-Notchlug-Deadline-Remaining: %lld\r\nX-Api-Key: %s\r\n",
	    s->path, s->host, a->id, taken, r->sheet->model, s->prompt, s->out, s->parts, (long long)left, s->key);
	conn_expect(x);
	conn_say(x, head, strlen(head));
	if (chunked) {
		conn_sayf(x, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n", n / 2);
		conn_say(x, s->body, n / 2);
		conn_sayf(x, "\r\n%zx\r\n", n - n / 2);
		conn_say(x, s->body + n / 2, n - n / 2);
		conn_say(x, "\r\n0\r\n\r\n", 7);
	} else {
		conn_sayf(x, "Content-Length: %zu\r\n\r\n", n);
		conn_say(x, s->body, n);
	}
	a->sent = 1;
}

/* ---- arrivals ---- */

static int spread(uint64_t *rng, int mean) /* most are smaller, some a few times as large */
{
	double x = stand_unit(rng), y = stand_unit(rng);
	double v = mean * (0.3 + 1.0 * x * y * 2.8);

	return v < 1 ? 1 : (int)v;
}

static void want(struct clients *c, int cls)
{
	struct run *r = c->r;
	const struct class_set *k = &r->sheet->c[cls];
	struct subject *s = calloc(1, sizeof *s);
	uint64_t thing = stand_rand(&r->rng) % (uint64_t)k->things, seed;
	int own, shared;
	size_t n;

	s->all = c;
	s->cls = cls;
	s->born = run_ms(r);
	s->who = &c->client[stand_rand(&r->rng) % arrlenu(c->client)];
	seed = thing * 31 + (uint64_t)cls;
	shared = spread(&seed, k->shared);
	own = spread(&r->rng, k->own);
	s->out = spread(&r->rng, k->out);
	if (c->long_every && c->asked % c->long_every == 0)
		s->out *= TIMES_AS_LONG;
	s->prompt = shared + own;
	snprintf(s->key, sizeof s->key, "%s", c->keys[s->who->tenant]);
	snprintf(s->host, sizeof s->host, "%s", r->sheet->host);
	if (c->extra && stand_rand(&r->rng) % 3 == 0)
		snprintf(s->path, sizeof s->path, "/big%d/%llx", (int)(stand_rand(&r->rng) % (uint64_t)c->extra),
			 (unsigned long long)(stand_rand(&r->rng) & 0xffff));
	else
		snprintf(s->path, sizeof s->path, "%s%llx", k->prefix, (unsigned long long)(stand_rand(&r->rng) & 0xffff));
	snprintf(s->parts, sizeof s->parts, "%08llx:%d,%08llx:%d,%08llx:%d",
		 (unsigned long long)(stand_hash(1, &cls, sizeof cls) & 0xffffffff), shared / 4 + 1,
		 (unsigned long long)(stand_hash(2, &seed, 8) & 0xffffffff), shared - shared / 4,
		 (unsigned long long)(stand_rand(&r->rng) & 0xffffffff), own);
	s->prompt = shared + 1 + own;
	n = 80 + stand_rand(&r->rng) % 400;
	for (size_t i = 0; i < n; i++)
		s->body[i] = (char)('a' + stand_rand(&r->rng) % 26);
	s->size = (s->prompt + 10.0 * s->out) / (k->shared + k->own + 10.0 * k->out);
	s->worth = k->worth * (0.3 + 0.7 * s->size);
	if (s->worth > 4 * k->worth)
		s->worth = 4 * k->worth;
	r->fig.owed += s->worth;
	r->fig.asked[cls]++;
	c->asked++;
	second_of(r, s->born)->asked++;
	try_now(s, 0);
}

/* Straight to each edge, on what came or went lately or never was: which configuration is in force there? */
static void probe_all(void *ctx)
{
	struct clients *c = ctx;
	struct run *r = c->r;

	c->probes_timer = loop_after(r->l, ms_us(500), probe_all, c);
	if (!c->probing || c->closing)
		return;
	for (int i = 0; i < r->nm; i++) {
		const char *at = stand_rand(&r->rng) % 2 ? operator_added(r->op) : operator_removed(r->op), *key;
		struct subject *s;

		if (r->m[i].core || r->m[i].gone || !r->m[i].in)
			continue;
		s = calloc(1, sizeof *s);
		s->all = c;
		s->cls = 2;
		s->born = run_ms(r);
		s->who = &c->client[0];
		s->probe = 1;
		s->avoid[0] = i;
		s->prompt = 40;
		s->out = c->long_every ? LONG_PROBE : 1;
		key = stand_rand(&r->rng) % 2 ? operator_second_key(r->op) : NULL;
		snprintf(s->key, sizeof s->key, "%s", key ? key : c->keys[0]);
		snprintf(s->host, sizeof s->host, "%s", r->sheet->host);
		snprintf(s->path, sizeof s->path, "%s%s", at ? at : "/never/", "p");
		snprintf(s->parts, sizeof s->parts, "%08llx:40", (unsigned long long)(stand_rand(&r->rng) & 0xffffffff));
		snprintf(s->body, sizeof s->body, "probe");
		r->fig.probes++;
		try_now(s, 1);
	}
}

static void look(void *ctx)
{
	struct clients *c = ctx;
	struct run *r = c->r;
	int64_t now = run_ms(r), span = now - c->last;

	c->last = now;
	c->look = loop_after(r->l, ms_us(5), look, c);
	for (int i = 0; i < CLASSES && c->on; i++) {
		c->due[i] += r->sheet->c[i].per_s * r->rate * (double)span / 1000;
		while (c->due[i] > 0) {
			c->due[i] += log(1 - stand_unit(&r->rng)); /* exponential gaps */
			want(c, i);
		}
	}
	for (int i = arrlen(c->going) - 1; i >= 0; i--) {
		struct attempt *a = c->going[i];
		const struct class_set *k = &r->sheet->c[a->s->cls];
		int64_t silence = 2000;

		if (a->c && !a->read)
			a->read = conn_read_by_peer(a->c);
		if (4 * k->aim > silence)
			silence = 4 * k->aim;
		if (8 * k->gap > silence)
			silence = 8 * k->gap;
		if (now >= a->until || now - a->heard > silence) {
			r->fig.gave_up++;
			attempt_over(a, TOLD_GAVE_UP);
		} else if (a->c && !conn_up(a->c) && now - a->began > 1000) {
			struct conn *x = a->c;

			forget_kept(c, x);
			conn_set_tag(x, NULL);
			conn_close(x, 1);
			a->c = NULL;
			attempt_over(a, TOLD_NOTHING);
		}
		if (i > arrlen(c->going))
			i = (int)arrlen(c->going);
	}
}

struct clients *clients_open(struct run *r)
{
	struct clients *c = calloc(1, sizeof *c);

	c->r = r;
	for (int i = 0; i < r->sheet->tenants; i++)
		snprintf(c->keys[i], sizeof c->keys[i], "key%02d-0-abcdefgh", i);
	for (int i = 0; i < 48; i++) {
		struct client x;

		memset(&x, 0, sizeof x);
		x.zone = i % 4;
		x.tenant = i % 3 ? i % r->sheet->tenants : i % 2; /* a few tenants are large */
		x.hash = stand_hash(r->seed, &i, sizeof i) >> 7;
		arrput(c->client, x);
	}
	r->fig.sec = calloc(MOST_SECONDS, sizeof *r->fig.sec);
	c->last = run_ms(r);
	look(c);
	ask_ready(c);
	probe_all(c);
	return c;
}

void clients_traffic(struct clients *c, int on)
{
	c->on = on;
	c->last = run_ms(c->r);
}

int clients_busy(const struct clients *c) { return (int)arrlen(c->going) + (int)arrlen(c->waiting); }
void clients_extra(struct clients *c, int routes) { c->extra = routes; }
void clients_long(struct clients *c, int every) { c->long_every = every; }
void clients_probe(struct clients *c, int on) { c->probing = on; }
void clients_keys(struct clients *c, int tenant, const char *key) { snprintf(c->keys[tenant], sizeof c->keys[tenant], "%s", key); }

void clients_close(struct clients *c)
{
	struct run *r = c->r;

	c->on = 0;
	c->closing = 1;
	while (arrlen(c->going))
		attempt_over(c->going[0], TOLD_GAVE_UP);
	loop_drop(r->l, c->look);
	loop_drop(r->l, c->probes_timer);
	loop_drop(r->l, c->ready_timer);
	for (int turns = 0; turns < 300 && arrlen(c->waiting); turns++)
		loop_until(r->l, ms_us(10), NULL, NULL);
	for (int i = 0; i < arrlen(c->client); i++) {
		for (int k = 0; k < arrlen(c->client[i].kept); k++) {
			conn_set_tag(c->client[i].kept[k].c, NULL);
			conn_close(c->client[i].kept[k].c, 0);
		}
		arrfree(c->client[i].kept);
	}
	loop_until(r->l, ms_us(1000), NULL, NULL); /* readiness probes under way */
	arrfree(c->client);
	arrfree(c->going);
	arrfree(c->waiting);
	free(c);
}
