/* proposal_status: what became of a proposal to a shard's log.
 * The leader answers each proposal with one, and the state machine returns one for each entry that it
 * applies. Always: the numbers travel in messages and are stored with applied operations; they never change.
 */
#ifndef NL_PROPOSAL_STATUS_H
#define NL_PROPOSAL_STATUS_H

/* What became of a proposal. */
enum proposal_status {
	PROPOSAL_DONE = 0,       /* applied, or it was before */
	PROPOSAL_NOT_LEADER = 1, /* surely not logged: ask the leader that the answer names */
	PROPOSAL_REJECTED = 2,   /* it can't be applied as the state is */
	PROPOSAL_SUPERSEDED = 3, /* it builds on a revision or version that is not the current one any more */
	PROPOSAL_OUTCOME_UNKNOWN = 4, /* the leadership ended before the commit: it may be applied yet */
	PROPOSAL_KEY_REUSED = 5,      /* its idempotency key stands for another request */
	PROPOSAL_KEY_EXPIRED = 6 /* superseded, unless it was accepted so long ago that this is forgotten */
};

/* Why an entry that a proposal waited for was not applied, as its proposer is told; "" where there is nothing
 * to say. Static text; the words are the operators' interface. Example: reply->why = (char
 * *)proposal_status_strerror(status); */
const char *proposal_status_strerror(enum proposal_status status);

#endif
