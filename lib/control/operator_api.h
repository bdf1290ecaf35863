/* operator_api: handles the calls of the product's own operator interface: reads of the table and of the
 * retention, changes of the table, and purges. operator_paths dispatches the calls. Changes and purges are
 * sent to the leader as proposals.
 *
 * Invariant: a read is answered only with state that a leader with a lease has confirmed after the call
 * arrived, so the answer is never older than the call. A read for which no leader is found in time is
 * answered with 503. */
#ifndef NL_OPERATOR_API_H
#define NL_OPERATOR_API_H

#include "controller_event.h"
#include "controller_state.h"

/* Begin a read of the table. It is answered once a reply to a configuration request sent after the call has
 * been applied (config_watch). */
void read_config_table(struct controller *controller, const struct controller_event *event, int64_t now,
		       struct command_list *out);

/* Begin a read of the progress of retention purges, which the leader answers. */
void read_retention(struct controller *controller, const struct controller_event *event, int64_t now,
		    struct command_list *out);

/* Begin a read of the auditors' report on purges, which the leader answers. */
void read_retention_report(struct controller *controller, const struct controller_event *event, int64_t now,
			   struct command_list *out);

/* Handle a read that a controller sends to the leader: reply with the result, or with a leader hint if this
 * node does not lead. */
void on_read_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		     struct command_list *out);

/* Handle the leader's reply to a pending read. A reply that arrives after the read's time-out is dropped. */
void on_read_reply(struct controller *controller, const struct Nl__ReadReply *reply, int64_t now,
		   struct command_list *out);

/* Answer pending reads of the table that are confirmed, send the other reads to the leader again, and reject
 * those that have timed out or whose leader is unreachable. */
void pending_reads_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Propose a change of the table. A request that cannot be parsed as a change is rejected by this node. */
void change_config_table(struct controller *controller, const struct controller_event *event, int64_t now,
			 struct command_list *out);

/* Propose an immediate purge of the cached context of a scope. */
void purge_context(struct controller *controller, const struct controller_event *event, int64_t now,
		   struct command_list *out);

#endif
