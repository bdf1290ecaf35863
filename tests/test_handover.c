/* A planned stop of a leader: how long its group is without one that holds a lease and has applied its log.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "containers.h"
#include "raft_world.h"

enum {
	SHORT_GAP_MS = 60, /* a handover and nothing else */
	LONG_GAP_MS =
	    200, /* where messages are late or lost, or the successor may have been told to stop too */
	PROCESS_TICK_MS = 25, /* as the controller's process ticks */
	PROPOSALS_A_SECOND = 400,
	DOCUMENT_BYTES = 300,
	CALM_MS = 1500,
	LIMIT_MS = 5000,
	JITTER_MS = 20,
	SLOW_DISK_MS = 200,
	AWAY_MS = 600,
	MISSED_MS = 400,
	BACK_MS = 50
};

/* What else is the matter while the leader is told to stop. */
enum fault_kind {
	NO_FAULT,
	JITTER,    /* messages take up to JITTER_MS longer */
	SLOW_DISK, /* one of the other voters syncs slowly */
	RETURNED,  /* one of them came back a moment ago, and lacks what was logged meanwhile */
	AWAY,      /* one of them is down */
	LOSSY,     /* a message of a hundred is lost */
	STOPPED,   /* one of them is told to stop at the same moment */
	FAULT_KINDS
};

static const struct {
	const char *name;
	int64_t gap_ms; /* longest that the group may be without a leader */
} troubles[FAULT_KINDS] = {
	[NO_FAULT] = { "none", SHORT_GAP_MS },       [JITTER] = { "jitter", LONG_GAP_MS },
	[SLOW_DISK] = { "slow disk", SHORT_GAP_MS }, [RETURNED] = { "returned", SHORT_GAP_MS },
	[AWAY] = { "away", SHORT_GAP_MS },           [LOSSY] = { "lossy", LONG_GAP_MS },
	[STOPPED] = { "two stops", LONG_GAP_MS },
};

/* A group and what it runs on. */
struct setting {
	int voters, sync_ms, delay_us, proposals;
	enum fault_kind fault;
};

static int seeds_or(int n)
{
	const char *seeds = getenv("NL_SEEDS");

	return seeds ? (int)strtol(seeds, NULL, 10) : n;
}

static uint64_t first_seed(void)
{
	const char *seed = getenv("NL_SEED");

	return seed ? strtoull(seed, NULL, 10) : 1;
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void open_group(struct raft_world *world, const struct setting *setting, uint64_t seed)
{
	world_open_with(world, seed, DOCUMENT_BYTES, setting->voters);
	world->delay_ms = world->jitter_ms = 0;
	world->delay_us = setting->delay_us;
	world->disk_ms = setting->sync_ms;
	world->tick_ms = PROCESS_TICK_MS;
	for (int i = 0; i < world->machine_count; i++)
		world->machines[i].tick_phase = (int)(core_random(&world->random_state) % PROCESS_TICK_MS);
}

/* One ms under load. */
static void pass_ms(struct raft_world *world, const struct setting *setting)
{
	if (setting->proposals && core_random(&world->random_state) % 1000 < (uint64_t)setting->proposals)
		(void)world_log(world);
	(void)world_run(world, 1, NULL);
}

static void pass(struct raft_world *world, const struct setting *setting, int64_t ms)
{
	for (int64_t end = world->now + ms; world->now < end;)
		pass_ms(world, setting);
}

/* Whether a machine other than one holds a lease and has applied all that is committed. */
static int has_successor(const struct raft_world *world, int old)
{
	int leader = world_leader(world);

	return leader >= 0 && leader != old &&
	       world->machines[leader].raft.log.applied_index ==
		   world->machines[leader].raft.log.commit_index;
}

/* The leader is told to stop; ms until another one has taken over. */
static int64_t planned_stop(struct raft_world *world, const struct setting *setting)
{
	int old = world_leader(world);
	int64_t from = world->now;

	raft_drain(&world->machines[old].raft, world->now);
	while (!has_successor(world, old) && world->now - from < LIMIT_MS)
		pass_ms(world, setting);
	return world->now - from;
}

static int another(struct raft_world *world, int than)
{
	return (than + 1 + (int)(core_random(&world->random_state) % (uint64_t)(world->voter_count - 1))) %
	       world->voter_count;
}

static void bring_fault(struct raft_world *world, const struct setting *setting)
{
	int other = another(world, world_leader(world));

	switch (setting->fault) {
	case JITTER:
		world->jitter_ms = JITTER_MS;
		break;
	case SLOW_DISK:
		world->machines[other].slow_disk_ms = SLOW_DISK_MS;
		break;
	case LOSSY:
		world->loss_permille = 10;
		break;
	case AWAY:
	case RETURNED:
		world_crash(world, other, 0);
		break;
	case STOPPED:
		raft_drain(&world->machines[other].raft, world->now);
		break;
	default:
		break;
	}
	if (setting->fault == AWAY || setting->fault == RETURNED)
		pass(world, setting, AWAY_MS);
	if (setting->fault == RETURNED) {
		pass(world, setting, MISSED_MS);
		world_start(world, other);
		pass(world, setting, BACK_MS);
	}
	if (setting->fault == SLOW_DISK || setting->fault == JITTER)
		pass(world, setting, CALM_MS);
}

static int64_t gap_of(const struct setting *setting, uint64_t seed)
{
	struct raft_world world;
	int64_t gap;

	open_group(&world, setting, seed);
	pass(&world, setting, CALM_MS + (int64_t)(core_random(&world.random_state) % 200));
	assert_true(world_leader(&world) >= 0);
	bring_fault(&world, setting);
	gap = planned_stop(&world, setting);
	pass(&world, setting, CALM_MS);
	if (world.violation[0])
		fail_msg("%s", world.violation);
	world_close(&world);
	return gap;
}

static void print_gaps(const struct setting *setting, int64_t *gaps, int n)
{
	if (!n)
		return;
	qsort(gaps, (size_t)n, sizeof *gaps, by_value);
	print_message(
	    "%-9s %d voters, sync %d ms, one way %.1f ms, %3d proposals/s: median %lld, p95 %lld, most %lld ms (%d seeds)\n",
	    troubles[setting->fault].name, setting->voters, setting->sync_ms, setting->delay_us / 1000.0,
	    setting->proposals, (long long)gaps[n / 2], (long long)gaps[n * 95 / 100], (long long)gaps[n - 1],
	    n);
}

/* How many seeds leave a longer gap than they may. */
static int measure(const struct setting *setting)
{
	int64_t *gaps = NULL, bound = troubles[setting->fault].gap_ms;
	uint64_t from = first_seed(), to = from + (uint64_t)seeds_or(3);
	int late = 0;

	for (uint64_t seed = from; seed < to; seed++) {
		int64_t gap = gap_of(setting, seed);

		if (gap > bound)
			print_message("late: %lld ms, seed %llu\n", (long long)gap, (unsigned long long)seed);
		late += gap > bound;
		arrput(gaps, gap);
	}
	print_gaps(setting, gaps, (int)arrlen(gaps));
	arrfree(gaps);
	return late;
}

/* Over settings and seeds a planned stop of a leader leaves its group without one for a short while only. */
static void a_planned_stop_leaves_no_gap(void **state)
{
	static const int voters[] = { 3, 5 }, syncs[] = { 2, 5 }, delays[] = { 500, 1400 },
			 loads[] = { 0, PROPOSALS_A_SECOND };
	int late = 0;

	(void)state;
	for (int fault = 0; fault < FAULT_KINDS; fault++)
		for (int k = 0; k < 16; k++) {
			struct setting setting = { voters[k >> 3], syncs[k >> 2 & 1], delays[k >> 1 & 1],
						   loads[k & 1], (enum fault_kind)fault };

			late += measure(&setting);
		}
	assert_int_equal(late, 0);
}

/* ---- one follower, its messages given by hand ---- */

enum { TERM = 5, LEADER_ID = 2, CANDIDATE_ID = 3 };

struct follower {
	struct raft raft;
	struct command_list out;
	int64_t now;
};

static void follower_open(struct follower *follower)
{
	struct raft_member group[3];

	memset(follower, 0, sizeof *follower);
	memset(group, 0, sizeof group);
	for (int i = 0; i < 3; i++)
		group[i] =
		    (struct raft_member){ .id = (uint64_t)i + 1, .addr = 101 + (uint64_t)i, .voter = 1 };
	apr_pool_create(&follower->out.pool, NULL);
	follower->out.id = 1;
	follower->out.addr = 101;
	follower->now = 100000;
	raft_open(&follower->raft, 0, 1, 5, NULL, follower->now);
	raft_bootstrap(&follower->raft, group, 3, follower->now);
	raft_flush(&follower->raft, follower->now, &follower->out);
	raft_synced(&follower->raft, follower->raft.disk.requested_sync_seq, follower->now, &follower->out);
	follower->now += 5000;
}

static void follower_close(struct follower *follower)
{
	raft_close(&follower->raft);
	arrfree(follower->out.commands);
	apr_pool_destroy(follower->out.pool);
}

static void hear(struct follower *follower, uint64_t from, struct Nl__Msg *message)
{
	message->id = from;
	message->addr = 100 + from;
	command_list_clear(&follower->out);
	assert_int_equal(raft_receive(&follower->raft, message, follower->now, &follower->out),
			 RAFT_FAULT_NONE);
}

/* The leader's heartbeat of a round, at an entry that the follower holds or lacks. */
static void receive_heartbeat(struct follower *follower, uint64_t round, int released, uint64_t prev)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__Append append = NL__APPEND__INIT;

	append.term = TERM;
	append.recipient_id = 1;
	append.prev_index = prev;
	append.prev_term = 1;
	append.round = round;
	append.released = released;
	message.body_case = NL__MSG__BODY_APPEND;
	message.append = &append;
	hear(follower, LEADER_ID, &message);
}

/* Whether the follower would vote for a candidate of the next term, which says that the leader of a term has
 * given up. */
static int would_vote(struct follower *follower, uint64_t gave_up)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__VoteRequest request = NL__VOTE_REQUEST__INIT;

	request.term = TERM + 1;
	request.last_index = 9;
	request.last_term = TERM;
	request.is_pre_vote = 1;
	request.stepped_down_term = gave_up;
	message.body_case = NL__MSG__BODY_VOTE_REQUEST;
	message.vote_request = &request;
	hear(follower, CANDIDATE_ID, &message);
	for (ptrdiff_t i = 0; i < arrlen(follower->out.commands); i++)
		if (follower->out.commands[i].kind == CMD_SEND &&
		    follower->out.commands[i].args.send.msg->body_case == NL__MSG__BODY_VOTE_REPLY)
			return follower->out.commands[i].args.send.msg->vote_reply->granted;
	return -1;
}

/* A promise to a leader ends with the word that this very leader, or a later one, has given up. */
static void a_promise_outlives_an_earlier_leader(void **state)
{
	struct follower follower;

	(void)state;
	follower_open(&follower);
	receive_heartbeat(&follower, 1, 0, 1);
	assert_int_equal(would_vote(&follower, 0), 0);
	assert_int_equal(would_vote(&follower, TERM - 1), 0);
	assert_int_equal(would_vote(&follower, TERM), 1);
	follower_close(&follower);
}

/* A member that is to stop keeps to the newest round's word, also where it had to refuse that append. */
static void an_older_round_lets_nobody_go(void **state)
{
	struct follower follower;

	(void)state;
	follower_open(&follower);
	raft_drain(&follower.raft, follower.now);
	receive_heartbeat(&follower, 2, 1, 1);
	assert_true(raft_may_stop(&follower.raft, follower.now));
	receive_heartbeat(&follower, 3, 0, 1);
	assert_false(raft_may_stop(&follower.raft, follower.now));
	receive_heartbeat(&follower, 2, 1, 1);
	assert_false(raft_may_stop(&follower.raft, follower.now));
	receive_heartbeat(&follower, 4, 1, 1);
	assert_true(raft_may_stop(&follower.raft, follower.now));
	receive_heartbeat(&follower, 5, 0, 7); /* of entries that it lacks */
	receive_heartbeat(&follower, 4, 1, 1);
	assert_false(raft_may_stop(&follower.raft, follower.now));
	follower_close(&follower);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_promise_outlives_an_earlier_leader),
		cmocka_unit_test(an_older_round_lets_nobody_go),
		cmocka_unit_test(a_planned_stop_leaves_no_gap),
	};

	if (getenv("NL_TEST"))
		cmocka_set_test_filter(getenv("NL_TEST"));
	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
