#include "stored_world.h"

#include <apr_strings.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_document.h"
#include "containers.h"
#include "snapshot.h"
#include "state_machine.h"
#include "stored_walk.h"

enum {
	STEP_MS = 50,
	SYNC_LOOK_MS = 1000,
	SYNC_LOOKS = 300,
	CALL_LIMIT_MS = 10000,
	BEGIN_MS = 1000000,
	ADDRESS = 100, /* of member 1, less one */
	ROUTER = 50,   /* who makes claims */
	RANDOM_SEED = 5,
	DAY_MS = 86400000 /* of the wall clock: the first day of 1970 is over */
};

static void must(int holds, const char *what)
{
	if (holds)
		return;
	(void)fprintf(stderr, "stored world: %s\n", what);
	abort();
}

/* ---- steps ---- */

struct shell_event *world_synced(struct ring *ring)
{
	struct shell_event *event = NULL;

	for (int i = 0; !event && i < SYNC_LOOKS; i++) /* a look may end early */
		event = ring_pop(ring, SYNC_LOOK_MS);
	return event;
}

static void wait_for_sync(struct world *world)
{
	struct shell_event *event = world_synced(world->ring);
	struct controller_event ev;

	if (!event || event->kind != SHELL_EVENT_SYNCED) {
		must(0, "no sync");
		return;
	}
	memset(&ev, 0, sizeof ev);
	ev.kind = CONTROLLER_SYNCED;
	ev.payload.synced.shard = event->shard;
	ev.payload.synced.sequence = event->sequence;
	arrput(world->completed_syncs, ev);
	shell_event_free(event);
}

static void take_answer(struct world *world, const struct command *command)
{
	size_t n = command->args.answer.len ? command->args.answer.len : strlen(command->args.answer.body);

	if (command->args.answer.token != world->token)
		return;
	must(!world->answer.status, "two answers");
	world->answer.status = command->args.answer.status;
	world->answer.body = apr_pstrmemdup(world->pool, command->args.answer.body, n);
	world->answer.len = n;
}

/* A claim's answer goes to its router. */
static void take_message(struct world *world, const struct command *command)
{
	struct Nl__Msg *message = command->args.send.msg;

	if (command->args.send.addr == world->controller.identity.addr)
		arrput(world->messages_to_self,
		       (struct Nl__Msg *)core_copy_message(world->pool, &message->base));
	else if (command->args.send.addr == ROUTER && message->body_case == NL__MSG__BODY_PROPOSE_REPLY &&
		 message->propose_reply->token == world->token) {
		world->answer.status = 1;
		world->answer.outcome = message->propose_reply->status;
	}
}

static void perform(struct world *w)
{
	if (w->controller.identity.is_fleet_unsaved)
		must(storage_write_identity(w->store, w->controller.identity.id,
					    w->controller.identity.fleet_id),
		     "no identity written");
	w->controller.identity.is_fleet_unsaved = 0;
	for (ptrdiff_t i = 0; i < arrlen(w->out.commands); i++)
		switch (w->out.commands[i].kind) {
		case CMD_PERSIST:
			storage_write(w->store, w->out.commands[i].args.persist);
			wait_for_sync(w);
			break;
		case CMD_SEND:
			take_message(w, &w->out.commands[i]);
			break;
		case CMD_ANSWER:
			take_answer(w, &w->out.commands[i]);
			break;
		default:
			break;
		}
	command_list_clear(&w->out);
}

static void step_once(struct world *world, const struct controller_event *event)
{
	world->controller.clocks.wall_ms = DAY_MS + world->now;
	controller_step(&world->controller, event, world->now, &world->out);
	perform(world);
}

void world_step(struct world *world, const struct controller_event *event)
{
	step_once(world, event);
	while (arrlen(world->completed_syncs) || arrlen(world->messages_to_self)) {
		struct controller_event next;

		memset(&next, 0, sizeof next);
		if (arrlen(world->completed_syncs)) {
			next = world->completed_syncs[0];
			arrdel(world->completed_syncs, 0);
		} else {
			next.kind = CONTROLLER_MESSAGE;
			next.payload.message = world->messages_to_self[0];
			arrdel(world->messages_to_self, 0);
		}
		step_once(world, &next);
	}
}

void world_run(struct world *world, int64_t ms)
{
	for (int64_t end = world->now + ms; world->now < end;) {
		world->now += STEP_MS;
		world_step(world, &(struct controller_event){ .kind = CONTROLLER_TICK });
	}
}

static void begin_controller(struct world *world)
{
	uint64_t seeds[1] = { ADDRESS + WORLD_SELF };

	controller_open(&world->controller, world->found.node_id, ADDRESS + WORLD_SELF, "z1", seeds, 1,
			world->found.fleet_id, RANDOM_SEED, world->found.shard_pointers, world->now);
	world->controller.adapters.codec = &platform_codec;
}

const char *world_open(struct world *world, const char *folder)
{
	struct storage_failure failure;

	memset(world, 0, sizeof *world);
	apr_pool_create(&world->pool, NULL);
	apr_pool_create(&world->out.pool, NULL);
	world->now = BEGIN_MS;
	ring_open(&world->ring, 64, world->pool);
	world->store = storage_open(folder, NULL, world->ring, &world->found, &failure, world->pool);
	if (!world->store)
		return storage_strerror(&failure, world->pool);
	if (!world->found.node_id) {
		world->found.node_id = WORLD_SELF;
		must(storage_write_identity(world->store, world->found.node_id, 0), "no identity written");
	}
	begin_controller(world);
	return NULL;
}

void world_close(struct world *world)
{
	if (world->store) {
		controller_close(&world->controller);
		storage_close(world->store);
	}
	arrfree(world->out.commands);
	arrfree(world->messages_to_self);
	arrfree(world->completed_syncs);
	apr_pool_destroy(world->out.pool);
	apr_pool_destroy(world->pool);
}

/* ---- what others say ---- */

void world_receive(struct world *world, uint64_t from, struct Nl__Msg *message)
{
	struct controller_event event;

	memset(&event, 0, sizeof event);
	message->protocol_version = CORE_PROTOCOL_VERSION;
	message->id = from;
	message->addr = from == ROUTER ? ROUTER : ADDRESS + from;
	message->fleet_id = world->controller.identity.fleet_id;
	event.kind = CONTROLLER_MESSAGE;
	event.payload.message = message;
	world_step(world, &event);
}

void world_bootstrap(struct world *world, int members)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__Bootstrap found = NL__BOOTSTRAP__INIT;
	struct Nl__Members all = NL__MEMBERS__INIT;
	struct Nl__Member v[WORLD_MAX_MEMBERS], *member[WORLD_MAX_MEMBERS];

	for (int i = 0; i < members; i++) {
		nl__member__init(&v[i]);
		v[i].id = (uint64_t)i + 1;
		v[i].addr = ADDRESS + v[i].id;
		v[i].voter = 1;
		member[i] = &v[i];
	}
	all.n_members = (size_t)members;
	all.members = member;
	found.fleet_id = WORLD_FLEET;
	found.members = &all;
	message.body_case = NL__MSG__BODY_BOOTSTRAP;
	message.bootstrap = &found;
	world_receive(world, WORLD_SELF, &message);
	must(world->controller.identity.fleet_id == WORLD_FLEET, "no fleet begun");
}

/* ---- operators and routers ---- */

static int wait_for_answer(struct world *world, const struct controller_event *event)
{
	world->answer.status = 0;
	world_step(world, event);
	for (int64_t end = world->now + CALL_LIMIT_MS; !world->answer.status && world->now < end;)
		world_run(world, STEP_MS);
	return world->answer.status;
}

int world_call(struct world *world, const char *method, const char *path, const char *body, const char *key)
{
	struct controller_event event;

	memset(&event, 0, sizeof event);
	event.kind = CONTROLLER_API_CALL;
	event.payload.api_call.token = ++world->token;
	event.payload.api_call.method = method;
	event.payload.api_call.path = path;
	event.payload.api_call.body = body;
	event.payload.api_call.idempotency_key = key;
	return wait_for_answer(world, &event);
}

int world_document(struct world *world, const char *body, int patch, uint64_t base)
{
	struct controller_event event;

	memset(&event, 0, sizeof event);
	event.kind = CONTROLLER_PUT_DOCUMENT;
	event.payload.document.token = ++world->token;
	event.payload.document.base_version = base;
	event.payload.document.is_patch = patch;
	event.payload.document.body = body;
	event.payload.document.body_bytes = strlen(body);
	return wait_for_answer(world, &event);
}

int world_read_document(struct world *world)
{
	struct controller_event event;

	memset(&event, 0, sizeof event);
	event.kind = CONTROLLER_READ_DOCUMENT;
	event.payload.read.token = ++world->token;
	return wait_for_answer(world, &event);
}

int world_set_target_weights(struct world *world, const char *model, const char *weights)
{
	struct controller_event event;

	memset(&event, 0, sizeof event);
	event.kind = CONTROLLER_SET_TARGET_WEIGHTS;
	event.payload.target.token = ++world->token;
	event.payload.target.model = model;
	event.payload.target.weights = weights;
	return wait_for_answer(world, &event);
}

void world_log(struct world *world, uint32_t part, const struct Nl__Operation *operation)
{
	struct raft *raft = &world->controller.shards[part];
	size_t n;
	const uint8_t *d = core_pack_message(world->pool, &operation->base, &n);
	uint64_t index = raft_propose(raft, d, n, world->now);

	must(index != 0, "it does not lead");
	for (int i = 0; raft->log.applied_index < index; i++) {
		world_run(world, STEP_MS);
		must(i < CALL_LIMIT_MS / STEP_MS, "nothing is applied");
	}
}

uint32_t world_claim(struct world *world, const char *service, const struct Nl__Claim *claim)
{
	struct Nl__Msg message = NL__MSG__INIT;
	struct Nl__Propose propose = NL__PROPOSE__INIT;
	struct Nl__Operation operation = NL__OPERATION__INIT;

	operation.body_case = NL__OPERATION__BODY_CLAIM;
	operation.claim = (struct Nl__Claim *)(uintptr_t)claim;
	propose.token = operation.token = ++world->token;
	operation.requester_id = ROUTER;
	propose.operation = &operation;
	message.body_case = NL__MSG__BODY_PROPOSE;
	message.propose = &propose;
	message.shard = core_service_shard(service, SHARD_SERVICES);
	world->answer.status = 0;
	world_receive(world, ROUTER, &message);
	for (int64_t end = world->now + CALL_LIMIT_MS; !world->answer.status && world->now < end;)
		world_run(world, STEP_MS);
	must(world->answer.status == 1, "a claim is not answered");
	return world->answer.outcome;
}

/* ---- what a folder holds ---- */

static const char *unpacked(enum walk_root root, const uint8_t *d, size_t n, const char *place,
			    apr_pool_t *pool)
{
	ProtobufCMessage *message = core_unpack_message(pool, walk_roots[root], n, d);

	return message ? walk_dump(message, place, pool) : apr_psprintf(pool, "%s: unreadable\n", place);
}

static enum walk_root state_root(uint32_t part)
{
	return part == SHARD_CONTROL ? WALK_CONTROL_STATE
	       : part == SHARD_PURGE ? WALK_PURGE_STATE
				     : WALK_SERVICE_STATE;
}

static const char *entry_text(const struct raft_entry *entry, uint64_t index, uint32_t part, apr_pool_t *pool)
{
	const char *place = apr_psprintf(pool, "shard %u entry %" PRIu64, part, index);
	const char *head =
		       apr_psprintf(pool, "%s: term %" PRIu64 " kind %u\n", place, entry->term, entry->kind),
		   *data = "";

	if (entry->kind == RAFT_ENTRY_OPERATION)
		data = unpacked(WALK_OPERATION, entry->data, entry->len, place, pool);
	else if (entry->kind == RAFT_ENTRY_MEMBERS)
		data = unpacked(WALK_MEMBERS, entry->data, entry->len, place, pool);
	else if (entry->len)
		data = apr_psprintf(pool, "%s: %u bytes\n", place, (unsigned)entry->len);
	return apr_pstrcat(pool, head, data, NULL);
}

const char *world_records(const struct stored_state *found, apr_pool_t *pool)
{
	const char *text =
	    apr_psprintf(pool, "identity %" PRIu64 " fleet %" PRIu64 "\n", found->node_id, found->fleet_id);

	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		const struct raft_saved *saved = &found->shards[i];
		const char *place = apr_psprintf(pool, "shard %u snapshot", i);

		text = apr_psprintf(pool, "%sshard %u: term %" PRIu64 " vote %" PRIu64 "\n", text, i,
				    saved->term, saved->voted_for);
		if (saved->snapshot_index)
			text = apr_psprintf(pool, "%s%s: up to %" PRIu64 " of term %" PRIu64 "\n%s%s", text,
					    place, saved->snapshot_index, saved->snapshot_term,
					    unpacked(WALK_MEMBERS, saved->members, saved->members_len,
						     apr_pstrcat(pool, place, " members", NULL), pool),
					    unpacked(state_root(i), saved->state, saved->state_len,
						     apr_pstrcat(pool, place, " state", NULL), pool));
		for (size_t k = 0; k < saved->entry_count; k++)
			text = apr_pstrcat(pool, text,
					   entry_text(&saved->entries[k], saved->first_index + k, i, pool),
					   NULL);
	}
	return text;
}

const char *world_state(struct world *world, apr_pool_t *pool)
{
	const char *text = "";

	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		const struct raft_saved *saved = &world->found.shards[i];
		const uint8_t *d;
		size_t n;

		if (saved->snapshot_index)
			snapshot_load(&world->controller, i, pool);
		for (size_t k = 0; k < saved->entry_count; k++)
			if (saved->entries[k].kind == RAFT_ENTRY_OPERATION &&
			    saved->first_index + k > saved->snapshot_index)
				(void)state_machine_apply(&world->controller, i, saved->first_index + k,
							  &saved->entries[k], world->out.pool);
		d = snapshot_pack_state(&world->controller, i, pool, &n);
		text = apr_pstrcat(
		    pool, text, unpacked(state_root(i), d, n, apr_psprintf(pool, "shard %u", i), pool), NULL);
	}
	command_list_clear(&world->out);
	return text;
}

static void copy_shard(struct storage *store, uint32_t part, const struct raft_saved *saved, apr_pool_t *pool)
{
	struct persist w;

	memset(&w, 0, sizeof w);
	w.shard = part;
	w.seq = 1;
	w.term = saved->term;
	w.vote = saved->voted_for;
	w.entry_count = saved->entry_count;
	w.entries = apr_pcalloc(pool, (saved->entry_count + 1) * sizeof *w.entries);
	for (size_t k = 0; k < saved->entry_count; k++)
		w.entries[k] = (struct persist_entry){ saved->first_index + k, saved->entries[k].term,
						       saved->entries[k].kind, saved->entries[k].len,
						       saved->entries[k].data };
	if (saved->snapshot_index) {
		w.has_snapshot = 1;
		w.snapshot_index = saved->snapshot_index;
		w.snapshot_term = saved->snapshot_term;
		w.members = saved->members;
		w.members_len = saved->members_len;
		w.data = saved->state;
		w.data_len = saved->state_len;
	}
	storage_write(store, &w);
}

void world_copy(const struct stored_state *found, const char *folder)
{
	struct stored_state none;
	struct storage_failure failure;
	struct storage *store;
	struct ring *ring;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	ring_open(&ring, 64, pool);
	store = storage_open(folder, NULL, ring, &none, &failure, pool);
	must(store && !none.node_id, "the new folder is none");
	must(storage_write_identity(store, found->node_id, found->fleet_id), "no identity written");
	for (uint32_t i = 0; i < SHARD_COUNT; i++) {
		struct shell_event *event;

		if (!found->shards[i].term)
			continue;
		copy_shard(store, i, &found->shards[i], pool);
		event = world_synced(ring);
		must(event && event->kind == SHELL_EVENT_SYNCED, "no sync");
		shell_event_free(event);
	}
	storage_close(store);
	apr_pool_destroy(pool);
}
