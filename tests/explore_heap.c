#include "explore_heap.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "containers.h"

enum {
	ALIGNMENT = 16,
	MAX_HASH_WORDS = 1 << 15,
	MAX_POINTER_DEPTH = 8,
	OLDEST_MS = 20000 /* no bound of the replicated log looks further back */
};

#define TAG_LIVE 0x4c4956452d424c4bull
#define TAG_FREE 0x465245452d424c4bull
#define TIME_WINDOW_MS ((uint64_t)1 << 24)
#define TIME_MARK 0x9000000000000000ull

struct block {
	uint32_t capacity; /* bytes behind this header */
	uint32_t requested;
	uint64_t tag;
};

static struct explore_heap *selected;

void *__real_malloc(size_t n);
void *__real_calloc(size_t n, size_t size);
void *__real_realloc(void *pointer, size_t n);
void __real_free(void *pointer);
void *__wrap_malloc(size_t n);
void *__wrap_calloc(size_t n, size_t size);
void *__wrap_realloc(void *pointer, size_t n);
void __wrap_free(void *pointer);

void explore_heap_select(struct explore_heap *heap)
{
	selected = heap;
}

void explore_heap_reset(struct explore_heap *heap)
{
	heap->used = 0;
}

void explore_heap_copy(struct explore_heap *explore_heap, const struct explore_heap *from)
{
	explore_heap->used = from->used;
	memcpy(explore_heap->bytes, from->bytes, from->used);
}

static struct block *block_at(const struct explore_heap *heap, size_t offset)
{
	return (struct block *)(uintptr_t)(heap->bytes + offset);
}

static int contains(const struct explore_heap *heap, const void *pointer)
{
	return heap && (const unsigned char *)pointer >= heap->bytes &&
	       (const unsigned char *)pointer < heap->bytes + heap->used;
}

static void *block_take(struct block *block, size_t n)
{
	block->requested = (uint32_t)n;
	block->tag = TAG_LIVE;
	return memset(block + 1, 0, block->capacity);
}

static void *heap_alloc(struct explore_heap *heap, size_t n)
{
	size_t need = (n + ALIGNMENT - 1) / ALIGNMENT * ALIGNMENT, offset = 0;
	struct block *block;

	if (!need)
		need = ALIGNMENT;
	while (offset < heap->used) {
		block = block_at(heap, offset);
		if (block->tag == TAG_FREE && block->capacity >= need && block->capacity <= 2 * need)
			return block_take(block, n);
		offset += sizeof *block + block->capacity;
	}
	if (heap->used + sizeof *block + need > EXPLORE_HEAP_BYTES) {
		fprintf(stderr, "explore: a replica needs more than %d bytes of memory\n",
			EXPLORE_HEAP_BYTES);
		abort();
	}
	block = block_at(heap, heap->used);
	block->capacity = (uint32_t)need;
	heap->used += sizeof *block + need;
	return block_take(block, n);
}

static struct block *block_of(void *pointer)
{
	struct block *block = (struct block *)pointer - 1;

	if (block->tag != TAG_LIVE) {
		fprintf(stderr, "explore: a block is freed twice or was never allocated\n");
		abort();
	}
	return block;
}

void *__wrap_malloc(size_t n)
{
	return selected ? heap_alloc(selected, n) : __real_malloc(n);
}

void *__wrap_calloc(size_t n, size_t size)
{
	return selected ? heap_alloc(selected, n * size) : __real_calloc(n, size);
}

void __wrap_free(void *pointer)
{
	if (!contains(selected, pointer)) {
		__real_free(pointer);
		return;
	}
	block_of(pointer)->tag = TAG_FREE;
}

void *__wrap_realloc(void *pointer, size_t n)
{
	struct block *block;
	void *fresh;

	if (!selected || (pointer && !contains(selected, pointer)))
		return __real_realloc(pointer, n);
	if (!pointer)
		return heap_alloc(selected, n);
	block = block_of(pointer);
	if (n <= block->capacity) {
		block->requested = (uint32_t)n;
		return pointer;
	}
	fresh = heap_alloc(selected, n);
	memcpy(fresh, pointer, block->requested);
	block->tag = TAG_FREE;
	return fresh;
}

/* ---- hashing ---------------------------------------------------------- */

struct hashing {
	const struct explore_heap *heap;
	int64_t now;
	size_t word_count;
	uint64_t words[MAX_HASH_WORDS];
};

static struct hashing hashing;

static void emit(uint64_t word)
{
	if (hashing.word_count == MAX_HASH_WORDS) {
		fprintf(stderr, "explore: a replica is too large to be hashed\n");
		abort();
	}
	hashing.words[hashing.word_count++] = word;
}

static void scan(const uint64_t *words, size_t n, int depth);

static int is_live(const struct explore_heap *heap, const unsigned char *pointer)
{
	const struct block *block = (const struct block *)(const void *)pointer - 1;

	return pointer >= heap->bytes + sizeof *block && block->tag == TAG_LIVE;
}

/* A pointer to a block, or to the first element of an stb_ds array in one. */
static void scan_pointer(const unsigned char *pointer, int depth)
{
	const unsigned char *start = pointer - sizeof(stbds_array_header);

	if (depth > MAX_POINTER_DEPTH)
		return;
	if (is_live(hashing.heap, pointer)) {
		size_t bytes = ((const struct block *)(const void *)pointer - 1)->requested;

		emit(bytes);
		scan((const uint64_t *)(const void *)pointer, (bytes + 7) / 8, depth);
	} else if (start > hashing.heap->bytes && is_live(hashing.heap, start)) {
		const stbds_array_header *array = (const stbds_array_header *)(const void *)start;
		size_t bytes = ((const struct block *)(const void *)start - 1)->requested - sizeof *array;

		emit(array->length);
		if (array->capacity)
			scan((const uint64_t *)(const void *)pointer,
			     (bytes / array->capacity * array->length + 7) / 8, depth);
	}
}

static uint64_t relative(uint64_t word)
{
	int64_t past = (int64_t)word - hashing.now;

	return TIME_MARK + (uint64_t)(past < -OLDEST_MS ? -OLDEST_MS : past);
}

static void scan(const uint64_t *words, size_t n, int depth)
{
	uint64_t low = (uint64_t)(uintptr_t)hashing.heap->bytes,
		 oldest = (uint64_t)hashing.now - TIME_WINDOW_MS;

	for (size_t i = 0; i < n; i++) {
		if (words[i] - low < hashing.heap->used && words[i] % 8 == 0)
			scan_pointer((const unsigned char *)(uintptr_t)words[i], depth + 1);
		else if (words[i] - oldest < 2 * TIME_WINDOW_MS)
			emit(relative(words[i]));
		else
			emit(words[i]);
	}
}

uint64_t explore_heap_hash(const struct explore_heap *heap, const void *root, int64_t now)
{
	hashing.heap = heap;
	hashing.now = now;
	hashing.word_count = 0;
	scan_pointer(root, 0);
	return XXH3_64bits(hashing.words, hashing.word_count * sizeof *hashing.words);
}
