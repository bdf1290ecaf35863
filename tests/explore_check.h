/* explore_check: the invariants of the model checker. They are checked against what an external observer has
 * seen so far. */
#ifndef NL_EXPLORE_CHECK_H
#define NL_EXPLORE_CHECK_H

#include "explore.h"

/* Report a violation, unless one was reported before. Example: check_fail(LOGS_MATCH, "entry %d", 3); */
void check_fail(enum explore_invariant invariant, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* A replica sends a message: called before it is in flight. */
void check_message(int node, const struct command *cmd);

/* An entry is applied by a replica's state machine. */
void check_applied(int node, uint64_t index, const struct raft_entry *entry);

/* A replica's state machine starts from a snapshot. */
void check_loaded(int node);

/* A replica's term and vote have reached the disk. */
void check_disk(int node);

/* All that holds after a step of a replica. */
void check_replica(int node);

/* All that holds when a member was released and its disk is gone. */
void check_ended(void);

/* All that holds at any moment between two replicas. */
void check_leases(void);

/* The replica that answers at addr; -1: none. */
int explore_node_at(uint64_t addr);

/* Number of an interned byte string, and the string. */
uint32_t explore_intern(const void *data, size_t n);
const uint8_t *explore_blob(uint32_t blob, size_t *n);

#endif
