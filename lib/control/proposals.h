/* Proposals to the replicated log: this node's own go to the leader until they are answered; a leader checks,
 * logs and answers those of others. The step passes messages and the time; operators' calls and the
 * membership propose here. Always: a proposal keeps its token however often it is sent, so that it is applied
 * once; an answer follows the commit. */
#ifndef NL_PROPOSALS_H
#define NL_PROPOSALS_H

#include "state_machine.h"

/* Answer a proposal: its outcome (TABLE_*), the version it made, why, and who leads where this node does not.
 */
void reply_to_proposal(uint64_t addr, uint64_t token, uint32_t status, uint64_t version, const char *why,
		       uint64_t hint, struct command_list *out);

/* Answer whoever waits for this entry, which was just applied. */
void answer_proposers(struct controller *controller, uint32_t shard, uint64_t index,
		      struct apply_result applied, struct command_list *out);

/* Another node's proposal arrives. */
void on_proposal(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		 struct command_list *out);

/* Propose an operation to its leader, on behalf of an operator's call or, with web 0, of this node itself. */
void propose(struct controller *controller, uint32_t shard, const struct Nl__Operation *op,
	     uint64_t call_token, int64_t now);

/* Send open proposals again, and give up those past their time. */
void proposals_tick(struct controller *controller, int64_t now, struct command_list *out);

/* The answer to one of this node's proposals arrives. */
void on_proposal_reply(struct controller *controller, const struct Nl__ProposeReply *answer, int64_t now,
		       struct command_list *out);

#endif
