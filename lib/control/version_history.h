/* version_history: the times at which versions of a model's weights became the target. They are stored in the
 * model's row and replicated with it.
 *
 * All servers have to serve a new target version within a bounded time after the change that set it was
 * acknowledged. The leader dates each change by the control group's clock (group_clock.h) when it logs the
 * change, which is before the acknowledgement. A date may therefore be too early, but never too late.
 *
 * Invariants: dates and version numbers rise along the list, which holds at most VERSION_HISTORY_MAX entries.
 * The functions keep no state of their own. */
#ifndef NL_VERSION_HISTORY_H
#define NL_VERSION_HISTORY_H

#include <stdbool.h>

#include "core.h"

enum {
	VERSION_HISTORY_MAX = 64,
	VERSION_HISTORY_UNKNOWN_TIME = 0 /* date of versions that were set before dates were recorded */
};

/* A model's target versions while a row is being built. The row points into this structure. */
struct version_history {
	struct Nl__TargetVersion versions[VERSION_HISTORY_MAX + 1];
	struct Nl__TargetVersion
	    *entries[VERSION_HISTORY_MAX + 1]; /* pointers to versions, in the form that rows use */
	size_t count;
};

/* A time on the control group's clock. */
struct group_moment {
	uint64_t at_ms;
	uint64_t term; /* term of the leader that read the clock */
};

/* Fill in a row's versions: those of the row that it replaces (NULL: none), and one more if the row's own
 * target version is newer. The bound on the rollout has passed for versions set up to bound_passed_at_ms on
 * the group's clock; only the newest of them is kept, since it excludes all older ones. Beyond
 * VERSION_HISTORY_MAX entries, the two whose dates are closest are merged into one with the newer version and
 * the earlier date. Example: version_history_update(&history, previous_row, &row, table->clock,
 * change->bound_passed_at_ms); */
void version_history_update(struct version_history *history, const struct Nl__Row *previous_row,
			    struct Nl__Row *row, struct group_moment now, uint64_t bound_passed_at_ms);

/* Whether a newer version than this one has been set as the target. Example: if
 * (!version_history_supersedes(model, 3)) send(server); */
bool version_history_supersedes(const struct Nl__Row *model, uint64_t weights);

/* The first target version that is newer than these weights, owned by the row; NULL when there is none or its
 * date is unknown. Example: if (version_history_supersedes(model, 3) && !(version =
 * version_history_first_newer(model, 3))) treat_as_expired(); */
const struct Nl__TargetVersion *version_history_first_newer(const struct Nl__Row *model, uint64_t weights);

/* The number of a model's newest target version. Example: if (version_history_newest(model) > 3) roll_out();
 */
uint64_t version_history_newest(const struct Nl__Row *model);

#endif
