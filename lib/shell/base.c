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

void log_open(const char *program)
{
	log_program = program;
}

void log_write(enum log_level level, const char *prefix, const char *fmt, ...)
{
	char line[1024], when[32];
	time_t now = time(NULL);
	struct tm tm;
	va_list arguments;
	int length;

	localtime_r(&now, &tm);
	strftime(when, sizeof when, "%b %e %H:%M:%S", &tm);
	length = snprintf(line, sizeof line, "<%d>%s %s[%d]: %s: ", level, when, log_program, (int)getpid(),
			  prefix);
	va_start(arguments, fmt);
	length += vsnprintf(line + length, sizeof line - (size_t)length - 1, fmt, arguments);
	va_end(arguments);
	if (length > (int)sizeof line - 2)
		length = sizeof line - 2;
	line[length++] = '\n';
	if (write(STDERR_FILENO, line, (size_t)length) < 0)
		return; /* nobody listens */
}

int64_t clock_wall_ms(void)
{
	return apr_time_now() / 1000; /* schedules alone */
}

int64_t clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/* POSIX and not APR: APR's timed wait goes by the wall clock, and lasts an hour when that is set back by one.
 */
struct ring {
	pthread_mutex_t mutex;
	pthread_cond_t not_empty, not_full;
	size_t capacity, head, count;
	void **items;
	void (*on_push)(void *ctx);
	void *on_push_context;
};

void ring_on_push(struct ring *ring, void (*on_push)(void *ctx), void *context)
{
	pthread_mutex_lock(&ring->mutex);
	ring->on_push_context = context;
	ring->on_push = on_push;
	pthread_mutex_unlock(&ring->mutex);
}

void ring_open(struct ring **ring, size_t capacity, apr_pool_t *pool)
{
	pthread_condattr_t attributes;

	*ring = apr_pcalloc(pool, sizeof **ring);
	(*ring)->capacity = capacity;
	(*ring)->items = apr_pcalloc(pool, capacity * sizeof(void *));
	pthread_mutex_init(&(*ring)->mutex, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&(*ring)->not_empty, &attributes);
	pthread_cond_init(&(*ring)->not_full, &attributes);
	pthread_condattr_destroy(&attributes);
}

int ring_push(struct ring *ring, void *item, int wait)
{
	int ok = 1;

	pthread_mutex_lock(&ring->mutex);
	while (ring->count == ring->capacity && wait)
		pthread_cond_wait(&ring->not_full, &ring->mutex);
	if (ring->count < ring->capacity) {
		ring->items[(ring->head + ring->count++) % ring->capacity] = item;
		pthread_cond_signal(&ring->not_empty);
	} else {
		ok = 0;
	}
	if (ring->on_push && ring->count == 1)
		ring->on_push(ring->on_push_context);
	pthread_mutex_unlock(&ring->mutex);
	return ok;
}

void *ring_pop(struct ring *ring, int timeout_ms)
{
	struct timespec until;
	void *item = NULL;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += timeout_ms / 1000;
	until.tv_nsec += timeout_ms % 1000 * 1000000L;
	if (until.tv_nsec >= 1000000000L) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000L;
	}
	pthread_mutex_lock(&ring->mutex);
	if (!ring->count && timeout_ms > 0)
		pthread_cond_timedwait(&ring->not_empty, &ring->mutex, &until);
	if (ring->count) {
		item = ring->items[ring->head];
		ring->head = (ring->head + 1) % ring->capacity;
		ring->count--;
		pthread_cond_signal(&ring->not_full);
	}
	pthread_mutex_unlock(&ring->mutex);
	return item;
}

struct shell_event *shell_event_new(enum shell_event_kind kind)
{
	struct shell_event *event = calloc(1, sizeof *event);

	if (!event)
		abort();
	event->kind = kind;
	return event;
}

void shell_event_free(struct shell_event *event)
{
	if (!event)
		return;
	if (event->message)
		nl__msg__free_unpacked(event->message, NULL);
	free(event->method);
	free(event->path);
	free(event->key_digest);
	free(event->idempotency_key);
	free(event->body);
	free(event);
}
