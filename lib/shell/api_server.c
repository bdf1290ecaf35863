/* api_server: the product's own HTTP interface, on libmicrohttpd; see api_server.h. A connection is suspended
 * until the thread that owns the state provides data for it. A stream is read from a buffer of limited size.
 * A stream that is cut short ends without the final chunk, so that it never looks complete. */
#include "api_server.h"

#include <errno.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_thread_mutex.h>
#include <apr_time.h>

#include "clock.h"
#include "core.h"
#include "containers.h"
#include "key_digest.h"
#include "log.h"
#include "ring.h"
#include "shell_event.h"

enum {
	MAX_STREAM_BYTES =
	    8 << 20, /* bytes of a stream that the client has not read; beyond this the stream is aborted */
	STREAM_BLOCK_BYTES = 16384,
	RETRY_AFTER_MS = 200,
	BUSY_RETRY_AFTER_MS = 1000,
	CLOSE_TIMEOUT_MS = 1000, /* on closing, for clients to read their answers */
	CLOSE_POLL_INTERVAL_MS = 2,
	MAX_CONNECTIONS = 20000,
	CONNECTION_MEMORY_BYTES = 64 << 10
};

/* A client's request and its answer. */
struct api_request {
	uint64_t token;
	struct MHD_Connection *connection;
	bool is_suspended; /* libmicrohttpd waits until the connection is resumed */

	/* the request */
	char *request_body; /* stb_ds: bytes of the body received so far */
	bool is_body_too_large;
	bool is_delivered; /* the complete request was pushed into the event ring or rejected */

	/* a complete answer */
	char *response_body; /* from malloc; NULL: none yet */
	int status;
	int retry_after_ms;
	int64_t not_after_ms;    /* the answer is not sent after this clock_ms; 0: no limit */
	bool is_response_queued; /* the answer or the stream was queued in libmicrohttpd */

	/* a streamed answer */
	bool is_stream;
	bool has_ended;
	bool is_complete;    /* the stream ended without being cut short */
	char *stream_buffer; /* stb_ds: bytes of the stream; those from sent_offset are not sent yet */
	size_t sent_offset;
	bool is_mid_line; /* the last byte sent was not a line feed */
};

struct request_entry {
	uint64_t key; /* token */
	struct api_request *value;
};

/* mutex protects all members that change, including the requests: the thread that owns the state writes them
 * and libmicrohttpd's thread reads them. */
struct api_server {
	struct MHD_Daemon *daemon;
	struct ring *events;
	apr_thread_mutex_t *mutex;
	uint64_t last_token;
	struct request_entry *requests; /* stb_ds */
	bool is_closing;
	int64_t streams_valid_until_ms; /* clock_ms after which streams are aborted; 0: no limit */
};

/* Argument of stream_read; freed by libmicrohttpd. */
struct stream_source {
	struct api_server *server;
	uint64_t token;
};

/* ---- answers ---- */

static void resume_connection(struct api_request *request)
{
	if (!request->is_suspended)
		return;
	request->is_suspended = false;
	MHD_resume_connection(request->connection);
}

static void suspend_connection(struct api_request *request)
{
	request->is_suspended = true;
	MHD_suspend_connection(request->connection);
}

static void set_response(struct api_request *request, int status, int retry_after_ms, const char *body)
{
	request->status = status;
	request->retry_after_ms = retry_after_ms;
	request->response_body = strdup(body);
}

/* Replaces an answer whose time limit has passed by 503: the process may have been suspended after the answer
 * was given. */
static void replace_expired_response(struct api_request *request)
{
	if (!request->not_after_ms || clock_ms() <= request->not_after_ms)
		return;
	free(request->response_body);
	set_response(request, 503, RETRY_AFTER_MS, "{\"error\":\"the answer came too late to be certain\"}");
}

static enum MHD_Result send_response(struct api_request *request)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    strlen(request->response_body), request->response_body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;
	char header_value[32];

	MHD_add_response_header(response, "Content-Type",
				request->response_body[0] == '{' ? "application/json" : "text/csv");
	if (request->retry_after_ms) {
		snprintf(header_value, sizeof header_value, "%d", (request->retry_after_ms + 999) / 1000);
		MHD_add_response_header(response, "Retry-After", header_value);
		snprintf(header_value, sizeof header_value, "%d", request->retry_after_ms);
		MHD_add_response_header(response, "Retry-After-Ms", header_value);
	}
	result = MHD_queue_response(request->connection, (unsigned)request->status, response);
	MHD_destroy_response(response);
	return result;
}

/* ---- streams ---- */

static size_t stream_unsent_bytes(const struct api_request *request)
{
	return (size_t)arrlen(request->stream_buffer) - request->sent_offset;
}

static ssize_t stream_copy(struct api_request *request, char *destination, size_t capacity)
{
	size_t size = stream_unsent_bytes(request);

	if (size > capacity)
		size = capacity;
	memcpy(destination, request->stream_buffer + request->sent_offset, size);
	request->sent_offset += size;
	request->is_mid_line = destination[size - 1] != '\n';
	if (!stream_unsent_bytes(request)) {
		arrsetlen(request->stream_buffer, 0);
		request->sent_offset = 0;
	}
	return (ssize_t)size;
}

/* Copies the next bytes of a stream and returns their number. Returns the code for the end of the stream, or
 * 0 after suspending the connection because there are no bytes yet. */
static ssize_t stream_next(struct api_server *server, struct api_request *request, char *destination,
			   size_t capacity)
{
	if (!request || (server->streams_valid_until_ms && clock_ms() > server->streams_valid_until_ms))
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (stream_unsent_bytes(request))
		return stream_copy(request, destination, capacity);
	if (request->has_ended)
		return request->is_complete ? MHD_CONTENT_READER_END_OF_STREAM
					    : MHD_CONTENT_READER_END_WITH_ERROR;
	if (server->is_closing)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	suspend_connection(request);
	return 0;
}

static ssize_t stream_read(void *argument, uint64_t position, char *destination, size_t capacity)
{
	struct stream_source *source = argument;
	ssize_t size;

	(void)position;
	apr_thread_mutex_lock(source->server->mutex);
	size = stream_next(source->server, hmget(source->server->requests, source->token), destination,
			   capacity);
	apr_thread_mutex_unlock(source->server->mutex);
	return size;
}

static enum MHD_Result send_stream(struct api_server *server, struct api_request *request)
{
	struct stream_source *source = malloc(sizeof *source);
	struct MHD_Response *response;
	enum MHD_Result result;

	if (!source)
		return MHD_NO;
	source->server = server;
	source->token = request->token;
	response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, stream_read,
						     source, free);
	MHD_add_response_header(response, "Content-Type", "application/x-ndjson");
	result = MHD_queue_response(request->connection, 200, response);
	MHD_destroy_response(response);
	return result;
}

/* Discards the unsent bytes of a stream that was cut short, except the rest of a line that was sent in part.
 */
static void stream_truncate(struct api_request *request)
{
	size_t size = request->sent_offset;

	while (request->is_mid_line && size < (size_t)arrlen(request->stream_buffer) &&
	       request->stream_buffer[size++] != '\n')
		;
	if (size < (size_t)arrlen(request->stream_buffer))
		arrsetlen(request->stream_buffer, size);
}

/* ---- requests ---- */

/* Returns the digest of the API key. The key itself does not leave this function: the configuration and the
 * core hold only digests. */
static char *authorization_digest(const char *authorization)
{
	static const char scheme[] = "Bearer ";
	char *hex = calloc(1, KEY_DIGEST_BYTES);

	if (!hex)
		abort();
	if (authorization && strncmp(authorization, scheme, sizeof scheme - 1) == 0)
		key_digest_hex(authorization + sizeof scheme - 1, hex);
	return hex;
}

static void request_begin(struct api_server *server, struct MHD_Connection *connection, void **state)
{
	struct api_request *request = calloc(1, sizeof *request);

	if (!request)
		abort();
	request->connection = connection;
	request->token = ++server->last_token;
	hmput(server->requests, request->token, request);
	*state = request;
}

static void request_append_body(struct api_request *request, const char *data, size_t size)
{
	if ((size_t)arrlen(request->request_body) + size > API_SERVER_MAX_BODY_BYTES)
		request->is_body_too_large = true;
	else
		memcpy(arraddnptr(request->request_body, size), data, size);
}

static struct shell_event *request_event(struct api_request *request, const char *url, const char *method)
{
	struct shell_event *event = shell_event_new(SHELL_EVENT_REQUEST);
	const char *authorization =
	    MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND, "Authorization");
	const char *idempotency_key =
	    MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND, "Idempotency-Key");

	event->token = request->token;
	event->method = strdup(method);
	event->path = strdup(url);
	event->key_digest = authorization_digest(authorization);
	arrput(request->request_body, 0);
	event->body = strdup(request->request_body);
	if (idempotency_key)
		event->idempotency_key = strdup(idempotency_key);
	return event;
}

/* Pushes a complete request into the event ring and suspends its connection, or rejects the request. */
static void request_deliver(struct api_server *server, struct api_request *request, const char *url,
			    const char *method)
{
	struct shell_event *event;

	request->is_delivered = true;
	if (server->is_closing) {
		set_response(request, 503, RETRY_AFTER_MS,
			     "{\"error\":\"stopping\",\"outcome\":\"refused\"}");
		return;
	}
	if (request->is_body_too_large) {
		set_response(request, 400, 0, "{\"error\":\"body: too large\",\"outcome\":\"refused\"}");
		return;
	}
	event = request_event(request, url, method);
	if (ring_push(server->events, event, 0)) {
		suspend_connection(request);
		return;
	}
	shell_event_free(event);
	set_response(request, 503, BUSY_RETRY_AFTER_MS, "{\"error\":\"too busy\",\"outcome\":\"refused\"}");
}

/* Queues the answer in libmicrohttpd if there is one. */
static enum MHD_Result request_respond(struct api_server *server, struct api_request *request)
{
	if (request->is_suspended || request->is_response_queued ||
	    (!request->response_body && !request->is_stream))
		return MHD_YES;
	request->is_response_queued = true;
	if (request->is_stream)
		return send_stream(server, request);
	replace_expired_response(request);
	return send_response(request);
}

/* libmicrohttpd calls it after the head, for each received segment of the body, at the end of the body, and
 * after each resume. */
static enum MHD_Result on_request(void *argument, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *data, size_t *size,
				  void **state)
{
	struct api_server *server = argument;
	struct api_request *request = *state;
	enum MHD_Result result = MHD_YES;

	(void)version;
	apr_thread_mutex_lock(server->mutex);
	if (!request) {
		request_begin(server, connection, state);
	} else if (*size) {
		request_append_body(request, data, *size);
		*size = 0;
	} else {
		if (!request->is_delivered)
			request_deliver(server, request, url, method);
		result = request_respond(server, request);
	}
	apr_thread_mutex_unlock(server->mutex);
	return result;
}

/* Reports that a client disconnected before its answer. Returns false if the event ring is full; the request
 * then runs until its timeout. */
static bool push_disconnected(struct api_server *server, uint64_t token)
{
	struct shell_event *event = shell_event_new(SHELL_EVENT_DISCONNECTED);

	event->token = token;
	if (ring_push(server->events, event, 0))
		return true;
	shell_event_free(event);
	return false;
}

static void on_request_completed(void *argument, struct MHD_Connection *connection, void **state,
				 enum MHD_RequestTerminationCode code)
{
	struct api_server *server = argument;
	struct api_request *request = *state;
	bool is_open;

	(void)connection;
	if (!request)
		return;
	apr_thread_mutex_lock(server->mutex);
	is_open = request->is_delivered && !request->response_body && !request->has_ended;
	(void)hmdel(server->requests, request->token);
	apr_thread_mutex_unlock(server->mutex);
	if (is_open && code != MHD_REQUEST_TERMINATED_COMPLETED_OK && !server->is_closing)
		(void)push_disconnected(server, request->token);
	arrfree(request->request_body);
	arrfree(request->stream_buffer);
	free(request->response_body);
	free(request);
	*state = NULL;
}

/* ---- functions for the thread that owns the state ---- */

struct api_server *api_server_open(const char *addr, struct ring *events, apr_pool_t *pool)
{
	struct api_server *server = apr_pcalloc(pool, sizeof *server);
	uint64_t parsed = core_parse_addr(addr);
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)(parsed & 65535)),
				       .sin_addr.s_addr = htonl((uint32_t)(parsed >> 16)) };

	server->events = events;
	apr_thread_mutex_create(&server->mutex, APR_THREAD_MUTEX_DEFAULT, pool);
	server->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, server,
	    MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, server,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
	    (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
	if (!server->daemon) {
		log_write(LOG_ERROR, "api_server", "Cannot listen at %s: %s.", addr, strerror(errno));
		return NULL;
	}
	return server;
}

void api_server_respond(struct api_server *server, uint64_t token, int status, int retry_after_ms,
			const char *body, int64_t not_after_ms)
{
	struct api_request *request;

	apr_thread_mutex_lock(server->mutex);
	request = hmget(server->requests, token);
	if (request && !request->response_body && !request->is_stream) {
		set_response(request, status, retry_after_ms, body);
		request->not_after_ms = not_after_ms;
		resume_connection(request);
	}
	apr_thread_mutex_unlock(server->mutex);
}

void api_server_set_streams_valid_until(struct api_server *server, int64_t valid_until_ms)
{
	apr_thread_mutex_lock(server->mutex);
	server->streams_valid_until_ms = valid_until_ms;
	apr_thread_mutex_unlock(server->mutex);
}

static void stream_append(struct api_request *request, const char *data, size_t size, bool is_last,
			  bool is_complete)
{
	request->is_stream = true;
	if (is_last && !is_complete)
		stream_truncate(request);
	if ((size_t)arrlen(request->stream_buffer) + size >
	    MAX_STREAM_BYTES) { /* the client does not read its stream */
		is_last = true;
		is_complete = false;
	} else if (size) {
		memcpy(arraddnptr(request->stream_buffer, size), data, size);
	}
	if (is_last && !is_complete && size)
		arrput(request->stream_buffer, '\n');
	request->has_ended = is_last;
	request->is_complete = is_complete;
	resume_connection(request);
}

void api_server_stream_write(struct api_server *server, uint64_t token, const char *data, size_t size,
			     int is_last, int is_complete)
{
	struct api_request *request;

	apr_thread_mutex_lock(server->mutex);
	request = hmget(server->requests, token);
	if (request && !request->response_body && !request->has_ended)
		stream_append(request, data, size, is_last, is_complete);
	apr_thread_mutex_unlock(server->mutex);
}

/* A suspended connection is not polled, so its socket is checked here for the end of the client's stream. */
static bool has_disconnected(const struct api_request *request)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;

	return info && recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void api_server_report_disconnected(struct api_server *server)
{
	apr_thread_mutex_lock(server->mutex);
	for (ptrdiff_t i = 0; i < hmlen(server->requests); i++) {
		struct api_request *request = server->requests[i].value;

		if (!request->is_suspended || request->response_body || request->has_ended ||
		    !has_disconnected(request))
			continue;
		if (!push_disconnected(server, request->token))
			continue;
		request->has_ended = true;
		if (!request->is_stream)
			set_response(request, 499, request->retry_after_ms,
				     "{\"error\":\"the client disconnected\"}");
		resume_connection(request);
	}
	apr_thread_mutex_unlock(server->mutex);
}

/* Counts the requests that were received completely and whose answers have not been sent to the end. */
static int count_open_requests(struct api_server *server)
{
	int count = 0;

	apr_thread_mutex_lock(server->mutex);
	for (ptrdiff_t i = 0; i < hmlen(server->requests); i++)
		count += server->requests[i].value->is_delivered;
	apr_thread_mutex_unlock(server->mutex);
	return count;
}

/* Ends all requests. The outcome of an unanswered request is unknown, because the core may have forwarded it.
 */
static void end_requests(struct api_server *server)
{
	apr_thread_mutex_lock(server->mutex);
	server->is_closing = true;
	for (ptrdiff_t i = 0; i < hmlen(server->requests); i++) {
		struct api_request *request = server->requests[i].value;

		if (!request->is_delivered)
			continue;
		request->has_ended = true;
		if (!request->response_body && !request->is_stream)
			set_response(request, 504, RETRY_AFTER_MS,
				     "{\"error\":\"stopping\",\"outcome\":\"unknown\"}");
		resume_connection(request);
	}
	apr_thread_mutex_unlock(server->mutex);
}

void api_server_close(struct api_server *server)
{
	MHD_socket listener = MHD_quiesce_daemon(server->daemon); /* stops accepting connections */
	int64_t deadline_ms = clock_ms() + CLOSE_TIMEOUT_MS;

	end_requests(server);
	while (count_open_requests(server) && clock_ms() < deadline_ms)
		apr_sleep(apr_time_from_msec(CLOSE_POLL_INTERVAL_MS));
	MHD_stop_daemon(server->daemon);
	if (listener != MHD_INVALID_SOCKET)
		close(listener);
	hmfree(server->requests);
}
