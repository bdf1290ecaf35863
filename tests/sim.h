/* sim: runs the product's own core code (lib/core, lib/control, lib/data) under seeded virtual time, with
 * simulated links, disks, model servers, clients and operators. Tests inject crashes, freezes, partitions and
 * slow links, disks and servers. Invariants are checked after every event; the first violation is stored in
 * `violation`, and sim_run returns 0 from then on. Invariant: the same seed always gives the same sequence of
 * events. Times are in ms of virtual time unless a field names another unit. */
#ifndef NL_SIM_H
#define NL_SIM_H

#include "router.h"
#include "controller.h"

enum {
	SIM_CONTROLLERS = 8, /* nodes 0 to 7 */
	SIM_ROUTERS = 100,   /* nodes 8 to 107 */
	SIM_SERVERS = 24,
	SIM_NODES = SIM_CONTROLLERS + SIM_ROUTERS
};

/* ---- disks ---- */

/* A replicated log's entry as it is stored on a disk. */
struct sim_entry {
	uint64_t term;
	uint32_t kind;
	size_t len;
	uint8_t *data;
};

/* The durable Raft state of one shard: term, vote, snapshot with its membership, and the entries after it. */
struct sim_disk_shard {
	uint64_t term;
	uint64_t vote;
	uint64_t base;      /* index of the newest entry that the snapshot includes */
	uint64_t base_term; /* term of that entry */
	uint64_t first;     /* index of entries[0] */
	struct sim_entry *entries;
	uint8_t *data;    /* the state machine's state in the snapshot */
	uint8_t *members; /* the membership in the snapshot, packed */
	size_t data_len;
	size_t members_len;
};

/* A controller's disk: the controller's identity, its fleet's id and the state of each shard. */
struct sim_disk {
	uint64_t id;
	uint64_t fleet;
	int has_identity; /* 1: a controller's identity has been written */
	struct sim_disk_shard shards[SHARD_COUNT];
};

/* A disk write that has been issued and is not yet synced. */
struct sim_write {
	apr_pool_t *pool;
	struct persist *persist;
};

/* ---- nodes ---- */

struct sim_node {
	int used;
	int is_router; /* 0: the node is a controller */
	int up;
	int frozen;
	int partition;                /* number of its network partition; no messages cross partitions */
	int64_t disk_stalled_until;   /* virtual time in ms before which its disk completes no sync */
	int64_t clock_skew_ms;        /* its monotonic clock minus virtual time */
	int64_t wall_clock_offset_ms; /* error of its wall clock */
	uint64_t addr;
	uint64_t id;
	uint64_t incarnation;
	int64_t link_free_at; /* virtual time in ms at which its link has sent all queued messages */
	int extra_delay_ms;   /* added to the delay of every message to this node */
	char zone[16];
	struct controller *controller; /* NULL while the node is down, and for a router */
	struct router *router;         /* NULL while the node is down, and for a controller */
	struct sim_disk disk;
	struct sim_disk lost_disk; /* copy of `disk` from just before it was wiped */
	int64_t lost_at;           /* virtual time in ms at which the disk was wiped; 0: never */
	struct sim_write *writes;  /* writes that are not yet synced, oldest first */
	struct command_list commands;
	uint64_t checked[SHARD_COUNT]; /* log index up to which check_logs has compared each shard */
	uint64_t revision;             /* highest configuration revision that this node has had */
};

/* ---- model servers ---- */

struct sim_cached_block {
	uint64_t hash;
	char weights[32];
	char cache_namespace[32];
	uint64_t horizon; /* purge horizon of the router whose request cached this block */
	int tokens;
};

/* A server that is configured as a row of the table, or the block store. A fault is off while its field is 0,
 * which is the initial value. */
struct sim_server {
	int used;
	int up;
	char name[32];
	char service[32];
	char addr[32];
	char weights[32];
	char loading[32];
	int64_t load_done_at;
	uint64_t fence;          /* highest fencing token received */
	uint64_t last_commander; /* id of the controller that sent the last load command */
	int64_t last_command_at;
	struct sim_cached_block *blocks; /* stb_ds */
	int running;
	int stream_fault; /* stream fault; 1: carries another request's mark, 2: skips a chunk, 3: breaks off,
		    4: repeats a chunk */
	int ignores_drops;     /* fault: ignores commands to drop cached blocks */
	int refuses_requests;  /* fault: answers each request with 503 */
	int chunk_interval_ms; /* ms between two chunks of an answer */
	int serial;
	int report_fault; /* invalid status report; 1: truncated JSON, 2: not a JSON object, 3: an absurd
			   number of slots, and blocks as in 4, 4: blocks of 1000 unknown tenants and weights
			 */
	int is_store;
	int fetch_slowdown;     /* factor by which block fetches from it are slower; 0: 1 */
	int hangs_fetches;      /* fault: block fetches from it are never answered */
	int sends_no_reports;   /* fault: it sends no status reports */
	int report_delay_ms;    /* delay of its status reports */
	int64_t drain_acked_at; /* virtual time in ms at which its drain was acknowledged */
};

/* One incarnation of a server in the endpoint list; it executes load commands as the platform's servers do.
 */
struct sim_instance {
	int up;
	int draining;
	char name[24];
	char service[32];
	char addr[32];
	char zone[16];
	char weights[32];
	char previous_weights[32]; /* weights that it served until changed_at */
	char loading[32];
	int64_t started_at;
	int64_t changed_at;
	int64_t drained_at;
	int64_t ended_at; /* virtual time in ms at which it ended; the endpoint list shows this late; 0: it
			     runs */
	int64_t load_done_at;
	int64_t commanded_at;
	int64_t last_command_at;
	uint64_t fence;
	char holder[20]; /* the controller whose load command was accepted last */
	char loaded[8][32];
	int loads;
	int refuses_loads; /* fault: answers each load command with 503 */
};

/* The platform's endpoint list, and its faults. */
struct sim_instance_list {
	struct sim_instance *instances; /* stb_ds; entries are never removed */
	int listing_delay_ms;           /* delay after which a change of the instances is listed */
	int call_ms;                    /* duration of a call to the list */
	int refusal_per_mille;          /* per mille of calls that the list refuses */
	int lost_answer_per_mille;      /* per mille of load commands whose answer is lost */
	int64_t unavailable_until;      /* virtual time in ms before which the list answers no call */
	int report_age_ms;              /* age of a server's status report when it is read */
	int slots;                      /* slots of each server; 0: 128 */
	int load_ms;                    /* duration of loading weights */
	int full_speed_loads;           /* number of concurrent loads above which each load is slower */
	int64_t calls[64];              /* virtual times in ms of the latest calls to the list */
	uint64_t n_list;
	uint64_t n_polls;
	uint64_t n_commands;
	uint64_t n_load;
	uint64_t n_fenced;
	uint64_t n_busy;
	uint64_t n_loads_under_requests; /* load commands that reached a server with running requests */
	int peak_loads;                  /* highest number of concurrent loads */
};

/* ---- events ---- */

enum sim_event_kind {
	SIM_SERVERS_LISTED,
	SIM_REPORT_POLLED,
	SIM_COMMAND_ANSWERED,
	SIM_COMMAND,
	SIM_LOAD_END,
	SIM_TICK,
	SIM_MSG,
	SIM_SYNC,
	SIM_CALLED,
	SIM_ARRIVE,
	SIM_STREAM,
	SIM_BROKE,
	SIM_OPERATOR_CALL,
	SIM_REQUEST,
	SIM_DISCONNECT,
	SIM_STOP,
	SIM_LOADED,
	SIM_DOCUMENT,
	SIM_FRONT_END,
	SIM_ANSWERED,
	SIM_GONE
};

/* An event of the simulation. Events run in the order of `at`, and at the same time in the order of `seq`. */
struct sim_event {
	int64_t at; /* virtual time in ms */
	uint64_t seq;
	uint64_t incarnation; /* incarnation of the target node; a later incarnation ignores the event */
	enum sim_event_kind kind;
	int node;
	int server;
	uint8_t *data; /* owned by the event */
	size_t data_len;
	uint64_t token;
	int status;
	int step;
	uint64_t from_addr;
};

/* ---- requests of the product's own interface ---- */

/* One execution of a request at a server. */
struct sim_run {
	uint64_t incarnation;
	uint64_t token;
	uint64_t began_at;
	uint64_t submission;
	int tenant;
	int node;
	int server;
	int chunk_count;
	int next_chunk;
	int ended;
	int is_resend;
	int fetch_ms;
	int fetched;
	char request_id[80];
	char id[64];
};

/* Outcome of a request as its client saw it. */
enum { SIM_OPEN = 0, SIM_COMPLETE = 1, SIM_REFUSED = 2, SIM_UNKNOWN = 3, SIM_LOST = 4 };

/* One request: the client's view of it, and counts of what the servers did with its id. */
struct sim_request {
	char id[64];
	int tenant;
	int node;            /* number of the router's node */
	int next_chunk;      /* number of the next chunk that the client expects */
	int outcome;         /* SIM_OPEN to SIM_LOST */
	int execution_count; /* executions that began at servers */
	int submissions;
	int send_count;   /* sends that reached a server */
	int prompt_index; /* selects one of the prompts of its route */
	const char *route;
	uint64_t token;
	int64_t submitted_at;
	int64_t answered_at;
	int64_t first_chunk_at;
	int disconnected; /* 1: the client has disconnected */
	int retry_ms;     /* delay before a retry that the router's answer names */
	char key[65];
};

/* One submission of a request id to one incarnation of a router. */
struct sim_submission {
	char id[64];
	int node;
	uint64_t incarnation;
	uint64_t token;
	int64_t refused_at; /* virtual time in ms at which the router refused it; 0: it did not */
	int ended;          /* 1: the client has received the end of the answer */
};

/* ---- operators ---- */

struct sim_operator_answer {
	uint64_t token;
	int status;
	int64_t answered_at;
	char body[512];
	uint64_t redirect_addr; /* address that the answer redirects to; 0: none */
	char *full_body;        /* the complete body, for reads of the configuration document */
	size_t full_body_len;
	int node;
	int retry_ms;
	int by_leader; /* 1: the answering node led the control group with a lease when it answered */
};

struct sim_ack {
	uint64_t revision;
	int64_t at;
};

/* A published purge: its tick, and the key that identifies what is purged. */
struct sim_published_purge {
	uint64_t tick;
	uint64_t key;
};

/* Callbacks of the front end that carries forwarded requests to and from routers; see sim_forward.h. */
struct sim_front_end {
	void *ctx;
	/* Executes a router's command; returns 1 if the front end handled it. */
	int (*perform)(void *ctx, int node, const struct command *command);
	/* Handles an event of kind SIM_FRONT_END, even if the node has crashed or restarted since. */
	void (*event)(void *ctx, struct sim_event *event);
	/* Called when a router has crashed, which closes its connections. */
	void (*lost)(void *ctx, int node);
};

/* ---- the simulation ---- */

struct sim {
	uint64_t seed;
	uint64_t rng;
	uint64_t seq;
	uint64_t token;
	int64_t now; /* virtual time, ms */
	apr_pool_t *pool;
	struct sim_node nodes[SIM_NODES];
	struct sim_server servers[SIM_SERVERS];
	struct sim_event *events; /* stb_ds, a heap: the earliest event is first */

	/* settings, changed by tests */
	int loss_per_mille;          /* per mille of messages that are lost */
	int delay_ms;                /* one-way delay of a message */
	int jitter_ms;               /* highest random addition to a message's delay */
	int zone_delay_ms;           /* added to the delay between nodes of different zones */
	int disk_ms;                 /* duration of a disk sync */
	int bytes_per_ms;            /* bandwidth of a controller's link; 0: unlimited */
	int prefill_ms_per_token;    /* prefill time of a prompt token that the server has not cached */
	int64_t wall_clock_epoch_ms; /* ms since 1970 at virtual time 0; 0: controllers have no wall clock */
	const struct controller_calendar *calendar;
	int request_timeout_ms;
	int answer_delay_ms;  /* longest delay in a controller's process before an answer is written; 0:
				 answers  are written immediately */
	struct bounds bounds; /* bounds given to controllers */
	struct sim_instance_list instance_list;
	struct sim_front_end front_end;
	uint64_t undelivered_bodies; /* bit mask by Nl__Msg body case: messages that do not reach routers */
	int replica_count;           /* replicas of each shard; 0: the product's default */
	int catch_up_ms;             /* 0: the product's default */
	const struct controller_codec *codec;
	int load_ms;         /* duration of loading weights at servers of the table; 0: 1.5 to 2.5 s */
	char violation[512]; /* text of the first violation; empty: none */
	int was_recovered;   /* 1: an operator let a group continue with one replica, so that an entry may be
			    committed with a copy on that one disk only */

	/* state of the fleet as an external observer sees it, and statistics */
	uint64_t *entry_hashes[SHARD_COUNT];          /* stb_ds: hash of each committed entry, by index */
	struct sim_published_purge *value;            /* stb_ds: published purges in order of tick */
	struct sim_operator_answer *operator_answers; /* stb_ds */
	struct sim_ack *acks;                         /* stb_ds */
	uint64_t n_msg;
	uint64_t n_sync;
	uint64_t n_bytes;
	uint64_t n_commands;
	uint64_t messages_by_body[64];      /* number of messages, by Nl__Msg body case */
	uint64_t feed_index[SHARD_COUNT];   /* highest log index read from each feed */
	struct sim_request *requests;       /* stb_ds */
	struct sim_submission *submissions; /* stb_ds */
	struct sim_run *runs;               /* stb_ds */
	struct {
		int64_t at;
		int again;
	} * sends; /* stb_ds: each send that reached a server; again: 1 for a resend */
	struct {
		char *key;
		int64_t value;
	} * removed_keys; /* stb_ds: by key digest, virtual time in ms at which its removal was acknowledged
			   */
	struct {
		int64_t since;
		int isolated;
	} isolation[16]; /* by tenant: newest isolation setting, and the time in ms of that change */
	struct sim_purge {
		char tenant[16];
		char service[16];
		uint64_t made;
		int64_t after;
	} * purges; /* stb_ds: from time `after` (ms) on, no block made before tick `made` may be reused */
	uint64_t n_checked;
	int tenant_limits[16];  /* by tenant: limit of running requests in the fleet to check; 0: not checked
				 */
	int peak_running[16];   /* by tenant: highest number of requests that ran concurrently */
	uint64_t n_sends;       /* sends that reached a server, resends included */
	uint64_t n_first_sends; /* first sends of requests */
	uint64_t n_complete;
	uint64_t n_refused;
	uint64_t n_unknown;
	uint64_t n_prefilled_tokens;    /* prompt tokens that were prefilled */
	uint64_t n_tokens;              /* prompt tokens, cached ones included */
	uint64_t n_fetched;             /* blocks fetched from another server */
	uint64_t n_failed_fetches;      /* block fetches that failed or timed out */
	uint64_t n_unreadable_reports;  /* log lines about unreadable status reports */
	unsigned char link_cut[16][16]; /* [from][to], of the first 16 nodes: 1 if this direction is cut */
};

/* Create a simulation without nodes; release it with sim_close. */
void sim_open(struct sim *sim, uint64_t seed);
void sim_close(struct sim *sim);

/* Run for `ms` of virtual time, or until done() returns 1 (NULL: never); 0 if an invariant is violated.
 * Example: assert_true(sim_run(&sim, 5000, NULL)); */
int sim_run(struct sim *sim, int64_t ms, int (*done)(struct sim *));

/* Record a violation, unless an earlier one is recorded. */
void sim_violation(struct sim *sim, const char *fmt, ...);

/* Create a bootstrapped fleet of controllers, each in a zone of its own. */
void sim_fleet(struct sim *sim, uint64_t seed, int controllers);

/* Create a small deployment of controllers, routers, servers, routes, tenants and keys that is ready for
 * requests. */
void sim_deploy(struct sim *sim, uint64_t seed, int controllers, int routers, int servers);

/* ---- nodes ---- */

/* Add a node and start it; returns its number. `seeds` are addresses of other controllers. */
int sim_add_controller(struct sim *sim, const char *zone, const uint64_t *seeds, int nseeds);
int sim_add_router(struct sim *sim, const char *zone);

/* sim_crash stops a node as a power loss does, and with `wipe` also empties its disk; sim_start restarts it.
 * sim_freeze suspends (1) or resumes (0) a node; sim_set_partition moves it into network partition `cell`. */
void sim_crash(struct sim *sim, int node, int wipe);
void sim_start(struct sim *sim, int node);
void sim_freeze(struct sim *sim, int node, int on);
void sim_set_partition(struct sim *sim, int node, int cell);

/* Request a planned stop of a router. */
void sim_stop(struct sim *sim, int node);

/* The number of the controller that leads a shard and has a lease; -1: none. */
int sim_leader(struct sim *sim, uint32_t shard);

/* The node's own monotonic clock, in ms, with its skew. */
int64_t sim_local_clock(const struct sim *sim, int node);

/* sim_push adds an event to the queue; sim_router_step passes one event to a router and executes the commands
 * that follow. */
void sim_push(struct sim *sim, struct sim_event input);
void sim_router_step(struct sim *sim, int node, const struct router_event *input);

/* ---- clients of the product's own interface ---- */

/* Submit a client's request to a router; the same id may be submitted again. */
void sim_submit(struct sim *sim, int node, const char *id, int tenant, const char *route, int pick);

/* Disconnect the client of a request, and notify its router. */
void sim_disconnect(struct sim *sim, const char *id);

/* sim_is_open: whether the client of a request still waits. sim_abandon_request: the client stops waiting,
 * and its router is not notified. */
int sim_is_open(struct sim *sim, const char *id);
void sim_abandon_request(struct sim *sim, const char *id);

/* Whether the router that received the request has not restarted since. */
int sim_same_incarnation(const struct sim *sim, const char *id);

/* Write the digest of the tenant's API key to buf, and return buf. */
char *sim_key(int tenant, char buf[65]);

/* ---- model servers ---- */

/* Add a server for a row of the table (sim_server), or a block store for all services (sim_store); returns
 * its number. */
int sim_server(struct sim *sim, const char *name, const char *service, const char *weights);
int sim_store(struct sim *sim);

/* Add a server to the endpoint list; returns its number. */
int sim_instance(struct sim *sim, const char *service, const char *zone, const char *weights);

/* sim_instance_drain: the server drains, and ends later. sim_instance_end: the server ends immediately, and
 * stays in the endpoint list for visible_ms. */
void sim_instance_drain(struct sim *sim, int i);
void sim_instance_end(struct sim *sim, int i, int64_t visible_ms);

/* ---- operators ---- */

/* Send an operator's call to a controller, with an Idempotency-Key in sim_call_keyed; returns the call's
 * token. */
uint64_t sim_call(struct sim *sim, int node, const char *verb, const char *path, const char *body);
uint64_t sim_call_keyed(struct sim *sim, int node, const char *verb, const char *path, const char *body,
			const char *key);

/* Send a call of the platform's interface to one controller: a document or patch on a base version, a read of
 * the document (body NULL), or new target weights (weights not NULL; body is the model). Returns the call's
 * token. */
uint64_t sim_send_document(struct sim *sim, int node, uint64_t base, int patch, const char *body,
			   const char *weights);

/* Disconnect the operator of a call before its answer. */
void sim_operator_disconnect(struct sim *sim, int node, uint64_t token);

/* The answer to a call; NULL: not answered yet. */
const struct sim_operator_answer *sim_answer(struct sim *sim, uint64_t token);

/* Send a call, wait up to `ms` for its answer and return the status; 0: no answer in that time.
 * Example: assert_int_equal(sim_call_and_wait(&sim, 0, "POST", "/v1/found", "{}", 10000), 200); */
int sim_call_and_wait(struct sim *sim, int node, const char *verb, const char *path, const char *body,
		      int64_t ms);

/* Change the table through the first controller that accepts the change, and wait up to `ms`; returns the
 * acknowledged revision, or 0 if there is none.
 * Example: assert_true(sim_change(&sim, "{\"set\":[...]}", 12000)); */
uint64_t sim_change(struct sim *sim, const char *body, int64_t ms);

/* Propose a change of rows at the leader of the control group, and wait for it; 0 if it takes longer than
 * `ms`. */
int sim_propose(struct sim *sim, const struct Nl__Change *change, int64_t ms);

#endif
