/* Event loop of the platform's emulator: timers, listeners and HTTP/1.1 connections both ways, in one thread.
 *
 * Handlers are called from within loop_until alone. A connection or listener that is closed is freed by a
 * later turn of the loop, so that handlers may close what they are called for. Times are microseconds on a
 * monotonic clock. */
#ifndef NL_EVENT_LOOP_H
#define NL_EVENT_LOOP_H

#include <http_parser.h>
#include <stddef.h>
#include <stdint.h>

struct loop;
struct conn;
struct port;

/* ---- loop ---- */

/* A new loop; the caller closes it. Example: loop = loop_open(); */
struct loop *loop_open(void);

/* Close the loop with all its listeners and connections; pending timers are dropped without a call. */
void loop_close(struct loop *loop);

/* Microseconds on a clock that never jumps. */
int64_t loop_us(void);

/* Milliseconds as microseconds. */
static inline int64_t ms_us(double ms)
{
	return (int64_t)(ms * 1000);
}

/* Call once after so many microseconds. Returns an id above 0 for loop_cancel.
 * Example: id = loop_after(loop, ms_us(5), step, server); */
uint64_t loop_after(struct loop *loop, int64_t us, void (*callback)(void *ctx), void *context);

/* Drop a timer; 0 or the id of one that was called already is harmless. */
void loop_cancel(struct loop *loop, uint64_t id);

/* The longest that a timer was late since the last call of this function, in microseconds: whether this
 * process itself kept up. */
int64_t loop_max_lateness(struct loop *loop);

/* Handle events until done (NULL: never) returns 1 or the time is over; 1 when done.
 * Example: loop_until(loop, ms_us(500), is_done, &state); */
int loop_until(struct loop *loop, int64_t us, int (*done)(void *ctx), void *context);

/* ---- HTTP messages ---- */

/* A header field; texts are owned by the message. */
struct field {
	char *name;
	char *value;
};

/* A request or an answer as it was read; valid until the next message of its connection. */
struct http_message {
	char *method; /* NULL in an answer */
	char *target; /* NULL in an answer */
	int status;   /* 0 in a request */
	int keep_alive;
	struct field *fields; /* stb_ds */
	char *body;           /* NULL: none; with a 0 behind its end */
	size_t body_length;
};

/* A field's value, or NULL; names in any case. Example: http_message_field(message, "host") */
const char *http_message_field(const struct http_message *message, const char *name);

/* ---- connections ---- */

/* How a connection ended that we did not close. */
enum conn_end {
	CONN_REFUSED, /* never came up */
	CONN_RESET,
	CONN_CLOSED,
	CONN_BAD,    /* bytes that are no message */
	CONN_SURPLUS /* bytes where no answer was due */
};

/* What the owner of a connection is told; any may be NULL but request at a listener. */
struct conn_handlers {
	/* serving side: a complete request; the next one waits for conn_finish_response */
	void (*request)(void *ctx, struct conn *conn, struct http_message *message);
	/* calling side: status and fields of an answer, then pieces of its body, then its end */
	void (*head)(void *ctx, struct conn *conn, struct http_message *message);
	void (*data)(void *ctx, struct conn *conn, const char *data, size_t n);
	void (*complete)(void *ctx, struct conn *conn, struct http_message *message);
	/* the other end closed it, or it failed; not called for conn_close by us */
	void (*closed)(void *ctx, struct conn *conn, enum conn_end how);
};

/* Listen at "IP:PORT"; connections beyond max (0: no limit) are reset. NULL when the address cannot be
 * listened at, which is printed. Example: port = port_open(loop, "127.9.0.1:80", &handlers, server, 0); */
struct port *port_open(struct loop *loop, const char *addr, const struct conn_handlers *handlers,
		       void *context, int max);

/* Close a listener and its connections, with a reset or in order. */
void port_close(struct port *port, int reset);

/* A silent listener and its connections accept, read and write nothing. */
void port_set_silent(struct port *port, int is_silent);

/* Idle connections of a listener are closed after so many ms; 0: never. */
void port_set_idle_timeout(struct port *port, int ms);

/* Number of open connections of a listener. */
int port_count(const struct port *port);

/* Begin to connect to "IP:PORT"; what is written meanwhile is sent later. NULL: it could not even begin.
 * Example: conn = conn_connect(loop, "127.9.0.1:80", &handlers, call); conn_expect(conn); conn_write(conn,
 * text, n); */
struct conn *conn_connect(struct loop *loop, const char *addr, const struct conn_handlers *handlers,
			  void *context);

/* Send bytes, now or as soon as the other end reads. */
void conn_write(struct conn *conn, const char *data, size_t n);

/* Send formatted text of at most 4095 bytes. */
void conn_writef(struct conn *conn, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

/* Calling side: an answer is due from now on. */
void conn_expect(struct conn *conn);

/* Serving side: the response is over; keep_alive: read the next request, else close. */
void conn_finish_response(struct conn *conn, int keep_alive);

/* Close a connection, with a reset or in order; its handlers are not called any more. */
void conn_close(struct conn *conn, int reset);

/* Other handlers, from now on. */
void conn_set_handlers(struct conn *conn, const struct conn_handlers *handlers, void *context);

/* Whether it is connected and not closed. */
int conn_is_up(const struct conn *conn);

/* Whether the process at the other end has read all that was written. */
int conn_read_by_peer(const struct conn *conn);

/* Whether a connection, known by its address alone, is still open. */
int conn_is_alive(const struct loop *loop, const struct conn *conn);

/* A pointer of the owner's, NULL at first. */
void *conn_tag(struct conn *conn);

/* Set the owner's pointer. */
void conn_set_tag(struct conn *conn, void *tag);

/* A response in one piece; fields as "Name: value\r\n". Example: conn_answer(conn, 200, "X-A: b\r\n", "{}",
 * 2, 1); */
void conn_answer(struct conn *conn, int status, const char *fields, const char *body, size_t n,
		 int keep_alive);

/* One call on a connection of its own; fields as "Name: value\r\n", body NULL: none. callback is called once,
 * with status 0 and no message when no complete answer came within ms. */
void http_call(struct loop *loop, const char *addr, const char *method, const char *target,
	       const char *fields, const char *body, int ms,
	       void (*callback)(void *ctx, int status, const struct http_message *message), void *context);

/* How many bytes sent over a connected TCP socket the process at the other end, on this machine, has not read
 * yet; -1: not known. Example: if (socket_unread(fd) == 0) has_read = 1; */
int socket_unread(int fd);

/* ---- numbers ---- */

/* FNV-1a of the data, from a seed. */
uint64_t emulator_hash(uint64_t seed, const void *data, size_t n);

/* The next number of a splitmix64 sequence. */
uint64_t emulator_random(uint64_t *rng);

/* The next number of the sequence, from 0 up to but not including 1. */
double emulator_random_unit(uint64_t *rng);

#endif
