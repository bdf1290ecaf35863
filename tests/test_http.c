/* http both ways on real sockets: loopback, ports given by the kernel, waits on conditions with limits. One
 * thread plays both ends. The clock is the shell's, moved on where a test waits for a time; system calls of
 * http are counted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <arpa/inet.h>
#include <cmocka.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_internal.h"
#include "shell.h"

enum { LIMIT = 20000, GOT = 1 << 16, MANY = 2048, BODY = 8192 };

/* ---- clock and counts ---- */

int64_t __real_clock_ms(void);
int64_t __wrap_clock_ms(void);
struct there {
	int fd, c;
	uint64_t addr;
};

static int64_t moved, freeze; /* freeze: for so long in the next wait */
static struct { /* said to the product in the next wait, once it has looked; the process then stands still */
	int fd;
	const char *text;
	int64_t frozen_ms;
} after_look;
static void say(int fd, const char *d);
static struct there *early; /* a server that speaks first, in the next wait */
static void write_first(struct there *t);

int64_t __wrap_clock_ms(void)
{
	return __real_clock_ms() + moved;
}

static struct {
	int waits, recvs, peeks, sends, others;
} sys;
static int counting;

int __real_epoll_wait(int fd, struct epoll_event *event, int n, int ms);
int __wrap_epoll_wait(int fd, struct epoll_event *event, int n, int ms);
int __wrap_epoll_wait(int fd, struct epoll_event *event, int n, int ms)
{
	sys.waits += counting;
	moved += freeze;
	freeze = 0;
	if (early)
		write_first(early);
	early = NULL;
	if (after_look.text) {
		int got = __real_epoll_wait(fd, event, n, 0);

		say(after_look.fd, after_look.text);
		after_look.text = NULL;
		moved += after_look.frozen_ms;
		return got;
	}
	return __real_epoll_wait(fd, event, n, ms);
}

int __real_epoll_ctl(int ep, int op, int fd, struct epoll_event *event);
int __wrap_epoll_ctl(int ep, int op, int fd, struct epoll_event *event);
int __wrap_epoll_ctl(int ep, int op, int fd, struct epoll_event *event)
{
	sys.others += counting;
	return __real_epoll_ctl(ep, op, fd, event);
}

ssize_t __real_recv(int fd, void *d, size_t n, int flags);
ssize_t __wrap_recv(int fd, void *d, size_t n, int flags);
ssize_t __wrap_recv(int fd, void *d, size_t n, int flags)
{
	*(flags & MSG_PEEK ? &sys.peeks : &sys.recvs) += counting;
	return __real_recv(fd, d, n, flags);
}

ssize_t __real_send(int fd, const void *d, size_t n, int flags);
ssize_t __wrap_send(int fd, const void *d, size_t n, int flags);
ssize_t __wrap_send(int fd, const void *d, size_t n, int flags)
{
	sys.sends += counting;
	return __real_send(fd, d, n, flags);
}

/* ---- what http says ---- */

struct call {
	int done, cancelled, status, bad;
	enum http_call_result how;
	char x_id[16];
	char got[BODY];
	size_t n;
};

struct seen {
	struct http *h;
	uint64_t token[MANY];
	int requests, removed, answer; /* answer: each request at once, with its body */
	uint64_t gone_token;
	char verb[16], target[256], body[4096];
	size_t nb;
	int nf;
	struct call *call; /* by token */
	void (*hook)(struct seen *s, const char *what, uint64_t token);
	void *arg;
};

static void hook(struct seen *seen, const char *what, uint64_t token)
{
	if (seen->hook)
		seen->hook(seen, what, token);
}

static void on_request(void *ctx, const struct http_request *request)
{
	struct seen *seen = ctx;

	seen->token[seen->requests++ % MANY] = request->token;
	snprintf(seen->verb, sizeof seen->verb, "%s", request->method);
	snprintf(seen->target, sizeof seen->target, "%s", request->target);
	seen->nb = request->body_bytes;
	seen->nf = request->field_count;
	if (request->body_bytes && request->body_bytes < sizeof seen->body)
		memcpy(seen->body, request->body, request->body_bytes);
	assert_ptr_equal(http_request_find(seen->h, request->token), request);
	if (seen->answer)
		http_respond(seen->h, request->token, 200, NULL, 0, request->body, request->body_bytes);
	hook(seen, "request", request->token);
}

static void on_gone(void *ctx, uint64_t token)
{
	struct seen *seen = ctx;

	seen->removed++;
	seen->gone_token = token;
	assert_null(http_request_find(seen->h, token));
	hook(seen, "gone", token);
}

static void on_head(void *ctx, uint64_t token, int status, const struct http_field *field, int nf)
{
	struct seen *seen = ctx;
	struct call *c = &seen->call[token];
	const char *id = http_field_value(field, nf, "x-id");

	c->bad |= c->done || c->cancelled || c->status;
	c->status = status;
	snprintf(c->x_id, sizeof c->x_id, "%s", id ? id : "");
	hook(seen, "head", token);
}

static void on_body(void *ctx, uint64_t token, const char *d, size_t n)
{
	struct seen *seen = ctx;
	struct call *c = &seen->call[token];

	c->bad |= c->done || c->cancelled || !c->status || !n || c->n + n > BODY;
	if (c->n + n <= BODY)
		memcpy(c->got + c->n, d, n);
	c->n += n;
	hook(seen, "body", token);
}

static void on_done(void *ctx, uint64_t token, enum http_call_result how, int status)
{
	struct seen *seen = ctx;
	struct call *c = &seen->call[token];

	c->bad |= c->done || c->cancelled || (how == HTTP_CALL_COMPLETE && status != c->status) ||
		  (how == HTTP_CALL_NOT_SENT && status);
	c->done++;
	c->how = how;
	hook(seen, "done", token);
}

static const struct http_limits usual = { 2048, 16384, 5000, 60000 };

static struct http *begin(struct seen *s)
{
	struct http_callbacks callbacks = { s, on_request, on_gone, on_head, on_body, on_done };

	memset(s, 0, sizeof *s);
	assert_non_null(s->call = calloc(MANY, sizeof *s->call));
	assert_non_null(s->h = http_open(&callbacks, NULL));
	assert_int_equal(http_listen(s->h, "127.0.0.1:0", 1, &usual), 1);
	return s->h;
}

static void end(struct seen *seen)
{
	http_close(seen->h);
	free(seen->call);
	moved = 0;
}

/* ---- the other end ---- */

static uint64_t addr_of(int port)
{
	return (uint64_t)INADDR_LOOPBACK << 16 | (uint64_t)port;
}

static int dial(struct http *h)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				       .sin_port = htons((uint16_t)http_listener_port(h, 1)) };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	assert_return_code(connect(fd, (struct sockaddr *)&address, sizeof address), errno);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	return fd;
}

static void write_bytes(int fd, const char *d, size_t n)
{
	while (n) {
		ssize_t k = send(fd, d, n, MSG_NOSIGNAL);

		if (k < 0)
			return; /* it has closed: what it said shows */
		d += k;
		n -= (size_t)k;
	}
}

static void say(int fd, const char *d)
{
	write_bytes(fd, d, strlen(d));
}

/* Hear until the other end closes, or so many bytes came. Returns how many; *end: 0 open, 1 closed, 2 reset.
 */
static size_t hear(struct http *h, int fd, char *to, size_t expected, size_t cap, int *how)
{
	int64_t stop = __real_clock_ms() + LIMIT;
	size_t n = 0;

	*how = 0;
	while (n < expected && __real_clock_ms() < stop) {
		struct pollfd p = { fd, POLLIN, 0 };
		ssize_t k;

		http_wait(h, 0);
		if (poll(&p, 1, 1) <= 0)
			continue;
		k = recv(fd, to + n, cap - 1 - n, MSG_DONTWAIT);
		if (!k || (k < 0 && errno != EAGAIN)) {
			*how = k ? 2 : 1;
			break;
		}
		if (k > 0)
			n += (size_t)k;
	}
	to[n] = 0;
	return n;
}

/* Until it closes, and then ours too. */
static void heard(struct http *h, int fd, const char *expected)
{
	static char b[GOT];
	int how;

	hear(h, fd, b, GOT, GOT, &how);
	assert_string_equal(b, expected);
	assert_int_equal(how, 1);
	close(fd);
}

/* So many bytes, and the connection stays. */
static void expect_bytes(struct http *h, int fd, const char *expected)
{
	static char b[GOT];
	int how;

	hear(h, fd, b, strlen(expected), GOT, &how);
	assert_string_equal(b, expected);
	assert_int_equal(how, 0);
}

#define UNTIL(h, cond)                                       \
	do {                                                 \
		int64_t stop_ = __real_clock_ms() + LIMIT;   \
		while (!(cond) && __real_clock_ms() < stop_) \
			http_wait(h, 5);                     \
		assert_true(cond);                           \
	} while (0)

/* ---- server ---- */

static unsigned rnd(uint64_t *r, unsigned n)
{
	*r ^= *r << 13;
	*r ^= *r >> 7;
	*r ^= *r << 17;
	return (unsigned)(*r >> 11) % n;
}

static void answers_are_bare(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	struct http_field field[] = { { "X-A", "b\r\nX-B: c" },
				      { "Connection", "close" },
				      { "Content-length", "7" },
				      { "Transfer-Encoding", "x" } };
	int fd = dial(h);

	(void)state;
	say(fd, "GET /a?b=c HTTP/1.1\r\nHost: x\r\nX-Empty:\r\nX-Trail: v \t\r\n\r\n");
	UNTIL(h, seen.requests == 1);
	assert_string_equal(seen.verb, "GET");
	assert_string_equal(seen.target, "/a?b=c");
	assert_int_equal(seen.nf, 3);
	assert_null(http_request_find(h, seen.token[0])->body);
	assert_string_equal(http_field_value(http_request_find(h, seen.token[0])->fields, 3, "x-empty"), "");
	assert_string_equal(http_field_value(http_request_find(h, seen.token[0])->fields, 3, "X-TRAIL"), "v");
	assert_int_equal(http_busy_count(h), 1);
	http_respond(h, seen.token[0], 200, field, 4, "hi", 2);
	assert_null(http_request_find(h, seen.token[0]));
	http_respond(h, seen.token[0], 500, field, 4, "no", 2); /* it is over */
	http_respond(h, 12345, 500, field, 4, "no", 2);
	expect_bytes(h, fd, "HTTP/1.1 200 OK\r\nX-A: b  X-B: c\r\nContent-Length: 2\r\n\r\nhi");
	say(fd, "HEAD / HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 2);
	http_respond(h, seen.token[1], 503, NULL, 0, "hi", 2);
	expect_bytes(h, fd, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n");
	say(fd, "DELETE / HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 3);
	http_response_begin(h, seen.token[2], 204, NULL, 0, -1);
	http_response_write(h, seen.token[2], "hi", 2);
	http_response_finish(h, seen.token[2]);
	expect_bytes(h, fd, "HTTP/1.1 204 No Content\r\n\r\n");
	say(fd, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 4);
	http_response_begin(h, seen.token[3], 200, NULL, 0, -1);
	http_response_write(h, seen.token[3], "hello, hello, hello", 19);
	http_response_write(h, seen.token[3], "", 0);
	http_response_write(h, seen.token[3], "!", 1);
	expect_bytes(
	    h, fd,
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n13\r\nhello, hello, hello\r\n1\r\n!\r\n");
	http_response_finish(h, seen.token[3]);
	expect_bytes(h, fd, "0\r\n\r\n");
	say(fd, "GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n");
	UNTIL(h, seen.requests == 5);
	http_respond(h, seen.token[4], 299, NULL, 0, NULL, 0);
	heard(h, fd, "HTTP/1.1 299 Other\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	fd = dial(h);
	say(fd, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
	UNTIL(h, seen.requests == 6);
	http_response_begin(h, seen.token[5], 200, NULL, 0, -1);
	http_response_write(h, seen.token[5], "hi", 2);
	http_response_finish(h, seen.token[5]);
	heard(h, fd, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi");
	assert_int_equal(http_busy_count(h), 0);
	assert_int_equal(seen.removed, 0);
	end(&seen);
}

/* An answer that holds for a while only: given in time, and not sent before its process stood still. */
static void an_answer_past_its_time_never_leaves(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	char b[GOT];
	int fd = dial(h), how;

	(void)state;
	say(fd, "GET /a HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 1);
	http_response_set_deadline(h, seen.token[0], __wrap_clock_ms() + 400);
	http_respond(h, seen.token[0], 200, NULL, 0, "old", 3);
	moved += 20000;
	assert_int_equal(hear(h, fd, b, GOT, GOT, &how), 0);
	assert_int_equal(how, 2);
	assert_int_equal(http_busy_count(h), 0);
	close(fd);
	fd = dial(h);
	say(fd, "GET /a HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 2);
	http_response_set_deadline(h, seen.token[1], __wrap_clock_ms() + LIMIT);
	http_respond(h, seen.token[1], 200, NULL, 0, "new", 3);
	expect_bytes(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
	say(fd, "GET /b HTTP/1.1\r\n\r\n"); /* the next one on the connection holds for ever */
	UNTIL(h, seen.requests == 3);
	http_respond(h, seen.token[2], 200, NULL, 0, "any", 3);
	moved += 2 * LIMIT;
	expect_bytes(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nany");
	close(fd);
	end(&seen);
}

static void one_at_a_time(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int fd = dial(h), i;

	(void)state;
	say(fd, "\r\n\r\nPOST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\n\r\n"
		"\r\nPOST /3 HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n");
	UNTIL(h, seen.requests == 1);
	say(fd, "3;x=\"y\"\r\nthr\r\n0002\r\nee\r\n0\r\nX-Trailer: 1\r\n\r\nGET /4 HT");
	for (i = 0; i < 20; i++)
		http_wait(h, 0);
	assert_int_equal(seen.requests, 1); /* the others wait */
	assert_string_equal(seen.target, "/1");
	assert_memory_equal(http_request_find(h, seen.token[0])->body, "one", 3);
	http_respond(h, seen.token[0], 200, NULL, 0, "1", 1);
	UNTIL(h, seen.requests == 2);
	assert_string_equal(seen.target, "/2");
	http_respond(h, seen.token[1], 200, NULL, 0, "2", 1);
	UNTIL(h, seen.requests == 3);
	assert_string_equal(seen.target, "/3");
	assert_int_equal(seen.nb, 5);
	assert_memory_equal(seen.body, "three", 5);
	http_respond(h, seen.token[2], 200, NULL, 0, "3", 1);
	expect_bytes(
	    h, fd,
	    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2"
	    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n3");
	say(fd, "TP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 4);
	assert_string_equal(seen.target, "/4");
	close(fd);
	UNTIL(h, seen.removed == 1);
	end(&seen);
}

static void byte_by_byte(void **state)
{
	static const char all[] =
	    "POST /x HTTP/1.1\r\nHost: y\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n"
	    "PUT /y HTTP/1.1\r\nContent-Length: 2\r\n\r\nok";
	struct seen seen;
	struct http *h = begin(&seen);
	int fd = dial(h);
	const char *p;

	(void)state;
	seen.answer = 1;
	for (p = all; *p; p++) {
		write_bytes(fd, p, 1);
		http_wait(h, 1000);
		http_wait(h, 0);
	}
	expect_bytes(
	    h, fd,
	    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello!HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	assert_int_equal(seen.requests, 2);
	close(fd);
	end(&seen);
}

#define BAD "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
#define HELLO "GET /smuggled HTTP/1.1\r\n\r\n"

static void smuggling(void **state)
{
	static const struct {
		const char *d;
		size_t n;
	} bad[] = {
#define B(text) { text, sizeof text - 1 }
		B("POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd" HELLO),
		B("POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" HELLO),
		B("POST / HTTP/1.1\r\nContent-Length: 4, 4\r\n\r\nabcd" HELLO),
		B("POST / HTTP/1.1\r\nContent-Length: +4\r\n\r\nabcd" HELLO),
		B("POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\nabcd" HELLO),
		B("POST / HTTP/1.1\r\nContent-Length: 0x4\r\n\r\nabcd" HELLO),
		B("POST / HTTP/1.1\r\nContent-Length:\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nContent-Length : 4\r\n\r\nabcd" HELLO),
		B("POST / HTTP/1.1\r\n Content-Length: 4\r\n\r\nabcd" HELLO),
		B("POST / HTTP/1.1\r\nX: a\r\n Content-Length: 4\r\n\r\nabcd" HELLO),
		B("POST / HTTP/1.1\r\nX: a\r\n\tb\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: \x0b"
		  "chunked\r\n\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcXX0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\rXabc\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a\nb\r\nabc\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n 3\r\nabc\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\nabc\r\n0\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: a\nb\r\n\r\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\n" HELLO),
		B("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000003\r\nabc\r\n0\r\n\r\n" HELLO),
		B("GET / HTTP/1.1\r\nX: a\0b\r\n\r\n" HELLO),
		B("GET / HTTP/1.1\r\nX: a\rb\r\n\r\n" HELLO),
		B("GET / HTTP/1.1\r\nX: a\nY: b\r\n\r\n" HELLO),
		B("GET / HTTP/1.1\r\nX: a\x7f\r\n\r\n" HELLO),
		B("GET / HTTP/1.1\r\nX\r\n\r\n" HELLO),
		B("GET / HTTP/1.1\r\n: a\r\n\r\n" HELLO),
		B("GET / HTTP/1.1\r\nX Y: a\r\n\r\n" HELLO),
		B("GET / HTTP/1.1\r\nX\0Y: a\r\n\r\n" HELLO),
		B("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" HELLO),
		B("GET / HTTP/1.1\n\n" HELLO),
		B("GET / HTTP/1.1 \r\n\r\n" HELLO),
		B("GET  / HTTP/1.1\r\n\r\n" HELLO),
		B("GET / x HTTP/1.1\r\n\r\n" HELLO),
		B("GET /\r\n\r\n" HELLO),
		B("GET / HTTP/2.0\r\n\r\n" HELLO),
		B("GET / HTTP/1.2\r\n\r\n" HELLO),
		B("GET / HTTP/11\r\n\r\n" HELLO),
		B("G\tT / HTTP/1.1\r\n\r\n" HELLO),
		B("NOSUCHVERB / HTTP/1.1\r\n\r\n" HELLO),
		B("get / HTTP/1.1\r\n\r\n" HELLO),
		B("GET nowhere HTTP/1.1\r\n\r\n" HELLO),
		B("CONNECT a:80 HTTP/1.1\r\n\r\n" HELLO),
		B("HTTP/1.1 200 OK\r\n\r\n" HELLO),
		B("\n" HELLO),
#undef B
	};
	struct seen seen;
	struct http *h = begin(&seen);
	size_t i, j;

	(void)state;
	seen.answer = 1;
	for (i = 0; i < sizeof bad / sizeof *bad; i++) {
		int fd = dial(h);

		write_bytes(fd, bad[i].d, bad[i].n);
		heard(h, fd, BAD);
		if (seen.requests)
			fail_msg("number %zu was delivered: %s", i, bad[i].d);
		fd = dial(h);
		for (j = 0; j < bad[i].n; j++) {
			write_bytes(fd, bad[i].d + j, 1);
			http_wait(h, 0);
		}
		heard(h, fd, BAD);
		if (seen.requests)
			fail_msg("number %zu was delivered byte by byte: %s", i, bad[i].d);
	}
	assert_int_equal(http_counters_read(h).bad_requests, 2 * i);
	end(&seen);
}

static void too_large(void **state)
{
	static const char big[] =
	    "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
	static const char head[] =
	    "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
	struct seen seen;
	struct http *h = begin(&seen);
	struct http_limits small = { 100, 10, 5000, 60000 };
	static char fill[300000];
	int fd = dial(h);

	(void)state;
	memset(fill, 'a', sizeof fill);
	say(fd, "GET / HTTP/1.1\r\nX: ");
	write_bytes(fd, fill, 3000);
	heard(h, fd, head);
	fd = dial(h);
	say(fd, "GET /");
	write_bytes(fd, fill, 2048 - 17);
	say(fd, " HTTP/1.1\r\n\r\n");
	heard(h, fd, head);
	fd = dial(h);
	say(fd, "POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n");
	write_bytes(fd, fill, sizeof fill); /* the answer is heard all the same */
	heard(h, fd, big);
	fd = dial(h);
	say(fd, "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 300000\r\n\r\n");
	write_bytes(fd, fill, sizeof fill);
	heard(h, fd, big);
	fd = dial(h);
	say(fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n");
	heard(h, fd, big);
	http_limits(h, 1, &small);
	fd = dial(h);
	say(fd,
	    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n5\r\nabcde\r\n0\r\n\r\n");
	heard(h, fd, big);
	assert_int_equal(seen.requests, 0);
	seen.answer = 1;
	fd = dial(h);
	say(fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n4\r\nabcd\r\n0\r\n\r\n");
	expect_bytes(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabcdefabcd");
	close(fd);
	end(&seen);
}

static void continues(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int fd = dial(h);

	(void)state;
	seen.answer = 1;
	say(fd, "POST / HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n");
	expect_bytes(h, fd, "HTTP/1.1 100 Continue\r\n\r\n");
	assert_int_equal(seen.requests, 0);
	say(fd, "ok");
	expect_bytes(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	close(fd);
	end(&seen);
}

static void abort_never_looks_whole(void **state)
{
	static const char *verb[] = { "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.0\r\n\r\n" };
	struct seen seen;
	struct http *h = begin(&seen);
	char b[GOT];
	int i, j, k, how;

	(void)state;
	for (i = 0; i < 2; i++)                   /* version */
		for (j = 0; j < 3; j++)           /* in chunks, with a length, unanswered */
			for (k = 0; k < 4; k++) { /* abort at once, after its bytes were read, finish a short
						     one, write too much */
				int fd = dial(h), n = seen.requests;
				uint64_t t;

				say(fd, verb[i]);
				UNTIL(h, seen.requests == n + 1);
				t = seen.token[n];
				if (j < 2) {
					http_response_begin(h, t, 200, NULL, 0, j ? 8 : -1);
					http_response_write(h, t, "abcd", 4);
				}
				if (k == 1 && j < 2)
					hear(h, fd, b, 1, GOT, &how);
				if (k == 2 && j)
					http_response_finish(h, t);
				else if (k == 3 && j == 1)
					http_response_write(h, t, "abcdefgh", 8);
				else
					http_response_abort(h, t);
				http_response_write(h, t, "x", 1);
				http_response_finish(h, t);
				hear(h, fd, b, GOT, GOT, &how);
				assert_int_equal(how, 2);
				assert_null(strstr(b, "0\r\n\r\n"));
				assert_null(http_request_find(h, t));
				close(fd);
			}
	assert_int_equal(seen.removed, 0);
	assert_int_equal(http_busy_count(h), 0);
	end(&seen);
}

static void gone_once(void **state)
{
	struct linger linger = { 1, 0 };
	struct seen seen;
	struct http *h = begin(&seen);
	int i, j;

	(void)state;
	for (i = 0; i < 3; i++)
		for (j = 0; j < 3; j++) {
			int fd = dial(h), n = seen.requests, k;

			say(fd, "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
			UNTIL(h, seen.requests == n + 1);
			if (j)
				http_response_begin(h, seen.token[n], 200, NULL, 0, -1);
			if (j == 2)
				say(fd, "GET /early HTTP/1.1\r\n\r\n");
			if (i == 0)
				shutdown(fd, SHUT_WR);
			if (i == 1)
				setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
			if (i)
				close(fd);
			if (j == 1) /* writes find out first */
				for (k = 0; k < 3; k++)
					http_response_write(h, seen.token[n], "more", 4);
			UNTIL(h, seen.removed == n + 1);
			assert_true(seen.gone_token == seen.token[n]);
			http_response_write(h, seen.token[n], "more", 4);
			http_response_finish(h, seen.token[n]);
			http_respond(h, seen.token[n], 200, NULL, 0, "x", 1);
			for (k = 0; k < 5; k++)
				http_wait(h, 0);
			assert_int_equal(seen.removed, n + 1);
			assert_int_equal(seen.requests, n + 1);
			if (!i)
				close(fd);
		}
	assert_int_equal(http_busy_count(h), 0);
	end(&seen);
}

static void leaves(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int idle = dial(h), busy = dial(h), begun = dial(h), half = dial(h), unread,
	    port = http_listener_port(h, 1), how;
	char b[GOT];

	(void)state;
	say(idle, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 1);
	http_respond(h, seen.token[0], 200, NULL, 0, "1", 1);
	expect_bytes(h, idle, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
	say(busy, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 2);
	say(begun, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 3);
	http_response_begin(h, seen.token[2], 200, NULL, 0, -1);
	expect_bytes(h, begun, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	say(half, "GET / HT");
	http_wait(h, 1000);
	unread = dial(h);
	UNTIL(h, http_counters_read(h).accepted == 5);
	http_stop_accepting(h, 1);
	hear(h, unread, b, 1, GOT, &how);
	assert_true(how > 0);
	close(unread);
	{
		struct sockaddr_in address = { .sin_family = AF_INET,
					       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
					       .sin_port = htons((uint16_t)port) };
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof address), -1);
		assert_int_equal(errno, ECONNREFUSED);
		close(fd);
	}
	/* who has been served before goes on */
	say(idle, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 4);
	http_respond(h, seen.token[3], 200, NULL, 0, "2", 1);
	expect_bytes(h, idle, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2");
	http_drain(h, 1);
	heard(h, idle, "");
	http_respond(h, seen.token[1], 200, NULL, 0, "2", 1);
	heard(h, busy, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2");
	http_response_finish(h, seen.token[2]);
	heard(h, begun, "0\r\n\r\n");
	seen.answer = 1;
	say(half, "TP/1.1\r\n\r\n");
	heard(h, half, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	assert_int_equal(http_busy_count(h), 0);
	assert_int_equal(seen.removed, 0);
	end(&seen);
}

/* Closed without a word. */
static void slow_callers(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int fresh = dial(h), head = dial(h), body = dial(h), busy = dial(h), kept = dial(h);
	char b[1];
	int i;

	(void)state;
	say(head, "GET / HTTP/1.1\r\nX: ");
	say(body, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
	say(busy, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 1);
	say(kept, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 2);
	http_respond(h, seen.token[1], 200, NULL, 0, "1", 1);
	expect_bytes(h, kept, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
	moved += 4000;
	http_wait(h, 0);
	say(head, "y"); /* no new time for that */
	http_wait(h, 1000);
	moved += 1500;
	heard(h, head, "");
	moved += 40000;
	for (i = 0; i < 5; i++)
		http_wait(h, 0);
	assert_int_equal(recv(fresh, b, 1, MSG_DONTWAIT), -1);
	assert_int_equal(errno, EAGAIN);
	moved += 20000;
	heard(h, fresh, "");
	heard(h, kept, "");
	heard(h, body, "");
	moved += 1000000;
	http_wait(h, 0);
	http_respond(h, seen.token[0], 200, NULL, 0, "1", 1); /* who waits for us is not closed */
	expect_bytes(h, busy, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
	close(busy);
	end(&seen);
}

static void backlog(void **state)
{
	enum { PIECE = 50000, PIECES = 200 };
	struct seen seen;
	struct http *h = begin(&seen);
	int fd = dial(h), i, how;
	char *piece = malloc(PIECE), *b = malloc(PIECE * (PIECES + 1));
	size_t n = 0, expected;

	(void)state;
	say(fd, "GET / HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 1);
	http_response_begin(h, seen.token[0], 200, NULL, 0, PIECE * PIECES);
	for (i = 0; i < PIECES; i++) {
		memset(piece, 'a' + i % 26, PIECE);
		http_response_write(h, seen.token[0], piece, PIECE);
		http_wait(h, 0);
	}
	assert_true(http_response_backlog(h, seen.token[0]) > 0);
	http_response_finish(h, seen.token[0]);
	for (i = 0; i < 5; i++)
		http_wait(h, 0);
	assert_int_equal(seen.requests, 1);
	assert_int_equal(http_busy_count(h), 1);
	expected = strlen("HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n") + PIECE * PIECES;
	n = hear(h, fd, b, expected, PIECE * (PIECES + 1), &how);
	assert_int_equal(n, expected);
	for (i = 0; i < PIECES; i++) {
		char *p = b + expected - PIECE * (size_t)(PIECES - i);

		assert_int_equal(p[0], 'a' + i % 26);
		assert_memory_equal(p, p + 1, PIECE - 1);
	}
	UNTIL(h, seen.requests == 2);
	/* who takes nothing and leaves */
	http_response_begin(h, seen.token[1], 200, NULL, 0, -1);
	for (i = 0; i < PIECES; i++)
		http_response_write(h, seen.token[1], piece, PIECE);
	http_wait(h, 0);
	close(fd);
	UNTIL(h, seen.removed == 1);
	free(piece);
	free(b);
	end(&seen);
}

/* More than is taken in while a request waits for its answer. */
static void many_early(void **state)
{
	enum { N = 6000 };
	static const char one[] = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n",
			  ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
	struct seen seen;
	struct http *h = begin(&seen);
	int fd = dial(h), i, how;
	size_t n = 0, off = 0, expected = N * sizeof ok;
	char *all = malloc(N * sizeof one + 1), *b = malloc(expected + 2);

	(void)state;
	for (i = 0; i < N; i++)
		n += (size_t)sprintf(all + n, "%s%c", one, 'a' + i % 26);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	while (off < n) {
		ssize_t k = send(fd, all + off, n - off, MSG_NOSIGNAL);

		if (k > 0) {
			off += (size_t)k;
		} else { /* it takes no more until the first is answered */
			assert_int_equal(errno, EAGAIN);
			if (seen.requests == 1 && !seen.answer) {
				seen.answer = 1;
				http_respond(h, seen.token[0], 200, NULL, 0, "a", 1);
			}
		}
		http_wait(h, 0);
	}
	if (!seen.answer) {
		UNTIL(h, seen.requests == 1);
		seen.answer = 1;
		http_respond(h, seen.token[0], 200, NULL, 0, "a", 1);
	}
	assert_int_equal(hear(h, fd, b, expected, expected + 2, &how), expected);
	for (i = 0; i < N; i++)
		assert_int_equal(b[(size_t)i * sizeof ok + sizeof ok - 1], 'a' + i % 26);
	assert_int_equal(seen.requests, N);
	close(fd);
	free(all);
	free(b);
	end(&seen);
}

/* ---- a planned stop, and limits that change, under requests that have come ---- */

static const char leaving_ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

static const char get_a[] = "GET /a HTTP/1.1\r\n\r\n";

/* A request that stands unread in the kernel when the door leaves is served, and not reset. */
static void leaving_reads_what_has_come(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int fd = dial(h);

	(void)state;
	seen.answer = 1;
	say(fd, get_a);
	expect_bytes(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	say(fd, get_a);
	http_drain(h, 1);
	heard(h, fd, leaving_ok);
	assert_int_equal(seen.requests, 2);
	assert_int_equal(http_busy_count(h), 0);
	end(&seen);
	h = begin(&seen); /* it comes once the loop has looked, and before the connection is closed */
	seen.answer = 1;
	fd = dial(h);
	UNTIL(h, http_counters_read(h).accepted == 1);
	http_drain(h, 1);
	after_look.fd = fd;
	after_look.text = get_a;
	after_look.frozen_ms = 1;
	heard(h, fd, leaving_ok);
	end(&seen);
}

/* What the listener's backlog holds when the door is shut is taken first, and so is what was said on it. */
static void shutting_takes_the_backlog(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int fd[20];
	char b[GOT];
	int how;

	(void)state;
	seen.answer = 1;
	for (int i = 0; i < 20; i++) {
		fd[i] = dial(h);
		if (i % 2)
			say(fd[i], get_a);
	}
	http_drain(h, 1);
	http_stop_accepting(h, 1);
	for (int i = 1; i < 20; i += 2)
		heard(h, fd[i], leaving_ok);
	for (int i = 0; i < 20; i += 2) { /* who has said nothing is closed */
		assert_int_equal(hear(h, fd[i], b, GOT, GOT, &how), 0);
		assert_int_equal(how, 1);
		close(fd[i]);
	}
	assert_int_equal(seen.requests, 10);
	end(&seen);
}

/* An answer whose head left before the door leaves has not said that the connection closes: a request that
 * has come behind it is served, and the answer is not lost with a reset over unread bytes. */
static void leaving_keeps_the_answer_under_way(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int fd = dial(h);

	(void)state;
	say(fd, get_a);
	UNTIL(h, seen.requests == 1);
	http_response_begin(h, seen.token[0], 200, NULL, 0, 1);
	expect_bytes(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n");
	http_drain(h, 1);
	http_wait(h, 0);
	say(fd, get_a); /* unread when the answer ends */
	http_response_write(h, seen.token[0], "x", 1);
	http_response_finish(h, seen.token[0]);
	seen.answer = 1;
	heard(h, fd, "xHTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	assert_int_equal(seen.requests, 2);
	end(&seen);
}

/* Requests that were read behind one another: the last of them is told that the connection closes. */
static void leaving_answers_what_was_read_behind(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int fd = dial(h);

	(void)state;
	say(fd, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
	UNTIL(h, seen.requests == 1);
	say(fd, "GET /3 HTTP/1.1\r\n\r\n");
	http_wait(h, 1000);
	http_drain(h, 1);
	seen.answer = 1;
	http_respond(h, seen.token[0], 200, NULL, 0, "1", 1);
	heard(h, fd,
	      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
	      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	assert_int_equal(seen.requests, 3);
	assert_int_equal(http_busy_count(h), 0);
	end(&seen);
}

/* A time is over, and the bytes that it waited for have come since the loop looked: they are read first. */
static void bytes_go_before_their_timer(void **state)
{
	static const char *const before[] = { "", "GET /a HT",
					      "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\na" };
	static const char *const rest[] = { "GET /a HTTP/1.1\r\n\r\n", "TP/1.1\r\n\r\n", "b" };
	struct seen seen;
	struct http *h = begin(&seen);

	(void)state;
	seen.answer = 1;
	for (int i = 0; i < 3; i++) {
		int fd = dial(h), accepted = i + 1;

		say(fd, before[i]);
		UNTIL(h, http_counters_read(h).accepted == (uint64_t)accepted);
		for (int k = 0; k < 3; k++)
			http_wait(h, 5);
		after_look.fd = fd;
		after_look.text = rest[i];
		after_look.frozen_ms = 61000;
		http_wait(h, 0);
		UNTIL(h, seen.requests == i + 1);
		close(fd);
	}
	end(&seen);
}

/* A head has its time as a whole: bytes that come when it is over, and do not end it, buy no more. */
static void a_slow_head_gains_no_time(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int fd = dial(h);
	char b[1];

	(void)state;
	say(fd, "GET /a HT");
	http_wait(h, 1000);
	http_wait(h, 1000);
	after_look.fd = fd;
	after_look.text = "TP/1.1\r\nX: ";
	after_look.frozen_ms = 5001;
	http_wait(h, 0);
	assert_int_equal(recv(fd, b, 1, MSG_DONTWAIT), 0);
	close(fd);
	end(&seen);
}

/* Longer times that come into force hold for who waits already. */
static void longer_times_hold_at_once(void **state)
{
	struct http_limits brief = { 2048, 16384, 1000, 1000 };
	struct seen seen;
	struct http *h = begin(&seen);
	int idle, head, body;
	char b[1];

	(void)state;
	http_limits(h, 1, &brief);
	idle = dial(h);
	head = dial(h);
	body = dial(h);
	say(head, "GET / HTTP/1.1\r\nX: ");
	say(body, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
	for (int i = 0; i < 10; i++)
		http_wait(h, 5);
	http_limits(h, 1, &usual);
	moved += 4000;
	for (int i = 0; i < 5; i++)
		http_wait(h, 0);
	assert_int_equal(recv(idle, b, 1, MSG_DONTWAIT), -1);
	assert_int_equal(errno, EAGAIN);
	seen.answer = 1;
	say(idle, get_a);
	say(head, "y\r\n\r\n");
	say(body, "cde");
	UNTIL(h, seen.requests == 3);
	moved += 61000;
	heard(h, idle, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	close(head);
	close(body);
	end(&seen);
}

/* A body that was let in goes on under the limit that it was let in by. */
static void a_lower_limit_ends_no_body_under_way(void **state)
{
	struct http_limits small = { 2048, 4, 5000, 60000 };
	struct seen seen;
	struct http *h = begin(&seen);
	int fd = dial(h);

	(void)state;
	seen.answer = 1;
	say(fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
	UNTIL(h, http_incomplete_count(h, 1) == 1);
	http_limits(h, 1, &small);
	say(fd, "3\r\ndef\r\n0\r\n\r\n");
	expect_bytes(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef");
	say(fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n");
	heard(h, fd, "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	end(&seen);
}

enum { LARGE = 12 << 20 };

/* A large answer, given whole; read by somebody who takes a little of it each time that the clock has moved
 * on. */
static size_t read_slowly(struct http *h, int fd, size_t expected, int64_t step_ms, int *how)
{
	static char b[LARGE + 1000];
	size_t n = 0;

	*how = 0;
	while (n < expected && !*how) {
		size_t got = hear(h, fd, b, expected - n < 1 << 20 ? expected - n : 1 << 20, sizeof b, how);

		n += got;
		moved += step_ms;
		http_wait(h, 0);
	}
	return n;
}

static size_t give_large(struct seen *seen, int fd)
{
	char *body = calloc(1, LARGE);
	char text[100];

	say(fd, get_a);
	UNTIL(seen->h, seen->requests == 1);
	http_respond(seen->h, seen->token[0], 200, NULL, 0, body, LARGE);
	free(body);
	return (size_t)snprintf(text, sizeof text, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", LARGE) +
	       LARGE;
}

/* A slow link that moves is not cut off, however long the answer takes in all; one that does not move is. */
static void a_slow_link_that_moves_is_not_cut(void **state)
{
	struct http_limits brief = { 2048, 16384, 1000, 1000 };
	int how, fd;
	struct seen seen;
	struct http *h = begin(&seen);
	size_t expected;

	(void)state;
	http_limits(h, 1, &brief);
	fd = dial(h);
	expected = give_large(&seen, fd);
	assert_int_equal(read_slowly(h, fd, expected, 900, &how), expected);
	assert_int_equal(how, 0);
	close(fd);
	end(&seen);
	h = begin(&seen);
	http_limits(h, 1, &brief);
	fd = dial(h);
	expected = give_large(&seen, fd);
	http_wait(h, 0);
	moved += 1100;
	http_wait(h, 0);
	moved += 1100;
	http_wait(h, 0);
	assert_true(read_slowly(h, fd, expected, 0, &how) < expected);
	assert_int_not_equal(how, 0);
	close(fd);
	end(&seen);
}

/* A caller that has ended its half once its answer was given still takes the rest of it. */
static void a_half_close_does_not_cut_a_given_answer(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int fd = dial(h), how;
	size_t expected;

	(void)state;
	expected = give_large(&seen, fd);
	http_wait(h, 0);
	shutdown(fd, SHUT_WR);
	http_wait(h, 100);
	assert_int_equal(read_slowly(h, fd, expected, 0, &how), expected);
	heard(h, fd, "");
	assert_int_equal(seen.removed, 0);
	assert_int_equal(http_busy_count(h), 0);
	end(&seen);
}

/* A body that its client holds back until it is asked for goes on while the door leaves. */
static void leaving_asks_for_the_body(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int fd = dial(h);

	(void)state;
	seen.answer = 1;
	say(fd, "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
	http_drain(h, 1);
	http_stop_accepting(h, 1);
	expect_bytes(h, fd, "HTTP/1.1 100 Continue\r\n\r\n");
	assert_int_equal(http_incomplete_count(h, 1), 1);
	say(fd, "ok");
	heard(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
	end(&seen);
}

/* No descriptor is left for what the listener's backlog holds when the door is shut: the rest goes on as
 * ever. */
static void shutting_without_descriptors(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int first = dial(h), second, how;
	struct rlimit was, few;
	char b[GOT];

	(void)state;
	seen.answer = 1;
	UNTIL(h, http_counters_read(h).accepted == 1);
	second = dial(h);
	say(first, get_a);
	say(second, get_a);
	assert_return_code(getrlimit(RLIMIT_NOFILE, &was), errno);
	few = (struct rlimit){ (rlim_t)second + 1, was.rlim_max };
	assert_return_code(setrlimit(RLIMIT_NOFILE, &few), errno);
	http_drain(h, 1);
	http_stop_accepting(h, 1);
	assert_return_code(setrlimit(RLIMIT_NOFILE, &was), errno);
	heard(h, first, leaving_ok);
	hear(h, second, b, GOT, GOT, &how);
	assert_int_not_equal(how, 0); /* closed unread */
	close(second);
	assert_int_equal(seen.requests, 1);
	assert_int_equal(http_busy_count(h), 0);
	end(&seen);
}

/* Each request that was read whole has one outcome. */
static void each_request_has_one_outcome(void **state)
{
	static const char get_old[] = "GET / HTTP/1.0\r\n\r\n";
	struct http_field again[] = { { "Retry-After", "1.5" } };
	uint64_t expected[HTTP_OUTCOME_COUNT] = { 0 };
	struct seen seen;
	struct http *h = begin(&seen);
	int fd;

	(void)state;
	for (int i = 0; i < 7; i++) {
		struct http_counters n;

		fd = dial(h);
		say(fd, i == 3 ? get_old : get_a);
		UNTIL(h, seen.requests == i + 1);
		assert_int_equal(http_pending_requests(h), 1);
		if (i == 0)
			http_respond(h, seen.token[i], 200, NULL, 0, "x", 1);
		if (i == 1)
			http_respond(h, seen.token[i], 503, again, 1, "", 0);
		if (i == 2)
			http_respond(h, seen.token[i], 503, NULL, 0, "", 0);
		if (i == 3)
			http_response_begin(h, seen.token[i], 200, NULL, 0, -1);
		if (i == 3 || i == 4)
			http_response_abort(h, seen.token[i]);
		if (i == 5)
			close(fd);
		if (i == 6) {
			http_response_set_deadline(h, seen.token[i], clock_ms() - 1);
			http_respond(h, seen.token[i], 200, NULL, 0, "x", 1);
		}
		expected[(int[]){ HTTP_OUTCOME_ANSWERED, HTTP_OUTCOME_REJECTED, HTTP_OUTCOME_ANSWERED,
				  HTTP_OUTCOME_ABORTED, HTTP_OUTCOME_ABORTED, HTTP_OUTCOME_DISCONNECTED,
				  HTTP_OUTCOME_LATE }[i]]++;
		UNTIL(h, !http_pending_requests(h));
		n = http_counters_read(h);
		assert_memory_equal(n.outcomes, expected, sizeof expected);
		if (i != 5)
			close(fd);
	}
	fd = dial(h);
	say(fd, "GET /bad\r\n\r\n"); /* never read whole */
	UNTIL(h, http_counters_read(h).bad_requests == 1);
	assert_int_equal(http_pending_requests(h), 0);
	close(fd);
	end(&seen);
}

/* The loop is closed while answers are on their way, over bytes that nobody has read: the answers arrive. */
static void closing_loses_no_answer(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	int given = dial(h), lingers = dial(h), waits = dial(h);
	char b[200];

	(void)state;
	say(given, get_a);
	UNTIL(h, seen.requests == 1);
	say(lingers, "GET / HTTP/1.1\r\nConnection: close\r\n\r\nsurplus");
	UNTIL(h, seen.requests == 2);
	say(waits, get_a);
	UNTIL(h, seen.requests == 3);
	http_respond(h, seen.token[1], 200, NULL, 0, "2", 1);
	http_wait(h, 0);
	assert_int_equal(http_pending_requests(h), 2);
	http_respond(h, seen.token[0], 200, NULL, 0, "1", 1);
	say(given, "surplus");
	say(lingers, "surplus");
	end(&seen);
	assert_int_equal(recv(given, b, sizeof b, 0), 39);
	assert_int_equal(recv(given, b, sizeof b, 0), 0);
	assert_int_equal(recv(lingers, b, sizeof b, 0), 58);
	assert_int_equal(recv(lingers, b, sizeof b, 0), 0);
	assert_int_equal(recv(waits, b, sizeof b, 0), 0);
	close(given);
	close(lingers);
	close(waits);
}

/* A request that is read in part when the process ends is refused with when to come back, and the client
 * hears it. */
static void what_is_incomplete_is_refused(void **state)
{
	static const char refused[] =
	    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
	struct seen seen;
	struct http *h = begin(&seen);
	int head = dial(h), body = dial(h), chunk = dial(h), idle = dial(h), waits = dial(h);

	(void)state;
	say(head, "GET /a HT");
	say(body, "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
	say(chunk, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
	say(waits, get_a);
	UNTIL(h, seen.requests == 1 && http_incomplete_count(h, 1) == 3);
	http_drain(h, 1);
	http_stop_accepting(h, 1);
	http_reject_incomplete(h, 1, 500);
	assert_int_equal(http_incomplete_count(h, 1), 0);
	say(body, "cde"); /* was on its way, and is read over */
	heard(h, head, refused);
	heard(h, body, refused);
	heard(h, chunk, refused);
	heard(h, idle, "");
	http_respond(h, seen.token[0], 200, NULL, 0, "", 0);
	heard(h, waits, leaving_ok);
	assert_int_equal(seen.requests, 1);
	assert_int_equal(http_busy_count(h), 0);
	end(&seen);
}

/* What is understood does not depend on how the bytes are cut, however odd they are. */
struct understood {
	int requests, bad;
	char what[GOT];
	size_t n;
	char text[GOT];
};

static void write_down(struct seen *seen, const char *what, uint64_t token)
{
	struct understood *understood = seen->arg;

	if (strcmp(what, "request"))
		return;
	(void)token;
	understood->n +=
	    (size_t)snprintf(understood->what + understood->n, GOT - understood->n, "%s %s %d %.*s\n",
			     seen->verb, seen->target, seen->nf, (int)seen->nb, seen->body);
}

static void understand(const char *d, size_t n, unsigned seed, struct understood *understood)
{
	struct seen seen;
	struct http *h = begin(&seen);
	uint64_t r = 99 + seed;
	size_t off, k, got = 0;
	int fd = dial(h), idle;

	memset(understood, 0, sizeof *understood);
	seen.answer = 1;
	seen.hook = write_down;
	seen.arg = understood;
	UNTIL(h, http_counters_read(h).accepted == 1);
	for (off = 0; off < n; off += k) {
		k = seed ? 1 + rnd(&r, rnd(&r, 3) ? 4 : 60) : n;
		k = k < n - off ? k : n - off;
		write_bytes(fd, d + off, k);
		http_wait(h, 0);
	}
	for (idle = 0; idle < 8; idle++) {
		int before = seen.requests;
		ssize_t m = __real_recv(fd, understood->text + got, GOT - 1 - got, MSG_DONTWAIT);

		if (m > 0)
			got += (size_t)m;
		http_wait(h, 0);
		if (m > 0 || seen.requests > before)
			idle = 0;
	}
	understood->requests = seen.requests;
	understood->bad = (int)http_counters_read(h).bad_requests;
	close(fd);
	end(&seen);
}

static void cut_anywhere(void **state)
{
	static const char *part[] = {
		"GET /a HTTP/1.1\r\n",
		"POST /b HTTP/1.1\r\n",
		"PUT /c?d HTTP/1.0\r\n",
		"Host: x\r\n",
		"Content-Length: 3\r\n",
		"Transfer-Encoding: chunked\r\n",
		"X: y\r\n",
		"X:\t\r\n",
		"Expect: 100-continue\r\n",
		"Connection: close\r\n",
		"\r\n",
		"abc",
		"3\r\nabc\r\n",
		"1;e=f\r\n!\r\n",
		"0\r\n",
		"0\r\n\r\n",
		"\r\n",
		"\r\n\r\n",
		"GET /e HTTP/1.1\r\n\r\n",
		"GET /f HTTP/1.1\r\n\r\n",
		"POST /g HTTP/1.1\r\nContent-Length: 3\r\n\r\nghi",
		"POST /h HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	};
	enum { parts = sizeof part / sizeof *part };
	static struct understood a, b;
	char d[4000];
	unsigned seed, complete = 0, bad = 0;

	(void)state;
	for (seed = 1; seed <= 600; seed++) {
		uint64_t r = seed * 7777777ull;
		size_t n = 0;
		int i, k = 2 + (int)rnd(&r, 14);

		for (i = 0; i < k; i++)
			n += (size_t)sprintf(
			    d + n, "%s",
			    part[rnd(&r, 2) ? rnd(&r, parts)
					    : parts - 1 - rnd(&r, 4)]); /* half of them whole */
		for (i = (int)rnd(&r, 3); i--;)
			d[rnd(&r, (unsigned)n)] = "\r\n \t:;\0a0,\xff"[rnd(&r, 11)];
		understand(d, n, 0, &a);
		understand(d, n, seed, &b);
		/* an interim answer is asked for only while its body has not come */
		if (a.requests != b.requests || a.bad != b.bad || strcmp(a.what, b.what))
			fail_msg("seed %u: %d and %d requests, %d and %d refused\n%.*s\n--\n%s--\n%s", seed,
				 a.requests, b.requests, a.bad, b.bad, (int)n, d, a.what, b.what);
		complete += (unsigned)a.requests;
		bad += (unsigned)a.bad;
	}
	print_message("600 seeds: %u requests, %u refused\n", complete, bad);
	assert_true(complete > 100 && bad > 100);
}

static void *waker(void *arg)
{
	http_wake(arg);
	return NULL;
}

static void wakes(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	pthread_t t;
	int i;

	(void)state;
	for (i = 0; i < 20; i++) {
		int64_t at = __real_clock_ms();

		assert_int_equal(pthread_create(&t, NULL, waker, h), 0);
		http_wait(h, LIMIT);
		assert_true(__real_clock_ms() - at < LIMIT / 2);
		pthread_join(t, NULL);
		http_wait(h, 0); /* a second wake before the first was seen is the same one */
	}
	end(&seen);
}

/* ---- client ---- */

static void write_first(struct there *t)
{
	t->c = accept(t->fd, NULL, NULL);
	say(t->c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly");
}

static struct there serve(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t n = sizeof address;
	struct there t = { socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), -1, 0 };

	assert_return_code(bind(t.fd, (struct sockaddr *)&address, sizeof address), errno);
	assert_return_code(listen(t.fd, 64), errno);
	getsockname(t.fd, (struct sockaddr *)&address, &n);
	t.addr = addr_of(ntohs(address.sin_port));
	return t;
}

static void taken(struct http *h, struct there *t)
{
	int64_t stop = __real_clock_ms() + LIMIT;

	while ((t->c = accept(t->fd, NULL, NULL)) < 0 && __real_clock_ms() < stop)
		http_wait(h, 1);
	assert_true(t->c >= 0);
}

static const struct http_field host[] = { { "Host", "x" } };

static struct http_client_request get(void)
{
	return (struct http_client_request){ .method = "GET",
					     .target = "/t",
					     .fields = host,
					     .field_count = 1,
					     .not_after_ms = __wrap_clock_ms() + 5000,
					     .connect_timeout_ms = 1000,
					     .timeout_ms = 10000 };
}

#define GET "GET /t HTTP/1.1\r\nHost: x\r\n\r\n"

static void answers_as_read(void **state)
{
	enum { OPEN = 0, SHUT = 1, RESET = 2 };
	static const struct {
		const char *says;
		int then;
		enum http_call_result how;
		int status;
		const char *body;
		int kept;
		const char *verb;
	} all[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_CALL_COMPLETE, 200, "hi", 1,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", SHUT, HTTP_CALL_COMPLETE, 200, "hi", 0,
		  "GET" },
		{ "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", OPEN, HTTP_CALL_COMPLETE, 200, "", 1, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1;x\r\n!\r\n0\r\n\r\n",
		  OPEN, HTTP_CALL_COMPLETE, 200, "hi!", 1, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n", OPEN,
		  HTTP_CALL_COMPLETE, 200, "", 1, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi", OPEN,
		  HTTP_CALL_COMPLETE, 200, "hi", 0, "GET" },
		{ "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_CALL_COMPLETE, 200, "hi", 0,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiho", OPEN, HTTP_CALL_COMPLETE, 200, "hi", 0,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\nho", OPEN,
		  HTTP_CALL_COMPLETE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 204 No\r\n\r\n", OPEN, HTTP_CALL_COMPLETE, 204, "", 1, "GET" },
		{ "HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n", OPEN, HTTP_CALL_COMPLETE, 304, "", 1,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", OPEN, HTTP_CALL_COMPLETE, 200, "", 1,
		  "HEAD" },
		{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		  OPEN, HTTP_CALL_COMPLETE, 200, "hi", 1, "GET" },
		{ "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", SHUT, HTTP_CALL_COMPLETE, 200, "hi", 0,
		  "GET" },
		{ "HTTP/1.0 200 OK\r\n\r\nhi", SHUT, HTTP_CALL_COMPLETE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nhi", OPEN,
		  HTTP_CALL_COMPLETE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\n\r\nhi", SHUT, HTTP_CALL_BROKEN, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", RESET, HTTP_CALL_BROKEN, 200, NULL, 0,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", SHUT, HTTP_CALL_BROKEN, 200, "hi", 0,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nhi", SHUT,
		  HTTP_CALL_BROKEN, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", SHUT, HTTP_CALL_BROKEN,
		  200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n", SHUT,
		  HTTP_CALL_BROKEN, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r", SHUT,
		  HTTP_CALL_BROKEN, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhiXX0\r\n\r\n", OPEN,
		  HTTP_CALL_BROKEN, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", OPEN, HTTP_CALL_BROKEN, 200,
		  "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nhi", OPEN,
		  HTTP_CALL_BROKEN, 0, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", OPEN,
		  HTTP_CALL_BROKEN, 0, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nhi", OPEN, HTTP_CALL_BROKEN, 0, "", 0,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhi", SHUT, HTTP_CALL_BROKEN, 0, "", 0,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_CALL_BROKEN, 0,
		  "", 0, "GET" },
		{ "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi", OPEN, HTTP_CALL_BROKEN, 0, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", SHUT, HTTP_CALL_BROKEN, 0, "", 0, "GET" },
		{ "HTTP/1.1 101 Up\r\nUpgrade: x\r\n\r\n", OPEN, HTTP_CALL_BROKEN, 0, "", 0, "GET" },
		{ "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_CALL_BROKEN, 0, "", 0, "GET" },
		{ "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_CALL_BROKEN, 0, "", 0, "GET" },
		{ "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_CALL_BROKEN, 0, "", 0, "GET" },
		{ "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_CALL_BROKEN, 0, "", 0,
		  "GET" },
		{ "GET / HTTP/1.1\r\n\r\n", OPEN, HTTP_CALL_BROKEN, 0, "", 0, "GET" },
		{ "nonsense\r\n\r\n", OPEN, HTTP_CALL_BROKEN, 0, "", 0, "GET" },
		{ "", SHUT, HTTP_CALL_BROKEN, 0, "", 0, "GET" },
		{ "", RESET, HTTP_CALL_BROKEN, 0, "", 0, "GET" },
	};
	struct linger linger = { 1, 0 };
	struct seen seen;
	struct http *h = begin(&seen);
	size_t i;
	int split;

	(void)state;
	for (split = 0; split < 2; split++)
		for (i = 0; i < sizeof all / sizeof *all; i++) {
			struct there t = serve();
			uint64_t k = 2 * i + (uint64_t)split + 1;
			struct http_client_request output = get();
			struct call *call = &seen.call[k];
			uint64_t connects = http_counters_read(h).connections_opened;
			char expected[64];
			const char *p;

			output.method = all[i].verb;
			snprintf(expected, sizeof expected, "%s /t HTTP/1.1\r\nHost: x\r\n\r\n",
				 output.method);
			http_call_start(h, k, t.addr, &output);
			assert_false(http_call_is_sent(h, k));
			taken(h, &t);
			expect_bytes(h, t.c, expected);
			assert_true(http_call_is_sent(h, k));
			assert_false(call->done);
			for (p = all[i].says; split && *p; p++) {
				write_bytes(t.c, p, 1);
				http_wait(h, 0);
			}
			if (!split)
				say(t.c, all[i].says);
			if (all[i].then == RESET)
				setsockopt(t.c, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
			if (all[i].then)
				close(t.c);
			UNTIL(h, call->done);
			if ((int)call->how != (int)all[i].how || call->status != all[i].status || call->bad ||
			    (all[i].body &&
			     (call->n != strlen(all[i].body) || memcmp(call->got, all[i].body, call->n))))
				fail_msg("number %zu, split %d: how %d status %d body %.*s", i, split,
					 call->how, call->status, (int)call->n, call->got);
			http_wait(h, 0);
			http_wait(h, 0);
			output = get();
			http_call_start(h, 1000, t.addr, &output);
			UNTIL(h, http_call_is_sent(h, 1000) || seen.call[1000].done);
			if ((int)(http_counters_read(h).connections_opened - connects) !=
			    (split && all[i].kept == 0 && all[i].how == HTTP_CALL_COMPLETE ? 2
											   : 2 - all[i].kept))
				fail_msg("number %zu, split %d: kept wrongly", i, split);
			http_call_cancel(h, 1000);
			if (!all[i].then)
				close(t.c);
			close(t.fd);
		}
	end(&seen);
}

static void pass_piece_on(void *ctx, uint64_t token, const char *d, size_t n)
{
	struct seen *seen = ctx;

	(void)token;
	http_response_begin(seen->h, seen->token[0], 200, NULL, 0, -1);
	http_response_write(seen->h, seen->token[0], d, n);
	http_response_finish(seen->h, seen->token[0]);
}

/* A piece of a server's answer goes on as it is, also when the head before it makes a leaving door look for
 * another request. */
static void a_look_behind_a_request_spoils_no_piece(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	struct there t = serve();
	struct http_client_request output = get();
	int fd = dial(h);

	(void)state;
	h->callbacks.response_body = pass_piece_on;
	say(fd, get_a);
	UNTIL(h, seen.requests == 1);
	http_drain(h, 1);
	http_call_start(h, 1, t.addr, &output);
	taken(h, &t);
	expect_bytes(h, t.c, GET);
	say(t.c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
	UNTIL(h, seen.call[1].status == 200);
	say(t.c, "body"); /* read by itself */
	seen.answer = 1;
	after_look.fd = fd;
	after_look.text =
	    "GET /a/path/that/is/longer/than/the/head/and/the/body/of/the/answer/that/is/passed/on HTTP/1.1\r\n\r\n";
	heard(h, fd,
	      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	close(t.c);
	close(t.fd);
	end(&seen);
}

static void head_too_large(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	struct there t = serve();
	struct http_client_request output = get();
	int i;

	(void)state;
	http_call_start(h, 1, t.addr, &output);
	taken(h, &t);
	expect_bytes(h, t.c, GET);
	say(t.c, "HTTP/1.1 200 OK\r\n");
	for (i = 0; i < 7000 && !seen.call[1].done; i++) {
		say(t.c, "X: 12345678\r\n");
		http_wait(h, 0);
	}
	UNTIL(h, seen.call[1].done);
	assert_int_equal(seen.call[1].how, HTTP_CALL_BROKEN);
	close(t.c);
	close(t.fd);
	end(&seen);
}

/* One call over a connection that is kept afterwards. */
static void keep_one(struct seen *seen, struct there *t, uint64_t k, const char *more)
{
	struct http_client_request output = get();
	char b[200];

	http_call_start(seen->h, k, t->addr, &output);
	if (t->c < 0)
		taken(seen->h, t);
	expect_bytes(seen->h, t->c, GET);
	snprintf(b, sizeof b, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nhi", more);
	say(t->c, b);
	UNTIL(seen->h, seen->call[k].done);
	assert_int_equal(seen->call[k].how, HTTP_CALL_COMPLETE);
}

static void kept_connections(void **state)
{
	static const struct {
		const char *more;
		int ms, used;
	} all[] = {
		{ "", 3900, 1 },
		{ "", 4000, 0 },
		{ "Keep-Alive: timeout=10\r\n", 7400, 1 },
		{ "Keep-Alive: timeout=10, max=5\r\n", 7600, 0 },
		{ "Keep-Alive: timeout=1\r\n", 500, 1 },
		{ "Keep-Alive: timeout=1\r\n", 750, 0 },
		{ "keep-alive: max=5,Timeout=1\r\n", 750, 0 },
	};
	struct linger linger = { 1, 0 };
	struct seen seen;
	struct http *h = begin(&seen);
	struct http_client_request output = get();
	struct there t = serve(), there;
	uint64_t k = 0, n;
	size_t i;
	int j;

	(void)state;
	for (i = 0; i < 3; i++)
		keep_one(&seen, &t, ++k, "");
	assert_int_equal(http_counters_read(h).connections_opened, 1);
	output.new_connection = 1;
	http_call_start(h, ++k, t.addr, &output);
	close(t.c);
	taken(h, &t);
	expect_bytes(h, t.c, GET);
	http_call_cancel(h, k);
	close(t.c);
	/* how long they are kept */
	for (i = 0; i < sizeof all / sizeof *all; i++) {
		t.c = -1;
		n = http_counters_read(h).connections_opened;
		keep_one(&seen, &t, ++k, all[i].more);
		moved += all[i].ms;
		output = get();
		http_call_start(h, ++k, t.addr, &output);
		UNTIL(h, http_call_is_sent(h, k));
		if ((int)(http_counters_read(h).connections_opened - n) != 2 - all[i].used)
			fail_msg("number %zu", i);
		http_call_cancel(h, k);
		http_peer_forget(h, t.addr);
		close(t.c);
		while ((t.c = accept(t.fd, NULL, NULL)) >= 0)
			close(t.c);
	}
	/* spoilt while kept: closed, spoken on, reset; seen by the loop or only just before the next call */
	for (i = 0; i < 3; i++)
		for (j = 0; j < 2; j++) {
			struct pollfd p;

			t.c = -1;
			keep_one(&seen, &t, ++k, "");
			n = http_counters_read(h).connections_opened;
			if (i == 0)
				shutdown(t.c, SHUT_WR);
			if (i == 1)
				say(t.c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
			if (i == 2) {
				setsockopt(t.c, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
				close(t.c);
			}
			for (; j && i < 2; http_wait(h, 0)) {
				p = (struct pollfd){ t.c, POLLIN, 0 };
				if (poll(&p, 1, 1) > 0)
					break;
			}
			output = get();
			http_call_start(h, ++k, t.addr, &output);
			UNTIL(h, http_call_is_sent(h, k) || seen.call[k].done);
			assert_false(seen.call[k].done);
			assert_int_equal(http_counters_read(h).connections_opened, n + 1);
			http_call_cancel(h, k);
			if (i < 2)
				close(t.c);
			while ((t.c = accept(t.fd, NULL, NULL)) >= 0)
				close(t.c);
		}
	/* forgotten, also by a call that was under way */
	t.c = -1;
	keep_one(&seen, &t, ++k, "");
	http_peer_forget(h, t.addr);
	heard(h, t.c, "");
	output = get();
	http_call_start(h, ++k, t.addr, &output);
	taken(h, &t);
	expect_bytes(h, t.c, GET);
	http_peer_forget(h, t.addr);
	say(t.c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
	UNTIL(h, seen.call[k].done);
	assert_int_equal(seen.call[k].how, HTTP_CALL_COMPLETE);
	n = http_counters_read(h).connections_opened;
	output = get();
	http_call_start(h, ++k, t.addr, &output);
	UNTIL(h, http_call_is_sent(h, k));
	assert_int_equal(http_counters_read(h).connections_opened, n + 1);
	http_call_cancel(h, k);
	heard(h, t.c, "");
	while ((t.c = accept(t.fd, NULL, NULL)) >= 0)
		close(t.c);
	/* no more than told */
	there = t;
	http_peer_set_max_connections(h, t.addr, 2);
	t.c = -1;
	keep_one(&seen, &t, ++k, "");
	output = get();
	http_call_start(h, ++k, t.addr, &output);
	http_call_start(h, ++k, t.addr, &output);
	http_call_start(h, ++k, t.addr, &output);
	assert_false(seen.call[k].done);
	UNTIL(h, seen.call[k].done);
	assert_int_equal(seen.call[k].how, HTTP_CALL_NOT_SENT);
	http_call_cancel(h, k - 1);
	http_call_cancel(h, k - 2);
	close(t.c);
	while ((there.c = accept(t.fd, NULL, NULL)) >= 0)
		close(there.c);
	/* a fresh one takes the place of one that is kept */
	t.c = -1;
	http_peer_set_max_connections(h, t.addr, 1);
	keep_one(&seen, &t, ++k, "");
	output.new_connection = 1;
	http_call_start(h, ++k, t.addr, &output);
	heard(h, t.c, "");
	taken(h, &t);
	expect_bytes(h, t.c, GET);
	close(t.c);
	UNTIL(h, seen.call[k].done);
	assert_int_equal(seen.call[k].how, HTTP_CALL_BROKEN);
	close(t.fd);
	end(&seen);
}

static void never_and_late(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	struct there t = serve(), full;
	struct http_client_request output = get();
	static char big[1 << 24];
	int fd[8], i, how;
	char b[GOT];
	size_t n;

	(void)state;
	/* nobody there */
	close(t.fd);
	http_call_start(h, 1, t.addr, &output);
	assert_int_equal(seen.call[1].done, 0);
	UNTIL(h, seen.call[1].done);
	assert_int_equal(seen.call[1].how, HTTP_CALL_NOT_SENT);
	/* too late before it is begun, and by the time the connection is there */
	t = serve();
	output = get();
	http_call_start(h, 2, t.addr, &output);
	moved += 5001;
	UNTIL(h, seen.call[2].done);
	assert_int_equal(seen.call[2].how, HTTP_CALL_NOT_SENT);
	output = get();
	http_call_start(h, 3, t.addr, &output);
	freeze = 5001; /* between connecting and sending */
	UNTIL(h, seen.call[3].done);
	assert_int_equal(seen.call[3].how, HTTP_CALL_NOT_SENT);
	/* a server that answers before it was asked */
	output = get();
	while ((i = accept(t.fd, NULL, NULL)) >= 0)
		close(i);
	http_call_start(h, 10, t.addr, &output);
	early = &t;
	UNTIL(h, seen.call[10].done);
	assert_int_equal(seen.call[10].how, HTTP_CALL_NOT_SENT);
	assert_int_equal(seen.call[10].n, 0);
	assert_int_equal(hear(h, t.c, b, GOT, GOT, &how), 0); /* nothing of the request came */
	assert_true(how > 0);
	close(t.c);
	/* on a kept connection, which is whole afterwards */
	t.c = -1;
	while ((i = accept(t.fd, NULL, NULL)) >= 0)
		close(i);
	keep_one(&seen, &t, 4, "Keep-Alive: timeout=1000\r\n");
	output = get();
	http_call_start(h, 5, t.addr, &output);
	moved += 5001;
	UNTIL(h, seen.call[5].done);
	assert_int_equal(seen.call[5].how, HTTP_CALL_NOT_SENT);
	keep_one(&seen, &t, 6, "");
	assert_int_equal(http_counters_read(h).connections_reused, 1);
	/* no answer within the limit */
	output = get();
	http_call_start(h, 7, t.addr, &output);
	expect_bytes(h, t.c, GET);
	moved += 9000;
	http_wait(h, 0);
	assert_false(seen.call[7].done);
	moved += 1001;
	UNTIL(h, seen.call[7].done);
	assert_int_equal(seen.call[7].how, HTTP_CALL_BROKEN);
	heard(h, t.c, "");
	/* a request that stops halfway goes no further after its time */
	output = get();
	output.method = "POST";
	output.body = big;
	output.body_bytes = sizeof big;
	http_call_start(h, 8, t.addr, &output);
	taken(h, &t);
	UNTIL(h, http_call_is_sent(h, 8));
	for (i = 0; i < 20; i++)
		http_wait(h, 0);
	moved += 5001;
	UNTIL(h, seen.call[8].done);
	assert_int_equal(seen.call[8].how, HTTP_CALL_BROKEN);
	for (n = 0, how = 0; !how; n += hear(h, t.c, b, 1, GOT, &how))
		;
	assert_true(n < sizeof big);
	close(t.c);
	/* a queue of connections that is full: connecting ends in its time */
	full = serve();
	listen(full.fd, 0);
	for (i = 0; i < 8; i++) {
		struct sockaddr_in address = { .sin_family = AF_INET,
					       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
					       .sin_port = htons((uint16_t)full.addr) };

		fd[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		connect(fd[i], (struct sockaddr *)&address, sizeof address);
	}
	output = get();
	http_call_start(h, 9, full.addr, &output);
	for (i = 0; i < 20; i++)
		http_wait(h, 0);
	assert_false(http_call_is_sent(h, 9));
	moved += 1001;
	UNTIL(h, seen.call[9].done);
	assert_int_equal(seen.call[9].how, HTTP_CALL_NOT_SENT);
	for (i = 0; i < 8; i++)
		close(fd[i]);
	close(full.fd);
	close(t.fd);
	for (i = 1; i < 11; i++)
		assert_false(seen.call[i].bad);
	end(&seen);
}

static void requests_as_written(void **state)
{
	struct http_field field[] = { { "Host", "x" },
				      { "content-length", "9" },
				      { "Transfer-Encoding", "chunked" },
				      { "X", "a\r\nb" },
				      { "Connection", "close" } };
	struct seen seen;
	struct http *h = begin(&seen);
	struct there t = serve();
	struct http_client_request output = get();

	(void)state;
	output.fields = field;
	output.field_count = 5;
	output.method = "POST";
	http_call_start(h, 1, t.addr, &output);
	taken(h, &t);
	expect_bytes(
	    h, t.c,
	    "POST /t HTTP/1.1\r\nHost: x\r\nX: a  b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
	http_call_cancel(h, 1);
	close(t.c);
	output.body = "body";
	output.body_bytes = 4;
	output.field_count = 1;
	output.method = "GET";
	http_call_start(h, 2, t.addr, &output);
	taken(h, &t);
	expect_bytes(h, t.c, "GET /t HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody");
	http_call_cancel(h, 2);
	close(t.c);
	close(t.fd);
	end(&seen);
}

/* ---- anything from within a callback ---- */

struct within {
	const char *what;
	int act;
	uint64_t addr;
};

static void act(struct seen *seen, const char *what, uint64_t token)
{
	struct within *within = seen->arg;
	struct http_client_request output = get();
	uint64_t mine = seen->requests ? seen->token[seen->requests - 1] : 0;

	if (strcmp(within->what, what))
		return;
	within->what = "";
	switch (within->act) {
	case 0:
		if (!seen->call[token < MANY ? token : 0].done)
			seen->call[token < MANY ? token : 0].cancelled = 1;
		http_call_cancel(seen->h, token);
		http_call_cancel(seen->h, token);
		break;
	case 1:
		http_call_cancel(seen->h, 1);
		seen->call[1].cancelled = !seen->call[1].done;
		http_call_start(seen->h, 2, within->addr, &output);
		http_call_cancel(seen->h, 2);
		break;
	case 2:
		http_peer_forget(seen->h, within->addr);
		http_peer_set_max_connections(seen->h, within->addr, 1);
		http_call_start(seen->h, 3, within->addr, &output);
		break;
	case 3:
		http_response_abort(seen->h, mine);
		http_response_finish(seen->h, mine);
		break;
	case 4:
		http_respond(seen->h, mine, 200, NULL, 0, "x", 1);
		http_response_abort(seen->h, mine);
		break;
	case 5:
		http_response_begin(seen->h, mine, 200, NULL, 0, -1);
		http_response_write(seen->h, mine, "x", 1);
		http_response_finish(seen->h, mine);
		http_drain(seen->h, 1);
		break;
	case 6:
		http_stop_accepting(seen->h, 1);
		http_drain(seen->h, 1);
		http_response_abort(seen->h, mine);
		break;
	}
}

static void from_within(void **state)
{
	static const char *what[] = { "request", "gone", "head", "body", "done" };
	struct within within;
	struct seen seen;
	int i, j, k, n;

	(void)state;
	for (i = 0; i < 5; i++)
		for (j = 0; j < 7; j++)
			for (k = 0; k < 2; k++) { /* the caller leaves, or not */
				struct http *h = begin(&seen);
				struct http_client_request output = get();
				struct there t = serve();
				int fd = dial(h), how;
				char b[GOT];

				within = (struct within){ what[i], j, t.addr };
				seen.hook = act;
				seen.arg = &within;
				http_call_start(h, 1, t.addr, &output);
				taken(h, &t);
				hear(h, t.c, b, strlen(GET), GOT, &how);
				say(fd, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
				say(t.c,
				    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n");
				if (k)
					shutdown(fd, SHUT_WR);
				for (n = 0; n < 10; n++)
					http_wait(h, n < 3);
				for (n = 0; n < 4; n++)
					if (seen.call[n].bad || seen.call[n].done > 1)
						fail_msg("%s, act %d, call %d", what[i], j, n);
				close(t.c);
				close(t.fd);
				close(fd);
				for (n = 0; n < 5; n++)
					http_wait(h, 0);
				end(&seen);
			}
}

/* ---- a server that lies ---- */

enum { LIARS = 64, CALLS = 300, AT_ONCE = 8 };

struct liar_conn {
	int fd, closing;
	char b[20000];
	size_t n;
	char out[9000];
	size_t off, len, step;
};
struct liar {
	struct there t;
	struct liar_conn c[LIARS];
	unsigned arrived[CALLS + 1];
	uint64_t r;
	int fair;
};

/* The whole body of a request's answer. */
static size_t body_of(int id, char *to)
{
	size_t n = (size_t)(id * 37 % 4000), i;

	for (i = 0; i < n; i++)
		to[i] = (char)('a' + (i * 7 + (size_t)id) % 26);
	return n;
}

static void liar_answer(struct liar *liar, struct liar_conn *liar_conn, int id)
{
	static char body[4096];
	size_t n = body_of(id, body), i, k;
	unsigned how = liar->fair ? rnd(&liar->r, 4) : rnd(&liar->r, 24);
	char *o = liar_conn->out;

#define ADD(...) (o += sprintf(o, __VA_ARGS__))
#define PUT(p, m) (memcpy(o, p, m), o += (m))
	liar_conn->step = liar->fair || rnd(&liar->r, 4) ? sizeof liar_conn->out : 1 + rnd(&liar->r, 400);
	liar_conn->closing = 0;
	if (how == 4)
		ADD("HTTP/1.1 100 Continue\r\n\r\n");
	ADD("HTTP/1.1 200 OK\r\nX-Id: %d\r\n", id);
	if (how == 5 || how == 6)
		ADD("Connection: close\r\n");
	if (how == 7)
		ADD("Keep-Alive: timeout=1\r\n");
	if (how == 8)
		ADD("Content-Length: 3\r\n");
	if (how == 9)
		ADD("Transfer-Encoding: chunked\r\n");
	if ((how & 1) && how != 5 && how != 9) {
		ADD("Transfer-Encoding: chunked\r\n\r\n");
		for (i = 0; i < n; i += k) {
			k = 1 + rnd(&liar->r, 999);
			k = k < n - i ? k : n - i;
			ADD("%zx\r\n", k);
			PUT(body + i, k);
			ADD("\r\n");
		}
		if (how == 11)
			ADD("zz\r\n");
		ADD("0\r\n\r\n");
	} else if (how == 5) { /* to the end of the connection */
		ADD("\r\n");
		PUT(body, n);
		liar_conn->closing = 1;
	} else {
		ADD("Content-Length: %zu\r\n\r\n", n);
		PUT(body, n);
	}
	switch (how) {
	case 10:
	case 13: /* ends early */
		o = liar_conn->out + rnd(&liar->r, (unsigned)(o - liar_conn->out));
		liar_conn->closing = 1;
		break;
	case 12:
	case 15: /* resets early, or behind */
		o = liar_conn->out + rnd(&liar->r, (unsigned)(o - liar_conn->out) + 1);
		liar_conn->closing = 2;
		break;
	case 14:
	case 17: /* surplus */
		ADD("surplus");
		break;
	case 16: /* twice */
		n = (size_t)(o - liar_conn->out);
		if (n < 4400)
			PUT(liar_conn->out, n);
		break;
	case 18: /* silence */
		o = liar_conn->out;
		break;
	case 19:
	case 20:
	case 6:
		liar_conn->closing = 1;
		break;
	}
	liar_conn->off = 0;
	liar_conn->len = (size_t)(o - liar_conn->out);
}

/* Returns the id of a request that is now whole, 0 for none, -1 when the caller has gone. */
static int liar_read(struct liar *liar, struct liar_conn *liar_conn)
{
	ssize_t k = recv(liar_conn->fd, liar_conn->b + liar_conn->n, sizeof liar_conn->b - 1 - liar_conn->n,
			 MSG_DONTWAIT);
	char *end, *p, *id;
	size_t all;

	if (!k || (k < 0 && errno != EAGAIN))
		return -1;
	if (k < 0)
		return 0;
	liar_conn->n += (size_t)k;
	liar_conn->b[liar_conn->n] = 0;
	if (!(end = strstr(liar_conn->b, "\r\n\r\n")))
		return 0;
	p = strstr(liar_conn->b, "Content-Length: ");
	id = strstr(liar_conn->b, "X-Id: ");
	all = (size_t)(end + 4 - liar_conn->b) + (p && p < end ? strtoul(p + 16, NULL, 10) : 0);
	if (liar_conn->n < all)
		return 0;
	assert_non_null(id);
	assert_in_range(atoi(id + 6), 1, CALLS);
	assert_int_equal(liar_conn->n, all); /* one at a time */
	liar->arrived[atoi(id + 6)]++;
	liar_conn->n = 0;
	return atoi(id + 6);
}

/* What has come counts as having arrived, though it is not answered. */
static void liar_end(struct liar *liar, struct liar_conn *liar_conn, int reset)
{
	struct linger linger = { 1, 0 };
	size_t n;

	do
		n = liar_conn->n;
	while (!liar_read(liar, liar_conn) && liar_conn->n > n);
	if (reset)
		setsockopt(liar_conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
	close(liar_conn->fd);
	liar_conn->fd = -1;
}

static void liar_step(struct liar *liar)
{
	int i, id;

	for (i = 0; i < LIARS; i++) {
		struct liar_conn *liar_conn = &liar->c[i];
		ssize_t k;

		if (liar_conn->fd < 0) {
			if ((liar_conn->fd = accept(liar->t.fd, NULL, NULL)) < 0)
				continue;
			fcntl(liar_conn->fd, F_SETFL, O_NONBLOCK);
			liar_conn->n = liar_conn->off = liar_conn->len = 0;
			liar_conn->closing = 0;
			if (!liar->fair && !rnd(&liar->r, 30)) {
				liar_end(liar, liar_conn, (int)rnd(&liar->r, 2));
				continue;
			}
			if (!liar->fair && !rnd(&liar->r, 30))
				say(liar_conn->fd,
				    "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nearly");
		}
		if (liar_conn->off < liar_conn->len) { /* what it says is said to the end, then it listens */
			k = send(liar_conn->fd, liar_conn->out + liar_conn->off,
				 liar_conn->len - liar_conn->off < liar_conn->step
				     ? liar_conn->len - liar_conn->off
				     : liar_conn->step,
				 MSG_NOSIGNAL);
			if (k > 0)
				liar_conn->off += (size_t)k;
			else if (errno != EAGAIN)
				liar_end(liar, liar_conn, 0);
			if (liar_conn->fd < 0 || liar_conn->off < liar_conn->len)
				continue;
		}
		if (liar_conn->closing) {
			liar_end(liar, liar_conn, liar_conn->closing == 2);
			continue;
		}
		if (!liar->fair && !rnd(&liar->r, 150)) {
			if (rnd(&liar->r, 3)) {
				liar_end(liar, liar_conn, (int)rnd(&liar->r, 2));
				continue;
			}
			say(liar_conn->fd, "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 4\r\n\r\nlate");
		}
		if ((id = liar_read(liar, liar_conn)) < 0)
			liar_end(liar, liar_conn, 0);
		else if (id)
			liar_answer(liar, liar_conn, id);
		else if (liar_conn->n && !liar->fair && !rnd(&liar->r, 10))
			say(liar_conn->fd,
			    "HTTP/1.1 413 No\r\nX-Id: 0\r\nContent-Length: 3\r\n\r\nbig"); /* before it has
											      read all */
	}
}

struct liar_sum {
	int complete, never, broke, cancelled, other;
	uint64_t kept;
};

static void lie(unsigned seed, int fair, struct liar_sum *sum)
{
	static struct liar liar;
	static char body[4096], post[16000];
	struct seen seen;
	struct http *h = begin(&seen);
	int started = 0, open, i, over = 0;
	int64_t stop = __real_clock_ms() + LIMIT;

	memset(&liar, 0, sizeof liar);
	liar.t = serve();
	liar.r = 88172645463325252ull + seed * 7919ull;
	liar.fair = fair;
	for (i = 0; i < LIARS; i++)
		liar.c[i].fd = -1;
	if (!fair && seed % 3 == 0)
		http_peer_set_max_connections(h, liar.t.addr, 4);
	for (over = 0; over < CALLS && __real_clock_ms() < stop;) {
		for (open = 0, over = 0, i = 1; i <= started; i++) {
			over += seen.call[i].done || seen.call[i].cancelled;
			open += !seen.call[i].done && !seen.call[i].cancelled;
		}
		while (started < CALLS && open < AT_ONCE) {
			char id[16];
			struct http_field field[] = { { "Host", "x" }, { "X-Id", id } };
			struct http_client_request output = { .method = "POST",
							      .target = "/",
							      .fields = field,
							      .field_count = 2,
							      .not_after_ms = __wrap_clock_ms() + 1000,
							      .connect_timeout_ms = 100,
							      .timeout_ms = fair ? 10000 : 60 };

			snprintf(id, sizeof id, "%d", ++started);
			memset(post, 'p', sizeof post);
			output.body = post;
			output.body_bytes = rnd(&liar.r, 2) ? rnd(&liar.r, 100) : rnd(&liar.r, sizeof post);
			output.new_connection = !fair && !rnd(&liar.r, 10);
			if (!fair && !rnd(&liar.r, 30))
				output.not_after_ms = __wrap_clock_ms() - (int)rnd(&liar.r, 2);
			http_call_start(h, (uint64_t)started, liar.t.addr, &output);
			open++;
		}
		if (!fair && !rnd(&liar.r, 40) && started > 4) {
			i = started - (int)rnd(&liar.r, 4);
			if (!seen.call[i].done) {
				seen.call[i].cancelled = 1;
				http_call_cancel(h, (uint64_t)i);
			}
		}
		if (!fair && !rnd(&liar.r, 60))
			http_peer_forget(h, liar.t.addr);
		http_wait(h, (int)rnd(&liar.r, 2));
		liar_step(&liar);
	}
	assert_int_equal(over, CALLS);
	http_wait(h, 0);
	sum->kept += http_counters_read(h).connections_reused;
	http_close(h); /* all it ever sent is there to be read now */
	for (open = 1; open;) {
		for (open = 0, i = 0; i < LIARS; i++)
			open += liar.c[i].fd >= 0;
		liar.fair = 1;
		liar_step(&liar);
	}
	for (i = 1; i <= CALLS; i++) {
		struct call *call = &seen.call[i];
		size_t n;
		const char *why = NULL;

		if (liar.arrived[i] > 1)
			why = "arrived twice";
		if (call->bad)
			why = "was told wrongly";
		if (call->done + call->cancelled != 1)
			why = "did not end once";
		if (call->done && call->how == HTTP_CALL_NOT_SENT && liar.arrived[i])
			why = "never sent, and arrived";
		if (call->done && call->how == HTTP_CALL_COMPLETE && atoi(call->x_id) == i &&
		    !liar.arrived[i])
			why = "answered, and did not arrive";
		/* who answers is told by the id: bytes of another answer in this one's slot are whole in
		 * themselves */
		n = body_of(atoi(call->x_id), body);
		if (call->done && call->how == HTTP_CALL_COMPLETE && atoi(call->x_id) &&
		    (call->n != n || memcmp(call->got, body, n)))
			why = "whole, and is not";
		if (fair && (!call->done || call->how != HTTP_CALL_COMPLETE || atoi(call->x_id) != i ||
			     liar.arrived[i] != 1))
			why = "of a fair server was not served";
		if (why)
			fail_msg("seed %u: call %d %s (how %d, arrived %u, id %s, %zu bytes)", seed, i, why,
				 call->how, liar.arrived[i], call->x_id, call->n);
		sum->complete += call->done && call->how == HTTP_CALL_COMPLETE;
		sum->never += call->done && call->how == HTTP_CALL_NOT_SENT;
		sum->broke += call->done && call->how == HTTP_CALL_BROKEN;
		sum->cancelled += call->cancelled;
		sum->other += call->done && call->how == HTTP_CALL_COMPLETE && atoi(call->x_id) != i;
	}
	close(liar.t.fd);
	free(seen.call);
}

static void never_twice(void **state)
{
	const char *e = getenv("NL_SEEDS");
	unsigned seeds = e ? (unsigned)atoi(e) : 25, i;
	struct liar_sum sum = { 0 };

	(void)state;
	for (i = 1; i <= seeds; i++)
		lie(i, 0, &sum);
	print_message(
	    "%u seeds: whole %d, never %d, broke %d, cancelled %d, another's answer %d, kept connections used %llu\n",
	    seeds, sum.complete, sum.never, sum.broke, sum.cancelled, sum.other,
	    (unsigned long long)sum.kept);
	assert_true(sum.complete && sum.never && sum.broke && sum.cancelled && sum.kept);
	for (i = 1; i <= 3; i++)
		lie(i, 1, &sum);
}

/* ---- what a request costs ---- */

/* A caller's request is sent on to a server, and its answer in pieces passed back. */
static void forward_request(struct seen *seen, const char *what, uint64_t token)
{
	struct http_client_request output = get();
	uint64_t mine = seen->token[seen->requests - 1];

	if (!strcmp(what, "request"))
		http_call_start(seen->h, (uint64_t)seen->requests, ((struct there *)seen->arg)->addr,
				&output);
	else if (!strcmp(what, "head"))
		http_response_begin(seen->h, mine, seen->call[token].status, NULL, 0, -1);
	else if (!strcmp(what, "body"))
		http_response_write(seen->h, mine, seen->call[token].got, seen->call[token].n);
	else if (!strcmp(what, "done"))
		http_response_finish(seen->h, mine);
}

static void costs(void **state)
{
	enum { N = 500 };
	struct seen seen;
	struct http *h = begin(&seen);
	struct there t = serve();
	int fd = dial(h), i, n;

	(void)state;
	seen.hook = forward_request;
	seen.arg = &t;
	for (i = 0; i < N; i++) {
		say(fd, GET);
		counting = i > 0; /* connections apart */
		while (seen.requests == i)
			http_wait(h, 1000);
		counting = 0;
		if (!i)
			taken(h, &t);
		expect_bytes(h, t.c, GET);
		while (!http_call_is_sent(h, (uint64_t)i + 1))
			http_wait(h, 0);
		say(t.c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
		counting = i > 0;
		while (!seen.call[i + 1].done)
			http_wait(h, 1000);
		counting = 0;
		expect_bytes(h, fd,
			     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
	}
	n = sys.waits + sys.recvs + sys.peeks + sys.sends + sys.others;
	print_message(
	    "%d requests passed on: %.2f system calls each (waits %.2f, reads %.2f, looks %.2f, sends %.2f, others %.2f), "
	    "%llu connection to the server\n",
	    N - 1, (double)n / (N - 1), (double)sys.waits / (N - 1), (double)sys.recvs / (N - 1),
	    (double)sys.peeks / (N - 1), (double)sys.sends / (N - 1), (double)sys.others / (N - 1),
	    (unsigned long long)http_counters_read(h).connections_opened);
	assert_int_equal(http_counters_read(h).connections_opened, 1);
	/* a wait may end early by an old time, once in a while */
	assert_true(sys.sends <= 2 * N && sys.recvs <= 2 * N && sys.peeks <= N && !sys.others &&
		    sys.waits <= 2 * N + 10);
	close(fd);
	close(t.c);
	close(t.fd);
	end(&seen);
}

/* A machine without power says nothing: each connection notices by itself. */
static void silence_is_noticed(void **state)
{
	struct seen seen;
	struct http *h = begin(&seen);
	struct there t = serve();
	struct http_client_request output = get();
	int fd = dial(h), i, found = 0;

	(void)state;
	http_call_start(h, 1, t.addr, &output);
	taken(h, &t);
	UNTIL(h, http_counters_read(h).accepted == 1 && http_call_is_sent(h, 1));
	for (i = 0; i < 256; i++) {
		struct sockaddr_in address;
		socklen_t n = sizeof address;
		int v[6] = { 0 }, k;

		if (i == fd || i == t.c || i == t.fd || getpeername(i, (struct sockaddr *)&address, &n))
			continue;
		for (k = 0; k < 6; k++) {
			n = sizeof *v;
			getsockopt(i, k == 5 ? SOL_SOCKET : IPPROTO_TCP,
				   (int[]){ TCP_NODELAY, TCP_USER_TIMEOUT, TCP_KEEPIDLE, TCP_KEEPINTVL,
					    TCP_KEEPCNT, SO_KEEPALIVE }[k],
				   &v[k], &n);
		}
		assert_true(v[0] && v[5]);
		assert_int_equal(v[1], 3000);
		assert_int_equal(v[2], 2);
		assert_int_equal(v[3], 1);
		assert_int_equal(v[4], 3);
		found++;
	}
	assert_int_equal(found, 2);
	close(fd);
	close(t.c);
	close(t.fd);
	end(&seen);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(answers_are_bare),
		cmocka_unit_test(an_answer_past_its_time_never_leaves),
		cmocka_unit_test(one_at_a_time),
		cmocka_unit_test(byte_by_byte),
		cmocka_unit_test(smuggling),
		cmocka_unit_test(too_large),
		cmocka_unit_test(continues),
		cmocka_unit_test(abort_never_looks_whole),
		cmocka_unit_test(gone_once),
		cmocka_unit_test(leaves),
		cmocka_unit_test(leaving_reads_what_has_come),
		cmocka_unit_test(shutting_takes_the_backlog),
		cmocka_unit_test(leaving_keeps_the_answer_under_way),
		cmocka_unit_test(leaving_answers_what_was_read_behind),
		cmocka_unit_test(bytes_go_before_their_timer),
		cmocka_unit_test(a_slow_head_gains_no_time),
		cmocka_unit_test(longer_times_hold_at_once),
		cmocka_unit_test(a_lower_limit_ends_no_body_under_way),
		cmocka_unit_test(a_slow_link_that_moves_is_not_cut),
		cmocka_unit_test(a_half_close_does_not_cut_a_given_answer),
		cmocka_unit_test(leaving_asks_for_the_body),
		cmocka_unit_test(shutting_without_descriptors),
		cmocka_unit_test(each_request_has_one_outcome),
		cmocka_unit_test(closing_loses_no_answer),
		cmocka_unit_test(what_is_incomplete_is_refused),
		cmocka_unit_test(slow_callers),
		cmocka_unit_test(backlog),
		cmocka_unit_test(wakes),
		cmocka_unit_test(many_early),
		cmocka_unit_test(cut_anywhere),
		cmocka_unit_test(answers_as_read),
		cmocka_unit_test(a_look_behind_a_request_spoils_no_piece),
		cmocka_unit_test(head_too_large),
		cmocka_unit_test(kept_connections),
		cmocka_unit_test(never_and_late),
		cmocka_unit_test(requests_as_written),
		cmocka_unit_test(from_within),
		cmocka_unit_test(never_twice),
		cmocka_unit_test(costs),
		cmocka_unit_test(silence_is_noticed),
	};

	apr_initialize();
	if (getenv("NL_TEST"))
		cmocka_set_test_filter(getenv("NL_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
