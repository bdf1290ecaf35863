/* operator_api: the operators' own interface: reads of the table and the retention, changes of the table,
 * purges. operator_paths.c dispatches each call to it; what has to be logged goes out as a proposal to the
 * leader.
 *
 * Always: a read is answered only with what a leader with a lease has confirmed since the call came, so it is
 * never older than the call. A read that finds no leader in time is answered with 503. */
#ifndef NL_OPERATOR_API_H
#define NL_OPERATOR_API_H

#include "controller_event.h"
#include "controller_state.h"

/* Begin a read of the table: it is answered once config_watch has fetched it after the call. */
void read_config_table(struct controller *controller, const struct controller_event *event, int64_t now,
		       struct command_list *out);

/* Begin a read of the retention's progress, which the leader answers. */
void read_retention(struct controller *controller, const struct controller_event *event, int64_t now,
		    struct command_list *out);

/* Begin a read of the auditors' report on purges, which the leader answers. */
void read_retention_report(struct controller *controller, const struct controller_event *event, int64_t now,
			   struct command_list *out);

/* Another node forwards a read: answer it as the leader, or name the leader. */
void on_read_request(struct controller *controller, const struct Nl__Msg *message, int64_t now,
		     struct command_list *out);

/* The leader's answer to a read of this node; one that comes after the read's time-out is dropped. */
void on_read_reply(struct controller *controller, const struct Nl__ReadReply *reply, int64_t now,
		   struct command_list *out);

/* Answer pending reads that are confirmed, send the others to the leader again, and reject those that have no
 * leader or have timed out. */
void reads_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Propose a change of the table; a request that is no change at all is rejected here. */
void change_config_table(struct controller *controller, const struct controller_event *event, int64_t now,
			 struct command_list *out);

/* Propose a purge of a scope's context, now. */
void purge_context(struct controller *controller, const struct controller_event *event, int64_t now,
		   struct command_list *out);

#endif
