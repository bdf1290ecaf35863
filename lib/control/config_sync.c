#include "config_sync.h"

#include <string.h>

#include "ds.h"
#include "group_clock.h"
#include "leadership.h"
#include "membership.h"
#include "quota_shares.h"
#include "controller_private.h"

/* Which of two routers of a zone is upstream of the other: one that has been in service for a while goes before one that has just
 * begun, which knows nothing yet that it could pass on; among those that are alike rendezvous ranks them. */
static int is_upstream(const struct controller_seen *s, const struct controller_seen *of)
{
	if (s->warm != of->warm)
		return s->warm;
	return core_rdv(s->zone, s->id) > core_rdv(s->zone, of->id);
}

/* The head of each zone but one's own: the router that is upstream of all others heard lately. */
static void add_zone_heads(const struct controller *r, uint64_t zone, struct Nl__ConfigSyncReply *a, int64_t now, struct out *o)
{
	const struct controller_seen **head = NULL;

	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++) {
		const struct controller_seen *c = &r->seen[i];
		ptrdiff_t k = 0;

		if (!c->counter || c->zone == zone || now - c->at > CONTROLLER_SEEN / 2)
			continue;
		while (k < arrlen(head) && head[k]->zone != c->zone)
			k++;
		if (k == arrlen(head))
			arrput(head, c);
		else if (is_upstream(c, head[k]))
			head[k] = c;
	}
	a->head = apr_palloc(o->p, ((size_t)arrlen(head) + 1) * sizeof *a->head);
	for (ptrdiff_t k = 0; k < arrlen(head); k++)
		a->head[a->n_head++] = head[k]->addr;
	arrfree(head);
}

/* The best two of the routers upstream of this one in its zone. */
static void add_upstream(const struct controller *r, const struct controller_seen *me, struct Nl__ConfigSyncReply *a, int64_t now,
			 struct out *o)
{
	enum { UPSTREAM = 2 };

	a->up = apr_palloc(o->p, UPSTREAM * sizeof *a->up);
	for (int k = 0; k < UPSTREAM; k++) {
		const struct controller_seen *best = NULL;

		for (ptrdiff_t i = 0; i < arrlen(r->seen); i++) {
			const struct controller_seen *c = &r->seen[i];

			if (!c->counter || c->zone != me->zone || now - c->at > CONTROLLER_SEEN / 2 || !is_upstream(c, me))
				continue;
			if (a->n_up && c->addr == a->up[0])
				continue;
			if (!best || is_upstream(c, best))
				best = c;
		}
		if (best)
			a->up[a->n_up++] = best->addr;
	}
}

static void add_controllers(const struct controller *r, struct Nl__ConfigSyncReply *a, int64_t now, struct out *o)
{
	a->registrars = apr_palloc(o->p, ((size_t)arrlen(r->seen) + 1) * sizeof *a->registrars);
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		if (!r->seen[i].counter && now - r->seen[i].at < live_within(r)) {
			struct Nl__Member *x = OUT_NEW(o, Nl__Member, NL__MEMBER__INIT);

			x->id = r->seen[i].id;
			x->addr = r->seen[i].addr;
			a->registrars[a->n_registrars++] = x;
		}
}

/* Keep what a node says of itself, and forget who has been silent for long. 1 when a later request of its was here before: what
 * this one says of places no longer holds. */
static int note_seen(struct controller *r, const struct controller_seen *me, int64_t now)
{
	for (ptrdiff_t i = arrlen(r->seen) - 1; i >= 0; i--)
		if (r->seen[i].id != me->id && now - r->seen[i].at > CONTROLLER_SEEN_FORGET)
			arrdelswap(r->seen, i);
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++) {
		struct controller_seen *seen = &r->seen[i];
		int late = me->token < seen->token;

		if (seen->id != me->id)
			continue;
		if (late)
			seen->at = now;
		else
			*seen = *me;
		return late;
	}
	arrput(r->seen, *me);
	return 0;
}

void on_config_sync_request(struct controller *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__ConfigSync *q = m->follow;
	struct Nl__ConfigSyncReply *a = OUT_NEW(o, Nl__ConfigSyncReply, NL__CONFIG_SYNC_REPLY__INIT);
	struct controller_seen me = { m->id,    m->addr, core_hashs(0, q->zone), now, q->counter, q->warm, q->have, q->horizon,
				      q->token, q->wall, q->load_pressure };
	int late;

	out_msg(o, m->addr, SHARD_CONTROL, NL__MSG__BODY_FOLLOW_REPLY)->follow_reply = a;
	a->token = q->token;
	a->fleet = r->fleet;
	a->has_lease = leads_shard(r, SHARD_CONTROL, now);
	a->hint = leader_hint(r, SHARD_CONTROL, now);
	if (!a->hint && r->f.leader_addr[SHARD_CONTROL] != o->addr)
		a->hint = r->f.leader_addr[SHARD_CONTROL];
	if (!a->has_lease)
		return;
	late = note_seen(r, &me, now);
	retention_heard(r, m, now);
	a->clock = group_clock_now(r, now);
	a->clock_term = r->part[SHARD_CONTROL].term;
	table_since(&r->ctl, q->have, a, o->p);
	instances_since(&r->instances, q->instances, a, o->p);
	if (q->counter)
		add_upstream(r, &me, a, now, o);
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		a->counters += r->seen[i].counter && now - r->seen[i].at < CONTROLLER_SEEN;
	if (q->counter && !a->n_up)
		add_zone_heads(r, me.zone, a, now, o);
	if (!late)
		quota_shares_update(r, m->id, q, a->counters, a, now, o);
	add_controllers(r, a, now, o);
}
