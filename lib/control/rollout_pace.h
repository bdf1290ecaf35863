/* rollout_pace: decides how many servers of a model load new weights concurrently, so that each server has
 * loaded by its deadline while as many servers as possible keep serving. It measures the duration of past
 * loads and whether higher concurrency makes loads slower. */
#ifndef NL_ROLLOUT_PACE_H
#define NL_ROLLOUT_PACE_H

#include "controller_state.h"

/* Record the duration of a load that has just ended, and adjust the concurrency of the model's loads.
 * Example: rollout_pace_observe_load(controller, server, "lm", now); */
void rollout_pace_observe_load(struct controller *controller, const struct rollout_server *server,
			       const char *model, int64_t now);

/* How long before its load command routers stop sending requests to a server, so that the notice reaches the
 * routers and most requests running on the server have ended. 0 when the deadline is too near for a notice.
 * Example: if (now - started_at_ms < rollout_notice_ms(controller, "lm", deadline_ms, now)) return; */
int64_t rollout_notice_ms(const struct controller *controller, const char *model, int64_t deadline_ms,
			  int64_t now);

/* When a server with these weights must have loaded a newer version, on this controller's monotonic clock;
 * INT64_MIN (overdue) when that time is unknown.
 * Example: deadline_ms = rollout_deadline_ms(controller, model, "3"); */
int64_t rollout_deadline_ms(const struct controller *controller, const struct Nl__Row *model,
			    const char *weights);

/* How many of a model's servers may load concurrently: as many as load without slowing each other down
 * according to the measurements so far; more when the deadlines require it and it helps; and all servers
 * whose planned time has passed. deadlines_ms is an stb_ds array with the deadlines of the servers that may
 * still be commanded, soonest first; occupied_slot_count is the number of servers that occupy a slot now.
 * Example: max = rollout_concurrency(controller, pace, server_count, deadlines_ms, occupied_slot_count, now);
 */
int rollout_concurrency(const struct controller *controller, struct rollout_pace *pace, int server_count,
			const int64_t *deadlines_ms, int occupied_slot_count, int64_t now);

#endif
