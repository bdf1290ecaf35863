/* The data folder under snapshots: a group of one member whose writes go to a real folder. Its size, a disk that fills up in
 * the middle of a snapshot, and a process that is killed at any moment. */
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

#include "ds.h"
#include "shell.h"

enum { KB = 1024, MB = 1024 * 1024, LIMIT_MS = 60000, SHARD = 0 };

static uint64_t env(const char *name, uint64_t otherwise) { return getenv(name) ? strtoull(getenv(name), NULL, 10) : otherwise; }

/* One controller's group of one: raft, its folder, and the newest document as its state. */
struct solo {
	apr_pool_t *pool;
	char folder[64];
	struct ring *ring;
	struct store *store;
	struct store_found found;
	struct raft raft;
	struct out out;
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
	for (ptrdiff_t i = 0; i < arrlen(s->out.v); i++)
		if (s->out.v[i].kind == CMD_PERSIST)
			store_write(s->store, s->out.v[i].u.persist);
	out_clear(&s->out);
}

static void apply(struct solo *s)
{
	const struct raft_entry *e;
	uint64_t index;

	while ((e = raft_next_committed(&s->raft, &index))) {
		s->acked = version_of(e->data, e->len);
		memcpy(s->document, e->data, e->len);
	}
	if (raft_wants_snapshot(&s->raft))
		raft_snapshot(&s->raft, s->document, s->len);
	perform(s);
}

/* Wait for one sync; 0 when there is none within ms. */
static int take_sync(struct solo *s, int ms)
{
	struct shell_ev *e = ring_pop(s->ring, ms);

	if (!e)
		return 0;
	assert_int_equal(e->kind, EV_SYNCED);
	raft_synced(&s->raft, e->seq, s->now, &s->out);
	shell_ev_free(e);
	apply(s);
	return 1;
}

static int settle(struct solo *s)
{
	while (s->raft.synced < s->raft.seq)
		if (!take_sync(s, LIMIT_MS))
			return 0;
	return 1;
}

static const char *open_folder(struct solo *s)
{
	const char *why = NULL;

	s->store = store_open(s->folder, NULL, s->ring, &s->found, &why, s->pool);
	return why;
}

/* A leader with a lease: of a new folder, or of what a folder holds. */
static void begin(struct solo *s)
{
	struct raft_member self = { .id = 1, .addr = 101, .voter = 1 };
	const struct raft_saved *saved = s->found.part[SHARD].term ? &s->found.part[SHARD] : NULL;

	s->now += 5000;
	raft_open(&s->raft, SHARD, 1, 7, saved, s->now);
	if (!saved)
		raft_bootstrap(&s->raft, &self, 1, s->now, &s->out);
	s->raft.snapshot_to_load = 0;
	for (int i = 0; i < 200 && !raft_has_lease(&s->raft, s->now); i++) {
		s->now += 20;
		raft_tick(&s->raft, s->now, &s->out);
		perform(s);
		assert_true(settle(s));
	}
	assert_true(raft_has_lease(&s->raft, s->now));
}

static void solo_open(struct solo *s, size_t len)
{
	memset(s, 0, sizeof *s);
	apr_pool_create(&s->pool, NULL);
	apr_pool_create(&s->out.p, NULL);
	strcpy(s->folder, "/tmp/notchlug-store-XXXXXX");
	assert_non_null(mkdtemp(s->folder));
	ring_open(&s->ring, 64, s->pool);
	s->out.id = 1;
	s->out.addr = 101;
	s->now = 100000;
	s->len = len;
	s->document = calloc(1, len);
	assert_null(open_folder(s));
}

static void solo_close(struct solo *s)
{
	char path[100];

	store_close(s->store);
	raft_close(&s->raft);
	free(s->document);
	arrfree(s->out.v);
	apr_pool_destroy(s->out.p);
	apr_pool_destroy(s->pool);
	snprintf(path, sizeof path, "%s/registrar.tdb", s->folder);
	unlink(path);
	snprintf(path, sizeof path, "%s/lock", s->folder);
	unlink(path);
	rmdir(s->folder);
}

/* Log the next document; its sync is not waited for. */
static void propose(struct solo *s, uint64_t version)
{
	uint8_t *d = malloc(s->len);

	fill(d, s->len, version);
	s->now += 20;
	raft_tick(&s->raft, s->now, &s->out);
	assert_true(raft_propose(&s->raft, d, s->len, s->now) > 0);
	free(d);
	perform(s);
}

static size_t file_size(const struct solo *s)
{
	char path[100];
	struct stat sb;

	snprintf(path, sizeof path, "%s/registrar.tdb", s->folder);
	return stat(path, &sb) ? 0 : (size_t)sb.st_size;
}

static void the_file_stays_bounded(void **st)
{
	static const struct {
		size_t len;
		uint64_t changes;
	} run[] = { { 30 * KB, 60 }, { 300 * KB, 60 }, { 1 * MB, 18 }, { 4 * MB, 8 } };

	(void)st;
	for (size_t i = 0; i < sizeof run / sizeof *run; i++) {
		uint64_t changes = env("NL_CHANGES", run[i].changes), snapshots = 0, last = 0;
		struct solo s;
		struct rusage use;
		size_t peak = 0;

		solo_open(&s, run[i].len);
		begin(&s);
		for (uint64_t v = 1; v <= changes; v++) {
			propose(&s, v);
			assert_true(settle(&s));
			assert_int_equal(s.acked, v);
			peak = file_size(&s) > peak ? file_size(&s) : peak;
			snapshots += s.raft.snapshot_index != last;
			last = s.raft.snapshot_index;
		}
		getrusage(RUSAGE_SELF, &use);
		print_message(
		    "%zu KB documents, %llu changes, %llu snapshots: the file has at most %zu KB; the process had %ld KB\n",
		    run[i].len / KB, (unsigned long long)changes, (unsigned long long)snapshots, peak / KB, use.ru_maxrss);
		assert_true(peak < 100 * MB);
		solo_close(&s);
	}
}

/* What a folder gives back: the snapshot, the entries behind it without a gap, and nothing that was acknowledged is missing. */
static void assert_holds(struct solo *s, uint64_t acked)
{
	const struct raft_saved *saved = &s->found.part[SHARD];
	uint64_t newest = 0;

	assert_true(saved->term > 0);
	if (saved->base)
		newest = version_of(saved->data, saved->data_len);
	for (size_t i = 0; i < saved->n; i++) {
		uint64_t version;

		if (saved->e[i].kind != RAFT_ENTRY_OPERATION)
			continue;
		version = version_of(saved->e[i].data, saved->e[i].len);
		if (saved->log_from + i <= saved->base)
			continue;
		assert_int_equal(version, newest + 1);
		newest = version;
	}
	assert_true(newest >= acked);
}

/* The disk fills up while a snapshot is written: nothing is acknowledged, and a fall then loses nothing. Once there is room
 * the same writes go on. */
static void a_disk_that_fills_up_in_a_snapshot_loses_nothing(void **st)
{
	struct solo s;
	struct rlimit was, full;
	uint64_t v = 0, acked;

	(void)st;
	signal(SIGXFSZ, SIG_IGN);
	assert_return_code(getrlimit(RLIMIT_FSIZE, &was), 0);
	solo_open(&s, 1 * MB);
	begin(&s);
	while (s.raft.applied_bytes + s.len < RAFT_SNAPSHOT_LOG_BYTES) {
		propose(&s, ++v);
		assert_true(settle(&s));
	}
	propose(&s, ++v); /* with this one a snapshot is due */
	full = was;
	full.rlim_cur = file_size(&s);
	while (s.raft.snapshot_index == 0) /* its entry is synced, and the snapshot asked for */
		assert_true(take_sync(&s, LIMIT_MS));
	assert_return_code(setrlimit(RLIMIT_FSIZE, &full), 0);
	acked = s.acked;
	while (s.raft.synced < s.raft.seq && store_refused(s.store) < 2) /* or it came before the disk was full */
		(void)take_sync(&s, 20);
	for (int i = 0; store_refused(s.store) < 2; i++) { /* more, until nothing fits */
		if (s.raft.synced == s.raft.seq)
			propose(&s, ++v);
		(void)take_sync(&s, 20);
		acked = s.acked;
		assert_true(i < 1000);
	}
	store_close(s.store); /* the fall */
	assert_return_code(setrlimit(RLIMIT_FSIZE, &was), 0);
	while (take_sync(&s, 0))
		;
	raft_close(&s.raft);
	assert_null(open_folder(&s));
	assert_holds(&s, acked);
	begin(&s);
	propose(&s, v + 1);
	assert_true(settle(&s));
	assert_int_equal(s.acked, v + 1);
	solo_close(&s);
}

/* In a process of its own: documents without end; each acknowledgement goes through the pipe. */
static void write_until_killed(struct solo *s, uint64_t from, int to_parent)
{
	for (uint64_t v = from;; v++) {
		propose(s, v);
		if (!settle(s) || write(to_parent, &s->acked, sizeof s->acked) != sizeof s->acked)
			_exit(1);
	}
}

/* Killed in the middle of writes, snapshots and trims: all that was acknowledged is there, and the process goes on from it. */
static void a_kill_at_any_moment_loses_nothing(void **st)
{
	uint64_t first = env("NL_SEED", 1), seeds = env("NL_SEEDS", 3);

	(void)st;
	for (uint64_t seed = first; seed < first + seeds; seed++) {
		uint64_t rng = seed, acked = 0, kills = 3;
		struct solo s;

		solo_open(&s, 700 * KB);
		store_close(s.store);
		while (kills--) {
			uint64_t until = acked + 1 + core_rand(&rng) % 8, more = core_rand(&rng) % 3000;
			int pipe_ends[2], status;
			pid_t child;

			assert_return_code(pipe(pipe_ends), errno);
			child = fork();
			if (!child) {
				if (open_folder(&s))
					_exit(2);
				begin(&s);
				write_until_killed(&s, s.raft.applied ? s.acked + 1 : 1, pipe_ends[1]);
			}
			close(pipe_ends[1]);
			while (acked < until)
				if (read(pipe_ends[0], &acked, sizeof acked) != sizeof acked)
					fail_msg("seed %llu: the writer ended by itself", (unsigned long long)seed);
			for (volatile uint64_t spin = 0; spin < more * 1000; spin++) /* somewhere in the next write */
				;
			kill(child, SIGKILL);
			while (read(pipe_ends[0], &acked, sizeof acked) == sizeof acked)
				;
			close(pipe_ends[0]);
			waitpid(child, &status, 0);
			assert_true(WIFSIGNALED(status));
			assert_null(open_folder(&s));
			assert_holds(&s, acked);
			store_close(s.store);
		}
		assert_null(open_folder(&s));
		solo_close(&s);
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
