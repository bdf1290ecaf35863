#include "version_history.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum { FIRST_WEIGHTS = 1 }; /* version that all servers have before any target version is set */

uint64_t version_history_newest(const struct Nl__Row *model)
{
	return strtoull(model->target_weights, NULL, 10);
}

static void history_add(struct version_history *history, uint64_t weights, struct group_moment targeted_at)
{
	struct Nl__TargetVersion *version = &history->versions[history->count];

	nl__target_version__init(version);
	version->weights = weights;
	version->targeted_at_ms = targeted_at.at_ms;
	version->term = targeted_at.term;
	history->entries[history->count++] = version;
}

static void history_remove(struct version_history *history, size_t i)
{
	history->count--;
	memmove(&history->versions[i], &history->versions[i + 1],
		(history->count - i) * sizeof history->versions[i]);
}

/* Remove entries that are not needed any more: once the bound has passed for the second entry, it excludes
 * all versions older than its own, and the first entry adds nothing. */
static void drop_expired_versions(struct version_history *history, uint64_t bound_passed_at_ms)
{
	while (history->count > 1 && history->versions[1].targeted_at_ms <= bound_passed_at_ms)
		history_remove(history, 0);
}

static void merge_closest_versions(struct version_history *history)
{
	size_t closest = 0;

	for (size_t i = 1; i + 1 < history->count; i++)
		if (history->versions[i + 1].targeted_at_ms - history->versions[i].targeted_at_ms <
		    history->versions[closest + 1].targeted_at_ms - history->versions[closest].targeted_at_ms)
			closest = i;
	history->versions[closest + 1].targeted_at_ms = history->versions[closest].targeted_at_ms;
	history->versions[closest + 1].term = history->versions[closest].term;
	history_remove(history, closest);
}

void version_history_update(struct version_history *history, const struct Nl__Row *previous_row,
			    struct Nl__Row *row, struct group_moment now, uint64_t bound_passed_at_ms)
{
	uint64_t newest_weights = version_history_newest(row),
		 previous_weights = previous_row ? version_history_newest(previous_row) : FIRST_WEIGHTS;

	history->count = 0;
	for (size_t i = 0; previous_row && i < previous_row->n_target_versions && i < VERSION_HISTORY_MAX;
	     i++) {
		const struct Nl__TargetVersion *version = previous_row->target_versions[i];

		history_add(history, version->weights,
			    (struct group_moment){ version->targeted_at_ms, version->term });
	}
	/* the previous version was set before dates were recorded */
	if (newest_weights > previous_weights && !history->count && previous_weights > FIRST_WEIGHTS)
		history_add(history, previous_weights,
			    (struct group_moment){ VERSION_HISTORY_UNKNOWN_TIME, 0 });
	if (newest_weights > previous_weights)
		history_add(history, newest_weights, now);
	drop_expired_versions(history, bound_passed_at_ms);
	if (history->count > VERSION_HISTORY_MAX)
		merge_closest_versions(history);
	row->target_versions = history->entries;
	row->n_target_versions = history->count;
}

bool version_history_supersedes(const struct Nl__Row *model, uint64_t weights)
{
	return weights < version_history_newest(model) && version_history_newest(model) > FIRST_WEIGHTS;
}

const struct Nl__TargetVersion *version_history_first_newer(const struct Nl__Row *model, uint64_t weights)
{
	for (size_t i = 0; i < model->n_target_versions; i++)
		if (model->target_versions[i]->weights > weights)
			return model->target_versions[i]->targeted_at_ms == VERSION_HISTORY_UNKNOWN_TIME
				   ? NULL
				   : model->target_versions[i];
	return NULL;
}
