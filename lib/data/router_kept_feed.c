/* router_kept_feed: what the head of a zone tells its downstream routers of the prompt parts that servers keep.
 * The head alone watches servers; each of their events would be sent on once for each router of the zone, so the head's own
 * link is the bound. Events wait here, the newest of each part in place of older ones, and leave as fast as a share of the
 * link carries them: what callers and the configuration send shares that link and must not wait behind them. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "ds.h"

enum {
	FEED_SHARE_PERCENT = 40, /* of the link, for all downstream routers together */
	FEED_BURST_MS = 100,     /* of that share which one message to all of them may take */
	FEED_ROWS = 2048         /* rows of the index in one message to a router that is new */
};

/* Bytes that the feed may send in a ms; 0: the link has no bound that we know. */
static int64_t feed_rate(const struct router *c) { return (int64_t)c->b.link_kbps * FEED_SHARE_PERCENT / 100 / 8; }

/* A message of this size has been given to so many routers: no more before the link's share has carried it. */
static void feed_spent(struct router *c, const struct Nl__KeptAll *message, ptrdiff_t routers, int64_t now)
{
	int64_t rate = feed_rate(c), bytes = (int64_t)nl__kept_all__get_packed_size(message) * routers;

	if (c->feed.free_at < now)
		c->feed.free_at = now;
	if (rate)
		c->feed.free_at += bytes / rate;
}

/* ---- what waits ---------------------------------------------------------------------------------------- */

static void news_clear(struct kept_news *news)
{
	hmfree(news->part);
	memset(news, 0, sizeof *news);
}

void router_feed_clear(struct router *c)
{
	for (ptrdiff_t i = 0; i < arrlen(c->sv); i++)
		news_clear(&c->sv[i].news);
	arrfree(c->feed.queue);
}

void router_feed_add(struct router *c, uint32_t server, const struct Nl__Kept *kept)
{
	struct kept_news *news = &c->sv[server].news;
	int anew = kept->lost || (c->sv[server].epoch && c->sv[server].epoch != kept->epoch);

	/* of a store each word goes on, for it says that the store is up */
	if (!arrlen(c->relay.down) || (!kept->n_e && !anew && !c->server_table->server[server].is_store))
		return;
	if (anew) {
		hmfree(news->part);
		news->lost = 1;
	}
	news->epoch = kept->epoch;
	news->next = kept->next;
	for (size_t i = 0; i < kept->n_e; i++) {
		const struct Nl__KeptEvent *e = kept->e[i];
		typeof(news->part->value) event = { router_filed_text(e->cache_namespace), e->gone };

		hmput(news->part, router_kept_key(core_hashs(0, e->cache_namespace), e->id), event);
	}
	if (!news->queued)
		arrput(c->feed.queue, server);
	news->queued = 1;
}

/* ---- to all downstream routers --------------------------------------------------------------------------- */

/* The waiting events of one server as they are sent: keys alone, which is all that the index asks for. */
static struct Nl__Kept *news_message(const struct router *c, uint32_t server, struct out *o)
{
	const struct kept_news *news = &c->sv[server].news;
	struct Nl__Kept *m = OUT_NEW(o, Nl__Kept, NL__KEPT__INIT);
	size_t n = (size_t)hmlen(news->part);
	int filed = 0;

	m->server = apr_pstrdup(o->p, c->servers.name[server]);
	m->epoch = news->epoch;
	m->next = news->next;
	m->lost = news->lost;
	m->added = apr_palloc(o->p, (n + 1) * sizeof *m->added);
	m->added_filed = apr_palloc(o->p, (n + 1) * sizeof *m->added_filed);
	m->removed = apr_palloc(o->p, (n + 1) * sizeof *m->removed);
	for (size_t i = 0; i < n; i++) {
		if (news->part[i].value.gone) {
			m->removed[m->n_removed++] = news->part[i].key;
			continue;
		}
		m->added_filed[m->n_added] = news->part[i].value.filed;
		filed |= news->part[i].value.filed != 0;
		m->added[m->n_added++] = news->part[i].key;
	}
	m->n_added_filed = filed ? m->n_added : 0;
	return m;
}

/* The servers that have waited longest, as many as one message may take. */
static void tell_news(struct router *c, int64_t now, struct out *o)
{
	ptrdiff_t routers = arrlen(c->relay.down);
	int64_t most = routers ? feed_rate(c) * FEED_BURST_MS / routers : 0, bytes = 0;
	struct Nl__KeptAll *all = OUT_NEW(o, Nl__KeptAll, NL__KEPT_ALL__INIT);
	ptrdiff_t taken = 0;

	all->k = apr_palloc(o->p, (size_t)arrlen(c->feed.queue) * sizeof(struct Nl__Kept *));
	for (; taken < arrlen(c->feed.queue) && (!most || bytes < most); taken++) {
		uint32_t server = c->feed.queue[taken];
		struct Nl__Kept *m;

		if (c->server_table->server[server].on) {
			m = news_message(c, server, o);
			bytes += (int64_t)nl__kept__get_packed_size(m);
			all->k[all->n_k++] = m;
		}
		news_clear(&c->sv[server].news);
	}
	arrdeln(c->feed.queue, 0, taken);
	if (!all->n_k)
		return;
	for (ptrdiff_t i = 0; i < routers; i++)
		out_msg(o, c->relay.down[i].addr, 0, NL__MSG__BODY_KEPT_ALL)->kept_all = all;
	feed_spent(c, all, routers, now);
}

/* ---- to one that is new ------------------------------------------------------------------------------------ */

/* Rows [from, to) of the index as messages, one a server. */
static struct Nl__KeptAll *index_message(struct router *c, ptrdiff_t from, ptrdiff_t to, struct out *o)
{
	const struct server_table *table = c->server_table;
	struct Nl__KeptAll *all = OUT_NEW(o, Nl__KeptAll, NL__KEPT_ALL__INIT);
	struct Nl__Kept **of = apr_pcalloc(o->p, (table->nserver + 1) * sizeof *of);

	all->k = apr_palloc(o->p, (table->nserver + 1) * sizeof *all->k);
	for (int fill = 0; fill < 2; fill++) { /* counted first, then put in */
		for (ptrdiff_t i = from; i < to; i++)
			for (ptrdiff_t k = 0; k < arrlen(c->kept.h[i].value); k++) {
				uint32_t s = c->kept.h[i].value[k].server;

				if (s >= table->nserver || !table->server[s].on || !c->sv[s].epoch)
					continue;
				if (!of[s]) {
					of[s] = OUT_NEW(o, Nl__Kept, NL__KEPT__INIT);
					of[s]->server = apr_pstrdup(o->p, c->servers.name[s]);
					of[s]->epoch = c->sv[s].epoch;
					of[s]->next = c->sv[s].next;
					all->k[all->n_k++] = of[s];
				}
				if (fill)
					of[s]->held[of[s]->n_held] = c->kept.h[i].key;
				of[s]->n_held++;
			}
		for (size_t i = 0; !fill && i < all->n_k; i++) {
			all->k[i]->held = apr_palloc(o->p, all->k[i]->n_held * sizeof *all->k[i]->held);
			all->k[i]->n_held = 0;
		}
	}
	return all;
}

/* A router that is new in the zone, or back, hears only what changes from then on; so it is told once all that is known to be
 * kept, or it would have prompts read again that lie ready. It adds this to what it knows itself. The index is gone through from
 * its end: what a deletion moves meanwhile is told twice rather than never. */
static void tell_index(struct router *c, struct relay_down *down, int64_t now, struct out *o)
{
	ptrdiff_t rows = hmlen(c->kept.h), from;
	struct Nl__KeptAll *all;

	if (!down->briefed || down->untold > rows)
		down->untold = rows;
	down->briefed = 1;
	from = down->untold > FEED_ROWS ? down->untold - FEED_ROWS : 0;
	all = index_message(c, from, down->untold, o);
	down->untold = from;
	if (!all->n_k)
		return;
	out_msg(o, down->addr, 0, NL__MSG__BODY_KEPT_ALL)->kept_all = all;
	feed_spent(c, all, 1, now);
}

static struct relay_down *next_unbriefed(struct router *c)
{
	for (ptrdiff_t i = 0; i < arrlen(c->relay.down); i++)
		if (!c->relay.down[i].briefed || c->relay.down[i].untold)
			return &c->relay.down[i];
	return NULL;
}

void router_feed_tick(struct router *c, int64_t now, struct out *o)
{
	struct relay_down *down;

	if (!c->server_table || c->f.nup || !arrlen(c->relay.down) ||
	    !mechanism_on(c->b.without, MECHANISM_FEED)) { /* another is the head, or there is nobody to tell */
		if (arrlen(c->feed.queue))
			router_feed_clear(c);
		return;
	}
	if (now < c->feed.free_at)
		return;
	if (arrlen(c->feed.queue) && now - c->feed.told_at >= router_interval(c, ROUTER_KEPT_TELL)) {
		c->feed.told_at = now;
		tell_news(c, now, o);
	} else if ((down = next_unbriefed(c))) {
		tell_index(c, down, now, o);
	}
}
