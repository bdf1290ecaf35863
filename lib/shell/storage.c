/* store: a controller's data folder: one TDB file, every record with a checksum, one transaction a batch.
 * Acknowledged only after the transaction's own syncs; a failing disk is retried, never skipped.
 * Each transaction also writes how many records there are and the sum of their checksums (TOTAL_KEY), so that
 * what a loss of power has left is judged by its records: all of them of one transaction, or the file is
 * refused. */
#include <apr_file_io.h>
#include <apr_strings.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <tdb.h>

#include "containers.h"
#include "shell.h"

struct storage_job {
	struct persist write;
	apr_pool_t *pool;
};

enum { STORAGE_MAX_KEY_BYTES = 64 }; /* bytes of a record's key, its end included */

static const char TOTAL_KEY[] = "total";

/* What the file holds besides this record itself. */
struct total {
	uint64_t records, sum;
};

struct record_sum {
	char *key;
	uint64_t value;
};

struct storage {
	struct tdb_context *db;
	struct record_sum *sums; /* stb_ds: the checksum of every record, but for the total's */
	struct total total;
	struct ring *events, *jobs;
	apr_thread_t *thread;
	apr_thread_mutex_t *mutex;
	atomic_int stop;
	uint64_t first_entry[SHARD_COUNT]; /* lowest entry held, 0 = none */
	uint64_t last_entry[SHARD_COUNT];
	_Atomic uint64_t sync_count, refused_count;
	int lock_fd;
	int library_faults; /* that the library has logged */
	int rewrite_due;    /* its records are to be written to a fresh file */
	int torn;           /* a transaction has failed since the file was opened */
	int scrub_due;      /* what was taken away must not stay in freed pages: a fresh file is due */
	const char *fault_file, *folder, *path, *fresh_path;
};

/* A record: 8 bytes checksum over key and body, then the body. Returns whether it was written, and its
 * checksum. */
static int record_write(struct storage *storage, const char *key, const void *head, size_t head_size,
			const void *data, size_t size, uint64_t *sum)
{
	uint8_t *bytes = malloc(8 + head_size + size);
	TDB_DATA key_data = { (unsigned char *)(uintptr_t)key, strlen(key) },
		 value_data = { bytes, 8 + head_size + size };
	int rc;

	if (!bytes)
		abort();
	memcpy(bytes + 8, head, head_size);
	if (size)
		memcpy(bytes + 8 + head_size, data, size);
	*sum = core_hash(core_hash_string(0, key), bytes + 8, head_size + size);
	memcpy(bytes, sum, 8);
	rc = tdb_store(storage->db, key_data, value_data, TDB_REPLACE);
	free(bytes);
	return rc == 0;
}

/* The checksum of a record changes, or the record comes or goes (has 0). */
static void sums_update(struct storage *storage, const char *key, uint64_t sum, int exists)
{
	ptrdiff_t old = shgeti(storage->sums, key);

	if (old >= 0) {
		storage->total.sum -= storage->sums[old].value;
		storage->total.records--;
	}
	if (exists) {
		storage->total.sum += sum;
		storage->total.records++;
		shput(storage->sums, key, sum);
	} else {
		(void)shdel(storage->sums, key);
	}
}

static int put(struct storage *s, const char *key, const void *head, size_t head_size, const void *d,
	       size_t n)
{
	uint64_t sum;

	if (!record_write(s, key, head, head_size, d, n, &sum))
		return 0;
	sums_update(s, key, sum, 1);
	return 1;
}

static int record_delete(struct storage *storage, const char *key)
{
	TDB_DATA key_data = { (unsigned char *)(uintptr_t)key, strlen(key) };

	if (shgeti(storage->sums, key) < 0)
		return 1;
	if (tdb_delete(storage->db, key_data))
		return 0;
	sums_update(storage, key, 0, 0);
	return 1;
}

/* The last write of each transaction. */
static int total_write(struct storage *storage)
{
	uint64_t sum;

	return record_write(storage, TOTAL_KEY, &storage->total, sizeof storage->total, NULL, 0, &sum);
}

static const char *entry_key(char *buf, size_t size, uint32_t shard, uint64_t index)
{
	snprintf(buf, size, "e/%u/%llu", shard, (unsigned long long)index);
	return buf;
}

struct meta {
	uint64_t term, vote;
};
struct snap_head {
	uint64_t base, base_term, members_len, data_len;
};
struct entry_head {
	uint64_t term, kind;
};

static int write_shard(struct storage *storage, const struct persist *w)
{
	struct meta meta = { w->term, w->vote };
	char key[64];
	uint64_t *first = &storage->first_entry[w->shard], *last = &storage->last_entry[w->shard];

	snprintf(key, sizeof key, "m/%u", w->shard);
	if (!put(storage, key, &meta, sizeof meta, NULL, 0))
		return 0;
	for (uint64_t i = w->truncate_from; w->truncate_from && i <= *last; i++)
		if (!record_delete(storage, entry_key(key, sizeof key, w->shard, i)))
			return 0;
	if (w->truncate_from && *last >= w->truncate_from)
		*last = w->truncate_from - 1;
	if (w->has_snapshot) {
		struct snap_head h = { w->snapshot_index, w->snapshot_term, w->members_len, w->data_len };
		uint8_t *payload = malloc(w->members_len + w->data_len + 1);
		int ok;

		if (!payload)
			abort();
		memcpy(payload, w->members, w->members_len);
		memcpy(payload + w->members_len, w->data, w->data_len);
		snprintf(key, sizeof key, "s/%u", w->shard);
		ok = put(storage, key, &h, sizeof h, payload, w->members_len + w->data_len);
		free(payload);
		for (uint64_t i = *first; ok && i && i <= w->drop_upto && i <= *last; i++)
			ok = record_delete(storage, entry_key(key, sizeof key, w->shard, i));
		if (!ok)
			return 0;
		if (*first && *first <= w->drop_upto)
			*first = w->drop_upto + 1;
	}
	for (size_t i = 0; i < w->entry_count; i++) {
		struct entry_head h = { w->entries[i].term, w->entries[i].kind };

		if (!put(storage, entry_key(key, sizeof key, w->shard, w->entries[i].index), &h, sizeof h,
			 w->entries[i].data, w->entries[i].len))
			return 0;
		if (!*first || *first > *last)
			*first = w->entries[i].index;
		*last = w->entries[i].index;
	}
	return 1;
}

/* A rehearsal's fault: a file with the milliseconds that each sync is to take longer. */
static void inject_sync_delay(struct storage *storage)
{
	int64_t began_at_ms = clock_ms(), delay_ms;

	do {
		FILE *file = storage->fault_file ? fopen(storage->fault_file, "r") : NULL;
		long value = 0;

		if (file &&
		    fscanf(file, "%ld", &value) != 1) /* NOLINT(cert-err34-c): a rehearsal's own file */
			value = 0;
		if (file)
			(void)fclose(file);
		delay_ms = value;
		if (delay_ms > 0)
			apr_sleep(5000);
	} while (delay_ms > 0 && clock_ms() - began_at_ms < delay_ms && !storage->stop);
}

/* The library's log: faults are counted, nothing is printed. */
static void count_library_faults(struct tdb_context *db, enum tdb_debug_level level, const char *format, ...)
{
	int *faults = tdb_get_logging_private(db);

	(void)format;
	if (level == TDB_DEBUG_FATAL || level == TDB_DEBUG_ERROR)
		++*faults;
}

static struct tdb_context *file_open(const char *path, int flags, int *faults)
{
	struct tdb_logging_context tdb_logging_context = { count_library_faults, faults };

	return tdb_open_ex(path, 1009, TDB_NOMMAP, flags, 0600, &tdb_logging_context, NULL);
}

static int sums_add_record(struct tdb_context *db, TDB_DATA key, TDB_DATA value, void *store)
{
	char name[STORAGE_MAX_KEY_BYTES];
	uint64_t sum;

	(void)db;
	if (key.dsize >= sizeof name || value.dsize < sizeof sum)
		return -1;
	memcpy(name, key.dptr, key.dsize);
	name[key.dsize] = 0;
	memcpy(&sum, value.dptr, sizeof sum);
	if (strcmp(name, TOTAL_KEY))
		sums_update(store, name, sum, 1);
	return 0;
}

/* A commit that a full disk has stopped may stand, or half of it, and what undoes it is refused as well. Only
 * opening the file tells: the library then takes back what is not whole. So nothing is written before that,
 * and what stands is read again; the batch is then written once more, whether it stands or not. */
static int file_reopen(struct storage *storage)
{
	if (storage->db)
		(void)tdb_close(storage->db);
	storage->db = file_open(storage->path, O_RDWR, &storage->library_faults);
	if (!storage->db)
		return 0;
	shfree(storage->sums);
	sh_new_strdup(storage->sums);
	storage->total = (struct total){ 0, 0 };
	if (tdb_traverse_read(storage->db, sums_add_record, storage) < 0)
		return 0;
	storage->torn = 0;
	return 1;
}

/* A commit whose last write is refused (the mark that it is over) says that it was done, and is taken back at
 * the next opening. The library's log tells. */
static int commit_transaction(struct storage *storage)
{
	int before = storage->library_faults;

	return tdb_transaction_commit(storage->db) == 0 && storage->library_faults == before;
}

static int file_rewrite(struct storage *storage);

/* A file torn outside its records takes no transaction before they stand in a fresh one; a full disk may not
 * let that be yet. */
static int rewrite_if_due(struct storage *storage)
{
	storage->rewrite_due = storage->rewrite_due && !file_rewrite(storage);
	return !storage->rewrite_due;
}

static int write_batch(struct storage *storage, struct storage_job **jobs, size_t count)
{
	uint64_t first[SHARD_COUNT], last[SHARD_COUNT];
	int ok;

	apr_thread_mutex_lock(storage->mutex);
	memcpy(first, storage->first_entry, sizeof first);
	memcpy(last, storage->last_entry, sizeof last);
	ok = (!storage->torn || file_reopen(storage)) && rewrite_if_due(storage) &&
	     tdb_transaction_start(storage->db) == 0;
	if (ok) {
		for (size_t i = 0; i < count && ok; i++)
			ok = write_shard(storage, &jobs[i]->write);
		ok = ok && total_write(storage);
		if (ok)
			ok = commit_transaction(
			    storage); /* syncs; on a fault it has cancelled itself, as far as it could */
		else
			tdb_transaction_cancel(storage->db);
		storage->torn = !ok;
	}
	if (!ok) {
		memcpy(storage->first_entry, first, sizeof first);
		memcpy(storage->last_entry, last, sizeof last);
	} else {
		storage->sync_count++;
	}
	apr_thread_mutex_unlock(storage->mutex);
	return ok;
}

static void folder_sync(const char *folder)
{
	int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

	if (fd < 0)
		return;
	fsync(fd);
	close(fd);
}

static int copy_record(struct tdb_context *db, TDB_DATA key, TDB_DATA value, void *fresh)
{
	(void)db;
	return tdb_store(fresh, key, value, TDB_INSERT);
}

/* Everything goes to a fresh file that takes the old one's name: what was deleted is in neither its records
 * nor its freed pages. A fall at any moment leaves one whole file under that name. */
static int file_rewrite(struct storage *storage)
{
	struct tdb_context *db;
	int before = storage->library_faults, ok;

	(void)unlink(storage->fresh_path);
	db = file_open(storage->fresh_path, O_RDWR | O_CREAT | O_EXCL, &storage->library_faults);
	if (!db)
		return 0;
	ok = tdb_transaction_start(db) == 0;
	if (ok && tdb_traverse_read(storage->db, copy_record, db) < 0) {
		tdb_transaction_cancel(db);
		ok = 0;
	}
	ok = ok && tdb_transaction_commit(db) == 0 && storage->library_faults == before;
	if (ok)
		folder_sync(
		    storage->folder); /* the fresh file's own name must last before it is given another */
	ok = ok && rename(storage->fresh_path, storage->path) == 0;
	if (!ok) {
		tdb_close(db);
		(void)unlink(storage->fresh_path);
		return 0;
	}
	folder_sync(storage->folder);
	tdb_close(storage->db);
	storage->db = db;
	return 1;
}

static void scrub(struct storage *storage)
{
	int ok;

	apr_thread_mutex_lock(storage->mutex);
	ok = file_rewrite(storage);
	apr_thread_mutex_unlock(storage->mutex);
	storage->scrub_due = !ok;
	if (!ok)
		log_write(
		    LOG_ERROR, "store",
		    "Step tidy: no fresh file could be written; what was cleared stays in freed pages until the next batch.");
}

static void *APR_THREAD_FUNC storage_thread(apr_thread_t *thread, void *arg)
{
	struct storage *storage = arg;
	struct storage_job *job[256];

	(void)thread;
	while (!storage->stop) {
		size_t n = 0;
		int bad = 0;

		job[0] = ring_pop(storage->jobs, 100);
		if (!job[0])
			continue;
		for (n = 1; n < 256 && (job[n] = ring_pop(storage->jobs, 0)); n++)
			;
		inject_sync_delay(storage);
		while (!storage->stop &&
		       !write_batch(storage, job,
				    n)) { /* nothing is acknowledged meanwhile: the owner gives up */
			if (!bad)
				log_write(LOG_ERROR, "store",
					  "Step write: the disk refuses (%s); it is tried again.",
					  storage->db ? tdb_errorstr(storage->db) : "it cannot be opened");
			bad = 1;
			storage->refused_count++;
			apr_sleep(200000);
		}
		for (size_t i = 0; i < n; i++)
			storage->scrub_due |= job[i]->write.scrub;
		if (storage->scrub_due && !storage->stop)
			scrub(storage);
		if (bad && !storage->stop)
			log_write(LOG_INFO, "store", "The disk takes writes again.");
		for (size_t i = 0; i < n; i++) {
			struct shell_event *event = shell_event_new(SHELL_EVENT_SYNCED);

			event->shard = job[i]->write.shard;
			event->sequence = job[i]->write.seq;
			apr_pool_destroy(job[i]->pool);
			if (storage->stop)
				shell_event_free(event);
			else
				ring_push(storage->events, event, 1);
		}
	}
	return NULL;
}

/* ---- reading back ---- */

struct reading {
	struct stored_state *f;
	apr_pool_t *p;
	const char *bad;
	struct raft_entry *e[SHARD_COUNT]; /* stb_ds */
	struct storage *store;
	struct total total; /* as the file says */
	int has_total;
	uint64_t records, sum; /* as they are */
};

/* NOLINTNEXTLINE(readability-function-size): one case for each kind of record */
static int read_record(struct tdb_context *db, TDB_DATA k, TDB_DATA v, void *arg)
{
	struct reading *reading = arg;
	char *key = apr_pstrmemdup(reading->p, (char *)k.dptr, k.dsize), *end;
	uint64_t sum;
	uint8_t *b;
	size_t n;
	unsigned long part;

	(void)db;
	if (v.dsize < 8) {
		reading->bad = key;
		return -1;
	}
	memcpy(&sum, v.dptr, 8);
	n = v.dsize - 8;
	b = apr_palloc(reading->p, n + 1);
	memcpy(b, v.dptr + 8, n);
	if (sum != core_hash(core_hash_string(0, key), b, n)) {
		reading->bad = key;
		return -1;
	}
	if (!strcmp(key, TOTAL_KEY) && n == sizeof reading->total) {
		memcpy(&reading->total, b, n);
		reading->has_total = 1;
		return 0;
	}
	if (k.dsize >= STORAGE_MAX_KEY_BYTES) {
		reading->bad = key;
		return -1;
	}
	reading->records++;
	reading->sum += sum;
	sums_update(reading->store, key, sum, 1);
	if (!strcmp(key, "id") && n == 16) {
		memcpy(&reading->f->node_id, b, 8);
		memcpy(&reading->f->fleet_id, b + 8, 8);
		return 0;
	}
	part = strtoul(key + 2, &end, 10);
	if (part >= SHARD_COUNT) {
		reading->bad = key;
		return -1;
	}
	if (key[0] == 'm' && n == sizeof(struct meta)) {
		struct meta meta;

		memcpy(&meta, b, sizeof meta);
		reading->f->shards[part].term = meta.term;
		reading->f->shards[part].vote = meta.vote;
	} else if (key[0] == 's' && n >= sizeof(struct snap_head)) {
		struct snap_head h;
		struct raft_saved *saved = &reading->f->shards[part];

		memcpy(&h, b, sizeof h);
		if (h.members_len + h.data_len != n - sizeof h) {
			reading->bad = key;
			return -1;
		}
		saved->snapshot_index = h.base;
		saved->snapshot_term = h.base_term;
		saved->members = b + sizeof h;
		saved->members_len = h.members_len;
		saved->data = saved->members + h.members_len;
		saved->data_len = h.data_len;
	} else if (key[0] == 'e' && n >= sizeof(struct entry_head) && *end == '/') {
		struct entry_head h;
		struct raft_entry entry;
		uint64_t i = strtoull(end + 1, NULL, 10);

		memcpy(&h, b, sizeof h);
		entry.term = h.term;
		entry.kind = (uint32_t)h.kind;
		entry.len = n - sizeof h;
		entry.data = b + sizeof h;
		memcpy(b, &i,
		       8); /* traversal has no order: the head's place keeps the index until settle sorts */
		arrput(reading->e[part], entry);
	} else {
		reading->bad = key;
		return -1;
	}
	return 0;
}

static uint64_t entry_index(const struct raft_entry *entry)
{
	uint64_t i;

	memcpy(&i, entry->data - sizeof(struct entry_head), 8);
	return i;
}

static int compare_index(const void *left, const void *right)
{
	uint64_t index_a = entry_index(left), index_b = entry_index(right);

	return index_a < index_b ? -1 : index_a > index_b;
}

static const char *settle(struct storage *s, const struct reading *reading, apr_pool_t *pool)
{
	for (int i = 0; i < SHARD_COUNT; i++) {
		struct raft_saved *saved = &reading->f->shards[i];
		struct raft_entry *entry = reading->e[i];

		reading->f->shard_pointers[i] = saved;
		saved->entry_count = (size_t)arrlen(entry);
		if (!saved->entry_count)
			continue;
		qsort(entry, saved->entry_count, sizeof *entry, compare_index);
		saved->first_index = entry_index(&entry[0]);
		saved->entries = apr_palloc(pool, saved->entry_count * sizeof *entry);
		memcpy(saved->entries, entry, saved->entry_count * sizeof *entry);
		for (size_t k = 0; k < saved->entry_count; k++)
			if (entry_index(&entry[k]) != saved->first_index + k)
				return apr_psprintf(pool, "part %d lacks entry %" APR_UINT64_T_FMT, i,
						    saved->first_index + k);
		s->first_entry[i] = saved->first_index;
		s->last_entry[i] = saved->first_index + saved->entry_count - 1;
		if (saved->first_index > saved->snapshot_index + 1)
			return apr_psprintf(pool, "part %d lacks the entries after its snapshot", i);
	}
	return NULL;
}

/* Are these all records of the last transaction, and of no other? The library's own check also looks at what
 * holds no record: it finds fault with a file that lost power while room for a larger transaction was made,
 * though nothing is missing. A file of an earlier version has no total and must pass it. */
static int is_complete(const struct reading *reading, int passes_check)
{
	if (!reading->has_total)
		return passes_check;
	return reading->records == reading->total.records && reading->sum == reading->total.sum;
}

/* NOLINTNEXTLINE(readability-function-size): one check after the other of a data folder */
struct storage *storage_open(const char *folder, const char *fault_file, struct ring *events,
			     struct stored_state *found, const char **error_text, apr_pool_t *pool)
{
	struct storage *storage = apr_pcalloc(pool, sizeof *storage);
	struct reading reading = { .f = found, .p = pool, .store = storage };
	const char *path = apr_pstrcat(pool, folder, "/registrar.tdb", NULL), *problem;
	int passes_check;

	(void)signal(SIGXFSZ, SIG_IGN); /* a full disk is a failed write, not a death */
	memset(found, 0, sizeof *found);
	storage->events = events;
	storage->fault_file = fault_file;
	storage->lock_fd = -1;
	if (mkdir(folder, 0700) && errno != EEXIST) {
		*error_text = apr_psprintf(pool, "step make: %s: %s", folder, strerror(errno));
		return NULL;
	}
	storage->lock_fd = open(apr_pstrcat(pool, folder, "/lock", NULL), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (storage->lock_fd < 0 || flock(storage->lock_fd, LOCK_EX | LOCK_NB)) {
		*error_text = apr_psprintf(
		    pool, "step lock: %s is in use by another registrar, or cannot be written", folder);
		goto bad;
	}
	storage->folder = apr_pstrdup(pool, folder);
	storage->path = path;
	storage->fresh_path = apr_pstrcat(pool, path, ".fresh", NULL);
	(void)unlink(storage->fresh_path); /* of a fall in the middle of its writing */
	storage->db = file_open(path, O_RDWR | O_CREAT, &storage->library_faults);
	if (!storage->db) {
		*error_text = apr_psprintf(
		    pool,
		    "step open: %s is damaged or unreadable (%s); move the folder away and start anew: "
		    "the registrar then joins under a new identity",
		    path, strerror(errno));
		goto bad;
	}
	sh_new_strdup(storage->sums);
	passes_check = tdb_check(storage->db, NULL, NULL) == 0;
	if (tdb_traverse_read(storage->db, read_record, &reading) < 0 || reading.bad ||
	    !is_complete(&reading, passes_check)) {
		*error_text = apr_psprintf(
		    pool,
		    "step check: %s is damaged%s%s; it is not voted with: move the folder away and start anew, "
		    "the registrar then joins under a new identity",
		    path, reading.bad ? " at record " : "", reading.bad ? reading.bad : "");
		goto bad;
	}
	problem = settle(storage, &reading, pool);
	if (problem) {
		*error_text = apr_psprintf(
		    pool, "step check: %s: %s; it is not voted with: move the folder away and start anew",
		    path, problem);
		goto bad;
	}
	storage->rewrite_due = !passes_check && !file_rewrite(storage);
	if (!passes_check)
		log_write(LOG_WARN, "store", "%s was torn outside its records by a loss of power; they %s.",
			  path,
			  storage->rewrite_due ? "are to be written anew before anything else"
					       : "were written anew");
	for (int i = 0; i < SHARD_COUNT; i++)
		arrfree(reading.e[i]);
	folder_sync(folder); /* the file's name must last too */
	apr_thread_mutex_create(&storage->mutex, APR_THREAD_MUTEX_DEFAULT, pool);
	ring_open(&storage->jobs, 65536, pool);
	if (apr_thread_create(&storage->thread, NULL, storage_thread, storage, pool) == APR_SUCCESS)
		return storage;
	*error_text = "step start: no thread for the disk";
bad:
	for (int i = 0; i < SHARD_COUNT; i++)
		arrfree(reading.e[i]);
	shfree(storage->sums);
	if (storage->db)
		tdb_close(storage->db);
	if (storage->lock_fd >= 0)
		close(storage->lock_fd);
	return NULL;
}

int storage_write_identity(struct storage *storage, uint64_t node_id, uint64_t fleet_id)
{
	uint64_t identity[2] = { node_id, fleet_id };
	int ok;

	apr_thread_mutex_lock(storage->mutex);
	ok = (!storage->torn || file_reopen(storage)) && rewrite_if_due(storage) &&
	     tdb_transaction_start(storage->db) == 0;
	if (ok && !(ok = put(storage, "id", identity, sizeof identity, NULL, 0) && total_write(storage)))
		tdb_transaction_cancel(storage->db);
	else if (ok)
		ok = commit_transaction(storage);
	storage->torn |= !ok;
	apr_thread_mutex_unlock(storage->mutex);
	return ok;
}

void storage_write(struct storage *storage, const struct persist *w)
{
	apr_pool_t *pool;
	struct storage_job *job;

	apr_pool_create(&pool, NULL);
	job = apr_palloc(pool, sizeof *job);
	job->pool = pool;
	job->write = *w;
	job->write.entries = apr_palloc(pool, (w->entry_count + 1) * sizeof *w->entries);
	for (size_t i = 0; i < w->entry_count; i++) {
		job->write.entries[i] = w->entries[i];
		job->write.entries[i].data = apr_pmemdup(pool, w->entries[i].data, w->entries[i].len + 1);
	}
	if (w->has_snapshot) {
		job->write.members = apr_pmemdup(pool, w->members, w->members_len + 1);
		job->write.data = apr_pmemdup(pool, w->data, w->data_len + 1);
	}
	ring_push(storage->jobs, job, 1);
}

uint64_t storage_sync_count(const struct storage *storage)
{
	return storage->sync_count;
}
uint64_t storage_refused_count(const struct storage *storage)
{
	return storage->refused_count;
}

void storage_close(struct storage *storage)
{
	apr_status_t st;
	struct storage_job *job;

	storage->stop = 1;
	apr_thread_join(&st, storage->thread);
	while ((job = ring_pop(storage->jobs, 0)))
		apr_pool_destroy(job->pool);
	if (storage->db)
		tdb_close(storage->db);
	shfree(storage->sums);
	close(storage->lock_fd);
}
