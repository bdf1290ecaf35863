/* router_prefix_lookup: finds which servers cache how many blocks of a request's prompt, for each generation
 * of weights. The head of a zone receives cache events first and most completely, so a router sends it a
 * lookup for the prefix of each request that it admits (the paper's curiosity, sent to the nearest holder),
 * and waits a few ms for the reply. Without a timely reply it uses its own index, which the head feeds. A
 * lookup and its reply take a few hundred bytes, whatever the number of servers, routers and blocks. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

enum {
	LOOKUP_INITIAL_ROUND_TRIP_MS = 6, /* round trip time that is assumed before the first replies */
	LOOKUP_WAIT_ROUND_TRIPS = 3,      /* round trips for which a request waits for its reply */
	LOOKUP_MIN_WAIT_MS = 10,          /* a tick may delay the handling of a reply */
	LOOKUP_MAX_WAIT_MS = 45,          /* a longer wait costs more than a reply saves */
	LOOKUP_MAX_MISSES = 3,          /* consecutive misses after which requests do not wait for replies */
	LOOKUP_PROBE_INTERVAL_MS = 400, /* time between lookups while the head does not reply */
	LOOKUP_MAX_SERVERS = 6,         /* servers that a reply lists for one generation of weights */
	LOOKUP_MAX_BLOCKS = 16          /* leading prompt blocks that are looked up */
};

/* ---- generations ----------------------------------------------------------------------------- */

int router_weight_generations(struct router *router, const struct client_request *request,
			      struct generation *generations)
{
	int count = 0;

	for (uint32_t s = 0; s < router->config.server_table->server_count; s++) {
		const struct server_config *config = server_config_of(router, s);
		uint32_t weights = router->servers.states[s].weights_index;
		int k = 0;

		if (!config->is_configured || config->is_store ||
		    config->service_index != request->route.service_index)
			continue;
		while (k < count && generations[k].weights != weights)
			k++;
		if (k < count || count == MAX_WEIGHTS_GENERATIONS)
			continue;
		generations[count++] = (struct generation){
			.weights = weights,
			.cache_namespace = core_hash_string(
			    0, router_cache_namespace(router, request, weights, router->scratch_pool)),
			.fetch_source = -1,
		};
	}
	apr_pool_clear(router->scratch_pool);
	return count;
}

/* ---- depths of cached prefixes --------------------------------------------------------------- */

/* Raises servers.cached_block_counts to the number of leading blocks that each server caches under this
 * namespace; returns the number for the store. */
static int raise_depths_from_index(struct router *router, uint64_t cache_namespace, const uint64_t *blocks,
				   int block_count, int store)
{
	int *depth = router->servers.cached_block_counts;
	int store_depth = 0;

	for (int i = 0; i < block_count; i++) {
		struct block_replica *replicas =
		    prefix_index_find(&router->cache.index, router_block_key(cache_namespace, blocks[i]));

		for (ptrdiff_t k = 0; k < arrlen(replicas); k++) {
			uint32_t s = replicas[k].server_index;

			if ((int)s == store)
				store_depth = store_depth == i ? i + 1 : store_depth;
			else if (s < (uint32_t)arrlen(depth) && depth[s] == i)
				depth[s] = i + 1;
		}
		if (!replicas)
			break;
	}
	return store_depth;
}

static void clear_cached_depths(struct router *router)
{
	uint32_t n = router->config.server_table->server_count;

	arrsetlen(router->servers.cached_block_counts, n);
	if (n)
		memset(router->servers.cached_block_counts, 0,
		       n * sizeof *router->servers.cached_block_counts);
}

/* Sets servers.cached_block_counts from the reply to a request's lookup, for servers that still have the
 * generation's weights; returns the store's depth. */
static int set_depths_from_reply(struct router *router, const struct client_request *request,
				 const struct generation *generation, int store)
{
	int store_depth = 0;

	for (int i = 0; i < request->lookup.prefix_count; i++) {
		const struct cached_prefix *prefix = &request->lookup.prefixes[i];

		if (prefix->cache_namespace != generation->cache_namespace ||
		    prefix->server_index >= router->config.server_table->server_count)
			continue;
		if ((int)prefix->server_index == store)
			store_depth = (int)prefix->block_count;
		else if (router->servers.states[prefix->server_index].weights_index == generation->weights)
			router->servers.cached_block_counts[prefix->server_index] = (int)prefix->block_count;
	}
	return store_depth;
}

/* Sets servers.cached_block_counts from this router's own index, for servers with the generation's weights;
 * returns the store's depth. */
static int set_depths_from_own_index(struct router *router, const struct client_request *request,
				     const struct generation *generation, int store)
{
	int *combined_depths = router->servers.cached_block_counts, store_depth;

	router->servers.cached_block_counts = NULL;
	clear_cached_depths(router);
	store_depth = raise_depths_from_index(router, generation->cache_namespace, request->prompt.block_hash,
					      request->prompt.block_count, store);
	for (ptrdiff_t s = 0; s < arrlen(router->servers.cached_block_counts); s++)
		if (router->servers.cached_block_counts[s] &&
		    router->servers.states[s].weights_index == generation->weights)
			combined_depths[s] = router->servers.cached_block_counts[s];
	arrfree(router->servers.cached_block_counts);
	router->servers.cached_block_counts = combined_depths;
	return store_depth;
}

void router_prefix_depths(struct router *router, const struct client_request *request,
			  struct generation *generations, int generation_count, int store)
{
	bool has_reply = request->lookup.state == LOOKUP_ANSWERED;

	clear_cached_depths(router);
	for (int k = 0; k < generation_count; k++) {
		struct generation *generation = &generations[k];

		generation->store_depth = has_reply
					      ? set_depths_from_reply(router, request, generation, store)
					      : set_depths_from_own_index(router, request, generation, store);
	}
}

/* ---- sending lookups ------------------------------------------------------------------------- */

static int lookup_timeout_ms(const struct router *router)
{
	int ms = (int)(LOOKUP_WAIT_ROUND_TRIPS * router->lookup.round_trip_ms);

	if (ms < LOOKUP_MIN_WAIT_MS)
		return LOOKUP_MIN_WAIT_MS;
	return ms > LOOKUP_MAX_WAIT_MS ? LOOKUP_MAX_WAIT_MS : ms;
}

void router_lookup_init(struct router *router)
{
	router->lookup.round_trip_ms = LOOKUP_INITIAL_ROUND_TRIP_MS;
}

/* Adds the servers that a request may be sent to, so that the reply holds their load: it is newer than the
 * load that the head publishes to all routers. */
static void add_candidate_servers(struct router *router, const struct client_request *request,
				  struct Nl__PrefixLookup *lookup, int64_t now, struct command_list *out)
{
	uint32_t server_indices[MAX_CANDIDATES];
	int count = router_candidates(router, request, server_indices, now);

	lookup->servers = apr_palloc(out->pool, (size_t)(count + 1) * sizeof *lookup->servers);
	for (int i = 0; i < count; i++)
		lookup->servers[lookup->n_servers++] = router->servers.name_hashes[server_indices[i]];
}

/* Whether a lookup may be sent to the head of the zone for a request's prefix. head_is_silent: the head has
 * not replied to the last lookups. */
static bool may_send_lookup(const struct router *router, const struct client_request *request,
			    bool head_is_silent, int64_t now)
{
	if (!mechanism_in_use(router, MECHANISM_LOOKUP) || !router->config.watch.upstream_count ||
	    !request->prompt.block_count)
		return false;
	if (!router->config.server_table || !relay_is_current(&router->relay, now))
		return false;
	return !head_is_silent || now >= router->lookup.next_lookup_at_ms;
}

/* Builds the lookup message for a request's blocks under its namespaces. */
static struct Nl__PrefixLookup *new_lookup_message(const struct client_request *request,
						   struct command_list *out)
{
	struct Nl__PrefixLookup *lookup = MESSAGE_NEW(out, Nl__PrefixLookup, NL__PREFIX_LOOKUP__INIT);
	const uint64_t *namespaces = request->lookup.namespaces;
	int blocks =
	    request->prompt.block_count < LOOKUP_MAX_BLOCKS ? request->prompt.block_count : LOOKUP_MAX_BLOCKS;

	lookup->token = request->sequence;
	lookup->n_cache_namespaces = (size_t)request->lookup.namespace_count;
	lookup->cache_namespaces =
	    apr_pmemdup(out->pool, namespaces, lookup->n_cache_namespaces * sizeof *namespaces);
	lookup->n_blocks = (size_t)blocks;
	lookup->blocks =
	    apr_pmemdup(out->pool, request->prompt.block_hash, lookup->n_blocks * sizeof *lookup->blocks);
	return lookup;
}

void router_lookup_send(struct router *router, struct client_request *request, int64_t now,
			struct command_list *out)
{
	bool is_head_silent = router->lookup.consecutive_misses >= LOOKUP_MAX_MISSES;
	struct generation generations[MAX_WEIGHTS_GENERATIONS];
	struct Nl__PrefixLookup *lookup;
	int generation_count;

	if (!may_send_lookup(router, request, is_head_silent, now))
		return;
	generation_count = router_weight_generations(router, request, generations);
	if (!generation_count)
		return;
	for (int k = 0; k < generation_count; k++)
		request->lookup.namespaces[k] = generations[k].cache_namespace;
	request->lookup.namespace_count = generation_count;
	lookup = new_lookup_message(request, out);
	add_candidate_servers(router, request, lookup, now, out);
	command_send(out, router->config.watch.upstream_addrs[0], 0, NL__MSG__BODY_PREFIX_LOOKUP)
	    ->prefix_lookup = lookup;
	router->lookup.next_lookup_at_ms = now + LOOKUP_PROBE_INTERVAL_MS;
	request->lookup.state = is_head_silent ? LOOKUP_NONE : LOOKUP_PENDING;
	request->lookup.sent_at_ms = now;
	request->lookup.deadline_at_ms = is_head_silent ? 0 : now + lookup_timeout_ms(router);
}

bool router_is_awaiting_lookup(struct router *router, struct client_request *request, int64_t now)
{
	if (request->lookup.state != LOOKUP_PENDING)
		return false;
	if (now < request->lookup.deadline_at_ms)
		return true;
	request->lookup.state = LOOKUP_MISSED;
	router->lookup.consecutive_misses++;
	router->stats.own_lookups_missed++;
	return false;
}

/* ---- replying to lookups --------------------------------------------------------------------- */

/* Adds to a reply the servers that cache the longest part of the prefix under the namespace of one
 * generation, stores included. */
static void add_reply_matches(struct router *router, const struct Nl__PrefixLookup *lookup,
			      size_t generation_index, struct Nl__PrefixLookupReply *reply,
			      struct command_list *out)
{
	uint32_t server_count = router->config.server_table->server_count;
	size_t max_match_count = reply->n_matches + LOOKUP_MAX_SERVERS;

	clear_cached_depths(router);
	(void)raise_depths_from_index(router, lookup->cache_namespaces[generation_index], lookup->blocks,
				      (int)lookup->n_blocks, -1);
	for (int depth = (int)lookup->n_blocks; depth > 0 && reply->n_matches < max_match_count; depth--)
		for (uint32_t s = 0; s < server_count && reply->n_matches < max_match_count; s++) {
			struct Nl__PrefixMatch *match;

			if (router->servers.cached_block_counts[s] != depth ||
			    !server_config_of(router, s)->is_configured)
				continue;
			match = MESSAGE_NEW(out, Nl__PrefixMatch, NL__PREFIX_MATCH__INIT);
			match->generation = (uint32_t)generation_index;
			match->server = router->servers.name_hashes[s];
			match->block_count = (uint32_t)depth;
			reply->matches[reply->n_matches++] = match;
		}
}

/* Adds to a reply the load of the servers in the lookup, and of the servers that the reply lists. */
static void add_reply_loads(struct router *router, const struct Nl__PrefixLookup *lookup,
			    struct Nl__PrefixLookupReply *reply, struct command_list *out)
{
	size_t count = lookup->n_servers + reply->n_matches;

	reply->loads = apr_palloc(out->pool, (count + 1) * sizeof *reply->loads);
	for (size_t i = 0; i < count; i++) {
		uint64_t hash = i < lookup->n_servers ? lookup->servers[i]
						      : reply->matches[i - lookup->n_servers]->server;
		ptrdiff_t position = hmgeti(router->servers.by_name_hash, hash);
		struct Nl__ServerLoad *load;
		struct load_counts total;

		if (position < 0 ||
		    !router_fleet_load(router, router->servers.by_name_hash[position].value, &total))
			continue;
		load = MESSAGE_NEW(out, Nl__ServerLoad, NL__SERVER_LOAD__INIT);
		load->server = hash;
		load->prefill_tokens = total.prefill_tokens;
		load->running_requests = total.running_count;
		load->memory_tokens = total.resident_tokens;
		reply->loads[reply->n_loads++] = load;
	}
}

void router_on_prefix_lookup(struct router *router, const struct Nl__Msg *message, struct command_list *out)
{
	const struct Nl__PrefixLookup *lookup = message->prefix_lookup;
	struct Nl__PrefixLookupReply *reply;

	if (!router->config.server_table || !lookup->n_blocks || lookup->n_blocks > LOOKUP_MAX_BLOCKS ||
	    lookup->n_cache_namespaces > MAX_WEIGHTS_GENERATIONS || lookup->n_servers > MAX_CANDIDATES)
		return;
	reply = MESSAGE_NEW(out, Nl__PrefixLookupReply, NL__PREFIX_LOOKUP_REPLY__INIT);
	reply->token = lookup->token;
	reply->matches = apr_palloc(out->pool, (lookup->n_cache_namespaces * LOOKUP_MAX_SERVERS + 1) *
						   sizeof *reply->matches);
	for (size_t k = 0; k < lookup->n_cache_namespaces; k++)
		add_reply_matches(router, lookup, k, reply, out);
	add_reply_loads(router, lookup, reply, out);
	router->stats.lookups_served++;
	command_send(out, message->addr, 0, NL__MSG__BODY_PREFIX_LOOKUP_REPLY)->prefix_lookup_reply = reply;
}

/* ---- receiving replies ----------------------------------------------------------------------- */

/* Stores the servers of a reply with the request, translated to this router's server indices. */
static void store_reply_matches(struct router *router, struct client_request *request,
				const struct Nl__PrefixLookupReply *reply)
{
	struct request_lookup *lookup = &request->lookup;

	lookup->prefixes = apr_palloc(request->pool, (reply->n_matches + 1) * sizeof *lookup->prefixes);
	lookup->prefix_count = 0;
	for (size_t i = 0; i < reply->n_matches; i++) {
		const struct Nl__PrefixMatch *match = reply->matches[i];
		ptrdiff_t position = hmgeti(router->servers.by_name_hash, match->server);

		if (position < 0 || match->generation >= (uint32_t)lookup->namespace_count ||
		    match->block_count > (uint32_t)request->prompt.block_count)
			continue;
		lookup->prefixes[lookup->prefix_count++] = (struct cached_prefix){
			.server_index = router->servers.by_name_hash[position].value,
			.block_count = match->block_count,
			.cache_namespace = lookup->namespaces[match->generation],
		};
	}
}

static void record_reply_loads(struct router *router, const struct Nl__PrefixLookupReply *reply)
{
	for (size_t i = 0; i < reply->n_loads; i++) {
		const struct Nl__ServerLoad *load = reply->loads[i];
		struct load_counts total = { load->prefill_tokens, load->running_requests,
					     load->memory_tokens };
		ptrdiff_t position = hmgeti(router->servers.by_name_hash, load->server);

		if (position >= 0)
			router_load_record(router, router->servers.by_name_hash[position].value, &total);
	}
}

void router_on_prefix_reply(struct router *router, const struct Nl__PrefixLookupReply *reply, int64_t now)
{
	struct client_request *request = router_request_by_sequence(router, reply->token);
	double round_trip_ms;

	router->lookup.consecutive_misses = 0;
	if (!request || request->lookup.sent_at_ms == 0 || request->lookup.state == LOOKUP_ANSWERED ||
	    !router->config.server_table)
		return;
	round_trip_ms = (double)(now - request->lookup.sent_at_ms);
	router->lookup.round_trip_ms += (round_trip_ms - router->lookup.round_trip_ms) / 8;
	router->stats.own_lookups_answered += request->lookup.state == LOOKUP_PENDING;
	store_reply_matches(router, request, reply);
	record_reply_loads(router, reply);
	request->lookup.state = LOOKUP_ANSWERED;
	router->queueing.next_dispatch_at_ms = 0;
}
