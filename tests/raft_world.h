/* raft_world: one raft group on a few machines under seeded virtual time, with documents as its operations.
 * Links have delay, bandwidth, loss, repetition and reordering; disks take time and forget what was not
 * synced. Safety is checked after every step; the first violation is kept in `violation`. */
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

struct world_disk {
	uint64_t term, vote, base, base_term, first; /* first: index of entries[0] */
	struct world_entry *entries;                 /* stb_ds */
	uint8_t *data, *members;
	size_t len, members_len;
};

struct world_write {
	int64_t due_at;
	apr_pool_t *pool;
	struct persist *persist;
};

/* The replicated state: the newest document, and how many there were. */
struct world_state {
	uint64_t version, applied, chain;
	uint8_t *document;
	size_t len;
};

struct world_machine {
	int up, is_cut_off, disk_full;
	int tick_phase;   /* ms by which its ticks come earlier than others' */
	int slow_disk_ms; /* that its disk takes longer than the others' */
	uint64_t id, addr, incarnation;
	struct raft raft;
	struct command_list out;
	struct world_disk disk;
	struct world_write *writes; /* stb_ds, oldest first */
	struct world_state state;
	uint64_t commit;                          /* highest seen in this incarnation */
	int64_t bulk_free_at;                     /* its link, for what is large */
	int64_t bulk_arrival[WORLD_MAX_MACHINES]; /* newest of what is large, by receiver */
};

struct world_packet {
	int64_t at;
	int from, to;
	uint64_t incarnation;
	size_t len;
	uint8_t *data;
};

struct world {
	uint64_t seed, rng;
	int64_t now;
	int machines, voters;
	struct world_machine machine[WORLD_MAX_MACHINES];
	struct world_packet *packets; /* stb_ds */
	int loss, repeat;             /* per mille of messages */
	int reorder;                  /* entries and pieces, too, may pass each other */
	int delay_ms, jitter_ms, disk_ms;
	int delay_us; /* and so much one way, on the average: the world's clock counts whole ms */
	int tick_ms;
	size_t bytes_per_ms; /* of each machine's link, for what is not a heartbeat */
	size_t document_len;
	/* the operator: one document after the other */
	uint64_t proposed, acked, acked_index, pending_index, pending_term;
	int pause_ms; /* between an acknowledgement and the next document */
	int64_t idle_until;
	int pending_at;   /* the machine that logged it; -1: none */
	uint64_t changes; /* acknowledged */
	char violation[300];
	/* figures */
	uint64_t messages, bytes, pieces, piece_bytes, append_bytes;
	size_t peak_memory, peak_disk, peak_in_flight; /* bytes of one machine; of packets between two */
	/* called for each message before it is sent; 0: it is lost */
	int (*filter)(struct world *w, int from, int to, struct Nl__Msg *m);
};

/* A bootstrapped group of three on four machines, with a leader. Example: world_open(&w, 1, 300 << 10); */
void world_open(struct world *world, uint64_t seed, size_t document_len);

/* The same with so many voters, and one machine more. Example: world_open_with(&w, 1, 300, 5); */
void world_open_with(struct world *world, uint64_t seed, size_t document_len, int voters);
void world_close(struct world *world);

/* Let time pass, or until done says so; 0 when something was breached or done never said so.
 * Example: assert_true(world_run(&w, 500, NULL)); */
int world_run(struct world *world, int64_t ms, int (*done)(struct world *w));

/* Have the operator log documents until `count` more are acknowledged. Example: world_change(&w, 10, 20000);
 */
int world_change(struct world *world, uint64_t count, int64_t ms);

/* An operator logs one more document at the leader, and does not wait for it; 0 without a leader. Example:
 * world_log(&w); */
int world_log(struct world *world);

/* Power is lost, with `wipe` the disk and its identity too; power is back. Example: world_crash(&w, 2, 0); */
void world_crash(struct world *world, int machine, int wipe);
void world_start(struct world *world, int machine);

/* A machine hears a packed message now, as from anywhere. Example: world_inject(&w, 2, bytes, len); */
void world_inject(struct world *world, int to, const uint8_t *bytes, size_t len);

/* The machine that leads with a lease, or -1. Example: leader = world_leader(&w); */
int world_leader(const struct world *world);

/* How long, under further changes, until three members vote that have synced and applied all that is
 * acknowledged now; -1 when longer than ms. Example: assert_true(world_catch_up(&w, WORLD_CATCH_UP_MS) >= 0);
 */
int64_t world_catch_up(struct world *world, int64_t ms);

/* Whether three members vote and each has synced and applied all that is acknowledged. Example: if
 * (world_whole(&w)) ... */
int world_fully_replicated(const struct world *world);

/* Bytes that a machine holds in its log and snapshots; on its disk. Example: assert_true(world_memory(&w, 0)
 * < 32 << 20); */
size_t world_memory(const struct world *world, int machine);
size_t world_disk_bytes(const struct world *world, int machine);

/* What every machine holds and believes, for a failure's report. Example: world_print(&w); */
void world_print(const struct world *world);

#endif
