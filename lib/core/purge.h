/* purge: the values of the purge stream, a single fleet-wide stream of numbered values, each of which
 * makes some cached context unusable (section 3.1 of the paper named in docs/design.md). tick_knowledge.h
 * records which ticks of the stream are known, purge_view.h the cached context that the values have
 * withdrawn, and purge_relay.h relays the values between nodes. */
#ifndef NL_PURGE_H
#define NL_PURGE_H

#include "core.h"

/* Reasons to purge cached context; stored and sent in Nl__Purge.reason. */
enum purge_reason {
	PURGE_WEIGHTS = 1, /* a service's weights are no longer served */
	PURGE_TENANT = 2,  /* a tenant was isolated */
	PURGE_SERVER = 3,  /* a server was drained */
	PURGE_CONTEXT = 4  /* retention: context of a route or tenant expired */
};

/* A retention purge is published in slices, by block hash, so that the purged context is not all
 * recomputed at the same time. */
enum { PURGE_SLICES = 8 };
#define PURGE_SLICE(block_hash) ((uint32_t)((block_hash) % PURGE_SLICES))

/* Returns a copy on the heap, which the caller frees with value_free. If memory runs out, the process
 * aborts. */
struct Nl__Value *value_copy(const struct Nl__Value *value);

/* Free a value that value_copy returned; NULL is allowed. */
void value_free(struct Nl__Value *value);

/* Returns the key of a purge's subject, the context that it withdraws. Among values with the same key, the
 * one with the latest tick replaces the others. */
uint64_t purge_subject(const struct Nl__Purge *purge);

/* Returns the key of a subject that is given by its components. name: the service with PURGE_WEIGHTS, the
 * tenant with PURGE_TENANT, the route with PURGE_CONTEXT, the server with PURGE_SERVER. detail: the
 * weights with PURGE_WEIGHTS, the tenant with PURGE_CONTEXT, otherwise "". purge_subject combines the key
 * of a PURGE_CONTEXT purge with its slice.
 * Example: purge_subject_of(PURGE_WEIGHTS, "arrears", "w1") */
uint64_t purge_subject_of(enum purge_reason reason, const char *name, const char *detail);

#endif
