/* The shell on real sockets and files: loopback, ports given by the kernel, waits on conditions with limits.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <arpa/inet.h>
#include <cmocka.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "shell.h"

enum { LIMIT = 20000, HELD = 16000 /* bytes at the file's start that hold the test's records */ };

static int listener(char addr[40])
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t n = sizeof address;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_return_code(bind(fd, (struct sockaddr *)&address, sizeof address), 0);
	assert_return_code(listen(fd, 16), 0);
	getsockname(fd, (struct sockaddr *)&address, &n);
	snprintf(addr, 40, "127.0.0.1:%d", ntohs(address.sin_port));
	return fd;
}

/* An address nobody listens at: given by the kernel, then left. */
static void free_addr(char addr[40])
{
	close(listener(addr));
}

static int dial(const char *addr)
{
	uint64_t a = core_parse_addr(addr);
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_addr.s_addr = htonl((uint32_t)(a >> 16)),
				       .sin_port = htons((uint16_t)a) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_return_code(connect(fd, (struct sockaddr *)&address, sizeof address), 0);
	return fd;
}

static struct shell_event *next(struct ring *ring, enum shell_event_kind k)
{
	int64_t end = clock_ms() + LIMIT;
	struct shell_event *event;

	while (clock_ms() < end)
		if ((event = ring_pop(ring, 100))) {
			if (event->kind == k)
				return event;
			shell_event_free(event);
		}
	fail_msg("no event of kind %d within the limit", k);
	return NULL;
}

/* ---- calls: a send goes out once ---- */

/* The thread counts; the test sets what comes next. */
struct fake {
	int fd;
	atomic_int taken, requests, keep, stop;
	const char *_Atomic reply;
};

/* Answers the first request on each connection if told to; then closes when the next one has come. */
static void *fake_server(void *arg)
{
	struct fake *fake = arg;

	while (!fake->stop) {
		struct pollfd poll_fd = { fake->fd, POLLIN, 0 };
		const char *reply;
		char b[4096];
		int c;

		if (poll(&poll_fd, 1, 50) != 1)
			continue;
		c = accept(fake->fd, NULL, NULL);
		fake->taken++;
		reply = fake->reply;
		if (read(c, b, sizeof b) > 0 && ++fake->requests && reply &&
		    write(c, reply, strlen(reply)) > 0 && fake->keep)
			fake->requests += read(c, b, sizeof b) >
					  0; /* the second request on a kept connection dies unanswered */
		close(c);
	}
	return NULL;
}

/* The clock as the code under test reads it. Armed, it jumps 10 s after its next reading by another thread
 * than the test's: as if the process froze between the decision to send and the connection. */
int64_t __real_clock_ms(void);
int64_t __wrap_clock_ms(void);
static int jump_armed, jump;
static pthread_t test_thread;

int64_t __wrap_clock_ms(void)
{
	int64_t now = __real_clock_ms() + (__atomic_load_n(&jump, __ATOMIC_SEQ_CST) ? 10000 : 0);

	if (__atomic_load_n(&jump_armed, __ATOMIC_SEQ_CST) && !pthread_equal(pthread_self(), test_thread))
		__atomic_store_n(&jump, 1, __ATOMIC_SEQ_CST);
	return now;
}

/* The wall clock as libraries read it: an hour ahead of the kernel's when armed, as if it were set back by an
 * hour between a reading and the wait that follows. */
static int wall_jump;
#include <sys/time.h>
int gettimeofday(struct timeval *restrict tv, void *restrict tz)
{
	struct timespec ts;

	(void)tz;
	clock_gettime(CLOCK_REALTIME, &ts);
	tv->tv_sec = ts.tv_sec + (wall_jump ? 3600 : 0);
	tv->tv_usec = ts.tv_nsec / 1000;
	return 0;
}

static void *pop_once(void *arg)
{
	struct {
		struct ring *r;
		int done;
	} *x = arg;

	(void)ring_pop(x->r, 20);
	__atomic_store_n(&x->done, 1, __ATOMIC_SEQ_CST);
	return NULL;
}

/* The owner of the state waits for events by a clock that nobody sets. */
static void a_wall_clock_set_back_stops_nothing(void **state)
{
	struct {
		struct ring *r;
		int done;
	} x = { NULL, 0 };
	apr_pool_t *pool;
	pthread_t t;
	int64_t end = clock_ms() + LIMIT;
	int in_time;

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&x.r, 4, pool);
	wall_jump = 1;
	pthread_create(&t, NULL, pop_once, &x);
	while (!__atomic_load_n(&x.done, __ATOMIC_SEQ_CST) && clock_ms() < end)
		sched_yield();
	in_time = __atomic_load_n(&x.done, __ATOMIC_SEQ_CST);
	wall_jump = 0;
	if (!in_time)
		ring_push(x.r, &x, 0); /* so that the thread ends */
	pthread_join(t, NULL);
	assert_int_equal(in_time, 1);
	apr_pool_destroy(pool);
}

static void a_send_goes_out_once(void **state)
{
	apr_pool_t *pool;
	struct ring *ring;
	struct server_calls *call;
	struct fake fake = { 0 };
	struct shell_event *event;
	pthread_t t;
	char addr[40], nobody[40];

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	call = server_calls_open(ring, pool);
	fake.fd = listener(addr);
	pthread_create(&t, NULL, fake_server, &fake);
	/* the server takes the request and closes without a word: unknown, and not sent again */
	server_calls_start(call, 1, addr, "/v1/run", "{}", 5000, 1, clock_ms() + LIMIT);
	event = next(ring, SHELL_EVENT_CALL_DONE);
	assert_int_equal(event->token, 1);
	assert_int_equal(event->never_sent, 0);
	assert_int_equal(fake.taken, 1);
	shell_event_free(event);
	/* a kept connection that dies at the second request: the library would send that one again by itself
	 */
	fake.keep = 1;
	fake.reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\n{}";
	server_calls_start(call, 2, addr, "/v1/run", "{}", 5000, 0, clock_ms() + LIMIT);
	event = next(ring, SHELL_EVENT_CALL_DONE);
	assert_int_equal(event->http_status, 200);
	shell_event_free(event);
	fake.reply = NULL;
	server_calls_start(call, 3, addr, "/v1/run", "{}", 5000, 0, clock_ms() + LIMIT);
	event = next(ring, SHELL_EVENT_CALL_DONE);
	assert_int_equal(event->never_sent, 0);
	assert_int_equal(event->http_status, 0);
	shell_event_free(event);
	assert_int_equal(fake.requests, 3);
	assert_int_equal(fake.taken, 3); /* one connection each */
	/* nobody there, or decided too long ago: it surely never began */
	free_addr(nobody);
	server_calls_start(call, 4, nobody, "/v1/run", "{}", 5000, 1, clock_ms() + LIMIT);
	event = next(ring, SHELL_EVENT_CALL_DONE);
	assert_int_equal(event->never_sent, 1);
	shell_event_free(event);
	server_calls_start(call, 5, addr, "/v1/run", "{}", 5000, 1, clock_ms() - 1);
	event = next(ring, SHELL_EVENT_CALL_DONE);
	assert_int_equal(event->never_sent, 1);
	shell_event_free(event);
	assert_int_equal(fake.taken, 3);
	/* it froze after that look and woke with its connection up: still nothing goes out on it */
	test_thread = pthread_self();
	jump_armed = 1;
	server_calls_start(call, 8, addr, "/v1/run", "{}", 5000, 1, __real_clock_ms() + 5000);
	event = next(ring, SHELL_EVENT_CALL_DONE);
	assert_int_equal(jump, 1);
	jump_armed = jump = 0;
	assert_int_equal(event->never_sent, 1);
	shell_event_free(event);
	assert_int_equal(fake.requests, 3);
	/* the server says itself that it never began; any other error is no such word */
	fake.reply = "HTTP/1.1 503 No\r\nContent-Length: 15\r\nConnection: close\r\n\r\n{\"began\":false}";
	server_calls_start(call, 6, addr, "/v1/run", "{}", 5000, 1, clock_ms() + LIMIT);
	event = next(ring, SHELL_EVENT_CALL_DONE);
	assert_int_equal(event->never_sent, 1);
	shell_event_free(event);
	fake.reply = "HTTP/1.1 500 No\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
	server_calls_start(call, 7, addr, "/v1/run", "{}", 5000, 1, clock_ms() + LIMIT);
	event = next(ring, SHELL_EVENT_CALL_DONE);
	assert_int_equal(event->never_sent, 0);
	shell_event_free(event);
	fake.stop = 1;
	pthread_join(t, NULL);
	server_calls_close(call);
	close(fake.fd);
	apr_pool_destroy(pool);
}

/* ---- the data folder ---- */

static void folder_new(char *path)
{
	strcpy(path, "/tmp/notchlug-test-XXXXXX");
	assert_non_null(mkdtemp(path));
}

static void folder_end(const char *path)
{
	char f[200];

	snprintf(f, sizeof f, "%s/registrar.tdb", path);
	unlink(f);
	snprintf(f, sizeof f, "%s/lock", path);
	unlink(f);
	rmdir(path);
}

static void write_some(struct storage *storage, struct ring *ring, uint64_t seq, uint64_t from, uint64_t n,
		       uint64_t cut)
{
	struct persist w = { 0 };
	struct persist_entry persist_entry[100];
	struct shell_event *event;
	char d[100][32];

	w.shard = 2;
	w.seq = seq;
	w.term = 7;
	w.vote = 99;
	w.truncate_from = cut;
	w.entry_count = n;
	w.entries = persist_entry;
	for (uint64_t i = 0; i < n; i++) {
		snprintf(d[i], sizeof d[i], "entry %d of %d", (int)(from + i), (int)seq);
		persist_entry[i] = (struct persist_entry){ from + i, 7, RAFT_ENTRY_OPERATION, strlen(d[i]),
							   (uint8_t *)d[i] };
	}
	storage_write(storage, &w);
	do {
		event = next(ring, SHELL_EVENT_SYNCED);
		n = event->sequence;
		shell_event_free(event);
	} while (n != seq);
}

static struct storage *open_again(const char *folder, struct ring *ring, struct stored_state *found,
				  const char **why, apr_pool_t *pool)
{
	struct storage_failure failure;
	struct storage *storage = storage_open(folder, NULL, ring, found, &failure, pool);

	*why = storage ? NULL : storage_strerror(&failure, pool);
	return storage;
}

/* A new folder with an identity in it. */
static struct storage *folder_begin(char *folder, struct ring *ring, struct stored_state *found,
				    apr_pool_t *pool)
{
	const char *why;
	struct storage *storage;

	folder_new(folder);
	storage = open_again(folder, ring, found, &why, pool);
	assert_non_null(storage);
	assert_int_equal(found->node_id, 0);
	assert_true(storage_write_identity(storage, 42, 43));
	return storage;
}

static void folder_keeps_what_was_synced(void **state)
{
	apr_pool_t *pool;
	struct ring *ring;
	struct storage *storage;
	struct stored_state found;
	const char *why;
	char folder[64];
	struct persist w = { 0 };

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	storage = folder_begin(folder, ring, &found, pool);
	assert_null(open_again(folder, ring, &found, &why, pool)); /* one controller a folder */
	assert_non_null(strstr(why, "in use"));
	write_some(storage, ring, 1, 1, 50, 0);
	write_some(storage, ring, 2, 40, 5, 40); /* a conflict: 40 and above are replaced by 40 to 44 */
	w.shard = 2;
	w.seq = 3;
	w.term = 8;
	w.vote = 1;
	w.has_snapshot = 1;
	w.snapshot_index = 20;
	w.snapshot_term = 7;
	w.drop_up_to_index = 10;
	w.members = (const uint8_t *)"mm";
	w.members_len = 2;
	w.data = (const uint8_t *)"state";
	w.data_len = 5;
	storage_write(storage, &w);
	shell_event_free(next(ring, SHELL_EVENT_SYNCED));
	storage_close(storage);
	storage = open_again(folder, ring, &found, &why, pool);
	assert_non_null(storage);
	assert_int_equal(found.node_id, 42);
	assert_int_equal(found.fleet_id, 43);
	assert_int_equal(found.shards[2].term, 8);
	assert_int_equal(found.shards[2].voted_for, 1);
	assert_int_equal(found.shards[2].snapshot_index, 20);
	assert_memory_equal(found.shards[2].state, "state", 5);
	assert_int_equal(found.shards[2].first_index, 11);
	assert_int_equal(found.shards[2].entry_count, 34);
	assert_memory_equal(found.shards[2].entries[0].data, "entry 11 of 1", 13);
	assert_memory_equal(found.shards[2].entries[33].data, "entry 44 of 2", 13);
	storage_close(storage);
	folder_end(folder);
	apr_pool_destroy(pool);
}

/* How often a text stands in the folder's file, in records or freed pages. */
static int traces(const char *folder, const char *text)
{
	char path[100], *d;
	size_t k = 0, m = strlen(text);
	FILE *file;
	long n;
	int found = 0;

	snprintf(path, sizeof path, "%s/registrar.tdb", folder);
	file = fopen(path, "r");
	assert_non_null(file);
	fseek(file, 0, SEEK_END);
	n = ftell(file);
	rewind(file);
	d = malloc((size_t)n);
	assert_int_equal(fread(d, 1, (size_t)n, file), n);
	fclose(file);
	while (k + m <= (size_t)n)
		found += !memcmp(d + k++, text, m);
	free(d);
	return found;
}

/* What a purge of context took away is in no freed page either, and all else is still there. */
static void purged_entries_leave_no_trace(void **state)
{
	apr_pool_t *pool;
	struct ring *ring;
	struct storage *storage;
	struct stored_state found;
	const char *why;
	char folder[64], fresh[100];
	struct persist w = { 0 };
	FILE *torn;

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	storage = folder_begin(folder, ring, &found, pool);
	for (uint64_t k = 0; k < 20; k++)
		write_some(storage, ring, 1 + k, 1 + 50 * k, 50, 0);
	w.shard = 2;
	w.seq = 21;
	w.has_snapshot = 1;
	w.snapshot_index = w.drop_up_to_index = 990;
	w.members = w.data = (const uint8_t *)"state";
	w.members_len = w.data_len = 5;
	storage_write(storage, &w);
	shell_event_free(next(ring, SHELL_EVENT_SYNCED));
	assert_true(traces(folder, "entry 7 of 1") > 0); /* deleted, and yet there */
	w.seq = 22;
	w.erase_deleted_bytes = 1;
	storage_write(storage, &w);
	shell_event_free(next(ring, SHELL_EVENT_SYNCED));
	assert_int_equal(traces(folder, "entry 7 of 1"), 0);
	assert_true(traces(folder, "entry 1000 of 20") > 0);
	write_some(storage, ring, 23, 1001, 5, 0);
	storage_close(storage);
	snprintf(fresh, sizeof fresh, "%s/registrar.tdb.fresh",
		 folder); /* a fall in the middle of a later one */
	torn = fopen(fresh, "w");
	assert_non_null(torn);
	fclose(torn);
	storage = open_again(folder, ring, &found, &why, pool);
	assert_non_null(storage);
	assert_int_equal(access(fresh, F_OK), -1);
	assert_int_equal(found.node_id, 42);
	assert_int_equal(found.shards[2].snapshot_index, 990);
	assert_int_equal(found.shards[2].first_index, 991);
	assert_int_equal(found.shards[2].entry_count, 15);
	storage_close(storage);
	folder_end(folder);
	apr_pool_destroy(pool);
}

/* A full disk acknowledges nothing; once there is room, what was waiting is written and acknowledged. */
static void full_disk_acknowledges_nothing(void **state)
{
	apr_pool_t *pool;
	struct ring *ring;
	struct storage *storage;
	struct stored_state found;
	const char *why;
	char folder[64];
	struct rlimit was, full;
	struct persist w = { 0 };
	struct persist_entry persist_entry = { 31, 7, RAFT_ENTRY_OPERATION, 5, (const uint8_t *)"after" };

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	storage = folder_begin(folder, ring, &found, pool);
	write_some(storage, ring, 1, 1, 30, 0);
	signal(SIGXFSZ, SIG_IGN);
	assert_return_code(getrlimit(RLIMIT_FSIZE, &was), 0);
	full = was;
	full.rlim_cur = HELD;
	assert_return_code(setrlimit(RLIMIT_FSIZE, &full), 0);
	w.shard = 2;
	w.seq = 2;
	w.term = 7;
	w.entry_count = 1;
	w.entries = &persist_entry;
	storage_write(storage, &w);
	for (int64_t end = clock_ms() + LIMIT; storage_rejected_write_count(storage) < 2 && clock_ms() < end;)
		assert_null(ring_pop(ring, 20));
	assert_true(storage_rejected_write_count(storage) >= 2);
	assert_return_code(setrlimit(RLIMIT_FSIZE, &was), 0);
	shell_event_free(next(ring, SHELL_EVENT_SYNCED));
	storage_close(storage);
	storage = open_again(folder, ring, &found, &why, pool);
	assert_non_null(storage);
	assert_int_equal(found.shards[2].entry_count, 31);
	assert_memory_equal(found.shards[2].entries[30].data, "after", 5);
	storage_close(storage);
	folder_end(folder);
	apr_pool_destroy(pool);
}

/* Every damage to the file is either harmless to what it holds, or refused with the remedy; never read as
 * good. */
static void damaged_folder_is_refused(void **state)
{
	apr_pool_t *pool;
	struct ring *ring;
	struct storage *storage;
	struct stored_state found;
	const char *why;
	char folder[64], path[100];
	struct stat file_stat;
	int refused = 0, rounds = 40;

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	for (int i = 0; i < rounds; i++) {
		uint64_t rng = (uint64_t)i;
		int fd;

		storage = folder_begin(folder, ring, &found, pool);
		write_some(storage, ring, 1, 1, 90, 0);
		storage_close(storage);
		snprintf(path, sizeof path, "%s/registrar.tdb", folder);
		assert_return_code(stat(path, &file_stat), 0);
		fd = open(path, O_RDWR);
		if (i % 2) { /* torn */
			assert_return_code(ftruncate(fd, (off_t)(core_random(&rng) % HELD)), 0);
		} else { /* 200 bytes of something else */
			char junk[200];

			for (size_t k = 0; k < sizeof junk; k++)
				junk[k] = (char)core_random(&rng);
			assert_true(pwrite(fd, junk, sizeof junk, (off_t)(core_random(&rng) % HELD)) == 200);
		}
		close(fd);
		storage = open_again(folder, ring, &found, &why, pool);
		if (!storage) {
			assert_non_null(strstr(why, "step"));
			refused++;
		} else {
			if (found.node_id) { /* it holds all that was synced, or it is the empty file of a new
						controller */
				assert_int_equal(found.shards[2].entry_count, 90);
				for (int k = 0; k < 90; k++) {
					char expected[32];

					snprintf(expected, sizeof expected, "entry %d of 1", k + 1);
					assert_int_equal(found.shards[2].entries[k].len, strlen(expected));
					assert_memory_equal(found.shards[2].entries[k].data, expected,
							    strlen(expected));
				}
			}
			storage_close(storage);
		}
		folder_end(folder);
	}
	print_message("damaged folders refused: %d of %d; the rest was harmed where nothing is kept\n",
		      refused, rounds);
	assert_true(refused >= 8);
	{ /* one letter of a kept entry: the file's own structure is whole, only the record's checksum tells
	   */
		char *text = malloc(HELD), *hit;
		int fd;

		folder_new(folder);
		storage = open_again(folder, ring, &found, &why, pool);
		assert_non_null(storage);
		write_some(storage, ring, 1, 1, 20, 0);
		storage_close(storage);
		snprintf(path, sizeof path, "%s/registrar.tdb", folder);
		fd = open(path, O_RDWR);
		assert_int_equal(pread(fd, text, HELD, 0), HELD);
		hit = memmem(text, HELD, "entry 7 of 1", 12);
		assert_non_null(hit);
		assert_int_equal(pwrite(fd, "8", 1, hit - text + 6), 1);
		close(fd);
		free(text);
		storage = open_again(folder, ring, &found, &why, pool);
		assert_null(storage);
		assert_non_null(strstr(why, "e/2/7"));
		folder_end(folder);
	}
	apr_pool_destroy(pool);
}

/* ---- peers ---- */

static void senseless_peers_are_hung_up_on(void **state)
{
	static const struct {
		size_t n;
		const char *d;
	} bad[] = {
		{ 8, "\xff\xff\xff\xff"
		     "abcd" }, /* larger than any message */
		{ 9, "\x00\x00\x00\x05"
		     "\xff\xff\xff\xff\xff" }, /* no message */
		{ 6, "\x00\x00\x00\x02"
		     "\x08\x63" }, /* of another version of the protocol */
	};
	apr_pool_t *pool;
	struct ring *ring;
	struct transport *a, *b;
	char at_a[40], at_b[40];
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__LeaderHint owner = NL__LEADER_HINT__INIT;
	struct shell_event *event = NULL;
	int64_t end = clock_ms() + LIMIT;

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	free_addr(at_a);
	a = transport_open(at_a, ring, pool);
	assert_non_null(a);
	for (size_t i = 0; i < sizeof bad / sizeof *bad; i++) {
		struct pollfd poll_fd = { dial(at_a), POLLIN, 0 };
		char c;

		assert_int_equal(write(poll_fd.fd, bad[i].d, bad[i].n), bad[i].n);
		assert_int_equal(poll(&poll_fd, 1, LIMIT), 1);
		assert_int_equal(read(poll_fd.fd, &c, 1), 0); /* closed, with nothing said */
		close(poll_fd.fd);
	}
	free_addr(at_b);
	b = transport_open(at_b, ring, pool);
	assert_non_null(b);
	message.protocol_version = CORE_PROTOCOL_VERSION;
	message.body_case = NL__MSG__BODY_LEADER_HINT;
	message.leader_hint = &owner;
	message.shard = 3;
	while (!event && clock_ms() < end) { /* a good one still gets through */
		transport_send(b, core_parse_addr(at_a), &message);
		event = ring_pop(ring, 50);
	}
	assert_non_null(event);
	assert_int_equal(event->kind, SHELL_EVENT_MESSAGE);
	assert_int_equal(event->message->shard, 3);
	shell_event_free(event);
	transport_close(b);
	transport_close(a);
	while ((event = ring_pop(ring, 0)))
		shell_event_free(event);
	apr_pool_destroy(pool);
}

/* Whether a connection to this port is being dialled. */
static int dialling(unsigned port)
{
	FILE *file = fopen("/proc/net/tcp", "r");
	char line[300];
	int n = 0;

	assert_non_null(file);
	while (fgets(line, sizeof line, file)) {
		unsigned to, state;

		n += sscanf(line, " %*u: %*x:%*x %*x:%x %x", &to, &state) == 2 && to == port && state == 2;
	}
	fclose(file);
	return n;
}

/* A listener whose queue is full, by connections of its own: no dial to it is answered before one is taken.
 */
static int full_listener(unsigned port, int full[4])
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int l = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), one = 1;

	address.sin_port = htons((uint16_t)port);
	setsockopt(l, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	assert_int_equal(bind(l, (struct sockaddr *)&address, sizeof address), 0);
	assert_int_equal(listen(l, 0), 0);
	for (int i = 0; i < 4; i++) {
		full[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(full[i], (struct sockaddr *)&address, sizeof address);
	}
	return l;
}

/* Over a link that is full the answer to a dial takes longer than the pause between two: each stays under way
 * beside the newer ones, within a bound, and once one is answered the others are over. */
static void a_dial_that_is_slow_stays_under_way(void **state)
{
	apr_pool_t *pool;
	struct ring *ring;
	struct transport *net;
	char at_a[40], at_b[40];
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__LeaderHint owner = NL__LEADER_HINT__INIT;
	int64_t end = clock_ms() + LIMIT;
	int l, full[4], own, taken = 0, most = 0;
	unsigned port;

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	free_addr(at_a);
	free_addr(at_b);
	port = (unsigned)(core_parse_addr(at_b) & 65535);
	l = full_listener(port, full);
	while (!(dialling(port) > 0) && clock_ms() < end)
		;
	own = dialling(port);
	net = transport_open(at_a, ring, pool);
	assert_non_null(net);
	message.protocol_version = CORE_PROTOCOL_VERSION;
	message.body_case = NL__MSG__BODY_LEADER_HINT;
	message.leader_hint = &owner;
	while (most < own + 3 && clock_ms() < end) { /* the newest dial, and two beside it */
		transport_send(net, core_parse_addr(at_b), &message);
		most = dialling(port) > most ? dialling(port) : most;
		assert_null(ring_pop(ring, 10));
	}
	assert_true(most >= own + 3);
	for (int i = 0; i < 4; i++)
		close(full[i]);
	while ((dialling(port) > 0 || !taken) &&
	       clock_ms() < end) { /* the queue empties, and dials are answered */
		struct pollfd wait = { l, POLLIN, 0 };
		int fd;

		(void)poll(&wait, 1, 10);
		while ((fd = accept(l, NULL, NULL)) >= 0) {
			taken++;
			close(fd);
		}
		assert_true(dialling(port) <= own + 9);
	}
	assert_true(taken > 0);
	assert_int_equal(dialling(port), 0);
	transport_close(net);
	close(l);
	apr_pool_destroy(pool);
}

/* A peer without power does not answer the dial at all; once it is back it is dialled anew, not when the
 * kernel thinks of it. */
static void a_dial_that_hangs_is_made_anew(void **state)
{
	apr_pool_t *pool;
	struct ring *ring;
	struct transport *a, *b;
	char at_a[40], at_b[40];
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__LeaderHint owner = NL__LEADER_HINT__INIT;
	struct shell_event *event = NULL;
	int64_t end = clock_ms() + LIMIT;
	int l, full[4], one;
	unsigned port;

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	free_addr(at_a);
	free_addr(at_b);
	port = (unsigned)(core_parse_addr(at_b) & 65535);
	l = full_listener(port, full); /* further dials are not answered */
	a = transport_open(at_a, ring, pool);
	assert_non_null(a);
	message.protocol_version = CORE_PROTOCOL_VERSION;
	message.body_case = NL__MSG__BODY_LEADER_HINT;
	message.leader_hint = &owner;
	message.shard = 1;
	while (!(dialling(port) > 0) && clock_ms() < end)
		;
	one = dialling(port);
	transport_send(a, core_parse_addr(at_b), &message);
	while (dialling(port) <= one && clock_ms() < end)
		;
	for (int i = 0; i < 4; i++)
		close(full[i]);
	close(l);
	b = transport_open(at_b, ring, pool);
	assert_non_null(b);
	__atomic_store_n(&jump, 1, __ATOMIC_SEQ_CST);
	message.shard = 2;
	end = clock_ms() + LIMIT;
	while (!event && clock_ms() < end) {
		transport_send(a, core_parse_addr(at_b), &message);
		event = ring_pop(ring, 50);
	}
	__atomic_store_n(&jump, 0, __ATOMIC_SEQ_CST);
	assert_non_null(event);
	assert_int_equal(event->message->shard, 2); /* not what the first dial was for */
	shell_event_free(event);
	transport_close(b);
	transport_close(a);
	while ((event = ring_pop(ring, 0)))
		shell_event_free(event);
	apr_pool_destroy(pool);
}

/* ---- callers ---- */

static size_t read_until(int fd, char *b, size_t cap, const char *mark)
{
	size_t n = 0;

	for (;;) {
		struct pollfd poll_fd = { fd, POLLIN, 0 };
		ssize_t k;

		b[n] = 0;
		if (mark && strstr(b, mark))
			return n;
		assert_int_equal(poll(&poll_fd, 1, LIMIT), 1);
		k = read(fd, b + n, cap - n - 1);
		if (k <= 0)
			return n;
		n += (size_t)k;
	}
}

/* A peer that takes nothing more, on a connection that was up: what is sent then goes over a new one, once it
 * listens again. */
/* A listener at a free address of the loopback, which is written to peer. */
static int listen_as_peer(char *peer)
{
	struct sockaddr_in address = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int listener = socket(AF_INET, SOCK_STREAM, 0), one = 1, small = 4096;

	free_addr(peer);
	address.sin_port = htons((uint16_t)(core_parse_addr(peer) & 65535));
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
	assert_int_equal(bind(listener, (struct sockaddr *)&address, sizeof address), 0);
	assert_int_equal(listen(listener, 8), 0);
	return listener;
}

static int accept_within_limit(int listener)
{
	struct pollfd waiting = { listener, POLLIN, 0 };

	assert_int_equal(poll(&waiting, 1, LIMIT), 1);
	return accept(listener, NULL, NULL);
}

/* The first small message that comes on any connection, of which none with large messages is read. On a busy
 * machine a dial may be made anew: connections that end without a byte are passed over. Its bytes are copied
 * to frame. */
static int accept_small_message(int listener, uint8_t *frame, int *unread, int unread_capacity)
{
	for (int i = 0; i < unread_capacity; i++) {
		int fd = accept_within_limit(listener);
		ssize_t size;

		assert_return_code(fd, 0);
		unread[i] = fd;
		size = recv(fd, frame, 4, MSG_PEEK | MSG_WAITALL);
		if (size == 4 && frame[0] == 0 && frame[1] == 0 && frame[2] == 0) {
			assert_int_equal(recv(fd, frame, 4, MSG_WAITALL), 4);
			assert_int_equal(recv(fd, frame + 4, frame[3], MSG_WAITALL), frame[3]);
			return i + 1;
		}
	}
	fail_msg("no small message on %d connections", unread_capacity);
	return 0;
}

/* What servers keep is told in many words; knowledge of purges must not wait behind them. */
static void knowledge_passes_cache_updates(void **state)
{
	enum { LARGE_UPDATE = 1 << 20, MANY = 40, MOST_CONNECTIONS = 16 };
	struct Nl__Msg kept_message = NL__MSG__INIT, question = NL__MSG__INIT, *got;
	struct Nl__CacheUpdateBatch all = NL__CACHE_UPDATE_BATCH__INIT;
	struct Nl__CacheUpdate update = NL__CACHE_UPDATE__INIT, *list[] = { &update };
	struct Nl__Curiosity curiosity = NL__CURIOSITY__INIT;
	int listener, connections[MOST_CONNECTIONS], connection_count;
	uint8_t frame[256];
	char at[40], peer[40];
	struct transport *net;
	struct ring *ring;
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	free_addr(at);
	listener = listen_as_peer(peer);
	net = transport_open(at, ring, pool);
	assert_non_null(net);
	update.server = calloc(1, LARGE_UPDATE + 1);
	assert_non_null(update.server);
	memset(update.server, 'a', LARGE_UPDATE);
	all.n_updates = 1;
	all.updates = list;
	kept_message.protocol_version = question.protocol_version = CORE_PROTOCOL_VERSION;
	kept_message.body_case = NL__MSG__BODY_CACHE_UPDATE_BATCH;
	kept_message.cache_update_batch = &all;
	question.body_case = NL__MSG__BODY_CURIOSITY;
	question.curiosity = &curiosity;
	for (int i = 0; i < MANY; i++) /* more than both ends' buffers hold */
		transport_send(net, core_parse_addr(peer), &kept_message);
	connections[0] = accept_within_limit(listener);
	assert_return_code(connections[0], 0);
	transport_send(net, core_parse_addr(peer), &question);
	connection_count = 1 + accept_small_message(listener, frame, connections + 1, MOST_CONNECTIONS - 1);
	got = nl__msg__unpack(NULL, frame[3], frame + 4);
	assert_non_null(got);
	assert_int_equal(got->body_case, NL__MSG__BODY_CURIOSITY);
	nl__msg__free_unpacked(got, NULL);
	free(update.server);
	transport_close(net);
	for (int i = 0; i < connection_count; i++)
		close(connections[i]);
	close(listener);
	apr_pool_destroy(pool);
}

static void a_connection_that_nobody_acknowledges_is_made_anew(void **state)
{
	enum { LARGE_MESSAGE = 1 << 20, MANY = 40 };
	int listener, deaf = -1, again = -1;
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__SnapshotChunk piece = NL__SNAPSHOT_CHUNK__INIT;
	struct pollfd waiting = { -1, POLLIN, 0 };
	char at[40], peer[40];
	struct transport *net;
	struct ring *ring;
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	free_addr(at);
	listener = waiting.fd = listen_as_peer(peer);
	net = transport_open(at, ring, pool);
	assert_non_null(net);
	message.protocol_version = CORE_PROTOCOL_VERSION;
	message.body_case = NL__MSG__BODY_SNAPSHOT_CHUNK;
	message.snapshot_chunk = &piece;
	piece.data.len = LARGE_MESSAGE;
	piece.data.data = calloc(1, LARGE_MESSAGE);
	assert_non_null(piece.data.data);
	for (int i = 0; i < MANY; i++) /* more than both ends' buffers hold */
		transport_send(net, core_parse_addr(peer), &message);
	deaf = accept_within_limit(listener);
	assert_return_code(deaf, 0);
	for (int64_t end = clock_ms() + LIMIT; again < 0 && clock_ms() < end;) {
		transport_send(net, core_parse_addr(peer), &message);
		if (poll(&waiting, 1, 50) == 1)
			again = accept(listener, NULL, NULL);
	}
	assert_return_code(again, 0);
	free(piece.data.data);
	transport_close(net);
	close(again);
	close(deaf);
	close(listener);
	apr_pool_destroy(pool);
}

static void streams_end_definitely(void **state)
{
	static const char ask[] =
	    "POST /v1/exchange HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\nContent-Length: 2\r\n\r\n{}";
	static const char keyed[] =
	    "POST /v1/change HTTP/1.1\r\nHost: x\r\nIdempotency-Key: one-2\r\nContent-Length: 2\r\n\r\n{}";
	apr_pool_t *pool;
	struct ring *ring;
	struct api_server *web;
	char addr[40], b[8192];
	struct shell_event *event;
	int fd;

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	free_addr(addr);
	web = api_server_open(addr, ring, pool);
	assert_non_null(web);
	/* a whole stream ends with the last chunk */
	fd = dial(addr);
	assert_true(write(fd, ask, sizeof ask - 1) > 0);
	event = next(ring, SHELL_EVENT_REQUEST);
	assert_int_equal(strlen(event->key_digest), 64);
	assert_null(event->idempotency_key);
	api_server_stream_write(web, event->token, "one\n", 4, 0, 1);
	read_until(fd, b, sizeof b, "one\n");
	api_server_stream_write(web, event->token, "end\n", 4, 1, 1);
	read_until(fd, b, sizeof b, "\r\n0\r\n\r\n");
	close(fd);
	shell_event_free(event);
	/* an order's key goes along */
	fd = dial(addr);
	assert_true(write(fd, keyed, sizeof keyed - 1) > 0);
	event = next(ring, SHELL_EVENT_REQUEST);
	assert_string_equal(event->idempotency_key, "one-2");
	api_server_respond(web, event->token, 200, 0, "{}", 0);
	read_until(fd, b, sizeof b, "{}");
	close(fd);
	shell_event_free(event);
	/* a broken one says so and has no last chunk */
	fd = dial(addr);
	assert_true(write(fd, ask, sizeof ask - 1) > 0);
	event = next(ring, SHELL_EVENT_REQUEST);
	api_server_stream_write(web, event->token, "one\n", 4, 0, 1);
	api_server_stream_write(web, event->token, "broken", 6, 1, 0);
	read_until(fd, b, sizeof b, NULL);
	assert_non_null(strstr(b, "broken"));
	assert_null(strstr(b, "\r\n0\r\n"));
	close(fd);
	shell_event_free(event);
	/* a process that froze passes on nothing that it held before */
	fd = dial(addr);
	assert_true(write(fd, ask, sizeof ask - 1) > 0);
	event = next(ring, SHELL_EVENT_REQUEST);
	api_server_set_streams_valid_until(web, clock_ms() + 60000);
	api_server_stream_write(web, event->token, "one\n", 4, 0, 1);
	read_until(fd, b, sizeof b, "one\n");
	api_server_set_streams_valid_until(web, clock_ms() - 1);
	api_server_stream_write(web, event->token, "two\n", 4, 0, 1);
	read_until(fd, b, sizeof b, NULL);
	assert_null(strstr(b, "two"));
	assert_null(strstr(b, "\r\n0\r\n"));
	api_server_set_streams_valid_until(web, clock_ms() + 60000);
	close(fd);
	shell_event_free(event);
	/* a slow reader of a stream that is broken off hears no more than it was in the middle of */
	fd = dial(addr);
	assert_true(write(fd, ask, sizeof ask - 1) > 0);
	event = next(ring, SHELL_EVENT_REQUEST);
	for (int i = 0; i < 700; i++) { /* some 7 MB: more than sockets hold */
		static char line[10000];

		memset(line, 'a', sizeof line);
		line[sizeof line - 1] = '\n';
		api_server_stream_write(web, event->token, line, sizeof line, 0, 1);
	}
	api_server_stream_write(web, event->token, "broken", 6, 1, 0);
	{
		size_t all = 0;
		ssize_t n;

		while ((n = read(fd, b, sizeof b)) > 0)
			all += (size_t)n;
		assert_true(all > 0 && all < 6900000);
	}
	close(fd);
	shell_event_free(event);
	/* a caller that leaves while it waits is noticed */
	fd = dial(addr);
	assert_true(write(fd, ask, sizeof ask - 1) > 0);
	event = next(ring, SHELL_EVENT_REQUEST);
	close(fd);
	for (int64_t end = clock_ms() + LIMIT; clock_ms() < end;) {
		struct shell_event *g;

		api_server_report_disconnected(web);
		g = ring_pop(ring, 20);
		if (g) {
			assert_int_equal(g->kind, SHELL_EVENT_DISCONNECTED);
			assert_int_equal(g->token, event->token);
			shell_event_free(g);
			break;
		}
	}
	shell_event_free(event);
	/* an answer that held until a time that is past is not given */
	fd = dial(addr);
	assert_true(write(fd, ask, sizeof ask - 1) > 0);
	event = next(ring, SHELL_EVENT_REQUEST);
	api_server_respond(web, event->token, 200, 0, "{\"held\":true}", clock_ms() - 1);
	read_until(fd, b, sizeof b, "too late");
	assert_non_null(strstr(b, " 503 "));
	assert_non_null(strstr(b, "Retry-After-Ms: 200"));
	close(fd);
	shell_event_free(event);
	/* too large a body is refused before the core hears of it */
	fd = dial(addr);
	snprintf(b, sizeof b, "POST /v1/change HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n",
		 API_SERVER_MAX_BODY_BYTES + 10);
	assert_true(write(fd, b, strlen(b)) > 0);
	memset(b, 'x', sizeof b);
	for (int sent = 0; sent < API_SERVER_MAX_BODY_BYTES + 10;) {
		int n = API_SERVER_MAX_BODY_BYTES + 10 - sent < (int)sizeof b
			    ? API_SERVER_MAX_BODY_BYTES + 10 - sent
			    : (int)sizeof b;
		ssize_t k = write(fd, b, (size_t)n);

		assert_true(k > 0);
		sent += (int)k;
	}
	read_until(fd, b, sizeof b, "too large");
	assert_non_null(strstr(b, "400"));
	close(fd);
	api_server_close(web);
	while ((event = ring_pop(ring, 0)))
		shell_event_free(event);
	apr_pool_destroy(pool);
}

static void *closes(void *w)
{
	api_server_close(w);
	return NULL;
}

/* Close the interface while a caller reads to the end. */
static void close_while_read(struct api_server *web, int fd, char *to, size_t size)
{
	pthread_t thread;
	size_t n = 0;
	ssize_t k;

	assert_int_equal(pthread_create(&thread, NULL, closes, web), 0);
	while (n < size - 1 && (k = read(fd, to + n, size - 1 - n)) > 0)
		n += (size_t)k;
	to[n] = 0;
	pthread_join(thread, NULL);
}

/* The process ends: an answer that was just given leaves whole, however large, and whoever has none is told
 * that the outcome is open. */
static void a_close_says_what_is_left_to_say(void **state)
{
	enum { LARGE = 3 << 20 };
	static const char ask[] = "GET /v1/table HTTP/1.1\r\nHost: x\r\n\r\n";
	static char large[LARGE + 1], received[LARGE + 1000];

	(void)state;
	memset(large, 'a', LARGE);
	large[0] = '{';
	for (int round = 0; round < 20; round++) {
		apr_pool_t *pool;
		struct ring *ring;
		struct api_server *web;
		struct shell_event *event;
		char addr[40];
		int given, open;

		apr_pool_create(&pool, NULL);
		ring_open(&ring, 64, pool);
		free_addr(addr);
		web = api_server_open(addr, ring, pool);
		assert_non_null(web);
		given = dial(addr);
		assert_true(write(given, ask, sizeof ask - 1) > 0);
		event = next(ring, SHELL_EVENT_REQUEST);
		open = dial(addr);
		assert_true(write(open, ask, sizeof ask - 1) > 0);
		shell_event_free(next(ring, SHELL_EVENT_REQUEST));
		api_server_respond(web, event->token, 200, 0, large, 0);
		shell_event_free(event);
		close_while_read(web, given, received, sizeof received);
		assert_non_null(strstr(received, " 200 "));
		assert_int_equal(strlen(strstr(received, "\r\n\r\n") + 4), LARGE);
		read_until(open, received, sizeof received, NULL);
		assert_non_null(strstr(received, " 504 "));
		assert_non_null(strstr(received, "unknown"));
		close(given);
		close(open);
		apr_pool_destroy(pool);
	}
}

/* What was said before the close still leaves: to a peer that is connected, and to one that is only now
 * dialled. A peer that takes nothing does not hold the close up. */
/* A pool belongs to one thread. What the transport's thread allocates for its sockets must not come from the
 * pool of whoever opened it, who goes on allocating there: nothing may stand between two allocations of his,
 * though connections came and went meanwhile. */
static void the_transport_leaves_its_owners_pool_alone(void **state)
{
	enum { CONNECTIONS = 40, ALLOCATION = 64 };
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__LeaderHint leader = NL__LEADER_HINT__INIT;
	struct transport *transport;
	struct ring *ring;
	char at[40], *before, *after;
	int peers[CONNECTIONS];
	uint8_t frame[200] = { 0 };
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	ring_open(&ring, 2 * CONNECTIONS, pool);
	free_addr(at);
	transport = transport_open(at, ring, pool);
	assert_non_null(transport);
	message.protocol_version = CORE_PROTOCOL_VERSION;
	message.body_case = NL__MSG__BODY_LEADER_HINT;
	message.leader_hint = &leader;
	frame[3] = (uint8_t)nl__msg__get_packed_size(&message);
	nl__msg__pack(&message, frame + 4);
	before = apr_palloc(pool, ALLOCATION);
	for (int i = 0; i < CONNECTIONS; i++) {
		peers[i] = dial(at);
		assert_int_equal(write(peers[i], frame, 4u + frame[3]), 4 + frame[3]);
	}
	for (int i = 0; i < CONNECTIONS; i++)
		shell_event_free(next(ring, SHELL_EVENT_MESSAGE));
	after = apr_palloc(pool, ALLOCATION);
	assert_ptr_equal(after, before + ALLOCATION);
	for (int i = 0; i < CONNECTIONS; i++)
		close(peers[i]);
	transport_close(transport);
	apr_pool_destroy(pool);
}

static void what_was_said_last_leaves(void **state)
{
	enum { MESSAGES = 2000, ROUNDS = 20, CLOSE_MS = 2000 };

	(void)state;
	for (int round = 0; round < ROUNDS; round++) {
		struct Nl__Msg message = NL__MSG__INIT;
		struct Nl__LeaderHint leader = NL__LEADER_HINT__INIT;
		struct transport *from, *net;
		struct ring *ring, *unused;
		struct shell_event *event;
		char at_from[40], at_to[40], deaf[40];
		int listens = listener(deaf), heard = 0;
		int64_t end;
		apr_pool_t *pool;

		apr_pool_create(&pool, NULL);
		ring_open(&ring, 4 * MESSAGES, pool);
		ring_open(&unused, 64, pool);
		free_addr(at_from);
		free_addr(at_to);
		from = transport_open(at_from, unused, pool);
		net = transport_open(at_to, ring, pool);
		assert_true(from && net);
		message.protocol_version = CORE_PROTOCOL_VERSION;
		message.body_case = NL__MSG__BODY_LEADER_HINT;
		message.leader_hint = &leader;
		if (round % 2) { /* connected before */
			transport_send(from, core_parse_addr(at_to), &message);
			shell_event_free(next(ring, SHELL_EVENT_MESSAGE));
		}
		transport_send(from, core_parse_addr(deaf), &message);
		for (int i = 0; i < MESSAGES; i++)
			transport_send(from, core_parse_addr(at_to), &message);
		end = clock_ms() + CLOSE_MS;
		transport_close(from);
		assert_true(clock_ms() < end);
		for (; heard < MESSAGES; heard++) {
			event = ring_pop(ring, 2000);
			if (!event)
				fail_msg("round %d: %d of %d messages arrive", round, heard, (int)MESSAGES);
			shell_event_free(event);
		}
		transport_close(net);
		close(listens);
		apr_pool_destroy(pool);
	}
}

static void bad_settings_open_nothing(void **state)
{
	static const struct {
		int argc;
		char *argv[12];
		int rc;
	} calls[] = {
		{ 9,
		  { "counter", "-l", "127.0.0.1:1", "-w", "127.0.0.1:2", "-z", "z1", "--seed",
		    "127.0.0.1:3" },
		  -1 },
		{ 10,
		  { "counter", "-l", "127.0.0.1:1", "-w", "127.0.0.1:2", "-z", "z1", "--seed", "127.0.0.1:3",
		    "--check" },
		  0 },
		{ 7, { "counter", "-l", "127.0.0.1:1", "-w", "127.0.0.1:2", "-z", "z1" }, 2 },
		{ 9,
		  { "counter", "-l", "127.0.0.1:70000", "-w", "127.0.0.1:2", "-z", "z1", "--seed",
		    "127.0.0.1:3" },
		  2 },
		{ 9,
		  { "counter", "-l", "127.0.0.1:1", "-w", "localhost:2", "-z", "z1", "--seed",
		    "127.0.0.1:3" },
		  2 },
		{ 9,
		  { "counter", "-l", "127.0.0.1:1", "-w", "127.0.0.1:2", "-z", "", "--seed", "127.0.0.1:3" },
		  2 },
		{ 2, { "counter", "--no-such-flag" }, 2 },
		{ 3, { "counter", "--settings", "/nonexistent.json" }, 2 },
	};
	apr_pool_t *pool;

	(void)state;
	apr_pool_create(&pool, NULL);
	for (size_t i = 0; i < sizeof calls / sizeof *calls; i++) {
		struct settings settings;
		char *argv[13] = { 0 };

		memcpy(argv, calls[i].argv, sizeof calls[i].argv);
		if (settings_read(&settings, "counter", 0, calls[i].argc, argv, pool) != calls[i].rc)
			fail_msg("call %d", (int)i);
	}
	apr_pool_destroy(pool);
}

int main(void)
{
	const struct CMUnitTest t[] = {
		cmocka_unit_test(a_wall_clock_set_back_stops_nothing),
		cmocka_unit_test(a_send_goes_out_once),
		cmocka_unit_test(folder_keeps_what_was_synced),
		cmocka_unit_test(purged_entries_leave_no_trace),
		cmocka_unit_test(full_disk_acknowledges_nothing),
		cmocka_unit_test(damaged_folder_is_refused),
		cmocka_unit_test(senseless_peers_are_hung_up_on),
		cmocka_unit_test(a_dial_that_hangs_is_made_anew),
		cmocka_unit_test(a_dial_that_is_slow_stays_under_way),
		cmocka_unit_test(a_connection_that_nobody_acknowledges_is_made_anew),
		cmocka_unit_test(knowledge_passes_cache_updates),
		cmocka_unit_test(streams_end_definitely),
		cmocka_unit_test(a_close_says_what_is_left_to_say),
		cmocka_unit_test(the_transport_leaves_its_owners_pool_alone),
		cmocka_unit_test(what_was_said_last_leaves),
		cmocka_unit_test(bad_settings_open_nothing),
	};

	apr_initialize();
	return cmocka_run_group_tests(t, NULL, NULL);
}
