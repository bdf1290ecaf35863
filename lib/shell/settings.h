/* settings: the configuration of a program, by flags, by a JSON file or by a platform. */
#ifndef NL_SETTINGS_H
#define NL_SETTINGS_H

#include <apr_pools.h>
#include <stdint.h>

#include "core.h"

enum { SETTINGS_MAX_SEEDS = 8 };

/* All texts live in the pool of settings_read. */
struct settings {
	const char *listen;    /* "ip:port" for other processes of the fleet */
	const char *advertise; /* the address that they are given, if another; or NULL */
	const char *web;       /* "ip:port" for clients or operators */
	const char *zone;
	const char *data;                      /* a controller's data folder */
	const char *fault;                     /* for tests: see storage_open; or NULL */
	const char *seeds[SETTINGS_MAX_SEEDS]; /* addresses of other processes */
	int seed_count;
	int check_only;               /* check the settings and end */
	const char *file;             /* the settings file, or NULL */
	int grace_ms;                 /* for a planned stop; 0: the default */
	int metrics_port;             /* where metrics are served; 0: nowhere */
	int experiments_allowed;      /* --without is allowed, and decisions are logged */
	uint32_t disabled_mechanisms; /* that an experiment switches off, as a set: mechanism.h */
	struct bounds bounds;
	int may_bootstrap; /* a first start on empty disks: the first seed bootstraps the fleet, once */
	void *extension; /* what only the reader of external settings and its front end know; NULL: product's
			    own interface */

	/* Reads settings in another form than the product's, for --platform; set by the program before
	 * settings_read. Fills in what flags may not. Returns -1 to go on, or an exit code with error_text
	 * set. NULL: the program knows no other form. */
	int (*read_external)(struct settings *settings, const char *program, int has_storage,
			     apr_pool_t *pool);
	const char *error_text; /* one line with file, key and range */
};

/* Read flags and, with --settings, a file; flags have precedence. has_storage: the program keeps a data
 * folder. Errors are printed. Returns -1 to go on, or the exit code with which the program ends. */
int settings_read(struct settings *settings, const char *program, int has_storage, int argc, char **argv,
		  apr_pool_t *pool);

#endif
