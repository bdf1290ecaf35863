/* naming: the dates at which weights were named for a model, kept in the model's row and so replicated with
 * it. Newer weights have to stand everywhere within a bound of their naming's acknowledgement. Each naming is
 * dated by the leader's clock when it is logged, which is before it is acknowledged; the clock is the control
 * group's (group_clock.h). A date may therefore be too early, and never too late. Always: dates and weights
 * rise along the list, which holds at most NAMING_MOST entries. */
#ifndef NL_VERSION_HISTORY_H
#define NL_VERSION_HISTORY_H

#include "core.h"

enum {
	VERSION_HISTORY_MAX = 64,
	VERSION_HISTORY_UNKNOWN_TIME = 0 /* the moment of weights that were named before dates were kept */
};

/* A model's namings while a row is being made; the row points into it. */
struct version_history {
	struct Nl__TargetVersion versions[VERSION_HISTORY_MAX + 1], *entries[VERSION_HISTORY_MAX + 1];
	size_t count;
};

/* A moment on the control group's clock, and the term of the leader that counted it. */
struct group_moment {
	uint64_t at_ms, term;
};

/* Give a row the namings of the row before it, NULL for none, and one of its own weights if they are newer.
 * Those that were made by bound_passed have had their bound: of them the newest is kept, since it forbids all
 * older weights. Beyond NAMING_MOST two that lie closest together become one, with the newer weights and the
 * earlier date. Example: naming_update(&list, before, &row, table->now, change->bound_passed); */
void version_history_update(struct version_history *list, const struct Nl__Row *before, struct Nl__Row *row,
			    struct group_moment now, uint64_t bound_passed);

/* Whether newer weights than these have been named. Example: if (!naming_supersedes(model, 3)) send(server);
 */
int version_history_supersedes(const struct Nl__Row *model, uint64_t weights);

/* The first naming of newer weights than these; NULL where none is newer, or where its date is not known.
 * Example: if (naming_supersedes(model, 3) && !(naming = naming_after(model, 3))) count_as_long_ago(); */
const struct Nl__TargetVersion *version_history_after(const struct Nl__Row *model, uint64_t weights);

/* A model's newest weights, as a number. Example: if (naming_newest(model) > 3) roll_out(); */
uint64_t version_history_newest(const struct Nl__Row *model);

#endif
