/* A histogram of durations with buckets that widen: counts in, quantiles out. */
#include "stand.h"

static int bucket(int64_t v)
{
	int shift = 0;

	if (v < 0)
		v = 0;
	while (v >> shift >= 128)
		shift++;
	return (shift ? 64 * shift : 0) + (int)(v >> shift);
}

void hist_add(struct hist *h, int64_t v)
{
	int k = bucket(v), most = (int)(sizeof h->n / sizeof *h->n) - 1;

	h->n[k < most ? k : most]++;
	h->count++;
}

int64_t hist_at(const struct hist *h, double q)
{
	uint64_t want = (uint64_t)(q * (double)h->count + 0.999999), sum = 0;

	if (!h->count)
		return -1;
	if (!want)
		want = 1;
	for (int i = 0; i < (int)(sizeof h->n / sizeof *h->n); i++) {
		sum += h->n[i];
		if (sum >= want)
			return i < 128 ? i : (int64_t)(64 + i % 64) << (i / 64 - 1);
	}
	return -1;
}
