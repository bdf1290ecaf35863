/* ring: see ring.h.
 * Uses POSIX threads, because the timed wait of APR uses the wall clock: if that is set back by an hour, the
 * wait lasts an hour longer. */
#include "ring.h"

#include <pthread.h>
#include <time.h>

enum { MS_PER_S = 1000 };
#define NS_PER_MS 1000000L
#define NS_PER_S 1000000000L

/* mutex protects all fields except capacity. */
struct ring {
	pthread_mutex_t mutex;
	pthread_cond_t not_empty;
	pthread_cond_t not_full;
	size_t capacity;
	size_t head;  /* index of the first item */
	size_t count; /* number of items in the ring */
	void **items;
	void (*on_push)(void *context);
	void *on_push_context;
};

void ring_set_on_push(struct ring *ring, void (*on_push)(void *context), void *context)
{
	pthread_mutex_lock(&ring->mutex);
	ring->on_push_context = context;
	ring->on_push = on_push;
	pthread_mutex_unlock(&ring->mutex);
}

void ring_open(struct ring **result, size_t capacity, apr_pool_t *pool)
{
	struct ring *ring = apr_pcalloc(pool, sizeof *ring);
	pthread_condattr_t attributes;

	ring->capacity = capacity;
	ring->items = apr_pcalloc(pool, capacity * sizeof(void *));
	pthread_mutex_init(&ring->mutex, NULL);
	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&ring->not_empty, &attributes);
	pthread_cond_init(&ring->not_full, &attributes);
	pthread_condattr_destroy(&attributes);
	*result = ring;
}

int ring_push(struct ring *ring, void *item, int wait)
{
	int pushed = 0;

	pthread_mutex_lock(&ring->mutex);
	while (ring->count == ring->capacity && wait)
		pthread_cond_wait(&ring->not_full, &ring->mutex);
	if (ring->count < ring->capacity) {
		ring->items[(ring->head + ring->count++) % ring->capacity] = item;
		pthread_cond_signal(&ring->not_empty);
		pushed = 1;
	}
	if (ring->on_push && ring->count == 1)
		ring->on_push(ring->on_push_context);
	pthread_mutex_unlock(&ring->mutex);
	return pushed;
}

static struct timespec monotonic_deadline(int timeout_ms)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	time.tv_sec += timeout_ms / MS_PER_S;
	time.tv_nsec += timeout_ms % MS_PER_S * NS_PER_MS;
	if (time.tv_nsec >= NS_PER_S) {
		time.tv_sec++;
		time.tv_nsec -= NS_PER_S;
	}
	return time;
}

void *ring_pop(struct ring *ring, int timeout_ms)
{
	struct timespec deadline = monotonic_deadline(timeout_ms);
	void *item = NULL;

	pthread_mutex_lock(&ring->mutex);
	if (!ring->count && timeout_ms > 0)
		pthread_cond_timedwait(&ring->not_empty, &ring->mutex, &deadline);
	if (ring->count) {
		item = ring->items[ring->head];
		ring->head = (ring->head + 1) % ring->capacity;
		ring->count--;
		pthread_cond_signal(&ring->not_full);
	}
	pthread_mutex_unlock(&ring->mutex);
	return item;
}
