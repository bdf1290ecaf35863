/* shell: sockets, files, clocks and threads round the pure cores. One header for the whole layer:
 *   log   lines on stderr            ring   bounded, between threads
 *   net   peers                 web    callers and operators
 *   call  servers                    store  the data folder
 *   set   settings                   proc   the loop of a program */
#ifndef NL_SHELL_H
#define NL_SHELL_H

#include <apr_pools.h>
#include <apr_thread_proc.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>

#include "core.h"
#include "raft.h"

/* ---- log and clock ---- */
enum log_level { LOG_ERROR = 3, LOG_WARN = 4, LOG_INFO = 6 };

/* Begin. Example: log_open("counter"); */
void log_open(const char *program);

/* One short sentence with its part's prefix. Example: log_write(LOG_INFO, "net", "Listens at %s.", a); */
void log_write(enum log_level level, const char *prefix, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* Milliseconds on a clock that counts suspend and never jumps. Example: now = clock_ms(); */
int64_t clock_ms(void);

/* Milliseconds since 1970 as this machine has it; it may jump. Schedules alone are read by it, and only where
 * a majority of controllers says the same. Example: r.wall = clock_wall(); */
int64_t clock_wall_ms(void);

/* ---- ring ---- */
struct ring;

/* Example: ring_open(&r, 1024, pool); */
void ring_open(struct ring **ring, size_t capacity, apr_pool_t *pool);

/* Put one in; 0 when full and wait is 0. Example: if (!ring_push(r, ev, 0)) drop(ev); */
int ring_push(struct ring *ring, void *item, int wait);

/* Take one out within ms, else NULL. Example: ev = ring_pop(r, 25); */
void *ring_pop(struct ring *ring, int timeout_ms);

/* Called after a push into an empty ring, by whoever pushed; for an owner that waits elsewhere. Example:
 * ring_on_push(r, wake, loop); */
void ring_on_push(struct ring *ring, void (*on_push)(void *ctx), void *context);

/* ---- events that reach a program's core thread ---- */
enum shell_event_kind {
	SHELL_EVENT_MESSAGE,
	SHELL_EVENT_REQUEST,
	SHELL_EVENT_DISCONNECTED,
	SHELL_EVENT_CHUNK,
	SHELL_EVENT_CALL_DONE,
	SHELL_EVENT_SYNCED,
	SHELL_EVENT_STOP
};
struct shell_event {
	enum shell_event_kind kind;
	uint64_t token;
	struct Nl__Msg *message;
	char *method, *path, *key_digest, *body,
	    *idempotency_key; /* web (key: its Idempotency-Key or NULL); a piece's or an answer's body;
				 malloc'd */
	int status, never_sent, is_stream;
	uint32_t shard;
	uint64_t sequence;
	int64_t deadline_ms; /* of a stop: when the process ends at the latest */
};
struct shell_event *shell_event_new(enum shell_event_kind kind);
void shell_event_free(struct shell_event *event);

/* ---- net ---- */
struct net;

/* Listen for peers at addr and push their messages to the ring. NULL on a fault, which is logged.
 * Example: n = net_open("127.0.0.1:7000", ring, pool); */
struct net *transport_open(const char *addr, struct ring *events, apr_pool_t *pool);

/* Say a message; never waits, drops when the peer's line is full. Example: net_send(n, a, msg); */
void transport_send(struct net *net, uint64_t addr, const struct Nl__Msg *message);

/* End; what was said before leaves first, as far as peers take it within 200 ms. Example: net_close(n); */
void transport_close(struct net *net);

/* ---- web ---- */
struct api_server;
enum { API_SERVER_MAX_BODY_BYTES = 16 << 20 };

/* Serve callers and operators. Example: w = web_open("127.0.0.1:8080", ring, pool); */
struct api_server *api_server_open(const char *addr, struct ring *events, apr_pool_t *pool);
/* A whole answer; once not_after is past, 503 is said instead; 0: it holds for ever. */
void api_server_respond(struct api_server *web, uint64_t token, int status, int retry_after_ms,
			const char *body, int64_t not_after_ms);
void api_server_stream(struct api_server *web, uint64_t token, const char *data, size_t size, int is_last,
		       int is_complete);

/* From when on streams go no further, unless it is moved on: a process that froze must not pass on what it
 * held before. Never set, it does not matter. Example: web_good_until(w, clock_ms() + 4500); */
void api_server_valid_until(struct api_server *web, int64_t valid_until_ms);

/* Look for callers that left while they wait. Example: web_scan(w); */
void api_server_scan(struct api_server *web);
void api_server_close(struct api_server *web);

/* ---- call ---- */
struct call;

/* Example: c = call_open(ring, pool); */
struct call *server_calls_open(struct ring *events, apr_pool_t *pool);

/* Call a server. A POST goes out once and on a connection of its own; stream: lines come as EV_PIECE.
 * Example: call_start(c, token, "127.0.0.1:9000", "/v1/run", body, 60000, 1, not_after); */
void server_calls_start(struct call *call, uint64_t token, const char *addr, const char *path,
			const char *body, int timeout_ms, int is_stream, int64_t not_after_ms);
void server_calls_cancel(struct call *call, uint64_t token);
void server_calls_close(struct call *call);

/* ---- store ---- */
struct storage;
struct stored_state {
	uint64_t node_id, fleet_id;
	struct raft_saved shards[SHARD_COUNT];
	const struct raft_saved *shard_pointers[SHARD_COUNT];
};

/* Open the data folder; what it holds goes to *f. NULL on a fault, with the reason and the remedy in *why.
 * Example: s = store_open("data", ring, &found, &why, pool); */
struct storage *storage_open(const char *folder, const char *fault_file, struct ring *events,
			     struct stored_state *found, const char **error_text, apr_pool_t *pool);

/* Write one part's change; EV_SYNCED follows once it is on the disk. Example: store_write(s, persist); */
void storage_write(struct storage *storage, const struct persist *w);

/* Store who we are; returns when synced. Example: store_identity(s, id, fleet); */
int storage_write_identity(struct storage *storage, uint64_t node_id, uint64_t fleet_id);

/* Batches synced, and batches that the disk refused so far. Example: store_refused(s) */
uint64_t storage_sync_count(const struct storage *storage);
uint64_t storage_refused_count(const struct storage *storage);
void storage_close(struct storage *storage);

/* First thing in a program: a SIGHUP before the settings are read asks for what is done anyway, and must not
 * end the process. Example: proc_begin(); */
void process_ignore_hangup(void);

/* ---- settings ---- */
struct settings {
	const char *listen, *advertise, *web, *zone, *data, *fault;
	const char *seeds[8];
	int seed_count;
	int check_only;
	const char *file;
	int grace_ms;                 /* for a planned stop; 0: as the product has it */
	int metrics_port;             /* where metrics are told; 0: nowhere */
	int experiments_allowed;      /* --without is allowed, and decisions are logged */
	uint32_t disabled_mechanisms; /* mechanisms that an experiment switches off, as a set: mechanism.h */
	struct bounds bounds;
	int may_bootstrap; /* a first start of empty disks: the first seed founds the fleet, once */
	void *extension;   /* what only another language's door knows */
	/* Settings in another form than the product's, for --platform; set before set_read. Fills in what
	 * flags may not. -1 to go on; else an exit code, and in why one line of file, key and range. */
	int (*read_external)(struct settings *s, const char *program, int disk, apr_pool_t *p);
	const char *error_text;
};

/* Read flags and, with --settings, a file; flags go first. Returns -1 to go on, else the exit code.
 * Example: if ((rc = set_read(&s, "counter", 0, argc, argv, pool)) >= 0) return rc; */
int settings_read(struct settings *settings, const char *program, int has_storage, int argc, char **argv,
		  apr_pool_t *p);

/* ---- proc ---- */
struct process;

/* A door of another language than the product's own: callers, operators and servers are spoken to through it,
 * by the thread that owns the state. It turns what it hears into the core's events, steps the core and calls
 * process_perform. */
struct front_end {
	int (*open)(void *ctx, struct process *p);
	int (*perform)(void *ctx, const struct command *c); /* 1: the command was the door's and is done */
	void (*wait)(void *ctx, int ms);
	void (*wake)(void *ctx);              /* by any thread */
	void (*stop)(void *ctx, int64_t now); /* a planned stop begins */
	int (*is_idle)(void *ctx, int64_t now);
	void (*close)(void *ctx);
};

struct process {
	const struct front_end *front_end; /* NULL: the product's own interface */
	void *front_end_context;
	apr_pool_t *pool;
	struct settings settings;
	struct ring *events;
	struct net *transport;
	struct api_server *api_server;
	struct call *server_calls;
	struct storage *storage;
	struct command_list commands;
	uint64_t address;
	int64_t stop_deadline_ms;
	int stopping;
};

struct process_handlers {
	void *context;
	/* e is NULL for a tick */
	void (*step)(void *ctx, const struct shell_event *e, int64_t now, struct command_list *o);
	int (*is_idle)(void *ctx);                 /* while stopping: nothing is under way any more */
	int64_t (*streams_valid_until)(void *ctx); /* until when streams may go on; NULL: for ever */
	/* Settings of another form were read anew; they live until it returns. NULL: nothing of them can
	 * change. */
	void (*settings_changed)(void *ctx, const struct settings *s);
};

/* Open sockets and threads. Example: if (!proc_open(&p)) return 1; */
int process_open(struct process *p);

/* Run until SIGTERM or SIGINT and the drain that follows. Example: return proc_run(&p, &duty); */
int process_run(struct process *p, const struct process_handlers *duty);

/* Perform the commands that a step left in p->o. Example: router_step(c, &ev, now, &p->o);
 * process_perform(p); */
void process_perform(struct process *p);

/* A random number from the kernel. Example: id = proc_random(); */
uint64_t process_random_id(void);

#endif
