/* The operators' documents: a whole configuration, or a patch, on top of the version that the operator has read.
 * The step passes calls that came through a platform's adapter. Always: only the configuration's leader takes or reads
 * one, a document is acknowledged once it is committed, and the same call again is answered as before. */
#ifndef NL_OPERATOR_DOCUMENTS_H
#define NL_OPERATOR_DOCUMENTS_H

#include "reg.h"

/* A document, whole or a patch on the version base. */
void on_doc(struct reg *r, uint64_t token, uint64_t base, int patch, const char *body, size_t len, int64_t now, struct out *o);

/* The newest document is wanted back. */
void on_read(struct reg *r, uint64_t token, int64_t now, struct out *o);

/* Weights are named for a model. */
void on_name(struct reg *r, uint64_t token, const char *model, const char *weights, int64_t now, struct out *o);

#endif
