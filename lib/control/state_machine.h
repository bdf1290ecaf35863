/* The replicated state machines: what each committed entry does to the configuration, the claims and the purge stream.
 * The step applies every committed entry once, in the log's order, on every member.
 * Always: the result depends on the entries alone, so that all members hold the same; an entry logged twice counts once. */
#ifndef NL_STATE_MACHINE_H
#define NL_STATE_MACHINE_H

#include "reg.h"

/* The outcome of a change that was applied before, by who proposed it and its token; NULL: none is remembered. */
const struct reg_done *done_of(const struct reg *r, uint64_t from, uint64_t token);

/* The document that was taken from a call with this digest; NULL: none is remembered. */
const struct Nl__DoneDoc *doc_taken(const struct reg *r, uint64_t digest);

/* Keep a copy of the newest document, byte for byte. */
void doc_keep(struct reg *r, const uint8_t *d, size_t n, uint64_t version);

/* Remember that a call's document was taken, among the newest REG_DONE. */
void doc_note(struct reg *r, uint64_t version, uint64_t digest);

/* Drop claims past their time. They count as absent before, so that no member need do it at the same entry. */
void forget_claims(struct reg_svc *s);

/* Apply one committed entry and return its outcome, one of TABLE_DONE, TABLE_REFUSED and TABLE_OVERTAKEN. */
uint32_t apply(struct reg *r, uint32_t part, uint64_t index, const struct raft_entry *e, int64_t now, struct out *o);

#endif
