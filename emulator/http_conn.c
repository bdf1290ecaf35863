/* HTTP/1.1 connections of the event loop, both ways, read with http-parser. One message at a time is read
 * from a connection; bytes that come while none is due are reported to its owner. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "containers.h"
#include "event_loop_internal.h"

static int parse_address(const char *addr, struct sockaddr_in *socket_address)
{
	char ip[40];
	const char *colon = strrchr(addr, ':');

	memset(socket_address, 0, sizeof *socket_address);
	socket_address->sin_family = AF_INET;
	if (!colon || (size_t)(colon - addr) >= sizeof ip)
		return 0;
	memcpy(ip, addr, (size_t)(colon - addr));
	ip[colon - addr] = 0;
	socket_address->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, ip, &socket_address->sin_addr) == 1;
}

static void conn_update_events(struct conn *conn)
{
	struct epoll_event input = { .data.ptr = conn };

	if (conn->is_closed || conn->fd < 0)
		return;
	if (!conn->is_silent)
		input.events =
		    EPOLLIN | (!conn->is_up || arrlenu(conn->output) > conn->out_offset ? EPOLLOUT : 0);
	epoll_ctl(conn->loop->epoll_fd, EPOLL_CTL_MOD, conn->fd, &input);
}

void http_message_clear(struct http_message *message)
{
	for (int i = 0; i < arrlen(message->fields); i++) {
		free(message->fields[i].name);
		free(message->fields[i].value);
	}
	arrfree(message->fields);
	free(message->method);
	free(message->target);
	free(message->body);
	memset(message, 0, sizeof *message);
}

const char *http_message_field(const struct http_message *message, const char *name)
{
	for (int i = 0; message && i < arrlen(message->fields); i++)
		if (!strcasecmp(message->fields[i].name, name))
			return message->fields[i].value;
	return NULL;
}

/* Close a socket that the loop watches. To close it is not enough: a process that is being started holds a
 * copy of it for a moment, and as long epoll goes on to name it with a pointer that may have been freed. */
static void stop_watching(struct loop *loop, int fd)
{
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
	close(fd);
}

void conn_destroy(struct conn *conn, int reset)
{
	struct linger now = { 1, 0 };

	if (conn->is_closed)
		return;
	conn->is_closed = 1;
	if (conn->port)
		conn->port->connection_count--;
	if (reset && conn->fd >= 0)
		setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
	if (conn->fd >= 0)
		stop_watching(conn->loop, conn->fd);
	conn->fd = -1;
}

void conn_close(struct conn *conn, int reset)
{
	if (!reset && conn->is_up && arrlenu(conn->output) > conn->out_offset) {
		ssize_t n = send(conn->fd, conn->output + conn->out_offset,
				 arrlenu(conn->output) - conn->out_offset, MSG_NOSIGNAL | MSG_DONTWAIT);

		(void)n;
	}
	conn_destroy(conn, reset);
}

static void conn_lost(struct conn *conn, enum conn_end how)
{
	if (conn->is_closed)
		return;
	conn_destroy(conn, how == CONN_BAD || how == CONN_SURPLUS);
	if (conn->handlers->closed)
		conn->handlers->closed(conn->context, conn, how);
}

static void append_text(char **text, const char *at, size_t n)
{
	size_t old = *text ? strlen(*text) : 0;

	*text = realloc(*text, old + n + 1);
	memcpy(*text + old, at, n);
	(*text)[old + n] = 0;
}

static int on_begin(http_parser *parser)
{
	struct conn *conn = parser->data;

	http_message_clear(&conn->message);
	conn->value_next = 0;
	conn->is_complete = 0;
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t n)
{
	struct conn *conn = parser->data;

	append_text(&conn->message.target, at, n);
	return 0;
}

static int on_name(http_parser *parser, const char *at, size_t n)
{
	struct conn *conn = parser->data;
	struct field field = { NULL, NULL };

	if (!arrlen(conn->message.fields) || conn->value_next) {
		field.value = strdup("");
		arrput(conn->message.fields, field);
	}
	conn->value_next = 0;
	append_text(&arrlast(conn->message.fields).name, at, n);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t n)
{
	struct conn *conn = parser->data;

	conn->value_next = 1;
	append_text(&arrlast(conn->message.fields).value, at, n);
	return 0;
}

static int on_head(http_parser *parser)
{
	struct conn *c = parser->data;

	c->message.status = parser->status_code;
	c->message.keep_alive = http_should_keep_alive(parser);
	if (c->port)
		c->message.method = strdup(http_method_str((enum http_method)parser->method));
	else if (c->handlers->head)
		c->handlers->head(c->context, c, &c->message);
	return c->is_closed ? -1 : 0;
}

static int on_data(http_parser *parser, const char *at, size_t n)
{
	struct conn *conn = parser->data;

	conn->message.body = realloc(conn->message.body, conn->message.body_length + n + 1);
	memcpy(conn->message.body + conn->message.body_length, at, n);
	conn->message.body_length += n;
	conn->message.body[conn->message.body_length] = 0;
	if (!conn->port && conn->handlers->data)
		conn->handlers->data(conn->context, conn, at, n);
	return conn->is_closed ? -1 : 0;
}

static int on_message_complete(http_parser *parser)
{
	struct conn *conn = parser->data;

	conn->message.keep_alive = http_should_keep_alive(parser);
	conn->is_complete = 1;
	http_parser_pause(parser, 1); /* one message at a time */
	return 0;
}

static const http_parser_settings settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_data,
	.on_message_complete = on_message_complete,
};

static void conn_restart_parser(struct conn *conn)
{
	http_parser_init(&conn->parser, conn->port ? HTTP_REQUEST : HTTP_RESPONSE);
	conn->parser.data = conn;
}

static void conn_parse(struct conn *conn, int eof)
{
	if (conn->parsing)
		return;
	conn->parsing = 1;
	while (!conn->is_closed && (arrlen(conn->input) || eof)) {
		size_t n, have = arrlenu(conn->input);
		enum http_errno err;

		if (conn->port ? conn->in_request : !conn->awaits_answer) {
			if (!conn->port && have) {
				conn_lost(conn, CONN_SURPLUS);
			} else if (eof) {
				conn_lost(conn, CONN_CLOSED);
			}
			break;
		}
		n = http_parser_execute(&conn->parser, &settings, conn->input, have);
		if (conn->is_closed)
			break;
		err = HTTP_PARSER_ERRNO(&conn->parser);
		if (have)
			arrdeln(conn->input, 0, (ptrdiff_t)(n < have ? n : have));
		if (conn->is_complete) {
			int eof_ended = !have;

			conn->is_complete = 0;
			conn_restart_parser(conn);
			if (conn->port) {
				conn->in_request = 1;
				conn->handlers->request(conn->context, conn, &conn->message);
			} else {
				conn->awaits_answer = 0;
				conn->idle_since_us = loop_us();
				if (conn->handlers->complete)
					conn->handlers->complete(conn->context, conn, &conn->message);
			}
			if (eof_ended && !conn->is_closed)
				conn_lost(conn, CONN_CLOSED);
			continue;
		}
		if (err != HPE_OK) {
			conn_lost(conn, eof && !have ? CONN_CLOSED : CONN_BAD);
			break;
		}
		if (eof) {
			if (!have) {
				conn_lost(conn, CONN_CLOSED);
				break;
			}
			continue; /* once more, with nothing: the end of what is read until the end */
		}
	}
	if (eof && !conn->is_closed && conn->port && conn->in_request)
		conn_lost(conn, CONN_CLOSED); /* its caller disconnected */
	conn->parsing = 0;
}

void conn_finish_response(struct conn *conn, int keep_alive)
{
	if (conn->is_closed)
		return;
	conn->in_request = 0;
	conn->idle_since_us = loop_us();
	if (!keep_alive) {
		conn->closing = 1;
		if (arrlenu(conn->output) <= conn->out_offset) {
			shutdown(conn->fd, SHUT_WR);
			conn_destroy(conn, 0);
		}
		return;
	}
	conn_parse(conn, 0);
}

void conn_expect(struct conn *conn)
{
	conn->awaits_answer = 1;
	conn->message.status = 0;
}

static void conn_flush(struct conn *conn)
{
	while (!conn->is_closed && conn->is_up && !conn->is_silent &&
	       arrlenu(conn->output) > conn->out_offset) {
		ssize_t n = send(conn->fd, conn->output + conn->out_offset,
				 arrlenu(conn->output) - conn->out_offset, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0) { /* handlers are not called from within a write: the loop reports it */
			conn->reset |= errno == ECONNRESET;
			shutdown(conn->fd, SHUT_RDWR);
			conn->out_offset = arrlenu(conn->output);
			break;
		}
		conn->out_offset += (size_t)n;
	}
	if (conn->is_closed)
		return;
	if (arrlenu(conn->output) <= conn->out_offset) {
		if (conn->output)
			arrsetlen(conn->output, 0);
		conn->out_offset = 0;
		if (conn->closing) {
			conn_destroy(conn, 0);
			return;
		}
	}
	conn_update_events(conn);
}

void conn_write(struct conn *conn, const char *data, size_t n)
{
	if (conn->is_closed || !n)
		return;
	memcpy(arraddnptr(conn->output, n), data, n);
	if (arrlenu(conn->output) - conn->out_offset == n)
		conn_flush(conn);
}

void conn_writef(struct conn *conn, const char *fmt, ...)
{
	char b[4096];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(b, sizeof b, fmt, ap);
	va_end(ap);
	conn_write(conn, b, (size_t)n < sizeof b ? (size_t)n : sizeof b - 1);
}

void conn_set_handlers(struct conn *conn, const struct conn_handlers *handlers, void *context)
{
	conn->handlers = handlers;
	conn->context = context;
}

int conn_read_by_peer(const struct conn *conn)
{
	return conn->is_up && !conn->is_closed && arrlenu(conn->output) == conn->out_offset &&
	       socket_unread(conn->fd) == 0;
}

int conn_is_up(const struct conn *conn)
{
	return conn->is_up && !conn->is_closed;
}

int conn_is_alive(const struct loop *loop, const struct conn *conn)
{
	for (int i = 0; i < arrlen(loop->connections); i++)
		if (loop->connections[i] == conn)
			return !conn->is_closed;
	return 0;
}

void *conn_tag(struct conn *conn)
{
	return conn->tag;
}

void conn_set_tag(struct conn *conn, void *tag)
{
	conn->tag = tag;
}

static struct conn *conn_new(struct loop *loop, int fd, struct port *port,
			     const struct conn_handlers *handlers, void *context)
{
	struct conn *conn = calloc(1, sizeof *conn);
	struct epoll_event event = { .events = EPOLLIN | (port ? 0 : EPOLLOUT), .data.ptr = conn };
	int one = 1;

	conn->owner.kind = 2;
	conn->loop = loop;
	conn->fd = fd;
	conn->port = port;
	conn->handlers = handlers;
	conn->context = context;
	conn->is_up = port != NULL;
	conn->idle_since_us = loop_us();
	conn_restart_parser(conn);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &event);
	arrput(loop->connections, conn);
	return conn;
}

struct conn *conn_connect(struct loop *loop, const char *addr, const struct conn_handlers *handlers,
			  void *context)
{
	struct sockaddr_in socket_address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	if (!parse_address(addr, &socket_address) ||
	    (connect(fd, (struct sockaddr *)&socket_address, sizeof socket_address) < 0 &&
	     errno != EINPROGRESS)) {
		close(fd);
		return NULL;
	}
	return conn_new(loop, fd, NULL, handlers, context);
}

struct port *port_open(struct loop *loop, const char *addr, const struct conn_handlers *handlers,
		       void *context, int max)
{
	struct sockaddr_in socket_address;
	struct port *port;
	struct epoll_event event = { .events = EPOLLIN };
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	if (!parse_address(addr, &socket_address) ||
	    bind(fd, (struct sockaddr *)&socket_address, sizeof socket_address) < 0 || listen(fd, 512) < 0) {
		fprintf(stderr, "notchlug-emulator: listening at %s: %s\n", addr, strerror(errno));
		close(fd);
		return NULL;
	}
	port = calloc(1, sizeof *port);
	port->owner.kind = 1;
	port->loop = loop;
	port->fd = fd;
	port->max_connections = max;
	port->handlers = handlers;
	port->context = context;
	event.data.ptr = port;
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &event);
	arrput(loop->ports, port);
	return port;
}

int port_count(const struct port *port)
{
	return port->connection_count;
}

void port_set_idle_timeout(struct port *port, int ms)
{
	port->idle_ms = ms;
}

void port_close(struct port *port, int reset)
{
	if (!port || port->is_closed)
		return;
	port->is_closed = 1;
	stop_watching(port->loop, port->fd);
	for (int i = 0; i < arrlen(port->loop->connections); i++)
		if (port->loop->connections[i]->port == port)
			conn_destroy(port->loop->connections[i], reset);
}

void port_set_silent(struct port *port, int is_silent)
{
	struct epoll_event event = { .events = is_silent ? 0 : EPOLLIN, .data.ptr = port };

	if (!port || port->is_closed)
		return;
	port->is_silent = is_silent;
	epoll_ctl(port->loop->epoll_fd, EPOLL_CTL_MOD, port->fd, &event);
	for (int i = 0; i < arrlen(port->loop->connections); i++)
		if (port->loop->connections[i]->port == port) {
			port->loop->connections[i]->is_silent = is_silent;
			conn_update_events(port->loop->connections[i]);
		}
}

void port_accept_all(struct port *port)
{
	for (;;) {
		int fd = accept4(port->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		conn_new(port->loop, fd, port, port->handlers, port->context);
		if (++port->connection_count > port->max_connections && port->max_connections)
			conn_destroy(arrlast(port->loop->connections), 1);
	}
}

void conn_on_ready(struct conn *conn, uint32_t events)
{
	char b[65536];

	if (conn->is_closed || conn->is_silent)
		return;
	if (!conn->is_up) {
		int err = 0;
		socklen_t n = sizeof err;

		if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
			return;
		getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &err, &n);
		if (err) {
			conn_lost(conn, CONN_REFUSED);
			return;
		}
		conn->is_up = 1;
	}
	if (events & EPOLLOUT)
		conn_flush(conn);
	while (!conn->is_closed && events & (EPOLLIN | EPOLLHUP | EPOLLERR)) {
		ssize_t n = recv(conn->fd, b, sizeof b, 0);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0) {
			conn_lost(conn, CONN_RESET);
			return;
		}
		if (n)
			memcpy(arraddnptr(conn->input, n), b, (size_t)n);
		else if (conn->reset)
			conn_lost(conn, CONN_RESET);
		conn_parse(conn, n == 0);
		if (n == 0) {
			if (!conn->is_closed)
				conn_lost(conn, CONN_CLOSED);
			return;
		}
	}
}
