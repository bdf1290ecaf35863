/* proposal_status: the outcome of a proposal to a shard's log.
 *
 * The leader replies to each proposal with a status, and the state machine returns one for each log entry
 * that it applies. Always: the numbers never change, because they are sent in messages and stored with
 * applied operations. */
#ifndef NL_PROPOSAL_STATUS_H
#define NL_PROPOSAL_STATUS_H

/* Outcome of a proposal. */
enum proposal_status {
	PROPOSAL_APPLIED = 0,    /* it was applied, now or when an earlier copy was logged */
	PROPOSAL_NOT_LEADER = 1, /* certainly not logged: it can be sent to the leader that the reply names */
	PROPOSAL_REJECTED = 2,   /* it can't be applied to the current state */
	PROPOSAL_SUPERSEDED = 3, /* it is based on a revision or version that is no longer current */
	PROPOSAL_OUTCOME_UNKNOWN =
	    4, /* the leadership ended before the commit: it may still be committed and applied */
	PROPOSAL_KEY_REUSED = 5, /* its idempotency key was used before for another request */
	PROPOSAL_KEY_EXPIRED = 6 /* superseded, or accepted so long ago that its record has been evicted */
};

/* Return the reason why an entry was not applied, as it is sent to the proposer; "" if the status needs none.
 * The text is static. It is part of the operators' interface and must not change. Example: reply->why = (char
 * *)proposal_status_strerror(status); */
const char *proposal_status_strerror(enum proposal_status status);

#endif
