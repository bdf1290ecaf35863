/* http both ways on real sockets: loopback, ports given by the kernel, waits on conditions with limits. One thread plays
 * both ends. The clock is the shell's, moved on where a test waits for a time; system calls of http are counted. */
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
static struct {               /* said to the product in the next wait, once it has looked; the process then stands still */
	int fd;
	const char *text;
	int64_t frozen_ms;
} after_look;
static void say(int fd, const char *d);
static struct there *early; /* a server that speaks first, in the next wait */
static void speak_first(struct there *t);

int64_t __wrap_clock_ms(void) { return __real_clock_ms() + moved; }

static struct {
	int waits, recvs, peeks, sends, others;
} sys;
static int counting;

int __real_epoll_wait(int fd, struct epoll_event *e, int n, int ms);
int __wrap_epoll_wait(int fd, struct epoll_event *e, int n, int ms);
int __wrap_epoll_wait(int fd, struct epoll_event *e, int n, int ms)
{
	sys.waits += counting;
	moved += freeze;
	freeze = 0;
	if (early)
		speak_first(early);
	early = NULL;
	if (after_look.text) {
		int got = __real_epoll_wait(fd, e, n, 0);

		say(after_look.fd, after_look.text);
		after_look.text = NULL;
		moved += after_look.frozen_ms;
		return got;
	}
	return __real_epoll_wait(fd, e, n, ms);
}

int __real_epoll_ctl(int ep, int op, int fd, struct epoll_event *e);
int __wrap_epoll_ctl(int ep, int op, int fd, struct epoll_event *e);
int __wrap_epoll_ctl(int ep, int op, int fd, struct epoll_event *e)
{
	sys.others += counting;
	return __real_epoll_ctl(ep, op, fd, e);
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
	enum http_end how;
	char x_id[16];
	char got[BODY];
	size_t n;
};

struct seen {
	struct http *h;
	uint64_t token[MANY];
	int requests, gone, answer; /* answer: each request at once, with its body */
	uint64_t gone_token;
	char verb[16], target[256], body[4096];
	size_t nb;
	int nf;
	struct call *call; /* by token */
	void (*hook)(struct seen *s, const char *what, uint64_t token);
	void *arg;
};

static void hook(struct seen *s, const char *what, uint64_t token)
{
	if (s->hook)
		s->hook(s, what, token);
}

static void on_request(void *ctx, const struct http_req *q)
{
	struct seen *s = ctx;

	s->token[s->requests++ % MANY] = q->token;
	snprintf(s->verb, sizeof s->verb, "%s", q->verb);
	snprintf(s->target, sizeof s->target, "%s", q->target);
	s->nb = q->len;
	s->nf = q->nf;
	if (q->len && q->len < sizeof s->body)
		memcpy(s->body, q->body, q->len);
	assert_ptr_equal(http_request(s->h, q->token), q);
	if (s->answer)
		http_answer(s->h, q->token, 200, NULL, 0, q->body, q->len);
	hook(s, "request", q->token);
}

static void on_gone(void *ctx, uint64_t token)
{
	struct seen *s = ctx;

	s->gone++;
	s->gone_token = token;
	assert_null(http_request(s->h, token));
	hook(s, "gone", token);
}

static void on_head(void *ctx, uint64_t token, int status, const struct http_field *f, int nf)
{
	struct seen *s = ctx;
	struct call *c = &s->call[token];
	const char *id = http_get(f, nf, "x-id");

	c->bad |= c->done || c->cancelled || c->status;
	c->status = status;
	snprintf(c->x_id, sizeof c->x_id, "%s", id ? id : "");
	hook(s, "head", token);
}

static void on_body(void *ctx, uint64_t token, const char *d, size_t n)
{
	struct seen *s = ctx;
	struct call *c = &s->call[token];

	c->bad |= c->done || c->cancelled || !c->status || !n || c->n + n > BODY;
	if (c->n + n <= BODY)
		memcpy(c->got + c->n, d, n);
	c->n += n;
	hook(s, "body", token);
}

static void on_done(void *ctx, uint64_t token, enum http_end how, int status)
{
	struct seen *s = ctx;
	struct call *c = &s->call[token];

	c->bad |= c->done || c->cancelled || (how == HTTP_WHOLE && status != c->status) || (how == HTTP_NEVER && status);
	c->done++;
	c->how = how;
	hook(s, "done", token);
}

static const struct http_limits usual = { 2048, 16384, 5000, 60000 };

static struct http *begin(struct seen *s)
{
	struct http_on on = { s, on_request, on_gone, on_head, on_body, on_done };

	memset(s, 0, sizeof *s);
	assert_non_null(s->call = calloc(MANY, sizeof *s->call));
	assert_non_null(s->h = http_open(&on, NULL));
	assert_int_equal(http_listen(s->h, "127.0.0.1:0", 1, &usual), 1);
	return s->h;
}

static void end(struct seen *s)
{
	http_close(s->h);
	free(s->call);
	moved = 0;
}

/* ---- the other end ---- */

static uint64_t addr_of(int port) { return (uint64_t)INADDR_LOOPBACK << 16 | (uint64_t)port; }

static int dial(struct http *h)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				  .sin_port = htons((uint16_t)http_port(h, 1)) };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	assert_return_code(connect(fd, (struct sockaddr *)&sa, sizeof sa), errno);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	return fd;
}

static void say_n(int fd, const char *d, size_t n)
{
	while (n) {
		ssize_t k = send(fd, d, n, MSG_NOSIGNAL);

		if (k < 0)
			return; /* it has closed: what it said shows */
		d += k;
		n -= (size_t)k;
	}
}

static void say(int fd, const char *d) { say_n(fd, d, strlen(d)); }

/* Hear until the other end closes, or so many bytes came. Returns how many; *end: 0 open, 1 closed, 2 reset. */
static size_t hear(struct http *h, int fd, char *to, size_t want, size_t cap, int *how)
{
	int64_t stop = __real_clock_ms() + LIMIT;
	size_t n = 0;

	*how = 0;
	while (n < want && __real_clock_ms() < stop) {
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
static void heard(struct http *h, int fd, const char *want)
{
	static char b[GOT];
	int how;

	hear(h, fd, b, GOT, GOT, &how);
	assert_string_equal(b, want);
	assert_int_equal(how, 1);
	close(fd);
}

/* So many bytes, and the connection stays. */
static void heard_so_far(struct http *h, int fd, const char *want)
{
	static char b[GOT];
	int how;

	hear(h, fd, b, strlen(want), GOT, &how);
	assert_string_equal(b, want);
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

static void answers_are_bare(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	struct http_field f[] = {
		{ "X-A", "b\r\nX-B: c" }, { "Connection", "close" }, { "Content-length", "7" }, { "Transfer-Encoding", "x" }
	};
	int fd = dial(h);

	(void)st;
	say(fd, "GET /a?b=c HTTP/1.1\r\nHost: x\r\nX-Empty:\r\nX-Trail: v \t\r\n\r\n");
	UNTIL(h, s.requests == 1);
	assert_string_equal(s.verb, "GET");
	assert_string_equal(s.target, "/a?b=c");
	assert_int_equal(s.nf, 3);
	assert_null(http_request(h, s.token[0])->body);
	assert_string_equal(http_get(http_request(h, s.token[0])->f, 3, "x-empty"), "");
	assert_string_equal(http_get(http_request(h, s.token[0])->f, 3, "X-TRAIL"), "v");
	assert_int_equal(http_busy(h), 1);
	http_answer(h, s.token[0], 200, f, 4, "hi", 2);
	assert_null(http_request(h, s.token[0]));
	http_answer(h, s.token[0], 500, f, 4, "no", 2); /* it is over */
	http_answer(h, 12345, 500, f, 4, "no", 2);
	heard_so_far(h, fd, "HTTP/1.1 200 OK\r\nX-A: b  X-B: c\r\nContent-Length: 2\r\n\r\nhi");
	say(fd, "HEAD / HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 2);
	http_answer(h, s.token[1], 503, NULL, 0, "hi", 2);
	heard_so_far(h, fd, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n");
	say(fd, "DELETE / HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 3);
	http_begin(h, s.token[2], 204, NULL, 0, -1);
	http_write(h, s.token[2], "hi", 2);
	http_finish(h, s.token[2]);
	heard_so_far(h, fd, "HTTP/1.1 204 No Content\r\n\r\n");
	say(fd, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 4);
	http_begin(h, s.token[3], 200, NULL, 0, -1);
	http_write(h, s.token[3], "hello, hello, hello", 19);
	http_write(h, s.token[3], "", 0);
	http_write(h, s.token[3], "!", 1);
	heard_so_far(h, fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n13\r\nhello, hello, hello\r\n1\r\n!\r\n");
	http_finish(h, s.token[3]);
	heard_so_far(h, fd, "0\r\n\r\n");
	say(fd, "GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n");
	UNTIL(h, s.requests == 5);
	http_answer(h, s.token[4], 299, NULL, 0, NULL, 0);
	heard(h, fd, "HTTP/1.1 299 Other\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	fd = dial(h);
	say(fd, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
	UNTIL(h, s.requests == 6);
	http_begin(h, s.token[5], 200, NULL, 0, -1);
	http_write(h, s.token[5], "hi", 2);
	http_finish(h, s.token[5]);
	heard(h, fd, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi");
	assert_int_equal(http_busy(h), 0);
	assert_int_equal(s.gone, 0);
	end(&s);
}

/* An answer that holds for a while only: given in time, and not sent before its process stood still. */
static void an_answer_past_its_time_never_leaves(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	char b[GOT];
	int fd = dial(h), how;

	(void)st;
	say(fd, "GET /a HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 1);
	http_answer_until(h, s.token[0], __wrap_clock_ms() + 400);
	http_answer(h, s.token[0], 200, NULL, 0, "old", 3);
	moved += 20000;
	assert_int_equal(hear(h, fd, b, GOT, GOT, &how), 0);
	assert_int_equal(how, 2);
	assert_int_equal(http_busy(h), 0);
	close(fd);
	fd = dial(h);
	say(fd, "GET /a HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 2);
	http_answer_until(h, s.token[1], __wrap_clock_ms() + LIMIT);
	http_answer(h, s.token[1], 200, NULL, 0, "new", 3);
	heard_so_far(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
	say(fd, "GET /b HTTP/1.1\r\n\r\n"); /* the next one on the connection holds for ever */
	UNTIL(h, s.requests == 3);
	http_answer(h, s.token[2], 200, NULL, 0, "any", 3);
	moved += 2 * LIMIT;
	heard_so_far(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nany");
	close(fd);
	end(&s);
}

static void one_at_a_time(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int fd = dial(h), i;

	(void)st;
	say(fd, "\r\n\r\nPOST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\n\r\n"
		"\r\nPOST /3 HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n");
	UNTIL(h, s.requests == 1);
	say(fd, "3;x=\"y\"\r\nthr\r\n0002\r\nee\r\n0\r\nX-Trailer: 1\r\n\r\nGET /4 HT");
	for (i = 0; i < 20; i++)
		http_wait(h, 0);
	assert_int_equal(s.requests, 1); /* the others wait */
	assert_string_equal(s.target, "/1");
	assert_memory_equal(http_request(h, s.token[0])->body, "one", 3);
	http_answer(h, s.token[0], 200, NULL, 0, "1", 1);
	UNTIL(h, s.requests == 2);
	assert_string_equal(s.target, "/2");
	http_answer(h, s.token[1], 200, NULL, 0, "2", 1);
	UNTIL(h, s.requests == 3);
	assert_string_equal(s.target, "/3");
	assert_int_equal(s.nb, 5);
	assert_memory_equal(s.body, "three", 5);
	http_answer(h, s.token[2], 200, NULL, 0, "3", 1);
	heard_so_far(h, fd,
		     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2"
		     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n3");
	say(fd, "TP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 4);
	assert_string_equal(s.target, "/4");
	close(fd);
	UNTIL(h, s.gone == 1);
	end(&s);
}

static void byte_by_byte(void **st)
{
	static const char all[] =
	    "POST /x HTTP/1.1\r\nHost: y\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n"
	    "PUT /y HTTP/1.1\r\nContent-Length: 2\r\n\r\nok";
	struct seen s;
	struct http *h = begin(&s);
	int fd = dial(h);
	const char *p;

	(void)st;
	s.answer = 1;
	for (p = all; *p; p++) {
		say_n(fd, p, 1);
		http_wait(h, 1000);
		http_wait(h, 0);
	}
	heard_so_far(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello!HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	assert_int_equal(s.requests, 2);
	close(fd);
	end(&s);
}

#define BAD "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
#define HELLO "GET /smuggled HTTP/1.1\r\n\r\n"

static void smuggling(void **st)
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
	struct seen s;
	struct http *h = begin(&s);
	size_t i, j;

	(void)st;
	s.answer = 1;
	for (i = 0; i < sizeof bad / sizeof *bad; i++) {
		int fd = dial(h);

		say_n(fd, bad[i].d, bad[i].n);
		heard(h, fd, BAD);
		if (s.requests)
			fail_msg("number %zu was delivered: %s", i, bad[i].d);
		fd = dial(h);
		for (j = 0; j < bad[i].n; j++) {
			say_n(fd, bad[i].d + j, 1);
			http_wait(h, 0);
		}
		heard(h, fd, BAD);
		if (s.requests)
			fail_msg("number %zu was delivered byte by byte: %s", i, bad[i].d);
	}
	assert_int_equal(http_count(h).bad, 2 * i);
	end(&s);
}

static void too_large(void **st)
{
	static const char big[] = "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
	static const char head[] = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
	struct seen s;
	struct http *h = begin(&s);
	struct http_limits small = { 100, 10, 5000, 60000 };
	static char fill[300000];
	int fd = dial(h);

	(void)st;
	memset(fill, 'a', sizeof fill);
	say(fd, "GET / HTTP/1.1\r\nX: ");
	say_n(fd, fill, 3000);
	heard(h, fd, head);
	fd = dial(h);
	say(fd, "GET /");
	say_n(fd, fill, 2048 - 17);
	say(fd, " HTTP/1.1\r\n\r\n");
	heard(h, fd, head);
	fd = dial(h);
	say(fd, "POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n");
	say_n(fd, fill, sizeof fill); /* the answer is heard all the same */
	heard(h, fd, big);
	fd = dial(h);
	say(fd, "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 300000\r\n\r\n");
	say_n(fd, fill, sizeof fill);
	heard(h, fd, big);
	fd = dial(h);
	say(fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n");
	heard(h, fd, big);
	http_limits(h, 1, &small);
	fd = dial(h);
	say(fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n5\r\nabcde\r\n0\r\n\r\n");
	heard(h, fd, big);
	assert_int_equal(s.requests, 0);
	s.answer = 1;
	fd = dial(h);
	say(fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n4\r\nabcd\r\n0\r\n\r\n");
	heard_so_far(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabcdefabcd");
	close(fd);
	end(&s);
}

static void continues(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int fd = dial(h);

	(void)st;
	s.answer = 1;
	say(fd, "POST / HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n");
	heard_so_far(h, fd, "HTTP/1.1 100 Continue\r\n\r\n");
	assert_int_equal(s.requests, 0);
	say(fd, "ok");
	heard_so_far(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	close(fd);
	end(&s);
}

static void abort_never_looks_whole(void **st)
{
	static const char *verb[] = { "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.0\r\n\r\n" };
	struct seen s;
	struct http *h = begin(&s);
	char b[GOT];
	int i, j, k, how;

	(void)st;
	for (i = 0; i < 2; i++)                   /* version */
		for (j = 0; j < 3; j++)           /* in chunks, with a length, unanswered */
			for (k = 0; k < 4; k++) { /* abort at once, after its bytes were read, finish a short one, write too much */
				int fd = dial(h), n = s.requests;
				uint64_t t;

				say(fd, verb[i]);
				UNTIL(h, s.requests == n + 1);
				t = s.token[n];
				if (j < 2) {
					http_begin(h, t, 200, NULL, 0, j ? 8 : -1);
					http_write(h, t, "abcd", 4);
				}
				if (k == 1 && j < 2)
					hear(h, fd, b, 1, GOT, &how);
				if (k == 2 && j)
					http_finish(h, t);
				else if (k == 3 && j == 1)
					http_write(h, t, "abcdefgh", 8);
				else
					http_abort(h, t);
				http_write(h, t, "x", 1);
				http_finish(h, t);
				hear(h, fd, b, GOT, GOT, &how);
				assert_int_equal(how, 2);
				assert_null(strstr(b, "0\r\n\r\n"));
				assert_null(http_request(h, t));
				close(fd);
			}
	assert_int_equal(s.gone, 0);
	assert_int_equal(http_busy(h), 0);
	end(&s);
}

static void gone_once(void **st)
{
	struct linger l = { 1, 0 };
	struct seen s;
	struct http *h = begin(&s);
	int i, j;

	(void)st;
	for (i = 0; i < 3; i++)
		for (j = 0; j < 3; j++) {
			int fd = dial(h), n = s.requests, k;

			say(fd, "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
			UNTIL(h, s.requests == n + 1);
			if (j)
				http_begin(h, s.token[n], 200, NULL, 0, -1);
			if (j == 2)
				say(fd, "GET /early HTTP/1.1\r\n\r\n");
			if (i == 0)
				shutdown(fd, SHUT_WR);
			if (i == 1)
				setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
			if (i)
				close(fd);
			if (j == 1) /* writes find out first */
				for (k = 0; k < 3; k++)
					http_write(h, s.token[n], "more", 4);
			UNTIL(h, s.gone == n + 1);
			assert_true(s.gone_token == s.token[n]);
			http_write(h, s.token[n], "more", 4);
			http_finish(h, s.token[n]);
			http_answer(h, s.token[n], 200, NULL, 0, "x", 1);
			for (k = 0; k < 5; k++)
				http_wait(h, 0);
			assert_int_equal(s.gone, n + 1);
			assert_int_equal(s.requests, n + 1);
			if (!i)
				close(fd);
		}
	assert_int_equal(http_busy(h), 0);
	end(&s);
}

static void leaves(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int idle = dial(h), busy = dial(h), begun = dial(h), half = dial(h), unread, port = http_port(h, 1), how;
	char b[GOT];

	(void)st;
	say(idle, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 1);
	http_answer(h, s.token[0], 200, NULL, 0, "1", 1);
	heard_so_far(h, idle, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
	say(busy, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 2);
	say(begun, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 3);
	http_begin(h, s.token[2], 200, NULL, 0, -1);
	heard_so_far(h, begun, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	say(half, "GET / HT");
	http_wait(h, 1000);
	unread = dial(h);
	UNTIL(h, http_count(h).accepted == 5);
	http_shut(h, 1);
	hear(h, unread, b, 1, GOT, &how);
	assert_true(how > 0);
	close(unread);
	{
		struct sockaddr_in sa = { .sin_family = AF_INET,
					  .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
					  .sin_port = htons((uint16_t)port) };
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		assert_int_equal(connect(fd, (struct sockaddr *)&sa, sizeof sa), -1);
		assert_int_equal(errno, ECONNREFUSED);
		close(fd);
	}
	/* who has been served before goes on */
	say(idle, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 4);
	http_answer(h, s.token[3], 200, NULL, 0, "2", 1);
	heard_so_far(h, idle, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2");
	http_leave(h, 1);
	heard(h, idle, "");
	http_answer(h, s.token[1], 200, NULL, 0, "2", 1);
	heard(h, busy, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2");
	http_finish(h, s.token[2]);
	heard(h, begun, "0\r\n\r\n");
	s.answer = 1;
	say(half, "TP/1.1\r\n\r\n");
	heard(h, half, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	assert_int_equal(http_busy(h), 0);
	assert_int_equal(s.gone, 0);
	end(&s);
}

/* Closed without a word. */
static void slow_callers(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int fresh = dial(h), head = dial(h), body = dial(h), busy = dial(h), kept = dial(h);
	char b[1];
	int i;

	(void)st;
	say(head, "GET / HTTP/1.1\r\nX: ");
	say(body, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
	say(busy, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 1);
	say(kept, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 2);
	http_answer(h, s.token[1], 200, NULL, 0, "1", 1);
	heard_so_far(h, kept, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
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
	http_answer(h, s.token[0], 200, NULL, 0, "1", 1); /* who waits for us is not closed */
	heard_so_far(h, busy, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
	close(busy);
	end(&s);
}

static void backlog(void **st)
{
	enum { PIECE = 50000, PIECES = 200 };
	struct seen s;
	struct http *h = begin(&s);
	int fd = dial(h), i, how;
	char *piece = malloc(PIECE), *b = malloc(PIECE * (PIECES + 1));
	size_t n = 0, want;

	(void)st;
	say(fd, "GET / HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 1);
	http_begin(h, s.token[0], 200, NULL, 0, PIECE * PIECES);
	for (i = 0; i < PIECES; i++) {
		memset(piece, 'a' + i % 26, PIECE);
		http_write(h, s.token[0], piece, PIECE);
		http_wait(h, 0);
	}
	assert_true(http_backlog(h, s.token[0]) > 0);
	http_finish(h, s.token[0]);
	for (i = 0; i < 5; i++)
		http_wait(h, 0);
	assert_int_equal(s.requests, 1);
	assert_int_equal(http_busy(h), 1);
	want = strlen("HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n") + PIECE * PIECES;
	n = hear(h, fd, b, want, PIECE * (PIECES + 1), &how);
	assert_int_equal(n, want);
	for (i = 0; i < PIECES; i++) {
		char *p = b + want - PIECE * (size_t)(PIECES - i);

		assert_int_equal(p[0], 'a' + i % 26);
		assert_memory_equal(p, p + 1, PIECE - 1);
	}
	UNTIL(h, s.requests == 2);
	/* who takes nothing and leaves */
	http_begin(h, s.token[1], 200, NULL, 0, -1);
	for (i = 0; i < PIECES; i++)
		http_write(h, s.token[1], piece, PIECE);
	http_wait(h, 0);
	close(fd);
	UNTIL(h, s.gone == 1);
	free(piece);
	free(b);
	end(&s);
}

/* More than is taken in while a request waits for its answer. */
static void many_early(void **st)
{
	enum { N = 6000 };
	static const char one[] = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n",
			  ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
	struct seen s;
	struct http *h = begin(&s);
	int fd = dial(h), i, how;
	size_t n = 0, off = 0, want = N * sizeof ok;
	char *all = malloc(N * sizeof one + 1), *b = malloc(want + 2);

	(void)st;
	for (i = 0; i < N; i++)
		n += (size_t)sprintf(all + n, "%s%c", one, 'a' + i % 26);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	while (off < n) {
		ssize_t k = send(fd, all + off, n - off, MSG_NOSIGNAL);

		if (k > 0) {
			off += (size_t)k;
		} else { /* it takes no more until the first is answered */
			assert_int_equal(errno, EAGAIN);
			if (s.requests == 1 && !s.answer) {
				s.answer = 1;
				http_answer(h, s.token[0], 200, NULL, 0, "a", 1);
			}
		}
		http_wait(h, 0);
	}
	if (!s.answer) {
		UNTIL(h, s.requests == 1);
		s.answer = 1;
		http_answer(h, s.token[0], 200, NULL, 0, "a", 1);
	}
	assert_int_equal(hear(h, fd, b, want, want + 2, &how), want);
	for (i = 0; i < N; i++)
		assert_int_equal(b[(size_t)i * sizeof ok + sizeof ok - 1], 'a' + i % 26);
	assert_int_equal(s.requests, N);
	close(fd);
	free(all);
	free(b);
	end(&s);
}

/* ---- a planned stop, and limits that change, under requests that have come ---- */

static const char leaving_ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

static const char get_a[] = "GET /a HTTP/1.1\r\n\r\n";

/* A request that stands unread in the kernel when the door leaves is served, and not reset. */
static void leaving_reads_what_has_come(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int fd = dial(h);

	(void)st;
	s.answer = 1;
	say(fd, get_a);
	heard_so_far(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	say(fd, get_a);
	http_leave(h, 1);
	heard(h, fd, leaving_ok);
	assert_int_equal(s.requests, 2);
	assert_int_equal(http_busy(h), 0);
	end(&s);
	h = begin(&s); /* it comes once the loop has looked, and before the connection is closed */
	s.answer = 1;
	fd = dial(h);
	UNTIL(h, http_count(h).accepted == 1);
	http_leave(h, 1);
	after_look.fd = fd;
	after_look.text = get_a;
	after_look.frozen_ms = 1;
	heard(h, fd, leaving_ok);
	end(&s);
}

/* What the listener's backlog holds when the door is shut is taken first, and so is what was said on it. */
static void shutting_takes_the_backlog(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int fd[20];
	char b[GOT];
	int how;

	(void)st;
	s.answer = 1;
	for (int i = 0; i < 20; i++) {
		fd[i] = dial(h);
		if (i % 2)
			say(fd[i], get_a);
	}
	http_leave(h, 1);
	http_shut(h, 1);
	for (int i = 1; i < 20; i += 2)
		heard(h, fd[i], leaving_ok);
	for (int i = 0; i < 20; i += 2) { /* who has said nothing is closed */
		assert_int_equal(hear(h, fd[i], b, GOT, GOT, &how), 0);
		assert_int_equal(how, 1);
		close(fd[i]);
	}
	assert_int_equal(s.requests, 10);
	end(&s);
}

/* An answer whose head left before the door leaves has not said that the connection closes: a request that has come behind it
 * is served, and the answer is not lost with a reset over unread bytes. */
static void leaving_keeps_the_answer_under_way(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int fd = dial(h);

	(void)st;
	say(fd, get_a);
	UNTIL(h, s.requests == 1);
	http_begin(h, s.token[0], 200, NULL, 0, 1);
	heard_so_far(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n");
	http_leave(h, 1);
	http_wait(h, 0);
	say(fd, get_a); /* unread when the answer ends */
	http_write(h, s.token[0], "x", 1);
	http_finish(h, s.token[0]);
	s.answer = 1;
	heard(h, fd, "xHTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	assert_int_equal(s.requests, 2);
	end(&s);
}

/* Requests that were read behind one another: the last of them is told that the connection closes. */
static void leaving_answers_what_was_read_behind(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int fd = dial(h);

	(void)st;
	say(fd, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
	UNTIL(h, s.requests == 1);
	say(fd, "GET /3 HTTP/1.1\r\n\r\n");
	http_wait(h, 1000);
	http_leave(h, 1);
	s.answer = 1;
	http_answer(h, s.token[0], 200, NULL, 0, "1", 1);
	heard(h, fd,
	      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
	      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	assert_int_equal(s.requests, 3);
	assert_int_equal(http_busy(h), 0);
	end(&s);
}

/* A time is over, and the bytes that it waited for have come since the loop looked: they are read first. */
static void bytes_go_before_their_timer(void **st)
{
	static const char *const before[] = { "", "GET /a HT", "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\na" };
	static const char *const rest[] = { "GET /a HTTP/1.1\r\n\r\n", "TP/1.1\r\n\r\n", "b" };
	struct seen s;
	struct http *h = begin(&s);

	(void)st;
	s.answer = 1;
	for (int i = 0; i < 3; i++) {
		int fd = dial(h), accepted = i + 1;

		say(fd, before[i]);
		UNTIL(h, http_count(h).accepted == (uint64_t)accepted);
		for (int k = 0; k < 3; k++)
			http_wait(h, 5);
		after_look.fd = fd;
		after_look.text = rest[i];
		after_look.frozen_ms = 61000;
		http_wait(h, 0);
		UNTIL(h, s.requests == i + 1);
		close(fd);
	}
	end(&s);
}

/* A head has its time as a whole: bytes that come when it is over, and do not end it, buy no more. */
static void a_slow_head_gains_no_time(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int fd = dial(h);
	char b[1];

	(void)st;
	say(fd, "GET /a HT");
	http_wait(h, 1000);
	http_wait(h, 1000);
	after_look.fd = fd;
	after_look.text = "TP/1.1\r\nX: ";
	after_look.frozen_ms = 5001;
	http_wait(h, 0);
	assert_int_equal(recv(fd, b, 1, MSG_DONTWAIT), 0);
	close(fd);
	end(&s);
}

/* Longer times that come into force hold for who waits already. */
static void longer_times_hold_at_once(void **st)
{
	struct http_limits brief = { 2048, 16384, 1000, 1000 };
	struct seen s;
	struct http *h = begin(&s);
	int idle, head, body;
	char b[1];

	(void)st;
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
	s.answer = 1;
	say(idle, get_a);
	say(head, "y\r\n\r\n");
	say(body, "cde");
	UNTIL(h, s.requests == 3);
	moved += 61000;
	heard(h, idle, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	close(head);
	close(body);
	end(&s);
}

/* A body that was let in goes on under the limit that it was let in by. */
static void a_lower_limit_ends_no_body_under_way(void **st)
{
	struct http_limits small = { 2048, 4, 5000, 60000 };
	struct seen s;
	struct http *h = begin(&s);
	int fd = dial(h);

	(void)st;
	s.answer = 1;
	say(fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
	UNTIL(h, http_receiving(h, 1) == 1);
	http_limits(h, 1, &small);
	say(fd, "3\r\ndef\r\n0\r\n\r\n");
	heard_so_far(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef");
	say(fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n");
	heard(h, fd, "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	end(&s);
}

enum { LARGE = 12 << 20 };

/* A large answer, given whole; read by somebody who takes a little of it each time that the clock has moved on. */
static size_t hear_slowly(struct http *h, int fd, size_t want, int64_t step_ms, int *how)
{
	static char b[LARGE + 1000];
	size_t n = 0;

	*how = 0;
	while (n < want && !*how) {
		size_t got = hear(h, fd, b, want - n < 1 << 20 ? want - n : 1 << 20, sizeof b, how);

		n += got;
		moved += step_ms;
		http_wait(h, 0);
	}
	return n;
}

static size_t give_large(struct seen *s, int fd)
{
	char *body = calloc(1, LARGE);
	char text[100];

	say(fd, get_a);
	UNTIL(s->h, s->requests == 1);
	http_answer(s->h, s->token[0], 200, NULL, 0, body, LARGE);
	free(body);
	return (size_t)snprintf(text, sizeof text, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", LARGE) + LARGE;
}

/* A slow link that moves is not cut off, however long the answer takes in all; one that does not move is. */
static void a_slow_link_that_moves_is_not_cut(void **st)
{
	struct http_limits brief = { 2048, 16384, 1000, 1000 };
	int how, fd;
	struct seen s;
	struct http *h = begin(&s);
	size_t want;

	(void)st;
	http_limits(h, 1, &brief);
	fd = dial(h);
	want = give_large(&s, fd);
	assert_int_equal(hear_slowly(h, fd, want, 900, &how), want);
	assert_int_equal(how, 0);
	close(fd);
	end(&s);
	h = begin(&s);
	http_limits(h, 1, &brief);
	fd = dial(h);
	want = give_large(&s, fd);
	http_wait(h, 0);
	moved += 1100;
	http_wait(h, 0);
	moved += 1100;
	http_wait(h, 0);
	assert_true(hear_slowly(h, fd, want, 0, &how) < want);
	assert_int_not_equal(how, 0);
	close(fd);
	end(&s);
}

/* A caller that has ended its half once its answer was given still takes the rest of it. */
static void a_half_close_does_not_cut_a_given_answer(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int fd = dial(h), how;
	size_t want;

	(void)st;
	want = give_large(&s, fd);
	http_wait(h, 0);
	shutdown(fd, SHUT_WR);
	http_wait(h, 100);
	assert_int_equal(hear_slowly(h, fd, want, 0, &how), want);
	heard(h, fd, "");
	assert_int_equal(s.gone, 0);
	assert_int_equal(http_busy(h), 0);
	end(&s);
}

/* A body that its client holds back until it is asked for goes on while the door leaves. */
static void leaving_asks_for_the_body(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int fd = dial(h);

	(void)st;
	s.answer = 1;
	say(fd, "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
	http_leave(h, 1);
	http_shut(h, 1);
	heard_so_far(h, fd, "HTTP/1.1 100 Continue\r\n\r\n");
	assert_int_equal(http_receiving(h, 1), 1);
	say(fd, "ok");
	heard(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
	end(&s);
}

/* No descriptor is left for what the listener's backlog holds when the door is shut: the rest goes on as ever. */
static void shutting_without_descriptors(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int first = dial(h), second, how;
	struct rlimit was, few;
	char b[GOT];

	(void)st;
	s.answer = 1;
	UNTIL(h, http_count(h).accepted == 1);
	second = dial(h);
	say(first, get_a);
	say(second, get_a);
	assert_return_code(getrlimit(RLIMIT_NOFILE, &was), errno);
	few = (struct rlimit){ (rlim_t)second + 1, was.rlim_max };
	assert_return_code(setrlimit(RLIMIT_NOFILE, &few), errno);
	http_leave(h, 1);
	http_shut(h, 1);
	assert_return_code(setrlimit(RLIMIT_NOFILE, &was), errno);
	heard(h, first, leaving_ok);
	hear(h, second, b, GOT, GOT, &how);
	assert_int_not_equal(how, 0); /* closed unread */
	close(second);
	assert_int_equal(s.requests, 1);
	assert_int_equal(http_busy(h), 0);
	end(&s);
}

/* Each request that was read whole has one outcome. */
static void each_request_has_one_outcome(void **st)
{
	static const char get_old[] = "GET / HTTP/1.0\r\n\r\n";
	struct http_field again[] = { { "Retry-After", "1.5" } };
	uint64_t want[HTTP_OUTCOMES] = { 0 };
	struct seen s;
	struct http *h = begin(&s);
	int fd;

	(void)st;
	for (int i = 0; i < 7; i++) {
		struct http_counts n;

		fd = dial(h);
		say(fd, i == 3 ? get_old : get_a);
		UNTIL(h, s.requests == i + 1);
		assert_int_equal(http_unsettled(h), 1);
		if (i == 0)
			http_answer(h, s.token[i], 200, NULL, 0, "x", 1);
		if (i == 1)
			http_answer(h, s.token[i], 503, again, 1, "", 0);
		if (i == 2)
			http_answer(h, s.token[i], 503, NULL, 0, "", 0);
		if (i == 3)
			http_begin(h, s.token[i], 200, NULL, 0, -1);
		if (i == 3 || i == 4)
			http_abort(h, s.token[i]);
		if (i == 5)
			close(fd);
		if (i == 6) {
			http_answer_until(h, s.token[i], clock_ms() - 1);
			http_answer(h, s.token[i], 200, NULL, 0, "x", 1);
		}
		want[(int[]){ HTTP_ANSWERED, HTTP_REFUSED, HTTP_ANSWERED, HTTP_CUT_ABORTED, HTTP_CUT_ABORTED, HTTP_CLIENT_GONE,
			      HTTP_CUT_LATE }[i]]++;
		UNTIL(h, !http_unsettled(h));
		n = http_count(h);
		assert_memory_equal(n.outcome, want, sizeof want);
		if (i != 5)
			close(fd);
	}
	fd = dial(h);
	say(fd, "GET /bad\r\n\r\n"); /* never read whole */
	UNTIL(h, http_count(h).bad == 1);
	assert_int_equal(http_unsettled(h), 0);
	close(fd);
	end(&s);
}

/* The loop is closed while answers are on their way, over bytes that nobody has read: the answers arrive. */
static void closing_loses_no_answer(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	int given = dial(h), lingers = dial(h), waits = dial(h);
	char b[200];

	(void)st;
	say(given, get_a);
	UNTIL(h, s.requests == 1);
	say(lingers, "GET / HTTP/1.1\r\nConnection: close\r\n\r\nsurplus");
	UNTIL(h, s.requests == 2);
	say(waits, get_a);
	UNTIL(h, s.requests == 3);
	http_answer(h, s.token[1], 200, NULL, 0, "2", 1);
	http_wait(h, 0);
	assert_int_equal(http_unsettled(h), 2);
	http_answer(h, s.token[0], 200, NULL, 0, "1", 1);
	say(given, "surplus");
	say(lingers, "surplus");
	end(&s);
	assert_int_equal(recv(given, b, sizeof b, 0), 39);
	assert_int_equal(recv(given, b, sizeof b, 0), 0);
	assert_int_equal(recv(lingers, b, sizeof b, 0), 58);
	assert_int_equal(recv(lingers, b, sizeof b, 0), 0);
	assert_int_equal(recv(waits, b, sizeof b, 0), 0);
	close(given);
	close(lingers);
	close(waits);
}

/* A request that is read in part when the process ends is refused with when to come back, and the client hears it. */
static void what_is_incomplete_is_refused(void **st)
{
	static const char refused[] =
	    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
	struct seen s;
	struct http *h = begin(&s);
	int head = dial(h), body = dial(h), chunk = dial(h), idle = dial(h), waits = dial(h);

	(void)st;
	say(head, "GET /a HT");
	say(body, "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
	say(chunk, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
	say(waits, get_a);
	UNTIL(h, s.requests == 1 && http_receiving(h, 1) == 3);
	http_leave(h, 1);
	http_shut(h, 1);
	http_refuse_incomplete(h, 1, 500);
	assert_int_equal(http_receiving(h, 1), 0);
	say(body, "cde"); /* was on its way, and is read over */
	heard(h, head, refused);
	heard(h, body, refused);
	heard(h, chunk, refused);
	heard(h, idle, "");
	http_answer(h, s.token[0], 200, NULL, 0, "", 0);
	heard(h, waits, leaving_ok);
	assert_int_equal(s.requests, 1);
	assert_int_equal(http_busy(h), 0);
	end(&s);
}

/* What is understood does not depend on how the bytes are cut, however odd they are. */
struct understood {
	int requests, bad;
	char what[GOT];
	size_t n;
	char said[GOT];
};

static void write_down(struct seen *s, const char *what, uint64_t token)
{
	struct understood *u = s->arg;

	if (strcmp(what, "request"))
		return;
	(void)token;
	u->n += (size_t)snprintf(u->what + u->n, GOT - u->n, "%s %s %d %.*s\n", s->verb, s->target, s->nf, (int)s->nb, s->body);
}

static void understand(const char *d, size_t n, unsigned seed, struct understood *u)
{
	struct seen s;
	struct http *h = begin(&s);
	uint64_t r = 99 + seed;
	size_t off, k, got = 0;
	int fd = dial(h), idle;

	memset(u, 0, sizeof *u);
	s.answer = 1;
	s.hook = write_down;
	s.arg = u;
	UNTIL(h, http_count(h).accepted == 1);
	for (off = 0; off < n; off += k) {
		k = seed ? 1 + rnd(&r, rnd(&r, 3) ? 4 : 60) : n;
		k = k < n - off ? k : n - off;
		say_n(fd, d + off, k);
		http_wait(h, 0);
	}
	for (idle = 0; idle < 8; idle++) {
		int before = s.requests;
		ssize_t m = __real_recv(fd, u->said + got, GOT - 1 - got, MSG_DONTWAIT);

		if (m > 0)
			got += (size_t)m;
		http_wait(h, 0);
		if (m > 0 || s.requests > before)
			idle = 0;
	}
	u->requests = s.requests;
	u->bad = (int)http_count(h).bad;
	close(fd);
	end(&s);
}

static void cut_anywhere(void **st)
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
	unsigned seed, whole = 0, bad = 0;

	(void)st;
	for (seed = 1; seed <= 600; seed++) {
		uint64_t r = seed * 7777777ull;
		size_t n = 0;
		int i, k = 2 + (int)rnd(&r, 14);

		for (i = 0; i < k; i++)
			n += (size_t)sprintf(d + n, "%s",
					     part[rnd(&r, 2) ? rnd(&r, parts) : parts - 1 - rnd(&r, 4)]); /* half of them whole */
		for (i = (int)rnd(&r, 3); i--;)
			d[rnd(&r, (unsigned)n)] = "\r\n \t:;\0a0,\xff"[rnd(&r, 11)];
		understand(d, n, 0, &a);
		understand(d, n, seed, &b);
		/* an interim answer is asked for only while its body has not come */
		if (a.requests != b.requests || a.bad != b.bad || strcmp(a.what, b.what))
			fail_msg("seed %u: %d and %d requests, %d and %d refused\n%.*s\n--\n%s--\n%s", seed, a.requests, b.requests,
				 a.bad, b.bad, (int)n, d, a.what, b.what);
		whole += (unsigned)a.requests;
		bad += (unsigned)a.bad;
	}
	print_message("600 seeds: %u requests, %u refused\n", whole, bad);
	assert_true(whole > 100 && bad > 100);
}

static void *waker(void *arg)
{
	http_wake(arg);
	return NULL;
}

static void wakes(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	pthread_t t;
	int i;

	(void)st;
	for (i = 0; i < 20; i++) {
		int64_t at = __real_clock_ms();

		assert_int_equal(pthread_create(&t, NULL, waker, h), 0);
		http_wait(h, LIMIT);
		assert_true(__real_clock_ms() - at < LIMIT / 2);
		pthread_join(t, NULL);
		http_wait(h, 0); /* a second wake before the first was seen is the same one */
	}
	end(&s);
}

/* ---- client ---- */

static void speak_first(struct there *t)
{
	t->c = accept(t->fd, NULL, NULL);
	say(t->c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly");
}

static struct there serve(void)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t n = sizeof sa;
	struct there t = { socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), -1, 0 };

	assert_return_code(bind(t.fd, (struct sockaddr *)&sa, sizeof sa), errno);
	assert_return_code(listen(t.fd, 64), errno);
	getsockname(t.fd, (struct sockaddr *)&sa, &n);
	t.addr = addr_of(ntohs(sa.sin_port));
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

static struct http_out get(void)
{
	return (struct http_out){ .verb = "GET",
				  .target = "/t",
				  .f = host,
				  .nf = 1,
				  .not_after = __wrap_clock_ms() + 5000,
				  .connect_ms = 1000,
				  .limit_ms = 10000 };
}

#define GET "GET /t HTTP/1.1\r\nHost: x\r\n\r\n"

static void answers_as_read(void **st)
{
	enum { OPEN = 0, SHUT = 1, RESET = 2 };
	static const struct {
		const char *says;
		int then;
		enum http_end how;
		int status;
		const char *body;
		int kept;
		const char *verb;
	} all[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_WHOLE, 200, "hi", 1, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", SHUT, HTTP_WHOLE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", OPEN, HTTP_WHOLE, 200, "", 1, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1;x\r\n!\r\n0\r\n\r\n", OPEN, HTTP_WHOLE, 200,
		  "hi!", 1, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n", OPEN, HTTP_WHOLE, 200, "", 1, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi", OPEN, HTTP_WHOLE, 200, "hi", 0, "GET" },
		{ "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_WHOLE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiho", OPEN, HTTP_WHOLE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\nho", OPEN, HTTP_WHOLE, 200, "hi", 0,
		  "GET" },
		{ "HTTP/1.1 204 No\r\n\r\n", OPEN, HTTP_WHOLE, 204, "", 1, "GET" },
		{ "HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n", OPEN, HTTP_WHOLE, 304, "", 1, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", OPEN, HTTP_WHOLE, 200, "", 1, "HEAD" },
		{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		  OPEN, HTTP_WHOLE, 200, "hi", 1, "GET" },
		{ "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", SHUT, HTTP_WHOLE, 200, "hi", 0, "GET" },
		{ "HTTP/1.0 200 OK\r\n\r\nhi", SHUT, HTTP_WHOLE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_WHOLE, 200, "hi", 0,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\n\r\nhi", SHUT, HTTP_BROKE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", RESET, HTTP_BROKE, 200, NULL, 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", SHUT, HTTP_BROKE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nhi", SHUT, HTTP_BROKE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", SHUT, HTTP_BROKE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n", SHUT, HTTP_BROKE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r", SHUT, HTTP_BROKE, 200, "hi", 0,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhiXX0\r\n\r\n", OPEN, HTTP_BROKE, 200, "hi", 0,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", OPEN, HTTP_BROKE, 200, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_BROKE, 0, "", 0,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_BROKE, 0, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nhi", OPEN, HTTP_BROKE, 0, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhi", SHUT, HTTP_BROKE, 0, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_BROKE, 0, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi", OPEN, HTTP_BROKE, 0, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", SHUT, HTTP_BROKE, 0, "", 0, "GET" },
		{ "HTTP/1.1 101 Up\r\nUpgrade: x\r\n\r\n", OPEN, HTTP_BROKE, 0, "", 0, "GET" },
		{ "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_BROKE, 0, "", 0, "GET" },
		{ "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_BROKE, 0, "", 0, "GET" },
		{ "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_BROKE, 0, "", 0, "GET" },
		{ "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_BROKE, 0, "", 0, "GET" },
		{ "GET / HTTP/1.1\r\n\r\n", OPEN, HTTP_BROKE, 0, "", 0, "GET" },
		{ "nonsense\r\n\r\n", OPEN, HTTP_BROKE, 0, "", 0, "GET" },
		{ "", SHUT, HTTP_BROKE, 0, "", 0, "GET" },
		{ "", RESET, HTTP_BROKE, 0, "", 0, "GET" },
	};
	struct linger l = { 1, 0 };
	struct seen s;
	struct http *h = begin(&s);
	size_t i;
	int split;

	(void)st;
	for (split = 0; split < 2; split++)
		for (i = 0; i < sizeof all / sizeof *all; i++) {
			struct there t = serve();
			uint64_t k = 2 * i + (uint64_t)split + 1;
			struct http_out q = get();
			struct call *c = &s.call[k];
			uint64_t connects = http_count(h).connects;
			char want[64];
			const char *p;

			q.verb = all[i].verb;
			snprintf(want, sizeof want, "%s /t HTTP/1.1\r\nHost: x\r\n\r\n", q.verb);
			http_call(h, k, t.addr, &q);
			assert_false(http_sent(h, k));
			taken(h, &t);
			heard_so_far(h, t.c, want);
			assert_true(http_sent(h, k));
			assert_false(c->done);
			for (p = all[i].says; split && *p; p++) {
				say_n(t.c, p, 1);
				http_wait(h, 0);
			}
			if (!split)
				say(t.c, all[i].says);
			if (all[i].then == RESET)
				setsockopt(t.c, SOL_SOCKET, SO_LINGER, &l, sizeof l);
			if (all[i].then)
				close(t.c);
			UNTIL(h, c->done);
			if ((int)c->how != (int)all[i].how || c->status != all[i].status || c->bad ||
			    (all[i].body && (c->n != strlen(all[i].body) || memcmp(c->got, all[i].body, c->n))))
				fail_msg("number %zu, split %d: how %d status %d body %.*s", i, split, c->how, c->status, (int)c->n,
					 c->got);
			http_wait(h, 0);
			http_wait(h, 0);
			q = get();
			http_call(h, 1000, t.addr, &q);
			UNTIL(h, http_sent(h, 1000) || s.call[1000].done);
			if ((int)(http_count(h).connects - connects) !=
			    (split && all[i].kept == 0 && all[i].how == HTTP_WHOLE ? 2 : 2 - all[i].kept))
				fail_msg("number %zu, split %d: kept wrongly", i, split);
			http_cancel(h, 1000);
			if (!all[i].then)
				close(t.c);
			close(t.fd);
		}
	end(&s);
}

static void pass_piece_on(void *ctx, uint64_t token, const char *d, size_t n)
{
	struct seen *s = ctx;

	(void)token;
	http_begin(s->h, s->token[0], 200, NULL, 0, -1);
	http_write(s->h, s->token[0], d, n);
	http_finish(s->h, s->token[0]);
}

/* A piece of a server's answer goes on as it is, also when the head before it makes a leaving door look for another request. */
static void a_look_behind_a_request_spoils_no_piece(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	struct there t = serve();
	struct http_out q = get();
	int fd = dial(h);

	(void)st;
	h->on.body = pass_piece_on;
	say(fd, get_a);
	UNTIL(h, s.requests == 1);
	http_leave(h, 1);
	http_call(h, 1, t.addr, &q);
	taken(h, &t);
	heard_so_far(h, t.c, GET);
	say(t.c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
	UNTIL(h, s.call[1].status == 200);
	say(t.c, "body"); /* read by itself */
	s.answer = 1;
	after_look.fd = fd;
	after_look.text = "GET /a/path/that/is/longer/than/the/head/and/the/body/of/the/answer/that/is/passed/on HTTP/1.1\r\n\r\n";
	heard(h, fd,
	      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	close(t.c);
	close(t.fd);
	end(&s);
}

static void head_too_large(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	struct there t = serve();
	struct http_out q = get();
	int i;

	(void)st;
	http_call(h, 1, t.addr, &q);
	taken(h, &t);
	heard_so_far(h, t.c, GET);
	say(t.c, "HTTP/1.1 200 OK\r\n");
	for (i = 0; i < 7000 && !s.call[1].done; i++) {
		say(t.c, "X: 12345678\r\n");
		http_wait(h, 0);
	}
	UNTIL(h, s.call[1].done);
	assert_int_equal(s.call[1].how, HTTP_BROKE);
	close(t.c);
	close(t.fd);
	end(&s);
}

/* One call over a connection that is kept afterwards. */
static void keep_one(struct seen *s, struct there *t, uint64_t k, const char *more)
{
	struct http_out q = get();
	char b[200];

	http_call(s->h, k, t->addr, &q);
	if (t->c < 0)
		taken(s->h, t);
	heard_so_far(s->h, t->c, GET);
	snprintf(b, sizeof b, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nhi", more);
	say(t->c, b);
	UNTIL(s->h, s->call[k].done);
	assert_int_equal(s->call[k].how, HTTP_WHOLE);
}

static void kept_connections(void **st)
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
	struct linger l = { 1, 0 };
	struct seen s;
	struct http *h = begin(&s);
	struct http_out q = get();
	struct there t = serve(), u;
	uint64_t k = 0, n;
	size_t i;
	int j;

	(void)st;
	for (i = 0; i < 3; i++)
		keep_one(&s, &t, ++k, "");
	assert_int_equal(http_count(h).connects, 1);
	q.fresh = 1;
	http_call(h, ++k, t.addr, &q);
	close(t.c);
	taken(h, &t);
	heard_so_far(h, t.c, GET);
	http_cancel(h, k);
	close(t.c);
	/* how long they are kept */
	for (i = 0; i < sizeof all / sizeof *all; i++) {
		t.c = -1;
		n = http_count(h).connects;
		keep_one(&s, &t, ++k, all[i].more);
		moved += all[i].ms;
		q = get();
		http_call(h, ++k, t.addr, &q);
		UNTIL(h, http_sent(h, k));
		if ((int)(http_count(h).connects - n) != 2 - all[i].used)
			fail_msg("number %zu", i);
		http_cancel(h, k);
		http_forget(h, t.addr);
		close(t.c);
		while ((t.c = accept(t.fd, NULL, NULL)) >= 0)
			close(t.c);
	}
	/* spoilt while kept: closed, spoken on, reset; seen by the loop or only just before the next call */
	for (i = 0; i < 3; i++)
		for (j = 0; j < 2; j++) {
			struct pollfd p;

			t.c = -1;
			keep_one(&s, &t, ++k, "");
			n = http_count(h).connects;
			if (i == 0)
				shutdown(t.c, SHUT_WR);
			if (i == 1)
				say(t.c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
			if (i == 2) {
				setsockopt(t.c, SOL_SOCKET, SO_LINGER, &l, sizeof l);
				close(t.c);
			}
			for (; j && i < 2; http_wait(h, 0)) {
				p = (struct pollfd){ t.c, POLLIN, 0 };
				if (poll(&p, 1, 1) > 0)
					break;
			}
			q = get();
			http_call(h, ++k, t.addr, &q);
			UNTIL(h, http_sent(h, k) || s.call[k].done);
			assert_false(s.call[k].done);
			assert_int_equal(http_count(h).connects, n + 1);
			http_cancel(h, k);
			if (i < 2)
				close(t.c);
			while ((t.c = accept(t.fd, NULL, NULL)) >= 0)
				close(t.c);
		}
	/* forgotten, also by a call that was under way */
	t.c = -1;
	keep_one(&s, &t, ++k, "");
	http_forget(h, t.addr);
	heard(h, t.c, "");
	q = get();
	http_call(h, ++k, t.addr, &q);
	taken(h, &t);
	heard_so_far(h, t.c, GET);
	http_forget(h, t.addr);
	say(t.c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
	UNTIL(h, s.call[k].done);
	assert_int_equal(s.call[k].how, HTTP_WHOLE);
	n = http_count(h).connects;
	q = get();
	http_call(h, ++k, t.addr, &q);
	UNTIL(h, http_sent(h, k));
	assert_int_equal(http_count(h).connects, n + 1);
	http_cancel(h, k);
	heard(h, t.c, "");
	while ((t.c = accept(t.fd, NULL, NULL)) >= 0)
		close(t.c);
	/* no more than told */
	u = t;
	http_most(h, t.addr, 2);
	t.c = -1;
	keep_one(&s, &t, ++k, "");
	q = get();
	http_call(h, ++k, t.addr, &q);
	http_call(h, ++k, t.addr, &q);
	http_call(h, ++k, t.addr, &q);
	assert_false(s.call[k].done);
	UNTIL(h, s.call[k].done);
	assert_int_equal(s.call[k].how, HTTP_NEVER);
	http_cancel(h, k - 1);
	http_cancel(h, k - 2);
	close(t.c);
	while ((u.c = accept(t.fd, NULL, NULL)) >= 0)
		close(u.c);
	/* a fresh one takes the place of one that is kept */
	t.c = -1;
	http_most(h, t.addr, 1);
	keep_one(&s, &t, ++k, "");
	q.fresh = 1;
	http_call(h, ++k, t.addr, &q);
	heard(h, t.c, "");
	taken(h, &t);
	heard_so_far(h, t.c, GET);
	close(t.c);
	UNTIL(h, s.call[k].done);
	assert_int_equal(s.call[k].how, HTTP_BROKE);
	close(t.fd);
	end(&s);
}

static void never_and_late(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	struct there t = serve(), full;
	struct http_out q = get();
	static char big[1 << 24];
	int fd[8], i, how;
	char b[GOT];
	size_t n;

	(void)st;
	/* nobody there */
	close(t.fd);
	http_call(h, 1, t.addr, &q);
	assert_int_equal(s.call[1].done, 0);
	UNTIL(h, s.call[1].done);
	assert_int_equal(s.call[1].how, HTTP_NEVER);
	/* too late before it is begun, and by the time the connection is there */
	t = serve();
	q = get();
	http_call(h, 2, t.addr, &q);
	moved += 5001;
	UNTIL(h, s.call[2].done);
	assert_int_equal(s.call[2].how, HTTP_NEVER);
	q = get();
	http_call(h, 3, t.addr, &q);
	freeze = 5001; /* between connecting and sending */
	UNTIL(h, s.call[3].done);
	assert_int_equal(s.call[3].how, HTTP_NEVER);
	/* a server that answers before it was asked */
	q = get();
	while ((i = accept(t.fd, NULL, NULL)) >= 0)
		close(i);
	http_call(h, 10, t.addr, &q);
	early = &t;
	UNTIL(h, s.call[10].done);
	assert_int_equal(s.call[10].how, HTTP_NEVER);
	assert_int_equal(s.call[10].n, 0);
	assert_int_equal(hear(h, t.c, b, GOT, GOT, &how), 0); /* nothing of the request came */
	assert_true(how > 0);
	close(t.c);
	/* on a kept connection, which is whole afterwards */
	t.c = -1;
	while ((i = accept(t.fd, NULL, NULL)) >= 0)
		close(i);
	keep_one(&s, &t, 4, "Keep-Alive: timeout=1000\r\n");
	q = get();
	http_call(h, 5, t.addr, &q);
	moved += 5001;
	UNTIL(h, s.call[5].done);
	assert_int_equal(s.call[5].how, HTTP_NEVER);
	keep_one(&s, &t, 6, "");
	assert_int_equal(http_count(h).kept_used, 1);
	/* no answer within the limit */
	q = get();
	http_call(h, 7, t.addr, &q);
	heard_so_far(h, t.c, GET);
	moved += 9000;
	http_wait(h, 0);
	assert_false(s.call[7].done);
	moved += 1001;
	UNTIL(h, s.call[7].done);
	assert_int_equal(s.call[7].how, HTTP_BROKE);
	heard(h, t.c, "");
	/* a request that stops halfway goes no further after its time */
	q = get();
	q.verb = "POST";
	q.body = big;
	q.len = sizeof big;
	http_call(h, 8, t.addr, &q);
	taken(h, &t);
	UNTIL(h, http_sent(h, 8));
	for (i = 0; i < 20; i++)
		http_wait(h, 0);
	moved += 5001;
	UNTIL(h, s.call[8].done);
	assert_int_equal(s.call[8].how, HTTP_BROKE);
	for (n = 0, how = 0; !how; n += hear(h, t.c, b, 1, GOT, &how))
		;
	assert_true(n < sizeof big);
	close(t.c);
	/* a queue of connections that is full: connecting ends in its time */
	full = serve();
	listen(full.fd, 0);
	for (i = 0; i < 8; i++) {
		struct sockaddr_in sa = { .sin_family = AF_INET,
					  .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
					  .sin_port = htons((uint16_t)full.addr) };

		fd[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		connect(fd[i], (struct sockaddr *)&sa, sizeof sa);
	}
	q = get();
	http_call(h, 9, full.addr, &q);
	for (i = 0; i < 20; i++)
		http_wait(h, 0);
	assert_false(http_sent(h, 9));
	moved += 1001;
	UNTIL(h, s.call[9].done);
	assert_int_equal(s.call[9].how, HTTP_NEVER);
	for (i = 0; i < 8; i++)
		close(fd[i]);
	close(full.fd);
	close(t.fd);
	for (i = 1; i < 11; i++)
		assert_false(s.call[i].bad);
	end(&s);
}

static void requests_as_written(void **st)
{
	struct http_field f[] = { { "Host", "x" },
				  { "content-length", "9" },
				  { "Transfer-Encoding", "chunked" },
				  { "X", "a\r\nb" },
				  { "Connection", "close" } };
	struct seen s;
	struct http *h = begin(&s);
	struct there t = serve();
	struct http_out q = get();

	(void)st;
	q.f = f;
	q.nf = 5;
	q.verb = "POST";
	http_call(h, 1, t.addr, &q);
	taken(h, &t);
	heard_so_far(h, t.c, "POST /t HTTP/1.1\r\nHost: x\r\nX: a  b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
	http_cancel(h, 1);
	close(t.c);
	q.body = "body";
	q.len = 4;
	q.nf = 1;
	q.verb = "GET";
	http_call(h, 2, t.addr, &q);
	taken(h, &t);
	heard_so_far(h, t.c, "GET /t HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody");
	http_cancel(h, 2);
	close(t.c);
	close(t.fd);
	end(&s);
}

/* ---- anything from within a callback ---- */

struct within {
	const char *what;
	int act;
	uint64_t addr;
};

static void act(struct seen *s, const char *what, uint64_t token)
{
	struct within *w = s->arg;
	struct http_out q = get();
	uint64_t mine = s->requests ? s->token[s->requests - 1] : 0;

	if (strcmp(w->what, what))
		return;
	w->what = "";
	switch (w->act) {
	case 0:
		if (!s->call[token < MANY ? token : 0].done)
			s->call[token < MANY ? token : 0].cancelled = 1;
		http_cancel(s->h, token);
		http_cancel(s->h, token);
		break;
	case 1:
		http_cancel(s->h, 1);
		s->call[1].cancelled = !s->call[1].done;
		http_call(s->h, 2, w->addr, &q);
		http_cancel(s->h, 2);
		break;
	case 2:
		http_forget(s->h, w->addr);
		http_most(s->h, w->addr, 1);
		http_call(s->h, 3, w->addr, &q);
		break;
	case 3:
		http_abort(s->h, mine);
		http_finish(s->h, mine);
		break;
	case 4:
		http_answer(s->h, mine, 200, NULL, 0, "x", 1);
		http_abort(s->h, mine);
		break;
	case 5:
		http_begin(s->h, mine, 200, NULL, 0, -1);
		http_write(s->h, mine, "x", 1);
		http_finish(s->h, mine);
		http_leave(s->h, 1);
		break;
	case 6:
		http_shut(s->h, 1);
		http_leave(s->h, 1);
		http_abort(s->h, mine);
		break;
	}
}

static void from_within(void **st)
{
	static const char *what[] = { "request", "gone", "head", "body", "done" };
	struct within w;
	struct seen s;
	int i, j, k, n;

	(void)st;
	for (i = 0; i < 5; i++)
		for (j = 0; j < 7; j++)
			for (k = 0; k < 2; k++) { /* the caller leaves, or not */
				struct http *h = begin(&s);
				struct http_out q = get();
				struct there t = serve();
				int fd = dial(h), how;
				char b[GOT];

				w = (struct within){ what[i], j, t.addr };
				s.hook = act;
				s.arg = &w;
				http_call(h, 1, t.addr, &q);
				taken(h, &t);
				hear(h, t.c, b, strlen(GET), GOT, &how);
				say(fd, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
				say(t.c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n");
				if (k)
					shutdown(fd, SHUT_WR);
				for (n = 0; n < 10; n++)
					http_wait(h, n < 3);
				for (n = 0; n < 4; n++)
					if (s.call[n].bad || s.call[n].done > 1)
						fail_msg("%s, act %d, call %d", what[i], j, n);
				close(t.c);
				close(t.fd);
				close(fd);
				for (n = 0; n < 5; n++)
					http_wait(h, 0);
				end(&s);
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

static void liar_answer(struct liar *l, struct liar_conn *c, int id)
{
	static char body[4096];
	size_t n = body_of(id, body), i, k;
	unsigned how = l->fair ? rnd(&l->r, 4) : rnd(&l->r, 24);
	char *o = c->out;

#define ADD(...) (o += sprintf(o, __VA_ARGS__))
#define PUT(p, m) (memcpy(o, p, m), o += (m))
	c->step = l->fair || rnd(&l->r, 4) ? sizeof c->out : 1 + rnd(&l->r, 400);
	c->closing = 0;
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
			k = 1 + rnd(&l->r, 999);
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
		c->closing = 1;
	} else {
		ADD("Content-Length: %zu\r\n\r\n", n);
		PUT(body, n);
	}
	switch (how) {
	case 10:
	case 13: /* ends early */
		o = c->out + rnd(&l->r, (unsigned)(o - c->out));
		c->closing = 1;
		break;
	case 12:
	case 15: /* resets early, or behind */
		o = c->out + rnd(&l->r, (unsigned)(o - c->out) + 1);
		c->closing = 2;
		break;
	case 14:
	case 17: /* surplus */ ADD("surplus"); break;
	case 16: /* twice */
		n = (size_t)(o - c->out);
		if (n < 4400)
			PUT(c->out, n);
		break;
	case 18: /* silence */ o = c->out; break;
	case 19:
	case 20:
	case 6: c->closing = 1; break;
	}
	c->off = 0;
	c->len = (size_t)(o - c->out);
}

/* Returns the id of a request that is now whole, 0 for none, -1 when the caller has gone. */
static int liar_read(struct liar *l, struct liar_conn *c)
{
	ssize_t k = recv(c->fd, c->b + c->n, sizeof c->b - 1 - c->n, MSG_DONTWAIT);
	char *end, *p, *id;
	size_t all;

	if (!k || (k < 0 && errno != EAGAIN))
		return -1;
	if (k < 0)
		return 0;
	c->n += (size_t)k;
	c->b[c->n] = 0;
	if (!(end = strstr(c->b, "\r\n\r\n")))
		return 0;
	p = strstr(c->b, "Content-Length: ");
	id = strstr(c->b, "X-Id: ");
	all = (size_t)(end + 4 - c->b) + (p && p < end ? strtoul(p + 16, NULL, 10) : 0);
	if (c->n < all)
		return 0;
	assert_non_null(id);
	assert_in_range(atoi(id + 6), 1, CALLS);
	assert_int_equal(c->n, all); /* one at a time */
	l->arrived[atoi(id + 6)]++;
	c->n = 0;
	return atoi(id + 6);
}

/* What has come counts as having arrived, though it is not answered. */
static void liar_end(struct liar *l, struct liar_conn *c, int reset)
{
	struct linger lg = { 1, 0 };
	size_t n;

	do
		n = c->n;
	while (!liar_read(l, c) && c->n > n);
	if (reset)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &lg, sizeof lg);
	close(c->fd);
	c->fd = -1;
}

static void liar_step(struct liar *l)
{
	int i, id;

	for (i = 0; i < LIARS; i++) {
		struct liar_conn *c = &l->c[i];
		ssize_t k;

		if (c->fd < 0) {
			if ((c->fd = accept(l->t.fd, NULL, NULL)) < 0)
				continue;
			fcntl(c->fd, F_SETFL, O_NONBLOCK);
			c->n = c->off = c->len = 0;
			c->closing = 0;
			if (!l->fair && !rnd(&l->r, 30)) {
				liar_end(l, c, (int)rnd(&l->r, 2));
				continue;
			}
			if (!l->fair && !rnd(&l->r, 30))
				say(c->fd, "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nearly");
		}
		if (c->off < c->len) { /* what it says is said to the end, then it listens */
			k = send(c->fd, c->out + c->off, c->len - c->off < c->step ? c->len - c->off : c->step, MSG_NOSIGNAL);
			if (k > 0)
				c->off += (size_t)k;
			else if (errno != EAGAIN)
				liar_end(l, c, 0);
			if (c->fd < 0 || c->off < c->len)
				continue;
		}
		if (c->closing) {
			liar_end(l, c, c->closing == 2);
			continue;
		}
		if (!l->fair && !rnd(&l->r, 150)) {
			if (rnd(&l->r, 3)) {
				liar_end(l, c, (int)rnd(&l->r, 2));
				continue;
			}
			say(c->fd, "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 4\r\n\r\nlate");
		}
		if ((id = liar_read(l, c)) < 0)
			liar_end(l, c, 0);
		else if (id)
			liar_answer(l, c, id);
		else if (c->n && !l->fair && !rnd(&l->r, 10))
			say(c->fd, "HTTP/1.1 413 No\r\nX-Id: 0\r\nContent-Length: 3\r\n\r\nbig"); /* before it has read all */
	}
}

struct liar_sum {
	int whole, never, broke, cancelled, other;
	uint64_t kept;
};

static void lie(unsigned seed, int fair, struct liar_sum *sum)
{
	static struct liar l;
	static char body[4096], post[16000];
	struct seen s;
	struct http *h = begin(&s);
	int started = 0, open, i, over = 0;
	int64_t stop = __real_clock_ms() + LIMIT;

	memset(&l, 0, sizeof l);
	l.t = serve();
	l.r = 88172645463325252ull + seed * 7919ull;
	l.fair = fair;
	for (i = 0; i < LIARS; i++)
		l.c[i].fd = -1;
	if (!fair && seed % 3 == 0)
		http_most(h, l.t.addr, 4);
	for (over = 0; over < CALLS && __real_clock_ms() < stop;) {
		for (open = 0, over = 0, i = 1; i <= started; i++) {
			over += s.call[i].done || s.call[i].cancelled;
			open += !s.call[i].done && !s.call[i].cancelled;
		}
		while (started < CALLS && open < AT_ONCE) {
			char id[16];
			struct http_field f[] = { { "Host", "x" }, { "X-Id", id } };
			struct http_out q = { .verb = "POST",
					      .target = "/",
					      .f = f,
					      .nf = 2,
					      .not_after = __wrap_clock_ms() + 1000,
					      .connect_ms = 100,
					      .limit_ms = fair ? 10000 : 60 };

			snprintf(id, sizeof id, "%d", ++started);
			memset(post, 'p', sizeof post);
			q.body = post;
			q.len = rnd(&l.r, 2) ? rnd(&l.r, 100) : rnd(&l.r, sizeof post);
			q.fresh = !fair && !rnd(&l.r, 10);
			if (!fair && !rnd(&l.r, 30))
				q.not_after = __wrap_clock_ms() - (int)rnd(&l.r, 2);
			http_call(h, (uint64_t)started, l.t.addr, &q);
			open++;
		}
		if (!fair && !rnd(&l.r, 40) && started > 4) {
			i = started - (int)rnd(&l.r, 4);
			if (!s.call[i].done) {
				s.call[i].cancelled = 1;
				http_cancel(h, (uint64_t)i);
			}
		}
		if (!fair && !rnd(&l.r, 60))
			http_forget(h, l.t.addr);
		http_wait(h, (int)rnd(&l.r, 2));
		liar_step(&l);
	}
	assert_int_equal(over, CALLS);
	http_wait(h, 0);
	sum->kept += http_count(h).kept_used;
	http_close(h); /* all it ever sent is there to be read now */
	for (open = 1; open;) {
		for (open = 0, i = 0; i < LIARS; i++)
			open += l.c[i].fd >= 0;
		l.fair = 1;
		liar_step(&l);
	}
	for (i = 1; i <= CALLS; i++) {
		struct call *c = &s.call[i];
		size_t n;
		const char *why = NULL;

		if (l.arrived[i] > 1)
			why = "arrived twice";
		if (c->bad)
			why = "was told wrongly";
		if (c->done + c->cancelled != 1)
			why = "did not end once";
		if (c->done && c->how == HTTP_NEVER && l.arrived[i])
			why = "never sent, and arrived";
		if (c->done && c->how == HTTP_WHOLE && atoi(c->x_id) == i && !l.arrived[i])
			why = "answered, and did not arrive";
		/* who answers is told by the id: bytes of another answer in this one's slot are whole in themselves */
		n = body_of(atoi(c->x_id), body);
		if (c->done && c->how == HTTP_WHOLE && atoi(c->x_id) && (c->n != n || memcmp(c->got, body, n)))
			why = "whole, and is not";
		if (fair && (!c->done || c->how != HTTP_WHOLE || atoi(c->x_id) != i || l.arrived[i] != 1))
			why = "of a fair server was not served";
		if (why)
			fail_msg("seed %u: call %d %s (how %d, arrived %u, id %s, %zu bytes)", seed, i, why, c->how, l.arrived[i],
				 c->x_id, c->n);
		sum->whole += c->done && c->how == HTTP_WHOLE;
		sum->never += c->done && c->how == HTTP_NEVER;
		sum->broke += c->done && c->how == HTTP_BROKE;
		sum->cancelled += c->cancelled;
		sum->other += c->done && c->how == HTTP_WHOLE && atoi(c->x_id) != i;
	}
	close(l.t.fd);
	free(s.call);
}

static void never_twice(void **st)
{
	const char *e = getenv("NL_SEEDS");
	unsigned seeds = e ? (unsigned)atoi(e) : 25, i;
	struct liar_sum sum = { 0 };

	(void)st;
	for (i = 1; i <= seeds; i++)
		lie(i, 0, &sum);
	print_message("%u seeds: whole %d, never %d, broke %d, cancelled %d, another's answer %d, kept connections used %llu\n",
		      seeds, sum.whole, sum.never, sum.broke, sum.cancelled, sum.other, (unsigned long long)sum.kept);
	assert_true(sum.whole && sum.never && sum.broke && sum.cancelled && sum.kept);
	for (i = 1; i <= 3; i++)
		lie(i, 1, &sum);
}

/* ---- what a request costs ---- */

/* A caller's request is sent on to a server, and its answer in pieces passed back. */
static void pass_on(struct seen *s, const char *what, uint64_t token)
{
	struct http_out q = get();
	uint64_t mine = s->token[s->requests - 1];

	if (!strcmp(what, "request"))
		http_call(s->h, (uint64_t)s->requests, ((struct there *)s->arg)->addr, &q);
	else if (!strcmp(what, "head"))
		http_begin(s->h, mine, s->call[token].status, NULL, 0, -1);
	else if (!strcmp(what, "body"))
		http_write(s->h, mine, s->call[token].got, s->call[token].n);
	else if (!strcmp(what, "done"))
		http_finish(s->h, mine);
}

static void costs(void **st)
{
	enum { N = 500 };
	struct seen s;
	struct http *h = begin(&s);
	struct there t = serve();
	int fd = dial(h), i, n;

	(void)st;
	s.hook = pass_on;
	s.arg = &t;
	for (i = 0; i < N; i++) {
		say(fd, GET);
		counting = i > 0; /* connections apart */
		while (s.requests == i)
			http_wait(h, 1000);
		counting = 0;
		if (!i)
			taken(h, &t);
		heard_so_far(h, t.c, GET);
		while (!http_sent(h, (uint64_t)i + 1))
			http_wait(h, 0);
		say(t.c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
		counting = i > 0;
		while (!s.call[i + 1].done)
			http_wait(h, 1000);
		counting = 0;
		heard_so_far(h, fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
	}
	n = sys.waits + sys.recvs + sys.peeks + sys.sends + sys.others;
	print_message(
	    "%d requests passed on: %.2f system calls each (waits %.2f, reads %.2f, looks %.2f, sends %.2f, others %.2f), "
	    "%llu connection to the server\n",
	    N - 1, (double)n / (N - 1), (double)sys.waits / (N - 1), (double)sys.recvs / (N - 1), (double)sys.peeks / (N - 1),
	    (double)sys.sends / (N - 1), (double)sys.others / (N - 1), (unsigned long long)http_count(h).connects);
	assert_int_equal(http_count(h).connects, 1);
	/* a wait may end early by an old time, once in a while */
	assert_true(sys.sends <= 2 * N && sys.recvs <= 2 * N && sys.peeks <= N && !sys.others && sys.waits <= 2 * N + 10);
	close(fd);
	close(t.c);
	close(t.fd);
	end(&s);
}

/* A machine without power says nothing: each connection notices by itself. */
static void silence_is_noticed(void **st)
{
	struct seen s;
	struct http *h = begin(&s);
	struct there t = serve();
	struct http_out q = get();
	int fd = dial(h), i, found = 0;

	(void)st;
	http_call(h, 1, t.addr, &q);
	taken(h, &t);
	UNTIL(h, http_count(h).accepted == 1 && http_sent(h, 1));
	for (i = 0; i < 256; i++) {
		struct sockaddr_in sa;
		socklen_t n = sizeof sa;
		int v[6] = { 0 }, k;

		if (i == fd || i == t.c || i == t.fd || getpeername(i, (struct sockaddr *)&sa, &n))
			continue;
		for (k = 0; k < 6; k++) {
			n = sizeof *v;
			getsockopt(
			    i, k == 5 ? SOL_SOCKET : IPPROTO_TCP,
			    (int[]){ TCP_NODELAY, TCP_USER_TIMEOUT, TCP_KEEPIDLE, TCP_KEEPINTVL, TCP_KEEPCNT, SO_KEEPALIVE }[k],
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
	end(&s);
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
