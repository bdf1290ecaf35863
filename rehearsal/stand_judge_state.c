/* What the judge's rules ask of the records: who was in touch when, and what each configuration allows.
 * It keeps nothing; the rules call it. */
#include <string.h>

#include "ds.h"
#include "stand_judge_private.h"

int settled(const struct judge *j, int64_t t)
{
	int up = 0, n = 0, state[256];

	memset(state, 0, sizeof state);
	for (int i = 0; i < arrlen(j->m) && j->m[i].t <= t; i++) {
		const struct machine_ev *e = &j->m[i];

		if (!e->core || e->machine >= 256)
			continue;
		if (e->t > t - j->b.contact)
			return 0;
		state[e->machine] = e->up < 0 ? 0 : e->up ? 2 : 1; /* removed ones are no longer part of it */
	}
	for (int i = 0; i < 256; i++) {
		n += state[i] > 0;
		up += state[i] > 1;
	}
	return up * 2 > n;
}

int judge_touch(const struct judge *j, int machine, int64_t t)
{
	int up = 0;

	if (machine < 0)
		return 0;
	for (int i = 0; i < arrlen(j->m) && j->m[i].t <= t; i++)
		if (j->m[i].machine == machine) {
			if (j->m[i].t > t - j->b.contact)
				return 0;
			up = j->m[i].up > 0;
		}
	return up && settled(j, t);
}

int unplanned(const struct judge *j, int machine, int64_t from, int64_t to)
{
	int bad = 0;

	for (int i = 0; i < arrlen(j->m) && j->m[i].t <= to; i++) {
		const struct machine_ev *e = &j->m[i];

		if (e->machine != machine && !e->core)
			continue;
		if (e->tr == UNPLANNED && e->t >= from)
			return 1;
		if (e->machine == machine && e->t < from)
			bad = e->tr == UNPLANNED && !e->up;
	}
	return bad;
}

int life_of(const struct judge *j, int machine, int64_t t)
{
	int n = 0;

	for (int i = 0; i < arrlen(j->m) && j->m[i].t <= t; i++)
		n += j->m[i].machine == machine && j->m[i].up > 0;
	return n;
}

int64_t settled_since(const struct judge *j, int64_t t)
{
	int64_t from = 0;

	if (!settled(j, t))
		return -1;
	for (int i = 0; i < arrlen(j->m) && j->m[i].t <= t; i++)
		if (j->m[i].core)
			from = j->m[i].t + j->b.contact;
	return from;
}

int denies(const struct cfg *c, const struct attempt *a, const char *service)
{
	const struct cfg_route *r = cfg_match(c, a->host, a->path);
	int there = !service;

	if (!r)
		return NO_ROUTE;
	if (arrlen(c->tenant) && !r->open && !cfg_holder(c, text(a->key)))
		return NO_KEY;
	for (int i = 0; i < r->nservice; i++)
		there |= service && r->weight[i] > 0 && !strcmp(r->service[i], service);
	return there ? 0 : NO_ROUTE;
}

int valid(const struct kept_cfg *k) { return k->c && !k->invalid && k->refused < 0; }

int64_t floor_at(const struct judge *j, int64_t t, int64_t more)
{
	int64_t v = -1;

	for (int i = 0; i < arrlen(j->c); i++)
		if (j->c[i].acked >= 0 && j->c[i].acked + j->b.apply + more < t && j->c[i].version > v)
			v = j->c[i].version;
	return v;
}

struct span handled(const struct judge *j, const struct attempt *a, const char *service, int status, int64_t seen, int64_t from)
{
	struct span s = { 0, 0, 0, 0, 1, INT64_MAX, -1 };

	for (int i = 0; i < arrlen(j->c); i++) {
		const struct kept_cfg *k = &j->c[i];
		int d, same;

		if (!k->c || k->sent > seen)
			continue;
		d = denies(k->c, a, service);
		same = service ? !d : d == status || (d && status == 403);
		s.any |= same;
		if (!valid(k)) {
			s.bad |= same;
			continue;
		}
		if (k->version >= from) {
			s.may |= same;
			s.all &= !d;
		} else {
			s.older |= same;
		}
		if (same && k->version < s.lo)
			s.lo = k->version;
		if (same && k->version > s.hi)
			s.hi = k->version;
	}
	return s;
}
