/* Snapshots of the replicated state: packed for the log, loaded whole in place of what was there.
 * The step takes one when a part's log has grown, and loads one that another member sent or the disk held.
 * Always: equal states pack to equal bytes, and loading leaves nothing of the state before. */
#ifndef NL_SNAPSHOT_H
#define NL_SNAPSHOT_H

#include "controller_state.h"

/* Free a list of purge values. */
void free_values(struct Nl__Value ***value);

/* Empty a service part's state. */
void reset_service_state(struct controller_service_state *service);

/* Replace a part's state by the snapshot that its log holds. */
void snapshot_load(struct controller *controller, uint32_t shard, apr_pool_t *pool);

/* Hand the part's log a snapshot of what is applied now. */
void snapshot_create(struct controller *controller, uint32_t shard, struct command_list *out);

/* The state of a shard as a snapshot holds it, packed, in the pool; for checks as well.
 * Example: data = controller_state(controller, shard, pool, &size); */
uint8_t *controller_state(const struct controller *controller, uint32_t shard, apr_pool_t *pool,
			  size_t *size);

#endif
