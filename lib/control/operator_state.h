/* operator_state: answers GET /v1/state with the state of this node. It is available at any time, also
 * without a leader; the answer's scope member says that it describes this node alone. Names of members belong
 * to the operators' interface. */
#ifndef NL_OPERATOR_STATE_H
#define NL_OPERATOR_STATE_H

#include "controller_event.h"
#include "controller_state.h"

/* Answer a read of this node's state. */
void read_state(struct controller *controller, const struct controller_event *event, int64_t now,
		struct command_list *out);

#endif
