/* net_sim: see net_sim.h. Connections live until net_sim_close, so that a test may look at them after their end. */
#include "net_sim.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core.h"
#include "ds.h"

enum { FIRST_FD = 1 << 20, EPOLL_FD = FIRST_FD - 1, DEFAULT_WINDOW = 1 << 20 };

enum segment_kind { SEGMENT_DATA, SEGMENT_END, SEGMENT_RESET };
struct segment {
	int64_t at;
	enum segment_kind kind;
	char *d;
	size_t n, off;
};

enum socket_state { SOCKET_NEW, SOCKET_LISTENS, SOCKET_CONNECTING, SOCKET_UP };

struct sim_conn {
	uint64_t id;
	enum socket_state state;
	enum sim_connect outcome;
	int64_t up_at;
	struct segment *in; /* towards the product; stb_ds */
	ptrdiff_t in_at;
	int in_over; /* an end or a reset has been queued */
	char *out;   /* from the product, not yet read; stb_ds */
	size_t window, taken;
	enum sim_left left;
	int forgotten, linger_reset, error_told;
	int64_t forgotten_reset;
	int port;                /* of a listener */
	struct sim_conn **queue; /* a listener's; stb_ds */
	uint32_t mask;
	epoll_data_t data;
	void *tag;
};

static struct {
	uint64_t rng, serial;
	int64_t now, freeze, called;
	int freeze_peek;
	struct net_sim_hooks hooks;
	struct sim_conn **fds; /* stb_ds: by descriptor; NULL: free */
	struct sim_conn **all; /* stb_ds */
} net;

static uint64_t dice(uint64_t n) { return core_rand(&net.rng) % n; }

/* ---- for tests ---- */

void net_sim_open(uint64_t seed, const struct net_sim_hooks *hooks)
{
	memset(&net, 0, sizeof net);
	net.rng = seed * 0x9e3779b97f4a7c15ull + 1;
	net.now = 1000000;
	net.hooks = *hooks;
}

static void conn_free(struct sim_conn *c)
{
	for (ptrdiff_t i = 0; i < arrlen(c->in); i++)
		free(c->in[i].d);
	arrfree(c->in);
	arrfree(c->out);
	arrfree(c->queue);
	free(c);
}

void net_sim_close(void)
{
	for (ptrdiff_t i = 0; i < arrlen(net.all); i++)
		conn_free(net.all[i]);
	arrfree(net.all);
	arrfree(net.fds);
}

int64_t net_sim_now(void) { return net.now; }
void net_sim_advance(int64_t ms) { net.now += ms; }
void net_sim_freeze(int64_t ms, int peek)
{
	net.freeze = ms;
	net.freeze_peek = peek;
}

static struct sim_conn *conn_new(void)
{
	struct sim_conn *c = calloc(1, sizeof *c);

	if (!c)
		abort();
	c->id = ++net.serial;
	c->window = DEFAULT_WINDOW;
	arrput(net.all, c);
	return c;
}

struct sim_conn *net_sim_dial(int port)
{
	for (ptrdiff_t i = 0; i < arrlen(net.fds); i++) {
		struct sim_conn *l = net.fds[i], *c;

		if (!l || l->state != SOCKET_LISTENS || l->port != port)
			continue;
		c = conn_new();
		c->state = SOCKET_UP;
		arrput(l->queue, c);
		return c;
	}
	return NULL;
}

static void enqueue(struct sim_conn *c, enum segment_kind kind, const char *d, size_t n, int64_t in_ms)
{
	struct segment s = { net.now + in_ms, kind, NULL, n, 0 };

	if (c->in_over || c->forgotten || c->left >= SIM_CLOSED)
		return;
	if (arrlen(c->in) && arrlast(c->in).at > s.at)
		s.at = arrlast(c->in).at;
	if (n) {
		if (!(s.d = malloc(n)))
			abort();
		memcpy(s.d, d, n);
	}
	c->in_over = kind != SEGMENT_DATA;
	arrput(c->in, s);
}

void net_sim_say(struct sim_conn *c, const char *d, size_t n, int64_t in_ms)
{
	if (n)
		enqueue(c, SEGMENT_DATA, d, n, in_ms);
}

void net_sim_end(struct sim_conn *c, int64_t in_ms) { enqueue(c, SEGMENT_END, NULL, 0, in_ms); }
void net_sim_reset(struct sim_conn *c, int64_t in_ms) { enqueue(c, SEGMENT_RESET, NULL, 0, in_ms); }

void net_sim_forget(struct sim_conn *c, int64_t reset_ms)
{
	if (c->forgotten)
		return;
	c->forgotten = 1;
	c->forgotten_reset = reset_ms;
}

void net_sim_window(struct sim_conn *c, size_t n) { c->window = n; }

size_t net_sim_hear(struct sim_conn *c, char *to, size_t cap)
{
	size_t n = (size_t)arrlen(c->out);

	n = n < cap ? n : cap;
	if (!n)
		return 0;
	memcpy(to, c->out, n);
	arrdeln(c->out, 0, n);
	return n;
}

enum sim_left net_sim_left(const struct sim_conn *c) { return c->left; }
uint64_t net_sim_id(const struct sim_conn *c) { return c->id; }
void net_sim_tag(struct sim_conn *c, void *tag) { c->tag = tag; }
void *net_sim_tag_of(const struct sim_conn *c) { return c->tag; }

int net_sim_unread(const struct sim_conn *c) { return c->in_at < arrlen(c->in) && c->in[c->in_at].at <= net.called; }
int64_t net_sim_called(void) { return net.called; }
size_t net_sim_taken(const struct sim_conn *c) { return c->taken; }

/* ---- for the product ---- */

static struct sim_conn *conn_of(int fd)
{
	return fd >= FIRST_FD && fd - FIRST_FD < arrlen(net.fds) ? net.fds[fd - FIRST_FD] : NULL;
}

/* The lowest free descriptor, as a kernel gives them: numbers are used again soon. */
static int fd_for(struct sim_conn *c)
{
	for (ptrdiff_t i = 0; i < arrlen(net.fds); i++)
		if (!net.fds[i]) {
			net.fds[i] = c;
			return FIRST_FD + (int)i;
		}
	arrput(net.fds, c);
	return FIRST_FD + (int)arrlen(net.fds) - 1;
}

static void maybe_freeze(int peek)
{
	net.called = net.now;
	if (net.freeze_peek && !peek)
		return;
	net.now += net.freeze;
	net.freeze = 0;
}

static struct segment *next_segment(struct sim_conn *c)
{
	return c->in_at < arrlen(c->in) && c->in[c->in_at].at <= net.now ? &c->in[c->in_at] : NULL;
}

/* Has an end, or a reset, arrived, be it behind unread bytes? */
static int arrived(const struct sim_conn *c, enum segment_kind kind)
{
	const struct segment *last = arrlen(c->in) ? &arrlast(c->in) : NULL;

	return last && last->kind == kind && last->at <= net.now;
}

int64_t __wrap_clock_ms(void);
int64_t __wrap_clock_ms(void) { return net.now; }

int __wrap_socket(int domain, int type, int protocol);
int __wrap_socket(int domain, int type, int protocol)
{
	(void)domain;
	(void)type;
	(void)protocol;
	return fd_for(conn_new());
}

int __wrap_bind(int fd, const struct sockaddr *a, socklen_t n);
int __wrap_bind(int fd, const struct sockaddr *a, socklen_t n)
{
	struct sockaddr_in sa;

	memcpy(&sa, a, n < sizeof sa ? n : sizeof sa);
	conn_of(fd)->port = ntohs(sa.sin_port);
	return 0;
}

int __wrap_listen(int fd, int backlog);
int __wrap_listen(int fd, int backlog)
{
	(void)backlog;
	conn_of(fd)->state = SOCKET_LISTENS;
	return 0;
}

int __wrap_getsockname(int fd, struct sockaddr *a, socklen_t *n);
int __wrap_getsockname(int fd, struct sockaddr *a, socklen_t *n)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons((uint16_t)conn_of(fd)->port) };

	memcpy(a, &sa, sizeof sa);
	*n = sizeof sa;
	return 0;
}

int __wrap_connect(int fd, const struct sockaddr *a, socklen_t n);
int __wrap_connect(int fd, const struct sockaddr *a, socklen_t n)
{
	struct sim_conn *c = conn_of(fd);
	struct sockaddr_in sa;
	int delay = 0;

	memcpy(&sa, a, n < sizeof sa ? n : sizeof sa);
	c->state = SOCKET_CONNECTING;
	c->outcome = net.hooks.connect(net.hooks.ctx, c, (uint64_t)ntohl(sa.sin_addr.s_addr) << 16 | ntohs(sa.sin_port), &delay);
	c->up_at = c->outcome == SIM_IGNORE ? INT64_MAX : net.now + delay;
	errno = EINPROGRESS;
	return -1;
}

int __wrap_accept4(int fd, struct sockaddr *a, socklen_t *n, int flags);
int __wrap_accept4(int fd, struct sockaddr *a, socklen_t *n, int flags)
{
	struct sim_conn *l = conn_of(fd), *c;

	(void)a;
	(void)n;
	(void)flags;
	if (!arrlen(l->queue)) {
		errno = EAGAIN;
		return -1;
	}
	c = l->queue[0];
	arrdel(l->queue, 0);
	return fd_for(c);
}

int __wrap_setsockopt(int fd, int level, int name, const void *v, socklen_t n);
int __wrap_setsockopt(int fd, int level, int name, const void *v, socklen_t n)
{
	struct linger l;

	if (level == SOL_SOCKET && name == SO_LINGER && n == sizeof l) {
		memcpy(&l, v, sizeof l);
		conn_of(fd)->linger_reset = l.l_onoff && !l.l_linger;
	}
	return 0;
}

int __wrap_getsockopt(int fd, int level, int name, void *v, socklen_t *n);
int __wrap_getsockopt(int fd, int level, int name, void *v, socklen_t *n)
{
	(void)fd;
	(void)level;
	(void)name;
	memset(v, 0, *n);
	return 0;
}

int __wrap_shutdown(int fd, int how);
int __wrap_shutdown(int fd, int how)
{
	struct sim_conn *c = conn_of(fd);

	if (how != SHUT_RD && c->left == SIM_OPEN)
		c->left = SIM_HALF_CLOSED;
	return 0;
}

int __real_close(int fd);
int __wrap_close(int fd);
int __wrap_close(int fd)
{
	struct sim_conn *c = conn_of(fd);
	int unread;

	if (fd == EPOLL_FD)
		return 0;
	if (!c)
		return __real_close(fd);
	for (ptrdiff_t i = 0; i < arrlen(c->queue); i++) /* what a listener has not accepted is reset */
		c->queue[i]->left = SIM_RESET;
	unread = next_segment(c) && next_segment(c)->kind == SEGMENT_DATA;
	c->left = c->linger_reset || unread ? SIM_RESET : SIM_CLOSED;
	c->mask = 0;
	net.fds[fd - FIRST_FD] = NULL;
	return 0;
}

static size_t room(const struct sim_conn *c)
{
	size_t held = (size_t)arrlen(c->out);

	return held < c->window ? c->window - held : 0;
}

ssize_t __wrap_send(int fd, const void *d, size_t n, int flags);
ssize_t __wrap_send(int fd, const void *d, size_t n, int flags)
{
	struct sim_conn *c = conn_of(fd);
	size_t k = room(c);

	(void)flags;
	maybe_freeze(0);
	if (arrived(c, SEGMENT_RESET)) {
		errno = c->error_told++ ? EPIPE : ECONNRESET;
		return -1;
	}
	if (c->state != SOCKET_UP) {
		errno = c->state == SOCKET_CONNECTING ? EAGAIN : ENOTCONN;
		return -1;
	}
	k = k < n ? k : n;
	if (k > 1 && !dice(4)) /* the kernel takes only a part */
		k = 1 + dice(k);
	if (!k) {
		errno = EAGAIN;
		return -1;
	}
	if (net.hooks.accepted)
		net.hooks.accepted(net.hooks.ctx, c, d, k);
	if (c->forgotten) {
		if (c->forgotten_reset >= 0 && !c->in_over) {
			c->forgotten = 0;
			enqueue(c, SEGMENT_RESET, NULL, 0, c->forgotten_reset);
			c->forgotten = 1;
		}
		return (ssize_t)k;
	}
	memcpy(arraddnptr(c->out, k), d, k);
	return (ssize_t)k;
}

ssize_t __wrap_recv(int fd, void *d, size_t n, int flags);
ssize_t __wrap_recv(int fd, void *d, size_t n, int flags)
{
	struct sim_conn *c = conn_of(fd);
	struct segment *s;
	size_t got = 0, k;

	maybe_freeze((flags & MSG_PEEK) != 0);
	while (got < n && (s = next_segment(c)) && s->kind == SEGMENT_DATA) {
		k = s->n - s->off < n - got ? s->n - s->off : n - got;
		memcpy((char *)d + got, s->d + s->off, k);
		got += k;
		if (flags & MSG_PEEK)
			break;
		s->off += k;
		c->taken += k;
		if (s->off == s->n)
			c->in_at++;
	}
	if (got)
		return (ssize_t)got;
	s = next_segment(c);
	if (s && s->kind == SEGMENT_END)
		return 0;
	if (s && !c->error_told) {
		c->error_told = !(flags & MSG_PEEK);
		errno = ECONNRESET;
		return -1;
	}
	if (s)
		return 0;
	errno = EAGAIN;
	return -1;
}

int __wrap_epoll_create1(int flags);
int __wrap_epoll_create1(int flags)
{
	(void)flags;
	return EPOLL_FD;
}

int __wrap_epoll_ctl(int ep, int op, int fd, struct epoll_event *e);
int __wrap_epoll_ctl(int ep, int op, int fd, struct epoll_event *e)
{
	struct sim_conn *c = conn_of(fd);

	(void)ep;
	(void)op;
	if (!c) /* the wake-up descriptor: nobody wakes the loop here */
		return 0;
	c->mask = e->events;
	c->data = e->data;
	return 0;
}

static uint32_t events_of(struct sim_conn *c)
{
	uint32_t ev = 0;

	if (c->state == SOCKET_LISTENS)
		return arrlen(c->queue) ? EPOLLIN : 0;
	if (c->state == SOCKET_CONNECTING) {
		if (c->up_at > net.now)
			return 0;
		if (c->outcome == SIM_REFUSE)
			return EPOLLOUT | EPOLLIN | EPOLLERR | EPOLLHUP;
		c->state = SOCKET_UP;
	}
	if (next_segment(c))
		ev |= EPOLLIN;
	if (arrived(c, SEGMENT_END))
		ev |= EPOLLRDHUP | (c->left == SIM_HALF_CLOSED ? EPOLLHUP : 0);
	if (arrived(c, SEGMENT_RESET))
		ev |= EPOLLIN | EPOLLRDHUP | EPOLLHUP | (c->error_told ? 0 : EPOLLERR);
	if (room(c) || arrived(c, SEGMENT_RESET))
		ev |= EPOLLOUT;
	return ev;
}

int __wrap_epoll_wait(int fd, struct epoll_event *e, int max, int ms);
int __wrap_epoll_wait(int fd, struct epoll_event *e, int max, int ms)
{
	ptrdiff_t n = arrlen(net.fds), from = n ? (ptrdiff_t)dice((uint64_t)n) : 0;
	int got = 0;

	(void)fd;
	(void)ms;
	for (ptrdiff_t i = 0; i < n && got < max; i++) {
		struct sim_conn *c = net.fds[(from + i) % n];
		uint32_t ev = c && c->mask ? events_of(c) & (c->mask | EPOLLERR | EPOLLHUP) : 0;

		if (ev)
			e[got++] = (struct epoll_event){ ev, c->data };
	}
	return got;
}
