/* router_request: one client request from admission to its end, and the queue that it waits in. The router
 * that admitted a request owns it; only router_outcome.c adds requests to the router's tables and removes
 * them. Each struct below covers one concern; its comment names the file that writes it. */
#ifndef NL_ROUTER_REQUEST_H
#define NL_ROUTER_REQUEST_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stdint.h>

#include "router_decision.h"
#include "router_limits.h"

/* Maximum number of different weights among the servers of one service that a lookup tells apart. */
enum { MAX_WEIGHTS_GENERATIONS = 4 };

/* States of a request. */
enum request_state {
	REQUEST_WAITING, /* the request is in its queue */
	/* the request has left its queue; its claim is being committed, or it is between two attempts */
	REQUEST_CLAIMING,
	REQUEST_RUNNING /* the request has been sent to a server */
};

/* How a request ended. Each request has exactly one outcome, recorded in router_outcome.c. */
enum request_outcome {
	/* the client received a complete answer of a server, whatever its status */
	REQUEST_ANSWERED,
	/* the request never ran and never will; the client received a retry-after time */
	REQUEST_REFUSED,
	/* the request never ran and never will; a 4xx status reported to the client what is wrong with it */
	REQUEST_REJECTED,
	/* the request may have run; the client received an error, or its stream was ended as incomplete */
	REQUEST_BROKEN_OFF,
	REQUEST_CLIENT_DISCONNECTED, /* the client disconnected before the request ended */
	REQUEST_OUTCOMES
};

/* State of the prefix lookup of a request. */
enum lookup_state {
	LOOKUP_NONE,    /* no lookup was sent, or its answer is not awaited */
	LOOKUP_PENDING, /* the request waits for the answer to its lookup */
	LOOKUP_ANSWERED,
	LOOKUP_MISSED /* no answer arrived in time */
};

/* A server that caches leading blocks of a prompt under a cache namespace, as answered by the head of the
 * zone. */
struct cached_prefix {
	uint32_t server_index;
	uint32_t block_count; /* number of leading blocks cached there */
	uint64_t cache_namespace;
};

/* Data of the client and its request; constant after admission. Written by router_admission.c. */
struct request_client {
	uint64_t token;   /* identifies the client's connection */
	char *key_digest; /* digest of the client's key; NULL: the client sent no key */
	char *request_id;
	/* of a forwarded request; used to route it again by host and path when the route table changes; the
	 * host is in the form of host_name_normalize */
	const char *host;
	const char *path;
	int64_t received_at_ms;
	int64_t deadline_at_ms;
};

/* Route, tenant and service by the route table in force. Written by router_admission.c; priority by
 * router_dispatch.c. */
struct request_route {
	uint64_t table_revision; /* revision of the route table that the request was last routed by */
	uint32_t index;
	uint32_t tenant_index;
	uint32_t service_index;
	uint32_t priority; /* priority class of the newest attempt */
	bool idempotent;   /* the request may run more than once */
	bool resumable;    /* a broken stream may be resumed after its last event */
};

/* Queueing state. Written by router_queue.c and router_retry.c. */
struct request_queueing {
	struct client_request *next_in_queue;
	/* when a server last returned the request unanswered or with its answer broken off; 0: never */
	int64_t returned_at_ms;
};

/* The claim that a request of the own interface needs before it may run. Written by router_claims.c and
 * router_dispatch.c. */
struct request_claim {
	uint64_t token; /* identifies the proposal; 0: not proposed yet */
	/* address of the controller that has yet to answer the newest proposal; 0: it has answered */
	uint64_t unanswered_leader_addr;
	int64_t sent_at_ms;
	int64_t started_at_ms;
	/* set from the start for a forwarded request, whose client guarantees that the id is unique */
	bool is_confirmed;
};

/* The newest attempt. Written by router_send_claimed.c and router_send_forwarded.c. */
struct request_attempt {
	uint64_t call_token; /* identifies the call to the server; 0: no call is in progress */
	char *id;            /* own interface: attempt id, which the server's answer must repeat */
	int64_t sent_at_ms;
	int64_t first_chunk_at_ms;      /* 0: no chunk received yet */
	double expected_first_chunk_ms; /* expected time from the send to the first chunk */
	int server_index;               /* -1: no server chosen */
	uint32_t weights_index;         /* index of the weights that the server had at the send */
	uint64_t stamp_tick;            /* purge horizon at the send */
	uint64_t cache_namespace;       /* hash of the namespace's name; 0: the blocks are not indexed */
	uint64_t namespace_key;         /* purge scope and generation of that namespace */
	int fetch_source_index;         /* server or store to fetch cached blocks from; -1: none */
	uint32_t expected_fetch_ms;     /* expected duration of the fetch at the link's configured speed */
	int offload_store_index;        /* store that the blocks are offloaded to; -1: none */
	uint32_t prefill_tokens;        /* prompt tokens that the server has yet to prefill */
	uint32_t uncached_tokens;       /* tokens that the request adds to the server's memory */
	struct decision decision;
};

/* Attempts made so far, and the conditions for another one. Written by router_retry.c. */
struct request_retry {
	int attempt_count;
	int max_attempts;
	/* attempts at servers that did not accept a connection; not included in attempt_count */
	int unreachable_count;
	bool budget_reserved;    /* the next attempt has been taken from the retry budget of its service */
	bool may_have_run;       /* a server may have started the request */
	uint32_t avoided_server; /* index of the last server that returned the request */
	int64_t avoided_until_ms;
};

/* The part of the answer that the client has received. */
struct request_stream {
	bool has_begun;      /* response headers have been sent to the client */
	uint64_t next_chunk; /* number of chunks sent to the client */
	char *last_event_id; /* id of the last complete event sent; NULL: none had an id */
};

/* The prompt, divided into prefix blocks. Written by router_admission.c. */
struct request_prompt {
	int block_count;
	uint32_t tail_tokens;       /* tokens after the last block */
	uint32_t max_output_tokens; /* maximum length of the answer */
	uint32_t total_tokens;      /* tokens of prompt and answer in a server's memory */
	char *tail_text;            /* own interface: text after the last block */
	uint64_t block_hash[ROUTER_MAX_BLOCKS];
	const char *block_text[ROUTER_MAX_BLOCKS]; /* own interface: text of each block */
	uint32_t block_tokens[ROUTER_MAX_BLOCKS];
};

/* The prefix lookup sent to the head of the zone: which servers cache the prompt's prefix. Written by
 * router_prefix_lookup.c. */
struct request_lookup {
	enum lookup_state state;
	int namespace_count;
	int64_t sent_at_ms;
	int64_t deadline_at_ms;
	uint64_t namespaces[MAX_WEIGHTS_GENERATIONS]; /* cache namespaces in the order of the lookup */
	struct cached_prefix *prefixes;               /* servers that cache the prefix, from the answer */
	int prefix_count;
};

/* A request in progress. */
struct client_request {
	enum request_state state;
	bool is_forwarded; /* an HTTP request of a client; false: a request of the product's own interface */
	int list_index;    /* index in router_requests.all */
	uint64_t sequence; /* number in order of admission */
	apr_pool_t *pool;  /* owns the request and all its strings */
	struct request_client client;
	struct request_route route;
	struct request_queueing queueing;
	struct request_claim claim;
	struct request_attempt attempt;
	struct request_retry retry;
	struct request_stream stream;
	struct request_lookup lookup;
	struct request_prompt prompt;
};

/* The waiting requests of one tenant on one route, in order of admission. */
struct request_queue {
	uint32_t route_index;
	uint32_t tenant_index;
	char *name; /* route/tenant */
	struct client_request *head;
	struct client_request *tail;
	uint32_t waiting_count;
	uint32_t slots_held; /* requests that hold a quota slot */
	uint64_t pass;       /* stride scheduling: the queue with the smallest pass is dispatched next */
	/* when the previous head was dispatched, or a request was added to the empty queue */
	int64_t head_waiting_since_ms;
	double dequeue_interval_ms; /* smoothed time between dispatches of two heads */
};

#endif
