/* router_decision: see router_decision.h. */
#include "router_decision.h"

const int decision_bucket_ms[DECISION_BUCKET_COUNT] = { 5,   10,  25,   50,   100,  200,
							400, 700, 1000, 2000, 4000, 8000 };

void decision_observe(struct decision_histogram *histogram, int64_t ms)
{
	int i = 0;

	if (ms < 0)
		ms = 0;
	while (i < DECISION_BUCKET_COUNT && ms > decision_bucket_ms[i])
		i++;
	histogram->counts[i]++;
	histogram->sum_ms += (uint64_t)ms;
}

void decision_on_send(struct decision_counts *counts, const struct decision *decision, int64_t queue_ms)
{
	counts->decisions[decision->reason]++;
	counts->older_weights_count += decision->uses_older_weights;
	counts->cached_tokens += decision->cached_tokens;
	counts->fetched_tokens += decision->fetched_tokens;
	counts->prefill_tokens += decision->prefill_tokens;
	counts->shared_prefill_tokens += decision->shared_prefill_tokens;
	decision_observe(&counts->queue_ms, queue_ms);
	decision_observe(&counts->expected_first_chunk_ms, decision->expected_first_chunk_ms);
}

void decision_on_first_chunk(struct decision_counts *counts, struct decision *decision,
			     int64_t first_chunk_ms)
{
	if (!decision->awaiting_first_chunk)
		return;
	decision->awaiting_first_chunk = false;
	decision_observe(&counts->first_chunk_ms, first_chunk_ms);
	decision_observe(&counts->first_chunk_delay_ms, first_chunk_ms - decision->expected_first_chunk_ms);
}

void decision_on_attempt_end(struct decision_counts *counts, struct decision *decision)
{
	counts->no_first_chunk_count += decision->awaiting_first_chunk;
	decision->awaiting_first_chunk = false;
}
