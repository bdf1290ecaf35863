/* router_assign: which server an exchange goes to, what it reuses there, and what it fetches from where. */
#include "router_internal.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

int router_standing(const struct router *c, uint32_t s, int64_t now)
{
	const struct bk_server *b = &c->server_table->server[s];
	const struct router_server *v = &c->sv[s];

	if (!b->on || b->draining || (!v->have && !(b->is_store && c->b.instances)) || v->loading || now < v->bad_until)
		return 0;
	if (!c->b.instances)
		return now - v->reported < ROUTER_REPORT;
	if (b->is_store)
		return now - v->heard < ROUTER_STORE_HEARD;
	return now < router_weights_last_send(c, b->service, v->weights, now);
}

const struct kept_copy *router_usable(struct router *c, const struct client_request *x, uint64_t hash, uint32_t server,
				      uint32_t weights)
{
	const struct route_table *b = c->route_table;
	struct kept_copy *v = kept_get(&c->kept, hash);

	for (ptrdiff_t i = 0; i < arrlen(v); i++) {
		if (v[i].server != server || v[i].weights != weights || v[i].maker >= b->ntenant)
			continue;
		if (v[i].maker != x->tenant &&
		    (b->tenant[v[i].maker].walled || b->tenant[x->tenant].walled || !b->tenant[v[i].maker].on))
			continue;
		if (view_allows(&c->relay.w, c->services.name[x->service], c->weights.name[weights], c->tenants.name[v[i].maker],
				c->servers.name[server], v[i].stamp) &&
		    router_keeps(c, x->service, v[i].maker, hash, v[i].stamp))
			return &v[i];
	}
	return NULL;
}

/* How many leading parts a server keeps in a form this exchange may use. */
static int prefix(struct router *c, const struct client_request *x, uint32_t server, uint32_t weights)
{
	int n = 0;

	while (n < x->nparts && router_usable(c, x, x->hash[n], server, weights))
		n++;
	return n;
}

uint64_t router_tokens_upto(const struct client_request *x, int n)
{
	uint64_t t = 0;

	for (int i = 0; i < n; i++)
		t += x->tokens[i];
	return t;
}

/* The server that has just given a request back is passed over for a moment: another one may have it. */
static int avoids(const struct client_request *x, uint32_t s, int64_t now) { return s == x->tried && now < x->tried_until; }

static int busy(const struct router_server *v) { return v->others + v->own; }

/* How much slower than the table says the link between two servers was seen to be; forgotten by and by. */
static double slow_of(struct router *c, uint32_t from, uint32_t to, int64_t now)
{
	ptrdiff_t i = hmgeti(c->pair, (uint64_t)from << 32 | to);
	double slow = i < 0 ? 1 : c->pair[i].value.slow;

	for (int64_t t = i < 0 ? 0 : now - c->pair[i].value.at; t >= ROUTER_SLOW_HALF && slow > 1; t -= ROUTER_SLOW_HALF)
		slow /= 2;
	return slow < 1 ? 1 : slow;
}

/* An answer says what its fetch took and brought. One that brought nothing was waited for in vain. */
void router_learn_fetch(struct router *c, const struct client_request *x, int64_t took, int brought, int64_t now)
{
	double slow = brought && took > 0 ? (double)took / (x->fetch_ms ? x->fetch_ms : 1) : ROUTER_SLOW_MOST;

	if (took <= 20 && brought) /* too short to tell a link from a process that was not scheduled */
		slow = 1;
	if (slow > ROUTER_SLOW_MOST)
		slow = ROUTER_SLOW_MOST;
	hmput(c->pair, (uint64_t)x->from << 32 | (uint32_t)x->server, ((typeof(c->pair->value)){ slow, now }));
}

/* Prefill saved against load and lines; a fetch where the link beats the prefill. */
struct plan router_assign(struct router *c, const struct client_request *x, int64_t now)
{
	const struct route_table *b = c->route_table;
	const struct bk_service *svc = &b->service[x->service];
	struct plan best = { -1, 0, -1, 0, 0, 0, 0 };
	int current = relay_current(&c->relay, now);
	uint64_t all = router_tokens_upto(x, x->nparts) + x->tail_tokens;

	for (uint32_t s = 0; s < c->server_table->nserver; s++) {
		struct router_server *v = &c->sv[s];
		struct plan p = { (int)s, 0, -1, 0, 0, 0, 0 };
		double prefill;

		if (c->server_table->server[s].is_store || c->server_table->server[s].service != x->service || avoids(x, s, now) ||
		    !router_standing(c, s, now) || busy(v) >= v->slots)
			continue;
		if (current)
			p.keep = prefix(c, x, s, v->weights);
		prefill = c->plain ? 0 : (double)(all - router_tokens_upto(x, p.keep)) / svc->prefill;
		p.cost = prefill + v->mean_ms * busy(v) / v->slots;
		for (uint32_t f = 0; current && !c->plain && p.keep < x->nparts && f < c->server_table->nserver;
		     f++) { /* a peer server or the store */
			double speed = c->server_table->server[f].is_store ? svc->store : svc->link, save, cost, fetch;
			int n;

			if (f == s || c->server_table->server[f].service != x->service || !speed ||
			    (!c->server_table->server[f].is_store && c->sv[f].weights != v->weights) || !router_standing(c, f, now))
				continue;
			n = prefix(c, x, f, v->weights);
			if (n <= p.keep)
				continue;
			save = (double)(router_tokens_upto(x, n) - router_tokens_upto(x, p.keep));
			fetch = save * svc->kv_bytes / speed;
			cost = fetch * slow_of(c, f, s, now);
			save /= svc->prefill;
			if (cost < save && prefill - save + cost < p.cost - v->mean_ms * busy(v) / v->slots) {
				p.cost = prefill - save + cost + v->mean_ms * busy(v) / v->slots;
				p.from = (int)f;
				p.upto = n;
				p.fetch = fetch;
			}
		}
		if (best.server < 0 || p.cost < best.cost ||
		    (p.cost == best.cost && core_rdv(x->seq ^ c->id, s) > core_rdv(x->seq ^ c->id, (uint64_t)best.server)))
			best = p;
	}
	return best;
}

/* ---- exchanges whose text stays at the door ------------------------------------------------ */

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

/* Of what was seen lately, less the older it is. */
static double faded(double v, int64_t at, int64_t now, int half)
{
	for (int64_t t = now - at; t >= half && v > 0.01; t -= half)
		v /= 2;
	return v;
}

/* What other routers have under way there: as the heads of zones say, else as the server's last answer said. */
static int others_at(const struct router *c, uint32_t s, int64_t now)
{
	const struct router_server *v = &c->sv[s];

	if (now - c->others_fresh <= ROUTER_LOAD_OLD && s < (uint32_t)arrlen(c->others))
		return (int)c->others[s].running;
	return (int)faded(v->others, v->others_at, now, ROUTER_OTHERS_HALF);
}

static uint32_t ahead_at(const struct router *c, uint32_t s, int64_t now)
{
	return now - c->others_fresh <= ROUTER_LOAD_OLD && s < (uint32_t)arrlen(c->others) ? c->others[s].ahead : 0;
}

/* How long a send would wait there before it is read, and what makes it risky, in ms. */
static double load_of(const struct router *c, uint32_t s, const struct bk_service *svc, int64_t now)
{
	const struct router_server *v = &c->sv[s];
	int others = others_at(c, s, now);
	double ahead = (double)(v->ahead + ahead_at(c, s, now)) / svc->prefill;

	return ahead + ROUTER_STEP_MS * (v->own + others) + faded(v->late_ms, v->late_at, now, ROUTER_LATE_HALF) / 2 +
	       ROUTER_FAILED_MS * faded(v->failed, v->failed_at, now, ROUTER_FAILED_HALF) +
	       (c->server_table->server[s].zone == c->zone_hash ? 0 : 1);
}

/* The part that a request shares with others: the last one is its own. */
uint64_t router_home_part(const struct client_request *x)
{
	return x->nparts > 1 ? x->hash[x->nparts - 2] : x->nparts ? x->hash[0] : x->seq;
}

/* The store that a prefix is left at, if any: of several always the same. -1: there is none. */
int router_store_of(const struct router *c, const struct client_request *x)
{
	const struct route_table *b = c->route_table;

	return b->nstore ? b->store[core_rdv(61, router_home_part(x)) % b->nstore] : b->service[x->service].store_server;
}

/* How many leading parts each server keeps on this cache_namespace, into c->depth; and the store, which keeps many cache namespaces. */
static int depths(struct router *c, const struct client_request *x, uint64_t cache_namespace, uint32_t weights)
{
	int store = router_store_of(c, x), deep = 0;

	for (int i = 0; i < x->nparts; i++) {
		struct kept_copy *v = kept_get(&c->kept, router_kept_key(cache_namespace, x->hash[i]));

		for (ptrdiff_t k = 0; k < arrlen(v); k++) {
			uint32_t s = v[k].server;

			if ((int)s == store)
				deep = deep == i ? i + 1 : deep;
			else if (c->depth[s] == i && c->sv[s].weights == weights)
				c->depth[s] = i + 1;
		}
		if (!v)
			break;
	}
	return deep;
}

/* What an exchange brings to a server's memory that keeps so many of its leading parts. */
uint32_t router_brings(const struct client_request *x, int keep)
{
	return x->size - (uint32_t)router_tokens_upto(x, keep < x->nparts ? keep : x->nparts);
}

/* Whether one more fits beside what runs there: not so much that kept parts are pushed out by it, nor that it would wait
 * there for long, where no other router's more urgent one can pass it. What does not fit anywhere waits in its line. */
static int fits(const struct router *c, const struct client_request *x, uint32_t s, int keep, const struct bk_service *svc,
		int64_t now)
{
	const struct router_server *v = &c->sv[s];
	int others = others_at(c, s, now);
	int fresh = now - c->others_fresh <= ROUTER_LOAD_OLD && s < (uint32_t)arrlen(c->others);
	uint64_t held = v->tokens + (fresh ? c->others[s].tokens : (uint64_t)others * ROUTER_MEAN_SIZE),
		 ahead = v->ahead + ahead_at(c, s, now);

	if (v->own + others >= v->slots)
		return 0;
	if (ahead && ahead / svc->prefill > ROUTER_WAIT_MOST)
		return 0;
	return !svc->room || !held || held + router_brings(x, keep) <= svc->room * ROUTER_FULL_PART / 100;
}

/* The server that rendezvous hashing names for a prefix, so that all routers name the same. While it does not stand, the
 * next in an order that does not change while others load, fall or rise; those with the newest weights go first, since what
 * is read there is of use when the others have them too. -1: none stands. */
static int home_of(struct router *c, const struct client_request *x, int64_t now)
{
	uint32_t newest = c->route_table->service[x->service].weights;
	uint64_t part = router_home_part(x), first = 0, top = 0;
	int home = -1, named = -1, best = -1;

	for (uint32_t s = 0; s < c->server_table->nserver; s++) {
		const struct bk_server *sv = &c->server_table->server[s];
		uint64_t w;
		int fresh;

		if (!sv->on || sv->is_store || sv->draining || sv->service != x->service || avoids(x, s, now))
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

/* Moves at one machine run one after the other. How long one that begins now would wait there. */
static double link_wait(const struct router *c, uint32_t s, int64_t now)
{
	double ms = c->sv[s].link_free - (double)now;

	return ms > 0 ? ms : 0;
}

/* This router sees its own moves only; it takes each as standing for one of every router. */
void router_link_use(struct router *c, uint32_t s, double ms, int64_t now)
{
	struct router_server *v = &c->sv[s];

	v->link_free = (v->link_free > (double)now ? v->link_free : (double)now) + ms * (c->f.counters ? c->f.counters : 1);
}

/* The deepest holder of the prefix among servers with these weights. -1: nobody is known to keep any. */
static int holder_of(struct router *c, const struct client_request *x, uint32_t weights, int64_t now)
{
	int deep = -1;

	for (uint32_t s = 0; s < c->server_table->nserver; s++) {
		const struct bk_server *sv = &c->server_table->server[s];

		if (!c->depth[s] || sv->service != x->service || sv->is_store || c->sv[s].weights != weights)
			continue;
		if (deep >= 0 &&
		    (c->depth[s] < c->depth[deep] || (c->depth[s] == c->depth[deep] && c->sv[deep].own <= c->sv[s].own)))
			continue;
		if (router_standing(c, s, now))
			deep = (int)s;
	}
	return deep;
}

/* Where else it may go: a few that the request's own id names. All routers see the same load, some 50 ms old or more; if
 * each took the idlest of all, they would take the same one together. */
static void choices(const struct router *c, const struct client_request *x, int choice[3], int64_t now)
{
	uint64_t top[3] = { 0, 0, 0 }, id = core_hashs(53, x->id);

	choice[0] = choice[1] = choice[2] = -1;
	for (uint32_t s = 0; s < c->server_table->nserver; s++) {
		const struct bk_server *sv = &c->server_table->server[s];
		uint64_t w;

		if (!sv->on || sv->is_store || sv->service != x->service || avoids(x, s, now) || !router_standing(c, s, now))
			continue;
		w = core_rdv(id, c->server_hash[s]);
		for (int k = 0; k < 3; k++)
			if (choice[k] < 0 || w > top[k]) {
				for (int j = 2; j > k; j--) {
					choice[j] = choice[j - 1];
					top[j] = top[j - 1];
				}
				choice[k] = (int)s;
				top[k] = w;
				break;
			}
	}
}

/* What goes to a server with older weights has to begin there before newer ones are due: in twice the time that it is reckoned
 * to wait, as the load that is known is older than the load it will meet. */
static int begins_in_time(const struct router *c, const struct client_request *x, uint32_t weights, double wait_ms, int64_t now)
{
	return now + (int64_t)(2 * wait_ms) < router_weights_last_send(c, x->service, weights, now);
}

/* Go where the prefix is kept, or to its home; elsewhere only where the wait there is so long that it pays to move the
 * prefix, and then with a fetch. Reading again what is kept somewhere is the dearest of all. */
/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
struct plan router_assign_forward(struct router *c, const struct client_request *x, int64_t now)
{
	const struct route_table *b = c->route_table;
	const struct bk_service *svc = &b->service[x->service];
	struct plan best = { -1, 0, -1, 0, 0, 0, 0 };
	int current = relay_current(&c->relay, now), home = home_of(c, x, now), shared = x->nparts > 1 ? x->nparts - 1 : x->nparts;
	uint32_t n = c->server_table->nserver, seen[4], nseen = 0;
	int choice[3], holder[4], held[4], store = router_store_of(c, x), store_up;
	double all = (double)(router_tokens_upto(x, x->nparts) + x->tail_tokens);

	if (home < 0 || !svc->on)
		return best;
	arrsetlen(c->depth, n);
	memset(c->depth, 0, n * sizeof *c->depth);
	for (uint32_t s = 0; s < n && current; s++) {
		const struct bk_server *sv = &c->server_table->server[s];
		uint32_t k = 0;

		if (!sv->on || sv->is_store || sv->service != x->service)
			continue;
		while (k < nseen && seen[k] != c->sv[s].weights)
			k++;
		if (k == nseen && nseen < 4) {
			seen[nseen++] = c->sv[s].weights;
			held[k] = depths(c, x, core_hashs(0, router_cache_namespace(c, x, c->sv[s].weights, c->scratch)),
					 c->sv[s].weights);
		}
	}
	apr_pool_clear(c->scratch);
	store_up =
	    store >= 0 && (uint32_t)store < n && c->server_table->server[store].on && router_standing(c, (uint32_t)store, now);
	for (uint32_t k = 0; k < nseen; k++) {
		holder[k] = holder_of(c, x, seen[k], now);
		/* servers' links are many, the store's is one: it is asked for what no server keeps */
		if (holder[k] >= 0 && (!store_up || c->depth[holder[k]] >= held[k] || c->depth[holder[k]] >= shared)) {
			held[k] = c->depth[holder[k]];
		} else {
			holder[k] = store_up && held[k] ? store : -1;
		}
	}
	choices(c, x, choice, now);
	for (uint32_t s = 0; s < n; s++) {
		const struct bk_server *sv = &c->server_table->server[s];
		struct router_server *v = &c->sv[s];
		struct plan p = { (int)s, c->depth[s], -1, 0, 0, 0, 0 };
		double read;
		int from = -1, upto = 0;

		if (!sv->on || sv->service != x->service || sv->is_store || avoids(x, s, now) || !router_standing(c, s, now))
			continue;
		if (p.keep < shared && (int)s != home && (int)s != choice[0] && (int)s != choice[1] && (int)s != choice[2])
			continue;
		if (!fits(c, x, s, p.keep, svc, now))
			continue;
		for (uint32_t k = 0; k < nseen; k++)
			if (seen[k] == v->weights && holder[k] >= 0) {
				from = holder[k];
				upto = held[k];
			}
		if (from < 0 && current && (int)s != home && c->sv[home].weights == v->weights) {
			from = home;
			upto = shared; /* it has it, unless nobody asked there yet */
		}
		read = (all - (double)router_tokens_upto(x, p.keep)) / svc->prefill;
		if (!p.keep && (int)s == home && from < 0)
			read -= 0.7 * (double)router_tokens_upto(x, shared) / svc->prefill; /* others will have sent it here */
		if (from >= 0 && from != (int)s && upto > p.keep && svc->link) {
			double more = (double)(router_tokens_upto(x, upto) - router_tokens_upto(x, p.keep));
			double ms = more * svc->kv_bytes /
				    (c->server_table->server[from].is_store ? svc->store ? svc->store : 1 : svc->link);

			ms = ms * slow_of(c, (uint32_t)from, s, now) * (c->server_table->server[from].zone == sv->zone ? 1 : 2) +
			     ROUTER_FETCH_MS + link_wait(c, (uint32_t)from, now);
			if (ms < ROUTER_FETCH_WAIT) {
				p.from = from;
				p.upto = upto;
				p.fetch = ms;
				p.move = ms - ROUTER_FETCH_MS - link_wait(c, (uint32_t)from, now);
				read += ms - more / svc->prefill;
			}
		}
		p.cost = read + load_of(c, s, svc, now);
		if (!begins_in_time(c, x, v->weights, p.cost, now))
			continue;
		if (p.keep < shared && ((int)s != home || (from >= 0 && from != store && from != (int)s)))
			p.cost += ROUTER_AWAY_MS +
				  ROUTER_AWAY_K * (double)(router_tokens_upto(x, shared) - router_tokens_upto(x, p.keep)) / 1000;
		if (best.server < 0 || p.cost < best.cost)
			best = p;
	}
	return best;
}

/* The store, where the prefix is to be left once it is read there: it is up and not known to have it. 0: not. */
uint64_t router_sink(struct router *c, const struct client_request *x, uint64_t cache_namespace, int64_t now)
{
	int st = router_store_of(c, x), shared = x->nparts > 1 ? x->nparts - 1 : x->nparts;

	if (st < 0 || (uint32_t)st >= c->server_table->nserver || !c->server_table->server[st].on ||
	    !router_standing(c, (uint32_t)st, now))
		return 0;
	if (link_wait(c, (uint32_t)st, now) > ROUTER_SINK_WAIT)
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
