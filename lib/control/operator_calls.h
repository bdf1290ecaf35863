/* operator_calls: what became of the operators' calls that a controller has read.
 *
 * Each call is answered, rejected with a time to retry (nothing was logged), told that its outcome is unknown
 * (it may be sent again), or its caller has disconnected; until then it is open. The controller's step counts
 * calls as they come and answers as they are given; the node's state shows the counts.
 *
 * Always: no call ends without an answer, and none is answered twice; the simulator checks the balance after
 * every event. An answer is counted when it is decided: one that is written after its lease has ended goes
 * out as 503 all the same. */
#ifndef NL_OPERATOR_CALLS_H
#define NL_OPERATOR_CALLS_H

#include <stdbool.h>
#include <json-c/json.h>

#include "controller_state.h"

/* Count the answers among the commands from a position on.
 * Example: operator_calls_count(&controller->operator_calls, out, from); */
void operator_calls_count(struct operator_calls *calls, const struct command_list *out,
			  ptrdiff_t first_command);

/* How many calls wait for an answer. Example: if (operator_calls_open(controller)) wait(); */
uint64_t operator_calls_open(const struct controller *controller);

/* Whether every call that was read has ended or is open.
 * Example: assert(operator_calls_are_balanced(controller)); */
bool operator_calls_are_balanced(const struct controller *controller);

/* A caller has disconnected: it gets no answer any more. What it requested goes on.
 * Example: operator_calls_disconnected(controller, token); */
void operator_calls_disconnected(struct controller *controller, uint64_t token);

/* The counts for the node's state, owned by the caller.
 * Example: json_object_object_add(json, "operator_calls", operator_calls_json(controller)); */
struct json_object *operator_calls_json(const struct controller *controller);

#endif
