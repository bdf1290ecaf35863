/* explore: a model checker for the replicated log. It drives the real step functions of lib/core/raft with up
 * to four replicas, their disks and the messages between them, one choice at a time, and checks the
 * invariants after each choice.
 *
 * A choice is one event at one replica, or the passing of time. Delay, reordering, loss, partitions and
 * frozen replicas need no choices of their own: a message that is never delivered is lost, a message that is
 * delivered after later ones is delayed, and a replica for which nothing is chosen is frozen.
 *
 * States are hashed and compared byte by byte, so structs have no padding and unused bytes are zero. */
#ifndef NL_EXPLORE_H
#define NL_EXPLORE_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "explore_heap.h"
#include "raft.h"

enum {
	EXPLORE_NODES = 4,
	EXPLORE_IDENTITIES = 10, /* a replica that has lost its disk rejoins with a new identity */
	EXPLORE_TERMS = 64,
	EXPLORE_ENTRIES = 64,
	EXPLORE_IN_FLIGHT = 40,
	EXPLORE_WRITES = 16,
	EXPLORE_PATH = 2000,
	EXPLORE_UNLIMITED = 255, /* value of a budget that is not limited */
	EXPLORE_LOST_MS = 1500   /* a member that has not answered for 1500 ms is replaced */
};

enum choice_kind {
	CHOICE_DELIVER,   /* deliver message number arg from `from` to node */
	CHOICE_DUPLICATE, /* deliver message number arg from `from` to node, and leave a copy in flight */
	CHOICE_DROP,      /* drop message number arg from `from` to node */
	CHOICE_SYNC,      /* node's oldest write reaches the disk, and node is notified */
	CHOICE_TICK,
	CHOICE_WAIT,    /* arg ms pass */
	CHOICE_PROPOSE, /* node logs a client's operation */
	/* node crashes; of its writes that were not synced, the oldest arg have reached the disk even so */
	CHOICE_CRASH,
	CHOICE_RESTART,
	CHOICE_WIPE,        /* node, which is down, loses its disk and rejoins empty with a new identity */
	CHOICE_COMPACT,     /* node takes a snapshot and truncates its log */
	CHOICE_RECONFIGURE, /* node may change the membership; arg 1: it is given only the replicas that are
			       up */
	CHOICE_STEP_DOWN,   /* node, a leader, steps down as for a planned stop */
	CHOICE_DRAIN,       /* node is to be removed permanently, and waits for its release from the group */
	CHOICE_END,         /* node, which was drained and released, ends; its disk is discarded */
	CHOICE_KINDS
};

struct choice {
	uint8_t kind; /* enum choice_kind */
	uint8_t node;
	uint8_t from;
	uint16_t arg;
};

struct explore_disk_entry {
	uint64_t term;
	uint32_t kind;
	uint32_t blob;
};

/* The disk contents that a replica reads after a crash. Blobs are numbers of interned byte strings. */
struct explore_disk {
	uint64_t term;
	uint64_t vote;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	uint64_t first_index; /* of entries[0] */
	uint32_t members;     /* blob: membership in the snapshot, packed */
	uint32_t data;        /* blob: state in the snapshot */
	uint32_t entry_count;
	struct explore_disk_entry entries[EXPLORE_ENTRIES];
};

/* The replicated state machine: the applied operations, in order. */
struct explore_machine {
	uint64_t applied; /* log index of the newest applied entry */
	uint32_t operation_count;
	uint32_t operations[EXPLORE_ENTRIES];
};

struct explore_replica {
	uint8_t is_up;
	uint8_t identity;
	uint8_t incarnations; /* number of its starts */
	uint8_t write_count;
	uint8_t member_count;            /* number of members in its membership after its last step */
	uint32_t writes[EXPLORE_WRITES]; /* blobs: writes that are not yet synced, oldest first */
	uint64_t commit;                 /* highest commit index of this incarnation */
	uint64_t led_term;               /* term in which it was leader after its last step; 0: none */
	uint64_t members_index;          /* log index of its membership after its last step */
	uint64_t hash;
	struct explore_disk disk;
	struct explore_machine machine;
};

/* A message in flight. */
struct explore_message {
	uint32_t blob;
	uint8_t from;
	uint8_t to;
	uint16_t unused; /* always 0; takes the place of padding, as states are compared byte by byte */
};

/* The history of the group as an external observer records it; the invariants are checked against it. */
struct explore_history {
	uint64_t commit;
	uint32_t commit_members; /* blob: the membership by which the newest entry was committed */
	struct {
		uint64_t term;
		uint64_t commit_term; /* term of the leader that committed the entry */
		uint32_t kind;
		uint32_t blob;
	} committed[EXPLORE_ENTRIES];
	uint8_t leader[EXPLORE_TERMS];                   /* by term: identity of its leader */
	uint8_t vote[EXPLORE_IDENTITIES][EXPLORE_TERMS]; /* by voter and term: identity voted for */
	/* by member and index: term of the log entry that the member has acknowledged */
	uint8_t acknowledged[EXPLORE_IDENTITIES][EXPLORE_ENTRIES];
	uint8_t ended[EXPLORE_IDENTITIES]; /* 1: it was released from the group, and its disk discarded */
};

/* The explored state, except for the replicas' struct raft (see explore_raft). */
struct explore_world {
	int64_t now; /* ms */
	uint8_t node_count;
	uint8_t voter_count; /* number of bootstrap members */
	uint8_t identity_count;
	uint32_t operation_count;     /* operations proposed so far */
	uint8_t budget[CHOICE_KINDS]; /* by kind: choices that the exhaustive search may still make */
	uint8_t rare_budget;          /* choices of all rare kinds together that it may still make */
	uint32_t message_count;
	struct explore_message messages[EXPLORE_IN_FLIGHT];
	struct explore_replica replica[EXPLORE_NODES];
	struct explore_history history;
};

/* The invariants that are checked after each choice; explore_check.c describes each of them. */
enum explore_invariant {
	INVARIANT_NONE,
	ONE_LEADER_A_TERM,
	ONE_LEASE_AT_A_TIME,
	LOGS_MATCH,
	COMMITTED_STAYS,
	COMMIT_NEVER_GOES_BACK,
	LEADER_HAS_ALL_COMMITTED,
	COMMITTED_ON_A_MAJORITY,
	LEADER_COMMITS_ITS_TERM,
	APPLIED_IN_ORDER,
	READS_ARE_FRESH,
	ONE_VOTE_A_TERM,
	VOTE_IS_ON_DISK,
	ACKNOWLEDGED_IS_ON_DISK,
	VOTER_KEEPS_WHAT_IT_ACKNOWLEDGED,
	ENOUGH_VOTERS,
	ONE_CHANGE_AT_A_TIME,
	CHANGE_AFTER_OWN_COMMIT,
	DRAINED_IS_NOT_NEEDED,
	ENDED_IS_NOT_NEEDED,
	INVARIANTS
};

/* Prepared states from which an exploration begins. */
enum explore_scene {
	SCENE_EMPTY,      /* three replicas, just bootstrapped */
	SCENE_LEASE,      /* a leader with a lease, and a follower that lags */
	SCENE_NEW_LEADER, /* just after a change of leader; the old leader has not received the new term, and
			     its entries are in flight */
	SCENE_CHANGE,     /* a fourth member is being added */
	SCENE_REJOINED,   /* a member has rejoined after a crash that lost its unsynced writes */
	SCENE_LEARNER,    /* a learner that has nearly caught up */
	SCENE_ALL_RESTARTED, /* all replicas crashed at the same time and have restarted */
	SCENE_SNAPSHOT,      /* a snapshot is in flight to a follower that lags */
	SCENE_FOUR,          /* four voters, and a leader with a lease */
	SCENE_REPLACED,      /* a member has lost its disk and is being replaced */
	SCENE_SPLIT_LOG, /* an old leader is a follower again; only its log has its entries of an earlier term
			  */
	SCENE_CUT_OFF, /* a follower has received nothing from the leader for more than an election timeout */
	SCENE_RESTARTED,  /* like SCENE_CUT_OFF, and the follower that grants the lease has just restarted */
	SCENE_LED_BEFORE, /* a leader that also led two terms earlier; an acknowledgement sent to it in that
			     earlier term is still in flight */
	SCENE_LATE_ACK,   /* a leader has taken a snapshot; a follower's acknowledgement of entries after that
			     snapshot is in flight */
	SCENES
};

/* The explored state; the first violated invariant since the scene began, and the text that describes it. */
extern struct explore_world explore_world;
extern enum explore_invariant explore_violation;
extern char explore_violation_text[256];

/* The names of scenes and invariants on the command line and in reports. */
const char *explore_scene_name(enum explore_scene scene);
const char *explore_invariant_name(enum explore_invariant invariant);

/* Set the world to the state of a scene. Example: explore_begin(SCENE_LEASE); */
void explore_begin(enum explore_scene scene);

/* Execute one choice and check the invariants; 0 if the choice is not possible in this state.
 * Example: explore_do((struct choice){ CHOICE_TICK, 0, 0, 0 }); */
int explore_do(struct choice choice);

/* Write to `choice` up to `limit` choices that are possible in this state and within the budget; returns
 * their number. Example: n = explore_choices(v, limit); */
size_t explore_choices(struct choice *choice, size_t limit);

/* Hash of the complete state; times enter it relative to the current time. */
uint64_t explore_hash(void);

/* Save and restore a copy of the complete state. */
struct explore_saved;
struct explore_saved *explore_saved_new(void);
void explore_save(struct explore_saved *saved);
void explore_restore(const struct explore_saved *saved);

/* The Raft state of a replica. */
struct raft *explore_raft(int node);

/* Used by scenes: explore_open_all opens all replicas with empty disks; explore_bootstrap makes the first
 * `voters` replicas the bootstrap members. */
void explore_open_all(void);
void explore_bootstrap(int voters);

/* Whether the number of terms, entries or identities is close to the bounds of the model. */
int explore_exhausted(void);

/* Execute a path of choices from a scene; returns the first invariant that is violated, or INVARIANT_NONE.
 * Example: assert_int_equal(explore_replay(SCENE_LEASE, path, n), 0); */
enum explore_invariant explore_replay(enum explore_scene scene, const struct choice *path, size_t n);

#endif
