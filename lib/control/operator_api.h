/* The operators' own interface: reads of the table, the state and the retention, changes, purges.
 * operator_paths passes each call; what is to be logged goes out as a proposal to the leader.
 * Always: but for this node's own state, a read is answered with what a leader with a lease has said since the call came. */
#ifndef NL_OPERATOR_API_H
#define NL_OPERATOR_API_H

#include "controller.h"

/* What this node knows, for whoever looks at this node. */
void read_state(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o);

/* Reads that wait for the leader's word. */
void read_table(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o);
void read_retention(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o);
void read_retention_report(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o);

/* Another node passes a read on; the leader's answer to one of ours. */
void on_read_asked(struct controller *r, const struct Nl__Msg *m, int64_t now, struct out *o);
void on_read_reply(struct controller *r, const struct Nl__ReadReply *reply, int64_t now, struct out *o);

/* Answer reads that have what they waited for, and those that wait for nobody. */
void table_reads_tick(struct controller *r, int64_t now, struct out *o);

/* Orders that are proposed to the leader. */
void change_table(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o);
void clear_context(struct controller *r, const struct controller_ev *ev, int64_t now, struct out *o);

#endif
