/* Member: reception of a snapshot from the leader. Chunks are collected in memory, in order, and the
 * snapshot is installed once it is complete and its digest matches. Invariants: a snapshot is installed
 * completely or not at all, and the commit index never decreases. Received chunks are lost when the
 * process restarts. They are kept when the leader changes, if the new leader sends a snapshot with the
 * same digest. */
#include <stdlib.h>
#include <string.h>

#include "raft_internal.h"

/* A snapshot of which some chunks have been received. */
struct raft_incoming {
	uint64_t leader_term; /* term of the leader that sent the latest chunk */
	uint64_t index;
	uint64_t index_term;
	uint64_t members_len; /* number of bytes of the packed members, with which the snapshot begins */
	uint64_t total_bytes;
	uint64_t received_bytes;
	uint8_t digest[RAFT_DIGEST_BYTES]; /* digest that the leader announced in the chunks */
	struct sha256_ctx sha256;          /* SHA-256 state over the bytes received so far */
	uint8_t *bytes;
	size_t capacity;
};

void raft_drop_incoming_snapshot(struct raft *raft)
{
	if (raft->snapshots.incoming)
		free(raft->snapshots.incoming->bytes);
	free(raft->snapshots.incoming);
	raft->snapshots.incoming = NULL;
}

static void begin_incoming(struct raft *raft, const struct Nl__SnapshotChunk *chunk)
{
	struct raft_incoming *incoming = calloc(1, sizeof *incoming);

	if (!incoming)
		abort();
	raft_drop_incoming_snapshot(raft);
	raft->snapshots.incoming = incoming;
	incoming->index = chunk->index;
	incoming->index_term = chunk->index_term;
	incoming->members_len = chunk->members_len;
	incoming->total_bytes = chunk->total_bytes;
	memcpy(incoming->digest, chunk->digest.data, RAFT_DIGEST_BYTES);
	raft_digest_begin(&incoming->sha256, incoming->index, incoming->index_term, incoming->members_len);
}

static bool is_same_transfer(const struct raft_incoming *incoming, const struct Nl__SnapshotChunk *chunk)
{
	return incoming->index == chunk->index && incoming->index_term == chunk->index_term &&
	       incoming->members_len == chunk->members_len && incoming->total_bytes == chunk->total_bytes &&
	       !memcmp(incoming->digest, chunk->digest.data, RAFT_DIGEST_BYTES);
}

/* Returns the transfer to which a chunk belongs, and begins it if it is new. Returns NULL if the chunk
 * belongs to an older snapshot of the same leader than the one that is being received. */
static struct raft_incoming *find_or_begin_incoming(struct raft *raft, const struct Nl__SnapshotChunk *chunk)
{
	struct raft_incoming *incoming = raft->snapshots.incoming;

	if (!incoming || !is_same_transfer(incoming, chunk)) {
		if (incoming && incoming->leader_term == chunk->term && chunk->index < incoming->index)
			return NULL;
		begin_incoming(raft, chunk);
	}
	raft->snapshots.incoming->leader_term = chunk->term;
	return raft->snapshots.incoming;
}

static void reserve_capacity(struct raft_incoming *incoming, size_t needed)
{
	size_t doubled = incoming->capacity * 2 > needed ? incoming->capacity * 2 : needed;

	if (needed <= incoming->capacity)
		return;
	incoming->capacity = doubled < incoming->total_bytes ? doubled : (size_t)incoming->total_bytes;
	incoming->bytes = realloc(incoming->bytes, incoming->capacity + 1);
	if (!incoming->bytes)
		abort();
}

static void append_chunk(struct raft_incoming *incoming, const struct Nl__SnapshotChunk *chunk)
{
	size_t duplicate_bytes = (size_t)(incoming->received_bytes - chunk->offset);
	size_t new_bytes = chunk->data.len - duplicate_bytes;

	reserve_capacity(incoming, (size_t)incoming->received_bytes + new_bytes);
	memcpy(incoming->bytes + incoming->received_bytes, chunk->data.data + duplicate_bytes, new_bytes);
	sha256_update(&incoming->sha256, new_bytes, incoming->bytes + incoming->received_bytes);
	incoming->received_bytes += new_bytes;
}

/* Install a complete snapshot whose digest matches. It replaces the state and the entire log. */
static void install_snapshot(struct raft *raft, struct raft_incoming *incoming)
{
	size_t members_len = (size_t)incoming->members_len;
	struct raft_stored_snapshot snapshot = {
		.index = incoming->index,
		.term = incoming->index_term,
		.state = incoming->bytes,
		.members = raft_copy_bytes(incoming->bytes, members_len),
		.state_len = (size_t)incoming->total_bytes - members_len,
		.members_len = members_len,
	};

	if (raft_last_index(raft) > raft->log.base_index)
		raft_truncate_entries_from(raft, raft->log.base_index + 1);
	memmove(snapshot.state, incoming->bytes + members_len, snapshot.state_len);
	incoming->bytes = NULL; /* now owned by the snapshot */
	raft_store_snapshot(raft, &snapshot);
	raft->log.base_index = incoming->index;
	raft->log.base_term = incoming->index_term;
	raft->log.commit_index = raft->log.applied_index = raft->log.matched_index = incoming->index;
	raft->snapshots.must_load_newest = true;
	raft_reload_members(raft);
}

static int digest_matches(struct raft_incoming *incoming)
{
	uint8_t digest[RAFT_DIGEST_BYTES];

	sha256_digest(&incoming->sha256, sizeof digest, digest);
	return !memcmp(digest, incoming->digest, sizeof digest);
}

static void send_snapshot_reply(struct raft *raft, const struct Nl__Msg *message, uint64_t offset,
				int corrupt, struct command_list *out)
{
	struct Nl__SnapshotReply *reply = MESSAGE_NEW(out, Nl__SnapshotReply, NL__SNAPSHOT_REPLY__INIT);

	reply->term = raft->term;
	reply->index = message->snapshot_chunk->index;
	reply->transfer_id = raft_transfer_id(message->snapshot_chunk->digest.data);
	reply->offset = offset;
	reply->corrupt = corrupt;
	command_send(out, message->addr, raft->shard, NL__MSG__BODY_SNAPSHOT_REPLY)->snapshot_reply = reply;
}

/* Whether the log holds the last entry that the snapshot includes. If so, it matches the leader's log up
 * to that entry, and no entry may be dropped, because entries after it may have been acknowledged. */
static int log_holds_snapshot_entry(const struct raft *raft, const struct Nl__SnapshotChunk *chunk)
{
	return chunk->index <= raft_last_index(raft) && raft_term_at(raft, chunk->index) == chunk->index_term;
}

void raft_on_snapshot_chunk(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out)
{
	const struct Nl__SnapshotChunk *chunk = message->snapshot_chunk;
	struct raft_incoming *incoming;

	if (!raft_accept_leader(raft, message, chunk->term, now)) {
		raft_send_append_reply(raft, message->addr, 0, 0, 0, out);
		return;
	}
	if (chunk->index > raft->log.commit_index && log_holds_snapshot_entry(raft, chunk)) {
		raft->log.commit_index = chunk->index;
		raft->log.matched_index =
		    raft->log.matched_index > chunk->index ? raft->log.matched_index : chunk->index;
	}
	if (chunk->index <= raft->log.commit_index) {
		raft_send_append_reply(raft, message->addr, 1, raft_synced_match_index(raft),
				       raft->lease.heartbeat_round, out);
		return;
	}
	incoming = find_or_begin_incoming(raft, chunk);
	if (!incoming)
		return;
	if (chunk->offset <= incoming->received_bytes &&
	    chunk->offset + chunk->data.len > incoming->received_bytes)
		append_chunk(incoming, chunk);
	if (incoming->received_bytes < incoming->total_bytes) {
		send_snapshot_reply(raft, message, incoming->received_bytes, 0, out);
		return;
	}
	if (!digest_matches(incoming) ||
	    !raft_members_valid(incoming->bytes, (size_t)incoming->members_len)) {
		raft_drop_incoming_snapshot(raft);
		send_snapshot_reply(raft, message, 0, 1, out);
		return;
	}
	install_snapshot(raft, incoming);
	raft_drop_incoming_snapshot(raft);
	send_snapshot_reply(raft, message, chunk->total_bytes, 0, out);
}
