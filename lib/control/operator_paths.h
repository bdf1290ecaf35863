/* Which calls operators may make here, and what each needs before it is answered. One table holds them all,
 * those that come through a platform's adapter too; the step passes each call. Always: a definite answer (2xx
 * or 4xx) that depends on the log comes from a leader that holds a lease and has applied its log; every other
 * node redirects, or says 503 and when to come back, at once. What a leader says here by itself is handed out
 * with the end of its lease. */
#ifndef NL_OPERATOR_PATHS_H
#define NL_OPERATOR_PATHS_H

#include "controller_event.h"
#include "controller_state.h"

/* What an answer rests on. */
enum path_needs {
	PATH_NEEDS_LOCAL_STATE,    /* on this node alone; the answer says so */
	PATH_NEEDS_SEEDS,          /* on the word of every seed: there is no log yet */
	PATH_NEEDS_LEADERSHIP,     /* this node leads; others name the leader */
	PATH_NEEDS_LEADER_IN_REACH /* on the leader's word, which this node asks for */
};

/* An operator's call: an event of kind CONTROLLER_WEB, CONTROLLER_DOC, CONTROLLER_READ or CONTROLLER_NAME. */
void on_operator_call(struct controller *controller, const struct controller_event *event, int64_t now,
		      struct command_list *out);

#endif
