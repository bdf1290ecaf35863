/* raft_world: one raft group on a few machines under seeded virtual time, with documents as its operations.
 * Links have delay, bandwidth, loss, repetition and reordering; disks take time and lose what was not synced.
 * Safety is checked after every step; the first violation is kept. All times are ms of virtual time. */
#ifndef NL_RAFT_WORLD_H
#define NL_RAFT_WORLD_H

#include "raft.h"

enum {
	WORLD_MACHINES = 4, /* as world_open has it */
	WORLD_MAX_MACHINES = 6,
	WORLD_CATCH_UP_MS = 4000
};

struct world_entry {
	uint64_t term;
	uint32_t kind;
	size_t len;
	uint8_t *data;
};

/* What a machine has stored. */
struct world_disk {
	uint64_t term;
	uint64_t vote;
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	uint64_t first_index;        /* of entries[0] */
	struct world_entry *entries; /* stb_ds */
	uint8_t *data;               /* of the snapshot */
	uint8_t *members;            /* of the snapshot, packed */
	size_t data_len;
	size_t members_len;
};

/* A write that has not reached the disk. */
struct world_write {
	int64_t due_at_ms;
	apr_pool_t *pool;
	struct persist *persist;
};

/* The replicated state: the newest document, and a digest over all of them. */
struct world_state {
	uint64_t version;
	uint64_t applied; /* how many documents were applied */
	uint64_t chain;   /* digest: equal on machines that applied the same ones */
	uint8_t *document;
	size_t len;
};

struct world_machine {
	int is_up;
	int is_cut_off; /* its links are down */
	int disk_full;
	int tick_phase;   /* ms by which its ticks come earlier than others' */
	int slow_disk_ms; /* that its disk takes longer than the others' */
	uint64_t id;      /* another one after its disk was lost */
	uint64_t addr;
	uint64_t incarnation; /* how often it was started */
	struct raft raft;
	struct command_list out;
	struct world_disk disk;
	struct world_write *writes; /* stb_ds, oldest first */
	struct world_state state;
	uint64_t commit;         /* highest commit index of this incarnation */
	int64_t bulk_free_at_ms; /* when its link has sent all entries and chunks so far */
	int64_t bulk_arrival_at_ms[WORLD_MAX_MACHINES]; /* of the newest entries or chunk, by receiver */
};

struct world_packet {
	int64_t arrives_at_ms;
	int from; /* machine */
	int to;
	uint64_t incarnation; /* of the receiver: a restart loses what is in flight */
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
	struct world_packet *packets; /* stb_ds: in flight */
	/* links and disks */
	int loss_permille;   /* of messages */
	int repeat_permille; /* of messages */
	int reorders_bulk;   /* entries and chunks, too, may overtake each other */
	int delay_ms;        /* one way */
	int jitter_ms;
	int disk_ms;         /* of a write */
	int delay_us;        /* added to delay_ms on the average: the world's clock counts whole ms */
	int tick_ms;         /* between two ticks of a machine */
	size_t bytes_per_ms; /* of each machine's link, for what is not a heartbeat */
	/* the operator, who changes one document after the other */
	size_t document_len;
	uint64_t proposed_version; /* newest document that was proposed, */
	uint64_t acked_version;    /* and acknowledged, */
	uint64_t acked_index;      /* at this index */
	uint64_t pending_index;    /* of the one that waits for its commit */
	uint64_t pending_term;
	int pause_ms; /* between an acknowledgement and the next document */
	int64_t idle_until_ms;
	int pending_machine;  /* the leader that logged it; -1: none */
	uint64_t acked_count; /* documents */
	char violation[300];  /* the first one; "": none */
	/* figures */
	uint64_t message_count;
	uint64_t sent_bytes;
	uint64_t chunk_count;
	uint64_t chunk_bytes;
	uint64_t append_bytes;
	size_t peak_memory;    /* bytes of one machine */
	size_t peak_disk;      /* bytes of one machine */
	size_t peak_in_flight; /* bytes between two machines */
	/* called for each message before it is sent; 0: it is lost. NULL: none is */
	int (*filter)(struct raft_world *world, int from, int to, struct Nl__Msg *message);
};

/* A bootstrapped group of three on four machines, with a leader. Example: world_open(&world, 1, 300 << 10);
 */
void world_open(struct raft_world *world, uint64_t seed, size_t document_len);

/* The same with so many voters, and one machine more. Example: world_open_with(&world, 1, 300, 5); */
void world_open_with(struct raft_world *world, uint64_t seed, size_t document_len, int voters);

/* Stop all machines and free all memory. */
void world_close(struct raft_world *world);

/* Let time pass, or until done returns 1; 0 after a violation, or when done never did.
 * Example: assert_true(world_run(&world, 500, NULL)); */
int world_run(struct raft_world *world, int64_t ms, int (*done)(struct raft_world *world));

/* Have the operator log documents until `count` more are acknowledged. Example: world_change(&world, 10,
 * 20000);
 */
int world_change(struct raft_world *world, uint64_t count, int64_t ms);

/* An operator logs one more document at the leader, and does not wait for it; 0 without a leader. Example:
 * world_log(&world); */
int world_log(struct raft_world *world);

/* A machine loses power, with `wipe` its disk and identity too. Example: world_crash(&world, 2, 0); */
void world_crash(struct raft_world *world, int machine, int wipe);

/* Its power is back. */
void world_start(struct raft_world *world, int machine);

/* A machine receives a packed message now, from nobody in the world. Example: world_inject(&world, 2, bytes,
 * len); */
void world_inject(struct raft_world *world, int to, const uint8_t *bytes, size_t len);

/* The machine that leads with a lease, or -1. Example: leader = world_leader(&world); */
int world_leader(const struct raft_world *world);

/* How long, under further changes, until three members vote that have synced and applied all that is
 * acknowledged now; -1 when longer than ms. Example: assert_true(world_catch_up(&world, WORLD_CATCH_UP_MS) >=
 * 0);
 */
int64_t world_catch_up(struct raft_world *world, int64_t ms);

/* Whether three members vote and each has synced and applied all that is acknowledged. Example: if
 * (world_fully_replicated(&world)) ... */
int world_fully_replicated(const struct raft_world *world);

/* Bytes that a machine keeps in its log and snapshots. Example: assert_true(world_memory(&world, 0) < 32 <<
 * 20); */
size_t world_memory(const struct raft_world *world, int machine);

/* Bytes on its disk. */
size_t world_disk_bytes(const struct raft_world *world, int machine);

/* Print every machine's state, for a failure's report. Example: world_print(&world); */
void world_print(const struct raft_world *world);

#endif
