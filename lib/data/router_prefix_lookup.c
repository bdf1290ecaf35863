/* router_prefix: which servers keep how much of a request's prompt, by the weights that they have. The head
 * of a zone hears what servers keep first and most; so a router asks it for the prefix of each request that
 * it takes (the paper's curiosity, sent to the nearest holder), and waits a few ms for the answer. Where none
 * comes in time it goes by its own index, which the head feeds. A question and its answer are some hundred
 * bytes, whatever the number of servers, routers and parts. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

enum {
	LOOKUP_INITIAL_ROUND_TRIP_MS = 6, /* what an answer is taken to need until some have come */
	LOOKUP_WAIT_ROUND_TRIPS = 3,      /* of what answers took lately, a request waits for its own */
	LOOKUP_MIN_WAIT_MS = 10,          /* and not for less: a tick may be between */
	LOOKUP_MAX_WAIT_MS = 45,          /* nor for more: what an answer saves is not worth a longer wait */
	LOOKUP_MAX_MISSES = 3, /* questions in a row without an answer after which none is waited for */
	LOOKUP_PROBE_INTERVAL_MS = 400, /* until the next question to a head that does not answer */
	LOOKUP_MAX_SERVERS = 6,         /* that an answer names for one generation */
	LOOKUP_MAX_BLOCKS = 16          /* of a prompt that are asked for */
};

/* ---- generations ----------------------------------------------------------------------------------- */

int router_generations(struct router *router, const struct client_request *request,
		       struct generation *generations)
{
	int n = 0;

	for (uint32_t server_index = 0; server_index < router->config.server_table->server_count;
	     server_index++) {
		const struct server_config *server = &router->config.server_table->servers[server_index];
		int k = 0;

		if (!server->is_configured || server->is_store ||
		    server->service_index != request->route.service_index)
			continue;
		while (k < n && generations[k].weights != router->servers.states[server_index].weights)
			k++;
		if (k < n || n == MAX_GENERATIONS)
			continue;
		generations[n++] = (struct generation){
			.weights = router->servers.states[server_index].weights,
			.cache_namespace = core_hash_string(
			    0, router_cache_namespace(router, request,
						      router->servers.states[server_index].weights,
						      router->scratch_pool)),
			.fetch_source = -1,
		};
	}
	apr_pool_clear(router->scratch_pool);
	return n;
}

/* ---- the index here -------------------------------------------------------------------------------- */

/* How many of n leading parts each server keeps on this cache namespace, into c->depth, where it is larger;
 * the store's is returned. */
static int index_depths(struct router *router, uint64_t cache_namespace, const uint64_t *blocks,
			int block_count, int store)
{
	int store_depth = 0;

	for (int i = 0; i < block_count; i++) {
		struct block_replica *replica =
		    prefix_index_find(&router->cache.index, router_block_key(cache_namespace, blocks[i]));

		for (ptrdiff_t k = 0; k < arrlen(replica); k++) {
			uint32_t s = replica[k].server_index;

			if ((int)s == store)
				store_depth = store_depth == i ? i + 1 : store_depth;
			else if (s < (uint32_t)arrlen(router->servers.cached_depth) &&
				 router->servers.cached_depth[s] == i)
				router->servers.cached_depth[s] = i + 1;
		}
		if (!replica)
			break;
	}
	return store_depth;
}

static void depths_clear(struct router *router)
{
	uint32_t n = router->config.server_table->server_count;

	arrsetlen(router->servers.cached_depth, n);
	if (n)
		memset(router->servers.cached_depth, 0, n * sizeof *router->servers.cached_depth);
}

/* What an answer has said, as far as the servers it names still have the weights. */
static int answered_depths(struct router *router, const struct client_request *request,
			   const struct generation *generation, int store)
{
	int store_depth = 0;

	for (int i = 0; i < request->lookup.prefix_count; i++) {
		const struct cached_prefix *prefix_holder = &request->lookup.prefixes[i];

		if (prefix_holder->cache_namespace != generation->cache_namespace ||
		    prefix_holder->server_index >= router->config.server_table->server_count)
			continue;
		if ((int)prefix_holder->server_index == store)
			store_depth = (int)prefix_holder->depth;
		else if (router->servers.states[prefix_holder->server_index].weights == generation->weights)
			router->servers.cached_depth[prefix_holder->server_index] = (int)prefix_holder->depth;
	}
	return store_depth;
}

/* What this router's own index says of servers with these weights. */
static int own_depths(struct router *router, const struct client_request *request,
		      const struct generation *generation, int store)
{
	int *before = router->servers.cached_depth, store_depth;

	router->servers.cached_depth = NULL;
	depths_clear(router);
	store_depth = index_depths(router, generation->cache_namespace, request->prompt.block_hash,
				   request->prompt.block_count, store);
	for (ptrdiff_t s = 0; s < arrlen(router->servers.cached_depth); s++)
		if (router->servers.cached_depth[s] &&
		    router->servers.states[s].weights == generation->weights)
			before[s] = router->servers.cached_depth[s];
	arrfree(router->servers.cached_depth);
	router->servers.cached_depth = before;
	return store_depth;
}

void router_prefix_depths(struct router *router, const struct client_request *request,
			  struct generation *generations, int generation_count, int store)
{
	depths_clear(router);
	for (int k = 0; k < generation_count; k++) {
		struct generation *generation = &generations[k];

		generation->store_depth = request->lookup.state == LOOKUP_ANSWERED
					      ? answered_depths(router, request, generation, store)
					      : own_depths(router, request, generation, store);
	}
}

/* ---- asking ---------------------------------------------------------------------------------------- */

static int lookup_wait(const struct router *router)
{
	int ms = (int)(LOOKUP_WAIT_ROUND_TRIPS * router->lookup.round_trip_ms);

	return ms < LOOKUP_MIN_WAIT_MS   ? LOOKUP_MIN_WAIT_MS
	       : ms > LOOKUP_MAX_WAIT_MS ? LOOKUP_MAX_WAIT_MS
					 : ms;
}

void router_lookup_open(struct router *router)
{
	router->lookup.round_trip_ms = LOOKUP_INITIAL_ROUND_TRIP_MS;
}

/* The load of the servers that it may go to is asked for too: what the head tells all of them is older. */
static void request_load(struct router *router, const struct client_request *request,
			 struct Nl__PrefixLookup *lookup, int64_t now, struct command_list *out)
{
	uint32_t server[MAX_CANDIDATES];
	int count = router_candidates(router, request, server, now);

	lookup->servers = apr_palloc(out->pool, (size_t)(count + 1) * sizeof *lookup->servers);
	for (int i = 0; i < count; i++)
		lookup->servers[lookup->n_servers++] = router->servers.hashes[server[i]];
}

void router_lookup_send(struct router *router, struct client_request *request, int64_t now,
			struct command_list *out)
{
	struct generation generations[MAX_GENERATIONS];
	struct Nl__PrefixLookup *lookup;
	int silent = router->lookup.consecutive_misses >= LOOKUP_MAX_MISSES, n;

	if (!mechanism_on(router->config.bounds.disabled_mechanisms, MECHANISM_LOOKUP) ||
	    !router->config.watch.upstream_count || !request->prompt.block_count ||
	    !router->config.server_table || !relay_is_current(&router->relay, now) ||
	    (silent && now < router->lookup.next_probe_at_ms))
		return;
	n = router_generations(router, request, generations);
	if (!n)
		return;
	lookup = MESSAGE_NEW(out, Nl__PrefixLookup, NL__PREFIX_LOOKUP__INIT);
	lookup->token = request->sequence;
	for (int k = 0; k < n; k++)
		request->lookup.namespaces[k] = generations[k].cache_namespace;
	request->lookup.namespace_count = n;
	lookup->cache_namespaces = apr_pmemdup(out->pool, request->lookup.namespaces,
					       (size_t)n * sizeof *request->lookup.namespaces);
	lookup->n_cache_namespaces = (size_t)n;
	lookup->n_blocks = request->prompt.block_count < LOOKUP_MAX_BLOCKS
			       ? (size_t)request->prompt.block_count
			       : LOOKUP_MAX_BLOCKS;
	lookup->blocks =
	    apr_pmemdup(out->pool, request->prompt.block_hash, lookup->n_blocks * sizeof *lookup->blocks);
	request_load(router, request, lookup, now, out);
	command_send(out, router->config.watch.upstream[0], 0, NL__MSG__BODY_PREFIX_LOOKUP)->prefix_lookup =
	    lookup;
	router->lookup.next_probe_at_ms = now + LOOKUP_PROBE_INTERVAL_MS;
	request->lookup.state = silent ? LOOKUP_NONE : LOOKUP_PENDING;
	request->lookup.sent_at_ms = now;
	request->lookup.deadline_at_ms = silent ? 0 : now + lookup_wait(router);
}

int router_lookup_waits(struct router *router, struct client_request *request, int64_t now)
{
	if (request->lookup.state != LOOKUP_PENDING)
		return 0;
	if (now < request->lookup.deadline_at_ms)
		return 1;
	request->lookup.state = LOOKUP_MISSED;
	router->lookup.consecutive_misses++;
	router->stats.lookups_missed++;
	return 0;
}

/* ---- answering ------------------------------------------------------------------------------------- */

/* The deepest holders of one generation, and the stores that keep any. */
static void answer_cached_prefixes(struct router *router, const struct Nl__PrefixLookup *lookup,
				   size_t generation, struct Nl__PrefixLookupReply *reply,
				   struct command_list *out)
{
	size_t limit = reply->n_matches + LOOKUP_MAX_SERVERS;

	depths_clear(router);
	(void)index_depths(router, lookup->cache_namespaces[generation], lookup->blocks,
			   (int)lookup->n_blocks, -1);
	for (int depth = (int)lookup->n_blocks; depth > 0 && reply->n_matches < limit; depth--)
		for (uint32_t s = 0;
		     s < router->config.server_table->server_count && reply->n_matches < limit; s++) {
			struct Nl__PrefixMatch *prefix_holder;

			if (router->servers.cached_depth[s] != depth ||
			    !router->config.server_table->servers[s].is_configured)
				continue;
			prefix_holder = MESSAGE_NEW(out, Nl__PrefixMatch, NL__PREFIX_MATCH__INIT);
			prefix_holder->generation = (uint32_t)generation;
			prefix_holder->server = router->servers.hashes[s];
			prefix_holder->block_count = (uint32_t)depth;
			reply->matches[reply->n_matches++] = prefix_holder;
		}
}

/* The load of the servers that were asked for, and of the holders that are named. */
static void answer_load(struct router *router, const struct Nl__PrefixLookup *lookup,
			struct Nl__PrefixLookupReply *reply, struct command_list *out)
{
	reply->loads =
	    apr_palloc(out->pool, (lookup->n_servers + reply->n_matches + 1) * sizeof *reply->loads);
	for (size_t i = 0; i < lookup->n_servers + reply->n_matches; i++) {
		uint64_t hash = i < lookup->n_servers ? lookup->servers[i]
						      : reply->matches[i - lookup->n_servers]->server;
		ptrdiff_t at = hmgeti(router->servers.by_hash, hash);
		struct Nl__ServerLoad *load;
		struct load_cell all;

		if (at < 0 || !router_fleet_load(router, router->servers.by_hash[at].value, &all))
			continue;
		load = MESSAGE_NEW(out, Nl__ServerLoad, NL__SERVER_LOAD__INIT);
		load->server = hash;
		load->prefill_tokens = all.prefill_tokens;
		load->running_requests = all.running;
		load->memory_tokens = all.resident_tokens;
		reply->loads[reply->n_loads++] = load;
	}
}

void router_on_prefix_lookup(struct router *router, const struct Nl__Msg *message, struct command_list *out)
{
	const struct Nl__PrefixLookup *lookup = message->prefix_lookup;
	struct Nl__PrefixLookupReply *reply;

	if (!router->config.server_table || !lookup->n_blocks || lookup->n_blocks > LOOKUP_MAX_BLOCKS ||
	    lookup->n_cache_namespaces > MAX_GENERATIONS || lookup->n_servers > MAX_CANDIDATES)
		return;
	reply = MESSAGE_NEW(out, Nl__PrefixLookupReply, NL__PREFIX_LOOKUP_REPLY__INIT);
	reply->token = lookup->token;
	reply->matches = apr_palloc(out->pool, (lookup->n_cache_namespaces * LOOKUP_MAX_SERVERS + 1) *
						   sizeof *reply->matches);
	for (size_t k = 0; k < lookup->n_cache_namespaces; k++)
		answer_cached_prefixes(router, lookup, k, reply, out);
	answer_load(router, lookup, reply, out);
	router->stats.lookups_answered++;
	command_send(out, message->addr, 0, NL__MSG__BODY_PREFIX_LOOKUP_REPLY)->prefix_lookup_reply = reply;
}

static struct client_request *request_by_seq(const struct router *router, uint64_t seq)
{
	for (ptrdiff_t i = arrlen(router->requests.all) - 1; i >= 0; i--)
		if (router->requests.all[i]->sequence == seq)
			return router->requests.all[i];
	return NULL;
}

/* The servers that an answer names, as this router numbers them. */
static void learn_cached_prefixes(struct router *router, struct client_request *request,
				  const struct Nl__PrefixLookupReply *reply)
{
	request->lookup.prefixes =
	    apr_palloc(request->pool, (reply->n_matches + 1) * sizeof *request->lookup.prefixes);
	request->lookup.prefix_count = 0;
	for (size_t i = 0; i < reply->n_matches; i++) {
		const struct Nl__PrefixMatch *prefix_holder = reply->matches[i];
		ptrdiff_t position = hmgeti(router->servers.by_hash, prefix_holder->server);

		if (position < 0 || prefix_holder->generation >= (uint32_t)request->lookup.namespace_count ||
		    prefix_holder->block_count > (uint32_t)request->prompt.block_count)
			continue;
		request->lookup.prefixes[request->lookup.prefix_count++] =
		    (struct cached_prefix){ router->servers.by_hash[position].value,
					    prefix_holder->block_count,
					    request->lookup.namespaces[prefix_holder->generation] };
	}
}

void router_on_prefix_reply(struct router *router, const struct Nl__PrefixLookupReply *reply, int64_t now)
{
	struct client_request *request = request_by_seq(router, reply->token);

	router->lookup.consecutive_misses = 0;
	if (!request || request->lookup.sent_at_ms == 0 || request->lookup.state == LOOKUP_ANSWERED ||
	    !router->config.server_table)
		return;
	router->lookup.round_trip_ms +=
	    ((double)(now - request->lookup.sent_at_ms) - router->lookup.round_trip_ms) / 8;
	router->stats.lookups_used += request->lookup.state == LOOKUP_PENDING;
	learn_cached_prefixes(router, request, reply);
	for (size_t i = 0; i < reply->n_loads; i++) {
		const struct Nl__ServerLoad *load = reply->loads[i];
		ptrdiff_t at = hmgeti(router->servers.by_hash, load->server);

		if (at >= 0)
			router_load_learn(router, router->servers.by_hash[at].value,
					  &(struct load_cell){ load->prefill_tokens, load->running_requests,
							       load->memory_tokens });
	}
	request->lookup.state = LOOKUP_ANSWERED;
	router->queueing.next_dispatch_at_ms = 0;
}
