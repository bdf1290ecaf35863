#include "completed_proposals.h"

#include <string.h>

#include "containers.h"

static ptrdiff_t find_run(const struct completed_proposals *completed, uint64_t proposer_id, uint64_t run)
{
	for (ptrdiff_t i = arrlen(completed->runs) - 1; run && i >= 0; i--)
		if (completed->runs[i].proposer_id == proposer_id && completed->runs[i].run == run)
			return i;
	return -1;
}

bool completed_proposals_find(const struct completed_proposals *completed,
			      const struct Nl__Operation *operation, enum proposal_status *status)
{
	ptrdiff_t run = find_run(completed, operation->requester_id, operation->requester_run);

	if (!operation->requester_id)
		return false;
	for (ptrdiff_t i = arrlen(completed->proposals) - 1; i >= 0; i--) {
		const struct completed_proposal *done = &completed->proposals[i];

		if (done->proposer_id == operation->requester_id && done->token == operation->token) {
			*status = done->status;
			return true;
		}
	}
	if (run < 0 || operation->token >= completed->runs[run].oldest_open_token)
		return false;
	*status = PROPOSAL_OUTCOME_UNKNOWN;
	return true;
}

/* Drop the outcome of a run's proposals below this token. */
static void drop_below(struct completed_proposals *completed, uint64_t proposer_id, uint64_t run,
		       uint64_t token)
{
	ptrdiff_t kept = 0;

	for (ptrdiff_t i = 0; i < arrlen(completed->proposals); i++) {
		const struct completed_proposal *done = &completed->proposals[i];

		if (done->proposer_id != proposer_id || done->run != run || done->token >= token)
			completed->proposals[kept++] = *done;
	}
	if (kept < arrlen(completed->proposals))
		arrsetlen(completed->proposals, (size_t)kept);
}

/* Forget the run that has proposed nothing for longest: the process has ended, or stands still. */
static void forget_oldest_run(struct completed_proposals *completed)
{
	struct proposer_run oldest = completed->runs[0];

	drop_below(completed, oldest.proposer_id, oldest.run, UINT64_MAX);
	arrdel(completed->runs, 0);
}

void completed_proposals_note_open(struct completed_proposals *completed,
				   const struct Nl__Operation *operation)
{
	struct proposer_run run = { operation->requester_id, operation->requester_run,
				    operation->oldest_open_token };
	ptrdiff_t known = find_run(completed, run.proposer_id, run.run);

	if (!run.proposer_id || !run.run)
		return;
	if (known >= 0) {
		if (completed->runs[known].oldest_open_token > run.oldest_open_token)
			run.oldest_open_token = completed->runs[known].oldest_open_token;
		arrdel(completed->runs, (size_t)known);
	}
	arrput(completed->runs, run);
	drop_below(completed, run.proposer_id, run.run, run.oldest_open_token);
	if (arrlen(completed->runs) > COMPLETED_MAX_RUNS)
		forget_oldest_run(completed);
}

static void drop_oldest_without_run(struct completed_proposals *completed)
{
	for (ptrdiff_t i = 0; i < arrlen(completed->proposals); i++)
		if (!completed->proposals[i].run) {
			arrdel(completed->proposals, (size_t)i);
			completed->without_run--;
			return;
		}
}

static void add(struct completed_proposals *completed, struct completed_proposal done)
{
	arrput(completed->proposals, done);
	if (done.run)
		return;
	completed->without_run++;
	if (completed->without_run > COMPLETED_MAX_WITHOUT_RUN)
		drop_oldest_without_run(completed);
}

void completed_proposals_add(struct completed_proposals *completed, const struct Nl__Operation *operation,
			     enum proposal_status status)
{
	struct completed_proposal done = { operation->requester_id, operation->requester_run,
					   operation->token, status };

	if (done.proposer_id)
		add(completed, done);
}

void completed_proposals_pack(const struct completed_proposals *completed, struct Nl__ControlState *state,
			      apr_pool_t *pool)
{
	size_t proposal_count = (size_t)arrlen(completed->proposals);
	size_t run_count = (size_t)arrlen(completed->runs);
	struct Nl__CompletedOperation *operations =
	    apr_palloc(pool, (proposal_count + 1) * sizeof *operations);
	struct Nl__ProposerRun *runs = apr_palloc(pool, (run_count + 1) * sizeof *runs);

	state->n_completed = proposal_count;
	state->completed = apr_palloc(pool, (proposal_count + 1) * sizeof *state->completed);
	for (size_t i = 0; i < proposal_count; i++) {
		nl__completed_operation__init(&operations[i]);
		operations[i].from = completed->proposals[i].proposer_id;
		operations[i].run = completed->proposals[i].run;
		operations[i].token = completed->proposals[i].token;
		operations[i].status = completed->proposals[i].status;
		state->completed[i] = &operations[i];
	}
	state->n_proposer_runs = run_count;
	state->proposer_runs = apr_palloc(pool, (run_count + 1) * sizeof *state->proposer_runs);
	for (size_t i = 0; i < run_count; i++) {
		nl__proposer_run__init(&runs[i]);
		runs[i].proposer = completed->runs[i].proposer_id;
		runs[i].run = completed->runs[i].run;
		runs[i].oldest_open_token = completed->runs[i].oldest_open_token;
		state->proposer_runs[i] = &runs[i];
	}
}

void completed_proposals_load(struct completed_proposals *completed, const struct Nl__ControlState *state)
{
	completed_proposals_reset(completed);
	if (!state)
		return;
	for (size_t i = 0; i < state->n_completed; i++) {
		const struct Nl__CompletedOperation *operation = state->completed[i];
		struct completed_proposal done = { operation->from, operation->run, operation->token,
						   (enum proposal_status)operation->status };

		add(completed, done);
	}
	for (size_t i = 0; i < state->n_proposer_runs; i++) {
		const struct Nl__ProposerRun *saved = state->proposer_runs[i];
		struct proposer_run run = { saved->proposer, saved->run, saved->oldest_open_token };

		arrput(completed->runs, run);
	}
}

void completed_proposals_reset(struct completed_proposals *completed)
{
	arrfree(completed->proposals);
	arrfree(completed->runs);
	memset(completed, 0, sizeof *completed);
}
