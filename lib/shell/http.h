/* http: HTTP/1.1 server and client (RFC 9110, RFC 9112) over non-blocking sockets, in one event loop without
 * a thread of its own. The front ends in platform/ use it: clients and operators connect to its listeners,
 * and its calls go to servers. It is stricter than an ordinary HTTP library, because a request must not run
 * twice and an answer must not be taken for another request's: a connection carries one request at a time;
 * no request is sent twice; an answer that is cut short never looks complete, and one that only its content
 * can show to be complete has a result of its own; a connection on which bytes follow a complete answer is
 * closed. A head is checked for strict syntax before http-parser reads it. Only
 * the thread that runs the loop may call these functions, except http_wake.
 */
#ifndef NL_HTTP_H
#define NL_HTTP_H

#include <stdbool.h>
#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

/* An event loop with its listeners and connections. */
struct http;

/* A header field; both strings are NUL-terminated. */
struct http_field {
	const char *name;
	const char *value;
};

/* A client's complete request. It stays valid until its answer is finished or the client has disconnected. */
struct http_request {
	uint64_t token;
	int listener_id;
	const char *method;
	const char *target;
	const struct http_field *fields;
	int field_count;
	const char *body; /* NULL: the request has no body */
	size_t body_bytes;
	int64_t received_at_ms; /* clock_ms when the last byte of the request was read */
};

/* The limits of a listener on requests and connections of clients. */
struct http_limits {
	size_t max_head_bytes;   /* largest head of a request */
	size_t max_body_bytes;   /* largest body of a request */
	int64_t head_timeout_ms; /* to receive a complete head, counted from its first byte */
	int64_t idle_timeout_ms; /* between two requests, and without progress of a body or an answer */
};

/* A call to a server. The call copies it. The fields are sent as they are; the loop adds no Host and no
 * Connection field, and adds Content-Length only if there is a body or the method usually has one. */
struct http_client_request {
	const char *method;
	const char *target;
	const struct http_field *fields;
	int field_count;
	const char *body; /* NULL: no body */
	size_t body_bytes;
	int64_t not_after_ms;     /* no byte of the request is sent after this clock_ms */
	int connect_timeout_ms;   /* 0: 3 s */
	int timeout_ms;           /* from the start of the call to the end of its answer; 0: none */
	int needs_new_connection; /* the call must not use an idle connection */
};

/* How a call ended. */
enum http_call_result {
	/* the answer was read to its end, which its length, its chunks or its status show */
	HTTP_CALL_COMPLETE,
	/* the answer has no framing and ended where the server closed the connection in order (RFC 9112, 6.3,
	 * 8): whether it is complete only its content can show */
	HTTP_CALL_ENDED_BY_CLOSE,
	HTTP_CALL_NOT_SENT, /* no byte of the request left this machine, or the kernel reports that none did
			     */
	HTTP_CALL_OUTCOME_UNKNOWN /* the call failed in any other way: the server may have begun the request
				   */
};

/* Whether a call ended with an answer: HTTP_CALL_COMPLETE or HTTP_CALL_ENDED_BY_CLOSE. For a caller whose
 * answers show by themselves whether they were cut, such as JSON objects. */
bool http_call_has_answer(enum http_call_result result);

/* Callbacks of the loop. Pointers that a callback receives are valid until it returns, except the request,
 * which stays valid for longer. */
struct http_callbacks {
	void *context;
	/* A client's complete request was received. The owner of the loop answers it by its token, within the
	 * callback or later. */
	void (*request_received)(void *context, const struct http_request *request);
	/* A client disconnected before its answer was finished. */
	void (*client_disconnected)(void *context, uint64_t token);
	/* The head of a call's answer was received. Interim answers (1xx) are skipped. */
	void (*response_head)(void *context, uint64_t token, int status, const struct http_field *fields,
			      int field_count);
	/* Bytes of the body of a call's answer, without chunk framing. */
	void (*response_body)(void *context, uint64_t token, const char *data, size_t size);
	/* A call ended. It is the last callback of a call and comes exactly once, unless the call is
	 * cancelled. status: 0 if the request was not sent. */
	void (*call_done)(void *context, uint64_t token, enum http_call_result result, int status);
};

/* Open a loop without listeners. Returns NULL on an error, which is logged. End it with http_close. */
struct http *http_open(const struct http_callbacks *callbacks, apr_pool_t *pool);

/* Limit the memory that requests of clients take from their first byte to the end of their answers, of all
 * listeners together. It counts the bytes of a head and a body as soon as they are announced. A request that
 * would exceed it gets 503 with Retry-After and is never delivered. SIZE_MAX, the initial value: no limit. */
void http_set_request_memory_limit(struct http *http, size_t max_bytes);

/* Close all connections and free the loop. Of finished answers, the bytes that the kernel accepts at once are
 * sent. No callback is made. */
void http_close(struct http *http);

/* Run the loop until timeout_ms have passed, a callback was made, or http_wake was called. */
void http_wait(struct http *http, int timeout_ms);

/* Make http_wait return. Any thread may call it. */
void http_wake(struct http *http);

/* ---- listeners ---- */

/* Listen at addr ("ip:port"; port 0: any free port). The caller chooses listener_id; each request carries it.
 * Returns 0 on an error, which is logged. */
int http_listen(struct http *http, const char *addr, int listener_id, const struct http_limits *limits);

/* Change a listener's limits. They take effect at once, also for requests and waits in progress. */
void http_listener_set_limits(struct http *http, int listener_id, const struct http_limits *limits);

/* The port of a listener, also if it was opened with port 0; 0: there is no such listener. */
int http_listener_port(const struct http *http, int listener_id);

/* Stop accepting connections. Connections that the kernel has established already are accepted first; the
 * next iteration of the loop reads their received bytes and closes those on which none were received. */
void http_listener_stop_accepting(struct http *http, int listener_id);

/* From now on the last answer on each connection of the listener carries Connection: close. The next
 * iteration of the loop reads the received bytes and closes the connections that are idle then. */
void http_listener_drain(struct http *http, int listener_id);

/* The number of requests of a listener that have been received in part. */
int http_incomplete_request_count(const struct http *http, int listener_id);

/* Answer the partly received requests of a listener with 503 and Retry-After. They are never delivered. */
void http_reject_incomplete_requests(struct http *http, int listener_id, int retry_after_ms);

/* ---- answers to clients ---- */

/* The request with this token; NULL if its answer is finished or its client has disconnected. The functions
 * below ignore such a token. */
const struct http_request *http_request_find(struct http *http, uint64_t token);

/* Send a complete answer. */
void http_respond(struct http *http, uint64_t token, int status, const struct http_field *fields,
		  int field_count, const char *body, size_t body_bytes);

/* The first byte of the answer must be sent by the clock_ms deadline_ms. After it the connection is reset,
 * and the client receives nothing. Call this before the answer is given. */
void http_response_set_deadline(struct http *http, uint64_t token, int64_t deadline_ms);

/* Send an answer in several writes. A negative length means an unknown length, which is sent chunked. Each
 * write is sent at the end of the loop iteration. http_response_finish ends the answer; http_response_abort
 * ends it in such a way that the client cannot take it for complete. */
void http_response_begin(struct http *http, uint64_t token, int status, const struct http_field *fields,
			 int field_count, int64_t length);
void http_response_write(struct http *http, uint64_t token, const char *data, size_t size);
void http_response_finish(struct http *http, uint64_t token);
void http_response_abort(struct http *http, uint64_t token);

/* Bytes of an answer that the kernel has not accepted yet. */
size_t http_response_unsent_bytes(struct http *http, uint64_t token);

/* The number of clients whose answers are unfinished or not sent completely, plus the number of listeners
 * whose idle connections the next iteration has to check. A planned stop waits until it is 0. */
int http_busy_count(const struct http *http);

/* ---- calls to servers ---- */

/* Start a call to the server at addr (in the format of core_parse_addr). The callbacks response_head,
 * response_body and call_done follow, never from within this function. If the token is in use, no call is
 * made and an error is logged. */
void http_call_start(struct http *http, uint64_t token, uint64_t addr,
		     const struct http_client_request *request);

/* Cancel a call: its connection is closed, and no callback follows. */
void http_call_cancel(struct http *http, uint64_t token);

/* To be called from within response_head if the answer belongs to another request, because the server sent it
 * late or twice. The answer is discarded, and response_head is called again for the next one. */
void http_call_skip_response(struct http *http, uint64_t token);

/* Whether at least one byte of the request of an unfinished call has been sent. */
bool http_call_has_sent_bytes(struct http *http, uint64_t token);

/* Close the idle connections to an address, and close those in use when their calls end: the address belongs
 * to another server now. */
void http_peer_retire_connections(struct http *http, uint64_t addr);

/* Limit the number of connections to an address, idle ones included. Calls beyond the limit end with
 * HTTP_CALL_NOT_SENT. 0: no limit. */
void http_peer_set_max_connections(struct http *http, uint64_t addr, int max_connections);

/* ---- fields and counters ---- */

/* The value of a field, or NULL. Names are compared without regard to case. */
const char *http_field_value(const struct http_field *fields, int field_count, const char *name);

/* The outcome of a request that was received completely. Each request has exactly one, which is counted when
 * its connection has finished with it. */
enum http_outcome {
	HTTP_OUTCOME_ANSWERED,     /* the complete answer was sent */
	HTTP_OUTCOME_REJECTED,     /* a complete 503 or 429 answer with Retry-After was sent */
	HTTP_OUTCOME_DISCONNECTED, /* the client disconnected before the complete answer was sent */
	HTTP_OUTCOME_ABORTED,      /* the answer was aborted by http_response_abort */
	HTTP_OUTCOME_EXPIRED,      /* the answer was not sent: its deadline had passed */
	HTTP_OUTCOME_STALLED,      /* the client read nothing of its answer for the idle timeout */
	HTTP_OUTCOME_CLOSED,       /* the loop was closed first */
	HTTP_OUTCOME_COUNT
};

/* Totals since the loop was opened. */
struct http_counters {
	uint64_t accepted_connections;         /* connections accepted from clients */
	uint64_t connections_opened;           /* connections opened to servers */
	uint64_t connections_reused;           /* calls that began on an idle connection */
	uint64_t received_requests;            /* requests received completely */
	uint64_t started_calls;                /* calls started */
	uint64_t rejected_requests;            /* requests that the loop rejected without delivering them */
	uint64_t outcomes[HTTP_OUTCOME_COUNT]; /* requests by outcome */
};

struct http_counters http_counters_read(const struct http *http);

/* The number of requests that were received completely and have no outcome yet. */
uint64_t http_pending_request_count(const struct http *http);

#endif
