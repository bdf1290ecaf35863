/* router_decision: why each send went where it went. One record for each decision says what was chosen and
 * expected; when the first chunk has come, or the send has ended without one, it is closed and summed by
 * route. Costs a few additions a request. */
#ifndef NL_ROUTER_DECISION_H
#define NL_ROUTER_DECISION_H

#include <stdbool.h>
#include <stdint.h>

/* Why a server was chosen. */
enum decision_reason {
	DECISION_CACHED, /* the server caches the complete shared prefix */
	DECISION_FETCH,  /* another server, or the store, is to give what this one lacks of it */
	DECISION_HOME,   /* the prefix's home, where it is prefilled */
	DECISION_LOAD,   /* it is prefilled at a server that has less to do than the home */
	DECISION_ONLY,   /* no other server was open */
	DECISION_REASONS
};

enum { DECISION_BUCKETS = 12 };

/* Upper bounds of the buckets of a histogram, in ms. */
extern const int decision_bucket_ms[DECISION_BUCKETS];

/* Values by bucket; the last one is of those above the largest bound. */
struct decision_histogram {
	uint32_t counts[DECISION_BUCKETS + 1];
	uint64_t sum_ms;
};

/* One decision. Tokens are of the prompt. */
struct decision {
	enum decision_reason reason;
	uint32_t candidates;            /* servers that were open to it */
	uint32_t cached_tokens;         /* expected to be cached at the server */
	uint32_t fetched_tokens;        /* to be fetched */
	uint32_t prefill_tokens;        /* to be prefilled */
	uint32_t shared_prefill_tokens; /* of those, of the shared prefix */
	int expected_ms;                /* from the send to the first chunk */
	bool uses_older_weights;        /* than the target's */
	bool awaiting_first_chunk;
};

/* Sums of one route. */
struct decision_counts {
	uint64_t decisions[DECISION_REASONS];
	uint64_t older_weights;
	uint64_t lookups_answered;
	uint64_t lookups_missed;
	uint64_t no_first_chunk; /* sends that ended without one */
	uint64_t cached_tokens;
	uint64_t fetched_tokens;
	uint64_t prefill_tokens;
	uint64_t shared_prefill_tokens;
	struct decision_histogram queue_ms;       /* in the router */
	struct decision_histogram expected_ms;    /* to the first chunk */
	struct decision_histogram first_chunk_ms; /* that it took */
	struct decision_histogram unexpected_ms;  /* of that, beyond what was expected */
};

/* Adds a value to a histogram; a negative one counts as 0. */
void decision_observe(struct decision_histogram *histogram, int64_t ms);

/* A send leaves, after so many ms in the router. */
void decision_count(struct decision_counts *counts, const struct decision *decision, int64_t queue_ms);

/* The first chunk has come, so many ms after the send; nothing where it had come before. */
void decision_began(struct decision_counts *counts, struct decision *decision, int64_t first_chunk_ms);

/* The send has ended; counted where no first chunk had come. */
void decision_ended(struct decision_counts *counts, struct decision *decision);

#endif
