/* A server that lies: random answers, torn, surplus, early, of another request, against the promise that no
 * request is sent twice and no wrong answer passes. On real sockets, see http_fixture.h. */
#include "http_fixture.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "shell.h"

enum { LIARS = 64, CALLS = 300, AT_ONCE = 8 };

struct liar_conn {
	int fd, closing;
	char b[20000];
	size_t n;
	char out[9000];
	size_t off, len, step;
};
struct liar {
	struct test_server t;
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
	unsigned how = liar->fair ? random_below(&liar->r, 4) : random_below(&liar->r, 24);
	char *o = liar_conn->out;

#define ADD(...) (o += sprintf(o, __VA_ARGS__))
#define PUT(p, m) (memcpy(o, p, m), o += (m))
	liar_conn->step =
	    liar->fair || random_below(&liar->r, 4) ? sizeof liar_conn->out : 1 + random_below(&liar->r, 400);
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
			k = 1 + random_below(&liar->r, 999);
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
		o = liar_conn->out + random_below(&liar->r, (unsigned)(o - liar_conn->out));
		liar_conn->closing = 1;
		break;
	case 12:
	case 15: /* resets early, or behind */
		o = liar_conn->out + random_below(&liar->r, (unsigned)(o - liar_conn->out) + 1);
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
			if ((liar_conn->fd = accept(liar->t.listener, NULL, NULL)) < 0)
				continue;
			fcntl(liar_conn->fd, F_SETFL, O_NONBLOCK);
			liar_conn->n = liar_conn->off = liar_conn->len = 0;
			liar_conn->closing = 0;
			if (!liar->fair && !random_below(&liar->r, 30)) {
				liar_end(liar, liar_conn, (int)random_below(&liar->r, 2));
				continue;
			}
			if (!liar->fair && !random_below(&liar->r, 30))
				http_fixture_write(
				    liar_conn->fd,
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
		if (!liar->fair && !random_below(&liar->r, 150)) {
			if (random_below(&liar->r, 3)) {
				liar_end(liar, liar_conn, (int)random_below(&liar->r, 2));
				continue;
			}
			http_fixture_write(liar_conn->fd,
					   "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 4\r\n\r\nlate");
		}
		if ((id = liar_read(liar, liar_conn)) < 0)
			liar_end(liar, liar_conn, 0);
		else if (id)
			liar_answer(liar, liar_conn, id);
		else if (liar_conn->n && !liar->fair && !random_below(&liar->r, 10))
			http_fixture_write(
			    liar_conn->fd,
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
	struct http_recorder recorder;
	struct http *h = http_fixture_open(&recorder);
	int started = 0, open, i, over = 0;
	int64_t stop = __real_clock_ms() + HTTP_FIXTURE_LIMIT_MS;

	memset(&liar, 0, sizeof liar);
	liar.t = test_server_open();
	liar.r = 88172645463325252ull + seed * 7919ull;
	liar.fair = fair;
	for (i = 0; i < LIARS; i++)
		liar.c[i].fd = -1;
	if (!fair && seed % 3 == 0)
		http_peer_set_max_connections(h, liar.t.addr, 4);
	for (over = 0; over < CALLS && __real_clock_ms() < stop;) {
		for (open = 0, over = 0, i = 1; i <= started; i++) {
			over += recorder.call[i].done || recorder.call[i].cancelled;
			open += !recorder.call[i].done && !recorder.call[i].cancelled;
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
			output.body_bytes = random_below(&liar.r, 2) ? random_below(&liar.r, 100)
								     : random_below(&liar.r, sizeof post);
			output.needs_new_connection = !fair && !random_below(&liar.r, 10);
			if (!fair && !random_below(&liar.r, 30))
				output.not_after_ms = __wrap_clock_ms() - (int)random_below(&liar.r, 2);
			http_call_start(h, (uint64_t)started, liar.t.addr, &output);
			open++;
		}
		if (!fair && !random_below(&liar.r, 40) && started > 4) {
			i = started - (int)random_below(&liar.r, 4);
			if (!recorder.call[i].done) {
				recorder.call[i].cancelled = 1;
				http_call_cancel(h, (uint64_t)i);
			}
		}
		if (!fair && !random_below(&liar.r, 60))
			http_peer_retire_connections(h, liar.t.addr);
		http_wait(h, (int)random_below(&liar.r, 2));
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
		struct recorded_call *call = &recorder.call[i];
		size_t n;
		const char *why = NULL;

		if (liar.arrived[i] > 1)
			why = "arrived twice";
		if (call->violates_contract)
			why = "was told wrongly";
		if (call->done + call->cancelled != 1)
			why = "did not end once";
		if (call->done && call->result == HTTP_CALL_NOT_SENT && liar.arrived[i])
			why = "never sent, and arrived";
		if (call->done && call->result == HTTP_CALL_COMPLETE && atoi(call->x_id) == i &&
		    !liar.arrived[i])
			why = "answered, and did not arrive";
		/* who answers is told by the id: bytes of another answer in this one's slot are whole in
		 * themselves */
		n = body_of(atoi(call->x_id), body);
		if (call->done && call->result == HTTP_CALL_COMPLETE && atoi(call->x_id) &&
		    (call->body_bytes != n || memcmp(call->body, body, n)))
			why = "whole, and is not";
		if (fair && (!call->done || call->result != HTTP_CALL_COMPLETE || atoi(call->x_id) != i ||
			     liar.arrived[i] != 1))
			why = "of a fair server was not served";
		if (why)
			fail_msg("seed %u: call %d %s (how %d, arrived %u, id %s, %zu bytes)", seed, i, why,
				 call->result, liar.arrived[i], call->x_id, call->body_bytes);
		sum->complete += call->done && call->result == HTTP_CALL_COMPLETE;
		sum->never += call->done && call->result == HTTP_CALL_NOT_SENT;
		sum->broke += call->done && call->result == HTTP_CALL_OUTCOME_UNKNOWN;
		sum->cancelled += call->cancelled;
		sum->other += call->done && call->result == HTTP_CALL_COMPLETE && atoi(call->x_id) != i;
	}
	close(liar.t.listener);
	free(recorder.call);
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(never_twice),
	};

	return RUN_HTTP_TESTS(tests);
}
