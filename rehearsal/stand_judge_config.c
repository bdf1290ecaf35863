/* Rules about configurations and keys: which version a request was handled by, what was acknowledged, read back or
 * revoked. */
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "stand_history.h"
#include "stand_judge_private.h"

void rule_config(struct judge *j)
{
	int denied = 0, asked = 0;
	int64_t last_denied = 0;
	struct {
		int64_t seen, lo;
		int life;
	} *back = NULL;

	for (int i = 0; i < arrlen(j->a); i++) {
		const struct attempt *a = &j->a[i];
		int touch = judge_touch(j, a->edge, a->t);
		int64_t from = floor_at(j, a->t, settled(j, a->t) ? 0 : j->b.drift);

		asked += a->is_told && !a->probe;
		for (int k = 0; k < arrlen(a->run); k++) {
			const struct arrival *r = &j->r[a->run[k]];
			struct span s;

			if (r->begun < 0)
				continue;
			s = handled(j, a, r->service, 0, r->begun, from);
			if (touch && judge_touch(j, a->edge, r->begun) && !s.may && s.older)
				breach(j, "CONFIG", r->begun, "try %s ran at %s, as only a version before %lld has it", a->id,
				       r->service, (long long)from);
			else if (!s.may && !s.older && s.bad)
				breach(j, "CONFIG", r->begun, "try %s ran at %s, as only a refused or invalid configuration has it",
				       a->id, r->service);
		}
		if (a->is_told && a->own && a->status >= 300 && a->status < 500 && a->status != 408 && a->status != 421 &&
		    a->status != 429) {
			struct span s = handled(j, a, NULL, a->status, a->told_at, from);

			if (!touch || !judge_touch(j, a->edge, a->told_at))
				continue;
			if ((a->status == 401 || a->status == 403 || a->status == 404) && !s.may && s.older) {
				breach(j, "CONFIG", a->told_at, "try %s was denied with %d, as only a version before %lld does",
				       a->id, a->status, (long long)from);
			} else if (s.all && !a->probe && from >= 0) {
				denied++;
				last_denied = a->told_at;
			}
		}
	}
	if (denied > 5 + asked / 500)
		breach(j, "DENIED", last_denied, "%d of %d proper requests were denied", denied, asked);
	/* nobody goes back: what a life has shown holds */
	for (int m = 0; m < 64; m++) {
		arrsetlen(back, 0);
		for (int i = 0; i < arrlen(j->a); i++) {
			const struct attempt *a = &j->a[i];

			if (a->edge != m)
				continue;
			for (int k = 0; k < arrlen(a->run); k++) {
				const struct arrival *r = &j->r[a->run[k]];
				struct span s;

				if (r->begun < 0)
					continue;
				s = handled(j, a, r->service, 0, r->begun, -1);
				if (s.hi < 0)
					continue;
				arrsetlen(back, arrlenu(back) + 1);
				arrlast(back).seen = r->begun;
				arrlast(back).lo = s.lo;
				arrlast(back).life = life_of(j, m, a->t);
			}
		}
		for (int i = 0; i < arrlen(j->a); i++) {
			const struct attempt *a = &j->a[i];
			int64_t most = -1;
			int life;

			if (a->edge != m || !a->is_told)
				continue;
			life = life_of(j, m, a->t);
			for (int k = 0; k < arrlen(back); k++)
				if (back[k].life == life && back[k].seen + j->b.revert < a->t && back[k].lo > most)
					most = back[k].lo;
			if (most < 0)
				continue;
			for (int k = 0; k < arrlen(a->run); k++) {
				const struct arrival *r = &j->r[a->run[k]];
				struct span s;

				if (r->begun < 0)
					continue;
				s = handled(j, a, r->service, 0, r->begun, -1);
				if (s.hi >= 0 && s.hi < most)
					breach(j, "CONFIG", r->begun, "machine %d went back behind %lld with try %s", m,
					       (long long)most, a->id);
			}
			if (a->own && (a->status == 401 || a->status == 403 || a->status == 404)) {
				struct span s = handled(j, a, NULL, a->status, a->told_at, -1);

				if (s.hi >= 0 && s.hi < most)
					breach(j, "CONFIG", a->told_at, "machine %d went back behind %lld and denied try %s", m,
					       (long long)most, a->id);
			}
		}
	}
	arrfree(back);
	/* acknowledgements */
	for (int i = 0; i < arrlen(j->c); i++) {
		const struct kept_cfg *k = &j->c[i];

		if (k->invalid && k->acked >= 0)
			breach(j, "CONFIG", k->acked, "an invalid configuration (%lld on %lld) was acknowledged",
			       (long long)k->version, (long long)k->base);
		for (int n = 0; n < i; n++)
			if (k->acked >= 0 && j->c[n].acked >= 0 && k->base == j->c[n].base &&
			    (k->version != j->c[n].version ||
			     strcmp(k->c ? text(k->c->text) : "", j->c[n].c ? text(j->c[n].c->text) : "")))
				breach(j, "CONFIG", k->acked, "%lld and %lld, both on top of %lld, were acknowledged",
				       (long long)j->c[n].version, (long long)k->version, (long long)k->base);
	}
}

/* Routes added later are served like the first ones. */
void rule_added(struct judge *j)
{
	const struct cfg *first = NULL;
	double got[2] = { 0, 0 }, all[2] = { 0, 0 };
	int added = 0;

	for (int i = 0; i < arrlen(j->c) && !first; i++)
		if (valid(&j->c[i]))
			first = j->c[i].c;
	for (int i = 0; i < arrlen(j->c); i++)
		if (valid(&j->c[i]) && j->c[i].c != first)
			added = arrlen(j->c[i].c->route) - arrlen(first->route) > added
				    ? (int)(arrlen(j->c[i].c->route) - arrlen(first->route))
				    : added;
	if (added < 20)
		return;
	for (int i = 0; i < arrlen(j->a); i++) {
		const struct attempt *a = &j->a[i];
		int late = !cfg_match(first, a->host, a->path), there = 1, known = 0;
		int64_t from = floor_at(j, a->t, 0);

		if (!a->is_told || !judge_touch(j, a->edge, a->t) || a->how == TOLD_GAVE_UP)
			continue;
		for (int k = 0; k < arrlen(j->c); k++)
			if (valid(&j->c[k]) && j->c[k].version >= from && j->c[k].sent <= a->told_at) {
				known = 1;
				there &= !denies(j->c[k].c, a, NULL);
			}
		if (!known || !there)
			continue;
		all[late]++;
		got[late] += a->status >= 200 && a->status < 300;
	}
	if (all[0] >= 20 && all[1] >= 20 && got[0] / all[0] > 4 * got[1] / all[1])
		breach(j, "CONFIG", 0, "routes added later were served %.0f of %.0f times, the first ones %.0f of %.0f", got[1],
		       all[1], got[0], all[0]);
}

void rule_keys(struct judge *j)
{
	if (!j->b.revoke_global)
		return;
	for (int i = 0; i < arrlen(j->a); i++) {
		const struct attempt *a = &j->a[i];
		int64_t ran = -1;

		for (int k = 0; k < arrlen(a->run); k++)
			if (j->r[a->run[k]].begun >= 0)
				ran = j->r[a->run[k]].begun;
		if (ran < 0 || !a->key)
			continue;
		for (int n = 0; n < arrlen(j->c); n++) {
			const struct kept_cfg *k = &j->c[n];
			const struct cfg_route *m;
			int had = 0, has = 0;

			if (!k->c || k->acked < 0 || k->acked + j->b.revoke >= a->t || cfg_holder(k->c, a->key))
				continue;
			m = cfg_match(k->c, a->host, a->path);
			if (m && m->open)
				continue;
			for (int x = 0; x < arrlen(j->c); x++) {
				const struct cfg *c = j->c[x].c;

				if (!c || j->c[x].sent > ran || !cfg_holder(c, a->key))
					continue;
				had |= c->version < k->version;
				has |= c->version > k->version && valid(&j->c[x]);
			}
			if (had && !has) {
				breach(j, "CONFIG", ran, "try %s ran with a key that version %lld took away at %lld", a->id,
				       (long long)k->version, (long long)k->acked);
				break;
			}
		}
	}
}

void rule_read(struct judge *j, int64_t end)
{
	const struct kept_cfg *top = NULL;
	const char *rule = j->fault >= 0 ? "LOST" : "CONFIG";
	struct cfg *c;
	int same = 0;

	if (!arrlen(j->read))
		return;
	for (int i = 0; i < arrlen(j->c); i++)
		if (j->c[i].acked >= 0 && (!top || j->c[i].version > top->version))
			top = &j->c[i];
	if (!top)
		return;
	c = arrlast(j->read).text ? cfg_read(arrlast(j->read).text) : NULL;
	if (!c) {
		breach(j, "CONFIG", end, "the configuration read back does not come");
		return;
	}
	if (c->version < top->version)
		breach(j, rule, arrlast(j->read).t, "read back: %lld, though %lld was acknowledged", (long long)c->version,
		       (long long)top->version);
	for (int i = 0; i < arrlen(j->c); i++) {
		struct json_object *a, *b;

		if (!j->c[i].c || j->c[i].version != c->version)
			continue;
		a = json_tokener_parse(j->c[i].c->text);
		b = json_tokener_parse(c->text);
		same |= !j->c[i].invalid && json_object_equal(a, b);
		json_object_put(a);
		json_object_put(b);
	}
	if (c->version >= top->version && !same)
		breach(j, "CONFIG", arrlast(j->read).t, "read back: %lld differs from what was sent under it",
		       (long long)c->version);
	cfg_free(c);
}

void rule_acks(struct judge *j, int64_t end)
{
	for (int i = 0; i < arrlen(j->c); i++) {
		const struct kept_cfg *k = &j->c[i];
		int64_t most, from, newest = 0;

		if (k->invalid || k->refused >= 0)
			continue;
		most = j->b.ack + 3 * arrlen(k->c->route);
		for (int n = 0; n < arrlen(j->c); n++) /* on top of what is no longer current it wins nothing */
			if (n != i && j->c[n].acked >= 0 && j->c[n].acked <= k->sent + most && j->c[n].version > newest &&
			    j->c[n].base <= k->base && j->c[n].version > k->base)
				newest = j->c[n].version;
		if (newest)
			continue;
		if ((k->acked >= 0 && k->acked <= k->sent + most) || end < k->sent + most)
			continue;
		from = settled_since(j, k->sent + most);
		if (from >= 0 && from <= k->sent)
			breach(j, "ACKS", k->sent + most, "configuration %lld, sent at %lld, was not acknowledged within %lld ms",
			       (long long)k->version, (long long)k->sent, (long long)most);
	}
	for (int i = 0; i < arrlen(j->n); i++) {
		int ok = 0;
		int64_t from;

		if (j->n[i].acked || end < j->n[i].t + j->b.ack)
			continue;
		for (int k = 0; k < arrlen(j->n); k++)
			ok |= j->n[k].acked && j->n[k].version >= j->n[i].version && j->n[k].t <= j->n[i].t + j->b.ack;
		from = settled_since(j, j->n[i].t + j->b.ack);
		if (!ok && from >= 0 && from <= j->n[i].t)
			breach(j, "ACKS", j->n[i].t + j->b.ack, "weights %d, named at %lld, were not acknowledged", j->n[i].version,
			       (long long)j->n[i].t);
	}
}

/* All that the operator sent and read fits one register. Readings come one after the other, each within a second. */
void rule_history(struct judge *j)
{
	struct history_write *writes = NULL;
	struct history_read *reads = NULL;
	char why[400];

	for (int i = 0; i < arrlen(j->c); i++) {
		const struct kept_cfg *k = &j->c[i];
		struct history_write w = { k->base, k->version, k->sent, k->acked, k->refused, k->c ? text(k->c->text) : NULL };

		if (!k->invalid)
			arrput(writes, w);
	}
	for (int i = 0; i < arrlen(j->read); i++) {
		struct history_read r = { j->read[i].t - 1000, j->read[i].t, text(j->read[i].text) };

		if (j->read[i].text)
			arrput(reads, r);
	}
	if (!history_holds(writes, arrlenu(writes), reads, arrlenu(reads), why, sizeof why))
		breach(j, j->fault >= 0 ? "LOST" : "CONFIG", arrlen(reads) ? arrlast(reads).answered : 0,
		       "the operator's history is %s", why);
	arrfree(writes);
	arrfree(reads);
}
