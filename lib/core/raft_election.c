/* Elections: follower, pre-candidate, candidate, leader; votes, the vote barrier that protects a leader lease, and the
 * probes by which a restarted member learns that no lease rests on a vote barrier from before its restart.
 * A vote is told only once it is synced; nobody votes while its vote barrier stands. */
#include "raft_internal.h"

#include <string.h>

#include "ds.h"

enum { STEP_DOWN_SPREAD_MS = 50 }; /* voters other than the successor wait so long, and up to as much more */

void raft_reset_election_timer(struct raft *raft, int64_t now)
{
	raft->election_at = now + RAFT_ELECTION_MS + (int64_t)(core_rand(&raft->rng) % (RAFT_ELECTION_MS / 2));
}

/* No owner is about, so the next try need not wait for one; but a slow disk must have had its time. */
void raft_retry_election_after(struct raft *raft, int64_t wait, int64_t now)
{
	raft->election_at = now + wait + (int64_t)(core_rand(&raft->rng) % RAFT_ELECTION_RETRY_MS);
}

void raft_become_follower(struct raft *raft, uint64_t term, int64_t now)
{
	if (term > raft->term) {
		raft->term = term;
		raft->vote = 0;
		raft_mark_dirty(raft, 0);
		raft->leader_id = raft->leader_addr = 0;
		raft->matched = raft->commit;
		raft->round = raft->release_round = 0; /* rounds are counted within a term */
		raft->release = RAFT_HELD;
	}
	if (raft->role == RAFT_LEADER)
		raft->leader_id = raft->leader_addr = 0;
	raft->role = RAFT_FOLLOWER;
	raft->lease_expires_at = 0;
	raft->self_vote_seq = 0;
	raft_reset_election_timer(raft, now);
}

int raft_sync_stalled(const struct raft *raft, int64_t now)
{
	return arrlen(raft->marks) && now - raft->marks[0].at > RAFT_SYNC_STALL_MS;
}

void raft_request_votes(struct raft *raft, int pre, int64_t now, struct out *o)
{
	for (int i = 0; i < raft->member_count; i++) {
		struct Nl__VoteAsk *a;

		raft->members[i].granted = 0;
		if (raft->members[i].id == raft->id || !raft->members[i].voter)
			continue;
		a = OUT_NEW(o, Nl__VoteAsk, NL__VOTE_ASK__INIT);
		a->term = pre ? raft->term + 1 : raft->term;
		a->last = raft_last_index(raft);
		a->last_term = raft_term_at(raft, raft_last_index(raft));
		a->pre = pre;
		a->gave_up = raft->gave_up;
		out_msg(o, raft->members[i].addr, raft->no, NL__MSG__BODY_VOTE_ASK)->vote_ask = a;
	}
	raft->quorum_asked_at = now;
}

/* The first entry of the term carries the first heartbeat round: one answer of a majority gives commit and lease. */
static void begin_round(struct raft *raft, int64_t now)
{
	raft->round = 1;
	raft->heartbeat_at = now;
	raft->heartbeat_sent_at[raft->round % 64] = now;
}

static void become_leader(struct raft *raft, int64_t now, struct out *o)
{
	raft->role = RAFT_LEADER;
	raft->leader_id = raft->id;
	raft->leader_addr = o->addr;
	raft->lease_expires_at = 0;
	raft->quorum_asked_at = now;
	raft->staying_majority = 0;
	for (int i = 0; i < raft->member_count; i++) {
		raft->members[i].next = raft_last_index(raft) + 1;
		raft->members[i].unacked = raft->members[i].next;
		raft->members[i].match = 0;
		raft->members[i].round = 0;
		raft->members[i].heard_at =
		    now - raft->member_lost_ms / 2; /* who fell with the last owner has been silent since then */
		raft->members[i].leaving = 0;
		raft->members[i].release_round = 0;
		raft->members[i].probing = 0;
		raft->members[i].progress_at = now;
		raft->members[i].resend_ms = RAFT_RESEND_MS;
		memset(&raft->members[i].transfer, 0, sizeof raft->members[i].transfer);
	}
	for (int i = 0; i < 64; i++)
		raft->heartbeat_sent_at[i] = now - 1000 * RAFT_LEASE_MS; /* acks of earlier rounds grant nothing */
	raft_append_entry(raft, raft->term, RAFT_ENTRY_NOOP, NULL, 0);
	raft->term_start = raft_last_index(raft);
	raft->elections++;
	begin_round(raft, now);
}

static void become_candidate(struct raft *raft, struct out *o, int64_t now)
{
	raft->role = RAFT_CANDIDATE;
	raft->term++;
	raft->vote = raft->id;
	raft->matched = raft->commit;
	raft->round = raft->release_round = 0;
	raft->leader_id = raft->leader_addr = 0;
	raft_mark_dirty(raft, 0);
	raft->self_vote_seq = raft->seq + 1; /* the sync that this step's flush will ask for */
	raft_request_votes(raft, 0, now, o);
	raft_retry_election_after(raft, RAFT_SYNC_STALL_MS, now);
}

void raft_count_votes(struct raft *raft, int64_t now, struct out *o)
{
	int n = 0;

	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].voter)
			n += raft->members[i].id == raft->id
				 ? raft->role == RAFT_PRE_CANDIDATE || raft->synced >= raft->self_vote_seq
				 : raft->members[i].granted;
	if (n <= raft_voter_count(raft) / 2)
		return;
	if (raft->role == RAFT_PRE_CANDIDATE)
		become_candidate(raft, o, now);
	else if (raft->role == RAFT_CANDIDATE)
		become_leader(raft, now, o);
}

void raft_send_vote(struct raft *raft, uint64_t to, uint64_t term, int granted, int pre, struct out *o)
{
	struct Nl__VoteReply *r = OUT_NEW(o, Nl__VoteReply, NL__VOTE_REPLY__INIT);

	r->term = term;
	r->granted = granted;
	r->pre = pre;
	out_msg(o, to, raft->no, NL__MSG__BODY_VOTE_REPLY)->vote_reply = r;
}

/* A candidate was taken out of the group while it was away. */
static void send_removed(struct raft *raft, uint64_t to, struct out *o)
{
	struct Nl__VoteReply *r = OUT_NEW(o, Nl__VoteReply, NL__VOTE_REPLY__INIT);

	r->term = raft->term;
	r->removed = 1;
	out_msg(o, to, raft->no, NL__MSG__BODY_VOTE_REPLY)->vote_reply = r;
}

/* The leader of a term has dropped its lease. Where this member knows of no later term, whatever it promised was promised to
 * that leader or to an earlier one, whose lease was over before that one led. */
static void note_gave_up(struct raft *raft, uint64_t term)
{
	if (!term || term < raft->term)
		return;
	raft->gave_up = term;
	raft->vote_barrier_until = 0;
	raft->vote_barrier_unknown = 0;
}

void raft_on_vote_request(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__VoteAsk *a = m->vote_ask;
	int newer = a->last_term > raft_term_at(raft, raft_last_index(raft)) ||
		    (a->last_term == raft_term_at(raft, raft_last_index(raft)) && a->last >= raft_last_index(raft));
	int free_to;

	if (raft_has_lease(raft, now) && raft->members_index <= raft->commit && !raft_find_member(raft, m->id)) {
		send_removed(raft, m->addr, o);
		return;
	}
	note_gave_up(raft, a->gave_up);
	free_to = now >= raft->vote_barrier_until && !raft_has_lease(raft, now);
	if (a->pre || !free_to || a->term < raft->term) {
		raft_send_vote(raft, m->addr, a->pre && newer && free_to ? a->term : raft->term,
			       a->pre && newer && free_to && a->term > raft->term, a->pre, o);
		return;
	}
	if (a->term > raft->term)
		raft_become_follower(raft, a->term, now);
	if (!newer || (raft->vote && raft->vote != m->id)) {
		raft_send_vote(raft, m->addr, raft->term, 0, 0, o);
		return;
	}
	raft->vote = m->id;
	raft_mark_dirty(raft, 0);
	raft->vote_held.on = 1; /* said only once it is on the disk */
	raft->vote_held.seq = raft->seq + 1;
	raft->vote_held.to = m->addr;
	raft->vote_held.term = raft->term;
	raft_reset_election_timer(raft, now);
}

void raft_on_vote_reply(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	const struct Nl__VoteReply *r = m->vote_reply;
	struct raft_member *who = raft_find_member(raft, m->id);

	if (r->removed && r->term >= raft->term) {
		raft_become_follower(raft, raft->term, now);
		raft->removed = 1;
		return;
	}
	if (r->term > raft->term && !(r->pre && r->granted)) {
		raft_become_follower(raft, r->term, now);
		return;
	}
	if (!who || !r->granted)
		return;
	if (r->pre ? raft->role == RAFT_PRE_CANDIDATE && r->term == raft->term + 1
		   : raft->role == RAFT_CANDIDATE && r->term == raft->term) {
		who->granted = 1;
		raft_count_votes(raft, now, o);
	}
}

/* ---- back after a fall ----------------------------------------------------

One that came back waits out what it may have promised before. When all fell together, that would be a wait for an owner that
fell too. So it asks every member that it knows; once all of them have said, in this life of ours, that they own nothing, nobody
holds a lease that rests on a promise from before. An owner that we do not know can be there only if some member of ours
was there when the members changed, so that its log is of a later term, or has a later members entry, than ours: then we wait. */

void raft_send_probes(struct raft *raft, int64_t now, struct out *o)
{
	raft->probe_at = now + RAFT_PROBE_MS;
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id != raft->id && !raft->members[i].not_leader) {
			struct Nl__Probe *a = OUT_NEW(o, Nl__Probe, NL__PROBE__INIT);

			a->life = raft->life;
			out_msg(o, raft->members[i].addr, raft->no, NL__MSG__BODY_PROBE)->probe = a;
		}
}

void raft_on_probe(struct raft *raft, const struct Nl__Msg *m, struct out *o)
{
	struct Nl__ProbeReply *r;

	if (!raft_find_member(raft, raft->id))
		return; /* one that left may have forgotten what it knew */
	r = OUT_NEW(o, Nl__ProbeReply, NL__PROBE_REPLY__INIT);
	r->life = m->probe->life;
	r->owner = raft->role == RAFT_LEADER;
	r->last_term = raft_term_at(raft, raft_last_index(raft));
	r->members_at = raft->members_index;
	out_msg(o, m->addr, raft->no, NL__MSG__BODY_PROBE_REPLY)->probe_reply = r;
}

/* In this part so many members go before us, so that who fell together does not ask for votes together. */
static int voters_ahead(const struct raft *raft)
{
	int n = 0;

	for (int i = 0; i < raft->member_count; i++)
		n += raft->members[i].voter && core_rdv(raft->members[i].id, raft->no) > core_rdv(raft->id, raft->no);
	return n;
}

void raft_on_probe_reply(struct raft *raft, const struct Nl__Msg *m, int64_t now)
{
	const struct Nl__ProbeReply *r = m->probe_reply;
	struct raft_member *who = raft_find_member(raft, m->id);
	uint64_t term = raft_term_at(raft, raft_last_index(raft));

	if (!raft->vote_barrier_unknown || r->life != raft->life || !who)
		return;
	if (r->owner || r->last_term > term || (r->last_term == term && r->members_at > raft->members_index)) {
		raft->vote_barrier_unknown = 0; /* the promise is waited out */
		return;
	}
	who->not_leader = 1;
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id != raft->id && !raft->members[i].not_leader)
			return;
	raft->vote_barrier_unknown = 0;
	raft->vote_barrier_until = 0;
	raft->election_at = now + RAFT_ELECTION_STAGGER_MS * (1 + voters_ahead(raft)) +
			    (int64_t)(core_rand(&raft->rng) % (RAFT_ELECTION_STAGGER_MS / 2));
}

static int may_stand(struct raft *raft, int64_t now)
{
	const struct raft_member *self = raft_find_member(raft, raft->id);

	return self && self->voter && !raft->leaving && !raft->fenced && !raft_sync_stalled(raft, now);
}

/* The leader ended its lease before it said so: its followers need not wait for it. The successor that it names stands at
 * once, without asking whether it would be elected; its request tells the others what they may not have heard yet. */
void raft_on_give_up(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o)
{
	if (m->give_up->term != raft->term || raft->leader_id != m->id || raft->role != RAFT_FOLLOWER)
		return;
	note_gave_up(raft, raft->term);
	if (m->give_up->successor == raft->id && may_stand(raft, now)) {
		become_candidate(raft, o, now);
		return;
	}
	raft->election_at = now + (int64_t)(core_rand(&raft->rng) % STEP_DOWN_SPREAD_MS);
	if (m->give_up->successor)
		raft->election_at += STEP_DOWN_SPREAD_MS;
}

void raft_step_down(struct raft *raft, int64_t now, struct out *o)
{
	uint64_t term = raft->term, successor;

	if (raft->role != RAFT_LEADER)
		return;
	successor = raft_successor(raft, now);
	raft_become_follower(raft, raft->term, now); /* the lease ends before anyone is told */
	raft->election_at += RAFT_ELECTION_MS;
	for (int i = 0; i < raft->member_count; i++)
		if (raft->members[i].id != raft->id) {
			struct Nl__GiveUp *g = OUT_NEW(o, Nl__GiveUp, NL__GIVE_UP__INIT);

			g->term = term;
			g->successor = successor;
			out_msg(o, raft->members[i].addr, raft->no, NL__MSG__BODY_GIVE_UP)->give_up = g;
		}
}
