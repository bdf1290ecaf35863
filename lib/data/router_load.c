/* router_load: what all routers have under way at each server. A router alone sees only its own sends, so several would
 * queue behind each other at one server while others idle. Its word goes to the head of its zone, sums go between heads,
 * and the sum of all comes back: three hops, some 50 ms old, and a cost that does not grow with the square of routers.
 * Soft state: a lost word is mended by the next whole one. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "ds.h"

enum { LOAD_OWN = 0, LOAD_ZONE = 1, LOAD_ALL = 2 };

static void size_to(struct load_cell **v, uint32_t n)
{
	struct load_cell zero = { 0, 0, 0 };

	while (arrlen(*v) < (ptrdiff_t)n)
		arrput(*v, zero);
}

static void add(struct load_cell *to, const struct load_cell *v)
{
	to->ahead += v->ahead;
	to->running += v->running;
	to->tokens += v->tokens;
}

/* What all have, less what this router knows that the head counts as its own. */
static struct load_cell others_of(const struct load_cell *all, const struct load_cell *mine)
{
	return (struct load_cell){
		all->ahead > mine->ahead ? all->ahead - mine->ahead : 0,
		all->running > mine->running ? all->running - mine->running : 0,
		all->tokens > mine->tokens ? all->tokens - mine->tokens : 0,
	};
}

/* Say what has changed since the last word, or all that is not nothing; nothing is said when nothing has. */
static void say(struct router *c, const uint64_t *to, int n, int of, const struct load_cell *v, struct load_cell **told, int whole,
		struct out *o)
{
	uint32_t servers = c->server_table->nserver;
	struct Nl__Load *l;

	size_to(told, servers);
	l = OUT_NEW(o, Nl__Load, NL__LOAD__INIT);
	l->of = (uint32_t)of;
	l->zone = c->zone_hash;
	l->whole = whole;
	l->row = apr_palloc(o->p, (servers + 1) * sizeof *l->row);
	for (uint32_t s = 0; s < servers; s++) {
		struct Nl__LoadRow *x;

		if (whole ? !v[s].ahead && !v[s].running : !memcmp(&v[s], &(*told)[s], sizeof v[s]))
			continue;
		x = OUT_NEW(o, Nl__LoadRow, NL__LOAD_ROW__INIT);
		x->server = apr_pstrdup(o->p, c->servers.name[s]);
		x->ahead = v[s].ahead;
		x->running = v[s].running;
		x->tokens = v[s].tokens;
		l->row[l->n_row++] = x;
	}
	if (servers)
		memcpy(*told, v, servers * sizeof *v);
	if (!whole && !l->n_row)
		return;
	for (int i = 0; i < n; i++)
		out_msg(o, to[i], 0, NL__MSG__BODY_LOAD)->load = l;
}

static struct load_cell *zeros(const struct router *c, struct out *o)
{
	return apr_pcalloc(o->p, (c->server_table->nserver + 1) * sizeof(struct load_cell));
}

/* How long after its last word a router says what has changed: soon where a send left or began, so that the head of its zone, which
 * others ask, knows; else as rarely as words are said that all hear. Heads are few, and tell each other soon. */
static int load_interval(const struct router *c)
{
	int rarely = router_interval(c, ROUTER_LOAD);

	if (!c->f.nup)
		return ROUTER_LOAD;
	return c->load_changed && rarely > ROUTER_LOAD_SOON ? ROUTER_LOAD_SOON : rarely;
}

void router_load_tick(struct router *c, int64_t now, struct out *o)
{
	struct load_cell *own, *zone, *all;
	uint64_t *down;
	int whole, n = 0;

	if (!c->server_table || now - c->load_at < load_interval(c))
		return;
	c->load_at = now;
	c->load_changed = 0;
	whole = now - c->load_whole >= (c->f.counters > 16 ? 2 : 1) * ROUTER_LOAD_WHOLE;
	if (whole)
		c->load_whole = now;
	for (ptrdiff_t i = arrlen(c->load) - 1; i >= 0; i--)
		if (now - c->load[i].at > ROUTER_LOAD_OLD) {
			arrfree(c->load[i].v);
			arrdelswap(c->load, i);
		}
	own = zeros(c, o);
	for (uint32_t s = 0; s < c->server_table->nserver; s++)
		own[s] = (struct load_cell){ c->sv[s].ahead, (uint32_t)c->sv[s].own, (uint32_t)c->sv[s].tokens };
	if (c->f.nup) { /* not the head: what others have is what the head says of all, less what it knows to be ours */
		say(c, c->f.up, 1, LOAD_OWN, own, &c->told_up, whole, o);
		return;
	}
	zone = zeros(c, o);
	all = zeros(c, o);
	size_to(&c->others, c->server_table->nserver);
	for (ptrdiff_t i = 0; i < arrlen(c->load); i++)
		for (ptrdiff_t s = 0; s < arrlen(c->load[i].v) && s < (ptrdiff_t)c->server_table->nserver; s++)
			if (c->load[i].of != LOAD_ALL)
				add(c->load[i].of == LOAD_OWN ? &zone[s] : &all[s], &c->load[i].v[s]);
	for (uint32_t s = 0; s < c->server_table->nserver; s++) {
		c->others[s] = zone[s];
		add(&c->others[s], &all[s]);
		add(&zone[s], &own[s]);
		add(&all[s], &zone[s]);
	}
	c->others_fresh = now;
	if (c->f.nhead)
		say(c, c->f.head, c->f.nhead, LOAD_ZONE, zone, &c->told_far, whole, o);
	if (!whole && now - c->load_told_at < router_interval(c, ROUTER_LOAD))
		return;
	c->load_told_at = now;
	down = apr_palloc(o->p, ((size_t)arrlen(c->load) + 1) * sizeof *down);
	for (ptrdiff_t i = 0; i < arrlen(c->load); i++)
		if (c->load[i].of == LOAD_OWN)
			down[n++] = c->load[i].addr;
	if (n)
		say(c, down, n, LOAD_ALL, all, &c->told_down, whole, o);
}

void router_on_load(struct router *c, uint64_t id, uint64_t addr, const struct Nl__Load *l, int64_t now)
{
	struct load_from *f = NULL, zero = { id, (int)l->of, now, addr, NULL };

	if (!c->server_table || l->of > LOAD_ALL || id == c->id)
		return;
	for (ptrdiff_t i = 0; i < arrlen(c->load) && !f; i++)
		if (c->load[i].id == id)
			f = &c->load[i];
	if (!f) {
		arrput(c->load, zero);
		f = &arrlast(c->load);
	}
	if (f->of != (int)l->of || l->whole)
		arrsetlen(f->v, 0);
	f->of = (int)l->of;
	f->at = now;
	f->addr = addr;
	size_to(&f->v, c->server_table->nserver);
	if (l->whole && arrlen(f->v))
		memset(f->v, 0, (size_t)arrlen(f->v) * sizeof *f->v);
	for (size_t i = 0; i < l->n_row; i++) {
		int s = names_find(&c->servers, l->row[i]->server);

		if (s >= 0 && s < arrlen(f->v))
			f->v[s] = (struct load_cell){ l->row[i]->ahead, l->row[i]->running, l->row[i]->tokens };
	}
	if (l->of != LOAD_ALL)
		return;
	size_to(&c->others, c->server_table->nserver);
	size_to(&c->told_up, c->server_table->nserver);
	for (ptrdiff_t s = 0; s < arrlen(f->v) && s < arrlen(c->others); s++)
		c->others[s] = others_of(&f->v[s], &c->told_up[s]);
	c->others_fresh = now;
}

int router_load_all(const struct router *c, uint32_t server, struct load_cell *all)
{
	if (!mechanism_on(c->b.without, MECHANISM_SHARED_LOAD) || server >= (uint32_t)arrlen(c->others) ||
	    server >= (uint32_t)arrlen(c->sv))
		return 0;
	*all = (struct load_cell){ c->sv[server].ahead, (uint32_t)c->sv[server].own, (uint32_t)c->sv[server].tokens };
	add(all, &c->others[server]);
	return 1;
}

void router_load_heard(struct router *c, uint32_t server, const struct load_cell *all)
{
	if (server >= (uint32_t)arrlen(c->others) || server >= (uint32_t)arrlen(c->told_up))
		return;
	c->others[server] = others_of(all, &c->told_up[server]);
}

void router_load_clear(struct router *c)
{
	for (ptrdiff_t i = 0; i < arrlen(c->load); i++)
		arrfree(c->load[i].v);
	arrfree(c->load);
	arrfree(c->told_up);
	arrfree(c->told_down);
	arrfree(c->told_far);
	arrfree(c->others);
}
