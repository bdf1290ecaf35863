/* net_sim: see net_sim.h. Connections live until net_sim_close, so that a test may look at them after their
 * end. */
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
#include "containers.h"

enum { FIRST_FD = 1 << 20, EPOLL_FD = FIRST_FD - 1, DEFAULT_WINDOW = 1 << 20 };

enum segment_kind { SEGMENT_DATA, SEGMENT_END, SEGMENT_RESET };
struct segment {
	int64_t at;
	enum segment_kind kind;
	char *data;
	size_t len, offset;
};

enum socket_state { SOCKET_NEW, SOCKET_LISTENS, SOCKET_CONNECTING, SOCKET_UP };

struct sim_conn {
	uint64_t id;
	enum socket_state state;
	enum sim_connect outcome;
	int64_t up_at;
	struct segment *in; /* towards the product; stb_ds */
	ptrdiff_t in_at;
	int in_ended; /* an end or a reset has been queued */
	char *out;    /* from the product, not yet read; stb_ds */
	size_t window, bytes_read;
	enum sim_close_state close_state;
	int forgotten, linger_reset, error_reported;
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

static uint64_t random_below(uint64_t n)
{
	return core_random(&net.rng) % n;
}

/* ---- for tests ---- */

void net_sim_open(uint64_t seed, const struct net_sim_hooks *hooks)
{
	memset(&net, 0, sizeof net);
	net.rng = seed * 0x9e3779b97f4a7c15ull + 1;
	net.now = 1000000;
	net.hooks = *hooks;
}

static void conn_free(struct sim_conn *conn)
{
	for (ptrdiff_t i = 0; i < arrlen(conn->in); i++)
		free(conn->in[i].data);
	arrfree(conn->in);
	arrfree(conn->out);
	arrfree(conn->queue);
	free(conn);
}

void net_sim_close(void)
{
	for (ptrdiff_t i = 0; i < arrlen(net.all); i++)
		conn_free(net.all[i]);
	arrfree(net.all);
	arrfree(net.fds);
}

int64_t net_sim_now(void)
{
	return net.now;
}
void net_sim_advance(int64_t ms)
{
	net.now += ms;
}
void net_sim_freeze(int64_t ms, int peek)
{
	net.freeze = ms;
	net.freeze_peek = peek;
}

static struct sim_conn *conn_new(void)
{
	struct sim_conn *conn = calloc(1, sizeof *conn);

	if (!conn)
		abort();
	conn->id = ++net.serial;
	conn->window = DEFAULT_WINDOW;
	arrput(net.all, conn);
	return conn;
}

struct sim_conn *net_sim_connect(int port)
{
	for (ptrdiff_t i = 0; i < arrlen(net.fds); i++) {
		struct sim_conn *l = net.fds[i], *conn;

		if (!l || l->state != SOCKET_LISTENS || l->port != port)
			continue;
		conn = conn_new();
		conn->state = SOCKET_UP;
		arrput(l->queue, conn);
		return conn;
	}
	return NULL;
}

static void enqueue(struct sim_conn *conn, enum segment_kind kind, const char *d, size_t n, int64_t in_ms)
{
	struct segment segment = { net.now + in_ms, kind, NULL, n, 0 };

	if (conn->in_ended || conn->forgotten || conn->close_state >= SIM_CLOSED)
		return;
	if (arrlen(conn->in) && arrlast(conn->in).at > segment.at)
		segment.at = arrlast(conn->in).at;
	if (n) {
		if (!(segment.data = malloc(n)))
			abort();
		memcpy(segment.data, d, n);
	}
	conn->in_ended = kind != SEGMENT_DATA;
	arrput(conn->in, segment);
}

void net_sim_write(struct sim_conn *conn, const char *d, size_t n, int64_t in_ms)
{
	if (n)
		enqueue(conn, SEGMENT_DATA, d, n, in_ms);
}

void net_sim_end(struct sim_conn *conn, int64_t in_ms)
{
	enqueue(conn, SEGMENT_END, NULL, 0, in_ms);
}
void net_sim_reset(struct sim_conn *conn, int64_t in_ms)
{
	enqueue(conn, SEGMENT_RESET, NULL, 0, in_ms);
}

void net_sim_forget(struct sim_conn *conn, int64_t reset_ms)
{
	if (conn->forgotten)
		return;
	conn->forgotten = 1;
	conn->forgotten_reset = reset_ms;
}

void net_sim_window(struct sim_conn *conn, size_t n)
{
	conn->window = n;
}

size_t net_sim_read(struct sim_conn *conn, char *to, size_t cap)
{
	size_t n = (size_t)arrlen(conn->out);

	n = n < cap ? n : cap;
	if (!n)
		return 0;
	memcpy(to, conn->out, n);
	arrdeln(conn->out, 0, n);
	return n;
}

enum sim_close_state net_sim_close_state(const struct sim_conn *conn)
{
	return conn->close_state;
}
uint64_t net_sim_id(const struct sim_conn *conn)
{
	return conn->id;
}
void net_sim_set_tag(struct sim_conn *conn, void *tag)
{
	conn->tag = tag;
}
void *net_sim_get_tag(const struct sim_conn *conn)
{
	return conn->tag;
}

int net_sim_unread(const struct sim_conn *conn)
{
	return conn->in_at < arrlen(conn->in) && conn->in[conn->in_at].at <= net.called;
}
int64_t net_sim_call_began_at(void)
{
	return net.called;
}
size_t net_sim_bytes_read(const struct sim_conn *conn)
{
	return conn->bytes_read;
}

/* ---- for the product ---- */

static struct sim_conn *conn_of(int fd)
{
	return fd >= FIRST_FD && fd - FIRST_FD < arrlen(net.fds) ? net.fds[fd - FIRST_FD] : NULL;
}

/* The lowest free descriptor, as a kernel gives them: numbers are used again soon. */
static int fd_for(struct sim_conn *conn)
{
	for (ptrdiff_t i = 0; i < arrlen(net.fds); i++)
		if (!net.fds[i]) {
			net.fds[i] = conn;
			return FIRST_FD + (int)i;
		}
	arrput(net.fds, conn);
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

static struct segment *next_segment(struct sim_conn *conn)
{
	return conn->in_at < arrlen(conn->in) && conn->in[conn->in_at].at <= net.now ? &conn->in[conn->in_at]
										     : NULL;
}

/* Has an end, or a reset, arrived, be it behind unread bytes? */
static int arrived(const struct sim_conn *conn, enum segment_kind kind)
{
	const struct segment *last = arrlen(conn->in) ? &arrlast(conn->in) : NULL;

	return last && last->kind == kind && last->at <= net.now;
}

int64_t __wrap_clock_ms(void);
int64_t __wrap_clock_ms(void)
{
	return net.now;
}

int __wrap_socket(int domain, int type, int protocol);
int __wrap_socket(int domain, int type, int protocol)
{
	(void)domain;
	(void)type;
	(void)protocol;
	return fd_for(conn_new());
}

int __wrap_bind(int fd, const struct sockaddr *address, socklen_t n);
int __wrap_bind(int fd, const struct sockaddr *address, socklen_t n)
{
	struct sockaddr_in sa;

	memcpy(&sa, address, n < sizeof sa ? n : sizeof sa);
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

int __wrap_getsockname(int fd, struct sockaddr *address, socklen_t *n);
int __wrap_getsockname(int fd, struct sockaddr *address, socklen_t *n)
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons((uint16_t)conn_of(fd)->port) };

	memcpy(address, &sa, sizeof sa);
	*n = sizeof sa;
	return 0;
}

int __wrap_connect(int fd, const struct sockaddr *address, socklen_t n);
int __wrap_connect(int fd, const struct sockaddr *address, socklen_t n)
{
	struct sim_conn *conn = conn_of(fd);
	struct sockaddr_in sa;
	int delay = 0;

	memcpy(&sa, address, n < sizeof sa ? n : sizeof sa);
	conn->state = SOCKET_CONNECTING;
	conn->outcome = net.hooks.connect(
	    net.hooks.ctx, conn, (uint64_t)ntohl(sa.sin_addr.s_addr) << 16 | ntohs(sa.sin_port), &delay);
	conn->up_at = conn->outcome == SIM_IGNORE ? INT64_MAX : net.now + delay;
	errno = EINPROGRESS;
	return -1;
}

int __wrap_accept4(int fd, struct sockaddr *address, socklen_t *n, int flags);
int __wrap_accept4(int fd, struct sockaddr *address, socklen_t *n, int flags)
{
	struct sim_conn *l = conn_of(fd), *conn;

	(void)address;
	(void)n;
	(void)flags;
	if (!arrlen(l->queue)) {
		errno = EAGAIN;
		return -1;
	}
	conn = l->queue[0];
	arrdel(l->queue, 0);
	return fd_for(conn);
}

int __wrap_setsockopt(int fd, int level, int name, const void *v, socklen_t n);
int __wrap_setsockopt(int fd, int level, int name, const void *v, socklen_t n)
{
	struct linger linger;

	if (level == SOL_SOCKET && name == SO_LINGER && n == sizeof linger) {
		memcpy(&linger, v, sizeof linger);
		conn_of(fd)->linger_reset = linger.l_onoff && !linger.l_linger;
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
	struct sim_conn *conn = conn_of(fd);

	if (how != SHUT_RD && conn->close_state == SIM_OPEN)
		conn->close_state = SIM_HALF_CLOSED;
	return 0;
}

int __real_close(int fd);
int __wrap_close(int fd);
int __wrap_close(int fd)
{
	struct sim_conn *conn = conn_of(fd);
	int unread;

	if (fd == EPOLL_FD)
		return 0;
	if (!conn)
		return __real_close(fd);
	for (ptrdiff_t i = 0; i < arrlen(conn->queue); i++) /* what a listener has not accepted is reset */
		conn->queue[i]->close_state = SIM_RESET;
	unread = next_segment(conn) && next_segment(conn)->kind == SEGMENT_DATA;
	conn->close_state = conn->linger_reset || unread ? SIM_RESET : SIM_CLOSED;
	conn->mask = 0;
	net.fds[fd - FIRST_FD] = NULL;
	return 0;
}

static size_t room(const struct sim_conn *conn)
{
	size_t held = (size_t)arrlen(conn->out);

	return held < conn->window ? conn->window - held : 0;
}

ssize_t __wrap_send(int fd, const void *d, size_t n, int flags);
ssize_t __wrap_send(int fd, const void *d, size_t n, int flags)
{
	struct sim_conn *conn = conn_of(fd);
	size_t k = room(conn);

	(void)flags;
	maybe_freeze(0);
	if (arrived(conn, SEGMENT_RESET)) {
		errno = conn->error_reported++ ? EPIPE : ECONNRESET;
		return -1;
	}
	if (conn->state != SOCKET_UP) {
		errno = conn->state == SOCKET_CONNECTING ? EAGAIN : ENOTCONN;
		return -1;
	}
	k = k < n ? k : n;
	if (k > 1 && !random_below(4)) /* the kernel takes only a part */
		k = 1 + random_below(k);
	if (!k) {
		errno = EAGAIN;
		return -1;
	}
	if (net.hooks.accepted)
		net.hooks.accepted(net.hooks.ctx, conn, d, k);
	if (conn->forgotten) {
		if (conn->forgotten_reset >= 0 && !conn->in_ended) {
			conn->forgotten = 0;
			enqueue(conn, SEGMENT_RESET, NULL, 0, conn->forgotten_reset);
			conn->forgotten = 1;
		}
		return (ssize_t)k;
	}
	memcpy(arraddnptr(conn->out, k), d, k);
	return (ssize_t)k;
}

ssize_t __wrap_recv(int fd, void *d, size_t n, int flags);
ssize_t __wrap_recv(int fd, void *d, size_t n, int flags)
{
	struct sim_conn *conn = conn_of(fd);
	struct segment *segment;
	size_t got = 0, k;

	maybe_freeze((flags & MSG_PEEK) != 0);
	while (got < n && (segment = next_segment(conn)) && segment->kind == SEGMENT_DATA) {
		k = segment->len - segment->offset < n - got ? segment->len - segment->offset : n - got;
		memcpy((char *)d + got, segment->data + segment->offset, k);
		got += k;
		if (flags & MSG_PEEK)
			break;
		segment->offset += k;
		conn->bytes_read += k;
		if (segment->offset == segment->len)
			conn->in_at++;
	}
	if (got)
		return (ssize_t)got;
	segment = next_segment(conn);
	if (segment && segment->kind == SEGMENT_END)
		return 0;
	if (segment && !conn->error_reported) {
		conn->error_reported = !(flags & MSG_PEEK);
		errno = ECONNRESET;
		return -1;
	}
	if (segment)
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

int __wrap_epoll_ctl(int ep, int op, int fd, struct epoll_event *event);
int __wrap_epoll_ctl(int ep, int op, int fd, struct epoll_event *event)
{
	struct sim_conn *conn = conn_of(fd);

	(void)ep;
	(void)op;
	if (!conn) /* the wake-up descriptor: nobody wakes the loop here */
		return 0;
	conn->mask = event->events;
	conn->data = event->data;
	return 0;
}

static uint32_t events_of(struct sim_conn *conn)
{
	uint32_t ev = 0;

	if (conn->state == SOCKET_LISTENS)
		return arrlen(conn->queue) ? EPOLLIN : 0;
	if (conn->state == SOCKET_CONNECTING) {
		if (conn->up_at > net.now)
			return 0;
		if (conn->outcome == SIM_REFUSE)
			return EPOLLOUT | EPOLLIN | EPOLLERR | EPOLLHUP;
		conn->state = SOCKET_UP;
	}
	if (next_segment(conn))
		ev |= EPOLLIN;
	if (arrived(conn, SEGMENT_END))
		ev |= EPOLLRDHUP | (conn->close_state == SIM_HALF_CLOSED ? EPOLLHUP : 0);
	if (arrived(conn, SEGMENT_RESET))
		ev |= EPOLLIN | EPOLLRDHUP | EPOLLHUP | (conn->error_reported ? 0 : EPOLLERR);
	if (room(conn) || arrived(conn, SEGMENT_RESET))
		ev |= EPOLLOUT;
	return ev;
}

int __wrap_epoll_wait(int fd, struct epoll_event *event, int max, int ms);
int __wrap_epoll_wait(int fd, struct epoll_event *event, int max, int ms)
{
	ptrdiff_t n = arrlen(net.fds), from = n ? (ptrdiff_t)random_below((uint64_t)n) : 0;
	int got = 0;

	(void)fd;
	(void)ms;
	for (ptrdiff_t i = 0; i < n && got < max; i++) {
		struct sim_conn *conn = net.fds[(from + i) % n];
		uint32_t ev = conn && conn->mask ? events_of(conn) & (conn->mask | EPOLLERR | EPOLLHUP) : 0;

		if (ev)
			event[got++] = (struct epoll_event){ ev, conn->data };
	}
	return got;
}
