/* completed_proposals: the replicated record of applied proposals and their outcomes.
 *
 * A proposer sends a proposal again until it receives a reply, so a proposal may be logged more than once. It
 * is applied once: the record distinguishes a further copy from a new proposal. As in the client sessions of
 * Raft (Ongaro's dissertation, 6.3), a proposal contains the incarnation of its proposer, that is the run of
 * the process, and the oldest proposal of this incarnation that is still open. Older proposals have been
 * answered or given up: their outcomes are removed from the record, and late copies of them are not applied.
 * The record thus holds only the outcomes of open proposals, and an outcome is not evicted however many other
 * proposals follow.
 *
 * Always: the record changes only when an entry of the control shard's log is applied, and it is stored in
 * snapshots, so that all replicas decide alike. Owned by state_machine.c. */
#ifndef NL_COMPLETED_PROPOSALS_H
#define NL_COMPLETED_PROPOSALS_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "notchlug.pb-c.h"
#include "proposal_status.h"

enum {
	COMPLETED_MAX_INCARNATIONS = 256, /* incarnations that are recorded; the one without a proposal for
				     the longest time is evicted first */
	COMPLETED_MAX_WITHOUT_INCARNATION = 256 /* recorded proposals without an incarnation, as earlier
					   versions send them; the oldest is evicted first */
};

/* A proposal that was applied, and its outcome. */
struct completed_proposal {
	uint64_t proposer_id;
	uint64_t incarnation; /* of the proposer; 0: the proposal has none */
	uint64_t token;
	enum proposal_status status;
};

/* One incarnation of a proposer. */
struct proposer_incarnation {
	uint64_t proposer_id;
	uint64_t incarnation;
	uint64_t oldest_open_token; /* the highest value received from this incarnation */
};

/* The record; belongs to the control shard's state. Zeroed memory is the empty record. */
struct completed_proposals {
	struct completed_proposal *proposals; /* stb_ds, oldest first */
	struct proposer_incarnation
	    *incarnations;                /* stb_ds, ordered by the newest proposal, the oldest first */
	size_t without_incarnation_count; /* number of proposals without an incarnation */
};

/* Whether this proposal was applied before or is a late copy of one that is no longer open; *status is then
 * the status for its proposer. Example: if (completed_proposals_find(&completed, operation, &status)) return
 * status; */
bool completed_proposals_find(const struct completed_proposals *completed,
			      const struct Nl__Operation *operation, enum proposal_status *status);

/* Record the oldest open proposal of the operation's proposer and remove the outcomes of older ones. May be
 * called only while a log entry is applied. */
void completed_proposals_note_open(struct completed_proposals *completed,
				   const struct Nl__Operation *operation);

/* Record the outcome of a proposal; an operation without a proposer is ignored. May be called only while a
 * log entry is applied. */
void completed_proposals_add(struct completed_proposals *completed, const struct Nl__Operation *operation,
			     enum proposal_status status);

/* Pack the record into a snapshot's message; memory is allocated from the pool. */
void completed_proposals_pack(const struct completed_proposals *completed, struct Nl__ControlState *state,
			      apr_pool_t *pool);

/* Replace the record by the one in a snapshot; state NULL: by the empty record. */
void completed_proposals_load(struct completed_proposals *completed, const struct Nl__ControlState *state);

/* Release all memory and leave the empty record. */
void completed_proposals_reset(struct completed_proposals *completed);

#endif
