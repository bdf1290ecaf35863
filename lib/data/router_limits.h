/* router_limits: the time spans, bounds and cost factors that a router's decisions go by. Each name says what
 * the value bounds and in which unit; what a deployment sets itself is in struct bounds
 * (lib/core/mechanism.h). */
#ifndef NL_ROUTER_LIMITS_H
#define NL_ROUTER_LIMITS_H

#include "config_watch.h"

/* Requests as clients send them. */
enum {
	ROUTER_TIMEOUT_MIN_MS = 50,
	ROUTER_TIMEOUT_MAX_MS = 600000,
	ROUTER_TIMEOUT_DEFAULT_MS = 60000,
	ROUTER_MAX_BLOCKS = 64 /* prefix blocks of one prompt */
};

/* Configuration: how long an unconfirmed one is acted on, and how that bound is derived from the
 * deployment's. */
enum {
	/* Beyond it everything that waits here ends */
	ROUTER_CONFIG_MAX_STALENESS_MS = CONFIG_WATCH_MAX_STALENESS_MS,
	/* Kept between the staleness bound and the strictest bound of a deployment */
	ROUTER_STALENESS_MARGIN_MS = 500,
	ROUTER_CONTACT_MARGIN_MS = 150, /* kept below the bounds on contact and on configuration */
	/* A send may leave this process so much later than that bound allows */
	ROUTER_SEND_LATENESS_MS = 200,
	ROUTER_WARM_UP_MS = 10000, /* after a start: other routers prefer another upstream */
	ROUTER_STARTUP_MS = 1300   /* from a fleet's start until configuration is in force */
};

/* Reports of servers, the product's own interface. */
enum {
	ROUTER_REPORT_POLL_INTERVAL_MS = 500,
	ROUTER_RELAYED_REPORT_VALID_MS = 1200, /* a relayed report replaces an own poll for so long */
	ROUTER_REPORT_VALID_MS = 3000,         /* an older report no longer shows that a server is up */
	ROUTER_MAX_REPORTED_BLOCKS = 20000,    /* cached blocks of one report that are read */
	ROUTER_MAX_WEIGHTS_NAMES = 4096        /* names of weights that reports may add */
};

/* Watches of servers' prefix caches, and the feed of cache events to the zone. */
enum {
	ROUTER_CACHE_WATCH_WAIT_MS = 1000,    /* a server holds an idle watch open for so long */
	ROUTER_CACHE_WATCH_INTERVAL_MS = 300, /* between two watches of one server */
	ROUTER_FULL_WATCH_LINK_MS = 150,      /* of the router's link that full answers may take at once */
	/* Assumed size of a full answer until some have been measured */
	ROUTER_FULL_WATCH_INITIAL_BYTES = 65536,
	ROUTER_CACHE_EVENT_BYTES = 50,         /* size of one event in a server's answer */
	ROUTER_MAX_INDEXED_REPLICAS = 1000000, /* block replicas that the prefix index holds */
	ROUTER_CACHE_FEED_INTERVAL_MS = 75,    /* between cache updates to the zone */
	/* An offload store counts as up for so long after its last update */
	ROUTER_STORE_SILENCE_MAX_MS = 3500
};

/* Claims, which make a request of the own interface run at most once. */
enum {
	ROUTER_CLAIM_RETRY_INTERVAL_MS = 300,
	ROUTER_CLAIM_MAX_AGE_MS = 60000,    /* an older claim might lapse before what is sent under it ends */
	ROUTER_CLAIM_RELEASE_MAX_MS = 15000 /* a release is repeated for so long */
};

/* Retries and answers that ask clients to come back. */
enum {
	/* Thousandths of a retry that one retry takes from its service's budget */
	ROUTER_RETRY_COST_MILLI = 1000,
	ROUTER_RETRY_EARNED_PER_SEND_MILLI = 200, /* that a first send adds to it */
	ROUTER_RETRY_BUDGET_MAX_MILLI = 2000,     /* that can be saved up */
	ROUTER_RETRY_MIN_REMAINING_MS = 50,       /* before its deadline, for a request to be sent again */
	/* Sends of one request to servers that did not accept a connection */
	ROUTER_MAX_UNREACHABLE_SENDS = 4,
	ROUTER_AVOID_SERVER_MS = 300,         /* a request avoids the server that returned it for so long */
	ROUTER_UNREACHABLE_BACKOFF_MS = 1000, /* after a failed connection */
	ROUTER_FULL_SERVER_BACKOFF_MS = 150,  /* after a server said that it is full or loading */
	ROUTER_RETRY_FAST_MS = 60,            /* retry-after where a single server rejected the request */
	ROUTER_RETRY_AFTER_MIN_MS = 500,
	ROUTER_RETRY_AFTER_MAX_MS = 30000,
	ROUTER_STREAM_MIN_PATIENCE_MS = 2000 /* silence in a stream that any client tolerates */
};

/* Queues and quota. */
enum {
	ROUTER_DISPATCH_INTERVAL_MS = 10,     /* between passes over queues while no server has capacity */
	ROUTER_QUOTA_REQUEST_INTERVAL_MS = 50 /* between requests for slots that are lacking */
};

/* Placement: what a send costs at a server, and what fits there. */
enum {
	ROUTER_FIRST_CHUNK_OVERHEAD_MS = 35, /* until the first chunk of an answer, besides prefill */
	ROUTER_LATENESS_MAX_MS = 1000,       /* lateness of one first chunk as it is counted */
	ROUTER_LATENESS_HALF_LIFE_MS = 1500,
	ROUTER_FAILURE_HALF_LIFE_MS = 3000,
	ROUTER_FAILURE_COST_MS = 1500, /* of a server all of whose recent sends broke off */
	ROUTER_OTHERS_LOAD_HALF_LIFE_MS = 1000,
	/* Of a server without the prefix: what it caches evicts other prefixes there */
	ROUTER_UNCACHED_SERVER_COST_MS = 40,
	ROUTER_UNCACHED_COST_MS_PER_1000_TOKENS = 12,
	ROUTER_MAX_PREFILL_WAIT_MS = 800, /* of prefill ahead of a send at its server */
	/* Of a server's memory for running requests; the rest is for cached blocks */
	ROUTER_MAX_RESIDENT_PERCENT = 80,
	ROUTER_ASSUMED_REQUEST_TOKENS = 5000 /* of other routers' requests whose size is not known */
};
#define ROUTER_STEP_MS 0.4 /* that each running request adds to another one's decode step */

/* Transfers of cached blocks between servers and the offload store. */
enum {
	ROUTER_FETCH_MAX_WAIT_MS = 2000, /* a server waits for a fetch, own interface */
	ROUTER_FETCH_MAX_MS = 400,       /* a slower fetch is not worth it: prefill is quicker or as quick */
	ROUTER_FETCH_OVERHEAD_MS = 6,    /* of a fetch besides its transfer */
	ROUTER_OFFLOAD_MAX_LINK_WAIT_MS = 80, /* at the store's link; beyond it nothing more is offloaded */
	ROUTER_LINK_SLOWDOWN_HALF_LIFE_MS = 10000,
	ROUTER_LINK_SLOWDOWN_MAX = 64 /* factor */
};

/* Load that routers publish to each other. */
enum {
	ROUTER_LOAD_INTERVAL_MS = 50,
	ROUTER_LOAD_CHANGED_INTERVAL_MS = 20, /* where a send has left or begun */
	ROUTER_LOAD_FULL_INTERVAL_MS = 1000,  /* between complete messages, which repair lost ones */
	ROUTER_LOAD_VALID_MS = 2500           /* of a source that has fallen silent */
};

/* Rollouts of weights: margins before the bound after which nothing may begin on older weights. */
enum {
	ROUTER_ROLLOUT_SEND_MARGIN_MS = 1500, /* nothing more is sent to older weights */
	/* From here on the bound is the deadline of sends to older weights */
	ROUTER_ROLLOUT_DEADLINE_MARGIN_MS = 4000,
	ROUTER_ROLLOUT_RECALL_MARGIN_MS = 300, /* what has not begun is recalled */
	ROUTER_BEGIN_NOTICE_DELAY_MS = 250     /* that the notice of a request's begin may take to arrive */
};

/* Diagnostics. */
enum {
	ROUTER_DECISIONS_LOG_INTERVAL_MS = 2000, /* in an experiment */
	ROUTER_VIOLATION_LOG_INTERVAL_MS = 1000,
	ROUTER_PAUSE_DETECTION_MS = 200 /* between two steps: this process was not scheduled */
};

#endif
