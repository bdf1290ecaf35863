#include "instances.h"

#include <stdlib.h>
#include <string.h>

#include "ds.h"

static struct Nl__Instance *copy(const struct Nl__Instance *x)
{
	size_t n = nl__instance__get_packed_size(x);
	uint8_t *d = malloc(n + 1);
	struct Nl__Instance *c;

	if (!d)
		abort();
	nl__instance__pack(x, d);
	c = nl__instance__unpack(NULL, n, d);
	free(d);
	if (!c)
		abort();
	return c;
}

void instances_open(struct instances *s)
{
	memset(s, 0, sizeof *s);
	sh_new_strdup(s->h);
}

void instances_close(struct instances *s)
{
	for (ptrdiff_t i = 0; i < shlen(s->h); i++)
		nl__instance__free_unpacked(s->h[i].value.s, NULL);
	shfree(s->h);
}

const struct Nl__Instance *instances_get(const struct instances *s, const char *name)
{
	struct instances_row *h = s->h;
	ptrdiff_t i = shgeti(h, name);

	return i < 0 ? NULL : h[i].value.s;
}

/* Put a copy in place of what stands there. */
static typeof(((struct instances_row *)0)->value) *put(struct instances *s, const struct Nl__Instance *x)
{
	ptrdiff_t i = shgeti(s->h, x->server);
	struct Nl__Instance *c = copy(x);

	if (i >= 0) {
		nl__instance__free_unpacked(s->h[i].value.s, NULL);
		s->h[i].value.s = c;
	} else {
		shput(s->h, c->server, ((typeof(s->h->value)){ c, 0, 0, 0, 0 }));
	}
	return &shgetp(s->h, c->server)->value; /* x may have stood on the old one */
}

static void forget(struct instances *s, int64_t now)
{
	for (ptrdiff_t i = shlen(s->h) - 1; i >= 0; i--) {
		struct Nl__Instance *x = s->h[i].value.s;

		if (x->state != INSTANCE_GONE || now - s->h[i].value.gone < INSTANCES_TOMB)
			continue;
		if (x->stamp > s->forgotten)
			s->forgotten = x->stamp;
		(void)shdel(s->h, s->h[i].key);
		nl__instance__free_unpacked(x, NULL);
	}
}

/* ---- the owner's side ---------------------------------------------------------- */

static void stamp(struct instances *s, struct Nl__Instance *x, int64_t now)
{
	x->stamp = ++s->stamp;
	s->changed = now;
}

void instances_begin(struct instances *s, const struct instances *f, uint64_t term, int64_t now)
{
	instances_close(s);
	instances_open(s);
	s->term = term;
	s->stamp = term << 24;
	s->due = s->changed = now;
	for (ptrdiff_t i = 0; i < shlen(f->h); i++) {
		typeof(f->h->value) *v = put(s, f->h[i].value.s);

		v->gone = f->h[i].value.gone;
		v->ended = v->s->state == INSTANCE_DRAINING;
		v->s->stamp = ++s->stamp;
	}
}

void instances_tick(struct instances *s, int soon, int mille, uint64_t token, int64_t now, struct out *o)
{
	int64_t every = soon || now - s->changed < INSTANCES_LATELY ? INSTANCES_SOON : INSTANCES_CALM;

	forget(s, now);
	if (mille <= 0)
		return;
	if (every < 3000000 / mille) /* at most a third of what the whole fleet may call */
		every = 3000000 / mille;
	if ((s->call && now - s->called < INSTANCES_LOST) || (s->called && now - s->called < every) || now < s->due)
		return;
	s->call = token;
	s->called = now;
	out_cmd(o, CMD_LIST)->u.list.token = token;
}

/* Time runs down by itself where it is known: only its beginning and its end are news. */
static int differs(const struct Nl__Instance *a, const struct Nl__Instance *b)
{
	return strcmp(a->service, b->service) || strcmp(a->addr, b->addr) || strcmp(a->zone, b->zone) || a->slots != b->slots ||
	       a->state != b->state || strcmp(a->weights, b->weights) || a->loading != b->loading || !a->cold_ms != !b->cold_ms;
}

static void one_listed(struct instances *s, const struct Nl__Instance *is, int64_t now)
{
	ptrdiff_t i = shgeti(s->h, is->server);
	struct Nl__Instance x = *is;
	const struct Nl__Instance *was;

	if (i < 0) {
		x.loading = 0;
		stamp(s, put(s, &x)->s, now);
		s->h[shgeti(s->h, is->server)].value.ended = x.state != INSTANCE_SERVING;
		return;
	}
	was = s->h[i].value.s;
	s->h[i].value.missed = 0;
	if (was->state == INSTANCE_GONE && (s->h[i].value.ended || now - s->h[i].value.gone < INSTANCES_BACK))
		return;
	if (x.state == INSTANCE_DRAINING)
		s->h[i].value.ended = 1;
	else if (s->h[i].value.ended)
		x.state = INSTANCE_DRAINING;
	x.loading = was->loading; /* the list doesn't tell */
	if (s->called < s->h[i].value.firm)
		x.weights = was->weights;
	if (differs(was, &x))
		stamp(s, put(s, &x)->s, now);
}

static void gone(struct instances *s, ptrdiff_t i, int64_t now)
{
	s->h[i].value.s->state = INSTANCE_GONE;
	s->h[i].value.s->loading = 0;
	s->h[i].value.gone = now;
	stamp(s, s->h[i].value.s, now);
}

void instances_listed(struct instances *s, uint64_t token, int ok, struct Nl__Instance *const *v, size_t n, int64_t now)
{
	int missed = 0;

	if (!s->term || !token || token != s->call)
		return;
	s->call = 0;
	/* timed from the asking: what this process reads only after it stood still shows servers that may have left since */
	if (now - s->called > INSTANCES_LOST)
		ok = 0;
	if (!ok) {
		s->changed = now; /* again soon: a server may have begun to leave */
		return;
	}
	for (ptrdiff_t i = 0; i < shlen(s->h); i++)
		s->h[i].value.missed++;
	for (size_t i = 0; i < n; i++)
		if (v[i]->server[0] && v[i]->state <= INSTANCE_DRAINING)
			one_listed(s, v[i], now);
	for (ptrdiff_t i = 0; i < shlen(s->h); i++) {
		if (s->h[i].value.s->state == INSTANCE_GONE)
			continue;
		if (s->h[i].value.missed >= INSTANCES_MISSED)
			gone(s, i, now);
		else if (s->h[i].value.missed)
			missed = 1;
	}
	if (missed)
		s->changed = now; /* look again soon */
	/* what this owner followed may be older than what others did: told once no server of it is in doubt */
	if (!s->listed && (++s->lists >= INSTANCES_MISSED || !missed)) {
		s->listed = 1;
		s->stamp++; /* an empty list is something to tell too */
	}
}

void instances_set_weights(struct instances *s, const char *name, const char *weights, int loading, int64_t now)
{
	ptrdiff_t i = shgeti(s->h, name);
	struct Nl__Instance x;

	if (i < 0 || s->h[i].value.s->state == INSTANCE_GONE)
		return;
	x = *s->h[i].value.s;
	x.weights = (char *)weights;
	x.loading = loading;
	s->h[i].value.firm = now + INSTANCES_FIRM;
	if (differs(s->h[i].value.s, &x))
		stamp(s, put(s, &x)->s, now);
}

void instances_end(struct instances *s, const char *name, int64_t now)
{
	ptrdiff_t i = shgeti(s->h, name);

	if (i < 0)
		return;
	s->h[i].value.ended = 1;
	if (s->h[i].value.s->state != INSTANCE_GONE)
		gone(s, i, now);
}

void instances_since(const struct instances *s, uint64_t have, struct Nl__ConfigSyncReply *a, apr_pool_t *p)
{
	if (!s->term || !s->listed)
		return; /* what followers have is better than what this owner was told itself */
	a->instances = s->stamp;
	a->instances_whole = have >> 24 != s->term || have > s->stamp || have < s->forgotten;
	if (!a->instances_whole && have == s->stamp)
		return;
	a->instance = apr_palloc(p, ((size_t)shlen(s->h) + 1) * sizeof *a->instance);
	for (ptrdiff_t i = 0; i < shlen(s->h); i++)
		if (a->instances_whole || s->h[i].value.s->stamp > have)
			a->instance[a->n_instance++] = (struct Nl__Instance *)core_dup(p, &s->h[i].value.s->base);
}

/* ---- a follower's side ----------------------------------------------------------- */

int instances_follow(struct instances *s, const struct Nl__ConfigSyncReply *a, int64_t now)
{
	int changed = 0;

	forget(s, now);
	if (a->instances <= s->stamp || (!a->instances_whole && a->instances >> 24 != s->stamp >> 24))
		return 0;
	for (ptrdiff_t i = shlen(s->h) - 1; i >= 0 && a->instances_whole; i--) {
		int there = 0;

		for (size_t k = 0; k < a->n_instance && !there; k++)
			there = !strcmp(a->instance[k]->server, s->h[i].key);
		if (there)
			continue;
		changed = 1;
		nl__instance__free_unpacked(s->h[i].value.s, NULL);
		(void)shdel(s->h, s->h[i].key);
	}
	for (size_t k = 0; k < a->n_instance; k++) {
		struct Nl__Instance x = *a->instance[k];
		const struct Nl__Instance *was = instances_get(s, x.server);
		typeof(s->h->value) *v;

		if (!x.server[0])
			continue;
		if (was && was->state == INSTANCE_DRAINING && x.state == INSTANCE_SERVING)
			x.state = INSTANCE_DRAINING; /* an owner that knows less than the one before */
		changed |= !was || differs(was, &x);
		v = put(s, &x);
		if (x.state == INSTANCE_GONE && !v->gone)
			v->gone = now;
		else if (x.state != INSTANCE_GONE)
			v->gone = 0;
	}
	s->stamp = a->instances;
	return changed;
}

struct json_object *instances_json(const struct instances *s)
{
	static const char *const states[] = { "serving", "draining", "gone" };
	struct json_object *a = json_object_new_array();

	for (ptrdiff_t i = 0; i < shlen(s->h); i++) {
		const struct Nl__Instance *x = s->h[i].value.s;
		struct json_object *j = json_object_new_object();

		json_object_object_add(j, "server", json_object_new_string(x->server));
		json_object_object_add(j, "service", json_object_new_string(x->service));
		json_object_object_add(j, "addr", json_object_new_string(x->addr));
		json_object_object_add(j, "zone", json_object_new_string(x->zone));
		json_object_object_add(j, "state",
				       json_object_new_string(states[x->state > INSTANCE_GONE ? INSTANCE_GONE : x->state]));
		json_object_object_add(j, "weights", json_object_new_string(x->weights));
		json_object_object_add(j, "loading", json_object_new_boolean(x->loading));
		json_object_array_add(a, j);
	}
	return a;
}
