/* retention_state: the control shard's record of the purges of cached context that are planned, decided and
 * done.
 *
 * The state machine applies each step from the log, and updates the plans when the retention rows of the
 * table change. Snapshots hold the replicated fields. The same structure holds soft state that only the
 * leader uses and that is lost when its leadership ends.
 *
 * Invariant: the replicated fields depend only on the log's entries, never on a clock. */
#ifndef NL_RETENTION_STATE_H
#define NL_RETENTION_STATE_H

#include "config_table.h"
#include "core.h"
#include "retention_schedule.h"

enum {
	RETENTION_POLL_INTERVAL_MS = 200,       /* interval at which the leader checks the schedule */
	RETENTION_DONE_CHECK_INTERVAL_MS = 500, /* interval at which it checks whether purges are done */
	/* a row planned for this long is in force on all nodes, with an allowance for clock error */
	RETENTION_PROPAGATION_MS = 10000,
	RETENTION_MAX_PURGES = 512, /* purges that are kept for the report */
	/* a node without contact for this long has no valid configuration and routes no requests */
	RETENTION_NODE_TIMEOUT_MS = 6000,
	/* load_pressure, per mille, above which the next slice is postponed */
	RETENTION_MAX_LOAD_PRESSURE_PERMILLE = 250,
	RETENTION_TRIM_INTERVAL_MS = 20000, /* interval between two trims of a shard's log */
	RETENTION_MAX_REMAINDERS = 128,     /* remainders taken from one report of an index holder */
	RETENTION_REPORT_TTL_MS = 60000     /* a report of an index holder is dropped at this age */
};

/* Scope of a remainder that an index holder reports without a scope. */
#define RETENTION_ANY_SCOPE UINT64_MAX

/* Cached blocks of an older purge number that a server still reports. */
struct retention_remainder {
	char *server;   /* owned */
	uint64_t scope; /* namespace hash, or RETENTION_ANY_SCOPE */
	uint64_t purge_number;
	uint32_t block_count; /* 0: the server has sent no report since the purge */
};

/* The last report of one node that holds the prefix index. */
struct retention_index_report {
	uint64_t node_id;
	uint64_t horizon; /* the node has applied all purges up to this tick */
	int64_t received_at_ms;
	struct retention_remainder *remainders; /* stb_ds; owned */
};

/* The state of retention purges, part of the control shard's state. */
struct retention {
	/* replicated, and part of snapshots */
	uint64_t last_purge_number;
	struct Nl__RetentionPurge **purges; /* stb_ds, oldest first; owned */
	struct Nl__RetentionPlan **plans;   /* stb_ds, by scope; owned */
	uint64_t purged_tick; /* the control shard's log was trimmed for purges up to this tick */

	/* soft state of the leader, lost when its leadership ends */
	/* log index of the last proposed step; the next is proposed after it is applied */
	uint64_t last_step_index;
	int64_t polled_at_ms;
	int64_t done_checked_at_ms;
	struct retention_index_report *index_reports; /* stb_ds; owned */
};

/* Apply one step from the log entry at index. Slices that the step decides are appended to the purge feed and
 * numbered from index. Returns PROPOSAL_APPLIED, or PROPOSAL_REJECTED when the state has changed since the
 * step was proposed, so that it does not apply any more. */
enum proposal_status retention_apply(struct retention *retention, const struct config_table *table,
				     struct Nl__Value ***feed, uint64_t index,
				     const struct Nl__RetentionStep *step);

/* Update the plans after the log entry at index has changed the table's retention rows. The scope of a
 * removed row is purged a last time, so that blocks cached before cannot be found if the row is added again.
 */
void retention_on_config_change(struct retention *retention, const struct config_table *table,
				struct Nl__Value ***feed, uint64_t index);

/* Fill in the snapshot's fields. They point into this state. */
void retention_pack(const struct retention *retention, struct Nl__ControlState *state);

/* Replace the state by that of a snapshot; NULL: by the empty state. */
void retention_load(struct retention *retention, const struct Nl__ControlState *state);

/* Release all memory and leave the empty state. */
void retention_reset(struct retention *retention);

/* Remove all remainders from a report. */
void retention_clear_remainders(struct retention_index_report *report);

/* Release the memory that a report owns. */
void retention_free_report(struct retention_index_report *report);

/* Release all reports of index holders. */
void retention_free_reports(struct retention *retention);

#endif
