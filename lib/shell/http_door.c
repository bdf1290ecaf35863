/* http_door: listeners, the connections that they accept, and how they are left. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ds.h"
#include "http_internal.h"
#include "shell.h"

enum { ACCEPT_MOST = 64, ACCEPT_PAUSE_MS = 100 /* after the descriptors have run out */ };

static void pause_accepting(struct conn *l)
{
	l->st = ST_PAUSED;
	http_conn_watch(l, EPOLLRDHUP);
	http_timer_set(l, l->h->now + ACCEPT_PAUSE_MS);
}

static uint32_t slot_for(struct http *h, struct conn *c)
{
	uint32_t slot;

	if (arrlen(h->free_slot)) {
		slot = arrpop(h->free_slot);
	} else {
		slot = (uint32_t)arrlenu(h->slot);
		arrput(h->slot, NULL);
	}
	h->slot[slot] = c;
	return slot;
}

/* Returns 0 when there is none, or no descriptor for it. */
static int accept_one(struct conn *l)
{
	struct http *h = l->h;
	struct listener *d = &l->d;
	int fd = accept4(l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct conn *c;

	if (fd < 0) {
		if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
			pause_accepting(l);
		return 0;
	}
	if (!d->checked) {
		d->checked = 1;
		d->inherits = http_socket_inherits(fd);
	}
	if (!d->inherits)
		http_socket_options(fd);
	h->n.accepted++;
	c = http_conn_new(h, CONN_SERVER, fd);
	c->s.door = l;
	c->s.slot = slot_for(h, c);
	http_conn_watch(c, HTTP_READ_EVENTS);
	http_server_idle(c);
	return 1;
}

void http_door_accept(struct conn *l)
{
	struct http *h = l->h;
	struct listener *d = &l->d;
	int i;

	/* one a turn, and more only when more wait turn after turn */
	d->burst = d->turn + 1 == h->turn ? d->burst < ACCEPT_MOST ? d->burst * 2 : ACCEPT_MOST : 1;
	d->turn = h->turn;
	for (i = 0; i < d->burst && accept_one(l); i++)
		;
}

int http_listen(struct http *h, const char *addr, int door, const struct http_limits *l)
{
	uint64_t a = core_addr(addr);
	struct sockaddr_in sa = http_socket_address(a);
	socklen_t n = sizeof sa;
	struct conn *c;
	int fd, on = 1;

	if (!a) {
		log_say(LOG_BAD, "http", "Cannot listen at %s: not an address.", addr);
		return 0;
	}
	if ((fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) < 0)
		goto bad;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	http_socket_options(fd);
	if (bind(fd, (struct sockaddr *)&sa, sizeof sa) || listen(fd, BACKLOG) || getsockname(fd, (struct sockaddr *)&sa, &n))
		goto bad;
	c = http_conn_new(h, CONN_DOOR, fd);
	c->st = ST_LISTEN;
	c->d.id = door;
	c->d.port = ntohs(sa.sin_port);
	c->d.burst = 1;
	c->d.lim = *l;
	http_conn_watch(c, EPOLLIN);
	arrput(h->doors, c);
	return 1;
bad:
	log_say(LOG_BAD, "http", "Cannot listen at %s: %s.", addr, strerror(errno));
	if (fd >= 0)
		close(fd);
	return 0;
}

int http_port(const struct http *h, int door)
{
	ptrdiff_t i;

	for (i = arrlen(h->doors); i--;)
		if (h->doors[i]->d.id == door)
			return h->doors[i]->d.port;
	return 0;
}

void http_limits(struct http *h, int door, const struct http_limits *l)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(h->doors); i++)
		if (h->doors[i]->d.id == door)
			h->doors[i]->d.lim = *l;
}

static int is_incomplete(const struct conn *c, int door)
{
	return c && !c->dead && c->s.door->d.id == door && (c->st == ST_BODY || (c->st == ST_HEAD && c->in.len));
}

int http_receiving(const struct http *h, int door)
{
	ptrdiff_t i;
	int n = 0;

	for (i = 0; i < arrlen(h->slot); i++)
		n += is_incomplete(h->slot[i], door);
	return n;
}

void http_refuse_incomplete(struct http *h, int door, int retry_ms)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(h->slot); i++)
		if (is_incomplete(h->slot[i], door))
			http_server_refuse(h->slot[i], 503, retry_ms);
}

/* ---- leaving ---- */

static void sweep_later(struct http *h, struct conn *l)
{
	h->sweeps += !l->d.sweep;
	l->d.sweep = 1;
}

/* Nothing of a request was read, and none is awaited: at a door that leaves, or of a client that was never served. */
static int may_close_unread(const struct conn *c)
{
	return c->st == ST_HEAD && !c->in.len && (c->s.door->d.leaving || !c->s.token);
}

void http_door_sweep(struct http *h)
{
	ptrdiff_t i;

	if (!h->sweeps)
		return;
	for (i = 0; i < arrlen(h->slot); i++) {
		struct conn *c = h->slot[i];

		if (c && !c->dead && c->s.door->d.sweep && may_close_unread(c) && !http_server_moves(c))
			http_conn_close(c, 0);
	}
	for (i = 0; i < arrlen(h->doors); i++)
		h->doors[i]->d.sweep = 0;
	h->sweeps = 0;
}

void http_shut(struct http *h, int door)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(h->doors); i++) {
		struct conn *l = h->doors[i];
		int taken = 0;

		if (l->d.id != door || l->fd < 0)
			continue;
		while (taken < BACKLOG && accept_one(l)) /* closing the listener would reset what waits in it */
			taken++;
		close(l->fd); /* its struct stays for its connections */
		l->fd = -1;
		http_timer_remove(h, l);
		sweep_later(h, l);
	}
}

void http_leave(struct http *h, int door)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(h->doors); i++) {
		if (h->doors[i]->d.id != door)
			continue;
		h->doors[i]->d.leaving = 1;
		sweep_later(h, h->doors[i]);
	}
}
