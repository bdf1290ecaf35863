/* operator_paths: dispatches the operators' calls and checks the requirement of each call before it is
 * handled. One table lists all calls, including those that arrive through a platform's adapter.
 *
 * Invariants: a definite answer (2xx or 4xx) that depends on the log comes from a leader that holds a lease
 * and has applied its log; every other node immediately redirects the call, or rejects it with 503 and a time
 * to retry. An answer of the leader is valid until its lease ends; the answer command carries that time as
 * not_after_ms. */
#ifndef NL_OPERATOR_PATHS_H
#define NL_OPERATOR_PATHS_H

#include "controller_event.h"
#include "controller_state.h"

/* What a call requires before it can be answered. */
enum path_needs {
	PATH_NEEDS_LOCAL_STATE,     /* only the state of this node; the answer says so */
	PATH_NEEDS_SEEDS,           /* the answers of all seeds: there is no log before the bootstrap */
	PATH_NEEDS_LEADERSHIP,      /* leadership of the control shard; other nodes redirect to the leader */
	PATH_NEEDS_REACHABLE_LEADER /* a reachable leader, from which this node requests confirmation */
};

/* Dispatch an operator's call, which is an event of kind CONTROLLER_API_CALL, CONTROLLER_PUT_DOCUMENT,
 * CONTROLLER_READ_DOCUMENT or CONTROLLER_SET_TARGET_WEIGHTS. */
void on_operator_call(struct controller *controller, const struct controller_event *event, int64_t now,
		      struct command_list *out);

#endif
