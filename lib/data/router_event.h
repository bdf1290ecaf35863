/* router_event: the events that a router handles, one a step: a clock tick, a message, a client's request or
 * a server's answer. The HTTP front end and the process around the router create events; router_step
 * (router.h) handles them. Strings of an event are valid until its step ends. */
#ifndef NL_ROUTER_EVENT_H
#define NL_ROUTER_EVENT_H

#include <stdbool.h>
#include <stdint.h>

#include "router_limits.h"

struct Nl__CacheUpdate;
struct Nl__Msg;

/* Kinds of events. "Claimed" requests use the product's own interface and need a claim; forwarded requests
 * are HTTP requests of clients. */
enum router_event_kind {
	ROUTER_EVENT_TICK,
	ROUTER_EVENT_MESSAGE,              /* a message from another process of the fleet */
	ROUTER_EVENT_CLAIMED_REQUEST,      /* a client's request over the product's own interface */
	ROUTER_EVENT_CLIENT_DISCONNECTED,  /* the client disconnected before its request ended */
	ROUTER_EVENT_STREAM_CHUNK,         /* a line of a server's answer, own interface */
	ROUTER_EVENT_CALL_ENDED,           /* the call to a server ended, own interface */
	ROUTER_EVENT_REPORT_POLLED,        /* a server's report was fetched, own interface */
	ROUTER_EVENT_HTTP_GET,             /* GET request for this router's own state */
	ROUTER_EVENT_SHUTDOWN,             /* graceful shutdown: new requests are refused from now on */
	ROUTER_EVENT_FORWARDED_REQUEST,    /* an HTTP request to forward; the front end keeps its text */
	ROUTER_EVENT_FORWARD_STREAM_BEGAN, /* the first chunk of a forwarded answer was sent to the client */
	ROUTER_EVENT_FORWARD_ENDED,
	ROUTER_EVENT_CACHE_WATCHED /* a server answered a watch of its prefix cache */
};

/* One block of a prompt. */
struct request_block {
	uint64_t prefix_hash; /* hash of the prompt up to the end of this block */
	uint32_t tokens;
};

/* A request whose text stays with the front end. It holds what routing and placement need. */
struct forwarded_request {
	uint64_t token;         /* identifies the client's connection */
	const char *key_digest; /* digest of the client's key; NULL: the client sent no key */
	const char *host;       /* as the client sent it; may have a port */
	const char *path;
	const char *request_id;
	int timeout_ms; /* timeout requested by the client */
	uint32_t input_tokens;
	uint32_t max_output_tokens; /* maximum length of the answer */
	int block_count;
	/* in prompt order; the last block is specific to this request */
	struct request_block blocks[ROUTER_MAX_BLOCKS];
	bool client_can_resume; /* the client can resume a broken stream itself */
};

/* Deadlines of a graceful shutdown, in ms on the router's clock; 0: not set. */
struct shutdown_deadlines {
	/* After it nothing is sent; queued requests are refused early enough for another router to
	 * serve them. */
	int64_t send_deadline_at_ms;
	/* After it running requests are ended, so that their clients are notified before the process
	 * exits. */
	int64_t end_deadline_at_ms;
};

/* How an attempt of a forwarded request ended. */
enum forward_end {
	FORWARD_COMPLETE, /* the complete answer was sent to the client, whatever its HTTP status */
	/* the server certainly did not start the request, and the client has received nothing */
	FORWARD_NOT_STARTED,
	/* the server may have started the request; has_stream_begun tells whether the client has received
	   headers or chunks */
	FORWARD_BROKEN_OFF
};

/* The result of an attempt of a forwarded request, and the server state that the answer reported. */
struct forward_result {
	uint64_t token; /* identifies the attempt */
	enum forward_end end;
	int status; /* HTTP status; 0: no answer was received */
	int has_stream_begun;
	uint32_t chunks;           /* complete chunks sent to the client by this attempt */
	const char *last_event_id; /* id of the last complete event sent; NULL: none had an id */
	int running_requests;      /* requests running at the server, as reported by the answer */
	int waiting_requests;
	int slots;           /* request slots of the server; 0: not reported */
	const char *weights; /* weights that the answer reported; NULL: none */
	/* the address now belongs to another server instance, or the server runs other weights */
	int is_wrong_incarnation;
};

/* One event. The union member that belongs to kind is set. The caller owns the event and all that it points
 * to. */
struct router_event {
	enum router_event_kind kind;
	union {
		const struct Nl__Msg *message;
		struct {
			uint64_t token;
			const char *key_digest;
			const char *body;
		} claimed_request;
		struct {
			uint64_t token;
		} client_disconnected;
		struct {
			uint64_t token; /* identifies the call to the server */
			const char *text;
		} stream_chunk;
		struct {
			uint64_t token; /* identifies the call to the server */
			int status;
			int complete;
			int not_started; /* the server certainly did not start the request */
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
		} forward_began;
		const struct forward_result *forward_ended;
		struct {
			uint64_t token;
			const struct Nl__CacheUpdate *update;
			int status;
		} cache_watched;
	} args;
};

#endif
