/* part: one group of registrars that keeps one part of the state: votes, log, licence, snapshot.
 * Pure: events in, commands out. The owner may act only while part_licensed says so. */
#ifndef NL_PART_H
#define NL_PART_H

#include "core.h"

enum part_role { PART_STANDBY, PART_ASKING, PART_CONTENDER, PART_OWNER };

enum {
	PART_LICENCE = 600,    /* ms that a member promises not to vote for another */
	PART_EARLY = 150,      /* the owner stops this much before the licence ends */
	PART_ROUND = 150,      /* ms between rounds */
	PART_ELECT = 700,      /* a standby waits this long, plus up to half again */
	PART_RETRY = 300,      /* ms after which one that asked in vain asks again, plus up to as much; without an owner nobody waits for one */
	PART_PROBE = 50,       /* ms between probes of one that came back */
	PART_HASTE = 50,       /* nobody owns the part: its members ask for votes so long after one another */
	PART_STALL = 600,      /* an own sync slower than this costs the ownership */
	PART_COPIES = 3,       /* founded with these; a group never shrinks below them */
	PART_DEAD = 6000,      /* a member unheard of for so long is replaced, unless the part is told another bound */
	PART_MEMBERS = 8,
	PART_KEEP = 256,       /* entries kept behind a snapshot, */
	PART_KEEP_BYTES = 8 << 20, /* as far as they hold no more */
	PART_SNAP = 2048       /* entries before the next snapshot */
};

enum { PART_NOOP = 0, PART_MEMBERS_ENTRY = 1, PART_OP = 2 };

struct part_entry { uint64_t term; uint32_t kind; size_t len; uint8_t *data; };

struct part_member {
	uint64_t id, addr;
	uint64_t zone; /* hash of the zone's name, as far as the mender knows */
	int voter;
	/* the owner's view */
	uint64_t next, match, round;
	int64_t heard, snap_at;
	int granted;
	int idle; /* has said that it owns nothing since we came back */
};

struct part_mark { uint64_t seq, last; int64_t at; };

struct part {
	uint32_t no;
	uint64_t id, rng;
	uint64_t term, vote;
	enum part_role role;
	uint64_t owner_id, owner_addr;

	struct part_entry *log; /* stb_ds; log[0] is entry base + 1 */
	uint64_t base, base_term, snap_index, snap_term;
	uint8_t *snap;
	size_t snap_len;
	uint8_t *snap_members;
	size_t snap_members_len;

	struct part_member m[PART_MEMBERS];
	int mn;
	uint64_t members_at;
	int copies;           /* members wanted */
	int64_t dead;         /* ms after which a member counts as lost */

	uint64_t commit, taken, stable, matched;
	uint64_t term_start;  /* the owner's first entry in its term */

	int64_t promise, elect_at, licence, round_at, asked_at, probe_at;
	int unsure;           /* whom the promise binds us to is not known: it may be from before we fell */
	uint64_t life;
	uint64_t round;       /* the owner's current one; a member's last answered */
	int64_t rounds[64];

	int dirty, snap_dirty;
	int bare;             /* the next snapshot keeps no entries behind it, nor their traces on the disk */
	uint64_t dirty_from, cut, seq, synced;
	struct part_mark *marks; /* stb_ds */
	struct { int on; uint64_t seq, to, term; } vote_held;
	uint64_t self_vote_seq;
	int snap_new;         /* the taker must load the snapshot before taking on */
	uint64_t elections;
};

/* What came back from the disk. */
struct part_saved {
	uint64_t term, vote;
	uint64_t base, base_term;      /* the snapshot stands for all up to base */
	const uint8_t *members, *data;
	size_t members_len, data_len;
	uint64_t log_from;             /* index of e[0] */
	struct part_entry *e;
	size_t n;
};

/* Begin a part from what the disk holds; saved may be NULL for an empty disk.
 * Example: part_open(&p, 0, my_id, seed, NULL, now); */
void part_open(struct part *p, uint32_t no, uint64_t id, uint64_t seed, const struct part_saved *saved, int64_t now);

/* Free all memory. Example: part_close(&p); */
void part_close(struct part *p);

/* Found a fleet: these members, an empty log. Only on an empty part.
 * Example: part_found(&p, members, 3, now, o); */
void part_found(struct part *p, const struct part_member *m, int n, int64_t now, struct out *o);

/* Let time pass. Example: part_tick(&p, now, o); */
void part_tick(struct part *p, int64_t now, struct out *o);

/* Take a colleague's message. Example: part_msg(&p, msg, now, o); */
void part_msg(struct part *p, const struct Nl__Msg *m, int64_t now, struct out *o);

/* The disk has synced all up to seq. Example: part_synced(&p, seq, now, o); */
void part_synced(struct part *p, uint64_t seq, int64_t now, struct out *o);

/* The owner logs an operation; 0 when not licensed, else its index.
 * Example: if (!(i = part_propose(&p, d, n, now))) not_owner(); */
uint64_t part_propose(struct part *p, const uint8_t *d, size_t n, int64_t now);

/* Commands for what has become dirty; call once at the end of a step.
 * Example: part_flush(&p, now, o); */
void part_flush(struct part *p, int64_t now, struct out *o);

/* Next committed operation for the state machine, or NULL. When p->snap_new is set, load p->snap first.
 * Example: while ((e = part_take(&p, &i))) apply(i, e); */
const struct part_entry *part_take(struct part *p, uint64_t *index);

/* Whether this node holds the licence and knows all that was committed before it.
 * Example: if (part_licensed(&p, now)) answer(); */
int part_licensed(const struct part *p, int64_t now);

/* Whether the log has grown enough for a snapshot. Example: if (part_wants_snap(&p)) part_snap(&p, d, n); */
int part_wants_snap(const struct part *p);
void part_snap(struct part *p, const uint8_t *d, size_t n);

/* Give the ownership up before the end, so that a successor need not wait.
 * Example: part_give_up(&p, now, o); */
void part_give_up(struct part *p, int64_t now, struct out *o);

/* The owner mends its group by one step: adds, raises, readdresses or removes one member, towards p->copies of them
 * spread over zones. live: registrars known to the fleet, with their zones. Example: part_mend(&p, live, n, now); */
void part_mend(struct part *p, const struct part_member *live, int n, int64_t now);

#endif
