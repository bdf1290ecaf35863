/* retention_state: which purges of cached context are planned, decided and done, as the control shard records
 * it.
 *
 * The state machine applies each step from the log, and has plans follow the rows of the table; snapshots
 * hold the replicated part. What the leader alone keeps stands in the same record and is lost with the
 * leadership.
 *
 * Always: the replicated part depends on the log's entries alone, never on a clock. */
#ifndef NL_RETENTION_STATE_H
#define NL_RETENTION_STATE_H

#include "config_table.h"
#include "core.h"
#include "retention_schedule.h"

enum {
	RETENTION_POLL_INTERVAL_MS = 200,       /* between the leader's looks at the schedule */
	RETENTION_DONE_CHECK_INTERVAL_MS = 500, /* between its checks whether a purge is done */
	RETENTION_PROPAGATION_MS =
	    10000,                  /* after which a row is in force everywhere, whatever the clocks say */
	RETENTION_MAX_PURGES = 512, /* purges that are remembered for the report */
	RETENTION_NODE_TIMEOUT_MS =
	    6000, /* a node silent for so long has lost its configuration and routes nothing */
	RETENTION_MAX_LOAD_PRESSURE_PERMILLE =
	    250,                            /* load_pressure, per mille, above which the next slice waits */
	RETENTION_TRIM_INTERVAL_MS = 20000, /* between two trims of a shard's log */
	RETENTION_MAX_REMAINDERS = 128,     /* remainders that one report of an index holder may list */
	RETENTION_REPORT_TTL_MS = 60000     /* after which a report of an index holder is dropped */
};

#define RETENTION_ANY UINT64_MAX /* scope of a remainder whose holder does not know it by scopes */

/* Blocks that a server still names under an older purge number. */
struct retention_remainder {
	char *server;   /* owned */
	uint64_t scope; /* namespace hash, or RETENTION_ANY */
	uint64_t purge_number;
	uint32_t block_count; /* 0: the server has not reported since */
};

/* The last report of one node that holds the prefix index. */
struct retention_index_report {
	uint64_t node_id;
	uint64_t horizon; /* ticks that the node has passed */
	int64_t received_at_ms;
	struct retention_remainder *remainders; /* stb_ds; owned */
};

/* Part of the control shard's state. */
struct retention {
	/* replicated, and part of snapshots */
	uint64_t last_purge_number;
	struct Nl__RetentionPurge **purges; /* stb_ds, oldest first; owned */
	struct Nl__RetentionPlan **plans;   /* stb_ds, by scope; owned */
	uint64_t purged_tick; /* the control shard's log holds nothing that purges up to it cover */

	/* the leader's own, lost with the leadership */
	uint64_t logged_index; /* of its last step: the next one waits until this is applied */
	int64_t polled_at_ms;
	int64_t done_checked_at_ms;
	struct retention_index_report *index_reports; /* stb_ds; owned */
};

/* Apply one step from the log; slices that it decides are appended to the purge feed, numbered from index.
 * Returns PROPOSAL_DONE, or PROPOSAL_REJECTED when the step was overtaken. */
enum proposal_status retention_apply(struct retention *retention, const struct config_table *table,
				     struct Nl__Value ***feed, uint64_t index,
				     const struct Nl__RetentionStep *step);

/* The table has changed by the log entry at index: plans follow its rows. A row that was removed is purged
 * once more, so that nothing of before is found if it comes back. */
void retention_on_config_change(struct retention *retention, const struct config_table *table,
				struct Nl__Value ***feed, uint64_t index);

/* Fill in the snapshot's fields; they point at this state. */
void retention_pack(const struct retention *retention, struct Nl__ControlState *state);

/* Replace the state by a snapshot's; NULL: by the empty one. */
void retention_load(struct retention *retention, const struct Nl__ControlState *state);

/* Release all state and leave the empty one. */
void retention_reset(struct retention *retention);

/* Release what a report lists; the report stays. */
void retention_clear_remainders(struct retention_index_report *report);

/* Release what a report holds. */
void retention_free_report(struct retention_index_report *report);

/* Release all reports. */
void retention_free_reports(struct retention *retention);

#endif
