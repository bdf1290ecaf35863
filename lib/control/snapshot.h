/* snapshot: the replicated state of a shard, packed for its log, and loaded whole in place of what was there.
 *
 * The step creates one when a shard's log has grown, and loads one that another member sent or the disk held.
 *
 * Always: equal states pack to equal bytes, since maps are packed in the order of their keys; and loading
 * leaves nothing of the state before. */
#ifndef NL_SNAPSHOT_H
#define NL_SNAPSHOT_H

#include "controller_state.h"

/* Release a list of purge values (stb_ds); *values is NULL after it. */
void free_purge_values(struct Nl__Value ***values);

/* Release a service shard's state and leave the empty one. */
void reset_service_state(struct controller_service_state *service);

/* Replace a shard's state by the snapshot that its log holds; by the empty one where that can't be read. */
void snapshot_load(struct controller *controller, uint32_t shard, apr_pool_t *pool);

/* Hand the shard's log a snapshot of what is applied now. */
void snapshot_create(struct controller *controller, uint32_t shard, struct command_list *out);

/* The state of a shard as a snapshot holds it, packed, in the pool; for checks as well.
 * Example: data = controller_state(controller, shard, pool, &size); */
uint8_t *controller_state(const struct controller *controller, uint32_t shard, apr_pool_t *pool,
			  size_t *size_bytes);

#endif
