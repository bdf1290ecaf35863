/* rollout: the control shard's and the service shards' leaders command servers to load the target weights, a
 * few at a time, so that the others keep serving; and to drop cached blocks that a purge covers. rollout.c
 * servers that are rows of the table, over the product's own interface rollout_instances.c   servers of the
 * platform's list rollout_pace.c        how many of those load at once, and by when
 *
 * Always: a command is fenced by the leader's term, leaves only under its lease, and none is sent before
 * those of the leader before have ended. A command to a listed server is logged before it leaves, so whoever
 * takes over knows which servers may have had one lately. */
#ifndef NL_ROLLOUT_H
#define NL_ROLLOUT_H

#include "core.h"
#include "rollout_state.h"

struct controller;
struct controller_server;

/* A fence is the leader's term, above the number of the command in that term. */
enum {
	ROLLOUT_FENCE_SEQUENCE_BITS = 20,
	ROLLOUT_FENCE_SEQUENCE_MASK = (1 << ROLLOUT_FENCE_SEQUENCE_BITS) - 1
};

/* Of rollout_instances.c and rollout_pace.c. */
enum {
	ROLLOUT_POLL_INTERVAL_MS = 200,     /* between polls of a server that should soon have loaded */
	ROLLOUT_PLANNED_PERCENT = 90,       /* of the bound: in it all loads are planned to be done */
	ROLLOUT_MAX_REPORT_LAG_MS = 700,    /* after which a server's report cannot be older than a command */
	ROLLOUT_REPLY_TIMEOUT_MS = 1000,    /* after which a command or a poll has got no answer */
	ROLLOUT_COMMAND_ALL_PERCENT = 95,   /* of the bound: after it all that are left are commanded */
	ROLLOUT_REJECTED_BACKOFF_MS = 2000, /* before a server that rejects a command gets another */
	ROLLOUT_STALL_DIVISOR = 4,   /* of the bound: a server that loads for longer counts as stalled */
	ROLLOUT_NOTICE_DIVISOR = 8,  /* of a load: so long before it, routers send the server nothing more */
	ROLLOUT_NOTICE_MAX_MS = 500, /* of that notice; less than ROLLOUT_INTENT_MS */
	ROLLOUT_INTENT_VALID_MS = 1000,  /* after a command was logged, in which it may leave */
	ROLLOUT_LEASE_MARGIN_MS = 100,   /* before the lease's end: no command leaves in it */
	ROLLOUT_TAKEOVER_MARGIN_MS = 300 /* beyond the lease, for the last leader's commands to have ended */
};

/* Poll the servers of the table, and command those that are due, for each service shard that is led here.
 * Example: rollout_tick(controller, now, out); */
void rollout_tick(struct controller *controller, int64_t now, struct command_list *out);

/* The followed table has changed: note new target weights of services. They were set after last_unchanged_ms,
 * when the table was last confirmed to be the one before.
 * Example: rollout_on_target_change(controller, last_unchanged_ms); */
void rollout_on_target_change(struct controller *controller, int64_t last_unchanged_ms);

/* A server of the table has reported its weights and cached blocks, as JSON: command it to drop those that a
 * purge covers. Example: rollout_on_report(controller, server, body, now, out); */
void rollout_on_report(struct controller *controller, struct controller_server *server, const char *body,
		       int64_t now, struct command_list *out);

/* Leadership of the control shard begins: servers that load already are polled.
 * Example: rollout_start_term(controller, now); */
void rollout_start_term(struct controller *controller, int64_t now);

/* Go on with the rollout to the listed servers, on the control shard's leader.
 * Example: rollout_instances_tick(controller, now, out); */
void rollout_instances_tick(struct controller *controller, int64_t now, struct command_list *out);

/* A listed server has answered a command, by its HTTP status; 0: no answer; never_sent: it surely did not
 * arrive. Example: rollout_on_command_reply(controller, token, 202, 0, now, out); */
void rollout_on_command_reply(struct controller *controller, uint64_t token, int status, int never_sent,
			      int64_t now, struct command_list *out);

/* A listed server has answered a poll: its weights, and whether it loads.
 * Example: rollout_on_poll_reply(controller, token, 200, "3", 0, now); */
void rollout_on_poll_reply(struct controller *controller, uint64_t token, int status, const char *weights,
			   int loading, int64_t now);

/* A command to a listed server that was logged is applied: from now on it may leave.
 * Example: rollout_intent_logged(controller, "i-7", now); */
void rollout_intent_logged(struct controller *controller, const char *server, int64_t now);

/* Begin with nothing known of earlier commands. */
void rollout_open(struct rollout *rollout, int64_t now);

/* Release all. */
void rollout_close(struct rollout *rollout);

#endif
