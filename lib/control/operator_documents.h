/* operator_documents: the operators' documents, which come through a platform's adapter: a complete
 * configuration, or a patch on the version that the operator has read. operator_paths.c dispatches the calls
 * and lets in only those at the control shard's leader.
 *
 * Always: a document is acknowledged once it is committed; the same call again is answered as before, also by
 * a later leader (idempotency.h). */
#ifndef NL_OPERATOR_DOCUMENTS_H
#define NL_OPERATOR_DOCUMENTS_H

#include "controller_event.h"
#include "controller_state.h"

/* Log a document, or a patch on its base version. Answers 400 for an invalid one, 412 when another version is
 * current, 504 when that cannot be told from a repeated request that was forgotten. */
void put_document(struct controller *controller, const struct controller_event *event, int64_t now,
		  struct command_list *out);

/* Answer with the newest document, byte for byte as it was sent; 404 when there is none. */
void read_document(struct controller *controller, const struct controller_event *event, int64_t now,
		   struct command_list *out);

/* Log the target weights of a model. Versions only rise: one that is not above the current is acknowledged
 * without effect. */
void set_target_weights(struct controller *controller, const struct controller_event *event, int64_t now,
			struct command_list *out);

/* The entry at index of the control shard is applied: answer the calls that were logged with it. */
void answer_logged_calls(struct controller *controller, uint64_t index, enum proposal_status status,
			 struct command_list *out);

/* This node does not lead the control shard any more: answer all logged calls with 504. */
void abandon_logged_calls(struct controller *controller, struct command_list *out);

/* Answer logged calls that have timed out with 504: their outcome is unknown. */
void expire_calls(struct controller *controller, int64_t now, struct command_list *out);

#endif
