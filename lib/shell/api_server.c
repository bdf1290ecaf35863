/* web: callers and operators over HTTP/1.1, by libmicrohttpd. A connection waits suspended until the core
 * has something to say; a stream is fed from a bounded buffer and ends with a broken chunk on a fault. */
#include <apr_strings.h>
#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <nettle/sha2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "containers.h"
#include "shell.h"

enum {
	API_SERVER_MAX_STREAM_BYTES = 8 << 20,
	API_SERVER_RETRY_MS = 200,
	API_SERVER_CLOSE_MS = 1000, /* at the end, for callers to take what is said to them */
	API_SERVER_CLOSE_POLL_MS = 2
};

struct conn {
	uint64_t token;
	struct MHD_Connection *mhd_connection;
	char *body; /* stb_ds: received */
	int too_large, delivered, suspended, responded;
	int status, retry_after_ms;
	int64_t not_after_ms; /* once it is past, a whole answer is not said any more; 0: never */
	char *response;       /* a whole answer */
	int streaming, ended, ended_well;
	char *buffer; /* stb_ds: stream bytes to go */
	size_t sent_offset;
	int mid_line; /* what went last did not end a line */
};

struct api_server {
	struct MHD_Daemon *daemon;
	struct ring *events;
	apr_thread_mutex_t *mutex;
	uint64_t last_token;
	struct {
		uint64_t key;
		struct conn *value;
	} * connections;
	int closing;
	int64_t streams_valid_until_ms; /* streams go no further after it */
};

static void resume_connection(struct conn *conn)
{
	if (conn->suspended) {
		conn->suspended = 0;
		MHD_resume_connection(conn->mhd_connection);
	}
}

/* What held for a time that is over is not said: this process may have stood still since. */
static void drop_if_late(struct conn *conn)
{
	if (!conn->not_after_ms || clock_ms() <= conn->not_after_ms)
		return;
	free(conn->response);
	conn->response = strdup("{\"error\":\"the answer came too late to be certain\"}");
	conn->status = 503;
	conn->retry_after_ms = API_SERVER_RETRY_MS;
}

static enum MHD_Result send_response(struct conn *conn)
{
	struct MHD_Response *mhd_response =
	    MHD_create_response_from_buffer(strlen(conn->response), conn->response, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;
	char num[32];

	MHD_add_response_header(mhd_response, "Content-Type",
				conn->response[0] == '{' ? "application/json" : "text/csv");
	if (conn->retry_after_ms) {
		snprintf(num, sizeof num, "%d", (conn->retry_after_ms + 999) / 1000);
		MHD_add_response_header(mhd_response, "Retry-After", num);
		snprintf(num, sizeof num, "%d", conn->retry_after_ms);
		MHD_add_response_header(mhd_response, "Retry-After-Ms", num);
	}
	rc = MHD_queue_response(conn->mhd_connection, (unsigned)conn->status, mhd_response);
	MHD_destroy_response(mhd_response);
	return rc;
}

static ssize_t stream_read(void *arg, uint64_t pos, char *buffer, size_t capacity)
{
	struct {
		struct api_server *server;
		uint64_t token;
	} *source = arg;
	struct conn *conn;
	ssize_t n = 0;

	(void)pos;
	apr_thread_mutex_lock(source->server->mutex);
	conn = hmget(source->server->connections, source->token);
	if (!conn ||
	    (source->server->streams_valid_until_ms && clock_ms() > source->server->streams_valid_until_ms)) {
		n = MHD_CONTENT_READER_END_WITH_ERROR;
	} else if (conn->sent_offset < (size_t)arrlen(conn->buffer)) {
		n = (ssize_t)((size_t)arrlen(conn->buffer) - conn->sent_offset);
		if ((size_t)n > capacity)
			n = (ssize_t)capacity;
		memcpy(buffer, conn->buffer + conn->sent_offset, (size_t)n);
		conn->sent_offset += (size_t)n;
		conn->mid_line = buffer[n - 1] != '\n';
		if (conn->sent_offset == (size_t)arrlen(conn->buffer)) {
			arrsetlen(conn->buffer, 0);
			conn->sent_offset = 0;
		}
	} else if (conn->ended) {
		n = conn->ended_well ? MHD_CONTENT_READER_END_OF_STREAM : MHD_CONTENT_READER_END_WITH_ERROR;
	} else if (!source->server->closing) {
		conn->suspended = 1;
		MHD_suspend_connection(conn->mhd_connection);
	} else {
		n = MHD_CONTENT_READER_END_WITH_ERROR;
	}
	apr_thread_mutex_unlock(source->server->mutex);
	return n;
}

static enum MHD_Result send_stream(struct api_server *web, struct conn *conn)
{
	struct {
		struct api_server *server;
		uint64_t token;
	} *source = malloc(sizeof *source);
	struct MHD_Response *mhd_response;
	enum MHD_Result rc;

	if (!source)
		return MHD_NO;
	source->server = web;
	source->token = conn->token;
	mhd_response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 16384, stream_read, source, free);
	MHD_add_response_header(mhd_response, "Content-Type", "application/x-ndjson");
	rc = MHD_queue_response(conn->mhd_connection, 200, mhd_response);
	MHD_destroy_response(mhd_response);
	return rc;
}

/* A key never goes further than here: what the table and the core hold is its digest. */
static char *digest(const char *auth)
{
	struct sha256_ctx sha256_ctx;
	uint8_t d[SHA256_DIGEST_SIZE];
	char *hex = calloc(1, 2 * SHA256_DIGEST_SIZE + 1);

	if (!hex)
		abort();
	if (!auth || strncmp(auth, "Bearer ", 7))
		return hex;
	sha256_init(&sha256_ctx);
	sha256_update(&sha256_ctx, strlen(auth + 7), (const uint8_t *)auth + 7);
	sha256_digest(&sha256_ctx, sizeof d, d);
	for (size_t i = 0; i < sizeof d; i++)
		snprintf(hex + 2 * i, 3, "%02x", d[i]);
	return hex;
}

/* NOLINTNEXTLINE(readability-function-size): one check after the other of a request */
static enum MHD_Result on_request(void *arg, struct MHD_Connection *c, const char *url, const char *method,
				  const char *version, const char *data, size_t *n, void **state)
{
	struct api_server *web = arg;
	struct conn *conn = *state;
	struct shell_event *event;
	const char *key;
	enum MHD_Result rc = MHD_YES;

	(void)version;
	apr_thread_mutex_lock(web->mutex);
	if (!conn) {
		conn = calloc(1, sizeof *conn);
		if (!conn)
			abort();
		conn->mhd_connection = c;
		conn->token = ++web->last_token;
		hmput(web->connections, conn->token, conn);
		*state = conn;
		goto end;
	}
	if (*n) {
		if ((size_t)arrlen(conn->body) + *n > API_SERVER_MAX_BODY_BYTES)
			conn->too_large = 1;
		else
			memcpy(arraddnptr(conn->body, *n), data, *n);
		*n = 0;
		goto end;
	}
	if (!conn->delivered) {
		conn->delivered = 1;
		if (web->closing) {
			conn->status = 503;
			conn->retry_after_ms = API_SERVER_RETRY_MS;
			conn->response = strdup("{\"error\":\"stopping\",\"outcome\":\"refused\"}");
		} else if (conn->too_large) {
			conn->status = 400;
			conn->response = strdup("{\"error\":\"body: too large\",\"outcome\":\"refused\"}");
		} else {
			event = shell_event_new(SHELL_EVENT_REQUEST);
			event->token = conn->token;
			event->method = strdup(method);
			event->path = strdup(url);
			event->key_digest =
			    digest(MHD_lookup_connection_value(c, MHD_HEADER_KIND, "Authorization"));
			arrput(conn->body, 0);
			event->body = strdup(conn->body);
			if ((key = MHD_lookup_connection_value(c, MHD_HEADER_KIND, "Idempotency-Key")))
				event->idempotency_key = strdup(key);
			if (ring_push(web->events, event, 0)) {
				conn->suspended = 1;
				MHD_suspend_connection(c);
				goto end;
			}
			shell_event_free(event);
			conn->status = 503;
			conn->retry_after_ms = 1000;
			conn->response = strdup("{\"error\":\"too busy\",\"outcome\":\"refused\"}");
		}
	}
	if (conn->responded || (!conn->response && !conn->streaming))
		goto end;
	conn->responded = 1;
	if (!conn->streaming)
		drop_if_late(conn);
	rc = conn->streaming ? send_stream(web, conn) : send_response(conn);
end:
	apr_thread_mutex_unlock(web->mutex);
	return rc;
}

static void on_end(void *arg, struct MHD_Connection *connection, void **state,
		   enum MHD_RequestTerminationCode why)
{
	struct api_server *web = arg;
	struct conn *conn = *state;
	int open;

	(void)connection;
	if (!conn)
		return;
	apr_thread_mutex_lock(web->mutex);
	open = conn->delivered && !conn->response && !conn->ended;
	(void)hmdel(web->connections, conn->token);
	apr_thread_mutex_unlock(web->mutex);
	if (open && why != MHD_REQUEST_TERMINATED_COMPLETED_OK && !web->closing) {
		struct shell_event *event = shell_event_new(SHELL_EVENT_DISCONNECTED);

		event->token = conn->token;
		if (!ring_push(web->events, event, 0)) /* the exchange then runs to its limit */
			shell_event_free(event);
	}
	arrfree(conn->body);
	arrfree(conn->buffer);
	free(conn->response);
	free(conn);
	*state = NULL;
}

struct api_server *api_server_open(const char *addr, struct ring *events, apr_pool_t *pool)
{
	struct api_server *web = apr_pcalloc(pool, sizeof *web);
	uint64_t a = core_parse_addr(addr);
	struct sockaddr_in address;

	memset(&address, 0, sizeof address);
	address.sin_family = AF_INET;
	address.sin_port = htons((uint16_t)(a & 65535));
	address.sin_addr.s_addr = htonl((uint32_t)(a >> 16));
	web->events = events;
	apr_thread_mutex_create(&web->mutex, APR_THREAD_MUTEX_DEFAULT, pool);
	web->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
				       NULL, on_request, web, MHD_OPTION_SOCK_ADDR, &address,
				       MHD_OPTION_NOTIFY_COMPLETED, on_end, web, MHD_OPTION_CONNECTION_LIMIT,
				       20000u, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)64 << 10,
				       MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
	if (!web->daemon) {
		log_write(LOG_ERROR, "web", "Cannot listen at %s: %s.", addr, strerror(errno));
		return NULL;
	}
	return web;
}

void api_server_respond(struct api_server *web, uint64_t token, int status, int retry_after_ms,
			const char *body, int64_t not_after_ms)
{
	struct conn *conn;

	apr_thread_mutex_lock(web->mutex);
	conn = hmget(web->connections, token);
	if (conn && !conn->response && !conn->streaming) {
		conn->status = status;
		conn->retry_after_ms = retry_after_ms;
		conn->not_after_ms = not_after_ms;
		conn->response = strdup(body);
		resume_connection(conn);
	}
	apr_thread_mutex_unlock(web->mutex);
}

static void stream_truncate(struct conn *conn)
{
	size_t n = conn->sent_offset;

	while (conn->mid_line && n < (size_t)arrlen(conn->buffer) && conn->buffer[n++] != '\n')
		;
	if (n < (size_t)arrlen(conn->buffer))
		arrsetlen(conn->buffer, n);
}

void api_server_valid_until(struct api_server *web, int64_t valid_until_ms)
{
	apr_thread_mutex_lock(web->mutex);
	web->streams_valid_until_ms = valid_until_ms;
	apr_thread_mutex_unlock(web->mutex);
}

void api_server_stream(struct api_server *web, uint64_t token, const char *data, size_t size, int is_last,
		       int is_complete)
{
	struct conn *conn;

	apr_thread_mutex_lock(web->mutex);
	conn = hmget(web->connections, token);
	if (conn && !conn->response && !conn->ended) {
		conn->streaming = 1;
		if (is_last && !is_complete) /* broken: what its caller has not read yet, beyond the line
						begun, is not passed on */
			stream_truncate(conn);
		if ((size_t)arrlen(conn->buffer) + size >
		    API_SERVER_MAX_STREAM_BYTES) { /* a caller that does not read */
			is_last = 1;
			is_complete = 0;
		} else if (size) {
			memcpy(arraddnptr(conn->buffer, size), data, size);
		}
		if (is_last && !is_complete && size)
			arrput(conn->buffer, '\n');
		conn->ended = is_last;
		conn->ended_well = is_complete;
		resume_connection(conn);
	}
	apr_thread_mutex_unlock(web->mutex);
}

void api_server_scan(struct api_server *web)
{
	apr_thread_mutex_lock(web->mutex);
	for (ptrdiff_t i = 0; i < hmlen(web->connections); i++) {
		struct conn *conn = web->connections[i].value;
		const union MHD_ConnectionInfo *info;
		struct shell_event *event;
		char b;

		if (!conn->suspended || conn->response || conn->ended)
			continue;
		info = MHD_get_connection_info(conn->mhd_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
		if (!info || recv(info->connect_fd, &b, 1, MSG_PEEK | MSG_DONTWAIT) != 0)
			continue;
		event = shell_event_new(SHELL_EVENT_DISCONNECTED);
		event->token = conn->token;
		if (!ring_push(web->events, event, 0)) {
			shell_event_free(event);
			continue;
		}
		conn->ended = 1;
		if (!conn->streaming) {
			conn->status = 499;
			conn->response = strdup("{\"error\":\"the caller left\"}");
		}
		resume_connection(conn);
	}
	apr_thread_mutex_unlock(web->mutex);
}

/* Callers whose request was read whole, and who have not taken the end of its answer. */
static int undelivered_responses(struct api_server *web)
{
	int n = 0;

	apr_thread_mutex_lock(web->mutex);
	for (ptrdiff_t i = 0; i < hmlen(web->connections); i++)
		n += web->connections[i].value->delivered;
	apr_thread_mutex_unlock(web->mutex);
	return n;
}

/* Whoever was read and not answered is told that the outcome is open: the core may have passed it on. */
static void end_open_requests(struct api_server *web)
{
	apr_thread_mutex_lock(web->mutex);
	web->closing = 1;
	for (ptrdiff_t i = 0; i < hmlen(web->connections); i++) {
		struct conn *conn = web->connections[i].value;

		if (!conn->delivered)
			continue;
		conn->ended = 1;
		if (!conn->response && !conn->streaming) {
			conn->status = 504;
			conn->retry_after_ms = API_SERVER_RETRY_MS;
			conn->response = strdup("{\"error\":\"stopping\",\"outcome\":\"unknown\"}");
		}
		resume_connection(conn);
	}
	apr_thread_mutex_unlock(web->mutex);
}

void api_server_close(struct api_server *web)
{
	MHD_socket listener = MHD_quiesce_daemon(web->daemon); /* no new connections */
	int64_t end = clock_ms() + API_SERVER_CLOSE_MS;

	end_open_requests(web);
	while (undelivered_responses(web) && clock_ms() < end)
		apr_sleep(apr_time_from_msec(API_SERVER_CLOSE_POLL_MS));
	MHD_stop_daemon(web->daemon);
	if (listener != MHD_INVALID_SOCKET)
		close(listener);
	hmfree(web->connections);
}
