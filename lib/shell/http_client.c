/* http_client: calls to servers, and idle connections that are kept for later calls.
 * Invariant: a call moves to another connection only while none of its bytes has been sent; after that its
 * result depends only on what is read on that connection. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "clock.h"
#include "containers.h"
#include "http_internal.h"
#include "log.h"

static struct peer *peer_find_or_add(struct http *http, uint64_t addr)
{
	struct peer *peer = hmget(http->peers, addr);

	if (peer)
		return peer;
	if (!(peer = calloc(1, sizeof *peer)))
		abort();
	peer->addr = addr;
	hmput(http->peers, addr, peer);
	return peer;
}

/* Returns a connection to a peer: an idle one, or a new one that is not open yet. Returns NULL if the peer's
 * limit of connections is reached. */
static struct http_connection *peer_acquire_connection(struct http *http, struct peer *peer,
						       int needs_new_connection, int64_t now_ms)
{
	struct http_connection *conn;

	while (!needs_new_connection && (conn = peer->first_idle)) {
		if (conn->timeout_at_ms > now_ms) {
			http_conn_remove_idle(conn);
			conn->state = CONN_QUEUED;
			return conn;
		}
		peer->open_connections++; /* keeps http_conn_close from freeing the peer */
		http_conn_close(conn, 0);
		peer->open_connections--;
	}
	if (peer->max_connections && peer->open_connections >= peer->max_connections) {
		if (!peer->last_idle)
			return NULL;
		peer->open_connections++;
		http_conn_close(peer->last_idle, 0);
		peer->open_connections--;
	}
	conn = http_conn_new(http, CONN_CLIENT, -1);
	conn->client.peer = peer;
	conn->client.peer_epoch = peer->epoch;
	conn->state = CONN_QUEUED;
	peer->open_connections++;
	return conn;
}

/* How long after an answer its connection may be reused. A margin before the server's own timeout keeps a
 * request from crossing with the server's close: a quarter of the timeout, and at least 300 ms. */
static int64_t keep_alive_ms(const struct http_head *head)
{
	int64_t margin_ms = (int64_t)head->keep_alive_s * 250;

	if (head->keep_alive_s < 0)
		return DEFAULT_KEEP_ALIVE_MS;
	return (int64_t)head->keep_alive_s * 1000 - (margin_ms < 300 ? 300 : margin_ms);
}

static void client_make_idle(struct http_connection *conn)
{
	struct peer *peer = conn->client.peer;

	if (conn->client.reusable_until_ms <= conn->http->now_ms || conn->client.peer_epoch != peer->epoch) {
		http_conn_close(conn, 0);
		return;
	}
	conn->state = CONN_IDLE;
	conn->client.next = peer->first_idle;
	conn->client.prev = NULL;
	if (peer->first_idle)
		peer->first_idle->client.prev = conn;
	else
		peer->last_idle = conn;
	peer->first_idle = conn;
	http_buffer_free(conn->http, &conn->input);
	http_timer_set(conn, conn->client.reusable_until_ms);
}

void http_client_finish_call(struct http_connection *conn, enum http_call_result result, int reusable)
{
	struct http *http = conn->http;
	uint64_t token = conn->client.token;
	int status = conn->head.status;

	(void)hmdel(http->calls, token);
	http_buffer_free(http, &conn->output);
	if (reusable)
		client_make_idle(conn);
	else
		http_conn_close(conn, 0);
	http->callback_made = 1;
	http->callbacks.call_done(http->callbacks.context, token, result,
				  result == HTTP_CALL_NOT_SENT ? 0 : status);
}

static void client_fail_call(struct http_connection *conn)
{
	http_client_finish_call(
	    conn, conn->client.has_sent_bytes ? HTTP_CALL_OUTCOME_UNKNOWN : HTTP_CALL_NOT_SENT, 0);
}

static int64_t earlier_time(int64_t left, int64_t right)
{
	return left < right ? left : right;
}

/* When the complete request must have been sent. */
static int64_t sending_deadline_ms(const struct http_connection *conn)
{
	int64_t not_after_ms = conn->client.not_after_ms;

	return earlier_time(not_after_ms == TIME_NEVER ? TIME_NEVER : not_after_ms + 1,
			    conn->client.deadline_ms);
}

static void client_connect(struct http_connection *conn)
{
	struct http *http = conn->http;
	struct sockaddr_in address = http_socket_address(conn->client.peer->addr);

	if ((conn->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) < 0) {
		http_client_finish_call(conn, HTTP_CALL_NOT_SENT, 0);
		return;
	}
	http_socket_set_options(conn->fd);
	http->counters.connections_opened++;
	if (connect(conn->fd, (struct sockaddr *)&address, sizeof address) && errno != EINPROGRESS) {
		http_client_finish_call(conn, HTTP_CALL_NOT_SENT, 0);
		return;
	}
	conn->state = CONN_CONNECTING;
	http_conn_watch(conn, HTTP_READ_EVENTS | EPOLLOUT);
	http_timer_set(
	    conn, earlier_time(sending_deadline_ms(conn), http->now_ms + conn->client.connect_timeout_ms));
}

/* Moves a call to another connection. None of its bytes was sent on the present one. Returns NULL if the call
 * ended because no connection is allowed. */
static struct http_connection *client_move_call(struct http_connection *conn)
{
	struct http *http = conn->http;
	struct peer *peer = conn->client.peer;
	struct http_connection *replacement;

	peer->open_connections++;
	http_conn_close(conn, 0);
	peer->open_connections--;
	if (!(replacement =
		  peer_acquire_connection(http, peer, conn->client.needs_new_connection, http->now_ms))) {
		http_peer_free_if_unused(http, peer);
		(void)hmdel(http->calls, conn->client.token);
		http->callback_made = 1;
		http->callbacks.call_done(http->callbacks.context, conn->client.token, HTTP_CALL_NOT_SENT, 0);
		return NULL;
	}
	replacement->output = conn->output;
	conn->output = (struct buffer){ 0 };
	replacement->client.token = conn->client.token;
	replacement->client.not_after_ms = conn->client.not_after_ms;
	replacement->client.deadline_ms = conn->client.deadline_ms;
	replacement->client.connect_timeout_ms = conn->client.connect_timeout_ms;
	replacement->client.needs_new_connection = conn->client.needs_new_connection;
	replacement->client.is_head_request = conn->client.is_head_request;
	replacement->client.has_sent_bytes = 0;
	replacement->timeout_at_ms = TIME_NEVER;
	hmput(http->calls, replacement->client.token, replacement);
	return replacement;
}

/* Sends the rest of the request. Returns 0 if the connection failed before any byte was sent. */
static int client_send(struct http_connection *conn)
{
	size_t offset_before = conn->output.offset;
	int lost, all_sent = http_conn_send(conn, &lost);

	if (lost) {
		if (!conn->client.has_sent_bytes)
			return 0;
		/* the server may have answered before it closed: read what was received */
		conn->client.is_request_truncated = 1;
		http_buffer_free(conn->http, &conn->output);
		http_conn_watch(conn, HTTP_READ_EVENTS);
		return 1;
	}
	conn->client.has_sent_bytes |= all_sent || conn->output.offset > offset_before;
	http_conn_watch(conn, all_sent ? HTTP_READ_EVENTS : HTTP_READ_EVENTS | EPOLLOUT);
	http_timer_set(conn, all_sent ? conn->client.deadline_ms : sending_deadline_ms(conn));
	return 1;
}

static int is_past_send_deadline(const struct http_connection *conn)
{
	int64_t now_ms = clock_ms(); /* http->now_ms may be old if the process was suspended */

	return now_ms > conn->client.not_after_ms || now_ms >= conn->client.deadline_ms;
}

void http_client_start_call(struct http_connection *conn)
{
	while (conn && conn->state == CONN_QUEUED) {
		if (conn->fd >= 0) {
			char peeked_byte;

			if (recv(conn->fd, &peeked_byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
			    (errno != EAGAIN && errno != EWOULDBLOCK) ||
			    clock_ms() >= conn->client.reusable_until_ms) {
				conn = client_move_call(conn);
				continue;
			}
		}
		if (is_past_send_deadline(conn)) {
			http_client_finish_call(conn, HTTP_CALL_NOT_SENT, conn->fd >= 0);
			return;
		}
		if (conn->fd < 0) {
			client_connect(conn);
			return;
		}
		conn->state = CONN_AWAITING_HEAD;
		conn->scan_offset = 0;
		conn->head = (struct http_head){ .keep_alive_s = -1 };
		if (client_send(conn)) {
			conn->http->counters.connections_reused++;
			return;
		}
		conn = client_move_call(conn);
	}
}

static int client_parse(struct http_connection *conn, const char *data, size_t size);

/* A discarded answer to another request is complete. The bytes that follow it belong to the next answer.
 * Returns 1 when the call is over. */
static int client_next_response(struct http_connection *conn, const char *surplus, size_t surplus_bytes)
{
	char *copy = NULL;
	int is_call_over;

	conn->client.is_skipping_response = 0;
	if (++conn->client.skipped_response_count > MAX_SKIPPED_RESPONSES || conn->head.close_connection) {
		client_fail_call(conn);
		return 1;
	}
	if (surplus_bytes) { /* surplus may point into the buffer that is freed below */
		copy = malloc(surplus_bytes);
		if (!copy)
			abort();
		memcpy(copy, surplus, surplus_bytes);
	}
	http_buffer_free(conn->http, &conn->input);
	conn->state = CONN_AWAITING_HEAD;
	conn->scan_offset = 0;
	conn->head = (struct http_head){ .keep_alive_s = -1 };
	is_call_over = surplus_bytes ? client_parse(conn, copy, surplus_bytes) : 0;
	free(copy);
	return is_call_over;
}

/* The answer is complete. If surplus bytes follow it, the connection is closed. Returns 1 when the call is
 * over. */
static int client_response_complete(struct http_connection *conn, const char *surplus, size_t surplus_bytes)
{
	if (conn->client.is_skipping_response)
		return client_next_response(conn, surplus, surplus_bytes);
	/* The server's timeout runs from the time at which it answered, which may be long ago if this process
	 * was suspended. The previous poll is used because it was certainly before the answer arrived. */
	conn->client.reusable_until_ms = conn->http->previous_poll_at_ms + keep_alive_ms(&conn->head);
	http_client_finish_call(conn, HTTP_CALL_COMPLETE,
				!surplus_bytes && !conn->client.skipped_response_count &&
				    !conn->head.close_connection && !conn->output.len &&
				    !conn->client.is_request_truncated);
	return 1;
}

static void client_deliver_body(struct http_connection *conn, const char *data, size_t size)
{
	if (size && !conn->client.is_skipping_response)
		conn->http->callbacks.response_body(conn->http->callbacks.context, conn->client.token, data,
						    size);
}

/* Reads bytes of the answer's body. Returns 1 when the call is over. */
static int client_read_body(struct http_connection *conn, const char *data, size_t size)
{
	const char *span = NULL;
	size_t span_size;
	ssize_t consumed;

	switch (conn->client.response_framing) {
	case BODY_LENGTH:
		span_size = size < conn->body_remaining ? size : (size_t)conn->body_remaining;
		conn->body_remaining -= span_size;
		client_deliver_body(conn, data, span_size);
		if (conn->is_closed)
			return 1;
		if (conn->body_remaining)
			return 0;
		return client_response_complete(conn, data + span_size, size - span_size);
	case BODY_CHUNKED:
		while (size && conn->chunks.state != CHUNK_DONE) {
			if ((consumed = http_chunk_parse(&conn->chunks, data, size, &span, &span_size)) < 0) {
				client_fail_call(conn);
				return 1;
			}
			client_deliver_body(conn, span, span_size);
			if (conn->is_closed)
				return 1;
			data += consumed;
			size -= (size_t)consumed;
		}
		return conn->chunks.state == CHUNK_DONE ? client_response_complete(conn, data, size) : 0;
	case BODY_UNTIL_EOF:
		client_deliver_body(conn, data, size);
		return conn->is_closed;
	default:
		return client_response_complete(conn, data, size);
	}
}

/* How the body that follows the parsed head is framed (RFC 9112, 6.3). */
static enum body_framing response_framing(const struct http_connection *conn)
{
	const struct http_head *head = &conn->head;

	if (conn->client.is_head_request || head->status == 204 || head->status == 304 ||
	    (head->has_length && !head->length))
		return BODY_NONE;
	if (head->is_chunked)
		return BODY_CHUNKED;
	return head->has_length ? BODY_LENGTH : BODY_UNTIL_EOF;
}

/* Parses received bytes of an answer. Returns 1 when the call is over. */
static int client_parse(struct http_connection *conn, const char *data, size_t size)
{
	struct http *http = conn->http;
	size_t head_offset = 0;
	ssize_t head_end;

	if (conn->state == CONN_READING_RESPONSE)
		return client_read_body(conn, data, size);
	http_buffer_append(http, &conn->input, data, size);
	for (;;) {
		head_end = http_find_head_end(conn, head_offset);
		if (head_end < 0 ||
		    (head_end ? (size_t)head_end : conn->input.len) - head_offset > MAX_RESPONSE_HEAD_BYTES ||
		    (head_end && !http_parse_head(conn, head_offset, (size_t)head_end, 0)) ||
		    (head_end && conn->head.status == 101)) {
			client_fail_call(conn);
			return 1;
		}
		if (!head_end) {
			if (head_offset) {
				memmove(conn->input.data, conn->input.data + head_offset,
					conn->input.len - head_offset);
				conn->input.len -= head_offset;
				conn->scan_offset -= head_offset;
			}
			return 0;
		}
		head_offset = (size_t)head_end;
		if (conn->head.status >= 200)
			break;
	}
	conn->body_remaining = conn->head.length;
	conn->chunks = (struct chunk_parser){ 0 };
	conn->client.response_framing = response_framing(conn);
	conn->state = CONN_READING_RESPONSE;
	http_head_resolve_fields(conn);
	http->callback_made = 1;
	http->callbacks.response_head(http->callbacks.context, conn->client.token, conn->head.status,
				      conn->fields, conn->field_count);
	if (conn->is_closed)
		return 1;
	return client_read_body(conn, conn->input.data + head_offset, conn->input.len - head_offset);
}

static void client_handle_eof(struct http_connection *conn)
{
	if (conn->state == CONN_READING_RESPONSE && conn->client.response_framing == BODY_UNTIL_EOF &&
	    !conn->client.is_skipping_response)
		http_client_finish_call(conn, HTTP_CALL_ENDED_BY_CLOSE, 0);
	else
		client_fail_call(conn);
}

static void client_read(struct http_connection *conn, uint32_t events)
{
	struct http *http = conn->http;
	ssize_t received;

	/* if the server has closed its direction, read its last bytes and the end of the stream at once */
	do {
		received = recv(conn->fd, http->scratch, SCRATCH_BYTES, 0);
		if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
			return;
		if (received < 0) {
			client_fail_call(conn);
			return;
		}
		if (!received) {
			client_handle_eof(conn);
			return;
		}
		if (client_parse(conn, http->scratch, (size_t)received))
			return;
	} while (events & EPOLLRDHUP);
}

void http_client_event(struct http_connection *conn, uint32_t events)
{
	switch (conn->state) {
	case CONN_CONNECTING:
		/* bytes received before the request was sent cannot be an answer to it: the call fails */
		if ((events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP | EPOLLIN)) || is_past_send_deadline(conn)) {
			http_client_finish_call(conn, HTTP_CALL_NOT_SENT, 0);
			return;
		}
		conn->state = CONN_AWAITING_HEAD;
		conn->scan_offset = 0;
		conn->head = (struct http_head){ .keep_alive_s = -1 };
		if (!client_send(conn))
			http_client_finish_call(conn, HTTP_CALL_NOT_SENT, 0);
		return;
	case CONN_AWAITING_HEAD:
	case CONN_READING_RESPONSE:
		if (events & ~(uint32_t)EPOLLOUT) {
			client_read(conn, events);
			return; /* the connection may serve another call now */
		}
		if (is_past_send_deadline(conn))
			client_fail_call(conn);
		else
			client_send(conn);
		return;
	case CONN_IDLE:
		http_conn_close(conn, 0);
		return;
	default:
		return; /* CONN_QUEUED: http_client_start_call checks the connection */
	}
}

void http_client_timeout(struct http_connection *conn)
{
	if (conn->state == CONN_IDLE)
		http_conn_close(conn, 0);
	else
		client_fail_call(conn);
}

static int method_has_body(const char *method)
{
	return !strcmp(method, "POST") || !strcmp(method, "PUT") || !strcmp(method, "PATCH");
}

void http_call_start(struct http *http, uint64_t token, uint64_t addr,
		     const struct http_client_request *request)
{
	int64_t now_ms = clock_ms();
	struct http_connection *conn;
	int i;

	if (hmgeti(http->calls, token) >= 0) {
		log_write(LOG_ERROR, "http",
			  "Call to a server not made: its token is in use by another call.");
		return;
	}
	if (!(conn = peer_acquire_connection(http, peer_find_or_add(http, addr),
					     request->needs_new_connection, now_ms))) {
		conn = http_conn_new(http, CONN_CLIENT, -1);
		conn->state = CONN_FAILED;
	}
	conn->timeout_at_ms = TIME_NEVER;
	conn->client.token = token;
	conn->client.has_sent_bytes = 0;
	conn->client.needs_new_connection = request->needs_new_connection;
	conn->client.not_after_ms = request->not_after_ms;
	conn->client.deadline_ms = request->timeout_ms > 0 ? now_ms + request->timeout_ms : TIME_NEVER;
	conn->client.connect_timeout_ms =
	    request->connect_timeout_ms > 0 ? request->connect_timeout_ms : DEFAULT_CONNECT_TIMEOUT_MS;
	conn->client.is_head_request = !strcmp(request->method, "HEAD");
	hmput(http->calls, token, conn);
	http->counters.started_calls++;
	http_conn_queue(conn);
	if (conn->state == CONN_FAILED)
		return;
	http_buffer_append_single_line(http, &conn->output, request->method);
	http_buffer_append(http, &conn->output, " ", 1);
	http_buffer_append_single_line(http, &conn->output, request->target);
	http_buffer_append(http, &conn->output, " HTTP/1.1\r\n", 11);
	for (i = 0; i < request->field_count; i++)
		if (!http_is_framing_field(request->fields[i].name) || strlen(request->fields[i].name) == 10)
			http_buffer_append_field(http, &conn->output, &request->fields[i]);
	if (request->body || method_has_body(request->method)) {
		http_buffer_append_text(http, &conn->output, "Content-Length: ");
		http_buffer_append_number(http, &conn->output, request->body_bytes, 10);
		http_buffer_append(http, &conn->output, "\r\n", 2);
	}
	http_buffer_append(http, &conn->output, "\r\n", 2);
	if (request->body)
		http_buffer_append(http, &conn->output, request->body, request->body_bytes);
}

void http_call_cancel(struct http *http, uint64_t token)
{
	struct http_connection *conn = hmget(http->calls, token);

	if (!conn)
		return;
	(void)hmdel(http->calls, token);
	http_conn_close(conn, 1);
}

void http_call_skip_response(struct http *http, uint64_t token)
{
	struct http_connection *conn = hmget(http->calls, token);

	if (conn)
		conn->client.is_skipping_response = 1;
}

bool http_call_has_answer(enum http_call_result result)
{
	return result == HTTP_CALL_COMPLETE || result == HTTP_CALL_ENDED_BY_CLOSE;
}

bool http_call_has_sent_bytes(struct http *http, uint64_t token)
{
	struct http_connection *conn = hmget(http->calls, token);

	return conn && conn->client.has_sent_bytes;
}

void http_peer_retire_connections(struct http *http, uint64_t addr)
{
	struct peer *peer = hmget(http->peers, addr);

	if (!peer)
		return;
	peer->epoch++; /* connections in use are closed when their calls end */
	peer->open_connections++;
	while (peer->first_idle)
		http_conn_close(peer->first_idle, 0);
	peer->open_connections--;
	http_peer_free_if_unused(http, peer);
}

void http_peer_set_max_connections(struct http *http, uint64_t addr, int max_connections)
{
	struct peer *peer = peer_find_or_add(http, addr);

	peer->max_connections = max_connections;
	http_peer_free_if_unused(http, peer);
}
