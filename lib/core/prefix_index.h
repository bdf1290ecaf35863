/* kept: the index of kept prompt parts: which server keeps which part, made by whom, under which
 * weights, and at which horizon tick its maker's send was stamped. */
#ifndef NL_PREFIX_INDEX_H
#define NL_PREFIX_INDEX_H

#include "core.h"

struct block_replica {
	uint32_t server_index, tenant_index, service_index; /* dense indices */
	uint64_t weights_hash;                              /* hash of the name */
	uint64_t stamp_tick;
	uint64_t report_number; /* the report that last named it; of forwarded sends the generation of its
				   cache_namespace */
};

struct prefix_index_row {
	uint64_t key;
	struct block_replica *value;
};

struct prefix_index {
	struct prefix_index_row *blocks; /* stb_ds map: part hash -> stb_ds array of copies */
	size_t replica_count;
};

/* Put one copy in; the same (server, maker) replaces. Example: kept_put(&k, hash, &copy); */
void prefix_index_put(struct prefix_index *k, uint64_t hash, const struct block_replica *replica);

/* Drop the copies that one server has of a part. Example: kept_lose(&k, hash, 3); */
void prefix_index_remove(struct prefix_index *k, uint64_t hash, uint32_t server_index);

/* Drop the copies of a server that its report number seen did not name. Example: kept_sweep(&k, 3, 17); */
void prefix_index_remove_unreported(struct prefix_index *k, uint32_t server_index, uint64_t report_number);

/* The copies of a part, as a stb_ds array, or NULL. Example: arrlen(kept_get(&k, h)) */
struct block_replica *prefix_index_find(struct prefix_index *k, uint64_t hash);

/* Drop all copies for which gone says so. Example: kept_drop(&k, matches, purge); */
void prefix_index_remove_if(struct prefix_index *k,
			    int (*matches)(const void *ctx, uint64_t id, const struct block_replica *c),
			    const void *ctx);
void prefix_index_clear(struct prefix_index *k);

#endif
