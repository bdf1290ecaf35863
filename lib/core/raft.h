/* raft: one replicated state machine (a shard of the control state): log, elections, leader lease, snapshots,
 * membership. Pure: events in, commands out. The leader may act or answer only while raft_has_lease says so.
 * All times are milliseconds of the process's own monotonic clock. */
#ifndef NL_RAFT_H
#define NL_RAFT_H

#include "core.h"

enum raft_role { RAFT_FOLLOWER, RAFT_PRE_CANDIDATE, RAFT_CANDIDATE, RAFT_LEADER };

enum {
	RAFT_LEASE_MS = 600,        /* a member that heard its leader votes for no other for so long */
	RAFT_LEASE_MARGIN_MS = 150, /* the leader stops this much before its lease ends */
	RAFT_HEARTBEAT_MS = 150,    /* between heartbeat rounds */
	RAFT_ELECTION_MS = 700,     /* election timeout, plus up to half again */
	RAFT_ELECTION_RETRY_MS =
	    300,            /* a candidate without a majority asks again after this, plus up to as much */
	RAFT_PROBE_MS = 50, /* between lease recovery probes of a restarted member */
	RAFT_ELECTION_STAGGER_MS = 50, /* no leader: members ask for votes so long after one another */
	RAFT_SYNC_STALL_MS = 600,      /* a leader whose own sync takes longer steps down */
	RAFT_MIN_VOTERS =
	    3, /* bootstrapped with these; one fewer only while a learner takes a lost one's place */
	RAFT_MEMBER_LOST_MS =
	    6000, /* a silent member is replaced after this, unless the group is told another bound */
	RAFT_MAX_MEMBERS = 8,
	RAFT_MAX_FENCED = 24,          /* identities of older epochs that are remembered */
	RAFT_EPOCH_SHIFT = 26,         /* of the epoch in a term */
	RAFT_ABSENT_MS = 3000,         /* a member unheard of for so long may be named as lost */
	RAFT_LOG_TAIL = 256,           /* entries kept behind a snapshot, */
	RAFT_LOG_TAIL_BYTES = 8 << 20, /* as far as they hold no more */
	RAFT_SNAPSHOT_ENTRIES = 2048,  /* entries before the next snapshot, */
	RAFT_SNAPSHOT_LOG_BYTES =
	    8 << 20, /* or so many bytes of them, when the last snapshot is not larger */
	RAFT_APPEND_WINDOW_BYTES = 1 << 20, /* entries under way to a member; one entry always is */
	RAFT_APPEND_MAX_ENTRIES = 512,      /* entries in one message */
	RAFT_RESEND_MS = 300, /* silence after which what is under way is sent again, doubled each time, */
	RAFT_RESEND_MAX_MS = 4800, /* up to this */
	RAFT_RESEND_BYTES_PER_MS =
	    5000,                    /* and longer for what such a link takes to carry what is under way */
	RAFT_CHUNK_BYTES = 64 << 10, /* of a snapshot in one message */
	RAFT_CHUNK_WINDOW = 8,       /* pieces under way to a member */
	RAFT_TRANSFER_IDLE_MS =
	    10000, /* a transfer without a reply for so long begins anew, with the newest snapshot */
	RAFT_SNAPSHOT_MAX_BYTES = 64 << 20 /* a larger one is not taken from a leader */
};

enum { RAFT_DIGEST_BYTES = 32 };

enum { RAFT_ENTRY_NOOP = 0, RAFT_ENTRY_MEMBERS = 1, RAFT_ENTRY_OPERATION = 2 };

struct raft_entry {
	uint64_t term;
	uint32_t kind;
	size_t len;
	uint8_t *data;
};

/* Leader: the snapshot that is on its way to a member. */
struct raft_snapshot_transfer {
	uint64_t index;                   /* of the snapshot; 0: none is under way */
	uint64_t acked_bytes, sent_bytes; /* bytes that the member says it holds, bytes sent */
	int has_reply;                    /* the member has replied: a whole window may be under way */
	int64_t last_reply_at_ms;         /* last reply, or the beginning */
	int64_t progress_at_ms;           /* last byte acknowledged, or last resend */
	int64_t resend_ms;                /* silence after which what is under way is sent again */
	int64_t resume_at_ms;             /* nothing is sent before; after a wrong digest */
	int64_t rewound_at_ms;
};

/* Leader: a snapshot before the newest that a member is still receiving. */
struct raft_old_snapshot {
	uint64_t index, term;
	uint8_t *data, *members;
	size_t data_len, members_len;
	uint8_t digest[RAFT_DIGEST_BYTES];
	int has_digest;
};

struct raft_incoming; /* member: a snapshot of which pieces have come (raft_snapshot.c) */

struct raft_member {
	uint64_t id, addr;
	uint64_t zone; /* hash of the zone's name; 0 while unknown */
	int voter;
	/* what the leader knows of it */
	uint64_t next_index, match_index, acked_round;
	uint64_t unacked_index; /* entries from here to next are under way */
	int64_t last_reply_at_ms;
	int probing;                       /* next is a guess: no entries go out before the member agrees */
	int64_t progress_at_ms, resend_ms; /* of entries under way */
	struct raft_snapshot_transfer transfer;
	int vote_granted;
	int not_leader;                 /* has said since our restart that it does not lead */
	int64_t last_message_at_ms;     /* its last message of any kind; */
	uint64_t last_index, last_term; /* the newest entry that it last asked for votes with */
	int draining;                   /* it is to stop, and is not counted where the others suffice; */
	uint64_t drain_index;           /* the newest entry when it said so */
	uint64_t release_round; /* newest heartbeat round in which it was told that it may go; 0: none */
};

/* Whether a member that is to stop may go. */
enum raft_release { RAFT_NOT_RELEASED, RAFT_RELEASED_LATER, RAFT_RELEASED };

struct raft_pending_sync {
	uint64_t seq, last_index;
	int64_t started_at_ms;
};

struct raft {
	uint32_t shard;
	uint64_t id, random_state;
	uint64_t term, vote;
	enum raft_role role;
	uint64_t leader_id, leader_addr;

	struct raft_entry *log; /* stb_ds; log[0] is entry base + 1 */
	uint64_t base_index, base_term, snapshot_index, snapshot_term;
	uint8_t *snapshot_data;
	size_t snapshot_len;
	uint8_t *snapshot_members;
	size_t snapshot_members_len;
	uint8_t snapshot_digest[RAFT_DIGEST_BYTES];
	int snapshot_has_digest;
	struct raft_old_snapshot previous;
	struct raft_incoming *incoming;
	size_t applied_bytes; /* of entries applied since the snapshot */

	struct raft_member members[RAFT_MAX_MEMBERS];
	int member_count;
	uint64_t members_index;
	int replicas;           /* members wanted */
	int64_t member_lost_ms; /* ms after which a member counts as lost */

	uint64_t commit_index, applied_index, synced_index, matched_index;
	uint64_t term_start; /* the leader's first entry in its term */

	int64_t vote_barrier_until_ms, election_at_ms, lease_expires_at_ms, heartbeat_at_ms,
	    quorum_requested_at_ms, probe_at_ms;
	int vote_barrier_unknown;   /* the barrier may protect a lease from before our restart */
	uint64_t stepped_down_term; /* newest term whose leader has told that it gave up */
	uint64_t incarnation;
	uint64_t heartbeat_round; /* leader: the current heartbeat round; member: the last one answered */
	int64_t heartbeat_sent_at_ms[64];

	int dirty, snapshot_dirty;
	int drop_tail; /* the next snapshot keeps no entries behind it, nor their traces on the disk */
	uint64_t dirty_from, truncate_from, sync_seq, synced_seq;
	struct raft_pending_sync *pending_syncs; /* stb_ds */
	struct {
		int active;
		uint64_t sync_seq, candidate_addr, term;
	} pending_vote;
	uint64_t self_vote_seq;
	int snapshot_to_load; /* the caller must load the snapshot before applying entries */
	uint64_t election_count;
	int draining; /* this member is to stop: it asks for no votes and takes no proposals */
	enum raft_release release;
	uint64_t release_round;     /* heartbeat round that told it */
	int64_t drain_deadline_ms;  /* of a leader: it steps down at the latest; then: its successor has been
				       elected */
	int has_remaining_majority; /* leader: voters that answer and do not leave are a majority by
				       themselves */
	int fenced;                 /* this copy is of an older epoch */
	uint64_t
	    fenced_ids[RAFT_MAX_FENCED]; /* identities of older epochs, which the group does not take back */
	int fenced_count;
	int removed; /* a leader has said that this member is none any more */
};

/* What came back from the disk. */
struct raft_saved {
	uint64_t term, vote;
	uint64_t snapshot_index, snapshot_term; /* the snapshot stands for all up to base */
	const uint8_t *members, *data;
	size_t members_len, data_len;
	uint64_t first_index; /* index of e[0] */
	struct raft_entry *entries;
	size_t entry_count;
};

/* Begin from what the disk holds; saved may be NULL for an empty disk.
 * Example: raft_open(&raft, 0, my_id, seed, NULL, now); */
void raft_open(struct raft *raft, uint32_t shard, uint64_t id, uint64_t seed, const struct raft_saved *saved,
	       int64_t now);

/* Free all memory. Example: raft_close(&raft); */
void raft_close(struct raft *raft);

/* Bootstrap: these members, an empty log. Only on an empty group.
 * Example: raft_bootstrap(&raft, members, 3, now, o); */
void raft_bootstrap(struct raft *raft, const struct raft_member *member, int count, int64_t now,
		    struct command_list *out);

/* Let time pass. Example: raft_tick(&raft, now, o); */
void raft_tick(struct raft *raft, int64_t now, struct command_list *out);

/* Handle a message of another member. NULL, or why it was dropped: it breaks the protocol and changed
 * nothing. Example: why = raft_receive(&raft, msg, now, o); */
const char *raft_receive(struct raft *raft, const struct Nl__Msg *message, int64_t now,
			 struct command_list *out);

/* The disk has synced all up to seq. Example: raft_synced(&raft, seq, now, o); */
void raft_synced(struct raft *raft, uint64_t seq, int64_t now, struct command_list *out);

/* The leader logs an operation; 0 without a lease, else its index.
 * Example: if (!(i = raft_propose(&raft, d, n, now))) not_leader(); */
uint64_t raft_propose(struct raft *raft, const uint8_t *data, size_t size, int64_t now);

/* Commands for what has become dirty; call once at the end of a step.
 * Example: raft_flush(&raft, now, o); */
void raft_flush(struct raft *raft, int64_t now, struct command_list *out);

/* Next committed operation for the state machine, or NULL. When snapshot_to_load is set, load the snapshot
 * first. Example: while ((e = raft_next_committed(&raft, &i))) apply(i, e); */
const struct raft_entry *raft_next_committed(struct raft *raft, uint64_t *index);

/* Whether this node leads with a lease and knows all that was committed before its term.
 * Example: if (raft_has_lease(&raft, now)) answer(); */
int raft_has_lease(const struct raft *raft, int64_t now);

/* Whether the log has grown enough for a snapshot. Example: if (raft_wants_snapshot(&raft))
 * raft_snapshot(&raft, d, n); */
int raft_wants_snapshot(const struct raft *raft);
void raft_snapshot(struct raft *raft, const uint8_t *data, size_t size);

/* Step down before the process ends, so that a successor need not wait.
 * Example: raft_step_down(&raft, now, o); */
void raft_step_down(struct raft *raft, int64_t now, struct command_list *out);

/* The leader changes its group by one step: adds, promotes, readdresses or removes one member, towards
 * `replicas` of them spread over zones. live: controllers known to the fleet, with their zones. Example:
 * raft_reconfigure(&raft, live, n, now); */
void raft_reconfigure(struct raft *raft, const struct raft_member *live, int live_count, int64_t now);

/* This member is to stop: a leader hands over, and no votes are asked for from now on. Example:
 * raft_leave(&raft, now); */
void raft_drain(struct raft *raft, int64_t now);

/* Whether a leaving member may go: it does not lead, and its copy is no longer needed.
 * Example: if (raft_may_leave(&raft, now)) exit(0); */
int raft_may_stop(const struct raft *raft, int64_t now);

/* ---- recovery from a lost majority ---- */

enum raft_recovery {
	RAFT_RECOVERY_POSSIBLE,
	RAFT_RECOVERY_NO_VOTER,
	RAFT_RECOVERY_HAS_LEADER,
	RAFT_RECOVERY_MAJORITY_REMAINS,
	RAFT_RECOVERY_MEMBER_ANSWERS,
	RAFT_RECOVERY_OTHER_IS_NEWER
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

/* The verdict in words. Example: raft_recovery_text(RAFT_RECOVERY_HAS_LEADER) */
const char *raft_recovery_strerror(enum raft_recovery verdict);

#endif
