#include "quota_shares.h"

#include <apr_strings.h>
#include <string.h>

#include "ds.h"
#include "controller_private.h"

/* The fleet's limit of "tenant" or "lane/tenant" as the table has it. */
static uint32_t find_limit(const struct controller *r, const char *name)
{
	const struct Nl__Row *row = table_get(&r->ctl, strchr(name, '/') ? NL__KIND__SHARE : NL__KIND__TENANT, name);

	return row ? row->limit : 0;
}

/* Whether there is such a row at all; one without a limit has 0. */
static int named(const struct controller *r, const char *name)
{
	return table_get(&r->ctl, strchr(name, '/') ? NL__KIND__SHARE : NL__KIND__TENANT, name) != NULL;
}

/* What the asker may use. Never more than the limit less all that others hold or may believe to hold. What is wanted
 * beyond the limit is shared out evenly; the odd places go to those that have gone without for longest. */
static uint32_t compute_share(const struct controller_place *v, const struct controller_place *me, const char *name, uint32_t limit,
			      uint32_t spare, int64_t now)
{
	uint64_t others = 0, all = 0, turn = core_hashs((uint64_t)(now / 1000), name);
	uint32_t n = 0, rank = 0, want = me->want + spare, even;

	for (ptrdiff_t i = 0; i < arrlen(v); i++) {
		if (v[i].id != me->id)
			others += v[i].rec;
		all += v[i].want + spare;
		n += v[i].want > 0;
		rank += v[i].want &&
			(v[i].fed / 1000 != me->fed / 1000 ? v[i].fed < me->fed : core_rdv(turn, v[i].id) > core_rdv(turn, me->id));
	}
	if (all > limit) {
		even = n ? limit / n + (rank < limit % n) : 0;
		want = me->want < even ? me->want : even;
	}
	if (want <= me->rec) /* less than it has: always; more: as far as others leave it */
		return want;
	return others + want <= limit     ? want
	       : others + me->rec < limit ? (uint32_t)(limit - others)
	       : me->rec < limit          ? me->rec
					  : limit;
}

static struct controller_place *find_share(struct controller *r, const char *name, uint64_t id, uint32_t most, int64_t now)
{
	struct controller_place *v, n = { id, 0, most, 0, now, 0 };
	ptrdiff_t me = -1;

	if (shgeti(r->limit, name) < 0)
		shput(r->limit, name, NULL);
	v = shget(r->limit, name);
	for (ptrdiff_t i = arrlen(v) - 1; i >= 0; i--)
		if (now - v[i].at > CONTROLLER_SHARES_MS)
			arrdelswap(v, i);
	for (ptrdiff_t i = 0; i < arrlen(v); i++)
		if (v[i].id == id)
			me = i;
	if (me < 0) {
		arrput(v, n);
		me = arrlen(v) - 1;
	}
	shput(r->limit, name, v);
	return &v[me];
}

/* Say what the asker may use, and count it as held until it is heard to be back. */
static void reply_share(struct controller_place *me, const char *name, uint32_t held, uint64_t token, struct Nl__ConfigSyncReply *a,
			struct out *o)
{
	struct Nl__Hold *p = OUT_NEW(o, Nl__Hold, NL__HOLD__INIT);

	if (held > me->rec)
		me->rec = held;
	me->token = token;
	p->name = apr_pstrdup(o->p, name);
	p->held = held;
	a->place[a->n_place++] = p;
}

/* Where a table has few limits, routers hold some of each ahead: a failover then finds them with places. */
static void update_reserved_limits(struct controller *r)
{
	if (r->spare_edition == r->ctl.edition)
		return;
	r->spare_edition = r->ctl.edition;
	arrsetlen(r->spare, 0);
	for (ptrdiff_t i = 0; i < shlen(r->ctl.h); i++) {
		const struct Nl__Row *row = r->ctl.h[i].value.row;

		if ((row->kind != NL__KIND__TENANT && row->kind != NL__KIND__SHARE) || !row->limit)
			continue;
		if (arrlen(r->spare) == CONTROLLER_SPARE) {
			arrsetlen(r->spare, 0);
			return;
		}
		arrput(r->spare, row->name);
	}
}

/* Places that the asker holds, uses and wants, and what it gets. In the first seconds of an office nobody gets more: not
 * all that the last owner gave has been heard of yet. */
void quota_shares_update(struct controller *r, uint64_t id, const struct Nl__ConfigSync *q, uint32_t counters,
			 struct Nl__ConfigSyncReply *a, int64_t now, struct out *o)
{
	/* the members are a fleet's first entry, its first owner's the second: before it nobody gave any */
	int young = now - r->leader_since[SHARD_CONTROL] < CONTROLLER_SHARES_MS && r->part[SHARD_CONTROL].term_start > 2;
	uint32_t n = counters ? counters : 1;

	update_reserved_limits(r);
	a->place = apr_palloc(o->p, (q->n_hold + (size_t)arrlen(r->spare) + 1) * sizeof *a->place);
	for (size_t k = 0; k < q->n_hold; k++) {
		const struct Nl__Hold *h = q->hold[k];
		uint32_t limit = find_limit(r, h->name), got, most = h->held > h->used ? h->held : h->used;
		struct controller_place *me;

		if (!limit && named(r, h->name)) /* no limit: nobody asks for places */
			continue;
		me = find_share(r, h->name, id, most, now);
		if (q->applied >= me->token || most > me->rec) /* it has heard the last that was said */
			me->rec = most;
		me->want = h->want;
		me->at = now;
		got = compute_share(shget(r->limit, h->name), me, h->name, limit, limit / n / 4, now);
		if (young && got > h->held)
			got = h->held < limit ? h->held : limit;
		if (got || h->used)
			me->fed = now;
		reply_share(me, h->name, got, q->token, a, o);
	}
	for (ptrdiff_t i = 0; i < arrlen(r->spare) && q->counter && !young; i++) {
		uint32_t limit = find_limit(r, r->spare[i]), got;
		struct controller_place *me;
		int named = 0;

		for (size_t k = 0; k < q->n_hold && !named; k++)
			named = !strcmp(q->hold[k]->name, r->spare[i]);
		if (named || limit < 4 * n)
			continue;
		me = find_share(r, r->spare[i], id, 0, now);
		me->at = now;
		me->want = 0;
		if (q->applied >= me->token)
			me->rec = 0;
		got = compute_share(shget(r->limit, r->spare[i]), me, r->spare[i], limit, limit / n / 4, now);
		reply_share(me, r->spare[i], got, q->token, a, o);
	}
}

void quota_shares_clear(struct controller *r)
{
	for (ptrdiff_t i = 0; i < shlen(r->limit); i++)
		arrfree(r->limit[i].value);
	shfree(r->limit);
	sh_new_strdup(r->limit);
}
