/* Histogram of durations: values up to 127 have a bucket each; beyond, each power of two has 64. */
#include "platform_emulator.h"

static int bucket(int64_t value)
{
	int shift = 0;

	if (value < 0)
		value = 0;
	while (value >> shift >= 128)
		shift++;
	return (shift ? 64 * shift : 0) + (int)(value >> shift);
}

void histogram_add(struct histogram *histogram, int64_t value)
{
	int k = bucket(value), most = (int)(sizeof histogram->counts / sizeof *histogram->counts) - 1;

	histogram->counts[k < most ? k : most]++;
	histogram->count++;
}

int64_t histogram_quantile(const struct histogram *histogram, double quantile)
{
	uint64_t target_count = (uint64_t)(quantile * (double)histogram->count + 0.999999), sum = 0;

	if (!histogram->count)
		return -1;
	if (!target_count)
		target_count = 1;
	for (int i = 0; i < (int)(sizeof histogram->counts / sizeof *histogram->counts); i++) {
		sum += histogram->counts[i];
		if (sum >= target_count)
			return i < 128 ? i : (int64_t)(64 + i % 64) << (i / 64 - 1);
	}
	return -1;
}
