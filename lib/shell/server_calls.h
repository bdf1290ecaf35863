/* server_calls: HTTP calls to model servers, for the product's own interface. (A front end makes its calls by
 * http.h.) Invariant: a POST is sent at most once, and only on a connection of its own, for the server may
 * run it each time that it comes. */
#ifndef NL_SERVER_CALLS_H
#define NL_SERVER_CALLS_H

#include <apr_pools.h>
#include <stdint.h>

struct ring;

/* The calls under way and the thread that makes them. */
struct server_calls;

/* Start the thread; results go to events. Returns NULL on an error, which is logged.
 * It lives as long as pool; end it with server_calls_close before. */
struct server_calls *server_calls_open(struct ring *events, apr_pool_t *pool);

/* Begin a call: GET, or POST when body is given. Texts are copied. SHELL_EVENT_CALL_DONE follows once, unless
 * it's cancelled or token is 0, which asks for no result; with is_stream SHELL_EVENT_CHUNK comes before for
 * each line of a 200. The call ends after timeout_ms, and no byte of it leaves after the clock_ms
 * not_after_ms. */
void server_calls_start(struct server_calls *calls, uint64_t token, const char *addr, const char *path,
			const char *body, int timeout_ms, int is_stream, int64_t not_after_ms);

/* Break a call off. Events of it that are in the ring already still come. */
void server_calls_cancel(struct server_calls *calls, uint64_t token);

/* Stop the thread and break all calls off; none of them is reported. */
void server_calls_close(struct server_calls *calls);

#endif
