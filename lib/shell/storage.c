/* storage: opening and closing a data folder, the controller's identity; see storage.h. */
#include "storage.h"

#include <apr_strings.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "containers.h"
#include "log.h"
#include "storage_internal.h"

enum { FOLDER_MODE = 0700, LOCK_MODE = 0600 };

/* The name must not change: data folders of running fleets contain this file. */
#define DATABASE_NAME "/registrar.tdb"
#define LOCK_NAME "/lock"

/* The operator's remedy for a damaged file. */
#define REMEDY "move the folder away and restart the controller, which then joins under a new identity"

const char *storage_strerror(const struct storage_failure *failure, apr_pool_t *pool)
{
	const char *path = failure->path;

	switch (failure->error) {
	case STORAGE_OK:
		return "no error";
	case STORAGE_FOLDER_NOT_CREATED:
		return apr_psprintf(pool, "step make: cannot create the data folder %s: %s", path,
				    strerror(failure->error_number));
	case STORAGE_FOLDER_LOCKED:
		return apr_psprintf(
		    pool,
		    "step lock: the data folder %s is in use by another controller, or cannot be written",
		    path);
	case STORAGE_FILE_UNREADABLE:
		return apr_psprintf(pool, "step open: the file %s is damaged or unreadable (%s); " REMEDY,
				    path, strerror(failure->error_number));
	case STORAGE_DISK_FULL:
		return apr_psprintf(
		    pool,
		    "step open: the disk rejects writes to %s (%s); free disk space and restart the controller",
		    path, strerror(failure->error_number));
	case STORAGE_RECORD_DAMAGED:
		return apr_psprintf(
		    pool,
		    "step check: the file %s is damaged at record %s; this controller does not vote: " REMEDY,
		    path, failure->record ? failure->record : "(unknown)");
	case STORAGE_RECORDS_MISSING:
		return apr_psprintf(
		    pool,
		    "step check: the file %s is damaged: records of its last transaction are missing; "
		    "this controller does not vote: " REMEDY,
		    path);
	case STORAGE_ENTRY_MISSING:
		return apr_psprintf(
		    pool,
		    "step check: the file %s is damaged: the log of shard %d lacks entry %" PRIu64
		    "; this controller does not vote: " REMEDY,
		    path, failure->shard, failure->index);
	case STORAGE_SNAPSHOT_MISSING:
		return apr_psprintf(
		    pool,
		    "step check: the file %s is damaged: the log of shard %d lacks the entries after its snapshot; "
		    "this controller does not vote: " REMEDY,
		    path, failure->shard);
	case STORAGE_NO_THREAD:
		return apr_psprintf(pool, "step start: cannot create the writer thread for %s", path);
	}
	return "unknown error";
}

static enum storage_error lock_folder(struct storage *storage, struct storage_failure *failure,
				      apr_pool_t *pool)
{
	failure->path = storage->folder;
	if (mkdir(storage->folder, FOLDER_MODE) && errno != EEXIST) {
		failure->error_number = errno;
		return STORAGE_FOLDER_NOT_CREATED;
	}
	storage->lock_fd = open(apr_pstrcat(pool, storage->folder, LOCK_NAME, NULL),
				O_RDWR | O_CREAT | O_CLOEXEC, LOCK_MODE);
	if (storage->lock_fd < 0 || flock(storage->lock_fd, LOCK_EX | LOCK_NB))
		return STORAGE_FOLDER_LOCKED;
	return STORAGE_OK;
}

/* Loads a file that TDB can't open because the disk rejects the writes that roll back an unfinished
 * transaction. The records are loaded from a copy. The file itself is reopened before the first transaction,
 * as after a failed transaction. */
static enum storage_error load_from_copy(struct storage *storage, struct stored_state *state,
					 struct storage_failure *failure, apr_pool_t *pool)
{
	bool passes_tdb_check;
	bool loaded;

	storage->database = storage_file_open_copy(storage->database_path, &storage->tdb_error_count);
	if (!storage->database)
		return failure->error_number == ENOSPC || failure->error_number == EDQUOT
			   ? STORAGE_DISK_FULL
			   : STORAGE_FILE_UNREADABLE;
	passes_tdb_check = tdb_check(storage->database, NULL, NULL) == 0;
	loaded = storage_load(storage, passes_tdb_check, state, failure, pool);
	(void)tdb_close(storage->database);
	storage->database = NULL;
	if (!loaded)
		return failure->error;
	storage->transaction_failed = true;
	storage->rewrite_pending = !passes_tdb_check;
	log_write(LOG_WARN, "storage",
		  "The disk rejects writes to %s; no write is acknowledged until it accepts them.",
		  storage->database_path);
	return STORAGE_OK;
}

/* Opens the database file and loads its records. A file that is damaged only outside its records is complete,
 * but a transaction on it would fail. It is rewritten at once or, if the disk is full, before the first
 * transaction. */
static enum storage_error open_database_file(struct storage *storage, struct stored_state *state,
					     struct storage_failure *failure, apr_pool_t *pool)
{
	bool passes_tdb_check;

	failure->path = storage->database_path;
	(void)unlink(storage->rewrite_path); /* left by a crash during a rewrite */
	storage->database =
	    storage_file_open(storage->database_path, O_RDWR | O_CREAT, &storage->tdb_error_count);
	if (!storage->database) {
		failure->error_number = errno;
		return load_from_copy(storage, state, failure, pool);
	}
	passes_tdb_check = tdb_check(storage->database, NULL, NULL) == 0;
	if (!storage_load(storage, passes_tdb_check, state, failure, pool))
		return failure->error;
	storage->rewrite_pending = !passes_tdb_check && !storage_file_rewrite(storage);
	if (!passes_tdb_check)
		log_write(LOG_WARN, "storage",
			  "The file %s was damaged outside its records by a loss of power; the records %s.",
			  storage->database_path,
			  storage->rewrite_pending ? "will be rewritten before the next write"
						   : "were rewritten");
	storage_folder_sync(storage->folder); /* so that the new file's name survives a loss of power */
	return STORAGE_OK;
}

/* Closes files and frees memory outside the pool. storage may be only partly opened. */
static void release_resources(struct storage *storage)
{
	if (storage->database)
		tdb_close(storage->database);
	shfree(storage->checksums);
	if (storage->lock_fd >= 0)
		close(storage->lock_fd);
}

struct storage *storage_open(const char *folder, const char *sync_delay_file, struct ring *events,
			     struct stored_state *state, struct storage_failure *failure, apr_pool_t *pool)
{
	struct storage *storage = apr_pcalloc(pool, sizeof *storage);

	(void)signal(
	    SIGXFSZ,
	    SIG_IGN); /* a write beyond the file size limit then fails and does not end the process */
	memset(state, 0, sizeof *state);
	*failure = (struct storage_failure){ 0 };
	storage->events = events;
	storage->sync_delay_file = sync_delay_file;
	storage->lock_fd = -1;
	storage->folder = apr_pstrdup(pool, folder);
	storage->database_path = apr_pstrcat(pool, folder, DATABASE_NAME, NULL);
	storage->rewrite_path = apr_pstrcat(pool, storage->database_path, ".fresh", NULL);
	apr_thread_mutex_create(&storage->mutex, APR_THREAD_MUTEX_DEFAULT, pool);
	failure->error = lock_folder(storage, failure, pool);
	if (failure->error == STORAGE_OK)
		failure->error = open_database_file(storage, state, failure, pool);
	if (failure->error == STORAGE_OK && !storage_writer_start(storage, pool))
		failure->error = STORAGE_NO_THREAD;
	if (failure->error == STORAGE_OK)
		return storage;
	release_resources(storage);
	return NULL;
}

bool storage_write_identity(struct storage *storage, uint64_t node_id, uint64_t fleet_id)
{
	struct identity_record identity = { node_id, fleet_id };
	bool written;

	apr_thread_mutex_lock(storage->mutex);
	written = storage_transaction_begin(storage);
	if (written) {
		written =
		    storage_record_put(storage, STORAGE_IDENTITY_KEY, &identity, sizeof identity, NULL, 0) &&
		    storage_total_write(storage);
		if (written)
			written = storage_transaction_commit(storage);
		else
			tdb_transaction_cancel(storage->database);
	}
	if (!written)
		storage->transaction_failed = true;
	apr_thread_mutex_unlock(storage->mutex);
	return written;
}

uint64_t storage_sync_count(const struct storage *storage)
{
	return storage->sync_count;
}

uint64_t storage_rejected_write_count(const struct storage *storage)
{
	return storage->rejected_write_count;
}

void storage_close(struct storage *storage)
{
	storage_writer_stop(storage);
	release_resources(storage);
}
