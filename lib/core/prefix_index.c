#include "prefix_index.h"

#include <string.h>

#include "containers.h"

void prefix_index_put(struct prefix_index *k, uint64_t hash, const struct block_replica *replica)
{
	struct prefix_index_row *row = hmgetp_null(k->blocks, hash);
	struct block_replica *v = NULL;

	if (!row) {
		hmput(k->blocks, hash, v);
		row = hmgetp(k->blocks, hash);
	}
	for (ptrdiff_t i = 0; i < arrlen(row->value); i++)
		if (row->value[i].server_index == replica->server_index &&
		    row->value[i].tenant_index == replica->tenant_index) {
			row->value[i] = *replica;
			return;
		}
	arrput(row->value, *replica);
	k->replica_count++;
}

struct block_replica *prefix_index_find(struct prefix_index *k, uint64_t hash)
{
	struct prefix_index_row *row = k->blocks ? hmgetp_null(k->blocks, hash) : NULL;

	return row ? row->value : NULL;
}

void prefix_index_remove_if(struct prefix_index *k,
			    int (*matches)(const void *, uint64_t, const struct block_replica *),
			    const void *ctx)
{
	for (ptrdiff_t i = hmlen(k->blocks) - 1; i >= 0; i--) {
		struct prefix_index_row *row = &k->blocks[i];

		for (ptrdiff_t j = arrlen(row->value) - 1; j >= 0; j--)
			if (matches(ctx, row->key, &row->value[j])) {
				arrdelswap(row->value, j);
				k->replica_count--;
			}
		if (!arrlen(row->value)) {
			uint64_t key = row->key;

			arrfree(row->value);
			(void)hmdel(k->blocks, key);
		}
	}
}

void prefix_index_remove(struct prefix_index *k, uint64_t hash, uint32_t server_index)
{
	struct prefix_index_row *row = k->blocks ? hmgetp_null(k->blocks, hash) : NULL;

	if (!row)
		return;
	for (ptrdiff_t i = arrlen(row->value) - 1; i >= 0; i--)
		if (row->value[i].server_index == server_index) {
			arrdelswap(row->value, i);
			k->replica_count--;
		}
	if (!arrlen(row->value)) {
		arrfree(row->value);
		(void)hmdel(k->blocks, hash);
	}
}

struct sweep {
	uint32_t server_index;
	uint64_t report_number;
};

static int is_unreported(const void *ctx, uint64_t block_hash, const struct block_replica *replica)
{
	const struct sweep *sweep = ctx;

	(void)block_hash;
	return replica->server_index == sweep->server_index && replica->report_number < sweep->report_number;
}

void prefix_index_remove_unreported(struct prefix_index *k, uint32_t server_index, uint64_t report_number)
{
	struct sweep sweep = { server_index, report_number };

	prefix_index_remove_if(k, is_unreported, &sweep);
}

void prefix_index_clear(struct prefix_index *k)
{
	for (ptrdiff_t i = 0; i < hmlen(k->blocks); i++)
		arrfree(k->blocks[i].value);
	hmfree(k->blocks);
	k->replica_count = 0;
}
