/* rollout_pace: how many servers of a model load new weights at once, so that each has them by its due time
 * and as many as can go on serving. It learns from loads how long one takes, and whether more at once make it
 * longer. rollout_instances.c asks before each command and reports each load. */
#ifndef NL_ROLLOUT_PACE_H
#define NL_ROLLOUT_PACE_H

#include "controller_state.h"

/* A server's load has ended: learn how long one takes, and whether more at once than at first make it longer.
 * Example: rollout_pace_learn(controller, server, "lm", now); */
void rollout_pace_observe_load(struct controller *controller, const struct rollout_server *server,
			       const char *model, int64_t now);

/* How long before its load a server is sent nothing more, so that most of what runs there has ended by then,
 * and routers know. 0 where it has to have loaded soon. Example: if (now - since_ms <
 * rollout_notice_ms(controller, "lm", due_at_ms, now)) return; */
int64_t rollout_notice_ms(const struct controller *controller, const char *model, int64_t deadline_ms,
			  int64_t now);

/* By when a server must have loaded newer weights than these, on this controller's clock; INT64_MIN, long
 * past, where that is not known. Example: due_at_ms = rollout_due_at_ms(controller, model, "3"); */
int64_t rollout_deadline_ms(const struct controller *controller, const struct Nl__Row *model,
			    const char *weights);

/* How many of a model's servers may load at once: as many as don't slow each other down, as far as is known;
 * more when the bound asks for it and it helps; and all those for which the planned time is over. due_at_ms
 * (stb_ds): when those are due that are yet to be commanded, soonest first; loading: how many load now.
 * Example: slots = rollout_concurrency(controller, pace, server_count, due_at_ms, loading, now) - loading; */
int rollout_concurrency(const struct controller *controller, struct rollout_pace *pace, int server_count,
			const int64_t *deadlines_ms, int loading_count, int64_t now);

#endif
