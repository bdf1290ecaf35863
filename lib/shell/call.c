/* call: calls to language servers, by libcurl's multi handle in a thread of its own.
 * A POST must not go out twice. libcurl sends a request again by itself when a kept connection turns out
 * dead; so every POST has a connection of its own (fresh, never kept), and the guard lets a call open one
 * socket only. Reports are GETs and may share connections. */
#include <apr_strings.h>
#include <curl/curl.h>
#include <json-c/json.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ds.h"
#include "shell.h"

enum { CALL_LINE = 1 << 20, CALL_BODY = 16 << 20, CALL_CONNECT = 800 };

struct order {
	int cancel;
	uint64_t token;
	char *url, *body;
	int limit_ms, stream;
	int64_t not_after;
};

struct one {
	uint64_t token;
	CURL *h;
	struct curl_slist *headers;
	char *body, *got; /* got: stb_ds */
	int stream, post, sockets, guarded, late;
	int64_t not_after;
	struct call *c;
};

struct call {
	struct ring *to, *orders;
	CURLM *m;
	apr_thread_t *t;
	atomic_int stop;
	struct {
		uint64_t key;
		struct one *value;
	} * by;
	struct one **anon; /* stb_ds: calls whose answer nobody waits for */
};

static curl_socket_t one_socket(void *arg, curlsocktype purpose, struct curl_sockaddr *a)
{
	struct one *k = arg;

	(void)purpose;
	if (k->post && k->sockets++) {
		k->guarded = 1;
		return CURL_SOCKET_BAD;
	}
	return socket(a->family, a->socktype | SOCK_CLOEXEC, a->protocol);
}

/* The connection is up and nothing has gone out on it: the last look at the clock. The process may have frozen
 * between deciding and connecting. */
static int before_sending(void *arg, char *to, char *from, int to_port, int from_port)
{
	struct one *k = arg;

	(void)to;
	(void)from;
	(void)to_port;
	(void)from_port;
	k->late = clock_ms() > k->not_after;
	return k->late ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void piece(struct one *k, const char *d, size_t n)
{
	struct shell_ev *e = shell_ev_new(EV_PIECE);

	e->token = k->token;
	e->body = malloc(n + 1);
	if (!e->body)
		abort();
	memcpy(e->body, d, n);
	e->body[n] = 0;
	ring_push(k->c->to, e, 1);
}

static size_t on_body(char *d, size_t one, size_t n, void *arg)
{
	struct one *k = arg;
	long status = 0;
	size_t from = 0;

	n *= one;
	if ((size_t)arrlen(k->got) + n > (k->stream ? CALL_LINE : CALL_BODY))
		return 0;
	memcpy(arraddnptr(k->got, n), d, n);
	curl_easy_getinfo(k->h, CURLINFO_RESPONSE_CODE, &status);
	if (!k->stream || status != 200)
		return n;
	for (size_t i = 0; i < (size_t)arrlen(k->got); i++)
		if (k->got[i] == '\n') {
			piece(k, k->got + from, i - from);
			from = i + 1;
		}
	if (from)
		arrdeln(k->got, 0, from);
	return n;
}

static void one_free(struct call *c, struct one *k)
{
	curl_multi_remove_handle(c->m, k->h);
	curl_easy_cleanup(k->h);
	curl_slist_free_all(k->headers);
	if (k->token)
		(void)hmdel(c->by, k->token);
	for (ptrdiff_t i = 0; i < arrlen(c->anon); i++)
		if (c->anon[i] == k) {
			arrdelswap(c->anon, i);
			break;
		}
	arrfree(k->got);
	free(k->body);
	free(k);
}

/* The server itself says that it never began. */
static int says_never(const char *body)
{
	struct json_object *j = json_tokener_parse(body), *v;
	int never = json_object_is_type(j, json_type_object) && json_object_object_get_ex(j, "began", &v) &&
		    json_object_is_type(v, json_type_boolean) && !json_object_get_boolean(v);

	if (j)
		json_object_put(j);
	return never;
}

static void report(struct call *c, uint64_t token, int stream, int status, int never, const char *body)
{
	struct shell_ev *e = shell_ev_new(EV_DONE);

	e->token = token;
	e->stream = stream;
	e->status = status;
	e->never = never;
	e->body = strdup(body);
	ring_push(c->to, e, 1);
}

static void finished(struct call *c, CURL *h, CURLcode rc)
{
	struct one *k;
	long status = 0;
	curl_off_t connected = 0;
	int never;

	curl_easy_getinfo(h, CURLINFO_PRIVATE, (char **)&k);
	curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(h, CURLINFO_CONNECT_TIME_T, &connected);
	arrput(k->got, 0);
	/* no connection was ever up, or it was too late to use it, so no byte left; or the server says so in so many words */
	never = (connected == 0 && !k->guarded) || k->late || (rc == CURLE_OK && status >= 400 && says_never(k->got));
	if (k->token)
		report(c, k->token, k->stream, rc == CURLE_OK ? (int)status : 0, never, k->got);
	one_free(c, k);
}

static void begin(struct call *c, struct order *q)
{
	struct one *k;

	if (clock_ms() > q->not_after) { /* decided too long ago: never sent */
		if (q->token)
			report(c, q->token, q->stream, 0, 1, "");
		free(q->body);
		free(q->url);
		return;
	}
	k = calloc(1, sizeof *k);
	if (!k)
		abort();
	k->c = c;
	k->token = q->token;
	k->stream = q->stream;
	k->body = q->body;
	k->post = q->body != NULL;
	k->not_after = q->not_after;
	k->h = curl_easy_init();
	if (!k->h)
		abort();
	curl_easy_setopt(k->h, CURLOPT_URL, q->url);
	curl_easy_setopt(k->h, CURLOPT_PRIVATE, k);
	curl_easy_setopt(k->h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(k->h, CURLOPT_PROXY, "");
	curl_easy_setopt(k->h, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(k->h, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(k->h, CURLOPT_WRITEDATA, k);
	curl_easy_setopt(k->h, CURLOPT_TIMEOUT_MS, (long)q->limit_ms);
	curl_easy_setopt(k->h, CURLOPT_CONNECTTIMEOUT_MS, (long)CALL_CONNECT);
	curl_easy_setopt(k->h, CURLOPT_OPENSOCKETFUNCTION, one_socket);
	curl_easy_setopt(k->h, CURLOPT_OPENSOCKETDATA, k);
	curl_easy_setopt(k->h, CURLOPT_PREREQFUNCTION, before_sending);
	curl_easy_setopt(k->h, CURLOPT_PREREQDATA, k);
	curl_easy_setopt(k->h, CURLOPT_TCP_NODELAY, 1L);
	if (k->post) {
		k->headers = curl_slist_append(curl_slist_append(NULL, "Content-Type: application/json"), "Expect:");
		curl_easy_setopt(k->h, CURLOPT_HTTPHEADER, k->headers);
		curl_easy_setopt(k->h, CURLOPT_POSTFIELDS, k->body);
		curl_easy_setopt(k->h, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(k->h, CURLOPT_FORBID_REUSE, 1L);
	}
	free(q->url);
	if (k->token)
		hmput(c->by, k->token, k);
	else
		arrput(c->anon, k);
	curl_multi_add_handle(c->m, k->h);
}

static void *APR_THREAD_FUNC call_thread(apr_thread_t *t, void *arg)
{
	struct call *c = arg;

	(void)t;
	while (!c->stop) {
		struct order *q;
		struct CURLMsg *m;
		int running, left;

		while ((q = ring_pop(c->orders, 0))) {
			struct one *k = q->cancel ? hmget(c->by, q->token) : NULL;

			if (k)
				one_free(c, k);
			else if (!q->cancel)
				begin(c, q);
			free(q);
		}
		curl_multi_perform(c->m, &running);
		while ((m = curl_multi_info_read(c->m, &left)))
			if (m->msg == CURLMSG_DONE)
				finished(c, m->easy_handle, m->data.result);
		curl_multi_poll(c->m, NULL, 0, 200, NULL);
	}
	return NULL;
}

struct call *call_open(struct ring *to, apr_pool_t *p)
{
	struct call *c = apr_pcalloc(p, sizeof *c);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	c->to = to;
	ring_open(&c->orders, 16384, p);
	c->m = curl_multi_init();
	if (!c->m || apr_thread_create(&c->t, NULL, call_thread, c, p) != APR_SUCCESS) {
		log_say(LOG_BAD, "call", "Step start: no thread for the servers' calls.");
		return NULL;
	}
	return c;
}

static void give(struct call *c, struct order *q)
{
	ring_push(c->orders, q, 1);
	curl_multi_wakeup(c->m);
}

void call_start(struct call *c, uint64_t token, const char *addr, const char *path, const char *body, int limit_ms, int stream,
		int64_t not_after)
{
	struct order *q = calloc(1, sizeof *q);
	size_t n = strlen(addr) + strlen(path) + 8;

	if (!q || !(q->url = malloc(n)))
		abort();
	snprintf(q->url, n, "http://%s%s", addr, path);
	q->token = token;
	q->body = body ? strdup(body) : NULL;
	q->limit_ms = limit_ms > 0 ? limit_ms : 1;
	q->stream = stream;
	q->not_after = not_after;
	give(c, q);
}

void call_cancel_one(struct call *c, uint64_t token)
{
	struct order *q = calloc(1, sizeof *q);

	if (!q)
		abort();
	q->cancel = 1;
	q->token = token;
	give(c, q);
}

void call_close(struct call *c)
{
	apr_status_t st;
	struct order *q;

	c->stop = 1;
	curl_multi_wakeup(c->m);
	apr_thread_join(&st, c->t);
	while ((q = ring_pop(c->orders, 0))) {
		free(q->url);
		free(q->body);
		free(q);
	}
	while (hmlen(c->by))
		one_free(c, c->by[0].value); /* NOLINT(clang-analyzer-unix.Malloc): one_free takes it out of by */
	while (arrlen(c->anon))
		one_free(c, c->anon[0]);
	hmfree(c->by);
	arrfree(c->anon);
	curl_multi_cleanup(c->m);
	curl_global_cleanup();
}
