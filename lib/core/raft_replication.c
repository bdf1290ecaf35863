/* Replication: append messages, their replies, the commit index and the leader lease.
 * Called by raft.c for messages and ticks. An entry is committed once a majority of voters has synced it in
 * the leader's own term; a lease is counted from the moment at which its heartbeat round was sent. */
#include "raft_internal.h"

#include <apr_strings.h>
#include <stdlib.h>

static int compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

void raft_advance_commit(struct raft *raft)
{
	uint64_t match[RAFT_MAX_MEMBERS], round[RAFT_MAX_MEMBERS];
	int n = 0;

	for (int i = 0; i < raft->member_count; i++) {
		if (!raft->members[i].voter)
			continue;
		match[n] = raft_counted_index(raft, &raft->members[i]);
		round[n++] =
		    raft->members[i].id == raft->id ? raft->heartbeat_round : raft->members[i].acked_round;
	}
	if (!n)
		return;
	qsort(match, (size_t)n, sizeof *match, compare_descending);
	qsort(round, (size_t)n, sizeof *round, compare_descending);
	if (match[n / 2] > raft->commit_index && raft_term_at(raft, match[n / 2]) == raft->term) {
		raft->commit_index = match[n / 2];
		raft_note_commit(raft);
	}
	if (round[n / 2] && raft->heartbeat_round - round[n / 2] < 64) {
		int64_t until =
		    raft->heartbeat_sent_at_ms[round[n / 2] % 64] + RAFT_LEASE_MS - RAFT_LEASE_MARGIN_MS;

		if (until > raft->lease_expires_at_ms)
			raft->lease_expires_at_ms = until;
	}
}

int raft_has_lease(const struct raft *raft, int64_t now)
{
	return raft->role == RAFT_LEADER && now < raft->lease_expires_at_ms &&
	       raft->commit_index >= raft->term_start;
}

/* The number of bytes of entries under way to a member, counted no further than the window. */
static size_t bytes_under_way(const struct raft *raft, const struct raft_member *member)
{
	size_t bytes = 0;

	for (uint64_t i = member->unacked_index; i < member->next_index && bytes < RAFT_APPEND_WINDOW_BYTES;
	     i++) {
		const struct raft_entry *entry = raft_entry_at(raft, i);

		bytes += entry ? entry->len : 0;
	}
	return bytes;
}

static struct Nl__Append *new_append(struct raft *raft, struct raft_member *member, uint64_t prev,
				     struct command_list *out)
{
	struct Nl__Append *append = MESSAGE_NEW(out, Nl__Append, NL__APPEND__INIT);

	append->term = raft->term;
	append->recipient_id = member->id;
	append->prev_index = prev;
	append->prev_term = raft_term_at(raft, prev);
	append->commit_index = raft->commit_index;
	append->round = raft->heartbeat_round;
	append->released = raft_is_released(raft, member);
	if (append->released)
		member->release_round = raft->heartbeat_round;
	command_send(out, member->addr, raft->shard, NL__MSG__BODY_APPEND)->append = append;
	return append;
}

/* An append without entries, at an index that the member is known to hold, or at the one that is guessed. It
 * never waits for entries or pieces, nor can it arrive too early for them. */
static void send_heartbeat(struct raft *raft, struct raft_member *member, struct command_list *out)
{
	uint64_t prev = member->probing ? member->next_index - 1 : member->match_index;

	(void)new_append(raft, member, prev > raft->base_index ? prev : raft->base_index, out);
}

/* Entries from next on: as many as the window has room for, and one at least when none is under way. */
static void send_entries(struct raft *raft, struct raft_member *member, int64_t now, struct command_list *out)
{
	size_t bytes = bytes_under_way(raft, member),
	       n = (size_t)(raft_last_index(raft) + 1 - member->next_index);
	int idle = member->next_index == member->unacked_index;
	struct Nl__Append *append;

	if (!n || (!idle && bytes >= RAFT_APPEND_WINDOW_BYTES))
		return;
	if (idle)
		member->progress_at_ms = now;
	n = n > RAFT_APPEND_MAX_ENTRIES ? RAFT_APPEND_MAX_ENTRIES : n;
	append = new_append(raft, member, member->next_index - 1, out);
	append->entries = apr_palloc(out->pool, n * sizeof *append->entries);
	while (append->n_entries < n && (!append->n_entries || bytes < RAFT_APPEND_WINDOW_BYTES)) {
		struct raft_entry *entry = raft_entry_at(raft, member->next_index++);
		struct Nl__Entry *x = MESSAGE_NEW(out, Nl__Entry, NL__ENTRY__INIT);

		x->term = entry->term;
		x->kind = entry->kind;
		x->data.data = apr_pmemdup(out->pool, entry->data, entry->len);
		x->data.len = entry->len;
		bytes += entry->len;
		append->entries[append->n_entries++] = x;
	}
}

/* Silence: entries under way are taken for lost, and go out again less and less often. */
static void resend_after_silence(const struct raft *raft, struct raft_member *member, int64_t now)
{
	int64_t carried_ms = (int64_t)(bytes_under_way(raft, member) / RAFT_RESEND_BYTES_PER_MS);

	if (member->next_index == member->unacked_index ||
	    now - member->progress_at_ms < member->resend_ms + carried_ms)
		return;
	member->next_index = member->unacked_index;
	member->progress_at_ms = now;
	member->resend_ms =
	    member->resend_ms * 2 < RAFT_RESEND_MAX_MS ? member->resend_ms * 2 : RAFT_RESEND_MAX_MS;
}

static void send_missing(struct raft *raft, struct raft_member *member, int64_t now, struct command_list *out)
{
	if (member->probing && member->next_index > raft->base_index)
		return;
	resend_after_silence(raft, member, now);
	if (member->next_index <= raft->base_index)
		raft_send_snapshot(raft, member, now, out);
	else
		send_entries(raft, member, now, out);
}

void raft_replicate(struct raft *raft, int all, int64_t now, struct command_list *out)
{
	for (int i = 0; i < raft->member_count; i++) {
		struct raft_member *member = &raft->members[i];

		if (member->id == raft->id)
			continue;
		if (all)
			send_heartbeat(raft, member, out);
		send_missing(raft, member, now, out);
	}
}

void raft_send_append_reply(struct raft *raft, uint64_t leader_addr, int success, uint64_t match,
			    uint64_t round, struct command_list *out)
{
	struct Nl__AppendReply *reply = MESSAGE_NEW(out, Nl__AppendReply, NL__APPEND_REPLY__INIT);

	reply->term = raft->term;
	reply->success = success;
	reply->match_index = match;
	reply->matched_index = success ? raft->matched_index : 0;
	reply->round = round;
	reply->draining = raft->draining;
	command_send(out, leader_addr, raft->shard, NL__MSG__BODY_APPEND_REPLY)->append_reply = reply;
}

/* A message of an owner at our term or a later one: follow it and promise it the lease. */
int raft_accept_leader(struct raft *raft, const struct Nl__Msg *message, uint64_t term, int64_t now)
{
	if (term < raft->term)
		return 0;
	if (term > raft->term || raft->role != RAFT_FOLLOWER)
		raft_become_follower(raft, term, now);
	raft->leader_id = message->id;
	raft->leader_addr = message->addr;
	raft->vote_barrier_until_ms = now + RAFT_LEASE_MS;
	raft->vote_barrier_unknown = 0;
	raft->removed = 0;
	raft_reset_election_timer(raft, now);
	return 1;
}

/* Whether this member may go: what the newest round says, as entries may arrive later than heartbeats that
 * were sent after them. The answer carries the round, so that the leader knows that this member has heard it.
 */
static void note_release(struct raft *raft, const struct Nl__Append *append)
{
	if (append->round < raft->release_round)
		return;
	raft->release_round = append->round;
	raft->release = append->released ? RAFT_RELEASED : RAFT_NOT_RELEASED;
}

void raft_on_append(struct raft *raft, const struct Nl__Msg *message, int64_t now, struct command_list *out)
{
	const struct Nl__Append *append = message->append;
	uint64_t i = append->prev_index, end = append->prev_index + append->n_entries, skip;

	if (!raft_accept_leader(raft, message, append->term, now)) {
		raft_send_append_reply(raft, message->addr, 0, 0, 0, out);
		return;
	}
	note_release(raft, append);
	if (i > raft_last_index(raft) ||
	    (i >= raft->base_index && i > raft->commit_index && raft_term_at(raft, i) != append->prev_term)) {
		uint64_t hint = i > raft_last_index(raft) ? raft_last_index(raft) : i - 1;

		raft_send_append_reply(raft, message->addr, 0,
				       hint > raft->commit_index ? hint : raft->commit_index, append->round,
				       out);
		return;
	}
	skip = raft->commit_index > i ? raft->commit_index - i : 0; /* committed entries never differ */
	for (size_t k = skip; k < append->n_entries; k++) {
		const struct Nl__Entry *entry = append->entries[k];
		uint64_t x = i + k + 1;

		if (x <= raft_last_index(raft) && raft_term_at(raft, x) == entry->term)
			continue;
		if (x <= raft_last_index(raft)) {
			raft_truncate_from(raft, x);
			if (raft->members_index >= x)
				raft_reload_members(raft);
		}
		raft_append_entry(raft, entry->term, entry->kind, entry->data.data, entry->data.len);
		if (entry->kind == RAFT_ENTRY_MEMBERS)
			raft_set_members(raft, entry->data.data, entry->data.len, x);
	}
	if (end > raft->matched_index)
		raft->matched_index = end;
	if (append->commit_index > raft->commit_index) {
		uint64_t c =
		    append->commit_index < raft->matched_index ? append->commit_index : raft->matched_index;

		if (c > raft->commit_index)
			raft->commit_index = c;
	}
	if (raft->dirty && append->round == raft->heartbeat_round)
		return; /* nothing new to say before the sync, and then raft_synced says it */
	if (append->round > raft->heartbeat_round)
		raft->heartbeat_round =
		    append->round; /* entries arrive later than heartbeats that were sent after them */
	raft_send_append_reply(raft, message->addr, 1,
			       raft->matched_index < raft->synced_index ? raft->matched_index
									: raft->synced_index,
			       append->round, out);
}

/* The member's log is ours up to matched, and synced up to match. The reply may be to an earlier append than
 * the one that asked where the member stands, so what goes out next begins behind what it vouches for. */
static void on_accepted(struct raft_member *who, uint64_t match, uint64_t matched, int64_t now)
{
	uint64_t known = matched > match ? matched : match;

	if (who->probing && known + 1 < who->next_index)
		who->next_index = who->unacked_index = known + 1;
	who->probing = 0;
	if (match > who->match_index) {
		who->match_index = match;
		who->progress_at_ms = now;
		who->resend_ms = RAFT_RESEND_MS;
	}
	if (who->unacked_index <= who->match_index)
		who->unacked_index = who->match_index + 1;
	if (who->next_index < who->unacked_index)
		who->next_index = who->unacked_index;
}

/* The member's log does not reach or match: it is asked again at its hint, without entries until it agrees. A
 * hint below the base means a snapshot, whose replies say more than further appends would. */
static void on_rejected(struct raft *raft, struct raft_member *who, uint64_t hint, struct command_list *out)
{
	who->next_index = who->unacked_index = (hint > who->match_index ? hint : who->match_index) + 1;
	if (who->next_index <= raft->base_index)
		return;
	who->probing = 1;
	send_heartbeat(raft, who, out);
}

void raft_on_append_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out)
{
	const struct Nl__AppendReply *reply = message->append_reply;
	struct raft_member *who = raft_find_member(raft, message->id);

	if (reply->term > raft->term) {
		raft_become_follower(raft, reply->term, now);
		return;
	}
	if (raft->role != RAFT_LEADER || reply->term != raft->term || !who)
		return;
	if (reply->fenced) {
		raft_add_fenced(raft, message->id);
		return;
	}
	who->last_reply_at_ms = now;
	raft_note_draining(raft, who, reply->draining);
	if (reply->round > who->acked_round)
		who->acked_round = reply->round;
	if (reply->success)
		on_accepted(who, reply->match_index, reply->matched_index, now);
	else
		on_rejected(raft, who, reply->match_index, out);
	if (who->next_index > raft->base_index && who->transfer.index)
		raft_end_transfer(raft, who);
	raft_advance_commit(raft);
}
