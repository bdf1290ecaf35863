/* process: the main loop of a program.
 * One thread owns the program's state. It passes each event to the program's handlers and performs the
 * commands that they emit. */
#ifndef NL_PROCESS_H
#define NL_PROCESS_H

#include <apr_pools.h>
#include <stdint.h>

#include "core.h"
#include "settings.h"

struct api_server;
struct process;
struct ring;
struct server_calls;
struct shell_event;
struct storage;
struct transport;

/* A replacement for the product's own interface (api_server and server_calls), which communicates with
 * clients, operators and servers. It converts received data into events of the core, steps the core and calls
 * process_perform. The thread that owns the state calls all functions; other threads call only wake. */
struct front_end {
	int (*open)(void *context, struct process *process); /* returns 0 on an error, which it logs */
	int (*perform)(void *context, const struct command *command); /* returns 1 if the front end handles
							    this command and has performed it, 0 if not */
	void (*serve_sockets)(
	    void *context, int timeout_ms); /* serve sockets until timeout_ms has passed or wake is called */
	void (*wake)(void *context);        /* make wait return; any thread may call it */
	void (*begin_stop)(void *context, int64_t now); /* notify the front end that a planned stop begins */
	int (*is_idle)(void *context,
		       int64_t now); /* while stopping: whether no request or call is in progress */
	void (*close)(void *context);
};

/* A running program. The thread that calls process_run owns all fields. */
struct process {
	const struct front_end *front_end; /* NULL: the product's own interface */
	void *front_end_context;
	apr_pool_t *pool; /* valid until the program ends */
	struct settings settings;
	struct ring *events; /* of struct shell_event */
	struct transport *transport;
	struct api_server *api_server;     /* NULL with a front end */
	struct server_calls *server_calls; /* NULL with a front end */
	struct storage *storage;           /* NULL in a program without a data folder */
	struct command_list commands;      /* emitted by the last step, not performed yet */
	uint64_t advertised_addr;          /* address that is advertised to other processes */
	int64_t stop_deadline_ms;          /* latest time at which a planned stop ends */
	int is_stopping;
};

/* The functions of a program that the main loop calls; each is passed context. */
struct process_handlers {
	void *context;
	/* Handle an event, or run the timers if event is NULL. Emitted commands are appended to the list. */
	void (*step_shell_event)(void *context, const struct shell_event *event, int64_t now,
				 struct command_list *commands);
	/* While stopping: whether no request is in progress. */
	int (*is_idle)(void *context);
	/* Returns the clock_ms until which streams may continue. NULL: without limit. */
	int64_t (*streams_valid_until_ms)(void *context);
	/* Apply external settings that were reloaded; they are valid only during the call. NULL: the program
	 * can't change its settings while it runs. */
	void (*apply_settings)(void *context, const struct settings *settings);
};

/* Ignore SIGHUP until settings_read has installed its handler. An earlier SIGHUP requests a reload of
 * settings that are about to be read anyway, and must not end the process. Must be the first call of a
 * program. */
void process_ignore_hangup(void);

/* Open sockets and start threads. The caller sets pool, settings, front_end and, if the program has a data
 * folder, storage before. Returns 0 on an error, which is logged. */
int process_open(struct process *process);

/* Run until the graceful shutdown that SIGTERM or SIGINT starts is complete, then close all sockets, threads
 * and storage. Returns the exit code. */
int process_run(struct process *process, const struct process_handlers *handlers);

/* Perform the commands that the last step emitted, and clear the list. */
void process_perform(struct process *process);

/* Return a random number from the kernel; never 0. */
uint64_t process_random_id(void);

#endif
