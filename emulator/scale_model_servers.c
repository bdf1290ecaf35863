/* Model servers of the scale model: their cached blocks, their reports and cache events, and the requests
 * that they answer. A server answers at a fixed pace; only what the routers see of it is modelled. */
#include <stdlib.h>
#include <string.h>

#include "config_row.h"
#include "containers.h"
#include "scale_model_internal.h"

int model_service_count(const struct scale_model_settings *settings)
{
	return settings->routes < settings->servers ? settings->routes : settings->servers;
}

static void server_changed(struct model_server *server)
{
	server->serial++;
	free(server->report_text);
	server->report_text = NULL;
}

uint32_t model_namespace_id(struct model_fleet *fleet, const char *name)
{
	ptrdiff_t i = shgeti(fleet->namespace_ids, name);

	if (i >= 0)
		return fleet->namespace_ids[i].value;
	arrput(fleet->namespace_names, strdup(name));
	shput(fleet->namespace_ids, name, (uint32_t)arrlen(fleet->namespace_names) - 1);
	return (uint32_t)arrlen(fleet->namespace_names) - 1;
}

void model_notify_watchers(struct model_fleet *fleet, struct model_server *server,
			   const struct model_block *block, int is_removed)
{
	struct cache_event cache_event = { block->hash, block->cache_namespace, is_removed };

	if (!fleet->settings.use_instance_list)
		return;
	arrput(server->cache_events, cache_event);
	for (ptrdiff_t i = 0; i < arrlen(server->watchers); i++)
		if (!server->watchers[i].is_expired) {
			server->watchers[i].is_expired = 1;
			model_push_event(fleet,
					 (struct model_event){ .at_ms = fleet->now_ms + EVENT_DELAY_MS,
							       .kind = MODEL_WATCHED,
							       .node = server->watchers[i].node,
							       .incarnation = server->watchers[i].incarnation,
							       .token = server->watchers[i].token,
							       .server = (int)(server - fleet->servers) });
		}
}

void model_cache_block(struct model_fleet *fleet, struct model_server *server, uint64_t hash, uint32_t maker,
		       uint64_t tick, uint32_t cache_namespace)
{
	struct model_block block = { hash, tick, maker, cache_namespace };
	ptrdiff_t most = (ptrdiff_t)(fleet->settings.cached_blocks / fleet->settings.servers);

	for (ptrdiff_t i = 0; i < arrlen(server->blocks) && i < 64;
	     i++) /* only the first few are compared; a second copy does no harm */
		if (server->blocks[i].hash == hash && server->blocks[i].maker == maker &&
		    server->blocks[i].cache_namespace == cache_namespace)
			return;
	if (most < 4)
		most = 4;
	if (arrlen(server->blocks) < most) {
		arrput(server->blocks, block);
	} else {
		model_notify_watchers(fleet, server, &server->blocks[server->eviction_index % most], 1);
		server->blocks[server->eviction_index++ % most] = block;
	}
	model_notify_watchers(fleet, server, &block, 0);
	server_changed(server);
}

char *model_server_report(struct model_fleet *fleet, struct model_server *server, const char *path,
			  size_t *len)
{
	const char *since = strstr(path, "since=");
	char head[200];
	size_t n, k;
	int fresh = since && strtoull(since + 6, NULL, 10) == server->serial;
	char *d;

	(void)fleet;
	n = (size_t)snprintf(
	    head, sizeof head,
	    "{\"weights\":\"%s\",\"loading\":\"\",\"slots\":%d,\"running\":%d,\"serial\":%llu,\"boot\":1",
	    server->weights, SLOTS_SERVER, server->running, (unsigned long long)server->serial);
	if (!fresh && !server->report_text) {
		server->report_text = malloc(64 + (size_t)arrlen(server->blocks) * 100);
		k = (size_t)sprintf(server->report_text, ",\"parts\":[");
		for (ptrdiff_t i = 0; i < arrlen(server->blocks); i++)
			k += (size_t)sprintf(
			    server->report_text + k,
			    "%s{\"h\":\"%016llx\",\"w\":\"%s\",\"m\":\"t%u\",\"t\":%llu,\"n\":64}",
			    i ? "," : "", (unsigned long long)server->blocks[i].hash, server->weights,
			    server->blocks[i].maker, (unsigned long long)server->blocks[i].created_tick);
		server->report_text[k++] = ']';
		server->report_length = k;
	}
	k = fresh ? 0 : server->report_length;
	d = malloc(n + k + 2);
	memcpy(d, head, n);
	if (k)
		memcpy(d + n, server->report_text, k);
	d[n + k] = '}';
	d[n + k + 1] = 0;
	*len = n + k + 1;
	return d;
}

void model_start_run(struct model_fleet *fleet, const struct server_run *run, int64_t first)
{
	int i;

	if (arrlen(fleet->idle)) {
		i = arrpop(fleet->idle);
		fleet->runs[i] = *run;
	} else {
		arrput(fleet->runs, *run);
		i = (int)arrlen(fleet->runs) - 1;
	}
	hmput(fleet->run_by_token, core_rendezvous_weight((uint64_t)run->node_index, run->token), i);
	model_schedule(fleet, MODEL_STREAM, run->node_index, (uint64_t)i, first);
}

void model_receive_run(struct model_fleet *fleet, const struct model_event *event)
{
	struct model_server *v = &fleet->servers[event->server];
	struct json_object *j = json_tokener_parse((char *)event->data), *parts, *json;
	struct server_run r = { .node_index = event->node,
				.server = event->server,
				.incarnation = event->incarnation,
				.token = event->token };
	uint32_t maker = (uint32_t)atoi(json_string_member(j, "tenant") + 1);
	uint64_t stamp = json_uint_member(j, "stamp");

	snprintf(r.send_id, sizeof r.send_id, "%s", json_string_member(j, "x"));
	if (v->running >= SLOTS_SERVER || strcmp(json_string_member(j, "weights"), v->weights)) {
		model_schedule(fleet, MODEL_DONE, event->node, event->token, fleet->now_ms + 1);
		json_object_put(j);
		return;
	}
	v->running++;
	if (json_object_object_get_ex(j, "parts", &parts))
		for (size_t k = 0; k < json_object_array_length(parts); k++)
			if (json_object_object_get_ex(json_object_array_get_idx(parts, k), "h", &json))
				model_cache_block(fleet, v, strtoull(json_object_get_string(json), NULL, 16),
						  maker, stamp, 0);
	json_object_put(j);
	model_start_run(fleet, &r, fleet->now_ms + 20);
}

void model_end_run(struct model_fleet *fleet, int i)
{
	struct server_run *run = &fleet->runs[i];

	if (run->is_over)
		return;
	run->is_over = 1;
	fleet->servers[run->server].running--;
	(void)hmdel(fleet->run_by_token, core_rendezvous_weight((uint64_t)run->node_index, run->token));
}

void model_answer_watch(struct model_fleet *fleet, struct model_node *n, const struct model_event *wake_up)
{
	struct model_server *server = &fleet->servers[wake_up->server];
	struct router_event event = { .kind = ROUTER_EVENT_CACHE_WATCHED };
	struct Nl__CacheUpdate k = NL__CACHE_UPDATE__INIT;
	struct Nl__CacheEvent *cache_event, **pe;
	struct cache_watch watcher;
	ptrdiff_t i = 0;

	while (i < arrlen(server->watchers) &&
	       (server->watchers[i].token != wake_up->token || server->watchers[i].node != wake_up->node))
		i++;
	if (i == arrlen(server->watchers))
		return; /* it was answered before */
	watcher = server->watchers[i];
	arrdelswap(server->watchers, i);
	if (!n->router || watcher.incarnation != n->incarnation)
		return;
	k.server = server->name;
	k.epoch = 1;
	k.next_offset = (uint64_t)arrlen(server->cache_events);
	k.n_events = (size_t)(k.next_offset - watcher.since_event);
	k.events = pe = calloc(k.n_events + 1, sizeof *pe);
	cache_event = calloc(k.n_events + 1, sizeof *cache_event);
	for (size_t q = 0; q < k.n_events; q++) {
		const struct cache_event *x = &server->cache_events[watcher.since_event + q];

		nl__cache_event__init(&cache_event[q]);
		cache_event[q].evicted = x->removed;
		cache_event[q].cache_namespace = fleet->namespace_names[x->cache_namespace];
		cache_event[q].block_hash = x->id;
		cache_event[q].tokens = 64;
		pe[q] = &cache_event[q];
	}
	event.args.cache_watched.token = watcher.token;
	event.args.cache_watched.update = &k;
	event.args.cache_watched.status = 200;
	model_count_received(n, OUTSIDE + ROUTER_EVENT_CACHE_WATCHED, 120 + 45 * k.n_events); /* as text */
	model_router_step(fleet, n, OUTSIDE + ROUTER_EVENT_CACHE_WATCHED, &event);
	free(cache_event);
	free(pe);
}

void model_deliver_list(struct model_fleet *fleet, struct model_node *node, const struct model_event *input)
{
	struct controller_event ev = { .kind = CONTROLLER_SERVERS_LISTED };
	struct Nl__Instance *x = calloc((size_t)fleet->settings.servers, sizeof *x),
			    **instance = calloc((size_t)fleet->settings.servers, sizeof *instance);
	size_t bytes = 0;

	for (int i = 0; i < fleet->settings.servers; i++) {
		struct model_server *server = &fleet->servers[i];

		nl__instance__init(&x[i]);
		x[i].server = server->name;
		x[i].service = server->service;
		x[i].zone = server->zone;
		x[i].addr = (char *)core_format_addr(node->commands.pool, server->address);
		x[i].slots = SLOTS_LISTED;
		x[i].weights = server->weights;
		instance[i] = &x[i];
		bytes += 150; /* as text */
	}
	ev.payload.servers_listed.token = input->token;
	ev.payload.servers_listed.is_complete = 1;
	ev.payload.servers_listed.instance_count = (size_t)fleet->settings.servers;
	ev.payload.servers_listed.instances = instance;
	model_count_received(node, OUTSIDE + CONTROLLER_SERVERS_LISTED, bytes);
	model_controller_step(fleet, node, OUTSIDE + CONTROLLER_SERVERS_LISTED, &ev);
	free(instance);
	free(x);
}

/* The first piece has come, or all the rest: pieces between them do not reach the core. */
static void deliver_forwarded(struct model_fleet *fleet, int i)
{
	struct server_run *run = &fleet->runs[i];
	struct model_node *node = &fleet->nodes[run->node_index];
	struct model_server *server = &fleet->servers[run->server];
	struct forward_result done = { .token = run->token,
				       .end = FORWARD_COMPLETE,
				       .status = 200,
				       .has_stream_begun = 1,
				       .slots = SLOTS_LISTED,
				       .weights = server->weights };
	struct router_event input = { .kind = ROUTER_EVENT_FORWARD_STREAM_BEGAN };
	int slot = OUTSIDE + ROUTER_EVENT_FORWARD_STREAM_BEGAN;

	if (!run->next_piece) {
		run->next_piece = fleet->settings.pieces;
		model_schedule(fleet, MODEL_STREAM, run->node_index, (uint64_t)i,
			       fleet->now_ms + 15 * (int64_t)fleet->settings.pieces);
		input.args.forward_began.token = run->token;
		input.args.forward_began.weights = server->weights;
	} else {
		uint64_t caller = strtoull(run->send_id, NULL, 10);

		model_end_run(fleet, i);
		arrput(fleet->idle, i);
		done.chunks = (uint32_t)fleet->settings.pieces;
		done.running_requests = server->running;
		input.kind = ROUTER_EVENT_FORWARD_ENDED;
		input.args.forward_ended = &done;
		slot = OUTSIDE + ROUTER_EVENT_FORWARD_ENDED;
		fleet->pieces += (uint64_t)fleet->settings.pieces;
		fleet->completed += hmgeti(fleet->pending_requests, caller) >= 0;
		(void)hmdel(fleet->pending_requests, caller);
	}
	model_count_received(node, slot, 0);
	model_router_step(fleet, node, slot, &input);
}

void model_stream_piece(struct model_fleet *fleet, const struct model_event *input)
{
	int i = (int)input->token;
	struct server_run *run = &fleet->runs[i];
	struct model_node *node = &fleet->nodes[run->node_index];
	struct router_event ev = { .kind = ROUTER_EVENT_STREAM_CHUNK };
	char line[200];
	int last = run->next_piece == fleet->settings.pieces;

	if (run->is_over || node->incarnation != run->incarnation) {
		model_end_run(fleet, i);
		arrput(fleet->idle, i);
		return;
	}
	if (fleet->settings.use_instance_list) {
		deliver_forwarded(fleet, i);
		return;
	}
	if (last)
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"end\":true}", run->send_id,
			 run->next_piece);
	else
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"t\":\"a word \"}", run->send_id,
			 run->next_piece);
	ev.args.stream_chunk.token = run->token;
	ev.args.stream_chunk.text = line;
	run->next_piece++;
	if (last) {
		model_end_run(fleet, i);
		arrput(fleet->idle, i);
	} else {
		model_schedule(fleet, MODEL_STREAM, run->node_index, input->token,
			       fleet->now_ms + 10 + (int64_t)model_random(fleet, 10));
	}
	model_count_received(node, OUTSIDE + ROUTER_EVENT_STREAM_CHUNK, strlen(line));
	model_router_step(fleet, node, OUTSIDE + ROUTER_EVENT_STREAM_CHUNK, &ev);
}
