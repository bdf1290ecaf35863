#include "router_decision.h"

const int decision_bucket_ms[DECISION_BUCKETS] = { 5, 10, 25, 50, 100, 200, 400, 700, 1000, 2000, 4000, 8000 };

void decision_observe(struct decision_histogram *h, int64_t ms)
{
	int i = 0;

	if (ms < 0)
		ms = 0;
	while (i < DECISION_BUCKETS && ms > decision_bucket_ms[i])
		i++;
	h->n[i]++;
	h->sum += (uint64_t)ms;
}

void decision_count(struct decision_counts *n, const struct decision *d, int64_t queue_ms)
{
	n->decisions[d->reason]++;
	n->older += d->older != 0;
	n->kept += d->kept;
	n->moved += d->moved;
	n->read += d->read;
	n->shared_read += d->shared;
	decision_observe(&n->queue, queue_ms);
	decision_observe(&n->wait, d->wait_ms);
}

void decision_began(struct decision_counts *n, struct decision *d, int64_t first_ms)
{
	if (!d->open)
		return;
	d->open = 0;
	decision_observe(&n->first, first_ms);
	decision_observe(&n->over, first_ms - d->wait_ms);
}

void decision_ended(struct decision_counts *n, struct decision *d)
{
	n->failed += d->open != 0;
	d->open = 0;
}
