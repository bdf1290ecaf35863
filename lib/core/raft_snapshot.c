/* The snapshots that this replica stores in memory. A snapshot replaces the log up to an index; it
 * contains the state of the state machine and the members in force at that index. The newest snapshot is
 * kept. The leader also keeps the previous one while a member is still receiving it, so that transfers
 * over slow links can finish. Invariants: a snapshot is installed completely or not at all, and only log
 * entries that the newest snapshot includes and the disk has synced are dropped. */
#include <stdlib.h>
#include <string.h>

#include "raft_internal.h"

/* A new learner receives up to this many bytes of log after the snapshot as entries. If the log is longer, a
 * new snapshot is taken for it. */
enum { NEW_LEARNER_LOG_BYTES = 64 << 10 };

/* ---- digests ---- */

void raft_digest_begin(struct sha256_ctx *sum, uint64_t index, uint64_t index_term, uint64_t members_len)
{
	uint64_t header[3] = { index, index_term, members_len };
	uint8_t bytes[sizeof header];

	for (size_t i = 0; i < sizeof bytes; i++)
		bytes[i] = (uint8_t)(header[i / 8] >> (8 * (i % 8)));
	sha256_init(sum);
	sha256_update(sum, sizeof bytes, bytes);
}

static void compute_digest(struct raft_stored_snapshot *snapshot)
{
	struct sha256_ctx sum;

	raft_digest_begin(&sum, snapshot->index, snapshot->term, snapshot->members_len);
	sha256_update(&sum, snapshot->members_len, snapshot->members);
	sha256_update(&sum, snapshot->state_len, snapshot->state);
	sha256_digest(&sum, RAFT_DIGEST_BYTES, snapshot->digest);
	snapshot->has_digest = true;
}

uint64_t raft_transfer_id(const uint8_t digest[RAFT_DIGEST_BYTES])
{
	uint64_t id;

	memcpy(&id, digest, sizeof id);
	return id;
}

/* ---- stored snapshots ---- */

void raft_load_snapshot(struct raft *raft, const struct raft_saved *saved)
{
	struct raft_stored_snapshot *newest = &raft->snapshots.newest;

	if (!saved || !saved->snapshot_index) {
		newest->state = raft_copy_bytes(NULL, 0);
		newest->members = raft_copy_bytes(NULL, 0);
		return;
	}
	newest->state = raft_copy_bytes(saved->state, saved->state_len);
	newest->state_len = saved->state_len;
	newest->members = raft_copy_bytes(saved->members, saved->members_len);
	newest->members_len = saved->members_len;
	newest->index = saved->snapshot_index;
	newest->term = saved->snapshot_term;
	raft->snapshots.must_load_newest = true;
}

static void free_snapshot(struct raft_stored_snapshot *snapshot)
{
	free(snapshot->state);
	free(snapshot->members);
	memset(snapshot, 0, sizeof *snapshot);
}

void raft_free_snapshots(struct raft *raft)
{
	free_snapshot(&raft->snapshots.newest);
	free_snapshot(&raft->snapshots.previous);
}

static bool is_being_sent(const struct raft *raft, uint64_t index)
{
	for (int i = 0; i < raft->group.member_count && index; i++)
		if (raft->group.members[i].transfer.snapshot_index == index)
			return true;
	return false;
}

void raft_release_previous_snapshot(struct raft *raft)
{
	uint64_t index = raft->snapshots.previous.index;

	if (index && (raft->role != RAFT_LEADER || !is_being_sent(raft, index)))
		free_snapshot(&raft->snapshots.previous);
}

/* Make room for a newer snapshot. If the newest one is being sent, it becomes the previous one until its
 * transfers have finished. If an older one already is the previous one, the newest is freed and its
 * transfers restart. With drop_log_tail, which means that purged state must be deleted, neither is kept. */
static void retire_newest_snapshot(struct raft *raft)
{
	struct raft_snapshots *snapshots = &raft->snapshots;

	raft_release_previous_snapshot(raft);
	if (snapshots->drop_log_tail)
		free_snapshot(&snapshots->previous);
	if (!snapshots->drop_log_tail && !snapshots->previous.index && raft->role == RAFT_LEADER &&
	    is_being_sent(raft, snapshots->newest.index)) {
		snapshots->previous = snapshots->newest;
		return;
	}
	for (int i = 0; i < raft->group.member_count; i++)
		if (raft->group.members[i].transfer.snapshot_index == snapshots->newest.index)
			raft->group.members[i].transfer.snapshot_index = 0;
	free(snapshots->newest.state);
	free(snapshots->newest.members);
}

void raft_store_snapshot(struct raft *raft, const struct raft_stored_snapshot *snapshot)
{
	retire_newest_snapshot(raft);
	raft->snapshots.newest = *snapshot;
	raft->snapshots.newest.has_digest = false;
	raft->log.applied_bytes = 0;
	raft->snapshots.newest_is_dirty = true;
	raft_mark_dirty(raft, 0);
}

struct raft_stored_snapshot *raft_find_snapshot(struct raft *raft, uint64_t index)
{
	struct raft_stored_snapshot *snapshot = NULL;

	if (index && index == raft->snapshots.newest.index)
		snapshot = &raft->snapshots.newest;
	else if (index && index == raft->snapshots.previous.index)
		snapshot = &raft->snapshots.previous;
	if (snapshot && !snapshot->has_digest)
		compute_digest(snapshot);
	return snapshot;
}

/* ---- the state machine's own snapshots ---- */

/* Whether the leader has a learner with an empty log. It is sent a snapshot of the current state instead
 * of an old snapshot and a long log after it. */
static bool has_new_learner(const struct raft *raft)
{
	for (int i = 0; i < raft->group.member_count && raft->role == RAFT_LEADER; i++) {
		const struct raft_member *member = &raft->group.members[i];

		if (!member->voter && !member->progress.match_index && !member->transfer.snapshot_index)
			return true;
	}
	return false;
}

bool raft_needs_snapshot(const struct raft *raft)
{
	size_t snapshot_bytes = raft->snapshots.newest.state_len;
	size_t log_bytes =
	    snapshot_bytes > RAFT_SNAPSHOT_LOG_BYTES ? snapshot_bytes : RAFT_SNAPSHOT_LOG_BYTES;

	return raft->log.applied_index >= raft->snapshots.newest.index + RAFT_SNAPSHOT_ENTRIES ||
	       raft->log.applied_bytes >= log_bytes ||
	       (raft->log.applied_bytes > snapshot_bytes + NEW_LEARNER_LOG_BYTES && has_new_learner(raft));
}

/* Leader: returns the index of the oldest snapshot that a member is receiving, which will need the entries
 * after it next. UINT64_MAX: there is no transfer. */
static uint64_t oldest_transfer_index(const struct raft *raft)
{
	uint64_t oldest_index = UINT64_MAX;

	for (int i = 0; i < raft->group.member_count && raft->role == RAFT_LEADER; i++)
		if (raft->group.members[i].transfer.snapshot_index &&
		    raft->group.members[i].transfer.snapshot_index < oldest_index)
			oldest_index = raft->group.members[i].transfer.snapshot_index;
	return oldest_index;
}

/* Returns the index up to which the log is dropped. Up to RAFT_LOG_TAIL_ENTRIES applied entries, and those
 * after the oldest transfer, are kept for members that lag behind, but no more than RAFT_LOG_TAIL_BYTES. */
static uint64_t newest_index_to_drop(const struct raft *raft)
{
	uint64_t drop_index = raft->log.applied_index, oldest_transfer = oldest_transfer_index(raft);
	size_t kept_bytes = 0;

	while (
	    !raft->snapshots.drop_log_tail && drop_index > raft->log.base_index &&
	    (raft->log.applied_index - drop_index < RAFT_LOG_TAIL_ENTRIES || drop_index > oldest_transfer)) {
		kept_bytes += raft_entry_at(raft, drop_index)->len;
		if (kept_bytes > RAFT_LOG_TAIL_BYTES)
			break;
		drop_index--;
	}
	return drop_index < raft->disk.synced_index ? drop_index : raft->disk.synced_index;
}

void raft_take_snapshot(struct raft *raft, const uint8_t *data, size_t size)
{
	struct raft_stored_snapshot snapshot = { .index = raft->log.applied_index, .state_len = size };
	const uint8_t *members;
	uint64_t drop_index;

	raft_find_members_at(raft, snapshot.index, &members, &snapshot.members_len);
	snapshot.term = raft_term_at(raft, snapshot.index);
	snapshot.members = raft_copy_bytes(members, snapshot.members_len);
	snapshot.state = raft_copy_bytes(data, size);
	raft_store_snapshot(raft, &snapshot);
	drop_index = newest_index_to_drop(raft);
	if (drop_index > raft->log.base_index)
		raft_drop_entries_until(raft, drop_index);
}
