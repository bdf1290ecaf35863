/* What the files of the scale model share: the fleet with its nodes, servers and pending events, and the
 * steps that the files offer each other. One struct model_fleet is one run; everything in it belongs to that
 * run's thread. Always: virtual time never goes back, and events of the same millisecond are handled in the
 * order in which they were scheduled, so that a seed gives the same run again. */
#ifndef NL_SCALE_MODEL_INTERNAL_H
#define NL_SCALE_MODEL_INTERNAL_H

#include <stdbool.h>

#include "scale_model.h"

#include "controller.h"
#include "containers.h"
#include "router.h"

enum {
	TICK_MS = 25,
	START_MS = 1000000,
	SLOTS_SERVER = 16,
	SLOTS_LISTED = 128,
	EVENT_DELAY_MS = 80,
	MAX_BLOCKS_PER_SERVER = 20000,
	OUTSIDE = 64,
	SLOT_RUN = 92,
	SLOT_LOAD_COMMAND,
	SLOT_OUT,
	SLOT_COUNT
};

/* What was counted in the window under one slot: a kind of message by its field number, from OUTSIDE on a
 * kind of event. */
struct tally {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t step_ns;
	uint64_t codec_ns;
};

/* A router or a controller; incarnation 0: it does not run. */
struct model_node {
	int index;
	bool is_router;
	uint64_t addr;
	uint64_t incarnation;
	uint64_t revision;
	char zone[16];
	struct router *router;
	struct controller *controller;
	struct command_list commands;
	uint64_t sync_count;
	uint64_t disk_bytes;
	struct tally tallies[SLOT_COUNT];
	struct {
		uint32_t shard;
		uint64_t seq;
	} * writes; /* stb_ds, oldest first */
};

/* A cached block of a server. */
struct model_block {
	uint64_t hash;
	uint64_t created_tick;
	uint32_t maker;
	uint32_t cache_namespace;
};

/* A block that a server cached, or evicted. */
struct cache_event {
	uint64_t id;
	uint32_t cache_namespace;
	int removed;
};

/* A router's watch of a server's cache events, from one event on. */
struct cache_watch {
	int node;
	bool is_expired;
	uint64_t incarnation;
	uint64_t token;
	uint64_t since_event;
};

/* A modelled server. */
struct model_server {
	uint64_t address;
	uint64_t serial;
	int running;
	int eviction_index;
	char weights[64];
	struct model_block *blocks; /* stb_ds */
	char *report_text;          /* its full report, until something changes */
	size_t report_length;
	char name[16];
	char zone[16];
	char service[16];
	struct cache_event *cache_events; /* stb_ds: all cache events so far */
	struct cache_watch *watchers;     /* stb_ds: pending */
};

/* What happens at an event's time. */
enum event_kind {
	MODEL_TICK,
	MODEL_MESSAGE,
	MODEL_SYNC,
	MODEL_CALLED,
	MODEL_ARRIVE,
	MODEL_STREAM,
	MODEL_DONE,
	MODEL_LOAD,
	MODEL_CACHE_CHURN,
	MODEL_CONFIG_CHANGE,
	MODEL_RESTART,
	MODEL_WATCHED,
	MODEL_LISTED,
	MODEL_REPORT_POLLED,
	MODEL_LOAD_COMMANDED
};

/* An event; what its fields mean depends on its kind. */
struct model_event {
	int64_t at_ms;
	uint64_t seq;
	uint64_t incarnation;
	uint64_t token;
	enum event_kind kind;
	int node;
	int server;
	int status;
	size_t length;
	uint8_t *data;
};

/* A request that runs at a server. */
struct server_run {
	int node_index;
	int server;
	int next_piece;
	bool is_over;
	uint64_t incarnation;
	uint64_t token;
	char send_id[80];
};

/* A client's request without an answer yet. */
struct pending_request {
	int64_t at_ms;
	int node;
	uint64_t blocks[3];
};

/* A change of the configuration, and its acknowledgement. */
struct config_change {
	uint64_t token;
	uint64_t revision;
	int64_t acked_at_ms;
};

/* The fleet with its virtual time and its counts. */
struct model_fleet {
	struct scale_model_settings settings;
	int64_t now_ms;
	uint64_t rng;
	uint64_t seq;
	uint64_t token;
	int node_count;
	struct model_node *nodes;
	struct model_server *servers;
	struct model_event *events; /* stb_ds heap */
	struct server_run *runs;    /* stb_ds */
	int *idle;                  /* stb_ds: runs that are over */
	struct {
		uint64_t key;
		int value;
	} * run_by_token; /* stb_ds: node and token of a send -> its run */
	struct {
		uint64_t key;
		struct pending_request value;
	} * pending_requests;          /* stb_ds: by the client's token */
	struct config_change *changes; /* stb_ds */
	struct {
		int nodes;
		int64_t last_at_ms;
	} * revision_reached; /* stb_ds, by revision: routers that have it, and when the last one got it */
	uint64_t revision;
	uint64_t operator_token;
	int operator_status;
	int change_count;
	int restart_count;
	int64_t load_credit;
	int64_t churn_credit;
	uint64_t requests;
	uint64_t completed;
	uint64_t refused;
	uint64_t unknown;
	uint64_t sends;
	uint64_t pieces;
	uint64_t send_ms;
	int64_t max_send_ms;
	struct {
		char *key;
		uint32_t value;
	} * namespace_ids;      /* stb_ds: numbers of cache namespaces */
	char **namespace_names; /* stb_ds */
	apr_pool_t *pool;
};

enum { ADDRESS_CONTROLLER = 1, ADDRESS_ROUTER, ADDRESS_SERVER };

/* Roles that are measured; a relay is a router that passes configurations on. */
enum role { ROLE_ROUTER, ROLE_RELAY, ROLE_CONTROLLER, ROLE_COUNT };

/* ---- scale_model_servers.c ---- */

/* Number of services: one for each route, as far as there are servers. */
int model_service_count(const struct scale_model_settings *settings);

/* ---- scale_model_events.c ---- */

/* Processor time of this thread, in nanoseconds. */
int64_t model_cpu_ns(void);

/* A number below n drawn from the run's seed; 0 if n is 0. */
uint64_t model_random(struct model_fleet *fleet, uint64_t n);

/* Schedule an event; takes over its data, which is freed once it was handled. */
void model_push_event(struct model_fleet *fleet, struct model_event input);

/* The address of the node or server with this index: 127.KIND.HIGH.LOW, port 7000. */
uint64_t model_address(int kind, int index);

/* The node with this address, or NULL. */
struct model_node *model_node_at(struct model_fleet *fleet, uint64_t address);

/* The server with this address, or NULL. */
struct model_server *model_server_at(struct model_fleet *fleet, uint64_t address);

/* Three zones are a region: 1 to 3 ms inside a zone, 1 more between zones, 20 more between regions. */
int64_t model_link_delay_ms(struct model_fleet *fleet, const struct model_node *a,
			    const struct model_node *b);

/* Schedule an event without data for a node's present incarnation. */
void model_schedule(struct model_fleet *fleet, enum event_kind kind, int node, uint64_t token, int64_t at);

/* ---- scale_model_servers.c ---- */

/* The number of a cache namespace; a name that is new gets the next one. */
uint32_t model_namespace_id(struct model_fleet *fleet, const char *name);

/* Wake the watchers of a server's cache events a little later, for all events until then. */
void model_notify_watchers(struct model_fleet *fleet, struct model_server *server,
			   const struct model_block *block, int is_removed);

/* Cache a block at a server; the oldest one is evicted when its share is full. */
void model_cache_block(struct model_fleet *fleet, struct model_server *server, uint64_t hash, uint32_t maker,
		       uint64_t tick, uint32_t cache_namespace);

/* A server's report as JSON for a GET of path; allocated, its length in *len. */
char *model_server_report(struct model_fleet *fleet, struct model_server *server, const char *path,
			  size_t *len);

/* Start a request at a server: its first piece comes at first_chunk_sum_ms. */
void model_start_run(struct model_fleet *fleet, const struct server_run *run, int64_t first);

/* A send reaches a server: what it names as reused is not looked up; all its blocks are cached there
 * afterwards. */
void model_receive_run(struct model_fleet *fleet, const struct model_event *event);

/* End a run, once: its server has a slot more. */
void model_end_run(struct model_fleet *fleet, int i);

/* ---- scale_model_nodes.c ---- */

/* One step of a router's core, timed under a slot, and all that it commands. */
void model_router_step(struct model_fleet *fleet, struct model_node *node, int slot,
		       const struct router_event *input);

/* One step of a controller's core, timed under a slot, and all that it commands. */
void model_controller_step(struct model_fleet *fleet, struct model_node *node, int slot,
			   const struct controller_event *input);

/* Count what a node received under a slot. */
void model_count_received(struct model_node *n, int slot, size_t bytes);

/* ---- scale_model_servers.c ---- */

/* Answer a pending watch with all events since. */
void model_answer_watch(struct model_fleet *fleet, struct model_node *n, const struct model_event *wake_up);

/* The list of servers arrives at a controller. */
void model_deliver_list(struct model_fleet *fleet, struct model_node *node, const struct model_event *input);

/* ---- scale_model_load.c ---- */

/* The digest of a tenant's key, as hexadecimal text in buf. */
const char *model_key_digest(char buf[65], int tenant);

/* A client sends a request to a router drawn by chance. */
void model_submit_request(struct model_fleet *fleet);

/* An operator posts body to a controller drawn by chance; returns the call's token. */
uint64_t model_operator_call(struct model_fleet *fleet, const char *path, const char *body);

/* Most changes are of a tenant's share; each eighth isolates one, or no longer, which is a purge as well. */
void model_change_config(struct model_fleet *fleet);

/* Ten milliseconds of blocks that servers cache and evict by themselves. */
void model_churn_caches(struct model_fleet *fleet);

/* ---- scale_model_nodes.c ---- */

/* Start a node as a new incarnation, without any state. */
void model_node_start(struct model_fleet *fleet, struct model_node *n);

/* End a node and free its core; harmless if it does not run. */
void model_node_stop(struct model_node *node);

/* ---- scale_model_load.c ---- */

/* A router goes and another comes in its place; its pending requests are lost to their clients. */
void model_replace_router(struct model_fleet *fleet);

/* ---- scale_model_nodes.c ---- */

/* Hand an event to a router's core. */
void model_router_dispatch(struct model_fleet *fleet, struct model_node *node, struct model_event *input);

/* Hand an event to a controller's core. */
void model_controller_dispatch(struct model_fleet *fleet, struct model_node *node, struct model_event *input);

/* ---- scale_model_servers.c ---- */

/* The next piece of a run comes out, or its end. */
void model_stream_piece(struct model_fleet *fleet, const struct model_event *input);

/* ---- scale_model_events.c ---- */

/* Handle events for so many ms of virtual time, or until done says so; 1 if done, or if done is NULL. */
int model_run_until(struct model_fleet *fleet, int64_t ms, int (*done)(struct model_fleet *));

/* ---- scale_model_fleet.c ---- */

/* Make the fleet's nodes and servers; nothing runs yet. */
void model_fleet_make(struct model_fleet *fleet, const struct scale_model_settings *settings);

/* Bring the fleet up without load; 0: *why says at which step it stopped. */
int model_fleet_start(struct model_fleet *fleet, const char **why);

/* Apply load, then measure for the length of the window. */
void model_fleet_load(struct model_fleet *fleet);

/* ---- scale_model_measures.c ---- */

/* Messages, bytes and processor time of a role, by kind and in total. */
void model_role_rows(struct model_fleet *fleet, struct scale_model_result *result, enum role role);

/* Syncs and bytes of the controllers' disks. */
void model_disk_rows(struct model_fleet *fleet, struct scale_model_result *result);

/* Outcomes of requests, and how long changes of the configuration took to be in force. */
void model_fleet_rows(struct model_fleet *fleet, struct scale_model_result *result);

/* What each structure takes by itself, built through its own functions. */
void model_structure_rows(struct model_fleet *fleet, struct scale_model_result *result);

/* Memory by role: what is freed as its nodes are closed. */
void model_memory_rows(struct model_fleet *fleet, struct scale_model_result *result);

/* ---- scale_model_fleet.c ---- */

/* Free all that the fleet holds. */
void model_fleet_free(struct model_fleet *fleet);

#endif
