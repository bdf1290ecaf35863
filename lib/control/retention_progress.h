/* retention_progress: how far a purge has come, as the control shard's leader can see it.
 *
 * A purge is done when its slices are decided and published, every router that still routes has passed the
 * newest of their ticks, and the nodes that hold the prefix index, having passed it too, name no block
 * replica of an older purge. Nodes report with each configuration request; the reports are soft state of the
 * leader. retention.c asks before it logs that a purge is done, retention_report.c lists what is missing. */
#ifndef NL_RETENTION_PROGRESS_H
#define NL_RETENTION_PROGRESS_H

#include <json-c/json.h>

#include "retention.h"

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

/* A node's configuration request has come: record what its index still names, and drop old reports. */
void retention_on_report(struct controller *controller, const struct Nl__Msg *message, int64_t now);

/* Release all reports. */
void retention_free_reports(struct retention *retention);

/* How many things a purge still waits for; 0: it is done. Their texts are appended to the JSON array missing,
 * unless that is NULL. */
int retention_list_missing(const struct controller *controller, const struct Nl__RetentionPurge *purge,
			   int64_t now, struct json_object *missing, apr_pool_t *pool);

#endif
