/* reg: a controller's duties as one pure step: parts, configuration, claims, publisher, server orders. */
#ifndef NL_CONTROLLER_H
#define NL_CONTROLLER_H

#include "config_watch.h"
#include "operator_calls.h"
#include "rollout.h"
#include "idempotency.h"
#include "raft.h"
#include "purge.h"
#include "retention.h"
#include "config_table.h"

enum {
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

struct controller {
	uint64_t id, addr, fleet, rng;
	const char *zone;
	uint64_t seeds[8];
	int seed_count;
	struct raft shards[SHARD_COUNT];
	struct config_table config;
	struct Nl__Value **config_purge_feed;
	struct controller_done_operation {
		uint64_t from, token;
		uint32_t status;
	} * done_operations;                      /* stb_ds, oldest first */
	struct idempotency_log accepted_requests; /* operators' orders that were accepted */
	uint8_t *document;                        /* the newest document, byte for byte */
	size_t document_bytes;
	uint64_t document_version;
	struct controller_logged_call *logged_calls; /* stb_ds */
	struct operator_calls operator_calls;
	struct retention retention;
	const struct controller_calendar *calendar; /* NULL: no schedules in calendar terms */
	int64_t group_clock_offset_ms; /* the control group's clock less this machine's, while it leads:
					  group_clock.h */
	int64_t wall_clock_ms; /* the machine's clock at this step, ms since 1970, set by whoever steps; 0: no
				  schedule runs */
	int64_t compaction_checked_at_ms[SHARD_COUNT];
	int snapshot_needed[SHARD_COUNT];     /* a snapshot is due, and nothing older stays on the disk */
	const struct controller_codec *codec; /* of documents; NULL: none are taken */
	struct controller_purge_state purge_state;
	struct controller_service_state service_states[SHARD_SERVICES];
	struct config_watch config_watch;
	struct bounds bounds;       /* bounds_default until they are set */
	struct instances instances; /* what the configuration's owner sees itself */
	struct rollout rollout;
	struct relay relay;
	struct controller_pending_entry *pending_entries;
	struct controller_proposal *proposals;
	struct controller_node_status *node_statuses;
	struct controller_deferred_request *deferred_requests; /* stb_ds */
	char **reserve_limits; /* stb_ds: limits of which every router is given a few places ahead */
	uint64_t reserve_limits_revision;
	struct controller_quota
	    *quotas; /* stb_ds: by what the limit is of; the configuration owner's soft state */
	struct controller_pending_read *pending_reads; /* stb_ds */
	struct controller_server *rollout_servers;
	struct controller_target_weights *target_weights; /* stb_ds, by service */
	uint64_t last_token;
	uint64_t epoch[SHARD_COUNT]; /* of the newest operation applied */
	int64_t leader_since_ms[SHARD_COUNT], clock_advanced_at_ms[SHARD_COUNT], reconfigured_at_ms,
	    announced_at_ms, registered_at_ms;
	uint64_t leader_term[SHARD_COUNT]; /* term in which we last took office */
	/* publisher's soft state */
	uint64_t declared_tick;                    /* highest tick declared */
	uint64_t feed_complete_round[SHARD_COUNT]; /* round at which each feed last said all */
	uint64_t feed_round, reserved_for_ceiling;
	int64_t feed_polled_at_ms, tick_declared_at_ms;
	uint64_t pending_tick; /* of a value being logged */
	uint32_t load_command_sequence;
	/* founding */
	/* web: the call that asked for it; own: the settings did */
	struct {
		uint64_t call_token, proposed_fleet;
		int by_settings;
		int64_t deadline_at_ms, retry_at_ms;
		uint64_t id[8], fleet[8];
		int is_empty[8];
		struct Nl__Members *members;
	} bootstrap;
	int64_t drop_logged_at_ms; /* messages that break the protocol: last log line, */
	uint64_t dropped_count,
	    drops_logged_count; /* how many there were, how many of them lines have told of */
	int stopping;
	void (*log)(void *ctx, const char *prefix, const char *line);
	void *log_context;
	int fleet_dirty; /* the shell must store r->fleet */
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
