/* raft_world: one Raft group on up to six machines under seeded virtual time, with documents as its
 * operations. Links have delay, bandwidth, loss, duplication and reordering. Disk writes take time, and a
 * crash loses writes that are not synced. The safety properties are checked after every step, and the first
 * violation is stored in `violation`. All times are in ms of virtual time. */
#ifndef NL_RAFT_WORLD_H
#define NL_RAFT_WORLD_H

#include "raft.h"

enum {
	WORLD_MACHINES = 4, /* machines of a world that world_open opens */
	WORLD_MAX_MACHINES = 6,
	WORLD_CATCH_UP_MS = 4000
};

struct world_entry {
	uint64_t term;
	uint32_t kind;
	size_t len;
	uint8_t *data;
};

/* The synced contents of a machine's disk. */
struct world_disk {
	uint64_t term;
	uint64_t vote;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	uint64_t first_index;        /* of entries[0] */
	struct world_entry *entries; /* stb_ds */
	uint8_t *data;               /* state in the snapshot */
	uint8_t *members;            /* membership in the snapshot, packed */
	size_t data_len;
	size_t members_len;
};

/* A disk write that has been issued and is not yet synced. */
struct world_write {
	int64_t due_at_ms;
	apr_pool_t *pool;
	struct persist *persist;
};

/* The replicated state: the newest document, and a digest over all applied documents. */
struct world_state {
	uint64_t version;
	uint64_t applied; /* number of documents applied */
	uint64_t chain; /* digest; equal on machines that have applied the same documents in the same order */
	uint8_t *document;
	size_t len;
};

struct world_machine {
	int is_up;
	int is_cut_off; /* its links are down */
	int disk_full;
	int tick_phase;   /* ms by which its ticks precede those of a machine with phase 0 */
	int slow_disk_ms; /* added to the duration of its disk writes */
	uint64_t id;      /* replaced by a new id when its disk is lost */
	uint64_t addr;
	uint64_t incarnation; /* number of its starts */
	struct raft raft;
	struct command_list out;
	struct world_disk disk;
	struct world_write *writes; /* stb_ds, oldest first */
	struct world_state state;
	uint64_t commit; /* highest commit index of this incarnation */
	int64_t
	    bulk_free_at_ms; /* time at which its link has sent all queued log entries and snapshot chunks */
	int64_t
	    bulk_arrival_at_ms[WORLD_MAX_MACHINES]; /* by receiver: arrival of the newest entries or chunk */
};

struct world_packet {
	int64_t arrives_at_ms;
	int from; /* number of the sending machine */
	int to;   /* number of the receiving machine */
	uint64_t
	    incarnation; /* of the receiver when it was sent; a restart of the receiver drops the packet */
	size_t len;
	uint8_t *data;
};

struct raft_world {
	uint64_t seed;
	uint64_t random_state;
	int64_t now;
	int machine_count;
	int voter_count;
	struct world_machine machines[WORLD_MAX_MACHINES];
	struct world_packet *packets; /* stb_ds: packets in flight */
	/* links and disks */
	int loss_permille;      /* per mille of messages that are lost */
	int duplicate_permille; /* per mille of messages that are delivered twice */
	int reorders_bulk;   /* 1: messages with log entries or snapshot chunks may overtake each other too */
	int delay_ms;        /* one-way delay of a message */
	int jitter_ms;       /* highest random addition to a message's delay */
	int disk_ms;         /* duration of a disk write */
	int delay_us;        /* added to delay_ms on average; the world's clock counts in steps of 1 ms */
	int tick_ms;         /* interval between two ticks of a machine */
	size_t bytes_per_ms; /* bandwidth of each machine's link for messages other than heartbeats */
	/* the simulated operator, who proposes one document at a time */
	size_t document_len;
	uint64_t proposed_version; /* version of the newest proposed document */
	uint64_t acked_version;    /* version of the newest acknowledged document */
	uint64_t acked_index;      /* log index of the newest acknowledged document */
	uint64_t pending_index;    /* log index of the document that is not yet committed */
	uint64_t pending_term;     /* term of that log entry */
	int pause_ms;              /* pause between an acknowledgement and the next proposal */
	int64_t idle_until_ms;     /* time of the next proposal */
	int pending_machine;       /* the leader that logged the pending document; -1: none is pending */
	uint64_t acked_count;      /* number of acknowledged documents */
	char violation[300];       /* text of the first violation; "": none */
	/* statistics */
	uint64_t message_count;
	uint64_t sent_bytes;
	uint64_t chunk_count;
	uint64_t chunk_bytes;
	uint64_t append_bytes;
	size_t peak_memory;    /* bytes of one machine */
	size_t peak_disk;      /* bytes of one machine */
	size_t peak_in_flight; /* bytes of all packets in flight at a time */
	/* called for each message before it is sent; returns 0 to drop the message. NULL: none is dropped */
	int (*filter)(struct raft_world *world, int from, int to, struct Nl__Msg *message);
};

/* Open a world of four machines, with a bootstrapped group of three voters that has a leader.
 * Example: world_open(&world, 1, 300 << 10); */
void world_open(struct raft_world *world, uint64_t seed, size_t document_len);

/* Open a world of voters + 1 machines, with a bootstrapped group that has a leader.
 * Example: world_open_with(&world, 1, 300, 5); */
void world_open_with(struct raft_world *world, uint64_t seed, size_t document_len, int voters);

/* Stop all machines and free all memory. */
void world_close(struct raft_world *world);

/* Run for `ms`, or until done() returns 1 (NULL: never); 0 after a violation, or if done() has not
 * returned 1. Example: assert_true(world_run(&world, 500, NULL)); */
int world_run(struct raft_world *world, int64_t ms, int (*done)(struct raft_world *world));

/* Let the operator propose documents until `count` more are acknowledged, for `ms` at most; 0 after a
 * violation or if fewer are acknowledged. Example: world_change(&world, 10, 20000); */
int world_change(struct raft_world *world, uint64_t count, int64_t ms);

/* Log one more document at the leader, without waiting for its commit; 0 if there is no leader.
 * Example: world_log(&world); */
int world_log(struct raft_world *world);

/* Stop a machine as a power loss does; `wipe`: it also loses its disk and identity.
 * Example: world_crash(&world, 2, 0); */
void world_crash(struct raft_world *world, int machine, int wipe);

/* Restart a machine from its disk. */
void world_start(struct raft_world *world, int machine);

/* Deliver a packed message to a machine immediately, as if from a sender outside of the world.
 * Example: world_inject(&world, 2, bytes, len); */
void world_inject(struct raft_world *world, int to, const uint8_t *bytes, size_t len);

/* The number of the leader that has a lease, or -1. Example: leader = world_leader(&world); */
int world_leader(const struct raft_world *world);

/* Run with further proposals until the group has three voters that have each synced and applied every
 * document that is acknowledged at the time of the call. Returns the ms this took, or -1 if it takes longer
 * than `ms`. Example: assert_true(world_catch_up(&world, WORLD_CATCH_UP_MS) >= 0); */
int64_t world_catch_up(struct raft_world *world, int64_t ms);

/* Whether the group has three voters, and each has synced and applied every acknowledged document.
 * Example: if (world_fully_replicated(&world)) ... */
int world_fully_replicated(const struct raft_world *world);

/* Bytes of memory that a machine's log and snapshots occupy.
 * Example: assert_true(world_memory(&world, 0) < 32 << 20); */
size_t world_memory(const struct raft_world *world, int machine);

/* Bytes that a machine's disk contents occupy. */
size_t world_disk_bytes(const struct raft_world *world, int machine);

/* Print every machine's state, for the report of a failed test. Example: world_print(&world); */
void world_print(const struct raft_world *world);

#endif
