/* completed_proposals: the replicated record of proposals that were applied.
 *
 * A proposer sends a proposal again while its answer is lost, so that an entry may be logged twice. Each is
 * applied once: the record tells a copy from a new one. As in the client sessions of Raft (Ongaro's
 * dissertation, 6.3), a proposal names the run of the process that made it and the oldest of that run's
 * proposals that is still open. What is older has its answer, or was given up: its outcome is dropped, and a
 * copy that comes yet is not applied. So the record is as long as the proposals that are open, and no number
 * of others pushes one out.
 *
 * state_machine.c writes it as entries are applied; proposals.c reads it. Always: it changes by entries of
 * the control shard's log alone, and is part of snapshots, so every replica decides alike. */
#ifndef NL_COMPLETED_PROPOSALS_H
#define NL_COMPLETED_PROPOSALS_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "notchlug.pb-c.h"
#include "proposal_status.h"

enum {
	COMPLETED_MAX_RUNS =
	    256, /* runs that are remembered: the one longest without a proposal goes first */
	COMPLETED_MAX_WITHOUT_RUN =
	    256 /* proposals of proposers that name no run, as earlier versions: the last ones */
};

/* A proposal that was applied, and what came of it. */
struct completed_proposal {
	uint64_t proposer_id;
	uint64_t incarnation; /* 0: not named */
	uint64_t token;
	enum proposal_status status;
};

/* A run of a process that proposes. */
struct proposer_incarnation {
	uint64_t proposer_id;
	uint64_t incarnation;
	uint64_t oldest_open_token; /* the highest that it has named */
};

/* Part of the control shard's state; begins zeroed. */
struct completed_proposals {
	struct completed_proposal *proposals;      /* stb_ds, oldest first */
	struct proposer_incarnation *incarnations; /* stb_ds: the one longest without a proposal first */
	size_t without_run;                        /* of proposals */
};

/* Whether this proposal was applied before, or is a late copy of one that is not open any more; *status is
 * then what its proposer is answered. Example: if (completed_proposals_find(&completed, operation, &status))
 * return status; */
bool completed_proposals_find(const struct completed_proposals *completed,
			      const struct Nl__Operation *operation, enum proposal_status *status);

/* Note which proposals of a run are still open, and drop the outcome of the others. Only while an entry is
 * applied. */
void completed_proposals_note_open(struct completed_proposals *completed,
				   const struct Nl__Operation *operation);

/* Record what came of a proposal; one without a proposer is passed over. Only while an entry is applied. */
void completed_proposals_add(struct completed_proposals *completed, const struct Nl__Operation *operation,
			     enum proposal_status status);

/* Fill in the snapshot's fields, from the pool. */
void completed_proposals_pack(const struct completed_proposals *completed, struct Nl__ControlState *state,
			      apr_pool_t *pool);

/* Replace the record by a snapshot's; NULL: by the empty one. */
void completed_proposals_load(struct completed_proposals *completed, const struct Nl__ControlState *state);

/* Release all. */
void completed_proposals_reset(struct completed_proposals *completed);

#endif
