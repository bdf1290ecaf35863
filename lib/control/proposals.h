/* proposals: operations on their way into the replicated logs. This node's own go to the leader until they
 * are answered; a leader checks, logs and answers those of others.
 *
 * The step passes messages and the time; operators' calls and the membership propose here.
 *
 * Always: a proposal keeps its token in every copy, so it is applied once however often it is sent; and a
 * leader says that one is done only after the commit. */
#ifndef NL_PROPOSALS_H
#define NL_PROPOSALS_H

#include "state_machine.h"

/* Answer a proposal: what became of it, the revision or version that it made, why it was not applied, and who
 * leads where this node does not (hint; 0: not known). */
void reply_to_proposal(uint64_t addr, uint64_t token, enum proposal_status status, uint64_t version,
		       const char *reason, uint64_t leader_hint_addr, struct command_list *out);

/* Answer whoever waits for the entry at index, which was just applied. */
void answer_proposer(struct controller *controller, uint32_t shard, uint64_t index,
		     struct apply_result applied, struct command_list *out);

/* Another node's proposal has come: check, log and later answer it, or answer it at once. */
void on_proposal(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		 struct command_list *out);

/* Propose an operation to the shard's leader, on behalf of an operator's call, or with call_token 0 of this
 * node itself. The operation is copied. */
void propose(struct controller *controller, uint32_t shard, const struct Nl__Operation *operation,
	     uint64_t call_token, int64_t now);

/* Send open proposals again, and end those past their time. */
void proposals_tick(struct controller *controller, int64_t now, struct command_list *out);

/* The answer to one of this node's own proposals has come. */
void on_proposal_reply(struct controller *controller, const struct Nl__ProposeReply *reply, int64_t now,
		       struct command_list *out);

#endif
