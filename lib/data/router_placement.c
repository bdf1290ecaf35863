/* router_placement: which server a forwarded request goes to, and what is fetched from where.
 * It goes where its prefix is kept, or to the prefix's home; elsewhere only where the wait there is so long that it pays to move the
 * prefix, and then with a fetch. Reading again what is kept somewhere is the dearest of all. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "ds.h"

/* The name under which kept parts are filed at servers. It says all that decides who may use them again: the weights, the
 * walls, and the purges that the view knows of. So a server finds no part that was made under other weights or behind a
 * wall, whatever it keeps; and a purge that is known here makes what was filed before it unreachable from here. A scope with
 * a retention row of its own has cache namespaces of its own, and every clearing that covers a cache_namespace's slice gives it a new name. */
const char *router_cache_namespace(struct router *c, const struct client_request *x, uint32_t weights, apr_pool_t *p)
{
	const struct route_table *b = c->route_table;
	uint32_t service = x->service, tenant = x->tenant;
	const char *w = c->weights.name[weights], *s;
	uint64_t filed = router_filed(c, x);
	uint64_t cut = view_tick(&c->relay.w, PURGE_WEIGHTS, c->services.name[service], w);
	uint64_t age = core_rdv(b->walls ^ c->walled_tick, cut);

	s = apr_psprintf(p, "%s-%" APR_UINT64_T_HEX_FMT "%s%s", w, age & 0xffffffff, b->tenant[tenant].walled ? "-" : "",
			 b->tenant[tenant].walled ? c->tenants.name[tenant] : "");
	return filed ? apr_psprintf(p, "%s~%016" APR_UINT64_T_HEX_FMT, s, filed) : s;
}

uint64_t router_kept_key(uint64_t cache_namespace, uint64_t id) { return core_rdv(cache_namespace, id); }

/* The part that a request shares with others: the last one is its own. */
uint64_t router_home_part(const struct client_request *x)
{
	return x->nparts > 1 ? x->hash[x->nparts - 2] : x->nparts ? x->hash[0] : x->seq;
}

static int shared_parts(const struct client_request *x) { return x->nparts > 1 ? x->nparts - 1 : x->nparts; }

/* The store that a prefix is left at, if any: of several always the same. -1: there is none. */
int router_store_of(const struct router *c, const struct client_request *x)
{
	const struct route_table *b = c->route_table;

	if (!mechanism_on(c->b.without, MECHANISM_STORE))
		return -1;
	return b->nstore ? b->store[core_rdv(61, router_home_part(x)) % b->nstore] : b->service[x->service].store_server;
}

enum { CHOICES = 3 };

/* What one decision goes by. */
struct placement {
	const struct client_request *x;
	const struct bk_service *service;
	int64_t now;
	int home, store;     /* servers; -1: none */
	int choice[CHOICES]; /* other servers that are weighed */
	int shared;          /* leading parts that others have too */
	int current;         /* the purge view is: parts may be reused */
	double all_tokens;
	struct generation generation[GENERATIONS];
	int generations;
};

/* A server that it may go to. Times in ms. */
struct candidate {
	struct plan plan;
	double read_ms;
};

static int is_open(const struct router *c, const struct client_request *x, uint32_t s, int64_t now)
{
	const struct bk_server *server = &c->server_table->server[s];

	return server->on && !server->is_store && server->service == x->service && !router_avoids(x, s, now) &&
	       router_standing(c, s, now);
}

/* ---- candidates ------------------------------------------------------------------------------------ */

/* The server that rendezvous hashing names for a prefix, so that all routers name the same. While it does not stand, the
 * next in an order that does not change while others load, fall or rise; those with the newest weights go first, since what
 * is read there is of use when the others have them too. -1: none stands. */
static int home_of(struct router *c, const struct client_request *x, int64_t now)
{
	uint32_t newest = c->route_table->service[x->service].weights;
	uint64_t part = mechanism_on(c->b.without, MECHANISM_HOMES) ? router_home_part(x) : core_hashs(67, x->id);
	uint64_t first = 0, top = 0;
	int home = -1, named = -1, best = -1;

	for (uint32_t s = 0; s < c->server_table->nserver; s++) {
		const struct bk_server *sv = &c->server_table->server[s];
		uint64_t w;
		int fresh;

		if (!sv->on || sv->is_store || sv->draining || sv->service != x->service || router_avoids(x, s, now))
			continue;
		w = core_rdv(part, c->server_hash[s]);
		if (best < 0 || w > first) {
			best = (int)s;
			first = w;
		}
		if (!router_standing(c, s, now))
			continue;
		fresh = c->sv[s].weights == newest;
		if (home < 0 || fresh > named || (fresh == named && w > top)) {
			home = (int)s;
			named = fresh;
			top = w;
		}
	}
	return best >= 0 && router_standing(c, (uint32_t)best, now) ? best : home;
}

/* Where else it may go: a few that the request's own id names. All routers see the same load, some 50 ms old or more; if
 * each took the idlest of all, they would take the same one together. */
static void find_choices(const struct router *c, struct placement *p)
{
	uint64_t top[CHOICES] = { 0 }, id = core_hashs(53, p->x->id);

	for (int k = 0; k < CHOICES; k++)
		p->choice[k] = -1;
	for (uint32_t s = 0; s < c->server_table->nserver; s++) {
		uint64_t w;

		if (!is_open(c, p->x, s, p->now))
			continue;
		w = core_rdv(id, c->server_hash[s]);
		for (int k = 0; k < CHOICES; k++)
			if (p->choice[k] < 0 || w > top[k]) {
				for (int j = CHOICES - 1; j > k; j--) {
					p->choice[j] = p->choice[j - 1];
					top[j] = top[j - 1];
				}
				p->choice[k] = (int)s;
				top[k] = w;
				break;
			}
	}
}

int router_candidates(struct router *c, const struct client_request *x, uint32_t *server, int64_t now)
{
	struct placement p = { .x = x, .now = now, .home = home_of(c, x, now) };
	int n = 0;

	if (p.home >= 0)
		server[n++] = (uint32_t)p.home;
	find_choices(c, &p);
	for (int k = 0; k < CHOICES && n < CANDIDATES; k++)
		if (p.choice[k] >= 0 && p.choice[k] != p.home)
			server[n++] = (uint32_t)p.choice[k];
	return n;
}

static int is_candidate(const struct router *c, const struct placement *p, uint32_t s)
{
	if (c->depth[s] >= p->shared || (int)s == p->home)
		return 1;
	for (int k = 0; k < CHOICES; k++)
		if (p->choice[k] == (int)s)
			return 1;
	return 0;
}

/* ---- what is kept where ---------------------------------------------------------------------------- */

/* The deepest holder of the prefix among servers with these weights. -1: nobody is known to keep any. */
static int deepest_holder(const struct router *c, const struct placement *p, uint32_t weights)
{
	int deep = -1;

	for (uint32_t s = 0; s < c->server_table->nserver; s++) {
		const struct bk_server *sv = &c->server_table->server[s];

		if (!c->depth[s] || sv->service != p->x->service || sv->is_store || c->sv[s].weights != weights)
			continue;
		if (deep >= 0 &&
		    (c->depth[s] < c->depth[deep] || (c->depth[s] == c->depth[deep] && c->sv[deep].own <= c->sv[s].own)))
			continue;
		if (router_standing(c, s, p->now))
			deep = (int)s;
	}
	return deep;
}

/* Of each generation the server to fetch from: servers' links are many, the store's is one, so it is asked for what none keeps. */
static void find_sources(const struct router *c, struct placement *p)
{
	int store_up = p->store >= 0 && (uint32_t)p->store < c->server_table->nserver && c->server_table->server[p->store].on &&
		       router_standing(c, (uint32_t)p->store, p->now);

	for (int k = 0; k < p->generations; k++) {
		struct generation *g = &p->generation[k];
		int holder = deepest_holder(c, p, g->weights);

		if (holder >= 0 && (!store_up || c->depth[holder] >= g->store_depth || c->depth[holder] >= p->shared)) {
			g->source = holder;
			g->source_depth = c->depth[holder];
		} else if (store_up && g->store_depth) {
			g->source = p->store;
			g->source_depth = g->store_depth;
		}
	}
}

static const struct generation *generation_of(const struct placement *p, uint32_t weights)
{
	for (int k = 0; k < p->generations; k++)
		if (p->generation[k].weights == weights)
			return &p->generation[k];
	return NULL;
}

/* ---- cost ------------------------------------------------------------------------------------------ */

/* What goes to a server with older weights has to begin there before newer ones are due: in twice the time that it is reckoned
 * to wait, as the load that is known is older than the load it will meet. */
static int begins_in_time(const struct router *c, const struct placement *p, uint32_t weights, double wait_ms)
{
	return p->now + (int64_t)(2 * wait_ms) < router_weights_last_send(c, p->x->service, weights, p->now);
}

/* Fetch what the server lacks of the prefix, where that is quicker than to read it. */
static void plan_fetch(struct router *c, const struct placement *p, struct candidate *k, int from, int upto)
{
	const struct client_request *x = p->x;
	uint32_t s = (uint32_t)k->plan.server;
	double more = (double)(router_tokens_upto(x, upto) - router_tokens_upto(x, k->plan.keep));
	double move = router_move_ms(c, (uint32_t)from, s, more, p->service);
	double ms = move + ROUTER_FETCH_MS + router_link_wait(c, (uint32_t)from, p->now);

	if (ms >= ROUTER_FETCH_WAIT)
		return;
	k->plan.from = from;
	k->plan.upto = upto;
	k->plan.fetch = ms;
	k->plan.move = move;
	k->read_ms += ms - more / p->service->prefill;
}

/* What it costs to go to a server. 0: it cannot begin there in time. */
static int weigh(struct router *c, const struct placement *p, struct candidate *k)
{
	const struct client_request *x = p->x;
	uint32_t s = (uint32_t)k->plan.server, weights = c->sv[s].weights;
	const struct generation *g = generation_of(p, weights);
	int from = g ? g->source : -1, upto = from >= 0 ? g->source_depth : 0, keep = k->plan.keep;
	int is_home = (int)s == p->home;

	if (from < 0 && p->current && !is_home && c->sv[p->home].weights == weights) {
		from = p->home;
		upto = p->shared; /* it has it, unless nobody asked there yet */
	}
	k->read_ms = (p->all_tokens - (double)router_tokens_upto(x, keep)) / p->service->prefill;
	if (!keep && is_home && from < 0)
		k->read_ms -=
		    0.7 * (double)router_tokens_upto(x, p->shared) / p->service->prefill; /* others will have sent it here */
	if (from >= 0 && from != (int)s && upto > keep && p->service->link && mechanism_on(c->b.without, MECHANISM_FETCH))
		plan_fetch(c, p, k, from, upto);
	k->plan.cost = k->read_ms + router_load_ms(c, s, p->service, p->now);
	if (!begins_in_time(c, p, weights, k->plan.cost))
		return 0;
	if (keep < p->shared && (!is_home || (from >= 0 && from != p->store && from != (int)s)))
		k->plan.cost += ROUTER_AWAY_MS +
				ROUTER_AWAY_K * (double)(router_tokens_upto(x, p->shared) - router_tokens_upto(x, keep)) / 1000;
	return 1;
}

/* ---- the decision ---------------------------------------------------------------------------------- */

static int placement_begin(struct router *c, struct placement *p, const struct client_request *x, int64_t now)
{
	*p = (struct placement){
		.x = x,
		.service = &c->route_table->service[x->service],
		.now = now,
		.home = home_of(c, x, now),
		.store = router_store_of(c, x),
		.shared = shared_parts(x),
		.current = relay_current(&c->relay, now),
		.all_tokens = (double)(router_tokens_upto(x, x->nparts) + x->tail_tokens),
	};
	if (p->home < 0 || !p->service->on)
		return 0;
	if (p->current)
		p->generations = router_generations(c, x, p->generation);
	router_prefix_depths(c, x, p->generation, p->generations, p->store);
	find_sources(c, p);
	find_choices(c, p);
	return 1;
}

static enum decision_reason reason_of(const struct placement *p, const struct plan *plan)
{
	if (p->shared && plan->keep >= p->shared)
		return DECISION_KEPT;
	if (plan->from >= 0)
		return DECISION_FETCH;
	if (plan->candidates == 1)
		return DECISION_ONLY;
	return plan->server == p->home ? DECISION_HOME : DECISION_LOAD;
}

struct plan router_assign_forward(struct router *c, const struct client_request *x, int64_t now)
{
	struct plan best = { .server = -1, .from = -1 };
	struct placement p;
	uint32_t open = 0;

	if (!placement_begin(c, &p, x, now))
		return best;
	for (uint32_t s = 0; s < c->server_table->nserver; s++) {
		struct candidate k = { .plan = { .server = (int)s, .keep = c->depth[s], .from = -1 } };

		if (!is_open(c, x, s, now) || !is_candidate(c, &p, s) || !router_fits(c, x, s, k.plan.keep, p.service, now))
			continue;
		if (!weigh(c, &p, &k))
			continue;
		open++;
		if (best.server < 0 || k.plan.cost < best.cost)
			best = k.plan;
	}
	best.candidates = open;
	if (best.server >= 0)
		best.reason = reason_of(&p, &best);
	return best;
}

/* The store, where the prefix is to be left once it is read there: it is up and not known to have it. 0: not. */
uint64_t router_sink(struct router *c, const struct client_request *x, uint64_t cache_namespace, int64_t now)
{
	int st = router_store_of(c, x), shared = shared_parts(x);

	if (st < 0 || (uint32_t)st >= c->server_table->nserver || !c->server_table->server[st].on ||
	    !router_standing(c, (uint32_t)st, now))
		return 0;
	if (router_link_wait(c, (uint32_t)st, now) > ROUTER_SINK_WAIT)
		return 0;
	/* its own part would go there too and push shared ones out: one that brings little of it will come */
	if ((x->size - router_tokens_upto(x, shared)) * 3ull > router_tokens_upto(x, shared))
		return 0;
	for (int i = 0; i < shared; i++) {
		struct kept_copy *v = kept_get(&c->kept, router_kept_key(cache_namespace, x->hash[i]));
		int there = 0;

		for (ptrdiff_t k = 0; k < arrlen(v) && !there; k++)
			there = v[k].server == (uint32_t)st;
		if (!there)
			return c->server_table->server[st].to;
	}
	return 0;
}
