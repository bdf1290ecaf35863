/* The replicated log in memory: entries behind the snapshot base, their terms, and what has to go to disk.
 * Called by the other raft modules. Indices are dense: log[0] is entry base + 1, and no entry at or below
 * commit is ever cut. */
#include "raft_internal.h"

#include <stdlib.h>
#include <string.h>

#include "containers.h"

uint64_t raft_last_index(const struct raft *raft)
{
	return raft->base_index + (uint64_t)arrlen(raft->log);
}

struct raft_entry *raft_entry_at(const struct raft *raft, uint64_t index)
{
	return index > raft->base_index && index <= raft_last_index(raft)
		   ? &raft->log[index - raft->base_index - 1]
		   : NULL;
}

uint64_t raft_term_at(const struct raft *raft, uint64_t index)
{
	struct raft_entry *entry = raft_entry_at(raft, index);

	return entry                           ? entry->term
	       : index == raft->base_index     ? raft->base_term
	       : index == raft->snapshot_index ? raft->snapshot_term
					       : 0;
}

uint8_t *raft_copy_bytes(const uint8_t *data, size_t size)
{
	uint8_t *copy = malloc(size + 1);

	if (!copy)
		abort();
	if (size)
		memcpy(copy, data, size);
	return copy;
}

void raft_mark_dirty(struct raft *raft, uint64_t from)
{
	raft->dirty = 1;
	if (from && (!raft->dirty_from || from < raft->dirty_from))
		raft->dirty_from = from;
}

void raft_append_entry(struct raft *raft, uint64_t term, uint32_t kind, const uint8_t *data, size_t size)
{
	struct raft_entry entry = { term, kind, size, raft_copy_bytes(data, size) };

	arrput(raft->log, entry);
	raft_mark_dirty(raft, raft_last_index(raft));
}

void raft_truncate_from(struct raft *raft, uint64_t from)
{
	for (uint64_t i = from; i <= raft_last_index(raft); i++)
		free(raft_entry_at(raft, i)->data);
	arrsetlen(raft->log, (size_t)(from - raft->base_index - 1));
	if (!raft->truncate_from || from < raft->truncate_from)
		raft->truncate_from = from;
	raft_mark_dirty(raft, 0);
	if (raft->dirty_from > raft_last_index(raft))
		raft->dirty_from = 0;
	if (raft->synced_index >= from)
		raft->synced_index = from - 1;
	for (ptrdiff_t i = 0; i < arrlen(raft->pending_syncs); i++)
		if (raft->pending_syncs[i].last_index >= from)
			raft->pending_syncs[i].last_index = from - 1;
}

const struct raft_entry *raft_next_committed(struct raft *raft, uint64_t *index)
{
	while (raft->applied_index < raft->commit_index && !raft->snapshot_to_load) {
		struct raft_entry *entry = raft_entry_at(raft, ++raft->applied_index);

		raft->applied_bytes += entry ? entry->len : 0;
		if (entry && entry->kind == RAFT_ENTRY_OPERATION) {
			*index = raft->applied_index;
			return entry;
		}
	}
	return NULL;
}
