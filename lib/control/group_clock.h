/* group_clock: the control group's clock, in ms, by which events are dated for the whole fleet.
 * Its leader counts it on its own monotonic clock and stamps each operation that it logs; so it goes on
 * through snapshots, new leaders and restarts. Every other node knows it by the leader's answers, as of when
 * it asked: its reckoning may be ahead by the time that the answer took, and is never behind the leader that
 * answered. A new leader goes on from the later of what was logged and what it has heard. If all members
 * restart at once, the clock loses the time from the last logged operation on: a moment therefore names the
 * term of the leader that counted it, and whoever heard that leader goes on reckoning by its clock. Always:
 * it does not go back within a term. */
#ifndef NL_GROUP_CLOCK_H
#define NL_GROUP_CLOCK_H

#include "controller_state.h"

/* Leadership of the control group begins; all that was committed before has been applied.
 * Example: group_clock_lead(r, now); */
void group_clock_lead(struct controller *controller, int64_t now);

/* The clock, on its leader. Example: op->at = group_clock_now(r, now); */
uint64_t group_clock_now(const struct controller *controller, int64_t now);

/* The clock so many ms ago; 0 if it had not begun. Example: since = group_clock_before(r, bounds.roll_ms,
 * now); */
uint64_t group_clock_before(const struct controller *controller, int64_t span_ms, int64_t now);

#endif
