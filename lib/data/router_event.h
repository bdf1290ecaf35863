/* router_event: what a router is told in one step: a clock tick, a message, a client's request, a server's
 * answer. The shell and the platform's front end make events; router_step (router.h) takes them. Strings of
 * an event live until its step is over. */
#ifndef NL_ROUTER_EVENT_H
#define NL_ROUTER_EVENT_H

#include <stdbool.h>
#include <stdint.h>

#include "router_limits.h"

struct Nl__CacheUpdate;
struct Nl__Msg;

/* What has happened. */
enum router_event_kind {
	ROUTER_EVENT_TICK,
	ROUTER_EVENT_MESSAGE,             /* from another process of the fleet */
	ROUTER_EVENT_CLAIMED_REQUEST,     /* of the product's own interface */
	ROUTER_EVENT_CLIENT_DISCONNECTED, /* before its request ended */
	ROUTER_EVENT_STREAM_CHUNK,        /* a server's answer, own interface */
	ROUTER_EVENT_CALL_ENDED,          /* a server's answer is over, own interface */
	ROUTER_EVENT_REPORT_POLLED,       /* a server's report, own interface */
	ROUTER_EVENT_HTTP_GET,            /* of this router's own state */
	ROUTER_EVENT_STOP,                /* graceful shutdown: new requests are refused from now on */
	ROUTER_EVENT_FORWARDED_REQUEST,   /* its text stays with the front end */
	ROUTER_EVENT_FORWARD_BEGAN,       /* the first chunk of a forwarded answer has gone to the client */
	ROUTER_EVENT_FORWARD_ENDED,
	ROUTER_EVENT_CACHE_WATCHED /* a server's answer to a watch of its prefix cache */
};

/* One block of a prompt. */
struct request_block {
	uint64_t hash; /* of the prompt up to and with this block */
	uint32_t tokens;
};

/* A request whose text stays with the front end; here is what is decided by. */
struct forwarded_request {
	uint64_t token;         /* of the client's connection */
	const char *key_digest; /* of the client's key; NULL: it showed none */
	const char *host;
	const char *path;
	const char *id;
	int limit_ms; /* time-out that the client asks for */
	uint32_t input_tokens;
	uint32_t output_tokens; /* at most */
	int block_count;
	struct request_block blocks[ROUTER_MAX_BLOCKS]; /* in order; the last is the request's own */
	bool client_resumes;                            /* the client itself resumes a broken stream */
};

/* Deadlines of a graceful shutdown, on the router's clock; 0: not known. */
struct shutdown_deadlines {
	int64_t send_deadline_at_ms; /* after it nothing is sent, and what waits is refused in time for
					another router */
	int64_t run_deadline_at_ms;  /* after it what still runs ends, so that its client hears of it before
					the process exits */
};

/* How a forwarded send ended. */
enum forward_end {
	FORWARD_COMPLETE,    /* the server's complete answer has gone to the client, whatever its status */
	FORWARD_NOT_STARTED, /* the server surely never began, and the client has heard nothing */
	FORWARD_BROKEN_OFF   /* it may have begun; has_begun says whether the client has a head and chunks */
};

/* The end of a forwarded send, and what the server's answer said of the server. */
struct forward_result {
	uint64_t token; /* of the call */
	enum forward_end end;
	int status; /* HTTP; 0: there was no answer */
	int has_begun;
	uint32_t chunks;           /* complete chunks passed on by this send */
	const char *last_event_id; /* of the last of them; NULL: none */
	int running;               /* requests at the server, as it says */
	int waiting;
	int slots;             /* 0: it does not say */
	const char *weights;   /* that it names; NULL: none */
	int wrong_incarnation; /* the address answers for another server, or with other weights */
};

/* One event; the member of its kind is set. Owned by the caller, as is all that it points to. */
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
			uint64_t token; /* of the call */
			const char *text;
		} stream_chunk;
		struct {
			uint64_t token; /* of the call */
			int status;
			int complete;
			int not_started; /* the server surely never began */
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
