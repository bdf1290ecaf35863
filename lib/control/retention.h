/* retention: purges of cached context on the operators' schedule, decided and recorded by the control shard.
 *
 * Each decision is an entry of the control shard's log: a retention row is given its first due time, a due
 * purge begins, one of the purge's slices is added to the purge stream, or a purge is recorded as done.
 * retention_apply applies the entries on every member, so the recorded state is the same on all of them and
 * is included in snapshots. The shard's leader proposes the decisions in retention_tick, one at a time, by
 * the time that a majority of the voters' clocks has reached.
 *
 * Invariants: a due time leads to one purge only, because the log entry that begins the purge names the due
 * time and sets the next one. At most one purge of a scope has unpublished slices.
 *
 *   retention_schedule.c   rows, scopes and due times
 *   retention_state.c      the recorded state, and how log entries change it
 *   retention.c            the leader's decisions
 *   retention_progress.c   the conditions that a purge still waits for
 *   retention_report.c     reports for operators and auditors
 * The design is explained in docs/retention.md. */
#ifndef NL_RETENTION_H
#define NL_RETENTION_H

#include "core.h"
#include "retention_state.h"

struct controller;

/* Propose the next step that is due, if any. Does nothing unless this node leads the control shard. */
void retention_tick(struct controller *controller, int64_t now, struct command_list *out);

/* For each shard that this node leads, propose to trim its log when a purge covers entries in it, and to
 * compact the claims from before the last trim when they have expired. */
void retention_trim_logs(struct controller *controller, int64_t now, struct command_list *out);

/* The time in ms since 1970 that a majority of the control shard's voters has reached, so that a jump of a
 * single clock has no effect. INT64_MIN when no majority has reported its clock recently. */
int64_t retention_majority_wall_clock_ms(const struct controller *controller, int64_t now);

#endif
