/* router_request: one client request from its admission to its end, and the queue that it waits in. Owned by
 * the router that admitted it: router_outcome.c adds it to the router's tables and is the only one to take it
 * out. Each record below holds one concern; the comment says which file writes it. */
#ifndef NL_ROUTER_REQUEST_H
#define NL_ROUTER_REQUEST_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stdint.h>

#include "router_decision.h"
#include "router_limits.h"

/* Generations of weights that servers of one service may have at once, as far as they are told apart. */
enum { MAX_GENERATIONS = 4 };

/* Where a request is on its way. */
enum request_state {
	REQUEST_WAITING,  /* in its queue */
	REQUEST_CLAIMING, /* out of its queue: its claim is being written, or it is between two sends */
	REQUEST_RUNNING   /* sent to a server */
};

/* How a request ended. Each has exactly one outcome: router_outcome.c. */
enum request_outcome {
	REQUEST_ANSWERED,   /* a server's complete answer went to its client, whatever the answer's status */
	REQUEST_REFUSED,    /* it never ran and never will; its client was told when to come back */
	REQUEST_REJECTED,   /* it never ran and never will; its client was told by a 4xx what is wrong with it
			     */
	REQUEST_BROKEN_OFF, /* it may have run; its client got an error, or its stream was ended as incomplete
			     */
	REQUEST_CLIENT_DISCONNECTED, /* before it ended */
	REQUEST_OUTCOMES
};

/* A prefix lookup, as one request sees it. */
enum lookup_state {
	LOOKUP_NONE,    /* nobody was asked, or the answer is not waited for */
	LOOKUP_PENDING, /* the request waits for the answer */
	LOOKUP_ANSWERED,
	LOOKUP_MISSED /* no answer came in time */
};

/* A server that caches leading blocks of a prompt under a cache namespace, as the head of the zone has
 * answered. */
struct cached_prefix {
	uint32_t server_index;
	uint32_t depth; /* in blocks */
	uint64_t cache_namespace;
};

/* The client, and what it asked for; does not change. router_admission.c */
struct request_client {
	uint64_t token;   /* of the client's connection */
	char *key_digest; /* NULL: it showed no key */
	char *request_id;
	const char *host; /* of a forwarded request: a newer route table places it again by host and path */
	const char *path;
	int64_t received_at_ms;
	int64_t deadline_at_ms;
};

/* Where the route table in force leads. router_admission.c; priority: router_dispatch.c */
struct request_route {
	uint64_t revision; /* of the route table that it was last placed by */
	uint32_t index;
	uint32_t tenant_index;
	uint32_t service_index;
	uint32_t priority; /* class of its newest send */
	bool idempotent;   /* it may run again */
	bool resumable;    /* its stream may continue behind its last event */
};

/* Waiting in a queue. router_queue.c */
struct request_queueing {
	struct client_request *next_in_queue;
	int64_t returned_at_ms; /* when a server returned it last; 0: none did */
};

/* The claim without which a request of the own interface must not run. router_claims.c */
struct request_claim {
	uint64_t token;       /* of the proposal; 0: none yet */
	uint64_t leader_addr; /* of the controller that was asked; 0: it has answered */
	int64_t sent_at_ms;
	int64_t started_at_ms;
	bool confirmed; /* from the start for a forwarded request: its sender vouches for its id */
};

/* The newest send to a server. router_send_claimed.c, router_send_forwarded.c */
struct request_attempt {
	uint64_t call_token; /* 0: none is under way */
	char *id;            /* own interface: that the server's answer has to repeat */
	int64_t sent_at_ms;
	int64_t first_chunk_at_ms;      /* 0: none has come */
	double expected_first_chunk_ms; /* after the send */
	int server_index;               /* -1: none chosen */
	uint32_t weights;               /* index of the server's weights at the send */
	uint64_t stamp_tick;            /* purge horizon at the send */
	uint64_t cache_namespace;       /* hash of its name; 0: nothing of it is cached */
	uint64_t namespace_key;         /* scope and generation of that namespace */
	int fetch_source;               /* server that cached blocks are fetched from; -1: none */
	uint32_t expected_fetch_ms;     /* at the link's configured speed */
	int offload_target;             /* store that its blocks are offloaded to; -1: none */
	uint32_t prefill_tokens;        /* that the server still has to read */
	uint32_t uncached_tokens;       /* that it adds to the server's memory */
	struct decision decision;
};

/* Sends so far, and whether there may be another one. router_retry.c */
struct request_retry {
	int attempt_count;
	int max_attempts;
	int unreachable_count;   /* sends that no server accepted; not counted as attempts */
	bool budget_reserved;    /* the next send has been taken from its service's retry budget */
	bool may_have_run;       /* at some server */
	uint32_t avoided_server; /* the last server that returned it */
	int64_t avoided_until_ms;
};

/* What its client has of the answer. */
struct request_stream {
	bool has_begun;      /* a head has gone to the client */
	uint64_t next_chunk; /* chunks that the client has */
	char *last_event_id; /* of the last complete one; NULL: none had an id */
};

/* The prompt, in prefix blocks. router_admission.c */
struct request_prompt {
	int block_count;
	uint32_t tail_tokens;   /* behind the last block */
	uint32_t output_tokens; /* at most */
	uint32_t total_tokens;  /* that it takes in a server's memory */
	char *tail_text;        /* own interface */
	uint64_t block_hash[ROUTER_MAX_BLOCKS];
	const char *block_text[ROUTER_MAX_BLOCKS]; /* own interface */
	uint32_t block_tokens[ROUTER_MAX_BLOCKS];
};

/* The question to the head of the zone about who caches the prompt's prefix. router_prefix_lookup.c */
struct request_lookup {
	enum lookup_state state;
	int namespace_count;
	int64_t sent_at_ms;
	int64_t deadline_at_ms;
	uint64_t namespaces[MAX_GENERATIONS]; /* as they were asked for */
	struct cached_prefix *prefixes;       /* the answer */
	int prefix_count;
};

/* A request under way. */
struct client_request {
	enum request_state state;
	bool is_forwarded; /* else it is of the product's own interface */
	int list_index;    /* where it stands in the router's list of requests */
	uint64_t sequence; /* order of admission */
	apr_pool_t *pool;  /* owns the request and all of its texts */
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

/* The requests of one tenant on one route that wait, in order of admission. */
struct request_queue {
	uint32_t route_index;
	uint32_t tenant_index;
	char *name; /* route/tenant */
	struct client_request *head;
	struct client_request *tail;
	uint32_t length;
	uint32_t running;              /* requests that hold a slot of the quota */
	uint64_t pass;                 /* stride scheduling: the queue with the smallest goes next */
	int64_t head_waiting_since_ms; /* when the last head left, or the queue ceased to be empty */
	double dequeue_interval_ms;    /* between two heads, smoothed */
};

#endif
