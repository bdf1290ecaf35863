/* transport_internal: what the files of the transport share. Not for other modules.
 *   transport.c           listening, the thread, sending, closing
 *   transport_outgoing.c  connections that this process opens: dialling, queueing, writing
 *   transport_incoming.c  connections that other processes open: reading, framing */
#ifndef NL_TRANSPORT_INTERNAL_H
#define NL_TRANSPORT_INTERNAL_H

#include <apr_network_io.h>
#include <apr_poll.h>
#include <apr_thread_proc.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "transport.h"

enum {
	FRAME_HEADER_BYTES = 4, /* the message's size, big-endian */
	MAX_FRAME_BYTES = 32 << 20
};

/* A packed message with its header, on its way from transport_send to the thread, which frees it. */
struct outgoing_frame {
	uint64_t addr;
	bool is_bulk;
	size_t size_bytes;
	uint8_t *data;
};

/* A dial that has had no answer yet. */
struct dial {
	apr_pool_t *pool;
	apr_socket_t *socket;
	apr_pollfd_t poll_fd;
	int64_t started_at_ms;
};

/* A connection, outgoing or incoming; the thread's alone. */
struct transport_connection {
	apr_pool_t *pool;     /* of the socket; an outgoing connection keeps it between sockets */
	apr_socket_t *socket; /* NULL: not dialled */
	apr_pollfd_t poll_fd;
	uint64_t addr;      /* outgoing: of the other process; incoming: 0 */
	uint8_t *buffer;    /* stb_ds: bytes to write, or read so far */
	size_t sent_offset; /* outgoing: bytes of buffer that have been written */
	bool in_pollset;
	bool connected;           /* outgoing */
	bool unreachable_logged;  /* outgoing: since it was last connected */
	int64_t dialled_at_ms;    /* outgoing: when the newest dial began */
	int64_t redial_at_ms;     /* outgoing: not before, after a failure */
	struct dial *older_dials; /* outgoing, stb_ds: before the newest one, oldest first */
};

struct connection_entry {
	uint64_t key; /* the address; BULK_CONNECTION is set for the second connection */
	struct transport_connection *value;
};

/* The thread owns all but outgoing_frames, which is a ring, and stop. */
struct transport {
	apr_pool_t *pool; /* the thread's, from its start to its end */
	apr_socket_t *listen_socket;
	apr_pollset_t *pollset; /* other threads only wake it */
	apr_thread_t *thread;
	struct ring *events;
	struct ring *outgoing_frames; /* of struct outgoing_frame */
	atomic_bool stop;
	struct transport_connection **incoming; /* stb_ds */
	struct connection_entry *outgoing;      /* stb_ds */
};

/* ---- transport.c ---- */

/* Poll a connection's socket for these events. False when that is refused. */
bool transport_poll(struct transport *transport, struct transport_connection *connection, apr_int16_t events);
void transport_stop_polling(struct transport *transport, struct transport_connection *connection);

/* The socket address of addr; NULL on an error. */
apr_sockaddr_t *transport_socket_address(uint64_t addr, apr_pool_t *pool);

/* ---- transport_outgoing.c ---- */

/* Queue a frame on its connection, which is dialled if need be. The frame stays the caller's. */
void transport_outgoing_enqueue(struct transport *transport, const struct outgoing_frame *frame);

/* A socket of an outgoing connection is ready: of its newest dial, or of an older one. */
void transport_outgoing_ready(struct transport *transport, struct transport_connection *connection,
			      const apr_socket_t *socket, apr_int16_t events);

/* Whether bytes wait on a connection that isn't closed. */
bool transport_has_unsent(const struct transport *transport);

/* Close all outgoing connections and free them. */
void transport_outgoing_close_all(struct transport *transport);

/* ---- transport_incoming.c ---- */

void transport_incoming_accept(struct transport *transport);
void transport_incoming_ready(struct transport *transport, struct transport_connection *connection);

/* Close all incoming connections and free them. */
void transport_incoming_close_all(struct transport *transport);

#endif
