/* reg: a controller's duties as one pure step: parts, configuration, claims, publisher, server orders. */
#ifndef NL_CONTROLLER_H
#define NL_CONTROLLER_H

#include <stdbool.h>

#include "config_watch.h"
#include "operator_calls.h"
#include "rollout.h"
#include "idempotency.h"
#include "raft.h"
#include "purge.h"
#include "retention.h"
#include "config_table.h"

enum {
	CONTROLLER_MAX_SEEDS = 8,
	CONTROLLER_NODE_LIVE_MS = 3000,    /* ms a node counts as live after its last asking */
	CONTROLLER_NODE_FORGET_MS = 60000, /* ms after its last asking when it is forgotten */
	CONTROLLER_ROLLOUT_HOLD_OFF_MS =
	    4000,                        /* ms a new rollout waits after the lease, before its first order */
	CONTROLLER_REPORT_POLL_MS = 500, /* ms between a rollout's looks at a server's report */
	/* From the naming of weights to the last server that has them: 25 s. The last is told early enough
	 * for a loading of 8 s; the first rollout is done with telling early enough for another to take over:
	 * lease, election, hold-off. */
	CONTROLLER_LAST_LOAD_COMMAND_MS = 16000,
	CONTROLLER_FAILOVER_MS = 7500,
	CONTROLLER_QUOTA_LEASE_MS =
	    CONFIG_WATCH_MAX_STALENESS_MS +
	    300, /* ms after its last asking for which a router's places are its own */
	CONTROLLER_MAX_RESERVE_LIMITS =
	    64, /* limits in the table up to which every router holds spare places of each */
	CONTROLLER_RETRY_MS =
	    200, /* ms after which an operator's call that was refused for want of a leader may come again */
	CONTROLLER_CALL_TIMEOUT_MS = 5000,  /* ms before an operator's call is answered as unknown */
	CONTROLLER_CLAIM_TTL_MS = 720000,   /* ms of the part's own clock that a claim is remembered: the
					       longest limit and two minutes */
	CONTROLLER_PROPOSAL_RETRY_MS = 400, /* ms before a proposal without an answer is made again */
	CONTROLLER_PROPOSAL_RETRY_FAST_MS =
	    50,                             /* the same where the answer was that there is another leader */
	CONTROLLER_PURGE_BATCH = 128,       /* purges logged together */
	CONTROLLER_RECONFIGURE_MS = 50,     /* ms between steps of changing the membership of groups */
	CONTROLLER_ANNOUNCE_MS = 500,       /* ms between words to where silent controllers stood */
	CONTROLLER_RECOVERY_SKIP = 1 << 20, /* editions and ticks that a recovery skips */
	CONTROLLER_EPOCH_SHIFT = 40,        /* of the epoch in the index of a feed's value */
	CONTROLLER_FORGET_CONTROLLERS_MS =
	    60000, /* ms in office before controllers that were never heard of are forgotten */
	CONTROLLER_DROP_LOG_MS = 1000,        /* ms between log lines on messages that break the protocol */
	CONTROLLER_MAX_DONE_OPERATIONS = 256, /* changes whose answers are remembered */
	CONTROLLER_FEED_POLL_MS = 100         /* ms between the publisher's askings of the feeds */
};

enum controller_event_kind {
	CONTROLLER_TICK,
	CONTROLLER_MESSAGE,
	CONTROLLER_SYNCED,
	CONTROLLER_API_CALL,
	CONTROLLER_CALL_RESULT,
	CONTROLLER_STOP,
	CONTROLLER_PUT_DOCUMENT,
	CONTROLLER_READ_DOCUMENT,
	CONTROLLER_SET_TARGET_WEIGHTS,
	CONTROLLER_SERVERS_LISTED,
	CONTROLLER_REPORT_POLLED,
	CONTROLLER_LOAD_ANSWERED,
	CONTROLLER_CALLER_DISCONNECTED
};

struct controller_event {
	enum controller_event_kind kind;
	union {
		const struct Nl__Msg *message;
		struct {
			uint32_t shard;
			uint64_t sequence;
		} synced;
		struct {
			uint64_t token;
			const char *method, *path, *body, *idempotency_key;
		} api_call; /* key: an Idempotency-Key, NULL for none */
		struct {
			uint64_t token;
			int status;
			const char *body;
		} call_result;
		/* an operator's document, whole or a patch on the version base */
		struct {
			uint64_t token, base_version;
			int is_patch;
			const char *body;
			size_t body_bytes;
			const char *invalid; /* what the adapter found wrong with the call; NULL: nothing */
		} document;
		struct {
			uint64_t token;
		} read; /* the newest document is wanted back */
		struct {
			uint64_t token;
			const char *model, *weights;
			const char *invalid;
		} target; /* weights are named for a model */
		struct {
			uint64_t token;
			int succeeded;
			size_t instance_count;
			struct Nl__Instance *const *instances;
		} servers_listed; /* the whole list of servers */
		struct {
			uint64_t token;
			int status;
			const char *weights;
			int is_loading;
		} report_polled;
		struct {
			uint64_t token;
		} disconnected; /* the operator who made this call has left */
		/* 200 holds, 202 begun, 409 another under way, 412 a lower fence, 421 not this server; 0 no
		 * answer; never: nothing left */
		struct {
			uint64_t token;
			int status, never_sent;
		} load_answered;
	} payload;
};

/* The language that operators' documents are written in: the door's. Makes rows out of a document, and one
 * whole document out of an old one and a patch. *why says what is wrong and names the item. Pure; results
 * live in p. whole: the new document, as bytes; c: rows that replace all earlier ones, keys too. */
struct controller_codec {
	int (*read)(const char *old, size_t old_len, const char *body, size_t len, int patch,
		    struct Nl__Change *c, const char **why, apr_pool_t *p);
};

/* An operator's document or naming that is logged here: answered once it is committed. */
struct controller_logged_call {
	uint64_t token, log_index;
	struct request_key request_key;
	int64_t deadline_at_ms; /* when it is answered though its outcome is open */
};
struct controller_pending_entry {
	uint32_t shard;
	uint64_t log_index, proposer_addr, token;
};
struct controller_proposal {
	uint64_t token, call_token;
	uint32_t shard;
	struct Nl__Operation *operation; /* malloc'd */
	int64_t deadline_at_ms, retry_at_ms;
	int send_count, denied_count; /* as long as they are alike it surely was not logged */
	int refused_count;            /* copies that were refused before they were logged */
};
/* An operator's read that waits for the leader's word. web: its call; token: of our asking. */
struct controller_pending_read {
	uint64_t call_token, token;
	Nl__ReadKind kind;
	int64_t requested_at_ms, retry_at_ms;
};
/* A config watch request that waits for the next leader. */
struct controller_deferred_request {
	struct Nl__Msg *request; /* malloc'd */
	int64_t deadline_at_ms;
};
struct controller_node_status {
	uint64_t id, addr, zone;
	int64_t observed_at_ms;
	int is_router;
	int is_warm; /* in service for a while */
	uint64_t revision, horizon, token;
	int64_t wall_clock_ms;
	uint32_t load_pressure;
};
/* What a router holds or may still believe to hold under a limit; the answer that said the last of it. */
struct controller_quota_share {
	uint64_t router_id, reply_token;
	uint32_t reserved, requested;
	int64_t updated_at_ms, last_granted_at_ms;
}; /* fed: when it last had any */
struct controller_quota {
	char *key;
	struct controller_quota_share *value; /* stb_ds */
};
struct controller_claim {
	char *key;
	struct {
		uint64_t claimed_by, sequence, claimed_at_ms;
		int returned;
	} value;
};

struct controller_service_state { /* a service part's state */
	uint64_t clock_ms;
	struct controller_claim *claims;    /* stb_ds string map */
	struct Nl__Value **purge_feed;      /* decisions for the publisher */
	uint64_t purged_tick, purged_at_ms; /* the newest clearing after which its log was cut: tick, clock */
	int is_compacted;                   /* no claim is left from before it */
	struct controller_rolled_out {
		char *key;
		char *value;
	} * rolled_out; /* service -> weights last fully rolled out */
};

struct controller_purge_state { /* the purge part's state */
	uint64_t ceiling, released;
	struct Nl__Value **values; /* held values, by tick */
	struct purge_view last_view;
	uint64_t published_index[SHARD_COUNT]; /* feeds: highest index published */
	uint64_t purged_tick;
};

/* Weights as they were named for a service, since when at the earliest; since when weights have been named
 * that not every server got; what this rollout began with. */
struct controller_target_weights {
	char *key;
	struct {
		char *weights;
		int64_t targeted_at_ms, incomplete_since_ms, rollout_started_at_ms;
	} value;
};

struct controller_server { /* the rollout's view of one server */
	char *name, *service;
	uint64_t call_token;
	int64_t polled_at_ms, reported_at_ms, commanded_at_ms, load_commanded_at_ms;
	char weights[200], loading[200];
	uint64_t purged_tick; /* every purge up to this tick is carried out */
	uint64_t requested_purge_tick;
};

/* A change that was applied, as its proposer knows it, and what came of it. */
struct controller_done_operation {
	uint64_t from;
	uint64_t token;
	uint32_t status;
};

/* Who this process is in the fleet, and how it makes numbers that nobody else has. Written at the start and
 * by the bootstrap. */
struct controller_identity {
	uint64_t id;
	uint64_t addr;
	uint64_t fleet;   /* 0: none yet */
	bool fleet_dirty; /* the shell has to store the fleet */
	const char *zone;
	uint64_t seeds[CONTROLLER_MAX_SEEDS]; /* addresses */
	int seed_count;
	uint64_t rng;        /* state of the random numbers */
	uint64_t last_token; /* the newest token that was given out; the first one is random */
};

/* What the process lends to the controller: functions that belong to other libraries. Set once before the
 * first step. */
struct controller_adapters {
	const struct controller_codec *codec;       /* of documents; NULL: none are taken */
	const struct controller_calendar *calendar; /* NULL: no schedules in calendar terms */
	void (*log)(void *ctx, const char *prefix, const char *line);
	void *log_context;
};

/* Clocks other than the monotonic one that each step is given. */
struct controller_clocks {
	int64_t group_offset_ms; /* the control group's clock less this machine's, while it leads:
				    group_clock.h */
	int64_t wall_ms;         /* this machine's, since 1970; set by whoever steps; 0: no schedule runs */
};

/* Applied state of the control shard but for retention: equal on all members. Written by state_machine.c and
 * snapshot.c. */
struct controller_config {
	struct config_table table;
	struct Nl__Value **purge_feed; /* stb_ds: decisions for the publisher, oldest first */
	struct controller_done_operation *done_operations; /* stb_ds, oldest first */
	struct idempotency_log accepted_requests;          /* operators' requests that were accepted */
	uint8_t *document;                                 /* the newest document, byte for byte; malloc'd */
	size_t document_bytes;
	uint64_t document_version;
};

/* This node's leadership of one shard. Written by leadership_change.c; the clock by leadership.c. */
struct controller_leadership {
	uint64_t term;                /* in which it last began to lead */
	int64_t since_ms;             /* when it began to lead in that term */
	int64_t clock_advanced_at_ms; /* up to when the shard's own clock is counted in its log */
};

/* Compaction of one shard's log after a retention purge. */
struct controller_compaction {
	bool snapshot_needed;  /* nothing older than the next snapshot may stay on the disk */
	int64_t checked_at_ms; /* when the leader last logged a trim for it */
};

/* Operators' calls that came here and are not answered yet. */
struct controller_operators {
	struct operator_calls calls;                   /* counters */
	struct controller_logged_call *logged_calls;   /* stb_ds: wait for a commit */
	struct controller_pending_read *pending_reads; /* stb_ds: wait for the leader's answer */
};

/* Proposals in flight. Owned by proposals.c. */
struct controller_proposals {
	struct controller_proposal *own; /* stb_ds: this node's, until they are answered */
	struct controller_pending_entry
	    *received; /* stb_ds: other nodes', logged here and not yet committed */
};

/* Which nodes there are, as the configuration's leader sees them, and when the membership was last looked
 * after. Owned by membership.c; the nodes are written by config_sync.c. */
struct controller_membership {
	struct controller_node_status *nodes; /* stb_ds */
	int64_t reconfigured_at_ms;           /* last step of changing the groups' members */
	int64_t announced_at_ms;  /* last time that silent controllers were told where the fleet is */
	int64_t registered_at_ms; /* last proposal of this node's own row */
};

/* Requests that wait for a change of leaders. Owned by config_handover.c. */
struct controller_handover {
	struct controller_deferred_request *deferred; /* stb_ds: one for each asker */
};

/* The fleet-wide limits as the configuration's leader shares them out: soft state. Owned by quota_shares.c.
 */
struct controller_quota_shares {
	struct controller_quota *limits; /* stb_ds string map, by "tenant" or "route/tenant" */
	char **reserve_limits; /* stb_ds: limits of which every router is given some slots ahead; names are
				  the table's */
	uint64_t reserve_limits_revision; /* of the table that reserve_limits was made from */
};

/* The rollout of weights to servers that speak the product's own interface. Owned by rollout.c. */
struct controller_server_rollout {
	struct controller_server *servers;         /* stb_ds */
	struct controller_target_weights *targets; /* stb_ds string map, by service */
	uint32_t command_sequence;                 /* lower bits of the newest command's fence */
};

/* The publisher of the purge stream while it runs here: soft state. Owned by purge_publisher.c; the tick
 * moves when a value is applied as well. */
struct controller_publisher {
	uint64_t tick;                 /* highest tick declared */
	int64_t tick_declared_at_ms;   /* when silence was last declared */
	uint64_t pending_tick;         /* of the newest value that is being logged */
	uint64_t reserved_for_ceiling; /* the ceiling above which the newest reservation was logged */
	uint64_t feed_round;           /* of the newest request to the feeds */
	int64_t feed_polled_at_ms;     /* when that round began */
	uint64_t feed_complete_round[SHARD_COUNT]; /* round in which each feed had nothing more */
};

/* A bootstrap that this node has begun. Owned by bootstrap.c. */
struct controller_bootstrap {
	uint64_t call_token;     /* the operator's call that asked for it; 0: none */
	bool by_settings;        /* the settings asked for it */
	uint64_t proposed_fleet; /* 0 until the members are chosen */
	int64_t deadline_at_ms;
	int64_t retry_at_ms;
	struct {
		uint64_t id; /* 0: no answer yet */
		uint64_t fleet;
		bool is_empty;
	} seeds[CONTROLLER_MAX_SEEDS]; /* answers, in the order of the identity's seeds */
	struct Nl__Members *members;   /* malloc'd; NULL until all seeds have answered */
};

/* Log lines on messages that break the protocol. Owned by controller.c. */
struct controller_drop_log {
	int64_t logged_at_ms; /* the last line */
	uint64_t dropped;     /* messages so far */
	uint64_t logged;      /* how many of them lines have reported */
};

/* A controller. Each record has one owner; the step wires them. */
struct controller {
	struct controller_identity identity;
	struct controller_adapters adapters;
	struct controller_clocks clocks;
	struct bounds bounds; /* bounds_default until they are set */
	bool stopping;        /* told to stop: begins nothing any more */

	/* replication */
	struct raft shards[SHARD_COUNT];
	struct controller_leadership leadership[SHARD_COUNT];
	struct controller_compaction compaction[SHARD_COUNT];
	uint64_t epoch[SHARD_COUNT]; /* of the newest operation applied */

	/* applied state */
	struct controller_config config;
	struct retention retention; /* its leader's part is soft */
	struct controller_purge_state purge_state;
	struct controller_service_state service_states[SHARD_SERVICES];

	/* soft state of services */
	struct config_watch config_watch;
	struct controller_membership membership;
	struct controller_handover handover;
	struct controller_quota_shares quota;
	struct instances instances; /* servers, as the configuration's leader observes them itself */
	struct rollout rollout;
	struct controller_server_rollout server_rollout;
	struct controller_publisher publisher;
	struct relay relay;
	struct controller_bootstrap bootstrap;
	struct controller_proposals proposals;
	struct controller_operators operators;
	struct controller_drop_log drop_log;
};

/* Begin. saved[i] may be NULL. Example: controller_open(&r, id, addr, "z1", seeds, 3, fleet, seed, saved,
 * now); */
void controller_open(struct controller *controller, uint64_t id, uint64_t addr, const char *zone,
		     const uint64_t *seeds, int seed_count, uint64_t fleet, uint64_t seed,
		     const struct raft_saved *const *saved, int64_t now);
void controller_close(struct controller *controller);

/* One step. Example: controller_step(&r, &(struct controller_ev){ .kind = CONTROLLER_TICK }, now, &o); */
void controller_step(struct controller *controller, const struct controller_event *event, int64_t now,
		     struct command_list *out);

/* Found the fleet without a call, as the settings of the first seed say: goes on until all seeds answer that
 * they are empty, or one belongs to a fleet. Example: if (initial) controller_bootstrap(&r, now); */
void controller_bootstrap(struct controller *controller, int64_t now);

/* The state of a part's machine, packed, as a snapshot holds it; for checks.
 * Example: d = controller_state(&r, part, pool, &n); */
uint8_t *controller_state(const struct controller *controller, uint32_t shard, apr_pool_t *pool,
			  size_t *size);

/* After CONTROLLER_STOP: whether nothing more needs this controller and all that operators called for is
 * answered, so that its process may end before the grace is over. Example: return controller_stopped(&r,
 * now); */
int controller_stopped(const struct controller *controller, int64_t now);

#endif
