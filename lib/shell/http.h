/* http: HTTP/1.1 both ways over non-blocking sockets, in one loop without a thread of its own.
 * Exact where a library guesses: one request at a time on a connection, nothing sent twice, an answer that ends early
 * never looks whole, bytes behind a whole answer end the connection. Texts are read with http-parser.
 * All calls are made by the thread that runs the loop, but for http_wake. */
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
struct http_req {
	uint64_t token;
	int door; /* which listener took it */
	const char *verb, *target;
	const struct http_field *f;
	int nf;
	const char *body;
	size_t len;
	int64_t at; /* clock_ms when its last byte was read */
};

/* What a listener lets callers do. Changed at any time with http_limits. */
struct http_limits {
	size_t head, body;
	int head_ms, idle_ms;
};

/* A call to a server. Fields go out as they are; Host, Content-Length and Connection are not added by themselves,
 * except Content-Length when body is set or len is 0 with a verb that carries bodies. */
struct http_out {
	const char *verb, *target;
	const struct http_field *f;
	int nf;
	const char *body;
	size_t len;
	int64_t not_after;        /* no byte leaves after this clock_ms */
	int connect_ms, limit_ms; /* limit: of the whole call */
	int fresh;                /* never on a kept connection */
};

enum http_end {
	HTTP_WHOLE, /* the whole answer was read */
	HTTP_NEVER, /* no byte of the request ever left this machine, or the kernel says none did */
	HTTP_BROKE  /* anything else: the server may have begun */
};

struct http_on {
	void *ctx;
	void (*request)(void *ctx, const struct http_req *q);
	void (*gone)(void *ctx, uint64_t token); /* a caller left before its answer was finished */
	void (*head)(void *ctx, uint64_t token, int status, const struct http_field *f, int nf);
	void (*body)(void *ctx, uint64_t token, const char *d, size_t n);
	void (*done)(void *ctx, uint64_t token, enum http_end how, int status);
};

/* Example: h = http_open(&on, pool); */
struct http *http_open(const struct http_on *on, apr_pool_t *p);

/* Listen; door is given back with each request. 0 on a fault, which is logged. Example: http_listen(h, "127.0.0.1:80", 1, &l); */
int http_listen(struct http *h, const char *addr, int door, const struct http_limits *l);
void http_limits(struct http *h, int door, const struct http_limits *l);

/* No new connections at this door. Those that have come are taken, and the next turn of the loop reads what has come on them;
 * the ones on which nothing has come are closed. Example: http_shut(h, 1); */
void http_shut(struct http *h, int door);

/* From now on the last answer on each connection of this door says Connection: close. The next turn of the loop reads what has
 * come, and closes the connections that are idle then. Example: http_leave(h, 1); */
void http_leave(struct http *h, int door);

/* Requests of a door that have been read in part. Example: while (http_receiving(h, 1)) http_wait(h, 25); */
int http_receiving(const struct http *h, int door);

/* Answer those with 503 and when to come back: they will never run. Example: http_refuse_incomplete(h, 1, 500); */
void http_refuse_incomplete(struct http *h, int door, int retry_ms);

/* The request of a token, or NULL when it is over. Example: q = http_request(h, token); */
const struct http_req *http_request(struct http *h, uint64_t token);

/* A whole answer. Example: http_answer(h, token, 503, f, 1, "", 0); */
void http_answer(struct http *h, uint64_t token, int status, const struct http_field *f, int nf, const char *body, size_t len);

/* An answer that must have begun to leave by then: past it the connection is reset, and the caller hears nothing. Called before
 * the answer is given. Example: http_answer_until(h, token, lease_end); http_answer(h, token, 200, f, 1, body, len); */
void http_answer_until(struct http *h, uint64_t token, int64_t until);

/* An answer in pieces: chunked where length is below 0. Nothing is held back. http_abort ends it so that it cannot look whole. */
void http_begin(struct http *h, uint64_t token, int status, const struct http_field *f, int nf, int64_t length);
void http_write(struct http *h, uint64_t token, const char *d, size_t n);
void http_finish(struct http *h, uint64_t token);
void http_abort(struct http *h, uint64_t token);

/* Bytes that a caller has not taken yet. Example: if (http_backlog(h, token) > 8 << 20) http_abort(h, token); */
size_t http_backlog(struct http *h, uint64_t token);

/* Callers that are being answered, or whose answers are not sent to the end, and doors whose last look is still to come. Example: while (http_busy(h)) http_wait(h, 25); */
int http_busy(const struct http *h);

/* The port of a door, for one that was opened at port 0. Example: port = http_port(h, 1); */
int http_port(const struct http *h, int door);

/* Call the server at addr (as core_addr gives it). head, body and done follow, done last and once, never from within.
 * Example: http_call(h, token, addr, &q); */
void http_call(struct http *h, uint64_t token, uint64_t addr, const struct http_out *q);

/* Give a call up: its connection is closed; nothing more is heard of it. Example: http_cancel(h, token); */
void http_cancel(struct http *h, uint64_t token);

/* From within head: this answer belongs to another request, whose server said it late or twice. It is passed over, and the call's
 * own is still to come: head is called again. Example: if (!is_ours(f, nf)) http_skip_answer(h, token); */
void http_skip_answer(struct http *h, uint64_t token);

/* Whether any byte of a call that is under way has left. Example: if (!http_sent(h, token)) http_cancel(h, token); */
int http_sent(struct http *h, uint64_t token);

/* Close the kept connections to an address, for it is somebody else's now. Example: http_forget(h, addr); */
void http_forget(struct http *h, uint64_t addr);

/* At most so many connections to one address are open at once, kept ones included; further calls end with HTTP_NEVER.
 * 0: no bound. Example: http_most(h, addr, 60); */
void http_most(struct http *h, uint64_t addr, int n);

/* Run the loop until ms have passed, something has been done, or http_wake was called. Example: http_wait(h, 25); */
void http_wait(struct http *h, int ms);
void http_wake(struct http *h);
void http_close(struct http *h);

/* A field's value, or NULL; names in any case. Example: http_get(q->f, q->nf, "host") */
const char *http_get(const struct http_field *f, int nf, const char *name);

/* What became of a request that was read whole. Each has one outcome, counted when its connection is done with it. */
enum http_outcome {
	HTTP_ANSWERED,    /* the whole answer has left */
	HTTP_REFUSED,     /* a whole answer that says when to come back: 503 or 429 with Retry-After */
	HTTP_CLIENT_GONE, /* the client left, or its connection was lost, before the answer had left */
	HTTP_CUT_ABORTED, /* broken off by http_abort */
	HTTP_CUT_LATE,    /* the answer would have left past the time of http_answer_until */
	HTTP_CUT_STALLED, /* the client took nothing of its answer for the idle time */
	HTTP_CUT_CLOSED,  /* the loop was closed first */
	HTTP_OUTCOMES
};

struct http_counts {
	uint64_t accepted, connects, kept_used, requests, calls, bad;
	uint64_t outcome[HTTP_OUTCOMES]; /* of requests; what is missing to their sum is under way */
};
struct http_counts http_count(const struct http *h);

/* Requests that were read whole and have no outcome yet. Example: left = http_unsettled(h); */
uint64_t http_unsettled(const struct http *h);

#endif
