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
		int64_t named = -1, from;
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
		if (r->try < 0 || !judge_touch(j, j->a[r->try].edge, r->begun))
			continue;
		for (int k = 0; k < arrlen(j->n); k++)
			if (j->n[k].acked && j->n[k].version > r->version && (named < 0 || j->n[k].t < named))
				named = j->n[k].t;
		from = settled_since(j, r->begun);
		if (named >= 0 && from >= 0 && r->begun - (from > named ? from : named) > j->b.version)
			breach(j, "VERSION", r->begun, "try %s began on version %d, %lld ms after a newer one was named", r->id,
			       r->version, (long long)(r->begun - named));
	}
}
