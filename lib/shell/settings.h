/* settings: the start settings of a program, from flags, a JSON file or the platform. */
#ifndef NL_SETTINGS_H
#define NL_SETTINGS_H

#include <apr_pools.h>
#include <stdint.h>

#include "core.h"

enum { SETTINGS_MAX_SEEDS = 8 };

/* All strings are allocated from the pool of settings_read. */
struct settings {
	const char *listen_addr; /* "ip:port" where other processes of the fleet connect */
	const char
	    *advertised_addr;  /* address that is advertised to other processes; NULL: the value of listen */
	const char *http_addr; /* "ip:port" where clients (router) or operators (controller) connect */
	const char *zone;
	const char *data_folder;               /* data folder of a controller; unused by a router */
	const char *sync_delay_file;           /* for tests: the sync delay file of storage_open; or NULL */
	const char *seeds[SETTINGS_MAX_SEEDS]; /* addresses of other processes */
	int seed_count;
	int is_check_only;            /* exit after the settings were checked */
	const char *settings_path;    /* path of the settings file, or NULL */
	int stop_grace_ms;            /* maximum duration of a planned stop; 0: the default */
	int metrics_port;             /* port on which metrics are served; 0: not served */
	int are_experiments_allowed;  /* --without is allowed, and decisions are logged */
	uint32_t disabled_mechanisms; /* bit set of enum mechanism: mechanisms that an experiment disables */
	struct bounds bounds;
	int may_bootstrap; /* first start of a fleet with empty disks: the first seed bootstraps the fleet,
			      once */
	void *front_end_settings; /* data for the front end, set by read_external; NULL: the product's own
			    interface is used */

	/* Reads the platform's settings for --platform, in a format other than the product's, and fills in
	 * the fields that flags can't set then. The program sets it before settings_read. Returns -1 on
	 * success, or an exit code with error_text set. NULL: the program does not support --platform. */
	int (*read_external)(struct settings *settings, const char *program, int has_storage,
			     apr_pool_t *pool);
	const char *error_text; /* one line: file, key and allowed range */
};

/* Read the flags and, with --settings, the settings file; flags take precedence. has_storage: the program has
 * a data folder. Errors are printed to stderr. Returns -1 if the program is to continue, or else its exit
 * code. */
int settings_read(struct settings *settings, const char *program, int has_storage, int argc, char **argv,
		  apr_pool_t *pool);

#endif
