/* sim: the product's own core code (lib/core, lib/control, lib/data) under seeded virtual time: routers,
 * controllers, links, disks, model servers, clients and operators, with crashes, freezes, partitions and slow
 * parts. Invariants are checked after every event; the first violation is kept in `violation`, and sim_run
 * returns 0 from then on. Always: one seed gives one run. */
#ifndef NL_SIM_H
#define NL_SIM_H

#include "router.h"
#include "controller.h"

enum {
	SIM_CONTROLLERS = 8, /* nodes 0 to 7 */
	SIM_ROUTERS = 100,   /* the nodes behind them */
	SIM_SERVERS = 24,
	SIM_NODES = SIM_CONTROLLERS + SIM_ROUTERS
};

/* ---- disks ---- */

/* An entry of a replicated log on a disk. */
struct sim_entry {
	uint64_t term;
	uint32_t kind;
	size_t len;
	uint8_t *data;
};

/* What a disk holds of one shard: term and vote, snapshot with members, entries behind it. */
struct sim_disk_shard {
	uint64_t term;
	uint64_t vote;
	uint64_t base;      /* index of the snapshot */
	uint64_t base_term; /* and its term */
	uint64_t first;     /* index of entries[0] */
	struct sim_entry *entries;
	uint8_t *data; /* the snapshot's state */
	uint8_t *members;
	size_t data_len;
	size_t members_len;
};

/* A controller's disk: its identity, the fleet it belongs to, its shards. */
struct sim_disk {
	uint64_t id;
	uint64_t fleet;
	int made; /* an identity was written */
	struct sim_disk_shard shards[SHARD_COUNT];
};

/* A write whose sync is under way. */
struct sim_write {
	apr_pool_t *pool;
	struct persist *persist;
};

/* ---- nodes ---- */

struct sim_node {
	int used;
	int is_router; /* else a controller */
	int up;
	int frozen;
	int partition;                /* nodes of different partitions do not reach each other */
	int64_t stalled_until;        /* its disk syncs nothing before */
	int64_t clock_skew_ms;        /* of its own monotonic clock */
	int64_t wall_clock_offset_ms; /* of its wall clock */
	uint64_t addr;
	uint64_t id;
	uint64_t incarnation;
	int64_t link_free_at; /* its link is busy until then */
	int extra_delay_ms;   /* by which messages to it take longer */
	char zone[16];
	struct controller *controller; /* NULL while it is down, or a router */
	struct router *router;         /* NULL while it is down, or a controller */
	struct sim_disk disk;
	struct sim_disk lost_disk; /* as it was when it was lost */
	int64_t lost_at;           /* 0: never */
	struct sim_write *writes;  /* not yet synced, oldest first */
	struct command_list commands;
	uint64_t checked[SHARD_COUNT]; /* entries up to which the log was compared with the committed ones */
	uint64_t revision;             /* highest of the configuration that it has had */
};

/* ---- model servers ---- */

struct sim_cached_block {
	uint64_t hash;
	char weights[32];
	char cache_namespace[32];
	uint64_t horizon; /* of the router that had it made */
	int tokens;
};

/* A server that is a row of the table, or the store. Faults are 0 at first. */
struct sim_server {
	int used;
	int up;
	char name[32];
	char service[32];
	char addr[32];
	char weights[32];
	char loading[32];
	int64_t load_done_at;
	uint64_t fence;          /* highest seen */
	uint64_t last_commander; /* the controller of its last load command */
	int64_t last_command_at;
	struct sim_cached_block *blocks; /* stb_ds */
	int running;
	int bad;    /* 1: answers with another's mark, 2: skips a piece, 3: breaks off, 4: repeats a piece */
	int hoard;  /* drops no block that it is commanded to */
	int refuse; /* answers each request with 503 */
	int slow;   /* ms between pieces */
	int serial;
	int odd_report; /* 1: torn, 2: no object, 3: slots beyond reason, 4: blocks of a thousand unknown
			   tenants and weights */
	int is_store;
	int slow_link;       /* fetches from it take so many times as long */
	int hang;            /* fetches from it are never answered */
	int mute;            /* it reports nothing */
	int report_delay_ms; /* its reports come so late */
	int64_t departed;    /* when its drain was acknowledged */
};

/* One incarnation of a server that the list shows; it takes load commands as the platform's servers do. */
struct sim_instance {
	int up;
	int draining;
	char name[24];
	char service[32];
	char addr[32];
	char zone[16];
	char weights[32];
	char previous_weights[32]; /* what it had until changed_at */
	char loading[32];
	int64_t started_at;
	int64_t changed_at;
	int64_t drained_at;
	int64_t ended_at; /* when it leaves the truth that the list shows late; 0: not yet */
	int64_t load_done_at;
	int64_t commanded_at;
	int64_t last_command_at;
	uint64_t fence;
	char holder[20]; /* the controller whose command was taken last */
	char loaded[8][32];
	int loads;
	int refuses; /* answers each load command with 503 */
};

/* The list of servers, and how it misbehaves. */
struct sim_instance_list {
	struct sim_instance *instances; /* stb_ds; never shrinks */
	int lag_ms;                     /* that it is behind the truth */
	int call_ms;                    /* that a call takes */
	int refuse;                     /* per mille of calls that it refuses */
	int lossy;                      /* per mille of load commands whose answer never comes */
	int64_t away_until;             /* no call is answered before */
	int report_age_ms;              /* of a server's report */
	int slots;                      /* of each server; 0: 128 */
	int load_ms;                    /* that a load takes */
	int at_once;                    /* loads that go on together without slowing each other down */
	int64_t calls[64];              /* when the last calls came */
	uint64_t n_list;
	uint64_t n_polls;
	uint64_t n_commands;
	uint64_t n_load;
	uint64_t n_fenced;
	uint64_t n_busy;
	uint64_t n_loads_under_requests; /* load commands under running requests */
	int most_loads;                  /* under way at once */
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

/* Something that happens at a time; of one time, in the order of seq. */
struct sim_event {
	int64_t at;
	uint64_t seq;
	uint64_t incarnation; /* of the node that it is for; it is dropped at a later one */
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

/* One run at a server. */
struct sim_run {
	uint64_t incarnation;
	uint64_t token;
	uint64_t began_at;
	uint64_t submission;
	int tenant;
	int node;
	int server;
	int pieces;
	int next;
	int ended;
	int is_resend;
	int fetch_ms;
	int fetched;
	char request_id[80];
	char id[64];
};

/* How a request ended for its client. */
enum { SIM_OPEN = 0, SIM_COMPLETE = 1, SIM_REFUSED = 2, SIM_UNKNOWN = 3, SIM_LOST = 4 };

/* One request as its client knows it, and what servers did with its id. */
struct sim_request {
	char id[64];
	int tenant;
	int node; /* the router */
	int next; /* piece that is due */
	int outcome;
	int began;
	int submissions;
	int tries;
	int pick; /* which of the prompts of its route */
	const char *route;
	uint64_t token;
	int64_t submitted_at;
	int64_t answered_at;
	int64_t first_piece_at;
	int disconnected; /* its client did */
	int retry_ms;     /* when it was told to come back */
	char key[65];
};

/* One submission of an id to one incarnation of a router. */
struct sim_submission {
	char id[64];
	int node;
	uint64_t incarnation;
	uint64_t token;
	int64_t refused_at; /* 0: it was not */
	int ended;          /* its client has got an end */
};

/* ---- operators ---- */

struct sim_operator_answer {
	uint64_t token;
	int status;
	int64_t answered_at;
	char body[512];
	uint64_t to;     /* the address that it redirects to */
	char *full_body; /* of documents that were read */
	size_t full_body_len;
	int node;
	int retry_ms;
	int by_leader; /* its node led the control group with a lease at that moment */
};

struct sim_ack {
	uint64_t revision;
	int64_t at;
};

/* A published purge: its tick, and the key of its subject. */
struct sim_value {
	uint64_t tick;
	uint64_t key;
};

/* What forwarded requests pass through at a router; see sim_forward.h. */
struct sim_front_end {
	void *ctx;
	int (*perform)(void *ctx, int node, const struct command *command); /* 1: the command was its own */
	void (*event)(void *ctx,
		      struct sim_event *event); /* of kind SIM_FRONT_END, whatever has become of the node */
	void (*lost)(void *ctx, int node);      /* a router fell, and its connections with it */
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
	struct sim_event *events; /* heap */

	/* what tests set */
	int loss_per_mille; /* of messages */
	int delay_ms;
	int jitter_ms;
	int zone_delay_ms;           /* added between zones */
	int disk_ms;                 /* that a sync takes */
	int bytes_per_ms;            /* that a controller's link carries; 0: any number */
	int prefill_ms_per_token;    /* that servers take for a token which they have not cached */
	int64_t wall_clock_epoch_ms; /* ms since 1970 at virtual time 0; 0: controllers know no wall clock */
	const struct controller_calendar *calendar;
	int request_timeout_ms;
	int answer_delay_ms;  /* up to which a controller's answer waits in its process before it is written;
				 0: at once */
	struct bounds bounds; /* of controllers */
	struct sim_instance_list instance_list;
	struct sim_front_end front_end;
	uint64_t undelivered_bodies; /* kinds of message (bits by body) that do not reach routers */
	int replica_count;           /* of each shard; 0: as the product has it */
	int catch_up_ms;             /* 0: as the product has it */
	const struct controller_codec *codec;
	int load_ms;         /* how long servers load weights; 0: 1.5 to 2.5 s */
	char violation[512]; /* the first one; empty: none */
	int recovered; /* a group went on with one replica by an operator's word: commits may rest on that one
			*/

	/* what is true of the whole fleet */
	uint64_t *entry_hashes[SHARD_COUNT];          /* stb_ds: of each committed entry */
	struct sim_value *value;                      /* published values in order of tick */
	struct sim_operator_answer *operator_answers; /* stb_ds */
	struct sim_ack *acks;                         /* stb_ds */
	uint64_t n_msg;
	uint64_t n_sync;
	uint64_t n_bytes;
	uint64_t n_commands;
	uint64_t by_body[64];               /* messages by kind */
	uint64_t value_index[SHARD_COUNT];  /* highest index taken from each feed */
	struct sim_request *requests;       /* stb_ds */
	struct sim_submission *submissions; /* stb_ds */
	struct sim_run *runs;               /* stb_ds */
	struct {
		int64_t at;
		int again;
	} * sends; /* stb_ds: each send that arrived, and whether it was a resend */
	struct {
		char *key;
		int64_t value;
	} * removed_keys; /* digests of keys, when their removal was acknowledged */
	struct {
		int64_t since;
		int isolated;
	} isolation[16]; /* by tenant */
	struct sim_purge {
		char tenant[16];
		char service[16];
		uint64_t made;
		int64_t after;
	} * purges; /* stb_ds: after a time nothing made before a tick is used */
	uint64_t n_checked;
	int tenant_limits[16]; /* over the fleet, where they are checked; 0: none */
	int most_runs[16];     /* of a tenant at once */
	uint64_t n_sends;
	uint64_t n_firsts;
	uint64_t n_complete;
	uint64_t n_refused;
	uint64_t n_unknown;
	uint64_t n_fresh;
	uint64_t n_tokens;
	uint64_t n_fetched;
	uint64_t n_vain;
	uint64_t n_odd;
	unsigned char link_cut[16][16]; /* one way, between the first nodes: from, to */
};

/* An empty network; released by sim_close. */
void sim_open(struct sim *sim, uint64_t seed);
void sim_close(struct sim *sim);

/* Run for some time, or until done() says so (NULL: never); 0 when an invariant is violated.
 * Example: assert_true(sim_run(&sim, 5000, NULL)); */
int sim_run(struct sim *sim, int64_t ms, int (*done)(struct sim *));

/* Note a violation, unless one is noted already. */
void sim_violation(struct sim *sim, const char *fmt, ...);

/* A bootstrapped fleet of controllers, in as many zones. */
void sim_fleet(struct sim *sim, uint64_t seed, int controllers);

/* A small deployment: controllers, routers, servers, routes, tenants and keys, ready for requests. */
void sim_deploy(struct sim *sim, uint64_t seed, int controllers, int routers, int servers);

/* ---- nodes ---- */

/* Add a node and start it; returns its number. Seeds are addresses of other controllers. */
int sim_add_controller(struct sim *sim, const char *zone, const uint64_t *seeds, int nseeds);
int sim_add_router(struct sim *sim, const char *zone);

/* A node loses power, with `wipe` also its disk; starts again; stands still or goes on; is in another
 * partition. */
void sim_crash(struct sim *sim, int node, int wipe);
void sim_start(struct sim *sim, int node);
void sim_freeze(struct sim *sim, int node, int on);
void sim_cut(struct sim *sim, int node, int cell);

/* A router is told to stop. */
void sim_stop(struct sim *sim, int node);

/* The controller that leads a shard under a lease; -1: none. */
int sim_leader(struct sim *sim, uint32_t shard);

/* A node's own monotonic clock, in ms. */
int64_t sim_local(const struct sim *sim, int node);

/* Put an event in the queue; do one step of a router. */
void sim_push(struct sim *sim, struct sim_event input);
void sim_router_step(struct sim *sim, int node, const struct router_event *input);

/* ---- clients of the product's own interface ---- */

/* A client submits a request to a router; the same id may be submitted again. */
void sim_submit(struct sim *sim, int node, const char *id, int tenant, const char *route, int pick);

/* Its client disconnects, and its router learns of it. */
void sim_disconnect(struct sim *sim, const char *id);

/* Whether its client still waits; that it waits no longer, though its router does not learn of it. */
int sim_is_open(struct sim *sim, const char *id);
void sim_forget(struct sim *sim, const char *id);

/* Whether the router that it was submitted to is still the same incarnation. */
int sim_same_incarnation(const struct sim *sim, const char *id);

/* The key digest of a tenant in the simulator, in buf. */
char *sim_key(int tenant, char buf[65]);

/* ---- model servers ---- */

/* A server that a row of the table may name; a store for all services. Each returns its number. */
int sim_server(struct sim *sim, const char *name, const char *service, const char *weights);
int sim_store(struct sim *sim);

/* A server that the list shows; returns its number. */
int sim_instance(struct sim *sim, const char *service, const char *zone, const char *weights);

/* It drains, and ends later; it ends at once, and the list still shows it for so long. */
void sim_instance_drain(struct sim *sim, int i);
void sim_instance_end(struct sim *sim, int i, int64_t visible_ms);

/* ---- operators ---- */

/* An operator's call to a controller; returns its token. The second has an Idempotency-Key. */
uint64_t sim_call(struct sim *sim, int node, const char *verb, const char *path, const char *body);
uint64_t sim_call_keyed(struct sim *sim, int node, const char *verb, const char *path, const char *body,
			const char *key);

/* A document or patch of the platform's interface on a base version, a read of the document (body NULL), or
 * new target weights (weights not NULL; body is the model) at one controller; returns the call's token. */
uint64_t sim_send_document(struct sim *sim, int node, uint64_t base, int patch, const char *body,
			   const char *weights);

/* The operator of a call disconnects before the answer. */
void sim_operator_disconnect(struct sim *sim, int node, uint64_t token);

/* The answer to a call; NULL: there is none yet. */
const struct sim_operator_answer *sim_answer(struct sim *sim, uint64_t token);

/* Make a call and wait for its answer's status; 0: there was none in time.
 * Example: assert_int_equal(sim_call_and_wait(&sim, 0, "POST", "/v1/found", "{}", 10000), 200); */
int sim_call_and_wait(struct sim *sim, int node, const char *verb, const char *path, const char *body,
		      int64_t ms);

/* Change the table through whichever controller answers, and wait; the acknowledged revision, or 0.
 * Example: assert_true(sim_change(&sim, "{\"set\":[...]}", 12000)); */
uint64_t sim_change(struct sim *sim, const char *body, int64_t ms);

/* Log a change of rows through the control leader; 0 when it takes longer. */
int sim_propose(struct sim *sim, const struct Nl__Change *change, int64_t ms);

#endif
