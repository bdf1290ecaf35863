/* The replicated log in memory: the entries after the base index, their terms, and which of them have yet to
 * be written to the disk. This is the lowest of the raft modules. Invariants: indices are dense, so
 * entries[0] has the index base_index + 1; an entry at or below the commit index is never truncated. */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "raft_internal.h"

uint64_t raft_last_index(const struct raft *raft)
{
	return raft->log.base_index + (uint64_t)arrlen(raft->log.entries);
}

struct raft_entry *raft_entry_at(const struct raft *raft, uint64_t index)
{
	if (index <= raft->log.base_index || index > raft_last_index(raft))
		return NULL;
	return &raft->log.entries[index - raft->log.base_index - 1];
}

uint64_t raft_term_at(const struct raft *raft, uint64_t index)
{
	const struct raft_entry *entry = raft_entry_at(raft, index);

	if (entry)
		return entry->term;
	if (index == raft->log.base_index)
		return raft->log.base_term;
	if (index == raft->snapshots.newest.index)
		return raft->snapshots.newest.term;
	return 0;
}

uint64_t raft_last_term(const struct raft *raft)
{
	return raft_term_at(raft, raft_last_index(raft));
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

void raft_mark_dirty(struct raft *raft, uint64_t from_index)
{
	raft->disk.dirty = true;
	if (from_index && (!raft->disk.dirty_from_index || from_index < raft->disk.dirty_from_index))
		raft->disk.dirty_from_index = from_index;
}

void raft_append_entry(struct raft *raft, uint64_t term, uint32_t kind, const uint8_t *data, size_t size)
{
	struct raft_entry entry = { term, kind, size, raft_copy_bytes(data, size) };

	arrput(raft->log.entries, entry);
	raft_mark_dirty(raft, raft_last_index(raft));
}

void raft_truncate_entries_from(struct raft *raft, uint64_t from_index)
{
	for (uint64_t i = from_index; i <= raft_last_index(raft); i++)
		free(raft_entry_at(raft, i)->data);
	arrsetlen(raft->log.entries, (size_t)(from_index - raft->log.base_index - 1));
	if (!raft->disk.truncate_from || from_index < raft->disk.truncate_from)
		raft->disk.truncate_from = from_index;
	raft_mark_dirty(raft, 0);
	if (raft->disk.dirty_from_index > raft_last_index(raft))
		raft->disk.dirty_from_index = 0;
	if (raft->disk.synced_index >= from_index)
		raft->disk.synced_index = from_index - 1;
	for (ptrdiff_t i = 0; i < arrlen(raft->disk.pending_syncs); i++)
		if (raft->disk.pending_syncs[i].last_index >= from_index)
			raft->disk.pending_syncs[i].last_index = from_index - 1;
}

void raft_drop_entries_until(struct raft *raft, uint64_t index)
{
	raft->log.base_term = raft_term_at(raft, index);
	for (uint64_t i = raft->log.base_index + 1; i <= index; i++)
		free(raft_entry_at(raft, i)->data);
	arrdeln(raft->log.entries, 0, (size_t)(index - raft->log.base_index));
	raft->log.base_index = index;
}

uint64_t raft_synced_match_index(const struct raft *raft)
{
	return raft->log.matched_index < raft->disk.synced_index ? raft->log.matched_index
								 : raft->disk.synced_index;
}

const struct raft_entry *raft_next_committed(struct raft *raft, uint64_t *index)
{
	while (raft->log.applied_index < raft->log.commit_index && !raft->snapshots.must_load_newest) {
		struct raft_entry *entry = raft_entry_at(raft, ++raft->log.applied_index);

		raft->log.applied_bytes += entry ? entry->len : 0;
		if (entry && entry->kind == RAFT_ENTRY_OPERATION) {
			*index = raft->log.applied_index;
			return entry;
		}
	}
	return NULL;
}
