/* purge: what makes cached context unusable, as numbered values of one fleet-wide stream (section 3.1 of the
 * paper named in docs/design.md). tick_knowledge.h keeps which ticks are known, purge_view.h what the values
 * mean, purge_relay.h passes them on. */
#ifndef NL_PURGE_H
#define NL_PURGE_H

#include "core.h"

/* Why cached context is purged; stored and sent in Nl__Purge.reason. */
enum purge_reason {
	PURGE_WEIGHTS = 1, /* a service's weights are no longer served */
	PURGE_TENANT = 2,  /* a tenant was isolated */
	PURGE_SERVER = 3,  /* a server was drained */
	PURGE_CONTEXT = 4  /* retention: context of a route or tenant expired */
};

/* Context is purged by slices of its blocks' hashes, so that not all of it has to be recomputed at once. */
enum { PURGE_SLICES = 8 };
#define PURGE_SLICE(block_hash) ((uint32_t)((block_hash) % PURGE_SLICES))

/* A copy on the heap, for the caller to free with value_free. Without memory the process aborts. */
struct Nl__Value *value_copy(const struct Nl__Value *value);

/* Free what value_copy made; NULL is allowed. */
void value_free(struct Nl__Value *value);

/* The key of what a purge withdraws: a later value with the same key replaces an earlier one. */
uint64_t purge_subject(const struct Nl__Purge *purge);

/* The same key from its parts; detail: the weights with PURGE_WEIGHTS, the tenant with PURGE_CONTEXT, else
 * "". Example: purge_subject_of(PURGE_WEIGHTS, "arrears", "w1") */
uint64_t purge_subject_of(enum purge_reason reason, const char *name, const char *detail);

#endif
