/* rollout_command: the load command to one listed server, a server of the platform's endpoint list. Routers
 * are notified, the intent to send the command is logged, the command is sent, and the server is polled until
 * it has loaded the weights. Replies arrive through rollout_on_command_reply and rollout_on_poll_reply
 * (rollout.h).
 *
 * Invariants: a command is not sent before the log entry of its intent has been applied on this node, nor
 * later than ROLLOUT_INTENT_VALID_MS after that, nor after the leader's lease. */
#ifndef NL_ROLLOUT_COMMAND_H
#define NL_ROLLOUT_COMMAND_H

#include "controller_state.h"

/* Release the memory that a server's record owns. */
void rollout_server_free(struct rollout_server *server);

/* Find the record of a server; NULL when there is none. The pointer is valid until the next record is added.
 */
struct rollout_server *rollout_server_find(const struct rollout *rollout, const char *name);

/* Find the record of a server, adding an idle one when there is none. The pointer is valid until the next
 * record is added. */
struct rollout_server *rollout_server_get(struct rollout *rollout, const char *name);

/* Whether a version of weights is the target version or a newer one. A server may have a newer version before
 * this node has received it as the target. */
bool rollout_has_weights(const char *weights, const char *target_weights);

/* The name of the model of a server's service; NULL when the service has no model or the server is not
 * serving. */
const char *rollout_instance_model(const struct controller *controller, const struct Nl__Instance *instance);

/* The earliest time at which a server may be commanded in this term, so that any command of an earlier leader
 * to it has expired by then; 0 when no wait is needed. Every intent is logged before its command is sent, so
 * only servers with a recent intent have to wait after a change of leader. */
int64_t rollout_command_not_before_ms(const struct rollout *rollout, const char *name);

/* The latest time at which a server can have been commanded. A server that an earlier leader commanded was
 * commanded before the start of this term. */
int64_t rollout_last_commanded_at_ms(const struct controller *controller,
				     const struct rollout_server *server);

/* Begin the load command to a server. If time allows, routers are first notified to send no more requests to
 * the server; after that the intent is logged and the command is sent. The notice needs no clean-up if this
 * leader fails, since the next leader publishes the state that it observes itself. */
void rollout_begin_command(struct controller *controller, struct rollout_server *server,
			   const struct Nl__Row *model, const struct Nl__Instance *instance, int64_t now,
			   struct command_list *out);

/* Advance the load command of a server according to the state of its record. */
void rollout_advance_server(struct controller *controller, struct rollout_server *server,
			    const struct Nl__Instance *instance, const struct Nl__Row *model, int64_t now,
			    struct command_list *out);

#endif
