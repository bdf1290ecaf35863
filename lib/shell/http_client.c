/* http_client: calls to servers, each sent once, and the connections that are kept between them. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "ds.h"
#include "http_internal.h"
#include "shell.h"

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
			http_kept_remove(c);
			c->st = ST_QUEUED;
			return c;
		}
		p->open++; /* so that the peer outlives it */
		http_conn_close(c, 0);
		p->open--;
	}
	if (p->most && p->open >= p->most) {
		if (!p->last)
			return NULL;
		p->open++;
		http_conn_close(p->last, 0);
		p->open--;
	}
	c = http_conn_new(h, CONN_CLIENT, -1);
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
		http_conn_close(c, 0);
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
	http_buffer_free(c->h, &c->in);
	http_timer_set(c, c->k.until);
}

/* The call is over. keep: its connection may serve another. */
void http_client_end(struct conn *c, enum http_end how, int keep)
{
	struct http *h = c->h;
	uint64_t token = c->k.token;
	int status = c->hd.status;

	(void)hmdel(h->calls, token);
	http_buffer_free(h, &c->out);
	if (keep)
		client_keep(c);
	else
		http_conn_close(c, 0);
	h->did = 1;
	h->on.done(h->on.ctx, token, how, how == HTTP_NEVER ? 0 : status);
}

static void client_broken(struct conn *c) { http_client_end(c, c->k.sent ? HTTP_BROKE : HTTP_NEVER, 0); }

static int64_t sooner(int64_t a, int64_t b) { return a < b ? a : b; }

static void client_connect(struct conn *c)
{
	struct http *h = c->h;
	struct sockaddr_in sa = http_socket_address(c->k.peer->addr);

	if ((c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) < 0) {
		http_client_end(c, HTTP_NEVER, 0);
		return;
	}
	http_socket_options(c->fd);
	h->n.connects++;
	if (connect(c->fd, (struct sockaddr *)&sa, sizeof sa) && errno != EINPROGRESS) {
		http_client_end(c, HTTP_NEVER, 0);
		return;
	}
	c->st = ST_CONNECT;
	http_conn_watch(c, HTTP_READ_EVENTS | EPOLLOUT);
	http_timer_set(
	    c, sooner(sooner(c->k.not_after == NO_TIME ? NO_TIME : c->k.not_after + 1, c->k.limit_at), h->now + c->k.connect_ms));
}

/* Put the call on another connection: nothing of it went out on this one. */
static struct conn *client_move(struct conn *c)
{
	struct http *h = c->h;
	struct peer *p = c->k.peer;
	struct conn *n;

	p->open++;
	http_conn_close(c, 0);
	p->open--;
	if (!(n = peer_take(h, p, c->k.fresh, h->now))) {
		http_peer_release(h, p);
		(void)hmdel(h->calls, c->k.token);
		h->did = 1;
		h->on.done(h->on.ctx, c->k.token, HTTP_NEVER, 0);
		return NULL;
	}
	n->out = c->out;
	c->out = (struct buffer){ 0 };
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
	int lost, all = http_conn_send(c, &lost);

	if (lost) {
		if (!c->k.sent)
			return 0;
		/* an answer may have come all the same; what is read says so */
		c->k.cut = 1;
		http_buffer_free(c->h, &c->out);
		http_conn_watch(c, HTTP_READ_EVENTS);
		return 1;
	}
	c->k.sent |= all || c->out.off > off;
	http_conn_watch(c, all ? HTTP_READ_EVENTS : HTTP_READ_EVENTS | EPOLLOUT);
	http_timer_set(c, all ? c->k.limit_at : sooner(c->k.not_after == NO_TIME ? NO_TIME : c->k.not_after + 1, c->k.limit_at));
	return 1;
}

static int too_late(const struct conn *c)
{
	int64_t now = clock_ms(); /* anew: the process may just have woken from a freeze */

	return now > c->k.not_after || now >= c->k.limit_at;
}

void http_client_start(struct conn *c)
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
			http_client_end(c, HTTP_NEVER, c->fd >= 0);
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

static int client_bytes(struct conn *c, const char *d, size_t n);

/* An answer to another request is over; what stands behind it, or is to come, is the next one. */
static int client_next_answer(struct conn *c, const char *behind, size_t n)
{
	char *copy = NULL;
	int over;

	c->k.skipping = 0;
	if (++c->k.skipped > ANSWERS_SKIPPED || c->hd.close) {
		client_broken(c);
		return 1;
	}
	if (n) { /* it may stand in the buffer that is emptied here */
		copy = malloc(n);
		if (!copy)
			abort();
		memcpy(copy, behind, n);
	}
	http_buffer_free(c->h, &c->in);
	c->st = ST_ANSWER;
	c->scan = 0;
	c->hd = (struct head){ .keep_s = -1 };
	over = n ? client_bytes(c, copy, n) : 0;
	free(copy);
	return over;
}

/* Whole, with surplus bytes behind it or not. */
static int client_whole(struct conn *c, const char *behind, size_t surplus)
{
	if (c->k.skipping)
		return client_next_answer(c, behind, surplus);
	/* the server counts from when it answered: after a freeze that may be long ago */
	c->k.until = c->h->looked + keep_ms(&c->hd);
	http_client_end(c, HTTP_WHOLE, !surplus && !c->k.skipped && !c->hd.close && !c->out.len && !c->k.cut);
	return 1;
}

static void client_pass_body(struct conn *c, const char *d, size_t n)
{
	if (n && !c->k.skipping)
		c->h->on.body(c->h->on.ctx, c->k.token, d, n);
}

/* Bytes of the body. Returns 1 when the call is over. */
static int client_rest(struct conn *c, const char *d, size_t n)
{
	const char *p = NULL;
	size_t pn;
	ssize_t k;

	switch (c->k.in) {
	case FR_LENGTH:
		pn = n < c->left ? n : (size_t)c->left;
		c->left -= pn;
		client_pass_body(c, d, pn);
		if (c->dead)
			return 1;
		return c->left ? 0 : client_whole(c, d + pn, n - pn);
	case FR_CHUNKED:
		while (n && c->ck.at != CH_DONE) {
			if ((k = http_chunk_step(&c->ck, d, n, &p, &pn)) < 0) {
				client_broken(c);
				return 1;
			}
			client_pass_body(c, p, pn);
			if (c->dead)
				return 1;
			d += k;
			n -= (size_t)k;
		}
		return c->ck.at == CH_DONE ? client_whole(c, d, n) : 0;
	case FR_EOF: client_pass_body(c, d, n); return c->dead;
	default: return client_whole(c, d, n);
	}
}

static int client_bytes(struct conn *c, const char *d, size_t n)
{
	struct http *h = c->h;
	size_t from = 0;
	ssize_t end;

	if (c->st == ST_REST)
		return client_rest(c, d, n);
	http_buffer_put(h, &c->in, d, n);
	for (;;) {
		end = http_head_end(c, from);
		if (end < 0 || (end ? (size_t)end : c->in.len) - from > CLIENT_HEAD ||
		    (end && !http_head_read(c, from, (size_t)end, 0)) || (end && c->hd.status == 101)) {
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
	http_head_fix_fields(c);
	h->did = 1;
	h->on.head(h->on.ctx, c->k.token, c->hd.status, c->f, c->nf);
	if (c->dead)
		return 1;
	return client_rest(c, c->in.d + from, c->in.len - from);
}

static void client_eof(struct conn *c)
{
	if (c->st == ST_REST && c->k.in == FR_EOF && c->hd.close && !c->k.skipping)
		http_client_end(c, HTTP_WHOLE, 0);
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

void http_client_event(struct conn *c, uint32_t ev)
{
	switch (c->st) {
	case ST_CONNECT:
		/* nobody may have spoken before us, either */
		if ((ev & (EPOLLERR | EPOLLHUP | EPOLLRDHUP | EPOLLIN)) || too_late(c)) {
			http_client_end(c, HTTP_NEVER, 0);
			return;
		}
		c->st = ST_ANSWER;
		c->scan = 0;
		c->hd = (struct head){ .keep_s = -1 };
		if (!client_send(c))
			http_client_end(c, HTTP_NEVER, 0);
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
	case ST_KEPT: http_conn_close(c, 0); return;
	default: return; /* its start looks for itself */
	}
}

void http_client_timeout(struct conn *c)
{
	if (c->st == ST_KEPT)
		http_conn_close(c, 0);
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
		c = http_conn_new(h, CONN_CLIENT, -1);
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
	http_conn_queue(c);
	if (c->st == ST_FAIL)
		return;
	http_buffer_clean(h, &c->out, q->verb);
	http_buffer_put(h, &c->out, " ", 1);
	http_buffer_clean(h, &c->out, q->target);
	http_buffer_put(h, &c->out, " HTTP/1.1\r\n", 11);
	for (i = 0; i < q->nf; i++)
		if (!http_is_framing_field(q->f[i].name) || strlen(q->f[i].name) == 10)
			http_buffer_field(h, &c->out, &q->f[i]);
	if (q->body || carries(q->verb)) {
		http_buffer_text(h, &c->out, "Content-Length: ");
		http_buffer_number(h, &c->out, q->len, 10);
		http_buffer_put(h, &c->out, "\r\n", 2);
	}
	http_buffer_put(h, &c->out, "\r\n", 2);
	if (q->body)
		http_buffer_put(h, &c->out, q->body, q->len);
}

void http_cancel(struct http *h, uint64_t token)
{
	struct conn *c = hmget(h->calls, token);

	if (!c)
		return;
	(void)hmdel(h->calls, token);
	http_conn_close(c, 1);
}

void http_skip_answer(struct http *h, uint64_t token)
{
	struct conn *c = hmget(h->calls, token);

	if (c)
		c->k.skipping = 1;
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
		http_conn_close(p->first, 0);
	p->open--;
	http_peer_release(h, p);
}

void http_most(struct http *h, uint64_t addr, int n)
{
	struct peer *p = peer_of(h, addr);

	p->most = n;
	http_peer_release(h, p);
}
