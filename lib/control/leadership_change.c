#include "leadership_change.h"

#include "ds.h"
#include "leadership.h"
#include "proposals.h"
#include "purge_publisher.h"
#include "quota_shares.h"
#include "reg_private.h"

/* Taking office comes after all that is committed has been applied, leaving it before. */
void office_begins(struct reg *r, uint32_t i, int64_t now, struct out *o)
{
	struct raft *p = &r->part[i];

	if (raft_has_lease(p, now) && r->was_owner[i] != p->term) {
		r->was_owner[i] = p->term;
		r->owner_since[i] = r->clock_at[i] = now;
		say(r, "part", o->p, "Part %u is owned here from term %" APR_UINT64_T_FMT ".", i, p->term);
		if (i == SHARD_CONTROL) {
			arrsetlen(r->seen, 0);
			limits_clear(r);
			giver_begins(r, now);
			r->ret.logged = 0;
		}
		if (i == SHARD_PURGE)
			publisher_begins(r, now, o);
	}
}

void office_ends(struct reg *r, uint32_t i, int64_t now, struct out *o)
{
	struct raft *p = &r->part[i];

	if (i == SHARD_PURGE && r->relay.publisher && !raft_has_lease(p, now)) {
		/* between licences nothing is declared; as owner of the same term it goes on after the next */
		if (p->role != RAFT_LEADER) {
			r->relay.publisher = 0;
			arrsetlen(r->relay.up, 0);
			say(r, "purge", o->p, "The publisher's licence is lost here.");
		}
	}
	for (ptrdiff_t k = arrlen(r->call) - 1; k >= 0 && i == SHARD_CONTROL && p->role != RAFT_LEADER; k--) {
		out_answer(o, r->call[k].token, 504, REG_RETRY_MS,
			   error_json(o->p, "leadership lost: outcome unknown, send it again", 0));
		arrdel(r->call, k);
	}
	if (p->role != RAFT_LEADER)
		for (ptrdiff_t k = arrlen(r->wait) - 1; k >= 0; k--)
			if (r->wait[k].part == i) {
				send_answer(r->wait[k].addr, r->wait[k].token, TABLE_BUSY, 0, "ownership lost: outcome unknown", 0,
					    o);
				arrdel(r->wait, k);
			}
}
