/* Replies that several raft modules send. Each function adds one message to the commands of the step and
 * changes nothing else. */
#include "raft_internal.h"

void raft_send_vote_reply(struct raft *raft, uint64_t candidate_addr, uint64_t term, int granted,
			  int is_pre_vote, struct command_list *out)
{
	struct Nl__VoteReply *reply = MESSAGE_NEW(out, Nl__VoteReply, NL__VOTE_REPLY__INIT);

	reply->term = term;
	reply->granted = granted;
	reply->is_pre_vote = is_pre_vote;
	command_send(out, candidate_addr, raft->shard, NL__MSG__BODY_VOTE_REPLY)->vote_reply = reply;
}

void raft_send_removed_reply(struct raft *raft, uint64_t addr, struct command_list *out)
{
	struct Nl__VoteReply *reply = MESSAGE_NEW(out, Nl__VoteReply, NL__VOTE_REPLY__INIT);

	reply->term = raft->term;
	reply->removed = 1;
	command_send(out, addr, raft->shard, NL__MSG__BODY_VOTE_REPLY)->vote_reply = reply;
}

void raft_send_append_reply(struct raft *raft, uint64_t leader_addr, int success, uint64_t match_index,
			    uint64_t heartbeat_round, struct command_list *out)
{
	struct Nl__AppendReply *reply = MESSAGE_NEW(out, Nl__AppendReply, NL__APPEND_REPLY__INIT);

	reply->term = raft->term;
	reply->success = success;
	reply->match_index = match_index;
	reply->matched_index = success ? raft->log.matched_index : 0;
	reply->round = heartbeat_round;
	reply->draining = raft->drain.requested;
	command_send(out, leader_addr, raft->shard, NL__MSG__BODY_APPEND_REPLY)->append_reply = reply;
}
