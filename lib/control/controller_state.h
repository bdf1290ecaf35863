/* controller_state: what a controller knows and keeps, as records by concern.
 *
 * Each record names its owner: the module that writes it. Others read it, or ask its owner. Replicated
 * records are written as log entries are applied and when a snapshot is loaded, by nobody else. Soft state is
 * lost at a restart and learnt again. Memory that a record points to is the controller's, and ends with
 * controller_close. */
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
	CONTROLLER_NODE_LIVE_MS = 3000,    /* after its last request, for which a node counts as live */
	CONTROLLER_NODE_FORGET_MS = 60000, /* after its last request, when it is forgotten */
	CONTROLLER_ROLLOUT_HOLD_OFF_MS =
	    4000, /* a new leader's rollout waits for so long before its first command */
	CONTROLLER_REPORT_POLL_MS = 500, /* between polls of a server's report */
	/* All servers have new weights 25 s after the weights were set. The last load command leaves early
	 * enough for a load of 8 s; the first rollout is done early enough for another one to take over:
	 * lease, election, hold-off. */
	CONTROLLER_LAST_LOAD_COMMAND_MS = 16000,
	CONTROLLER_FAILOVER_MS = 7500,
	/* after a router's last request, for which its quota shares are its own */
	CONTROLLER_QUOTA_LEASE_MS = CONFIG_WATCH_MAX_STALENESS_MS + 300,
	CONTROLLER_MAX_RESERVE_LIMITS = 64, /* limits up to which every router holds a reserve of each */
	CONTROLLER_RETRY_MS = 200,          /* before a call that found no leader may come again */
	CONTROLLER_CALL_TIMEOUT_MS = 5000,  /* before an operator's call is answered as unknown */
	CONTROLLER_CLAIM_TTL_MS = 720000, /* of the shard's own clock: the longest time-out and two minutes */
	CONTROLLER_PROPOSAL_RETRY_MS = 400,     /* before a proposal without an answer is sent again */
	CONTROLLER_PROPOSAL_RETRY_FAST_MS = 50, /* the same where the answer named another leader */
	CONTROLLER_PURGE_BATCH = 128,           /* purges logged together */
	CONTROLLER_RECONFIGURE_MS = 50,         /* between steps of changing the membership of groups */
	CONTROLLER_ANNOUNCE_MS = 500,           /* between announcements to addresses of silent controllers */
	CONTROLLER_RECOVERY_SKIP = 1 << 20,     /* revisions and ticks that a recovery skips */
	CONTROLLER_EPOCH_SHIFT = 40,            /* of the epoch in the index of a feed's value */
	CONTROLLER_FORGET_CONTROLLERS_MS = 60000, /* of leadership, before silent controllers are removed */
	CONTROLLER_DROP_LOG_MS = 1000,            /* between log lines on messages that break the protocol */
	CONTROLLER_FEED_POLL_MS = 100             /* between the publisher's requests to the feeds */
};

/* An operator's document or target weights that are logged here: answered once they are committed. */
struct controller_logged_call {
	uint64_t token;
	uint64_t log_index;
	struct request_key request_key;
	int64_t deadline_at_ms; /* when it is answered though its outcome is open */
};

/* Another node's proposal that is logged here and not yet committed. */
struct controller_pending_entry {
	uint32_t shard;
	uint64_t log_index;
	uint64_t proposer_addr;
	uint64_t token; /* the proposer's */
};

/* A proposal of this node's own, sent to the leader until it is answered. */
struct controller_proposal {
	uint64_t token;      /* the same in every copy: it is applied once */
	uint64_t call_token; /* the operator's call that it is made for; 0: this node's own */
	uint32_t shard;
	struct Nl__Operation *operation; /* malloc'd */
	int64_t deadline_at_ms;
	int64_t retry_at_ms;
	int send_count;
	int denied_count;  /* copies surely not logged; as long as it equals send_count, none was */
	int refused_count; /* copies that were refused before they were logged */
};

/* An operator's read that waits for the leader's answer. */
struct controller_pending_read {
	uint64_t call_token; /* the operator's call */
	uint64_t token;      /* of the request to the leader */
	Nl__ReadKind kind;
	int64_t requested_at_ms;
	int64_t retry_at_ms;
};

/* A config watch request that waits for the next leader. */
struct controller_deferred_request {
	struct Nl__Msg *request; /* malloc'd */
	int64_t deadline_at_ms;
};

/* What a node reported of itself in its last request for the configuration. */
struct controller_node_status {
	uint64_t id;
	uint64_t addr;
	uint64_t zone; /* hash of its name */
	int64_t observed_at_ms;
	bool is_router;
	bool is_warm; /* a router: in service for a while */
	uint64_t revision;
	uint64_t horizon; /* purge ticks that it has passed */
	uint64_t token;   /* of that request */
	int64_t wall_clock_ms;
	uint32_t load_pressure; /* per mille */
};

/* What one router holds, or may still believe to hold, under a limit. */
struct controller_quota_share {
	uint64_t router_id;
	uint64_t reply_token; /* of the newest reply that granted any */
	uint32_t reserved;    /* slots */
	uint32_t requested;   /* slots */
	int64_t updated_at_ms;
	int64_t last_granted_at_ms; /* when it last had any */
};

/* A limit's shares. */
struct controller_quota {
	char *key;
	struct controller_quota_share *value; /* stb_ds */
};

/* A claim of a request's id, under the tenant and the id. */
struct controller_claim {
	char *key;
	struct {
		uint64_t claimed_by;    /* a router */
		uint64_t sequence;      /* of its claims */
		uint64_t claimed_at_ms; /* on the shard's own clock */
		bool returned;          /* released; remembered, since the claim may still be on its way */
	} value;
};

/* Weights that are fully rolled out, by service. */
struct controller_rolled_out {
	char *key;
	char *value;
};

/* Applied state of a service shard. Written by state_machine.c and snapshot.c. */
struct controller_service_state {
	uint64_t clock_ms;               /* the shard's own: it stands still without a leader */
	struct controller_claim *claims; /* stb_ds string map */
	struct Nl__Value **purge_feed;   /* stb_ds: decisions for the publisher, oldest first */
	uint64_t purged_tick;            /* the newest retention purge after which its log was trimmed */
	uint64_t purged_at_ms;           /* when that was, on the shard's own clock */
	bool is_compacted;               /* no claim from before it is left */
	struct controller_rolled_out *rolled_out; /* stb_ds string map */
};

/* Applied state of the purge shard. Written by state_machine.c and snapshot.c. */
struct controller_purge_state {
	uint64_t ceiling;                      /* no tick above it may be declared */
	uint64_t released;                     /* ticks up to it need not be kept */
	struct Nl__Value **values;             /* stb_ds: logged values above released, by tick */
	struct purge_view last_view;           /* the newest purge of each subject */
	uint64_t published_index[SHARD_COUNT]; /* of each feed: the highest index logged */
	uint64_t purged_tick; /* the newest retention purge after which its log was trimmed */
};

/* The weights that a service should have, as this node learnt of them. */
struct controller_target_weights {
	char *key;
	struct {
		char *weights;
		int64_t targeted_at_ms;        /* not later than when they were set */
		int64_t incomplete_since_ms;   /* since when not every server has what is set */
		int64_t rollout_started_at_ms; /* 0: not in this leadership */
	} value;
};

/* A server as the rollout sees it. */
struct controller_server {
	char *name;
	char *service;
	uint64_t call_token; /* of the newest poll */
	int64_t polled_at_ms;
	int64_t reported_at_ms;
	int64_t commanded_at_ms;
	int64_t load_commanded_at_ms;
	char weights[200];
	char loading[200];             /* "" when it loads none */
	uint64_t purged_tick;          /* every purge up to this tick is carried out */
	uint64_t requested_purge_tick; /* the horizon at the newest poll */
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
	uint64_t run;        /* names this run of the process: random, not 0 */
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
	struct completed_proposals completed_proposals;
	struct idempotency_log accepted_requests; /* operators' requests that were accepted */
	uint8_t *document;                        /* the newest document, byte for byte; malloc'd */
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

/* What became of the operators' calls that were read, counted since the start. Owned by operator_calls.c. */
struct operator_calls {
	uint64_t read;
	uint64_t answered;     /* with the leader's confirmation, or redirected to the leader */
	uint64_t rejected;     /* 503: nothing was logged */
	uint64_t unknown;      /* 504: it may be sent again */
	uint64_t disconnected; /* the caller closed its connection before */
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

#endif
