/* process: the main loop of a program: events go to the handlers of the thread that owns its state, and the
 * commands that a handler leaves are performed. */
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

/* Another interface than the product's own: clients, operators and servers are spoken to through it, by the
 * thread that owns the state. It turns what it reads into events of the core, steps the core and calls
 * process_perform. All calls but wake come from that thread. */
struct front_end {
	int (*open)(void *context, struct process *process); /* 0 on an error, which it logs */
	int (*perform)(void *context,
		       const struct command *command); /* 1: the command was the front end's and is done */
	void (*wait)(void *context,
		     int timeout_ms);             /* serve sockets until the time is over or wake is called */
	void (*wake)(void *context);              /* from any thread */
	void (*stop)(void *context, int64_t now); /* a planned stop begins */
	int (*is_idle)(void *context, int64_t now); /* while stopping: nothing is under way any more */
	void (*close)(void *context);
};

/* A running program. The thread of process_run owns it all. */
struct process {
	const struct front_end *front_end; /* NULL: the product's own interface */
	void *front_end_context;
	apr_pool_t *pool; /* the program's, for as long as it runs */
	struct settings settings;
	struct ring *events; /* of struct shell_event */
	struct transport *transport;
	struct api_server *api_server;     /* NULL with a front end */
	struct server_calls *server_calls; /* NULL with a front end */
	struct storage *storage;           /* NULL in a program without a data folder */
	struct command_list commands;      /* that the last step left */
	uint64_t address;                  /* that other processes are given */
	int64_t stop_deadline_ms;          /* when a planned stop ends at the latest */
	int stopping;
};

/* What a program does; context goes to each. */
struct process_handlers {
	void *context;
	/* Handle an event, or let time pass when event is NULL; commands go to the list. */
	void (*step)(void *context, const struct shell_event *event, int64_t now,
		     struct command_list *commands);
	/* While stopping: nothing is under way any more. */
	int (*is_idle)(void *context);
	/* Until which clock_ms streams may go on; NULL: for ever. */
	int64_t (*streams_valid_until)(void *context);
	/* External settings were read again; they live until it returns. NULL: nothing of them can change. */
	void (*settings_changed)(void *context, const struct settings *settings);
};

/* Ignore SIGHUP until settings_read has installed its handler: a SIGHUP before asks for what is done anyway,
 * and must not end the process. First call of a program. */
void process_ignore_hangup(void);

/* Open sockets and start threads; pool, settings and front_end are set before, storage too if the program has
 * one. Returns 0 on an error, which is logged. */
int process_open(struct process *process);

/* Run until SIGTERM or SIGINT and the graceful shutdown that follows, then close everything. Returns the exit
 * code. */
int process_run(struct process *process, const struct process_handlers *handlers);

/* Perform the commands that a step left, and clear the list. */
void process_perform(struct process *process);

/* A random number from the kernel, never 0. */
uint64_t process_random_id(void);

#endif
