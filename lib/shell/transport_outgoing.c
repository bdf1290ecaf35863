/* transport_outgoing: connections that this process opens.
 * A frame that can't be queued is dropped; the protocols of lib/core repeat their requests. */
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
	MAX_QUEUED_BYTES = 64 << 20, /* unsent bytes of one connection */
	COMPACT_MIN_BYTES = 1 << 20, /* sent bytes are removed from a buffer above this number; for fewer it
					is not worth moving the rest */
	REDIAL_DELAY_MS = 200,       /* minimum time between the end of a connection and its next dial */
	PARALLEL_DIAL_DELAY_MS =
	    250,            /* age of an unanswered dial at which another dial is started in parallel */
	MAX_OLDER_DIALS = 8 /* the oldest dial beyond this number is closed: a peer with a longer round trip
		    counts as unreachable */
};

/* A connection is closed if sent bytes are not acknowledged within a timeout (TCP_USER_TIMEOUT). Without it
 * the kernel would retransmit to an unresponsive machine at growing intervals, and would take 10 s or more
 * to notice its return. On a saturated link an acknowledgement may take longer than UNACKED_TIMEOUT_MS.
 * Therefore the timeout of a connection is extended by some round trips, as measured by its dial. */
enum {
	UNACKED_TIMEOUT_MS = 1000,
	UNACKED_ROUND_TRIPS = 3, /* extension, in multiples of the duration of the dial */
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

/* Starts another dial while the newest one is unanswered. The answer may only be delayed by a saturated link,
 * so the older dial is kept. A machine that was down would get the kernel's next SYN only after 1 s or more,
 * so a new dial reaches it earlier. Queued bytes are dropped, because they are outdated. */
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

/* Handles the first dial that was accepted: the connection uses its socket, and all other dials are closed.
 */
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
		log_write(LOG_WARN, "transport", "Peer %s is unreachable: the connection attempt failed.",
			  core_format_addr(connection->pool, connection->addr));
	connection->is_unreachable_logged = true;
	outgoing_close(transport, connection);
}

/* Whether the peer closed the connection. A peer never sends data on it, so only its end can be read. */
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

/* Handles poll events of an older dial: if it was accepted, it replaces the newest dial; if it failed, it is
 * closed. */
static void older_dial_ready(struct transport *transport, struct transport_connection *connection,
			     const apr_socket_t *socket, apr_int16_t events)
{
	struct dial dial;
	ptrdiff_t i = 0;

	while (i < arrlen(connection->older_dials) && connection->older_dials[i].socket != socket)
		i++;
	if (i == arrlen(connection->older_dials))
		return; /* an earlier event of the same poll has closed this dial */
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

	/* a machine that is down or separated by a network partition does not answer a dial, and the kernel
	 * would repeat its SYN only after 1 s */
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
