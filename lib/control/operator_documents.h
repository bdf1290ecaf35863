/* operator_documents: handles the operators' configuration documents, which arrive through a platform's
 * adapter: a complete configuration, or a patch on the version that the operator has read. operator_paths
 * dispatches the calls, and only at the control shard's leader.
 *
 * Invariants: a document is acknowledged only once it is committed; a repeated call receives the same answer,
 * also from a later leader (idempotency.h). */
#ifndef NL_OPERATOR_DOCUMENTS_H
#define NL_OPERATOR_DOCUMENTS_H

#include "controller_event.h"
#include "controller_state.h"

/* Log a document, or a patch on its base version. The answer is 400 for an invalid document, 412 if another
 * version is current, and 504 if the call may repeat an accepted request whose record has been evicted. */
void put_document(struct controller *controller, const struct controller_event *event, int64_t now,
		  struct command_list *out);

/* Answer with the newest document, byte for byte as it was received; 404 if there is none. */
void read_document(struct controller *controller, const struct controller_event *event, int64_t now,
		   struct command_list *out);

/* Log the target weights of a model. Versions never decrease: a version that is not higher than the current
 * one is acknowledged without effect. */
void set_target_weights(struct controller *controller, const struct controller_event *event, int64_t now,
			struct command_list *out);

/* Answer the calls whose change is in the control shard's log entry at index, which has been applied with
 * this status. */
void answer_logged_calls(struct controller *controller, uint64_t index, enum proposal_status status,
			 struct command_list *out);

/* Answer all logged calls with 504, because this node no longer leads the control shard. */
void abandon_logged_calls(struct controller *controller, struct command_list *out);

/* Answer logged calls that have timed out with 504: their outcome is unknown. */
void expire_logged_calls(struct controller *controller, int64_t now, struct command_list *out);

#endif
