/* storage_internal: declarations shared by the files of the storage module. Not for other modules.
 * storage.c: opening and closing, identity. storage_file.c: the database file, its reopening and rewriting.
 * storage_record.c: records and their checksums. storage_write.c: batches of changes, the writer thread.
 * storage_load.c: loading and checking of all records. */
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
	STORAGE_MAX_KEY_BYTES = 64, /* of a record's key, including the terminating zero */
	CHECKSUM_BYTES = 8          /* size of the checksum at the start of each record */
};

/* Keys and formats of the records. They are stored on disks of running fleets and must not change:
 *   id            identity_record
 *   total         storage_total
 *   m/SHARD       vote_record
 *   s/SHARD       snapshot_header, members, data
 *   e/SHARD/INDEX entry_header, data
 * Integers are stored in the byte order of the machine. */
#define STORAGE_IDENTITY_KEY "id"
#define STORAGE_TOTAL_KEY "total"

struct identity_record {
	uint64_t node_id;
	uint64_t fleet_id;
};

struct vote_record {
	uint64_t term;
	uint64_t voted_for;
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

/* The total record: the number of all other records and the sum of their checksums. It is the last write of
 * each transaction. After a loss of power it shows whether the file holds exactly the records of one
 * transaction. */
struct storage_total {
	uint64_t record_count;
	uint64_t checksum_sum;
};

struct record_checksum {
	char *key;
	uint64_t value;
};

/* The writer thread writes the changes of shards; storage_write_identity writes from the caller's thread.
 * Both hold mutex, which protects the fields from database to rewrite_pending. Before the writer thread is
 * started and after it has ended, the caller of storage_open owns all fields. */
struct storage {
	struct tdb_context *database;      /* NULL: the file is not open, since it could not be reopened */
	struct record_checksum *checksums; /* stb_ds hash map by record key; without the total record */
	struct storage_total total;        /* count and sum of the elements of checksums */
	uint64_t first_entry_index[SHARD_COUNT]; /* lowest stored log index; 0: none */
	uint64_t last_entry_index[SHARD_COUNT];  /* highest stored log index */
	int tdb_error_count;                     /* errors that TDB has logged */
	bool transaction_failed; /* a transaction failed since the file was opened, so its contents are
				    unknown */
	bool rewrite_pending; /* the file is damaged outside its records; it must be rewritten before the next
			   transaction */
	bool erase_pending;   /* a rewrite must erase deleted records from freed pages; only the writer thread
				 uses this flag */
	apr_thread_mutex_t *mutex;

	struct ring *events;    /* receives SHELL_EVENT_SYNCED */
	struct ring *job_queue; /* of struct storage_job, for the writer thread */
	apr_thread_t *thread;
	atomic_bool stop_requested;
	_Atomic uint64_t sync_count;
	_Atomic uint64_t rejected_write_count;

	/* set once, by storage_open */
	int lock_fd; /* open lock file, which holds the lock of the folder; -1: not open */
	const char *sync_delay_file;
	const char *folder;
	const char *database_path;
	const char *rewrite_path; /* path of the new file while the database is rewritten */
};

/* ---- storage_record.c ---- */

/* Write a record: a checksum over key and body, then the body, which consists of header and data. Returns
 * false if the database rejects the write. */
bool storage_record_put(struct storage *storage, const char *key, const void *header, size_t header_size,
			const void *data, size_t data_size);

/* Delete a record. Returns true also if there is no such record, false if the database rejects the write. */
bool storage_record_delete(struct storage *storage, const char *key);

/* Write the total record. It must be the last write of each transaction. */
bool storage_total_write(struct storage *storage);

/* Set a record's checksum and update the total. */
void storage_checksum_set(struct storage *storage, const char *key, uint64_t checksum);

/* Remove all checksums and set the total to zero. */
void storage_checksums_reset(struct storage *storage);

/* Write the record key of a log entry to buffer, and return buffer. */
const char *storage_entry_key(char *buffer, size_t size, uint32_t shard, uint64_t index);

/* ---- storage_file.c ---- */

/* Open a database file. Errors that TDB logs are counted in *error_count, which must stay valid until the
 * file is closed. Returns NULL and sets errno on an error. */
struct tdb_context *storage_file_open(const char *path, int flags, int *error_count);

/* Open a temporary copy of the database file outside the data folder. TDB rolls back an unfinished
 * transaction in the copy, as it would in the file if the disk accepted the writes. The copy is already
 * unlinked; tdb_close frees its space. Returns NULL if there is no space for the copy or if TDB can't open it
 * either. */
struct tdb_context *storage_file_open_copy(const char *path, int *error_count);

/* Reopen the file after a failed transaction and reload the checksums. Returns false if that fails; the next
 * transaction then tries again. */
bool storage_file_reopen(struct storage *storage);

/* Write all records to a new file and rename it over the old one. Returns false and keeps the old file if the
 * disk rejects a write. */
bool storage_file_rewrite(struct storage *storage);

/* Begin a transaction, after reopening or rewriting the file if that is pending. False on an error. */
bool storage_transaction_begin(struct storage *storage);

/* Commit and sync. Returns false on an error; the contents of the file are then unknown until it is reopened.
 */
bool storage_transaction_commit(struct storage *storage);

/* Sync the folder, so that creations and renames of its files survive a loss of power. */
void storage_folder_sync(const char *folder);

/* ---- storage_load.c ---- */

/* Load all records into *state, check them, and set the checksums and the ranges of log indexes of storage.
 * Returns false and fills in *failure if the file is damaged. passes_tdb_check: whether tdb_check succeeded.
 */
bool storage_load(struct storage *storage, bool passes_tdb_check, struct stored_state *state,
		  struct storage_failure *failure, apr_pool_t *pool);

/* ---- storage_write.c ---- */

/* Start the writer thread. Returns false if it could not be created. */
bool storage_writer_start(struct storage *storage, apr_pool_t *pool);

/* Stop the writer thread and drop the jobs that it has not started. */
void storage_writer_stop(struct storage *storage);

#endif
