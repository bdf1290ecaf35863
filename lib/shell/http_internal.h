/* http_internal: what the files of the HTTP loop share. Not for other modules.
 *   http_loop        the loop, opening and closing       http_listener    listeners, accepting, draining
 *   http_connection  connections, their timers, sockets  http_server      clients that are answered
 *   http_buffer      bytes read and to be written        http_disconnect  how a client's connection ends
 *   http_parse       heads and chunks                    http_client      calls, idle connections to servers
 * The thread that runs the loop owns everything here; only http_wake is called by others, and touches wake_fd
 * and woken alone. */
#ifndef NL_HTTP_INTERNAL_H
#define NL_HTTP_INTERNAL_H

#include <stdbool.h>
#include <netinet/in.h>
#include <stdint.h>
#include <sys/epoll.h>
#include <sys/types.h>

#include "http.h"

enum {
	BUFFER_BLOCK_BYTES = 4096, /* a buffer's first size; such blocks are kept for the next */
	MAX_SPARE_BLOCKS = 256,
	SCRATCH_BYTES = 65536,
	MAX_EPOLL_EVENTS = 256,
	MAX_PIPELINED_BYTES = 65536, /* of bytes that come while a request is being answered */
	MAX_RESPONSE_HEAD_BYTES = 65536,
	MAX_CHUNK_LINE_BYTES = 4096,
	MAX_TRAILER_BYTES = 16384,
	LINGER_TIMEOUT_MS = 2000,    /* for a client to read an answer after which we close */
	DRAIN_IDLE_TIMEOUT_MS = 200, /* at a draining listener, for a request that was sent before the answer
				to the one before it had arrived */
	ACCEPT_BACKLOG = 1024,       /* connections that the kernel keeps until they are accepted */
	MAX_SKIPPED_RESPONSES = 4,   /* answers to other requests that a call passes over on its connection */
	DEFAULT_KEEP_ALIVE_MS = 4000,
	DEFAULT_CONNECT_TIMEOUT_MS = 3000,
	UNACKED_TIMEOUT_MS = 3000,
	TOKEN_SLOT_BITS = 20
};

#define TIME_NEVER INT64_MAX
#define HTTP_READ_EVENTS ((uint32_t)(EPOLLIN | EPOLLRDHUP))

/* Bytes: those from offset to len are still to be handled. */
struct buffer {
	char *data;
	size_t offset;
	size_t len; /* bytes in use, those before offset included */
	size_t capacity;
};

/* What the next byte of a chunked body belongs to (RFC 9112, 7.1). */
enum chunk_state {
	CHUNK_SIZE,
	CHUNK_EXTENSION,
	CHUNK_SIZE_LF,
	CHUNK_DATA,
	CHUNK_DATA_CR,
	CHUNK_DATA_LF,
	CHUNK_TRAILER_START, /* a trailer's first byte, or the CR of the last line */
	CHUNK_TRAILER,
	CHUNK_TRAILER_LF,
	CHUNK_END_LF,
	CHUNK_DONE
};

/* Where in a chunked body the parser is. */
struct chunk_parser {
	enum chunk_state state;
	int digit_count;          /* of the chunk's size so far */
	uint64_t remaining_bytes; /* bytes of the chunk */
	unsigned extension_bytes; /* of the extension */
	unsigned trailer_bytes;   /* of all trailers */
};

/* What a head says of the connection and of the body. */
struct http_head {
	int minor_version;    /* of HTTP/1 */
	int status;           /* of an answer */
	int keep_alive_s;     /* Keep-Alive: timeout; -1: not given */
	int close_connection; /* the connection ends with this message */
	int is_chunked;
	int has_length;
	int expects_continue;
	int host_count;
	int is_malformed; /* its fields contradict each other */
	uint64_t length;  /* Content-Length */
};

/* What a connection is to us. */
enum conn_kind {
	CONN_LISTENER,
	CONN_SERVER, /* we are the server: a client's connection */
	CONN_CLIENT  /* we are the client: a connection to a server */
};

/* What a connection does; which states it may have depends on its kind. */
enum conn_state {
	/* a listener */
	CONN_LISTENING,
	CONN_ACCEPT_PAUSED, /* descriptors have run out */
	/* a client's connection */
	CONN_READING_HEAD,
	CONN_READING_BODY,
	CONN_HANDLING,         /* the request was delivered, and its answer isn't finished */
	CONN_SENDING_RESPONSE, /* the answer is finished, and not all sent */
	CONN_LINGERING,        /* our side has ended; theirs is read until it ends too */
	/* a connection to a server */
	CONN_FAILED, /* there is none: the call ends at the end of the turn */
	CONN_QUEUED, /* the call begins at the end of the turn */
	CONN_CONNECTING,
	CONN_AWAITING_HEAD,
	CONN_READING_RESPONSE, /* the answer's body */
	CONN_IDLE              /* kept for the next call */
};

/* How the end of a body is known. */
enum body_framing { BODY_NONE, BODY_LENGTH, BODY_CHUNKED, BODY_UNTIL_EOF };

struct http_connection;

/* A server's address and the connections to it; freed when there are none and no bound. */
struct peer {
	uint64_t addr;
	int open_connections;
	int max_connections;                /* 0: no bound */
	unsigned epoch;                     /* a connection of an earlier epoch isn't used again */
	struct http_connection *first_idle; /* used last */
	struct http_connection *last_idle;
};

/* A client's connection. */
struct server_side {
	struct http_connection *listener;
	uint32_t slot;  /* its place in http.slots; part of its tokens */
	uint64_t token; /* of the request; 0: none was delivered yet */
	struct http_request request;
	struct buffer pipelined; /* bytes that came while the request was answered */

	/* reading; offsets are in the input buffer */
	size_t max_body_bytes; /* the limit in force when the body began */
	size_t parse_offset;   /* the next byte to read */
	size_t body_offset;
	size_t body_bytes;
	size_t target_offset;
	const char *method;
	int head_begun;

	/* the answer */
	int response_begun;
	int no_body;
	enum body_framing response_framing;
	uint64_t response_remaining_bytes; /* of its Content-Length */
	int64_t response_deadline_ms;      /* it doesn't begin to leave past it; 0: no bound */
	int is_rejection;                  /* it says when to come back */
	int outcome_pending;               /* a request was read whole, and its outcome isn't counted yet */

	/* the connection */
	int close_after_response; /* it ends after this answer */
	int must_linger;          /* and lingers then, whatever the client has said */
	int64_t wait_began_at_ms; /* when the wait began that the listener's limits bound */
	uint64_t unsent_bytes;    /* of a finished answer, when that wait began; UINT64_MAX: not read yet */
};

/* A connection to a server. */
struct client_side {
	struct peer *peer;
	unsigned peer_epoch;
	uint64_t token;
	int64_t not_after_ms;      /* no byte of the request leaves past it */
	int64_t deadline_ms;       /* of the whole call */
	int64_t reusable_until_ms; /* of an idle connection */
	int connect_timeout_ms;
	int needs_new_connection; /* no idle connection may be used */
	int is_head_request;      /* a HEAD: its answer has no body */
	int has_sent_bytes;       /* a byte of the request has left */
	int is_request_truncated; /* the server closed before it had the whole request; an answer may come all
				   * the same
				   */
	int is_skipping_response; /* the answer being read belongs to another request: nothing of it is passed
				     on */
	int skipped_response_count;   /* such answers on this connection */
	struct http_connection *next; /* in the peer's list of idle ones, and in http.spare_connections */
	struct http_connection *prev;
	enum body_framing response_framing;
};

/* A listening socket. Its struct outlives the socket, for its connections refer to it. */
struct listener {
	int listener_id; /* the caller's */
	int port;
	int draining;
	int accept_burst;               /* connections to accept in a turn */
	int options_checked;            /* options_inherited is known */
	int options_inherited;          /* accepted sockets have the listener's options */
	int sweep_due;                  /* idle connections are closed once what has come was read */
	uint64_t last_accept_iteration; /* in which it accepted */
	struct http_limits limits;
};

/* A connection or listener. Spare ones are used again, so that a request costs no allocation. */
struct http_connection {
	struct http *http;
	int fd; /* -1: none */
	enum conn_kind kind;
	enum conn_state state;
	uint32_t event_mask;   /* that epoll waits for; 0: not registered */
	int closed;            /* freed at the end of the turn */
	int queued;            /* in http.queued */
	int64_t timeout_at_ms; /* when its timer runs out; TIME_NEVER: never */
	int64_t heap_key_ms;   /* its key in the timer heap: never later than due_at_ms */
	int heap_index;        /* -1: not in the heap */
	struct buffer input;
	struct buffer output;
	size_t scan_offset;      /* of a head: the lines before it are exact */
	uint64_t body_remaining; /* of the body being read, by its length */
	struct chunk_parser chunks;
	struct http_head head;
	struct http_field *fields; /* of the head; kept when the struct is used again */
	int field_count;
	int field_capacity;
	union { /* by kind */
		struct listener listener;
		struct server_side server;
		struct client_side client;
	};
};

/* Maps of stb_ds. */
struct call_entry {
	uint64_t key; /* token */
	struct http_connection *value;
};

struct peer_entry {
	uint64_t key; /* address */
	struct peer *value;
};

struct http {
	struct http_callbacks callbacks;
	int epoll_fd;
	int wake_fd;      /* an eventfd */
	int wake_pending; /* atomic: a wake is on its way */

	/* the turn */
	int64_t now_ms;
	int64_t last_poll_at_ms;     /* when the newest events were asked for */
	int64_t previous_poll_at_ms; /* the time before: what is read now arrived later */
	uint64_t iteration;
	uint64_t last_token_serial; /* of the last token */
	int callback_made;          /* before the wait of this turn */
	int busy_client_count;      /* clients that are being answered */
	int sweep_count;            /* listeners with sweep_due */

	/* connections; all arrays are of stb_ds */
	struct http_connection **listeners;
	struct http_connection **slots; /* clients', by slot; NULL: free */
	uint32_t *free_slots;
	struct http_connection **queued_connections;  /* for the end of the turn */
	struct http_connection **running_connections; /* those of them that have their turn */
	struct http_connection **closed_connections;  /* to be freed */
	struct http_connection **timer_heap;
	struct call_entry *calls;
	struct peer_entry *peers;

	/* memory for the next ones */
	struct http_connection *spare_connections; /* chain through client.next */
	char *spare_blocks[MAX_SPARE_BLOCKS];
	int spare_block_count;

	struct http_counters counters;
	struct epoll_event events[MAX_EPOLL_EVENTS];
	char scratch[SCRATCH_BYTES];
};

/* ---- http_buffer.c ---- */

/* Empty a buffer and give its memory back. */
void http_buffer_free(struct http *http, struct buffer *buffer);

/* Make room for size more bytes at the end, which the caller writes and adds to len. The buffer may move. */
char *http_buffer_reserve(struct http *http, struct buffer *buffer, size_t size);

/* Append bytes, a string, or a number in base 10 or 16. */
void http_buffer_append(struct http *http, struct buffer *buffer, const char *data, size_t size);
void http_buffer_append_text(struct http *http, struct buffer *buffer, const char *text);
void http_buffer_append_number(struct http *http, struct buffer *buffer, uint64_t value, unsigned base);

/* Text, its line breaks replaced by spaces: they would begin another field. */
void http_buffer_append_single_line(struct http *http, struct buffer *buffer, const char *text);

/* A field's line, without line breaks inside it. */
void http_buffer_append_field(struct http *http, struct buffer *buffer, const struct http_field *field);

/* Whether a field says how a message is framed; the loop alone writes those. */
bool http_is_framing_field(const char *name);

/* ---- http_connection.c ---- */

/* A connection with everything zero; spare ones are used again. Never NULL. */
struct http_connection *http_conn_new(struct http *http, enum conn_kind kind, int fd);

/* Have epoll wait for these events. */
void http_conn_watch(struct http_connection *conn, uint32_t mask);

/* At the end of the turn, send what was written, or begin the call. */
void http_conn_queue(struct http_connection *conn);

/* Close, with a reset if need be. The struct lives on to the end of the turn. */
void http_conn_close(struct http_connection *conn, int reset);

/* Free the connections that were closed in this turn. */
void http_conn_free_closed(struct http *http);

/* Send the output. 0 when not all could be sent, or the connection is lost. */
int http_conn_send(struct http_connection *conn, int *lost);

/* Take a connection out of its peer's list of idle ones. */
void http_conn_remove_idle(struct http_connection *conn);

/* Free a peer that has no connection and no bound. */
void http_peer_free_if_unused(struct http *http, struct peer *peer);

/* Timers: a heap whose keys may be early, so that moving a time on costs nothing. */
void http_timer_set(struct http_connection *conn, int64_t timeout_at_ms);
void http_timer_remove(struct http *http, struct http_connection *conn);
void http_timer_sift_down(struct http *http, int index);

/* No delay, and time-outs for bytes that aren't acknowledged. */
void http_socket_set_options(int fd);

/* Whether an accepted socket has its listener's options, as on Linux. */
bool http_socket_has_options(int fd);

/* The socket address of an address as core_parse_addr gives it. */
struct sockaddr_in http_socket_address(uint64_t address);

/* ---- http_parse.c ---- */

/* Characters that a token may hold; filled by http_parse_init. */
extern unsigned char http_token_char[256];

/* Fill http_token_char; before any other function of http_parse. */
void http_parse_init(void);

/* The end of the head that begins at offset from of the input; 0 when more is to come; -1 when a line doesn't
 * end in CRLF. */
ssize_t http_find_head_end(struct http_connection *conn, size_t from);

/* Parse the complete head at [from, end) of the input; 0 when it's malformed. Its fields are offsets until
 * http_head_resolve_fields, which is called once the input no longer moves. */
int http_parse_head(struct http_connection *conn, size_t from, size_t end, int request);

/* Turn the offsets of the fields into pointers. */
void http_head_resolve_fields(struct http_connection *conn);

/* Parse bytes up to the end of a span of data, which is set if there is one. Returns how many, or -1 for bad
 * framing. */
ssize_t http_chunk_parse(struct chunk_parser *chunks, const char *input, size_t input_size, const char **data,
			 size_t *data_size);

/* ---- http_server.c ---- */

/* A client's connection: epoll has events, output is to be sent, its timer has run out. */
void http_server_event(struct http_connection *conn, uint32_t events);
void http_server_flush(struct http_connection *conn);
void http_server_timeout(struct http_connection *conn);

/* Read what has come of a request. Returns whether it has moved on: a head has one time-out as a whole. */
int http_server_read_progress(struct http_connection *conn);

/* Begin to wait for a request. */
void http_server_await_request(struct http_connection *conn);

/* Answer a request that can't be served or read to its end; nothing of it is delivered. retry_after_ms: 0, or
 * when the client should come back. */
void http_server_reject(struct http_connection *conn, int status, int retry_after_ms);

/* ---- http_disconnect.c ---- */

/* Count the request's outcome, once. */
void http_server_count_outcome(struct http_connection *conn, enum http_outcome outcome);

/* Close before the answer has left: at once, and with a reset where an ordinary end could look whole. */
void http_server_abort(struct http_connection *conn, enum http_outcome outcome);

/* Close behind a complete answer, so that it arrives: our side ends, and theirs is read until it ends too,
 * for LINGER_MS. */
void http_server_linger(struct http_connection *conn);

/* Read and forget what comes on a connection that lingers; close it once its other side has ended. */
void http_server_linger_read(struct http_connection *conn);

/* The loop is closed: send what the kernel takes, and close. */
void http_server_shut_down(struct http_connection *conn);

/* ---- http_listener.c ---- */

/* Accept connections: one, or more where more wait turn after turn. */
void http_listener_accept(struct http_connection *conn);

/* Close the connections of listeners with sweep_due, if they are idle and nothing has come on them. */
void http_listener_sweep(struct http *http);

/* ---- http_client.c ---- */

/* A connection to a server: begin the call, epoll has events, its timer has run out. */
void http_client_start_call(struct http_connection *conn);
void http_client_event(struct http_connection *conn, uint32_t events);
void http_client_timeout(struct http_connection *conn);

/* End a call. reusable: its connection may serve another. */
void http_client_finish_call(struct http_connection *conn, enum http_call_result result, int reusable);

#endif
