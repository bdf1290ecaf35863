#include "leadership.h"

uint64_t log_operation(struct controller *r, uint32_t part, struct Nl__Op *op, int64_t now, struct out *o)
{
	size_t n;
	uint8_t *d;

	if (!leads_shard(r, part, now))
		return 0;
	op->clock = (uint64_t)(now - r->clock_at[part]);
	r->clock_at[part] = now;
	d = core_pack(o->p, &op->base, &n);
	return raft_propose(&r->part[part], d, n, now);
}
