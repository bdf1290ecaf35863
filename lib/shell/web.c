/* web: callers and operators over HTTP/1.1, by libmicrohttpd. A connection waits suspended until the core
 * has something to say; a stream is fed from a bounded buffer and ends with a broken chunk on a fault. */
#include <apr_strings.h>
#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <nettle/sha2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ds.h"
#include "shell.h"

enum {
	WEB_STREAM_MAX = 8 << 20,
	WEB_RETRY_MS = 200,
	WEB_CLOSE_MS = 1000, /* at the end, for callers to take what is said to them */
	WEB_CLOSE_LOOK_MS = 2
};

struct conn {
	uint64_t token;
	struct MHD_Connection *c;
	char *body; /* stb_ds: received */
	int too_large, asked, suspended, answered;
	int status, retry_ms;
	int64_t not_after; /* once it is past, a whole answer is not said any more; 0: never */
	char *reply;       /* a whole answer */
	int streaming, ended, ok;
	char *buf; /* stb_ds: stream bytes to go */
	size_t at;
	int mid; /* what went last did not end a line */
};

struct web {
	struct MHD_Daemon *d;
	struct ring *to;
	apr_thread_mutex_t *m;
	uint64_t token;
	struct {
		uint64_t key;
		struct conn *value;
	} * by;
	int closing;
	int64_t good; /* streams go no further after it */
};

static void wake(struct conn *k)
{
	if (k->suspended) {
		k->suspended = 0;
		MHD_resume_connection(k->c);
	}
}

/* What held for a time that is over is not said: this process may have stood still since. */
static void drop_if_late(struct conn *k)
{
	if (!k->not_after || clock_ms() <= k->not_after)
		return;
	free(k->reply);
	k->reply = strdup("{\"error\":\"the answer came too late to be certain\"}");
	k->status = 503;
	k->retry_ms = WEB_RETRY_MS;
}

static enum MHD_Result reply_whole(struct conn *k)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(strlen(k->reply), k->reply, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;
	char num[32];

	MHD_add_response_header(r, "Content-Type", k->reply[0] == '{' ? "application/json" : "text/csv");
	if (k->retry_ms) {
		snprintf(num, sizeof num, "%d", (k->retry_ms + 999) / 1000);
		MHD_add_response_header(r, "Retry-After", num);
		snprintf(num, sizeof num, "%d", k->retry_ms);
		MHD_add_response_header(r, "Retry-After-Ms", num);
	}
	rc = MHD_queue_response(k->c, (unsigned)k->status, r);
	MHD_destroy_response(r);
	return rc;
}

static ssize_t stream_more(void *arg, uint64_t pos, char *to, size_t max)
{
	struct {
		struct web *w;
		uint64_t token;
	} *x = arg;
	struct conn *k;
	ssize_t n = 0;

	(void)pos;
	apr_thread_mutex_lock(x->w->m);
	k = hmget(x->w->by, x->token);
	if (!k || (x->w->good && clock_ms() > x->w->good)) {
		n = MHD_CONTENT_READER_END_WITH_ERROR;
	} else if (k->at < (size_t)arrlen(k->buf)) {
		n = (ssize_t)((size_t)arrlen(k->buf) - k->at);
		if ((size_t)n > max)
			n = (ssize_t)max;
		memcpy(to, k->buf + k->at, (size_t)n);
		k->at += (size_t)n;
		k->mid = to[n - 1] != '\n';
		if (k->at == (size_t)arrlen(k->buf)) {
			arrsetlen(k->buf, 0);
			k->at = 0;
		}
	} else if (k->ended) {
		n = k->ok ? MHD_CONTENT_READER_END_OF_STREAM : MHD_CONTENT_READER_END_WITH_ERROR;
	} else if (!x->w->closing) {
		k->suspended = 1;
		MHD_suspend_connection(k->c);
	} else {
		n = MHD_CONTENT_READER_END_WITH_ERROR;
	}
	apr_thread_mutex_unlock(x->w->m);
	return n;
}

static enum MHD_Result reply_stream(struct web *w, struct conn *k)
{
	struct {
		struct web *w;
		uint64_t token;
	} *x = malloc(sizeof *x);
	struct MHD_Response *r;
	enum MHD_Result rc;

	if (!x)
		return MHD_NO;
	x->w = w;
	x->token = k->token;
	r = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 16384, stream_more, x, free);
	MHD_add_response_header(r, "Content-Type", "application/x-ndjson");
	rc = MHD_queue_response(k->c, 200, r);
	MHD_destroy_response(r);
	return rc;
}

/* A key never goes further than here: what the table and the core hold is its digest. */
static char *digest(const char *auth)
{
	struct sha256_ctx c;
	uint8_t d[SHA256_DIGEST_SIZE];
	char *hex = calloc(1, 2 * SHA256_DIGEST_SIZE + 1);

	if (!hex)
		abort();
	if (!auth || strncmp(auth, "Bearer ", 7))
		return hex;
	sha256_init(&c);
	sha256_update(&c, strlen(auth + 7), (const uint8_t *)auth + 7);
	sha256_digest(&c, sizeof d, d);
	for (size_t i = 0; i < sizeof d; i++)
		snprintf(hex + 2 * i, 3, "%02x", d[i]);
	return hex;
}

/* NOLINTNEXTLINE(readability-function-size): one check after the other of a request */
static enum MHD_Result on_request(void *arg, struct MHD_Connection *c, const char *url, const char *method, const char *version,
				  const char *data, size_t *n, void **state)
{
	struct web *w = arg;
	struct conn *k = *state;
	struct shell_ev *e;
	const char *key;
	enum MHD_Result rc = MHD_YES;

	(void)version;
	apr_thread_mutex_lock(w->m);
	if (!k) {
		k = calloc(1, sizeof *k);
		if (!k)
			abort();
		k->c = c;
		k->token = ++w->token;
		hmput(w->by, k->token, k);
		*state = k;
		goto end;
	}
	if (*n) {
		if ((size_t)arrlen(k->body) + *n > WEB_BODY_MAX)
			k->too_large = 1;
		else
			memcpy(arraddnptr(k->body, *n), data, *n);
		*n = 0;
		goto end;
	}
	if (!k->asked) {
		k->asked = 1;
		if (w->closing) {
			k->status = 503;
			k->retry_ms = WEB_RETRY_MS;
			k->reply = strdup("{\"error\":\"stopping\",\"outcome\":\"refused\"}");
		} else if (k->too_large) {
			k->status = 400;
			k->reply = strdup("{\"error\":\"body: too large\",\"outcome\":\"refused\"}");
		} else {
			e = shell_ev_new(EV_WEB);
			e->token = k->token;
			e->verb = strdup(method);
			e->path = strdup(url);
			e->digest = digest(MHD_lookup_connection_value(c, MHD_HEADER_KIND, "Authorization"));
			arrput(k->body, 0);
			e->body = strdup(k->body);
			if ((key = MHD_lookup_connection_value(c, MHD_HEADER_KIND, "Idempotency-Key")))
				e->key = strdup(key);
			if (ring_push(w->to, e, 0)) {
				k->suspended = 1;
				MHD_suspend_connection(c);
				goto end;
			}
			shell_ev_free(e);
			k->status = 503;
			k->retry_ms = 1000;
			k->reply = strdup("{\"error\":\"too busy\",\"outcome\":\"refused\"}");
		}
	}
	if (k->answered || (!k->reply && !k->streaming))
		goto end;
	k->answered = 1;
	if (!k->streaming)
		drop_if_late(k);
	rc = k->streaming ? reply_stream(w, k) : reply_whole(k);
end:
	apr_thread_mutex_unlock(w->m);
	return rc;
}

static void on_end(void *arg, struct MHD_Connection *c, void **state, enum MHD_RequestTerminationCode why)
{
	struct web *w = arg;
	struct conn *k = *state;
	int open;

	(void)c;
	if (!k)
		return;
	apr_thread_mutex_lock(w->m);
	open = k->asked && !k->reply && !k->ended;
	(void)hmdel(w->by, k->token);
	apr_thread_mutex_unlock(w->m);
	if (open && why != MHD_REQUEST_TERMINATED_COMPLETED_OK && !w->closing) {
		struct shell_ev *e = shell_ev_new(EV_GONE);

		e->token = k->token;
		if (!ring_push(w->to, e, 0)) /* the exchange then runs to its limit */
			shell_ev_free(e);
	}
	arrfree(k->body);
	arrfree(k->buf);
	free(k->reply);
	free(k);
	*state = NULL;
}

struct web *web_open(const char *addr, struct ring *to, apr_pool_t *p)
{
	struct web *w = apr_pcalloc(p, sizeof *w);
	uint64_t a = core_addr(addr);
	struct sockaddr_in sa;

	memset(&sa, 0, sizeof sa);
	sa.sin_family = AF_INET;
	sa.sin_port = htons((uint16_t)(a & 65535));
	sa.sin_addr.s_addr = htonl((uint32_t)(a >> 16));
	w->to = to;
	apr_thread_mutex_create(&w->m, APR_THREAD_MUTEX_DEFAULT, p);
	w->d = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, w,
				MHD_OPTION_SOCK_ADDR, &sa, MHD_OPTION_NOTIFY_COMPLETED, on_end, w, MHD_OPTION_CONNECTION_LIMIT,
				20000u, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)64 << 10, MHD_OPTION_LISTENING_ADDRESS_REUSE,
				1u, MHD_OPTION_END);
	if (!w->d) {
		log_say(LOG_BAD, "web", "Cannot listen at %s: %s.", addr, strerror(errno));
		return NULL;
	}
	return w;
}

void web_answer(struct web *w, uint64_t token, int status, int retry_ms, const char *body, int64_t not_after)
{
	struct conn *k;

	apr_thread_mutex_lock(w->m);
	k = hmget(w->by, token);
	if (k && !k->reply && !k->streaming) {
		k->status = status;
		k->retry_ms = retry_ms;
		k->not_after = not_after;
		k->reply = strdup(body);
		wake(k);
	}
	apr_thread_mutex_unlock(w->m);
}

static void stream_cut(struct conn *k)
{
	size_t n = k->at;

	while (k->mid && n < (size_t)arrlen(k->buf) && k->buf[n++] != '\n')
		;
	if (n < (size_t)arrlen(k->buf))
		arrsetlen(k->buf, n);
}

void web_good_until(struct web *w, int64_t until)
{
	apr_thread_mutex_lock(w->m);
	w->good = until;
	apr_thread_mutex_unlock(w->m);
}

void web_piece(struct web *w, uint64_t token, const char *d, size_t n, int end, int ok)
{
	struct conn *k;

	apr_thread_mutex_lock(w->m);
	k = hmget(w->by, token);
	if (k && !k->reply && !k->ended) {
		k->streaming = 1;
		if (end && !ok) /* broken: what its caller has not read yet, beyond the line begun, is not passed on */
			stream_cut(k);
		if ((size_t)arrlen(k->buf) + n > WEB_STREAM_MAX) { /* a caller that does not read */
			end = 1;
			ok = 0;
		} else if (n) {
			memcpy(arraddnptr(k->buf, n), d, n);
		}
		if (end && !ok && n)
			arrput(k->buf, '\n');
		k->ended = end;
		k->ok = ok;
		wake(k);
	}
	apr_thread_mutex_unlock(w->m);
}

void web_scan(struct web *w)
{
	apr_thread_mutex_lock(w->m);
	for (ptrdiff_t i = 0; i < hmlen(w->by); i++) {
		struct conn *k = w->by[i].value;
		const union MHD_ConnectionInfo *info;
		struct shell_ev *e;
		char b;

		if (!k->suspended || k->reply || k->ended)
			continue;
		info = MHD_get_connection_info(k->c, MHD_CONNECTION_INFO_CONNECTION_FD);
		if (!info || recv(info->connect_fd, &b, 1, MSG_PEEK | MSG_DONTWAIT) != 0)
			continue;
		e = shell_ev_new(EV_GONE);
		e->token = k->token;
		if (!ring_push(w->to, e, 0)) {
			shell_ev_free(e);
			continue;
		}
		k->ended = 1;
		if (!k->streaming) {
			k->status = 499;
			k->reply = strdup("{\"error\":\"the caller left\"}");
		}
		wake(k);
	}
	apr_thread_mutex_unlock(w->m);
}

/* Callers whose request was read whole, and who have not taken the end of its answer. */
static int waiting(struct web *w)
{
	int n = 0;

	apr_thread_mutex_lock(w->m);
	for (ptrdiff_t i = 0; i < hmlen(w->by); i++)
		n += w->by[i].value->asked;
	apr_thread_mutex_unlock(w->m);
	return n;
}

/* Whoever was read and not answered is told that the outcome is open: the core may have passed it on. */
static void end_calls(struct web *w)
{
	apr_thread_mutex_lock(w->m);
	w->closing = 1;
	for (ptrdiff_t i = 0; i < hmlen(w->by); i++) {
		struct conn *k = w->by[i].value;

		if (!k->asked)
			continue;
		k->ended = 1;
		if (!k->reply && !k->streaming) {
			k->status = 504;
			k->retry_ms = WEB_RETRY_MS;
			k->reply = strdup("{\"error\":\"stopping\",\"outcome\":\"unknown\"}");
		}
		wake(k);
	}
	apr_thread_mutex_unlock(w->m);
}

void web_close(struct web *w)
{
	MHD_socket listener = MHD_quiesce_daemon(w->d); /* no new connections */
	int64_t end = clock_ms() + WEB_CLOSE_MS;

	end_calls(w);
	while (waiting(w) && clock_ms() < end)
		apr_sleep(apr_time_from_msec(WEB_CLOSE_LOOK_MS));
	MHD_stop_daemon(w->d);
	if (listener != MHD_INVALID_SOCKET)
		close(listener);
	hmfree(w->by);
}
