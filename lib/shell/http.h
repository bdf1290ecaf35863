/* http: HTTP/1.1 both ways over non-blocking sockets, in one loop without a thread of its own.
 * Exact where a library guesses: one request at a time on a connection, nothing sent twice, an answer that
 * ends early never looks whole, bytes behind a whole answer end the connection. Texts are read with
 * http-parser. All calls are made by the thread that runs the loop, but for http_wake. */
#ifndef NL_HTTP_H
#define NL_HTTP_H

#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

struct http;
struct http_field {
	const char *name, *value;
};

/* A caller's whole request. It lives until its answer is finished or the caller is gone. */
struct http_request {
	uint64_t token;
	int listener_id; /* which listener took it */
	const char *method, *target;
	const struct http_field *fields;
	int field_count;
	const char *body;
	size_t body_bytes;
	int64_t received_at_ms; /* clock_ms when its last byte was read */
};

/* What a listener lets callers do. Changed at any time with http_limits. */
struct http_limits {
	size_t head_bytes, body_bytes;
	int head_timeout_ms, idle_timeout_ms;
};

/* A call to a server. Fields go out as they are; Host, Content-Length and Connection are not added by
 * themselves, except Content-Length when body is set or len is 0 with a verb that carries bodies. */
struct http_client_request {
	const char *method, *target;
	const struct http_field *fields;
	int field_count;
	const char *body;
	size_t body_bytes;
	int64_t not_after_ms;               /* no byte leaves after this clock_ms */
	int connect_timeout_ms, timeout_ms; /* limit: of the whole call */
	int new_connection;                 /* never on a kept connection */
};

enum http_call_result {
	HTTP_CALL_COMPLETE, /* the whole answer was read */
	HTTP_CALL_NOT_SENT, /* no byte of the request ever left this machine, or the kernel says none did */
	HTTP_CALL_BROKEN    /* anything else: the server may have begun */
};

struct http_callbacks {
	void *context;
	void (*request)(void *ctx, const struct http_request *q);
	void (*disconnected)(void *ctx, uint64_t token); /* a caller left before its answer was finished */
	void (*response_head)(void *ctx, uint64_t token, int status, const struct http_field *f, int nf);
	void (*response_body)(void *ctx, uint64_t token, const char *d, size_t n);
	void (*call_done)(void *ctx, uint64_t token, enum http_call_result how, int status);
};

/* Example: h = http_open(&on, pool); */
struct http *http_open(const struct http_callbacks *callbacks, apr_pool_t *pool);

/* Listen; door is given back with each request. 0 on a fault, which is logged. Example: http_listen(h,
 * "127.0.0.1:80", 1, &l); */
int http_listen(struct http *http, const char *addr, int listener_id, const struct http_limits *limits);
void http_limits(struct http *http, int listener_id, const struct http_limits *limits);

/* No new connections at this door. Those that have come are taken, and the next turn of the loop reads what
 * has come on them; the ones on which nothing has come are closed. Example: http_shut(h, 1); */
void http_stop_accepting(struct http *http, int listener_id);

/* From now on the last answer on each connection of this door says Connection: close. The next turn of the
 * loop reads what has come, and closes the connections that are idle then. Example: http_leave(h, 1); */
void http_drain(struct http *http, int listener_id);

/* Requests of a door that have been read in part. Example: while (http_receiving(h, 1)) http_wait(h, 25); */
int http_incomplete_count(const struct http *http, int listener_id);

/* Answer those with 503 and when to come back: they will never run. Example: http_refuse_incomplete(h, 1,
 * 500); */
void http_reject_incomplete(struct http *http, int listener_id, int retry_after_ms);

/* The request of a token, or NULL when it is over. Example: q = http_request(h, token); */
const struct http_request *http_request_find(struct http *http, uint64_t token);

/* A whole answer. Example: http_answer(h, token, 503, f, 1, "", 0); */
void http_respond(struct http *http, uint64_t token, int status, const struct http_field *fields,
		  int field_count, const char *body, size_t body_bytes);

/* An answer that must have begun to leave by then: past it the connection is reset, and the caller hears
 * nothing. Called before the answer is given. Example: http_answer_until(h, token, lease_end); http_answer(h,
 * token, 200, f, 1, body, len); */
void http_response_set_deadline(struct http *http, uint64_t token, int64_t deadline_ms);

/* An answer in pieces: chunked where length is below 0. Nothing is held back. http_abort ends it so that it
 * cannot look whole. */
void http_response_begin(struct http *http, uint64_t token, int status, const struct http_field *fields,
			 int field_count, int64_t length);
void http_response_write(struct http *http, uint64_t token, const char *data, size_t size);
void http_response_finish(struct http *http, uint64_t token);
void http_response_abort(struct http *http, uint64_t token);

/* Bytes that a caller has not taken yet. Example: if (http_backlog(h, token) > 8 << 20) http_abort(h, token);
 */
size_t http_response_backlog(struct http *http, uint64_t token);

/* Callers that are being answered, or whose answers are not sent to the end, and doors whose last look is
 * still to come. Example: while (http_busy(h)) http_wait(h, 25); */
int http_busy_count(const struct http *http);

/* The port of a door, for one that was opened at port 0. Example: port = http_port(h, 1); */
int http_listener_port(const struct http *http, int listener_id);

/* Call the server at addr (as core_addr gives it). head, body and done follow, done last and once, never from
 * within. Example: http_call(h, token, addr, &q); */
void http_call_start(struct http *http, uint64_t token, uint64_t addr,
		     const struct http_client_request *output);

/* Give a call up: its connection is closed; nothing more is heard of it. Example: http_cancel(h, token); */
void http_call_cancel(struct http *http, uint64_t token);

/* From within head: this answer belongs to another request, whose server said it late or twice. It is passed
 * over, and the call's own is still to come: head is called again. Example: if (!is_ours(f, nf))
 * http_skip_answer(h, token); */
void http_call_skip_response(struct http *http, uint64_t token);

/* Whether any byte of a call that is under way has left. Example: if (!http_sent(h, token)) http_cancel(h,
 * token); */
int http_call_is_sent(struct http *http, uint64_t token);

/* Close the kept connections to an address, for it is somebody else's now. Example: http_forget(h, addr); */
void http_peer_forget(struct http *http, uint64_t addr);

/* At most so many connections to one address are open at once, kept ones included; further calls end with
 * HTTP_NEVER. 0: no bound. Example: http_most(h, addr, 60); */
void http_peer_set_max_connections(struct http *http, uint64_t addr, int max_connections);

/* Run the loop until ms have passed, something has been done, or http_wake was called. Example: http_wait(h,
 * 25); */
void http_wait(struct http *http, int timeout_ms);
void http_wake(struct http *http);
void http_close(struct http *http);

/* A field's value, or NULL; names in any case. Example: http_get(q->f, q->nf, "host") */
const char *http_field_value(const struct http_field *fields, int field_count, const char *name);

/* What became of a request that was read whole. Each has one outcome, counted when its connection is done
 * with it. */
enum http_outcome {
	HTTP_OUTCOME_ANSWERED, /* the whole answer has left */
	HTTP_OUTCOME_REJECTED, /* a whole answer that says when to come back: 503 or 429 with Retry-After */
	HTTP_OUTCOME_DISCONNECTED, /* the client left, or its connection was lost, before the answer had left
				    */
	HTTP_OUTCOME_ABORTED,      /* broken off by http_abort */
	HTTP_OUTCOME_LATE,         /* the answer would have left past the time of http_answer_until */
	HTTP_OUTCOME_STALLED,      /* the client took nothing of its answer for the idle time */
	HTTP_OUTCOME_CLOSED,       /* the loop was closed first */
	HTTP_OUTCOME_COUNT
};

struct http_counters {
	uint64_t accepted, connections_opened, connections_reused, requests, calls, bad_requests;
	uint64_t outcomes[HTTP_OUTCOME_COUNT]; /* of requests; what is missing to their sum is under way */
};
struct http_counters http_counters_read(const struct http *http);

/* Requests that were read whole and have no outcome yet. Example: left = http_unsettled(h); */
uint64_t http_pending_requests(const struct http *http);

#endif
