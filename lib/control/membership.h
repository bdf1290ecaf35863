/* membership: which controllers belong to the fleet and to the groups: this node's own row in the table, and
 * the members of the groups that it leads.
 *
 * The step calls it at each tick.
 *
 * Always: a member joins or leaves a group through the group's log alone. */
#ifndef NL_MEMBERSHIP_H
#define NL_MEMBERSHIP_H

#include "controller_state.h"

/* ms of silence after which a controller is not named as one that could join a group. A member loses its
 * place after three times as long, and a learner is prepared for it at two thirds of that; the rest of the
 * deployment's bound for catching up is for the change of membership. Example: if (now - node->observed_at_ms
 * < live_window_ms(controller)) name(node); */
int64_t live_window_ms(const struct controller *controller);

/* Propose this controller's own row when the table has none or another address or zone for it. */
void membership_register_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Reconfigure the groups that are led here. The control shard's leader also tells addresses of silent
 * controllers where the fleet is, and deletes the rows of controllers that are long gone. */
void membership_tick(struct controller *controller, int64_t now, struct command_list *out);

#endif
