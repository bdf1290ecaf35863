/* sim: the daemons' own core code under seeded virtual time: links, disks, crashes, freezes, servers.
 * Invariants are checked after every step; the first breach is kept in bad. */
#ifndef NL_SIM_H
#define NL_SIM_H

#include "router.h"
#include "controller.h"

enum { SIM_CONTROLLERS = 8, SIM_ROUTERS = 100, SIM_SERVERS = 24, SIM_NODES = SIM_CONTROLLERS + SIM_ROUTERS };

struct sim_entry {
	uint64_t term;
	uint32_t kind;
	size_t len;
	uint8_t *data;
};
struct sim_disk_shard {
	uint64_t term, vote, base, base_term, first; /* from: index of e[0] */
	struct sim_entry *entries;
	uint8_t *data, *members;
	size_t data_len, members_len;
};
struct sim_disk {
	uint64_t id, fleet;
	int made;
	struct sim_disk_shard shards[SHARD_COUNT];
};

struct sim_write {
	apr_pool_t *pool;
	struct persist *persist;
};

struct sim_node {
	int used, is_router, up, frozen, partition; /* cell: nodes in different cells cannot talk */
	int64_t stalled_until;
	int64_t clock_skew_ms;        /* of its own monotonic clock */
	int64_t wall_clock_offset_ms; /* how far its wall clock is off */
	uint64_t addr, id, incarnation;
	int64_t link_free_at; /* its link is busy until then */
	int extra_delay_ms;   /* ms by which messages to it take longer */
	char zone[16];
	struct controller *controller;
	struct router *router;
	struct sim_disk disk;
	struct sim_disk lost_disk; /* as it was when it was lost; */
	int64_t lost_at;           /* 0: never */
	struct sim_write *writes;  /* not yet synced, oldest first */
	struct command_list commands;
	uint64_t checked[SHARD_COUNT];
	uint64_t revision;
};

struct sim_cached_block {
	uint64_t hash;
	char weights[32], cache_namespace[32];
	uint64_t horizon;
	int tokens;
};
struct sim_server {
	int used, up;
	char name[32], service[32], addr[32], weights[32], loading[32];
	int64_t load_done_at;
	uint64_t fence;
	uint64_t last_commander;
	int64_t last_command_at;
	struct sim_cached_block *blocks;
	int running;
	int bad;   /* 1 answers with another's mark, 2 skips a piece, 3 breaks off, 4 repeats a piece */
	int hoard; /* drops nothing that it is told to */
	int refuse, slow; /* slow: ms between pieces */
	int serial;
	int odd_report; /* reports: 1 torn, 2 no object, 3 slots beyond reason, 4 parts of a thousand unknown
			   tenants and weights */
	int is_store, slow_link, hang, mute,
	    report_delay_ms; /* fetches from it: times slower, never answered; reports: none, ms late */
	int64_t departed;    /* when its drain was acknowledged */
};

/* One life of a server that a list shows; it takes orders as the platform's servers do. */
struct sim_instance {
	int up, draining;
	char name[24], service[32], addr[32], zone[16], weights[32], previous_weights[32],
	    loading[32]; /* before: what it had until changed */
	int64_t started_at, changed_at, drained_at,
	    ended_at; /* ended: when it leaves the truth that the list shows late; 0 not yet */
	int64_t load_done_at, commanded_at, last_command_at;
	uint64_t fence;
	char holder[20];
	char loaded[8][32];
	int loads;
	int refuses; /* answers each order to load with 503 */
};

/* The list of servers and how it misbehaves. */
struct sim_instance_list {
	struct sim_instance *instances; /* stb_ds; never shrinks */
	int lag_ms, call_ms;            /* ms that it is behind; that a call takes */
	int refuse, lossy;    /* per mille of calls that it refuses; of orders whose answer never comes */
	int64_t away_until;   /* no call is answered before */
	int report_age_ms;    /* ms that a server's report is old */
	int slots;            /* of each server; 0: 128 */
	int load_ms, at_once; /* a load; how many go on at once without slowing each other down */
	int64_t calls[64];    /* the last calls */
	uint64_t n_list, n_polls, n_commands, n_load, n_fenced, n_busy;
	uint64_t n_loads_under_requests; /* orders to load under running requests */
	int most_loads;                  /* loads under way at once */
};

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
struct sim_event {
	int64_t at;
	uint64_t seq, incarnation;
	enum sim_event_kind kind;
	int node, server;
	uint8_t *data;
	size_t data_len;
	uint64_t token;
	int status, step;
	uint64_t from_addr;
};

/* One run at a server. */
struct sim_run {
	uint64_t incarnation, token, began_at, submission;
	int tenant, node, server, pieces, next, ended, is_resend, fetch_ms, fetched;
	char request_id[80], id[64];
};

/* One exchange as its caller knows it, and what servers did with its id. */
struct sim_request {
	char id[64];
	int tenant, node, next, outcome, began, submissions, tries, pick;
	const char *route;
	uint64_t token;
	int64_t submitted_at, answered_at, first_piece_at; /* first_at: its first piece */
	int disconnected;                                  /* its caller left */
	int retry_ms;                                      /* when it was told to come back */
	char key[65];
};
enum { SIM_OPEN = 0, SIM_COMPLETE = 1, SIM_REFUSED = 2, SIM_UNKNOWN = 3, SIM_LOST = 4 };
/* One asking of an id at one life of a counter, and when it was told that it is refused. */
struct sim_submission {
	char id[64];
	int node;
	uint64_t incarnation, token;
	int64_t refused_at;
	int ended; /* its caller was told an end */
};
struct sim_operator_answer {
	uint64_t token;
	int status;
	int64_t answered_at;
	char body[512];
	uint64_t to;
	char *full_body;
	size_t full_body_len; /* whole: of documents read */
	int node, retry_ms,
	    by_leader; /* by_leader: its node leads the configuration's group with a lease at this moment */
};
struct sim_ack {
	uint64_t revision;
	int64_t at;
};
struct sim_value {
	uint64_t tick, key;
};

/* What stands between counters and servers when exchanges are forwarded: see sim_forward.h. */
struct sim_front_end {
	void *ctx;
	int (*perform)(void *ctx, int node, const struct command *c); /* 1: it was its own */
	void (*event)(void *ctx, struct sim_event *e); /* of kind SIM_DOOR, whatever has become of the node */
	void (*lost)(void *ctx, int node);             /* a counter fell, and its connections with it */
};

struct sim {
	uint64_t seed, rng, seq, token;
	int64_t now;
	apr_pool_t *pool;
	struct sim_node nodes[SIM_NODES];
	struct sim_server servers[SIM_SERVERS];
	struct sim_event *events;                /* heap */
	int loss_per_mille, delay_ms, jitter_ms; /* per mille; ms */
	int zone_delay_ms;                       /* ms added between zones */
	int disk_ms;
	int bytes_per_ms;            /* that a controller's link carries; 0: any number */
	int prefill_ms_per_token;    /* that servers read at a token which they do not keep */
	int64_t wall_clock_epoch_ms; /* ms since 1970 at virtual time 0; 0: controllers know no wall clock */
	const struct controller_calendar *calendar;
	int request_timeout_ms; /* of exchanges */
	int answer_delay_ms;  /* up to which a controller's answer waits in its process before it is written;
				 0: at once */
	struct bounds bounds; /* of controllers */
	struct sim_instance_list instance_list;
	struct sim_front_end front_end;
	uint64_t undelivered_bodies; /* kinds of message (bits by body) that do not reach counters */
	int replica_count;           /* of each part; 0: as the product has it */
	int catch_up_ms;             /* 0: as the product has it */
	const struct controller_codec *codec;
	int load_ms; /* how long servers load weights; 0: 1.5 to 2.5 s */
	char violation[512];
	int recovered; /* a group went on with one copy by an operator's word: commits may rest on that one */
	/* global truth */
	uint64_t *entry_hashes[SHARD_COUNT];          /* stb_ds: hash of each committed entry */
	struct sim_value *value;                      /* published values in order of tick */
	struct sim_operator_answer *operator_answers; /* answers to operators' calls */
	struct sim_ack *acks;
	uint64_t n_msg, n_sync, n_bytes, n_commands, by_body[64];
	uint64_t value_index[SHARD_COUNT];
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
	} isolation[16];
	struct sim_purge {
		char tenant[16], service[16];
		uint64_t made;
		int64_t after;
	} * purges; /* stb_ds: from a time on nothing made before a tick is used */
	uint64_t n_checked;
	int tenant_limits[16]; /* of a tenant over the fleet, where it is judged */
	int most_runs[16];     /* runs of a tenant at once */
	uint64_t n_sends, n_firsts, n_complete, n_refused, n_unknown, n_fresh, n_tokens, n_fetched, n_vain,
	    n_odd;
	unsigned char link_cut[16][16]; /* one way, between the first nodes: from, to */
};

int sim_add_router(struct sim *sim, const char *zone);

/* A caller asks a counter; the same id may be asked again. Example: sim_ask(&s, node, "x1", 0, "lineage", 2);
 */
void sim_submit(struct sim *sim, int node, const char *id, int tenant, const char *route, int pick);

/* Its caller leaves; a counter is told to stop. Example: sim_leave(&s, "x1"); sim_stop(&s, SIM_REGS); */
void sim_disconnect(struct sim *sim, const char *id);

/* Whether its caller still waits; that it waits no longer, though its counter does not hear of it.
 * Example: if (sim_open_ask(&s, "x1")) sim_forget(&s, "x1"); */
int sim_is_open(struct sim *sim, const char *id);
void sim_forget(struct sim *sim, const char *id);

/* Whether the counter that it was asked at first is still the same. Example: if (sim_lives(&s, "x1")) ... */
int sim_same_incarnation(const struct sim *sim, const char *id);
void sim_stop(struct sim *sim, int node);

/* The key digest of a tenant in the simulator. Example: sim_key(0, buf) */
char *sim_key(int tenant, char buf[65]);

/* Change the table and wait for the acknowledgement, through whoever is up; its edition or 0.
 * Example: assert_true(sim_change(&s, "{\"set\":[...]}", 12000)); */
uint64_t sim_change(struct sim *sim, const char *body, int64_t ms);

/* A whole small deployment: controllers, counters, servers, lanes, tenants, keys; ready to be asked.
 * Example: sim_deploy(&s, 1, 4, 3, 6); */
void sim_deploy(struct sim *sim, uint64_t seed, int controllers, int routers, int servers);

/* A server that the list shows. Example: i = sim_inst(&s, "lm", "z1", "1"); */
int sim_instance(struct sim *sim, const char *service, const char *zone, const char *weights);

/* It drains, and ends later; it ends at once; its machine goes on under a new name with the weights it had.
 * Example: sim_inst_drain(&s, 3); sim_inst_end(&s, 3, 2000); */
void sim_instance_drain(struct sim *sim, int i);
void sim_instance_end(struct sim *sim, int i, int64_t visible_ms);

/* Log a change of rows through whoever owns the table; 0 when it takes longer. Example: sim_propose(&s,
 * &change, 8000) */
int sim_propose(struct sim *sim, const struct Nl__Change *change, int64_t ms);

void sim_open(struct sim *sim, uint64_t seed);
void sim_close(struct sim *sim);
int sim_add_controller(struct sim *sim, const char *zone, const uint64_t *seeds, int nseeds);
int sim_server(struct sim *sim, const char *name, const char *service, const char *weights);

/* A store of kept parts for all services; the table must name it. Example: v = sim_store(&s); */
int sim_store(struct sim *sim);

/* Run until a time, or until done says so; 0 when an invariant broke. Example: assert(sim_run(&s, 5000,
 * NULL)); */
int sim_run(struct sim *sim, int64_t ms, int (*done)(struct sim *));
void sim_crash(struct sim *sim, int node, int wipe);
void sim_start(struct sim *sim, int node);
void sim_freeze(struct sim *sim, int node, int on);
void sim_cut(struct sim *sim, int node, int cell);
void sim_violation(struct sim *sim, const char *fmt, ...);

/* An operator's call to a controller; returns its token. Example: t = sim_call(&s, 0, "POST", "/v1/found",
 * "{}"); */
uint64_t sim_call(struct sim *sim, int node, const char *verb, const char *path, const char *body);
/* The same with an Idempotency-Key. Example: t = sim_call_keyed(&s, 0, "POST", "/v1/change", body, "key-1");
 */
uint64_t sim_call_keyed(struct sim *sim, int node, const char *verb, const char *path, const char *body,
			const char *key);
/* The operator that made a call leaves before the answer. Example: sim_hang_up(&s, 0, token); */
void sim_operator_disconnect(struct sim *sim, int node, uint64_t token);
const struct sim_operator_answer *sim_answer(struct sim *sim, uint64_t token);

/* Make a call and wait for its answer's status; 0 on none. Example: assert_int_equal(sim_do(&s, 0, ...),
 * 200); */
int sim_call_and_wait(struct sim *sim, int node, const char *verb, const char *path, const char *body,
		      int64_t ms);

/* An operator's document, a reading (body NULL) or a naming (weights not NULL: body is the model) at one
 * controller. Example: t = sim_doc(&s, 0, 5, 0, body, NULL); */
uint64_t sim_send_document(struct sim *sim, int node, uint64_t base, int patch, const char *body,
			   const char *weights);

/* Which controller has_lease-owns a part; -1 for none. Example: sim_owner(&s, SHARD_CONTROL) */
int sim_leader(struct sim *sim, uint32_t shard);

/* Put an event in the queue; do one step of a counter. Example: sim_push(&s, e); sim_ctr(&s, node, &ev); */
void sim_push(struct sim *sim, struct sim_event input);
void sim_router_step(struct sim *sim, int node, const struct router_event *input);
int64_t sim_local(const struct sim *sim, int node);

/* A founded fleet of n controllers in as many zones. Example: sim_fleet(&s, 1, 4); */
void sim_fleet(struct sim *sim, uint64_t seed, int controllers);

#endif
