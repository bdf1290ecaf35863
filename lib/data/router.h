/* ctr: a router's duties as one pure step: takes exchanges into lines, claims, assigns, sends, passes
 * the stream on, keeps the index and its purge view, relays purges. */
#ifndef NL_ROUTER_H
#define NL_ROUTER_H

#include "config_watch.h"
#include "prefix_index.h"
#include "mechanism.h"
#include "purge.h"
#include "router_decision.h"

enum {
	ROUTER_REPORT_POLL_INTERVAL_MS = 500,  /* ms between looks at a server's report */
	ROUTER_RELAYED_REPORT_VALID_MS = 1200, /* ms for which a relay's word spares an own look */
	ROUTER_REPORT_VALID_MS = 3000,         /* a report older than this does not vouch for a server */
	ROUTER_UNREACHABLE_BACKOFF_MS = 1000,  /* ms a server that could not be reached is left alone */
	ROUTER_CLAIM_RETRY_INTERVAL_MS = 300,  /* ms before a claim is asked again, of another controller */
	ROUTER_CLAIM_MAX_AGE_MS = 60000,       /* ms after which a claim is too old to send with */
	ROUTER_FETCH_MAX_WAIT_MS = 2000,       /* ms that a server waits for a fetch at the most */
	ROUTER_LINK_SLOWDOWN_HALF_LIFE_MS = 10000, /* ms in which half of a link's slowness is forgotten */
	ROUTER_LINK_SLOWDOWN_MAX = 64,
	ROUTER_CLAIM_RELEASE_MAX_MS = 15000, /* ms for which a claim is given back again and again */
	ROUTER_MAX_BLOCKS = 64,
	ROUTER_MAX_REPORTED_BLOCKS = 20000, /* kept parts of one report that are heeded */
	ROUTER_MAX_WEIGHTS_NAMES = 4096,    /* names of weights that reports may bring */
	ROUTER_TIMEOUT_MIN_MS = 50,
	ROUTER_TIMEOUT_MAX_MS = 600000,
	ROUTER_TIMEOUT_DEFAULT_MS = 60000,
	ROUTER_RETRY_COST_MILLI = 1000,           /* what one resend takes from a service's budget */
	ROUTER_RETRY_EARNED_PER_SEND_MILLI = 200, /* resends per mille of sends */
	ROUTER_RETRY_BUDGET_MAX_MILLI = 2000,     /* saved up at most: two resends */
	ROUTER_CONFIG_MAX_STALENESS_MS =
	    CONFIG_WATCH_MAX_STALENESS_MS,     /* ms of not knowing that are ridden out; then all that is held
						  here ends */
	ROUTER_QUOTA_REQUEST_INTERVAL_MS = 50, /* ms between askings for places that are lacked */
	ROUTER_FIRST_CHUNK_OVERHEAD_MS = 35,   /* what a first piece takes besides reading */
	ROUTER_LATENESS_MAX_MS = 1000,
	ROUTER_FULL_SERVER_BACKOFF_MS = 150,
	ROUTER_RETRY_MIN_REMAINING_MS = 50,
	ROUTER_MAX_UNREACHABLE_SENDS = 4,
	ROUTER_STREAM_MIN_PATIENCE_MS = 2000, /* ms of silence that a stream's client bears at the least */
	ROUTER_AVOID_SERVER_MS =
	    300, /* ms for which a request goes to another server than the one that gave it back */
	ROUTER_CACHE_WATCH_WAIT_MS = 1000,
	ROUTER_FULL_WATCH_LINK_MS =
	    150, /* of a router's link that first answers of servers may take at once */
	ROUTER_FULL_WATCH_INITIAL_BYTES =
	    65536,                            /* what a first answer is taken to bring until some have come */
	ROUTER_CACHE_EVENT_BYTES = 50,        /* of an event as servers say it */
	ROUTER_CACHE_WATCH_INTERVAL_MS = 300, /* ms that a server holds a watch; between two of them */
	ROUTER_MAX_INDEXED_REPLICAS = 1000000, /* copies of parts that the index holds at the most */
	ROUTER_UNCACHED_SERVER_COST_MS = 40,
	ROUTER_UNCACHED_COST_MS_PER_1000_TOKENS =
	    12, /* ms that a server counts as dearer which does not keep the prefix, also by 1000 tokens of
		   it: it pushes others' out */
	ROUTER_CACHE_FEED_INTERVAL_MS = 75, /* ms between words of kept parts to the zone */
	ROUTER_WARM_UP_MS =
	    10000, /* ms after a start in which a router is no other's upstream if it can be helped */
	ROUTER_STARTUP_MS =
	    1300, /* ms that a router and its fleet take from a start to a configuration in force */
	ROUTER_RETRY_FAST_MS = 60, /* ms after which one that a single server turned away may come back */
	ROUTER_DISPATCH_INTERVAL_MS = 10, /* ms between weighings of lines that nobody has room for */
	ROUTER_MAX_PREFILL_WAIT_MS = 800, /* ms of reading that may be ahead of a send at its server */
	ROUTER_MAX_RESIDENT_PERCENT =
	    80, /* of a server's memory that what runs may take, in per cent: the rest is for kept parts */
	ROUTER_ASSUMED_REQUEST_TOKENS = 5000, /* tokens that others' requests are taken to hold */
	ROUTER_STORE_SILENCE_MAX_MS =
	    3500, /* ms after the last word of a store's events for which it counts as up */
	ROUTER_DECISIONS_LOG_INTERVAL_MS = 2000, /* ms between lines of decisions in an experiment's log */
	ROUTER_LOAD_INTERVAL_MS = 50,
	ROUTER_LOAD_CHANGED_INTERVAL_MS = 20, /* ms between words of load where sends have left or begun */
	ROUTER_LOAD_FULL_INTERVAL_MS = 1000,
	ROUTER_LOAD_VALID_MS =
	    2500, /* ms between words of load; between whole ones; after which one is forgotten */
	ROUTER_FETCH_MAX_MS = 400, /* ms that a fetch may take before reading anew is the better */
	ROUTER_OFFLOAD_MAX_LINK_WAIT_MS =
	    80,                       /* ms of moves at the store beyond which nothing more is left there */
	ROUTER_FETCH_OVERHEAD_MS = 6, /* what a fetch takes besides moving */
	ROUTER_OTHERS_LOAD_HALF_LIFE_MS = 1000,
	ROUTER_LATENESS_HALF_LIFE_MS = 1500,
	ROUTER_FAILURE_HALF_LIFE_MS = 3000, /* ms in which half of what was seen is forgotten */
	ROUTER_FAILURE_COST_MS = 1500,      /* what a server costs of whose sends all broke off lately */
	ROUTER_CONTACT_MARGIN_MS = 150,
	ROUTER_STALENESS_MARGIN_MS = 500, /* ms by which the ride ends before the strictest bound */
	ROUTER_ROLLOUT_SEND_MARGIN_MS =
	    1500, /* ms before a roll-out's bound after which older weights are sent nothing more */
	ROUTER_ROLLOUT_DEADLINE_MARGIN_MS =
	    4000, /* ms before that bound from which on it is the deadline of a send to older weights */
	ROUTER_ROLLOUT_RECALL_MARGIN_MS =
	    300, /* ms before that bound at which what has not begun on older weights is taken back */
	ROUTER_VIOLATION_LOG_INTERVAL_MS = 1000, /* ms between log lines on violations of an invariant */
	ROUTER_PAUSE_DETECTION_MS =
	    200, /* ms between two steps after which this process counts as having stood still */
	ROUTER_BEGIN_NOTICE_DELAY_MS = 250, /* ms that a request's begin may be on its way here */
	ROUTER_RETRY_AFTER_MIN_MS = 500,    /* ms after which a refused caller may come back, at the least */
	ROUTER_RETRY_AFTER_MAX_MS = 30000
};

#define ROUTER_STEP_MS 0.4 /* ms that each request running at a server costs another */

enum router_event_kind {
	ROUTER_EVENT_TICK,
	ROUTER_EVENT_MESSAGE,
	ROUTER_EVENT_CLAIMED_REQUEST,
	ROUTER_EVENT_CLIENT_DISCONNECTED,
	ROUTER_EVENT_STREAM_CHUNK,
	ROUTER_EVENT_CALL_ENDED,
	ROUTER_EVENT_REPORT_POLLED,
	ROUTER_EVENT_HTTP_GET,
	ROUTER_EVENT_STOP, /* a planned stop: what comes from now on is refused */
	ROUTER_EVENT_FORWARDED_REQUEST,
	ROUTER_EVENT_FORWARD_BEGAN,
	ROUTER_EVENT_FORWARD_ENDED,
	ROUTER_EVENT_CACHE_WATCHED
};

/* An exchange whose text stays at the door; what is decided by is here. Strings live until the step is over.
 */
struct request_block {
	uint64_t hash;
	uint32_t tokens;
};
struct forwarded_request {
	uint64_t token;
	const char *key_digest; /* of the key; NULL: none was shown */
	const char *host, *path, *id;
	int limit_ms;
	uint32_t input_tokens, output_tokens;
	int block_count;
	struct request_block blocks[64]; /* in order; the last is the exchange's own */
	int client_resumes;              /* the caller itself takes up a stream */
};

/* The times of a planned stop. Past send_until nothing more is sent, and what waits is refused, so that
 * another router may have it in time; past run_until what still runs ends, so that its caller hears so before
 * the process ends. 0: not known. */
struct shutdown_deadlines {
	int64_t send_deadline_at_ms, run_deadline_at_ms;
};

/* How a forwarded send ended. */
enum forward_end {
	FORWARD_COMPLETE,    /* the server's whole answer has gone to the caller, whatever its status */
	FORWARD_NOT_STARTED, /* the server surely never began: no byte left, or it says so; the caller has
				heard nothing of it */
	FORWARD_BROKEN_OFF   /* it may have begun; began says whether the caller has seen a head and pieces */
};
struct forward_result {
	uint64_t token;
	enum forward_end end;
	int status; /* 0: no answer */
	int has_begun;
	uint32_t chunks;             /* whole pieces passed on by this send */
	const char *last_event_id;   /* id of the last of them; NULL: none */
	int running, waiting, slots; /* the server's load as it says; slots 0: it does not say */
	const char *weights;         /* that it names; NULL: none */
	int wrong_incarnation;       /* the address answers for another server, or other weights */
};

struct router_event {
	enum router_event_kind kind;
	union {
		const struct Nl__Msg *message;
		struct {
			uint64_t token;
			const char *key_digest, *body;
		} claimed_request;
		struct {
			uint64_t token;
		} client_disconnected;
		struct {
			uint64_t token;
			const char *text;
		} stream_chunk;
		/* never: the server surely never began */
		struct {
			uint64_t token;
			int status, complete, not_started;
			const char *body;
		} call_ended;
		struct {
			uint64_t token;
			int status;
			const char *body;
		} report_polled;
		struct {
			uint64_t token;
			const char *path;
		} http_get;
		struct shutdown_deadlines shutdown;
		const struct forwarded_request *forwarded_request;
		struct {
			uint64_t token;
			const char *weights;
		} forward_began; /* the first piece has gone to the caller */
		const struct forward_result *forward_ended;
		struct {
			uint64_t token;
			const struct Nl__CacheUpdate *update;
			int status;
		} cache_watched; /* answer to a watch */
	} u;
};

/* Names that came in at the door, as dense indices for the life of the process. */
struct name_entry {
	char *key;
	uint32_t value;
};
struct row_index {
	struct name_entry *index;
	char **names;
};
uint32_t names_id(struct row_index *names, const char *name);
int names_find(const struct row_index *names, const char *name); /* -1: never seen */

/* The table as the data plane reads it: immutable, swapped whole at each edition. */
struct route_split {
	uint32_t service_index, cumulative_weight;
}; /* upto: weights up to and with this one */
struct route_config {
	int is_configured, resumable, idempotent, client_deduplicates, key_optional;
	uint32_t service_index, priority, queue_limit, latency_target_ms, max_gap_ms, timeout_ms,
	    max_attempts;
	const char *host, *path;
	const struct route_split *splits;
	uint32_t split_count;
};
struct tenant_config {
	int is_configured, isolated;
	uint32_t share, concurrency_limit, priority_class;
};
/* weights: those named newest; model: whose weights they are, with the dates of their namings; NULL: no bound
 * holds for them */
struct service_config {
	int is_configured;
	uint32_t target_weights, prefill_tokens_per_ms, kv_bytes_per_token, link_bytes_per_ms,
	    store_bytes_per_ms, slots, max_watches, max_connections;
	uint64_t capacity_tokens;
	int store_server;
	const struct Nl__Row *model_row;
};
struct route_match {
	uint64_t key;
	uint32_t value;
}; /* hash of host and path -> lane */
/* One server's life, from the table or the list of servers. */
struct server_config {
	int is_configured, draining, is_store;
	uint32_t service_index;
	const char *addr;
	uint64_t packed_addr, zone_hash;
};
/* Who stands: swapped whole like the route_table, but far more often. */
struct server_table {
	apr_pool_t *pool;
	struct server_config *servers;
	uint32_t server_count;
};
struct share_config {
	uint64_t key;
	struct {
		uint32_t share, concurrency_limit;
	} value;
};
/* A scope whose context is cleared by itself, and so lies on cache namespaces of its own; -1: all lanes, all
 * tenants. */
struct cache_scope {
	int route_index, tenant_index;
	const char *route_name, *tenant_name;
	uint64_t hash;
};
struct key_entry {
	char *key;
	uint32_t value;
};
struct route_table {
	uint64_t revision;
	apr_pool_t *pool;
	struct route_config *routes;
	struct tenant_config *tenants;
	struct service_config *services;
	uint32_t route_count, tenant_count, service_count;
	uint32_t anonymous_tenant; /* the tenant of exchanges that show no key */
	int *stores; /* stores that serve all services: servers, by rendezvous of what is left there */
	uint32_t store_count;
	int has_keys, has_limits; /* any key; any limit of places */
	struct {
		uint32_t max_head_bytes, max_body_bytes, head_timeout_ms, idle_timeout_ms;
	} listener;                  /* what callers may send, in bytes and ms; 0: as the program has it */
	uint64_t isolation_hash;     /* hash over the tenants that are walled off */
	struct route_match *matches; /* stb_ds */
	struct cache_scope *scopes;  /* stb_ds */
	struct share_config *shares; /* stb_ds: lane << 32 | tenant */
	struct key_entry *keys;      /* stb_ds: digest -> tenant */
};

/* Generations of weights that servers of a service have at once, as far as they are told apart. */
enum { MAX_GENERATIONS = 4 };

/* A server that keeps leading parts of a prompt under a cache namespace, as the head of the zone has said. */
struct cached_prefix {
	uint32_t server_index, depth;
	uint64_t cache_namespace;
};

enum lookup_state {
	LOOKUP_NONE,    /* nobody was asked, or is waited for */
	LOOKUP_PENDING, /* the answer is waited for */
	LOOKUP_ANSWERED,
	LOOKUP_MISSED /* no answer came in time */
};

enum request_state { REQUEST_WAITING, REQUEST_CLAIMING, REQUEST_RUNNING };

/* How a request that was taken ended. Each has exactly one outcome: router_outcome.c. */
enum request_outcome {
	REQUEST_ANSWERED,   /* a server's whole answer went to its client, whatever the answer's status */
	REQUEST_REFUSED,    /* it never ran and never will; its client was told when to come back */
	REQUEST_REJECTED,   /* it never ran and never will; its client was told by a 4xx what is wrong with it
			     */
	REQUEST_BROKEN_OFF, /* it may have run; its client was told an error, or its stream was ended as not
			       whole */
	REQUEST_CLIENT_DISCONNECTED, /* its client left before it ended */
	REQUEST_OUTCOMES
};

struct client_request {
	uint64_t token, seq, claim_token, call_token;
	enum request_state state;
	apr_pool_t *pool;
	char *key_digest, *id, *attempt_id, *tail_text;
	const char *host, *path; /* of a forwarded one: a newer table places it again by them */
	uint64_t route_revision; /* of the table that it was last placed by */
	uint32_t route_index, tenant_index, service_index;
	int64_t deadline_at_ms, received_at_ms, claim_sent_at_ms, sent_at_ms, claim_started_at_ms;
	uint64_t claim_leader_addr; /* the controller that was asked for the claim */
	int block_count, is_claimed, has_begun, attempt_count, retry_reserved, unreachable_count;
	uint64_t block_hash[ROUTER_MAX_BLOCKS];
	const char *block_text[ROUTER_MAX_BLOCKS];
	uint32_t block_tokens[ROUTER_MAX_BLOCKS], tail_tokens;
	uint64_t next_chunk;      /* piece expected */
	int server_index;         /* -1: none chosen */
	uint32_t avoided_server;  /* the last server that gave it back */
	int64_t avoided_until_ms; /* until then it goes to another one */
	int64_t returned_at_ms;   /* when that was */
	uint64_t stamp_tick;
	uint32_t weights;
	int fetch_source;                     /* the server that kept parts are fetched from; -1: none */
	uint32_t expected_fetch_ms;           /* what the fetch should take, the link as the table has it */
	struct client_request *next_in_queue; /* in its line */
	/* what the text of stays at the door */
	int is_forwarded, may_have_run, idempotent, resumable, max_attempts,
	    request_index; /* slot: where it is among all */
	uint32_t priority, output_tokens, prefill_tokens, total_tokens,
	    uncached_tokens; /* brings: of its size, what its server did not keep; ahead: tokens that its send
				still has to read; size: all that it takes at a server */
	int offload_target;  /* the store that its parts are left at; -1: none */
	int64_t first_chunk_at_ms;      /* when its first piece went on; 0: none has */
	char *last_event_id;            /* the last whole piece that the caller has */
	uint64_t cache_namespace;       /* of its send */
	uint64_t namespace_key;         /* scope and generation of that cache_namespace */
	double expected_first_chunk_ms; /* ms that its first piece should take */
	struct decision decision;       /* of its newest send */
	enum lookup_state lookup_state; /* of its prefix, with the head of the zone */
	int64_t lookup_sent_at_ms, lookup_deadline_at_ms;
	uint64_t lookup_namespaces[MAX_GENERATIONS]; /* as they were asked for */
	int lookup_namespace_count, cached_prefix_count;
	struct cached_prefix *cached_prefixes; /* as it was answered */
};

/* still: since when its head has waited; gap: the usual ms between two heads that leave */
struct line {
	uint32_t route_index, tenant_index;
	char *name;
	struct client_request *head, *tail;
	uint32_t length, running;
	uint64_t pass;
	int64_t head_waiting_since_ms;
	double dequeue_interval_ms;
};

/* Events of one server's kept parts that the zone has not been told: of each part the newest. */
struct pending_cache_update {
	uint64_t epoch, next_event;
	int is_reset, is_queued; /* lost: what was known before no longer counts */
	struct {
		uint64_t key;
		struct {
			uint64_t namespace_key;
			int evicted;
		} value;
	} * events; /* stb_ds, by the part's key in the index */
};

struct router_server_state {
	struct pending_cache_update pending_update;
	int64_t reported_at_ms, polled_at_ms, unavailable_until_ms,
	    relayed_at_ms; /* told: when a relay last passed its report on */
	uint64_t poll_token, poll_sequence, report_serial, boot_id;
	uint32_t weights, listed_weights; /* seen: by the list; an answer's own word is newer */
	uint32_t purged_blocks;           /* parts in its last whole report that a clearing withdrew */
	int64_t inventory_at_ms;          /* when that report came */
	int unreadable_reports;           /* its last report could not be read; said once */
	int is_known, is_loading, slots, running, own_running,
	    others_running; /* running there: ours as we know it, others' by the last report */
	double average_run_ms;
	int64_t others_observed_at_ms, lateness_observed_at_ms, failure_observed_at_ms;
	uint32_t prefill_tokens;  /* tokens that ours still have to read there */
	uint64_t resident_tokens; /* of ours that run there, prompt and answer */
	double lateness_ms;       /* how much later than reckoned first pieces came lately */
	double failure_rate;      /* of late sends, the part that broke off; forgotten by and by */
	int connect_failures;     /* connections in a row that did not come up */
	uint64_t watch_token, cache_epoch,
	    next_cache_event;            /* a watch of its kept parts: the call, where it stands */
	int cache_listed, watch_is_full; /* all that it keeps was told once, and no event missed since; the
					    watch asks for that */
	double link_free_at_ms; /* when the moves from and to it that are under way should be done; ours stand
				   for all routers' */
	int64_t watched_at_ms, cache_update_at_ms; /* heard: a relay's word of its kept parts */
};

/* What is under way at servers, as one source says it: a router of the zone, another zone's head, or this
 * zone's head. */
struct load_cell {
	uint32_t prefill_tokens, running, resident_tokens;
};
struct load_source {
	uint64_t router_id;
	int scope;
	int64_t received_at_ms;
	uint64_t addr;
	struct load_cell *cells; /* stb_ds, by server */
};

/* What fetches from one server to another were seen to take, as a multiple of what the table says. */
struct link_observation {
	uint64_t key;
	struct {
		double slowdown;
		int64_t observed_at_ms;
	} value;
};

/* A claim that is given back, asked again until the part has heard of it. */
struct claim_release {
	uint64_t token, seq, leader_addr;
	uint32_t service, tenant;
	char *id;
	int64_t sent_at_ms, expires_at_ms;
};

struct router_stats {
	uint64_t outcomes[REQUEST_OUTCOMES];
	uint64_t received, sends, resends, chunks, tokens, reused, fetched, sends_without_cache, claims;
	uint64_t watches, events, resumed, wrong_incarnation, report_polls, refused_stale, refused_queue_full,
	    refused_deadline, refused_early, revoked, ended_without_config;
	uint64_t lookups_used, lookups_missed, lookups_answered; /* of prefixes: in time; not; for others */
	uint64_t
	    recalled; /* sends taken back because they had not begun shortly before their weights' bound */
	uint64_t sent_past_bound;  /* sends to servers whose weights were past their bound: a fault, if any */
	uint64_t begun_past_bound; /* requests that began on weights past their bound: a fault, if any */
};

struct usage_entry {
	uint64_t key;
	struct {
		uint64_t requests, tokens, reused, chunks, errors;
	} value;
};

struct router {
	uint64_t id, addr, last_token, last_sequence, retry_jitter_draws;
	const char *zone_name;
	struct config_watch config_watch;
	struct relay relay;
	struct prefix_index prefix_index;
	struct row_index route_names, tenant_names, service_names, server_names, weights_names;
	struct route_table *route_table;
	struct server_table *server_table;
	uint32_t serving_servers; /* servers in it that take requests */
	struct bounds bounds;
	struct load_source *load_sources; /* stb_ds: what others said */
	struct load_cell *load_sent_to_head, *load_sent_to_zone, *load_sent_to_heads,
	    *others_load; /* stb_ds, by server: last said to each; what others have under way */
	int64_t load_sent_at_ms, full_load_sent_at_ms, zone_load_sent_at_ms, others_load_at_ms;
	int load_changed; /* a send has left or begun since the last word */
	struct cache_namespace_entry {
		char *key;
		uint32_t value;
	} * shelves;             /* stb_ds: a cache_namespace's name as it goes to servers -> weights */
	int *cached_depth;       /* stb_ds, by server: leading parts kept there; of the assigning under way */
	uint64_t *server_hashes; /* stb_ds, by server: of its name, so that every router ranks alike */
	struct {
		uint64_t key;
		uint32_t value;
	} * server_by_hash; /* stb_ds: by that hash */
	struct {
		double round_trip_ms;     /* of answers, lately */
		int consecutive_misses;   /* in a row */
		int64_t next_probe_at_ms; /* when a head that does not answer is asked again */
	} lookup;
	int64_t decisions_logged_at_ms;
	struct decision_counts **decision_counts; /* stb_ds, by lane; NULL: none yet */
	uint64_t zone_hash;
	apr_pool_t *scratch_pool;
	uint64_t *retention_generations; /* stb_ds, by scope and slice; emptied when a clearing or another
					    route_table comes */
	int64_t now;                     /* of the step under way */
	int64_t violation_logged_at_ms;  /* 0: never */
	int64_t paused_at_ms; /* when this process last went on after it had stood still; 0: never */
	int64_t remainder_scan_at_ms,
	    purged_at_ms; /* a look at what servers still name began; the last clearing was heard of whole */
	ptrdiff_t remainder_scan_position;     /* how much of the index that look has before it */
	struct Nl__CacheRemainder *remainders; /* stb_ds: what it has found */
	int64_t started_at_ms, next_dispatch_at_ms;
	double average_full_watch_bytes; /* what a server's first answer brings, as they went lately */
	struct {
		uint32_t *queue; /* stb_ds: servers whose events the zone has not been told, who has waited
				    longest first */
		int64_t sent_at_ms,
		    link_free_at_ms; /* when it was last told; when the link has room for more */
	} feed;
	uint64_t isolation_tick; /* newest purge of a tenant in the view */
	struct {
		uint64_t key;
		uint32_t value;
	} * queue_by_owner; /* stb_ds: lane << 32 | tenant -> line */
	apr_pool_t *pool;
	struct json_tokener *json_tokener;   /* one for all that is read here, kept between texts */
	struct router_server_state *servers; /* stb_ds, by server index */
	struct line *queues;                 /* stb_ds */
	int64_t *last_serving_at_ms;         /* stb_ds, by service: when a server of it last stood */
	struct {
		uint64_t key;
		struct client_request *value;
	} * requests_by_token;                      /* stb_ds: token of a call, claim or caller */
	struct client_request **requests;           /* stb_ds */
	struct claim_release *claim_releases;       /* stb_ds */
	struct link_observation *link_observations; /* stb_ds: from << 32 | to */
	uint32_t *tenant_running;                   /* stb_ds: by tenant */
	int64_t *retry_budget;                      /* stb_ds, by service: resends saved up, per mille */
	struct router_stats stats;
	struct usage_entry *usage; /* stb_ds: lane << 32 | tenant */
	int is_stopping;
	struct shutdown_deadlines shutdown; /* of a planned stop */
	int naive_placement; /* to compare with: assign by load alone, and reuse what happens to be there */
	void (*log)(void *ctx, const char *prefix, const char *line);
	void *log_context;
};

/* Begin. Example: router_open(&c, id, addr, "z1", seeds, 3, now); */
void router_open(struct router *router, uint64_t id, uint64_t addr, const char *zone, const uint64_t *seeds,
		 int seed_count, int64_t now);
void router_close(struct router *router);

/* One step. Example: router_step(&c, &(struct router_ev){ .kind = ROUTER_TICK }, now, &o); */
void router_step(struct router *router, const struct router_event *event, int64_t now,
		 struct command_list *out);

/* Until when what is held here may go on to callers: past it keys may have been removed that still hold here.
 * Example: web_good_until(web, router_good_until(&c)); */
int64_t router_config_valid_until(const struct router *router);

/* Whether it may be called ready: it has a configuration that is in force, and is not stopping.
 * Example: answer(router_ready(&c, now) ? 200 : 503); */
int router_ready(const struct router *router, int64_t now);

/* Whether each request that was taken has ended once or is under way; it always holds.
 * Example: if (!router_balanced(&c)) fail("a request is lost"); */
int router_balanced(const struct router *router);

/* Whether nothing is under way. Example: if (stopping && router_idle(&c)) leave(); */
int router_idle(const struct router *router);

/* Usage so far as CSV: lane,tenant,exchanges,tokens,reused,pieces,errors. Example: router_usage(&c, pool) */
const char *router_usage(const struct router *router, apr_pool_t *pool);

#endif
