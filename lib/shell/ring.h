/* ring: a bounded FIFO queue of pointers between threads.
 * The threads of the shell layer send events through a ring to the thread that owns the program's state. */
#ifndef NL_RING_H
#define NL_RING_H

#include <apr_pools.h>
#include <stddef.h>

/* A queue; any thread may call its functions. It doesn't own the items. */
struct ring;

/* Create a ring for capacity items. The ring is valid until pool is destroyed. */
void ring_open(struct ring **ring, size_t capacity, apr_pool_t *pool);

/* Append an item. If the ring is full, block until there is space (wait is not 0) or return 0 (wait is 0);
 * the caller then keeps the item. Returns 1 after the item was appended. */
int ring_push(struct ring *ring, void *item, int wait);

/* Remove and return the first item. Returns NULL if the ring is still empty after timeout_ms. */
void *ring_pop(struct ring *ring, int timeout_ms);

/* Set a function that is called after each push into an empty ring, for a consumer that does not wait in
 * ring_pop. It is called with the ring locked and must not use the ring. NULL removes the function. */
void ring_set_on_push(struct ring *ring, void (*on_push)(void *context), void *context);

#endif
