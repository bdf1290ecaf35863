/* Snapshots: what stands for the log up to an index, sent in pieces to a member that is too far behind for entries.
 * Called by raft.c and raft_replication.c.
 *
 * The leader keeps a window of pieces under way to a member and moves it by what the member acknowledges; silence makes it
 * send the window again, less and less often. The member collects pieces in memory, in order, and installs the snapshot
 * once it is whole and its digest is right: state is replaced as a whole or not at all, and commit never moves backwards.
 * A restart forgets the pieces; a change of leader does not, as long as the new one sends the same bytes. A leader that takes
 * a newer snapshot in the meantime keeps the one under way, one at the most, so that a slow link finishes. */
#include "raft_internal.h"

#include <apr_strings.h>
#include <nettle/sha2.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

enum { REWIND_INTERVAL_MS = 100 };   /* between two rewinds of a transfer: replies of before one say no more than it did */
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
	uint64_t index, index_term, members_len, total, received;
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

static void digest_of(const struct source *s, uint8_t digest[RAFT_DIGEST_BYTES])
{
	struct sha256_ctx sum;

	digest_begin(&sum, s->index, s->term, s->members_len);
	sha256_update(&sum, s->members_len, s->members);
	sha256_update(&sum, s->len, s->data);
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

/* Make room for a newer snapshot. One that is being sent stays until it has been, unless an older one already does: a
 * transfer of it begins anew then. Nothing stays when old state has to be forgotten. */
static void retire_newest(struct raft *raft)
{
	raft_release_previous(raft);
	if (raft->drop_tail)
		free_previous(raft);
	if (!raft->drop_tail && !raft->previous.index && raft->role == RAFT_LEADER && transfers_of(raft, raft->snapshot_index)) {
		raft->previous = (struct raft_old_snapshot){ .index = raft->snapshot_index,
							     .term = raft->snapshot_term,
							     .data = raft->snap,
							     .members = raft->snapshot_members,
							     .len = raft->snapshot_len,
							     .members_len = raft->snapshot_members_len,
							     .has_digest = raft->snapshot_has_digest };
		memcpy(raft->previous.digest, raft->snapshot_digest, RAFT_DIGEST_BYTES);
		return;
	}
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].transfer.index == raft->snapshot_index)
			raft->members[i].transfer.index = 0;
	free(raft->snap);
	free(raft->snapshot_members);
}

/* Takes both buffers over. */
static void store_snapshot(struct raft *raft, uint64_t index, uint64_t term, uint8_t *members, size_t members_len, uint8_t *data,
			   size_t len)
{
	retire_newest(raft);
	raft->snap = data;
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

static int find_source(struct raft *raft, uint64_t index, struct source *s)
{
	if (index && index == raft->snapshot_index) {
		*s = (struct source){ index,
				      raft->snapshot_term,
				      raft->snapshot_members,
				      raft->snap,
				      raft->snapshot_members_len,
				      raft->snapshot_len,
				      raft->snapshot_digest };
		if (!raft->snapshot_has_digest)
			digest_of(s, raft->snapshot_digest);
		raft->snapshot_has_digest = 1;
		return 1;
	}
	if (index && index == raft->previous.index) {
		struct raft_old_snapshot *old = &raft->previous;

		*s = (struct source){ index, old->term, old->members, old->data, old->members_len, old->len, old->digest };
		if (!old->has_digest)
			digest_of(s, old->digest);
		old->has_digest = 1;
		return 1;
	}
	return 0;
}

/* ---- sending ---- */

static void begin_transfer(struct raft *raft, struct raft_snapshot_transfer *t, int64_t now)
{
	int64_t resend_ms = t->resend_ms;

	memset(t, 0, sizeof *t);
	t->index = raft->snapshot_index;
	t->heard_at = t->progress_at = now;
	t->resend_ms = resend_ms ? resend_ms : RAFT_RESEND_MS;
}

void raft_end_transfer(struct raft *raft, struct raft_member *m)
{
	memset(&m->transfer, 0, sizeof m->transfer);
	raft_release_previous(raft);
}

/* Members and state are two buffers; a piece may hold the end of one and the beginning of the other. */
static void copy_range(const struct source *s, uint64_t offset, uint8_t *to, size_t n)
{
	size_t head = 0;

	if (offset < s->members_len) {
		head = s->members_len - (size_t)offset;
		head = head < n ? head : n;
		memcpy(to, s->members + offset, head);
	}
	if (n > head)
		memcpy(to + head, s->data + (offset + head - s->members_len), n - head);
}

static size_t send_piece(struct raft *raft, const struct raft_member *m, const struct source *s, struct out *o)
{
	struct Nl__SnapshotPiece *piece = OUT_NEW(o, Nl__SnapshotPiece, NL__SNAPSHOT_PIECE__INIT);
	uint64_t left;

	piece->term = raft->term;
	piece->to = m->id;
	piece->index = s->index;
	piece->index_term = s->term;
	piece->members_len = s->members_len;
	piece->total = s->members_len + s->len;
	piece->offset = m->transfer.sent;
	piece->digest.data = apr_pmemdup(o->p, s->digest, RAFT_DIGEST_BYTES);
	piece->digest.len = RAFT_DIGEST_BYTES;
	left = piece->total - piece->offset;
	piece->data.len = left < RAFT_PIECE_BYTES ? (size_t)left : RAFT_PIECE_BYTES;
	piece->data.data = apr_palloc(o->p, piece->data.len + 1);
	copy_range(s, piece->offset, piece->data.data, piece->data.len);
	out_msg(o, m->addr, raft->no, NL__MSG__BODY_SNAPSHOT_PIECE)->snapshot_piece = piece;
	return piece->data.len;
}

/* Silence: what is under way is taken for lost. */
static void resend_after_silence(struct raft_snapshot_transfer *t, int64_t now)
{
	int64_t carried_ms = (int64_t)((t->sent - t->acked) / RAFT_RESEND_BYTES_PER_MS);

	if (t->sent == t->acked || now - t->progress_at < t->resend_ms + carried_ms)
		return;
	t->sent = t->acked;
	t->progress_at = now;
	t->resend_ms = t->resend_ms * 2 < RAFT_RESEND_MAX_MS ? t->resend_ms * 2 : RAFT_RESEND_MAX_MS;
}

void raft_send_snapshot(struct raft *raft, struct raft_member *m, int64_t now, struct out *o)
{
	struct raft_snapshot_transfer *t = &m->transfer;
	struct source s;
	uint64_t window;

	if (t->index && now - t->heard_at > RAFT_TRANSFER_IDLE_MS)
		t->index = 0;
	if (!find_source(raft, t->index, &s)) {
		begin_transfer(raft, t, now);
		raft_release_previous(raft);
		if (!find_source(raft, t->index, &s))
			return;
	}
	resend_after_silence(t, now);
	if (now < t->resume_at)
		return;
	window = t->answered ? (uint64_t)RAFT_PIECE_WINDOW * RAFT_PIECE_BYTES : RAFT_PIECE_BYTES;
	if (t->sent == t->acked)
		t->progress_at = now;
	while (t->sent < s.members_len + s.len && t->sent - t->acked < window)
		t->sent += send_piece(raft, m, &s, o);
}

/* The member holds less than it said: it fell, or took another transfer in between. */
static void rewind_transfer(struct raft_snapshot_transfer *t, uint64_t offset, int64_t now)
{
	if (t->rewound_at && now - t->rewound_at < REWIND_INTERVAL_MS)
		return;
	t->rewound_at = now;
	t->acked = t->sent = offset;
	t->progress_at = now;
}

/* The digest does not match what the member holds: all of it goes out again, and the digest is computed anew. */
static void restart_corrupt(struct raft *raft, struct raft_snapshot_transfer *t, int64_t now)
{
	if (now < t->resume_at)
		return;
	if (t->index == raft->snapshot_index)
		raft->snapshot_has_digest = 0;
	else
		raft->previous.has_digest = 0;
	t->acked = t->sent = 0;
	t->resume_at = now + t->resend_ms;
	t->resend_ms = t->resend_ms * 2 < RAFT_RESEND_MAX_MS ? t->resend_ms * 2 : RAFT_RESEND_MAX_MS;
}

void raft_on_snapshot_reply(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__SnapshotReply *r = m->snapshot_reply;
	struct raft_member *who = raft_find_member(raft, m->id);
	struct raft_snapshot_transfer *t;
	struct source s;

	if (r->term > raft->term) {
		raft_become_follower(raft, r->term, now);
		return;
	}
	if (raft->role != RAFT_LEADER || r->term != raft->term || !who)
		return;
	who->heard_at = now;
	t = &who->transfer;
	if (r->index != t->index || !find_source(raft, t->index, &s) || r->transfer != transfer_id(s.digest) ||
	    r->offset > s.members_len + s.len)
		return;
	t->heard_at = now;
	t->answered = 1;
	if (r->corrupt) {
		restart_corrupt(raft, t, now);
	} else if (r->offset > t->acked) {
		t->acked = r->offset;
		t->sent = t->sent > t->acked ? t->sent : t->acked;
		t->progress_at = now;
		t->resend_ms = RAFT_RESEND_MS;
	} else if (r->offset < t->acked) {
		rewind_transfer(t, r->offset, now);
	}
	if (t->acked < s.members_len + s.len) {
		raft_send_snapshot(raft, who, now, o);
		return;
	}
	/* Installed, and synced soon: what comes after it goes out at once, and the member's own reply says what it holds. */
	who->next = s.index > who->match ? s.index + 1 : who->match + 1;
	who->unacked = who->next;
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

static void begin_incoming(struct raft *raft, const struct Nl__SnapshotPiece *piece)
{
	struct raft_incoming *in = calloc(1, sizeof *in);

	if (!in)
		abort();
	raft_drop_incoming(raft);
	raft->incoming = in;
	in->index = piece->index;
	in->index_term = piece->index_term;
	in->members_len = piece->members_len;
	in->total = piece->total;
	memcpy(in->digest, piece->digest.data, RAFT_DIGEST_BYTES);
	digest_begin(&in->sum, in->index, in->index_term, in->members_len);
}

static int same_transfer(const struct raft_incoming *in, const struct Nl__SnapshotPiece *piece)
{
	return in->index == piece->index && in->index_term == piece->index_term && in->members_len == piece->members_len &&
	       in->total == piece->total && !memcmp(in->digest, piece->digest.data, RAFT_DIGEST_BYTES);
}

/* The transfer that a piece belongs to, begun when it is a new one; NULL when it is older than the one under way. */
static struct raft_incoming *incoming_of(struct raft *raft, const struct Nl__SnapshotPiece *piece)
{
	struct raft_incoming *in = raft->incoming;

	if (!in || !same_transfer(in, piece)) {
		if (in && in->leader_term == piece->term && piece->index < in->index)
			return NULL;
		begin_incoming(raft, piece);
	}
	raft->incoming->leader_term = piece->term;
	return raft->incoming;
}

static void add_bytes(struct raft_incoming *in, const struct Nl__SnapshotPiece *piece)
{
	size_t skip = (size_t)(in->received - piece->offset), n = piece->data.len - skip;

	if (in->received + n > in->capacity) {
		size_t doubled = in->capacity * 2 > in->received + n ? in->capacity * 2 : (size_t)in->received + n;

		in->capacity = doubled < in->total ? doubled : (size_t)in->total;
		in->bytes = realloc(in->bytes, in->capacity + 1);
		if (!in->bytes)
			abort();
	}
	memcpy(in->bytes + in->received, piece->data.data + skip, n);
	sha256_update(&in->sum, n, in->bytes + in->received);
	in->received += n;
}

/* The digest is right: the snapshot takes the place of all state and of the whole log. */
static void install(struct raft *raft, struct raft_incoming *in)
{
	size_t members_len = (size_t)in->members_len, len = (size_t)in->total - members_len;
	uint8_t *members = raft_copy_bytes(in->bytes, members_len);

	if (raft_last_index(raft) > raft->base)
		raft_truncate_from(raft, raft->base + 1);
	memmove(in->bytes, in->bytes + members_len, len);
	store_snapshot(raft, in->index, in->index_term, members, members_len, in->bytes, len);
	in->bytes = NULL;
	raft->base = in->index;
	raft->base_term = in->index_term;
	raft->commit = raft->applied = raft->matched = in->index;
	raft->snapshot_to_load = 1;
	raft_reload_members(raft);
}

static int digest_matches(struct raft_incoming *in)
{
	uint8_t digest[RAFT_DIGEST_BYTES];

	sha256_digest(&in->sum, sizeof digest, digest);
	return !memcmp(digest, in->digest, sizeof digest);
}

static void send_snapshot_reply(struct raft *raft, const struct Nl__Msg *m, uint64_t offset, int corrupt, struct out *o)
{
	struct Nl__SnapshotReply *r = OUT_NEW(o, Nl__SnapshotReply, NL__SNAPSHOT_REPLY__INIT);

	r->term = raft->term;
	r->index = m->snapshot_piece->index;
	r->transfer = transfer_id(m->snapshot_piece->digest.data);
	r->offset = offset;
	r->corrupt = corrupt;
	out_msg(o, m->addr, raft->no, NL__MSG__BODY_SNAPSHOT_REPLY)->snapshot_reply = r;
}

static void send_synced(struct raft *raft, const struct Nl__Msg *m, struct out *o)
{
	uint64_t match = raft->matched < raft->synced_index ? raft->matched : raft->synced_index;

	raft_send_append_reply(raft, m->addr, 1, match, raft->round, o);
}

/* The log holds the snapshot's last entry, so it matches the leader's up to there: nothing of it may be dropped, since what
 * comes after may have been acknowledged. */
static int log_covers(const struct raft *raft, const struct Nl__SnapshotPiece *piece)
{
	return piece->index <= raft_last_index(raft) && raft_term_at(raft, piece->index) == piece->index_term;
}

void raft_on_snapshot_piece(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__SnapshotPiece *piece = m->snapshot_piece;
	struct raft_incoming *in;

	if (!raft_accept_leader(raft, m, piece->term, now)) {
		raft_send_append_reply(raft, m->addr, 0, 0, 0, o);
		return;
	}
	if (piece->index > raft->commit && log_covers(raft, piece)) {
		raft->commit = piece->index;
		raft->matched = raft->matched > piece->index ? raft->matched : piece->index;
	}
	if (piece->index <= raft->commit) {
		send_synced(raft, m, o);
		return;
	}
	in = incoming_of(raft, piece);
	if (!in)
		return;
	if (piece->offset <= in->received && piece->offset + piece->data.len > in->received)
		add_bytes(in, piece);
	if (in->received < in->total) {
		send_snapshot_reply(raft, m, in->received, 0, o);
		return;
	}
	if (!digest_matches(in) || !raft_members_valid(in->bytes, (size_t)in->members_len)) {
		raft_drop_incoming(raft);
		send_snapshot_reply(raft, m, 0, 1, o);
		return;
	}
	install(raft, in);
	raft_drop_incoming(raft);
	send_snapshot_reply(raft, m, piece->total, 0, o);
}

/* ---- the state machine's own snapshots ---- */

/* A learner that holds nothing yet: it is sent the state as it is now rather than an old one and the long log behind it. */
static int has_new_learner(const struct raft *raft)
{
	for (int i = 0; i < raft->member_count && raft->role == RAFT_LEADER; i++) {
		const struct raft_member *member = &raft->members[i];

		if (!member->voter && !member->match && !member->transfer.index)
			return 1;
	}
	return 0;
}

int raft_wants_snapshot(const struct raft *raft)
{
	size_t bytes = raft->snapshot_len > RAFT_SNAPSHOT_LOG_BYTES ? raft->snapshot_len : RAFT_SNAPSHOT_LOG_BYTES;

	return raft->applied >= raft->snapshot_index + RAFT_SNAPSHOT_ENTRIES || raft->applied_bytes >= bytes ||
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
	uint64_t drop = raft->applied, oldest = oldest_transfer(raft);
	size_t bytes = 0;

	while (!raft->drop_tail && drop > raft->base && (raft->applied - drop < RAFT_LOG_TAIL || drop > oldest)) {
		bytes += raft_entry_at(raft, drop)->len;
		if (bytes > RAFT_LOG_TAIL_BYTES)
			break;
		drop--;
	}
	return drop < raft->synced_index ? drop : raft->synced_index;
}

void raft_snapshot(struct raft *raft, const uint8_t *d, size_t n)
{
	const uint8_t *members;
	size_t members_len;
	uint64_t drop;

	raft_members_in_force(raft, raft->applied, &members, &members_len);
	store_snapshot(raft, raft->applied, raft_term_at(raft, raft->applied), raft_copy_bytes(members, members_len), members_len,
		       raft_copy_bytes(d, n), n);
	drop = tail_begin(raft);
	if (drop <= raft->base)
		return;
	raft->base_term = raft_term_at(raft, drop);
	for (uint64_t i = raft->base + 1; i <= drop; i++)
		free(raft_entry_at(raft, i)->data);
	arrdeln(raft->log, 0, (size_t)(drop - raft->base));
	raft->base = drop;
}
