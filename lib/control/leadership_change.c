#include "leadership_change.h"

#include "ds.h"
#include "group_clock.h"
#include "leadership.h"
#include "proposals.h"
#include "purge_publisher.h"
#include "quota_shares.h"
#include "controller_private.h"

/* Taking office comes after all that is committed has been applied, leaving it before. */
void on_leadership_gained(struct controller *r, uint32_t i, int64_t now, struct out *o)
{
	struct raft *p = &r->part[i];

	if (raft_has_lease(p, now) && r->leader_term[i] != p->term) {
		r->leader_term[i] = p->term;
		r->leader_since[i] = r->clock_at[i] = now;
		log_line(r, "part", o->p, "Part %u is owned here from term %" APR_UINT64_T_FMT ".", i, p->term);
		if (i == SHARD_CONTROL) {
			group_clock_lead(r, now);
			arrsetlen(r->seen, 0);
			quota_shares_clear(r);
			rollout_start(r, now);
			r->ret.logged = 0;
		}
		if (i == SHARD_PURGE)
			publisher_start(r, now, o);
	}
}

void on_leadership_lost(struct controller *r, uint32_t i, int64_t now, struct out *o)
{
	struct raft *p = &r->part[i];

	if (i == SHARD_PURGE && r->relay.publisher && !raft_has_lease(p, now)) {
		/* between leases nothing is declared; as owner of the same term it goes on after the next */
		if (p->role != RAFT_LEADER) {
			r->relay.publisher = 0;
			arrsetlen(r->relay.up, 0);
			log_line(r, "purge", o->p, "The publisher's licence is lost here.");
		}
	}
	for (ptrdiff_t k = arrlen(r->call) - 1; k >= 0 && i == SHARD_CONTROL && p->role != RAFT_LEADER; k--) {
		out_answer(o, r->call[k].token, 504, CONTROLLER_RETRY_MS,
			   error_json(o->p, "leadership lost: outcome unknown, send it again", 0));
		arrdel(r->call, k);
	}
	if (p->role != RAFT_LEADER)
		for (ptrdiff_t k = arrlen(r->wait) - 1; k >= 0; k--)
			if (r->wait[k].part == i) {
				reply_to_proposal(r->wait[k].addr, r->wait[k].token, TABLE_BUSY, 0,
						  "ownership lost: outcome unknown", 0, o);
				arrdel(r->wait, k);
			}
}
