/* Storage of a replica: the record that the next sync writes, and the syncs that have not been reported as
 * done. The caller writes the disk: CMD_PERSIST requests a sync, and raft_synced reports that it is done.
 * Invariants: syncs are done in the order in which they are requested; an entry counts as stored only once
 * its sync is done. */
#include <apr_strings.h>

#include "containers.h"
#include "raft_internal.h"

bool raft_is_sync_stalled(const struct raft *raft, int64_t now)
{
	return arrlen(raft->disk.pending_syncs) &&
	       now - raft->disk.pending_syncs[0].started_at_ms > RAFT_SYNC_STALL_MS;
}

static void add_dirty_entries(const struct raft *raft, struct persist *record, apr_pool_t *pool)
{
	uint64_t first_index = raft->disk.dirty_from_index, last_index = raft_last_index(raft);

	if (!first_index || first_index > last_index)
		return;
	record->entry_count = (size_t)(last_index - first_index + 1);
	record->entries = apr_palloc(pool, record->entry_count * sizeof *record->entries);
	for (size_t i = 0; i < record->entry_count; i++) {
		const struct raft_entry *entry = raft_entry_at(raft, first_index + i);

		record->entries[i] =
		    (struct persist_entry){ first_index + i, entry->term, entry->kind, entry->len,
					    apr_pmemdup(pool, entry->data, entry->len + 1) };
	}
}

static void add_dirty_snapshot(const struct raft *raft, struct persist *record, apr_pool_t *pool)
{
	const struct raft_stored_snapshot *snapshot = &raft->snapshots.newest;

	if (!raft->snapshots.newest_is_dirty)
		return;
	record->has_snapshot = 1;
	record->erase_deleted_bytes = raft->snapshots.drop_log_tail;
	record->snapshot_index = snapshot->index;
	record->snapshot_term = snapshot->term;
	record->drop_up_to_index = raft->log.base_index;
	record->members = apr_pmemdup(pool, snapshot->members, snapshot->members_len + 1);
	record->members_len = snapshot->members_len;
	record->data = apr_pmemdup(pool, snapshot->state, snapshot->state_len + 1);
	record->data_len = snapshot->state_len;
}

void raft_request_sync(struct raft *raft, int64_t now, struct command_list *out)
{
	struct persist *record;
	struct raft_pending_sync pending_sync;

	if (!raft->disk.dirty)
		return;
	record = apr_pcalloc(out->pool, sizeof *record);
	record->shard = raft->shard;
	record->seq = ++raft->disk.requested_sync_seq;
	record->term = raft->term;
	record->vote = raft->voted_for;
	record->truncate_from = raft->disk.truncate_from;
	add_dirty_entries(raft, record, out->pool);
	add_dirty_snapshot(raft, record, out->pool);
	pending_sync =
	    (struct raft_pending_sync){ raft->disk.requested_sync_seq, raft_last_index(raft), now };
	arrput(raft->disk.pending_syncs, pending_sync);
	raft->disk.dirty = raft->snapshots.newest_is_dirty = raft->snapshots.drop_log_tail = false;
	raft->disk.dirty_from_index = raft->disk.truncate_from = 0;
	command_add(out, CMD_PERSIST)->args.persist = record;
}

int raft_complete_syncs(struct raft *raft, uint64_t seq)
{
	uint64_t synced_index = raft->disk.synced_index;

	if (seq <= raft->disk.completed_sync_seq)
		return 0;
	raft->disk.completed_sync_seq = seq;
	while (arrlen(raft->disk.pending_syncs) && raft->disk.pending_syncs[0].seq <= seq) {
		synced_index = raft->disk.pending_syncs[0].last_index;
		arrdel(raft->disk.pending_syncs, 0);
	}
	raft->disk.synced_index = synced_index;
	return 1;
}
