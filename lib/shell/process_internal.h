/* process_internal: what the files of the process loop share. Not for other modules.
 *   process.c          opening, the loop, commands     process_signals.c  SIGTERM, SIGINT and SIGHUP
 *   settings_watch.c   external settings that change */
#ifndef NL_PROCESS_INTERNAL_H
#define NL_PROCESS_INTERNAL_H

#include <apr_file_info.h>
#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "process.h"

/* ---- process_signals.c ---- */

/* Install the handlers: SIGTERM and SIGINT ask for a planned stop; SIGHUP asks for external settings to be
 * read again, and ends a program without any; SIGPIPE is ignored. */
void process_install_signal_handlers(const struct settings *settings);

/* Whether a planned stop was asked for. */
bool process_stop_requested(void);

/* Whether SIGHUP has come since process_clear_hangup. */
bool process_hangup_received(void);
void process_clear_hangup(void);

/* ---- settings_watch.c ---- */

/* External settings may change at any time, with a signal or without. A file that is torn or bad changes
 * nothing, is logged once, and is read again until it's good. */
struct settings_watch {
	int64_t next_poll_at_ms; /* 0: not polled yet */
	apr_time_t mtime;        /* of the file, as are inode and size */
	apr_ino_t inode;
	apr_off_t size;
	bool retry_due;       /* it could not be read the last time */
	char last_error[500]; /* that was logged; empty: none */
};

/* Read changed external settings and hand them to the handlers. */
void settings_watch_poll(struct settings_watch *watch, struct process *process,
			 const struct process_handlers *handlers, int64_t now);

#endif
