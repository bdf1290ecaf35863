/* http_fixture: runs the HTTP loop of lib/shell/http.h on real loopback sockets. The test acts as the client
 * and as the server at the far ends, in the same thread. The kernel assigns the ports. The loop's clock can
 * be advanced, and its system calls are counted, so a program that uses this file links with --wrap for
 * clock_ms, epoll_wait, epoll_ctl, recv and send. Invariants: no function sleeps, each wait is for a
 * condition, and every wait ends after HTTP_FIXTURE_LIMIT_MS of real time. */
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
	HTTP_FIXTURE_READ_BYTES = 1 << 16, /* most bytes that a test reads from a connection in one call */
	HTTP_FIXTURE_TOKENS = 2048,    /* number of calls, and of newest requests, that a recorder stores */
	HTTP_FIXTURE_BODY_BYTES = 8192 /* bytes of a call's answer that a recorder stores */
};

/* __real_clock_ms is the machine's clock in ms; __wrap_clock_ms adds the offset http_fixture_clock.offset_ms.
 */
int64_t __real_clock_ms(void);
int64_t __wrap_clock_ms(void);

/* The kernel's recv; calls are not counted in http_fixture_calls. */
ssize_t __real_recv(int fd, void *d, size_t n, int flags);

/* The offset of the loop's clock, and a simulated freeze of the process. */
struct http_fixture_clock {
	int64_t offset_ms; /* loop's clock minus the machine's clock */
	int64_t freeze_ms; /* duration of a freeze at the start of the loop's next wait; 0: none */
};
extern struct http_fixture_clock http_fixture_clock;

/* In the loop's next wait, after epoll_wait has polled the sockets, `text` is written to `fd`, and the
 * process is then frozen for freeze_ms. */
struct http_fixture_write_after_wait {
	int fd;
	const char *text; /* NULL: nothing is written */
	int64_t freeze_ms;
};
extern struct http_fixture_write_after_wait http_fixture_after_wait;

/* Numbers of the loop's system calls while `counting` is 1. */
struct http_fixture_calls {
	int counting;
	int waits;      /* epoll_wait */
	int recvs;      /* recv without MSG_PEEK */
	int peeks;      /* recv with MSG_PEEK */
	int sends;      /* send */
	int epoll_ctls; /* epoll_ctl */
};
extern struct http_fixture_calls http_fixture_calls;

/* A server that the product calls. */
struct test_server {
	int listener;  /* listening socket */
	int conn;      /* socket of the connection accepted last; -1: none */
	uint64_t addr; /* address that the server listens on */
};

/* A server that accepts a connection and sends an answer in the loop's next wait, before it has received a
 * request; NULL: none. */
extern struct test_server *http_fixture_early_server;

/* A call to a server, as the loop's callbacks reported it. */
struct recorded_call {
	int done;              /* number of reports that the call has ended */
	int cancelled;         /* 1: the test has cancelled the call */
	int status;            /* status of the answer; 0: no response headers yet */
	int violates_contract; /* 1: a report violated the contract of http.h */
	enum http_call_result result;
	char x_id[16]; /* value of the answer's X-Id header */
	char body[HTTP_FIXTURE_BODY_BYTES];
	size_t body_bytes; /* bytes of the answer's body, including those that exceed the size of `body` */
};

/* Records the reports of a loop: the newest request, and all requests and calls by token. */
struct http_recorder {
	struct http *h;
	uint64_t token[HTTP_FIXTURE_TOKENS]; /* tokens of the newest requests, a ring indexed by `requests` */
	int requests;                        /* number of requests received */
	int disconnected_count;              /* number of requests whose clients have disconnected */
	int answer;                          /* 1: each request is answered immediately, with its own body */
	uint64_t disconnected_token;         /* token of the request whose client disconnected last */
	char method[16];                     /* method of the newest request */
	char target[256];                    /* target of the newest request */
	char body[4096];            /* body of the newest request, if it is shorter than this array */
	size_t body_bytes;          /* body length of the newest request, in bytes */
	int field_count;            /* number of header fields of the newest request */
	struct recorded_call *call; /* calls, indexed by token */
	/* called after each report, with its kind: request, gone, head, body or done; may be NULL */
	void (*hook)(struct http_recorder *recorder, const char *what, uint64_t token);
	void *arg; /* data for the hook; the test owns it */
};

extern const struct http_limits http_fixture_limits;

/* Open a loop with one listener, whose reports are stored in *recorder; release it with http_fixture_close.
 */
struct http *http_fixture_open(struct http_recorder *recorder);
void http_fixture_close(struct http_recorder *recorder);

/* The address of a port on the loopback interface, in the format of http.h. */
uint64_t loopback_addr(int port);

/* Connect a client to the loop's listener; returns the socket, which the caller closes. */
int http_fixture_dial(struct http *h);

/* Write to a connection; bytes that it no longer accepts because it is closed are dropped. */
void http_fixture_write_bytes(int fd, const char *d, size_t n);
void http_fixture_write(int fd, const char *text);

/* Run the loop and read until the other end closes the connection or `expected` bytes have arrived, and at
 * most HTTP_FIXTURE_LIMIT_MS. Returns the number of bytes read; *how: 0: the connection is open, 1: closed,
 * 2: reset. `to` has a size of `cap` bytes, including the terminating zero byte. */
size_t http_fixture_read(struct http *h, int fd, char *to, size_t expected, size_t cap, int *how);

/* Assert that exactly these bytes arrive on the connection, followed by its end; then close the socket. */
void http_fixture_expect_end(struct http *h, int fd, const char *expected);

/* Assert that these bytes arrive on the connection, and that it stays open. */
void http_fixture_expect(struct http *h, int fd, const char *expected);

/* Run the loop until `cond` is true; the test fails if that takes longer than HTTP_FIXTURE_LIMIT_MS. */
#define UNTIL(h, cond)                                                     \
	do {                                                               \
		int64_t stop_ = __real_clock_ms() + HTTP_FIXTURE_LIMIT_MS; \
		while (!(cond) && __real_clock_ms() < stop_)               \
			http_wait(h, 5);                                   \
		assert_true(cond);                                         \
	} while (0)

/* Open a listening server; the caller closes its sockets. */
struct test_server test_server_open(void);

/* Run the loop until it has connected to the server. */
void test_server_accept(struct http *h, struct test_server *server);

/* Accept a connection and send an answer before a request has arrived. */
void test_server_write_first(struct test_server *server);

/* A call GET /t that is to be sent within 5 s and times out after 10 s; GET is its text on the wire. */
struct http_client_request get_request(void);
#define GET "GET /t HTTP/1.1\r\nHost: x\r\n\r\n"

/* A short request of a client, without header fields. */
extern const char http_fixture_get_a[];

/* A random number below n; *r is the generator's state. */
unsigned random_below(uint64_t *r, unsigned n);

/* Run a program's tests: those that match the environment variable NL_TEST, or all. */
#define RUN_HTTP_TESTS(tests)                                                                       \
	(apr_initialize(), getenv("NL_TEST") ? cmocka_set_test_filter(getenv("NL_TEST")) : (void)0, \
	 cmocka_run_group_tests(tests, NULL, NULL))

#endif
