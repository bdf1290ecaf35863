/* Routers and controllers of the scale model: each step of their cores, timed, and the commands that it gave,
 * carried out on modelled links, disks and servers. Messages are packed and unpacked as on the wire, so that
 * their cost counts. */
#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "containers.h"
#include "scale_model_internal.h"

static void perform_commands(struct model_fleet *fleet, struct model_node *n);

static void note_revision(struct model_fleet *fleet, struct model_node *node)
{
	uint64_t now_at = node->router->config.watch.table.revision;

	while ((uint64_t)arrlen(fleet->revision_reached) <= now_at)
		arrput(fleet->revision_reached, ((typeof(*fleet->revision_reached)){ 0, 0 }));
	while (node->revision < now_at) {
		node->revision++;
		fleet->revision_reached[node->revision].nodes++;
		fleet->revision_reached[node->revision].last_at_ms = fleet->now_ms;
	}
}

void model_router_step(struct model_fleet *fleet, struct model_node *node, int slot,
		       const struct router_event *input)
{
	int64_t t = model_cpu_ns();

	router_step(node->router, input, fleet->now_ms, &node->commands);
	node->tallies[slot].step_ns += (uint64_t)(model_cpu_ns() - t);
	if (node->router->config.watch.table.revision != node->revision)
		note_revision(fleet, node);
	perform_commands(fleet, node);
}

void model_controller_step(struct model_fleet *fleet, struct model_node *node, int slot,
			   const struct controller_event *input)
{
	int64_t t = model_cpu_ns();

	controller_step(node->controller, input, fleet->now_ms, &node->commands);
	node->tallies[slot].step_ns += (uint64_t)(model_cpu_ns() - t);
	node->controller->identity.is_fleet_unsaved = 0;
	perform_commands(fleet, node);
}

void model_count_received(struct model_node *n, int slot, size_t bytes)
{
	n->tallies[slot].received++;
	n->tallies[slot].received_bytes += bytes;
}

static void count_sent(struct model_node *n, int slot, size_t bytes)
{
	n->tallies[slot].sent++;
	n->tallies[slot].sent_bytes += bytes;
}

static int slot_of(const struct Nl__Msg *message)
{
	return (int)message->body_case < OUTSIDE ? (int)message->body_case : 0;
}

static void send_msg(struct model_fleet *fleet, struct model_node *node, const struct command *command)
{
	struct model_node *to = model_node_at(fleet, command->args.send.addr);
	struct model_event input = { .kind = MODEL_MESSAGE };
	int slot = slot_of(command->args.send.msg);
	int64_t t = model_cpu_ns();

	input.length = nl__msg__get_packed_size(command->args.send.msg);
	input.data = malloc(input.length + 1);
	nl__msg__pack(command->args.send.msg, input.data);
	if (to != node) { /* a message to itself takes no wire */
		node->tallies[slot].codec_ns += (uint64_t)(model_cpu_ns() - t);
		count_sent(node, slot, input.length + 4);
	}
	if (!to || !to->incarnation) {
		free(input.data);
		return;
	}
	input.node = to->index;
	input.incarnation = to->incarnation;
	input.at_ms = fleet->now_ms + model_link_delay_ms(fleet, node, to);
	model_push_event(fleet, input);
}

static void perform_persist(struct model_fleet *fleet, struct model_node *node, const struct persist *write)
{
	typeof(*node->writes) x = { write->shard, write->seq };

	arrput(node->writes, x);
	node->sync_count++;
	node->disk_bytes += 32;
	for (size_t i = 0; i < write->entry_count; i++)
		node->disk_bytes += write->entries[i].len + 32;
	if (write->has_snapshot)
		node->disk_bytes += write->data_len + write->members_len;
	model_schedule(fleet, MODEL_SYNC, node->index, 0,
		       fleet->now_ms + 2 + (int64_t)model_random(fleet, 3));
}

/* Count how long a request waited before it was sent to a server. */
static void count_dispatch(struct model_fleet *fleet, uint64_t caller)
{
	ptrdiff_t i = hmgeti(fleet->pending_requests, caller);
	int64_t ms = i < 0 ? 0 : fleet->now_ms - fleet->pending_requests[i].value.at_ms;

	fleet->sends++;
	fleet->send_ms += (uint64_t)ms;
	fleet->max_send_ms = ms > fleet->max_send_ms ? ms : fleet->max_send_ms;
}

static void perform_call(struct model_fleet *fleet, struct model_node *n, const struct command *command)
{
	struct model_server *server = model_server_at(fleet, core_parse_addr(command->args.call.addr));
	struct model_event input = { .node = n->index,
				     .incarnation = n->incarnation,
				     .token = command->args.call.token };

	if (command->args.call.is_stream) {
		struct client_request *request =
		    n->router && hmgeti(n->router->requests.by_token, input.token) >= 0
			? hmget(n->router->requests.by_token, input.token)
			: NULL;

		count_sent(n, SLOT_RUN, strlen(command->args.call.body));
		count_dispatch(fleet, request ? request->client.token : 0);
		if (!server) {
			model_schedule(fleet, MODEL_DONE, n->index, input.token, fleet->now_ms + 1);
			return;
		}
		input.kind = MODEL_ARRIVE;
		input.server = (int)(server - fleet->servers);
		input.data = (uint8_t *)strdup(command->args.call.body);
		input.at_ms = fleet->now_ms + 1 + (int64_t)model_random(fleet, 3);
		model_push_event(fleet, input);
		return;
	}
	if (!strcmp(command->args.call.path, "/v1/order")) {
		count_sent(n, SLOT_LOAD_COMMAND, strlen(command->args.call.body));
		return;
	}
	count_sent(n, OUTSIDE + (n->router ? (int)ROUTER_EVENT_REPORT_POLLED : (int)CONTROLLER_CALL_RESULT),
		   strlen(command->args.call.path));
	if (!server)
		return;
	input.kind = MODEL_CALLED;
	input.at_ms = fleet->now_ms + 2;
	input.status = 200;
	input.data = (uint8_t *)model_server_report(fleet, server, command->args.call.path, &input.length);
	model_push_event(fleet, input);
}

/* A request whose text stays outside the core: of its send the core gets the first piece and the end. */
static void perform_forward(struct model_fleet *fleet, struct model_node *n,
			    const struct forward_command *forward)
{
	struct model_server *server = model_server_at(fleet, forward->addr);
	struct server_run run = { .node_index = n->index,
				  .incarnation = n->incarnation,
				  .token = forward->call_token };
	ptrdiff_t i = hmgeti(fleet->pending_requests, forward->client_token);
	uint32_t cache_namespace;

	count_dispatch(fleet, forward->client_token);
	count_sent(n, SLOT_RUN, 0);
	if (!server || server->running >= SLOTS_LISTED) {
		model_schedule(fleet, MODEL_DONE, n->index, forward->call_token, fleet->now_ms + 2);
		return;
	}
	run.server = (int)(server - fleet->servers);
	server->running++;
	cache_namespace = forward->cache_namespace ? model_namespace_id(fleet, forward->cache_namespace) : 0;
	for (int k = 0; k < 3 && i >= 0; k++)
		model_cache_block(fleet, server, fleet->pending_requests[i].value.blocks[k], 0, 0,
				  cache_namespace);
	snprintf(run.send_id, sizeof run.send_id, "%llu", (unsigned long long)forward->client_token);
	model_start_run(fleet, &run, fleet->now_ms + 20 + (int64_t)model_random(fleet, 3));
}

static void perform_watch(struct model_fleet *fleet, struct model_node *node, const struct command *command)
{
	struct model_server *v = model_server_at(fleet, command->args.watch_cache.addr);
	struct cache_watch watcher = { node->index, 0, node->incarnation, command->args.watch_cache.token,
				       command->args.watch_cache.first_offset };
	struct model_event input = { .at_ms = fleet->now_ms + command->args.watch_cache.wait_ms,
				     .kind = MODEL_WATCHED,
				     .node = node->index,
				     .incarnation = node->incarnation,
				     .token = watcher.token };

	count_sent(node, OUTSIDE + ROUTER_EVENT_CACHE_WATCHED, 60);
	if (!v)
		return;
	input.server = (int)(v - fleet->servers);
	if (watcher.since_event < (uint64_t)arrlen(v->cache_events)) {
		watcher.is_expired = 1;
		input.at_ms = fleet->now_ms + 2;
	}
	arrput(v->watchers, watcher);
	model_push_event(fleet, input);
}

static void perform_answer(struct model_fleet *fleet, const struct command *command)
{
	const char *b = command->args.answer.body ? command->args.answer.body : "";
	ptrdiff_t i = hmgeti(fleet->pending_requests, command->args.answer.token);

	if (i >= 0) {
		fleet->refused += strstr(b, "\"refused\"") != NULL;
		fleet->unknown += strstr(b, "\"refused\"") == NULL;
		(void)hmdel(fleet->pending_requests, command->args.answer.token);
		return;
	}
	if (command->args.answer.token == fleet->operator_token)
		fleet->operator_status = command->args.answer.status;
	for (i = 0; i < arrlen(fleet->changes); i++)
		if (fleet->changes[i].token == command->args.answer.token &&
		    command->args.answer.status == 200 && !strncmp(b, "{\"edition\":", 11)) {
			fleet->changes[i].revision = strtoull(b + 11, NULL, 10);
			fleet->changes[i].acked_at_ms = fleet->now_ms;
		}
}

static void perform_poll(struct model_fleet *fleet, struct model_node *node, const struct command *command)
{
	struct model_event event = { .at_ms = fleet->now_ms + 4,
				     .kind = MODEL_REPORT_POLLED,
				     .node = node->index,
				     .incarnation = node->incarnation,
				     .token = command->args.poll_report.token,
				     .data = (uint8_t *)strdup(command->args.poll_report.server) };

	count_sent(node, OUTSIDE + CONTROLLER_REPORT_POLLED, 100);
	model_push_event(fleet, event);
}

/* Weights are there at once. */
static void perform_load(struct model_fleet *fleet, struct model_node *node, const struct command *command)
{
	struct model_server *server = model_server_at(fleet, command->args.load_weights.addr);

	count_sent(node, OUTSIDE + CONTROLLER_LOAD_ANSWERED, 200);
	if (server)
		apr_cpystrn(server->weights, command->args.load_weights.weights, sizeof server->weights);
	model_schedule(fleet, MODEL_LOAD_COMMANDED, node->index, command->args.load_weights.token,
		       fleet->now_ms + 4);
}

/* A piece of an answer, or its end, leaves for the client. */
static void perform_stream(struct model_fleet *fleet, struct model_node *node, const struct command *command)
{
	ptrdiff_t i;

	count_sent(node, SLOT_OUT, command->args.stream_chunk.len);
	i = hmgeti(fleet->pending_requests, command->args.stream_chunk.token);
	if (i < 0)
		return;
	if (command->kind == CMD_END_STREAM) {
		fleet->completed += command->args.stream_chunk.success != 0;
		fleet->unknown += command->args.stream_chunk.success == 0;
		(void)hmdel(fleet->pending_requests, command->args.stream_chunk.token);
	} else {
		fleet->pieces++;
	}
}

static void perform_cancel(struct model_fleet *fleet, struct model_node *node, const struct command *command)
{
	ptrdiff_t i = hmgeti(fleet->run_by_token,
			     core_rendezvous_weight((uint64_t)node->index, command->args.cancel.token));

	if (i >= 0)
		model_end_run(fleet, fleet->run_by_token[i].value);
}

static void perform_command(struct model_fleet *fleet, struct model_node *node, const struct command *command)
{
	switch (command->kind) {
	case CMD_SEND:
		send_msg(fleet, node, command);
		break;
	case CMD_PERSIST:
		perform_persist(fleet, node, command->args.persist);
		break;
	case CMD_CALL:
		perform_call(fleet, node, command);
		break;
	case CMD_FORWARD:
		perform_forward(fleet, node, command->args.forward);
		break;
	case CMD_WATCH_CACHE:
		perform_watch(fleet, node, command);
		break;
	case CMD_LIST_SERVERS:
		count_sent(node, OUTSIDE + CONTROLLER_SERVERS_LISTED, 100);
		model_schedule(fleet, MODEL_LISTED, node->index, command->args.list_servers.token,
			       fleet->now_ms + 20);
		break;
	case CMD_POLL_REPORT:
		perform_poll(fleet, node, command);
		break;
	case CMD_LOAD_WEIGHTS:
		perform_load(fleet, node, command);
		break;
	case CMD_ANSWER:
		perform_answer(fleet, command);
		break;
	case CMD_STREAM_CHUNK:
	case CMD_END_STREAM:
		perform_stream(fleet, node, command);
		break;
	case CMD_CANCEL:
		perform_cancel(fleet, node, command);
		break;
	}
}

static void perform_commands(struct model_fleet *fleet, struct model_node *node)
{
	for (ptrdiff_t k = 0; k < arrlen(node->commands.commands); k++)
		perform_command(fleet, node, &node->commands.commands[k]);
	command_list_clear(&node->commands);
}

void model_node_start(struct model_fleet *fleet, struct model_node *n)
{
	uint64_t seeds[3], id = core_random(&fleet->rng);
	struct bounds bounds = bounds_default;

	for (int k = 0; k < 3; k++)
		seeds[k] = model_address(ADDRESS_CONTROLLER, k);
	n->incarnation = ++fleet->seq;
	bounds.use_endpoint_list = fleet->settings.use_instance_list;
	bounds.endpoint_list_calls_millihertz = fleet->settings.use_instance_list ? 2000 : 0;
	if (n->is_router) {
		n->router = malloc(sizeof *n->router);
		router_open(n->router, id, n->addr, n->zone, seeds, 3, fleet->now_ms);
		n->router->config.bounds = bounds;
	} else {
		n->controller = malloc(sizeof *n->controller);
		controller_open(n->controller, id, n->addr, n->zone, seeds, 3, 0, core_random(&fleet->rng),
				NULL, fleet->now_ms);
		n->controller->bounds = bounds;
	}
	model_schedule(fleet, MODEL_TICK, n->index, 0, fleet->now_ms + (int64_t)model_random(fleet, TICK_MS));
}

void model_node_stop(struct model_node *node)
{
	if (node->router) {
		router_close(node->router);
		free(node->router);
	}
	if (node->controller) {
		controller_close(node->controller);
		free(node->controller);
	}
	node->router = NULL;
	node->controller = NULL;
	node->incarnation = 0;
}

/* A message off the wire, or from itself. */
static struct Nl__Msg *receive_message(struct model_node *n, const struct model_event *input, int *slot)
{
	int64_t t = model_cpu_ns();
	struct Nl__Msg *message = nl__msg__unpack(NULL, input->length, input->data);

	if (!message)
		abort(); /* it was packed a moment ago */
	*slot = slot_of(message);
	if (message->addr != n->addr) {
		n->tallies[*slot].codec_ns += (uint64_t)(model_cpu_ns() - t);
		model_count_received(n, *slot, input->length + 4);
	}
	return message;
}

void model_router_dispatch(struct model_fleet *fleet, struct model_node *node, struct model_event *input)
{
	struct router_event ev = { .kind = ROUTER_EVENT_TICK };
	struct forward_result ended = { 0 };
	int slot = OUTSIDE + ROUTER_EVENT_TICK;
	struct Nl__Msg *message = NULL;

	switch (input->kind) {
	case MODEL_MESSAGE:
		message = receive_message(node, input, &slot);
		ev.kind = ROUTER_EVENT_MESSAGE;
		ev.args.message = message;
		break;
	case MODEL_CALLED:
		ev.kind = ROUTER_EVENT_REPORT_POLLED;
		ev.args.report_polled.token = input->token;
		ev.args.report_polled.status = input->status;
		ev.args.report_polled.body = (char *)input->data;
		slot = OUTSIDE + ROUTER_EVENT_REPORT_POLLED;
		model_count_received(node, slot, input->length);
		break;
	case MODEL_DONE:
		if (fleet->settings.use_instance_list) {
			ended.token = input->token;
			ended.end = FORWARD_NOT_STARTED;
			ended.status = 503;
			ev.kind = ROUTER_EVENT_FORWARD_ENDED;
			ev.args.forward_ended = &ended;
			slot = OUTSIDE + ROUTER_EVENT_FORWARD_ENDED;
			model_count_received(node, slot, 0);
			break;
		}
		ev.kind = ROUTER_EVENT_CALL_ENDED;
		ev.args.call_ended.token = input->token;
		ev.args.call_ended.status = 503;
		ev.args.call_ended.not_started = 1;
		ev.args.call_ended.body = "";
		slot = OUTSIDE + ROUTER_EVENT_CALL_ENDED;
		model_count_received(node, slot, 0);
		break;
	default:
		break;
	}
	model_router_step(fleet, node, slot, &ev);
	if (message)
		nl__msg__free_unpacked(message, NULL);
}

void model_controller_dispatch(struct model_fleet *fleet, struct model_node *node, struct model_event *input)
{
	struct controller_event ev = { .kind = CONTROLLER_TICK };
	int slot = OUTSIDE + CONTROLLER_TICK;
	struct Nl__Msg *message = NULL;

	switch (input->kind) {
	case MODEL_MESSAGE:
		message = receive_message(node, input, &slot);
		ev.kind = CONTROLLER_MESSAGE;
		ev.payload.message = message;
		break;
	case MODEL_SYNC:
		ev.kind = CONTROLLER_SYNCED;
		ev.payload.synced.shard = node->writes[0].shard;
		ev.payload.synced.sequence = node->writes[0].seq;
		arrdel(node->writes, 0);
		slot = OUTSIDE + CONTROLLER_SYNCED;
		model_count_received(node, slot, 0);
		break;
	case MODEL_CALLED:
		ev.kind = CONTROLLER_CALL_RESULT;
		ev.payload.call_result.token = input->token;
		ev.payload.call_result.status = input->status;
		ev.payload.call_result.body = (char *)input->data;
		slot = OUTSIDE + CONTROLLER_CALL_RESULT;
		model_count_received(node, slot, input->length);
		break;
	case MODEL_REPORT_POLLED:
		for (int i = 0; i < fleet->settings.servers; i++)
			if (!strcmp(fleet->servers[i].name, (char *)input->data))
				ev.payload.report_polled.weights = fleet->servers[i].weights;
		ev.kind = CONTROLLER_REPORT_POLLED;
		ev.payload.report_polled.token = input->token;
		ev.payload.report_polled.status = 200;
		slot = OUTSIDE + CONTROLLER_REPORT_POLLED;
		model_count_received(node, slot, 300);
		break;
	case MODEL_LOAD_COMMANDED:
		ev.kind = CONTROLLER_LOAD_ANSWERED;
		ev.payload.load_answered.token = input->token;
		ev.payload.load_answered.status = 200;
		slot = OUTSIDE + CONTROLLER_LOAD_ANSWERED;
		model_count_received(node, slot, 100);
		break;
	default:
		break;
	}
	model_controller_step(fleet, node, slot, &ev);
	if (message)
		nl__msg__free_unpacked(message, NULL);
}
