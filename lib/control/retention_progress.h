/* retention_progress: determines on the control shard's leader whether a purge is done, and which conditions
 * it still waits for.
 *
 * A purge is done when all its slices are decided and published, every router that still routes requests has
 * passed the newest tick of these slices, at least one node that holds the prefix index has passed that tick
 * too, and no such node reports a block replica of an older purge. Nodes report with each configuration
 * request. The reports are soft state of the leader. */
#ifndef NL_RETENTION_PROGRESS_H
#define NL_RETENTION_PROGRESS_H

#include <json-c/json.h>

#include "retention_state.h"

struct controller;

/* Process a node's configuration request: record the remainders that its prefix index reports, and drop
 * reports that are too old. */
void retention_on_report(struct controller *controller, const struct Nl__Msg *message, int64_t now);

/* The number of conditions that a purge still waits for; 0: it is done. A text for each is appended to the
 * JSON array missing_texts, unless that is NULL. */
int retention_list_missing(const struct controller *controller, const struct Nl__RetentionPurge *purge,
			   int64_t now, struct json_object *missing, apr_pool_t *pool);

#endif
