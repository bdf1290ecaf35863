/* HTTP as a client: calls that are sent once, what counts as an answer, connections that are kept, calls from
 * within a callback, and what a request costs. On real sockets, see http_fixture.h. */
#include "http_fixture.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

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
		{ "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", SHUT, HTTP_CALL_ENDED_BY_CLOSE, 200, "hi",
		  0, "GET" },
		{ "HTTP/1.0 200 OK\r\n\r\nhi", SHUT, HTTP_CALL_ENDED_BY_CLOSE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nhi", OPEN,
		  HTTP_CALL_COMPLETE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\n\r\nhi", SHUT, HTTP_CALL_ENDED_BY_CLOSE, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", RESET, HTTP_CALL_OUTCOME_UNKNOWN, 200,
		  NULL, 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", SHUT, HTTP_CALL_OUTCOME_UNKNOWN, 200,
		  "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nhi", SHUT,
		  HTTP_CALL_OUTCOME_UNKNOWN, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", SHUT,
		  HTTP_CALL_OUTCOME_UNKNOWN, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n", SHUT,
		  HTTP_CALL_OUTCOME_UNKNOWN, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r", SHUT,
		  HTTP_CALL_OUTCOME_UNKNOWN, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhiXX0\r\n\r\n", OPEN,
		  HTTP_CALL_OUTCOME_UNKNOWN, 200, "hi", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", OPEN,
		  HTTP_CALL_OUTCOME_UNKNOWN, 200, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nhi", OPEN,
		  HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", OPEN,
		  HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nhi", OPEN, HTTP_CALL_OUTCOME_UNKNOWN, 0, "",
		  0, "GET" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhi", SHUT, HTTP_CALL_OUTCOME_UNKNOWN, 0,
		  "", 0, "GET" },
		{ "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nhi", OPEN,
		  HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0, "GET" },
		{ "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi", OPEN, HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0,
		  "GET" },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", SHUT, HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0,
		  "GET" },
		{ "HTTP/1.1 101 Up\r\nUpgrade: x\r\n\r\n", OPEN, HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0, "GET" },
		{ "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0,
		  "GET" },
		{ "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0,
		  "GET" },
		{ "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0,
		  "GET" },
		{ "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", OPEN, HTTP_CALL_OUTCOME_UNKNOWN, 0,
		  "", 0, "GET" },
		{ "GET / HTTP/1.1\r\n\r\n", OPEN, HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0, "GET" },
		{ "nonsense\r\n\r\n", OPEN, HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0, "GET" },
		{ "", SHUT, HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0, "GET" },
		{ "", RESET, HTTP_CALL_OUTCOME_UNKNOWN, 0, "", 0, "GET" },
	};
	struct linger linger = { 1, 0 };
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	size_t i;
	int split;

	(void)state;
	for (split = 0; split < 2; split++)
		for (i = 0; i < sizeof all / sizeof *all; i++) {
			struct test_server t = test_server_open();
			uint64_t k = 2 * i + (uint64_t)split + 1;
			struct http_client_request output = get_request();
			struct recorded_call *call = &recorder.call[k];
			uint64_t connects = http_counters_read(h).connections_opened;
			char expected[64];
			const char *p;

			output.method = all[i].verb;
			snprintf(expected, sizeof expected, "%s /t HTTP/1.1\r\nHost: x\r\n\r\n",
				 output.method);
			http_call_start(h, k, t.addr, &output);
			assert_false(http_call_has_sent_bytes(h, k));
			test_server_accept(h, &t);
			http_fixture_expect(h, t.conn, expected);
			assert_true(http_call_has_sent_bytes(h, k));
			assert_false(call->done);
			for (p = all[i].says; split && *p; p++) {
				http_fixture_write_bytes(t.conn, p, 1);
				http_wait(h, 0);
			}
			if (!split)
				http_fixture_write(t.conn, all[i].says);
			if (all[i].then == RESET)
				setsockopt(t.conn, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
			if (all[i].then)
				close(t.conn);
			UNTIL(h, call->done);
			if ((int)call->result != (int)all[i].how || call->status != all[i].status ||
			    call->violates_contract ||
			    (all[i].body && (call->body_bytes != strlen(all[i].body) ||
					     memcmp(call->body, all[i].body, call->body_bytes))))
				fail_msg("number %zu, split %d: how %d status %d body %.*s", i, split,
					 call->result, call->status, (int)call->body_bytes, call->body);
			http_wait(h, 0);
			http_wait(h, 0);
			output = get_request();
			http_call_start(h, 1000, t.addr, &output);
			UNTIL(h, http_call_has_sent_bytes(h, 1000) || recorder.call[1000].done);
			if ((int)(http_counters_read(h).connections_opened - connects) !=
			    (split && all[i].kept == 0 && all[i].how == HTTP_CALL_COMPLETE ? 2
											   : 2 - all[i].kept))
				fail_msg("number %zu, split %d: kept wrongly", i, split);
			http_call_cancel(h, 1000);
			if (!all[i].then)
				close(t.conn);
			close(t.listener);
		}
	http_fixture_close(&recorder);
}

static void pass_piece_on(void *ctx, uint64_t token, const char *d, size_t n)
{
	struct http_recorder *recorder = ctx;

	(void)token;
	http_response_begin(recorder->h, recorder->token[0], 200, NULL, 0, -1);
	http_response_write(recorder->h, recorder->token[0], d, n);
	http_response_finish(recorder->h, recorder->token[0]);
}

/* A piece of a server's answer goes on as it is, also when the head before it makes a leaving door look for
 * another request. */
static void a_look_behind_a_request_spoils_no_piece(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	struct test_server t = test_server_open();
	struct http_client_request output = get_request();
	int fd = http_fixture_dial(h);

	(void)state;
	h->callbacks.response_body = pass_piece_on;
	http_fixture_write(fd, http_fixture_get_a);
	UNTIL(h, recorder.requests == 1);
	http_listener_drain(h, 1);
	http_call_start(h, 1, t.addr, &output);
	test_server_accept(h, &t);
	http_fixture_expect(h, t.conn, GET);
	http_fixture_write(t.conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
	UNTIL(h, recorder.call[1].status == 200);
	http_fixture_write(t.conn, "body"); /* read by itself */
	recorder.answer = 1;
	http_fixture_after_wait.fd = fd;
	http_fixture_after_wait.text =
	    "GET /a/path/that/is/longer/than/the/head/and/the/body/of/the/answer/that/is/passed/on HTTP/1.1\r\n\r\n";
	http_fixture_expect_end(h, fd,
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
				"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	close(t.conn);
	close(t.listener);
	http_fixture_close(&recorder);
}

static void head_too_large(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	struct test_server t = test_server_open();
	struct http_client_request output = get_request();
	int i;

	(void)state;
	http_call_start(h, 1, t.addr, &output);
	test_server_accept(h, &t);
	http_fixture_expect(h, t.conn, GET);
	http_fixture_write(t.conn, "HTTP/1.1 200 OK\r\n");
	for (i = 0; i < 7000 && !recorder.call[1].done; i++) {
		http_fixture_write(t.conn, "X: 12345678\r\n");
		http_wait(h, 0);
	}
	UNTIL(h, recorder.call[1].done);
	assert_int_equal(recorder.call[1].result, HTTP_CALL_OUTCOME_UNKNOWN);
	close(t.conn);
	close(t.listener);
	http_fixture_close(&recorder);
}

/* One call over a connection that is kept afterwards. */
static void keep_one(struct http_recorder *recorder, struct test_server *t, uint64_t k, const char *more)
{
	struct http_client_request output = get_request();
	char b[200];

	http_call_start(recorder->h, k, t->addr, &output);
	if (t->conn < 0)
		test_server_accept(recorder->h, t);
	http_fixture_expect(recorder->h, t->conn, GET);
	snprintf(b, sizeof b, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nhi", more);
	http_fixture_write(t->conn, b);
	UNTIL(recorder->h, recorder->call[k].done);
	assert_int_equal(recorder->call[k].result, HTTP_CALL_COMPLETE);
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
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	struct http_client_request output = get_request();
	struct test_server t = test_server_open(), there;
	uint64_t k = 0, n;
	size_t i;
	int j;

	(void)state;
	for (i = 0; i < 3; i++)
		keep_one(&recorder, &t, ++k, "");
	assert_int_equal(http_counters_read(h).connections_opened, 1);
	output.needs_new_connection = 1;
	http_call_start(h, ++k, t.addr, &output);
	close(t.conn);
	test_server_accept(h, &t);
	http_fixture_expect(h, t.conn, GET);
	http_call_cancel(h, k);
	close(t.conn);
	/* how long they are kept */
	for (i = 0; i < sizeof all / sizeof *all; i++) {
		t.conn = -1;
		n = http_counters_read(h).connections_opened;
		keep_one(&recorder, &t, ++k, all[i].more);
		http_fixture_clock.offset_ms += all[i].ms;
		output = get_request();
		http_call_start(h, ++k, t.addr, &output);
		UNTIL(h, http_call_has_sent_bytes(h, k));
		if ((int)(http_counters_read(h).connections_opened - n) != 2 - all[i].used)
			fail_msg("number %zu", i);
		http_call_cancel(h, k);
		http_peer_retire_connections(h, t.addr);
		close(t.conn);
		while ((t.conn = accept(t.listener, NULL, NULL)) >= 0)
			close(t.conn);
	}
	/* spoilt while kept: closed, spoken on, reset; seen by the loop or only just before the next call */
	for (i = 0; i < 3; i++)
		for (j = 0; j < 2; j++) {
			struct pollfd p;

			t.conn = -1;
			keep_one(&recorder, &t, ++k, "");
			n = http_counters_read(h).connections_opened;
			if (i == 0)
				shutdown(t.conn, SHUT_WR);
			if (i == 1)
				http_fixture_write(t.conn,
						   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
			if (i == 2) {
				setsockopt(t.conn, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
				close(t.conn);
			}
			for (; j && i < 2; http_wait(h, 0)) {
				p = (struct pollfd){ t.conn, POLLIN, 0 };
				if (poll(&p, 1, 1) > 0)
					break;
			}
			output = get_request();
			http_call_start(h, ++k, t.addr, &output);
			UNTIL(h, http_call_has_sent_bytes(h, k) || recorder.call[k].done);
			assert_false(recorder.call[k].done);
			assert_int_equal(http_counters_read(h).connections_opened, n + 1);
			http_call_cancel(h, k);
			if (i < 2)
				close(t.conn);
			while ((t.conn = accept(t.listener, NULL, NULL)) >= 0)
				close(t.conn);
		}
	/* forgotten, also by a call that was under way */
	t.conn = -1;
	keep_one(&recorder, &t, ++k, "");
	http_peer_retire_connections(h, t.addr);
	http_fixture_expect_end(h, t.conn, "");
	output = get_request();
	http_call_start(h, ++k, t.addr, &output);
	test_server_accept(h, &t);
	http_fixture_expect(h, t.conn, GET);
	http_peer_retire_connections(h, t.addr);
	http_fixture_write(t.conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
	UNTIL(h, recorder.call[k].done);
	assert_int_equal(recorder.call[k].result, HTTP_CALL_COMPLETE);
	n = http_counters_read(h).connections_opened;
	output = get_request();
	http_call_start(h, ++k, t.addr, &output);
	UNTIL(h, http_call_has_sent_bytes(h, k));
	assert_int_equal(http_counters_read(h).connections_opened, n + 1);
	http_call_cancel(h, k);
	http_fixture_expect_end(h, t.conn, "");
	while ((t.conn = accept(t.listener, NULL, NULL)) >= 0)
		close(t.conn);
	/* no more than told */
	there = t;
	http_peer_set_max_connections(h, t.addr, 2);
	t.conn = -1;
	keep_one(&recorder, &t, ++k, "");
	output = get_request();
	http_call_start(h, ++k, t.addr, &output);
	http_call_start(h, ++k, t.addr, &output);
	http_call_start(h, ++k, t.addr, &output);
	assert_false(recorder.call[k].done);
	UNTIL(h, recorder.call[k].done);
	assert_int_equal(recorder.call[k].result, HTTP_CALL_NOT_SENT);
	http_call_cancel(h, k - 1);
	http_call_cancel(h, k - 2);
	close(t.conn);
	while ((there.conn = accept(t.listener, NULL, NULL)) >= 0)
		close(there.conn);
	/* a fresh one takes the place of one that is kept */
	t.conn = -1;
	http_peer_set_max_connections(h, t.addr, 1);
	keep_one(&recorder, &t, ++k, "");
	output.needs_new_connection = 1;
	http_call_start(h, ++k, t.addr, &output);
	http_fixture_expect_end(h, t.conn, "");
	test_server_accept(h, &t);
	http_fixture_expect(h, t.conn, GET);
	close(t.conn);
	UNTIL(h, recorder.call[k].done);
	assert_int_equal(recorder.call[k].result, HTTP_CALL_OUTCOME_UNKNOWN);
	close(t.listener);
	http_fixture_close(&recorder);
}

static void never_and_late(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	struct test_server t = test_server_open(), full;
	struct http_client_request output = get_request();
	static char big[1 << 24];
	int fd[8], i, how;
	char b[HTTP_FIXTURE_READ_BYTES];
	size_t n;

	(void)state;
	/* nobody there */
	close(t.listener);
	http_call_start(h, 1, t.addr, &output);
	assert_int_equal(recorder.call[1].done, 0);
	UNTIL(h, recorder.call[1].done);
	assert_int_equal(recorder.call[1].result, HTTP_CALL_NOT_SENT);
	/* too late before it is begun, and by the time the connection is there */
	t = test_server_open();
	output = get_request();
	http_call_start(h, 2, t.addr, &output);
	http_fixture_clock.offset_ms += 5001;
	UNTIL(h, recorder.call[2].done);
	assert_int_equal(recorder.call[2].result, HTTP_CALL_NOT_SENT);
	output = get_request();
	http_call_start(h, 3, t.addr, &output);
	http_fixture_clock.freeze_ms = 5001; /* between connecting and sending */
	UNTIL(h, recorder.call[3].done);
	assert_int_equal(recorder.call[3].result, HTTP_CALL_NOT_SENT);
	/* a server that answers before it was asked */
	output = get_request();
	while ((i = accept(t.listener, NULL, NULL)) >= 0)
		close(i);
	http_call_start(h, 10, t.addr, &output);
	http_fixture_early_server = &t;
	UNTIL(h, recorder.call[10].done);
	assert_int_equal(recorder.call[10].result, HTTP_CALL_NOT_SENT);
	assert_int_equal(recorder.call[10].body_bytes, 0);
	assert_int_equal(
	    http_fixture_read(h, t.conn, b, HTTP_FIXTURE_READ_BYTES, HTTP_FIXTURE_READ_BYTES, &how),
	    0); /* nothing of the request came */
	assert_true(how > 0);
	close(t.conn);
	/* on a kept connection, which is whole afterwards */
	t.conn = -1;
	while ((i = accept(t.listener, NULL, NULL)) >= 0)
		close(i);
	keep_one(&recorder, &t, 4, "Keep-Alive: timeout=1000\r\n");
	output = get_request();
	http_call_start(h, 5, t.addr, &output);
	http_fixture_clock.offset_ms += 5001;
	UNTIL(h, recorder.call[5].done);
	assert_int_equal(recorder.call[5].result, HTTP_CALL_NOT_SENT);
	keep_one(&recorder, &t, 6, "");
	assert_int_equal(http_counters_read(h).connections_reused, 1);
	/* no answer within the limit */
	output = get_request();
	http_call_start(h, 7, t.addr, &output);
	http_fixture_expect(h, t.conn, GET);
	http_fixture_clock.offset_ms += 9000;
	http_wait(h, 0);
	assert_false(recorder.call[7].done);
	http_fixture_clock.offset_ms += 1001;
	UNTIL(h, recorder.call[7].done);
	assert_int_equal(recorder.call[7].result, HTTP_CALL_OUTCOME_UNKNOWN);
	http_fixture_expect_end(h, t.conn, "");
	/* a request that stops halfway goes no further after its time */
	output = get_request();
	output.method = "POST";
	output.body = big;
	output.body_bytes = sizeof big;
	http_call_start(h, 8, t.addr, &output);
	test_server_accept(h, &t);
	UNTIL(h, http_call_has_sent_bytes(h, 8));
	for (i = 0; i < 20; i++)
		http_wait(h, 0);
	http_fixture_clock.offset_ms += 5001;
	UNTIL(h, recorder.call[8].done);
	assert_int_equal(recorder.call[8].result, HTTP_CALL_OUTCOME_UNKNOWN);
	for (n = 0, how = 0; !how; n += http_fixture_read(h, t.conn, b, 1, HTTP_FIXTURE_READ_BYTES, &how))
		;
	assert_true(n < sizeof big);
	close(t.conn);
	/* a queue of connections that is full: connecting ends in its time */
	full = test_server_open();
	listen(full.listener, 0);
	for (i = 0; i < 8; i++) {
		struct sockaddr_in address = { .sin_family = AF_INET,
					       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
					       .sin_port = htons((uint16_t)full.addr) };

		fd[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		connect(fd[i], (struct sockaddr *)&address, sizeof address);
	}
	output = get_request();
	http_call_start(h, 9, full.addr, &output);
	for (i = 0; i < 20; i++)
		http_wait(h, 0);
	assert_false(http_call_has_sent_bytes(h, 9));
	http_fixture_clock.offset_ms += 1001;
	UNTIL(h, recorder.call[9].done);
	assert_int_equal(recorder.call[9].result, HTTP_CALL_NOT_SENT);
	for (i = 0; i < 8; i++)
		close(fd[i]);
	close(full.listener);
	close(t.listener);
	for (i = 1; i < 11; i++)
		assert_false(recorder.call[i].violates_contract);
	http_fixture_close(&recorder);
}

static void requests_as_written(void **state)
{
	struct http_field field[] = { { "Host", "x" },
				      { "content-length", "9" },
				      { "Transfer-Encoding", "chunked" },
				      { "X", "a\r\nb" },
				      { "Connection", "close" } };
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	struct test_server t = test_server_open();
	struct http_client_request output = get_request();

	(void)state;
	output.fields = field;
	output.field_count = 5;
	output.method = "POST";
	http_call_start(h, 1, t.addr, &output);
	test_server_accept(h, &t);
	http_fixture_expect(
	    h, t.conn,
	    "POST /t HTTP/1.1\r\nHost: x\r\nX: a  b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
	http_call_cancel(h, 1);
	close(t.conn);
	output.body = "body";
	output.body_bytes = 4;
	output.field_count = 1;
	output.method = "GET";
	http_call_start(h, 2, t.addr, &output);
	test_server_accept(h, &t);
	http_fixture_expect(h, t.conn, "GET /t HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody");
	http_call_cancel(h, 2);
	close(t.conn);
	close(t.listener);
	http_fixture_close(&recorder);
}

/* ---- anything from within a callback ---- */

struct within {
	const char *what;
	int act;
	uint64_t addr;
};

static void act(struct http_recorder *recorder, const char *what, uint64_t token)
{
	struct within *within = recorder->arg;
	struct http_client_request output = get_request();
	uint64_t mine = recorder->requests ? recorder->token[recorder->requests - 1] : 0;

	if (strcmp(within->what, what))
		return;
	within->what = "";
	switch (within->act) {
	case 0:
		if (!recorder->call[token < HTTP_FIXTURE_TOKENS ? token : 0].done)
			recorder->call[token < HTTP_FIXTURE_TOKENS ? token : 0].cancelled = 1;
		http_call_cancel(recorder->h, token);
		http_call_cancel(recorder->h, token);
		break;
	case 1:
		http_call_cancel(recorder->h, 1);
		recorder->call[1].cancelled = !recorder->call[1].done;
		http_call_start(recorder->h, 2, within->addr, &output);
		http_call_cancel(recorder->h, 2);
		break;
	case 2:
		http_peer_retire_connections(recorder->h, within->addr);
		http_peer_set_max_connections(recorder->h, within->addr, 1);
		http_call_start(recorder->h, 3, within->addr, &output);
		break;
	case 3:
		http_response_abort(recorder->h, mine);
		http_response_finish(recorder->h, mine);
		break;
	case 4:
		http_respond(recorder->h, mine, 200, NULL, 0, "x", 1);
		http_response_abort(recorder->h, mine);
		break;
	case 5:
		http_response_begin(recorder->h, mine, 200, NULL, 0, -1);
		http_response_write(recorder->h, mine, "x", 1);
		http_response_finish(recorder->h, mine);
		http_listener_drain(recorder->h, 1);
		break;
	case 6:
		http_listener_stop_accepting(recorder->h, 1);
		http_listener_drain(recorder->h, 1);
		http_response_abort(recorder->h, mine);
		break;
	}
}

static void from_within(void **state)
{
	static const char *what[] = { "request", "gone", "head", "body", "done" };
	struct within within;
	struct http_recorder recorder;
	int i, j, k, n;

	(void)state;
	for (i = 0; i < 5; i++)
		for (j = 0; j < 7; j++)
			for (k = 0; k < 2; k++) { /* the caller leaves, or not */
				struct http *h = http_fixture_open(&recorder);
				struct http_client_request output = get_request();
				struct test_server t = test_server_open();
				int fd = http_fixture_dial(h), how;
				char b[HTTP_FIXTURE_READ_BYTES];

				within = (struct within){ what[i], j, t.addr };
				recorder.hook = act;
				recorder.arg = &within;
				http_call_start(h, 1, t.addr, &output);
				test_server_accept(h, &t);
				http_fixture_read(h, t.conn, b, strlen(GET), HTTP_FIXTURE_READ_BYTES, &how);
				http_fixture_write(fd, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
				http_fixture_write(
				    t.conn,
				    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n");
				if (k)
					shutdown(fd, SHUT_WR);
				for (n = 0; n < 10; n++)
					http_wait(h, n < 3);
				for (n = 0; n < 4; n++)
					if (recorder.call[n].violates_contract || recorder.call[n].done > 1)
						fail_msg("%s, act %d, call %d", what[i], j, n);
				close(t.conn);
				close(t.listener);
				close(fd);
				for (n = 0; n < 5; n++)
					http_wait(h, 0);
				http_fixture_close(&recorder);
			}
}

/* A caller's request is sent on to a server, and its answer in pieces passed back. */
static void forward_request(struct http_recorder *recorder, const char *what, uint64_t token)
{
	struct http_client_request output = get_request();
	uint64_t mine = recorder->token[recorder->requests - 1];

	if (!strcmp(what, "request"))
		http_call_start(recorder->h, (uint64_t)recorder->requests,
				((struct test_server *)recorder->arg)->addr, &output);
	else if (!strcmp(what, "head"))
		http_response_begin(recorder->h, mine, recorder->call[token].status, NULL, 0, -1);
	else if (!strcmp(what, "body"))
		http_response_write(recorder->h, mine, recorder->call[token].body,
				    recorder->call[token].body_bytes);
	else if (!strcmp(what, "done"))
		http_response_finish(recorder->h, mine);
}

static void costs(void **state)
{
	enum { N = 500 };
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	struct test_server t = test_server_open();
	int fd = http_fixture_dial(h), i, n;

	(void)state;
	recorder.hook = forward_request;
	recorder.arg = &t;
	for (i = 0; i < N; i++) {
		http_fixture_write(fd, GET);
		http_fixture_calls.counting = i > 0; /* connections apart */
		while (recorder.requests == i)
			http_wait(h, 1000);
		http_fixture_calls.counting = 0;
		if (!i)
			test_server_accept(h, &t);
		http_fixture_expect(h, t.conn, GET);
		while (!http_call_has_sent_bytes(h, (uint64_t)i + 1))
			http_wait(h, 0);
		http_fixture_write(t.conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
		http_fixture_calls.counting = i > 0;
		while (!recorder.call[i + 1].done)
			http_wait(h, 1000);
		http_fixture_calls.counting = 0;
		http_fixture_expect(
		    h, fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
	}
	n = http_fixture_calls.waits + http_fixture_calls.recvs + http_fixture_calls.peeks +
	    http_fixture_calls.sends + http_fixture_calls.epoll_ctls;
	print_message(
	    "%d requests passed on: %.2f system calls each (waits %.2f, reads %.2f, looks %.2f, sends %.2f, others %.2f), "
	    "%llu connection to the server\n",
	    N - 1, (double)n / (N - 1), (double)http_fixture_calls.waits / (N - 1),
	    (double)http_fixture_calls.recvs / (N - 1), (double)http_fixture_calls.peeks / (N - 1),
	    (double)http_fixture_calls.sends / (N - 1), (double)http_fixture_calls.epoll_ctls / (N - 1),
	    (unsigned long long)http_counters_read(h).connections_opened);
	assert_int_equal(http_counters_read(h).connections_opened, 1);
	/* a wait may end early by an old time, once in a while */
	assert_true(http_fixture_calls.sends <= 2 * N && http_fixture_calls.recvs <= 2 * N &&
		    http_fixture_calls.peeks <= N && !http_fixture_calls.epoll_ctls &&
		    http_fixture_calls.waits <= 2 * N + 10);
	close(fd);
	close(t.conn);
	close(t.listener);
	http_fixture_close(&recorder);
}

/* A machine without power says nothing: each connection notices by itself. */
static void silence_is_noticed(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	struct test_server t = test_server_open();
	struct http_client_request output = get_request();
	int fd = http_fixture_dial(h), i, found = 0;

	(void)state;
	http_call_start(h, 1, t.addr, &output);
	test_server_accept(h, &t);
	UNTIL(h, http_counters_read(h).accepted_connections == 1 && http_call_has_sent_bytes(h, 1));
	for (i = 0; i < 256; i++) {
		struct sockaddr_in address;
		socklen_t n = sizeof address;
		int v[6] = { 0 }, k;

		if (i == fd || i == t.conn || i == t.listener ||
		    getpeername(i, (struct sockaddr *)&address, &n))
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
	close(t.conn);
	close(t.listener);
	http_fixture_close(&recorder);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(answers_as_read),
		cmocka_unit_test(a_look_behind_a_request_spoils_no_piece),
		cmocka_unit_test(head_too_large),
		cmocka_unit_test(kept_connections),
		cmocka_unit_test(never_and_late),
		cmocka_unit_test(requests_as_written),
		cmocka_unit_test(from_within),
		cmocka_unit_test(costs),
		cmocka_unit_test(silence_is_noticed),
	};

	return RUN_HTTP_TESTS(tests);
}
