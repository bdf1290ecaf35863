/* http: HTTP/1.1 (RFC 9110, 9112) both ways over non-blocking sockets, in one loop without a thread of its
 * own. The front ends in platform/ use it: clients and operators connect to its listeners, and its calls go
 * to servers. It is exact where a library guesses, for a request must not run twice and an answer must not be
 * mistaken: one request at a time on a connection; nothing is sent twice; an answer that ends early never
 * looks complete; bytes behind a complete answer end the connection. Heads are read with http-parser once
 * their lines are known to be exact. All calls are made by the thread that runs the loop, but for http_wake.
 */
#ifndef NL_HTTP_H
#define NL_HTTP_H

#include <stdbool.h>
#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

/* A loop with its listeners and connections. */
struct http;

/* A header field; both texts end with a zero. */
struct http_field {
	const char *name;
	const char *value;
};

/* A client's complete request. It lives until its answer is finished or the client has disconnected. */
struct http_request {
	uint64_t token;
	int listener_id;
	const char *method;
	const char *target;
	const struct http_field *fields;
	int field_count;
	const char *body; /* NULL: it has none */
	size_t body_bytes;
	int64_t received_at_ms; /* clock_ms when its last byte was read */
};

/* What a listener accepts of clients. */
struct http_limits {
	size_t head_bytes;
	size_t body_bytes;
	int head_timeout_ms; /* for a head, from its first byte on */
	int idle_timeout_ms; /* between requests, and while nothing moves in a body or an answer */
};

/* A call to a server. Fields go out as they are; Host, Content-Length and Connection are not added, except
 * Content-Length when there is a body or the method carries one. It is copied. */
struct http_client_request {
	const char *method;
	const char *target;
	const struct http_field *fields;
	int field_count;
	const char *body; /* or NULL */
	size_t body_bytes;
	int64_t not_after_ms;   /* no byte leaves past this clock_ms */
	int connect_timeout_ms; /* 0: 3 s */
	int timeout_ms;         /* of the whole call; 0: none */
	int new_connection;     /* no idle connection may be used */
};

/* How a call ended. */
enum http_call_result {
	HTTP_CALL_COMPLETE, /* the whole answer was read */
	HTTP_CALL_NOT_SENT, /* no byte of the request ever left this machine, or the kernel says none did */
	HTTP_CALL_BROKEN    /* anything else: the server may have begun */
};

/* What the loop calls. What they are given lives until they return, a request excepted. */
struct http_callbacks {
	void *context;
	/* A client's request was read whole; it is answered by its token, now or later. */
	void (*request)(void *context, const struct http_request *request);
	/* A client disconnected before its answer was finished. */
	void (*disconnected)(void *context, uint64_t token);
	/* The head of a call's answer; 1xx are passed over. */
	void (*response_head)(void *context, uint64_t token, int status, const struct http_field *fields,
			      int field_count);
	/* Bytes of a call's answer, without its framing. */
	void (*response_body)(void *context, uint64_t token, const char *data, size_t size);
	/* A call has ended; last, and once for each call that isn't cancelled. status: 0 when not sent. */
	void (*call_done)(void *context, uint64_t token, enum http_call_result result, int status);
};

/* Open a loop without listeners. Returns NULL on an error, which is logged. End it with http_close. */
struct http *http_open(const struct http_callbacks *callbacks, apr_pool_t *pool);

/* Close all connections; finished answers are sent as far as the kernel takes them. No callback is made. */
void http_close(struct http *http);

/* Run the loop until timeout_ms have passed, a callback was made, or http_wake was called. */
void http_wait(struct http *http, int timeout_ms);

/* Have http_wait return; from any thread. */
void http_wake(struct http *http);

/* ---- listeners ---- */

/* Listen at addr ("ip:port"; port 0: any). listener_id is the caller's, and given back with each request.
 * Returns 0 on an error, which is logged. */
int http_listen(struct http *http, const char *addr, int listener_id, const struct http_limits *limits);

/* Change a listener's limits; they hold at once, for waits under way too. */
void http_set_limits(struct http *http, int listener_id, const struct http_limits *limits);

/* The port of a listener that was opened at port 0; 0: there is no such listener. */
int http_listener_port(const struct http *http, int listener_id);

/* Accept no new connections. Those that have come are accepted, and the next turn of the loop reads what has
 * come on them; the ones on which nothing has come are closed. */
void http_stop_accepting(struct http *http, int listener_id);

/* From now on the last answer on each connection of the listener says Connection: close. The next turn of the
 * loop reads what has come, and closes the connections that are idle then. */
void http_drain(struct http *http, int listener_id);

/* Requests of a listener that have been read in part. */
int http_incomplete_count(const struct http *http, int listener_id);

/* Answer those with 503 and Retry-After: they will never run. */
void http_reject_incomplete(struct http *http, int listener_id, int retry_after_ms);

/* ---- answers to clients ---- */

/* The request of a token, or NULL when it's over. Calls with such a token do nothing. */
const struct http_request *http_request_find(struct http *http, uint64_t token);

/* Give a complete answer. */
void http_respond(struct http *http, uint64_t token, int status, const struct http_field *fields,
		  int field_count, const char *body, size_t body_bytes);

/* The answer must begin to leave by the clock_ms deadline_ms: past it the connection is reset, and the client
 * gets nothing. Called before the answer is given. */
void http_response_set_deadline(struct http *http, uint64_t token, int64_t deadline_ms);

/* Give an answer in pieces: chunked where length is below 0. Each piece leaves at the end of the turn.
 * http_response_finish ends it; http_response_abort ends it so that it can't look complete. */
void http_response_begin(struct http *http, uint64_t token, int status, const struct http_field *fields,
			 int field_count, int64_t length);
void http_response_write(struct http *http, uint64_t token, const char *data, size_t size);
void http_response_finish(struct http *http, uint64_t token);
void http_response_abort(struct http *http, uint64_t token);

/* Bytes of an answer that the kernel has not taken yet. */
size_t http_response_backlog(struct http *http, uint64_t token);

/* Clients whose answers aren't finished or not all sent, and listeners that the next turn has to look at. A
 * planned stop waits until there are none. */
int http_busy_count(const struct http *http);

/* ---- calls to servers ---- */

/* Call the server at addr (as core_parse_addr gives it). response_head, response_body and call_done follow,
 * never from within. A token that is in use makes no call, which is logged. */
void http_call_start(struct http *http, uint64_t token, uint64_t addr,
		     const struct http_client_request *request);

/* Break a call off: its connection is closed, and no callback follows. */
void http_call_cancel(struct http *http, uint64_t token);

/* From within response_head: this answer belongs to another request, whose server gave it late or twice. It's
 * passed over, and the call's own is still to come: response_head is called again. */
void http_call_skip_response(struct http *http, uint64_t token);

/* Whether a byte of a call under way has left. */
bool http_call_is_sent(struct http *http, uint64_t token);

/* Close the idle connections to an address, and keep none of those in use: it belongs to another server now.
 */
void http_peer_forget(struct http *http, uint64_t addr);

/* Bound the connections to an address, idle ones included; calls beyond it end with HTTP_CALL_NOT_SENT. 0: no
 * bound. */
void http_peer_set_max_connections(struct http *http, uint64_t addr, int max_connections);

/* ---- fields and counters ---- */

/* A field's value, or NULL; names in any case. */
const char *http_field_value(const struct http_field *fields, int field_count, const char *name);

/* What became of a request that was read whole. Each has one outcome, counted when its connection is done
 * with it. */
enum http_outcome {
	HTTP_OUTCOME_ANSWERED,     /* the whole answer has left */
	HTTP_OUTCOME_REJECTED,     /* so has one that says when to come back: 503 or 429 with Retry-After */
	HTTP_OUTCOME_DISCONNECTED, /* the client disconnected before the answer had left */
	HTTP_OUTCOME_ABORTED,      /* broken off by http_response_abort */
	HTTP_OUTCOME_LATE,         /* the answer would have left past its deadline */
	HTTP_OUTCOME_STALLED,      /* the client read nothing of its answer for the idle time */
	HTTP_OUTCOME_CLOSED,       /* the loop was closed first */
	HTTP_OUTCOME_COUNT
};

/* Since the loop was opened. */
struct http_counters {
	uint64_t accepted;           /* connections of clients */
	uint64_t connections_opened; /* to servers */
	uint64_t connections_reused; /* calls that began on an idle connection */
	uint64_t requests;           /* read whole */
	uint64_t calls;
	uint64_t bad_requests;                 /* rejected by the loop itself */
	uint64_t outcomes[HTTP_OUTCOME_COUNT]; /* of requests */
};

/* The counters so far. */
struct http_counters http_counters_read(const struct http *http);

/* Requests that were read whole and have no outcome yet. */
uint64_t http_pending_requests(const struct http *http);

#endif
