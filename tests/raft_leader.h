/* raft_leader: runs the leader of a Raft group without the other members, whose messages the test sends. */
#ifndef NL_RAFT_LEADER_H
#define NL_RAFT_LEADER_H

#include "raft.h"

struct leader {
	struct raft raft;
	struct command_list out;
	int64_t now; /* ms */
	struct raft_member
	    controllers[6]; /* running controllers of the fleet, from which members are chosen */
	int controller_count;
};

/* An empty message whose body case is `body`. */
struct Nl__Msg leader_message(int body);

/* Complete the sync of everything that the leader has written. */
void leader_sync_disk(struct leader *leader);

/* The leader receives a message from member `from`. */
void leader_receive(struct leader *leader, uint64_t from, struct Nl__Msg *message);

/* The candidate receives a granted vote from member `from`, or with is_pre_vote a granted pre-vote. */
void leader_receive_vote(struct leader *leader, uint64_t from, uint64_t term, int is_pre_vote);

/* The leader receives member `from`'s answer to the newest heartbeat: its log is synced up to index `match`.
 */
void leader_receive_append_reply(struct leader *leader, uint64_t from, uint64_t match);

/* The index of the newest entry in the leader's log. */
uint64_t leader_last_index(const struct leader *leader);

/* Advance the clock by `ms` in heartbeat intervals. The members whose bits (1 << id) are set in `answering`
 * answer each heartbeat, with their complete log synced. */
void leader_run_heartbeats(struct leader *leader, int64_t ms, unsigned answering);

/* Open member 1 as the leader, with a lease, of a group of `voters` voters; one more controller can join. */
void leader_begin(struct leader *leader, int voters);

/* Free all memory. */
void leader_end(struct leader *leader);

/* The member of the leader's group with this id, or NULL. */
const struct raft_member *leader_member(const struct leader *leader, uint64_t id);

/* Let the leader change the membership by one step, if a change is due. */
void leader_reconfigure(struct leader *leader);

/* Log an operation at the leader, and complete its sync. */
void leader_propose(struct leader *leader);

#endif
