/* retention: purges of cached context on the operators' schedule, as the control shard decides and records
 * them.
 *
 * Each decision is an entry of the control shard's log: a row gets its due time, a due purge begins, one of
 * its slices goes to the purge stream, a purge is done. retention_apply applies them on every member, so the
 * recorded state is alike everywhere and part of snapshots. The shard's leader proposes them in
 * retention_tick, one at a time, by the time that a majority of the controllers' clocks agrees on.
 *
 * Always: a due time is taken once, as the entry that takes it names it and sets the next one; and at most
 * one purge of a scope has slices open.
 *
 *   retention_schedule.c   rows, scopes and due times
 *   retention.c            the recorded state, and the leader's decisions
 *   retention_progress.c   what a purge still waits for
 *   retention_report.c     what operators and auditors read
 * docs/retention.md says why. */
#ifndef NL_RETENTION_H
#define NL_RETENTION_H

#include "core.h"
#include "retention_schedule.h"

struct controller;
struct retention_index_report; /* retention_progress.h */

enum {
	RETENTION_POLL_MS = 200,  /* between the leader's looks at the schedule */
	RETENTION_CHECK_MS = 500, /* between its checks whether a purge is done */
	RETENTION_PROPAGATION_MS =
	    10000,                  /* after which a row is in force everywhere, whatever the clocks say */
	RETENTION_MAX_PURGES = 512, /* purges that are remembered for the report */
	RETENTION_NODE_TIMEOUT_MS =
	    6000, /* a node silent for so long has lost its configuration and routes nothing */
	RETENTION_MAX_PRESSURE = 250,   /* load_pressure, per mille, above which the next slice waits */
	RETENTION_TRIM_MS = 20000,      /* between two trims of a shard's log */
	RETENTION_MAX_REMAINDERS = 128, /* remainders that one report of an index holder may list */
	RETENTION_REPORT_TTL_MS = 60000 /* after which a report of an index holder is dropped */
};

#define RETENTION_ANY UINT64_MAX /* scope of a remainder whose holder does not know it by scopes */

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
	int64_t checked_at_ms;
	struct retention_index_report *index_reports; /* stb_ds; owned */
};

/* Apply one step from the log; slices that it decides are appended to the purge feed, numbered from index.
 * Returns PROPOSAL_DONE, or PROPOSAL_REJECTED when the step was overtaken. */
uint32_t retention_apply(struct controller *controller, uint64_t index, const struct Nl__RetentionStep *step);

/* The table has changed by the log entry at index: plans follow its rows. A row that was removed is purged
 * once more, so that nothing of before is found if it comes back. */
void retention_on_config_change(struct controller *controller, uint64_t index);

/* Let the leader's time pass: it proposes the next step that is due, if any. Does nothing elsewhere. */
void retention_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Propose the trim of the logs of all shards that are led here, once a purge covers entries in them. */
void retention_trim_logs(struct controller *controller, int64_t now, struct command_list *out);

/* The time, ms since 1970, that a majority of the control shard's voters has reached: one clock that jumps
 * decides nothing. INT64_MIN when no majority was heard lately. */
int64_t retention_wall_clock(const struct controller *controller, int64_t now);

/* Fill in the snapshot's fields; they point at the controller's state. */
void retention_pack(const struct controller *controller, struct Nl__ControlState *state);

/* Replace the state by a snapshot's; NULL: by the empty one. */
void retention_load(struct controller *controller, const struct Nl__ControlState *state);

/* Release all state and leave the empty one. */
void retention_reset(struct controller *controller);

#endif
