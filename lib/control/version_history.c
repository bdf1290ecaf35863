#include "version_history.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum { FIRST_WEIGHTS = 1 }; /* which all servers have before any are set */

uint64_t version_history_newest(const struct Nl__Row *model)
{
	return strtoull(model->target_weights, NULL, 10);
}

static void history_add(struct version_history *list, uint64_t weights, struct group_moment moment)
{
	struct Nl__TargetVersion *version = &list->versions[list->count];

	nl__target_version__init(version);
	version->weights = weights;
	version->targeted_at_ms = moment.at_ms;
	version->term = moment.term;
	list->entries[list->count++] = version;
}

static void history_remove(struct version_history *list, size_t i)
{
	list->count--;
	memmove(&list->versions[i], &list->versions[i + 1], (list->count - i) * sizeof list->versions[i]);
}

/* Weights older than the second entry's are forbidden by it, once its bound has passed as well. */
static void drop_passed(struct version_history *list, uint64_t bound_passed)
{
	while (list->count > 1 && list->versions[1].targeted_at_ms <= bound_passed)
		history_remove(list, 0);
}

static void merge_closest(struct version_history *list)
{
	size_t closest = 0;

	for (size_t i = 1; i + 1 < list->count; i++)
		if (list->versions[i + 1].targeted_at_ms - list->versions[i].targeted_at_ms <
		    list->versions[closest + 1].targeted_at_ms - list->versions[closest].targeted_at_ms)
			closest = i;
	list->versions[closest + 1].targeted_at_ms = list->versions[closest].targeted_at_ms;
	list->versions[closest + 1].term = list->versions[closest].term;
	history_remove(list, closest);
}

void version_history_update(struct version_history *list, const struct Nl__Row *before, struct Nl__Row *row,
			    struct group_moment now, uint64_t bound_passed)
{
	uint64_t newest = version_history_newest(row),
		 older = before ? version_history_newest(before) : FIRST_WEIGHTS;

	list->count = 0;
	for (size_t i = 0; before && i < before->n_target_versions && i < VERSION_HISTORY_MAX; i++) {
		const struct Nl__TargetVersion *version = before->target_versions[i];

		history_add(list, version->weights,
			    (struct group_moment){ version->targeted_at_ms, version->term });
	}
	if (newest > older && !list->count && older > FIRST_WEIGHTS) /* set before dates were kept */
		history_add(list, older, (struct group_moment){ VERSION_HISTORY_UNKNOWN_TIME, 0 });
	if (newest > older)
		history_add(list, newest, now);
	drop_passed(list, bound_passed);
	if (list->count > VERSION_HISTORY_MAX)
		merge_closest(list);
	row->target_versions = list->entries;
	row->n_target_versions = list->count;
}

bool version_history_supersedes(const struct Nl__Row *model, uint64_t weights)
{
	return weights < version_history_newest(model) && version_history_newest(model) > FIRST_WEIGHTS;
}

const struct Nl__TargetVersion *version_history_after(const struct Nl__Row *model, uint64_t weights)
{
	for (size_t i = 0; i < model->n_target_versions; i++)
		if (model->target_versions[i]->weights > weights)
			return model->target_versions[i]->targeted_at_ms == VERSION_HISTORY_UNKNOWN_TIME
				   ? NULL
				   : model->target_versions[i];
	return NULL;
}
