/* operator_paths: which calls operators may make, and what each needs before it is answered. One table holds
 * them all, those that come through a platform's adapter too; the controller's step passes each call.
 *
 * Always: a definite answer (2xx or 4xx) that depends on the log comes from a leader that holds a lease and
 * has applied its log; every other node redirects, or rejects with 503 and a time to retry, at once. An
 * answer of the leader is valid until its lease ends, and is handed to the writer with that time. */
#ifndef NL_OPERATOR_PATHS_H
#define NL_OPERATOR_PATHS_H

#include "controller_event.h"
#include "controller_state.h"

/* What an answer rests on. */
enum path_needs {
	PATH_NEEDS_LOCAL_STATE,     /* this node alone; the answer says so */
	PATH_NEEDS_SEEDS,           /* the answers of every seed: there is no log yet */
	PATH_NEEDS_LEADERSHIP,      /* this node leads; others name the leader */
	PATH_NEEDS_REACHABLE_LEADER /* the leader's confirmation, for which this node asks */
};

/* Dispatch an operator's call: an event of kind CONTROLLER_API_CALL, CONTROLLER_PUT_DOCUMENT,
 * CONTROLLER_READ_DOCUMENT or CONTROLLER_SET_TARGET_WEIGHTS. */
void on_operator_call(struct controller *controller, const struct controller_event *event, int64_t now,
		      struct command_list *out);

#endif
