/* router_decision: why each send went where it went. One record a decision says what was chosen and expected;
 * when the first piece has come, or the send has ended without one, it is closed and summed by route. Costs a
 * few additions a request. */
#ifndef NL_ROUTER_DECISION_H
#define NL_ROUTER_DECISION_H

#include <apr_pools.h>
#include <stdint.h>

enum decision_reason {
	DECISION_CACHED, /* the server keeps the whole shared prefix */
	DECISION_FETCH,  /* another server, or the store, is to give what this one lacks of it */
	DECISION_HOME,   /* the prefix's home, where it is read */
	DECISION_LOAD,   /* it is read at a server that has less to do than the home */
	DECISION_ONLY,   /* no other server was open */
	DECISION_REASONS
};

enum { DECISION_BUCKETS = 12 };
extern const int decision_bucket_ms[DECISION_BUCKETS];

/* Values by bucket; the last one is of those above the largest bound. */
struct decision_histogram {
	uint32_t counts[DECISION_BUCKETS + 1];
	uint64_t sum_ms;
};

struct decision {
	enum decision_reason reason;
	uint32_t candidates; /* servers that were open to it */
	uint32_t cached_tokens, fetched_tokens, prefill_tokens,
	    shared_prefill_tokens; /* tokens of the prompt: expected there, to be fetched, to be read; read:
				      of the shared prefix */
	int uses_older_weights;    /* it went to older weights than those named newest */
	int expected_ms;           /* expected before its first piece */
	int awaiting_first_piece;  /* no first piece yet */
};

/* Sums of one route. */
struct decision_counts {
	uint64_t decisions[DECISION_REASONS], older_weights, lookups_answered, lookups_missed;
	uint64_t cached_tokens, fetched_tokens, prefill_tokens, shared_prefill_tokens; /* tokens */
	uint64_t no_first_chunk; /* sends that ended without a first piece */
	struct decision_histogram queue_ms, expected_ms, first_chunk_ms,
	    unexpected_ms; /* ms: in the router; expected; until the first piece; of that, beyond what was
			      expected */
};

/* Add a value to a histogram. Example: decision_observe(&d->queue, 12); */
void decision_observe(struct decision_histogram *decision_histogram, int64_t ms);

/* A send leaves. Example: decision_count(counts, &x->decision, now - x->since_at); */
void decision_count(struct decision_counts *counts, const struct decision *decision, int64_t queue_ms);

/* Its first piece has come. Example: decision_began(counts, &x->decision, now - x->sent_at); */
void decision_began(struct decision_counts *counts, struct decision *decision, int64_t first_ms);

/* It has ended; counted as failed where no first piece had come. Example: decision_ended(counts,
 * &x->decision); */
void decision_ended(struct decision_counts *counts, struct decision *decision);

#endif
