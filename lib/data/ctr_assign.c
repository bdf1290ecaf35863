/* ctr_assign: which server an exchange goes to, what it reuses there, and what it fetches from where. */
#include "ctr_in.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"

int ctr_standing(const struct ctr *c, uint32_t s, int64_t now)
{
	const struct bk_server *b = &c->book->server[s];
	const struct ctr_server *v = &c->sv[s];

	return b->on && !b->draining && v->have && !v->loading && now - v->reported < CTR_REPORT && now >= v->bad_until;
}

const struct kept_copy *ctr_usable(struct ctr *c, const struct xch *x, uint64_t hash, uint32_t server, uint32_t weights)
{
	const struct book *b = c->book;
	struct kept_copy *v = kept_get(&c->kept, hash);

	for (ptrdiff_t i = 0; i < arrlen(v); i++) {
		if (v[i].server != server || v[i].weights != weights || v[i].maker >= b->ntenant)
			continue;
		if (v[i].maker != x->tenant && (b->tenant[v[i].maker].walled || b->tenant[x->tenant].walled || !b->tenant[v[i].maker].on))
			continue;
		if (view_allows(&c->relay.w, c->services.name[x->service], c->weights.name[weights], c->tenants.name[v[i].maker],
		                c->servers.name[server], v[i].stamp))
			return &v[i];
	}
	return NULL;
}

/* How many leading parts a server keeps in a form this exchange may use. */
static int prefix(struct ctr *c, const struct xch *x, uint32_t server, uint32_t weights)
{
	int n = 0;

	while (n < x->nparts && ctr_usable(c, x, x->hash[n], server, weights))
		n++;
	return n;
}

uint64_t ctr_tokens_upto(const struct xch *x, int n)
{
	uint64_t t = 0;

	for (int i = 0; i < n; i++)
		t += x->tokens[i];
	return t;
}

static int busy(const struct ctr_server *v)
{
	return v->others + v->own;
}

/* How much slower than the table says the link between two servers was seen to be; forgotten by and by. */
static double slow_of(struct ctr *c, uint32_t from, uint32_t to, int64_t now)
{
	ptrdiff_t i = hmgeti(c->pair, (uint64_t)from << 32 | to);
	double slow = i < 0 ? 1 : c->pair[i].value.slow;

	for (int64_t t = i < 0 ? 0 : now - c->pair[i].value.at; t >= CTR_SLOW_HALF && slow > 1; t -= CTR_SLOW_HALF)
		slow /= 2;
	return slow < 1 ? 1 : slow;
}

/* An answer says what its fetch took and brought. One that brought nothing was waited for in vain. */
void ctr_learn_fetch(struct ctr *c, const struct xch *x, int64_t took, int brought, int64_t now)
{
	double slow = brought && took > 0 ? (double)took / (x->fetch_ms ? x->fetch_ms : 1) : CTR_SLOW_MOST;

	if (took <= 20 && brought) /* too short to tell a link from a process that was not scheduled */
		slow = 1;
	if (slow > CTR_SLOW_MOST)
		slow = CTR_SLOW_MOST;
	hmput(c->pair, (uint64_t)x->from << 32 | (uint32_t)x->server, ((typeof(c->pair->value)){ slow, now }));
}

/* Prefill saved against load and lines; a fetch where the link beats the prefill. */
struct plan ctr_assign(struct ctr *c, const struct xch *x, int64_t now)
{
	const struct book *b = c->book;
	const struct bk_service *svc = &b->service[x->service];
	struct plan best = { -1, 0, -1, 0, 0, 0 };
	int current = relay_current(&c->relay, now);
	uint64_t all = ctr_tokens_upto(x, x->nparts) + x->tail_tokens;

	for (uint32_t s = 0; s < b->nserver; s++) {
		struct ctr_server *v = &c->sv[s];
		struct plan p = { (int)s, 0, -1, 0, 0, 0 };
		double prefill;

		if (b->server[s].is_store || b->server[s].service != x->service || s == x->tried || !ctr_standing(c, s, now) || busy(v) >= v->slots)
			continue;
		if (current)
			p.keep = prefix(c, x, s, v->weights);
		prefill = c->plain ? 0 : (double)(all - ctr_tokens_upto(x, p.keep)) / svc->prefill;
		p.cost = prefill + v->mean_ms * busy(v) / v->slots;
		for (uint32_t f = 0; current && !c->plain && p.keep < x->nparts && f < b->nserver; f++) { /* a colleague server or the store */
			double speed = b->server[f].is_store ? svc->store : svc->link, save, cost, fetch;
			int n;

			if (f == s || b->server[f].service != x->service || !speed || (!b->server[f].is_store && c->sv[f].weights != v->weights) ||
			    !ctr_standing(c, f, now))
				continue;
			n = prefix(c, x, f, v->weights);
			if (n <= p.keep)
				continue;
			save = (double)(ctr_tokens_upto(x, n) - ctr_tokens_upto(x, p.keep));
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
