/* log, clock, ring, events */
#include <errno.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "shell.h"

static const char *log_program = "notchlug";

void log_open(const char *program) { log_program = program; }

void log_say(enum log_level l, const char *prefix, const char *fmt, ...)
{
	char line[1024], when[32];
	time_t t = time(NULL);
	struct tm tm;
	va_list ap;
	int n;

	localtime_r(&t, &tm);
	strftime(when, sizeof when, "%b %e %H:%M:%S", &tm);
	n = snprintf(line, sizeof line, "<%d>%s %s[%d]: %s: ", l, when, log_program, (int)getpid(), prefix);
	va_start(ap, fmt);
	n += vsnprintf(line + n, sizeof line - (size_t)n - 1, fmt, ap);
	va_end(ap);
	if (n > (int)sizeof line - 2)
		n = sizeof line - 2;
	line[n++] = '\n';
	if (write(STDERR_FILENO, line, (size_t)n) < 0)
		return; /* nobody listens */
}

int64_t clock_wall(void) { return apr_time_now() / 1000; /* schedules alone */ }

int64_t clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* POSIX and not APR: APR's timed wait goes by the wall clock, and lasts an hour when that is set back by one. */
struct ring {
	pthread_mutex_t m;
	pthread_cond_t some, room;
	size_t cap, head, n;
	void **v;
	void (*pushed)(void *ctx);
	void *ctx;
};

void ring_on_push(struct ring *r, void (*fn)(void *ctx), void *ctx)
{
	pthread_mutex_lock(&r->m);
	r->ctx = ctx;
	r->pushed = fn;
	pthread_mutex_unlock(&r->m);
}

void ring_open(struct ring **r, size_t cap, apr_pool_t *p)
{
	pthread_condattr_t a;

	*r = apr_pcalloc(p, sizeof **r);
	(*r)->cap = cap;
	(*r)->v = apr_pcalloc(p, cap * sizeof(void *));
	pthread_mutex_init(&(*r)->m, NULL);
	pthread_condattr_init(&a);
	pthread_condattr_setclock(&a, CLOCK_MONOTONIC);
	pthread_cond_init(&(*r)->some, &a);
	pthread_cond_init(&(*r)->room, &a);
	pthread_condattr_destroy(&a);
}

int ring_push(struct ring *r, void *v, int wait)
{
	int ok = 1;

	pthread_mutex_lock(&r->m);
	while (r->n == r->cap && wait)
		pthread_cond_wait(&r->room, &r->m);
	if (r->n < r->cap) {
		r->v[(r->head + r->n++) % r->cap] = v;
		pthread_cond_signal(&r->some);
	} else {
		ok = 0;
	}
	if (r->pushed && r->n == 1)
		r->pushed(r->ctx);
	pthread_mutex_unlock(&r->m);
	return ok;
}

void *ring_pop(struct ring *r, int ms)
{
	struct timespec until;
	void *v = NULL;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += ms / 1000;
	until.tv_nsec += ms % 1000 * 1000000L;
	if (until.tv_nsec >= 1000000000L) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000L;
	}
	pthread_mutex_lock(&r->m);
	if (!r->n && ms > 0)
		pthread_cond_timedwait(&r->some, &r->m, &until);
	if (r->n) {
		v = r->v[r->head];
		r->head = (r->head + 1) % r->cap;
		r->n--;
		pthread_cond_signal(&r->room);
	}
	pthread_mutex_unlock(&r->m);
	return v;
}

struct shell_ev *shell_ev_new(enum shell_ev_kind k)
{
	struct shell_ev *e = calloc(1, sizeof *e);

	if (!e)
		abort();
	e->kind = k;
	return e;
}

void shell_ev_free(struct shell_ev *e)
{
	if (!e)
		return;
	if (e->msg)
		nl__msg__free_unpacked(e->msg, NULL);
	free(e->verb);
	free(e->path);
	free(e->digest);
	free(e->key);
	free(e->body);
	free(e);
}
