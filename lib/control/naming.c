#include "naming.h"

#include <stdlib.h>
#include <string.h>

enum { FIRST_WEIGHTS = 1 }; /* which stand everywhere before any are named */

uint64_t version_history_newest(const struct Nl__Row *model) { return strtoull(model->weights, NULL, 10); }

static void history_add(struct version_history *list, uint64_t weights, struct group_moment moment)
{
	struct Nl__Naming *version = &list->versions[list->count];

	nl__naming__init(version);
	version->weights = weights;
	version->at = moment.at_ms;
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
	while (list->count > 1 && list->versions[1].at <= bound_passed)
		history_remove(list, 0);
}

static void merge_closest(struct version_history *list)
{
	size_t closest = 0;

	for (size_t i = 1; i + 1 < list->count; i++)
		if (list->versions[i + 1].at - list->versions[i].at < list->versions[closest + 1].at - list->versions[closest].at)
			closest = i;
	list->versions[closest + 1].at = list->versions[closest].at;
	list->versions[closest + 1].term = list->versions[closest].term;
	history_remove(list, closest);
}

void version_history_update(struct version_history *list, const struct Nl__Row *before, struct Nl__Row *row, struct group_moment now,
		   uint64_t bound_passed)
{
	uint64_t newest = version_history_newest(row), older = before ? version_history_newest(before) : FIRST_WEIGHTS;

	list->count = 0;
	for (size_t i = 0; before && i < before->n_naming && i < VERSION_HISTORY_MAX; i++) {
		const struct Nl__Naming *version = before->naming[i];

		history_add(list, version->weights, (struct group_moment){ version->at, version->term });
	}
	if (newest > older && !list->count && older > FIRST_WEIGHTS) /* named before dates were kept */
		history_add(list, older, (struct group_moment){ VERSION_HISTORY_UNKNOWN_TIME, 0 });
	if (newest > older)
		history_add(list, newest, now);
	drop_passed(list, bound_passed);
	if (list->count > VERSION_HISTORY_MAX)
		merge_closest(list);
	row->naming = list->entries;
	row->n_naming = list->count;
}

int version_history_supersedes(const struct Nl__Row *model, uint64_t weights)
{
	return weights < version_history_newest(model) && version_history_newest(model) > FIRST_WEIGHTS;
}

const struct Nl__Naming *version_history_after(const struct Nl__Row *model, uint64_t weights)
{
	for (size_t i = 0; i < model->n_naming; i++)
		if (model->naming[i]->weights > weights)
			return model->naming[i]->at == VERSION_HISTORY_UNKNOWN_TIME ? NULL : model->naming[i];
	return NULL;
}
