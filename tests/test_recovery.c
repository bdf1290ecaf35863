/* Recovery of groups that lost their majority, by an operator's word, and the fencing of the members of older epochs. */
#include <apr_general.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ds.h"
#include "raft_leader.h"
#include "sim.h"

/* ---- one member ---- */

/* The leader has lost its followers: it steps down, and hears of nobody for a while. */
static void lose_followers(struct leader *l)
{
	for (int i = 0; i < 30; i++) {
		l->now += RAFT_HEARTBEAT_MS;
		raft_tick(&l->raft, l->now, &l->out);
		leader_sync_disk(l);
	}
	assert_int_not_equal(l->raft.role, RAFT_LEADER);
	out_clear(&l->out);
}

static const uint64_t lost[2] = { 2, 3 };

static struct Nl__Msg *sent(struct leader *l, int body)
{
	for (ptrdiff_t i = arrlen(l->out.v) - 1; i >= 0; i--)
		if (l->out.v[i].kind == CMD_SEND && (int)l->out.v[i].u.send.msg->body_case == body)
			return l->out.v[i].u.send.msg;
	return NULL;
}

static void hear_vote_request(struct leader *l, uint64_t from, uint64_t term, uint64_t last, uint64_t last_term)
{
	struct Nl__Msg m = leader_message(NL__MSG__BODY_VOTE_ASK);
	struct Nl__VoteAsk a = NL__VOTE_ASK__INIT;

	a.term = term;
	a.last = last;
	a.last_term = last_term;
	m.vote_ask = &a;
	out_clear(&l->out);
	leader_hear(l, from, &m);
}

static void recovery_is_refused_while_it_may_not_be(void **state)
{
	const uint64_t one[1] = { 3 }, none[1] = { 9 }, self[3] = { 1, 2, 3 };
	struct leader l;

	(void)state;
	leader_begin(&l, 3);
	assert_int_equal(raft_recover(&l.raft, lost, 2, l.now), RAFT_RECOVERY_MEMBER_ANSWERS);
	l.now += RAFT_ABSENT_MS;
	assert_int_equal(raft_recover(&l.raft, lost, 2, l.now), RAFT_RECOVERY_HAS_LEADER);
	lose_followers(&l);
	assert_int_equal(raft_recover(&l.raft, one, 1, l.now), RAFT_RECOVERY_MAJORITY_REMAINS);
	assert_int_equal(raft_recover(&l.raft, none, 1, l.now), RAFT_RECOVERY_MAJORITY_REMAINS);
	assert_int_equal(raft_recover(&l.raft, NULL, 0, l.now), RAFT_RECOVERY_MAJORITY_REMAINS);
	assert_int_equal(raft_recover(&l.raft, self, 3, l.now), RAFT_RECOVERY_NO_VOTER);
	l.raft.vote_barrier_until = l.now + 1; /* a leader was heard */
	assert_int_equal(raft_recover(&l.raft, lost, 2, l.now), RAFT_RECOVERY_HAS_LEADER);
	l.raft.vote_barrier_until = 0;
	hear_vote_request(&l, 3, 2, 1, 1); /* one that is named as lost is there */
	assert_int_equal(raft_recover(&l.raft, lost, 2, l.now), RAFT_RECOVERY_MEMBER_ANSWERS);
	assert_int_equal(raft_epoch(l.raft.term), 0);
	l.now += RAFT_ABSENT_MS;
	assert_int_equal(raft_recover(&l.raft, lost, 2, l.now), RAFT_RECOVERY_POSSIBLE);
	assert_int_equal(raft_epoch(l.raft.term), 1);
	assert_int_equal(raft_recover(&l.raft, lost, 2, l.now), RAFT_RECOVERY_MAJORITY_REMAINS); /* twice */
	leader_end(&l);
	/* of five with three lost the newer of the two copies goes on */
	leader_begin(&l, 5);
	lose_followers(&l);
	hear_vote_request(&l, 4, l.raft.term, leader_newest(&l) + 1, l.raft.term);
	assert_int_equal(raft_recover(&l.raft, (const uint64_t[]){ 2, 3, 5 }, 3, l.now), RAFT_RECOVERY_OTHER_IS_NEWER);
	leader_end(&l);
	/* one that is no member */
	leader_begin(&l, 3);
	lose_followers(&l);
	l.raft.id = 77;
	assert_int_equal(raft_recover(&l.raft, lost, 2, l.now), RAFT_RECOVERY_NO_VOTER);
	l.raft.id = 1;
	leader_end(&l);
}

/* Alone, it commits all that it holds, and keeps the epoch over a restart. */
static void the_copy_that_is_left_goes_on(void **state)
{
	struct leader l;
	uint64_t held;

	(void)state;
	leader_begin(&l, 3);
	leader_propose(&l); /* on this disk alone */
	held = leader_newest(&l);
	assert_true(l.raft.commit < held);
	lose_followers(&l);
	assert_int_equal(raft_recover(&l.raft, lost, 2, l.now), RAFT_RECOVERY_POSSIBLE);
	for (int i = 0; i < 4; i++) {
		raft_tick(&l.raft, l.now, &l.out);
		leader_sync_disk(&l);
		l.now += RAFT_HEARTBEAT_MS;
	}
	assert_true(raft_has_lease(&l.raft, l.now - RAFT_HEARTBEAT_MS));
	assert_true(l.raft.commit > held);
	assert_int_equal(l.raft.member_count, 1);
	assert_true(raft_epoch(l.raft.term) == 1);
	leader_end(&l);
}

/* Whatever an old member says is refused, and it is told; the old term may be as high as it likes. */
static void messages_of_an_older_epoch_are_refused(void **state)
{
	struct leader l;
	struct Nl__Msg m = leader_message(NL__MSG__BODY_APPEND), *reply;
	struct Nl__Append a = NL__APPEND__INIT;
	uint64_t term;

	(void)state;
	leader_begin(&l, 3);
	lose_followers(&l);
	assert_int_equal(raft_recover(&l.raft, lost, 2, l.now), RAFT_RECOVERY_POSSIBLE);
	leader_sync_disk(&l);
	term = l.raft.term;
	hear_vote_request(&l, 2, 1000000, leader_newest(&l) + 50, 1000000);
	reply = sent(&l, NL__MSG__BODY_VOTE_REPLY);
	assert_non_null(reply);
	assert_false(reply->vote_reply->granted);
	assert_int_equal(reply->vote_reply->term, term);
	out_clear(&l.out);
	a.term = 1000000;
	a.prev = leader_newest(&l);
	m.append = &a;
	leader_hear(&l, 2, &m);
	assert_null(sent(&l, NL__MSG__BODY_APPEND_REPLY));
	assert_non_null(sent(&l, NL__MSG__BODY_VOTE_REPLY));
	assert_int_equal(l.raft.term, term);
	assert_int_equal(l.raft.leader_id, 0);
	leader_end(&l);
}

/* An old member that hears of the newer epoch leads no more, gives no vote, asks for none, and joins no group. */
static void a_member_of_an_older_epoch_is_fenced(void **state)
{
	const uint64_t newer = (uint64_t)1 << RAFT_EPOCH_SHIFT;
	struct leader l;
	struct Nl__Msg m = leader_message(NL__MSG__BODY_VOTE_REPLY), offer = leader_message(NL__MSG__BODY_APPEND);
	struct Nl__VoteReply v = NL__VOTE_REPLY__INIT;
	struct Nl__Append a = NL__APPEND__INIT;

	(void)state;
	leader_begin(&l, 3);
	v.term = newer;
	v.removed = 1;
	m.vote_reply = &v;
	leader_hear(&l, 2, &m);
	assert_int_equal(l.raft.role, RAFT_FOLLOWER);
	assert_false(raft_has_lease(&l.raft, l.now));
	assert_int_equal(raft_epoch(l.raft.term), 0); /* its term stays what it was: its disk can be told from the new ones */
	out_clear(&l.out);
	for (int i = 0; i < 30; i++) {
		l.now += RAFT_HEARTBEAT_MS;
		raft_tick(&l.raft, l.now, &l.out);
	}
	assert_null(sent(&l, NL__MSG__BODY_VOTE_ASK));
	hear_vote_request(&l, 3, l.raft.term + 1, leader_newest(&l) + 9, l.raft.term + 1);
	assert_null(sent(&l, NL__MSG__BODY_VOTE_REPLY));
	a.term = newer;
	offer.append = &a;
	out_clear(&l.out);
	leader_hear(&l, 3, &offer);
	assert_non_null(sent(&l, NL__MSG__BODY_APPEND_REPLY));
	assert_true(sent(&l, NL__MSG__BODY_APPEND_REPLY)->append_reply->fenced);
	assert_int_equal(raft_recover(&l.raft, lost, 2, l.now + RAFT_ABSENT_MS), RAFT_RECOVERY_NO_VOTER);
	leader_end(&l);
}

/* A learner that turns out to hold a copy of an older epoch goes, and is not chosen again. */
static void an_old_identity_is_not_taken_back(void **state)
{
	struct leader l;
	struct Nl__Msg m = leader_message(NL__MSG__BODY_APPEND_REPLY);
	struct Nl__AppendReply a = NL__APPEND_REPLY__INIT;

	(void)state;
	leader_begin(&l, 3);
	leader_beat(&l, 1700, 1u << 2);
	leader_reconfigure(&l);
	assert_non_null(leader_member(&l, 4));
	leader_beat(&l, 150, 1u << 2);
	a.term = l.raft.term;
	a.fenced = 1;
	m.append_reply = &a;
	leader_hear(&l, 4, &m);
	leader_reconfigure(&l);
	assert_null(leader_member(&l, 4));
	for (int i = 0; i < 10; i++) {
		leader_beat(&l, 150, 1u << 2);
		leader_reconfigure(&l);
		assert_null(leader_member(&l, 4));
	}
	leader_end(&l);
}

/* ---- fleets ---- */

static void check(struct sim *s)
{
	if (s->bad[0])
		fail_msg("%s", s->bad);
}

static void pass(struct sim *s, int64_t ms)
{
	sim_run(s, ms, NULL);
	check(s);
}

static int call_recover(struct sim *s, int node, const int *gone, int count)
{
	char body[256];
	int n = snprintf(body, sizeof body, "{\"lost\":[");

	for (int i = 0; i < count; i++)
		n += snprintf(body + n, sizeof body - (size_t)n, "%s\"%016llx\"", i ? "," : "",
			      (unsigned long long)s->n[gone[i]].id);
	snprintf(body + n, sizeof body - (size_t)n, "]}");
	return sim_do(s, node, "POST", "/v1/recover", body, 1000);
}

#define TENANT(name) "{\"set\":[{\"kind\":\"tenant\",\"name\":\"" name "\",\"share\":1,\"limit\":5}]}"

static int table_has(struct sim *s, int node, const char *tenant)
{
	return table_get(&s->n[node].r->ctl, NL__KIND__TENANT, tenant) != NULL;
}

/* Two of three are lost for good. The one that is left goes on, two new machines join it, the old two come back from
 * their disks and change nothing. */
static void a_fleet_recovers_from_a_lost_majority(void **state)
{
	int seeds = getenv("NL_SEEDS") ? atoi(getenv("NL_SEEDS")) : 6;

	(void)state;
	for (uint64_t seed = 1; seed <= (uint64_t)seeds; seed++) {
		struct sim s;
		int left = (int)(seed % 3), gone[2] = { (left + 1) % 3, (left + 2) % 3 };
		uint64_t edition;

		sim_fleet(&s, seed, 3);
		s.catch_up_ms = 4000;
		assert_true(sim_change(&s, TENANT("before"), 8000) > 0);
		pass(&s, 1000);
		for (int i = 0; i < 3; i++) /* all live: refused anywhere */
			assert_int_equal(call_recover(&s, i, gone, 2), 409);
		sim_crash(&s, gone[0], 0);
		sim_crash(&s, gone[1], 0);
		pass(&s, 500);
		assert_int_equal(call_recover(&s, left, gone, 2), 409); /* too early: they were heard just now */
		pass(&s, 4000);
		assert_int_equal(call_recover(&s, left, gone, 1), 409); /* one of them is not said to be lost */
		s.recovered = 1;
		assert_int_equal(call_recover(&s, left, gone, 2), 200);
		assert_int_equal(call_recover(&s, left, gone, 2), 409); /* twice */
		if (seed % 2) { /* it falls right after it said so, and goes on from its disk */
			pass(&s, 200);
			sim_crash(&s, left, 0);
			sim_start(&s, left);
		}
		edition = sim_change(&s, TENANT("after"), 12000);
		check(&s);
		assert_true(edition > CONTROLLER_RECOVERY_SKIP);
		assert_true(table_has(&s, left, "before"));
		/* old members and new machines come together */
		sim_start(&s, gone[0]);
		sim_start(&s, gone[1]);
		sim_registrar(&s, "z7", s.n[left].r->seeds, 3);
		sim_registrar(&s, "z8", s.n[left].r->seeds, 3);
		pass(&s, 8000);
		for (uint32_t shard = 0; shard < SHARD_COUNT; shard++) {
			const struct raft *raft;

			assert_int_not_equal(sim_owner(&s, shard), -1);
			raft = &s.n[sim_owner(&s, shard)].r->part[shard];
			assert_int_equal(raft_epoch(raft->term), 1);
			assert_int_equal(raft->member_count, 3);
			for (int i = 0; i < raft->member_count; i++) {
				assert_true(raft->members[i].voter);
				assert_true(raft->members[i].id != s.n[gone[0]].id && raft->members[i].id != s.n[gone[1]].id);
			}
			for (int i = 0; i < 2; i++) {
				assert_true(s.n[gone[i]].r->part[shard].fenced);
				assert_int_equal(raft_epoch(s.n[gone[i]].r->part[shard].term), 0);
			}
		}
		assert_true(sim_change(&s, TENANT("later"), 8000) > edition);
		/* now it survives the loss of the copy that it was recovered from */
		sim_crash(&s, left, 1);
		assert_true(sim_change(&s, TENANT("last"), 12000) > edition);
		pass(&s, 1000);
		assert_true(table_has(&s, sim_owner(&s, SHARD_CONTROL), "before"));
		assert_true(table_has(&s, sim_owner(&s, SHARD_CONTROL), "after"));
		check(&s);
		sim_close(&s);
	}
}

/* A controller that joined no group cannot take one over, and bodies that are no such call are refused. */
static void a_call_at_the_wrong_machine_is_refused(void **state)
{
	static const char *const bodies[] = { "", "{", "[]", "{}", "{\"lost\":5}", "{\"lost\":[1,2,3,4,5,6,7,8,9]}" };
	struct sim s;
	int gone[2] = { 0, 1 }, spare;

	(void)state;
	sim_fleet(&s, 3, 3);
	spare = sim_registrar(&s, "z9", s.n[0].r->seeds, 3);
	pass(&s, 3000);
	sim_crash(&s, 0, 1);
	sim_crash(&s, 1, 1);
	pass(&s, 4000);
	assert_int_equal(call_recover(&s, spare, gone, 2), 409);
	for (size_t i = 0; i < sizeof bodies / sizeof *bodies; i++)
		assert_int_equal(sim_do(&s, 2, "POST", "/v1/recover", bodies[i], 1000), 400);
	assert_int_equal(sim_do(&s, 2, "POST", "/v1/recover", "{\"lost\":[]}", 1000), 409); /* only says who the members are */
	for (uint32_t shard = 0; shard < SHARD_COUNT; shard++)
		assert_int_equal(raft_epoch(s.n[2].r->part[shard].term), 0);
	check(&s);
	sim_close(&s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(recovery_is_refused_while_it_may_not_be), cmocka_unit_test(the_copy_that_is_left_goes_on),
		cmocka_unit_test(messages_of_an_older_epoch_are_refused),  cmocka_unit_test(a_member_of_an_older_epoch_is_fenced),
		cmocka_unit_test(an_old_identity_is_not_taken_back),       cmocka_unit_test(a_fleet_recovers_from_a_lost_majority),
		cmocka_unit_test(a_call_at_the_wrong_machine_is_refused),
	};

	apr_initialize();
	cmocka_set_test_filter(getenv("NL_TEST"));
	return cmocka_run_group_tests(tests, NULL, NULL);
}
