/* http_loop: the event loop of http.h. It uses one level-triggered epoll instance. A connection is registered
 * once, and waits for EPOLLOUT only after an incomplete send. The output of a connection is collected during
 * an iteration of the loop and sent by one system call at its end. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "clock.h"
#include "containers.h"
#include "http_internal.h"
#include "log.h"

static void run_queued(struct http *http)
{
	struct http_connection **connections = http->queued_connections;
	ptrdiff_t i;

	if (!arrlen(connections))
		return;
	/* process only the present entries: those that callbacks add are processed later */
	http->queued_connections = http->running_connections;
	http->running_connections = connections;
	for (i = 0; i < arrlen(connections); i++) {
		struct http_connection *conn = connections[i];

		conn->is_queued = 0;
		if (conn->is_closed)
			continue;
		if (conn->kind == CONN_SERVER)
			http_server_flush(conn);
		else if (conn->state == CONN_FAILED)
			http_client_finish_call(conn, HTTP_CALL_NOT_SENT, 0);
		else
			http_client_start_call(conn);
	}
	arrsetlen(connections, 0);
}

static void run_timers(struct http *http)
{
	while (arrlen(http->timer_heap) && http->timer_heap[0]->heap_key_ms <= http->now_ms) {
		struct http_connection *conn = http->timer_heap[0];

		if (conn->timeout_at_ms > http->now_ms) {
			if (conn->timeout_at_ms == TIME_NEVER) {
				http_timer_remove(http, conn);
			} else {
				conn->heap_key_ms = conn->timeout_at_ms;
				http_timer_sift_down(http, 0);
			}
			continue;
		}
		http_timer_remove(http, conn);
		conn->timeout_at_ms = TIME_NEVER;
		if (conn->kind == CONN_SERVER) {
			http_server_timeout(conn);
		} else if (conn->kind == CONN_CLIENT) {
			http_client_timeout(conn);
		} else if (conn->fd >= 0) {
			conn->state = CONN_LISTENING;
			http_conn_watch(conn, EPOLLIN);
		}
	}
}

void http_wait(struct http *http, int timeout_ms)
{
	uint64_t count;
	int i, n;

	http->iteration++;
	http->callback_made = 0;
	/* the clock is not read if nothing is queued and no timer is due soon: the time of the last iteration
	 * suffices */
	if (arrlen(http->queued_connections) ||
	    (arrlen(http->timer_heap) &&
	     http->timer_heap[0]->heap_key_ms - http->now_ms < (int64_t)timeout_ms + 1000))
		http->now_ms = clock_ms();
	run_queued(http);
	if (http->callback_made || http->sweep_count || arrlen(http->queued_connections) || timeout_ms < 0)
		timeout_ms = 0;
	if (timeout_ms && arrlen(http->timer_heap) &&
	    http->timer_heap[0]->heap_key_ms - http->now_ms < timeout_ms)
		timeout_ms = http->timer_heap[0]->heap_key_ms > http->now_ms
				 ? (int)(http->timer_heap[0]->heap_key_ms - http->now_ms)
				 : 0;
	http->previous_poll_at_ms = http->last_poll_at_ms;
	n = epoll_wait(http->epoll_fd, http->events, MAX_EPOLL_EVENTS, timeout_ms);
	http->now_ms = http->last_poll_at_ms = clock_ms();
	for (i = 0; i < n; i++) {
		struct http_connection *conn = http->events[i].data.ptr;
		uint32_t events = http->events[i].events;

		if (!conn) {
			if (read(http->wake_fd, &count, sizeof count) < 0)
				continue;
			__atomic_store_n(&http->wake_pending, 0,
					 __ATOMIC_SEQ_CST); /* before the owner checks for the work that it
							       was woken for */
			continue;
		}
		if (conn->is_closed || conn->fd < 0)
			continue;
		if (conn->kind == CONN_SERVER)
			http_server_event(conn, events);
		else if (conn->kind == CONN_CLIENT)
			http_client_event(conn, events);
		else if (conn->state == CONN_LISTENING)
			http_listener_accept(conn);
	}
	http_listener_sweep(http);
	run_timers(http);
	run_queued(http);
	http_conn_free_closed(http);
}

void http_wake(struct http *http)
{
	uint64_t one = 1;

	if (!__atomic_exchange_n(&http->wake_pending, 1, __ATOMIC_SEQ_CST) &&
	    write(http->wake_fd, &one, sizeof one) < 0)
		return; /* the eventfd's counter is full, so the loop wakes up anyway */
}

struct http *http_open(const struct http_callbacks *callbacks, apr_pool_t *pool)
{
	struct epoll_event event = { .events = EPOLLIN };
	struct http *http = calloc(1, sizeof *http);

	(void)pool;
	if (!http)
		abort();
	http_parse_init();
	http->callbacks = *callbacks;
	http->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	http->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (http->epoll_fd < 0 || http->wake_fd < 0 ||
	    epoll_ctl(http->epoll_fd, EPOLL_CTL_ADD, http->wake_fd, &event)) {
		log_write(LOG_ERROR, "http", "Cannot open the HTTP event loop: %s.", strerror(errno));
		free(http);
		return NULL;
	}
	http->now_ms = http->last_poll_at_ms = http->previous_poll_at_ms = clock_ms();
	http->max_request_bytes = SIZE_MAX;
	return http;
}

void http_set_request_memory_limit(struct http *http, size_t max_bytes)
{
	http->max_request_bytes = max_bytes;
}

void http_close(struct http *http)
{
	ptrdiff_t i;

	for (i = 0; i < arrlen(http->slots); i++)
		if (http->slots[i] && !http->slots[i]->is_closed)
			http_server_shut_down(http->slots[i]);
	for (i = 0; i < hmlen(http->calls); i++)
		http_conn_close(http->calls[i].value, 0);
	while (hmlen(http->peers)) {
		struct peer *peer = http->peers[0].value;

		peer->max_connections = 0;
		peer->open_connections++;
		while (peer->first_idle)
			http_conn_close(peer->first_idle, 0);
		peer->open_connections--;
		http_peer_free_if_unused(http, peer);
	}
	for (i = 0; i < arrlen(http->queued_connections); i++)
		http->queued_connections[i]->is_queued = 0;
	http_conn_free_closed(http);
	for (i = 0; i < arrlen(http->listeners); i++) {
		if (http->listeners[i]->fd >= 0)
			close(http->listeners[i]->fd);
		free(http->listeners[i]->fields);
		free(http->listeners[i]);
	}
	while (http->spare_connections) {
		struct http_connection *conn = http->spare_connections;

		http->spare_connections = conn->client.next;
		free(conn->fields);
		free(conn);
	}
	while (http->spare_block_count)
		free(http->spare_blocks[--http->spare_block_count]);
	arrfree(http->listeners);
	arrfree(http->slots);
	arrfree(http->free_slots);
	arrfree(http->queued_connections);
	arrfree(http->running_connections);
	arrfree(http->closed_connections);
	arrfree(http->timer_heap);
	hmfree(http->calls);
	hmfree(http->peers);
	close(http->epoll_fd);
	close(http->wake_fd);
	free(http);
}

const char *http_field_value(const struct http_field *fields, int field_count, const char *name)
{
	int i;

	for (i = 0; i < field_count; i++)
		if (!strcasecmp(fields[i].name, name))
			return fields[i].value;
	return NULL;
}

struct http_counters http_counters_read(const struct http *http)
{
	return http->counters;
}

uint64_t http_pending_request_count(const struct http *http)
{
	uint64_t pending = http->counters.received_requests;

	for (int i = 0; i < HTTP_OUTCOME_COUNT; i++)
		pending -= http->counters.outcomes[i];
	return pending;
}
