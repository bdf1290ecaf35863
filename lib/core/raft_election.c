/* Elections: follower, pre-candidate, candidate, leader; votes, the vote barrier that protects a leader
 * lease, and the probes by which a restarted member learns that no lease rests on a vote barrier from before
 * its restart. A vote is told only once it is synced; nobody votes while its vote barrier stands. */
#include "raft_internal.h"

#include <string.h>

#include "containers.h"

enum { STEP_DOWN_SPREAD_MS = 50 }; /* voters other than the successor wait so long, and up to as much more */

void raft_reset_election_timer(struct raft *raft, int64_t now)
{
	raft->election_at_ms =
	    now + RAFT_ELECTION_MS + (int64_t)(core_random(&raft->random_state) % (RAFT_ELECTION_MS / 2));
}

/* No owner is about, so the next try need not wait for one; but a slow disk must have had its time. */
void raft_retry_election_after(struct raft *raft, int64_t wait, int64_t now)
{
	raft->election_at_ms =
	    now + wait + (int64_t)(core_random(&raft->random_state) % RAFT_ELECTION_RETRY_MS);
}

void raft_become_follower(struct raft *raft, uint64_t term, int64_t now)
{
	if (term > raft->term) {
		raft->term = term;
		raft->vote = 0;
		raft_mark_dirty(raft, 0);
		raft->leader_id = raft->leader_addr = 0;
		raft->matched_index = raft->commit_index;
		raft->heartbeat_round = raft->release_round = 0; /* rounds are counted within a term */
		raft->release = RAFT_NOT_RELEASED;
	}
	if (raft->role == RAFT_LEADER)
		raft->leader_id = raft->leader_addr = 0;
	raft->role = RAFT_FOLLOWER;
	raft->lease_expires_at_ms = 0;
	raft->self_vote_seq = 0;
	raft_reset_election_timer(raft, now);
}

int raft_sync_stalled(const struct raft *raft, int64_t now)
{
	return arrlen(raft->pending_syncs) && now - raft->pending_syncs[0].started_at_ms > RAFT_SYNC_STALL_MS;
}

void raft_request_votes(struct raft *raft, int pre, int64_t now, struct command_list *out)
{
	for (int i = 0; i < raft->member_count; i++) {
		struct Nl__VoteRequest *request;

		raft->members[i].vote_granted = 0;
		if (raft->members[i].id == raft->id || !raft->members[i].voter)
			continue;
		request = MESSAGE_NEW(out, Nl__VoteRequest, NL__VOTE_REQUEST__INIT);
		request->term = pre ? raft->term + 1 : raft->term;
		request->last_index = raft_last_index(raft);
		request->last_term = raft_term_at(raft, raft_last_index(raft));
		request->is_pre_vote = pre;
		request->stepped_down_term = raft->stepped_down_term;
		command_send(out, raft->members[i].addr, raft->shard, NL__MSG__BODY_VOTE_REQUEST)
		    ->vote_request = request;
	}
	raft->quorum_requested_at_ms = now;
}

/* The first entry of the term carries the first heartbeat round: one answer of a majority gives commit and
 * lease. */
static void begin_round(struct raft *raft, int64_t now)
{
	raft->heartbeat_round = 1;
	raft->heartbeat_at_ms = now;
	raft->heartbeat_sent_at_ms[raft->heartbeat_round % 64] = now;
}

static void become_leader(struct raft *raft, int64_t now, struct command_list *out)
{
	raft->role = RAFT_LEADER;
	raft->leader_id = raft->id;
	raft->leader_addr = out->addr;
	raft->lease_expires_at_ms = 0;
	raft->quorum_requested_at_ms = now;
	raft->has_remaining_majority = 0;
	for (int i = 0; i < raft->member_count; i++) {
		raft->members[i].next_index = raft_last_index(raft) + 1;
		raft->members[i].unacked_index = raft->members[i].next_index;
		raft->members[i].match_index = 0;
		raft->members[i].acked_round = 0;
		raft->members[i].last_reply_at_ms =
		    now -
		    raft->member_lost_ms / 2; /* who fell with the last owner has been silent since then */
		raft->members[i].draining = 0;
		raft->members[i].release_round = 0;
		raft->members[i].probing = 0;
		raft->members[i].progress_at_ms = now;
		raft->members[i].resend_ms = RAFT_RESEND_MS;
		memset(&raft->members[i].transfer, 0, sizeof raft->members[i].transfer);
	}
	for (int i = 0; i < 64; i++)
		raft->heartbeat_sent_at_ms[i] =
		    now - 1000 * RAFT_LEASE_MS; /* acks of earlier rounds grant nothing */
	raft_append_entry(raft, raft->term, RAFT_ENTRY_NOOP, NULL, 0);
	raft->term_start = raft_last_index(raft);
	raft->election_count++;
	begin_round(raft, now);
}

static void become_candidate(struct raft *raft, struct command_list *out, int64_t now)
{
	raft->role = RAFT_CANDIDATE;
	raft->term++;
	raft->vote = raft->id;
	raft->matched_index = raft->commit_index;
	raft->heartbeat_round = raft->release_round = 0;
	raft->leader_id = raft->leader_addr = 0;
	raft_mark_dirty(raft, 0);
	raft->self_vote_seq = raft->sync_seq + 1; /* the sync that this step's flush will ask for */
	raft_request_votes(raft, 0, now, out);
	raft_retry_election_after(raft, RAFT_SYNC_STALL_MS, now);
}

void raft_count_votes(struct raft *raft, int64_t now, struct command_list *out)
{
	int n = 0;

	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].voter)
			n += raft->members[i].id == raft->id
				 ? raft->role == RAFT_PRE_CANDIDATE || raft->synced_seq >= raft->self_vote_seq
				 : raft->members[i].vote_granted;
	if (n <= raft_voter_count(raft) / 2)
		return;
	if (raft->role == RAFT_PRE_CANDIDATE)
		become_candidate(raft, out, now);
	else if (raft->role == RAFT_CANDIDATE)
		become_leader(raft, now, out);
}

void raft_send_vote(struct raft *raft, uint64_t candidate_addr, uint64_t term, int granted, int pre,
		    struct command_list *out)
{
	struct Nl__VoteReply *reply = MESSAGE_NEW(out, Nl__VoteReply, NL__VOTE_REPLY__INIT);

	reply->term = term;
	reply->granted = granted;
	reply->is_pre_vote = pre;
	command_send(out, candidate_addr, raft->shard, NL__MSG__BODY_VOTE_REPLY)->vote_reply = reply;
}

/* A candidate was taken out of the group while it was away. */
static void send_removed(struct raft *raft, uint64_t candidate_addr, struct command_list *out)
{
	struct Nl__VoteReply *reply = MESSAGE_NEW(out, Nl__VoteReply, NL__VOTE_REPLY__INIT);

	reply->term = raft->term;
	reply->removed = 1;
	command_send(out, candidate_addr, raft->shard, NL__MSG__BODY_VOTE_REPLY)->vote_reply = reply;
}

/* The leader of a term has dropped its lease. Where this member knows of no later term, whatever it promised
 * was promised to that leader or to an earlier one, whose lease was over before that one led. */
static void note_stepped_down(struct raft *raft, uint64_t term)
{
	if (!term || term < raft->term)
		return;
	raft->stepped_down_term = term;
	raft->vote_barrier_until_ms = 0;
	raft->vote_barrier_unknown = 0;
}

void raft_on_vote_request(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out)
{
	const struct Nl__VoteRequest *request = message->vote_request;
	int newer = request->last_term > raft_term_at(raft, raft_last_index(raft)) ||
		    (request->last_term == raft_term_at(raft, raft_last_index(raft)) &&
		     request->last_index >= raft_last_index(raft));
	int free_to;

	if (raft_has_lease(raft, now) && raft->members_index <= raft->commit_index &&
	    !raft_find_member(raft, message->id)) {
		send_removed(raft, message->addr, out);
		return;
	}
	note_stepped_down(raft, request->stepped_down_term);
	free_to = now >= raft->vote_barrier_until_ms && !raft_has_lease(raft, now);
	if (request->is_pre_vote || !free_to || request->term < raft->term) {
		raft_send_vote(raft, message->addr,
			       request->is_pre_vote && newer && free_to ? request->term : raft->term,
			       request->is_pre_vote && newer && free_to && request->term > raft->term,
			       request->is_pre_vote, out);
		return;
	}
	if (request->term > raft->term)
		raft_become_follower(raft, request->term, now);
	if (!newer || (raft->vote && raft->vote != message->id)) {
		raft_send_vote(raft, message->addr, raft->term, 0, 0, out);
		return;
	}
	raft->vote = message->id;
	raft_mark_dirty(raft, 0);
	raft->pending_vote.active = 1; /* said only once it is on the disk */
	raft->pending_vote.sync_seq = raft->sync_seq + 1;
	raft->pending_vote.candidate_addr = message->addr;
	raft->pending_vote.term = raft->term;
	raft_reset_election_timer(raft, now);
}

void raft_on_vote_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			struct command_list *out)
{
	const struct Nl__VoteReply *reply = message->vote_reply;
	struct raft_member *who = raft_find_member(raft, message->id);

	if (reply->removed && reply->term >= raft->term) {
		raft_become_follower(raft, raft->term, now);
		raft->removed = 1;
		return;
	}
	if (reply->term > raft->term && !(reply->is_pre_vote && reply->granted)) {
		raft_become_follower(raft, reply->term, now);
		return;
	}
	if (!who || !reply->granted)
		return;
	if (reply->is_pre_vote ? raft->role == RAFT_PRE_CANDIDATE && reply->term == raft->term + 1
			       : raft->role == RAFT_CANDIDATE && reply->term == raft->term) {
		who->vote_granted = 1;
		raft_count_votes(raft, now, out);
	}
}

/* ---- back after a fall ----------------------------------------------------

One that came back waits out what it may have promised before. When all fell together, that would be a wait
for an owner that fell too. So it asks every member that it knows; once all of them have said, in this life of
ours, that they own nothing, nobody holds a lease that rests on a promise from before. An owner that we do not
know can be there only if some member of ours was there when the members changed, so that its log is of a
later term, or has a later members entry, than ours: then we wait. */

void raft_send_probes(struct raft *raft, int64_t now, struct command_list *out)
{
	raft->probe_at_ms = now + RAFT_PROBE_MS;
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id != raft->id && !raft->members[i].not_leader) {
			struct Nl__Probe *probe = MESSAGE_NEW(out, Nl__Probe, NL__PROBE__INIT);

			probe->incarnation = raft->incarnation;
			command_send(out, raft->members[i].addr, raft->shard, NL__MSG__BODY_PROBE)->probe =
			    probe;
		}
}

void raft_on_probe(struct raft *raft, const struct Nl__Msg *message, struct command_list *out)
{
	struct Nl__ProbeReply *probe_reply;

	if (!raft_find_member(raft, raft->id))
		return; /* one that left may have forgotten what it knew */
	probe_reply = MESSAGE_NEW(out, Nl__ProbeReply, NL__PROBE_REPLY__INIT);
	probe_reply->incarnation = message->probe->incarnation;
	probe_reply->is_leader = raft->role == RAFT_LEADER;
	probe_reply->last_term = raft_term_at(raft, raft_last_index(raft));
	probe_reply->members_index = raft->members_index;
	command_send(out, message->addr, raft->shard, NL__MSG__BODY_PROBE_REPLY)->probe_reply = probe_reply;
}

/* In this part so many members go before us, so that who fell together does not ask for votes together. */
static int voters_ahead(const struct raft *raft)
{
	int n = 0;

	for (int i = 0; i < raft->member_count; i++)
		n += raft->members[i].voter && core_rendezvous_weight(raft->members[i].id, raft->shard) >
						   core_rendezvous_weight(raft->id, raft->shard);
	return n;
}

void raft_on_probe_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now)
{
	const struct Nl__ProbeReply *probe_reply = message->probe_reply;
	struct raft_member *who = raft_find_member(raft, message->id);
	uint64_t term = raft_term_at(raft, raft_last_index(raft));

	if (!raft->vote_barrier_unknown || probe_reply->incarnation != raft->incarnation || !who)
		return;
	if (probe_reply->is_leader || probe_reply->last_term > term ||
	    (probe_reply->last_term == term && probe_reply->members_index > raft->members_index)) {
		raft->vote_barrier_unknown = 0; /* the promise is waited out */
		return;
	}
	who->not_leader = 1;
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id != raft->id && !raft->members[i].not_leader)
			return;
	raft->vote_barrier_unknown = 0;
	raft->vote_barrier_until_ms = 0;
	raft->election_at_ms = now + RAFT_ELECTION_STAGGER_MS * (1 + voters_ahead(raft)) +
			       (int64_t)(core_random(&raft->random_state) % (RAFT_ELECTION_STAGGER_MS / 2));
}

static int may_run_for_election(struct raft *raft, int64_t now)
{
	const struct raft_member *self = raft_find_member(raft, raft->id);

	return self && self->voter && !raft->draining && !raft->fenced && !raft_sync_stalled(raft, now);
}

/* The leader ended its lease before it said so: its followers need not wait for it. The successor that it
 * names stands at once, without asking whether it would be elected; its request tells the others what they
 * may not have heard yet. */
void raft_on_step_down(struct raft *raft, const struct Nl__Msg *message, int64_t now,
		       struct command_list *out)
{
	if (message->step_down->term != raft->term || raft->leader_id != message->id ||
	    raft->role != RAFT_FOLLOWER)
		return;
	note_stepped_down(raft, raft->term);
	if (message->step_down->successor_id == raft->id && may_run_for_election(raft, now)) {
		become_candidate(raft, out, now);
		return;
	}
	raft->election_at_ms = now + (int64_t)(core_random(&raft->random_state) % STEP_DOWN_SPREAD_MS);
	if (message->step_down->successor_id)
		raft->election_at_ms += STEP_DOWN_SPREAD_MS;
}

void raft_step_down(struct raft *raft, int64_t now, struct command_list *out)
{
	uint64_t term = raft->term, successor;

	if (raft->role != RAFT_LEADER)
		return;
	successor = raft_successor(raft, now);
	raft_become_follower(raft, raft->term, now); /* the lease ends before anyone is told */
	raft->election_at_ms += RAFT_ELECTION_MS;
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id != raft->id) {
			struct Nl__StepDown *message = MESSAGE_NEW(out, Nl__StepDown, NL__STEP_DOWN__INIT);

			message->term = term;
			message->successor_id = successor;
			command_send(out, raft->members[i].addr, raft->shard, NL__MSG__BODY_STEP_DOWN)
			    ->step_down = message;
		}
}
