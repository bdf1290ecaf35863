/* http_conn: connections, the times at which something is due for them, their sockets. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ds.h"
#include "http_internal.h"

/* ---- times: a heap whose keys may be early, so that moving a time on costs nothing ---- */

static void timer_place(struct http *h, int i, struct conn *c)
{
	h->heap[i] = c;
	c->hpos = i;
}

static void timer_up(struct http *h, int i)
{
	struct conn *c = h->heap[i];

	for (; i && h->heap[(i - 1) / 2]->key > c->key; i = (i - 1) / 2)
		timer_place(h, i, h->heap[(i - 1) / 2]);
	timer_place(h, i, c);
}

void http_timer_down(struct http *h, int i)
{
	struct conn *c = h->heap[i];
	int n = (int)arrlen(h->heap), j;

	while ((j = 2 * i + 1) < n) {
		if (j + 1 < n && h->heap[j + 1]->key < h->heap[j]->key)
			j++;
		if (h->heap[j]->key >= c->key)
			break;
		timer_place(h, i, h->heap[j]);
		i = j;
	}
	timer_place(h, i, c);
}

void http_timer_remove(struct http *h, struct conn *c)
{
	struct conn *l;
	int i = c->hpos;

	if (i < 0)
		return;
	c->hpos = -1;
	c->key = NO_TIME;
	l = arrpop(h->heap);
	if (l == c)
		return;
	timer_place(h, i, l);
	timer_up(h, i);
	http_timer_down(h, l->hpos);
}

void http_timer_set(struct conn *c, int64_t at)
{
	c->due = at;
	if (at >= c->key)
		return;
	c->key = at;
	if (c->hpos < 0) {
		c->hpos = (int)arrlen(c->h->heap);
		arrput(c->h->heap, c);
	}
	timer_up(c->h, c->hpos);
}

/* ---- connections ---- */

struct conn *http_conn_new(struct http *h, enum conn_kind kind, int fd)
{
	struct conn *c = h->spare;
	struct http_field *f = NULL;
	int fcap = 0;

	if (c) {
		h->spare = c->k.next;
		f = c->f;
		fcap = c->fcap;
	} else if (!(c = malloc(sizeof *c))) {
		abort();
	}
	memset(c, 0, sizeof *c);
	c->h = h;
	c->kind = kind;
	c->fd = fd;
	c->f = f;
	c->fcap = fcap;
	c->due = c->key = NO_TIME;
	c->hpos = -1;
	return c;
}

void http_conn_watch(struct conn *c, uint32_t mask)
{
	struct epoll_event e = { .events = mask, .data.ptr = c };

	if (c->mask == mask)
		return;
	epoll_ctl(c->h->ep, c->mask ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, c->fd, &e);
	c->mask = mask;
}

void http_conn_queue(struct conn *c)
{
	if (c->queued || c->dead)
		return;
	c->queued = 1;
	arrput(c->h->todo, c);
}

void http_kept_remove(struct conn *c)
{
	struct peer *p = c->k.peer;

	if (c->k.prev)
		c->k.prev->k.next = c->k.next;
	else
		p->first = c->k.next;
	if (c->k.next)
		c->k.next->k.prev = c->k.prev;
	else
		p->last = c->k.prev;
	c->k.next = c->k.prev = NULL;
}

void http_peer_release(struct http *h, struct peer *p)
{
	if (p->open || p->most)
		return;
	(void)hmdel(h->peers, p->addr);
	free(p);
}

/* Would an ordinary end of this connection make an answer look whole that is not? So it is where the end of the connection
 * is the end of the answer. */
static int end_misleads(const struct conn *c)
{
	if (c->kind != CONN_SERVER || !c->s.begun || c->s.out != FR_EOF || c->s.no_body)
		return 0;
	return c->st == ST_BUSY || (c->st == ST_DONE && c->out.len > c->out.off);
}

/* Its memory lives on to the end of the turn. */
void http_conn_close(struct conn *c, int reset)
{
	struct linger l = { 1, 0 };
	struct http *h = c->h;

	if (c->dead)
		return;
	c->dead = 1;
	if (c->fd >= 0) {
		if (reset || end_misleads(c))
			setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
		close(c->fd);
	}
	c->fd = -1;
	http_timer_remove(h, c);
	if (c->kind == CONN_SERVER && (c->st == ST_BUSY || c->st == ST_DONE))
		h->busy--;
	if (c->kind == CONN_CLIENT && c->k.peer) {
		if (c->st == ST_KEPT)
			http_kept_remove(c);
		c->k.peer->open--;
		http_peer_release(h, c->k.peer);
		c->k.peer = NULL;
	}
	arrput(h->dead, c);
}

static void conn_free(struct http *h, struct conn *c)
{
	if (c->kind == CONN_SERVER) {
		http_buffer_free(h, &c->s.early);
		h->slot[c->s.slot] = NULL;
		arrput(h->free_slot, c->s.slot);
	}
	http_buffer_free(h, &c->in);
	http_buffer_free(h, &c->out);
	c->k.next = h->spare;
	h->spare = c;
}

void http_conn_reap(struct http *h)
{
	ptrdiff_t i, n = 0;

	for (i = 0; i < arrlen(h->dead); i++)
		if (h->dead[i]->queued)
			h->dead[n++] = h->dead[i];
		else
			conn_free(h, h->dead[i]);
	arrsetlen(h->dead, n);
}

void http_socket_options(int fd)
{
	int on = 1, ut = USER_TIMEOUT, idle = 2, intvl = 1, cnt = 3;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ut, sizeof ut);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &intvl, sizeof intvl);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &cnt, sizeof cnt);
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
}

static int option_is(int fd, int level, int name, int want)
{
	int v = -1;
	socklen_t n = sizeof v;

	return !getsockopt(fd, level, name, &v, &n) && (want ? v == want : v > 0);
}

/* Whether a listener hands its options on to its connections, as Linux does. */
int http_socket_inherits(int fd)
{
	return option_is(fd, IPPROTO_TCP, TCP_NODELAY, 0) && option_is(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT) &&
	       option_is(fd, IPPROTO_TCP, TCP_KEEPIDLE, 2) && option_is(fd, IPPROTO_TCP, TCP_KEEPINTVL, 1) &&
	       option_is(fd, IPPROTO_TCP, TCP_KEEPCNT, 3) && option_is(fd, SOL_SOCKET, SO_KEEPALIVE, 0);
}

/* Returns 0 when not all could be sent, or the connection is lost. */
int http_conn_send(struct conn *c, int *lost)
{
	size_t n = c->out.len - c->out.off;
	ssize_t k;

	*lost = 0;
	if (!n)
		return 1;
	do
		k = send(c->fd, c->out.d + c->out.off, n, MSG_NOSIGNAL);
	while (k < 0 && errno == EINTR);
	if (k < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
		*lost = 1;
		return 0;
	}
	if (k > 0)
		c->out.off += (size_t)k;
	if (k > 0 && (size_t)k == n) {
		http_buffer_free(c->h, &c->out);
		return 1;
	}
	return 0;
}

struct sockaddr_in http_socket_address(uint64_t a)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_addr.s_addr = htonl((uint32_t)(a >> 16)),
				     .sin_port = htons((uint16_t)a) };
}
