/* final_table: the configuration table that a run of the test fleet ends with. The run's checker judges by
 * it, so a run without one is undecided. Called by fleet_run.c; the calls it needs are handed in, so that
 * tests play a fleet of their own. */
#ifndef NL_FINAL_TABLE_H
#define NL_FINAL_TABLE_H

#include <stdint.h>

enum {
	FINAL_TABLE_LIMIT_MS = 15000, /* a group without a leader elects one far sooner */
	FINAL_TABLE_PAUSE_MS = 100    /* after each controller was asked once */
};

/* How the table is requested; context is passed to each call. */
struct final_table_calls {
	void *context;
	/* Requests the table of a controller. Returns the HTTP status, 0 if there is no answer; *body, which
	 * the caller frees, may be NULL. */
	int (*request)(void *context, int controller, char **body);
	void (*sleep_ms)(void *context, int64_t ms);
	int64_t (*now_ms)(void *context); /* monotonic */
};

/* The table as JSON text, from whichever controller answers first; the caller frees it. While all refuse,
 * they are asked again until FINAL_TABLE_LIMIT_MS have passed; NULL then. Example: char *table =
 * final_table_read(&calls, fleet->controller_count); */
char *final_table_read(const struct final_table_calls *calls, int controller_count);

#endif
