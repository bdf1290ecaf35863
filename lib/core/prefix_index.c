#include "prefix_index.h"

#include <stdbool.h>
#include <string.h>

#include "containers.h"

void prefix_index_put(struct prefix_index *index, uint64_t block_hash, const struct block_replica *replica)
{
	struct prefix_index_row *row = hmgetp_null(index->blocks, block_hash);
	struct block_replica *empty = NULL;

	if (!row) {
		hmput(index->blocks, block_hash, empty);
		row = hmgetp(index->blocks, block_hash);
	}
	for (ptrdiff_t i = 0; i < arrlen(row->value); i++)
		if (row->value[i].server_index == replica->server_index &&
		    row->value[i].tenant_index == replica->tenant_index) {
			row->value[i] = *replica;
			return;
		}
	arrput(row->value, *replica);
	index->replica_count++;
}

struct block_replica *prefix_index_find(struct prefix_index *index, uint64_t block_hash)
{
	struct prefix_index_row *row = index->blocks ? hmgetp_null(index->blocks, block_hash) : NULL;

	return row ? row->value : NULL;
}

static void remove_row_if_empty(struct prefix_index *index, struct prefix_index_row *row)
{
	uint64_t key = row->key;

	if (arrlen(row->value))
		return;
	arrfree(row->value);
	(void)hmdel(index->blocks, key);
}

void prefix_index_remove_if(struct prefix_index *index,
			    bool (*matches)(const void *, uint64_t, const struct block_replica *),
			    const void *context)
{
	for (ptrdiff_t i = hmlen(index->blocks) - 1; i >= 0; i--) {
		struct prefix_index_row *row = &index->blocks[i];

		for (ptrdiff_t j = arrlen(row->value) - 1; j >= 0; j--)
			if (matches(context, row->key, &row->value[j])) {
				arrdelswap(row->value, j);
				index->replica_count--;
			}
		remove_row_if_empty(index, row);
	}
}

void prefix_index_remove(struct prefix_index *index, uint64_t block_hash, uint32_t server_index)
{
	struct prefix_index_row *row = index->blocks ? hmgetp_null(index->blocks, block_hash) : NULL;

	if (!row)
		return;
	for (ptrdiff_t i = arrlen(row->value) - 1; i >= 0; i--)
		if (row->value[i].server_index == server_index) {
			arrdelswap(row->value, i);
			index->replica_count--;
		}
	remove_row_if_empty(index, row);
}

/* The criteria of prefix_index_remove_unreported: replicas of this server with a lower report number. */
struct unreported_query {
	uint32_t server_index;
	uint64_t report_number;
};

static bool is_unreported(const void *context, uint64_t block_hash, const struct block_replica *replica)
{
	const struct unreported_query *query = context;

	(void)block_hash;
	return replica->server_index == query->server_index && replica->report_number < query->report_number;
}

void prefix_index_remove_unreported(struct prefix_index *index, uint32_t server_index, uint64_t report_number)
{
	struct unreported_query query = { server_index, report_number };

	prefix_index_remove_if(index, is_unreported, &query);
}

void prefix_index_clear(struct prefix_index *index)
{
	for (ptrdiff_t i = 0; i < hmlen(index->blocks); i++)
		arrfree(index->blocks[i].value);
	hmfree(index->blocks);
	index->replica_count = 0;
}
