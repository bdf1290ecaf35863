/* router_kept_feed: what the head of a zone tells its downstream routers of the prompt parts that servers
 * keep. The head alone watches servers; each of their events would be sent on once for each router of the
 * zone, so the head's own link is the bound. Events wait here, the newest of each part in place of older
 * ones, and leave as fast as a share of the link carries them: what callers and the configuration send shares
 * that link and must not wait behind them. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

enum {
	FEED_SHARE_PERCENT = 40, /* of the link, for all downstream routers together */
	FEED_BURST_MS = 100,     /* of that share which one message to all of them may take */
	FEED_INDEX_ROWS = 2048   /* rows of the index in one message to a router that is new */
};

/* Bytes that the feed may send in a ms; 0: the link has no bound that we know. */
static int64_t feed_bytes_per_ms(const struct router *router)
{
	return (int64_t)router->config.bounds.link_kbps * FEED_SHARE_PERCENT / 100 / 8;
}

/* A message of this size has been given to so many routers: no more before the link's share has carried it.
 */
static void feed_spent(struct router *router, const struct Nl__CacheUpdateBatch *message, ptrdiff_t routers,
		       int64_t now)
{
	int64_t rate = feed_bytes_per_ms(router),
		bytes = (int64_t)nl__cache_update_batch__get_packed_size(message) * routers;

	if (router->feed.link_free_at_ms < now)
		router->feed.link_free_at_ms = now;
	if (rate)
		router->feed.link_free_at_ms += bytes / rate;
}

/* ---- what waits ---------------------------------------------------------------------------------------- */

static void pending_update_clear(struct pending_cache_update *update)
{
	hmfree(update->events);
	memset(update, 0, sizeof *update);
}

void router_feed_clear(struct router *router)
{
	for (ptrdiff_t i = 0; i < arrlen(router->servers.states); i++)
		pending_update_clear(&router->servers.states[i].pending_update);
	arrfree(router->feed.queue);
}

void router_feed_add(struct router *router, uint32_t server, const struct Nl__CacheUpdate *update)
{
	struct pending_cache_update *pending = &router->servers.states[server].pending_update;
	int is_reset = update->events_lost || (router->servers.states[server].cache_epoch &&
					       router->servers.states[server].cache_epoch != update->epoch);

	/* of a store each word goes on, for it says that the store is up */
	if (!arrlen(router->relay.downstreams) ||
	    (!update->n_events && !is_reset && !router->config.server_table->servers[server].is_store))
		return;
	if (is_reset) {
		hmfree(pending->events);
		pending->is_reset = 1;
	}
	pending->epoch = update->epoch;
	pending->next_event = update->next_offset;
	for (size_t i = 0; i < update->n_events; i++) {
		const struct Nl__CacheEvent *cache_event = update->events[i];
		typeof(pending->events->value) event = {
			router_namespace_key_from_text(cache_event->cache_namespace), cache_event->evicted
		};

		hmput(pending->events,
		      router_block_key(core_hash_string(0, cache_event->cache_namespace),
				       cache_event->block_hash),
		      event);
	}
	if (!pending->is_queued)
		arrput(router->feed.queue, server);
	pending->is_queued = 1;
}

/* ---- to all downstream routers ---------------------------------------------------------------------------
 */

/* The waiting events of one server as they are sent: keys alone, which is all that the index asks for. */
static struct Nl__CacheUpdate *pending_update_message(const struct router *router, uint32_t server,
						      struct command_list *out)
{
	const struct pending_cache_update *pending = &router->servers.states[server].pending_update;
	struct Nl__CacheUpdate *update = MESSAGE_NEW(out, Nl__CacheUpdate, NL__CACHE_UPDATE__INIT);
	size_t n = (size_t)hmlen(pending->events);
	int has_namespace_keys = 0;

	update->server = apr_pstrdup(out->pool, router->names.servers.names[server]);
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

/* The servers that have waited longest, as many as one message may take. */
static void publish_updates(struct router *router, int64_t now, struct command_list *out)
{
	ptrdiff_t routers = arrlen(router->relay.downstreams);
	int64_t limit_bytes = routers ? feed_bytes_per_ms(router) * FEED_BURST_MS / routers : 0, bytes = 0;
	struct Nl__CacheUpdateBatch *all =
	    MESSAGE_NEW(out, Nl__CacheUpdateBatch, NL__CACHE_UPDATE_BATCH__INIT);
	ptrdiff_t sent = 0;

	all->updates =
	    apr_palloc(out->pool, (size_t)arrlen(router->feed.queue) * sizeof(struct Nl__CacheUpdate *));
	for (; sent < arrlen(router->feed.queue) && (!limit_bytes || bytes < limit_bytes); sent++) {
		uint32_t server = router->feed.queue[sent];
		struct Nl__CacheUpdate *update;

		if (router->config.server_table->servers[server].is_configured) {
			update = pending_update_message(router, server, out);
			bytes += (int64_t)nl__cache_update__get_packed_size(update);
			all->updates[all->n_updates++] = update;
		}
		pending_update_clear(&router->servers.states[server].pending_update);
	}
	arrdeln(router->feed.queue, 0, sent);
	if (!all->n_updates)
		return;
	for (ptrdiff_t i = 0; i < routers; i++)
		command_send(out, router->relay.downstreams[i].addr, 0, NL__MSG__BODY_CACHE_UPDATE_BATCH)
		    ->cache_update_batch = all;
	feed_spent(router, all, routers, now);
}

/* ---- to one that is new
 * ------------------------------------------------------------------------------------ */

/* Rows [from, to) of the index as messages, one a server. */
static struct Nl__CacheUpdateBatch *index_message(struct router *router, ptrdiff_t begin, ptrdiff_t end,
						  struct command_list *out)
{
	const struct server_table *table = router->config.server_table;
	struct Nl__CacheUpdateBatch *all =
	    MESSAGE_NEW(out, Nl__CacheUpdateBatch, NL__CACHE_UPDATE_BATCH__INIT);
	struct Nl__CacheUpdate **update = apr_pcalloc(out->pool, (table->server_count + 1) * sizeof *update);

	all->updates = apr_palloc(out->pool, (table->server_count + 1) * sizeof *all->updates);
	for (int fill = 0; fill < 2; fill++) { /* counted first, then put in */
		for (ptrdiff_t i = begin; i < end; i++)
			for (ptrdiff_t k = 0; k < arrlen(router->cache.index.blocks[i].value); k++) {
				uint32_t s = router->cache.index.blocks[i].value[k].server_index;

				if (s >= table->server_count || !table->servers[s].is_configured ||
				    !router->servers.states[s].cache_epoch)
					continue;
				if (!update[s]) {
					update[s] = MESSAGE_NEW(out, Nl__CacheUpdate, NL__CACHE_UPDATE__INIT);
					update[s]->server =
					    apr_pstrdup(out->pool, router->names.servers.names[s]);
					update[s]->epoch = router->servers.states[s].cache_epoch;
					update[s]->next_offset = router->servers.states[s].next_cache_event;
					all->updates[all->n_updates++] = update[s];
				}
				if (fill)
					update[s]->present[update[s]->n_present] =
					    router->cache.index.blocks[i].key;
				update[s]->n_present++;
			}
		for (size_t i = 0; !fill && i < all->n_updates; i++) {
			all->updates[i]->present = apr_palloc(
			    out->pool, all->updates[i]->n_present * sizeof *all->updates[i]->present);
			all->updates[i]->n_present = 0;
		}
	}
	return all;
}

/* A router that is new in the zone, or back, hears only what changes from then on; so it is told once all
 * that is known to be kept, or it would have prompts read again that lie ready. It adds this to what it knows
 * itself. The index is gone through from its end: what a deletion moves meanwhile is told twice rather than
 * never. */
static void publish_index(struct router *router, struct relay_downstream *down, int64_t now,
			  struct command_list *out)
{
	ptrdiff_t rows = hmlen(router->cache.index.blocks), from;
	struct Nl__CacheUpdateBatch *all;

	if (!down->cache_feed_started || down->cache_feed_remaining > rows)
		down->cache_feed_remaining = rows;
	down->cache_feed_started = 1;
	from =
	    down->cache_feed_remaining > FEED_INDEX_ROWS ? down->cache_feed_remaining - FEED_INDEX_ROWS : 0;
	all = index_message(router, from, down->cache_feed_remaining, out);
	down->cache_feed_remaining = from;
	if (!all->n_updates)
		return;
	command_send(out, down->addr, 0, NL__MSG__BODY_CACHE_UPDATE_BATCH)->cache_update_batch = all;
	feed_spent(router, all, 1, now);
}

static struct relay_downstream *next_without_index(struct router *router)
{
	for (ptrdiff_t i = 0; i < arrlen(router->relay.downstreams); i++)
		if (!router->relay.downstreams[i].cache_feed_started ||
		    router->relay.downstreams[i].cache_feed_remaining)
			return &router->relay.downstreams[i];
	return NULL;
}

void router_feed_tick(struct router *router, int64_t now, struct command_list *out)
{
	struct relay_downstream *down;

	if (!router->config.server_table || router->config.watch.upstream_count ||
	    !arrlen(router->relay.downstreams) ||
	    !mechanism_on(router->config.bounds.disabled_mechanisms,
			  MECHANISM_CACHE_FEED)) { /* another is the head, or there is nobody to tell */
		if (arrlen(router->feed.queue))
			router_feed_clear(router);
		return;
	}
	if (now < router->feed.link_free_at_ms)
		return;
	if (arrlen(router->feed.queue) &&
	    now - router->feed.sent_at_ms >=
		router_scaled_interval_ms(router, ROUTER_CACHE_FEED_INTERVAL_MS)) {
		router->feed.sent_at_ms = now;
		publish_updates(router, now, out);
	} else if ((down = next_without_index(router))) {
		publish_index(router, down, now, out);
	}
}
