/* What begins and ends with leadership of a part: the publisher, the rollouts, the quota shares, calls that
 * wait. The step calls it for each part. Always: leadership begins after all that is committed has been
 * applied, and ends before the next entry is; whoever waits for an answer then is told that the outcome is
 * unknown. */
#ifndef NL_LEADERSHIP_CHANGE_H
#define NL_LEADERSHIP_CHANGE_H

#include "controller_state.h"

/* Begin to lead a part if the lease is held and this term was not begun yet. */
void on_leadership_gained(struct controller *controller, uint32_t shard, int64_t now,
			  struct command_list *out);

/* Stop what only a leader does if the part's leadership is lost. */
void on_leadership_lost(struct controller *controller, uint32_t shard, int64_t now, struct command_list *out);

#endif
