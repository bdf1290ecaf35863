/* group_clock: the control group's clock, in ms, by which events are dated for the whole fleet.
 *
 * Its leader counts it on its own monotonic clock and stamps each operation that it logs, so it goes on
 * through snapshots, new leaders and restarts. Every other node knows it from the leader's replies, as of
 * when it sent the request (config_watch_clock_ms): its reckoning may be ahead by the time that the reply
 * took, and is never behind the leader that replied. A new leader goes on from the later of what was logged
 * and what it has received. If all members restart at once, the clock loses the time since the last logged
 * operation. A moment therefore names the term of the leader that counted it, and whoever had replies of that
 * leader goes on reckoning by its clock.
 *
 * Always: it does not go back within a term. */
#ifndef NL_GROUP_CLOCK_H
#define NL_GROUP_CLOCK_H

#include "controller_state.h"

/* Leadership of the control group begins; all that was committed before has been applied.
 * Example: group_clock_lead(controller, now); */
void group_clock_start_term(struct controller *controller, int64_t now);

/* The clock, on its leader. Example: operation->logged_at_ms = group_clock_now(controller, now); */
uint64_t group_clock_now(const struct controller *controller, int64_t now);

/* The clock span_ms ago; 0 if it had not begun.
 * Example: passed_at_ms = group_clock_before(controller, bounds.rollout_ms, now); */
uint64_t group_clock_earlier(const struct controller *controller, int64_t span_ms, int64_t now);

#endif
