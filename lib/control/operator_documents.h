/* The operators' documents: a whole configuration, or a patch, on top of the version that the operator has
 * read. The step passes calls that came through a platform's adapter. Always: only the configuration's leader
 * takes or reads one, a document is acknowledged once it is committed, and the same call again is answered as
 * before. */
#ifndef NL_OPERATOR_DOCUMENTS_H
#define NL_OPERATOR_DOCUMENTS_H

#include "controller_event.h"
#include "controller_state.h"

/* A document, whole or a patch on the version base. */
void put_document(struct controller *controller, const struct controller_event *event, int64_t now,
		  struct command_list *out);

/* The newest document is wanted back. */
void read_document(struct controller *controller, const struct controller_event *event, int64_t now,
		   struct command_list *out);

/* Weights are named for a model. */
void name_weights(struct controller *controller, const struct controller_event *event, int64_t now,
		  struct command_list *out);

/* Calls whose outcome has been open for too long are told so. */
void expire_calls(struct controller *controller, int64_t now, struct command_list *out);

#endif
