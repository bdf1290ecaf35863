/* raft: one replicated state machine (a shard of the control state): log, elections, leader lease, snapshots,
 * membership. After Ongaro and Ousterhout, with pre-vote, leader leases, and single-member changes
 * (docs/consistency.md says what holds, and why). Pure: events in, commands out; no socket, file or clock.
 * The leader may act or answer only while raft_has_lease holds. All times are milliseconds of the process's
 * own monotonic clock. */
#ifndef NL_RAFT_H
#define NL_RAFT_H

#include <stdbool.h>

#include "core.h"

/* What a member does in its term. */
enum raft_role { RAFT_FOLLOWER, RAFT_PRE_CANDIDATE, RAFT_CANDIDATE, RAFT_LEADER };

/* Lease, elections, heartbeats. */
enum {
	RAFT_LEASE_MS =
	    600, /* a member that has received a message of its leader grants no vote for so long */
	RAFT_LEASE_MARGIN_MS = 150, /* the leader stops acting so long before its lease ends */
	RAFT_HEARTBEAT_MS = 150,    /* between heartbeat rounds */
	RAFT_ELECTION_MS = 700,     /* election timeout, plus up to half as much again */
	RAFT_ELECTION_RETRY_MS =
	    300, /* a candidate without a majority tries again after this, plus up to as much */
	RAFT_PROBE_INTERVAL_MS = 50,      /* between probes of a restarted member for an earlier leader */
	RAFT_ELECTION_STAGGER_MS = 50,    /* no leader: members request votes so long after one another */
	RAFT_SYNC_STALL_MS = 600,         /* a leader whose own sync takes longer steps down */
	RAFT_HEARTBEAT_ROUND_HISTORY = 64 /* rounds whose sending times are remembered */
};

/* Membership and epochs. */
enum {
	RAFT_MIN_VOTERS =
	    3, /* bootstrapped with these; one fewer only while a learner takes a lost one's place */
	RAFT_MEMBER_LOST_MS =
	    6000, /* a silent member is replaced after this, unless the group has another bound */
	RAFT_MAX_MEMBERS = 8,
	RAFT_MAX_FENCED_IDS = 24, /* identities of older epochs that are remembered */
	RAFT_EPOCH_SHIFT = 26,    /* position of the epoch in a term, in bits */
	RAFT_ABSENT_MS = 3000     /* recovery: a member without a message for so long may be named as lost */
};

/* Log and snapshots. */
enum {
	RAFT_LOG_TAIL = 256,           /* entries kept behind a snapshot, */
	RAFT_LOG_TAIL_BYTES = 8 << 20, /* as far as they hold no more */
	RAFT_SNAPSHOT_ENTRIES = 2048,  /* entries before the next snapshot, */
	RAFT_SNAPSHOT_LOG_BYTES =
	    8 << 20, /* or so many bytes of them, when the last snapshot is not larger */
	RAFT_SNAPSHOT_MAX_BYTES = 64 << 20 /* a larger one is not accepted from a leader */
};

/* Flow control between leader and member. */
enum {
	RAFT_APPEND_WINDOW_BYTES = 1 << 20, /* entries under way to a member; one entry always is */
	RAFT_APPEND_MAX_ENTRIES = 512,      /* entries in one message */
	RAFT_RESEND_MS =
	    300, /* without progress, what is under way is sent again after this, doubled each time, */
	RAFT_RESEND_MAX_MS = 4800, /* up to this */
	RAFT_RESEND_BYTES_PER_MS =
	    5000,                    /* and longer for what such a link takes to carry what is under way */
	RAFT_CHUNK_BYTES = 64 << 10, /* of a snapshot in one message */
	RAFT_CHUNK_WINDOW = 8,       /* chunks under way to a member */
	RAFT_TRANSFER_IDLE_MS =
	    10000 /* a transfer without a reply for so long begins anew, with the newest snapshot */
};

enum { RAFT_DIGEST_BYTES = 32 }; /* SHA-256 */

/* Kinds of log entries, as they are stored and sent. */
enum { RAFT_ENTRY_NOOP = 0, RAFT_ENTRY_MEMBERS = 1, RAFT_ENTRY_OPERATION = 2 };

/* One log entry; data belongs to the log, and is one byte longer than len. */
struct raft_entry {
	uint64_t term;
	uint32_t kind;
	size_t len;
	uint8_t *data;
};

/* Leader: the snapshot that is being sent to a member. Owned by raft_snapshot_send.c. */
struct raft_snapshot_transfer {
	uint64_t index;           /* of the snapshot; 0: none is under way */
	uint64_t acked_bytes;     /* that the member has acknowledged */
	uint64_t sent_bytes;      /* that have been sent, acknowledged or not */
	bool has_reply;           /* the member has replied: a whole window may be under way */
	int64_t last_reply_at_ms; /* or when the transfer began */
	int64_t advanced_at_ms;   /* last byte acknowledged, or last resend */
	int64_t resend_ms;        /* without progress for so long, what is under way is sent again */
	int64_t resume_at_ms;     /* nothing is sent before: back-off after a wrong digest */
	int64_t rewound_at_ms;    /* when it was last set back to a smaller offset */
};

/* A snapshot as it is kept in memory: the packed members in force at its index, and the packed state. Both
 * buffers are on the heap and belong to it. */
struct raft_stored_snapshot {
	uint64_t index; /* newest entry that it stands for; 0: none */
	uint64_t term;  /* of that entry */
	uint8_t *data;
	uint8_t *members;
	size_t data_len;
	size_t members_len;
	uint8_t digest[RAFT_DIGEST_BYTES]; /* SHA-256, computed when it is first sent */
	bool has_digest;
};

struct raft_incoming; /* member: a snapshot of which some chunks have been received (raft_snapshot_receive.c)
		       */

/* Leader: how far a member's log has come. Reset at the beginning of each term. Owned by raft_replication.c.
 */
struct raft_progress {
	uint64_t next_index;    /* next entry to send */
	uint64_t match_index;   /* newest entry that the member has synced and that is known to be ours */
	uint64_t unacked_index; /* entries from here to next_index are under way */
	uint64_t acked_heartbeat_round; /* newest heartbeat round that it has answered */
	int64_t last_reply_at_ms;       /* last answer to an append or a snapshot chunk */
	int64_t advanced_at_ms;         /* last entry acknowledged, or last resend */
	int64_t resend_ms;              /* without progress for so long, what is under way is sent again */
	bool probing; /* next_index is a guess: no entries go out before the member agrees */
};

/* What is known of a member's part in elections. Owned by raft_election.c. */
struct raft_member_vote {
	bool granted;           /* its vote, or pre-vote, for our current candidacy */
	bool denied_leadership; /* has answered since our restart that it does not lead */
	uint64_t last_index;    /* newest entry that it last requested votes with, */
	uint64_t last_term;     /* and that entry's term */
};

/* Leader: a member's planned stop. Owned by raft_drain.c. */
struct raft_member_drain {
	bool requested;          /* it is to stop, and is not counted where the others suffice */
	uint64_t required_index; /* newest entry when it announced its stop: all others must have synced it
			   before it is released */
	uint64_t release_round;  /* newest heartbeat round that carried its release; 0: none */
};

/* One member of the group. */
struct raft_member {
	uint64_t id;
	uint64_t addr;
	uint64_t zone;              /* hash of the zone's name; 0 while unknown */
	int voter;                  /* 0: a learner, which receives the log and has no vote */
	int64_t last_message_at_ms; /* of any kind */
	struct raft_progress progress;
	struct raft_snapshot_transfer transfer;
	struct raft_member_vote vote;
	struct raft_member_drain drain;
};

/* Whether a member that is to stop may do so. */
enum raft_release {
	RAFT_NOT_RELEASED,
	RAFT_RELEASED_AFTER_ELECTION, /* once its successor has had time to be elected */
	RAFT_RELEASED
};

/* A sync that has been requested and not yet reported as done. */
struct raft_pending_sync {
	uint64_t seq;        /* as in the CMD_PERSIST that requested it */
	uint64_t last_index; /* newest entry on the disk once it is done */
	int64_t started_at_ms;
};

/* The replicated log. Indices are dense: entries[0] is entry base_index + 1. Owned by raft_log.c; the commit
 * index is advanced by raft_replication.c. Always: base_index <= applied_index <= commit_index <= the last
 * index. */
struct raft_log {
	struct raft_entry *entries; /* stb_ds */
	uint64_t base_index;        /* everything up to it has been dropped in favour of a snapshot */
	uint64_t base_term;         /* of the entry at base_index */
	uint64_t commit_index;      /* newest committed entry that is known here */
	uint64_t applied_index;     /* newest entry handed to the state machine */
	uint64_t matched_index;     /* member: up to here the log is known to be the leader's */
	uint64_t term_start_index;  /* leader: its first entry in its term */
	size_t applied_bytes;       /* of entries applied since the newest snapshot */
};

/* What has been stored, and what still has to be. Owned by raft_disk.c. */
struct raft_disk {
	bool dirty;                  /* the next raft_flush writes: term and vote at least */
	uint64_t dirty_from_index;   /* entries from this index on are written too; 0: none */
	uint64_t truncate_from;      /* stored entries from this index on are dropped first; 0: none */
	uint64_t requested_seq;      /* of the newest sync that was requested */
	uint64_t synced_seq;         /* of the newest sync that was reported as done */
	uint64_t synced_index;       /* newest entry that is on the disk */
	uint64_t self_vote_sync_seq; /* candidate: the sync after which its own vote counts; 0: it has not
				   voted for itself */
	struct raft_pending_sync *pending_syncs; /* stb_ds, oldest first */
	struct {
		bool active;
		uint64_t sync_seq; /* the vote is sent once this sync is done */
		uint64_t candidate_addr;
		uint64_t term;
	} pending_vote;
};

/* Snapshots held in memory. Owned by raft_snapshot.c. */
struct raft_snapshots {
	struct raft_stored_snapshot newest;
	struct raft_stored_snapshot previous; /* leader: kept only while a member is still receiving it */
	struct raft_incoming *incoming;       /* member: being received; NULL: none */
	bool dirty;                           /* the newest one has not been written yet */
	bool drop_tail; /* the next one keeps no entries behind it, nor their traces on the disk */
	bool to_load;   /* the caller must load the newest one before it applies entries */
};

/* The members in force, committed or not. Owned by raft_members.c. */
struct raft_group {
	struct raft_member members[RAFT_MAX_MEMBERS];
	int member_count;
	uint64_t members_index;                   /* of the log entry, or snapshot, that names them */
	int replicas;                             /* how many voters are wanted */
	int64_t member_lost_ms;                   /* silent for so long, a member counts as lost */
	uint64_t fenced_ids[RAFT_MAX_FENCED_IDS]; /* identities of older epochs, which the group does not take
						     back */
	int fenced_count;
};

/* Election timer and vote barrier. Owned by raft_election.c. */
struct raft_election {
	int64_t timeout_at_ms;         /* no leader by then: request votes */
	int64_t vote_barrier_until_ms; /* no vote is granted before: an earlier leader's lease may stand */
	bool vote_barrier_unknown;     /* the barrier may protect a lease from before our restart */
	int64_t next_probe_at_ms;      /* next probe by which that is found out */
	uint64_t
	    incarnation; /* of this process, chosen at random; tells answers to our probes from older ones */
	uint64_t stepped_down_term;   /* newest term whose leader has announced that it stepped down */
	uint64_t elections_won_count; /* elections won, for metrics */
};

/* Leader: its lease and the heartbeat rounds by which a majority renews it. Owned by raft_replication.c. */
struct raft_lease {
	int64_t expires_at_ms;             /* 0: none */
	int64_t last_heartbeat_at_ms;      /* last heartbeat round */
	int64_t quorum_wait_started_at_ms; /* last moment at which the lease stood, or votes were requested */
	uint64_t heartbeat_round; /* the current one; of a member: the newest one that it has answered */
	int64_t heartbeat_sent_at_ms[RAFT_HEARTBEAT_ROUND_HISTORY]; /* of round r at r modulo
								       RAFT_HEARTBEAT_ROUND_HISTORY */
};

/* This member's own planned stop, and the leader's count of those who stay. Owned by raft_drain.c and
 * raft_transfer.c. */
struct raft_drain {
	bool requested;            /* it requests no votes and takes no proposals */
	enum raft_release release; /* whether it may stop */
	uint64_t release_round;    /* newest heartbeat round that carried the answer */
	int64_t deadline_at_ms;    /* leader: it steps down at the latest; afterwards: its successor has been
				      elected */
	bool has_remaining_majority; /* leader: voters that answer and do not stop are a majority by
					themselves */
};

/* One replica of one shard's state machine. Zeroed, then set up by raft_open; released by raft_close. Callers
 * read it and change only group.replicas, group.member_lost_ms, snapshots.to_load and snapshots.drop_tail. */
struct raft {
	uint32_t shard;
	uint64_t id;           /* of this member */
	uint64_t random_state; /* seeded by raft_open: time-outs are drawn from it */
	uint64_t term;
	uint64_t vote; /* identity voted for in this term; 0: none */
	enum raft_role role;
	uint64_t leader_id; /* 0: not known */
	uint64_t leader_addr;
	bool fenced;  /* this copy is of an older epoch: it takes no part any more */
	bool removed; /* a leader has answered that this one is no longer a member */
	struct raft_log log;
	struct raft_disk disk;
	struct raft_snapshots snapshots;
	struct raft_group group;
	struct raft_election election;
	struct raft_lease lease;
	struct raft_drain drain;
};

/* What the disk holds when a replica is opened; the buffers stay the caller's. */
struct raft_saved {
	uint64_t term;
	uint64_t vote;
	uint64_t snapshot_index; /* the snapshot stands for all entries up to it; 0: there is none */
	uint64_t snapshot_term;
	const uint8_t *members; /* packed, of the snapshot */
	const uint8_t *data;    /* packed state */
	size_t members_len;
	size_t data_len;
	uint64_t first_index; /* of entries[0] */
	struct raft_entry *entries;
	size_t entry_count;
};

/* Why a message was dropped: no member that keeps to the protocol can have sent it. */
enum raft_fault {
	RAFT_FAULT_NONE,
	RAFT_FAULT_TERM,          /* a term or index that no fleet reaches, or that contradicts itself */
	RAFT_FAULT_OWN_MESSAGE,   /* sent under our own identity */
	RAFT_FAULT_SECOND_LEADER, /* of one term */
	RAFT_FAULT_TOO_MANY_ENTRIES,
	RAFT_FAULT_ENTRY_TERM,
	RAFT_FAULT_ENTRY_KIND,
	RAFT_FAULT_MEMBERS,          /* a list of members that no group can have */
	RAFT_FAULT_ACKNOWLEDGEMENT,  /* of entries that do not exist */
	RAFT_FAULT_ROUND,            /* an answer to a heartbeat that was not sent */
	RAFT_FAULT_FUTURE_STEP_DOWN, /* of a leader of a term to come */
	RAFT_FAULT_NO_DIGEST,
	RAFT_FAULT_SNAPSHOT_SIZE,
	RAFT_FAULT_CHUNK_RANGE /* a chunk outside its snapshot */
};

/* The fault in words, for logs. Example: raft_fault_strerror(RAFT_FAULT_MEMBERS) */
const char *raft_fault_strerror(enum raft_fault fault);

/* Begin from what the disk holds; saved may be NULL for an empty disk. Copies what it needs of it. seed: of
 * the random time-outs. Example: raft_open(&raft, 0, my_id, seed, NULL, now); */
void raft_open(struct raft *raft, uint32_t shard, uint64_t id, uint64_t seed, const struct raft_saved *saved,
	       int64_t now);

/* Free all memory. Example: raft_close(&raft); */
void raft_close(struct raft *raft);

/* Make these the members of an empty replica with an empty log; one that holds anything is left as it is.
 * Example: raft_bootstrap(&raft, members, 3, now); */
void raft_bootstrap(struct raft *raft, const struct raft_member *members, int count, int64_t now);

/* Let time pass: heartbeats, lease, elections. Call at least every RAFT_PROBE_INTERVAL_MS. Example:
 * raft_tick(&raft, now, out); */
void raft_tick(struct raft *raft, int64_t now, struct command_list *out);

/* Handle a message of another member. A message with a fault is dropped and changes nothing.
 * Example: fault = raft_receive(&raft, message, now, out); */
enum raft_fault raft_receive(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			     struct command_list *out);

/* The disk has synced all up to seq, as in CMD_PERSIST. Example: raft_synced(&raft, seq, now, out); */
void raft_synced(struct raft *raft, uint64_t seq, int64_t now, struct command_list *out);

/* The leader logs an operation, which is copied; its index, or 0 without a lease or while it drains.
 * Example: if (!(index = raft_propose(&raft, data, size, now))) not_leader(); */
uint64_t raft_propose(struct raft *raft, const uint8_t *data, size_t size, int64_t now);

/* Send entries and request syncs of what has changed; call once at the end of each step.
 * Example: raft_flush(&raft, now, out); */
void raft_flush(struct raft *raft, int64_t now, struct command_list *out);

/* Next committed operation for the state machine, or NULL. It stays valid until the next call that changes
 * the replica. While snapshots.to_load is set there is none: load the snapshot, then clear the flag. Example:
 * while ((entry = raft_next_committed(&raft, &index))) apply(index, entry); */
const struct raft_entry *raft_next_committed(struct raft *raft, uint64_t *index);

/* Whether this node leads with a lease and knows all that was committed before its term.
 * Example: if (raft_has_lease(&raft, now)) answer(); */
bool raft_has_lease(const struct raft *raft, int64_t now);

/* Whether the log has grown enough for a snapshot. Example: if (raft_needs_snapshot(&raft))
 * raft_snapshot(&raft, data, size); */
bool raft_needs_snapshot(const struct raft *raft);

/* Take over a snapshot of the state machine as of the applied index; data is copied, and the log behind it is
 * shortened. */
void raft_snapshot(struct raft *raft, const uint8_t *data, size_t size);

/* Leader: step down before the process ends, so that a successor need not wait. Followers are left as they
 * are. Example: raft_step_down(&raft, now, out); */
void raft_step_down(struct raft *raft, int64_t now, struct command_list *out);

/* Leader: change the group by one step: add, promote, readdress or remove one member, towards group.replicas
 * of them spread over zones. live: controllers known to the fleet, with their zones. Example:
 * raft_reconfigure(&raft, live, live_count, now); */
void raft_reconfigure(struct raft *raft, const struct raft_member *live, int live_count, int64_t now);

/* This member is to stop: a leader hands over, and no votes are requested from now on. Example:
 * raft_drain(&raft, now); */
void raft_drain(struct raft *raft, int64_t now);

/* Whether a draining member may stop: it does not lead, and its copy is no longer needed.
 * Example: if (raft_may_stop(&raft, now)) exit(0); */
bool raft_may_stop(const struct raft *raft, int64_t now);

/* ---- recovery from a lost majority ---- */

/* Whether a group can be recovered from this copy, or why not. */
enum raft_recovery {
	RAFT_RECOVERY_POSSIBLE,
	RAFT_RECOVERY_NO_VOTER,         /* this member has no vote, or its copy is of an older epoch */
	RAFT_RECOVERY_HAS_LEADER,       /* or may have one, as long as our vote barrier stands */
	RAFT_RECOVERY_MAJORITY_REMAINS, /* without those that are named as lost */
	RAFT_RECOVERY_MEMBER_ANSWERS,   /* one that is named as lost has sent a message lately */
	RAFT_RECOVERY_OTHER_IS_NEWER    /* one that is not named as lost holds a newer log */
};

/* The epoch of a term: how often the group was recovered before it. Example: raft_epoch(entry->term) */
uint64_t raft_epoch(uint64_t term);

/* Whether the group may go on with this copy alone, given the members that an operator names as lost for
 * good. Example: if (raft_can_recover(&raft, lost, 2, now) != RAFT_RECOVERY_POSSIBLE) refuse(); */
enum raft_recovery raft_can_recover(const struct raft *raft, const uint64_t *lost, int count, int64_t now);

/* Go on with this copy alone in a new epoch, if that is possible. Entries that are held here but were never
 * committed become so; entries that only the lost members held are lost. Example: verdict =
 * raft_recover(&raft, lost, 2, now); */
enum raft_recovery raft_recover(struct raft *raft, const uint64_t *lost, int count, int64_t now);

/* The verdict in words, as in the answer to an operator. Example:
 * raft_recovery_strerror(RAFT_RECOVERY_HAS_LEADER) */
const char *raft_recovery_strerror(enum raft_recovery verdict);

#endif
