/* store: a controller's data folder: one TDB file, every record with a checksum, one transaction a batch.
 * Acknowledged only after the transaction's own syncs; a failing disk is retried, never skipped.
 * Each transaction also writes how many records there are and the sum of their checksums (TOTAL_KEY), so that what a loss of
 * power has left is judged by its records: all of them of one transaction, or the file is refused. */
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

#include "ds.h"
#include "shell.h"

struct store_job {
	struct persist w;
	apr_pool_t *p;
};

enum { STORE_KEY = 64 }; /* bytes of a record's key, its end included */

static const char TOTAL_KEY[] = "total";

/* What the file holds besides this record itself. */
struct total {
	uint64_t records, sum;
};

struct record_sum {
	char *key;
	uint64_t value;
};

struct store {
	struct tdb_context *db;
	struct record_sum *sums; /* stb_ds: the checksum of every record, but for the total's */
	struct total total;
	struct ring *to, *jobs;
	apr_thread_t *t;
	apr_thread_mutex_t *m;
	atomic_int stop;
	uint64_t first[SHARD_COUNT]; /* lowest entry held, 0 = none */
	uint64_t last[SHARD_COUNT];
	_Atomic uint64_t syncs, refused;
	int lock;
	int faults; /* that the library has logged */
	int renew;  /* its records are to be written to a fresh file */
	int torn;   /* a transaction has failed since the file was opened */
	int tidy;   /* what was taken away must not stay in freed pages: a fresh file is due */
	const char *fault, *folder, *path, *fresh;
};

/* A record: 8 bytes checksum over key and body, then the body. Returns whether it was written, and its checksum. */
static int record_write(struct store *s, const char *key, const void *head, size_t hn, const void *d, size_t n, uint64_t *sum)
{
	uint8_t *b = malloc(8 + hn + n);
	TDB_DATA k = { (unsigned char *)(uintptr_t)key, strlen(key) }, v = { b, 8 + hn + n };
	int rc;

	if (!b)
		abort();
	memcpy(b + 8, head, hn);
	if (n)
		memcpy(b + 8 + hn, d, n);
	*sum = core_hash(core_hashs(0, key), b + 8, hn + n);
	memcpy(b, sum, 8);
	rc = tdb_store(s->db, k, v, TDB_REPLACE);
	free(b);
	return rc == 0;
}

/* The checksum of a record changes, or the record comes or goes (has 0). */
static void sums_change(struct store *s, const char *key, uint64_t sum, int has)
{
	ptrdiff_t old = shgeti(s->sums, key);

	if (old >= 0) {
		s->total.sum -= s->sums[old].value;
		s->total.records--;
	}
	if (has) {
		s->total.sum += sum;
		s->total.records++;
		shput(s->sums, key, sum);
	} else {
		(void)shdel(s->sums, key);
	}
}

static int put(struct store *s, const char *key, const void *head, size_t hn, const void *d, size_t n)
{
	uint64_t sum;

	if (!record_write(s, key, head, hn, d, n, &sum))
		return 0;
	sums_change(s, key, sum, 1);
	return 1;
}

static int del(struct store *s, const char *key)
{
	TDB_DATA k = { (unsigned char *)(uintptr_t)key, strlen(key) };

	if (shgeti(s->sums, key) < 0)
		return 1;
	if (tdb_delete(s->db, k))
		return 0;
	sums_change(s, key, 0, 0);
	return 1;
}

/* The last write of each transaction. */
static int total_write(struct store *s)
{
	uint64_t sum;

	return record_write(s, TOTAL_KEY, &s->total, sizeof s->total, NULL, 0, &sum);
}

static const char *entry_key(char *buf, size_t n, uint32_t part, uint64_t i)
{
	snprintf(buf, n, "e/%u/%llu", part, (unsigned long long)i);
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

static int write_one(struct store *s, const struct persist *w)
{
	struct meta m = { w->term, w->vote };
	char key[64];
	uint64_t *first = &s->first[w->part], *last = &s->last[w->part];

	snprintf(key, sizeof key, "m/%u", w->part);
	if (!put(s, key, &m, sizeof m, NULL, 0))
		return 0;
	for (uint64_t i = w->cut; w->cut && i <= *last; i++)
		if (!del(s, entry_key(key, sizeof key, w->part, i)))
			return 0;
	if (w->cut && *last >= w->cut)
		*last = w->cut - 1;
	if (w->snap) {
		struct snap_head h = { w->base, w->base_term, w->members_len, w->data_len };
		uint8_t *both = malloc(w->members_len + w->data_len + 1);
		int ok;

		if (!both)
			abort();
		memcpy(both, w->members, w->members_len);
		memcpy(both + w->members_len, w->data, w->data_len);
		snprintf(key, sizeof key, "s/%u", w->part);
		ok = put(s, key, &h, sizeof h, both, w->members_len + w->data_len);
		free(both);
		for (uint64_t i = *first; ok && i && i <= w->drop && i <= *last; i++)
			ok = del(s, entry_key(key, sizeof key, w->part, i));
		if (!ok)
			return 0;
		if (*first && *first <= w->drop)
			*first = w->drop + 1;
	}
	for (size_t i = 0; i < w->n; i++) {
		struct entry_head h = { w->e[i].term, w->e[i].kind };

		if (!put(s, entry_key(key, sizeof key, w->part, w->e[i].index), &h, sizeof h, w->e[i].data, w->e[i].len))
			return 0;
		if (!*first || *first > *last)
			*first = w->e[i].index;
		*last = w->e[i].index;
	}
	return 1;
}

/* A rehearsal's fault: a file with the milliseconds that each sync is to take longer. */
static void fault_wait(struct store *s)
{
	int64_t from = clock_ms(), ms;

	do {
		FILE *f = s->fault ? fopen(s->fault, "r") : NULL;
		long v = 0;

		if (f && fscanf(f, "%ld", &v) != 1) /* NOLINT(cert-err34-c): a rehearsal's own file */
			v = 0;
		if (f)
			(void)fclose(f);
		ms = v;
		if (ms > 0)
			apr_sleep(5000);
	} while (ms > 0 && clock_ms() - from < ms && !s->stop);
}

/* The library's log: faults are counted, nothing is printed. */
static void count_faults(struct tdb_context *db, enum tdb_debug_level level, const char *format, ...)
{
	int *faults = tdb_get_logging_private(db);

	(void)format;
	if (level == TDB_DEBUG_FATAL || level == TDB_DEBUG_ERROR)
		++*faults;
}

static struct tdb_context *file_open(const char *path, int flags, int *faults)
{
	struct tdb_logging_context lc = { count_faults, faults };

	return tdb_open_ex(path, 1009, TDB_NOMMAP, flags, 0600, &lc, NULL);
}

static int sums_add_record(struct tdb_context *db, TDB_DATA key, TDB_DATA value, void *store)
{
	char name[STORE_KEY];
	uint64_t sum;

	(void)db;
	if (key.dsize >= sizeof name || value.dsize < sizeof sum)
		return -1;
	memcpy(name, key.dptr, key.dsize);
	name[key.dsize] = 0;
	memcpy(&sum, value.dptr, sizeof sum);
	if (strcmp(name, TOTAL_KEY))
		sums_change(store, name, sum, 1);
	return 0;
}

/* A commit that a full disk has stopped may stand, or half of it, and what undoes it is refused as well. Only opening the file
 * tells: the library then takes back what is not whole. So nothing is written before that, and what stands is read again; the
 * batch is then written once more, whether it stands or not. */
static int file_open_again(struct store *s)
{
	if (s->db)
		(void)tdb_close(s->db);
	s->db = file_open(s->path, O_RDWR, &s->faults);
	if (!s->db)
		return 0;
	shfree(s->sums);
	sh_new_strdup(s->sums);
	s->total = (struct total){ 0, 0 };
	if (tdb_traverse_read(s->db, sums_add_record, s) < 0)
		return 0;
	s->torn = 0;
	return 1;
}

/* A commit whose last write is refused (the mark that it is over) says that it was done, and is taken back at the next opening.
 * The library's log tells. */
static int commit(struct store *s)
{
	int before = s->faults;

	return tdb_transaction_commit(s->db) == 0 && s->faults == before;
}

static int file_anew(struct store *s);

/* A file torn outside its records takes no transaction before they stand in a fresh one; a full disk may not let that be yet. */
static int is_renewed(struct store *s)
{
	s->renew = s->renew && !file_anew(s);
	return !s->renew;
}

static int write_batch(struct store *s, struct store_job **v, size_t n)
{
	uint64_t first[SHARD_COUNT], last[SHARD_COUNT];
	int ok;

	apr_thread_mutex_lock(s->m);
	memcpy(first, s->first, sizeof first);
	memcpy(last, s->last, sizeof last);
	ok = (!s->torn || file_open_again(s)) && is_renewed(s) && tdb_transaction_start(s->db) == 0;
	if (ok) {
		for (size_t i = 0; i < n && ok; i++)
			ok = write_one(s, &v[i]->w);
		ok = ok && total_write(s);
		if (ok)
			ok = commit(s); /* syncs; on a fault it has cancelled itself, as far as it could */
		else
			tdb_transaction_cancel(s->db);
		s->torn = !ok;
	}
	if (!ok) {
		memcpy(s->first, first, sizeof first);
		memcpy(s->last, last, sizeof last);
	} else {
		s->syncs++;
	}
	apr_thread_mutex_unlock(s->m);
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

static int copy_one(struct tdb_context *db, TDB_DATA k, TDB_DATA v, void *fresh)
{
	(void)db;
	return tdb_store(fresh, k, v, TDB_INSERT);
}

/* Everything goes to a fresh file that takes the old one's name: what was deleted is in neither its records nor its freed
 * pages. A fall at any moment leaves one whole file under that name. */
static int file_anew(struct store *s)
{
	struct tdb_context *db;
	int before = s->faults, ok;

	(void)unlink(s->fresh);
	db = file_open(s->fresh, O_RDWR | O_CREAT | O_EXCL, &s->faults);
	if (!db)
		return 0;
	ok = tdb_transaction_start(db) == 0;
	if (ok && tdb_traverse_read(s->db, copy_one, db) < 0) {
		tdb_transaction_cancel(db);
		ok = 0;
	}
	ok = ok && tdb_transaction_commit(db) == 0 && s->faults == before;
	if (ok)
		folder_sync(s->folder); /* the fresh file's own name must last before it is given another */
	ok = ok && rename(s->fresh, s->path) == 0;
	if (!ok) {
		tdb_close(db);
		(void)unlink(s->fresh);
		return 0;
	}
	folder_sync(s->folder);
	tdb_close(s->db);
	s->db = db;
	return 1;
}

static void tidy(struct store *s)
{
	int ok;

	apr_thread_mutex_lock(s->m);
	ok = file_anew(s);
	apr_thread_mutex_unlock(s->m);
	s->tidy = !ok;
	if (!ok)
		log_say(LOG_BAD, "store",
			"Step tidy: no fresh file could be written; what was cleared stays in freed pages until the next batch.");
}

static void *APR_THREAD_FUNC store_thread(apr_thread_t *t, void *arg)
{
	struct store *s = arg;
	struct store_job *v[256];

	(void)t;
	while (!s->stop) {
		size_t n = 0;
		int bad = 0;

		v[0] = ring_pop(s->jobs, 100);
		if (!v[0])
			continue;
		for (n = 1; n < 256 && (v[n] = ring_pop(s->jobs, 0)); n++)
			;
		fault_wait(s);
		while (!s->stop && !write_batch(s, v, n)) { /* nothing is acknowledged meanwhile: the owner gives up */
			if (!bad)
				log_say(LOG_BAD, "store", "Step write: the disk refuses (%s); it is tried again.",
					s->db ? tdb_errorstr(s->db) : "it cannot be opened");
			bad = 1;
			s->refused++;
			apr_sleep(200000);
		}
		for (size_t i = 0; i < n; i++)
			s->tidy |= v[i]->w.tidy;
		if (s->tidy && !s->stop)
			tidy(s);
		if (bad && !s->stop)
			log_say(LOG_INFO, "store", "The disk takes writes again.");
		for (size_t i = 0; i < n; i++) {
			struct shell_ev *e = shell_ev_new(EV_SYNCED);

			e->part = v[i]->w.part;
			e->seq = v[i]->w.seq;
			apr_pool_destroy(v[i]->p);
			if (s->stop)
				shell_ev_free(e);
			else
				ring_push(s->to, e, 1);
		}
	}
	return NULL;
}

/* ---- reading back ---- */

struct reading {
	struct store_found *f;
	apr_pool_t *p;
	const char *bad;
	struct raft_entry *e[SHARD_COUNT]; /* stb_ds */
	struct store *store;
	struct total total; /* as the file says */
	int has_total;
	uint64_t records, sum; /* as they are */
};

/* NOLINTNEXTLINE(readability-function-size): one case for each kind of record */
static int read_one(struct tdb_context *db, TDB_DATA k, TDB_DATA v, void *arg)
{
	struct reading *r = arg;
	char *key = apr_pstrmemdup(r->p, (char *)k.dptr, k.dsize), *end;
	uint64_t sum;
	uint8_t *b;
	size_t n;
	unsigned long part;

	(void)db;
	if (v.dsize < 8) {
		r->bad = key;
		return -1;
	}
	memcpy(&sum, v.dptr, 8);
	n = v.dsize - 8;
	b = apr_palloc(r->p, n + 1);
	memcpy(b, v.dptr + 8, n);
	if (sum != core_hash(core_hashs(0, key), b, n)) {
		r->bad = key;
		return -1;
	}
	if (!strcmp(key, TOTAL_KEY) && n == sizeof r->total) {
		memcpy(&r->total, b, n);
		r->has_total = 1;
		return 0;
	}
	if (k.dsize >= STORE_KEY) {
		r->bad = key;
		return -1;
	}
	r->records++;
	r->sum += sum;
	sums_change(r->store, key, sum, 1);
	if (!strcmp(key, "id") && n == 16) {
		memcpy(&r->f->id, b, 8);
		memcpy(&r->f->fleet, b + 8, 8);
		return 0;
	}
	part = strtoul(key + 2, &end, 10);
	if (part >= SHARD_COUNT) {
		r->bad = key;
		return -1;
	}
	if (key[0] == 'm' && n == sizeof(struct meta)) {
		struct meta m;

		memcpy(&m, b, sizeof m);
		r->f->part[part].term = m.term;
		r->f->part[part].vote = m.vote;
	} else if (key[0] == 's' && n >= sizeof(struct snap_head)) {
		struct snap_head h;
		struct raft_saved *s = &r->f->part[part];

		memcpy(&h, b, sizeof h);
		if (h.members_len + h.data_len != n - sizeof h) {
			r->bad = key;
			return -1;
		}
		s->base = h.base;
		s->base_term = h.base_term;
		s->members = b + sizeof h;
		s->members_len = h.members_len;
		s->data = s->members + h.members_len;
		s->data_len = h.data_len;
	} else if (key[0] == 'e' && n >= sizeof(struct entry_head) && *end == '/') {
		struct entry_head h;
		struct raft_entry e;
		uint64_t i = strtoull(end + 1, NULL, 10);

		memcpy(&h, b, sizeof h);
		e.term = h.term;
		e.kind = (uint32_t)h.kind;
		e.len = n - sizeof h;
		e.data = b + sizeof h;
		memcpy(b, &i, 8); /* traversal has no order: the head's place keeps the index until settle sorts */
		arrput(r->e[part], e);
	} else {
		r->bad = key;
		return -1;
	}
	return 0;
}

static uint64_t index_of(const struct raft_entry *e)
{
	uint64_t i;

	memcpy(&i, e->data - sizeof(struct entry_head), 8);
	return i;
}

static int by_index(const void *a, const void *b)
{
	uint64_t x = index_of(a), y = index_of(b);

	return x < y ? -1 : x > y;
}

static const char *settle(struct store *s, const struct reading *r, apr_pool_t *p)
{
	for (int i = 0; i < SHARD_COUNT; i++) {
		struct raft_saved *q = &r->f->part[i];
		struct raft_entry *e = r->e[i];

		r->f->ptr[i] = q;
		q->n = (size_t)arrlen(e);
		if (!q->n)
			continue;
		qsort(e, q->n, sizeof *e, by_index);
		q->log_from = index_of(&e[0]);
		q->e = apr_palloc(p, q->n * sizeof *e);
		memcpy(q->e, e, q->n * sizeof *e);
		for (size_t k = 0; k < q->n; k++)
			if (index_of(&e[k]) != q->log_from + k)
				return apr_psprintf(p, "part %d lacks entry %" APR_UINT64_T_FMT, i, q->log_from + k);
		s->first[i] = q->log_from;
		s->last[i] = q->log_from + q->n - 1;
		if (q->log_from > q->base + 1)
			return apr_psprintf(p, "part %d lacks the entries after its snapshot", i);
	}
	return NULL;
}

/* Are these all records of the last transaction, and of no other? The library's own check also looks at what holds no record: it
 * finds fault with a file that lost power while room for a larger transaction was made, though nothing is missing. A file of an
 * earlier version has no total and must pass it. */
static int is_complete(const struct reading *r, int whole)
{
	if (!r->has_total)
		return whole;
	return r->records == r->total.records && r->sum == r->total.sum;
}

/* NOLINTNEXTLINE(readability-function-size): one check after the other of a data folder */
struct store *store_open(const char *folder, const char *fault, struct ring *to, struct store_found *f, const char **why,
			 apr_pool_t *p)
{
	struct store *s = apr_pcalloc(p, sizeof *s);
	struct reading r = { .f = f, .p = p, .store = s };
	const char *path = apr_pstrcat(p, folder, "/registrar.tdb", NULL), *bad;
	int whole;

	(void)signal(SIGXFSZ, SIG_IGN); /* a full disk is a failed write, not a death */
	memset(f, 0, sizeof *f);
	s->to = to;
	s->fault = fault;
	s->lock = -1;
	if (mkdir(folder, 0700) && errno != EEXIST) {
		*why = apr_psprintf(p, "step make: %s: %s", folder, strerror(errno));
		return NULL;
	}
	s->lock = open(apr_pstrcat(p, folder, "/lock", NULL), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (s->lock < 0 || flock(s->lock, LOCK_EX | LOCK_NB)) {
		*why = apr_psprintf(p, "step lock: %s is in use by another registrar, or cannot be written", folder);
		goto bad;
	}
	s->folder = apr_pstrdup(p, folder);
	s->path = path;
	s->fresh = apr_pstrcat(p, path, ".fresh", NULL);
	(void)unlink(s->fresh); /* of a fall in the middle of its writing */
	s->db = file_open(path, O_RDWR | O_CREAT, &s->faults);
	if (!s->db) {
		*why = apr_psprintf(p,
				    "step open: %s is damaged or unreadable (%s); move the folder away and start anew: "
				    "the registrar then joins under a new identity",
				    path, strerror(errno));
		goto bad;
	}
	sh_new_strdup(s->sums);
	whole = tdb_check(s->db, NULL, NULL) == 0;
	if (tdb_traverse_read(s->db, read_one, &r) < 0 || r.bad || !is_complete(&r, whole)) {
		*why = apr_psprintf(p,
				    "step check: %s is damaged%s%s; it is not voted with: move the folder away and start anew, "
				    "the registrar then joins under a new identity",
				    path, r.bad ? " at record " : "", r.bad ? r.bad : "");
		goto bad;
	}
	bad = settle(s, &r, p);
	if (bad) {
		*why = apr_psprintf(p, "step check: %s: %s; it is not voted with: move the folder away and start anew", path, bad);
		goto bad;
	}
	s->renew = !whole && !file_anew(s);
	if (!whole)
		log_say(LOG_WARN, "store", "%s was torn outside its records by a loss of power; they %s.", path,
			s->renew ? "are to be written anew before anything else" : "were written anew");
	for (int i = 0; i < SHARD_COUNT; i++)
		arrfree(r.e[i]);
	folder_sync(folder); /* the file's name must last too */
	apr_thread_mutex_create(&s->m, APR_THREAD_MUTEX_DEFAULT, p);
	ring_open(&s->jobs, 65536, p);
	if (apr_thread_create(&s->t, NULL, store_thread, s, p) == APR_SUCCESS)
		return s;
	*why = "step start: no thread for the disk";
bad:
	for (int i = 0; i < SHARD_COUNT; i++)
		arrfree(r.e[i]);
	shfree(s->sums);
	if (s->db)
		tdb_close(s->db);
	if (s->lock >= 0)
		close(s->lock);
	return NULL;
}

int store_identity(struct store *s, uint64_t id, uint64_t fleet)
{
	uint64_t v[2] = { id, fleet };
	int ok;

	apr_thread_mutex_lock(s->m);
	ok = (!s->torn || file_open_again(s)) && is_renewed(s) && tdb_transaction_start(s->db) == 0;
	if (ok && !(ok = put(s, "id", v, sizeof v, NULL, 0) && total_write(s)))
		tdb_transaction_cancel(s->db);
	else if (ok)
		ok = commit(s);
	s->torn |= !ok;
	apr_thread_mutex_unlock(s->m);
	return ok;
}

void store_write(struct store *s, const struct persist *w)
{
	apr_pool_t *p;
	struct store_job *j;

	apr_pool_create(&p, NULL);
	j = apr_palloc(p, sizeof *j);
	j->p = p;
	j->w = *w;
	j->w.e = apr_palloc(p, (w->n + 1) * sizeof *w->e);
	for (size_t i = 0; i < w->n; i++) {
		j->w.e[i] = w->e[i];
		j->w.e[i].data = apr_pmemdup(p, w->e[i].data, w->e[i].len + 1);
	}
	if (w->snap) {
		j->w.members = apr_pmemdup(p, w->members, w->members_len + 1);
		j->w.data = apr_pmemdup(p, w->data, w->data_len + 1);
	}
	ring_push(s->jobs, j, 1);
}

uint64_t store_syncs(const struct store *s) { return s->syncs; }
uint64_t store_refused(const struct store *s) { return s->refused; }

void store_close(struct store *s)
{
	apr_status_t st;
	struct store_job *j;

	s->stop = 1;
	apr_thread_join(&st, s->t);
	while ((j = ring_pop(s->jobs, 0)))
		apr_pool_destroy(j->p);
	if (s->db)
		tdb_close(s->db);
	shfree(s->sums);
	close(s->lock);
}
