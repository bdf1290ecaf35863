#include "state_machine.h"

#include <apr_strings.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "controller_private.h"

static void append_to_feed(struct Nl__Value ***feed, uint32_t shard, uint64_t index, struct Nl__Purge *purge)
{
	struct Nl__Value value = NL__VALUE__INIT;

	value.feed = shard;
	value.index = index;
	value.purge = purge;
	arrput(*feed, value_copy(&value));
}

static void trim_feed(struct Nl__Value ***feed, uint64_t up_to)
{
	size_t n = 0;

	while (n < (size_t)arrlen(*feed) && (*feed)[n]->index <= up_to)
		value_free((*feed)[n++]);
	if (n)
		arrdeln(*feed, 0, n);
}

const struct controller_done_operation *find_done_operation(const struct controller *controller,
							    uint64_t from, uint64_t token)
{
	for (ptrdiff_t i = arrlen(controller->config.done_operations) - 1; i >= 0; i--)
		if (controller->config.done_operations[i].from == from &&
		    controller->config.done_operations[i].token == token)
			return &controller->config.done_operations[i];
	return NULL;
}

uint32_t repeated_request_status(const struct idempotency_record *accepted,
				 const struct request_key *request_key)
{
	return request_key_equal(&accepted->key, request_key) ? PROPOSAL_DONE : PROPOSAL_KEY_REUSED;
}

void store_document(struct controller *controller, const uint8_t *data, size_t size, uint64_t version)
{
	free(controller->config.document);
	controller->config.document = malloc(size + 1);
	if (!controller->config.document)
		abort();
	if (size)
		memcpy(controller->config.document, data, size);
	controller->config.document[size] = 0;
	controller->config.document_bytes = size;
	controller->config.document_version = version;
}

/* A document is taken in the log's order: one built on another version is late. */
static int apply_document(struct controller *controller, const struct Nl__Change *change,
			  struct Nl__Purge ***feed)
{
	int status;

	if (change->document_base_version != controller->config.document_version)
		return PROPOSAL_SUPERSEDED;
	if (change->document_version <= controller->config.document_version)
		return PROPOSAL_REJECTED;
	status = config_table_apply(&controller->config.table, change, feed);
	if (status != PROPOSAL_DONE)
		return status;
	store_document(controller, change->document.data, change->document.len, change->document_version);
	return PROPOSAL_DONE;
}

/* A change may be proposed again while its answer is lost, and an order sent again by its operator: it is
 * applied once. */
static uint32_t apply_change(struct controller *controller, uint64_t index,
			     const struct Nl__Operation *operation)
{
	const struct controller_done_operation *old =
	    operation->requester_id
		? find_done_operation(controller, operation->requester_id, operation->token)
		: NULL;
	struct controller_done_operation controller_done = { operation->requester_id, operation->token, 0 };
	struct Nl__Purge **purge = NULL;
	struct request_key request_key = request_key_unpack(operation->request_key);
	const struct idempotency_record *accepted =
	    idempotency_log_find(&controller->config.accepted_requests, &request_key);
	int document = operation->change->document_version != 0, status;

	if (old)
		return old->status;
	if (accepted)
		return repeated_request_status(accepted, &request_key);
	status = document ? apply_document(controller, operation->change, &purge)
			  : config_table_apply(&controller->config.table, operation->change, &purge);
	if (status == PROPOSAL_DONE)
		idempotency_log_add(&controller->config.accepted_requests, &request_key,
				    document ? SERIES_DOCUMENTS : SERIES_CHANGES,
				    document ? controller->config.document_version
					     : controller->config.table.revision);
	controller_done.status = (uint32_t)status;
	if (controller_done.from)
		arrput(controller->config.done_operations, controller_done);
	if (arrlen(controller->config.done_operations) > CONTROLLER_MAX_DONE_OPERATIONS)
		arrdel(controller->config.done_operations, 0);

	for (ptrdiff_t i = 0; i < arrlen(purge); i++) {
		append_to_feed(&controller->config.purge_feed, SHARD_CONTROL, index << 16 | (uint64_t)i,
			       purge[i]);
		nl__purge__free_unpacked(purge[i], NULL);
	}
	arrfree(purge);
	if (status == PROPOSAL_DONE)
		retention_on_config_change(controller, index);
	return (uint32_t)status;
}

/* An operator's call to clear may be proposed again while its answer is lost, too. */
static uint32_t apply_purge_request(struct controller *controller, uint64_t index,
				    const struct Nl__Operation *operation)
{
	const struct controller_done_operation *old =
	    operation->requester_id
		? find_done_operation(controller, operation->requester_id, operation->token)
		: NULL;
	struct controller_done_operation controller_done = { operation->requester_id, operation->token, 0 };
	struct request_key request_key = request_key_unpack(operation->request_key);
	const struct idempotency_record *accepted =
	    idempotency_log_find(&controller->config.accepted_requests, &request_key);

	if (old)
		return old->status;
	if (accepted)
		return repeated_request_status(accepted, &request_key);
	controller_done.status = retention_apply(controller, index, operation->retention_step);
	if (controller_done.status == PROPOSAL_DONE)
		idempotency_log_add(&controller->config.accepted_requests, &request_key, SERIES_UNVERSIONED,
				    controller->config.table.revision);
	if (controller_done.from)
		arrput(controller->config.done_operations, controller_done);
	if (arrlen(controller->config.done_operations) > CONTROLLER_MAX_DONE_OPERATIONS)
		arrdel(controller->config.done_operations, 0);
	return controller_done.status;
}

/* Once context is cleared, what a part logged before goes from its disks, and again when no claim is left
 * from then. */
static void apply_compaction(struct controller *controller, uint32_t shard, const struct Nl__Trim *trim)
{
	struct controller_service_state *service = service_shard_state(controller, shard);
	uint64_t *purged_tick = service                  ? &service->purged_tick
				: shard == SHARD_CONTROL ? &controller->retention.purged_tick
							 : &controller->purge_state.purged_tick;

	if (trim->purged_tick <= *purged_tick && !trim->compacted)
		return;
	if (service && trim->purged_tick > *purged_tick) {
		service->purged_at_ms = service->clock_ms;
		service->is_compacted = 0;
	} else if (service) {
		service->is_compacted = 1;
	}
	*purged_tick = trim->purged_tick > *purged_tick ? trim->purged_tick : *purged_tick;
	controller->compaction[shard].snapshot_needed = 1;
}

static uint32_t apply_claim(struct controller_service_state *service, const struct Nl__Claim *claim,
			    apr_pool_t *pool)
{
	char *key = apr_pstrcat(pool, claim->tenant, "\x1f", claim->id, NULL);
	ptrdiff_t i = shgeti(service->claims, key);
	int is_own;

	if (i >= 0 && service->claims[i].value.claimed_at_ms + CONTROLLER_CLAIM_TTL_MS < service->clock_ms) {
		(void)shdel(service->claims, key);
		i = -1;
	}
	is_own = i >= 0 && service->claims[i].value.claimed_by == claim->router_id &&
		 service->claims[i].value.sequence == claim->seq;
	if (claim->release) { /* remembered, since the claim itself may still be on its way, here or once more
			       */
		if (i < 0 || is_own)
			shput(service->claims, key,
			      ((typeof(service->claims->value)){ claim->router_id, claim->seq,
								 service->clock_ms, 1 }));
		return PROPOSAL_DONE;
	}
	if (is_own ? service->claims[i].value.returned : i >= 0 && !service->claims[i].value.returned)
		return PROPOSAL_REJECTED;
	if (!is_own)
		shput(
		    service->claims, key,
		    ((typeof(service->claims->value)){ claim->router_id, claim->seq, service->clock_ms, 0 }));
	return PROPOSAL_DONE;
}

/* Claims past their time count as absent when looked up; now and then they go. */
void expire_claims(struct controller_service_state *service)
{
	for (ptrdiff_t i = shlen(service->claims) - 1; i >= 0; i--)
		if (service->claims[i].value.claimed_at_ms + CONTROLLER_CLAIM_TTL_MS < service->clock_ms)
			(void)shdel(service->claims, service->claims[i].key);
}

static void apply_rollout(struct controller *controller, uint32_t shard, uint64_t index,
			  const struct Nl__RolledOut *rolled)
{
	struct controller_service_state *service = service_shard_state(controller, shard);
	ptrdiff_t i = shgeti(service->rolled_out, rolled->service);
	char *weights = strdup(rolled->weights);

	if (i >= 0 && strcmp(service->rolled_out[i].value, rolled->weights)) {
		struct Nl__Purge purge = NL__PURGE__INIT;

		purge.reason = PURGE_WEIGHTS;
		purge.service = rolled->service;
		purge.weights = service->rolled_out[i].value;
		append_to_feed(&service->purge_feed, shard, index << 16, &purge);
	}
	if (i >= 0)
		free(service->rolled_out[i].value);
	shput(service->rolled_out, rolled->service, weights);
}

static void apply_value(struct controller *controller, const struct Nl__Value *value, int64_t now,
			struct command_list *out)
{
	struct controller_purge_state *controller_pub = &controller->purge_state;
	int is_new = value->feed < SHARD_COUNT &&
		     value->index > controller_pub->published_index[value->feed] && value->purge;

	if (is_new) {
		controller_pub->published_index[value->feed] = value->index;
		arrput(controller_pub->values, value_copy(value));
		purge_view_apply(&controller_pub->last_view, value);
	}
	if (controller->relay.is_publisher &&
	    value->tick >
		controller->publisher.tick) { /* logged, so it may go out: value and silence before it */
		relay_publish(&controller->relay, controller->publisher.tick + 1, value->tick,
			      is_new ? value : NULL, now, out);
		controller->publisher.tick = value->tick;
		if (controller->publisher.pending_tick <= controller->publisher.tick &&
		    controller->publisher.tick <
			controller_pub->ceiling) { /* and one tick of silence after it */
			controller->publisher.tick++;
			relay_publish(&controller->relay, controller->publisher.tick,
				      controller->publisher.tick, NULL, now, out);
		}
	}
}

static void apply_reservation(struct controller *controller, const struct Nl__Reserve *reserve)
{
	size_t n = 0;

	if (reserve->ceiling > controller->purge_state.ceiling)
		controller->purge_state.ceiling = reserve->ceiling;
	while (n < (size_t)arrlen(controller->purge_state.values) &&
	       controller->purge_state.values[n]->tick <= reserve->released)
		value_free(controller->purge_state.values[n++]);
	if (n)
		arrdeln(controller->purge_state.values, 0, n);
	if (reserve->released > controller->purge_state.released)
		controller->purge_state.released = reserve->released;
}

/* The first operation after a recovery: numbers that the lost members may have given out are not given out
 * again. */
static void enter_epoch(struct controller *controller, uint32_t shard, uint64_t epoch)
{
	if (epoch <= controller->epoch[shard])
		return;
	controller->epoch[shard] = epoch;
	if (shard == SHARD_CONTROL) { /* every node takes the table whole */
		controller->config.table.revision += CONTROLLER_RECOVERY_SKIP;
		controller->config.table.floor_revision = controller->config.table.operator_revision =
		    controller->config.table.revision;
	}
	if (shard == SHARD_PURGE)
		controller->purge_state.ceiling += CONTROLLER_RECOVERY_SKIP;
}

struct apply_result state_machine_apply(struct controller *controller, uint32_t shard, uint64_t entry_index,
					const struct raft_entry *entry, int64_t now, struct command_list *out)
{
	uint64_t index = raft_epoch(entry->term) << CONTROLLER_EPOCH_SHIFT |
			 entry_index; /* of feeds: above all of the epoch before */
	struct Nl__Operation *operation = (struct Nl__Operation *)core_unpack_message(
	    out->pool, &nl__operation__descriptor, entry->len, entry->data);
	struct request_key request_key = request_key_unpack(operation ? operation->request_key : NULL);
	const struct idempotency_record *accepted;
	uint32_t status = PROPOSAL_REJECTED;

	enter_epoch(controller, shard, raft_epoch(entry->term));
	if (operation && service_shard_state(controller, shard))
		service_shard_state(controller, shard)->clock_ms += operation->group_clock_ms;
	if (operation && shard == SHARD_CONTROL)
		controller->config.table.clock =
		    (struct group_moment){ operation->logged_at_ms > controller->config.table.clock.at_ms
					       ? operation->logged_at_ms
					       : controller->config.table.clock.at_ms,
					   entry->term };
	if (operation)
		switch (operation->body_case) {
		case NL__OPERATION__BODY_CHANGE:
			if (shard == SHARD_CONTROL)
				status = apply_change(controller, index, operation);
			break;
		case NL__OPERATION__BODY_RESERVE:
			if (shard == SHARD_PURGE) {
				apply_reservation(controller, operation->reserve);
				status = PROPOSAL_DONE;
			}
			break;
		case NL__OPERATION__BODY_VALUE:
			if (shard == SHARD_PURGE) {
				apply_value(controller, operation->value, now, out);
				status = PROPOSAL_DONE;
			}
			break;
		case NL__OPERATION__BODY_CLAIM:
			if (service_shard_state(controller, shard))
				status = apply_claim(service_shard_state(controller, shard), operation->claim,
						     out->pool);
			break;
		case NL__OPERATION__BODY_ROLLED_OUT:
			if (service_shard_state(controller, shard)) {
				apply_rollout(controller, shard, index, operation->rolled_out);
				status = PROPOSAL_DONE;
			} else if (shard == SHARD_CONTROL) {
				rollout_intent_logged(controller, operation->rolled_out->server, now);
				status = PROPOSAL_DONE;
			}
			break;
		case NL__OPERATION__BODY_TRIM:
			if (shard != SHARD_PURGE)
				trim_feed(shard == SHARD_CONTROL
					      ? &controller->config.purge_feed
					      : &service_shard_state(controller, shard)->purge_feed,
					  operation->trim->feed);
			if (operation->trim->purged_tick)
				apply_compaction(controller, shard, operation->trim);
			status = PROPOSAL_DONE;
			break;
		case NL__OPERATION__BODY_RETENTION_STEP:
			if (shard == SHARD_CONTROL)
				status = apply_purge_request(controller, index, operation);
			break;
		default:
			break;
		}
	accepted = idempotency_log_find(&controller->config.accepted_requests, &request_key);
	return (struct apply_result){ status,
				      accepted ? accepted->version : controller->config.table.revision };
}
