/* The data folder under snapshots: a group of one member whose writes go to a real folder. Its size, a disk
 * that fills up in the middle of a snapshot, and a process that is killed at any moment. */
#include <apr_general.h>
#include <errno.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "containers.h"
#include "shell.h"

enum { KB = 1024, MB = 1024 * 1024, LIMIT_MS = 60000, SHARD = 0 };

static uint64_t env(const char *name, uint64_t otherwise)
{
	return getenv(name) ? strtoull(getenv(name), NULL, 10) : otherwise;
}

/* One controller's group of one: raft, its folder, and the newest document as its state. */
struct solo {
	apr_pool_t *pool;
	char folder[64];
	struct ring *ring;
	struct storage *store;
	struct stored_state found;
	struct raft raft;
	struct command_list out;
	int64_t now;
	uint8_t *document;
	size_t len;
	uint64_t acked; /* the newest document that is committed; each is its version, over and over */
};

static void fill(uint8_t *d, size_t len, uint64_t version)
{
	for (size_t i = 0; i + sizeof version <= len; i += sizeof version)
		memcpy(d + i, &version, sizeof version);
}

static uint64_t version_of(const uint8_t *d, size_t len)
{
	uint64_t version, other;

	assert_true(len >= sizeof version);
	memcpy(&version, d, sizeof version);
	for (size_t i = 0; i + sizeof version <= len; i += sizeof version) {
		memcpy(&other, d + i, sizeof other);
		assert_true(other == version);
	}
	return version;
}

static void perform(struct solo *s)
{
	raft_flush(&s->raft, s->now, &s->out);
	for (ptrdiff_t i = 0; i < arrlen(s->out.commands); i++)
		if (s->out.commands[i].kind == CMD_PERSIST)
			storage_write(s->store, s->out.commands[i].args.persist);
	command_list_clear(&s->out);
}

static void apply(struct solo *solo)
{
	const struct raft_entry *entry;
	uint64_t index;

	while ((entry = raft_next_committed(&solo->raft, &index))) {
		solo->acked = version_of(entry->data, entry->len);
		memcpy(solo->document, entry->data, entry->len);
	}
	if (raft_needs_snapshot(&solo->raft))
		raft_snapshot(&solo->raft, solo->document, solo->len);
	perform(solo);
}

/* Wait for one sync; 0 when there is none within ms. */
static int take_sync(struct solo *solo, int ms)
{
	struct shell_event *event = ring_pop(solo->ring, ms);

	if (!event)
		return 0;
	assert_int_equal(event->kind, SHELL_EVENT_SYNCED);
	raft_synced(&solo->raft, event->sequence, solo->now, &solo->out);
	shell_event_free(event);
	apply(solo);
	return 1;
}

static int settle(struct solo *s)
{
	while (s->raft.disk.synced_seq < s->raft.disk.requested_seq)
		if (!take_sync(s, LIMIT_MS))
			return 0;
	return 1;
}

static const char *open_folder(struct solo *solo)
{
	struct storage_failure failure;

	solo->store = storage_open(solo->folder, NULL, solo->ring, &solo->found, &failure, solo->pool);
	return solo->store ? NULL : storage_strerror(&failure, solo->pool);
}

/* A leader with a lease: of a new folder, or of what a folder holds. */
static void begin(struct solo *s)
{
	struct raft_member self = { .id = 1, .addr = 101, .voter = 1 };
	const struct raft_saved *saved = s->found.shards[SHARD].term ? &s->found.shards[SHARD] : NULL;

	s->now += 5000;
	raft_open(&s->raft, SHARD, 1, 7, saved, s->now);
	if (!saved)
		raft_bootstrap(&s->raft, &self, 1, s->now, &s->out);
	s->raft.snapshots.to_load = 0;
	for (int i = 0; i < 200 && !raft_has_lease(&s->raft, s->now); i++) {
		s->now += 20;
		raft_tick(&s->raft, s->now, &s->out);
		perform(s);
		assert_true(settle(s));
	}
	assert_true(raft_has_lease(&s->raft, s->now));
}

static void router_fixture_open(struct solo *solo, size_t len)
{
	memset(solo, 0, sizeof *solo);
	apr_pool_create(&solo->pool, NULL);
	apr_pool_create(&solo->out.pool, NULL);
	strcpy(solo->folder, "/tmp/notchlug-store-XXXXXX");
	assert_non_null(mkdtemp(solo->folder));
	ring_open(&solo->ring, 64, solo->pool);
	solo->out.id = 1;
	solo->out.addr = 101;
	solo->now = 100000;
	solo->len = len;
	solo->document = calloc(1, len);
	assert_null(open_folder(solo));
}

static void router_fixture_close(struct solo *solo)
{
	char path[100];

	storage_close(solo->store);
	raft_close(&solo->raft);
	free(solo->document);
	arrfree(solo->out.commands);
	apr_pool_destroy(solo->out.pool);
	apr_pool_destroy(solo->pool);
	snprintf(path, sizeof path, "%s/registrar.tdb", solo->folder);
	unlink(path);
	snprintf(path, sizeof path, "%s/lock", solo->folder);
	unlink(path);
	rmdir(solo->folder);
}

/* Log the next document; its sync is not waited for. */
static void propose(struct solo *solo, uint64_t version)
{
	uint8_t *packed = malloc(solo->len);

	fill(packed, solo->len, version);
	solo->now += 20;
	raft_tick(&solo->raft, solo->now, &solo->out);
	assert_true(raft_propose(&solo->raft, packed, solo->len, solo->now) > 0);
	free(packed);
	perform(solo);
}

static size_t file_size(const struct solo *solo)
{
	char path[100];
	struct stat file_stat;

	snprintf(path, sizeof path, "%s/registrar.tdb", solo->folder);
	return stat(path, &file_stat) ? 0 : (size_t)file_stat.st_size;
}

static void the_file_stays_bounded(void **state)
{
	static const struct {
		size_t len;
		uint64_t changes;
	} run[] = { { 30 * KB, 60 }, { 300 * KB, 60 }, { 1 * MB, 18 }, { 4 * MB, 8 } };

	(void)state;
	for (size_t i = 0; i < sizeof run / sizeof *run; i++) {
		uint64_t changes = env("NL_CHANGES", run[i].changes), snapshots = 0, last = 0;
		struct solo solo;
		struct rusage use;
		size_t peak = 0;

		router_fixture_open(&solo, run[i].len);
		begin(&solo);
		for (uint64_t v = 1; v <= changes; v++) {
			propose(&solo, v);
			assert_true(settle(&solo));
			assert_int_equal(solo.acked, v);
			peak = file_size(&solo) > peak ? file_size(&solo) : peak;
			snapshots += solo.raft.snapshots.newest.index != last;
			last = solo.raft.snapshots.newest.index;
		}
		getrusage(RUSAGE_SELF, &use);
		print_message(
		    "%zu KB documents, %llu changes, %llu snapshots: the file has at most %zu KB; the process had %ld KB\n",
		    run[i].len / KB, (unsigned long long)changes, (unsigned long long)snapshots, peak / KB,
		    use.ru_maxrss);
		assert_true(peak < 100 * MB);
		router_fixture_close(&solo);
	}
}

/* What a folder gives back: the snapshot, the entries behind it without a gap, and nothing that was
 * acknowledged is missing. */
static void assert_holds(struct solo *solo, uint64_t acked)
{
	const struct raft_saved *saved = &solo->found.shards[SHARD];
	uint64_t newest = 0;

	assert_true(saved->term > 0);
	if (saved->snapshot_index)
		newest = version_of(saved->data, saved->data_len);
	for (size_t i = 0; i < saved->entry_count; i++) {
		uint64_t version;

		if (saved->entries[i].kind != RAFT_ENTRY_OPERATION)
			continue;
		version = version_of(saved->entries[i].data, saved->entries[i].len);
		if (saved->first_index + i <= saved->snapshot_index)
			continue;
		assert_int_equal(version, newest + 1);
		newest = version;
	}
	assert_true(newest >= acked);
}

/* The disk fills up while a snapshot is written: nothing is acknowledged, and a fall then loses nothing. Once
 * there is room the same writes go on. */
static void a_disk_that_fills_up_in_a_snapshot_loses_nothing(void **state)
{
	struct solo solo;
	struct rlimit was, full;
	uint64_t v = 0, acked;

	(void)state;
	signal(SIGXFSZ, SIG_IGN);
	assert_return_code(getrlimit(RLIMIT_FSIZE, &was), 0);
	router_fixture_open(&solo, 1 * MB);
	begin(&solo);
	while (solo.raft.log.applied_bytes + solo.len < RAFT_SNAPSHOT_LOG_BYTES) {
		propose(&solo, ++v);
		assert_true(settle(&solo));
	}
	propose(&solo, ++v); /* with this one a snapshot is due */
	full = was;
	full.rlim_cur = file_size(&solo);
	while (solo.raft.snapshots.newest.index == 0) /* its entry is synced, and the snapshot asked for */
		assert_true(take_sync(&solo, LIMIT_MS));
	assert_return_code(setrlimit(RLIMIT_FSIZE, &full), 0);
	acked = solo.acked;
	while (solo.raft.disk.synced_seq < solo.raft.disk.requested_seq &&
	       storage_refused_count(solo.store) < 2) /* or it came before the disk was full */
		(void)take_sync(&solo, 20);
	for (int i = 0; storage_refused_count(solo.store) < 2; i++) { /* more, until nothing fits */
		if (solo.raft.disk.synced_seq == solo.raft.disk.requested_seq)
			propose(&solo, ++v);
		(void)take_sync(&solo, 20);
		acked = solo.acked;
		assert_true(i < 1000);
	}
	storage_close(solo.store); /* the fall */
	assert_return_code(setrlimit(RLIMIT_FSIZE, &was), 0);
	while (take_sync(&solo, 0))
		;
	raft_close(&solo.raft);
	assert_null(open_folder(&solo));
	assert_holds(&solo, acked);
	begin(&solo);
	propose(&solo, v + 1);
	assert_true(settle(&solo));
	assert_int_equal(solo.acked, v + 1);
	router_fixture_close(&solo);
}

/* In a process of its own: documents without end; each acknowledgement goes through the pipe. */
static void write_until_killed(struct solo *solo, uint64_t from, int to_parent)
{
	for (uint64_t v = from;; v++) {
		propose(solo, v);
		if (!settle(solo) || write(to_parent, &solo->acked, sizeof solo->acked) != sizeof solo->acked)
			_exit(1);
	}
}

/* Killed in the middle of writes, snapshots and trims: all that was acknowledged is there, and the process
 * goes on from it. */
static void a_kill_at_any_moment_loses_nothing(void **state)
{
	uint64_t first = env("NL_SEED", 1), seeds = env("NL_SEEDS", 3);

	(void)state;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		uint64_t rng = seed, acked = 0, kills = 3;
		struct solo solo;

		router_fixture_open(&solo, 700 * KB);
		storage_close(solo.store);
		while (kills--) {
			uint64_t until = acked + 1 + core_random(&rng) % 8, more = core_random(&rng) % 3000;
			int pipe_ends[2], status;
			pid_t child;

			assert_return_code(pipe(pipe_ends), errno);
			child = fork();
			if (!child) {
				if (open_folder(&solo))
					_exit(2);
				begin(&solo);
				write_until_killed(&solo, solo.raft.log.applied_index ? solo.acked + 1 : 1,
						   pipe_ends[1]);
			}
			close(pipe_ends[1]);
			while (acked < until)
				if (read(pipe_ends[0], &acked, sizeof acked) != sizeof acked)
					fail_msg("seed %llu: the writer ended by itself",
						 (unsigned long long)seed);
			for (volatile uint64_t spin = 0; spin < more * 1000;
			     spin++) /* somewhere in the next write */
				;
			kill(child, SIGKILL);
			while (read(pipe_ends[0], &acked, sizeof acked) == sizeof acked)
				;
			close(pipe_ends[0]);
			waitpid(child, &status, 0);
			assert_true(WIFSIGNALED(status));
			assert_null(open_folder(&solo));
			assert_holds(&solo, acked);
			storage_close(solo.store);
		}
		assert_null(open_folder(&solo));
		router_fixture_close(&solo);
	}
}

int main(void)
{
	const struct CMUnitTest t[] = {
		cmocka_unit_test(the_file_stays_bounded),
		cmocka_unit_test(a_disk_that_fills_up_in_a_snapshot_loses_nothing),
		cmocka_unit_test(a_kill_at_any_moment_loses_nothing),
	};

	if (getenv("NL_TEST")) /* one test alone, for long runs */
		cmocka_set_test_filter(getenv("NL_TEST"));
	apr_initialize();
	return cmocka_run_group_tests(t, NULL, NULL);
}
