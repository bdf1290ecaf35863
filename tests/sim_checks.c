/* sim_checks: the invariants that are checked after each event: committed entries stand on enough disks and
 * stay, one leader publishes at a time, configurations never go back, each request a router took is counted
 * once. */
#include "sim_internal.h"

#include "containers.h"

static void check_value(struct sim *sim, const uint8_t *d, size_t n)
{
	struct Nl__Operation *operation = nl__operation__unpack(NULL, n, d);

	if (operation && operation->body_case == NL__OPERATION__BODY_VALUE &&
	    operation->value->feed < SHARD_COUNT &&
	    operation->value->index > sim->feed_index[operation->value->feed]) {
		struct sim_published_purge sim_value = { operation->value->tick,
							 purge_subject(operation->value->purge) };

		sim->feed_index[operation->value->feed] = operation->value->index;
		if (arrlen(sim->value) && arrlast(sim->value).tick >= sim_value.tick)
			sim_violation(sim, "tick %llu was published after %llu",
				      (unsigned long long)sim_value.tick,
				      (unsigned long long)arrlast(sim->value).tick);
		arrput(sim->value, sim_value);
	}
	if (operation)
		nl__operation__free_unpacked(operation, NULL);
}

static int disk_holds(const struct sim_disk_shard *d, uint64_t x, uint64_t hash)
{
	const struct sim_entry *entry = d->entries;

	if (d->base >= x)
		return 1;
	if (!arrlen(entry) || x < d->first || x - d->first >= (uint64_t)arrlen(entry))
		return 0;
	entry += x - d->first;
	return core_hash(entry->term * 4 + entry->kind, entry->data, entry->len) == hash;
}

/* Whether a disk was lost so short a time ago that acknowledgements of what it held may still be under way.
 */
static int lost_just_now(const struct sim *sim, const struct sim_node *node)
{
	return node->lost_at &&
	       sim->now - node->lost_at <= sim->delay_ms + sim->jitter_ms + sim->zone_delay_ms;
}

/* On how many disks an entry is, whatever their machines think of it. */
static int copies(const struct sim *sim, int part, uint64_t x, uint64_t hash)
{
	int n = 0;

	for (int i = 0; i < SIM_CONTROLLERS; i++)
		n += disk_holds(&sim->nodes[i].disk.shards[part], x, hash) ||
		     (lost_just_now(sim, &sim->nodes[i]) &&
		      disk_holds(&sim->nodes[i].lost_disk.shards[part], x, hash));
	return n;
}

/* Committed entries agree everywhere, for ever, and are on two disks at the least when the first node knows
 * of it. */
static void check_logs(struct sim *sim, struct sim_node *n)
{
	for (int i = 0; i < SHARD_COUNT; i++) {
		struct raft *raft = &n->controller->shards[i];

		if (n->checked[i] < raft->log.base_index)
			n->checked[i] = raft->log.base_index;
		while (n->checked[i] < raft->log.commit_index) {
			uint64_t x = ++n->checked[i];
			struct raft_entry *entry = &raft->log.entries[x - raft->log.base_index - 1];
			uint64_t h = core_hash(entry->term * 4 + entry->kind, entry->data, entry->len);

			if ((uint64_t)arrlen(sim->entry_hashes[i]) >= x) {
				if (sim->entry_hashes[i][x - 1] != h)
					sim_violation(sim, "part %d entry %llu differs", i,
						      (unsigned long long)x);
			} else if ((uint64_t)arrlen(sim->entry_hashes[i]) == x - 1) {
				arrput(sim->entry_hashes[i], h);
				if (!sim->was_recovered && copies(sim, i, x, h) < 2)
					sim_violation(
					    sim, "part %d entry %llu is committed, and synced on %d disks", i,
					    (unsigned long long)x, copies(sim, i, x, h));
				if (i == SHARD_PURGE && entry->kind == RAFT_ENTRY_OPERATION)
					check_value(sim, entry->data, entry->len);
			} else {
				sim_violation(sim, "part %d entry %llu was committed unseen", i,
					      (unsigned long long)x);
			}
		}
	}
}

static void check_owners(struct sim *sim)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		int who = -1;

		for (int k = 0; k < SIM_CONTROLLERS; k++)
			if (sim->nodes[k].used && sim->nodes[k].up && sim->nodes[k].controller &&
			    raft_has_lease(&sim->nodes[k].controller->shards[i],
					   sim_node_clock(sim, &sim->nodes[k]))) {
				if (who >= 0)
					sim_violation(sim, "part %u has two licensed owners, %d and %d", i,
						      who, k);
				who = k;
			}
	}
}

/* The slow plain model of the view: every value at or below the horizon is known, by its subject. */
static void check_relay(struct sim *sim, int node, struct relay *relay)
{
	for (ptrdiff_t i = arrlen(sim->value) - 1; i >= 0 && i > arrlen(sim->value) - 40; i--) {
		struct purge_view_row *row = relay->view.subjects;
		ptrdiff_t k;

		if (sim->value[i].tick > relay->knowledge.horizon)
			continue;
		k = row ? hmgeti(row, sim->value[i].key) : -1;
		if (k < 0 || row[k].value->tick < sim->value[i].tick)
			sim_violation(sim, "node %d has horizon %llu but not the value at %llu", node,
				      (unsigned long long)relay->knowledge.horizon,
				      (unsigned long long)sim->value[i].tick);
	}
}

void sim_check_router_config(struct sim *sim, int i)
{
	struct sim_node *node = &sim->nodes[i];

	for (ptrdiff_t k = arrlen(sim->acks) - 1; node->router && k >= 0 && k > arrlen(sim->acks) - 20; k--)
		if (sim->now - sim->acks[k].at > 2000 &&
		    node->router->config.watch.table.revision < sim->acks[k].revision)
			sim_violation(
			    sim, "counter %d serves with edition %llu, %lld ms after %llu was acknowledged",
			    i, (unsigned long long)node->router->config.watch.table.revision,
			    (long long)(sim->now - sim->acks[k].at),
			    (unsigned long long)sim->acks[k].revision);
}

/* A machine never goes back, across its restarts too; one that knows none yet takes nothing. */
static void check_revision(struct sim *sim, int i, uint64_t revision)
{
	if (revision && revision < sim->nodes[i].revision)
		sim_violation(sim, "node %d went back from edition %llu to %llu", i,
			      (unsigned long long)sim->nodes[i].revision, (unsigned long long)revision);
	if (revision > sim->nodes[i].revision)
		sim->nodes[i].revision = revision;
}

/* Each request that was taken has ended once or is under way; places at servers and in lines are held by
 * these alone, and what waits was placed by the table in force. */
static void check_requests(struct sim *sim, int i)
{
	const struct router *router = sim->nodes[i].router;
	long own = 0, waiting = 0, running = 0, placed = 0, in_lines = 0, in_places = 0, tokens = 0;

	if (!router_outcomes_balance(router))
		sim_violation(sim, "counter %d has lost a request, or ended one twice", i);
	for (ptrdiff_t k = 0; k < arrlen(router->requests.all); k++) {
		const struct client_request *request = router->requests.all[k];

		waiting += request->state == REQUEST_WAITING;
		running += request->state != REQUEST_WAITING;
		placed += request->attempt.server_index >= 0;
		tokens += 1 + (request->attempt.call_token != 0) + (request->claim.token != 0);
		if (request->is_forwarded && request->state == REQUEST_WAITING &&
		    request->route.table_revision != router->config.route_table->revision)
			sim_violation(sim, "counter %d holds %s by an old table", i,
				      request->client.request_id);
	}
	for (ptrdiff_t k = 0; k < arrlen(router->queueing.queues); k++) {
		in_lines += router->queueing.queues[k].waiting_count;
		in_places += router->queueing.queues[k].slots_held;
	}
	for (ptrdiff_t k = 0; k < arrlen(router->servers.states); k++)
		own += router->servers.states[k].own_running_count;
	if (tokens != hmlen(router->requests.by_token))
		sim_violation(sim, "counter %d finds requests by %ld tokens, not %ld", i,
			      (long)hmlen(router->requests.by_token), tokens);
	if (in_lines != waiting || in_places != running || own != placed)
		sim_violation(
		    sim, "counter %d counts %ld in lines of %ld, %ld in places of %ld, %ld at servers of %ld",
		    i, in_lines, waiting, in_places, running, own, placed);
}

static void check_router(struct sim *sim, int i)
{
	struct sim_node *node = &sim->nodes[i];

	check_requests(sim, i);

	check_relay(sim, i, &node->router->relay);
	check_revision(sim, i, node->router->config.watch.table.revision);
}

void sim_check_node(struct sim *sim, int i)
{
	struct sim_node *node = &sim->nodes[i];

	if (node->router)
		check_router(sim, i);
	if (!node->controller)
		return;
	check_logs(sim, node);
	check_owners(sim);
	check_relay(sim, i, &node->controller->relay);
	check_revision(sim, i, node->controller->config_watch.table.revision);
	if (!operator_calls_are_balanced(node->controller))
		sim_violation(
		    sim,
		    "controller %d: operators' calls: %llu read, %llu answered, %llu refused, %llu unknown, %llu gone, %llu open",
		    i, (unsigned long long)node->controller->operators.call_counts.read_count,
		    (unsigned long long)node->controller->operators.call_counts.answered_count,
		    (unsigned long long)node->controller->operators.call_counts.rejected_count,
		    (unsigned long long)node->controller->operators.call_counts.unknown_outcome_count,
		    (unsigned long long)node->controller->operators.call_counts.disconnected_count,
		    (unsigned long long)operator_calls_open_count(node->controller));
}
