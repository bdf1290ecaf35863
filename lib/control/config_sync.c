#include "config_sync.h"

#include <string.h>

#include "ds.h"
#include "leadership.h"
#include "membership.h"
#include "quota_shares.h"
#include "reg_private.h"

static int rank_before(uint64_t zone, const struct reg_seen *s, uint64_t id) { return core_rdv(zone, s->id) > core_rdv(zone, id); }

/* The head of each zone but one's own: whom rendezvous ranks first of the counters heard lately. */
static void name_heads(const struct reg *r, uint64_t zone, struct Nl__FollowReply *a, int64_t now, struct out *o)
{
	const struct reg_seen **head = NULL;

	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++) {
		const struct reg_seen *c = &r->seen[i];
		ptrdiff_t k = 0;

		if (!c->counter || c->zone == zone || now - c->at > REG_SEEN / 2)
			continue;
		while (k < arrlen(head) && head[k]->zone != c->zone)
			k++;
		if (k == arrlen(head))
			arrput(head, c);
		else if (rank_before(c->zone, c, head[k]->id))
			head[k] = c;
	}
	a->head = apr_palloc(o->p, ((size_t)arrlen(head) + 1) * sizeof *a->head);
	for (ptrdiff_t k = 0; k < arrlen(head); k++)
		a->head[a->n_head++] = head[k]->addr;
	arrfree(head);
}

/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
void on_follow(struct reg *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__Follow *q = m->follow;
	struct Nl__FollowReply *a = OUT_NEW(o, Nl__FollowReply, NL__FOLLOW_REPLY__INIT);
	struct reg_seen *s = NULL, me = { m->id,   m->addr,  core_hashs(0, q->zone), now, q->counter, q->have, q->horizon, q->token,
					  q->wall, q->strain };

	int late;

	out_msg(o, m->addr, SHARD_CONTROL, NL__MSG__BODY_FOLLOW_REPLY)->follow_reply = a;
	a->token = q->token;
	a->fleet = r->fleet;
	a->licensed = in_office(r, SHARD_CONTROL, now);
	a->hint = owner_hint(r, SHARD_CONTROL, now);
	if (!a->hint && r->f.seat[SHARD_CONTROL] != o->addr)
		a->hint = r->f.seat[SHARD_CONTROL];
	if (!a->licensed)
		return;
	for (ptrdiff_t i = arrlen(r->seen) - 1; i >= 0; i--)
		if (r->seen[i].id == m->id)
			s = &r->seen[i];
		else if (now - r->seen[i].at > 60 * 1000)
			arrdelswap(r->seen, i);
	/* the deletion may have moved it */
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		if (r->seen[i].id == m->id)
			s = &r->seen[i];
	late = s && q->token < s->token; /* overtaken on its way: what it says of places no longer holds */
	if (s)
		*s = me;
	else
		arrput(r->seen, me);
	retention_heard(r, m, now);
	table_since(&r->ctl, q->have, a, o->p);
	sights_since(&r->sights, q->sights, a, o->p);
	a->up = apr_palloc(o->p, 2 * sizeof *a->up);
	for (int k = 0; q->counter && k < 2; k++) { /* the best two that rendezvous ranks above the asker in its zone */
		const struct reg_seen *best = NULL;

		for (ptrdiff_t i = 0; i < arrlen(r->seen); i++) {
			const struct reg_seen *c = &r->seen[i];

			if (!c->counter || c->zone != me.zone || now - c->at > REG_SEEN / 2 || !rank_before(me.zone, c, m->id))
				continue;
			if (a->n_up && c->addr == a->up[0])
				continue;
			if (!best || rank_before(me.zone, c, best->id))
				best = c;
		}
		if (best)
			a->up[a->n_up++] = best->addr;
	}
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		a->counters += r->seen[i].counter && now - r->seen[i].at < REG_SEEN;
	if (q->counter && !a->n_up)
		name_heads(r, me.zone, a, now, o);
	if (!late)
		places(r, m->id, q, a->counters, a, now, o);
	a->registrars = apr_palloc(o->p, ((size_t)arrlen(r->seen) + 1) * sizeof *a->registrars);
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		if (!r->seen[i].counter && now - r->seen[i].at < live_within(r)) {
			struct Nl__Member *x = OUT_NEW(o, Nl__Member, NL__MEMBER__INIT);

			x->id = r->seen[i].id;
			x->addr = r->seen[i].addr;
			a->registrars[a->n_registrars++] = x;
		}
}
