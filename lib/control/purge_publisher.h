/* purge_publisher: the publisher of the purge stream: it gathers the shards' decisions, logs each under a
 * tick, and declares silence between them.
 *
 * Ticks, silence and the horizon are the paper's (docs/design.md). The leader of SHARD_PURGE runs it from the
 * step.
 *
 * Always: a tick is declared once, as a logged value or as silence, and never above the ceiling that was
 * logged. So a successor that begins above the ceiling declares none of its predecessor's ticks anew. */
#ifndef NL_PURGE_PUBLISHER_H
#define NL_PURGE_PUBLISHER_H

#include "controller_state.h"

/* A publisher requests the newest decisions of a shard that is led here. */
void on_feed_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		     struct command_list *out);

/* A shard's decisions have come: log them, CONTROLLER_PURGE_BATCH at a time. */
void on_feed_reply(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		   struct command_list *out);

/* A value that this publisher logged is committed: it is published with the silence before it.
 * is_new: its feed has not given it before; else the tick is silence. */
void publisher_on_value_logged(struct controller *controller, const struct Nl__Value *value, bool is_new,
			       int64_t now, struct command_list *out);

/* Leadership of SHARD_PURGE begins: declare every tick up to the logged ceiling, as a logged value or as
 * silence. */
void publisher_start(struct controller *controller, int64_t now, struct command_list *out);

/* Request decisions of the shards, and declare silence once no shard has any left. */
void publisher_tick(struct controller *controller, int64_t now, struct command_list *out);

#endif
