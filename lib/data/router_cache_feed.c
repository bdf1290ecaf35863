/* router_cache_feed: sends changes of the blocks that servers cache from the head of a zone to the zone's
 * other routers. Only the head watches servers. It would forward each event once for each router of the zone,
 * so its own link is the bottleneck. Events are therefore queued here, and the newest event of each block
 * replaces older ones. They are sent at the rate that a share of the link allows, because traffic of clients
 * and of the configuration shares that link and must not be delayed. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

enum {
	FEED_LINK_SHARE_PERCENT = 40, /* share of the link for all downstream routers together */
	FEED_MESSAGE_MAX_MS = 100,    /* longest time in which the share carries one message to all of them */
	FEED_INDEX_ROWS_PER_MESSAGE = 2048 /* rows of the index in one message to a new router */
};

/* Bytes per ms that the feed may send; 0: the link's bandwidth is not configured. */
static int64_t feed_bytes_per_ms(const struct router *router)
{
	return (int64_t)router->config.bounds.link_kbps * FEED_LINK_SHARE_PERCENT / 100 / 8;
}

/* Records that a message was sent to a number of routers: the feed sends no more until its share of the link
 * has carried it. */
static void record_feed_bytes(struct router *router, const struct Nl__CacheUpdateBatch *batch,
			      ptrdiff_t router_count, int64_t now)
{
	int64_t bytes_per_ms = feed_bytes_per_ms(router),
		bytes = (int64_t)nl__cache_update_batch__get_packed_size(batch) * router_count;

	if (router->feed.link_free_at_ms < now)
		router->feed.link_free_at_ms = now;
	if (bytes_per_ms)
		router->feed.link_free_at_ms += bytes / bytes_per_ms;
}

/* ---- queued events --------------------------------------------------------------------------- */

static void pending_update_clear(struct pending_cache_update *pending)
{
	hmfree(pending->events);
	memset(pending, 0, sizeof *pending);
}

void router_feed_clear(struct router *router)
{
	for (ptrdiff_t i = 0; i < arrlen(router->servers.states); i++)
		pending_update_clear(&router->servers.states[i].pending_update);
	arrfree(router->feed.unsent_servers);
}

static void add_pending_event(struct pending_cache_update *pending, const struct Nl__CacheEvent *event)
{
	uint64_t key = router_block_key(core_hash_string(0, event->cache_namespace), event->block_hash);
	typeof(pending->events->value) value = { router_namespace_key_from_text(event->cache_namespace),
						 event->evicted };

	hmput(pending->events, key, value);
}

void router_feed_add(struct router *router, uint32_t server_index, const struct Nl__CacheUpdate *update)
{
	struct router_server_state *server = &router->servers.states[server_index];
	struct pending_cache_update *pending = &server->pending_update;
	bool is_reset = update->events_lost || (server->cache_epoch && server->cache_epoch != update->epoch);
	bool is_store = server_config_of(router, server_index)->is_store;

	/* each update of a store is forwarded, even without events, because it shows that the store is up */
	if (!arrlen(router->relay.downstreams) || (!update->n_events && !is_reset && !is_store))
		return;
	if (is_reset) {
		hmfree(pending->events);
		pending->is_reset = true;
	}
	pending->epoch = update->epoch;
	pending->next_event = update->next_offset;
	for (size_t i = 0; i < update->n_events; i++)
		add_pending_event(pending, update->events[i]);
	if (!pending->is_queued)
		arrput(router->feed.unsent_servers, server_index);
	pending->is_queued = true;
}

/* ---- to all downstream routers --------------------------------------------------------------- */

/* Builds the message of one server's queued events. It holds only keys, which is all that the index needs. */
static struct Nl__CacheUpdate *new_pending_update_message(const struct router *router, uint32_t server_index,
							  struct command_list *out)
{
	const struct pending_cache_update *pending = &router->servers.states[server_index].pending_update;
	struct Nl__CacheUpdate *update = MESSAGE_NEW(out, Nl__CacheUpdate, NL__CACHE_UPDATE__INIT);
	size_t n = (size_t)hmlen(pending->events);
	bool has_namespace_keys = false;

	update->server = apr_pstrdup(out->pool, router->names.servers.names[server_index]);
	update->epoch = pending->epoch;
	update->next_offset = pending->next_event;
	update->events_lost = pending->is_reset;
	update->added = apr_palloc(out->pool, (n + 1) * sizeof *update->added);
	update->added_namespace_keys = apr_palloc(out->pool, (n + 1) * sizeof *update->added_namespace_keys);
	update->removed = apr_palloc(out->pool, (n + 1) * sizeof *update->removed);
	for (size_t i = 0; i < n; i++) {
		if (pending->events[i].value.evicted) {
			update->removed[update->n_removed++] = pending->events[i].key;
			continue;
		}
		update->added_namespace_keys[update->n_added] = pending->events[i].value.namespace_key;
		has_namespace_keys |= pending->events[i].value.namespace_key != 0;
		update->added[update->n_added++] = pending->events[i].key;
	}
	update->n_added_namespace_keys = has_namespace_keys ? update->n_added : 0;
	return update;
}

/* Sends the queued events of the servers that were queued first, as many as one message may hold. */
static void publish_updates(struct router *router, int64_t now, struct command_list *out)
{
	ptrdiff_t router_count = arrlen(router->relay.downstreams), sent_count = 0;
	int64_t max_bytes = router_count ? feed_bytes_per_ms(router) * FEED_MESSAGE_MAX_MS / router_count : 0,
		bytes = 0;
	struct Nl__CacheUpdateBatch *batch =
	    MESSAGE_NEW(out, Nl__CacheUpdateBatch, NL__CACHE_UPDATE_BATCH__INIT);

	batch->updates = apr_palloc(out->pool, (size_t)arrlen(router->feed.unsent_servers) *
						   sizeof(struct Nl__CacheUpdate *));
	for (; sent_count < arrlen(router->feed.unsent_servers) && (!max_bytes || bytes < max_bytes);
	     sent_count++) {
		uint32_t server_index = router->feed.unsent_servers[sent_count];

		if (server_config_of(router, server_index)->is_configured) {
			struct Nl__CacheUpdate *update =
			    new_pending_update_message(router, server_index, out);

			bytes += (int64_t)nl__cache_update__get_packed_size(update);
			batch->updates[batch->n_updates++] = update;
		}
		pending_update_clear(&router->servers.states[server_index].pending_update);
	}
	arrdeln(router->feed.unsent_servers, 0, sent_count);
	if (!batch->n_updates)
		return;
	for (ptrdiff_t i = 0; i < router_count; i++)
		command_send(out, router->relay.downstreams[i].addr, 0, NL__MSG__BODY_CACHE_UPDATE_BATCH)
		    ->cache_update_batch = batch;
	record_feed_bytes(router, batch, router_count, now);
}

/* ---- index for new routers ------------------------------------------------------------------- */

/* A range of index rows that is being copied into one message. */
struct index_excerpt {
	struct Nl__CacheUpdateBatch *batch;
	struct Nl__CacheUpdate **by_server; /* by server index; NULL: no update of this server yet */
};

/* Finds the update of a server in the message; adds it if there is none. */
static struct Nl__CacheUpdate *find_or_add_update(const struct router *router, struct index_excerpt *excerpt,
						  uint32_t server_index, struct command_list *out)
{
	struct Nl__CacheUpdate *update = excerpt->by_server[server_index];

	if (update)
		return update;
	update = MESSAGE_NEW(out, Nl__CacheUpdate, NL__CACHE_UPDATE__INIT);
	update->server = apr_pstrdup(out->pool, router->names.servers.names[server_index]);
	update->epoch = router->servers.states[server_index].cache_epoch;
	update->next_offset = router->servers.states[server_index].next_cache_event;
	excerpt->by_server[server_index] = update;
	excerpt->batch->updates[excerpt->batch->n_updates++] = update;
	return update;
}

/* Counts the replicas of one index row in the updates of their servers; with must_store_keys it also stores
 * their keys. */
static void add_index_row(const struct router *router, struct index_excerpt *excerpt,
			  const struct prefix_index_row *row, bool must_store_keys, struct command_list *out)
{
	for (ptrdiff_t i = 0; i < arrlen(row->value); i++) {
		uint32_t s = row->value[i].server_index;
		struct Nl__CacheUpdate *update;

		if (s >= router->config.server_table->server_count ||
		    !server_config_of(router, s)->is_configured || !router->servers.states[s].cache_epoch)
			continue;
		update = find_or_add_update(router, excerpt, s, out);
		if (must_store_keys)
			update->present[update->n_present] = row->key;
		update->n_present++;
	}
}

/* Builds the message for rows [begin, end) of the index, with one update for each server. */
static struct Nl__CacheUpdateBatch *new_index_message(struct router *router, ptrdiff_t begin, ptrdiff_t end,
						      struct command_list *out)
{
	uint32_t server_count = router->config.server_table->server_count;
	struct Nl__CacheUpdateBatch *batch =
	    MESSAGE_NEW(out, Nl__CacheUpdateBatch, NL__CACHE_UPDATE_BATCH__INIT);
	struct index_excerpt excerpt = { batch, apr_pcalloc(out->pool,
							    (server_count + 1) * sizeof *excerpt.by_server) };

	batch->updates = apr_palloc(out->pool, (server_count + 1) * sizeof *batch->updates);
	for (ptrdiff_t i = begin; i < end; i++)
		add_index_row(router, &excerpt, &router->cache.index.blocks[i], false, out);
	for (size_t i = 0; i < batch->n_updates; i++) {
		struct Nl__CacheUpdate *update = batch->updates[i];

		update->present = apr_palloc(out->pool, update->n_present * sizeof *update->present);
		update->n_present = 0;
	}
	for (ptrdiff_t i = begin; i < end; i++)
		add_index_row(router, &excerpt, &router->cache.index.blocks[i], true, out);
	return batch;
}

/* Sends the next range of the index to a router that joined or rejoined the zone. Such a router receives only
 * later changes, so the complete index is sent to it once; otherwise it would have prompts prefilled again
 * that are cached. It adds the rows to its own index. The index is sent from its end: rows that a deletion
 * moves meanwhile are sent twice rather than never. */
static void publish_index(struct router *router, struct relay_downstream *downstream, int64_t now,
			  struct command_list *out)
{
	ptrdiff_t row_count = hmlen(router->cache.index.blocks), begin;
	struct Nl__CacheUpdateBatch *batch;

	if (!downstream->cache_feed_started || downstream->cache_feed_remaining > row_count)
		downstream->cache_feed_remaining = row_count;
	downstream->cache_feed_started = 1;
	begin = downstream->cache_feed_remaining > FEED_INDEX_ROWS_PER_MESSAGE
		    ? downstream->cache_feed_remaining - FEED_INDEX_ROWS_PER_MESSAGE
		    : 0;
	batch = new_index_message(router, begin, downstream->cache_feed_remaining, out);
	downstream->cache_feed_remaining = begin;
	if (!batch->n_updates)
		return;
	command_send(out, downstream->addr, 0, NL__MSG__BODY_CACHE_UPDATE_BATCH)->cache_update_batch = batch;
	record_feed_bytes(router, batch, 1, now);
}

static struct relay_downstream *next_downstream_without_index(struct router *router)
{
	for (ptrdiff_t i = 0; i < arrlen(router->relay.downstreams); i++)
		if (!router->relay.downstreams[i].cache_feed_started ||
		    router->relay.downstreams[i].cache_feed_remaining)
			return &router->relay.downstreams[i];
	return NULL;
}

/* Whether this router is the head of a zone that has other routers. */
static bool is_feeding_zone(const struct router *router)
{
	return router->config.server_table && !router->config.watch.upstream_count &&
	       arrlen(router->relay.downstreams) && mechanism_in_use(router, MECHANISM_CACHE_FEED);
}

void router_feed_tick(struct router *router, int64_t now, struct command_list *out)
{
	struct relay_downstream *downstream;

	if (!is_feeding_zone(router)) {
		if (arrlen(router->feed.unsent_servers))
			router_feed_clear(router);
		return;
	}
	if (now < router->feed.link_free_at_ms)
		return;
	if (arrlen(router->feed.unsent_servers) &&
	    now - router->feed.sent_at_ms >=
		router_scaled_interval_ms(router, ROUTER_CACHE_FEED_INTERVAL_MS)) {
		router->feed.sent_at_ms = now;
		publish_updates(router, now, out);
		return;
	}
	downstream = next_downstream_without_index(router);
	if (downstream)
		publish_index(router, downstream, now, out);
}
