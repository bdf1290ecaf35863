/* explore: a model checker for the replicated log. It drives the real step functions of lib/core/raft with
 * several replicas, their disks and the messages between them, one choice at a time, and checks the
 * invariants after each.
 *
 * A choice is one event at one replica, or the passing of time. Delay, reordering, loss, partitions and
 * frozen replicas need no choices of their own: a message that is never chosen is lost, one chosen late was
 * delayed, a replica without choices is frozen.
 *
 * States are hashed and compared by their bytes: records have no padding, and are zeroed where unused. */
#ifndef NL_EXPLORE_H
#define NL_EXPLORE_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include "explore_heap.h"
#include "raft.h"

enum {
	EXPLORE_NODES = 4,
	EXPLORE_IDENTITIES = 10, /* a replica that lost its disk comes back under a new one */
	EXPLORE_TERMS = 64,
	EXPLORE_ENTRIES = 64,
	EXPLORE_IN_FLIGHT = 40,
	EXPLORE_WRITES = 16,
	EXPLORE_PATH = 2000,
	EXPLORE_UNLIMITED = 255, /* no budget */
	EXPLORE_LOST_MS = 1500   /* a member silent for so long is replaced */
};

enum choice_kind {
	CHOICE_DELIVER,   /* the message number arg from `from` to node */
	CHOICE_DUPLICATE, /* the same, and it stays in flight */
	CHOICE_DROP,      /* the same, unseen */
	CHOICE_SYNC,      /* node's oldest write reaches the disk, and node is notified */
	CHOICE_TICK,
	CHOICE_WAIT,    /* arg ms pass */
	CHOICE_PROPOSE, /* a client's operation at node */
	/* node crashes; the oldest arg of its writes that were not synced are on the disk all the same */
	CHOICE_CRASH,
	CHOICE_RESTART,
	CHOICE_WIPE,    /* node, which is down, loses its disk and comes back empty under a new identity */
	CHOICE_COMPACT, /* node takes a snapshot and drops its log */
	CHOICE_RECONFIGURE, /* node may change the membership; arg 1: it knows only of replicas that are up */
	CHOICE_STEP_DOWN,   /* planned */
	CHOICE_DRAIN,       /* node is to stop for good, and waits for its release */
	CHOICE_END,         /* node, which is to stop and may, ends; its disk is thrown away */
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

/* What a replica finds after a crash. Blobs are numbers of interned byte strings. */
struct explore_disk {
	uint64_t term;
	uint64_t vote;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	uint64_t first_index; /* of entries[0] */
	uint32_t members;     /* blob: packed, of the snapshot */
	uint32_t data;        /* blob: the snapshot's state */
	uint32_t entry_count;
	struct explore_disk_entry entries[EXPLORE_ENTRIES];
};

/* The state machine: the operations that were applied, in order. */
struct explore_machine {
	uint64_t applied; /* index in the log */
	uint32_t operation_count;
	uint32_t operations[EXPLORE_ENTRIES];
};

struct explore_replica {
	uint8_t is_up;
	uint8_t identity;
	uint8_t incarnations; /* how often it was started */
	uint8_t write_count;
	uint8_t member_count;            /* of the membership that it knew after its last step */
	uint32_t writes[EXPLORE_WRITES]; /* blobs, oldest first; not synced */
	uint64_t commit;                 /* highest commit index of this incarnation */
	uint64_t led_term;               /* term that it led after its last step; 0: none */
	uint64_t members_index;          /* of the membership that it knew after its last step */
	uint64_t hash;
	struct explore_disk disk;
	struct explore_machine machine;
};

/* A message in flight. */
struct explore_message {
	uint32_t blob;
	uint8_t from;
	uint8_t to;
	uint16_t unused; /* compared by bytes: no padding */
};

/* What an external observer knows, against which the invariants are checked. */
struct explore_history {
	uint64_t commit;
	uint32_t commit_members; /* blob: the membership by which the newest entry was committed */
	struct {
		uint64_t term;
		uint64_t commit_term; /* of the leader that committed it */
		uint32_t kind;
		uint32_t blob;
	} committed[EXPLORE_ENTRIES];
	uint8_t leader[EXPLORE_TERMS];                   /* identity that led the term */
	uint8_t vote[EXPLORE_IDENTITIES][EXPLORE_TERMS]; /* identity voted for */
	/* term of the entry acknowledged at an index */
	uint8_t acknowledged[EXPLORE_IDENTITIES][EXPLORE_ENTRIES];
	uint8_t ended[EXPLORE_IDENTITIES]; /* it was released, and its disk is gone */
};

/* The state that is explored, but for the replicas' own (explore_raft). */
struct explore_world {
	int64_t now; /* ms */
	uint8_t node_count;
	uint8_t voter_count; /* founding members */
	uint8_t identity_count;
	uint32_t operation_count;     /* proposed so far */
	uint8_t budget[CHOICE_KINDS]; /* how often each kind may still be chosen by the exhaustive search */
	uint8_t rare_budget;          /* and how often a rare kind at all */
	uint32_t message_count;
	struct explore_message messages[EXPLORE_IN_FLIGHT];
	struct explore_replica replica[EXPLORE_NODES];
	struct explore_history history;
};

/* What has to hold after each choice (explore_check.c). */
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

/* Prepared states to explore from. */
enum explore_scene {
	SCENE_EMPTY,      /* three replicas, just bootstrapped */
	SCENE_LEASE,      /* a leader with a lease, a follower that lags */
	SCENE_NEW_LEADER, /* just after the leader changed; the old one knows nothing of it, and its entries
			     are in flight */
	SCENE_CHANGE,     /* a fourth member is being added */
	SCENE_REJOINED,   /* a member came back that lost what was not synced */
	SCENE_LEARNER,    /* a learner that has nearly caught up */
	SCENE_ALL_RESTARTED, /* all crashed at once and restarted */
	SCENE_SNAPSHOT,      /* a snapshot is on its way to a follower that lags */
	SCENE_FOUR,          /* four voters, a leader with a lease */
	SCENE_REPLACED,      /* a member lost its disk and is being replaced */
	SCENE_SPLIT_LOG,     /* an old leader's entries of an earlier term stand on one follower */
	SCENE_CUT_OFF,    /* a follower received nothing of the leader for longer than an election timeout */
	SCENE_RESTARTED,  /* the same, and the follower that grants the lease has just restarted */
	SCENE_LED_BEFORE, /* a leader again, two terms after its first; an acknowledgement of then is still in
			     flight */
	SCENE_LATE_ACK,   /* a leader took a snapshot; a follower's acknowledgement of entries behind it is in
			     flight */
	SCENES
};

/* The world, and the first violation since the scene began. */
extern struct explore_world explore_world;
extern enum explore_invariant explore_violation;
extern char explore_violation_text[256];

/* As they are named on the command line and in reports. */
const char *explore_scene_name(enum explore_scene scene);
const char *explore_invariant_name(enum explore_invariant invariant);

/* Begin a scene. Example: explore_begin(SCENE_LEASE); */
void explore_begin(enum explore_scene scene);

/* Do one choice and check the invariants; 0 when it is not possible now.
 * Example: explore_do((struct choice){ CHOICE_TICK, 0, 0, 0 }); */
int explore_do(struct choice choice);

/* All choices that are possible now and within the budget. Example: n = explore_choices(v, limit); */
size_t explore_choices(struct choice *choice, size_t limit);

/* Hash of the whole state, times relative to now. */
uint64_t explore_hash(void);

/* A copy of the complete state, to go back to it. */
struct explore_saved;
struct explore_saved *explore_saved_new(void);
void explore_save(struct explore_saved *saved);
void explore_restore(const struct explore_saved *saved);

struct raft *explore_raft(int node);

/* For scenes: open all replicas with empty disks; make the first few the bootstrap members. */
void explore_open_all(void);
void explore_bootstrap(int voters);

/* Whether terms, entries or identities near the bounds of the model. */
int explore_exhausted(void);

/* Run a path from a scene; the first invariant that breaks. Example:
 * assert_int_equal(explore_replay(SCENE_LEASE, path, n), 0); */
enum explore_invariant explore_replay(enum explore_scene scene, const struct choice *path, size_t n);

#endif
