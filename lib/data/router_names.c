/* router_names: maps names to dense indices. A name gets the next index when it first appears and keeps it
 * for the lifetime of the process, so that arrays by index remain valid across revisions of the
 * configuration. */
#include "router_internal.h"

#include <stdlib.h>
#include <string.h>

#include "containers.h"

uint32_t names_find_or_add(struct name_table *table, const char *name)
{
	ptrdiff_t i;

	if (!table->index)
		sh_new_strdup(table->index);
	i = shgeti(table->index, name);
	if (i >= 0)
		return table->index[i].value;
	arrput(table->names, strdup(name));
	shput(table->index, name, (uint32_t)arrlen(table->names) - 1);
	return (uint32_t)arrlen(table->names) - 1;
}

int names_find(const struct name_table *table, const char *name)
{
	struct name_entry *index = table->index;
	ptrdiff_t i = index ? shgeti(index, name) : -1;

	return i < 0 ? -1 : (int)index[i].value;
}

void names_clear(struct name_table *table)
{
	for (ptrdiff_t i = 0; i < arrlen(table->names); i++)
		free(table->names[i]);
	arrfree(table->names);
	shfree(table->index);
}
