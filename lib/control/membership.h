/* Who belongs to the control machines: this node's own row in the table, and the members of the parts that it leads.
 * The step calls it each tick. Always: a member goes out or comes in by agreement alone, through the part's log. */
#ifndef NL_MEMBERSHIP_H
#define NL_MEMBERSHIP_H

#include "reg.h"

/* ms after which a silent registrar is replaced: the rest of the bound is for the joining of another. */
int64_t lost_after(const struct reg *r);

/* A registrar keeps its own row true: first at its joining, again when its address has changed. */
void join_tick(struct reg *r, int64_t now, struct out *o);

/* Owners mend their groups; the configuration's owner forgets registrars that are long gone. */
void mend_tick(struct reg *r, int64_t now, struct out *o);

#endif
