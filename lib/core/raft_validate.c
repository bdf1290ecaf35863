/* Checks on messages of the replicated state machine, before anything is done with them: what no member that
 * keeps to the protocol can have sent is dropped as a whole. Called by raft_receive. Messages that are merely
 * late or repeated pass; the protocol deals with them. */
#include "raft_internal.h"

enum { MAX_ENTRIES_PER_APPEND = 4096 };

/* Terms and indices beyond this come from no fleet: counted up once a microsecond it takes eight years. */
#define MAX_COUNTER ((uint64_t)1 << 48)

static int absurd(uint64_t counter)
{
	return counter > MAX_COUNTER;
}

/* A leader's own message came back, or another claims to lead in a term that has a leader. */
static const char *leader_fault(const struct raft *raft, const struct Nl__Msg *message, uint64_t term)
{
	if (!term || absurd(term))
		return "an absurd term";
	if (message->id == raft->id)
		return "a message of our own";
	if (term == raft->term && raft->leader_id && raft->leader_id != message->id)
		return "a second leader of one term";
	return NULL;
}

static const char *entries_fault(const struct Nl__Append *append)
{
	uint64_t term = append->prev_term;

	if (append->n_entries > MAX_ENTRIES_PER_APPEND)
		return "too many entries";
	for (size_t i = 0; i < append->n_entries; i++) {
		const struct Nl__Entry *entry = append->entries[i];

		if (!entry->term || entry->term < term || entry->term > append->term)
			return "an entry of an impossible term";
		if (entry->kind > RAFT_ENTRY_OPERATION)
			return "an entry of an unknown kind";
		if (entry->kind == RAFT_ENTRY_MEMBERS &&
		    !raft_members_valid(entry->data.data, entry->data.len))
			return "an impossible list of members";
		term = entry->term;
	}
	return NULL;
}

static const char *append_fault(const struct raft *raft, const struct Nl__Msg *message)
{
	const struct Nl__Append *append = message->append;
	const char *fault = leader_fault(raft, message, append->term);

	if (fault)
		return fault;
	if (absurd(append->prev_index) || absurd(append->commit_index) || append->prev_term > append->term)
		return "an absurd index";
	return entries_fault(append);
}

static const char *append_reply_fault(const struct raft *raft, const struct Nl__Msg *message)
{
	const struct Nl__AppendReply *reply = message->append_reply;

	if (absurd(reply->term) || absurd(reply->match_index) || absurd(reply->matched_index))
		return "an absurd term or index";
	if (raft->role != RAFT_LEADER || reply->term != raft->term)
		return NULL;
	if (reply->success &&
	    (reply->match_index > raft_last_index(raft) || reply->matched_index > raft_last_index(raft)))
		return "an acknowledgement of entries that do not exist";
	if (reply->round > raft->heartbeat_round)
		return "an answer to a heartbeat that was not sent";
	return NULL;
}

static const char *vote_fault(const struct raft *raft, const struct Nl__Msg *message)
{
	const struct Nl__VoteRequest *request = message->vote_request;

	if (!request->term || absurd(request->term) || absurd(request->last_index) ||
	    request->last_term > request->term)
		return "an absurd term or index";
	if (request->stepped_down_term >= request->term)
		return "a leader that gave up a term to come";
	return message->id == raft->id ? "a message of our own" : NULL;
}

static const char *chunk_fault(const struct raft *raft, const struct Nl__Msg *message)
{
	const struct Nl__SnapshotChunk *piece = message->snapshot_chunk;
	const char *fault = leader_fault(raft, message, piece->term);

	if (fault)
		return fault;
	if (!piece->index || absurd(piece->index) || !piece->index_term || piece->index_term > piece->term)
		return "a snapshot of an absurd index or term";
	if (piece->digest.len != RAFT_DIGEST_BYTES)
		return "a snapshot without a digest";
	if (!piece->members_len || piece->members_len > piece->total_bytes ||
	    piece->total_bytes > RAFT_SNAPSHOT_MAX_BYTES)
		return "a snapshot of an absurd size";
	if (!piece->data.len || piece->data.len > piece->total_bytes ||
	    piece->offset > piece->total_bytes - piece->data.len)
		return "a piece outside its snapshot";
	return NULL;
}

static const char *chunk_reply_fault(const struct Nl__SnapshotReply *reply)
{
	return absurd(reply->term) || absurd(reply->index) || reply->offset > RAFT_SNAPSHOT_MAX_BYTES
		   ? "an absurd term, index or offset"
		   : NULL;
}

const char *raft_message_fault(const struct raft *raft, const struct Nl__Msg *message)
{
	switch (message->body_case) {
	case NL__MSG__BODY_VOTE_REQUEST:
		return vote_fault(raft, message);
	case NL__MSG__BODY_VOTE_REPLY:
		return absurd(message->vote_reply->term) ? "an absurd term" : NULL;
	case NL__MSG__BODY_APPEND:
		return append_fault(raft, message);
	case NL__MSG__BODY_APPEND_REPLY:
		return append_reply_fault(raft, message);
	case NL__MSG__BODY_SNAPSHOT_CHUNK:
		return chunk_fault(raft, message);
	case NL__MSG__BODY_SNAPSHOT_REPLY:
		return chunk_reply_fault(message->snapshot_reply);
	case NL__MSG__BODY_STEP_DOWN:
		return absurd(message->step_down->term) ? "an absurd term" : NULL;
	case NL__MSG__BODY_PROBE_REPLY:
		return absurd(message->probe_reply->last_term) || absurd(message->probe_reply->members_index)
			   ? "an absurd term or index"
			   : NULL;
	default:
		return NULL;
	}
}
