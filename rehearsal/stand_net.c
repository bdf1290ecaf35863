/* One loop: timers, listeners and HTTP connections both ways, read with http-parser. */
#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "ds.h"
#include "stand.h"

struct timer {
	int64_t at;
	uint64_t id;
	void (*fn)(void *ctx);
	void *ctx;
};
struct fd_owner {
	int kind; /* 1 port, 2 conn */
};

struct port {
	struct fd_owner o;
	struct loop *l;
	int fd, max, dark, idle_ms, count, dead;
	const struct conn_on *on;
	void *ctx;
};

struct conn {
	struct fd_owner o;
	struct loop *l;
	struct port *port; /* NULL: we call */
	int fd, up, dead, due, in_request, closing, dark, parsing, reset;
	int64_t idle_since;
	const struct conn_on *on;
	void *ctx, *tag;
	http_parser p;
	struct msg m;
	int value_next; /* the parser's last piece was a field's value */
	int whole;
	char *in, *out; /* stb arrays */
	size_t out_at;
};

struct loop {
	int ep;
	struct timer *t; /* heap */
	uint64_t ids;
	struct conn **conn;
	struct port **port;
	int64_t swept, late;
};

int64_t loop_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

uint64_t stand_rand(uint64_t *rng)
{
	uint64_t z = *rng += 0x9e3779b97f4a7c15u;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
	z = (z ^ z >> 27) * 0x94d049bb133111ebu;
	return z ^ z >> 31;
}

double stand_unit(uint64_t *rng) { return (double)(stand_rand(rng) >> 11) / 9007199254740992.0; }

uint64_t stand_hash(uint64_t h, const void *d, size_t n)
{
	const unsigned char *p = d;

	h ^= 0xcbf29ce484222325u;
	for (size_t i = 0; i < n; i++)
		h = (h ^ p[i]) * 0x100000001b3u;
	return h;
}

/* ---- timers ---- */

static void swap(struct timer *a, struct timer *b)
{
	struct timer x = *a;
	*a = *b;
	*b = x;
}

static void sift(struct loop *l, size_t i)
{
	size_t n = arrlenu(l->t);

	while (i && l->t[(i - 1) / 2].at > l->t[i].at) {
		swap(&l->t[i], &l->t[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	for (;;) {
		size_t k = i;

		for (size_t c = 2 * i + 1; c <= 2 * i + 2 && c < n; c++)
			if (l->t[c].at < l->t[k].at)
				k = c;
		if (k == i)
			return;
		swap(&l->t[i], &l->t[k]);
		i = k;
	}
}

uint64_t loop_after(struct loop *l, int64_t us, void (*fn)(void *ctx), void *ctx)
{
	struct timer t = { loop_us() + us, ++l->ids, fn, ctx };

	arrput(l->t, t);
	sift(l, arrlenu(l->t) - 1);
	return l->ids;
}

int64_t loop_late(struct loop *l)
{
	int64_t late = l->late;

	l->late = 0;
	return late;
}

static struct timer take(struct loop *l, size_t i)
{
	struct timer t = l->t[i], last = arrpop(l->t);

	if (i < arrlenu(l->t)) {
		l->t[i] = last;
		sift(l, i);
	}
	return t;
}

void loop_drop(struct loop *l, uint64_t id)
{
	for (size_t i = 0; id && i < arrlenu(l->t); i++)
		if (l->t[i].id == id) {
			take(l, i);
			return;
		}
}

/* ---- sockets ---- */

static int address(const char *addr, struct sockaddr_in *a)
{
	char ip[40];
	const char *colon = strrchr(addr, ':');

	memset(a, 0, sizeof *a);
	a->sin_family = AF_INET;
	if (!colon || (size_t)(colon - addr) >= sizeof ip)
		return 0;
	memcpy(ip, addr, (size_t)(colon - addr));
	ip[colon - addr] = 0;
	a->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, ip, &a->sin_addr) == 1;
}

static void watch(struct conn *c)
{
	struct epoll_event e = { .data.ptr = c };

	if (c->dead || c->fd < 0)
		return;
	if (!c->dark)
		e.events = EPOLLIN | (!c->up || arrlenu(c->out) > c->out_at ? EPOLLOUT : 0);
	epoll_ctl(c->l->ep, EPOLL_CTL_MOD, c->fd, &e);
}

static void msg_clear(struct msg *m)
{
	for (int i = 0; i < arrlen(m->f); i++) {
		free(m->f[i].name);
		free(m->f[i].value);
	}
	arrfree(m->f);
	free(m->method);
	free(m->target);
	free(m->body);
	memset(m, 0, sizeof *m);
}

const char *msg_get(const struct msg *m, const char *name)
{
	for (int i = 0; m && i < arrlen(m->f); i++)
		if (!strcasecmp(m->f[i].name, name))
			return m->f[i].value;
	return NULL;
}

/* Close a socket that the loop watches. To close it is not enough: a process that is being started holds a copy of it for
 * a moment, and as long epoll goes on to name it with a pointer that may have been freed. */
static void stop_watching(struct loop *l, int fd)
{
	epoll_ctl(l->ep, EPOLL_CTL_DEL, fd, NULL);
	close(fd);
}

static void kill_conn(struct conn *c, int reset)
{
	struct linger now = { 1, 0 };

	if (c->dead)
		return;
	c->dead = 1;
	if (c->port)
		c->port->count--;
	if (reset && c->fd >= 0)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
	if (c->fd >= 0)
		stop_watching(c->l, c->fd);
	c->fd = -1;
}

void conn_close(struct conn *c, int reset)
{
	if (!reset && c->up && arrlenu(c->out) > c->out_at) {
		ssize_t n = send(c->fd, c->out + c->out_at, arrlenu(c->out) - c->out_at, MSG_NOSIGNAL | MSG_DONTWAIT);

		(void)n;
	}
	kill_conn(c, reset);
}

static void lost(struct conn *c, enum conn_end how)
{
	if (c->dead)
		return;
	kill_conn(c, how == CONN_BAD || how == CONN_SURPLUS);
	if (c->on->gone)
		c->on->gone(c->ctx, c, how);
}

/* ---- parsing ---- */

static void append(char **s, const char *at, size_t n)
{
	size_t old = *s ? strlen(*s) : 0;

	*s = realloc(*s, old + n + 1);
	memcpy(*s + old, at, n);
	(*s)[old + n] = 0;
}

static int on_begin(http_parser *p)
{
	struct conn *c = p->data;

	msg_clear(&c->m);
	c->value_next = 0;
	c->whole = 0;
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	append(&c->m.target, at, n);
	return 0;
}

static int on_name(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;
	struct field f = { NULL, NULL };

	if (!arrlen(c->m.f) || c->value_next) {
		f.value = strdup("");
		arrput(c->m.f, f);
	}
	c->value_next = 0;
	append(&arrlast(c->m.f).name, at, n);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	c->value_next = 1;
	append(&arrlast(c->m.f).value, at, n);
	return 0;
}

static int on_head(http_parser *p)
{
	struct conn *c = p->data;

	c->m.status = p->status_code;
	c->m.keep = http_should_keep_alive(p);
	if (c->port)
		c->m.method = strdup(http_method_str((enum http_method)p->method));
	else if (c->on->head)
		c->on->head(c->ctx, c, &c->m);
	return c->dead ? -1 : 0;
}

static int on_data(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	c->m.body = realloc(c->m.body, c->m.len + n + 1);
	memcpy(c->m.body + c->m.len, at, n);
	c->m.len += n;
	c->m.body[c->m.len] = 0;
	if (!c->port && c->on->data)
		c->on->data(c->ctx, c, at, n);
	return c->dead ? -1 : 0;
}

static int on_whole(http_parser *p)
{
	struct conn *c = p->data;

	c->m.keep = http_should_keep_alive(p);
	c->whole = 1;
	http_parser_pause(p, 1); /* one message at a time */
	return 0;
}

static const http_parser_settings settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_data,
	.on_message_complete = on_whole,
};

static void restart(struct conn *c)
{
	http_parser_init(&c->p, c->port ? HTTP_REQUEST : HTTP_RESPONSE);
	c->p.data = c;
}

static void parse(struct conn *c, int eof)
{
	if (c->parsing)
		return;
	c->parsing = 1;
	while (!c->dead && (arrlen(c->in) || eof)) {
		size_t n, have = arrlenu(c->in);
		enum http_errno err;

		if (c->port ? c->in_request : !c->due) {
			if (!c->port && have) {
				lost(c, CONN_SURPLUS);
			} else if (eof) {
				lost(c, CONN_CLOSED);
			}
			break;
		}
		n = http_parser_execute(&c->p, &settings, c->in, have);
		if (c->dead)
			break;
		err = HTTP_PARSER_ERRNO(&c->p);
		if (have)
			arrdeln(c->in, 0, (ptrdiff_t)(n < have ? n : have));
		if (c->whole) {
			int eof_ended = !have;

			c->whole = 0;
			restart(c);
			if (c->port) {
				c->in_request = 1;
				c->on->request(c->ctx, c, &c->m);
			} else {
				c->due = 0;
				c->idle_since = loop_us();
				if (c->on->whole)
					c->on->whole(c->ctx, c, &c->m);
			}
			if (eof_ended && !c->dead)
				lost(c, CONN_CLOSED);
			continue;
		}
		if (err != HPE_OK) {
			lost(c, eof && !have ? CONN_CLOSED : CONN_BAD);
			break;
		}
		if (eof) {
			if (!have) {
				lost(c, CONN_CLOSED);
				break;
			}
			continue; /* once more, with nothing: the end of what is read until the end */
		}
	}
	if (eof && !c->dead && c->port && c->in_request)
		lost(c, CONN_CLOSED); /* its caller left */
	c->parsing = 0;
}

void conn_next(struct conn *c, int keep)
{
	if (c->dead)
		return;
	c->in_request = 0;
	c->idle_since = loop_us();
	if (!keep) {
		c->closing = 1;
		if (arrlenu(c->out) <= c->out_at) {
			shutdown(c->fd, SHUT_WR);
			kill_conn(c, 0);
		}
		return;
	}
	parse(c, 0);
}

void conn_expect(struct conn *c)
{
	c->due = 1;
	c->m.status = 0;
}

static void flush(struct conn *c)
{
	while (!c->dead && c->up && !c->dark && arrlenu(c->out) > c->out_at) {
		ssize_t n = send(c->fd, c->out + c->out_at, arrlenu(c->out) - c->out_at, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0) { /* never from within: whoever sends hears of it from the loop */
			c->reset |= errno == ECONNRESET;
			shutdown(c->fd, SHUT_RDWR);
			c->out_at = arrlenu(c->out);
			break;
		}
		c->out_at += (size_t)n;
	}
	if (c->dead)
		return;
	if (arrlenu(c->out) <= c->out_at) {
		if (c->out)
			arrsetlen(c->out, 0);
		c->out_at = 0;
		if (c->closing) {
			kill_conn(c, 0);
			return;
		}
	}
	watch(c);
}

void conn_say(struct conn *c, const char *d, size_t n)
{
	if (c->dead || !n)
		return;
	memcpy(arraddnptr(c->out, n), d, n);
	if (arrlenu(c->out) - c->out_at == n)
		flush(c);
}

void conn_sayf(struct conn *c, const char *fmt, ...)
{
	char b[4096];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(b, sizeof b, fmt, ap);
	va_end(ap);
	conn_say(c, b, (size_t)n < sizeof b ? (size_t)n : sizeof b - 1);
}

void conn_set(struct conn *c, const struct conn_on *on, void *ctx)
{
	c->on = on;
	c->ctx = ctx;
}

int conn_read_by_peer(const struct conn *c)
{
	return c->up && !c->dead && arrlenu(c->out) == c->out_at && socket_unread(c->fd) == 0;
}

int conn_up(const struct conn *c) { return c->up && !c->dead; }

int conn_alive(const struct loop *l, const struct conn *c)
{
	for (int i = 0; i < arrlen(l->conn); i++)
		if (l->conn[i] == c)
			return !c->dead;
	return 0;
}

void *conn_tag(struct conn *c) { return c->tag; }
void conn_set_tag(struct conn *c, void *tag) { c->tag = tag; }

static struct conn *conn_new(struct loop *l, int fd, struct port *p, const struct conn_on *on, void *ctx)
{
	struct conn *c = calloc(1, sizeof *c);
	struct epoll_event e = { .events = EPOLLIN | (p ? 0 : EPOLLOUT), .data.ptr = c };
	int one = 1;

	c->o.kind = 2;
	c->l = l;
	c->fd = fd;
	c->port = p;
	c->on = on;
	c->ctx = ctx;
	c->up = p != NULL;
	c->idle_since = loop_us();
	restart(c);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
	epoll_ctl(l->ep, EPOLL_CTL_ADD, fd, &e);
	arrput(l->conn, c);
	return c;
}

struct conn *conn_call(struct loop *l, const char *addr, const struct conn_on *on, void *ctx)
{
	struct sockaddr_in a;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	if (!address(addr, &a) || (connect(fd, (struct sockaddr *)&a, sizeof a) < 0 && errno != EINPROGRESS)) {
		close(fd);
		return NULL;
	}
	return conn_new(l, fd, NULL, on, ctx);
}

struct port *port_open(struct loop *l, const char *addr, const struct conn_on *on, void *ctx, int max)
{
	struct sockaddr_in a;
	struct port *p;
	struct epoll_event e = { .events = EPOLLIN };
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	if (!address(addr, &a) || bind(fd, (struct sockaddr *)&a, sizeof a) < 0 || listen(fd, 512) < 0) {
		fprintf(stderr, "rehearsal: listening at %s: %s\n", addr, strerror(errno));
		close(fd);
		return NULL;
	}
	p = calloc(1, sizeof *p);
	p->o.kind = 1;
	p->l = l;
	p->fd = fd;
	p->max = max;
	p->on = on;
	p->ctx = ctx;
	e.data.ptr = p;
	epoll_ctl(l->ep, EPOLL_CTL_ADD, fd, &e);
	arrput(l->port, p);
	return p;
}

int port_count(const struct port *p) { return p->count; }
void port_idle(struct port *p, int ms) { p->idle_ms = ms; }

void port_close(struct port *p, int reset)
{
	if (!p || p->dead)
		return;
	p->dead = 1;
	stop_watching(p->l, p->fd);
	for (int i = 0; i < arrlen(p->l->conn); i++)
		if (p->l->conn[i]->port == p)
			kill_conn(p->l->conn[i], reset);
}

void port_dark(struct port *p, int dark)
{
	struct epoll_event e = { .events = dark ? 0 : EPOLLIN, .data.ptr = p };

	if (!p || p->dead)
		return;
	p->dark = dark;
	epoll_ctl(p->l->ep, EPOLL_CTL_MOD, p->fd, &e);
	for (int i = 0; i < arrlen(p->l->conn); i++)
		if (p->l->conn[i]->port == p) {
			p->l->conn[i]->dark = dark;
			watch(p->l->conn[i]);
		}
}

static void accept_all(struct port *p)
{
	for (;;) {
		int fd = accept4(p->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		conn_new(p->l, fd, p, p->on, p->ctx);
		if (++p->count > p->max && p->max)
			kill_conn(arrlast(p->l->conn), 1);
	}
}

static void ready(struct conn *c, uint32_t ev)
{
	char b[65536];

	if (c->dead || c->dark)
		return;
	if (!c->up) {
		int err = 0;
		socklen_t n = sizeof err;

		if (!(ev & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
			return;
		getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &n);
		if (err) {
			lost(c, CONN_REFUSED);
			return;
		}
		c->up = 1;
	}
	if (ev & EPOLLOUT)
		flush(c);
	while (!c->dead && ev & (EPOLLIN | EPOLLHUP | EPOLLERR)) {
		ssize_t n = recv(c->fd, b, sizeof b, 0);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0) {
			lost(c, CONN_RESET);
			return;
		}
		if (n)
			memcpy(arraddnptr(c->in, n), b, (size_t)n);
		else if (c->reset)
			lost(c, CONN_RESET);
		parse(c, n == 0);
		if (n == 0) {
			if (!c->dead)
				lost(c, CONN_CLOSED);
			return;
		}
	}
}

static void sweep(struct loop *l)
{
	int64_t now = loop_us();

	if (now - l->swept > 50000) {
		l->swept = now;
		for (int i = 0; i < arrlen(l->conn); i++) {
			struct conn *c = l->conn[i];

			if (!c->dead && c->port && c->port->idle_ms && !c->in_request && !c->dark &&
			    now - c->idle_since > (int64_t)c->port->idle_ms * 1000)
				kill_conn(c, 0);
		}
	}
	for (int i = arrlen(l->conn) - 1; i >= 0; i--) {
		struct conn *c = l->conn[i];

		if (c->dead && !c->parsing) {
			msg_clear(&c->m);
			arrfree(c->in);
			arrfree(c->out);
			free(c);
			arrdelswap(l->conn, i);
		}
	}
	for (int i = arrlen(l->port) - 1; i >= 0; i--) {
		if (l->port[i]->dead) {
			free(l->port[i]);
			arrdelswap(l->port, i);
		}
	}
}

static void turn(struct loop *l, int64_t until)
{
	struct epoll_event e[128];
	int64_t now = loop_us(), at = until;
	int n;

	if (arrlen(l->t) && l->t[0].at < at)
		at = l->t[0].at;
	n = epoll_wait(l->ep, e, 128, at <= now ? 0 : (int)((at - now + 999) / 1000));
	for (int i = 0; i < n; i++) {
		struct fd_owner *o = e[i].data.ptr;

		if (o->kind == 1) {
			if (!((struct port *)o)->dead)
				accept_all((struct port *)o);
		} else {
			ready((struct conn *)o, e[i].events);
		}
	}
	now = loop_us();
	while (arrlen(l->t) && l->t[0].at <= now) {
		struct timer t = take(l, 0);

		if (now - t.at > l->late)
			l->late = now - t.at;
		t.fn(t.ctx);
	}
	sweep(l);
}

int loop_until(struct loop *l, int64_t us, int (*done)(void *ctx), void *ctx)
{
	int64_t until = loop_us() + us;

	do {
		turn(l, until);
		if (done && done(ctx))
			return 1;
	} while (loop_us() < until);
	return 0;
}

struct loop *loop_open(void)
{
	struct loop *l = calloc(1, sizeof *l);

	l->ep = epoll_create1(EPOLL_CLOEXEC);
	return l;
}

void loop_close(struct loop *l)
{
	for (int i = 0; i < arrlen(l->port); i++)
		port_close(l->port[i], 0);
	for (int i = 0; i < arrlen(l->conn); i++)
		kill_conn(l->conn[i], 0);
	sweep(l);
	arrfree(l->conn);
	arrfree(l->port);
	arrfree(l->t);
	close(l->ep);
	free(l);
}

/* ---- whole answers and plain calls ---- */

void conn_answer(struct conn *c, int status, const char *fields, const char *body, size_t n, int keep)
{
	conn_sayf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n%s\r\n", status, http_status_str((enum http_status)status), fields,
		  n, keep ? "" : "Connection: close\r\n");
	conn_say(c, body, n);
	conn_next(c, keep);
}

struct once {
	struct loop *l;
	struct conn *c;
	uint64_t timer;
	void (*fn)(void *ctx, int status, const struct msg *m);
	void *ctx;
};

static void once_end(struct once *o, int status, const struct msg *m)
{
	void (*fn)(void *, int, const struct msg *) = o->fn;
	void *ctx = o->ctx;

	loop_drop(o->l, o->timer);
	if (o->c)
		conn_close(o->c, 0);
	free(o);
	fn(ctx, status, m);
}

static void once_whole(void *ctx, struct conn *c, struct msg *m)
{
	(void)c;
	once_end(ctx, m->status, m);
}

static void once_gone(void *ctx, struct conn *c, enum conn_end how)
{
	struct once *o = ctx;

	(void)c, (void)how;
	o->c = NULL;
	once_end(o, 0, NULL);
}

static void once_late(void *ctx)
{
	struct once *o = ctx;

	o->timer = 0;
	once_end(o, 0, NULL);
}

void call_once(struct loop *l, const char *addr, const char *method, const char *target, const char *fields, const char *body,
	       int ms, void (*fn)(void *ctx, int status, const struct msg *m), void *ctx)
{
	static const struct conn_on on = { .whole = once_whole, .gone = once_gone };
	struct once *o = calloc(1, sizeof *o);

	o->l = l;
	o->fn = fn;
	o->ctx = ctx;
	o->c = conn_call(l, addr, &on, o);
	o->timer = loop_after(l, o->c ? ms_us(ms) : 0, once_late, o);
	if (!o->c)
		return;
	conn_expect(o->c);
	conn_sayf(o->c, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, addr);
	conn_say(o->c, fields, strlen(fields));
	if (body) {
		conn_sayf(o->c, "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n", strlen(body));
		conn_say(o->c, body, strlen(body));
	} else {
		conn_say(o->c, "\r\n", 2);
	}
}
