/* Checks on messages of the replicated state machine, before anything is done with them: what no member that keeps to the
 * protocol can have sent is dropped as a whole. Called by raft_receive. Messages that are merely late or repeated pass;
 * the protocol deals with them. */
#include "raft_internal.h"

enum { MAX_ENTRIES_PER_APPEND = 4096 };

/* Terms and indices beyond this come from no fleet: counted up once a microsecond it takes eight years. */
#define MAX_COUNTER ((uint64_t)1 << 48)

static int absurd(uint64_t counter) { return counter > MAX_COUNTER; }

/* A leader's own message came back, or another claims to lead in a term that has a leader. */
static const char *leader_fault(const struct raft *raft, const struct Nl__Msg *m, uint64_t term)
{
	if (!term || absurd(term))
		return "an absurd term";
	if (m->id == raft->id)
		return "a message of our own";
	if (term == raft->term && raft->leader_id && raft->leader_id != m->id)
		return "a second leader of one term";
	return NULL;
}

static const char *entries_fault(const struct Nl__Append *a)
{
	uint64_t term = a->prev_term;

	if (a->n_e > MAX_ENTRIES_PER_APPEND)
		return "too many entries";
	for (size_t i = 0; i < a->n_e; i++) {
		const struct Nl__Entry *e = a->e[i];

		if (!e->term || e->term < term || e->term > a->term)
			return "an entry of an impossible term";
		if (e->kind > RAFT_ENTRY_OPERATION)
			return "an entry of an unknown kind";
		if (e->kind == RAFT_ENTRY_MEMBERS && !raft_members_valid(e->data.data, e->data.len))
			return "an impossible list of members";
		term = e->term;
	}
	return NULL;
}

static const char *append_fault(const struct raft *raft, const struct Nl__Msg *m)
{
	const struct Nl__Append *a = m->append;
	const char *fault = leader_fault(raft, m, a->term);

	if (fault)
		return fault;
	if (absurd(a->prev) || absurd(a->commit) || a->prev_term > a->term)
		return "an absurd index";
	return entries_fault(a);
}

static const char *append_reply_fault(const struct raft *raft, const struct Nl__Msg *m)
{
	const struct Nl__AppendReply *r = m->append_reply;

	if (absurd(r->term) || absurd(r->match) || absurd(r->matched))
		return "an absurd term or index";
	if (raft->role != RAFT_LEADER || r->term != raft->term)
		return NULL;
	if (r->ok && (r->match > raft_last_index(raft) || r->matched > raft_last_index(raft)))
		return "an acknowledgement of entries that do not exist";
	if (r->round > raft->round)
		return "an answer to a heartbeat that was not sent";
	return NULL;
}

static const char *vote_fault(const struct raft *raft, const struct Nl__Msg *m)
{
	const struct Nl__VoteAsk *v = m->vote_ask;

	if (!v->term || absurd(v->term) || absurd(v->last) || v->last_term > v->term)
		return "an absurd term or index";
	if (v->gave_up >= v->term)
		return "a leader that gave up a term to come";
	return m->id == raft->id ? "a message of our own" : NULL;
}

static const char *piece_fault(const struct raft *raft, const struct Nl__Msg *m)
{
	const struct Nl__SnapshotPiece *p = m->snapshot_piece;
	const char *fault = leader_fault(raft, m, p->term);

	if (fault)
		return fault;
	if (!p->index || absurd(p->index) || !p->index_term || p->index_term > p->term)
		return "a snapshot of an absurd index or term";
	if (p->digest.len != RAFT_DIGEST_BYTES)
		return "a snapshot without a digest";
	if (!p->members_len || p->members_len > p->total || p->total > RAFT_SNAPSHOT_MAX_BYTES)
		return "a snapshot of an absurd size";
	if (!p->data.len || p->data.len > p->total || p->offset > p->total - p->data.len)
		return "a piece outside its snapshot";
	return NULL;
}

static const char *piece_reply_fault(const struct Nl__SnapshotReply *r)
{
	return absurd(r->term) || absurd(r->index) || r->offset > RAFT_SNAPSHOT_MAX_BYTES ? "an absurd term, index or offset"
											  : NULL;
}

const char *raft_message_fault(const struct raft *raft, const struct Nl__Msg *m)
{
	switch (m->body_case) {
	case NL__MSG__BODY_VOTE_ASK: return vote_fault(raft, m);
	case NL__MSG__BODY_VOTE_REPLY: return absurd(m->vote_reply->term) ? "an absurd term" : NULL;
	case NL__MSG__BODY_APPEND: return append_fault(raft, m);
	case NL__MSG__BODY_APPEND_REPLY: return append_reply_fault(raft, m);
	case NL__MSG__BODY_SNAPSHOT_PIECE: return piece_fault(raft, m);
	case NL__MSG__BODY_SNAPSHOT_REPLY: return piece_reply_fault(m->snapshot_reply);
	case NL__MSG__BODY_GIVE_UP: return absurd(m->give_up->term) ? "an absurd term" : NULL;
	case NL__MSG__BODY_PROBE_REPLY:
		return absurd(m->probe_reply->last_term) || absurd(m->probe_reply->members_at) ? "an absurd term or index" : NULL;
	default: return NULL;
	}
}
