/* Which names of programs a build folder uses: looked up by its files. */
#include "program_names.h"

#include <stdio.h>
#include <unistd.h>

static const struct program_names today = { "notchlug-controller", "notchlug-router", "controller",
					    "router" };

/* Before programs were named by their roles in the field's terms. */
static const struct program_names earlier = { "registrar", "counter", "registrar", "counter" };

const struct program_names *program_names_in(const char *folder)
{
	char path[900];

	snprintf(path, sizeof path, "%s/%s", folder, today.controller);
	if (access(path, X_OK) == 0)
		return &today;
	snprintf(path, sizeof path, "%s/%s", folder, earlier.controller);
	return access(path, X_OK) == 0 ? &earlier : &today;
}
