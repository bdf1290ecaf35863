/* Rules about single requests: MIXED, ORDER, UNASKED, ROUTE, TWICE and REFUSED. */
#include <string.h>

#include "ds.h"
#include "stand_judge_private.h"

void rule_answers(struct judge *j)
{
	for (int i = 0; i < arrlen(j->stray); i++)
		breach(j, "MIXED", j->stray[i].t, "bytes of a success came where no request was waiting (last %s)", j->stray[i].id);
	for (int i = 0; i < arrlen(j->a); i++) {
		const struct attempt *a = &j->a[i];
		const struct arrival *r = a->seal >= 0 && a->seal < arrlen(j->r) ? &j->r[a->seal] : NULL;
		int broke = 0;

		if (!a->is_told)
			continue;
		for (int k = 0; k < arrlen(a->run); k++)
			broke |= j->r[a->run[k]].ran && !j->r[a->run[k]].how;
		if (a->how == TOLD_BAD && !broke)
			breach(j, "MIXED", a->told_at, "try %s got bytes that are no answer", a->id);
		if (a->seal_id && strcmp(a->seal_id, a->id))
			breach(j, "MIXED", a->told_at, "try %s got the answer of %s", a->id, a->seal_id);
		if (a->status < 200 || a->status > 299)
			continue;
		if (!r)
			breach(j, "MIXED", a->told_at, "try %s got a success without a server's stamp", a->id);
		else if (r->try != i)
			breach(j, "MIXED", a->told_at, "try %s got the stamp of a run of %s", a->id, r->id);
		else if (r->ran && r->how == 1 && (r->status < 200 || r->status > 299))
			breach(j, "MIXED", a->told_at, "try %s got a success where its server answered %d", a->id, r->status);
		else if (a->how == TOLD_WHOLE && !a->events && r->how == 0)
			breach(j, "MIXED", a->told_at, "try %s got a whole answer where its server broke off", a->id);
		else if (a->how == TOLD_WHOLE && !a->events && r->ran && r->how == 1 && r->ran_body != a->told_body)
			breach(j, "MIXED", a->told_at, "try %s got another body than its server gave", a->id);
	}
}

void rule_order(struct judge *j)
{
	for (int i = 0; i < arrlen(j->a); i++) {
		const struct attempt *a = &j->a[i];
		int last = a->last_event, run = -1, wrong = 0;

		if (!a->is_told || !a->events || a->status < 200 || a->status > 299)
			continue;
		for (int k = 0; k < arrlen(a->event); k++) {
			const struct event_rec *e = &a->event[k];
			const struct arrival *r = e->run >= 0 && e->run < arrlen(j->r) ? &j->r[e->run] : NULL;

			if (!r || r->try != i) {
				breach(j, "MIXED", a->told_at, "try %s got a piece of another request's run", a->id);
				wrong = 1;
				break;
			}
			if (e->id != last + 1) {
				breach(j, "ORDER", a->told_at, "try %s got piece %d behind piece %d", a->id, e->id, last);
				wrong = 1;
				break;
			}
			if (run >= 0 && e->run != run && (a->kind != TRY_RESUMABLE || r->last_event != last)) {
				breach(j, "ORDER", a->told_at, "try %s got pieces of two runs joined at %d", a->id, e->id);
				wrong = 1;
				break;
			}
			run = e->run;
			last = e->id;
		}
		if (a->how == TOLD_WHOLE && !wrong) {
			const struct arrival *r = run >= 0 ? &j->r[run] : NULL;

			if (r && r->try == i && (!r->ran || r->how != 1 || r->last != last))
				breach(j, "ORDER", a->told_at, "try %s ended as complete at piece %d of %d", a->id, last, r->last);
			else if (!r && a->seal >= 0 && a->seal < arrlen(j->r) &&
				 (j->r[a->seal].how != 1 || j->r[a->seal].last > last))
				breach(j, "ORDER", a->told_at, "try %s ended as complete without a piece", a->id);
		}
	}
}

static int holds_name(const struct judge *j, const char *key, const char *tenant, int *held)
{
	int ok = 0;

	for (int i = 0; i < arrlen(j->c); i++) {
		const struct cfg_tenant *t = j->c[i].c ? cfg_holder(j->c[i].c, text(key)) : NULL;

		*held |= t != NULL;
		ok |= t && !strcmp(t->name, text(tenant));
	}
	return ok;
}

void rule_runs(struct judge *j)
{
	for (int i = 0; i < arrlen(j->r); i++) {
		const struct arrival *r = &j->r[i];
		const struct attempt *a = r->try >= 0 ? &j->a[r->try] : NULL;
		int route = 0, key = 0, held = 0, any = 0;

		if (r->begun < 0)
			continue;
		if (!a) {
			breach(j, "UNASKED", r->begun, "a server ran %s, which no client sent", r->id);
			continue;
		}
		if (strcmp(r->method, a->method) || strcmp(r->path, a->path) || r->body != a->body || strcmp(r->host, a->host))
			breach(j, "UNASKED", r->begun, "try %s ran with another method, host, path or body", a->id);
		for (int k = 0; k < arrlen(j->c); k++) {
			const struct cfg *c = j->c[k].c;
			const struct cfg_route *m = c ? cfg_match(c, a->host, a->path) : NULL;

			any |= c != NULL;
			if (!m)
				continue;
			for (int s = 0; s < m->nservice; s++)
				route |= !strcmp(m->service[s], r->service) && m->weight[s] > 0;
			key |= m->open || !arrlen(c->tenant) || cfg_holder(c, text(a->key));
		}
		if (any && !route)
			breach(j, "ROUTE", r->begun, "service %s ran try %s, which no configuration sends there", r->service,
			       a->id);
		else if (any && !key)
			breach(j, "ROUTE", r->begun, "try %s ran with a key that no configuration holds", a->id);
		else if (any && r->tenant && !holds_name(j, a->key, r->tenant, &held) && held)
			breach(j, "UNASKED", r->begun, "try %s ran as tenant %s, whose key it does not bear", a->id, r->tenant);
		else if (any && !r->tenant && a->key && !holds_name(j, a->key, "", &held) && held)
			breach(j, "UNASKED", r->begun, "try %s ran without its tenant's name", a->id);
	}
	for (int i = 0; i < arrlen(j->a); i++) {
		const struct attempt *a = &j->a[i];
		int runs = 0;

		for (int k = 0; k < arrlen(a->run); k++)
			runs += j->r[a->run[k]].begun >= 0;
		if (a->kind == TRY_ONCE && runs > 1)
			breach(j, "TWICE", a->t, "try %s ran %d times", a->id, runs);
		if (a->kind == TRY_ONCE && runs && a->is_told &&
		    (a->status == 429 || a->status == 503 || a->status == 408 || a->status == 421))
			breach(j, "REFUSED", a->told_at, "try %s was answered %d and ran", a->id, a->status);
	}
}
