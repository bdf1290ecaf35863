/* HTTP as a server: what is a request and what is not, one answer for each in its order, limits on heads,
 * bodies, times and backlogs, clients that are slow or leave. On real sockets, see http_fixture.h. */
#include "http_fixture.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "shell.h"

static void answers_are_bare(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	struct http_field field[] = { { "X-A", "b\r\nX-B: c" },
				      { "Connection", "close" },
				      { "Content-length", "7" },
				      { "Transfer-Encoding", "x" } };
	int fd = http_fixture_dial(h);

	(void)state;
	http_fixture_write(fd, "GET /a?b=c HTTP/1.1\r\nHost: x\r\nX-Empty:\r\nX-Trail: v \t\r\n\r\n");
	UNTIL(h, recorder.requests == 1);
	assert_string_equal(recorder.method, "GET");
	assert_string_equal(recorder.target, "/a?b=c");
	assert_int_equal(recorder.field_count, 3);
	assert_null(http_request_find(h, recorder.token[0])->body);
	assert_string_equal(http_field_value(http_request_find(h, recorder.token[0])->fields, 3, "x-empty"),
			    "");
	assert_string_equal(http_field_value(http_request_find(h, recorder.token[0])->fields, 3, "X-TRAIL"),
			    "v");
	assert_int_equal(http_busy_count(h), 1);
	http_respond(h, recorder.token[0], 200, field, 4, "hi", 2);
	assert_null(http_request_find(h, recorder.token[0]));
	http_respond(h, recorder.token[0], 500, field, 4, "no", 2); /* it is over */
	http_respond(h, 12345, 500, field, 4, "no", 2);
	http_fixture_expect(h, fd, "HTTP/1.1 200 OK\r\nX-A: b  X-B: c\r\nContent-Length: 2\r\n\r\nhi");
	http_fixture_write(fd, "HEAD / HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 2);
	http_respond(h, recorder.token[1], 503, NULL, 0, "hi", 2);
	http_fixture_expect(h, fd, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n");
	http_fixture_write(fd, "DELETE / HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 3);
	http_response_begin(h, recorder.token[2], 204, NULL, 0, -1);
	http_response_write(h, recorder.token[2], "hi", 2);
	http_response_finish(h, recorder.token[2]);
	http_fixture_expect(h, fd, "HTTP/1.1 204 No Content\r\n\r\n");
	http_fixture_write(fd, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 4);
	http_response_begin(h, recorder.token[3], 200, NULL, 0, -1);
	http_response_write(h, recorder.token[3], "hello, hello, hello", 19);
	http_response_write(h, recorder.token[3], "", 0);
	http_response_write(h, recorder.token[3], "!", 1);
	http_fixture_expect(
	    h, fd,
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n13\r\nhello, hello, hello\r\n1\r\n!\r\n");
	http_response_finish(h, recorder.token[3]);
	http_fixture_expect(h, fd, "0\r\n\r\n");
	http_fixture_write(fd, "GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n");
	UNTIL(h, recorder.requests == 5);
	http_respond(h, recorder.token[4], 299, NULL, 0, NULL, 0);
	http_fixture_expect_end(h, fd,
				"HTTP/1.1 299 Other\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	fd = http_fixture_dial(h);
	http_fixture_write(fd, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
	UNTIL(h, recorder.requests == 6);
	http_response_begin(h, recorder.token[5], 200, NULL, 0, -1);
	http_response_write(h, recorder.token[5], "hi", 2);
	http_response_finish(h, recorder.token[5]);
	http_fixture_expect_end(h, fd, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi");
	assert_int_equal(http_busy_count(h), 0);
	assert_int_equal(recorder.disconnected_count, 0);
	http_fixture_close(&recorder);
}

/* An answer that holds for a while only: given in time, and not sent before its process stood still. */
static void an_answer_past_its_time_never_leaves(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	char b[HTTP_FIXTURE_READ_BYTES];
	int fd = http_fixture_dial(h), how;

	(void)state;
	http_fixture_write(fd, "GET /a HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 1);
	http_response_set_deadline(h, recorder.token[0], __wrap_clock_ms() + 400);
	http_respond(h, recorder.token[0], 200, NULL, 0, "old", 3);
	http_fixture_clock.offset_ms += 20000;
	assert_int_equal(http_fixture_read(h, fd, b, HTTP_FIXTURE_READ_BYTES, HTTP_FIXTURE_READ_BYTES, &how),
			 0);
	assert_int_equal(how, 2);
	assert_int_equal(http_busy_count(h), 0);
	close(fd);
	fd = http_fixture_dial(h);
	http_fixture_write(fd, "GET /a HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 2);
	http_response_set_deadline(h, recorder.token[1], __wrap_clock_ms() + HTTP_FIXTURE_LIMIT_MS);
	http_respond(h, recorder.token[1], 200, NULL, 0, "new", 3);
	http_fixture_expect(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
	http_fixture_write(fd, "GET /b HTTP/1.1\r\n\r\n"); /* the next one on the connection holds for ever */
	UNTIL(h, recorder.requests == 3);
	http_respond(h, recorder.token[2], 200, NULL, 0, "any", 3);
	http_fixture_clock.offset_ms += 2 * HTTP_FIXTURE_LIMIT_MS;
	http_fixture_expect(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nany");
	close(fd);
	http_fixture_close(&recorder);
}

static void one_at_a_time(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd = http_fixture_dial(h), i;

	(void)state;
	http_fixture_write(fd,
			   "\r\n\r\nPOST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\n\r\n"
			   "\r\nPOST /3 HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n");
	UNTIL(h, recorder.requests == 1);
	http_fixture_write(fd, "3;x=\"y\"\r\nthr\r\n0002\r\nee\r\n0\r\nX-Trailer: 1\r\n\r\nGET /4 HT");
	for (i = 0; i < 20; i++)
		http_wait(h, 0);
	assert_int_equal(recorder.requests, 1); /* the others wait */
	assert_string_equal(recorder.target, "/1");
	assert_memory_equal(http_request_find(h, recorder.token[0])->body, "one", 3);
	http_respond(h, recorder.token[0], 200, NULL, 0, "1", 1);
	UNTIL(h, recorder.requests == 2);
	assert_string_equal(recorder.target, "/2");
	http_respond(h, recorder.token[1], 200, NULL, 0, "2", 1);
	UNTIL(h, recorder.requests == 3);
	assert_string_equal(recorder.target, "/3");
	assert_int_equal(recorder.body_bytes, 5);
	assert_memory_equal(recorder.body, "three", 5);
	http_respond(h, recorder.token[2], 200, NULL, 0, "3", 1);
	http_fixture_expect(
	    h, fd,
	    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2"
	    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n3");
	http_fixture_write(fd, "TP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 4);
	assert_string_equal(recorder.target, "/4");
	close(fd);
	UNTIL(h, recorder.disconnected_count == 1);
	http_fixture_close(&recorder);
}

static void byte_by_byte(void **state)
{
	static const char all[] =
	    "POST /x HTTP/1.1\r\nHost: y\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n"
	    "PUT /y HTTP/1.1\r\nContent-Length: 2\r\n\r\nok";
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd = http_fixture_dial(h);
	const char *p;

	(void)state;
	recorder.answer = 1;
	for (p = all; *p; p++) {
		http_fixture_write_bytes(fd, p, 1);
		http_wait(h, 1000);
		http_wait(h, 0);
	}
	http_fixture_expect(
	    h, fd,
	    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello!HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	assert_int_equal(recorder.requests, 2);
	close(fd);
	http_fixture_close(&recorder);
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
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	size_t i, j;

	(void)state;
	recorder.answer = 1;
	for (i = 0; i < sizeof bad / sizeof *bad; i++) {
		int fd = http_fixture_dial(h);

		http_fixture_write_bytes(fd, bad[i].d, bad[i].n);
		http_fixture_expect_end(h, fd, BAD);
		if (recorder.requests)
			fail_msg("number %zu was delivered: %s", i, bad[i].d);
		fd = http_fixture_dial(h);
		for (j = 0; j < bad[i].n; j++) {
			http_fixture_write_bytes(fd, bad[i].d + j, 1);
			http_wait(h, 0);
		}
		http_fixture_expect_end(h, fd, BAD);
		if (recorder.requests)
			fail_msg("number %zu was delivered byte by byte: %s", i, bad[i].d);
	}
	assert_int_equal(http_counters_read(h).rejected_requests, 2 * i);
	http_fixture_close(&recorder);
}

static void too_large(void **state)
{
	static const char big[] =
	    "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
	static const char head[] =
	    "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	struct http_limits small = { 100, 10, 5000, 60000 };
	static char fill[300000];
	int fd = http_fixture_dial(h);

	(void)state;
	memset(fill, 'a', sizeof fill);
	http_fixture_write(fd, "GET / HTTP/1.1\r\nX: ");
	http_fixture_write_bytes(fd, fill, 3000);
	http_fixture_expect_end(h, fd, head);
	fd = http_fixture_dial(h);
	http_fixture_write(fd, "GET /");
	http_fixture_write_bytes(fd, fill, 2048 - 17);
	http_fixture_write(fd, " HTTP/1.1\r\n\r\n");
	http_fixture_expect_end(h, fd, head);
	fd = http_fixture_dial(h);
	http_fixture_write(fd, "POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n");
	http_fixture_write_bytes(fd, fill, sizeof fill); /* the answer is heard all the same */
	http_fixture_expect_end(h, fd, big);
	fd = http_fixture_dial(h);
	http_fixture_write(fd, "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 300000\r\n\r\n");
	http_fixture_write_bytes(fd, fill, sizeof fill);
	http_fixture_expect_end(h, fd, big);
	fd = http_fixture_dial(h);
	http_fixture_write(fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n");
	http_fixture_expect_end(h, fd, big);
	http_listener_set_limits(h, 1, &small);
	fd = http_fixture_dial(h);
	http_fixture_write(
	    fd,
	    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n5\r\nabcde\r\n0\r\n\r\n");
	http_fixture_expect_end(h, fd, big);
	assert_int_equal(recorder.requests, 0);
	recorder.answer = 1;
	fd = http_fixture_dial(h);
	http_fixture_write(
	    fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n4\r\nabcd\r\n0\r\n\r\n");
	http_fixture_expect(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabcdefabcd");
	close(fd);
	http_fixture_close(&recorder);
}

#define NO_MEMORY \
	"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

/* Guards against requests that together take more memory than the process has: those of all connections share
 * one limit, from their first byte to the end of their answers, however they announce their bodies. */
static void requests_share_a_limit_of_memory(void **state)
{
	static const char held[] = "POST / HTTP/1.1\r\nContent-Length: 6000\r\n\r\nabc";
	static const char *const refused[] = {
		"POST / HTTP/1.1\r\nContent-Length: 6000\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 999999999999999\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1770\r\na",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffff\r\na",
	};
	static const char small[] = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
	const struct http_limits limits = { SIZE_MAX, SIZE_MAX, 5000, 60000 };
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	static char fill[6000];
	int holder, fd;

	(void)state;
	memset(fill, 'a', sizeof fill);
	http_listener_set_limits(h, 1, &limits);
	http_set_request_memory_limit(h, 10000);
	holder = http_fixture_dial(h);
	http_fixture_write(holder, held);
	UNTIL(h, http_incomplete_request_count(h, 1) == 1);
	for (size_t i = 0; i < sizeof refused / sizeof *refused; i++) {
		fd = http_fixture_dial(h);
		http_fixture_write(fd, refused[i]);
		http_fixture_expect_end(h, fd, NO_MEMORY);
	}
	fd = http_fixture_dial(h); /* a head without an end */
	http_fixture_write(fd, "GET / HTTP/1.1\r\nX: ");
	http_fixture_write_bytes(fd, fill, sizeof fill);
	http_fixture_expect_end(h, fd, NO_MEMORY);
	assert_int_equal(recorder.requests, 0);
	recorder.answer = 1; /* what fits beside it is served, again and again on one connection */
	fd = http_fixture_dial(h);
	for (int i = 0; i < 2000; i++) {
		http_fixture_write(fd, small);
		http_fixture_expect(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
	}
	recorder.answer = 0; /* the request holds its memory until it is answered */
	http_fixture_write_bytes(holder, fill, 5997);
	UNTIL(h, recorder.requests == 2001);
	close(fd);
	fd = http_fixture_dial(h);
	http_fixture_write(fd, refused[0]);
	http_fixture_expect_end(h, fd, NO_MEMORY);
	http_respond(h, recorder.token[2000 % HTTP_FIXTURE_TOKENS], 200, NULL, 0, "", 0);
	http_fixture_expect(h, holder, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	fd = http_fixture_dial(h);
	http_fixture_write(fd, held);
	UNTIL(h, http_incomplete_request_count(h, 1) == 1);
	close(fd); /* and so does one whose client leaves */
	UNTIL(h, http_incomplete_request_count(h, 1) == 0);
	fd = http_fixture_dial(h);
	http_fixture_write(fd, held);
	http_fixture_write_bytes(fd, fill, 5997);
	UNTIL(h, recorder.requests == 2002);
	close(fd);
	close(holder);
	http_fixture_close(&recorder);
}

static void continues(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd = http_fixture_dial(h);

	(void)state;
	recorder.answer = 1;
	http_fixture_write(fd, "POST / HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n");
	http_fixture_expect(h, fd, "HTTP/1.1 100 Continue\r\n\r\n");
	assert_int_equal(recorder.requests, 0);
	http_fixture_write(fd, "ok");
	http_fixture_expect(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	close(fd);
	http_fixture_close(&recorder);
}

static void abort_never_looks_whole(void **state)
{
	static const char *verb[] = { "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.0\r\n\r\n" };
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	char b[HTTP_FIXTURE_READ_BYTES];
	int i, j, k, how;

	(void)state;
	for (i = 0; i < 2; i++)                   /* version */
		for (j = 0; j < 3; j++)           /* in chunks, with a length, unanswered */
			for (k = 0; k < 4; k++) { /* abort at once, after its bytes were read, finish a short
						     one, write too much */
				int fd = http_fixture_dial(h), n = recorder.requests;
				uint64_t t;

				http_fixture_write(fd, verb[i]);
				UNTIL(h, recorder.requests == n + 1);
				t = recorder.token[n];
				if (j < 2) {
					http_response_begin(h, t, 200, NULL, 0, j ? 8 : -1);
					http_response_write(h, t, "abcd", 4);
				}
				if (k == 1 && j < 2)
					http_fixture_read(h, fd, b, 1, HTTP_FIXTURE_READ_BYTES, &how);
				if (k == 2 && j)
					http_response_finish(h, t);
				else if (k == 3 && j == 1)
					http_response_write(h, t, "abcdefgh", 8);
				else
					http_response_abort(h, t);
				http_response_write(h, t, "x", 1);
				http_response_finish(h, t);
				http_fixture_read(h, fd, b, HTTP_FIXTURE_READ_BYTES, HTTP_FIXTURE_READ_BYTES,
						  &how);
				assert_int_equal(how, 2);
				assert_null(strstr(b, "0\r\n\r\n"));
				assert_null(http_request_find(h, t));
				close(fd);
			}
	assert_int_equal(recorder.disconnected_count, 0);
	assert_int_equal(http_busy_count(h), 0);
	http_fixture_close(&recorder);
}

static void gone_once(void **state)
{
	struct linger linger = { 1, 0 };
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int i, j;

	(void)state;
	for (i = 0; i < 3; i++)
		for (j = 0; j < 3; j++) {
			int fd = http_fixture_dial(h), n = recorder.requests, k;

			http_fixture_write(fd, "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
			UNTIL(h, recorder.requests == n + 1);
			if (j)
				http_response_begin(h, recorder.token[n], 200, NULL, 0, -1);
			if (j == 2)
				http_fixture_write(fd, "GET /early HTTP/1.1\r\n\r\n");
			if (i == 0)
				shutdown(fd, SHUT_WR);
			if (i == 1)
				setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
			if (i)
				close(fd);
			if (j == 1) /* writes find out first */
				for (k = 0; k < 3; k++)
					http_response_write(h, recorder.token[n], "more", 4);
			UNTIL(h, recorder.disconnected_count == n + 1);
			assert_true(recorder.disconnected_token == recorder.token[n]);
			http_response_write(h, recorder.token[n], "more", 4);
			http_response_finish(h, recorder.token[n]);
			http_respond(h, recorder.token[n], 200, NULL, 0, "x", 1);
			for (k = 0; k < 5; k++)
				http_wait(h, 0);
			assert_int_equal(recorder.disconnected_count, n + 1);
			assert_int_equal(recorder.requests, n + 1);
			if (!i)
				close(fd);
		}
	assert_int_equal(http_busy_count(h), 0);
	http_fixture_close(&recorder);
}

static void leaves(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int idle = http_fixture_dial(h), busy = http_fixture_dial(h), begun = http_fixture_dial(h),
	    half = http_fixture_dial(h), unread, port = http_listener_port(h, 1), how;
	char b[HTTP_FIXTURE_READ_BYTES];

	(void)state;
	http_fixture_write(idle, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 1);
	http_respond(h, recorder.token[0], 200, NULL, 0, "1", 1);
	http_fixture_expect(h, idle, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
	http_fixture_write(busy, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 2);
	http_fixture_write(begun, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 3);
	http_response_begin(h, recorder.token[2], 200, NULL, 0, -1);
	http_fixture_expect(h, begun, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	http_fixture_write(half, "GET / HT");
	http_wait(h, 1000);
	unread = http_fixture_dial(h);
	UNTIL(h, http_counters_read(h).accepted_connections == 5);
	http_listener_stop_accepting(h, 1);
	http_fixture_read(h, unread, b, 1, HTTP_FIXTURE_READ_BYTES, &how);
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
	http_fixture_write(idle, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 4);
	http_respond(h, recorder.token[3], 200, NULL, 0, "2", 1);
	http_fixture_expect(h, idle, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2");
	http_listener_drain(h, 1);
	http_fixture_expect_end(h, idle, "");
	http_respond(h, recorder.token[1], 200, NULL, 0, "2", 1);
	http_fixture_expect_end(h, busy,
				"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2");
	http_response_finish(h, recorder.token[2]);
	http_fixture_expect_end(h, begun, "0\r\n\r\n");
	recorder.answer = 1;
	http_fixture_write(half, "TP/1.1\r\n\r\n");
	http_fixture_expect_end(h, half, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	assert_int_equal(http_busy_count(h), 0);
	assert_int_equal(recorder.disconnected_count, 0);
	http_fixture_close(&recorder);
}

/* Closed without a word. */
static void slow_callers(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fresh = http_fixture_dial(h), head = http_fixture_dial(h), body = http_fixture_dial(h),
	    busy = http_fixture_dial(h), kept = http_fixture_dial(h);
	char b[1];
	int i;

	(void)state;
	http_fixture_write(head, "GET / HTTP/1.1\r\nX: ");
	http_fixture_write(body, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
	http_fixture_write(busy, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 1);
	http_fixture_write(kept, "GET / HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 2);
	http_respond(h, recorder.token[1], 200, NULL, 0, "1", 1);
	http_fixture_expect(h, kept, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
	http_fixture_clock.offset_ms += 4000;
	http_wait(h, 0);
	http_fixture_write(head, "y"); /* no new time for that */
	http_wait(h, 1000);
	http_fixture_clock.offset_ms += 1500;
	http_fixture_expect_end(h, head, "");
	http_fixture_clock.offset_ms += 40000;
	for (i = 0; i < 5; i++)
		http_wait(h, 0);
	assert_int_equal(recv(fresh, b, 1, MSG_DONTWAIT), -1);
	assert_int_equal(errno, EAGAIN);
	http_fixture_clock.offset_ms += 20000;
	http_fixture_expect_end(h, fresh, "");
	http_fixture_expect_end(h, kept, "");
	http_fixture_expect_end(h, body, "");
	http_fixture_clock.offset_ms += 1000000;
	http_wait(h, 0);
	http_respond(h, recorder.token[0], 200, NULL, 0, "1", 1); /* who waits for us is not closed */
	http_fixture_expect(h, busy, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
	close(busy);
	http_fixture_close(&recorder);
}

static void backlog(void **state)
{
	enum { PIECE = 50000, PIECES = 200 };
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd = http_fixture_dial(h), i, how;
	char *piece = malloc(PIECE), *b = malloc(PIECE * (PIECES + 1));
	size_t n = 0, expected;

	(void)state;
	http_fixture_write(fd, "GET / HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 1);
	http_response_begin(h, recorder.token[0], 200, NULL, 0, PIECE * PIECES);
	for (i = 0; i < PIECES; i++) {
		memset(piece, 'a' + i % 26, PIECE);
		http_response_write(h, recorder.token[0], piece, PIECE);
		http_wait(h, 0);
	}
	assert_true(http_response_unsent_bytes(h, recorder.token[0]) > 0);
	http_response_finish(h, recorder.token[0]);
	for (i = 0; i < 5; i++)
		http_wait(h, 0);
	assert_int_equal(recorder.requests, 1);
	assert_int_equal(http_busy_count(h), 1);
	expected = strlen("HTTP/1.1 200 OK\r\nContent-Length: 10000000\r\n\r\n") + PIECE * PIECES;
	n = http_fixture_read(h, fd, b, expected, PIECE * (PIECES + 1), &how);
	assert_int_equal(n, expected);
	for (i = 0; i < PIECES; i++) {
		char *p = b + expected - PIECE * (size_t)(PIECES - i);

		assert_int_equal(p[0], 'a' + i % 26);
		assert_memory_equal(p, p + 1, PIECE - 1);
	}
	UNTIL(h, recorder.requests == 2);
	/* who takes nothing and leaves */
	http_response_begin(h, recorder.token[1], 200, NULL, 0, -1);
	for (i = 0; i < PIECES; i++)
		http_response_write(h, recorder.token[1], piece, PIECE);
	http_wait(h, 0);
	close(fd);
	UNTIL(h, recorder.disconnected_count == 1);
	free(piece);
	free(b);
	http_fixture_close(&recorder);
}

/* More than is taken in while a request waits for its answer. */
static void many_early(void **state)
{
	enum { N = 6000 };
	static const char one[] = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n",
			  ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd = http_fixture_dial(h), i, how;
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
			if (recorder.requests == 1 && !recorder.answer) {
				recorder.answer = 1;
				http_respond(h, recorder.token[0], 200, NULL, 0, "a", 1);
			}
		}
		http_wait(h, 0);
	}
	if (!recorder.answer) {
		UNTIL(h, recorder.requests == 1);
		recorder.answer = 1;
		http_respond(h, recorder.token[0], 200, NULL, 0, "a", 1);
	}
	assert_int_equal(http_fixture_read(h, fd, b, expected, expected + 2, &how), expected);
	for (i = 0; i < N; i++)
		assert_int_equal(b[(size_t)i * sizeof ok + sizeof ok - 1], 'a' + i % 26);
	assert_int_equal(recorder.requests, N);
	close(fd);
	free(all);
	free(b);
	http_fixture_close(&recorder);
}

struct understood {
	int requests, bad;
	char what[HTTP_FIXTURE_READ_BYTES];
	size_t n;
	char text[HTTP_FIXTURE_READ_BYTES];
};

static void write_down(struct http_recorder *recorder, const char *what, uint64_t token)
{
	struct understood *understood = recorder->arg;

	if (strcmp(what, "request"))
		return;
	(void)token;
	understood->n +=
	    (size_t)snprintf(understood->what + understood->n, HTTP_FIXTURE_READ_BYTES - understood->n,
			     "%s %s %d %.*s\n", recorder->method, recorder->target, recorder->field_count,
			     (int)recorder->body_bytes, recorder->body);
}

static void understand(const char *d, size_t n, unsigned seed, struct understood *understood)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	uint64_t r = 99 + seed;
	size_t off, k, got = 0;
	int fd = http_fixture_dial(h), idle;

	memset(understood, 0, sizeof *understood);
	recorder.answer = 1;
	recorder.hook = write_down;
	recorder.arg = understood;
	UNTIL(h, http_counters_read(h).accepted_connections == 1);
	for (off = 0; off < n; off += k) {
		k = seed ? 1 + random_below(&r, random_below(&r, 3) ? 4 : 60) : n;
		k = k < n - off ? k : n - off;
		http_fixture_write_bytes(fd, d + off, k);
		http_wait(h, 0);
	}
	for (idle = 0; idle < 8; idle++) {
		int before = recorder.requests;
		ssize_t m =
		    __real_recv(fd, understood->text + got, HTTP_FIXTURE_READ_BYTES - 1 - got, MSG_DONTWAIT);

		if (m > 0)
			got += (size_t)m;
		http_wait(h, 0);
		if (m > 0 || recorder.requests > before)
			idle = 0;
	}
	understood->requests = recorder.requests;
	understood->bad = (int)http_counters_read(h).rejected_requests;
	close(fd);
	http_fixture_close(&recorder);
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
		int i, k = 2 + (int)random_below(&r, 14);

		for (i = 0; i < k; i++)
			n += (size_t)sprintf(
			    d + n, "%s",
			    part[random_below(&r, 2)
				     ? random_below(&r, parts)
				     : parts - 1 - random_below(&r, 4)]); /* half of them whole */
		for (i = (int)random_below(&r, 3); i--;)
			d[random_below(&r, (unsigned)n)] = "\r\n \t:;\0a0,\xff"[random_below(&r, 11)];
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
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	pthread_t t;
	int i;

	(void)state;
	for (i = 0; i < 20; i++) {
		int64_t at = __real_clock_ms();

		assert_int_equal(pthread_create(&t, NULL, waker, h), 0);
		http_wait(h, HTTP_FIXTURE_LIMIT_MS);
		assert_true(__real_clock_ms() - at < HTTP_FIXTURE_LIMIT_MS / 2);
		pthread_join(t, NULL);
		http_wait(h, 0); /* a second wake before the first was seen is the same one */
	}
	http_fixture_close(&recorder);
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
		cmocka_unit_test(requests_share_a_limit_of_memory),
		cmocka_unit_test(continues),
		cmocka_unit_test(abort_never_looks_whole),
		cmocka_unit_test(gone_once),
		cmocka_unit_test(leaves),
		cmocka_unit_test(slow_callers),
		cmocka_unit_test(backlog),
		cmocka_unit_test(wakes),
		cmocka_unit_test(many_early),
		cmocka_unit_test(cut_anywhere),
	};

	return RUN_HTTP_TESTS(tests);
}
