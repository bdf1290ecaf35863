/* Answers in one piece, and single calls with a time-out. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "event_loop_internal.h"

void conn_answer(struct conn *conn, int status, const char *fields, const char *body, size_t n,
		 int keep_alive)
{
	conn_writef(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n%s\r\n", status,
		    http_status_str((enum http_status)status), fields, n,
		    keep_alive ? "" : "Connection: close\r\n");
	conn_write(conn, body, n);
	conn_finish_response(conn, keep_alive);
}

struct single_call {
	struct loop *loop;
	struct conn *conn;
	uint64_t timer;
	void (*callback)(void *ctx, int status, const struct http_message *m);
	void *context;
};

static void single_call_end(struct single_call *once, int status, const struct http_message *message)
{
	void (*callback)(void *, int, const struct http_message *) = once->callback;
	void *ctx = once->context;

	loop_cancel(once->loop, once->timer);
	if (once->conn)
		conn_close(once->conn, 0);
	free(once);
	callback(ctx, status, message);
}

static void single_call_complete(void *ctx, struct conn *conn, struct http_message *message)
{
	(void)conn;
	single_call_end(ctx, message->status, message);
}

static void single_call_closed(void *ctx, struct conn *conn, enum conn_end how)
{
	struct single_call *once = ctx;

	(void)conn, (void)how;
	once->conn = NULL;
	single_call_end(once, 0, NULL);
}

static void single_call_timeout(void *ctx)
{
	struct single_call *once = ctx;

	once->timer = 0;
	single_call_end(once, 0, NULL);
}

void http_call(struct loop *loop, const char *addr, const char *method, const char *target,
	       const char *fields, const char *body, int ms,
	       void (*callback)(void *ctx, int status, const struct http_message *m), void *context)
{
	static const struct conn_handlers handlers = { .complete = single_call_complete,
						       .closed = single_call_closed };
	struct single_call *once = calloc(1, sizeof *once);

	once->loop = loop;
	once->callback = callback;
	once->context = context;
	once->conn = conn_connect(loop, addr, &handlers, once);
	once->timer = loop_after(loop, once->conn ? ms_us(ms) : 0, single_call_timeout, once);
	if (!once->conn)
		return;
	conn_expect(once->conn);
	conn_writef(once->conn, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, addr);
	conn_write(once->conn, fields, strlen(fields));
	if (body) {
		conn_writef(once->conn, "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
			    strlen(body));
		conn_write(once->conn, body, strlen(body));
	} else {
		conn_write(once->conn, "\r\n", 2);
	}
}
