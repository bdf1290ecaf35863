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
enum log_level { LOG_BAD = 3, LOG_WARN = 4, LOG_INFO = 6 };

/* Begin. Example: log_open("counter"); */
void log_open(const char *program);

/* One short sentence with its part's prefix. Example: log_say(LOG_INFO, "net", "Listens at %s.", a); */
void log_say(enum log_level l, const char *prefix, const char *fmt, ...) __attribute__((format(printf, 3, 4)));

/* Milliseconds on a clock that counts suspend and never jumps. Example: now = clock_ms(); */
int64_t clock_ms(void);

/* Milliseconds since 1970 as this machine has it; it may jump. Schedules alone are read by it, and only where a majority of
 * controllers says the same. Example: r.wall = clock_wall(); */
int64_t clock_wall(void);

/* ---- ring ---- */
struct ring;

/* Example: ring_open(&r, 1024, pool); */
void ring_open(struct ring **r, size_t cap, apr_pool_t *p);

/* Put one in; 0 when full and wait is 0. Example: if (!ring_push(r, ev, 0)) drop(ev); */
int ring_push(struct ring *r, void *v, int wait);

/* Take one out within ms, else NULL. Example: ev = ring_pop(r, 25); */
void *ring_pop(struct ring *r, int ms);

/* Called after a push into an empty ring, by whoever pushed; for an owner that waits elsewhere. Example: ring_on_push(r, wake, loop); */
void ring_on_push(struct ring *r, void (*fn)(void *ctx), void *ctx);

/* ---- events that reach a program's core thread ---- */
enum shell_ev_kind { EV_MSG, EV_WEB, EV_GONE, EV_PIECE, EV_DONE, EV_SYNCED, EV_STOP };
struct shell_ev {
	enum shell_ev_kind kind;
	uint64_t token;
	struct Nl__Msg *msg;
	char *verb, *path, *digest, *body,
	    *key; /* web (key: its Idempotency-Key or NULL); a piece's or an answer's body; malloc'd */
	int status, never, stream;
	uint32_t part;
	uint64_t seq;
	int64_t end_at; /* of a stop: when the process ends at the latest */
};
struct shell_ev *shell_ev_new(enum shell_ev_kind k);
void shell_ev_free(struct shell_ev *e);

/* ---- net ---- */
struct net;

/* Listen for peers at addr and push their messages to the ring. NULL on a fault, which is logged.
 * Example: n = net_open("127.0.0.1:7000", ring, pool); */
struct net *net_open(const char *addr, struct ring *to, apr_pool_t *p);

/* Say a message; never waits, drops when the peer's line is full. Example: net_send(n, a, msg); */
void net_send(struct net *n, uint64_t addr, const struct Nl__Msg *m);

/* End; what was said before leaves first, as far as peers take it within 200 ms. Example: net_close(n); */
void net_close(struct net *n);

/* ---- web ---- */
struct web;
enum { WEB_BODY_MAX = 16 << 20 };

/* Serve callers and operators. Example: w = web_open("127.0.0.1:8080", ring, pool); */
struct web *web_open(const char *addr, struct ring *to, apr_pool_t *p);
/* A whole answer; once not_after is past, 503 is said instead; 0: it holds for ever. */
void web_answer(struct web *w, uint64_t token, int status, int retry_ms, const char *body, int64_t not_after);
void web_piece(struct web *w, uint64_t token, const char *d, size_t n, int end, int ok);

/* From when on streams go no further, unless it is moved on: a process that froze must not pass on what it held
 * before. Never set, it does not matter. Example: web_good_until(w, clock_ms() + 4500); */
void web_good_until(struct web *w, int64_t until);

/* Look for callers that left while they wait. Example: web_scan(w); */
void web_scan(struct web *w);
void web_close(struct web *w);

/* ---- call ---- */
struct call;

/* Example: c = call_open(ring, pool); */
struct call *call_open(struct ring *to, apr_pool_t *p);

/* Call a server. A POST goes out once and on a connection of its own; stream: lines come as EV_PIECE.
 * Example: call_start(c, token, "127.0.0.1:9000", "/v1/run", body, 60000, 1, not_after); */
void call_start(struct call *c, uint64_t token, const char *addr, const char *path, const char *body, int limit_ms, int stream,
		int64_t not_after);
void call_cancel_one(struct call *c, uint64_t token);
void call_close(struct call *c);

/* ---- store ---- */
struct store;
struct store_found {
	uint64_t id, fleet;
	struct raft_saved part[SHARD_COUNT];
	const struct raft_saved *ptr[SHARD_COUNT];
};

/* Open the data folder; what it holds goes to *f. NULL on a fault, with the reason and the remedy in *why.
 * Example: s = store_open("data", ring, &found, &why, pool); */
struct store *store_open(const char *folder, const char *fault, struct ring *to, struct store_found *f, const char **why,
			 apr_pool_t *p);

/* Write one part's change; EV_SYNCED follows once it is on the disk. Example: store_write(s, persist); */
void store_write(struct store *s, const struct persist *w);

/* Store who we are; returns when synced. Example: store_identity(s, id, fleet); */
int store_identity(struct store *s, uint64_t id, uint64_t fleet);

/* Batches synced, and batches that the disk refused so far. Example: store_refused(s) */
uint64_t store_syncs(const struct store *s);
uint64_t store_refused(const struct store *s);
void store_close(struct store *s);

/* First thing in a program: a SIGHUP before the settings are read asks for what is done anyway, and must not end the process.
 * Example: proc_begin(); */
void proc_begin(void);

/* ---- settings ---- */
struct settings {
	const char *listen, *advertise, *web, *zone, *data, *fault;
	const char *seed[8];
	int nseeds;
	int check;
	const char *file;
	int grace_ms;     /* for a planned stop; 0: as the product has it */
	int metrics_port; /* where metrics are told; 0: nowhere */
	int experiments;  /* --without is allowed, and decisions are logged */
	uint32_t without; /* mechanisms that an experiment switches off, as a set: mechanism.h */
	struct bounds bounds;
	int found;  /* a first start of empty disks: the first seed founds the fleet, once */
	void *more; /* what only another language's door knows */
	/* Settings in another form than the product's, for --platform; set before set_read. Fills in what flags may not.
	 * -1 to go on; else an exit code, and in why one line of file, key and range. */
	int (*other)(struct settings *s, const char *program, int disk, apr_pool_t *p);
	const char *why;
};

/* Read flags and, with --settings, a file; flags go first. Returns -1 to go on, else the exit code.
 * Example: if ((rc = set_read(&s, "counter", 0, argc, argv, pool)) >= 0) return rc; */
int set_read(struct settings *s, const char *program, int disk, int argc, char **argv, apr_pool_t *p);

/* ---- proc ---- */
struct proc;

/* A door of another language than the product's own: callers, operators and servers are spoken to through it, by the
 * thread that owns the state. It turns what it hears into the core's events, steps the core and calls proc_perform. */
struct door {
	int (*open)(void *ctx, struct proc *p);
	int (*perform)(void *ctx, const struct cmd *c); /* 1: the command was the door's and is done */
	void (*wait)(void *ctx, int ms);
	void (*wake)(void *ctx);              /* by any thread */
	void (*stop)(void *ctx, int64_t now); /* a planned stop begins */
	int (*done)(void *ctx, int64_t now);
	void (*close)(void *ctx);
};

struct proc {
	const struct door *door; /* NULL: the product's own interface */
	void *door_ctx;
	apr_pool_t *p;
	struct settings set;
	struct ring *ring;
	struct net *net;
	struct web *web;
	struct call *call;
	struct store *store;
	struct out o;
	uint64_t addr;
	int64_t stop_at;
	int stopping;
};

struct proc_duty {
	void *ctx;
	/* e is NULL for a tick */
	void (*step)(void *ctx, const struct shell_ev *e, int64_t now, struct out *o);
	int (*done)(void *ctx);     /* while stopping: nothing is under way any more */
	int64_t (*good)(void *ctx); /* until when streams may go on; NULL: for ever */
	/* Settings of another form were read anew; they live until it returns. NULL: nothing of them can change. */
	void (*changed)(void *ctx, const struct settings *s);
};

/* Open sockets and threads. Example: if (!proc_open(&p)) return 1; */
int proc_open(struct proc *p);

/* Run until SIGTERM or SIGINT and the drain that follows. Example: return proc_run(&p, &duty); */
int proc_run(struct proc *p, const struct proc_duty *d);

/* Perform the commands that a step left in p->o. Example: router_step(c, &ev, now, &p->o); proc_perform(p); */
void proc_perform(struct proc *p);

/* A random number from the kernel. Example: id = proc_random(); */
uint64_t proc_random(void);

#endif
