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
 *   retention_state.c      the recorded state, and what the log's entries do to it
 *   retention.c            the leader's decisions
 *   retention_progress.c   what a purge still waits for
 *   retention_report.c     what operators and auditors read
 * docs/retention.md says why. */
#ifndef NL_RETENTION_H
#define NL_RETENTION_H

#include "core.h"
#include "retention_state.h"

struct controller;

/* Let the leader's time pass: it proposes the next step that is due, if any. Does nothing elsewhere. */
void retention_tick(struct controller *controller, int64_t now, struct command_list *out);

/* Propose the trim of the logs of all shards that are led here, once a purge covers entries in them. */
void retention_trim_logs(struct controller *controller, int64_t now, struct command_list *out);

/* The time, ms since 1970, that a majority of the control shard's voters has reached: one clock that jumps
 * decides nothing. INT64_MIN when no majority was heard lately. */
int64_t retention_wall_clock(const struct controller *controller, int64_t now);

#endif
