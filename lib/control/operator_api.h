/* The operators' own interface: reads of the table, the state and the retention, changes, purges.
 * operator_paths passes each call; what is to be logged goes out as a proposal to the leader.
 * Always: but for this node's own state, a read is answered with what a leader with a lease has said since
 * the call came. */
#ifndef NL_OPERATOR_API_H
#define NL_OPERATOR_API_H

#include "controller_event.h"
#include "controller_state.h"

/* What this node knows, for whoever looks at this node. */
void read_state(struct controller *controller, const struct controller_event *event, int64_t now,
		struct command_list *out);

/* Reads that wait for the leader's word. */
void read_config_table(struct controller *controller, const struct controller_event *event, int64_t now,
		       struct command_list *out);
void read_retention(struct controller *controller, const struct controller_event *event, int64_t now,
		    struct command_list *out);
void read_retention_report(struct controller *controller, const struct controller_event *event, int64_t now,
			   struct command_list *out);

/* Another node passes a read on; the leader's answer to one of ours. */
void on_read_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		     struct command_list *out);
void on_read_reply(struct controller *controller, const struct Nl__ReadReply *reply, int64_t now,
		   struct command_list *out);

/* Answer reads that have what they waited for, and those that wait for nobody. */
void reads_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Orders that are proposed to the leader. */
void change_config_table(struct controller *controller, const struct controller_event *event, int64_t now,
			 struct command_list *out);
void purge_context(struct controller *controller, const struct controller_event *event, int64_t now,
		   struct command_list *out);

#endif
