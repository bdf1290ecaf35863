/* What the event loop and its HTTP connections share. One thread runs a loop; a connection or listener that
 * was closed is freed by the next sweep, never within a handler, so that handlers may close what they are
 * called for. */
#ifndef NL_EVENT_LOOP_INTERNAL_H
#define NL_EVENT_LOOP_INTERNAL_H

#include <stdbool.h>

#include "platform_emulator.h"

/* A pending call. */
struct timer {
	int64_t due_at_us;
	uint64_t id;
	void (*callback)(void *ctx);
	void *context;
};

/* What an epoll event points to: the first member of ports and connections. */
struct fd_owner {
	int kind; /* 1 port, 2 conn */
};

/* A listener. */
struct port {
	struct fd_owner owner;
	struct loop *loop;
	int fd;
	int max_connections;
	bool is_silent;
	int idle_ms;
	int connection_count;
	bool is_closed;
	const struct conn_handlers *handlers;
	void *context;
};

/* A connection: one that a listener accepted, or one that we opened (port NULL). */
struct conn {
	struct fd_owner owner;
	struct loop *loop;
	struct port *port; /* NULL: we call */
	int fd;
	bool is_up;
	bool is_closed;
	int awaits_answer; /* calling side: an answer is due */
	int in_request;    /* serving side: a request is being handled */
	int closing;       /* close once all is written */
	bool is_silent;
	int parsing;
	int reset; /* a write has failed with a reset */
	int64_t idle_since_us;
	const struct conn_handlers *handlers;
	void *context;
	void *tag;
	http_parser parser;
	struct http_message message;
	int value_next;    /* the parser's last piece was a field's value */
	bool is_complete;  /* the parser has read a message to its end */
	char *input;       /* stb_ds: not parsed yet */
	char *output;      /* stb_ds: not written yet, from out_offset on */
	size_t out_offset; /* of output: written so far */
};

/* A loop with its timers, listeners and connections. */
struct loop {
	int epoll_fd;
	struct timer *timers; /* heap */
	uint64_t last_timer_id;
	struct conn **connections; /* stb_ds; owned */
	struct port **ports;       /* stb_ds; owned */
	int64_t swept_at_us;
	int64_t max_lateness_us;
};

/* ---- http_conn.c ---- */

/* Free what a message holds, and empty it. */
void http_message_clear(struct http_message *message);

/* Close a connection's socket; the connection itself is freed by the next sweep. */
void conn_destroy(struct conn *conn, int reset);

/* Accept all connections that wait at a listener. */
void port_accept_all(struct port *port);

/* Handle what epoll reports of a connection: it is up, it can be written, it can be read. */
void conn_on_ready(struct conn *conn, uint32_t events);

#endif
