/* Elections and leadership: roles, votes, the election timer, the vote barrier that protects the leader
 * lease, and the probes with which a restarted member finds out whether a lease may still rely on a vote
 * barrier from before the restart. Invariants: a vote is sent only after it has been synced; a member grants
 * no vote before its vote barrier ends, so two leaders never hold a lease at the same time. See Ongaro's
 * dissertation (2014), 4.2.3, 6.4.1 and 9.6, and Raft (Ongaro and Ousterhout, 2014), 5.2 and 5.4. */
#include <string.h>

#include "raft_internal.h"

enum {
	/* after a leader has stepped down, its followers start an election within this time; if the leader
	 * named a successor, the other voters wait this time in addition */
	STEP_DOWN_ELECTION_DELAY_MS = 50,
	/* the first election of a new group starts within this time */
	FIRST_ELECTION_MAX_DELAY_MS = 300,
	/* age recorded for rounds that were not sent in this term: replies to them extend no lease */
	UNSENT_ROUND_AGE_MS = 1000 * RAFT_LEASE_MS
};

void raft_reset_election_timer(struct raft *raft, int64_t now)
{
	raft->election.timeout_at_ms =
	    now + RAFT_ELECTION_TIMEOUT_MS +
	    (int64_t)(core_random(&raft->random_state) % (RAFT_ELECTION_TIMEOUT_MS / 2));
}

/* No leader is known, so the next election may start sooner than after a full election timeout. The caller
 * includes in wait_ms the time that a slow disk needs to sync a vote. */
void raft_retry_election_after(struct raft *raft, int64_t wait_ms, int64_t now)
{
	raft->election.timeout_at_ms =
	    now + wait_ms + (int64_t)(core_random(&raft->random_state) % RAFT_ELECTION_RETRY_MS);
}

void raft_become_follower(struct raft *raft, uint64_t term, int64_t now)
{
	if (term > raft->term) {
		raft->term = term;
		raft->voted_for = 0;
		raft_mark_dirty(raft, 0);
		raft->leader_id = raft->leader_addr = 0;
		raft->log.matched_index = raft->log.commit_index;
		/* heartbeat rounds are numbered within a term */
		raft->lease.heartbeat_round = raft->drain.release_round = 0;
		raft->drain.release = RAFT_NOT_RELEASED;
	}
	if (raft->role == RAFT_LEADER)
		raft->leader_id = raft->leader_addr = 0;
	raft->role = RAFT_FOLLOWER;
	raft->lease.expires_at_ms = 0;
	raft->disk.self_vote_sync_seq = 0;
	raft_reset_election_timer(raft, now);
}

bool raft_has_lease(const struct raft *raft, int64_t now)
{
	return raft->role == RAFT_LEADER && now < raft->lease.expires_at_ms &&
	       raft->log.commit_index >= raft->log.term_start_index;
}

bool raft_accept_leader(struct raft *raft, const struct Nl__Msg *message, uint64_t term, int64_t now)
{
	if (term < raft->term)
		return false;
	if (term > raft->term || raft->role != RAFT_FOLLOWER)
		raft_become_follower(raft, term, now);
	raft->leader_id = message->id;
	raft->leader_addr = message->addr;
	raft->election.vote_barrier_until_ms = now + RAFT_LEASE_MS;
	raft->election.is_probing_for_leader = false;
	raft->removed = false;
	raft_reset_election_timer(raft, now);
	return true;
}

/* ---- candidates and their votes ---- */

void raft_request_votes(struct raft *raft, int is_pre_vote, int64_t now, struct command_list *out)
{
	for (int i = 0; i < raft->group.member_count; i++) {
		struct raft_member *member = &raft->group.members[i];
		struct Nl__VoteRequest *request;

		member->vote.granted = 0;
		if (member->id == raft->id || !member->voter)
			continue;
		request = MESSAGE_NEW(out, Nl__VoteRequest, NL__VOTE_REQUEST__INIT);
		request->term = is_pre_vote ? raft->term + 1 : raft->term;
		request->last_index = raft_last_index(raft);
		request->last_term = raft_last_term(raft);
		request->is_pre_vote = is_pre_vote;
		request->stepped_down_term = raft->election.stepped_down_term;
		command_send(out, member->addr, raft->shard, NL__MSG__BODY_VOTE_REQUEST)->vote_request =
		    request;
	}
	raft->lease.quorum_wait_started_at_ms = now;
}

/* The first entry of the term is sent with the first heartbeat round, so that one reply from a majority both
 * commits the entry and grants the lease. */
static void begin_first_heartbeat_round(struct raft *raft, int64_t now)
{
	raft->lease.heartbeat_round = 1;
	raft->lease.last_heartbeat_at_ms = now;
	raft->lease.heartbeat_sent_at_ms[raft->lease.heartbeat_round % RAFT_HEARTBEAT_ROUND_HISTORY] = now;
}

/* Reset the replication state of a member at the beginning of a term. A member that failed together with the
 * last leader has sent no reply since then, so half of member_lost_ms counts as elapsed. */
static void reset_member_progress(struct raft *raft, struct raft_member *member, int64_t now)
{
	uint64_t next_index = raft_last_index(raft) + 1;

	member->progress = (struct raft_progress){
		.next_index = next_index,
		.unacked_index = next_index,
		.last_reply_at_ms = now - raft->group.member_lost_ms / 2,
		.last_progress_at_ms = now,
		.resend_after_ms = RAFT_RESEND_INITIAL_MS,
	};
	member->drain.requested = false;
	member->drain.release_round = 0;
	memset(&member->transfer, 0, sizeof member->transfer);
}

static void become_leader(struct raft *raft, int64_t now, struct command_list *out)
{
	raft->role = RAFT_LEADER;
	raft->leader_id = raft->id;
	raft->leader_addr = out->addr;
	raft->lease.expires_at_ms = 0;
	raft->lease.quorum_wait_started_at_ms = now;
	raft->drain.has_remaining_majority = false;
	for (int i = 0; i < raft->group.member_count; i++)
		reset_member_progress(raft, &raft->group.members[i], now);
	for (int i = 0; i < RAFT_HEARTBEAT_ROUND_HISTORY; i++)
		raft->lease.heartbeat_sent_at_ms[i] = now - UNSENT_ROUND_AGE_MS;
	raft_append_entry(raft, raft->term, RAFT_ENTRY_NOOP, NULL, 0);
	raft->log.term_start_index = raft_last_index(raft);
	raft->election.elections_won_count++;
	begin_first_heartbeat_round(raft, now);
}

static void become_candidate(struct raft *raft, struct command_list *out, int64_t now)
{
	raft->role = RAFT_CANDIDATE;
	raft->term++;
	raft->voted_for = raft->id;
	raft->log.matched_index = raft->log.commit_index;
	raft->lease.heartbeat_round = raft->drain.release_round = 0;
	raft->leader_id = raft->leader_addr = 0;
	raft_mark_dirty(raft, 0);
	/* the flush at the end of this step requests this sync */
	raft->disk.self_vote_sync_seq = raft->disk.requested_sync_seq + 1;
	raft_request_votes(raft, 0, now, out);
	raft_retry_election_after(raft, RAFT_SYNC_STALL_MS, now);
}

/* Whether a voter has granted its vote or pre-vote. Our own vote counts once it is synced. */
static bool has_granted(const struct raft *raft, const struct raft_member *member)
{
	if (member->id == raft->id)
		return raft->role == RAFT_PRE_CANDIDATE ||
		       raft->disk.completed_sync_seq >= raft->disk.self_vote_sync_seq;
	return member->vote.granted;
}

void raft_count_votes(struct raft *raft, int64_t now, struct command_list *out)
{
	int granted_count = 0;

	for (int i = 0; i < raft->group.member_count; i++)
		if (raft->group.members[i].voter)
			granted_count += has_granted(raft, &raft->group.members[i]);
	if (granted_count <= raft_voter_count(raft) / 2)
		return;
	if (raft->role == RAFT_PRE_CANDIDATE)
		become_candidate(raft, out, now);
	else if (raft->role == RAFT_CANDIDATE)
		become_leader(raft, now, out);
}

void raft_start_election(struct raft *raft, int64_t now, struct command_list *out)
{
	raft->role = RAFT_PRE_CANDIDATE;
	raft->leader_id = raft->leader_addr = 0;
	raft_request_votes(raft, 1, now, out);
	raft_retry_election_after(raft, RAFT_ELECTION_RETRY_MS, now);
	raft_count_votes(raft, now, out);
}

/* ---- voters ---- */

/* The leader of a term has stepped down, so its lease has ended. If this member knows no later term, its vote
 * barrier protects either that leader or an earlier one, whose lease ended before that leader was elected. In
 * both cases no lease is left to protect, and the barrier ends. */
static void end_vote_barrier_after_step_down(struct raft *raft, uint64_t term)
{
	if (!term || term < raft->term)
		return;
	raft->election.stepped_down_term = term;
	raft->election.vote_barrier_until_ms = 0;
	raft->election.is_probing_for_leader = false;
}

/* Whether a candidate's log is at least as up-to-date as ours (Raft paper, 5.4.1). */
static bool is_up_to_date(const struct raft *raft, const struct Nl__VoteRequest *request)
{
	uint64_t last_term = raft_last_term(raft);

	return request->last_term > last_term ||
	       (request->last_term == last_term && request->last_index >= raft_last_index(raft));
}

/* Grant the vote of this term. The reply is sent once the vote is synced (raft_synced). */
static void grant_vote(struct raft *raft, const struct Nl__Msg *message, int64_t now)
{
	raft->voted_for = message->id;
	raft_mark_dirty(raft, 0);
	raft->disk.pending_vote.active = true;
	raft->disk.pending_vote.sync_seq = raft->disk.requested_sync_seq + 1;
	raft->disk.pending_vote.candidate_addr = message->addr;
	raft->disk.pending_vote.term = raft->term;
	raft_reset_election_timer(raft, now);
}

void raft_on_vote_request(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			  struct command_list *out)
{
	const struct Nl__VoteRequest *request = message->vote_request;
	int log_up_to_date = is_up_to_date(raft, request);
	int may_vote, grants_pre_vote;

	if (raft_has_lease(raft, now) && raft->group.members_index <= raft->log.commit_index &&
	    !raft_find_member(raft, message->id)) {
		raft_send_removed_reply(raft, message->addr, out);
		return;
	}
	end_vote_barrier_after_step_down(raft, request->stepped_down_term);
	may_vote = now >= raft->election.vote_barrier_until_ms && !raft_has_lease(raft, now);
	if (request->is_pre_vote || !may_vote || request->term < raft->term) {
		grants_pre_vote = request->is_pre_vote && log_up_to_date && may_vote;
		raft_send_vote_reply(raft, message->addr, grants_pre_vote ? request->term : raft->term,
				     grants_pre_vote && request->term > raft->term, request->is_pre_vote,
				     out);
		return;
	}
	if (request->term > raft->term)
		raft_become_follower(raft, request->term, now);
	if (!log_up_to_date || (raft->voted_for && raft->voted_for != message->id)) {
		raft_send_vote_reply(raft, message->addr, raft->term, 0, 0, out);
		return;
	}
	grant_vote(raft, message, now);
}

/* Whether a granted vote is for our current candidacy, or a granted pre-vote is for the candidacy that would
 * follow. */
static int is_for_current_candidacy(const struct raft *raft, const struct Nl__VoteReply *reply)
{
	if (reply->is_pre_vote)
		return raft->role == RAFT_PRE_CANDIDATE && reply->term == raft->term + 1;
	return raft->role == RAFT_CANDIDATE && reply->term == raft->term;
}

void raft_on_vote_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			struct command_list *out)
{
	const struct Nl__VoteReply *reply = message->vote_reply;
	struct raft_member *member = raft_find_member(raft, message->id);

	if (reply->removed && reply->term >= raft->term) {
		raft_become_follower(raft, raft->term, now);
		raft->removed = true;
		return;
	}
	if (reply->term > raft->term && !(reply->is_pre_vote && reply->granted)) {
		raft_become_follower(raft, reply->term, now);
		return;
	}
	if (!member || !reply->granted)
		return;
	if (!is_for_current_candidacy(raft, reply))
		return;
	member->vote.granted = true;
	raft_count_votes(raft, now, out);
}

/* ---- after a restart ----
 *
 * A restarted member waits until any vote barrier that it may have set before the restart has ended. When all
 * members of the group have restarted, this wait would protect a leader that no longer leads. The member
 * therefore probes all members that it knows. Once all of them have replied to this incarnation that they do
 * not lead, no lease relies on its earlier vote barrier, and the barrier ends. A leader that the member does
 * not know can exist only if a member that it knows took part in a change of membership, and therefore has a
 * log of a later term, or a later members entry. In that case the barrier is waited out. */

void raft_send_probes(struct raft *raft, int64_t now, struct command_list *out)
{
	raft->election.next_probe_at_ms = now + RAFT_PROBE_INTERVAL_MS;
	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *member = &raft->group.members[i];
		struct Nl__Probe *probe;

		if (member->id == raft->id || member->vote.denied_leadership)
			continue;
		probe = MESSAGE_NEW(out, Nl__Probe, NL__PROBE__INIT);
		probe->incarnation = raft->election.incarnation;
		command_send(out, member->addr, raft->shard, NL__MSG__BODY_PROBE)->probe = probe;
	}
}

void raft_on_probe(struct raft *raft, const struct Nl__Msg *message, struct command_list *out)
{
	struct Nl__ProbeReply *reply;

	if (!raft_find_member(raft, raft->id))
		return; /* a removed member may not know the group's current leader */
	reply = MESSAGE_NEW(out, Nl__ProbeReply, NL__PROBE_REPLY__INIT);
	reply->incarnation = message->probe->incarnation;
	reply->is_leader = raft->role == RAFT_LEADER;
	reply->last_term = raft_last_term(raft);
	reply->members_index = raft->group.members_index;
	command_send(out, message->addr, raft->shard, NL__MSG__BODY_PROBE_REPLY)->probe_reply = reply;
}

/* The number of voters that rendezvous hashing ranks before this one in its shard. Voters that restarted
 * together start their elections one after another, in this order. */
static int count_voters_ranked_first(const struct raft *raft)
{
	uint64_t own_weight = core_rendezvous_weight(raft->id, raft->shard);
	int count = 0;

	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *member = &raft->group.members[i];

		count += member->voter && core_rendezvous_weight(member->id, raft->shard) > own_weight;
	}
	return count;
}

/* Whether a reply shows that its sender leads, or that a leader may exist which this member does not know. */
static bool may_have_unknown_leader(const struct raft *raft, const struct Nl__ProbeReply *reply)
{
	uint64_t term = raft_last_term(raft);

	return reply->is_leader || reply->last_term > term ||
	       (reply->last_term == term && reply->members_index > raft->group.members_index);
}

void raft_on_probe_reply(struct raft *raft, const struct Nl__Msg *message, int64_t now)
{
	const struct Nl__ProbeReply *reply = message->probe_reply;
	struct raft_member *member = raft_find_member(raft, message->id);

	if (!raft->election.is_probing_for_leader || reply->incarnation != raft->election.incarnation ||
	    !member)
		return;
	if (may_have_unknown_leader(raft, reply)) {
		/* no more probes are sent: the vote barrier is waited out */
		raft->election.is_probing_for_leader = false;
		return;
	}
	member->vote.denied_leadership = true;
	for (int i = 0; i < raft->group.member_count; i++)
		if (raft->group.members[i].id != raft->id && !raft->group.members[i].vote.denied_leadership)
			return;
	raft->election.is_probing_for_leader = false;
	raft->election.vote_barrier_until_ms = 0;
	raft->election.timeout_at_ms =
	    now + RAFT_ELECTION_STAGGER_MS * (1 + count_voters_ranked_first(raft)) +
	    (int64_t)(core_random(&raft->random_state) % (RAFT_ELECTION_STAGGER_MS / 2));
}

static bool may_start_election(struct raft *raft, int64_t now)
{
	const struct raft_member *self = raft_find_member(raft, raft->id);

	return self && self->voter && !raft->drain.requested && !raft->fenced &&
	       !raft_is_sync_stalled(raft, now);
}

/* The leader ended its lease before it announced its step-down, so its followers need not wait for the lease.
 * The successor named in the announcement starts an election at once, without a pre-vote. Its vote requests
 * contain the term of the step-down, for members that have not received the announcement. */
void raft_on_step_down(struct raft *raft, const struct Nl__Msg *message, int64_t now,
		       struct command_list *out)
{
	if (message->step_down->term != raft->term || raft->leader_id != message->id ||
	    raft->role != RAFT_FOLLOWER)
		return;
	end_vote_barrier_after_step_down(raft, raft->term);
	if (message->step_down->successor_id == raft->id && may_start_election(raft, now)) {
		become_candidate(raft, out, now);
		return;
	}
	raft->election.timeout_at_ms =
	    now + (int64_t)(core_random(&raft->random_state) % STEP_DOWN_ELECTION_DELAY_MS);
	if (message->step_down->successor_id)
		raft->election.timeout_at_ms += STEP_DOWN_ELECTION_DELAY_MS;
}

void raft_step_down(struct raft *raft, int64_t now, struct command_list *out)
{
	uint64_t term = raft->term, successor;

	if (raft->role != RAFT_LEADER)
		return;
	successor = raft_find_successor(raft, now);
	raft_become_follower(raft, raft->term, now); /* the lease ends before the step-down is announced */
	raft->election.timeout_at_ms += RAFT_ELECTION_TIMEOUT_MS;
	for (int i = 0; i < raft->group.member_count; i++) {
		const struct raft_member *member = &raft->group.members[i];
		struct Nl__StepDown *message;

		if (member->id == raft->id)
			continue;
		message = MESSAGE_NEW(out, Nl__StepDown, NL__STEP_DOWN__INIT);
		message->term = term;
		message->successor_id = successor;
		command_send(out, member->addr, raft->shard, NL__MSG__BODY_STEP_DOWN)->step_down = message;
	}
}

/* ---- start ---- */

void raft_init_elections(struct raft *raft, int64_t now)
{
	raft->election.vote_barrier_until_ms = now + RAFT_LEASE_MS;
	raft->election.is_probing_for_leader = true;
	raft->election.incarnation = core_random(&raft->random_state);
	raft->election.next_probe_at_ms = now;
	raft_reset_election_timer(raft, now);
}

void raft_schedule_first_election(struct raft *raft, int64_t now)
{
	raft->election.timeout_at_ms =
	    now + (int64_t)(core_random(&raft->random_state) % FIRST_ELECTION_MAX_DELAY_MS);
	raft->election.vote_barrier_until_ms = 0;
	raft->election.is_probing_for_leader = false;
}
