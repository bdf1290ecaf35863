/* prefix_index: which servers cache which prefix blocks. A block is named by the hash of the prompt up to its
 * end; a replica is one server's copy of it, made by requests of one tenant, and stamped with the purge tick
 * that the router knew when it sent them (purge_view.h decides by the stamp whether it may be used). Always:
 * a block has at most one replica for each server and tenant, and no row is empty. Used by the router's
 * placement. */
#ifndef NL_PREFIX_INDEX_H
#define NL_PREFIX_INDEX_H

#include <stdbool.h>
#include "core.h"

/* One server's copy of a block. Indices are dense, and the owner's. */
struct block_replica {
	uint32_t server_index;
	uint32_t tenant_index; /* whose request made it */
	uint32_t service_index;
	uint64_t weights_index; /* of the weights that computed it, among the names that the router knows */
	uint64_t stamp_tick;    /* purge tick that the router knew */
	uint64_t report_number; /* last report that named it; with forwarded requests the generation of its
				   cache namespace */
};

/* One block. */
struct prefix_index_row {
	uint64_t key;                /* block hash */
	struct block_replica *value; /* stb_ds array */
};

/* Zeroed: empty. Released by prefix_index_clear. */
struct prefix_index {
	struct prefix_index_row *blocks; /* stb_ds map */
	size_t replica_count;
};

/* Add one replica; an earlier one of the same server and tenant is replaced.
 * Example: prefix_index_put(&index, block_hash, &replica); */
void prefix_index_put(struct prefix_index *index, uint64_t block_hash, const struct block_replica *replica);

/* Remove the replicas that one server has of a block. Example: prefix_index_remove(&index, block_hash, 3); */
void prefix_index_remove(struct prefix_index *index, uint64_t block_hash, uint32_t server_index);

/* Remove the replicas of a server that were last named before a report. Example:
 * prefix_index_remove_unreported(&index, 3, 17); */
void prefix_index_remove_unreported(struct prefix_index *index, uint32_t server_index,
				    uint64_t report_number);

/* The replicas of a block, as an stb_ds array that stays the index's, or NULL; valid until the index changes.
 * Example: arrlen(prefix_index_find(&index, block_hash)) */
struct block_replica *prefix_index_find(struct prefix_index *index, uint64_t block_hash);

/* Remove all replicas that match. Example: prefix_index_remove_if(&index, is_purged, purge); */
void prefix_index_remove_if(struct prefix_index *index,
			    bool (*matches)(const void *context, uint64_t block_hash,
					    const struct block_replica *replica),
			    const void *context);

/* Remove everything and free its memory. */
void prefix_index_clear(struct prefix_index *index);

#endif
