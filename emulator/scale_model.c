#include "scale_model.h"

#include <apr_allocator.h>
#include <apr_strings.h>
#include <argtable2.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "router.h"
#include "containers.h"
#include "controller.h"

enum {
	TICK_MS = 25,
	START_MS = 1000000,
	SLOTS_SERVER = 16,
	SLOTS_LISTED = 128,
	EVENT_DELAY_MS = 80,
	MAX_BLOCKS_PER_SERVER = 20000,
	OUTSIDE = 64,
	SLOT_RUN = 92,
	SLOT_LOAD_COMMAND,
	SLOT_OUT,
	SLOT_COUNT
};

const struct scale_model_settings scale_model_defaults = {
	9, 4, 18, 4, 12, 0, 10, 0, 0, 8, 1, 180, 0, 0, 1, 0
};

/* What was counted in the window under one kind: of message by its place in the body, from OUTSIDE on of
 * event. */
struct tally {
	uint64_t sent, sent_bytes, received, received_bytes, step_ns, codec_ns;
};

struct node {
	int index, is_router;
	uint64_t addr, incarnation, revision;
	char zone[16];
	struct router *router;
	struct controller *controller;
	struct command_list commands;
	uint64_t sync_count, disk_bytes;
	struct tally tallies[SLOT_COUNT];
	struct {
		uint32_t shard;
		uint64_t seq;
	} * writes; /* stb_ds, oldest first */
};

struct block {
	uint64_t hash, created_tick;
	uint32_t maker, cache_namespace;
};
struct kept_event {
	uint64_t id;
	uint32_t cache_namespace;
	int removed;
};
struct watch {
	int node, is_due;
	uint64_t incarnation, token, since;
};
struct server {
	uint64_t address, serial;
	int running, eviction_index;
	char weights[64];
	struct block *blocks; /* stb_ds */
	char *report_text;    /* its whole report, until something changes */
	size_t report_length;
	char name[16], zone[16], service[16];
	struct kept_event *cache_events; /* stb_ds: all events of kept parts so far */
	struct watch *watchers;          /* stb_ds: held */
};

enum event_kind {
	MODEL_TICK,
	MODEL_MESSAGE,
	MODEL_SYNC,
	MODEL_CALLED,
	MODEL_ARRIVE,
	MODEL_STREAM,
	MODEL_DONE,
	MODEL_LOAD,
	MODEL_CACHE_CHURN,
	MODEL_CONFIG_CHANGE,
	MODEL_RESTART,
	MODEL_WATCHED,
	MODEL_LISTED,
	MODEL_REPORT_POLLED,
	MODEL_LOAD_COMMANDED
};
struct ev {
	int64_t at_ms;
	uint64_t seq, incarnation, token;
	enum event_kind kind;
	int node, server, status;
	size_t length;
	uint8_t *data;
};

struct run {
	int node_index, server, next_piece, is_over;
	uint64_t incarnation, token;
	char send_id[80];
};
struct ask {
	int64_t at_ms;
	int node;
	uint64_t blocks[3];
};
struct change {
	uint64_t token, revision;
	int64_t acked_at_ms;
};

struct fleet {
	struct scale_model_settings settings;
	int64_t now_ms, window_started_at_ms;
	uint64_t rng, seq, token;
	int node_count;
	struct node *nodes;
	struct server *servers;
	struct ev *events; /* stb_ds heap */
	struct run *runs;  /* stb_ds */
	int *idle;         /* stb_ds: runs that are over */
	struct {
		uint64_t key;
		int value;
	} * run_by_token; /* stb_ds: node and token of a send -> its run */
	struct {
		uint64_t key;
		struct ask value;
	} * pending_requests;   /* stb_ds: caller's token */
	struct change *changes; /* stb_ds */
	struct {
		int nodes;
		int64_t last_at_ms;
	} * revision_reached; /* stb_ds, by edition: counters that have it, and when the last came to */
	uint64_t revision, operator_token;
	int operator_status, change_count, restart_count;
	int64_t load_credit, churn_credit;
	uint64_t requests, completed, refused, unknown, sends, pieces, send_ms, first_ms, first_n;
	int64_t max_send_ms;
	struct {
		char *key;
		uint32_t value;
	} * namespace_ids;      /* stb_ds: under which name parts are kept */
	char **namespace_names; /* stb_ds */
	apr_pool_t *pool;
};

static int services_of(const struct scale_model_settings *settings)
{
	return settings->routes < settings->servers ? settings->routes : settings->servers;
}

static int64_t cpu_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static uint64_t rnd(struct fleet *fleet, uint64_t n)
{
	return n ? core_random(&fleet->rng) % n : 0;
}

/* ---- the queue of events ----------------------------------------------------- */

static int before(const struct ev *a, const struct ev *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->seq < b->seq;
}

static void push(struct fleet *fleet, struct ev input)
{
	ptrdiff_t i;

	input.seq = ++fleet->seq;
	arrput(fleet->events, input);
	for (i = arrlen(fleet->events) - 1; i && before(&input, &fleet->events[(i - 1) / 2]); i = (i - 1) / 2)
		fleet->events[i] = fleet->events[(i - 1) / 2];
	fleet->events[i] = input;
}

static struct ev pop(struct fleet *fleet)
{
	struct ev top = fleet->events[0], input = arrpop(fleet->events);
	ptrdiff_t n = arrlen(fleet->events), i = 0, c;

	for (; (c = 2 * i + 1) < n; i = c) {
		if (c + 1 < n && before(&fleet->events[c + 1], &fleet->events[c]))
			c++;
		if (!before(&fleet->events[c], &input))
			break;
		fleet->events[i] = fleet->events[c];
	}
	if (n)
		fleet->events[i] = input;
	return top;
}

/* ---- addresses: 127.KIND.HI.LO ------------------------------------------------- */

enum { ADDRESS_CONTROLLER = 1, ADDRESS_ROUTER, ADDRESS_SERVER };

static uint64_t address(int kind, int index)
{
	return 127ull << 40 | (uint64_t)kind << 32 | (uint64_t)index << 16 | 7000;
}

static struct node *node_at(struct fleet *fleet, uint64_t address)
{
	int kind = (int)(address >> 32 & 255), no = (int)(address >> 16 & 65535);

	if (kind == ADDRESS_CONTROLLER && no < fleet->settings.controllers)
		return &fleet->nodes[no];
	return kind == ADDRESS_ROUTER && no < fleet->settings.routers
		   ? &fleet->nodes[fleet->settings.controllers + no]
		   : NULL;
}

static struct server *server_at(struct fleet *fleet, uint64_t address)
{
	int no = (int)(address >> 16 & 65535);

	return (int)(address >> 32 & 255) == ADDRESS_SERVER && no < fleet->settings.servers
		   ? &fleet->servers[no]
		   : NULL;
}

static int zone_of(const struct node *n)
{
	return atoi(n->zone + 1);
}

/* Three zones are a region: 1 to 3 ms inside a zone, 1 more between zones, 20 more between regions. */
static int64_t way(struct fleet *fleet, const struct node *a, const struct node *b)
{
	int x = zone_of(a), y = zone_of(b);

	return a == b ? 0 : 1 + (int64_t)rnd(fleet, 3) + (x != y) + (x / 3 != y / 3 ? 20 : 0);
}

/* ---- servers ---------------------------------------------------------------------- */

static void changed(struct server *server)
{
	server->serial++;
	free(server->report_text);
	server->report_text = NULL;
}

static void event(struct fleet *f, enum event_kind kind, int node, uint64_t token, int64_t at)
{
	struct ev input = { .at_ms = at,
			    .kind = kind,
			    .node = node,
			    .incarnation = f->nodes[node].incarnation,
			    .token = token };

	push(f, input);
}

static uint32_t cache_namespace_of(struct fleet *fleet, const char *name)
{
	ptrdiff_t i = shgeti(fleet->namespace_ids, name);

	if (i >= 0)
		return fleet->namespace_ids[i].value;
	arrput(fleet->namespace_names, strdup(name));
	shput(fleet->namespace_ids, name, (uint32_t)arrlen(fleet->namespace_names) - 1);
	return (uint32_t)arrlen(fleet->namespace_names) - 1;
}

/* Whoever watches hears of it a little later, with what else comes until then. */
static void notify_watchers(struct fleet *fleet, struct server *server, const struct block *block,
			    int is_removed)
{
	struct kept_event kept_event = { block->hash, block->cache_namespace, is_removed };

	if (!fleet->settings.use_instance_list)
		return;
	arrput(server->cache_events, kept_event);
	for (ptrdiff_t i = 0; i < arrlen(server->watchers); i++)
		if (!server->watchers[i].is_due) {
			server->watchers[i].is_due = 1;
			push(fleet, (struct ev){ .at_ms = fleet->now_ms + EVENT_DELAY_MS,
						 .kind = MODEL_WATCHED,
						 .node = server->watchers[i].node,
						 .incarnation = server->watchers[i].incarnation,
						 .token = server->watchers[i].token,
						 .server = (int)(server - fleet->servers) });
		}
}

static void keep(struct fleet *f, struct server *server, uint64_t h, uint32_t maker, uint64_t t,
		 uint32_t cache_namespace)
{
	struct block block = { h, t, maker, cache_namespace };
	ptrdiff_t most = (ptrdiff_t)(f->settings.cached_blocks / f->settings.servers);

	for (ptrdiff_t i = 0; i < arrlen(server->blocks) && i < 64;
	     i++) /* the last few are looked at; a copy twice does no harm */
		if (server->blocks[i].hash == h && server->blocks[i].maker == maker &&
		    server->blocks[i].cache_namespace == cache_namespace)
			return;
	if (most < 4)
		most = 4;
	if (arrlen(server->blocks) < most) {
		arrput(server->blocks, block);
	} else {
		notify_watchers(f, server, &server->blocks[server->eviction_index % most], 1);
		server->blocks[server->eviction_index++ % most] = block;
	}
	notify_watchers(f, server, &block, 0);
	changed(server);
}

static char *report(struct fleet *fleet, struct server *v, const char *path, size_t *len)
{
	const char *since = strstr(path, "since=");
	char head[200];
	size_t n, k;
	int fresh = since && strtoull(since + 6, NULL, 10) == v->serial;
	char *d;

	(void)fleet;
	n = (size_t)snprintf(
	    head, sizeof head,
	    "{\"weights\":\"%s\",\"loading\":\"\",\"slots\":%d,\"running\":%d,\"serial\":%llu,\"boot\":1",
	    v->weights, SLOTS_SERVER, v->running, (unsigned long long)v->serial);
	if (!fresh && !v->report_text) {
		v->report_text = malloc(64 + (size_t)arrlen(v->blocks) * 100);
		k = (size_t)sprintf(v->report_text, ",\"parts\":[");
		for (ptrdiff_t i = 0; i < arrlen(v->blocks); i++)
			k += (size_t)sprintf(
			    v->report_text + k,
			    "%s{\"h\":\"%016llx\",\"w\":\"%s\",\"m\":\"t%u\",\"t\":%llu,\"n\":64}",
			    i ? "," : "", (unsigned long long)v->blocks[i].hash, v->weights,
			    v->blocks[i].maker, (unsigned long long)v->blocks[i].created_tick);
		v->report_text[k++] = ']';
		v->report_length = k;
	}
	k = fresh ? 0 : v->report_length;
	d = malloc(n + k + 2);
	memcpy(d, head, n);
	if (k)
		memcpy(d + n, v->report_text, k);
	d[n + k] = '}';
	d[n + k + 1] = 0;
	*len = n + k + 1;
	return d;
}

static void start_run(struct fleet *fleet, const struct run *run, int64_t first)
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
	event(fleet, MODEL_STREAM, run->node_index, (uint64_t)i, first);
}

/* A send reaches a server: what it names as reused is not looked up, all parts are kept there afterwards. */
static void arrives(struct fleet *f, const struct ev *e)
{
	struct server *v = &f->servers[e->server];
	struct json_object *j = json_tokener_parse((char *)e->data), *parts, *json;
	struct run r = {
		.node_index = e->node, .server = e->server, .incarnation = e->incarnation, .token = e->token
	};
	uint32_t maker = (uint32_t)atoi(json_string_member(j, "tenant") + 1);
	uint64_t stamp = json_uint_member(j, "stamp");

	snprintf(r.send_id, sizeof r.send_id, "%s", json_string_member(j, "x"));
	if (v->running >= SLOTS_SERVER || strcmp(json_string_member(j, "weights"), v->weights)) {
		event(f, MODEL_DONE, e->node, e->token, f->now_ms + 1);
		json_object_put(j);
		return;
	}
	v->running++;
	if (json_object_object_get_ex(j, "parts", &parts))
		for (size_t k = 0; k < json_object_array_length(parts); k++)
			if (json_object_object_get_ex(json_object_array_get_idx(parts, k), "h", &json))
				keep(f, v, strtoull(json_object_get_string(json), NULL, 16), maker, stamp, 0);
	json_object_put(j);
	start_run(f, &r, f->now_ms + 20);
}

static void run_end(struct fleet *fleet, int i)
{
	struct run *run = &fleet->runs[i];

	if (run->is_over)
		return;
	run->is_over = 1;
	fleet->servers[run->server].running--;
	(void)hmdel(fleet->run_by_token, core_rendezvous_weight((uint64_t)run->node_index, run->token));
}

/* ---- steps, timed -------------------------------------------------------------------- */

static void perform(struct fleet *f, struct node *n);

static void reached(struct fleet *fleet, struct node *node)
{
	uint64_t now_at = node->router->config_watch.table.revision;

	while ((uint64_t)arrlen(fleet->revision_reached) <= now_at)
		arrput(fleet->revision_reached, ((typeof(*fleet->revision_reached)){ 0, 0 }));
	while (node->revision < now_at) {
		node->revision++;
		fleet->revision_reached[node->revision].nodes++;
		fleet->revision_reached[node->revision].last_at_ms = fleet->now_ms;
	}
}

static void router_do(struct fleet *fleet, struct node *node, int slot, const struct router_event *input)
{
	int64_t t = cpu_ns();

	router_step(node->router, input, fleet->now_ms, &node->commands);
	node->tallies[slot].step_ns += (uint64_t)(cpu_ns() - t);
	if (node->router->config_watch.table.revision != node->revision)
		reached(fleet, node);
	perform(fleet, node);
}

static void controller_do(struct fleet *fleet, struct node *node, int slot,
			  const struct controller_event *input)
{
	int64_t t = cpu_ns();

	controller_step(node->controller, input, fleet->now_ms, &node->commands);
	node->tallies[slot].step_ns += (uint64_t)(cpu_ns() - t);
	node->controller->identity.fleet_dirty = 0;
	perform(fleet, node);
}

static void hear(struct node *n, int slot, size_t bytes)
{
	n->tallies[slot].received++;
	n->tallies[slot].received_bytes += bytes;
}

static void say(struct node *n, int slot, size_t bytes)
{
	n->tallies[slot].sent++;
	n->tallies[slot].sent_bytes += bytes;
}

static int slot_of(const struct Nl__Msg *message)
{
	return (int)message->body_case < OUTSIDE ? (int)message->body_case : 0;
}

static void send_msg(struct fleet *fleet, struct node *node, const struct command *command)
{
	struct node *to = node_at(fleet, command->args.send.addr);
	struct ev input = { .kind = MODEL_MESSAGE };
	int slot = slot_of(command->args.send.msg);
	int64_t t = cpu_ns();

	input.length = nl__msg__get_packed_size(command->args.send.msg);
	input.data = malloc(input.length + 1);
	nl__msg__pack(command->args.send.msg, input.data);
	if (to != node) { /* what is said to itself takes no wire */
		node->tallies[slot].codec_ns += (uint64_t)(cpu_ns() - t);
		say(node, slot, input.length + 4);
	}
	if (!to || !to->incarnation) {
		free(input.data);
		return;
	}
	input.node = to->index;
	input.incarnation = to->incarnation;
	input.at_ms = fleet->now_ms + way(fleet, node, to);
	push(fleet, input);
}

static void persist(struct fleet *fleet, struct node *node, const struct persist *w)
{
	typeof(*node->writes) x = { w->shard, w->seq };

	arrput(node->writes, x);
	node->sync_count++;
	node->disk_bytes += 32;
	for (size_t i = 0; i < w->entry_count; i++)
		node->disk_bytes += w->entries[i].len + 32;
	if (w->has_snapshot)
		node->disk_bytes += w->data_len + w->members_len;
	event(fleet, MODEL_SYNC, node->index, 0, fleet->now_ms + 2 + (int64_t)rnd(fleet, 3));
}

/* When a request leaves for a server, after how long. */
static void sent(struct fleet *fleet, uint64_t caller)
{
	ptrdiff_t i = hmgeti(fleet->pending_requests, caller);
	int64_t ms = i < 0 ? 0 : fleet->now_ms - fleet->pending_requests[i].value.at_ms;

	fleet->sends++;
	fleet->send_ms += (uint64_t)ms;
	fleet->max_send_ms = ms > fleet->max_send_ms ? ms : fleet->max_send_ms;
}

static void call(struct fleet *fleet, struct node *n, const struct command *command)
{
	struct server *server = server_at(fleet, core_parse_addr(command->args.call.addr));
	struct ev input = { .node = n->index,
			    .incarnation = n->incarnation,
			    .token = command->args.call.token };

	if (command->args.call.stream) {
		struct client_request *request =
		    n->router && hmgeti(n->router->requests_by_token, input.token) >= 0
			? hmget(n->router->requests_by_token, input.token)
			: NULL;

		say(n, SLOT_RUN, strlen(command->args.call.body));
		sent(fleet, request ? request->token : 0);
		if (!server) {
			event(fleet, MODEL_DONE, n->index, input.token, fleet->now_ms + 1);
			return;
		}
		input.kind = MODEL_ARRIVE;
		input.server = (int)(server - fleet->servers);
		input.data = (uint8_t *)strdup(command->args.call.body);
		input.at_ms = fleet->now_ms + 1 + (int64_t)rnd(fleet, 3);
		push(fleet, input);
		return;
	}
	if (!strcmp(command->args.call.path, "/v1/order")) {
		say(n, SLOT_LOAD_COMMAND, strlen(command->args.call.body));
		return;
	}
	say(n, OUTSIDE + (n->router ? (int)ROUTER_EVENT_REPORT_POLLED : (int)CONTROLLER_CALL_RESULT),
	    strlen(command->args.call.path));
	if (!server)
		return;
	input.kind = MODEL_CALLED;
	input.at_ms = fleet->now_ms + 2;
	input.status = 200;
	input.data = (uint8_t *)report(fleet, server, command->args.call.path, &input.length);
	push(fleet, input);
}

/* A request whose text stays at the door: of its send the core hears the first piece and the end. */
static void forward(struct fleet *f, struct node *n, const struct forward_command *w)
{
	struct server *server = server_at(f, w->addr);
	struct run run = { .node_index = n->index, .incarnation = n->incarnation, .token = w->call_token };
	ptrdiff_t i = hmgeti(f->pending_requests, w->client_token);
	uint32_t cache_namespace;

	sent(f, w->client_token);
	say(n, SLOT_RUN, 0);
	if (!server || server->running >= SLOTS_LISTED) {
		event(f, MODEL_DONE, n->index, w->call_token, f->now_ms + 2);
		return;
	}
	run.server = (int)(server - f->servers);
	server->running++;
	cache_namespace = w->cache_namespace ? cache_namespace_of(f, w->cache_namespace) : 0;
	for (int k = 0; k < 3 && i >= 0; k++)
		keep(f, server, f->pending_requests[i].value.blocks[k], 0, 0, cache_namespace);
	snprintf(run.send_id, sizeof run.send_id, "%llu", (unsigned long long)w->client_token);
	start_run(f, &run, f->now_ms + 20 + (int64_t)rnd(f, 3));
}

static void watch(struct fleet *f, struct node *node, const struct command *c)
{
	struct server *v = server_at(f, c->args.watch_cache.addr);
	struct watch watcher = { node->index, 0, node->incarnation, c->args.watch_cache.token,
				 c->args.watch_cache.since };
	struct ev input = { .at_ms = f->now_ms + c->args.watch_cache.wait_ms,
			    .kind = MODEL_WATCHED,
			    .node = node->index,
			    .incarnation = node->incarnation,
			    .token = watcher.token };

	say(node, OUTSIDE + ROUTER_EVENT_CACHE_WATCHED, 60);
	if (!v)
		return;
	input.server = (int)(v - f->servers);
	if (watcher.since < (uint64_t)arrlen(v->cache_events)) {
		watcher.is_due = 1;
		input.at_ms = f->now_ms + 2;
	}
	arrput(v->watchers, watcher);
	push(f, input);
}

/* A held watch is answered with all that came since. */
static void watched(struct fleet *f, struct node *n, const struct ev *e)
{
	struct server *server = &f->servers[e->server];
	struct router_event event = { .kind = ROUTER_EVENT_CACHE_WATCHED };
	struct Nl__CacheUpdate k = NL__CACHE_UPDATE__INIT;
	struct Nl__CacheEvent *cache_event, **pe;
	struct watch watcher;
	ptrdiff_t i = 0;

	while (i < arrlen(server->watchers) &&
	       (server->watchers[i].token != e->token || server->watchers[i].node != e->node))
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
	k.n_events = (size_t)(k.next_offset - watcher.since);
	k.events = pe = calloc(k.n_events + 1, sizeof *pe);
	cache_event = calloc(k.n_events + 1, sizeof *cache_event);
	for (size_t q = 0; q < k.n_events; q++) {
		const struct kept_event *x = &server->cache_events[watcher.since + q];

		nl__cache_event__init(&cache_event[q]);
		cache_event[q].evicted = x->removed;
		cache_event[q].cache_namespace = f->namespace_names[x->cache_namespace];
		cache_event[q].block_hash = x->id;
		cache_event[q].tokens = 64;
		pe[q] = &cache_event[q];
	}
	event.u.cache_watched.token = watcher.token;
	event.u.cache_watched.update = &k;
	event.u.cache_watched.status = 200;
	hear(n, OUTSIDE + ROUTER_EVENT_CACHE_WATCHED, 120 + 45 * k.n_events); /* as text */
	router_do(f, n, OUTSIDE + ROUTER_EVENT_CACHE_WATCHED, &event);
	free(cache_event);
	free(pe);
}

static void listed(struct fleet *fleet, struct node *node, const struct ev *input)
{
	struct controller_event ev = { .kind = CONTROLLER_SERVERS_LISTED };
	struct Nl__Instance *x = calloc((size_t)fleet->settings.servers, sizeof *x),
			    **instance = calloc((size_t)fleet->settings.servers, sizeof *instance);
	size_t bytes = 0;

	for (int i = 0; i < fleet->settings.servers; i++) {
		struct server *server = &fleet->servers[i];

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
	ev.payload.servers_listed.succeeded = 1;
	ev.payload.servers_listed.instance_count = (size_t)fleet->settings.servers;
	ev.payload.servers_listed.instances = instance;
	hear(node, OUTSIDE + CONTROLLER_SERVERS_LISTED, bytes);
	controller_do(fleet, node, OUTSIDE + CONTROLLER_SERVERS_LISTED, &ev);
	free(instance);
	free(x);
}

static void answered(struct fleet *f, const struct command *command)
{
	const char *b = command->args.answer.body ? command->args.answer.body : "";
	ptrdiff_t i = hmgeti(f->pending_requests, command->args.answer.token);

	if (i >= 0) {
		f->refused += strstr(b, "\"refused\"") != NULL;
		f->unknown += strstr(b, "\"refused\"") == NULL;
		(void)hmdel(f->pending_requests, command->args.answer.token);
		return;
	}
	if (command->args.answer.token == f->operator_token)
		f->operator_status = command->args.answer.status;
	for (i = 0; i < arrlen(f->changes); i++)
		if (f->changes[i].token == command->args.answer.token && command->args.answer.status == 200 &&
		    !strncmp(b, "{\"edition\":", 11)) {
			f->changes[i].revision = strtoull(b + 11, NULL, 10);
			f->changes[i].acked_at_ms = f->now_ms;
		}
}

static void perform(struct fleet *f, struct node *n)
{
	for (ptrdiff_t k = 0; k < arrlen(n->commands.commands); k++) {
		struct command *command = &n->commands.commands[k];
		ptrdiff_t i;

		switch (command->kind) {
		case CMD_SEND:
			send_msg(f, n, command);
			break;
		case CMD_PERSIST:
			persist(f, n, command->args.persist);
			break;
		case CMD_CALL:
			call(f, n, command);
			break;
		case CMD_FORWARD:
			forward(f, n, command->args.forward);
			break;
		case CMD_WATCH_CACHE:
			watch(f, n, command);
			break;
		case CMD_LIST_SERVERS:
			say(n, OUTSIDE + CONTROLLER_SERVERS_LISTED, 100);
			event(f, MODEL_LISTED, n->index, command->args.list_servers.token, f->now_ms + 20);
			break;
		case CMD_POLL_REPORT:
			say(n, OUTSIDE + CONTROLLER_REPORT_POLLED, 100);
			push(f, (struct ev){ .at_ms = f->now_ms + 4,
					     .kind = MODEL_REPORT_POLLED,
					     .node = n->index,
					     .incarnation = n->incarnation,
					     .token = command->args.poll_report.token,
					     .data = (uint8_t *)strdup(command->args.poll_report.server) });
			break;
		case CMD_LOAD_WEIGHTS: { /* weights are there at once */
			struct server *server = server_at(f, command->args.load_weights.addr);

			say(n, OUTSIDE + CONTROLLER_LOAD_ANSWERED, 200);
			if (server)
				apr_cpystrn(server->weights, command->args.load_weights.weights,
					    sizeof server->weights);
			event(f, MODEL_LOAD_COMMANDED, n->index, command->args.load_weights.token,
			      f->now_ms + 4);
			break;
		}
		case CMD_ANSWER:
			answered(f, command);
			break;
		case CMD_STREAM_CHUNK:
		case CMD_END_STREAM:
			say(n, SLOT_OUT, command->args.stream_chunk.len);
			i = hmgeti(f->pending_requests, command->args.stream_chunk.token);
			if (i < 0)
				break;
			if (command->kind == CMD_END_STREAM) {
				f->completed += command->args.stream_chunk.success != 0;
				f->unknown += command->args.stream_chunk.success == 0;
				(void)hmdel(f->pending_requests, command->args.stream_chunk.token);
			} else {
				f->pieces++;
			}
			break;
		case CMD_CANCEL:
			i = hmgeti(f->run_by_token,
				   core_rendezvous_weight((uint64_t)n->index, command->args.cancel.token));
			if (i >= 0)
				run_end(f, f->run_by_token[i].value);
			break;
		}
	}
	command_list_clear(&n->commands);
}

/* ---- callers and operators ------------------------------------------------------------- */

static const char *digest(char buf[65], int tenant)
{
	snprintf(buf, 65, "%064x", tenant + 1);
	return buf;
}

static void ask(struct fleet *fleet)
{
	struct node *n =
	    &fleet->nodes[fleet->settings.controllers + (int)rnd(fleet, (uint64_t)fleet->settings.routers)];
	int tenant = (int)rnd(fleet, (uint64_t)fleet->settings.tenants),
	    route = (int)rnd(fleet, (uint64_t)fleet->settings.routes), matter = (int)rnd(fleet, 200);
	struct ask a = { fleet->now_ms,
			 n->index,
			 { core_rendezvous_weight(1, (uint64_t)route),
			   core_rendezvous_weight((uint64_t)route, (uint64_t)tenant),
			   core_rendezvous_weight((uint64_t)tenant << 32 | (uint64_t)route,
						  (uint64_t)matter) } };
	struct router_event input = { .kind = ROUTER_EVENT_CLAIMED_REQUEST };
	struct forwarded_request q;
	char key[65], body[700], path[30], id[30];
	int slot = OUTSIDE + ROUTER_EVENT_CLAIMED_REQUEST;

	if (!n->router)
		return;
	fleet->token++;
	hmput(fleet->pending_requests, fleet->token, a);
	fleet->requests++;
	(void)digest(key, tenant);
	snprintf(id, sizeof id, "x%llu", (unsigned long long)fleet->token);
	if (fleet->settings.use_instance_list) {
		memset(&q, 0, sizeof q);
		snprintf(path, sizeof path, "/l%d/ask", route);
		q.token = fleet->token;
		q.key_digest = key;
		q.host = "a.example";
		q.path = path;
		q.id = id;
		q.limit_ms = 20000;
		q.input_tokens = 4000;
		q.output_tokens = 420;
		q.block_count = 3;
		for (int i = 0; i < 3; i++)
			q.blocks[i] = (struct request_block){ a.blocks[i], 1000 };
		input.kind = ROUTER_EVENT_FORWARDED_REQUEST;
		input.u.forwarded_request = &q;
		slot = OUTSIDE + ROUTER_EVENT_FORWARDED_REQUEST;
		hear(n, slot, 500);
	} else {
		snprintf(
		    body, sizeof body,
		    "{\"lane\":\"l%d\",\"id\":\"%s\",\"limit_ms\":20000,\"parts\":[\"the part of all of lane %d, quite long as such parts are\",\"the part of tenant %d\",\"matter %d of that tenant, with what was written about it and the rules that apply to it\"],\"tail\":\"what is asked\"}",
		    route, id, route, tenant, matter);
		input.u.claimed_request.token = fleet->token;
		input.u.claimed_request.key_digest = key;
		input.u.claimed_request.body = body;
		hear(n, slot, strlen(body));
	}
	router_do(fleet, n, slot, &input);
}

static uint64_t operate(struct fleet *fleet, const char *path, const char *body)
{
	struct node *n = &fleet->nodes[(int)rnd(fleet, (uint64_t)fleet->settings.controllers)];
	struct controller_event input = { .kind = CONTROLLER_API_CALL };

	input.payload.api_call.token = ++fleet->token;
	input.payload.api_call.method = "POST";
	input.payload.api_call.path = path;
	input.payload.api_call.body = body;
	controller_do(fleet, n, OUTSIDE + CONTROLLER_API_CALL, &input);
	return input.payload.api_call.token;
}

/* Most changes are of a tenant's share; each eighth walls one off or in again, which is a purge as well. */
static void change(struct fleet *f)
{
	struct change c = { 0, 0, 0 };
	char body[200];
	int no = f->change_count++;

	snprintf(body, sizeof body,
		 "{\"set\":[{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":%d,\"limit\":%d,\"walled\":%s}]}",
		 no / 2 % f->settings.tenants, 1 + no % 7, f->settings.use_instance_list ? 0 : 100000,
		 no % 8 == 7 ? "true" : "false");
	c.token = f->token + 1; /* the answer may come within the step */
	arrput(f->changes, c);
	operate(f, "/v1/change", body);
}

static void churn(struct fleet *fleet)
{
	int64_t one =
	    fleet->settings.use_instance_list ? 2000 : 1000; /* one comes and another goes: two events */

	for (fleet->churn_credit += fleet->settings.cache_events_per_second * 10; fleet->churn_credit >= one;
	     fleet->churn_credit -= one) {
		struct server *server = &fleet->servers[rnd(fleet, (uint64_t)fleet->settings.servers)];

		keep(fleet, server, core_random(&fleet->rng),
		     (uint32_t)rnd(fleet, (uint64_t)fleet->settings.tenants), 0, 0);
	}
}

/* ---- nodes ----------------------------------------------------------------------------------- */

static void begin(struct fleet *fleet, struct node *n)
{
	uint64_t seeds[3], id = core_random(&fleet->rng);
	struct bounds bounds = bounds_default;

	for (int k = 0; k < 3; k++)
		seeds[k] = address(ADDRESS_CONTROLLER, k);
	n->incarnation = ++fleet->seq;
	bounds.discover_instances = fleet->settings.use_instance_list;
	bounds.list_calls_millihertz = fleet->settings.use_instance_list ? 2000 : 0;
	if (n->is_router) {
		n->router = malloc(sizeof *n->router);
		router_open(n->router, id, n->addr, n->zone, seeds, 3, fleet->now_ms);
		n->router->bounds = bounds;
	} else {
		n->controller = malloc(sizeof *n->controller);
		controller_open(n->controller, id, n->addr, n->zone, seeds, 3, 0, core_random(&fleet->rng),
				NULL, fleet->now_ms);
		n->controller->bounds = bounds;
	}
	event(fleet, MODEL_TICK, n->index, 0, fleet->now_ms + (int64_t)rnd(fleet, TICK_MS));
}

static void end(struct node *node)
{
	if (node->router) {
		router_close(node->router);
		free(node->router);
	}
	if (node->controller) {
		controller_close(node->controller);
		free(node->controller);
	}
	node->router = NULL;
	node->controller = NULL;
	node->incarnation = 0;
}

/* A machine goes and another comes in its place; what it held is lost to its callers. */
static void restart(struct fleet *f)
{
	struct node *n = &f->nodes[f->settings.controllers + f->restart_count++ % f->settings.routers];

	end(n);
	for (ptrdiff_t i = hmlen(f->pending_requests) - 1; i >= 0; i--)
		if (f->pending_requests[i].value.node == n->index) {
			f->unknown++;
			(void)hmdel(f->pending_requests, f->pending_requests[i].key);
		}
	begin(f, n);
}

/* A message off the wire, or from itself. */
static struct Nl__Msg *take(struct node *n, const struct ev *input, int *slot)
{
	int64_t t = cpu_ns();
	struct Nl__Msg *message = nl__msg__unpack(NULL, input->length, input->data);

	if (!message)
		abort(); /* it was packed a moment ago */
	*slot = slot_of(message);
	if (message->addr != n->addr) {
		n->tallies[*slot].codec_ns += (uint64_t)(cpu_ns() - t);
		hear(n, *slot, input->length + 4);
	}
	return message;
}

static void router_dispatch(struct fleet *fleet, struct node *node, struct ev *input)
{
	struct router_event ev = { .kind = ROUTER_EVENT_TICK };
	struct forward_result ended = { 0 };
	int slot = OUTSIDE + ROUTER_EVENT_TICK;
	struct Nl__Msg *message = NULL;

	switch (input->kind) {
	case MODEL_MESSAGE:
		message = take(node, input, &slot);
		ev.kind = ROUTER_EVENT_MESSAGE;
		ev.u.message = message;
		break;
	case MODEL_CALLED:
		ev.kind = ROUTER_EVENT_REPORT_POLLED;
		ev.u.report_polled.token = input->token;
		ev.u.report_polled.status = input->status;
		ev.u.report_polled.body = (char *)input->data;
		slot = OUTSIDE + ROUTER_EVENT_REPORT_POLLED;
		hear(node, slot, input->length);
		break;
	case MODEL_DONE:
		if (fleet->settings.use_instance_list) {
			ended.token = input->token;
			ended.end = FORWARD_NOT_STARTED;
			ended.status = 503;
			ev.kind = ROUTER_EVENT_FORWARD_ENDED;
			ev.u.forward_ended = &ended;
			slot = OUTSIDE + ROUTER_EVENT_FORWARD_ENDED;
			hear(node, slot, 0);
			break;
		}
		ev.kind = ROUTER_EVENT_CALL_ENDED;
		ev.u.call_ended.token = input->token;
		ev.u.call_ended.status = 503;
		ev.u.call_ended.not_started = 1;
		ev.u.call_ended.body = "";
		slot = OUTSIDE + ROUTER_EVENT_CALL_ENDED;
		hear(node, slot, 0);
		break;
	default:
		break;
	}
	router_do(fleet, node, slot, &ev);
	if (message)
		nl__msg__free_unpacked(message, NULL);
}

static void controller_dispatch(struct fleet *fleet, struct node *node, struct ev *input)
{
	struct controller_event ev = { .kind = CONTROLLER_TICK };
	int slot = OUTSIDE + CONTROLLER_TICK;
	struct Nl__Msg *message = NULL;

	switch (input->kind) {
	case MODEL_MESSAGE:
		message = take(node, input, &slot);
		ev.kind = CONTROLLER_MESSAGE;
		ev.payload.message = message;
		break;
	case MODEL_SYNC:
		ev.kind = CONTROLLER_SYNCED;
		ev.payload.synced.shard = node->writes[0].shard;
		ev.payload.synced.sequence = node->writes[0].seq;
		arrdel(node->writes, 0);
		slot = OUTSIDE + CONTROLLER_SYNCED;
		hear(node, slot, 0);
		break;
	case MODEL_CALLED:
		ev.kind = CONTROLLER_CALL_RESULT;
		ev.payload.call_result.token = input->token;
		ev.payload.call_result.status = input->status;
		ev.payload.call_result.body = (char *)input->data;
		slot = OUTSIDE + CONTROLLER_CALL_RESULT;
		hear(node, slot, input->length);
		break;
	case MODEL_REPORT_POLLED:
		for (int i = 0; i < fleet->settings.servers; i++)
			if (!strcmp(fleet->servers[i].name, (char *)input->data))
				ev.payload.report_polled.weights = fleet->servers[i].weights;
		ev.kind = CONTROLLER_REPORT_POLLED;
		ev.payload.report_polled.token = input->token;
		ev.payload.report_polled.status = 200;
		slot = OUTSIDE + CONTROLLER_REPORT_POLLED;
		hear(node, slot, 300);
		break;
	case MODEL_LOAD_COMMANDED:
		ev.kind = CONTROLLER_LOAD_ANSWERED;
		ev.payload.load_answered.token = input->token;
		ev.payload.load_answered.status = 200;
		slot = OUTSIDE + CONTROLLER_LOAD_ANSWERED;
		hear(node, slot, 100);
		break;
	default:
		break;
	}
	controller_do(fleet, node, slot, &ev);
	if (message)
		nl__msg__free_unpacked(message, NULL);
}

/* The first piece has come, or the whole rest: pieces between them do not reach the core. */
static void forwarded(struct fleet *f, int i)
{
	struct run *run = &f->runs[i];
	struct node *node = &f->nodes[run->node_index];
	struct server *server = &f->servers[run->server];
	struct forward_result done = { .token = run->token,
				       .end = FORWARD_COMPLETE,
				       .status = 200,
				       .has_begun = 1,
				       .slots = SLOTS_LISTED,
				       .weights = server->weights };
	struct router_event input = { .kind = ROUTER_EVENT_FORWARD_BEGAN };
	int slot = OUTSIDE + ROUTER_EVENT_FORWARD_BEGAN;

	if (!run->next_piece) {
		run->next_piece = f->settings.pieces;
		event(f, MODEL_STREAM, run->node_index, (uint64_t)i,
		      f->now_ms + 15 * (int64_t)f->settings.pieces);
		input.u.forward_began.token = run->token;
		input.u.forward_began.weights = server->weights;
	} else {
		uint64_t caller = strtoull(run->send_id, NULL, 10);

		run_end(f, i);
		arrput(f->idle, i);
		done.chunks = (uint32_t)f->settings.pieces;
		done.running = server->running;
		input.kind = ROUTER_EVENT_FORWARD_ENDED;
		input.u.forward_ended = &done;
		slot = OUTSIDE + ROUTER_EVENT_FORWARD_ENDED;
		f->pieces += (uint64_t)f->settings.pieces;
		f->completed += hmgeti(f->pending_requests, caller) >= 0;
		(void)hmdel(f->pending_requests, caller);
	}
	hear(node, slot, 0);
	router_do(f, node, slot, &input);
}

static void stream_piece(struct fleet *fleet, const struct ev *input)
{
	int i = (int)input->token;
	struct run *run = &fleet->runs[i];
	struct node *node = &fleet->nodes[run->node_index];
	struct router_event ev = { .kind = ROUTER_EVENT_STREAM_CHUNK };
	char line[200];
	int last = run->next_piece == fleet->settings.pieces;

	if (run->is_over || node->incarnation != run->incarnation) {
		run_end(fleet, i);
		arrput(fleet->idle, i);
		return;
	}
	if (fleet->settings.use_instance_list) {
		forwarded(fleet, i);
		return;
	}
	if (last)
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"end\":true}", run->send_id,
			 run->next_piece);
	else
		snprintf(line, sizeof line, "{\"x\":\"%s\",\"n\":%d,\"t\":\"a word \"}", run->send_id,
			 run->next_piece);
	ev.u.stream_chunk.token = run->token;
	ev.u.stream_chunk.text = line;
	run->next_piece++;
	if (last) {
		run_end(fleet, i);
		arrput(fleet->idle, i);
	} else {
		event(fleet, MODEL_STREAM, run->node_index, input->token,
		      fleet->now_ms + 10 + (int64_t)rnd(fleet, 10));
	}
	hear(node, OUTSIDE + ROUTER_EVENT_STREAM_CHUNK, strlen(line));
	router_do(fleet, node, OUTSIDE + ROUTER_EVENT_STREAM_CHUNK, &ev);
}

static void again(struct fleet *f, const struct ev *input, int64_t in)
{
	struct ev n = { .at_ms = f->now_ms + in,
			.kind = input->kind,
			.node = input->node,
			.incarnation = input->incarnation };

	push(f, n);
}

static void dispatch(struct fleet *fleet, struct ev *input)
{
	struct node *node = &fleet->nodes[input->node];

	switch (input->kind) {
	case MODEL_ARRIVE:
		arrives(fleet, input);
		return;
	case MODEL_STREAM:
		stream_piece(fleet, input);
		return;
	case MODEL_LOAD:
		for (fleet->load_credit += fleet->settings.requests_per_second; fleet->load_credit >= 1000;
		     fleet->load_credit -= 1000)
			ask(fleet);
		again(fleet, input, 1);
		return;
	case MODEL_CACHE_CHURN:
		churn(fleet);
		again(fleet, input, 10);
		return;
	case MODEL_CONFIG_CHANGE:
		change(fleet);
		if (fleet->change_count < fleet->settings.changes)
			again(fleet, input, 1000 * fleet->settings.seconds / fleet->settings.changes);
		return;
	case MODEL_RESTART:
		restart(fleet);
		if (fleet->restart_count < fleet->settings.restarts)
			again(fleet, input, 1000 * fleet->settings.seconds / fleet->settings.restarts);
		return;
	default:
		break;
	}
	if (input->kind == MODEL_WATCHED) {
		watched(fleet, node, input);
		return;
	}
	if (input->incarnation != node->incarnation)
		return;
	if (input->kind == MODEL_TICK)
		again(fleet, input, TICK_MS);
	if (input->kind == MODEL_LISTED) {
		listed(fleet, node, input);
		return;
	}
	if (node->router)
		router_dispatch(fleet, node, input);
	else
		controller_dispatch(fleet, node, input);
}

static int run_until(struct fleet *fleet, int64_t ms, int (*done)(struct fleet *))
{
	int64_t until = fleet->now_ms + ms;

	while (arrlen(fleet->events) && fleet->events[0].at_ms <= until) {
		struct ev input = pop(fleet);
		int64_t was = fleet->now_ms;

		fleet->now_ms = input.at_ms;
		if (done && was != fleet->now_ms && done(fleet)) {
			push(fleet, input);
			return 1;
		}
		dispatch(fleet, &input);
		free(input.data);
	}
	fleet->now_ms = until;
	return !done || done(fleet);
}

/* ---- the fleet -------------------------------------------------------------------------------- */

static int web_done(struct fleet *fleet)
{
	return fleet->operator_status != 0;
}

static int operate_done(struct fleet *fleet, const char *path, const char *body)
{
	for (int tries = 0; tries < 10; tries++) {
		fleet->operator_status = 0;
		fleet->operator_token = fleet->token + 1;
		operate(fleet, path, body);
		if (run_until(fleet, 12000, web_done) && fleet->operator_status == 200)
			return 1;
		run_until(fleet, 500, NULL);
	}
	return 0;
}

static int all_owned(struct fleet *fleet)
{
	for (int p = 0; p < SHARD_COUNT; p++) {
		int owned = 0;

		for (int i = 0; i < fleet->settings.controllers; i++)
			owned |= raft_has_lease(&fleet->nodes[i].controller->shards[p], fleet->now_ms);
		if (!owned)
			return 0;
	}
	return 1;
}

static int all_ready(struct fleet *fleet)
{
	for (int i = fleet->settings.controllers; i < fleet->node_count; i++)
		if (!fleet->nodes[i].router ||
		    config_watch_age_ms(&fleet->nodes[i].router->config_watch, fleet->now_ms) >
			CONFIG_WATCH_ADMIT_STALENESS_MS ||
		    fleet->nodes[i].revision < fleet->revision ||
		    !relay_is_current(&fleet->nodes[i].router->relay, fleet->now_ms))
			return 0;
	return 1;
}

static int set_rows(struct fleet *fleet, char **rows, int from, int n)
{
	size_t k = 0, cap = 20;
	char *body;
	int ok;

	for (int i = from; i < from + n; i++)
		cap += strlen(rows[i]) + 1;
	body = malloc(cap);
	k = (size_t)sprintf(body, "{\"set\":[");
	for (int i = from; i < from + n; i++)
		k += (size_t)sprintf(body + k, "%s%s", i > from ? "," : "", rows[i]);
	sprintf(body + k, "]}");
	ok = operate_done(fleet, "/v1/change", body);
	free(body);
	return ok;
}

static int config_table(struct fleet *fleet)
{
	const struct scale_model_settings *settings = &fleet->settings;
	char **rows = NULL, hex[65];
	int nsvc = services_of(settings), ok = 1;
	apr_pool_t *pool;

	apr_pool_create(&pool, fleet->pool);
	for (int i = 0; i < nsvc && settings->use_instance_list; i++) {
		arrput(rows,
		       apr_psprintf(pool, "{\"kind\":\"model\",\"name\":\"d%d\",\"weights\":\"1\"}", i));
		arrput(
		    rows,
		    apr_psprintf(
			pool,
			"{\"kind\":\"service\",\"name\":\"m%d\",\"model\":\"d%d\",\"prefill\":112,\"kv_bytes\":18432,\"link\":46250000,\"slots\":%d,\"conns\":630,\"watches\":64,\"room\":239003}",
			i, i, SLOTS_LISTED));
	}
	for (int i = 0; i < nsvc && !settings->use_instance_list; i++)
		arrput(
		    rows,
		    apr_psprintf(
			pool,
			"{\"kind\":\"service\",\"name\":\"m%d\",\"weights\":\"w1\",\"prefill\":20,\"kv_bytes\":400,\"link\":100000}",
			i));
	for (int i = 0; i < settings->routes; i++)
		arrput(
		    rows,
		    apr_psprintf(
			pool,
			"{\"kind\":\"lane\",\"name\":\"l%d\",\"service\":\"m%d\",\"prio\":%d,\"limit\":1000%s}",
			i, i % nsvc, i % 3,
			!settings->use_instance_list
			    ? ""
			    : apr_psprintf(
				  pool,
				  ",\"host\":\"a.example\",\"path\":\"/l%d/\",\"vouched\":true,\"aim\":360,\"pause\":72,\"attempts\":2",
				  i)));
	for (int i = 0; i < settings->tenants; i++) {
		arrput(rows,
		       apr_psprintf(pool, "{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":1,\"limit\":%d}",
				    i, settings->use_instance_list ? 0 : 100000));
		arrput(rows, apr_psprintf(pool, "{\"kind\":\"key\",\"name\":\"%s\",\"tenant\":\"t%d\"}",
					  digest(hex, i), i));
	}
	for (int i = 0; i < settings->servers && !settings->use_instance_list; i++)
		arrput(rows,
		       apr_psprintf(
			   pool, "{\"kind\":\"server\",\"name\":\"s%d\",\"service\":\"m%d\",\"addr\":\"%s\"}",
			   i, i % nsvc, core_format_addr(pool, fleet->servers[i].address)));
	for (int i = 0; i < arrlen(rows) && ok; i += 300)
		ok = set_rows(fleet, rows, i, (int)arrlen(rows) - i < 300 ? (int)arrlen(rows) - i : 300);
	arrfree(rows);
	apr_pool_destroy(pool);
	return ok;
}

static int zones_of(const struct scale_model_settings *settings)
{
	int z = settings->routers / 16;

	return settings->zones ? settings->zones : z < 3 ? 3 : z > 21 ? 21 : z;
}

static void fleet_make(struct fleet *fleet, const struct scale_model_settings *settings)
{
	int zones = zones_of(settings);

	fleet->settings = *settings;
	fleet->rng = settings->seed * 7919 + 17;
	fleet->now_ms = START_MS;
	apr_pool_create(&fleet->pool, NULL);
	sh_new_strdup(fleet->namespace_ids);
	(void)cache_namespace_of(fleet, "1-of-before");
	fleet->node_count = settings->controllers + settings->routers;
	fleet->nodes = calloc((size_t)fleet->node_count, sizeof *fleet->nodes);
	fleet->servers = calloc((size_t)settings->servers, sizeof *fleet->servers);
	for (int i = 0; i < fleet->node_count; i++) {
		struct node *node = &fleet->nodes[i];

		node->index = i;
		node->is_router = i >= settings->controllers;
		node->addr = node->is_router ? address(ADDRESS_ROUTER, i - settings->controllers)
					     : address(ADDRESS_CONTROLLER, i);
		snprintf(node->zone, sizeof node->zone, "z%d",
			 (node->is_router ? i - settings->controllers : i) % zones);
		apr_pool_create(&node->commands.pool, fleet->pool);
	}
	for (int i = 0; i < settings->servers; i++) {
		struct server *server = &fleet->servers[i];

		server->address = address(ADDRESS_SERVER, i);
		server->serial = 1;
		snprintf(server->weights, sizeof server->weights, settings->use_instance_list ? "1" : "w1");
		snprintf(server->name, sizeof server->name, "s%d", i);
		snprintf(server->zone, sizeof server->zone, "z%d", i % zones);
		snprintf(server->service, sizeof server->service, "m%d", i % services_of(settings));
		for (int64_t k = settings->cached_blocks * i / settings->servers;
		     k < settings->cached_blocks * (i + 1) / settings->servers; k++) {
			struct block block = { core_random(&fleet->rng), 0,
					       (uint32_t)rnd(fleet, (uint64_t)settings->tenants), 0 };

			arrput(server->blocks, block);
			notify_watchers(fleet, server, &block, 0);
		}
	}
}

/* Half a minute without load until all stands, then the load, then the window. */
static int fleet_up(struct fleet *fleet, const char **why)
{
	for (int i = 0; i < fleet->settings.controllers; i++)
		begin(fleet, &fleet->nodes[i]);
	run_until(fleet, 200, NULL);
	*why = "the fleet was not founded";
	if (!operate_done(fleet, "/v1/found", "{}"))
		return 0;
	*why = "not every part came to have an owner";
	if (!run_until(fleet, 20000, all_owned))
		return 0;
	run_until(fleet, 3000, NULL); /* the others join */
	*why = "the table was not acknowledged";
	if (!config_table(fleet))
		return 0;
	for (int i = 0; i < fleet->settings.controllers; i++)
		if (fleet->nodes[i].controller->config_watch.table.revision > fleet->revision)
			fleet->revision = fleet->nodes[i].controller->config_watch.table.revision;
	for (int i = fleet->settings.controllers; i < fleet->node_count; i++) {
		begin(fleet, &fleet->nodes[i]);
		if (i % 16 == 15)
			run_until(fleet, 25, NULL);
	}
	*why = "the counters do not become ready";
	return run_until(fleet, 60000, all_ready);
}

static void fleet_load(struct fleet *fleet)
{
	event(fleet, MODEL_CACHE_CHURN, 0, 0, fleet->now_ms);
	event(fleet, MODEL_LOAD, 0, 0, fleet->now_ms);
	run_until(fleet, 4000, NULL);
	for (int i = 0; i < fleet->node_count; i++) {
		memset(fleet->nodes[i].tallies, 0, sizeof fleet->nodes[i].tallies);
		fleet->nodes[i].sync_count = fleet->nodes[i].disk_bytes = 0;
	}
	fleet->requests = fleet->completed = fleet->refused = fleet->unknown = fleet->sends = fleet->pieces =
	    fleet->send_ms = 0;
	fleet->max_send_ms = 0;
	fleet->window_started_at_ms = fleet->now_ms;
	if (fleet->settings.changes)
		event(fleet, MODEL_CONFIG_CHANGE, 0, 0, fleet->now_ms + 100);
	if (fleet->settings.restarts)
		event(fleet, MODEL_RESTART, 0, 0, fleet->now_ms + 200);
	run_until(fleet, 1000 * (int64_t)fleet->settings.seconds, NULL);
}

/* ---- figures -------------------------------------------------------------------------------------- */

static void row(struct scale_model_result *r, double average, double most, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));
static void row(struct scale_model_result *r, double average, double most, const char *fmt, ...)
{
	struct scale_model_row hollow_row = { "", average, most };
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(hollow_row.key, sizeof hollow_row.key, fmt, ap);
	va_end(ap);
	if (most > 0)
		arrput(r->rows, hollow_row);
}

static const char *slot_name(int slot, int is_router)
{
	static const char *const router_events[] = { "tick",  "msg",   "exchange", "gone", "piece",
						     "done",  "look",  "web",      "stop", "asked",
						     "began", "ended", "watched" };
	static const char *const controller_events[] = { "tick", "msg",    "synced", "web",
							 "look", "stop",   "doc",    "read",
							 "name", "listed", "looked", "ordered" };
	const ProtobufCFieldDescriptor *d;
	unsigned k = (unsigned)slot - OUTSIDE;

	if (slot < OUTSIDE) {
		d = protobuf_c_message_descriptor_get_field(&nl__msg__descriptor, (unsigned)slot);
		return d ? d->name : "other";
	}
	return slot == SLOT_RUN                                                         ? "run"
	       : slot == SLOT_LOAD_COMMAND                                              ? "order"
	       : slot == SLOT_OUT                                                       ? "passed"
	       : is_router && k < sizeof router_events / sizeof *router_events          ? router_events[k]
	       : !is_router && k < sizeof controller_events / sizeof *controller_events ? controller_events[k]
											: "event";
}

/* What callers' own bytes cost is not control. */
static int is_data(int slot, int is_router)
{
	int k = slot - OUTSIDE;

	return slot == SLOT_RUN || slot == SLOT_OUT ||
	       (is_router && (k == ROUTER_EVENT_CLAIMED_REQUEST || k == ROUTER_EVENT_CLIENT_DISCONNECTED ||
			      k == ROUTER_EVENT_STREAM_CHUNK || k == ROUTER_EVENT_CALL_ENDED ||
			      k == ROUTER_EVENT_FORWARDED_REQUEST || k == ROUTER_EVENT_FORWARD_BEGAN ||
			      k == ROUTER_EVENT_FORWARD_ENDED));
}

enum role { ROLE_ROUTER, ROLE_RELAY, ROLE_CONTROLLER, ROLE_COUNT };
static const char *const role_name[] = { "counter", "relay", "registrar" };

static int has_role(const struct node *node, enum role role)
{
	return role == ROLE_CONTROLLER
		   ? node->controller != NULL
		   : node->router && (role == ROLE_ROUTER || arrlen(node->router->relay.downstreams));
}

enum measure { SENT, SENT_BYTES, RECEIVED, RECEIVED_BYTES, CPU_TIME, CODEC_TIME, MEASURE_COUNT };
static const char *const measure_name[] = {
	"sent", "sent_bytes", "heard", "heard_bytes", "cpu_us", "codec_us"
};

static double measure_value(const struct tally *tally, enum measure measure)
{
	return measure == SENT             ? (double)tally->sent
	       : measure == SENT_BYTES     ? (double)tally->sent_bytes
	       : measure == RECEIVED       ? (double)tally->received
	       : measure == RECEIVED_BYTES ? (double)tally->received_bytes
	       : measure == CPU_TIME       ? (double)tally->step_ns / 1000
					   : (double)tally->codec_ns / 1000;
}

static void role_rows(struct fleet *fleet, struct scale_model_result *result, enum role role)
{
	double n = 0;

	for (int i = 0; i < fleet->node_count; i++)
		n += has_role(&fleet->nodes[i], role);
	if (n < 1)
		return;
	row(result, n, n, "%s.nodes", role_name[role]);
	for (int m = 0; m < MEASURE_COUNT; m++) {
		double ctl = 0, data = 0, ctl_most = 0, data_most = 0, s = fleet->settings.seconds;

		for (int slot = 0; slot < SLOT_COUNT; slot++) {
			double sum = 0, most = 0;

			for (int i = 0; i < fleet->node_count; i++)
				if (has_role(&fleet->nodes[i], role)) {
					double v =
					    measure_value(&fleet->nodes[i].tallies[slot], (enum measure)m);

					sum += v;
					most = v > most ? v : most;
				}
			row(result, sum / n / s, most / s, "%s.%s.%s", role_name[role], measure_name[m],
			    slot_name(slot, role != ROLE_CONTROLLER));
		}
		for (int i = 0; i < fleet->node_count; i++) {
			double c = 0, d = 0;

			for (int slot = 0; slot < SLOT_COUNT && has_role(&fleet->nodes[i], role); slot++)
				*(is_data(slot, role != ROLE_CONTROLLER) ? &d : &c) +=
				    measure_value(&fleet->nodes[i].tallies[slot], (enum measure)m);
			ctl += c;
			data += d;
			ctl_most = c > ctl_most ? c : ctl_most;
			data_most = d > data_most ? d : data_most;
		}
		row(result, ctl / n / s, ctl_most / s, "%s.%s.=control", role_name[role], measure_name[m]);
		row(result, data / n / s, data_most / s, "%s.%s.=data", role_name[role], measure_name[m]);
	}
}

static void disk_rows(struct fleet *fleet, struct scale_model_result *result)
{
	double syncs = 0, bytes = 0, syncs_most = 0, bytes_most = 0, n = fleet->settings.controllers,
	       s = fleet->settings.seconds;

	for (int i = 0; i < fleet->settings.controllers; i++) {
		const struct node *node = &fleet->nodes[i];

		syncs += (double)node->sync_count;
		bytes += (double)node->disk_bytes;
		syncs_most = (double)node->sync_count > syncs_most ? (double)node->sync_count : syncs_most;
		bytes_most = (double)node->disk_bytes > bytes_most ? (double)node->disk_bytes : bytes_most;
	}
	row(result, syncs / n / s, syncs_most / s, "registrar.disk.syncs");
	row(result, bytes / n / s, bytes_most / s, "registrar.disk.bytes");
}

static void fleet_rows(struct fleet *fleet, struct scale_model_result *result)
{
	double sum = 0, most = 0;
	int n = 0;

	row(result, (double)fleet->requests, (double)fleet->requests, "fleet.asked");
	row(result, (double)fleet->completed, (double)fleet->completed, "fleet.whole");
	row(result, (double)fleet->refused, (double)fleet->refused, "fleet.refused");
	row(result, (double)fleet->unknown, (double)fleet->unknown, "fleet.unknown");
	row(result, (double)fleet->pieces, (double)fleet->pieces, "fleet.pieces");
	if (fleet->sends)
		row(result, (double)fleet->send_ms / (double)fleet->sends, (double)fleet->max_send_ms,
		    "fleet.send_ms");
	for (ptrdiff_t i = 0; i < arrlen(fleet->changes); i++) {
		const struct change *c = &fleet->changes[i];

		if (!c->acked_at_ms || c->revision >= (uint64_t)arrlen(fleet->revision_reached) ||
		    fleet->revision_reached[c->revision].nodes < fleet->settings.routers)
			continue;
		n++;
		sum += (double)(fleet->revision_reached[c->revision].last_at_ms - c->acked_at_ms);
		if ((double)(fleet->revision_reached[c->revision].last_at_ms - c->acked_at_ms) > most)
			most = (double)(fleet->revision_reached[c->revision].last_at_ms - c->acked_at_ms);
	}
	row(result, n, n, "fleet.changes_in_force");
	if (n)
		row(result, sum / n, most, "fleet.in_force_ms");
}

static double resident_bytes(void)
{
	FILE *out = fopen("/proc/self/statm", "r");
	long size = 0, res = 0;

	if (!out)
		return 0;
	if (fscanf(out, "%ld %ld", &size, &res) != 2)
		res = 0;
	fclose(out);
	return (double)res * (double)sysconf(_SC_PAGESIZE);
}

/* What each structure takes by itself, built through its own functions. */
static void structure_rows(struct fleet *fleet, struct scale_model_result *result)
{
	const struct scale_model_settings *settings = &fleet->settings;
	int64_t n = settings->cached_blocks < 200000 ? settings->cached_blocks : 200000;
	struct prefix_index k = { 0 };
	struct purge_view view = { 0 };
	struct config_table tab;
	struct Nl__ConfigSyncReply all = NL__CONFIG_SYNC_REPLY__INIT;
	enum { EVENTS = 100 }; /* of one message */
	uint64_t keys[EVENTS];
	struct Nl__CacheUpdate update = NL__CACHE_UPDATE__INIT;
	struct Nl__CacheUpdateBatch batch = NL__CACHE_UPDATE_BATCH__INIT;
	struct Nl__CacheUpdate *one = &update;
	struct Nl__Msg message = NL__MSG__INIT;
	apr_pool_t *pool;
	size_t was = heap_bytes(), bytes;
	int64_t t = cpu_ns();
	uint8_t *d;

	for (int64_t i = 0; i < n; i++) {
		struct block_replica replica = { 0 };

		replica.server_index = (uint32_t)(i % settings->servers);
		replica.tenant_index = (uint32_t)(i % settings->tenants);
		prefix_index_put(&k, core_random(&fleet->rng), &replica);
	}
	t = cpu_ns() - t;
	if (n) {
		row(result, (double)(heap_bytes() - was) / (double)n,
		    (double)(heap_bytes() - was) / (double)n, "state.kept_part_bytes");
		row(result, (double)t / (double)n, (double)t / (double)n, "state.kept_put_ns");
	}
	prefix_index_clear(&k);
	for (int i = 0; i < EVENTS; i++)
		keys[i] = core_random(&fleet->rng);
	message.body_case = NL__MSG__BODY_CACHE_UPDATE_BATCH;
	message.cache_update_batch = &batch;
	batch.n_updates = 1;
	batch.updates = &one;
	update.server = "s1000";
	update.n_added = EVENTS;
	update.added = keys;
	bytes = nl__msg__get_packed_size(&message);
	d = malloc(bytes);
	nl__msg__pack(&message, d);
	t = cpu_ns();
	for (int i = 0; i < EVENTS; i++)
		nl__msg__free_unpacked(nl__msg__unpack(NULL, bytes, d), NULL);
	row(result, (double)bytes / EVENTS, (double)bytes / EVENTS, "state.kept_event_bytes");
	row(result, (double)(cpu_ns() - t) / EVENTS / EVENTS, (double)(cpu_ns() - t) / EVENTS / EVENTS,
	    "state.kept_event_unpack_ns");
	free(d);
	was = heap_bytes();
	for (int i = 0; i < settings->tenants; i++) {
		struct Nl__Value value = NL__VALUE__INIT;
		struct Nl__Purge purge = NL__PURGE__INIT;
		char name[20];

		snprintf(name, sizeof name, "t%d", i);
		purge.reason = PURGE_TENANT;
		purge.tenant = name;
		value.tick = 1;
		value.purge = &purge;
		purge_view_apply(&view, &value);
	}
	row(result, (double)(heap_bytes() - was) / settings->tenants,
	    (double)(heap_bytes() - was) / settings->tenants, "state.purge_subject_bytes");
	purge_view_clear(&view);
	apr_pool_create(&pool, fleet->pool);
	config_table_since(&fleet->nodes[fleet->node_count - 1].router->config_watch.table, 0, &all, pool);
	was = heap_bytes();
	config_table_open(&tab);
	all.full = 1;
	if (config_table_follow(&tab, &all) && all.n_set)
		row(result, (double)(heap_bytes() - was) / (double)all.n_set,
		    (double)(heap_bytes() - was) / (double)all.n_set, "state.row_bytes");
	config_table_close(&tab);
	row(result, (double)protobuf_c_message_get_packed_size(&all.base),
	    (double)protobuf_c_message_get_packed_size(&all.base), "state.table_packed_bytes");
	apr_pool_destroy(pool);
}

/* Closing the roles one after the other says what each held. */
static void memory_rows(struct fleet *fleet, struct scale_model_result *result)
{
	double all = resident_bytes();
	size_t was;

	apr_allocator_max_free_set(apr_pool_allocator_get(apr_pool_parent_get(fleet->pool)), 1);
	was = heap_bytes();
	for (int i = fleet->settings.controllers; i < fleet->node_count; i++)
		end(&fleet->nodes[i]);
	row(result, (double)(was - heap_bytes()) / fleet->settings.routers,
	    (double)(was - heap_bytes()) / fleet->settings.routers, "counter.memory.bytes");
	was = heap_bytes();
	for (int i = 0; i < fleet->settings.controllers; i++)
		end(&fleet->nodes[i]);
	row(result, (double)(was - heap_bytes()) / fleet->settings.controllers,
	    (double)(was - heap_bytes()) / fleet->settings.controllers, "registrar.memory.bytes");
	row(result, all, all, "fleet.rss_bytes");
}

static void fleet_free(struct fleet *fleet)
{
	for (int i = 0; i < fleet->node_count; i++) {
		end(&fleet->nodes[i]);
		arrfree(fleet->nodes[i].commands.commands);
		arrfree(fleet->nodes[i].writes);
	}
	for (int i = 0; i < fleet->settings.servers; i++) {
		arrfree(fleet->servers[i].blocks);
		arrfree(fleet->servers[i].cache_events);
		arrfree(fleet->servers[i].watchers);
		free(fleet->servers[i].report_text);
	}
	for (ptrdiff_t i = 0; i < arrlen(fleet->events); i++)
		free(fleet->events[i].data);
	arrfree(fleet->events);
	arrfree(fleet->runs);
	arrfree(fleet->idle);
	arrfree(fleet->changes);
	arrfree(fleet->revision_reached);
	for (ptrdiff_t i = 0; i < arrlen(fleet->namespace_names); i++)
		free(fleet->namespace_names[i]);
	arrfree(fleet->namespace_names);
	shfree(fleet->namespace_ids);
	hmfree(fleet->run_by_token);
	hmfree(fleet->pending_requests);
	free(fleet->nodes);
	free(fleet->servers);
	apr_pool_destroy(fleet->pool);
}

int scale_model_run(const struct scale_model_settings *settings, struct scale_model_result *result,
		    const char **why)
{
	struct fleet fleet;
	int ok;

	memset(&fleet, 0, sizeof fleet);
	memset(result, 0, sizeof *result);
	fleet_make(&fleet, settings);
	ok = fleet_up(&fleet, why);
	if (ok) {
		fleet_load(&fleet);
		for (int i = 0; i < ROLE_COUNT; i++)
			role_rows(&fleet, result, (enum role)i);
		disk_rows(&fleet, result);
		fleet_rows(&fleet, result);
		structure_rows(&fleet, result);
		memory_rows(&fleet, result);
	}
	fleet_free(&fleet);
	return ok;
}

double scale_model_get(const struct scale_model_result *result, const char *key)
{
	for (ptrdiff_t i = 0; i < arrlen(result->rows); i++)
		if (!strcmp(result->rows[i].key, key))
			return result->rows[i].average;
	return -1;
}

void scale_model_print(const struct scale_model_result *result, int csv, FILE *out)
{
	fprintf(out, csv ? "key,mean,most\n" : "%-44s %16s %16s\n",
		"a second and node, unless it says otherwise", "mean", "most");
	for (ptrdiff_t i = 0; i < arrlen(result->rows); i++)
		fprintf(out, csv ? "%s,%.3f,%.3f\n" : "%-44s %16.2f %16.2f\n", result->rows[i].key,
			result->rows[i].average, result->rows[i].max);
}

void scale_model_free(struct scale_model_result *result)
{
	arrfree(result->rows);
}

/* ---- sizes -------------------------------------------------------------------------------------------- */

/* Coefficients as runs showed them, rounded up (docs/CAPACITY.md). */
uint64_t scale_model_memory_bytes(const struct scale_model_settings *settings)
{
	uint64_t nodes = (uint64_t)settings->routers + (uint64_t)settings->controllers,
		 svc = (uint64_t)settings->servers,
		 rows = svc + 2 * (uint64_t)settings->tenants + 2 * (uint64_t)settings->routes;

	return (32u << 20) + nodes * (200000 + 900 * rows) +
	       (uint64_t)settings->routers * 300 * (uint64_t)settings->cached_blocks + svc * 1000 +
	       150 * (uint64_t)settings->cached_blocks +
	       (uint64_t)settings->requests_per_second * (uint64_t)(settings->seconds + 4) * 1500 +
	       (uint64_t)settings->cache_events_per_second * 100;
}

const char *scale_model_validate(const struct scale_model_settings *settings, char *buf, size_t n)
{
	const struct {
		const char *name;
		int64_t value, min, max;
	} in[] = {
		{ "nodes", settings->routers, 1, 4000 },
		{ "registrars", settings->controllers, 3, 24 },
		{ "servers", settings->servers, 1, 20000 },
		{ "tenants", settings->tenants, 1, 20000 },
		{ "lanes", settings->routes, 1, 4000 },
		{ "zones", settings->zones, 0, 200 },
		{ "seconds", settings->seconds, 1, 3600 },
		{ "changes", settings->changes, 0, 100000 },
		{ "restarts", settings->restarts, 0, 10000 },
		{ "pieces", settings->pieces, 1, 10000 },
		{ "listed", settings->use_instance_list, 0, 1 },
		{ "parts", settings->cached_blocks, 0, 1000000000 },
		{ "rate", settings->requests_per_second, 0, 1000000 },
		{ "events", settings->cache_events_per_second, 0, 10000000 },
	};
	uint64_t have = settings->memory_bytes
			    ? settings->memory_bytes
			    : (uint64_t)sysconf(_SC_PHYS_PAGES) * (uint64_t)sysconf(_SC_PAGESIZE),
		 need;

	for (size_t i = 0; i < sizeof in / sizeof *in; i++)
		if (in[i].value < in[i].min || in[i].value > in[i].max) {
			snprintf(buf, n, "--%s: %lld to %lld", in[i].name, (long long)in[i].min,
				 (long long)in[i].max);
			return buf;
		}
	need = scale_model_memory_bytes(settings);
	if (need > have / 2) {
		snprintf(buf, n,
			 "such a fleet needs about %llu MB, and half of this machine's memory is %llu MB",
			 (unsigned long long)(need >> 20), (unsigned long long)(have / 2 >> 20));
		return buf;
	}
	if (settings->cached_blocks / settings->servers > MAX_BLOCKS_PER_SERVER) {
		snprintf(buf, n, "--parts: at most %d at a server, %lld in all", MAX_BLOCKS_PER_SERVER,
			 (long long)MAX_BLOCKS_PER_SERVER * settings->servers);
		return buf;
	}
	return NULL;
}

static int number(const struct arg_str *arg_str, int64_t most, int64_t *v)
{
	char *stop;
	long long n;

	if (!arg_str->count)
		return 1;
	n = strtoll(arg_str->sval[0], &stop, 10);
	if (*stop || stop == arg_str->sval[0] || n < 0 || n > most) {
		fprintf(stderr, "notchlug-emulator: hollow: --%s: a whole number\n", arg_str->hdr.longopts);
		return 0;
	}
	*v = n;
	return 1;
}

int scale_model_main(int argc, char **argv)
{
	struct scale_model_settings settings = scale_model_defaults;
	const struct {
		const char *name, *what;
		int *as_int;
		int64_t *as_int64;
	} in[] = {
		{ "nodes", "counters", &settings.routers, NULL },
		{ "registrars", "registrars", &settings.controllers, NULL },
		{ "servers", "language servers", &settings.servers, NULL },
		{ "tenants", "tenants, each with a key", &settings.tenants, NULL },
		{ "lanes", "lanes, each with a service while there are servers", &settings.routes, NULL },
		{ "zones", "zones; three are a region; 0: one for 16 counters, 3 to 21", &settings.zones,
		  NULL },
		{ "parts", "kept parts at all servers together", NULL, &settings.cached_blocks },
		{ "rate", "exchanges a second", NULL, &settings.requests_per_second },
		{ "listed", "1: servers from a list, text at the door; 0: the product's own interface",
		  &settings.use_instance_list, NULL },
		{ "pieces", "pieces of an answer", &settings.pieces, NULL },
		{ "events", "kept parts that come and go a second", NULL, &settings.cache_events_per_second },
		{ "changes", "changes of the table in the window", &settings.changes, NULL },
		{ "restarts", "counters replaced in the window", &settings.restarts, NULL },
		{ "seconds", "of virtual time", &settings.seconds, NULL },
		{ "seed", "a whole number", NULL, (int64_t *)&settings.seed },
	};
	enum { N = sizeof in / sizeof *in };
	struct arg_str *arg_str[N];
	struct arg_lit *csv = arg_lit0(NULL, "csv", "as comma-separated values");
	struct arg_end *stop = arg_end(5);
	void *argtable[N + 2];
	struct scale_model_result result = { NULL };
	const char *why;
	char buf[200];
	int rc = 2;

	for (int i = 0; i < N; i++)
		argtable[i] = arg_str[i] = arg_str0(NULL, in[i].name, "N", in[i].what);
	argtable[N] = csv;
	argtable[N + 1] = stop;
	if (arg_parse(argc, argv, argtable)) {
		arg_print_errors(stderr, stop, "notchlug-emulator: hollow");
		fprintf(stderr, "Usage: notchlug-emulator hollow");
		arg_print_syntax(stderr, argtable, "\n");
		arg_print_glossary(stderr, argtable, "  %-16s %s\n");
		goto end;
	}
	for (int i = 0; i < N; i++) {
		int64_t v = in[i].as_int ? *in[i].as_int : *in[i].as_int64;

		if (!number(arg_str[i], in[i].as_int ? INT32_MAX : INT64_MAX, &v))
			goto end;
		if (in[i].as_int)
			*in[i].as_int = (int)v;
		else
			*in[i].as_int64 = v;
	}
	if ((why = scale_model_validate(&settings, buf, sizeof buf))) {
		fprintf(stderr, "notchlug-emulator: hollow: %s\n", why);
		goto end;
	}
	rc = 1;
	if (!scale_model_run(&settings, &result, &why)) {
		fprintf(stderr, "notchlug-emulator: hollow: %s\n", why);
		goto end;
	}
	scale_model_print(&result, csv->count, stdout);
	scale_model_free(&result);
	rc = 0;
end:
	arg_freetable(argtable, N + 2);
	return rc;
}
