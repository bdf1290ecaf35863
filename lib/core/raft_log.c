/* The replicated log in memory: entries behind the snapshot base, their terms, and what has to go to disk.
 * Called by the other raft modules. Indices are dense: log[0] is entry base + 1, and no entry at or below commit is ever cut. */
#include "raft_internal.h"

#include <stdlib.h>
#include <string.h>

#include "ds.h"

uint64_t raft_last_index(const struct raft *raft) { return raft->base + (uint64_t)arrlen(raft->log); }

struct raft_entry *raft_entry_at(const struct raft *raft, uint64_t i)
{
	return i > raft->base && i <= raft_last_index(raft) ? &raft->log[i - raft->base - 1] : NULL;
}

uint64_t raft_term_at(const struct raft *raft, uint64_t i)
{
	struct raft_entry *e = raft_entry_at(raft, i);

	return e ? e->term : i == raft->base ? raft->base_term : i == raft->snapshot_index ? raft->snapshot_term : 0;
}

uint8_t *raft_copy_bytes(const uint8_t *d, size_t n)
{
	uint8_t *c = malloc(n + 1);

	if (!c)
		abort();
	if (n)
		memcpy(c, d, n);
	return c;
}

void raft_mark_dirty(struct raft *raft, uint64_t from)
{
	raft->dirty = 1;
	if (from && (!raft->dirty_from || from < raft->dirty_from))
		raft->dirty_from = from;
}

void raft_append_entry(struct raft *raft, uint64_t term, uint32_t kind, const uint8_t *d, size_t n)
{
	struct raft_entry e = { term, kind, n, raft_copy_bytes(d, n) };

	arrput(raft->log, e);
	raft_mark_dirty(raft, raft_last_index(raft));
}

void raft_truncate_from(struct raft *raft, uint64_t from)
{
	for (uint64_t i = from; i <= raft_last_index(raft); i++)
		free(raft_entry_at(raft, i)->data);
	arrsetlen(raft->log, (size_t)(from - raft->base - 1));
	if (!raft->cut || from < raft->cut)
		raft->cut = from;
	raft_mark_dirty(raft, 0);
	if (raft->dirty_from > raft_last_index(raft))
		raft->dirty_from = 0;
	if (raft->synced_index >= from)
		raft->synced_index = from - 1;
	for (ptrdiff_t i = 0; i < arrlen(raft->marks); i++)
		if (raft->marks[i].last >= from)
			raft->marks[i].last = from - 1;
}

const struct raft_entry *raft_next_committed(struct raft *raft, uint64_t *index)
{
	while (raft->applied < raft->commit && !raft->snapshot_to_load) {
		struct raft_entry *e = raft_entry_at(raft, ++raft->applied);

		raft->applied_bytes += e ? e->len : 0;
		if (e && e->kind == RAFT_ENTRY_OPERATION) {
			*index = raft->applied;
			return e;
		}
	}
	return NULL;
}
