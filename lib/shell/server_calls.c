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

#include "containers.h"
#include "shell.h"

enum {
	SERVER_CALL_MAX_LINE_BYTES = 1 << 20,
	SERVER_CALL_MAX_BODY_BYTES = 16 << 20,
	SERVER_CALL_CONNECT_TIMEOUT_MS = 800
};

struct order {
	int cancel;
	uint64_t token;
	char *url, *body;
	int timeout_ms, is_stream;
	int64_t not_after_ms;
};

struct server_call {
	uint64_t token;
	CURL *curl;
	struct curl_slist *headers;
	char *body, *received; /* got: stb_ds */
	int is_stream, is_post, socket_count, socket_refused, too_late;
	int64_t not_after_ms;
	struct server_calls *calls;
};

struct server_calls {
	struct ring *events, *commands;
	CURLM *multi;
	apr_thread_t *thread;
	atomic_int stop;
	struct {
		uint64_t key;
		struct server_call *value;
	} * by_token;
	struct server_call **anonymous; /* stb_ds: calls whose answer nobody waits for */
};

static curl_socket_t open_only_socket(void *arg, curlsocktype purpose, struct curl_sockaddr *address)
{
	struct server_call *one = arg;

	(void)purpose;
	if (one->is_post && one->socket_count++) {
		one->socket_refused = 1;
		return CURL_SOCKET_BAD;
	}
	return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
}

/* The connection is up and nothing has gone out on it: the last look at the clock. The process may have
 * frozen between deciding and connecting. */
static int before_sending(void *arg, char *to, char *from, int to_port, int from_port)
{
	struct server_call *one = arg;

	(void)to;
	(void)from;
	(void)to_port;
	(void)from_port;
	one->too_late = clock_ms() > one->not_after_ms;
	return one->too_late ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void piece(struct server_call *one, const char *d, size_t n)
{
	struct shell_event *event = shell_event_new(SHELL_EVENT_CHUNK);

	event->token = one->token;
	event->body = malloc(n + 1);
	if (!event->body)
		abort();
	memcpy(event->body, d, n);
	event->body[n] = 0;
	ring_push(one->calls->events, event, 1);
}

static size_t on_body(char *d, size_t one, size_t n, void *arg)
{
	struct server_call *k = arg;
	long status = 0;
	size_t from = 0;

	n *= one;
	if ((size_t)arrlen(k->received) + n >
	    (k->is_stream ? SERVER_CALL_MAX_LINE_BYTES : SERVER_CALL_MAX_BODY_BYTES))
		return 0;
	memcpy(arraddnptr(k->received, n), d, n);
	curl_easy_getinfo(k->curl, CURLINFO_RESPONSE_CODE, &status);
	if (!k->is_stream || status != 200)
		return n;
	for (size_t i = 0; i < (size_t)arrlen(k->received); i++)
		if (k->received[i] == '\n') {
			piece(k, k->received + from, i - from);
			from = i + 1;
		}
	if (from)
		arrdeln(k->received, 0, from);
	return n;
}

static void one_free(struct server_calls *call, struct server_call *k)
{
	curl_multi_remove_handle(call->multi, k->curl);
	curl_easy_cleanup(k->curl);
	curl_slist_free_all(k->headers);
	if (k->token)
		(void)hmdel(call->by_token, k->token);
	for (ptrdiff_t i = 0; i < arrlen(call->anonymous); i++)
		if (call->anonymous[i] == k) {
			arrdelswap(call->anonymous, i);
			break;
		}
	arrfree(k->received);
	free(k->body);
	free(k);
}

/* The server itself says that it never began. */
static int says_never_started(const char *body)
{
	struct json_object *json = json_tokener_parse(body), *v;
	int never = json_object_is_type(json, json_type_object) &&
		    json_object_object_get_ex(json, "began", &v) &&
		    json_object_is_type(v, json_type_boolean) && !json_object_get_boolean(v);

	if (json)
		json_object_put(json);
	return never;
}

static void report(struct server_calls *c, uint64_t token, int stream, int status, int never, const char *body)
{
	struct shell_event *event = shell_event_new(SHELL_EVENT_CALL_DONE);

	event->token = token;
	event->is_stream = stream;
	event->status = status;
	event->never_sent = never;
	event->body = strdup(body);
	ring_push(c->events, event, 1);
}

static void call_finished(struct server_calls *call, CURL *curl, CURLcode result)
{
	struct server_call *one;
	long status = 0;
	curl_off_t connected = 0;
	int never;

	curl_easy_getinfo(curl, CURLINFO_PRIVATE, (char **)&one);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connected);
	arrput(one->received, 0);
	/* no connection was ever up, or it was too late to use it, so no byte left; or the server says so in
	 * so many words */
	never = (connected == 0 && !one->socket_refused) || one->too_late ||
		(result == CURLE_OK && status >= 400 && says_never_started(one->received));
	if (one->token)
		report(call, one->token, one->is_stream, result == CURLE_OK ? (int)status : 0, never,
		       one->received);
	one_free(call, one);
}

static void begin(struct server_calls *c, struct order *order)
{
	struct server_call *k;

	if (clock_ms() > order->not_after_ms) { /* decided too long ago: never sent */
		if (order->token)
			report(c, order->token, order->is_stream, 0, 1, "");
		free(order->body);
		free(order->url);
		return;
	}
	k = calloc(1, sizeof *k);
	if (!k)
		abort();
	k->calls = c;
	k->token = order->token;
	k->is_stream = order->is_stream;
	k->body = order->body;
	k->is_post = order->body != NULL;
	k->not_after_ms = order->not_after_ms;
	k->curl = curl_easy_init();
	if (!k->curl)
		abort();
	curl_easy_setopt(k->curl, CURLOPT_URL, order->url);
	curl_easy_setopt(k->curl, CURLOPT_PRIVATE, k);
	curl_easy_setopt(k->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(k->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(k->curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(k->curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(k->curl, CURLOPT_WRITEDATA, k);
	curl_easy_setopt(k->curl, CURLOPT_TIMEOUT_MS, (long)order->timeout_ms);
	curl_easy_setopt(k->curl, CURLOPT_CONNECTTIMEOUT_MS, (long)SERVER_CALL_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(k->curl, CURLOPT_OPENSOCKETFUNCTION, open_only_socket);
	curl_easy_setopt(k->curl, CURLOPT_OPENSOCKETDATA, k);
	curl_easy_setopt(k->curl, CURLOPT_PREREQFUNCTION, before_sending);
	curl_easy_setopt(k->curl, CURLOPT_PREREQDATA, k);
	curl_easy_setopt(k->curl, CURLOPT_TCP_NODELAY, 1L);
	if (k->is_post) {
		k->headers =
		    curl_slist_append(curl_slist_append(NULL, "Content-Type: application/json"), "Expect:");
		curl_easy_setopt(k->curl, CURLOPT_HTTPHEADER, k->headers);
		curl_easy_setopt(k->curl, CURLOPT_POSTFIELDS, k->body);
		curl_easy_setopt(k->curl, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(k->curl, CURLOPT_FORBID_REUSE, 1L);
	}
	free(order->url);
	if (k->token)
		hmput(c->by_token, k->token, k);
	else
		arrput(c->anonymous, k);
	curl_multi_add_handle(c->multi, k->curl);
}

static void *APR_THREAD_FUNC server_calls_thread(apr_thread_t *thread, void *arg)
{
	struct server_calls *call = arg;

	(void)thread;
	while (!call->stop) {
		struct order *order;
		struct CURLMsg *curlmsg;
		int running, remaining;

		while ((order = ring_pop(call->commands, 0))) {
			struct server_call *one = order->cancel ? hmget(call->by_token, order->token) : NULL;

			if (one)
				one_free(call, one);
			else if (!order->cancel)
				begin(call, order);
			free(order);
		}
		curl_multi_perform(call->multi, &running);
		while ((curlmsg = curl_multi_info_read(call->multi, &remaining)))
			if (curlmsg->msg == CURLMSG_DONE)
				call_finished(call, curlmsg->easy_handle, curlmsg->data.result);
		curl_multi_poll(call->multi, NULL, 0, 200, NULL);
	}
	return NULL;
}

struct server_calls *server_calls_open(struct ring *events, apr_pool_t *pool)
{
	struct server_calls *call = apr_pcalloc(pool, sizeof *call);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	call->events = events;
	ring_open(&call->commands, 16384, pool);
	call->multi = curl_multi_init();
	if (!call->multi ||
	    apr_thread_create(&call->thread, NULL, server_calls_thread, call, pool) != APR_SUCCESS) {
		log_write(LOG_ERROR, "call", "Step start: no thread for the servers' calls.");
		return NULL;
	}
	return call;
}

static void send_command(struct server_calls *call, struct order *order)
{
	ring_push(call->commands, order, 1);
	curl_multi_wakeup(call->multi);
}

void server_calls_start(struct server_calls *call, uint64_t token, const char *addr, const char *path,
			const char *body, int timeout_ms, int is_stream, int64_t not_after_ms)
{
	struct order *order = calloc(1, sizeof *order);
	size_t url_size = strlen(addr) + strlen(path) + 8;

	if (!order || !(order->url = malloc(url_size)))
		abort();
	snprintf(order->url, url_size, "http://%s%s", addr, path);
	order->token = token;
	order->body = body ? strdup(body) : NULL;
	order->timeout_ms = timeout_ms > 0 ? timeout_ms : 1;
	order->is_stream = is_stream;
	order->not_after_ms = not_after_ms;
	send_command(call, order);
}

void server_calls_cancel(struct server_calls *call, uint64_t token)
{
	struct order *order = calloc(1, sizeof *order);

	if (!order)
		abort();
	order->cancel = 1;
	order->token = token;
	send_command(call, order);
}

void server_calls_close(struct server_calls *call)
{
	apr_status_t st;
	struct order *order;

	call->stop = 1;
	curl_multi_wakeup(call->multi);
	apr_thread_join(&st, call->thread);
	while ((order = ring_pop(call->commands, 0))) {
		free(order->url);
		free(order->body);
		free(order);
	}
	while (hmlen(call->by_token))
		one_free(call,
			 call->by_token[0]
			     .value); /* NOLINT(clang-analyzer-unix.Malloc): one_free takes it out of by */
	while (arrlen(call->anonymous))
		one_free(call, call->anonymous[0]);
	hmfree(call->by_token);
	arrfree(call->anonymous);
	curl_multi_cleanup(call->multi);
	curl_global_cleanup();
}
