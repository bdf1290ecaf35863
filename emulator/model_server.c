/* Model servers and the store: their incarnations, from the start over drains, silence and crashes to the
 * end. model_server_cache has their blocks, _batch their steps, _answers what goes out, _http what comes in.
 */
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "model_server_internal.h"

const struct engine default_engine = {
	.slots = 128,
	.queue_limit = 384,
	.max_conns = 630,
	.drain_ms = 3000,
	.fence_checked = 1,
	.idle_ms = 8000,
	.kv_capacity_tokens = 239003,
	.kv_bytes_per_token = 18432,
	.token_stride = 5,
	.chunk_tokens = 2048,
	.block_tokens = 16,
	.in_flight = 12,
	.load_ms = 1800,
	.load_at_once = 3,
	.report_lag_ms = 100,
	.event_limit = 4000,
	.event_lag_ms = 80,
	.linger_ms = 1500,
	.step_ms = 3.41,
	.per_slot_ms = 0.097,
	.prefill_tokens_per_ms = 112,
	.link_mbps = 370000,
	.event_loss_ratio = 0,
	.setup_ms = 5,
};

int64_t fleet_ms(const struct server_fleet *fleet)
{
	return (loop_us() - fleet->started_at_us) / 1000;
}

struct server *server_add(struct server_fleet *fleet, const char *addr, const char *zone, const char *service,
			  int is_store)
{
	struct server *server = calloc(1, sizeof *server);
	static const double speeds[] = { 1.0, 1.0, 1.3 };

	server->fleet = fleet;
	server->index = (int)arrlen(fleet->servers);
	server->is_store = is_store;
	server->speed = speeds[server->index % 3];
	server->state = STATE_DOWN;
	server->version = fleet->newest_version;
	server->fault.close = 0.01;
	snprintf(server->address, sizeof server->address, "%s", addr);
	snprintf(server->zone, sizeof server->zone, "%s", zone);
	snprintf(server->service, sizeof server->service, "%s", service);
	arrput(fleet->servers, server);
	return server;
}

void server_up(struct server *server)
{
	static const struct conn_handlers handlers = { .request = model_server_on_request,
						       .closed = model_server_on_closed };

	if (server->state != STATE_DOWN)
		return;
	server->port = port_open(server->fleet->loop, server->address, &handlers, server,
				 server->is_store ? 0 : server->fleet->engine.max_conns);
	if (!server->port)
		return;
	port_set_idle_timeout(server->port, server->fleet->engine.idle_ms);
	server->state = STATE_UP;
	server->incarnations++;
	server->epoch = emulator_random(&server->fleet->rng);
	snprintf(server->instance, sizeof server->instance, "i-%08llx",
		 (unsigned long long)(server->epoch & 0xffffffff));
	server->last_event = 0;
	server->call_seq = 0;
	server->fence = 0;
	server->transfer_free_at_us = 0;
	sample_report(server);
	loop_cancel(server->fleet->loop, server->report_timer);
	sample_report(server);
	if (server->fleet->list)
		list_server_changed(server->fleet->list, server);
}

static void end_incarnation(struct server *server, int reset)
{
	if (server->state == STATE_DOWN)
		return;
	while (arrlen(server->batch))
		work_end(server->batch[0], 0, 0);
	while (arrlen(server->queue))
		work_end(server->queue[0], 0, 0);
	arrfree(server->watchers);
	if (server->load_timer)
		server->fleet->loading--;
	loop_cancel(server->fleet->loop, server->step_timer);
	loop_cancel(server->fleet->loop, server->load_timer);
	loop_cancel(server->fleet->loop, server->watch_timer);
	loop_cancel(server->fleet->loop, server->report_timer);
	loop_cancel(server->fleet->loop, server->drain_timer);
	loop_cancel(server->fleet->loop, server->surplus_timer);
	server->surplus_timer = 0;
	server->step_timer = server->load_timer = server->watch_timer = server->report_timer =
	    server->drain_timer = 0;
	server->loading_to = 0;
	server->fault.is_silent = 0;
	port_close(server->port, reset);
	server->port = NULL;
	server->state = STATE_DOWN;
	drop_all_blocks(server, 0);
	arrfree(server->events);
	if (server->fleet->list)
		list_server_changed(server->fleet->list, server);
}

void server_crash(struct server *server)
{
	end_incarnation(server, 1);
}

void server_set_silent(struct server *server, int is_silent)
{
	if (server->state == STATE_DOWN)
		return;
	server->fault.is_silent = is_silent;
	port_set_silent(server->port, is_silent);
	if (is_silent) {
		loop_cancel(server->fleet->loop, server->step_timer);
		server->step_timer = 0;
	} else {
		server->reading_resumed_at_ms = fleet_ms(server->fleet);
		resume_steps(server);
		answer_watchers(server);
	}
}

static void drained(void *ctx)
{
	struct server *server = ctx;

	server->drain_timer = 0;
	end_incarnation(server, 0);
}

void server_drain(struct server *server)
{
	if (server->state != STATE_UP)
		return;
	server->state = STATE_DRAINING;
	if (server->fleet->list)
		list_server_changed(server->fleet->list, server);
	server->drain_timer = loop_after(
	    server->fleet->loop, ms_us(server->fleet->engine.drain_ms + server->fleet->engine.linger_ms),
	    drained, server);
}

void servers_free(struct server_fleet *fleet)
{
	struct list *list = fleet->list;

	fleet->list = NULL;
	for (int i = 0; i < arrlen(fleet->servers); i++) {
		end_incarnation(fleet->servers[i], 0);
		arrfree(fleet->servers[i]->batch);
		arrfree(fleet->servers[i]->queue);
		free(fleet->servers[i]);
	}
	arrfree(fleet->servers);
	fleet->list = list;
}
