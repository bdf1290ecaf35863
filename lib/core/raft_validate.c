/* Validation of Raft messages before they are handled. A message that no member can have sent while
 * following the protocol is dropped completely. Late and duplicate messages are valid; their handlers take
 * care of them. The checks change no state. */
#include "raft_internal.h"

enum { MAX_ENTRIES_PER_APPEND = 4096 };

/* The largest plausible term or index: a counter that is incremented once per microsecond takes eight
 * years to reach it. */
#define MAX_COUNTER ((uint64_t)1 << 48)

static bool is_implausible(uint64_t counter)
{
	return counter > MAX_COUNTER;
}

/* Checks the sender of a leader's message: its term must be plausible, and it must be neither this member
 * itself nor a second leader of the current term. */
static enum raft_fault leader_fault(const struct raft *raft, const struct Nl__Msg *message, uint64_t term)
{
	if (!term || is_implausible(term))
		return RAFT_FAULT_TERM_OR_INDEX;
	if (message->id == raft->id)
		return RAFT_FAULT_OWN_MESSAGE;
	if (term == raft->term && raft->leader_id && raft->leader_id != message->id)
		return RAFT_FAULT_SECOND_LEADER;
	return RAFT_FAULT_NONE;
}

static enum raft_fault entries_fault(const struct Nl__Append *append)
{
	uint64_t previous_term = append->prev_term;

	if (append->n_entries > MAX_ENTRIES_PER_APPEND)
		return RAFT_FAULT_TOO_MANY_ENTRIES;
	for (size_t i = 0; i < append->n_entries; i++) {
		const struct Nl__Entry *entry = append->entries[i];

		if (!entry->term || entry->term < previous_term || entry->term > append->term)
			return RAFT_FAULT_ENTRY_TERM;
		if (entry->kind > RAFT_ENTRY_OPERATION)
			return RAFT_FAULT_ENTRY_KIND;
		if (entry->kind == RAFT_ENTRY_MEMBERS &&
		    !raft_members_valid(entry->data.data, entry->data.len))
			return RAFT_FAULT_INVALID_MEMBERS;
		previous_term = entry->term;
	}
	return RAFT_FAULT_NONE;
}

static enum raft_fault append_fault(const struct raft *raft, const struct Nl__Msg *message)
{
	const struct Nl__Append *append = message->append;
	enum raft_fault fault = leader_fault(raft, message, append->term);

	if (fault)
		return fault;
	if (is_implausible(append->prev_index) || is_implausible(append->commit_index) ||
	    append->prev_term > append->term)
		return RAFT_FAULT_TERM_OR_INDEX;
	return entries_fault(append);
}

static enum raft_fault append_reply_fault(const struct raft *raft, const struct Nl__Msg *message)
{
	const struct Nl__AppendReply *reply = message->append_reply;

	if (is_implausible(reply->term) || is_implausible(reply->match_index) ||
	    is_implausible(reply->matched_index))
		return RAFT_FAULT_TERM_OR_INDEX;
	if (raft->role != RAFT_LEADER || reply->term != raft->term)
		return RAFT_FAULT_NONE;
	if (reply->success &&
	    (reply->match_index > raft_last_index(raft) || reply->matched_index > raft_last_index(raft)))
		return RAFT_FAULT_ACKNOWLEDGEMENT;
	if (reply->round > raft->lease.heartbeat_round)
		return RAFT_FAULT_ROUND;
	return RAFT_FAULT_NONE;
}

static enum raft_fault vote_request_fault(const struct raft *raft, const struct Nl__Msg *message)
{
	const struct Nl__VoteRequest *request = message->vote_request;

	if (!request->term || is_implausible(request->term) || is_implausible(request->last_index) ||
	    request->last_term > request->term)
		return RAFT_FAULT_TERM_OR_INDEX;
	if (request->stepped_down_term >= request->term)
		return RAFT_FAULT_FUTURE_STEP_DOWN;
	return message->id == raft->id ? RAFT_FAULT_OWN_MESSAGE : RAFT_FAULT_NONE;
}

static enum raft_fault snapshot_chunk_fault(const struct raft *raft, const struct Nl__Msg *message)
{
	const struct Nl__SnapshotChunk *chunk = message->snapshot_chunk;
	enum raft_fault fault = leader_fault(raft, message, chunk->term);

	if (fault)
		return fault;
	if (!chunk->index || is_implausible(chunk->index) || !chunk->index_term ||
	    chunk->index_term > chunk->term)
		return RAFT_FAULT_TERM_OR_INDEX;
	if (chunk->digest.len != RAFT_DIGEST_BYTES)
		return RAFT_FAULT_NO_DIGEST;
	if (!chunk->members_len || chunk->members_len > chunk->total_bytes ||
	    chunk->total_bytes > RAFT_SNAPSHOT_MAX_BYTES)
		return RAFT_FAULT_SNAPSHOT_SIZE;
	if (!chunk->data.len || chunk->data.len > chunk->total_bytes ||
	    chunk->offset > chunk->total_bytes - chunk->data.len)
		return RAFT_FAULT_CHUNK_RANGE;
	return RAFT_FAULT_NONE;
}

static enum raft_fault snapshot_reply_fault(const struct Nl__SnapshotReply *reply)
{
	return is_implausible(reply->term) || is_implausible(reply->index) ||
		       reply->offset > RAFT_SNAPSHOT_MAX_BYTES
		   ? RAFT_FAULT_TERM_OR_INDEX
		   : RAFT_FAULT_NONE;
}

enum raft_fault raft_message_fault(const struct raft *raft, const struct Nl__Msg *message)
{
	switch (message->body_case) {
	case NL__MSG__BODY_VOTE_REQUEST:
		return vote_request_fault(raft, message);
	case NL__MSG__BODY_VOTE_REPLY:
		return is_implausible(message->vote_reply->term) ? RAFT_FAULT_TERM_OR_INDEX : RAFT_FAULT_NONE;
	case NL__MSG__BODY_APPEND:
		return append_fault(raft, message);
	case NL__MSG__BODY_APPEND_REPLY:
		return append_reply_fault(raft, message);
	case NL__MSG__BODY_SNAPSHOT_CHUNK:
		return snapshot_chunk_fault(raft, message);
	case NL__MSG__BODY_SNAPSHOT_REPLY:
		return snapshot_reply_fault(message->snapshot_reply);
	case NL__MSG__BODY_STEP_DOWN:
		return is_implausible(message->step_down->term) ? RAFT_FAULT_TERM_OR_INDEX : RAFT_FAULT_NONE;
	case NL__MSG__BODY_PROBE_REPLY:
		return is_implausible(message->probe_reply->last_term) ||
			       is_implausible(message->probe_reply->members_index)
			   ? RAFT_FAULT_TERM_OR_INDEX
			   : RAFT_FAULT_NONE;
	default:
		return RAFT_FAULT_NONE;
	}
}

const char *raft_fault_strerror(enum raft_fault fault)
{
	switch (fault) {
	case RAFT_FAULT_NONE:
		return "no fault";
	case RAFT_FAULT_TERM_OR_INDEX:
		return "an implausible term, index or offset";
	case RAFT_FAULT_OWN_MESSAGE:
		return "a message sent under the identity of its receiver";
	case RAFT_FAULT_SECOND_LEADER:
		return "a message of a second leader in the same term";
	case RAFT_FAULT_TOO_MANY_ENTRIES:
		return "too many entries in one append message";
	case RAFT_FAULT_ENTRY_TERM:
		return "a log entry with an impossible term";
	case RAFT_FAULT_ENTRY_KIND:
		return "a log entry of an unknown kind";
	case RAFT_FAULT_INVALID_MEMBERS:
		return "an invalid list of members";
	case RAFT_FAULT_ACKNOWLEDGEMENT:
		return "an acknowledgement of log entries that do not exist";
	case RAFT_FAULT_ROUND:
		return "a reply to a heartbeat round that was not sent";
	case RAFT_FAULT_FUTURE_STEP_DOWN:
		return "a notice that the leader of a future term stepped down";
	case RAFT_FAULT_NO_DIGEST:
		return "a snapshot without a digest";
	case RAFT_FAULT_SNAPSHOT_SIZE:
		return "a snapshot of an impossible size";
	case RAFT_FAULT_CHUNK_RANGE:
		return "a snapshot chunk outside the range of its snapshot";
	}
	return "";
}
