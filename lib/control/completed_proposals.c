#include "completed_proposals.h"

#include <string.h>

#include "containers.h"

static ptrdiff_t find_proposer_incarnation(const struct completed_proposals *completed, uint64_t proposer_id,
					   uint64_t incarnation)
{
	for (ptrdiff_t i = arrlen(completed->incarnations) - 1; incarnation && i >= 0; i--)
		if (completed->incarnations[i].proposer_id == proposer_id &&
		    completed->incarnations[i].incarnation == incarnation)
			return i;
	return -1;
}

bool completed_proposals_find(const struct completed_proposals *completed,
			      const struct Nl__Operation *operation, enum proposal_status *status)
{
	ptrdiff_t found =
	    find_proposer_incarnation(completed, operation->requester_id, operation->requester_run);

	if (!operation->requester_id)
		return false;
	for (ptrdiff_t i = arrlen(completed->proposals) - 1; i >= 0; i--) {
		const struct completed_proposal *completed_proposal = &completed->proposals[i];

		if (completed_proposal->proposer_id == operation->requester_id &&
		    completed_proposal->token == operation->token) {
			*status = completed_proposal->status;
			return true;
		}
	}
	if (found < 0 || operation->token >= completed->incarnations[found].oldest_open_token)
		return false;
	*status = PROPOSAL_OUTCOME_UNKNOWN;
	return true;
}

/* Remove the outcomes of all proposals of an incarnation with tokens below this one. */
static void drop_outcomes_below(struct completed_proposals *completed, uint64_t proposer_id,
				uint64_t incarnation, uint64_t token)
{
	ptrdiff_t kept_count = 0;

	for (ptrdiff_t i = 0; i < arrlen(completed->proposals); i++) {
		const struct completed_proposal *completed_proposal = &completed->proposals[i];

		if (completed_proposal->proposer_id != proposer_id ||
		    completed_proposal->incarnation != incarnation || completed_proposal->token >= token)
			completed->proposals[kept_count++] = *completed_proposal;
	}
	if (kept_count < arrlen(completed->proposals))
		arrsetlen(completed->proposals, (size_t)kept_count);
}

/* Remove the incarnation that has proposed nothing for the longest time: its process has ended or is
 * suspended. */
static void evict_oldest_incarnation(struct completed_proposals *completed)
{
	struct proposer_incarnation oldest = completed->incarnations[0];

	drop_outcomes_below(completed, oldest.proposer_id, oldest.incarnation, UINT64_MAX);
	arrdel(completed->incarnations, 0);
}

void completed_proposals_note_open(struct completed_proposals *completed,
				   const struct Nl__Operation *operation)
{
	struct proposer_incarnation proposer = { operation->requester_id, operation->requester_run,
						 operation->oldest_open_token };
	ptrdiff_t found = find_proposer_incarnation(completed, proposer.proposer_id, proposer.incarnation);

	if (!proposer.proposer_id || !proposer.incarnation)
		return;
	if (found >= 0) {
		if (completed->incarnations[found].oldest_open_token > proposer.oldest_open_token)
			proposer.oldest_open_token = completed->incarnations[found].oldest_open_token;
		arrdel(completed->incarnations, (size_t)found);
	}
	arrput(completed->incarnations, proposer);
	drop_outcomes_below(completed, proposer.proposer_id, proposer.incarnation,
			    proposer.oldest_open_token);
	if (arrlen(completed->incarnations) > COMPLETED_MAX_INCARNATIONS)
		evict_oldest_incarnation(completed);
}

static void evict_oldest_without_incarnation(struct completed_proposals *completed)
{
	for (ptrdiff_t i = 0; i < arrlen(completed->proposals); i++)
		if (!completed->proposals[i].incarnation) {
			arrdel(completed->proposals, (size_t)i);
			completed->without_incarnation_count--;
			return;
		}
}

static void append_completed_proposal(struct completed_proposals *completed, struct completed_proposal added)
{
	arrput(completed->proposals, added);
	if (added.incarnation)
		return;
	completed->without_incarnation_count++;
	if (completed->without_incarnation_count > COMPLETED_MAX_WITHOUT_INCARNATION)
		evict_oldest_without_incarnation(completed);
}

void completed_proposals_add(struct completed_proposals *completed, const struct Nl__Operation *operation,
			     enum proposal_status status)
{
	struct completed_proposal added = { operation->requester_id, operation->requester_run,
					    operation->token, status };

	if (added.proposer_id)
		append_completed_proposal(completed, added);
}

void completed_proposals_pack(const struct completed_proposals *completed, struct Nl__ControlState *state,
			      apr_pool_t *pool)
{
	size_t proposal_count = (size_t)arrlen(completed->proposals);
	size_t incarnation_count = (size_t)arrlen(completed->incarnations);
	struct Nl__CompletedOperation *operations =
	    apr_palloc(pool, (proposal_count + 1) * sizeof *operations);
	struct Nl__ProposerRun *incarnations =
	    apr_palloc(pool, (incarnation_count + 1) * sizeof *incarnations);

	state->n_completed = proposal_count;
	state->completed = apr_palloc(pool, (proposal_count + 1) * sizeof *state->completed);
	for (size_t i = 0; i < proposal_count; i++) {
		nl__completed_operation__init(&operations[i]);
		operations[i].from = completed->proposals[i].proposer_id;
		operations[i].run = completed->proposals[i].incarnation;
		operations[i].token = completed->proposals[i].token;
		operations[i].status = completed->proposals[i].status;
		state->completed[i] = &operations[i];
	}
	state->n_proposer_runs = incarnation_count;
	state->proposer_runs = apr_palloc(pool, (incarnation_count + 1) * sizeof *state->proposer_runs);
	for (size_t i = 0; i < incarnation_count; i++) {
		nl__proposer_run__init(&incarnations[i]);
		incarnations[i].proposer = completed->incarnations[i].proposer_id;
		incarnations[i].run = completed->incarnations[i].incarnation;
		incarnations[i].oldest_open_token = completed->incarnations[i].oldest_open_token;
		state->proposer_runs[i] = &incarnations[i];
	}
}

void completed_proposals_load(struct completed_proposals *completed, const struct Nl__ControlState *state)
{
	completed_proposals_reset(completed);
	if (!state)
		return;
	for (size_t i = 0; i < state->n_completed; i++) {
		const struct Nl__CompletedOperation *operation = state->completed[i];
		struct completed_proposal loaded = { operation->from, operation->run, operation->token,
						     (enum proposal_status)operation->status };

		append_completed_proposal(completed, loaded);
	}
	for (size_t i = 0; i < state->n_proposer_runs; i++) {
		const struct Nl__ProposerRun *saved = state->proposer_runs[i];
		struct proposer_incarnation loaded = { saved->proposer, saved->run,
						       saved->oldest_open_token };

		arrput(completed->incarnations, loaded);
	}
}

void completed_proposals_reset(struct completed_proposals *completed)
{
	arrfree(completed->proposals);
	arrfree(completed->incarnations);
	memset(completed, 0, sizeof *completed);
}
