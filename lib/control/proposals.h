/* proposals: operations that are proposed to the replicated logs and do not have an outcome yet.
 *
 * A node sends its own proposals to the leader of the shard until it receives their outcome. A leader checks
 * other nodes' proposals, logs them, and replies when they are committed.
 *
 * Always: all copies of a proposal have the same token, so that it is applied once. A leader reports a
 * proposal as done only after its log entry was committed. */
#ifndef NL_PROPOSALS_H
#define NL_PROPOSALS_H

#include "state_machine.h"

/* Send the reply to a proposal. version: revision or version that the proposal made. reason: why it was not
 * applied. leader_hint_addr: address of the shard's leader if that is another node; 0: not known. */
void reply_to_proposal(uint64_t addr, uint64_t token, enum proposal_status status, uint64_t version,
		       const char *reason, uint64_t leader_hint_addr, struct command_list *out);

/* Reply to the proposer of the log entry at index, which has just been applied; without a waiting proposer,
 * nothing is sent. */
void answer_proposer(struct controller *controller, uint32_t shard, uint64_t index,
		     struct apply_result applied, struct command_list *out);

/* Handle another node's proposal. A valid one is logged and answered after its commit; others are answered
 * immediately. */
void on_proposal(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		 struct command_list *out);

/* Propose an operation to the shard's leader. call_token: operator's call that the proposal is made for; 0:
 * made by this node itself. The operation is copied. */
void propose(struct controller *controller, uint32_t shard, const struct Nl__Operation *operation,
	     uint64_t call_token, int64_t now);

/* Send this node's proposals that are due, and remove those that have expired. */
void proposals_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Handle the reply to one of this node's own proposals. */
void on_proposal_reply(struct controller *controller, const struct Nl__ProposeReply *reply, int64_t now,
		       struct command_list *out);

#endif
