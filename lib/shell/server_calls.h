/* server_calls: HTTP calls to model servers for the product's own interface. (A front end makes its calls
 * with http.h.) Invariant: a POST is sent at most once, and only on a connection of its own, because the
 * server may run it each time that it receives it. */
#ifndef NL_SERVER_CALLS_H
#define NL_SERVER_CALLS_H

#include <apr_pools.h>
#include <stdint.h>

struct ring;

/* The unfinished calls and the thread that makes them. */
struct server_calls;

/* Start the thread, which pushes results into the ring events. Returns NULL on an error, which is logged.
 * The memory belongs to pool; call server_calls_close before the pool is destroyed. */
struct server_calls *server_calls_open(struct ring *events, apr_pool_t *pool);

/* Start a call: a GET, or a POST if body is not NULL. Strings are copied. One SHELL_EVENT_CALL_DONE follows,
 * unless the call is cancelled or token is 0, which means that no result is wanted. With is_stream, a
 * SHELL_EVENT_CHUNK precedes it for each line of an answer with status 200. The call ends after timeout_ms at
 * the latest, and no byte of it is sent after the clock_ms not_after_ms. */
void server_calls_start(struct server_calls *calls, uint64_t token, const char *addr, const char *path,
			const char *body, int timeout_ms, int is_stream, int64_t not_after_ms);

/* Cancel a call. Its events that are in the ring already are still delivered. */
void server_calls_cancel(struct server_calls *calls, uint64_t token);

/* Stop the thread and cancel all calls; no event reports their end. */
void server_calls_close(struct server_calls *calls);

#endif
