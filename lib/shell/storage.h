/* storage: a controller's data folder.
 * It keeps the controller's identity and, for each shard, the replicated log: term and vote, snapshot,
 * entries. All of it stands in one TDB file of checksummed records. bin/ opens it before the controller
 * starts; the process loop writes to it. Invariant: SHELL_EVENT_SYNCED is sent for a write only after its
 * transaction was synced, and a write is never skipped. A folder that doesn't hold exactly the records of its
 * last transaction isn't opened: a vote or an acknowledged entry could be missing. One whose disk refuses
 * writes is opened if it holds them: nothing is acknowledged until the disk takes writes again. */
#ifndef NL_STORAGE_H
#define NL_STORAGE_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stdint.h>

#include "raft.h"

struct persist;
struct ring;

/* An open data folder. A writer thread of its own does all writing; see storage_internal.h for what the mutex
 * protects. */
struct storage;

/* What a data folder held when it was opened. The texts and entries live in the pool of storage_open. */
struct stored_state {
	uint64_t node_id;                      /* 0: a new folder */
	uint64_t fleet_id;                     /* 0: not a member of a fleet yet */
	struct raft_saved shards[SHARD_COUNT]; /* zeroed where nothing was stored */
	const struct raft_saved
	    *shard_pointers[SHARD_COUNT]; /* the elements of shards, as controller_open takes them */
};

/* Why a data folder could not be opened. */
enum storage_error {
	STORAGE_OK,
	STORAGE_FOLDER_NOT_CREATED, /* mkdir failed */
	STORAGE_FOLDER_LOCKED,      /* another controller uses it, or it can't be written */
	STORAGE_FILE_UNREADABLE,    /* not a database, or no permission */
	STORAGE_DISK_FULL,          /* no room to create or repair the file; nothing is known to be damaged */
	STORAGE_RECORD_DAMAGED,     /* a record's checksum or form is wrong */
	STORAGE_RECORDS_MISSING,    /* not all records of the last transaction are there */
	STORAGE_ENTRY_MISSING,      /* the log of a shard has a gap */
	STORAGE_SNAPSHOT_MISSING,   /* the log of a shard begins after the end of its snapshot */
	STORAGE_NO_THREAD           /* the writer thread could not be started */
};

/* An error and what it concerns; filled in by storage_open. */
struct storage_failure {
	enum storage_error error;
	const char *path;   /* of the folder or file */
	const char *record; /* key of a damaged record, or NULL */
	int error_number;   /* errno of a failed system call */
	int shard;          /* of a missing entry or snapshot */
	uint64_t index;     /* of a missing entry */
};

/* One line that says what failed, on what, and what to do; without a full stop. Allocated from pool. */
const char *storage_strerror(const struct storage_failure *failure, apr_pool_t *pool);

/* Open a data folder, create it if needed, check it whole and start its writer thread.
 * fault_file: NULL, or for tests a file with the milliseconds by which each sync is delayed. events: gets
 * SHELL_EVENT_SYNCED. Returns NULL on an error, with *failure filled in. Storage and *found live as long as
 * pool; end it with storage_close before. */
struct storage *storage_open(const char *folder, const char *fault_file, struct ring *events,
			     struct stored_state *found, struct storage_failure *failure, apr_pool_t *pool);

/* Queue one shard's change, which is copied. SHELL_EVENT_SYNCED with its shard and sequence number follows
 * once it is on the disk. Blocks only while the queue is full. A disk that refuses is tried again for as long
 * as the storage is open. */
void storage_write(struct storage *storage, const struct persist *write);

/* Store the controller's identity. Returns true once it is synced, false if the disk refused. */
bool storage_write_identity(struct storage *storage, uint64_t node_id, uint64_t fleet_id);

/* Batches that were synced, and attempts that the disk refused, since the storage was opened. Any thread may
 * read them. */
uint64_t storage_sync_count(const struct storage *storage);
uint64_t storage_refused_count(const struct storage *storage);

/* Stop the writer thread and close the file. Writes that were not synced yet are dropped: nothing of them was
 * acknowledged. */
void storage_close(struct storage *storage);

#endif
