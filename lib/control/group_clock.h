/* group_clocks: the control group's clock in ms, with which events are stamped on all nodes of the fleet.
 *
 * The control shard's leader advances it by its own monotonic clock and stamps each operation that it logs
 * with it. The clock thus continues through snapshots, new leaders and restarts. Every other node computes it
 * from the leader's replies, as of the moment when it sent the request (config_watch_group_clock_ms). This
 * computed value may be ahead of the leader's clock by the time that the reply took; it is never behind it. A
 * new leader continues from the later of the last logged value and the value from the replies that it has
 * received. If all members restart at the same time, the clock loses the time since the last logged
 * operation. A moment therefore contains the term of the leader whose clock it is, and a node that has
 * received replies of that leader continues to compute with that leader's clock.
 *
 * Always: the clock does not go backwards within a term. */
#ifndef NL_GROUP_CLOCK_H
#define NL_GROUP_CLOCK_H

#include "controller_state.h"

/* Set the clock at the start of a leadership of the control shard, after all entries that were committed
 * before have been applied. Example: group_clock_start_term(controller, now); */
void group_clock_start_term(struct controller *controller, int64_t now);

/* Return the clock on the control shard's leader. Example: operation->logged_at_ms =
 * group_clock_now(controller, now); */
uint64_t group_clock_now(const struct controller *controller, int64_t now);

/* Return the clock's value of span_ms ago; 0 if the clock had not started by then.
 * Example: passed_at_ms = group_clock_earlier(controller, bounds.rollout_ms, now); */
uint64_t group_clock_earlier(const struct controller *controller, int64_t span_ms, int64_t now);

#endif
