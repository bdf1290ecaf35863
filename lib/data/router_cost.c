/* router_cost: what a send would meet at a server: what is under way there, what fits, what a move of kept parts takes. */
#include "router_internal.h"

#include <string.h>

#include "ds.h"

/* Of what was seen lately, less the older it is. */
static double faded(double v, int64_t at, int64_t now, int half)
{
	for (int64_t t = now - at; t >= half && v > 0.01; t -= half)
		v /= 2;
	return v;
}

/* Whether others' load is known from the heads of zones. */
static int load_is_fresh(const struct router *c, uint32_t s, int64_t now)
{
	return now - c->others_fresh <= ROUTER_LOAD_OLD && s < (uint32_t)arrlen(c->others) &&
	       mechanism_on(c->b.without, MECHANISM_SHARED_LOAD);
}

struct server_load router_server_load(const struct router *c, uint32_t s, int64_t now)
{
	const struct router_server *v = &c->sv[s];
	struct server_load load = { (uint32_t)v->own, v->ahead, v->tokens };

	if (load_is_fresh(c, s, now)) {
		load.running += c->others[s].running;
		load.ahead += c->others[s].ahead;
		load.tokens += c->others[s].tokens;
	} else {
		uint32_t others = (uint32_t)faded(v->others, v->others_at, now, ROUTER_OTHERS_HALF);

		load.running += others;
		load.tokens += (uint64_t)others * ROUTER_MEAN_SIZE;
	}
	return load;
}

double router_load_ms(const struct router *c, uint32_t s, const struct bk_service *service, int64_t now)
{
	const struct router_server *v = &c->sv[s];
	struct server_load load = router_server_load(c, s, now);
	double ms = (double)load.ahead / service->prefill + ROUTER_STEP_MS * load.running;

	if (mechanism_on(c->b.without, MECHANISM_LATENESS))
		ms += faded(v->late_ms, v->late_at, now, ROUTER_LATE_HALF) / 2;
	ms += ROUTER_FAILED_MS * faded(v->failed, v->failed_at, now, ROUTER_FAILED_HALF);
	return ms + (c->server_table->server[s].zone == c->zone_hash ? 0 : 1);
}

uint32_t router_brings(const struct client_request *x, int keep)
{
	return x->size - (uint32_t)router_tokens_upto(x, keep < x->nparts ? keep : x->nparts);
}

int router_fits(const struct router *c, const struct client_request *x, uint32_t s, int keep, const struct bk_service *service,
		int64_t now)
{
	struct server_load load = router_server_load(c, s, now);

	if (load.running >= (uint32_t)c->sv[s].slots)
		return 0;
	if (!mechanism_on(c->b.without, MECHANISM_ROOM))
		return 1;
	if (load.ahead && load.ahead / service->prefill > ROUTER_WAIT_MOST)
		return 0;
	return !service->room || !load.tokens || load.tokens + router_brings(x, keep) <= service->room * ROUTER_FULL_PART / 100;
}

/* Moves at one machine run one after the other. */
double router_link_wait(const struct router *c, uint32_t s, int64_t now)
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

double router_move_ms(const struct router *c, uint32_t from, uint32_t to, double tokens, const struct bk_service *service)
{
	const struct bk_server *source = &c->server_table->server[from];
	double speed = source->is_store ? service->store ? service->store : 1 : service->link;

	return tokens * service->kv_bytes / speed * (source->zone == c->server_table->server[to].zone ? 1 : 2);
}
