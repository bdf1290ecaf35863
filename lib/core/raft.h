/* part: one group of registrars that keeps one part of the state: votes, log, licence, snapshot.
 * Pure: events in, commands out. The owner may act only while raft_has_lease says so. */
#ifndef NL_RAFT_H
#define NL_RAFT_H

#include "core.h"

enum raft_role { RAFT_FOLLOWER, RAFT_PRE_CANDIDATE, RAFT_CANDIDATE, RAFT_LEADER };

enum {
	RAFT_LEASE_MS = 600,    /* ms that a member promises not to vote for another */
	RAFT_LEASE_MARGIN_MS = 150,      /* the owner stops this much before the licence ends */
	RAFT_HEARTBEAT_MS = 150,      /* ms between rounds */
	RAFT_ELECTION_MS = 700,      /* a standby waits this long, plus up to half again */
	RAFT_ELECTION_RETRY_MS = 300,      /* ms after which one that asked in vain asks again, plus up to as much; without an owner nobody waits for one */
	RAFT_PROBE_MS = 50,       /* ms between probes of one that came back */
	RAFT_ELECTION_STAGGER_MS = 50,       /* nobody owns the part: its members ask for votes so long after one another */
	RAFT_SYNC_STALL_MS = 600,      /* an own sync slower than this costs the ownership */
	RAFT_MIN_VOTERS = 3,       /* founded with these; a group never shrinks below them */
	RAFT_MEMBER_LOST_MS = 6000,      /* a member unheard of for so long is replaced, unless the part is told another bound */
	RAFT_MAX_MEMBERS = 8,
	RAFT_LOG_TAIL = 256,       /* entries kept behind a snapshot, */
	RAFT_LOG_TAIL_BYTES = 8 << 20, /* as far as they hold no more */
	RAFT_SNAPSHOT_ENTRIES = 2048       /* entries before the next snapshot */
};

enum { RAFT_ENTRY_NOOP = 0, RAFT_ENTRY_MEMBERS = 1, RAFT_ENTRY_OPERATION = 2 };

struct raft_entry { uint64_t term; uint32_t kind; size_t len; uint8_t *data; };

struct raft_member {
	uint64_t id, addr;
	uint64_t zone; /* hash of the zone's name, as far as the mender knows */
	int voter;
	/* the owner's view */
	uint64_t next, match, round;
	int64_t heard_at, snapshot_sent_at;
	int granted;
	int not_leader; /* has said that it owns nothing since we came back */
};

struct raft_sync_mark { uint64_t seq, last; int64_t at; };

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
	int64_t member_lost_ms;         /* ms after which a member counts as lost */

	uint64_t commit, applied, synced_index, matched;
	uint64_t term_start;  /* the owner's first entry in its term */

	int64_t vote_barrier_until, election_at, lease_expires_at, heartbeat_at, quorum_asked_at, probe_at;
	int vote_barrier_unknown;           /* whom the promise binds us to is not known: it may be from before we fell */
	uint64_t life;
	uint64_t round;       /* the owner's current one; a member's last answered */
	int64_t heartbeat_sent_at[64];

	int dirty, snapshot_dirty;
	int drop_tail;             /* the next snapshot keeps no entries behind it, nor their traces on the disk */
	uint64_t dirty_from, cut, seq, synced;
	struct raft_sync_mark *marks; /* stb_ds */
	struct { int on; uint64_t seq, to, term; } vote_held;
	uint64_t self_vote_seq;
	int snapshot_to_load;         /* the taker must load the snapshot before taking on */
	uint64_t elections;
};

/* What came back from the disk. */
struct raft_saved {
	uint64_t term, vote;
	uint64_t base, base_term;      /* the snapshot stands for all up to base */
	const uint8_t *members, *data;
	size_t members_len, data_len;
	uint64_t log_from;             /* index of e[0] */
	struct raft_entry *e;
	size_t n;
};

/* Begin a part from what the disk holds; saved may be NULL for an empty disk.
 * Example: raft_open(&raft, 0, my_id, seed, NULL, now); */
void raft_open(struct raft *raft, uint32_t no, uint64_t id, uint64_t seed, const struct raft_saved *saved, int64_t now);

/* Free all memory. Example: raft_close(&raft); */
void raft_close(struct raft *raft);

/* Found a fleet: these members, an empty log. Only on an empty part.
 * Example: raft_bootstrap(&raft, members, 3, now, o); */
void raft_bootstrap(struct raft *raft, const struct raft_member *m, int n, int64_t now, struct out *o);

/* Let time pass. Example: raft_tick(&raft, now, o); */
void raft_tick(struct raft *raft, int64_t now, struct out *o);

/* Take a colleague's message. Example: raft_receive(&raft, msg, now, o); */
void raft_receive(struct raft *raft, const struct Nl__Msg *m, int64_t now, struct out *o);

/* The disk has synced all up to seq. Example: raft_synced(&raft, seq, now, o); */
void raft_synced(struct raft *raft, uint64_t seq, int64_t now, struct out *o);

/* The owner logs an operation; 0 when not licensed, else its index.
 * Example: if (!(i = raft_propose(&raft, d, n, now))) not_owner(); */
uint64_t raft_propose(struct raft *raft, const uint8_t *d, size_t n, int64_t now);

/* Commands for what has become dirty; call once at the end of a step.
 * Example: raft_flush(&raft, now, o); */
void raft_flush(struct raft *raft, int64_t now, struct out *o);

/* Next committed operation for the state machine, or NULL. When p->snap_new is set, load p->snap first.
 * Example: while ((e = raft_next_committed(&raft, &i))) apply(i, e); */
const struct raft_entry *raft_next_committed(struct raft *raft, uint64_t *index);

/* Whether this node holds the licence and knows all that was committed before it.
 * Example: if (raft_has_lease(&raft, now)) answer(); */
int raft_has_lease(const struct raft *raft, int64_t now);

/* Whether the log has grown enough for a snapshot. Example: if (raft_wants_snapshot(&raft)) raft_snapshot(&raft, d, n); */
int raft_wants_snapshot(const struct raft *raft);
void raft_snapshot(struct raft *raft, const uint8_t *d, size_t n);

/* Give the ownership up before the end, so that a successor need not wait.
 * Example: raft_step_down(&raft, now, o); */
void raft_step_down(struct raft *raft, int64_t now, struct out *o);

/* The owner mends its group by one step: adds, raises, readdresses or removes one member, towards p->copies of them
 * spread over zones. live: registrars known to the fleet, with their zones. Example: raft_reconfigure(&raft, live, n, now); */
void raft_reconfigure(struct raft *raft, const struct raft_member *live, int n, int64_t now);

#endif
