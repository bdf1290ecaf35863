/* sim: the simulator's core: virtual time, the queue of events, and the loop that hands each event to the
 * module that it is for. Always: events of one moment are taken in the order in which they were put in, so a
 * seed repeats a run exactly. */
#include "sim_internal.h"

#include <apr_strings.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

uint64_t sim_random_below(struct sim *sim, uint64_t n)
{
	return n ? core_random(&sim->rng) % n : 0;
}

void sim_violation(struct sim *sim, const char *fmt, ...)
{
	va_list ap;
	int k;

	if (sim->violation[0])
		return;
	k = snprintf(sim->violation, sizeof sim->violation,
		     "seed %llu at %lld ms: ", (unsigned long long)sim->seed, (long long)sim->now);
	va_start(ap, fmt);
	vsnprintf(sim->violation + k, sizeof sim->violation - (size_t)k, fmt, ap);
	va_end(ap);
}

static int before(const struct sim_event *a, const struct sim_event *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

void sim_push_event(struct sim *sim, struct sim_event input)
{
	ptrdiff_t i;

	input.seq = ++sim->seq;
	arrput(sim->events, input);
	for (i = arrlen(sim->events) - 1; i && before(&sim->events[i], &sim->events[(i - 1) / 2]);
	     i = (i - 1) / 2) {
		struct sim_event t = sim->events[i];

		sim->events[i] = sim->events[(i - 1) / 2];
		sim->events[(i - 1) / 2] = t;
	}
}

static struct sim_event pop(struct sim *sim)
{
	struct sim_event top = sim->events[0], lastv = arrpop(sim->events);
	ptrdiff_t n = arrlen(sim->events), i = 0;

	if (!n)
		return top;
	sim->events[0] = lastv;
	for (;;) {
		ptrdiff_t c = 2 * i + 1;
		struct sim_event t;

		if (c >= n)
			break;
		if (c + 1 < n && before(&sim->events[c + 1], &sim->events[c]))
			c++;
		if (!before(&sim->events[c], &sim->events[i]))
			break;
		t = sim->events[i];
		sim->events[i] = sim->events[c];
		sim->events[c] = t;
		i = c;
	}
	return top;
}

static void ev_free(struct sim_event *input)
{
	free(input->data);
}

int64_t sim_node_clock(const struct sim *sim, const struct sim_node *node)
{
	return sim->now + node->clock_skew_ms;
}

void sim_push(struct sim *sim, struct sim_event input)
{
	sim_push_event(sim, input);
}
void sim_router_step(struct sim *sim, int node, const struct router_event *input)
{
	sim_router_event(sim, node, input);
}
int64_t sim_local_clock(const struct sim *sim, int node)
{
	return sim_node_clock(sim, &sim->nodes[node]);
}

void sim_tick_at(struct sim *sim, int node, int64_t at)
{
	struct sim_event input = {
		.at = at, .kind = SIM_TICK, .node = node, .incarnation = sim->nodes[node].incarnation
	};

	sim_push_event(sim, input);
}

static void dispatch(struct sim *sim, struct sim_event *input)
{
	struct sim_node *node = &sim->nodes[input->node];
	struct controller_event ev;

	if (input->kind == SIM_FRONT_END) {
		sim->front_end.event(sim->front_end.ctx, input);
		return;
	}
	if (input->kind == SIM_LOAD_END) {
		sim_load_ends(sim, input);
		return;
	}
	if (input->kind == SIM_COMMAND) { /* at its server, whatever has become of who sent it */
		struct sim_event a = { .at = sim->now + 2,
				       .kind = SIM_COMMAND_ANSWERED,
				       .node = input->node,
				       .incarnation = input->incarnation,
				       .token = input->token };

		a.status = sim_load_command_arrives(sim, (struct sim_load_command *)input->data);
		if (sim_random_below(sim, 1000) < (uint64_t)sim->instance_list.lost_answer_per_mille ||
		    node->partition)
			a.status = 0;
		if (a.status || sim_random_below(sim, 2)) /* some never hear */
			sim_push_event(sim, a);
		return;
	}
	if (input->kind == SIM_LOADED) {
		struct sim_server *server = &sim->servers[input->server];

		if (server->up && server->load_done_at == input->at) {
			memcpy(server->weights, server->loading, sizeof server->weights);
			server->loading[0] = 0;
			arrsetlen(server->blocks, 0);
		}
		return;
	}
	if (input->kind == SIM_ARRIVE || input->kind == SIM_STREAM) {
		if (input->kind == SIM_ARRIVE)
			sim_run_arrives(sim, input);
		else
			sim_run_streams(sim, input);
		return;
	}
	if (!node->up || (input->incarnation && input->incarnation != node->incarnation)) {
		if (input->kind == SIM_REQUEST && sim_request_with_token(sim, input->token))
			sim_end_request(sim, sim_request_with_token(sim, input->token), SIM_LOST);
		return;
	}
	if (node->frozen) { /* everything waits at its door */
		struct sim_event later = *input;

		later.at = sim->now + 20;
		input->data = NULL;
		sim_push_event(sim, later);
		return;
	}
	if (input->kind == SIM_TICK)
		sim_tick_at(sim, input->node, sim->now + 25);
	if (node->router) {
		sim_router_dispatch(sim, input);
		return;
	}
	memset(&ev, 0, sizeof ev);
	switch (input->kind) {
	case SIM_TICK:
		ev.kind = CONTROLLER_TICK;
		sim_controller_step(sim, input->node, &ev);
		break;
	case SIM_STOP:
		ev.kind = CONTROLLER_STOP;
		sim_controller_step(sim, input->node, &ev);
		break;
	case SIM_MSG: {
		struct Nl__Msg *message = nl__msg__unpack(NULL, input->data_len, input->data);

		if (!message)
			break;
		ev.kind = CONTROLLER_MESSAGE;
		ev.payload.message = message;
		sim_controller_step(sim, input->node, &ev);
		nl__msg__free_unpacked(message, NULL);
		break;
	}
	case SIM_SYNC:
		if (sim->now < node->disk_stalled_until) {
			struct sim_event later = *input;

			later.at = node->disk_stalled_until;
			sim_push_event(sim, later);
			break;
		}
		sim_disk_write(&node->disk, node->writes[0].persist);
		ev.kind = CONTROLLER_SYNCED;
		ev.payload.synced.shard = node->writes[0].persist->shard;
		ev.payload.synced.sequence = node->writes[0].persist->seq;
		apr_pool_destroy(node->writes[0].pool);
		arrdel(node->writes, 0);
		sim_controller_step(sim, input->node, &ev);
		break;
	case SIM_CALLED:
		ev.kind = CONTROLLER_CALL_RESULT;
		ev.payload.call_result.token = input->token;
		ev.payload.call_result.status = input->status;
		ev.payload.call_result.body = (const char *)input->data;
		sim_controller_step(sim, input->node, &ev);
		break;
	case SIM_SERVERS_LISTED: {
		struct Nl__ConfigSyncReply *a =
		    nl__config_sync_reply__unpack(NULL, input->data_len, input->data);

		ev.kind = CONTROLLER_SERVERS_LISTED;
		ev.payload.servers_listed.token = input->token;
		ev.payload.servers_listed.is_complete = input->status;
		ev.payload.servers_listed.instances = a->instances;
		ev.payload.servers_listed.instance_count = input->status ? a->n_instances : 0;
		sim_controller_step(sim, input->node, &ev);
		nl__config_sync_reply__free_unpacked(a, NULL);
		break;
	}
	case SIM_REPORT_POLLED:
		ev.kind = CONTROLLER_REPORT_POLLED;
		ev.payload.report_polled.token = input->token;
		ev.payload.report_polled.status = input->status;
		ev.payload.report_polled.weights = (const char *)input->data;
		ev.payload.report_polled.is_loading = input->step;
		sim_controller_step(sim, input->node, &ev);
		break;
	case SIM_ANSWERED:
		sim_answer_is_written(sim, input);
		break;
	case SIM_GONE:
		ev.kind = CONTROLLER_CALLER_DISCONNECTED;
		ev.payload.disconnected.token = input->token;
		sim_controller_step(sim, input->node, &ev);
		break;
	case SIM_COMMAND_ANSWERED:
		ev.kind = CONTROLLER_LOAD_ANSWERED;
		ev.payload.load_answered.token = input->token;
		ev.payload.load_answered.status = input->status;
		ev.payload.load_answered.never_sent = input->step;
		sim_controller_step(sim, input->node, &ev);
		break;
	case SIM_OPERATOR_CALL: {
		char *verb = (char *)input->data, *path = verb + strlen(verb) + 1,
		     *body = path + strlen(path) + 1, *key = body + strlen(body) + 1;

		ev.kind = CONTROLLER_API_CALL;
		ev.payload.api_call.token = input->token;
		ev.payload.api_call.method = verb;
		ev.payload.api_call.path = path;
		ev.payload.api_call.body = body;
		ev.payload.api_call.idempotency_key = key[0] ? key : NULL;
		sim_controller_step(sim, input->node, &ev);
		break;
	}
	case SIM_DOCUMENT: {
		char *body = (char *)input->data, *weights = body + input->data_len + 1;

		ev.kind = input->status == 2   ? CONTROLLER_READ_DOCUMENT
			  : input->status == 3 ? CONTROLLER_SET_TARGET_WEIGHTS
					       : CONTROLLER_PUT_DOCUMENT;
		if (ev.kind == CONTROLLER_READ_DOCUMENT) {
			ev.payload.read.token = input->token;
		} else if (ev.kind == CONTROLLER_SET_TARGET_WEIGHTS) {
			ev.payload.target.token = input->token;
			ev.payload.target.model = body;
			ev.payload.target.weights = weights;
		} else {
			ev.payload.document.token = input->token;
			ev.payload.document.base_version = input->from_addr;
			ev.payload.document.is_patch = input->status;
			ev.payload.document.body = body;
			ev.payload.document.body_bytes = input->data_len;
		}
		sim_controller_step(sim, input->node, &ev);
		break;
	}
	default:
		break;
	}
}

int sim_run(struct sim *sim, int64_t ms, int (*done)(struct sim *))
{
	int64_t end = sim->now + ms;

	while (!sim->violation[0] && arrlen(sim->events) && sim->events[0].at <= end) {
		struct sim_event input = pop(sim);

		sim->now = input.at;
		dispatch(sim, &input);
		ev_free(&input);
		if (done && done(sim))
			return !sim->violation[0];
	}
	if (!sim->violation[0])
		sim->now = end;
	return !sim->violation[0];
}

void sim_open(struct sim *sim, uint64_t seed)
{
	memset(sim, 0, sizeof *sim);
	sim->seed = seed;
	sim->rng = seed * 7919 + 17;
	sim->now = 1000000;
	sim->delay_ms = 1;
	sim->jitter_ms = 2;
	sim->zone_delay_ms = 1;
	sim->disk_ms = 2;
	sim->request_timeout_ms = 8000;
	sim->bounds = bounds_default;
	sim->instance_list.listing_delay_ms = 800;
	sim->instance_list.load_ms = 1100;
	sim->instance_list.full_speed_loads = 3;
	sim->instance_list.report_age_ms = 100;
	apr_pool_create(&sim->pool, NULL);
}

void sim_close(struct sim *sim)
{
	for (int i = 0; i < SIM_NODES; i++)
		if (sim->nodes[i].used) {
			if (sim->nodes[i].up)
				sim_crash(sim, i, 1);
			else
				sim_disk_wipe(&sim->nodes[i].disk);
			sim_disk_wipe(&sim->nodes[i].lost_disk);
			arrfree(sim->nodes[i].commands.commands);
			arrfree(sim->nodes[i].writes);
		}
	for (ptrdiff_t i = 0; i < arrlen(sim->events); i++)
		ev_free(&sim->events[i]);
	for (int i = 0; i < SHARD_COUNT; i++)
		arrfree(sim->entry_hashes[i]);
	for (int i = 0; i < SIM_SERVERS; i++)
		arrfree(sim->servers[i].blocks);
	arrfree(sim->events);
	arrfree(sim->value);
	arrfree(sim->operator_answers);
	arrfree(sim->acks);
	arrfree(sim->requests);
	arrfree(sim->runs);
	arrfree(sim->submissions);
	arrfree(sim->sends);
	arrfree(sim->purges);
	arrfree(sim->instance_list.instances);
	shfree(sim->removed_keys);
	apr_pool_destroy(sim->pool);
}
