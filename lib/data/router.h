/* router: admits clients' requests, chooses a server for each, sends them, and passes the answers on; keeps
 * an index of what servers cache; relays purges. One pure step: router_step takes one event and the time and
 * appends commands, which the shell carries out. It does no input or output itself, and one thread calls it.
 * Everything here is soft state: a router that starts is empty, and learns configuration, purges and caches
 * again from the fleet. */
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

/* What this router has done since it started; served at /v1/state and /metrics. */
struct router_stats {
	uint64_t received; /* requests; equals the sum of outcomes and those under way */
	uint64_t outcomes[REQUEST_OUTCOMES];
	uint64_t sends;
	uint64_t resends;
	uint64_t resumed; /* streams, at another server */
	uint64_t chunks;
	uint64_t tokens;              /* of prompts sent */
	uint64_t reused;              /* of those, tokens that were expected to be cached at the server */
	uint64_t fetched;             /* tokens to be fetched from another server or the store */
	uint64_t sends_without_cache; /* while the purge view was not current */
	uint64_t claims;              /* proposals of claims and releases */
	uint64_t report_polls;
	uint64_t watches;
	uint64_t events;            /* of caches */
	uint64_t wrong_incarnation; /* answers of another server, or other weights, than the one sent to */
	uint64_t refused_stale;     /* configuration not certain to be in force */
	uint64_t refused_queue_full;
	uint64_t refused_deadline;     /* passed before a send */
	uint64_t refused_early;        /* no server, or the deadline was out of reach */
	uint64_t revoked;              /* key removed */
	uint64_t ended_without_config; /* out of touch with the controllers */
	uint64_t lookups_used;         /* of prefixes: answered in time */
	uint64_t lookups_missed;
	uint64_t lookups_answered; /* for other routers */
	uint64_t recalled;         /* sends recalled shortly before their weights' rollout bound */
	uint64_t sent_past_bound;  /* sends to servers whose weights were past their bound: a fault, if any */
	uint64_t begun_past_bound; /* requests that began on weights past their bound: a fault, if any */
};

/* Usage of one tenant on one route, for billing. */
struct usage_entry {
	uint64_t key; /* route index << 32 | tenant index */
	struct {
		uint64_t requests;
		uint64_t tokens;
		uint64_t reused; /* tokens */
		uint64_t chunks;
		uint64_t errors;
	} value;
};

/* A claim that is given up, proposed again until the controllers have committed it. */
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

/* Time as the step under way has it, in ms. */
struct router_clock {
	int64_t now;
	int64_t started_at_ms;
	int64_t paused_at_ms; /* when this process last continued after it had not been scheduled; 0: never */
};

/* Configuration in force. router.c, router_route_table.c */
struct router_config {
	struct config_watch watch;
	struct bounds bounds;
	struct route_table *route_table; /* NULL: none yet */
	struct server_table *server_table;
	uint32_t serving_servers; /* in it */
};

/* Dense indices of names. */
struct router_names {
	struct name_table routes;
	struct name_table tenants;
	struct name_table services;
	struct name_table servers;
	struct name_table weights;
};

/* All requests that have not ended. router_outcome.c */
struct router_requests {
	struct client_request **all; /* stb_ds */
	struct {
		uint64_t key; /* token of the client, of the claim or of the call */
		struct client_request *value;
	} * by_token;                         /* stb_ds */
	struct claim_release *claim_releases; /* stb_ds */
	uint64_t last_sequence;
	uint64_t last_token;
};

/* Requests that wait. router_queue.c, router_dispatch.c */
struct router_queueing {
	struct request_queue *queues; /* stb_ds */
	struct {
		uint64_t key; /* route index << 32 | tenant index */
		uint32_t value;
	} * by_owner; /* stb_ds: place in queues */
	int64_t next_dispatch_at_ms;
	uint64_t retry_jitter_draws;
};

/* Quota and retry budgets. router_quota.c, router_retry.c */
struct router_quota {
	uint32_t *tenant_running; /* stb_ds, by tenant index: requests that hold a slot */
	int64_t *retry_budget;    /* stb_ds, by service index: thousandths of a retry */
};

/* Servers as they were observed; arrays by server index. */
struct router_servers {
	struct router_server_state *states; /* stb_ds */
	uint64_t *hashes;                   /* stb_ds: of names, so that every router ranks alike */
	struct {
		uint64_t key;
		uint32_t value;
	} * by_hash;                    /* stb_ds: server index */
	int *cached_depth;              /* stb_ds: leading blocks cached there; of the placement under way */
	int64_t *last_serving_at_ms;    /* stb_ds, by service index: when a server of it last served */
	struct link_observation *links; /* stb_ds */
};

/* What servers cache. router_cache_watch.c, router_reports.c */
struct router_cache {
	struct prefix_index index;
	uint64_t isolation_tick;         /* newest purge of a tenant in the purge view */
	double average_full_watch_bytes; /* of a server's full answer, smoothed */
};

/* Cache events on their way to the zone, at its head. router_cache_feed.c */
struct router_cache_feed {
	uint32_t *queue; /* stb_ds: servers with events that the zone has not been sent; who has waited
			    longest first */
	int64_t sent_at_ms;
	int64_t link_free_at_ms; /* when the feed's share of the link has carried what was sent */
};

/* Load that routers publish to each other; arrays by server index. router_load.c */
struct router_load {
	struct load_source *sources;     /* stb_ds */
	struct load_cell *sent_to_head;  /* stb_ds: as last published, to the zone's head */
	struct load_cell *sent_to_zone;  /* stb_ds: to the zone's routers */
	struct load_cell *sent_to_heads; /* stb_ds: to heads of other zones */
	struct load_cell *others;        /* stb_ds: what other routers have under way */
	int64_t others_at_ms;
	int64_t sent_at_ms;
	int64_t full_sent_at_ms;
	int64_t zone_sent_at_ms;
	bool changed; /* a send has left or begun since the last message */
};

/* Prefix lookups at the head of the zone. router_prefix_lookup.c */
struct router_lookups {
	double round_trip_ms; /* smoothed */
	int consecutive_misses;
	int64_t next_probe_at_ms; /* when a head that does not answer is asked again */
};

/* Purges of context by schedule. router_retention.c */
struct router_retention {
	uint64_t *
	    generations; /* stb_ds, by scope and slice; emptied when a purge or another route table arrives */
	int64_t purged_at_ms;    /* when the last purge had arrived completely */
	int64_t scan_at_ms;      /* when the scan for what servers still cache of before began */
	ptrdiff_t scan_position; /* rows of the index that the scan still has before it */
	struct Nl__CacheRemainder *remainders; /* stb_ds: what it has found */
};

/* Records of what was decided and done. router_metrics.c, router_weights.c */
struct router_records {
	struct usage_entry *usage;                /* stb_ds */
	struct decision_counts **decision_counts; /* stb_ds, by route index; NULL: none yet */
	int64_t decisions_logged_at_ms;
	int64_t violation_logged_at_ms; /* 0: never */
};

/* A graceful shutdown. router.c */
struct router_shutdown {
	bool in_progress;
	struct shutdown_deadlines deadlines;
};

/* A router. Owned by its process; only router_step and the functions of lib/data change it. */
struct router {
	uint64_t id;
	uint64_t addr;
	const char *zone_name;
	uint64_t zone_hash;
	apr_pool_t *pool;
	apr_pool_t *scratch_pool;          /* emptied by whoever uses it */
	struct json_tokener *json_tokener; /* reused for all texts */
	struct router_clock clock;
	struct router_config config;
	struct relay relay; /* purges */
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
	bool naive_placement; /* for comparison: places by load alone and reuses what happens to be cached */
	void (*log)(void *context, const char *subsystem, const char *line);
	void *log_context;
};

/* Prepares a router. It owns its memory until router_close; zone must live as long. seeds: addresses of
 * controllers to begin with. Example: router_open(&router, id, addr, "z1", seeds, 3, now); */
void router_open(struct router *router, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds,
		 int seed_count, int64_t now);

/* Frees everything, requests under way included, without a word to their clients. */
void router_close(struct router *router);

/* One step: takes an event, appends commands to out. now: ms on a clock that never steps back.
 * Example: router_step(&router, &(struct router_event){ .kind = ROUTER_EVENT_TICK }, now, &out); */
void router_step(struct router *router, const struct router_event *event, int64_t now,
		 struct command_list *out);

/* Until when what is held here may go to clients, in ms on the router's clock: after it keys may have been
 * removed that still hold here. Example: web_good_until(web, router_config_valid_until(&router)); */
int64_t router_config_valid_until(const struct router *router);

/* Whether it may report ready: its configuration is in force and it is not shutting down. */
bool router_ready(const struct router *router, int64_t now);

/* Whether each request received has ended once or is under way. Always true; tests check it after each
 * step. */
bool router_balanced(const struct router *router);

/* Whether nothing is under way, so that a shutdown may end. */
bool router_idle(const struct router *router);

/* Usage so far as CSV, in the caller's pool: lane,tenant,exchanges,tokens,reused,pieces,errors. */
const char *router_usage(const struct router *router, apr_pool_t *pool);

#endif
