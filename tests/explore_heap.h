/* explore_heap: the heap of one replica as one flat block of memory, so that the model checker can save,
 * restore and hash a replica without knowing what its structures hold. While a heap is selected, malloc and
 * its kin take from it. */
#ifndef NL_EXPLORE_HEAP_H
#define NL_EXPLORE_HEAP_H

#include <stddef.h>
#include <stdint.h>

enum { EXPLORE_HEAP_BYTES = 64 << 10 };

/* Virtual time starts here. Hashing tells times from other numbers by their size and takes them relative to
 * now, so that two states that differ only by when they were reached are one. */
#define EXPLORE_EPOCH_MS ((int64_t)1 << 40)

struct explore_heap {
	size_t used;
	_Alignas(16) unsigned char bytes[EXPLORE_HEAP_BYTES];
};

/* Allocate from heap until the next call; NULL: from the process's own.
 * Example: explore_heap_select(&heap); raft_tick(...); explore_heap_select(NULL); */
void explore_heap_select(struct explore_heap *heap);

/* Forget everything that was allocated. Example: explore_heap_reset(&heap); */
void explore_heap_reset(struct explore_heap *heap);

/* Copy only what is in use. Example: explore_heap_copy(&saved, &heap); */
void explore_heap_copy(struct explore_heap *explore_heap, const struct explore_heap *from);

/* Hash what is reachable from root, a block of heap; pointers are followed, times are relative to now.
 * Example: h = explore_heap_hash(&heap, raft, now); */
uint64_t explore_heap_hash(const struct explore_heap *heap, const void *root, int64_t now);

#endif
