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
	BLOCK = 4096, /* what a buffer begins with; such blocks are kept for the next */
	BLOCKS_KEPT = 256,
	SCRATCH = 65536,
	EVENTS = 256,
	EARLY_MAX = 65536, /* of bytes that come while a request is being answered */
	CLIENT_HEAD = 65536,
	CHUNK_LINE = 4096,
	TRAILERS = 16384,
	LINGER_MS = 2000,    /* for a caller to take an answer after which we close */
	LEAVE_IDLE_MS = 200, /* at a door that leaves, for a request that was on its way when the answer before it ended */
	BACKLOG = 1024,      /* connections that the kernel keeps until they are accepted */
	ANSWERS_SKIPPED = 4, /* answers to other requests that a call passes over on its connection */
	KEPT_MS = 4000,
	CONNECT_MS = 3000,
	USER_TIMEOUT = 3000,
	SLOT_BITS = 20
};

#define NO_TIME INT64_MAX
#define HTTP_READ_EVENTS ((uint32_t)(EPOLLIN | EPOLLRDHUP))

struct buffer {
	char *d;
	size_t off, len, cap;
};

enum chunk_at {
	CH_SIZE,
	CH_EXT,
	CH_SIZE_LF,
	CH_DATA,
	CH_DATA_CR,
	CH_DATA_LF,
	CH_LINE,
	CH_TRAILER,
	CH_TRAILER_LF,
	CH_END_LF,
	CH_DONE
};
struct chunks {
	enum chunk_at at;
	int digits;
	uint64_t left;
	unsigned line, trailers;
};

/* what a head says of the connection and of the body */
struct head {
	int minor, status, keep_s, whole;
	int close, chunked, has_len, expect, hosts, bad;
	uint64_t length;
};

enum conn_kind { CONN_DOOR, CONN_SERVER, CONN_CLIENT };
enum conn_state {
	ST_LISTEN,
	ST_PAUSED,
	ST_HEAD,
	ST_BODY,
	ST_BUSY,
	ST_DONE,
	ST_LINGER, /* server: BUSY while the answer is not finished, DONE till it is sent */
	ST_FAIL,
	ST_QUEUED,
	ST_CONNECT,
	ST_ANSWER,
	ST_REST,
	ST_KEPT /* client: REST is the answer's body */
};

enum framing { FR_NONE, FR_LENGTH, FR_CHUNKED, FR_EOF };

struct conn;
struct peer {
	uint64_t addr;
	int open, most;
	unsigned epoch;
	struct conn *first, *last; /* kept */
};

struct server_side {
	struct conn *door;
	uint32_t slot;
	uint64_t token;
	struct http_req req;
	struct buffer early;
	size_t body_max;            /* the limit in force when the body began */
	size_t pos, body, body_len; /* next raw byte; the body's place in the buffer */
	size_t target;
	const char *verb;
	int read, closing, linger, begun, no_body;
	enum framing out;
	int unsettled;        /* a request was read whole, and its outcome is not counted yet */
	int refusal;          /* its answer says when to come back */
	int64_t since;        /* when the wait under way began, which the door's limits bound */
	uint64_t unsent;      /* of a finished answer, when that wait began; UINT64_MAX: not looked at yet */
	uint64_t left;        /* of the answer's length */
	int64_t answer_until; /* no answer begins to leave after it; 0: whenever */
};

struct client_side {
	struct peer *peer;
	unsigned epoch;
	uint64_t token;
	int64_t not_after, limit_at, until; /* until: a kept one may be used */
	int connect_ms, fresh, is_head, sent, cut;
	int skipping; /* the answer being read belongs to another request: nothing of it is passed on */
	int skipped;  /* such answers on this connection */
	struct conn *next, *prev;
	enum framing in;
};

struct listener {
	int id, port, leaving, burst, checked, inherits;
	int sweep; /* idle connections are closed once what has come was read */
	uint64_t turn;
	struct http_limits lim;
};

struct conn {
	struct http *h;
	int fd;
	enum conn_kind kind;
	enum conn_state st;
	uint32_t mask;
	int dead, queued;
	int64_t due, key; /* when something is to be done; what the heap believes, never later */
	int hpos;
	struct buffer in, out;
	size_t scan;   /* of a head: lines before it are exact */
	uint64_t left; /* of the body being read */
	struct chunks ck;
	struct head hd;
	struct http_field *f;
	int nf, fcap;
	union {
		struct listener d;
		struct server_side s;
		struct client_side k;
	};
};

struct call_at {
	uint64_t key;
	struct conn *value;
};
struct peer_at {
	uint64_t key;
	struct peer *value;
};

struct http {
	struct http_on on;
	int ep, ev, woken;
	int64_t now;
	int64_t polled; /* when the newest events were asked for */
	int64_t looked; /* when the loop looked for events the time before: what comes now arrived later */
	uint64_t turn, serial;
	int did; /* callbacks were made before the wait of this turn */
	int busy;
	int sweeps; /* doors that wait for theirs */
	struct conn **doors, **slot, **todo, **doing, **dead, **heap;
	uint32_t *free_slot;
	struct conn *spare; /* chain through k.next */
	char *block[BLOCKS_KEPT];
	int nblock;
	struct call_at *calls;
	struct peer_at *peers;
	struct http_counts n;
	struct epoll_event event[EVENTS];
	char scratch[SCRATCH];
};

/* ---- http_buffer.c ---- */

void http_buffer_free(struct http *h, struct buffer *b);

/* Room for n more bytes at the end; the buffer may move. */
char *http_buffer_room(struct http *h, struct buffer *b, size_t n);
void http_buffer_put(struct http *h, struct buffer *b, const char *d, size_t n);
void http_buffer_text(struct http *h, struct buffer *b, const char *s);
void http_buffer_number(struct http *h, struct buffer *b, uint64_t v, unsigned base);

/* Text without line breaks, which would begin another field. */
void http_buffer_clean(struct http *h, struct buffer *b, const char *s);

/* A line of a head; line breaks inside it become blanks. */
void http_buffer_field(struct http *h, struct buffer *b, const struct http_field *f);

/* Is it a field by which a message is framed, which are written here alone? */
int http_is_framing_field(const char *name);

/* ---- http_conn.c ---- */

struct conn *http_conn_new(struct http *h, enum conn_kind kind, int fd);

/* Wait for these events. */
void http_conn_watch(struct conn *c, uint32_t mask);

/* What has been written goes out, and what is begun begins, at the end of the turn. */
void http_conn_queue(struct conn *c);

/* Close, with a reset if need be. The struct lives on to the end of the turn. */
void http_conn_close(struct conn *c, int reset);
void http_conn_reap(struct http *h);

/* Send what is to go out. 0 when not all could be sent, or the connection is lost. */
int http_conn_send(struct conn *c, int *lost);

/* Take a connection out of its peer's pool; forget a peer that has none and no bound. */
void http_kept_remove(struct conn *c);
void http_peer_release(struct http *h, struct peer *p);

void http_timer_set(struct conn *c, int64_t at);
void http_timer_remove(struct http *h, struct conn *c);
void http_timer_down(struct http *h, int i);

void http_socket_options(int fd);
int http_socket_inherits(int fd);
struct sockaddr_in http_socket_address(uint64_t a);

/* ---- http_parse.c ---- */

/* Characters that a token may hold; filled by http_parse_init. */
extern unsigned char http_token_char[256];
void http_parse_init(void);

/* Where the head that begins at from ends; 0 when more is to come; -1 when a line does not end in CRLF. */
ssize_t http_head_end(struct conn *c, size_t from);

/* Read the whole head at in[from, to); 0 when it is bad. Fields are offsets until http_head_fix_fields. */
int http_head_read(struct conn *c, size_t from, size_t to, int request);
void http_head_fix_fields(struct conn *c);

/* Take bytes up to the end of a span of data, *d and *dn. How many, or -1 for bad framing. */
ssize_t http_chunk_step(struct chunks *k, const char *p, size_t n, const char **d, size_t *dn);

/* ---- http_server.c ---- */

void http_server_event(struct conn *c, uint32_t ev);
void http_server_flush(struct conn *c);
void http_server_timeout(struct conn *c);

/* Read what has come of a request. Returns whether anything has that lets it go on: a head has its time as a whole. */
int http_server_moves(struct conn *c);

/* Wait for a request, from now on. */
void http_server_idle(struct conn *c);

/* Answer what cannot be served, or not read to its end; nothing of it is delivered. retry_ms: when to come back; 0: not said. */
void http_server_refuse(struct conn *c, int status, int retry_ms);

/* ---- http_end.c ---- */

/* The request's outcome, counted once. */
void http_server_settle(struct conn *c, enum http_outcome outcome);

/* Close before the answer has left: at once, and with a reset where an ordinary end could look whole. */
void http_server_cut(struct conn *c, enum http_outcome outcome);

/* Close behind a whole answer, so that it arrives: our side ends, and theirs is read until it ends too, for LINGER_MS. */
void http_server_linger(struct conn *c);

/* Read and forget what comes on a connection that lingers; close it once its other side has ended. */
void http_server_linger_read(struct conn *c);

/* The loop is closed: send what the kernel takes, and close. */
void http_server_stop(struct conn *c);

/* ---- http_door.c ---- */

void http_door_accept(struct conn *l);

/* Close the connections of doors that asked for it, if they are idle and nothing has come on them. */
void http_door_sweep(struct http *h);

/* ---- http_client.c ---- */

void http_client_start(struct conn *c);
void http_client_event(struct conn *c, uint32_t ev);
void http_client_timeout(struct conn *c);

/* The call is over. keep: its connection may serve another. */
void http_client_end(struct conn *c, enum http_end how, int keep);

#endif
