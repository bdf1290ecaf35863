/* router_limits: durations, bounds and cost factors used in the decisions of a router. Each name says what
 * the value bounds and in which unit. Settings of a deployment are in struct bounds (lib/core/mechanism.h).
 */
#ifndef NL_ROUTER_LIMITS_H
#define NL_ROUTER_LIMITS_H

#include "config_watch.h"

/* Limits on requests of clients. */
enum {
	ROUTER_TIMEOUT_MIN_MS = 50,
	ROUTER_TIMEOUT_MAX_MS = 600000,
	ROUTER_TIMEOUT_DEFAULT_MS = 60000,
	ROUTER_MAX_BLOCKS = 64 /* prefix blocks of one prompt */
};

/* For how long a router acts on a configuration that has not been confirmed, and the margins that derive this
 * bound from the bounds of the deployment. */
enum {
	/* when the configuration is older than this, all requests end except forwarded ones that a server
	   runs */
	ROUTER_CONFIG_MAX_STALENESS_MS = CONFIG_WATCH_MAX_STALENESS_MS,
	/* difference between the staleness bound and the strictest bound of the deployment */
	ROUTER_STALENESS_MARGIN_MS = 500,
	ROUTER_CONTACT_MARGIN_MS = 150, /* subtracted from the bounds on contact and on configuration age */
	/* a request that was placed within the staleness bound may leave the process this much later */
	ROUTER_SEND_LATENESS_MS = 200,
	/* for this time after the start of a router, other routers prefer a different upstream */
	ROUTER_WARM_UP_MS = 10000,
	ROUTER_FLEET_STARTUP_MS =
	    1300 /* time from the start of a fleet until its configuration is in force */
};

/* Reports of servers on their load and cached blocks, own interface. */
enum {
	ROUTER_REPORT_POLL_INTERVAL_MS = 500,
	/* after a relayed report the router does not poll the server itself for this time */
	ROUTER_RELAYED_REPORT_VALID_MS = 1200,
	ROUTER_REPORT_VALID_MS = 3000,      /* an older report is no evidence that the server is available */
	ROUTER_MAX_REPORTED_BLOCKS = 20000, /* cached blocks read from one report; the rest is ignored */
	ROUTER_MAX_WEIGHTS_NAMES = 4096     /* names of weights that reports may add to the name table */
};

/* Watches of servers' prefix caches, and the feed of cache events to the routers of a zone. */
enum {
	/* time for which a server holds a watch open when it has no new events */
	ROUTER_CACHE_WATCH_WAIT_MS = 1000,
	ROUTER_CACHE_WATCH_INTERVAL_MS = 300, /* interval between two watches of the same server */
	/* maximum link time used by complete cache lists in transfer at once */
	ROUTER_FULL_WATCH_MAX_LINK_MS = 150,
	/* assumed size of a complete cache list until one has been received */
	ROUTER_FULL_WATCH_INITIAL_BYTES = 65536,
	ROUTER_CACHE_EVENT_BYTES = 50,         /* size of one cache event in a server's answer */
	ROUTER_MAX_INDEXED_REPLICAS = 1000000, /* maximum number of block replicas in the prefix index */
	/* interval between cache updates sent to the routers of the zone */
	ROUTER_CACHE_FEED_INTERVAL_MS = 75,
	/* an offload store counts as available for this time after its last cache update */
	ROUTER_STORE_SILENCE_MAX_MS = 3500
};

/* Claims, which ensure that a request of the own interface runs at most once. */
enum {
	ROUTER_CLAIM_RETRY_INTERVAL_MS = 300,
	/* a claim older than this is not used for a send: it could expire before the request has ended */
	ROUTER_CLAIM_MAX_AGE_MS = 60000,
	/* a claim release is proposed again until this much time has passed */
	ROUTER_CLAIM_RELEASE_MAX_MS = 15000
};

/* Retries, and the retry-after times sent to clients. */
enum {
	/* thousandths of a retry that each retry takes from the retry budget of its service */
	ROUTER_RETRY_COST_MILLI = 1000,
	ROUTER_RETRY_EARNED_PER_SEND_MILLI = 200, /* added to the budget by a first attempt */
	ROUTER_RETRY_BUDGET_MAX_MILLI = 2000,     /* maximum of the budget */
	/* minimum time before its deadline for a request to be sent again */
	ROUTER_RETRY_MIN_REMAINING_MS = 50,
	/* maximum attempts of one request at servers that did not accept a connection */
	ROUTER_MAX_UNREACHABLE_SENDS = 4,
	/* time for which a request avoids a server that returned it */
	ROUTER_RETURNED_SERVER_AVOIDANCE_MS = 300,
	/* time without requests to a server after a failed connection */
	ROUTER_UNREACHABLE_BACKOFF_MS = 1000,
	/* time without requests to a server that reported to be full or to be loading weights */
	ROUTER_FULL_SERVER_BACKOFF_MS = 150,
	ROUTER_RETRY_AFTER_SINGLE_SERVER_MS =
	    60, /* retry-after time when a single server rejected the request */
	ROUTER_RETRY_AFTER_MIN_MS = 500,
	ROUTER_RETRY_AFTER_MAX_MS = 30000,
	ROUTER_CLIENT_MIN_STREAM_TIMEOUT_MS = 2000 /* gap between two chunks that every client tolerates */
};

/* Queues and quotas. */
enum {
	ROUTER_DISPATCH_INTERVAL_MS = 10, /* interval between dispatch passes while no server has capacity */
	/* interval between requests to the controllers for missing quota slots */
	ROUTER_QUOTA_REQUEST_INTERVAL_MS = 50
};

/* Placement: the cost of sending a request to a server, and the capacity of a server. */
enum {
	ROUTER_FIRST_CHUNK_OVERHEAD_MS = 35, /* time to the first chunk of an answer in addition to prefill */
	ROUTER_LATENESS_MAX_MS = 1000,       /* maximum lateness recorded for one first chunk */
	ROUTER_LATENESS_HALF_LIFE_MS = 1500,
	ROUTER_FAILURE_HALF_LIFE_MS = 3000,
	ROUTER_FAILURE_COST_MS = 1500, /* cost of a server all of whose recent attempts were broken off */
	ROUTER_OTHER_ROUTERS_LOAD_HALF_LIFE_MS = 1000,
	/* cost of a server that does not cache the prefix: caching it there evicts other prefixes */
	ROUTER_PREFIX_NOT_CACHED_COST_MS = 40,
	ROUTER_UNCACHED_COST_MS_PER_1000_TOKENS = 12,
	ROUTER_MAX_PREFILL_WAIT_MS = 800, /* maximum prefill time queued at a server ahead of a request */
	/* share of a server's memory for running requests; the rest is for cached blocks */
	ROUTER_MAX_RESIDENT_PERCENT = 80,
	/* tokens assumed for a request of another router whose size is unknown */
	ROUTER_ASSUMED_REQUEST_TOKENS = 5000
};
/* Time that each running request adds to the decode step of another request at the same server. */
#define ROUTER_DECODE_STEP_SLOWDOWN_MS 0.4

/* Transfers of cached blocks between servers and the offload store. */
enum {
	ROUTER_FETCH_MAX_WAIT_MS = 2000, /* maximum time that a server waits for a fetch, own interface */
	ROUTER_FETCH_MAX_MS = 400,       /* a slower fetch is not made, since prefill would take no longer */
	ROUTER_FETCH_OVERHEAD_MS = 6,    /* duration of a fetch in addition to its transfer */
	/* maximum wait at the store's link; beyond it no more blocks are offloaded */
	ROUTER_OFFLOAD_MAX_LINK_WAIT_MS = 80,
	ROUTER_LINK_SLOWDOWN_HALF_LIFE_MS = 10000,
	ROUTER_LINK_SLOWDOWN_MAX = 64 /* maximum slowdown factor of a link */
};

/* Load that routers publish to each other. */
enum {
	ROUTER_LOAD_INTERVAL_MS = 50,
	/* interval when an attempt was sent or began since the last message */
	ROUTER_LOAD_CHANGED_INTERVAL_MS = 20,
	/* interval between complete messages, which make up for lost ones */
	ROUTER_LOAD_FULL_INTERVAL_MS = 1000,
	ROUTER_LOAD_VALID_MS = 2500 /* time for which the load last received from a router is used */
};

/* Rollouts of weights: margins before the rollout bound, after which no request may begin on older weights.
 */
enum {
	ROUTER_ROLLOUT_SEND_MARGIN_MS = 1500, /* from here on nothing is sent to servers with older weights */
	/* from here on the rollout bound is also the deadline of requests sent to older weights */
	ROUTER_ROLLOUT_DEADLINE_MARGIN_MS = 4000,
	ROUTER_ROLLOUT_RECALL_MARGIN_MS = 300, /* attempts that have not begun by then are recalled */
	ROUTER_BEGIN_NOTICE_MAX_DELAY_MS =
	    250 /* maximum delay of the notification that a request has begun */
};

/* Logging and diagnostics. */
enum {
	/* interval of log lines with sums of decisions, in experiments only */
	ROUTER_DECISIONS_LOG_INTERVAL_MS = 2000,
	ROUTER_VIOLATION_LOG_INTERVAL_MS = 1000,
	/* a longer time between two steps means that the process was not scheduled */
	ROUTER_PAUSE_DETECTION_MS = 200
};

#endif
