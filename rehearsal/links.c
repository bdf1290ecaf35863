/* Links: each peer is advertised at its link, which passes frames on by rule. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kit.h"

struct rule {
	uint64_t from, to;
	int cut, delay;
};
struct link {
	struct links *l;
	uint64_t at, real;
	int fd;
};
struct links {
	pthread_mutex_t m;
	struct rule rule[64];
	int n, stop, nlink;
	struct link link[64];
};
struct way {
	struct link *k;
	int fd;
};

static struct sockaddr_in sockaddr_of(uint64_t a)
{
	struct sockaddr_in sa;

	memset(&sa, 0, sizeof sa);
	sa.sin_family = AF_INET;
	sa.sin_port = htons((uint16_t)(a & 65535));
	sa.sin_addr.s_addr = htonl((uint32_t)(a >> 16));
	return sa;
}

static int read_all(int fd, uint8_t *d, size_t n)
{
	while (n) {
		ssize_t k = read(fd, d, n);

		if (k <= 0)
			return 0;
		d += k;
		n -= (size_t)k;
	}
	return 1;
}

static int rule_for(struct links *l, uint64_t from, uint64_t to, int *delay)
{
	int cut = 0;

	*delay = 0;
	pthread_mutex_lock(&l->m);
	for (int i = 0; i < l->n; i++)
		if ((!l->rule[i].from || l->rule[i].from == from) && (!l->rule[i].to || l->rule[i].to == to)) {
			cut |= l->rule[i].cut;
			*delay += l->rule[i].delay;
		}
	pthread_mutex_unlock(&l->m);
	return cut;
}

/* A frame on its way: links delay each one by itself, however many are on their way at once. */
struct held {
	int64_t due;
	size_t n;
	struct held *next;
	uint8_t d[];
};

/* Read one frame; NULL when the connection ends. What a rule cuts is read and dropped: *h stays NULL. */
static int frame_in(struct way *w, struct held **h)
{
	uint8_t head[4];
	struct Nl__Msg *m;
	size_t n;
	int delay, cut;

	*h = NULL;
	if (!read_all(w->fd, head, 4))
		return 0;
	n = (size_t)head[0] << 24 | (size_t)head[1] << 16 | (size_t)head[2] << 8 | head[3];
	if (n > 64u << 20)
		return 0;
	*h = calloc(1, sizeof **h + n + 4);
	memcpy((*h)->d, head, 4);
	m = read_all(w->fd, (*h)->d + 4, n) ? nl__msg__unpack(NULL, n, (*h)->d + 4) : NULL;
	cut = !m || rule_for(w->k->l, m->addr, w->k->at, &delay);
	if (m)
		nl__msg__free_unpacked(m, NULL);
	if (cut) {
		free(*h);
		*h = NULL;
		return m != NULL;
	}
	(*h)->n = n + 4;
	(*h)->due = clock_ms() + delay;
	return 1;
}

static int frame_out(struct way *w, int *out, const struct held *h)
{
	struct sockaddr_in sa = sockaddr_of(w->k->real);
	int one = 1;

	if (*out < 0) {
		*out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(*out, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
		if (connect(*out, (struct sockaddr *)&sa, sizeof sa))
			return 0;
	}
	for (size_t at = 0; at < h->n;) {
		ssize_t k = send(*out, h->d + at, h->n - at, MSG_NOSIGNAL);

		if (k <= 0)
			return 0;
		at += (size_t)k;
	}
	return 1;
}

static void *way_thread(void *arg)
{
	struct way *w = arg;
	struct held *head = NULL, *tail = NULL, *h;
	int out = -1, open = 1;

	while (open) {
		struct pollfd p = { w->fd, POLLIN, 0 };
		int64_t wait = head ? head->due - clock_ms() : -1;

		if (poll(&p, 1, head && wait < 0 ? 0 : (int)wait) > 0) {
			open = frame_in(w, &h);
			if (h && tail && h->due < tail->due)
				h->due = tail->due; /* in order */
			if (h) {
				*(head ? &tail->next : &head) = h;
				tail = h;
			}
		}
		while (open && head && head->due <= clock_ms()) {
			h = head;
			head = h->next;
			if (!head)
				tail = NULL;
			open = frame_out(w, &out, h);
			free(h);
		}
	}
	while ((h = head)) {
		head = h->next;
		free(h);
	}
	if (out >= 0)
		close(out);
	close(w->fd);
	free(w);
	return NULL;
}

static void *link_thread(void *arg)
{
	struct link *k = arg;

	for (;;) {
		int fd = accept4(k->fd, NULL, NULL, SOCK_CLOEXEC), one = 1;
		struct way *w;
		pthread_t t;

		if (fd < 0) {
			if (k->l->stop)
				return NULL;
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
		w = calloc(1, sizeof *w);
		w->k = k;
		w->fd = fd;
		if (pthread_create(&t, NULL, way_thread, w) == 0)
			pthread_detach(t);
	}
}

struct links *links_open(void)
{
	struct links *l = calloc(1, sizeof *l);

	pthread_mutex_init(&l->m, NULL);
	return l;
}

int links_add(struct links *l, const char *at, const char *real)
{
	struct link *k = &l->link[l->nlink++];
	struct sockaddr_in sa;
	pthread_t t;
	int one = 1;

	k->l = l;
	k->at = core_addr(at);
	k->real = core_addr(real);
	sa = sockaddr_of(k->at);
	k->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(k->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	if (bind(k->fd, (struct sockaddr *)&sa, sizeof sa) || listen(k->fd, 64) || pthread_create(&t, NULL, link_thread, k)) {
		fprintf(stderr, "rehearsal: link %s: %s\n", at, strerror(errno));
		return 0;
	}
	pthread_detach(t);
	return 1;
}

void links_rule(struct links *l, const char *from, const char *to, int cut, int delay)
{
	struct rule r = { from[0] ? core_addr(from) : 0, to[0] ? core_addr(to) : 0, cut, delay };

	pthread_mutex_lock(&l->m);
	if (l->n < 64)
		l->rule[l->n++] = r;
	pthread_mutex_unlock(&l->m);
}

void links_clear(struct links *l)
{
	pthread_mutex_lock(&l->m);
	l->n = 0;
	pthread_mutex_unlock(&l->m);
}

void links_close(struct links *l) { l->stop = 1; }
