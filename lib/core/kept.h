/* kept: the index of kept prompt parts: which server keeps which part, made by whom, under which
 * weights, and at which horizon tick its maker's send was stamped. */
#ifndef NL_KEPT_H
#define NL_KEPT_H

#include "core.h"
#include "purge.h"

struct kept_copy {
	uint32_t server, maker, service; /* dense indices */
	uint64_t weights;                /* hash of the name */
	uint64_t stamp;
	uint64_t seen; /* the report that last named it; of forwarded sends the generation of its cache_namespace */
};

struct kept_row {
	uint64_t key;
	struct kept_copy *value;
};

struct kept {
	struct kept_row *h; /* stb_ds map: part hash -> stb_ds array of copies */
	size_t n;
};

/* Put one copy in; the same (server, maker) replaces. Example: kept_put(&k, hash, &copy); */
void kept_put(struct kept *k, uint64_t hash, const struct kept_copy *c);

/* Drop the copies that one server has of a part. Example: kept_lose(&k, hash, 3); */
void kept_lose(struct kept *k, uint64_t hash, uint32_t server);

/* Drop the copies of a server that its report number seen did not name. Example: kept_sweep(&k, 3, 17); */
void kept_sweep(struct kept *k, uint32_t server, uint64_t seen);

/* The copies of a part, as a stb_ds array, or NULL. Example: arrlen(kept_get(&k, h)) */
struct kept_copy *kept_get(struct kept *k, uint64_t hash);

/* Drop all copies for which gone says so. Example: kept_drop(&k, matches, purge); */
void kept_drop(struct kept *k, int (*gone)(const void *ctx, uint64_t id, const struct kept_copy *c), const void *ctx);
void kept_clear(struct kept *k);

#endif
