/* Rules about model servers: drained ones, the order-rollout's fence, memory of other weights or tenants. */
#include <string.h>

#include "ds.h"
#include "stand_judge_private.h"

void rule_drain(struct judge *j)
{
	for (int i = 0; i < arrlen(j->r); i++) {
		const struct arrival *r = &j->r[i];
		int64_t shown = -1;

		if (r->turned == 421 || r->try < 0 || !judge_touch(j, j->a[r->try].edge, r->t))
			continue;
		for (int k = 0; k < arrlen(j->s); k++)
			if (j->s[k].s != SHOWN_READY && !strcmp(j->s[k].instance, r->instance) && (shown < 0 || j->s[k].t < shown))
				shown = j->s[k].t;
		if (shown >= 0 && r->t > shown + j->b.drain)
			breach(j, "DRAIN", r->t, "%s got try %s %lld ms after the list showed that it drains", r->instance, r->id,
			       (long long)(r->t - shown));
	}
}

void rule_one(struct judge *j)
{
	for (int i = 0; i < arrlen(j->o); i++) {
		const struct order_ev *b = &j->o[i];

		if (b->thawed || (b->status == 412 && j->b.fence_checked))
			continue;
		for (int k = i - 1; k >= 0; k--) {
			const struct order_ev *a = &j->o[k];

			if (a->thawed || (a->status == 412 && j->b.fence_checked) || strcmp(a->instance, b->instance))
				continue;
			if (strcmp(a->holder, b->holder) && a->fence == b->fence) {
				breach(j, "ONE", b->t, "%s and %s share fence %lld at %s", a->holder, b->holder,
				       (long long)b->fence, b->instance);
				break;
			}
			if (!j->b.fence_checked && b->fence < a->fence) {
				breach(j, "ONE", b->t, "fence %lld follows %lld at %s", (long long)b->fence, (long long)a->fence,
				       b->instance);
				break;
			}
			if (strcmp(a->holder, b->holder) && b->t - a->t < j->b.lease) {
				breach(j, "ONE", b->t, "%s gave an order %lld ms after %s at %s", b->holder,
				       (long long)(b->t - a->t), a->holder, b->instance);
				break;
			}
		}
	}
}

void rule_memory(struct judge *j)
{
	for (int i = 0; i < arrlen(j->r); i++) {
		const struct arrival *r = &j->r[i];
		int stale = 0, wall = 0;

		if (r->begun < 0)
			continue;
		for (int k = 0; k < arrlen(r->used); k++) {
			const char *maker = j->names[r->used[k].tenant].key;

			stale |= r->used[k].version != r->version;
			if (!strcmp(maker, text(r->tenant)))
				continue;
			{ /* it applies when every configuration that may be in force says so */
				int64_t floor = floor_at(j, r->begun, 0);
				int all = 0, some = 0;

				for (int x = 0; x < arrlen(j->c); x++) {
					const struct cfg *c = j->c[x].c;
					int w = 0;

					if (!valid(&j->c[x]) || j->c[x].version < floor || j->c[x].sent > r->begun)
						continue;
					for (int n = 0; n < arrlen(c->tenant); n++)
						w |= c->tenant[n].isolated && (!strcmp(c->tenant[n].name, maker) ||
									       !strcmp(c->tenant[n].name, text(r->tenant)));
					all += 1;
					some += w;
				}
				wall |= all && some == all;
			}
		}
		if (stale)
			breach(j, "STALE", r->begun, "try %s ran under version %d on memory of another", r->id, r->version);
		if (wall)
			breach(j, "WALL", r->begun, "try %s of %s ran on memory of another, behind a wall", r->id, text(r->tenant));
	}
}

/* For how long, until t, a version newer than this one has been acknowledged over one stretch with a settled core; -1:
 * none has been, or the core is not settled. */
static int64_t superseded_for(const struct judge *j, int version, int64_t t)
{
	int64_t named = -1, from = settled_since(j, t);

	for (int k = 0; k < arrlen(j->n); k++)
		if (j->n[k].acked && j->n[k].version > version && j->n[k].t <= t && (named < 0 || j->n[k].t < named))
			named = j->n[k].t;
	if (named < 0 || from < 0)
		return -1;
	return t - (from > named ? from : named);
}

/* Whether the rule asks anything of a run: the machine that sent it was in touch as it did. */
static int version_applies(const struct judge *j, const struct arrival *r)
{
	return r->begun >= 0 && r->try >= 0 && judge_touch(j, j->a[r->try].edge, r->t);
}

void rule_version(struct judge *j)
{
	for (int i = 0; i < arrlen(j->r); i++) {
		const struct arrival *r = &j->r[i];
		int64_t age;

		if (!version_applies(j, r))
			continue;
		age = superseded_for(j, r->version, r->begun);
		if (age > j->b.version)
			breach(j, "VERSION", r->begun, "try %s began on version %d, %lld ms after a newer one was acknowledged",
			       r->id, r->version, (long long)age);
	}
}

int judge_version_at_stake(const struct judge *j)
{
	int n = 0;

	for (int i = 0; i < arrlen(j->r); i++) /* version 1 is nobody's newer one: any naming supersedes it */
		n += version_applies(j, &j->r[i]) && superseded_for(j, 1, j->r[i].begun) > j->b.version;
	return n;
}
