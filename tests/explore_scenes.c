/* The prepared states that an exploration begins with. Each is reached by choices, so that its invariants
 * hold too. */
#include <stdlib.h>
#include <string.h>

#include "explore.h"
#include "explore_check.h"

enum { ALL = 15, SETTLE_STEPS = 400, ELECTION_ROUNDS = 40 };

static int in_set(int nodes, int node)
{
	return nodes >> node & 1;
}

static int do_one(int kind, int node, int from, int arg)
{
	return explore_do((struct choice){ (uint8_t)kind, (uint8_t)node, (uint8_t)from, (uint16_t)arg });
}

static int deliver_and_sync_once(int nodes)
{
	for (int to = 0; to < explore_world.node_count; to++) {
		if (!in_set(nodes, to))
			continue;
		if (do_one(CHOICE_SYNC, to, 0, 0))
			return 1;
		for (int from = 0; from < explore_world.node_count; from++)
			if (in_set(nodes, from) && do_one(CHOICE_DELIVER, to, from, 0))
				return 1;
	}
	return 0;
}

/* Deliver and sync everything within a set of replicas until nothing is left. */
static void settle(int nodes)
{
	for (int i = 0; i < SETTLE_STEPS && deliver_and_sync_once(nodes); i++)
		;
}

static void lose_messages(void)
{
	while (explore_world.message_count)
		(void)do_one(CHOICE_DROP, explore_world.messages[0].to, explore_world.messages[0].from, 0);
}

static void wait_for(int ms)
{
	(void)do_one(CHOICE_WAIT, 0, 0, ms);
}

static void heartbeat(int leader, int nodes)
{
	wait_for(RAFT_HEARTBEAT_INTERVAL_MS);
	(void)do_one(CHOICE_TICK, leader, 0, 0);
	settle(nodes);
}

static int leads(int node)
{
	return explore_raft(node) && raft_has_lease(explore_raft(node), explore_world.now);
}

/* Only node's election timer expires, and only `nodes` receive each other's messages. */
static void elect(int node, int nodes)
{
	for (int i = 0; i < ELECTION_ROUNDS && !leads(node); i++)
		heartbeat(node, nodes);
}

static void propose(int node, int nodes)
{
	(void)do_one(CHOICE_PROPOSE, node, 0, 0);
	settle(nodes);
}

static void fall(int node)
{
	(void)do_one(CHOICE_CRASH, node, 0, 0);
}
static void restart_replica(int node)
{
	(void)do_one(CHOICE_RESTART, node, 0, 0);
}

static void found(int nodes, int voters)
{
	struct explore_world *world = &explore_world;

	memset(world, 0, sizeof *world);
	world->now = EXPLORE_EPOCH_MS;
	world->node_count = (uint8_t)nodes;
	world->voter_count = (uint8_t)voters;
	explore_violation = INVARIANT_NONE;
	for (int i = 0; i < nodes; i++)
		world->replica[i].identity = ++world->identity_count;
	explore_open_all();
	explore_bootstrap(voters);
}

static void begin_lease(int nodes, int voters)
{
	found(nodes, voters);
	elect(0, ALL);
	propose(0, ALL);
}

static void scene_empty(void)
{
	found(3, 3);
}

static void scene_lease(void)
{
	begin_lease(3, 3);
	propose(0, 3);
	lose_messages();
	(void)do_one(CHOICE_PROPOSE, 0, 0, 0);
}

static void scene_new_leader(void)
{
	begin_lease(3, 3);
	(void)do_one(CHOICE_PROPOSE, 0, 0, 0); /* known to the old leader alone, and in flight */
	(void)do_one(CHOICE_PROPOSE, 0, 0, 0);
	(void)do_one(CHOICE_SYNC, 0, 0, 0);
	wait_for(RAFT_ELECTION_TIMEOUT_MS);
	elect(1, 6);
}

static void scene_change(void)
{
	begin_lease(4, 3);
	explore_raft(0)->group.target_voters = 4;
	(void)do_one(CHOICE_RECONFIGURE, 0, 0, 0);
}

static void scene_rejoined(void)
{
	begin_lease(3, 3);
	(void)do_one(CHOICE_PROPOSE, 0, 0, 0);
	(void)do_one(CHOICE_DELIVER, 2, 0, 0); /* received, not synced */
	fall(2);
	restart_replica(2);
}

static void scene_learner(void)
{
	begin_lease(4, 3);
	explore_raft(0)->group.target_voters = 4;
	(void)do_one(CHOICE_RECONFIGURE, 0, 0, 0);
	settle(ALL);
	heartbeat(0, ALL);
	(void)do_one(CHOICE_PROPOSE, 0, 0, 0);
}

static void scene_all_fell(void)
{
	begin_lease(3, 3);
	(void)do_one(CHOICE_PROPOSE, 0, 0, 0);
	(void)do_one(CHOICE_SYNC, 0, 0, 0);
	for (int i = 0; i < 3; i++)
		fall(i);
	lose_messages();
	for (int i = 0; i < 3; i++)
		restart_replica(i);
}

static void scene_snapshot(void)
{
	begin_lease(3, 3);
	propose(0, 3);
	propose(0, 3);
	lose_messages();
	(void)do_one(CHOICE_COMPACT, 0, 0, 0);
	settle(3);
	wait_for(RAFT_HEARTBEAT_INTERVAL_MS);
	(void)do_one(CHOICE_TICK, 0, 0, 0);
	(void)do_one(CHOICE_DELIVER, 2, 0, 0); /* the follower answers how far its log is */
	(void)do_one(CHOICE_DELIVER, 0, 2, 0);
}

static void scene_four(void)
{
	begin_lease(4, 4);
	(void)do_one(CHOICE_PROPOSE, 0, 0, 0);
}

static void scene_replaced(void)
{
	begin_lease(4, 3);
	fall(2);
	(void)do_one(CHOICE_WIPE, 2, 0, 0);
	for (int i = 0; i < 12; i++)
		heartbeat(0, ALL);
	(void)do_one(CHOICE_RECONFIGURE, 0, 0, 0);
}

static void scene_split_log(void)
{
	begin_lease(3, 3);
	(void)do_one(CHOICE_PROPOSE, 0, 0, 0); /* on the old leader's disk alone */
	(void)do_one(CHOICE_SYNC, 0, 0, 0);
	fall(0);
	lose_messages();
	wait_for(RAFT_ELECTION_TIMEOUT_MS);
	for (int i = 0; i < ELECTION_ROUNDS && explore_raft(1)->role != RAFT_LEADER; i++) {
		wait_for(RAFT_HEARTBEAT_INTERVAL_MS);
		(void)do_one(CHOICE_TICK, 1, 0, 0);
		while (explore_raft(1)->role != RAFT_LEADER && deliver_and_sync_once(6))
			;
	}
	(void)do_one(CHOICE_SYNC, 1, 0, 0); /* the new leader's first entry, on its disk alone */
	lose_messages();
	fall(1);
	restart_replica(0);
	wait_for(RAFT_LEASE_MS);
}

static void scene_cut_off(void)
{
	begin_lease(3, 3);
	for (int i = 0; i < RAFT_ELECTION_TIMEOUT_MS / RAFT_HEARTBEAT_INTERVAL_MS + 1; i++) {
		heartbeat(0, 3);
		lose_messages();
	}
}

static void scene_restarted(void)
{
	scene_cut_off();
	fall(1);
	restart_replica(1);
}

static void scene_led_before(void)
{
	begin_lease(3, 3);
	for (int i = 0; i < 5; i++)
		heartbeat(0, ALL);
	wait_for(RAFT_HEARTBEAT_INTERVAL_MS);
	(void)do_one(CHOICE_TICK, 0, 0, 0);
	(void)do_one(CHOICE_DELIVER, 1, 0, 0);
	(void)do_one(CHOICE_STEP_DOWN, 0, 0, 0);
	wait_for(RAFT_ELECTION_TIMEOUT_MS);
	elect(0, 5);
}

static void scene_late_ack(void)
{
	begin_lease(3, 3);
	(void)do_one(CHOICE_PROPOSE, 0, 0, 0);
	(void)do_one(CHOICE_PROPOSE, 0, 0, 0);
	while (do_one(CHOICE_SYNC, 0, 0, 0) || do_one(CHOICE_DELIVER, 2, 0, 0) ||
	       do_one(CHOICE_SYNC, 2, 0, 0))
		;
	(void)do_one(CHOICE_DELIVER, 1, 0,
		     0); /* the first entry alone is committed, and the follower does not know of it */
	(void)do_one(CHOICE_SYNC, 1, 0, 0);
	(void)do_one(CHOICE_DELIVER, 0, 1, 0);
	(void)do_one(CHOICE_COMPACT, 0, 0, 0);
}

static const struct {
	const char *name;
	void (*prepare)(void);
} scenes[SCENES] = {
	[SCENE_EMPTY] = { "EMPTY", scene_empty },
	[SCENE_LEASE] = { "LEASE", scene_lease },
	[SCENE_NEW_LEADER] = { "NEW_LEADER", scene_new_leader },
	[SCENE_CHANGE] = { "CHANGE", scene_change },
	[SCENE_REJOINED] = { "REJOINED", scene_rejoined },
	[SCENE_LEARNER] = { "LEARNER", scene_learner },
	[SCENE_ALL_RESTARTED] = { "ALL_FELL", scene_all_fell },
	[SCENE_SNAPSHOT] = { "SNAPSHOT", scene_snapshot },
	[SCENE_FOUR] = { "FOUR", scene_four },
	[SCENE_REPLACED] = { "REPLACED", scene_replaced },
	[SCENE_SPLIT_LOG] = { "SPLIT_LOG", scene_split_log },
	[SCENE_CUT_OFF] = { "CUT_OFF", scene_cut_off },
	[SCENE_RESTARTED] = { "RESTARTED", scene_restarted },
	[SCENE_LED_BEFORE] = { "LED_BEFORE", scene_led_before },
	[SCENE_LATE_ACK] = { "LATE_ACK", scene_late_ack },
};

const char *explore_scene_name(enum explore_scene scene)
{
	return scenes[scene].name;
}

enum { RARE = 2 };

/* How often the exhaustive search may choose each kind; of the rare ones two in all. A message that is never
 * chosen is lost. */
static const uint8_t budgets[CHOICE_KINDS] = {
	[CHOICE_DELIVER] = EXPLORE_UNLIMITED,
	[CHOICE_SYNC] = EXPLORE_UNLIMITED,
	[CHOICE_TICK] = EXPLORE_UNLIMITED,
	[CHOICE_RESTART] = EXPLORE_UNLIMITED,
	[CHOICE_WAIT] = 4,
	[CHOICE_DUPLICATE] = 1,
	[CHOICE_PROPOSE] = 1,
	[CHOICE_CRASH] = 2,
	[CHOICE_WIPE] = 1,
	[CHOICE_COMPACT] = 1,
	[CHOICE_RECONFIGURE] = 2,
	[CHOICE_STEP_DOWN] = 1,
	[CHOICE_DRAIN] = 1,
	[CHOICE_END] = 1,
};

void explore_begin(enum explore_scene scene)
{
	scenes[scene].prepare();
	memcpy(explore_world.budget, budgets, sizeof budgets);
	explore_world.rare_budget = RARE;
}
