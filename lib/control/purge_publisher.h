/* purge_publisher: the publisher of the purge stream. It collects purge decisions from the feeds of the other
 * shards, logs each as a value at a tick of the stream, and declares silence for the ticks between values.
 *
 * Ticks, silence and the horizon are terms of the paper cited in docs/design.md. The publisher runs on the
 * leader of SHARD_PURGE, within the controller's step.
 *
 * Invariant: a tick is declared once, as a logged value or as silence, and never above the logged ceiling. A
 * succeeding leader assigns new values only to ticks above that ceiling, so it never declares a tick of its
 * predecessor differently. */
#ifndef NL_PURGE_PUBLISHER_H
#define NL_PURGE_PUBLISHER_H

#include "controller_state.h"

/* Answer a publisher's request for the newest purge decisions of a shard; replies with a hint when this node
 * does not lead the shard. */
void publisher_on_feed_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			       struct command_list *out);

/* Process a shard's reply with its purge decisions: log the new ones, at most CONTROLLER_MAX_PURGE_BATCH at a
 * time. */
void publisher_on_feed_reply(struct controller *controller, const struct Nl__Msg *message, int64_t now,
			     struct command_list *out);

/* Publish a value that this publisher has logged and that is now committed, with silence for the ticks before
 * it. is_new is false when the value's feed has supplied it before; its tick is then published as silence. */
void publisher_on_value_logged(struct controller *controller, const struct Nl__Value *value, bool is_new,
			       int64_t now, struct command_list *out);

/* Begin as the leader of SHARD_PURGE: declare every tick up to the logged ceiling, as a logged value or as
 * silence.
 */
void publisher_start(struct controller *controller, int64_t now, struct command_list *out);

/* Request purge decisions from the other shards, and declare silence once none of them has unpublished
 * decisions. */
void publisher_tick(struct controller *controller, int64_t now, struct command_list *out);

#endif
