/* transport: framed messages between the processes of the fleet; see transport.h.
 * A process opens one TCP connection to each peer, and a second one for bulk messages (log entries, snapshot
 * chunks). On a slow link heartbeats must not queue after bulk messages, or the leader's lease would expire.
 */
#include "transport.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "core.h"
#include "containers.h"
#include "log.h"
#include "ring.h"
#include "transport_internal.h"

enum {
	POLL_TIMEOUT_MS = 100,
	CLOSE_FLUSH_MS = 200,       /* on closing: maximum time to send the messages still queued */
	CLOSE_POLL_TIMEOUT_MS = 10, /* interval at which queued messages are checked for being sent */
	MAX_QUEUED_FRAMES = 65536,
	MAX_POLLED_SOCKETS = 4096,
	LISTEN_BACKLOG = 128
};

void transport_stop_polling(struct transport *transport, struct transport_connection *connection)
{
	if (connection->is_in_pollset)
		apr_pollset_remove(transport->pollset, &connection->poll_fd);
	connection->is_in_pollset = false;
}

bool transport_poll(struct transport *transport, struct transport_connection *connection, apr_int16_t events)
{
	transport_stop_polling(transport, connection);
	memset(&connection->poll_fd, 0, sizeof connection->poll_fd);
	connection->poll_fd.desc_type = APR_POLL_SOCKET;
	connection->poll_fd.reqevents = events;
	connection->poll_fd.desc.s = connection->socket;
	connection->poll_fd.client_data = connection;
	connection->poll_fd.p = connection->pool;
	connection->is_in_pollset = apr_pollset_add(transport->pollset, &connection->poll_fd) == APR_SUCCESS;
	return connection->is_in_pollset;
}

apr_sockaddr_t *transport_socket_address(uint64_t addr, apr_pool_t *pool)
{
	apr_sockaddr_t *socket_address = NULL;
	const char *ip =
	    apr_psprintf(pool, "%u.%u.%u.%u", (unsigned)(addr >> 40) & 255, (unsigned)(addr >> 32) & 255,
			 (unsigned)(addr >> 24) & 255, (unsigned)(addr >> 16) & 255);

	apr_sockaddr_info_get(&socket_address, ip, APR_INET, (apr_port_t)(addr & 65535), 0, pool);
	return socket_address;
}

/* ---- the thread ---- */

static void dispatch_ready_socket(struct transport *transport, const apr_pollfd_t *ready)
{
	struct transport_connection *connection = ready->client_data;

	if (!connection)
		transport_incoming_accept(transport);
	else if (!connection->addr)
		transport_incoming_ready(transport, connection);
	else
		transport_outgoing_ready(transport, connection, ready->desc.s, ready->rtnevents);
}

static void free_frame(struct outgoing_frame *frame)
{
	free(frame->data);
	free(frame);
}

/* Waits for ready sockets and handles them, then passes queued frames to their connections. */
static void poll_and_send(struct transport *transport, int timeout_ms)
{
	const apr_pollfd_t *ready = NULL;
	struct outgoing_frame *frame;
	apr_int32_t count = 0;

	apr_pollset_poll(transport->pollset, apr_time_from_msec(timeout_ms), &count, &ready);
	for (apr_int32_t i = 0; i < count; i++)
		dispatch_ready_socket(transport, &ready[i]);
	while ((frame = ring_pop(transport->outgoing_frames, 0))) {
		transport_outgoing_enqueue(transport, frame);
		free_frame(frame);
	}
}

static void *APR_THREAD_FUNC transport_thread(apr_thread_t *thread, void *argument)
{
	struct transport *transport = argument;
	int64_t end_ms;

	(void)thread;
	while (!transport->stop_requested)
		poll_and_send(transport, POLL_TIMEOUT_MS);
	end_ms = clock_ms() + CLOSE_FLUSH_MS;
	do
		poll_and_send(transport, CLOSE_POLL_TIMEOUT_MS);
	while (transport_has_unsent_bytes(transport) && clock_ms() < end_ms);
	return NULL;
}

/* ---- opening and closing ---- */

static apr_status_t listen_at(struct transport *transport, uint64_t addr, apr_pool_t *pool)
{
	apr_sockaddr_t *socket_address = transport_socket_address(addr, pool);
	apr_status_t status;

	if (!addr || !socket_address)
		return APR_EINVAL;
	status = apr_socket_create(&transport->listen_socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP, pool);
	if (status != APR_SUCCESS)
		return status;
	apr_socket_opt_set(transport->listen_socket, APR_SO_REUSEADDR, 1);
	status = apr_socket_bind(transport->listen_socket, socket_address);
	if (status == APR_SUCCESS)
		status = apr_socket_listen(transport->listen_socket, LISTEN_BACKLOG);
	if (status != APR_SUCCESS)
		return status;
	apr_socket_opt_set(transport->listen_socket, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(transport->listen_socket, 0);
	return APR_SUCCESS;
}

/* The thread adds sockets to the pollset, which allocates memory from its pool each time. Therefore the pool
 * must not be used by other threads. */
static apr_status_t start_thread(struct transport *transport)
{
	apr_status_t status = apr_pollset_create(&transport->pollset, MAX_POLLED_SOCKETS, transport->pool,
						 APR_POLLSET_WAKEABLE);
	apr_pollfd_t poll_fd = { 0 };

	if (status != APR_SUCCESS)
		return status;
	poll_fd.desc_type = APR_POLL_SOCKET;
	poll_fd.reqevents = APR_POLLIN;
	poll_fd.desc.s = transport->listen_socket;
	poll_fd.p = transport->pool;
	apr_pollset_add(transport->pollset, &poll_fd);
	return apr_thread_create(&transport->thread, NULL, transport_thread, transport, transport->pool);
}

struct transport *transport_open(const char *addr, struct ring *events, apr_pool_t *pool)
{
	struct transport *transport = apr_pcalloc(pool, sizeof *transport);
	apr_status_t status;
	char reason[100];

	apr_pool_create(&transport->pool, NULL);
	transport->events = events;
	ring_open(&transport->outgoing_frames, MAX_QUEUED_FRAMES, pool);
	status = listen_at(transport, core_parse_addr(addr), pool);
	if (status == APR_SUCCESS)
		status = start_thread(transport);
	if (status == APR_SUCCESS)
		return transport;
	log_write(LOG_ERROR, "transport", "Cannot listen at %s: %s.", addr,
		  apr_strerror(status, reason, sizeof reason));
	apr_pool_destroy(transport->pool);
	return NULL;
}

/* Whether a message may be large or frequent, and no lease or staleness bound depends on its delay. */
static bool is_bulk(const struct Nl__Msg *message)
{
	switch (message->body_case) {
	case NL__MSG__BODY_SNAPSHOT_CHUNK:
	case NL__MSG__BODY_CACHE_UPDATE_BATCH:
		return true;
	case NL__MSG__BODY_APPEND:
		return message->append->n_entries > 0;
	default:
		return false;
	}
}

void transport_send(struct transport *transport, uint64_t addr, const struct Nl__Msg *message)
{
	struct outgoing_frame *frame = malloc(sizeof *frame);
	size_t size = nl__msg__get_packed_size(message);

	if (!frame || !(frame->data = malloc(FRAME_HEADER_BYTES + size)))
		abort();
	frame->addr = addr;
	frame->is_bulk = is_bulk(message);
	frame->size_bytes = FRAME_HEADER_BYTES + size;
	for (int i = 0; i < FRAME_HEADER_BYTES; i++)
		frame->data[i] = (uint8_t)(size >> (24 - 8 * i));
	nl__msg__pack(message, frame->data + FRAME_HEADER_BYTES);
	if (size > MAX_FRAME_BYTES || !ring_push(transport->outgoing_frames, frame, 0)) {
		free_frame(frame);
		return;
	}
	apr_pollset_wakeup(transport->pollset);
}

void transport_close(struct transport *transport)
{
	struct outgoing_frame *frame;
	apr_status_t status;

	transport->stop_requested = true;
	apr_pollset_wakeup(transport->pollset);
	apr_thread_join(&status, transport->thread);
	while ((frame = ring_pop(transport->outgoing_frames, 0)))
		free_frame(frame);
	transport_incoming_close_all(transport);
	transport_outgoing_close_all(transport);
	apr_socket_close(transport->listen_socket);
	apr_pool_destroy(transport->pool);
}
