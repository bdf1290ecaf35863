/* The operators' own interface: reads of the table, the state and the retention, changes, purges, the bootstrap.
 * The step passes each call; what is to be logged goes out as a proposal, what only reads answers here.
 * Always: a read of the table is answered from what a leader with a lease has sent since the call came. */
#ifndef NL_OPERATOR_API_H
#define NL_OPERATOR_API_H

#include "reg.h"

/* An operator's call. */
void on_web(struct reg *r, uint64_t web, const char *verb, const char *path, const char *body, const char *key, int64_t now,
	    struct out *o);

/* Answer reads of the table that have waited for the leader. */
void reads_tick(struct reg *r, int64_t now, struct out *o);

#endif
