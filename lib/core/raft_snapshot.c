/* Snapshots: what stands for the log up to an index, sent in pieces to a member that is too far behind for
 * entries. Called by raft.c and raft_replication.c.
 *
 * The leader keeps a window of pieces under way to a member and moves it by what the member acknowledges;
 * silence makes it send the window again, less and less often. The member collects pieces in memory, in
 * order, and installs the snapshot once it is whole and its digest is right: state is replaced as a whole or
 * not at all, and commit never moves backwards. A restart forgets the pieces; a change of leader does not, as
 * long as the new one sends the same bytes. A leader that takes a newer snapshot in the meantime keeps the
 * one under way, one at the most, so that a slow link finishes. */
#include "raft_internal.h"

#include <apr_strings.h>
#include <nettle/sha2.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

enum {
	REWIND_INTERVAL_MS = 100
}; /* between two rewinds of a transfer: replies of before one say no more than it did */
enum { SMALL_LOG_BYTES = 64 << 10 }; /* so much behind the snapshot is sent to a new learner as entries */

/* A snapshot that can be sent: the newest one or the previous. */
struct source {
	uint64_t index, term;
	const uint8_t *members, *data;
	size_t members_len, len;
	const uint8_t *digest;
};

struct raft_incoming {
	uint64_t leader_term;
	uint64_t index, index_term, members_len, total_bytes, received_bytes;
	uint8_t digest[RAFT_DIGEST_BYTES];
	struct sha256_ctx sum; /* over what has been received */
	uint8_t *bytes;
	size_t capacity;
};

/* ---- digests ---- */

static void digest_begin(struct sha256_ctx *sum, uint64_t index, uint64_t index_term, uint64_t members_len)
{
	uint64_t head[3] = { index, index_term, members_len };
	uint8_t bytes[sizeof head];

	for (size_t i = 0; i < sizeof bytes; i++)
		bytes[i] = (uint8_t)(head[i / 8] >> (8 * (i % 8)));
	sha256_init(sum);
	sha256_update(sum, sizeof bytes, bytes);
}

static void digest_of(const struct source *source, uint8_t digest[RAFT_DIGEST_BYTES])
{
	struct sha256_ctx sum;

	digest_begin(&sum, source->index, source->term, source->members_len);
	sha256_update(&sum, source->members_len, source->members);
	sha256_update(&sum, source->len, source->data);
	sha256_digest(&sum, RAFT_DIGEST_BYTES, digest);
}

/* The number by which replies name a transfer. */
static uint64_t transfer_id(const uint8_t digest[RAFT_DIGEST_BYTES])
{
	uint64_t id;

	memcpy(&id, digest, sizeof id);
	return id;
}

/* ---- the leader's snapshots ---- */

static int transfers_of(const struct raft *raft, uint64_t index)
{
	int n = 0;

	for (int i = 0; i < raft->member_count && index; i++)
		n += raft->members[i].transfer.index == index;
	return n;
}

static void free_previous(struct raft *raft)
{
	free(raft->previous.data);
	free(raft->previous.members);
	memset(&raft->previous, 0, sizeof raft->previous);
}

void raft_release_previous(struct raft *raft)
{
	if (raft->previous.index && (raft->role != RAFT_LEADER || !transfers_of(raft, raft->previous.index)))
		free_previous(raft);
}

/* Make room for a newer snapshot. One that is being sent stays until it has been, unless an older one already
 * does: a transfer of it begins anew then. Nothing stays when old state has to be forgotten. */
static void retire_newest(struct raft *raft)
{
	raft_release_previous(raft);
	if (raft->drop_tail)
		free_previous(raft);
	if (!raft->drop_tail && !raft->previous.index && raft->role == RAFT_LEADER &&
	    transfers_of(raft, raft->snapshot_index)) {
		raft->previous = (struct raft_old_snapshot){ .index = raft->snapshot_index,
							     .term = raft->snapshot_term,
							     .data = raft->snapshot_data,
							     .members = raft->snapshot_members,
							     .data_len = raft->snapshot_len,
							     .members_len = raft->snapshot_members_len,
							     .has_digest = raft->snapshot_has_digest };
		memcpy(raft->previous.digest, raft->snapshot_digest, RAFT_DIGEST_BYTES);
		return;
	}
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].transfer.index == raft->snapshot_index)
			raft->members[i].transfer.index = 0;
	free(raft->snapshot_data);
	free(raft->snapshot_members);
}

/* Takes both buffers over. */
static void store_snapshot(struct raft *raft, uint64_t index, uint64_t term, uint8_t *members,
			   size_t members_len, uint8_t *data, size_t len)
{
	retire_newest(raft);
	raft->snapshot_data = data;
	raft->snapshot_len = len;
	raft->snapshot_members = members;
	raft->snapshot_members_len = members_len;
	raft->snapshot_index = index;
	raft->snapshot_term = term;
	raft->snapshot_has_digest = 0;
	raft->applied_bytes = 0;
	raft->snapshot_dirty = 1;
	raft_mark_dirty(raft, 0);
}

static int find_source(struct raft *raft, uint64_t index, struct source *source)
{
	if (index && index == raft->snapshot_index) {
		*source = (struct source){ index,
					   raft->snapshot_term,
					   raft->snapshot_members,
					   raft->snapshot_data,
					   raft->snapshot_members_len,
					   raft->snapshot_len,
					   raft->snapshot_digest };
		if (!raft->snapshot_has_digest)
			digest_of(source, raft->snapshot_digest);
		raft->snapshot_has_digest = 1;
		return 1;
	}
	if (index && index == raft->previous.index) {
		struct raft_old_snapshot *old = &raft->previous;

		*source =
		    (struct source){ index,         old->term,  old->members, old->data, old->members_len,
				     old->data_len, old->digest };
		if (!old->has_digest)
			digest_of(source, old->digest);
		old->has_digest = 1;
		return 1;
	}
	return 0;
}

/* ---- sending ---- */

static void begin_transfer(struct raft *raft, struct raft_snapshot_transfer *transfer, int64_t now)
{
	int64_t resend_ms = transfer->resend_ms;

	memset(transfer, 0, sizeof *transfer);
	transfer->index = raft->snapshot_index;
	transfer->last_reply_at_ms = transfer->progress_at_ms = now;
	transfer->resend_ms = resend_ms ? resend_ms : RAFT_RESEND_MS;
}

void raft_end_transfer(struct raft *raft, struct raft_member *member)
{
	memset(&member->transfer, 0, sizeof member->transfer);
	raft_release_previous(raft);
}

/* Members and state are two buffers; a piece may hold the end of one and the beginning of the other. */
static void copy_range(const struct source *source, uint64_t offset, uint8_t *target, size_t size)
{
	size_t members_part = 0;

	if (offset < source->members_len) {
		members_part = source->members_len - (size_t)offset;
		members_part = members_part < size ? members_part : size;
		memcpy(target, source->members + offset, members_part);
	}
	if (size > members_part)
		memcpy(target + members_part, source->data + (offset + members_part - source->members_len),
		       size - members_part);
}

static size_t send_chunk(struct raft *raft, const struct raft_member *member, const struct source *source,
			 struct command_list *out)
{
	struct Nl__SnapshotChunk *piece = MESSAGE_NEW(out, Nl__SnapshotChunk, NL__SNAPSHOT_CHUNK__INIT);
	uint64_t remaining_bytes;

	piece->term = raft->term;
	piece->recipient_id = member->id;
	piece->index = source->index;
	piece->index_term = source->term;
	piece->members_len = source->members_len;
	piece->total_bytes = source->members_len + source->len;
	piece->offset = member->transfer.sent_bytes;
	piece->digest.data = apr_pmemdup(out->pool, source->digest, RAFT_DIGEST_BYTES);
	piece->digest.len = RAFT_DIGEST_BYTES;
	remaining_bytes = piece->total_bytes - piece->offset;
	piece->data.len = remaining_bytes < RAFT_CHUNK_BYTES ? (size_t)remaining_bytes : RAFT_CHUNK_BYTES;
	piece->data.data = apr_palloc(out->pool, piece->data.len + 1);
	copy_range(source, piece->offset, piece->data.data, piece->data.len);
	command_send(out, member->addr, raft->shard, NL__MSG__BODY_SNAPSHOT_CHUNK)->snapshot_chunk = piece;
	return piece->data.len;
}

/* Silence: what is under way is taken for lost. */
static void resend_after_silence(struct raft_snapshot_transfer *transfer, int64_t now)
{
	int64_t carried_ms =
	    (int64_t)((transfer->sent_bytes - transfer->acked_bytes) / RAFT_RESEND_BYTES_PER_MS);

	if (transfer->sent_bytes == transfer->acked_bytes ||
	    now - transfer->progress_at_ms < transfer->resend_ms + carried_ms)
		return;
	transfer->sent_bytes = transfer->acked_bytes;
	transfer->progress_at_ms = now;
	transfer->resend_ms =
	    transfer->resend_ms * 2 < RAFT_RESEND_MAX_MS ? transfer->resend_ms * 2 : RAFT_RESEND_MAX_MS;
}

void raft_send_snapshot(struct raft *raft, struct raft_member *member, int64_t now, struct command_list *out)
{
	struct raft_snapshot_transfer *transfer = &member->transfer;
	struct source source;
	uint64_t window;

	if (transfer->index && now - transfer->last_reply_at_ms > RAFT_TRANSFER_IDLE_MS)
		transfer->index = 0;
	if (!find_source(raft, transfer->index, &source)) {
		begin_transfer(raft, transfer, now);
		raft_release_previous(raft);
		if (!find_source(raft, transfer->index, &source))
			return;
	}
	resend_after_silence(transfer, now);
	if (now < transfer->resume_at_ms)
		return;
	window = transfer->has_reply ? (uint64_t)RAFT_CHUNK_WINDOW * RAFT_CHUNK_BYTES : RAFT_CHUNK_BYTES;
	if (transfer->sent_bytes == transfer->acked_bytes)
		transfer->progress_at_ms = now;
	while (transfer->sent_bytes < source.members_len + source.len &&
	       transfer->sent_bytes - transfer->acked_bytes < window)
		transfer->sent_bytes += send_chunk(raft, member, &source, out);
}

/* The member holds less than it said: it fell, or took another transfer in between. */
static void rewind_transfer(struct raft_snapshot_transfer *transfer, uint64_t offset, int64_t now)
{
	if (transfer->rewound_at_ms && now - transfer->rewound_at_ms < REWIND_INTERVAL_MS)
		return;
	transfer->rewound_at_ms = now;
	transfer->acked_bytes = transfer->sent_bytes = offset;
	transfer->progress_at_ms = now;
}

/* The digest does not match what the member holds: all of it goes out again, and the digest is computed anew.
 */
static void restart_corrupt(struct raft *raft, struct raft_snapshot_transfer *transfer, int64_t now)
{
	if (now < transfer->resume_at_ms)
		return;
	if (transfer->index == raft->snapshot_index)
		raft->snapshot_has_digest = 0;
	else
		raft->previous.has_digest = 0;
	transfer->acked_bytes = transfer->sent_bytes = 0;
	transfer->resume_at_ms = now + transfer->resend_ms;
	transfer->resend_ms =
	    transfer->resend_ms * 2 < RAFT_RESEND_MAX_MS ? transfer->resend_ms * 2 : RAFT_RESEND_MAX_MS;
}

void raft_on_snapshot_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out)
{
	const struct Nl__SnapshotReply *reply = message->snapshot_reply;
	struct raft_member *who = raft_find_member(raft, message->id);
	struct raft_snapshot_transfer *transfer;
	struct source source;

	if (reply->term > raft->term) {
		raft_become_follower(raft, reply->term, now);
		return;
	}
	if (raft->role != RAFT_LEADER || reply->term != raft->term || !who)
		return;
	who->last_reply_at_ms = now;
	transfer = &who->transfer;
	if (reply->index != transfer->index || !find_source(raft, transfer->index, &source) ||
	    reply->transfer_id != transfer_id(source.digest) ||
	    reply->offset > source.members_len + source.len)
		return;
	transfer->last_reply_at_ms = now;
	transfer->has_reply = 1;
	if (reply->corrupt) {
		restart_corrupt(raft, transfer, now);
	} else if (reply->offset > transfer->acked_bytes) {
		transfer->acked_bytes = reply->offset;
		transfer->sent_bytes = transfer->sent_bytes > transfer->acked_bytes ? transfer->sent_bytes
										    : transfer->acked_bytes;
		transfer->progress_at_ms = now;
		transfer->resend_ms = RAFT_RESEND_MS;
	} else if (reply->offset < transfer->acked_bytes) {
		rewind_transfer(transfer, reply->offset, now);
	}
	if (transfer->acked_bytes < source.members_len + source.len) {
		raft_send_snapshot(raft, who, now, out);
		return;
	}
	/* Installed, and synced soon: what comes after it goes out at once, and the member's own reply says
	 * what it holds. */
	who->next_index = source.index > who->match_index ? source.index + 1 : who->match_index + 1;
	who->unacked_index = who->next_index;
	who->probing = 1;
	raft_end_transfer(raft, who);
}

/* ---- receiving ---- */

void raft_drop_incoming(struct raft *raft)
{
	if (raft->incoming)
		free(raft->incoming->bytes);
	free(raft->incoming);
	raft->incoming = NULL;
}

static void begin_incoming(struct raft *raft, const struct Nl__SnapshotChunk *piece)
{
	struct raft_incoming *incoming = calloc(1, sizeof *incoming);

	if (!incoming)
		abort();
	raft_drop_incoming(raft);
	raft->incoming = incoming;
	incoming->index = piece->index;
	incoming->index_term = piece->index_term;
	incoming->members_len = piece->members_len;
	incoming->total_bytes = piece->total_bytes;
	memcpy(incoming->digest, piece->digest.data, RAFT_DIGEST_BYTES);
	digest_begin(&incoming->sum, incoming->index, incoming->index_term, incoming->members_len);
}

static int same_transfer(const struct raft_incoming *incoming, const struct Nl__SnapshotChunk *piece)
{
	return incoming->index == piece->index && incoming->index_term == piece->index_term &&
	       incoming->members_len == piece->members_len && incoming->total_bytes == piece->total_bytes &&
	       !memcmp(incoming->digest, piece->digest.data, RAFT_DIGEST_BYTES);
}

/* The transfer that a piece belongs to, begun when it is a new one; NULL when it is older than the one under
 * way. */
static struct raft_incoming *incoming_of(struct raft *raft, const struct Nl__SnapshotChunk *piece)
{
	struct raft_incoming *incoming = raft->incoming;

	if (!incoming || !same_transfer(incoming, piece)) {
		if (incoming && incoming->leader_term == piece->term && piece->index < incoming->index)
			return NULL;
		begin_incoming(raft, piece);
	}
	raft->incoming->leader_term = piece->term;
	return raft->incoming;
}

static void add_bytes(struct raft_incoming *incoming, const struct Nl__SnapshotChunk *piece)
{
	size_t skip = (size_t)(incoming->received_bytes - piece->offset), n = piece->data.len - skip;

	if (incoming->received_bytes + n > incoming->capacity) {
		size_t doubled = incoming->capacity * 2 > incoming->received_bytes + n
				     ? incoming->capacity * 2
				     : (size_t)incoming->received_bytes + n;

		incoming->capacity =
		    doubled < incoming->total_bytes ? doubled : (size_t)incoming->total_bytes;
		incoming->bytes = realloc(incoming->bytes, incoming->capacity + 1);
		if (!incoming->bytes)
			abort();
	}
	memcpy(incoming->bytes + incoming->received_bytes, piece->data.data + skip, n);
	sha256_update(&incoming->sum, n, incoming->bytes + incoming->received_bytes);
	incoming->received_bytes += n;
}

/* The digest is right: the snapshot takes the place of all state and of the whole log. */
static void install(struct raft *raft, struct raft_incoming *incoming)
{
	size_t members_len = (size_t)incoming->members_len, len = (size_t)incoming->total_bytes - members_len;
	uint8_t *members = raft_copy_bytes(incoming->bytes, members_len);

	if (raft_last_index(raft) > raft->base_index)
		raft_truncate_from(raft, raft->base_index + 1);
	memmove(incoming->bytes, incoming->bytes + members_len, len);
	store_snapshot(raft, incoming->index, incoming->index_term, members, members_len, incoming->bytes,
		       len);
	incoming->bytes = NULL;
	raft->base_index = incoming->index;
	raft->base_term = incoming->index_term;
	raft->commit_index = raft->applied_index = raft->matched_index = incoming->index;
	raft->snapshot_to_load = 1;
	raft_reload_members(raft);
}

static int digest_matches(struct raft_incoming *incoming)
{
	uint8_t digest[RAFT_DIGEST_BYTES];

	sha256_digest(&incoming->sum, sizeof digest, digest);
	return !memcmp(digest, incoming->digest, sizeof digest);
}

static void send_snapshot_reply(struct raft *raft, const struct Nl__Msg *message, uint64_t offset,
				int corrupt, struct command_list *out)
{
	struct Nl__SnapshotReply *reply = MESSAGE_NEW(out, Nl__SnapshotReply, NL__SNAPSHOT_REPLY__INIT);

	reply->term = raft->term;
	reply->index = message->snapshot_chunk->index;
	reply->transfer_id = transfer_id(message->snapshot_chunk->digest.data);
	reply->offset = offset;
	reply->corrupt = corrupt;
	command_send(out, message->addr, raft->shard, NL__MSG__BODY_SNAPSHOT_REPLY)->snapshot_reply = reply;
}

static void send_synced(struct raft *raft, const struct Nl__Msg *message, struct command_list *out)
{
	uint64_t match = raft->matched_index < raft->synced_index ? raft->matched_index : raft->synced_index;

	raft_send_append_reply(raft, message->addr, 1, match, raft->heartbeat_round, out);
}

/* The log holds the snapshot's last entry, so it matches the leader's up to there: nothing of it may be
 * dropped, since what comes after may have been acknowledged. */
static int log_covers(const struct raft *raft, const struct Nl__SnapshotChunk *piece)
{
	return piece->index <= raft_last_index(raft) && raft_term_at(raft, piece->index) == piece->index_term;
}

void raft_on_snapshot_chunk(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			    struct command_list *out)
{
	const struct Nl__SnapshotChunk *piece = message->snapshot_chunk;
	struct raft_incoming *incoming;

	if (!raft_accept_leader(raft, message, piece->term, now)) {
		raft_send_append_reply(raft, message->addr, 0, 0, 0, out);
		return;
	}
	if (piece->index > raft->commit_index && log_covers(raft, piece)) {
		raft->commit_index = piece->index;
		raft->matched_index = raft->matched_index > piece->index ? raft->matched_index : piece->index;
	}
	if (piece->index <= raft->commit_index) {
		send_synced(raft, message, out);
		return;
	}
	incoming = incoming_of(raft, piece);
	if (!incoming)
		return;
	if (piece->offset <= incoming->received_bytes &&
	    piece->offset + piece->data.len > incoming->received_bytes)
		add_bytes(incoming, piece);
	if (incoming->received_bytes < incoming->total_bytes) {
		send_snapshot_reply(raft, message, incoming->received_bytes, 0, out);
		return;
	}
	if (!digest_matches(incoming) ||
	    !raft_members_valid(incoming->bytes, (size_t)incoming->members_len)) {
		raft_drop_incoming(raft);
		send_snapshot_reply(raft, message, 0, 1, out);
		return;
	}
	install(raft, incoming);
	raft_drop_incoming(raft);
	send_snapshot_reply(raft, message, piece->total_bytes, 0, out);
}

/* ---- the state machine's own snapshots ---- */

/* A learner that holds nothing yet: it is sent the state as it is now rather than an old one and the long log
 * behind it. */
static int has_new_learner(const struct raft *raft)
{
	for (int i = 0; i < raft->member_count && raft->role == RAFT_LEADER; i++) {
		const struct raft_member *member = &raft->members[i];

		if (!member->voter && !member->match_index && !member->transfer.index)
			return 1;
	}
	return 0;
}

int raft_wants_snapshot(const struct raft *raft)
{
	size_t bytes =
	    raft->snapshot_len > RAFT_SNAPSHOT_LOG_BYTES ? raft->snapshot_len : RAFT_SNAPSHOT_LOG_BYTES;

	return raft->applied_index >= raft->snapshot_index + RAFT_SNAPSHOT_ENTRIES ||
	       raft->applied_bytes >= bytes ||
	       (raft->applied_bytes > raft->snapshot_len + SMALL_LOG_BYTES && has_new_learner(raft));
}

/* Leader: the oldest snapshot that a member is receiving; entries after it are wanted soon. */
static uint64_t oldest_transfer(const struct raft *raft)
{
	uint64_t oldest = UINT64_MAX;

	for (int i = 0; i < raft->member_count && raft->role == RAFT_LEADER; i++)
		if (raft->members[i].transfer.index && raft->members[i].transfer.index < oldest)
			oldest = raft->members[i].transfer.index;
	return oldest;
}

/* The newest index that goes from the log: entries behind it are kept for members that lag, within bounds. */
static uint64_t tail_begin(const struct raft *raft)
{
	uint64_t drop = raft->applied_index, oldest = oldest_transfer(raft);
	size_t bytes = 0;

	while (!raft->drop_tail && drop > raft->base_index &&
	       (raft->applied_index - drop < RAFT_LOG_TAIL || drop > oldest)) {
		bytes += raft_entry_at(raft, drop)->len;
		if (bytes > RAFT_LOG_TAIL_BYTES)
			break;
		drop--;
	}
	return drop < raft->synced_index ? drop : raft->synced_index;
}

void raft_snapshot(struct raft *raft, const uint8_t *data, size_t size)
{
	const uint8_t *members;
	size_t members_len;
	uint64_t drop;

	raft_members_in_force(raft, raft->applied_index, &members, &members_len);
	store_snapshot(raft, raft->applied_index, raft_term_at(raft, raft->applied_index),
		       raft_copy_bytes(members, members_len), members_len, raft_copy_bytes(data, size), size);
	drop = tail_begin(raft);
	if (drop <= raft->base_index)
		return;
	raft->base_term = raft_term_at(raft, drop);
	for (uint64_t i = raft->base_index + 1; i <= drop; i++)
		free(raft_entry_at(raft, i)->data);
	arrdeln(raft->log, 0, (size_t)(drop - raft->base_index));
	raft->base_index = drop;
}
