/* recovery: restores groups that have lost the majority of their voters, by an operator's call (POST
 * /v1/recover). A group whose last remaining voter is this controller continues with the replica of this
 * controller alone.
 *
 * Always: a group is recovered only if the operator names the lost controllers, and never while a majority of
 * its voters is alive. */
#ifndef NL_RECOVERY_H
#define NL_RECOVERY_H

#include "controller_event.h"
#include "controller_state.h"

/* Handle POST /v1/recover. The body {"lost":["00112233445566aa", ...]} names the controllers that are lost
 * permanently. For each group, the answer reports whether it was recovered here, the reason if not, and its
 * members. With an empty list no group is recovered. Example: recovery_on_call(controller, event, now, out);
 */
void recovery_on_call(struct controller *controller, const struct controller_event *event, int64_t now,
		      struct command_list *out);

#endif
