/* The operators' documents: a whole configuration, or a patch, on top of the version that the operator has read.
 * The step passes calls that came through a platform's adapter. Always: only the configuration's leader takes or reads
 * one, a document is acknowledged once it is committed, and the same call again is answered as before. */
#ifndef NL_OPERATOR_DOCUMENTS_H
#define NL_OPERATOR_DOCUMENTS_H

#include "controller.h"

/* A document, whole or a patch on the version base. */
void put_document(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o);

/* The newest document is wanted back. */
void read_document(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o);

/* Weights are named for a model. */
void name_weights(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o);

/* Calls whose outcome has been open for too long are told so. */
void calls_tick(struct controller *r, int64_t now, struct out *o);

#endif
