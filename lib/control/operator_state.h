/* operator_state: GET /v1/state, what this node knows by itself, for whoever looks at this node. It answers
 * at any time, also without a leader, and says that it speaks for this node alone. Names of members are part
 * of the operators' interface. */
#ifndef NL_OPERATOR_STATE_H
#define NL_OPERATOR_STATE_H

#include "controller_event.h"
#include "controller_state.h"

/* Answer a read of this node's state. */
void read_state(struct controller *controller, const struct controller_event *event, int64_t now,
		struct command_list *out);

#endif
