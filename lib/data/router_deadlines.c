/* router_deadlines: ends requests that cannot be served in time: the deadline has passed or cannot be met, no
 * server or leader has been available for too long, the configuration is no longer certain to be in force, or
 * the process is about to stop. Clients are answered at once, so that they can retry elsewhere. */
#include "router_internal.h"

#include "containers.h"

/* Whether a request continues when the configuration is no longer certain. A forwarded request that a server
 * runs does, as it also does when its key is removed: it was sent while the configuration was certain to be
 * in force, and the server ends it within its deadline. */
static int continues_without_config(const struct client_request *request)
{
	return request->is_forwarded && request->state == REQUEST_RUNNING;
}

/* After a partition or a suspension of the process: refuses requests that have not been sent, and ends all
 * requests of the product's own interface. */
void router_end_without_config(struct router *router, int64_t now, struct command_list *out)
{
	if (now <= router_config_valid_until(router))
		return;
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--) {
		if (continues_without_config(router->requests.all[i]))
			continue;
		router->stats.ended_without_config++;
		router_end_early(
		    router, router->requests.all[i], 503,
		    "this router has lost contact with the controllers: its configuration may be out of date",
		    now, out);
	}
}

void router_end_for_shutdown(struct router *router, int64_t now, struct command_list *out)
{
	if (!router->shutdown.deadlines.end_deadline_at_ms ||
	    now < router->shutdown.deadlines.send_deadline_at_ms)
		return;
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--) {
		struct client_request *request = router->requests.all[i];

		if (request->state != REQUEST_RUNNING || now >= router->shutdown.deadlines.end_deadline_at_ms)
			router_end_early(router, request, 503, "this router is shutting down", now, out);
	}
}

/* ---- waiting requests that cannot be sent in time -------------------------------------------- */

/* How long a broken stream may wait to be resumed. The client gives up after the longest of two seconds, four
 * times its latency target and eight times its gap between chunks; it should be notified earlier, so that it
 * can resume the stream itself. */
static int64_t max_stream_silence_ms(const struct route_config *route)
{
	int64_t client_timeout_ms = ROUTER_CLIENT_MIN_STREAM_TIMEOUT_MS;

	if (4 * (int64_t)route->latency_target_ms > client_timeout_ms)
		client_timeout_ms = 4 * (int64_t)route->latency_target_ms;
	if (8 * (int64_t)route->max_chunk_gap_ms > client_timeout_ms)
		client_timeout_ms = 8 * (int64_t)route->max_chunk_gap_ms;
	return client_timeout_ms * 3 / 4;
}

/* Estimates how much longer a request waits that has requests_ahead others before it in its queue. A request
 * of another service than the head's may be dispatched before the head, so it is only assumed to wait as long
 * again as it already has. */
static double expected_wait_ms(const struct request_queue *queue, const struct client_request *request,
			       uint32_t requests_ahead, int64_t now)
{
	if (request->route.service_index == queue->head->route.service_index)
		return router_expected_wait_ms(queue, requests_ahead, now);
	return (double)(now - (request->queueing.returned_at_ms ? request->queueing.returned_at_ms
								: request->client.received_at_ms));
}

static void update_last_serving_times(struct router *router, int64_t now)
{
	const struct server_table *servers = router->config.server_table;

	for (uint32_t i = 0; servers && i < servers->server_count; i++)
		if (!servers->servers[i].is_store && router_server_is_serving(router, i, now))
			router->servers.last_serving_at_ms[servers->servers[i].service_index] = now;
}

/* Ends a request if waiting on is useless, and returns whether it still waits. requests_ahead: requests
 * before it in its queue that still wait. */
static bool keep_waiting_or_end(struct router *router, const struct request_queue *queue,
				struct client_request *request, uint32_t requests_ahead, int64_t now,
				struct command_list *out)
{
	bool no_server = now - router->servers.last_serving_at_ms[request->route.service_index] >
			 ROUTER_CONFIG_MAX_STALENESS_MS;
	double wait_ms = expected_wait_ms(queue, request, requests_ahead, now);

	if (request->stream.has_begun &&
	    now - request->queueing.returned_at_ms >
		max_stream_silence_ms(&router->config.route_table->routes[request->route.index])) {
		router_break_off(router, request, 502, "no server resumed the stream in time", now, out);
		return false;
	}
	if (!no_server && wait_ms <= (double)(request->client.deadline_at_ms - now))
		return true;
	router->stats.refused_unservable++;
	router_refuse(router, request, 503,
		      no_server ? router_reason_no_server
				: "the queue is too long to send the request before its deadline",
		      no_server ? ROUTER_RETRY_AFTER_MIN_MS : wait_ms / 2, now, out);
	return false;
}

void router_end_unservable(struct router *router, int64_t now, struct command_list *out)
{
	update_last_serving_times(router, now);
	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++) {
		struct request_queue *queue = &router->queueing.queues[i];
		struct client_request *next_request;
		uint32_t requests_ahead = 0;

		for (struct client_request *request = queue->head; request; request = next_request) {
			next_request = request->queueing.next_in_queue;
			requests_ahead +=
			    keep_waiting_or_end(router, queue, request, requests_ahead, now, out);
		}
	}
}

/* ---- expired deadlines and claims ------------------------------------------------------------ */

static void check_unconfirmed_claim(struct router *router, struct client_request *request, int64_t now,
				    struct command_list *out)
{
	if (now - request->claim.started_at_ms > ROUTER_CONFIG_MAX_STALENESS_MS) {
		router->stats.refused_unservable++;
		router_refuse(router, request, 503,
			      "no leader of the service's shard answered the claim of this id",
			      ROUTER_RETRY_AFTER_MIN_MS, now, out);
	} else if (now - request->claim.sent_at_ms >= ROUTER_CLAIM_RETRY_INTERVAL_MS) {
		/* Proposes the same claim again: a shard records it once however often it is proposed. */
		router_on_claim_unanswered(router, request->route.service_index,
					   request->claim.unanswered_leader_addr);
		router_claim_send(router, request, now, out);
	}
}

void router_end_expired(struct router *router, int64_t now, struct command_list *out)
{
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--) {
		struct client_request *request = router->requests.all[i];
		bool is_running = request->state == REQUEST_RUNNING;

		if (now >= request->client.deadline_at_ms) {
			router->stats.refused_deadline += !is_running;
			router_end_early(router, request, is_running ? 504 : 503,
					 is_running ? "the deadline passed"
						    : "the deadline passed while the request was queued",
					 now, out);
		} else if (request->state == REQUEST_CLAIMING && !request->claim.is_confirmed) {
			check_unconfirmed_claim(router, request, now, out);
		}
	}
}
