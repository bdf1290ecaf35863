/* http_disconnect: closing of clients' connections, and the outcome of each request that was received
 * completely. Invariants: a connection whose request has no outcome yet is closed
 * only by this file; no connection is closed after a complete answer while unread input may remain, because
 * the kernel would then send a reset, which may overtake the answer. */
#include <errno.h>
#include <sys/socket.h>

#include "http_internal.h"

enum {
	MAX_SHUTDOWN_READS =
	    16 /* reads on each connection when the loop is closed, so that unread input causes no reset */
};

void http_server_count_outcome(struct http_connection *conn, enum http_outcome outcome)
{
	if (!conn->server.is_outcome_pending)
		return;
	conn->server.is_outcome_pending = 0;
	conn->http->counters.outcomes[outcome]++;
}

void http_server_abort(struct http_connection *conn, enum http_outcome outcome)
{
	http_server_count_outcome(conn, outcome);
	http_conn_close(conn, outcome == HTTP_OUTCOME_ABORTED || outcome == HTTP_OUTCOME_EXPIRED);
}

/* Whether the client has announced that its request is the last one, and has sent no bytes after it. */
static int client_has_finished_sending(const struct http_connection *conn)
{
	return conn->head.close_connection && !conn->server.must_linger &&
	       conn->input.len <= conn->server.parse_offset && !conn->server.pipelined.len;
}

void http_server_linger(struct http_connection *conn)
{
	struct http *http = conn->http;

	if (client_has_finished_sending(conn)) {
		http_conn_close(conn, 0);
		return;
	}
	http->busy_client_count--;
	shutdown(conn->fd, SHUT_WR);
	conn->state = CONN_LINGERING;
	http_buffer_free(http, &conn->input);
	http_buffer_free(http, &conn->server.pipelined);
	http_conn_watch(conn, HTTP_READ_EVENTS);
	http_timer_set(conn, http->now_ms + LINGER_TIMEOUT_MS);
}

/* Reads and discards input. Returns the number of bytes; 0: the client has closed its direction or the
 * connection failed; -1: no input is available. */
static ssize_t discard_input(struct http_connection *conn)
{
	ssize_t received = recv(conn->fd, conn->http->scratch, SCRATCH_BYTES, 0);

	if (received >= 0)
		return received;
	return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? -1 : 0;
}

void http_server_linger_read(struct http_connection *conn)
{
	if (!discard_input(conn))
		http_conn_close(conn, 0);
}

void http_server_shut_down(struct http_connection *conn)
{
	int lost, sent = conn->state != CONN_LINGERING && http_conn_send(conn, &lost), read_count = 0;
	int answered = conn->state == CONN_LINGERING || (conn->state == CONN_SENDING_RESPONSE && sent);

	if (!answered) {
		http_server_abort(conn, HTTP_OUTCOME_CLOSED);
		return;
	}
	http_server_count_outcome(conn,
				  conn->server.is_rejection ? HTTP_OUTCOME_REJECTED : HTTP_OUTCOME_ANSWERED);
	shutdown(conn->fd, SHUT_WR);
	while (read_count++ < MAX_SHUTDOWN_READS && discard_input(conn) > 0)
		;
	http_conn_close(conn, 0);
}
