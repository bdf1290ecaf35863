/* A fixture for tests of lib/shell/http.h: the HTTP loop on real loopback sockets, with both far ends played
 * by the test in the same thread. Ports are given by the kernel, waits are on conditions and have limits. The
 * loop's clock can be moved on, and its system calls are counted, so a program that uses this file links with
 * --wrap for clock_ms, epoll_wait, epoll_ctl, recv and send. Always: nothing here sleeps, and every wait ends
 * after HTTP_FIXTURE_LIMIT_MS of real time. */
#ifndef NL_HTTP_FIXTURE_H
#define NL_HTTP_FIXTURE_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include <cmocka.h>

#include "http_internal.h"

enum {
	HTTP_FIXTURE_LIMIT_MS = 20000,
	HTTP_FIXTURE_READ_BYTES = 1 << 16, /* most that a test reads of one connection at once */
	HTTP_FIXTURE_TOKENS = 2048,        /* calls and requests that a recorder tells apart */
	HTTP_FIXTURE_BODY_BYTES = 8192     /* of an answer that is recorded */
};

/* The machine's clock, without what a test has added. */
int64_t __real_clock_ms(void);
int64_t __wrap_clock_ms(void);

/* The kernel's recv, without being counted. */
ssize_t __real_recv(int fd, void *d, size_t n, int flags);

/* What the loop's clock is ahead of the machine's, and for how long the process stands still in the loop's
 * next wait. */
struct http_fixture_clock {
	int64_t moved_ms;
	int64_t freeze_ms;
};
extern struct http_fixture_clock http_fixture_clock;

/* Written to the product in the loop's next wait, once that has looked at its sockets; the process then
 * stands still. */
struct http_fixture_write_after_wait {
	int fd;
	const char *text; /* NULL: nothing is written */
	int64_t frozen_ms;
};
extern struct http_fixture_write_after_wait http_fixture_after_wait;

/* System calls of the loop while `counting` is 1. */
struct http_fixture_calls {
	int counting;
	int waits;
	int recvs;
	int peeks;
	int sends;
	int others;
};
extern struct http_fixture_calls http_fixture_calls;

/* A server that the product calls: its listening socket, the connection accepted last (-1: none), its
 * address. */
struct test_server {
	int listener;
	int conn;
	uint64_t addr;
};

/* A server that answers before it is asked, in the loop's next wait; NULL: none. */
extern struct test_server *http_fixture_early_server;

/* A call to a server as the loop reported it. `bad` is set by a report that the contract of http.h forbids.
 */
struct recorded_call {
	int done;
	int cancelled;
	int status;
	int bad;
	enum http_call_result how;
	char x_id[16];
	char got[HTTP_FIXTURE_BODY_BYTES];
	size_t n; /* bytes of the answer's body, also those that found no room in `got` */
};

/* All that the loop reported: the newest request, requests and calls by token. */
struct http_recorder {
	struct http *h;
	uint64_t token[HTTP_FIXTURE_TOKENS];
	int requests; /* read so far */
	int removed;  /* whose clients have gone */
	int answer;   /* 1: each request is answered at once, with its own body */
	uint64_t gone_token;
	char verb[16];
	char target[256];
	char body[4096];
	size_t nb;                  /* bytes of the newest request's body */
	int nf;                     /* its fields */
	struct recorded_call *call; /* by token */
	void (*hook)(struct http_recorder *recorder, const char *what,
		     uint64_t token); /* at each report; may be NULL */
	void *arg;                    /* of the hook */
};

extern const struct http_limits http_fixture_limits;

/* A loop with one listener, whose reports go to *recorder; released by http_fixture_close. */
struct http *http_fixture_open(struct http_recorder *recorder);
void http_fixture_close(struct http_recorder *recorder);

/* The address of a port of this machine, as http.h takes it. */
uint64_t loopback_addr(int port);

/* A client's connection to the loop's listener; the caller closes it. */
int http_fixture_dial(struct http *h);

/* Write to a connection; what a closed one does not take is dropped. */
void http_fixture_write_bytes(int fd, const char *d, size_t n);
void http_fixture_write(int fd, const char *text);

/* Run the loop and read until the other end closes, or `expected` bytes came. Returns how many; *how: 0 the
 * connection is open, 1 closed, 2 reset. `to` is ended by a zero, so it has room for one byte more. */
size_t http_fixture_read(struct http *h, int fd, char *to, size_t expected, size_t cap, int *how);

/* The connection brings these bytes and its end; it is closed then. */
void http_fixture_expect_end(struct http *h, int fd, const char *expected);

/* The connection brings these bytes, and stays open. */
void http_fixture_expect(struct http *h, int fd, const char *expected);

/* Run the loop until a condition holds; fails when it does not within the limit. */
#define UNTIL(h, cond)                                                     \
	do {                                                               \
		int64_t stop_ = __real_clock_ms() + HTTP_FIXTURE_LIMIT_MS; \
		while (!(cond) && __real_clock_ms() < stop_)               \
			http_wait(h, 5);                                   \
		assert_true(cond);                                         \
	} while (0)

/* A listening server; the caller closes its sockets. */
struct test_server test_server_open(void);

/* Run the loop until it has connected. */
void test_server_accept(struct http *h, struct test_server *server);

/* Accept a connection and answer before anything was asked. */
void test_server_write_first(struct test_server *server);

/* A call GET /t with 5 s to leave and 10 s to end, and the bytes that it is on the wire. */
struct http_client_request get_request(void);
#define GET "GET /t HTTP/1.1\r\nHost: x\r\n\r\n"

/* A client's request, as short as may be. */
extern const char http_fixture_get_a[];

/* A random number below n; *r is the generator's state. */
unsigned random_below(uint64_t *r, unsigned n);

/* The command line's filter, and all tests of a program. */
#define RUN_HTTP_TESTS(tests)                                                                       \
	(apr_initialize(), getenv("NL_TEST") ? cmocka_set_test_filter(getenv("NL_TEST")) : (void)0, \
	 cmocka_run_group_tests(tests, NULL, NULL))

#endif
