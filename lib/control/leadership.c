#include "leadership.h"

#include "group_clock.h"

/* Stamp an operation of the control shard with the control group's clock. bound_passed_at_ms is twice the
 * rollout bound ago, because a node whose bound has just been raised may still need the times in between. */
static void stamp_operation(const struct controller *controller, struct Nl__Operation *operation, int64_t now)
{
	operation->logged_at_ms = group_clock_now(controller, now);
	if (operation->body_case == NL__OPERATION__BODY_CHANGE)
		operation->change->bound_passed_at_ms =
		    group_clock_earlier(controller, 2 * (int64_t)controller->bounds.rollout_ms, now);
}

uint64_t log_operation(struct controller *controller, uint32_t shard, struct Nl__Operation *operation,
		       int64_t now, struct command_list *out)
{
	size_t packed_bytes;
	uint8_t *packed;

	if (!leads_shard(controller, shard, now))
		return 0;
	operation->group_clock_ms = (uint64_t)(now - controller->leadership[shard].clock_advanced_at_ms);
	controller->leadership[shard].clock_advanced_at_ms = now;
	if (shard == SHARD_CONTROL)
		stamp_operation(controller, operation, now);
	packed = core_pack_message(out->pool, &operation->base, &packed_bytes);
	return raft_propose(&controller->shards[shard], packed, packed_bytes, now);
}
