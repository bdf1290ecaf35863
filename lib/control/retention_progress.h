/* retention_progress: how far a purge has come, as the control shard's leader can see it.
 *
 * A purge is done when its slices are decided and published, every router that still routes has passed the
 * newest of their ticks, and the nodes that hold the prefix index, having passed it too, name no block
 * replica of an older purge. Nodes report with each configuration request; the reports are soft state of the
 * leader. retention.c asks before it logs that a purge is done, retention_report.c lists what is missing. */
#ifndef NL_RETENTION_PROGRESS_H
#define NL_RETENTION_PROGRESS_H

#include <json-c/json.h>

#include "retention_state.h"

struct controller;

/* A node's configuration request has come: record what its index still names, and drop old reports. */
void retention_on_report(struct controller *controller, const struct Nl__Msg *message, int64_t now);

/* How many things a purge still waits for; 0: it is done. Their texts are appended to the JSON array missing,
 * unless that is NULL. */
int retention_list_missing(const struct controller *controller, const struct Nl__RetentionPurge *purge,
			   int64_t now, struct json_object *missing, apr_pool_t *pool);

#endif
