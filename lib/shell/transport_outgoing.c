/* transport_outgoing: connections that this process opens.
 * A frame that can't be queued is dropped: the protocols of lib/core ask again. */
#include <apr_portable.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "clock.h"
#include "core.h"
#include "containers.h"
#include "log.h"
#include "transport_internal.h"

#define BULK_CONNECTION ((uint64_t)1 << 63)

enum {
	MAX_QUEUED_BYTES = 64 << 20, /* of one connection */
	COMPACT_MIN_BYTES =
	    1 << 20,           /* written bytes at the start of a buffer that are worth moving the rest for */
	REDIAL_DELAY_MS = 200, /* after a connection was closed */
	PARALLEL_DIAL_DELAY_MS = 250, /* without an answer, after which another dial goes out beside it */
	MAX_OLDER_DIALS = 8           /* a round trip longer than that many dials is as good as none */
};

/* Bytes that are not acknowledged for so long end a connection. The kernel would retransmit to a silent
 * machine after ever longer pauses, and not look for 10 s and more after it is back. Over a saturated link an
 * acknowledgement may take as long as that: so a connection whose dial took its time gets a few round trips
 * more. */
enum {
	UNACKED_TIMEOUT_MS = 1000,
	UNACKED_ROUND_TRIPS = 3, /* as the dial took them, on top of it */
	UNACKED_TIMEOUT_MAX_MS = 5000
};

static void dial_close(struct transport *transport, struct dial *dial)
{
	apr_pollset_remove(transport->pollset, &dial->poll_fd);
	apr_socket_close(dial->socket);
	apr_pool_destroy(dial->pool);
}

static void older_dials_close(struct transport *transport, struct transport_connection *connection)
{
	for (ptrdiff_t i = 0; i < arrlen(connection->older_dials); i++)
		dial_close(transport, &connection->older_dials[i]);
	arrfree(connection->older_dials);
}

static void outgoing_close(struct transport *transport, struct transport_connection *connection)
{
	older_dials_close(transport, connection);
	transport_stop_polling(transport, connection);
	if (connection->socket)
		apr_socket_close(connection->socket);
	connection->socket = NULL;
	connection->is_connected = false;
	arrsetlen(connection->buffer, 0);
	connection->sent_offset = 0;
	connection->redial_at_ms = clock_ms() + REDIAL_DELAY_MS;
	apr_pool_clear(connection->pool);
}

static void set_unacked_timeout(apr_socket_t *socket, int timeout_ms)
{
	apr_os_sock_t fd;

	if (apr_os_sock_get(&fd, socket) == APR_SUCCESS)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

static void outgoing_dial(struct transport *transport, struct transport_connection *connection)
{
	apr_sockaddr_t *socket_address = transport_socket_address(connection->addr, connection->pool);
	apr_status_t status;

	if (!socket_address || apr_socket_create(&connection->socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP,
						 connection->pool) != APR_SUCCESS) {
		connection->socket = NULL;
		return;
	}
	apr_socket_opt_set(connection->socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(connection->socket, 0);
	apr_socket_opt_set(connection->socket, APR_TCP_NODELAY, 1);
	set_unacked_timeout(connection->socket, PARALLEL_DIAL_DELAY_MS * (MAX_OLDER_DIALS + 1));
	connection->dialled_at_ms = clock_ms();
	status = apr_socket_connect(connection->socket, socket_address);
	if (status != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(status)) {
		outgoing_close(transport, connection);
		return;
	}
	transport_poll(transport, connection, APR_POLLOUT | APR_POLLIN);
}

static void outgoing_write(struct transport *transport, struct transport_connection *connection)
{
	while (connection->sent_offset < (size_t)arrlen(connection->buffer)) {
		apr_size_t size = (size_t)arrlen(connection->buffer) - connection->sent_offset;
		apr_status_t status = apr_socket_send(
		    connection->socket, (char *)connection->buffer + connection->sent_offset, &size);

		connection->sent_offset += size;
		if (status == APR_SUCCESS)
			continue;
		if (APR_STATUS_IS_EAGAIN(status))
			transport_poll(transport, connection, APR_POLLOUT | APR_POLLIN);
		else
			outgoing_close(transport, connection);
		return;
	}
	arrsetlen(connection->buffer, 0);
	connection->sent_offset = 0;
	transport_poll(transport, connection, APR_POLLIN);
}

/* An answer to a dial may only be slow, behind a saturated link: the dial stays, and another goes out beside
 * it, for the kernel asks a machine that was down again after a second at the soonest. What was queued for it
 * is no longer worth sending. */
static void dial_in_parallel(struct transport *transport, struct transport_connection *connection)
{
	struct dial dial = { connection->pool, connection->socket, connection->poll_fd,
			     connection->dialled_at_ms };

	if (arrlen(connection->older_dials) == MAX_OLDER_DIALS) {
		dial_close(transport, &connection->older_dials[0]);
		arrdel(connection->older_dials, 0);
	}
	arrput(connection->older_dials, dial);
	apr_pool_create(&connection->pool, transport->pool);
	connection->socket = NULL;
	connection->is_in_pollset = false;
	arrsetlen(connection->buffer, 0);
	connection->sent_offset = 0;
	outgoing_dial(transport, connection);
}

/* The first answer to a dial: this socket is the connection's, and the other dials are closed. */
static void outgoing_connected(struct transport *transport, struct transport_connection *connection)
{
	int64_t timeout_ms =
	    UNACKED_TIMEOUT_MS + UNACKED_ROUND_TRIPS * (clock_ms() - connection->dialled_at_ms);

	older_dials_close(transport, connection);
	set_unacked_timeout(connection->socket,
			    (int)(timeout_ms < UNACKED_TIMEOUT_MAX_MS ? timeout_ms : UNACKED_TIMEOUT_MAX_MS));
	if (connection->is_unreachable_logged)
		log_write(LOG_INFO, "transport", "Peer %s is reachable again.",
			  core_format_addr(connection->pool, connection->addr));
	connection->is_connected = true;
	connection->is_unreachable_logged = false;
}

static void dial_failed(struct transport *transport, struct transport_connection *connection)
{
	if (!connection->is_unreachable_logged)
		log_write(LOG_WARN, "transport", "Peer %s is unreachable.",
			  core_format_addr(connection->pool, connection->addr));
	connection->is_unreachable_logged = true;
	outgoing_close(transport, connection);
}

/* The peer never sends on this connection: what can be read is its end. */
static bool is_closed_by_peer(const struct transport_connection *connection)
{
	char byte[64];
	apr_size_t size = sizeof byte;
	apr_status_t status = apr_socket_recv(connection->socket, byte, &size);

	return status != APR_SUCCESS && !APR_STATUS_IS_EAGAIN(status);
}

static void newest_dial_ready(struct transport *transport, struct transport_connection *connection,
			      apr_int16_t events)
{
	bool failed = (events & (APR_POLLERR | APR_POLLHUP)) != 0;

	if (!connection->is_connected && failed) {
		dial_failed(transport, connection);
		return;
	}
	if ((events & APR_POLLIN) && is_closed_by_peer(connection)) {
		outgoing_close(transport, connection);
		return;
	}
	if (events & APR_POLLOUT) {
		if (!connection->is_connected)
			outgoing_connected(transport, connection);
		outgoing_write(transport, connection);
	} else if (failed) {
		outgoing_close(transport, connection);
	}
}

/* An older dial has its answer: it takes the newest one's place, or is over. */
static void older_dial_ready(struct transport *transport, struct transport_connection *connection,
			     const apr_socket_t *socket, apr_int16_t events)
{
	struct dial dial;
	ptrdiff_t i = 0;

	while (i < arrlen(connection->older_dials) && connection->older_dials[i].socket != socket)
		i++;
	if (i == arrlen(connection->older_dials))
		return; /* closed by an event before it */
	dial = connection->older_dials[i];
	arrdel(connection->older_dials, i);
	if (events & (APR_POLLERR | APR_POLLHUP)) {
		dial_close(transport, &dial);
		return;
	}
	transport_stop_polling(transport, connection);
	if (connection->socket)
		apr_socket_close(connection->socket);
	apr_pool_destroy(connection->pool);
	connection->pool = dial.pool;
	connection->socket = dial.socket;
	connection->poll_fd = dial.poll_fd;
	connection->is_in_pollset = true;
	connection->dialled_at_ms = dial.started_at_ms;
	newest_dial_ready(transport, connection, events);
}

void transport_outgoing_ready(struct transport *transport, struct transport_connection *connection,
			      const apr_socket_t *socket, apr_int16_t events)
{
	if (connection->socket && socket == connection->socket)
		newest_dial_ready(transport, connection, events);
	else
		older_dial_ready(transport, connection, socket, events);
}

static struct transport_connection *find_or_add_connection(struct transport *transport, uint64_t addr,
							   bool is_bulk)
{
	uint64_t key = addr | (is_bulk ? BULK_CONNECTION : 0);
	struct transport_connection *connection = hmget(transport->outgoing, key);

	if (connection)
		return connection;
	connection = calloc(1, sizeof *connection);
	if (!connection)
		abort();
	apr_pool_create(&connection->pool, transport->pool);
	connection->addr = addr;
	hmput(transport->outgoing, key, connection);
	return connection;
}

void transport_outgoing_enqueue(struct transport *transport, const struct outgoing_frame *frame)
{
	struct transport_connection *connection =
	    find_or_add_connection(transport, frame->addr, frame->is_bulk);

	/* a machine without power, or behind a partition, doesn't answer a dial; the kernel would ask once
	 * more after a second only */
	if (connection->socket && !connection->is_connected &&
	    clock_ms() - connection->dialled_at_ms > PARALLEL_DIAL_DELAY_MS)
		dial_in_parallel(transport, connection);
	else if (!connection->socket && clock_ms() >= connection->redial_at_ms)
		outgoing_dial(transport, connection);
	if (!connection->socket ||
	    (size_t)arrlen(connection->buffer) - connection->sent_offset + frame->size_bytes >
		MAX_QUEUED_BYTES)
		return;
	if (connection->sent_offset > COMPACT_MIN_BYTES) {
		arrdeln(connection->buffer, 0, connection->sent_offset);
		connection->sent_offset = 0;
	}
	memcpy(arraddnptr(connection->buffer, frame->size_bytes), frame->data, frame->size_bytes);
	if (connection->is_connected)
		outgoing_write(transport, connection);
}

bool transport_has_unsent_bytes(const struct transport *transport)
{
	for (ptrdiff_t i = 0; i < hmlen(transport->outgoing); i++) {
		const struct transport_connection *connection = transport->outgoing[i].value;

		if (connection->socket && connection->sent_offset < (size_t)arrlen(connection->buffer))
			return true;
	}
	return false;
}

void transport_outgoing_close_all(struct transport *transport)
{
	for (ptrdiff_t i = 0; i < hmlen(transport->outgoing); i++) {
		struct transport_connection *connection = transport->outgoing[i].value;

		older_dials_close(transport, connection);
		if (connection->socket)
			apr_socket_close(connection->socket);
		arrfree(connection->buffer);
		apr_pool_destroy(connection->pool);
		free(connection);
	}
	hmfree(transport->outgoing);
}
