/* duty: what the files of a registrar's duties share. */
#ifndef NL_DUTY_H
#define NL_DUTY_H

#include <apr_strings.h>

#include "reg.h"

static inline void say(struct reg *r, const char *prefix, apr_pool_t *p, const char *fmt, ...)
{
	va_list ap;

	if (!r->log)
		return;
	va_start(ap, fmt);
	r->log(r->log_ctx, prefix, apr_pvsprintf(p, fmt, ap));
	va_end(ap);
}

/* Licensed, and all that was committed before has been applied here. */
static inline int in_office(const struct reg *r, uint32_t part, int64_t now)
{
	return raft_has_lease(&r->part[part], now) && r->was_owner[part] == r->part[part].term;
}

/* Who owns a part, as far as this member has heard within its promise; an older word would send others to the dead. */
static inline uint64_t owner_hint(const struct reg *r, uint32_t part, int64_t now)
{
	const struct raft *p = &r->part[part];

	return now < p->vote_barrier_until || raft_has_lease(p, now) ? p->leader_addr : 0;
}

static inline struct reg_svc *svc_of(struct reg *r, uint32_t part)
{
	return part >= SHARD_SERVICE && part < SHARD_COUNT ? &r->svc[part - SHARD_SERVICE] : NULL;
}

/* Log an operation of this part, stamped with the part's own clock; 0 when this is not its owner.
 * Example: w.index = log_op(r, SHARD_CONTROL, &op, now, o); */
uint64_t log_op(struct reg *r, uint32_t part, struct Nl__Op *op, int64_t now, struct out *o);

#endif
