/* purge_view: the cached context that the values of the purge stream have withdrawn so far. Invariant: for
 * each subject the view holds the value with the newest tick that has been applied, so values may be
 * applied late, more than once, and in any order. */
#ifndef NL_PURGE_VIEW_H
#define NL_PURGE_VIEW_H

#include <stdbool.h>

#include "purge.h"

/* One subject and the newest value that withdrew it. */
struct purge_view_row {
	uint64_t key; /* purge_subject */
	struct Nl__Value *value;
};

/* Zeroed memory is a view in which nothing is withdrawn. purge_view_clear frees it. */
struct purge_view {
	struct purge_view_row *subjects;   /* stb_ds map, which owns the values */
	struct Nl__Value **context_purges; /* stb_ds; the values of subjects with reason PURGE_CONTEXT */
};

/* Apply a value, of which a copy is stored. A value that is not newer than the stored one of its subject
 * has no effect.
 * Example: purge_view_apply(&view, value); */
void purge_view_apply(struct purge_view *view, const struct Nl__Value *value);

/* Whether no purge of the weights, the tenant or the server has withdrawn a cached block since its stamp,
 * which is the purge tick that the router knew when it sent the request.
 * Example: purge_view_allows(&view, "arrears", "w1", "t3", "s7", stamp) */
bool purge_view_allows(const struct purge_view *view, const char *service, const char *weights,
		       const char *tenant, const char *server, uint64_t stamp);

/* Whether no retention purge has withdrawn, since its stamp, a block that a request of this tenant cached
 * for this service.
 * Example: if (!purge_view_allows_context(&view, "arrears", "t1", block_hash, stamp)) prefill_again(); */
bool purge_view_allows_context(const struct purge_view *view, const char *service, const char *tenant,
			       uint64_t block_hash, uint64_t stamp);

/* Returns the newest tick that withdrew a subject, or 0 if none did; name and detail as for
 * purge_subject_of.
 * Example: purge_view_tick(&view, PURGE_WEIGHTS, "arrears", "w1") */
uint64_t purge_view_tick(const struct purge_view *view, enum purge_reason reason, const char *name,
			 const char *detail);

/* Remove all subjects and free their memory. */
void purge_view_clear(struct purge_view *view);

#endif
