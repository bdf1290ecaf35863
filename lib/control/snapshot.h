/* snapshot: packs the replicated state of a shard into a snapshot for its log, and loads a snapshot in place
 * of the current state.
 *
 * The step creates a snapshot when the log of a shard has grown, and loads one that was received from another
 * member or read from the disk.
 *
 * Always: equal states are packed into equal bytes, because maps are packed in the order of their keys.
 * Loading a snapshot replaces the previous state completely. */
#ifndef NL_SNAPSHOT_H
#define NL_SNAPSHOT_H

#include "controller_state.h"

/* Release an stb_ds list of purge values and set *values to NULL. */
void free_purge_values(struct Nl__Value ***values);

/* Release a service shard's state and initialise it as empty. */
void reset_service_state(struct controller_service_state *service);

/* Replace a shard's state by the newest snapshot of its log, or by the empty state if the snapshot can't be
 * parsed. */
void snapshot_load(struct controller *controller, uint32_t shard, apr_pool_t *pool);

/* Create a snapshot of the shard's applied state and store it in the shard's log. */
void snapshot_create(struct controller *controller, uint32_t shard, struct command_list *out);

/* Return the packed state of a shard as it is stored in a snapshot, allocated in the pool. Tests compare
 * the states of members with it.
 * Example: data = snapshot_pack_state(controller, shard, pool, &size); */
uint8_t *snapshot_pack_state(const struct controller *controller, uint32_t shard, apr_pool_t *pool,
			     size_t *size_bytes);

#endif
