#include "naming.h"

#include <stdlib.h>
#include <string.h>

enum { FIRST_WEIGHTS = 1 }; /* which stand everywhere before any are named */

uint64_t naming_newest(const struct Nl__Row *model) { return strtoull(model->weights, NULL, 10); }

static void list_add(struct naming_list *list, uint64_t weights, struct group_moment moment)
{
	struct Nl__Naming *naming = &list->item[list->count];

	nl__naming__init(naming);
	naming->weights = weights;
	naming->at = moment.at;
	naming->term = moment.term;
	list->entry[list->count++] = naming;
}

static void list_remove(struct naming_list *list, size_t i)
{
	list->count--;
	memmove(&list->item[i], &list->item[i + 1], (list->count - i) * sizeof list->item[i]);
}

/* Weights older than the second entry's are forbidden by it, once its bound has passed as well. */
static void drop_passed(struct naming_list *list, uint64_t bound_passed)
{
	while (list->count > 1 && list->item[1].at <= bound_passed)
		list_remove(list, 0);
}

static void merge_closest(struct naming_list *list)
{
	size_t closest = 0;

	for (size_t i = 1; i + 1 < list->count; i++)
		if (list->item[i + 1].at - list->item[i].at < list->item[closest + 1].at - list->item[closest].at)
			closest = i;
	list->item[closest + 1].at = list->item[closest].at;
	list->item[closest + 1].term = list->item[closest].term;
	list_remove(list, closest);
}

void naming_update(struct naming_list *list, const struct Nl__Row *before, struct Nl__Row *row, struct group_moment now,
		   uint64_t bound_passed)
{
	uint64_t newest = naming_newest(row), older = before ? naming_newest(before) : FIRST_WEIGHTS;

	list->count = 0;
	for (size_t i = 0; before && i < before->n_naming && i < NAMING_MOST; i++) {
		const struct Nl__Naming *naming = before->naming[i];

		list_add(list, naming->weights, (struct group_moment){ naming->at, naming->term });
	}
	if (newest > older && !list->count && older > FIRST_WEIGHTS) /* named before dates were kept */
		list_add(list, older, (struct group_moment){ NAMING_UNKNOWN, 0 });
	if (newest > older)
		list_add(list, newest, now);
	drop_passed(list, bound_passed);
	if (list->count > NAMING_MOST)
		merge_closest(list);
	row->naming = list->entry;
	row->n_naming = list->count;
}

int naming_supersedes(const struct Nl__Row *model, uint64_t weights)
{
	return weights < naming_newest(model) && naming_newest(model) > FIRST_WEIGHTS;
}

const struct Nl__Naming *naming_after(const struct Nl__Row *model, uint64_t weights)
{
	for (size_t i = 0; i < model->n_naming; i++)
		if (model->naming[i]->weights > weights)
			return model->naming[i]->at == NAMING_UNKNOWN ? NULL : model->naming[i];
	return NULL;
}
