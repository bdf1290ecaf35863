/* transport_incoming: connections that other processes open. A frame consists of a size (four bytes,
 * big-endian) and a packed message. */
#include <stdlib.h>
#include <string.h>

#include "core.h"
#include "containers.h"
#include "log.h"
#include "ring.h"
#include "shell_event.h"
#include "transport_internal.h"

enum {
	MAX_READS_PER_POLL = 64, /* reads from one connection before other ready sockets are served */
	READ_BUFFER_BYTES = 65536
};

static void incoming_close(struct transport *transport, struct transport_connection *connection)
{
	transport_stop_polling(transport, connection);
	apr_socket_close(connection->socket);
	for (ptrdiff_t i = 0; i < arrlen(transport->incoming); i++)
		if (transport->incoming[i] == connection) {
			arrdelswap(transport->incoming, i);
			break;
		}
	arrfree(connection->buffer);
	apr_pool_destroy(connection->pool);
	free(connection);
}

/* Unpacks a message and pushes it to the event ring; drops it if the ring is full. Returns false if the
 * message is malformed or has another protocol version. */
static bool push_message(struct transport *transport, const uint8_t *packed, size_t size)
{
	struct Nl__Msg *message = nl__msg__unpack(NULL, size, packed);
	struct shell_event *event;

	if (!message)
		return false;
	if (message->protocol_version != CORE_PROTOCOL_VERSION) {
		nl__msg__free_unpacked(message, NULL);
		return false;
	}
	event = shell_event_new(SHELL_EVENT_MESSAGE);
	event->message = message;
	if (!ring_push(transport->events, event, 0))
		shell_event_free(event);
	return true;
}

/* Pushes the messages of all complete frames to the event ring. Returns false if a frame is malformed. */
static bool parse_frames(struct transport *transport, struct transport_connection *connection)
{
	size_t offset = 0;

	while ((size_t)arrlen(connection->buffer) - offset >= FRAME_HEADER_BYTES) {
		const uint8_t *frame = connection->buffer + offset;
		size_t size =
		    (size_t)frame[0] << 24 | (size_t)frame[1] << 16 | (size_t)frame[2] << 8 | frame[3];

		if (size > MAX_FRAME_BYTES)
			return false;
		if ((size_t)arrlen(connection->buffer) - offset < FRAME_HEADER_BYTES + size)
			break;
		if (!push_message(transport, frame + FRAME_HEADER_BYTES, size))
			return false;
		offset += FRAME_HEADER_BYTES + size;
	}
	if (offset)
		arrdeln(connection->buffer, 0, offset);
	return true;
}

void transport_incoming_ready(struct transport *transport, struct transport_connection *connection)
{
	for (int reads = 0; reads < MAX_READS_PER_POLL; reads++) {
		char bytes[READ_BUFFER_BYTES];
		apr_size_t size = sizeof bytes;
		apr_status_t status = apr_socket_recv(connection->socket, bytes, &size);

		if (size)
			memcpy(arraddnptr(connection->buffer, size), bytes, size);
		if (APR_STATUS_IS_EAGAIN(status) || (status == APR_SUCCESS && size < sizeof bytes)) {
			if (!parse_frames(transport, connection)) {
				log_write(
				    LOG_WARN, "transport",
				    "Received a malformed message or unsupported protocol version; the connection is closed.");
				incoming_close(transport, connection);
			}
			return;
		}
		if (status != APR_SUCCESS) {
			(void)parse_frames(transport, connection);
			incoming_close(transport, connection);
			return;
		}
	}
	if (!parse_frames(transport, connection))
		incoming_close(transport, connection);
}

void transport_incoming_accept(struct transport *transport)
{
	struct transport_connection *connection;
	apr_socket_t *socket;
	apr_pool_t *pool;

	apr_pool_create(&pool, transport->pool);
	if (apr_socket_accept(&socket, transport->listen_socket, pool) != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return;
	}
	connection = calloc(1, sizeof *connection);
	if (!connection)
		abort();
	connection->pool = pool;
	connection->socket = socket;
	apr_socket_opt_set(socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(socket, 0);
	arrput(transport->incoming, connection);
	if (!transport_poll(transport, connection, APR_POLLIN))
		incoming_close(transport, connection);
}

void transport_incoming_close_all(struct transport *transport)
{
	while (arrlen(transport->incoming))
		incoming_close(transport, transport->incoming[0]);
	arrfree(transport->incoming);
}
