/* Leader: transfers of snapshots to members whose next entry is no longer in the log. A window of
 * unacknowledged chunks is in flight to the member and advances with the acknowledgements. Without
 * progress the window is sent again, with increasing backoff. A transfer continues with the snapshot that
 * it began with, even if a newer one is taken. */
#include <apr_strings.h>
#include <string.h>

#include "raft_internal.h"

/* The minimum interval between two rewinds of a transfer: replies that were sent before a rewind are
 * outdated. */
enum { REWIND_INTERVAL_MS = 100 };

static uint64_t total_bytes(const struct raft_stored_snapshot *snapshot)
{
	return snapshot->members_len + snapshot->state_len;
}

static int64_t doubled_backoff_ms(int64_t resend_ms)
{
	return resend_ms * 2 < RAFT_RESEND_MAX_MS ? resend_ms * 2 : RAFT_RESEND_MAX_MS;
}

static void begin_transfer(struct raft *raft, struct raft_snapshot_transfer *transfer, int64_t now)
{
	int64_t resend_ms = transfer->resend_after_ms;

	memset(transfer, 0, sizeof *transfer);
	transfer->snapshot_index = raft->snapshots.newest.index;
	transfer->last_reply_at_ms = transfer->last_progress_at_ms = now;
	transfer->resend_after_ms = resend_ms ? resend_ms : RAFT_RESEND_INITIAL_MS;
}

void raft_end_transfer(struct raft *raft, struct raft_member *member)
{
	memset(&member->transfer, 0, sizeof member->transfer);
	raft_release_previous_snapshot(raft);
}

/* Copy a range of a snapshot's bytes. The packed members and the state are stored in two buffers, and a
 * range may span both. */
static void copy_snapshot_range(const struct raft_stored_snapshot *snapshot, uint64_t offset, uint8_t *target,
				size_t size)
{
	size_t members_size = 0;

	if (offset < snapshot->members_len) {
		members_size = snapshot->members_len - (size_t)offset;
		members_size = members_size < size ? members_size : size;
		memcpy(target, snapshot->members + offset, members_size);
	}
	if (size > members_size)
		memcpy(target + members_size,
		       snapshot->state + (offset + members_size - snapshot->members_len),
		       size - members_size);
}

static size_t send_chunk(struct raft *raft, const struct raft_member *member,
			 const struct raft_stored_snapshot *snapshot, struct command_list *out)
{
	struct Nl__SnapshotChunk *chunk = MESSAGE_NEW(out, Nl__SnapshotChunk, NL__SNAPSHOT_CHUNK__INIT);
	uint64_t remaining_bytes;

	chunk->term = raft->term;
	chunk->recipient_id = member->id;
	chunk->index = snapshot->index;
	chunk->index_term = snapshot->term;
	chunk->members_len = snapshot->members_len;
	chunk->total_bytes = total_bytes(snapshot);
	chunk->offset = member->transfer.sent_bytes;
	chunk->digest.data = apr_pmemdup(out->pool, snapshot->digest, RAFT_DIGEST_BYTES);
	chunk->digest.len = RAFT_DIGEST_BYTES;
	remaining_bytes = chunk->total_bytes - chunk->offset;
	chunk->data.len =
	    remaining_bytes < RAFT_SNAPSHOT_CHUNK_BYTES ? (size_t)remaining_bytes : RAFT_SNAPSHOT_CHUNK_BYTES;
	chunk->data.data = apr_palloc(out->pool, chunk->data.len + 1);
	copy_snapshot_range(snapshot, chunk->offset, chunk->data.data, chunk->data.len);
	command_send(out, member->addr, raft->shard, NL__MSG__BODY_SNAPSHOT_CHUNK)->snapshot_chunk = chunk;
	return chunk->data.len;
}

/* If the member has acknowledged nothing within the resend time-out, treat the chunks in flight as lost,
 * so that they are sent again. The time-out includes the time that a slow link takes to transmit the
 * chunks. */
static void resend_after_timeout(struct raft_snapshot_transfer *transfer, int64_t now)
{
	int64_t transmission_ms =
	    (int64_t)((transfer->sent_bytes - transfer->acked_bytes) / RAFT_RESEND_BYTES_PER_MS);

	if (transfer->sent_bytes == transfer->acked_bytes ||
	    now - transfer->last_progress_at_ms < transfer->resend_after_ms + transmission_ms)
		return;
	transfer->sent_bytes = transfer->acked_bytes;
	transfer->last_progress_at_ms = now;
	transfer->resend_after_ms = doubled_backoff_ms(transfer->resend_after_ms);
}

void raft_send_snapshot(struct raft *raft, struct raft_member *member, int64_t now, struct command_list *out)
{
	struct raft_snapshot_transfer *transfer = &member->transfer;
	struct raft_stored_snapshot *snapshot;
	uint64_t window_bytes;

	if (transfer->snapshot_index && now - transfer->last_reply_at_ms > RAFT_TRANSFER_IDLE_MS)
		transfer->snapshot_index = 0;
	snapshot = raft_find_snapshot(raft, transfer->snapshot_index);
	if (!snapshot) {
		begin_transfer(raft, transfer, now);
		raft_release_previous_snapshot(raft);
		snapshot = raft_find_snapshot(raft, transfer->snapshot_index);
	}
	if (!snapshot)
		return;
	resend_after_timeout(transfer, now);
	if (now < transfer->resume_at_ms)
		return;
	window_bytes = transfer->has_reply ? (uint64_t)RAFT_SNAPSHOT_WINDOW_CHUNKS * RAFT_SNAPSHOT_CHUNK_BYTES
					   : RAFT_SNAPSHOT_CHUNK_BYTES;
	if (transfer->sent_bytes == transfer->acked_bytes)
		transfer->last_progress_at_ms = now;
	while (transfer->sent_bytes < total_bytes(snapshot) &&
	       transfer->sent_bytes - transfer->acked_bytes < window_bytes)
		transfer->sent_bytes += send_chunk(raft, member, snapshot, out);
}

/* Continue at a smaller offset: the member holds fewer bytes than it had acknowledged, because it
 * restarted or received another transfer in between. */
static void rewind_transfer(struct raft_snapshot_transfer *transfer, uint64_t offset, int64_t now)
{
	if (transfer->rewound_at_ms && now - transfer->rewound_at_ms < REWIND_INTERVAL_MS)
		return;
	transfer->rewound_at_ms = now;
	transfer->acked_bytes = transfer->sent_bytes = offset;
	transfer->last_progress_at_ms = now;
}

/* The bytes that the member received do not match the digest: send the complete snapshot again after a
 * backoff, with a recomputed digest. */
static void restart_corrupt_transfer(struct raft *raft, struct raft_snapshot_transfer *transfer, int64_t now)
{
	if (now < transfer->resume_at_ms)
		return;
	if (transfer->snapshot_index == raft->snapshots.newest.index)
		raft->snapshots.newest.has_digest = false;
	else
		raft->snapshots.previous.has_digest = false;
	transfer->acked_bytes = transfer->sent_bytes = 0;
	transfer->resume_at_ms = now + transfer->resend_after_ms;
	transfer->resend_after_ms = doubled_backoff_ms(transfer->resend_after_ms);
}

/* Move the window to the offset that a member reports. */
static void update_window(struct raft *raft, struct raft_snapshot_transfer *transfer,
			  const struct Nl__SnapshotReply *reply, int64_t now)
{
	if (reply->corrupt) {
		restart_corrupt_transfer(raft, transfer, now);
	} else if (reply->offset > transfer->acked_bytes) {
		transfer->acked_bytes = reply->offset;
		transfer->sent_bytes = transfer->sent_bytes > transfer->acked_bytes ? transfer->sent_bytes
										    : transfer->acked_bytes;
		transfer->last_progress_at_ms = now;
		transfer->resend_after_ms = RAFT_RESEND_INITIAL_MS;
	} else if (reply->offset < transfer->acked_bytes) {
		rewind_transfer(transfer, reply->offset, now);
	}
}

/* The member has installed the snapshot and will have synced it soon: the entries after it are sent at
 * once, and the member's reply to them reports how far its log matches. */
static void finish_transfer(struct raft *raft, struct raft_member *member, uint64_t index)
{
	uint64_t match_index = index > member->progress.match_index ? index : member->progress.match_index;

	member->progress.next_index = member->progress.unacked_index = match_index + 1;
	member->progress.is_probing = true;
	raft_end_transfer(raft, member);
}

void raft_on_snapshot_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out)
{
	const struct Nl__SnapshotReply *reply = message->snapshot_reply;
	struct raft_member *member = raft_find_member(raft, message->id);
	struct raft_snapshot_transfer *transfer;
	struct raft_stored_snapshot *snapshot;

	if (reply->term > raft->term) {
		raft_become_follower(raft, reply->term, now);
		return;
	}
	if (raft->role != RAFT_LEADER || reply->term != raft->term || !member)
		return;
	member->progress.last_reply_at_ms = now;
	transfer = &member->transfer;
	if (reply->index != transfer->snapshot_index)
		return;
	snapshot = raft_find_snapshot(raft, transfer->snapshot_index);
	if (!snapshot || reply->transfer_id != raft_transfer_id(snapshot->digest) ||
	    reply->offset > total_bytes(snapshot))
		return;
	transfer->last_reply_at_ms = now;
	transfer->has_reply = true;
	update_window(raft, transfer, reply, now);
	if (transfer->acked_bytes < total_bytes(snapshot))
		raft_send_snapshot(raft, member, now, out);
	else
		finish_transfer(raft, member, snapshot->index);
}
