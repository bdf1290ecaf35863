/* sim_fleet: nodes that begin, fall and come back, operators' calls, and whole fleets ready to be used. */
#include "sim_internal.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

static void count_line(void *ctx, const char *prefix, const char *line)
{
	(void)prefix;
	((struct sim *)ctx)->n_unreadable_reports += strstr(line, "Unreadable report") != NULL;
}

static void node_begin(struct sim *sim, int i, const uint64_t *seeds, int nseeds)
{
	struct sim_node *node = &sim->nodes[i];
	struct raft_saved saved[SHARD_COUNT];
	const struct raft_saved *psv[SHARD_COUNT];
	apr_pool_t *pool;

	apr_pool_create(&pool, sim->pool);
	node->incarnation = ++sim->seq;
	node->up = 1;
	node->frozen = 0;
	node->clock_skew_ms = (int64_t)sim_random_below(sim, 100000);
	memset(node->checked, 0, sizeof node->checked);
	if (node->is_router) { /* no disk: a new identity at each start */
		node->id = core_random(&sim->rng);
		node->router = malloc(sizeof *node->router);
		router_open(node->router, node->id, node->addr, node->zone, seeds, nseeds,
			    sim_node_clock(sim, node));
		node->router->config.bounds = sim->bounds;
		node->router->log = count_line;
		node->router->log_context = sim;
		apr_pool_destroy(pool);
		sim_tick_at(sim, i, sim->now + (int64_t)sim_random_below(sim, 25));
		return;
	}
	if (!node->disk.has_identity) {
		node->disk.has_identity = 1;
		node->disk.id = core_random(&sim->rng);
	}
	node->id = node->disk.id;
	for (int k = 0; k < SHARD_COUNT; k++) {
		struct sim_disk_shard *disk = &node->disk.shards[k];
		size_t m = (size_t)arrlen(disk->entries);

		saved[k] = (struct raft_saved){
			disk->term, disk->vote,        disk->base,     disk->base_term, disk->members,
			disk->data, disk->members_len, disk->data_len, disk->first,     NULL,
			m
		};
		saved[k].entries = apr_palloc(pool, (m + 1) * sizeof *saved[k].entries);
		for (size_t q = 0; q < m; q++)
			saved[k].entries[q] =
			    (struct raft_entry){ disk->entries[q].term, disk->entries[q].kind,
						 disk->entries[q].len, disk->entries[q].data };
		psv[k] = &saved[k];
	}
	node->controller = malloc(sizeof *node->controller);
	controller_open(node->controller, node->id, node->addr, node->zone, seeds, nseeds, node->disk.fleet,
			core_random(&sim->rng), psv, sim_node_clock(sim, node));
	node->controller->bounds = sim->bounds;
	node->controller->adapters.codec = sim->codec;
	node->controller->adapters.calendar = sim->calendar;
	if (sim->replica_count)
		node->controller->bounds.replicas = sim->replica_count;
	if (sim->catch_up_ms)
		node->controller->bounds.member_catch_up_ms = sim->catch_up_ms;
	apr_pool_destroy(pool);
	sim_tick_at(sim, i, sim->now + (int64_t)sim_random_below(sim, 25));
}

int sim_add_controller(struct sim *sim, const char *zone, const uint64_t *seeds, int nseeds)
{
	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (!sim->nodes[i].used) {
			struct sim_node *node = &sim->nodes[i];
			char buf[32];

			node->used = 1;
			snprintf(node->zone, sizeof node->zone, "%s", zone);
			snprintf(buf, sizeof buf, "127.0.1.%d:7000", i + 1);
			node->addr = core_parse_addr(buf);
			apr_pool_create(&node->commands.pool, sim->pool);
			node_begin(sim, i, seeds, nseeds);
			return i;
		}
	return -1;
}

int sim_add_router(struct sim *sim, const char *zone)
{
	for (int i = SIM_CONTROLLERS; i < SIM_NODES; i++)
		if (!sim->nodes[i].used) {
			struct sim_node *node = &sim->nodes[i];
			char buf[32];

			node->used = node->is_router = 1;
			snprintf(node->zone, sizeof node->zone, "%s", zone);
			snprintf(buf, sizeof buf, "127.0.2.%d:7000", i + 1);
			node->addr = core_parse_addr(buf);
			apr_pool_create(&node->commands.pool, sim->pool);
			sim_start(sim, i);
			return i;
		}
	return -1;
}

void sim_crash(struct sim *sim, int i, int wipe)
{
	struct sim_node *n = &sim->nodes[i];

	if (n->controller) {
		controller_close(n->controller);
		free(n->controller);
	}
	n->controller = NULL;
	if (n->router) {
		router_close(n->router);
		free(n->router);
		n->router = NULL;
		sim_close_client_connections(sim, i);
		if (sim->front_end.lost)
			sim->front_end.lost(sim->front_end.ctx, i);
	}
	n->up = 0;
	for (ptrdiff_t k = 0; k < arrlen(n->writes); k++) /* what was not synced is gone */
		apr_pool_destroy(n->writes[k].pool);
	arrsetlen(n->writes, 0);
	command_list_clear(&n->commands);
	if (!wipe)
		return;
	sim_disk_wipe(&n->lost_disk);
	n->lost_disk = n->disk;
	n->lost_at = sim->now;
	memset(&n->disk, 0, sizeof n->disk);
}

void sim_start(struct sim *sim, int i)
{
	uint64_t seeds[3];

	for (int k = 0; k < 3; k++)
		seeds[k] = sim->nodes[k].addr;
	node_begin(sim, i, seeds, 3);
}

void sim_freeze(struct sim *sim, int i, int on)
{
	sim->nodes[i].frozen = on;
}
void sim_set_partition(struct sim *sim, int i, int cell)
{
	sim->nodes[i].partition = cell;
}

uint64_t sim_call(struct sim *sim, int node, const char *verb, const char *path, const char *body)
{
	return sim_call_keyed(sim, node, verb, path, body, "");
}

uint64_t sim_call_keyed(struct sim *sim, int node, const char *verb, const char *path, const char *body,
			const char *key)
{
	size_t a = strlen(verb) + 1, b = strlen(path) + 1, c = strlen(body) + 1, d = strlen(key) + 1;
	struct sim_event input = { .at = sim->now,
				   .kind = SIM_OPERATOR_CALL,
				   .node = node,
				   .incarnation = sim->nodes[node].incarnation,
				   .token = ++sim->token };

	input.data = malloc(a + b + c + d);
	memcpy(input.data, verb, a);
	memcpy(input.data + a, path, b);
	memcpy(input.data + a + b, body, c);
	memcpy(input.data + a + b + c, key, d);
	sim_push_event(sim, input);
	return input.token;
}

void sim_operator_disconnect(struct sim *sim, int node, uint64_t token)
{
	struct sim_event input = { .at = sim->now,
				   .kind = SIM_GONE,
				   .node = node,
				   .incarnation = sim->nodes[node].incarnation,
				   .token = token };

	sim_push_event(sim, input);
}

uint64_t sim_send_document(struct sim *sim, int node, uint64_t base, int patch, const char *body,
			   const char *weights)
{
	size_t n = body ? strlen(body) : 0, m = weights ? strlen(weights) : 0;
	struct sim_event input = { .at = sim->now,
				   .kind = SIM_DOCUMENT,
				   .node = node,
				   .incarnation = sim->nodes[node].incarnation,
				   .token = ++sim->token };

	input.status = !body ? 2 : weights ? 3 : !!patch;
	input.from_addr = base;
	input.data_len = n;
	input.data = calloc(1, n + m + 2);
	memcpy(input.data, body ? body : "", n);
	memcpy(input.data + n + 1, weights ? weights : "", m);
	sim_push_event(sim, input);
	return input.token;
}

const struct sim_operator_answer *sim_answer(struct sim *sim, uint64_t token)
{
	for (ptrdiff_t i = arrlen(sim->operator_answers) - 1; i >= 0; i--)
		if (sim->operator_answers[i].token == token)
			return &sim->operator_answers[i];
	return NULL;
}

int sim_call_and_wait(struct sim *sim, int node, const char *verb, const char *path, const char *body,
		      int64_t ms)
{
	uint64_t t = sim_call(sim, node, verb, path, body);
	int64_t end = sim->now + ms;

	while (sim->now < end && !sim_answer(sim, t))
		if (!sim_run(sim, 10, NULL))
			return 0;
	return sim_answer(sim, t) ? sim_answer(sim, t)->status : 0;
}

int sim_leader(struct sim *sim, uint32_t shard)
{
	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (sim->nodes[i].up && sim->nodes[i].controller &&
		    raft_has_lease(&sim->nodes[i].controller->shards[shard],
				   sim_node_clock(sim, &sim->nodes[i])))
			return i;
	return -1;
}

/* Every part is led, and every controller has heard the configuration's leader: none refuses for want of one.
 */
static int all_owned(struct sim *sim)
{
	for (uint32_t i = 0; i < SHARD_COUNT; i++)
		if (sim_leader(sim, i) < 0)
			return 0;
	for (int i = 0; i < SIM_CONTROLLERS; i++)
		if (sim->nodes[i].used && sim->nodes[i].up &&
		    config_watch_age_ms(&sim->nodes[i].controller->config_watch,
					sim_node_clock(sim, &sim->nodes[i])) > CONFIG_WATCH_LEADER_TIMEOUT_MS)
			return 0;
	return 1;
}

void sim_fleet(struct sim *sim, uint64_t seed, int controllers)
{
	uint64_t seeds[3];
	char zone[16];

	sim_open(sim, seed);
	for (int k = 0; k < 3; k++) {
		char buf[32];

		snprintf(buf, sizeof buf, "127.0.1.%d:7000", k + 1);
		seeds[k] = core_parse_addr(buf);
	}
	for (int i = 0; i < controllers; i++) {
		snprintf(zone, sizeof zone, "z%d", i + 1);
		sim_add_controller(sim, zone, seeds, 3);
	}
	sim_run(sim, 200, NULL);
	if (sim_call_and_wait(sim, 0, "POST", "/v1/found", "{}", 10000) != 200)
		sim_violation(sim, "the fleet was not founded");
	sim_run(sim, 20000, all_owned);
}

uint64_t sim_change(struct sim *sim, const char *body, int64_t ms)
{
	int64_t end = sim->now + ms;

	while (sim->now < end && !sim->violation[0]) {
		int at = (int)sim_random_below(sim, SIM_CONTROLLERS);
		uint64_t t;

		if (!sim->nodes[at].used || !sim->nodes[at].up || sim->nodes[at].frozen)
			continue;
		t = sim_call(sim, at, "POST", "/v1/change", body);
		while (!sim_answer(sim, t) && sim->now < end && sim->nodes[at].up)
			if (!sim_run(sim, 5, NULL))
				return 0;
		if (sim_answer(sim, t) && sim_answer(sim, t)->status == 200)
			return strtoull(sim_answer(sim, t)->body + 11, NULL, 10);
		if (!sim_run(sim, 50, NULL))
			return 0;
	}
	return 0;
}

int sim_propose(struct sim *sim, const struct Nl__Change *change, int64_t ms)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__Propose propose = NL__PROPOSE__INIT;
	struct Nl__Operation operation = NL__OPERATION__INIT;
	int64_t end = sim->now + ms;

	propose.token = operation.token = ++sim->token;
	operation.requester_id = 77;
	operation.body_case = NL__OPERATION__BODY_CHANGE;
	operation.change = (struct Nl__Change *)change;
	propose.operation = &operation;
	message.protocol_version = CORE_PROTOCOL_VERSION;
	message.id = 77;
	message.addr = core_parse_addr("127.0.9.9:1");
	message.shard = SHARD_CONTROL;
	message.body_case = NL__MSG__BODY_PROPOSE;
	message.propose = &propose;
	while (sim->now < end && !sim->violation[0]) {
		int at = sim_leader(sim, SHARD_CONTROL);

		if (at >= 0) {
			struct sim_event input = { .at = sim->now, .kind = SIM_MSG, .node = at };

			message.fleet_id = sim->nodes[at].controller->identity.fleet_id;
			input.data_len = nl__msg__get_packed_size(&message);
			input.data = malloc(input.data_len + 1);
			nl__msg__pack(&message, input.data);
			sim_push_event(sim, input);
		}
		for (int k = 0; k < 40; k++) { /* whoever has applied it knows that it is committed */
			if (!sim_run(sim, 5, NULL))
				return 0;
			for (int i = 0; i < SIM_CONTROLLERS; i++)
				for (ptrdiff_t d = 0;
				     sim->nodes[i].up && sim->nodes[i].controller &&
				     d < arrlen(
					     sim->nodes[i].controller->config.completed_proposals.proposals);
				     d++)
					if (sim->nodes[i]
						    .controller->config.completed_proposals.proposals[d]
						    .proposer_id == 77 &&
					    sim->nodes[i]
						    .controller->config.completed_proposals.proposals[d]
						    .token == operation.token)
						return 1;
		}
	}
	return 0;
}

static int standing_all(struct sim *sim)
{
	for (int i = SIM_CONTROLLERS; i < SIM_NODES; i++)
		if (sim->nodes[i].used && sim->nodes[i].router) {
			uint32_t servers = 0;

			while (servers < SIM_SERVERS && sim->servers[servers].used)
				servers++;
			if (!relay_is_current(&sim->nodes[i].router->relay,
					      sim_node_clock(sim, &sim->nodes[i])) ||
			    !sim->nodes[i].router->config.route_table ||
			    sim->nodes[i].router->config.server_table->server_count < servers)
				return 0;
			for (uint32_t k = 0; k < sim->nodes[i].router->config.server_table->server_count; k++)
				if (!sim->nodes[i].router->servers.states[k].is_described)
					return 0;
		}
	return 1;
}

void sim_deploy(struct sim *sim, uint64_t seed, int controllers, int routers, int servers)
{
	static const char *const svc[] = { "arrears", "repairs", "sorting" };
	char body[6000], hex[65];
	size_t k;

	sim_fleet(sim, seed, controllers);
	for (int i = 0; i < routers; i++) {
		char zone[8];

		snprintf(zone, sizeof zone, "z%d", (i % 4 + 1) & 7);
		sim_add_router(sim, zone);
	}
	k = (size_t)snprintf(body, sizeof body, "{\"set\":[");
	for (int i = 0; i < 3; i++)
		k += (size_t)snprintf(
		    body + k, sizeof body - k,
		    "{\"kind\":\"service\",\"name\":\"%s\",\"weights\":\"w1\",\"prefill\":20,\"kv_bytes\":400,\"link\":100000},"
		    "{\"kind\":\"lane\",\"name\":\"%s\",\"service\":\"%s\",\"prio\":%d,\"limit\":50},",
		    svc[i], svc[i], svc[i], i == 2);
	for (int i = 0; i < 4; i++)
		k += (size_t)snprintf(
		    body + k, sizeof body - k,
		    "{\"kind\":\"tenant\",\"name\":\"t%d\",\"share\":%d,\"limit\":100},{\"kind\":\"key\",\"name\":\"%s\",\"tenant\":\"t%d\"},",
		    i, i ? 1 : 5, sim_key(i, hex), i);
	for (int i = 0; i < servers; i++) {
		char name[16];
		int v;

		snprintf(name, sizeof name, "s%d", i & 31);
		v = sim_server(sim, name, svc[i % 3], "w1");
		k += (size_t)snprintf(
		    body + k, sizeof body - k,
		    "%s{\"kind\":\"server\",\"name\":\"%s\",\"service\":\"%s\",\"addr\":\"%s\"}",
		    i ? "," : "", name, svc[i % 3], sim->servers[v].addr);
	}
	snprintf(body + k, sizeof body - k, "]}");
	if (!sim_change(sim, body, 12000))
		sim_violation(sim, "the deployment's table was not acknowledged");
	sim_run(sim, 8000, standing_all);
	if (!sim->violation[0] && !standing_all(sim))
		sim_violation(sim, "the deployment does not become ready");
}
