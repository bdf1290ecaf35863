/* transport_internal: declarations shared by the files of the transport. Not for other modules.
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
	FRAME_HEADER_BYTES = 4, /* the size of the message in bytes, big-endian */
	MAX_FRAME_BYTES = 32 << 20
};

/* A frame header and a packed message. transport_send allocates the frame, the thread frees it. */
struct outgoing_frame {
	uint64_t addr;
	bool is_bulk;
	size_t size_bytes;
	uint8_t *data;
};

/* A connection attempt that was neither accepted nor rejected yet. */
struct dial {
	apr_pool_t *pool;
	apr_socket_t *socket;
	apr_pollfd_t poll_fd;
	int64_t started_at_ms;
};

/* An outgoing or incoming connection. Only the transport's thread uses it. */
struct transport_connection {
	apr_pool_t *pool;     /* of the socket; an outgoing connection reuses it for its next socket */
	apr_socket_t *socket; /* NULL: closed, and no dial in progress */
	apr_pollfd_t poll_fd;
	uint64_t addr;      /* outgoing: address of the other process; incoming: 0 */
	uint8_t *buffer;    /* stb_ds; outgoing: bytes to write; incoming: bytes read but not parsed yet */
	size_t sent_offset; /* outgoing: number of bytes of buffer that were written */
	bool is_in_pollset;
	bool is_connected;          /* outgoing: the newest dial was accepted */
	bool is_unreachable_logged; /* outgoing: "unreachable" was logged since the last time it was connected
				     */
	int64_t dialled_at_ms;      /* outgoing: start time of the newest dial */
	int64_t redial_at_ms; /* outgoing: earliest time of the next dial, after the connection was closed */
	struct dial
	    *older_dials; /* outgoing, stb_ds: dials in progress other than the newest, oldest first */
};

struct connection_entry {
	uint64_t key; /* address of the peer, with the bit BULK_CONNECTION for its bulk connection */
	struct transport_connection *value;
};

/* The thread owns all fields except outgoing_frames, which is a ring, and stop_requested. */
struct transport {
	apr_pool_t *pool; /* used only by the thread while it runs */
	apr_socket_t *listen_socket;
	apr_pollset_t *pollset; /* other threads only wake it up */
	apr_thread_t *thread;
	struct ring *events;
	struct ring *outgoing_frames; /* of struct outgoing_frame */
	atomic_bool stop_requested;
	struct transport_connection **incoming; /* stb_ds */
	struct connection_entry *outgoing;      /* stb_ds */
};

/* ---- transport.c ---- */

/* Poll a connection's socket for these events, and no others. Returns false if APR rejects that. */
bool transport_poll(struct transport *transport, struct transport_connection *connection, apr_int16_t events);
void transport_stop_polling(struct transport *transport, struct transport_connection *connection);

/* Convert addr to an APR socket address. Returns NULL on an error. */
apr_sockaddr_t *transport_socket_address(uint64_t addr, apr_pool_t *pool);

/* ---- transport_outgoing.c ---- */

/* Append a copy of a frame to the buffer of its connection, which is dialled first if necessary. The caller
 * keeps the frame. Drops the frame if the buffer is full or no connection can be dialled now. */
void transport_outgoing_enqueue(struct transport *transport, const struct outgoing_frame *frame);

/* Handle poll events of a socket of an outgoing connection. The socket belongs to the newest dial or an older
 * one. */
void transport_outgoing_ready(struct transport *transport, struct transport_connection *connection,
			      const apr_socket_t *socket, apr_int16_t events);

/* Whether an outgoing connection that isn't closed has bytes to write. */
bool transport_has_unsent_bytes(const struct transport *transport);

/* Close all outgoing connections and free them. */
void transport_outgoing_close_all(struct transport *transport);

/* ---- transport_incoming.c ---- */

void transport_incoming_accept(struct transport *transport);
void transport_incoming_ready(struct transport *transport, struct transport_connection *connection);

/* Close all incoming connections and free them. */
void transport_incoming_close_all(struct transport *transport);

#endif
