/* sim_commands: what the commands of routers and controllers do in the simulator: messages on their way,
 * answers, calls, writes. */
#include "sim_internal.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"

static int node_at(struct sim *sim, uint64_t addr)
{
	for (int i = 0; i < SIM_NODES; i++)
		if (sim->nodes[i].used && sim->nodes[i].addr == addr)
			return i;
	return -1;
}

static int64_t way(struct sim *sim, const struct sim_node *a, const struct sim_node *b)
{
	return sim->delay_ms + (int64_t)sim_random_below(sim, (uint64_t)sim->jitter_ms + 1) +
	       (strcmp(a->zone, b->zone) ? sim->zone_delay_ms : 0);
}

/* An operator hears a controller's answer. */
static void operator_hears(struct sim *sim, struct sim_operator_answer web)
{
	const struct sim_node *node = &sim->nodes[web.node];

	web.answered_at = sim->now;
	web.by_leader = raft_has_lease(&node->controller->shards[SHARD_CONTROL], sim_node_clock(sim, node));
	if (web.status == 200 && !strncmp(web.body, "{\"edition\":", 11) && !strstr(web.body, "rows")) {
		struct sim_ack sim_ack = { strtoull(web.body + 11, NULL, 10), sim->now };

		arrput(sim->acks, sim_ack);
	}
	arrput(sim->operator_answers, web);
}

/* An answer that is written later than its process made it, and by when it must be written. */
struct late_answer {
	struct sim_operator_answer w;
	int64_t not_after;
};

static void answer_is_sent(struct sim *sim, int node, const struct command *command)
{
	struct late_answer late = { .w = { .token = command->args.answer.token,
					   .status = command->args.answer.status,
					   .redirect_addr = command->args.answer.redirect_addr,
					   .full_body_len = command->args.answer.len,
					   .node = node,
					   .retry_ms = command->args.answer.retry_after_ms },
				    .not_after = command->args.answer.not_after_ms };
	struct sim_event input = { .at = sim->now +
					 (int64_t)sim_random_below(sim, (uint64_t)sim->answer_delay_ms),
				   .kind = SIM_ANSWERED,
				   .node = node,
				   .incarnation = sim->nodes[node].incarnation };

	snprintf(late.w.body, sizeof late.w.body, "%s", command->args.answer.body);
	late.w.full_body_len =
	    command->args.answer.len ? command->args.answer.len : strlen(command->args.answer.body);
	late.w.full_body = apr_pstrmemdup(sim->pool, command->args.answer.body, late.w.full_body_len);
	if (!sim->answer_delay_ms) {
		operator_hears(sim, late.w);
		return;
	}
	input.data = malloc(sizeof late);
	memcpy(input.data, &late, sizeof late);
	sim_push_event(sim, input);
}

void sim_answer_is_written(struct sim *sim, const struct sim_event *input)
{
	struct late_answer late;

	memcpy(&late, input->data, sizeof late);
	if (late.not_after && sim_node_clock(sim, &sim->nodes[input->node]) > late.not_after) {
		late.w.status = 503;
		late.w.retry_ms = CONTROLLER_CALL_RETRY_MS;
		snprintf(late.w.body, sizeof late.w.body, "{}");
	}
	operator_hears(sim, late.w);
}

static void perform(struct sim *s, int i)
{
	struct sim_node *n = &s->nodes[i];

	for (ptrdiff_t k = 0; k < arrlen(n->commands.commands); k++) {
		struct command *command = &n->commands.commands[k];
		struct sim_event input;
		int to;

		memset(&input, 0, sizeof input);
		if (n->router && s->front_end.perform && s->front_end.perform(s->front_end.ctx, i, command))
			continue;
		switch (command->kind) {
		case CMD_SEND:
			s->n_msg++;
			s->messages_by_body[command->args.send.msg->body_case % 64]++;
			to = node_at(s, command->args.send.addr);
			if (to >= SIM_CONTROLLERS &&
			    s->undelivered_bodies >> command->args.send.msg->body_case % 64 & 1)
				break;
			if (to < 0 || s->nodes[to].partition != n->partition ||
			    (i < 16 && to < 16 && s->link_cut[i][to]) ||
			    (to != i && sim_random_below(s, 1000) < (uint64_t)s->loss_per_mille))
				break;
			input.kind = SIM_MSG;
			input.node = to;
			input.data_len = nl__msg__get_packed_size(command->args.send.msg);
			input.data = malloc(input.data_len + 1);
			nl__msg__pack(command->args.send.msg, input.data);
			s->n_bytes += input.data_len;
			input.at =
			    s->now + (to == i ? 0 : way(s, n, &s->nodes[to]) + s->nodes[to].extra_delay_ms);
			if (s->bytes_per_ms && to != i) {
				if (n->link_free_at < s->now)
					n->link_free_at = s->now;
				n->link_free_at += (int64_t)(input.data_len / (size_t)s->bytes_per_ms);
				input.at += n->link_free_at - s->now;
			}
			input.from_addr = n->addr;
			sim_push_event(s, input);
			break;
		case CMD_PERSIST:
			s->n_sync++;
			input.kind = SIM_SYNC;
			input.node = i;
			input.incarnation = n->incarnation;
			sim_disk_queue(s, n, command->args.persist);
			input.at = s->now + s->disk_ms + (int64_t)sim_random_below(s, 3);
			sim_push_event(
			    s, input); /* each such event ends the oldest write: a disk keeps its order */
			break;
		case CMD_CALL: {
			struct sim_server *server = sim_server_at(s, command->args.call.addr);

			if (command->args.call.is_stream) { /* a send */
				if (!server || sim_node_clock(s, n) > command->args.call.not_after_ms) {
					sim_break_off(s, i, n->incarnation, command->args.call.token, 0, 1);
					break;
				}
				input.kind = SIM_ARRIVE;
				input.node = i;
				input.incarnation = n->incarnation;
				input.server = (int)(server - s->servers);
				input.token = command->args.call.token;
				input.data = (uint8_t *)strdup(command->args.call.body);
				input.at = s->now + 1 + (int64_t)sim_random_below(s, 3);
				sim_push_event(s, input);
				break;
			}
			if (!server || !server->up ||
			    sim_node_clock(s, n) > command->args.call.not_after_ms || n->partition)
				break;
			if (server->sends_no_reports && strcmp(command->args.call.path, "/v1/order"))
				break;
			if (!strcmp(command->args.call.path, "/v1/order")) {
				sim_server_receive_command(s, server, command->args.call.body);
				break;
			}
			input.kind = SIM_CALLED;
			input.node = i;
			input.incarnation = n->incarnation;
			input.token = command->args.call.token;
			input.status = 200;
			sim_server_report(server, (char **)&input.data);
			input.at = s->now + 2 + server->report_delay_ms;
			sim_push_event(s, input);
			break;
		}
		case CMD_STREAM_CHUNK:
		case CMD_END_STREAM:
			sim_receive_chunk(s, command->args.stream_chunk.token,
					  command->args.stream_chunk.body, command->args.stream_chunk.len,
					  command->kind == CMD_END_STREAM,
					  command->args.stream_chunk.success);
			break;
		case CMD_LIST_SERVERS:
			sim_list_call(s, i, command->args.list_servers.token);
			break;
		case CMD_POLL_REPORT:
			sim_instance_report(s, i, command);
			break;
		case CMD_LOAD_WEIGHTS:
			sim_instance_command(s, i, command);
			break;
		case CMD_FORWARD:
		case CMD_WATCH_CACHE:
			break; /* no door stands here */
		case CMD_CANCEL:
			for (ptrdiff_t q = 0; q < arrlen(s->runs); q++)
				if (!s->runs[q].ended && s->runs[q].node == i &&
				    s->runs[q].token == command->args.cancel.token)
					sim_run_ends(s, &s->runs[q]);
			break;
		case CMD_ANSWER: {
			if (n->router)
				sim_receive_answer(s, command->args.answer.token, command->args.answer.status,
						   command->args.answer.retry_after_ms,
						   command->args.answer.body);
			else
				answer_is_sent(s, i, command);
			break;
		}
		}
	}
	command_list_clear(&n->commands);
}

void sim_controller_step(struct sim *sim, int i, const struct controller_event *input)
{
	struct sim_node *node = &sim->nodes[i];

	node->controller->clocks.wall_ms =
	    sim->wall_clock_epoch_ms ? sim->wall_clock_epoch_ms + sim->now + node->wall_clock_offset_ms : 0;
	controller_step(node->controller, input, sim_node_clock(sim, node), &node->commands);
	if (node->controller->identity.is_fleet_unsaved) {
		node->disk.fleet = node->controller->identity.fleet_id;
		node->controller->identity.is_fleet_unsaved = 0;
	}
	perform(sim, i);
	sim_check_node(sim, i);
}

void sim_router_event(struct sim *sim, int i, const struct router_event *input)
{
	struct sim_node *node = &sim->nodes[i];

	router_step(node->router, input, sim_node_clock(sim, node), &node->commands);
	perform(sim, i);
	sim_check_node(sim, i);
}

void sim_router_dispatch(struct sim *sim, struct sim_event *input)
{
	struct router_event ev;
	struct Nl__Msg *message = NULL;
	struct sim_request *request;

	memset(&ev, 0, sizeof ev);
	switch (input->kind) {
	case SIM_TICK:
		ev.kind = ROUTER_EVENT_TICK;
		break;
	case SIM_MSG:
		message = nl__msg__unpack(NULL, input->data_len, input->data);
		if (!message)
			return;
		ev.kind = ROUTER_EVENT_MESSAGE;
		ev.args.message = message;
		break;
	case SIM_CALLED:
		ev.kind = ROUTER_EVENT_REPORT_POLLED;
		ev.args.report_polled.token = input->token;
		ev.args.report_polled.status = input->status;
		ev.args.report_polled.body = (const char *)input->data;
		break;
	case SIM_BROKE:
		ev.kind = ROUTER_EVENT_CALL_ENDED;
		ev.args.call_ended.token = input->token;
		ev.args.call_ended.status = input->status;
		ev.args.call_ended.not_started = input->step;
		ev.args.call_ended.body = "";
		break;
	case SIM_DISCONNECT:
		ev.kind = ROUTER_EVENT_CLIENT_DISCONNECTED;
		ev.args.client_disconnected.token = input->token;
		break;
	case SIM_STOP:
		ev.kind = ROUTER_EVENT_SHUTDOWN;
		break;
	case SIM_REQUEST:
		request = sim_request_with_token(sim, input->token);
		if (!request)
			return;
		ev.kind = ROUTER_EVENT_CLAIMED_REQUEST;
		ev.args.claimed_request.token = input->token;
		ev.args.claimed_request.key_digest = request->key;
		ev.args.claimed_request.body = (const char *)input->data;
		break;
	default:
		return;
	}
	sim_router_event(sim, input->node, &ev);
	if (message)
		nl__msg__free_unpacked(message, NULL);
}
