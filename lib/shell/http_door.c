/* http_door: listeners, the connections that they accept, and how they are left. */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ds.h"
#include "http_internal.h"
#include "shell.h"

void http_door_accept(struct conn *l)
{
	struct http *h = l->h;
	struct listener *d = &l->d;
	int i, fd;

	/* one a turn, and more only when more wait turn after turn */
	d->burst = d->turn + 1 == h->turn ? d->burst < 64 ? d->burst * 2 : 64 : 1;
	d->turn = h->turn;
	for (i = 0; i < d->burst; i++) {
		struct conn *c;

		fd = accept4(l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0) {
			if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
				l->st = ST_PAUSED;
				http_conn_watch(l, EPOLLRDHUP);
				http_timer_set(l, h->now + 100);
			}
			return;
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
		if (arrlen(h->free_slot)) {
			c->s.slot = arrpop(h->free_slot);
		} else {
			c->s.slot = (uint32_t)arrlenu(h->slot);
			arrput(h->slot, NULL);
		}
		h->slot[c->s.slot] = c;
		http_conn_watch(c, HTTP_READ_EVENTS);
		http_server_idle(c);
	}
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
	if (bind(fd, (struct sockaddr *)&sa, sizeof sa) || listen(fd, 1024) || getsockname(fd, (struct sockaddr *)&sa, &n))
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

static int nothing_read(const struct conn *c) { return c->st == ST_HEAD && !c->in.len; }

void http_shut(struct http *h, int door)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(h->doors); i++) {
		struct conn *l = h->doors[i];

		if (l->d.id != door || l->fd < 0)
			continue;
		close(l->fd); /* its struct stays for its connections */
		l->fd = -1;
		http_timer_remove(h, l);
	}
	for (i = 0; i < arrlen(h->slot); i++) {
		struct conn *c = h->slot[i];

		if (c && !c->dead && c->s.door->d.id == door && !c->s.token && nothing_read(c))
			http_conn_close(c, 0);
	}
}

void http_leave(struct http *h, int door)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(h->doors); i++)
		if (h->doors[i]->d.id == door)
			h->doors[i]->d.leaving = 1;
	for (i = 0; i < arrlen(h->slot); i++) {
		struct conn *c = h->slot[i];

		if (c && !c->dead && c->s.door->d.id == door && nothing_read(c))
			http_conn_close(c, 0);
	}
}
