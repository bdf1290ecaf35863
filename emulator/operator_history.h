/* What the operator of the emulated platform sent, was answered and read back, checked against one versioned
 * register. The checker passes all configurations and readings at the end of a run; invalid ones, which are
 * no writes, are left out. */
#ifndef NL_OPERATOR_HISTORY_H
#define NL_OPERATOR_HISTORY_H

#include <stddef.h>
#include <stdint.h>

/* A configuration that was sent. Neither acknowledged nor refused (-1): its outcome is unknown. */
struct history_write {
	int64_t base_version;
	int64_t version;
	int64_t sent_at_ms;
	int64_t acknowledged_at_ms; /* -1: it was not */
	int64_t refused_at_ms;      /* -1: it was not */
	const char *text;
};

/* A configuration that was read, somewhere between the two times. */
struct history_read {
	int64_t requested_at_ms;
	int64_t answered_at_ms;
	const char *text;
};

/* Whether the history is linearizable; else why says which operation is not explained.
 * Example: if (!history_is_linearizable(writes, n, reads, m, why, sizeof why)) report(why); */
int history_is_linearizable(const struct history_write *writes, size_t write_count,
			    const struct history_read *reads, size_t read_count, char *why, size_t why_size);

#endif
