#include "membership.h"

#include <apr_strings.h>
#include <string.h>

#include "ds.h"
#include "leadership.h"
#include "proposals.h"
#include "controller_private.h"

int64_t live_within(const struct controller *r)
{
	int64_t ms = r->b.catch_up_ms / 5;

	return ms < CONTROLLER_SEEN ? ms : CONTROLLER_SEEN;
}

static int64_t member_lost_after_ms(const struct controller *r) { return r->b.catch_up_ms * 3 / 5; }

void membership_register_tick(struct controller *r, int64_t now, struct out *o)
{
	char name[20];
	const struct Nl__Row *row;
	struct Nl__Op op = NL__OP__INIT;
	struct Nl__Change c = NL__CHANGE__INIT;
	struct Nl__Row me = NL__ROW__INIT, *set[1] = { &me };

	if (now - r->joined < 1000 || config_watch_age(&r->f, now) > 600 || r->stopping)
		return;
	apr_snprintf(name, sizeof name, "%016" APR_UINT64_T_HEX_FMT, r->id);
	row = table_get(&r->f.t, NL__KIND__REGISTRAR, name);
	me.kind = NL__KIND__REGISTRAR;
	me.name = name;
	me.id = r->id;
	me.addr = (char *)core_addr_str(o->p, r->addr);
	me.zone = (char *)r->zone;
	if (row && !strcmp(row->addr, me.addr) && !strcmp(row->zone, me.zone))
		return;
	r->joined = now;
	c.any = 1;
	c.set = set;
	c.n_set = 1;
	op.op_case = NL__OP__OP_CHANGE;
	op.change = &c;
	propose(r, SHARD_CONTROL, &op, 0, now);
}

/* Leaders change the membership of their groups towards what the bounds ask for. */
static void reconfigure_groups(struct controller *r, int64_t now)
{
	struct raft_member live[CONFIG_WATCH_SEATS];
	const struct Nl__Row *row;
	char name[20];
	int n = 0;

	memset(live, 0, sizeof live);
	for (; n < r->f.nlive; n++) {
		live[n].id = r->f.live_id[n];
		live[n].addr = r->f.live[n];
		apr_snprintf(name, sizeof name, "%016" APR_UINT64_T_HEX_FMT, live[n].id);
		row = table_get(&r->f.t, NL__KIND__REGISTRAR, name);
		live[n].zone = row ? core_hashs(0, row->zone) : 0;
	}
	for (int i = 0; i < SHARD_COUNT; i++) {
		r->part[i].replicas = r->b.copies < RAFT_MIN_VOTERS        ? RAFT_MIN_VOTERS
				      : r->b.copies < RAFT_MAX_MEMBERS - 1 ? r->b.copies
									   : RAFT_MAX_MEMBERS - 1;
		r->part[i].member_lost_ms = member_lost_after_ms(r);
		raft_reconfigure(&r->part[i], live, n, now);
	}
}

static int heard_lately(const struct controller *r, uint64_t id, int64_t now)
{
	for (ptrdiff_t i = 0; i < arrlen(r->seen); i++)
		if (r->seen[i].id == id)
			return now - r->seen[i].at < CONTROLLER_SEEN;
	return 0;
}

/* Where a silent controller stood, a new one with an empty disk may stand whose seeds are all as new: it is told whom to ask. */
static void announce_fleet(struct controller *r, int64_t now, struct out *o)
{
	if (now - r->announced < CONTROLLER_ANNOUNCE)
		return;
	r->announced = now;
	for (ptrdiff_t i = 0; i < shlen(r->ctl.h); i++) {
		const struct Nl__Row *row = r->ctl.h[i].value.row;
		struct Nl__Owner *w;

		if (row->kind != NL__KIND__REGISTRAR || heard_lately(r, row->id, now) || !core_addr(row->addr))
			continue;
		w = OUT_NEW(o, Nl__Owner, NL__OWNER__INIT);
		w->owner = o->addr;
		out_msg(o, core_addr(row->addr), SHARD_CONTROL, NL__MSG__BODY_OWNER)->owner = w;
	}
}

/* The configuration's owner takes controllers that are long gone out of the table, one at a time. */
static void forget_registrars(struct controller *r, int64_t now, struct out *o)
{
	for (ptrdiff_t i = 0; i < shlen(r->ctl.h); i++) {
		struct Nl__Row *old = r->ctl.h[i].value.row, *del[1] = { old };
		struct Nl__Op op = NL__OP__INIT;
		struct Nl__Change c = NL__CHANGE__INIT;
		int seen = old->kind != NL__KIND__REGISTRAR;

		for (ptrdiff_t k = 0; k < arrlen(r->seen) && !seen; k++)
			seen = r->seen[k].id == old->id;
		if (seen)
			continue;
		c.any = 1;
		c.del = del;
		c.n_del = 1;
		op.op_case = NL__OP__OP_CHANGE;
		op.change = &c;
		log_operation(r, SHARD_CONTROL, &op, now, o);
		return;
	}
}

void membership_tick(struct controller *r, int64_t now, struct out *o)
{
	if (now - r->reconfigured < CONTROLLER_RECONFIGURE || config_watch_age(&r->f, now) > CONFIG_WATCH_CONFIG)
		return;
	r->reconfigured = now;
	reconfigure_groups(r, now);
	if (!leads_shard(r, SHARD_CONTROL, now))
		return;
	announce_fleet(r, now, o);
	if (now - r->leader_since[SHARD_CONTROL] >= CONTROLLER_FORGET)
		forget_registrars(r, now, o);
}
