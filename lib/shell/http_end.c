/* http_end: how a client's connection ends, and what became of each request that was read whole.
 * Every end of a client's connection goes through this file. An answer that was given whole is never followed by a close over
 * unread bytes, for the kernel answers those with a reset, which may overtake the answer. */
#include <errno.h>
#include <sys/socket.h>

#include "http_internal.h"

enum { STOP_READS = 16 /* reads of a connection at the close of the loop, so that unread bytes cause no reset */ };

void http_server_settle(struct conn *c, enum http_outcome outcome)
{
	if (!c->s.unsettled)
		return;
	c->s.unsettled = 0;
	c->h->n.outcome[outcome]++;
}

void http_server_cut(struct conn *c, enum http_outcome outcome)
{
	http_server_settle(c, outcome);
	http_conn_close(c, outcome == HTTP_CUT_ABORTED || outcome == HTTP_CUT_LATE);
}

/* Has the client said that nothing more will come, and has nothing come? */
static int client_is_done(const struct conn *c) { return c->hd.close && !c->s.linger && c->in.len <= c->s.pos && !c->s.early.len; }

void http_server_linger(struct conn *c)
{
	struct http *h = c->h;

	if (client_is_done(c)) {
		http_conn_close(c, 0);
		return;
	}
	h->busy--;
	shutdown(c->fd, SHUT_WR);
	c->st = ST_LINGER;
	http_buffer_free(h, &c->in);
	http_buffer_free(h, &c->s.early);
	http_conn_watch(c, HTTP_READ_EVENTS);
	http_timer_set(c, h->now + LINGER_MS);
}

/* Read and forget. How many bytes; 0 when the other side has ended, -1 when nothing is there. */
static ssize_t drain(struct conn *c)
{
	ssize_t n = recv(c->fd, c->h->scratch, SCRATCH, 0);

	if (n >= 0)
		return n;
	return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? -1 : 0;
}

void http_server_linger_read(struct conn *c)
{
	if (!drain(c))
		http_conn_close(c, 0);
}

void http_server_stop(struct conn *c)
{
	int lost, sent = c->st != ST_LINGER && http_conn_send(c, &lost), reads = 0;
	int answered = c->st == ST_LINGER || (c->st == ST_DONE && sent);

	if (!answered) {
		http_server_cut(c, HTTP_CUT_CLOSED);
		return;
	}
	http_server_settle(c, c->s.refusal ? HTTP_REFUSED : HTTP_ANSWERED);
	shutdown(c->fd, SHUT_WR);
	while (reads++ < STOP_READS && drain(c) > 0)
		;
	http_conn_close(c, 0);
}
