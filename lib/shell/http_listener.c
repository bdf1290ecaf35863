/* http_listener: listeners, accepting connections, draining. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "containers.h"
#include "core.h"
#include "http_internal.h"
#include "log.h"

enum {
	MAX_ACCEPT_BURST = 64,
	ACCEPT_PAUSE_MS = 100 /* after accept failed for lack of descriptors or memory */
};

static void pause_accepting(struct http_connection *conn)
{
	conn->state = CONN_ACCEPT_PAUSED;
	http_conn_watch(conn, EPOLLRDHUP);
	http_timer_set(conn, conn->http->now_ms + ACCEPT_PAUSE_MS);
}

static uint32_t allocate_slot(struct http *http, struct http_connection *conn)
{
	uint32_t slot;

	if (arrlen(http->free_slots)) {
		slot = arrpop(http->free_slots);
	} else {
		slot = (uint32_t)arrlenu(http->slots);
		arrput(http->slots, NULL);
	}
	http->slots[slot] = conn;
	return slot;
}

/* Returns 0 if there is no connection to accept, or no descriptor or memory for it. */
static int accept_one(struct http_connection *listening_conn)
{
	struct http *http = listening_conn->http;
	struct listener *listener = &listening_conn->listener;
	int fd = accept4(listening_conn->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct http_connection *conn;

	if (fd < 0) {
		if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
			pause_accepting(listening_conn);
		return 0;
	}
	if (!listener->are_options_checked) {
		listener->are_options_checked = 1;
		listener->are_options_inherited = http_socket_has_options(fd);
	}
	if (!listener->are_options_inherited)
		http_socket_set_options(fd);
	http->counters.accepted_connections++;
	conn = http_conn_new(http, CONN_SERVER, fd);
	conn->server.listener = listening_conn;
	conn->server.slot = allocate_slot(http, conn);
	http_conn_watch(conn, HTTP_READ_EVENTS);
	http_server_await_request(conn);
	return 1;
}

void http_listener_accept(struct http_connection *conn)
{
	struct http *http = conn->http;
	struct listener *listener = &conn->listener;
	int i;

	/* accept one connection; double the number while connections wait in consecutive iterations */
	if (listener->last_accept_iteration + 1 != http->iteration)
		listener->accept_burst = 1;
	else if (listener->accept_burst < MAX_ACCEPT_BURST)
		listener->accept_burst *= 2;
	else
		listener->accept_burst = MAX_ACCEPT_BURST;
	listener->last_accept_iteration = http->iteration;
	for (i = 0; i < listener->accept_burst && accept_one(conn); i++)
		;
}

int http_listen(struct http *http, const char *addr, int listener_id, const struct http_limits *limits)
{
	uint64_t address = core_parse_addr(addr);
	struct sockaddr_in socket_address = http_socket_address(address);
	socklen_t address_size = sizeof socket_address;
	struct http_connection *conn;
	int fd, on = 1;

	if (!address) {
		log_write(LOG_ERROR, "http", "Cannot listen at %s: not a valid IP:PORT address.", addr);
		return 0;
	}
	if ((fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) < 0)
		goto bad;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	http_socket_set_options(fd);
	if (bind(fd, (struct sockaddr *)&socket_address, sizeof socket_address) ||
	    listen(fd, ACCEPT_BACKLOG) || getsockname(fd, (struct sockaddr *)&socket_address, &address_size))
		goto bad;
	conn = http_conn_new(http, CONN_LISTENER, fd);
	conn->state = CONN_LISTENING;
	conn->listener.listener_id = listener_id;
	conn->listener.port = ntohs(socket_address.sin_port);
	conn->listener.accept_burst = 1;
	conn->listener.limits = *limits;
	http_conn_watch(conn, EPOLLIN);
	arrput(http->listeners, conn);
	return 1;
bad:
	log_write(LOG_ERROR, "http", "Cannot listen at %s: %s.", addr, strerror(errno));
	if (fd >= 0)
		close(fd);
	return 0;
}

int http_listener_port(const struct http *http, int listener_id)
{
	ptrdiff_t i;

	for (i = arrlen(http->listeners); i--;)
		if (http->listeners[i]->listener.listener_id == listener_id)
			return http->listeners[i]->listener.port;
	return 0;
}

void http_listener_set_limits(struct http *http, int listener_id, const struct http_limits *limits)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(http->listeners); i++)
		if (http->listeners[i]->listener.listener_id == listener_id)
			http->listeners[i]->listener.limits = *limits;
}

static bool is_incomplete(const struct http_connection *conn, int listener_id)
{
	return conn && !conn->is_closed && conn->server.listener->listener.listener_id == listener_id &&
	       (conn->state == CONN_READING_BODY || (conn->state == CONN_READING_HEAD && conn->input.len));
}

int http_incomplete_request_count(const struct http *http, int listener_id)
{
	ptrdiff_t i;
	int count = 0;

	for (i = 0; i < arrlen(http->slots); i++)
		count += is_incomplete(http->slots[i], listener_id);
	return count;
}

void http_reject_incomplete_requests(struct http *http, int listener_id, int retry_after_ms)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(http->slots); i++)
		if (is_incomplete(http->slots[i], listener_id))
			http_server_reject(http->slots[i], 503, retry_after_ms);
}

/* ---- draining ---- */

static void schedule_sweep(struct http *http, struct http_connection *conn)
{
	http->sweep_count += !conn->listener.is_sweep_due;
	conn->listener.is_sweep_due = 1;
}

/* Whether no byte of a request was read and none need be awaited: the listener drains, or the client has
 * never sent a request on this connection. */
static bool is_idle_without_request(const struct http_connection *conn)
{
	return conn->state == CONN_READING_HEAD && !conn->input.len &&
	       (conn->server.listener->listener.is_draining || !conn->server.token);
}

void http_listener_sweep(struct http *http)
{
	ptrdiff_t i;

	if (!http->sweep_count)
		return;
	for (i = 0; i < arrlen(http->slots); i++) {
		struct http_connection *conn = http->slots[i];

		if (conn && !conn->is_closed && conn->server.listener->listener.is_sweep_due &&
		    is_idle_without_request(conn) && !http_server_read_progress(conn))
			http_conn_close(conn, 0);
	}
	for (i = 0; i < arrlen(http->listeners); i++)
		http->listeners[i]->listener.is_sweep_due = 0;
	http->sweep_count = 0;
}

void http_listener_stop_accepting(struct http *http, int listener_id)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(http->listeners); i++) {
		struct http_connection *conn = http->listeners[i];
		int accepted = 0;

		if (conn->listener.listener_id != listener_id || conn->fd < 0)
			continue;
		while (accepted < ACCEPT_BACKLOG &&
		       accept_one(conn)) /* closing the listener would reset the connections in its backlog */
			accepted++;
		close(conn->fd); /* the struct stays, because connections refer to it */
		conn->fd = -1;
		http_timer_remove(http, conn);
		schedule_sweep(http, conn);
	}
}

void http_listener_drain(struct http *http, int listener_id)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(http->listeners); i++) {
		if (http->listeners[i]->listener.listener_id != listener_id)
			continue;
		http->listeners[i]->listener.is_draining = 1;
		schedule_sweep(http, http->listeners[i]);
	}
}
