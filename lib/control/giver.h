/* giver: orders to servers: named weights are rolled out, kept parts that a purge covers are dropped. */
#ifndef NL_GIVER_H
#define NL_GIVER_H

#include "reg.h"

/* Look at servers, and order what is due. Example: giver_tick(r, now, o); */
void giver_tick(struct reg *r, int64_t now, struct out *o);

/* The followed table has changed; before: when the last good asking was that did not say so.
 * Example: giver_named(r, before); */
void giver_named(struct reg *r, int64_t before);

/* A server's report. Example: giver_report(r, &r->server[i], body, now, o); */
void giver_report(struct reg *r, struct reg_server *s, const char *body, int64_t now, struct out *o);

#endif
