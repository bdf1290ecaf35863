/* raft_leader: see raft_leader.h for the contract. */
#include "raft_leader.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "containers.h"

struct Nl__Msg leader_message(int body)
{
	struct Nl__Msg message = NL__MSG__INIT;

	message.body_case = (Nl__Msg__BodyCase)body;
	return message;
}

void leader_sync_disk(struct leader *leader)
{
	raft_flush(&leader->raft, leader->now, &leader->out);
	raft_synced(&leader->raft, leader->raft.disk.requested_sync_seq, leader->now, &leader->out);
	raft_flush(&leader->raft, leader->now, &leader->out);
}

void leader_receive(struct leader *leader, uint64_t from, struct Nl__Msg *message)
{
	message->id = from;
	message->addr = 100 + from;
	raft_receive(&leader->raft, message, leader->now, &leader->out);
	leader_sync_disk(leader);
}

void leader_receive_vote(struct leader *leader, uint64_t from, uint64_t term, int is_pre_vote)
{
	struct Nl__Msg message = leader_message(NL__MSG__BODY_VOTE_REPLY);
	struct Nl__VoteReply reply = NL__VOTE_REPLY__INIT;

	reply.term = term;
	reply.granted = 1;
	reply.is_pre_vote = is_pre_vote;
	message.vote_reply = &reply;
	leader_receive(leader, from, &message);
}

void leader_receive_append_reply(struct leader *leader, uint64_t from, uint64_t match)
{
	struct Nl__Msg message = leader_message(NL__MSG__BODY_APPEND_REPLY);
	struct Nl__AppendReply reply = NL__APPEND_REPLY__INIT;

	reply.term = leader->raft.term;
	reply.success = 1;
	reply.match_index = match;
	reply.round = leader->raft.lease.heartbeat_round;
	message.append_reply = &reply;
	leader_receive(leader, from, &message);
}

uint64_t leader_last_index(const struct leader *leader)
{
	return leader->raft.log.base_index + (uint64_t)arrlen(leader->raft.log.entries);
}

void leader_run_heartbeats(struct leader *leader, int64_t ms, unsigned answering)
{
	for (int64_t end = leader->now + ms; leader->now < end;) {
		leader->now += RAFT_HEARTBEAT_INTERVAL_MS;
		raft_tick(&leader->raft, leader->now, &leader->out);
		leader_sync_disk(leader);
		for (uint64_t id = 2; id < 10; id++)
			if (answering >> id & 1)
				leader_receive_append_reply(leader, id, leader_last_index(leader));
		command_list_clear(&leader->out);
	}
}

void leader_begin(struct leader *leader, int voters)
{
	struct raft_member members[RAFT_MAX_MEMBERS];

	memset(leader, 0, sizeof *leader);
	memset(members, 0, sizeof members);
	apr_pool_create(&leader->out.pool, NULL);
	leader->out.id = 1;
	leader->out.addr = 101;
	leader->now = 100000;
	for (int i = 0; i < voters; i++)
		members[i] =
		    (struct raft_member){ .id = (uint64_t)i + 1, .addr = 101 + (uint64_t)i, .voter = 1 };
	for (int i = 0; i < voters + 1; i++)
		leader->controllers[i] = (struct raft_member){ .id = (uint64_t)i + 1,
							       .addr = 101 + (uint64_t)i,
							       .zone = 1 + (uint64_t)i };
	leader->controller_count = voters + 1; /* one controller that is not a member can join */
	raft_open(&leader->raft, 0, 1, 5, NULL, leader->now);
	leader->raft.group.target_voters = voters;
	leader->raft.group.member_lost_ms = 2400;
	raft_bootstrap(&leader->raft, members, voters, leader->now);
	leader_sync_disk(leader);
	leader->now += 5000;
	raft_tick(&leader->raft, leader->now, &leader->out);
	for (uint64_t id = 2; id <= (uint64_t)voters; id++)
		leader_receive_vote(leader, id, leader->raft.term + 1, 1);
	for (uint64_t id = 2; id <= (uint64_t)voters; id++)
		leader_receive_vote(leader, id, leader->raft.term, 0);
	assert_int_equal(leader->raft.role, RAFT_LEADER);
	leader_run_heartbeats(leader, 600, ((1u << (voters + 1)) - 1) & ~3u);
	assert_true(raft_has_lease(&leader->raft, leader->now));
}

void leader_end(struct leader *leader)
{
	raft_close(&leader->raft);
	arrfree(leader->out.commands);
	apr_pool_destroy(leader->out.pool);
}

const struct raft_member *leader_member(const struct leader *leader, uint64_t id)
{
	for (int i = 0; i < leader->raft.group.member_count; i++)
		if (leader->raft.group.members[i].id == id)
			return &leader->raft.group.members[i];
	return NULL;
}

void leader_reconfigure(struct leader *leader)
{
	raft_reconfigure(&leader->raft, leader->controllers, leader->controller_count, leader->now);
	leader_sync_disk(leader);
}

void leader_propose(struct leader *leader)
{
	assert_true(raft_propose(&leader->raft, (const uint8_t *)"x", 1, leader->now) > 0);
	leader_sync_disk(leader);
}
