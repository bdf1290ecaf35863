/* bootstrap: creates a new fleet. The seeds agree that all of them are empty, and become the first members of
 * every shard's Raft group.
 *
 * A bootstrap is started by an operator's call or by the settings of the first seed. The node that starts it
 * queries all seeds. When all have answered that they are empty, it sends them the list of members until all
 * of them have started.
 *
 * Always: a node that has ever been a member or that belongs to a fleet is never bootstrapped again. */
#ifndef NL_BOOTSTRAP_H
#define NL_BOOTSTRAP_H

#include "controller_event.h"
#include "controller_state.h"

/* Handle a bootstrap message: a query, the list of first members, or a seed's answer. */
void on_bootstrap_message(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out);

/* Start a bootstrap by an operator's call, which is answered within 10 s. */
void bootstrap_on_call(struct controller *controller, const struct controller_event *event, int64_t now,
		       struct command_list *out);

/* Answer the operator's call of a bootstrap in progress, because this controller is shutting down. */
void bootstrap_stop(struct controller *controller, struct command_list *out);

/* Continue a bootstrap that this node has started: evaluate the answers and query the seeds. */
void bootstrap_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Start a bootstrap by the settings, without an operator's call. It continues until all seeds have answered
 * that they are empty, or one belongs to a fleet. Does nothing unless this node is empty and has seeds.
 * Example: if (initial) controller_bootstrap(&controller, now); */
void controller_bootstrap(struct controller *controller, int64_t now);

#endif
