/* recovery: an operator's call after the loss of a majority: groups of which this controller is the last
 * voter go on with its replica alone.
 *
 * Called for POST /v1/recover.
 *
 * Always: nothing happens unless the operator names who is lost, and never while a majority lives. */
#ifndef NL_RECOVERY_H
#define NL_RECOVERY_H

#include "controller_event.h"
#include "controller_state.h"

/* POST /v1/recover: {"lost":["00112233445566aa", ...]} names controllers that are lost for good. The answer
 * says for each group whether it goes on here, and why not; with an empty list nothing is done, and the
 * members are listed. Example: recover_groups(controller, event, now, out); */
void recover_groups(struct controller *controller, const struct controller_event *event, int64_t now,
		    struct command_list *out);

#endif
