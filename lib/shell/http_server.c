/* http_server: requests of clients and their answers. A connection serves one request at a time; bytes of a
 * request that the client sends before it has received the previous answer are kept in server.pipelined. */
#include <errno.h>
#include <linux/sockios.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <http_parser.h>

#include "clock.h"
#include "containers.h"
#include "http_internal.h"
#include "log.h"

static struct http_connection *find_by_token(struct http *http, uint64_t token)
{
	size_t index = token & ((1u << TOKEN_SLOT_BITS) - 1);
	struct http_connection *conn = index < arrlenu(http->slots) ? http->slots[index] : NULL;

	if (!conn || conn->is_closed || conn->state != CONN_HANDLING || conn->server.token != token)
		return NULL;
	return conn;
}

static void append_status_line(struct http *http, struct buffer *buffer, int status)
{
	const char *reason = http_status_str((enum http_status)status);

	http_buffer_append(http, buffer, "HTTP/1.1 ", 9);
	http_buffer_append_number(http, buffer, (uint64_t)status, 10);
	http_buffer_append(http, buffer, " ", 1);
	http_buffer_append_text(http, buffer, *reason == '<' ? "Other" : reason);
	http_buffer_append(http, buffer, "\r\n", 2);
}

/* The longest time that the present wait may take. */
static int64_t wait_timeout_ms(const struct http_connection *conn)
{
	const struct listener *listener = &conn->server.listener->listener;

	switch (conn->state) {
	case CONN_READING_HEAD:
		if (conn->server.has_head_begun)
			return listener->limits.head_timeout_ms;
		if (listener->is_draining && conn->server.token &&
		    listener->limits.idle_timeout_ms > DRAIN_IDLE_TIMEOUT_MS)
			return DRAIN_IDLE_TIMEOUT_MS;
		return listener->limits.idle_timeout_ms;
	case CONN_SENDING_RESPONSE:
		if (conn->server.is_outcome_pending)
			return listener->limits.idle_timeout_ms;
		return LINGER_TIMEOUT_MS; /* the request was rejected without delivery */
	case CONN_LINGERING:
		return LINGER_TIMEOUT_MS;
	default:
		return listener->limits.idle_timeout_ms;
	}
}

static void begin_wait(struct http_connection *conn)
{
	conn->server.wait_began_at_ms = conn->http->now_ms;
	http_timer_set(conn, conn->server.wait_began_at_ms + wait_timeout_ms(conn));
}

void http_server_reject(struct http_connection *conn, int status, int retry_after_ms)
{
	struct http *http = conn->http;
	char retry_after[48];

	http->counters.rejected_requests++;
	http->busy_client_count++;
	append_status_line(http, &conn->output, status);
	if (retry_after_ms > 0) {
		snprintf(retry_after, sizeof retry_after, "Retry-After: %d.%03d\r\n", retry_after_ms / 1000,
			 retry_after_ms % 1000);
		http_buffer_append_text(http, &conn->output, retry_after);
	}
	http_buffer_append_text(http, &conn->output, "Content-Length: 0\r\nConnection: close\r\n\r\n");
	conn->state = CONN_SENDING_RESPONSE;
	conn->server.close_after_response = conn->server.must_linger = 1;
	http_buffer_free(http, &conn->input);
	http_server_release_memory(conn);
	begin_wait(conn);
	http_conn_queue(conn);
}

/* ---- memory for requests ---- */

void http_server_release_memory(struct http_connection *conn)
{
	conn->http->request_bytes -= conn->server.reserved_bytes;
	conn->server.reserved_bytes = 0;
}

static void log_memory_exhausted(struct http *http, size_t request_bytes)
{
	if (http->memory_logged_at_ms && http->now_ms - http->memory_logged_at_ms < MEMORY_LOG_INTERVAL_MS)
		return;
	http->memory_logged_at_ms = http->now_ms;
	log_write(LOG_WARN, "http",
		  "Request rejected with 503: it needs %zu bytes, and requests hold %zu of %zu bytes.",
		  request_bytes, http->request_bytes, http->max_request_bytes);
}

/* Reserves memory for the request that is being read, in place of what it has reserved. Returns false if
 * there is not enough: the request was rejected. */
static bool reserve_memory(struct http_connection *conn, size_t request_bytes)
{
	struct http *http = conn->http;
	size_t others_bytes = http->request_bytes - conn->server.reserved_bytes;

	if (request_bytes > http->max_request_bytes - others_bytes) {
		log_memory_exhausted(http, request_bytes);
		http_server_reject(conn, 503, MEMORY_RETRY_AFTER_MS);
		return false;
	}
	http->request_bytes = others_bytes + request_bytes;
	conn->server.reserved_bytes = request_bytes;
	return true;
}

static void handle_client_disconnect(struct http_connection *conn)
{
	struct http *http = conn->http;
	int was_handling = conn->state == CONN_HANDLING;

	http_server_abort(conn, HTTP_OUTCOME_DISCONNECTED);
	if (!was_handling)
		return;
	http->callback_made = 1;
	http->callbacks.client_disconnected(http->callbacks.context, conn->server.token);
}

/* Returns NULL if the request has no body, and "" if its body has length 0. */
static const char *request_body(const struct http_connection *conn)
{
	if (!conn->head.has_length && !conn->head.is_chunked)
		return NULL;
	return conn->server.body_bytes ? conn->input.data + conn->server.body_offset : "";
}

static void server_deliver_request(struct http_connection *conn)
{
	struct http *http = conn->http;
	struct server_side *side = &conn->server;

	http_head_resolve_fields(conn);
	side->token = ++http->last_token_serial << TOKEN_SLOT_BITS | side->slot;
	side->request = (struct http_request){ .token = side->token,
					       .listener_id = side->listener->listener.listener_id,
					       .method = side->method,
					       .target = conn->input.data + side->target_offset,
					       .fields = conn->fields,
					       .field_count = conn->field_count,
					       .body = request_body(conn),
					       .body_bytes = side->body_bytes,
					       .received_at_ms = http->now_ms };
	side->has_response_begun = side->is_body_omitted = side->is_rejection = 0;
	side->is_outcome_pending = 1;
	side->response_deadline_ms = 0;
	side->close_after_response = conn->head.close_connection;
	conn->state = CONN_HANDLING;
	conn->timeout_at_ms = TIME_NEVER;
	http->busy_client_count++;
	http->counters.received_requests++;
	http->callback_made = 1;
	http->callbacks.request_received(http->callbacks.context, &side->request);
}

static int server_parse_body(struct http_connection *conn)
{
	struct server_side *side = &conn->server;
	const char *data = NULL;
	size_t data_size, size;
	ssize_t consumed;

	if (!conn->head.is_chunked) {
		size = conn->input.len - side->parse_offset;
		if (size > conn->body_remaining)
			size = (size_t)conn->body_remaining;
		side->parse_offset += size;
		side->body_bytes += size;
		conn->body_remaining -= size;
		return !conn->body_remaining;
	}
	while (side->parse_offset < conn->input.len && conn->chunks.state != CHUNK_DONE) {
		if ((consumed = http_chunk_parse(&conn->chunks, conn->input.data + side->parse_offset,
						 conn->input.len - side->parse_offset, &data, &data_size)) <
		    0) {
			http_server_reject(conn, 400, 0);
			return 0;
		}
		if (conn->chunks.state != CHUNK_SIZE &&
		    side->body_bytes + data_size + conn->chunks.remaining_bytes >
			side->max_body_bytes) { /* in CHUNK_SIZE the size may be incomplete */
			http_server_reject(conn, 413, 0);
			return 0;
		}
		if (conn->chunks.state != CHUNK_SIZE &&
		    !reserve_memory(conn, side->body_offset + side->body_bytes + data_size +
					      (size_t)conn->chunks.remaining_bytes))
			return 0;
		if (data_size)
			memmove(conn->input.data + side->body_offset + side->body_bytes, data, data_size);
		side->body_bytes += data_size;
		side->parse_offset += (size_t)consumed;
	}
	if (conn->chunks.state == CHUNK_DONE)
		return 1;
	/* the bytes of the framing are no longer needed: reuse their space */
	conn->input.len = side->parse_offset = side->body_offset + side->body_bytes;
	return 0;
}

/* Prepares to read the body after a complete head. */
static void server_begin_body(struct http_connection *conn, size_t head_end)
{
	struct server_side *side = &conn->server;

	if (!reserve_memory(conn, head_end + (size_t)conn->head.length))
		return;
	side->parse_offset = side->body_offset = head_end;
	side->body_bytes = 0;
	side->max_body_bytes = side->listener->listener.limits.max_body_bytes;
	conn->body_remaining = conn->head.length;
	conn->chunks = (struct chunk_parser){ 0 };
	conn->state = CONN_READING_BODY;
	if (conn->body_remaining > conn->input.len - side->parse_offset)
		http_buffer_reserve(conn->http, &conn->input,
				    (size_t)conn->body_remaining - (conn->input.len - side->parse_offset));
	if (conn->head.expects_continue && conn->head.minor_version &&
	    (conn->head.is_chunked || conn->body_remaining) && conn->input.len == side->parse_offset) {
		http_buffer_append_text(conn->http, &conn->output, "HTTP/1.1 100 Continue\r\n\r\n");
		http_conn_queue(conn);
	}
}

/* The head is incomplete. Its timeout starts with its first byte. */
static void server_await_head(struct http_connection *conn)
{
	if (!reserve_memory(conn, conn->input.len))
		return;
	if (conn->timeout_at_ms != TIME_NEVER && conn->server.has_head_begun)
		return;
	conn->server.has_head_begun = 1;
	begin_wait(conn);
}

/* Parses the head of a request if it is complete. A request that cannot be served is rejected. */
static void server_parse_head(struct http_connection *conn)
{
	struct server_side *side = &conn->server;
	const struct http_limits *limits = &side->listener->listener.limits;
	ssize_t head_end;

	while (conn->input.len - side->parse_offset >= 2 &&
	       !memcmp(conn->input.data + side->parse_offset, "\r\n", 2))
		side->parse_offset += 2; /* empty lines before a request line are ignored */
	if (conn->input.len == side->parse_offset) {
		conn->input.len = side->parse_offset = conn->scan_offset = 0;
		return;
	}
	head_end = http_find_head_end(conn, side->parse_offset);
	if (head_end < 0)
		http_server_reject(conn, 400, 0);
	else if ((head_end ? (size_t)head_end : conn->input.len) - side->parse_offset >
		 limits->max_head_bytes)
		http_server_reject(conn, 431, 0);
	else if (!head_end)
		server_await_head(conn);
	else if (!http_parse_head(conn, side->parse_offset, (size_t)head_end, 1))
		http_server_reject(conn, 400, 0);
	else if (conn->head.has_length && conn->head.length > limits->max_body_bytes)
		http_server_reject(conn, 413, 0);
	else
		server_begin_body(conn, (size_t)head_end);
}

static void server_parse(struct http_connection *conn)
{
	if (conn->state == CONN_READING_HEAD)
		server_parse_head(conn);
	if (conn->state != CONN_READING_BODY)
		return;
	if (server_parse_body(conn))
		server_deliver_request(conn);
	else if (conn->state == CONN_READING_BODY)
		begin_wait(conn);
}

void http_server_await_request(struct http_connection *conn)
{
	conn->state = CONN_READING_HEAD;
	conn->server.has_head_begun = 0;
	conn->server.parse_offset = conn->scan_offset = 0;
	begin_wait(conn);
}

/* Called when the answer was sent. A connection whose answer did not carry Connection: close waits for the
 * next request, even while the listener drains: the next request may be in transit, and closing the
 * connection would answer it with a reset that may overtake the answer. */
static void server_next_request(struct http_connection *conn)
{
	struct http *http = conn->http;
	struct server_side *side = &conn->server;
	size_t leftover_bytes =
	    conn->input.len > side->parse_offset ? conn->input.len - side->parse_offset : 0;

	http_server_count_outcome(conn, side->is_rejection ? HTTP_OUTCOME_REJECTED : HTTP_OUTCOME_ANSWERED);
	http_server_release_memory(conn);
	if (side->close_after_response) {
		http_server_linger(conn);
		return;
	}
	if (leftover_bytes)
		memmove(conn->input.data, conn->input.data + side->parse_offset, leftover_bytes);
	conn->input.len = leftover_bytes;
	if (side->pipelined.len) {
		http_buffer_append(http, &conn->input, side->pipelined.data, side->pipelined.len);
		http_buffer_free(http, &side->pipelined);
		if (!(conn->event_mask & EPOLLIN))
			http_conn_watch(conn, HTTP_READ_EVENTS);
	}
	http->busy_client_count--;
	http_server_await_request(conn);
	if (conn->input.len)
		server_parse(conn);
	else
		http_buffer_free(http, &conn->input);
}

/* Whether the answer's deadline has passed before its first byte was sent. The process may have been
 * suspended after the answer was given. */
static int response_is_late(const struct http_connection *conn)
{
	return conn->server.response_deadline_ms && conn->state == CONN_SENDING_RESPONSE &&
	       conn->output.len && !conn->output.offset && clock_ms() > conn->server.response_deadline_ms;
}

void http_server_flush(struct http_connection *conn)
{
	int lost;

	if (conn->state == CONN_LINGERING)
		return;
	if (response_is_late(conn)) {
		http_server_abort(conn, HTTP_OUTCOME_EXPIRED);
		return;
	}
	if (!http_conn_send(conn, &lost)) {
		if (lost)
			handle_client_disconnect(conn);
		else
			http_conn_watch(conn, conn->event_mask | EPOLLOUT);
		return;
	}
	if (conn->event_mask & EPOLLOUT)
		http_conn_watch(conn, conn->event_mask & ~(uint32_t)EPOLLOUT);
	if (conn->state == CONN_SENDING_RESPONSE)
		server_next_request(conn);
}

/* Reads bytes that follow the request being answered: if there are any, the connection must not be closed
 * after this answer. It does not use the scratch buffer, which may hold bytes of a server's answer that is
 * being forwarded. */
static void server_read_pipelined(struct http_connection *conn)
{
	struct http *http = conn->http;
	struct buffer *pipelined = &conn->server.pipelined;
	ssize_t received =
	    recv(conn->fd, http_buffer_reserve(http, pipelined, BUFFER_BLOCK_BYTES), BUFFER_BLOCK_BYTES, 0);

	if (received > 0)
		pipelined->len += (size_t)received;
	else
		http_buffer_free(http, pipelined);
}

/* Returns the number of bytes received; 0: none, or the client disconnected. */
static ssize_t server_read(struct http_connection *conn)
{
	struct http *http = conn->http;
	struct server_side *side = &conn->server;
	ssize_t received = recv(conn->fd, http->scratch, SCRATCH_BYTES, 0);

	if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return 0;
	if (received <= 0) {
		handle_client_disconnect(conn);
		return 0;
	}
	switch (conn->state) {
	case CONN_READING_HEAD:
	case CONN_READING_BODY:
		http_buffer_append(http, &conn->input, http->scratch, (size_t)received);
		server_parse(conn);
		break;
	case CONN_HANDLING:
	case CONN_SENDING_RESPONSE:
		if (side->must_linger)
			break; /* the rest of a rejected request is discarded */
		http_buffer_append(http, &side->pipelined, http->scratch, (size_t)received);
		if (side->pipelined.len >= MAX_PIPELINED_BYTES)
			http_conn_watch(conn, conn->event_mask & ~(uint32_t)EPOLLIN);
		break;
	default:
		break;
	}
	return received;
}

/* The client shut down its sending direction after its answer was finished: it still reads the answer, and
 * sends no more requests. */
static void handle_half_close(struct http_connection *conn)
{
	conn->server.close_after_response = conn->server.must_linger = 1;
	http_conn_watch(conn, EPOLLHUP | (conn->event_mask & (uint32_t)EPOLLOUT));
}

/* A client that shuts down its sending direction before its answer is finished counts as disconnected.
 * HTTP/1.1 does not define what such a half-close means. It cannot be told from a full close until something
 * is sent, and a server must not continue to work for a client that has disconnected. */
void http_server_event(struct http_connection *conn, uint32_t events)
{
	if (conn->state == CONN_LINGERING) {
		http_server_linger_read(conn);
		return;
	}
	if ((events & (EPOLLHUP | EPOLLERR)) ||
	    ((events & EPOLLRDHUP) && conn->state != CONN_SENDING_RESPONSE)) {
		handle_client_disconnect(conn);
		return;
	}
	if (events & EPOLLOUT)
		http_server_flush(conn);
	if (conn->is_closed)
		return;
	if ((events & EPOLLRDHUP) && conn->state == CONN_SENDING_RESPONSE)
		handle_half_close(conn);
	else if (events & EPOLLIN)
		server_read(conn);
}

/* Reads first, because bytes may have been received since the last poll if the process was suspended. */
int http_server_read_progress(struct http_connection *conn)
{
	int was_in_head = conn->state == CONN_READING_HEAD && conn->server.has_head_begun;
	ssize_t received = server_read(conn);

	return conn->is_closed || conn->state == CONN_HANDLING || conn->state == CONN_SENDING_RESPONSE ||
	       (received > 0 && !(was_in_head && conn->state == CONN_READING_HEAD));
}

/* Bytes of the answer that the client's machine has not acknowledged, including those not passed to the
 * kernel. */
static uint64_t unsent_bytes(const struct http_connection *conn)
{
	int kernel_bytes = 0;

	if (ioctl(conn->fd, SIOCOUTQ, &kernel_bytes) || kernel_bytes < 0)
		kernel_bytes = 0;
	return conn->output.len - conn->output.offset + (uint64_t)kernel_bytes;
}

/* Over a slow link one answer may take many times the idle timeout: it is aborted only when no byte was
 * acknowledged for that time. */
static int response_progressed(struct http_connection *conn)
{
	uint64_t unsent;

	http_server_flush(conn);
	if (conn->is_closed || conn->state != CONN_SENDING_RESPONSE)
		return 1;
	unsent = unsent_bytes(conn);
	if (unsent >= conn->server.unsent_bytes)
		return 0;
	conn->server.unsent_bytes = unsent;
	begin_wait(conn);
	return 1;
}

static bool has_progressed(struct http_connection *conn)
{
	return conn->state == CONN_SENDING_RESPONSE ? response_progressed(conn)
						    : http_server_read_progress(conn);
}

void http_server_timeout(struct http_connection *conn)
{
	int64_t timeout_at_ms = conn->server.wait_began_at_ms + wait_timeout_ms(conn);

	if (conn->state == CONN_HANDLING)
		return;
	if (conn->state == CONN_LINGERING) {
		http_server_linger_read(conn);
		if (!conn->is_closed)
			http_conn_close(conn, 0);
	} else if (timeout_at_ms > conn->http->now_ms) { /* the limit was raised during the wait */
		http_timer_set(conn, timeout_at_ms);
	} else if (!has_progressed(conn)) {
		http_server_abort(conn, HTTP_OUTCOME_STALLED);
	}
}

/* Whether the answer must carry Connection: close because its listener drains. It must not if bytes of
 * another request were received, because that request is served too. */
static int should_close_after_response(struct http_connection *conn)
{
	struct server_side *side = &conn->server;

	if (!side->listener->listener.is_draining || side->close_after_response)
		return 0;
	if (conn->input.len <= side->parse_offset && !side->pipelined.len && (conn->event_mask & EPOLLIN))
		server_read_pipelined(conn);
	return conn->input.len <= side->parse_offset && !side->pipelined.len;
}

static bool has_retry_after(int status, const struct http_field *fields, int field_count)
{
	return (status == 503 || status == 429) &&
	       http_field_value(fields, field_count, "Retry-After") != NULL;
}

/* Appends the head of an answer. Negative length: the body is chunked in HTTP/1.1 and ends with the
 * connection in HTTP/1.0. */
static void append_response_head(struct http_connection *conn, int status, const struct http_field *fields,
				 int field_count, int64_t length)
{
	struct http *http = conn->http;
	struct server_side *side = &conn->server;
	int i, has_no_body = status == 204 || status == 304 || (status >= 100 && status < 200);

	append_status_line(http, &conn->output, status);
	for (i = 0; i < field_count; i++)
		if (!http_is_framing_field(fields[i].name))
			http_buffer_append_field(http, &conn->output, &fields[i]);
	side->has_response_begun = 1;
	side->is_body_omitted = has_no_body || !strcmp(side->method, "HEAD");
	side->is_rejection = has_retry_after(status, fields, field_count);
	if (should_close_after_response(conn))
		side->close_after_response = side->must_linger = 1;
	side->response_remaining_bytes = length < 0 ? 0 : (uint64_t)length;
	if (has_no_body)
		side->response_framing = BODY_NONE;
	else if (length >= 0)
		side->response_framing = BODY_LENGTH;
	else
		side->response_framing = conn->head.minor_version ? BODY_CHUNKED : BODY_UNTIL_EOF;
	if (side->response_framing == BODY_LENGTH) {
		http_buffer_append_text(http, &conn->output, "Content-Length: ");
		http_buffer_append_number(http, &conn->output, (uint64_t)length, 10);
		http_buffer_append(http, &conn->output, "\r\n", 2);
	} else if (side->response_framing == BODY_CHUNKED) {
		http_buffer_append_text(http, &conn->output, "Transfer-Encoding: chunked\r\n");
	}
	if (side->close_after_response)
		http_buffer_append_text(http, &conn->output, "Connection: close\r\n");
	http_buffer_append(http, &conn->output, "\r\n", 2);
	http_conn_queue(conn);
}

static void finish_response(struct http_connection *conn)
{
	conn->state = CONN_SENDING_RESPONSE;
	conn->server.unsent_bytes = UINT64_MAX; /* determined only when the idle timeout expires, which saves
						   a system call for each answer */
	begin_wait(conn);
	http_conn_queue(conn);
}

const struct http_request *http_request_find(struct http *http, uint64_t token)
{
	struct http_connection *conn = find_by_token(http, token);

	return conn ? &conn->server.request : NULL;
}

void http_respond(struct http *http, uint64_t token, int status, const struct http_field *fields,
		  int field_count, const char *body, size_t body_bytes)
{
	struct http_connection *conn = find_by_token(http, token);

	if (!conn || conn->server.has_response_begun)
		return;
	append_response_head(conn, status, fields, field_count, (int64_t)body_bytes);
	if (!conn->server.is_body_omitted)
		http_buffer_append(http, &conn->output, body, body_bytes);
	finish_response(conn);
}

void http_response_set_deadline(struct http *http, uint64_t token, int64_t deadline_ms)
{
	struct http_connection *conn = find_by_token(http, token);

	if (conn && !conn->server.has_response_begun)
		conn->server.response_deadline_ms = deadline_ms;
}

void http_response_begin(struct http *http, uint64_t token, int status, const struct http_field *fields,
			 int field_count, int64_t length)
{
	struct http_connection *conn = find_by_token(http, token);

	if (conn && !conn->server.has_response_begun)
		append_response_head(conn, status, fields, field_count, length);
}

void http_response_write(struct http *http, uint64_t token, const char *data, size_t size)
{
	struct http_connection *conn = find_by_token(http, token);

	if (!conn || !conn->server.has_response_begun || conn->server.is_body_omitted || !size)
		return;
	switch (conn->server.response_framing) {
	case BODY_LENGTH:
		if (size > conn->server.response_remaining_bytes) {
			log_write(LOG_ERROR, "http",
				  "Answer to a client aborted: its body is longer than its Content-Length.");
			http_response_abort(http, token);
			return;
		}
		conn->server.response_remaining_bytes -= size;
		http_buffer_append(http, &conn->output, data, size);
		break;
	case BODY_CHUNKED:
		http_buffer_append_number(http, &conn->output, size, 16);
		http_buffer_append(http, &conn->output, "\r\n", 2);
		http_buffer_append(http, &conn->output, data, size);
		http_buffer_append(http, &conn->output, "\r\n", 2);
		break;
	default:
		http_buffer_append(http, &conn->output, data, size);
	}
	http_conn_queue(conn);
}

void http_response_finish(struct http *http, uint64_t token)
{
	struct http_connection *conn = find_by_token(http, token);

	if (!conn)
		return;
	if (!conn->server.has_response_begun ||
	    (conn->server.response_framing == BODY_LENGTH && conn->server.response_remaining_bytes &&
	     !conn->server.is_body_omitted)) {
		http_response_abort(http, token);
		return;
	}
	if (conn->server.response_framing == BODY_CHUNKED && !conn->server.is_body_omitted)
		http_buffer_append(http, &conn->output, "0\r\n\r\n", 5);
	finish_response(conn);
}

void http_response_abort(struct http *http, uint64_t token)
{
	struct http_connection *conn = find_by_token(http, token);

	if (conn)
		http_server_abort(conn, HTTP_OUTCOME_ABORTED);
}

size_t http_response_unsent_bytes(struct http *http, uint64_t token)
{
	struct http_connection *conn = find_by_token(http, token);

	return conn ? conn->output.len - conn->output.offset : 0;
}

int http_busy_count(const struct http *http)
{
	return http->busy_client_count + http->sweep_count;
}
