/* router_decision: records why each request was sent to its server. One record per decision holds the choice
 * and the expected times. It is closed when the first chunk arrives, or when the attempt ends without one,
 * and is then summed by route. The cost is a few additions per request. */
#ifndef NL_ROUTER_DECISION_H
#define NL_ROUTER_DECISION_H

#include <stdbool.h>
#include <stdint.h>

enum decision_reason {
	DECISION_CACHED, /* the server caches the complete shared prefix */
	DECISION_FETCH,  /* the server fetches missing blocks of the shared prefix from another server or from
			    the store */
	DECISION_HOME,   /* the server is the prefix's home and prefills it */
	DECISION_LESS_LOADED, /* the prefix is prefilled at a server with less load than its home */
	DECISION_ONLY_SERVER, /* no other server could take the request */
	DECISION_REASON_COUNT
};

enum { DECISION_BUCKET_COUNT = 12 };

/* Upper bounds of the buckets of a histogram, in ms. */
extern const int decision_bucket_ms[DECISION_BUCKET_COUNT];

/* Number of values in each bucket; the last bucket counts values above the largest bound. */
struct decision_histogram {
	uint32_t counts[DECISION_BUCKET_COUNT + 1];
	uint64_t sum_ms;
};

/* One decision. All token counts refer to the prompt. */
struct decision {
	enum decision_reason reason;
	uint32_t candidate_count;       /* number of servers that could take the request */
	uint32_t cached_tokens;         /* tokens expected to be cached at the server */
	uint32_t fetched_tokens;        /* tokens to be fetched from another server or the store */
	uint32_t prefill_tokens;        /* tokens to be prefilled */
	uint32_t shared_prefill_tokens; /* tokens of the shared prefix among prefill_tokens */
	int expected_first_chunk_ms;    /* expected time from the send to the first chunk */
	bool uses_older_weights;        /* the server has older weights than the target version */
	bool awaiting_first_chunk;
};

/* Sums over the decisions of one route. */
struct decision_counts {
	uint64_t decisions[DECISION_REASON_COUNT];
	uint64_t older_weights_count;
	uint64_t lookups_answered;
	uint64_t lookups_missed;
	uint64_t no_first_chunk_count; /* attempts that ended without a first chunk */
	uint64_t cached_tokens;
	uint64_t fetched_tokens;
	uint64_t prefill_tokens;
	uint64_t shared_prefill_tokens;
	struct decision_histogram queue_ms; /* time between admission and send */
	struct decision_histogram
	    expected_first_chunk_ms;                    /* expected time from the send to the first chunk */
	struct decision_histogram first_chunk_ms;       /* measured time from the send to the first chunk */
	struct decision_histogram first_chunk_delay_ms; /* measured time beyond the expected time */
};

/* Adds a value to a histogram; a negative value counts as 0. */
void decision_observe(struct decision_histogram *histogram, int64_t ms);

/* Counts a decision when its request is sent; queue_ms: time that the request spent in the router. */
void decision_on_send(struct decision_counts *counts, const struct decision *decision, int64_t queue_ms);

/* Records that the first chunk arrived first_chunk_ms after the send; does nothing if it was already
 * recorded. */
void decision_on_first_chunk(struct decision_counts *counts, struct decision *decision,
			     int64_t first_chunk_ms);

/* Records that the attempt ended; counts it if no first chunk had arrived. */
void decision_on_attempt_end(struct decision_counts *counts, struct decision *decision);

#endif
