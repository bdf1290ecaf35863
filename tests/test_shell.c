/* The shell on real sockets and files: loopback, ports given by the kernel, waits on conditions with limits. */
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
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "shell.h"

enum { LIMIT = 20000, HELD = 16000 /* bytes at the file's start that hold the test's records */ };

static int listener(char addr[40])
{
	struct sockaddr_in sa = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t n = sizeof sa;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_return_code(bind(fd, (struct sockaddr *)&sa, sizeof sa), 0);
	assert_return_code(listen(fd, 16), 0);
	getsockname(fd, (struct sockaddr *)&sa, &n);
	snprintf(addr, 40, "127.0.0.1:%d", ntohs(sa.sin_port));
	return fd;
}

/* An address nobody listens at: given by the kernel, then left. */
static void free_addr(char addr[40]) { close(listener(addr)); }

static int dial(const char *addr)
{
	uint64_t a = core_addr(addr);
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl((uint32_t)(a >> 16)),
				  .sin_port = htons((uint16_t)a) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	assert_return_code(connect(fd, (struct sockaddr *)&sa, sizeof sa), 0);
	return fd;
}

static struct shell_ev *next(struct ring *r, enum shell_ev_kind k)
{
	int64_t end = clock_ms() + LIMIT;
	struct shell_ev *e;

	while (clock_ms() < end)
		if ((e = ring_pop(r, 100))) {
			if (e->kind == k)
				return e;
			shell_ev_free(e);
		}
	fail_msg("no event of kind %d within the limit", k);
	return NULL;
}

/* ---- calls: a send goes out once ---- */

struct fake {
	int fd, taken, requests, keep;
	volatile int stop;
	const char *reply;
};

/* Answers the first request on each connection if told to; then closes when the next one has come. */
static void *fake_server(void *arg)
{
	struct fake *f = arg;

	while (!f->stop) {
		struct pollfd p = { f->fd, POLLIN, 0 };
		char b[4096];
		int c;

		if (poll(&p, 1, 50) != 1)
			continue;
		c = accept(f->fd, NULL, NULL);
		f->taken++;
		if (read(c, b, sizeof b) > 0 && ++f->requests && f->reply && write(c, f->reply, strlen(f->reply)) > 0 && f->keep)
			f->requests += read(c, b, sizeof b) > 0; /* the second request on a kept connection dies unanswered */
		close(c);
	}
	return NULL;
}

/* The clock as the code under test reads it. Armed, it jumps 10 s after its next reading by another thread than the
 * test's: as if the process froze between the decision to send and the connection. */
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

/* The wall clock as libraries read it: an hour ahead of the kernel's when armed, as if it were set back by an hour
 * between a reading and the wait that follows. */
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
static void a_wall_clock_set_back_stops_nothing(void **st)
{
	struct {
		struct ring *r;
		int done;
	} x = { NULL, 0 };
	apr_pool_t *p;
	pthread_t t;
	int64_t end = clock_ms() + LIMIT;
	int in_time;

	(void)st;
	apr_pool_create(&p, NULL);
	ring_open(&x.r, 4, p);
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
	apr_pool_destroy(p);
}

static void a_send_goes_out_once(void **st)
{
	apr_pool_t *p;
	struct ring *r;
	struct call *c;
	struct fake f = { 0 };
	struct shell_ev *e;
	pthread_t t;
	char addr[40], nobody[40];

	(void)st;
	apr_pool_create(&p, NULL);
	ring_open(&r, 64, p);
	c = call_open(r, p);
	f.fd = listener(addr);
	pthread_create(&t, NULL, fake_server, &f);
	/* the server takes the request and closes without a word: unknown, and not sent again */
	call_start(c, 1, addr, "/v1/run", "{}", 5000, 1, clock_ms() + LIMIT);
	e = next(r, EV_DONE);
	assert_int_equal(e->token, 1);
	assert_int_equal(e->never, 0);
	assert_int_equal(f.taken, 1);
	shell_ev_free(e);
	/* a kept connection that dies at the second request: the library would send that one again by itself */
	f.keep = 1;
	f.reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\n{}";
	call_start(c, 2, addr, "/v1/run", "{}", 5000, 0, clock_ms() + LIMIT);
	e = next(r, EV_DONE);
	assert_int_equal(e->status, 200);
	shell_ev_free(e);
	f.reply = NULL;
	call_start(c, 3, addr, "/v1/run", "{}", 5000, 0, clock_ms() + LIMIT);
	e = next(r, EV_DONE);
	assert_int_equal(e->never, 0);
	assert_int_equal(e->status, 0);
	shell_ev_free(e);
	assert_int_equal(f.requests, 3);
	assert_int_equal(f.taken, 3); /* one connection each */
	/* nobody there, or decided too long ago: it surely never began */
	free_addr(nobody);
	call_start(c, 4, nobody, "/v1/run", "{}", 5000, 1, clock_ms() + LIMIT);
	e = next(r, EV_DONE);
	assert_int_equal(e->never, 1);
	shell_ev_free(e);
	call_start(c, 5, addr, "/v1/run", "{}", 5000, 1, clock_ms() - 1);
	e = next(r, EV_DONE);
	assert_int_equal(e->never, 1);
	shell_ev_free(e);
	assert_int_equal(f.taken, 3);
	/* it froze after that look and woke with its connection up: still nothing goes out on it */
	test_thread = pthread_self();
	jump_armed = 1;
	call_start(c, 8, addr, "/v1/run", "{}", 5000, 1, __real_clock_ms() + 5000);
	e = next(r, EV_DONE);
	assert_int_equal(jump, 1);
	jump_armed = jump = 0;
	assert_int_equal(e->never, 1);
	shell_ev_free(e);
	assert_int_equal(f.requests, 3);
	/* the server says itself that it never began; any other error is no such word */
	f.reply = "HTTP/1.1 503 No\r\nContent-Length: 15\r\nConnection: close\r\n\r\n{\"began\":false}";
	call_start(c, 6, addr, "/v1/run", "{}", 5000, 1, clock_ms() + LIMIT);
	e = next(r, EV_DONE);
	assert_int_equal(e->never, 1);
	shell_ev_free(e);
	f.reply = "HTTP/1.1 500 No\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
	call_start(c, 7, addr, "/v1/run", "{}", 5000, 1, clock_ms() + LIMIT);
	e = next(r, EV_DONE);
	assert_int_equal(e->never, 0);
	shell_ev_free(e);
	f.stop = 1;
	pthread_join(t, NULL);
	call_close(c);
	close(f.fd);
	apr_pool_destroy(p);
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

static void write_some(struct store *s, struct ring *r, uint64_t seq, uint64_t from, uint64_t n, uint64_t cut)
{
	struct persist w = { 0 };
	struct persist_entry e[100];
	struct shell_ev *ev;
	char d[100][32];

	w.part = 2;
	w.seq = seq;
	w.term = 7;
	w.vote = 99;
	w.cut = cut;
	w.n = n;
	w.e = e;
	for (uint64_t i = 0; i < n; i++) {
		snprintf(d[i], sizeof d[i], "entry %d of %d", (int)(from + i), (int)seq);
		e[i] = (struct persist_entry){ from + i, 7, RAFT_ENTRY_OPERATION, strlen(d[i]), (uint8_t *)d[i] };
	}
	store_write(s, &w);
	do {
		ev = next(r, EV_SYNCED);
		n = ev->seq;
		shell_ev_free(ev);
	} while (n != seq);
}

static struct store *open_again(const char *folder, struct ring *r, struct store_found *f, const char **why, apr_pool_t *p)
{
	*why = NULL;
	return store_open(folder, NULL, r, f, why, p);
}

/* A new folder with an identity in it. */
static struct store *folder_begin(char *folder, struct ring *r, struct store_found *f, apr_pool_t *p)
{
	const char *why;
	struct store *s;

	folder_new(folder);
	s = open_again(folder, r, f, &why, p);
	assert_non_null(s);
	assert_int_equal(f->id, 0);
	assert_true(store_identity(s, 42, 43));
	return s;
}

static void folder_keeps_what_was_synced(void **st)
{
	apr_pool_t *p;
	struct ring *r;
	struct store *s;
	struct store_found f;
	const char *why;
	char folder[64];
	struct persist w = { 0 };

	(void)st;
	apr_pool_create(&p, NULL);
	ring_open(&r, 64, p);
	s = folder_begin(folder, r, &f, p);
	assert_null(open_again(folder, r, &f, &why, p)); /* one controller a folder */
	assert_non_null(strstr(why, "in use"));
	write_some(s, r, 1, 1, 50, 0);
	write_some(s, r, 2, 40, 5, 40); /* a conflict: 40 and above are replaced by 40 to 44 */
	w.part = 2;
	w.seq = 3;
	w.term = 8;
	w.vote = 1;
	w.snap = 1;
	w.base = 20;
	w.base_term = 7;
	w.drop = 10;
	w.members = (const uint8_t *)"mm";
	w.members_len = 2;
	w.data = (const uint8_t *)"state";
	w.data_len = 5;
	store_write(s, &w);
	shell_ev_free(next(r, EV_SYNCED));
	store_close(s);
	s = open_again(folder, r, &f, &why, p);
	assert_non_null(s);
	assert_int_equal(f.id, 42);
	assert_int_equal(f.fleet, 43);
	assert_int_equal(f.part[2].term, 8);
	assert_int_equal(f.part[2].vote, 1);
	assert_int_equal(f.part[2].base, 20);
	assert_memory_equal(f.part[2].data, "state", 5);
	assert_int_equal(f.part[2].log_from, 11);
	assert_int_equal(f.part[2].n, 34);
	assert_memory_equal(f.part[2].e[0].data, "entry 11 of 1", 13);
	assert_memory_equal(f.part[2].e[33].data, "entry 44 of 2", 13);
	store_close(s);
	folder_end(folder);
	apr_pool_destroy(p);
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

/* What a clearing took away is in no freed page either, and all else is still there. */
static void cleared_entries_leave_no_trace(void **st)
{
	apr_pool_t *p;
	struct ring *r;
	struct store *s;
	struct store_found f;
	const char *why;
	char folder[64], fresh[100];
	struct persist w = { 0 };
	FILE *torn;

	(void)st;
	apr_pool_create(&p, NULL);
	ring_open(&r, 64, p);
	s = folder_begin(folder, r, &f, p);
	for (uint64_t k = 0; k < 20; k++)
		write_some(s, r, 1 + k, 1 + 50 * k, 50, 0);
	w.part = 2;
	w.seq = 21;
	w.snap = 1;
	w.base = w.drop = 990;
	w.members = w.data = (const uint8_t *)"state";
	w.members_len = w.data_len = 5;
	store_write(s, &w);
	shell_ev_free(next(r, EV_SYNCED));
	assert_true(traces(folder, "entry 7 of 1") > 0); /* deleted, and yet there */
	w.seq = 22;
	w.tidy = 1;
	store_write(s, &w);
	shell_ev_free(next(r, EV_SYNCED));
	assert_int_equal(traces(folder, "entry 7 of 1"), 0);
	assert_true(traces(folder, "entry 1000 of 20") > 0);
	write_some(s, r, 23, 1001, 5, 0);
	store_close(s);
	snprintf(fresh, sizeof fresh, "%s/registrar.tdb.fresh", folder); /* a fall in the middle of a later one */
	torn = fopen(fresh, "w");
	assert_non_null(torn);
	fclose(torn);
	s = open_again(folder, r, &f, &why, p);
	assert_non_null(s);
	assert_int_equal(access(fresh, F_OK), -1);
	assert_int_equal(f.id, 42);
	assert_int_equal(f.part[2].base, 990);
	assert_int_equal(f.part[2].log_from, 991);
	assert_int_equal(f.part[2].n, 15);
	store_close(s);
	folder_end(folder);
	apr_pool_destroy(p);
}

/* A full disk acknowledges nothing; once there is room, what was waiting is written and acknowledged. */
static void full_disk_acknowledges_nothing(void **st)
{
	apr_pool_t *p;
	struct ring *r;
	struct store *s;
	struct store_found f;
	const char *why;
	char folder[64];
	struct rlimit was, full;
	struct persist w = { 0 };
	struct persist_entry e = { 31, 7, RAFT_ENTRY_OPERATION, 5, (const uint8_t *)"after" };

	(void)st;
	apr_pool_create(&p, NULL);
	ring_open(&r, 64, p);
	s = folder_begin(folder, r, &f, p);
	write_some(s, r, 1, 1, 30, 0);
	signal(SIGXFSZ, SIG_IGN);
	assert_return_code(getrlimit(RLIMIT_FSIZE, &was), 0);
	full = was;
	full.rlim_cur = HELD;
	assert_return_code(setrlimit(RLIMIT_FSIZE, &full), 0);
	w.part = 2;
	w.seq = 2;
	w.term = 7;
	w.n = 1;
	w.e = &e;
	store_write(s, &w);
	for (int64_t end = clock_ms() + LIMIT; store_refused(s) < 2 && clock_ms() < end;)
		assert_null(ring_pop(r, 20));
	assert_true(store_refused(s) >= 2);
	assert_return_code(setrlimit(RLIMIT_FSIZE, &was), 0);
	shell_ev_free(next(r, EV_SYNCED));
	store_close(s);
	s = open_again(folder, r, &f, &why, p);
	assert_non_null(s);
	assert_int_equal(f.part[2].n, 31);
	assert_memory_equal(f.part[2].e[30].data, "after", 5);
	store_close(s);
	folder_end(folder);
	apr_pool_destroy(p);
}

/* Every damage to the file is either harmless to what it holds, or refused with the remedy; never read as good. */
static void damaged_folder_is_refused(void **st)
{
	apr_pool_t *p;
	struct ring *r;
	struct store *s;
	struct store_found f;
	const char *why;
	char folder[64], path[100];
	struct stat sb;
	int refused = 0, rounds = 40;

	(void)st;
	apr_pool_create(&p, NULL);
	ring_open(&r, 64, p);
	for (int i = 0; i < rounds; i++) {
		uint64_t rng = (uint64_t)i;
		int fd;

		s = folder_begin(folder, r, &f, p);
		write_some(s, r, 1, 1, 90, 0);
		store_close(s);
		snprintf(path, sizeof path, "%s/registrar.tdb", folder);
		assert_return_code(stat(path, &sb), 0);
		fd = open(path, O_RDWR);
		if (i % 2) { /* torn */
			assert_return_code(ftruncate(fd, (off_t)(core_rand(&rng) % HELD)), 0);
		} else { /* 200 bytes of something else */
			char junk[200];

			for (size_t k = 0; k < sizeof junk; k++)
				junk[k] = (char)core_rand(&rng);
			assert_true(pwrite(fd, junk, sizeof junk, (off_t)(core_rand(&rng) % HELD)) == 200);
		}
		close(fd);
		s = open_again(folder, r, &f, &why, p);
		if (!s) {
			assert_non_null(strstr(why, "step"));
			refused++;
		} else {
			if (f.id) { /* it holds all that was synced, or it is the empty file of a new controller */
				assert_int_equal(f.part[2].n, 90);
				for (int k = 0; k < 90; k++) {
					char want[32];

					snprintf(want, sizeof want, "entry %d of 1", k + 1);
					assert_int_equal(f.part[2].e[k].len, strlen(want));
					assert_memory_equal(f.part[2].e[k].data, want, strlen(want));
				}
			}
			store_close(s);
		}
		folder_end(folder);
	}
	print_message("damaged folders refused: %d of %d; the rest was harmed where nothing is kept\n", refused, rounds);
	assert_true(refused >= 8);
	{ /* one letter of a kept entry: the file's own structure is whole, only the record's checksum tells */
		char *text = malloc(HELD), *hit;
		int fd;

		folder_new(folder);
		s = open_again(folder, r, &f, &why, p);
		assert_non_null(s);
		write_some(s, r, 1, 1, 20, 0);
		store_close(s);
		snprintf(path, sizeof path, "%s/registrar.tdb", folder);
		fd = open(path, O_RDWR);
		assert_int_equal(pread(fd, text, HELD, 0), HELD);
		hit = memmem(text, HELD, "entry 7 of 1", 12);
		assert_non_null(hit);
		assert_int_equal(pwrite(fd, "8", 1, hit - text + 6), 1);
		close(fd);
		free(text);
		s = open_again(folder, r, &f, &why, p);
		assert_null(s);
		assert_non_null(strstr(why, "e/2/7"));
		folder_end(folder);
	}
	apr_pool_destroy(p);
}

/* ---- peers ---- */

static void senseless_colleagues_are_hung_up_on(void **st)
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
		     "\x08\x63" }, /* of another edition of the language */
	};
	apr_pool_t *p;
	struct ring *r;
	struct net *a, *b;
	char at_a[40], at_b[40];
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__Owner q = NL__OWNER__INIT;
	struct shell_ev *e = NULL;
	int64_t end = clock_ms() + LIMIT;

	(void)st;
	apr_pool_create(&p, NULL);
	ring_open(&r, 64, p);
	free_addr(at_a);
	a = net_open(at_a, r, p);
	assert_non_null(a);
	for (size_t i = 0; i < sizeof bad / sizeof *bad; i++) {
		struct pollfd pf = { dial(at_a), POLLIN, 0 };
		char c;

		assert_int_equal(write(pf.fd, bad[i].d, bad[i].n), bad[i].n);
		assert_int_equal(poll(&pf, 1, LIMIT), 1);
		assert_int_equal(read(pf.fd, &c, 1), 0); /* closed, with nothing said */
		close(pf.fd);
	}
	free_addr(at_b);
	b = net_open(at_b, r, p);
	assert_non_null(b);
	m.speak = CORE_SPEAK;
	m.body_case = NL__MSG__BODY_OWNER;
	m.owner = &q;
	m.part = 3;
	while (!e && clock_ms() < end) { /* a good one still gets through */
		net_send(b, core_addr(at_a), &m);
		e = ring_pop(r, 50);
	}
	assert_non_null(e);
	assert_int_equal(e->kind, EV_MSG);
	assert_int_equal(e->msg->part, 3);
	shell_ev_free(e);
	net_close(b);
	net_close(a);
	while ((e = ring_pop(r, 0)))
		shell_ev_free(e);
	apr_pool_destroy(p);
}

/* Whether a connection to this port is being dialled. */
static int dialling(unsigned port)
{
	FILE *f = fopen("/proc/net/tcp", "r");
	char line[300];
	int n = 0;

	assert_non_null(f);
	while (fgets(line, sizeof line, f)) {
		unsigned to, state;

		n += sscanf(line, " %*u: %*x:%*x %*x:%x %x", &to, &state) == 2 && to == port && state == 2;
	}
	fclose(f);
	return n;
}

/* A listener whose queue is full, by connections of its own: no dial to it is answered before one is taken. */
static int full_listener(unsigned port, int full[4])
{
	struct sockaddr_in to = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int l = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), one = 1;

	to.sin_port = htons((uint16_t)port);
	setsockopt(l, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	assert_int_equal(bind(l, (struct sockaddr *)&to, sizeof to), 0);
	assert_int_equal(listen(l, 0), 0);
	for (int i = 0; i < 4; i++) {
		full[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(full[i], (struct sockaddr *)&to, sizeof to);
	}
	return l;
}

/* Over a link that is full the answer to a dial takes longer than the pause between two: each stays under way beside the newer
 * ones, within a bound, and once one is answered the others are over. */
static void a_dial_that_is_slow_stays_under_way(void **st)
{
	apr_pool_t *p;
	struct ring *r;
	struct net *a;
	char at_a[40], at_b[40];
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__Owner q = NL__OWNER__INIT;
	int64_t end = clock_ms() + LIMIT;
	int l, full[4], own, taken = 0, most = 0;
	unsigned port;

	(void)st;
	apr_pool_create(&p, NULL);
	ring_open(&r, 64, p);
	free_addr(at_a);
	free_addr(at_b);
	port = (unsigned)(core_addr(at_b) & 65535);
	l = full_listener(port, full);
	while (!(dialling(port) > 0) && clock_ms() < end)
		;
	own = dialling(port);
	a = net_open(at_a, r, p);
	assert_non_null(a);
	m.speak = CORE_SPEAK;
	m.body_case = NL__MSG__BODY_OWNER;
	m.owner = &q;
	while (most < own + 3 && clock_ms() < end) { /* the newest dial, and two beside it */
		net_send(a, core_addr(at_b), &m);
		most = dialling(port) > most ? dialling(port) : most;
		assert_null(ring_pop(r, 10));
	}
	assert_true(most >= own + 3);
	for (int i = 0; i < 4; i++)
		close(full[i]);
	while ((dialling(port) > 0 || !taken) && clock_ms() < end) { /* the queue empties, and dials are answered */
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
	net_close(a);
	close(l);
	apr_pool_destroy(p);
}

/* A peer without power does not answer the dial at all; once it is back it is dialled anew, not when the kernel
 * thinks of it. */
static void a_dial_that_hangs_is_made_anew(void **st)
{
	apr_pool_t *p;
	struct ring *r;
	struct net *a, *b;
	char at_a[40], at_b[40];
	struct Nl__Msg m = NL__MSG__INIT;
	struct Nl__Owner q = NL__OWNER__INIT;
	struct shell_ev *e = NULL;
	int64_t end = clock_ms() + LIMIT;
	int l, full[4], one;
	unsigned port;

	(void)st;
	apr_pool_create(&p, NULL);
	ring_open(&r, 64, p);
	free_addr(at_a);
	free_addr(at_b);
	port = (unsigned)(core_addr(at_b) & 65535);
	l = full_listener(port, full); /* further dials are not answered */
	a = net_open(at_a, r, p);
	assert_non_null(a);
	m.speak = CORE_SPEAK;
	m.body_case = NL__MSG__BODY_OWNER;
	m.owner = &q;
	m.part = 1;
	while (!(dialling(port) > 0) && clock_ms() < end)
		;
	one = dialling(port);
	net_send(a, core_addr(at_b), &m);
	while (dialling(port) <= one && clock_ms() < end)
		;
	for (int i = 0; i < 4; i++)
		close(full[i]);
	close(l);
	b = net_open(at_b, r, p);
	assert_non_null(b);
	__atomic_store_n(&jump, 1, __ATOMIC_SEQ_CST);
	m.part = 2;
	end = clock_ms() + LIMIT;
	while (!e && clock_ms() < end) {
		net_send(a, core_addr(at_b), &m);
		e = ring_pop(r, 50);
	}
	__atomic_store_n(&jump, 0, __ATOMIC_SEQ_CST);
	assert_non_null(e);
	assert_int_equal(e->msg->part, 2); /* not what the first dial was for */
	shell_ev_free(e);
	net_close(b);
	net_close(a);
	while ((e = ring_pop(r, 0)))
		shell_ev_free(e);
	apr_pool_destroy(p);
}

/* ---- callers ---- */

static size_t read_until(int fd, char *b, size_t cap, const char *mark)
{
	size_t n = 0;

	for (;;) {
		struct pollfd p = { fd, POLLIN, 0 };
		ssize_t k;

		b[n] = 0;
		if (mark && strstr(b, mark))
			return n;
		assert_int_equal(poll(&p, 1, LIMIT), 1);
		k = read(fd, b + n, cap - n - 1);
		if (k <= 0)
			return n;
		n += (size_t)k;
	}
}

/* A peer that takes nothing more, on a connection that was up: what is sent then goes over a new one, once it listens again. */
/* A listener at a free address of the loopback, which is written to peer. */
static int listen_as_peer(char *peer)
{
	struct sockaddr_in to = { .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int listener = socket(AF_INET, SOCK_STREAM, 0), one = 1, small = 4096;

	free_addr(peer);
	to.sin_port = htons((uint16_t)(core_addr(peer) & 65535));
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
	setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
	assert_int_equal(bind(listener, (struct sockaddr *)&to, sizeof to), 0);
	assert_int_equal(listen(listener, 8), 0);
	return listener;
}

static int accept_within_limit(int listener)
{
	struct pollfd waiting = { listener, POLLIN, 0 };

	assert_int_equal(poll(&waiting, 1, LIMIT), 1);
	return accept(listener, NULL, NULL);
}

/* What servers keep is told in many words; knowledge of purges must not wait behind them. */
static void knowledge_passes_words_of_kept_parts(void **st)
{
	enum { LARGE_WORD = 1 << 20, MANY = 40 };
	struct Nl__Msg kept_message = NL__MSG__INIT, question = NL__MSG__INIT, *got;
	struct Nl__KeptAll all = NL__KEPT_ALL__INIT;
	struct Nl__Kept kept = NL__KEPT__INIT, *list[] = { &kept };
	struct Nl__Curiosity curiosity = NL__CURIOSITY__INIT;
	int listener, deaf, quick;
	uint8_t frame[256];
	char at[40], peer[40];
	struct net *net;
	struct ring *ring;
	apr_pool_t *p;

	(void)st;
	apr_pool_create(&p, NULL);
	ring_open(&ring, 64, p);
	free_addr(at);
	listener = listen_as_peer(peer);
	net = net_open(at, ring, p);
	assert_non_null(net);
	kept.server = calloc(1, LARGE_WORD + 1);
	assert_non_null(kept.server);
	memset(kept.server, 'a', LARGE_WORD);
	all.n_k = 1;
	all.k = list;
	kept_message.speak = question.speak = CORE_SPEAK;
	kept_message.body_case = NL__MSG__BODY_KEPT_ALL;
	kept_message.kept_all = &all;
	question.body_case = NL__MSG__BODY_CURIOSITY;
	question.curiosity = &curiosity;
	for (int i = 0; i < MANY; i++) /* more than both ends' buffers hold */
		net_send(net, core_addr(peer), &kept_message);
	deaf = accept_within_limit(listener);
	assert_return_code(deaf, 0);
	net_send(net, core_addr(peer), &question);
	quick = accept_within_limit(listener);
	assert_return_code(quick, 0);
	assert_int_equal(recv(quick, frame, 4, MSG_WAITALL), 4);
	assert_true(frame[0] == 0 && frame[1] == 0 && frame[2] == 0); /* a small one, before all that is large */
	assert_int_equal(recv(quick, frame + 4, frame[3], MSG_WAITALL), frame[3]);
	got = nl__msg__unpack(NULL, frame[3], frame + 4);
	assert_non_null(got);
	assert_int_equal(got->body_case, NL__MSG__BODY_CURIOSITY);
	nl__msg__free_unpacked(got, NULL);
	free(kept.server);
	net_close(net);
	close(quick);
	close(deaf);
	close(listener);
	apr_pool_destroy(p);
}

static void a_connection_that_nobody_acknowledges_is_made_anew(void **st)
{
	enum { LARGE_MESSAGE = 1 << 20, MANY = 40 };
	int listener, deaf = -1, again = -1;
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__SnapshotPiece piece = NL__SNAPSHOT_PIECE__INIT;
	struct pollfd waiting = { -1, POLLIN, 0 };
	char at[40], peer[40];
	struct net *net;
	struct ring *ring;
	apr_pool_t *p;

	(void)st;
	apr_pool_create(&p, NULL);
	ring_open(&ring, 64, p);
	free_addr(at);
	listener = waiting.fd = listen_as_peer(peer);
	net = net_open(at, ring, p);
	assert_non_null(net);
	message.speak = CORE_SPEAK;
	message.body_case = NL__MSG__BODY_SNAPSHOT_PIECE;
	message.snapshot_piece = &piece;
	piece.data.len = LARGE_MESSAGE;
	piece.data.data = calloc(1, LARGE_MESSAGE);
	assert_non_null(piece.data.data);
	for (int i = 0; i < MANY; i++) /* more than both ends' buffers hold */
		net_send(net, core_addr(peer), &message);
	deaf = accept_within_limit(listener);
	assert_return_code(deaf, 0);
	for (int64_t end = clock_ms() + LIMIT; again < 0 && clock_ms() < end;) {
		net_send(net, core_addr(peer), &message);
		if (poll(&waiting, 1, 50) == 1)
			again = accept(listener, NULL, NULL);
	}
	assert_return_code(again, 0);
	free(piece.data.data);
	net_close(net);
	close(again);
	close(deaf);
	close(listener);
	apr_pool_destroy(p);
}

static void streams_end_definitely(void **st)
{
	static const char ask[] = "POST /v1/exchange HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\nContent-Length: 2\r\n\r\n{}";
	static const char keyed[] = "POST /v1/change HTTP/1.1\r\nHost: x\r\nIdempotency-Key: one-2\r\nContent-Length: 2\r\n\r\n{}";
	apr_pool_t *p;
	struct ring *r;
	struct web *w;
	char addr[40], b[8192];
	struct shell_ev *e;
	int fd;

	(void)st;
	apr_pool_create(&p, NULL);
	ring_open(&r, 64, p);
	free_addr(addr);
	w = web_open(addr, r, p);
	assert_non_null(w);
	/* a whole stream ends with the last chunk */
	fd = dial(addr);
	assert_true(write(fd, ask, sizeof ask - 1) > 0);
	e = next(r, EV_WEB);
	assert_int_equal(strlen(e->digest), 64);
	assert_null(e->key);
	web_piece(w, e->token, "one\n", 4, 0, 1);
	read_until(fd, b, sizeof b, "one\n");
	web_piece(w, e->token, "end\n", 4, 1, 1);
	read_until(fd, b, sizeof b, "\r\n0\r\n\r\n");
	close(fd);
	shell_ev_free(e);
	/* an order's key goes along */
	fd = dial(addr);
	assert_true(write(fd, keyed, sizeof keyed - 1) > 0);
	e = next(r, EV_WEB);
	assert_string_equal(e->key, "one-2");
	web_answer(w, e->token, 200, 0, "{}", 0);
	read_until(fd, b, sizeof b, "{}");
	close(fd);
	shell_ev_free(e);
	/* a broken one says so and has no last chunk */
	fd = dial(addr);
	assert_true(write(fd, ask, sizeof ask - 1) > 0);
	e = next(r, EV_WEB);
	web_piece(w, e->token, "one\n", 4, 0, 1);
	web_piece(w, e->token, "broken", 6, 1, 0);
	read_until(fd, b, sizeof b, NULL);
	assert_non_null(strstr(b, "broken"));
	assert_null(strstr(b, "\r\n0\r\n"));
	close(fd);
	shell_ev_free(e);
	/* a process that froze passes on nothing that it held before */
	fd = dial(addr);
	assert_true(write(fd, ask, sizeof ask - 1) > 0);
	e = next(r, EV_WEB);
	web_good_until(w, clock_ms() + 60000);
	web_piece(w, e->token, "one\n", 4, 0, 1);
	read_until(fd, b, sizeof b, "one\n");
	web_good_until(w, clock_ms() - 1);
	web_piece(w, e->token, "two\n", 4, 0, 1);
	read_until(fd, b, sizeof b, NULL);
	assert_null(strstr(b, "two"));
	assert_null(strstr(b, "\r\n0\r\n"));
	web_good_until(w, clock_ms() + 60000);
	close(fd);
	shell_ev_free(e);
	/* a slow reader of a stream that is broken off hears no more than it was in the middle of */
	fd = dial(addr);
	assert_true(write(fd, ask, sizeof ask - 1) > 0);
	e = next(r, EV_WEB);
	for (int i = 0; i < 700; i++) { /* some 7 MB: more than sockets hold */
		static char line[10000];

		memset(line, 'a', sizeof line);
		line[sizeof line - 1] = '\n';
		web_piece(w, e->token, line, sizeof line, 0, 1);
	}
	web_piece(w, e->token, "broken", 6, 1, 0);
	{
		size_t all = 0;
		ssize_t n;

		while ((n = read(fd, b, sizeof b)) > 0)
			all += (size_t)n;
		assert_true(all > 0 && all < 6900000);
	}
	close(fd);
	shell_ev_free(e);
	/* a caller that leaves while it waits is noticed */
	fd = dial(addr);
	assert_true(write(fd, ask, sizeof ask - 1) > 0);
	e = next(r, EV_WEB);
	close(fd);
	for (int64_t end = clock_ms() + LIMIT; clock_ms() < end;) {
		struct shell_ev *g;

		web_scan(w);
		g = ring_pop(r, 20);
		if (g) {
			assert_int_equal(g->kind, EV_GONE);
			assert_int_equal(g->token, e->token);
			shell_ev_free(g);
			break;
		}
	}
	shell_ev_free(e);
	/* an answer that held until a time that is past is not given */
	fd = dial(addr);
	assert_true(write(fd, ask, sizeof ask - 1) > 0);
	e = next(r, EV_WEB);
	web_answer(w, e->token, 200, 0, "{\"held\":true}", clock_ms() - 1);
	read_until(fd, b, sizeof b, "too late");
	assert_non_null(strstr(b, " 503 "));
	assert_non_null(strstr(b, "Retry-After-Ms: 200"));
	close(fd);
	shell_ev_free(e);
	/* too large a body is refused before the core hears of it */
	fd = dial(addr);
	snprintf(b, sizeof b, "POST /v1/change HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", WEB_BODY_MAX + 10);
	assert_true(write(fd, b, strlen(b)) > 0);
	memset(b, 'x', sizeof b);
	for (int sent = 0; sent < WEB_BODY_MAX + 10;) {
		int n = WEB_BODY_MAX + 10 - sent < (int)sizeof b ? WEB_BODY_MAX + 10 - sent : (int)sizeof b;
		ssize_t k = write(fd, b, (size_t)n);

		assert_true(k > 0);
		sent += (int)k;
	}
	read_until(fd, b, sizeof b, "too large");
	assert_non_null(strstr(b, "400"));
	close(fd);
	web_close(w);
	while ((e = ring_pop(r, 0)))
		shell_ev_free(e);
	apr_pool_destroy(p);
}

static void *closes(void *w)
{
	web_close(w);
	return NULL;
}

/* Close the interface while a caller reads to the end. */
static void close_while_read(struct web *w, int fd, char *to, size_t size)
{
	pthread_t thread;
	size_t n = 0;
	ssize_t k;

	assert_int_equal(pthread_create(&thread, NULL, closes, w), 0);
	while (n < size - 1 && (k = read(fd, to + n, size - 1 - n)) > 0)
		n += (size_t)k;
	to[n] = 0;
	pthread_join(thread, NULL);
}

/* The process ends: an answer that was just given leaves whole, however large, and whoever has none is told that the outcome
 * is open. */
static void a_close_says_what_is_left_to_say(void **st)
{
	enum { LARGE = 3 << 20 };
	static const char ask[] = "GET /v1/table HTTP/1.1\r\nHost: x\r\n\r\n";
	static char large[LARGE + 1], heard[LARGE + 1000];

	(void)st;
	memset(large, 'a', LARGE);
	large[0] = '{';
	for (int round = 0; round < 20; round++) {
		apr_pool_t *p;
		struct ring *r;
		struct web *w;
		struct shell_ev *e;
		char addr[40];
		int given, open;

		apr_pool_create(&p, NULL);
		ring_open(&r, 64, p);
		free_addr(addr);
		w = web_open(addr, r, p);
		assert_non_null(w);
		given = dial(addr);
		assert_true(write(given, ask, sizeof ask - 1) > 0);
		e = next(r, EV_WEB);
		open = dial(addr);
		assert_true(write(open, ask, sizeof ask - 1) > 0);
		shell_ev_free(next(r, EV_WEB));
		web_answer(w, e->token, 200, 0, large, 0);
		shell_ev_free(e);
		close_while_read(w, given, heard, sizeof heard);
		assert_non_null(strstr(heard, " 200 "));
		assert_int_equal(strlen(strstr(heard, "\r\n\r\n") + 4), LARGE);
		read_until(open, heard, sizeof heard, NULL);
		assert_non_null(strstr(heard, " 504 "));
		assert_non_null(strstr(heard, "unknown"));
		close(given);
		close(open);
		apr_pool_destroy(p);
	}
}

/* What was said before the close still leaves: to a peer that is connected, and to one that is only now dialled. A peer that
 * takes nothing does not hold the close up. */
static void what_was_said_last_leaves(void **st)
{
	enum { MESSAGES = 2000, ROUNDS = 20, CLOSE_MS = 2000 };

	(void)st;
	for (int round = 0; round < ROUNDS; round++) {
		struct Nl__Msg m = NL__MSG__INIT;
		struct Nl__Owner owner = NL__OWNER__INIT;
		struct net *from, *to;
		struct ring *r, *unused;
		struct shell_ev *e;
		char at_from[40], at_to[40], deaf[40];
		int listens = listener(deaf), heard = 0;
		int64_t end;
		apr_pool_t *p;

		apr_pool_create(&p, NULL);
		ring_open(&r, 4 * MESSAGES, p);
		ring_open(&unused, 64, p);
		free_addr(at_from);
		free_addr(at_to);
		from = net_open(at_from, unused, p);
		to = net_open(at_to, r, p);
		assert_true(from && to);
		m.speak = CORE_SPEAK;
		m.body_case = NL__MSG__BODY_OWNER;
		m.owner = &owner;
		if (round % 2) { /* connected before */
			net_send(from, core_addr(at_to), &m);
			shell_ev_free(next(r, EV_MSG));
		}
		net_send(from, core_addr(deaf), &m);
		for (int i = 0; i < MESSAGES; i++)
			net_send(from, core_addr(at_to), &m);
		end = clock_ms() + CLOSE_MS;
		net_close(from);
		assert_true(clock_ms() < end);
		for (; heard < MESSAGES; heard++) {
			e = ring_pop(r, 2000);
			if (!e)
				fail_msg("round %d: %d of %d messages arrive", round, heard, (int)MESSAGES);
			shell_ev_free(e);
		}
		net_close(to);
		close(listens);
		apr_pool_destroy(p);
	}
}

static void bad_settings_open_nothing(void **st)
{
	static const struct {
		int argc;
		char *argv[12];
		int rc;
	} calls[] = {
		{ 9, { "counter", "-l", "127.0.0.1:1", "-w", "127.0.0.1:2", "-z", "z1", "--seed", "127.0.0.1:3" }, -1 },
		{ 10, { "counter", "-l", "127.0.0.1:1", "-w", "127.0.0.1:2", "-z", "z1", "--seed", "127.0.0.1:3", "--check" }, 0 },
		{ 7, { "counter", "-l", "127.0.0.1:1", "-w", "127.0.0.1:2", "-z", "z1" }, 2 },
		{ 9, { "counter", "-l", "127.0.0.1:70000", "-w", "127.0.0.1:2", "-z", "z1", "--seed", "127.0.0.1:3" }, 2 },
		{ 9, { "counter", "-l", "127.0.0.1:1", "-w", "localhost:2", "-z", "z1", "--seed", "127.0.0.1:3" }, 2 },
		{ 9, { "counter", "-l", "127.0.0.1:1", "-w", "127.0.0.1:2", "-z", "", "--seed", "127.0.0.1:3" }, 2 },
		{ 2, { "counter", "--no-such-flag" }, 2 },
		{ 3, { "counter", "--settings", "/nonexistent.json" }, 2 },
	};
	apr_pool_t *p;

	(void)st;
	apr_pool_create(&p, NULL);
	for (size_t i = 0; i < sizeof calls / sizeof *calls; i++) {
		struct settings s;
		char *argv[13] = { 0 };

		memcpy(argv, calls[i].argv, sizeof calls[i].argv);
		if (set_read(&s, "counter", 0, calls[i].argc, argv, p) != calls[i].rc)
			fail_msg("call %d", (int)i);
	}
	apr_pool_destroy(p);
}

int main(void)
{
	const struct CMUnitTest t[] = {
		cmocka_unit_test(a_wall_clock_set_back_stops_nothing),
		cmocka_unit_test(a_send_goes_out_once),
		cmocka_unit_test(folder_keeps_what_was_synced),
		cmocka_unit_test(cleared_entries_leave_no_trace),
		cmocka_unit_test(full_disk_acknowledges_nothing),
		cmocka_unit_test(damaged_folder_is_refused),
		cmocka_unit_test(senseless_colleagues_are_hung_up_on),
		cmocka_unit_test(a_dial_that_hangs_is_made_anew),
		cmocka_unit_test(a_dial_that_is_slow_stays_under_way),
		cmocka_unit_test(a_connection_that_nobody_acknowledges_is_made_anew),
		cmocka_unit_test(knowledge_passes_words_of_kept_parts),
		cmocka_unit_test(streams_end_definitely),
		cmocka_unit_test(a_close_says_what_is_left_to_say),
		cmocka_unit_test(what_was_said_last_leaves),
		cmocka_unit_test(bad_settings_open_nothing),
	};

	apr_initialize();
	return cmocka_run_group_tests(t, NULL, NULL);
}
