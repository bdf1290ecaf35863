/* router_assign: which server a request of the product's own interface goes to, what it reuses there, and what it fetches from
 * where. router_placement has the same for forwarded requests. */
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
int router_avoids(const struct client_request *x, uint32_t s, int64_t now) { return s == x->tried && now < x->tried_until; }

static int busy(const struct router_server *v) { return v->others + v->own; }

/* How much slower than the table says the link between two servers was seen to be; forgotten by and by. */
double router_link_slowness(struct router *c, uint32_t from, uint32_t to, int64_t now)
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
	struct plan best = { .server = -1, .from = -1 };
	int current = relay_current(&c->relay, now);
	uint64_t all = router_tokens_upto(x, x->nparts) + x->tail_tokens;

	for (uint32_t s = 0; s < c->server_table->nserver; s++) {
		struct router_server *v = &c->sv[s];
		struct plan p = { .server = (int)s, .from = -1 };
		double prefill;

		if (c->server_table->server[s].is_store || c->server_table->server[s].service != x->service ||
		    router_avoids(x, s, now) || !router_standing(c, s, now) || busy(v) >= v->slots)
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
			cost = fetch * router_link_slowness(c, f, s, now);
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
