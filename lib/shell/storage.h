/* storage: a controller's data folder.
 * The folder stores the controller's identity and, for each shard, the state of the Raft group: term and
 * vote, snapshot, log entries. They are checksummed records in one TDB file.
 *
 * Invariant: SHELL_EVENT_SYNCED is
 * sent for a write only after the transaction of the write was synced, and no write is skipped.
 *
 * storage_open
 * fails if the file does not hold exactly the records of its last transaction, because a vote or an
 * acknowledged entry could be missing. If the file holds these records but the disk rejects writes, the
 * folder is opened; no write is acknowledged until the disk accepts writes again. */
#ifndef NL_STORAGE_H
#define NL_STORAGE_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stdint.h>

#include "raft.h"

struct persist;
struct ring;

/* An open data folder. Its writer thread writes all changes of shards; storage_internal.h lists what the
 * mutex protects. */
struct storage;

/* The contents of a data folder at the time it was opened. Byte strings and entries are allocated from the
 * pool of storage_open. */
struct stored_state {
	uint64_t node_id;                      /* 0: the folder is new */
	uint64_t fleet_id;                     /* 0: the controller has not joined a fleet yet */
	struct raft_saved shards[SHARD_COUNT]; /* all zero for a shard without stored records */
	const struct raft_saved
	    *shard_pointers[SHARD_COUNT]; /* pointers to the elements of shards, for controller_open */
};

/* The reason why a data folder could not be opened. */
enum storage_error {
	STORAGE_OK,
	STORAGE_FOLDER_NOT_CREATED, /* mkdir failed */
	STORAGE_FOLDER_LOCKED,    /* another controller uses the folder, or its lock file can't be written */
	STORAGE_FILE_UNREADABLE,  /* the file is not a TDB database, or access to it is denied */
	STORAGE_DISK_FULL,        /* no free space to create or repair the file; no damage was found */
	STORAGE_RECORD_DAMAGED,   /* a record has a wrong checksum or format */
	STORAGE_RECORDS_MISSING,  /* records of the last transaction are missing */
	STORAGE_ENTRY_MISSING,    /* the log of a shard lacks an entry */
	STORAGE_SNAPSHOT_MISSING, /* the log of a shard lacks the entries directly after the snapshot */
	STORAGE_NO_THREAD         /* the writer thread could not be started */
};

/* Details of a failed storage_open. */
struct storage_failure {
	enum storage_error error;
	const char *path;   /* of the folder or file that the error concerns */
	const char *record; /* key of the damaged record; NULL: unknown or not a damaged record */
	int error_number;   /* errno of the failed system call; 0: none */
	int shard;          /* shard whose log lacks an entry or is not connected to its snapshot */
	uint64_t index;     /* log index of the missing entry */
};

/* Format an error as one line without a full stop: the step that failed, the file, and the remedy. Allocated
 * from pool. */
const char *storage_strerror(const struct storage_failure *failure, apr_pool_t *pool);

/* Open a data folder and start its writer thread. Creates the folder if it does not exist, and checks all its
 * records.
 * sync_delay_file: NULL, or for tests a file that contains the milliseconds by which each sync is delayed.
 * events: receives SHELL_EVENT_SYNCED. Returns NULL on an error, with *failure filled in. The storage and
 * *state are valid until pool is destroyed; call storage_close before that. */
struct storage *storage_open(const char *folder, const char *sync_delay_file, struct ring *events,
			     struct stored_state *state, struct storage_failure *failure, apr_pool_t *pool);

/* Queue a change of one shard; the change is copied. SHELL_EVENT_SYNCED with the shard and sequence number is
 * sent after the change was synced to the disk. Blocks only while the queue is full. If the disk rejects the
 * write, it is retried until it succeeds or the storage is closed. */
void storage_write(struct storage *storage, const struct persist *write);

/* Store the controller's identity. Returns true after it was synced, false if the disk rejected the write. */
bool storage_write_identity(struct storage *storage, uint64_t node_id, uint64_t fleet_id);

/* The number of batches that were synced, and of attempts that the disk rejected, since the storage was
 * opened. Both may be called by any thread. */
uint64_t storage_sync_count(const struct storage *storage);
uint64_t storage_rejected_write_count(const struct storage *storage);

/* Stop the writer thread and close the file. Writes that were not synced yet are dropped; none of them was
 * acknowledged. */
void storage_close(struct storage *storage);

#endif
