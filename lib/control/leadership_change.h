/* leadership_change: starts and ends the work that only a shard's leader does: the publisher, rollouts, quota
 * shares, and the answers of proposals that it has logged.
 *
 * It belongs to the step, which calls it for each shard.
 *
 * Always: leadership begins after all committed entries have been applied, and ends before the next entry is
 * applied. Calls and proposals that wait for a commit when it ends are answered "outcome unknown". */
#ifndef NL_LEADERSHIP_CHANGE_H
#define NL_LEADERSHIP_CHANGE_H

#include "controller_state.h"

/* Begin the leadership of a shard if this node holds the lease and has not yet begun it in this term. */
void on_leadership_gained(struct controller *controller, uint32_t shard, int64_t now,
			  struct command_list *out);

/* If this node does not lead the shard, end the leader's work and answer the waiting calls and proposals. */
void on_leadership_lost(struct controller *controller, uint32_t shard, int64_t now, struct command_list *out);

#endif
