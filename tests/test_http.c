/* http both ways on real sockets: loopback, ports given by the kernel, waits on conditions with limits. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <arpa/inet.h>
#include <cmocka.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"
#include "shell.h"

enum { LIMIT = 20000 };

struct seen { struct http *h; uint64_t token[64]; int requests, gone, heads, done; char verb[16], target[256], body[4096]; int nb; char got[65536]; size_t ngot; enum http_end how; int status; };

static void on_request(void *ctx, const struct http_req *q)
{
	struct seen *s = ctx;

	s->token[s->requests++ % 64] = q->token;
	snprintf(s->verb, sizeof s->verb, "%s", q->verb);
	snprintf(s->target, sizeof s->target, "%s", q->target);
	s->nb = (int)q->len;
	if (q->len < sizeof s->body && q->len)
		memcpy(s->body, q->body, q->len);
}

static void on_gone(void *ctx, uint64_t token) { (void)token; ((struct seen *)ctx)->gone++; }
static void on_head(void *ctx, uint64_t token, int status, const struct http_field *f, int nf)
{
	(void)token; (void)f; (void)nf;
	((struct seen *)ctx)->heads++;
	((struct seen *)ctx)->status = status;
}
static void on_body(void *ctx, uint64_t token, const char *d, size_t n)
{
	struct seen *s = ctx;

	(void)token;
	memcpy(s->got + s->ngot, d, n);
	s->ngot += n;
}
static void on_done(void *ctx, uint64_t token, enum http_end how, int status)
{
	(void)token; (void)status;
	((struct seen *)ctx)->done++;
	((struct seen *)ctx)->how = how;
}

static struct http *open_h(struct seen *s)
{
	struct http_on on = { s, on_request, on_gone, on_head, on_body, on_done };

	memset(s, 0, sizeof *s);
	s->h = http_open(&on, NULL);
	assert_non_null(s->h);
	return s->h;
}

static void both_ways(void **st)
{
	struct seen s;
	struct http *h = open_h(&s);
	struct http_limits l = { 16384, 1 << 20, 5000, 5000 };
	struct http_field f[] = { { "Host", "x" }, { "X-A", "b c" } };
	struct http_out q = { "POST", "/a/b?c", f, 2, "hello", 5, clock_ms() + 5000, 1000, 5000, 0 };
	int64_t end = clock_ms() + LIMIT;
	uint64_t addr;
	int i;

	(void)st;
	assert_int_equal(http_listen(h, "127.0.0.1:0", 1, &l), 1);
	addr = (uint64_t)INADDR_LOOPBACK << 16 | (uint64_t)http_port(h, 1);
	for (i = 0; i < 5; i++) {
		s.done = s.heads = 0;
		s.ngot = 0;
		http_call(h, (uint64_t)i + 1, addr, &q);
		while (s.requests == i && clock_ms() < end)
			http_wait(h, 25);
		assert_int_equal(s.requests, i + 1);
		assert_string_equal(s.target, "/a/b?c");
		assert_int_equal(s.nb, 5);
		http_begin(h, s.token[i], 200, f + 1, 1, i & 1 ? -1 : 6);
		http_write(h, s.token[i], "abc", 3);
		http_write(h, s.token[i], "def", 3);
		http_finish(h, s.token[i]);
		while (!s.done && clock_ms() < end)
			http_wait(h, 25);
		assert_int_equal(s.how, HTTP_WHOLE);
		assert_int_equal(s.status, 200);
		assert_int_equal(s.ngot, 6);
		assert_memory_equal(s.got, "abcdef", 6);
	}
	assert_int_equal(http_count(h).connects, 1);
	assert_int_equal(http_count(h).kept_used, 4);
	http_close(h);
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(both_ways) };

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
