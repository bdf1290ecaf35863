#include "state_machine.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "controller_private.h"

static void append_purge_to_feed(struct Nl__Value ***feed, uint32_t shard, uint64_t feed_index,
				 struct Nl__Purge *purge)
{
	struct Nl__Value value = NL__VALUE__INIT;

	value.feed = shard;
	value.index = feed_index;
	value.purge = purge;
	arrput(*feed, value_copy(&value));
}

static void trim_purge_feed(struct Nl__Value ***feed, uint64_t up_to_index)
{
	size_t trimmed_count = 0;

	while (trimmed_count < (size_t)arrlen(*feed) && (*feed)[trimmed_count]->index <= up_to_index)
		value_free((*feed)[trimmed_count++]);
	if (trimmed_count)
		arrdeln(*feed, 0, trimmed_count);
}

enum proposal_status repeated_request_status(const struct idempotency_record *accepted,
					     const struct request_key *request_key)
{
	return request_key_equal(&accepted->key, request_key) ? PROPOSAL_APPLIED : PROPOSAL_KEY_REUSED;
}

void store_document(struct controller *controller, const uint8_t *data, size_t size_bytes, uint64_t version)
{
	free(controller->config.document);
	controller->config.document = malloc(size_bytes + 1);
	if (!controller->config.document)
		abort();
	if (size_bytes)
		memcpy(controller->config.document, data, size_bytes);
	controller->config.document[size_bytes] = 0;
	controller->config.document_bytes = size_bytes;
	controller->config.document_version = version;
}

/* Whether an operation has been applied before; *status is then its outcome. Proposers send a proposal again
 * until they receive a reply, and operators repeat requests; each operation is applied only once. */
static bool find_earlier_outcome(const struct controller *controller, const struct Nl__Operation *operation,
				 enum proposal_status *status)
{
	struct request_key request_key = request_key_unpack(operation->request_key);
	const struct idempotency_record *accepted =
	    idempotency_log_find(&controller->config.accepted_requests, &request_key);

	if (completed_proposals_find(&controller->config.completed_proposals, operation, status))
		return true;
	if (accepted) {
		*status = repeated_request_status(accepted, &request_key);
		return true;
	}
	return false;
}

/* Record the outcome of an operation, so that copies of it are not applied again. */
static void record_outcome(struct controller *controller, const struct Nl__Operation *operation,
			   enum proposal_status status, enum request_series series, uint64_t version)
{
	struct request_key request_key = request_key_unpack(operation->request_key);

	if (status == PROPOSAL_APPLIED)
		idempotency_log_add(&controller->config.accepted_requests, &request_key, series, version);
	completed_proposals_add(&controller->config.completed_proposals, operation, status);
}

/* Documents are accepted in the order of the log: one that is based on another version than the current one
 * is superseded. */
static enum proposal_status apply_document(struct controller *controller, const struct Nl__Change *change,
					   struct Nl__Purge ***feed)
{
	enum proposal_status status;

	if (change->document_base_version != controller->config.document_version)
		return PROPOSAL_SUPERSEDED;
	if (change->document_version <= controller->config.document_version)
		return PROPOSAL_REJECTED;
	status = config_table_apply(&controller->config.table, change, feed);
	if (status != PROPOSAL_APPLIED)
		return status;
	store_document(controller, change->document.data, change->document.len, change->document_version);
	return PROPOSAL_APPLIED;
}

static enum proposal_status apply_change(struct controller *controller, uint64_t feed_index,
					 const struct Nl__Operation *operation)
{
	struct controller_config *config = &controller->config;
	struct Nl__Purge **decided_purges = NULL;
	enum proposal_status status;

	if (find_earlier_outcome(controller, operation, &status))
		return status;
	if (operation->change->document_version) {
		status = apply_document(controller, operation->change, &decided_purges);
		record_outcome(controller, operation, status, SERIES_DOCUMENTS, config->document_version);
	} else {
		status = config_table_apply(&config->table, operation->change, &decided_purges);
		record_outcome(controller, operation, status, SERIES_CHANGES, config->table.revision);
	}
	for (ptrdiff_t i = 0; i < arrlen(decided_purges); i++) {
		append_purge_to_feed(&config->purge_feed, SHARD_CONTROL, feed_index << 16 | (uint64_t)i,
				     decided_purges[i]);
		nl__purge__free_unpacked(decided_purges[i], NULL);
	}
	arrfree(decided_purges);
	if (status == PROPOSAL_APPLIED)
		retention_on_config_change(&controller->retention, &config->table, &config->purge_feed,
					   feed_index);
	return status;
}

static enum proposal_status apply_retention_step(struct controller *controller, uint64_t feed_index,
						 const struct Nl__Operation *operation)
{
	enum proposal_status status;

	if (find_earlier_outcome(controller, operation, &status))
		return status;
	status = retention_apply(&controller->retention, &controller->config.table,
				 &controller->config.purge_feed, feed_index, operation->retention_step);
	record_outcome(controller, operation, status, SERIES_UNVERSIONED, controller->config.table.revision);
	return status;
}

/* After a retention purge, the next snapshot replaces everything that the shard logged before the purge. For
 * a service shard this is repeated once all claims from before the purge have expired. */
static void apply_purge_compaction(struct controller *controller, uint32_t shard, const struct Nl__Trim *trim)
{
	struct controller_service_state *service = service_shard_state(controller, shard);
	uint64_t *purged_tick = service                  ? &service->purged_tick
				: shard == SHARD_CONTROL ? &controller->retention.purged_tick
							 : &controller->purge_state.purged_tick;

	if (trim->purged_tick <= *purged_tick && !trim->compacted)
		return;
	if (service && trim->purged_tick > *purged_tick) {
		service->purged_at_ms = service->clock_ms;
		service->is_compacted = false;
	} else if (service) {
		service->is_compacted = true;
	}
	*purged_tick = trim->purged_tick > *purged_tick ? trim->purged_tick : *purged_tick;
	controller->compaction[shard].is_snapshot_needed = true;
}

static enum proposal_status apply_claim(struct controller_service_state *service,
					const struct Nl__Claim *claim, apr_pool_t *pool)
{
	char *key = apr_pstrcat(pool, claim->tenant, CLAIM_KEY_SEPARATOR, claim->id, NULL);
	ptrdiff_t found = shgeti(service->claims, key);
	int is_same_claim;

	if (found >= 0 &&
	    service->claims[found].value.claimed_at_ms + CONTROLLER_CLAIM_TTL_MS < service->clock_ms) {
		(void)shdel(service->claims, key);
		found = -1;
	}
	is_same_claim = found >= 0 && service->claims[found].value.router_id == claim->router_id &&
			service->claims[found].value.claim_sequence == claim->seq;
	/* A release is recorded even without its claim: the claim itself may arrive later, first or as a
	 * further copy. */
	if (claim->release) {
		if (found < 0 || is_same_claim)
			shput(service->claims, key,
			      ((typeof(service->claims->value)){ claim->router_id, claim->seq,
								 service->clock_ms, 1 }));
		return PROPOSAL_APPLIED;
	}
	if (is_same_claim ? service->claims[found].value.is_released
			  : found >= 0 && !service->claims[found].value.is_released)
		return PROPOSAL_REJECTED;
	if (!is_same_claim)
		shput(
		    service->claims, key,
		    ((typeof(service->claims->value)){ claim->router_id, claim->seq, service->clock_ms, 0 }));
	return PROPOSAL_APPLIED;
}

void expire_claims(struct controller_service_state *service)
{
	for (ptrdiff_t i = shlen(service->claims) - 1; i >= 0; i--)
		if (service->claims[i].value.claimed_at_ms + CONTROLLER_CLAIM_TTL_MS < service->clock_ms)
			(void)shdel(service->claims, service->claims[i].key);
}

static void apply_rolled_out_weights(struct controller_service_state *service, uint32_t shard,
				     uint64_t feed_index, const struct Nl__RolledOut *rolled_out)
{
	ptrdiff_t found = shgeti(service->rolled_out, rolled_out->service);
	char *weights = strdup(rolled_out->weights);

	if (found >= 0 && strcmp(service->rolled_out[found].value, rolled_out->weights)) {
		struct Nl__Purge purge = NL__PURGE__INIT;

		purge.reason = PURGE_WEIGHTS;
		purge.service = rolled_out->service;
		purge.weights = service->rolled_out[found].value;
		append_purge_to_feed(&service->purge_feed, shard, feed_index << 16, &purge);
	}
	if (found >= 0)
		free(service->rolled_out[found].value);
	shput(service->rolled_out, rolled_out->service, weights);
}

/* Store a value of the purge stream. Returns false for a value that was logged before or that has no purge.
 */
static bool apply_purge_value(struct controller_purge_state *state, const struct Nl__Value *value)
{
	if (value->feed >= SHARD_COUNT || value->index <= state->published_index[value->feed] ||
	    !value->purge)
		return false;
	state->published_index[value->feed] = value->index;
	arrput(state->unreleased_values, value_copy(value));
	purge_view_apply(&state->newest_purges, value);
	return true;
}

static void apply_tick_reservation(struct controller_purge_state *state, const struct Nl__Reserve *reserve)
{
	size_t released_count = 0;

	if (reserve->ceiling > state->tick_ceiling)
		state->tick_ceiling = reserve->ceiling;
	while (released_count < (size_t)arrlen(state->unreleased_values) &&
	       state->unreleased_values[released_count]->tick <= reserve->released)
		value_free(state->unreleased_values[released_count++]);
	if (released_count)
		arrdeln(state->unreleased_values, 0, released_count);
	if (reserve->released > state->released_tick)
		state->released_tick = reserve->released;
}

/* Process the start of an epoch, at the first operation after a recovery. Skips the revisions and ticks that
 * the lost members may have issued, so that none is issued twice. */
static void enter_epoch(struct controller *controller, uint32_t shard, uint64_t epoch)
{
	if (epoch <= controller->applied_epoch[shard])
		return;
	controller->applied_epoch[shard] = epoch;
	if (shard == SHARD_CONTROL) { /* every node fetches the complete table */
		controller->config.table.revision += CONTROLLER_RECOVERY_SKIPPED_NUMBERS;
		controller->config.table.floor_revision = controller->config.table.operator_revision =
		    controller->config.table.revision;
	}
	if (shard == SHARD_PURGE)
		controller->purge_state.tick_ceiling += CONTROLLER_RECOVERY_SKIPPED_NUMBERS;
}

/* Advance the replicated clock that the operation carries: a service shard's own clock, or the control
 * group's. */
static void advance_replicated_clocks(struct controller *controller, uint32_t shard,
				      const struct raft_entry *entry, const struct Nl__Operation *operation)
{
	struct controller_service_state *service = service_shard_state(controller, shard);
	struct group_moment *clock = &controller->config.table.clock;

	if (service)
		service->clock_ms += operation->group_clock_ms;
	if (shard == SHARD_CONTROL) {
		if (operation->logged_at_ms > clock->at_ms)
			clock->at_ms = operation->logged_at_ms;
		clock->term = entry->term;
	}
}

static void apply_control_operation(struct controller *controller, uint64_t feed_index,
				    const struct Nl__Operation *operation, struct apply_result *result)
{
	completed_proposals_note_open(&controller->config.completed_proposals, operation);
	switch (operation->body_case) {
	case NL__OPERATION__BODY_CHANGE:
		result->status = apply_change(controller, feed_index, operation);
		break;
	case NL__OPERATION__BODY_RETENTION_STEP:
		result->status = apply_retention_step(controller, feed_index, operation);
		break;
	case NL__OPERATION__BODY_ROLLED_OUT:
		result->commanded_server = operation->rolled_out->server;
		result->status = PROPOSAL_APPLIED;
		break;
	case NL__OPERATION__BODY_TRIM:
		trim_purge_feed(&controller->config.purge_feed, operation->trim->feed);
		result->status = PROPOSAL_APPLIED;
		break;
	default:
		break;
	}
}

static void apply_purge_operation(struct controller *controller, const struct Nl__Operation *operation,
				  struct apply_result *result)
{
	switch (operation->body_case) {
	case NL__OPERATION__BODY_RESERVE:
		apply_tick_reservation(&controller->purge_state, operation->reserve);
		result->status = PROPOSAL_APPLIED;
		break;
	case NL__OPERATION__BODY_VALUE:
		result->is_value_new = apply_purge_value(&controller->purge_state, operation->value);
		result->logged_value = operation->value;
		result->status = PROPOSAL_APPLIED;
		break;
	case NL__OPERATION__BODY_TRIM:
		result->status = PROPOSAL_APPLIED;
		break;
	default:
		break;
	}
}

static void apply_service_operation(struct controller_service_state *service, uint32_t shard,
				    uint64_t feed_index, const struct Nl__Operation *operation,
				    struct apply_result *result, apr_pool_t *pool)
{
	switch (operation->body_case) {
	case NL__OPERATION__BODY_CLAIM:
		result->status = apply_claim(service, operation->claim, pool);
		break;
	case NL__OPERATION__BODY_ROLLED_OUT:
		apply_rolled_out_weights(service, shard, feed_index, operation->rolled_out);
		result->status = PROPOSAL_APPLIED;
		break;
	case NL__OPERATION__BODY_TRIM:
		trim_purge_feed(&service->purge_feed, operation->trim->feed);
		result->status = PROPOSAL_APPLIED;
		break;
	default:
		break;
	}
}

static void apply_operation(struct controller *controller, uint32_t shard, uint64_t feed_index,
			    const struct Nl__Operation *operation, struct apply_result *result,
			    apr_pool_t *pool)
{
	struct controller_service_state *service = service_shard_state(controller, shard);

	if (service)
		apply_service_operation(service, shard, feed_index, operation, result, pool);
	else if (shard == SHARD_CONTROL)
		apply_control_operation(controller, feed_index, operation, result);
	else
		apply_purge_operation(controller, operation, result);
	if (operation->body_case == NL__OPERATION__BODY_TRIM && operation->trim->purged_tick)
		apply_purge_compaction(controller, shard, operation->trim);
}

struct apply_result state_machine_apply(struct controller *controller, uint32_t shard, uint64_t entry_index,
					const struct raft_entry *entry, apr_pool_t *pool)
{
	/* index in purge feeds: greater than all indices of earlier epochs */
	uint64_t feed_index = raft_epoch(entry->term) << CONTROLLER_EPOCH_SHIFT_BITS | entry_index;
	struct Nl__Operation *operation = (struct Nl__Operation *)core_unpack_message(
	    pool, &nl__operation__descriptor, entry->len, entry->data);
	struct request_key request_key = request_key_unpack(operation ? operation->request_key : NULL);
	struct apply_result result = { .status = PROPOSAL_REJECTED };
	const struct idempotency_record *accepted;

	enter_epoch(controller, shard, raft_epoch(entry->term));
	if (operation) {
		advance_replicated_clocks(controller, shard, entry, operation);
		apply_operation(controller, shard, feed_index, operation, &result, pool);
	}
	accepted = idempotency_log_find(&controller->config.accepted_requests, &request_key);
	result.version = accepted ? accepted->version : controller->config.table.revision;
	return result;
}
