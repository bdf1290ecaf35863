/* prefix_index: an index of the prefix blocks that servers cache. A block is identified by the hash of the
 * prompt up to the end of the block. A block replica is one server's copy of a block, cached by the
 * requests of one tenant. It is stamped with the purge tick that the router knew when it sent those
 * requests; purge_view.h decides by this stamp whether the replica may be used. Invariants: a block has at
 * most one replica for each pair of server and tenant, and no row is empty. */
#ifndef NL_PREFIX_INDEX_H
#define NL_PREFIX_INDEX_H

#include <stdbool.h>
#include "core.h"

/* One server's copy of a block. The indices are positions in tables of the index's owner. */
struct block_replica {
	uint32_t server_index;
	uint32_t tenant_index; /* tenant whose request cached the block */
	uint32_t service_index;
	uint64_t weights_index; /* weights that computed the block, as a position among the names that the
				   router knows */
	uint64_t stamp_tick;    /* purge tick that the router knew when it sent the request */
	uint64_t report_number; /* number of the last report that listed the replica; with forwarded requests,
				   the generation of its cache namespace */
};

/* One block and its replicas. */
struct prefix_index_row {
	uint64_t key;                /* block hash */
	struct block_replica *value; /* stb_ds array */
};

/* Zeroed memory is an empty index. prefix_index_clear frees it. */
struct prefix_index {
	struct prefix_index_row *blocks; /* stb_ds map */
	size_t replica_count;
};

/* Add one replica of a block; it replaces an earlier one of the same server and tenant.
 * Example: prefix_index_put(&index, block_hash, &replica); */
void prefix_index_put(struct prefix_index *index, uint64_t block_hash, const struct block_replica *replica);

/* Remove all replicas of a block that one server holds. Example: prefix_index_remove(&index, block_hash,
 * 3); */
void prefix_index_remove(struct prefix_index *index, uint64_t block_hash, uint32_t server_index);

/* Remove the replicas of a server whose report_number is below this one.
 * Example: prefix_index_remove_unreported(&index, 3, 17); */
void prefix_index_remove_unreported(struct prefix_index *index, uint32_t server_index,
				    uint64_t report_number);

/* Returns the replicas of a block as an stb_ds array, or NULL if there are none. The index owns the array,
 * which is valid until the index changes.
 * Example: arrlen(prefix_index_find(&index, block_hash)) */
struct block_replica *prefix_index_find(struct prefix_index *index, uint64_t block_hash);

/* Remove all replicas for which matches returns true; context is passed to it.
 * Example: prefix_index_remove_if(&index, is_purged, purge); */
void prefix_index_remove_if(struct prefix_index *index,
			    bool (*matches)(const void *context, uint64_t block_hash,
					    const struct block_replica *replica),
			    const void *context);

/* Remove all blocks and free their memory. */
void prefix_index_clear(struct prefix_index *index);

#endif
