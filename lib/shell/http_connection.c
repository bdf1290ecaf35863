/* http_connection: connections, their timers and their sockets. A closed connection is freed at the end of
 * the loop iteration, because events and lists of that iteration may still refer to it. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "containers.h"
#include "http_internal.h"

/* ---- timers ---- */

static void timer_place(struct http *http, int index, struct http_connection *conn)
{
	http->timer_heap[index] = conn;
	conn->heap_index = index;
}

static void timer_sift_up(struct http *http, int index)
{
	struct http_connection *conn = http->timer_heap[index];

	for (; index && http->timer_heap[(index - 1) / 2]->heap_key_ms > conn->heap_key_ms;
	     index = (index - 1) / 2)
		timer_place(http, index, http->timer_heap[(index - 1) / 2]);
	timer_place(http, index, conn);
}

void http_timer_sift_down(struct http *http, int index)
{
	struct http_connection *conn = http->timer_heap[index];
	int count = (int)arrlen(http->timer_heap), child;

	while ((child = 2 * index + 1) < count) {
		if (child + 1 < count &&
		    http->timer_heap[child + 1]->heap_key_ms < http->timer_heap[child]->heap_key_ms)
			child++;
		if (http->timer_heap[child]->heap_key_ms >= conn->heap_key_ms)
			break;
		timer_place(http, index, http->timer_heap[child]);
		index = child;
	}
	timer_place(http, index, conn);
}

void http_timer_remove(struct http *http, struct http_connection *conn)
{
	struct http_connection *last;
	int index = conn->heap_index;

	if (index < 0)
		return;
	conn->heap_index = -1;
	conn->heap_key_ms = TIME_NEVER;
	last = arrpop(http->timer_heap);
	if (last == conn)
		return;
	timer_place(http, index, last);
	timer_sift_up(http, index);
	http_timer_sift_down(http, last->heap_index);
}

void http_timer_set(struct http_connection *conn, int64_t timeout_at_ms)
{
	conn->timeout_at_ms = timeout_at_ms;
	if (timeout_at_ms >= conn->heap_key_ms)
		return;
	conn->heap_key_ms = timeout_at_ms;
	if (conn->heap_index < 0) {
		conn->heap_index = (int)arrlen(conn->http->timer_heap);
		arrput(conn->http->timer_heap, conn);
	}
	timer_sift_up(conn->http, conn->heap_index);
}

/* ---- connections ---- */

struct http_connection *http_conn_new(struct http *http, enum conn_kind kind, int fd)
{
	struct http_connection *conn = http->spare_connections;
	struct http_field *fields = NULL;
	int field_capacity = 0;

	if (conn) {
		http->spare_connections = conn->client.next;
		fields = conn->fields;
		field_capacity = conn->field_capacity;
	} else if (!(conn = malloc(sizeof *conn))) {
		abort();
	}
	memset(conn, 0, sizeof *conn);
	conn->http = http;
	conn->kind = kind;
	conn->fd = fd;
	conn->fields = fields;
	conn->field_capacity = field_capacity;
	conn->timeout_at_ms = conn->heap_key_ms = TIME_NEVER;
	conn->heap_index = -1;
	return conn;
}

void http_conn_watch(struct http_connection *conn, uint32_t mask)
{
	struct epoll_event event = { .events = mask, .data.ptr = conn };

	if (conn->event_mask == mask)
		return;
	epoll_ctl(conn->http->epoll_fd, conn->event_mask ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, conn->fd, &event);
	conn->event_mask = mask;
}

void http_conn_queue(struct http_connection *conn)
{
	if (conn->is_queued || conn->is_closed)
		return;
	conn->is_queued = 1;
	arrput(conn->http->queued_connections, conn);
}

void http_conn_remove_idle(struct http_connection *conn)
{
	struct peer *peer = conn->client.peer;

	if (conn->client.prev)
		conn->client.prev->client.next = conn->client.next;
	else
		peer->first_idle = conn->client.next;
	if (conn->client.next)
		conn->client.next->client.prev = conn->client.prev;
	else
		peer->last_idle = conn->client.prev;
	conn->client.next = conn->client.prev = NULL;
}

void http_peer_free_if_unused(struct http *http, struct peer *peer)
{
	if (peer->open_connections || peer->max_connections)
		return;
	(void)hmdel(http->peers, peer->addr);
	free(peer);
}

/* Whether an ordinary close of this connection would make an incomplete answer look complete. This is so if
 * the end of the connection marks the end of the answer. */
static int would_close_look_complete(const struct http_connection *conn)
{
	if (conn->kind != CONN_SERVER || !conn->server.has_response_begun ||
	    conn->server.response_framing != BODY_UNTIL_EOF || conn->server.is_body_omitted)
		return 0;
	return conn->state == CONN_HANDLING ||
	       (conn->state == CONN_SENDING_RESPONSE && conn->output.len > conn->output.offset);
}

void http_conn_close(struct http_connection *conn, int with_reset)
{
	struct linger linger = { 1, 0 };
	struct http *http = conn->http;

	if (conn->is_closed)
		return;
	conn->is_closed = 1;
	if (conn->fd >= 0) {
		if (with_reset || would_close_look_complete(conn))
			setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
		close(conn->fd);
	}
	conn->fd = -1;
	http_timer_remove(http, conn);
	if (conn->kind == CONN_SERVER)
		http_server_release_memory(conn);
	if (conn->kind == CONN_SERVER &&
	    (conn->state == CONN_HANDLING || conn->state == CONN_SENDING_RESPONSE))
		http->busy_client_count--;
	if (conn->kind == CONN_CLIENT && conn->client.peer) {
		if (conn->state == CONN_IDLE)
			http_conn_remove_idle(conn);
		conn->client.peer->open_connections--;
		http_peer_free_if_unused(http, conn->client.peer);
		conn->client.peer = NULL;
	}
	arrput(http->closed_connections, conn);
}

static void conn_free(struct http *http, struct http_connection *conn)
{
	if (conn->kind == CONN_SERVER) {
		http_buffer_free(http, &conn->server.pipelined);
		http->slots[conn->server.slot] = NULL;
		arrput(http->free_slots, conn->server.slot);
	}
	http_buffer_free(http, &conn->input);
	http_buffer_free(http, &conn->output);
	conn->client.next = http->spare_connections;
	http->spare_connections = conn;
}

void http_conn_free_closed(struct http *http)
{
	ptrdiff_t i, kept_count = 0;

	for (i = 0; i < arrlen(http->closed_connections); i++)
		if (http->closed_connections[i]->is_queued)
			http->closed_connections[kept_count++] = http->closed_connections[i];
		else
			conn_free(http, http->closed_connections[i]);
	arrsetlen(http->closed_connections, kept_count);
}

void http_socket_set_options(int fd)
{
	int on = 1, user_timeout_ms = UNACKED_TIMEOUT_MS, keepalive_idle_s = 2, keepalive_interval_s = 1,
	    keepalive_probe_count = 3;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_idle_s, sizeof keepalive_idle_s);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s, sizeof keepalive_interval_s);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepalive_probe_count, sizeof keepalive_probe_count);
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
}

static int socket_option_is(int fd, int level, int name, int expected)
{
	int value = -1;
	socklen_t value_size = sizeof value;

	return !getsockopt(fd, level, name, &value, &value_size) &&
	       (expected ? value == expected : value > 0);
}

bool http_socket_has_options(int fd)
{
	return socket_option_is(fd, IPPROTO_TCP, TCP_NODELAY, 0) &&
	       socket_option_is(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS) &&
	       socket_option_is(fd, IPPROTO_TCP, TCP_KEEPIDLE, 2) &&
	       socket_option_is(fd, IPPROTO_TCP, TCP_KEEPINTVL, 1) &&
	       socket_option_is(fd, IPPROTO_TCP, TCP_KEEPCNT, 3) &&
	       socket_option_is(fd, SOL_SOCKET, SO_KEEPALIVE, 0);
}

int http_conn_send(struct http_connection *conn, int *lost)
{
	size_t unsent_bytes = conn->output.len - conn->output.offset;
	ssize_t sent_bytes;

	*lost = 0;
	if (!unsent_bytes)
		return 1;
	do
		sent_bytes =
		    send(conn->fd, conn->output.data + conn->output.offset, unsent_bytes, MSG_NOSIGNAL);
	while (sent_bytes < 0 && errno == EINTR);
	if (sent_bytes < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
		*lost = 1;
		return 0;
	}
	if (sent_bytes > 0)
		conn->output.offset += (size_t)sent_bytes;
	if (sent_bytes > 0 && (size_t)sent_bytes == unsent_bytes) {
		http_buffer_free(conn->http, &conn->output);
		return 1;
	}
	return 0;
}

struct sockaddr_in http_socket_address(uint64_t address)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_addr.s_addr = htonl((uint32_t)(address >> 16)),
				     .sin_port = htons((uint16_t)address) };
}
