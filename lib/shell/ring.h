/* ring: a bounded queue of pointers between threads, first in, first out.
 * Each thread of the shell layer hands what it has read to the thread that owns the program's state through
 * one. */
#ifndef NL_RING_H
#define NL_RING_H

#include <apr_pools.h>
#include <stddef.h>

/* A queue; all calls may come from any thread. It doesn't own what it holds. */
struct ring;

/* Create a ring for capacity items. It lives as long as pool. */
void ring_open(struct ring **ring, size_t capacity, apr_pool_t *pool);

/* Add an item at the end. Returns 1, or 0 when the ring is full and wait is 0; with wait it blocks until
 * there is space. On 0 the item stays the caller's. */
int ring_push(struct ring *ring, void *item, int wait);

/* Remove the first item; NULL when none comes within timeout_ms. */
void *ring_pop(struct ring *ring, int timeout_ms);

/* Have on_push called, with the ring locked, after each push into an empty ring: for an owner that waits
 * elsewhere than in ring_pop. It must not use the ring. NULL: no more calls. */
void ring_on_push(struct ring *ring, void (*on_push)(void *context), void *context);

#endif
