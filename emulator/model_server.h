/* Model servers, the store and the list of servers of the emulated platform: what routers and controllers
 * talk to.
 *
 * A server's work is timed like an engine's: a batch makes steps, blocks of prompts are cached and fetched,
 * weights are loaded. Faults are set in its record. All of it belongs to the thread of the loop. */
#ifndef NL_MODEL_SERVER_H
#define NL_MODEL_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "checker.h"
#include "event_loop.h"

/* What kind of engine all servers are. */
struct engine {
	int slots;       /* requests in a batch */
	int queue_limit; /* requests that wait */
	int max_conns;
	int drain_ms;
	int fence_checked;
	int idle_ms; /* connections are closed after */
	int kv_capacity_tokens;
	int kv_bytes_per_token;
	int token_stride; /* tokens of an event */
	int chunk_tokens; /* prompt tokens of a step */
	int block_tokens; /* cached blocks are cut in units of these */
	int in_flight;    /* watches of cache events */
	int load_ms;
	int load_at_once;  /* loads beyond these slow each other down */
	int report_lag_ms; /* reports are as old as this */
	int event_limit;   /* cache events that are kept */
	int event_lag_ms;  /* cache events show after about */
	int linger_ms;     /* a drained server stays so long */
	double step_ms;
	double per_slot_ms; /* a step is so much longer for each request */
	double prefill_tokens_per_ms;
	double link_mbps;
	double event_loss_ratio; /* cache events that never show */
	double setup_ms;         /* of a fetch */
};

/* The engine of the sheet. */
extern const struct engine default_engine;

/* Faults of a server; all zero: none. */
struct server_fault {
	double broken;   /* share of answers that break off */
	double garbage;  /* share of answers that are no HTTP */
	double surplus;  /* share of answers with bytes behind their end */
	double lost;     /* share of answers that never come though the request runs */
	double grey;     /* share of requests that fail with 500 */
	double close;    /* share of answers that close the connection */
	double stubborn; /* share of requests whose caller left that run all the same */
	double slow;     /* a step takes so many times as long; 0: as long as it should */
	double load_slow;
	int false_health; /* health says the opposite */
	bool is_silent;   /* reads and answers nothing */
	int events_lost;  /* no cache event shows */
	int refuses_loads;
};

/* All servers of a run, and what they share. */
struct server_fleet {
	struct loop *loop;
	struct checker *checker; /* NULL: nothing is recorded */
	struct engine engine;
	int64_t started_at_us; /* loop_us at which the run's time is 0 */
	uint64_t rng;
	struct server **servers; /* stb_ds; owned */
	struct list *list;       /* NULL: none */
	const char *model;
	int newest_version; /* of the weights: the highest target so far */
	int loading;        /* servers that load now */
	int thaw_ms;
	int64_t thawed_at_ms;          /* a machine was thawed last, in ms of the run; 0: never */
	int64_t purge_requested_at_us; /* blocks from before must not be used after the purge is due */
	int64_t purge_due_at_us;       /* 0: nothing was purged */
	uint64_t old_blocks_used;      /* uses after a purge of blocks from before it */
	uint64_t new_blocks_used;
	uint64_t prefilled_tokens;
	uint64_t cached_tokens;
	uint64_t fetched_tokens;
	uint64_t loads;
	uint64_t load_commands;
	uint64_t probes;   /* calls for health, reports and events */
	uint64_t rejected; /* requests */
};

/* A cached block of a prompt, by salt and id. */
struct prompt_block {
	char salt[48];
	char id[24];
	char tenant[48];
	int tokens;
	int version; /* of the weights */
	int refs;    /* works that use it */
	int64_t used_at_us;
	int64_t created_at_us; /* its text was read */
};

/* What happens to work in progress while weights are loaded: it ends first, it is cut off, or it pauses. */
enum load_method { LOAD_HOLD, LOAD_PREEMPT, LOAD_RETAIN };

/* A server's state; one that is down has no connections and no cache. */
enum server_state { STATE_UP, STATE_DRAINING, STATE_DOWN };

/* What a server's report shows, as of its sampling. */
struct server_report {
	int queued;
	int active;
	int saturated;
	int seq;
	int version;
	int64_t used_tokens;
};

/* A model server, or the store. */
struct server {
	struct server_fleet *fleet;
	int index; /* in the fleet */
	bool is_store;
	char address[40]; /* "IP:PORT" */
	char zone[32];
	char service[48];
	char instance[32]; /* id of this incarnation */
	double speed;      /* steps take so many times as long */
	enum server_state state;
	struct server_fault fault;
	struct port *port;
	int version;    /* of the weights */
	int loading_to; /* version that is being loaded, or waits to be; 0: none */
	int call_seq;   /* load commands accepted in this incarnation */
	enum load_method load_method;
	int64_t fence;                 /* highest one of a load command */
	int64_t reading_resumed_at_ms; /* after it was silent, in ms of the run; 0: never */
	struct work **batch;           /* stb_ds */
	struct work **queue;           /* stb_ds */
	struct prompt_block *blocks;   /* stb_ds */
	int64_t transfer_free_at_us;   /* its link carries a fetch until then */
	int64_t next_step_at_us;
	uint64_t epoch;           /* of its cache events: one for each incarnation */
	struct kv_event *events;  /* stb_ds */
	int64_t last_event;       /* number of the newest event */
	struct watcher *watchers; /* stb_ds */
	uint64_t step_timer;
	uint64_t load_timer;
	uint64_t watch_timer;
	uint64_t report_timer;
	uint64_t drain_timer;
	uint64_t surplus_timer;
	struct conn *surplus_conn; /* where surplus bytes go; may be closed meanwhile */
	char surplus_id[64];
	int stall_ms;                   /* the next step is so much longer */
	struct server_report report[2]; /* what reports show now, and from the next sampling on */
	int incarnations;
};

/* Add a server to the fleet; it is down. The fleet owns it.
 * Example: server = server_add(&fleet, "127.9.0.60:8080", "zone-a", "lm", 0); */
struct server *server_add(struct server_fleet *fleet, const char *address, const char *zone,
			  const char *service, int is_store);

/* Start a server that is down, as a new incarnation with an empty cache. */
void server_up(struct server *server);

/* All its connections are reset, its cache is gone. */
void server_crash(struct server *server);

/* Let a server fall silent, or read again. */
void server_set_silent(struct server *server, int is_silent);

/* Run other weights at once, without a load command; the cache is dropped. */
void server_load(struct server *server, int version);

/* Show as draining, serve on, and end after DrainMs and the linger time. */
void server_drain(struct server *server);

/* End and free all servers of a fleet. */
void servers_free(struct server_fleet *fleet);

/* Milliseconds of the run. */
int64_t fleet_ms(const struct server_fleet *fleet);

/* Tokens of all blocks that a server has cached. */
int64_t server_cached_tokens(const struct server *server);

/* ---- the list of servers ---- */

/* How the list behaves. */
struct list_settings {
	const char *addr; /* "IP:PORT" */
	int lag_ms;       /* a change shows after up to */
	int page;         /* servers on a page */
	double rate;      /* calls a second; more are answered with 429 */
	int verbose;
};

/* Open the list of a fleet's servers; NULL: its address cannot be listened at. The caller closes it. */
struct list *list_open(struct server_fleet *fleet, const struct list_settings *settings);

/* A server's state or weights have changed; the list shows it after its lag. */
void list_server_changed(struct list *list, struct server *server);

/* Close the list; changes that wait are dropped. */
void list_close(struct list *list);

/* Calls so far. */
uint64_t list_calls(const struct list *list);

#endif
