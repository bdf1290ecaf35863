/* http_server: clients that connect to a door, one request at a time on a connection, and their answers. */
#include <errno.h>
#include <linux/sockios.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <http_parser.h>

#include "ds.h"
#include "http_internal.h"
#include "shell.h"

static struct conn *by_token(struct http *h, uint64_t token)
{
	size_t i = token & ((1u << SLOT_BITS) - 1);
	struct conn *c = i < arrlenu(h->slot) ? h->slot[i] : NULL;

	return c && !c->dead && c->st == ST_BUSY && c->s.token == token ? c : NULL;
}

static void put_status(struct http *h, struct buffer *b, int status)
{
	const char *s = http_status_str((enum http_status)status);

	http_buffer_put(h, b, "HTTP/1.1 ", 9);
	http_buffer_number(h, b, (uint64_t)status, 10);
	http_buffer_put(h, b, " ", 1);
	http_buffer_text(h, b, *s == '<' ? "Other" : s);
	http_buffer_put(h, b, "\r\n", 2);
}

/* For how long the wait under way may last. */
static int wait_ms(const struct conn *c)
{
	const struct listener *d = &c->s.door->d;

	switch (c->st) {
	case ST_HEAD:
		if (c->s.read)
			return d->lim.head_ms;
		return d->leaving && c->s.token && d->lim.idle_ms > LEAVE_IDLE_MS ? LEAVE_IDLE_MS : d->lim.idle_ms;
	case ST_DONE: return c->s.unsettled ? d->lim.idle_ms : LINGER_MS; /* of a refusal: its request was not read */
	case ST_LINGER: return LINGER_MS;
	default: return d->lim.idle_ms;
	}
}

static void wait_begins(struct conn *c)
{
	c->s.since = c->h->now;
	http_timer_set(c, c->s.since + wait_ms(c));
}

void http_server_refuse(struct conn *c, int status, int retry_ms)
{
	struct http *h = c->h;
	char after[48];

	h->n.bad++;
	h->busy++;
	put_status(h, &c->out, status);
	if (retry_ms > 0) {
		snprintf(after, sizeof after, "Retry-After: %d.%03d\r\n", retry_ms / 1000, retry_ms % 1000);
		http_buffer_text(h, &c->out, after);
	}
	http_buffer_text(h, &c->out, "Content-Length: 0\r\nConnection: close\r\n\r\n");
	c->st = ST_DONE;
	c->s.closing = c->s.linger = 1;
	c->in.len = 0;
	wait_begins(c);
	http_conn_queue(c);
}

static void server_lost(struct conn *c)
{
	struct http *h = c->h;
	int waits = c->st == ST_BUSY;

	http_server_cut(c, HTTP_CLIENT_GONE);
	if (!waits)
		return;
	h->did = 1;
	h->on.gone(h->on.ctx, c->s.token);
}

static void server_deliver(struct conn *c)
{
	struct http *h = c->h;
	struct server_side *s = &c->s;

	http_head_fix_fields(c);
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
	s->begun = s->no_body = s->refusal = 0;
	s->unsettled = 1;
	s->answer_until = 0;
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
	struct server_side *s = &c->s;
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
		if ((k = http_chunk_step(&c->ck, c->in.d + s->pos, c->in.len - s->pos, &d, &dn)) < 0) {
			http_server_refuse(c, 400, 0);
			return 0;
		}
		if (c->ck.at != CH_SIZE && s->body_len + dn + c->ck.left > s->body_max) { /* the size itself may be half read */
			http_server_refuse(c, 413, 0);
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
	struct server_side *s = &c->s;
	const struct http_limits *lim = &s->door->d.lim;
	ssize_t end;

	if (c->st == ST_HEAD) {
		while (c->in.len - s->pos >= 2 && !memcmp(c->in.d + s->pos, "\r\n", 2))
			s->pos += 2; /* blank lines before a request */
		if (c->in.len == s->pos) {
			c->in.len = s->pos = c->scan = 0;
			return;
		}
		end = http_head_end(c, s->pos);
		if (end < 0) {
			http_server_refuse(c, 400, 0);
			return;
		}
		if ((end ? (size_t)end : c->in.len) - s->pos > lim->head) {
			http_server_refuse(c, 431, 0);
			return;
		}
		if (!end) {
			if (c->due == NO_TIME || !s->read) {
				s->read = 1;
				wait_begins(c);
			}
			return;
		}
		if (!http_head_read(c, s->pos, (size_t)end, 1)) {
			http_server_refuse(c, 400, 0);
			return;
		}
		if (c->hd.has_len && c->hd.length > lim->body) {
			http_server_refuse(c, 413, 0);
			return;
		}
		s->pos = s->body = (size_t)end;
		s->body_len = 0;
		s->body_max = lim->body;
		c->left = c->hd.length;
		c->ck = (struct chunks){ 0 };
		c->st = ST_BODY;
		if (c->left > c->in.len - s->pos)
			http_buffer_room(h, &c->in, (size_t)c->left - (c->in.len - s->pos));
		if (c->hd.expect && c->hd.minor && (c->hd.chunked || c->left) && c->in.len == s->pos) {
			http_buffer_text(h, &c->out, "HTTP/1.1 100 Continue\r\n\r\n");
			http_conn_queue(c);
		}
	}
	if (c->st != ST_BODY)
		return;
	if (server_body(c))
		server_deliver(c);
	else if (c->st == ST_BODY)
		wait_begins(c);
}

void http_server_idle(struct conn *c)
{
	c->st = ST_HEAD;
	c->s.read = 0;
	c->s.pos = c->scan = 0;
	wait_begins(c);
}

/* The answer is out. A connection that has not said that it closes waits for the next request, also while the door leaves: one
 * may be on its way, and closing over it would be a reset that may overtake the answer. */
static void server_next(struct conn *c)
{
	struct http *h = c->h;
	struct server_side *s = &c->s;
	size_t rest = c->in.len > s->pos ? c->in.len - s->pos : 0;

	http_server_settle(c, s->refusal ? HTTP_REFUSED : HTTP_ANSWERED);
	if (s->closing) {
		http_server_linger(c);
		return;
	}
	if (rest)
		memmove(c->in.d, c->in.d + s->pos, rest);
	c->in.len = rest;
	if (s->early.len) {
		http_buffer_put(h, &c->in, s->early.d, s->early.len);
		http_buffer_free(h, &s->early);
		if (!(c->mask & EPOLLIN))
			http_conn_watch(c, HTTP_READ_EVENTS);
	}
	h->busy--;
	http_server_idle(c);
	if (c->in.len)
		server_parse(c);
	else
		http_buffer_free(h, &c->in);
}

/* Nothing of an answer has left, and its time is over: this process may have stood still since it was given. */
static int answer_is_late(const struct conn *c)
{
	return c->s.answer_until && c->st == ST_DONE && c->out.len && !c->out.off && clock_ms() > c->s.answer_until;
}

void http_server_flush(struct conn *c)
{
	int lost;

	if (c->st == ST_LINGER)
		return;
	if (answer_is_late(c)) {
		http_server_cut(c, HTTP_CUT_LATE);
		return;
	}
	if (!http_conn_send(c, &lost)) {
		if (lost)
			server_lost(c);
		else
			http_conn_watch(c, c->mask | EPOLLOUT);
		return;
	}
	if (c->mask & EPOLLOUT)
		http_conn_watch(c, c->mask & ~(uint32_t)EPOLLOUT);
	if (c->st == ST_DONE)
		server_next(c);
}

/* Bytes behind the request that is being answered: they are read now, so that the answer need not be the last. Not by way of
 * the scratch buffer, which may hold the piece of a server's answer that is being passed on. */
static void server_read_early(struct conn *c)
{
	struct http *h = c->h;
	struct buffer *early = &c->s.early;
	ssize_t n = recv(c->fd, http_buffer_room(h, early, BLOCK), BLOCK, 0);

	if (n > 0)
		early->len += (size_t)n;
	else
		http_buffer_free(h, early);
}

/* Returns how many bytes have come. */
static ssize_t server_read(struct conn *c)
{
	struct http *h = c->h;
	struct server_side *s = &c->s;
	ssize_t n = recv(c->fd, h->scratch, SCRATCH, 0);

	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return 0;
	if (n <= 0) {
		server_lost(c);
		return 0;
	}
	switch (c->st) {
	case ST_HEAD:
	case ST_BODY:
		http_buffer_put(h, &c->in, h->scratch, (size_t)n);
		server_parse(c);
		break;
	case ST_BUSY:
	case ST_DONE:
		if (s->linger)
			break; /* of a request that was refused */
		http_buffer_put(h, &s->early, h->scratch, (size_t)n);
		if (s->early.len >= EARLY_MAX)
			http_conn_watch(c, c->mask & ~(uint32_t)EPOLLIN);
		break;
	default: break;
	}
	return n;
}

/* The client's half has ended behind an answer that was given whole: it takes the rest of it, and asks for nothing more. */
static void half_closed(struct conn *c)
{
	c->s.closing = c->s.linger = 1;
	http_conn_watch(c, EPOLLHUP | (c->mask & (uint32_t)EPOLLOUT));
}

/* A client that ends its half before it has an answer counts as gone. HTTP/1.1 leaves open what such an end means; a full close
 * looks the same until something is sent, and a server must not work on for a client that has left. */
void http_server_event(struct conn *c, uint32_t ev)
{
	if (c->st == ST_LINGER) {
		http_server_linger_read(c);
		return;
	}
	if ((ev & (EPOLLHUP | EPOLLERR)) || ((ev & EPOLLRDHUP) && c->st != ST_DONE)) {
		server_lost(c);
		return;
	}
	if (ev & EPOLLOUT)
		http_server_flush(c);
	if (c->dead)
		return;
	if ((ev & EPOLLRDHUP) && c->st == ST_DONE)
		half_closed(c);
	else if (ev & EPOLLIN)
		server_read(c);
}

/* Bytes may have come since the loop looked: this process may have stood still. */
int http_server_moves(struct conn *c)
{
	int in_head = c->st == ST_HEAD && c->s.read;
	ssize_t n = server_read(c);

	return c->dead || c->st == ST_BUSY || c->st == ST_DONE || (n > 0 && !(in_head && c->st == ST_HEAD));
}

/* Bytes of the answer that the client's machine has not acknowledged. */
static uint64_t unsent(const struct conn *c)
{
	int kernel = 0;

	if (ioctl(c->fd, SIOCOUTQ, &kernel) || kernel < 0)
		kernel = 0;
	return c->out.len - c->out.off + (uint64_t)kernel;
}

/* A slow link may need many times the idle time for one answer. */
static int answer_moves(struct conn *c)
{
	uint64_t left;

	http_server_flush(c);
	if (c->dead || c->st != ST_DONE)
		return 1;
	left = unsent(c);
	if (left >= c->s.unsent)
		return 0;
	c->s.unsent = left;
	wait_begins(c);
	return 1;
}

void http_server_timeout(struct conn *c)
{
	int64_t due = c->s.since + wait_ms(c);

	if (c->st == ST_BUSY)
		return;
	if (c->st == ST_LINGER) {
		http_server_linger_read(c);
		if (!c->dead)
			http_conn_close(c, 0);
	} else if (due > c->h->now) { /* a longer time has come into force */
		http_timer_set(c, due);
	} else if (c->st == ST_DONE ? !answer_moves(c) : !http_server_moves(c)) {
		http_server_cut(c, HTTP_CUT_STALLED);
	}
}

/* Does the answer say that the connection closes, because the door leaves? It does not when bytes of another request have
 * come: that one is served too. */
static int leaves_with_answer(struct conn *c)
{
	struct server_side *s = &c->s;

	if (!s->door->d.leaving || s->closing)
		return 0;
	if (c->in.len <= s->pos && !s->early.len && (c->mask & EPOLLIN))
		server_read_early(c);
	return c->in.len <= s->pos && !s->early.len;
}

static int says_when_to_come_back(int status, const struct http_field *f, int nf)
{
	return (status == 503 || status == 429) && http_get(f, nf, "Retry-After") != NULL;
}

/* Head of an answer. Length below 0: as the version allows. */
static void answer_head(struct conn *c, int status, const struct http_field *f, int nf, int64_t length)
{
	struct http *h = c->h;
	struct server_side *s = &c->s;
	int i, none = status == 204 || status == 304 || (status >= 100 && status < 200);

	put_status(h, &c->out, status);
	for (i = 0; i < nf; i++)
		if (!http_is_framing_field(f[i].name))
			http_buffer_field(h, &c->out, &f[i]);
	s->begun = 1;
	s->no_body = none || !strcmp(s->verb, "HEAD");
	s->refusal = says_when_to_come_back(status, f, nf);
	if (leaves_with_answer(c))
		s->closing = s->linger = 1;
	s->left = length < 0 ? 0 : (uint64_t)length;
	s->out = length >= 0 ? FR_LENGTH : c->hd.minor ? FR_CHUNKED : FR_EOF;
	if (none) {
		s->out = FR_NONE;
	} else if (s->out == FR_LENGTH) {
		http_buffer_text(h, &c->out, "Content-Length: ");
		http_buffer_number(h, &c->out, (uint64_t)length, 10);
		http_buffer_put(h, &c->out, "\r\n", 2);
	} else if (s->out == FR_CHUNKED) {
		http_buffer_text(h, &c->out, "Transfer-Encoding: chunked\r\n");
	}
	if (s->closing)
		http_buffer_text(h, &c->out, "Connection: close\r\n");
	http_buffer_put(h, &c->out, "\r\n", 2);
	http_conn_queue(c);
}

static void answer_over(struct conn *c)
{
	c->st = ST_DONE;
	c->s.unsent = UINT64_MAX; /* looked at only when the idle time is over, so that an answer costs no system call more */
	wait_begins(c);
	http_conn_queue(c);
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
		http_buffer_put(h, &c->out, body, len);
	answer_over(c);
}

void http_answer_until(struct http *h, uint64_t token, int64_t until)
{
	struct conn *c = by_token(h, token);

	if (c && !c->s.begun)
		c->s.answer_until = until;
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
		http_buffer_put(h, &c->out, d, n);
		break;
	case FR_CHUNKED:
		http_buffer_number(h, &c->out, n, 16);
		http_buffer_put(h, &c->out, "\r\n", 2);
		http_buffer_put(h, &c->out, d, n);
		http_buffer_put(h, &c->out, "\r\n", 2);
		break;
	default: http_buffer_put(h, &c->out, d, n);
	}
	http_conn_queue(c);
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
		http_buffer_put(h, &c->out, "0\r\n\r\n", 5);
	answer_over(c);
}

void http_abort(struct http *h, uint64_t token)
{
	struct conn *c = by_token(h, token);

	if (c)
		http_server_cut(c, HTTP_CUT_ABORTED);
}

size_t http_backlog(struct http *h, uint64_t token)
{
	struct conn *c = by_token(h, token);

	return c ? c->out.len - c->out.off : 0;
}

int http_busy(const struct http *h) { return h->busy + h->sweeps; }
