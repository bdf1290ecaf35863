/* Names of the programs under test in a folder of built programs, and of their roles in settings files. Older
 * builds have other names; what they say to each other and write to disk is the same. */
#ifndef NL_PROGRAM_NAMES_H
#define NL_PROGRAM_NAMES_H

struct program_names {
	const char *controller;
	const char *router;
	const char *controller_role;
	const char *router_role;
};

/* The names that a build folder uses: today's, unless it has only the older programs. Never NULL; static. */
const struct program_names *program_names_in(const char *folder);

#endif
