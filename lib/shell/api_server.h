/* api_server: the product's own HTTP interface to clients and operators.
 * The thread that owns the program's state answers by token; it never waits for a client. */
#ifndef NL_API_SERVER_H
#define NL_API_SERVER_H

#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

struct ring;

/* A listener, its connections, and libmicrohttpd's thread that serves them. */
struct api_server;

enum { API_SERVER_MAX_BODY_BYTES = 16 << 20 };

/* Listen at addr ("ip:port"); requests go to events as SHELL_EVENT_REQUEST. Returns NULL on an error, which
 * is logged. It lives as long as pool; end it with api_server_close before. */
struct api_server *api_server_open(const char *addr, struct ring *events, apr_pool_t *pool);

/* Give the complete answer to a request; unknown tokens and second answers are ignored. retry_after_ms: 0, or
 * when the client should come back. If clock_ms is past not_after_ms when the answer would leave, 503 is sent
 * instead: a process that stood still must not send an answer that no longer holds. 0: it holds for ever.
 * body is copied. */
void api_server_respond(struct api_server *server, uint64_t token, int status, int retry_after_ms,
			const char *body, int64_t not_after_ms);

/* Append data to a streamed answer, which begins with the first call. is_last ends it; a stream that ends
 * without is_complete is broken off in a way that the client can see. data is copied. */
void api_server_stream(struct api_server *server, uint64_t token, const char *data, size_t size, int is_last,
		       int is_complete);

/* Until which clock_ms streams may go on: past it they are broken off, unless it was moved on. Never called:
 * for ever. */
void api_server_valid_until(struct api_server *server, int64_t valid_until_ms);

/* Look for clients that disconnected while they wait; each is reported as SHELL_EVENT_DISCONNECTED. */
void api_server_scan(struct api_server *server);

/* Close: unanswered requests get 504 with an unknown outcome, and clients up to one second to read what they
 * are sent. */
void api_server_close(struct api_server *server);

#endif
