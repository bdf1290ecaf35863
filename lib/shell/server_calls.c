/* server_calls: calls to model servers with a libcurl multi handle in a thread of its own; see
 * server_calls.h. libcurl repeats a request by itself if a reused connection turns out to be closed. Each
 * POST therefore has a new connection that is never reused, and open_socket allows it a single socket. Load
 * reports are fetched with GET and may share connections. */
#include "server_calls.h"

#include <curl/curl.h>
#include <json-c/json.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <apr_thread_proc.h>

#include "clock.h"
#include "containers.h"
#include "log.h"
#include "ring.h"
#include "shell_event.h"

enum {
	MAX_LINE_BYTES = 1 << 20,  /* longest line of a streamed answer */
	MAX_BODY_BYTES = 16 << 20, /* largest body of an answer that is not streamed */
	CONNECT_TIMEOUT_MS = 800,
	POLL_MS = 200,
	MAX_QUEUED_COMMANDS = 16384
};

/* A request to the thread to start or cancel a call. The thread frees it. */
struct call_command {
	bool is_cancel;
	uint64_t token;
	char *url;  /* owned, from malloc */
	char *body; /* owned, from malloc; NULL: a GET */
	int timeout_ms;
	bool is_stream;
	int64_t not_after_ms;
};

/* An unfinished call. */
struct server_call {
	struct server_calls *calls;
	uint64_t token; /* 0: no result is wanted */
	CURL *curl;
	struct curl_slist *headers;
	char *body;     /* owned, from malloc; NULL: a GET */
	char *received; /* stb_ds: the answer's body, or the incomplete last line of a stream */
	int64_t not_after_ms;
	int socket_count;
	bool second_socket_refused;  /* libcurl tried to open a second socket, to repeat a POST */
	bool expired_before_sending; /* the call was aborted before any byte was sent, because not_after_ms
					had passed */
	bool is_stream;
	bool is_post;
};

struct call_entry {
	uint64_t key; /* token */
	struct server_call *value;
};

/* The thread owns all members except the rings and stop_requested. */
struct server_calls {
	struct ring *events;
	struct ring *commands; /* entries: struct call_command; read by the thread */
	CURLM *multi;          /* other threads call only curl_multi_wakeup on it */
	apr_thread_t *thread;
	atomic_bool stop_requested;
	struct call_entry *by_token;              /* stb_ds */
	struct server_call **calls_without_token; /* stb_ds: calls without a token */
};

/* ---- callbacks from libcurl ---- */

static curl_socket_t open_socket(void *argument, curlsocktype purpose, struct curl_sockaddr *address)
{
	struct server_call *call = argument;

	(void)purpose;
	if (call->is_post && call->socket_count++) {
		call->second_socket_refused = true;
		return CURL_SOCKET_BAD;
	}
	return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
}

/* Called when the connection is established and before any byte is sent: the last check of the time limit.
 * The process may have been suspended since the call was started. */
static int before_sending(void *argument, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	struct server_call *call = argument;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	call->expired_before_sending = clock_ms() > call->not_after_ms;
	return call->expired_before_sending ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void push_chunk(struct server_call *call, const char *line, size_t size)
{
	struct shell_event *event = shell_event_new(SHELL_EVENT_CHUNK);

	event->token = call->token;
	event->body = malloc(size + 1);
	if (!event->body)
		abort();
	memcpy(event->body, line, size);
	event->body[size] = 0;
	ring_push(call->calls->events, event, 1);
}

/* Pushes the complete lines of a stream; an incomplete last line stays in received. */
static void push_lines(struct server_call *call)
{
	size_t line_start = 0;

	for (size_t i = 0; i < (size_t)arrlen(call->received); i++)
		if (call->received[i] == '\n') {
			push_chunk(call, call->received + line_start, i - line_start);
			line_start = i + 1;
		}
	if (line_start)
		arrdeln(call->received, 0, line_start);
}

static size_t on_body(char *data, size_t item_size, size_t item_count, void *argument)
{
	struct server_call *call = argument;
	size_t size = item_size * item_count;
	size_t max_bytes = call->is_stream ? MAX_LINE_BYTES : MAX_BODY_BYTES;
	long status = 0;

	if ((size_t)arrlen(call->received) + size > max_bytes)
		return 0;
	memcpy(arraddnptr(call->received, size), data, size);
	curl_easy_getinfo(call->curl, CURLINFO_RESPONSE_CODE, &status);
	if (call->is_stream && status == 200)
		push_lines(call);
	return size;
}

/* ---- the end of a call ---- */

static void call_free(struct server_calls *calls, struct server_call *call)
{
	curl_multi_remove_handle(calls->multi, call->curl);
	curl_easy_cleanup(call->curl);
	curl_slist_free_all(call->headers);
	if (call->token)
		(void)hmdel(calls->by_token, call->token);
	for (ptrdiff_t i = 0; i < arrlen(calls->calls_without_token); i++)
		if (calls->calls_without_token[i] == call) {
			arrdelswap(calls->calls_without_token, i);
			break;
		}
	arrfree(call->received);
	free(call->body);
	free(call);
}

/* Whether the server's answer states that it did not begin the request. */
static bool response_reports_not_started(const char *body)
{
	struct json_object *json = json_tokener_parse(body);
	struct json_object *began = NULL;
	bool is_not_started =
	    json_object_is_type(json, json_type_object) && json_object_object_get_ex(json, "began", &began) &&
	    json_object_is_type(began, json_type_boolean) && !json_object_get_boolean(began);

	if (json)
		json_object_put(json);
	return is_not_started;
}

static void report_call_done(struct server_calls *calls, uint64_t token, bool is_stream, int status,
			     bool never_sent, const char *body)
{
	struct shell_event *event = shell_event_new(SHELL_EVENT_CALL_DONE);

	event->token = token;
	event->is_stream = is_stream;
	event->http_status = status;
	event->never_sent = never_sent;
	event->body = strdup(body);
	ring_push(calls->events, event, 1);
}

/* Whether the server certainly did not begin the request: no byte was sent, because no connection was
 * established or the time limit had passed; or the server's answer says so. */
static bool was_certainly_not_started(const struct server_call *call, CURLcode result, long status)
{
	curl_off_t connect_time = 0;

	curl_easy_getinfo(call->curl, CURLINFO_CONNECT_TIME_T, &connect_time);
	return (connect_time == 0 && !call->second_socket_refused) || call->expired_before_sending ||
	       (result == CURLE_OK && status >= 400 && response_reports_not_started(call->received));
}

static void finish_call(struct server_calls *calls, CURL *curl, CURLcode result)
{
	struct server_call *call;
	long status = 0;

	curl_easy_getinfo(curl, CURLINFO_PRIVATE, (char **)&call);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	arrput(call->received, 0);
	if (call->token)
		report_call_done(calls, call->token, call->is_stream, result == CURLE_OK ? (int)status : 0,
				 was_certainly_not_started(call, result, status), call->received);
	call_free(calls, call);
}

/* ---- the start of a call ---- */

static void set_options(struct server_call *call, const struct call_command *command)
{
	CURL *curl = call->curl;

	curl_easy_setopt(curl, CURLOPT_URL, command->url);
	curl_easy_setopt(curl, CURLOPT_PRIVATE, call);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)command->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_OPENSOCKETFUNCTION, open_socket);
	curl_easy_setopt(curl, CURLOPT_OPENSOCKETDATA, call);
	curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, before_sending);
	curl_easy_setopt(curl, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
	if (!call->is_post)
		return;
	call->headers =
	    curl_slist_append(curl_slist_append(NULL, "Content-Type: application/json"), "Expect:");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call->body);
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
}

/* Starts the call of a command. The call takes ownership of the command's body. */
static void call_begin(struct server_calls *calls, struct call_command *command)
{
	struct server_call *call = calloc(1, sizeof *call);

	if (!call)
		abort();
	call->calls = calls;
	call->token = command->token;
	call->is_stream = command->is_stream;
	call->body = command->body;
	call->is_post = command->body != NULL;
	call->not_after_ms = command->not_after_ms;
	command->body = NULL;
	call->curl = curl_easy_init();
	if (!call->curl)
		abort();
	set_options(call, command);
	if (call->token)
		hmput(calls->by_token, call->token, call);
	else
		arrput(calls->calls_without_token, call);
	curl_multi_add_handle(calls->multi, call->curl);
}

static void command_free(struct call_command *command)
{
	free(command->url);
	free(command->body);
	free(command);
}

static void execute_command(struct server_calls *calls, struct call_command *command)
{
	if (command->is_cancel) {
		struct server_call *call = hmget(calls->by_token, command->token);

		if (call)
			call_free(calls, call);
		return;
	}
	if (clock_ms() > command->not_after_ms) { /* the time limit passed while the command was queued */
		if (command->token)
			report_call_done(calls, command->token, command->is_stream, 0, true, "");
		return;
	}
	call_begin(calls, command);
}

/* ---- the thread ---- */

static void *APR_THREAD_FUNC calls_thread(apr_thread_t *thread, void *argument)
{
	struct server_calls *calls = argument;

	(void)thread;
	while (!calls->stop_requested) {
		struct call_command *command;
		struct CURLMsg *message;
		int running;
		int remaining;

		while ((command = ring_pop(calls->commands, 0))) {
			execute_command(calls, command);
			command_free(command);
		}
		curl_multi_perform(calls->multi, &running);
		while ((message = curl_multi_info_read(calls->multi, &remaining)))
			if (message->msg == CURLMSG_DONE)
				finish_call(calls, message->easy_handle, message->data.result);
		curl_multi_poll(calls->multi, NULL, 0, POLL_MS, NULL);
	}
	return NULL;
}

struct server_calls *server_calls_open(struct ring *events, apr_pool_t *pool)
{
	struct server_calls *calls = apr_pcalloc(pool, sizeof *calls);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	calls->events = events;
	ring_open(&calls->commands, MAX_QUEUED_COMMANDS, pool);
	calls->multi = curl_multi_init();
	if (!calls->multi ||
	    apr_thread_create(&calls->thread, NULL, calls_thread, calls, pool) != APR_SUCCESS) {
		log_write(LOG_ERROR, "server_calls",
			  "Cannot start the thread that makes calls to model servers.");
		return NULL;
	}
	return calls;
}

static void send_command(struct server_calls *calls, struct call_command *command)
{
	ring_push(calls->commands, command, 1);
	curl_multi_wakeup(calls->multi);
}

static struct call_command *command_new(uint64_t token)
{
	struct call_command *command = calloc(1, sizeof *command);

	if (!command)
		abort();
	command->token = token;
	return command;
}

void server_calls_start(struct server_calls *calls, uint64_t token, const char *addr, const char *path,
			const char *body, int timeout_ms, int is_stream, int64_t not_after_ms)
{
	struct call_command *command = command_new(token);
	size_t url_size = sizeof "http://" + strlen(addr) + strlen(path);

	command->url = malloc(url_size);
	if (!command->url)
		abort();
	snprintf(command->url, url_size, "http://%s%s", addr, path);
	command->body = body ? strdup(body) : NULL;
	command->timeout_ms = timeout_ms > 0 ? timeout_ms : 1;
	command->is_stream = is_stream;
	command->not_after_ms = not_after_ms;
	send_command(calls, command);
}

void server_calls_cancel(struct server_calls *calls, uint64_t token)
{
	struct call_command *command = command_new(token);

	command->is_cancel = true;
	send_command(calls, command);
}

void server_calls_close(struct server_calls *calls)
{
	struct call_command *command;
	apr_status_t status;

	calls->stop_requested = true;
	curl_multi_wakeup(calls->multi);
	apr_thread_join(&status, calls->thread);
	while ((command = ring_pop(calls->commands, 0)))
		command_free(command);
	while (hmlen(calls->by_token))
		call_free(calls, calls->by_token[0].value); /* NOLINT(clang-analyzer-unix.Malloc): call_free
							       removes it from by_token */
	while (arrlen(calls->calls_without_token))
		call_free(calls, calls->calls_without_token[0]);
	hmfree(calls->by_token);
	arrfree(calls->calls_without_token);
	curl_multi_cleanup(calls->multi);
	curl_global_cleanup();
}
