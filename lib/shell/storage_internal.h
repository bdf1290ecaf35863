/* storage_internal: what the files of the storage module share. Not for other modules.
 *   storage.c         opening, closing, identity       storage_file.c    the database file: opening anew,
 * writing anew storage_record.c  records and their checksums      storage_write.c   batches of changes, the
 * writer thread storage_load.c    reading back and checking */
#ifndef NL_STORAGE_INTERNAL_H
#define NL_STORAGE_INTERNAL_H

#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <tdb.h>

#include "core.h"
#include "storage.h"

enum {
	STORAGE_MAX_KEY_BYTES = 64, /* of a record's key, its terminating zero included */
	CHECKSUM_BYTES = 8          /* at the start of each record */
};

/* Keys and forms of the records. They stand on disks of running fleets and must stay as they are:
 *   id            identity_record
 *   total         storage_total
 *   m/SHARD       vote_record
 *   s/SHARD       snapshot_header, members, data
 *   e/SHARD/INDEX entry_header, data
 * Integers have the byte order of the machine. */
#define STORAGE_IDENTITY_KEY "id"
#define STORAGE_TOTAL_KEY "total"

struct identity_record {
	uint64_t node_id;
	uint64_t fleet_id;
};

struct vote_record {
	uint64_t term;
	uint64_t vote;
};

struct snapshot_header {
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	uint64_t members_len;
	uint64_t data_len;
};

struct entry_header {
	uint64_t term;
	uint64_t kind;
};

/* The number of records, this one not counted, and the sum of their checksums. The last write of each
 * transaction, so that a file after a loss of power shows whether it holds the records of one transaction and
 * no others. */
struct storage_total {
	uint64_t records;
	uint64_t checksum_sum;
};

struct record_checksum {
	char *key;
	uint64_t value;
};

/* The writer thread writes; storage_write_identity may write from the owner's thread. Both do it under mutex,
 * which protects all from database to rewrite_due. Before the thread starts and after it has ended, the
 * caller of storage_open owns everything. */
struct storage {
	struct tdb_context *database;      /* NULL: it could not be opened anew */
	struct record_checksum *checksums; /* stb_ds: by key, of every record but the total's */
	struct storage_total total;        /* of checksums */
	uint64_t first_entry[SHARD_COUNT]; /* lowest index stored; 0: none */
	uint64_t last_entry[SHARD_COUNT];  /* highest index stored */
	int library_faults;                /* that TDB has logged */
	bool transaction_failed;           /* since the file was opened: what it holds is not known */
	bool rewrite_pending;              /* the file is torn outside its records and takes no transaction */
	bool scrub_pending; /* deleted records must not stay in freed pages; the writer thread's alone */
	apr_thread_mutex_t *mutex;

	struct ring *events; /* where SHELL_EVENT_SYNCED goes */
	struct ring *jobs;   /* of struct storage_job: to the writer thread */
	apr_thread_t *thread;
	atomic_bool stop;
	_Atomic uint64_t sync_count;
	_Atomic uint64_t refused_count;

	/* set once by storage_open */
	int lock_fd; /* holds the folder's lock; -1: not locked */
	const char *fault_file;
	const char *folder;
	const char *path;       /* of the database file */
	const char *fresh_path; /* under which it is written anew */
};

/* ---- storage_record.c ---- */

/* Write a record: checksum over key and body, then the body, which is head and then data. False when the file
 * refuses. */
bool storage_record_put(struct storage *storage, const char *key, const void *head, size_t head_size,
			const void *data, size_t size);

/* Delete a record; one that isn't there counts as deleted. False when the file refuses. */
bool storage_record_delete(struct storage *storage, const char *key);

/* Write the total record; the last write of each transaction. */
bool storage_total_write(struct storage *storage);

/* Note a record's checksum in the total. */
void storage_checksum_set(struct storage *storage, const char *key, uint64_t checksum);

/* Forget all checksums, and begin with none. */
void storage_checksums_reset(struct storage *storage);

/* The key of a log entry, in buffer. */
const char *storage_entry_key(char *buffer, size_t size, uint32_t shard, uint64_t index);

/* ---- storage_file.c ---- */

/* Open a database file; faults that the library logs are counted in *faults, which must outlive it. NULL with
 * errno on an error. */
struct tdb_context *storage_file_open(const char *path, int flags, int *faults);

/* Open a copy of the database file outside the data folder, which ends with tdb_close: what the file would
 * hold once the library has taken back an unfinished transaction, where the disk refuses the writes that this
 * needs. NULL when there is no room for the copy or it can't be opened either. */
struct tdb_context *storage_file_open_copy(const char *path, int *faults);

/* Open the file anew after a failed transaction and read its checksums again. False when that fails; it stays
 * due. */
bool storage_file_reopen(struct storage *storage);

/* Write all records to a fresh file that takes the old one's name. False when the disk refuses; the old one
 * then stays. */
bool storage_file_rewrite(struct storage *storage);

/* Make the file ready for a transaction and begin it. */
bool storage_transaction_begin(struct storage *storage);

/* Commit, which syncs. On false the file must be opened anew to know what it holds. */
bool storage_transaction_commit(struct storage *storage);

/* Sync the folder, so that the names in it last. */
void storage_folder_sync(const char *folder);

/* ---- storage_load.c ---- */

/* Read and check all records into *found, and set the checksums and entry ranges of storage. False with
 * *failure on damage. passes_check: the result of TDB's own check of the file. */
bool storage_load(struct storage *storage, bool passes_check, struct stored_state *found,
		  struct storage_failure *failure, apr_pool_t *pool);

/* ---- storage_write.c ---- */

/* Start the writer thread. False when there is none. */
bool storage_writer_start(struct storage *storage, apr_pool_t *pool);

/* Stop the writer thread and drop the jobs that it has not begun. */
void storage_writer_stop(struct storage *storage);

#endif
