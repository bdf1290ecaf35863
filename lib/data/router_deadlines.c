/* router_deadlines: ends requests that time has overtaken: the deadline has passed or cannot be met, no
 * server or leader has come up for too long, the configuration is no longer certain, or the process is about
 * to stop. Each is told at once, so that its client may turn elsewhere. */
#include "router_internal.h"

#include "containers.h"

/* A forwarded request that a server has been sent goes on, as it does where its key is known to be
 * removed: it was sent while the configuration was certain to be in force, and the server ends it within
 * its deadline. */
static int outlives_config(const struct client_request *request)
{
	return request->is_forwarded && request->state == REQUEST_RUNNING;
}

/* Partitioned, or continued after a pause: what has not been sent is refused, and in the product's own
 * interface everything ends. */
void router_end_without_config(struct router *router, int64_t now, struct command_list *out)
{
	if (now <= router_config_valid_until(router))
		return;
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--) {
		if (outlives_config(router->requests.all[i]))
			continue;
		router->stats.ended_without_config++;
		router_end_early(router, router->requests.all[i], 503,
				 "this counter has been cut off: its configuration may be out of force", now,
				 out);
	}
}

void router_end_draining(struct router *router, int64_t now, struct command_list *out)
{
	if (!router->shutdown.deadlines.run_deadline_at_ms ||
	    now < router->shutdown.deadlines.send_deadline_at_ms)
		return;
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--) {
		struct client_request *request = router->requests.all[i];

		if (request->state != REQUEST_RUNNING || now >= router->shutdown.deadlines.run_deadline_at_ms)
			router_end_early(router, request, 503, "this counter is stopping", now, out);
	}
}

/* ---- what cannot be sent in time ------------------------------------------------------------- */

/* How long a stream may be silent before it is resumed: its client gives up after two seconds, four times its
 * latency target or eight times its gap between chunks, whichever is longest, and should be told before, so
 * that it may resume by itself. */
static int64_t max_stream_silence_ms(const struct route_config *route)
{
	int64_t patience = ROUTER_STREAM_MIN_PATIENCE_MS;

	if (4 * (int64_t)route->latency_target_ms > patience)
		patience = 4 * (int64_t)route->latency_target_ms;
	if (8 * (int64_t)route->max_gap_ms > patience)
		patience = 8 * (int64_t)route->max_gap_ms;
	return patience * 3 / 4;
}

/* How long a request with so many before it has yet to wait. One of another service than the head's may
 * overtake the head, so it is only assumed to wait for as long again as it has. */
static double expected_wait_ms(const struct request_queue *queue, const struct client_request *request,
			       uint32_t before, int64_t now)
{
	if (request->route.service_index == queue->head->route.service_index)
		return router_expected_wait_ms(queue, before, now);
	return (double)(now - (request->queueing.returned_at_ms ? request->queueing.returned_at_ms
								: request->client.received_at_ms));
}

static void note_serving_services(struct router *router, int64_t now)
{
	const struct server_table *servers = router->config.server_table;

	for (uint32_t i = 0; servers && i < servers->server_count; i++)
		if (!servers->servers[i].is_store && router_server_is_serving(router, i, now))
			router->servers.last_serving_at_ms[servers->servers[i].service_index] = now;
}

/* Whether a request is to wait on; before: how many before it in its queue do. */
static bool may_wait(struct router *router, const struct request_queue *queue, struct client_request *request,
		     uint32_t before, int64_t now, struct command_list *out)
{
	bool none = now - router->servers.last_serving_at_ms[request->route.service_index] >
		    ROUTER_CONFIG_MAX_STALENESS_MS;
	double wait = expected_wait_ms(queue, request, before, now);

	if (request->stream.has_begun &&
	    now - request->queueing.returned_at_ms >
		max_stream_silence_ms(&router->config.route_table->routes[request->route.index])) {
		router_break_off(router, request, 502, "no server took the stream up in time", now, out);
		return false;
	}
	if (!none && wait <= (double)(request->client.deadline_at_ms - now))
		return true;
	router->stats.refused_early++;
	router_refuse(router, request, 503,
		      none ? router_no_server : "the line is too long to be sent within the limit",
		      none ? ROUTER_RETRY_AFTER_MIN_MS : wait / 2, now, out);
	return false;
}

void router_end_hopeless(struct router *router, int64_t now, struct command_list *out)
{
	note_serving_services(router, now);
	for (ptrdiff_t i = 0; i < arrlen(router->queueing.queues); i++) {
		struct request_queue *queue = &router->queueing.queues[i];
		struct client_request *next;
		uint32_t before = 0;

		for (struct client_request *request = queue->head; request; request = next) {
			next = request->queueing.next_in_queue;
			before += may_wait(router, queue, request, before, now, out);
		}
	}
}

/* ---- what is past its time ------------------------------------------------------------------- */

static void check_claim(struct router *router, struct client_request *request, int64_t now,
			struct command_list *out)
{
	if (now - request->claim.started_at_ms > ROUTER_CONFIG_MAX_STALENESS_MS) {
		router->stats.refused_early++;
		router_refuse(router, request, 503, "the part of this service has no owner that answers",
			      ROUTER_RETRY_AFTER_MIN_MS, now, out);
	} else if (now - request->claim.sent_at_ms >= ROUTER_CLAIM_RETRY_INTERVAL_MS) {
		/* the same claim again: a shard records it once however often it is proposed */
		router_claim_miss(router, request->route.service_index, request->claim.leader_addr);
		router_claim_send(router, request, now, out);
	}
}

void router_end_expired(struct router *router, int64_t now, struct command_list *out)
{
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--) {
		struct client_request *request = router->requests.all[i];
		bool running = request->state == REQUEST_RUNNING;

		if (now >= request->client.deadline_at_ms) {
			router->stats.refused_deadline += !running;
			router_end_early(router, request, running ? 504 : 503,
					 running ? "the limit passed" : "the limit passed in the line", now,
					 out);
		} else if (request->state == REQUEST_CLAIMING && !request->claim.confirmed) {
			check_claim(router, request, now, out);
		}
	}
}
