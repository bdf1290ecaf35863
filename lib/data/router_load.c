/* router_load: the load of all routers at each server. A router sees only its own requests; without the
 * others' load, several routers would queue requests at one server while other servers are idle. Each router
 * publishes its load to the head of its zone, heads publish sums to each other, and each head publishes the
 * total to its zone. The total takes three hops and is about 50 ms old, and the cost does not grow with the
 * square of the number of routers. All of this is soft state: the next full message repairs a lost one. */
#include "router_internal.h"

#include <apr_strings.h>
#include <string.h>

#include "containers.h"

/* Whose load a message holds; sent on the wire. */
enum load_scope { LOAD_SCOPE_ROUTER = 0, LOAD_SCOPE_ZONE = 1, LOAD_SCOPE_FLEET = 2 };

enum { FAST_FULL_MAX_ROUTERS = 16 }; /* number of routers up to which full messages are sent twice as often */

/* A load message to a group of routers, and what was last sent to them. */
struct publication {
	const uint64_t *addrs;
	int addr_count;
	enum load_scope scope;
	const struct load_counts *cells; /* by server index */
	struct load_counts **last_sent;  /* stb_ds, by server index */
	bool is_full;                    /* false: holds only changes since last_sent */
};

static void extend_cells(struct load_counts **cells, uint32_t count)
{
	struct load_counts zero = { 0, 0, 0 };

	while (arrlen(*cells) < (ptrdiff_t)count)
		arrput(*cells, zero);
}

static void add_load(struct load_counts *sum, const struct load_counts *cell)
{
	sum->prefill_tokens += cell->prefill_tokens;
	sum->running_count += cell->running_count;
	sum->resident_tokens += cell->resident_tokens;
}

static uint32_t subtract_clamped(uint32_t total, uint32_t own)
{
	return total > own ? total - own : 0;
}

/* The load of other routers: the total less this router's load as last sent to the head, which the head's
 * total includes. */
static struct load_counts load_of_others(const struct load_counts *total, const struct load_counts *own)
{
	return (struct load_counts){
		subtract_clamped(total->prefill_tokens, own->prefill_tokens),
		subtract_clamped(total->running_count, own->running_count),
		subtract_clamped(total->resident_tokens, own->resident_tokens),
	};
}

/* This router's load at a server. */
static struct load_counts own_load(const struct router *router, uint32_t server_index)
{
	const struct router_server_state *server = &router->servers.states[server_index];

	return (struct load_counts){ server->own_prefill_tokens, (uint32_t)server->own_running_count,
				     (uint32_t)server->own_resident_tokens };
}

/* ---- publishing ------------------------------------------------------------------------------ */

/* Whether a message has a row for a server: a full message if the server has load, otherwise if its load has
 * changed. */
static bool has_row(const struct publication *publication, uint32_t server_index)
{
	const struct load_counts *cell = &publication->cells[server_index];

	if (publication->is_full)
		return cell->prefill_tokens || cell->running_count;
	return memcmp(cell, &(*publication->last_sent)[server_index], sizeof *cell) != 0;
}

/* Sends a load message. A message that is not full and has no rows is not sent. */
static void publish(struct router *router, const struct publication *publication, struct command_list *out)
{
	uint32_t server_count = router->config.server_table->server_count;
	struct Nl__Load *load = MESSAGE_NEW(out, Nl__Load, NL__LOAD__INIT);

	extend_cells(publication->last_sent, server_count);
	load->origin = (uint32_t)publication->scope;
	load->zone = router->zone_hash;
	load->full = publication->is_full;
	load->rows = apr_palloc(out->pool, (server_count + 1) * sizeof *load->rows);
	for (uint32_t s = 0; s < server_count; s++) {
		struct Nl__LoadRow *row;

		if (!has_row(publication, s))
			continue;
		row = MESSAGE_NEW(out, Nl__LoadRow, NL__LOAD_ROW__INIT);
		row->server = apr_pstrdup(out->pool, router->names.servers.names[s]);
		row->prefill_tokens = publication->cells[s].prefill_tokens;
		row->running_requests = publication->cells[s].running_count;
		row->memory_tokens = publication->cells[s].resident_tokens;
		load->rows[load->n_rows++] = row;
	}
	if (server_count)
		memcpy(*publication->last_sent, publication->cells,
		       server_count * sizeof *publication->cells);
	if (!publication->is_full && !load->n_rows)
		return;
	for (int i = 0; i < publication->addr_count; i++)
		command_send(out, publication->addrs[i], 0, NL__MSG__BODY_LOAD)->load = load;
}

static struct load_counts *new_zeroed_cells(const struct router *router, struct command_list *out)
{
	return apr_pcalloc(out->pool,
			   (router->config.server_table->server_count + 1) * sizeof(struct load_counts));
}

/* Interval in ms between load messages. It is short after a send or a first chunk, so
 * that the head of the zone, which other routers send lookups to, has the newest load; otherwise it is the
 * interval of messages to all routers. Heads are few and publish to each other at the short interval. */
static int load_interval_ms(const struct router *router)
{
	int scaled_ms = router_scaled_interval_ms(router, ROUTER_LOAD_INTERVAL_MS);

	if (!router->config.watch.upstream_count)
		return ROUTER_LOAD_INTERVAL_MS;
	return router->load.has_unsent_change && scaled_ms > ROUTER_LOAD_CHANGED_INTERVAL_MS
		   ? ROUTER_LOAD_CHANGED_INTERVAL_MS
		   : scaled_ms;
}

static void drop_expired_sources(struct router *router, int64_t now)
{
	for (ptrdiff_t i = arrlen(router->load.sources) - 1; i >= 0; i--)
		if (now - router->load.sources[i].received_at_ms > ROUTER_LOAD_VALID_MS) {
			arrfree(router->load.sources[i].cells);
			arrdelswap(router->load.sources, i);
		}
}

/* Computes the load of the zone and of the fleet from the sources' messages; load.others becomes the load of
 * all other routers. */
static void sum_load(struct router *router, const struct load_counts *own, struct load_counts *zone,
		     struct load_counts *fleet)
{
	uint32_t server_count = router->config.server_table->server_count;

	extend_cells(&router->load.other_routers, server_count);
	for (ptrdiff_t i = 0; i < arrlen(router->load.sources); i++) {
		const struct load_source *source = &router->load.sources[i];

		for (ptrdiff_t s = 0; s < arrlen(source->cells) && s < (ptrdiff_t)server_count; s++)
			if (source->scope != LOAD_SCOPE_FLEET)
				add_load(source->scope == LOAD_SCOPE_ROUTER ? &zone[s] : &fleet[s],
					 &source->cells[s]);
	}
	for (uint32_t s = 0; s < server_count; s++) {
		router->load.other_routers[s] = zone[s];
		add_load(&router->load.other_routers[s], &fleet[s]);
		add_load(&zone[s], &own[s]);
		add_load(&fleet[s], &zone[s]);
	}
}

static void publish_to_head(struct router *router, const struct load_counts *own, bool is_full,
			    struct command_list *out)
{
	struct publication publication = {
		.addrs = router->config.watch.upstream_addrs,
		.addr_count = 1,
		.scope = LOAD_SCOPE_ROUTER,
		.cells = own,
		.last_sent = &router->load.sent_to_head,
		.is_full = is_full,
	};

	publish(router, &publication, out);
}

static void publish_to_heads(struct router *router, const struct load_counts *zone, bool is_full,
			     struct command_list *out)
{
	struct publication publication = {
		.addrs = router->config.watch.zone_head_addrs,
		.addr_count = router->config.watch.zone_head_count,
		.scope = LOAD_SCOPE_ZONE,
		.cells = zone,
		.last_sent = &router->load.sent_to_other_heads,
		.is_full = is_full,
	};

	if (publication.addr_count)
		publish(router, &publication, out);
}

static void publish_to_zone(struct router *router, const struct load_counts *fleet, bool is_full,
			    struct command_list *out)
{
	uint64_t *addrs = apr_palloc(out->pool, ((size_t)arrlen(router->load.sources) + 1) * sizeof *addrs);
	struct publication publication = {
		.addrs = addrs,
		.scope = LOAD_SCOPE_FLEET,
		.cells = fleet,
		.last_sent = &router->load.sent_to_zone,
		.is_full = is_full,
	};

	for (ptrdiff_t i = 0; i < arrlen(router->load.sources); i++)
		if (router->load.sources[i].scope == LOAD_SCOPE_ROUTER)
			addrs[publication.addr_count++] = router->load.sources[i].addr;
	if (publication.addr_count)
		publish(router, &publication, out);
}

void router_load_tick(struct router *router, int64_t now, struct command_list *out)
{
	struct load_counts *own, *zone, *fleet;
	bool is_full;

	if (!router->config.server_table || now - router->load.sent_at_ms < load_interval_ms(router))
		return;
	router->load.sent_at_ms = now;
	router->load.has_unsent_change = false;
	is_full = now - router->load.full_sent_at_ms >=
		  (router->config.watch.router_count > FAST_FULL_MAX_ROUTERS ? 2 : 1) *
		      ROUTER_LOAD_FULL_INTERVAL_MS;
	if (is_full)
		router->load.full_sent_at_ms = now;
	drop_expired_sources(router, now);
	own = new_zeroed_cells(router, out);
	for (uint32_t s = 0; s < router->config.server_table->server_count; s++)
		own[s] = own_load(router, s);
	if (router->config.watch.upstream_count) {
		/* the load of other routers is the total that the head publishes less this router's own load
		 */
		publish_to_head(router, own, is_full, out);
		return;
	}
	zone = new_zeroed_cells(router, out);
	fleet = new_zeroed_cells(router, out);
	sum_load(router, own, zone, fleet);
	router->load.other_routers_at_ms = now;
	publish_to_heads(router, zone, is_full, out);
	if (!is_full &&
	    now - router->load.zone_sent_at_ms < router_scaled_interval_ms(router, ROUTER_LOAD_INTERVAL_MS))
		return;
	router->load.zone_sent_at_ms = now;
	publish_to_zone(router, fleet, is_full, out);
}

/* ---- receiving ------------------------------------------------------------------------------- */

/* Finds the load source with a router id; creates it if there is none. */
static struct load_source *find_or_add_source(struct router *router, uint64_t router_id)
{
	struct load_source source = { .router_id = router_id };

	for (ptrdiff_t i = 0; i < arrlen(router->load.sources); i++)
		if (router->load.sources[i].router_id == router_id)
			return &router->load.sources[i];
	source.scope = -1;
	arrput(router->load.sources, source);
	return &arrlast(router->load.sources);
}

static void apply_load_rows(struct router *router, struct load_source *source, const struct Nl__Load *load)
{
	if (source->scope != (int)load->origin || load->full)
		arrsetlen(source->cells, 0);
	extend_cells(&source->cells, router->config.server_table->server_count);
	if (load->full && arrlen(source->cells))
		memset(source->cells, 0, (size_t)arrlen(source->cells) * sizeof *source->cells);
	for (size_t i = 0; i < load->n_rows; i++) {
		const struct Nl__LoadRow *row = load->rows[i];
		int s = names_find(&router->names.servers, row->server);

		if (s >= 0 && s < arrlen(source->cells))
			source->cells[s] = (struct load_counts){ row->prefill_tokens, row->running_requests,
								 row->memory_tokens };
	}
}

/* Computes the load of other routers from the total that the head of the zone has published. */
static void record_fleet_load(struct router *router, const struct load_source *source, int64_t now)
{
	uint32_t server_count = router->config.server_table->server_count;

	extend_cells(&router->load.other_routers, server_count);
	extend_cells(&router->load.sent_to_head, server_count);
	for (ptrdiff_t s = 0; s < arrlen(source->cells) && s < arrlen(router->load.other_routers); s++)
		router->load.other_routers[s] =
		    load_of_others(&source->cells[s], &router->load.sent_to_head[s]);
	router->load.other_routers_at_ms = now;
}

void router_on_load(struct router *router, uint64_t router_id, uint64_t addr, const struct Nl__Load *load,
		    int64_t now)
{
	struct load_source *source;

	if (!router->config.server_table || load->origin > LOAD_SCOPE_FLEET || router_id == router->id)
		return;
	source = find_or_add_source(router, router_id);
	apply_load_rows(router, source, load);
	source->scope = (int)load->origin;
	source->received_at_ms = now;
	source->addr = addr;
	if (load->origin == LOAD_SCOPE_FLEET)
		record_fleet_load(router, source, now);
}

bool router_fleet_load(const struct router *router, uint32_t server_index, struct load_counts *total)
{
	if (!mechanism_in_use(router, MECHANISM_SHARED_LOAD) ||
	    server_index >= (uint32_t)arrlen(router->load.other_routers) ||
	    server_index >= (uint32_t)arrlen(router->servers.states))
		return false;
	*total = own_load(router, server_index);
	add_load(total, &router->load.other_routers[server_index]);
	return true;
}

void router_load_record(struct router *router, uint32_t server_index, const struct load_counts *total)
{
	if (server_index >= (uint32_t)arrlen(router->load.other_routers) ||
	    server_index >= (uint32_t)arrlen(router->load.sent_to_head))
		return;
	router->load.other_routers[server_index] =
	    load_of_others(total, &router->load.sent_to_head[server_index]);
}

void router_load_clear(struct router *router)
{
	for (ptrdiff_t i = 0; i < arrlen(router->load.sources); i++)
		arrfree(router->load.sources[i].cells);
	arrfree(router->load.sources);
	arrfree(router->load.sent_to_head);
	arrfree(router->load.sent_to_zone);
	arrfree(router->load.sent_to_other_heads);
	arrfree(router->load.other_routers);
}
