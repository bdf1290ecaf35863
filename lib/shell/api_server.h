/* api_server: HTTP server of the product's own interface to clients and operators.
 * The thread that owns the program's state answers requests by token; it never waits for a client. */
#ifndef NL_API_SERVER_H
#define NL_API_SERVER_H

#include <apr_pools.h>
#include <stddef.h>
#include <stdint.h>

struct ring;

/* A listener, its connections, and the libmicrohttpd thread that serves them. */
struct api_server;

enum { API_SERVER_MAX_BODY_BYTES = 16 << 20 };

/* Listen at addr ("ip:port"). Requests are pushed into the ring events as SHELL_EVENT_REQUEST. Returns NULL
 * on an error, which is logged. The memory belongs to pool; call api_server_close before the pool is
 * destroyed. */
struct api_server *api_server_open(const char *addr, struct ring *events, apr_pool_t *pool);

/* Send the complete answer to a request. Unknown tokens and second answers are ignored. retry_after_ms: when
 * the client should retry; 0: not given. If clock_ms is past not_after_ms when the answer is about to be
 * sent, 503 is sent instead: a process that was suspended must not send an answer that is no longer valid. 0:
 * the answer is valid without limit. body is copied. */
void api_server_respond(struct api_server *server, uint64_t token, int status, int retry_after_ms,
			const char *body, int64_t not_after_ms);

/* Append data to a streamed answer, which begins with the first call. is_last ends it. If it ends without
 * is_complete, the connection is closed in such a way that the client can detect it. data is copied. */
void api_server_stream_write(struct api_server *server, uint64_t token, const char *data, size_t size,
			     int is_last, int is_complete);

/* Set the clock_ms after which all streams are aborted. Each call replaces the time of the last one. Without
 * any call, streams are valid without limit. */
void api_server_set_streams_valid_until(struct api_server *server, int64_t valid_until_ms);

/* Check which clients disconnected while they waited for an answer, and report each as
 * SHELL_EVENT_DISCONNECTED. */
void api_server_report_disconnected(struct api_server *server);

/* Close: unanswered requests are answered with 504 and an unknown outcome, and clients have up to one second
 * to read their answers. */
void api_server_close(struct api_server *server);

#endif
