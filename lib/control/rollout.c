#include "rollout.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "leadership.h"
#include "controller_private.h"
#include "config_row.h"
#include "json_add.h"

enum {
	CALL_TIMEOUT_MS = 400, /* a command or a poll without a reply for this long has failed */
	/* a server without a report for this long does not hold up the rollout; it loads the target weights
	 * when it reports again */
	SERVER_REPORT_TIMEOUT_MS = 10000,
};

/* ---- sending commands, receiving reports ---- */

static struct controller_server *find_server(struct controller *controller, const char *name)
{
	for (ptrdiff_t i = 0; i < arrlen(controller->server_rollout.servers); i++)
		if (!strcmp(controller->server_rollout.servers[i].name, name))
			return &controller->server_rollout.servers[i];
	return NULL;
}

static struct controller_server *add_server(struct controller *controller, const struct Nl__Row *row,
					    int64_t now)
{
	struct controller_server server;

	memset(&server, 0, sizeof server);
	server.name = strdup(row->name);
	server.service = strdup(row->service);
	server.reported_at_ms = now;
	arrput(controller->server_rollout.servers, server);
	return &arrlast(controller->server_rollout.servers);
}

static void call_server(uint64_t token, const char *addr, const char *path, const char *body,
			int64_t not_after_ms, struct command_list *out)
{
	struct command *command = command_add(out, CMD_CALL);

	command->args.call.token = token;
	command->args.call.addr = addr;
	command->args.call.path = path;
	command->args.call.body = body;
	command->args.call.timeout_ms = CALL_TIMEOUT_MS;
	command->args.call.not_after_ms = not_after_ms;
}

/* Send a command with a fencing token made from the shard's term, and release the command's JSON. The lease
 * is checked again when the command is sent: not_after_ms is the lease's end. */
static void send_command(struct controller *controller, struct controller_server *server, uint32_t shard,
			 const char *addr, struct json_object *command, int64_t now, struct command_list *out)
{
	uint32_t sequence = ++controller->server_rollout.command_sequence & ROLLOUT_FENCE_SEQUENCE_MASK;
	uint64_t fence = controller->shards[shard].term << ROLLOUT_FENCE_SEQUENCE_BITS | sequence;
	const char *body;

	json_add_number(command, "fence", (int64_t)fence);
	json_add_text(command, "giver",
		      apr_psprintf(out->pool, "%016" APR_UINT64_T_HEX_FMT, controller->identity.id));
	body = apr_pstrdup(out->pool, json_object_to_json_string_ext(command, JSON_C_TO_STRING_PLAIN));
	call_server(0, addr, "/v1/order", body, controller->shards[shard].lease.expires_at_ms, out);
	json_object_put(command);
	server->commanded_at_ms = now;
}

/* Whether a server may keep a cached block that it has reported, because no purge covers the block. */
static bool may_keep_block(const struct controller *controller, const struct controller_server *server,
			   struct json_object *block)
{
	const struct purge_view *view = &controller->relay.view;
	const char *maker = json_string_member(block, "m");
	uint64_t stamp_tick = json_uint_member(block, "t");
	uint64_t hash = strtoull(json_string_member(block, "h"), NULL, 16);

	return purge_view_allows(view, server->service, json_string_member(block, "w"), maker, server->name,
				 stamp_tick) &&
	       purge_view_allows_context(view, server->service, maker, hash, stamp_tick);
}

/* The reported blocks that the server has to drop, as an array that the caller releases. */
static struct json_object *find_purged_blocks(const struct controller *controller,
					      const struct controller_server *server,
					      struct json_object *blocks)
{
	struct json_object *purged = json_object_new_array();

	for (size_t i = 0; i < json_object_array_length(blocks); i++) {
		struct json_object *block = json_object_array_get_idx(blocks, i);

		if (!may_keep_block(controller, server, block))
			json_object_array_add(purged, json_object_get(block));
	}
	return purged;
}

/* Whether this node may send commands to the servers of a shard: it leads the shard, and the commands of
 * earlier leaders have expired. */
static bool may_command_shard(const struct controller *controller, uint32_t shard, int64_t now)
{
	return leads_shard(controller, shard, now) &&
	       now - controller->leadership[shard].started_at_ms >= CONTROLLER_ROLLOUT_HOLD_OFF_MS;
}

static void check_reported_blocks(struct controller *controller, struct controller_server *server,
				  const struct Nl__Row *row, struct json_object *blocks, int64_t now,
				  struct command_list *out)
{
	uint32_t shard = core_service_shard(server->service, SHARD_SERVICES);
	struct json_object *purged = find_purged_blocks(controller, server, blocks);

	if (!json_object_array_length(purged)) {
		/* the report holds no purged block, so the server has carried out all purges up to the
		 * horizon that was current when the report was requested */
		server->purged_tick = server->requested_purge_tick;
		json_object_put(purged);
	} else if (may_command_shard(controller, shard, now) && relay_is_current(&controller->relay, now)) {
		struct json_object *command = json_object_new_object();

		json_object_object_add(command, "drop", purged);
		send_command(controller, server, shard, row->addr, command, now, out);
	} else {
		json_object_put(purged);
	}
}

void rollout_on_server_report(struct controller *controller, struct controller_server *server,
			      const char *body, int64_t now, struct command_list *out)
{
	struct json_object *json = json_tokener_parse(body);
	const struct Nl__Row *row =
	    config_table_get(&controller->config_watch.table, NL__KIND__SERVER, server->name);
	struct json_object *blocks;

	if (json_object_is_type(json, json_type_object) && row) {
		server->reported_at_ms = now;
		apr_cpystrn(server->weights, json_string_member(json, "weights"), sizeof server->weights);
		apr_cpystrn(server->loading, json_string_member(json, "loading"), sizeof server->loading);
		if (json_object_object_get_ex(json, "parts", &blocks) &&
		    json_object_is_type(blocks, json_type_array))
			check_reported_blocks(controller, server, row, blocks, now, out);
	}
	if (json)
		json_object_put(json);
}

static void poll_server(struct controller *controller, const struct Nl__Row *row, int64_t now,
			struct command_list *out)
{
	struct controller_server *server = find_server(controller, row->name);

	if (!server)
		server = add_server(controller, row, now);
	if (now - server->polled_at_ms < CONTROLLER_REPORT_POLL_INTERVAL_MS)
		return;
	server->polled_at_ms = now;
	server->call_token = ++controller->identity.last_token;
	server->requested_purge_tick = controller->relay.knowledge.horizon;
	call_server(server->call_token, apr_pstrdup(out->pool, row->addr), "/v1/report", NULL,
		    now + CALL_TIMEOUT_MS, out);
}

/* ---- target versions ---- */

/* Whether the rollout of these weights to all servers of a service is recorded as complete. Also true when no
 * completed rollout is recorded for the service. */
static bool is_rolled_out(struct controller *controller, const char *service_name, const char *weights)
{
	struct controller_service_state *state =
	    service_shard_state(controller, core_service_shard(service_name, SHARD_SERVICES));
	ptrdiff_t i = shgeti(state->rolled_out, service_name);

	return i < 0 || !strcmp(state->rolled_out[i].value, weights);
}

/* The target version of a service and the times of its rollout. */
typedef typeof(((struct controller_target_weights *)0)->value) rollout_target;

/* Since when the service has had a target version that not every server has loaded. If a new target version
 * is set during an unfinished rollout, the time of the unfinished one counts, so that the servers get no
 * extra time.
 */
static int64_t target_incomplete_since_ms(struct controller *controller, const char *service_name,
					  const rollout_target *previous, int64_t targeted_at_ms)
{
	if (previous && !is_rolled_out(controller, service_name, previous->weights))
		return previous->incomplete_since_ms;
	return targeted_at_ms;
}

void rollout_on_target_change(struct controller *controller, int64_t last_unchanged_ms)
{
	const struct config_table *table = &controller->config_watch.table;

	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;
		const rollout_target *previous;
		rollout_target target = { 0 };
		ptrdiff_t k;

		if (row->kind != NL__KIND__SERVICE)
			continue;
		k = shgeti(controller->server_rollout.targets, row->name);
		previous = k >= 0 ? &controller->server_rollout.targets[k].value : NULL;
		if (previous && !strcmp(previous->weights, row->target_weights))
			continue;
		target.weights = strdup(row->target_weights);
		target.targeted_at_ms = last_unchanged_ms;
		target.incomplete_since_ms =
		    target_incomplete_since_ms(controller, row->name, previous, last_unchanged_ms);
		if (previous)
			free(previous->weights);
		shput(controller->server_rollout.targets, row->name, target);
	}
}

/* How many of a service's servers should have been commanded by now, by the deadline alone: a third at the
 * start, another third halfway to the deadline for the last load command, and all of them at that deadline. A
 * leader that led before the target was set plans for one failover, by an earlier deadline; a leader that
 * took over the rollout has less time left and plans for none. */
static int max_commanded_servers(const struct controller *controller, uint32_t shard, rollout_target *target,
				 int server_count, int64_t now)
{
	int64_t deadline_ms = target->incomplete_since_ms + CONTROLLER_LAST_LOAD_COMMAND_MS;
	int servers_per_wave = (server_count + 2) / 3;

	if (!target->rollout_started_at_ms ||
	    target->rollout_started_at_ms < controller->leadership[shard].started_at_ms)
		target->rollout_started_at_ms = now;
	if (controller->leadership[shard].started_at_ms <= target->incomplete_since_ms)
		deadline_ms -= CONTROLLER_FAILOVER_MS;
	if (now >= deadline_ms || target->rollout_started_at_ms >= deadline_ms)
		return server_count;
	return servers_per_wave * (1 + (int)(2 * (now - target->rollout_started_at_ms) /
					     (deadline_ms - target->rollout_started_at_ms)));
}

/* Progress of one service's rollout. */
struct service_rollout {
	const struct Nl__Row *service;
	rollout_target *target;
	int server_count;  /* servers that have reported recently */
	int updated_count; /* servers with the target weights that are loading nothing */
	int loading_count; /* servers that are loading any weights or were commanded to load the target */
};

static bool is_server_of(const struct Nl__Row *row, const struct Nl__Row *service)
{
	return row->kind == NL__KIND__SERVER && !strcmp(row->service, service->name) && !row->state;
}

static void count_servers(struct controller *controller, struct service_rollout *rollout, int64_t now)
{
	const struct config_table *table = &controller->config_watch.table;

	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;
		const struct controller_server *server;

		if (!is_server_of(row, rollout->service))
			continue;
		server = find_server(controller, row->name);
		if (!server || now - server->reported_at_ms > SERVER_REPORT_TIMEOUT_MS)
			continue;
		rollout->server_count++;
		if (!strcmp(server->weights, rollout->service->target_weights) && !server->loading[0])
			rollout->updated_count++;
		else if (server->loading[0] ||
			 server->load_commanded_at_ms >= rollout->target->targeted_at_ms)
			rollout->loading_count++;
	}
}

/* Whether a load command is due to a server: its report is recent, it neither has nor loads the target
 * weights, and no command was sent recently. */
static int needs_load_command(const struct controller_server *server, const struct service_rollout *rollout,
			      int64_t now)
{
	const char *weights = rollout->service->target_weights;

	if (now - server->reported_at_ms > 2 * CONTROLLER_REPORT_POLL_INTERVAL_MS ||
	    !strcmp(server->weights, weights) || !strcmp(server->loading, weights) ||
	    now - server->commanded_at_ms < CONTROLLER_REPORT_POLL_INTERVAL_MS)
		return 0;
	return server->load_commanded_at_ms < rollout->target->targeted_at_ms ||
	       now - server->load_commanded_at_ms >= 2 * CONTROLLER_REPORT_POLL_INTERVAL_MS;
}

static void command_load(struct controller *controller, struct controller_server *server,
			 const struct Nl__Row *row, const char *weights, uint32_t shard, int64_t now,
			 struct command_list *out)
{
	struct json_object *command = json_object_new_object();

	json_add_text(command, "load", weights);
	send_command(controller, server, shard, apr_pstrdup(out->pool, row->addr), command, now, out);
	server->load_commanded_at_ms = now;
	log_line(controller, "rollout", out->pool, "load command sent to table server %s, weights %s",
		 server->name, weights);
}

/* Send the load commands that are due. At most slots of them go to servers that have not been commanded to
 * load this target before. */
static void command_servers(struct controller *controller, const struct service_rollout *rollout, int slots,
			    uint32_t shard, int64_t now, struct command_list *out)
{
	const struct config_table *table = &controller->config_watch.table;

	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;
		struct controller_server *server;

		if (!is_server_of(row, rollout->service))
			continue;
		server = find_server(controller, row->name);
		if (!server || !needs_load_command(server, rollout, now))
			continue;
		/* a server that lost its command or is loading a superseded version needs no new slot
		 */
		if (server->load_commanded_at_ms < rollout->target->targeted_at_ms && !server->loading[0] &&
		    slots-- <= 0)
			continue;
		command_load(controller, server, row, rollout->service->target_weights, shard, now, out);
	}
}

static void log_rolled_out(struct controller *controller, const struct Nl__Row *service, uint32_t shard,
			   int64_t now, struct command_list *out)
{
	struct Nl__Operation operation = NL__OPERATION__INIT;
	struct Nl__RolledOut rolled_out = NL__ROLLED_OUT__INIT;

	rolled_out.service = service->name;
	rolled_out.weights = service->target_weights;
	operation.body_case = NL__OPERATION__BODY_ROLLED_OUT;
	operation.rolled_out = &rolled_out;
	/* an earlier proposal may not be on the disk yet */
	if (arrlen(controller->shards[shard].disk.pending_syncs) == 0)
		log_operation(controller, shard, &operation, now, out);
}

/* Advance one service's rollout. A third of its servers load at a time while the others keep serving; more of
 * them when the deadline requires it. */
static void roll_out_service(struct controller *controller, const struct Nl__Row *service, uint32_t shard,
			     int64_t now, struct command_list *out)
{
	struct controller_service_state *state = service_shard_state(controller, shard);
	struct service_rollout rollout = {
		.service = service,
		.target = &shgetp(controller->server_rollout.targets, service->name)->value,
	};
	ptrdiff_t completed;

	count_servers(controller, &rollout, now);
	if (rollout.updated_count < rollout.server_count) {
		int slots = (rollout.server_count + 2) / 3 - rollout.loading_count;
		int slots_by_deadline =
		    max_commanded_servers(controller, shard, rollout.target, rollout.server_count, now) -
		    rollout.updated_count - rollout.loading_count;

		command_servers(controller, &rollout, slots < slots_by_deadline ? slots_by_deadline : slots,
				shard, now, out);
		return;
	}
	completed = shgeti(state->rolled_out, service->name);
	if (rollout.server_count &&
	    (completed < 0 || strcmp(state->rolled_out[completed].value, service->target_weights)))
		log_rolled_out(controller, service, shard, now, out);
}

static void tick_service_shard(struct controller *controller, uint32_t shard, int64_t now,
			       struct command_list *out)
{
	const struct config_table *table = &controller->config_watch.table;

	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;

		if (row->kind == NL__KIND__SERVER &&
		    core_service_shard(row->service, SHARD_SERVICES) == shard)
			poll_server(controller, row, now, out);
	}
	if (!may_command_shard(controller, shard, now))
		return;
	for (ptrdiff_t i = 0; i < shlen(table->rows); i++) {
		const struct Nl__Row *row = table->rows[i].value.row;

		if (row->kind == NL__KIND__SERVICE && core_service_shard(row->name, SHARD_SERVICES) == shard)
			roll_out_service(controller, row, shard, now, out);
	}
}

void rollout_tick(struct controller *controller, int64_t now, struct command_list *out)
{
	if (config_watch_age_ms(&controller->config_watch, now) > CONFIG_WATCH_ADMIT_STALENESS_MS)
		return;
	for (uint32_t shard = SHARD_SERVICE; shard < SHARD_COUNT; shard++)
		if (leads_shard(controller, shard, now))
			tick_service_shard(controller, shard, now, out);
}
