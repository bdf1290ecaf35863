#include "bootstrap.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "controller_private.h"

enum { FOUND_RETRY_MS = 1000 };

static int is_empty(const struct controller *r)
{
	for (int i = 0; i < SHARD_COUNT; i++)
		if (r->part[i].term || r->part[i].member_count || r->part[i].base)
			return 0;
	return !r->fleet;
}

static void bootstrap_here(struct controller *r, uint64_t fleet, const struct Nl__Members *ms, int64_t now, struct out *o)
{
	struct raft_member m[RAFT_MAX_MEMBERS];
	int n = 0, mine = 0;

	for (size_t i = 0; i < ms->n_m && n < RAFT_MAX_MEMBERS; i++) {
		memset(&m[n], 0, sizeof m[n]);
		m[n].id = ms->m[i]->id;
		m[n].addr = ms->m[i]->addr;
		m[n].voter = 1;
		mine |= m[n++].id == r->id;
	}
	if (!mine || !is_empty(r))
		return;
	r->fleet = r->f.fleet = fleet;
	r->fleet_dirty = 1;
	o->fleet = fleet;
	for (int i = 0; i < SHARD_COUNT; i++)
		raft_bootstrap(&r->part[i], m, n, now, o);
	log_line(r, "found", o->p, "The fleet %016" APR_UINT64_T_HEX_FMT " is founded with %d registrars.", fleet, n);
}

void on_bootstrap_message(struct controller *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__Found *q = m->found;
	struct Nl__Found *a;

	if (q->ask || q->members) {
		if (q->members && q->fleet)
			bootstrap_here(r, q->fleet, q->members, now, o);
		a = OUT_NEW(o, Nl__Found, NL__FOUND__INIT);
		a->empty = is_empty(r);
		a->fleet = r->fleet;
		a->token = q->token;
		out_msg(o, m->addr, 0, NL__MSG__BODY_FOUND)->found = a;
		return;
	}
	for (int i = 0; i < r->nseeds && (r->found.web || r->found.own); i++)
		if (r->seeds[i] == m->addr) {
			r->found.id[i] = m->id;
			r->found.empty[i] = q->empty;
			r->found.fleet[i] = q->fleet;
		}
}

static void bootstrap_begin(struct controller *r, int64_t now)
{
	if (r->found.members)
		nl__members__free_unpacked(r->found.members, NULL);
	memset(&r->found, 0, sizeof r->found);
	r->found.until = now + 10000;
}

void found_fleet(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o)
{
	const char *why = r->fleet ? "found: this registrar belongs to a fleet" : r->nseeds ? NULL : "found: no seeds are set";

	if (why) { /* so it is for good, whatever others do */
		out_answer(o, ev->u.web.token, 409, 0, error_json(o->p, why, 0));
		return;
	}
	if (r->found.web || r->found.own) {
		out_answer(o, ev->u.web.token, 503, FOUND_RETRY_MS, error_json(o->p, "found: already under way", 0));
		return;
	}
	bootstrap_begin(r, now);
	r->found.web = ev->u.web.token;
}

void controller_bootstrap(struct controller *r, int64_t now)
{
	if (r->found.web || r->found.own || !r->nseeds || !is_empty(r))
		return;
	bootstrap_begin(r, now);
	r->found.own = 1;
	r->found.until = now + 30000; /* by then its seeds have answered, or were replaced */
}

static void bootstrap_end(struct controller *r, int status, const char *body, struct out *o)
{
	if (r->found.web)
		out_answer(o, r->found.web, status, status < 500 ? 0 : FOUND_RETRY_MS, body);
	r->found.web = 0;
	r->found.own = 0;
}

/* Definite is only a seed's word that it belongs to a fleet. Once the members were named, some may have taken them. */
static void found_fails(struct controller *r, int all_heard, struct out *o)
{
	if (r->found.members)
		bootstrap_end(r, 504, error_json(o->p, "found: not every seed answers, and some may have begun: ask again", 0), o);
	else if (!all_heard)
		bootstrap_end(r, 503, error_json(o->p, "found: not every seed answers; nothing was founded", 0), o);
	else
		bootstrap_end(r, 409,
			      error_json(o->p, "found: a seed already belongs to a fleet; start the others and they join", 0), o);
}

void bootstrap_stop(struct controller *r, struct out *o)
{
	int begun = r->found.members != NULL;

	if (!r->found.web)
		return;
	found_fails(r, 0, o);
	r->found.own = begun; /* seeds that have begun are still told of the others */
}

void bootstrap_tick(struct controller *r, int64_t now, struct out *o)
{
	int heard = 0, empty = 0, done = 0;

	if (!r->found.web && !r->found.own)
		return;
	if (now < r->found.at && !(r->found.own && r->fleet && !r->found.members))
		return;
	r->found.at = now + 200;
	for (int i = 0; i < r->nseeds; i++) {
		heard += r->found.id[i] != 0;
		empty += r->found.id[i] && r->found.empty[i] && !r->found.fleet[i];
		done += r->found.fleet[i] && r->found.fleet[i] == r->found.name;
	}
	if (r->nseeds && done == r->nseeds) {
		bootstrap_end(r, 200, apr_psprintf(o->p, "{\"fleet\":\"%016" APR_UINT64_T_HEX_FMT "\"}", r->fleet), o);
		return;
	}
	if (r->found.own ? (!r->found.members && (empty < heard || r->fleet)) || (r->fleet && now > r->found.until)
			 : now > r->found.until || (!r->found.members && heard == r->nseeds && empty < heard)) {
		found_fails(r, heard == r->nseeds, o);
		return;
	}
	if (!r->found.members && heard == r->nseeds) {
		r->found.members = malloc(sizeof *r->found.members);
		if (!r->found.members)
			abort();
		nl__members__init(r->found.members);
		r->found.name = core_rand(&r->rng) | 1;
		r->found.members->m = calloc((size_t)r->nseeds, sizeof *r->found.members->m);
		for (int i = 0; i < r->nseeds; i++) {
			struct Nl__Member *x = malloc(sizeof *x);

			if (!x || !r->found.members->m)
				abort();
			nl__member__init(x);
			x->id = r->found.id[i];
			x->addr = r->seeds[i];
			x->voter = 1;
			r->found.members->m[r->found.members->n_m++] = x;
		}
	}
	for (int i = 0; i < r->nseeds; i++) {
		struct Nl__Found *q = OUT_NEW(o, Nl__Found, NL__FOUND__INIT);

		q->ask = 1;
		if (r->found.members) {
			q->fleet = r->found.name;
			q->members = (struct Nl__Members *)core_dup(o->p, &r->found.members->base);
		}
		out_msg(o, r->seeds[i], 0, NL__MSG__BODY_FOUND)->found = q;
	}
}
