#include "config_sync.h"

#include <string.h>

#include "ds.h"
#include "leadership.h"
#include "membership.h"
#include "quota_shares.h"
#include "controller_private.h"

static int ranks_before(uint64_t zone, const struct controller_seen *s, uint64_t id)
{
	return core_rdv(zone, s->id) > core_rdv(zone, id);
}

/* The head of each zone but one's own: whom rendezvous ranks first of the routers heard lately. */
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
		else if (ranks_before(c->zone, c, head[k]->id))
			head[k] = c;
	}
	a->head = apr_palloc(o->p, ((size_t)arrlen(head) + 1) * sizeof *a->head);
	for (ptrdiff_t k = 0; k < arrlen(head); k++)
		a->head[a->n_head++] = head[k]->addr;
	arrfree(head);
}

/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
void on_config_sync_request(struct controller *r, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__ConfigSync *q = m->follow;
	struct Nl__ConfigSyncReply *a = OUT_NEW(o, Nl__ConfigSyncReply, NL__CONFIG_SYNC_REPLY__INIT);
	struct controller_seen *s = NULL, me = { m->id,    m->addr, core_hashs(0, q->zone), now, q->counter, q->have, q->horizon,
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
	instances_since(&r->instances, q->instances, a, o->p);
	a->up = apr_palloc(o->p, 2 * sizeof *a->up);
	for (int k = 0; q->counter && k < 2; k++) { /* the best two that rendezvous ranks above the asker in its zone */
		const struct controller_seen *best = NULL;

		for (ptrdiff_t i = 0; i < arrlen(r->seen); i++) {
			const struct controller_seen *c = &r->seen[i];

			if (!c->counter || c->zone != me.zone || now - c->at > CONTROLLER_SEEN / 2 ||
			    !ranks_before(me.zone, c, m->id))
				continue;
			if (a->n_up && c->addr == a->up[0])
				continue;
			if (!best || ranks_before(me.zone, c, best->id))
				best = c;
		}
		if (best)
			a->up[a->n_up++] = best->addr;
	}
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		a->counters += r->seen[i].counter && now - r->seen[i].at < CONTROLLER_SEEN;
	if (q->counter && !a->n_up)
		add_zone_heads(r, me.zone, a, now, o);
	if (!late)
		quota_shares_update(r, m->id, q, a->counters, a, now, o);
	a->registrars = apr_palloc(o->p, ((size_t)arrlen(r->seen) + 1) * sizeof *a->registrars);
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		if (!r->seen[i].counter && now - r->seen[i].at < live_within(r)) {
			struct Nl__Member *x = OUT_NEW(o, Nl__Member, NL__MEMBER__INIT);

			x->id = r->seen[i].id;
			x->addr = r->seen[i].addr;
			a->registrars[a->n_registrars++] = x;
		}
}
