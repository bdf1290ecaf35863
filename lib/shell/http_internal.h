/* http_internal: what the files of the HTTP loop share. Not for others.
 *   http_buffer  bytes to come and to go      http_parse   heads and chunks
 *   http_conn    connections and their times  http_server  clients that are answered
 *   http_door    listeners, how they are left  http_end     how a client's connection ends
 *   http_client  calls and kept connections   http         the loop */
#ifndef NL_HTTP_INTERNAL_H
#define NL_HTTP_INTERNAL_H

#include <netinet/in.h>
#include <stdint.h>
#include <sys/epoll.h>
#include <sys/types.h>

#include "http.h"

enum {
	BUFFER_BLOCK_BYTES = 4096, /* what a buffer begins with; such blocks are kept for the next */
	MAX_SPARE_BLOCKS = 256,
	SCRATCH_BYTES = 65536,
	EVENTS = 256,
	MAX_EARLY_BYTES = 65536, /* of bytes that come while a request is being answered */
	MAX_RESPONSE_HEAD_BYTES = 65536,
	MAX_CHUNK_LINE_BYTES = 4096,
	MAX_TRAILER_BYTES = 16384,
	LINGER_MS = 2000,          /* for a caller to take an answer after which we close */
	DRAIN_IDLE_MS = 200,       /* at a door that leaves, for a request that was on its way when the answer
				      before it ended */
	ACCEPT_BACKLOG = 1024,     /* connections that the kernel keeps until they are accepted */
	MAX_SKIPPED_RESPONSES = 4, /* answers to other requests that a call passes over on its connection */
	DEFAULT_KEEP_ALIVE_MS = 4000,
	DEFAULT_CONNECT_TIMEOUT_MS = 3000,
	UNACKED_TIMEOUT_MS = 3000,
	SLOT_BITS = 20
};

#define NO_TIME INT64_MAX
#define HTTP_READ_EVENTS ((uint32_t)(EPOLLIN | EPOLLRDHUP))

struct buffer {
	char *data;
	size_t offset, len, capacity;
};

enum chunk_state {
	CHUNK_SIZE,
	CHUNK_EXTENSION,
	CHUNK_SIZE_LF,
	CHUNK_DATA,
	CHUNK_DATA_CR,
	CHUNK_DATA_LF,
	CHUNK_TRAILER_START,
	CHUNK_TRAILER,
	CHUNK_TRAILER_LF,
	CHUNK_END_LF,
	CHUNK_DONE
};
struct chunks {
	enum chunk_state state;
	int digit_count;
	uint64_t remaining;
	unsigned line_bytes, trailer_bytes;
};

/* what a head says of the connection and of the body */
struct head {
	int minor_version, status, keep_alive_s, whole;
	int close, chunked, has_length, expects_continue, host_count, malformed;
	uint64_t length;
};

enum conn_kind { CONN_LISTENER, CONN_SERVER, CONN_CLIENT };
enum conn_state {
	CONN_LISTENING,
	CONN_ACCEPT_PAUSED,
	CONN_READING_HEAD,
	CONN_READING_BODY,
	CONN_HANDLING,
	CONN_SENDING_RESPONSE,
	CONN_LINGERING, /* server: BUSY while the answer is not finished, DONE till it is sent */
	CONN_FAILED,
	CONN_QUEUED,
	CONN_CONNECTING,
	CONN_AWAITING_HEAD,
	CONN_READING_RESPONSE,
	CONN_IDLE /* client: REST is the answer's body */
};

enum framing { BODY_NONE, BODY_LENGTH, BODY_CHUNKED, BODY_UNTIL_EOF };

struct conn;
struct peer {
	uint64_t addr;
	int open_connections, max_connections;
	unsigned epoch;
	struct conn *first_idle, *last_idle; /* kept */
};

struct server_side {
	struct conn *listener;
	uint32_t slot;
	uint64_t token;
	struct http_request request;
	struct buffer early;
	size_t max_body_bytes;                        /* the limit in force when the body began */
	size_t parse_offset, body_offset, body_bytes; /* next raw byte; the body's place in the buffer */
	size_t target_offset;
	const char *method;
	int head_begun, closing, linger, response_begun, no_body;
	enum framing response_framing;
	int outcome_pending;      /* a request was read whole, and its outcome is not counted yet */
	int is_rejection;         /* its answer says when to come back */
	int64_t wait_began_at_ms; /* when the wait under way began, which the door's limits bound */
	uint64_t unsent_bytes; /* of a finished answer, when that wait began; UINT64_MAX: not looked at yet */
	uint64_t remaining_bytes;     /* of the answer's length */
	int64_t response_deadline_ms; /* no answer begins to leave after it; 0: whenever */
};

struct client_side {
	struct peer *peer;
	unsigned peer_epoch;
	uint64_t token;
	int64_t not_after_ms, deadline_ms, reusable_until_ms; /* until: a kept one may be used */
	int connect_timeout_ms, new_connection, is_head, sent, request_cut;
	int skipping;      /* the answer being read belongs to another request: nothing of it is passed on */
	int skipped_count; /* such answers on this connection */
	struct conn *next, *prev;
	enum framing response_framing;
};

struct listener {
	int listener_id, port, draining, accept_burst, options_checked, options_inherited;
	int sweep_due; /* idle connections are closed once what has come was read */
	uint64_t last_turn;
	struct http_limits limits;
};

struct conn {
	struct http *http;
	int fd;
	enum conn_kind kind;
	enum conn_state state;
	uint32_t event_mask;
	int dead, queued;
	int64_t due, heap_key_ms; /* when something is to be done; what the heap believes, never later */
	int heap_index;
	struct buffer in, out;
	size_t scan_offset;      /* of a head: lines before it are exact */
	uint64_t body_remaining; /* of the body being read */
	struct chunks chunks;
	struct head head;
	struct http_field *fields;
	int field_count, field_capacity;
	union {
		struct listener listener;
		struct server_side s;
		struct client_side client;
	};
};

struct call_entry {
	uint64_t key;
	struct conn *value;
};
struct peer_entry {
	uint64_t key;
	struct peer *value;
};

struct http {
	struct http_callbacks callbacks;
	int epoll_fd, wake_fd, woken;
	int64_t now_ms;
	int64_t polled_at_ms;        /* when the newest events were asked for */
	int64_t previous_poll_at_ms; /* when the loop looked for events the time before: what comes now
					arrived later */
	uint64_t turn, serial;
	int callback_made; /* callbacks were made before the wait of this turn */
	int busy_count;
	int sweep_count; /* doors that wait for theirs */
	struct conn **listeners, **slots, **queued, **running, **dead, **timer_heap;
	uint32_t *free_slots;
	struct conn *spare_connections; /* chain through k.next */
	char *spare_blocks[MAX_SPARE_BLOCKS];
	int spare_block_count;
	struct call_entry *calls;
	struct peer_entry *peers;
	struct http_counters counters;
	struct epoll_event events[EVENTS];
	char scratch[SCRATCH_BYTES];
};

/* ---- http_buffer.c ---- */

void http_buffer_free(struct http *http, struct buffer *buffer);

/* Room for n more bytes at the end; the buffer may move. */
char *http_buffer_reserve(struct http *http, struct buffer *buffer, size_t size);
void http_buffer_append(struct http *http, struct buffer *buffer, const char *data, size_t size);
void http_buffer_append_text(struct http *http, struct buffer *buffer, const char *text);
void http_buffer_append_number(struct http *http, struct buffer *buffer, uint64_t value, unsigned base);

/* Text without line breaks, which would begin another field. */
void http_buffer_append_clean(struct http *http, struct buffer *buffer, const char *text);

/* A line of a head; line breaks inside it become blanks. */
void http_buffer_append_field(struct http *http, struct buffer *buffer, const struct http_field *field);

/* Is it a field by which a message is framed, which are written here alone? */
int http_is_framing_field(const char *name);

/* ---- http_connection.c ---- */

struct conn *http_conn_new(struct http *http, enum conn_kind kind, int fd);

/* Wait for these events. */
void http_conn_watch(struct conn *conn, uint32_t mask);

/* What has been written goes out, and what is begun begins, at the end of the turn. */
void http_conn_queue(struct conn *conn);

/* Close, with a reset if need be. The struct lives on to the end of the turn. */
void http_conn_close(struct conn *conn, int reset);
void http_conn_reap(struct http *http);

/* Send what is to go out. 0 when not all could be sent, or the connection is lost. */
int http_conn_send(struct conn *conn, int *lost);

/* Take a connection out of its peer's pool; forget a peer that has none and no bound. */
void http_idle_remove(struct conn *conn);
void http_peer_release(struct http *http, struct peer *peer);

void http_timer_set(struct conn *conn, int64_t due_at_ms);
void http_timer_remove(struct http *http, struct conn *conn);
void http_timer_down(struct http *http, int index);

void http_socket_options(int fd);
int http_socket_inherits(int fd);
struct sockaddr_in http_socket_address(uint64_t address);

/* ---- http_parse.c ---- */

/* Characters that a token may hold; filled by http_parse_init. */
extern unsigned char http_token_char[256];
void http_parse_init(void);

/* Where the head that begins at from ends; 0 when more is to come; -1 when a line does not end in CRLF. */
ssize_t http_head_end(struct conn *conn, size_t from);

/* Read the whole head at in[from, to); 0 when it is bad. Fields are offsets until http_head_fix_fields. */
int http_head_read(struct conn *conn, size_t from, size_t end, int request);
void http_head_resolve_fields(struct conn *conn);

/* Take bytes up to the end of a span of data, *d and *dn. How many, or -1 for bad framing. */
ssize_t http_chunk_step(struct chunks *chunks, const char *input, size_t size, const char **data,
			size_t *data_size);

/* ---- http_server.c ---- */

void http_server_event(struct conn *conn, uint32_t events);
void http_server_flush(struct conn *conn);
void http_server_timeout(struct conn *conn);

/* Read what has come of a request. Returns whether anything has that lets it go on: a head has its time as a
 * whole. */
int http_server_progressed(struct conn *conn);

/* Wait for a request, from now on. */
void http_server_idle(struct conn *conn);

/* Answer what cannot be served, or not read to its end; nothing of it is delivered. retry_ms: when to come
 * back; 0: not said. */
void http_server_reject(struct conn *conn, int status, int retry_after_ms);

/* ---- http_disconnect.c ---- */

/* The request's outcome, counted once. */
void http_server_count_outcome(struct conn *conn, enum http_outcome outcome);

/* Close before the answer has left: at once, and with a reset where an ordinary end could look whole. */
void http_server_abort(struct conn *conn, enum http_outcome outcome);

/* Close behind a whole answer, so that it arrives: our side ends, and theirs is read until it ends too, for
 * LINGER_MS. */
void http_server_linger(struct conn *conn);

/* Read and forget what comes on a connection that lingers; close it once its other side has ended. */
void http_server_linger_read(struct conn *conn);

/* The loop is closed: send what the kernel takes, and close. */
void http_server_stop(struct conn *conn);

/* ---- http_listener.c ---- */

void http_listener_accept(struct conn *conn);

/* Close the connections of doors that asked for it, if they are idle and nothing has come on them. */
void http_listener_sweep(struct http *http);

/* ---- http_client.c ---- */

void http_client_start(struct conn *conn);
void http_client_event(struct conn *conn, uint32_t events);
void http_client_timeout(struct conn *conn);

/* The call is over. keep: its connection may serve another. */
void http_client_end(struct conn *conn, enum http_call_result result, int reusable);

#endif
