/* router_prefix: which servers keep how much of a request's prompt, by the weights that they have. The head of a zone hears what
 * servers keep first and most; so a router asks it for the prefix of each request that it takes (the paper's curiosity, sent to the
 * nearest holder), and waits a few ms for the answer. Where none comes in time it goes by its own index, which the head feeds.
 * A question and its answer are some hundred bytes, whatever the number of servers, routers and parts. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "ds.h"

enum {
	LOOKUP_FIRST_MS = 6,   /* what an answer is taken to need until some have come */
	LOOKUP_TIMES = 3,      /* of what answers took lately, a request waits for its own */
	LOOKUP_LEAST_MS = 10,  /* and not for less: a tick may be between */
	LOOKUP_MOST_MS = 45,   /* nor for more: what an answer saves is not worth a longer wait */
	LOOKUP_MISSES = 3,     /* questions in a row without an answer after which none is waited for */
	LOOKUP_PROBE_MS = 400, /* until the next question to a head that does not answer */
	LOOKUP_HOLDERS = 6,    /* that an answer names for one generation */
	LOOKUP_PARTS = 16      /* of a prompt that are asked for */
};

/* ---- generations ----------------------------------------------------------------------------------- */

int router_generations(struct router *c, const struct client_request *x, struct generation *generations)
{
	int n = 0;

	for (uint32_t s = 0; s < c->server_table->nserver; s++) {
		const struct bk_server *server = &c->server_table->server[s];
		int k = 0;

		if (!server->on || server->is_store || server->service != x->service)
			continue;
		while (k < n && generations[k].weights != c->sv[s].weights)
			k++;
		if (k < n || n == GENERATIONS)
			continue;
		generations[n++] = (struct generation){
			.weights = c->sv[s].weights,
			.cache_namespace = core_hashs(0, router_cache_namespace(c, x, c->sv[s].weights, c->scratch)),
			.source = -1,
		};
	}
	apr_pool_clear(c->scratch);
	return n;
}

/* ---- the index here -------------------------------------------------------------------------------- */

/* How many of n leading parts each server keeps on this cache namespace, into c->depth, where it is larger; the store's is
 * returned. */
static int index_depths(struct router *c, uint64_t cache_namespace, const uint64_t *part, int n, int store)
{
	int store_depth = 0;

	for (int i = 0; i < n; i++) {
		struct kept_copy *v = kept_get(&c->kept, router_kept_key(cache_namespace, part[i]));

		for (ptrdiff_t k = 0; k < arrlen(v); k++) {
			uint32_t s = v[k].server;

			if ((int)s == store)
				store_depth = store_depth == i ? i + 1 : store_depth;
			else if (s < (uint32_t)arrlen(c->depth) && c->depth[s] == i)
				c->depth[s] = i + 1;
		}
		if (!v)
			break;
	}
	return store_depth;
}

static void depths_clear(struct router *c)
{
	uint32_t n = c->server_table->nserver;

	arrsetlen(c->depth, n);
	if (n)
		memset(c->depth, 0, n * sizeof *c->depth);
}

/* What an answer has said, as far as the servers it names still have the weights. */
static int answered_depths(struct router *c, const struct client_request *x, const struct generation *g, int store)
{
	int store_depth = 0;

	for (int i = 0; i < x->nholder; i++) {
		const struct prefix_holder *h = &x->holder[i];

		if (h->cache_namespace != g->cache_namespace || h->server >= c->server_table->nserver)
			continue;
		if ((int)h->server == store)
			store_depth = (int)h->depth;
		else if (c->sv[h->server].weights == g->weights)
			c->depth[h->server] = (int)h->depth;
	}
	return store_depth;
}

/* What this router's own index says of servers with these weights. */
static int own_depths(struct router *c, const struct client_request *x, const struct generation *g, int store)
{
	int *before = c->depth, store_depth;

	c->depth = NULL;
	depths_clear(c);
	store_depth = index_depths(c, g->cache_namespace, x->hash, x->nparts, store);
	for (ptrdiff_t s = 0; s < arrlen(c->depth); s++)
		if (c->depth[s] && c->sv[s].weights == g->weights)
			before[s] = c->depth[s];
	arrfree(c->depth);
	c->depth = before;
	return store_depth;
}

void router_prefix_depths(struct router *c, const struct client_request *x, struct generation *generations, int n, int store)
{
	depths_clear(c);
	for (int k = 0; k < n; k++) {
		struct generation *g = &generations[k];

		g->store_depth = x->lookup == LOOKUP_ANSWERED ? answered_depths(c, x, g, store) : own_depths(c, x, g, store);
	}
}

/* ---- asking ---------------------------------------------------------------------------------------- */

static int lookup_wait(const struct router *c)
{
	int ms = (int)(LOOKUP_TIMES * c->lookup.round_trip_ms);

	return ms < LOOKUP_LEAST_MS ? LOOKUP_LEAST_MS : ms > LOOKUP_MOST_MS ? LOOKUP_MOST_MS : ms;
}

void router_lookup_open(struct router *c) { c->lookup.round_trip_ms = LOOKUP_FIRST_MS; }

/* The load of the servers that it may go to is asked for too: what the head tells all of them is older. */
static void ask_load(struct router *c, const struct client_request *x, struct Nl__PrefixAsk *ask, int64_t now, struct out *o)
{
	uint32_t server[CANDIDATES];
	int n = router_candidates(c, x, server, now);

	ask->server = apr_palloc(o->p, (size_t)(n + 1) * sizeof *ask->server);
	for (int i = 0; i < n; i++)
		ask->server[ask->n_server++] = c->server_hash[server[i]];
}

void router_lookup_ask(struct router *c, struct client_request *x, int64_t now, struct out *o)
{
	struct generation generations[GENERATIONS];
	struct Nl__PrefixAsk *ask;
	int silent = c->lookup.misses >= LOOKUP_MISSES, n;

	if (!mechanism_on(c->b.without, MECHANISM_LOOKUP) || !c->f.nup || !x->nparts || !c->server_table ||
	    !relay_current(&c->relay, now) || (silent && now < c->lookup.probe_at))
		return;
	n = router_generations(c, x, generations);
	if (!n)
		return;
	ask = OUT_NEW(o, Nl__PrefixAsk, NL__PREFIX_ASK__INIT);
	ask->token = x->seq;
	for (int k = 0; k < n; k++)
		x->lookup_namespace[k] = generations[k].cache_namespace;
	x->lookup_namespaces = n;
	ask->cache_namespace = apr_pmemdup(o->p, x->lookup_namespace, (size_t)n * sizeof *x->lookup_namespace);
	ask->n_cache_namespace = (size_t)n;
	ask->n_part = x->nparts < LOOKUP_PARTS ? (size_t)x->nparts : LOOKUP_PARTS;
	ask->part = apr_pmemdup(o->p, x->hash, ask->n_part * sizeof *ask->part);
	ask_load(c, x, ask, now, o);
	out_msg(o, c->f.up[0], 0, NL__MSG__BODY_PREFIX_ASK)->prefix_ask = ask;
	c->lookup.probe_at = now + LOOKUP_PROBE_MS;
	x->lookup = silent ? LOOKUP_NONE : LOOKUP_ASKED;
	x->lookup_at = now;
	x->lookup_until = silent ? 0 : now + lookup_wait(c);
}

int router_lookup_waits(struct router *c, struct client_request *x, int64_t now)
{
	if (x->lookup != LOOKUP_ASKED)
		return 0;
	if (now < x->lookup_until)
		return 1;
	x->lookup = LOOKUP_MISSED;
	c->lookup.misses++;
	c->n.lookups_missed++;
	return 0;
}

/* ---- answering ------------------------------------------------------------------------------------- */

/* The deepest holders of one generation, and the stores that keep any. */
static void answer_holders(struct router *c, const struct Nl__PrefixAsk *ask, size_t generation, struct Nl__PrefixReply *reply,
			   struct out *o)
{
	size_t limit = reply->n_holder + LOOKUP_HOLDERS;

	depths_clear(c);
	(void)index_depths(c, ask->cache_namespace[generation], ask->part, (int)ask->n_part, -1);
	for (int depth = (int)ask->n_part; depth > 0 && reply->n_holder < limit; depth--)
		for (uint32_t s = 0; s < c->server_table->nserver && reply->n_holder < limit; s++) {
			struct Nl__PrefixHolder *h;

			if (c->depth[s] != depth || !c->server_table->server[s].on)
				continue;
			h = OUT_NEW(o, Nl__PrefixHolder, NL__PREFIX_HOLDER__INIT);
			h->generation = (uint32_t)generation;
			h->server = c->server_hash[s];
			h->depth = (uint32_t)depth;
			reply->holder[reply->n_holder++] = h;
		}
}

/* The load of the servers that were asked for, and of the holders that are named. */
static void answer_load(struct router *c, const struct Nl__PrefixAsk *ask, struct Nl__PrefixReply *reply, struct out *o)
{
	reply->load = apr_palloc(o->p, (ask->n_server + reply->n_holder + 1) * sizeof *reply->load);
	for (size_t i = 0; i < ask->n_server + reply->n_holder; i++) {
		uint64_t hash = i < ask->n_server ? ask->server[i] : reply->holder[i - ask->n_server]->server;
		ptrdiff_t at = hmgeti(c->server_at, hash);
		struct Nl__ServerLoad *load;
		struct load_cell all;

		if (at < 0 || !router_load_all(c, c->server_at[at].value, &all))
			continue;
		load = OUT_NEW(o, Nl__ServerLoad, NL__SERVER_LOAD__INIT);
		load->server = hash;
		load->ahead = all.ahead;
		load->running = all.running;
		load->tokens = all.tokens;
		reply->load[reply->n_load++] = load;
	}
}

void router_on_prefix_ask(struct router *c, const struct Nl__Msg *m, struct out *o)
{
	const struct Nl__PrefixAsk *ask = m->prefix_ask;
	struct Nl__PrefixReply *reply;

	if (!c->server_table || !ask->n_part || ask->n_part > LOOKUP_PARTS || ask->n_cache_namespace > GENERATIONS ||
	    ask->n_server > CANDIDATES)
		return;
	reply = OUT_NEW(o, Nl__PrefixReply, NL__PREFIX_REPLY__INIT);
	reply->token = ask->token;
	reply->holder = apr_palloc(o->p, (ask->n_cache_namespace * LOOKUP_HOLDERS + 1) * sizeof *reply->holder);
	for (size_t k = 0; k < ask->n_cache_namespace; k++)
		answer_holders(c, ask, k, reply, o);
	answer_load(c, ask, reply, o);
	c->n.lookups_answered++;
	out_msg(o, m->addr, 0, NL__MSG__BODY_PREFIX_REPLY)->prefix_reply = reply;
}

static struct client_request *request_by_seq(const struct router *c, uint64_t seq)
{
	for (ptrdiff_t i = arrlen(c->all) - 1; i >= 0; i--)
		if (c->all[i]->seq == seq)
			return c->all[i];
	return NULL;
}

/* The servers that an answer names, as this router numbers them. */
static void take_holders(struct router *c, struct client_request *x, const struct Nl__PrefixReply *reply)
{
	x->holder = apr_palloc(x->p, (reply->n_holder + 1) * sizeof *x->holder);
	x->nholder = 0;
	for (size_t i = 0; i < reply->n_holder; i++) {
		const struct Nl__PrefixHolder *h = reply->holder[i];
		ptrdiff_t at = hmgeti(c->server_at, h->server);

		if (at < 0 || h->generation >= (uint32_t)x->lookup_namespaces || h->depth > (uint32_t)x->nparts)
			continue;
		x->holder[x->nholder++] =
		    (struct prefix_holder){ c->server_at[at].value, h->depth, x->lookup_namespace[h->generation] };
	}
}

void router_on_prefix_reply(struct router *c, const struct Nl__PrefixReply *reply, int64_t now)
{
	struct client_request *x = request_by_seq(c, reply->token);

	c->lookup.misses = 0;
	if (!x || x->lookup_at == 0 || x->lookup == LOOKUP_ANSWERED || !c->server_table)
		return;
	c->lookup.round_trip_ms += ((double)(now - x->lookup_at) - c->lookup.round_trip_ms) / 8;
	c->n.lookups_used += x->lookup == LOOKUP_ASKED;
	take_holders(c, x, reply);
	for (size_t i = 0; i < reply->n_load; i++) {
		const struct Nl__ServerLoad *load = reply->load[i];
		ptrdiff_t at = hmgeti(c->server_at, load->server);

		if (at >= 0)
			router_load_heard(c, c->server_at[at].value,
					  &(struct load_cell){ load->ahead, load->running, load->tokens });
	}
	x->lookup = LOOKUP_ANSWERED;
	c->pump_at = 0;
}
