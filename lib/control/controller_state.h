/* snapshot_pack_state: the state of a controller, grouped into records by concern.
 *
 * The comment of each record names its owner: the only module that writes the record. Other modules read it
 * or call the owner. Replicated records change only when a committed log entry is applied and when a snapshot
 * is loaded. Soft state is lost at a restart and rebuilt from messages. The controller owns all memory that a
 * record points to; controller_close releases it. */
#ifndef NL_CONTROLLER_STATE_H
#define NL_CONTROLLER_STATE_H

#include <stdbool.h>

#include "config_table.h"
#include "completed_proposals.h"
#include "config_watch.h"
#include "idempotency.h"
#include "purge_relay.h"
#include "raft.h"
#include "retention_state.h"
#include "rollout_state.h"

struct controller_codec;

enum {
	CONTROLLER_MAX_SEEDS = 8,
	CONTROLLER_NODE_LIVE_MS = 3000,    /* a node is live for this long after its last request */
	CONTROLLER_NODE_EXPIRY_MS = 60000, /* a node's record is removed this long after its last request */
	CONTROLLER_ROLLOUT_HOLD_OFF_MS =
	    4000, /* delay between the start of a leadership and the first load command of its rollouts */
	CONTROLLER_REPORT_POLL_INTERVAL_MS = 500, /* interval between status requests to one server */
	/* Bound: all servers run new weights 25 s after the weights were set. The last load command is sent
	 * early enough for a load that takes 8 s. A rollout in the leadership in which the weights were set
	 * ends CONTROLLER_FAILOVER_MS earlier, so that a new leader can still take over: the lease has to
	 * expire, the election has to end and the new leader's hold-off has to pass. */
	CONTROLLER_LAST_LOAD_COMMAND_MS = 16000,
	CONTROLLER_FAILOVER_MS = 7500,
	/* a router's quota shares are reserved for it for this long after its last request */
	CONTROLLER_QUOTA_LEASE_MS = CONFIG_WATCH_MAX_STALENESS_MS + 300,
	CONTROLLER_MAX_RESERVED_LIMITS =
	    64, /* with more limits than this, routers hold no reserved slots ahead of demand */
	CONTROLLER_CALL_RETRY_MS =
	    200, /* sent to the caller of a failed call: delay before it may repeat the call */
	CONTROLLER_CALL_TIMEOUT_MS =
	    5000, /* an operator's call without an outcome by then is answered "outcome unknown" */
	CONTROLLER_CLAIM_TTL_MS = 720000, /* a claim expires after this time on the shard's clock: the longest
					     request timeout plus two minutes */
	CONTROLLER_PROPOSAL_RETRY_MS = 400, /* a proposal without a reply is sent again after this time */
	CONTROLLER_PROPOSAL_REDIRECT_RETRY_MS =
	    50, /* a proposal is sent again this long after a reply that the leader has changed */
	CONTROLLER_MAX_PURGE_BATCH = 128, /* the publisher logs at most this many purges in one batch */
	CONTROLLER_RECONFIGURE_INTERVAL_MS = 50, /* interval between reconfigurations of the Raft groups */
	CONTROLLER_ANNOUNCE_INTERVAL_MS =
	    500, /* interval between announcements of the fleet to the addresses of silent controllers */
	CONTROLLER_RECOVERY_SKIPPED_NUMBERS =
	    1 << 20,                      /* number of revisions and of ticks that a recovery skips */
	CONTROLLER_EPOCH_SHIFT_BITS = 40, /* position of the epoch in the index of a purge feed value */
	CONTROLLER_REMOVE_ABSENT_CONTROLLERS_MS =
	    60000, /* time since the start of a leadership after which its leader removes controllers that it
		      has not received a request from */
	CONTROLLER_DROP_LOG_INTERVAL_MS = 1000, /* interval between log lines about dropped messages */
	CONTROLLER_FEED_POLL_INTERVAL_MS =
	    100 /* interval between the publisher's requests to the purge feeds */
};

/* An operator's call that set a document or target weights, logged by this node as leader. It is answered
 * when its log entry is committed. */
struct controller_logged_call {
	uint64_t token;
	uint64_t log_index;
	struct request_key request_key;
	int64_t deadline_at_ms; /* without a commit by then, the call is answered "outcome unknown" */
};

/* Another node's proposal that this node has logged as leader and that is not yet committed. */
struct controller_pending_entry {
	uint32_t shard;
	uint64_t log_index;
	uint64_t proposer_addr;
	uint64_t token; /* the proposer's token of the proposal */
};

/* A proposal made by this node. It is sent to the leader again and again until its outcome is received. */
struct controller_proposal {
	uint64_t token;      /* the same in every copy that is sent, so that the proposal is applied once */
	uint64_t call_token; /* operator's call that the proposal is made for; 0: made by this node itself */
	uint32_t shard;
	struct Nl__Operation *operation; /* allocated with malloc */
	int64_t deadline_at_ms;
	int64_t retry_at_ms;
	int send_count;
	int unlogged_count; /* copies that certainly were not logged; equal to send_count: no copy was logged
			     */
	int rejected_count; /* copies that a leader rejected before logging them */
};

/* An operator's read that waits for the reply of the control shard's leader. */
struct controller_pending_read {
	uint64_t call_token; /* identifies the operator's call */
	uint64_t token;      /* identifies the read request to the leader */
	Nl__ReadKind kind;
	int64_t requested_at_ms;
	int64_t retry_at_ms;
};

/* A node's request for the configuration, kept until a new leader is elected. */
struct controller_deferred_request {
	struct Nl__Msg *request; /* allocated with malloc */
	int64_t deadline_at_ms;
};

/* A node's status, as reported in its last request for the configuration. */
struct controller_node_status {
	uint64_t id;
	uint64_t addr;
	uint64_t zone;              /* hash of the zone's name */
	int64_t last_request_at_ms; /* when the request was received */
	bool is_router;
	bool is_warm; /* a router that has been in service for a while: preferred as the upstream of its
			 zone's routers */
	uint64_t config_revision; /* of the configuration that the node holds */
	uint64_t purge_horizon;   /* the node has carried out all purges up to this tick */
	uint64_t request_token;   /* identifies the request */
	int64_t wall_clock_ms;    /* a controller's wall clock; 0: not reported */
	uint32_t load_pressure;   /* per mille */
};

/* The slots under one limit that a router holds, or may still hold because its next report has not arrived.
 */
struct controller_quota_share {
	uint64_t router_id;
	uint64_t granting_reply_token; /* token of the newest reply that granted slots to the router */
	uint32_t reserved_slots;       /* slots that count as held by the router */
	uint32_t requested_slots;      /* slots that the router requested in its last report */
	int64_t updated_at_ms;         /* when the router's last request was received */
	int64_t last_granted_at_ms;    /* when the router was last granted slots or used some */
};

/* All routers' shares of one limit. */
struct controller_quota_limit {
	char *key;                            /* the limit's name: "tenant" or "route/tenant" */
	struct controller_quota_share *value; /* stb_ds, one share for each router */
};

/* A router's claim of a request id. Keyed by the tenant and the request id. */
struct controller_claim {
	char *key;
	struct {
		uint64_t router_id;      /* router that made the claim */
		uint64_t claim_sequence; /* the router's number of the claim */
		uint64_t claimed_at_ms;  /* on the shard's own clock */
		bool is_released; /* kept after the release, because a copy of the claim may still arrive */
	} value;
};

/* Weights that all servers of a service run. Keyed by the service's name. */
struct controller_rolled_out {
	char *key;
	char *value;
};

/* Applied state of a service shard, equal on all members. Owned by state_machine.c and snapshot.c. */
struct controller_service_state {
	uint64_t clock_ms; /* the shard's own clock; it advances only while the shard has a leader */
	struct controller_claim *claims; /* stb_ds string map */
	struct Nl__Value **purge_feed;   /* stb_ds: purges for the publisher, oldest first */
	uint64_t purged_tick; /* tick of the newest retention purge after which the shard's log was trimmed */
	uint64_t purged_at_ms; /* time of that trim on the shard's own clock */
	bool is_compacted;     /* all claims made before that trim have expired and are no longer stored */
	struct controller_rolled_out *rolled_out; /* stb_ds string map */
};

/* Applied state of the purge shard, equal on all members. Owned by state_machine.c and snapshot.c. */
struct controller_purge_state {
	uint64_t tick_ceiling;  /* the publisher may declare ticks up to this one */
	uint64_t released_tick; /* values up to this tick are no longer needed, and are not stored */
	struct Nl__Value *
	    *unreleased_values; /* stb_ds: logged values of later ticks than released, ordered by tick */
	struct purge_view newest_purges; /* newest purge of each subject */
	uint64_t
	    published_index[SHARD_COUNT]; /* highest index that has been logged of each shard's purge feed */
	uint64_t purged_tick; /* tick of the newest retention purge after which the shard's log was trimmed */
};

/* A service's target weights and the progress of their rollout, as observed by this node. Keyed by the
 * service's name. */
struct controller_target_weights {
	char *key;
	struct {
		char *weights;
		int64_t targeted_at_ms; /* when the weights were set, or somewhat earlier: a lower bound */
		int64_t incomplete_since_ms;   /* since when some server has not run the target weights */
		int64_t rollout_started_at_ms; /* 0: not started in the current leadership */
	} value;
};

/* A server of the configuration table, as observed by the rollout. */
struct controller_server {
	char *name;
	char *service;
	uint64_t call_token;           /* identifies the newest status request */
	int64_t polled_at_ms;          /* when the newest status request was sent */
	int64_t reported_at_ms;        /* when the newest status report was received */
	int64_t commanded_at_ms;       /* when the newest command of any kind was sent */
	int64_t load_commanded_at_ms;  /* when the newest load command was sent */
	char weights[200];             /* weights that the server runs, from its newest report */
	char loading[200];             /* weights that the server is loading; "": none */
	uint64_t purged_tick;          /* the server has carried out all purges up to this tick */
	uint64_t requested_purge_tick; /* purge horizon when the newest status request was sent */
};

/* The controller's identity in the fleet and its sources of unique numbers. Owned by controller.c, which sets
 * the record at the start; bootstrap.c sets the fleet. */
struct controller_identity {
	uint64_t id;           /* of this controller, unique in the fleet */
	uint64_t addr;         /* of this controller */
	uint64_t fleet_id;     /* identity of the fleet; 0: this controller belongs to none yet */
	bool is_fleet_unsaved; /* the fleet has changed and the process has to store it */
	const char *zone;
	uint64_t seeds[CONTROLLER_MAX_SEEDS]; /* addresses of the seeds */
	int seed_count;
	uint64_t random_state; /* state of the random number generator */
	uint64_t incarnation;  /* incarnation of this process: random, not 0 */
	uint64_t last_token;   /* newest token in use; the first is random, so that tokens differ from an
				  earlier incarnation's */
};

/* Functions of other libraries that the process provides to the controller. Set once, before the first step.
 */
struct controller_adapters {
	const struct controller_codec *codec; /* parses operators' documents; NULL: documents are rejected */
	const struct controller_calendar
	    *calendar; /* evaluates calendar schedules; NULL: calendar schedules are rejected */
	void (*log)(void *ctx, const char *prefix, const char *line);
	void *log_context;
};

/* Clocks in addition to the monotonic time that is passed to each step. */
struct controller_clocks {
	int64_t group_offset_ms; /* valid while this node leads the control shard: the control group's clock
				    (group_clock.h) minus this machine's monotonic clock */
	int64_t wall_ms; /* this machine's wall clock in ms since 1970, set by the caller of controller_step;
			    0: not known, and no schedule runs */
};

/* Applied state of the control shard, without the state of retention; equal on all members. Owned by
 * state_machine.c and snapshot.c. */
struct controller_config {
	struct config_table table;
	struct Nl__Value **purge_feed; /* stb_ds: purges for the publisher, oldest first */
	struct completed_proposals completed_proposals;
	struct idempotency_log accepted_requests; /* operators' requests that took effect */
	uint8_t *document; /* the newest document, byte for byte; allocated with malloc */
	size_t document_bytes;
	uint64_t document_version;
};

/* This node's leadership of one shard. Owned by leadership_change.c; leadership.c also writes
 * clock_advanced_at_ms. */
struct controller_leadership {
	uint64_t term;                /* newest term in which this node began to lead the shard */
	int64_t started_at_ms;        /* when its leadership in that term began */
	int64_t clock_advanced_at_ms; /* the shard's clock as logged includes the time up to this moment */
};

/* Compaction of one shard's log after a retention purge. */
struct controller_compaction {
	bool is_snapshot_needed; /* the next snapshot has to replace all earlier log entries and snapshots on
				    the disk */
	int64_t trim_logged_at_ms; /* when the leader last logged a trim for the compaction */
};

/* Operators' calls by outcome, counted since the start of the process. Owned by operator_calls.c. */
struct operator_call_counts {
	uint64_t read_count; /* calls that were received */
	uint64_t
	    answered_count; /* calls answered with the leader's confirmation or redirected to the leader */
	uint64_t rejected_count;        /* calls answered 503: nothing was logged */
	uint64_t unknown_outcome_count; /* calls answered 504: the outcome is unknown and the caller may
					   repeat them */
	uint64_t disconnected_count;    /* calls whose caller closed its connection before the answer */
};

/* Operators' calls that this controller has received and not yet answered. */
struct controller_operators {
	struct operator_call_counts call_counts; /* calls by outcome */
	struct controller_logged_call
	    *logged_calls; /* stb_ds: calls that wait for their log entry to be committed */
	struct controller_pending_read *pending_reads; /* stb_ds: reads that wait for the leader's reply */
};

/* Proposals that have no outcome yet. Owned by proposals.c. */
struct controller_proposals {
	struct controller_proposal
	    *own_proposals; /* stb_ds: proposals made by this node that have no outcome yet */
	struct controller_pending_entry *pending_entries; /* stb_ds: other nodes' proposals that this node has
						      logged and that are not yet committed */
};

/* The nodes of the fleet as observed by the control shard's leader, and the times of periodic membership
 * work. Owned by membership.c; config_sync.c writes the nodes. */
struct controller_membership {
	struct controller_node_status *nodes; /* stb_ds, one for each node */
	int64_t reconfigured_at_ms;           /* when the members of the Raft groups were last reconfigured */
	int64_t
	    announced_at_ms; /* when the fleet was last announced to the addresses of silent controllers */
	int64_t registered_at_ms; /* when this node last proposed its own row of the configuration table */
};

/* Requests that are kept while the leadership of the control shard changes. Owned by config_handover.c. */
struct controller_handover {
	struct controller_deferred_request *deferred; /* stb_ds: at most one for each requesting node */
};

/* The fleet-wide limits and the share of each router, on the control shard's leader: soft state. Owned by
 * quota_shares.c. */
struct controller_quota_shares {
	struct controller_quota_limit *limits; /* stb_ds string map, keyed by "tenant" or "route/tenant" */
	char **reserved_limits; /* stb_ds: names of the limits under which each router holds slots ahead of
				   demand; the strings belong to the configuration table */
	uint64_t reserved_limits_revision; /* revision of the table that reserved_limits was computed from */
};

/* The rollout of weights to the servers of the configuration table, which have this project's own HTTP
 * interface. Owned by rollout.c. */
struct controller_server_rollout {
	struct controller_server *servers;         /* stb_ds, one for each server of the table */
	struct controller_target_weights *targets; /* stb_ds string map, by service */
	uint32_t command_sequence;                 /* lower bits of the fence of the newest load command */
};

/* The publisher of the purge stream, which runs on the purge shard's leader: soft state. Owned by
 * purge_publisher.c. The tick also advances when a value is applied. */
struct controller_publisher {
	uint64_t declared_tick;      /* highest tick that has been declared */
	int64_t tick_declared_at_ms; /* when the publisher last declared silence (ticks without a purge) */
	uint64_t pending_tick;       /* tick of the newest value that has been proposed to the log */
	uint64_t
	    reservation_ceiling;   /* value of the ceiling when the newest reservation of ticks was logged */
	uint64_t feed_round;       /* number of the newest round of requests to the purge feeds */
	int64_t feed_polled_at_ms; /* when the newest round of requests began */
	uint64_t feed_complete_round[SHARD_COUNT]; /* newest round in which each feed had no further values */
};

/* A bootstrap that this node coordinates. Owned by bootstrap.c. */
struct controller_bootstrap {
	uint64_t call_token;        /* operator's call that requested the bootstrap; 0: none */
	bool is_by_settings;        /* the bootstrap was requested by the settings */
	uint64_t proposed_fleet_id; /* identity of the new fleet; 0: the members are not yet chosen */
	int64_t deadline_at_ms;
	int64_t retry_at_ms; /* when the seeds are queried next */
	struct {
		uint64_t id;       /* identity of the seed; 0: it has not answered */
		uint64_t fleet_id; /* fleet that the seed belongs to; 0: none */
		bool is_empty;     /* the seed has never been a member of a group and belongs to no fleet */
	} seeds[CONTROLLER_MAX_SEEDS]; /* the seeds' answers, in the order of identity.seeds */
	struct Nl__Members *members;   /* first members of the fleet, allocated with malloc; NULL until all
					  seeds have answered */
};

/* Rate limit of the log lines about dropped messages. Owned by controller.c. */
struct controller_drop_log {
	int64_t logged_at_ms;   /* when the last line was logged */
	uint64_t dropped_count; /* messages dropped since the start */
	uint64_t logged_count;  /* dropped messages that have been reported in log lines */
};

/* A controller. Each record has one owner; controller_step connects the owners. */
struct controller {
	struct controller_identity identity;
	struct controller_adapters adapters;
	struct controller_clocks clocks;
	struct bounds bounds; /* the deployment's bounds; bounds_default until they are set */
	bool is_stopping;     /* CONTROLLER_STOP was received: no new work is begun */

	/* replicated logs */
	struct raft shards[SHARD_COUNT];
	struct controller_leadership leadership[SHARD_COUNT];
	struct controller_compaction compaction[SHARD_COUNT];
	uint64_t applied_epoch[SHARD_COUNT]; /* epoch of the newest operation that was applied */

	/* applied state */
	struct controller_config config;
	struct retention retention; /* the fields that only the leader uses are soft state */
	struct controller_purge_state purge_state;
	struct controller_service_state service_states[SHARD_SERVICES];

	/* soft state of services */
	struct config_watch config_watch;
	struct controller_membership membership;
	struct controller_handover handover;
	struct controller_quota_shares quota_shares;
	struct instances
	    instances; /* servers on the endpoint list, as observed by the control shard's leader */
	struct rollout rollout;
	struct controller_server_rollout server_rollout;
	struct controller_publisher publisher;
	struct relay relay;
	struct controller_bootstrap bootstrap;
	struct controller_proposals proposals;
	struct controller_operators operators;
	struct controller_drop_log drop_log;
};

#endif
