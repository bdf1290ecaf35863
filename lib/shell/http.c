/* http: see http.h. One epoll, level-triggered: a connection is registered once, and asks for room to write only after
 * a short write. What is written during a turn goes out at its end in one send. Heads go through http-parser once they
 * are whole and their lines are exact; bodies are counted here, because http-parser as it is packaged forgives chunks
 * that do not end where they say. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <http_parser.h>

#include "ds.h"
#include "http.h"
#include "shell.h"

enum {
	BLOCK = 4096, /* what a buffer begins with; such blocks are kept for the next */
	BLOCKS_KEPT = 256,
	SCRATCH = 65536,
	EVENTS = 256,
	EARLY_MAX = 65536, /* of bytes that come while a request is being answered */
	CLIENT_HEAD = 65536,
	CHUNK_LINE = 4096,
	TRAILERS = 16384,
	LINGER_MS = 2000, /* for a caller to take an answer after which we close */
	KEPT_MS = 4000,
	CONNECT_MS = 3000,
	USER_TIMEOUT = 3000,
	SLOT_BITS = 20
};

static const int64_t NO_TIME = INT64_MAX;

struct buf {
	char *d;
	size_t off, len, cap;
};

enum chunk_at {
	CH_SIZE,
	CH_EXT,
	CH_SIZE_LF,
	CH_DATA,
	CH_DATA_CR,
	CH_DATA_LF,
	CH_LINE,
	CH_TRAILER,
	CH_TRAILER_LF,
	CH_END_LF,
	CH_DONE
};
struct chunks {
	enum chunk_at at;
	int digits;
	uint64_t left;
	unsigned line, trailers;
};

/* what a head says of the connection and of the body */
struct head {
	int minor, status, keep_s, whole;
	int close, chunked, has_len, expect, hosts, bad;
	uint64_t length;
};

enum conn_kind { CONN_DOOR, CONN_SERVER, CONN_CLIENT };
enum conn_state {
	ST_LISTEN,
	ST_PAUSED,
	ST_HEAD,
	ST_BODY,
	ST_BUSY,
	ST_DONE,
	ST_LINGER, /* server: BUSY while the answer is not finished, DONE till it is sent */
	ST_FAIL,
	ST_QUEUED,
	ST_CONNECT,
	ST_ANSWER,
	ST_REST,
	ST_KEPT /* client: REST is the answer's body */
};

enum framing { FR_NONE, FR_LENGTH, FR_CHUNKED, FR_EOF };

struct conn;
struct peer {
	uint64_t addr;
	int open, most;
	unsigned epoch;
	struct conn *first, *last; /* kept */
};

struct srv {
	struct conn *door;
	uint32_t slot;
	uint64_t token;
	struct http_req req;
	struct buf early;
	size_t pos, body, body_len; /* next raw byte; the body's place in the buffer */
	size_t target;
	const char *verb;
	int read, closing, linger, begun, no_body;
	enum framing out;
	uint64_t left; /* of the answer's length */
};

struct cli {
	struct peer *peer;
	unsigned epoch;
	uint64_t token;
	int64_t not_after, limit_at, until; /* until: a kept one may be used */
	int connect_ms, fresh, is_head, sent, cut;
	struct conn *next, *prev;
	enum framing in;
};

struct listener {
	int id, port, leaving, burst, checked, inherits;
	uint64_t turn;
	struct http_limits lim;
};

struct conn {
	struct http *h;
	int fd;
	enum conn_kind kind;
	enum conn_state st;
	uint32_t mask;
	int dead, queued;
	int64_t due, key; /* when something is to be done; what the heap believes, never later */
	int hpos;
	struct buf in, out;
	size_t scan;   /* of a head: lines before it are exact */
	uint64_t left; /* of the body being read */
	struct chunks ck;
	struct head hd;
	struct http_field *f;
	int nf, fcap;
	union {
		struct listener d;
		struct srv s;
		struct cli k;
	};
};

struct call_at {
	uint64_t key;
	struct conn *value;
};
struct peer_at {
	uint64_t key;
	struct peer *value;
};

struct http {
	struct http_on on;
	int ep, ev, woken;
	int64_t now;
	int64_t polled; /* when the newest events were asked for */
	int64_t looked; /* when the loop looked for events the time before: what comes now arrived later */
	uint64_t turn, serial;
	int did; /* callbacks were made before the wait of this turn */
	int busy;
	struct conn **doors, **slot, **todo, **doing, **dead, **heap;
	uint32_t *free_slot;
	struct conn *spare; /* chain through k.next */
	char *block[BLOCKS_KEPT];
	int nblock;
	struct call_at *calls;
	struct peer_at *peers;
	struct http_counts n;
	struct epoll_event event[EVENTS];
	char scratch[SCRATCH];
};

/* ---- buffers ---- */

static void buf_free(struct http *h, struct buf *b)
{
	if (b->cap == BLOCK && h->nblock < BLOCKS_KEPT)
		h->block[h->nblock++] = b->d;
	else
		free(b->d);
	*b = (struct buf){ 0 };
}

static char *buf_room(struct http *h, struct buf *b, size_t n)
{
	size_t cap = b->cap ? b->cap : BLOCK;
	char *d;

	if (b->cap - b->len >= n && b->d)
		return b->d + b->len;
	if (b->d && b->off && b->len - b->off + n <= b->cap && b->off >= b->len - b->off) {
		memmove(b->d, b->d + b->off, b->len - b->off);
		b->len -= b->off;
		b->off = 0;
		return b->d + b->len;
	}
	while (cap < b->len + n)
		cap *= 2;
	if (cap == BLOCK && h->nblock) {
		d = h->block[--h->nblock];
	} else if (!(d = malloc(cap))) {
		abort();
	}
	if (b->d) {
		struct buf old = *b;

		memcpy(d, b->d, b->len);
		buf_free(h, &old);
	}
	b->d = d;
	b->cap = cap;
	return b->d + b->len;
}

static void put(struct http *h, struct buf *b, const char *d, size_t n)
{
	if (!n)
		return;
	memcpy(buf_room(h, b, n), d, n);
	b->len += n;
}

static void puts_(struct http *h, struct buf *b, const char *s) { put(h, b, s, strlen(s)); }

static void put_num(struct http *h, struct buf *b, uint64_t v, unsigned base)
{
	char t[24], *e = t + sizeof t, *s = e;

	do {
		*--s = "0123456789abcdef"[v % base];
		v /= base;
	} while (v);
	put(h, b, s, (size_t)(e - s));
}

/* A line break inside a field would begin another one. */
static void put_clean(struct http *h, struct buf *b, const char *s)
{
	size_t n = strlen(s), i;
	char *d = buf_room(h, b, n ? n : 1);

	for (i = 0; i < n; i++)
		d[i] = (char)(s[i] == '\r' || s[i] == '\n' ? ' ' : s[i]);
	b->len += n;
}

static int framing_field(const char *name)
{
	switch (strlen(name)) {
	case 10: return !strcasecmp(name, "connection");
	case 14: return !strcasecmp(name, "content-length");
	case 17: return !strcasecmp(name, "transfer-encoding");
	}
	return 0;
}

static void put_field(struct http *h, struct buf *b, const struct http_field *f)
{
	put_clean(h, b, f->name);
	put(h, b, ": ", 2);
	put_clean(h, b, f->value);
	put(h, b, "\r\n", 2);
}

/* ---- times: a heap whose keys may be early, so that moving a time on costs nothing ---- */

static void heap_set(struct http *h, int i, struct conn *c)
{
	h->heap[i] = c;
	c->hpos = i;
}

static void heap_up(struct http *h, int i)
{
	struct conn *c = h->heap[i];

	for (; i && h->heap[(i - 1) / 2]->key > c->key; i = (i - 1) / 2)
		heap_set(h, i, h->heap[(i - 1) / 2]);
	heap_set(h, i, c);
}

static void heap_down(struct http *h, int i)
{
	struct conn *c = h->heap[i];
	int n = (int)arrlen(h->heap), j;

	while ((j = 2 * i + 1) < n) {
		if (j + 1 < n && h->heap[j + 1]->key < h->heap[j]->key)
			j++;
		if (h->heap[j]->key >= c->key)
			break;
		heap_set(h, i, h->heap[j]);
		i = j;
	}
	heap_set(h, i, c);
}

static void heap_del(struct http *h, struct conn *c)
{
	struct conn *l;
	int i = c->hpos;

	if (i < 0)
		return;
	c->hpos = -1;
	c->key = NO_TIME;
	l = arrpop(h->heap);
	if (l == c)
		return;
	heap_set(h, i, l);
	heap_up(h, i);
	heap_down(h, l->hpos);
}

static void conn_due(struct conn *c, int64_t at)
{
	c->due = at;
	if (at >= c->key)
		return;
	c->key = at;
	if (c->hpos < 0) {
		c->hpos = (int)arrlen(c->h->heap);
		arrput(c->h->heap, c);
	}
	heap_up(c->h, c->hpos);
}

/* ---- connections ---- */

static struct conn *conn_new(struct http *h, enum conn_kind kind, int fd)
{
	struct conn *c = h->spare;
	struct http_field *f = NULL;
	int fcap = 0;

	if (c) {
		h->spare = c->k.next;
		f = c->f;
		fcap = c->fcap;
	} else if (!(c = malloc(sizeof *c))) {
		abort();
	}
	memset(c, 0, sizeof *c);
	c->h = h;
	c->kind = kind;
	c->fd = fd;
	c->f = f;
	c->fcap = fcap;
	c->due = c->key = NO_TIME;
	c->hpos = -1;
	return c;
}

static void conn_mask(struct conn *c, uint32_t mask)
{
	struct epoll_event e = { .events = mask, .data.ptr = c };

	if (c->mask == mask)
		return;
	epoll_ctl(c->h->ep, c->mask ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, c->fd, &e);
	c->mask = mask;
}

static void conn_todo(struct conn *c)
{
	if (c->queued || c->dead)
		return;
	c->queued = 1;
	arrput(c->h->todo, c);
}

static void kept_out(struct conn *c)
{
	struct peer *p = c->k.peer;

	if (c->k.prev)
		c->k.prev->k.next = c->k.next;
	else
		p->first = c->k.next;
	if (c->k.next)
		c->k.next->k.prev = c->k.prev;
	else
		p->last = c->k.prev;
	c->k.next = c->k.prev = NULL;
}

static void peer_drop(struct http *h, struct peer *p)
{
	if (p->open || p->most)
		return;
	(void)hmdel(h->peers, p->addr);
	free(p);
}

/* Would an ordinary end of this connection make an answer look whole that is not? So it is where the end of the connection
 * is the end of the answer. */
static int end_misleads(const struct conn *c)
{
	if (c->kind != CONN_SERVER || !c->s.begun || c->s.out != FR_EOF || c->s.no_body)
		return 0;
	return c->st == ST_BUSY || (c->st == ST_DONE && c->out.len > c->out.off);
}

/* Its memory lives on to the end of the turn. */
static void conn_close(struct conn *c, int reset)
{
	struct linger l = { 1, 0 };
	struct http *h = c->h;

	if (c->dead)
		return;
	c->dead = 1;
	if (c->fd >= 0) {
		if (reset || end_misleads(c))
			setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
		close(c->fd);
	}
	c->fd = -1;
	heap_del(h, c);
	if (c->kind == CONN_SERVER && (c->st == ST_BUSY || c->st == ST_DONE))
		h->busy--;
	if (c->kind == CONN_CLIENT && c->k.peer) {
		if (c->st == ST_KEPT)
			kept_out(c);
		c->k.peer->open--;
		peer_drop(h, c->k.peer);
		c->k.peer = NULL;
	}
	arrput(h->dead, c);
}

static void conn_free(struct http *h, struct conn *c)
{
	if (c->kind == CONN_SERVER) {
		buf_free(h, &c->s.early);
		h->slot[c->s.slot] = NULL;
		arrput(h->free_slot, c->s.slot);
	}
	buf_free(h, &c->in);
	buf_free(h, &c->out);
	c->k.next = h->spare;
	h->spare = c;
}

static void reap(struct http *h)
{
	ptrdiff_t i, n = 0;

	for (i = 0; i < arrlen(h->dead); i++)
		if (h->dead[i]->queued)
			h->dead[n++] = h->dead[i];
		else
			conn_free(h, h->dead[i]);
	arrsetlen(h->dead, n);
}

static void options(int fd)
{
	int on = 1, ut = USER_TIMEOUT, idle = 2, intvl = 1, cnt = 3;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ut, sizeof ut);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &intvl, sizeof intvl);
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &cnt, sizeof cnt);
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
}

static int option_is(int fd, int level, int name, int want)
{
	int v = -1;
	socklen_t n = sizeof v;

	return !getsockopt(fd, level, name, &v, &n) && (want ? v == want : v > 0);
}

/* Whether a listener hands its options on to its connections, as Linux does. */
static int inherited(int fd)
{
	return option_is(fd, IPPROTO_TCP, TCP_NODELAY, 0) && option_is(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT) &&
	       option_is(fd, IPPROTO_TCP, TCP_KEEPIDLE, 2) && option_is(fd, IPPROTO_TCP, TCP_KEEPINTVL, 1) &&
	       option_is(fd, IPPROTO_TCP, TCP_KEEPCNT, 3) && option_is(fd, SOL_SOCKET, SO_KEEPALIVE, 0);
}

/* ---- heads ---- */

static int is_tchar(unsigned char c)
{
	static const char others[] = "!#$%&'*+-.^_`|~";

	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || (c && strchr(others, c));
}

static unsigned char tchar[256];

/* Where the head that begins at from ends; 0 when more is to come; -1 when a line does not end in CRLF. */
static ssize_t head_end(struct conn *c, size_t from)
{
	const char *d = c->in.d, *nl;

	if (c->scan < from)
		c->scan = from;
	while (c->scan < c->in.len && (nl = memchr(d + c->scan, '\n', c->in.len - c->scan))) {
		size_t i = (size_t)(nl - d);

		if (i == from || d[i - 1] != '\r')
			return -1;
		c->scan = i + 1;
		if (i >= from + 2 && d[i - 2] == '\n')
			return (ssize_t)(i + 1);
	}
	c->scan = c->in.len;
	return 0;
}

static int text_ok(const char *p, const char *e)
{
	for (; p < e; p++)
		if (((unsigned char)*p < 32 && *p != '\t') || *p == 127)
			return 0;
	return 1;
}

/* First line: VERB SP target SP HTTP/1.x, or HTTP/1.x SP ddd [SP reason] */
static int first_ok(const char *p, const char *e, int request)
{
	const char *t;

	if (!request)
		return e - p >= 12 && !memcmp(p, "HTTP/1.", 7) && (p[7] == '0' || p[7] == '1') && p[8] == ' ' && p[9] >= '1' &&
		       p[9] <= '9' && p[10] >= '0' && p[10] <= '9' && p[11] >= '0' && p[11] <= '9' &&
		       (e - p == 12 || p[12] == ' ') && text_ok(p, e);
	for (t = p; t < e && tchar[(unsigned char)*t]; t++)
		;
	if (t == p || t == e || *t++ != ' ')
		return 0;
	for (p = t; t < e && (unsigned char)*t > 32 && *t != 127; t++)
		;
	return t > p && e - t == 9 && !memcmp(t, " HTTP/1.", 8) && (t[8] == '0' || t[8] == '1');
}

/* http-parser forgives folded lines, blanks before a colon and more; whoever reads the same bytes may not. */
static int lines_ok(const char *p, const char *e, int request)
{
	const char *nl = memchr(p, '\n', (size_t)(e - p));

	if (!nl || nl == p || !first_ok(p, nl - 1, request))
		return 0;
	for (p = nl + 1; p < e - 2; p = nl + 1) {
		const char *t = p;

		nl = memchr(p, '\n', (size_t)(e - p));
		while (tchar[(unsigned char)*t])
			t++;
		if (t == p || *t != ':' || !text_ok(t + 1, nl - 1))
			return 0;
	}
	return 1;
}

struct reading {
	struct conn *c;
	char *name_end, *value_end;
	int values, ended;
};

static void terminate(struct reading *r)
{
	if (r->name_end)
		*r->name_end = 0;
	if (r->value_end)
		*r->value_end = 0;
	r->name_end = r->value_end = NULL;
}

static const char *as_offset(struct conn *c, const char *p) { return (const char *)(uintptr_t)(p - c->in.d); }

static int on_url(http_parser *p, const char *at, size_t n)
{
	struct reading *r = p->data;

	r->c->s.target = (size_t)(at - r->c->in.d);
	r->name_end = r->c->in.d + r->c->s.target + n; /* the blank behind it, which has been read when the next comes */
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	struct reading *r = p->data;
	struct conn *c = r->c;

	terminate(r);
	if (r->values != c->nf)
		return -1;
	if (c->nf == c->fcap) {
		c->fcap = c->fcap ? c->fcap * 2 : 16;
		if (!(c->f = realloc(c->f, (size_t)c->fcap * sizeof *c->f)))
			abort();
	}
	/* offsets, until the buffer moves no more; an empty value is the end of its name */
	c->f[c->nf++] = (struct http_field){ as_offset(c, at), as_offset(c, at + n) };
	r->name_end = c->in.d + (at - c->in.d) + n;
	return 0;
}

static int has_token(const char *v, size_t n, const char *want)
{
	size_t w = strlen(want), i, j;

	for (i = 0; i < n; i = j + 1) {
		for (j = i; j < n && v[j] != ','; j++)
			;
		size_t a = i, b = j;

		while (a < b && (v[a] == ' ' || v[a] == '\t'))
			a++;
		while (b > a && (v[b - 1] == ' ' || v[b - 1] == '\t'))
			b--;
		if (b - a == w && !strncasecmp(v + a, want, w))
			return 1;
	}
	return 0;
}

static int number(const char *v, size_t n, uint64_t *to)
{
	uint64_t x = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (v[i] < '0' || v[i] > '9')
			return 0;
		x = x * 10 + (uint64_t)(v[i] - '0');
	}
	*to = x;
	return n > 0 && n <= 15;
}

static int keep_seconds(const char *v, size_t n)
{
	size_t i, j;
	uint64_t s;

	for (i = 0; i + 8 <= n; i++) {
		if (strncasecmp(v + i, "timeout=", 8))
			continue;
		for (j = i += 8; j < n && v[j] >= '0' && v[j] <= '9'; j++)
			;
		if (number(v + i, j - i, &s))
			return s < 100000 ? (int)s : 100000;
	}
	return -1;
}

static void note(struct head *hd, const char *name, size_t nn, const char *v, size_t n)
{
	switch (nn) {
	case 4: hd->hosts += !strncasecmp(name, "host", 4); break;
	case 6: hd->expect |= !strncasecmp(name, "expect", 6) && has_token(v, n, "100-continue"); break;
	case 10:
		if (!strncasecmp(name, "connection", 10))
			hd->close |= has_token(v, n, "close");
		else if (!strncasecmp(name, "keep-alive", 10))
			hd->keep_s = keep_seconds(v, n);
		break;
	case 14:
		if (strncasecmp(name, "content-length", 14))
			break;
		hd->bad |= hd->has_len || !number(v, n, &hd->length);
		hd->has_len = 1;
		break;
	case 17:
		if (strncasecmp(name, "transfer-encoding", 17))
			break;
		hd->bad |= hd->chunked || n != 7 || strncasecmp(v, "chunked", 7);
		hd->chunked = 1;
		break;
	}
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct reading *r = p->data;
	struct conn *c = r->c;
	size_t name = (size_t)(uintptr_t)c->f[c->nf - 1].name;

	if (++r->values != c->nf)
		return -1;
	while (n && (at[n - 1] == ' ' || at[n - 1] == '\t'))
		n--;
	note(&c->hd, c->in.d + name, (size_t)(r->name_end - c->in.d) - name, at, n);
	if (n) {
		c->f[c->nf - 1].value = as_offset(c, at);
		r->value_end = c->in.d + (at - c->in.d) + n;
	}
	return 0;
}

static int on_head(http_parser *p)
{
	struct reading *r = p->data;

	terminate(r);
	r->ended = 1;
	return 1; /* its body is not http-parser's */
}

/* Read the whole head at in[from, to). Fields are offsets into the buffer afterwards. */
static int head_read(struct conn *c, size_t from, size_t to, int request)
{
	static const http_parser_settings set = {
		.on_url = on_url, .on_header_field = on_field, .on_header_value = on_value, .on_headers_complete = on_head
	};
	struct reading r = { .c = c };
	http_parser p;

	c->nf = 0;
	c->hd = (struct head){ .keep_s = -1 };
	if (!lines_ok(c->in.d + from, c->in.d + to, request))
		return 0;
	http_parser_init(&p, request ? HTTP_REQUEST : HTTP_RESPONSE);
	p.data = &r;
	http_parser_execute(&p, &set, c->in.d + from, to - from);
	if (!r.ended || HTTP_PARSER_ERRNO(&p) != HPE_OK || c->hd.bad || (c->hd.chunked && c->hd.has_len) || p.http_major != 1 ||
	    (c->hd.chunked && !p.http_minor))
		return 0;
	c->hd.minor = p.http_minor;
	c->hd.close |= !p.http_minor;
	c->hd.status = (int)p.status_code;
	if (request) {
		c->s.verb = http_method_str((enum http_method)p.method);
		return c->hd.hosts <= 1 && p.method != HTTP_CONNECT;
	}
	return 1;
}

/* From here on the buffer does not move. */
static void fields_fix(struct conn *c)
{
	int i;

	for (i = 0; i < c->nf; i++)
		c->f[i] = (struct http_field){ c->in.d + (uintptr_t)c->f[i].name, c->in.d + (uintptr_t)c->f[i].value };
}

/* ---- chunks ---- */

static int hex(char c) { return c >= '0' && c <= '9' ? c - '0' : (c | 32) >= 'a' && (c | 32) <= 'f' ? (c | 32) - 'a' + 10 : -1; }

/* Takes bytes up to the end of a span of data, *d and *dn. Returns how many, or -1 for bad framing. */
/* NOLINTNEXTLINE(readability-function-size): one case for each state of the parser */
static ssize_t chunk_step(struct chunks *k, const char *p, size_t n, const char **d, size_t *dn)
{
	size_t i;
	int v;

	*dn = 0;
	for (i = 0; i < n && k->at != CH_DONE; i++) {
		char c = p[i];

		switch (k->at) {
		case CH_SIZE:
			if ((v = hex(c)) >= 0) {
				if (++k->digits > 15)
					return -1;
				k->left = k->left * 16 + (uint64_t)v;
			} else if (k->digits && (c == '\r' || c == ';')) {
				k->at = c == '\r' ? CH_SIZE_LF : CH_EXT;
				k->line = 0;
			} else {
				return -1;
			}
			break;
		case CH_EXT:
			if (c == '\r')
				k->at = CH_SIZE_LF;
			else if (((unsigned char)c < 32 && c != '\t') || c == 127 || ++k->line > CHUNK_LINE)
				return -1;
			break;
		case CH_SIZE_LF:
			if (c != '\n')
				return -1;
			k->at = k->left ? CH_DATA : CH_LINE;
			break;
		case CH_DATA:
			*d = p + i;
			*dn = n - i < k->left ? n - i : (size_t)k->left;
			k->left -= *dn;
			if (!k->left)
				k->at = CH_DATA_CR;
			return (ssize_t)(i + *dn);
		case CH_DATA_CR:
			if (c != '\r')
				return -1;
			k->at = CH_DATA_LF;
			break;
		case CH_DATA_LF:
			if (c != '\n')
				return -1;
			k->at = CH_SIZE;
			k->digits = 0;
			break;
		case CH_LINE: /* of a trailer, or the end */
			if (c == '\r') {
				k->at = CH_END_LF;
				break;
			}
			if (!tchar[(unsigned char)c])
				return -1;
			k->at = CH_TRAILER;
			break;
		case CH_TRAILER:
			if (c == '\r')
				k->at = CH_TRAILER_LF;
			else if (((unsigned char)c < 32 && c != '\t') || c == 127 || ++k->trailers > TRAILERS)
				return -1;
			break;
		case CH_TRAILER_LF:
			if (c != '\n')
				return -1;
			k->at = CH_LINE;
			break;
		case CH_END_LF:
			if (c != '\n')
				return -1;
			k->at = CH_DONE;
			break;
		case CH_DONE: break;
		}
	}
	return (ssize_t)i;
}

/* ---- server ---- */

static const uint32_t READ = EPOLLIN | EPOLLRDHUP;

static struct conn *by_token(struct http *h, uint64_t token)
{
	size_t i = token & ((1u << SLOT_BITS) - 1);
	struct conn *c = i < arrlenu(h->slot) ? h->slot[i] : NULL;

	return c && !c->dead && c->st == ST_BUSY && c->s.token == token ? c : NULL;
}

static void put_status(struct http *h, struct buf *b, int status)
{
	const char *s = http_status_str((enum http_status)status);

	put(h, b, "HTTP/1.1 ", 9);
	put_num(h, b, (uint64_t)status, 10);
	put(h, b, " ", 1);
	puts_(h, b, *s == '<' ? "Other" : s);
	put(h, b, "\r\n", 2);
}

/* Nothing of it was delivered: it could not be read. */
static void server_refuse(struct conn *c, int status)
{
	struct http *h = c->h;

	h->n.bad++;
	h->busy++;
	put_status(h, &c->out, status);
	puts_(h, &c->out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
	c->st = ST_DONE;
	c->s.closing = c->s.linger = 1;
	c->in.len = 0;
	conn_due(c, h->now + LINGER_MS);
	conn_todo(c);
}

static void server_lost(struct conn *c)
{
	struct http *h = c->h;
	int waits = c->st == ST_BUSY;

	conn_close(c, 0);
	if (!waits)
		return;
	h->did = 1;
	h->on.gone(h->on.ctx, c->s.token);
}

static void server_deliver(struct conn *c)
{
	struct http *h = c->h;
	struct srv *s = &c->s;

	fields_fix(c);
	s->token = ++h->serial << SLOT_BITS | s->slot;
	s->req = (struct http_req){ s->token,
				    s->door->d.id,
				    s->verb,
				    c->in.d + s->target,
				    c->f,
				    c->nf,
				    c->hd.has_len || c->hd.chunked ? s->body_len ? c->in.d + s->body : "" : NULL,
				    s->body_len,
				    h->now };
	s->begun = s->no_body = 0;
	s->closing = c->hd.close;
	c->st = ST_BUSY;
	c->due = NO_TIME;
	h->busy++;
	h->n.requests++;
	h->did = 1;
	h->on.request(h->on.ctx, &s->req);
}

static int server_body(struct conn *c)
{
	struct srv *s = &c->s;
	const struct http_limits *lim = &s->door->d.lim;
	const char *d = NULL;
	size_t dn, n;
	ssize_t k;

	if (!c->hd.chunked) {
		n = c->in.len - s->pos;
		if (n > c->left)
			n = (size_t)c->left;
		s->pos += n;
		s->body_len += n;
		c->left -= n;
		return !c->left;
	}
	while (s->pos < c->in.len && c->ck.at != CH_DONE) {
		if ((k = chunk_step(&c->ck, c->in.d + s->pos, c->in.len - s->pos, &d, &dn)) < 0) {
			server_refuse(c, 400);
			return 0;
		}
		if (c->ck.at != CH_SIZE && s->body_len + dn + c->ck.left > lim->body) { /* the size itself may be half read */
			server_refuse(c, 413);
			return 0;
		}
		if (dn)
			memmove(c->in.d + s->body + s->body_len, d, dn);
		s->body_len += dn;
		s->pos += (size_t)k;
	}
	if (c->ck.at == CH_DONE)
		return 1;
	/* what was framing makes room for what is to come */
	c->in.len = s->pos = s->body + s->body_len;
	return 0;
}

static void server_parse(struct conn *c)
{
	struct http *h = c->h;
	struct srv *s = &c->s;
	const struct http_limits *lim = &s->door->d.lim;
	ssize_t end;

	if (c->st == ST_HEAD) {
		while (c->in.len - s->pos >= 2 && !memcmp(c->in.d + s->pos, "\r\n", 2))
			s->pos += 2; /* blank lines before a request */
		if (c->in.len == s->pos) {
			c->in.len = s->pos = c->scan = 0;
			return;
		}
		end = head_end(c, s->pos);
		if (end < 0) {
			server_refuse(c, 400);
			return;
		}
		if ((end ? (size_t)end : c->in.len) - s->pos > lim->head) {
			server_refuse(c, 431);
			return;
		}
		if (!end) {
			if (c->due == NO_TIME || !s->read) {
				s->read = 1;
				conn_due(c, h->now + lim->head_ms);
			}
			return;
		}
		if (!head_read(c, s->pos, (size_t)end, 1)) {
			server_refuse(c, 400);
			return;
		}
		if (c->hd.has_len && c->hd.length > lim->body) {
			server_refuse(c, 413);
			return;
		}
		s->pos = s->body = (size_t)end;
		s->body_len = 0;
		c->left = c->hd.length;
		c->ck = (struct chunks){ 0 };
		c->st = ST_BODY;
		if (c->left > c->in.len - s->pos)
			buf_room(h, &c->in, (size_t)c->left - (c->in.len - s->pos));
		if (c->hd.expect && c->hd.minor && (c->hd.chunked || c->left) && c->in.len == s->pos) {
			puts_(h, &c->out, "HTTP/1.1 100 Continue\r\n\r\n");
			conn_todo(c);
		}
	}
	if (c->st != ST_BODY)
		return;
	if (server_body(c))
		server_deliver(c);
	else if (c->st == ST_BODY)
		conn_due(c, h->now + lim->idle_ms);
}

static void server_idle(struct conn *c)
{
	c->st = ST_HEAD;
	c->s.read = 0;
	c->s.pos = c->scan = 0;
	conn_due(c, c->h->now + c->s.door->d.lim.idle_ms);
}

/* The answer is out. */
static void server_next(struct conn *c)
{
	struct http *h = c->h;
	struct srv *s = &c->s;
	size_t rest = c->in.len > s->pos ? c->in.len - s->pos : 0;

	if (s->closing) {
		if (!s->linger && !rest && !s->early.len) {
			conn_close(c, 0);
			return;
		}
		/* closing over unread bytes would reset, and the answer might be lost with it */
		h->busy--;
		shutdown(c->fd, SHUT_WR);
		c->st = ST_LINGER;
		buf_free(h, &c->in);
		buf_free(h, &s->early);
		conn_mask(c, READ);
		conn_due(c, h->now + LINGER_MS);
		return;
	}
	if (rest)
		memmove(c->in.d, c->in.d + s->pos, rest);
	c->in.len = rest;
	if (!rest && !s->early.len && s->door->d.leaving) {
		conn_close(c, 0); /* its head was out before we left */
		return;
	}
	if (s->early.len) {
		put(h, &c->in, s->early.d, s->early.len);
		buf_free(h, &s->early);
		if (!(c->mask & EPOLLIN))
			conn_mask(c, READ);
	}
	h->busy--;
	server_idle(c);
	if (c->in.len)
		server_parse(c);
	else
		buf_free(h, &c->in);
}

/* Returns 0 when not all could be sent, or the connection is lost. */
static int conn_send(struct conn *c, int *lost)
{
	size_t n = c->out.len - c->out.off;
	ssize_t k;

	*lost = 0;
	if (!n)
		return 1;
	do
		k = send(c->fd, c->out.d + c->out.off, n, MSG_NOSIGNAL);
	while (k < 0 && errno == EINTR);
	if (k < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
		*lost = 1;
		return 0;
	}
	if (k > 0)
		c->out.off += (size_t)k;
	if (k > 0 && (size_t)k == n) {
		buf_free(c->h, &c->out);
		return 1;
	}
	return 0;
}

static void server_flush(struct conn *c)
{
	int lost;

	if (c->st == ST_LINGER)
		return;
	if (!conn_send(c, &lost)) {
		if (lost)
			server_lost(c);
		else
			conn_mask(c, c->mask | EPOLLOUT);
		return;
	}
	if (c->mask & EPOLLOUT)
		conn_mask(c, c->mask & ~(uint32_t)EPOLLOUT);
	if (c->st == ST_DONE)
		server_next(c);
}

static void server_read(struct conn *c)
{
	struct http *h = c->h;
	struct srv *s = &c->s;
	ssize_t n = recv(c->fd, h->scratch, SCRATCH, 0);

	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	if (n <= 0) {
		server_lost(c);
		return;
	}
	switch (c->st) {
	case ST_HEAD:
	case ST_BODY:
		put(h, &c->in, h->scratch, (size_t)n);
		server_parse(c);
		break;
	case ST_BUSY:
	case ST_DONE:
		if (s->linger)
			break; /* of a request that was refused */
		put(h, &s->early, h->scratch, (size_t)n);
		if (s->early.len >= EARLY_MAX)
			conn_mask(c, c->mask & ~(uint32_t)EPOLLIN);
		break;
	default: break;
	}
}

static void server_event(struct conn *c, uint32_t ev)
{
	/* who closes, or its half, waits for no answer */
	if (ev & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) {
		server_lost(c);
		return;
	}
	if (ev & EPOLLOUT)
		server_flush(c);
	if (!c->dead && (ev & EPOLLIN))
		server_read(c);
}

static void server_accept(struct conn *l)
{
	struct http *h = l->h;
	struct listener *d = &l->d;
	int i, fd;

	/* one a turn, and more only when more wait turn after turn */
	d->burst = d->turn + 1 == h->turn ? d->burst < 64 ? d->burst * 2 : 64 : 1;
	d->turn = h->turn;
	for (i = 0; i < d->burst; i++) {
		struct conn *c;

		fd = accept4(l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0) {
			if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
				l->st = ST_PAUSED;
				conn_mask(l, EPOLLRDHUP);
				conn_due(l, h->now + 100);
			}
			return;
		}
		if (!d->checked) {
			d->checked = 1;
			d->inherits = inherited(fd);
		}
		if (!d->inherits)
			options(fd);
		h->n.accepted++;
		c = conn_new(h, CONN_SERVER, fd);
		c->s.door = l;
		if (arrlen(h->free_slot)) {
			c->s.slot = arrpop(h->free_slot);
		} else {
			c->s.slot = (uint32_t)arrlenu(h->slot);
			arrput(h->slot, NULL);
		}
		h->slot[c->s.slot] = c;
		conn_mask(c, READ);
		server_idle(c);
	}
}

static void server_timeout(struct conn *c)
{
	if (c->st == ST_BUSY)
		return;
	conn_close(c, 0);
}

/* Head of an answer. Length below 0: as the version allows. */
static void answer_head(struct conn *c, int status, const struct http_field *f, int nf, int64_t length)
{
	struct http *h = c->h;
	struct srv *s = &c->s;
	int i, none = status == 204 || status == 304 || (status >= 100 && status < 200);

	put_status(h, &c->out, status);
	for (i = 0; i < nf; i++)
		if (!framing_field(f[i].name))
			put_field(h, &c->out, &f[i]);
	s->begun = 1;
	s->no_body = none || !strcmp(s->verb, "HEAD");
	if (s->door->d.leaving && !s->closing)
		s->closing = s->linger = 1;
	s->left = length < 0 ? 0 : (uint64_t)length;
	s->out = length >= 0 ? FR_LENGTH : c->hd.minor ? FR_CHUNKED : FR_EOF;
	if (none) {
		s->out = FR_NONE;
	} else if (s->out == FR_LENGTH) {
		puts_(h, &c->out, "Content-Length: ");
		put_num(h, &c->out, (uint64_t)length, 10);
		put(h, &c->out, "\r\n", 2);
	} else if (s->out == FR_CHUNKED) {
		puts_(h, &c->out, "Transfer-Encoding: chunked\r\n");
	}
	if (s->closing)
		puts_(h, &c->out, "Connection: close\r\n");
	put(h, &c->out, "\r\n", 2);
	conn_todo(c);
}

static void answer_over(struct conn *c)
{
	c->st = ST_DONE;
	conn_due(c, c->h->now + c->s.door->d.lim.idle_ms);
	conn_todo(c);
}

const struct http_req *http_request(struct http *h, uint64_t token)
{
	struct conn *c = by_token(h, token);

	return c ? &c->s.req : NULL;
}

void http_answer(struct http *h, uint64_t token, int status, const struct http_field *f, int nf, const char *body, size_t len)
{
	struct conn *c = by_token(h, token);

	if (!c || c->s.begun)
		return;
	answer_head(c, status, f, nf, (int64_t)len);
	if (!c->s.no_body)
		put(h, &c->out, body, len);
	answer_over(c);
}

void http_begin(struct http *h, uint64_t token, int status, const struct http_field *f, int nf, int64_t length)
{
	struct conn *c = by_token(h, token);

	if (c && !c->s.begun)
		answer_head(c, status, f, nf, length);
}

void http_write(struct http *h, uint64_t token, const char *d, size_t n)
{
	struct conn *c = by_token(h, token);

	if (!c || !c->s.begun || c->s.no_body || !n)
		return;
	switch (c->s.out) {
	case FR_LENGTH:
		if (n > c->s.left) {
			log_say(LOG_BAD, "http", "An answer is longer than it said; it is broken off.");
			http_abort(h, token);
			return;
		}
		c->s.left -= n;
		put(h, &c->out, d, n);
		break;
	case FR_CHUNKED:
		put_num(h, &c->out, n, 16);
		put(h, &c->out, "\r\n", 2);
		put(h, &c->out, d, n);
		put(h, &c->out, "\r\n", 2);
		break;
	default: put(h, &c->out, d, n);
	}
	conn_todo(c);
}

void http_finish(struct http *h, uint64_t token)
{
	struct conn *c = by_token(h, token);

	if (!c)
		return;
	if (!c->s.begun || (c->s.out == FR_LENGTH && c->s.left && !c->s.no_body)) {
		http_abort(h, token);
		return;
	}
	if (c->s.out == FR_CHUNKED && !c->s.no_body)
		put(h, &c->out, "0\r\n\r\n", 5);
	answer_over(c);
}

void http_abort(struct http *h, uint64_t token)
{
	struct conn *c = by_token(h, token);

	if (c)
		conn_close(c, 1);
}

size_t http_backlog(struct http *h, uint64_t token)
{
	struct conn *c = by_token(h, token);

	return c ? c->out.len - c->out.off : 0;
}

int http_busy(const struct http *h) { return h->busy; }

/* ---- doors ---- */

static struct sockaddr_in sock_addr(uint64_t a)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
				     .sin_addr.s_addr = htonl((uint32_t)(a >> 16)),
				     .sin_port = htons((uint16_t)a) };
}

int http_listen(struct http *h, const char *addr, int door, const struct http_limits *l)
{
	uint64_t a = core_addr(addr);
	struct sockaddr_in sa = sock_addr(a);
	socklen_t n = sizeof sa;
	struct conn *c;
	int fd, on = 1;

	if (!a) {
		log_say(LOG_BAD, "http", "Cannot listen at %s: not an address.", addr);
		return 0;
	}
	if ((fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) < 0)
		goto bad;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	options(fd);
	if (bind(fd, (struct sockaddr *)&sa, sizeof sa) || listen(fd, 1024) || getsockname(fd, (struct sockaddr *)&sa, &n))
		goto bad;
	c = conn_new(h, CONN_DOOR, fd);
	c->st = ST_LISTEN;
	c->d.id = door;
	c->d.port = ntohs(sa.sin_port);
	c->d.burst = 1;
	c->d.lim = *l;
	conn_mask(c, EPOLLIN);
	arrput(h->doors, c);
	return 1;
bad:
	log_say(LOG_BAD, "http", "Cannot listen at %s: %s.", addr, strerror(errno));
	if (fd >= 0)
		close(fd);
	return 0;
}

int http_port(const struct http *h, int door)
{
	ptrdiff_t i;

	for (i = arrlen(h->doors); i--;)
		if (h->doors[i]->d.id == door)
			return h->doors[i]->d.port;
	return 0;
}

void http_limits(struct http *h, int door, const struct http_limits *l)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(h->doors); i++)
		if (h->doors[i]->d.id == door)
			h->doors[i]->d.lim = *l;
}

static int nothing_read(const struct conn *c) { return c->st == ST_HEAD && !c->in.len; }

void http_shut(struct http *h, int door)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(h->doors); i++) {
		struct conn *l = h->doors[i];

		if (l->d.id != door || l->fd < 0)
			continue;
		close(l->fd); /* its struct stays for its connections */
		l->fd = -1;
		heap_del(h, l);
	}
	for (i = 0; i < arrlen(h->slot); i++) {
		struct conn *c = h->slot[i];

		if (c && !c->dead && c->s.door->d.id == door && !c->s.token && nothing_read(c))
			conn_close(c, 0);
	}
}

void http_leave(struct http *h, int door)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(h->doors); i++)
		if (h->doors[i]->d.id == door)
			h->doors[i]->d.leaving = 1;
	for (i = 0; i < arrlen(h->slot); i++) {
		struct conn *c = h->slot[i];

		if (c && !c->dead && c->s.door->d.id == door && nothing_read(c))
			conn_close(c, 0);
	}
}

/* ---- client ---- */

static struct peer *peer_of(struct http *h, uint64_t addr)
{
	struct peer *p = hmget(h->peers, addr);

	if (p)
		return p;
	if (!(p = calloc(1, sizeof *p)))
		abort();
	p->addr = addr;
	hmput(h->peers, addr, p);
	return p;
}

/* A connection to a peer: a kept one, or one that is still to be opened, or NULL beyond the bound. */
static struct conn *peer_take(struct http *h, struct peer *p, int fresh, int64_t now)
{
	struct conn *c;

	while (!fresh && (c = p->first)) {
		if (c->due > now) {
			kept_out(c);
			c->st = ST_QUEUED;
			return c;
		}
		p->open++; /* so that the peer outlives it */
		conn_close(c, 0);
		p->open--;
	}
	if (p->most && p->open >= p->most) {
		if (!p->last)
			return NULL;
		p->open++;
		conn_close(p->last, 0);
		p->open--;
	}
	c = conn_new(h, CONN_CLIENT, -1);
	c->k.peer = p;
	c->k.epoch = p->epoch;
	c->st = ST_QUEUED;
	p->open++;
	return c;
}

/* How long a connection is kept: the server must not close it just as we use it. */
static int64_t keep_ms(const struct head *hd)
{
	int64_t margin = (int64_t)hd->keep_s * 250;

	return hd->keep_s < 0 ? KEPT_MS : (int64_t)hd->keep_s * 1000 - (margin < 300 ? 300 : margin);
}

static void client_keep(struct conn *c)
{
	struct peer *p = c->k.peer;

	if (c->k.until <= c->h->now || c->k.epoch != p->epoch) {
		conn_close(c, 0);
		return;
	}
	c->st = ST_KEPT;
	c->k.next = p->first;
	c->k.prev = NULL;
	if (p->first)
		p->first->k.prev = c;
	else
		p->last = c;
	p->first = c;
	buf_free(c->h, &c->in);
	conn_due(c, c->k.until);
}

/* The call is over. keep: its connection may serve another. */
static void client_end(struct conn *c, enum http_end how, int keep)
{
	struct http *h = c->h;
	uint64_t token = c->k.token;
	int status = c->hd.status;

	(void)hmdel(h->calls, token);
	buf_free(h, &c->out);
	if (keep)
		client_keep(c);
	else
		conn_close(c, 0);
	h->did = 1;
	h->on.done(h->on.ctx, token, how, how == HTTP_NEVER ? 0 : status);
}

static void client_broken(struct conn *c) { client_end(c, c->k.sent ? HTTP_BROKE : HTTP_NEVER, 0); }

static int64_t sooner(int64_t a, int64_t b) { return a < b ? a : b; }

static void client_connect(struct conn *c)
{
	struct http *h = c->h;
	struct sockaddr_in sa = sock_addr(c->k.peer->addr);

	if ((c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) < 0) {
		client_end(c, HTTP_NEVER, 0);
		return;
	}
	options(c->fd);
	h->n.connects++;
	if (connect(c->fd, (struct sockaddr *)&sa, sizeof sa) && errno != EINPROGRESS) {
		client_end(c, HTTP_NEVER, 0);
		return;
	}
	c->st = ST_CONNECT;
	conn_mask(c, READ | EPOLLOUT);
	conn_due(c,
		 sooner(sooner(c->k.not_after == NO_TIME ? NO_TIME : c->k.not_after + 1, c->k.limit_at), h->now + c->k.connect_ms));
}

/* Put the call on another connection: nothing of it went out on this one. */
static struct conn *client_move(struct conn *c)
{
	struct http *h = c->h;
	struct peer *p = c->k.peer;
	struct conn *n;

	p->open++;
	conn_close(c, 0);
	p->open--;
	if (!(n = peer_take(h, p, c->k.fresh, h->now))) {
		peer_drop(h, p);
		(void)hmdel(h->calls, c->k.token);
		h->did = 1;
		h->on.done(h->on.ctx, c->k.token, HTTP_NEVER, 0);
		return NULL;
	}
	n->out = c->out;
	c->out = (struct buf){ 0 };
	n->k.token = c->k.token;
	n->k.not_after = c->k.not_after;
	n->k.limit_at = c->k.limit_at;
	n->k.connect_ms = c->k.connect_ms;
	n->k.fresh = c->k.fresh;
	n->k.is_head = c->k.is_head;
	n->k.sent = 0;
	n->due = NO_TIME;
	hmput(h->calls, n->k.token, n);
	return n;
}

/* Send what is left of the request. Returns 0 when the first send failed with nothing written. */
static int client_send(struct conn *c)
{
	size_t off = c->out.off;
	int lost, all = conn_send(c, &lost);

	if (lost) {
		if (!c->k.sent)
			return 0;
		/* an answer may have come all the same; what is read says so */
		c->k.cut = 1;
		buf_free(c->h, &c->out);
		conn_mask(c, READ);
		return 1;
	}
	c->k.sent |= all || c->out.off > off;
	conn_mask(c, all ? READ : READ | EPOLLOUT);
	conn_due(c, all ? c->k.limit_at : sooner(c->k.not_after == NO_TIME ? NO_TIME : c->k.not_after + 1, c->k.limit_at));
	return 1;
}

static int too_late(const struct conn *c)
{
	int64_t now = clock_ms(); /* anew: the process may just have woken from a freeze */

	return now > c->k.not_after || now >= c->k.limit_at;
}

static void client_start(struct conn *c)
{
	while (c && c->st == ST_QUEUED) {
		if (c->fd >= 0) {
			char b;

			if (recv(c->fd, &b, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK) ||
			    clock_ms() >= c->k.until) {
				c = client_move(c);
				continue;
			}
		}
		if (too_late(c)) {
			client_end(c, HTTP_NEVER, c->fd >= 0);
			return;
		}
		if (c->fd < 0) {
			client_connect(c);
			return;
		}
		c->st = ST_ANSWER;
		c->scan = 0;
		c->hd = (struct head){ .keep_s = -1 };
		if (client_send(c)) {
			c->h->n.kept_used++;
			return;
		}
		c = client_move(c);
	}
}

/* Whole, with surplus bytes behind it or not. */
static int client_whole(struct conn *c, size_t surplus)
{
	/* the server counts from when it answered: after a freeze that may be long ago */
	c->k.until = c->h->looked + keep_ms(&c->hd);
	client_end(c, HTTP_WHOLE, !surplus && !c->hd.close && !c->out.len && !c->k.cut);
	return 1;
}

/* Bytes of the body. Returns 1 when the call is over. */
static int client_rest(struct conn *c, const char *d, size_t n)
{
	struct http *h = c->h;
	const char *p = NULL;
	size_t pn;
	ssize_t k;

	switch (c->k.in) {
	case FR_LENGTH:
		pn = n < c->left ? n : (size_t)c->left;
		c->left -= pn;
		if (pn)
			h->on.body(h->on.ctx, c->k.token, d, pn);
		if (c->dead)
			return 1;
		return c->left ? 0 : client_whole(c, n - pn);
	case FR_CHUNKED:
		while (n && c->ck.at != CH_DONE) {
			if ((k = chunk_step(&c->ck, d, n, &p, &pn)) < 0) {
				client_broken(c);
				return 1;
			}
			if (pn)
				h->on.body(h->on.ctx, c->k.token, p, pn);
			if (c->dead)
				return 1;
			d += k;
			n -= (size_t)k;
		}
		return c->ck.at == CH_DONE ? client_whole(c, n) : 0;
	case FR_EOF:
		if (n)
			h->on.body(h->on.ctx, c->k.token, d, n);
		return c->dead;
	default: return client_whole(c, n);
	}
}

static int client_bytes(struct conn *c, const char *d, size_t n)
{
	struct http *h = c->h;
	size_t from = 0;
	ssize_t end;

	if (c->st == ST_REST)
		return client_rest(c, d, n);
	put(h, &c->in, d, n);
	for (;;) {
		end = head_end(c, from);
		if (end < 0 || (end ? (size_t)end : c->in.len) - from > CLIENT_HEAD ||
		    (end && !head_read(c, from, (size_t)end, 0)) || (end && c->hd.status == 101)) {
			client_broken(c);
			return 1;
		}
		if (!end) {
			if (from) {
				memmove(c->in.d, c->in.d + from, c->in.len - from);
				c->in.len -= from;
				c->scan -= from;
			}
			return 0;
		}
		from = (size_t)end;
		if (c->hd.status >= 200)
			break;
	}
	c->left = c->hd.length;
	c->ck = (struct chunks){ 0 };
	c->k.in = c->k.is_head || c->hd.status == 204 || c->hd.status == 304 || (c->hd.has_len && !c->left) ? FR_NONE
		  : c->hd.chunked                                                                           ? FR_CHUNKED
		  : c->hd.has_len                                                                           ? FR_LENGTH
													    : FR_EOF;
	c->st = ST_REST;
	fields_fix(c);
	h->did = 1;
	h->on.head(h->on.ctx, c->k.token, c->hd.status, c->f, c->nf);
	if (c->dead)
		return 1;
	return client_rest(c, c->in.d + from, c->in.len - from);
}

static void client_eof(struct conn *c)
{
	if (c->st == ST_REST && c->k.in == FR_EOF && c->hd.close)
		client_end(c, HTTP_WHOLE, 0);
	else
		client_broken(c);
}

static void client_read(struct conn *c, uint32_t ev)
{
	struct http *h = c->h;
	ssize_t n;

	/* where the peer has closed, its last bytes and its end are taken in one go */
	do {
		n = recv(c->fd, h->scratch, SCRATCH, 0);
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
			return;
		if (n < 0) {
			client_broken(c);
			return;
		}
		if (!n) {
			client_eof(c);
			return;
		}
		if (client_bytes(c, h->scratch, (size_t)n))
			return;
	} while (ev & EPOLLRDHUP);
}

static void client_event(struct conn *c, uint32_t ev)
{
	switch (c->st) {
	case ST_CONNECT:
		/* nobody may have spoken before us, either */
		if ((ev & (EPOLLERR | EPOLLHUP | EPOLLRDHUP | EPOLLIN)) || too_late(c)) {
			client_end(c, HTTP_NEVER, 0);
			return;
		}
		c->st = ST_ANSWER;
		c->scan = 0;
		c->hd = (struct head){ .keep_s = -1 };
		if (!client_send(c))
			client_end(c, HTTP_NEVER, 0);
		return;
	case ST_ANSWER:
	case ST_REST:
		if (ev & ~(uint32_t)EPOLLOUT) {
			client_read(c, ev);
			return; /* it may be another call's by now */
		}
		if (too_late(c))
			client_broken(c);
		else
			client_send(c);
		return;
	case ST_KEPT: conn_close(c, 0); return;
	default: return; /* its start looks for itself */
	}
}

static void client_timeout(struct conn *c)
{
	if (c->st == ST_KEPT)
		conn_close(c, 0);
	else
		client_broken(c);
}

static int carries(const char *verb) { return !strcmp(verb, "POST") || !strcmp(verb, "PUT") || !strcmp(verb, "PATCH"); }

void http_call(struct http *h, uint64_t token, uint64_t addr, const struct http_out *q)
{
	int64_t now = clock_ms();
	struct conn *c;
	int i;

	if (hmgeti(h->calls, token) >= 0) {
		log_say(LOG_BAD, "http", "A call's token is in use; the call is not made.");
		return;
	}
	if (!(c = peer_take(h, peer_of(h, addr), q->fresh, now))) {
		c = conn_new(h, CONN_CLIENT, -1);
		c->st = ST_FAIL;
	}
	c->due = NO_TIME;
	c->k.token = token;
	c->k.sent = 0;
	c->k.fresh = q->fresh;
	c->k.not_after = q->not_after;
	c->k.limit_at = q->limit_ms > 0 ? now + q->limit_ms : NO_TIME;
	c->k.connect_ms = q->connect_ms > 0 ? q->connect_ms : CONNECT_MS;
	c->k.is_head = !strcmp(q->verb, "HEAD");
	hmput(h->calls, token, c);
	h->n.calls++;
	conn_todo(c);
	if (c->st == ST_FAIL)
		return;
	put_clean(h, &c->out, q->verb);
	put(h, &c->out, " ", 1);
	put_clean(h, &c->out, q->target);
	put(h, &c->out, " HTTP/1.1\r\n", 11);
	for (i = 0; i < q->nf; i++)
		if (!framing_field(q->f[i].name) || strlen(q->f[i].name) == 10)
			put_field(h, &c->out, &q->f[i]);
	if (q->body || carries(q->verb)) {
		puts_(h, &c->out, "Content-Length: ");
		put_num(h, &c->out, q->len, 10);
		put(h, &c->out, "\r\n", 2);
	}
	put(h, &c->out, "\r\n", 2);
	if (q->body)
		put(h, &c->out, q->body, q->len);
}

void http_cancel(struct http *h, uint64_t token)
{
	struct conn *c = hmget(h->calls, token);

	if (!c)
		return;
	(void)hmdel(h->calls, token);
	conn_close(c, 1);
}

int http_sent(struct http *h, uint64_t token)
{
	struct conn *c = hmget(h->calls, token);

	return c && c->k.sent;
}

void http_forget(struct http *h, uint64_t addr)
{
	struct peer *p = hmget(h->peers, addr);

	if (!p)
		return;
	p->epoch++; /* those in use are not kept afterwards */
	p->open++;
	while (p->first)
		conn_close(p->first, 0);
	p->open--;
	peer_drop(h, p);
}

void http_most(struct http *h, uint64_t addr, int n)
{
	struct peer *p = peer_of(h, addr);

	p->most = n;
	peer_drop(h, p);
}

/* ---- the loop ---- */

static void run_todo(struct http *h)
{
	struct conn **v = h->todo;
	ptrdiff_t i;

	if (!arrlen(v))
		return;
	/* only what was there: what callbacks add has its turn later */
	h->todo = h->doing;
	h->doing = v;
	for (i = 0; i < arrlen(v); i++) {
		struct conn *c = v[i];

		c->queued = 0;
		if (c->dead)
			continue;
		if (c->kind == CONN_SERVER)
			server_flush(c);
		else if (c->st == ST_FAIL)
			client_end(c, HTTP_NEVER, 0);
		else
			client_start(c);
	}
	arrsetlen(v, 0);
}

static void run_timers(struct http *h)
{
	while (arrlen(h->heap) && h->heap[0]->key <= h->now) {
		struct conn *c = h->heap[0];

		if (c->due > h->now) {
			if (c->due == NO_TIME) {
				heap_del(h, c);
			} else {
				c->key = c->due;
				heap_down(h, 0);
			}
			continue;
		}
		heap_del(h, c);
		c->due = NO_TIME;
		if (c->kind == CONN_SERVER) {
			server_timeout(c);
		} else if (c->kind == CONN_CLIENT) {
			client_timeout(c);
		} else if (c->fd >= 0) {
			c->st = ST_LISTEN;
			conn_mask(c, EPOLLIN);
		}
	}
}

void http_wait(struct http *h, int ms)
{
	uint64_t v;
	int i, n;

	h->turn++;
	h->did = 0;
	/* the time of the last turn serves where nothing is due soon */
	if (arrlen(h->todo) || (arrlen(h->heap) && h->heap[0]->key - h->now < (int64_t)ms + 1000))
		h->now = clock_ms();
	run_todo(h);
	if (h->did || arrlen(h->todo) || ms < 0)
		ms = 0;
	if (ms && arrlen(h->heap) && h->heap[0]->key - h->now < ms)
		ms = h->heap[0]->key > h->now ? (int)(h->heap[0]->key - h->now) : 0;
	h->looked = h->polled;
	n = epoll_wait(h->ep, h->event, EVENTS, ms);
	h->now = h->polled = clock_ms();
	for (i = 0; i < n; i++) {
		struct conn *c = h->event[i].data.ptr;
		uint32_t ev = h->event[i].events;

		if (!c) {
			if (read(h->ev, &v, sizeof v) < 0)
				continue;
			__atomic_store_n(&h->woken, 0, __ATOMIC_SEQ_CST); /* before the owner looks at what it was woken for */
			continue;
		}
		if (c->dead || c->fd < 0)
			continue;
		if (c->kind == CONN_SERVER)
			server_event(c, ev);
		else if (c->kind == CONN_CLIENT)
			client_event(c, ev);
		else if (c->st == ST_LISTEN)
			server_accept(c);
	}
	run_timers(h);
	run_todo(h);
	reap(h);
}

void http_wake(struct http *h)
{
	uint64_t one = 1;

	if (!__atomic_exchange_n(&h->woken, 1, __ATOMIC_SEQ_CST) && write(h->ev, &one, sizeof one) < 0)
		return; /* it is awake already */
}

struct http *http_open(const struct http_on *on, apr_pool_t *p)
{
	struct epoll_event e = { .events = EPOLLIN };
	struct http *h = calloc(1, sizeof *h);
	int i;

	(void)p;
	if (!h)
		abort();
	for (i = 0; i < 256; i++)
		tchar[i] = (unsigned char)is_tchar((unsigned char)i);
	http_parser_set_max_header_size(1 << 24); /* heads are bounded here, for each door */
	h->on = *on;
	h->ep = epoll_create1(EPOLL_CLOEXEC);
	h->ev = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (h->ep < 0 || h->ev < 0 || epoll_ctl(h->ep, EPOLL_CTL_ADD, h->ev, &e)) {
		log_say(LOG_BAD, "http", "Cannot open a loop: %s.", strerror(errno));
		free(h);
		return NULL;
	}
	h->now = h->polled = h->looked = clock_ms();
	return h;
}

void http_close(struct http *h)
{
	ptrdiff_t i;
	int lost;

	for (i = 0; i < arrlen(h->slot); i++)
		if (h->slot[i] && !h->slot[i]->dead) {
			if (h->slot[i]->st != ST_LINGER)
				conn_send(h->slot[i], &lost);
			conn_close(h->slot[i], 0);
		}
	for (i = 0; i < hmlen(h->calls); i++)
		conn_close(h->calls[i].value, 0);
	while (hmlen(h->peers)) {
		struct peer *q = h->peers[0].value;

		q->most = 0;
		q->open++;
		while (q->first)
			conn_close(q->first, 0);
		q->open--;
		peer_drop(h, q);
	}
	for (i = 0; i < arrlen(h->todo); i++)
		h->todo[i]->queued = 0;
	reap(h);
	for (i = 0; i < arrlen(h->doors); i++) {
		if (h->doors[i]->fd >= 0)
			close(h->doors[i]->fd);
		free(h->doors[i]->f);
		free(h->doors[i]);
	}
	while (h->spare) {
		struct conn *c = h->spare;

		h->spare = c->k.next;
		free(c->f);
		free(c);
	}
	while (h->nblock)
		free(h->block[--h->nblock]);
	arrfree(h->doors);
	arrfree(h->slot);
	arrfree(h->free_slot);
	arrfree(h->todo);
	arrfree(h->doing);
	arrfree(h->dead);
	arrfree(h->heap);
	hmfree(h->calls);
	hmfree(h->peers);
	close(h->ep);
	close(h->ev);
	free(h);
}

const char *http_get(const struct http_field *f, int nf, const char *name)
{
	int i;

	for (i = 0; i < nf; i++)
		if (!strcasecmp(f[i].name, name))
			return f[i].value;
	return NULL;
}

struct http_counts http_count(const struct http *h) { return h->n; }
