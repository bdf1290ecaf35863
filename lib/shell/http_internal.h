/* http_internal: declarations shared by the files of the HTTP loop; other modules include http.h only.
 *   http_loop        the event loop                      http_listener    listeners, accepting, draining
 *   http_connection  connections, timers, sockets        http_server      requests and answers of clients
 *   http_buffer      input and output buffers            http_disconnect  closing of clients' connections
 *   http_parse       message heads and chunks            http_client      calls, idle connections to servers
 * The thread that runs the loop owns all of this state. Other threads may call http_wake only, which uses
 * nothing but wake_fd and wake_pending. */
#ifndef NL_HTTP_INTERNAL_H
#define NL_HTTP_INTERNAL_H

#include <stdbool.h>
#include <netinet/in.h>
#include <stdint.h>
#include <sys/epoll.h>
#include <sys/types.h>

#include "http.h"

enum {
	BUFFER_BLOCK_BYTES = 4096, /* initial size of a buffer; blocks of this size are kept for reuse */
	MAX_SPARE_BLOCKS = 256,
	MAX_DOUBLED_BYTES = 65536, /* larger buffers grow to the size that is needed, or by doubling */
	SCRATCH_BYTES = 65536,
	MAX_EPOLL_EVENTS = 256,
	MAX_PIPELINED_BYTES = 65536, /* received while an earlier request of the connection is answered */
	MAX_RESPONSE_HEAD_BYTES = 65536,
	MAX_CHUNK_EXTENSION_BYTES = 4096,
	MAX_TRAILER_BYTES = 16384,
	LINGER_TIMEOUT_MS = 2000, /* for a client to read the last answer before its connection is closed */
	DRAIN_IDLE_TIMEOUT_MS = 200, /* at a draining listener, for a request that the client sent before it
					received the previous answer */
	MEMORY_RETRY_AFTER_MS = 500, /* Retry-After of a request for which there is no memory */
	MEMORY_LOG_INTERVAL_MS = 10000, /* between two log lines about such requests */
	ACCEPT_BACKLOG = 1024, /* established connections that the kernel queues until they are accepted */
	MAX_SKIPPED_RESPONSES = 4, /* answers to other requests that a call may discard */
	DEFAULT_KEEP_ALIVE_MS = 4000,
	DEFAULT_CONNECT_TIMEOUT_MS = 3000,
	UNACKED_TIMEOUT_MS = 3000,
	TOKEN_SLOT_BITS = 20
};

#define TIME_NEVER INT64_MAX
#define HTTP_READ_EVENTS ((uint32_t)(EPOLLIN | EPOLLRDHUP))

/* A byte buffer. The bytes from offset to len are yet to be parsed or sent. */
struct buffer {
	char *data;
	size_t offset;
	size_t len; /* bytes in use, including those before offset */
	size_t capacity;
};

/* The element of a chunked body to which the next byte belongs (RFC 9112, 7.1). */
enum chunk_state {
	CHUNK_SIZE,
	CHUNK_EXTENSION,
	CHUNK_SIZE_LF,
	CHUNK_DATA,
	CHUNK_DATA_CR,
	CHUNK_DATA_LF,
	CHUNK_TRAILER_START, /* first byte of a trailer field, or the CR of the final empty line */
	CHUNK_TRAILER,
	CHUNK_TRAILER_LF,
	CHUNK_END_LF,
	CHUNK_DONE
};

/* Position of the parser in a chunked body. */
struct chunk_parser {
	enum chunk_state state;
	int digit_count;          /* digits of the chunk's size read so far */
	uint64_t remaining_bytes; /* bytes of the chunk's data that are not read yet */
	unsigned extension_bytes; /* length of the chunk extension read so far */
	unsigned trailer_bytes;   /* total length of the trailer fields read so far */
};

/* Properties of the connection and the body that a message's head states. */
struct http_head {
	int minor_version;    /* of HTTP/1: 0 or 1 */
	int status;           /* of an answer; 0 in a request */
	int keep_alive_s;     /* timeout of the field Keep-Alive; -1: not given */
	int close_connection; /* the sender closes the connection after this message */
	int is_chunked;
	int has_length;
	int expects_continue;
	int host_count;
	int is_malformed; /* its framing fields are invalid or contradict each other */
	uint64_t length;  /* Content-Length */
};

/* The role of this process on a connection. */
enum conn_kind {
	CONN_LISTENER,
	CONN_SERVER, /* this process is the server: a client's connection */
	CONN_CLIENT  /* this process is the client: a connection to a server */
};

/* The state of a connection. Each kind of connection has its own states. */
enum conn_state {
	/* states of a listener */
	CONN_LISTENING,
	CONN_ACCEPT_PAUSED, /* the process has no free file descriptors or memory for sockets */
	/* states of a client's connection */
	CONN_READING_HEAD,
	CONN_READING_BODY,
	CONN_HANDLING,         /* the request was delivered and its answer is not finished */
	CONN_SENDING_RESPONSE, /* the answer is finished and not sent completely */
	CONN_LINGERING,        /* our direction is shut down; input is discarded until the client closes */
	/* states of a connection to a server */
	CONN_FAILED, /* no connection is allowed: the call ends at the end of the iteration */
	CONN_QUEUED, /* the call begins at the end of the iteration */
	CONN_CONNECTING,
	CONN_AWAITING_HEAD,
	CONN_READING_RESPONSE, /* reading the body of an answer */
	CONN_IDLE              /* kept open for a later call */
};

/* How the end of a body is recognised. */
enum body_framing { BODY_NONE, BODY_LENGTH, BODY_CHUNKED, BODY_UNTIL_EOF };

struct http_connection;

/* A server's address and the connections to it; freed when it has neither connections nor a limit. */
struct peer {
	uint64_t addr;
	int open_connections;
	int max_connections;                /* 0: no limit */
	unsigned epoch;                     /* connections opened in an earlier epoch are not reused */
	struct http_connection *first_idle; /* most recently used */
	struct http_connection *last_idle;  /* least recently used */
};

/* State of a client's connection (CONN_SERVER). */
struct server_side {
	struct http_connection *listener;
	uint32_t slot;  /* index in http.slots; the low bits of the tokens of its requests */
	uint64_t token; /* of the newest delivered request; 0: none was delivered yet */
	struct http_request request;
	struct buffer pipelined; /* bytes received while the request was answered */

	/* the request being read; offsets refer to the input buffer */
	size_t max_body_bytes; /* the listener's limit when the head was complete */
	size_t parse_offset;   /* the next byte to parse */
	size_t body_offset;
	size_t body_bytes;
	size_t target_offset;
	const char *method;
	int has_head_begun;    /* a byte of the next head was received */
	size_t reserved_bytes; /* of the loop's memory for requests, until the request is answered */

	/* the answer */
	int has_response_begun;
	int is_body_omitted; /* only the head of the answer is sent */
	enum body_framing response_framing;
	uint64_t response_remaining_bytes; /* bytes of the answer's Content-Length that are not written yet */
	int64_t response_deadline_ms;      /* clock_ms by which the first byte must be sent; 0: none */
	int is_rejection;                  /* the answer is a 503 or 429 with Retry-After */
	int is_outcome_pending; /* a request was received completely and its outcome is not counted yet */

	/* the connection */
	int close_after_response; /* the connection is closed after this answer */
	int must_linger;          /* and lingers before it is closed, even if the client announced its end */
	int64_t wait_began_at_ms; /* start of the present wait, whose length the listener's limits bound */
	uint64_t unsent_bytes;    /* unacknowledged bytes of a finished answer at the start of that wait;
				     UINT64_MAX: not determined yet */
};

/* State of a connection to a server (CONN_CLIENT). */
struct client_side {
	struct peer *peer;
	unsigned peer_epoch;
	uint64_t token;
	int64_t not_after_ms;      /* no byte of the request is sent after this clock_ms */
	int64_t deadline_ms;       /* when the call must have ended; TIME_NEVER: none */
	int64_t reusable_until_ms; /* an idle connection is not used at or after this clock_ms */
	int connect_timeout_ms;
	int needs_new_connection;   /* the call must not use an idle connection */
	int is_head_request;        /* the method is HEAD, whose answer has no body */
	int has_sent_bytes;         /* at least one byte of the request was sent */
	int is_request_truncated;   /* the server closed before the complete request was sent; it may still
				       answer */
	int is_skipping_response;   /* the answer being read belongs to another request and is discarded */
	int skipped_response_count; /* answers discarded on this connection */
	struct http_connection
	    *next; /* in the peer's list of idle connections, or in http.spare_connections */
	struct http_connection *prev;
	enum body_framing response_framing;
};

/* A listening socket. The struct outlives the socket, because its connections refer to it. */
struct listener {
	int listener_id; /* chosen by the caller of http_listen */
	int port;
	int is_draining;
	int accept_burst;          /* connections to accept in one iteration */
	int are_options_checked;   /* are_options_inherited has been determined */
	int are_options_inherited; /* accepted sockets inherit the listener's options */
	int is_sweep_due; /* idle connections are to be closed, after their received bytes are read */
	uint64_t last_accept_iteration; /* http.iteration when it last accepted */
	struct http_limits limits;
};

/* A connection or listener. Freed structs are reused, so that a connection usually needs no allocation. */
struct http_connection {
	struct http *http;
	int fd; /* -1: none */
	enum conn_kind kind;
	enum conn_state state;
	uint32_t event_mask;   /* events registered with epoll; 0: not registered */
	int is_closed;         /* the struct is freed at the end of the iteration */
	int is_queued;         /* is in http.queued_connections */
	int64_t timeout_at_ms; /* when its timer expires; TIME_NEVER: no timer is set */
	int64_t heap_key_ms;   /* its key in the timer heap: never later than timeout_at_ms */
	int heap_index;        /* -1: not in the heap */
	struct buffer input;
	struct buffer output;
	size_t scan_offset;      /* the lines of a head before this offset of the input end in CRLF */
	uint64_t body_remaining; /* bytes of a body with Content-Length that are not read yet */
	struct chunk_parser chunks;
	struct http_head head;
	struct http_field *fields; /* of the head; the array is kept when the struct is reused */
	int field_count;
	int field_capacity;
	union { /* selected by kind */
		struct listener listener;
		struct server_side server;
		struct client_side client;
	};
};

/* Entries of stb_ds maps. */
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
	int wake_pending; /* atomic: http_wake has written to wake_fd and the loop has not read it */

	/* the iteration of the loop */
	int64_t now_ms;
	int64_t last_poll_at_ms; /* when the newest epoll_wait returned */
	int64_t
	    previous_poll_at_ms; /* when the epoll_wait before it returned: bytes read now arrived after it */
	uint64_t iteration;
	uint64_t last_token_serial;  /* serial number in the newest token */
	int callback_made;           /* a callback was made in this iteration: do not wait */
	int busy_client_count;       /* clients whose answers are not finished or not sent completely */
	int sweep_count;             /* listeners with is_sweep_due */
	size_t request_bytes;        /* sum of reserved_bytes of all clients' connections */
	size_t max_request_bytes;    /* upper bound of request_bytes */
	int64_t memory_logged_at_ms; /* when a request without memory was logged last; 0: never */

	/* connections; the arrays and maps are managed by stb_ds */
	struct http_connection **listeners;
	struct http_connection **slots; /* clients' connections by slot; NULL: free */
	uint32_t *free_slots;
	struct http_connection **queued_connections;  /* to be processed at the end of the iteration */
	struct http_connection **running_connections; /* queued connections that are being processed */
	struct http_connection **closed_connections;  /* to be freed at the end of the iteration */
	struct http_connection **timer_heap;
	struct call_entry *calls;
	struct peer_entry *peers;

	/* freed memory that is kept for reuse */
	struct http_connection *spare_connections; /* linked by client.next */
	char *spare_blocks[MAX_SPARE_BLOCKS];
	int spare_block_count;

	struct http_counters counters;
	struct epoll_event events[MAX_EPOLL_EVENTS];
	char scratch[SCRATCH_BYTES];
};

/* ---- http_buffer.c ---- */

/* Empty a buffer and free its memory. */
void http_buffer_free(struct http *http, struct buffer *buffer);

/* Reserve size bytes at the end of the buffer and return their address. The caller writes them and adds their
 * number to len. The buffer's data may move. */
char *http_buffer_reserve(struct http *http, struct buffer *buffer, size_t size);

/* Append bytes, a string, or a number in base 10 or 16. */
void http_buffer_append(struct http *http, struct buffer *buffer, const char *data, size_t size);
void http_buffer_append_text(struct http *http, struct buffer *buffer, const char *text);
void http_buffer_append_number(struct http *http, struct buffer *buffer, uint64_t value, unsigned base);

/* Append a string with line breaks replaced by spaces, because a line break would begin another field. */
void http_buffer_append_single_line(struct http *http, struct buffer *buffer, const char *text);

/* Append a header field as one line. */
void http_buffer_append_field(struct http *http, struct buffer *buffer, const struct http_field *field);

/* Whether a field is Connection, Content-Length or Transfer-Encoding, which the loop itself writes. */
bool http_is_framing_field(const char *name);

/* ---- http_connection.c ---- */

/* Create a connection whose other members are zero, if possible in a freed struct. Never returns NULL. */
struct http_connection *http_conn_new(struct http *http, enum conn_kind kind, int fd);

/* Register these events with epoll. */
void http_conn_watch(struct http_connection *conn, uint32_t mask);

/* Schedule a connection for the end of the iteration: its output is sent, or its call begins. */
void http_conn_queue(struct http_connection *conn);

/* Close a connection: with a TCP reset if reset is set, or if an ordinary close could make an incomplete
 * answer look complete. The struct stays valid until the end of the iteration. */
void http_conn_close(struct http_connection *conn, int with_reset);

/* Free the connections that were closed, except those that are still queued. */
void http_conn_free_closed(struct http *http);

/* Send the output. Returns 1 if it was sent completely. *lost is set if the connection failed. */
int http_conn_send(struct http_connection *conn, int *lost);

/* Remove a connection from its peer's list of idle connections. */
void http_conn_remove_idle(struct http_connection *conn);

/* Free a peer if it has neither connections nor a limit. */
void http_peer_free_if_unused(struct http *http, struct peer *peer);

/* Timers. A key in the heap may be earlier than its timer, so that postponing a timer does not change the
 * heap. */
void http_timer_set(struct http_connection *conn, int64_t timeout_at_ms);
void http_timer_remove(struct http *http, struct http_connection *conn);
void http_timer_sift_down(struct http *http, int index);

/* Set TCP_NODELAY, keep-alive probes, and the timeout for unacknowledged bytes. */
void http_socket_set_options(int fd);

/* Whether an accepted socket has inherited its listener's options, as it does on Linux. */
bool http_socket_has_options(int fd);

/* Convert an address in the format of core_parse_addr to a socket address. */
struct sockaddr_in http_socket_address(uint64_t address);

/* ---- http_parse.c ---- */

/* Indexed by character: nonzero if a token (RFC 9110, 5.6.2) may contain it. http_parse_init fills it. */
extern unsigned char http_token_char[256];

/* Fill http_token_char. Call it before any other function of http_parse. */
void http_parse_init(void);

/* The end offset of the head that begins at offset head_offset of the input; 0: the head is incomplete; -1: a
 * line does not end in CRLF, or the head is empty. */
ssize_t http_find_head_end(struct http_connection *conn, size_t head_offset);

/* Parse the complete head at [head_offset, head_end) of the input. Returns 0 if it is malformed. Its fields
 * hold offsets until http_head_resolve_fields is called, because the input may still move. */
int http_parse_head(struct http_connection *conn, size_t head_offset, size_t head_end, int is_request);

/* Convert the offsets in the fields to pointers. Call it when the input no longer moves. */
void http_head_resolve_fields(struct http_connection *conn);

/* Parse a chunked body up to the end of the first span of chunk data in the input. *data_size is 0 if there
 * is no such span. Returns the number of bytes parsed, or -1 if the framing is invalid. */
ssize_t http_chunk_parse(struct chunk_parser *chunks, const char *input, size_t input_size, const char **data,
			 size_t *data_size);

/* ---- http_server.c ---- */

/* Events of a client's connection: epoll reported events, output is to be sent, its timer expired. */
void http_server_event(struct http_connection *conn, uint32_t events);
void http_server_flush(struct http_connection *conn);
void http_server_timeout(struct http_connection *conn);

/* Read the received bytes of a request. Returns whether the wait has made progress. More bytes of an
 * incomplete head are no progress, because its timeout is counted from its first byte. */
int http_server_read_progress(struct http_connection *conn);

/* Start waiting for the next request. */
void http_server_await_request(struct http_connection *conn);

/* Answer a request that cannot be served or read completely; it is not delivered. retry_after_ms: when the
 * client should retry; 0: not given. */
void http_server_reject(struct http_connection *conn, int status, int retry_after_ms);

/* Return what a client's connection has reserved of the memory for requests. */
void http_server_release_memory(struct http_connection *conn);

/* ---- http_disconnect.c ---- */

/* Count the outcome of the connection's request, unless it is counted already. */
void http_server_count_outcome(struct http_connection *conn, enum http_outcome outcome);

/* Close a connection before its answer was sent completely: with a reset where an ordinary close could make
 * the answer look complete. */
void http_server_abort(struct http_connection *conn, enum http_outcome outcome);

/* Close a connection after a complete answer in such a way that the answer arrives: shut down our direction,
 * and discard input until the client closes, for at most LINGER_TIMEOUT_MS. */
void http_server_linger(struct http_connection *conn);

/* Discard the input of a lingering connection; close it once the client has closed its direction. */
void http_server_linger_read(struct http_connection *conn);

/* The loop is being closed: send the output that the kernel accepts at once, and close the connection. */
void http_server_shut_down(struct http_connection *conn);

/* ---- http_listener.c ---- */

/* Accept connections: one, or more if connections were waiting in consecutive iterations. */
void http_listener_accept(struct http_connection *conn);

/* Close the connections of listeners with is_sweep_due that are idle and have received nothing. */
void http_listener_sweep(struct http *http);

/* ---- http_client.c ---- */

/* Events of a connection to a server: its call begins, epoll reported events, its timer expired. */
void http_client_start_call(struct http_connection *conn);
void http_client_event(struct http_connection *conn, uint32_t events);
void http_client_timeout(struct http_connection *conn);

/* End a call and report its result. reusable: another call may use the connection. */
void http_client_finish_call(struct http_connection *conn, enum http_call_result result, int reusable);

#endif
