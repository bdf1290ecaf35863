/* Recovery of groups that lost their majority, by an operator's word, and the fencing of the members of older
 * epochs. */
#include <apr_general.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "containers.h"
#include "raft_leader.h"
#include "sim.h"

/* ---- one member ---- */

/* The leader has lost its followers: it steps down, and hears of nobody for a while. */
static void lose_followers(struct leader *leader)
{
	for (int i = 0; i < 30; i++) {
		leader->now += RAFT_HEARTBEAT_INTERVAL_MS;
		raft_tick(&leader->raft, leader->now, &leader->out);
		leader_sync_disk(leader);
	}
	assert_int_not_equal(leader->raft.role, RAFT_LEADER);
	command_list_clear(&leader->out);
}

static const uint64_t lost[2] = { 2, 3 };

static struct Nl__Msg *sent(struct leader *leader, int body)
{
	for (ptrdiff_t i = arrlen(leader->out.commands) - 1; i >= 0; i--)
		if (leader->out.commands[i].kind == CMD_SEND &&
		    (int)leader->out.commands[i].args.send.msg->body_case == body)
			return leader->out.commands[i].args.send.msg;
	return NULL;
}

static void receive_vote_request(struct leader *leader, uint64_t from, uint64_t term, uint64_t last,
				 uint64_t last_term)
{
	struct Nl__Msg message = leader_message(NL__MSG__BODY_VOTE_REQUEST);
	struct Nl__VoteRequest request = NL__VOTE_REQUEST__INIT;

	request.term = term;
	request.last_index = last;
	request.last_term = last_term;
	message.vote_request = &request;
	command_list_clear(&leader->out);
	leader_receive(leader, from, &message);
}

static void recovery_is_refused_while_it_may_not_be(void **state)
{
	const uint64_t one[1] = { 3 }, none[1] = { 9 }, self[3] = { 1, 2, 3 };
	struct leader leader;

	(void)state;
	leader_begin(&leader, 3);
	assert_int_equal(raft_recover(&leader.raft, lost, 2, leader.now), RAFT_RECOVERY_LOST_MEMBER_ACTIVE);
	leader.now += RAFT_RECOVERY_SILENCE_MS;
	assert_int_equal(raft_recover(&leader.raft, lost, 2, leader.now), RAFT_RECOVERY_HAS_LEADER);
	lose_followers(&leader);
	assert_int_equal(raft_recover(&leader.raft, one, 1, leader.now), RAFT_RECOVERY_MAJORITY_REMAINS);
	assert_int_equal(raft_recover(&leader.raft, none, 1, leader.now), RAFT_RECOVERY_MAJORITY_REMAINS);
	assert_int_equal(raft_recover(&leader.raft, NULL, 0, leader.now), RAFT_RECOVERY_MAJORITY_REMAINS);
	assert_int_equal(raft_recover(&leader.raft, self, 3, leader.now), RAFT_RECOVERY_NO_VOTER);
	leader.raft.election.vote_barrier_until_ms = leader.now + 1; /* a leader was heard */
	assert_int_equal(raft_recover(&leader.raft, lost, 2, leader.now), RAFT_RECOVERY_HAS_LEADER);
	leader.raft.election.vote_barrier_until_ms = 0;
	receive_vote_request(&leader, 3, 2, 1, 1); /* one that is named as lost is there */
	assert_int_equal(raft_recover(&leader.raft, lost, 2, leader.now), RAFT_RECOVERY_LOST_MEMBER_ACTIVE);
	assert_int_equal(raft_epoch(leader.raft.term), 0);
	leader.now += RAFT_RECOVERY_SILENCE_MS;
	assert_int_equal(raft_recover(&leader.raft, lost, 2, leader.now), RAFT_RECOVERY_POSSIBLE);
	assert_int_equal(raft_epoch(leader.raft.term), 1);
	assert_int_equal(raft_recover(&leader.raft, lost, 2, leader.now),
			 RAFT_RECOVERY_MAJORITY_REMAINS); /* twice */
	leader_end(&leader);
	/* of five with three lost the newer of the two copies goes on */
	leader_begin(&leader, 5);
	lose_followers(&leader);
	receive_vote_request(&leader, 4, leader.raft.term, leader_last_index(&leader) + 1, leader.raft.term);
	assert_int_equal(raft_recover(&leader.raft, (const uint64_t[]){ 2, 3, 5 }, 3, leader.now),
			 RAFT_RECOVERY_NEWER_LOG_EXISTS);
	leader_end(&leader);
	/* one that is no member */
	leader_begin(&leader, 3);
	lose_followers(&leader);
	leader.raft.id = 77;
	assert_int_equal(raft_recover(&leader.raft, lost, 2, leader.now), RAFT_RECOVERY_NO_VOTER);
	leader.raft.id = 1;
	leader_end(&leader);
}

/* Alone, it commits all that it holds, and keeps the epoch over a restart. */
static void the_copy_that_is_left_goes_on(void **state)
{
	struct leader leader;
	uint64_t held;

	(void)state;
	leader_begin(&leader, 3);
	leader_propose(&leader); /* on this disk alone */
	held = leader_last_index(&leader);
	assert_true(leader.raft.log.commit_index < held);
	lose_followers(&leader);
	assert_int_equal(raft_recover(&leader.raft, lost, 2, leader.now), RAFT_RECOVERY_POSSIBLE);
	for (int i = 0; i < 4; i++) {
		raft_tick(&leader.raft, leader.now, &leader.out);
		leader_sync_disk(&leader);
		leader.now += RAFT_HEARTBEAT_INTERVAL_MS;
	}
	assert_true(raft_has_lease(&leader.raft, leader.now - RAFT_HEARTBEAT_INTERVAL_MS));
	assert_true(leader.raft.log.commit_index > held);
	assert_int_equal(leader.raft.group.member_count, 1);
	assert_true(raft_epoch(leader.raft.term) == 1);
	leader_end(&leader);
}

/* Whatever an old member says is refused, and it is told; the old term may be as high as it likes. */
static void messages_of_an_older_epoch_are_refused(void **state)
{
	struct leader leader;
	struct Nl__Msg message = leader_message(NL__MSG__BODY_APPEND), *reply;
	struct Nl__Append append = NL__APPEND__INIT;
	uint64_t term;

	(void)state;
	leader_begin(&leader, 3);
	lose_followers(&leader);
	assert_int_equal(raft_recover(&leader.raft, lost, 2, leader.now), RAFT_RECOVERY_POSSIBLE);
	leader_sync_disk(&leader);
	term = leader.raft.term;
	receive_vote_request(&leader, 2, 1000000, leader_last_index(&leader) + 50, 1000000);
	reply = sent(&leader, NL__MSG__BODY_VOTE_REPLY);
	assert_non_null(reply);
	assert_false(reply->vote_reply->granted);
	assert_int_equal(reply->vote_reply->term, term);
	command_list_clear(&leader.out);
	append.term = 1000000;
	append.prev_index = leader_last_index(&leader);
	message.append = &append;
	leader_receive(&leader, 2, &message);
	assert_null(sent(&leader, NL__MSG__BODY_APPEND_REPLY));
	assert_non_null(sent(&leader, NL__MSG__BODY_VOTE_REPLY));
	assert_int_equal(leader.raft.term, term);
	assert_int_equal(leader.raft.leader_id, 0);
	leader_end(&leader);
}

/* An old member that hears of the newer epoch leads no more, gives no vote, asks for none, and joins no
 * group. */
static void a_member_of_an_older_epoch_is_fenced(void **state)
{
	const uint64_t newer = (uint64_t)1 << RAFT_EPOCH_SHIFT;
	struct leader leader;
	struct Nl__Msg message = leader_message(NL__MSG__BODY_VOTE_REPLY),
		       offer = leader_message(NL__MSG__BODY_APPEND);
	struct Nl__VoteReply reply = NL__VOTE_REPLY__INIT;
	struct Nl__Append append = NL__APPEND__INIT;

	(void)state;
	leader_begin(&leader, 3);
	reply.term = newer;
	reply.removed = 1;
	message.vote_reply = &reply;
	leader_receive(&leader, 2, &message);
	assert_int_equal(leader.raft.role, RAFT_FOLLOWER);
	assert_false(raft_has_lease(&leader.raft, leader.now));
	assert_int_equal(raft_epoch(leader.raft.term),
			 0); /* its term stays what it was: its disk can be told from the new ones */
	command_list_clear(&leader.out);
	for (int i = 0; i < 30; i++) {
		leader.now += RAFT_HEARTBEAT_INTERVAL_MS;
		raft_tick(&leader.raft, leader.now, &leader.out);
	}
	assert_null(sent(&leader, NL__MSG__BODY_VOTE_REQUEST));
	receive_vote_request(&leader, 3, leader.raft.term + 1, leader_last_index(&leader) + 9,
			     leader.raft.term + 1);
	assert_null(sent(&leader, NL__MSG__BODY_VOTE_REPLY));
	append.term = newer;
	offer.append = &append;
	command_list_clear(&leader.out);
	leader_receive(&leader, 3, &offer);
	assert_non_null(sent(&leader, NL__MSG__BODY_APPEND_REPLY));
	assert_true(sent(&leader, NL__MSG__BODY_APPEND_REPLY)->append_reply->fenced);
	assert_int_equal(raft_recover(&leader.raft, lost, 2, leader.now + RAFT_RECOVERY_SILENCE_MS),
			 RAFT_RECOVERY_NO_VOTER);
	leader_end(&leader);
}

/* A learner that turns out to hold a copy of an older epoch goes, and is not chosen again. */
static void an_old_identity_is_not_taken_back(void **state)
{
	struct leader leader;
	struct Nl__Msg message = leader_message(NL__MSG__BODY_APPEND_REPLY);
	struct Nl__AppendReply reply = NL__APPEND_REPLY__INIT;

	(void)state;
	leader_begin(&leader, 3);
	leader_run_heartbeats(&leader, 1700, 1u << 2);
	leader_reconfigure(&leader);
	assert_non_null(leader_member(&leader, 4));
	leader_run_heartbeats(&leader, 150, 1u << 2);
	reply.term = leader.raft.term;
	reply.fenced = 1;
	message.append_reply = &reply;
	leader_receive(&leader, 4, &message);
	leader_reconfigure(&leader);
	assert_null(leader_member(&leader, 4));
	for (int i = 0; i < 10; i++) {
		leader_run_heartbeats(&leader, 150, 1u << 2);
		leader_reconfigure(&leader);
		assert_null(leader_member(&leader, 4));
	}
	leader_end(&leader);
}

/* ---- fleets ---- */

static void check(struct sim *s)
{
	if (s->violation[0])
		fail_msg("%s", s->violation);
}

static void pass(struct sim *sim, int64_t ms)
{
	sim_run(sim, ms, NULL);
	check(sim);
}

static int call_recover(struct sim *sim, int node, const int *removed, int count)
{
	char body[256];
	int n = snprintf(body, sizeof body, "{\"lost\":[");

	for (int i = 0; i < count; i++)
		n += snprintf(body + n, sizeof body - (size_t)n, "%s\"%016llx\"", i ? "," : "",
			      (unsigned long long)sim->nodes[removed[i]].id);
	snprintf(body + n, sizeof body - (size_t)n, "]}");
	return sim_call_and_wait(sim, node, "POST", "/v1/recover", body, 1000);
}

#define TENANT(name) "{\"set\":[{\"kind\":\"tenant\",\"name\":\"" name "\",\"share\":1,\"limit\":5}]}"

static int table_has(struct sim *sim, int node, const char *tenant)
{
	return config_table_get(&sim->nodes[node].controller->config.table, NL__KIND__TENANT, tenant) != NULL;
}

/* Two of three are lost for good. The one that is left goes on, two new machines join it, the old two come
 * back from their disks and change nothing. */
static void a_fleet_recovers_from_a_lost_majority(void **state)
{
	int seeds = getenv("NL_SEEDS") ? atoi(getenv("NL_SEEDS")) : 6;

	(void)state;
	for (uint64_t seed = 1; seed <= (uint64_t)seeds; seed++) {
		struct sim sim;
		int remaining = (int)(seed % 3), gone[2] = { (remaining + 1) % 3, (remaining + 2) % 3 };
		uint64_t revision;

		sim_fleet(&sim, seed, 3);
		sim.catch_up_ms = 4000;
		assert_true(sim_change(&sim, TENANT("before"), 8000) > 0);
		pass(&sim, 1000);
		for (int i = 0; i < 3; i++) /* all live: refused anywhere */
			assert_int_equal(call_recover(&sim, i, gone, 2), 409);
		sim_crash(&sim, gone[0], 0);
		sim_crash(&sim, gone[1], 0);
		pass(&sim, 500);
		assert_int_equal(call_recover(&sim, remaining, gone, 2),
				 409); /* too early: they were heard just now */
		pass(&sim, 4000);
		assert_int_equal(call_recover(&sim, remaining, gone, 1),
				 409); /* one of them is not said to be lost */
		sim.was_recovered = 1;
		assert_int_equal(call_recover(&sim, remaining, gone, 2), 200);
		assert_int_equal(call_recover(&sim, remaining, gone, 2), 409); /* twice */
		if (seed % 2) { /* it falls right after it said so, and goes on from its disk */
			pass(&sim, 200);
			sim_crash(&sim, remaining, 0);
			sim_start(&sim, remaining);
		}
		revision = sim_change(&sim, TENANT("after"), 12000);
		check(&sim);
		assert_true(revision > CONTROLLER_RECOVERY_SKIPPED_NUMBERS);
		assert_true(table_has(&sim, remaining, "before"));
		/* old members and new machines come together */
		sim_start(&sim, gone[0]);
		sim_start(&sim, gone[1]);
		sim_add_controller(&sim, "z7", sim.nodes[remaining].controller->identity.seeds, 3);
		sim_add_controller(&sim, "z8", sim.nodes[remaining].controller->identity.seeds, 3);
		pass(&sim, 8000);
		for (uint32_t shard = 0; shard < SHARD_COUNT; shard++) {
			const struct raft *raft;

			assert_int_not_equal(sim_leader(&sim, shard), -1);
			raft = &sim.nodes[sim_leader(&sim, shard)].controller->shards[shard];
			assert_int_equal(raft_epoch(raft->term), 1);
			assert_int_equal(raft->group.member_count, 3);
			for (int i = 0; i < raft->group.member_count; i++) {
				assert_true(raft->group.members[i].voter);
				assert_true(raft->group.members[i].id != sim.nodes[gone[0]].id &&
					    raft->group.members[i].id != sim.nodes[gone[1]].id);
			}
			for (int i = 0; i < 2; i++) {
				assert_true(sim.nodes[gone[i]].controller->shards[shard].fenced);
				assert_int_equal(
				    raft_epoch(sim.nodes[gone[i]].controller->shards[shard].term), 0);
			}
		}
		assert_true(sim_change(&sim, TENANT("later"), 8000) > revision);
		/* now it survives the loss of the copy that it was recovered from */
		sim_crash(&sim, remaining, 1);
		assert_true(sim_change(&sim, TENANT("last"), 12000) > revision);
		pass(&sim, 1000);
		assert_true(table_has(&sim, sim_leader(&sim, SHARD_CONTROL), "before"));
		assert_true(table_has(&sim, sim_leader(&sim, SHARD_CONTROL), "after"));
		check(&sim);
		sim_close(&sim);
	}
}

/* A controller that joined no group cannot take one over, and bodies that are no such call are refused. */
static void a_call_at_the_wrong_machine_is_refused(void **state)
{
	static const char *const bodies[] = {
		"", "{", "[]", "{}", "{\"lost\":5}", "{\"lost\":[1,2,3,4,5,6,7,8,9]}"
	};
	struct sim sim;
	int gone[2] = { 0, 1 }, spare;

	(void)state;
	sim_fleet(&sim, 3, 3);
	spare = sim_add_controller(&sim, "z9", sim.nodes[0].controller->identity.seeds, 3);
	pass(&sim, 3000);
	sim_crash(&sim, 0, 1);
	sim_crash(&sim, 1, 1);
	pass(&sim, 4000);
	assert_int_equal(call_recover(&sim, spare, gone, 2), 409);
	for (size_t i = 0; i < sizeof bodies / sizeof *bodies; i++)
		assert_int_equal(sim_call_and_wait(&sim, 2, "POST", "/v1/recover", bodies[i], 1000), 400);
	assert_int_equal(sim_call_and_wait(&sim, 2, "POST", "/v1/recover", "{\"lost\":[]}", 1000),
			 409); /* only says who the members are */
	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++)
		assert_int_equal(raft_epoch(sim.nodes[2].controller->shards[shard].term), 0);
	check(&sim);
	sim_close(&sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(recovery_is_refused_while_it_may_not_be),
		cmocka_unit_test(the_copy_that_is_left_goes_on),
		cmocka_unit_test(messages_of_an_older_epoch_are_refused),
		cmocka_unit_test(a_member_of_an_older_epoch_is_fenced),
		cmocka_unit_test(an_old_identity_is_not_taken_back),
		cmocka_unit_test(a_fleet_recovers_from_a_lost_majority),
		cmocka_unit_test(a_call_at_the_wrong_machine_is_refused),
	};

	apr_initialize();
	cmocka_set_test_filter(getenv("NL_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
