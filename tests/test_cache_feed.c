/* The head of a zone passes on what servers keep: all of it reaches every downstream router in the end, also
 * one that is new, and it takes no more of the head's link than its share. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <cmocka.h>

#include "containers.h"
#include "router_internal.h"
#include "router_fixture.h"

enum {
	SERVERS = 30,
	FOLLOWERS = 6,
	BLOCKS = 400,
	TICK_MS = 25,
	LINK_KBPS = 2000,
	SHARE_BYTES_MS = LINK_KBPS * 40 / 100 / 8,
	SLACK_BYTES = SHARE_BYTES_MS * 100 +
		      FOLLOWERS * 20000, /* a burst, and one message that was larger than a burst */
	BUSY_MS = 20000,
	QUIET_MS = 30000
};

struct node {
	struct router router;
	struct command_list out;
};

struct zone {
	struct node node[1 + FOLLOWERS]; /* the head first */
	apr_pool_t *pool;
	uint64_t rng, epoch[SERVERS], next[SERVERS];
	int64_t now, bytes, began;
	int busy, followers;
};

static uint64_t seeds_of(uint64_t n, uint64_t *first)
{
	*first = getenv("NL_SEED") ? strtoull(getenv("NL_SEED"), NULL, 10) : 1;
	return getenv("NL_SEEDS") ? strtoull(getenv("NL_SEEDS"), NULL, 10) : n;
}

static uint64_t random_below(struct zone *zone, uint64_t n)
{
	return core_random(&zone->rng) % n;
}

static void node_step(struct zone *zone, int i, const struct router_event *event)
{
	router_step(&zone->node[i].router, event, zone->now, &zone->node[i].out);
}

static void node_message(struct zone *zone, int i, struct Nl__Msg *message)
{
	struct router_event event = { .kind = ROUTER_EVENT_MESSAGE };

	event.args.message = message;
	message->protocol_version = CORE_PROTOCOL_VERSION;
	node_step(zone, i, &event);
}

/* One service and its servers, as the configuration's leader says them. */
static void node_table(struct zone *zone, int i)
{
	struct Nl__Msg msg = NL__MSG__INIT;
	struct Nl__ConfigSyncReply reply = NL__CONFIG_SYNC_REPLY__INIT;
	struct Nl__Row row = NL__ROW__INIT, *rows[1] = { &row };
	struct Nl__Instance *instances[SERVERS];

	for (int k = 0; k < SERVERS; k++)
		instances[k] = new_instance(zone->pool, (k + i) % SERVERS,
					    "pool"); /* each router numbers them otherwise */
	row.kind = NL__KIND__SERVICE;
	row.name = "pool";
	row.target_weights = "w1";
	row.prefill_tokens_per_ms = 20;
	node_step(zone, i, &(struct router_event){ .kind = ROUTER_EVENT_TICK });
	reply.token = zone->node[i].router.config.watch.last_token;
	reply.has_lease = reply.full = reply.instances_full = 1;
	reply.fleet_id = 7;
	reply.revision = reply.instances_stamp = 1;
	reply.set = rows;
	reply.n_set = 1;
	reply.instances = instances;
	reply.n_instances = SERVERS;
	reply.router_count = 1 + FOLLOWERS;
	msg.body_case = NL__MSG__BODY_CONFIG_SYNC_REPLY;
	msg.config_sync_reply = &reply;
	msg.addr = msg.id = 1;
	node_message(zone, i, &msg);
	command_list_clear(&zone->node[i].out);
}

static void zone_open(struct zone *zone, uint64_t seed, int link_kbps)
{
	uint64_t controller = 1;

	memset(zone, 0, sizeof *zone);
	apr_pool_create(&zone->pool, NULL);
	zone->rng = seed;
	zone->now = zone->began = 1000000;
	zone->busy = 1;
	for (int s = 0; s < SERVERS; s++)
		zone->epoch[s] = 1;
	for (int i = 0; i <= FOLLOWERS; i++) {
		apr_pool_create(&zone->node[i].out.pool, zone->pool);
		router_open(&zone->node[i].router, (uint64_t)i + 1, (uint64_t)i + 1001, "z1", &controller, 1,
			    zone->now);
		zone->node[i].router.config.bounds.use_endpoint_list = 1;
		zone->node[i].router.config.bounds.link_kbps = link_kbps;
		node_table(zone, i);
	}
}

static void zone_close(struct zone *zone)
{
	for (int i = 0; i <= FOLLOWERS; i++) {
		router_close(&zone->node[i].router);
		arrfree(zone->node[i].out.commands);
	}
	apr_pool_destroy(zone->pool);
}

static struct Nl__CacheEvent *event_new(apr_pool_t *pool, const char *cache_namespace, uint64_t part,
					int removed)
{
	struct Nl__CacheEvent *cache_event = apr_palloc(pool, sizeof *cache_event);

	nl__cache_event__init(cache_event);
	cache_event->cache_namespace = apr_pstrdup(pool, cache_namespace);
	cache_event->block_hash = part;
	cache_event->evicted = removed;
	cache_event->tokens = 10;
	return cache_event;
}

/* A server answers a watch: some events, none, or that some are missed; it may also have begun anew. */
static void answer_watch(struct zone *zone, uint64_t token, int server, apr_pool_t *pool)
{
	struct Nl__CacheUpdate update = NL__CACHE_UPDATE__INIT;
	struct router_event event = { .kind = ROUTER_EVENT_CACHE_WATCHED };
	size_t n = zone->busy ? random_below(zone, 40) : 0;

	update.server = apr_psprintf(pool, "i-%d", server);
	if (zone->busy && !random_below(zone, 200)) {
		zone->epoch[server]++;
		zone->next[server] = 0;
	}
	update.events_lost = zone->busy && !random_below(zone, 100);
	update.epoch = zone->epoch[server];
	update.next_offset = zone->next[server] += n;
	update.events = apr_palloc(pool, (n + 1) * sizeof *update.events);
	for (; update.n_events < n; update.n_events++) {
		const char *cache_namespace = random_below(zone, 2) ? "w1-a" : "w1-b~0000000700000002";

		update.events[update.n_events] =
		    event_new(pool, cache_namespace, 1 + random_below(zone, BLOCKS), !random_below(zone, 3));
	}
	event.args.cache_watched.token = token;
	event.args.cache_watched.update = &update;
	event.args.cache_watched.status = 200;
	node_step(zone, 0, &event);
}

/* A server answers a watch with so many events of parts that it keeps. */
static void answer_all(struct zone *zone, uint64_t token, int server, size_t events)
{
	struct Nl__CacheUpdate update = NL__CACHE_UPDATE__INIT;
	struct router_event event = { .kind = ROUTER_EVENT_CACHE_WATCHED };
	apr_pool_t *pool;

	apr_pool_create(&pool, zone->pool);
	update.server = apr_psprintf(pool, "i-%d", server);
	update.epoch = 1;
	update.next_offset = zone->next[server] += events;
	update.events = apr_palloc(pool, events * sizeof *update.events);
	for (; update.n_events < events; update.n_events++)
		update.events[update.n_events] = event_new(pool, "w1-a", 1 + random_below(zone, BLOCKS), 0);
	event.args.cache_watched.token = token;
	event.args.cache_watched.update = &update;
	event.args.cache_watched.status = 200;
	node_step(zone, 0, &event);
	apr_pool_destroy(pool);
}

/* What the head has sent and asked for in its last step. */
static void head_performs(struct zone *zone)
{
	struct node *head = &zone->node[0];
	struct command *command = NULL;
	apr_pool_t *pool = head->out.pool;

	apr_pool_create(&head->out.pool, zone->pool);
	for (ptrdiff_t i = 0; i < arrlen(head->out.commands); i++)
		arrput(command, head->out.commands[i]);
	arrsetlen(head->out.commands, 0);
	for (ptrdiff_t i = 0; i < arrlen(command); i++) {
		if (command[i].kind == CMD_WATCH_CACHE)
			answer_watch(zone, command[i].args.watch_cache.token,
				     atoi(command[i].args.watch_cache.server + 2), pool);
		if (command[i].kind != CMD_SEND ||
		    command[i].args.send.msg->body_case != NL__MSG__BODY_CACHE_UPDATE_BATCH)
			continue;
		zone->bytes += (int64_t)nl__msg__get_packed_size(command[i].args.send.msg);
		node_message(zone, (int)(command[i].args.send.addr - 1001), command[i].args.send.msg);
		command_list_clear(&zone->node[command[i].args.send.addr - 1001].out);
	}
	arrfree(command);
	apr_pool_destroy(pool);
}

/* A router downstream says that it is there; one that is new is told all that the head knows. */
static void zone_keeps_downstream(struct zone *zone)
{
	struct relay *relay = &zone->node[0].router.relay;

	while (arrlen(relay->downstreams) < zone->followers) {
		struct relay_downstream down = { 0 };

		down.id = (uint64_t)arrlen(relay->downstreams) + 2;
		down.addr = down.id + 1000;
		arrput(relay->downstreams, down);
	}
	for (ptrdiff_t i = 0; i < arrlen(relay->downstreams); i++)
		relay->downstreams[i].last_contact_at_ms = zone->now;
}

static void zone_run(struct zone *zone, int64_t ms)
{
	for (int64_t end = zone->now + ms; zone->now < end; zone->now += TICK_MS) {
		zone_keeps_downstream(zone);
		for (int i = 0; i <= FOLLOWERS; i++) {
			zone->node[i].router.config.watch.confirmed_at_ms = zone->now;
			zone->node[i].router.config.watch.upstream_count = i > 0;
		}
		node_step(zone, 0, &(struct router_event){ .kind = ROUTER_EVENT_TICK });
		head_performs(zone);
	}
}

static size_t copies_at(struct router *router, const char *server, uint64_t key)
{
	struct block_replica *replica = prefix_index_find(&router->cache.index, key);
	size_t n = 0;

	for (ptrdiff_t k = 0; k < arrlen(replica); k++)
		n += !strcmp(router->names.servers.names[replica[k].server_index], server);
	return n;
}

static void assert_same_index(struct zone *zone, int follower)
{
	struct router *head = &zone->node[0].router, *other = &zone->node[follower].router;

	assert_int_equal(other->cache.index.replica_count, head->cache.index.replica_count);
	for (ptrdiff_t i = 0; i < hmlen(head->cache.index.blocks); i++)
		for (ptrdiff_t k = 0; k < arrlen(head->cache.index.blocks[i].value); k++) {
			const struct block_replica *replica = &head->cache.index.blocks[i].value[k];

			assert_int_equal(copies_at(other, head->names.servers.names[replica->server_index],
						   head->cache.index.blocks[i].key),
					 1);
		}
}

/* Servers that change what they keep all the time, are lost track of and begin anew; routers that come one
 * after the other. */
static void every_follower_ends_with_the_heads_index(void **state)
{
	uint64_t first, n = seeds_of(6, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + n; seed++) {
		struct zone zone;

		zone_open(&zone, seed, seed % 2 ? LINK_KBPS : 0);
		for (zone.followers = 1; zone.followers < FOLLOWERS; zone.followers++)
			zone_run(&zone, BUSY_MS / FOLLOWERS);
		zone_run(&zone, BUSY_MS / FOLLOWERS);
		zone.busy = 0;
		zone_run(&zone, QUIET_MS);
		assert_true(zone.node[0].router.cache.index.replica_count > 1000);
		for (int i = 1; i <= FOLLOWERS; i++)
			assert_same_index(&zone, i);
		zone_close(&zone);
	}
}

/* However much servers change, the feed leaves the rest of the link to others. */
static void the_feed_keeps_to_its_share_of_the_link(void **state)
{
	uint64_t first, n = seeds_of(3, &first);

	(void)state;
	for (uint64_t seed = first; seed < first + n; seed++) {
		struct zone zone;
		int64_t most = 0;

		zone_open(&zone, seed, LINK_KBPS);
		zone.followers = FOLLOWERS;
		while (zone.now - zone.began < BUSY_MS) {
			zone_run(&zone, TICK_MS);
			most = zone.bytes - (zone.now - zone.began) * SHARE_BYTES_MS > most
				   ? zone.bytes - (zone.now - zone.began) * SHARE_BYTES_MS
				   : most;
		}
		print_message("%lld bytes/s of %d, at most %lld bytes ahead\n",
			      (long long)(zone.bytes * 1000 / BUSY_MS), SHARE_BYTES_MS * 1000,
			      (long long)most);
		assert_true(most <= SLACK_BYTES);
		assert_true(zone.bytes > 0);
		zone_close(&zone);
	}
}

/* A router that becomes the head and knows nothing yet asks servers for all that they name: so few at once
 * that its link is not full for long, and all of them before long. */
static void a_new_head_asks_few_servers_at_once(void **state)
{
	enum { ANSWER_EVENTS = 500, ANSWER_MS = 150, WITHIN_MS = 8000, MOST_MS = 300 };

	(void)state;
	for (int link_kbps = 0; link_kbps <= 20 * LINK_KBPS; link_kbps += 5 * LINK_KBPS) {
		struct zone zone;
		struct router *head = &zone.node[0].router;
		int most = 0, open = 0,
		    bound = link_kbps ? MOST_MS * link_kbps / 8 / (50 * ANSWER_EVENTS) : SERVERS;

		zone_open(&zone, 3, link_kbps);
		head->config.watch.upstream_count = 0;
		for (int64_t end = zone.now + WITHIN_MS; zone.now < end; zone.now += TICK_MS) {
			head->config.watch.confirmed_at_ms = zone.now;
			node_step(&zone, 0, &(struct router_event){ .kind = ROUTER_EVENT_TICK });
			open = 0;
			for (int s = 0; s < SERVERS; s++)
				open += head->servers.states[s].watch_token &&
					!head->servers.states[s].next_cache_event;
			most = open > most ? open : most;
			for (int s = 0; s < SERVERS; s++) {
				struct router_server_state *server = &head->servers.states[s];

				if (server->watch_token && zone.now - server->last_watch_at_ms >= ANSWER_MS)
					answer_all(&zone, server->watch_token,
						   atoi(head->names.servers.names[s] + 2), ANSWER_EVENTS);
			}
			command_list_clear(&zone.node[0].out);
		}
		assert_true(most <= (bound < 1 ? 1 : bound));
		for (int s = 0; s < SERVERS; s++)
			assert_true(head->servers.states[s].next_cache_event > 0);
		zone_close(&zone);
	}
}

static int watch_of(const struct node *head, const char *server, uint64_t *token)
{
	for (ptrdiff_t i = 0; i < arrlen(head->out.commands); i++) {
		const struct command *command = &head->out.commands[i];

		if (command->kind != CMD_WATCH_CACHE || strcmp(command->args.watch_cache.server, server))
			continue;
		*token = command->args.watch_cache.token;
		return command->args.watch_cache.wants_all_blocks;
	}
	return -1;
}

/* The head asks a server for all that it keeps once, then for what has changed, and again for all where it
 * has missed events. */
static void cached_blocks_are_listed_once(void **state)
{
	static const struct {
		int lost, all_next;
	} answers[] = { { 0, 0 }, { 0, 0 }, { 1, 1 }, { 1, 0 }, { 0, 0 } };
	struct zone zone;
	uint64_t token;

	(void)state;
	zone_open(&zone, 5, 0);
	zone.node[0].router.config.watch.upstream_count = 0;
	zone.node[0].router.config.watch.confirmed_at_ms = zone.now;
	node_step(&zone, 0, &(struct router_event){ .kind = ROUTER_EVENT_TICK });
	assert_int_equal(watch_of(&zone.node[0], "i-3", &token), 1);
	for (size_t i = 0; i < sizeof answers / sizeof *answers; i++) {
		struct Nl__CacheUpdate update = NL__CACHE_UPDATE__INIT;
		struct router_event event = { .kind = ROUTER_EVENT_CACHE_WATCHED };

		command_list_clear(&zone.node[0].out);
		update.server = "i-3";
		update.epoch = 1;
		update.next_offset = i + 1;
		update.events_lost = answers[i].lost;
		event.args.cache_watched.token = token;
		event.args.cache_watched.update = &update;
		event.args.cache_watched.status = 200;
		node_step(&zone, 0, &event);
		zone.now += ROUTER_CACHE_WATCH_INTERVAL_MS + TICK_MS;
		zone.node[0].router.config.watch.confirmed_at_ms = zone.now;
		node_step(&zone, 0, &(struct router_event){ .kind = ROUTER_EVENT_TICK });
		assert_int_equal(watch_of(&zone.node[0], "i-3", &token), answers[i].all_next);
	}
	zone_close(&zone);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(every_follower_ends_with_the_heads_index),
		cmocka_unit_test(the_feed_keeps_to_its_share_of_the_link),
		cmocka_unit_test(a_new_head_asks_few_servers_at_once),
		cmocka_unit_test(cached_blocks_are_listed_once),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
