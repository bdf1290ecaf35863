/* router_cache_watch: watches servers' prefix caches. The head of a zone requests from each server the cache
 * events after the last one that it received. It applies them to the prefix index and queues them for the
 * zone (router_cache_feed.c); other routers apply the updates that the head sends. After missed events the
 * index entries of a server are unreliable: they are dropped, and the server's complete block list is
 * requested. */
#include "router_internal.h"

#include <limits.h>

#include "containers.h"
#include "config_row.h"

/* Number of servers whose complete block list may be requested at once. A router that starts needs the lists
 * of all servers; their replies would arrive together, and configuration messages must not be delayed by them
 * on a slow link. */
static int max_full_watches(const struct router *router)
{
	int64_t link_bytes = (int64_t)router->config.bounds.link_kbps / 8 * ROUTER_FULL_WATCH_MAX_LINK_MS;

	if (!router->config.bounds.link_kbps)
		return INT_MAX;
	return 1 + (int)(link_bytes / (int64_t)(router->cache.average_full_watch_bytes + 1));
}

static void watch_server(struct router *router, uint32_t server_index, int64_t now, struct command_list *out)
{
	struct router_server_state *server = &router->servers.states[server_index];
	struct command *command = command_add(out, CMD_WATCH_CACHE);

	server->watch_token = router_token_new(router);
	server->is_watch_full = !server->has_complete_block_list && !server->next_cache_event;
	server->last_watch_at_ms = now;
	router->stats.cache_watches++;
	command->args.watch_cache.token = server->watch_token;
	command->args.watch_cache.addr = server_config_of(router, server_index)->packed_addr;
	command->args.watch_cache.server = router->names.servers.names[server_index];
	command->args.watch_cache.first_offset = server->next_cache_event;
	command->args.watch_cache.wait_ms = ROUTER_CACHE_WATCH_WAIT_MS;
	command->args.watch_cache.wants_all_blocks = server->is_watch_full;
}

static bool needs_watch(const struct router *router, uint32_t server_index, int64_t now)
{
	const struct server_config *config = server_config_of(router, server_index);
	const struct router_server_state *server = &router->servers.states[server_index];

	return config->is_configured && !config->is_draining && !server->watch_token &&
	       now - server->last_watch_at_ms >= ROUTER_CACHE_WATCH_INTERVAL_MS &&
	       now >= server->unavailable_until_ms;
}

void router_start_cache_watches(struct router *router, int64_t now, struct command_list *out)
{
	const struct server_table *servers = router->config.server_table;
	int full_watch_count = 0, max_full_watch_count = max_full_watches(router);

	if (!servers || router->shutdown.in_progress || router->config.watch.upstream_count)
		return;
	if (config_watch_age_ms(&router->config.watch, now) > router_max_staleness_ms(router))
		return;
	for (uint32_t s = 0; s < servers->server_count; s++)
		full_watch_count +=
		    router->servers.states[s].watch_token && !router->servers.states[s].next_cache_event;
	for (uint32_t s = 0; s < servers->server_count; s++) {
		const struct router_server_state *server = &router->servers.states[s];

		if (!needs_watch(router, s, now) ||
		    (!server->next_cache_event && full_watch_count >= max_full_watch_count))
			continue;
		full_watch_count += !server->next_cache_event;
		watch_server(router, s, now, out);
	}
}

/* ---- watch replies --------------------------------------------------------------------------- */

static void update_average_full_watch_bytes(struct router *router, const struct Nl__CacheUpdate *update)
{
	double bytes = ROUTER_CACHE_EVENT_BYTES * (double)update->n_events;

	router->cache.average_full_watch_bytes += (bytes - router->cache.average_full_watch_bytes) / 4;
}

static void add_block_to_index(struct router *router, uint32_t server_index, uint64_t key,
			       uint64_t namespace_key)
{
	struct block_replica replica = {
		server_index,
		0,
		server_config_of(router, server_index)->service_index,
		router->servers.states[server_index].weights_index,
		0,
		namespace_key,
	};

	if (router->cache.index.replica_count < ROUTER_MAX_INDEXED_REPLICAS)
		prefix_index_put(&router->cache.index, key, &replica);
}

static void on_block_added(struct router *router, uint32_t server_index, uint64_t key, uint64_t namespace_key)
{
	router->stats.cache_events++;
	add_block_to_index(router, server_index, key, namespace_key);
}

static void on_block_removed(struct router *router, uint32_t server_index, uint64_t key)
{
	router->stats.cache_events++;
	prefix_index_remove(&router->cache.index, key, server_index);
}

/* Applies one cache event of a server. */
static void apply_cache_event(struct router *router, uint32_t server_index,
			      const struct Nl__CacheEvent *event)
{
	uint64_t key = router_block_key(core_hash_string(0, event->cache_namespace), event->block_hash);

	if (event->evicted)
		on_block_removed(router, server_index, key);
	else
		on_block_added(router, server_index, key,
			       router_namespace_key_from_text(event->cache_namespace));
}

/* Applies the blocks added and removed at one server. */
static void apply_cache_update(struct router *router, uint32_t server_index,
			       const struct Nl__CacheUpdate *update)
{
	for (size_t i = 0; i < update->n_present; i++)
		add_block_to_index(router, server_index, update->present[i], 0);
	for (size_t i = 0; i < update->n_events; i++)
		apply_cache_event(router, server_index, update->events[i]);
	for (size_t i = 0; i < update->n_added; i++)
		on_block_added(router, server_index, update->added[i],
			       i < update->n_added_namespace_keys ? update->added_namespace_keys[i] : 0);
	for (size_t i = 0; i < update->n_removed; i++)
		on_block_removed(router, server_index, update->removed[i]);
}

void router_on_cache_update(struct router *router, const struct Nl__CacheUpdate *update, int64_t now)
{
	const struct server_table *servers = router->config.server_table;
	int server_index = names_find(&router->names.servers, update->server);
	struct router_server_state *server;

	if (server_index < 0 || !servers || (uint32_t)server_index >= servers->server_count ||
	    !servers->servers[server_index].is_configured)
		return;
	server = &router->servers.states[server_index];
	server->last_cache_update_at_ms = now;
	if (update->events_lost || (server->cache_epoch && server->cache_epoch != update->epoch))
		prefix_index_remove_unreported(&router->cache.index, (uint32_t)server_index, UINT64_MAX);
	server->cache_epoch = update->epoch;
	if (!update->n_present || update->next_offset > server->next_cache_event)
		server->next_cache_event = update->next_offset;
	apply_cache_update(router, (uint32_t)server_index, update);
}

static void on_watch_reply(struct router *router, uint32_t server_index, const struct Nl__CacheUpdate *update,
			   int status, int64_t now)
{
	struct router_server_state *server = &router->servers.states[server_index];

	server->watch_token = 0;
	server->last_watch_at_ms = now;
	if (status != 200 || !update) {
		/* the server has too many watchers, or it is removed */
		server->last_watch_at_ms = now + ROUTER_REPORT_POLL_INTERVAL_MS;
		return;
	}
	if (server->is_watch_full)
		update_average_full_watch_bytes(router, update);
	server->has_complete_block_list =
	    server->is_watch_full || (server->has_complete_block_list && !update->events_lost);
	router_feed_add(router, server_index, update);
	router_on_cache_update(router, update, now);
	if (update->events_lost && !server->is_watch_full)
		server->next_cache_event = 0; /* the next watch requests the complete block list */
}

void router_on_cache_watch_reply(struct router *router, uint64_t token, const struct Nl__CacheUpdate *update,
				 int status, int64_t now)
{
	const struct server_table *servers = router->config.server_table;

	for (uint32_t s = 0; servers && s < servers->server_count; s++)
		if (router->servers.states[s].watch_token == token) {
			on_watch_reply(router, s, update, status, now);
			return;
		}
}
