/* tick_knowledge: which ticks of the purge stream are known to be silence or a value, and which are unknown
 * between them. Always: every tick at or below the horizon is known; known ranges above it are apart from it
 * and from each other, in order. */
#ifndef NL_TICK_KNOWLEDGE_H
#define NL_TICK_KNOWLEDGE_H

#include <stdbool.h>

#include "purge.h"

/* Both ends belong to it. */
struct tick_range {
	uint64_t first;
	uint64_t last;
};

/* Zeroed: nothing is known. Released by knowledge_clear. */
struct tick_knowledge {
	uint64_t horizon;                /* the doubt horizon: every tick at or below is known */
	uint64_t released;               /* values at or below are no longer held */
	struct tick_range *known_ranges; /* stb_ds: above the horizon */
	struct Nl__Value **values;       /* stb_ds: held values in order of tick */
};

/* Learn that all ticks of [first, last] are known; value, if any, is the one in it, and is copied. 1 when any
 * tick was new. Example: knowledge_add(&known, 5, 9, NULL); */
bool knowledge_add(struct tick_knowledge *knowledge, uint64_t first, uint64_t last,
		   const struct Nl__Value *value);

/* The unknown ranges up to the highest known tick, at most max_count; how many. Example: n =
 * knowledge_gaps(&known, ranges, 8); */
int knowledge_gaps(const struct tick_knowledge *knowledge, struct tick_range *ranges, int max_count);

/* The highest known tick. Example: knowledge_reach(&known) */
uint64_t knowledge_reach(const struct tick_knowledge *knowledge);

/* Append what is known of [first, last] to a message, in the step's memory; 0 when the range begins below
 * what is still held. Example: if (!knowledge_append(&known, 1, 9, message, out)) send_snapshot(); */
bool knowledge_append(const struct tick_knowledge *knowledge, uint64_t first, uint64_t last,
		      struct Nl__Knowledge *message, struct command_list *out);

/* Free the values at or below a tick, as far as the horizon. Example: knowledge_release(&known, 100); */
void knowledge_release(struct tick_knowledge *knowledge, uint64_t upto);

/* Forget everything and free its memory. */
void knowledge_clear(struct tick_knowledge *knowledge);

#endif
