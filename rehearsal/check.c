/* The checker: judges each "must never happen" of the brief from the records alone.
 * Records: callers.rec, platform.rec, probes.rec, server-*.rec. What is incomplete is undecided, never good. */
#include <dirent.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "kit.h"

/* A breach is named by its letter in docs/failures.md. */

struct row {
	int64_t t;
	struct json_object *j;
	const char *ev;
};

struct id_row { /* what is known of one id */
	char *key;
	struct {
		int began, tries, told;
		int64_t asked;
		char server[64];
	} value;
};
struct asking_row { /* of one id at one counter: "ID COUNTER" */
	char *key;
	struct {
		int64_t refused;
		int open, ran;
	} value;
};
struct counter_row { /* by the id that it has for one life: where it is, and its editions as probed */
	char *key;
	struct {
		char web[64];
		struct {
			int64_t asked, edition;
		} * probe;
	} value;
};
struct server_row {
	char *key;
	struct {
		int64_t drained, undrained, drain_horizon, up, loaded_at, order_at, fence;
		char weights[64], rollout[32], service[64];
		struct {
			int64_t t;
			char w[64];
		} * loads;
	} value;
};
struct span_row {
	char *key;
	struct {
		int64_t from, to;
	} value;
}; /* to: 0 while it lasts */
struct table_row {
	char *key;
	struct {
		struct json_object *sure, **maybe;
		int64_t edition;
	} value;
};
struct naming {
	int64_t t;
	char service[64], weights[64];
};

struct judge {
	struct check_result *r;
	int untimed;
	struct row *row;
	struct id_row *id;
	struct asking_row *asking;
	struct counter_row *counter;
	struct server_row *server;
	struct span_row *removed, *walled;
	struct table_row *table;
	struct {
		char *key;
		int64_t value;
	} * ends, *web_edition;
	struct naming *naming;
	struct {
		int64_t edition, t;
	} * acks;
	struct {
		int64_t t;
		int again;
	} * tries; /* sends, in order of time */
	int64_t acked, final_edition, horizon, last_fault, back, pause;
	int64_t sends, firsts, whole, refused, unknown, fresh, tokens, fetched;
	int closed, finished, probes, records;
};

static void say(struct check_result *r, const char *fmt, ...)
{
	size_t n = strlen(r->text);
	va_list ap;

	va_start(ap, fmt);
	if (n < sizeof r->text - 500)
		vsnprintf(r->text + n, sizeof r->text - n, fmt, ap);
	va_end(ap);
}

static void breach(struct judge *g, char letter, const char *fmt, ...)
{
	char line[400];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof line, fmt, ap);
	va_end(ap);
	if (++g->r->breaches <= 20)
		say(g->r, "BREACH %c: %s\n", letter, line);
}

static void undecided(struct judge *g, const char *fmt, ...)
{
	char line[300];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof line, fmt, ap);
	va_end(ap);
	g->r->undecided = 1;
	say(g->r, "undecided: %s\n", line);
}

/* ---- reading ---- */

/* Within one millisecond: an asking, then what servers did, then what the caller was told. */
static int rank(const char *ev)
{
	static const char *const order[] = { "ask", "sent", "begin", "end" };

	for (int i = 0; i < 4; i++)
		if (!strcmp(ev, order[i]))
			return i;
	return 4;
}

static int by_time(const void *a, const void *b)
{
	const struct row *x = a, *y = b;

	return x->t < y->t ? -1 : x->t > y->t ? 1 : rank(x->ev) - rank(y->ev);
}

/* Each record is one write, so a torn line is a hole: such a run is undecided. */
static void read_file(struct judge *g, const char *path, const char *name)
{
	FILE *f = fopen(path, "r");
	char *line = NULL;
	size_t cap = 0;

	while (f && getline(&line, &cap, f) > 0) {
		struct json_object *j = json_tokener_parse(line);
		struct row r = { j ? jgeti(j, "t") : 0, j, j ? jgets(j, "ev") : "" };

		if (!j || !r.t || !r.ev[0]) {
			undecided(g, "%s has a line that is torn or no record", name);
			if (j)
				json_object_put(j);
			continue;
		}
		arrput(g->row, r);
	}
	if (!f)
		undecided(g, "%s cannot be read", name);
	free(line);
	if (f)
		fclose(f);
}

static void read_folder(struct judge *g, const char *folder)
{
	DIR *d = opendir(folder);
	struct dirent *e;
	char path[900];

	while (d && (e = readdir(d))) {
		size_t n = strlen(e->d_name);

		if (n < 4 || strcmp(e->d_name + n - 4, ".rec"))
			continue;
		snprintf(path, sizeof path, "%s/%s", folder, e->d_name);
		g->records += !strncmp(e->d_name, "server-", 7);
		read_file(g, path, e->d_name);
	}
	if (d)
		closedir(d);
	qsort(g->row, (size_t)arrlen(g->row), sizeof *g->row, by_time);
}

/* ---- one entry of each map, made when it is new ---- */

#define ENTRY(map, k) (shgeti(map, k) < 0 ? (void)shput(map, k, ((typeof((map)->value)){ 0 })) : (void)0, &shgetp(map, k)->value)

static typeof(((struct asking_row *)0)->value) *asking_of(struct judge *g, const char *id, const char *web)
{
	char key[300];

	snprintf(key, sizeof key, "%s %s", id, web);
	return ENTRY(g->asking, key);
}

/* The counter that made a send, by the send's id; NULL when no probe ever saw it. */
static typeof(((struct counter_row *)0)->value) *sender_of(struct judge *g, const char *x)
{
	char id[17];

	snprintf(id, sizeof id, "%s", x);
	return shgeti(g->counter, id) < 0 ? NULL : &shgetp(g->counter, id)->value;
}

static int within(const struct span_row *map, const char *key, int64_t t, int64_t after)
{
	struct span_row *m = (struct span_row *)(uintptr_t)map;
	ptrdiff_t i = shgeti(m, key);

	return i >= 0 && m[i].value.from && t - m[i].value.from > after && (!m[i].value.to || t < m[i].value.to);
}

/* ---- A: once, and never after "refused". B, C: the whole answer, in order, of one run ---- */

static void on_ask(struct judge *g, struct json_object *j, int64_t t)
{
	typeof(g->id->value) *k = ENTRY(g->id, jgets(j, "id"));
	typeof(g->asking->value) *a = asking_of(g, jgets(j, "id"), jgets(j, "counter"));

	k->tries = 0; /* a caller's own asking anew is no resend */
	k->asked = t;
	a->open = 1;
	a->ran = 0;
	a->refused = 0;
}

static void in_force(struct judge *g, const char *x, int64_t t);

static void on_sent(struct judge *g, struct json_object *j, int64_t t)
{
	const char *id = jgets(j, "id"), *sv = jgets(j, "server"), *x = jgets(j, "x");
	typeof(g->id->value) *k = ENTRY(g->id, id);
	typeof(g->server->value) *s = ENTRY(g->server, sv);
	typeof(g->counter->value) *c = sender_of(g, x);
	typeof(*g->tries) y = { t, k->tries > 0 };

	g->sends++;
	g->firsts += k->tries++ == 0;
	arrput(g->tries, y);
	if (!k->asked)
		breach(g, 'A', "%s was sent, and nobody asked it", id);
	if (!g->untimed && s->drained && !s->undrained && t - s->drained > 3000)
		breach(g, 'F', "server %s was sent %s, %lld ms after its drain was acknowledged", sv, id,
		       (long long)(t - s->drained));
	in_force(g, x, t);
	if (jgeti(j, "refused"))
		return;
	if (k->began++)
		breach(g, 'A', "%s ran twice: at %s and at %s", id, k->server, sv);
	snprintf(k->server, sizeof k->server, "%s", sv);
	if (c) {
		typeof(g->asking->value) *a = asking_of(g, id, c->web);

		if (a->refused)
			breach(g, 'A', "%s ran %lld ms after its caller was told it was refused", id, (long long)(t - a->refused));
		a->ran = 1;
	}
}

static void on_told(struct judge *g, struct json_object *j, int64_t t)
{
	const char *id = jgets(j, "id"), *o = jgets(j, "outcome"), *x = jgets(j, "x");
	typeof(g->id->value) *k = ENTRY(g->id, id);
	typeof(g->asking->value) *a = asking_of(g, id, jgets(j, "counter"));
	char key[32];

	k->told++;
	a->open = 0;
	if (jgeti(j, "bad"))
		breach(g, 'C', "%s: pieces skipped, repeated, spliced or another's (%lld)", id, (long long)jgeti(j, "bad"));
	if (!strcmp(o, "whole")) {
		g->whole++;
		/* back: answers to what was asked after the last fault; the pauses between them count as well */
		if (g->last_fault && k->asked >= g->last_fault) {
			if (t - (g->back ? g->back : g->last_fault) > g->pause)
				g->pause = t - (g->back ? g->back : g->last_fault);
			g->back = t;
		}
		if (shgeti(g->ends, x) < 0 || shget(g->ends, x) != jgeti(j, "pieces"))
			breach(g, 'B', "%s: told whole with %lld pieces, which is not the server's whole answer", id,
			       (long long)jgeti(j, "pieces"));
	} else if (!strcmp(o, "refused")) {
		g->refused++;
		a->refused = t;
		if (a->ran)
			breach(g, 'A', "%s ran, and its caller was told it was refused", id);
	} else {
		g->unknown++;
	}
	snprintf(key, sizeof key, "key-%lld", (long long)jgeti(j, "tenant"));
	if (!g->untimed && jgeti(j, "last") && within(g->removed, key, jgeti(j, "last"), 5000))
		breach(g, 'E', "%s heard a piece with %s, removed %lld ms before", id, key,
		       (long long)(jgeti(j, "last") - shget(g->removed, key).from));
}

/* ---- D: who sends has every edition that was acknowledged 2 s before ---- */

static int64_t needed(const struct judge *g, int64_t t)
{
	int64_t need = 0;

	for (ptrdiff_t i = 0; i < arrlen(g->acks) && g->acks[i].t < t - 2000; i++)
		if (g->acks[i].edition > need)
			need = g->acks[i].edition;
	return need;
}

/* A counter's edition at a send is at most what the next probe saw there. */
static void in_force(struct judge *g, const char *x, int64_t t)
{
	typeof(g->counter->value) *c = sender_of(g, x);

	for (ptrdiff_t i = 0; c && !g->untimed && i < arrlen(c->probe); i++)
		if (c->probe[i].asked >= t) {
			if (c->probe[i].edition < needed(g, t))
				breach(g, 'D', "counter %s sent %s under edition %lld; %lld was acknowledged 2 s before", c->web, x,
				       (long long)c->probe[i].edition, (long long)needed(g, t));
			return;
		}
}

static void on_state(struct judge *g, struct json_object *j)
{
	const char *web = jgets(j, "web");
	int64_t e = jgeti(j, "edition"), before = shgeti(g->web_edition, web) < 0 ? 0 : shget(g->web_edition, web);

	g->probes++;
	if (jgeti(j, "horizon") > g->horizon)
		g->horizon = jgeti(j, "horizon");
	if (e && e < before) /* across its restarts as well; a counter that knows none yet says 0 and serves nothing */
		breach(g, 'D', "counter %s went back from edition %lld to %lld", web, (long long)before, (long long)e);
	if (e > before)
		shput(g->web_edition, web, e);
	if (!g->untimed && jgeti(j, "age_ms") < 1700 && e < needed(g, jgeti(j, "asked")))
		breach(g, 'D', "counter %s takes exchanges under edition %lld, but %lld was acknowledged", web, (long long)e,
		       (long long)needed(g, jgeti(j, "asked")));
}

/* ---- G: whose kept parts were used ---- */

static void on_begin(struct judge *g, struct json_object *j, int64_t t)
{
	struct json_object *used = jget(j, "used");
	const char *id = jgets(j, "id"), *tn = jgets(j, "tenant"), *w = jgets(j, "weights"), *sv = jgets(j, "server");
	typeof(g->server->value) *s = ENTRY(g->server, sv);

	g->fresh += jgeti(j, "fresh");
	g->tokens += jgeti(j, "tokens");
	g->fetched += jgeti(j, "fetched");
	for (size_t n = 0; used && n < json_object_array_length(used); n++) {
		struct json_object *u = json_object_array_get_idx(used, n);
		const char *m = jgets(u, "m");

		if (strcmp(jgets(u, "w"), w))
			breach(g, 'G', "%s under %s used a part made under %s", id, w, jgets(u, "w"));
		if (!g->untimed && strcmp(m, tn) && (within(g->walled, m, t, 2000) || within(g->walled, tn, t, 2000)))
			breach(g, 'G', "%s of %s used a part made by %s, one of them walled off", id, tn, m);
		/* a horizon read before the drain was asked for lies below its purge's tick; 7 s are a failover and the stale horizon */
		if (!g->untimed && s->drained && t - s->drained > 7000 && !jgeti(u, "from") && jgeti(u, "ct") <= s->drain_horizon)
			breach(g, 'G', "%s used a part made at tick %lld at %s, withdrawn with its drain", id,
			       (long long)jgeti(u, "ct"), sv);
	}
}

/* ---- H, I: orders and weights ---- */

static void on_order(struct judge *g, struct json_object *j, int64_t t)
{
	const char *sv = jgets(j, "server");
	typeof(g->server->value) *s = ENTRY(g->server, sv);

	if (s->order_at && strcmp(s->rollout, jgets(j, "giver")) && t - s->order_at < 3000)
		breach(g, 'I', "server %s had orders of two givers %lld ms apart", sv, (long long)(t - s->order_at));
	if (!jgeti(j, "fenced") && jgeti(j, "fence") < s->fence)
		breach(g, 'I', "server %s took an order with a lower fence", sv);
	if (jgeti(j, "fence") > s->fence)
		s->fence = jgeti(j, "fence");
	snprintf(s->rollout, sizeof s->rollout, "%s", jgets(j, "giver"));
	s->order_at = t;
}

static void on_loaded(struct judge *g, struct json_object *j, int64_t t)
{
	typeof(g->server->value) *s = ENTRY(g->server, jgets(j, "server"));
	typeof(*s->loads) l = { t, "" };

	snprintf(l.w, sizeof l.w, "%s", jgets(j, "weights"));
	arrput(s->loads, l);
}

/* Weights that stayed named for 25 s are on every server of the service 25 s after the naming, or after the server
 * came up. A server says with "up" what it was started with. */
static void judge_namings(struct judge *g, int64_t end)
{
	for (ptrdiff_t i = 0; i < arrlen(g->naming); i++) {
		int64_t until = end;

		for (ptrdiff_t k = i + 1; k < arrlen(g->naming); k++)
			if (!strcmp(g->naming[k].service, g->naming[i].service)) {
				until = g->naming[k].t;
				break;
			}
		for (ptrdiff_t k = 0; k < shlen(g->server); k++) {
			typeof(g->server->value) *s = &g->server[k].value;
			int64_t from = s->up > g->naming[i].t && s->up < until ? s->up : g->naming[i].t, on = 0;

			if (strcmp(s->service, g->naming[i].service) || until - from < 25000)
				continue;
			for (ptrdiff_t q = 0; q < arrlen(s->loads); q++)
				if (!strcmp(s->loads[q].w, g->naming[i].weights) && s->loads[q].t <= until &&
				    (s->up > until || s->loads[q].t >= s->up))
					on = s->loads[q].t;
			if (!on)
				breach(g, 'H', "weights %s never reached %s", g->naming[i].weights, g->server[k].key);
			else if (on - from > 25000)
				breach(g, 'H', "weights %s reached %s only after %lld ms", g->naming[i].weights, g->server[k].key,
				       (long long)(on - from));
		}
	}
}

/* ---- J: resends in any ten seconds ---- */

static void judge_resends(struct judge *g)
{
	int64_t margin = 2 + 2 * shlen(g->counter); /* each counter may have two saved up */

	for (ptrdiff_t i = 0; i < arrlen(g->tries); i++) {
		int64_t n = 0, again = 0;

		if (i && g->tries[i].t / 500 == g->tries[i - 1].t / 500)
			continue;
		for (ptrdiff_t k = i; k < arrlen(g->tries) && g->tries[k].t < g->tries[i].t + 10000; k++) {
			n++;
			again += g->tries[k].again;
		}
		if (again > (n - again) / 5 + margin) {
			breach(g, 'J', "%lld resends for %lld sends within ten seconds", (long long)again, (long long)(n - again));
			return;
		}
	}
}

/* ---- K: the table that was acknowledged is the table at the end ---- */

static void row_key(struct json_object *row, char *key, size_t n)
{
	snprintf(key, n, "%s %s", jgets(row, "kind"), jgets(row, "name"));
}

/* A change whose outcome is not known may or may not show; an acknowledged one must, unless a later one hid it. */
static void on_change(struct judge *g, struct json_object *change, int64_t edition)
{
	static const char *const what[] = { "set", "del" };

	for (int w = 0; w < 2; w++) {
		struct json_object *list = jget(change, what[w]);

		for (size_t i = 0; list && i < json_object_array_length(list); i++) {
			struct json_object *row = json_object_array_get_idx(list, i);
			typeof(g->table->value) *k;
			char key[300];

			row_key(row, key, sizeof key);
			k = ENTRY(g->table, key);
			if (!edition) {
				arrput(k->maybe, w ? NULL : row);
			} else if (edition > k->edition) {
				k->edition = edition;
				k->sure = w ? NULL : row;
			}
		}
	}
}

static int same_row(struct json_object *want, struct json_object *have)
{
	if (!want || !have)
		return !want && !have;
	json_object_object_foreach(want, name, v) if (!json_object_equal(v, jget(have, name))) return 0;
	return 1;
}

static void judge_table(struct judge *g, struct json_object *rows)
{
	struct {
		char *key;
		struct json_object *value;
	} *have = NULL;

	for (size_t i = 0; rows && i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);
		char key[300];

		row_key(row, key, sizeof key);
		if (!have)
			sh_new_strdup(have);
		shput(have, key, row);
	}
	for (ptrdiff_t i = 0; i < shlen(g->table); i++) {
		typeof(g->table->value) *k = &g->table[i].value;
		struct json_object *at_end = have && shgeti(have, g->table[i].key) >= 0 ? shget(have, g->table[i].key) : NULL;
		int fits = !k->edition || same_row(k->sure, at_end);

		for (ptrdiff_t q = 0; q < arrlen(k->maybe) && !fits; q++)
			fits = same_row(k->maybe[q], at_end);
		if (!fits)
			breach(g, 'K', "what edition %lld said of %s is not in the table at the end", (long long)k->edition,
			       g->table[i].key);
	}
	shfree(have);
}

/* ---- the whole ---- */

/* Told apart by what each changes; 0 for a kind that no judge knows. */
static int take(struct judge *g, const struct row *r)
{
	struct json_object *j = r->j;
	const char *ev = r->ev, *sv = jgets(j, "server");
	int64_t t = r->t;

	if (!strcmp(ev, "ask")) {
		on_ask(g, j, t);
	} else if (!strcmp(ev, "sent")) {
		on_sent(g, j, t);
	} else if (!strcmp(ev, "begin")) {
		on_begin(g, j, t);
	} else if (!strcmp(ev, "end")) {
		shput(g->ends, jgets(j, "x"), jgeti(j, "n"));
	} else if (!strcmp(ev, "told")) {
		on_told(g, j, t);
	} else if (!strcmp(ev, "state")) {
		on_state(g, j);
	} else if (!strcmp(ev, "order")) {
		on_order(g, j, t);
	} else if (!strcmp(ev, "up")) {
		ENTRY(g->server, sv)->up = t;
		on_loaded(g, j, t);
	} else if (!strcmp(ev, "loaded")) {
		on_loaded(g, j, t);
	} else if (!strcmp(ev, "serves")) {
		typeof(g->server->value) *s = ENTRY(g->server, sv);

		snprintf(s->service, sizeof s->service, "%s", jgets(j, "service"));
	} else if (!strcmp(ev, "named")) {
		struct naming n = { t, "", "" };

		snprintf(n.service, sizeof n.service, "%s", jgets(j, "service"));
		snprintf(n.weights, sizeof n.weights, "%s", jgets(j, "weights"));
		arrput(g->naming, n);
	} else if (!strcmp(ev, "ack")) {
		typeof(*g->acks) a = { jgeti(j, "edition"), t };

		arrput(g->acks, a);
		if (a.edition > g->acked)
			g->acked = a.edition;
		on_change(g, jget(j, "change"), a.edition);
	} else if (!strcmp(ev, "tried")) {
		on_change(g, jget(j, "change"), 0);
	} else if (!strcmp(ev, "key-removed")) {
		shput(g->removed, jgets(j, "key"), ((typeof(g->removed->value)){ t, 0 }));
	} else if (!strcmp(ev, "key-added")) {
		if (shgeti(g->removed, jgets(j, "key")) >= 0)
			shgetp(g->removed, jgets(j, "key"))->value.to = t;
	} else if (!strcmp(ev, "wall")) { /* walled from the acknowledgement on, open from the asking on */
		if (jgeti(j, "walled"))
			shput(g->walled, jgets(j, "tenant"), ((typeof(g->walled->value)){ t, 0 }));
		else if (shgeti(g->walled, jgets(j, "tenant")) >= 0)
			shgetp(g->walled, jgets(j, "tenant"))->value.to = t;
	} else if (!strcmp(ev, "drain-asked")) {
		ENTRY(g->server, sv)->drain_horizon = g->horizon;
	} else if (!strcmp(ev, "drained")) {
		typeof(g->server->value) *s = ENTRY(g->server, sv);

		s->drained = t;
		s->undrained = 0;
	} else if (!strcmp(ev, "undrained")) {
		ENTRY(g->server, sv)->undrained = t;
	} else if (!strcmp(ev, "fault")) {
		g->last_fault = t;
		g->back = g->pause = 0;
	} else if (!strcmp(ev, "table")) {
		g->final_edition = jgeti(j, "edition");
		judge_table(g, jget(j, "rows"));
	} else if (!strcmp(ev, "tool-failed")) {
		breach(g, '-', "%s", jgets(j, "what"));
	} else if (!strcmp(ev, "missed")) {
		undecided(g, "the fault did not bite: %s", jgets(j, "what"));
	} else if (!strcmp(ev, "closed")) {
		g->closed = 1;
	} else if (!strcmp(ev, "finished")) {
		g->finished = 1;
	} else if (strcmp(ev, "unacknowledged")) {
		return 0;
	}
	return 1;
}

static void judge_end(struct judge *g)
{
	for (ptrdiff_t i = 0; i < shlen(g->id); i++)
		if (g->id[i].value.asked && !g->id[i].value.told)
			undecided(g, "%s was asked, and it is not recorded what its caller was told", g->id[i].key);
	for (ptrdiff_t i = 0; i < shlen(g->server); i++)
		if (g->server[i].value.service[0] && !g->server[i].value.up)
			undecided(g, "no records of server %s", g->server[i].key);
	if (g->final_edition >= 0 && g->final_edition < g->acked)
		breach(g, 'K', "the acknowledged edition %lld is lost: the table ends at %lld", (long long)g->acked,
		       (long long)g->final_edition);
	judge_resends(g);
	if (!g->untimed && arrlen(g->row))
		judge_namings(g, arrlast(g->row).t);
	if (!g->untimed && g->last_fault && (!g->back || g->pause > 12000))
		breach(g, 'L', "service was not back 12 s after the last fault");
	if (!g->closed || !g->finished || !g->records || !g->probes || g->final_edition < 0 || !g->whole)
		undecided(g, "%s%s%s%s%s%s", g->closed ? "" : "callers' records are not closed; ",
			  g->finished ? "" : "the run did not finish; ", g->records ? "" : "no server's records; ",
			  g->probes ? "" : "no probes; ", g->final_edition < 0 ? "no final table; " : "",
			  g->whole ? "" : "not one whole answer");
}

int check_folder(const char *folder, int untimed, struct check_result *res)
{
	struct judge g;

	memset(res, 0, sizeof *res);
	memset(&g, 0, sizeof g);
	g.r = res;
	g.untimed = untimed;
	g.final_edition = -1;
	sh_new_strdup(g.id);
	sh_new_strdup(g.asking);
	sh_new_strdup(g.counter);
	sh_new_strdup(g.server);
	sh_new_strdup(g.removed);
	sh_new_strdup(g.walled);
	sh_new_strdup(g.table);
	sh_new_strdup(g.ends);
	sh_new_strdup(g.web_edition);
	read_folder(&g, folder);
	for (ptrdiff_t i = 0; i < arrlen(g.row); i++) /* a send is judged by the probe that comes after it */
		if (!strcmp(g.row[i].ev, "state")) {
			struct json_object *j = g.row[i].j;
			typeof(g.counter->value) *c = ENTRY(g.counter, jgets(j, "id"));
			typeof(*c->probe) p = { jgeti(j, "asked"), jgeti(j, "edition") };

			snprintf(c->web, sizeof c->web, "%s", jgets(j, "web"));
			arrput(c->probe, p);
		}
	for (ptrdiff_t i = 0; i < arrlen(g.row); i++)
		if (!take(&g, &g.row[i]))
			undecided(&g, "a record of an unknown kind: %s", g.row[i].ev);
	judge_end(&g);
	say(res,
	    "exchanges %lld, sends %lld, whole %lld, refused %lld, unknown %lld, probes %d, prompt tokens %lld, read anew %lld (%.1f %%), parts fetched %lld",
	    (long long)g.firsts, (long long)g.sends, (long long)g.whole, (long long)g.refused, (long long)g.unknown, g.probes,
	    (long long)g.tokens, (long long)g.fresh, g.tokens ? 100.0 * (double)g.fresh / (double)g.tokens : 0.0,
	    (long long)g.fetched);
	if (g.last_fault)
		say(res, ", longest pause after the last fault %lld ms", (long long)(g.back ? g.pause : -1));
	say(res, "\n%s\n", res->undecided ? "undecided" : res->breaches ? "FAILED" : "good");
	for (ptrdiff_t i = 0; i < arrlen(g.row); i++)
		json_object_put(g.row[i].j);
	for (ptrdiff_t i = 0; i < shlen(g.counter); i++)
		arrfree(g.counter[i].value.probe);
	for (ptrdiff_t i = 0; i < shlen(g.server); i++)
		arrfree(g.server[i].value.loads);
	for (ptrdiff_t i = 0; i < shlen(g.table); i++)
		arrfree(g.table[i].value.maybe);
	arrfree(g.row);
	arrfree(g.acks);
	arrfree(g.naming);
	arrfree(g.tries);
	shfree(g.id);
	shfree(g.asking);
	shfree(g.counter);
	shfree(g.server);
	shfree(g.removed);
	shfree(g.walled);
	shfree(g.table);
	shfree(g.ends);
	shfree(g.web_edition);
	return !res->undecided && !res->breaches;
}
