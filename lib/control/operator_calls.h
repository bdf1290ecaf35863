/* operator_call_counts: counts the outcomes of the operators' calls that a controller has read.
 *
 * A call ends when it is answered, rejected with a time to retry (nothing was logged), answered that its
 * outcome is unknown (it may be sent again), or when its caller disconnects. Until then it is open. Calls are
 * counted when they are read, and answers when the step returns them as commands; GET /v1/state shows the
 * counts.
 *
 * Invariants: no call ends without an answer unless its caller has disconnected, and no call is answered
 * twice; the simulator checks the balance after every event. An answer is counted when it is decided: if the
 * leader's lease ends before it is written, it is replaced by 503 but still counted as answered. */
#ifndef NL_OPERATOR_CALLS_H
#define NL_OPERATOR_CALLS_H

#include <stdbool.h>
#include <json-c/json.h>

#include "controller_state.h"

/* Count the answers among the commands from index first_command on.
 * Example: operator_calls_count(&controller->operators.calls, out, first_command); */
void operator_calls_count(struct operator_call_counts *calls, const struct command_list *out,
			  ptrdiff_t first_command);

/* Get the number of calls that wait for an answer.
 * Example: if (operator_calls_open_count(controller)) wait(); */
uint64_t operator_calls_open_count(const struct controller *controller);

/* Returns whether each call that was read is counted once, as ended or as open.
 * Example: assert(operator_calls_are_balanced(controller)); */
bool operator_calls_are_balanced(const struct controller *controller);

/* Handle the disconnection of a caller: its call is no longer answered. A change or bootstrap that it
 * requested goes on.
 * Example: operator_calls_disconnected(controller, token); */
void operator_calls_disconnected(struct controller *controller, uint64_t token);

/* Get the counts as JSON for GET /v1/state. The caller owns the object.
 * Example: json_object_object_add(json, "operator_calls", operator_calls_json(controller)); */
struct json_object *operator_calls_json(const struct controller *controller);

#endif
