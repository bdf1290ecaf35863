#include "leadership.h"

#include "group_clock.h"

/* Twice the bound: a node that has just been given a longer one may still need the dates in between. */
static void date_operation(const struct controller *r, struct Nl__Op *op, int64_t now)
{
	op->at = group_clock_now(r, now);
	if (op->op_case == NL__OP__OP_CHANGE)
		op->change->bound_passed = group_clock_before(r, 2 * (int64_t)r->b.roll_ms, now);
}

uint64_t log_operation(struct controller *r, uint32_t part, struct Nl__Op *op, int64_t now, struct out *o)
{
	size_t n;
	uint8_t *d;

	if (!leads_shard(r, part, now))
		return 0;
	op->clock = (uint64_t)(now - r->clock_at[part]);
	r->clock_at[part] = now;
	if (part == SHARD_CONTROL)
		date_operation(r, op, now);
	d = core_pack(o->p, &op->base, &n);
	return raft_propose(&r->part[part], d, n, now);
}
