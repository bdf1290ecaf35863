/* Histogram of durations: log-linear, 64 steps for each power of two, so that a value is known to 1 in 64. */
#ifndef NL_HISTOGRAM_H
#define NL_HISTOGRAM_H

#include <stdint.h>

/* Counts by bucket; empty when zeroed. */
struct histogram {
	uint32_t counts[64 * 32];
	uint64_t count;
};

/* Count a value; a negative one counts as 0. */
void histogram_add(struct histogram *histogram, int64_t value);

/* The value at a quantile, -1 if the histogram is empty. Example: histogram_quantile(&histogram, 0.99) */
int64_t histogram_quantile(const struct histogram *histogram, double quantile);

#endif
