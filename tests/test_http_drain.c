/* HTTP as a server that is to stop, or whose limits change, under requests that have come: what was read is
 * answered, what is incomplete is refused, and a close cuts no answer. On real sockets, see http_fixture.h.
 */
#include "http_fixture.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "shell.h"

/* ---- a planned stop, and limits that change, under requests that have come ---- */

static const char leaving_ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/* A request that stands unread in the kernel when the front end leaves is served, and not reset. */
static void leaving_reads_what_has_come(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd = http_fixture_dial(h);

	(void)state;
	recorder.answer = 1;
	http_fixture_write(fd, http_fixture_get_a);
	http_fixture_expect(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	http_fixture_write(fd, http_fixture_get_a);
	http_listener_drain(h, 1);
	http_fixture_expect_end(h, fd, leaving_ok);
	assert_int_equal(recorder.requests, 2);
	assert_int_equal(http_busy_count(h), 0);
	http_fixture_close(&recorder);
	h = http_fixture_open(
	    &recorder); /* it comes once the loop has looked, and before the connection is closed */
	recorder.answer = 1;
	fd = http_fixture_dial(h);
	UNTIL(h, http_counters_read(h).accepted_connections == 1);
	http_listener_drain(h, 1);
	http_fixture_after_wait.fd = fd;
	http_fixture_after_wait.text = http_fixture_get_a;
	http_fixture_after_wait.freeze_ms = 1;
	http_fixture_expect_end(h, fd, leaving_ok);
	http_fixture_close(&recorder);
}

/* What the listener's backlog holds when the front end is shut is taken first, and so is what was said on it.
 */
static void shutting_takes_the_backlog(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd[20];
	char b[HTTP_FIXTURE_READ_BYTES];
	int how;

	(void)state;
	recorder.answer = 1;
	for (int i = 0; i < 20; i++) {
		fd[i] = http_fixture_dial(h);
		if (i % 2)
			http_fixture_write(fd[i], http_fixture_get_a);
	}
	http_listener_drain(h, 1);
	http_listener_stop_accepting(h, 1);
	for (int i = 1; i < 20; i += 2)
		http_fixture_expect_end(h, fd[i], leaving_ok);
	for (int i = 0; i < 20; i += 2) { /* who has said nothing is closed */
		assert_int_equal(
		    http_fixture_read(h, fd[i], b, HTTP_FIXTURE_READ_BYTES, HTTP_FIXTURE_READ_BYTES, &how),
		    0);
		assert_int_equal(how, 1);
		close(fd[i]);
	}
	assert_int_equal(recorder.requests, 10);
	http_fixture_close(&recorder);
}

/* An answer whose head left before the front end leaves has not said that the connection closes: a request
 * that has come behind it is served, and the answer is not lost with a reset over unread bytes. */
static void leaving_keeps_the_answer_under_way(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd = http_fixture_dial(h);

	(void)state;
	http_fixture_write(fd, http_fixture_get_a);
	UNTIL(h, recorder.requests == 1);
	http_response_begin(h, recorder.token[0], 200, NULL, 0, 1);
	http_fixture_expect(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n");
	http_listener_drain(h, 1);
	http_wait(h, 0);
	http_fixture_write(fd, http_fixture_get_a); /* unread when the answer ends */
	http_response_write(h, recorder.token[0], "x", 1);
	http_response_finish(h, recorder.token[0]);
	recorder.answer = 1;
	http_fixture_expect_end(h, fd, "xHTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	assert_int_equal(recorder.requests, 2);
	http_fixture_close(&recorder);
}

/* Requests that were read behind one another: the last of them is told that the connection closes. */
static void leaving_answers_what_was_read_behind(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd = http_fixture_dial(h);

	(void)state;
	http_fixture_write(fd, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
	UNTIL(h, recorder.requests == 1);
	http_fixture_write(fd, "GET /3 HTTP/1.1\r\n\r\n");
	http_wait(h, 1000);
	http_listener_drain(h, 1);
	recorder.answer = 1;
	http_respond(h, recorder.token[0], 200, NULL, 0, "1", 1);
	http_fixture_expect_end(h, fd,
				"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"
				"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
				"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	assert_int_equal(recorder.requests, 3);
	assert_int_equal(http_busy_count(h), 0);
	http_fixture_close(&recorder);
}

/* A time is over, and the bytes that it waited for have come since the loop looked: they are read first. */
static void bytes_go_before_their_timer(void **state)
{
	static const char *const before[] = { "", "GET /a HT",
					      "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\na" };
	static const char *const rest[] = { "GET /a HTTP/1.1\r\n\r\n", "TP/1.1\r\n\r\n", "b" };
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);

	(void)state;
	recorder.answer = 1;
	for (int i = 0; i < 3; i++) {
		int fd = http_fixture_dial(h), accepted = i + 1;

		http_fixture_write(fd, before[i]);
		UNTIL(h, http_counters_read(h).accepted_connections == (uint64_t)accepted);
		for (int k = 0; k < 3; k++)
			http_wait(h, 5);
		http_fixture_after_wait.fd = fd;
		http_fixture_after_wait.text = rest[i];
		http_fixture_after_wait.freeze_ms = 61000;
		http_wait(h, 0);
		UNTIL(h, recorder.requests == i + 1);
		close(fd);
	}
	http_fixture_close(&recorder);
}

/* A head has its time as a whole: bytes that come when it is over, and do not end it, buy no more. */
static void a_slow_head_gains_no_time(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd = http_fixture_dial(h);
	char b[1];

	(void)state;
	http_fixture_write(fd, "GET /a HT");
	http_wait(h, 1000);
	http_wait(h, 1000);
	http_fixture_after_wait.fd = fd;
	http_fixture_after_wait.text = "TP/1.1\r\nX: ";
	http_fixture_after_wait.freeze_ms = 5001;
	http_wait(h, 0);
	assert_int_equal(recv(fd, b, 1, MSG_DONTWAIT), 0);
	close(fd);
	http_fixture_close(&recorder);
}

/* Longer times that come into force hold for who waits already. */
static void longer_times_hold_at_once(void **state)
{
	struct http_limits brief = { 2048, 16384, 1000, 1000 };
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int idle, head, body;
	char b[1];

	(void)state;
	http_listener_set_limits(h, 1, &brief);
	idle = http_fixture_dial(h);
	head = http_fixture_dial(h);
	body = http_fixture_dial(h);
	http_fixture_write(head, "GET / HTTP/1.1\r\nX: ");
	http_fixture_write(body, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
	for (int i = 0; i < 10; i++)
		http_wait(h, 5);
	http_listener_set_limits(h, 1, &http_fixture_limits);
	http_fixture_clock.offset_ms += 4000;
	for (int i = 0; i < 5; i++)
		http_wait(h, 0);
	assert_int_equal(recv(idle, b, 1, MSG_DONTWAIT), -1);
	assert_int_equal(errno, EAGAIN);
	recorder.answer = 1;
	http_fixture_write(idle, http_fixture_get_a);
	http_fixture_write(head, "y\r\n\r\n");
	http_fixture_write(body, "cde");
	UNTIL(h, recorder.requests == 3);
	http_fixture_clock.offset_ms += 61000;
	http_fixture_expect_end(h, idle, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	close(head);
	close(body);
	http_fixture_close(&recorder);
}

/* A body that was let in goes on under the limit that it was let in by. */
static void a_lower_limit_ends_no_body_under_way(void **state)
{
	struct http_limits small = { 2048, 4, 5000, 60000 };
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd = http_fixture_dial(h);

	(void)state;
	recorder.answer = 1;
	http_fixture_write(fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
	UNTIL(h, http_incomplete_request_count(h, 1) == 1);
	http_listener_set_limits(h, 1, &small);
	http_fixture_write(fd, "3\r\ndef\r\n0\r\n\r\n");
	http_fixture_expect(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef");
	http_fixture_write(fd,
			   "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n");
	http_fixture_expect_end(
	    h, fd, "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
	http_fixture_close(&recorder);
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
		size_t got = http_fixture_read(h, fd, b, expected - n < 1 << 20 ? expected - n : 1 << 20,
					       sizeof b, how);

		n += got;
		http_fixture_clock.offset_ms += step_ms;
		http_wait(h, 0);
	}
	return n;
}

static size_t give_large(struct http_recorder *recorder, int fd)
{
	char *body = calloc(1, LARGE);
	char text[100];

	http_fixture_write(fd, http_fixture_get_a);
	UNTIL(recorder->h, recorder->requests == 1);
	http_respond(recorder->h, recorder->token[0], 200, NULL, 0, body, LARGE);
	free(body);
	return (size_t)snprintf(text, sizeof text, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", LARGE) +
	       LARGE;
}

/* A slow link that moves is not cut off, however long the answer takes in all; one that does not move is. */
static void a_slow_link_that_moves_is_not_cut(void **state)
{
	struct http_limits brief = { 2048, 16384, 1000, 1000 };
	int how, fd;
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	size_t expected;

	(void)state;
	http_listener_set_limits(h, 1, &brief);
	fd = http_fixture_dial(h);
	expected = give_large(&recorder, fd);
	assert_int_equal(read_slowly(h, fd, expected, 900, &how), expected);
	assert_int_equal(how, 0);
	close(fd);
	http_fixture_close(&recorder);
	h = http_fixture_open(&recorder);
	http_listener_set_limits(h, 1, &brief);
	fd = http_fixture_dial(h);
	expected = give_large(&recorder, fd);
	http_wait(h, 0);
	http_fixture_clock.offset_ms += 1100;
	http_wait(h, 0);
	http_fixture_clock.offset_ms += 1100;
	http_wait(h, 0);
	assert_true(read_slowly(h, fd, expected, 0, &how) < expected);
	assert_int_not_equal(how, 0);
	close(fd);
	http_fixture_close(&recorder);
}

/* A caller that has ended its half once its answer was given still takes the rest of it. */
static void a_half_close_does_not_cut_a_given_answer(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd = http_fixture_dial(h), how;
	size_t expected;

	(void)state;
	expected = give_large(&recorder, fd);
	http_wait(h, 0);
	shutdown(fd, SHUT_WR);
	http_wait(h, 100);
	assert_int_equal(read_slowly(h, fd, expected, 0, &how), expected);
	http_fixture_expect_end(h, fd, "");
	assert_int_equal(recorder.disconnected_count, 0);
	assert_int_equal(http_busy_count(h), 0);
	http_fixture_close(&recorder);
}

/* A body that its client holds back until it is asked for goes on while the front end leaves. */
static void leaving_asks_for_the_body(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd = http_fixture_dial(h);

	(void)state;
	recorder.answer = 1;
	http_fixture_write(fd, "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
	http_listener_drain(h, 1);
	http_listener_stop_accepting(h, 1);
	http_fixture_expect(h, fd, "HTTP/1.1 100 Continue\r\n\r\n");
	assert_int_equal(http_incomplete_request_count(h, 1), 1);
	http_fixture_write(fd, "ok");
	http_fixture_expect_end(h, fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
	http_fixture_close(&recorder);
}

/* No descriptor is left for what the listener's backlog holds when the front end is shut: the rest goes on as
 * ever. */
static void shutting_without_descriptors(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int first = http_fixture_dial(h), second, how;
	struct rlimit was, few;
	char b[HTTP_FIXTURE_READ_BYTES];

	(void)state;
	recorder.answer = 1;
	UNTIL(h, http_counters_read(h).accepted_connections == 1);
	second = http_fixture_dial(h);
	http_fixture_write(first, http_fixture_get_a);
	http_fixture_write(second, http_fixture_get_a);
	assert_return_code(getrlimit(RLIMIT_NOFILE, &was), errno);
	few = (struct rlimit){ (rlim_t)second + 1, was.rlim_max };
	assert_return_code(setrlimit(RLIMIT_NOFILE, &few), errno);
	http_listener_drain(h, 1);
	http_listener_stop_accepting(h, 1);
	assert_return_code(setrlimit(RLIMIT_NOFILE, &was), errno);
	http_fixture_expect_end(h, first, leaving_ok);
	http_fixture_read(h, second, b, HTTP_FIXTURE_READ_BYTES, HTTP_FIXTURE_READ_BYTES, &how);
	assert_int_not_equal(how, 0); /* closed unread */
	close(second);
	assert_int_equal(recorder.requests, 1);
	assert_int_equal(http_busy_count(h), 0);
	http_fixture_close(&recorder);
}

/* Each request that was read whole has one outcome. */
static void each_request_has_one_outcome(void **state)
{
	static const char get_old[] = "GET / HTTP/1.0\r\n\r\n";
	struct http_field again[] = { { "Retry-After", "1.5" } };
	uint64_t expected[HTTP_OUTCOME_COUNT] = { 0 };
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int fd;

	(void)state;
	for (int i = 0; i < 7; i++) {
		struct http_counters n;

		fd = http_fixture_dial(h);
		http_fixture_write(fd, i == 3 ? get_old : http_fixture_get_a);
		UNTIL(h, recorder.requests == i + 1);
		assert_int_equal(http_pending_request_count(h), 1);
		if (i == 0)
			http_respond(h, recorder.token[i], 200, NULL, 0, "x", 1);
		if (i == 1)
			http_respond(h, recorder.token[i], 503, again, 1, "", 0);
		if (i == 2)
			http_respond(h, recorder.token[i], 503, NULL, 0, "", 0);
		if (i == 3)
			http_response_begin(h, recorder.token[i], 200, NULL, 0, -1);
		if (i == 3 || i == 4)
			http_response_abort(h, recorder.token[i]);
		if (i == 5)
			close(fd);
		if (i == 6) {
			http_response_set_deadline(h, recorder.token[i], clock_ms() - 1);
			http_respond(h, recorder.token[i], 200, NULL, 0, "x", 1);
		}
		expected[(int[]){ HTTP_OUTCOME_ANSWERED, HTTP_OUTCOME_REJECTED, HTTP_OUTCOME_ANSWERED,
				  HTTP_OUTCOME_ABORTED, HTTP_OUTCOME_ABORTED, HTTP_OUTCOME_DISCONNECTED,
				  HTTP_OUTCOME_EXPIRED }[i]]++;
		UNTIL(h, !http_pending_request_count(h));
		n = http_counters_read(h);
		assert_memory_equal(n.outcomes, expected, sizeof expected);
		if (i != 5)
			close(fd);
	}
	fd = http_fixture_dial(h);
	http_fixture_write(fd, "GET /bad\r\n\r\n"); /* never read whole */
	UNTIL(h, http_counters_read(h).rejected_requests == 1);
	assert_int_equal(http_pending_request_count(h), 0);
	close(fd);
	http_fixture_close(&recorder);
}

/* The loop is closed while answers are on their way, over bytes that nobody has read: the answers arrive. */
static void closing_loses_no_answer(void **state)
{
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int given = http_fixture_dial(h), lingers = http_fixture_dial(h), waits = http_fixture_dial(h);
	char b[200];

	(void)state;
	http_fixture_write(given, http_fixture_get_a);
	UNTIL(h, recorder.requests == 1);
	http_fixture_write(lingers, "GET / HTTP/1.1\r\nConnection: close\r\n\r\nsurplus");
	UNTIL(h, recorder.requests == 2);
	http_fixture_write(waits, http_fixture_get_a);
	UNTIL(h, recorder.requests == 3);
	http_respond(h, recorder.token[1], 200, NULL, 0, "2", 1);
	http_wait(h, 0);
	assert_int_equal(http_pending_request_count(h), 2);
	http_respond(h, recorder.token[0], 200, NULL, 0, "1", 1);
	http_fixture_write(given, "surplus");
	http_fixture_write(lingers, "surplus");
	http_fixture_close(&recorder);
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
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int head = http_fixture_dial(h), body = http_fixture_dial(h), chunk = http_fixture_dial(h),
	    idle = http_fixture_dial(h), waits = http_fixture_dial(h);

	(void)state;
	http_fixture_write(head, "GET /a HT");
	http_fixture_write(body, "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
	http_fixture_write(chunk, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
	http_fixture_write(waits, http_fixture_get_a);
	UNTIL(h, recorder.requests == 1 && http_incomplete_request_count(h, 1) == 3);
	http_listener_drain(h, 1);
	http_listener_stop_accepting(h, 1);
	http_reject_incomplete_requests(h, 1, 500);
	assert_int_equal(http_incomplete_request_count(h, 1), 0);
	http_fixture_write(body, "cde"); /* was on its way, and is read over */
	http_fixture_expect_end(h, head, refused);
	http_fixture_expect_end(h, body, refused);
	http_fixture_expect_end(h, chunk, refused);
	http_fixture_expect_end(h, idle, "");
	http_respond(h, recorder.token[0], 200, NULL, 0, "", 0);
	http_fixture_expect_end(h, waits, leaving_ok);
	assert_int_equal(recorder.requests, 1);
	assert_int_equal(http_busy_count(h), 0);
	http_fixture_close(&recorder);
}

/* What is understood does not depend on how the bytes are cut, however odd they are. */

int main(void)
{
	const struct CMUnitTest tests[] = {
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
	};

	return RUN_HTTP_TESTS(tests);
}
