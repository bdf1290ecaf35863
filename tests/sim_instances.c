/* sim_instances: the users' list of servers and the servers that it shows, which take load commands as the
 * platform's do. */
#include "sim_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

static struct sim_instance *instance_at(struct sim *sim, uint64_t addr)
{
	for (ptrdiff_t i = arrlen(sim->instance_list.instances) - 1; i >= 0; i--)
		if (sim->instance_list.instances[i].up &&
		    core_parse_addr(sim->instance_list.instances[i].addr) == addr)
			return &sim->instance_list.instances[i];
	return NULL;
}

int sim_instance(struct sim *sim, const char *service, const char *zone, const char *weights)
{
	struct sim_instance instance;
	int n = (int)arrlen(sim->instance_list.instances);

	memset(&instance, 0, sizeof instance);
	instance.up = 1;
	snprintf(instance.name, sizeof instance.name, "i-%04x", n);
	snprintf(instance.service, sizeof instance.service, "%s", service);
	snprintf(instance.zone, sizeof instance.zone, "%s", zone);
	snprintf(instance.weights, sizeof instance.weights, "%s", weights);
	snprintf(instance.previous_weights, sizeof instance.previous_weights, "%s", weights);
	snprintf(instance.addr, sizeof instance.addr, "127.1.%d.%d:8000", n / 200, n % 200 + 1);
	instance.started_at = sim->now;
	arrput(sim->instance_list.instances, instance);
	return n;
}

void sim_instance_drain(struct sim *sim, int i)
{
	sim->instance_list.instances[i].draining = 1;
	sim->instance_list.instances[i].drained_at = sim->now;
}

void sim_instance_end(struct sim *sim, int i, int64_t visible_ms)
{
	sim->instance_list.instances[i].up = 0;
	sim->instance_list.instances[i].ended_at = sim->now + visible_ms;
}

/* What the list shows at a moment that is past. */
static void list_pack(struct sim *sim, int64_t at, struct sim_event *input)
{
	struct Nl__ConfigSyncReply reply = NL__CONFIG_SYNC_REPLY__INIT;
	struct Nl__Instance *x = calloc((size_t)arrlen(sim->instance_list.instances) + 1, sizeof *x);

	reply.instances = calloc((size_t)arrlen(sim->instance_list.instances) + 1, sizeof *reply.instances);
	for (ptrdiff_t i = 0; i < arrlen(sim->instance_list.instances); i++) {
		struct sim_instance *instance = &sim->instance_list.instances[i];

		if (instance->started_at > at || (instance->ended_at && instance->ended_at <= at))
			continue;
		nl__instance__init(&x[i]);
		x[i].server = instance->name;
		x[i].service = instance->service;
		x[i].addr = instance->addr;
		x[i].zone = instance->zone;
		x[i].slots = sim->instance_list.slots ? (uint32_t)sim->instance_list.slots : 128;
		x[i].state = instance->draining && instance->drained_at <= at;
		x[i].weights = instance->changed_at > at ? instance->previous_weights : instance->weights;
		reply.instances[reply.n_instances++] = &x[i];
	}
	input->data_len = nl__config_sync_reply__get_packed_size(&reply);
	input->data = malloc(input->data_len + 1);
	nl__config_sync_reply__pack(&reply, input->data);
	free(reply.instances);
	free(x);
}

void sim_list_call(struct sim *sim, int i, uint64_t token)
{
	struct sim_node *node = &sim->nodes[i];
	struct sim_event input = { .at = sim->now + 2 + sim->instance_list.call_ms,
				   .kind = SIM_SERVERS_LISTED,
				   .node = i,
				   .incarnation = node->incarnation,
				   .token = token,
				   .status = 1 };
	int64_t *ring = sim->instance_list.calls;
	int many = 3 * sim->bounds.endpoint_list_calls_millihertz / 3000 + 3;

	if (sim->instance_list.n_list >= (uint64_t)many && many < 64 &&
	    sim->now - ring[(sim->instance_list.n_list - (uint64_t)many) % 64] < 2900)
		sim_violation(
		    sim, "%d calls to the list in %lld ms", many,
		    (long long)(sim->now - ring[(sim->instance_list.n_list - (uint64_t)many) % 64]));
	ring[sim->instance_list.n_list++ % 64] = sim->now;
	if (node->partition || sim->now < sim->instance_list.unavailable_until ||
	    sim_random_below(sim, 1000) < (uint64_t)sim->instance_list.refusal_per_mille) {
		input.status = 0;
		input.at += node->partition ? 1000 : 0;
	}
	list_pack(sim, sim->now - sim->instance_list.listing_delay_ms, &input);
	sim_push_event(sim, input);
}

void sim_instance_report(struct sim *sim, int i, const struct command *command)
{
	struct sim_node *node = &sim->nodes[i];
	struct sim_instance *instance = instance_at(sim, command->args.poll_report.addr);
	struct sim_event input = { .at = sim->now + 4,
				   .kind = SIM_REPORT_POLLED,
				   .node = i,
				   .incarnation = node->incarnation,
				   .token = command->args.poll_report.token,
				   .status = 200 };
	int64_t at = sim->now - sim->instance_list.report_age_ms;

	sim->instance_list.n_polls++;
	if (node->partition || !instance) {
		input.status = 0;
		input.at += 400;
	} else if (strcmp(instance->name, command->args.poll_report.server)) {
		input.status = 421;
	} else {
		input.data = (uint8_t *)strdup(instance->changed_at > at ? instance->previous_weights
									 : instance->weights);
		input.step =
		    instance->changed_at > at || (instance->loading[0] && instance->commanded_at <= at);
	}
	sim_push_event(sim, input);
}

void sim_instance_command(struct sim *sim, int i, const struct command *command)
{
	struct sim_node *node = &sim->nodes[i];
	struct sim_event input = { .at = sim->now + 1 + (int64_t)sim_random_below(sim, 3),
				   .kind = SIM_COMMAND,
				   .node = i,
				   .incarnation = node->incarnation,
				   .token = command->args.load_weights.token };
	struct sim_load_command *order;

	sim->instance_list.n_loads_under_requests += command->args.load_weights.during_requests != 0;
	if (sim_node_clock(sim, node) > command->args.load_weights.not_after_ms || node->partition ||
	    !instance_at(sim, command->args.load_weights.addr)) {
		input.kind = SIM_COMMAND_ANSWERED;
		input.step = 1;
		input.at += node->partition ? 200 : 0;
		sim_push_event(sim, input);
		return;
	}
	order = calloc(1, sizeof *order);
	order->addr = command->args.load_weights.addr;
	order->fence = command->args.load_weights.fencing_token;
	snprintf(order->server, sizeof order->server, "%s", command->args.load_weights.server);
	snprintf(order->weights, sizeof order->weights, "%s", command->args.load_weights.weights);
	snprintf(order->holder, sizeof order->holder, "%s", command->args.load_weights.lease_holder);
	input.data = (uint8_t *)order;
	sim_push_event(sim, input);
}

static int loading_now(const struct sim *sim)
{
	int n = 0;

	for (ptrdiff_t i = 0; i < arrlen(sim->instance_list.instances); i++)
		n += sim->instance_list.instances[i].up && sim->instance_list.instances[i].loading[0];
	return n;
}

int sim_load_command_arrives(struct sim *sim, const struct sim_load_command *order)
{
	struct sim_instance *instance = instance_at(sim, order->addr);
	struct sim_event input = { .kind = SIM_LOAD_END };
	int n;

	if (!instance)
		return 0;
	sim->instance_list.n_commands++;
	if (strcmp(instance->name, order->server))
		return 421;
	if (instance->last_command_at && strcmp(instance->holder, order->holder) &&
	    sim->now - instance->last_command_at < sim->bounds.load_lease_wait_ms)
		sim_violation(sim, "server %s had orders of two holders %lld ms apart", instance->name,
			      (long long)(sim->now - instance->last_command_at));
	instance->last_command_at = sim->now;
	if (strcmp(instance->holder, order->holder) && instance->fence == order->fence)
		sim_violation(sim, "server %s had one fence of two holders", instance->name);
	if (order->fence < instance->fence) {
		sim->instance_list.n_fenced++;
		return 412;
	}
	instance->fence = order->fence;
	snprintf(instance->holder, sizeof instance->holder, "%s", order->holder);
	if (!strcmp(instance->weights, order->weights))
		return 200;
	if (instance->refuses_loads)
		return 503;
	if (instance->loading[0]) {
		sim->instance_list.n_busy++;
		return 409;
	}
	instance->commanded_at = sim->now;
	for (int k = 0; k < instance->loads && k < 8; k++)
		if (!strcmp(instance->loaded[k], order->weights))
			sim_violation(sim, "server %s loads %s twice", instance->name, order->weights);
	snprintf(instance->loaded[instance->loads++ % 8], sizeof instance->loaded[0], "%s", order->weights);
	snprintf(instance->loading, sizeof instance->loading, "%s", order->weights);
	sim->instance_list.n_load++;
	n = loading_now(sim);
	if (n > sim->instance_list.peak_loads)
		sim->instance_list.peak_loads = n;
	input.at = instance->load_done_at =
	    sim->now +
	    sim->instance_list.load_ms *
		(n > sim->instance_list.full_speed_loads ? n : sim->instance_list.full_speed_loads) /
		sim->instance_list.full_speed_loads;
	input.server = (int)(instance - sim->instance_list.instances);
	sim_push_event(sim, input);
	return 202;
}

void sim_load_ends(struct sim *sim, const struct sim_event *input)
{
	struct sim_instance *instance = &sim->instance_list.instances[input->server];

	if (!instance->up || instance->load_done_at != input->at)
		return;
	memcpy(instance->previous_weights, instance->weights, sizeof instance->previous_weights);
	memcpy(instance->weights, instance->loading, sizeof instance->weights);
	instance->loading[0] = 0;
	instance->changed_at = sim->now;
}
