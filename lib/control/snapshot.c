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

static uint8_t *pack_control_state(const struct controller *controller, apr_pool_t *pool, size_t *size)
{
	struct Nl__ControlState state = NL__CONTROL_STATE__INIT;
	struct Nl__ConfigSyncReply all = NL__CONFIG_SYNC_REPLY__INIT;
	struct config_table_row *row = controller->config.table.rows;
	char **key = apr_palloc(pool, ((size_t)shlen(row) + 1) * sizeof *key);

	config_table_since(&controller->config.table, 0, &all, pool);
	state.fleet_id = controller->identity.fleet;
	state.revision = controller->config.table.revision;
	state.operator_revision = controller->config.table.operator_revision;
	state.group_clock_ms = controller->config.table.clock.at_ms;
	state.rows = all.set;
	state.n_rows = all.n_set;
	for (size_t i = 0; i < state.n_rows; i++) /* in order, so that equal states pack alike */
		key[i] = row[i].key;
	qsort(key, state.n_rows, sizeof *key, compare_keys);
	for (size_t i = 0; i < state.n_rows; i++)
		state.rows[i] = shget(row, key[i]).row;
	state.feed = controller->config.purge_feed;
	state.n_feed = (size_t)arrlen(controller->config.purge_feed);
	state.n_completed = (size_t)arrlen(controller->config.done_operations);
	state.completed = apr_palloc(pool, (state.n_completed + 1) * sizeof *state.completed);
	for (size_t i = 0; i < state.n_completed; i++) {
		state.completed[i] = apr_palloc(pool, sizeof *state.completed[i]);
		nl__completed_operation__init(state.completed[i]);
		state.completed[i]->from = controller->config.done_operations[i].from;
		state.completed[i]->token = controller->config.done_operations[i].token;
		state.completed[i]->status = controller->config.done_operations[i].status;
	}
	state.document.data = controller->config.document;
	state.document.len = controller->config.document_bytes;
	state.document_version = controller->config.document_version;
	idempotency_log_pack(&controller->config.accepted_requests, &state, pool);
	retention_pack(controller, &state);
	return core_pack_message(pool, &state.base, size);
}

static uint8_t *pack_purge_state(const struct controller *controller, apr_pool_t *pool, size_t *size)
{
	struct Nl__PurgeState purge_state = NL__PURGE_STATE__INIT;
	struct Nl__FeedOffset feed_mark[SHARD_COUNT], *pm[SHARD_COUNT];
	struct purge_view_row *row = controller->purge_state.last_view.subjects;

	purge_state.ceiling = controller->purge_state.ceiling;
	purge_state.released = controller->purge_state.released;
	purge_state.purged_tick = controller->purge_state.purged_tick;
	purge_state.values = controller->purge_state.values;
	purge_state.n_values = (size_t)arrlen(controller->purge_state.values);
	purge_state.latest = apr_palloc(pool, ((size_t)hmlen(row) + 1) * sizeof *purge_state.latest);
	for (ptrdiff_t i = 0; i < hmlen(row); i++) {
		size_t k = purge_state.n_latest++;

		for (; k && purge_state.latest[k - 1]->tick > row[i].value->tick; k--)
			purge_state.latest[k] = purge_state.latest[k - 1];
		purge_state.latest[k] = row[i].value;
	}
	for (int i = 0; i < SHARD_COUNT; i++) {
		nl__feed_offset__init(&feed_mark[i]);
		feed_mark[i].feed = (uint32_t)i;
		feed_mark[i].index = controller->purge_state.published_index[i];
		pm[i] = &feed_mark[i];
	}
	purge_state.feed_offsets = pm;
	purge_state.n_feed_offsets = SHARD_COUNT;
	return core_pack_message(pool, &purge_state.base, size);
}

static uint8_t *pack_service_state(const struct controller_service_state *service, apr_pool_t *pool,
				   size_t *size)
{
	struct Nl__ServiceState service_state = NL__SERVICE_STATE__INIT;
	struct controller_claim *controller_claim = service->claims;
	char **key = apr_palloc(pool, ((size_t)shlen(controller_claim) + 1) * sizeof *key);
	size_t live = 0;

	service_state.clock = service->clock_ms;
	service_state.purged_tick = service->purged_tick;
	service_state.purged_at = service->purged_at_ms;
	service_state.compacted = service->is_compacted;
	service_state.claims =
	    apr_palloc(pool, ((size_t)shlen(controller_claim) + 1) * sizeof *service_state.claims);
	for (ptrdiff_t i = 0; i < shlen(controller_claim); i++)
		if (controller_claim[i].value.claimed_at_ms + CONTROLLER_CLAIM_TTL_MS >= service->clock_ms)
			key[live++] = controller_claim[i].key;
	qsort(key, live, sizeof *key, compare_keys);
	for (size_t i = 0; i < live; i++) {
		struct Nl__ClaimRecord *x = apr_palloc(pool, sizeof *x);
		char *separator = strchr(key[i], '\x1f');

		nl__claim_record__init(x);
		x->tenant = apr_pstrmemdup(pool, key[i], (size_t)(separator - key[i]));
		x->id = separator + 1;
		x->router_id = shget(controller_claim, key[i]).claimed_by;
		x->seq = shget(controller_claim, key[i]).sequence;
		x->claimed_at = shget(controller_claim, key[i]).claimed_at_ms;
		x->returned = shget(controller_claim, key[i]).returned;
		service_state.claims[service_state.n_claims++] = x;
	}
	service_state.feed = service->purge_feed;
	service_state.n_feed = (size_t)arrlen(service->purge_feed);
	service_state.rolled_out =
	    apr_palloc(pool, ((size_t)shlen(service->rolled_out) + 1) * sizeof *service_state.rolled_out);
	for (ptrdiff_t i = 0; i < shlen(service->rolled_out); i++) {
		struct Nl__RolledOut *x = apr_palloc(pool, sizeof *x);
		size_t k = service_state.n_rolled_out++;

		nl__rolled_out__init(x);
		x->service = service->rolled_out[i].key;
		x->weights = service->rolled_out[i].value;
		for (; k && strcmp(service_state.rolled_out[k - 1]->service, x->service) > 0; k--)
			service_state.rolled_out[k] = service_state.rolled_out[k - 1];
		service_state.rolled_out[k] = x;
	}
	return core_pack_message(pool, &service_state.base, size);
}

uint8_t *controller_state(const struct controller *controller, uint32_t shard, apr_pool_t *pool, size_t *size)
{
	return shard == SHARD_CONTROL ? pack_control_state(controller, pool, size)
	       : shard == SHARD_PURGE
		   ? pack_purge_state(controller, pool, size)
		   : pack_service_state(&controller->service_states[shard - SHARD_SERVICE], pool, size);
}

void free_values(struct Nl__Value ***value)
{
	for (ptrdiff_t i = 0; i < arrlen(*value); i++)
		value_free((*value)[i]);
	arrfree(*value);
}

void reset_service_state(struct controller_service_state *service)
{
	shfree(service->claims);
	free_values(&service->purge_feed);
	for (ptrdiff_t i = 0; i < shlen(service->rolled_out); i++)
		free(service->rolled_out[i].value);
	shfree(service->rolled_out);
	memset(service, 0, sizeof *service);
	sh_new_strdup(service->claims);
	sh_new_strdup(service->rolled_out);
}

/* NOLINTNEXTLINE(readability-function-size): to be cut, issue 18 */
void snapshot_load(struct controller *controller, uint32_t shard, apr_pool_t *pool)
{
	const struct raft *raft = &controller->shards[shard];

	controller->epoch[shard] = raft_epoch(raft->snapshots.newest.term);
	if (shard == SHARD_CONTROL) {
		struct Nl__ControlState *s = (struct Nl__ControlState *)core_unpack_message(
		    pool, &nl__control_state__descriptor, raft->snapshots.newest.data_len,
		    raft->snapshots.newest.data);
		struct Nl__ConfigSyncReply all = NL__CONFIG_SYNC_REPLY__INIT;

		config_table_close(&controller->config.table);
		config_table_open(&controller->config.table);
		arrsetlen(controller->quota.reserve_limits, 0); /* its names were that table's */
		controller->quota.reserve_limits_revision = 0;
		free_values(&controller->config.purge_feed);
		arrsetlen(controller->config.done_operations, 0);
		idempotency_log_load(&controller->config.accepted_requests, s);
		retention_load(controller, s);
		store_document(controller, s ? s->document.data : NULL, s ? s->document.len : 0,
			       s ? s->document_version : 0);
		if (!s)
			return;
		for (size_t i = 0; i < s->n_completed; i++) {
			struct controller_done_operation controller_done = { s->completed[i]->from,
									     s->completed[i]->token,
									     s->completed[i]->status };

			arrput(controller->config.done_operations, controller_done);
		}
		all.full = 1;
		all.revision = s->revision;
		all.set = s->rows;
		all.n_set = s->n_rows;
		(void)config_table_follow(&controller->config.table, &all);
		controller->config.table.operator_revision = s->operator_revision;
		controller->config.table.clock.at_ms = s->group_clock_ms;
		controller->config.table.floor_revision = s->revision;
		for (size_t i = 0; i < s->n_feed; i++)
			arrput(controller->config.purge_feed, value_copy(s->feed[i]));
	} else if (shard == SHARD_PURGE) {
		struct Nl__PurgeState *s = (struct Nl__PurgeState *)core_unpack_message(
		    pool, &nl__purge_state__descriptor, raft->snapshots.newest.data_len,
		    raft->snapshots.newest.data);

		free_values(&controller->purge_state.values);
		purge_view_clear(&controller->purge_state.last_view);
		memset(&controller->purge_state, 0, sizeof controller->purge_state);
		if (!s)
			return;
		controller->purge_state.ceiling = s->ceiling;
		controller->purge_state.released = s->released;
		controller->purge_state.purged_tick = s->purged_tick;
		for (size_t i = 0; i < s->n_values; i++)
			arrput(controller->purge_state.values, value_copy(s->values[i]));
		for (size_t i = 0; i < s->n_latest; i++)
			purge_view_apply(&controller->purge_state.last_view, s->latest[i]);
		for (size_t i = 0; i < s->n_feed_offsets; i++)
			if (s->feed_offsets[i]->feed < SHARD_COUNT)
				controller->purge_state.published_index[s->feed_offsets[i]->feed] =
				    s->feed_offsets[i]->index;
	} else {
		struct controller_service_state *service = service_shard_state(controller, shard);
		struct Nl__ServiceState *s = (struct Nl__ServiceState *)core_unpack_message(
		    pool, &nl__service_state__descriptor, raft->snapshots.newest.data_len,
		    raft->snapshots.newest.data);

		reset_service_state(service);
		if (!s)
			return;
		service->clock_ms = s->clock;
		service->purged_tick = s->purged_tick;
		service->purged_at_ms = s->purged_at;
		service->is_compacted = s->compacted;
		for (size_t i = 0; i < s->n_claims; i++)
			shput(service->claims,
			      apr_pstrcat(pool, s->claims[i]->tenant, "\x1f", s->claims[i]->id, NULL),
			      ((typeof(service->claims->value)){ s->claims[i]->router_id, s->claims[i]->seq,
								 s->claims[i]->claimed_at,
								 s->claims[i]->returned }));
		for (size_t i = 0; i < s->n_feed; i++)
			arrput(service->purge_feed, value_copy(s->feed[i]));
		for (size_t i = 0; i < s->n_rolled_out; i++)
			shput(service->rolled_out, s->rolled_out[i]->service,
			      strdup(s->rolled_out[i]->weights));
	}
}

void snapshot_create(struct controller *controller, uint32_t shard, struct command_list *out)
{
	size_t size;
	uint8_t *packed;

	if (service_shard_state(controller, shard))
		expire_claims(service_shard_state(controller, shard));
	packed = controller_state(controller, shard, out->pool, &size);
	raft_snapshot(&controller->shards[shard], packed, size);
}
