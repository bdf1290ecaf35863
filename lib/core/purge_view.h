/* purge_view: what the values of the purge stream have withdrawn so far.
 * Always monotone: per subject only the newest tick counts, so values may be applied late, twice or in any
 * order. */
#ifndef NL_PURGE_VIEW_H
#define NL_PURGE_VIEW_H

#include <stdbool.h>

#include "purge.h"

/* One subject. */
struct purge_view_row {
	uint64_t key; /* purge_subject */
	struct Nl__Value *value;
};

/* Zeroed: nothing is withdrawn. Released by purge_view_clear. */
struct purge_view {
	struct purge_view_row *subjects;   /* stb_ds map; owns the values */
	struct Nl__Value **context_purges; /* stb_ds: those of them with PURGE_CONTEXT */
};

/* Apply a value, which is copied; an older tick of the same subject changes nothing. Example:
 * purge_view_apply(&view, value); */
void purge_view_apply(struct purge_view *view, const struct Nl__Value *value);

/* Whether a cached block with this stamp is still usable: the purge tick that its router knew when the
 * request was sent. Example: purge_view_allows(&view, "arrears", "w1", "t3", "s7", stamp) */
bool purge_view_allows(const struct purge_view *view, const char *service, const char *weights,
		       const char *tenant, const char *server, uint64_t stamp);

/* Whether no retention purge has withdrawn a block that this tenant's request made for this service.
 * Example: if (!purge_view_keeps_context(&view, "arrears", "t1", block_hash, stamp)) prefill_again(); */
bool purge_view_keeps_context(const struct purge_view *view, const char *service, const char *tenant,
			      uint64_t block_hash, uint64_t stamp);

/* The newest tick that withdrew a subject; 0: none. detail as in purge_subject_of.
 * Example: purge_view_tick(&view, PURGE_WEIGHTS, "arrears", "w1") */
uint64_t purge_view_tick(const struct purge_view *view, enum purge_reason reason, const char *name,
			 const char *detail);

/* Forget everything and free its memory. */
void purge_view_clear(struct purge_view *view);

#endif
