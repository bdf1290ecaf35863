/* The data folder after a loss of power at any moment. Writes that were not synced are kept, lost or torn,
 * each by itself; what is left is opened like any folder. It must hold all that was acknowledged, and a
 * transaction whole or not at all. A failing seed prints itself: NL_SEED=n NL_SEEDS=1 build/test_store */
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>
#include <errno.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <signal.h>
#include <tdb.h>

#include "containers.h"
#include "shell.h"

enum {
	LIMIT_MS = 20000,
	SECTOR = 512,
	SHARD = 0,
	TRANSACTIONS = 30,
	FALLS_EACH = 2,     /* losses of power tried in one transaction */
	SMALL = 300,        /* bytes of an ordinary entry */
	LARGE = 700000,     /* bytes of a large one */
	KEPT_ENTRIES = 20,  /* entries that a snapshot leaves in the log */
	SNAPSHOT_EVERY = 9, /* transactions between snapshots */
	IDENTITY = 42,
	FLEET = 43
};

/* ---- a disk that forgets what was not synced ---- */

/* A write since the last sync; data NULL: the file's size was set to offset. */
struct pending {
	off_t offset;
	uint8_t *data;
	size_t length;
};

/* What the file would be after a loss of power, and what must be in it. */
struct fall {
	uint8_t *image;
	size_t length;
};

static struct {
	apr_thread_mutex_t *lock;
	ino_t file;              /* the file that is watched; 0: none */
	uint8_t *synced;         /* stb_ds: what a loss of power cannot take */
	struct pending *pending; /* stb_ds */
	struct fall *falls;      /* stb_ds */
	int falls_left;
	uint64_t random;
	atomic_int writes_until_full; /* 0: it does not fill up by itself */
	atomic_int full;              /* every write is refused */
} disk;

static int is_watched(int fd)
{
	struct stat status;

	return disk.file && !fstat(fd, &status) && status.st_ino == disk.file;
}

static void image_resize(uint8_t **image, size_t length)
{
	size_t old = (size_t)arrlen(*image);

	arrsetlen(*image, length);
	if (length > old)
		memset(*image + old, 0, length - old);
}

static void image_write(uint8_t **image, const struct pending *write, size_t from, size_t to)
{
	if (!write->data) {
		image_resize(image, (size_t)write->offset);
		return;
	}
	if ((size_t)arrlen(*image) < (size_t)write->offset + to)
		image_resize(image, (size_t)write->offset + to);
	memcpy(*image + write->offset + from, write->data + from, to - from);
}

/* Each write that was not synced is kept, lost or kept up to a sector. */
static void power_lost(void)
{
	struct fall fall = { NULL, 0 };
	uint8_t *image = NULL;
	uint64_t mood = core_random(&disk.random) % 4; /* nothing kept, all kept, or each by itself */

	image_resize(&image, (size_t)arrlen(disk.synced));
	if (arrlen(disk.synced))
		memcpy(image, disk.synced, (size_t)arrlen(disk.synced));
	for (ptrdiff_t i = 0; i < arrlen(disk.pending); i++) {
		const struct pending *write = &disk.pending[i];
		uint64_t fate = mood == 0 ? 0 : mood == 1 ? 2 : core_random(&disk.random) % 4;
		size_t half = write->length / 2 / SECTOR * SECTOR;

		if (fate == 1)
			image_write(&image, write, 0, half);
		else if (fate > 1)
			image_write(&image, write, 0, write->length);
	}
	fall.length = (size_t)arrlen(image);
	fall.image = malloc(fall.length + 1);
	assert_non_null(fall.image);
	if (fall.length)
		memcpy(fall.image, image, fall.length);
	arrfree(image);
	arrput(disk.falls, fall);
	disk.falls_left--;
}

static void disk_changes(off_t offset, const void *data, size_t length)
{
	struct pending write = { offset, NULL, length };

	if (data) {
		write.data = malloc(length + 1);
		assert_non_null(write.data);
		memcpy(write.data, data, length);
	}
	arrput(disk.pending, write);
	if (disk.falls_left > 0 && core_random(&disk.random) % 6 == 0)
		power_lost();
}

static void disk_syncs(void)
{
	if (disk.falls_left > 0 && core_random(&disk.random) % 2)
		power_lost();
	for (ptrdiff_t i = 0; i < arrlen(disk.pending); i++) {
		image_write(&disk.synced, &disk.pending[i], 0, disk.pending[i].length);
		free(disk.pending[i].data);
	}
	arrsetlen(disk.pending, 0);
}

/* Whether the disk takes nothing (more). */
static int is_full(int fd)
{
	if (!is_watched(fd))
		return 0;
	if (!disk.full && disk.writes_until_full && --disk.writes_until_full == 0)
		disk.full = 1;
	if (disk.full)
		errno = ENOSPC;
	return disk.full;
}

/* The library's own calls end here. */
ssize_t pwrite(int fd, const void *data, size_t length, off_t offset)
{
	ssize_t written;

	if (is_full(fd))
		return -1;
	written = syscall(SYS_pwrite64, fd, data, length, offset);

	if (written > 0 && is_watched(fd))
		disk_changes(offset, data, (size_t)written);
	return written;
}

ssize_t pwrite64(int fd, const void *data, size_t length, off_t offset)
{
	return pwrite(fd, data, length, offset);
}

int ftruncate(int fd, off_t length)
{
	int result;

	if (is_full(fd))
		return -1;
	result = (int)syscall(SYS_ftruncate, fd, length);
	if (!result && is_watched(fd))
		disk_changes(length, NULL, 0);
	return result;
}

int ftruncate64(int fd, off_t length)
{
	return ftruncate(fd, length);
}

int posix_fallocate(int fd, off_t offset, off_t length)
{
	struct stat status;

	if (fstat(fd, &status))
		return errno;
	return status.st_size >= offset + length || !ftruncate(fd, offset + length) ? 0 : errno;
}

int fsync(int fd)
{
	if (is_watched(fd))
		disk_syncs();
	return 0;
}

int fdatasync(int fd)
{
	return fsync(fd);
}

/* ---- folders ---- */

static void file_of(char *path, size_t size, const char *folder)
{
	snprintf(path, size, "%s/registrar.tdb", folder);
}

static void folder_remove(const char *folder)
{
	char path[200];

	file_of(path, sizeof path, folder);
	unlink(path);
	snprintf(path, sizeof path, "%s/lock", folder);
	unlink(path);
	rmdir(folder);
}

static void watch(const char *folder)
{
	char path[200];
	struct stat status;

	file_of(path, sizeof path, folder);
	assert_return_code(stat(path, &status), 0);
	disk.file = status.st_ino;
	image_resize(&disk.synced, (size_t)status.st_size);
	if (status.st_size) {
		int fd = open(path, O_RDONLY);

		assert_int_equal(read(fd, disk.synced, (size_t)status.st_size), status.st_size);
		close(fd);
	}
}

/* What the product has done to the file is what was recorded of it. */
static void assert_all_was_recorded(const char *folder)
{
	char path[200];
	uint8_t *held;
	struct stat status;
	int fd;

	file_of(path, sizeof path, folder);
	fd = open(path, O_RDONLY);
	assert_return_code(fd, 0);
	assert_return_code(fstat(fd, &status), 0);
	assert_int_equal(status.st_size, arrlen(disk.synced));
	held = malloc((size_t)status.st_size + 1);
	assert_non_null(held);
	assert_int_equal(read(fd, held, (size_t)status.st_size), status.st_size);
	assert_memory_equal(held, disk.synced, (size_t)status.st_size);
	free(held);
	close(fd);
}

/* ---- what is written ---- */

/* The log of one shard as it stands after a transaction. */
struct expected {
	uint64_t term, base, first, last;
};

static size_t entry_size(uint64_t seed, uint64_t index)
{
	uint64_t random = seed * 1000003 + index;
	uint64_t kind = core_random(&random) % 10;

	if (kind == 0)
		return core_random(&random) % LARGE;
	return kind < 3 ? core_random(&random) % (LARGE / 20) : core_random(&random) % SMALL;
}

static uint8_t *entry_data(uint64_t seed, uint64_t index)
{
	size_t size = entry_size(seed, index);
	uint8_t *data = malloc(size + 1);

	assert_non_null(data);
	for (size_t i = 0; i < size; i++)
		data[i] = (uint8_t)(index * 31 + i * 7 + seed);
	return data;
}

static void write_next(struct storage *store, uint64_t seed, uint64_t number, struct expected *state,
		       uint64_t *random)
{
	struct persist write = { 0 };
	struct persist_entry entries[8];
	uint8_t *snapshot = NULL;

	write.shard = SHARD;
	write.seq = number;
	write.term = ++state->term;
	write.vote = 7;
	write.entry_count = 1 + core_random(random) % 4;
	write.entries = entries;
	for (size_t i = 0; i < write.entry_count; i++) {
		uint64_t index = state->last + 1 + i;

		entries[i] = (struct persist_entry){ index, 1, RAFT_ENTRY_OPERATION, entry_size(seed, index),
						     entry_data(seed, index) };
	}
	state->last += write.entry_count;
	if (!state->first)
		state->first = 1;
	if (number % SNAPSHOT_EVERY == 0) {
		write.has_snapshot = 1;
		write.snapshot_index = state->base = state->last - write.entry_count;
		write.snapshot_term = 1;
		write.drop_up_to_index =
		    write.snapshot_index > KEPT_ENTRIES ? write.snapshot_index - KEPT_ENTRIES : 0;
		if (write.drop_up_to_index >= state->first)
			state->first = write.drop_up_to_index + 1;
		write.members = (const uint8_t *)"members";
		write.members_len = strlen("members");
		write.data_len = core_random(random) % LARGE;
		write.data = snapshot = calloc(1, write.data_len + 1);
	}
	storage_write(store, &write);
	for (size_t i = 0; i < write.entry_count; i++)
		free((uint8_t *)(uintptr_t)entries[i].data);
	free(snapshot);
}

static void await_synced(struct ring *ring, uint64_t number)
{
	struct shell_event *event = ring_pop(ring, LIMIT_MS);

	assert_non_null(event);
	assert_int_equal(event->kind, SHELL_EVENT_SYNCED);
	assert_int_equal(event->sequence, number);
	shell_event_free(event);
}

static int holds(const struct stored_state *found, uint64_t seed, const struct expected *state)
{
	const struct raft_saved *shard = &found->shards[SHARD];

	if (found->node_id != IDENTITY || found->fleet_id != FLEET || shard->term != state->term ||
	    shard->snapshot_index != state->base)
		return 0;
	if (!state->last)
		return shard->entry_count == 0;
	if (shard->first_index != state->first || shard->entry_count != state->last - state->first + 1)
		return 0;
	for (size_t i = 0; i < shard->entry_count; i++) {
		uint64_t index = state->first + i;
		uint8_t *data = entry_data(seed, index);
		int same = shard->entries[i].len == entry_size(seed, index) &&
			   !memcmp(shard->entries[i].data, data, shard->entries[i].len);

		free(data);
		if (!same)
			return 0;
	}
	return 1;
}

/* What is opened takes further writes, also when its free space was torn and no fresh file could be made at
 * the start. */
static void assert_goes_on(struct storage *store, struct ring *ring, const struct stored_state *found)
{
	struct persist write = { .shard = SHARD, .seq = 1, .term = found->shards[SHARD].term + 1 };

	storage_write(store, &write);
	await_synced(ring, 1);
}

/* Opens what each loss of power has left. */
static void open_what_is_left(uint64_t seed, uint64_t number, const struct expected *before,
			      const struct expected *after)
{
	for (ptrdiff_t i = 0; i < arrlen(disk.falls); i++) {
		char folder[] = "/tmp/nl-fall-XXXXXX", path[200], in_the_way[200];
		struct stored_state found;
		struct storage *store;
		struct ring *ring;
		struct storage_failure failure;
		apr_pool_t *pool;
		int fd;

		apr_pool_create(&pool, NULL);
		ring_open(&ring, 64, pool);
		assert_non_null(mkdtemp(folder));
		file_of(path, sizeof path, folder);
		fd = open(path, O_WRONLY | O_CREAT, 0600);
		assert_int_equal(write(fd, disk.falls[i].image, disk.falls[i].length), disk.falls[i].length);
		close(fd);
		free(disk.falls[i].image);
		snprintf(in_the_way, sizeof in_the_way, "%s/registrar.tdb.fresh", folder);
		assert_return_code(mkdir(in_the_way, 0700), 0); /* no fresh file can be made */
		store = storage_open(folder, NULL, ring, &found, &failure, pool);
		if (!store)
			fail_msg("seed %llu, transaction %llu: after a loss of power: %s",
				 (unsigned long long)seed, (unsigned long long)number,
				 storage_strerror(&failure, pool));
		if (!holds(&found, seed, before) && !holds(&found, seed, after))
			fail_msg(
			    "seed %llu, transaction %llu: after a loss of power: neither what was before nor what was written stands",
			    (unsigned long long)seed, (unsigned long long)number);
		assert_return_code(rmdir(in_the_way), 0);
		assert_goes_on(store, ring, &found);
		storage_close(store);
		folder_remove(folder);
		apr_pool_destroy(pool);
	}
	arrsetlen(disk.falls, 0);
}

static void run(uint64_t seed)
{
	char folder[] = "/tmp/nl-store-XXXXXX";
	struct expected before = { 0 }, after = { 0 };
	struct stored_state found;
	struct storage *store;
	struct ring *ring;
	struct storage_failure failure;
	apr_pool_t *pool;
	uint64_t random = seed;

	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	assert_non_null(mkdtemp(folder));
	store = storage_open(folder, NULL, ring, &found, &failure, pool);
	assert_non_null(store);
	assert_true(storage_write_identity(store, IDENTITY, FLEET));
	disk.random = seed * 77;
	watch(folder);
	for (uint64_t number = 1; number <= TRANSACTIONS; number++) {
		disk.falls_left = FALLS_EACH;
		write_next(store, seed, number, &after, &random);
		await_synced(ring, number);
		disk.falls_left = 0;
		assert_all_was_recorded(folder);
		open_what_is_left(seed, number, &before, &after);
		before = after;
	}
	disk.file = 0;
	arrsetlen(disk.synced, 0);
	arrsetlen(disk.pending, 0);
	storage_close(store);
	folder_remove(folder);
	apr_pool_destroy(pool);
}

static void a_loss_of_power_leaves_complete_transactions(void **state)
{
	const char *first = getenv("NL_SEED"), *many = getenv("NL_SEEDS");
	uint64_t from = first ? strtoull(first, NULL, 10) : 1, count = many ? strtoull(many, NULL, 10) : 2;

	(void)state;
	for (uint64_t seed = from; seed < from + count; seed++)
		run(seed);
}

/* A disk that fills up in the middle of a transaction, and takes nothing for a while, harms neither what was
 * there nor what comes. */
static void a_disk_that_fills_up_harms_nothing(void **state)
{
	enum { FULL_SEEDS = 4, FULL_TRANSACTIONS = 12, WRITES = 30 };

	(void)state;
	for (uint64_t seed = 1; seed <= FULL_SEEDS; seed++) {
		char folder[] = "/tmp/nl-store-XXXXXX";
		struct expected written = { 0 };
		struct stored_state found;
		struct storage *store;
		struct ring *ring;
		struct storage_failure failure;
		apr_pool_t *pool;
		uint64_t random = seed;

		apr_pool_create(&pool, NULL);
		ring_open(&ring, 64, pool);
		assert_non_null(mkdtemp(folder));
		store = storage_open(folder, NULL, ring, &found, &failure, pool);
		assert_non_null(store);
		assert_true(storage_write_identity(store, IDENTITY, FLEET));
		watch(folder);
		for (uint64_t number = 1; number <= FULL_TRANSACTIONS; number++) {
			uint64_t refused = storage_rejected_write_count(store);
			struct shell_event *event = NULL;

			disk.writes_until_full = 1 + (int)(core_random(&random) % WRITES);
			write_next(store, seed, number, &written, &random);
			for (int64_t end = clock_ms() + LIMIT_MS;
			     !event && storage_rejected_write_count(store) == refused && clock_ms() < end;)
				event = ring_pop(ring, 10);
			disk.writes_until_full = 0;
			disk.full = 0;
			if (event)
				shell_event_free(event);
			else
				await_synced(ring, number);
		}
		disk.file = 0;
		storage_close(store);
		store = storage_open(folder, NULL, ring, &found, &failure, pool);
		if (!store)
			fail_msg("seed %llu: after a full disk: %s", (unsigned long long)seed,
				 storage_strerror(&failure, pool));
		if (!holds(&found, seed, &written))
			fail_msg("seed %llu: after a full disk: what was acknowledged does not stand",
				 (unsigned long long)seed);
		storage_close(store);
		for (ptrdiff_t i = 0; i < arrlen(disk.pending); i++)
			free(disk.pending[i].data);
		arrsetlen(disk.pending, 0);
		arrsetlen(disk.synced, 0);
		folder_remove(folder);
		apr_pool_destroy(pool);
	}
}

/* A commit that a full disk stopped, and the folder opened while the disk still refuses every write: what was
 * acknowledged is there, nothing more is acknowledged, and once the disk takes writes all goes on. */
static void a_folder_opens_while_its_disk_is_full(void **state)
{
	enum { OPENINGS = 40, TRANSACTIONS_BEFORE = 3 };
	int refused_by_library = 0;

	(void)state;
	for (uint64_t seed = 1; seed <= OPENINGS; seed++) {
		char folder[] = "/tmp/nl-store-XXXXXX", path[200];
		struct expected written = { 0 }, stopped;
		struct stored_state found;
		struct storage *store;
		struct ring *ring;
		struct storage_failure failure;
		struct tdb_context *file;
		struct shell_event *event;
		apr_pool_t *pool;
		uint64_t random = seed, refused;

		apr_pool_create(&pool, NULL);
		ring_open(&ring, 64, pool);
		assert_non_null(mkdtemp(folder));
		store = storage_open(folder, NULL, ring, &found, &failure, pool);
		assert_non_null(store);
		assert_true(storage_write_identity(store, IDENTITY, FLEET));
		for (uint64_t number = 1; number <= TRANSACTIONS_BEFORE; number++) {
			write_next(store, seed, number, &written, &random);
			await_synced(ring, number);
		}
		watch(folder);
		stopped = written;
		disk.writes_until_full = (int)seed;
		refused = storage_rejected_write_count(store);
		write_next(store, seed, TRANSACTIONS_BEFORE + 1, &stopped, &random);
		event = NULL;
		for (int64_t end = clock_ms() + LIMIT_MS;
		     !event && storage_rejected_write_count(store) == refused && clock_ms() < end;)
			event = ring_pop(ring, 10);
		if (event) { /* it was over before the disk was full */
			shell_event_free(event);
			written = stopped;
		}
		disk.full = 1;
		storage_close(store);
		file_of(path, sizeof path, folder);
		file = tdb_open(path, 0, TDB_NOMMAP, O_RDWR, 0600);
		refused_by_library += !file;
		if (file)
			tdb_close(file);
		store = storage_open(folder, NULL, ring, &found, &failure, pool);
		if (!store)
			fail_msg("seed %llu: the disk is full: %s", (unsigned long long)seed,
				 storage_strerror(&failure, pool));
		if (!holds(&found, seed, &written) && !holds(&found, seed, &stopped))
			fail_msg("seed %llu: what was acknowledged does not stand", (unsigned long long)seed);
		if (!holds(&found, seed, &written))
			written = stopped;
		refused = storage_rejected_write_count(store);
		write_next(store, seed, TRANSACTIONS_BEFORE + 2, &written, &random);
		for (int64_t end = clock_ms() + LIMIT_MS;
		     storage_rejected_write_count(store) == refused && clock_ms() < end;)
			assert_null(ring_pop(ring, 10));
		disk.writes_until_full = 0;
		disk.full = 0;
		await_synced(ring, TRANSACTIONS_BEFORE + 2);
		disk.file = 0;
		storage_close(store);
		store = storage_open(folder, NULL, ring, &found, &failure, pool);
		assert_non_null(store);
		if (!holds(&found, seed, &written))
			fail_msg("seed %llu: what was acknowledged later does not stand",
				 (unsigned long long)seed);
		storage_close(store);
		for (ptrdiff_t i = 0; i < arrlen(disk.pending); i++)
			free(disk.pending[i].data);
		arrsetlen(disk.pending, 0);
		arrsetlen(disk.synced, 0);
		folder_remove(folder);
		apr_pool_destroy(pool);
	}
	print_message("%d of %d folders the library alone does not open\n", refused_by_library,
		      (int)OPENINGS);
	assert_true(refused_by_library > 0);
}

/* The newest entry is taken out of a file that is otherwise whole: no checksum and no gap in the log tells,
 * the total does. */
static void a_missing_record_is_refused(void **state)
{
	char folder[] = "/tmp/nl-store-XXXXXX", path[200], key[40];
	struct expected written = { 0 };
	struct stored_state found;
	struct storage *store;
	struct ring *ring;
	struct tdb_context *file;
	struct storage_failure failure;
	apr_pool_t *pool;
	uint64_t random = 1;

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	assert_non_null(mkdtemp(folder));
	store = storage_open(folder, NULL, ring, &found, &failure, pool);
	assert_non_null(store);
	assert_true(storage_write_identity(store, IDENTITY, FLEET));
	write_next(store, 1, 1, &written, &random);
	await_synced(ring, 1);
	storage_close(store);
	file_of(path, sizeof path, folder);
	file = tdb_open(path, 0, TDB_NOMMAP, O_RDWR, 0600);
	assert_non_null(file);
	snprintf(key, sizeof key, "e/%d/%llu", SHARD, (unsigned long long)written.last);
	assert_int_equal(tdb_delete(file, (TDB_DATA){ (unsigned char *)key, strlen(key) }), 0);
	tdb_close(file);
	assert_null(storage_open(folder, NULL, ring, &found, &failure, pool));
	assert_int_equal(failure.error, STORAGE_RECORDS_MISSING);
	assert_non_null(strstr(storage_strerror(&failure, pool), "is damaged"));
	folder_remove(folder);
	apr_pool_destroy(pool);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(a_loss_of_power_leaves_complete_transactions),
		cmocka_unit_test(a_disk_that_fills_up_harms_nothing),
		cmocka_unit_test(a_folder_opens_while_its_disk_is_full),
		cmocka_unit_test(a_missing_record_is_refused),
	};
	int rc;

	apr_initialize();
	cmocka_set_test_filter(getenv("NL_TEST"));
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
