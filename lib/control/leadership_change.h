/* leadership_change: what begins and ends with leadership of a shard: the publisher, rollouts, quota shares,
 * and answers that are waited for.
 *
 * A part of the step, which calls it for each shard.
 *
 * Always: leadership begins after all that is committed has been applied, and ends before the next entry is;
 * whoever waits for an answer then is told that the outcome is unknown. */
#ifndef NL_LEADERSHIP_CHANGE_H
#define NL_LEADERSHIP_CHANGE_H

#include "controller_state.h"

/* Begin to lead a shard if its lease is held and this term has not begun here yet. */
void on_leadership_gained(struct controller *controller, uint32_t shard, int64_t now,
			  struct command_list *out);

/* End what only a leader does, and answer whoever waits, if this node does not lead the shard. */
void on_leadership_lost(struct controller *controller, uint32_t shard, int64_t now, struct command_list *out);

#endif
