/* Replication: append messages and their replies, the commit index, and the renewal of the leader lease
 * (Raft, Ongaro and Ousterhout, 2014, 5.3 and 5.4.2). Invariants: an entry is committed once a majority of
 * voters has synced it and it, or a later entry that they have also synced, is of the leader's own term; a
 * lease lasts from the time at which its heartbeat round was sent, not from the time of the replies. */
#include <apr_strings.h>
#include <stdlib.h>

#include "raft_internal.h"

static int compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x < y) - (x > y);
}

/* Leader: extend the lease by a heartbeat round that a majority has answered. The lease lasts from the time
 * at which the round was sent. */
static void extend_lease(struct raft *raft, uint64_t majority_round)
{
	int64_t expires_at_ms;

	if (!majority_round || raft->lease.heartbeat_round - majority_round >= RAFT_HEARTBEAT_ROUND_HISTORY)
		return;
	expires_at_ms = raft->lease.heartbeat_sent_at_ms[majority_round % RAFT_HEARTBEAT_ROUND_HISTORY] +
			RAFT_LEASE_MS - RAFT_LEASE_MARGIN_MS;
	if (expires_at_ms > raft->lease.expires_at_ms)
		raft->lease.expires_at_ms = expires_at_ms;
}

void raft_advance_commit(struct raft *raft)
{
	uint64_t counted_indices[RAFT_MAX_MEMBERS], acked_rounds[RAFT_MAX_MEMBERS];
	uint64_t majority_index;
	int voters = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *member = &raft->group.members[i];

		if (!member->voter)
			continue;
		counted_indices[voters] = raft_index_counted_for_commit(raft, member);
		acked_rounds[voters] = member->id == raft->id ? raft->lease.heartbeat_round
							      : member->progress.acked_heartbeat_round;
		voters++;
	}
	if (!voters)
		return;
	qsort(counted_indices, (size_t)voters, sizeof *counted_indices, compare_descending);
	qsort(acked_rounds, (size_t)voters, sizeof *acked_rounds, compare_descending);
	majority_index = counted_indices[voters / 2];
	if (majority_index > raft->log.commit_index && raft_term_at(raft, majority_index) == raft->term) {
		raft->log.commit_index = majority_index;
		raft_update_drain_requirements(raft);
	}
	extend_lease(raft, acked_rounds[voters / 2]);
}

/* ---- leader: sending ---- */

/* Size of the entries in flight to a member. Counting ends once the window is full. */
static size_t bytes_in_flight(const struct raft *raft, const struct raft_progress *progress)
{
	size_t bytes = 0;

	for (uint64_t i = progress->unacked_index;
	     i < progress->next_index && bytes < RAFT_APPEND_WINDOW_BYTES; i++) {
		const struct raft_entry *entry = raft_entry_at(raft, i);

		bytes += entry ? entry->len : 0;
	}
	return bytes;
}

static struct Nl__Append *new_append(struct raft *raft, struct raft_member *member, uint64_t prev_index,
				     struct command_list *out)
{
	struct Nl__Append *append = MESSAGE_NEW(out, Nl__Append, NL__APPEND__INIT);

	append->term = raft->term;
	append->recipient_id = member->id;
	append->prev_index = prev_index;
	append->prev_term = raft_term_at(raft, prev_index);
	append->commit_index = raft->log.commit_index;
	append->round = raft->lease.heartbeat_round;
	append->released = raft_is_released(raft, member);
	if (append->released)
		member->drain.release_round = raft->lease.heartbeat_round;
	command_send(out, member->addr, raft->shard, NL__MSG__BODY_APPEND)->append = append;
	return append;
}

/* Send an append without entries. Its previous index is one that the member is known to hold, or while
 * probing the one that is guessed. A heartbeat therefore neither waits for entries or chunks in flight, nor
 * is it rejected when it arrives before them. */
static void send_heartbeat(struct raft *raft, struct raft_member *member, struct command_list *out)
{
	uint64_t prev_index =
	    member->progress.is_probing ? member->progress.next_index - 1 : member->progress.match_index;

	(void)new_append(raft, member, prev_index > raft->log.base_index ? prev_index : raft->log.base_index,
			 out);
}

static struct Nl__Entry *pack_entry(const struct raft_entry *entry, struct command_list *out)
{
	struct Nl__Entry *packed = MESSAGE_NEW(out, Nl__Entry, NL__ENTRY__INIT);

	packed->term = entry->term;
	packed->kind = entry->kind;
	packed->data.data = apr_pmemdup(out->pool, entry->data, entry->len);
	packed->data.len = entry->len;
	return packed;
}

/* Send entries from next_index on, as many as the window allows, and at least one when none is in flight. */
static void send_entries(struct raft *raft, struct raft_member *member, int64_t now, struct command_list *out)
{
	struct raft_progress *progress = &member->progress;
	size_t in_flight_bytes = bytes_in_flight(raft, progress),
	       entry_count = (size_t)(raft_last_index(raft) + 1 - progress->next_index);
	int none_in_flight = progress->next_index == progress->unacked_index;
	struct Nl__Append *append;

	if (!entry_count || (!none_in_flight && in_flight_bytes >= RAFT_APPEND_WINDOW_BYTES))
		return;
	if (none_in_flight)
		progress->last_progress_at_ms = now;
	entry_count = entry_count > RAFT_APPEND_MAX_ENTRIES ? RAFT_APPEND_MAX_ENTRIES : entry_count;
	append = new_append(raft, member, progress->next_index - 1, out);
	append->entries = apr_palloc(out->pool, entry_count * sizeof *append->entries);
	while (append->n_entries < entry_count &&
	       (!append->n_entries || in_flight_bytes < RAFT_APPEND_WINDOW_BYTES)) {
		const struct raft_entry *entry = raft_entry_at(raft, progress->next_index++);

		in_flight_bytes += entry->len;
		append->entries[append->n_entries++] = pack_entry(entry, out);
	}
}

/* Without progress for the resend time, entries in flight are considered lost. They are sent again, and the
 * resend time is doubled, up to RAFT_RESEND_MAX_MS. */
static void resend_after_timeout(const struct raft *raft, struct raft_progress *progress, int64_t now)
{
	int64_t transmission_ms = (int64_t)(bytes_in_flight(raft, progress) / RAFT_RESEND_BYTES_PER_MS);

	if (progress->next_index == progress->unacked_index ||
	    now - progress->last_progress_at_ms < progress->resend_after_ms + transmission_ms)
		return;
	progress->next_index = progress->unacked_index;
	progress->last_progress_at_ms = now;
	progress->resend_after_ms = progress->resend_after_ms * 2 < RAFT_RESEND_MAX_MS
					? progress->resend_after_ms * 2
					: RAFT_RESEND_MAX_MS;
}

static void send_entries_or_snapshot(struct raft *raft, struct raft_member *member, int64_t now,
				     struct command_list *out)
{
	if (member->progress.is_probing && member->progress.next_index > raft->log.base_index)
		return;
	resend_after_timeout(raft, &member->progress, now);
	if (member->progress.next_index <= raft->log.base_index)
		raft_send_snapshot(raft, member, now, out);
	else
		send_entries(raft, member, now, out);
}

void raft_replicate(struct raft *raft, int with_heartbeat, int64_t now, struct command_list *out)
{
	for (int i = 0; i < raft->group.member_count; i++) {
		struct raft_member *member = &raft->group.members[i];

		if (member->id == raft->id)
			continue;
		if (with_heartbeat)
			send_heartbeat(raft, member, out);
		send_entries_or_snapshot(raft, member, now, out);
	}
}

/* ---- member: receiving ---- */

/* Update whether this member may stop, unless a newer heartbeat round has set it already: entries may arrive
 * after heartbeats that were sent later. The reply contains the round, which shows the leader that this
 * member has received its release. */
static void update_release(struct raft *raft, const struct Nl__Append *append)
{
	if (append->round < raft->drain.release_round)
		return;
	raft->drain.release_round = append->round;
	raft->drain.release = append->released ? RAFT_RELEASED : RAFT_NOT_RELEASED;
}

/* Whether the log holds the entry before the appended ones. Entries that were dropped or are committed match
 * the leader's log. */
static bool has_previous_entry(const struct raft *raft, const struct Nl__Append *append)
{
	uint64_t prev_index = append->prev_index;

	if (prev_index > raft_last_index(raft))
		return false;
	return prev_index < raft->log.base_index || prev_index <= raft->log.commit_index ||
	       raft_term_at(raft, prev_index) == append->prev_term;
}

/* Reject an append; the reply contains the index after which the leader is to retry. */
static void reject_append(struct raft *raft, const struct Nl__Msg *message, struct command_list *out)
{
	uint64_t prev_index = message->append->prev_index, last_index = raft_last_index(raft);
	uint64_t hint_index = prev_index > last_index ? last_index : prev_index - 1;

	if (hint_index < raft->log.commit_index)
		hint_index = raft->log.commit_index;
	raft_send_append_reply(raft, message->addr, 0, hint_index, message->append->round, out);
}

/* Append the entries that the log lacks; entries that conflict with the leader's are truncated first.
 * Committed entries never conflict, and are skipped. */
static void append_missing_entries(struct raft *raft, const struct Nl__Append *append)
{
	uint64_t prev_index = append->prev_index;
	uint64_t committed_count =
	    raft->log.commit_index > prev_index ? raft->log.commit_index - prev_index : 0;

	for (size_t position = committed_count; position < append->n_entries; position++) {
		const struct Nl__Entry *entry = append->entries[position];
		uint64_t index = prev_index + position + 1;

		if (index <= raft_last_index(raft) && raft_term_at(raft, index) == entry->term)
			continue;
		if (index <= raft_last_index(raft)) {
			raft_truncate_entries_from(raft, index);
			if (raft->group.members_index >= index)
				raft_reload_members(raft);
		}
		raft_append_entry(raft, entry->term, entry->kind, entry->data.data, entry->data.len);
		if (entry->kind == RAFT_ENTRY_MEMBERS)
			raft_set_members(raft, entry->data.data, entry->data.len, index);
	}
}

void raft_on_append(struct raft *raft, const struct Nl__Msg *message, int64_t now, struct command_list *out)
{
	const struct Nl__Append *append = message->append;
	uint64_t append_end_index = append->prev_index + append->n_entries, new_commit_index;

	if (!raft_accept_leader(raft, message, append->term, now)) {
		raft_send_append_reply(raft, message->addr, 0, 0, 0, out);
		return;
	}
	update_release(raft, append);
	if (!has_previous_entry(raft, append)) {
		reject_append(raft, message, out);
		return;
	}
	append_missing_entries(raft, append);
	if (append_end_index > raft->log.matched_index)
		raft->log.matched_index = append_end_index;
	new_commit_index =
	    append->commit_index < raft->log.matched_index ? append->commit_index : raft->log.matched_index;
	if (new_commit_index > raft->log.commit_index)
		raft->log.commit_index = new_commit_index;
	if (raft->disk.dirty && append->round == raft->lease.heartbeat_round)
		return; /* the reply is sent by raft_synced; before the sync it would report nothing new */
	/* the round is never lowered: entries may arrive after heartbeats that were sent later */
	if (append->round > raft->lease.heartbeat_round)
		raft->lease.heartbeat_round = append->round;
	raft_send_append_reply(raft, message->addr, 1, raft_synced_match_index(raft), append->round, out);
}

/* ---- leader: replies ---- */

/* The member's log matches ours up to matched_index, and is synced up to match_index. The reply may belong to
 * an earlier append than the one that probed for the end of the member's log, so the next entries start after
 * the newest one that this reply acknowledges. */
static void handle_accepted_append(struct raft_progress *progress, uint64_t match_index,
				   uint64_t matched_index, int64_t now)
{
	uint64_t acknowledged_index = matched_index > match_index ? matched_index : match_index;

	if (progress->is_probing && acknowledged_index + 1 < progress->next_index)
		progress->next_index = progress->unacked_index = acknowledged_index + 1;
	progress->is_probing = false;
	if (match_index > progress->match_index) {
		progress->match_index = match_index;
		progress->last_progress_at_ms = now;
		progress->resend_after_ms = RAFT_RESEND_INITIAL_MS;
	}
	if (progress->unacked_index <= progress->match_index)
		progress->unacked_index = progress->match_index + 1;
	if (progress->next_index < progress->unacked_index)
		progress->next_index = progress->unacked_index;
}

/* The member's log ends before the previous index of the append, or conflicts there. The next append probes
 * at the hint of the member; no entries are sent until the member accepts one. If the hint is below the base
 * of our log, the member needs a snapshot instead, and replies to its chunks report the member's position
 * more precisely than further appends would. */
static void handle_rejected_append(struct raft *raft, struct raft_member *member, uint64_t hint_index,
				   struct command_list *out)
{
	struct raft_progress *progress = &member->progress;

	progress->next_index = progress->unacked_index =
	    (hint_index > progress->match_index ? hint_index : progress->match_index) + 1;
	if (progress->next_index <= raft->log.base_index)
		return;
	progress->is_probing = true;
	send_heartbeat(raft, member, out);
}

void raft_on_append_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out)
{
	const struct Nl__AppendReply *reply = message->append_reply;
	struct raft_member *member = raft_find_member(raft, message->id);

	if (reply->term > raft->term) {
		raft_become_follower(raft, reply->term, now);
		return;
	}
	if (raft->role != RAFT_LEADER || reply->term != raft->term || !member)
		return;
	if (reply->fenced) {
		raft_add_fenced_id(raft, message->id);
		return;
	}
	member->progress.last_reply_at_ms = now;
	raft_set_member_draining(raft, member, reply->draining);
	if (reply->round > member->progress.acked_heartbeat_round)
		member->progress.acked_heartbeat_round = reply->round;
	if (reply->success)
		handle_accepted_append(&member->progress, reply->match_index, reply->matched_index, now);
	else
		handle_rejected_append(raft, member, reply->match_index, out);
	if (member->progress.next_index > raft->log.base_index && member->transfer.snapshot_index)
		raft_end_transfer(raft, member);
	raft_advance_commit(raft);
}
