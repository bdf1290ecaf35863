/* stand_history: what the operator of the stand-in sent, was answered and read, held against one versioned
 * register. The judge passes all configurations and readings at the end of a day; invalid ones, which are no
 * writes, are left out. */
#ifndef NL_OPERATOR_HISTORY_H
#define NL_OPERATOR_HISTORY_H

#include <stddef.h>
#include <stdint.h>

/* A configuration that was sent. Neither acknowledged nor refused (-1): its outcome is unknown. */
struct history_write {
	int64_t base_version, version, sent_at_ms, acknowledged_at_ms, refused_at_ms;
	const char *text;
};

/* A configuration that was read, somewhere between the two times. */
struct history_read {
	int64_t requested_at_ms, answered_at_ms;
	const char *text;
};

/* Whether the history is linearizable; why names the first operation that is not explained.
 * Example: if (!history_holds(w, n, r, m, why, sizeof why)) breach(why); */
int history_is_linearizable(const struct history_write *writes, size_t write_count,
			    const struct history_read *reads, size_t read_count, char *why, size_t why_size);

#endif
