/* process_internal: declarations shared by the files of the main loop. Not for other modules.
 *   process.c          opening, the loop, commands     process_signals.c  SIGTERM, SIGINT and SIGHUP
 *   settings_watch.c   reloading of changed external settings */
#ifndef NL_PROCESS_INTERNAL_H
#define NL_PROCESS_INTERNAL_H

#include <apr_file_info.h>
#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "process.h"

/* ---- process_signals.c ---- */

/* Install the signal handlers. SIGTERM and SIGINT request a planned stop. SIGHUP requests a reload of
 * external settings, or ends a program that has none. SIGPIPE is ignored. */
void process_install_signal_handlers(const struct settings *settings);

/* Whether a planned stop was requested. */
bool process_stop_requested(void);

/* Whether SIGHUP was received since the last process_clear_hangup. */
bool process_hangup_received(void);
void process_clear_hangup(void);

/* ---- settings_watch.c ---- */

/* State of the watch on external settings, which may change at any time, with or without a SIGHUP. A file
 * that is incomplete or invalid does not change the settings; the error is logged once, and the file is read
 * again in each poll until it is valid. */
struct settings_watch {
	int64_t next_poll_at_ms; /* 0: not polled yet */
	apr_time_t mtime;        /* of the file at the last poll, as are inode and size */
	apr_ino_t inode;
	apr_off_t size;
	bool retry_pending;   /* the last attempt to read the file failed */
	char last_error[500]; /* the error that was logged last; empty: none since the last success */
};

/* Check once per second, or at once after a SIGHUP, whether external settings changed. If so, reload them and
 * pass them to the handlers. */
void settings_watch_poll(struct settings_watch *watch, struct process *process,
			 const struct process_handlers *handlers, int64_t now);

#endif
