/* storage_file: opening and rewriting of the database file, and its transactions. */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "containers.h"
#include "storage_internal.h"

enum { TDB_HASH_SIZE = 1009, FILE_MODE = 0600, COPY_BUFFER_BYTES = 65536 };

/* TDB's log function: counts errors and prints nothing. */
static void count_tdb_errors(struct tdb_context *database, enum tdb_debug_level level, const char *format,
			     ...)
{
	int *error_count = tdb_get_logging_private(database);

	(void)format;
	if (level == TDB_DEBUG_FATAL || level == TDB_DEBUG_ERROR)
		++*error_count;
}

struct tdb_context *storage_file_open(const char *path, int flags, int *error_count)
{
	struct tdb_logging_context logging = { count_tdb_errors, error_count };

	return tdb_open_ex(path, TDB_HASH_SIZE, TDB_NOMMAP, flags, FILE_MODE, &logging, NULL);
}

/* Copies the contents of a file. Returns false on an error. */
static bool copy_file(int from_fd, int to_fd)
{
	char bytes[COPY_BUFFER_BYTES];
	ssize_t size;

	while ((size = read(from_fd, bytes, sizeof bytes)) > 0)
		if (write(to_fd, bytes, (size_t)size) != size)
			return false;
	return size == 0;
}

struct tdb_context *storage_file_open_copy(const char *path, int *error_count)
{
	char copy_path[] = P_tmpdir "/notchlug-copy-XXXXXX";
	struct tdb_context *copy = NULL;
	int from_fd = open(path, O_RDONLY | O_CLOEXEC);
	int to_fd = from_fd < 0 ? -1 : mkstemp(copy_path);

	if (to_fd >= 0 && copy_file(from_fd, to_fd))
		copy = storage_file_open(copy_path, O_RDWR, error_count);
	if (to_fd >= 0) {
		(void)unlink(copy_path);
		close(to_fd);
	}
	if (from_fd >= 0)
		close(from_fd);
	return copy;
}

static int load_record_checksum(struct tdb_context *database, TDB_DATA key, TDB_DATA value, void *storage)
{
	char name[STORAGE_MAX_KEY_BYTES];
	uint64_t checksum;

	(void)database;
	if (key.dsize >= sizeof name || value.dsize < sizeof checksum)
		return -1;
	memcpy(name, key.dptr, key.dsize);
	name[key.dsize] = 0;
	memcpy(&checksum, value.dptr, sizeof checksum);
	if (strcmp(name, STORAGE_TOTAL_KEY) != 0)
		storage_checksum_set(storage, name, checksum);
	return 0;
}

/* If a full disk interrupts a commit, the file may contain the transaction completely or partly, and the
 * writes that would undo it fail too. TDB rolls back an incomplete transaction only when the file is opened.
 * Therefore the file is reopened and its checksums are reloaded before any other write. The batch is then
 * written again, whether or not its first commit took effect. */
bool storage_file_reopen(struct storage *storage)
{
	if (storage->database)
		(void)tdb_close(storage->database);
	storage->database = storage_file_open(storage->database_path, O_RDWR, &storage->tdb_error_count);
	if (!storage->database)
		return false;
	storage_checksums_reset(storage);
	if (tdb_traverse_read(storage->database, load_record_checksum, storage) < 0)
		return false;
	storage->transaction_failed = false;
	return true;
}

void storage_folder_sync(const char *folder)
{
	int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

	if (fd < 0)
		return;
	fsync(fd);
	close(fd);
}

static int copy_record(struct tdb_context *database, TDB_DATA key, TDB_DATA value, void *new_database)
{
	(void)database;
	return tdb_store(new_database, key, value, TDB_INSERT);
}

/* Copies all records in one transaction. error_count_before: tdb_error_count before new_database was opened.
 */
static bool copy_records(struct storage *storage, struct tdb_context *new_database, int error_count_before)
{
	if (tdb_transaction_start(new_database))
		return false;
	if (tdb_traverse_read(storage->database, copy_record, new_database) < 0) {
		tdb_transaction_cancel(new_database);
		return false;
	}
	return tdb_transaction_commit(new_database) == 0 && storage->tdb_error_count == error_count_before;
}

/* The new file contains no deleted data, neither in records nor in freed pages. After a loss of power at any
 * time, the database path names a complete file. For this the name of the new file must be durable before it
 * is renamed, hence the first sync of the folder. */
bool storage_file_rewrite(struct storage *storage)
{
	int error_count_before = storage->tdb_error_count;
	struct tdb_context *new_database;

	(void)unlink(storage->rewrite_path);
	new_database =
	    storage_file_open(storage->rewrite_path, O_RDWR | O_CREAT | O_EXCL, &storage->tdb_error_count);
	if (!new_database)
		return false;
	if (!copy_records(storage, new_database, error_count_before))
		goto failed;
	storage_folder_sync(storage->folder);
	if (rename(storage->rewrite_path, storage->database_path))
		goto failed;
	storage_folder_sync(storage->folder);
	tdb_close(storage->database);
	storage->database = new_database;
	return true;
failed:
	tdb_close(new_database);
	(void)unlink(storage->rewrite_path);
	return false;
}

/* A file that is damaged outside its records accepts no transaction until its records were copied to a new
 * file. A full disk may prevent that for now. */
static bool rewrite_if_pending(struct storage *storage)
{
	storage->rewrite_pending = storage->rewrite_pending && !storage_file_rewrite(storage);
	return !storage->rewrite_pending;
}

bool storage_transaction_begin(struct storage *storage)
{
	return (!storage->transaction_failed || storage_file_reopen(storage)) &&
	       rewrite_if_pending(storage) && tdb_transaction_start(storage->database) == 0;
}

/* The last write of a commit marks it as complete. If the disk rejects that write, tdb_transaction_commit
 * still returns success, but the transaction is rolled back when the file is opened next. TDB's log reports
 * this error. */
bool storage_transaction_commit(struct storage *storage)
{
	int error_count_before = storage->tdb_error_count;

	return tdb_transaction_commit(storage->database) == 0 &&
	       storage->tdb_error_count == error_count_before;
}
