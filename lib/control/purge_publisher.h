/* The publisher of the purge stream: gathers the parts' decisions, logs each under a tick, and declares
 * silence between. Ticks, silence and the horizon are the paper's; the leader of SHARD_PURGE runs it from the
 * step. Always: a tick is declared once, as a logged value or as silence, and never above the ceiling that
 * was logged. */
#ifndef NL_PURGE_PUBLISHER_H
#define NL_PURGE_PUBLISHER_H

#include "controller_state.h"

/* A publisher asks a part that is led here for its newest decisions. */
void on_feed_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		     struct command_list *out);

/* A part's decisions arrive: they are logged in batches. */
void on_feed_reply(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		   struct command_list *out);

/* A value that this publisher logged is committed: it is published with the silence before it.
 * is_new: its feed has not given it before; else the tick is silence. */
void publisher_on_value_logged(struct controller *controller, const struct Nl__Value *value, bool is_new,
			       int64_t now, struct command_list *out);

/* Taking office: every tick up to the old ceiling is known, as a logged value or as silence. */
void publisher_start(struct controller *controller, int64_t now, struct command_list *out);

/* Ask the parts for decisions, and declare silence once none has any left. */
void publisher_tick(struct controller *controller, int64_t now, struct command_list *out);

#endif
