#include "snapshot.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "ds.h"
#include "controller_private.h"
#include "state_machine.h"

static int compare_keys(const void *a, const void *b) { return strcmp(*(char *const *)a, *(char *const *)b); }

static uint8_t *pack_control_state(const struct controller *controller, apr_pool_t *pool, size_t *size)
{
	struct Nl__CtlState state = NL__CTL_STATE__INIT;
	struct Nl__ConfigSyncReply all = NL__CONFIG_SYNC_REPLY__INIT;
	struct config_table_row *row = controller->config.rows;
	char **key = apr_palloc(pool, ((size_t)shlen(row) + 1) * sizeof *key);

	config_table_since(&controller->config, 0, &all, pool);
	state.fleet = controller->fleet;
	state.edition = controller->config.revision;
	state.plan = controller->config.operator_revision;
	state.clock = controller->config.clock.at_ms;
	state.row = all.set;
	state.n_row = all.n_set;
	for (size_t i = 0; i < state.n_row; i++) /* in order, so that equal states pack alike */
		key[i] = row[i].key;
	qsort(key, state.n_row, sizeof *key, compare_keys);
	for (size_t i = 0; i < state.n_row; i++)
		state.row[i] = shget(row, key[i]).row;
	state.feed = controller->config_purge_feed;
	state.n_feed = (size_t)arrlen(controller->config_purge_feed);
	state.n_done = (size_t)arrlen(controller->done_operations);
	state.done = apr_palloc(pool, (state.n_done + 1) * sizeof *state.done);
	for (size_t i = 0; i < state.n_done; i++) {
		state.done[i] = apr_palloc(pool, sizeof *state.done[i]);
		nl__done_op__init(state.done[i]);
		state.done[i]->from = controller->done_operations[i].from;
		state.done[i]->token = controller->done_operations[i].token;
		state.done[i]->status = controller->done_operations[i].status;
	}
	state.doc.data = controller->document;
	state.doc.len = controller->document_bytes;
	state.doc_version = controller->document_version;
	idempotency_log_pack(&controller->accepted_requests, &state, pool);
	retention_pack(controller, &state);
	return core_pack_message(pool, &state.base, size);
}

static uint8_t *pack_purge_state(const struct controller *controller, apr_pool_t *pool, size_t *size)
{
	struct Nl__PurgeState purge_state = NL__PURGE_STATE__INIT;
	struct Nl__FeedMark feed_mark[SHARD_COUNT], *pm[SHARD_COUNT];
	struct purge_view_row *row = controller->purge_state.last_view.subjects;

	purge_state.ceiling = controller->purge_state.ceiling;
	purge_state.released = controller->purge_state.released;
	purge_state.cleared = controller->purge_state.purged_tick;
	purge_state.v = controller->purge_state.values;
	purge_state.n_v = (size_t)arrlen(controller->purge_state.values);
	purge_state.last = apr_palloc(pool, ((size_t)hmlen(row) + 1) * sizeof *purge_state.last);
	for (ptrdiff_t i = 0; i < hmlen(row); i++) {
		size_t k = purge_state.n_last++;

		for (; k && purge_state.last[k - 1]->tick > row[i].value->tick; k--)
			purge_state.last[k] = purge_state.last[k - 1];
		purge_state.last[k] = row[i].value;
	}
	for (int i = 0; i < SHARD_COUNT; i++) {
		nl__feed_mark__init(&feed_mark[i]);
		feed_mark[i].feed = (uint32_t)i;
		feed_mark[i].index = controller->purge_state.published_index[i];
		pm[i] = &feed_mark[i];
	}
	purge_state.mark = pm;
	purge_state.n_mark = SHARD_COUNT;
	return core_pack_message(pool, &purge_state.base, size);
}

static uint8_t *pack_service_state(const struct controller_service_state *service, apr_pool_t *pool, size_t *size)
{
	struct Nl__ServiceState service_state = NL__SERVICE_STATE__INIT;
	struct controller_claim *controller_claim = service->claims;
	char **key = apr_palloc(pool, ((size_t)shlen(controller_claim) + 1) * sizeof *key);
	size_t live = 0;

	service_state.clock = service->clock_ms;
	service_state.cleared = service->purged_tick;
	service_state.cleared_at = service->purged_at_ms;
	service_state.settled = service->is_compacted;
	service_state.c = apr_palloc(pool, ((size_t)shlen(controller_claim) + 1) * sizeof *service_state.c);
	for (ptrdiff_t i = 0; i < shlen(controller_claim); i++)
		if (controller_claim[i].value.claimed_at_ms + CONTROLLER_CLAIM_TTL_MS >= service->clock_ms)
			key[live++] = controller_claim[i].key;
	qsort(key, live, sizeof *key, compare_keys);
	for (size_t i = 0; i < live; i++) {
		struct Nl__ClaimRow *x = apr_palloc(pool, sizeof *x);
		char *separator = strchr(key[i], '\x1f');

		nl__claim_row__init(x);
		x->tenant = apr_pstrmemdup(pool, key[i], (size_t)(separator - key[i]));
		x->id = separator + 1;
		x->by = shget(controller_claim, key[i]).claimed_by;
		x->seq = shget(controller_claim, key[i]).sequence;
		x->at = shget(controller_claim, key[i]).claimed_at_ms;
		x->given_back = shget(controller_claim, key[i]).returned;
		service_state.c[service_state.n_c++] = x;
	}
	service_state.feed = service->purge_feed;
	service_state.n_feed = (size_t)arrlen(service->purge_feed);
	service_state.rolled = apr_palloc(pool, ((size_t)shlen(service->rolled_out) + 1) * sizeof *service_state.rolled);
	for (ptrdiff_t i = 0; i < shlen(service->rolled_out); i++) {
		struct Nl__Rolled *x = apr_palloc(pool, sizeof *x);
		size_t k = service_state.n_rolled++;

		nl__rolled__init(x);
		x->service = service->rolled_out[i].key;
		x->weights = service->rolled_out[i].value;
		for (; k && strcmp(service_state.rolled[k - 1]->service, x->service) > 0; k--)
			service_state.rolled[k] = service_state.rolled[k - 1];
		service_state.rolled[k] = x;
	}
	return core_pack_message(pool, &service_state.base, size);
}

uint8_t *controller_state(const struct controller *controller, uint32_t shard, apr_pool_t *pool, size_t *size)
{
	return shard == SHARD_CONTROL ? pack_control_state(controller, pool, size)
	       : shard == SHARD_PURGE ? pack_purge_state(controller, pool, size)
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

	controller->epoch[shard] = raft_epoch(raft->snapshot_term);
	if (shard == SHARD_CONTROL) {
		struct Nl__CtlState *s =
		    (struct Nl__CtlState *)core_unpack_message(pool, &nl__ctl_state__descriptor, raft->snapshot_len, raft->snapshot_data);
		struct Nl__ConfigSyncReply all = NL__CONFIG_SYNC_REPLY__INIT;

		config_table_close(&controller->config);
		config_table_open(&controller->config);
		arrsetlen(controller->reserve_limits, 0); /* its names were that table's */
		controller->reserve_limits_revision = 0;
		free_values(&controller->config_purge_feed);
		arrsetlen(controller->done_operations, 0);
		idempotency_log_load(&controller->accepted_requests, s);
		retention_load(controller, s);
		store_document(controller, s ? s->doc.data : NULL, s ? s->doc.len : 0, s ? s->doc_version : 0);
		if (!s)
			return;
		for (size_t i = 0; i < s->n_done; i++) {
			struct controller_done_operation controller_done = { s->done[i]->from, s->done[i]->token, s->done[i]->status };

			arrput(controller->done_operations, controller_done);
		}
		all.whole = 1;
		all.edition = s->edition;
		all.set = s->row;
		all.n_set = s->n_row;
		(void)config_table_follow(&controller->config, &all);
		controller->config.operator_revision = s->plan;
		controller->config.clock.at_ms = s->clock;
		controller->config.floor_revision = s->edition;
		for (size_t i = 0; i < s->n_feed; i++)
			arrput(controller->config_purge_feed, value_copy(s->feed[i]));
	} else if (shard == SHARD_PURGE) {
		struct Nl__PurgeState *s =
		    (struct Nl__PurgeState *)core_unpack_message(pool, &nl__purge_state__descriptor, raft->snapshot_len, raft->snapshot_data);

		free_values(&controller->purge_state.values);
		purge_view_clear(&controller->purge_state.last_view);
		memset(&controller->purge_state, 0, sizeof controller->purge_state);
		if (!s)
			return;
		controller->purge_state.ceiling = s->ceiling;
		controller->purge_state.released = s->released;
		controller->purge_state.purged_tick = s->cleared;
		for (size_t i = 0; i < s->n_v; i++)
			arrput(controller->purge_state.values, value_copy(s->v[i]));
		for (size_t i = 0; i < s->n_last; i++)
			purge_view_apply(&controller->purge_state.last_view, s->last[i]);
		for (size_t i = 0; i < s->n_mark; i++)
			if (s->mark[i]->feed < SHARD_COUNT)
				controller->purge_state.published_index[s->mark[i]->feed] = s->mark[i]->index;
	} else {
		struct controller_service_state *service = service_shard_state(controller, shard);
		struct Nl__ServiceState *s =
		    (struct Nl__ServiceState *)core_unpack_message(pool, &nl__service_state__descriptor, raft->snapshot_len, raft->snapshot_data);

		reset_service_state(service);
		if (!s)
			return;
		service->clock_ms = s->clock;
		service->purged_tick = s->cleared;
		service->purged_at_ms = s->cleared_at;
		service->is_compacted = s->settled;
		for (size_t i = 0; i < s->n_c; i++)
			shput(service->claims, apr_pstrcat(pool, s->c[i]->tenant, "\x1f", s->c[i]->id, NULL),
			      ((typeof(service->claims->value)){ s->c[i]->by, s->c[i]->seq, s->c[i]->at, s->c[i]->given_back }));
		for (size_t i = 0; i < s->n_feed; i++)
			arrput(service->purge_feed, value_copy(s->feed[i]));
		for (size_t i = 0; i < s->n_rolled; i++)
			shput(service->rolled_out, s->rolled[i]->service, strdup(s->rolled[i]->weights));
	}
}

void snapshot_create(struct controller *controller, uint32_t shard, struct out *out)
{
	size_t size;
	uint8_t *packed;

	if (service_shard_state(controller, shard))
		expire_claims(service_shard_state(controller, shard));
	packed = controller_state(controller, shard, out->pool, &size);
	raft_snapshot(&controller->shards[shard], packed, size);
}
