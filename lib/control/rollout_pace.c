#include "rollout_pace.h"

#include <stdlib.h>

#include "containers.h"
#include "rollout.h"
#include "mechanism.h"
#include "version_history.h"

void rollout_pace_observe_load(struct controller *controller, const struct rollout_server *server,
			       const char *model, int64_t now)
{
	struct rollout_pace *pace;
	int duration_ms = (int)(now - server->commanded_at_ms);

	if (shgeti(controller->rollout.models, model) < 0 || server->state != ROLLOUT_LOADING ||
	    !server->commanded_at_ms)
		return;
	pace = &shgetp(controller->rollout.models, model)->value;
	if (server->max_concurrent_loads <= pace->base_concurrency) {
		pace->base_load_ms =
		    pace->base_load_ms ? (3 * pace->base_load_ms + duration_ms) / 4 : duration_ms;
		return;
	}
	pace->extra_load_ms = pace->extra_load_ms ? (pace->extra_load_ms + duration_ms) / 2 : duration_ms;
	pace->extra_load_count++;
	if (pace->base_load_ms && pace->extra_load_ms > pace->base_load_ms + pace->base_load_ms / 4) {
		pace->is_saturated = 1;
		pace->concurrency = pace->base_concurrency;
	} else if (!pace->is_saturated && pace->extra_load_count % (2 * pace->concurrency) == 0 &&
		   server->max_concurrent_loads >= pace->concurrency) {
		pace->concurrency++;
	}
}

/* The expected duration of a load: as measured, or a tenth of the bound on the rollout before any
 * measurement. */
static int64_t expected_load_ms(const struct controller *controller, const struct rollout_pace *pace)
{
	return pace->base_load_ms ? pace->base_load_ms : controller->bounds.rollout_ms / 10;
}

static int64_t planned_notice_ms(const struct controller *controller, const struct rollout_pace *pace)
{
	int64_t notice_ms = expected_load_ms(controller, pace) / ROLLOUT_NOTICE_DIVISOR;

	if (!mechanism_is_enabled(controller->bounds.disabled_mechanisms, MECHANISM_RETAIN))
		return 0;
	return notice_ms < ROLLOUT_NOTICE_MAX_MS ? notice_ms : ROLLOUT_NOTICE_MAX_MS;
}

/* The time that remains of the bound on the rollout after the given share of it has passed. */
static int64_t reserve_ms_after(const struct controller *controller, int percent)
{
	return (int64_t)controller->bounds.rollout_ms * (100 - percent) / 100;
}

int64_t rollout_notice_ms(const struct controller *controller, const char *model, int64_t deadline_ms,
			  int64_t now)
{
	struct rollout_model *models = controller->rollout.models;
	ptrdiff_t k = shgeti(models, model);
	struct rollout_pace none = { 0 };
	const struct rollout_pace *pace = k >= 0 ? &models[k].value : &none;
	int64_t reserve_ms = reserve_ms_after(controller, ROLLOUT_PLANNED_PERCENT);

	if (deadline_ms == INT64_MIN ||
	    now + 2 * expected_load_ms(controller, pace) > deadline_ms - reserve_ms)
		return 0;
	return planned_notice_ms(controller, pace);
}

int64_t rollout_deadline_ms(const struct controller *controller, const struct Nl__Row *model,
			    const char *weights)
{
	const struct Nl__TargetVersion *next_version =
	    version_history_first_newer(model, strtoull(weights, NULL, 10));

	if (!next_version)
		return INT64_MIN;
	return (int64_t)next_version->targeted_at_ms + controller->bounds.rollout_ms -
	       controller->clocks.group_offset_ms;
}

/* How many servers have to load concurrently so that each has loaded within the planned share of the bound.
 * deadlines_ms holds the deadlines of the servers that may still be commanded, soonest first. *urgent_count
 * is set to the number of those that cannot finish within the planned share any more. */
static int needed_concurrency(const struct controller *controller, const int64_t *deadlines_ms,
			      int occupied_slot_count, int64_t load_duration_ms, int64_t now,
			      int *urgent_count)
{
	int64_t reserve_ms = reserve_ms_after(controller, ROLLOUT_PLANNED_PERCENT);
	int needed = 0;

	*urgent_count = 0;
	for (int i = 0; i < arrlen(deadlines_ms); i++) {
		/* loads in progress are half done on average */
		int64_t loads_until_done = i + 1 + occupied_slot_count / 2;
		int64_t remaining_ms = deadlines_ms[i] == INT64_MIN ? 0 : deadlines_ms[i] - reserve_ms - now;

		if (remaining_ms <= 0 || remaining_ms < load_duration_ms)
			(*urgent_count)++;
		else if ((loads_until_done * load_duration_ms + remaining_ms - 1) / remaining_ms > needed)
			needed =
			    (int)((loads_until_done * load_duration_ms + remaining_ms - 1) / remaining_ms);
	}
	return needed;
}

/* The concurrency while some servers are urgent: all of them at once if higher concurrency has been measured
 * to help, if nothing has been measured at all, or if the final deadline is near. Otherwise at most twice the
 * base concurrency, which gives the same load throughput as commanding all of them. */
static int urgent_concurrency(const struct controller *controller, const struct rollout_pace *pace,
			      int urgent_count, const int64_t *deadlines_ms, int occupied_slot_count,
			      int64_t now)
{
	int64_t reserve_ms = reserve_ms_after(controller, ROLLOUT_COMMAND_ALL_PERCENT);
	int extra_concurrency_helps =
	    !pace->is_saturated &&
	    (!pace->base_load_ms || pace->extra_load_count >= 2 * pace->base_concurrency);
	int full_concurrency = urgent_count + occupied_slot_count > pace->concurrency
				   ? urgent_count + occupied_slot_count
				   : pace->concurrency;

	if (extra_concurrency_helps || deadlines_ms[0] == INT64_MIN || now >= deadlines_ms[0] - reserve_ms)
		return full_concurrency;
	return full_concurrency <= 2 * pace->base_concurrency ? full_concurrency : 2 * pace->base_concurrency;
}

int rollout_concurrency(const struct controller *controller, struct rollout_pace *pace, int server_count,
			const int64_t *deadlines_ms, int occupied_slot_count, int64_t now)
{
	int64_t load_duration_ms = expected_load_ms(controller, pace) + planned_notice_ms(controller, pace);
	int urgent_count, needed;

	if (!pace->base_concurrency) {
		pace->base_concurrency = (server_count + 3) / 6 > 1 ? (server_count + 3) / 6 : 1;
		pace->concurrency = pace->base_concurrency;
	}
	needed = needed_concurrency(controller, deadlines_ms, occupied_slot_count, load_duration_ms, now,
				    &urgent_count);
	if (urgent_count)
		return urgent_concurrency(controller, pace, urgent_count, deadlines_ms, occupied_slot_count,
					  now);
	if (!mechanism_is_enabled(controller->bounds.disabled_mechanisms, MECHANISM_PACE))
		return pace->base_concurrency;
	if (!occupied_slot_count)
		pace->loading_since_ms = now;
	if (pace->is_saturated)
		return pace->concurrency;
	if (!pace->base_load_ms && now - pace->loading_since_ms < 2 * load_duration_ms)
		return pace->concurrency; /* wait until the first loads have been measured */
	if (needed > 2 * pace->base_concurrency && pace->extra_load_count < 2 * pace->base_concurrency)
		needed = 2 * pace->base_concurrency; /* limited until measurements show that more helps */
	return needed > pace->concurrency ? needed : pace->concurrency;
}
