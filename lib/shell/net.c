/* net: framed messages between our own processes. A direction has one TCP connection, and a second one for log entries and
 * pieces of snapshots: heartbeats must not wait behind those on a slow link, or the leader's lease ends.
 * A message may be lost when a connection breaks, and overtake one of the other connection; the core's protocols expect that. */
#include <apr_network_io.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <apr_strings.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "ds.h"
#include "shell.h"

#define NET_BULK ((uint64_t)1 << 63) /* in the key of a peer: its second connection */

enum {
	NET_FRAME = 32 << 20,
	NET_QUEUE = 64 << 20,
	NET_AGAIN = 200,
	NET_DIAL = 250, /* ms without an answer after which another dial goes out beside it */
	NET_DIALS = 8,  /* that wait beside the newest one; a longer way than that is as good as none */
	NET_DRAWS = 64,
	NET_POLL_MS = 100,
	NET_CLOSE_MS = 200,    /* at the end, for what was said last to leave */
	NET_CLOSE_POLL_MS = 10 /* between looks whether it has */
};

/* Bytes that are not acknowledged for so long end a connection. The kernel would ask a silent machine again after ever longer
 * pauses, and not look for 10 s and more after it is back. Over a link that is full an acknowledgement may take as long as that:
 * so a connection whose dial took its time is given a few times that more. */
enum {
	NET_UNACKNOWLEDGED_MS = 1000,
	NET_UNACKNOWLEDGED_WAYS = 3, /* round trips, as the dial took them, that are granted beside it */
	NET_UNACKNOWLEDGED_MOST_MS = 5000
};

struct net_bytes {
	uint64_t addr;
	int bulk;
	size_t n;
	uint8_t *d;
};

/* A dial that has had no answer yet. */
struct dial {
	apr_pool_t *p;
	apr_socket_t *s;
	apr_pollfd_t fd;
	int64_t at;
};

struct conn {
	apr_pool_t *p;
	apr_socket_t *s;
	apr_pollfd_t fd;
	uint64_t addr; /* outgoing: whom to; incoming: 0 */
	uint8_t *buf;  /* stb_ds: bytes to write or read so far */
	size_t at;
	int up, listed;
	int64_t again, dialled;
	struct dial *older; /* stb_ds: outgoing: dials before the newest one, oldest first */
	int bad;            /* logged that it cannot be reached */
};

struct net {
	apr_pool_t *p;
	apr_socket_t *s;
	apr_pollset_t *set;
	apr_thread_t *t;
	struct ring *to, *out;
	atomic_int stop;
	struct conn **in; /* stb_ds */
	struct {
		uint64_t key;
		struct conn *value;
	} * peer;
};

static void unlist(struct net *n, struct conn *c)
{
	if (c->listed)
		apr_pollset_remove(n->set, &c->fd);
	c->listed = 0;
}

static int list(struct net *n, struct conn *c, apr_int16_t want)
{
	unlist(n, c);
	memset(&c->fd, 0, sizeof c->fd);
	c->fd.desc_type = APR_POLL_SOCKET;
	c->fd.reqevents = want;
	c->fd.desc.s = c->s;
	c->fd.client_data = c;
	c->fd.p = c->p;
	c->listed = apr_pollset_add(n->set, &c->fd) == APR_SUCCESS;
	return c->listed;
}

static apr_sockaddr_t *sockaddr(uint64_t a, apr_pool_t *p)
{
	apr_sockaddr_t *sa = NULL;
	const char *ip = apr_psprintf(p, "%u.%u.%u.%u", (unsigned)(a >> 40) & 255, (unsigned)(a >> 32) & 255,
				      (unsigned)(a >> 24) & 255, (unsigned)(a >> 16) & 255);

	apr_sockaddr_info_get(&sa, ip, APR_INET, (apr_port_t)(a & 65535), 0, p);
	return sa;
}

static void dial_close(struct net *n, struct dial *d)
{
	apr_pollset_remove(n->set, &d->fd);
	apr_socket_close(d->s);
	apr_pool_destroy(d->p);
}

static void older_close(struct net *n, struct conn *c)
{
	for (ptrdiff_t i = 0; i < arrlen(c->older); i++)
		dial_close(n, &c->older[i]);
	arrfree(c->older);
}

static void out_close(struct net *n, struct conn *c)
{
	older_close(n, c);
	unlist(n, c);
	if (c->s)
		apr_socket_close(c->s);
	c->s = NULL;
	c->up = 0;
	arrsetlen(c->buf, 0);
	c->at = 0;
	c->again = clock_ms() + NET_AGAIN;
	apr_pool_clear(c->p);
}

static void limit_unacknowledged(apr_socket_t *socket, int ms)
{
	apr_os_sock_t fd;

	if (apr_os_sock_get(&fd, socket) == APR_SUCCESS)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

static void out_dial(struct net *n, struct conn *c)
{
	apr_sockaddr_t *sa = sockaddr(c->addr, c->p);
	apr_status_t st;

	if (!sa || apr_socket_create(&c->s, APR_INET, SOCK_STREAM, APR_PROTO_TCP, c->p) != APR_SUCCESS) {
		c->s = NULL;
		return;
	}
	apr_socket_opt_set(c->s, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(c->s, 0);
	apr_socket_opt_set(c->s, APR_TCP_NODELAY, 1);
	limit_unacknowledged(c->s, NET_DIAL * (NET_DIALS + 1));
	c->dialled = clock_ms();
	st = apr_socket_connect(c->s, sa);
	if (st != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(st)) {
		out_close(n, c);
		return;
	}
	list(n, c, APR_POLLOUT | APR_POLLIN);
}

static void out_write(struct net *n, struct conn *c)
{
	while (c->at < (size_t)arrlen(c->buf)) {
		apr_size_t len = (size_t)arrlen(c->buf) - c->at;
		apr_status_t st = apr_socket_send(c->s, (char *)c->buf + c->at, &len);

		c->at += len;
		if (st == APR_SUCCESS)
			continue;
		if (APR_STATUS_IS_EAGAIN(st)) {
			list(n, c, APR_POLLOUT | APR_POLLIN);
			return;
		}
		out_close(n, c);
		return;
	}
	arrsetlen(c->buf, 0);
	c->at = 0;
	list(n, c, APR_POLLIN);
}

/* An answer to a dial may only be slow, behind a full link: the dial stays, and another goes out beside it, for a machine that
 * was dark is asked again by the kernel after a second at the soonest. What it was made for is no longer worth sending. */
static void dial_beside(struct net *n, struct conn *c)
{
	struct dial d = { c->p, c->s, c->fd, c->dialled };

	if (arrlen(c->older) == NET_DIALS) {
		dial_close(n, &c->older[0]);
		arrdel(c->older, 0);
	}
	arrput(c->older, d);
	apr_pool_create(&c->p, n->p);
	c->s = NULL;
	c->listed = 0;
	arrsetlen(c->buf, 0);
	c->at = 0;
	out_dial(n, c);
}

/* The first answer to a dial: this connection is the one. */
static void out_up(struct net *n, struct conn *c)
{
	int64_t allowed = NET_UNACKNOWLEDGED_MS + NET_UNACKNOWLEDGED_WAYS * (clock_ms() - c->dialled);

	older_close(n, c);
	limit_unacknowledged(c->s, (int)(allowed < NET_UNACKNOWLEDGED_MOST_MS ? allowed : NET_UNACKNOWLEDGED_MOST_MS));
	if (c->bad)
		log_say(LOG_INFO, "net", "Colleague %s is reached again.", core_addr_str(c->p, c->addr));
	c->up = 1;
	c->bad = 0;
}

static void out_ready(struct net *n, struct conn *c, apr_int16_t got)
{
	if (!c->up && (got & (APR_POLLERR | APR_POLLHUP))) {
		if (!c->bad)
			log_say(LOG_WARN, "net", "Colleague %s cannot be reached.", core_addr_str(c->p, c->addr));
		c->bad = 1;
		out_close(n, c);
		return;
	}
	if (got & APR_POLLIN) { /* the peer never speaks here: it closed */
		char b[64];
		apr_size_t len = sizeof b;
		apr_status_t st = apr_socket_recv(c->s, b, &len);

		if (st != APR_SUCCESS && !APR_STATUS_IS_EAGAIN(st)) {
			out_close(n, c);
			return;
		}
	}
	if (got & APR_POLLOUT) {
		if (!c->up)
			out_up(n, c);
		out_write(n, c);
	} else if (got & (APR_POLLERR | APR_POLLHUP)) {
		out_close(n, c);
	}
}

/* An older dial has its answer: it takes the newest one's place, or is over. */
static void older_ready(struct net *n, struct conn *c, const apr_socket_t *s, apr_int16_t got)
{
	ptrdiff_t i = 0;
	struct dial d;

	while (i < arrlen(c->older) && c->older[i].s != s)
		i++;
	if (i == arrlen(c->older))
		return; /* closed meanwhile */
	d = c->older[i];
	arrdel(c->older, i);
	if (got & (APR_POLLERR | APR_POLLHUP)) {
		dial_close(n, &d);
		return;
	}
	unlist(n, c);
	if (c->s)
		apr_socket_close(c->s);
	apr_pool_destroy(c->p);
	c->p = d.p;
	c->s = d.s;
	c->fd = d.fd;
	c->listed = 1;
	c->dialled = d.at;
	out_ready(n, c, got);
}

static void out_queue(struct net *n, struct net_bytes *b)
{
	uint64_t key = b->addr | (b->bulk ? NET_BULK : 0);
	struct conn *c = hmget(n->peer, key);
	uint8_t *to;

	if (!c) {
		apr_pool_t *p;

		apr_pool_create(&p, n->p);
		c = calloc(1, sizeof *c);
		if (!c)
			abort();
		c->p = p;
		c->addr = b->addr;
		hmput(n->peer, key, c);
	}
	/* a machine without power, or behind a cut, does not answer a dial; the kernel would ask once more after a second only */
	if (c->s && !c->up && clock_ms() - c->dialled > NET_DIAL)
		dial_beside(n, c);
	else if (!c->s && clock_ms() >= c->again)
		out_dial(n, c);
	if (!c->s || (size_t)arrlen(c->buf) - c->at + b->n > NET_QUEUE)
		return; /* lost: the core asks again */
	if (c->at > 1 << 20) {
		arrdeln(c->buf, 0, c->at);
		c->at = 0;
	}
	to = arraddnptr(c->buf, b->n);
	memcpy(to, b->d, b->n);
	if (c->up)
		out_write(n, c);
}

/* ---- incoming ---- */

static void in_close(struct net *n, struct conn *c)
{
	unlist(n, c);
	apr_socket_close(c->s);
	for (ptrdiff_t i = 0; i < arrlen(n->in); i++)
		if (n->in[i] == c) {
			arrdelswap(n->in, i);
			break;
		}
	arrfree(c->buf);
	apr_pool_destroy(c->p);
	free(c);
}

/* Frames that are whole become events; 0 when the peer's bytes make no sense. */
static int in_frames(struct net *n, struct conn *c)
{
	size_t at = 0;

	while ((size_t)arrlen(c->buf) - at >= 4) {
		const uint8_t *b = c->buf + at;
		size_t len = (size_t)b[0] << 24 | (size_t)b[1] << 16 | (size_t)b[2] << 8 | b[3];
		struct shell_ev *e;
		struct Nl__Msg *m;

		if (len > NET_FRAME)
			return 0;
		if ((size_t)arrlen(c->buf) - at < 4 + len)
			break;
		m = nl__msg__unpack(NULL, len, b + 4);
		if (!m)
			return 0;
		if (m->speak != CORE_SPEAK) {
			nl__msg__free_unpacked(m, NULL);
			return 0;
		}
		e = shell_ev_new(EV_MSG);
		e->msg = m;
		if (!ring_push(n->to, e, 0))
			shell_ev_free(e);
		at += 4 + len;
	}
	if (at)
		arrdeln(c->buf, 0, at);
	return 1;
}

static void in_ready(struct net *n, struct conn *c)
{
	for (int draws = 0; draws < NET_DRAWS; draws++) {
		char b[65536];
		apr_size_t len = sizeof b;
		apr_status_t st = apr_socket_recv(c->s, b, &len);

		if (len)
			memcpy(arraddnptr(c->buf, len), b, len);
		if (APR_STATUS_IS_EAGAIN(st) || (st == APR_SUCCESS && len < sizeof b)) {
			if (!in_frames(n, c)) {
				log_say(LOG_WARN, "net", "A colleague's message makes no sense; the connection is closed.");
				in_close(n, c);
			}
			return;
		}
		if (st != APR_SUCCESS) {
			(void)in_frames(n, c);
			in_close(n, c);
			return;
		}
	}
	if (!in_frames(n, c))
		in_close(n, c);
}

static void in_take(struct net *n)
{
	apr_pool_t *p;
	apr_socket_t *s;
	struct conn *c;

	apr_pool_create(&p, n->p);
	if (apr_socket_accept(&s, n->s, p) != APR_SUCCESS) {
		apr_pool_destroy(p);
		return;
	}
	c = calloc(1, sizeof *c);
	if (!c)
		abort();
	c->p = p;
	c->s = s;
	apr_socket_opt_set(s, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(s, 0);
	arrput(n->in, c);
	if (!list(n, c, APR_POLLIN))
		in_close(n, c);
}

/* Wait for sockets for a while, then take what is to be sent. */
static void serve(struct net *n, int wait_ms)
{
	const apr_pollfd_t *got = NULL;
	apr_int32_t count = 0;
	struct net_bytes *bytes;

	apr_pollset_poll(n->set, apr_time_from_msec(wait_ms), &count, &got);
	for (apr_int32_t i = 0; i < count; i++) {
		struct conn *c = got[i].client_data;

		if (!c)
			in_take(n);
		else if (!c->addr)
			in_ready(n, c);
		else if (c->s && got[i].desc.s == c->s)
			out_ready(n, c, got[i].rtnevents);
		else
			older_ready(n, c, got[i].desc.s, got[i].rtnevents);
	}
	while ((bytes = ring_pop(n->out, 0))) {
		out_queue(n, bytes);
		free(bytes->d);
		free(bytes);
	}
}

static int has_unsent(const struct net *n)
{
	for (ptrdiff_t i = 0; i < hmlen(n->peer); i++) {
		const struct conn *c = n->peer[i].value;

		if (c->s && c->at < (size_t)arrlen(c->buf))
			return 1;
	}
	return 0;
}

static void *APR_THREAD_FUNC net_thread(apr_thread_t *t, void *arg)
{
	struct net *n = arg;
	int64_t end;

	(void)t;
	while (!n->stop)
		serve(n, NET_POLL_MS);
	end = clock_ms() + NET_CLOSE_MS;
	do
		serve(n, NET_CLOSE_POLL_MS);
	while (has_unsent(n) && clock_ms() < end);
	return NULL;
}

struct net *net_open(const char *addr, struct ring *to, apr_pool_t *p)
{
	struct net *n = apr_pcalloc(p, sizeof *n);
	uint64_t a = core_addr(addr);
	apr_sockaddr_t *sa = sockaddr(a, p);
	apr_pollfd_t fd;
	apr_status_t st = APR_EINVAL;
	char err[100];

	apr_pool_create(&n->p, NULL); /* its own allocator: the thread's alone */
	n->to = to;
	ring_open(&n->out, 65536, p);
	if (!a || !sa || (st = apr_socket_create(&n->s, APR_INET, SOCK_STREAM, APR_PROTO_TCP, p)) != APR_SUCCESS)
		goto bad;
	apr_socket_opt_set(n->s, APR_SO_REUSEADDR, 1);
	if ((st = apr_socket_bind(n->s, sa)) != APR_SUCCESS || (st = apr_socket_listen(n->s, 128)) != APR_SUCCESS)
		goto bad;
	apr_socket_opt_set(n->s, APR_SO_NONBLOCK, 1);
	apr_socket_timeout_set(n->s, 0);
	if ((st = apr_pollset_create(&n->set, 4096, p, APR_POLLSET_WAKEABLE)) != APR_SUCCESS)
		goto bad;
	memset(&fd, 0, sizeof fd);
	fd.desc_type = APR_POLL_SOCKET;
	fd.reqevents = APR_POLLIN;
	fd.desc.s = n->s;
	fd.p = p;
	apr_pollset_add(n->set, &fd);
	if ((st = apr_thread_create(&n->t, NULL, net_thread, n, p)) == APR_SUCCESS)
		return n;
bad:
	log_say(LOG_BAD, "net", "Cannot listen at %s: %s.", addr, apr_strerror(st, err, sizeof err));
	return NULL;
}

/* Messages that may be large, or many, and that nothing waits for within a lease or a bound of freshness. */
static int is_bulk(const struct Nl__Msg *m)
{
	switch (m->body_case) {
	case NL__MSG__BODY_SNAPSHOT_PIECE:
	case NL__MSG__BODY_KEPT_ALL: return 1;
	case NL__MSG__BODY_APPEND: return m->append->n_e > 0;
	default: return 0;
	}
}

void net_send(struct net *n, uint64_t addr, const struct Nl__Msg *m)
{
	struct net_bytes *b = malloc(sizeof *b);
	size_t len = nl__msg__get_packed_size(m);

	if (!b || !(b->d = malloc(len + 4)))
		abort();
	b->addr = addr;
	b->bulk = is_bulk(m);
	b->n = len + 4;
	for (int i = 0; i < 4; i++)
		b->d[i] = (uint8_t)(len >> (24 - 8 * i));
	nl__msg__pack(m, b->d + 4);
	if (len > NET_FRAME || !ring_push(n->out, b, 0)) {
		free(b->d);
		free(b);
		return;
	}
	apr_pollset_wakeup(n->set);
}

void net_close(struct net *n)
{
	apr_status_t st;
	struct net_bytes *b;

	n->stop = 1;
	apr_pollset_wakeup(n->set);
	apr_thread_join(&st, n->t);
	while ((b = ring_pop(n->out, 0))) {
		free(b->d);
		free(b);
	}
	while (arrlen(n->in))
		in_close(n, n->in[0]);
	for (ptrdiff_t i = 0; i < hmlen(n->peer); i++) {
		struct conn *c = n->peer[i].value;

		older_close(n, c);
		if (c->s)
			apr_socket_close(c->s);
		arrfree(c->buf);
		apr_pool_destroy(c->p);
		free(c);
	}
	arrfree(n->in);
	hmfree(n->peer);
	apr_socket_close(n->s);
	apr_pool_destroy(n->p);
}
