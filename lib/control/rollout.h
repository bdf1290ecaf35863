/* rollout: commands servers to load the target version of a model's weights, a few servers at a time so that
 * the others keep serving, and to drop cached blocks that a purge covers.
 *
 * There are two kinds of servers. The leaders of the service shards command the servers that are rows of the
 * configuration table, over the product's own interface (rollout.c). The leader of the control shard commands
 * the servers of the platform's endpoint list, called listed servers here (rollout_instances.c,
 * rollout_command.c, rollout_pace.c).
 *
 * Invariants: each command carries a fencing token made from the leader's term, is sent only while the leader
 * holds its lease, and is not sent before all commands of earlier leaders have expired. A load command to a
 * listed server is logged before it is sent, so that the next leader can tell from the log which servers may
 * have received one recently. */
#ifndef NL_ROLLOUT_H
#define NL_ROLLOUT_H

#include "core.h"
#include "rollout_state.h"

struct controller;
struct controller_server;

/* A fencing token holds the leader's term in its upper bits and the command's sequence number within that
 * term in its lower bits. */
enum {
	ROLLOUT_FENCE_SEQUENCE_BITS = 20,
	ROLLOUT_FENCE_SEQUENCE_MASK = (1 << ROLLOUT_FENCE_SEQUENCE_BITS) - 1
};

/* Timing of the rollout to listed servers. "The bound" is the time within which all servers must have loaded
 * a new target version (bounds.rollout_ms). */
enum {
	ROLLOUT_POLL_INTERVAL_MS = 200, /* between two polls of a server whose load should end soon */
	ROLLOUT_PLANNED_PERCENT = 90,   /* share of the bound within which all loads are planned to end */
	/* a report polled this long after a command was sent reflects that command */
	ROLLOUT_MAX_REPORT_LAG_MS = 700,
	ROLLOUT_REPLY_TIMEOUT_MS = 1000, /* a command or a poll without a reply for this long has failed */
	/* share of the bound after which all remaining servers are commanded at once */
	ROLLOUT_COMMAND_ALL_PERCENT = 95,
	ROLLOUT_REJECTED_BACKOFF_MS =
	    2000,                  /* wait before a server that rejected a command is commanded again */
	ROLLOUT_STALL_DIVISOR = 4, /* a load that takes longer than the bound divided by this has stalled */
	/* routers are notified before a load by the load's duration divided by this */
	ROLLOUT_NOTICE_DIVISOR = 8,
	ROLLOUT_NOTICE_MAX_MS = 500, /* longest notice; less than ROLLOUT_INTENT_VALID_MS */
	/* a logged command may be sent within this time after its log entry was applied */
	ROLLOUT_INTENT_VALID_MS = 1000,
	ROLLOUT_LEASE_MARGIN_MS = 100, /* no command is sent within this time before the lease expires */
	/* added to the lease duration, so that the previous leader's commands have expired */
	ROLLOUT_TAKEOVER_MARGIN_MS = 300
};

/* Poll the servers that are rows of the table, and send the load commands that are due, for each service
 * shard that this node leads. Example: rollout_tick(controller, now, out); */
void rollout_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Record new target versions of services after the table followed by this node has changed. They were set
 * after last_unchanged_ms, the last time at which the table was confirmed to be unchanged. Example:
 * rollout_on_target_change(controller, last_unchanged_ms); */
void rollout_on_target_change(struct controller *controller, int64_t last_unchanged_ms);

/* Process the JSON report of a server that is a row of the table: record its weights, and command it to drop
 * the cached blocks that a purge covers. Example: rollout_on_server_report(controller, server, body, now,
 * out); */
void rollout_on_server_report(struct controller *controller, struct controller_server *server,
			      const char *body, int64_t now, struct command_list *out);

/* Begin a term as the leader of the control shard. Servers that are already loading will be polled.
 * Example: rollout_start_term(controller, now); */
void rollout_start_term(struct controller *controller, int64_t now);

/* Advance the rollout to the listed servers; does nothing unless this node leads the control shard.
 * Example: rollout_instances_tick(controller, now, out); */
void rollout_instances_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Process the reply of a listed server to a load command. status is the HTTP status, 0 when there was no
 * reply; never_sent means that the command certainly did not reach the server. Example:
 * rollout_on_command_reply(controller, token, 202, 0, now, out); */
void rollout_on_command_reply(struct controller *controller, uint64_t token, int status, int never_sent,
			      int64_t now, struct command_list *out);

/* Process the reply of a listed server to a poll: the weights that it serves, and whether it is loading
 * others. Example: rollout_on_poll_reply(controller, token, 200, "3", 0, now); */
void rollout_on_poll_reply(struct controller *controller, uint64_t token, int status, const char *weights,
			   int loading, int64_t now);

/* Apply the log entry of a load command to a listed server; the command may be sent from now on.
 * Example: rollout_on_intent_logged(controller, "i-7", now); */
void rollout_on_intent_logged(struct controller *controller, const char *server, int64_t now);

/* Initialise the state. Commands that were logged before now are unknown to it. */
void rollout_open(struct rollout *rollout, int64_t now);

/* Release all memory that the state owns. */
void rollout_close(struct rollout *rollout);

#endif
