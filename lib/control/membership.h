/* Who belongs to the control machines: this node's own row in the table, and the members of the parts that it
 * leads. The step calls it each tick. Always: a member goes out or comes in by agreement alone, through the
 * part's log. */
#ifndef NL_MEMBERSHIP_H
#define NL_MEMBERSHIP_H

#include "controller_state.h"

/* ms of silence after which a controller is not named as one that could join a group. A member loses its
 * place after three times as long, and a learner is prepared for it at two thirds of that; the rest of the
 * deployment's bound for catching up is for the change of membership. Example: if (now - seen->at <
 * live_within(r)) name(seen); */
int64_t live_window_ms(const struct controller *controller);

/* A controller keeps its own row true: first at its joining, again when its address has changed. */
void membership_register_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Leaders change the membership of their groups; the configuration's leader tells new controllers where the
 * fleet is, and forgets those that are long gone. Example: membership_tick(r, now, o); */
void membership_tick(struct controller *controller, int64_t now, struct command_list *out);

#endif
