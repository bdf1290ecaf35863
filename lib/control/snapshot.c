#include "snapshot.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "controller_private.h"
#include "state_machine.h"

static int compare_keys(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static uint8_t *pack_control_state(const struct controller *controller, apr_pool_t *pool, size_t *size_bytes)
{
	struct Nl__ControlState state = NL__CONTROL_STATE__INIT;
	struct Nl__ConfigSyncReply all_rows = NL__CONFIG_SYNC_REPLY__INIT;
	struct config_table_row *rows = controller->config.table.rows;
	char **sorted_keys = apr_palloc(pool, ((size_t)shlen(rows) + 1) * sizeof *sorted_keys);

	config_table_pack_since(&controller->config.table, 0, &all_rows, pool);
	state.fleet_id = controller->identity.fleet_id;
	state.revision = controller->config.table.revision;
	state.operator_revision = controller->config.table.operator_revision;
	state.group_clock_ms = controller->config.table.clock.at_ms;
	state.rows = all_rows.set;
	state.n_rows = all_rows.n_set;
	for (size_t i = 0; i < state.n_rows;
	     i++) /* in the order of the keys, so that equal states are packed into equal bytes */
		sorted_keys[i] = rows[i].key;
	qsort(sorted_keys, state.n_rows, sizeof *sorted_keys, compare_keys);
	for (size_t i = 0; i < state.n_rows; i++)
		state.rows[i] = shget(rows, sorted_keys[i]).row;
	state.feed = controller->config.purge_feed;
	state.n_feed = (size_t)arrlen(controller->config.purge_feed);
	completed_proposals_pack(&controller->config.completed_proposals, &state, pool);
	state.document.data = controller->config.document;
	state.document.len = controller->config.document_bytes;
	state.document_version = controller->config.document_version;
	idempotency_log_pack(&controller->config.accepted_requests, &state, pool);
	retention_pack(&controller->retention, &state);
	return core_pack_message(pool, &state.base, size_bytes);
}

static uint8_t *pack_purge_state(const struct controller_purge_state *purge_state, apr_pool_t *pool,
				 size_t *size_bytes)
{
	struct Nl__PurgeState state = NL__PURGE_STATE__INIT;
	struct Nl__FeedOffset offsets[SHARD_COUNT], *offset_pointers[SHARD_COUNT];
	struct purge_view_row *subjects = purge_state->newest_purges.subjects;

	state.ceiling = purge_state->tick_ceiling;
	state.released = purge_state->released_tick;
	state.purged_tick = purge_state->purged_tick;
	state.values = purge_state->unreleased_values;
	state.n_values = (size_t)arrlen(purge_state->unreleased_values);
	state.latest = apr_palloc(pool, ((size_t)hmlen(subjects) + 1) * sizeof *state.latest);
	for (ptrdiff_t i = 0; i < hmlen(subjects); i++) {
		size_t k = state.n_latest++;

		for (; k && state.latest[k - 1]->tick > subjects[i].value->tick; k--)
			state.latest[k] = state.latest[k - 1];
		state.latest[k] = subjects[i].value;
	}
	for (int i = 0; i < SHARD_COUNT; i++) {
		nl__feed_offset__init(&offsets[i]);
		offsets[i].feed = (uint32_t)i;
		offsets[i].index = purge_state->published_index[i];
		offset_pointers[i] = &offsets[i];
	}
	state.feed_offsets = offset_pointers;
	state.n_feed_offsets = SHARD_COUNT;
	return core_pack_message(pool, &state.base, size_bytes);
}

static uint8_t *pack_service_state(const struct controller_service_state *service, apr_pool_t *pool,
				   size_t *size_bytes)
{
	struct Nl__ServiceState state = NL__SERVICE_STATE__INIT;
	struct controller_claim *claims = service->claims;
	char **sorted_keys = apr_palloc(pool, ((size_t)shlen(claims) + 1) * sizeof *sorted_keys);
	size_t unexpired_count = 0;

	state.clock = service->clock_ms;
	state.purged_tick = service->purged_tick;
	state.purged_at = service->purged_at_ms;
	state.compacted = service->is_compacted;
	state.claims = apr_palloc(pool, ((size_t)shlen(claims) + 1) * sizeof *state.claims);
	for (ptrdiff_t i = 0; i < shlen(claims); i++)
		if (claims[i].value.claimed_at_ms + CONTROLLER_CLAIM_TTL_MS >= service->clock_ms)
			sorted_keys[unexpired_count++] = claims[i].key;
	qsort(sorted_keys, unexpired_count, sizeof *sorted_keys, compare_keys);
	for (size_t i = 0; i < unexpired_count; i++) {
		struct Nl__ClaimRecord *record = apr_palloc(pool, sizeof *record);
		char *separator = strstr(sorted_keys[i], CLAIM_KEY_SEPARATOR);

		nl__claim_record__init(record);
		record->tenant = apr_pstrmemdup(pool, sorted_keys[i], (size_t)(separator - sorted_keys[i]));
		record->id = separator + 1;
		record->router_id = shget(claims, sorted_keys[i]).router_id;
		record->seq = shget(claims, sorted_keys[i]).claim_sequence;
		record->claimed_at = shget(claims, sorted_keys[i]).claimed_at_ms;
		record->returned = shget(claims, sorted_keys[i]).is_released;
		state.claims[state.n_claims++] = record;
	}
	state.feed = service->purge_feed;
	state.n_feed = (size_t)arrlen(service->purge_feed);
	state.rolled_out =
	    apr_palloc(pool, ((size_t)shlen(service->rolled_out) + 1) * sizeof *state.rolled_out);
	for (ptrdiff_t i = 0; i < shlen(service->rolled_out); i++) {
		struct Nl__RolledOut *rolled_out = apr_palloc(pool, sizeof *rolled_out);
		size_t k = state.n_rolled_out++;

		nl__rolled_out__init(rolled_out);
		rolled_out->service = service->rolled_out[i].key;
		rolled_out->weights = service->rolled_out[i].value;
		for (; k && strcmp(state.rolled_out[k - 1]->service, rolled_out->service) > 0; k--)
			state.rolled_out[k] = state.rolled_out[k - 1];
		state.rolled_out[k] = rolled_out;
	}
	return core_pack_message(pool, &state.base, size_bytes);
}

uint8_t *snapshot_pack_state(const struct controller *controller, uint32_t shard, apr_pool_t *pool,
			     size_t *size_bytes)
{
	if (shard == SHARD_CONTROL)
		return pack_control_state(controller, pool, size_bytes);
	if (shard == SHARD_PURGE)
		return pack_purge_state(&controller->purge_state, pool, size_bytes);
	return pack_service_state(&controller->service_states[shard - SHARD_SERVICE], pool, size_bytes);
}

void free_purge_values(struct Nl__Value ***values)
{
	for (ptrdiff_t i = 0; i < arrlen(*values); i++)
		value_free((*values)[i]);
	arrfree(*values);
}

void reset_service_state(struct controller_service_state *service)
{
	shfree(service->claims);
	free_purge_values(&service->purge_feed);
	for (ptrdiff_t i = 0; i < shlen(service->rolled_out); i++)
		free(service->rolled_out[i].value);
	shfree(service->rolled_out);
	memset(service, 0, sizeof *service);
	sh_new_strdup(service->claims);
	sh_new_strdup(service->rolled_out);
}

static void load_control_state(struct controller *controller, const struct Nl__ControlState *state)
{
	struct controller_config *config = &controller->config;
	struct Nl__ConfigSyncReply all_rows = NL__CONFIG_SYNC_REPLY__INIT;

	config_table_close(&config->table);
	config_table_open(&config->table);
	free_purge_values(&config->purge_feed);
	completed_proposals_load(&config->completed_proposals, state);
	idempotency_log_load(&config->accepted_requests, state);
	retention_load(&controller->retention, state);
	store_document(controller, state ? state->document.data : NULL, state ? state->document.len : 0,
		       state ? state->document_version : 0);
	if (!state)
		return;
	all_rows.full = 1;
	all_rows.revision = state->revision;
	all_rows.set = state->rows;
	all_rows.n_set = state->n_rows;
	(void)config_table_apply_reply(&config->table, &all_rows);
	config->table.operator_revision = state->operator_revision;
	config->table.clock.at_ms = state->group_clock_ms;
	config->table.floor_revision = state->revision;
	for (size_t i = 0; i < state->n_feed; i++)
		arrput(config->purge_feed, value_copy(state->feed[i]));
}

static void load_purge_state(struct controller_purge_state *purge_state, const struct Nl__PurgeState *state)
{
	free_purge_values(&purge_state->unreleased_values);
	purge_view_clear(&purge_state->newest_purges);
	memset(purge_state, 0, sizeof *purge_state);
	if (!state)
		return;
	purge_state->tick_ceiling = state->ceiling;
	purge_state->released_tick = state->released;
	purge_state->purged_tick = state->purged_tick;
	for (size_t i = 0; i < state->n_values; i++)
		arrput(purge_state->unreleased_values, value_copy(state->values[i]));
	for (size_t i = 0; i < state->n_latest; i++)
		purge_view_apply(&purge_state->newest_purges, state->latest[i]);
	for (size_t i = 0; i < state->n_feed_offsets; i++)
		if (state->feed_offsets[i]->feed < SHARD_COUNT)
			purge_state->published_index[state->feed_offsets[i]->feed] =
			    state->feed_offsets[i]->index;
}

static void load_service_state(struct controller_service_state *service, const struct Nl__ServiceState *state,
			       apr_pool_t *pool)
{
	reset_service_state(service);
	if (!state)
		return;
	service->clock_ms = state->clock;
	service->purged_tick = state->purged_tick;
	service->purged_at_ms = state->purged_at;
	service->is_compacted = state->compacted;
	for (size_t i = 0; i < state->n_claims; i++) {
		const struct Nl__ClaimRecord *claim = state->claims[i];

		shput(service->claims, apr_pstrcat(pool, claim->tenant, CLAIM_KEY_SEPARATOR, claim->id, NULL),
		      ((typeof(service->claims->value)){ claim->router_id, claim->seq, claim->claimed_at,
							 claim->returned }));
	}
	for (size_t i = 0; i < state->n_feed; i++)
		arrput(service->purge_feed, value_copy(state->feed[i]));
	for (size_t i = 0; i < state->n_rolled_out; i++)
		shput(service->rolled_out, state->rolled_out[i]->service,
		      strdup(state->rolled_out[i]->weights));
}

static ProtobufCMessage *unpack_newest_snapshot(const struct raft *raft,
						const ProtobufCMessageDescriptor *descriptor,
						apr_pool_t *pool)
{
	return core_unpack_message(pool, descriptor, raft->snapshots.newest.state_len,
				   raft->snapshots.newest.state);
}

void snapshot_load(struct controller *controller, uint32_t shard, apr_pool_t *pool)
{
	const struct raft *raft = &controller->shards[shard];

	controller->applied_epoch[shard] = raft_epoch(raft->snapshots.newest.term);
	if (shard == SHARD_CONTROL)
		load_control_state(controller, (struct Nl__ControlState *)unpack_newest_snapshot(
						   raft, &nl__control_state__descriptor, pool));
	else if (shard == SHARD_PURGE)
		load_purge_state(&controller->purge_state, (struct Nl__PurgeState *)unpack_newest_snapshot(
							       raft, &nl__purge_state__descriptor, pool));
	else
		load_service_state(service_shard_state(controller, shard),
				   (struct Nl__ServiceState *)unpack_newest_snapshot(
				       raft, &nl__service_state__descriptor, pool),
				   pool);
}

void snapshot_create(struct controller *controller, uint32_t shard, struct command_list *out)
{
	size_t size_bytes;
	uint8_t *packed;

	if (service_shard_state(controller, shard))
		expire_claims(service_shard_state(controller, shard));
	packed = snapshot_pack_state(controller, shard, out->pool, &size_bytes);
	raft_take_snapshot(&controller->shards[shard], packed, size_bytes);
}
