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
struct store_fixture {
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

static uint64_t version_of(const uint8_t *document, size_t len)
{
	uint64_t version, other;

	assert_true(len >= sizeof version);
	memcpy(&version, document, sizeof version);
	for (size_t i = 0; i + sizeof version <= len; i += sizeof version) {
		memcpy(&other, document + i, sizeof other);
		assert_true(other == version);
	}
	return version;
}

static void perform(struct store_fixture *s)
{
	raft_flush(&s->raft, s->now, &s->out);
	for (ptrdiff_t i = 0; i < arrlen(s->out.commands); i++)
		if (s->out.commands[i].kind == CMD_PERSIST)
			storage_write(s->store, s->out.commands[i].args.persist);
	command_list_clear(&s->out);
}

static void apply(struct store_fixture *fixture)
{
	const struct raft_entry *entry;
	uint64_t index;

	while ((entry = raft_next_committed(&fixture->raft, &index))) {
		fixture->acked = version_of(entry->data, entry->len);
		memcpy(fixture->document, entry->data, entry->len);
	}
	if (raft_needs_snapshot(&fixture->raft))
		raft_take_snapshot(&fixture->raft, fixture->document, fixture->len);
	perform(fixture);
}

/* Wait for one sync; 0 when there is none within ms. */
static int take_sync(struct store_fixture *fixture, int ms)
{
	struct shell_event *event = ring_pop(fixture->ring, ms);

	if (!event)
		return 0;
	assert_int_equal(event->kind, SHELL_EVENT_SYNCED);
	raft_synced(&fixture->raft, event->sequence, fixture->now, &fixture->out);
	shell_event_free(event);
	apply(fixture);
	return 1;
}

static int settle(struct store_fixture *s)
{
	while (s->raft.disk.completed_sync_seq < s->raft.disk.requested_sync_seq)
		if (!take_sync(s, LIMIT_MS))
			return 0;
	return 1;
}

static const char *open_folder(struct store_fixture *fixture)
{
	struct storage_failure failure;

	fixture->store =
	    storage_open(fixture->folder, NULL, fixture->ring, &fixture->found, &failure, fixture->pool);
	return fixture->store ? NULL : storage_strerror(&failure, fixture->pool);
}

/* A leader with a lease: of a new folder, or of what a folder holds. */
static void begin(struct store_fixture *s)
{
	struct raft_member self = { .id = 1, .addr = 101, .voter = 1 };
	const struct raft_saved *saved = s->found.shards[SHARD].term ? &s->found.shards[SHARD] : NULL;

	s->now += 5000;
	raft_open(&s->raft, SHARD, 1, 7, saved, s->now);
	if (!saved)
		raft_bootstrap(&s->raft, &self, 1, s->now);
	s->raft.snapshots.must_load_newest = 0;
	for (int i = 0; i < 200 && !raft_has_lease(&s->raft, s->now); i++) {
		s->now += 20;
		raft_tick(&s->raft, s->now, &s->out);
		perform(s);
		assert_true(settle(s));
	}
	assert_true(raft_has_lease(&s->raft, s->now));
}

static void store_fixture_open(struct store_fixture *fixture, size_t len)
{
	memset(fixture, 0, sizeof *fixture);
	apr_pool_create(&fixture->pool, NULL);
	apr_pool_create(&fixture->out.pool, NULL);
	strcpy(fixture->folder, "/tmp/notchlug-store-XXXXXX");
	assert_non_null(mkdtemp(fixture->folder));
	ring_open(&fixture->ring, 64, fixture->pool);
	fixture->out.id = 1;
	fixture->out.addr = 101;
	fixture->now = 100000;
	fixture->len = len;
	fixture->document = calloc(1, len);
	assert_null(open_folder(fixture));
}

static void store_fixture_close(struct store_fixture *fixture)
{
	char path[100];

	storage_close(fixture->store);
	raft_close(&fixture->raft);
	free(fixture->document);
	arrfree(fixture->out.commands);
	apr_pool_destroy(fixture->out.pool);
	apr_pool_destroy(fixture->pool);
	snprintf(path, sizeof path, "%s/registrar.tdb", fixture->folder);
	unlink(path);
	snprintf(path, sizeof path, "%s/lock", fixture->folder);
	unlink(path);
	rmdir(fixture->folder);
}

/* Log the next document; its sync is not waited for. */
static void propose(struct store_fixture *fixture, uint64_t version)
{
	uint8_t *packed = malloc(fixture->len);

	fill(packed, fixture->len, version);
	fixture->now += 20;
	raft_tick(&fixture->raft, fixture->now, &fixture->out);
	assert_true(raft_propose(&fixture->raft, packed, fixture->len, fixture->now) > 0);
	free(packed);
	perform(fixture);
}

static size_t file_size(const struct store_fixture *fixture)
{
	char path[100];
	struct stat file_stat;

	snprintf(path, sizeof path, "%s/registrar.tdb", fixture->folder);
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
		struct store_fixture fixture;
		struct rusage use;
		size_t peak = 0;

		store_fixture_open(&fixture, run[i].len);
		begin(&fixture);
		for (uint64_t v = 1; v <= changes; v++) {
			propose(&fixture, v);
			assert_true(settle(&fixture));
			assert_int_equal(fixture.acked, v);
			peak = file_size(&fixture) > peak ? file_size(&fixture) : peak;
			snapshots += fixture.raft.snapshots.newest.index != last;
			last = fixture.raft.snapshots.newest.index;
		}
		getrusage(RUSAGE_SELF, &use);
		print_message(
		    "%zu KB documents, %llu changes, %llu snapshots: the file has at most %zu KB; the process had %ld KB\n",
		    run[i].len / KB, (unsigned long long)changes, (unsigned long long)snapshots, peak / KB,
		    use.ru_maxrss);
		assert_true(peak < 100 * MB);
		store_fixture_close(&fixture);
	}
}

/* What a folder gives back: the snapshot, the entries behind it without a gap, and nothing that was
 * acknowledged is missing. */
static void assert_holds(struct store_fixture *fixture, uint64_t acked)
{
	const struct raft_saved *saved = &fixture->found.shards[SHARD];
	uint64_t newest = 0;

	assert_true(saved->term > 0);
	if (saved->snapshot_index)
		newest = version_of(saved->state, saved->state_len);
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
	struct store_fixture fixture;
	struct rlimit was, full;
	uint64_t v = 0, acked;

	(void)state;
	signal(SIGXFSZ, SIG_IGN);
	assert_return_code(getrlimit(RLIMIT_FSIZE, &was), 0);
	store_fixture_open(&fixture, 1 * MB);
	begin(&fixture);
	while (fixture.raft.log.applied_bytes + fixture.len < RAFT_SNAPSHOT_LOG_BYTES) {
		propose(&fixture, ++v);
		assert_true(settle(&fixture));
	}
	propose(&fixture, ++v); /* with this one a snapshot is due */
	full = was;
	full.rlim_cur = file_size(&fixture);
	while (fixture.raft.snapshots.newest.index == 0) /* its entry is synced, and the snapshot asked for */
		assert_true(take_sync(&fixture, LIMIT_MS));
	assert_return_code(setrlimit(RLIMIT_FSIZE, &full), 0);
	acked = fixture.acked;
	while (fixture.raft.disk.completed_sync_seq < fixture.raft.disk.requested_sync_seq &&
	       storage_rejected_write_count(fixture.store) < 2) /* or it came before the disk was full */
		(void)take_sync(&fixture, 20);
	for (int i = 0; storage_rejected_write_count(fixture.store) < 2; i++) { /* more, until nothing fits */
		if (fixture.raft.disk.completed_sync_seq == fixture.raft.disk.requested_sync_seq)
			propose(&fixture, ++v);
		(void)take_sync(&fixture, 20);
		acked = fixture.acked;
		assert_true(i < 1000);
	}
	storage_close(fixture.store); /* the fall */
	assert_return_code(setrlimit(RLIMIT_FSIZE, &was), 0);
	while (take_sync(&fixture, 0))
		;
	raft_close(&fixture.raft);
	assert_null(open_folder(&fixture));
	assert_holds(&fixture, acked);
	begin(&fixture);
	propose(&fixture, v + 1);
	assert_true(settle(&fixture));
	assert_int_equal(fixture.acked, v + 1);
	store_fixture_close(&fixture);
}

/* In a process of its own: documents without end; each acknowledgement goes through the pipe. */
static void write_until_killed(struct store_fixture *fixture, uint64_t from, int to_parent)
{
	for (uint64_t v = from;; v++) {
		propose(fixture, v);
		if (!settle(fixture) ||
		    write(to_parent, &fixture->acked, sizeof fixture->acked) != sizeof fixture->acked)
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
		struct store_fixture fixture;

		store_fixture_open(&fixture, 700 * KB);
		storage_close(fixture.store);
		while (kills--) {
			uint64_t until = acked + 1 + core_random(&rng) % 8, more = core_random(&rng) % 3000;
			int pipe_ends[2], status;
			pid_t child;

			assert_return_code(pipe(pipe_ends), errno);
			child = fork();
			if (!child) {
				if (open_folder(&fixture))
					_exit(2);
				begin(&fixture);
				write_until_killed(&fixture,
						   fixture.raft.log.applied_index ? fixture.acked + 1 : 1,
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
			assert_null(open_folder(&fixture));
			assert_holds(&fixture, acked);
			storage_close(fixture.store);
		}
		assert_null(open_folder(&fixture));
		store_fixture_close(&fixture);
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
