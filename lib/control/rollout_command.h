/* rollout_command: one listed server's way to new weights: routers get notice, the command is logged, it
 * leaves, the server is polled until it has loaded. rollout_instances.c chooses the servers and begins;
 * answers come through rollout_on_command_reply and rollout_on_poll_reply (rollout.h).
 *
 * Always: no command leaves before its intent is applied here, nor after ROLLOUT_INTENT_MS or the lease. */
#ifndef NL_ROLLOUT_COMMAND_H
#define NL_ROLLOUT_COMMAND_H

#include "controller_state.h"

/* Release what a server's record owns. */
void rollout_server_free(struct rollout_server *server);

/* The record of a server; NULL when nothing is recorded. Valid until the next is added. */
struct rollout_server *rollout_server_find(const struct rollout *rollout, const char *name);

/* The same, added when there is none. */
struct rollout_server *rollout_server_get(struct rollout *rollout, const char *name);

/* Whether weights are the target's, or newer: a server may have those before the target is known here. */
bool rollout_has_weights(const char *weights, const char *target_weights);

/* The model of a server's service; NULL when it serves none, or does not serve. */
const char *rollout_instance_model(const struct controller *controller, const struct Nl__Instance *instance);

/* From when on a server may be commanded: a leader before may have commanded it at the latest then. Every
 * intent is logged first, so whoever takes over knows which servers may have had a command lately, and the
 * others need not wait. */
int64_t rollout_command_not_before_ms(const struct rollout *rollout, const char *name);

/* When a server was commanded, at the latest: one that a leader before commanded loads since before this
 * term. */
int64_t rollout_last_commanded_at_ms(const struct controller *controller,
				     const struct rollout_server *server);

/* Begin: routers send the server nothing more from now on, where there is time for that; then the command is
 * logged and leaves. A leader that is lost meanwhile leaves nothing behind: its successor publishes what it
 * observes. */
void rollout_begin_command(struct controller *controller, struct rollout_server *server,
			   const struct Nl__Row *model, const struct Nl__Instance *instance, int64_t now,
			   struct command_list *out);

/* Go on with a server that was commanded, or may have been. */
void rollout_advance_server(struct controller *controller, struct rollout_server *server,
			    const struct Nl__Instance *instance, const struct Nl__Row *model, int64_t now,
			    struct command_list *out);

#endif
