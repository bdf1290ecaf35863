/* bootstrap: the start of a fleet: its first members agree that all of them are empty, and start every
 * shard's log with them.
 *
 * An operator's call, or the settings of the first seed, begin it. The node that was asked queries all seeds;
 * when all have answered that they are empty, it sends them the members, until all have started. The step
 * passes messages and the time.
 *
 * Always: a node that has ever been a member, or belongs to a fleet, is never bootstrapped again. */
#ifndef NL_BOOTSTRAP_H
#define NL_BOOTSTRAP_H

#include "controller_event.h"
#include "controller_state.h"

/* A message of the bootstrap has come: a query, the members to start with, or an answer. */
void on_bootstrap_message(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out);

/* An operator's call begins a bootstrap: it is answered within 10 s. */
void bootstrap_fleet(struct controller *controller, const struct controller_event *event, int64_t now,
		     struct command_list *out);

/* This controller is to stop: answer the call for a bootstrap that is under way. */
void bootstrap_stop(struct controller *controller, struct command_list *out);

/* Go on with a bootstrap that this node has begun. */
void bootstrap_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Begin a bootstrap without a call, as the settings of the first seed say: it goes on until all seeds answer
 * that they are empty, or one belongs to a fleet. Does nothing unless this node is empty and has seeds.
 * Example: if (initial) controller_bootstrap(&controller, now); */
void controller_bootstrap(struct controller *controller, int64_t now);

#endif
