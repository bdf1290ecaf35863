/* router_load: what all routers have under way at each server. A router alone knows only its own sends, so
 * several would queue behind each other at one server while others idle. Each router publishes its load to
 * the head of its zone, heads publish sums to each other, and the sum of all comes back to the zone: three
 * hops, some 50 ms old, and a cost that does not grow with the square of routers. Soft state: a lost message
 * is repaired by the next full one. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

/* What a message of load is about; on the wire. */
enum load_scope { LOAD_SCOPE_ROUTER = 0, LOAD_SCOPE_ZONE = 1, LOAD_SCOPE_FLEET = 2 };

enum { FLEET_SMALL = 16 }; /* routers up to which full messages are sent twice as often */

/* A message to some routers, and what they were last sent. */
struct publication {
	const uint64_t *addrs;
	int addr_count;
	enum load_scope scope;
	const struct load_cell *cells; /* by server */
	struct load_cell **last_sent;  /* stb_ds, by server */
	bool full;                     /* else only what has changed since */
};

static void resize_cells(struct load_cell **cells, uint32_t count)
{
	struct load_cell zero = { 0, 0, 0 };

	while (arrlen(*cells) < (ptrdiff_t)count)
		arrput(*cells, zero);
}

static void add_load(struct load_cell *sum, const struct load_cell *cell)
{
	sum->prefill_tokens += cell->prefill_tokens;
	sum->running += cell->running;
	sum->resident_tokens += cell->resident_tokens;
}

static uint32_t less(uint32_t all, uint32_t own)
{
	return all > own ? all - own : 0;
}

/* What all have, less what this router knows that the head counts as its own. */
static struct load_cell others_share(const struct load_cell *all, const struct load_cell *own)
{
	return (struct load_cell){
		less(all->prefill_tokens, own->prefill_tokens),
		less(all->running, own->running),
		less(all->resident_tokens, own->resident_tokens),
	};
}

/* What this router has under way at a server. */
static struct load_cell own_load(const struct router *router, uint32_t server_index)
{
	const struct router_server_state *server = &router->servers.states[server_index];

	return (struct load_cell){ server->prefill_tokens, (uint32_t)server->own_running,
				   (uint32_t)server->resident_tokens };
}

/* ---- publishing ------------------------------------------------------------------------------ */

/* Whether a publication has a row for a server: of a full one where there is load, else where it has
 * changed. */
static bool has_row(const struct publication *publication, uint32_t server_index)
{
	const struct load_cell *cell = &publication->cells[server_index];

	if (publication->full)
		return cell->prefill_tokens || cell->running;
	return memcmp(cell, &(*publication->last_sent)[server_index], sizeof *cell) != 0;
}

/* Nothing is sent where nothing has changed. */
static void publish(struct router *router, const struct publication *publication, struct command_list *out)
{
	uint32_t servers = router->config.server_table->server_count;
	struct Nl__Load *load = MESSAGE_NEW(out, Nl__Load, NL__LOAD__INIT);

	resize_cells(publication->last_sent, servers);
	load->origin = (uint32_t)publication->scope;
	load->zone = router->zone_hash;
	load->full = publication->full;
	load->rows = apr_palloc(out->pool, (servers + 1) * sizeof *load->rows);
	for (uint32_t s = 0; s < servers; s++) {
		struct Nl__LoadRow *row;

		if (!has_row(publication, s))
			continue;
		row = MESSAGE_NEW(out, Nl__LoadRow, NL__LOAD_ROW__INIT);
		row->server = apr_pstrdup(out->pool, router->names.servers.names[s]);
		row->prefill_tokens = publication->cells[s].prefill_tokens;
		row->running_requests = publication->cells[s].running;
		row->memory_tokens = publication->cells[s].resident_tokens;
		load->rows[load->n_rows++] = row;
	}
	if (servers)
		memcpy(*publication->last_sent, publication->cells, servers * sizeof *publication->cells);
	if (!publication->full && !load->n_rows)
		return;
	for (int i = 0; i < publication->addr_count; i++)
		command_send(out, publication->addrs[i], 0, NL__MSG__BODY_LOAD)->load = load;
}

static struct load_cell *zero_cells(const struct router *router, struct command_list *out)
{
	return apr_pcalloc(out->pool,
			   (router->config.server_table->server_count + 1) * sizeof(struct load_cell));
}

/* How long after its last message a router sends what has changed: soon where a send left or began, so that
 * the head of its zone, which others ask, knows; else as rarely as messages are sent to all. Heads are few,
 * and publish to each other soon. */
static int load_interval_ms(const struct router *router)
{
	int rarely = router_scaled_interval_ms(router, ROUTER_LOAD_INTERVAL_MS);

	if (!router->config.watch.upstream_count)
		return ROUTER_LOAD_INTERVAL_MS;
	return router->load.changed && rarely > ROUTER_LOAD_CHANGED_INTERVAL_MS
		   ? ROUTER_LOAD_CHANGED_INTERVAL_MS
		   : rarely;
}

static void drop_silent_sources(struct router *router, int64_t now)
{
	for (ptrdiff_t i = arrlen(router->load.sources) - 1; i >= 0; i--)
		if (now - router->load.sources[i].received_at_ms > ROUTER_LOAD_VALID_MS) {
			arrfree(router->load.sources[i].cells);
			arrdelswap(router->load.sources, i);
		}
}

/* Load of the zone and of the fleet, from what sources have published; load.others becomes what other routers
 * have. */
static void sum_load(struct router *router, const struct load_cell *own, struct load_cell *zone,
		     struct load_cell *all)
{
	uint32_t servers = router->config.server_table->server_count;

	resize_cells(&router->load.others, servers);
	for (ptrdiff_t i = 0; i < arrlen(router->load.sources); i++) {
		const struct load_source *source = &router->load.sources[i];

		for (ptrdiff_t s = 0; s < arrlen(source->cells) && s < (ptrdiff_t)servers; s++)
			if (source->scope != LOAD_SCOPE_FLEET)
				add_load(source->scope == LOAD_SCOPE_ROUTER ? &zone[s] : &all[s],
					 &source->cells[s]);
	}
	for (uint32_t s = 0; s < servers; s++) {
		router->load.others[s] = zone[s];
		add_load(&router->load.others[s], &all[s]);
		add_load(&zone[s], &own[s]);
		add_load(&all[s], &zone[s]);
	}
}

static void publish_to_head(struct router *router, const struct load_cell *own, bool full,
			    struct command_list *out)
{
	struct publication publication = {
		.addrs = router->config.watch.upstream,
		.addr_count = 1,
		.scope = LOAD_SCOPE_ROUTER,
		.cells = own,
		.last_sent = &router->load.sent_to_head,
		.full = full,
	};

	publish(router, &publication, out);
}

static void publish_to_heads(struct router *router, const struct load_cell *zone, bool full,
			     struct command_list *out)
{
	struct publication publication = {
		.addrs = router->config.watch.zone_heads,
		.addr_count = router->config.watch.zone_head_count,
		.scope = LOAD_SCOPE_ZONE,
		.cells = zone,
		.last_sent = &router->load.sent_to_heads,
		.full = full,
	};

	if (publication.addr_count)
		publish(router, &publication, out);
}

static void publish_to_zone(struct router *router, const struct load_cell *all, bool full,
			    struct command_list *out)
{
	uint64_t *addrs = apr_palloc(out->pool, ((size_t)arrlen(router->load.sources) + 1) * sizeof *addrs);
	struct publication publication = {
		.addrs = addrs,
		.scope = LOAD_SCOPE_FLEET,
		.cells = all,
		.last_sent = &router->load.sent_to_zone,
		.full = full,
	};

	for (ptrdiff_t i = 0; i < arrlen(router->load.sources); i++)
		if (router->load.sources[i].scope == LOAD_SCOPE_ROUTER)
			addrs[publication.addr_count++] = router->load.sources[i].addr;
	if (publication.addr_count)
		publish(router, &publication, out);
}

void router_load_tick(struct router *router, int64_t now, struct command_list *out)
{
	struct load_cell *own, *zone, *all;
	bool full;

	if (!router->config.server_table || now - router->load.sent_at_ms < load_interval_ms(router))
		return;
	router->load.sent_at_ms = now;
	router->load.changed = false;
	full = now - router->load.full_sent_at_ms >=
	       (router->config.watch.router_count > FLEET_SMALL ? 2 : 1) * ROUTER_LOAD_FULL_INTERVAL_MS;
	if (full)
		router->load.full_sent_at_ms = now;
	drop_silent_sources(router, now);
	own = zero_cells(router, out);
	for (uint32_t s = 0; s < router->config.server_table->server_count; s++)
		own[s] = own_load(router, s);
	if (router->config.watch
		.upstream_count) { /* what others have is what the head publishes, less this router's own */
		publish_to_head(router, own, full, out);
		return;
	}
	zone = zero_cells(router, out);
	all = zero_cells(router, out);
	sum_load(router, own, zone, all);
	router->load.others_at_ms = now;
	publish_to_heads(router, zone, full, out);
	if (!full &&
	    now - router->load.zone_sent_at_ms < router_scaled_interval_ms(router, ROUTER_LOAD_INTERVAL_MS))
		return;
	router->load.zone_sent_at_ms = now;
	publish_to_zone(router, all, full, out);
}

/* ---- receiving ------------------------------------------------------------------------------- */

/* The source that is this router; made where it is new. */
static struct load_source *source_of(struct router *router, uint64_t router_id)
{
	struct load_source source = { .router_id = router_id };

	for (ptrdiff_t i = 0; i < arrlen(router->load.sources); i++)
		if (router->load.sources[i].router_id == router_id)
			return &router->load.sources[i];
	source.scope = -1;
	arrput(router->load.sources, source);
	return &arrlast(router->load.sources);
}

static void apply_rows(struct router *router, struct load_source *source, const struct Nl__Load *load)
{
	if (source->scope != (int)load->origin || load->full)
		arrsetlen(source->cells, 0);
	resize_cells(&source->cells, router->config.server_table->server_count);
	if (load->full && arrlen(source->cells))
		memset(source->cells, 0, (size_t)arrlen(source->cells) * sizeof *source->cells);
	for (size_t i = 0; i < load->n_rows; i++) {
		const struct Nl__LoadRow *row = load->rows[i];
		int s = names_find(&router->names.servers, row->server);

		if (s >= 0 && s < arrlen(source->cells))
			source->cells[s] = (struct load_cell){ row->prefill_tokens, row->running_requests,
							       row->memory_tokens };
	}
}

/* The head of the zone has published what all have. */
static void learn_fleet(struct router *router, const struct load_source *source, int64_t now)
{
	uint32_t servers = router->config.server_table->server_count;

	resize_cells(&router->load.others, servers);
	resize_cells(&router->load.sent_to_head, servers);
	for (ptrdiff_t s = 0; s < arrlen(source->cells) && s < arrlen(router->load.others); s++)
		router->load.others[s] = others_share(&source->cells[s], &router->load.sent_to_head[s]);
	router->load.others_at_ms = now;
}

void router_on_load(struct router *router, uint64_t router_id, uint64_t addr, const struct Nl__Load *load,
		    int64_t now)
{
	struct load_source *source;

	if (!router->config.server_table || load->origin > LOAD_SCOPE_FLEET || router_id == router->id)
		return;
	source = source_of(router, router_id);
	apply_rows(router, source, load);
	source->scope = (int)load->origin;
	source->received_at_ms = now;
	source->addr = addr;
	if (load->origin == LOAD_SCOPE_FLEET)
		learn_fleet(router, source, now);
}

bool router_fleet_load(const struct router *router, uint32_t server_index, struct load_cell *all)
{
	if (!mechanism_in_use(router, MECHANISM_SHARED_LOAD) ||
	    server_index >= (uint32_t)arrlen(router->load.others) ||
	    server_index >= (uint32_t)arrlen(router->servers.states))
		return false;
	*all = own_load(router, server_index);
	add_load(all, &router->load.others[server_index]);
	return true;
}

void router_load_learn(struct router *router, uint32_t server_index, const struct load_cell *all)
{
	if (server_index >= (uint32_t)arrlen(router->load.others) ||
	    server_index >= (uint32_t)arrlen(router->load.sent_to_head))
		return;
	router->load.others[server_index] = others_share(all, &router->load.sent_to_head[server_index]);
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
