/* storage_file: the database file itself: opening, transactions, writing it anew. */
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "containers.h"
#include "storage_internal.h"

enum { TDB_HASH_SIZE = 1009, FILE_MODE = 0600, COPY_BYTES = 65536 };

/* The library's log: faults are counted, nothing is printed. */
static void count_library_faults(struct tdb_context *database, enum tdb_debug_level level, const char *format,
				 ...)
{
	int *faults = tdb_get_logging_private(database);

	(void)format;
	if (level == TDB_DEBUG_FATAL || level == TDB_DEBUG_ERROR)
		++*faults;
}

struct tdb_context *storage_file_open(const char *path, int flags, int *faults)
{
	struct tdb_logging_context logging = { count_library_faults, faults };

	return tdb_open_ex(path, TDB_HASH_SIZE, TDB_NOMMAP, flags, FILE_MODE, &logging, NULL);
}

/* Copies what can be read of a file; false on an error. */
static bool copy_bytes(int from, int to)
{
	char bytes[COPY_BYTES];
	ssize_t size;

	while ((size = read(from, bytes, sizeof bytes)) > 0)
		if (write(to, bytes, (size_t)size) != size)
			return false;
	return size == 0;
}

struct tdb_context *storage_file_open_copy(const char *path, int *faults)
{
	char copy_path[] = P_tmpdir "/notchlug-copy-XXXXXX";
	struct tdb_context *copy = NULL;
	int from = open(path, O_RDONLY | O_CLOEXEC);
	int to = from < 0 ? -1 : mkstemp(copy_path);

	if (to >= 0 && copy_bytes(from, to))
		copy = storage_file_open(copy_path, O_RDWR, faults);
	if (to >= 0) {
		(void)unlink(copy_path);
		close(to);
	}
	if (from >= 0)
		close(from);
	return copy;
}

static int checksum_add_record(struct tdb_context *database, TDB_DATA key, TDB_DATA value, void *storage)
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

/* A commit that a full disk has stopped may stand, or half of it, and what undoes it is refused as well. Only
 * opening the file tells: the library then takes back what is not complete. So nothing is written before
 * that, and what stands is read again; the batch is then written once more, whether it stands or not. */
bool storage_file_reopen(struct storage *storage)
{
	if (storage->database)
		(void)tdb_close(storage->database);
	storage->database = storage_file_open(storage->path, O_RDWR, &storage->library_faults);
	if (!storage->database)
		return false;
	storage_checksums_reset(storage);
	if (tdb_traverse_read(storage->database, checksum_add_record, storage) < 0)
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

static int copy_record(struct tdb_context *database, TDB_DATA key, TDB_DATA value, void *fresh)
{
	(void)database;
	return tdb_store(fresh, key, value, TDB_INSERT);
}

/* Copies all records in one transaction. faults_before: the library's faults before fresh was opened. */
static bool copy_records(struct storage *storage, struct tdb_context *fresh, int faults_before)
{
	if (tdb_transaction_start(fresh))
		return false;
	if (tdb_traverse_read(storage->database, copy_record, fresh) < 0) {
		tdb_transaction_cancel(fresh);
		return false;
	}
	return tdb_transaction_commit(fresh) == 0 && storage->library_faults == faults_before;
}

/* What was deleted is in neither the fresh file's records nor its freed pages. A loss of power at any moment
 * leaves one complete file under the name: the fresh file's own name must last before it is renamed, hence
 * the first sync of the folder. */
bool storage_file_rewrite(struct storage *storage)
{
	int faults_before = storage->library_faults;
	struct tdb_context *fresh;

	(void)unlink(storage->fresh_path);
	fresh = storage_file_open(storage->fresh_path, O_RDWR | O_CREAT | O_EXCL, &storage->library_faults);
	if (!fresh)
		return false;
	if (!copy_records(storage, fresh, faults_before))
		goto failed;
	storage_folder_sync(storage->folder);
	if (rename(storage->fresh_path, storage->path))
		goto failed;
	storage_folder_sync(storage->folder);
	tdb_close(storage->database);
	storage->database = fresh;
	return true;
failed:
	tdb_close(fresh);
	(void)unlink(storage->fresh_path);
	return false;
}

/* A file torn outside its records takes no transaction before they stand in a fresh one; a full disk may not
 * allow that yet. */
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

/* A commit whose last write is refused (the mark that it is over) says that it was done, and is taken back at
 * the next opening. The library's log tells. */
bool storage_transaction_commit(struct storage *storage)
{
	int faults_before = storage->library_faults;

	return tdb_transaction_commit(storage->database) == 0 && storage->library_faults == faults_before;
}
