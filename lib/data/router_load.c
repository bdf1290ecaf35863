/* router_load: what all routers have under way at each server. A router alone sees only its own sends, so
 * several would queue behind each other at one server while others idle. Its word goes to the head of its
 * zone, sums go between heads, and the sum of all comes back: three hops, some 50 ms old, and a cost that
 * does not grow with the square of routers. Soft state: a lost word is mended by the next whole one. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

enum { LOAD_SCOPE_ROUTER = 0, LOAD_SCOPE_ZONE = 1, LOAD_SCOPE_FLEET = 2 };

static void resize_cells(struct load_cell **load, uint32_t count)
{
	struct load_cell zero = { 0, 0, 0 };

	while (arrlen(*load) < (ptrdiff_t)count)
		arrput(*load, zero);
}

static void add(struct load_cell *load, const struct load_cell *v)
{
	load->prefill_tokens += v->prefill_tokens;
	load->running += v->running;
	load->resident_tokens += v->resident_tokens;
}

/* What all have, less what this router knows that the head counts as its own. */
static struct load_cell others_share(const struct load_cell *all, const struct load_cell *mine)
{
	return (struct load_cell){
		all->prefill_tokens > mine->prefill_tokens ? all->prefill_tokens - mine->prefill_tokens : 0,
		all->running > mine->running ? all->running - mine->running : 0,
		all->resident_tokens > mine->resident_tokens ? all->resident_tokens - mine->resident_tokens
							     : 0,
	};
}

/* Say what has changed since the last word, or all that is not nothing; nothing is said when nothing has. */
static void say(struct router *c, const uint64_t *to, int n, int of, const struct load_cell *v,
		struct load_cell **told, int whole, struct command_list *out)
{
	uint32_t servers = c->config.server_table->server_count;
	struct Nl__Load *load;

	resize_cells(told, servers);
	load = MESSAGE_NEW(out, Nl__Load, NL__LOAD__INIT);
	load->origin = (uint32_t)of;
	load->zone = c->zone_hash;
	load->full = whole;
	load->rows = apr_palloc(out->pool, (servers + 1) * sizeof *load->rows);
	for (uint32_t s = 0; s < servers; s++) {
		struct Nl__LoadRow *x;

		if (whole ? !v[s].prefill_tokens && !v[s].running : !memcmp(&v[s], &(*told)[s], sizeof v[s]))
			continue;
		x = MESSAGE_NEW(out, Nl__LoadRow, NL__LOAD_ROW__INIT);
		x->server = apr_pstrdup(out->pool, c->names.servers.names[s]);
		x->prefill_tokens = v[s].prefill_tokens;
		x->running_requests = v[s].running;
		x->memory_tokens = v[s].resident_tokens;
		load->rows[load->n_rows++] = x;
	}
	if (servers)
		memcpy(*told, v, servers * sizeof *v);
	if (!whole && !load->n_rows)
		return;
	for (int i = 0; i < n; i++)
		command_send(out, to[i], 0, NL__MSG__BODY_LOAD)->load = load;
}

static struct load_cell *zero_cells(const struct router *router, struct command_list *out)
{
	return apr_pcalloc(out->pool,
			   (router->config.server_table->server_count + 1) * sizeof(struct load_cell));
}

/* How long after its last word a router says what has changed: soon where a send left or began, so that the
 * head of its zone, which others ask, knows; else as rarely as words are said that all hear. Heads are few,
 * and tell each other soon. */
static int load_interval_ms(const struct router *router)
{
	int rarely = router_scaled_interval_ms(router, ROUTER_LOAD_INTERVAL_MS);

	if (!router->config.watch.upstream_count)
		return ROUTER_LOAD_INTERVAL_MS;
	return router->load.changed && rarely > ROUTER_LOAD_CHANGED_INTERVAL_MS
		   ? ROUTER_LOAD_CHANGED_INTERVAL_MS
		   : rarely;
}

void router_load_tick(struct router *router, int64_t now, struct command_list *out)
{
	struct load_cell *own, *zone, *all;
	uint64_t *down;
	int full, n = 0;

	if (!router->config.server_table || now - router->load.sent_at_ms < load_interval_ms(router))
		return;
	router->load.sent_at_ms = now;
	router->load.changed = 0;
	full = now - router->load.full_sent_at_ms >=
	       (router->config.watch.router_count > 16 ? 2 : 1) * ROUTER_LOAD_FULL_INTERVAL_MS;
	if (full)
		router->load.full_sent_at_ms = now;
	for (ptrdiff_t i = arrlen(router->load.sources) - 1; i >= 0; i--)
		if (now - router->load.sources[i].received_at_ms > ROUTER_LOAD_VALID_MS) {
			arrfree(router->load.sources[i].cells);
			arrdelswap(router->load.sources, i);
		}
	own = zero_cells(router, out);
	for (uint32_t s = 0; s < router->config.server_table->server_count; s++)
		own[s] = (struct load_cell){ router->servers.states[s].prefill_tokens,
					     (uint32_t)router->servers.states[s].own_running,
					     (uint32_t)router->servers.states[s].resident_tokens };
	if (router->config.watch.upstream_count) { /* not the head: what others have is what the head says of
						      all, less what it knows to be ours */
		say(router, router->config.watch.upstream, 1, LOAD_SCOPE_ROUTER, own,
		    &router->load.sent_to_head, full, out);
		return;
	}
	zone = zero_cells(router, out);
	all = zero_cells(router, out);
	resize_cells(&router->load.others, router->config.server_table->server_count);
	for (ptrdiff_t i = 0; i < arrlen(router->load.sources); i++)
		for (ptrdiff_t s = 0; s < arrlen(router->load.sources[i].cells) &&
				      s < (ptrdiff_t)router->config.server_table->server_count;
		     s++)
			if (router->load.sources[i].scope != LOAD_SCOPE_FLEET)
				add(router->load.sources[i].scope == LOAD_SCOPE_ROUTER ? &zone[s] : &all[s],
				    &router->load.sources[i].cells[s]);
	for (uint32_t s = 0; s < router->config.server_table->server_count; s++) {
		router->load.others[s] = zone[s];
		add(&router->load.others[s], &all[s]);
		add(&zone[s], &own[s]);
		add(&all[s], &zone[s]);
	}
	router->load.others_at_ms = now;
	if (router->config.watch.zone_head_count)
		say(router, router->config.watch.zone_heads, router->config.watch.zone_head_count,
		    LOAD_SCOPE_ZONE, zone, &router->load.sent_to_heads, full, out);
	if (!full &&
	    now - router->load.zone_sent_at_ms < router_scaled_interval_ms(router, ROUTER_LOAD_INTERVAL_MS))
		return;
	router->load.zone_sent_at_ms = now;
	down = apr_palloc(out->pool, ((size_t)arrlen(router->load.sources) + 1) * sizeof *down);
	for (ptrdiff_t i = 0; i < arrlen(router->load.sources); i++)
		if (router->load.sources[i].scope == LOAD_SCOPE_ROUTER)
			down[n++] = router->load.sources[i].addr;
	if (n)
		say(router, down, n, LOAD_SCOPE_FLEET, all, &router->load.sent_to_zone, full, out);
}

void router_on_load(struct router *router, uint64_t id, uint64_t addr, const struct Nl__Load *load,
		    int64_t now)
{
	struct load_source *load_from = NULL, zero = { id, (int)load->origin, now, addr, NULL };

	if (!router->config.server_table || load->origin > LOAD_SCOPE_FLEET || id == router->id)
		return;
	for (ptrdiff_t i = 0; i < arrlen(router->load.sources) && !load_from; i++)
		if (router->load.sources[i].router_id == id)
			load_from = &router->load.sources[i];
	if (!load_from) {
		arrput(router->load.sources, zero);
		load_from = &arrlast(router->load.sources);
	}
	if (load_from->scope != (int)load->origin || load->full)
		arrsetlen(load_from->cells, 0);
	load_from->scope = (int)load->origin;
	load_from->received_at_ms = now;
	load_from->addr = addr;
	resize_cells(&load_from->cells, router->config.server_table->server_count);
	if (load->full && arrlen(load_from->cells))
		memset(load_from->cells, 0, (size_t)arrlen(load_from->cells) * sizeof *load_from->cells);
	for (size_t i = 0; i < load->n_rows; i++) {
		int server_index = names_find(&router->names.servers, load->rows[i]->server);

		if (server_index >= 0 && server_index < arrlen(load_from->cells))
			load_from->cells[server_index] = (struct load_cell){ load->rows[i]->prefill_tokens,
									     load->rows[i]->running_requests,
									     load->rows[i]->memory_tokens };
	}
	if (load->origin != LOAD_SCOPE_FLEET)
		return;
	resize_cells(&router->load.others, router->config.server_table->server_count);
	resize_cells(&router->load.sent_to_head, router->config.server_table->server_count);
	for (ptrdiff_t server_index = 0;
	     server_index < arrlen(load_from->cells) && server_index < arrlen(router->load.others);
	     server_index++)
		router->load.others[server_index] =
		    others_share(&load_from->cells[server_index], &router->load.sent_to_head[server_index]);
	router->load.others_at_ms = now;
}

int router_fleet_load(const struct router *router, uint32_t server, struct load_cell *all)
{
	if (!mechanism_on(router->config.bounds.disabled_mechanisms, MECHANISM_SHARED_LOAD) ||
	    server >= (uint32_t)arrlen(router->load.others) ||
	    server >= (uint32_t)arrlen(router->servers.states))
		return 0;
	*all = (struct load_cell){ router->servers.states[server].prefill_tokens,
				   (uint32_t)router->servers.states[server].own_running,
				   (uint32_t)router->servers.states[server].resident_tokens };
	add(all, &router->load.others[server]);
	return 1;
}

void router_load_learn(struct router *router, uint32_t server, const struct load_cell *all)
{
	if (server >= (uint32_t)arrlen(router->load.others) ||
	    server >= (uint32_t)arrlen(router->load.sent_to_head))
		return;
	router->load.others[server] = others_share(all, &router->load.sent_to_head[server]);
}

void router_load_clear(struct router *router)
{
	for (ptrdiff_t i = 0; i < arrlen(router->load.sources); i++)
		arrfree(router->load.sources[i].cells);
	arrfree(router->load.sources);
	arrfree(router->load.sent_to_head);
	arrfree(router->load.sent_to_zone);
	arrfree(router->load.sent_to_heads);
	arrfree(router->load.others);
}
