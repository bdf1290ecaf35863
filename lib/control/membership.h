/* membership: which controllers belong to the fleet and to its Raft groups. It proposes this node's own row
 * of the configuration table, and changes the members of the groups that this node leads.
 *
 * The step calls it at each tick.
 *
 * Always: a member joins or leaves a group only through an entry of the group's log. */
#ifndef NL_MEMBERSHIP_H
#define NL_MEMBERSHIP_H

#include "controller_state.h"

/* Return the time in ms for which a controller counts as live after its last request; only live controllers
 * may join a group. It is a fifth of the deployment's bound for catching up, and at most
 * CONTROLLER_NODE_LIVE_MS. A silent member is removed from its group after three fifths of the bound, and a
 * learner that replaces it is prepared after two thirds of that. The rest of the bound is reserved for the
 * change of membership itself. Example: if (now - node->observed_at_ms <
 * controller_live_window_ms(controller)) add_candidate(node); */
int64_t controller_live_window_ms(const struct controller *controller);

/* Propose this controller's own row if the table has none, or one with another address or zone. */
void membership_register_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Reconfigure the groups that this node leads. The control shard's leader also announces the fleet to the
 * addresses of silent controllers, and deletes the rows of controllers that have been absent since the start
 * of its leadership. */
void membership_tick(struct controller *controller, int64_t now, struct command_list *out);

#endif
