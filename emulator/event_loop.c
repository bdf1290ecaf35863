/* Event loop of the platform's emulator: timers in a heap, sockets by epoll, and the emulator's random
 * numbers. */
#include <stdlib.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include "containers.h"
#include "event_loop_internal.h"

int64_t loop_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

uint64_t emulator_random(uint64_t *rng)
{
	uint64_t z = *rng += 0x9e3779b97f4a7c15u;

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9u;
	z = (z ^ z >> 27) * 0x94d049bb133111ebu;
	return z ^ z >> 31;
}

double emulator_random_unit(uint64_t *rng)
{
	return (double)(emulator_random(rng) >> 11) / 9007199254740992.0;
}

uint64_t emulator_hash(uint64_t hash, const void *data, size_t n)
{
	const unsigned char *p = data;

	hash ^= 0xcbf29ce484222325u;
	for (size_t i = 0; i < n; i++)
		hash = (hash ^ p[i]) * 0x100000001b3u;
	return hash;
}

static void swap_timers(struct timer *a, struct timer *b)
{
	struct timer timer = *a;
	*a = *b;
	*b = timer;
}

static void sift_timer(struct loop *loop, size_t i)
{
	size_t n = arrlenu(loop->timers);

	while (i && loop->timers[(i - 1) / 2].expires_at_us > loop->timers[i].expires_at_us) {
		swap_timers(&loop->timers[i], &loop->timers[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	for (;;) {
		size_t k = i;

		for (size_t c = 2 * i + 1; c <= 2 * i + 2 && c < n; c++)
			if (loop->timers[c].expires_at_us < loop->timers[k].expires_at_us)
				k = c;
		if (k == i)
			return;
		swap_timers(&loop->timers[i], &loop->timers[k]);
		i = k;
	}
}

uint64_t loop_after(struct loop *loop, int64_t us, void (*callback)(void *ctx), void *context)
{
	struct timer timer = { loop_us() + us, ++loop->last_timer_id, callback, context };

	arrput(loop->timers, timer);
	sift_timer(loop, arrlenu(loop->timers) - 1);
	return loop->last_timer_id;
}

int64_t loop_max_lateness(struct loop *loop)
{
	int64_t late = loop->max_lateness_us;

	loop->max_lateness_us = 0;
	return late;
}

static struct timer pop_timer(struct loop *loop, size_t i)
{
	struct timer t = loop->timers[i], last = arrpop(loop->timers);

	if (i < arrlenu(loop->timers)) {
		loop->timers[i] = last;
		sift_timer(loop, i);
	}
	return t;
}

void loop_cancel(struct loop *loop, uint64_t id)
{
	for (size_t i = 0; id && i < arrlenu(loop->timers); i++)
		if (loop->timers[i].id == id) {
			pop_timer(loop, i);
			return;
		}
}

static void loop_sweep(struct loop *loop)
{
	int64_t now = loop_us();

	if (now - loop->swept_at_us > 50000) {
		loop->swept_at_us = now;
		for (int i = 0; i < arrlen(loop->connections); i++) {
			struct conn *conn = loop->connections[i];

			if (!conn->is_closed && conn->port && conn->port->idle_ms && !conn->in_request &&
			    !conn->is_silent &&
			    now - conn->idle_since_us > (int64_t)conn->port->idle_ms * 1000)
				conn_destroy(conn, 0);
		}
	}
	for (int i = arrlen(loop->connections) - 1; i >= 0; i--) {
		struct conn *conn = loop->connections[i];

		if (conn->is_closed && !conn->parsing) {
			http_message_clear(&conn->message);
			arrfree(conn->input);
			arrfree(conn->output);
			free(conn);
			arrdelswap(loop->connections, i);
		}
	}
	for (int i = arrlen(loop->ports) - 1; i >= 0; i--) {
		if (loop->ports[i]->is_closed) {
			free(loop->ports[i]);
			arrdelswap(loop->ports, i);
		}
	}
}

static void loop_iterate(struct loop *loop, int64_t until)
{
	struct epoll_event event[128];
	int64_t now = loop_us(), at = until;
	int n;

	if (arrlen(loop->timers) && loop->timers[0].expires_at_us < at)
		at = loop->timers[0].expires_at_us;
	n = epoll_wait(loop->epoll_fd, event, 128, at <= now ? 0 : (int)((at - now + 999) / 1000));
	for (int i = 0; i < n; i++) {
		struct fd_owner *fd_owner = event[i].data.ptr;

		if (fd_owner->kind == 1) {
			if (!((struct port *)fd_owner)->is_closed)
				port_accept_all((struct port *)fd_owner);
		} else {
			conn_on_ready((struct conn *)fd_owner, event[i].events);
		}
	}
	now = loop_us();
	while (arrlen(loop->timers) && loop->timers[0].expires_at_us <= now) {
		struct timer timer = pop_timer(loop, 0);

		if (now - timer.expires_at_us > loop->max_lateness_us)
			loop->max_lateness_us = now - timer.expires_at_us;
		timer.callback(timer.context);
	}
	loop_sweep(loop);
}

int loop_until(struct loop *loop, int64_t us, int (*done)(void *ctx), void *context)
{
	int64_t until = loop_us() + us;

	do {
		loop_iterate(loop, until);
		if (done && done(context))
			return 1;
	} while (loop_us() < until);
	return 0;
}

struct loop *loop_open(void)
{
	struct loop *loop = calloc(1, sizeof *loop);

	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	return loop;
}

void loop_close(struct loop *loop)
{
	for (int i = 0; i < arrlen(loop->ports); i++)
		port_close(loop->ports[i], 0);
	for (int i = 0; i < arrlen(loop->connections); i++)
		conn_destroy(loop->connections[i], 0);
	loop_sweep(loop);
	arrfree(loop->connections);
	arrfree(loop->ports);
	arrfree(loop->timers);
	close(loop->epoll_fd);
	free(loop);
}
