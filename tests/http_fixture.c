/* http_fixture: see http_fixture.h for the contract. */
#include "http_fixture.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "shell.h"

/* ---- clock and system calls ---- */

struct http_fixture_clock http_fixture_clock;
struct http_fixture_write_after_wait http_fixture_after_wait;
struct http_fixture_calls http_fixture_calls;
struct test_server *http_fixture_early_server;

int64_t __wrap_clock_ms(void)
{
	return __real_clock_ms() + http_fixture_clock.offset_ms;
}

int __real_epoll_wait(int fd, struct epoll_event *event, int n, int ms);
int __wrap_epoll_wait(int fd, struct epoll_event *event, int n, int ms);
int __wrap_epoll_wait(int fd, struct epoll_event *event, int n, int ms)
{
	http_fixture_calls.waits += http_fixture_calls.counting;
	http_fixture_clock.offset_ms += http_fixture_clock.freeze_ms;
	http_fixture_clock.freeze_ms = 0;
	if (http_fixture_early_server)
		test_server_write_first(http_fixture_early_server);
	http_fixture_early_server = NULL;
	if (http_fixture_after_wait.text) {
		int ready_count = __real_epoll_wait(fd, event, n, 0);

		http_fixture_write(http_fixture_after_wait.fd, http_fixture_after_wait.text);
		http_fixture_after_wait.text = NULL;
		http_fixture_clock.offset_ms += http_fixture_after_wait.freeze_ms;
		return ready_count;
	}
	return __real_epoll_wait(fd, event, n, ms);
}

int __real_epoll_ctl(int ep, int op, int fd, struct epoll_event *event);
int __wrap_epoll_ctl(int ep, int op, int fd, struct epoll_event *event);
int __wrap_epoll_ctl(int ep, int op, int fd, struct epoll_event *event)
{
	http_fixture_calls.epoll_ctls += http_fixture_calls.counting;
	return __real_epoll_ctl(ep, op, fd, event);
}

ssize_t __wrap_recv(int fd, void *d, size_t n, int flags);
ssize_t __wrap_recv(int fd, void *d, size_t n, int flags)
{
	*(flags & MSG_PEEK ? &http_fixture_calls.peeks : &http_fixture_calls.recvs) +=
	    http_fixture_calls.counting;
	return __real_recv(fd, d, n, flags);
}

ssize_t __real_send(int fd, const void *d, size_t n, int flags);
ssize_t __wrap_send(int fd, const void *d, size_t n, int flags);
ssize_t __wrap_send(int fd, const void *d, size_t n, int flags)
{
	http_fixture_calls.sends += http_fixture_calls.counting;
	return __real_send(fd, d, n, flags);
}

/* ---- callbacks of the loop ---- */

static void hook(struct http_recorder *recorder, const char *what, uint64_t token)
{
	if (recorder->hook)
		recorder->hook(recorder, what, token);
}

static void on_request(void *ctx, const struct http_request *request)
{
	struct http_recorder *recorder = ctx;

	recorder->token[recorder->requests++ % HTTP_FIXTURE_TOKENS] = request->token;
	snprintf(recorder->method, sizeof recorder->method, "%s", request->method);
	snprintf(recorder->target, sizeof recorder->target, "%s", request->target);
	recorder->body_bytes = request->body_bytes;
	recorder->field_count = request->field_count;
	if (request->body_bytes && request->body_bytes < sizeof recorder->body)
		memcpy(recorder->body, request->body, request->body_bytes);
	assert_ptr_equal(http_request_find(recorder->h, request->token), request);
	if (recorder->answer)
		http_respond(recorder->h, request->token, 200, NULL, 0, request->body, request->body_bytes);
	hook(recorder, "request", request->token);
}

static void on_gone(void *ctx, uint64_t token)
{
	struct http_recorder *recorder = ctx;

	recorder->disconnected_count++;
	recorder->disconnected_token = token;
	assert_null(http_request_find(recorder->h, token));
	hook(recorder, "gone", token);
}

static void on_head(void *ctx, uint64_t token, int status, const struct http_field *field, int nf)
{
	struct http_recorder *recorder = ctx;
	struct recorded_call *call = &recorder->call[token];
	const char *id = http_field_value(field, nf, "x-id");

	call->violates_contract |= call->done || call->cancelled || call->status;
	call->status = status;
	snprintf(call->x_id, sizeof call->x_id, "%s", id ? id : "");
	hook(recorder, "head", token);
}

static void on_body(void *ctx, uint64_t token, const char *d, size_t n)
{
	struct http_recorder *recorder = ctx;
	struct recorded_call *call = &recorder->call[token];

	call->violates_contract |= call->done || call->cancelled || !call->status || !n ||
				   call->body_bytes + n > HTTP_FIXTURE_BODY_BYTES;
	if (call->body_bytes + n <= HTTP_FIXTURE_BODY_BYTES)
		memcpy(call->body + call->body_bytes, d, n);
	call->body_bytes += n;
	hook(recorder, "body", token);
}

static void on_done(void *ctx, uint64_t token, enum http_call_result how, int status)
{
	struct http_recorder *recorder = ctx;
	struct recorded_call *call = &recorder->call[token];

	call->violates_contract |= call->done || call->cancelled ||
				   (how == HTTP_CALL_COMPLETE && status != call->status) ||
				   (how == HTTP_CALL_NOT_SENT && status);
	call->done++;
	call->result = how;
	hook(recorder, "done", token);
}

const struct http_limits http_fixture_limits = { 2048, 16384, 5000, 60000 };

struct http *http_fixture_open(struct http_recorder *recorder)
{
	struct http_callbacks callbacks = { recorder, on_request, on_gone, on_head, on_body, on_done };

	memset(recorder, 0, sizeof *recorder);
	assert_non_null(recorder->call = calloc(HTTP_FIXTURE_TOKENS, sizeof *recorder->call));
	assert_non_null(recorder->h = http_open(&callbacks, NULL));
	assert_int_equal(http_listen(recorder->h, "127.0.0.1:0", 1, &http_fixture_limits), 1);
	return recorder->h;
}

void http_fixture_close(struct http_recorder *recorder)
{
	http_close(recorder->h);
	free(recorder->call);
	http_fixture_clock.offset_ms = 0;
}

/* ---- clients and servers at the far ends ---- */

uint64_t loopback_addr(int port)
{
	return (uint64_t)INADDR_LOOPBACK << 16 | (uint64_t)port;
}

int http_fixture_dial(struct http *h)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
				       .sin_port = htons((uint16_t)http_listener_port(h, 1)) };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	assert_return_code(connect(fd, (struct sockaddr *)&address, sizeof address), errno);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	return fd;
}

void http_fixture_write_bytes(int fd, const char *d, size_t n)
{
	while (n) {
		ssize_t sent_bytes = send(fd, d, n, MSG_NOSIGNAL);

		if (sent_bytes < 0)
			return; /* the connection is closed; the caller reads what was received on it */
		d += sent_bytes;
		n -= (size_t)sent_bytes;
	}
}

void http_fixture_write(int fd, const char *d)
{
	http_fixture_write_bytes(fd, d, strlen(d));
}

size_t http_fixture_read(struct http *h, int fd, char *to, size_t expected, size_t cap, int *how)
{
	int64_t deadline_ms = __real_clock_ms() + HTTP_FIXTURE_LIMIT_MS;
	size_t n = 0;

	*how = 0;
	while (n < expected && __real_clock_ms() < deadline_ms) {
		struct pollfd p = { fd, POLLIN, 0 };
		ssize_t received_bytes;

		http_wait(h, 0);
		if (poll(&p, 1, 1) <= 0)
			continue;
		received_bytes = recv(fd, to + n, cap - 1 - n, MSG_DONTWAIT);
		if (!received_bytes || (received_bytes < 0 && errno != EAGAIN)) {
			*how = received_bytes ? 2 : 1;
			break;
		}
		if (received_bytes > 0)
			n += (size_t)received_bytes;
	}
	to[n] = 0;
	return n;
}

void http_fixture_expect_end(struct http *h, int fd, const char *expected)
{
	static char buffer[HTTP_FIXTURE_READ_BYTES];
	int how;

	http_fixture_read(h, fd, buffer, HTTP_FIXTURE_READ_BYTES, HTTP_FIXTURE_READ_BYTES, &how);
	assert_string_equal(buffer, expected);
	assert_int_equal(how, 1);
	close(fd);
}

void http_fixture_expect(struct http *h, int fd, const char *expected)
{
	static char buffer[HTTP_FIXTURE_READ_BYTES];
	int how;

	http_fixture_read(h, fd, buffer, strlen(expected), HTTP_FIXTURE_READ_BYTES, &how);
	assert_string_equal(buffer, expected);
	assert_int_equal(how, 0);
}

void test_server_write_first(struct test_server *server)
{
	server->conn = accept(server->listener, NULL, NULL);
	http_fixture_write(server->conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly");
}

struct test_server test_server_open(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t n = sizeof address;
	struct test_server server = { socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), -1, 0 };

	assert_return_code(bind(server.listener, (struct sockaddr *)&address, sizeof address), errno);
	assert_return_code(listen(server.listener, 64), errno);
	getsockname(server.listener, (struct sockaddr *)&address, &n);
	server.addr = loopback_addr(ntohs(address.sin_port));
	return server;
}

void test_server_accept(struct http *h, struct test_server *server)
{
	int64_t deadline_ms = __real_clock_ms() + HTTP_FIXTURE_LIMIT_MS;

	while ((server->conn = accept(server->listener, NULL, NULL)) < 0 && __real_clock_ms() < deadline_ms)
		http_wait(h, 1);
	assert_true(server->conn >= 0);
}

const char http_fixture_get_a[] = "GET /a HTTP/1.1\r\n\r\n";

static const struct http_field host_field[] = { { "Host", "x" } };

struct http_client_request get_request(void)
{
	return (struct http_client_request){ .method = "GET",
					     .target = "/t",
					     .fields = host_field,
					     .field_count = 1,
					     .not_after_ms = __wrap_clock_ms() + 5000,
					     .connect_timeout_ms = 1000,
					     .timeout_ms = 10000 };
}

/* ---- random numbers ---- */

unsigned random_below(uint64_t *r, unsigned n)
{
	*r ^= *r << 13;
	*r ^= *r >> 7;
	*r ^= *r << 17;
	return (unsigned)(*r >> 11) % n;
}
