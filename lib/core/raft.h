/* raft: one replicated state machine (a shard of the control state): log, elections, leader lease, snapshots, membership.
 * Pure: events in, commands out. The leader may act or answer only while raft_has_lease says so.
 * All times are milliseconds of the process's own monotonic clock. */
#ifndef NL_RAFT_H
#define NL_RAFT_H

#include "core.h"

enum raft_role { RAFT_FOLLOWER, RAFT_PRE_CANDIDATE, RAFT_CANDIDATE, RAFT_LEADER };

enum {
	RAFT_LEASE_MS = 600,           /* a member that heard its leader votes for no other for so long */
	RAFT_LEASE_MARGIN_MS = 150,    /* the leader stops this much before its lease ends */
	RAFT_HEARTBEAT_MS = 150,       /* between heartbeat rounds */
	RAFT_ELECTION_MS = 700,        /* election timeout, plus up to half again */
	RAFT_ELECTION_RETRY_MS = 300,  /* a candidate without a majority asks again after this, plus up to as much */
	RAFT_PROBE_MS = 50,            /* between lease recovery probes of a restarted member */
	RAFT_ELECTION_STAGGER_MS = 50, /* no leader: members ask for votes so long after one another */
	RAFT_SYNC_STALL_MS = 600,      /* a leader whose own sync takes longer steps down */
	RAFT_MIN_VOTERS = 3,           /* bootstrapped with these; a group never shrinks below them */
	RAFT_MEMBER_LOST_MS = 6000,    /* a silent member is replaced after this, unless the group is told another bound */
	RAFT_MAX_MEMBERS = 8,
	RAFT_LOG_TAIL = 256,           /* entries kept behind a snapshot, */
	RAFT_LOG_TAIL_BYTES = 8 << 20, /* as far as they hold no more */
	RAFT_SNAPSHOT_ENTRIES = 2048   /* entries before the next snapshot */
};

enum { RAFT_ENTRY_NOOP = 0, RAFT_ENTRY_MEMBERS = 1, RAFT_ENTRY_OPERATION = 2 };

struct raft_entry {
	uint64_t term;
	uint32_t kind;
	size_t len;
	uint8_t *data;
};

struct raft_member {
	uint64_t id, addr;
	uint64_t zone; /* hash of the zone's name; 0 while unknown */
	int voter;
	/* what the leader knows of it */
	uint64_t next, match, round;
	int64_t heard_at, snapshot_sent_at;
	int granted;
	int not_leader;       /* has said since our restart that it does not lead */
	int leaving;          /* it is to stop, and is not counted where the others suffice; */
	uint64_t leave_index; /* the newest entry when it said so */
};

/* Whether a member that is to stop may go. */
enum raft_release { RAFT_HELD, RAFT_RELEASED_LATER, RAFT_RELEASED };

struct raft_sync_mark {
	uint64_t seq, last;
	int64_t at;
};

struct raft {
	uint32_t no;
	uint64_t id, rng;
	uint64_t term, vote;
	enum raft_role role;
	uint64_t leader_id, leader_addr;

	struct raft_entry *log; /* stb_ds; log[0] is entry base + 1 */
	uint64_t base, base_term, snapshot_index, snapshot_term;
	uint8_t *snap;
	size_t snapshot_len;
	uint8_t *snapshot_members;
	size_t snapshot_members_len;

	struct raft_member members[RAFT_MAX_MEMBERS];
	int member_count;
	uint64_t members_index;
	int replicas;           /* members wanted */
	int64_t member_lost_ms; /* ms after which a member counts as lost */

	uint64_t commit, applied, synced_index, matched;
	uint64_t term_start; /* the leader's first entry in its term */

	int64_t vote_barrier_until, election_at, lease_expires_at, heartbeat_at, quorum_asked_at, probe_at;
	int vote_barrier_unknown; /* the barrier may protect a lease from before our restart */
	uint64_t life;
	uint64_t round; /* leader: the current heartbeat round; member: the last one answered */
	int64_t heartbeat_sent_at[64];

	int dirty, snapshot_dirty;
	int drop_tail; /* the next snapshot keeps no entries behind it, nor their traces on the disk */
	uint64_t dirty_from, cut, seq, synced;
	struct raft_sync_mark *marks; /* stb_ds */
	struct {
		int on;
		uint64_t seq, to, term;
	} vote_held;
	uint64_t self_vote_seq;
	int snapshot_to_load; /* the caller must load the snapshot before applying entries */
	uint64_t elections;
	int leaving; /* this member is to stop: it asks for no votes and takes no proposals */
	enum raft_release release;
	int64_t leave_by;     /* of a leader: it steps down at the latest; then: its successor has been elected */
	int staying_majority; /* leader: voters that answer and do not leave are a majority by themselves */
	int removed;          /* a leader has said that this member is none any more */
};

/* What came back from the disk. */
struct raft_saved {
	uint64_t term, vote;
	uint64_t base, base_term; /* the snapshot stands for all up to base */
	const uint8_t *members, *data;
	size_t members_len, data_len;
	uint64_t log_from; /* index of e[0] */
	struct raft_entry *e;
	size_t n;
};

/* Begin from what the disk holds; saved may be NULL for an empty disk.
 * Example: raft_open(&raft, 0, my_id, seed, NULL, now); */
void raft_open(struct raft *raft, uint32_t no, uint64_t id, uint64_t seed, const struct raft_saved *saved, int64_t now);

/* Free all memory. Example: raft_close(&raft); */
void raft_close(struct raft *raft);

/* Bootstrap: these members, an empty log. Only on an empty group.
 * Example: raft_bootstrap(&raft, members, 3, now, o); */
void raft_bootstrap(struct raft *raft, const struct raft_member *m, int n, int64_t now, struct out *o);

/* Let time pass. Example: raft_tick(&raft, now, o); */
void raft_tick(struct raft *raft, int64_t now, struct out *o);

/* Handle a message of another member. Example: raft_receive(&raft, msg, now, o); */
void raft_receive(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o);

/* The disk has synced all up to seq. Example: raft_synced(&raft, seq, now, o); */
void raft_synced(struct raft *raft, uint64_t seq, int64_t now, struct out *o);

/* The leader logs an operation; 0 without a lease, else its index.
 * Example: if (!(i = raft_propose(&raft, d, n, now))) not_leader(); */
uint64_t raft_propose(struct raft *raft, const uint8_t *d, size_t n, int64_t now);

/* Commands for what has become dirty; call once at the end of a step.
 * Example: raft_flush(&raft, now, o); */
void raft_flush(struct raft *raft, int64_t now, struct out *o);

/* Next committed operation for the state machine, or NULL. When snapshot_to_load is set, load the snapshot first.
 * Example: while ((e = raft_next_committed(&raft, &i))) apply(i, e); */
const struct raft_entry *raft_next_committed(struct raft *raft, uint64_t *index);

/* Whether this node leads with a lease and knows all that was committed before its term.
 * Example: if (raft_has_lease(&raft, now)) answer(); */
int raft_has_lease(const struct raft *raft, int64_t now);

/* Whether the log has grown enough for a snapshot. Example: if (raft_wants_snapshot(&raft)) raft_snapshot(&raft, d, n); */
int raft_wants_snapshot(const struct raft *raft);
void raft_snapshot(struct raft *raft, const uint8_t *d, size_t n);

/* Step down before the process ends, so that a successor need not wait.
 * Example: raft_step_down(&raft, now, o); */
void raft_step_down(struct raft *raft, int64_t now, struct out *o);

/* The leader changes its group by one step: adds, promotes, readdresses or removes one member, towards `replicas` of them
 * spread over zones. live: registrars known to the fleet, with their zones. Example: raft_reconfigure(&raft, live, n, now); */
void raft_reconfigure(struct raft *raft, const struct raft_member *live, int n, int64_t now);

/* This member is to stop: a leader hands over, and no votes are asked for from now on. Example: raft_leave(&raft, now); */
void raft_leave(struct raft *raft, int64_t now);

/* Whether a leaving member may go: it does not lead, and its copy is no longer needed.
 * Example: if (raft_may_leave(&raft, now)) exit(0); */
int raft_may_leave(const struct raft *raft, int64_t now);

#endif
