/* version_history: since when a model's weights are the target, kept in the model's row and so replicated
 * with it.
 *
 * All servers have to run newer weights within a bound of the acknowledgement of the change that set them.
 * Each change is dated by the leader's clock when it is logged, which is before it is acknowledged; the clock
 * is the control group's (group_clock.h). A date may therefore be too early, and never too late.
 *
 * Always: dates and weights rise along the list, which holds VERSION_HISTORY_MAX entries at the most. Pure.
 */
#ifndef NL_VERSION_HISTORY_H
#define NL_VERSION_HISTORY_H

#include <stdbool.h>

#include "core.h"

enum {
	VERSION_HISTORY_MAX = 64,
	VERSION_HISTORY_UNKNOWN_TIME = 0 /* of weights that were set before dates were kept */
};

/* A model's target versions while a row is being made; the row points into it. */
struct version_history {
	struct Nl__TargetVersion versions[VERSION_HISTORY_MAX + 1];
	struct Nl__TargetVersion *entries[VERSION_HISTORY_MAX + 1]; /* to versions, as rows hold them */
	size_t count;
};

/* A moment on the control group's clock. */
struct group_moment {
	uint64_t at_ms;
	uint64_t term; /* of the leader that counted it */
};

/* Give a row the versions of the row before it (NULL: none), and one more if its own weights are newer.
 * Versions set by bound_passed, on the group's clock, have had their bound: of them the newest is kept, since
 * it forbids all older weights. Beyond VERSION_HISTORY_MAX the two that lie closest together become one, with
 * the newer weights and the earlier date. Example: version_history_update(&list, before, &row, table->clock,
 * change->bound_passed_at_ms); */
void version_history_update(struct version_history *history, const struct Nl__Row *previous_row,
			    struct Nl__Row *row, struct group_moment now, uint64_t bound_passed_at_ms);

/* Whether newer weights than these have been set. Example: if (!version_history_supersedes(model, 3))
 * send(server); */
bool version_history_supersedes(const struct Nl__Row *model, uint64_t weights);

/* The first version newer than these weights, the row's; NULL where none is newer, or its date is not known.
 * Example: if (version_history_supersedes(model, 3) && !(version = version_history_after(model, 3)))
 * treat_as_old(); */
const struct Nl__TargetVersion *version_history_after(const struct Nl__Row *model, uint64_t weights);

/* A model's newest weights, as a number. Example: if (version_history_newest(model) > 3) roll_out(); */
uint64_t version_history_newest(const struct Nl__Row *model);

#endif
