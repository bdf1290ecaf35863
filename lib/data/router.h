/* router: admits the requests of clients, chooses a server for each, sends them there and streams the answers
 * back. It also keeps an index of the prompt prefixes that servers cache, and relays purges to other routers.
 * The router is a pure step function: router_step takes one event and the current time and appends commands,
 * which the caller executes. It does no input or output itself and is called from one thread only. All of its
 * state is soft: a router starts empty and obtains configuration, purges and cache contents again from the
 * fleet. */
#ifndef NL_ROUTER_H
#define NL_ROUTER_H

#include "config_watch.h"
#include "mechanism.h"
#include "prefix_index.h"
#include "purge_relay.h"
#include "router_event.h"
#include "router_limits.h"
#include "router_request.h"
#include "router_route_table.h"
#include "router_server.h"

/* Counters since the start of the process; served at /v1/state and /metrics. */
struct router_stats {
	uint64_t requests_received; /* requests; always the sum of outcomes and of requests in progress */
	uint64_t outcomes[REQUEST_OUTCOMES];
	uint64_t sends; /* attempts; of a forwarded request only the first */
	uint64_t retries;
	uint64_t streams_resumed; /* streams resumed at another server */
	uint64_t chunks_sent;
	uint64_t prompt_tokens;       /* prompt tokens of the attempts counted in sends */
	uint64_t cached_tokens;       /* of tokens, those expected to be cached at the server */
	uint64_t fetched_tokens;      /* tokens to be fetched from another server or the store */
	uint64_t sends_without_cache; /* attempts sent while the purge view was not current */
	uint64_t claim_proposals;     /* proposals of claims and of claim releases */
	uint64_t report_polls;
	uint64_t cache_watches;
	uint64_t cache_events; /* cache events received */
	/* answers from a server instance or weights other than those that the request was sent to */
	uint64_t wrong_incarnation;
	/* refused because the configuration may be out of date, or because the router is shutting down */
	uint64_t refused_stale_config;
	uint64_t refused_queue_full;
	uint64_t refused_deadline;   /* the deadline passed before the request was sent */
	uint64_t refused_unservable; /* no server or leader available, or the deadline was out of reach */
	uint64_t ended_key_removed;  /* requests ended because their key was removed */
	/* requests ended because the configuration could not be confirmed for too long */
	uint64_t ended_without_config;
	uint64_t own_lookups_answered; /* own prefix lookups answered in time */
	uint64_t own_lookups_missed;
	uint64_t lookups_served;    /* prefix lookups of other routers that this one answered */
	uint64_t attempts_recalled; /* attempts recalled shortly before the rollout bound of their weights */
	/* attempts sent to servers whose weights were past their rollout bound; any is a fault */
	uint64_t sent_past_bound;
	/* requests that servers began on weights past their rollout bound; any is a fault */
	uint64_t begun_past_bound;
};

/* Resource usage of one tenant on one route, for billing. */
struct usage_entry {
	uint64_t key; /* route index << 32 | tenant index */
	struct {
		uint64_t requests;
		uint64_t prompt_tokens;
		uint64_t cached_tokens; /* prompt tokens expected to be cached at the server */
		uint64_t chunks;
		uint64_t errors;
	} value;
};

/* The release of a claim; proposed again until the controllers have committed it. */
struct claim_release {
	uint64_t token;
	uint64_t sequence;
	uint64_t leader_addr;
	uint32_t service_index;
	uint32_t tenant_index;
	char *id; /* owned */
	int64_t sent_at_ms;
	int64_t expires_at_ms;
};

/* Clock readings of the current step, in ms. */
struct router_clock {
	int64_t now_ms;
	int64_t started_at_ms;
	/* when this process last resumed after it had not been scheduled for a while; 0: never */
	int64_t resumed_at_ms;
};

/* The configuration in force. Written by router.c and router_route_table.c. */
struct router_config {
	struct config_watch watch;
	struct bounds bounds;
	struct route_table *route_table; /* NULL: no configuration received yet */
	struct server_table *server_table;
	uint32_t serving_server_count; /* serving servers in server_table */
};

/* Dense indices for names. */
struct router_names {
	struct name_table routes;
	struct name_table tenants;
	struct name_table services;
	struct name_table servers;
	struct name_table weights;
};

/* All requests in progress, and the claims to be released. Written by router_outcome.c and router_claims.c.
 */
struct router_requests {
	struct client_request **all; /* stb_ds */
	struct {
		uint64_t key; /* token of the client, the claim or the call to a server */
		struct client_request *value;
	} * by_token;                         /* stb_ds */
	struct claim_release *claim_releases; /* stb_ds */
	uint64_t last_sequence;
	uint64_t last_token;
};

/* The queues of requests that have not been sent. Written by router_queue.c and router_dispatch.c. */
struct router_queueing {
	struct request_queue *queues; /* stb_ds */
	struct {
		uint64_t key; /* route index << 32 | tenant index */
		uint32_t value;
	} * index_by_route_and_tenant; /* stb_ds: index into queues */
	int64_t next_dispatch_at_ms;
	uint64_t retry_jitter_draws;
};

/* Slots in use and retry budgets. Written by router_quota.c and router_retry.c. */
struct router_quota {
	uint32_t *tenant_slots_held; /* stb_ds, by tenant index: slots held by requests */
	int64_t *retry_budget_milli; /* stb_ds, by service index, in thousandths of a retry */
};

/* Observed state of servers; arrays are indexed by server index. */
struct router_servers {
	struct router_server_state *states; /* stb_ds */
	/* stb_ds: hashes of server names; all routers use the same ones, so that they rank servers alike
	 */
	uint64_t *name_hashes;
	struct {
		uint64_t key;
		uint32_t value;
	} * by_name_hash; /* stb_ds: server index */
	/* stb_ds: number of leading prompt blocks cached at each server, for the placement in progress */
	int *cached_block_counts;
	/* stb_ds, by service index: when the service last had a serving server */
	int64_t *last_serving_at_ms;
	struct link_observation *links; /* stb_ds */
};

/* Index of the blocks that servers cache. Written by router_cache_watch.c and router_reports.c. */
struct router_cache {
	struct prefix_index index;
	uint64_t isolation_tick;         /* tick of the newest purge of a tenant in the purge view */
	double average_full_watch_bytes; /* average size of a server's complete cache list, smoothed */
};

/* Cache events that the head of a zone has yet to send to the routers of its zone. Written by
 * router_cache_feed.c. */
struct router_cache_feed {
	/* stb_ds: servers with unsent events, the one that has waited longest first */
	uint32_t *unsent_servers;
	int64_t sent_at_ms;
	/* when the feed's share of the link will have carried all that was sent */
	int64_t link_free_at_ms;
};

/* Load that routers publish to each other; arrays are indexed by server index. Written by router_load.c. */
struct router_load {
	struct load_source *sources;             /* stb_ds */
	struct load_counts *sent_to_head;        /* stb_ds: last published to the head of the zone */
	struct load_counts *sent_to_zone;        /* stb_ds: last published to the routers of the zone */
	struct load_counts *sent_to_other_heads; /* stb_ds: last published to the heads of other zones */
	struct load_counts *other_routers;       /* stb_ds: load that other routers have at each server */
	int64_t other_routers_at_ms;
	int64_t sent_at_ms;
	int64_t full_sent_at_ms;
	int64_t zone_sent_at_ms;
	bool has_unsent_change; /* an attempt was sent or began since the last message */
};

/* Prefix lookups that this router sends to the head of its zone. Written by router_prefix_lookup.c. */
struct router_lookups {
	double round_trip_ms; /* smoothed time from a lookup to its answer */
	int consecutive_misses;
	/* when the next lookup is sent to a head that has not been answering */
	int64_t next_lookup_at_ms;
};

/* Purges of cached context on a schedule. Written by router_retention.c. */
struct router_retention {
	/* stb_ds, by scope and slice: newest purge; emptied on a purge or a new route table */
	uint64_t *newest_purges;
	int64_t purged_at_ms; /* when the last purge was received completely */
	/* start of the scan for blocks that servers still cache from before that purge */
	int64_t scan_at_ms;
	ptrdiff_t scan_position;               /* rows of the index left to scan */
	struct Nl__CacheRemainder *remainders; /* stb_ds: cached blocks that the scan found */
};

/* Usage records and sums of placement decisions. Written by router_metrics.c, router_status.c and
 * router_weights.c. */
struct router_records {
	struct usage_entry *usage;                /* stb_ds */
	struct decision_counts **decision_counts; /* stb_ds, by route index; NULL: none yet */
	int64_t decisions_logged_at_ms;
	int64_t violation_logged_at_ms; /* 0: never */
};

/* State of a graceful shutdown. Written by router.c. */
struct router_shutdown {
	bool in_progress;
	struct shutdown_deadlines deadlines;
};

/* A router. Its process owns it; only router_step and the functions of lib/data modify it. */
struct router {
	uint64_t id;
	uint64_t addr;
	const char *zone_name;
	uint64_t zone_hash;
	apr_pool_t *pool;
	apr_pool_t *scratch_pool;          /* cleared by each user */
	struct json_tokener *json_tokener; /* reused for all JSON texts */
	struct router_clock clock;
	struct router_config config;
	struct relay relay; /* purge relay to other routers */
	struct router_names names;
	struct router_requests requests;
	struct router_queueing queueing;
	struct router_quota quota;
	struct router_servers servers;
	struct router_cache cache;
	struct router_cache_feed feed;
	struct router_load load;
	struct router_lookups lookup;
	struct router_retention retention;
	struct router_stats stats;
	struct router_records records;
	struct router_shutdown shutdown;
	/* baseline for comparisons: placement by load alone, reusing only what the server happens to cache */
	bool naive_placement;
	void (*log)(void *context, const char *subsystem, const char *line);
	void *log_context;
};

/* Initializes a router, which owns its memory until router_close. The string zone must live as long as the
 * router. seeds: addresses of the controllers to contact first. Example: router_open(&router, id, addr, "z1",
 * seeds, 3, now); */
void router_open(struct router *router, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds,
		 int seed_count, int64_t now);

/* Frees the router and all requests in progress, without answering their clients. */
void router_close(struct router *router);

/* Handles one event and appends the resulting commands to out. now: time in ms on a monotonic clock. Example:
 * router_step(&router, &(struct router_event){ .kind = ROUTER_EVENT_TICK }, now, &out); */
void router_step(struct router *router, const struct router_event *event, int64_t now,
		 struct command_list *out);

/* The time, in ms on the router's clock, until which responses that rely on the present configuration may be
 * sent to clients. After it, keys that are still valid in this router's configuration may have been removed.
 * Example: web_good_until(web, router_config_valid_until(&router)); */
int64_t router_config_valid_until(const struct router *router);

/* Whether the router may report readiness: its configuration is in force and it is not shutting down. */
bool router_ready(const struct router *router, int64_t now);

/* Checks the invariant that each request received has either ended exactly once or is in progress. Always
 * true; tests check it after each step. */
bool router_outcomes_balance(const struct router *router);

/* Whether no request is in progress and no claim is to be released, so that a shutdown may complete. */
bool router_idle(const struct router *router);

/* The usage so far as CSV, allocated in the caller's pool: lane,tenant,exchanges,tokens,reused,pieces,errors.
 */
const char *router_usage_csv(const struct router *router, apr_pool_t *pool);

#endif
