/* engine_sim: see engine_sim.h. Time goes in steps of a ms; what is under way waits in one list, soonest
 * first. */
#include "engine_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "containers.h"

enum {
	TICK_MS = 25,
	LINK_MS = 1,     /* between processes */
	WATCH_MS = 200,  /* for which a server holds a watch */
	STEP_MS = 10,    /* between two tokens of an answer */
	CHUNK = 2048,    /* tokens that a server reads of one prompt before it looks at the next */
	MOVE_TIMES = 60, /* a move is so many times as quick as reading */
	MOVE_MS = 4,
	REUSE_MS = 10000, /* a part that was used so long ago is not read again, but anew */
	LOSS_SCALE = 1000,
	NOTICE_MS = 300, /* before a load, in which routers send the server nothing more */
	MAX_WAITING = 400,
	ROUTER_ADDR = 1001
};

/* A prompt block at a server, under the name that it was filed by. */
struct part {
	uint64_t key, id;
	char name[64];
	uint32_t tokens;
	int64_t used;
};

struct event {
	uint64_t no, id;
	int removed;
	char name[64];
	int64_t at;
};

struct run {
	int router, kind;
	uint64_t call;
	uint64_t id[ENGINE_CHAIN];
	uint32_t tokens[ENGINE_CHAIN];
	int blocks;
	char name[64];
	uint64_t from;
	uint32_t prompt_tokens_left, out; /* tokens to be read, pieces to be said */
	int prio, begun, planned;
	int64_t at, next_at;
};

enum load_stage { LOAD_NONE, LOAD_NOTICE, LOAD_WAITS, LOAD_LOADS };

struct engine {
	int weights;
	enum load_stage stage;
	int64_t stage_at;
	struct part *part;   /* stb_ds */
	struct event *event; /* stb_ds */
	uint64_t last_event;
	struct run *run; /* stb_ds: those that wait, are read and say pieces */
	int64_t busy_until;
	int reading; /* place in run; -1: none */
};

enum happening_kind { HAPPENS_MESSAGE, HAPPENS_ARRIVES, HAPPENS_BEGAN, HAPPENS_ENDED };
struct happening {
	int64_t at;
	enum happening_kind kind;
	int router, server, status;
	enum forward_end how;
	uint64_t call;
	struct Nl__Msg *message;
	struct run run;
};

struct watch {
	int router, server;
	uint64_t token, since;
	int64_t until;
};

/* Who has read a prefix under a name, and when it was last used anywhere. */
struct prefix_use {
	uint64_t key;
	int64_t value;
};

struct node {
	struct router router;
	struct command_list out;
	int silent;
};

struct asked {
	uint64_t key; /* router << 48 | token of the caller */
	struct {
		int kind;
		int64_t at;
		uint64_t id[ENGINE_CHAIN];
		uint32_t tokens[ENGINE_CHAIN];
		int blocks;
		uint32_t out;
	} value;
};

struct engine_sim {
	struct engine_settings settings;
	apr_pool_t *pool;
	int64_t now;
	uint64_t rng, revision, token, own_id;
	int target_weights;
	struct node nodes[ENGINE_ROUTERS];
	struct engine engines[ENGINE_SERVERS];
	struct happening *happenings;   /* stb_ds */
	struct watch *watches;          /* stb_ds */
	struct asked *requests;         /* stb_ds */
	struct asked *calls;            /* stb_ds: router << 48 | call: of what is under way */
	struct prefix_use *prefix_uses; /* stb_ds */
	struct engine_counts counts[ENGINE_KINDS];
	double due_at[ENGINE_KINDS];
	uint64_t prefilled_tokens, prefilled_again_tokens;
	int table_changed;
};

static uint64_t random_below(struct engine_sim *w, uint64_t n)
{
	return core_random(&w->rng) % n;
}

static int zone_of(int i)
{
	return i % ENGINE_ZONES;
}

/* The first router of each zone is its head, the second its successor. */
static int head_of(int zone)
{
	return zone;
}

static const char *zone_name(int zone)
{
	return zone ? "z2" : "z1";
}

/* ---- servers: what they keep ---------------------------------------------------------------------- */

static uint64_t block_key(const char *name, uint64_t id)
{
	return core_rendezvous_weight(core_hash_string(0, name), id);
}

static struct part *part_find(struct engine *engine, uint64_t key)
{
	for (ptrdiff_t i = 0; i < arrlen(engine->part); i++)
		if (engine->part[i].key == key)
			return &engine->part[i];
	return NULL;
}

static void emit_event(struct engine_sim *engines, struct engine *e, const struct part *p, int removed)
{
	struct event event = { ++e->last_event, p->id, removed, "",
			       engines->now + engines->settings.event_lag_ms };

	apr_cpystrn(event.name, p->name, sizeof event.name);
	if (random_below(engines, LOSS_SCALE) >= (uint64_t)engines->settings.event_loss_per_mille)
		arrput(e->event, event);
}

static uint32_t cached_tokens(const struct engine *engine)
{
	uint32_t n = 0;

	for (ptrdiff_t i = 0; i < arrlen(engine->part); i++)
		n += engine->part[i].tokens;
	return n;
}

static void forget(struct engine_sim *engines, struct engine *engine, ptrdiff_t i)
{
	emit_event(engines, engine, &engine->part[i], 1);
	arrdelswap(engine->part, i);
}

static void cache_block(struct engine_sim *engines, struct engine *engine, const char *name, uint64_t id,
			uint32_t tokens)
{
	uint64_t key = block_key(name, id);
	struct part *part = part_find(engine, key), new_part = { key, id, "", tokens, engines->now };

	if (part) {
		part->used = engines->now;
		return;
	}
	apr_cpystrn(new_part.name, name, sizeof new_part.name);
	arrput(engine->part, new_part);
	emit_event(engines, engine, &new_part, 0);
	while (cached_tokens(engine) > engines->settings.capacity_tokens) {
		ptrdiff_t oldest = 0;

		for (ptrdiff_t i = 1; i < arrlen(engine->part); i++)
			if (engine->part[i].used < engine->part[oldest].used)
				oldest = i;
		forget(engines, engine, oldest);
	}
}

/* Leading parts of a run that a server keeps. */
static int count_cached_blocks(struct engine *engine, const struct run *run)
{
	int n = 0;

	while (n < run->blocks && part_find(engine, block_key(run->name, run->id[n])))
		n++;
	return n;
}

/* ---- servers: reading ----------------------------------------------------------------------------- */

static void later(struct engine_sim *engines, struct happening happening, int64_t ms)
{
	happening.at = engines->now + ms;
	arrput(engines->happenings, happening);
}

/* A shared part that is read: again, if it was in use under this name a short while ago. */
static void count_read(struct engine_sim *engines, const struct run *run, int part)
{
	uint64_t key = block_key(run->name, run->id[part]);
	ptrdiff_t i = hmgeti(engines->prefix_uses, key);

	engines->prefilled_tokens += run->tokens[part];
	if (part + 1 == run->blocks)
		return;
	if (i >= 0 && engines->now - engines->prefix_uses[i].value < REUSE_MS)
		engines->prefilled_again_tokens += run->tokens[part];
}

static void use_blocks(struct engine_sim *engines, const struct run *run)
{
	for (int i = 0; i + 1 < run->blocks; i++)
		hmput(engines->prefix_uses, block_key(run->name, run->id[i]), engines->now);
}

/* What is to be read of a run's prompt, once what a source keeps has been moved; returns the ms that the move
 * takes. */
static int64_t plan_reading(struct engine_sim *engines, struct engine *engine, struct run *run)
{
	int have = count_cached_blocks(engine, run), from = have;
	int64_t move = 0;

	for (int s = 0; run->from && s < ENGINE_SERVERS; s++)
		if (core_parse_addr(apr_psprintf(engines->pool, "127.1.0.%d:80", s + 1)) == run->from) {
			int there = count_cached_blocks(&engines->engines[s], run);

			from = there > have && &engines->engines[s] != engine ? there : have;
		}
	for (int i = have; i < from; i++) {
		move += run->tokens[i] / (uint32_t)(engines->settings.prefill_tokens_per_ms * MOVE_TIMES);
		cache_block(engines, engine, run->name, run->id[i], run->tokens[i]);
	}
	run->prompt_tokens_left = 0;
	for (int i = from; i < run->blocks; i++) {
		run->prompt_tokens_left += run->tokens[i];
		count_read(engines, run, i);
	}
	use_blocks(engines, run);
	run->planned = 1;
	return from > have ? move + MOVE_MS : 0;
}

/* The next run to be read: the more urgent first, then who came first. */
static int next_to_read(const struct engine *engine)
{
	int best = -1;

	for (int i = 0; i < arrlen(engine->run); i++)
		if (!engine->run[i].begun && (best < 0 || engine->run[i].prio < engine->run[best].prio ||
					      (engine->run[i].prio == engine->run[best].prio &&
					       engine->run[i].at < engine->run[best].at)))
			best = i;
	return best;
}

static void report_ended(struct engine_sim *engines, const struct run *run, enum forward_end how, int status)
{
	later(engines,
	      (struct happening){ .kind = HAPPENS_ENDED,
				  .router = run->router,
				  .call = run->call,
				  .how = how,
				  .status = status },
	      LINK_MS);
}

static void chunk_is_read(struct engine_sim *engines, struct engine *engine)
{
	struct run *run = &engine->run[engine->reading];

	engine->reading = -1;
	if (run->prompt_tokens_left > CHUNK) {
		run->prompt_tokens_left -= CHUNK;
		return;
	}
	run->prompt_tokens_left = 0;
	run->begun = 1;
	run->next_at = engines->now + (int64_t)run->out * STEP_MS;
	for (int i = 0; i < run->blocks; i++)
		cache_block(engines, engine, run->name, run->id[i], run->tokens[i]);
	later(engines, (struct happening){ .kind = HAPPENS_BEGAN, .router = run->router, .call = run->call },
	      LINK_MS);
}

static void read_next(struct engine_sim *engines, struct engine *engine)
{
	int i = next_to_read(engine);
	int64_t move = 0;
	uint32_t n;

	if (i < 0)
		return;
	if (!engine->run[i].planned)
		move = plan_reading(engines, engine, &engine->run[i]);
	n = engine->run[i].prompt_tokens_left < CHUNK ? engine->run[i].prompt_tokens_left : CHUNK;
	engine->reading = i;
	engine->busy_until = engines->now + move + 1 + n / (uint32_t)engines->settings.prefill_tokens_per_ms;
}

static void runs_end(struct engine_sim *engines, struct engine *engine)
{
	for (int i = (int)arrlen(engine->run) - 1; i >= 0; i--) {
		if (!engine->run[i].begun || engine->run[i].next_at > engines->now)
			continue;
		report_ended(engines, &engine->run[i], FORWARD_COMPLETE, 200);
		if (engine->reading > i)
			engine->reading--;
		arrdel(engine->run, i);
	}
}

/* ---- servers: loading ----------------------------------------------------------------------------- */

/* What has not begun is given back. */
static void give_back(struct engine_sim *engines, struct engine *engine)
{
	for (int i = (int)arrlen(engine->run) - 1; i >= 0; i--) {
		if (engine->run[i].begun)
			continue;
		report_ended(engines, &engine->run[i], FORWARD_NOT_STARTED, 503);
		arrdel(engine->run, i);
	}
	engine->reading = -1;
}

static void stage(struct engine_sim *engines, struct engine *engine, enum load_stage s)
{
	engine->stage = s;
	engine->stage_at = engines->now;
	engines->table_changed = 1;
}

static void load_step(struct engine_sim *engines, struct engine *engine)
{
	if (engine->stage == LOAD_NOTICE && engines->now - engine->stage_at >= NOTICE_MS) {
		give_back(engines, engine);
		stage(engines, engine, engines->settings.loads_under_requests ? LOAD_LOADS : LOAD_WAITS);
	}
	if (engine->stage == LOAD_WAITS && !arrlen(engine->run))
		stage(engines, engine, LOAD_LOADS);
	if (engine->stage == LOAD_LOADS && engines->now - engine->stage_at >= engines->settings.load_ms) {
		while (arrlen(engine->part))
			forget(engines, engine, 0);
		engine->weights = engines->target_weights;
		stage(engines, engine, LOAD_NONE);
	}
}

static void roll_out(struct engine_sim *engines)
{
	int loading = 0;

	for (int s = 0; s < ENGINE_SERVERS; s++)
		loading += engines->engines[s].stage != LOAD_NONE;
	for (int s = 0; s < ENGINE_SERVERS && loading < engines->settings.max_loads; s++) {
		if (engines->engines[s].stage != LOAD_NONE ||
		    engines->engines[s].weights == engines->target_weights)
			continue;
		stage(engines, &engines->engines[s], LOAD_NOTICE);
		loading++;
	}
}

int engine_is_rollout_complete(const struct engine_sim *engines)
{
	for (int s = 0; s < ENGINE_SERVERS; s++)
		if (engines->engines[s].weights != engines->target_weights)
			return 0;
	return 1;
}

static void engine_step(struct engine_sim *engines, struct engine *engine)
{
	runs_end(engines, engine);
	if (engine->stage != LOAD_NONE)
		load_step(engines, engine);
	if (engine->stage == LOAD_LOADS)
		return;
	if (engine->reading >= 0 && engines->now >= engine->busy_until)
		chunk_is_read(engines, engine);
	if (engine->reading < 0)
		read_next(engines, engine);
}

/* ---- routers ---------------------------------------------------------------------------------------- */

static void perform(struct engine_sim *w, int i);

static void node_step(struct engine_sim *engines, int i, const struct router_event *event)
{
	router_step(&engines->nodes[i].router, event, engines->now, &engines->nodes[i].out);
	perform(engines, i);
}

static struct Nl__Instance *instance_of(struct engine_sim *engines, int s, apr_pool_t *pool)
{
	struct Nl__Instance *instance = apr_palloc(pool, sizeof *instance);
	const struct engine *engine = &engines->engines[s];

	nl__instance__init(instance);
	instance->server = apr_psprintf(pool, "i-%d", s);
	instance->service = "pool";
	instance->addr = apr_psprintf(pool, "127.1.0.%d:80", s + 1);
	instance->zone = (char *)(uintptr_t)zone_name(zone_of(s));
	instance->slots = 100;
	instance->weights = apr_psprintf(pool, "%d", engine->weights);
	instance->loading = engine->stage != LOAD_NONE;
	instance->stamp = engines->revision;
	return instance;
}

/* The table and the list, as the configuration's leader says them. */
static void node_table(struct engine_sim *engines, int i)
{
	struct Nl__Msg msg = NL__MSG__INIT;
	struct Nl__ConfigSyncReply reply = NL__CONFIG_SYNC_REPLY__INIT;
	struct Nl__Row service = NL__ROW__INIT, route[ENGINE_KINDS], *rows[1 + ENGINE_KINDS] = { &service };
	struct Nl__Instance *instances[ENGINE_SERVERS];
	struct router_event event = { .kind = ROUTER_EVENT_MESSAGE };
	apr_pool_t *pool;

	apr_pool_create(&pool, engines->pool);
	for (int s = 0; s < ENGINE_SERVERS; s++)
		instances[s] = instance_of(engines, s, pool);
	service.kind = NL__KIND__SERVICE;
	service.name = "pool";
	service.target_weights = apr_psprintf(pool, "%d", engines->target_weights);
	service.prefill_tokens_per_ms = (uint32_t)engines->settings.prefill_tokens_per_ms;
	service.kv_bytes_per_token = 1;
	service.link_bytes_per_ms = (uint32_t)(engines->settings.prefill_tokens_per_ms * MOVE_TIMES);
	service.capacity_tokens = engines->settings.capacity_tokens;
	for (int k = 0; k < ENGINE_KINDS; k++) {
		nl__row__init(&route[k]);
		route[k].kind = NL__KIND__ROUTE;
		route[k].name = apr_psprintf(pool, "lane%d", k);
		route[k].service = "pool";
		route[k].host = "h";
		route[k].path = apr_psprintf(pool, "/%d/", k);
		route[k].key_optional = 1;
		route[k].limit = MAX_WAITING;
		route[k].idempotent = 1;
		route[k].max_attempts = 3;
		route[k].latency_target_ms = (uint32_t)engines->settings.kind[k].latency_target_ms;
		rows[1 + k] = &route[k];
	}
	config_watch_poll(&engines->nodes[i].router.config.watch, 0, engines->now, &engines->nodes[i].out);
	command_list_clear(&engines->nodes[i].out);
	reply.token = engines->nodes[i].router.config.watch.last_token;
	reply.has_lease = reply.full = reply.instances_full = 1;
	reply.fleet_id = 7;
	reply.revision = reply.instances_stamp = engines->revision;
	reply.set = rows;
	reply.n_set = 1 + ENGINE_KINDS;
	reply.instances = instances;
	reply.n_instances = ENGINE_SERVERS;
	reply.router_count = 64; /* words between routers are as rare as in a large fleet */
	reply.group_clock_ms = (uint64_t)engines->now;
	reply.clock_term = 1;
	msg.body_case = NL__MSG__BODY_CONFIG_SYNC_REPLY;
	msg.protocol_version = CORE_PROTOCOL_VERSION;
	msg.config_sync_reply = &reply;
	msg.addr = msg.id = 1;
	event.args.message = &msg;
	node_step(engines, i, &event);
	apr_pool_destroy(pool);
}

/* Who is whose upstream, and that purges and the configuration are known. */
static void node_in_touch(struct engine_sim *engines, int i)
{
	struct router *router = &engines->nodes[i].router;
	int zone = zone_of(i);

	router->config.watch.confirmed_at_ms = engines->now;
	router->relay.has_knowledge = 1;
	router->relay.known_at_ms = engines->now;
	router->config.watch.upstream_count = i != head_of(zone);
	router->config.watch.upstream_addrs[0] = (uint64_t)head_of(zone) + ROUTER_ADDR;
	router->config.watch.zone_head_count = i == head_of(zone);
	router->config.watch.zone_head_addrs[0] = (uint64_t)head_of(!zone) + ROUTER_ADDR;
	if (i != head_of(zone))
		return;
	for (ptrdiff_t k = 0; k < arrlen(router->relay.downstreams); k++)
		router->relay.downstreams[k].last_contact_at_ms = engines->now;
	for (int j = zone + ENGINE_ZONES;
	     j < ENGINE_ROUTERS && arrlen(router->relay.downstreams) < ENGINE_ROUTERS / ENGINE_ZONES - 1;
	     j += ENGINE_ZONES) {
		struct relay_downstream down = { .id = (uint64_t)j + 1,
						 .addr = (uint64_t)j + ROUTER_ADDR,
						 .last_contact_at_ms = engines->now,
						 .cache_feed_started = 1 };

		arrput(router->relay.downstreams, down);
	}
}

static uint64_t at_router(int router, uint64_t token)
{
	return core_rendezvous_weight((uint64_t)router + 1, token);
}

/* ---- requests ------------------------------------------------------------------------------------- */

static void ask(struct engine_sim *w, int kind)
{
	const struct engine_kind *engine_kind = &w->settings.kind[kind];
	int router = (int)random_below(w, ENGINE_ROUTERS), prefix = 0;
	struct forwarded_request a = { .token = ++w->token,
				       .timeout_ms = 20000,
				       .max_output_tokens = engine_kind->output_chunks };
	struct router_event input = { .kind = ROUTER_EVENT_FORWARDED_REQUEST };
	typeof(w->requests->value) submitted = { .kind = kind,
						 .at = w->now,
						 .out = engine_kind->output_chunks };

	if (engine_kind->prefixes && random_below(w, 100) >= (uint64_t)engine_kind->hot_percent)
		prefix = (int)random_below(w, (uint64_t)engine_kind->prefixes);
	if (engine_kind->prefixes)
		a.blocks[a.block_count++] =
		    (struct request_block){ (uint64_t)kind << 32 | (uint64_t)(prefix + 1),
					    engine_kind->shared_tokens };
	a.blocks[a.block_count++] =
	    (struct request_block){ UINT64_C(1) << 40 | ++w->own_id, engine_kind->own_tokens };
	for (int i = 0; i < a.block_count; i++) {
		submitted.id[i] = a.blocks[i].prefix_hash;
		submitted.tokens[i] = a.blocks[i].tokens;
		a.input_tokens += a.blocks[i].tokens;
	}
	submitted.blocks = a.block_count;
	a.host = "h";
	a.path = apr_psprintf(w->pool, "/%d/", kind);
	a.request_id = apr_psprintf(w->pool, "r%llu", (unsigned long long)a.token);
	input.args.forwarded_request = &a;
	hmput(w->requests, at_router(router, a.token), submitted);
	w->counts[kind].requests++;
	node_step(w, router, &input);
}

static void submit_due(struct engine_sim *engines)
{
	for (int k = 0; k < ENGINE_KINDS; k++) {
		if (!engines->settings.kind[k].interval_ms)
			continue;
		while (engines->due_at[k] <= (double)engines->now) {
			engines->due_at[k] += engines->settings.kind[k].interval_ms *
					      (0.5 + (double)random_below(engines, 1000) / 1000);
			ask(engines, k);
		}
	}
}

/* ---- what routers do ------------------------------------------------------------------------------ */

static void forwarded(struct engine_sim *engines, int i, const struct forward_command *f)
{
	ptrdiff_t at = hmgeti(engines->requests, at_router(i, f->client_token));
	struct happening happening = {
		.kind = HAPPENS_ARRIVES, .router = i, .server = atoi(f->server + 2), .call = f->call_token
	};
	typeof(engines->requests->value) *a = at < 0 ? NULL : &engines->requests[at].value;

	if (!a)
		return;
	happening.run = (struct run){ .router = i,
				      .kind = a->kind,
				      .call = f->call_token,
				      .blocks = a->blocks,
				      .from = f->fetch_source,
				      .out = a->out,
				      .prio = f->priority };
	memcpy(happening.run.id, a->id, sizeof happening.run.id);
	memcpy(happening.run.tokens, a->tokens, sizeof happening.run.tokens);
	apr_cpystrn(happening.run.name, f->cache_namespace ? f->cache_namespace : "",
		    sizeof happening.run.name);
	happening.status = atoi(f->weights);
	hmput(engines->calls, at_router(i, f->call_token), *a);
	later(engines, happening, LINK_MS);
}

/* A message is packed and unpacked, as between processes. */
static void message(struct engine_sim *engines, int i, const struct command *command)
{
	int64_t to = (int64_t)command->args.send.addr - ROUTER_ADDR;
	size_t n;
	uint8_t *d;

	if (to < 0 || to >= ENGINE_ROUTERS || engines->nodes[i].silent || engines->nodes[to].silent)
		return;
	n = nl__msg__get_packed_size(command->args.send.msg);
	d = malloc(n + 1);
	if (!d)
		abort();
	nl__msg__pack(command->args.send.msg, d);
	later(engines,
	      (struct happening){
		  .kind = HAPPENS_MESSAGE, .router = (int)to, .message = nl__msg__unpack(NULL, n, d) },
	      LINK_MS);
	free(d);
}

static void perform(struct engine_sim *w, int i)
{
	struct command_list *out = &w->nodes[i].out;

	for (ptrdiff_t n = 0; n < arrlen(out->commands); n++) {
		const struct command *k = &out->commands[n];

		switch (k->kind) {
		case CMD_SEND:
			message(w, i, k);
			break;
		case CMD_FORWARD:
			forwarded(w, i, k->args.forward);
			break;
		case CMD_WATCH_CACHE:
			arrput(w->watches,
			       ((struct watch){ i, atoi(k->args.watch_cache.server + 2),
						k->args.watch_cache.token, k->args.watch_cache.first_offset,
						w->now + WATCH_MS }));
			break;
		case CMD_ANSWER: {
			ptrdiff_t at = hmgeti(w->requests, at_router(i, k->args.answer.token));

			if (at >= 0)
				w->counts[w->requests[at].value.kind].refused++;
			break;
		}
		default:
			break;
		}
	}
	command_list_clear(out);
}

static int event_is_due(const struct engine_sim *engines, const struct engine *engine, uint64_t since)
{
	for (ptrdiff_t i = arrlen(engine->event) - 1; i >= 0; i--)
		if (engine->event[i].no > since && engine->event[i].at <= engines->now)
			return 1;
	return 0;
}

static void answer_watch(struct engine_sim *engines, const struct watch *watch)
{
	struct engine *engine = &engines->engines[watch->server];
	struct Nl__CacheUpdate update = NL__CACHE_UPDATE__INIT;
	struct router_event event = { .kind = ROUTER_EVENT_CACHE_WATCHED };
	apr_pool_t *pool;

	apr_pool_create(&pool, engines->pool);
	update.server = apr_psprintf(pool, "i-%d", watch->server);
	update.epoch = 1;
	update.next_offset = watch->since;
	update.events = apr_palloc(pool, ((size_t)arrlen(engine->event) + 1) * sizeof *update.events);
	for (ptrdiff_t i = 0; i < arrlen(engine->event); i++) {
		struct Nl__CacheEvent *cache_event;

		if (engine->event[i].no <= watch->since || engine->event[i].at > engines->now)
			continue;
		cache_event = apr_palloc(pool, sizeof *cache_event);
		nl__cache_event__init(cache_event);
		cache_event->cache_namespace = apr_pstrdup(pool, engine->event[i].name);
		cache_event->block_hash = engine->event[i].id;
		cache_event->evicted = engine->event[i].removed;
		cache_event->tokens = 1;
		update.events[update.n_events++] = cache_event;
		update.next_offset = engine->event[i].no;
	}
	event.args.cache_watched.token = watch->token;
	event.args.cache_watched.update = &update;
	event.args.cache_watched.status = 200;
	if (!engines->nodes[watch->router].silent)
		node_step(engines, watch->router, &event);
	apr_pool_destroy(pool);
}

static void watches_step(struct engine_sim *engines)
{
	for (ptrdiff_t i = arrlen(engines->watches) - 1; i >= 0; i--) {
		struct watch watch = engines->watches[i];

		if (engines->now < watch.until &&
		    !event_is_due(engines, &engines->engines[watch.server], watch.since))
			continue;
		arrdelswap(engines->watches, i);
		answer_watch(engines, &watch);
	}
}

/* ---- time ------------------------------------------------------------------------------------------- */

static void arrives(struct engine_sim *w, const struct happening *happening)
{
	struct engine *e = &w->engines[happening->server];
	struct run r = happening->run;

	r.at = w->now;
	if (e->stage == LOAD_LOADS || e->stage == LOAD_WAITS)
		report_ended(w, &r, FORWARD_NOT_STARTED, 503);
	else if (e->weights != happening->status)
		report_ended(w, &r, FORWARD_NOT_STARTED, 421);
	else
		arrput(e->run, r);
}

static void began(struct engine_sim *w, const struct happening *happening)
{
	ptrdiff_t at = hmgeti(w->calls, at_router(happening->router, happening->call));
	struct router_event event = { .kind = ROUTER_EVENT_FORWARD_STREAM_BEGAN };
	struct engine_counts *n;
	int ms;

	if (at >= 0) {
		n = &w->counts[w->calls[at].value.kind];
		ms = (int)(w->now - w->calls[at].value.at);
		n->first_chunks++;
		n->within_target += ms <= w->settings.kind[w->calls[at].value.kind].latency_target_ms;
		n->first_chunk_sum_ms += ms;
		arrput(n->first_chunk_ms, ms);
	}
	event.args.forward_began.token = happening->call;
	node_step(w, happening->router, &event);
}

static void ended(struct engine_sim *engines, const struct happening *happening)
{
	struct forward_result e = { .token = happening->call,
				    .end = happening->how,
				    .status = happening->status,
				    .has_stream_begun = happening->how == FORWARD_COMPLETE,
				    .is_wrong_incarnation = happening->status == 421 };
	struct router_event event = { .kind = ROUTER_EVENT_FORWARD_ENDED };
	ptrdiff_t at = hmgeti(engines->calls, at_router(happening->router, happening->call));

	if (at >= 0 && happening->how == FORWARD_COMPLETE)
		engines->counts[engines->calls[at].value.kind].ended++;
	(void)hmdel(engines->calls, at_router(happening->router, happening->call));
	event.args.forward_ended = &e;
	node_step(engines, happening->router, &event);
}

static void happens(struct engine_sim *engines, struct happening *happening)
{
	struct router_event event = { .kind = ROUTER_EVENT_MESSAGE };

	switch (happening->kind) {
	case HAPPENS_ARRIVES:
		arrives(engines, happening);
		break;
	case HAPPENS_BEGAN:
		began(engines, happening);
		break;
	case HAPPENS_ENDED:
		ended(engines, happening);
		break;
	case HAPPENS_MESSAGE:
		event.args.message = happening->message;
		node_step(engines, happening->router, &event);
		nl__msg__free_unpacked(happening->message, NULL);
		break;
	}
}

/* All that is due now, in the order in which it was said. */
static void happenings_step(struct engine_sim *engines)
{
	for (ptrdiff_t i = 0; i < arrlen(engines->happenings);) {
		struct happening happening = engines->happenings[i];

		if (happening.at > engines->now) {
			i++;
			continue;
		}
		arrdel(engines->happenings, i);
		happens(engines, &happening);
	}
}

void engine_run(struct engine_sim *engines, int64_t ms)
{
	for (int64_t end = engines->now + ms; engines->now < end; engines->now++) {
		if (engines->table_changed) {
			engines->table_changed = 0;
			engines->revision++;
			for (int i = 0; i < ENGINE_ROUTERS; i++)
				node_table(engines, i);
		}
		happenings_step(engines);
		for (int s = 0; s < ENGINE_SERVERS; s++)
			engine_step(engines, &engines->engines[s]);
		watches_step(engines);
		submit_due(engines);
		if (engines->target_weights > 1)
			roll_out(engines);
		for (int i = 0; i < ENGINE_ROUTERS; i++) {
			node_in_touch(engines, i);
			if ((engines->now + i) % TICK_MS == 0)
				node_step(engines, i, &(struct router_event){ .kind = ROUTER_EVENT_TICK });
		}
	}
}

struct engine_sim *engine_open(const struct engine_settings *settings)
{
	struct engine_sim *engines = calloc(1, sizeof *engines);
	uint64_t controller = 1;

	if (!engines)
		abort();
	apr_pool_create(&engines->pool, NULL);
	engines->settings = *settings;
	engines->rng = settings->seed;
	engines->now = 1000000;
	engines->target_weights = 1;
	engines->table_changed = 1;
	for (int k = 0; k < ENGINE_KINDS; k++)
		engines->due_at[k] = (double)engines->now + 500;
	for (int s = 0; s < ENGINE_SERVERS; s++) {
		engines->engines[s].weights = 1;
		engines->engines[s].reading = -1;
	}
	for (int i = 0; i < ENGINE_ROUTERS; i++) {
		struct router *router = &engines->nodes[i].router;

		apr_pool_create(&engines->nodes[i].out.pool, engines->pool);
		router_open(router, (uint64_t)i + 1, (uint64_t)i + ROUTER_ADDR, zone_name(zone_of(i)),
			    &controller, 1, engines->now);
		router->config.bounds.use_endpoint_list = 1;
		router->config.bounds.link_kbps = settings->link_kbps;
		router->config.bounds.disabled_mechanisms = settings->disabled_mechanisms;
		router->config.bounds.retry_budget_slack = 1000;
		router->config.bounds.retry_budget_permille = 200;
	}
	return engines;
}

void engine_close(struct engine_sim *engines)
{
	for (int i = 0; i < ENGINE_ROUTERS; i++) {
		router_close(&engines->nodes[i].router);
		arrfree(engines->nodes[i].out.commands);
	}
	for (int s = 0; s < ENGINE_SERVERS; s++) {
		arrfree(engines->engines[s].part);
		arrfree(engines->engines[s].event);
		arrfree(engines->engines[s].run);
	}
	for (ptrdiff_t i = 0; i < arrlen(engines->happenings); i++)
		if (engines->happenings[i].message)
			nl__msg__free_unpacked(engines->happenings[i].message, NULL);
	for (int k = 0; k < ENGINE_KINDS; k++)
		arrfree(engines->counts[k].first_chunk_ms);
	arrfree(engines->happenings);
	arrfree(engines->watches);
	hmfree(engines->requests);
	hmfree(engines->calls);
	hmfree(engines->prefix_uses);
	apr_pool_destroy(engines->pool);
	free(engines);
}

void engine_set_target(struct engine_sim *engines)
{
	engines->target_weights++;
	engines->table_changed = 1;
}

void engine_set_head_silent(struct engine_sim *engines, int zone, int silent)
{
	engines->nodes[head_of(zone)].silent = silent;
}

void engine_reset_counts(struct engine_sim *engines)
{
	for (int k = 0; k < ENGINE_KINDS; k++) {
		arrfree(engines->counts[k].first_chunk_ms);
		memset(&engines->counts[k], 0, sizeof engines->counts[k]);
	}
	engines->prefilled_tokens = engines->prefilled_again_tokens = 0;
}

const struct engine_counts *engine_counts(const struct engine_sim *engines, int kind)
{
	return &engines->counts[kind];
}
uint64_t engine_prefilled_again(const struct engine_sim *engines)
{
	return engines->prefilled_again_tokens;
}
uint64_t engine_prefilled(const struct engine_sim *engines)
{
	return engines->prefilled_tokens;
}
struct router *engine_router(struct engine_sim *engines, int i)
{
	return &engines->nodes[i].router;
}

static int compare_ints(const void *a, const void *b)
{
	int x = *(const int *)a, y = *(const int *)b;

	return (x > y) - (x < y);
}

int engine_percentile(const struct engine_sim *engines, int kind, int percent)
{
	const struct engine_counts *n = &engines->counts[kind];
	size_t count = (size_t)arrlen(n->first_chunk_ms);

	if (!count)
		return 0;
	qsort(n->first_chunk_ms, count, sizeof *n->first_chunk_ms, compare_ints);
	return n->first_chunk_ms[(count - 1) * (size_t)percent / 100];
}
