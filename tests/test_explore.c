/* The model checker's short bound, and paths that it found. Bounded by states and steps, never by time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "explore_search.h"

enum {
	SHORT_STATES = 6000, /* of each scene */
	MAX_DEPTH = 40,
	TABLE_BITS = 14,
	RANDOM_PATHS = 2200,
	RANDOM_CHOICES = 500
};

static struct explore_path found;

static void assert_nothing_found(void)
{
	if (!found.violation)
		return;
	explore_minimize(&found);
	explore_print(&found, stderr);
	fail();
}

static void all_orders_from_each_scene(void **state)
{
	(void)state;
	for (int scene = 0; scene < SCENES; scene++) {
		struct explore_stats stats;

		explore_all((enum explore_scene)scene, SHORT_STATES, MAX_DEPTH, TABLE_BITS, &found, &stats);
		assert_nothing_found();
		printf("%s: %llu states, %llu steps, all orders to depth %d\n",
		       explore_scene_name((enum explore_scene)scene), (unsigned long long)stats.states,
		       (unsigned long long)stats.steps, stats.depth);
		assert_true(stats.states >= SHORT_STATES || stats.complete);
	}
}

static void random_paths_from_each_scene(void **state)
{
	struct explore_stats stats = { 0 };
	uint64_t committed = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= RANDOM_PATHS; seed++) {
		explore_random((enum explore_scene)(seed % SCENES), seed, RANDOM_CHOICES, &found, &stats);
		committed += explore_world.history.commit;
		assert_nothing_found();
	}
	printf("%d paths, %llu steps, %llu entries committed\n", RANDOM_PATHS,
	       (unsigned long long)stats.steps, (unsigned long long)committed);
	assert_true(committed > 4 * RANDOM_PATHS); /* or the paths show nothing */
}

/* The same choices lead to the same state, and going back to a saved state forgets what came after. */
static void states_are_saved_and_restored(void **state)
{
	struct explore_saved *saved = explore_saved_new();
	struct choice choice[64];
	uint64_t hash;
	size_t n;

	(void)state;
	explore_begin(SCENE_LEASE);
	explore_save(saved);
	hash = explore_hash();
	n = explore_choices(choice, 64);
	assert_true(n > 5);
	for (size_t i = 0; i < n; i++) {
		uint64_t first;

		(void)explore_do(choice[i]);
		first = explore_hash();
		explore_restore(saved);
		assert_true(explore_hash() == hash);
		(void)explore_do(choice[i]);
		assert_true(explore_hash() == first);
		explore_restore(saved);
	}
	free(saved);
}

/* A snapshot came to a member whose log went past it: the entries behind it, which the member had
 * acknowledged, were lost. It was sent because a second proposal had overtaken the first. */
static void a_snapshot_keeps_the_acknowledged_entries_behind_it(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_PROPOSE, 0, 0, 0 }, { CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_SYNC, 1, 0, 0 },    { CHOICE_PROPOSE, 0, 0, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_COMPACT, 0, 0, 0 }, { CHOICE_WAIT, 0, 0, 300 },
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_SYNC, 1, 0, 0 },    { CHOICE_WAIT, 0, 0, 300 },
		{ CHOICE_SYNC, 2, 0, 0 },    { CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_SYNC, 0, 0, 0 },    { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_WAIT, 0, 0, 300 },  { CHOICE_TICK, 1, 0, 0 },    { CHOICE_WAIT, 0, 0, 300 },
		{ CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_REJOINED, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* The same, when an acknowledgement comes late and the leader has taken a snapshot in the meantime. */
static void a_late_acknowledgement_is_not_taken_back(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_WAIT, 0, 0, 150 },  { CHOICE_WAIT, 0, 0, 150 },  { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },    { CHOICE_WAIT, 0, 0, 1600 }, { CHOICE_TICK, 1, 0, 0 },
		{ CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_LATE_ACK, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* An entry was committed with the leaving member's copy while another was silent, and the member was released
 * when that one answered. */
static void a_member_is_let_go_when_no_commit_rests_on_its_copy(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 0, 2, 0 },   { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_WAIT, 0, 0, 150 },    { CHOICE_WAIT, 0, 0, 300 },
		{ CHOICE_WAIT, 0, 0, 300 },  { CHOICE_TICK, 2, 0, 0 },      { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_DRAIN, 1, 0, 0 },   { CHOICE_DELIVER, 2, 1, 0 },   { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DELIVER, 2, 1, 0 },   { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_SYNC, 2, 0, 0 },      { CHOICE_SYNC, 1, 0, 0 },
		{ CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_DELIVER, 0, 2, 0 },   { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_CRASH, 0, 0, 1 },   { CHOICE_TICK, 2, 0, 0 },      { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_PROPOSE, 2, 0, 0 },   { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_RESTART, 0, 0, 0 }, { CHOICE_DELIVER, 0, 2, 0 },   { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_SYNC, 1, 0, 0 },      { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_DELIVER, 2, 0, 0 },   { CHOICE_WAIT, 0, 0, 150 },
		{ CHOICE_TICK, 2, 0, 0 },    { CHOICE_DUPLICATE, 1, 2, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_SNAPSHOT, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* Found with the comparison of logs taken out of the vote. */
static void an_older_log_gets_no_vote(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_SYNC, 2, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_WAIT, 0, 0, 700 },  { CHOICE_TICK, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_WAIT, 0, 0, 1600 }, { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },    { CHOICE_TICK, 0, 0, 0 },    { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_SYNC, 2, 0, 0 },    { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_WAIT, 0, 0, 150 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_WAIT, 0, 0, 450 },  { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_SYNC, 0, 0, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_SNAPSHOT, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* Found with the wait for the change before taken out. */
static void a_change_of_members_waits_for_the_one_before(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_SYNC, 0, 0, 0 },    { CHOICE_STEP_DOWN, 0, 0, 0 },   { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_SYNC, 1, 0, 0 },        { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_TICK, 1, 0, 0 },    { CHOICE_DELIVER, 0, 1, 0 },     { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_SYNC, 1, 0, 0 },        { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 0, 1, 0 },     { CHOICE_TICK, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_SYNC, 1, 0, 0 },        { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_DELIVER, 2, 1, 0 },     { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_DELIVER, 2, 1, 0 },     { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_DELIVER, 1, 2, 0 },     { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DELIVER, 2, 1, 0 },     { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 1, 2, 0 },     { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_DELIVER, 1, 2, 0 },     { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_RECONFIGURE, 1, 0, 1 }, { CHOICE_RECONFIGURE, 1, 0, 1 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_REPLACED, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* Found with one answer to a probe standing for all. */
static void one_answer_to_a_probe_is_not_all(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_TICK, 1, 0, 0 },    { CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_WAIT, 0, 0, 150 },  { CHOICE_TICK, 1, 0, 0 },    { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_SYNC, 1, 0, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },    { CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },    { CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_SYNC, 1, 0, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_RESTARTED, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* The leader still counted a majority that stays from before the member began to leave and another was
 * removed. */
static void a_member_is_let_go_only_by_a_majority_that_stays(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_SYNC, 0, 0, 0 },    { CHOICE_COMPACT, 0, 0, 0 },
		{ CHOICE_DRAIN, 1, 0, 0 },   { CHOICE_WAIT, 0, 0, 150 },  { CHOICE_TICK, 0, 0, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },    { CHOICE_SYNC, 2, 0, 0 },    { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_RECONFIGURE, 0, 0, 1 },
		{ CHOICE_DELIVER, 1, 0, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_REPLACED, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* Both voters were told to stop, so each was let go on the other's word; one crashed and came back to stay.
 */
static void leaving_members_do_not_vouch_for_each_other(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 },     { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_WAIT, 0, 0, 700 },  { CHOICE_TICK, 0, 0, 0 },        { CHOICE_SYNC, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_TICK, 1, 0, 0 },        { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_SYNC, 1, 0, 0 },        { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 },     { CHOICE_COMPACT, 0, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_WAIT, 0, 0, 700 },      { CHOICE_TICK, 1, 0, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DELIVER, 0, 1, 0 },     { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_SYNC, 0, 0, 0 },        { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_TICK, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 },     { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_SYNC, 0, 0, 0 },        { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_SYNC, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_SYNC, 0, 0, 0 },        { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 0, 2, 0 },     { CHOICE_SYNC, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_TICK, 0, 0, 0 },        { CHOICE_DRAIN, 1, 0, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 },     { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_DELIVER, 0, 1, 0 },     { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_RECONFIGURE, 0, 0, 0 }, { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DRAIN, 0, 0, 0 },       { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_TICK, 0, 0, 0 },    { CHOICE_WAIT, 0, 0, 150 },      { CHOICE_WAIT, 0, 0, 450 },
		{ CHOICE_WAIT, 0, 0, 150 },  { CHOICE_CRASH, 1, 0, 0 },       { CHOICE_WAIT, 0, 0, 300 },
		{ CHOICE_TICK, 0, 0, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_REPLACED, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* An entry counted as committed by the acknowledgement of a member that had been let go with that very entry,
 * and was gone. */
static void one_that_may_have_gone_is_not_counted(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DRAIN, 0, 0, 0 },   { CHOICE_TICK, 0, 0, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_TICK, 1, 0, 0 },    { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_COMPACT, 1, 0, 0 }, { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },    { CHOICE_TICK, 1, 0, 0 },    { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },    { CHOICE_TICK, 1, 0, 0 },    { CHOICE_SYNC, 1, 0, 0 },
		{ CHOICE_DELIVER, 2, 1, 0 }, { CHOICE_SYNC, 2, 0, 0 },    { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_DRAIN, 2, 0, 0 },   { CHOICE_PROPOSE, 1, 0, 0 }, { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },    { CHOICE_END, 0, 0, 0 },     { CHOICE_DELIVER, 1, 2, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_REJOINED, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* Another leaving voter was being taken out, and this one was let go as if that were committed. */
static void a_member_is_let_go_only_by_committed_members(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_SYNC, 2, 0, 0 },    { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_SYNC, 0, 0, 0 },        { CHOICE_WAIT, 0, 0, 1600 }, { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DRAIN, 3, 0, 0 },       { CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DRAIN, 0, 0, 0 },
		{ CHOICE_TICK, 2, 0, 0 },        { CHOICE_DELIVER, 3, 2, 0 }, { CHOICE_DELIVER, 2, 3, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 },     { CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },        { CHOICE_DELIVER, 3, 2, 0 }, { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_SYNC, 3, 0, 0 },    { CHOICE_DELIVER, 2, 3, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },        { CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_DROP, 3, 2, 0 },
		{ CHOICE_DELIVER, 1, 2, 0 },     { CHOICE_DELIVER, 1, 2, 1 }, { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },        { CHOICE_TICK, 2, 0, 0 },    { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_SYNC, 0, 0, 0 },        { CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_WAIT, 0, 0, 150 },
		{ CHOICE_DELIVER, 2, 1, 3 },     { CHOICE_DELIVER, 3, 2, 0 }, { CHOICE_DELIVER, 2, 3, 0 },
		{ CHOICE_RECONFIGURE, 2, 0, 0 }, { CHOICE_DROP, 0, 2, 1 },    { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_TICK, 2, 0, 0 },        { CHOICE_DELIVER, 0, 2, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_FOUR, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* A learner that makes up for a lost voter was taken out first: two members were left. */
static void a_silent_learner_goes_after_its_successor_came(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_DELIVER, 1, 0, 0 },     { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },        { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_SYNC, 0, 0, 0 },        { CHOICE_WAIT, 0, 0, 300 },
		{ CHOICE_TICK, 0, 0, 0 },        { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },        { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_DUPLICATE, 0, 2, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },        { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_RECONFIGURE, 0, 0, 1 }, { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_STEP_DOWN, 0, 0, 0 },   { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_WAIT, 0, 0, 600 },      { CHOICE_WAIT, 0, 0, 150 },
		{ CHOICE_DELIVER, 1, 0, 0 },     { CHOICE_WAIT, 0, 0, 300 },
		{ CHOICE_SYNC, 1, 0, 0 },        { CHOICE_WAIT, 0, 0, 450 },
		{ CHOICE_TICK, 0, 0, 0 },        { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 },     { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 },     { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },        { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 },     { CHOICE_SYNC, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 },     { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_WAIT, 0, 0, 10 },       { CHOICE_WAIT, 0, 0, 300 },
		{ CHOICE_TICK, 0, 0, 0 },        { CHOICE_WAIT, 0, 0, 150 },
		{ CHOICE_DELIVER, 1, 0, 0 },     { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_RECONFIGURE, 0, 0, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_REPLACED, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* The same, where the leader hands over to one that stands at once. */
static void no_voter_is_let_go_where_all_are_to_stop(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_WAIT, 0, 0, 150 },  { CHOICE_SYNC, 0, 0, 0 },    { CHOICE_WAIT, 0, 0, 150 },
		{ CHOICE_WAIT, 0, 0, 150 },  { CHOICE_WAIT, 0, 0, 150 },  { CHOICE_WAIT, 0, 0, 150 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_TICK, 0, 0, 0 },    { CHOICE_SYNC, 1, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_WAIT, 0, 0, 600 },
		{ CHOICE_WAIT, 0, 0, 600 },  { CHOICE_TICK, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_SYNC, 0, 0, 0 },    { CHOICE_SYNC, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },    { CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_RECONFIGURE, 0, 0, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DRAIN, 0, 0, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_TICK, 0, 0, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_SYNC, 1, 0, 0 },
		{ CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_SYNC, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_WAIT, 0, 0, 1600 }, { CHOICE_TICK, 1, 0, 0 },
		{ CHOICE_WAIT, 0, 0, 300 },  { CHOICE_WAIT, 0, 0, 450 },  { CHOICE_TICK, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },    { CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },    { CHOICE_WAIT, 0, 0, 450 },  { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DRAIN, 1, 0, 0 },   { CHOICE_TICK, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_REPLACED, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* The same, where the leader hands over to one that stands at once. */
static void a_member_stays_while_a_change_of_members_is_open(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_SYNC, 2, 0, 0 },        { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_WAIT, 0, 0, 450 },      { CHOICE_SYNC, 0, 0, 0 },        { CHOICE_WAIT, 0, 0, 450 },
		{ CHOICE_TICK, 2, 0, 0 },        { CHOICE_CRASH, 1, 0, 0 },       { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_DELIVER, 0, 2, 0 },     { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DRAIN, 0, 0, 0 },       { CHOICE_WIPE, 1, 0, 0 },        { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_SYNC, 2, 0, 0 },        { CHOICE_DELIVER, 3, 2, 0 },
		{ CHOICE_WAIT, 0, 0, 700 },      { CHOICE_DELIVER, 2, 3, 0 },     { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_SYNC, 3, 0, 0 },        { CHOICE_DELIVER, 3, 2, 0 },     { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_DELIVER, 2, 3, 0 },     { CHOICE_DELIVER, 3, 2, 0 },     { CHOICE_TICK, 2, 0, 0 },
		{ CHOICE_SYNC, 3, 0, 0 },        { CHOICE_DELIVER, 2, 3, 0 },     { CHOICE_SYNC, 0, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_WAIT, 0, 0, 600 },      { CHOICE_WAIT, 0, 0, 150 },
		{ CHOICE_TICK, 2, 0, 0 },        { CHOICE_DELIVER, 0, 2, 0 },     { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 },     { CHOICE_SYNC, 0, 0, 0 },        { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_DELIVER, 0, 2, 0 },     { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_DELIVER, 3, 2, 0 },     { CHOICE_DELIVER, 2, 3, 0 },
		{ CHOICE_SYNC, 3, 0, 0 },        { CHOICE_SYNC, 0, 0, 0 },        { CHOICE_DELIVER, 2, 3, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 },     { CHOICE_RECONFIGURE, 2, 0, 1 }, { CHOICE_DELIVER, 3, 2, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 },     { CHOICE_SYNC, 3, 0, 0 },        { CHOICE_DELIVER, 2, 3, 0 },
		{ CHOICE_SYNC, 2, 0, 0 },        { CHOICE_SYNC, 0, 0, 0 },        { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_RECONFIGURE, 2, 0, 1 }, { CHOICE_TICK, 2, 0, 0 },        { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_PROPOSE, 2, 0, 0 },     { CHOICE_DELIVER, 0, 2, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_CHANGE, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

/* So many heartbeats of a leader that one follower alone answers. */
static void beat(uint8_t leader, uint8_t follower, int rounds)
{
	for (int i = 0; i < rounds; i++) {
		(void)explore_do((struct choice){ CHOICE_WAIT, 0, 0, RAFT_HEARTBEAT_INTERVAL_MS });
		(void)explore_do((struct choice){ CHOICE_TICK, leader, 0, 0 });
		(void)explore_do((struct choice){ CHOICE_SYNC, leader, 0, 0 });
		while (explore_do((struct choice){ CHOICE_DELIVER, follower, leader, 0 }) ||
		       explore_do((struct choice){ CHOICE_SYNC, follower, 0, 0 }) ||
		       explore_do((struct choice){ CHOICE_DELIVER, leader, follower, 0 }))
			;
	}
}

/* The same, with no change of leader: the lost voter is taken out, and then the learner falls silent. */
static void a_silent_learner_keeps_its_place_at_the_minimum(void **state)
{
	(void)state;
	explore_begin(SCENE_REPLACED);
	for (int i = 0; i < 8; i++) {
		beat(0, 1, 1);
		beat(0, 2, 1);
	}
	(void)explore_do((struct choice){ CHOICE_RECONFIGURE, 0, 0, 1 });
	beat(0, 1, 12);
	assert_int_equal(explore_raft(0)->group.member_count, RAFT_MIN_VOTERS);
	(void)explore_do((struct choice){ CHOICE_RECONFIGURE, 0, 0, 0 });
	assert_int_equal(explore_raft(0)->group.member_count, RAFT_MIN_VOTERS + 1); /* another one joins */
	beat(0, 1, 2);
	(void)explore_do((struct choice){ CHOICE_RECONFIGURE, 0, 0, 0 });
	assert_int_equal(explore_raft(0)->group.member_count,
			 RAFT_MIN_VOTERS + 1); /* which has not caught up yet */
	beat(0, 3, 1);
	beat(0, 1, 1);
	beat(0, 3, 2);
	beat(0, 1, 1);
	(void)explore_do((struct choice){ CHOICE_RECONFIGURE, 0, 0, 0 });
	assert_int_equal(explore_raft(0)->group.member_count, RAFT_MIN_VOTERS); /* and the silent one goes */
	assert_int_equal(explore_violation, INVARIANT_NONE);
}

/* A leaving member was let go by a majority that was counted before another one said that it leaves. */
static void a_majority_counted_before_is_not_used(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_WAIT, 0, 0, 150 },  { CHOICE_WAIT, 0, 0, 150 },  { CHOICE_WAIT, 0, 0, 450 },
		{ CHOICE_TICK, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_WAIT, 0, 0, 150 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_TICK, 0, 0, 0 },
		{ CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_WAIT, 0, 0, 150 },
		{ CHOICE_TICK, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DRAIN, 2, 0, 0 },   { CHOICE_WAIT, 0, 0, 600 },
		{ CHOICE_DELIVER, 2, 0, 2 }, { CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_TICK, 0, 0, 0 },    { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 2, 0, 0 },
		{ CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_DELIVER, 0, 2, 1 }, { CHOICE_DELIVER, 0, 2, 4 },
		{ CHOICE_DELIVER, 0, 2, 3 }, { CHOICE_DELIVER, 2, 0, 2 }, { CHOICE_DELIVER, 0, 2, 0 },
		{ CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_SYNC, 2, 0, 0 },    { CHOICE_DELIVER, 0, 2, 1 },
		{ CHOICE_DROP, 0, 2, 0 },    { CHOICE_DELIVER, 0, 2, 0 }, { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_DRAIN, 1, 0, 0 },   { CHOICE_END, 2, 0, 0 },
		{ CHOICE_WAIT, 0, 0, 150 },  { CHOICE_TICK, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 }, { CHOICE_PROPOSE, 0, 0, 0 }, { CHOICE_DELIVER, 1, 0, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_ALL_RESTARTED, path, sizeof path / sizeof *path),
			 INVARIANT_NONE);
}

/* Not a fault: the leader committed by members that it had just put in force, and led no more when one ended.
 */
static void an_entry_committed_by_new_members_is_not_lost_by_a_leave(void **state)
{
	static const struct choice path[] = {
		{ CHOICE_DELIVER, 1, 0, 0 },     { CHOICE_DELIVER, 2, 0, 0 }, { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_WAIT, 0, 0, 450 },      { CHOICE_WAIT, 0, 0, 150 },  { CHOICE_WAIT, 0, 0, 50 },
		{ CHOICE_TICK, 0, 0, 0 },        { CHOICE_SYNC, 1, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 },     { CHOICE_TICK, 1, 0, 0 },    { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_DELIVER, 3, 1, 0 },     { CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_DELIVER, 1, 3, 0 },
		{ CHOICE_DELIVER, 2, 1, 0 },     { CHOICE_DELIVER, 3, 1, 0 }, { CHOICE_DELIVER, 0, 1, 1 },
		{ CHOICE_DELIVER, 0, 1, 0 },     { CHOICE_SYNC, 0, 0, 0 },    { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_SYNC, 0, 0, 0 },        { CHOICE_DRAIN, 3, 0, 0 },   { CHOICE_SYNC, 1, 0, 0 },
		{ CHOICE_DELIVER, 1, 0, 1 },     { CHOICE_DELIVER, 1, 2, 0 }, { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_DELIVER, 0, 1, 0 },     { CHOICE_DELIVER, 1, 0, 0 }, { CHOICE_DELIVER, 2, 1, 0 },
		{ CHOICE_DELIVER, 3, 1, 0 },     { CHOICE_DELIVER, 1, 3, 0 }, { CHOICE_DELIVER, 1, 2, 0 },
		{ CHOICE_WAIT, 0, 0, 150 },      { CHOICE_SYNC, 1, 0, 0 },    { CHOICE_SYNC, 2, 0, 0 },
		{ CHOICE_DELIVER, 1, 2, 0 },     { CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_PROPOSE, 1, 0, 0 },     { CHOICE_TICK, 1, 0, 0 },    { CHOICE_DELIVER, 0, 1, 0 },
		{ CHOICE_SYNC, 1, 0, 0 },        { CHOICE_SYNC, 0, 0, 0 },    { CHOICE_DELIVER, 3, 1, 0 },
		{ CHOICE_RECONFIGURE, 1, 0, 0 }, { CHOICE_DELIVER, 3, 1, 0 }, { CHOICE_DELIVER, 1, 0, 0 },
		{ CHOICE_WAIT, 0, 0, 1600 },     { CHOICE_TICK, 1, 0, 0 },    { CHOICE_END, 3, 0, 0 },
	};

	(void)state;
	assert_int_equal(explore_replay(SCENE_FOUR, path, sizeof path / sizeof *path), INVARIANT_NONE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_snapshot_keeps_the_acknowledged_entries_behind_it),
		cmocka_unit_test(a_late_acknowledgement_is_not_taken_back),
		cmocka_unit_test(a_member_is_let_go_when_no_commit_rests_on_its_copy),
		cmocka_unit_test(a_member_is_let_go_only_by_a_majority_that_stays),
		cmocka_unit_test(leaving_members_do_not_vouch_for_each_other),
		cmocka_unit_test(one_that_may_have_gone_is_not_counted),
		cmocka_unit_test(a_member_is_let_go_only_by_committed_members),
		cmocka_unit_test(a_silent_learner_goes_after_its_successor_came),
		cmocka_unit_test(no_voter_is_let_go_where_all_are_to_stop),
		cmocka_unit_test(a_member_stays_while_a_change_of_members_is_open),
		cmocka_unit_test(a_silent_learner_keeps_its_place_at_the_minimum),
		cmocka_unit_test(a_majority_counted_before_is_not_used),
		cmocka_unit_test(an_entry_committed_by_new_members_is_not_lost_by_a_leave),
		cmocka_unit_test(an_older_log_gets_no_vote),
		cmocka_unit_test(a_change_of_members_waits_for_the_one_before),
		cmocka_unit_test(one_answer_to_a_probe_is_not_all),
		cmocka_unit_test(states_are_saved_and_restored),
		cmocka_unit_test(all_orders_from_each_scene),
		cmocka_unit_test(random_paths_from_each_scene),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
