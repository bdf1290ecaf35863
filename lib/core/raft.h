/* raft: one replicated state machine, which holds one shard of the control state: log, elections, leader
 * lease, snapshots and membership. It implements Raft (Ongaro and Ousterhout, 2014) with pre-votes, leader
 * leases and single-member changes; docs/consistency.md states the guarantees and the reasons for them. The
 * module is pure: it takes events and returns commands, and uses no socket, file or clock. A leader may act
 * on the state, or answer from it, only while raft_has_lease is true. All times are milliseconds of the
 * process's own monotonic clock. */
#ifndef NL_RAFT_H
#define NL_RAFT_H

#include <stdbool.h>

#include "core.h"

/* The role of a member in its current term. */
enum raft_role { RAFT_FOLLOWER, RAFT_PRE_CANDIDATE, RAFT_CANDIDATE, RAFT_LEADER };

/* Lease, elections, heartbeats. */
enum {
	/* vote barrier: after a message from its leader a member grants no vote for this time */
	RAFT_LEASE_MS = 600,
	/* the leader's lease expires this much before the vote barriers that protect it */
	RAFT_LEASE_MARGIN_MS = 150,
	/* interval between heartbeat rounds */
	RAFT_HEARTBEAT_INTERVAL_MS = 150,
	/* election timeout; a random time of up to half of it is added */
	RAFT_ELECTION_TIMEOUT_MS = 700,
	/* a candidate without a majority starts another election after this; a random time of up to the same
	 * length is added */
	RAFT_ELECTION_RETRY_MS = 300,
	/* interval at which a restarted member probes the others for a leader */
	RAFT_PROBE_INTERVAL_MS = 50,
	/* after a restart of all members, the interval between the elections that successive members start */
	RAFT_ELECTION_STAGGER_MS = 50,
	/* a leader steps down when one of its own syncs takes longer */
	RAFT_SYNC_STALL_MS = 600,
	/* number of newest heartbeat rounds whose sending times are kept */
	RAFT_HEARTBEAT_ROUND_HISTORY = 64
};

/* Membership and epochs. */
enum {
	/* a group is bootstrapped with this many voters; it has one fewer only while a learner is prepared to
	 * replace a lost voter */
	RAFT_MIN_VOTERS = 3,
	/* default of group.member_lost_ms: a member that sends no reply for this time is replaced */
	RAFT_MEMBER_LOST_MS = 6000,
	RAFT_MAX_MEMBERS = 8,
	/* capacity of the list of fenced identities */
	RAFT_MAX_FENCED_IDS = 24,
	/* position of the epoch in a term, in bits */
	RAFT_EPOCH_SHIFT = 26,
	/* recovery: a member may be named as lost once it has sent no message for this time */
	RAFT_RECOVERY_SILENCE_MS = 3000
};

/* Log and snapshots. */
enum {
	/* log entries that are kept although the newest snapshot covers them, for members that lag */
	RAFT_LOG_TAIL_ENTRIES = 256,
	/* upper bound of the size of these kept entries */
	RAFT_LOG_TAIL_BYTES = 8 << 20,
	/* a snapshot is taken after this many entries have been applied since the last one */
	RAFT_SNAPSHOT_ENTRIES = 2048,
	/* a snapshot is also taken after this many bytes of entries, or after as many bytes as the last
	 * snapshot has if that is larger */
	RAFT_SNAPSHOT_LOG_BYTES = 8 << 20,
	/* a larger snapshot is not accepted from a leader */
	RAFT_SNAPSHOT_MAX_BYTES = 64 << 20
};

/* Flow control between the leader and one member. */
enum {
	/* entries in flight to a member; one entry may always be in flight, whatever its size */
	RAFT_APPEND_WINDOW_BYTES = 1 << 20,
	/* entries in one append message */
	RAFT_APPEND_MAX_ENTRIES = 512,
	/* data in flight is sent again after this time without an acknowledgement; the time doubles with each
	 * resend */
	RAFT_RESEND_INITIAL_MS = 300,
	/* upper bound of the doubled resend time */
	RAFT_RESEND_MAX_MS = 4800,
	/* slowest link that is provided for: the resend time is extended by the time that a link of this
	 * speed needs to carry the data in flight */
	RAFT_RESEND_BYTES_PER_MS = 5000,
	/* snapshot data in one message */
	RAFT_SNAPSHOT_CHUNK_BYTES = 64 << 10,
	/* snapshot chunks in flight to a member */
	RAFT_SNAPSHOT_WINDOW_CHUNKS = 8,
	/* a snapshot transfer that gets no reply for this time is started again, with the newest snapshot */
	RAFT_TRANSFER_IDLE_MS = 10000
};

enum { RAFT_DIGEST_BYTES = 32 }; /* SHA-256 */

/* Kinds of log entries, as they are stored and sent. */
enum { RAFT_ENTRY_NOOP = 0, RAFT_ENTRY_MEMBERS = 1, RAFT_ENTRY_OPERATION = 2 };

/* One log entry. data is owned by the log, and its buffer is one byte longer than len. */
struct raft_entry {
	uint64_t term;
	uint32_t kind;
	size_t len;
	uint8_t *data;
};

/* Leader: the snapshot transfer to one member. Owned by raft_snapshot_send.c. */
struct raft_snapshot_transfer {
	uint64_t snapshot_index;     /* index of the snapshot; 0: no transfer is active */
	uint64_t acked_bytes;        /* bytes that the member has acknowledged */
	uint64_t sent_bytes;         /* bytes that have been sent, acknowledged or not */
	bool has_reply;              /* the member has replied, so a full window may be in flight */
	int64_t last_reply_at_ms;    /* last reply to a chunk, or the start of the transfer */
	int64_t last_progress_at_ms; /* last increase of acked_bytes, or last resend */
	int64_t resend_after_ms;     /* data in flight is sent again after this time without progress */
	int64_t resume_at_ms;        /* back-off after a wrong digest: no chunk is sent before this time */
	int64_t rewound_at_ms;       /* last time at which the transfer was set back to a smaller offset */
};

/* A snapshot in memory: the packed state, and the packed list of the members that were in force at its index.
 * It owns both buffers, which are allocated on the heap. */
struct raft_stored_snapshot {
	uint64_t index; /* newest log entry that the snapshot covers; 0: there is no snapshot */
	uint64_t term;  /* term of that entry */
	uint8_t *state; /* packed state */
	uint8_t *members;
	size_t state_len;
	size_t members_len;
	uint8_t digest[RAFT_DIGEST_BYTES]; /* SHA-256, computed when the snapshot is first sent */
	bool has_digest;
};

/* Member: a partly received snapshot (raft_snapshot_receive.c). */
struct raft_incoming;

/* Leader: replication of the log to one member. Reset at the beginning of each term. Owned by
 * raft_replication.c. */
struct raft_progress {
	uint64_t next_index;            /* index of the next entry to send */
	uint64_t match_index;           /* newest entry that the member has synced and that matches our log */
	uint64_t unacked_index;         /* entries from this index up to next_index - 1 are in flight */
	uint64_t acked_heartbeat_round; /* newest heartbeat round that the member has answered */
	int64_t last_reply_at_ms;       /* last reply to an append or to a snapshot chunk */
	int64_t last_progress_at_ms;    /* last entry acknowledged, or last resend */
	int64_t resend_after_ms; /* entries in flight are sent again after this time without progress */
	bool is_probing; /* next_index is a guess: no entries are sent until the member has confirmed it */
};

/* Election state of one member. Owned by raft_election.c. */
struct raft_member_vote {
	bool granted;            /* the member has granted its vote, or pre-vote, for our current candidacy */
	bool denied_leadership;  /* the member has replied, since our restart, that it is not the leader */
	uint64_t last_log_index; /* newest log entry of the member, from its last vote request */
	uint64_t last_log_term;  /* term of that entry */
};

/* Leader: the planned stop of one member. Owned by raft_drain.c. */
struct raft_member_drain {
	bool requested; /* the member drains; its copy does not count towards commits where the other voters
			   suffice */
	uint64_t required_index; /* all other voters must have synced the log up to this index before the
				    member is released */
	uint64_t release_round;  /* newest heartbeat round that notified the member of its release; 0: none */
};

/* One member of the group. */
struct raft_member {
	uint64_t id;
	uint64_t addr;
	uint64_t zone;              /* hash of the name of its zone; 0 while the zone is unknown */
	int voter;                  /* 0: a learner, which receives the log and has no vote */
	int64_t last_message_at_ms; /* last message of any kind from the member */
	struct raft_progress progress;
	struct raft_snapshot_transfer transfer;
	struct raft_member_vote vote;
	struct raft_member_drain drain;
};

/* Whether a draining member may stop. */
enum raft_release {
	RAFT_NOT_RELEASED,
	RAFT_RELEASED_AFTER_ELECTION, /* a former leader may stop after its successor has had time to be
					 elected */
	RAFT_RELEASED
};

/* A sync that has been requested and is not yet reported as done. */
struct raft_pending_sync {
	uint64_t seq;        /* seq of the CMD_PERSIST that requested it */
	uint64_t last_index; /* newest entry that is on the disk once this sync is done */
	int64_t started_at_ms;
};

/* The replicated log. Indices are dense: entries[0] has the index base_index + 1. Owned by raft_log.c; the
 * commit index is advanced by raft_replication.c. Invariant: base_index <= applied_index <= commit_index <=
 * the last index. */
struct raft_log {
	struct raft_entry *entries; /* stb_ds */
	uint64_t base_index;        /* entries up to this index have been dropped; a snapshot covers them */
	uint64_t base_term;         /* term of the entry at base_index */
	uint64_t commit_index;      /* newest entry that this member knows to be committed */
	uint64_t applied_index;     /* newest entry that has been handed to the state machine */
	uint64_t matched_index;     /* member: the log is known to match the leader's up to this index */
	uint64_t term_start_index;  /* leader: its first entry in its term */
	size_t applied_bytes;       /* size of the entries applied since the newest snapshot */
};

/* The replica's state on disk, and the changes that have yet to be written. Owned by raft_disk.c. */
struct raft_disk {
	bool dirty;                  /* the next raft_flush writes at least the term and the vote */
	uint64_t dirty_from_index;   /* entries from this index on are written too; 0: none */
	uint64_t truncate_from;      /* stored entries from this index on are deleted first; 0: none */
	uint64_t requested_sync_seq; /* seq of the newest sync that has been requested */
	uint64_t completed_sync_seq; /* seq of the newest sync that has been reported as done */
	uint64_t synced_index;       /* newest entry that is on the disk */
	uint64_t self_vote_sync_seq; /* candidate: its vote for itself counts after this sync; 0: it has not
					voted for itself */
	struct raft_pending_sync *pending_syncs; /* stb_ds, oldest first */
	struct {
		bool active;
		uint64_t sync_seq; /* the vote is sent once this sync is done */
		uint64_t candidate_addr;
		uint64_t term;
	} pending_vote;
};

/* The snapshots in memory. Owned by raft_snapshot.c. */
struct raft_snapshots {
	struct raft_stored_snapshot newest;
	struct raft_stored_snapshot previous; /* leader: kept only while a member is still receiving it */
	struct raft_incoming *incoming;       /* member: a partly received snapshot; NULL: none */
	bool newest_is_dirty;                 /* the newest snapshot has not been written to the disk yet */
	bool drop_log_tail; /* the next snapshot keeps none of the entries that it covers, and the space that
			   they took on the disk is overwritten */
	bool must_load_newest; /* the caller must load the newest snapshot before it applies entries */
};

/* The members in force: those of the newest members entry, committed or not. Owned by raft_members.c. */
struct raft_group {
	struct raft_member members[RAFT_MAX_MEMBERS];
	int member_count;
	uint64_t members_index; /* index of the log entry, or snapshot, that holds this list of members */
	int target_voters;      /* target number of voters */
	int64_t member_lost_ms; /* a member that sends no reply for this time counts as lost */
	/* identities of older epochs, which the group does not admit again */
	uint64_t fenced_ids[RAFT_MAX_FENCED_IDS];
	int fenced_count;
};

/* Election timer and vote barrier. Owned by raft_election.c. */
struct raft_election {
	int64_t timeout_at_ms;         /* an election starts at this time unless a leader sends a message */
	int64_t vote_barrier_until_ms; /* no vote is granted before this time: an earlier leader's lease may
					  still be valid */
	bool is_probing_for_leader;    /* the barrier was set by a restart and may protect a lease from before
					 it;    probes are sent to find out */
	int64_t next_probe_at_ms;      /* time of the next such probe */
	uint64_t incarnation; /* identifies this run of the process, chosen at random; replies to probes of an
				 earlier run are recognised by it */
	uint64_t stepped_down_term;   /* newest term whose leader has announced that it stepped down */
	uint64_t elections_won_count; /* for metrics */
};

/* Leader: its lease, and the heartbeat rounds that renew it. Owned by raft_replication.c. */
struct raft_lease {
	int64_t expires_at_ms;             /* 0: there is no lease */
	int64_t last_heartbeat_at_ms;      /* when the current heartbeat round was sent */
	int64_t quorum_wait_started_at_ms; /* last time at which the lease was valid, or votes were requested;
					      a leader that has had no lease since then waits for a quorum */
	uint64_t heartbeat_round; /* leader: the current one; member: the newest that it has answered */
	/* sending time of round r, at the position r modulo RAFT_HEARTBEAT_ROUND_HISTORY */
	int64_t heartbeat_sent_at_ms[RAFT_HEARTBEAT_ROUND_HISTORY];
};

/* The planned stop of this member, and whether, as the leader counts, the group has a majority without the
 * draining voters. Owned by raft_drain.c and raft_transfer.c. */
struct raft_drain {
	bool requested;            /* this member drains: it starts no elections and accepts no proposals */
	enum raft_release release; /* whether this member may stop */
	uint64_t release_round;    /* heartbeat round of the newest message that set release */
	/* leader: it steps down at this time at the latest; after that: its successor has been elected by
	 * this time */
	int64_t deadline_at_ms;
	/* leader: the voters that are responsive and do not drain are a majority by themselves */
	bool has_remaining_majority;
};

/* One replica of one shard's state machine. Zero it, then set it up with raft_open; raft_close frees its
 * memory. Callers may read all of it, and may change only group.replicas, group.member_lost_ms,
 * snapshots.must_load_newest and snapshots.drop_log_tail. */
struct raft {
	uint32_t shard;
	uint64_t id;           /* identity of this member */
	uint64_t random_state; /* random generator of the time-outs, seeded by raft_open */
	uint64_t term;
	uint64_t voted_for; /* identity voted for in this term; 0: none */
	enum raft_role role;
	uint64_t leader_id; /* 0: the leader is not known */
	uint64_t leader_addr;
	bool fenced;  /* this copy is of an older epoch, so the member takes no part in the group */
	bool removed; /* a leader has replied that this replica is no longer a member */
	struct raft_log log;
	struct raft_disk disk;
	struct raft_snapshots snapshots;
	struct raft_group group;
	struct raft_election election;
	struct raft_lease lease;
	struct raft_drain drain;
};

/* The stored state with which a replica is opened. The caller keeps ownership of the buffers. */
struct raft_saved {
	uint64_t term;
	uint64_t voted_for;
	uint64_t snapshot_index; /* newest log entry that the snapshot covers; 0: there is no snapshot */
	uint64_t snapshot_term;
	const uint8_t *members; /* packed members in force at snapshot_index */
	const uint8_t *state;   /* packed state */
	size_t members_len;
	size_t state_len;
	uint64_t first_index; /* index of entries[0] */
	struct raft_entry *entries;
	size_t entry_count;
};

/* Why a message was dropped: a member that keeps to the protocol cannot have sent it. */
enum raft_fault {
	RAFT_FAULT_NONE,
	RAFT_FAULT_TERM_OR_INDEX, /* a term, index or offset is implausibly large, or contradicts another one
				   */
	RAFT_FAULT_OWN_MESSAGE,   /* the sender uses our own identity */
	RAFT_FAULT_SECOND_LEADER, /* the term already has another leader */
	RAFT_FAULT_TOO_MANY_ENTRIES,
	RAFT_FAULT_ENTRY_TERM, /* an entry's term is lower than the one before, or higher than the leader's */
	RAFT_FAULT_ENTRY_KIND, /* an entry is of an unknown kind */
	RAFT_FAULT_INVALID_MEMBERS,  /* a list of members is invalid */
	RAFT_FAULT_ACKNOWLEDGEMENT,  /* acknowledges log entries that do not exist */
	RAFT_FAULT_ROUND,            /* replies to a heartbeat round that was not sent */
	RAFT_FAULT_FUTURE_STEP_DOWN, /* reports a step-down in a term that has not begun */
	RAFT_FAULT_NO_DIGEST,
	RAFT_FAULT_SNAPSHOT_SIZE, /* the sizes of a snapshot contradict each other, or exceed the limit */
	RAFT_FAULT_CHUNK_RANGE    /* a chunk is empty, or is not inside its snapshot */
};

/* Describes a fault for logs. Example: raft_fault_strerror(RAFT_FAULT_INVALID_MEMBERS) */
const char *raft_fault_strerror(enum raft_fault fault);

/* Set up a replica from its stored state, of which it makes copies; saved is NULL for an empty disk. seed
 * seeds the random time-outs. Example: raft_open(&raft, 0, my_id, seed, NULL, now); */
void raft_open(struct raft *raft, uint32_t shard, uint64_t id, uint64_t seed, const struct raft_saved *saved,
	       int64_t now);

/* Free all memory of a replica. Example: raft_close(&raft); */
void raft_close(struct raft *raft);

/* Set the founding members of an empty replica. A replica that already has a log, a term or members is left
 * unchanged. Example: raft_bootstrap(&raft, members, 3, now); */
void raft_bootstrap(struct raft *raft, const struct raft_member *members, int count, int64_t now);

/* Do what has become due: heartbeats, expiry of the lease, elections. Call this at least every
 * RAFT_PROBE_INTERVAL_MS. Example: raft_tick(&raft, now, out); */
void raft_tick(struct raft *raft, int64_t now, struct command_list *out);

/* Handle a message from another member. A message with a fault is dropped and changes nothing.
 * Example: fault = raft_receive(&raft, message, now, out); */
enum raft_fault raft_receive(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			     struct command_list *out);

/* Handle the report that all syncs up to seq (of CMD_PERSIST) are done.
 * Example: raft_synced(&raft, seq, now, out); */
void raft_synced(struct raft *raft, uint64_t seq, int64_t now, struct command_list *out);

/* Leader: append an operation to the log; data is copied. Returns the index of its entry, or 0 when this
 * member has no lease or is draining.
 * Example: if (!(index = raft_propose(&raft, data, size, now))) not_leader(); */
uint64_t raft_propose(struct raft *raft, const uint8_t *data, size_t size, int64_t now);

/* Send new entries, and request a sync of all changes. Call this once at the end of each step.
 * Example: raft_flush(&raft, now, out); */
void raft_flush(struct raft *raft, int64_t now, struct command_list *out);

/* Returns the next committed operation for the state machine, or NULL. It is valid until the next call that
 * changes the replica. NULL is returned as long as snapshots.must_load_newest is set: load the snapshot, then
 * clear the flag. Example: while ((entry = raft_next_committed(&raft, &index))) apply(index, entry); */
const struct raft_entry *raft_next_committed(struct raft *raft, uint64_t *index);

/* Whether this member is the leader, holds a lease, and knows all entries that were committed before its
 * term. Example: if (raft_has_lease(&raft, now)) answer(); */
bool raft_has_lease(const struct raft *raft, int64_t now);

/* Whether the log has grown enough for a new snapshot.
 * Example: if (raft_needs_snapshot(&raft)) raft_take_snapshot(&raft, data, size); */
bool raft_needs_snapshot(const struct raft *raft);

/* Store a snapshot of the state machine at the applied index, and drop log entries that it covers. data is
 * copied. */
void raft_take_snapshot(struct raft *raft, const uint8_t *data, size_t size);

/* Leader: step down before the process ends, so that a successor need not wait for the election timeout. On
 * other members this does nothing. Example: raft_step_down(&raft, now, out); */
void raft_step_down(struct raft *raft, int64_t now, struct command_list *out);

/* Leader: start at most one change of membership: add, promote or remove one member, or change its address.
 * The target is group.target_voters voters, spread over the zones. controllers: the controllers that the
 * fleet knows, with their zones. Example: raft_reconfigure(&raft, controllers, controller_count, now); */
void raft_reconfigure(struct raft *raft, const struct raft_member *controllers, int controller_count,
		      int64_t now);

/* Begin the planned stop of this member: a leader hands over its leadership, and the member starts no
 * elections from now on. Example: raft_drain(&raft, now); */
void raft_drain(struct raft *raft, int64_t now);

/* Whether this draining member may stop: it is not the leader, and its copy is no longer needed.
 * Example: if (raft_may_stop(&raft, now)) exit(0); */
bool raft_may_stop(const struct raft *raft, int64_t now);

/* ---- recovery from a lost majority ---- */

/* Whether a group can be recovered from this copy, or why not. */
enum raft_recovery {
	RAFT_RECOVERY_POSSIBLE,
	RAFT_RECOVERY_NO_VOTER,   /* this member has no vote, or its copy is of an older epoch */
	RAFT_RECOVERY_HAS_LEADER, /* the group has a leader, or may have one until our vote barrier ends */
	RAFT_RECOVERY_MAJORITY_REMAINS,   /* the members that are not named as lost are a majority */
	RAFT_RECOVERY_LOST_MEMBER_ACTIVE, /* a member that is named as lost has sent a message recently */
	RAFT_RECOVERY_NEWER_LOG_EXISTS    /* a member that is not named as lost holds a newer log */
};

/* The epoch of a term: the number of recoveries of the group before that term.
 * Example: raft_epoch(entry->term) */
uint64_t raft_epoch(uint64_t term);

/* Whether the group may continue with this copy alone, given the members that an operator names as
 * permanently lost. Example: if (raft_can_recover(&raft, lost, 2, now) != RAFT_RECOVERY_POSSIBLE) no(); */
enum raft_recovery raft_can_recover(const struct raft *raft, const uint64_t *lost, int count, int64_t now);

/* Continue the group with this copy alone, in a new epoch, if raft_can_recover allows it. Entries of this
 * copy that were never committed become committed; entries that only the lost members held are lost. Example:
 * verdict = raft_recover(&raft, lost, 2, now); */
enum raft_recovery raft_recover(struct raft *raft, const uint64_t *lost, int count, int64_t now);

/* Describes a verdict, for the answer to an operator.
 * Example: raft_recovery_strerror(RAFT_RECOVERY_HAS_LEADER) */
const char *raft_recovery_strerror(enum raft_recovery verdict);

#endif
