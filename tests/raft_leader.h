/* raft_leader: a raft leader alone; the test itself sends its members' answers. */
#ifndef NL_RAFT_LEADER_H
#define NL_RAFT_LEADER_H

#include "raft.h"

struct leader {
	struct raft raft;
	struct command_list out;
	int64_t now;
	struct raft_member live[6]; /* controllers that the fleet knows */
	int live_count;
};

/* An empty message of a kind. */
struct Nl__Msg leader_message(int body);

/* All that it has written is synced. */
void leader_sync_disk(struct leader *leader);

/* It receives a message of a member. */
void leader_receive(struct leader *leader, uint64_t from, struct Nl__Msg *message);

/* A member grants its vote, or with pre its pre-vote. */
void leader_receive_vote(struct leader *leader, uint64_t from, uint64_t term, int pre);

/* A member answers the newest heartbeat: it has synced all up to match. */
void leader_receive_append_reply(struct leader *leader, uint64_t from, uint64_t match);

/* The index of its newest entry. */
uint64_t leader_last_index(const struct leader *leader);

/* Time passes; the members in the mask answer each heartbeat, and have synced the whole log. */
void leader_run_heartbeats(struct leader *leader, int64_t ms, unsigned answering);

/* Member 1 leads a group of so many voters; one more controller can join. */
void leader_begin(struct leader *leader, int voters);

/* Free all memory. */
void leader_end(struct leader *leader);

/* A member of its group, or NULL. */
const struct raft_member *leader_member(const struct leader *leader, uint64_t id);

/* It changes the membership by one step, if that is due. */
void leader_reconfigure(struct leader *leader);

/* It logs an operation, and syncs it. */
void leader_propose(struct leader *leader);

#endif
