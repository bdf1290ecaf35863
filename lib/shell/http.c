/* http: see http.h. One epoll, level-triggered: a connection is registered once, and asks for room to write only after a short
 * write. What is written during a turn goes out at its end in one send. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "ds.h"
#include "http_internal.h"
#include "shell.h"

static void run_todo(struct http *h)
{
	struct conn **v = h->todo;
	ptrdiff_t i;

	if (!arrlen(v))
		return;
	/* only what was there: what callbacks add has its turn later */
	h->todo = h->doing;
	h->doing = v;
	for (i = 0; i < arrlen(v); i++) {
		struct conn *c = v[i];

		c->queued = 0;
		if (c->dead)
			continue;
		if (c->kind == CONN_SERVER)
			http_server_flush(c);
		else if (c->st == ST_FAIL)
			http_client_end(c, HTTP_NEVER, 0);
		else
			http_client_start(c);
	}
	arrsetlen(v, 0);
}

static void run_timers(struct http *h)
{
	while (arrlen(h->heap) && h->heap[0]->key <= h->now) {
		struct conn *c = h->heap[0];

		if (c->due > h->now) {
			if (c->due == NO_TIME) {
				http_timer_remove(h, c);
			} else {
				c->key = c->due;
				http_timer_down(h, 0);
			}
			continue;
		}
		http_timer_remove(h, c);
		c->due = NO_TIME;
		if (c->kind == CONN_SERVER) {
			http_server_timeout(c);
		} else if (c->kind == CONN_CLIENT) {
			http_client_timeout(c);
		} else if (c->fd >= 0) {
			c->st = ST_LISTEN;
			http_conn_watch(c, EPOLLIN);
		}
	}
}

void http_wait(struct http *h, int ms)
{
	uint64_t v;
	int i, n;

	h->turn++;
	h->did = 0;
	/* the time of the last turn serves where nothing is due soon */
	if (arrlen(h->todo) || (arrlen(h->heap) && h->heap[0]->key - h->now < (int64_t)ms + 1000))
		h->now = clock_ms();
	run_todo(h);
	if (h->did || h->sweeps || arrlen(h->todo) || ms < 0)
		ms = 0;
	if (ms && arrlen(h->heap) && h->heap[0]->key - h->now < ms)
		ms = h->heap[0]->key > h->now ? (int)(h->heap[0]->key - h->now) : 0;
	h->looked = h->polled;
	n = epoll_wait(h->ep, h->event, EVENTS, ms);
	h->now = h->polled = clock_ms();
	for (i = 0; i < n; i++) {
		struct conn *c = h->event[i].data.ptr;
		uint32_t ev = h->event[i].events;

		if (!c) {
			if (read(h->ev, &v, sizeof v) < 0)
				continue;
			__atomic_store_n(&h->woken, 0, __ATOMIC_SEQ_CST); /* before the owner looks at what it was woken for */
			continue;
		}
		if (c->dead || c->fd < 0)
			continue;
		if (c->kind == CONN_SERVER)
			http_server_event(c, ev);
		else if (c->kind == CONN_CLIENT)
			http_client_event(c, ev);
		else if (c->st == ST_LISTEN)
			http_door_accept(c);
	}
	http_door_sweep(h);
	run_timers(h);
	run_todo(h);
	http_conn_reap(h);
}

void http_wake(struct http *h)
{
	uint64_t one = 1;

	if (!__atomic_exchange_n(&h->woken, 1, __ATOMIC_SEQ_CST) && write(h->ev, &one, sizeof one) < 0)
		return; /* it is awake already */
}

struct http *http_open(const struct http_on *on, apr_pool_t *p)
{
	struct epoll_event e = { .events = EPOLLIN };
	struct http *h = calloc(1, sizeof *h);

	(void)p;
	if (!h)
		abort();
	http_parse_init();
	h->on = *on;
	h->ep = epoll_create1(EPOLL_CLOEXEC);
	h->ev = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (h->ep < 0 || h->ev < 0 || epoll_ctl(h->ep, EPOLL_CTL_ADD, h->ev, &e)) {
		log_say(LOG_BAD, "http", "Cannot open a loop: %s.", strerror(errno));
		free(h);
		return NULL;
	}
	h->now = h->polled = h->looked = clock_ms();
	return h;
}

void http_close(struct http *h)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(h->slot); i++)
		if (h->slot[i] && !h->slot[i]->dead)
			http_server_stop(h->slot[i]);
	for (i = 0; i < hmlen(h->calls); i++)
		http_conn_close(h->calls[i].value, 0);
	while (hmlen(h->peers)) {
		struct peer *q = h->peers[0].value;

		q->most = 0;
		q->open++;
		while (q->first)
			http_conn_close(q->first, 0);
		q->open--;
		http_peer_release(h, q);
	}
	for (i = 0; i < arrlen(h->todo); i++)
		h->todo[i]->queued = 0;
	http_conn_reap(h);
	for (i = 0; i < arrlen(h->doors); i++) {
		if (h->doors[i]->fd >= 0)
			close(h->doors[i]->fd);
		free(h->doors[i]->f);
		free(h->doors[i]);
	}
	while (h->spare) {
		struct conn *c = h->spare;

		h->spare = c->k.next;
		free(c->f);
		free(c);
	}
	while (h->nblock)
		free(h->block[--h->nblock]);
	arrfree(h->doors);
	arrfree(h->slot);
	arrfree(h->free_slot);
	arrfree(h->todo);
	arrfree(h->doing);
	arrfree(h->dead);
	arrfree(h->heap);
	hmfree(h->calls);
	hmfree(h->peers);
	close(h->ep);
	close(h->ev);
	free(h);
}

const char *http_get(const struct http_field *f, int nf, const char *name)
{
	int i;

	for (i = 0; i < nf; i++)
		if (!strcasecmp(f[i].name, name))
			return f[i].value;
	return NULL;
}

struct http_counts http_count(const struct http *h) { return h->n; }

uint64_t http_unsettled(const struct http *h)
{
	uint64_t left = h->n.requests;

	for (int i = 0; i < HTTP_OUTCOMES; i++)
		left -= h->n.outcome[i];
	return left;
}
