/* tick_knowledge: the ticks of the purge stream that this node knows. A known tick is either silence or a
 * value. Invariants: every tick up to the horizon is known; the known ranges above it are sorted, and at
 * least one unknown tick separates them from the horizon and from each other. */
#ifndef NL_TICK_KNOWLEDGE_H
#define NL_TICK_KNOWLEDGE_H

#include <stdbool.h>

#include "purge.h"

/* A range of ticks that includes first and last. */
struct tick_range {
	uint64_t first;
	uint64_t last;
};

/* Zeroed memory knows no tick. knowledge_clear frees it. */
struct tick_knowledge {
	uint64_t horizon;                /* the doubt horizon: every tick up to it is known */
	uint64_t released_tick;          /* values with ticks up to this one have been freed */
	struct tick_range *known_ranges; /* stb_ds; known ranges above the horizon */
	struct Nl__Value **values;       /* stb_ds; the stored values, sorted by tick */
};

/* Record that all ticks of [first, last] are known. value is the only value in the range, of which a copy
 * is stored, or NULL if the range is all silence. Returns true if any tick was unknown before.
 * Example: knowledge_add(&knowledge, 5, 9, NULL); */
bool knowledge_add(struct tick_knowledge *knowledge, uint64_t first, uint64_t last,
		   const struct Nl__Value *value);

/* Write the first max_count unknown ranges below the highest known tick to ranges, and return their
 * number.
 * Example: count = knowledge_gaps(&knowledge, ranges, 8); */
int knowledge_gaps(const struct tick_knowledge *knowledge, struct tick_range *ranges, int max_count);

/* Returns the highest known tick. Example: knowledge_highest_tick(&knowledge) */
uint64_t knowledge_highest_tick(const struct tick_knowledge *knowledge);

/* Append the known ticks of [first, last] to a message, in the memory of out. Returns false, and appends
 * nothing, if values at the beginning of the range may have been freed.
 * Example: if (!knowledge_append(&knowledge, 1, 9, message, out)) send_snapshot(); */
bool knowledge_append(const struct tick_knowledge *knowledge, uint64_t first, uint64_t last,
		      struct Nl__Knowledge *message, struct command_list *out);

/* Free the values with ticks up to upto, but none above the horizon.
 * Example: knowledge_release(&knowledge, 100); */
void knowledge_release(struct tick_knowledge *knowledge, uint64_t upto);

/* Remove all ticks and values and free their memory. */
void knowledge_clear(struct tick_knowledge *knowledge);

#endif
